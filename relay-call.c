/*
 * Calls for keys that another incarnation owns. They are forwarded to the owner
 * named in the key or in its claim; none of their tasks starts here.
 */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

/* Time for the owner to answer a call that doesn't wait for results, ms. */
#define RELAY_TIMEOUT_MS 3000
/* Time beyond the submission's timeout for a call that waits, ms. */
#define RELAY_GRACE_MS 5000
/* Time until a call is resent for the first time, ms. */
#define RELAY_RESEND_MS 500

void relay_free(struct rp_relay *r)
{
	rp_submission_unref(r->sub);
	free(r);
}

void relay_finish(struct rp_kernel *k)
{
	apr_hash_index_t *h;

	for (h = apr_hash_first(NULL, k->node.relays); h; h = apr_hash_next(h))
		relay_free(apr_hash_this_val(h));
}

/* Time until the call is answered as unreachable. */
static rp_ms relay_timeout(const struct rp_kernel *k, const struct rp_relay *r)
{
	if (r->op == RP_RELAY__OP__CANCEL || !r->wait)
		return RELAY_TIMEOUT_MS;
	return (r->sub ? r->sub->timeout : k->opt.max_timeout) + RELAY_GRACE_MS;
}

/* Adds the call to the node's relays; needs the node's lock. */
static void relay_add(struct rp_kernel *k, rp_ms now, struct rp_relay *r)
{
	struct rp_node *n = &k->node;

	r->id = ++n->next_relay;
	r->received_at = r->last_response_at = now;
	r->resend_at = now + RELAY_RESEND_MS;
	r->give_up_at = now + relay_timeout(k, r);
	apr_hash_set(n->relays, &r->id, sizeof(r->id), r);
}

/* Routes the call to the member that answers for its owner; takes over r. */
static void relay_route(struct rp_kernel *k, rp_ms now, struct rp_relay *r,
			struct rp_actions *acts)
{
	struct rp_str key = { r->key, r->key_len };
	struct rp_relay copy;
	enum rp_owner owner;

	kernel_lock(k, k->node.lock);
	owner = member_find_owner(k, now, r->owner, r->owner_incarnation,
				  r->sent_to);
	if (owner == RP_OWNER_PEER)
		relay_add(k, now, r);
	copy = *r; /* r may be answered once the lock is released */
	kernel_unlock(k, k->node.lock);
	if (owner == RP_OWNER_PEER) {
		relay_send(k, now, &copy, acts);
		return;
	}
	if (owner == RP_OWNER_HERE) {
		relay_serve_adopted(k, now, r->sub, key, r->wait, &r->waiter,
				    acts);
	} else {
		if (owner == RP_OWNER_UNREACHABLE)
			heartbeat_probe(k, now, r->sent_to, acts);
		relay_answer_no_owner(k, now, owner, r->owner, &r->waiter,
				      acts);
	}
	relay_free(r);
}

/* Starts a call to the owner, unless a peer relayed it to this entry VM. */
static void relay_call(struct rp_kernel *k, rp_ms now, int op,
		       struct rp_submission *sub, struct rp_str key,
		       const char *owner, uint64_t incarnation, int wait,
		       const struct rp_waiter *w, struct rp_actions *acts)
{
	struct rp_relay *r;

	if (w->peer[0]) {
		/* A call is relayed only once; the caller's VM resends it. */
		relay_answer_no_owner(k, now, RP_OWNER_UNREACHABLE, owner, w,
				      acts);
		return;
	}
	r = kernel_alloc(sizeof(*r));
	r->op = op;
	r->waiter = *w;
	r->waiter.next = NULL;
	r->sub = sub ? rp_submission_ref(sub) : NULL;
	r->key_len = key.len;
	str_copy(r->key, sizeof(r->key), key);
	str_copy(r->owner, sizeof(r->owner), str_of(owner));
	r->owner_incarnation = incarnation;
	r->wait = wait;
	relay_route(k, now, r, acts);
}

void relay_submit_to(struct rp_kernel *k, rp_ms now, struct rp_submission *sub,
		     const char *owner_vm, uint64_t owner_incarnation, int wait,
		     const struct rp_waiter *w, struct rp_actions *acts)
{
	relay_call(k, now, RP_RELAY__OP__SUBMIT, sub, sub->key, owner_vm,
		   owner_incarnation, wait, w, acts);
}

