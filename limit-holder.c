/* Slot credits as their holder sees them: asked for, used, given back. */

#include "limit-credit.h"

#include <stdlib.h>
#include <string.h>

/* Span in which an idle credit must be idle all the time to go back, ms. */
#define IDLE_SPAN_MS 1000
/* Span after which a want without an answer is told again, ms. */
#define ASK_AGAIN_MS 500
/* Keepers asked at once. */
#define ASK_KEEPERS 3

static int held(const struct credit_target *ct)
{
	return (int)(ct->granted - ct->released);
}

/* Whether our lease on what the peer granted is valid. */
static int lease_valid(const struct credit_limit *l,
		       const struct credit_peer *p, rp_ms now)
{
	return !p->lapsed && p->lease_from + credit_lease(l) > now;
}

int holder_room(const struct credit_limit *l, const struct rp_target *t)
{
	const struct credit_target *ct = credit_of(t);
	int max = held(ct);

	if (!ct->keeper || !lease_valid(l, ct->keeper, l->svc->now))
		return 0;
	if (ct->cap >= 0 && ct->cap < max)
		max = ct->cap;
	return t->in_flight < max;
}

void holder_forget(struct credit_target *ct)
{
	if (ct->keeper)
		ct->keeper->holds -= held(ct);
	ct->keeper = NULL;
	ct->granted = 0;
	ct->released = 0;
	ct->dirty = 0;
}

/* Gives back so many credits; the keeper is told with the next report. */
static void release(struct credit_target *ct, int count)
{
	if (count <= 0)
		return;
	ct->released += (uint64_t)count;
	ct->keeper->holds -= count;
	ct->dirty = 1;
	ct->keeper->report_due = 1;
}

/* Gives back what is above the cap and not in use. */
static void release_above_cap(struct rp_target *t)
{
	struct credit_target *ct = credit_of(t);
	int keep = t->in_flight > ct->cap ? t->in_flight : ct->cap;

	if (ct->cap < 0)
		return;
	release(ct, held(ct) - keep);
	if (held(ct) <= ct->cap)
		ct->cap = -1;
}

