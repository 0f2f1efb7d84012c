/*
 * Removes the rows of old edits, so that the platform holds a bounded number
 * of them. A failed round needs no retry: the next one removes the same rows.
 */

#include "rosemary-int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Edits whose rows are kept; a node further behind scans all cells. */
#define EDITS_KEPT 256
#define COMPACT_INTERVAL 32  /* edits between two rounds */
#define COMPACT_ROUND_MAX 64 /* edits removed in one round */

/* One round: the table/edit and table/done rows of the edits to remove. */
struct compaction {
	int64_t last_version; /* newest edit to remove */
	size_t n;	      /* edits found */
	struct rp_row rows[2 * COMPACT_ROUND_MAX];
	char names[2 * COMPACT_ROUND_MAX][TABLE_DONE_NAME_MAX];
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

/* Removes the rows once the versions of the table/done rows are read. */
static void done_rows_read(struct rp_kernel *k, rp_ms now, void *ctx,
			   const struct rp_event *ev, struct rp_actions *acts)
{
	struct compaction *c = ctx;
	struct rp_row rows[2 * COMPACT_ROUND_MAX];
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
	platform_request(k, now, RP_PLATFORM_COMMIT, rows, n, compact_done, c,
			 acts);
}

/* Adds an edit to the round if it is old enough. */
static void add_edit(struct compaction *c, const struct rp_row *row)
{
	struct rp_str number = row->name, text = row->value, edit_id;
	char *edit = c->names[c->n], *done = c->names[COMPACT_ROUND_MAX + c->n];
	int64_t version;

	number.ptr += strlen(TABLE_EDIT_PREFIX);
	number.len -= strlen(TABLE_EDIT_PREFIX);
	if (c->n == COMPACT_ROUND_MAX || !text_parse_number(number, &version) ||
	    version > c->last_version)
		return;
	edit_id = text_next_line(&text);
	str_copy(edit, TABLE_DONE_NAME_MAX, row->name);
	snprintf(done, TABLE_DONE_NAME_MAX, "%s%.*s", TABLE_DONE_PREFIX,
		 (int)edit_id.len, edit_id.ptr);
	c->rows[c->n].name = str_of(edit);
	c->rows[c->n].version = row->version;
	c->n++;
}

static void edits_scanned(struct rp_kernel *k, rp_ms now, void *ctx,
			  const struct rp_event *ev, struct rp_actions *acts)
{
	struct rp_row rows[COMPACT_ROUND_MAX] = { 0 };
	struct compaction *c = ctx;
	size_t i;

	if (ev->platform.outcome == RP_PLATFORM_DONE)
		for (i = 0; i < ev->platform.nrows; i++)
			add_edit(c, &ev->platform.rows[i]);
	if (!c->n) {
		free(c);
		return;
	}
	for (i = 0; i < c->n; i++)
		rows[i].name = str_of(c->names[COMPACT_ROUND_MAX + i]);
	platform_request(k, now, RP_PLATFORM_READ, rows, c->n, done_rows_read,
			 c, acts);
}

void table_compact(struct rp_kernel *k, rp_ms now, int64_t version,
		   struct rp_actions *acts)
{
	struct rp_row row = { .name = str_of(TABLE_EDIT_PREFIX) };
	struct compaction *c;

	if (version % COMPACT_INTERVAL || version <= EDITS_KEPT)
		return;
	c = kernel_alloc(sizeof(*c));
	c->last_version = version - EDITS_KEPT;
	platform_request(k, now, RP_PLATFORM_SCAN, &row, 1, edits_scanned, c,
			 acts);
}
