/* Health policy "none", a baseline: no target is ever ejected. */

#include "rosemary-int.h"

#include <stdlib.h>

static struct rp_health *none_create(struct rp_service *svc);

static void none_destroy(struct rp_health *h)
{
	free(h);
}

static int none_allows(struct rp_health *h, const struct rp_target *t)
{
	(void)h;
	(void)t;
	return 1;
}

static void none_started(struct rp_health *h, struct rp_target *t, rp_ms now)
{
	(void)h;
	(void)t;
	(void)now;
}

static void none_ended(struct rp_health *h, struct rp_target *t,
		       enum rp_start_outcome outcome, rp_ms elapsed, rp_ms now)
{
	(void)h;
	(void)t;
	(void)outcome;
	(void)elapsed;
	(void)now;
}

static void none_removed(struct rp_health *h, struct rp_target *t)
{
	(void)h;
	(void)t;
}

static void none_tick(struct rp_health *h, rp_ms now)
{
	(void)h;
	(void)now;
}

static struct rp_health_ops none_ops = {
	.plugin = { .name = "none" },
	.create = none_create,
	.destroy = none_destroy,
	.allows = none_allows,
	.started = none_started,
	.ended = none_ended,
	.removed = none_removed,
	.tick = none_tick,
};

static struct rp_health *none_create(struct rp_service *svc)
{
	struct rp_health *h = kernel_alloc(sizeof(*h));

	(void)svc;
	h->ops = &none_ops;
	return h;
}

RP_REGISTER(RP_PLUGIN_HEALTH, none_ops);
