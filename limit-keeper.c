/* Slot credits as the keeper of a target sees them. */

#include "limit-credit.h"

#include <stdlib.h>
#include <string.h>

/* Part of the lease that the keeper waits beyond it. */
#define LEASE_SLACK_PART 8
/* Span after which a call without an answer is made again, ms. */
#define CALL_AGAIN_MS 1000
/* Least span between recalls to one holder, ms. */
#define RECALL_SPAN_MS 1000

static rp_ms lease_and_slack(const struct credit_limit *l)
{
	return credit_lease(l) + credit_lease(l) / LEASE_SLACK_PART;
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

static struct credit_share *share_get(struct credit_target *ct,
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
	s->told = 1;
	s->cap = -1;
	return s;
}

/* Sets the counts of a share and keeps the sums. */
static void share_set(struct credit_target *ct, struct credit_share *s,
		      uint64_t granted, uint64_t released)
{
	int before = share_out(s);

	s->granted = granted;
	s->released = released > granted ? granted : released;
	ct->out += share_out(s) - before;
	s->peer->out += share_out(s) - before;
}

static void share_drop(struct credit_target *ct, size_t at)
{
	share_set(ct, &ct->shares[at], 0, 0);
	ct->shares[at] = ct->shares[--ct->nshares];
}

/* Credits of the target that are surely free. */
static int target_free(const struct rp_target *t)
{
	const struct credit_target *ct = credit_of(t);

	if (!ct->office || !ct->ready || !credit_usable(t))
		return 0;
	return target_limit(t) - ct->out - t->in_flight;
}

int keeper_room(const struct credit_limit *l, const struct rp_target *t)
{
	if ((l->waiting && l->own >= l->fair) ||
	    (l->npeers && credit_paused(l, l->svc->now)))
		return 0;
	return target_free(t) > 0;
}

void keeper_take(struct credit_limit *l, struct rp_target *t, rp_ms now)
{
	struct credit_target *ct = credit_of(t);

	ct->office = trace_stamp(l->k, now);
	holder_forget(ct);
	ct->ready = 0;
	ct->ready_at = now + lease_and_slack(l);
	l->own += t->in_flight;
}

void keeper_yield(struct credit_limit *l, struct rp_target *t)
{
	struct credit_target *ct = credit_of(t);

	while (ct->nshares)
		share_drop(ct, ct->nshares - 1);
	if (ct->office)
		l->own -= t->in_flight;
	ct->office = 0;
}

static void grant_send(struct credit_limit *l, struct credit_peer *p,
		       RpCreditGrant *msg, rp_ms now, struct rp_actions *acts)
{
	RpEnvelope env = RP_ENVELOPE__INIT;

	msg->service = l->svc->name;
	msg->seq = ++p->grants_sent;
	msg->pending = p->wanted;
	p->tell = 0;
	env.n_grants = 1;
	env.grants = &msg;
	if (p->out || p->wanted)
		member_partner(l->k, now, p->name);
	peer_send(l->k, now, p->name, &env, acts);
}

void keeper_call(struct credit_limit *l, struct credit_peer *p, rp_ms now,
		 struct rp_actions *acts)
{
	size_t n = l->svc->ntargets, i;
	RpCreditGrant msg = RP_CREDIT_GRANT__INIT;
	RpCreditLine *lines;

	p->called_at = now;
	p->term = trace_stamp(l->k, now);
	p->answered = 0;
	lines = kernel_alloc((n + 1) * sizeof(*lines));
	msg.lines = kernel_alloc((n + 1) * sizeof(RpCreditLine *));
	msg.call = 1;
	for (i = 0; i < n; i++) {
		struct rp_target *t = l->svc->targets[i];

		if (!credit_of(t) || !credit_of(t)->office)
			continue;
		rp_credit_line__init(&lines[msg.n_lines]);
		lines[msg.n_lines].target = t->name;
		lines[msg.n_lines].term = p->term;
		msg.lines[msg.n_lines] = &lines[msg.n_lines];
		msg.n_lines++;
	}
	if (msg.n_lines)
		grant_send(l, p, &msg, now, acts);
	else
		p->term = 0;
	free(msg.lines);
	free(lines);
}

static void set_wanted(struct credit_limit *l, struct credit_peer *p,
		       uint32_t wanted)
{
	if (!p->wanted && wanted)
		p->turn = ++l->next_turn;
	l->waiting += (wanted > 0) - (p->wanted > 0);
	p->wanted = wanted;
}

/* The holder's answer to a call: from here on its counts are known. */
static void report_answer(struct credit_limit *l, struct credit_peer *p,
			  const RpCreditReport *msg)
{
	size_t i;

	for (i = 0; i < msg->n_lines; i++) {
		const RpCreditLine *line = msg->lines[i];
		struct rp_target *t = credit_target(l, line->target);
		struct credit_target *ct = t ? credit_of(t) : NULL;
		struct credit_share *s;

		if (!ct || !ct->office || line->term != p->term)
			continue;
		s = share_get(ct, p);
		share_set(ct, s, line->granted, line->released);
		s->term = line->term;
		s->cap = -1;
		s->told = 1;
		p->answered = 1;
	}
}

static void report_lines(struct credit_limit *l, struct credit_peer *p,
			 const RpCreditReport *msg)
{
	size_t i;

	for (i = 0; i < msg->n_lines; i++) {
		const RpCreditLine *line = msg->lines[i];
		struct rp_target *t = credit_target(l, line->target);
		struct credit_share *s = NULL;

		if (t && credit_of(t) && credit_of(t)->office)
			s = share_find(credit_of(t), p);
		if (s && s->term == line->term && line->released > s->released)
			share_set(credit_of(t), s, s->granted, line->released);
	}
}

/* Whether every holder has reported, or its credits have expired. */
static int is_ready(const struct credit_limit *l, struct credit_target *ct,
		    rp_ms now)
{
	size_t i;

	if (ct->ready_at <= now)
		return 1;
	for (i = 0; i < l->npeers; i++)
		if (l->peers[i]->present && !share_find(ct, l->peers[i]))
			return 0;
	return 1;
}

void keeper_ready(struct credit_limit *l, rp_ms now)
{
	size_t i;

	for (i = 0; i < l->svc->ntargets; i++) {
		struct credit_target *ct = credit_of(l->svc->targets[i]);

		if (!ct || !ct->office || ct->ready || !is_ready(l, ct, now))
			continue;
		ct->ready = 1;
		l->serve_due = 1;
	}
}

void keeper_report(struct credit_limit *l, struct credit_peer *p,
		   const RpCreditReport *msg, rp_ms now,
		   struct rp_actions *acts)
{
	if (msg->answer) {
		report_answer(l, p, msg);
		p->reports_seen = msg->seq;
		keeper_ready(l, now);
	} else if (msg->call_me || msg->seq != p->reports_seen + 1) {
		/* A call on its way is enough. */
		if (p->answered || p->called_at + CALL_AGAIN_MS <= now)
			keeper_call(l, p, now, acts);
		p->reports_seen = msg->seq;
	} else {
		p->reports_seen = msg->seq;
		report_lines(l, p, msg);
	}
	if (msg->want > p->wanted)
		p->tell = 1;
	set_wanted(l, p, msg->want);
	keeper_serve(l, now, acts);
}

/* Which of two targets should do the next task. */
static int is_faster(const struct credit_limit *l, const struct rp_target *a,
		     const struct rp_target *b)
{
	double mean = l->svc->learned.mean;
	double x = a->learned.count ? a->learned.mean : mean;
	double y = b->learned.count ? b->learned.mean : mean;

	if (x < y || x > y)
		return x < y;
	return target_free(a) > target_free(b);
}

/* The fastest target with a free credit for the peer. */
static struct rp_target *best_for(struct credit_limit *l, struct credit_peer *p)
{
	struct rp_target *best = NULL;
	size_t i;

	for (i = 0; i < l->svc->ntargets; i++) {
		struct rp_target *t = l->svc->targets[i];
		struct credit_share *s;

		if (!credit_of(t) || target_free(t) <= 0 ||
		    (best && !is_faster(l, t, best)))
			continue;
		s = share_find(credit_of(t), p);
		if (s && s->term == p->term)
			best = t;
	}
	return best;
}

/* Who is next: the first that waits and does not have too much already. */
static struct credit_peer *next_peer(const struct credit_limit *l, rp_ms now)
{
	struct credit_peer *best = NULL;
	size_t i;

	for (i = 0; i < l->npeers; i++) {
		struct credit_peer *p = l->peers[i];

		if (!p->wanted || !p->answered ||
		    p->heard_at + credit_lease(l) <= now ||
		    (p->out >= l->fair &&
		     (l->waiting > 1 || l->svc->nqueued > 0)))
			continue;
		if (!best || p->turn < best->turn)
			best = p;
	}
	return best;
}

/* Credits for each while some wait: even parts for those with work. */
static void fair_update(struct credit_limit *l)
{
	int sum = 0, active = l->svc->nqueued > 0 || l->own > 0;
	size_t i;

	for (i = 0; i < l->svc->ntargets; i++) {
		const struct rp_target *t = l->svc->targets[i];

		if (credit_of(t) && credit_of(t)->office && credit_usable(t))
			sum += target_limit(t);
	}
	for (i = 0; i < l->npeers; i++)
		active += l->peers[i]->out > 0 || l->peers[i]->wanted > 0;
	l->fair = active ? sum / active : sum;
	if (l->fair < 1)
		l->fair = 1;
}

/* Tells the peer what changed for it. */
static void grant_changes(struct credit_limit *l, struct credit_peer *p,
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
		struct credit_share *s = ct && ct->office ? share_find(ct, p)
							  : NULL;
		RpCreditLine *line = &lines[msg.n_lines];

		if (!s || (s->told && s->cap < 0))
			continue;
		rp_credit_line__init(line);
		line->target = t->name;
		line->term = s->term;
		line->granted = s->granted;
		line->cap = s->cap < 0 ? 0 : (uint32_t)s->cap + 1;
		s->told = 1;
		s->cap = -1;
		msg.lines[msg.n_lines++] = line;
	}
	grant_send(l, p, &msg, now, acts);
	free(msg.lines);
	free(lines);
}

