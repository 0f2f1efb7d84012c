/*
 * Limit policy "share": each entry VM may use an equal share of a target's
 * limit. Shares shrink at once when a member joins and grow after a delay when
 * one is gone, to keep the total within the limit while the entry VMs differ in
 * their view of the members.
 */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

/* Time for which there must be fewer members before shares grow, ms. */
#define GROW_DELAY_MS 5000

struct share_limit {
	struct rp_limit limit; /* must be first: pointers are cast */
	struct rp_service *svc;
	size_t members; /* number of shares, this entry VM included */
	size_t current; /* latest count; if below members, shares will grow */
	rp_ms grow_at;	/* when members is lowered to current */
};

static struct rp_limit *share_create(struct rp_service *svc);

static void share_destroy(struct rp_limit *limit)
{
	free(limit);
}

/* Entry VMs that precede this one in the target's hash order. */
static size_t share_rank(const struct share_limit *l, const struct rp_target *t)
{
	const struct rp_view *v = l->svc->shard->view;
	const char *self = l->svc->shard->k->opt.vm_name;
	uint64_t salt = str_hash(str_of(t->name));
	uint64_t own = str_hash(str_of(self)) ^ salt;
	size_t i, rank = 0;

	for (i = 0; v && i < v->nmembers; i++)
		if (v->members[i].state != RP_MEMBER_GONE)
			rank += (str_hash(str_of(v->members[i].name)) ^ salt) <
				own;
	return rank;
}

static int share_allows(struct rp_limit *limit, const struct rp_target *t)
{
	const struct share_limit *l = (struct share_limit *)limit;
	int n = (int)l->members, max = target_limit(t);
	int share = max / n;

	if (t->in_flight < share)
		return 1;
	/* The remainder goes to the first ones in hash order. */
	return t->in_flight == share && share_rank(l, t) < (size_t)(max % n);
}

static void share_started(struct rp_limit *limit, struct rp_target *t,
			  rp_ms now)
{
	(void)limit;
	(void)t;
	(void)now;
}

static void share_ended(struct rp_limit *limit, struct rp_target *t,
			enum rp_start_outcome outcome, rp_ms now)
{
	(void)limit;
	(void)t;
	(void)outcome;
	(void)now;
}

static void share_demand(struct rp_limit *limit, size_t waiting, rp_ms now,
			 struct rp_actions *acts)
{
	(void)limit;
	(void)waiting;
	(void)now;
	(void)acts;
}

static void share_changed(struct rp_limit *limit, rp_ms now,
			  struct rp_actions *acts)
{
	struct share_limit *l = (struct share_limit *)limit;
	const struct rp_view *v = l->svc->shard->view;
	size_t i, n = 1;

	(void)acts;
	for (i = 0; v && i < v->nmembers; i++)
		n += v->members[i].state != RP_MEMBER_GONE;
	if (n >= l->members)
		l->members = n;
	else if (l->current != n)
		l->grow_at = now + GROW_DELAY_MS;
	l->current = n;
}

static void share_removed(struct rp_limit *limit, struct rp_target *t)
{
	(void)limit;
	(void)t;
}

static void share_tick(struct rp_limit *limit, rp_ms now,
		       struct rp_actions *acts)
{
	struct share_limit *l = (struct share_limit *)limit;

	(void)acts;
	if (l->current < l->members && l->grow_at <= now)
		l->members = l->current;
}

static struct rp_limit_ops share_ops = {
	.plugin = { .name = "share" },
	.create = share_create,
	.destroy = share_destroy,
	.allows = share_allows,
	.started = share_started,
	.ended = share_ended,
	.demand = share_demand,
	.changed = share_changed,
	.removed = share_removed,
	.tick = share_tick,
};

static struct rp_limit *share_create(struct rp_service *svc)
{
	struct share_limit *l = kernel_alloc(sizeof(*l));

	l->limit.ops = &share_ops;
	l->svc = svc;
	l->members = 1;
	l->current = 1;
	return &l->limit;
}

RP_REGISTER(RP_PLUGIN_LIMIT, share_ops);
