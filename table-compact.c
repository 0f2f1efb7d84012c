/*
 * Removes the rows of old edits, so that the platform holds a bounded number
 * of them. A failure costs nothing: the next round removes what was left.
 */

#include "rosemary-int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EDITS_KEPT 256	   /* a node further behind scans the cells */
#define COMPACT_EVERY 32   /* edits between two rounds */
#define COMPACT_AT_ONCE 64 /* edits removed in one round */

/* Old edits of one round: the row of each, and its row table/done/ID. */
struct compaction {
	int64_t below; /* edits up to this version go */
	size_t n;
	struct rp_row rows[2 * COMPACT_AT_ONCE];
	char names[2 * COMPACT_AT_ONCE][TABLE_DONE_NAME_MAX];
};

static void compact_done(struct rp_kernel *k, rp_ms now, void *ctx,
			 const struct rp_event *ev, struct rp_actions *acts)
{
	(void)k;
	(void)now;
	(void)ev;
	(void)acts;
	free(ctx);
}

/* The rows table/done/ID were read: all can be removed. */
static void compact_commit(struct rp_kernel *k, rp_ms now, void *ctx,
			   const struct rp_event *ev, struct rp_actions *acts)
{
	struct compaction *c = ctx;
	struct rp_row rows[2 * COMPACT_AT_ONCE];
	size_t i, n = c->n;

	if (ev->platform.outcome != RP_PLATFORM_DONE ||
	    ev->platform.nrows != c->n) {
		free(c);
		return;
	}
	memcpy(rows, c->rows, sizeof(rows));
	for (i = 0; i < c->n; i++) {
		if (!ev->platform.rows[i].version)
			continue;
		rows[n] = ev->platform.rows[i];
		rows[n++].value = (struct rp_str){ NULL, 0 };
	}
	platform_ask(k, now, RP_PLATFORM_COMMIT, rows, n, compact_done, c,
		     acts);
}

/* Takes the row of an edit into the round when it is old enough. */
static void compact_add(struct compaction *c, const struct rp_row *row)
{
	struct rp_str number = row->name, text = row->value, id;
	char *edit = c->names[c->n], *done = c->names[COMPACT_AT_ONCE + c->n];
	int64_t version;

	number.ptr += strlen(TABLE_EDIT_PREFIX);
	number.len -= strlen(TABLE_EDIT_PREFIX);
	if (c->n == COMPACT_AT_ONCE || !text_number(number, &version) ||
	    version > c->below)
		return;
	id = text_line(&text);
	str_copy(edit, TABLE_DONE_NAME_MAX, row->name);
	snprintf(done, TABLE_DONE_NAME_MAX, "%s%.*s", TABLE_DONE_PREFIX,
		 (int)id.len, id.ptr);
	c->rows[c->n].name = str_of(edit);
	c->rows[c->n].version = row->version;
	c->n++;
}

static void compact_read(struct rp_kernel *k, rp_ms now, void *ctx,
			 const struct rp_event *ev, struct rp_actions *acts)
{
	struct rp_row rows[COMPACT_AT_ONCE] = { 0 };
	struct compaction *c = ctx;
	size_t i;

	if (ev->platform.outcome == RP_PLATFORM_DONE)
		for (i = 0; i < ev->platform.nrows; i++)
			compact_add(c, &ev->platform.rows[i]);
	if (!c->n) {
		free(c);
		return;
	}
	for (i = 0; i < c->n; i++)
		rows[i].name = str_of(c->names[COMPACT_AT_ONCE + i]);
	platform_ask(k, now, RP_PLATFORM_READ, rows, c->n, compact_commit, c,
		     acts);
}

void table_compact(struct rp_kernel *k, rp_ms now, int64_t version,
		   struct rp_actions *acts)
{
	struct rp_row row = { .name = str_of(TABLE_EDIT_PREFIX) };
	struct compaction *c;

	if (version % COMPACT_EVERY || version <= EDITS_KEPT)
		return;
	c = kernel_alloc(sizeof(*c));
	c->below = version - EDITS_KEPT;
	platform_ask(k, now, RP_PLATFORM_SCAN, &row, 1, compact_read, c, acts);
}
