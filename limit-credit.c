/* Slot credits: the policy, the peers, and who keeps which target. */

#include "limit-credit.h"

#include <stdlib.h>
#include <string.h>

/* Span between looks at leases and idle credits, ms. */
#define SCAN_SPAN_MS 50
/* Part of a lease without a tick that counts as a pause of the process. */
#define PAUSE_PART 2
/* Heartbeat spans after a pause until the members are known again. */
#define SETTLE_BEATS 3

static struct rp_limit *credit_create(struct rp_service *svc);

rp_ms credit_lease(const struct credit_limit *l)
{
	return l->k->opt.credit_lease;
}

int credit_paused(const struct credit_limit *l, rp_ms now)
{
	return now - l->tick_at > credit_lease(l) / PAUSE_PART;
}

int credit_usable(const struct rp_target *t)
{
	return t->listed && !t->leaving && t->weight;
}

struct rp_target *credit_target(struct credit_limit *l, const char *name)
{
	return apr_hash_get(l->svc->by_name, name, APR_HASH_KEY_STRING);
}

/* The peer's newest incarnation, or NULL. */
struct credit_peer *credit_peer(struct credit_limit *l, const char *name)
{
	struct credit_peer *best = NULL;
	size_t i;

	for (i = 0; i < l->npeers; i++)
		if (!strcmp(l->peers[i]->name, name) &&
		    (!best || l->peers[i]->incarnation > best->incarnation))
			best = l->peers[i];
	return best;
}

/* Weight of an entry VM for a target in rendezvous hashing. */
static uint64_t rendezvous(const char *vm, const char *target)
{
	uint64_t seed = str_hash(str_of(vm)) ^ 3 * str_hash(str_of(target));

	return random_next(&seed);
}

/* Makes sure that the member's incarnation is among the peers. */
static void peer_add(struct credit_limit *l, const struct rp_member *m)
{
	struct credit_peer *p = credit_peer(l, m->name);

	if (p && !p->incarnation)
		p->incarnation = m->incarnation;
	if (!p || p->incarnation < m->incarnation) {
		p = kernel_alloc(sizeof(*p));
		str_copy(p->name, RP_NAME_MAX, str_of(m->name));
		p->incarnation = m->incarnation;
		l->peers = kernel_realloc(l->peers,
					  (l->npeers + 1) * sizeof(*l->peers));
		l->peers[l->npeers++] = p;
	}
	p->state = m->state;
	p->near = !strcmp(m->failure_domain, l->k->opt.failure_domain);
	p->order = rendezvous(m->name, l->k->opt.vm_name);
	p->present = m->state != RP_MEMBER_GONE;
}

/* Drops the peer that is gone and neither holds nor keeps anything. */
static int peer_is_used(const struct credit_limit *l,
			const struct credit_peer *p)
{
	size_t i, n;

	if (p->present || p->out)
		return 1;
	for (i = 0; i < l->svc->ntargets; i++) {
		const struct credit_target *ct = credit_of(l->svc->targets[i]);

		if (!ct)
			continue;
		if (ct->keeper == p)
			return 1;
		for (n = 0; n < ct->nshares; n++)
			if (ct->shares[n].peer == p)
				return 1;
	}
	return 0;
}

static void peers_sweep(struct credit_limit *l)
{
	size_t i;

	for (i = l->npeers; i-- > 0;) {
		if (peer_is_used(l, l->peers[i]))
			continue;
		free(l->peers[i]);
		l->peers[i] = l->peers[--l->npeers];
	}
}

/* Takes over the members of the shard's view. */
static void peers_update(struct credit_limit *l)
{
	const struct rp_view *v = l->svc->shard->view;
	size_t i;

	for (i = 0; i < l->npeers; i++)
		l->peers[i]->present = 0;
	for (i = 0; v && i < v->nmembers; i++)
		peer_add(l, &v->members[i]);
	peers_sweep(l);
}

/*
 * Whether this entry VM is to keep the target: the greatest weight among the
 * live ones of the target's domain. Only a domain without any entry VM, dead
 * or alive, is kept by the others.
 */
