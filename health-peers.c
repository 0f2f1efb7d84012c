/*
 * Health of a target, judged against the service's other targets. One that
 * fails a few tasks in a row, where the others rarely do, is ejected; it is
 * readmitted with one task at a time, doubling with each success, and for
 * longer each time that it fails again. When the others fail as much, or too
 * many are out already, nobody is ejected.
 */

#include "rosemary-int.h"

#include <math.h>
#include <stdlib.h>

/* Weight of the newest outcome in a target's share of failures. */
#define SHARE_ALPHA 0.1
/* Least failures in a row that eject. */
#define ROW_LEAST 3
/* Chance that a row as long comes about at the others' share of failures. */
#define ROW_CHANCE 1e-6
/* The same during probation. */
#define PROBATION_CHANCE 1e-2
/* A share of failures that ejects: at least, and over the others' share. */
#define SHARE_LEAST 0.5
#define SHARE_OVER_OTHERS 0.3
#define SHARE_DEVIATIONS 6.0
#define SHARE_SAMPLES 10
/* At most this part of the targets is out at once. */
#define EJECTED_PART 0.3
#define EJECT_FIRST_MS 1000
#define EJECT_MOST_MS 60000
/* A target healthy for so long is ejected for the first span again, ms. */
#define FORGIVE_MS 60000

enum peer_state { PEER_HEALTHY, PEER_EJECTED, PEER_PROBATION };

struct peer_target {
	struct rp_target *target;
	enum peer_state state;
	double share; /* of failures */
	uint64_t samples;
	int row;			 /* failures since the last success */
	int allowed;			 /* in flight, during probation */
	rp_ms span;			 /* of the last ejection */
	rp_ms until;			 /* the ejection ends */
	rp_ms since;			 /* it is healthy */
	struct peer_target *next, *prev; /* of those ejected */
};

struct peers_health {
	struct rp_health health; /* first */
	struct rp_service *svc;
	struct peer_target *ejected;
	size_t nejected;
	double share_sum; /* of all targets that have samples */
	size_t nshares;
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

static struct peer_target *peer_of(struct rp_target *t)
{
	struct peer_target *p = t->health_data;

	if (p)
		return p;
	p = kernel_alloc(sizeof(*p));
	p->target = t;
	t->health_data = p;
	return p;
}

static void tell(struct peer_target *p, rp_ms now, enum rp_trace_type type,
		 const char *why)
{
	struct rp_trace_about about = { .target = p->target->name, .task = -1 };
	struct rp_service *svc = p->target->svc;

	trace_event(svc->shard->k, now, type, &about, "%s, share %.2f, %lld ms",
		    why, p->share, (long long)p->span);
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

static void eject(struct peers_health *h, struct peer_target *p, rp_ms now)
{
	int again = p->state == PEER_PROBATION || now - p->since < FORGIVE_MS;

	p->span = again && p->span ? 2 * p->span : EJECT_FIRST_MS;
	if (p->span > EJECT_MOST_MS)
		p->span = EJECT_MOST_MS;
	p->state = PEER_EJECTED;
	p->until = now + p->span;
	p->prev = NULL;
	p->next = h->ejected;
	if (p->next)
		p->next->prev = p;
	h->ejected = p;
	h->nejected++;
	tell(p, now, RP_TRACE_EJECTED, "failing");
}

/* Share of failures of the service's other targets. */
static double others_share(const struct peers_health *h,
			   const struct peer_target *p)
{
	if (h->nshares < 2)
		return 0;
	return (h->share_sum - p->share) / (double)(h->nshares - 1);
}

/* Failures in a row that are no chance at the others' share of failures. */
static int row_limit(double others, double chance)
{
	if (others <= 0)
		return 1;
	if (others > SHARE_LEAST)
		others = SHARE_LEAST;
	return (int)ceil(log(chance) / log(others));
}

/* Share of failures that is no chance beside the others' share. */
static double share_limit(double others)
{
	double dev =
		sqrt(others * (1 - others) * SHARE_ALPHA / (2 - SHARE_ALPHA));
	double over = fmax(SHARE_OVER_OTHERS, SHARE_DEVIATIONS * dev);

	return fmax(SHARE_LEAST, others + over);
}

static int is_bad(const struct peers_health *h, const struct peer_target *p)
{
	double others = others_share(h, p);

	if (others > SHARE_LEAST)
		return 0;
	if (p->state == PEER_PROBATION)
		return p->row >= row_limit(others, PROBATION_CHANCE);
	if (p->row >= ROW_LEAST && p->row >= row_limit(others, ROW_CHANCE))
		return 1;
	return p->samples >= SHARE_SAMPLES && p->share >= share_limit(others);
}

/* Whether one more target may be out; never the only one. */
static int may_eject(const struct peers_health *h)
{
	size_t n = h->svc->ntargets;
	size_t most = (size_t)(EJECTED_PART * (double)n);

	if (most == 0 && n > 1)
		most = 1;
	return h->nejected < most;
}

static void add_sample(struct peers_health *h, struct peer_target *p, int bad)
{
	double old = p->share;

	if (p->samples++ == 0)
		h->nshares++;
	p->share += SHARE_ALPHA * ((double)bad - p->share);
	h->share_sum += p->share - old;
	p->row = bad ? p->row + 1 : 0;
}

/* A success during probation doubles what is allowed, up to the limit. */
static void promote(struct peer_target *p, rp_ms now)
{
	struct rp_target *t = p->target;

	p->allowed *= 2;
	if (p->allowed < target_limit(t)) {
		t->svc->route->ops->changed(t->svc->route, t, now);
		return;
	}
	p->state = PEER_HEALTHY;
	p->since = now;
	tell(p, now, RP_TRACE_READMITTED, "all slots");
}

static void peers_ended(struct rp_health *health, struct rp_target *t,
			enum rp_start_outcome outcome, rp_ms took, rp_ms now)
{
	struct peers_health *h = (struct peers_health *)health;
	struct peer_target *p = peer_of(t);
	int bad = outcome == RP_START_FAILED || outcome == RP_START_UNKNOWN;

	if (!bad && outcome != RP_START_DONE)
		return;
	/* A short run cut off by its deadline is no fault of the target. */
	if (outcome == RP_START_UNKNOWN && (double)took < target_mean_time(t))
		return;
	add_sample(h, p, bad);
	if (p->state == PEER_EJECTED)
		return;
	if (p->state == PEER_PROBATION && !bad)
		promote(p, now);
	else if (bad && is_bad(h, p) && may_eject(h))
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
		h->share_sum -= p->share;
		h->nshares--;
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
		if (now < p->until)
			continue;
		unlink_ejected(h, p);
		p->state = PEER_PROBATION;
		p->allowed = 1;
		p->row = 0;
		tell(p, now, RP_TRACE_READMITTED, "one task");
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
