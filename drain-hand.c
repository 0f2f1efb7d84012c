/* Sender side of the handover: sends a stopping entry VM's records in parts. */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

#define PART_RECORDS_MAX 256 /* records in one part */
/* Size of its answers from which a part takes no more records, bytes. */
#define PART_BYTES_FULL ((size_t)256 * 1024)
/* Time until an unacknowledged part is resent, ms. */
#define PART_RESEND_MS 500
/* Sends of a part until another successor is tried. */
#define PART_SENDS_MAX 3
/* Time until the drain continues without a successor, ms. */
#define HANDOVER_TIMEOUT_MS 10000

void handover_finish(struct rp_kernel *k)
{
	free(k->node.drain.packed);
	free(k->node.drain.tried_members);
}

/* Sets every shard's cursor to its first record. */
static void rewind_cursors(struct rp_kernel *k)
{
	unsigned i;

	for (i = 0; i < RP_SUB_SHARDS; i++) {
		struct rp_sub_shard *s = &k->subs[i];

		kernel_lock(k, s->lock);
		s->handover_next = s->by_age.first;
		kernel_unlock(k, s->lock);
	}
}

void handover_start(struct rp_kernel *k, rp_ms now)
{
	k->node.drain.give_up_at = now + HANDOVER_TIMEOUT_MS;
}

static int was_tried(const struct rp_drain *dr, const char *name)
{
	size_t i;

	for (i = 0; i < dr->ntried_members; i++)
		if (!strcmp(dr->tried_members[i], name))
			return 1;
	return 0;
}

/* Preference as a successor, highest first: own failure domain, then hash. */
static uint64_t successor_rank(const struct rp_kernel *k,
			       const struct rp_member *m)
{
	uint64_t seed = str_hash(str_of(m->name)) ^ k->opt.incarnation;
	uint64_t order = random_next(&seed) >> 1;

	if (!strcmp(m->failure_domain, k->opt.failure_domain))
		order |= (uint64_t)1 << 63;
	return order;
}

/* The best live member that was not tried yet, or NULL. */
static const struct rp_member *best_successor(const struct rp_kernel *k,
					      const struct rp_view *v)
{
	const struct rp_member *best = NULL;
	size_t i;

	for (i = 0; v && i < v->nmembers; i++) {
		const struct rp_member *m = &v->members[i];

		if (m->state != RP_MEMBER_LIVE || !m->incarnation ||
		    was_tried(&k->node.drain, m->name))
			continue;
		if (!best || successor_rank(k, m) > successor_rank(k, best))
			best = m;
	}
	return best;
}

/* Chooses the next successor and restarts the handover; 0 if there is none. */
static int choose_successor(struct rp_kernel *k)
{
	struct rp_drain *dr = &k->node.drain;
	struct rp_view *v = member_view_ref(k);
	const struct rp_member *m = best_successor(k, v);

	if (m) {
		str_copy(dr->successor, sizeof(dr->successor), str_of(m->name));
		dr->successor_incarnation = m->incarnation;
		dr->tried_members =
			kernel_realloc(dr->tried_members,
				       (dr->ntried_members + 1) * RP_NAME_MAX);
		memcpy(dr->tried_members[dr->ntried_members++], dr->successor,
		       RP_NAME_MAX);
		dr->part = 0;
		dr->is_last_part = 0;
		rewind_cursors(k);
	} else {
		dr->successor[0] = '\0';
		dr->ntried_members = 0; /* try all again until the timeout */
	}
	view_unref(v);
	return m != NULL;
}

/* A part under construction; answers are referenced until it is packed. */
struct part {
	RpHandover msg;
	RpHandoverRecord records[PART_RECORDS_MAX];
	RpHandoverRecord *list[PART_RECORDS_MAX];
	RpRelayAnswer answers[PART_RECORDS_MAX];
	struct rp_answer *answer_refs[PART_RECORDS_MAX];
	char keys[PART_RECORDS_MAX][RP_KEY_MAX];
	size_t bytes; /* total size of the answers */
};

static void part_add(struct part *p, const struct rp_record *r, rp_ms now)
{
	size_t i = p->msg.n_records++;
	RpHandoverRecord *out = &p->records[i];

	rp_handover_record__init(out);
	memcpy(p->keys[i], r->key, RP_KEY_MAX);
	out->key.data = (uint8_t *)p->keys[i];
	out->key.len = r->key_len;
	out->digest = r->digest;
	out->final_state = (int32_t)r->final_state;
	out->expires_in_ms = r->expires_at - now;
	p->list[i] = out;
	if (!r->answer)
		return;
	p->answer_refs[i] = rp_answer_ref(r->answer);
	relay_pack_answer(r->answer, &p->answers[i]);
	out->has_answer = 1;
	out->answer = &p->answers[i];
	p->bytes += r->answer->bytes;
}

