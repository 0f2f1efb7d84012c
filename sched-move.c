/*
 * Moves runs that will end late to other targets.
 *
 * Progress shows after a fraction of the run time that a job is longer than
 * estimated, or that a target became slow, hangs or does not reply. A task
 * never runs twice at the same time: the run is stopped, and the task is
 * started elsewhere only after the run's end.
 */

#include "sched-int.h"

/* Time for the stop, its end in a list, and the new start. */
#define MOVE_MS 60
/* Margin on the predicted run time at the other target. */
#define MOVE_SAFETY 1.15
/* Number of times that one task may be moved. */
#define MOVES_MAX 2
/* Interval between checks of all runs. */
#define CHECK_INTERVAL_MS 60

static int should_move(const struct sched_task *task, struct sched_move *m)
{
	struct sched_job *job = task->job;
	struct sched *s = job->s;
	const struct sched_step *step = &job->steps[task->step];
	const struct sched_target *t;
	struct sched_times times;

	m->end = sched_run_predicted_end(task);
	if (task->moves >= MOVES_MAX || m->end <= (double)job->due_at)
		return 0;
	times = sched_job_times(job, task, sched_task_work(task));
	if (m->end <= (double)times.due_at)
		return 0;
	job->avoid = task->target;
	job->last_attempt = sched_task_on_last_attempt(task);
	job->isolate = task->isolated;
	t = sched_best_target(s, job, step);
	if (!t || t == task->target)
		return 0;
	m->to = t;
	m->end_there = (double)s->now + MOVE_MS + 2 * s->call_delay +
		       MOVE_SAFETY * sched_rerun_time(task, t);
	/* Only there does it end on time, or at least before it expires. */
	if (m->end_there <= (double)times.due_at)
		return 1;
	return m->end > (double)times.expires_at &&
	       m->end_there < (double)times.expires_at;
}

static void move_if_late(struct sched_task *task)
{
	struct sched *s = task->job->s;
	struct sched_move m = {
		.reason = "the run would end late here and earlier elsewhere",
	};

	if (!should_move(task, &m))
		return;
	task->moves++;
	task->job->runs_moved++;
	s->count.moves++;
	s->ops->log_move(s, task, &m);
	sched_learn_overrun(task, m.end - (double)task->sent_at -
					  sched_run_delay(task));
	sched_run_stop(task);
}

static void move_late_runs(struct sched *s)
{
	struct sched_job *job;
	size_t i;

	if (s->now - s->moved_at < CHECK_INTERVAL_MS)
		return;
	s->moved_at = s->now;
	for (job = s->jobs; job; job = job->next) {
		if (!job->nplaced)
			continue;
		for (i = 0; i < job->ntasks; i++)
			if (job->tasks[i].state == SCHED_RUNNING)
				move_if_late(&job->tasks[i]);
	}
}

static struct sched_move_ops progress_move = {
	.plugin = { .name = "progress" },
	.move_runs = move_late_runs,
};

static void move_nothing(struct sched *s)
{
	(void)s;
}

/* Baseline for comparison: runs are never moved. */
static struct sched_move_ops none_move = {
	.plugin = { .name = "none" },
	.move_runs = move_nothing,
};

RP_REGISTER(RP_PLUGIN_MOVE, progress_move);
RP_REGISTER(RP_PLUGIN_MOVE, none_move);