static void grant_one(struct credit_limit *l, struct credit_peer *p,
		      struct rp_target *t)
{
	struct credit_target *ct = credit_of(t);
	struct credit_share *s = share_find(ct, p);

	share_set(ct, s, s->granted + 1, s->released);
	s->told = 0;
	set_wanted(l, p, p->wanted - 1);
	p->turn = ++l->next_turn;
	p->tell = 1;
}

void keeper_serve(struct credit_limit *l, rp_ms now, struct rp_actions *acts)
{
	struct credit_peer *p;
	struct rp_target *t;
	size_t i;

	l->serve_due = 0;
	if (l->waiting) {
		fair_update(l);
		while ((p = next_peer(l, now)) && (t = best_for(l, p)))
			grant_one(l, p, t);
	}
	for (i = 0; i < l->npeers; i++)
		if (l->peers[i]->tell && l->peers[i]->answered)
			grant_changes(l, l->peers[i], 0, now, acts);
}

/* Drops the credits of a holder whose lease has ended. */
static void expire_peer(struct credit_limit *l, struct credit_peer *p)
{
	size_t i;

	for (i = 0; i < l->svc->ntargets; i++) {
		struct credit_target *ct = credit_of(l->svc->targets[i]);
		struct credit_share *s = ct ? share_find(ct, p) : NULL;

		if (s)
			share_drop(ct, (size_t)(s - ct->shares));
	}
	p->answered = 0;
	set_wanted(l, p, 0);
	l->serve_due = 1;
}

