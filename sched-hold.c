/*
 * Hold calls and replies of targets.
 *
 * A hold call renews the target's lease; its reply lists what runs there and
 * which runs have ended.
 */

#include "sched-int.h"

/* Time that a hold call waits at the target for an end. */
#define HOLD_WAIT_MS 150
/* Idle time after which ends of a target without runs are acknowledged. */
#define ACK_IDLE_MS 250
/* Time in which an owner usually acknowledges the message about an end. */
#define OWNER_ACK_MS 20
/*
 * Age from which an idle target's clock is read again. A lease granted by it is
 * shorter by up to CLOCK_DRIFT of the age.
 */
#define CLOCK_AGE_MAX_MS 10000
/* Delay before a retry; doubled up to the maximum while calls fail. */
#define RETRY_MS 60
#define RETRY_MAX_MS 1000
/* A reply with this many ends may be incomplete. */
#define ENDS_PER_REPLY 500

static void back_off(struct sched_target *t)
{
	struct sched *s = t->s;

	t->backoff = t->backoff ? t->backoff * 2 : RETRY_MS;
	if (t->backoff > RETRY_MAX_MS)
		t->backoff = RETRY_MAX_MS;
	t->backoff_until = s->now + t->backoff;
}

static void mark_restarted(struct sched_target *t)
{
	struct sched_task *task;

	sched_loss_mark_runs(t);
	for (task = t->runs; task; task = task->next) {
		task->restarted = 1;
		if (!sched_run_is_stopping(task))
			continue;
		/* The next incarnation has no record of the stop. */
		task->stop_sent = 0;
		task->replied_at = 0;
	}
}

/*
 * The target has another incarnation. Runs of the previous one are over, but
 * some may have been started in this one: its next list shows which.
 */
void sched_target_new_incarnation(struct sched_target *t, int64_t incarnation)
{
	struct sched *s = t->s;

	s->ops->log(s, "new_incarnation", t, t->runs, "");
	if (t->incarnation) {
		mark_restarted(t);
		sched_late_starts_restarted(t);
	}
	t->prev_incarnation = t->incarnation;
	t->replaced = 0;
	t->incarnation = incarnation;
	t->incarnation_at = s->now;
	t->state = SCHED_UNHELD;
	t->ends_seen = t->ends_acked = 0;
	t->nunacked = 0;
	t->norphans = t->nforeign = t->ngiven_up = 0;
	t->adopted = 0;
	t->clock = 0;
	t->unanswered = 0;
	t->answered_sent_at = t->unanswered_sent_at = t->lossy_at = 0;
	t->late_lease_until = 0;
	t->backoff_until = t->hold_retry_at = 0;
	sched_reset_slowdown(t);
}

/* Logs when runs of this scheduler begin to exceed the target's capacity. */
static void check_capacity(struct sched_target *t)
{
	static const struct sched_resources nothing;
	int over = !sched_target_has_room(t, &nothing);

	if (over && !t->over_capacity) {
		t->s->count.over_capacity++;
		t->s->ops->log(t->s, "over_capacity", t, t->runs, "");
	}
	t->over_capacity = over;
}

/* Whether the reply is of an incarnation that was replaced since the call. */
static int is_outdated(const struct sched_target *t,
		       const struct sched_target_reply *reply)
{
	return reply->sent_at < t->incarnation_at &&
	       (reply->status == SCHED_REPLY_WRONG_INCARNATION ||
		(reply->incarnation && reply->incarnation != t->incarnation));
}

/*
 * Number up to which the next hold call acknowledges ends; 0: none. Later than
 * SCHED_RESTART_MIN_MS after a reply, another incarnation may receive the call.
 * It numbers its ends anew, and an end that is acknowledged unseen is lost.
 */
static uint64_t ends_to_acknowledge(const struct sched_target *t)
{
	if (t->nruns && t->s->now - t->hold_replied_at > SCHED_RESTART_MIN_MS)
		return 0;
	return sched_ackable_end(t);
}

static void set_lossy(struct sched_target *t)
{
	t->lossy_at = t->s->lossy_at = t->s->now;
}

/*
 * Notes when a target leaves a call unanswered and replies to a later one. A
 * target that has crashed does not.
 */
