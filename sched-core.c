/*
 * State of the scheduler, its periodic work, and events other than replies of
 * targets.
 */

#include "lead.h"
#include "sched-int.h"

#include <stdlib.h>
#include <string.h>

#define DECAY_INTERVAL_MS 500
#define NO_MEMORY_RETRY_MS 1000
/* Factor on the run time away from the rack, unless it is set. */
#define REMOTE_FACTOR 2.0

static struct rp_plugin *find_policy(enum rp_plugin_kind kind, const char *name,
				     const char *fallback)
{
	return plugin_find(kind, name ? name : fallback);
}

static int find_policies(struct sched *s, const struct sched_policies *names)
{
	static const struct sched_policies defaults;

	if (!names)
		names = &defaults;
	/* The plug-in is the first member of each struct of operations. */
	s->order = (const struct sched_order_ops *)find_policy(
		RP_PLUGIN_ORDER, names->order, "priority");
	s->admit = (const struct sched_admit_ops *)find_policy(
		RP_PLUGIN_ADMISSION, names->admit, "priority");
	s->place = (const struct sched_place_ops *)find_policy(
		RP_PLUGIN_PLACE, names->place, "slowest-on-time");
	s->move = (const struct sched_move_ops *)find_policy(
		RP_PLUGIN_MOVE, names->move, "progress");
	s->hopeless = (const struct sched_hopeless_ops *)find_policy(
		RP_PLUGIN_HOPELESS, names->hopeless, "bound");
	s->leave = (const struct sched_leave_ops *)find_policy(
		RP_PLUGIN_LEAVE, names->leave, "move");
	return s->order && s->admit && s->place && s->move && s->hopeless &&
			       s->leave
		       ? 0
		       : -1;
}

/*
 * Each term has two ranges of run numbers: one for its regular leader and a
 * higher one for its provisional leaders.
 */
static uint32_t first_run(uint64_t fence)
{
	uint64_t range = LEAD_TERM(fence) * 2 + LEAD_IS_PROVISIONAL(fence);

	/* The first term is 1, and its runs are numbered from 1. */
	return (uint32_t)((range - 2) * SCHED_RUNS_PER_TOKEN + 1);
}

int sched_init(struct sched *s, const struct sched_ops *ops, void *user,
	       const struct sched_policies *policies, uint64_t fence,
	       rp_ms max_lease, rp_ms now)
{
	memset(s, 0, sizeof(*s));
	s->ops = ops;
	s->user = user;
	s->fence = fence;
	s->first_run = first_run(fence);
	s->max_lease = max_lease;
	s->now = s->started_at = now;
	s->usable_share = SCHED_USABLE_SHARE_INITIAL;
	s->job_outlier_share = 0.5;
	apr_pool_create(&s->pool, NULL);
	s->queues = hash_new(s->pool);
	s->targets_by_id = hash_new(s->pool);
	s->history = hash_new(s->pool);
	s->services = hash_new(s->pool);
	s->domains = hash_new(s->pool);
	s->evacuated = hash_new(s->pool);
	s->rack_claims = hash_new(s->pool);
	s->remote_factor = REMOTE_FACTOR;
	s->open_jobs = hash_new(s->pool);
	heap_init(&s->history_expiry);
	s->released_tail = &s->released_head;
	return find_policies(s, policies);
}

/*
 * Targets refuse a run that is not numbered higher than one that has ended
 * there, and another scheduler may have used higher numbers meanwhile.
 */
static void raise_run_numbers(struct sched *s)
{
	struct sched_job *job;

	s->first_run = first_run(s->fence);
	for (job = s->jobs; job; job = job->next)
		if (job->next_run < s->first_run)
			job->next_run = s->first_run;
}

