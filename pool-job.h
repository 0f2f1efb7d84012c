#ifndef POOL_JOB_H
#define POOL_JOB_H

/* Requests for stored jobs, shared by pool-job.c and pool-job-submit.c. */

#include "pool-request.h"
#include "pool-store.h"

#define POOL_JOB_ATTEMPTS 5 /* of a write that conflicts with other writes */

/* A request that waits for a reply of the store. */
struct pool_job_call {
	struct pool_job_call *next; /* in its part's queue or transaction */
	struct pool_job_call *all_next, **all_prev; /* in pool_job_calls.all */
	struct pool *p;
	struct pool_request *request; /* NULL: the caller has disconnected */
	char id[SCHED_ID_MAX];
	uint8_t *packed_job; /* row of a submitted job, else NULL */
	size_t len;
	int cancel; /* cancel the job after reading its row */
	int attempts;
	uint64_t query_seq; /* of the query to the leader; 0: none */
	rp_ms query_until;  /* the row is read without its reply then */
};

struct submit_part {
	struct pool_job_call *first, **last; /* queue of jobs to write */
	struct pool_job_call *sent;	     /* in the transaction */
	int in_flight; /* set while a transaction is running */
};

struct pool_job_calls {
	uint64_t last_query_seq;
	size_t nqueries; /* without a reply */
	struct submit_part parts[JOBS_PARTS];
	struct pool_job_call *all;
};

/* Suspends the request until pool_job_respond(). */
struct pool_job_call *pool_job_call_new(struct pool_request *r, const char *id);
void pool_job_call_free(struct pool_job_call *j);
/* Answers the request, unless its caller has disconnected. */
void pool_job_respond(struct pool_job_call *j, unsigned status,
		      const char *body, unsigned retry_after_s,
		      const char *event);
/* Answers the request after a failed call to the store. */
void pool_job_respond_failed(struct pool_job_call *j, long status);

#endif
