/* Limit policy "credit": the peers, and which entry VM keeps which target. */

#include "limit-credit.h"

#include <stdlib.h>
#include <string.h>

/* Interval between scans of leases and idle credits, ms. */
#define SCAN_INTERVAL_MS 50
/* Without a tick for lease / PAUSE_DIVISOR the process counts as paused. */
#define PAUSE_DIVISOR 2
/* Heartbeat intervals after a pause until the members are known again. */
#define DISCOVERY_HEARTBEATS 3

static struct rp_limit *credit_create(struct rp_service *svc);

rp_ms lease_span(const struct credit_limit *l)
{
	return l->k->opt.credit_lease;
}

int credit_paused(const struct credit_limit *l, rp_ms now)
{
	return now - l->last_tick_at > lease_span(l) / PAUSE_DIVISOR;
}

int credit_target_usable(const struct rp_target *t)
{
	return t->listed && !t->leaving && t->weight;
}

struct rp_target *credit_find_target(struct credit_limit *l, const char *name)
{
	return apr_hash_get(l->svc->by_name, name, APR_HASH_KEY_STRING);
}

struct credit_peer *credit_find_peer(struct credit_limit *l, const char *name)
{
	struct credit_peer *newest = NULL;
	size_t i;

	for (i = 0; i < l->npeers; i++)
		if (!strcmp(l->peers[i]->name, name) &&
		    (!newest || l->peers[i]->incarnation > newest->incarnation))
			newest = l->peers[i];
	return newest;
}

/* Weight of an entry VM for a target in rendezvous hashing. */
static uint64_t rendezvous_weight(const char *vm, const char *target)
{
	uint64_t seed = str_hash(str_of(vm)) ^ 3 * str_hash(str_of(target));

	return random_next(&seed);
}

/* Adds the member's incarnation to the peers, or updates it. */
static void peer_update(struct credit_limit *l, const struct rp_member *m)
{
	struct credit_peer *p = credit_find_peer(l, m->name);

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
	p->same_domain = !strcmp(m->failure_domain, l->k->opt.failure_domain);
	p->ask_order = rendezvous_weight(m->name, l->k->opt.vm_name);
	p->present = m->state != RP_MEMBER_GONE;
}

