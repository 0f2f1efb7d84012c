/* Holder side of slot credits: requests, uses and releases them. */

#include "limit-credit.h"

#include <stdlib.h>
#include <string.h>

/* A credit that was idle throughout such a period is released, ms. */
#define IDLE_PERIOD_MS 1000
/* Time after which an unanswered request is repeated, ms. */
#define REQUEST_RETRY_MS 500
/* Most keepers to request from at once: each lease has to be renewed. */
#define REQUEST_KEEPERS_MAX 3

static int held_credits(const struct credit_target *ct)
{
	return (int)(ct->granted - ct->released);
}

/* Whether the lease on the credits that the peer granted is valid. */
static int lease_valid(const struct credit_limit *l,
		       const struct credit_peer *p, rp_ms now)
{
	return !p->lease_lapsed && p->held_lease_start + lease_span(l) > now;
}

int holder_allows(const struct credit_limit *l, const struct rp_target *t)
{
	const struct credit_target *ct = credit_of(t);
	int max = held_credits(ct);

	if (!ct->keeper || !lease_valid(l, ct->keeper, l->svc->now))
		return 0;
	if (ct->cap >= 0 && ct->cap < max)
		max = ct->cap;
	return t->in_flight < max;
}

void holder_discard(struct credit_target *ct)
{
	if (ct->keeper)
		ct->keeper->credits_held -= held_credits(ct);
	ct->keeper = NULL;
	ct->granted = 0;
	ct->released = 0;
	ct->release_unsent = 0;
}

/* Releases the credits; the next report tells the keeper. */
static void release_credits(struct credit_target *ct, int count)
{
	if (count <= 0)
		return;
	ct->released += (uint64_t)count;
	ct->keeper->credits_held -= count;
	ct->release_unsent = 1;
	ct->keeper->report_pending = 1;
}

/* Releases idle credits above the cap. */
static void release_above_cap(struct rp_target *t)
{
	struct credit_target *ct = credit_of(t);
	int keep = t->in_flight > ct->cap ? t->in_flight : ct->cap;

	if (ct->cap < 0)
		return;
	release_credits(ct, held_credits(ct) - keep);
	if (held_credits(ct) <= ct->cap)
		ct->cap = -1;
}

void holder_task_ended(struct credit_limit *l, struct rp_target *t)
{
	struct credit_target *ct = credit_of(t);

	if (!ct->keeper || ct->keeper->lease_lapsed)
		return;
	release_above_cap(t);
	/* A target that gets no more work needs no credits. */
	if (!credit_target_usable(t))
		release_credits(ct, held_credits(ct) - t->in_flight);
	if (ct->idle_min > held_credits(ct) - t->in_flight)
		ct->idle_min = held_credits(ct) - t->in_flight;
	(void)l;
}

static void line_init(RpCreditLine *line, struct rp_target *t)
{
	const struct credit_target *ct = credit_of(t);

	rp_credit_line__init(line);
	line->target = t->name;
	line->term = ct->term;
	line->granted = ct->granted;
	line->released = ct->released;
}

static void send_report(struct credit_limit *l, struct credit_peer *p,
			RpCreditReport *msg, rp_ms now, struct rp_actions *acts)
{
	RpEnvelope env = RP_ENVELOPE__INIT;

	msg->service = l->svc->name;
	msg->seq = ++p->report_seq;
	msg->want = p->requested;
	env.n_reports = 1;
	env.reports = &msg;
	member_maintain_lease(l->k, now, p->name);
	peer_send(l->k, now, p->name, &env, acts);
}

