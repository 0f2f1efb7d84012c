/*
 * Rows of stored jobs on their way to the store: changes, the marker of each
 * part, and the removal of what is long over.
 */

#include "pool-keep.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EVERY_MS 50	/* between transactions of one part */
#define BACK_OFF_MS 300 /* after a transaction that failed */
#define SWEEP_MS 2000	/* between removals of jobs that are long over */
#define SLACK_MS 30000	/* they are kept longer by */

static void end_written(struct pool *p, struct stored_job *k, int64_t version)
{
	k->version = version;
	sched_heard(&p->sched, k, k->sent_mark, p->now);
	if (k->mark > k->sent_mark) {
		stored_job_queue(&p->stored_jobs->parts[k->part], k);
	} else if (k->ended_at) {
		pool_job__free_unpacked(k->job, NULL);
		k->job = NULL;
	}
}

static struct platform_write marker_check(const struct stored_part *part)
{
	return (struct platform_write){
		.key = STORED_MARKER_KEY,
		.expected = part->marker_version,
		.only_check = 1,
	};
}

/* Another leader has marked the part since, or a former one's mark was late. */
static void take_marker(struct pool *p, struct stored_part *part,
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

/* The rows are written again later. */
static void log_failed(struct pool *p, const char *what, unsigned part,
		       long status)
{
	p->count.store_failed++;
	LOG_EVENT(LOG_LEVEL_WARN, "jobs_write_failed", LOG_TEXT("what", what),
		  LOG_NUMBER("part", part), LOG_NUMBER("status", status));
}

static void on_written(struct pool_call *c, long status, const char *body,
		       size_t len)
{
	struct pool *p = c->p;
	struct stored_part *part = &p->stored_jobs->parts[c->tag];
	struct platform_rows rows = { .n = 0 };
	char why[PLATFORM_WHY];
	size_t i;

	part->in_flight = 0;
	part->write_due = p->now + (status == 200 ? EVERY_MS : BACK_OFF_MS);
	if (status == 200 || status == 412)
		platform_read_rows(&rows, body, len, why);
	if (status != 200)
		log_failed(p, "changes", c->tag, status);
	for (i = 0; i < part->nsent; i++)
		part->sent[i]->writing = 0;
	for (i = 0; status == 412 && i < rows.n; i++)
		if (strcmp(rows.rows[i].key, STORED_MARKER_KEY) != 0)
			stored_job_apply_row(p, &rows.rows[i]);
		else
			take_marker(p, part, &rows.rows[i]);
	for (i = 0; i < part->nsent; i++) {
		struct stored_job *k = part->sent[i];

		if (status == 200)
			end_written(p, k, rows.version);
		else if (k->job)
			stored_job_queue(part, k);
	}
	platform_rows_finish(&rows);
}

/* A job that is over is known by its state only. */
static struct rp_str pack(const struct pool *p, struct stored_job *k)
{
	PoolSubmit *submit = k->job->submit;
	struct rp_str value;

	if (k->ended_at)
		k->job->submit = NULL;
	k->job->writer = p->sched.fence;
	value.len = pool_job__get_packed_size(k->job);
	value.ptr = malloc(value.len + 1);
	pool_job__pack(k->job, (uint8_t *)value.ptr);
	k->job->submit = submit;
	return value;
}

static void transact(struct pool *p, unsigned part,
		     struct platform_write *writes, size_t n,
		     pool_call_cb *done)
{
	struct pool_call *c = pool_store_transact(
		p,
		platform_writes_body(JOBS_TABLE, pool_part_name(part), writes,
				     n),
		0, done);

	c->tag = part;
	c->group = p->call_group;
}

static void write_part(struct pool *p, unsigned i)
{
	struct stored_part *part = &p->stored_jobs->parts[i];
	struct platform_write writes[STORED_BATCH_ROWS + 1];
	size_t n = 0, j;

	while (part->first && n < STORED_BATCH_ROWS) {
		struct stored_job *k = part->first;

		part->first = k->next;
		k->queued = 0;
		if (!k->job)
			continue;
		k->writing = 1;
		k->sent_mark = k->mark;
		part->sent[n] = k;
		writes[n++] = (struct platform_write){
			.key = k->id,
			.value = pack(p, k),
			.expected = k->version,
		};
	}
	if (!part->first)
		part->last = &part->first;
	part->nsent = n;
	if (!n)
		return;
	part->in_flight = 1;
	writes[n] = marker_check(part);
	transact(p, i, writes, n + 1, on_written);
	for (j = 0; j < n; j++)
		free((void *)writes[j].value.ptr);
}

/* --- markers ------------------------------------------------------------ */

/* Rows are read once no former leader can write to them any more. */
static void read_when_marked(struct pool *p)
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

static void on_marked(struct pool_call *c, long status, const char *body,
		      size_t len)
{
	struct pool *p = c->p;
	struct stored_part *part = &p->stored_jobs->parts[c->tag];
	struct platform_rows rows;
	char why[PLATFORM_WHY];

	part->in_flight = 0;
	part->write_due = p->now + (status == 200 ? 0 : BACK_OFF_MS);
	if (status != 200) {
		log_failed(p, "marker", c->tag, status);
		return;
	}
	if (!platform_read_rows(&rows, body, len, why))
		part->marker_version = rows.version;
	platform_rows_finish(&rows);
	read_when_marked(p);
}

static void mark_part(struct pool *p, unsigned i)
{
	char fence[24];
	struct platform_write write = { .key = STORED_MARKER_KEY,
					.expected = PLATFORM_ANY_VERSION };

	snprintf(fence, sizeof(fence), "%llu",
		 (unsigned long long)p->sched.fence);
	write.value = str_of(fence);
	p->stored_jobs->parts[i].in_flight = 1;
	transact(p, i, &write, 1, on_marked);
}

/* --- jobs that are long over -------------------------------------------- */

static void on_swept(struct pool_call *c, long status, const char *body,
		     size_t len)
{
	struct stored_jobs *keep = c->p->stored_jobs;
	size_t i;

	(void)body;
	(void)len;
	keep->removal_in_flight = 0;
	if (status != 200)
		log_failed(c->p, "removal", c->tag, status);
	for (i = 0; status == 200 && i < keep->nremoving; i++)
		stored_job_forget(c->p, keep->removing[i]);
}

static int is_old(const struct pool *p, const struct stored_job *k)
{
	return k->ended_at && !k->job && !k->queued && !k->writing &&
	       pool_store_now(p) - k->ended_at >
		       p->set.ended_retention + SLACK_MS;
}

/* Removes some of one part, as a transaction has one. */
static void sweep(struct pool *p)
{
	struct stored_jobs *keep = p->stored_jobs;
	struct platform_write writes[STORED_BATCH_ROWS + 1];
	apr_hash_index_t *i;
	void *value;

	keep->nremoving = 0;
	for (i = apr_hash_first(NULL, keep->jobs);
	     i && keep->nremoving < STORED_BATCH_ROWS; i = apr_hash_next(i)) {
		struct stored_job *k;

		apr_hash_this(i, NULL, NULL, &value);
		k = value;
		if (!is_old(p, k) ||
		    (keep->nremoving && k->part != keep->removing[0]->part))
			continue;
		writes[keep->nremoving] = (struct platform_write){
			.key = k->id,
			.expected = k->version,
		};
		keep->removing[keep->nremoving++] = k;
	}
	if (!keep->nremoving)
		return;
	keep->removal_in_flight = 1;
	writes[keep->nremoving] =
		marker_check(&keep->parts[keep->removing[0]->part]);
	transact(p, keep->removing[0]->part, writes, keep->nremoving + 1,
		 on_swept);
}

void stored_write_tick(struct pool *p, rp_ms now)
{
	struct stored_jobs *keep = p->stored_jobs;
	unsigned i;

	for (i = 0; i < JOBS_PARTS; i++) {
		struct stored_part *part = &keep->parts[i];

		if (part->in_flight || now < part->write_due)
			continue;
		if (!part->marker_version)
			mark_part(p, i);
		else if (part->first)
			write_part(p, i);
	}
	if (keep->removal_in_flight || now - keep->removed_at < SWEEP_MS)
		return;
	keep->removed_at = now;
	sweep(p);
}
