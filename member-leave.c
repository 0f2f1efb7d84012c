/*
 * Leaving targets: the first entry VM that learns of one announces it to all
 * members.
 */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

/* Interval between scans for leaving targets, ms. */
#define LEAVING_SCAN_INTERVAL_MS 100
#define LEAVING_BATCH_MAX 64 /* targets in one message */

/* The targets of one message, with storage for their names. */
struct leaving_batch {
	RpLeaving msgs[LEAVING_BATCH_MAX];
	RpLeaving *list[LEAVING_BATCH_MAX];
	char names[LEAVING_BATCH_MAX][2][RP_NAME_MAX];
	size_t len;
};

static void batch_add(struct leaving_batch *b, struct rp_target *t)
{
	RpLeaving *msg = &b->msgs[b->len];

	rp_leaving__init(msg);
	msg->service = b->names[b->len][0];
	msg->target = b->names[b->len][1];
	str_copy(msg->service, RP_NAME_MAX, str_of(t->svc->name));
	str_copy(msg->target, RP_NAME_MAX, str_of(t->name));
	b->list[b->len++] = msg;
	t->leaving_announced = 1;
}

static void collect_service(struct leaving_batch *b,
			    const struct rp_service *svc)
{
	size_t i;

	for (i = 0; i < svc->ntargets && b->len < LEAVING_BATCH_MAX; i++)
		if (svc->targets[i]->leaving &&
		    !svc->targets[i]->leaving_announced)
			batch_add(b, svc->targets[i]);
}

static void collect_leaving(struct rp_kernel *k, struct leaving_batch *b)
{
	apr_hash_index_t *h;
	unsigned i;

	for (i = 0; i < RP_DISPATCH_SHARDS; i++) {
		struct rp_dispatch *d = &k->dispatch[i];

		kernel_lock(k, d->lock);
		for (h = apr_hash_first(NULL, d->services); h;
		     h = apr_hash_next(h))
			collect_service(b, apr_hash_this_val(h));
		kernel_unlock(k, d->lock);
	}
}

/* Whether the scan is due; schedules the next one. */
static int scan_is_due(struct rp_kernel *k, rp_ms now)
{
	int due;

	kernel_lock(k, k->node.lock);
	due = k->node.leaving_scan_due <= now &&
	      apr_hash_count(k->node.members) > 0;
	if (due)
		k->node.leaving_scan_due = now + LEAVING_SCAN_INTERVAL_MS;
	kernel_unlock(k, k->node.lock);
	return due;
}

void leaving_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	RpEnvelope env = RP_ENVELOPE__INIT;
	struct leaving_batch b = { .len = 0 };
	apr_hash_index_t *h;

	if (!scan_is_due(k, now))
		return;
	collect_leaving(k, &b);
	if (!b.len)
		return;
	env.n_leaving = b.len;
	env.leaving = b.list;
	kernel_lock(k, k->node.lock);
	for (h = apr_hash_first(NULL, k->node.members); h;
	     h = apr_hash_next(h)) {
		struct rp_member_entry *e = apr_hash_this_val(h);

		if (!e->gone && e->m.address[0])
			peer_send_locked(k, now, e, &env, acts);
	}
	kernel_unlock(k, k->node.lock);
}

void leaving_received(struct rp_kernel *k, rp_ms now, const RpLeaving *msg)
{
	struct rp_dispatch *d = dispatch_shard_of(k, str_of(msg->service));
	struct rp_service *svc;
	struct rp_target *t;

	kernel_lock(k, d->lock);
	svc = service_find(d, str_of(msg->service));
	t = svc ? apr_hash_get(svc->by_name, msg->target, APR_HASH_KEY_STRING)
		: NULL;
	if (t) {
		if (!t->leaving)
			t->leaving_since = now;
		t->leaving = 1;
		t->leaving_announced = 1;
	}
	kernel_unlock(k, d->lock);
}