/* Reports the unsent releases on the peer's targets and the request. */
static void send_release_report(struct credit_limit *l, struct credit_peer *p,
				rp_ms now, struct rp_actions *acts)
{
	size_t n = l->svc->ntargets, i;
	RpCreditReport msg = RP_CREDIT_REPORT__INIT;
	RpCreditLine *lines = kernel_alloc((n + 1) * sizeof(*lines));

	msg.lines = kernel_alloc((n + 1) * sizeof(RpCreditLine *));
	for (i = 0; i < n; i++) {
		struct rp_target *t = l->svc->targets[i];
		struct credit_target *ct = credit_of(t);

		if (!ct || ct->keeper != p || !ct->release_unsent)
			continue;
		ct->release_unsent = 0;
		line_init(&lines[msg.n_lines], t);
		msg.lines[msg.n_lines] = &lines[msg.n_lines];
		msg.n_lines++;
	}
	p->report_pending = 0;
	send_report(l, p, &msg, now, acts);
	free(msg.lines);
	free(lines);
}

void holder_send_reports(struct credit_limit *l, rp_ms now,
			 struct rp_actions *acts)
{
	size_t i;

	for (i = 0; i < l->npeers; i++)
		if (l->peers[i]->report_pending && !l->peers[i]->lease_lapsed)
			send_release_report(l, l->peers[i], now, acts);
}

/* Sets the credits requested from the peer and updates the total. */
static void set_requested(struct credit_limit *l, struct credit_peer *p,
			  uint32_t requested)
{
	l->requested -= p->requested;
	l->requested += requested;
	p->requested = requested;
}

/* Whether more credits can be requested from the peer. */
static int can_request(const struct credit_peer *p)
{
	return p->present && p->capacity > 0 && !p->queued_at_keeper &&
	       p->state == RP_MEMBER_LIVE && !p->lease_lapsed;
}

/*
 * Own failure domain first, then an order that differs between holders, which
 * spreads the requests.
 */
static int by_ask_order(const void *x, const void *y)
{
	const struct credit_peer *a = *(const struct credit_peer *const *)x;
	const struct credit_peer *b = *(const struct credit_peer *const *)y;

	if (a->same_domain != b->same_domain)
		return b->same_domain - a->same_domain;
	return a->ask_order < b->ask_order ? -1 : a->ask_order > b->ask_order;
}

/* Lists the keepers to request from, in order of preference. */
static size_t list_keepers(struct credit_limit *l, struct credit_peer **list)
{
	size_t n = 0, i;

	for (i = 0; i < l->npeers; i++)
		if (can_request(l->peers[i]))
			list[n++] = l->peers[i];
	qsort(list, n, sizeof(struct credit_peer *), by_ask_order);
	return n < REQUEST_KEEPERS_MAX ? n : REQUEST_KEEPERS_MAX;
}

void holder_request(struct credit_limit *l, size_t waiting, rp_ms now,
		    struct rp_actions *acts)
{
	struct credit_peer **list;
	double sum = 0;
	size_t n, i, uncovered;

	if (waiting <= l->requested || !l->npeers)
		return;
	uncovered = waiting - l->requested;
	list = kernel_alloc(l->npeers * sizeof(struct credit_peer *));
	n = list_keepers(l, list);
	for (i = 0; i < n; i++)
		sum += list[i]->capacity;
	for (i = 0; i < n && waiting > l->requested; i++) {
		double part = (double)uncovered * list[i]->capacity / sum;

		set_requested(l, list[i],
			      list[i]->requested + (uint32_t)part + 1);
		list[i]->requested_at = now;
		send_release_report(l, list[i], now, acts);
	}
	free(list);
}

/*
 * Starts the keeper's new term for one target and fills in the line that
 * reports the credits still held.
 */
