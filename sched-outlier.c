/*
 * Runs that take many times as long as predicted: is it the target, which has
 * become slow, or the job, which is far longer than its caller has estimated?
 *
 * Load pattern: a few of a hundred jobs are long outliers. If their targets
 * were blamed, a third of all targets would count as slow at any time, and long
 * jobs would find none that is fast enough.
 */

#include "sched-int.h"

#include <math.h>

/* Run time from which the progress of another run is evidence. */
#define EVIDENCE_MIN_MS 60
/*
 * A run has stalled if its percentage has not risen for this many times as long
 * as each percent took so far, and at least for STALL_MIN_MS.
 */
#define STALL_PERCENTS 3
#define STALL_MIN_MS 100
/* The same at 0 percent, in times of a percent as predicted at the start. */
#define STALL_FIRST 30
/* Weight of one decision in the share of outliers that are the jobs'. */
#define SHARE_GAIN 0.05

/*
 * Compares a run with its prediction. Returns 1 if it takes longer by at least
 * half of the error (of the logarithm), -1 if it does not, 0 if not known yet.
 */
static int is_longer(const struct sched_task *task, double error)
{
	double run_ms = (double)(task->progress_at - task->sent_at) -
			sched_run_delay(task);

	if (task->state != SCHED_RUNNING || !task->seen ||
	    run_ms < EVIDENCE_MIN_MS)
		return 0;
	/* Percents are rounded down. */
	if (log(run_ms * 100 / (task->percent + 1) / task->predicted) >
	    error / 2)
		return 1;
	if (task->percent > 0 &&
	    log(run_ms * 100 / task->percent / task->predicted) < error / 2)
		return -1;
	return 0;
}

/* Evidence of the other tasks of the step, which are alike; above 0: the job.
 */
static int evidence_of_step(const struct sched_task *task, double error)
{
	const struct sched_job *job = task->job;
	const struct sched_step *step = &job->steps[task->step];
	int votes = 0;
	uint32_t i;

	for (i = 0; i < step->ntasks; i++) {
		const struct sched_task *other =
			&job->tasks[step->first_task + i];

		if (other->state == SCHED_DONE)
			votes--;
		else if (other->target && other->target != task->target)
			votes += is_longer(other, error);
	}
	return votes;
}

/* Evidence of the other runs on the target; above 0: the job. */
static int evidence_of_target(const struct sched_task *task, double error)
{
	const struct sched_task *other;
	int votes = 0;

	for (other = task->target->runs; other; other = other->next)
		if (other->job != task->job)
			votes -= is_longer(other, error);
	return votes;
}

/*
 * Whether the run makes no progress any more, or far less than before. A long
 * job progresses at an even rate.
 */
static int has_stalled(const struct sched_task *task)
{
	double limit = STALL_FIRST * task->predicted / 100;

	if (task->state != SCHED_RUNNING || task->adopted)
		return 0;
	if (task->percent > 0)
		limit = STALL_PERCENTS *
			(double)(task->percent_at - task->sent_at) /
			task->percent;
	return (double)(task->progress_at - task->percent_at) >
	       fmax(limit, STALL_MIN_MS);
}

/* Above 0: the job; below: the target; 0: not known. */
static int count_votes(const struct sched_task *task, double error)
{
	if (has_stalled(task))
		return -1;
	return evidence_of_step(task, error) + evidence_of_target(task, error);
}

static enum sched_outlier cause_of(const struct sched *s, int votes)
{
	if (!votes)
		return s->job_outlier_share >= 0.5 ? SCHED_OUTLIER_JOB
						   : SCHED_OUTLIER_TARGET;
	return votes > 0 ? SCHED_OUTLIER_JOB : SCHED_OUTLIER_TARGET;
}

enum sched_outlier sched_outlier_presumed(const struct sched_task *task,
					  double error)
{
	return cause_of(task->job->s, count_votes(task, error));
}

enum sched_outlier sched_outlier_cause(const struct sched_task *task,
				       double error, int may_wait)
{
	struct sched *s = task->job->s;
	int votes = count_votes(task, error);

	if (!votes && may_wait)
		return SCHED_OUTLIER_UNKNOWN;
	if (votes)
		s->job_outlier_share += SHARE_GAIN * ((votes > 0 ? 1.0 : 0.0) -
						      s->job_outlier_share);
	return cause_of(s, votes);
}
