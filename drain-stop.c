/*
 * Drain, the planned stop of an entry VM: issue no more keys, finish the
 * running jobs, hand over the answers and all used keys to a successor,
 * announce the successor to the members, and report the end of the drain.
 */

#include "rosemary-int.h"

/*
 * Time in which submissions with keys of this entry VM are still accepted,
 * because the balancer and the callers learn of the drain with a lag, ms.
 */
#define GRACE_MS 2000
/* Interval between checks for unfinished work, ms. */
#define FINISH_CHECK_INTERVAL_MS 50
/* Time for which the successor is announced to the members, ms. */
#define ANNOUNCE_MS 1000
/* Interval between announcements, ms. */
#define ANNOUNCE_INTERVAL_MS 400

void drain_start(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	struct rp_trace_subject about = { .task = -1 };
	int expected = RP_DRAIN_OFF;

	if (!atomic_compare_exchange_strong(&k->draining, &expected,
					    RP_DRAIN_GRACE))
		return;
	kernel_lock(k, k->node.lock);
	k->node.drain.refuse_at = now + GRACE_MS;
	kernel_unlock(k, k->node.lock);
	trace_event(k, now, RP_TRACE_DRAIN, &about, "started");
	heartbeat_send_all(k, now, acts);
}

/* Whether a job of this entry VM is still open. */
static int has_jobs(struct rp_kernel *k)
{
	size_t jobs = 0;
	unsigned i;

	for (i = 0; i < RP_DISPATCH_SHARDS; i++) {
		struct rp_dispatch *d = &k->dispatch[i];

		kernel_lock(k, d->lock);
		jobs += apr_hash_count(d->jobs);
		kernel_unlock(k, d->lock);
	}
	return jobs > 0;
}

static int has_relays(struct rp_kernel *k)
{
	int n;

	kernel_lock(k, k->node.lock);
	n = (int)apr_hash_count(k->node.relays);
	kernel_unlock(k, k->node.lock);
	return n > 0;
}

/* Whether a record is not final yet. */
static int has_open_records(struct rp_kernel *k)
{
	const struct rp_record *r = NULL;
	unsigned i;

	for (i = 0; i < RP_SUB_SHARDS && !r; i++) {
		struct rp_sub_shard *s = &k->subs[i];

		kernel_lock(k, s->lock);
		for (r = s->by_age.first; r; r = r->next)
			if (r->phase != RP_RECORD_FINAL)
				break;
		kernel_unlock(k, s->lock);
	}
	return r != NULL;
}

void drain_enter(struct rp_kernel *k, rp_ms now, enum rp_drain_phase phase)
{
	static const char *const names[] = { "finishing", "handing over",
					     "announcing successor",
					     "finished" };
	struct rp_trace_subject about = { .target = k->node.drain.successor,
					  .task = -1 };

	kernel_lock(k, k->node.lock);
	k->node.drain.phase = phase;
	k->node.drain.next_step_at = now;
	if (phase == RP_DRAIN_ANNOUNCE)
		k->node.drain.give_up_at = now + ANNOUNCE_MS;
	kernel_unlock(k, k->node.lock);
	trace_event(k, now, RP_TRACE_DRAIN, &about, "%s", names[phase]);
}

/*
 * Refuses submissions once the grace is over; 1 if an earlier step did so. The
 * records are checked only in the step after the flag is set, so that a
 * submission that passed the flag has its record by then.
 */
static int refuse_submissions(struct rp_kernel *k, rp_ms now)
{
	rp_ms refuse_at;

	if (atomic_load(&k->draining) == RP_DRAIN_REFUSE)
		return 1;
	kernel_lock(k, k->node.lock);
	refuse_at = k->node.drain.refuse_at;
	kernel_unlock(k, k->node.lock);
	if (now >= refuse_at)
		atomic_store(&k->draining, RP_DRAIN_REFUSE);
	return 0;
}

static void finish_tick(struct rp_kernel *k, rp_ms now)
{
	if (!refuse_submissions(k, now))
		return;
	if (has_jobs(k) || has_relays(k) || has_open_records(k) ||
	    claim_pending(k))
		return;
	handover_start(k, now);
	drain_enter(k, now, RP_DRAIN_HANDOVER);
}

static void announce_tick(struct rp_kernel *k, rp_ms now,
			  struct rp_actions *acts)
{
	if (k->node.drain.give_up_at > now) {
		heartbeat_send_all(k, now, acts);
		return;
	}
	drain_enter(k, now, RP_DRAIN_DONE);
	action_add(acts, RP_ACTION_DRAINED);
}

/* Whether a step of *phase is due; schedules the following one. */
static int drain_due(struct rp_kernel *k, rp_ms now, enum rp_drain_phase *phase)
{
	struct rp_drain *dr = &k->node.drain;
	int due;

	kernel_lock(k, k->node.lock);
	*phase = dr->phase;
	due = dr->next_step_at <= now;
	if (due)
		dr->next_step_at = now + (dr->phase == RP_DRAIN_ANNOUNCE
						  ? ANNOUNCE_INTERVAL_MS
						  : FINISH_CHECK_INTERVAL_MS);
	kernel_unlock(k, k->node.lock);
	return due;
}

void drain_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	enum rp_drain_phase phase;

	if (!atomic_load(&k->draining) || !drain_due(k, now, &phase))
		return;
	if (phase == RP_DRAIN_FINISH)
		finish_tick(k, now);
	else if (phase == RP_DRAIN_HANDOVER)
		handover_tick(k, now, acts);
	else if (phase == RP_DRAIN_ANNOUNCE)
		announce_tick(k, now, acts);
}

int rp_kernel_ready(struct rp_kernel *k)
{
	return atomic_load(&k->credits_ready) && !atomic_load(&k->draining);
}
