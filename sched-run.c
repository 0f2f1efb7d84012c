/* Runs of tasks on targets: starts, stops, ends and leases. */

#include "sched-int.h"

#include <stdlib.h>
#include <string.h>

/* Share by which a target's clock may be slow. */
#define CLOCK_DRIFT 0.02
/* Error of a reading of a target's clock. */
#define LEASE_SLACK_MS 30

static const struct sched_resources *need_of(const struct sched_task *task)
{
	return &task->job->steps[task->step].need;
}

/* Adds the resources to those used on the target; sign -1: subtracts them. */
static void charge(struct sched_target *t, const struct sched_resources *v,
		   int sign)
{
	t->used.cpu += sign * v->cpu;
	t->used.memory += sign * v->memory;
	t->used.accelerators += sign * v->accelerators;
}

static void link_run(struct sched_task *task, struct sched_target *t)
{
	task->target = t;
	task->next = t->runs;
	task->prev = &t->runs;
	if (task->next)
		task->next->prev = &task->next;
	t->runs = task;
	t->nruns++;
	task->isolated = (uint8_t)sched_loss_isolates(task);
	t->nisolated += task->isolated;
	t->was_isolated = 0;
	charge(t, need_of(task), 1);
	task->job->nplaced++;
}

static void unlink_run(struct sched_task *task)
{
	struct sched_target *t = task->target;

	*task->prev = task->next;
	if (task->next)
		task->next->prev = task->prev;
	t->nruns--;
	t->nisolated -= task->isolated;
	charge(t, need_of(task), -1);
	task->target = NULL;
	task->job->nplaced--;
}

int64_t sched_least_clock(const struct sched_target *t, rp_ms at)
{
	return t->clock +
	       (int64_t)((double)(at - t->clock_at) * (1 - CLOCK_DRIFT));
}

rp_ms sched_end_of_lease(const struct sched *s)
{
	return s->now + (rp_ms)((double)s->max_lease * (1 + CLOCK_DRIFT)) +
	       LEASE_SLACK_MS;
}

/* Sets the time at which all leases granted up to now have certainly ended. */
static void extend_lease(struct sched_target *t)
{
	t->lease_until = sched_end_of_lease(t->s);
}

int64_t sched_new_lease(struct sched_target *t)
{
	extend_lease(t);
	/*
	 * With a later time, a call that is carried out late would be granted a
	 * lease beyond lease_until.
	 */
	return sched_least_clock(t, t->s->now) + t->s->max_lease;
}

void sched_run_start(struct sched_task *task, struct sched_target *t)
{
	struct sched_job *job = task->job;
	struct sched *s = t->s;

	task->state = SCHED_STARTING;
	task->stop_sent = 0;
	task->run = job->next_run;
	task->sent_at = s->now;
	task->replied_at = 0;
	task->observed = task->percent = 0;
	task->restarted = task->seen = task->overdue = task->adopted = 0;
	task->start_is_late = 1; /* until its reply */
	task->progress_at = task->percent_at = s->now;
	task->predicted = sched_run_time(t, &job->steps[task->step]);
	link_run(task, t);
	if (task->isolated)
		t->reserved_until = 0;
	if (!--job->nwaiting && !job->missed_start)
		sched_admit_started_on_time(job);
	sched_job_started(job);
	s->count.starts++;
	s->ops->start(s, t, task, sched_new_lease(t));
	sched_target_hold(t);
}

void sched_run_adopt(struct sched_task *task, struct sched_target *t,
		     uint32_t run)
{
	task->state = SCHED_RUNNING;
	task->run = run;
	task->sent_at = task->replied_at = t->s->now;
	/* Its start time is unknown, so nothing can be learned from it. */
	task->observed = 1;
	task->restarted = task->overdue = task->start_is_late = 0;
	task->seen = task->adopted = 1;
	task->percent = 0;
	task->progress_at = task->percent_at = 0;
	task->began_at = task->job->arrived_at;
	task->predicted = sched_run_time(t, &task->job->steps[task->step]);
	link_run(task, t);
	/* The previous leader's lease ends no later than one granted now. */
	extend_lease(t);
	task->job->nwaiting--;
	t->s->count.adopted++;
	t->s->ops->log(t->s, "adopt", t, task, "started by a previous leader");
	/* That leader may be of a release that names no failure domains. */
	sched_domain_adopted(task->job, t);
	sched_target_hold(t);
}

