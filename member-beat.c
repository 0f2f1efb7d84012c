/*
 * Heartbeats between entry VMs. Within a failure domain each member sends to
 * every other one. To every other domain it sends to one member per round, in
 * turn, together with a digest of its own domain: the cost per node grows with
 * the size of a domain and not with that of the deployment.
 */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

/* Heartbeat intervals between rounds to other failure domains. */
#define CROSS_HEARTBEATS 2
/* Heartbeat intervals without a message until a link counts as silent. */
#define SILENT_HEARTBEATS 4
/* Turns without a message until a link to another domain counts as silent. */
#define SILENT_TURNS 3
/* Shortest time between two resets of one link, ms. */
#define RESET_INTERVAL_MS 2000
/* Shortest time between two probes of one member, ms. */
#define PROBE_INTERVAL_MS 500
/* Heartbeat intervals for which other messages may replace heartbeats. */
#define SKIP_HEARTBEATS 4
#define FORWARDS_MAX 16 /* forwards in one heartbeat */
#define SEEN_MAX 64	/* members in one digest */

/* A heartbeat with storage for its lists. */
struct heartbeat {
	RpHeartbeat hb;
	RpSeen seen[SEEN_MAX];
	RpSeen *seen_list[SEEN_MAX];
	RpForward forwards[FORWARDS_MAX];
	RpForward *forward_list[FORWARDS_MAX];
};

/* Number of queued and running tasks of all services. */
static rp_ms count_tasks(struct rp_kernel *k)
{
	size_t sum = 0;
	unsigned i;

	for (i = 0; i < RP_DISPATCH_SHARDS; i++) {
		struct rp_dispatch *d = &k->dispatch[i];
		apr_hash_index_t *h;

		kernel_lock(k, d->lock);
		for (h = apr_hash_first(NULL, d->services); h;
		     h = apr_hash_next(h)) {
			const struct rp_service *svc = apr_hash_this_val(h);

			sum += svc->nqueued + svc->in_flight;
		}
		kernel_unlock(k, d->lock);
	}
	return (rp_ms)sum;
}

/* Adds the forwards and drops expired ones; needs the node's lock. */
static void add_forwards(struct rp_kernel *k, rp_ms now, struct heartbeat *b)
{
	struct rp_forward **at = &k->node.forwards;

	while (*at) {
		struct rp_forward *f = *at;
		RpForward *msg = &b->forwards[b->hb.n_forwards];

		if (f->expires_at <= now) {
			*at = f->next;
			free(f);
			continue;
		}
		at = &f->next;
		if (b->hb.n_forwards == FORWARDS_MAX)
			continue;
		rp_forward__init(msg);
		msg->vm = f->vm;
		msg->incarnation = f->incarnation;
		msg->to = f->to;
		msg->to_incarnation = f->to_incarnation;
		b->forward_list[b->hb.n_forwards++] = msg;
	}
	b->hb.forwards = b->forward_list;
}

static void heartbeat_init(struct rp_kernel *k, rp_ms now, struct heartbeat *b,
			   rp_ms load)
{
	rp_heartbeat__init(&b->hb);
	b->hb.draining = atomic_load(&k->draining) != 0;
	b->hb.load = (double)load;
	b->hb.table_version = table_version(k);
	add_forwards(k, now, b);
}

/* Adds the last signs of life of the members of this failure domain. */
static void add_digest(struct rp_kernel *k, rp_ms now, struct heartbeat *b)
{
	apr_hash_index_t *h;

	for (h = apr_hash_first(NULL, k->node.members); h;
	     h = apr_hash_next(h)) {
		const struct rp_member_entry *e = apr_hash_this_val(h);
		RpSeen *s = &b->seen[b->hb.n_seen];

		if (!member_same_domain(k, e) || !e->m.incarnation || e->gone ||
		    b->hb.n_seen == SEEN_MAX)
			continue;
		rp_seen__init(s);
		s->name = (char *)e->m.name;
		s->incarnation = e->m.incarnation;
		s->age_ms = (uint32_t)(now - e->last_seen_at);
		s->draining = e->leaving;
		b->seen_list[b->hb.n_seen++] = s;
	}
	b->hb.seen = b->seen_list;
}

/* Whether the member has not been seen for so long that its link is silent. */
static int is_silent(const struct rp_kernel *k, const struct rp_member_entry *e,
		     rp_ms now)
{
	int intervals = member_same_domain(k, e)
				? SILENT_HEARTBEATS
				: CROSS_HEARTBEATS * SILENT_HEARTBEATS;

	return e->last_seen_at + intervals * k->opt.heartbeat <= now;
}

static void reset_silent_link(struct rp_member_entry *e, rp_ms now,
			      struct rp_actions *acts)
{
	if (e->link_reset_at + RESET_INTERVAL_MS <= now)
		peer_reset_link(e, now, acts);
}

