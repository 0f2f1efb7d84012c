/* Routing policies "random", "round-robin" and "least", as baselines. */

#include "rosemary-int.h"

#include <stdlib.h>

struct basic_route {
	struct rp_route route; /* first */
	struct rp_service *svc;
	size_t cursor; /* round-robin: position of the next target */
};

static struct rp_route *basic_create(struct rp_service *svc,
				     const struct rp_route_ops *ops)
{
	struct basic_route *r = kernel_alloc(sizeof(*r));

	r->route.ops = ops;
	r->svc = svc;
	return &r->route;
}

static void basic_destroy(struct rp_route *route)
{
	free(route);
}

static void basic_changed(struct rp_route *route, struct rp_target *t,
			  rp_ms now)
{
	(void)route;
	(void)t;
	(void)now;
}

static void basic_removed(struct rp_route *route, struct rp_target *t)
{
	(void)route;
	(void)t;
}

/* Returns the first available target from the position on, or NULL. */
static struct rp_target *next_available(struct rp_service *svc, size_t at)
{
	size_t i;

	for (i = 0; i < svc->ntargets; i++) {
		struct rp_target *t = svc->targets[(at + i) % svc->ntargets];

		if (target_available(t))
			return t;
	}
	return NULL;
}

static struct rp_target *random_pick(struct rp_route *route, struct rp_job *job,
				     rp_ms now)
{
	struct basic_route *r = (struct basic_route *)route;

	(void)job;
	(void)now;
	return next_available(r->svc, random_next(&r->svc->shard->random));
}

static struct rp_target *robin_pick(struct rp_route *route, struct rp_job *job,
				    rp_ms now)
{
	struct basic_route *r = (struct basic_route *)route;
	struct rp_target *t = next_available(r->svc, r->cursor);

	(void)job;
	(void)now;
	if (t)
		r->cursor = t->index + 1;
	return t;
}

static struct rp_target *least_pick(struct rp_route *route, struct rp_job *job,
				    rp_ms now)
{
	struct basic_route *r = (struct basic_route *)route;
	struct rp_target *best = NULL;
	size_t i;

	(void)job;
	(void)now;
	for (i = 0; i < r->svc->ntargets; i++) {
		struct rp_target *t = r->svc->targets[i];

		if ((!best || t->in_flight < best->in_flight) &&
		    target_available(t))
			best = t;
	}
	return best;
}

static struct rp_route *random_create(struct rp_service *svc);
static struct rp_route *robin_create(struct rp_service *svc);
static struct rp_route *least_create(struct rp_service *svc);

static struct rp_route_ops random_ops = {
	.plugin = { .name = "random" },
	.create = random_create,
	.destroy = basic_destroy,
	.pick = random_pick,
	.changed = basic_changed,
	.removed = basic_removed,
};

static struct rp_route_ops robin_ops = {
	.plugin = { .name = "round-robin" },
	.create = robin_create,
	.destroy = basic_destroy,
	.pick = robin_pick,
	.changed = basic_changed,
	.removed = basic_removed,
};

static struct rp_route_ops least_ops = {
	.plugin = { .name = "least" },
	.create = least_create,
	.destroy = basic_destroy,
	.pick = least_pick,
	.changed = basic_changed,
	.removed = basic_removed,
};

static struct rp_route *random_create(struct rp_service *svc)
{
	return basic_create(svc, &random_ops);
}

static struct rp_route *robin_create(struct rp_service *svc)
{
	return basic_create(svc, &robin_ops);
}

static struct rp_route *least_create(struct rp_service *svc)
{
	return basic_create(svc, &least_ops);
}

RP_REGISTER(RP_PLUGIN_ROUTE, random_ops);
RP_REGISTER(RP_PLUGIN_ROUTE, robin_ops);
RP_REGISTER(RP_PLUGIN_ROUTE, least_ops);
