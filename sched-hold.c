/*
 * What targets say: answers to starts and stops, and the hold calls that
 * renew a lease and list what runs and what has ended.
 */

#include "scheduler.h"

#define HOLD_WAIT_MS 150 /* a hold call waits this long for an end */
#define ACK_AFTER_MS 250 /* ends of an idle target are acknowledged after */
#define TELL_MS 20	 /* an owner is told of an end within */
#define SAME_LIFE_MS 30	 /* no target comes back so soon after a reply */
#define RETRY_MS 60	 /* between hold calls that are not answered */
#define RETRY_MOST_MS 1000
#define ENDS_A_REPLY 500 /* a list of ends this long may be cut off */

static void pause_target(struct sched_target *t)
{
	struct sched *s = t->s;

	t->pause = t->pause ? t->pause * 2 : RETRY_MS;
	if (t->pause > RETRY_MOST_MS)
		t->pause = RETRY_MOST_MS;
	t->paused_until = s->now + t->pause;
}

/*
 * Another life under the same id. What ran in the former one is over, but
 * runs may have been started in this one since: its next list tells.
 */
void sched_target_reborn(struct sched_target *t, int64_t born)
{
	struct sched *s = t->s;

	s->ops->note(s, "reborn", t, t->runs, "");
	t->life = born;
	t->life_at = s->now;
	t->state = SCHED_UNHELD;
	t->ends_seen = t->ends_acked = 0;
	t->ntold = 0;
	t->norphans = t->foreign = 0;
	t->taken = 0;
	t->clock = 0;
	t->unanswered = 0;
	t->paused_until = t->hold_retry_at = 0;
	sched_learn_target(t);
}

/* Whether the reply is of a life that is over. */
static int outlived(const struct sched_target *t, const struct sched_look *look)
{
	return look->sent_at < t->life_at &&
	       (look->reply == SCHED_REPLY_REBORN ||
		(look->born && look->born != t->life));
}

/*
 * Which ends the next hold call acknowledges. Unless it follows a reply
 * soon, another life may take the call; its numbers are other ones, and an
 * end that is acknowledged unseen is lost.
 */
static uint64_t ends_to_acknowledge(const struct sched_target *t)
{
	if (t->nruns && t->s->now - t->held_at > SAME_LIFE_MS)
		return 0;
	return sched_told_until(t);
}

/* Takes what every reply says. Returns whether the call was carried out. */
static int take_reply(struct sched_target *t, const struct sched_look *look)
{
	struct sched *s = t->s;

	if (outlived(t, look))
		return 0;
	if (look->born && look->born != t->life)
		sched_target_reborn(t, look->born);
	if (look->clock) {
		t->clock = look->clock;
		t->clock_at = s->now;
	}
	if (look->reply == SCHED_REPLY_FENCED) {
		t->state = SCHED_FENCED;
		s->ops->fenced(s, t);
		return 0;
	}
	if (look->reply == SCHED_REPLY_REBORN) {
		sched_target_lapsed(t, "another incarnation");
		t->is.ready = 0; /* until the platform's list shows it */
		pause_target(t);
		return 0;
	}
	if (look->reply == SCHED_REPLY_UNKNOWN) {
		/* One lost answer among others says little of the target. */
		if (t->answered_at > look->sent_at)
			return 0;
		t->unanswered++;
		pause_target(t);
		return 0;
	}
	t->unanswered = 0;
	t->answered_at = s->now;
	if (look->reply == SCHED_REPLY_REFUSED && !look->clock) {
		pause_target(t); /* unhealthy */
		return 0;
	}
	t->pause = 0;
	return look->reply == SCHED_REPLY_OK;
}

void sched_start_reply(struct sched *s, struct sched_target *t,
		       const char *name, uint32_t run,
		       const struct sched_look *look, rp_ms now)
{
	struct sched_task *task;
	int ok;

	s->now = now;
	ok = take_reply(t, look);
	task = sched_run_find(t, str_of(name), run);
	if (!task || task->state == SCHED_STOPPING)
		return;
	if (ok) {
		task->state = SCHED_RUNNING;
		task->settled_at = now;
		return;
	}
	if (look->reply == SCHED_REPLY_REFUSED) {
		s->ops->note(s, "start_refused", t, task, look->reason);
		sched_run_over(task, SCHED_END_STOPPED);
		return;
	}
	s->ops->note(s, "start_unanswered", t, task, "");
	/* A stop that is answered keeps the start from being carried out. */
	sched_run_stop(task);
}

void sched_stop_reply(struct sched *s, struct sched_target *t, const char *name,
		      uint32_t run, const struct sched_look *look, rp_ms now)
{
	struct sched_task *task;
	int ok;

	s->now = now;
	ok = take_reply(t, look);
	task = sched_run_find(t, str_of(name), run);
	if (!task || task->state != SCHED_STOPPING)
		return;
	if (ok)
		task->settled_at = now;
	else
		task->stop_sent = 0; /* again with the next hold call */
	sched_target_hold(t);
}

