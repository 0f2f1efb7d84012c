/*
 * Membership: the state of every known entry VM, the failure detector, and the
 * immutable views that are published to the dispatch shards.
 */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

/* Heartbeat intervals of silence until a member is suspect. */
#define SUSPECT_HEARTBEATS_OWN_DOMAIN 4
#define SUSPECT_HEARTBEATS_OTHER_DOMAIN 8
/* Heartbeat intervals of silence until an unlisted member is gone. */
#define GONE_HEARTBEATS 8
/* A new keeper waits lease / LEASE_SLACK_DIVISOR longer than a lease. */
#define LEASE_SLACK_DIVISOR 8
/* Heartbeat intervals after the start until the members are known. */
#define DISCOVERY_HEARTBEATS 3
/* Time after the start until the members are known without a list, ms. */
#define DISCOVERY_MAX_MS 5000
/* Time for which a member with a lease gets heartbeats in any domain, ms. */
#define LEASE_HEARTBEATS_MS 5000
/* Silence until a VM that no list contained is gone: the list lags, ms. */
#define UNKNOWN_GRACE_MS 30000

struct rp_view *view_ref(struct rp_view *v)
{
	atomic_fetch_add(&v->refs, 1);
	return v;
}

void view_unref(struct rp_view *v)
{
	if (v && atomic_fetch_sub(&v->refs, 1) == 1)
		free(v);
}

const struct rp_member *view_find_member(const struct rp_view *v,
					 const char *name)
{
	size_t i;

	for (i = 0; v && i < v->nmembers; i++)
		if (!strcmp(v->members[i].name, name))
			return &v->members[i];
	return NULL;
}

struct rp_member_entry *member_find(struct rp_node *n, const char *name)
{
	return apr_hash_get(n->members, name, (apr_ssize_t)strlen(name));
}

struct rp_member_entry *member_find_or_add(struct rp_node *n, const char *name,
					   rp_ms now)
{
	struct rp_member_entry *e = member_find(n, name);

	if (e)
		return e;
	e = kernel_alloc(sizeof(*e));
	str_copy(e->m.name, RP_NAME_MAX, str_of(name));
	e->last_seen_at = now;
	apr_hash_set(n->members, e->m.name, (apr_ssize_t)strlen(name), e);
	return e;
}

int member_same_domain(const struct rp_kernel *k,
		       const struct rp_member_entry *e)
{
	return !strcmp(e->m.failure_domain, k->opt.failure_domain);
}

int member_note_alive(struct rp_member_entry *e, uint64_t incarnation,
		      rp_ms heard_at, rp_ms now)
{
	if (incarnation < e->m.incarnation)
		return 0;
	if (incarnation > e->m.incarnation) {
		if (e->m.incarnation)
			e->ended_at = now;
		e->m.incarnation = incarnation;
		e->leaving = 0;
		e->first_heartbeat_at = 0;
		e->last_message_at = 0;
		e->peer_clock = 0;
		e->echoed_clock = 0;
		e->gone = 0;
		e->last_seen_at = heard_at;
	}
	if (heard_at > e->last_seen_at) {
		e->last_seen_at = heard_at;
		e->gone = 0;
	}
	return 1;
}

/* Updates the member from an entry of the list or of the settings. */
static void apply_listed_vm(struct rp_kernel *k, rp_ms now,
			    const struct rp_vm *vm)
{
	struct rp_member_entry *e = member_find_or_add(&k->node, vm->name, now);

	e->listed = 1;
	if (vm->leaving)
		e->leaving = 1;
	str_copy(e->m.address, RP_ADDRESS_MAX, str_of(vm->address));
	str_copy(e->m.failure_domain, RP_NAME_MAX, str_of(vm->failure_domain));
}

/* Marks a silent member gone if the list doesn't contain it (any more). */
static void expire_unlisted_entry(struct rp_kernel *k, rp_ms now,
				  struct rp_member_entry *e, int was_listed)
{
	rp_ms silence = GONE_HEARTBEATS * k->opt.heartbeat;

