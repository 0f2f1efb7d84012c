/*
 * Routing policy "earliest": earliest expected finish. A heap orders the
 * available targets by expected run time. The best of them is compared with
 * waiting for a slot of a faster target. Busy targets are summed up by class
 * of run time for this, so that a decision costs the same for ten targets as
 * for thousands.
 */

#include "rosemary-int.h"

#include <math.h>
#include <stdlib.h>

/* Each class has run times CLASS_RATIO times those of the one before. */
#define CLASS_RATIO 1.15
#define CLASS_COUNT 80

/* Run time assumed before the first sample, ms. */
#define DEFAULT_RUN_TIME_MS 100.0
/* Fraction by which a fully loaded target is assumed to be slower. */
#define FULL_PENALTY 0.05

/*
 * Waiting has to be better by this factor, because it also delays the tasks
 * that are queued behind.
 */
#define WAIT_MARGIN 2.5

/* Age of a target's newest sample at which it is tried again, ms. */
#define STALE_MS 20000
/* Weight of a stale run time, in samples. */
#define STALE_SAMPLES 1
/* Unavailable targets that are checked again in each tick. */
#define RECHECK_TARGETS 64

/* Turnover of the slots of all targets in one run time class. */
struct time_class {
	double rate; /* slots that become free per ms */
	double work; /* rate times run time: the slots in use */
};

struct earliest_target {
	struct rp_target *target;
	int class;	   /* class that it is counted in, or -1 */
	double rate, work; /* its share of that class */
	int unavailable;   /* at the last check; if set, not in the heap */
	rp_ms sampled_at;  /* time of the newest sample */
	uint64_t samples;  /* run_time.count at sampled_at */
};

struct earliest_route {
	struct rp_route route; /* must be first */
	struct rp_service *svc;
	struct rp_heap available; /* available targets, by target_cost() */
	struct time_class classes[CLASS_COUNT];
	size_t next_recheck; /* position of the next target to check */
	size_t next_explore; /* position of the next target to explore */
	rp_ms explore_due;   /* earliest time of the next exploration */
};

static struct rp_route *earliest_create(struct rp_service *svc);

static void earliest_destroy(struct rp_route *route)
{
	heap_finish(&((struct earliest_route *)route)->available);
	free(route);
}

/* Returns the expected run time of the target, ms. */
static double expected_time(const struct rp_target *t)
{
	double time = target_mean_time(t);

	return time > 0 ? time : DEFAULT_RUN_TIME_MS;
}

/* Returns the expected run time, increased by load and by a low weight. */
static double target_cost(const struct rp_target *t)
{
	double limit = target_limit(t) > 0 ? target_limit(t) : 1;
	double load = 1 + FULL_PENALTY * t->in_flight / limit;

	return expected_time(t) * load * RP_WEIGHT_DEFAULT / t->weight;
}

/* Returns the class of a run time, ms. */
static int class_of(double time)
{
	int class = time > 1 ? (int)(log(time) / log(CLASS_RATIO)) : 0;

	return class < CLASS_COUNT ? class : CLASS_COUNT - 1;
}

/* Returns whether slots that the target frees will be usable. */
static int frees_usable_slots(const struct rp_target *t)
{
	struct rp_health *h = t->svc->health;

	return t->listed && !t->leaving && t->weight && !t->paused &&
	       t->in_flight && h->ops->allows(h, t);
}

/* Moves the target's turnover to the class where it now belongs. */
static void update_class(struct earliest_route *r, struct earliest_target *e)
{
	double time = expected_time(e->target);

	if (e->class >= 0) {
		r->classes[e->class].rate -= e->rate;
		r->classes[e->class].work -= e->work;
	}
	e->class = -1;
	if (!frees_usable_slots(e->target))
		return;
	e->class = class_of(time);
	e->rate = e->target->in_flight / time;
	e->work = e->target->in_flight;
	r->classes[e->class].rate += e->rate;
	r->classes[e->class].work += e->work;
}

/* Returns this policy's state of the target, allocated at the first use. */
static struct earliest_target *route_state(struct rp_target *t, rp_ms now)
{
	struct earliest_target *e = t->route_data;

	if (e)
		return e;
	e = kernel_alloc(sizeof(*e));
	e->target = t;
	e->class = -1;
	e->sampled_at = now;
	t->route_data = e;
	return e;
}

/* Records the time of the target's newest sample. */
static void note_sample(struct earliest_target *e, rp_ms now)
{
	struct rp_run_time *rt = &e->target->run_time;

	if (rt->count == e->samples)
		return;
	e->samples = rt->count;
	e->sampled_at = now;
}