/* Sends a heartbeat to one member; needs the node's lock. */
static void heartbeat_send(struct rp_kernel *k, rp_ms now,
			   struct rp_member_entry *e, struct heartbeat *b,
			   struct rp_actions *acts)
{
	RpEnvelope env = RP_ENVELOPE__INIT;

	if (!e->m.address[0])
		return;
	if (e->first_heartbeat_at && is_silent(k, e, now))
		reset_silent_link(e, now, acts);
	b->hb.heard_ms = e->last_message_at
				 ? (uint32_t)(now - e->last_message_at) + 1
				 : 0;
	/* Domain and address don't change: the first heartbeat has them. */
	if (!e->first_heartbeat_at || b->hb.probe || is_silent(k, e, now)) {
		b->hb.failure_domain = k->opt.failure_domain;
		b->hb.address = k->opt.address;
	} else {
		b->hb.failure_domain = (char *)protobuf_c_empty_string;
		b->hb.address = (char *)protobuf_c_empty_string;
	}
	if (!e->first_heartbeat_at)
		e->first_heartbeat_at = now;
	e->last_heartbeat_at = now;
	env.heartbeat = &b->hb;
	peer_send_locked(k, now, e, &env, acts);
}

static int by_domain(const void *x, const void *y)
{
	const struct rp_member_entry *a =
		*(const struct rp_member_entry *const *)x;
	const struct rp_member_entry *b =
		*(const struct rp_member_entry *const *)y;
	int diff = strcmp(a->m.failure_domain, b->m.failure_domain);

	return diff ? diff : strcmp(a->m.name, b->m.name);
}

/* Lists the members of other domains that are not gone, by domain. */
static size_t other_domain_members(struct rp_kernel *k,
				   struct rp_member_entry **list)
{
	apr_hash_index_t *h;
	size_t n = 0;

	for (h = apr_hash_first(NULL, k->node.members); h;
	     h = apr_hash_next(h)) {
		struct rp_member_entry *e = apr_hash_this_val(h);

		if (!member_same_domain(k, e) && !e->gone)
			list[n++] = e;
	}
	qsort(list, n, sizeof(struct rp_member_entry *), by_domain);
	return n;
}

/* Rank by name of this entry VM in its failure domain, of *size members. */
static unsigned own_rank(struct rp_kernel *k, unsigned *size)
{
	apr_hash_index_t *h;
	unsigned rank = 0;

	*size = 1;
	for (h = apr_hash_first(NULL, k->node.members); h;
	     h = apr_hash_next(h)) {
		const struct rp_member_entry *e = apr_hash_this_val(h);

		if (!member_same_domain(k, e) || e->gone)
			continue;
		++*size;
		rank += strcmp(e->m.name, k->opt.vm_name) < 0;
	}
	return rank;
}

/* Sends the digest to one member of each other domain, in turn. */
static void send_to_other_domains(struct rp_kernel *k, rp_ms now,
				  struct heartbeat *b, struct rp_actions *acts)
{
	size_t count = apr_hash_count(k->node.members), first, end;
	struct rp_member_entry **list =
		kernel_alloc((count + 1) * sizeof(struct rp_member_entry *));
	/* The rank makes the members of a domain send to different ones. */
	unsigned size, turn = own_rank(k, &size) + k->node.cross_round++;
	size_t n = other_domain_members(k, list);

	for (first = 0; first < n; first = end) {
		const char *domain = list[first]->m.failure_domain;

		for (end = first; end < n; end++)
			if (strcmp(list[end]->m.failure_domain, domain) != 0)
				break;
		heartbeat_send(k, now, list[first + turn % (end - first)], b,
			       acts);
	}
	free(list);
}

/* Whether a recent message to the member replaces the heartbeat. */
static int can_skip(const struct rp_kernel *k, const struct rp_member_entry *e,
		    rp_ms now)
{
	return e->last_sent_at + k->opt.heartbeat / 2 > now &&
	       e->last_heartbeat_at + SKIP_HEARTBEATS * k->opt.heartbeat > now;
}

static void send_to_own_domain(struct rp_kernel *k, rp_ms now,
			       struct heartbeat *b,
			       struct heartbeat *first_heartbeat,
			       struct rp_actions *acts)
{
	apr_hash_index_t *h;

	for (h = apr_hash_first(NULL, k->node.members); h;
	     h = apr_hash_next(h)) {
		struct rp_member_entry *e = apr_hash_this_val(h);

		if (e->gone)
			continue;
		/* The first heartbeat tells a new member of the others. */
		if (!e->first_heartbeat_at)
			heartbeat_send(k, now, e, first_heartbeat, acts);
		else if ((member_same_domain(k, e) ||
			  e->lease_wanted_until > now) &&
			 !can_skip(k, e, now))
			heartbeat_send(k, now, e, b, acts);
	}
}

