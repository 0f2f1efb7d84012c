/*
 * Submissions of stored jobs, on any entry VM. Jobs of one part that are
 * submitted while a transaction is in flight go into the next one.
 */

#include "pool-job.h"

#include <stdlib.h>
#include <string.h>

/* Each row takes two of the 100 entries that the store allows. */
#define BATCH_ROWS 50
#define BATCH_BYTES 400000     /* from which no more rows are added */
#define CANCELLED_RETRY_S 3600 /* for a job that never runs */

int pool_job_is_unsent(const struct pool_job_call *j)
{
	return j->packed_job && !j->sent && !j->may_be_written;
}

static void enqueue(struct submit_part *part, struct pool_job_call *j)
{
	j->next = NULL;
	*part->last = j;
	part->last = &j->next;
}

void pool_job_submit(struct pool_request *r)
{
	struct pool_job_call *j = pool_job_call_new(r, r->submit->id);
	PoolJob job = POOL_JOB__INIT;

	r->p->has_stored_jobs = r->p->accepted_stored_job = 1;
	job.submit = r->submit;
	job.accepted_ms = (uint64_t)pool_store_now(r->p);
	j->len = pool_job__get_packed_size(&job);
	j->packed_job = malloc(j->len);
	pool_job__pack(&job, j->packed_job);
	j->held += j->len;
	pool_hold(r->p, RP_HOLD_JOBS, (long)j->len);
	enqueue(&r->p->job_calls->parts[pool_job_part(j->id)], j);
}

static const struct platform_row *find_row(const struct platform_rows *rows,
					   const char *id)
{
	size_t i;

	for (i = 0; i < rows->n; i++)
		if (!strcmp(rows->rows[i].key, id))
			return &rows->rows[i];
	return NULL;
}

/*
 * There is a row of the job: it was accepted before, or cancelled before any
 * submission was, and this one is not accepted either.
 */
static void respond_existing(struct pool_job_call *j,
			     const struct platform_row *row)
{
	PoolJob *job = row->value ? pool_job__unpack(NULL, row->len,
						     (uint8_t *)row->value)
				  : NULL;

	if (job && job->unsubmitted)
		pool_job_respond(j, 503, "{\"error\":\"cancelled\"}",
				 CANCELLED_RETRY_S, "job_refused");
	else
		pool_job_respond(j, 200, "{}", 0, "job_known");
	pool_job__free_unpacked(job, NULL);
	pool_job_call_free(j);
}

/*
 * Handles a transaction that failed because some rows exist already. The other
 * jobs are queued again.
 */
static void handle_conflict(struct submit_part *part, struct pool_job_call *j,
			    const char *body, size_t len)
{
	struct platform_rows rows;
	char error[PLATFORM_ERROR_MAX];
	const struct platform_row *row;
	struct pool_job_call *next;

	platform_parse_rows(&rows, body, len, error);
	for (; j; j = next) {
		next = j->next;
		j->sent = 0;
		row = find_row(&rows, j->id);
		if (row) {
			respond_existing(j, row);
		} else if (++j->attempts < POOL_JOB_ATTEMPTS) {
			enqueue(part, j);
		} else {
			pool_job_respond_failed(j, 503);
			pool_job_call_free(j);
		}
	}
	platform_rows_finish(&rows);
}

/*
 * Whether the job may be written again. An ended job's row is removed after
 * some time, and the job would run again then.
 */
static int may_write_again(const struct pool_job_call *j)
{
	const struct pool_request *r = j->request;

	return r && j->may_be_written &&
	       j->p->now + pool_job_backoff(j->failures) < r->deadline &&
	       j->p->now - r->received_at < j->p->set.ended_retention;
}

/* Handles a transaction that failed: the store has refused it, or no reply came
 */
static void handle_failure(struct pool *p, struct submit_part *again,
			   struct pool_job_call *j, long status)
{
	struct pool_job_call *next;

	again->due = p->now + pool_job_backoff(again->failures++);
	for (; j; j = next) {
		next = j->next;
		j->sent = 0;
		j->may_be_written |= !pool_call_refused(status);
		if (may_write_again(j)) {
			j->failures++;
			enqueue(again, j);
			continue;
		}
		pool_job_respond_failed(j, status);
		pool_job_call_free(j);
	}
}

static void on_submitted(struct pool_call *c, long status, const char *body,
			 size_t len)
{
	struct submit_part *parts = c->p->job_calls->parts;
	struct submit_part *part = &parts[c->tag];
	struct submit_part *again = &parts[JOBS_PARTS + c->tag % JOBS_PARTS];
	struct pool_job_call *j = part->sent, *next;

	part->sent = NULL;
	part->in_flight = 0;
	if (status != 200 && status != 412) {
		handle_failure(c->p, again, j, status);
		return;
	}
	again->failures = 0;
	if (status == 412) {
		handle_conflict(part, j, body, len);
		return;
	}
	for (; j; j = next) {
		next = j->next;
		pool_job_respond(j, 200, "{}", 0, "job_accepted");
		pool_job_call_free(j);
	}
}

static int list_contains(const struct pool_job_call *j, const char *id)
{
	for (; j; j = j->next)
		if (!strcmp(j->id, id))
			return 1;
	return 0;
}

/* Drops queued jobs whose callers do not wait any more. */
static void drop_expired(struct submit_part *part)
{
	struct pool_job_call **at = &part->first, *j;

	while ((j = *at)) {
		if (j->request && j->p->now < j->request->deadline) {
			at = &j->next;
			continue;
		}
		*at = j->next;
		pool_job_respond_failed(j, pool_job_is_unsent(j) ? 503 : 0);
		pool_job_call_free(j);
	}
	part->last = at;
}

/* Moves queued jobs to the part's next transaction. Returns how many. */
static size_t fill_batch(struct submit_part *part,
			 struct platform_write *writes)
{
	struct pool_job_call **at = &part->first, *j;
	size_t n = 0, bytes = 0;

	while ((j = *at) && n < BATCH_ROWS && bytes < BATCH_BYTES) {
		/* A transaction writes a row once: a repeated id waits. */
		if (list_contains(part->sent, j->id)) {
			at = &j->next;
			continue;
		}
		*at = j->next;
		j->next = part->sent;
		j->sent = 1;
		part->sent = j;
		bytes += j->len;
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
	struct submit_part *part = &p->job_calls->parts[i];
	struct platform_write writes[BATCH_ROWS];
	size_t n = fill_batch(part, writes);

	part->in_flight = 1;
	pool_store_transact_within(
		p,
		platform_transaction_body(
			JOBS_TABLE, pool_part_name(i % JOBS_PARTS), writes, n),
		pool_job_timeout(part->failures), i >= JOBS_PARTS, on_submitted)
		->tag = i;
}

void pool_jobs_flush(struct pool *p)
{
	unsigned i;

	for (i = 0; i < POOL_JOB_LANES; i++) {
		struct submit_part *part = &p->job_calls->parts[i];

		if (!part->first || part->in_flight || p->now < part->due)
			continue;
		drop_expired(part);
		if (part->first)
			write_part(p, i);
	}
}
