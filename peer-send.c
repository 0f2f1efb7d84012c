/* Sends messages to other entry VMs: adds the header, packs and counts. */

#include "rosemary-int.h"

#include <stdlib.h>

void peer_send_locked(struct rp_kernel *k, rp_ms now, struct rp_member_entry *e,
		      RpEnvelope *env, struct rp_actions *acts)
{
	struct rp_action *a = action_add(acts, RP_ACTION_PEER);
	size_t len;

	env->from = k->opt.vm_name;
	env->incarnation = k->opt.incarnation;
	env->hlc = trace_stamp(k, now);
	env->to = (char *)e->m.name;
	env->sent_ms = now;
	e->last_sent_at = now;
	env->echo_ms = e->peer_clock;
	str_copy(a->peer.name, RP_NAME_MAX, str_of(e->m.name));
	str_copy(a->peer.address, RP_ADDRESS_MAX, str_of(e->m.address));
	len = rp_envelope__get_packed_size(env);
	a->peer.data = rp_blob_new(NULL, len);
	if (!a->peer.data)
		abort();
	rp_envelope__pack(env, (uint8_t *)a->peer.data->data);
	k->node.peer_messages++;
	k->node.peer_bytes += len;
}

void peer_send(struct rp_kernel *k, rp_ms now, const char *name,
	       RpEnvelope *env, struct rp_actions *acts)
{
	struct rp_member_entry *e;

	kernel_lock(k, k->node.lock);
	e = member_find(&k->node, name);
	if (e && e->m.address[0])
		peer_send_locked(k, now, e, env, acts);
	kernel_unlock(k, k->node.lock);
}

void peer_reset_link(struct rp_member_entry *e, rp_ms now,
		     struct rp_actions *acts)
{
	struct rp_action *a = action_add(acts, RP_ACTION_PEER_RESET);

	e->link_reset_at = now;
	str_copy(a->peer.name, RP_NAME_MAX, str_of(e->m.name));
	str_copy(a->peer.address, RP_ADDRESS_MAX, str_of(e->m.address));
}