static int is_keeper(const struct credit_limit *l, const struct rp_target *t)
{
	const struct rp_options *opt = &l->k->opt;
	const struct rp_view *v = l->svc->shard->view;
	int own = !strcmp(opt->failure_domain, t->failure_domain), any = own;
	uint64_t weight = rendezvous(opt->vm_name, t->name);
	size_t i;

	for (i = 0; v && !any && i < v->nmembers; i++)
		any = v->members[i].state != RP_MEMBER_GONE &&
		      !strcmp(v->members[i].failure_domain, t->failure_domain);
	if ((any && !own) || atomic_load(&l->k->draining))
		return 0;
	for (i = 0; v && i < v->nmembers; i++) {
		const struct rp_member *m = &v->members[i];

		if (m->state != RP_MEMBER_LIVE ||
		    (any && strcmp(m->failure_domain, t->failure_domain) != 0))
			continue;
		if (rendezvous(m->name, t->name) > weight)
			return 0;
	}
	return 1;
}

static struct credit_target *target_get(struct rp_target *t)
{
	struct credit_target *ct = credit_of(t);

	if (ct)
		return ct;
	ct = kernel_alloc(sizeof(*ct));
	ct->cap = -1;
	t->limit_data = ct;
	return ct;
}

/* Takes the targets that are to be kept here; 1 when there were some. */
static int take_targets(struct credit_limit *l, rp_ms now)
{
	int taken = 0;
	size_t i;

	for (i = 0; i < l->svc->ntargets; i++) {
		struct rp_target *t = l->svc->targets[i];

		if (target_get(t)->office || !is_keeper(l, t))
			continue;
		keeper_take(l, t, now);
		taken = 1;
	}
	return taken;
}

/* Gives up all targets when a pause may have let others take them. */
static void check_pause(struct credit_limit *l, rp_ms now)
{
	int paused = credit_paused(l, now);
	size_t i;

	l->tick_at = now;
	if (!paused || !l->npeers)
		return;
	for (i = 0; i < l->svc->ntargets; i++)
		if (credit_of(l->svc->targets[i]))
			keeper_yield(l, l->svc->targets[i]);
	for (i = 0; i < l->npeers; i++)
		l->peers[i]->term = 0;
	l->settle_at = now + SETTLE_BEATS * l->k->opt.heartbeat;
	l->settled = 0;
	l->unsettled_change = 1;
}

static void credit_changed(struct rp_limit *limit, rp_ms now,
			   struct rp_actions *acts)
{
	struct credit_limit *l = (struct credit_limit *)limit;
	size_t i;
	int taken;

	check_pause(l, now);
	peers_update(l);
	for (i = 0; i < l->svc->ntargets; i++)
		target_get(l->svc->targets[i]);
	if (!l->settled)
		l->settled = member_settled(l->k, now) && l->settle_at <= now;
	l->unsettled_change = !l->settled;
	if (!l->settled)
		return;
	taken = take_targets(l, now);
	for (i = 0; i < l->npeers; i++)
		if (l->peers[i]->present && (taken || !l->peers[i]->term))
			keeper_call(l, l->peers[i], now, acts);
	keeper_ready(l, now);
	l->serve_due = 1;
}

static int credit_room(struct rp_limit *limit, const struct rp_target *t)
{
	const struct credit_limit *l = (struct credit_limit *)limit;
	const struct credit_target *ct = credit_of(t);

	if (!ct || t->in_flight >= target_limit(t))
		return 0;
	return ct->office ? keeper_room(l, t) : holder_room(l, t);
}

static void credit_started(struct rp_limit *limit, struct rp_target *t,
			   rp_ms now)
{
	struct credit_limit *l = (struct credit_limit *)limit;

	(void)now;
	if (credit_of(t)->office)
		l->own++;
}

static void credit_ended(struct rp_limit *limit, struct rp_target *t,
			 enum rp_start_outcome outcome, rp_ms now)
{
	struct credit_limit *l = (struct credit_limit *)limit;

