/*
 * Starts without a reply. The target is asked for the outcome on a new
 * connection, or asked to void the task id, so that the outcome is known
 * before the deadline. A task whose outcome cannot be learned has failed and
 * may have run; the start holds its slot until the target abandons the task.
 */

#include "rosemary-int.h"

#define LOOKUP_TIMEOUT_MS 500  /* timeout of one lookup or void */
#define LOOKUP_DELAY_MIN_MS 50 /* least delay of the next lookup */
#define LOOKUP_DELAY_MAX_MS 1000
/*
 * The delay of the next lookup is the start's age divided by this. It is
 * longer while the connection is open, because the reply may still come.
 */
#define LOOKUP_AGE_DIVISOR_OPEN 2
#define LOOKUP_AGE_DIVISOR_LOST 8
/* Factors by which the outcome of a lookup changes silence_devs. */
#define SILENCE_FACTOR_DOWN 0.8
#define SILENCE_FACTOR_UP 1.02
/* Lookups answered "unknown" until the start is abandoned. */
#define LOOKUP_UNKNOWN_MAX 3
/* Lookups of an unlisted target until the start is abandoned. */
#define LOOKUP_UNLISTED_MAX 2

/* Sends a lookup or void, with a timer for its answer. */
static void send_lookup(struct rp_start *s, enum rp_action_type type, rp_ms now,
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

/* Schedules the next lookup after a delay that grows with the start's age. */
static void schedule_lookup(struct rp_start *s, rp_ms now)
{
	int divisor = s->connection_lost ? LOOKUP_AGE_DIVISOR_LOST
					 : LOOKUP_AGE_DIVISOR_OPEN;
	rp_ms delay = (now - s->sent_at) / divisor;

	if (delay < LOOKUP_DELAY_MIN_MS)
		delay = LOOKUP_DELAY_MIN_MS;
	if (delay > LOOKUP_DELAY_MAX_MS)
		delay = LOOKUP_DELAY_MAX_MS;
	s->phase = RP_START_LOOKUP_WAIT;
	start_set_timer(s, now + delay);
}

/* Detaches a start from its task; it holds its slot until give_up_at. */
static void detach_start(struct rp_start *s)
{
	s->phase = RP_START_ABANDONED;
	s->job->tasks[s->task].in_flight--;
	start_set_timer(s, s->give_up_at);
}

/*
 * Ends the search for the outcome of a start. Its task is retried or fails at
 * once. The slot is freed when the target is unlisted, and else held until
 * the target abandons the task.
 */
static void abandon(struct rp_start *s, rp_ms now, struct rp_actions *acts)
{
	struct rp_target *t = s->target;
	struct rp_job *job = s->job;
	uint32_t task = s->task;

	if (!t->listed) {
		outcome_apply(s, RP_START_UNKNOWN, NULL, now, acts);
		return;
	}
	start_report_health(s, now, RP_START_UNKNOWN);
	detach_start(s);
	job->refs++;
	outcome_retry_or_fail(job, task, t, RP_E_SILENT, now, acts);
	job_unref(job);
}

/* Queues a second start of an idempotent request beside the silent one. */
static void queue_hedge(struct rp_start *s, rp_ms now)
{
	const struct rp_task *tk = &s->job->tasks[s->task];

	s->hedge_done = 1;
	if (tk->state == RP_TASK_SENT && tk->in_flight == 1 &&
	    outcome_retry(s->job, s->task, s->target, now))
		s->job->svc->shard->counters.hedges++;
}

void lookup_begin(struct rp_start *s, int connection_lost, rp_ms now,
		  struct rp_actions *acts)
{
	const struct rp_target *t = s->target;

	if (s->phase != RP_START_SENT)
		return;
	s->connection_lost = (uint8_t)connection_lost;
	queue_hedge(s, now);
	if (s->job->closed) {
		detach_start(s);
	} else if (t->can_lookup) {
		send_lookup(s, RP_ACTION_LOOKUP, now, acts);
	} else if (t->can_void) {
		send_lookup(s, RP_ACTION_VOID, now, acts);
	} else if (connection_lost || !t->listed) {
		abandon(s, now, acts);
	} else {
		/* No lookup is possible, but the reply may still come. */
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
		/* Without lookup or void, only the reply gives the outcome. */
		if (t->can_lookup || t->can_void)
			lookup_begin(s, 0, now, acts);
	}
}

/* The target does not know the id: voids it, or looks it up again. */
static void lookup_unknown(struct rp_start *s, rp_ms now,
			   struct rp_actions *acts)
{
	if (s->target->can_void)
		send_lookup(s, RP_ACTION_VOID, now, acts);
	else if (++s->nunknown >= LOOKUP_UNKNOWN_MAX)
		abandon(s, now, acts);
	else
		schedule_lookup(s, now);
}

/* The target or the network is down: schedules another lookup. */
static void lookup_unanswered(struct rp_start *s, rp_ms now,
			      struct rp_actions *acts)
{
	start_report_health(s, now, RP_START_UNKNOWN);
	if (!s->target->listed && s->nlookups >= LOOKUP_UNLISTED_MAX)
		abandon(s, now, acts);
	else
		schedule_lookup(s, now);
}

/* The id is voided: queues the task again under another id. */
static void lookup_voided(struct rp_start *s, rp_ms now,
			  struct rp_actions *acts)
{
	s->job->tasks[s->task].suffix++;
	outcome_apply(s, RP_START_UNSENT, NULL, now, acts);
}

/*
 * Adapts silence_devs. A lookup that finds an outcome shows that the reply was
 * lost on a silent connection, so later lookups are sent sooner; one that
 * finds the task running was sent too early.
 */
static void adapt_silence(const struct rp_start *s,
			  enum rp_lookup_outcome outcome)
{
	struct rp_service *svc = s->target->svc;

	if (s->connection_lost || s->stopped)
		return;
	if (outcome == RP_LOOKUP_DONE || outcome == RP_LOOKUP_FAILED)
		svc->silence_devs *= SILENCE_FACTOR_DOWN;
	else if (outcome == RP_LOOKUP_RUNNING)
		svc->silence_devs *= SILENCE_FACTOR_UP;
	if (svc->silence_devs < RP_SILENCE_DEVS_MIN)
		svc->silence_devs = RP_SILENCE_DEVS_MIN;
	if (svc->silence_devs > RP_SILENCE_DEVS_MAX)
		svc->silence_devs = RP_SILENCE_DEVS_MAX;
}

/* Acts on the outcome that a lookup or void reported. */
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
		schedule_lookup(s, now);
		break;
	case RP_LOOKUP_VOIDED:
		lookup_voided(s, now, acts);
		break;
	case RP_LOOKUP_UNKNOWN:
		lookup_unknown(s, now, acts);
		break;
	case RP_LOOKUP_NONE:
		lookup_unanswered(s, now, acts);
		break;
	}
}

