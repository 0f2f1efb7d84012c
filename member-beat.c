/*
 * Heartbeats. Within a failure domain every member sends to every other.
 * To each other domain it sends to one member at a time, in turn, with a
 * digest of its own domain, so that the cost per node grows with the size
 * of a domain and not with that of the deployment.
 */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

/* Heartbeat spans between messages to other failure domains. */
#define CROSS_BEATS 2
/* Heartbeat spans without a sign after which a link counts as silent. */
#define SILENT_BEATS 4
/* Turns without a sign after which a link to another domain is silent. */
#define SILENT_TURNS 3
/* Least span between resets of one link, ms. */
#define RESET_SPAN_MS 2000
/* Least span between probes of one member, ms. */
#define PROBE_SPAN_MS 500
/* Heartbeat spans for which other messages may stand for heartbeats. */
#define SKIP_BEATS 4
#define FORWARDS_MAX 16 /* forwards told in one heartbeat */
#define SEEN_MAX 64	/* members in one digest */

/* A heartbeat with the memory that its lists need. */
struct beat {
	RpHeartbeat hb;
	RpSeen seen[SEEN_MAX];
	RpSeen *seen_list[SEEN_MAX];
	RpForward forwards[FORWARDS_MAX];
	RpForward *forward_list[FORWARDS_MAX];
};

static rp_ms beat_load(struct rp_kernel *k)
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

