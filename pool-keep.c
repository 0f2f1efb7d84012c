/*
 * Jobs that the store keeps, on the leader that schedules them.
 *
 * The leader follows the table of jobs. What becomes of their tasks is written
 * to their rows before the targets forget it: the mark of a change is heard
 * once its transaction was done. Changes of one part that come while one is
 * under way, or within 50 ms, go together.
 */

#include "pool-keep.h"

#include <stdlib.h>
#include <string.h>

/*
 * Without word of the store for so long, a successor may start what this
 * leader runs; it waits for longer than that.
 */
#define FRESH_MS 1000
#define TAKE_OVER_MS 1200 /* a former leader may start a new job so long */

void pool_stored_begin(struct pool *p)
{
	struct stored_jobs *keep = calloc(1, sizeof(*keep));
	int i;

	apr_pool_create(&keep->pool, NULL);
	keep->jobs = hash_new(keep->pool);
	for (i = 0; i < JOBS_PARTS; i++)
		keep->parts[i].last = &keep->parts[i].first;
	p->stored_jobs = keep;
	/* Nothing that is found on targets waits for the table then. */
	if (!p->has_stored_jobs)
		sched_jobs_read(&p->sched);
}

static void free_kept(struct stored_job *k)
{
	pool_job__free_unpacked(k->job, NULL);
	free(k);
}

void pool_stored_end(struct pool *p)
{
	apr_hash_index_t *i;
	void *value;

	if (!p->stored_jobs)
		return;
	for (i = apr_hash_first(NULL, p->stored_jobs->jobs); i;
	     i = apr_hash_next(i)) {
		apr_hash_this(i, NULL, NULL, &value);
		free_kept(value);
	}
	apr_pool_destroy(p->stored_jobs->pool);
	free(p->stored_jobs);
	p->stored_jobs = NULL;
}

static struct stored_job *find(struct pool *p, const char *id)
{
	return apr_hash_get(p->stored_jobs->jobs, id, APR_HASH_KEY_STRING);
}

int pool_stored_started(struct pool *p, const char *id)
{
	const struct sched_job *job;

	if (!p->leading)
		return 0;
	job = sched_open_job(&p->sched, str_of(id));
	return job && job->first_start;
}

/* --- what is written --------------------------------------------------- */

void stored_job_queue(struct stored_part *part, struct stored_job *k)
{
	if (k->queued)
		return;
	k->queued = 1;
	k->next = NULL;
	*part->last = k;
	part->last = &k->next;
}

static uint64_t changed(struct pool *p, struct stored_job *k)
{
	k->mark = ++p->stored_jobs->last_mark;
	stored_job_queue(&p->stored_jobs->parts[k->part], k);
	return k->mark;
}

static void add(uint32_t **list, size_t *n, uint32_t number)
{
	*list = realloc(*list, (*n + 1) * sizeof(**list));
	(*list)[(*n)++] = number;
}

uint64_t pool_stored_progress(struct pool *p, struct sched_job *job,
			      const struct sched_task *task)
{
	struct stored_job *k = job->owner;
	uint32_t number = (uint32_t)(task - job->tasks);

	if (!k->job)
		return 0;
	if (task->state == SCHED_DONE)
		add(&k->job->done, &k->job->n_done, number);
	else
		add(&k->job->failed, &k->job->n_failed, number);
	return changed(p, k);
}

uint64_t pool_stored_answer(struct pool *p, struct sched_job *job,
			    PoolAnswer__Outcome outcome)
{
	struct stored_job *k = job->owner;

	if (!k->job || (outcome != POOL_ANSWER__OUTCOME__COMPLETED &&
			outcome != POOL_ANSWER__OUTCOME__FAILED))
		return 0;
	k->job->state = outcome == POOL_ANSWER__OUTCOME__COMPLETED
				? POOL_JOB__STATE__COMPLETED
				: POOL_JOB__STATE__FAILED;
	k->ended_at = pool_store_now(p);
	k->job->ended_ms = (uint64_t)k->ended_at;
	return changed(p, k);
}

