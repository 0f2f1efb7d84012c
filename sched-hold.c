/*
 * Hold calls and replies of targets.
 *
 * A hold call renews the target's lease; its reply lists what runs there and
 * which runs have ended, see sched-list.c.
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
/* Time by which a reading of a target's clock may seem to be behind. */
#define CLOCK_BEHIND_MS 500
/* Delay before a retry; doubled up to the maximum while calls fail. */
#define RETRY_MS 60
#define RETRY_MAX_MS 1000

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
	sched_set_more_ends(t, 0);
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

/*
 * Whether the clock shows that the target has restarted under its id, as clocks
 * start anew then. A call is carried out after it was sent, so that the clock
 * of the same incarnation is not behind. Replies to starts and stops do not
 * name the incarnation.
 */
static int is_clock_behind(const struct sched_target *t,
			   const struct sched_target_reply *reply)
{
	if (!reply->clock || reply->incarnation || !t->clock ||
	    reply->sent_at < t->clock_at)
		return 0;
	return reply->clock + CLOCK_BEHIND_MS <
	       sched_least_clock(t, reply->sent_at);
}

/* Nothing is known of what runs there until the next list. */
static void await_list(struct sched_target *t)
{
	t->s->ops->log(t->s, "clock_behind", t, t->runs,
		       "the target has restarted");
	if (t->state == SCHED_HELD)
		t->state = SCHED_UNHELD;
	t->hold_retry_at = 0;
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
	if (is_clock_behind(t, reply))
		await_list(t);
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
	sched_list_apply(t, reply);
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
