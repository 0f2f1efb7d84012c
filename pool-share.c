/*
 * The list of targets on VMs that do not read it from the store.
 *
 * The leader reads the list and sends changes to the VMs that may have to lead
 * without the store: some of each failure domain. A list that every VM reads
 * would cost bytes in proportion to VMs times targets.
 */

#include "pool.h"

#include <stdlib.h>
#include <string.h>

/* VMs of each failure domain that get the list. */
#define VMS_PER_DOMAIN 3
/* Interval at which the members that get the list are chosen again. */
#define CHOOSE_INTERVAL_MS 300
/* Entries of a frame, which heartbeats have to wait for. */
#define ENTRIES_PER_FRAME 100

static struct pool_listing *get_entry(struct pool *p, const char *id)
{
	struct pool_listing *e =
		apr_hash_get(p->listings, id, APR_HASH_KEY_STRING);

	if (e)
		return e;
	/* Entries are kept until the process ends. */
	e = apr_pcalloc(p->pool, sizeof(*e));
	str_copy(e->l.id, sizeof(e->l.id), str_of(id));
	e->removed = 1;
	apr_hash_set(p->listings, e->l.id, APR_HASH_KEY_STRING, e);
	return e;
}

static void mark_changed(struct pool *p, struct pool_listing *e,
			 int64_t version)
{
	e->version = version;
	e->to_send = p->listings_changed = 1;
}

static int listings_equal(const struct sched_listing *a,
			  const struct sched_listing *b)
{
	size_t i;

	if (a->nlabels != b->nlabels || a->ready != b->ready ||
	    a->incarnation != b->incarnation ||
	    a->capacity.cpu != b->capacity.cpu ||
	    a->capacity.memory != b->capacity.memory ||
	    a->capacity.accelerators != b->capacity.accelerators)
		return 0;
	for (i = 0; i < a->nlabels; i++)
		if (strcmp(a->labels[i], b->labels[i]) != 0)
			return 0;
	return !strcmp(a->address, b->address) &&
	       !strcmp(a->service, b->service) &&
	       !strcmp(a->failure_domain, b->failure_domain);
}

void pool_share_listed(struct pool *p, const struct sched_listing *l,
		       int64_t version)
{
	struct pool_listing *e = get_entry(p, l->id);

	if (!e->removed && listings_equal(&e->l, l))
		return;
	e->l = *l;
	e->leaves_at = l->stays ? p->now + l->stays : 0;
	e->removed = 0;
	mark_changed(p, e, version);
}

void pool_share_removed(struct pool *p, const char *id, int64_t version)
{
	struct pool_listing *e =
		apr_hash_get(p->listings, id, APR_HASH_KEY_STRING);

	if (!e || e->removed)
		return;
	e->removed = 1;
	mark_changed(p, e, version);
}

void pool_share_read_up_to(struct pool *p, int64_t version)
{
	p->listing_version = version;
}

/* Messages of some listings. */
struct message {
	PoolListings msg;
	PoolListing *listings;
	PoolListing **ptrs;
	char *(*labels)[SCHED_LABELS_MAX];
};

static void encode(struct message *m, const struct pool *p,
		   struct pool_listing *e)
{
	size_t n = m->msg.n_listings++, i;
	PoolListing *msg = m->ptrs[n] = &m->listings[n];
	struct sched_listing *l = &e->l;

	pool_listing__init(msg);
	msg->id = l->id;
	msg->version = e->version;
	msg->removed = e->removed;
	if (e->removed)
		return;
	msg->address = l->address;
	msg->service = l->service;
	msg->failure_domain = l->failure_domain;
	for (i = 0; i < l->nlabels; i++)
		m->labels[n][i] = l->labels[i];
	msg->labels = m->labels[n];
	msg->n_labels = l->nlabels;
	msg->incarnation = l->incarnation;
	msg->ready = l->ready;
	if (e->leaves_at)
		msg->leaves_ms = e->leaves_at + p->store_clock_offset;
	msg->cpu = (uint64_t)l->capacity.cpu;
	msg->memory = (uint64_t)l->capacity.memory;
	msg->accelerators = (uint64_t)l->capacity.accelerators;
}

