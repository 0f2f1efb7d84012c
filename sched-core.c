/* The scheduler's state, its events that are not about one run, its tick. */

#include "lead.h"
#include "scheduler.h"

#include <stdlib.h>
#include <string.h>

#define DECAY_MS 500 /* between steps of sched_learn_decay() */

static struct rp_plugin *find_policy(enum rp_plugin_kind kind, const char *name,
				     const char *otherwise)
{
	return plugin_find(kind, name ? name : otherwise);
}

static int find_policies(struct sched *s, const struct sched_policies *names)
{
	static const struct sched_policies defaults;

	if (!names)
		names = &defaults;
	/* The plug-in is the first member of each. */
	s->order = (const struct sched_order_ops *)find_policy(
		RP_PLUGIN_ORDER, names->order, "latest-start");
	s->admit = (const struct sched_admit_ops *)find_policy(
		RP_PLUGIN_ADMISSION, names->admit, "on-time");
	s->place = (const struct sched_place_ops *)find_policy(
		RP_PLUGIN_PLACE, names->place, "slowest-on-time");
	s->move = (const struct sched_move_ops *)find_policy(
		RP_PLUGIN_MOVE, names->move, "progress");
	return s->order && s->admit && s->place && s->move ? 0 : -1;
}

/*
 * Tokens of one count: the leader's, then those of domains that are cut off
 * from it.
 */
static uint32_t first_run(uint64_t fence)
{
	uint64_t turn = LEAD_COUNT(fence) * 2 + LEAD_IS_ALONE(fence);

	/* The first leader's count is 1, its runs begin at 1. */
	return (uint32_t)((turn - 2) * SCHED_RUNS_PER_TOKEN + 1);
}

int sched_init(struct sched *s, const struct sched_ops *ops, void *user,
	       const struct sched_policies *policies, uint64_t fence,
	       rp_ms hold_most, rp_ms now)
{
	memset(s, 0, sizeof(*s));
	s->ops = ops;
	s->user = user;
	s->fence = fence;
	s->first_run = first_run(fence);
	s->hold_most = hold_most;
	s->now = s->since = now;
	s->fill = SCHED_FILL_FIRST;
	apr_pool_create(&s->pool, NULL);
	s->queues = hash_new(s->pool);
	s->by_id = hash_new(s->pool);
	s->past = hash_new(s->pool);
	s->services = hash_new(s->pool);
	s->open = hash_new(s->pool);
	s->past_last = &s->past_first;
	return find_policies(s, policies);
}

void sched_raise(struct sched *s, uint64_t fence, rp_ms now)
{
	size_t i;

	s->now = now;
	s->fence = fence;
	for (i = 0; i < s->ntargets; i++) {
		struct sched_target *t = s->targets[i];

		if (t->state == SCHED_HELD && !t->unanswered)
			continue;
		t->state = SCHED_UNHELD;
		t->taken = 0;
		t->hold_retry_at = now;
	}
}

static void free_jobs(struct sched_job *job)
{
	while (job) {
		struct sched_job *next = job->next;

		sched_job_free(job);
		job = next;
	}
}

static void free_target(struct sched_target *t)
{
	free(t->orphans);
	free(t->told);
	free(t);
}

void sched_finish(struct sched *s)
{
	size_t i;

	free_jobs(s->jobs);
	free_jobs(s->closed);
	for (i = 0; i < s->ntargets; i++)
		free_target(s->targets[i]);
	free(s->targets);
	sched_past_finish(s);
	apr_pool_destroy(s->pool);
	s->jobs = s->closed = NULL;
	s->pool = NULL;
}

struct sched_target *sched_find_target(struct sched *s, const char *id)
{
	return apr_hash_get(s->by_id, id, APR_HASH_KEY_STRING);
}

static struct sched_job *find_job(struct sched *s, void *owner, uint64_t seq)
{
	struct sched_job *job;

	for (job = s->jobs; job; job = job->next)
		if (job->owner == owner && job->seq == seq)
			return job;
	return NULL;
}

