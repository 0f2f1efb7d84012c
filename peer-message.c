/* Messages from other entry VMs, taken apart. */

#include "rosemary-int.h"

#include <string.h>

/* Takes the message as a sign of life; 0 when it is to be ignored. */
static int witness(struct rp_kernel *k, rp_ms now, const RpEnvelope *env)
{
	struct rp_member_entry *e;
	int ok;

	if (!env->from[0] || strlen(env->from) >= RP_NAME_MAX ||
	    !strcmp(env->from, k->opt.vm_name) ||
	    strcmp(env->to, k->opt.vm_name))
		return 0;
	kernel_lock(k, k->node.lock);
	e = member_get(&k->node, env->from, now);
	ok = member_sign(e, env->incarnation, now, now);
	if (ok) {
		e->direct_at = now;
		e->link_down = 0;
	}
	kernel_unlock(k, k->node.lock);
	return ok;
}

static void take_apart(struct rp_kernel *k, rp_ms now, const RpEnvelope *env,
		       struct rp_actions *acts)
{
	size_t i;

	if (env->heartbeat) {
		beat_received(k, now, env->from, env->heartbeat, acts);
		table_peer_heard(k, now, env->from,
				 env->heartbeat->table_version, acts);
	}
	if (env->table_ask)
		table_peer_asked(k, now, env->from, env->table_since, acts);
	if (env->table_delta.len)
		table_take_delta(k, now, env->table_delta.data,
				 env->table_delta.len, acts);
	for (i = 0; i < env->n_leaving; i++)
		leave_received(k, now, env->leaving[i]);
	for (i = 0; i < env->n_relays; i++)
		relay_received(k, now, env->from, env->relays[i], acts);
	for (i = 0; i < env->n_relay_answers; i++)
		relay_answered(k, now, env->relay_answers[i], acts);
}

void peer_message(struct rp_kernel *k, rp_ms now, const void *data, size_t len,
		  struct rp_actions *acts)
{
	RpEnvelope *env = rp_envelope__unpack(NULL, len, data);

	if (!env)
		return;
	trace_witness(k, now, env->hlc);
	if (witness(k, now, env))
		take_apart(k, now, env, acts);
	rp_envelope__free_unpacked(env, NULL);
}
