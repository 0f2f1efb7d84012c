/* Baseline of retries: nothing that may have run is sent again. */

#include "rosemary-int.h"

#include <stdlib.h>

static struct rp_retry *none_create(struct rp_service *svc);

static void none_destroy(struct rp_retry *r)
{
	free(r);
}

static void none_first_send(struct rp_retry *r)
{
	(void)r;
}

static int none_take(struct rp_retry *r)
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
	.first_attempt = none_first_send,
	.take_token = none_take,
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
