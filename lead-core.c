/* Election, succession and resignation of the pool's leader. */

#include "lead-int.h"

#include <stdio.h>
#include <string.h>

void lead_init(struct lead *l, const struct lead_ops *ops, void *user,
	       const char *vm, const char *address, uint64_t incarnation)
{
	memset(l, 0, sizeof(*l));
	l->ops = ops;
	l->user = user;
	snprintf(l->vm, sizeof(l->vm), "%s", vm);
	snprintf(l->address, sizeof(l->address), "%s", address);
	l->incarnation = incarnation;
}

static int row_is_own(const struct lead *l, const struct lead_row *row)
{
	return row->incarnation == l->incarnation && !strcmp(row->vm, l->vm);
}

/* Whether the row names an earlier process of this VM. */
static int row_is_earlier_process(const struct lead *l)
{
	return !strcmp(l->row.vm, l->vm) &&
	       l->row.incarnation != l->incarnation;
}

/* Sets the role by the leader's row, and restarts all timeouts. */
void lead_apply_row(struct lead *l, rp_ms now)
{
	int leads = l->row.fence && row_is_own(l, &l->row);

	l->role = leads ? LEAD_LEADING : LEAD_FOLLOWING;
	l->phase = LEAD_IDLE;
	l->longest_gap = (double)LEAD_SILENCE_MAX_MS / LEAD_GAPS;
	l->confirming_since = 0;
	l->isolated = l->checking_isolation = 0;
	l->prev_renewal_age = now - l->renewal_seen_at;
	l->heartbeat_at = now;
	l->renewed_at = l->renewal_seen_at = now;
	l->connection_refused = 0;
	l->resigning = l->leader_stops = 0;
	l->nlinked = 0;
	l->retry_at = 0;
	if (!LEAD_IS_PROVISIONAL(l->row.fence))
		l->all_domains = 0;
	l->ops->changed(l);
}

void lead_row_read(struct lead *l, const struct lead_row *row, rp_ms now)
{
	int64_t version = row->version;

	if (l->role != LEAD_UNKNOWN && row->fence <= l->row.fence) {
		if (version <= l->row.version)
			return;
		/* A provisional leader has no row: the term's is claimed. */
		if (LEAD_TERM(row->fence) == LEAD_TERM(l->row.fence))
			l->row.version = version;
		if (row->fence != l->row.fence)
			return;
		/* The same leader, known from a heartbeat before the row. */
		l->row.version = version;
		if (l->role == LEAD_LEADING || !row_is_own(l, row))
			return;
	}
	l->row = *row;
	lead_apply_row(l, now);
}

void lead_claim_reported(struct lead *l, uint64_t fence, uint64_t incarnation,
			 rp_ms now)
{
	struct lead_row row = l->row;

	if (incarnation != l->incarnation || fence != l->claimed_fence ||
	    fence <= l->row.fence)
		return;
	row.fence = fence;
	row.incarnation = incarnation;
	snprintf(row.vm, sizeof(row.vm), "%s", l->vm);
	snprintf(row.address, sizeof(row.address), "%s", l->address);
	lead_row_read(l, &row, now);
}

void lead_claim_failed(struct lead *l, rp_ms now)
{
	if (l->phase != LEAD_CLAIMING)
		return;
	if (l->store_lost && l->role == LEAD_FOLLOWING)
		lead_stop_awaiting_claim(l, now);
	if (l->phase != LEAD_CLAIMING)
		return;
	l->phase = LEAD_IDLE;
	l->retry_at = now + LEAD_BACKOFF_MS;
}

void lead_renewed(struct lead *l, int64_t version, rp_ms now)
{
	l->renewed_at = now;
	if (version <= l->renewal_version)
		return;
	l->renewal_version = version;
	l->renewal_seen_at = now;
}

/*
 * Rank of a VM that the leader does not name as a successor. In a failure
 * domain that is cut off no VM may be named, and one VM is to come first.
 */
static unsigned default_rank(const struct lead *l)
{
	return LEAD_SUCCESSORS + (l->domain_rank < LEAD_DOMAIN_RANK_MAX
					  ? l->domain_rank
					  : LEAD_DOMAIN_RANK_MAX);
}

/* Rank of this VM by the successors that a heartbeat names. */
static unsigned rank_in(const struct lead *l, const struct lead_heartbeat *hb)
{
	size_t i;

	for (i = 0; i < hb->nsuccessors; i++)
		if (!strcmp(hb->successors[i], l->vm))
			return (unsigned)i;
	return default_rank(l);
}

/*
 * Follows the leader that a heartbeat names under a higher token, without
 * waiting until its row is read from the store.
 */
static void follow_leader(struct lead *l, const struct lead_heartbeat *hb,
			  rp_ms now)
{
	l->row.fence = hb->fence;
	l->row.incarnation = 0;
	snprintf(l->row.vm, sizeof(l->row.vm), "%s", hb->leader);
	snprintf(l->row.address, sizeof(l->row.address), "%s", hb->address);
	lead_apply_row(l, now);
}

