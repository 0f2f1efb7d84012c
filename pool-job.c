/*
 * Callers' requests for stored jobs, on any entry VM.
 *
 * A job is accepted once its row is in the store, where the leader finds it.
 * Its state is read from the row. See pool-job-cancel.c for cancellations.
 *
 * A request is answered at its deadline at the latest. While its caller waits,
 * a call to the store that got no reply is repeated. That is safe for writes,
 * as their conditions hold only if the earlier write was not performed: a job's
 * row must not exist, or must have the version that was read.
 */

#include "pool-job.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Of a call to the store; it grows by as much with each failure. */
#define CALL_TIMEOUT_MS 1500
#define CALL_TIMEOUT_MAX_MS 6000
#define MIN_BACKOFF_MS 100
/* Between the reads of this VM that repeat one: the store bounds the rate. */
#define READ_AGAIN_INTERVAL_MS 50

int pool_jobs_init(struct pool *p)
{
	int i;

	p->job_calls = apr_pcalloc(p->pool, sizeof(*p->job_calls));
	for (i = 0; i < POOL_JOB_LANES; i++)
		p->job_calls->parts[i].last = &p->job_calls->parts[i].first;
	return 0;
}

unsigned pool_job_part(const char *id)
{
	return (unsigned)(str_hash(str_of(id)) % JOBS_PARTS);
}

const char *pool_part_name(unsigned part)
{
	static const char *const names[JOBS_PARTS] = { "0", "1", "2", "3",
						       "4", "5", "6", "7" };

	return names[part];
}

struct pool_job_call *pool_job_call_new(struct pool_request *r, const char *id)
{
	struct pool_job_call *j = calloc(1, sizeof(*j));
	struct pool_job_calls *a = r->p->job_calls;

	j->p = r->p;
	j->request = r;
	j->held = sizeof(*j);
	pool_hold(j->p, RP_HOLD_JOBS, (long)j->held);
	snprintf(j->id, sizeof(j->id), "%s", id);
	j->all_next = a->all;
	j->all_prev = &a->all;
	if (j->all_next)
		j->all_next->all_prev = &j->all_next;
	a->all = j;
	r->job_call = j;
	r->suspended = 1;
	r->p->nopen++;
	MHD_suspend_connection(r->conn);
	return j;
}

static void detach_request(struct pool_job_call *j)
{
	j->request->suspended = 0;
	j->request->job_call = NULL;
	j->request = NULL;
	j->p->nopen--;
}

void pool_job_respond(struct pool_job_call *j, unsigned status,
		      const char *body, unsigned retry_after_s,
		      const char *event)
{
	struct pool_request *r = j->request;

	if (!r)
		return;
	LOG_EVENT(LOG_LEVEL_INFO, event, LOG_TEXT("id", j->id),
		  LOG_NUMBER("status", status),
		  LOG_NUMBER("age_ms", j->p->now - r->received_at));
	j->p->count.rejected += status == 503;
	j->p->count.answered++;
	pool_histogram_add(&j->p->count.latency, j->p->now - r->received_at);
	pool_request_respond(r, status, body, retry_after_s);
	detach_request(j);
	pool_serve_resume(j->p, r->conn);
}

void pool_job_call_free(struct pool_job_call *j)
{
	*j->all_prev = j->all_next;
	if (j->all_next)
		j->all_next->all_prev = j->all_prev;
	pool_hold(j->p, RP_HOLD_JOBS, -(long)j->held);
	free(j->packed_job);
	free(j);
}

void pool_job_caller_closed(struct pool_request *r)
{
	if (r->job_call)
		detach_request(r->job_call);
}

void pool_jobs_abort(struct pool *p)
{
	struct pool_job_call *j;

	for (j = p->job_calls->all; j; j = j->all_next)
		pool_job_respond(j, 504, "{\"error\":\"this VM stops\"}", 0,
				 "job_unanswered");
}

void pool_jobs_finish(struct pool *p)
{
	struct pool_job_call *j, *next;

	for (j = p->job_calls->all; j; j = next) {
		next = j->all_next;
		pool_job_call_free(j);
	}
}

void pool_job_respond_failed(struct pool_job_call *j, long status)
{
	if (pool_call_refused(status) && !j->may_be_written)
		pool_job_respond(j, 503, "{\"error\":\"the store is busy\"}",
				 DEFAULT_RETRY_AFTER_S, "job_refused");
	else /* the store may have written the row */
		pool_job_respond(j, 504,
				 "{\"error\":\"no answer from the store\"}", 0,
				 "job_unanswered");
}

/* --- calls to the store that are repeated ------------------------------- */

rp_ms pool_job_backoff(unsigned failures)
{
	rp_ms backoff = MIN_BACKOFF_MS << (failures < 5 ? failures : 5);

	return backoff < STORE_MAX_BACKOFF_MS ? backoff : STORE_MAX_BACKOFF_MS;
}

rp_ms pool_job_timeout(unsigned failures)
{
	rp_ms timeout = (rp_ms)CALL_TIMEOUT_MS * (failures > 1 ? failures : 1);

	return timeout < CALL_TIMEOUT_MAX_MS ? timeout : CALL_TIMEOUT_MAX_MS;
}

/* --- states ------------------------------------------------------------- */

