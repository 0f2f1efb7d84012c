/* Keeper side of slot credits: grants, recalls and expires them. */

#include "limit-credit.h"

#include <stdlib.h>
#include <string.h>

#define LEASE_SLACK_DIVISOR 8	/* leases expire late by lease / divisor */
#define TERM_RETRY_MS 1000	/* until an unanswered start is repeated */
#define RECALL_INTERVAL_MS 1000 /* between recalls to one holder */

static rp_ms keeper_lease_span(const struct credit_limit *l)
{
	return lease_span(l) + lease_span(l) / LEASE_SLACK_DIVISOR;
}

static int share_out(const struct credit_share *s)
{
	return (int)(s->granted - s->released);
}

static struct credit_share *share_find(struct credit_target *ct,
				       const struct credit_peer *p)
{
	size_t i;

	for (i = 0; i < ct->nshares; i++)
		if (ct->shares[i].peer == p)
			return &ct->shares[i];
	return NULL;
}

static struct credit_share *share_find_or_add(struct credit_target *ct,
					      struct credit_peer *p)
{
	struct credit_share *s = share_find(ct, p);

	if (s)
		return s;
	if (ct->nshares == ct->cap_shares) {
		ct->cap_shares = ct->cap_shares ? 2 * ct->cap_shares : 8;
		ct->shares = kernel_realloc(
			ct->shares, ct->cap_shares * sizeof(*ct->shares));
	}
	s = &ct->shares[ct->nshares++];
	memset(s, 0, sizeof(*s));
	s->peer = p;
	s->sent = 1;
	s->cap = -1;
	return s;
}

/* Sets the counts of a share and updates the totals. */
static void share_set(struct credit_target *ct, struct credit_share *s,
		      uint64_t granted, uint64_t released)
{
	int before = share_out(s);

	s->granted = granted;
	s->released = released > granted ? granted : released;
	ct->credits_out += share_out(s) - before;
	s->peer->credits_out += share_out(s) - before;
}

static void share_remove(struct credit_target *ct, size_t index)
{
	share_set(ct, &ct->shares[index], 0, 0);
	ct->shares[index] = ct->shares[--ct->nshares];
}

/* Credits of the target that can be granted, 0 until it is ready. */
static int target_free_credits(const struct rp_target *t)
{
	const struct credit_target *ct = credit_of(t);

	if (!ct->keeper_term || !ct->ready || !credit_target_usable(t))
		return 0;
	return target_limit(t) - ct->credits_out - t->in_flight;
}

int keeper_allows(const struct credit_limit *l, const struct rp_target *t)
{
	if ((l->nwaiting && l->own_in_flight >= l->fair_share) ||
	    (l->npeers && credit_paused(l, l->svc->now)))
		return 0;
	return target_free_credits(t) > 0;
}

void keeper_become(struct credit_limit *l, struct rp_target *t, rp_ms now)
{
	struct credit_target *ct = credit_of(t);

	ct->keeper_term = trace_stamp(l->k, now);
	holder_discard(ct);
	ct->ready = 0;
	ct->ready_at = now + keeper_lease_span(l);
	l->own_in_flight += t->in_flight;
}

void keeper_resign(struct credit_limit *l, struct rp_target *t)
{
	struct credit_target *ct = credit_of(t);

	while (ct->nshares)
		share_remove(ct, ct->nshares - 1);
	if (ct->keeper_term)
		l->own_in_flight -= t->in_flight;
	ct->keeper_term = 0;
}

static void send_grant(struct credit_limit *l, struct credit_peer *p,
		       RpCreditGrant *msg, rp_ms now, struct rp_actions *acts)
{
	RpEnvelope env = RP_ENVELOPE__INIT;

	msg->service = l->svc->name;
	msg->seq = ++p->grant_seq;
	msg->pending = p->backlog;
	p->grant_pending = 0;
	env.n_grants = 1;
	env.grants = &msg;
	if (p->credits_out || p->backlog)
		member_maintain_lease(l->k, now, p->name);
	peer_send(l->k, now, p->name, &env, acts);
}

void keeper_start_term(struct credit_limit *l, struct credit_peer *p, rp_ms now,
		       struct rp_actions *acts)
{
	size_t n = l->svc->ntargets, i;
	RpCreditGrant msg = RP_CREDIT_GRANT__INIT;
	RpCreditLine *lines;