/* Adds records from the shards' cursors on; 1 if these are the last ones. */
static int part_fill(struct rp_kernel *k, rp_ms now, struct part *p)
{
	unsigned i;

	for (i = 0; i < RP_SUB_SHARDS; i++) {
		struct rp_sub_shard *s = &k->subs[i];
		int full = 0;

		kernel_lock(k, s->lock);
		while (s->handover_next && !full) {
			part_add(p, s->handover_next, now);
			s->handover_next = s->handover_next->next;
			full = p->msg.n_records == PART_RECORDS_MAX ||
			       p->bytes >= PART_BYTES_FULL;
		}
		kernel_unlock(k, s->lock);
		if (full)
			return 0;
	}
	return 1;
}

/*
 * Lists the incarnations whose records are all in the handover: this one and
 * those that it took over itself. The caller frees the array.
 */
static size_t list_incarnations(struct rp_kernel *k, rp_ms now, RpForward **out)
{
	const struct rp_adopted *a;
	RpForward *f;
	size_t n = 1;

	for (a = k->node.adopted; a; a = a->next)
		n++;
	f = kernel_alloc(n * sizeof(*f));
	*out = f;
	rp_forward__init(f);
	f->vm = k->opt.vm_name;
	f->incarnation = k->opt.incarnation;
	f->clock_ms = now;
	for (a = k->node.adopted; a; a = a->next) {
		rp_forward__init(++f);
		f->vm = (char *)a->vm;
		f->incarnation = a->incarnation;
		f->clock_ms = now + a->clock_offset;
	}
	return n;
}

static void part_pack(struct rp_kernel *k, rp_ms now, struct part *p)
{
	struct rp_drain *dr = &k->node.drain;
	RpForward *forwards, **list;
	size_t n = list_incarnations(k, now, &forwards), i;

	list = kernel_alloc(n * sizeof(RpForward *));
	for (i = 0; i < n; i++)
		list[i] = &forwards[i];
	p->msg.part = dr->part;
	p->msg.last = dr->is_last_part != 0;
	p->msg.records = p->list;
	p->msg.n_incarnations = dr->is_last_part ? n : 0;
	p->msg.incarnations = list;
	free(dr->packed);
	dr->packed_len = rp_handover__get_packed_size(&p->msg);
	dr->packed = kernel_alloc(dr->packed_len + 1);
	rp_handover__pack(&p->msg, dr->packed);
	free(list);
	free(forwards);
}

/* Builds and packs the next part, kept for resends until acknowledged. */
static void part_build_next(struct rp_kernel *k, rp_ms now)
{
	struct rp_drain *dr = &k->node.drain;
	struct part *p = kernel_alloc(sizeof(*p));
	size_t i;

	rp_handover__init(&p->msg);
	dr->part++;
	dr->part_sends = 0;
	dr->is_last_part = part_fill(k, now, p);
	part_pack(k, now, p);
	for (i = 0; i < p->msg.n_records; i++) {
		if (!p->answer_refs[i])
			continue;
		relay_pack_free(&p->answers[i]);
		rp_answer_unref(p->answer_refs[i]);
	}
	free(p);
}

static void part_send(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	struct rp_drain *dr = &k->node.drain;
	RpEnvelope env = RP_ENVELOPE__INIT;

	env.handover = rp_handover__unpack(NULL, dr->packed_len, dr->packed);
	if (!env.handover)
		abort();
	peer_send(k, now, dr->successor, &env, acts);
	rp_handover__free_unpacked(env.handover, NULL);
	dr->part_sends++;
	dr->next_step_at = now + PART_RESEND_MS;
}

/*
 * Ends the handover if there is no successor by the timeout. The outcome of
 * this incarnation's keys will then be unknown.
 */
static void skip_handover(struct rp_kernel *k, rp_ms now)
{
	int members;

	kernel_lock(k, k->node.lock);
	members = (int)apr_hash_count(k->node.members);
	kernel_unlock(k, k->node.lock);
	if (!members || k->node.drain.give_up_at <= now)
		drain_enter(k, now, RP_DRAIN_ANNOUNCE);
}

void handover_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	struct rp_drain *dr = &k->node.drain;

	if (!dr->successor[0] || dr->part_sends >= PART_SENDS_MAX) {
		if (!choose_successor(k)) {
			skip_handover(k, now);
			return;
		}
		part_build_next(k, now);
	}
	part_send(k, now, acts);
}

void handover_ack_received(struct rp_kernel *k, rp_ms now, const char *from,
			   const RpHandoverAck *ack, struct rp_actions *acts)
{
	struct rp_drain *dr = &k->node.drain;

	if (dr->phase != RP_DRAIN_HANDOVER ||
	    strcmp(dr->successor, from) != 0 || ack->part != dr->part)
		return;
	if (ack->refused) {
		dr->successor[0] = '\0';
		handover_tick(k, now, acts);
		return;
	}
	if (!dr->is_last_part) {
		part_build_next(k, now);
		part_send(k, now, acts);
		return;
	}
	kernel_lock(k, k->node.lock);
	member_add_forward(k, now, k->opt.vm_name, k->opt.incarnation,
			   dr->successor, dr->successor_incarnation);
	kernel_unlock(k, k->node.lock);
	drain_enter(k, now, RP_DRAIN_ANNOUNCE);
}
