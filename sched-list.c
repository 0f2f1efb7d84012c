/*
 * Lists of targets: what runs there, and which runs have ended.
 *
 * A list is of some time between the request and the reply. Replies to starts
 * and stops overtake it, so that it may lack a run that is known to be there.
 */

#include "sched-int.h"

/* A reply with this many ends may be incomplete. */
#define ENDS_PER_REPLY 500

static void apply_end(struct sched_target *t, const struct sched_end *e)
{
	struct sched_task *task = sched_run_find(t, e->task, e->run);
	rp_ms deadline;
	uint64_t mark;
	int owner_lost;
	void *owner;

	t->ends_seen = e->number;
	t->s->count.ends++;
	if (!task) {
		sched_adopt_end(t, e);
		return;
	}
	/* The last end of a job may free it. */
	owner = task->job->owner;
	owner_lost = task->job->owner_lost;
	deadline = sched_job_needed_until(task->job);
	if (e->how != SCHED_END_STOPPED)
		sched_learn_end(task, (double)(t->s->now - task->sent_at),
				e->how == SCHED_END_FAILED);
	if (owner_lost && e->how == SCHED_END_DONE)
		sched_history_add_done(task);
	mark = sched_run_ended(task, e->how);
	if (owner_lost && e->how == SCHED_END_DONE)
		mark = SCHED_ALL_MARKS;
	sched_unacked_add(t, e->number, owner, mark, deadline);
}

static void apply_ends(struct sched_target *t,
		       const struct sched_target_reply *reply)
{
	size_t i;

	for (i = 0; i < reply->nends; i++)
		if (reply->ends[i].number > t->ends_seen)
			apply_end(t, &reply->ends[i]);
}

static const struct sched_run *
listed_run(const struct sched_target_reply *reply,
	   const struct sched_task *task)
{
	size_t i;

	for (i = 0; i < reply->nruns; i++)
		if (reply->runs[i].run == task->run &&
		    str_eq(reply->runs[i].task, str_of(task->name)))
			return &reply->runs[i];
	return NULL;
}

/* Counts unknown runs, and stops them once no job may claim them any more. */
static void stop_foreign_runs(struct sched_target *t,
			      const struct sched_target_reply *reply)
{
	size_t i;

	t->nforeign = 0;
	for (i = 0; i < reply->nruns; i++) {
		const struct sched_run *r = &reply->runs[i];

		if (sched_run_find(t, r->task, r->run))
			continue;
		t->nforeign++;
		if (sched_adopt_pending(t) || t->s->suspended)
			continue;
		t->s->count.orphans++;
		t->s->ops->log(t->s, "stop_orphan", t, NULL, "");
		t->s->ops->stop(t->s, t, r->task, r->run);
	}
}

/*
 * Whether a run that is not in the list is over. The list was requested after
 * the reply to the run's start or stop; or the target has replied under a
 * higher token since, and refuses a start that is late.
 */
static int is_over(const struct sched_target *t, const struct sched_task *task,
		   rp_ms requested_at)
{
	if (task->replied_at && requested_at > task->replied_at)
		return 1;
	return task->overdue && t->s->fence_raised_at > task->sent_at &&
	       t->adopted;
}

/*
 * Whether another copy of the run's start may still reach the target, which has
 * restarted since and would carry it out. A stop that this incarnation has
 * acknowledged prevents that.
 */
static int may_start_again(const struct sched_target *t,
			   const struct sched_task *task)
{
	if (!task->restarted || t->s->now - task->sent_at >= LATE_CALL_MAX_MS)
		return 0;
	return !sched_run_is_stopping(task) || !task->replied_at;
}

/* Updates the known runs from a list. */
static void reconcile_runs(struct sched_target *t,
			   const struct sched_target_reply *reply)
{
	struct sched_task *task, *next;

	for (task = t->runs; task; task = next) {
		const struct sched_run *r = listed_run(reply, task);

		next = task->next;
		if (r) {
			task->restarted = 0;
			task->seen = 1;
			if (task->state == SCHED_STARTING)
				task->state = SCHED_RUNNING;
			if (task->state == SCHED_RUNNING)
				sched_learn_progress(task, r->percent);
			else if (!task->stop_sent)
				sched_run_send_stop(task);
			continue;
		}
		if (is_over(t, task, reply->sent_at) &&
		    may_start_again(t, task)) {
			sched_run_stop_again(task);
		} else if (is_over(t, task, reply->sent_at)) {
			if (task->restarted)
				sched_loss_of_run(task, 1);
			if (!sched_run_is_stopping(task))
				t->s->ops->log(t->s, "run_unlisted", t, task,
					       "a later list lacks it");
			sched_late_give_up(task);
			sched_run_ended(task, SCHED_END_STOPPED);
		} else if (sched_run_is_stopping(task) && !task->stop_sent)
			sched_run_send_stop(task);
	}
}

void sched_set_more_ends(struct sched_target *t, int more_ends)
{
	if (t->more_ends == more_ends)
		return;
	t->more_ends = more_ends;
	if (more_ends)
		t->s->nmore_ends++;
	else
		t->s->nmore_ends--;
}

int sched_ends_may_be_missing(const struct sched_job *job)
{
	const struct sched *s = job->s;
	size_t i;

	for (i = 0; s->nmore_ends && i < s->ntargets; i++) {
		const struct sched_target *t = s->targets[i];

		if (t->more_ends && t->service == job->service &&
		    (t->listed || s->now - t->unlisted_at < GONE_MS))
			return 1;
	}
	return 0;
}

void sched_list_apply(struct sched_target *t,
		      const struct sched_target_reply *reply)
{
	int awaited_lapse = sched_adopt_awaits_lapse(t);

	sched_set_more_ends(t, reply->nends >= ENDS_PER_REPLY);
	apply_ends(t, reply);
	if (!awaited_lapse && sched_adopt_awaits_lapse(t))
		t->s->ops->log(t->s, "lapse_awaited", t, NULL,
			       "results that no job claims are listed");
	stop_foreign_runs(t, reply);
	if (t->more_ends)
		return;
	reconcile_runs(t, reply);
	sched_adopt_reconcile(t, reply);
	sched_late_starts_stop(t);
}
