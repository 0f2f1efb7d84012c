/*
 * Jobs that the store keeps, on the leader that schedules them.
 *
 * The leader follows the table of jobs. What becomes of their tasks is written
 * to their rows before the targets forget it: the mark of a change is heard
 * once its transaction was done. Changes of one part that come while one is
 * under way, or within 50 ms, go together.
 */

#include "pool-store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BATCH 50    /* rows in a transaction; the store takes 100 */
#define EVERY_MS 50 /* between transactions of one part */
#define WRITTEN_MS 1500
#define BACK_OFF_MS 300 /* after a transaction that failed */
/*
 * Without word of the store for so long, a successor may start what this
 * leader runs; it waits for longer than that.
 */
#define FRESH_MS 1000
/* First row of each part: the token of the leader that writes there. */
#define MARKER "!"
#define SWEEP_MS 2000	  /* between removals of jobs that are long over */
#define SLACK_MS 30000	  /* they are kept longer by */
#define TAKE_OVER_MS 1200 /* a former leader may start a new job so long */

struct kept {
	struct kept *next; /* in its part's queue */
	char id[SCHED_ID_MAX];
	unsigned part;
	int64_t version;
	PoolJob *job; /* NULL: over, and written */
	rp_ms ended;  /* of the store's clock; 0: not over */
	int queued, writing;
	uint64_t mark, sent_mark; /* of the latest change; as sent */
};

struct keep_part {
	struct kept *first, **last; /* changed */
	struct kept *sent[BATCH];
	size_t nsent;
	int calling;
	rp_ms due;
	int64_t marker; /* version of this leader's marker; 0: none yet */
};

struct pool_keep {
	apr_pool_t *pool;
	apr_hash_t *jobs; /* id -> struct kept */
	struct keep_part parts[JOBS_PARTS];
	struct kept *swept[BATCH];
	size_t nswept;
	int sweeping;
	rp_ms sweep_at;
	uint64_t mark;
};

void pool_keep_begin(struct pool *p)
{
	struct pool_keep *keep = calloc(1, sizeof(*keep));
	int i;

	apr_pool_create(&keep->pool, NULL);
	keep->jobs = hash_new(keep->pool);
	for (i = 0; i < JOBS_PARTS; i++)
		keep->parts[i].last = &keep->parts[i].first;
	p->keep = keep;
}

static void free_kept(struct kept *k)
{
	pool_job__free_unpacked(k->job, NULL);
	free(k);
}

void pool_keep_end(struct pool *p)
{
	apr_hash_index_t *i;
	void *value;

	if (!p->keep)
		return;
	for (i = apr_hash_first(NULL, p->keep->jobs); i; i = apr_hash_next(i)) {
		apr_hash_this(i, NULL, NULL, &value);
		free_kept(value);
	}
	apr_pool_destroy(p->keep->pool);
	free(p->keep);
	p->keep = NULL;
}

static struct kept *find(struct pool *p, const char *id)
{
	return apr_hash_get(p->keep->jobs, id, APR_HASH_KEY_STRING);
}

int pool_keep_started(struct pool *p, const char *id)
{
	const struct sched_job *job;

	if (!p->leading)
		return 0;
	job = sched_open_job(&p->sched, str_of(id));
	return job && job->first_start;
}

/* --- what is written --------------------------------------------------- */

static void queue_last(struct keep_part *part, struct kept *k)
{
	if (k->queued)
		return;
	k->queued = 1;
	k->next = NULL;
	*part->last = k;
	part->last = &k->next;
}

static uint64_t changed(struct pool *p, struct kept *k)
{
	k->mark = ++p->keep->mark;
	queue_last(&p->keep->parts[k->part], k);
	return k->mark;
}

static void add(uint32_t **list, size_t *n, uint32_t number)
{
	*list = realloc(*list, (*n + 1) * sizeof(**list));
	(*list)[(*n)++] = number;
}

uint64_t pool_keep_progress(struct pool *p, struct sched_job *job,
			    const struct sched_task *task)
{
	struct kept *k = job->owner;
	uint32_t number = (uint32_t)(task - job->tasks);

	if (!k->job)
		return 0;
	if (task->state == SCHED_DONE)
		add(&k->job->done, &k->job->n_done, number);
	else
		add(&k->job->failed, &k->job->n_failed, number);
	return changed(p, k);
}

