/*
 * Predicts how long a task takes by all that its run has shown, on its target
 * and on others, so that both sides of a decision rest on the same observation.
 *
 * What a run takes is the work of its job, what its task differs from the
 * others, and its target's slowdown. The first two are the same on any target.
 */

#include "sched-int.h"

#include <math.h>

/* Run time from which progress is used to predict a run's end. */
#define PROGRESS_MIN_MS 100
/* Least progress for a prediction; a run with less is taken to have it. */
#define PROGRESS_MIN_PERCENT 8

rp_ms sched_run_likely_begin(const struct sched_task *task, int percent)
{
	rp_ms at = task->job->s->now -
		   (rp_ms)(task->predicted * (percent + 0.5) / 100);

	return at > task->job->arrived_at ? at : task->job->arrived_at;
}

/* When the run began on its target, on the scheduler's clock. */
static double begin_of(const struct sched_task *task)
{
	return task->adopted ? (double)task->began_at
			     : (double)task->sent_at + sched_run_delay(task);
}

/*
 * Returns the run time as a whole that the run's progress shows, ms, or 0 if
 * none is shown. Targets report whole percents, rounded down.
 */
static double shown_ms(const struct sched_task *task)
{
	double run_ms = (double)task->progress_at - begin_of(task);
	double least_ms;

	if (task->state != SCHED_RUNNING || run_ms < PROGRESS_MIN_MS)
		return 0;
	if (task->percent >= PROGRESS_MIN_PERCENT)
		return run_ms * 100.0 / (task->percent + 0.5);
	least_ms = run_ms * 100.0 / PROGRESS_MIN_PERCENT;
	return least_ms > sched_run_time(task->target,
					 &task->job->steps[task->step])
		       ? least_ms
		       : 0;
}

double sched_run_predicted_end(const struct sched_task *task)
{
	double ms = shown_ms(task);

	if (ms <= 0)
		ms = sched_run_time(task->target,
				    &task->job->steps[task->step]);
	return begin_of(task) + ms;
}

/* Variance of log(percent), as whole percents are reported. */
static double percent_var(int percent)
{
	double p = percent + 0.5;

	return 1 / (12 * p * p);
}

double sched_task_work(const struct sched_task *task)
{
	const struct sched_step *step = &task->job->steps[task->step];
	double ms = task->target ? shown_ms(task) : 0;
	double error;

	if (ms <= 0 || task->adopted)
		return step->work;
	error = log(ms / sched_run_time(task->target, step));
	return step->work *
	       exp(error * sched_learn_share_of_job(
				   task, error, percent_var(task->percent)));
}

double sched_rerun_time(const struct sched_task *task,
			const struct sched_target *t)
{
	const struct sched_step *step = &task->job->steps[task->step];
	double fastest = sched_service_totals(t->s, t->service)->fast_slowdown;

	return sched_task_work(task) / step->work * sched_run_time(t, step) *
	       fmax(1, fastest / t->slowdown);
}
