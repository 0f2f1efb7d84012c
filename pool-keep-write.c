/*
 * Writes of the leader to the table of stored jobs: changed jobs, the marker
 * of each part, and the removal of jobs that ended long ago.
 */

#include "pool-keep.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Between transactions of one part, after a batch of up to SMALL_BATCH_ROWS, or
 * a larger one: the store bounds the transactions of a part.
 */
#define SMALL_BATCH_ROWS 8
#define SMALL_BATCH_INTERVAL_MS 15
#define WRITE_INTERVAL_MS 50
#define WRITE_BACKOFF_MS 300	 /* after a failed transaction */
#define REMOVAL_INTERVAL_MS 2000 /* between removals of ended jobs */
#define REMOVAL_MORE_MS 100	 /* the same, while there are many */

static void job_written(struct pool *p, struct stored_job *j, int64_t version)
{
	j->version = version;
	sched_owner_acked(&p->sched, j, j->sent_mark, p->now);
	p->dispatch_due = 1;
	if (j->mark > j->sent_mark) {
		stored_job_queue(&p->stored_jobs->parts[j->part], j);
		return;
	}
	stored_job_cancel_recorded(p, j);
	if (j->ended_at)
		stored_job_close(p, j);
}

static struct platform_write marker_check(const struct stored_part *part)
{
	return (struct platform_write){
		.key = STORED_MARKER_KEY,
		.expected_version = part->marker_version,
		.check_only = 1,
	};
}

/*
 * Compares the marker in the store with that of this leader. It differs when
 * another leader has written its own, or when a late write of the previous
 * leader has replaced the marker, which is then written again.
 */
static void apply_marker(struct pool *p, struct stored_part *part,
			 const struct platform_row *row)
{
	uint64_t fence = row->value ? strtoull(row->value, NULL, 10) : 0;

	if (row->version == part->marker_version)
		return;
	LOG_EVENT(LOG_LEVEL_WARN, "jobs_marked_by_another",
		  LOG_NUMBER("fence", (long long)fence),
		  LOG_NUMBER("own_fence", (long long)p->sched.fence));
	part->marker_version = 0;
	if (fence > p->sched.fence)
		p->fenced = 1;
}

/* Logs a failed transaction. Its rows are written again later. */
static void log_failed(struct pool *p, const char *operation, unsigned part,
		       long status)
{
	p->count.store_failed++;
	LOG_EVENT(LOG_LEVEL_WARN, "jobs_write_failed",
		  LOG_TEXT("operation", operation), LOG_NUMBER("part", part),
		  LOG_NUMBER("status", status));
}