static void earliest_changed(struct rp_route *route, struct rp_target *t,
			     rp_ms now)
{
	struct earliest_route *r = (struct earliest_route *)route;
	struct earliest_target *e = route_state(t, now);

	note_sample(e, now);
	update_class(r, e);
	e->unavailable = !target_available(t);
	if (e->unavailable)
		heap_remove(&r->available, &t->route_node);
	else
		heap_set(&r->available, &t->route_node, target_cost(t));
}

static void earliest_removed(struct rp_route *route, struct rp_target *t)
{
	struct earliest_route *r = (struct earliest_route *)route;
	struct earliest_target *e = t->route_data;

	heap_remove(&r->available, &t->route_node);
	if (e && e->class >= 0) {
		r->classes[e->class].rate -= e->rate;
		r->classes[e->class].work -= e->work;
	}
	free(e);
	t->route_data = NULL;
}

/*
 * Checks some unavailable targets again, because a target may become available
 * by the passing of time alone.
 */
static void earliest_tick(struct rp_route *route, rp_ms now)
{
	struct earliest_route *r = (struct earliest_route *)route;
	size_t n = r->svc->ntargets, i;

	for (i = 0; i < n && i < RECHECK_TARGETS; i++) {
		struct rp_target *t = r->svc->targets[r->next_recheck++ % n];

		if (route_state(t, now)->unavailable)
			earliest_changed(route, t, now);
	}
}

/*
 * Returns an idle target whose run time is stale, to sample it again, or NULL.
 * Each target is considered once every STALE_MS.
 */
static struct rp_target *pick_stale(struct earliest_route *r, rp_ms now)
{
	struct earliest_target *e;
	struct rp_target *t;

	if (now < r->explore_due || !r->svc->ntargets)
		return NULL;
	r->explore_due = now + STALE_MS / (rp_ms)r->svc->ntargets;
	t = r->svc->targets[r->next_explore++ % r->svc->ntargets];
	e = route_state(t, now);
	if (now - e->sampled_at < STALE_MS || t->in_flight ||
	    !target_available(t))
		return NULL;
	if (t->run_time.count > STALE_SAMPLES)
		t->run_time.count = STALE_SAMPLES;
	e->samples = t->run_time.count;
	e->sampled_at = now;
	return t;
}

/* Returns the available target of least cost, or NULL. */
static struct rp_target *cheapest_available(struct earliest_route *r,
					    const struct rp_job *job, rp_ms now)
{
	struct rp_heap_node *n;
	struct rp_target *t, *best = NULL, *avoid = NULL;

	while (!best && (n = heap_first(&r->available))) {
		t = RP_CONTAINER(n, struct rp_target, route_node);
		if (t == job->failed_on) {
			heap_remove(&r->available, n);
			avoid = t;
		} else if (target_available(t)) {
			best = t;
		} else {
			earliest_changed(&r->route, t, now);
		}
	}
	if (avoid)
		heap_set(&r->available, &avoid->route_node, target_cost(avoid));
	return best;
}

/*
 * Returns the time until the last of the tasks would end if they all waited
 * for slots of targets with a shorter run time than the given one, ms.
 * A slot becomes free after tasks / rate, and the task then runs for
 * work / rate on average. All queued tasks count, because each one delays
 * those behind it.
 */
static double time_if_waiting(const struct earliest_route *r, double run_time,
			      size_t tasks)
{
	int i, end = class_of(run_time);
	double rate = 0, work = 0, min = INFINITY;

	for (i = 0; i < end; i++) {
		double time;

		if (r->classes[i].work <= 0)
			continue;
		rate += r->classes[i].rate;
		work += r->classes[i].work;
		time = ((double)tasks + work) / rate;
		if (time < min)
			min = time;
	}
	return min;
}

static struct rp_target *earliest_pick(struct rp_route *route,
				       struct rp_job *job, rp_ms now)
{
	struct earliest_route *r = (struct earliest_route *)route;
	struct rp_target *t = pick_stale(r, now);
	double time;

	if (t && t != job->failed_on)
		return t;
	t = cheapest_available(r, job, now);
	if (!t)
		return NULL;
	time = expected_time(t);
	if (WAIT_MARGIN * time_if_waiting(r, time, r->svc->nqueued) >= time)
		return t;
	return NULL;
}

static struct rp_route_ops earliest_ops = {
	.plugin = { .name = "earliest" },
	.create = earliest_create,
	.destroy = earliest_destroy,
	.pick = earliest_pick,
	.changed = earliest_changed,
	.removed = earliest_removed,
	.tick = earliest_tick,
};

static struct rp_route *earliest_create(struct rp_service *svc)
{
	struct earliest_route *r = kernel_alloc(sizeof(*r));

	r->route.ops = &earliest_ops;
	r->svc = svc;
	heap_init(&r->available);
	return &r->route;
}

RP_REGISTER(RP_PLUGIN_ROUTE, earliest_ops);