	p->term_started_at = now;
	p->term = trace_stamp(l->k, now);
	p->answered = 0;
	lines = kernel_alloc((n + 1) * sizeof(*lines));
	msg.lines = kernel_alloc((n + 1) * sizeof(RpCreditLine *));
	msg.call = 1;
	for (i = 0; i < n; i++) {
		struct rp_target *t = l->svc->targets[i];

		if (!credit_of(t) || !credit_of(t)->keeper_term)
			continue;
		rp_credit_line__init(&lines[msg.n_lines]);
		lines[msg.n_lines].target = t->name;
		lines[msg.n_lines].term = p->term;
		msg.lines[msg.n_lines] = &lines[msg.n_lines];
		msg.n_lines++;
	}
	if (msg.n_lines)
		send_grant(l, p, &msg, now, acts);
	else
		p->term = 0;
	free(msg.lines);
	free(lines);
}

/* Sets the peer's backlog; a new one is queued behind the others. */
static void set_backlog(struct credit_limit *l, struct credit_peer *p,
			uint32_t backlog)
{
	if (!p->backlog && backlog)
		p->queue_position = ++l->last_queue_position;
	l->nwaiting += (backlog > 0) - (p->backlog > 0);
	p->backlog = backlog;
}

/* Sets the holder's shares to the credits it reports for the new term. */
static void apply_term_answer(struct credit_limit *l, struct credit_peer *p,
			      const RpCreditReport *msg)
{
	size_t i;

	for (i = 0; i < msg->n_lines; i++) {
		const RpCreditLine *line = msg->lines[i];
		struct rp_target *t = credit_find_target(l, line->target);
		struct credit_target *ct = t ? credit_of(t) : NULL;
		struct credit_share *s;

		if (!ct || !ct->keeper_term || line->term != p->term)
			continue;
		s = share_find_or_add(ct, p);
		share_set(ct, s, line->granted, line->released);
		s->term = line->term;
		s->cap = -1;
		s->sent = 1;
		p->answered = 1;
	}
}

static void apply_releases(struct credit_limit *l, struct credit_peer *p,
			   const RpCreditReport *msg)
{
	size_t i;

	for (i = 0; i < msg->n_lines; i++) {
		const RpCreditLine *line = msg->lines[i];
		struct rp_target *t = credit_find_target(l, line->target);
		struct credit_share *s = NULL;

		if (t && credit_of(t) && credit_of(t)->keeper_term)
			s = share_find(credit_of(t), p);
		if (s && s->term == line->term && line->released > s->released)
			share_set(credit_of(t), s, s->granted, line->released);
	}
}

/* Whether every holder has reported, or all credits have expired. */
static int all_credits_known(const struct credit_limit *l,
			     struct credit_target *ct, rp_ms now)
{
	size_t i;

	if (ct->ready_at <= now)
		return 1;
	for (i = 0; i < l->npeers; i++)
		if (l->peers[i]->present && !share_find(ct, l->peers[i]))
			return 0;
	return 1;
}

void keeper_update_ready(struct credit_limit *l, rp_ms now)
{
	size_t i;

	for (i = 0; i < l->svc->ntargets; i++) {
		struct credit_target *ct = credit_of(l->svc->targets[i]);

		if (!ct || !ct->keeper_term || ct->ready ||
		    !all_credits_known(l, ct, now))
			continue;
		ct->ready = 1;
		l->grant_pending = 1;
	}
}

void keeper_report_received(struct credit_limit *l, struct credit_peer *p,
			    const RpCreditReport *msg, rp_ms now,
			    struct rp_actions *acts)
{
	if (msg->answer) {
		apply_term_answer(l, p, msg);
		p->report_seq_seen = msg->seq;
		keeper_update_ready(l, now);
	} else if (msg->call_me || msg->seq != p->report_seq_seen + 1) {
		/* Doesn't repeat a term start that may still be on its way. */
		if (p->answered || p->term_started_at + TERM_RETRY_MS <= now)
			keeper_start_term(l, p, now, acts);
		p->report_seq_seen = msg->seq;
	} else {
		p->report_seq_seen = msg->seq;
		apply_releases(l, p, msg);
	}
	if (msg->want > p->backlog)
		p->grant_pending = 1;
	set_backlog(l, p, msg->want);
	keeper_grant(l, now, acts);
}

