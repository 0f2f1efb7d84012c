/* Decodes messages from other entry VMs and dispatches their contents. */

#include "rosemary-int.h"

#include <string.h>

/* Records the sender's sign of life; 0 if the message is to be ignored. */
static int note_sender(struct rp_kernel *k, rp_ms now, const RpEnvelope *env,
		       struct rp_actions *acts)
{
	struct rp_member_entry *e;
	uint64_t before;
	int ok, new_incarnation;

	if (!env->from[0] || strlen(env->from) >= RP_NAME_MAX ||
	    !strcmp(env->from, k->opt.vm_name) ||
	    strcmp(env->to, k->opt.vm_name))
		return 0;
	kernel_lock(k, k->node.lock);
	e = member_find_or_add(&k->node, env->from, now);
	before = e->m.incarnation;
	ok = member_note_alive(e, env->incarnation, now, now);
	if (ok) {
		e->last_message_at = now;
		e->link_down = 0;
		if (env->sent_ms > e->peer_clock)
			e->peer_clock = env->sent_ms;
		if (env->echo_ms > e->echoed_clock && env->echo_ms <= now &&
		    env->echo_ms >= k->node.started_at)
			e->echoed_clock = env->echo_ms;
	}
	new_incarnation = e->m.incarnation != before;
	kernel_unlock(k, k->node.lock);
	/* The shards need the sender in their view before its messages. */
	if (new_incarnation)
		member_update_states(k, now, acts);
	return ok;
}

static void dispatch_contents(struct rp_kernel *k, rp_ms now,
			      const RpEnvelope *env, struct rp_actions *acts)
{
	size_t i;

	if (env->heartbeat) {
		heartbeat_received(k, now, env->from, env->heartbeat, acts);
		table_version_received(k, now, env->from,
				       env->heartbeat->table_version, acts);
	}
	if (env->table_ask)
		table_request_received(k, now, env->from, env->table_since,
				       acts);
	if (env->table_delta.len)
		table_apply_delta(k, now, env->table_delta.data,
				  env->table_delta.len, acts);
	for (i = 0; i < env->n_reports; i++)
		limit_report_received(k, now, env->from, env->reports[i], acts);
	for (i = 0; i < env->n_grants; i++)
		limit_grant_received(k, now, env->from, env->grants[i], acts);
	if (env->handover)
		handover_part_received(k, now, env->from, env->incarnation,
				       env->handover, acts);
	if (env->handover_ack)
		handover_ack_received(k, now, env->from, env->handover_ack,
				      acts);
	for (i = 0; i < env->n_leaving; i++)
		leaving_received(k, now, env->leaving[i]);
	for (i = 0; i < env->n_relays; i++)
		relay_received(k, now, env->from, env->relays[i], acts);
	for (i = 0; i < env->n_relay_answers; i++)
		relay_answer_received(k, now, env->relay_answers[i], acts);
}

void peer_message(struct rp_kernel *k, rp_ms now, const void *data, size_t len,
		  struct rp_actions *acts)
{
	RpEnvelope *env = rp_envelope__unpack(NULL, len, data);

	if (!env)
		return;
	trace_merge_stamp(k, now, env->hlc);
	if (note_sender(k, now, env, acts))
		dispatch_contents(k, now, env, acts);
	rp_envelope__free_unpacked(env, NULL);
}