/* Caps what the holder has of the target. */
static int cap_share(struct credit_share *s, int cap)
{
	if (!s || share_out(s) <= cap)
		return 0;
	s->cap = cap < 0 ? 0 : cap;
	return 1;
}

/* The limit was lowered: holders are to return their part of the excess. */
static int cap_shrunk(struct rp_target *t, struct credit_peer *p)
{
	struct credit_target *ct = credit_of(t);
	struct credit_share *s = share_find(ct, p);
	int total = ct->out + t->in_flight, limit = target_limit(t);

	if (!ct->office || total <= limit || !s)
		return 0;
	return cap_share(s, share_out(s) * limit / total);
}

/* Others wait: a holder with more than its part is to return the rest. */
static void cap_unfair(struct credit_limit *l, struct credit_peer *p)
{
	int excess = p->out - l->fair;
	size_t i;

	for (i = 0; i < l->svc->ntargets && excess > 0; i++) {
		struct credit_target *ct = credit_of(l->svc->targets[i]);
		struct credit_share *s = ct && ct->office ? share_find(ct, p)
							  : NULL;
		int cut;

		if (!s || !share_out(s))
			continue;
		cut = share_out(s) < excess ? share_out(s) : excess;
		if (cap_share(s, share_out(s) - cut))
			excess -= cut;
	}
}

static void recall_scan(struct credit_limit *l, struct credit_peer *p,
			rp_ms now, struct rp_actions *acts)
{
	int shrunk = 0;
	size_t i;

	if (!p->out || !p->answered || p->recalled_at + RECALL_SPAN_MS > now)
		return;
	for (i = 0; i < l->svc->ntargets; i++)
		if (credit_of(l->svc->targets[i]))
			shrunk |= cap_shrunk(l->svc->targets[i], p);
	if (!shrunk && (!l->waiting || (l->waiting == 1 && p->wanted)))
		return;
	if (l->waiting)
		cap_unfair(l, p);
	p->recalled_at = now;
	grant_changes(l, p, l->waiting > 0, now, acts);
}

void keeper_scan(struct credit_limit *l, rp_ms now, struct rp_actions *acts)
{
	size_t i;

	fair_update(l);
	for (i = 0; i < l->npeers; i++) {
		struct credit_peer *p = l->peers[i];

		if (p->heard_at + lease_and_slack(l) <= now) {
			/* Who holds nothing has nothing to lose. */
			if (p->out || p->wanted)
				expire_peer(l, p);
			continue;
		}
		if (p->term && !p->answered && p->present &&
		    p->called_at + CALL_AGAIN_MS <= now)
			keeper_call(l, p, now, acts);
		if (p->out)
			member_partner(l->k, now, p->name);
		recall_scan(l, p, now, acts);
	}
	keeper_ready(l, now);
}
