/*
 * Polls the platform for the table. A poll reads the version row. If it has
 * changed, the poll reads the rows of the edits that are missing here, or scans
 * all cells if there are too many or their rows were removed.
 */

#include "rosemary-int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Most edits in one read; a node further behind scans the cells. */
#define EDITS_PER_READ_MAX 64
/* Delay before the next poll after a lost answer, ms. */
#define POLL_RETRY_MS 500

/* A read of edits or cells in progress. */
struct table_fetch {
	int64_t since;		   /* version in force here when it started */
	struct rp_table_head head; /* read from the platform */
};

void table_drafts_free(struct rp_draft *draft)
{
	while (draft) {
		struct rp_draft *next = draft->next;

		free(draft->cells);
		free(draft);
		draft = next;
	}
}

/* Ends a poll; the next one follows after a jittered delay. */
static void poll_end(struct rp_kernel *k, rp_ms now, rp_ms delay)
{
	struct rp_table *t = &k->table;

	kernel_lock(k, t->lock);
	t->poll_pending = 0;
	t->poll_due = now + random_jitter(&t->random, delay);
	kernel_unlock(k, t->lock);
}

/* Ends a poll that got no usable answer. */
static void poll_failed(struct rp_kernel *k, rp_ms now,
			const struct rp_event *ev)
{
	/* Shorter after a lost answer, which has already cost its timeout. */
	rp_ms delay = ev->platform.outcome == RP_PLATFORM_LOST
			      ? POLL_RETRY_MS
			      : k->opt.table_poll;

	kernel_lock(k, k->table.lock);
	k->table.counters.poll_failures++;
	kernel_unlock(k, k->table.lock);
	poll_end(k, now, delay);
}

/* --- drafts ----------------------------------------------------------- */

/* Parses a row table/draft/NAME; NULL if it is malformed. */
static struct rp_draft *draft_parse(const struct rp_row *row)
{
	struct rp_cells cells = { 0 };
	struct rp_str name = row->name, text = row->value;
	struct rp_str line = text_next_line(&text);
	struct rp_draft *d = kernel_alloc(sizeof(*d));

	name.ptr += strlen(TABLE_DRAFT_PREFIX);
	name.len -= strlen(TABLE_DRAFT_PREFIX);
	str_copy(d->name, sizeof(d->name), name);
	str_copy(d->edit_id, sizeof(d->edit_id), text_next_field(&line));
	if (!text_parse_number(text_next_field(&line), &d->base_version) ||
	    !cells_parse(&cells, text)) {
		free(cells.list);
		free(d);
		return NULL;
	}
	d->cells = cells.list;
	d->ncells = cells.len;
	return d;
}

/* Parses all draft rows, skipping malformed ones. */
static struct rp_draft *drafts_parse(const struct rp_event *ev)
{
	struct rp_draft *list = NULL;
	size_t i;

	for (i = ev->platform.nrows; i-- > 0;) {
		struct rp_draft *d = draft_parse(&ev->platform.rows[i]);

		if (!d)
			continue;
		d->next = list;
		list = d;
	}
	return list;
}

static void drafts_done(struct rp_kernel *k, rp_ms now, void *ctx,
			const struct rp_event *ev, struct rp_actions *acts)
{
	struct rp_table *t = &k->table;
	struct table_fetch *f = ctx;
	struct rp_draft *list;

	(void)acts;
	if (ev->platform.outcome == RP_PLATFORM_DONE) {
		list = drafts_parse(ev);
		kernel_lock(k, t->lock);
		table_drafts_free(t->drafts);
		t->drafts = list;
		t->draft_seq = f->head.draft_seq;
		kernel_unlock(k, t->lock);
		poll_end(k, now, k->opt.table_poll);
	} else {
		poll_failed(k, now, ev);
	}
	free(f);
}

/* Reads the drafts if they changed, else ends the poll; takes over f. */
static void read_drafts(struct rp_kernel *k, rp_ms now, struct table_fetch *f,
			struct rp_actions *acts)
{
	struct rp_row row = { .name = str_of(TABLE_DRAFT_PREFIX) };
	int changed;

	kernel_lock(k, k->table.lock);
	changed = f->head.draft_seq != k->table.draft_seq;
	kernel_unlock(k, k->table.lock);
	if (changed) {
		platform_request(k, now, RP_PLATFORM_SCAN, &row, 1, drafts_done,
				 f, acts);
		return;
	}
	poll_end(k, now, k->opt.table_poll);
	free(f);
}

/* --- cells ------------------------------------------------------------ */

/* Collects the cells of all rows; 0 if a row is missing or malformed. */
static int collect_cells(const struct rp_event *ev, int skip_line,
			 struct rp_cells *cells)
{
	size_t i;

	for (i = 0; i < ev->platform.nrows; i++) {
		struct rp_str text = ev->platform.rows[i].value;

		if (!ev->platform.rows[i].version)
			return 0;
		if (skip_line)
			text_next_line(&text);
		if (!cells_parse(cells, text))
			return 0;
	}
	return 1;
}

static int64_t newest_cell(const struct rp_cells *cells)
{
	int64_t newest = 0;
	size_t i;

	for (i = 0; i < cells->len; i++)
		if (cells->list[i].version > newest)
			newest = cells->list[i].version;
	return newest;
}