static void note_answered(struct sched_target *t,
			  const struct sched_target_reply *reply)
{
	rp_ms *latest = reply->status == SCHED_REPLY_UNKNOWN
				? &t->unanswered_sent_at
				: &t->answered_sent_at;

	if (reply->sent_at > *latest)
		*latest = reply->sent_at;
	if (t->unanswered_sent_at &&
	    t->answered_sent_at > t->unanswered_sent_at) {
		t->unanswered_sent_at = 0;
		set_lossy(t);
	}
	if (reply->lossy && reply->status != SCHED_REPLY_UNKNOWN)
		set_lossy(t);
}

/* Applies what all replies have in common. Returns whether it succeeded. */
static int apply_reply(struct sched_target *t,
		       const struct sched_target_reply *reply)
{
	struct sched *s = t->s;

	if (reply->status == SCHED_REPLY_NOT_SENT || is_outdated(t, reply))
		return 0;
	if (reply->incarnation && reply->incarnation != t->incarnation)
		sched_target_new_incarnation(t, reply->incarnation);
	note_answered(t, reply);
	if (reply->clock) {
		t->clock = reply->clock;
		t->clock_at = s->now;
	}
	if (reply->status == SCHED_REPLY_FENCED &&
	    reply->sent_at <= s->fence_raised_at) {
		/* The call had the lower token; it had no effect. */
		t->unanswered = 0;
		sched_silence_replied(t);
		return 0;
	}
	if (reply->status == SCHED_REPLY_FENCED) {
		t->state = SCHED_FENCED;
		s->ops->fenced(s, t);
		return 0;
	}
	if (reply->status == SCHED_REPLY_WRONG_INCARNATION) {
		t->replaced = 1;
		sched_target_drop_runs(t, 1, "another incarnation replied");
		/* Not ready until the platform's list shows the incarnation. */
		t->listing.ready = 0;
		back_off(t);
		return 0;
	}
	if (reply->status == SCHED_REPLY_UNKNOWN) {
		/* Another call was replied to meanwhile: the target is up. */
		if (t->replied_at > reply->sent_at)
			return 0;
		if (!t->unanswered++)
			t->unanswered_since = s->now;
		back_off(t);
		return 0;
	}
	t->unanswered = 0;
	sched_silence_replied(t);
	if (reply->status != SCHED_REPLY_OK && !reply->clock) {
		/* An unhealthy target refuses without giving its clock. */
		back_off(t);
		return 0;
	}
	t->backoff = 0;
	return reply->status == SCHED_REPLY_OK;
}

void sched_start_reply(struct sched *s, struct sched_target *t,
		       const char *name, uint32_t run,
		       const struct sched_target_reply *reply, rp_ms now)
{
	struct sched_task *task;
	int ok;

	s->now = now;
	ok = apply_reply(t, reply);
	task = sched_run_find(t, str_of(name), run);
	if (task && (ok || reply->status == SCHED_REPLY_REFUSED ||
		     reply->status == SCHED_REPLY_NOT_SENT))
		task->start_is_late = reply->lossy != 0;
	if (!task || sched_run_is_stopping(task))
		return;
	if (ok) {
		task->state = SCHED_RUNNING;
		task->seen = 1;
		task->replied_at = now;
		sched_learn_call_delay(s, now - task->sent_at);
		return;
	}
	if (reply->status == SCHED_REPLY_REFUSED ||
	    reply->status == SCHED_REPLY_NOT_SENT) {
		s->ops->log(s, "start_refused", t, task, reply->reason);
		sched_run_ended(task, SCHED_END_STOPPED);
		return;
	}
	s->ops->log(s, "start_unanswered", t, task, reply->reason);
	/* Once a stop has succeeded, the start cannot take effect any more. */
	sched_run_stop(task);
}

void sched_stop_reply(struct sched *s, struct sched_target *t, const char *name,
		      uint32_t run, const struct sched_target_reply *reply,
		      rp_ms now)
{
	struct sched_task *task;
	int ok;

	s->now = now;
	/* An incarnation that was seen since has no record of the stop. */
	ok = apply_reply(t, reply) && reply->sent_at > t->incarnation_at;
	if (ok)
		sched_late_start_stopped(t, str_of(name), run);
	task = sched_run_find(t, str_of(name), run);
	if (!task || !sched_run_is_stopping(task))
		return;
	if (ok)
		task->replied_at = now;
	else
		task->stop_sent = 0; /* sent again after the next list */
	sched_target_hold(t);
}

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

/*
 * Whether a renewal would prolong what no job has claimed: runs that are at
 * work, or the lease in which others have ended. Another leader may go on in a
 * part that is cut off: it counts them as over when its lease is, and starts
 * their tasks again.
 */