/* Whether runs of an earlier submission of the id are not over. */
static int earlier_runs(const struct sched_job *job)
{
	const struct sched_job *other;

	for (other = job->s->closed; other; other = other->next)
		if (other->nplaced && !strcmp(other->id, job->id))
			return 1;
	return 0;
}

/*
 * A caller that got no answer submits the job again, at any entry VM. The
 * earlier submission ends, and the new one starts nothing until its runs are
 * over.
 */
static void supersede(struct sched_job *job, struct sched_job *other)
{
	if (other)
		sched_job_answer(other, POOL_ANSWER__OUTCOME__INCOMPLETE,
				 "submitted again", 0);
	job->again = earlier_runs(job);
	sched_job_recall(job);
}

/*
 * The owner's connection broke, and messages may be lost with it; what comes
 * after these tells that it has all of them.
 */
static void tell_again(struct sched_job *job)
{
	size_t i;

	for (i = 0; i < job->ntasks; i++)
		if (job->tasks[i].state == SCHED_DONE)
			job->s->ops->progress(job->s, job, &job->tasks[i]);
}

void sched_submit(struct sched *s, void *owner, const PoolSubmit *sub,
		  rp_ms now)
{
	struct sched_job *other = sched_open_job(s, str_of(sub->id)), *job;
	const char *reason;
	rp_ms retry_after;

	s->now = now;
	if (other && other->owner == owner && other->seq == sub->seq) {
		tell_again(other);
		return;
	}
	job = sched_job_new(s, owner, sub, now);
	s->count.jobs++;
	supersede(job, other);
	if (job->former || job->ndone) {
		sched_adopt_job(job);
		return;
	}
	if (job->stored || s->admit->admit(s, job, &reason, &retry_after))
		return;
	sched_job_answer(job, POOL_ANSWER__OUTCOME__REJECTED, reason,
			 retry_after);
}

/* Ends a job that nobody waits for. */
static void drop(struct sched_job *job)
{
	job->owner = NULL;
	job->s->count.cancelled++;
	sched_job_answer(job, POOL_ANSWER__OUTCOME__INCOMPLETE, "cancelled", 0);
}

void sched_cancel(struct sched *s, void *owner, uint64_t seq, rp_ms now)
{
	struct sched_job *job = find_job(s, owner, seq);

	s->now = now;
	if (job)
		drop(job);
}

void sched_cancel_stored(struct sched *s, const char *id, rp_ms now)
{
	struct sched_job *job = sched_open_job(s, str_of(id));

	s->now = now;
	if (job && job->stored)
		drop(job);
}

void sched_owner_gone(struct sched *s, void *owner, rp_ms now)
{
	struct sched_job *job, *next;

	s->now = now;
	for (job = s->jobs; job; job = next) {
		next = job->next;
		if (job->owner == owner)
			drop(job);
	}
	sched_heard(s, owner, SCHED_ALL_MARKS, now);
}

/* Ends jobs whose time is over. */
static void expire(struct sched *s)
{
	struct sched_job *job, *next;

	for (job = s->jobs; job; job = next) {
		/* A former scheduler may have started some of it. */
		int ran = job->first_start || job->former;

		next = job->next;
		if (s->now < job->useful_until)
			continue;
		sched_job_answer(job,
				 ran ? POOL_ANSWER__OUTCOME__INCOMPLETE
				     : POOL_ANSWER__OUTCOME__REJECTED,
				 "no time left", 1000);
	}
}

static void forget_target(struct sched_target *t)
{
	struct sched *s = t->s;

	s->ops->forget(s, t);
	apr_hash_set(s->by_id, t->is.id, APR_HASH_KEY_STRING, NULL);
	s->targets[t->index] = s->targets[--s->ntargets];
	s->targets[t->index]->index = t->index;
	free_target(t);
}

/* Renews leases, notices targets whose lease is over, forgets old ones. */
static void tend_targets(struct sched *s)
{
	size_t i;

	/* From the end: forgetting one moves the last into its place. */
	for (i = s->ntargets; i-- > 0;) {
		struct sched_target *t = s->targets[i];

		if (t->nruns && s->now >= t->lease_over)
			sched_target_lapsed(t, "lease over");
		if (!t->listed && !t->nruns && !t->holding) {
			forget_target(t);
			continue;
		}
		sched_adopt_tick(t);
		sched_target_hold(t);
	}
}

