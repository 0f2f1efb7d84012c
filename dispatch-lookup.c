/*
 * Sends without a reply. The target is asked for the outcome on a fresh
 * connection, or voids the task's id, so that the task is settled before its
 * deadline. What cannot be settled has failed and may have run; its slot
 * stays charged until the target was told to give up.
 */

#include "rosemary-int.h"

#define LOOKUP_TIMEOUT_MS 500 /* for the answer to one lookup */
#define LOOKUP_AGAIN_MS 50    /* least span before the next lookup */
#define LOOKUP_AGAIN_MOST_MS 1000
/* Part of a task's age after which it is asked for again. */
#define LOOKUP_AGE_PART_OPEN 2 /* its reply may also come by itself */
#define LOOKUP_AGE_PART_BROKEN 8
/* How the span of silence adapts to what lookups find, in deviations. */
#define SILENCE_STEP_DOWN 0.8
#define SILENCE_STEP_UP 1.02
#define LOOKUP_UNKNOWN_MAX 3 /* answers "unknown" before giving up */
#define LOOKUP_GONE_MAX 2    /* lookups without answer, target not listed */

static void ask(struct rp_start *s, enum rp_action_type type, rp_ms now,
		struct rp_actions *acts)
{
	struct rp_dispatch *d = s->target->svc->shard;
	struct rp_action *a = start_action(s, type, acts);

	a->start.timeout = LOOKUP_TIMEOUT_MS;
	a->start.close_connection = s->connection_lost && s->nlookups == 0;
	if (s->nlookups < UINT8_MAX)
		s->nlookups++;
	if (type == RP_ACTION_VOID)
		d->counters.voids++;
	else
		d->counters.lookups++;
	s->phase = RP_START_LOOKING_UP;
	start_set_timer(s, now + LOOKUP_TIMEOUT_MS);
}

/* Asks again after a span that grows with the age of the send. */
static void ask_later(struct rp_start *s, rp_ms now)
{
	int part = s->connection_lost ? LOOKUP_AGE_PART_BROKEN
				      : LOOKUP_AGE_PART_OPEN;
	rp_ms span = (now - s->sent_at) / part;

	if (span < LOOKUP_AGAIN_MS)
		span = LOOKUP_AGAIN_MS;
	if (span > LOOKUP_AGAIN_MOST_MS)
		span = LOOKUP_AGAIN_MOST_MS;
	s->phase = RP_START_LOOKUP_WAIT;
	start_set_timer(s, now + span);
}

/* The send counts for its task no more; its slot stays charged. */
static void send_left(struct rp_start *s)
{
	s->phase = RP_START_ABANDONED;
	s->job->tasks[s->task].in_flight--;
	start_set_timer(s, s->give_up_at);
}

/*
 * Nothing more can be learned of the send: its task is lost at once, and the
 * slot is charged until the target gives up, or freed when it is gone.
 */
static void leave(struct rp_start *s, rp_ms now, struct rp_actions *acts)
{
	struct rp_target *t = s->target;
	struct rp_job *job = s->job;
	uint32_t task = s->task;

	if (!t->listed) {
		outcome_apply(s, RP_START_UNKNOWN, NULL, now, acts);
		return;
	}
	start_report_health(s, now, RP_START_UNKNOWN);
	send_left(s);
	job->refs++;
	outcome_retry_or_fail(job, task, t, RP_E_SILENT, now, acts);
	job_unref(job);
}

/* An idempotent request need not wait for the outcome of one send. */
static void hedge(struct rp_start *s, rp_ms now)
{
	const struct rp_task *tk = &s->job->tasks[s->task];

	s->hedge_done = 1;
	if (tk->state == RP_TASK_SENT && tk->in_flight == 1 &&
	    outcome_retry(s->job, s->task, s->target, now))
		s->job->svc->shard->counters.hedges++;
}

void lookup_begin(struct rp_start *s, int broken, rp_ms now,
		  struct rp_actions *acts)
{
	const struct rp_target *t = s->target;

	if (s->phase != RP_START_SENT)
		return;
	s->connection_lost = (uint8_t)broken;
	hedge(s, now);
	if (s->job->closed) {
		send_left(s);
	} else if (t->can_lookup) {
		ask(s, RP_ACTION_LOOKUP, now, acts);
	} else if (t->can_void) {
		ask(s, RP_ACTION_VOID, now, acts);
	} else if (broken || !t->listed) {
		leave(s, now, acts);
	} else {
		/* The reply may come yet; nobody can be asked. */
		start_report_health(s, now, RP_START_UNKNOWN);
		start_set_timer(s, s->give_up_at);
	}
}

void lookup_target_starts(struct rp_target *t, rp_ms now,
			  struct rp_actions *acts)
{
	struct rp_start *s, *next;

	for (s = t->active_starts; s; s = next) {
		next = s->target_next;
		/* Without a lookup, a reply on its way is waited for. */
		if (t->can_lookup || t->can_void)
			lookup_begin(s, 0, now, acts);
	}
}

/* The target does not know the id: void it, or ask some more. */
static void lookup_unknown(struct rp_start *s, rp_ms now,
			   struct rp_actions *acts)
{
	if (s->target->can_void)
		ask(s, RP_ACTION_VOID, now, acts);
	else if (++s->nunknown >= LOOKUP_UNKNOWN_MAX)
		leave(s, now, acts);
	else
		ask_later(s, now);
}

