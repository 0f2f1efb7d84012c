/* Binds waiting tasks to targets that have room, late and in queue order. */

#include "rosemary-int.h"

#define PAUSE_FIRST_MS 10

/* Samples before a learned run time of the whole service is relied on. */
#define TIME_SAMPLES 20
/* Samples of a target that weigh as much as the service's mean. */
#define PRIOR_SAMPLES 2.0
/* A job is hopeless when even the mean and this many deviations are late. */
#define TAIL_DEVIATIONS 1.0
/* One job beyond the learned time still starts per span, to learn anew. */
#define PROBE_INTERVAL_MS 500
/* A tick as late as this means that the process was paused. */
#define PAUSED_MS 200

void target_pause(struct rp_target *t, rp_ms now, rp_ms most)
{
	if (t->paused)
		return;
	t->pause_length = t->pause_length ? 2 * t->pause_length
					  : PAUSE_FIRST_MS;
	if (t->pause_length > most)
		t->pause_length = most;
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
	double n = (double)t->learned.count;
	double prior = t->svc->learned.mean;

	return (n * t->learned.mean + PRIOR_SAMPLES * prior) /
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

	if (!n || svc->learned.count < TIME_SAMPLES)
		return 0;
	t = RP_CONTAINER(n, struct rp_target, run_time_node);
	return target_mean_time(t) + TAIL_DEVIATIONS * t->learned.dev;
}

/* Whether the job's next task could not end in time on any target. */
static int is_hopeless(struct rp_job *job, rp_ms now)
{
	struct rp_service *svc = job->svc;
	rp_ms left = job->deadline - now;

	if (left <= 0)
		return 1;
	if ((double)left >= service_min_time(svc))
		return 0;
	if (now < svc->next_trial_at)
		return 1;
	svc->next_trial_at = now + PROBE_INTERVAL_MS;
	return 0;
}

static void fail_hopeless(struct rp_job *job, rp_ms now,
			  struct rp_actions *acts)
{
	struct rp_status st;

	rp_status_set(&st, RP_E_DEADLINE, RP_STEP_QUEUE, "",
		      "cannot end in time: %lld ms left, a task takes %.0f ms",
		      (long long)(job->deadline - now),
		      service_min_time(job->svc));
	job_fail(job, now, &st, acts);
}

/* Takes the job's next waiting task out of the queue. */
static uint32_t job_take(struct rp_job *job, rp_ms now)
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

/* Takes a job out of the queue until a target other than avoid is there. */
static void park(struct rp_job *job)
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

static void start_next(struct rp_job *job, struct rp_target *t, rp_ms now,
		       struct rp_actions *acts)
{
	struct rp_status st;

	if (start_on_target(job, job_take(job, now), t, now, acts)) {
		if (job->svc->queue->ops->started)
			job->svc->queue->ops->started(job->svc->queue, job);
		return;
	}
	rp_status_set(&st, RP_E_INTERNAL, RP_STEP_START, t->name,
		      "a start was refused: see the invariant's count");
	job_fail(job, now, &st, acts);
}

static struct rp_target *pick_target(struct rp_job *job, rp_ms now)
{
	struct rp_service *svc = job->svc;
	struct rp_target *t;

	svc->excluded = job->failed_on;
	t = svc->route->ops->pick(svc->route, job, now);
	svc->excluded = NULL;
	return t;
}

/* Binds the job's next task; 0 when it has to wait for room. */
static int bind_next(struct rp_job *job, rp_ms now, struct rp_actions *acts)
{
	struct rp_target *t;

	if (is_hopeless(job, now)) {
		fail_hopeless(job, now, acts);
		return 1;
	}
	t = pick_target(job, now);
	if (t)
		start_next(job, t, now, acts);
	else if (job->failed_on)
		park(job);
	else
		return 0;
	return 1;
}

void dispatch_pump(struct rp_service *svc, rp_ms now, struct rp_actions *acts)
{
	struct rp_dispatch *d = svc->shard;
	struct rp_job *job;

	svc->now = now;
	/* The process was paused: leases may be over, the tick tells. */
	if (d->ticked_at && now - d->ticked_at > PAUSED_MS)
		return;
	while ((job = svc->queue->ops->next(svc->queue, now)))
		if (!bind_next(job, now, acts))
			break;
	if (svc->nqueued)
		svc->limit->ops->demand(svc->limit, svc->nqueued, now, acts);
}
