/*
 * Edits and drafts at the platform: read the rows, check for conflicts, commit
 * in one transaction guarded by the version row, and find out the outcome of
 * commits without an answer.
 *
 * A commit whose answer was lost is unsettled: it may still take effect. It
 * did if the row table/done/EDIT_ID exists. It never will if the version row
 * changed without that row appearing, since its guard can't match any more.
 * The edit may be resent at any time: the guard lets only one copy commit.
 */

#include "rosemary-int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Delay before a failed or unanswered platform call is retried, ms. */
#define OP_RETRY_MS 300
/* Delay before a retry after another edit was committed first, ms. */
#define OP_RACED_MS 20
/* Rows before the cells: table/version, and table/done/ID or the draft. */
#define OP_ROWS 2
#define OP_NAME_MAX (RP_CELL_NAME_MAX + 32)

void table_op_free(struct rp_table_op *op)
{
	free(op->cells);
	free(op);
}

/* Removes the op from the list; the caller then owns it. */
static void op_unlink(struct rp_kernel *k, struct rp_table_op *op)
{
	struct rp_table_op **at = &k->table.ops;

	kernel_lock(k, k->table.lock);
	while (*at != op)
		at = &(*at)->next;
	*at = op->next;
	kernel_unlock(k, k->table.lock);
}

/* Counts the op's outcome. */
static void count_outcome(struct rp_kernel *k, const struct rp_table_op *op,
			  const struct rp_status *st)
{
	struct rp_table_counters *c = &k->table.counters;

	kernel_lock(k, k->table.lock);
	if (st->code == RP_OK)
		c->accepted += !op->draft[0];
	else if (op->unsettled)
		c->unsettled++;
	else if (st->code == RP_E_CONFLICT)
		c->conflicts++;
	else
		c->refused++;
	kernel_unlock(k, k->table.lock);
}

/* Reports the outcome to the operator; takes over conflicts, frees the op. */
static void op_end(struct rp_kernel *k, struct rp_table_op *op,
		   const struct rp_status *st, int64_t version,
		   struct rp_cells *conflicts, struct rp_actions *acts)
{
	struct rp_action *a = action_add(acts, RP_ACTION_EDITED);

	count_outcome(k, op, st);
	a->token = op->token;
	a->edited.status = *st;
	a->edited.version = version;
	if (conflicts) {
		a->edited.conflicts = conflicts->list;
		a->edited.nconflicts = conflicts->len;
	}
	op_unlink(k, op);
	table_op_free(op);
}

/* Ends an op that the platform didn't accept or answer in time. */
static void op_give_up(struct rp_kernel *k, struct rp_table_op *op,
		       struct rp_actions *acts)
{
	struct rp_status st;

	if (op->unsettled)
		rp_status_set(&st, RP_E_PLATFORM, RP_STEP_TABLE, "platform",
			      "unsettled: the platform's answer was lost and "
			      "it cannot be asked now; the change may or may "
			      "not take effect; send it again with the same "
			      "edit_id to learn which");
	else if (op->raced)
		rp_status_set(&st, RP_E_CONFLICT, RP_STEP_TABLE, "platform",
			      "other edits were committed first at every "
			      "try; this call changed nothing");
	else
		rp_status_set(&st, RP_E_PLATFORM, RP_STEP_TABLE, "platform",
			      "the platform's table cannot be reached; this "
			      "call changed nothing");
	op_end(k, op, &st, table_version(k), NULL, acts);
}

/* Schedules the next try of the op after a jittered delay, or gives up. */
static void op_retry(struct rp_kernel *k, rp_ms now, struct rp_table_op *op,
		     rp_ms delay, struct rp_actions *acts)
{
	struct rp_table *t = &k->table;

	if (now >= op->give_up_at) {
		op_give_up(k, op, acts);
		return;
	}
	kernel_lock(k, t->lock);
	op->retry_at = now + random_jitter(&t->random, delay);
	kernel_unlock(k, t->lock);
}

