/* Tables of the platform's store that are followed. */

#include "pool-store.h"

#include <stdio.h>
#include <stdlib.h>

#define BACK_OFF_LEAST_MS 100 /* after a failed call; doubles */

static void watch_lost(struct pool_watch *w, long status)
{
	w->p->count.store_failed++;
	w->back_off = w->back_off ? w->back_off * 2 : BACK_OFF_LEAST_MS;
	if (w->back_off > STORE_BACK_OFF_MS)
		w->back_off = STORE_BACK_OFF_MS;
	w->due = w->p->now + w->back_off;
	if (w->lost)
		return;
	w->lost = 1;
	LOG_EVENT(LOG_LEVEL_WARN, "store_lost", LOG_TEXT("table", w->table),
		  LOG_NUMBER("status", status),
		  LOG_NUMBER("age_ms", w->p->now - w->answered_at));
}

static void watch_answered(struct pool_watch *w)
{
	if (w->lost) {
		LOG_EVENT(LOG_LEVEL_INFO, "store_regained",
			  LOG_TEXT("table", w->table),
			  LOG_NUMBER("away_ms", w->p->now - w->answered_at));
		if (w->regained)
			w->regained(w);
	}
	w->lost = 0;
	w->back_off = 0;
	w->answered_at = w->p->now;
	w->due = w->p->now + w->every;
}

/* Rows were read from the first page to the last. */
static void all_read(struct pool_watch *w)
{
	w->whole = 1;
	/* What has changed since the first page comes again. */
	w->version = w->first;
	w->from[0] = '\0';
	w->part = 0;
	if (w->read)
		w->read(w);
}

void pool_watch_restart(struct pool_watch *w)
{
	w->p->count.feed_restarts++;
	w->whole = 0;
	w->first = 0;
	w->part = 0;
	w->from[0] = '\0';
	w->round++;
	w->due = w->p->now;
	LOG_EVENT(LOG_LEVEL_INFO, "watch_restarted",
		  LOG_TEXT("table", w->table),
		  LOG_NUMBER("version", w->version));
}

/* One of the pages of a whole reading, which goes on with the next. */
static void page_read(struct pool_watch *w, const struct platform_rows *rows)
{
	if (!w->first)
		w->first = rows->version;
	w->due = w->p->now;
	if (rows->more && rows->n) {
		str_copy(w->from, sizeof(w->from),
			 str_of(rows->rows[rows->n - 1].key));
		return;
	}
	w->from[0] = '\0';
	if (++w->part < w->parts)
		return;
	all_read(w);
}

static void take_rows(struct pool_watch *w, const char *body, size_t len)
{
	struct platform_rows rows;
	char why[PLATFORM_WHY];
	int64_t before = w->version;
	size_t i;

	if (platform_read_rows(&rows, body, len, why) < 0) {
		log_warn("store", w->table, "%s", why);
		watch_lost(w, 200);
		return;
	}
	watch_answered(w);
	if (rows.now)
		w->p->store_ahead = rows.now - w->p->now;
	for (i = 0; i < rows.n; i++)
		w->row(w, &rows.rows[i]);
	if (w->whole) {
		w->version = rows.version;
		if (rows.version < before)
			pool_watch_restart(w);
	} else {
		page_read(w, &rows);
	}
	platform_rows_finish(&rows);
}

static void on_rows(struct pool_call *c, long status, const char *body,
		    size_t len)
{
	struct pool_watch *w = c->user;

	w->calling = 0;
	if (c->run != w->round)
		return; /* asked before the watch started again */
	if (status == 200)
		take_rows(w, body, len);
	else if (status == 410)
		pool_watch_restart(w);
	else
		watch_lost(w, status);
}

static void read_more(struct pool_watch *w)
{
	struct pool *p = w->p;
	char part[16] = "";
	char *path;
	struct pool_call *c;
	struct pool_call_spec spec = {
		.address = p->set.store,
		.timeout = STORE_ANSWER_MS + (w->whole ? w->wait : 0),
		.fresh = w->lost,
		.done = on_rows,
	};

	if (w->parts)
		snprintf(part, sizeof(part), "%u", w->part);
	path = w->whole ? platform_changes_path(w->table, w->version, w->wait)
			: platform_rows_path(w->table, part, w->from);
	spec.path = path;
	w->calling = 1;
	p->count.store_calls++;
	c = pool_call_begin(p, &spec);
	c->user = w;
	c->run = w->round;
	free(path);
}

void pool_watch_tick(struct pool_watch *w, rp_ms now)
{
	if (!w->off && !w->calling && now >= w->due)
		read_more(w);
}