static void start_line_term(struct credit_limit *l, struct credit_peer *p,
			    const RpCreditLine *start, rp_ms now,
			    RpCreditLine *line)
{
	struct rp_target *t = credit_find_target(l, start->target);
	struct credit_target *ct = t ? credit_of(t) : NULL;
	int valid, kept;

	rp_credit_line__init(line);
	line->target = start->target;
	if (!ct) {
		line->term = start->term;
		return;
	}
	if (start->term <= ct->term || start->term <= ct->keeper_term)
		return; /* older than the current term */
	valid = !ct->keeper_term && ct->keeper &&
		lease_valid(l, ct->keeper, now);
	keeper_resign(l, t);
	/* A running task keeps its credit even if the lease expired. */
	kept = valid && held_credits(ct) > t->in_flight ? held_credits(ct)
							: t->in_flight;
	holder_discard(ct);
	ct->granted = (uint64_t)kept;
	ct->term = start->term;
	ct->keeper = p;
	p->credits_held += kept;
	/*
	 * Credits of an expired lease may have been granted to others: they
	 * are released as their tasks end.
	 */
	ct->cap = valid || !ct->granted ? -1 : 0;
	ct->idle_min = 0;
	line_init(line, t);
}

static void answer_term_start(struct credit_limit *l, struct credit_peer *p,
			      const RpCreditGrant *start, rp_ms now,
			      struct rp_actions *acts)
{
	RpCreditReport msg = RP_CREDIT_REPORT__INIT;
	RpCreditLine *lines =
		kernel_alloc((start->n_lines + 1) * sizeof(*lines));
	size_t i;

	msg.lines = kernel_alloc((start->n_lines + 1) * sizeof(RpCreditLine *));
	msg.answer = 1;
	for (i = 0; i < start->n_lines; i++) {
		start_line_term(l, p, start->lines[i], now, &lines[i]);
		msg.lines[i] = &lines[i];
	}
	msg.n_lines = start->n_lines;
	p->lease_lapsed = 0;
	p->grant_seq_seen = start->seq;
	p->report_pending = 0;
	p->queued_at_keeper = 0;
	send_report(l, p, &msg, now, acts);
	free(msg.lines);
	free(lines);
}

/* Asks the keeper for a new term after a lost message or expired lease. */
static void request_new_term(struct credit_limit *l, struct credit_peer *p,
			     rp_ms now, struct rp_actions *acts)
{
	RpCreditReport msg = RP_CREDIT_REPORT__INIT;

	p->lease_lapsed = 1;
	p->requested_at = now;
	set_requested(l, p, 0);
	msg.call_me = 1;
	send_report(l, p, &msg, now, acts);
}

static void apply_grant_line(struct credit_limit *l, struct credit_peer *p,
			     const RpCreditLine *line)
{
	struct rp_target *t = credit_find_target(l, line->target);
	struct credit_target *ct = t ? credit_of(t) : NULL;

	if (!ct || ct->keeper != p || ct->term != line->term)
		return;
	if (line->granted > ct->granted) {
		p->credits_held += (int)(line->granted - ct->granted);
		ct->granted = line->granted;
		ct->idle_min = 0;
	}
	if (line->cap) {
		ct->cap = (int)line->cap - 1;
		release_above_cap(t);
	}
}

/* Releases all idle credits of the peer, because other holders wait. */
static void release_idle(struct credit_limit *l, const struct credit_peer *p)
{
	size_t i;

	for (i = 0; i < l->svc->ntargets; i++) {
		struct rp_target *t = l->svc->targets[i];
		struct credit_target *ct = credit_of(t);

		if (ct && ct->keeper == p)
			release_credits(ct, held_credits(ct) - t->in_flight);
	}
}

void holder_grant_received(struct credit_limit *l, struct credit_peer *p,
			   const RpCreditGrant *msg, rp_ms now,
			   struct rp_actions *acts)
{
	size_t i;

	if (msg->call) {
		answer_term_start(l, p, msg, now, acts);
		return;
	}
	if (p->lease_lapsed)
		return;
	if (msg->seq != p->grant_seq_seen + 1) {
		request_new_term(l, p, now, acts);
		return;
	}
	p->grant_seq_seen = msg->seq;
	p->queued_at_keeper = msg->pending;
	set_requested(l, p, msg->pending);
	for (i = 0; i < msg->n_lines; i++)
		apply_grant_line(l, p, msg->lines[i]);
	if (msg->recall && !l->svc->nqueued)
		release_idle(l, p);
}