/* Nothing that waits for its row to be written will be. */
static void release(struct pool *p, struct stored_job *k)
{
	sched_heard(&p->sched, k, SCHED_ALL_MARKS, p->now);
}

void stored_job_forget(struct pool *p, struct stored_job *k)
{
	release(p, k);
	apr_hash_set(p->stored_jobs->jobs, k->id, APR_HASH_KEY_STRING, NULL);
	free_kept(k);
}

/* --- rows -------------------------------------------------------------- */

static uint64_t former_of(const struct pool *p, const struct stored_job *k)
{
	if (k->version > p->lead.row.version &&
	    p->now - p->sched.since > TAKE_OVER_MS)
		return 0;
	return LEAD_TOKEN(LEAD_COUNT(p->sched.fence) - 1);
}

static void schedule(struct pool *p, struct stored_job *k)
{
	PoolSubmit *sub = k->job->submit;
	rp_ms age = pool_store_now(p) - (rp_ms)k->job->accepted_ms;

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

static void close_kept(struct pool *p, struct stored_job *k, const PoolJob *job)
{
	LOG_EVENT(LOG_LEVEL_INFO, "job_closed", LOG_TEXT("id", k->id),
		  LOG_NUMBER("state", job->state),
		  LOG_NUMBER("version", k->version));
	sched_cancel_stored(&p->sched, k->id, p->now);
	k->ended_at = (rp_ms)job->ended_ms;
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
static void learn_more(struct pool *p, struct stored_job *k, const PoolJob *job)
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
static void take_change(struct pool *p, struct stored_job *k,
			const PoolJob *job)
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
	struct stored_job *k = calloc(1, sizeof(*k));

	str_copy(k->id, sizeof(k->id), str_of(row->key));
	k->part = pool_job_part(k->id);
	k->version = row->version;
	apr_hash_set(p->stored_jobs->jobs, k->id, APR_HASH_KEY_STRING, k);
	p->has_stored_jobs = 1;
	if (job->state == POOL_JOB__STATE__OPEN && job->submit) {
		k->job = job;
		schedule(p, k);
		return;
	}
	k->ended_at = (rp_ms)job->ended_ms;
	pool_job__free_unpacked(job, NULL);
}

void stored_job_apply_row(struct pool *p, const struct platform_row *row)
{
	struct stored_job *k = find(p, row->key);
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

void pool_stored_complete(struct pool_watch *w)
{
	if (!w->p->stored_jobs)
		return;
	w->p->has_stored_jobs = apr_hash_count(w->p->stored_jobs->jobs) > 0;
	sched_jobs_read(&w->p->sched);
	LOG_EVENT(LOG_LEVEL_INFO, "jobs_read",
		  LOG_NUMBER("jobs", (long long)apr_hash_count(
					     w->p->stored_jobs->jobs)),
		  LOG_NUMBER("after_ms", w->p->now - w->p->sched.since));
}

void pool_stored_row(struct pool_watch *w, const struct platform_row *row)
{
	if (w->p->stored_jobs && strcmp(row->key, STORED_MARKER_KEY) != 0)
		stored_job_apply_row(w->p, row);
}

/*
 * A successor comes into office by the store, and only where this leader is
 * not heard.
 */
static int is_replaceable(struct pool *p)
{
	return p->now - p->leadership_confirmed_at >= FRESH_MS &&
	       !pool_all_linked(p);
}

static void check_office(struct pool *p)
{
	int held = is_replaceable(p);

	if (held == p->sched.stored_held)
		return;
	LOG_EVENT(LOG_LEVEL_WARN,
		  held ? "stored_jobs_held" : "stored_jobs_go_on",
		  LOG_NUMBER("office_confirmed_ms_ago",
			     p->now - p->leadership_confirmed_at));
	sched_hold_stored(&p->sched, held, p->now);
	p->sched_dirty = 1;
}

void pool_stored_tick(struct pool *p, rp_ms now)
{
	check_office(p);
	stored_write_tick(p, now);
}
