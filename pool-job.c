/*
 * Jobs that the store keeps, as callers see them on any entry VM.
 *
 * A job is accepted once its row is in the store, where the leader finds it;
 * its state is read from there, and a cancellation is written there. Rows of
 * one part that come while a transaction is under way go with the next one.
 */

#include "pool-request.h"
#include "pool-store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BATCH 50 /* rows in a transaction; the store takes 100 */
#define READ_MS 1500
#define TRIES 5 /* of a cancellation beside other writes */

/* What waits for the store on behalf of a request. */
struct pool_job_call {
	struct pool_job_call *next;		    /* in its part's queue */
	struct pool_job_call *all_next, **all_prev; /* among all */
	struct pool *p;
	struct pool_request *request; /* NULL: the caller is gone */
	char id[SCHED_ID_MAX];
	uint8_t *packed_job; /* of a job to be accepted */
	size_t len;
	int cancel; /* once the row was read */
	int attempts;
};

struct part {
	struct pool_job_call *first, **last; /* to be written */
	struct pool_job_call *sent;
	int in_flight;
};

struct pool_job_calls {
	struct part parts[JOBS_PARTS];
	struct pool_job_call *all;
};

int pool_jobs_init(struct pool *p)
{
	int i;

	p->job_calls = apr_pcalloc(p->pool, sizeof(*p->job_calls));
	for (i = 0; i < JOBS_PARTS; i++)
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

/* Suspends the request until answer(). */
static struct pool_job_call *begin(struct pool_request *r, const char *id)
{
	struct pool_job_call *j = calloc(1, sizeof(*j));
	struct pool_job_calls *a = r->p->job_calls;

	j->p = r->p;
	j->request = r;
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

static void detach(struct pool_job_call *j)
{
	j->request->suspended = 0;
	j->request->job_call = NULL;
	j->request = NULL;
	j->p->nopen--;
}

/* Answers the request, if its caller is still there. */
static void answer(struct pool_job_call *j, unsigned status, const char *body,
		   unsigned retry_after, const char *what)
{
	struct pool_request *r = j->request;

	if (!r)
		return;
	LOG_EVENT(LOG_LEVEL_INFO, what, LOG_TEXT("id", j->id),
		  LOG_NUMBER("status", status),
		  LOG_NUMBER("age_ms", j->p->now - r->received_at));
	j->p->count.rejected += status == 503;
	j->p->count.answered++;
	pool_histogram_add(&j->p->count.latency, j->p->now - r->received_at);
	pool_request_respond(r, status, body, retry_after);
	detach(j);
	pool_serve_resume(j->p, r->conn);
}

static void end(struct pool_job_call *j)
{
	*j->all_prev = j->all_next;
	if (j->all_next)
		j->all_next->all_prev = j->all_prev;
	free(j->packed_job);
	free(j);
}

void pool_job_caller_gone(struct pool_request *r)
{
	if (r->job_call)
		detach(r->job_call);
}

void pool_jobs_abort(struct pool *p)
{
	struct pool_job_call *j;

	for (j = p->job_calls->all; j; j = j->all_next)
		answer(j, 504, "{\"error\":\"this VM stops\"}", 0,
		       "job_unanswered");
}

/* What the store said of a call that did not work, for the caller. */
static void answer_failed(struct pool_job_call *j, long status)
{
	if (status == 429 || status == 503)
		answer(j, 503, "{\"error\":\"the store is busy\"}",
		       DEFAULT_RETRY_AFTER_S, "job_refused");
	else /* it may have been done */
		answer(j, 504, "{\"error\":\"no answer from the store\"}", 0,
		       "job_unanswered");
}

/* --- accepting -------------------------------------------------------- */

static void queue_last(struct part *part, struct pool_job_call *j)
{
	j->next = NULL;
	*part->last = j;
	part->last = &j->next;
}

void pool_job_accept(struct pool_request *r)
{
	struct pool_job_call *j = begin(r, r->submit->id);
	PoolJob job = POOL_JOB__INIT;

	r->p->has_stored_jobs = r->p->accepted_stored_job = 1;
	job.submit = r->submit;
	job.accepted_ms = (uint64_t)pool_store_now(r->p);
	j->len = pool_job__get_packed_size(&job);
	j->packed_job = malloc(j->len);
	pool_job__pack(&job, j->packed_job);
	queue_last(&r->p->job_calls->parts[pool_job_part(j->id)], j);
}

static int is_listed(const struct platform_rows *rows, const char *id)
{
	size_t i;

	for (i = 0; i < rows->n; i++)
		if (!strcmp(rows->rows[i].key, id))
			return 1;
	return 0;
}

/* Some were there already: these are accepted, the others are written again. */
static void take_known(struct part *part, struct pool_job_call *j,
		       const char *body, size_t len)
{
	struct platform_rows rows;
	char why[PLATFORM_WHY];
	struct pool_job_call *next;

	platform_read_rows(&rows, body, len, why);
	for (; j; j = next) {
		next = j->next;
		if (is_listed(&rows, j->id)) {
			answer(j, 200, "{}", 0, "job_known");
			end(j);
		} else if (++j->attempts < TRIES) {
			queue_last(part, j);
		} else {
			answer_failed(j, 503);
			end(j);
		}
	}
	platform_rows_finish(&rows);
}

static void on_accepted(struct pool_call *c, long status, const char *body,
			size_t len)
{
	struct part *part = &c->p->job_calls->parts[c->tag];
	struct pool_job_call *j = part->sent, *next;

	part->sent = NULL;
	part->in_flight = 0;
	if (status == 412) {
		take_known(part, j, body, len);
		return;
	}
	for (; j; j = next) {
		next = j->next;
		if (status == 200)
			answer(j, 200, "{}", 0, "job_accepted");
		else
			answer_failed(j, status);
		end(j);
	}
}

static int is_in(const struct pool_job_call *j, const char *id)
{
	for (; j; j = j->next)
		if (!strcmp(j->id, id))
			return 1;
	return 0;
}

/* Moves the next rows to be written to the part's sent ones. */
static size_t take_batch(struct part *part, struct platform_write *writes)
{
	struct pool_job_call **at = &part->first, *j;
	size_t n = 0;

	while ((j = *at) && n < BATCH) {
		/* A second submission of an id waits for the first. */
		if (is_in(part->sent, j->id)) {
			at = &j->next;
			continue;
		}
		*at = j->next;
		j->next = part->sent;
		part->sent = j;
		writes[n++] = (struct platform_write){
			.key = j->id,
			.value = { (char *)j->packed_job, j->len },
		};
	}
	for (part->last = &part->first; *part->last;)
		part->last = &(*part->last)->next;
	return n;
}

static void write_part(struct pool *p, unsigned i)
{
	struct part *part = &p->job_calls->parts[i];
	struct platform_write writes[BATCH];
	size_t n = take_batch(part, writes);

	part->in_flight = 1;
	pool_store_transact(p,
			    platform_writes_body(JOBS_TABLE, pool_part_name(i),
						 writes, n),
			    0, on_accepted)
		->tag = i;
}

void pool_jobs_flush(struct pool *p)
{
	unsigned i;

	for (i = 0; i < JOBS_PARTS; i++)
		if (p->job_calls->parts[i].first &&
		    !p->job_calls->parts[i].in_flight)
			write_part(p, i);
}

/* --- states and cancellations ------------------------------------------ */

static const char *state_name(struct pool *p, const char *id,
			      const PoolJob *job)
{
	switch (job->state) {
	case POOL_JOB__STATE__COMPLETED:
		return "completed";
	case POOL_JOB__STATE__FAILED:
		return "failed";
	case POOL_JOB__STATE__CANCELLED:
		return "cancelled";
	default:
		return job->n_done || job->n_failed ||
				       pool_stored_started(p, id)
			       ? "running"
			       : "queued";
	}
}

static void answer_state(struct pool_job_call *j, const PoolJob *job)
{
	struct pool_request *r = j->request;

	if (!r)
		return;
	snprintf(r->response.text, sizeof(r->response.text),
		 PLATFORM_STATE_BODY, state_name(j->p, j->id, job));
	answer(j, 200, r->response.text, 0, "job_state");
}

/* Returns the job of the row that was read; NULL: there is none. */
static PoolJob *read_job(const struct pool_job_call *j, const char *body,
			 size_t len, int64_t *version)
{
	struct platform_rows rows;
	char why[PLATFORM_WHY];
	PoolJob *job = NULL;

	if (platform_read_rows(&rows, body, len, why) == 0 && rows.n &&
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

static void read_row(struct pool_job_call *j)
{
	struct pool *p = j->p;
	char *path = platform_row_path(
		JOBS_TABLE, pool_part_name(pool_job_part(j->id)), j->id);
	struct pool_call_spec spec = {
		.address = p->set.store_address,
		.path = path,
		.timeout = READ_MS,
		.on_done = on_row,
	};

	p->count.store_calls++;
	pool_call_begin(p, &spec)->user = j;
	free(path);
}

static void on_cancelled(struct pool_call *c, long status, const char *body,
			 size_t len)
{
	struct pool_job_call *j = c->user;

	(void)body;
	(void)len;
	if (status == 412 && ++j->attempts < TRIES) {
		read_row(j);
		return;
	}
	if (status == 200)
		answer(j, 200, "{\"state\":\"cancelled\"}", 0, "job_cancelled");
	else
		answer_failed(j, status == 412 ? 503 : status);
	end(j);
}

static void write_cancelled(struct pool_job_call *j, PoolJob *job,
			    int64_t version)
{
	struct pool *p = j->p;
	size_t len;
	uint8_t *row;
	struct platform_write write = { .key = j->id, .expected = version };

	job->writer = 0;
	job->state = POOL_JOB__STATE__CANCELLED;
	job->ended_ms = (uint64_t)pool_store_now(p);
	len = pool_job__get_packed_size(job);
	row = malloc(len);
	pool_job__pack(job, row);
	write.value = (struct rp_str){ (char *)row, len };
	pool_store_transact(
		p,
		platform_writes_body(JOBS_TABLE,
				     pool_part_name(pool_job_part(j->id)),
				     &write, 1),
		0, on_cancelled)
		->user = j;
	free(row);
}

/* The row was read, for its state or to cancel the job. */
static void on_row(struct pool_call *c, long status, const char *body,
		   size_t len)
{
	struct pool_job_call *j = c->user;
	int64_t version;
	PoolJob *job;

	if (status != 200) {
		answer_failed(j, status);
		end(j);
		return;
	}
	job = read_job(j, body, len, &version);
	if (job && j->cancel && job->state == POOL_JOB__STATE__OPEN) {
		write_cancelled(j, job, version);
	} else {
		if (job)
			answer_state(j, job);
		else
			answer(j, 410, "", 0,
			       j->cancel ? "job_cancelled" : "job_state");
		end(j);
	}
	pool_job__free_unpacked(job, NULL);
}

void pool_job_state(struct pool_request *r, const char *id)
{
	read_row(begin(r, id));
}

void pool_job_cancel(struct pool_request *r, const char *id)
{
	struct pool_job_call *j = begin(r, id);

	j->cancel = 1;
	read_row(j);
}
