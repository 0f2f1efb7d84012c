/*
 * Admission by predicted end: a job is refused, as not run, when the work
 * that waits before it, at the rate at which the service's tasks end, would
 * make it late. The rate is learned while tasks wait, for only then the
 * targets are the bound.
 */

#include "rosemary-int.h"

#include <math.h>
#include <stdlib.h>

/* Span over which ends are counted, ms. */
#define WINDOW_MS 250L
/* A window longer than so many spans had a rest in it. */
#define WINDOWS_MOST 4L
/* Weight of the newest window in the rate. */
#define RATE_ALPHA 0.3
/* Share of the time to the deadline that the prediction may fill. */
#define SAFETY 0.9
/* Deviations over the mean that a task may take, more for many tasks. */
#define TAIL_DEVIATIONS 3.0
#define TAIL_PER_LOG 1.5
#define RETRY_AFTER_LEAST_MS 50
#define RETRY_AFTER_MOST_MS 30000

struct deadline_admit {
	struct rp_admit admit; /* first */
	const struct rp_service *svc;
	double rate; /* tasks ended per ms; 0: unknown */
	uint64_t ended;
	rp_ms window_at;
	int idle; /* nothing waited at some time in the window */
};

static struct rp_admit *deadline_create(struct rp_service *svc);

static void deadline_destroy(struct rp_admit *admit)
{
	free(admit);
}

/*
 * Closes a window: a busy one sets the rate, an idle one can only raise it,
 * and one much too long tells nothing, for nothing ran in a part of it.
 */
static void end_window(struct deadline_admit *a, rp_ms now)
{
	rp_ms span = now - a->window_at;
	double rate = (double)a->ended / (double)span;

	if (span > WINDOWS_MOST * WINDOW_MS)
		rate = a->rate;
	if (a->rate == 0 || (a->idle && rate > a->rate))
		a->rate = rate;
	else if (!a->idle)
		a->rate += RATE_ALPHA * (rate - a->rate);
	a->ended = 0;
	a->idle = 0;
	a->window_at = now;
}

static void deadline_ended(struct rp_admit *admit, rp_ms took, rp_ms now)
{
	struct deadline_admit *a = (struct deadline_admit *)admit;

	(void)took;
	a->ended++;
	if (!a->svc->nqueued)
		a->idle = 1;
	if (now - a->window_at >= WINDOW_MS)
		end_window(a, now);
}

/* Tasks per ms to expect, before anything was learned from the slots. */
static double service_rate(const struct deadline_admit *a)
{
	const struct rp_service *svc = a->svc;

	if (a->rate > 0)
		return a->rate;
	if (svc->learned.mean > 0)
		return (double)svc->total_limit / svc->learned.mean;
	return 0;
}

/* The team's share of the rate while the other teams wait too. */
static double team_share(const struct rp_team *team)
{
	const struct rp_dispatch *d = team->shard;
	double own = team->weight, all = (double)d->active_weight;

	if (!team->nqueued)
		all += own;
	return all > 0 && own > 0 ? own / all : 1;
}

/* Span until the last task of the job would start, ms. */
static double predicted_wait(const struct deadline_admit *a,
			     const struct rp_team *team, size_t ntasks)
{
	double rate = service_rate(a);
	double all, own;

	if (rate <= 0 || !a->svc->nqueued)
		return 0;
	all = (double)(a->svc->nqueued + ntasks) / rate;
	own = (double)(team->nqueued + ntasks) / (rate * team_share(team));
	return own < all ? own : all;
}

/* Run time to allow for, that the longest of so many tasks ends, ms. */
static double last_task(const struct rp_service *svc, size_t ntasks)
{
	double devs = TAIL_DEVIATIONS + TAIL_PER_LOG * log((double)ntasks);

	return svc->learned.mean + devs * svc->learned.dev;
}

static rp_ms clamp_retry(double span)
{
	if (span < RETRY_AFTER_LEAST_MS)
		return RETRY_AFTER_LEAST_MS;
	return span > RETRY_AFTER_MOST_MS ? RETRY_AFTER_MOST_MS : (rp_ms)span;
}

static enum rp_code deadline_check(struct rp_admit *admit,
				   const struct rp_submission *sub, rp_ms now,
				   struct rp_status *st, rp_ms *retry_after)
{
	struct deadline_admit *a = (struct deadline_admit *)admit;
	const struct rp_service *svc = a->svc;
	const struct rp_team *team = team_get(svc->shard, sub->team);
	double wait = predicted_wait(a, team, sub->ntasks);
	double need = wait + last_task(svc, sub->ntasks);

	(void)now;
	if (!svc->nqueued)
		a->idle = 1;
	if (svc->nqueued + sub->ntasks > svc->shard->k->opt.max_queued) {
		*retry_after = clamp_retry(wait / 2);
		return rp_status_set(st, RP_E_FULL, RP_STEP_ADMIT, "",
				     "queue is full: %zu tasks wait",
				     svc->nqueued);
	}
	if (!svc->nqueued || need <= SAFETY * (double)sub->timeout)
		return RP_OK;
	*retry_after = clamp_retry(need - SAFETY * (double)sub->timeout);
	return rp_status_set(st, RP_E_DEADLINE, RP_STEP_ADMIT, "",
			     "would take %.0f ms, of %lld ms allowed", need,
			     (long long)sub->timeout);
}

static struct rp_admit_ops deadline_ops = {
	.plugin = { .name = "deadline" },
	.create = deadline_create,
	.destroy = deadline_destroy,
	.check = deadline_check,
	.ended = deadline_ended,
};

static struct rp_admit *deadline_create(struct rp_service *svc)
{
	struct deadline_admit *a = kernel_alloc(sizeof(*a));

	a->admit.ops = &deadline_ops;
	a->svc = svc;
	return &a->admit;
}

RP_REGISTER(RP_PLUGIN_ADMIT, deadline_ops);
