/*
 * Probes: what a VM that does not hear the leader learns from the others, and
 * how it comes to lead, with the store or without.
 */

#include "lead-int.h"
#include "rosemary-int.h"

#include <stdio.h>

/*
 * Whether the leader may be alive, though no other VM answers: it has renewed
 * its row not long ago. Where nothing listens at its address, fewer missing
 * renewals show that it has ended.
 */
static int may_be_renewing(const struct lead *l, rp_ms now)
{
	return now - l->renewed_at < (l->connection_refused
					      ? LEAD_REFUSED_RENEWAL_TIMEOUT_MS
					      : LEAD_RENEWAL_TIMEOUT_MS);
}

/*
 * Whether this VM and those that answered the probe without hearing the leader
 * are more than half of the entry VMs: of those that the leader was linked to,
 * as the store may have rows of VMs that are gone.
 */
static int has_majority(const struct lead *l)
{
	unsigned nvms = l->nothers + 1;

	if (l->nlinked && l->nlinked < nvms)
		nvms = l->nlinked;
	return nvms > 1 && (l->nnot_hearing + 1) * 2 > nvms;
}

static int store_is_usable(const struct lead *l)
{
	return !l->store_lost && !l->store_failing;
}

static void back_off(struct lead *l, rp_ms now)
{
	l->phase = LEAD_IDLE;
	l->retry_at = now + LEAD_BACKOFF_MS;
}

/*
 * The least token of this VM that is above that of the leader known last, which
 * targets have seen. With the count at its end, it is one of the next term.
 */
static uint64_t provisional_token(const struct lead *l)
{
	uint64_t version = LEAD_SHORT_VERSION(l->own_row_version);
	uint64_t token = l->row.fence - LEAD_SHORT_VERSION(l->row.fence);

	token += version;
	if (token <= l->row.fence)
		token += 1u << LEAD_COUNT_SHIFT;
	return token;
}

static int may_lead_provisionally(const struct lead *l)
{
	return l->own_row_version && !l->version_may_be_shared &&
	       !l->targets_unknown &&
	       LEAD_TERM(provisional_token(l)) == LEAD_TERM(l->row.fence);
}

static void lead_provisionally(struct lead *l, int all_domains, rp_ms now)
{
	l->all_domains = all_domains;
	if (!LEAD_IS_PROVISIONAL(l->row.fence))
		l->prev_row = l->row;
	l->row.fence = provisional_token(l);
	l->row.incarnation = l->incarnation;
	snprintf(l->row.vm, sizeof(l->row.vm), "%s", l->vm);
	snprintf(l->row.address, sizeof(l->row.address), "%s", l->address);
	lead_apply_row(l, now);
	l->probed_at = now;
}

/*
 * Leads without the store if what has answered allows it. Returns whether it
 * does.
 */
static int try_to_lead_provisionally(struct lead *l, rp_ms now)
{
	int majority = has_majority(l);

	if (!may_lead_provisionally(l) || l->nhearing ||
	    !(majority || l->outside_reachable == 0 ||
	      (l->nnot_hearing && l->ops->domains_answered(l))))
		return 0;
	lead_provisionally(l, majority, now);
	return 1;
}

static void finish_probe_without_store(struct lead *l, rp_ms now)
{
	if (try_to_lead_provisionally(l, now))
		return;
	if (l->outside_reachable < 0)
		l->phase = LEAD_CHECKING_REACHABILITY;
	else
		back_off(l, now);
}

/*
 * The probe of a provisional leader: if nobody else leads the VMs that have
 * answered, this VM does. A majority suffices, as it does for an election: some
 * VMs of each domain may be dead.
 */
static void finish_provisional_probe(struct lead *l, rp_ms now)
{
	l->phase = LEAD_IDLE;
	if (l->nhearing || !l->nnot_hearing ||
	    !(has_majority(l) || l->ops->domains_answered(l)))
		return;
	if (store_is_usable(l)) {
		if (now >= l->retry_at)
			lead_start_claim(l, LEAD_CLAIM_OTHER, now);
		return;
	}
	if (l->all_domains)
		return;
	l->all_domains = has_majority(l);
	l->ops->domains_added(l);
}

