/*
 * Runs that will end too late are stopped and started elsewhere.
 *
 * Answers the load of jobs that are longer than was guessed, and of targets
 * that turn slow, hang or go silent: progress shows them after a fraction of
 * the run time. A run is never doubled; its end is awaited first.
 */

#include "scheduler.h"

#include <math.h>

#define MOVE_MS 60	 /* for the stop, its listing and the new start */
#define MOVE_SAFETY 1.15 /* the other target is predicted slower by this */
#define MOVES_MOST 2	 /* of one task */
#define LOOK_PERCENT 8	 /* progress counts from here on */
#define SETTLE_MS 100	 /* a run is judged by its progress from here on */
#define SPAN_MS 60	 /* between judgements of all runs */
#define HOPELESS 1.25	 /* a job is given up when this much too long */

/* When the run is predicted to end. */
static double end_of(const struct sched_task *task)
{
	const struct sched_target *t = task->target;
	const struct sched_step *step = &task->job->steps[task->step];
	double look = (double)(task->looked_at - task->sent_at);
	double whole = sched_run_time(t, step);

	if (look >= SETTLE_MS) {
		int percent = task->percent > 1 ? task->percent : 1;

		if (percent >= LOOK_PERCENT)
			whole = look * 100.0 / percent;
		else
			whole = fmax(whole, look * 100.0 / LOOK_PERCENT);
	}
	return (double)task->sent_at + whole;
}

static int should_move(const struct sched_task *task, double end)
{
	struct sched_job *job = task->job;
	struct sched *s = job->s;
	const struct sched_step *step = &job->steps[task->step];
	const struct sched_target *t;
	double there;

	if (task->moves >= MOVES_MOST || end <= (double)job->on_time)
		return 0;
	job->avoid = task->target;
	t = sched_best(s, job, step);
	if (!t || t == task->target)
		return 0;
	there = (double)s->now + MOVE_MS +
		MOVE_SAFETY * sched_run_time(t, step);
	/* Either it is on time there, or it ends much earlier and in time. */
	if (there <= (double)job->on_time)
		return 1;
	return end > (double)job->useful_until &&
	       there < (double)job->useful_until;
}

static void judge(struct sched_task *task)
{
	struct sched *s = task->job->s;
	double end = end_of(task);

	if (!should_move(task, end))
		return;
	task->moves++;
	s->count.hedges++;
	s->ops->note(s, "move", task->target, task,
		     "it would end late, and earlier elsewhere");
	sched_learn_behind(task, end - (double)task->sent_at);
	sched_run_stop(task);
}

/* Whether the job cannot be of use any more, wherever its tasks run. */
static int is_hopeless(const struct sched_job *job)
{
	double fast = sched_sums(job->s, job->service)->fastest;
	double left = (double)(job->useful_until - job->s->now);
	size_t i;

	for (i = 0; i < job->ntasks; i++) {
		const struct sched_task *task = &job->tasks[i];
		double again = job->steps[task->step].work * fast;

		if (task->state != SCHED_RUNNING || !task->observed ||
		    task->percent < LOOK_PERCENT)
			continue;
		if (again > HOPELESS * left &&
		    end_of(task) - (double)job->s->now > HOPELESS * left)
			return 1;
	}
	return 0;
}

static void judge_all(struct sched *s)
{
	struct sched_job *job, *next;
	size_t i;

	if (s->now - s->hedged_at < SPAN_MS)
		return;
	s->hedged_at = s->now;
	for (job = s->jobs; job; job = next) {
		next = job->next;
		if (!job->nplaced)
			continue;
		if (is_hopeless(job)) {
			sched_job_answer(job, POOL_ANSWER__OUTCOME__INCOMPLETE,
					 "it cannot end in time any more", 0);
			continue;
		}
		for (i = 0; i < job->ntasks; i++)
			if (job->tasks[i].state == SCHED_RUNNING)
				judge(&job->tasks[i]);
	}
}

static struct sched_move_ops progress_move = {
	.plugin = { .name = "progress" },
	.judge = judge_all,
};

static void judge_none(struct sched *s)
{
	(void)s;
}

/* The baseline: what runs goes on. */
static struct sched_move_ops none_move = {
	.plugin = { .name = "none" },
	.judge = judge_none,
};

RP_REGISTER(RP_PLUGIN_MOVE, progress_move);
RP_REGISTER(RP_PLUGIN_MOVE, none_move);