void sched_raise_fence(struct sched *s, uint64_t fence, rp_ms now)
{
	size_t i;

	s->now = s->fence_raised_at = now;
	s->fence = fence;
	raise_run_numbers(s);
	s->suspended = 0; /* the store has named this leader again */
	for (i = 0; i < s->ntargets; i++) {
		struct sched_target *t = s->targets[i];

		t->state = SCHED_UNHELD;
		t->hold_acquires = 0; /* its token is too low */
		t->adopted = 0;
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
	free(t->given_up);
	free(t->late_starts);
	free(t->unacked);
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
	sched_history_finish(s);
	apr_pool_destroy(s->pool);
	s->jobs = s->closed = NULL;
	s->pool = NULL;
}

struct sched_target *sched_find_target(struct sched *s, const char *id)
{
	return apr_hash_get(s->targets_by_id, id, APR_HASH_KEY_STRING);
}

static struct sched_job *find_job(struct sched *s, void *owner, uint64_t seq)
{
	struct sched_job *job;

	for (job = s->jobs; job; job = job->next)
		if (job->owner == owner && job->seq == seq)
			return job;
	return NULL;
}

/*
 * A caller that got no answer may submit the job again, at any entry VM. The
 * earlier submission is answered, and the new one starts no task until the
 * earlier one's runs are over.
 */
static void supersede(struct sched_job *job, struct sched_job *earlier)
{
	/* Its owner may not know of the leader that started it before. */
	if (earlier && !job->prev_fence)
		job->prev_fence = earlier->prev_fence;
	if (earlier) {
		earlier->superseded = 1;
		sched_job_answer(earlier, POOL_ANSWER__OUTCOME__INCOMPLETE,
				 "superseded by another submission", 0);
	}
	job->awaits_earlier_runs = sched_has_earlier_runs(job);
	sched_history_restore(job);
}

/*
 * Sends the job's progress again, as the owner's connection broke and messages
 * may have been lost. Acknowledgements are cumulative: one of a new message
 * covers the lost ones.
 */
static void resend_progress(struct sched_job *job)
{
	size_t i;

	for (i = 0; i < job->ntasks; i++)
		if (job->tasks[i].state == SCHED_DONE)
			job->s->ops->progress(job->s, job, &job->tasks[i]);
	if (job->nsuspects)
		sched_losses_changed(job);
	sched_domains_resend(job);
}

/* While stored jobs wait for memory, others have at most a quarter of it. */
static int has_memory_for(const struct sched *s, const PoolSubmit *sub)
{
	size_t n = sched_submit_memory(sub);

	return budget_has_room(s->budget, RP_HOLD_JOBS, n) &&
	       (!s->ndeferred ||
		budget_is_within_part(s->budget, RP_HOLD_JOBS, n, 4));
}

struct sched_queue *sched_defer(struct sched *s, const PoolSubmit *sub)
{
	struct sched_queue *q = sched_get_queue(
		s, sub->queue,
		sub->steps[0]->estimate_ms ? sub->steps[0]->estimate_ms : 1);

	s->ndeferred++;
	q->nwaiting++;
	return q;
}

void sched_undefer(struct sched *s, struct sched_queue *q)
{
	s->ndeferred--;
	q->nwaiting--;
}

void sched_submit(struct sched *s, void *owner, const PoolSubmit *sub,
		  rp_ms now)
{
	struct sched_job *earlier = sched_find_open_job(s, str_of(sub->id)),
			 *job;
	int has_memory = has_memory_for(s, sub);
	const char *reason = SCHED_NO_MEMORY;
	rp_ms retry_after = NO_MEMORY_RETRY_MS;

	s->now = now;
	if (earlier && earlier->owner == owner && earlier->seq == sub->seq) {
		earlier->awaits_submission = 0;
		if (!sched_adopt_returned(earlier, sub))
			resend_progress(earlier);
		return;
	}
	job = sched_job_new(s, owner, sub, now);
	s->count.jobs++;
	supersede(job, earlier);
	if (sched_adopt_job(job))
		return;
	/* What was accepted, or may have been started, is kept in any case. */
	if (job->stored ||
	    (has_memory && s->admit->admit(s, job, &reason, &retry_after)))
		return;
	s->count.no_memory += !has_memory;
	sched_job_answer(job, POOL_ANSWER__OUTCOME__REJECTED, reason,
			 retry_after);
}

/* Cancels a job that nobody waits for. */
static void cancel_job(struct sched_job *job)
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
		cancel_job(job);
}

void sched_cancel_stored(struct sched *s, const char *id, rp_ms now)
{
	struct sched_job *job = sched_find_open_job(s, str_of(id));

	s->now = now;
	if (job && job->stored)
		cancel_job(job);
}

int sched_cancel_unstored(struct sched *s, const char *id, rp_ms now)
{
	struct sched_job *job = sched_find_open_job(s, str_of(id));

	s->now = now;
	if (!job || job->stored)
		return 0;
	s->count.cancelled++;
	sched_job_answer(job, POOL_ANSWER__OUTCOME__CANCELLED,
			 "cancelled at another entry VM", 0);
	return 1;
}

void sched_owner_lost(struct sched *s, void *owner, rp_ms now)
{
	struct sched_job *job, *next;

	s->now = now;
	for (job = s->jobs; job; job = next) {
		next = job->next;
		if (job->owner != owner)
			continue;
		job->owner_lost = 1;
		if (!job->stored)
			sched_callers_waited_until(s, job->deadline);
		cancel_job(job);
	}
	sched_unacked_owner_lost(s, owner);
}

/* Answers jobs that have expired. */
static void expire_jobs(struct sched *s)
{
	struct sched_job *job, *next;

	for (job = s->jobs; job; job = next) {
		/* An earlier scheduler may have started some tasks. */
		int started = job->first_started_at || job->prev_fence;

		next = job->next;
		if (s->now < job->expires_at)
			continue;
		sched_job_answer(job,
				 started ? POOL_ANSWER__OUTCOME__INCOMPLETE
					 : POOL_ANSWER__OUTCOME__REJECTED,
				 "the job expired", 1000);
	}
}

