/*
 * Health policy "peers": outlier ejection. A target is compared with the
 * service's other targets and ejected when it fails several consecutive tasks,
 * or too many overall, while the others rarely fail. After the ejection it is
 * on probation: it gets one task at a time, and twice as many with each
 * success. A target that is soon ejected again stays ejected for twice as long.
 * No target is ejected when the others fail as often, or when too many are
 * ejected already.
 */

#include "rosemary-int.h"

#include <math.h>
#include <stdlib.h>

/* Weight of the newest outcome in a target's failure rate. */
#define RATE_ALPHA 0.1
/* Fewest consecutive failures that eject a target. */
#define CONSECUTIVE_MIN 3
/*
 * Consecutive failures eject when their probability at the others' failure
 * rate is at most this.
 */
#define CONSECUTIVE_PROBABILITY 1e-6
/* The bound on that probability for a target on probation. */
#define PROBATION_PROBABILITY 1e-2
/*
 * A failure rate ejects after RATE_SAMPLES_MIN samples when it is at least
 * RATE_MIN and exceeds the others' rate by RATE_OVER_OTHERS and by
 * RATE_DEVIATIONS standard deviations of the average.
 */
#define RATE_MIN 0.5
#define RATE_OVER_OTHERS 0.3
#define RATE_DEVIATIONS 6.0
#define RATE_SAMPLES_MIN 10
/* Largest fraction of the targets that may be ejected at once. */
#define EJECTED_FRACTION_MAX 0.3
#define EJECT_FIRST_MS 1000
#define EJECT_MAX_MS 60000
/* Time since the last probation after which an ejection is short again, ms. */
#define EJECT_RESET_MS 60000

enum peer_state { PEER_HEALTHY, PEER_EJECTED, PEER_PROBATION };

struct peer_target {
	struct rp_target *target;
	enum peer_state state;
	double failure_rate; /* exponentially weighted mean, 0 to 1 */
	uint64_t samples;
	int consecutive_failures; /* failures since the last success */
	int allowed;		  /* most tasks in flight during probation */
	rp_ms ejection_length;	  /* last ejection, ms; 0: none yet */
	rp_ms ejected_until;
	rp_ms healthy_since;		 /* end of the last probation */
	struct peer_target *next, *prev; /* in the list of ejected targets */
};

struct peers_health {
	struct rp_health health; /* must be first */
	struct rp_service *svc;
	struct peer_target *ejected;
	size_t nejected;
	double rate_sum; /* sum of the failure rates of all targets */
	size_t nrates;	 /* targets with samples */
};

static struct rp_health *peers_create(struct rp_service *svc);

static void peers_destroy(struct rp_health *h)
{
	free(h);
}

static int peers_allows(struct rp_health *h, const struct rp_target *t)
{
	const struct peer_target *p = t->health_data;

	(void)h;
	if (!p || p->state == PEER_HEALTHY)
		return 1;
	return p->state == PEER_PROBATION && t->in_flight < p->allowed;
}

static void peers_started(struct rp_health *h, struct rp_target *t, rp_ms now)
{
	(void)h;
	(void)t;
	(void)now;
}

/* Returns this policy's state of the target, allocated at the first use. */
static struct peer_target *health_state(struct rp_target *t)
{
	struct peer_target *p = t->health_data;

	if (p)
		return p;
	p = kernel_alloc(sizeof(*p));
	p->target = t;
	t->health_data = p;
	return p;
}

/* Traces a change of the target's state and notifies the route policy. */
static void state_changed(struct peer_target *p, rp_ms now,
			  enum rp_trace_type type, const char *reason)
{
	struct rp_trace_subject about = { .target = p->target->name,
					  .task = -1 };
	struct rp_service *svc = p->target->svc;

	trace_event(svc->shard->k, now, type, &about,
		    "%s, failure rate %.2f, %lld ms", reason, p->failure_rate,
		    (long long)p->ejection_length);
	svc->route->ops->changed(svc->route, p->target, now);
}

static void unlink_ejected(struct peers_health *h, struct peer_target *p)
{
	if (p->prev)
		p->prev->next = p->next;
	else
		h->ejected = p->next;
	if (p->next)
		p->next->prev = p->prev;
	h->nejected--;
}

/* Ejects a target, for twice as long as the last time if that was recent. */
static void eject(struct peers_health *h, struct peer_target *p, rp_ms now)
{
	int recent = p->state == PEER_PROBATION ||
		     now - p->healthy_since < EJECT_RESET_MS;

	p->ejection_length = recent && p->ejection_length
				     ? 2 * p->ejection_length
				     : EJECT_FIRST_MS;
	if (p->ejection_length > EJECT_MAX_MS)
		p->ejection_length = EJECT_MAX_MS;
	p->state = PEER_EJECTED;
	p->ejected_until = now + p->ejection_length;
	p->prev = NULL;
	p->next = h->ejected;
	if (p->next)
		p->next->prev = p;
	h->ejected = p;
	h->nejected++;
	state_changed(p, now, RP_TRACE_EJECTED, "failing");
}

/* Returns the mean failure rate of the service's other targets. */
static double others_failure_rate(const struct peers_health *h,
				  const struct peer_target *p)
{
	if (h->nrates < 2)
		return 0;
	return (h->rate_sum - p->failure_rate) / (double)(h->nrates - 1);
}