void sched_run_send_stop(struct sched_task *task)
{
	struct sched_target *t = task->target;

	if (t->s->suspended)
		return; /* sent after the next list */
	task->stop_sent = 1;
	task->replied_at = 0;
	t->s->ops->stop(t->s, t, str_of(task->name), task->run);
}

/* A task that is done has a run if another one has succeeded. */
int sched_run_is_stopping(const struct sched_task *task)
{
	return task->state == SCHED_STOPPING || task->state == SCHED_DONE;
}

void sched_run_stop(struct sched_task *task)
{
	if (sched_run_is_stopping(task))
		return;
	task->state = SCHED_STOPPING;
	sched_run_send_stop(task);
	sched_target_hold(task->target);
}

void sched_run_stop_again(struct sched_task *task)
{
	if (!sched_run_is_stopping(task))
		task->state = SCHED_STOPPING;
	task->replied_at = 0;
	sched_run_send_stop(task);
}

/* Queues the task to run again, with a higher run number. */
static void requeue_task(struct sched_task *task)
{
	struct sched_job *job = task->job;

	task->state = SCHED_WAITING;
	job->nwaiting++;
	if (job->next_run <= task->run)
		job->next_run = task->run + 1;
	job->retries++;
	job->s->count.retries++;
}

uint64_t sched_task_done(struct sched_task *task)
{
	struct sched_job *job = task->job;
	uint64_t mark;

	task->state = SCHED_DONE;
	job->steps[task->step].nleft--;
	mark = job->s->ops->progress(job->s, job, task);
	if (++job->ndone == job->ntasks)
		mark = sched_job_answer(job, POOL_ANSWER__OUTCOME__COMPLETED,
					"", 0);
	return mark;
}

void sched_task_add_failure(struct sched_task *task, uint32_t run)
{
	task->failed_runs =
		realloc(task->failed_runs,
			(task->failures + 1u) * sizeof(*task->failed_runs));
	task->failed_runs[task->failures++] = run;
}

int sched_task_on_last_attempt(const struct sched_task *task)
{
	return task->failures + 1u >= task->job->max_attempts;
}

uint64_t sched_task_failed(struct sched_task *task, uint32_t run)
{
	struct sched_job *job = task->job;

	sched_task_add_failure(task, run);
	if (task->failures >= job->max_attempts)
		return sched_job_answer(job, POOL_ANSWER__OUTCOME__FAILED,
					"a task reached its maximum number of "
					"attempts",
					0);
	return job->stored ? job->s->ops->progress(job->s, job, task) : 0;
}

static uint64_t run_failed(struct sched_task *task)
{
	if (!sched_task_on_last_attempt(task))
		requeue_task(task);
	return sched_task_failed(task, task->run);
}

uint64_t sched_run_ended(struct sched_task *task, enum sched_end_how how)
{
	struct sched_job *job = task->job;

	if (!task->target)
		return 0;
	if (how != SCHED_END_DONE)
		task->avoid = task->target;
	str_copy(job->last_target, sizeof(job->last_target),
		 str_of(task->target->listing.id));
	job->last_sent_at = task->sent_at;
	job->last_predicted = task->predicted;
	sched_late_start_add(task);
	unlink_run(task);
	if (task->delays_ack)
		sched_unacked_run_over(task);
	if (job->answered || task->state == SCHED_DONE) {
		task->state = SCHED_DONE;
		sched_job_reap(job);
		return 0;
	}
	if (how == SCHED_END_DONE)
		return sched_task_done(task);
	if (how == SCHED_END_FAILED)
		return run_failed(task);
	requeue_task(task);
	return 0;
}

/*
 * Whether the run may begin, or go on, after the lease that is known. A start
 * that had no reply may be carried out seconds later, with a lease from then
 * on, unless the run was stopped first. A hold may be late as well, and then
 * prolongs all runs; that is assumed if the target has left calls unanswered of
 * late and replied to others.
 */