static void remove_target(struct sched_target *t)
{
	struct sched *s = t->s;

	sched_set_more_ends(t, 0);
	s->ops->target_removed(s, t);
	apr_hash_set(s->targets_by_id, t->listing.id, APR_HASH_KEY_STRING,
		     NULL);
	s->targets[t->index] = s->targets[--s->ntargets];
	s->targets[t->index]->index = t->index;
	free_target(t);
}

/* Renews leases, drops runs whose lease is over, removes unlisted targets. */
static void check_targets(struct sched *s)
{
	size_t i;

	sched_silence_tick(s);
	/* Backwards, as removing a target moves the last into its place. */
	for (i = s->ntargets; i-- > 0;) {
		struct sched_target *t = s->targets[i];

		if (t->nruns && s->now >= t->lease_until)
			sched_target_lease_over(t);
		/* One that is back would drop ends that nobody knows of yet. */
		if (!t->listed && !t->nruns && !t->nunacked &&
		    !t->hold_in_flight && !sched_adopt_is_awaited(t) &&
		    s->now >= t->late_until) {
			remove_target(t);
			continue;
		}
		sched_unacked_expire(t);
		sched_adopt_tick(t);
		sched_target_hold(t);
	}
}

void sched_tick(struct sched *s, rp_ms now)
{
	s->now = now;
	if (now - s->decayed_at >= DECAY_INTERVAL_MS) {
		s->decayed_at = now;
		sched_learn_decay(s);
		sched_history_expire(s);
	}
	expire_jobs(s);
	check_targets(s);
	sched_loss_tick(s);
	if (!s->suspended) {
		sched_hopeless_tick(s);
		sched_leave_tick(s);
		s->move->move_runs(s);
	}
	sched_dispatch(s, now);
}

static struct sched_target *add_target(struct sched *s,
				       const struct sched_listing *l)
{
	struct sched_target *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->s = s;
	t->listing = *l;
	t->service = sched_get_service(s, l->service);
	t->domain = sched_get_domain(s, l->failure_domain);
	t->incarnation = l->incarnation;
	t->incarnation_at = s->now;
	t->replied_at = s->now;
	sched_reset_slowdown(t);
	if (s->ntargets == s->cap_targets) {
		s->cap_targets = s->cap_targets * 2 + 64;
		s->targets = realloc(s->targets,
				     s->cap_targets * sizeof(*s->targets));
	}
	t->index = s->ntargets;
	s->targets[s->ntargets++] = t;
	apr_hash_set(s->targets_by_id, t->listing.id, APR_HASH_KEY_STRING, t);
	return t;
}

void sched_target_listed(struct sched *s, const struct sched_listing *l,
			 rp_ms now)
{
	struct sched_target *t = sched_find_target(s, l->id);
	int replaced;

	s->now = now;
	if (!t)
		t = add_target(s, l);
	if (!t)
		return;
	replaced = (t->listing.incarnation != l->incarnation &&
		    t->incarnation != l->incarnation) ||
		   strcmp(t->listing.address, l->address) != 0;
	t->listing = *l;
	t->service = sched_get_service(s, l->service);
	t->domain = sched_get_domain(s, l->failure_domain);
	t->listed = 1;
	t->draining = !l->ready;
	t->leave_at = t->draining && l->stays ? now + l->stays : 0;
	sched_evacuate_target(t);
	if (replaced)
		sched_target_new_incarnation(t, l->incarnation);
	sched_target_hold(t);
}

void sched_suspend_stored(struct sched *s, int suspend, rp_ms now)
{
	struct sched_job *job;
	size_t i;

	s->now = now;
	s->stored_suspended = suspend;
	for (job = s->jobs; suspend && job; job = job->next)
		for (i = 0; job->stored && i < job->ntasks; i++)
			if (job->tasks[i].target)
				sched_run_stop(&job->tasks[i]);
}

void sched_suspend(struct sched *s, int suspend, rp_ms now)
{
	s->now = now;
	s->suspended = suspend;
}

void sched_stored_jobs_loaded(struct sched *s)
{
	s->stored_jobs_loaded = 1;
}

void sched_await_cancelled(struct sched *s, rp_ms until)
{
	s->cancelled_awaited_until = until;
}

void sched_target_unlisted(struct sched *s, const char *id, rp_ms now)
{
	struct sched_target *t = sched_find_target(s, id);

	s->now = now;
	if (!t)
		return;
	if (t->listed)
		t->unlisted_at = now;
	t->listed = 0;
	t->listing.ready = 0;
}
