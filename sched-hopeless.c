/*
 * Jobs that cannot end in time any more, known from the progress of their runs.
 * They are answered at once, so that their callers need not wait and their
 * capacity goes to others.
 *
 * Load pattern: a few of a hundred jobs take many times as long as their
 * callers have estimated, and hold half a target for all of their time.
 */

#include "sched-int.h"

#include <math.h>

/* Interval between checks of all jobs. */
#define CHECK_INTERVAL_MS 60
/* Least progress for a prediction of a run's end. */
#define PROGRESS_MIN_PERCENT 8
/* Calls without a reply, and time, from which a target counts as silent. */
#define SILENT_CALLS 3
#define SILENT_MS 200
/* A job is given up if a run needs this many times the time left. */
#define HOPELESS_FACTOR 1.25
/* The same for what the run needs at least. */
#define BOUND_FACTOR 1.05
/* Run time from which progress bounds the work, as it is reported at times. */
#define BOUND_MIN_MS 100
/* Runs on different targets that have to agree, so that it is not a target. */
#define BOUND_RUNS 2
/* Standard deviations by which the work may be less than the runs show. */
#define BOUND_SIGMAS 2.0

/*
 * Whether the run is on a target that has stopped to reply, and its task cannot
 * be started elsewhere in time once the lease is over.
 */
static int is_lost_for_good(const struct sched_task *task, double rerun_ms)
{
	const struct sched_target *t = task->target;
	rp_ms now = t->s->now;
	rp_ms from = t->lease_until > now ? t->lease_until : now;

	return t->unanswered >= SILENT_CALLS &&
	       now - t->replied_at >= SILENT_MS &&
	       (double)(task->job->expires_at - from) < rerun_ms;
}

/* Returns a task that will end after the job expires, here or elsewhere. */
static const struct sched_task *find_predicted(const struct sched_job *job)
{
	double slowdown =
		sched_service_totals(job->s, job->service)->fast_slowdown;
	double left = (double)(job->expires_at - job->s->now);
	size_t i;

	for (i = 0; i < job->ntasks; i++) {
		const struct sched_task *task = &job->tasks[i];
		double rerun_ms = job->steps[task->step].work * slowdown;

		if (task->state == SCHED_DONE)
			continue;
		if (task->target && is_lost_for_good(task, rerun_ms))
			return task;
		if (task->state != SCHED_RUNNING || !task->observed ||
		    task->percent < PROGRESS_MIN_PERCENT)
			continue;
		if (rerun_ms > HOPELESS_FACTOR * left &&
		    sched_run_predicted_end(task) - (double)job->s->now >
			    HOPELESS_FACTOR * left)
			return task;
	}
	return NULL;
}

/*
 * Least time that the run takes as a whole, ms: targets report whole percents
 * and round down. 0: not known.
 */
static double least_run_ms(const struct sched_task *task)
{
	double run_ms = (double)(task->progress_at - task->sent_at) -
			sched_run_delay(task);

	if (task->state != SCHED_RUNNING || !task->seen ||
	    run_ms < BOUND_MIN_MS || task->percent < 0)
		return 0;
	return run_ms * 100.0 / (task->percent + 1);
}

/*
 * Least work of a task of the step, in ms at speed 1, or 0. The tasks of a step
 * are alike, so the least that any of several runs shows is not the fault of
 * their targets. A task that has ended without a look at its progress says that
 * the others are short.
 */
static double least_work(const struct sched_job *job, size_t step)
{
	const struct sched_target *first = NULL;
	double least = HUGE_VAL;
	size_t i, n = 0;

	for (i = job->steps[step].first_task;
	     i < job->steps[step].first_task + job->steps[step].ntasks; i++) {
		const struct sched_task *task = &job->tasks[i];
		const struct sched_target *t = task->target;
		double run_ms;

		if (task->state == SCHED_DONE)
			return 0;
		if (!t)
			continue;
		run_ms = least_run_ms(task);
		if (run_ms <= 0)
			continue;
		n += t != first;
		first = first ? first : t;
		least = fmin(least,
			     run_ms / t->slowdown *
				     exp(-BOUND_SIGMAS * sqrt(t->slowdown_var +
							      SCHED_TASK_VAR)));
	}
	return n >= BOUND_RUNS ? least : 0;
}

/* Whether the task cannot end in time, neither where it runs nor elsewhere. */
static int is_beyond_bound(const struct sched_task *task, double elsewhere_ms)
{
	const struct sched_job *job = task->job;
	double now = (double)job->s->now;
	double left = (double)job->expires_at - now;
	double here_ms = HUGE_VAL;

	if (task->target && task->state == SCHED_RUNNING)
		here_ms = (double)task->sent_at + sched_run_delay(task) +
			  least_run_ms(task) - now;
	return fmin(here_ms, elsewhere_ms) > BOUND_FACTOR * left;
}

static const struct sched_task *find_beyond_bound(const struct sched_job *job)
{
	double slowdown =
		sched_service_totals(job->s, job->service)->fast_slowdown;
	size_t step, i;

	for (step = 0; step < job->nsteps; step++) {
		const struct sched_step *st = &job->steps[step];
		double work = st->nleft ? least_work(job, step) : 0;

		for (i = 0; work > 0 && i < st->ntasks; i++) {
			const struct sched_task *task =
				&job->tasks[st->first_task + i];

			if (task->target &&
			    is_beyond_bound(task, work * slowdown))
				return task;
		}
	}
	return find_predicted(job);
}

/*
 * Whether the job waits and cannot end in time even if it is started now. It
 * was accepted and then displaced, or room was lost.
 */
static int waits_in_vain(const struct sched_job *job)
{
	return !job->nplaced && !job->ndone && !job->stored &&
	       !job->prev_fence && !job->started_earlier &&
	       !job->first_started_at &&
	       job->expires_at - job->s->now < sched_job_shortest_time(job);
}

static int never_in_vain(const struct sched_job *job)
{
	(void)job;
	return 0;
}

static void answer_hopeless(struct sched_job *job,
			    const struct sched_task *task)
{
	struct sched *s = job->s;

	s->count.hopeless++;
	s->ops->log(s, "hopeless", task->target, task,
		    "the run cannot end before its job expires");
	sched_job_answer(job, POOL_ANSWER__OUTCOME__INCOMPLETE,
			 "the job cannot end before it expires", 0);
}

void sched_hopeless_tick(struct sched *s)
{
	struct sched_job *job, *next;

	if (s->now - s->hopeless_at < CHECK_INTERVAL_MS)
		return;
	s->hopeless_at = s->now;
	for (job = s->jobs; job; job = next) {
		const struct sched_task *task;

		next = job->next;
		task = job->nplaced ? s->hopeless->find(job) : NULL;
		if (task) {
			answer_hopeless(job, task);
		} else if (s->hopeless->waits_in_vain(job)) {
			s->count.in_vain++;
			sched_job_answer(job, POOL_ANSWER__OUTCOME__REJECTED,
					 "no room came free in time",
					 sched_admit_retry_after(job));
		}
	}
}

static struct sched_hopeless_ops bound_hopeless = {
	.plugin = { .name = "bound" },
	.find = find_beyond_bound,
	.waits_in_vain = waits_in_vain,
};

/* Baseline for comparison: by the predicted work of the job. */
static struct sched_hopeless_ops predicted_hopeless = {
	.plugin = { .name = "predicted" },
	.find = find_predicted,
	.waits_in_vain = never_in_vain,
};

RP_REGISTER(RP_PLUGIN_HOPELESS, bound_hopeless);
RP_REGISTER(RP_PLUGIN_HOPELESS, predicted_hopeless);
