/*
 * Admission policy "deadline": a job is refused when it is predicted to miss
 * its deadline, given the tasks queued before it and the rate at which the
 * service's tasks end. The rate is measured while tasks are queued, because
 * only then the targets are the bottleneck.
 */

#include "rosemary-int.h"

#include <math.h>
#include <stdlib.h>

/* Length of the window in which ended tasks are counted, ms. */
#define WINDOW_MS 250L
/* A window longer than this many WINDOW_MS contains an idle period. */
#define WINDOWS_MAX 4L
/* Weight of the newest window in the rate. */
#define RATE_ALPHA 0.3
/* Fraction of the timeout that the prediction may use up. */
#define TIMEOUT_FRACTION 0.9
/*
 * Deviations over the mean allowed for the longest task: TAIL_DEVIATIONS, and
 * TAIL_PER_LOG for each unit of the logarithm of the number of tasks.
 */
#define TAIL_DEVIATIONS 3.0
#define TAIL_PER_LOG 1.5
#define RETRY_AFTER_MIN_MS 50
#define RETRY_AFTER_MAX_MS 30000

struct deadline_admit {
	struct rp_admit admit; /* must be first */
	const struct rp_service *svc;
	double rate;	       /* tasks ended per ms; 0: unknown */
	uint64_t window_ended; /* tasks in the window */
	rp_ms window_start;
	int idle; /* the queue was empty during part of the window */
};

static struct rp_admit *deadline_create(struct rp_service *svc);

static void deadline_destroy(struct rp_admit *admit)
{
	free(admit);
}

/*
 * Closes a window. A busy window updates the rate, an idle one can only raise
 * it. A window that is much too long changes nothing, because no task ran in
 * part of it.
 */
static void end_window(struct deadline_admit *a, rp_ms now)
{
	rp_ms elapsed = now - a->window_start;
	double rate = (double)a->window_ended / (double)elapsed;

	if (elapsed > WINDOWS_MAX * WINDOW_MS)
		rate = a->rate;
	if (a->rate == 0 || (a->idle && rate > a->rate))
		a->rate = rate;
	else if (!a->idle)
		a->rate += RATE_ALPHA * (rate - a->rate);
	a->window_ended = 0;
	a->idle = 0;
	a->window_start = now;
}

static void deadline_ended(struct rp_admit *admit, rp_ms elapsed, rp_ms now)
{
	struct deadline_admit *a = (struct deadline_admit *)admit;

	(void)elapsed;
	a->window_ended++;
	if (!a->svc->nqueued)
		a->idle = 1;
	if (now - a->window_start >= WINDOW_MS)
		end_window(a, now);
}

/*
 * Returns the rate at which tasks end, per ms, or 0 when it is unknown. Before
 * the first window ends it is estimated from the limits and run times.
 */
static double service_rate(const struct deadline_admit *a)
{
	const struct rp_service *svc = a->svc;

	if (a->rate > 0)
		return a->rate;
	if (svc->run_time.mean > 0)
		return (double)svc->total_limit / svc->run_time.mean;
	return 0;
}

/* Returns the team's share of the rate beside the teams with queued tasks. */
static double team_share(const struct rp_team *team)
{
	const struct rp_dispatch *d = team->shard;
	double own = team->weight, all = (double)d->active_weight;

	if (!team->nqueued)
		all += own;
	return all > 0 && own > 0 ? own / all : 1;
}

/* Returns the predicted time until the job's last task starts, ms. */
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

/* Returns the run time to allow for the longest of ntasks tasks, ms. */
static double longest_task_time(const struct rp_service *svc, size_t ntasks)
{
	double devs = TAIL_DEVIATIONS + TAIL_PER_LOG * log((double)ntasks);

	return svc->run_time.mean + devs * svc->run_time.dev;
}

/* Returns a retry delay within its bounds, ms. */
static rp_ms clamp_retry_after(double delay)
{
	if (delay < RETRY_AFTER_MIN_MS)
		return RETRY_AFTER_MIN_MS;
	return delay > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS : (rp_ms)delay;
}

static enum rp_code deadline_check(struct rp_admit *admit,
				   const struct rp_submission *sub, rp_ms now,
				   struct rp_status *st, rp_ms *retry_after)
{
	struct deadline_admit *a = (struct deadline_admit *)admit;
	const struct rp_service *svc = a->svc;
	const struct rp_team *team = team_get(svc->shard, sub->team);
	double wait = predicted_wait(a, team, sub->ntasks);
	double need = wait + longest_task_time(svc, sub->ntasks);

	(void)now;
	if (!svc->nqueued)
		a->idle = 1;
	if (svc->nqueued + sub->ntasks > svc->shard->k->opt.max_queued) {
		*retry_after = clamp_retry_after(wait / 2);
		return rp_status_set(st, RP_E_FULL, RP_STEP_ADMIT, "",
				     "queue is full: %zu tasks queued",
				     svc->nqueued);
	}
	if (!svc->nqueued || need <= TIMEOUT_FRACTION * (double)sub->timeout)
		return RP_OK;
	*retry_after = clamp_retry_after(need - TIMEOUT_FRACTION *
							(double)sub->timeout);
	return rp_status_set(st, RP_E_DEADLINE, RP_STEP_ADMIT, "",
			     "predicted to take %.0f ms of the %lld ms allowed",
			     need, (long long)sub->timeout);
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