/* Decides by the answers to the probe whether to claim. */
void lead_finish_probe(struct lead *l, rp_ms now)
{
	int isolated = !l->nhearing && !l->nnot_hearing && l->nothers;

	if (l->role == LEAD_LEADING) {
		finish_provisional_probe(l, now);
		return;
	}
	if (!l->nhearing && !store_is_usable(l) && l->own_row_version &&
	    !l->claims_disabled) {
		finish_probe_without_store(l, now);
		return;
	}
	if (l->nhearing || l->store_lost ||
	    (isolated && may_be_renewing(l, now))) {
		back_off(l, now);
		return;
	}
	lead_start_claim(l, LEAD_CLAIM_PROBE, now);
}

/* Whether the VM has answered this probe already. Records that it has. */
static int has_answered(struct lead *l, const char *vm)
{
	uint64_t hash = str_hash(str_of(vm));
	unsigned i, n = l->nhearing + l->nnot_hearing;

	for (i = 0; i < n && i < LEAD_ANSWERS_MAX; i++)
		if (l->answers[i] == hash)
			return 1;
	if (n < LEAD_ANSWERS_MAX)
		l->answers[n] = hash;
	return 0;
}

/*
 * A VM that knows a lower token does not hear the leader of this one. It may
 * have just started, and know none at all.
 */
void lead_count_answer(struct lead *l, const struct lead_heartbeat *hb,
		       rp_ms now)
{
	int behind = hb->fence < l->row.fence;

	if (l->phase != LEAD_PROBING ||
	    (behind && hb->hears_leader && l->role != LEAD_LEADING) ||
	    has_answered(l, hb->vm))
		return;
	if (hb->hears_leader && (behind || l->role != LEAD_LEADING))
		l->nhearing++;
	else
		l->nnot_hearing++;
	/* The other answers would not change the decision. */
	if (!l->nhearing && has_majority(l) && l->role != LEAD_LEADING)
		lead_finish_probe(l, now);
}

void lead_start_probe(struct lead *l, rp_ms now)
{
	l->phase = LEAD_PROBING;
	l->phase_at = l->probed_at = now;
	l->nhearing = l->nnot_hearing = 0;
	l->outside_reachable = -1;
	l->ops->probe(l);
	if (l->role != LEAD_LEADING)
		l->ops->check_reachability(l);
}

void lead_check_isolation(struct lead *l, rp_ms now)
{
	if (l->role != LEAD_LEADING || !l->isolated || l->confirming_since ||
	    now - l->isolation_checked_at < LEAD_ISOLATION_INTERVAL_MS)
		return;
	l->isolation_checked_at = now;
	l->checking_isolation = 1;
	l->ops->check_reachability(l);
}

/* Others use the same targets, unless the whole failure domain is cut off. */
static void isolation_checked(struct lead *l, int outside, rp_ms now)
{
	l->checking_isolation = 0;
	if (outside && l->isolated && !l->confirming_since)
		lead_doubt(l, now);
}

void lead_reachability_result(struct lead *l, int outside, rp_ms now)
{
	l->outside_reachable = outside;
	if (l->role == LEAD_LEADING && l->checking_isolation)
		isolation_checked(l, outside, now);
	if (l->phase != LEAD_CHECKING_REACHABILITY)
		return;
	if (l->role == LEAD_FOLLOWING && !lead_leader_alive(l, now))
		finish_probe_without_store(l, now);
	else
		back_off(l, now);
}

/*
 * The store is slow or silent, so this VM leads without it if it may. If the
 * claim succeeds nevertheless, it raises the token. A leader that resigns has
 * agreed, and follows its successor; the successor has all its domains unless
 * it led provisionally itself.
 */
void lead_stop_awaiting_claim(struct lead *l, rp_ms now)
{
	if (l->claim_cause == LEAD_CLAIM_STOP && may_lead_provisionally(l))
		lead_provisionally(l, !LEAD_IS_PROVISIONAL(l->row.fence), now);
	else if (l->claim_cause == LEAD_CLAIM_PROBE &&
		 !lead_leader_alive(l, now))
		try_to_lead_provisionally(l, now);
}
