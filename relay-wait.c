/* Relayed calls in flight: resends them and answers for lost owners. */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

/* Interval between scans of the relayed calls, ms. */
#define RELAY_SCAN_INTERVAL_MS 100
/* Bounds of the backoff between resends of a call, ms. */
#define RELAY_RESEND_MAX_MS 4000
#define RELAY_RESEND_MS 500
/* Sends without a response until the link counts as silent. */
#define RELAY_SILENT_SENDS 2
/* Time without a response until the owner counts as unreachable, ms. */
#define RELAY_LOST_MS 3000
/*
 * Time without a response until an owner that has acknowledged the call counts
 * as unreachable, ms.
 */
#define RELAY_ACKED_LOST_MS 15000
#define RETRY_AFTER_UNREACHABLE_MS 1000

void relay_answer_no_owner(struct rp_kernel *k, rp_ms now, enum rp_owner why,
			   const char *owner, const struct rp_waiter *w,
			   struct rp_actions *acts)
{
	struct rp_answer *a;
	struct rp_status st;

	if (why == RP_OWNER_GONE) {
		rp_status_set(&st, RP_E_GONE, RP_STEP_RELAY, owner,
			      "the owner of the key is gone; whether the "
			      "submission ran is unknown");
		a = answer_status(RP_FAILED, &st, 0);
		a->may_have_run = 1;
	} else {
		rp_status_set(&st, RP_E_UNREACHABLE, RP_STEP_RELAY, owner,
			      "the owner of the key cannot be reached");
		a = answer_status(RP_REFUSED, &st, RETRY_AFTER_UNREACHABLE_MS);
	}
	answer_waiter(k, now, w, a, acts);
}

static ProtobufCBinaryData bytes_of(struct rp_str s)
{
	ProtobufCBinaryData b = { s.len, (uint8_t *)s.ptr };

	return b;
}

/*
 * The owner counts the timeout from its receipt of the call, which may have
 * been lost before: it is sent what is left of the caller's.
 */
static rp_ms timeout_left(const struct rp_relay *r, rp_ms now)
{
	rp_ms left = r->sub->timeout - (now - r->received_at);

	return left > 0 ? left : 1;
}

/* Encodes the submission, without its timeout; allocates the tasks. */
static void pack_submission(const struct rp_submission *sub, RpRelay *msg)
{
	RpTask *tasks = kernel_alloc(sub->ntasks * sizeof(*tasks));
	size_t i;

	msg->key_is_callers = sub->key_is_callers != 0;
	msg->service = bytes_of(sub->service);
	msg->team = bytes_of(sub->team);
	msg->is_request = sub->is_request != 0;
	msg->idempotent = sub->idempotent != 0;
	msg->n_tasks = sub->ntasks;
	msg->tasks = kernel_alloc(sub->ntasks * sizeof(RpTask *));
	for (i = 0; i < sub->ntasks; i++) {
		rp_task__init(&tasks[i]);
		tasks[i].id = bytes_of(sub->tasks[i].id);
		tasks[i].payload = bytes_of(sub->tasks[i].payload);
		msg->tasks[i] = &tasks[i];
	}
}

void relay_send(struct rp_kernel *k, rp_ms now, const struct rp_relay *r,
		struct rp_actions *acts)
{
	RpEnvelope env = RP_ENVELOPE__INIT;
	RpRelay msg = RP_RELAY__INIT, *list = &msg;
	struct rp_str key = { r->key, r->key_len };

	msg.relay_id = r->id;
	msg.op = (RpRelay__Op)r->op;
	msg.key = bytes_of(key);
	msg.wait = r->wait != 0;
	msg.attempt = r->unanswered_sends;
	msg.owner = (char *)r->owner;
	msg.owner_incarnation = r->owner_incarnation;
	/* The owner has the submission that it acknowledged: query it. */
	if (r->sub && r->acked) {
		msg.op = RP_RELAY__OP__QUERY;
	} else if (r->sub) {
		pack_submission(r->sub, &msg);
		msg.timeout_ms = timeout_left(r, now);
	}
	env.n_relays = 1;
	env.relays = &list;
	peer_send(k, now, r->sent_to, &env, acts);
	if (msg.n_tasks)
		free(msg.tasks[0]);
	free(msg.tasks);
}

/* What to do with a relayed call now. */
enum relay_step { RELAY_WAIT, RELAY_SEND, RELAY_END };