uint64_t pool_keep_answer(struct pool *p, struct sched_job *job,
			  PoolAnswer__Outcome outcome)
{
	struct kept *k = job->owner;

	if (!k->job || (outcome != POOL_ANSWER__OUTCOME__COMPLETED &&
			outcome != POOL_ANSWER__OUTCOME__FAILED))
		return 0;
	k->job->state = outcome == POOL_ANSWER__OUTCOME__COMPLETED
				? POOL_JOB__STATE__COMPLETED
				: POOL_JOB__STATE__FAILED;
	k->ended = p->now + p->store_ahead;
	k->job->ended_ms = (uint64_t)k->ended;
	return changed(p, k);
}

/* Nothing that waits for its row to be written will be. */
static void release(struct pool *p, struct kept *k)
{
	sched_heard(&p->sched, k, UINT64_MAX, p->now);
}

static void forget(struct pool *p, struct kept *k)
{
	release(p, k);
	apr_hash_set(p->keep->jobs, k->id, APR_HASH_KEY_STRING, NULL);
	free_kept(k);
}

/* --- rows -------------------------------------------------------------- */

static uint64_t former_of(const struct pool *p, const struct kept *k)
{
	if (k->version > p->lead.row.version &&
	    p->now - p->sched.since > TAKE_OVER_MS)
		return 0;
	return LEAD_TOKEN(LEAD_COUNT(p->sched.fence) - 1);
}

static void schedule(struct pool *p, struct kept *k)
{
	PoolSubmit *sub = k->job->submit;
	rp_ms age = p->now + p->store_ahead - (rp_ms)k->job->accepted_ms;

	sub->age_ms = age > 0 ? (uint32_t)age : 0;
	sub->former = former_of(p, k);
	sub->done = k->job->done;
	sub->n_done = k->job->n_done;
	sub->failed = k->job->failed;
	sub->n_failed = k->job->n_failed;
	sched_submit(&p->sched, k, sub, p->now);
	sub->done = sub->failed = NULL;
	sub->n_done = sub->n_failed = 0;
	p->sched_dirty = 1;
}

static void close_kept(struct pool *p, struct kept *k, const PoolJob *job)
{
	LOG_EVENT(LOG_LEVEL_INFO, "job_closed", LOG_TEXT("id", k->id),
		  LOG_NUMBER("state", job->state),
		  LOG_NUMBER("version", k->version));
	sched_cancel_stored(&p->sched, k->id, p->now);
	k->ended = (rp_ms)job->ended_ms;
	pool_job__free_unpacked(k->job, NULL);
	k->job = NULL;
	release(p, k);
}

static int lists(const uint32_t *list, size_t n, uint32_t number)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (list[i] == number)
			return 1;
	return 0;
}

/* Adds what the other list has more. Returns whether there was any. */
static int merge(uint32_t **list, size_t *n, const uint32_t *other, size_t m)
{
	size_t i, before = *n;

	for (i = 0; i < m; i++)
		if (!lists(*list, before, other[i]))
			add(list, n, other[i]);
	return *n > before;
}

/* The former leader's last write came after this one had read the row. */
static void learn_more(struct pool *p, struct kept *k, const PoolJob *job)
{
	int more =
		merge(&k->job->done, &k->job->n_done, job->done, job->n_done);

	if (!more)
		return;
	LOG_EVENT(LOG_LEVEL_INFO, "job_learned", LOG_TEXT("id", k->id),
		  LOG_NUMBER("done", (long long)k->job->n_done),
		  LOG_NUMBER("writer", (long long)job->writer));
	sched_cancel_stored(&p->sched, k->id, p->now);
	schedule(p, k);
	changed(p, k);
}

/* The row has changed, and not by a write that was answered. */
static void take_change(struct pool *p, struct kept *k, const PoolJob *job)
{
	if (!k->job || k->job->state != POOL_JOB__STATE__OPEN)
		return;
	if (job->state != POOL_JOB__STATE__OPEN)
		close_kept(p, k, job);
	else if (job->writer != p->sched.fence)
		learn_more(p, k, job);
}

static void add_row(struct pool *p, const struct platform_row *row,
		    PoolJob *job)
{
	struct kept *k = calloc(1, sizeof(*k));

	str_copy(k->id, sizeof(k->id), str_of(row->key));
	k->part = (unsigned)atoi(pool_job_part(k->id));
	k->version = row->version;
	apr_hash_set(p->keep->jobs, k->id, APR_HASH_KEY_STRING, k);
	if (job->state == POOL_JOB__STATE__OPEN && job->submit) {
		k->job = job;
		schedule(p, k);
		return;
	}
	k->ended = (rp_ms)job->ended_ms;
	pool_job__free_unpacked(job, NULL);
}

