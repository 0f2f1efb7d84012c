/* Retry policy "none", a baseline: no retries and no hedges. */

#include "rosemary-int.h"

#include <stdlib.h>

static struct rp_retry *none_create(struct rp_service *svc);

static void none_destroy(struct rp_retry *r)
{
	free(r);
}

static void none_first_attempt(struct rp_retry *r)
{
	(void)r;
}

static int none_take_token(struct rp_retry *r)
{
	(void)r;
	return 0;
}

static rp_ms none_hedge_after(struct rp_retry *r, const struct rp_target *t)
{
	(void)r;
	(void)t;
	return 0;
}

static struct rp_retry_ops none_ops = {
	.plugin = { .name = "none" },
	.create = none_create,
	.destroy = none_destroy,
	.first_attempt = none_first_attempt,
	.take_token = none_take_token,
	.hedge_after = none_hedge_after,
};

static struct rp_retry *none_create(struct rp_service *svc)
{
	struct rp_retry *r = kernel_alloc(sizeof(*r));

	(void)svc;
	r->ops = &none_ops;
	return r;
}

RP_REGISTER(RP_PLUGIN_RETRY, none_ops);