static void leader_heartbeat_received(struct lead *l,
				      const struct lead_heartbeat *hb,
				      rp_ms now)
{
	double gap = (double)(now - l->heartbeat_at);

	if (gap > l->longest_gap)
		l->longest_gap = gap;
	else
		l->longest_gap += LEAD_GAP_DECAY * (gap - l->longest_gap);
	l->heartbeat_at = now;
	l->connection_refused = 0;
	l->rank = rank_in(l, hb);
	l->rank_known = 1;
	l->leader_stops = hb->stops;
	if (hb->nlinked > l->nlinked)
		l->nlinked = hb->nlinked;
	if (l->phase == LEAD_PROBING)
		l->phase = LEAD_IDLE;
	if (hb->resigns && l->rank == 0 && l->phase == LEAD_IDLE &&
	    now >= l->retry_at)
		lead_start_claim(
			l, hb->stops ? LEAD_CLAIM_STOP : LEAD_CLAIM_OTHER, now);
}

int lead_is_provisional(const struct lead *l)
{
	return l->role == LEAD_LEADING && LEAD_IS_PROVISIONAL(l->row.fence);
}

/* Whether this leader's process stops: it follows whoever leads. */
static int is_stopping(const struct lead *l)
{
	return l->resigning && l->claims_disabled;
}

/*
 * A heartbeat names a provisional leader of this leader's own term, whose token
 * is higher. This leader claims the next term, which the provisional one
 * follows. Returns 0 if this VM is no regular leader of that term.
 */
static int claim_higher_token(struct lead *l, const struct lead_heartbeat *hb,
			      rp_ms now)
{
	if (l->role != LEAD_LEADING || lead_is_provisional(l) ||
	    is_stopping(l) || LEAD_TERM(hb->fence) != LEAD_TERM(l->row.fence))
		return 0;
	if (l->phase == LEAD_IDLE && now >= l->retry_at)
		lead_start_claim(l, LEAD_CLAIM_OTHER, now);
	return 1;
}

static int should_follow(struct lead *l, const struct lead_heartbeat *hb,
			 rp_ms now)
{
	/* A VM learns from the store alone that it leads itself. */
	if (hb->fence <= l->row.fence || !hb->leader[0] || !hb->address[0] ||
	    !strcmp(hb->leader, l->vm))
		return 0;
	if (!LEAD_IS_PROVISIONAL(hb->fence) ||
	    LEAD_TERM(hb->fence) != LEAD_TERM(l->row.fence))
		return 1;
	return !claim_higher_token(l, hb, now) &&
	       (lead_is_provisional(l) || is_stopping(l) || l->leader_stops ||
		!lead_leader_alive(l, now));
}

void lead_heartbeat(struct lead *l, const struct lead_heartbeat *hb, rp_ms now)
{
	if (should_follow(l, hb, now))
		follow_leader(l, hb, now);
	else if (hb->fence > l->row.fence)
		return;
	if (hb->leading && l->role == LEAD_FOLLOWING &&
	    hb->fence == l->row.fence) {
		leader_heartbeat_received(l, hb, now);
		return;
	}
	lead_count_answer(l, hb, now);
}

void lead_connection_refused(struct lead *l, rp_ms now)
{
	(void)now;
	l->connection_refused = 1;
}

void lead_start_claim(struct lead *l, enum lead_claim_cause cause, rp_ms now)
{
	struct lead_row row = {
		.fence = LEAD_TOKEN(LEAD_TERM(l->row.fence) + 1),
		.incarnation = l->incarnation,
	};

	if (l->claims_disabled)
		return;
	snprintf(row.vm, sizeof(row.vm), "%s", l->vm);
	snprintf(row.address, sizeof(row.address), "%s", l->address);
	l->claim_cause = cause;
	l->claimed_fence = row.fence;
	l->phase = LEAD_CLAIMING;
	l->phase_at = now;
	l->ops->claim(l, &row, l->row.version);
}

/* Stops leading. Probes only after a delay, so that a successor is heard. */
static void step_down(struct lead *l, rp_ms now)
{
	l->role = LEAD_FOLLOWING;
	l->phase = LEAD_IDLE;
	l->confirming_since = 0;
	l->heartbeat_at = now;
	l->retry_at = now + LEAD_SILENCE_MAX_MS;
	l->resigning = 0;
	l->ops->changed(l);
}

/* Silence of the leader after which this VM probes the others, ms. */
static rp_ms probe_delay(const struct lead *l)
{
	unsigned rank = l->rank_known ? l->rank : default_rank(l);
	rp_ms delay = (rp_ms)rank * LEAD_RANK_DELAY_MS;

	return l->connection_refused ? delay : lead_silence_limit(l) + delay;
}