	if (e->gone || e->last_seen_at + silence > now)
		return;
	/* Known only from peers: the list may not have it yet. */
	if (!was_listed && !e->leaving &&
	    e->last_seen_at + UNKNOWN_GRACE_MS > now)
		return;
	e->gone = 1;
	e->ended_at = now;
}

void member_apply_list(struct rp_kernel *k, rp_ms now, const struct rp_vm *vms,
		       size_t nvms, int fetched)
{
	struct rp_node *n = &k->node;
	apr_hash_index_t *h;
	size_t i;

	kernel_lock(k, n->lock);
	if (fetched && !n->first_list_at)
		n->first_list_at = now;
	for (h = apr_hash_first(NULL, n->members); h; h = apr_hash_next(h)) {
		struct rp_member_entry *e = apr_hash_this_val(h);

		/*
		 * 2: in an earlier list. The members of the new list
		 * get 1 again below.
		 */
		e->listed = e->listed ? 2 : 0;
	}
	for (i = 0; i < nvms; i++)
		if (vms[i].kind == RP_VM_ENTRY &&
		    strcmp(vms[i].name, k->opt.vm_name) != 0)
			apply_listed_vm(k, now, &vms[i]);
	kernel_unlock(k, n->lock);
	if (fetched)
		member_expire_unlisted(k, now);
}

void member_expire_unlisted(struct rp_kernel *k, rp_ms now)
{
	apr_hash_index_t *h;

	kernel_lock(k, k->node.lock);
	for (h = apr_hash_first(NULL, k->node.members); h;
	     h = apr_hash_next(h)) {
		struct rp_member_entry *e = apr_hash_this_val(h);

		if (e->listed != 1)
			expire_unlisted_entry(k, now, e, e->listed == 2);
	}
	kernel_unlock(k, k->node.lock);
}

enum rp_member_state member_current_state(const struct rp_kernel *k,
					  const struct rp_member_entry *e,
					  rp_ms now)
{
	int intervals = member_same_domain(k, e)
				? SUSPECT_HEARTBEATS_OWN_DOMAIN
				: SUSPECT_HEARTBEATS_OTHER_DOMAIN;

	if (e->gone)
		return RP_MEMBER_GONE;
	if (e->last_seen_at + intervals * k->opt.heartbeat <= now)
		return RP_MEMBER_SUSPECT;
	return e->leaving ? RP_MEMBER_LEAVING : RP_MEMBER_LIVE;
}

static const char *state_name(enum rp_member_state state)
{
	static const char *const names[] = { "live", "suspect", "leaving",
					     "gone" };

	return names[state];
}

/* Updates the member's state; 1 if a new view has to be published. */
static int update_entry_state(struct rp_kernel *k, struct rp_member_entry *e,
			      rp_ms now)
{
	struct rp_trace_subject about = { .target = e->m.name, .task = -1 };
	enum rp_member_state state = member_current_state(k, e, now);
	const struct rp_member *published =
		view_find_member(k->node.view, e->m.name);

	if (published && published->state == state &&
	    published->incarnation == e->m.incarnation &&
	    !strcmp(published->failure_domain, e->m.failure_domain))
		return 0;
	if (!published || published->state != state)
		trace_event(k, now, RP_TRACE_MEMBER, &about, "%s",
			    state_name(state));
	e->m.state = state;
	return 1;
}

/* Makes a view of all members; needs the node's lock. */
static struct rp_view *view_new(struct rp_node *n)
{
	size_t count = apr_hash_count(n->members);
	struct rp_view *v =
		kernel_alloc(sizeof(*v) + count * sizeof(v->members[0]));
	apr_hash_index_t *h;

	atomic_init(&v->refs, 1);
	v->seq = ++n->view_seq;
	for (h = apr_hash_first(NULL, n->members); h; h = apr_hash_next(h)) {
		const struct rp_member_entry *e = apr_hash_this_val(h);

		v->members[v->nmembers++] = e->m;
	}
	return v;
}