/* No answer came: the target or the way to it is down. */
static void lookup_none(struct rp_start *s, rp_ms now, struct rp_actions *acts)
{
	start_report_health(s, now, RP_START_UNKNOWN);
	if (!s->target->listed && s->nlookups >= LOOKUP_GONE_MAX)
		leave(s, now, acts);
	else
		ask_later(s, now);
}

/* A voided id is never used again. */
static void lookup_voided(struct rp_start *s, rp_ms now,
			  struct rp_actions *acts)
{
	s->job->tasks[s->task].suffix++;
	outcome_apply(s, RP_START_UNSENT, NULL, now, acts);
}

/*
 * Lookups that find an outcome whose reply never came show that connections
 * go silent: later ones are made sooner, and the other way round.
 */
static void note_lookup(const struct rp_start *s,
			enum rp_lookup_outcome outcome)
{
	struct rp_service *svc = s->target->svc;

	if (s->connection_lost || s->stopped)
		return;
	if (outcome == RP_LOOKUP_DONE || outcome == RP_LOOKUP_FAILED)
		svc->silence_devs *= SILENCE_STEP_DOWN;
	else if (outcome == RP_LOOKUP_RUNNING)
		svc->silence_devs *= SILENCE_STEP_UP;
	if (svc->silence_devs < RP_SILENCE_DEVS_MIN)
		svc->silence_devs = RP_SILENCE_DEVS_MIN;
	if (svc->silence_devs > RP_SILENCE_DEVS_MAX)
		svc->silence_devs = RP_SILENCE_DEVS_MAX;
}

static void lookup_outcome(struct rp_start *s, const struct rp_event *ev,
			   rp_ms now, struct rp_actions *acts)
{
	switch (ev->lookup.outcome) {
	case RP_LOOKUP_DONE:
		outcome_apply(s, RP_START_DONE, ev->lookup.body, now, acts);
		break;
	case RP_LOOKUP_FAILED:
		outcome_apply(s, RP_START_FAILED, NULL, now, acts);
		break;
	case RP_LOOKUP_RUNNING:
		ask_later(s, now);
		break;
	case RP_LOOKUP_VOIDED:
		lookup_voided(s, now, acts);
		break;
	case RP_LOOKUP_UNKNOWN:
		lookup_unknown(s, now, acts);
		break;
	case RP_LOOKUP_NONE:
		lookup_none(s, now, acts);
		break;
	}
}

/* An outcome counts also late; of the rest, only what was asked. */
static int lookup_counts(const struct rp_start *s,
			 enum rp_lookup_outcome outcome)
{
	switch (outcome) {
	case RP_LOOKUP_DONE:
	case RP_LOOKUP_FAILED:
	case RP_LOOKUP_VOIDED:
		return s->phase != RP_START_SENT;
	case RP_LOOKUP_RUNNING:
	case RP_LOOKUP_UNKNOWN:
	case RP_LOOKUP_NONE:
		break;
	}
	return s->phase == RP_START_LOOKING_UP;
}

void dispatch_lookup_reply(struct rp_kernel *k, rp_ms now,
			   const struct rp_event *ev, struct rp_actions *acts)
{
	struct rp_dispatch *d = start_shard(k, ev->lookup.start_id);
	struct rp_service *svc;
	struct rp_start *s;

	if (!d)
		return;
	kernel_lock(k, d->lock);
	s = start_find(d, ev->lookup.start_id);
	if (!s || !lookup_counts(s, ev->lookup.outcome)) {
		d->counters.late_replies++;
		kernel_unlock(k, d->lock);
		return;
	}
	svc = s->target->svc;
	note_lookup(s, ev->lookup.outcome);
	lookup_outcome(s, ev, now, acts);
	dispatch_pump(svc, now, acts);
	kernel_unlock(k, d->lock);
}

/* The target was told to stop by now: the send has ended, unknown how. */
static void give_up(struct rp_start *s, rp_ms now, struct rp_actions *acts)
{
	struct rp_target *t = s->target;
	struct rp_job *job = s->job;
	uint32_t task = s->task;

	job->refs++;
	start_end(s, now, RP_START_UNKNOWN);
	outcome_retry_or_fail(job, task, t, RP_E_DEADLINE, now, acts);
	job_unref(job);
}

static void timer_fired(struct rp_start *s, rp_ms now, struct rp_actions *acts)
{
	if (s->phase == RP_START_SENT && !s->hedge_done && now < s->lookup_at) {
		hedge(s, now);
		start_set_timer(s, s->lookup_at);
	} else if (s->phase == RP_START_SENT) {
		lookup_begin(s, 0, now, acts);
	} else if (s->phase == RP_START_LOOKING_UP) {
		lookup_none(s, now, acts);
	} else if (s->phase == RP_START_LOOKUP_WAIT) {
		ask(s,
		    s->target->can_lookup ? RP_ACTION_LOOKUP : RP_ACTION_VOID,
		    now, acts);
	}
}

void dispatch_run_timers(struct rp_dispatch *d, rp_ms now,
			 struct rp_actions *acts)
{
	struct rp_heap_node *n;

	while ((n = heap_first(&d->timers)) && n->key <= (double)now) {
		struct rp_start *s =
			RP_CONTAINER(n, struct rp_start, timer_node);

		if (now >= s->give_up_at)
			give_up(s, now, acts);
		else
			timer_fired(s, now, acts);
	}
}
