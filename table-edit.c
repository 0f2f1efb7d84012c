/* Validates the edits and drafts that operators send. */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

/* Refuses a call that has not reached the platform. */
static void refuse(struct rp_kernel *k, rp_token token,
		   const struct rp_status *st, struct rp_actions *acts)
{
	struct rp_action *a = action_add(acts, RP_ACTION_EDITED);

	kernel_lock(k, k->table.lock);
	k->table.counters.refused++;
	kernel_unlock(k, k->table.lock);
	a->token = token;
	a->edited.status = *st;
	a->edited.version = table_version(k);
}

/* Orders cells by name, as qsort() needs it. */
static int by_name(const void *a, const void *b)
{
	char x[RP_CELL_NAME_MAX], y[RP_CELL_NAME_MAX];

	cell_name(a, x);
	cell_name(b, y);
	return strcmp(x, y);
}

/* Whether the sorted cells contain a duplicate. */
static int has_duplicate(const struct rp_table_op *op)
{
	size_t i;

	for (i = 1; i < op->ncells; i++)
		if (!by_name(&op->cells[i - 1], &op->cells[i]))
			return 1;
	return 0;
}

static enum rp_code check_cells(const struct rp_table_op *op,
				struct rp_status *st)
{
	size_t i;

	if (!op->ncells || op->ncells > RP_EDIT_CELLS_MAX)
		return rp_status_set(st, RP_E_INPUT, RP_STEP_TABLE, "",
				     "cells: must be 1 to %d",
				     RP_EDIT_CELLS_MAX);
	for (i = 0; i < op->ncells; i++)
		if (cell_check(&op->cells[i], st) != RP_OK)
			return st->code;
	if (has_duplicate(op))
		return rp_status_set(st, RP_E_INPUT, RP_STEP_TABLE, "",
				     "cells: contain a duplicate");
	return RP_OK;
}

static enum rp_code check_op(const struct rp_table_op *op, struct rp_status *st)
{
	if (op->drop)
		return RP_OK;
	if (!table_name_valid(op->edit_id))
		return rp_status_set(st, RP_E_INPUT, RP_STEP_TABLE, "",
				     "edit_id: must be a name");
	if (op->base_version < 0)
		return rp_status_set(st, RP_E_INPUT, RP_STEP_TABLE, "",
				     "base_version: must not be below 0");
	return check_cells(op, st);
}

/* Makes an op with a sorted copy of the cells. */
static struct rp_table_op *op_new(rp_token token, const char *edit_id,
				  int64_t base_version,
				  const struct rp_cell *cells, size_t ncells)
{
	struct rp_table_op *op = kernel_alloc(sizeof(*op));

	op->token = token;
	op->base_version = base_version;
	if (edit_id)
		str_copy(op->edit_id, sizeof(op->edit_id), str_of(edit_id));
	op->cells = kernel_alloc((ncells + 1) * sizeof(*op->cells));
	op->ncells = ncells;
	if (ncells)
		memcpy(op->cells, cells, ncells * sizeof(*op->cells));
	qsort(op->cells, ncells, sizeof(*op->cells), by_name);
	return op;
}

/* Starts the op, or refuses it with the status. */
static void start_or_refuse(struct rp_kernel *k, rp_ms now,
			    struct rp_table_op *op, const struct rp_status *st,
			    struct rp_actions *acts)
{
	if (st->code == RP_OK) {
		table_op_start(k, now, op, acts);
		return;
	}
	refuse(k, op->token, st, acts);
	table_op_free(op);
}

void table_edit(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		struct rp_actions *acts)
{
	struct rp_table_op *op = op_new(ev->token, ev->edit.edit_id,
					ev->edit.base_version, ev->edit.cells,
					ev->edit.ncells);
	struct rp_status st = { 0 };

	check_op(op, &st);
	start_or_refuse(k, now, op, &st, acts);
}

/* Whether the draft's name is new and RP_DRAFTS_MAX drafts exist already. */
static int drafts_full(struct rp_kernel *k, const char *name)
{
	const struct rp_draft *d;
	int n = 0, known = 0;

	kernel_lock(k, k->table.lock);
	for (d = k->table.drafts; d; d = d->next) {
		known |= !strcmp(d->name, name);
		n++;
	}
	kernel_unlock(k, k->table.lock);
	return !known && n >= RP_DRAFTS_MAX;
}

void table_draft(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		 struct rp_actions *acts)
{
	struct rp_table_op *op = op_new(ev->token, ev->draft.edit_id,
					ev->draft.base_version, ev->draft.cells,
					ev->draft.ncells);
	struct rp_status st = { 0 };

	str_copy(op->draft, sizeof(op->draft), str_of(ev->draft.name));
	op->drop = ev->draft.drop;
	if (!table_name_valid(op->draft) ||
	    strcmp(op->draft, ev->draft.name) != 0)
		rp_status_set(&st, RP_E_INPUT, RP_STEP_TABLE, "",
			      "name: must have 1 to %d bytes without spaces",
			      RP_NAME_MAX - 1);
	else if (!op->drop && drafts_full(k, op->draft))
		rp_status_set(&st, RP_E_FULL, RP_STEP_TABLE, "",
			      "there are %d drafts already", RP_DRAFTS_MAX);
	else
		check_op(op, &st);
	start_or_refuse(k, now, op, &st, acts);
}
