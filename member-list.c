/*
 * The platform's list of VMs, which lags behind: polled with jitter and passed
 * to the dispatch shards. Until the first answer the VMs of the settings are
 * used.
 */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

static void apply_vm_list(struct rp_kernel *k, rp_ms now,
			  const struct rp_vm *vms, size_t nvms,
			  struct rp_actions *acts)
{
	uint64_t seq;
	unsigned i;

	kernel_lock(k, k->node.lock);
	seq = ++k->node.list_seq;
	kernel_unlock(k, k->node.lock);
	for (i = 0; i < RP_DISPATCH_SHARDS; i++)
		dispatch_apply_list(&k->dispatch[i], now, seq, vms, nvms, acts);
}

void member_init(struct rp_kernel *k, rp_ms now)
{
	uint64_t state = k->opt.incarnation;
	struct rp_node *n = &k->node;
	struct rp_actions acts;

	n->lock = kernel_lock_new(k);
	apr_pool_create(&n->pool, k->pool);
	n->platform_requests = hash_new(n->pool);
	n->members = hash_new(n->pool);
	n->relays = hash_new(n->pool);
	n->random = k->opt.seed ^ k->opt.incarnation;
	/* Answers to earlier incarnations must match no call of this one. */
	n->next_relay = random_next(&state);
	n->started_at = now;
	n->list_due = now;
	n->domain_heartbeat_due = now;
	n->cross_heartbeat_due = now;
	if (!k->opt.nseeds)
		return;
	/* Nothing waits for targets yet, so no actions result. */
	rp_actions_init(&acts);
	member_apply_list(k, now, k->opt.seeds, k->opt.nseeds, 0);
	apply_vm_list(k, now, k->opt.seeds, k->opt.nseeds, &acts);
	rp_actions_finish(&acts);
}

void member_finish(struct rp_kernel *k)
{
	struct rp_node *n = &k->node;
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, n->platform_requests); i;
	     i = apr_hash_next(i))
		free(apr_hash_this_val(i));
	for (i = apr_hash_first(NULL, n->members); i; i = apr_hash_next(i))
		free(apr_hash_this_val(i));
	while (n->forwards) {
		struct rp_forward *f = n->forwards;

		n->forwards = f->next;
		free(f);
	}
	relay_finish(k);
	handover_finish(k);
	adopted_finish(k);
	view_unref(n->view);
	kernel_lock_free(k, n->lock);
}

static void vm_list_done(struct rp_kernel *k, rp_ms now, void *ctx,
			 const struct rp_event *ev, struct rp_actions *acts)
{
	(void)ctx;
	kernel_lock(k, k->node.lock);
	k->node.list_in_flight = 0;
	k->node.list_due =
		now + random_jitter(&k->node.random, k->opt.list_poll);
	kernel_unlock(k, k->node.lock);
	if (ev->platform.outcome == RP_PLATFORM_UNCHANGED)
		member_expire_unlisted(k, now);
	if (ev->platform.outcome != RP_PLATFORM_DONE)
		return;
	member_apply_list(k, now, ev->platform.vms, ev->platform.nvms, 1);
	apply_vm_list(k, now, ev->platform.vms, ev->platform.nvms, acts);
	member_update_states(k, now, acts);
}

/* Requests the list from the platform when the poll is due. */
static void poll_vm_list(struct rp_kernel *k, rp_ms now,
			 struct rp_actions *acts)
{
	int ask;

	if (!k->opt.list_poll)
		return;
	kernel_lock(k, k->node.lock);
	ask = !k->node.list_in_flight && k->node.list_due <= now;
	if (ask)
		k->node.list_in_flight = 1;
	kernel_unlock(k, k->node.lock);
	if (ask)
		platform_request(k, now, RP_PLATFORM_LIST, NULL, 0,
				 vm_list_done, NULL, acts);
}

void member_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	poll_vm_list(k, now, acts);
	heartbeat_tick(k, now, acts);
	leaving_tick(k, now, acts);
	relay_tick(k, now, acts);
}