void relay_query_to(struct rp_kernel *k, rp_ms now, struct rp_str key,
		    const char *owner_vm, uint64_t owner_incarnation, int wait,
		    const struct rp_waiter *w, struct rp_actions *acts)
{
	relay_call(k, now, RP_RELAY__OP__QUERY, NULL, key, owner_vm,
		   owner_incarnation, wait, w, acts);
}

void relay_cancel_to(struct rp_kernel *k, rp_ms now, struct rp_str key,
		     const char *owner_vm, uint64_t owner_incarnation,
		     const struct rp_waiter *w, struct rp_actions *acts)
{
	relay_call(k, now, RP_RELAY__OP__CANCEL, NULL, key, owner_vm,
		   owner_incarnation, 1, w, acts);
}

void relay_submit(struct rp_kernel *k, rp_ms now, struct rp_submission *sub,
		  const struct rp_key *key, int wait, const struct rp_waiter *w,
		  struct rp_actions *acts)
{
	struct rp_status st;

	if (key->incarnation == k->opt.incarnation &&
	    !strcmp(key->vm, k->opt.vm_name)) {
		rp_status_set(&st, RP_E_INPUT, RP_STEP_PARSE, "",
			      "key: was not issued");
		answer_waiter(k, now, w, answer_status(RP_REFUSED, &st, 0),
			      acts);
		return;
	}
	relay_submit_to(k, now, sub, key->vm, key->incarnation, wait, w, acts);
}

/* Relays a query or cancellation of a key without a record here. */
static void relay_by_key(struct rp_kernel *k, rp_ms now, int op,
			 struct rp_str text, int wait,
			 const struct rp_waiter *w, struct rp_actions *acts)
{
	struct rp_status st;
	struct rp_key key;

	if (key_parse(text, &key) && (key.incarnation != k->opt.incarnation ||
				      strcmp(key.vm, k->opt.vm_name) != 0)) {
		relay_call(k, now, op, NULL, text, key.vm, key.incarnation,
			   wait, w, acts);
		return;
	}
	rp_status_set(&st, RP_E_UNKNOWN_KEY, RP_STEP_RELAY, "",
		      "key: no submission is known");
	answer_waiter(k, now, w, answer_status(RP_REFUSED, &st, 0), acts);
}

void relay_query(struct rp_kernel *k, rp_ms now, struct rp_str key, int wait,
		 const struct rp_waiter *w, struct rp_actions *acts)
{
	relay_by_key(k, now, RP_RELAY__OP__QUERY, key, wait, w, acts);
}

void relay_cancel(struct rp_kernel *k, rp_ms now, struct rp_str key,
		  const struct rp_waiter *w, struct rp_actions *acts)
{
	relay_by_key(k, now, RP_RELAY__OP__CANCEL, key, 1, w, acts);
}

void relay_answer_received(struct rp_kernel *k, rp_ms now,
			   const RpRelayAnswer *msg, struct rp_actions *acts)
{
	struct rp_node *n = &k->node;
	uint64_t id = msg->relay_id;
	struct rp_relay *r;

	kernel_lock(k, n->lock);
	r = apr_hash_get(n->relays, &id, sizeof(id));
	if (r && msg->ack) {
		r->acked = 1;
		r->unanswered_sends = 0;
		r->last_response_at = now;
		r = NULL;
	}
	if (r)
		apr_hash_set(n->relays, &id, sizeof(id), NULL);
	kernel_unlock(k, n->lock);
	if (!r)
		return; /* late, duplicate, or only an acknowledgement */
	answer_waiter(k, now, &r->waiter, relay_unpack_answer(msg), acts);
	relay_free(r);
}

void relay_send_answer(struct rp_kernel *k, rp_ms now,
		       const struct rp_waiter *w, struct rp_answer *a,
		       struct rp_actions *acts)
{
	RpEnvelope env = RP_ENVELOPE__INIT;
	RpRelayAnswer msg, *list = &msg;

	relay_pack_answer(a, &msg);
	msg.relay_id = w->relay_id;
	env.n_relay_answers = 1;
	env.relay_answers = &list;
	peer_send(k, now, w->peer, &env, acts);
	relay_pack_free(&msg);
	rp_answer_unref(a);
}