/* Resets the link after every RELAY_SILENT_SENDS sends without a response. */
static void reset_silent_link(struct rp_kernel *k, rp_ms now,
			      const struct rp_relay *r, struct rp_actions *acts)
{
	struct rp_member_entry *e = member_find(&k->node, r->sent_to);

	if (e && r->unanswered_sends % RELAY_SILENT_SENDS == 0)
		peer_reset_link(e, now, acts);
}

/* Decides the next step of a call; needs the node's lock. */
static enum relay_step relay_check(struct rp_kernel *k, rp_ms now,
				   struct rp_relay *r, enum rp_owner *owner,
				   struct rp_actions *acts)
{
	rp_ms timeout = r->acked ? RELAY_ACKED_LOST_MS : RELAY_LOST_MS;
	char to[RP_NAME_MAX];
	rp_ms backoff;

	*owner = member_find_owner(k, now, r->owner, r->owner_incarnation, to);
	if (*owner == RP_OWNER_GONE || *owner == RP_OWNER_HERE)
		return RELAY_END;
	if (now >= r->give_up_at || r->last_response_at + timeout <= now) {
		*owner = RP_OWNER_UNREACHABLE;
		return RELAY_END;
	}
	if (strcmp(to, r->sent_to) != 0) {
		/* The owner stopped; another member serves its keys. */
		memcpy(r->sent_to, to, sizeof(r->sent_to));
		r->resend_at = now;
	}
	if (r->resend_at > now)
		return RELAY_WAIT;
	r->unanswered_sends++;
	reset_silent_link(k, now, r, acts);
	backoff = RELAY_RESEND_MS
		  << (r->unanswered_sends < 4 ? r->unanswered_sends : 4);
	if (r->acked || backoff > RELAY_RESEND_MAX_MS)
		backoff = RELAY_RESEND_MAX_MS;
	r->resend_at = now + backoff;
	return RELAY_SEND;
}

/* Answers a call for its owner and frees it. */
static void relay_end(struct rp_kernel *k, rp_ms now, struct rp_relay *r,
		      enum rp_owner owner, struct rp_actions *acts)
{
	struct rp_str key = { r->key, r->key_len };

	if (owner == RP_OWNER_HERE) {
		relay_serve_adopted(k, now, r->sub, key, r->wait, &r->waiter,
				    acts);
	} else {
		if (owner == RP_OWNER_UNREACHABLE)
			member_mark_link_down(k, r->sent_to);
		relay_answer_no_owner(k, now, owner, r->owner, &r->waiter,
				      acts);
	}
	relay_free(r);
}

/* A call that is to be resent or ended. */
struct due_relay {
	struct rp_relay copy; /* used to resend it */
	struct rp_relay *end; /* the call to end, NULL to resend it */
	enum rp_owner owner;
};

static size_t collect_due(struct rp_kernel *k, rp_ms now, struct due_relay *due,
			  struct rp_actions *acts)
{
	struct rp_node *n = &k->node;
	apr_hash_index_t *h;
	size_t len = 0;

	for (h = apr_hash_first(NULL, n->relays); h; h = apr_hash_next(h)) {
		struct rp_relay *r = apr_hash_this_val(h);
		struct due_relay *d = &due[len];
		enum relay_step step = relay_check(k, now, r, &d->owner, acts);

		if (step == RELAY_WAIT)
			continue;
		d->end = step == RELAY_END ? r : NULL;
		d->copy = *r;
		if (r->sub && !d->end)
			rp_submission_ref(r->sub);
		len++;
		if (d->end)
			apr_hash_set(n->relays, &r->id, sizeof(r->id), NULL);
	}
	return len;
}

void relay_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	struct rp_node *n = &k->node;
	struct due_relay *due;
	size_t len, i;

	kernel_lock(k, n->lock);
	if (n->relay_scan_due > now || !apr_hash_count(n->relays)) {
		kernel_unlock(k, n->lock);
		return;
	}
	n->relay_scan_due = now + RELAY_SCAN_INTERVAL_MS;
	due = kernel_alloc(apr_hash_count(n->relays) * sizeof(*due));
	len = collect_due(k, now, due, acts);
	kernel_unlock(k, n->lock);
	for (i = 0; i < len; i++) {
		if (due[i].end) {
			relay_end(k, now, due[i].end, due[i].owner, acts);
			continue;
		}
		relay_send(k, now, &due[i].copy, acts);
		rp_submission_unref(due[i].copy.sub);
	}
	free(due);
}
