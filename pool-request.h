#ifndef POOL_REQUEST_H
#define POOL_REQUEST_H

/* A caller's request, shared by pool-request.c and pool-job.c. */

#include "pool.h"

#define DEFAULT_RETRY_AFTER_S 1 /* where the leader did not say */

struct pool_job_call;

struct pool_request {
	struct pool_fd fd; /* must be first: the caller's connection */
	struct pool *p;
	struct MHD_Connection *conn;
	char method[8];
	char path[512];
	char *body;
	size_t len, cap;
	size_t max_body;
	uint64_t seq; /* 0: not a job */
	PoolSubmit *submit;
	rp_ms received_at, deadline;
	uint64_t sent_fence;  /* of the leader it was last sent to; 0: none */
	uint32_t *done_tasks; /* tasks known to be done */
	size_t ndone_tasks, cap_done_tasks;
	int suspended; /* the connection is suspended */
	/* What waits for the store's answer on behalf of it; NULL: nothing. */
	struct pool_job_call *job_call;
	struct pool_response response;
};

void pool_request_respond(struct pool_request *r, unsigned status,
			  const char *body, unsigned retry_after);
/* Logs a request that did not become a job of the pool. */
void pool_request_log(const struct pool_request *r, const char *why);
/* Fills the submission from the route that was found. */
void pool_request_fill(struct pool_request *r, const struct pool_route *route,
		       const char *id);

/* --- pool-job.c: jobs that the store keeps ---------------------------- */

/* Each suspends the connection until the store has answered. */
void pool_job_accept(struct pool_request *r);
void pool_job_state(struct pool_request *r, const char *id);
void pool_job_cancel(struct pool_request *r, const char *id);
/* The caller is gone: nobody waits for the store's answer. */
void pool_job_caller_gone(struct pool_request *r);

#endif
