/*
 * Limit policy "alone", a baseline without coordination: each entry VM fills a
 * target up to its limit and backs off for a short time on a "busy" reply.
 */

#include "rosemary-int.h"

#include <stdlib.h>

/* Backoff after a "busy" reply of a target, ms. */
#define BUSY_BACKOFF_MS 10

struct alone_limit {
	struct rp_limit limit; /* must be first: pointers are cast */
	rp_ms now;	       /* latest time passed in; allows() gets none */
};

static struct rp_limit *alone_create(struct rp_service *svc);

static void alone_destroy(struct rp_limit *limit)
{
	free(limit);
}

static int alone_allows(struct rp_limit *limit, const struct rp_target *t)
{
	const struct alone_limit *l = (struct alone_limit *)limit;
	const rp_ms *backoff_until = t->limit_data;

	if (backoff_until && *backoff_until > l->now)
		return 0;
	return t->in_flight < target_limit(t);
}

static void alone_started(struct rp_limit *limit, struct rp_target *t,
			  rp_ms now)
{
	(void)t;
	((struct alone_limit *)limit)->now = now;
}

static void alone_ended(struct rp_limit *limit, struct rp_target *t,
			enum rp_start_outcome outcome, rp_ms now)
{
	((struct alone_limit *)limit)->now = now;
	if (outcome != RP_START_BUSY)
		return;
	if (!t->limit_data)
		t->limit_data = kernel_alloc(sizeof(rp_ms));
	*(rp_ms *)t->limit_data = now + BUSY_BACKOFF_MS;
}

static void alone_demand(struct rp_limit *limit, size_t waiting, rp_ms now,
			 struct rp_actions *acts)
{
	(void)limit;
	(void)waiting;
	(void)now;
	(void)acts;
}

static void alone_tick(struct rp_limit *limit, rp_ms now,
		       struct rp_actions *acts)
{
	(void)acts;
	((struct alone_limit *)limit)->now = now;
}

static void alone_removed(struct rp_limit *limit, struct rp_target *t)
{
	(void)limit;
	free(t->limit_data);
}

static struct rp_limit_ops alone_ops = {
	.plugin = { .name = "alone" },
	.create = alone_create,
	.destroy = alone_destroy,
	.allows = alone_allows,
	.started = alone_started,
	.ended = alone_ended,
	.demand = alone_demand,
	.changed = alone_tick,
	.removed = alone_removed,
	.tick = alone_tick,
};

static struct rp_limit *alone_create(struct rp_service *svc)
{
	struct alone_limit *l = kernel_alloc(sizeof(*l));

	(void)svc;
	l->limit.ops = &alone_ops;
	return &l->limit;
}

RP_REGISTER(RP_PLUGIN_LIMIT, alone_ops);
