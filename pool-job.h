#ifndef POOL_JOB_H
#define POOL_JOB_H

/* Requests for stored jobs, shared by pool-job.c and pool-job-submit.c. */

#include "pool-request.h"
#include "pool-store.h"

#define POOL_JOB_ATTEMPTS 5 /* of a write that conflicts with other writes */
/*
 * Submissions are written in two transactions of a part at a time: new ones do
 * not wait for those that are written again after a lost reply.
 */
#define POOL_JOB_LANES (2 * JOBS_PARTS)

/* A request that waits for a reply of the store. */
struct pool_job_call {
	struct pool_job_call *next; /* in its part's queue or transaction */
	struct pool_job_call *all_next, **all_prev; /* in pool_job_calls.all */
	struct pool *p;
	struct pool_request *request; /* NULL: the caller has disconnected */
	char id[SCHED_ID_MAX];
	uint8_t *packed_job; /* row of a submitted job, else NULL */
	size_t held;	     /* bytes that are counted */
	size_t len;
	int cancel;	/* cancel the job after reading its row */
	int known_only; /* a submission that is accepted if it was before */
	int has_no_row; /* it is cancelled at the leader, if that has it */
	int attempts;
	int sent;	    /* a transaction in flight has its row */
	int may_be_written; /* a write has been sent, its outcome is unknown */
	unsigned failures;  /* calls to the store without a reply */
	rp_ms repeat_at;    /* when its row is read again; 0: not waiting */
	uint64_t query_seq; /* of the query to the leader; 0: none */
	rp_ms query_until;  /* the row is read without its reply then */
};

struct submit_part {
	struct pool_job_call *first, **last; /* queue of jobs to write */
	struct pool_job_call *sent;	     /* in the transaction */
	int in_flight; /* set while a transaction is running */
	/* Of rows that are written again. */
	unsigned failures; /* transactions without a reply, in a row */
	rp_ms due;
};

struct pool_job_calls {
	uint64_t last_query_seq;
	size_t nqueries;      /* without a reply */
	rp_ms read_again_due; /* the next read that repeats one */
	/* Of each part the first transaction, then those that repeat one. */
	struct submit_part parts[POOL_JOB_LANES];
	struct pool_job_call *all;
};

/* Suspends the request until pool_job_respond(). */
struct pool_job_call *pool_job_call_new(struct pool_request *r, const char *id);
void pool_job_call_free(struct pool_job_call *j);
/* Answers the request, unless its caller has disconnected. */
void pool_job_respond(struct pool_job_call *j, unsigned status,
		      const char *body, unsigned retry_after_s,
		      const char *event);
/*
 * Answers the request after a failed call to the store, of which status is the
 * reply's, or 0.
 */
void pool_job_respond_failed(struct pool_job_call *j, long status);
/* Whether it is a submission that no transaction has had. */
int pool_job_is_unsent(const struct pool_job_call *j);
/* The pause before a call is repeated, and its timeout, after failures. */
rp_ms pool_job_backoff(unsigned failures);
rp_ms pool_job_timeout(unsigned failures);

#endif