static void take_end(struct sched_target *t, const struct sched_end *e)
{
	struct sched_task *task = sched_run_find(t, e->task, e->run);
	void *owner;

	t->ends_seen = e->number;
	t->s->count.ends++;
	if (!task) {
		sched_adopt_end(t, e);
		return;
	}
	owner = task->job->owner;
	if (e->how != SCHED_END_STOPPED)
		sched_learn_end(task, (double)(t->s->now - task->sent_at),
				e->how == SCHED_END_FAILED);
	sched_told_add(t, e->number, owner, sched_run_over(task, e->how));
}

static void take_ends(struct sched_target *t, const struct sched_look *look)
{
	size_t i;

	for (i = 0; i < look->nends; i++)
		if (look->ends[i].number > t->ends_seen)
			take_end(t, &look->ends[i]);
}

static const struct sched_run *listed_run(const struct sched_look *look,
					  const struct sched_task *task)
{
	size_t i;

	for (i = 0; i < look->nruns; i++)
		if (look->runs[i].run == task->run &&
		    str_eq(look->runs[i].task, str_of(task->name)))
			return &look->runs[i];
	return NULL;
}

/* What runs there and is nobody's here: a former scheduler's, or late. */
static void stop_foreign(struct sched_target *t, const struct sched_look *look)
{
	size_t i;

	t->foreign = 0;
	for (i = 0; i < look->nruns; i++) {
		const struct sched_run *r = &look->runs[i];

		if (sched_run_find(t, r->task, r->run))
			continue;
		t->foreign++;
		if (sched_adopting(t))
			continue;
		t->s->count.orphans++;
		t->s->ops->note(t->s, "stop_orphan", t, NULL, "");
		t->s->ops->stop(t->s, t, r->task, r->run);
	}
}

/*
 * A run that is neither listed as running nor as ended, in a list asked for
 * after its start or stop was answered, is over.
 */
static void compare_runs(struct sched_target *t, const struct sched_look *look)
{
	struct sched_task *task, *next;

	for (task = t->runs; task; task = next) {
		const struct sched_run *r = listed_run(look, task);

		next = task->next;
		if (r) {
			if (task->state == SCHED_STARTING)
				task->state = SCHED_RUNNING;
			if (task->state == SCHED_RUNNING)
				sched_learn_progress(task, r->percent);
			else if (!task->stop_sent)
				sched_run_send_stop(task);
			continue;
		}
		if (task->settled_at && t->hold_sent_at > task->settled_at)
			sched_run_over(task, SCHED_END_STOPPED);
		else if (task->state == SCHED_STOPPING && !task->stop_sent)
			sched_run_send_stop(task);
	}
}

void sched_hold_reply(struct sched *s, struct sched_target *t,
		      const struct sched_look *look, rp_ms now)
{
	int ok;

	s->now = now;
	t->holding = 0;
	ok = take_reply(t, look);
	t->hold_retry_at = now + RETRY_MS;
	if (!t->nruns && t->paused_until > t->hold_retry_at)
		t->hold_retry_at = t->paused_until;
	if (!ok) {
		if (t->state == SCHED_TAKING)
			t->state = SCHED_UNHELD;
		return;
	}
	t->hold_retry_at = 0;
	t->held_at = now;
	if (t->state == SCHED_TAKING || t->state == SCHED_UNHELD) {
		t->state = SCHED_HELD;
		if (!t->taken)
			sched_adopt_list(t, look);
	}
	take_ends(t, look);
	stop_foreign(t, look);
	if (look->nends < ENDS_A_REPLY)
		compare_runs(t, look);
	if (t->foreign && !t->nruns)
		t->hold_retry_at = now + RETRY_MS;
	sched_target_hold(t);
}

/*
 * One hold call at a time: it renews the lease, and returns at the next end.
 * The first one leaves the lease alone, so that nothing of a former holder
 * lives on by it.
 */
void sched_target_hold(struct sched_target *t)
{
	struct sched *s = t->s;
	int64_t until = 0;
	uint64_t seen;
	rp_ms wait = 0;

	if (t->holding || t->state == SCHED_FENCED || s->now < t->hold_retry_at)
		return;
	/* Its reply would repeat the ends at once. */
	if (t->ntold && t->state == SCHED_HELD &&
	    s->now - t->held_at <
		    (sched_told_unclaimed(t) ? RETRY_MS : TELL_MS))
		return;
	if (t->state == SCHED_UNHELD) {
		t->state = SCHED_TAKING;
	} else if (t->nruns && t->unanswered) {
		/*
		 * Only looks: a renewal that may have come through would put
		 * off the time at which its runs are surely over.
		 */
		wait = 0;
	} else if (t->nruns) {
		until = sched_new_lease(t);
		wait = HOLD_WAIT_MS;
	} else if (!t->foreign && (t->ends_acked == sched_told_until(t) ||
				   s->now - t->answered_at < ACK_AFTER_MS)) {
		return;
	}
	t->holding = 1;
	t->hold_sent_at = s->now;
	seen = ends_to_acknowledge(t);
	if (seen)
		t->ends_acked = seen;
	s->count.holds++;
	s->ops->hold(s, t, until, seen, wait);
}