/* --- commit -------------------------------------------------------------- */

/* Rows of a read or commit, with storage for their names and values. */
struct op_rows {
	size_t n;
	struct rp_row *rows;
	struct rp_text *texts;
	char (*names)[OP_NAME_MAX];
};

static void op_rows_init(struct op_rows *r, size_t max)
{
	memset(r, 0, sizeof(*r));
	r->rows = kernel_alloc(max * sizeof(*r->rows));
	r->texts = kernel_alloc(max * sizeof(*r->texts));
	r->names = kernel_alloc(max * sizeof(*r->names));
}

static void op_rows_finish(struct op_rows *r)
{
	size_t i;

	for (i = 0; i < r->n; i++)
		text_finish(&r->texts[i]);
	free(r->rows);
	free(r->texts);
	free(r->names);
}

/* Adds a row and returns the text for its value. */
static struct rp_text *op_add_row(struct op_rows *r, const char *prefix,
				  const char *name, int64_t version)
{
	snprintf(r->names[r->n], OP_NAME_MAX, "%s%s", prefix, name);
	r->rows[r->n].name = str_of(r->names[r->n]);
	r->rows[r->n].version = version;
	return &r->texts[r->n++];
}

static void op_commit_done(struct rp_kernel *k, rp_ms now, void *ctx,
			   const struct rp_event *ev, struct rp_actions *acts);

/* Commits the rows; rows with an empty text are deleted. */
static void op_rows_commit(struct rp_kernel *k, rp_ms now, struct op_rows *r,
			   struct rp_table_op *op, struct rp_actions *acts)
{
	size_t i;

	for (i = 0; i < r->n; i++) {
		r->rows[i].value.ptr = r->texts[i].data;
		r->rows[i].value.len = r->texts[i].len;
	}
	op->guard_row_version = r->rows[0].version;
	platform_request(k, now, RP_PLATFORM_COMMIT, r->rows, r->n,
			 op_commit_done, op, acts);
}

static void edit_commit(struct rp_kernel *k, rp_ms now, struct rp_table_op *op,
			const struct rp_event *ev,
			const struct rp_table_head *old,
			struct rp_actions *acts)
{
	struct rp_table_head head = *old;
	char name[RP_CELL_NAME_MAX];
	struct op_rows r;
	size_t i;

	head.version++;
	str_copy(head.edit_id, sizeof(head.edit_id), str_of(op->edit_id));
	op->new_version = head.version;
	op_rows_init(&r, op->ncells + OP_ROWS + 1);
	head_format(op_add_row(&r, TABLE_VERSION_ROW, "",
			       ev->platform.rows[0].version),
		    &head);
	text_printf(op_add_row(&r, TABLE_DONE_PREFIX, op->edit_id, 0),
		    "%" PRId64, head.version);
	for (i = 0; i < op->ncells; i++) {
		op->cells[i].version = head.version;
		cell_name(&op->cells[i], name);
		text_cells(op_add_row(&r, TABLE_CELL_PREFIX, name,
				      ev->platform.rows[OP_ROWS + i].version),
			   &op->cells[i], 1);
	}
	table_edit_name(head.version, name);
	op_add_row(&r, name, "", 0);
	text_printf(&r.texts[r.n - 1], "%s\n", op->edit_id);
	text_cells(&r.texts[r.n - 1], op->cells, op->ncells);
	op_rows_commit(k, now, &r, op, acts);
	op_rows_finish(&r);
}

static void draft_commit(struct rp_kernel *k, rp_ms now, struct rp_table_op *op,
			 const struct rp_event *ev,
			 const struct rp_table_head *old,
			 struct rp_actions *acts)
{
	struct rp_table_head head = *old;
	struct rp_text *text;
	struct op_rows r;

