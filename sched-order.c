/*
 * Policies for the order in which jobs are started.
 *
 * latest-start serves a mix of short and long jobs under overload. The job with
 * the least slack at mean speed goes first, so a job that needs a fast target
 * has the first choice. Jobs that cannot end on time any more, even on a fast
 * target, get the capacity that the others leave.
 */

#include "sched-int.h"

static rp_ms latest_start_key(const struct sched_job *job)
{
	return job->slack_until;
}

static int latest_start_defer(const struct sched_job *job, rp_ms now)
{
	return job->latest_start < now;
}

static struct sched_order_ops latest_start_order = {
	.plugin = { .name = "latest-start" },
	.sort_key = latest_start_key,
	.defer = latest_start_defer,
};

/*
 * Time by which a job of a lower priority is put back for each level, and thus
 * the longest time that it waits for jobs of the next level that come later. A
 * short job with this slack is still on time.
 */
#define PRIORITY_MS 100
/* Levels that count; a larger number is taken for the last one. */
#define PRIORITY_LEVELS 4

/*
 * Load pattern: queues compete for too little room, and some have a higher
 * priority. Without priorities the order is that of latest-start.
 */
static rp_ms priority_key(const struct sched_job *job)
{
	uint32_t level = job->priority < PRIORITY_LEVELS ? job->priority
							 : PRIORITY_LEVELS;

	return job->slack_until + (rp_ms)level * PRIORITY_MS;
}

static struct sched_order_ops priority_order = {
	.plugin = { .name = "priority" },
	.sort_key = priority_key,
	.defer = latest_start_defer,
};

static rp_ms fifo_key(const struct sched_job *job)
{
	return job->arrived_at;
}

static int fifo_defer(const struct sched_job *job, rp_ms now)
{
	(void)job;
	(void)now;
	return 0;
}

/* Baseline for comparison. */
static struct sched_order_ops fifo_order = {
	.plugin = { .name = "fifo" },
	.sort_key = fifo_key,
	.defer = fifo_defer,
};

RP_REGISTER(RP_PLUGIN_ORDER, latest_start_order);
RP_REGISTER(RP_PLUGIN_ORDER, priority_order);
RP_REGISTER(RP_PLUGIN_ORDER, fifo_order);
