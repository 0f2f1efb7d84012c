/*
 * Routing by earliest expected finish. Open targets lie in a heap by the run
 * time to expect of them; the best one is compared with waiting for a slot
 * of a faster target, for which targets are counted in classes of speed, so
 * that a decision costs the same for ten targets as for thousands.
 */

#include "rosemary-int.h"

#include <math.h>
#include <stdlib.h>

/* Speed classes: each is so many times slower than the one before. */
#define CLASS_RATIO 1.15
#define CLASSES 80

/* Run time to expect while nothing was learned at all, ms. */
#define TIME_UNKNOWN_MS 100.0
/* Share of its run time that a full target is taken to be slower. */
#define FULL_PENALTY 0.05

/*
 * Waiting has to be better by this factor, for it also delays what comes
 * later.
 */
#define WAIT_MARGIN 2.5

/* A target without a sample for so long is tried again, ms. */
#define STALE_MS 20000
/* Samples that an old run time still weighs as much as. */
#define STALE_SAMPLES 1
/* Closed targets looked at again in each tick. */
#define RECHECK_TARGETS 64

/* How many slots turn over among the targets of one class. */
struct speed_class {
	double rate; /* slots that become free, per ms */
	double work; /* the same times the run time */
};

struct earliest_target {
	struct rp_target *target;
	int class; /* counted there, or -1 */
	double rate, work;
	int closed; /* found closed: not in the heap */
	rp_ms sampled_at;
	uint64_t samples;
};

struct earliest_route {
	struct rp_route route; /* first */
	struct rp_service *svc;
	struct rp_heap open;
	struct speed_class classes[CLASSES];
	size_t recheck; /* place of the next target to look at again */
	size_t explore; /* place of the next target to try again */
	rp_ms explore_at;
};

static struct rp_route *earliest_create(struct rp_service *svc);

static void earliest_destroy(struct rp_route *route)
{
	heap_finish(&((struct earliest_route *)route)->open);
	free(route);
}

/* Run time to expect of the target, in ms. */
static double expected_time(const struct rp_target *t)
{
	double time = target_mean_time(t);

	return time > 0 ? time : TIME_UNKNOWN_MS;
}

/* What the heap is ordered by: time, made longer by load and low weight. */
static double target_cost(const struct rp_target *t)
{
	double limit = target_limit(t) > 0 ? target_limit(t) : 1;
	double load = 1 + FULL_PENALTY * t->in_flight / limit;

	return expected_time(t) * load * RP_WEIGHT_DEFAULT / t->weight;
}

static int class_of(double time)
{
	int class = time > 1 ? (int)(log(time) / log(CLASS_RATIO)) : 0;

	return class < CLASSES ? class : CLASSES - 1;
}

/* Whether slots of the target that become free can be counted on. */
static int is_useful(const struct rp_target *t)
{
	struct rp_health *h = t->svc->health;

	return t->listed && !t->leaving && t->weight && !t->paused &&
	       t->in_flight && h->ops->allows(h, t);
}

/* Moves the target's turnover to the class where it now belongs. */
static void count_target(struct earliest_route *r, struct earliest_target *e)
{
	double time = expected_time(e->target);

	if (e->class >= 0) {
		r->classes[e->class].rate -= e->rate;
		r->classes[e->class].work -= e->work;
	}
	e->class = -1;
	if (!is_useful(e->target))
		return;
	e->class = class_of(time);
	e->rate = e->target->in_flight / time;
	e->work = e->target->in_flight;
	r->classes[e->class].rate += e->rate;
	r->classes[e->class].work += e->work;
}

static struct earliest_target *state_of(struct rp_target *t, rp_ms now)
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

/* Notes when the target gave its newest sample; an old one weighs less. */
static void note_sample(struct earliest_target *e, rp_ms now)
{
	struct rp_run_time *l = &e->target->learned;

	if (l->count == e->samples)
		return;
	e->samples = l->count;
	e->sampled_at = now;
}