/* Applies the view to a dispatch shard and notifies its limit policies. */
static void shard_apply_view(struct rp_dispatch *d, struct rp_view *v,
			     rp_ms now, struct rp_actions *acts)
{
	apr_hash_index_t *h;

	kernel_lock(d->k, d->lock);
	if (!d->view || d->view->seq < v->seq) {
		view_unref(d->view);
		d->view = view_ref(v);
		team_divide_quotas(d);
		for (h = apr_hash_first(NULL, d->services); h;
		     h = apr_hash_next(h)) {
			struct rp_service *svc = apr_hash_this_val(h);

			svc->limit->ops->changed(svc->limit, now, acts);
			dispatch_pump(svc, now, acts);
		}
	}
	kernel_unlock(d->k, d->lock);
}

struct rp_view *member_view_ref(struct rp_kernel *k)
{
	struct rp_view *v;

	kernel_lock(k, k->node.lock);
	v = k->node.view ? view_ref(k->node.view) : NULL;
	kernel_unlock(k, k->node.lock);
	return v;
}

void member_update_states(struct rp_kernel *k, rp_ms now,
			  struct rp_actions *acts)
{
	struct rp_node *n = &k->node;
	struct rp_view *v = NULL;
	apr_hash_index_t *h;
	int changed = 0;
	unsigned i;

	kernel_lock(k, n->lock);
	for (h = apr_hash_first(NULL, n->members); h; h = apr_hash_next(h))
		changed |= update_entry_state(k, apr_hash_this_val(h), now);
	if (changed) {
		view_unref(n->view);
		n->view = view_new(n);
		v = view_ref(n->view);
	}
	kernel_unlock(k, n->lock);
	for (i = 0; v && i < RP_DISPATCH_SHARDS; i++)
		shard_apply_view(&k->dispatch[i], v, now, acts);
	view_unref(v);
}

int member_get_lease(struct rp_kernel *k, const char *name,
		     struct rp_member_lease *lease)
{
	const struct rp_member_entry *e;

	kernel_lock(k, k->node.lock);
	e = member_find(&k->node, name);
	if (e) {
		lease->state = e->m.state;
		lease->incarnation = e->m.incarnation;
		lease->held_start = e->echoed_clock;
		lease->granted_start = e->last_message_at;
	}
	kernel_unlock(k, k->node.lock);
	return e != NULL;
}

void member_maintain_lease(struct rp_kernel *k, rp_ms now, const char *name)
{
	struct rp_member_entry *e;

	kernel_lock(k, k->node.lock);
	e = member_find(&k->node, name);
	if (e)
		e->lease_wanted_until = now + LEASE_HEARTBEATS_MS;
	kernel_unlock(k, k->node.lock);
}

int member_discovery_done(struct rp_kernel *k, rp_ms now)
{
	const struct rp_node *n = &k->node;
	int known, list_known;

	kernel_lock(k, n->lock);
	/* The settings replace the list while the platform is unreachable. */
	list_known = n->first_list_at || k->opt.nseeds || !k->opt.list_poll;
	if (list_known && !apr_hash_count(n->members))
		known = 1; /* this is the only entry VM */
	else if (list_known)
		known = n->started_at +
				DISCOVERY_HEARTBEATS * k->opt.heartbeat <=
			now;
	else
		known = n->started_at + DISCOVERY_MAX_MS <= now;
	kernel_unlock(k, n->lock);
	return known;
}

int member_credits_ready(struct rp_kernel *k, rp_ms now)
{
	rp_ms lease = k->opt.credit_lease;
	int only_member;

	if (!member_discovery_done(k, now))
		return 0;
	kernel_lock(k, k->node.lock);
	only_member = !apr_hash_count(k->node.members);
	kernel_unlock(k, k->node.lock);
	return only_member ||
	       now - k->node.started_at >= lease + lease / LEASE_SLACK_DIVISOR;
}
