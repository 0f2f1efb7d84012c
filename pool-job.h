#ifndef POOL_JOB_H
#define POOL_JOB_H

/* Requests for stored jobs and cancellations, shared by pool-job*.c. */

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
	int cancel;	/* cancel the job */
	int submitted;	/* this VM has had a submission of that job */
	int known_only; /* a submission that is accepted if it was before */
	int has_no_row; /* there was none, or one that is about to be removed */
	int attempts;
	int sent;	    /* a transaction in flight has its row */
	int may_be_written; /* a write has been sent, its outcome is unknown */
	unsigned failures;  /* calls to the store without a reply */
	rp_ms repeat_at;    /* when its row is read again; 0: not waiting */
	uint64_t query_seq; /* of the query to the leader; 0: none */
	/* When it goes on without a reply, or asks again; 0: neither. */
	rp_ms query_until;
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
	size_t nqueries;      /* calls with query_until */
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
/* Reads the job's row, and goes on with what it says. */
void pool_job_read_row(struct pool_job_call *j);
/*
 * After a failed call: has the job's row read again, or answers the request if
 * the store has refused the call, or if the caller does not wait for as long.
 */
void pool_job_read_again(struct pool_job_call *j, long status);
/* Returns NULL if the state is not final. */
const char *pool_job_final_state(PoolJob__State state);
void pool_job_respond_state(struct pool_job_call *j, const char *name);
/* There is no such job. */
void pool_job_respond_missing(struct pool_job_call *j);

/* --- pool-job-query.c -------------------------------------------------- */

/*
 * Asks the leader for the job's state, or to cancel it, and waits for timeout.
 * Returns 0 if there is none to ask.
 */
int pool_job_query_leader(struct pool_job_call *j, rp_ms timeout);
/* Goes on after ms, as if the leader had not replied. */
void pool_job_query_wait(struct pool_job_call *j, rp_ms ms);

/* --- pool-job-cancel.c -------------------------------------------------- */

/* Has the leader cancel the job. If there is no leader, its row is read. */
void pool_job_cancel_ask(struct pool_job_call *j, rp_ms timeout);
/* The leader's reply, which is not a final state; NULL: none came in time. */
void pool_job_cancel_replied(struct pool_job_call *j,
			     const PoolStateReply *msg);
/* The job's row was read; NULL: there is none. */
void pool_job_cancel_row(struct pool_job_call *j, PoolJob *job,
			 int64_t version);

#endif
