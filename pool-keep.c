/*
 * Stored jobs on the leader, which schedules them.
 *
 * The leader follows the table of jobs and writes the progress of their tasks
 * to their rows. A target keeps the end of a run until the leader acknowledges
 * it, which it does only after the store has committed the change. Changes of
 * one part that come while a transaction is in flight, or shortly after one,
 * are written together.
 */

#include "pool-keep.h"

#include <stdlib.h>
#include <string.h>

/*
 * The leader suspends stored jobs when the store has not confirmed its
 * leadership for this time, as a successor may soon start them. A successor
 * waits for longer than this.
 */
#define LEADERSHIP_CONFIRM_MS 1000
/* Time after a takeover in which the previous leader may start new jobs. */
#define PREV_LEADER_START_MS 1200
/*
 * Time to read the table after a takeover, for which the store has replied a
 * moment ago. If it is away then, jobs that are not stored must not wait for
 * it.
 */
#define READ_TABLE_MS 1000

void pool_stored_begin(struct pool *p)
{
	struct stored_jobs *s = calloc(1, sizeof(*s));
	int i;

	apr_pool_create(&s->pool, NULL);
	s->jobs = hash_new(s->pool);
	s->deferred_last = &s->deferred;
	for (i = 0; i < JOBS_PARTS; i++)
		s->parts[i].last = &s->parts[i].first;
	p->stored_jobs = s;
	/* Nothing need wait for the table if it is empty. */
	if (!p->has_stored_jobs)
		sched_stored_jobs_loaded(&p->sched);
	/* A provisional leader need not reach the store. */
	else if (!lead_is_provisional(&p->lead))
		sched_await_cancelled(&p->sched, p->now + READ_TABLE_MS);
}

/* Counts the job's bytes, with those of its row while that is kept. */
static void hold_job(struct pool *p, struct stored_job *j, size_t row_len)
{
	/* The row's lists and texts are allocated one by one. */
	size_t n = STORED_ENDED_BYTES + (j->job ? 2 * row_len : 0);

	pool_hold(p, RP_HOLD_STORED, (long)n - (long)j->held);
	j->held = n;
}

void stored_job_close(struct pool *p, struct stored_job *j)
{
	pool_job__free_unpacked(j->job, NULL);
	j->job = NULL;
	hold_job(p, j, 0);
}

static void stored_job_free(struct pool *p, struct stored_job *j)
{
	stored_job_undefer(p, j);
	pool_hold(p, RP_HOLD_STORED, -(long)j->held);
	pool_job__free_unpacked(j->job, NULL);
	free(j);
}

void pool_stored_end(struct pool *p)
{
	apr_hash_index_t *i;
	void *value;

	pool_cancel_queries_end(p);
	if (!p->stored_jobs)
		return;
	for (i = apr_hash_first(NULL, p->stored_jobs->jobs); i;
	     i = apr_hash_next(i)) {
		apr_hash_this(i, NULL, NULL, &value);
		/* The scheduler, which counts it as waiting, has ended. */
		((struct stored_job *)value)->deferred_bytes = 0;
		stored_job_free(p, value);
	}
	apr_pool_destroy(p->stored_jobs->pool);
	free(p->stored_jobs);
	p->stored_jobs = NULL;
}

struct stored_job *stored_job_find(struct pool *p, const char *id)
{
	return apr_hash_get(p->stored_jobs->jobs, id, APR_HASH_KEY_STRING);
}

int pool_stored_started(struct pool *p, const char *id)
{
	const struct sched_job *job;

	if (!p->leading)
		return 0;
	job = sched_find_open_job(&p->sched, str_of(id));
	return job && job->first_started_at;
}

/* --- changes to write -------------------------------------------------- */

void stored_job_queue(struct stored_part *part, struct stored_job *j)
{
	if (j->queued)
		return;
	j->queued = 1;
	j->next = NULL;
	*part->last = j;
	part->last = &j->next;
}

uint64_t stored_job_changed(struct pool *p, struct stored_job *j)
{
	j->mark = ++p->stored_jobs->last_mark;
	stored_job_queue(&p->stored_jobs->parts[j->part], j);
	return j->mark;
}

