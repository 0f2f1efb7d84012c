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

static void end_written(struct pool *p, struct kept *k, int64_t version)
{
	k->version = version;
	sched_heard(&p->sched, k, k->sent_mark, p->now);
	if (k->mark > k->sent_mark) {
		keep_queue(&p->keep->parts[k->part], k);
	} else if (k->ended) {
		pool_job__free_unpacked(k->job, NULL);
		k->job = NULL;
	}
}

static struct platform_write marker_check(const struct keep_part *part)
{
	return (struct platform_write){
		.key = KEEP_MARKER,
		.expected = part->marker,
		.only_check = 1,
	};
}

/* Another leader has marked the part since, or a former one's mark was late. */
static void take_marker(struct pool *p, struct keep_part *part,
			const struct platform_row *row)
{
	uint64_t fence = row->value ? strtoull(row->value, NULL, 10) : 0;

	if (row->version == part->marker)
		return;
	LOG_EVENT(LOG_LEVEL_WARN, "jobs_marked_by_another",
		  LOG_NUMBER("fence", (long long)fence),
		  LOG_NUMBER("own_fence", (long long)p->sched.fence));
	part->marker = 0;
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
	struct keep_part *part = &p->keep->parts[c->run];
	struct platform_rows rows = { .n = 0 };
	char why[PLATFORM_WHY];
	size_t i;

	part->calling = 0;
	part->due = p->now + (status == 200 ? EVERY_MS : BACK_OFF_MS);
	if (status == 200 || status == 412)
		platform_read_rows(&rows, body, len, why);
	if (status != 200)
		log_failed(p, "changes", c->run, status);
	for (i = 0; i < part->nsent; i++)
		part->sent[i]->writing = 0;
	for (i = 0; status == 412 && i < rows.n; i++)
		if (strcmp(rows.rows[i].key, KEEP_MARKER) != 0)
			keep_take_row(p, &rows.rows[i]);
		else
			take_marker(p, part, &rows.rows[i]);
	for (i = 0; i < part->nsent; i++) {
		struct kept *k = part->sent[i];

		if (status == 200)
			end_written(p, k, rows.version);
		else if (k->job)
			keep_queue(part, k);
	}
	platform_rows_finish(&rows);
}

/* A job that is over is known by its state only. */
static struct rp_str pack(const struct pool *p, struct kept *k)
{
	PoolSubmit *submit = k->job->submit;
	struct rp_str value;

	if (k->ended)
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
		     pool_call_done *done)
{
	struct pool_call *c = pool_store_write(
		p,
		platform_writes_body(JOBS_TABLE, pool_part_name(part), writes,
				     n),
		0, done);

	c->run = part;
	c->token = p->call_token;
}

static void write_part(struct pool *p, unsigned i)
{
	struct keep_part *part = &p->keep->parts[i];
	struct platform_write writes[KEEP_BATCH + 1];
	size_t n = 0, j;

	while (part->first && n < KEEP_BATCH) {
		struct kept *k = part->first;

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
	part->calling = 1;
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
		if (!p->keep->parts[i].marker)
			return;
	if (!w->off)
		return;
	w->off = 0;
	pool_watch_restart(w);
}

static void on_marked(struct pool_call *c, long status, const char *body,
		      size_t len)
{
	struct pool *p = c->p;
	struct keep_part *part = &p->keep->parts[c->run];
	struct platform_rows rows;
	char why[PLATFORM_WHY];

	part->calling = 0;
	part->due = p->now + (status == 200 ? 0 : BACK_OFF_MS);
	if (status != 200) {
		log_failed(p, "marker", c->run, status);
		return;
	}
	if (!platform_read_rows(&rows, body, len, why))
		part->marker = rows.version;
	platform_rows_finish(&rows);
	read_when_marked(p);
}

static void mark_part(struct pool *p, unsigned i)
{
	char fence[24];
	struct platform_write write = { .key = KEEP_MARKER,
					.expected = PLATFORM_ANY_VERSION };

	snprintf(fence, sizeof(fence), "%llu",
		 (unsigned long long)p->sched.fence);
	write.value = str_of(fence);
	p->keep->parts[i].calling = 1;
	transact(p, i, &write, 1, on_marked);
}

/* --- jobs that are long over -------------------------------------------- */

static void on_swept(struct pool_call *c, long status, const char *body,
		     size_t len)
{
	struct pool_keep *keep = c->p->keep;
	size_t i;

	(void)body;
	(void)len;
	keep->sweeping = 0;
	if (status != 200)
		log_failed(c->p, "removal", c->run, status);
	for (i = 0; status == 200 && i < keep->nswept; i++)
		keep_forget(c->p, keep->swept[i]);
}

static int is_old(const struct pool *p, const struct kept *k)
{
	return k->ended && !k->job && !k->queued && !k->writing &&
	       pool_store_now(p) - k->ended > p->set.status + SLACK_MS;
}

/* Removes some of one part, as a transaction has one. */
static void sweep(struct pool *p)
{
	struct pool_keep *keep = p->keep;
	struct platform_write writes[KEEP_BATCH + 1];
	apr_hash_index_t *i;
	void *value;

	keep->nswept = 0;
	for (i = apr_hash_first(NULL, keep->jobs);
	     i && keep->nswept < KEEP_BATCH; i = apr_hash_next(i)) {
		struct kept *k;

		apr_hash_this(i, NULL, NULL, &value);
		k = value;
		if (!is_old(p, k) ||
		    (keep->nswept && k->part != keep->swept[0]->part))
			continue;
		writes[keep->nswept] = (struct platform_write){
			.key = k->id,
			.expected = k->version,
		};
		keep->swept[keep->nswept++] = k;
	}
	if (!keep->nswept)
		return;
	keep->sweeping = 1;
	writes[keep->nswept] = marker_check(&keep->parts[keep->swept[0]->part]);
	transact(p, keep->swept[0]->part, writes, keep->nswept + 1, on_swept);
}

void keep_write_tick(struct pool *p, rp_ms now)
{
	struct pool_keep *keep = p->keep;
	unsigned i;

	for (i = 0; i < JOBS_PARTS; i++) {
		struct keep_part *part = &keep->parts[i];

		if (part->calling || now < part->due)
			continue;
		if (!part->marker)
			mark_part(p, i);
		else if (part->first)
			write_part(p, i);
	}
	if (keep->sweeping || now - keep->sweep_at < SWEEP_MS)
		return;
	keep->sweep_at = now;
	sweep(p);
}
