/*
 * Runs on targets that leave: a target that drains tells how long it stays at
 * least. What cannot end there, and could not be repeated in time once it is
 * lost, is moved while there is time.
 *
 * Load pattern: a tenth of the targets leaves at once at short notice, during a
 * burst.
 */

#include "sched-int.h"

/* Interval between checks of all targets. */
#define CHECK_INTERVAL_MS 40
/* Time for the stop, its end in a list, and the new start. */
#define MOVE_MS 60
/* Number of times that one task may be moved for any reason. */
#define MOVES_MAX 2

/* Whether a run elsewhere that begins after ms ends before the job expires. */
static int ends_elsewhere(const struct sched_task *task, rp_ms ms,
			  struct sched_move *m)
{
	struct sched_job *job = task->job;
	struct sched *s = job->s;
	const struct sched_step *step = &job->steps[task->step];
	const struct sched_target *t;

	job->avoid = task->target;
	job->last_attempt = sched_task_on_last_attempt(task);
	job->isolate = task->isolated;
	t = sched_best_target(s, job, step);
	if (!t || t == task->target)
		return 0;
	m->to = t;
	m->end_there = (double)(s->now + ms) + 2 * s->call_delay +
		       sched_rerun_time(task, t);
	return m->end_there <=
	       (double)sched_job_times(job, task, sched_task_work(task))
		       .expires_at;
}

static int should_move(const struct sched_task *task, struct sched_move *m)
{
	const struct sched_target *t = task->target;
	rp_ms left = t->leave_at - t->s->now;

	if (task->state != SCHED_RUNNING || task->moves >= MOVES_MAX)
		return 0;
	m->end = sched_run_predicted_end(task);
	if (m->end <= (double)t->leave_at)
		return 0;
	/*
	 * Its target may stay longer than it says. If it does not, the run
	 * counts as lost when its lease is over.
	 */
	if (left > 0 && ends_elsewhere(task, left + t->s->max_lease, m))
		return 0;
	return ends_elsewhere(task, MOVE_MS, m);
}

static void leave_target(struct sched_target *t)
{
	struct sched_task *task, *next;
	struct sched *s = t->s;

	for (task = t->runs; task; task = next) {
		struct sched_move m = {
			.reason = "the target leaves before the run ends",
		};

		next = task->next;
		if (!should_move(task, &m))
			continue;
		task->moves++;
		s->count.leave_moves++;
		s->ops->log_move(s, task, &m);
		sched_run_stop(task);
	}
}

static void move_leaving(struct sched *s)
{
	size_t i;

	for (i = 0; i < s->ntargets; i++)
		if (s->targets[i]->leave_at && s->targets[i]->nruns)
			leave_target(s->targets[i]);
}

static struct sched_leave_ops move_leave = {
	.plugin = { .name = "move" },
	.move_runs = move_leaving,
};

static void move_nothing(struct sched *s)
{
	(void)s;
}

/* Baseline for comparison: runs are lost with their target. */
static struct sched_leave_ops none_leave = {
	.plugin = { .name = "none" },
	.move_runs = move_nothing,
};

RP_REGISTER(RP_PLUGIN_LEAVE, move_leave);
RP_REGISTER(RP_PLUGIN_LEAVE, none_leave);

void sched_leave_tick(struct sched *s)
{
	if (s->now - s->left_at < CHECK_INTERVAL_MS)
		return;
	s->left_at = s->now;
	s->leave->move_runs(s);
}