/*
 * Returns the number of consecutive failures that have at most the given
 * probability at the others' failure rate.
 */
static int min_consecutive(double others, double probability)
{
	if (others <= 0)
		return 1;
	if (others > RATE_MIN)
		others = RATE_MIN;
	return (int)ceil(log(probability) / log(others));
}

/* Returns the failure rate that ejects, given the others' rate. */
static double min_failure_rate(double others)
{
	double dev =
		sqrt(others * (1 - others) * RATE_ALPHA / (2 - RATE_ALPHA));
	double over = fmax(RATE_OVER_OTHERS, RATE_DEVIATIONS * dev);

	return fmax(RATE_MIN, others + over);
}

/* Returns whether the target fails significantly more than the others. */
static int is_outlier(const struct peers_health *h, const struct peer_target *p)
{
	double others = others_failure_rate(h, p);

	if (others > RATE_MIN)
		return 0;
	if (p->state == PEER_PROBATION)
		return p->consecutive_failures >=
		       min_consecutive(others, PROBATION_PROBABILITY);
	if (p->consecutive_failures >= CONSECUTIVE_MIN &&
	    p->consecutive_failures >=
		    min_consecutive(others, CONSECUTIVE_PROBABILITY))
		return 1;
	return p->samples >= RATE_SAMPLES_MIN &&
	       p->failure_rate >= min_failure_rate(others);
}

/* Returns whether one more target may be ejected; a single one never is. */
static int may_eject(const struct peers_health *h)
{
	size_t n = h->svc->ntargets;
	size_t max = (size_t)(EJECTED_FRACTION_MAX * (double)n);

	if (max == 0 && n > 1)
		max = 1;
	return h->nejected < max;
}

/* Adds an outcome to the failure rate and the consecutive failures. */
static void add_sample(struct peers_health *h, struct peer_target *p,
		       int failed)
{
	double old = p->failure_rate;

	if (p->samples++ == 0)
		h->nrates++;
	p->failure_rate += RATE_ALPHA * ((double)failed - p->failure_rate);
	h->rate_sum += p->failure_rate - old;
	p->consecutive_failures = failed ? p->consecutive_failures + 1 : 0;
}

/* Doubles the tasks allowed in probation, which ends at the target's limit. */
static void extend_probation(struct peer_target *p, rp_ms now)
{
	struct rp_target *t = p->target;

	p->allowed *= 2;
	if (p->allowed < target_limit(t)) {
		t->svc->route->ops->changed(t->svc->route, t, now);
		return;
	}
	p->state = PEER_HEALTHY;
	p->healthy_since = now;
	state_changed(p, now, RP_TRACE_READMITTED, "all slots");
}

static void peers_ended(struct rp_health *health, struct rp_target *t,
			enum rp_start_outcome outcome, rp_ms elapsed, rp_ms now)
{
	struct peers_health *h = (struct peers_health *)health;
	struct peer_target *p = health_state(t);
	int failed = outcome == RP_START_FAILED || outcome == RP_START_UNKNOWN;

	if (!failed && outcome != RP_START_DONE)
		return;
	/* A deadline below the mean run time is not the target's fault. */
	if (outcome == RP_START_UNKNOWN &&
	    (double)elapsed < target_mean_time(t))
		return;
	add_sample(h, p, failed);
	if (p->state == PEER_EJECTED)
		return;
	if (p->state == PEER_PROBATION && !failed)
		extend_probation(p, now);
	else if (failed && is_outlier(h, p) && may_eject(h))
		eject(h, p, now);
}

static void peers_removed(struct rp_health *health, struct rp_target *t)
{
	struct peers_health *h = (struct peers_health *)health;
	struct peer_target *p = t->health_data;

	if (!p)
		return;
	if (p->state == PEER_EJECTED)
		unlink_ejected(h, p);
	if (p->samples) {
		h->rate_sum -= p->failure_rate;
		h->nrates--;
	}
	free(p);
	t->health_data = NULL;
}

/* Starts the probation of the targets whose ejection is over. */
static void peers_tick(struct rp_health *health, rp_ms now)
{
	struct peers_health *h = (struct peers_health *)health;
	struct peer_target *p, *next;

	for (p = h->ejected; p; p = next) {
		next = p->next;
		if (now < p->ejected_until)
			continue;
		unlink_ejected(h, p);
		p->state = PEER_PROBATION;
		p->allowed = 1;
		p->consecutive_failures = 0;
		state_changed(p, now, RP_TRACE_READMITTED, "one task");
	}
}

static struct rp_health_ops peers_ops = {
	.plugin = { .name = "peers" },
	.create = peers_create,
	.destroy = peers_destroy,
	.allows = peers_allows,
	.started = peers_started,
	.ended = peers_ended,
	.removed = peers_removed,
	.tick = peers_tick,
};

static struct rp_health *peers_create(struct rp_service *svc)
{
	struct peers_health *h = kernel_alloc(sizeof(*h));

	h->health.ops = &peers_ops;
	h->svc = svc;
	return &h->health;
}

RP_REGISTER(RP_PLUGIN_HEALTH, peers_ops);
