/*
 * The table in force at this entry VM. Each dispatch shard holds the cells of
 * its services, the node holds all cells. A cell is replaced only by a newer
 * version, so answers and messages may arrive in any order.
 */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

void table_init(struct rp_kernel *k, rp_ms now)
{
	struct rp_table *t = &k->table;

	t->lock = kernel_lock_new(k);
	apr_pool_create(&t->pool, k->pool);
	t->cells = hash_new(t->pool);
	t->peers = hash_new(t->pool);
	t->random = k->opt.seed + k->opt.incarnation * 31;
	t->poll_due = now;
}

void table_finish(struct rp_kernel *k)
{
	struct rp_table *t = &k->table;

	while (t->ops) {
		struct rp_table_op *op = t->ops;

		t->ops = op->next;
		table_op_free(op);
	}
	table_drafts_free(t->drafts);
	kernel_lock_free(k, t->lock);
}

/* Stores the cell if it is newer than the stored one; 1 if it is. */
static int cell_store(apr_hash_t *cells, apr_pool_t *pool,
		      const struct rp_cell *c)
{
	char name[RP_CELL_NAME_MAX];
	struct rp_cell *old;

	cell_name(c, name);
	old = apr_hash_get(cells, name, APR_HASH_KEY_STRING);
	if (old && old->version >= c->version)
		return 0;
	if (!old) {
		old = apr_palloc(pool, sizeof(*old));
		apr_hash_set(cells, apr_pstrdup(pool, name),
			     APR_HASH_KEY_STRING, old);
	}
	*old = *c;
	return 1;
}

static const struct rp_cell *cell_find(struct rp_dispatch *d,
				       enum rp_cell_kind kind, const char *row,
				       const char *col)
{
	struct rp_cell c = { .kind = kind };
	char name[RP_CELL_NAME_MAX];

	str_copy(c.row, sizeof(c.row), str_of(row));
	str_copy(c.col, sizeof(c.col), str_of(col));
	cell_name(&c, name);
	return apr_hash_get(d->cells, name, APR_HASH_KEY_STRING);
}

/* Weight and limit: the cell's, else the "*" column's, else the default. */
static void cell_resolve(struct rp_dispatch *d, enum rp_cell_kind kind,
			 const char *row, const char *col, int32_t *weight,
			 int32_t *limit)
{
	const struct rp_cell *own = cell_find(d, kind, row, col);
	const struct rp_cell *all = cell_find(d, kind, row, "*");

	*weight = own ? own->weight : RP_CELL_UNSET;
	*limit = own ? own->limit : RP_CELL_UNSET;
	if (all && *weight == RP_CELL_UNSET)
		*weight = all->weight;
	if (all && *limit == RP_CELL_UNSET)
		*limit = all->limit;
	if (*weight == RP_CELL_UNSET)
		*weight = RP_WEIGHT_DEFAULT;
}

void table_set_target(struct rp_dispatch *d, struct rp_target *t)
{
	cell_resolve(d, RP_CELL_TARGET, t->svc->name, t->name, &t->weight,
		     &t->limit);
}

void table_set_team(struct rp_dispatch *d, struct rp_team *team)
{
	cell_resolve(d, RP_CELL_TEAM, "", team->name, &team->weight,
		     &team->quota);
}

/* Updates the shard's targets and teams from its cells. */
static void shard_update(struct rp_dispatch *d, rp_ms now,
			 struct rp_actions *acts)
{
	apr_hash_index_t *i;
	size_t n;

	for (i = apr_hash_first(NULL, d->teams); i; i = apr_hash_next(i))
		table_set_team(d, apr_hash_this_val(i));
	d->quota_seq++;
	for (i = apr_hash_first(NULL, d->services); i; i = apr_hash_next(i)) {
		struct rp_service *svc = apr_hash_this_val(i);

		for (n = 0; n < svc->ntargets; n++)
			table_set_target(d, svc->targets[n]);
		service_changed(svc, now, acts);
	}
}

/* Whether the cell concerns the shard; every shard needs the teams. */
static int shard_needs(struct rp_dispatch *d, const struct rp_cell *c)
{
	return c->kind == RP_CELL_TEAM ||
	       dispatch_shard_of(d->k, str_of(c->row)) == d;
}

static void shard_apply(struct rp_dispatch *d, rp_ms now, int64_t version,
			const struct rp_cell *cells, size_t ncells,
			struct rp_actions *acts)
{
	int stored = 0;
	size_t i;

	kernel_lock(d->k, d->lock);
	for (i = 0; i < ncells; i++)
		if (shard_needs(d, &cells[i]))
			stored |= cell_store(d->cells, d->pool, &cells[i]);
	if (version > d->table_version)
		d->table_version = version;
	if (stored)
		shard_update(d, now, acts);
	kernel_unlock(d->k, d->lock);
}

int64_t table_version(struct rp_kernel *k)
{
	int64_t version;

	kernel_lock(k, k->table.lock);
	version = k->table.version;
	kernel_unlock(k, k->table.lock);
	return version;
}

/* Stores the cells at the node; 1 if they raise its version. */
static int node_apply(struct rp_kernel *k, const struct rp_table_head *head,
		      const struct rp_cell *cells, size_t ncells)
{
	struct rp_table *t = &k->table;
	int newer;
	size_t i;

	kernel_lock(k, t->lock);
	for (i = 0; i < ncells; i++)
		cell_store(t->cells, t->pool, &cells[i]);
	newer = head->version > t->version;
	if (newer) {
		t->version = head->version;
		str_copy(t->edit_id, sizeof(t->edit_id), str_of(head->edit_id));
	}
	kernel_unlock(k, t->lock);
	return newer;
}

int table_apply(struct rp_kernel *k, rp_ms now, int64_t since,
		const struct rp_table_head *head, const struct rp_cell *cells,
		size_t ncells, struct rp_actions *acts)
{
	const struct rp_trace_subject about = { .task = -1 };
	int64_t version = table_version(k);
	unsigned i;

	if (version < since)
		return 0;
	if (version >= head->version)
		return 1;
	for (i = 0; i < RP_DISPATCH_SHARDS; i++)
		shard_apply(&k->dispatch[i], now, head->version, cells, ncells,
			    acts);
	if (node_apply(k, head, cells, ncells))
		trace_event(k, now, RP_TRACE_TABLE, &about,
			    "version %lld in force", (long long)head->version);
	return 1;
}
