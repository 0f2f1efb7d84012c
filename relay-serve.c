/* Serves calls that a peer relayed to this entry VM as the key's owner. */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

/* Sends of a call without a response until the link to the peer is reset. */
#define SILENT_ATTEMPTS 2

static struct rp_str str_of_bytes(ProtobufCBinaryData b)
{
	struct rp_str s = { (const char *)b.data, b.len };

	return s;
}

/* Decodes the submission; NULL if the message is malformed. */
static struct rp_submission *unpack_submission(const RpRelay *msg)
{
	struct rp_submission_spec spec = {
		.key = str_of_bytes(msg->key),
		.service = str_of_bytes(msg->service),
		.team = str_of_bytes(msg->team),
		.key_is_callers = msg->key_is_callers,
		.is_request = msg->is_request,
		.idempotent = msg->idempotent,
		.timeout = msg->timeout_ms,
		.ntasks = msg->n_tasks,
	};
	struct rp_submission *sub;
	struct rp_task_spec *tasks;
	size_t i;

	if (!msg->n_tasks || msg->n_tasks > RP_TASKS_MAX)
		return NULL;
	tasks = kernel_alloc(msg->n_tasks * sizeof(*tasks));
	for (i = 0; i < msg->n_tasks; i++) {
		tasks[i].id = str_of_bytes(msg->tasks[i]->id);
		tasks[i].payload = str_of_bytes(msg->tasks[i]->payload);
	}
	spec.tasks = tasks;
	sub = rp_submission_new(&spec);
	free(tasks);
	return sub;
}

/* Answers with a status only. */
static void answer_status_only(struct rp_kernel *k, rp_ms now,
			       enum rp_state state, enum rp_code code,
			       const char *message, const struct rp_waiter *w,
			       struct rp_actions *acts)
{
	struct rp_status st;

	rp_status_set(&st, code, RP_STEP_RELAY, "", "%s", message);
	answer_waiter(k, now, w, answer_status(state, &st, 0), acts);
}

/* Whether the missing record proves that the key was never used. */
static int is_unused_key(struct rp_kernel *k, rp_ms now, struct rp_str text,
			 int *expired)
{
	struct rp_key key;

	*expired = 0;
	return key_parse(text, &key) &&
	       adopted_has_issuer(k, now, &key, expired);
}

/* Answers for a key without a record; its issuer's records are kept here. */
static void answer_missing_record(struct rp_kernel *k, rp_ms now, int is_submit,
				  struct rp_str key, const struct rp_waiter *w,
				  struct rp_actions *acts)
{
	int expired;
	int unused = is_unused_key(k, now, key, &expired);

	if (expired)
		answer_status_only(k, now, RP_REFUSED, RP_E_EXPIRED,
				   "key: has expired", w, acts);
	else if (is_submit && unused)
		answer_status_only(k, now, RP_NOT_RUN, RP_E_DRAINING,
				   "the entry VM that issued the key has "
				   "stopped; the key was never used",
				   w, acts);
	else
		answer_status_only(k, now, RP_REFUSED, RP_E_UNKNOWN_KEY,
				   "key: no submission is known", w, acts);
}

void relay_serve_adopted(struct rp_kernel *k, rp_ms now,
			 struct rp_submission *sub, struct rp_str key, int wait,
			 const struct rp_waiter *w, struct rp_actions *acts)
{
	struct rp_sub_shard *s = sub_shard_of(k, key);
	int known;

	if (sub && sub_join(k, now, sub, wait, w, acts))
		return;
	kernel_lock(k, s->lock);
	known = record_find(s, key) != NULL;
	kernel_unlock(k, s->lock);
	if (known)
		sub_query(k, now, key, wait, w, acts);
	else
		answer_missing_record(k, now, sub != NULL, key, w, acts);
}

