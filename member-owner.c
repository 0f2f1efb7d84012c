/* Who answers for an incarnation: itself, a member it was handed to, nobody. */

#include "rosemary-int.h"

#include <string.h>

/* After a member's end, the span in which its forward may still arrive, ms. */
#define FORWARD_GRACE_MS 3000
/* Lag of the list: an unknown VM is gone when no list had it so long, ms. */
#define UNKNOWN_GRACE_MS 30000
/* Forwards followed from one incarnation to the one that serves it. */
#define FORWARD_HOPS 16

static const struct rp_forward *
forward_find(const struct rp_node *n, const char *vm, uint64_t incarnation)
{
	const struct rp_forward *f;

	for (f = n->forwards; f; f = f->next)
		if (f->incarnation == incarnation && !strcmp(f->vm, vm))
			return f;
	return NULL;
}

void member_forward(struct rp_kernel *k, rp_ms now, const char *vm,
		    uint64_t incarnation, const char *to,
		    uint64_t to_incarnation)
{
	struct rp_forward *f;

	if (forward_find(&k->node, vm, incarnation))
		return;
	f = kernel_alloc(sizeof(*f));
	str_copy(f->vm, RP_NAME_MAX, str_of(vm));
	f->incarnation = incarnation;
	str_copy(f->to, RP_NAME_MAX, str_of(to));
	f->to_incarnation = to_incarnation;
	f->until = now + k->opt.key_lifetime + k->opt.max_timeout;
	f->next = k->node.forwards;
	k->node.forwards = f;
}

/* Whether a member is silent that might have taken over another's records. */
static int any_suspect(struct rp_kernel *k, rp_ms now)
{
	apr_hash_index_t *h;

	for (h = apr_hash_first(NULL, k->node.members); h; h = apr_hash_next(h))
		if (member_state(k, apr_hash_this_val(h), now) ==
		    RP_MEMBER_SUSPECT)
			return 1;
	return 0;
}

/*
 * The end of a member is told once its forward had time to arrive from all
 * who may know of it.
 */
static enum rp_owner ended_owner(struct rp_kernel *k, rp_ms ended, rp_ms now)
{
	if (ended + FORWARD_GRACE_MS > now || any_suspect(k, now))
		return RP_OWNER_UNREACHABLE;
	return RP_OWNER_GONE;
}

static enum rp_owner peer_owner(struct rp_kernel *k, rp_ms now, const char *vm,
				uint64_t incarnation)
{
	const struct rp_member_entry *e = member_find(&k->node, vm);
	rp_ms first = k->node.first_list_at;

	if (!e)
		return first && first + UNKNOWN_GRACE_MS <= now
			       ? RP_OWNER_GONE
			       : RP_OWNER_UNREACHABLE;
	if (e->m.incarnation > incarnation || e->gone)
		return ended_owner(k, e->replaced_at, now);
	if (e->link_down || member_state(k, e, now) == RP_MEMBER_SUSPECT)
		return RP_OWNER_UNREACHABLE;
	return RP_OWNER_PEER;
}

enum rp_owner member_owner(struct rp_kernel *k, rp_ms now, const char *vm,
			   uint64_t incarnation, char to[RP_NAME_MAX])
{
	const struct rp_forward *f;
	int hops = 0;

	while (hops++ < FORWARD_HOPS &&
	       (f = forward_find(&k->node, vm, incarnation))) {
		vm = f->to;
		incarnation = f->to_incarnation;
	}
	str_copy(to, RP_NAME_MAX, str_of(vm));
	if (strcmp(vm, k->opt.vm_name) != 0)
		return peer_owner(k, now, vm, incarnation);
	if (incarnation == k->opt.incarnation)
		return RP_OWNER_HERE;
	/* A later incarnation of this name: we are old. */
	if (incarnation > k->opt.incarnation)
		return RP_OWNER_UNREACHABLE;
	return ended_owner(k, k->node.started_at, now);
}

void member_unanswered(struct rp_kernel *k, const char *name)
{
	struct rp_member_entry *e;

	kernel_lock(k, k->node.lock);
	e = member_find(&k->node, name);
	if (e)
		e->link_down = 1;
	kernel_unlock(k, k->node.lock);
}

void member_down(struct rp_kernel *k, rp_ms now, const char *name,
		 struct rp_actions *acts)
{
	member_unanswered(k, name);
	beat_probe(k, now, name, acts);
}