void heartbeat_send_all(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	rp_ms load = count_tasks(k);
	apr_hash_index_t *h;
	struct heartbeat b;

	kernel_lock(k, k->node.lock);
	heartbeat_init(k, now, &b, load);
	for (h = apr_hash_first(NULL, k->node.members); h;
	     h = apr_hash_next(h)) {
		struct rp_member_entry *e = apr_hash_this_val(h);

		if (!e->gone)
			heartbeat_send(k, now, e, &b, acts);
	}
	kernel_unlock(k, k->node.lock);
}

void heartbeat_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	struct rp_node *n = &k->node;
	rp_ms load = 0;
	struct heartbeat b, digest;
	int own_due, cross_due;

	kernel_lock(k, n->lock);
	own_due = n->domain_heartbeat_due <= now;
	cross_due = n->cross_heartbeat_due <= now;
	if (own_due)
		n->domain_heartbeat_due =
			now + random_jitter(&n->random, k->opt.heartbeat);
	if (cross_due)
		n->cross_heartbeat_due =
			now +
			random_jitter(&n->random,
				      CROSS_HEARTBEATS * k->opt.heartbeat);
	kernel_unlock(k, n->lock);
	if (!own_due && !cross_due)
		return;
	load = count_tasks(k);
	kernel_lock(k, n->lock);
	heartbeat_init(k, now, &b, load);
	heartbeat_init(k, now, &digest, load);
	add_digest(k, now, &digest);
	if (own_due)
		send_to_own_domain(k, now, &b, &digest, acts);
	if (cross_due)
		send_to_other_domains(k, now, &digest, acts);
	kernel_unlock(k, n->lock);
	member_update_states(k, now, acts);
}

void heartbeat_probe(struct rp_kernel *k, rp_ms now, const char *name,
		     struct rp_actions *acts)
{
	struct rp_member_entry *e;
	struct heartbeat b;

	kernel_lock(k, k->node.lock);
	e = member_find(&k->node, name);
	if (e && !e->gone && e->probed_at + PROBE_INTERVAL_MS <= now) {
		e->probed_at = now;
		heartbeat_init(k, now, &b, 0);
		b.hb.probe = 1;
		heartbeat_send(k, now, e, &b, acts);
	}
	kernel_unlock(k, k->node.lock);
}

/* Applies the signs of life and forwards that the sender knows of. */
static void apply_seen(struct rp_kernel *k, rp_ms now, const RpHeartbeat *hb)
{
	size_t i;

	for (i = 0; i < hb->n_seen; i++) {
		const RpSeen *s = hb->seen[i];
		struct rp_member_entry *e;

		if (!s->name[0] || strlen(s->name) >= RP_NAME_MAX ||
		    !strcmp(s->name, k->opt.vm_name))
			continue;
		e = member_find_or_add(&k->node, s->name, now);
		if (member_note_alive(e, s->incarnation, now - s->age_ms,
				      now) &&
		    s->draining)
			e->leaving = 1;
	}
	for (i = 0; i < hb->n_forwards; i++) {
		const RpForward *f = hb->forwards[i];

		member_add_forward(k, now, f->vm, f->incarnation, f->to,
				   f->to_incarnation);
	}
}

/* Resets the link to the sender if messages from here don't reach it. */
static void reset_unheard_link(struct rp_kernel *k, rp_ms now,
			       struct rp_member_entry *e, uint32_t heard_ms,
			       struct rp_actions *acts)
{
	rp_ms limit = SILENT_HEARTBEATS * k->opt.heartbeat, unheard;

	/* A member of another domain gets a heartbeat only in its turn. */
	if (!member_same_domain(k, e))
		limit = (rp_ms)apr_hash_count(k->node.members) *
			CROSS_HEARTBEATS * SILENT_TURNS * k->opt.heartbeat;
	if (!e->first_heartbeat_at)
		return;
	unheard = heard_ms ? (rp_ms)heard_ms : now - e->first_heartbeat_at;
	if (unheard > limit)
		reset_silent_link(e, now, acts);
}

void heartbeat_received(struct rp_kernel *k, rp_ms now, const char *from,
			const RpHeartbeat *hb, struct rp_actions *acts)
{
	struct rp_member_entry *e;
	struct heartbeat b;

	kernel_lock(k, k->node.lock);
	e = member_find_or_add(&k->node, from, now);
	if (hb->address[0])
		str_copy(e->m.address, RP_ADDRESS_MAX, str_of(hb->address));
	if (hb->failure_domain[0])
		str_copy(e->m.failure_domain, RP_NAME_MAX,
			 str_of(hb->failure_domain));
	if (hb->draining)
		e->leaving = 1;
	e->m.table_version = hb->table_version;
	e->m.load = hb->load;
	apply_seen(k, now, hb);
	reset_unheard_link(k, now, e, hb->heard_ms, acts);
	if (hb->probe) {
		heartbeat_init(k, now, &b, 0);
		heartbeat_send(k, now, e, &b, acts);
	}
	kernel_unlock(k, k->node.lock);
	member_update_states(k, now, acts);
}