uint64_t pool_stored_progress(struct pool *p, struct sched_job *job,
			      const struct sched_task *task)
{
	struct stored_job *j = job->owner;
	uint32_t number = (uint32_t)(task - job->tasks);

	if (!j->job)
		return 0;
	if (task->state == SCHED_DONE)
		stored_row_add_number(&j->job->done, &j->job->n_done, number);
	else
		stored_row_add_failure(j->job, number,
				       task->failed_runs[task->failures - 1]);
	return stored_job_changed(p, j);
}

uint64_t pool_stored_losses(struct pool *p, struct sched_job *job)
{
	struct stored_job *j = job->owner;

	if (!j->job)
		return 0;
	pool_losses_free(j->job->losses, j->job->n_losses);
	j->job->losses = pool_losses_encode(job, &j->job->n_losses);
	return stored_job_changed(p, j);
}

uint64_t pool_stored_domains(struct sched *s, struct sched_job *job)
{
	struct stored_job *j = job->owner;

	if (!j || !j->job)
		return 0;
	stored_row_add_domain(j->job, job->domains[job->ndomains - 1]);
	return stored_job_changed(s->user, j);
}

uint64_t pool_stored_answer(struct pool *p, struct sched_job *job,
			    PoolAnswer__Outcome outcome)
{
	struct stored_job *j = job->owner;

	if (!j->job || (outcome != POOL_ANSWER__OUTCOME__COMPLETED &&
			outcome != POOL_ANSWER__OUTCOME__FAILED))
		return 0;
	j->job->state = outcome == POOL_ANSWER__OUTCOME__COMPLETED
				? POOL_JOB__STATE__COMPLETED
				: POOL_JOB__STATE__FAILED;
	j->state = j->job->state;
	j->ended_at = pool_store_now(p);
	j->job->ended_ms = (uint64_t)j->ended_at;
	return stored_job_changed(p, j);
}

/* Acknowledges all changes of the job: none will be written any more. */
static void ack_all(struct pool *p, struct stored_job *j)
{
	sched_owner_acked(&p->sched, j, SCHED_ALL_MARKS, p->now);
}

void stored_job_remove(struct pool *p, struct stored_job *j)
{
	ack_all(p, j);
	apr_hash_set(p->stored_jobs->jobs, j->id, APR_HASH_KEY_STRING, NULL);
	stored_job_set_unsubmitted(p, j, 0);
	stored_job_free(p, j);
}

/* --- rows -------------------------------------------------------------- */

/*
 * The fencing token of the previous leader if it may have started tasks of the
 * job. 0 when it cannot have: the row was written in this leader's term, which
 * has lasted long enough that the previous leader starts no more jobs.
 */
static uint64_t prev_leader_token(const struct pool *p,
				  const struct stored_job *j)
{
	rp_ms since = p->sched.started_at;

	/* Another leader may have acted until the token was raised. */
	if (p->sched.fence_raised_at > since)
		since = p->sched.fence_raised_at;
	if (!j->job->n_domains && j->version > p->lead.row.version &&
	    p->now - since > PREV_LEADER_START_MS)
		return 0;
	return LEAD_TOKEN(LEAD_TERM(p->sched.fence) - 1);
}

/* Since the job was accepted, ms. */
static uint32_t age_of(const struct pool *p, const PoolJob *job)
{
	rp_ms now = pool_store_now(p), age;

	if (now < 0 || job->accepted_ms > (uint64_t)now)
		return 0;
	age = now - (rp_ms)job->accepted_ms;
	return age < UINT32_MAX ? (uint32_t)age : UINT32_MAX;
}