static rp_ms interval_after(const struct stored_part *part, long status)
{
	/* The reply has the versions that the next transaction is to expect. */
	if (status == 412 && part->marker_version)
		return WRITE_INTERVAL_MS;
	if (status != 200)
		return WRITE_BACKOFF_MS;
	return part->nsent <= SMALL_BATCH_ROWS ? SMALL_BATCH_INTERVAL_MS
					       : WRITE_INTERVAL_MS;
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

static void on_jobs_written(struct pool_call *c, long status, const char *body,
			    size_t len)
{
	struct pool *p = c->p;
	struct stored_part *part = &p->stored_jobs->parts[c->tag];
	struct platform_rows rows = { .n = 0 };
	char error[PLATFORM_ERROR_MAX];
	size_t i;

	part->in_flight = 0;
	if (status == 200 || status == 412)
		platform_parse_rows(&rows, body, len, error);
	if (status != 200)
		log_failed(p, "changes", c->tag, status);
	for (i = 0; i < part->nsent; i++)
		part->sent[i]->writing = 0;
	for (i = 0; status == 412 && i < rows.n; i++)
		if (strcmp(rows.rows[i].key, STORED_MARKER_KEY) != 0)
			stored_job_apply_row(p, &rows.rows[i]);
		else
			apply_marker(p, part, &rows.rows[i]);
	part->write_due = p->now + interval_after(part, status);
	for (i = 0; i < part->nsent; i++) {
		struct stored_job *j = part->sent[i];

		/* The row was removed, by a call that got no reply. */
		if (status == 412 && j->cancelling && !find_row(&rows, j->id))
			j->version = 0;
		if (status == 200)
			job_written(p, j, rows.version);
		else if (j->job)
			stored_job_queue(part, j);
	}
	platform_rows_finish(&rows);
}

/* Packs the row of a job. The submission is left out once the job has ended. */
static struct rp_str pack_job(const struct pool *p, struct stored_job *j)
{
	PoolSubmit *submit = j->job->submit;
	size_t nlosses = j->job->n_losses, ndomains = j->job->n_domains;
	struct rp_str value;

	if (j->ended_at) {
		j->job->submit = NULL;
		j->job->n_losses = j->job->n_domains = 0;
	}
	j->job->writer = p->sched.fence;
	value.len = pool_job__get_packed_size(j->job);
	value.ptr = malloc(value.len + 1);
	pool_job__pack(j->job, (uint8_t *)value.ptr);
	j->job->submit = submit;
	j->job->n_losses = nlosses;
	j->job->n_domains = ndomains;
	return value;
}

static void send_transaction(struct pool *p, unsigned part,
			     struct platform_write *writes, size_t n,
			     pool_call_cb *on_done)
{
	struct pool_call *c = pool_store_transact(
		p,
		platform_transaction_body(JOBS_TABLE, pool_part_name(part),
					  writes, n),
		0, on_done);

	c->tag = part;
	c->group = p->call_group;
}

/*
 * Cancellations are written apart from other rows. The submission of such a job
 * may be written first, and the whole transaction fails then.
 */
static void write_part(struct pool *p, unsigned i)
{
	struct stored_part *part = &p->stored_jobs->parts[i];
	struct platform_write writes[STORED_BATCH_ROWS + 1];
	struct stored_job **at = &part->first, *j;
	size_t n = 0, bytes = 0, k;

	while ((j = *at) && n < STORED_BATCH_ROWS &&
	       bytes < STORED_BATCH_BYTES) {
		if (n && j->cancelling != part->sent[0]->cancelling) {
			at = &j->next;
			continue;
		}
		*at = j->next;
		j->queued = 0;
		if (!j->job || stored_job_drop_stale_cancel(p, j))
			continue;
		j->writing = 1;
		j->sent_mark = j->mark;
		part->sent[n] = j;
		writes[n++] = (struct platform_write){
			.key = j->id,
			.value = pack_job(p, j),
			.expected_version = j->version,
		};
		bytes += writes[n - 1].value.len;
	}
	for (part->last = at; *part->last;)
		part->last = &(*part->last)->next;
	part->nsent = n;
	if (!n)
		return;
	part->in_flight = 1;
	writes[n] = marker_check(part);
	send_transaction(p, i, writes, n + 1, on_jobs_written);
	for (k = 0; k < n; k++)
		free((void *)writes[k].value.ptr);
}

/* --- markers ------------------------------------------------------------ */

/*
 * Starts to read the jobs when all parts have the marker of this leader, as
 * the previous leader cannot write to them any more then.
 */
static void start_reading_jobs(struct pool *p)
{
	struct pool_watch *w = &store_of(p)->watches[WATCH_JOBS];
	int i;

	for (i = 0; i < JOBS_PARTS; i++)
		if (!p->stored_jobs->parts[i].marker_version)
			return;
	if (!w->disabled)
		return;
	w->disabled = 0;
	pool_watch_restart(w);
}

static void on_marker_written(struct pool_call *c, long status,
			      const char *body, size_t len)
{
	struct pool *p = c->p;
	struct stored_part *part = &p->stored_jobs->parts[c->tag];
	struct platform_rows rows;
	char error[PLATFORM_ERROR_MAX];

	part->in_flight = 0;
	part->write_due = p->now + (status == 200 ? 0 : WRITE_BACKOFF_MS);
	if (status != 200) {
		log_failed(p, "marker", c->tag, status);
		return;
	}
	if (!platform_parse_rows(&rows, body, len, error))
		part->marker_version = rows.version;
	platform_rows_finish(&rows);
	start_reading_jobs(p);
}

static void write_marker(struct pool *p, unsigned i)
{
	char fence[24];
	struct platform_write write = { .key = STORED_MARKER_KEY,
					.expected_version =
						PLATFORM_ANY_VERSION };

	snprintf(fence, sizeof(fence), "%llu",
		 (unsigned long long)p->sched.fence);
	write.value = str_of(fence);
	p->stored_jobs->parts[i].in_flight = 1;
	send_transaction(p, i, &write, 1, on_marker_written);
}

/* --- removal of ended jobs ---------------------------------------------- */

/*
 * A row that the failed removal expected, and that the store does not have, was
 * removed by an earlier call, of which the reply was lost.
 */
static void on_removed(struct pool_call *c, long status, const char *body,
		       size_t len)
{
	struct pool *p = c->p;
	struct stored_jobs *s = p->stored_jobs;
	struct platform_rows rows = { .n = 0 };
	char error[PLATFORM_ERROR_MAX];
	int has_reply = status == 200;
	size_t i;

	s->removal_in_flight = 0;
	if (status == 412)
		has_reply = !platform_parse_rows(&rows, body, len, error);
	if (status != 200)
		log_failed(p, "removal", c->tag, status);
	for (i = 0; i < s->nremoving; i++) {
		struct stored_job *j = s->removing[i];

		j->removing = 0;
		if (has_reply && !find_row(&rows, j->id))
			stored_job_remove(p, j);
	}
	if (status == 200 && s->nremoving == STORED_BATCH_ROWS)
		s->removal_due = p->now + REMOVAL_MORE_MS;
	platform_rows_finish(&rows);
}

static int is_expired(const struct pool *p, const struct stored_job *j)
{
	return j->ended_at && !j->job && !j->queued && !j->writing &&
	       pool_store_now(p) - j->ended_at >
		       p->set.ended_retention + POOL_RETENTION_MARGIN_MS;
}

/* Removes expired jobs of one part, as a transaction covers one part. */
static void remove_expired(struct pool *p)
{
	struct stored_jobs *s = p->stored_jobs;
	struct platform_write writes[STORED_BATCH_ROWS + 1];
	apr_hash_index_t *i;
	void *value;

	s->nremoving = 0;
	for (i = apr_hash_first(NULL, s->jobs);
	     i && s->nremoving < STORED_BATCH_ROWS; i = apr_hash_next(i)) {
		struct stored_job *j;

		apr_hash_this(i, NULL, NULL, &value);
		j = value;
		if (!is_expired(p, j) ||
		    (s->nremoving && j->part != s->removing[0]->part))
			continue;
		writes[s->nremoving] = (struct platform_write){
			.key = j->id,
			.expected_version = j->version,
		};
		j->removing = 1;
		s->removing[s->nremoving++] = j;
	}
	if (!s->nremoving)
		return;
	s->removal_in_flight = 1;
	writes[s->nremoving] = marker_check(&s->parts[s->removing[0]->part]);
	send_transaction(p, s->removing[0]->part, writes, s->nremoving + 1,
			 on_removed);
}

void stored_write_tick(struct pool *p, rp_ms now)
{
	struct stored_jobs *s = p->stored_jobs;
	unsigned i;

	for (i = 0; i < JOBS_PARTS; i++) {
		struct stored_part *part = &s->parts[i];

		if (part->in_flight || now < part->write_due)
			continue;
		if (!part->marker_version)
			write_marker(p, i);
		else if (part->first)
			write_part(p, i);
	}
	if (s->removal_in_flight || now < s->removal_due)
		return;
	s->removal_due = now + REMOVAL_INTERVAL_MS;
	remove_expired(p);
}
