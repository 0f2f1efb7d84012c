/*
 * What the runs of a job have shown of its work: whether it could have ended
 * before its deadline at all. For metrics and the log; nothing is decided by
 * it.
 *
 * Load pattern: callers set a deadline that a few of a hundred jobs cannot
 * keep, and an operator has to tell these from jobs that were lost.
 */

#include "sched-int.h"

#include <math.h>

/* Run time from which progress is used, as it is reported at times. */
#define SHOWN_MIN_MS 100
/*
 * A task of a step takes this many times as long as the shortest at most, three
 * standard deviations; what its run shows beyond is the fault of its target.
 */
#define TASK_SPREAD exp(3 * sqrt(SCHED_TASK_VAR))

void sched_shown_add(struct sched_task *task, double run_ms, int percent)
{
	/* Targets report whole percents and round down. */
	double share = percent < 100 ? (percent + 1) / 100.0 : 1;

	if (task->adopted || percent < task->shown_percent ||
	    (percent < 100 && run_ms < SHOWN_MIN_MS))
		return;
	task->shown_percent = percent;
	task->shown_work = run_ms / share / fmax(1, task->target->slowdown);
}

/* Work of the longest task of the step, as far as runs have shown it. */
static double shown_step(const struct sched_job *job,
			 const struct sched_step *step)
{
	double least = HUGE_VAL, most = 0;
	uint32_t i;

	for (i = 0; i < step->ntasks; i++) {
		double work = job->tasks[step->first_task + i].shown_work;

		if (work <= 0)
			continue;
		least = fmin(least, work);
		most = fmax(most, work);
	}
	return most > 0 ? fmin(most, least * TASK_SPREAD) : 0;
}

double sched_job_shown_work(const struct sched_job *job)
{
	double lengths[SCHED_STEPS_MAX];
	size_t i;

	for (i = 0; i < job->nsteps; i++)
		lengths[i] = shown_step(job, &job->steps[i]);
	return sched_job_longest_path(job, lengths);
}

int sched_job_is_too_long(const struct sched_job *job)
{
	double work = sched_job_shown_work(job);

	return work > 0 && work > (double)(job->deadline - job->arrived_at) -
					   sched_overhead(job->s);
}