static void scan_done(struct rp_kernel *k, rp_ms now, void *ctx,
		      const struct rp_event *ev, struct rp_actions *acts)
{
	struct table_fetch *f = ctx;
	struct rp_cells cells = { 0 };

	if (ev->platform.outcome != RP_PLATFORM_DONE ||
	    !collect_cells(ev, 0, &cells)) {
		poll_failed(k, now, ev);
		free(f);
	} else if (newest_cell(&cells) > f->head.version) {
		/*
		 * An edit was committed between the two reads. Edits are
		 * applied as a whole, so poll again.
		 */
		poll_end(k, now, 0);
		free(f);
	} else {
		table_apply(k, now, 0, &f->head, cells.list, cells.len, acts);
		read_drafts(k, now, f, acts);
	}
	free(cells.list);
}

static void scan_cells(struct rp_kernel *k, rp_ms now, struct table_fetch *f,
		       struct rp_actions *acts)
{
	struct rp_row row = { .name = str_of(TABLE_CELL_PREFIX) };

	kernel_lock(k, k->table.lock);
	k->table.counters.scans++;
	kernel_unlock(k, k->table.lock);
	platform_request(k, now, RP_PLATFORM_SCAN, &row, 1, scan_done, f, acts);
}

static void edits_done(struct rp_kernel *k, rp_ms now, void *ctx,
		       const struct rp_event *ev, struct rp_actions *acts)
{
	struct table_fetch *f = ctx;
	struct rp_cells cells = { 0 };

	if (ev->platform.outcome != RP_PLATFORM_DONE) {
		poll_failed(k, now, ev);
		free(f);
	} else if (!collect_cells(ev, 1, &cells)) {
		scan_cells(k, now, f, acts);
	} else {
		table_apply(k, now, f->since, &f->head, cells.list, cells.len,
			    acts);
		read_drafts(k, now, f, acts);
	}
	free(cells.list);
}

/* Reads the rows of the edits after f->since; takes over f. */
static void read_edits(struct rp_kernel *k, rp_ms now, struct table_fetch *f,
		       struct rp_actions *acts)
{
	char names[EDITS_PER_READ_MAX][TABLE_EDIT_NAME_MAX];
	struct rp_row rows[EDITS_PER_READ_MAX] = { 0 };
	size_t n = (size_t)(f->head.version - f->since), i;

	for (i = 0; i < n; i++) {
		table_edit_name(f->since + 1 + (int64_t)i, names[i]);
		rows[i].name = str_of(names[i]);
	}
	kernel_lock(k, k->table.lock);
	k->table.counters.deltas++;
	kernel_unlock(k, k->table.lock);
	platform_request(k, now, RP_PLATFORM_READ, rows, n, edits_done, f,
			 acts);
}

/* --- the version -------------------------------------------------------- */

/*
 * Stores the platform's head. Returns 1 if it is older than the version in
 * force or has another edit for that version, which happens only if the
 * platform was restored from an older copy; traced once per such version.
 */
static int check_platform_head(struct rp_kernel *k, rp_ms now,
			       const struct rp_table_head *head)
{
	const struct rp_trace_subject about = { .task = -1,
						.target = "platform" };
	struct rp_table *t = &k->table;
	int behind, differs, known;

	kernel_lock(k, t->lock);
	behind = head->version < t->version_at_poll;
	differs = head->version == t->version &&
		  strcmp(head->edit_id, t->edit_id) != 0;
	known = !strcmp(t->platform_head.edit_id, head->edit_id) &&
		t->platform_head.version == head->version;
	t->counters.backward += behind;
	t->counters.diverged += differs;
	t->platform_head = *head;
	t->platform_answered = 1;
	t->platform_answer_at = now;
	kernel_unlock(k, t->lock);
	if ((behind || differs) && !known)
		trace_event(k, now, RP_TRACE_TABLE, &about,
			    "platform has older version %lld, refused",
			    (long long)head->version);
	return behind || differs;
}

/* Reads what is missing here, by edits or by a scan. */
static void poll_fetch(struct rp_kernel *k, rp_ms now,
		       const struct rp_table_head *head,
		       struct rp_actions *acts)
{
	struct table_fetch *f = kernel_alloc(sizeof(*f));

	f->head = *head;
	f->since = table_version(k);
	if (head->version <= f->since)
		read_drafts(k, now, f, acts);
	else if (head->version - f->since <= EDITS_PER_READ_MAX)
		read_edits(k, now, f, acts);
	else
		scan_cells(k, now, f, acts);
}

static void version_done(struct rp_kernel *k, rp_ms now, void *ctx,
			 const struct rp_event *ev, struct rp_actions *acts)
{
	struct rp_table_head head;

	(void)ctx;
	if (ev->platform.outcome != RP_PLATFORM_DONE ||
	    ev->platform.nrows != 1 ||
	    !head_parse(ev->platform.rows[0].value, &head)) {
		poll_failed(k, now, ev);
		return;
	}
	if (check_platform_head(k, now, &head))
		poll_end(k, now, k->opt.table_poll);
	else
		poll_fetch(k, now, &head, acts);
}

void table_poll_soon(struct rp_kernel *k, rp_ms now)
{
	kernel_lock(k, k->table.lock);
	k->table.poll_due = now;
	kernel_unlock(k, k->table.lock);
}

void table_poll(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	struct rp_row row = { .name = str_of(TABLE_VERSION_ROW) };
	struct rp_table *t = &k->table;
	int ask;

	if (!k->opt.table_poll)
		return;
	kernel_lock(k, t->lock);
	ask = !t->poll_pending && t->poll_due <= now;
	if (ask) {
		t->poll_pending = 1;
		t->version_at_poll = t->version;
		t->counters.polls++;
	}
	kernel_unlock(k, t->lock);
	if (ask)
		platform_request(k, now, RP_PLATFORM_READ, &row, 1,
				 version_done, NULL, acts);
}