/* Whether the peer is present, holds credits or keeps a target. */
static int peer_is_used(const struct credit_limit *l,
			const struct credit_peer *p)
{
	size_t i, n;

	if (p->present || p->credits_out)
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

static void peers_remove_unused(struct credit_limit *l)
{
	size_t i;

	for (i = l->npeers; i-- > 0;) {
		if (peer_is_used(l, l->peers[i]))
			continue;
		free(l->peers[i]);
		l->peers[i] = l->peers[--l->npeers];
	}
}

/* Updates the peers from the shard's member view. */
static void peers_update(struct credit_limit *l)
{
	const struct rp_view *v = l->svc->shard->view;
	size_t i;

	for (i = 0; i < l->npeers; i++)
		l->peers[i]->present = 0;
	for (i = 0; v && i < v->nmembers; i++)
		peer_update(l, &v->members[i]);
	peers_remove_unused(l);
}

/*
 * Whether this entry VM is to keep the target: it has the highest rendezvous
 * weight among the live entry VMs of the target's failure domain. All entry
 * VMs compete for the targets of a domain without a known entry VM.
 */
static int is_keeper(const struct credit_limit *l, const struct rp_target *t)
{
	const struct rp_options *opt = &l->k->opt;
	const struct rp_view *v = l->svc->shard->view;
	int in_own_domain = !strcmp(opt->failure_domain, t->failure_domain),
	    domain_has_vm = in_own_domain;
	uint64_t weight = rendezvous_weight(opt->vm_name, t->name);
	size_t i;

	for (i = 0; v && !domain_has_vm && i < v->nmembers; i++)
		domain_has_vm = v->members[i].state != RP_MEMBER_GONE &&
				!strcmp(v->members[i].failure_domain,
					t->failure_domain);
	if ((domain_has_vm && !in_own_domain) || atomic_load(&l->k->draining))
		return 0;
	for (i = 0; v && i < v->nmembers; i++) {
		const struct rp_member *m = &v->members[i];

		if (m->state != RP_MEMBER_LIVE ||
		    (domain_has_vm &&
		     strcmp(m->failure_domain, t->failure_domain) != 0))
			continue;
		if (rendezvous_weight(m->name, t->name) > weight)
			return 0;
	}
	return 1;
}

static struct credit_target *target_find_or_add(struct rp_target *t)
{
	struct credit_target *ct = credit_of(t);

	if (ct)
		return ct;
	ct = kernel_alloc(sizeof(*ct));
	ct->cap = -1;
	t->limit_data = ct;
	return ct;
}

/* Becomes keeper of the targets assigned here; 1 when there are new ones. */
static int assume_targets(struct credit_limit *l, rp_ms now)
{
	int assumed = 0;
	size_t i;

	for (i = 0; i < l->svc->ntargets; i++) {
		struct rp_target *t = l->svc->targets[i];

		if (target_find_or_add(t)->keeper_term || !is_keeper(l, t))
			continue;
		keeper_become(l, t, now);
		assumed = 1;
	}
	return assumed;
}

/* Resigns as keeper when others may have taken over during a pause. */
static void resign_after_pause(struct credit_limit *l, rp_ms now)
{
	int paused = credit_paused(l, now);
	size_t i;

	l->last_tick_at = now;
	if (!paused || !l->npeers)
		return;
	for (i = 0; i < l->svc->ntargets; i++)
		if (credit_of(l->svc->targets[i]))
			keeper_resign(l, l->svc->targets[i]);
	for (i = 0; i < l->npeers; i++)
		l->peers[i]->term = 0;
	l->discovery_until = now + DISCOVERY_HEARTBEATS * l->k->opt.heartbeat;
	l->members_known = 0;
	l->change_deferred = 1;
}

static void credit_changed(struct rp_limit *limit, rp_ms now,
			   struct rp_actions *acts)
{
	struct credit_limit *l = (struct credit_limit *)limit;
	size_t i;
	int assumed;

	resign_after_pause(l, now);
	peers_update(l);
	for (i = 0; i < l->svc->ntargets; i++)
		target_find_or_add(l->svc->targets[i]);
	if (!l->members_known)
		l->members_known = member_discovery_done(l->k, now) &&
				   l->discovery_until <= now;
	l->change_deferred = !l->members_known;
	if (!l->members_known)
		return;
	assumed = assume_targets(l, now);
	for (i = 0; i < l->npeers; i++)
		if (l->peers[i]->present && (assumed || !l->peers[i]->term))
			keeper_start_term(l, l->peers[i], now, acts);
	keeper_update_ready(l, now);
	l->grant_pending = 1;
}

static int credit_allows(struct rp_limit *limit, const struct rp_target *t)
{
	const struct credit_limit *l = (struct credit_limit *)limit;
	const struct credit_target *ct = credit_of(t);

	if (!ct || t->in_flight >= target_limit(t))
		return 0;
	return ct->keeper_term ? keeper_allows(l, t) : holder_allows(l, t);
}

static void credit_started(struct rp_limit *limit, struct rp_target *t,
			   rp_ms now)
{
	struct credit_limit *l = (struct credit_limit *)limit;

	(void)now;
	if (credit_of(t)->keeper_term)
		l->own_in_flight++;
}

static void credit_ended(struct rp_limit *limit, struct rp_target *t,
			 enum rp_start_outcome outcome, rp_ms now)
{
	struct credit_limit *l = (struct credit_limit *)limit;

	(void)outcome;
	(void)now;
	if (credit_of(t)->keeper_term) {
		l->own_in_flight--;
		l->grant_pending |= l->nwaiting > 0;
	} else {
		holder_task_ended(l, t);
	}
}

static void credit_demand(struct rp_limit *limit, size_t waiting, rp_ms now,
			  struct rp_actions *acts)
{
	holder_request((struct credit_limit *)limit, waiting, now, acts);
}

static void credit_removed(struct rp_limit *limit, struct rp_target *t)
{
	struct credit_limit *l = (struct credit_limit *)limit;

	if (!credit_of(t))
		return;
	keeper_resign(l, t);
	holder_discard(credit_of(t));
	free(credit_of(t)->shares);
	free(credit_of(t));
	t->limit_data = NULL;
}

/*
 * Copies the lease times from the members. A message that arrives after a held
 * lease expired doesn't revive it: the keeper may have granted its credits to
 * others.
 */
static void leases_update(struct credit_limit *l, rp_ms now)
{
	size_t i;

	for (i = 0; i < l->npeers; i++) {
		struct credit_peer *p = l->peers[i];
		struct rp_member_lease lease;

		if (!member_get_lease(l->k, p->name, &lease) ||
		    lease.incarnation != p->incarnation)
			continue;
		if (p->credits_held &&
		    p->held_lease_start + lease_span(l) <= now)
			p->lease_lapsed = 1;
		p->held_lease_start = lease.held_start;
		p->granted_lease_start = lease.granted_start;
	}
}

static void credit_tick(struct rp_limit *limit, rp_ms now,
			struct rp_actions *acts)
{
	struct credit_limit *l = (struct credit_limit *)limit;

	resign_after_pause(l, now);
	if (l->scan_due <= now) {
		l->scan_due = now + SCAN_INTERVAL_MS;
		if (l->change_deferred && l->discovery_until <= now &&
		    member_discovery_done(l->k, now))
			credit_changed(limit, now, acts);
		leases_update(l, now);
		keeper_scan(l, now, acts);
		holder_scan(l, now, acts);
	}
	if (l->grant_pending)
		keeper_grant(l, now, acts);
	holder_send_reports(l, now, acts);
}

static void credit_report(struct rp_limit *limit, const char *from,
			  const RpCreditReport *msg, rp_ms now,
			  struct rp_actions *acts)
{
	struct credit_limit *l = (struct credit_limit *)limit;
	struct credit_peer *p = credit_find_peer(l, from);

	if (!p)
		return; /* not in the view yet: its term starts once it is */
	resign_after_pause(l, now);
	leases_update(l, now);
	keeper_report_received(l, p, msg, now, acts);
	dispatch_pump(l->svc, now, acts);
}

static void credit_grant(struct rp_limit *limit, const char *from,
			 const RpCreditGrant *msg, rp_ms now,
			 struct rp_actions *acts)
{
	struct credit_limit *l = (struct credit_limit *)limit;
	struct credit_peer *p = credit_find_peer(l, from);

	if (!p)
		return;
	resign_after_pause(l, now);
	leases_update(l, now);
	holder_grant_received(l, p, msg, now, acts);
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
	.allows = credit_allows,
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
