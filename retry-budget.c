/*
 * Retries and hedges within a budget: a token bucket that first sends fill
 * by a percentage, so that sends beyond the first stay a small share also
 * when every target fails.
 */

#include "rosemary-int.h"

#include <stdlib.h>

/* The bucket counts hundredths of a send. */
#define SEND_COST 100
/* What a full bucket holds: a burst of ten sends. */
#define BUCKET_MOST 1000

/* A hedge runs beside a send older than its mean and so many deviations. */
#define HEDGE_DEVIATIONS 4
#define HEDGE_LEAST_MS 20
#define HEDGE_SAMPLES 50 /* before that, nothing is hedged */

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

static void budget_first_send(struct rp_retry *r)
{
	struct budget_retry *b = (struct budget_retry *)r;

	b->tokens += b->svc->shard->k->opt.retry_percent;
	if (b->tokens > BUCKET_MOST)
		b->tokens = BUCKET_MOST;
}

static int budget_take(struct rp_retry *r)
{
	struct budget_retry *b = (struct budget_retry *)r;

	if (b->tokens < SEND_COST)
		return 0;
	b->tokens -= SEND_COST;
	return 1;
}

static rp_ms budget_hedge_after(struct rp_retry *r, const struct rp_target *t)
{
	const struct rp_run_time *l = &((struct budget_retry *)r)->svc->learned;
	rp_ms span;

	(void)t;
	if (l->count < HEDGE_SAMPLES)
		return 0;
	span = (rp_ms)(l->mean + HEDGE_DEVIATIONS * l->dev);
	return span < HEDGE_LEAST_MS ? HEDGE_LEAST_MS : span;
}

static struct rp_retry_ops budget_ops = {
	.plugin = { .name = "budget" },
	.create = budget_create,
	.destroy = budget_destroy,
	.first_attempt = budget_first_send,
	.take_token = budget_take,
	.hedge_after = budget_hedge_after,
};

static struct rp_retry *budget_create(struct rp_service *svc)
{
	struct budget_retry *b = kernel_alloc(sizeof(*b));

	b->retry.ops = &budget_ops;
	b->svc = svc;
	/* A new service may retry once before it has sent much. */
	b->tokens = SEND_COST;
	return &b->retry;
}

RP_REGISTER(RP_PLUGIN_RETRY, budget_ops);
