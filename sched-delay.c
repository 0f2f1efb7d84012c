/*
 * Time that jobs wait while tasks of theirs could start, by what they wait for.
 *
 * The sums of a queue tell a lack of room from waits that each start has.
 */

#include "sched-int.h"

static const char *const names[SCHED_DELAYS] = {
	"none", "room", "owner", "losses", "earlier_runs", "cancelled",
};

const char *sched_delay_name(enum sched_delay delay)
{
	return names[delay];
}

void sched_delay_set(struct sched_job *job, enum sched_delay delay)
{
	rp_ms now = job->s->now;

	job->delays[job->delay] += now - job->delayed_since;
	job->delay = delay;
	job->delayed_since = now;
}

void sched_delay_count(struct sched_job *job)
{
	int i;

	sched_delay_set(job, SCHED_DELAY_NONE);
	job->queue->nended++;
	for (i = 0; i < SCHED_DELAYS; i++)
		job->queue->delays[i] += job->delays[i];
}
