/* Admission policy "bounded", a baseline: limits the length of the queue. */

#include "rosemary-int.h"

#include <stdlib.h>

#define RETRY_AFTER_FULL_MS 1000 /* retry delay of a caller */

struct bounded_admit {
	struct rp_admit admit; /* first */
	struct rp_service *svc;
};

static struct rp_admit *bounded_create(struct rp_service *svc);

static void bounded_destroy(struct rp_admit *admit)
{
	free(admit);
}

static enum rp_code bounded_check(struct rp_admit *admit,
				  const struct rp_submission *sub, rp_ms now,
				  struct rp_status *st, rp_ms *retry_after)
{
	const struct rp_service *svc = ((struct bounded_admit *)admit)->svc;

	(void)now;
	if (svc->nqueued + sub->ntasks <= svc->shard->k->opt.max_queued)
		return RP_OK;
	*retry_after = RETRY_AFTER_FULL_MS;
	return rp_status_set(st, RP_E_FULL, RP_STEP_ADMIT, "",
			     "queue is full: %zu tasks queued", svc->nqueued);
}

static void bounded_ended(struct rp_admit *admit, rp_ms elapsed, rp_ms now)
{
	(void)admit;
	(void)elapsed;
	(void)now;
}

static struct rp_admit_ops bounded_ops = {
	.plugin = { .name = "bounded" },
	.create = bounded_create,
	.destroy = bounded_destroy,
	.check = bounded_check,
	.ended = bounded_ended,
};

static struct rp_admit *bounded_create(struct rp_service *svc)
{
	struct bounded_admit *a = kernel_alloc(sizeof(*a));

	a->admit.ops = &bounded_ops;
	a->svc = svc;
	return &a->admit;
}

RP_REGISTER(RP_PLUGIN_ADMIT, bounded_ops);