/* Tells of the incarnations that others serve; the lock is held. */
static void beat_forwards(struct rp_kernel *k, rp_ms now, struct beat *b)
{
	struct rp_forward **at = &k->node.forwards;

	while (*at) {
		struct rp_forward *f = *at;
		RpForward *msg = &b->forwards[b->hb.n_forwards];

		if (f->until <= now) {
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

static void beat_init(struct rp_kernel *k, rp_ms now, struct beat *b,
		      rp_ms load)
{
	rp_heartbeat__init(&b->hb);
	b->hb.draining = atomic_load(&k->draining) != 0;
	b->hb.load = (double)load;
	b->hb.table_version = table_version(k);
	beat_forwards(k, now, b);
}

/* Adds what is known of the members of this failure domain. */
static void beat_digest(struct rp_kernel *k, rp_ms now, struct beat *b)
{
	apr_hash_index_t *h;

	for (h = apr_hash_first(NULL, k->node.members); h;
	     h = apr_hash_next(h)) {
		const struct rp_member_entry *e = apr_hash_this_val(h);
		RpSeen *s = &b->seen[b->hb.n_seen];

		if (!member_is_near(k, e) || !e->m.incarnation || e->gone ||
		    b->hb.n_seen == SEEN_MAX)
			continue;
		rp_seen__init(s);
		s->name = (char *)e->m.name;
		s->incarnation = e->m.incarnation;
		s->age_ms = (uint32_t)(now - e->heard_at);
		s->draining = e->leaving;
		b->seen_list[b->hb.n_seen++] = s;
	}
	b->hb.seen = b->seen_list;
}

/* Whether nothing came from the member for so long that a link is silent. */
static int is_silent(const struct rp_kernel *k, const struct rp_member_entry *e,
		     rp_ms now)
{
	int beats = member_is_near(k, e) ? SILENT_BEATS
					 : CROSS_BEATS * SILENT_BEATS;

	return e->heard_at + beats * k->opt.heartbeat <= now;
}

static void reset_silent(struct rp_member_entry *e, rp_ms now,
			 struct rp_actions *acts)
{
	if (e->reset_at + RESET_SPAN_MS <= now)
		peer_reset(e, now, acts);
}

/* Sends a heartbeat to one member; the lock is held. */
static void beat_send(struct rp_kernel *k, rp_ms now, struct rp_member_entry *e,
		      struct beat *b, struct rp_actions *acts)
{
	RpEnvelope env = RP_ENVELOPE__INIT;

	if (!e->m.address[0])
		return;
	if (e->announced_at && is_silent(k, e, now))
		reset_silent(e, now, acts);
	b->hb.heard_ms = e->direct_at ? (uint32_t)(now - e->direct_at) + 1 : 0;
	/* What does not change is told once. */
	if (!e->announced_at || b->hb.probe || is_silent(k, e, now)) {
		b->hb.failure_domain = k->opt.failure_domain;
		b->hb.address = k->opt.address;
	} else {
		b->hb.failure_domain = (char *)protobuf_c_empty_string;
		b->hb.address = (char *)protobuf_c_empty_string;
	}
	if (!e->announced_at)
		e->announced_at = now;
	e->beat_at = now;
	env.heartbeat = &b->hb;
	peer_send_to(k, now, e, &env, acts);
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

/* The members of other domains that are not gone, sorted by domain. */
static size_t far_members(struct rp_kernel *k, struct rp_member_entry **list)
{
	apr_hash_index_t *h;
	size_t n = 0;

	for (h = apr_hash_first(NULL, k->node.members); h;
	     h = apr_hash_next(h)) {
		struct rp_member_entry *e = apr_hash_this_val(h);

		if (!member_is_near(k, e) && !e->gone)
			list[n++] = e;
	}
	qsort(list, n, sizeof(struct rp_member_entry *), by_domain);
	return n;
}

/* This entry VM's place within its failure domain, by name. */
static unsigned own_rank(struct rp_kernel *k, unsigned *size)
{
	apr_hash_index_t *h;
	unsigned rank = 0;

	*size = 1;
	for (h = apr_hash_first(NULL, k->node.members); h;
	     h = apr_hash_next(h)) {
		const struct rp_member_entry *e = apr_hash_this_val(h);

		if (!member_is_near(k, e) || e->gone)
			continue;
		++*size;
		rank += strcmp(e->m.name, k->opt.vm_name) < 0;
	}
	return rank;
}

/* One member of each other domain gets the digest, in turn. */
static void beat_cross(struct rp_kernel *k, rp_ms now, struct beat *b,
		       struct rp_actions *acts)
{
	size_t count = apr_hash_count(k->node.members), first, end;
	struct rp_member_entry **list =
		kernel_alloc((count + 1) * sizeof(struct rp_member_entry *));
	unsigned size, turn = own_rank(k, &size) + k->node.round++;
	size_t n = far_members(k, list);

	for (first = 0; first < n; first = end) {
		const char *domain = list[first]->m.failure_domain;

		for (end = first; end < n; end++)
			if (strcmp(list[end]->m.failure_domain, domain) != 0)
				break;
		beat_send(k, now, list[first + turn % (end - first)], b, acts);
	}
	free(list);
}

/* Whether another message went to the member just now in its place. */
static int can_skip(const struct rp_kernel *k, const struct rp_member_entry *e,
		    rp_ms now)
{
	return e->sent_at + k->opt.heartbeat / 2 > now &&
	       e->beat_at + SKIP_BEATS * k->opt.heartbeat > now;
}

static void beat_near(struct rp_kernel *k, rp_ms now, struct beat *b,
		      struct beat *greeting, struct rp_actions *acts)
{
	apr_hash_index_t *h;

	for (h = apr_hash_first(NULL, k->node.members); h;
	     h = apr_hash_next(h)) {
		struct rp_member_entry *e = apr_hash_this_val(h);

		if (e->gone)
			continue;
		/* A new member learns of the others from its greeting. */
		if (!e->announced_at)
			beat_send(k, now, e, greeting, acts);
		else if ((member_is_near(k, e) || e->partner_until > now) &&
			 !can_skip(k, e, now))
			beat_send(k, now, e, b, acts);
	}
}

void beat_all(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	rp_ms load = beat_load(k);
	apr_hash_index_t *h;
	struct beat b;

	kernel_lock(k, k->node.lock);
	beat_init(k, now, &b, load);
	for (h = apr_hash_first(NULL, k->node.members); h;
	     h = apr_hash_next(h)) {
		struct rp_member_entry *e = apr_hash_this_val(h);

		if (!e->gone)
			beat_send(k, now, e, &b, acts);
	}
	kernel_unlock(k, k->node.lock);
}

void beat_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	struct rp_node *n = &k->node;
	rp_ms load = 0;
	struct beat b, digest;
	int near, cross;

	kernel_lock(k, n->lock);
	near = n->beat_due <= now;
	cross = n->cross_due <= now;
	if (near)
		n->beat_due = now + random_jitter(&n->random, k->opt.heartbeat);
	if (cross)
		n->cross_due =
			now + random_jitter(&n->random,
					    CROSS_BEATS * k->opt.heartbeat);
	kernel_unlock(k, n->lock);
	if (!near && !cross)
		return;
	load = beat_load(k);
	kernel_lock(k, n->lock);
	beat_init(k, now, &b, load);
	beat_init(k, now, &digest, load);
	beat_digest(k, now, &digest);
	if (near)
		beat_near(k, now, &b, &digest, acts);
	if (cross)
		beat_cross(k, now, &digest, acts);
	kernel_unlock(k, n->lock);
	member_judge(k, now, acts);
}

void beat_probe(struct rp_kernel *k, rp_ms now, const char *name,
		struct rp_actions *acts)
{
	struct rp_member_entry *e;
	struct beat b;

	kernel_lock(k, k->node.lock);
	e = member_find(&k->node, name);
	if (e && !e->gone && e->probed_at + PROBE_SPAN_MS <= now) {
		e->probed_at = now;
		beat_init(k, now, &b, 0);
		b.hb.probe = 1;
		beat_send(k, now, e, &b, acts);
	}
	kernel_unlock(k, k->node.lock);
}

/* Signs of life of others that the sender passes on. */
static void seen_received(struct rp_kernel *k, rp_ms now, const RpHeartbeat *hb)
{
	size_t i;

	for (i = 0; i < hb->n_seen; i++) {
		const RpSeen *s = hb->seen[i];
		struct rp_member_entry *e;

		if (!s->name[0] || strlen(s->name) >= RP_NAME_MAX ||
		    !strcmp(s->name, k->opt.vm_name))
			continue;
		e = member_get(&k->node, s->name, now);
		if (member_sign(e, s->incarnation, now - s->age_ms, now) &&
		    s->draining)
			e->leaving = 1;
	}
	for (i = 0; i < hb->n_forwards; i++) {
		const RpForward *f = hb->forwards[i];

		member_forward(k, now, f->vm, f->incarnation, f->to,
			       f->to_incarnation);
	}
}

/* The sender does not hear us: our link to it has gone silent. */
static void check_heard(struct rp_kernel *k, rp_ms now,
			struct rp_member_entry *e, uint32_t heard_ms,
			struct rp_actions *acts)
{
	rp_ms limit = SILENT_BEATS * k->opt.heartbeat, unheard;

	if (!member_is_near(k, e))
		limit = (rp_ms)apr_hash_count(k->node.members) * CROSS_BEATS *
			SILENT_TURNS * k->opt.heartbeat;
	if (!e->announced_at)
		return;
	unheard = heard_ms ? (rp_ms)heard_ms : now - e->announced_at;
	if (unheard > limit)
		reset_silent(e, now, acts);
}

void beat_received(struct rp_kernel *k, rp_ms now, const char *from,
		   const RpHeartbeat *hb, struct rp_actions *acts)
{
	struct rp_member_entry *e;
	struct beat b;

	kernel_lock(k, k->node.lock);
	e = member_get(&k->node, from, now);
	if (hb->address[0])
		str_copy(e->m.address, RP_ADDRESS_MAX, str_of(hb->address));
	if (hb->failure_domain[0])
		str_copy(e->m.failure_domain, RP_NAME_MAX,
			 str_of(hb->failure_domain));
	if (hb->draining)
		e->leaving = 1;
	e->m.table_version = hb->table_version;
	e->m.load = hb->load;
	seen_received(k, now, hb);
	check_heard(k, now, e, hb->heard_ms, acts);
	if (hb->probe) {
		beat_init(k, now, &b, 0);
		beat_send(k, now, e, &b, acts);
	}
	kernel_unlock(k, k->node.lock);
	member_judge(k, now, acts);
}