/* Encodes the entries changed after a version, or those not sent yet. */
static void message_init(struct message *m, struct pool *p, int64_t after,
			 int unsent)
{
	size_t n = apr_hash_count(p->listings) + 1;
	apr_hash_index_t *i;
	void *value;

	pool_listings__init(&m->msg);
	m->listings = calloc(n, sizeof(*m->listings));
	m->ptrs = calloc(n, sizeof(*m->ptrs));
	m->labels = calloc(n, sizeof(*m->labels));
	m->msg.listings = m->ptrs;
	m->msg.version = p->listing_version;
	for (i = apr_hash_first(NULL, p->listings); i; i = apr_hash_next(i)) {
		struct pool_listing *e;

		apr_hash_this(i, NULL, NULL, &value);
		e = value;
		if (unsent ? e->to_send : e->version > after)
			encode(m, p, e);
		if (unsent)
			e->to_send = 0;
	}
}

static void message_finish(struct message *m)
{
	free(m->listings);
	free(m->ptrs);
	free(m->labels);
}

/* The last frame has the version up to which the list is complete then. */
static void send_message(struct pool_member *to, const struct message *m)
{
	PoolFrame frame = POOL_FRAME__INIT;
	PoolListings part = POOL_LISTINGS__INIT;
	size_t sent = 0;

	frame.body_case = POOL_FRAME__BODY_LISTINGS;
	frame.listings = &part;
	do {
		part.listings = m->msg.listings + sent;
		part.n_listings = m->msg.n_listings - sent;
		if (part.n_listings > ENTRIES_PER_FRAME)
			part.n_listings = ENTRIES_PER_FRAME;
		sent += part.n_listings;
		part.version = sent == m->msg.n_listings ? m->msg.version : 0;
		pool_link_send(to->link, &frame);
	} while (sent < m->msg.n_listings);
	to->listing_version = m->msg.version;
	to->gets_listings = 1;
}

static int is_chosen(const struct pool *p, const struct pool_member *m)
{
	return pool_domain_rank(p, m->vm, m->failure_domain, m->processor) <
	       VMS_PER_DOMAIN;
}

/* Sends all that a newly chosen member does not know. */
static void choose_members(struct pool *p)
{
	struct pool_member *m;

	for (m = p->members; m; m = m->next) {
		struct message msg;

		if (!m->link || m->gets_listings || !is_chosen(p, m))
			continue;
		message_init(&msg, p, m->listing_version, 0);
		send_message(m, &msg);
		message_finish(&msg);
	}
}

static void send_changes(struct pool *p)
{
	struct pool_member *m;
	struct message msg;

	message_init(&msg, p, 0, 1);
	for (m = p->members; m; m = m->next)
		if (m->link && m->gets_listings)
			send_message(m, &msg);
	message_finish(&msg);
	p->listings_changed = 0;
}

void pool_share_flush(struct pool *p)
{
	if (!p->leading || !p->listing_version || !p->sched.targets_loaded)
		return;
	if (p->listings_changed)
		send_changes(p);
	if (p->now - p->listings_sent_at < CHOOSE_INTERVAL_MS)
		return;
	p->listings_sent_at = p->now;
	choose_members(p);
}

/* --- on a member -------------------------------------------------------- */

static rp_ms stays_for(const struct pool *p, int64_t leaves_ms)
{
	rp_ms left = leaves_ms - p->store_clock_offset - p->now;

	if (!leaves_ms)
		return 0;
	return left > 0 ? left : 1;
}

static void decode(struct pool *p, const PoolListing *msg)
{
	struct sched_listing l;
	size_t i;

	if (msg->removed) {
		pool_share_removed(p, msg->id, msg->version);
		return;
	}
	memset(&l, 0, sizeof(l));
	str_copy(l.id, sizeof(l.id), str_of(msg->id));
	str_copy(l.address, sizeof(l.address), str_of(msg->address));
	str_copy(l.service, sizeof(l.service), str_of(msg->service));
	str_copy(l.failure_domain, sizeof(l.failure_domain),
		 str_of(msg->failure_domain));
	for (i = 0; i < msg->n_labels && i < SCHED_LABELS_MAX; i++)
		str_copy(l.labels[l.nlabels++], RP_NAME_MAX,
			 str_of(msg->labels[i]));
	l.incarnation = msg->incarnation;
	l.ready = msg->ready;
	l.stays = stays_for(p, msg->leaves_ms);
	l.capacity.cpu = (int64_t)msg->cpu;
	l.capacity.memory = (int64_t)msg->memory;
	l.capacity.accelerators = (int64_t)msg->accelerators;
	pool_share_listed(p, &l, msg->version);
}

void pool_listings_received(struct pool *p, const PoolListings *msg)
{
	size_t i;

	for (i = 0; i < msg->n_listings; i++)
		decode(p, msg->listings[i]);
	if (msg->version)
		p->listing_version = msg->version;
}
