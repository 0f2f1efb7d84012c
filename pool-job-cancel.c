/*
 * Cancellations by callers, on any entry VM.
 *
 * An open job is cancelled in its row. If there is none, a submission may still
 * come: the leader then has a row written that keeps it from running, see
 * pool-keep-cancel.c. The caller is told only when the store has one of these.
 */

#include "pool-job.h"

#include <stdlib.h>

/* Time for the leader to have a row written, before it is asked again. */
#define RECORD_TIMEOUT_MS 500
#define NO_LEADER_RETRY_MS 100 /* until there is one to ask */

static void on_cancelled(struct pool_call *c, long status, const char *body,
			 size_t len)
{
	struct pool_job_call *j = c->user;

	(void)body;
	(void)len;
	if (status == 412 && ++j->attempts < POOL_JOB_ATTEMPTS) {
		pool_job_read_row(j);
		return;
	}
	if (status == 200) {
		pool_job_respond(j, 200, "{\"state\":\"cancelled\"}", 0,
				 "job_cancelled");
	} else if (status == 412) {
		pool_job_respond_failed(j, 503);
	} else {
		j->may_be_written |= !pool_call_refused(status);
		pool_job_read_again(j, status);
		return;
	}
	pool_job_call_free(j);
}

static void write_cancelled(struct pool_job_call *j, PoolJob *job,
			    int64_t version)
{
	struct pool *p = j->p;
	size_t len;
	uint8_t *row;
	struct platform_write write = { .key = j->id,
					.expected_version = version };

	job->writer = 0;
	job->state = POOL_JOB__STATE__CANCELLED;
	job->ended_ms = (uint64_t)pool_store_now(p);
	len = pool_job__get_packed_size(job);
	row = malloc(len);
	pool_job__pack(job, row);
	write.value = (struct rp_str){ (char *)row, len };
	pool_store_transact_within(
		p,
		platform_transaction_body(JOBS_TABLE,
					  pool_part_name(pool_job_part(j->id)),
					  &write, 1),
		pool_job_timeout(j->failures), j->failures > 0, on_cancelled)
		->user = j;
	free(row);
}

void pool_job_cancel_ask(struct pool_job_call *j, rp_ms timeout)
{
	if (pool_job_query_leader(j, timeout))
		return;
	if (!j->has_no_row) {
		pool_job_read_row(j);
	} else if (pool_leader_expected(j->p)) {
		pool_job_query_wait(j, NO_LEADER_RETRY_MS);
	} else {
		pool_job_respond_failed(j, 503);
		pool_job_call_free(j);
	}
}

/* The store has a row that keeps the job from running; none had it before. */
static void respond_unsubmitted(struct pool_job_call *j)
{
	if (j->submitted)
		pool_job_respond_state(j, "cancelled");
	else
		pool_job_respond_missing(j);
	pool_job_call_free(j);
}

void pool_job_cancel_row(struct pool_job_call *j, PoolJob *job, int64_t version)
{
	const char *state = job ? pool_job_final_state(job->state) : NULL;

	if (!job ||
	    (state && !pool_ended_row_lasts(j->p, (rp_ms)job->ended_ms))) {
		/* The leader writes one, or renews that of an ended job. */
		j->has_no_row = 1;
		pool_job_cancel_ask(j, RECORD_TIMEOUT_MS);
	} else if (job->state == POOL_JOB__STATE__OPEN) {
		write_cancelled(j, job, version);
	} else if (job->unsubmitted) {
		respond_unsubmitted(j);
	} else {
		if (state)
			pool_job_respond_state(j, state);
		else
			pool_job_respond_failed(j, 503);
		pool_job_call_free(j);
	}
}

void pool_job_cancel_replied(struct pool_job_call *j, const PoolStateReply *msg)
{
	if (msg && msg->unsubmitted) {
		respond_unsubmitted(j);
	} else if (msg && msg->refused) {
		pool_job_respond(j, 503,
				 "{\"error\":\"cannot be cancelled now\"}",
				 DEFAULT_RETRY_AFTER_S, "job_refused");
		pool_job_call_free(j);
	} else if (msg && ++j->attempts >= POOL_JOB_ATTEMPTS) {
		pool_job_respond_failed(j, 503);
		pool_job_call_free(j);
	} else if (msg || !j->has_no_row) {
		j->has_no_row = 0;
		pool_job_read_row(j);
	} else {
		pool_job_cancel_ask(j, RECORD_TIMEOUT_MS);
	}
}