/*
 * Updates the target's count of idle credits; at the end of an idle period
 * releases those that were idle throughout.
 */
static void idle_scan(struct credit_limit *l, struct rp_target *t,
		      int period_ended)
{
	struct credit_target *ct = credit_of(t);
	int idle;

	if (!ct || !ct->keeper || ct->keeper_term || ct->keeper->lease_lapsed)
		return;
	idle = held_credits(ct) - t->in_flight;
	if (!credit_target_usable(t))
		release_credits(ct, idle);
	if (idle < ct->idle_min)
		ct->idle_min = idle;
	if (!period_ended)
		return;
	release_credits(ct, ct->idle_min);
	ct->idle_min = held_credits(ct) - t->in_flight;
	(void)l;
}

/* Estimates each keeper's capacity from its usable targets. */
static void capacity_scan(struct credit_limit *l)
{
	double mean = l->svc->run_time.count ? l->svc->run_time.mean : 1;
	size_t i;

	for (i = 0; i < l->npeers; i++)
		l->peers[i]->capacity = 0;
	for (i = 0; i < l->svc->ntargets; i++) {
		const struct rp_target *t = l->svc->targets[i];
		const struct credit_target *ct = credit_of(t);
		double run_ms = t->run_time.count ? t->run_time.mean : mean;

		if (ct && ct->keeper && !ct->keeper_term &&
		    credit_target_usable(t))
			ct->keeper->capacity += (double)target_limit(t) /
						(run_ms < 1 ? 1 : run_ms);
	}
}

/* Whether the peer is the known keeper of a target. */
static int is_keeper_of_any(const struct credit_limit *l,
			    const struct credit_peer *p)
{
	size_t i;

	for (i = 0; i < l->svc->ntargets; i++) {
		const struct credit_target *ct = credit_of(l->svc->targets[i]);

		if (ct && ct->keeper == p)
			return 1;
	}
	return 0;
}

/* Renews the lease and withdraws or repeats the request at one keeper. */
static void peer_scan(struct credit_limit *l, struct credit_peer *p, rp_ms now,
		      struct rp_actions *acts)
{
	int valid = p->held_lease_start + lease_span(l) > now;

	if (!is_keeper_of_any(l, p)) {
		/* If it becomes a keeper again, it starts a new term. */
		p->lease_lapsed = 0;
		p->grant_seq_seen = 0;
		p->queued_at_keeper = 0;
		set_requested(l, p, 0);
		return;
	}
	/* Heartbeats renew the lease as long as credits are held. */
	if (p->credits_held)
		member_maintain_lease(l->k, now, p->name);
	if (!valid && p->credits_held)
		p->lease_lapsed = 1;
	if (p->lease_lapsed) {
		p->queued_at_keeper = 0;
		set_requested(l, p, 0);
		if (valid && p->requested_at + REQUEST_RETRY_MS <= now)
			request_new_term(l, p, now, acts);
		return;
	}
	if (!p->requested)
		return;
	if (!l->svc->nqueued) {
		set_requested(l, p, 0);
		p->queued_at_keeper = 0;
		p->report_pending = 1;
	} else if (p->requested_at + REQUEST_RETRY_MS <= now) {
		p->requested_at = now;
		p->report_pending = !p->queued_at_keeper;
	}
}

void holder_scan(struct credit_limit *l, rp_ms now, struct rp_actions *acts)
{
	int period_ended = l->idle_due <= now;
	size_t i;

	if (period_ended)
		l->idle_due = now + IDLE_PERIOD_MS;
	for (i = 0; i < l->svc->ntargets; i++)
		idle_scan(l, l->svc->targets[i], period_ended);
	capacity_scan(l);
	for (i = 0; i < l->npeers; i++)
		peer_scan(l, l->peers[i], now, acts);
}