	head.draft_seq++;
	op->new_version = head.version;
	op_rows_init(&r, OP_ROWS);
	head_format(op_add_row(&r, TABLE_VERSION_ROW, "",
			       ev->platform.rows[0].version),
		    &head);
	text = op_add_row(&r, TABLE_DRAFT_PREFIX, op->draft,
			  ev->platform.rows[1].version);
	if (!op->drop) {
		text_printf(text, "%s\t%" PRId64 "\n", op->edit_id,
			    op->base_version);
		text_cells(text, op->cells, op->ncells);
	}
	op_rows_commit(k, now, &r, op, acts);
	op_rows_finish(&r);
}

/* Ends a committed op and applies an edit here at once. */
static void op_accepted(struct rp_kernel *k, rp_ms now, struct rp_table_op *op,
			struct rp_actions *acts)
{
	struct rp_table_head head = { .version = op->new_version };
	struct rp_status st = { 0 };

	if (!op->draft[0]) {
		str_copy(head.edit_id, sizeof(head.edit_id),
			 str_of(op->edit_id));
		table_apply(k, now, op->new_version - 1, &head, op->cells,
			    op->ncells, acts);
		table_compact(k, now, op->new_version, acts);
	}
	table_poll_soon(k, now);
	op_end(k, op, &st, op->new_version, NULL, acts);
}

static void op_commit_done(struct rp_kernel *k, rp_ms now, void *ctx,
			   const struct rp_event *ev, struct rp_actions *acts)
{
	struct rp_table_op *op = ctx;

	switch (ev->platform.outcome) {
	case RP_PLATFORM_DONE:
		op_accepted(k, now, op, acts);
		return;
	case RP_PLATFORM_CONFLICT:
		op->raced = 1;
		kernel_lock(k, k->table.lock);
		k->table.counters.raced++;
		kernel_unlock(k, k->table.lock);
		break;
	case RP_PLATFORM_UNCHANGED: /* not an answer to a commit */
	case RP_PLATFORM_LOST:
		op->unsettled = 1;
		op->give_up_at = op->started_at + OP_UNSETTLED_TIMEOUT_MS;
		break;
	case RP_PLATFORM_NO_EFFECT:
		break;
	}
	op_retry(k, now, op, op->raced ? OP_RACED_MS : OP_RETRY_MS, acts);
}

/* --- read and check ------------------------------------------------------- */

/*
 * Finds the edit's cells that others changed to different values after its base
 * version; 0 if a row is malformed.
 */
static int find_conflicts(const struct rp_table_op *op,
			  const struct rp_event *ev, struct rp_cells *found)
{
	struct rp_cells stored = { 0 };
	size_t i;

	for (i = 0; i < op->ncells; i++) {
		const struct rp_cell *mine = &op->cells[i], *theirs;

		stored.len = 0;
		if (!cells_parse(&stored, ev->platform.rows[OP_ROWS + i].value))
			break;
		theirs = stored.list;
		if (stored.len && theirs->version > op->base_version &&
		    (theirs->weight != mine->weight ||
		     theirs->limit != mine->limit))
			cells_add(found, theirs);
	}
	free(stored.list);
	return i == op->ncells;
}

/* Commits the edit unless it conflicts with the platform's rows. */
static void edit_check(struct rp_kernel *k, rp_ms now, struct rp_table_op *op,
		       const struct rp_event *ev,
		       const struct rp_table_head *head,
		       struct rp_actions *acts)
{
	struct rp_cells conflicts = { 0 };
	struct rp_status st = { 0 };

	if (head->version < op->version_at_read)
		rp_status_set(&st, RP_E_PLATFORM, RP_STEP_TABLE, "platform",
			      "the platform holds version %" PRId64
			      ", older than what is in force; nothing is "
			      "accepted until it is restored",
			      head->version);
	else if (op->base_version > head->version)
		rp_status_set(&st, RP_E_INPUT, RP_STEP_TABLE, "",
			      "base_version: the table is at %" PRId64,
			      head->version);
	else if (!find_conflicts(op, ev, &conflicts))
		rp_status_set(&st, RP_E_INTERNAL, RP_STEP_TABLE, "platform",
			      "a row of the platform's table is malformed");
	else if (conflicts.len)
		rp_status_set(&st, RP_E_CONFLICT, RP_STEP_TABLE, "",
			      "cells changed since version "
			      "%" PRId64 ": %zu; this call changed nothing",
			      op->base_version, conflicts.len);
	if (st.code == RP_OK)
		edit_commit(k, now, op, ev, head, acts);
	else
		op_end(k, op, &st, head->version, &conflicts, acts);
}