void sched_tick(struct sched *s, rp_ms now)
{
	s->now = now;
	if (now - s->decayed_at >= DECAY_MS) {
		s->decayed_at = now;
		sched_learn_decay(s);
		sched_past_expire(s);
	}
	expire(s);
	tend_targets(s);
	s->move->judge(s);
	sched_pump(s, now);
}

static struct sched_target *add_target(struct sched *s,
				       const struct sched_listing *l)
{
	struct sched_target *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->s = s;
	t->is = *l;
	t->service = sched_service_of(s, l->service);
	t->life = l->born;
	t->life_at = s->now;
	t->answered_at = s->now;
	sched_learn_target(t);
	if (s->ntargets == s->cap_targets) {
		s->cap_targets = s->cap_targets * 2 + 64;
		s->targets = realloc(s->targets,
				     s->cap_targets * sizeof(*s->targets));
	}
	t->index = s->ntargets;
	s->targets[s->ntargets++] = t;
	apr_hash_set(s->by_id, t->is.id, APR_HASH_KEY_STRING, t);
	return t;
}

void sched_listed(struct sched *s, const struct sched_listing *l, rp_ms now)
{
	struct sched_target *t = sched_find_target(s, l->id);
	int again;

	s->now = now;
	if (!t)
		t = add_target(s, l);
	if (!t)
		return;
	again = (t->is.born != l->born && t->life != l->born) ||
		strcmp(t->is.address, l->address) != 0;
	t->is = *l;
	t->service = sched_service_of(s, l->service);
	t->listed = 1;
	if (again)
		sched_target_reborn(t, l->born);
	sched_target_hold(t);
}

void sched_list_read(struct sched *s)
{
	s->listed = 1;
}

void sched_hold_stored(struct sched *s, int held, rp_ms now)
{
	struct sched_job *job;
	size_t i;

	s->now = now;
	s->stored_held = held;
	for (job = s->jobs; held && job; job = job->next)
		for (i = 0; job->stored && i < job->ntasks; i++)
			if (job->tasks[i].target)
				sched_run_stop(&job->tasks[i]);
}

void sched_jobs_read(struct sched *s)
{
	s->jobs_read = 1;
}

void sched_unlisted(struct sched *s, const char *id, rp_ms now)
{
	struct sched_target *t = sched_find_target(s, id);

	s->now = now;
	if (!t)
		return;
	t->listed = 0;
	t->is.ready = 0;
}

/* Starts as many of the job's tasks as there is room for. */
static void start_tasks(struct sched_job *job)
{
	size_t i;

	if (job->stored && job->s->stored_held)
		return;
	if (job->again && earlier_runs(job))
		return;
	job->again = 0;
	/* Where its tasks run, if they do, is not known yet. */
	if (job->former && !sched_adopt_settled(job))
		return;
	for (i = 0; i < job->ntasks && job->nwaiting; i++) {
		struct sched_task *task = &job->tasks[i];
		struct sched_target *t;

		if (task->state != SCHED_WAITING ||
		    !sched_step_ready(job, task->step))
			continue;
		job->avoid = task->avoid;
		t = job->s->place->place(job->s, job, &job->steps[task->step]);
		if (!t)
			return;
		sched_run_start(task, t);
	}
}

void sched_pump(struct sched *s, rp_ms now)
{
	struct sched_job *job, *next;
	int behind;

	s->now = now;
	if (s->pumping)
		return;
	s->pumping = 1;
	s->turn++;
	for (behind = 0; behind <= 1; behind++)
		for (job = s->jobs; job; job = next) {
			next = job->next;
			if (!job->nwaiting ||
			    behind != s->order->behind(job, now))
				continue;
			if (behind && !job->queued_late)
				sched_admit_late(job);
			start_tasks(job);
		}
	s->pumping = 0;
}