static int prolongs_unclaimed(const struct sched_target *t)
{
	return t->nforeign > 0 || sched_adopt_awaits_lapse(t);
}

static void apply_list(struct sched_target *t,
		       const struct sched_target_reply *reply)
{
	int awaited_lapse = sched_adopt_awaits_lapse(t);

	apply_ends(t, reply);
	if (!awaited_lapse && sched_adopt_awaits_lapse(t))
		t->s->ops->log(t->s, "lapse_awaited", t, NULL,
			       "results that no job claims are listed");
	stop_foreign_runs(t, reply);
	if (reply->nends >= ENDS_PER_REPLY)
		return;
	reconcile_runs(t, reply);
	sched_adopt_reconcile(t, reply);
	sched_late_starts_stop(t);
}

static void apply_hold_reply(struct sched_target *t,
			     const struct sched_target_reply *reply)
{
	rp_ms now = t->s->now;
	int ok = apply_reply(t, reply);

	t->hold_retry_at = now + RETRY_MS;
	/* Without a lease, no run has to be kept alive. */
	if ((!t->nruns || !t->lease_until) &&
	    t->backoff_until > t->hold_retry_at)
		t->hold_retry_at = t->backoff_until;
	if (!ok) {
		if (t->state == SCHED_ACQUIRING)
			t->state = SCHED_UNHELD;
		/* Only a call with the lower token leaves the target unheld. */
		if (reply->status == SCHED_REPLY_FENCED &&
		    t->state == SCHED_UNHELD)
			t->hold_retry_at = 0;
		return;
	}
	t->hold_retry_at = 0;
	t->hold_replied_at = now;
	if (t->hold_acquires) {
		t->state = SCHED_HELD;
		if (!t->adopted)
			sched_adopt_list(t, reply);
	}
	apply_list(t, reply);
	check_capacity(t);
	if (prolongs_unclaimed(t))
		t->hold_retry_at = now + RETRY_MS;
}

/*
 * The call counts as in flight until its reply is applied. One that is sent
 * before would acknowledge ends of this list that nobody knows of yet.
 */
void sched_hold_reply(struct sched *s, struct sched_target *t,
		      const struct sched_target_reply *reply, rp_ms now)
{
	s->now = now;
	apply_hold_reply(t, reply);
	t->hold_in_flight = 0;
	sched_target_hold(t);
}

/* Whether a target without runs has to be called. */
static int is_idle_call_due(const struct sched_target *t)
{
	rp_ms now = t->s->now;

	if (t->unanswered || now - t->clock_at >= CLOCK_AGE_MAX_MS)
		return 1;
	return t->ends_acked != sched_ackable_end(t) &&
	       now - t->replied_at >= ACK_IDLE_MS;
}

/*
 * There is one hold call at a time. It renews the lease, and the target replies
 * when the next run ends, or after the wait. The first call to a target does
 * not renew the lease, which would prolong the runs of a previous holder.
 */
void sched_target_hold(struct sched_target *t)
{
	struct sched *s = t->s;
	int64_t until = 0;
	uint64_t acked_end;
	rp_ms wait = 0;

	if (t->hold_in_flight || t->state == SCHED_FENCED || s->suspended ||
	    s->now < t->hold_retry_at)
		return;
	/* The reply would come at once, with the ends not acknowledged yet. */
	if (t->nunacked && t->state == SCHED_HELD &&
	    s->now - t->hold_replied_at <
		    (sched_unacked_is_slow(t) ? RETRY_MS : OWNER_ACK_MS))
		return;
	if (t->state == SCHED_UNHELD) {
		t->state = SCHED_ACQUIRING;
	} else if (t->nruns && t->unanswered) {
		/*
		 * Only lists: a renewal whose reply is lost would put off the
		 * time at which the runs are certainly over.
		 */
		wait = 0;
	} else if (t->nruns && !prolongs_unclaimed(t)) {
		until = sched_new_lease(t);
		wait = HOLD_WAIT_MS;
	} else if (!t->nruns && !t->nforeign && !is_idle_call_due(t) &&
		   !sched_silence_probe(t)) {
		return;
	}
	t->hold_in_flight = 1;
	t->hold_acquires = t->state == SCHED_ACQUIRING;
	acked_end = ends_to_acknowledge(t);
	if (acked_end)
		t->ends_acked = acked_end;
	s->count.holds++;
	s->ops->hold(s, t, until, acked_end, wait);
}