void lead_tick(struct lead *l, rp_ms now)
{
	if (l->confirming_since &&
	    now - l->confirming_since >= LEAD_CONFIRM_TIMEOUT_MS)
		step_down(l, now);
	lead_check_isolation(l, now);
	if (l->phase == LEAD_CLAIMING &&
	    now - l->phase_at >= LEAD_CLAIM_TIMEOUT_MS)
		l->phase = LEAD_IDLE;
	if (l->phase == LEAD_CLAIMING && l->role == LEAD_FOLLOWING &&
	    (now - l->phase_at >= LEAD_CLAIM_PATIENCE_MS || l->store_lost))
		lead_stop_awaiting_claim(l, now);
	if (l->phase == LEAD_CHECKING_REACHABILITY &&
	    now - l->phase_at >= LEAD_CLAIM_TIMEOUT_MS)
		l->phase = LEAD_IDLE;
	/* The store is back: become a regular leader through it. */
	if (lead_is_provisional(l) && l->all_domains && !l->store_lost &&
	    !l->claims_disabled && l->phase == LEAD_IDLE && now >= l->retry_at)
		lead_start_claim(l, LEAD_CLAIM_OTHER, now);
	if (lead_is_provisional(l) && l->phase == LEAD_IDLE &&
	    now - l->probed_at >= LEAD_PROVISIONAL_PROBE_INTERVAL_MS)
		lead_start_probe(l, now);
	if (l->phase == LEAD_PROBING) {
		if (now - l->phase_at >= LEAD_PROBE_TIMEOUT_MS)
			lead_finish_probe(l, now);
		return;
	}
	if (l->role != LEAD_FOLLOWING || now < l->retry_at)
		return;
	if (l->phase != LEAD_IDLE || l->claims_disabled)
		return;
	if (!l->row.fence || row_is_earlier_process(l)) {
		/* Spread over 160 ms, so that VMs seldom claim at once. */
		rp_ms delay = (rp_ms)(l->incarnation % 8) * 20 +
			      (l->nlarger ? LEAD_LARGER_DELAY_MS : 0);

		/*
		 * If an earlier process of this VM led, it certainly leads no
		 * more, so there is nothing to wait for.
		 */
		if (l->row.fence || now - l->heartbeat_at >= delay)
			lead_start_claim(l, LEAD_CLAIM_OTHER, now);
		return;
	}
	if (now - l->heartbeat_at >= probe_delay(l))
		lead_start_probe(l, now);
}

void lead_doubt(struct lead *l, rp_ms now)
{
	if (lead_is_provisional(l) || l->store_lost) {
		step_down(l, now);
		return;
	}
	l->confirming_since = now;
	l->ops->confirm(l);
}

/*
 * Others claim after a silence of lead_silence_limit(), which a leader does
 * not see while it is paused. The store tells whether one of them has done so.
 */
void lead_paused(struct lead *l, rp_ms ms, rp_ms now)
{
	if (l->role == LEAD_LEADING && ms > LEAD_PAUSE_MAX_MS)
		step_down(l, now);
	else if (l->role == LEAD_LEADING)
		lead_doubt(l, now);
	l->heartbeat_at = now;
	if (l->phase == LEAD_PROBING)
		l->phase = LEAD_IDLE;
}

void lead_confirmed(struct lead *l)
{
	l->confirming_since = 0;
}

int lead_may_act(const struct lead *l)
{
	return l->role == LEAD_LEADING && !l->confirming_since;
}

void lead_resign(struct lead *l)
{
	if (l->role == LEAD_LEADING)
		l->resigning = 1;
}

/*
 * The higher token that the target has seen belongs to a successor or to a
 * provisional leader. Claiming the next term tells which: the store rejects
 * the claim if there is a successor.
 */
void lead_fenced(struct lead *l, rp_ms now)
{
	if (l->role != LEAD_LEADING)
		return;
	if (lead_is_provisional(l))
		step_down(l, now);
	else if (l->phase == LEAD_IDLE && now >= l->retry_at)
		lead_start_claim(l, LEAD_CLAIM_OTHER, now);
}

rp_ms lead_silence_limit(const struct lead *l)
{
	double limit = LEAD_GAPS * l->longest_gap;

	if (limit < LEAD_SILENCE_MIN_MS)
		return LEAD_SILENCE_MIN_MS;
	return limit > LEAD_SILENCE_MAX_MS ? LEAD_SILENCE_MAX_MS : (rp_ms)limit;
}

rp_ms lead_reconnect_limit(const struct lead *l)
{
	return lead_silence_limit(l) * 4 / 5;
}

int lead_leader_alive(const struct lead *l, rp_ms now)
{
	if (l->role == LEAD_LEADING)
		return 1;
	return l->role == LEAD_FOLLOWING && l->row.fence &&
	       !row_is_own(l, &l->row) &&
	       now - l->heartbeat_at < lead_silence_limit(l);
}
