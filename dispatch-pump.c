/*
 * Binding of queued tasks to targets. A task is bound when a target can take
 * it, not earlier, in the order of the queue policy.
 */

#include "rosemary-int.h"

#define PAUSE_FIRST_MS 10 /* first pause of a target */

/* Samples of a service before jobs are failed by its run times. */
#define TIME_SAMPLES 20
/* Weight of the service's mean in a target's mean, in samples. */
#define PRIOR_SAMPLES 2.0
/* Deviations over the mean that the fastest target is given to end a task. */
#define TAIL_DEVIATIONS 1.0
/* Interval at which one job predicted late starts, to update run times. */
#define TRIAL_INTERVAL_MS 500
/* A tick that is this late, ms, shows that the process was suspended. */
#define SUSPENDED_MS 200

void target_pause(struct rp_target *t, rp_ms now, rp_ms max)
{
	if (t->paused)
		return;
	t->pause_length = t->pause_length ? 2 * t->pause_length
					  : PAUSE_FIRST_MS;
	if (t->pause_length > max)
		t->pause_length = max;
	t->paused = 1;
	heap_set(&t->svc->shard->paused, &t->pause_node,
		 (double)(now + t->pause_length));
}

void target_resume_due(struct rp_dispatch *d, rp_ms now)
{
	struct rp_heap_node *n;

	while ((n = heap_first(&d->paused)) && n->key <= (double)now) {
		struct rp_target *t =
			RP_CONTAINER(n, struct rp_target, pause_node);

		heap_remove(&d->paused, n);
		t->paused = 0;
		t->svc->route->ops->changed(t->svc->route, t, now);
	}
}

double target_mean_time(const struct rp_target *t)
{
	double n = (double)t->run_time.count;
	double prior = t->svc->run_time.mean;

	return (n * t->run_time.mean + PRIOR_SAMPLES * prior) /
	       (n + PRIOR_SAMPLES);
}

void target_reindex(struct rp_target *t)
{
	struct rp_heap *h = &t->svc->by_run_time;
	struct rp_service *svc = t->svc;
	int slots = 0;

	if (t->listed && !t->leaving && t->weight) {
		heap_set(h, &t->run_time_node, target_mean_time(t));
		slots = target_limit(t);
	} else {
		heap_remove(h, &t->run_time_node);
	}
	svc->total_limit += (size_t)(slots - t->counted_limit);
	t->counted_limit = slots;
}

double service_min_time(const struct rp_service *svc)
{
	const struct rp_heap_node *n = heap_first(&svc->by_run_time);
	const struct rp_target *t;

	if (!n || svc->run_time.count < TIME_SAMPLES)
		return 0;
	t = RP_CONTAINER(n, struct rp_target, run_time_node);
	return target_mean_time(t) + TAIL_DEVIATIONS * t->run_time.dev;
}

/*
 * Returns whether no target could end the job's next task in time. One such
 * job passes per TRIAL_INTERVAL_MS, so that outdated run times are corrected.
 */
static int cannot_meet_deadline(struct rp_job *job, rp_ms now)
{
	struct rp_service *svc = job->svc;
	rp_ms left = job->deadline - now;

	if (left <= 0)
		return 1;
	if ((double)left >= service_min_time(svc))
		return 0;
	if (now < svc->next_trial_at)
		return 1;
	svc->next_trial_at = now + TRIAL_INTERVAL_MS;
	return 0;
}

/* Fails a job that cannot meet its deadline. */
static void fail_late_job(struct rp_job *job, rp_ms now,
			  struct rp_actions *acts)
{
	struct rp_status st;

	rp_status_set(&st, RP_E_DEADLINE, RP_STEP_QUEUE, "",
		      "deadline cannot be met: %lld ms left, a task takes %.0f "
		      "ms",
		      (long long)(job->deadline - now),
		      service_min_time(job->svc));
	job_fail(job, now, &st, acts);
}

/* Removes the job's next queued task from the queue and returns it. */
static uint32_t job_pop_task(struct rp_job *job, rp_ms now)
{
	struct rp_service *svc = job->svc;
	uint32_t task = job->nrequeued ? job->requeued[--job->nrequeued]
				       : (uint32_t)job->next_task++;

	job_count_queued(job, -1);
	if (job_nqueued(job)) {
		svc->queue->ops->changed(svc->queue, job, now);
	} else {
		svc->queue->ops->remove(svc->queue, job);
		job->queued = 0;
	}
	return task;
}

/* Moves a job from the queue to the parked jobs, until the next tick. */
static void job_park(struct rp_job *job)
{
	struct rp_service *svc = job->svc;

	svc->queue->ops->remove(svc->queue, job);
	job->queued = 0;
	job->parked = 1;
	job->queue_prev = NULL;
	job->queue_next = svc->parked;
	if (job->queue_next)
		job->queue_next->queue_prev = job;
	svc->parked = job;
}

void pump_unpark_job(struct rp_job *job)
{
	if (job->queue_prev)
		job->queue_prev->queue_next = job->queue_next;
	else
		job->svc->parked = job->queue_next;
	if (job->queue_next)
		job->queue_next->queue_prev = job->queue_prev;
	job->parked = 0;
}

void pump_unpark_all(struct rp_service *svc, rp_ms now)
{
	struct rp_job *job;

	while ((job = svc->parked)) {
		pump_unpark_job(job);
		svc->queue->ops->add(svc->queue, job, now);
		job->queued = 1;
	}
}

/* Starts the job's next task on the target. */
static void start_next(struct rp_job *job, struct rp_target *t, rp_ms now,
		       struct rp_actions *acts)
{
	struct rp_status st;

	if (start_on_target(job, job_pop_task(job, now), t, now, acts)) {
		if (job->svc->queue->ops->started)
			job->svc->queue->ops->started(job->svc->queue, job);
		return;
	}
	rp_status_set(&st, RP_E_INTERNAL, RP_STEP_START, t->name,
		      "the start would violate an invariant");
	job_fail(job, now, &st, acts);
}

/* Returns the routing policy's choice, without the target that failed. */
static struct rp_target *pick_target(struct rp_job *job, rp_ms now)
{
	struct rp_service *svc = job->svc;
	struct rp_target *t;

	svc->excluded = job->failed_on;
	t = svc->route->ops->pick(svc->route, job, now);
	svc->excluded = NULL;
	return t;
}

/* Binds the job's next task; returns 0 when no target can take it. */
static int bind_next(struct rp_job *job, rp_ms now, struct rp_actions *acts)
{
	struct rp_target *t;

	if (cannot_meet_deadline(job, now)) {
		fail_late_job(job, now, acts);
		return 1;
	}
	t = pick_target(job, now);
	if (t)
		start_next(job, t, now, acts);
	else if (job->failed_on)
		job_park(job);
	else
		return 0;
	return 1;
}

void dispatch_pump(struct rp_service *svc, rp_ms now, struct rp_actions *acts)
{
	struct rp_dispatch *d = svc->shard;
	struct rp_job *job;

	svc->now = now;
	/* After a suspension leases may have expired: wait for the tick. */
	if (d->ticked_at && now - d->ticked_at > SUSPENDED_MS)
		return;
	while ((job = svc->queue->ops->next(svc->queue, now)))
		if (!bind_next(job, now, acts))
			break;
	if (svc->nqueued)
		svc->limit->ops->demand(svc->limit, svc->nqueued, now, acts);
}