/* Serves a call for a key that this incarnation owns. */
static void serve_own(struct rp_kernel *k, rp_ms now, const RpRelay *msg,
		      const struct rp_waiter *w, struct rp_actions *acts)
{
	struct rp_str key = str_of_bytes(msg->key);
	struct rp_submission *sub;

	if (msg->op == RP_RELAY__OP__QUERY) {
		sub_query(k, now, key, msg->wait, w, acts);
		return;
	}
	if (msg->op == RP_RELAY__OP__CANCEL) {
		sub_cancel(k, now, key, w, acts);
		return;
	}
	sub = unpack_submission(msg);
	if (!sub) {
		answer_status_only(k, now, RP_REFUSED, RP_E_INPUT,
				   "tasks: malformed", w, acts);
		return;
	}
	if (rp_submission_hold(sub, k->opt.budget) < 0) {
		answer_status_only(k, now, RP_REFUSED, RP_E_FULL,
				   "no memory for the submission", w, acts);
		rp_submission_unref(sub);
		return;
	}
	/* The claim names this incarnation, so the key had a record here. */
	if (!sub->key_is_callers)
		sub_submit(k, now, sub, msg->wait, w, acts);
	else if (!sub_join(k, now, sub, msg->wait, w, acts))
		answer_status_only(k, now, RP_REFUSED, RP_E_EXPIRED,
				   "key: its outcome is no longer known", w,
				   acts);
	rp_submission_unref(sub);
}

/* Serves a call for a key of an incarnation whose records are kept here. */
static void serve_adopted(struct rp_kernel *k, rp_ms now, const RpRelay *msg,
			  const struct rp_waiter *w, struct rp_actions *acts)
{
	struct rp_submission *sub = NULL;

	if (msg->op == RP_RELAY__OP__SUBMIT)
		sub = unpack_submission(msg);
	relay_serve_adopted(k, now, sub, str_of_bytes(msg->key), msg->wait, w,
			    acts);
	rp_submission_unref(sub);
}

/* Acknowledges a resent call, whose earlier responses got lost. */
static void acknowledge_resend(struct rp_kernel *k, rp_ms now,
			       const RpRelay *msg, const char *from,
			       struct rp_actions *acts)
{
	RpEnvelope env = RP_ENVELOPE__INIT;
	RpRelayAnswer ack = RP_RELAY_ANSWER__INIT, *list = &ack;
	struct rp_member_entry *e;

	if (msg->attempt >= SILENT_ATTEMPTS) {
		kernel_lock(k, k->node.lock);
		e = member_find(&k->node, from);
		if (e)
			peer_reset_link(e, now, acts);
		kernel_unlock(k, k->node.lock);
	}
	ack.relay_id = msg->relay_id;
	ack.ack = 1;
	env.n_relay_answers = 1;
	env.relay_answers = &list;
	peer_send(k, now, from, &env, acts);
}

void relay_received(struct rp_kernel *k, rp_ms now, const char *from,
		    const RpRelay *msg, struct rp_actions *acts)
{
	struct rp_waiter w = { .relay_id = msg->relay_id };
	char to[RP_NAME_MAX];
	enum rp_owner owner;

	str_copy(w.peer, sizeof(w.peer), str_of(from));
	kernel_lock(k, k->node.lock);
	owner = member_find_owner(k, now, msg->owner, msg->owner_incarnation,
				  to);
	kernel_unlock(k, k->node.lock);
	if (owner == RP_OWNER_PEER)
		owner = RP_OWNER_UNREACHABLE; /* the sender gets the forward */
	if (owner != RP_OWNER_HERE) {
		relay_answer_no_owner(k, now, owner, msg->owner, &w, acts);
		return;
	}
	if (msg->attempt)
		acknowledge_resend(k, now, msg, from, acts);
	if (msg->owner_incarnation == k->opt.incarnation &&
	    !strcmp(msg->owner, k->opt.vm_name))
		serve_own(k, now, msg, &w, acts);
	else
		serve_adopted(k, now, msg, &w, acts);
}