/* Whether a is to be preferred: shorter run time, then more free credits. */
static int is_preferred(const struct credit_limit *l, const struct rp_target *a,
			const struct rp_target *b)
{
	double mean = l->svc->run_time.mean;
	double x = a->run_time.count ? a->run_time.mean : mean;
	double y = b->run_time.count ? b->run_time.mean : mean;

	if (x < y || x > y)
		return x < y;
	return target_free_credits(a) > target_free_credits(b);
}

/* The preferred target with a free credit for the peer, or NULL. */
static struct rp_target *best_target_for(struct credit_limit *l,
					 struct credit_peer *p)
{
	struct rp_target *best = NULL;
	size_t i;

	for (i = 0; i < l->svc->ntargets; i++) {
		struct rp_target *t = l->svc->targets[i];
		struct credit_share *s;

		if (!credit_of(t) || target_free_credits(t) <= 0 ||
		    (best && !is_preferred(l, t, best)))
			continue;
		s = share_find(credit_of(t), p);
		if (s && s->term == p->term)
			best = t;
	}
	return best;
}

/* The waiting peer to serve next; skips those that have their fair share. */
static struct credit_peer *next_peer(const struct credit_limit *l, rp_ms now)
{
	struct credit_peer *best = NULL;
	size_t i;

	for (i = 0; i < l->npeers; i++) {
		struct credit_peer *p = l->peers[i];

		if (!p->backlog || !p->answered ||
		    p->granted_lease_start + lease_span(l) <= now ||
		    (p->credits_out >= l->fair_share &&
		     (l->nwaiting > 1 || l->svc->nqueued > 0)))
			continue;
		if (!best || p->queue_position < best->queue_position)
			best = p;
	}
	return best;
}

/* Divides all credits evenly among the entry VMs that have work. */
static void update_fair_share(struct credit_limit *l)
{
	int sum = 0, active = l->svc->nqueued > 0 || l->own_in_flight > 0;
	size_t i;

	for (i = 0; i < l->svc->ntargets; i++) {
		const struct rp_target *t = l->svc->targets[i];

		if (credit_of(t) && credit_of(t)->keeper_term &&
		    credit_target_usable(t))
			sum += target_limit(t);
	}
	for (i = 0; i < l->npeers; i++)
		active += l->peers[i]->credits_out > 0 ||
			  l->peers[i]->backlog > 0;
	l->fair_share = active ? sum / active : sum;
	if (l->fair_share < 1)
		l->fair_share = 1;
}

/* Sends the peer its unsent grants and caps. */
static void send_grant_changes(struct credit_limit *l, struct credit_peer *p,
			       int recall, rp_ms now, struct rp_actions *acts)
{
	size_t n = l->svc->ntargets, i;
	RpCreditGrant msg = RP_CREDIT_GRANT__INIT;
	RpCreditLine *lines = kernel_alloc((n + 1) * sizeof(*lines));

	msg.lines = kernel_alloc((n + 1) * sizeof(RpCreditLine *));
	msg.recall = recall != 0;
	for (i = 0; i < n; i++) {
		struct rp_target *t = l->svc->targets[i];
		struct credit_target *ct = credit_of(t);
		struct credit_share *s =
			ct && ct->keeper_term ? share_find(ct, p) : NULL;
		RpCreditLine *line = &lines[msg.n_lines];

		if (!s || (s->sent && s->cap < 0))
			continue;
		rp_credit_line__init(line);
		line->target = t->name;
		line->term = s->term;
		line->granted = s->granted;
		line->cap = s->cap < 0 ? 0 : (uint32_t)s->cap + 1;
		s->sent = 1;
		s->cap = -1;
		msg.lines[msg.n_lines++] = line;
	}
	send_grant(l, p, &msg, now, acts);
	free(msg.lines);
	free(lines);
}

static void grant_one(struct credit_limit *l, struct credit_peer *p,
		      struct rp_target *t)
{
	struct credit_target *ct = credit_of(t);
	struct credit_share *s = share_find(ct, p);

