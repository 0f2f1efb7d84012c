#ifndef POOL_REQUEST_H
#define POOL_REQUEST_H

/* A caller's request, shared by the files that handle it. */

#include "pool.h"

#define DEFAULT_RETRY_AFTER_S 1 /* when the leader gives no time */

struct pool_job_call;

struct pool_request {
	struct pool_fd fd; /* must be first: the caller's connection */
	struct pool *p;
	struct MHD_Connection *conn;
	char method[8];
	char path[512];
	struct conn *caller; /* connection, which has the body */
	size_t max_body;
	size_t held;	    /* bytes of its job that are counted */
	uint64_t seq;	    /* of its job, to the leader; 0: no open job */
	PoolSubmit *submit; /* NULL: no job was submitted */
	rp_ms received_at, deadline;
	uint64_t sent_fence; /* of the leader it was last sent to; 0: none */
	/*
	 * Token of a leader that may have started a task: it had the
	 * specification, or has asked this VM, which kept it, for a start. 0:
	 * none. Of several, see pool_request_may_be_started(). While this VM
	 * leads, its scheduler knows; see pool_requests_note_own_starts().
	 */
	uint64_t started_fence;
	uint32_t *done_tasks; /* their numbers, over all steps */
	size_t ndone_tasks, cap_done_tasks;
	PoolProgress *lost; /* the latest message on lost targets, or NULL */
	char **domains;	    /* in which leaders may have started tasks */
	size_t ndomains;
	int any_domain; /* earlier leaders may have, anywhere */
	/* The leader may have, anywhere, as it has not told of all domains. */
	int presumes_domains;
	int suspended; /* set while the connection waits for the answer */
	int has_awaited_routes;
	/* In p->awaiting_routes, or among those that wait for a count. */
	struct pool_request *next_awaiting;
	struct pool_queue_count *awaited_count; /* NULL: it awaits none */
	struct pool_job_call *job_call; /* set while the store is asked */
	struct pool_response response;
};

/* Sets the response. body must be a constant or in r->response.buf. */
void pool_request_respond(struct pool_request *r, unsigned status,
			  const char *body, unsigned retry_after_s);
/* Logs that the request got an error response. */
void pool_request_log_rejected(const struct pool_request *r,
			       const char *reason);
/* Submits the job to the leader, if there is one. */
void pool_request_submit(struct pool_request *r);

/* --- pool-submission.c ------------------------------------------------ */

/* Handles a submission whose body is complete. */
void pool_submission_begin(struct pool_request *r,
			   const struct pool_route *route, const char *id);
/* Copies the route's settings and the id into the submission. */
void pool_request_fill_submit(struct pool_request *r,
			      const struct pool_route *route, const char *id);

/* --- pool-deadline.c --------------------------------------------------- */

/*
 * Sets the request's deadline to what its caller states, or to the route's
 * timeout if stated is NULL or malformed.
 */
void pool_request_set_deadline(struct pool_request *r,
			       const struct pool_route *route,
			       const char *stated);

/* --- pool-started.c ---------------------------------------------------- */

/*
 * The leader that the request was sent to last may start tasks of it. Of
 * several leaders, the first provisional one is kept, or else the first: a
 * later leader must not take the runs of the others for those of the regular
 * leader before it, which it can know.
 */
void pool_request_may_be_started(struct pool_request *r);

/* --- pool-domain.c ---------------------------------------------------- */

/* Keeps failure domains in which the leader may start tasks. */
void pool_request_add_domains(struct pool_request *r, char *const *domains,
			      size_t n);
/* The leader has told of its failure domains. */
void pool_request_domains_told(struct pool_request *r,
			       const PoolProgress *progress);
/*
 * The job is about to be submitted to the leader of the token, which need not
 * tell of a failure domain before it starts tasks there.
 */
void pool_request_presume_domains(struct pool_request *r, uint64_t fence);
void pool_request_free_domains(struct pool_request *r);

/* --- pool-request-wait.c: requests before the routes are known --------- */

/* Suspends the connection for the routes. Returns 0 if it has waited already.
 */
int pool_request_await_routes(struct pool_request *r);
void pool_request_forget_awaiting(struct pool_request *r);

/* --- pool-waiting.c ----------------------------------------------------- */

/* Suspends the connection for the count of a queue. Returns 0 if it has waited.
 */
int pool_request_await_count(struct pool_request *r, const char *queue);
void pool_request_forget_count(struct pool_request *r);

/* --- pool-job*.c: requests for stored jobs, and cancellations ---------- */

/* Submit, query or cancel; the connection waits for the store's reply. */
void pool_job_submit(struct pool_request *r);
/*
 * The same for a job that there is no memory for: it is refused unless it was
 * accepted before, as a refusal says that it never runs.
 */
void pool_job_submit_known(struct pool_request *r);
void pool_job_state(struct pool_request *r, const char *id);
/* submitted: this VM has had a submission of the job, which is not stored. */
void pool_job_cancel(struct pool_request *r, const char *id, int submitted);
/* The caller has closed the connection: the store's reply goes nowhere. */
void pool_job_caller_closed(struct pool_request *r);

#endif