const char *pool_job_final_state(PoolJob__State state)
{
	switch (state) {
	case POOL_JOB__STATE__COMPLETED:
		return "completed";
	case POOL_JOB__STATE__FAILED:
		return "failed";
	case POOL_JOB__STATE__CANCELLED:
		return "cancelled";
	default:
		return NULL;
	}
}

static const char *state_name(struct pool *p, const char *id,
			      const PoolJob *job)
{
	const char *name = pool_job_final_state(job->state);

	if (name)
		return name;
	return job->n_done || job->n_failed || pool_stored_started(p, id)
		       ? "running"
		       : "queued";
}

void pool_job_respond_state(struct pool_job_call *j, const char *name)
{
	struct pool_request *r = j->request;

	if (!r)
		return;
	snprintf(r->response.buf, sizeof(r->response.buf), PLATFORM_STATE_BODY,
		 name);
	pool_job_respond(j, 200, r->response.buf, 0, "job_state");
}

/* Returns the job of the row in a reply; NULL: it is missing or malformed. */
static PoolJob *parse_job(const struct pool_job_call *j, const char *body,
			  size_t len, int64_t *version)
{
	struct platform_rows rows;
	char error[PLATFORM_ERROR_MAX];
	PoolJob *job = NULL;

	if (platform_parse_rows(&rows, body, len, error) == 0 && rows.n &&
	    !strcmp(rows.rows[0].key, j->id) && rows.rows[0].value) {
		*version = rows.rows[0].version;
		job = pool_job__unpack(NULL, rows.rows[0].len,
				       (uint8_t *)rows.rows[0].value);
	}
	platform_rows_finish(&rows);
	return job;
}

static void on_row(struct pool_call *c, long status, const char *body,
		   size_t len);

void pool_job_read_row(struct pool_job_call *j)
{
	struct pool *p = j->p;
	char *path;
	struct pool_call_spec spec = {
		.address = p->set.store_address,
		.timeout = pool_job_timeout(j->failures),
		/* The reply may have been lost with the connection. */
		.fresh_connect = j->failures > 0,
		.on_done = on_row,
	};

	if (j->request && p->now >= j->request->deadline) {
		pool_job_respond_failed(j, j->cancel ? 503 : 0);
		pool_job_call_free(j);
		return;
	}
	path = platform_row_path(JOBS_TABLE,
				 pool_part_name(pool_job_part(j->id)), j->id);
	spec.path = path;
	p->count.store_calls++;
	pool_call_begin(p, &spec)->user = j;
	free(path);
}

void pool_job_read_again(struct pool_job_call *j, long status)
{
	rp_ms at = j->p->now + pool_job_backoff(j->failures++);

	if (j->request && at < j->request->deadline &&
	    (j->may_be_written || !pool_call_refused(status))) {
		j->repeat_at = at;
		return;
	}
	pool_job_respond_failed(j, status);
	pool_job_call_free(j);
}

void pool_job_respond_missing(struct pool_job_call *j)
{
	pool_job_respond(j, 410, "", 0,
			 j->cancel ? "job_cancelled" : "job_state");
}

static void respond_known(struct pool_job_call *j, int known)
{
	if (known)
		pool_job_respond(j, 200, "{}", 0, "job_known");
	else
		pool_job_respond(j, 503, "{\"error\":\"out of memory\"}",
				 DEFAULT_RETRY_AFTER_S, "job_refused");
	j->p->count.no_memory += !known;
}

static void on_row(struct pool_call *c, long status, const char *body,
		   size_t len)
{
	struct pool_job_call *j = c->user;
	int64_t version = 0;
	PoolJob *job;

	if (status != 200) {
		pool_job_read_again(j, status);
		return;
	}
	job = parse_job(j, body, len, &version);
	if (j->known_only) {
		respond_known(j, job && !job->unsubmitted);
		pool_job_call_free(j);
	} else if (j->cancel) {
		pool_job_cancel_row(j, job, version);
	} else {
		if (job && !job->unsubmitted)
			pool_job_respond_state(j, state_name(j->p, j->id, job));
		else
			pool_job_respond_missing(j);
		pool_job_call_free(j);
	}
	pool_job__free_unpacked(job, NULL);
}

void pool_job_submit_known(struct pool_request *r)
{
	struct pool_job_call *j = pool_job_call_new(r, r->submit->id);

	j->known_only = 1;
	pool_job_read_row(j);
}

/* Returns the call whose row is to be read again first, if it is due. */
static struct pool_job_call *first_to_read_again(const struct pool *p)
{
	struct pool_job_call *j, *first = NULL;

	for (j = p->job_calls->all; j; j = j->all_next)
		if (j->repeat_at && j->repeat_at <= p->now &&
		    (!first || j->repeat_at < first->repeat_at))
			first = j;
	return first;
}

void pool_jobs_tick(struct pool *p)
{
	struct pool_job_call *j;

	for (j = p->job_calls->all; j; j = j->all_next) {
		if (j->request && p->now >= j->request->deadline)
			pool_job_respond_failed(j, pool_job_is_unsent(j) ? 503
									 : 0);
	}
	if (p->now < p->job_calls->read_again_due)
		return;
	j = first_to_read_again(p);
	if (!j)
		return;
	if (!j->request) { /* its caller does not wait any more */
		pool_job_call_free(j);
		return;
	}
	p->job_calls->read_again_due = p->now + READ_AGAIN_INTERVAL_MS;
	j->repeat_at = 0;
	pool_job_read_row(j);
}
