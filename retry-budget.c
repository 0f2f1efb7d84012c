/*
 * Retry policy "budget": retries and hedges spend tokens of a bucket that is
 * filled by a percentage of the first attempts, so that they stay a small
 * part of all starts even when every target fails.
 */

#include "rosemary-int.h"

#include <stdlib.h>

/* Tokens of one retry: first attempts add retry_percent tokens each. */
#define RETRY_COST 100
/* Tokens of a full bucket: a burst of ten retries. */
#define BUCKET_MAX 1000

/* A start is hedged this many deviations after the mean run time. */
#define HEDGE_DEVIATIONS 4
#define HEDGE_MIN_MS 20
#define HEDGE_SAMPLES 50 /* with fewer, nothing is hedged */

struct budget_retry {
	struct rp_retry retry; /* first */
	const struct rp_service *svc;
	int64_t tokens;
};

static struct rp_retry *budget_create(struct rp_service *svc);

static void budget_destroy(struct rp_retry *r)
{
	free(r);
}

static void budget_first_attempt(struct rp_retry *r)
{
	struct budget_retry *b = (struct budget_retry *)r;

	b->tokens += b->svc->shard->k->opt.retry_percent;
	if (b->tokens > BUCKET_MAX)
		b->tokens = BUCKET_MAX;
}

static int budget_take_token(struct rp_retry *r)
{
	struct budget_retry *b = (struct budget_retry *)r;

	if (b->tokens < RETRY_COST)
		return 0;
	b->tokens -= RETRY_COST;
	return 1;
}

static rp_ms budget_hedge_after(struct rp_retry *r, const struct rp_target *t)
{
	const struct rp_run_time *rt =
		&((struct budget_retry *)r)->svc->run_time;
	rp_ms delay;

	(void)t;
	if (rt->count < HEDGE_SAMPLES)
		return 0;
	delay = (rp_ms)(rt->mean + HEDGE_DEVIATIONS * rt->dev);
	return delay < HEDGE_MIN_MS ? HEDGE_MIN_MS : delay;
}

static struct rp_retry_ops budget_ops = {
	.plugin = { .name = "budget" },
	.create = budget_create,
	.destroy = budget_destroy,
	.first_attempt = budget_first_attempt,
	.take_token = budget_take_token,
	.hedge_after = budget_hedge_after,
};

static struct rp_retry *budget_create(struct rp_service *svc)
{
	struct budget_retry *b = kernel_alloc(sizeof(*b));

	b->retry.ops = &budget_ops;
	b->svc = svc;
	/* A new service may retry once before its bucket is filled. */
	b->tokens = RETRY_COST;
	return &b->retry;
}

RP_REGISTER(RP_PLUGIN_RETRY, budget_ops);