static int may_outlive_lease(const struct sched_task *task)
{
	const struct sched_target *t = task->target;
	rp_ms now = t->s->now;

	if (!t->listed && now - t->unlisted_at >= GONE_MS)
		return 0;
	if (sched_run_is_stopping(task) && task->stop_sent && task->replied_at)
		return 0;
	/* A copy of the start may begin it anew in the next incarnation. */
	if (!task->seen || task->restarted)
		return now - task->sent_at < LATE_CALL_MAX_MS;
	if (now < t->late_lease_until)
		return 1;
	return t->lossy_at && now - t->lossy_at < LATE_CALL_MAX_MS;
}

/*
 * Keeps the run on the target after its lease, until a list that comes after
 * its stop, or after now if it had begun, does not show it.
 */
static void keep_overdue(struct sched_task *task)
{
	struct sched_target *t = task->target;

	task->overdue = 1;
	if (!sched_run_is_stopping(task))
		task->state = SCHED_STOPPING;
	task->stop_sent = 0; /* sent after the next list */
	task->replied_at = task->seen && !task->restarted ? t->s->now : 0;
	t->s->count.overdue++;
	t->s->ops->log(t->s, "overdue", t, task,
		       "calls may be carried out late");
	sched_loss_of_run(task, 0);
}

/*
 * A start without a reply whose target is gone from the list may reach the next
 * incarnation of its id. Its lease is in the time of the clock before, and may
 * be far ahead there.
 */
static void keep_room(const struct sched_task *task)
{
	struct sched_target *t = task->target;
	rp_ms until = task->sent_at + LATE_CALL_MAX_MS;
	const struct sched_resources *need = need_of(task);

	if (task->seen || t->listed)
		return;
	if (t->s->now >= t->late_until)
		memset(&t->late, 0, sizeof(t->late));
	t->late.cpu += need->cpu;
	t->late.memory += need->memory;
	t->late.accelerators += need->accelerators;
	if (until > t->late_until)
		t->late_until = until;
}

static void drop_run(struct sched_target *t, struct sched_task *task,
		     int crashed, const char *reason)
{
	t->s->count.lapses++;
	task->job->runs_lost++;
	t->s->ops->log(t->s, "lapse", t, task, reason);
	if (!task->overdue || crashed)
		sched_loss_of_run(task, crashed);
	if ((task->job->owner_lost || task->job->superseded) && !crashed)
		sched_history_add_unreached(task);
	sched_late_give_up(task);
	keep_room(task);
	sched_run_ended(task, SCHED_END_STOPPED);
}

void sched_target_drop_runs(struct sched_target *t, int crashed,
			    const char *reason)
{
	sched_loss_mark_runs(t);
	t->was_isolated = t->nisolated > 0;
	while (t->runs)
		drop_run(t, t->runs, crashed, reason);
	t->lease_until = 0;
	t->nforeign = 0;
	t->state = SCHED_UNHELD; /* until the next list */
}

/*
 * The target has not replied since its last renewal, so it does not show
 * whether it carries out calls late. If other targets do so at this time, the
 * renewal may have come as late as the end of the lease before. There is no
 * other one: a target that leaves calls unanswered is sent none.
 */
static void allow_late_renewal(struct sched_target *t)
{
	struct sched *s = t->s;

	if (s->lossy_at && s->now - s->lossy_at < 2 * s->max_lease)
		t->late_lease_until = sched_end_of_lease(s);
}

void sched_target_lease_over(struct sched_target *t)
{
	int first = t->lease_until != 0;
	struct sched_task *task, *next;

	if (first) {
		allow_late_renewal(t);
		sched_loss_mark_runs(t);
		t->was_isolated = t->nisolated > 0;
	}
	for (task = t->runs; task; task = next) {
		next = task->next;
		if (!may_outlive_lease(task))
			drop_run(t, task, 0, "the lease is over");
		else if (!task->overdue)
			keep_overdue(task);
	}
	if (!first)
		return;
	t->lease_until = 0;
	t->nforeign = 0;
	t->state = SCHED_UNHELD; /* until the next list */
}

struct sched_task *sched_run_find(struct sched_target *t, struct rp_str name,
				  uint32_t run)
{
	struct sched_task *task;

	for (task = t->runs; task; task = task->next)
		if (task->run == run && str_eq(str_of(task->name), name))
			return task;
	return NULL;
}