	(void)outcome;
	(void)now;
	if (credit_of(t)->office) {
		l->own--;
		l->serve_due |= l->waiting > 0;
	} else {
		holder_ended(l, t);
	}
}

static void credit_demand(struct rp_limit *limit, size_t waiting, rp_ms now,
			  struct rp_actions *acts)
{
	holder_demand((struct credit_limit *)limit, waiting, now, acts);
}

static void credit_removed(struct rp_limit *limit, struct rp_target *t)
{
	struct credit_limit *l = (struct credit_limit *)limit;

	if (!credit_of(t))
		return;
	keeper_yield(l, t);
	holder_forget(credit_of(t));
	free(credit_of(t)->shares);
	free(credit_of(t));
	t->limit_data = NULL;
}

/*
 * Takes over how the leases stand. A lease that had ended is not revived by
 * a later message: the keeper may have given its credits to others.
 */
static void leases_update(struct credit_limit *l, rp_ms now)
{
	size_t i;

	for (i = 0; i < l->npeers; i++) {
		struct credit_peer *p = l->peers[i];
		struct rp_member_lease lease;

		if (!member_lease(l->k, p->name, &lease) ||
		    lease.incarnation != p->incarnation)
			continue;
		if (p->holds && p->lease_from + credit_lease(l) <= now)
			p->lapsed = 1;
		p->lease_from = lease.ours_from;
		p->heard_at = lease.its_from;
	}
}

static void credit_tick(struct rp_limit *limit, rp_ms now,
			struct rp_actions *acts)
{
	struct credit_limit *l = (struct credit_limit *)limit;

	check_pause(l, now);
	if (l->scan_due <= now) {
		l->scan_due = now + SCAN_SPAN_MS;
		if (l->unsettled_change && l->settle_at <= now &&
		    member_settled(l->k, now))
			credit_changed(limit, now, acts);
		leases_update(l, now);
		keeper_scan(l, now, acts);
		holder_scan(l, now, acts);
	}
	if (l->serve_due)
		keeper_serve(l, now, acts);
	holder_flush(l, now, acts);
}

static void credit_report(struct rp_limit *limit, const char *from,
			  const RpCreditReport *msg, rp_ms now,
			  struct rp_actions *acts)
{
	struct credit_limit *l = (struct credit_limit *)limit;
	struct credit_peer *p = credit_peer(l, from);

	if (!p)
		return; /* not in the view yet: it will be called */
	check_pause(l, now);
	leases_update(l, now);
	keeper_report(l, p, msg, now, acts);
	dispatch_pump(l->svc, now, acts);
}

static void credit_grant(struct rp_limit *limit, const char *from,
			 const RpCreditGrant *msg, rp_ms now,
			 struct rp_actions *acts)
{
	struct credit_limit *l = (struct credit_limit *)limit;
	struct credit_peer *p = credit_peer(l, from);

	if (!p)
		return;
	check_pause(l, now);
	leases_update(l, now);
	holder_grant(l, p, msg, now, acts);
	dispatch_pump(l->svc, now, acts);
}

static void credit_destroy(struct rp_limit *limit)
{
	struct credit_limit *l = (struct credit_limit *)limit;
	size_t i;

	for (i = 0; i < l->npeers; i++)
		free(l->peers[i]);
	free(l->peers);
	free(l);
}

static struct rp_limit_ops credit_ops = {
	.plugin = { .name = "credit" },
	.create = credit_create,
	.destroy = credit_destroy,
	.room = credit_room,
	.started = credit_started,
	.ended = credit_ended,
	.demand = credit_demand,
	.changed = credit_changed,
	.removed = credit_removed,
	.tick = credit_tick,
	.report = credit_report,
	.grant = credit_grant,
};

static struct rp_limit *credit_create(struct rp_service *svc)
{
	struct credit_limit *l = kernel_alloc(sizeof(*l));

	l->limit.ops = &credit_ops;
	l->svc = svc;
	l->k = svc->shard->k;
	return &l->limit;
}

RP_REGISTER(RP_PLUGIN_LIMIT, credit_ops);