	share_set(ct, s, s->granted + 1, s->released);
	s->sent = 0;
	set_backlog(l, p, p->backlog - 1);
	p->queue_position = ++l->last_queue_position;
	p->grant_pending = 1;
}

void keeper_grant(struct credit_limit *l, rp_ms now, struct rp_actions *acts)
{
	struct credit_peer *p;
	struct rp_target *t;
	size_t i;

	l->grant_pending = 0;
	if (l->nwaiting) {
		update_fair_share(l);
		while ((p = next_peer(l, now)) && (t = best_target_for(l, p)))
			grant_one(l, p, t);
	}
	for (i = 0; i < l->npeers; i++)
		if (l->peers[i]->grant_pending && l->peers[i]->answered)
			send_grant_changes(l, l->peers[i], 0, now, acts);
}

static void expire_peer_lease(struct credit_limit *l, struct credit_peer *p)
{
	size_t i;

	for (i = 0; i < l->svc->ntargets; i++) {
		struct credit_target *ct = credit_of(l->svc->targets[i]);
		struct credit_share *s = ct ? share_find(ct, p) : NULL;

		if (s)
			share_remove(ct, (size_t)(s - ct->shares));
	}
	p->answered = 0;
	set_backlog(l, p, 0);
	l->grant_pending = 1;
}

/* Caps the holder's credits on the target; 1 when it has to release some. */
static int cap_share(struct credit_share *s, int cap)
{
	if (!s || share_out(s) <= cap)
		return 0;
	s->cap = cap < 0 ? 0 : cap;
	return 1;
}

/* Makes the holder return its part of the excess over a lowered limit. */
static int cap_to_limit(struct rp_target *t, struct credit_peer *p)
{
	struct credit_target *ct = credit_of(t);
	struct credit_share *s = share_find(ct, p);
	int total = ct->credits_out + t->in_flight, limit = target_limit(t);

	if (!ct->keeper_term || total <= limit || !s)
		return 0;
	return cap_share(s, share_out(s) * limit / total);
}

/* Makes a holder return what exceeds its fair share, for those who wait. */
static void cap_to_fair_share(struct credit_limit *l, struct credit_peer *p)
{
	int excess = p->credits_out - l->fair_share;
	size_t i;

	for (i = 0; i < l->svc->ntargets && excess > 0; i++) {
		struct credit_target *ct = credit_of(l->svc->targets[i]);
		struct credit_share *s =
			ct && ct->keeper_term ? share_find(ct, p) : NULL;
		int cut;

		if (!s || !share_out(s))
			continue;
		cut = share_out(s) < excess ? share_out(s) : excess;
		if (cap_share(s, share_out(s) - cut))
			excess -= cut;
	}
}

/* Sends a recall for a lowered limit, or because other peers wait. */
static void recall_credits(struct credit_limit *l, struct credit_peer *p,
			   rp_ms now, struct rp_actions *acts)
{
	int above_limit = 0;
	size_t i;

	if (!p->credits_out || !p->answered ||
	    p->recalled_at + RECALL_INTERVAL_MS > now)
		return;
	for (i = 0; i < l->svc->ntargets; i++)
		if (credit_of(l->svc->targets[i]))
			above_limit |= cap_to_limit(l->svc->targets[i], p);
	if (!above_limit && (!l->nwaiting || (l->nwaiting == 1 && p->backlog)))
		return;
	if (l->nwaiting)
		cap_to_fair_share(l, p);
	p->recalled_at = now;
	send_grant_changes(l, p, l->nwaiting > 0, now, acts);
}

void keeper_scan(struct credit_limit *l, rp_ms now, struct rp_actions *acts)
{
	size_t i;

	update_fair_share(l);
	for (i = 0; i < l->npeers; i++) {
		struct credit_peer *p = l->peers[i];

		if (p->granted_lease_start + keeper_lease_span(l) <= now) {
			/* Without credits or requests nothing expires. */
			if (p->credits_out || p->backlog)
				expire_peer_lease(l, p);
			continue;
		}
		if (p->term && !p->answered && p->present &&
		    p->term_started_at + TERM_RETRY_MS <= now)
			keeper_start_term(l, p, now, acts);
		if (p->credits_out)
			member_maintain_lease(l->k, now, p->name);
		recall_credits(l, p, now, acts);
	}
	keeper_update_ready(l, now);
}