/*
 * Returns whether a lookup answer is to be handled. A final outcome is valid
 * even when late; any other answer only while one is awaited.
 */
static int lookup_is_relevant(const struct rp_start *s,
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
	if (!s || !lookup_is_relevant(s, ev->lookup.outcome)) {
		d->counters.late_replies++;
		kernel_unlock(k, d->lock);
		return;
	}
	svc = s->target->svc;
	adapt_silence(s, ev->lookup.outcome);
	lookup_outcome(s, ev, now, acts);
	dispatch_pump(svc, now, acts);
	kernel_unlock(k, d->lock);
}

/* Ends a start at give_up_at, when the target has abandoned the task. */
static void expire_start(struct rp_start *s, rp_ms now, struct rp_actions *acts)
{
	struct rp_target *t = s->target;
	struct rp_job *job = s->job;
	uint32_t task = s->task;

	job->refs++;
	start_end(s, now, RP_START_UNKNOWN);
	outcome_retry_or_fail(job, task, t, RP_E_DEADLINE, now, acts);
	job_unref(job);
}

/* Takes the next step of a start whose timer has fired. */
static void timer_fired(struct rp_start *s, rp_ms now, struct rp_actions *acts)
{
	if (s->phase == RP_START_SENT && !s->hedge_done && now < s->lookup_at) {
		queue_hedge(s, now);
		start_set_timer(s, s->lookup_at);
	} else if (s->phase == RP_START_SENT) {
		lookup_begin(s, 0, now, acts);
	} else if (s->phase == RP_START_LOOKING_UP) {
		lookup_unanswered(s, now, acts);
	} else if (s->phase == RP_START_LOOKUP_WAIT) {
		send_lookup(s,
			    s->target->can_lookup ? RP_ACTION_LOOKUP
						  : RP_ACTION_VOID,
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
			expire_start(s, now, acts);
		else
			timer_fired(s, now, acts);
	}
}