static void schedule(struct pool *p, struct stored_job *j)
{
	PoolSubmit *sub = j->job->submit;

	sub->age_ms = age_of(p, j->job);
	sub->former = prev_leader_token(p, j);
	sub->done = j->job->done;
	sub->n_done = j->job->n_done;
	sub->failed = j->job->failed;
	sub->n_failed = j->job->n_failed;
	sub->failed_runs = j->job->failed_runs;
	sub->n_failed_runs = j->job->n_failed_runs;
	sub->losses = j->job->losses;
	sub->n_losses = j->job->n_losses;
	sub->domains = j->job->domains;
	sub->n_domains = j->job->n_domains;
	sched_submit(&p->sched, j, sub, p->now);
	sub->done = sub->failed = sub->failed_runs = NULL;
	sub->losses = NULL;
	sub->domains = NULL;
	sub->n_done = sub->n_failed = sub->n_losses = sub->n_failed_runs = 0;
	sub->n_domains = 0;
	p->dispatch_due = 1;
}

static void set_ended(struct pool *p, struct stored_job *j, const PoolJob *job)
{
	j->state = job->state;
	j->ended_at = (rp_ms)job->ended_ms;
	j->cancelling = 0;
	stored_job_set_unsubmitted(p, j, job->unsubmitted);
}

void stored_job_end(struct pool *p, struct stored_job *j, const PoolJob *job)
{
	LOG_EVENT(LOG_LEVEL_INFO, "job_closed", LOG_TEXT("id", j->id),
		  LOG_NUMBER("state", job->state),
		  LOG_NUMBER("version", j->version));
	sched_cancel_stored(&p->sched, j->id, p->now);
	set_ended(p, j, job);
	stored_job_undefer(p, j);
	stored_job_close(p, j);
	ack_all(p, j);
}

/*
 * Merges a write of the previous leader that came after the row was read. The
 * domains that this leader was about to write are not in the store.
 */
static void merge_late_write(struct pool *p, struct stored_job *j,
			     const PoolJob *job)
{
	if (!stored_row_merge(j->job, job))
		return;
	LOG_EVENT(LOG_LEVEL_INFO, "job_late_progress", LOG_TEXT("id", j->id),
		  LOG_NUMBER("done", (long long)j->job->n_done),
		  LOG_NUMBER("writer", (long long)job->writer));
	sched_cancel_stored(&p->sched, j->id, p->now);
	schedule(p, j);
	sched_domains_await(&p->sched, j->id, stored_job_changed(p, j));
}

/*
 * Applies a row that differs from the last one written here: the caller has
 * cancelled the job, or the previous leader has written it.
 */
static void apply_change(struct pool *p, struct stored_job *j,
			 const PoolJob *job)
{
	if (j->deferred_bytes && job->state != POOL_JOB__STATE__OPEN) {
		stored_job_end(p, j, job);
		return;
	}
	if (j->cancelling) {
		stored_job_apply_cancelled(p, j, job);
		return;
	}
	if (!j->job || j->job->state != POOL_JOB__STATE__OPEN)
		return;
	if (job->state != POOL_JOB__STATE__OPEN)
		stored_job_end(p, j, job);
	else if (job->writer != p->sched.fence)
		merge_late_write(p, j, job);
}

/* Whether the row can be of a job of this id. An open one is scheduled. */
static int job_is_valid(const char *id, const PoolJob *job)
{
	const PoolSubmit *sub =
		job->state == POOL_JOB__STATE__OPEN ? job->submit : NULL;

	return strlen(id) < SCHED_ID_MAX &&
	       job->n_domains <= SCHED_DOMAINS_MAX &&
	       (!sub || (sched_submit_is_valid(sub) && !strcmp(sub->id, id)));
}

static void log_malformed(struct pool *p, const char *key)
{
	if (pool_row_fault_is_new(p, key))
		log_warn("job", key, "malformed row of a job");
}

struct stored_job *stored_job_new(struct pool *p, const char *id)
{
	struct stored_job *j = calloc(1, sizeof(*j));

	str_copy(j->id, sizeof(j->id), str_of(id));
	j->part = pool_job_part(j->id);
	apr_hash_set(p->stored_jobs->jobs, j->id, APR_HASH_KEY_STRING, j);
	hold_job(p, j, 0);
	return j;
}