static void earliest_changed(struct rp_route *route, struct rp_target *t,
			     rp_ms now)
{
	struct earliest_route *r = (struct earliest_route *)route;
	struct earliest_target *e = state_of(t, now);

	note_sample(e, now);
	count_target(r, e);
	e->closed = !target_available(t);
	if (e->closed)
		heap_remove(&r->open, &t->route_node);
	else
		heap_set(&r->open, &t->route_node, target_cost(t));
}

static void earliest_removed(struct rp_route *route, struct rp_target *t)
{
	struct earliest_route *r = (struct earliest_route *)route;
	struct earliest_target *e = t->route_data;

	heap_remove(&r->open, &t->route_node);
	if (e && e->class >= 0) {
		r->classes[e->class].rate -= e->rate;
		r->classes[e->class].work -= e->work;
	}
	free(e);
	t->route_data = NULL;
}

/* Looks again at some closed targets: a limit may open by time alone. */
static void earliest_tick(struct rp_route *route, rp_ms now)
{
	struct earliest_route *r = (struct earliest_route *)route;
	size_t n = r->svc->ntargets, i;

	for (i = 0; i < n && i < RECHECK_TARGETS; i++) {
		struct rp_target *t = r->svc->targets[r->recheck++ % n];

		if (state_of(t, now)->closed)
			earliest_changed(route, t, now);
	}
}

/* A target whose run time is old, at most one in a while; or NULL. */
static struct rp_target *explore(struct earliest_route *r, rp_ms now)
{
	struct earliest_target *e;
	struct rp_target *t;

	if (now < r->explore_at || !r->svc->ntargets)
		return NULL;
	r->explore_at = now + STALE_MS / (rp_ms)r->svc->ntargets;
	t = r->svc->targets[r->explore++ % r->svc->ntargets];
	e = state_of(t, now);
	if (now - e->sampled_at < STALE_MS || t->in_flight ||
	    !target_available(t))
		return NULL;
	if (t->learned.count > STALE_SAMPLES)
		t->learned.count = STALE_SAMPLES;
	e->samples = t->learned.count;
	e->sampled_at = now;
	return t;
}

/* The open target of least cost. */
static struct rp_target *best_open(struct earliest_route *r,
				   const struct rp_job *job, rp_ms now)
{
	struct rp_heap_node *n;
	struct rp_target *t, *best = NULL, *avoid = NULL;

	while (!best && (n = heap_first(&r->open))) {
		t = RP_CONTAINER(n, struct rp_target, route_node);
		if (t == job->failed_on) {
			heap_remove(&r->open, n);
			avoid = t;
		} else if (target_available(t)) {
			best = t;
		} else {
			earliest_changed(&r->route, t, now);
		}
	}
	if (avoid)
		heap_set(&r->open, &avoid->route_node, target_cost(avoid));
	return best;
}

/*
 * Span until the last of so many tasks would end if they all waited for
 * slots of targets faster than the one given, ms: its slot becomes free
 * after tasks / rate, and it runs for work / rate on average. All that waits
 * counts, for each task that waits delays those behind it.
 */
static double time_by_waiting(const struct earliest_route *r, double than,
			      size_t tasks)
{
	int i, end = class_of(than);
	double rate = 0, work = 0, least = INFINITY;

	for (i = 0; i < end; i++) {
		double time;

		if (r->classes[i].work <= 0)
			continue;
		rate += r->classes[i].rate;
		work += r->classes[i].work;
		time = ((double)tasks + work) / rate;
		if (time < least)
			least = time;
	}
	return least;
}

static struct rp_target *earliest_pick(struct rp_route *route,
				       struct rp_job *job, rp_ms now)
{
	struct earliest_route *r = (struct earliest_route *)route;
	struct rp_target *t = explore(r, now);
	double time;

	if (t && t != job->failed_on)
		return t;
	t = best_open(r, job, now);
	if (!t)
		return NULL;
	time = expected_time(t);
	if (WAIT_MARGIN * time_by_waiting(r, time, r->svc->nqueued) >= time)
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
	heap_init(&r->open);
	return &r->route;
}

RP_REGISTER(RP_PLUGIN_ROUTE, earliest_ops);
