/* Receiver side of the handover: takes over a stopping entry VM's records. */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

void adopted_finish(struct rp_kernel *k)
{
	while (k->node.adopted) {
		struct rp_adopted *a = k->node.adopted;

		k->node.adopted = a->next;
		free(a);
	}
	while (k->node.incoming_handovers) {
		struct rp_incoming_handover *in = k->node.incoming_handovers;

		k->node.incoming_handovers = in->next;
		free(in);
	}
}

/* Progress of the incarnation's handover; needs the node's lock. */
static struct rp_incoming_handover *
incoming_find_or_add(struct rp_node *n, const char *vm, uint64_t incarnation)
{
	struct rp_incoming_handover *in;

	for (in = n->incoming_handovers; in; in = in->next)
		if (in->incarnation == incarnation && !strcmp(in->vm, vm))
			return in;
	in = kernel_alloc(sizeof(*in));
	str_copy(in->vm, RP_NAME_MAX, str_of(vm));
	in->incarnation = incarnation;
	in->next_part = 1;
	in->next = n->incoming_handovers;
	n->incoming_handovers = in;
	return in;
}

static const struct rp_adopted *
adopted_find(const struct rp_node *n, const char *vm, uint64_t incarnation)
{
	const struct rp_adopted *a;

	for (a = n->adopted; a; a = a->next)
		if (a->incarnation == incarnation && !strcmp(a->vm, vm))
			return a;
	return NULL;
}

int adopted_has_issuer(struct rp_kernel *k, rp_ms now, const struct rp_key *key,
		       int *expired)
{
	const struct rp_adopted *a;

	kernel_lock(k, k->node.lock);
	a = adopted_find(&k->node, key->vm, key->incarnation);
	*expired = a && key->expires_at <= now + a->clock_offset;
	kernel_unlock(k, k->node.lock);
	return a != NULL;
}

/* Stores one record; 0 if it is malformed or the shard is full. */
static int adopt_record(struct rp_kernel *k, rp_ms now,
			const RpHandoverRecord *rec)
{
	struct rp_str key = { (const char *)rec->key.data, rec->key.len };
	struct rp_sub_shard *s = sub_shard_of(k, key);
	struct rp_answer *a = NULL;
	int ok;

	if (!key.len || key.len >= RP_KEY_MAX)
		return 0;
	if (rec->has_answer && rec->answer)
		a = relay_unpack_answer(rec->answer);
	kernel_lock(k, s->lock);
	ok = record_adopt(s, key, rec->digest, now + rec->expires_in_ms,
			  (enum rp_state)rec->final_state, a);
	kernel_unlock(k, s->lock);
	return ok;
}

/* Ends a complete handover: this entry VM now answers for its incarnations. */
static void adopt_incarnations(struct rp_kernel *k, rp_ms now, const char *from,
			       uint64_t incarnation, const RpHandover *msg)
{
	struct rp_node *n = &k->node;
	size_t i;

	kernel_lock(k, n->lock);
	for (i = 0; i < msg->n_incarnations; i++) {
		const RpForward *f = msg->incarnations[i];
		struct rp_adopted *a;

		if (adopted_find(n, f->vm, f->incarnation))
			continue;
		a = kernel_alloc(sizeof(*a));
		str_copy(a->vm, RP_NAME_MAX, str_of(f->vm));
		a->incarnation = f->incarnation;
		a->clock_offset = f->clock_ms - now;
		a->next = n->adopted;
		n->adopted = a;
	}
	member_add_forward(k, now, from, incarnation, k->opt.vm_name,
			   k->opt.incarnation);
	kernel_unlock(k, n->lock);
}

static void send_ack(struct rp_kernel *k, rp_ms now, const char *to,
		     uint64_t part, int refused, struct rp_actions *acts)
{
	RpHandoverAck ack = RP_HANDOVER_ACK__INIT;
	RpEnvelope env = RP_ENVELOPE__INIT;

	ack.part = part;
	ack.refused = refused != 0;
	env.handover_ack = &ack;
	peer_send(k, now, to, &env, acts);
}

/* Whether the part is the next one or a duplicate, which sets *duplicate. */
static int accept_part(struct rp_kernel *k, const char *from,
		       uint64_t incarnation, uint64_t part, int *duplicate)
{
	struct rp_incoming_handover *in;
	int ok;

	kernel_lock(k, k->node.lock);
	in = incoming_find_or_add(&k->node, from, incarnation);
	if (part == 1)
		in->next_part = 1; /* the sender restarted the handover */
	ok = part <= in->next_part;
	*duplicate = part < in->next_part;
	if (part == in->next_part)
		in->next_part++;
	kernel_unlock(k, k->node.lock);
	return ok;
}

void handover_part_received(struct rp_kernel *k, rp_ms now, const char *from,
			    uint64_t incarnation, const RpHandover *msg,
			    struct rp_actions *acts)
{
	int duplicate, ok = 1;
	size_t i;

	if (atomic_load(&k->draining)) {
		send_ack(k, now, from, msg->part, 1, acts);
		return;
	}
	if (!accept_part(k, from, incarnation, msg->part, &duplicate))
		return;
	for (i = 0; i < msg->n_records && !duplicate && ok; i++)
		ok = adopt_record(k, now, msg->records[i]);
	if (ok && msg->last)
		adopt_incarnations(k, now, from, incarnation, msg);
	send_ack(k, now, from, msg->part, !ok, acts);
}