static void take_row(struct pool *p, const struct platform_row *row)
{
	struct kept *k = find(p, row->key);
	PoolJob *job;

	if (!row->value || (k && row->version <= k->version))
		return;
	job = pool_job__unpack(NULL, row->len, (uint8_t *)row->value);
	if (!job) {
		log_warn("job", row->key, "row that cannot be read");
		return;
	}
	if (!k) {
		add_row(p, row, job);
		return;
	}
	k->version = row->version;
	take_change(p, k, job);
	pool_job__free_unpacked(job, NULL);
}

void pool_keep_read(struct pool_watch *w)
{
	if (!w->p->keep)
		return;
	sched_jobs_read(&w->p->sched);
	LOG_EVENT(LOG_LEVEL_INFO, "jobs_read",
		  LOG_NUMBER("jobs",
			     (long long)apr_hash_count(w->p->keep->jobs)),
		  LOG_NUMBER("after_ms", w->p->now - w->p->sched.since));
}

void pool_keep_row(struct pool_watch *w, const struct platform_row *row)
{
	if (w->p->keep && strcmp(row->key, MARKER) != 0)
		take_row(w->p, row);
}

/* --- transactions ------------------------------------------------------ */

static void end_written(struct pool *p, struct kept *k, int64_t version)
{
	k->version = version;
	sched_heard(&p->sched, k, k->sent_mark, p->now);
	if (k->mark > k->sent_mark) {
		queue_last(&p->keep->parts[k->part], k);
	} else if (k->ended) {
		pool_job__free_unpacked(k->job, NULL);
		k->job = NULL;
	}
}

static struct platform_write marker_check(const struct keep_part *part)
{
	return (struct platform_write){
		.key = MARKER,
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
	else
		p->count.store_failed++;
	for (i = 0; i < part->nsent; i++)
		part->sent[i]->writing = 0;
	for (i = 0; status == 412 && i < rows.n; i++)
		if (strcmp(rows.rows[i].key, MARKER) != 0)
			take_row(p, &rows.rows[i]);
		else
			take_marker(p, part, &rows.rows[i]);
	for (i = 0; i < part->nsent; i++) {
		struct kept *k = part->sent[i];

		if (status == 200)
			end_written(p, k, rows.version);
		else if (k->job)
			queue_last(part, k);
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

static struct pool_call *transact(struct pool *p, unsigned part,
				  struct platform_write *writes, size_t n,
				  pool_call_done *done)
{
	struct pool_call_spec spec = {
		.address = p->set.store,
		.path = PLATFORM_WRITE_PATH,
		.timeout = WRITTEN_MS,
		.done = done,
	};
	struct pool_call *c;
	char name[16];

	snprintf(name, sizeof(name), "%u", part);
	spec.request = platform_writes_body(JOBS_TABLE, name, writes, n);
	p->count.store_calls++;
	c = pool_call_begin(p, &spec);
	c->run = part;
	c->token = p->call_token;
	return c;
}

static void write_part(struct pool *p, unsigned i)
{
	struct keep_part *part = &p->keep->parts[i];
	struct platform_write writes[BATCH + 1];
	size_t n = 0, j;

	while (part->first && n < BATCH) {
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
		p->count.store_failed++;
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
	struct platform_write write = { .key = MARKER,
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
	for (i = 0; status == 200 && i < keep->nswept; i++)
		forget(c->p, keep->swept[i]);
}

static int is_old(const struct pool *p, const struct kept *k)
{
	return k->ended && !k->job && !k->queued && !k->writing &&
	       p->now + p->store_ahead - k->ended > p->set.status + SLACK_MS;
}

/* Removes some of one part, as a transaction has one. */
static void sweep(struct pool *p)
{
	struct pool_keep *keep = p->keep;
	struct platform_write writes[BATCH + 1];
	apr_hash_index_t *i;
	void *value;

	keep->nswept = 0;
	for (i = apr_hash_first(NULL, keep->jobs); i && keep->nswept < BATCH;
	     i = apr_hash_next(i)) {
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

/*
 * A successor comes into office by the store, and only where this leader is
 * not heard.
 */
static int is_replaceable(struct pool *p)
{
	return p->now - p->office_at >= FRESH_MS && !pool_all_linked(p);
}

static void check_office(struct pool *p)
{
	int held = is_replaceable(p);

	if (held == p->sched.stored_held)
		return;
	LOG_EVENT(LOG_LEVEL_WARN,
		  held ? "stored_jobs_held" : "stored_jobs_go_on",
		  LOG_NUMBER("office_confirmed_ms_ago", p->now - p->office_at));
	sched_hold_stored(&p->sched, held, p->now);
	p->sched_dirty = 1;
}

void pool_keep_tick(struct pool *p, rp_ms now)
{
	struct pool_keep *keep = p->keep;
	unsigned i;

	check_office(p);

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