/* Ends an edit that an earlier commit of the same id already made. */
static void edit_already_done(struct rp_kernel *k, rp_ms now,
			      struct rp_table_op *op, struct rp_str value,
			      struct rp_actions *acts)
{
	struct rp_status st = { 0 };
	int64_t version = 0;

	text_parse_number(value, &version);
	op->unsettled = 0;
	table_poll_soon(k, now);
	op_end(k, op, &st, version, NULL, acts);
}

static void op_read_done(struct rp_kernel *k, rp_ms now, void *ctx,
			 const struct rp_event *ev, struct rp_actions *acts)
{
	struct rp_table_op *op = ctx;
	struct rp_table_head head;
	const struct rp_row *rows = ev->platform.rows;

	if (ev->platform.outcome != RP_PLATFORM_DONE ||
	    ev->platform.nrows != OP_ROWS + op->ncells * !op->draft[0] ||
	    !head_parse(rows[0].value, &head)) {
		op_retry(k, now, op, OP_RETRY_MS, acts);
		return;
	}
	if (rows[0].version != op->guard_row_version)
		op->unsettled = 0;
	if (op->draft[0])
		draft_commit(k, now, op, ev, &head, acts);
	else if (rows[1].version)
		edit_already_done(k, now, op, rows[1].value, acts);
	else
		edit_check(k, now, op, ev, &head, acts);
}

static void op_read(struct rp_kernel *k, rp_ms now, struct rp_table_op *op,
		    struct rp_actions *acts)
{
	char name[RP_CELL_NAME_MAX];
	struct op_rows r;
	size_t i;

	op->version_at_read = table_version(k);
	op_rows_init(&r, op->ncells + OP_ROWS);
	op_add_row(&r, TABLE_VERSION_ROW, "", 0);
	if (op->draft[0])
		op_add_row(&r, TABLE_DRAFT_PREFIX, op->draft, 0);
	else
		op_add_row(&r, TABLE_DONE_PREFIX, op->edit_id, 0);
	for (i = 0; !op->draft[0] && i < op->ncells; i++) {
		cell_name(&op->cells[i], name);
		op_add_row(&r, TABLE_CELL_PREFIX, name, 0);
	}
	platform_request(k, now, RP_PLATFORM_READ, r.rows, r.n, op_read_done,
			 op, acts);
	op_rows_finish(&r);
}

void table_op_start(struct rp_kernel *k, rp_ms now, struct rp_table_op *op,
		    struct rp_actions *acts)
{
	op->started_at = now;
	op->give_up_at = now + OP_PLATFORM_TIMEOUT_MS;
	kernel_lock(k, k->table.lock);
	op->next = k->table.ops;
	k->table.ops = op;
	kernel_unlock(k, k->table.lock);
	op_read(k, now, op, acts);
}

/* The next op whose retry is due, marked as in flight; or NULL. */
static struct rp_table_op *op_next_due(struct rp_kernel *k, rp_ms now)
{
	struct rp_table_op *op;

	kernel_lock(k, k->table.lock);
	for (op = k->table.ops; op; op = op->next)
		if (op->retry_at && op->retry_at <= now)
			break;
	if (op)
		op->retry_at = 0;
	kernel_unlock(k, k->table.lock);
	return op;
}

void table_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	struct rp_table_op *op;

	table_poll(k, now, acts);
	while ((op = op_next_due(k, now)))
		op_read(k, now, op, acts);
}
