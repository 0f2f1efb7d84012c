/*
 * Finds who answers for an incarnation's keys: the incarnation itself, the
 * member that took over its records, or nobody.
 */

#include "rosemary-int.h"

#include <string.h>

/* Time after a member's end in which its forward may still arrive, ms. */
#define FORWARD_GRACE_MS 3000
/* Time after the first list until an unknown VM counts as gone, ms. */
#define UNKNOWN_GRACE_MS 30000
/* Bound on the chain of forwards that is followed. */
#define FORWARD_HOPS_MAX 16

static const struct rp_forward *
forward_find(const struct rp_node *n, const char *vm, uint64_t incarnation)
{
	const struct rp_forward *f;

	for (f = n->forwards; f; f = f->next)
		if (f->incarnation == incarnation && !strcmp(f->vm, vm))
			return f;
	return NULL;
}

void member_add_forward(struct rp_kernel *k, rp_ms now, const char *vm,
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
	f->expires_at = now + k->opt.key_lifetime + k->opt.max_timeout;
	f->next = k->node.forwards;
	k->node.forwards = f;
}

/* Whether a member is suspect: it may have taken over records unnoticed. */
static int any_member_suspect(struct rp_kernel *k, rp_ms now)
{
	apr_hash_index_t *h;

	for (h = apr_hash_first(NULL, k->node.members); h; h = apr_hash_next(h))
		if (member_current_state(k, apr_hash_this_val(h), now) ==
		    RP_MEMBER_SUSPECT)
			return 1;
	return 0;
}

/*
 * The owner state of an ended incarnation. It is reported as gone only once a
 * forward had time to arrive from every member that may know of one.
 */
static enum rp_owner owner_after_end(struct rp_kernel *k, rp_ms ended_at,
				     rp_ms now)
{
	if (ended_at + FORWARD_GRACE_MS > now || any_member_suspect(k, now))
		return RP_OWNER_UNREACHABLE;
	return RP_OWNER_GONE;
}

static enum rp_owner owner_at_member(struct rp_kernel *k, rp_ms now,
				     const char *vm, uint64_t incarnation)
{
	const struct rp_member_entry *e = member_find(&k->node, vm);
	rp_ms first_list_at = k->node.first_list_at;

	if (!e)
		return first_list_at && first_list_at + UNKNOWN_GRACE_MS <= now
			       ? RP_OWNER_GONE
			       : RP_OWNER_UNREACHABLE;
	if (e->m.incarnation > incarnation || e->gone)
		return owner_after_end(k, e->ended_at, now);
	if (e->link_down ||
	    member_current_state(k, e, now) == RP_MEMBER_SUSPECT)
		return RP_OWNER_UNREACHABLE;
	return RP_OWNER_PEER;
}

enum rp_owner member_find_owner(struct rp_kernel *k, rp_ms now, const char *vm,
				uint64_t incarnation, char to[RP_NAME_MAX])
{
	const struct rp_forward *f;
	int hops = 0;

	while (hops++ < FORWARD_HOPS_MAX &&
	       (f = forward_find(&k->node, vm, incarnation))) {
		vm = f->to;
		incarnation = f->to_incarnation;
	}
	str_copy(to, RP_NAME_MAX, str_of(vm));
	if (strcmp(vm, k->opt.vm_name) != 0)
		return owner_at_member(k, now, vm, incarnation);
	if (incarnation == k->opt.incarnation)
		return RP_OWNER_HERE;
	/* Issued by a later incarnation of this name: this one is outdated. */
	if (incarnation > k->opt.incarnation)
		return RP_OWNER_UNREACHABLE;
	return owner_after_end(k, k->node.started_at, now);
}

void member_mark_link_down(struct rp_kernel *k, const char *name)
{
	struct rp_member_entry *e;

	kernel_lock(k, k->node.lock);
	e = member_find(&k->node, name);
	if (e)
		e->link_down = 1;
	kernel_unlock(k, k->node.lock);
}

void member_link_lost(struct rp_kernel *k, rp_ms now, const char *name,
		      struct rp_actions *acts)
{
	member_mark_link_down(k, name);
	heartbeat_probe(k, now, name, acts);
}