void holder_ended(struct credit_limit *l, struct rp_target *t)
{
	struct credit_target *ct = credit_of(t);

	if (!ct->keeper || ct->keeper->lapsed)
		return;
	release_above_cap(t);
	/* A target that gets no more work needs no credits. */
	if (!credit_usable(t))
		release(ct, held(ct) - t->in_flight);
	if (ct->idle_min > held(ct) - t->in_flight)
		ct->idle_min = held(ct) - t->in_flight;
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

static void report_send(struct credit_limit *l, struct credit_peer *p,
			RpCreditReport *msg, rp_ms now, struct rp_actions *acts)
{
	RpEnvelope env = RP_ENVELOPE__INIT;

	msg->service = l->svc->name;
	msg->seq = ++p->reports_sent;
	msg->want = p->want;
	env.n_reports = 1;
	env.reports = &msg;
	member_partner(l->k, now, p->name);
	peer_send(l->k, now, p->name, &env, acts);
}

/* Sends the changed lines of the targets that the peer keeps. */
static void report_changes(struct credit_limit *l, struct credit_peer *p,
			   rp_ms now, struct rp_actions *acts)
{
	size_t n = l->svc->ntargets, i;
	RpCreditReport msg = RP_CREDIT_REPORT__INIT;
	RpCreditLine *lines = kernel_alloc((n + 1) * sizeof(*lines));

	msg.lines = kernel_alloc((n + 1) * sizeof(RpCreditLine *));
	for (i = 0; i < n; i++) {
		struct rp_target *t = l->svc->targets[i];
		struct credit_target *ct = credit_of(t);

		if (!ct || ct->keeper != p || !ct->dirty)
			continue;
		ct->dirty = 0;
		line_init(&lines[msg.n_lines], t);
		msg.lines[msg.n_lines] = &lines[msg.n_lines];
		msg.n_lines++;
	}
	p->report_due = 0;
	report_send(l, p, &msg, now, acts);
	free(msg.lines);
	free(lines);
}

void holder_flush(struct credit_limit *l, rp_ms now, struct rp_actions *acts)
{
	size_t i;

	for (i = 0; i < l->npeers; i++)
		if (l->peers[i]->report_due && !l->peers[i]->lapsed)
			report_changes(l, l->peers[i], now, acts);
}

/* Sets what is wanted of the peer and keeps the sum. */
static void set_want(struct credit_limit *l, struct credit_peer *p,
		     uint32_t want)
{
	l->covered -= p->want;
	l->covered += want;
	p->want = want;
}

/* Whether the peer can be asked for more than it was. */
static int can_ask(const struct credit_peer *p)
{
	return p->present && p->capacity > 0 && !p->pending &&
	       p->state == RP_MEMBER_LIVE && !p->lapsed;
}

/* Near ones first, then in an order that differs from holder to holder. */
static int by_order(const void *x, const void *y)
{
	const struct credit_peer *a = *(const struct credit_peer *const *)x;
	const struct credit_peer *b = *(const struct credit_peer *const *)y;

	if (a->near != b->near)
		return b->near - a->near;
	return a->order < b->order ? -1 : a->order > b->order;
}

/* The keepers to ask; few, so that few leases have to be renewed. */
static size_t ask_list(struct credit_limit *l, struct credit_peer **list)
{
	size_t n = 0, i;

	for (i = 0; i < l->npeers; i++)
		if (can_ask(l->peers[i]))
			list[n++] = l->peers[i];
	qsort(list, n, sizeof(struct credit_peer *), by_order);
	return n < ASK_KEEPERS ? n : ASK_KEEPERS;
}

void holder_demand(struct credit_limit *l, size_t waiting, rp_ms now,
		   struct rp_actions *acts)
{
	struct credit_peer **list;
	double sum = 0;
	size_t n, i, more;

	if (waiting <= l->covered || !l->npeers)
		return;
	more = waiting - l->covered;
	list = kernel_alloc(l->npeers * sizeof(struct credit_peer *));
	n = ask_list(l, list);
	for (i = 0; i < n; i++)
		sum += list[i]->capacity;
	for (i = 0; i < n && waiting > l->covered; i++) {
		double part = (double)more * list[i]->capacity / sum;

		set_want(l, list[i], list[i]->want + (uint32_t)part + 1);
		list[i]->asked_at = now;
		report_changes(l, list[i], now, acts);
	}
	free(list);
}

/* A call: answers with what is held, which begins the term. */
static void answer_line(struct credit_limit *l, struct credit_peer *p,
			const RpCreditLine *call, rp_ms now, RpCreditLine *out)
{
	struct rp_target *t = credit_target(l, call->target);
	struct credit_target *ct = t ? credit_of(t) : NULL;
	int valid, keep;

	rp_credit_line__init(out);
	out->target = call->target;
	if (!ct) {
		out->term = call->term;
		return;
	}
	if (call->term <= ct->term || call->term <= ct->office)
		return; /* an older term than the one in force */
	valid = !ct->office && ct->keeper && lease_valid(l, ct->keeper, now);
	keeper_yield(l, t);
	/* A task that runs keeps its credit whatever became of the lease. */
	keep = valid && held(ct) > t->in_flight ? held(ct) : t->in_flight;
	holder_forget(ct);
	ct->granted = (uint64_t)keep;
	ct->term = call->term;
	ct->keeper = p;
	p->holds += keep;
	/* What a lapsed lease covered is not used again: it was given away. */
	ct->cap = valid || !ct->granted ? -1 : 0;
	ct->idle_min = 0;
	line_init(out, t);
}

static void answer_call(struct credit_limit *l, struct credit_peer *p,
			const RpCreditGrant *call, rp_ms now,
			struct rp_actions *acts)
{
	RpCreditReport msg = RP_CREDIT_REPORT__INIT;
	RpCreditLine *lines =
		kernel_alloc((call->n_lines + 1) * sizeof(*lines));
	size_t i;

	msg.lines = kernel_alloc((call->n_lines + 1) * sizeof(RpCreditLine *));
	msg.answer = 1;
	for (i = 0; i < call->n_lines; i++) {
		answer_line(l, p, call->lines[i], now, &lines[i]);
		msg.lines[i] = &lines[i];
	}
	msg.n_lines = call->n_lines;
	p->lapsed = 0;
	p->grants_seen = call->seq;
	p->report_due = 0;
	p->pending = 0;
	report_send(l, p, &msg, now, acts);
	free(msg.lines);
	free(lines);
}

/* Asks the keeper for a new term: messages or the lease were lost. */
static void ask_for_call(struct credit_limit *l, struct credit_peer *p,
			 rp_ms now, struct rp_actions *acts)
{
	RpCreditReport msg = RP_CREDIT_REPORT__INIT;

	p->lapsed = 1;
	p->asked_at = now;
	set_want(l, p, 0);
	msg.call_me = 1;
	report_send(l, p, &msg, now, acts);
}

static void grant_line(struct credit_limit *l, struct credit_peer *p,
		       const RpCreditLine *line)
{
	struct rp_target *t = credit_target(l, line->target);
	struct credit_target *ct = t ? credit_of(t) : NULL;

	if (!ct || ct->keeper != p || ct->term != line->term)
		return;
	if (line->granted > ct->granted) {
		p->holds += (int)(line->granted - ct->granted);
		ct->granted = line->granted;
		ct->idle_min = 0;
	}
	if (line->cap) {
		ct->cap = (int)line->cap - 1;
		release_above_cap(t);
	}
}

/* Others wait: gives back what is idle here. */
static void release_idle(struct credit_limit *l, const struct credit_peer *p)
{
	size_t i;

	for (i = 0; i < l->svc->ntargets; i++) {
		struct rp_target *t = l->svc->targets[i];
		struct credit_target *ct = credit_of(t);

		if (ct && ct->keeper == p)
			release(ct, held(ct) - t->in_flight);
	}
}

void holder_grant(struct credit_limit *l, struct credit_peer *p,
		  const RpCreditGrant *msg, rp_ms now, struct rp_actions *acts)
{
	size_t i;

	if (msg->call) {
		answer_call(l, p, msg, now, acts);
		return;
	}
	if (p->lapsed)
		return;
	if (msg->seq != p->grants_seen + 1) {
		ask_for_call(l, p, now, acts);
		return;
	}
	p->grants_seen = msg->seq;
	p->pending = msg->pending;
	set_want(l, p, msg->pending);
	for (i = 0; i < msg->n_lines; i++)
		grant_line(l, p, msg->lines[i]);
	if (msg->recall && !l->svc->nqueued)
		release_idle(l, p);
}

/* Gives back the credits that were idle for the whole span. */
static void idle_scan(struct credit_limit *l, struct rp_target *t, int end)
{
	struct credit_target *ct = credit_of(t);
	int idle;

	if (!ct || !ct->keeper || ct->office || ct->keeper->lapsed)
		return;
	idle = held(ct) - t->in_flight;
	if (!credit_usable(t))
		release(ct, idle);
	if (idle < ct->idle_min)
		ct->idle_min = idle;
	if (!end)
		return;
	release(ct, ct->idle_min);
	ct->idle_min = held(ct) - t->in_flight;
	(void)l;
}

/* What the peer's targets can do, as far as is known here. */
static void capacity_scan(struct credit_limit *l)
{
	double mean = l->svc->learned.count ? l->svc->learned.mean : 1;
	size_t i;

	for (i = 0; i < l->npeers; i++)
		l->peers[i]->capacity = 0;
	for (i = 0; i < l->svc->ntargets; i++) {
		const struct rp_target *t = l->svc->targets[i];
		const struct credit_target *ct = credit_of(t);
		double took = t->learned.count ? t->learned.mean : mean;

		if (ct && ct->keeper && !ct->office && credit_usable(t))
			ct->keeper->capacity +=
				(double)target_limit(t) / (took < 1 ? 1 : took);
	}
}

/* Whether the peer keeps any target as far as is known here. */
static int keeps_any(const struct credit_limit *l, const struct credit_peer *p)
{
	size_t i;

	for (i = 0; i < l->svc->ntargets; i++) {
		const struct credit_target *ct = credit_of(l->svc->targets[i]);

		if (ct && ct->keeper == p)
			return 1;
	}
	return 0;
}

static void peer_scan(struct credit_limit *l, struct credit_peer *p, rp_ms now,
		      struct rp_actions *acts)
{
	int valid = p->lease_from + credit_lease(l) > now;

	if (!keeps_any(l, p)) {
		/* It keeps nothing now; if it does again, it calls. */
		p->lapsed = 0;
		p->grants_seen = 0;
		p->pending = 0;
		set_want(l, p, 0);
		return;
	}
	/* The lease is renewed by heartbeats as long as it is needed. */
	if (p->holds)
		member_partner(l->k, now, p->name);
	if (!valid && p->holds)
		p->lapsed = 1;
	if (p->lapsed) {
		p->pending = 0;
		set_want(l, p, 0);
		if (valid && p->asked_at + ASK_AGAIN_MS <= now)
			ask_for_call(l, p, now, acts);
		return;
	}
	if (!p->want)
		return;
	if (!l->svc->nqueued) {
		set_want(l, p, 0);
		p->pending = 0;
		p->report_due = 1;
	} else if (p->asked_at + ASK_AGAIN_MS <= now) {
		p->asked_at = now;
		p->report_due = !p->pending;
	}
}

void holder_scan(struct credit_limit *l, rp_ms now, struct rp_actions *acts)
{
	int end = l->idle_due <= now;
	size_t i;

	if (end)
		l->idle_due = now + IDLE_SPAN_MS;
	for (i = 0; i < l->svc->ntargets; i++)
		idle_scan(l, l->svc->targets[i], end);
	capacity_scan(l);
	for (i = 0; i < l->npeers; i++)
		peer_scan(l, l->peers[i], now, acts);
}