static void add_job(struct pool *p, const struct platform_row *row,
		    PoolJob *job)
{
	struct stored_job *j = stored_job_new(p, row->key);

	j->version = row->version;
	p->has_stored_jobs = 1;
	if (job->state == POOL_JOB__STATE__OPEN && job->submit &&
	    !stored_job_defer(p, j, job)) {
		j->job = job;
		hold_job(p, j, row->len);
		schedule(p, j);
		return;
	}
	set_ended(p, j, job);
	hold_job(p, j, 0);
	/* Its entry VM has submitted it to this leader before the row was read.
	 */
	if (job->state == POOL_JOB__STATE__CANCELLED)
		sched_cancel_unstored(&p->sched, j->id, p->now);
	pool_job__free_unpacked(job, NULL);
}

void stored_job_load(struct pool *p, struct stored_job *j,
		     const struct platform_row *row)
{
	PoolJob *job = pool_job__unpack(NULL, row->len, (uint8_t *)row->value);

	if (!job || !job_is_valid(row->key, job)) {
		log_malformed(p, row->key);
		pool_job__free_unpacked(job, NULL);
		stored_job_undefer(p, j);
		return;
	}
	j->version = row->version;
	if (job->state != POOL_JOB__STATE__OPEN || !job->submit) {
		stored_job_end(p, j, job);
		pool_job__free_unpacked(job, NULL);
		return;
	}
	stored_job_undefer(p, j);
	j->job = job;
	hold_job(p, j, row->len);
	schedule(p, j);
}

void stored_job_apply_row(struct pool *p, const struct platform_row *row)
{
	struct stored_job *j = stored_job_find(p, row->key);
	PoolJob *job;

	if (!row->value || (j && row->version <= j->version))
		return;
	job = pool_job__unpack(NULL, row->len, (uint8_t *)row->value);
	if (!job || (!j && !job_is_valid(row->key, job))) {
		log_malformed(p, row->key);
		pool_job__free_unpacked(job, NULL);
		if (j && j->cancelling)
			j->version = row->version; /* it is replaced */
		return;
	}
	if (!j) {
		add_job(p, row, job);
		return;
	}
	j->version = row->version;
	apply_change(p, j, job);
	pool_job__free_unpacked(job, NULL);
}

void pool_stored_complete(struct pool_watch *w)
{
	if (!w->p->stored_jobs)
		return;
	w->p->has_stored_jobs = apr_hash_count(w->p->stored_jobs->jobs) > 0;
	sched_stored_jobs_loaded(&w->p->sched);
	LOG_EVENT(LOG_LEVEL_INFO, "jobs_read",
		  LOG_NUMBER("jobs", (long long)apr_hash_count(
					     w->p->stored_jobs->jobs)),
		  LOG_NUMBER("after_ms", w->p->now - w->p->sched.started_at));
}

void pool_stored_row(struct pool_watch *w, const struct platform_row *row)
{
	if (w->p->stored_jobs && strcmp(row->key, STORED_MARKER_KEY) != 0)
		stored_job_apply_row(w->p, row);
}

/*
 * Whether another leader may run the stored jobs: the regular one beside this
 * provisional one, or a successor, which needs the store to take over, and only
 * does so when this leader's heartbeats fail to arrive.
 */
static int another_may_lead(struct pool *p)
{
	if (lead_is_provisional(&p->lead))
		return 1;
	return p->now - p->leadership_confirmed_at >= LEADERSHIP_CONFIRM_MS &&
	       !pool_all_vms_linked(p);
}

static void check_leadership(struct pool *p)
{
	int suspend = another_may_lead(p);

	if (suspend == p->sched.stored_suspended)
		return;
	LOG_EVENT(LOG_LEVEL_WARN,
		  suspend ? "stored_jobs_suspended" : "stored_jobs_resumed",
		  LOG_NUMBER("leadership_confirmed_ms_ago",
			     p->now - p->leadership_confirmed_at));
	sched_suspend_stored(&p->sched, suspend, p->now);
	p->dispatch_due = 1;
}

void pool_stored_tick(struct pool *p, rp_ms now)
{
	check_leadership(p);
	stored_load_deferred(p);
	/* A marker of this token would keep the regular leader from writing. */
	if (!lead_is_provisional(&p->lead))
		stored_write_tick(p, now);
}
