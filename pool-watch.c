/* Follows tables of the platform's store. */

#include "pool-store.h"

#include <stdio.h>
#include <stdlib.h>

/* Pause after a failed call. Each further failure doubles it. */
#define MIN_BACKOFF_MS 100

static void call_failed(struct pool_watch *w, long status)
{
	w->p->count.store_failed++;
	w->backoff = w->backoff ? w->backoff * 2 : MIN_BACKOFF_MS;
	if (w->backoff > STORE_MAX_BACKOFF_MS)
		w->backoff = STORE_MAX_BACKOFF_MS;
	w->due = w->p->now + w->backoff;
	if (w->lost)
		return;
	w->lost = 1;
	LOG_EVENT(LOG_LEVEL_WARN, "store_lost", LOG_TEXT("table", w->table),
		  LOG_NUMBER("status", status),
		  LOG_NUMBER("age_ms", w->p->now - w->replied_at));
}

static void call_succeeded(struct pool_watch *w)
{
	if (w->lost) {
		LOG_EVENT(LOG_LEVEL_INFO, "store_regained",
			  LOG_TEXT("table", w->table),
			  LOG_NUMBER("outage_ms", w->p->now - w->replied_at));
		if (w->on_regained)
			w->on_regained(w);
	}
	w->lost = 0;
	w->backoff = 0;
	w->replied_at = w->p->now;
	w->due = w->p->now + w->interval;
}

static void finish_full_read(struct pool_watch *w)
{
	w->complete = 1;
	/* Rows may have changed since the first page was read. */
	w->version = w->first_version;
	w->next_key[0] = '\0';
	w->part = 0;
	if (w->on_complete)
		w->on_complete(w);
}

void pool_watch_restart(struct pool_watch *w)
{
	w->p->count.watch_restarts++;
	w->complete = 0;
	w->first_version = 0;
	w->part = 0;
	w->next_key[0] = '\0';
	w->round++;
	w->due = w->p->now;
	LOG_EVENT(LOG_LEVEL_INFO, "watch_restarted",
		  LOG_TEXT("table", w->table),
		  LOG_NUMBER("version", w->version));
}

/* Continues a full read with the next page or part, or finishes it. */
static void finish_page(struct pool_watch *w, const struct platform_rows *rows)
{
	if (!w->first_version)
		w->first_version = rows->version;
	w->due = w->p->now;
	if (rows->has_more && rows->n) {
		str_copy(w->next_key, sizeof(w->next_key),
			 str_of(rows->rows[rows->n - 1].key));
		return;
	}
	w->next_key[0] = '\0';
	if (++w->part < w->nparts)
		return;
	finish_full_read(w);
}

static void handle_rows(struct pool_watch *w, const char *body, size_t len)
{
	struct platform_rows rows;
	char error[PLATFORM_ERROR_MAX];
	int64_t prev_version = w->version;
	size_t i;

	if (platform_parse_rows(&rows, body, len, error) < 0) {
		log_warn("store", w->table, "%s", error);
		call_failed(w, 200);
		return;
	}
	call_succeeded(w);
	if (rows.now)
		w->p->store_clock_offset = rows.now - w->p->now;
	for (i = 0; i < rows.n; i++)
		w->on_row(w, &rows.rows[i]);
	if (w->complete) {
		w->version = rows.version;
		/* The store went back to an older state. */
		if (rows.version < prev_version)
			pool_watch_restart(w);
	} else {
		finish_page(w, &rows);
	}
	platform_rows_finish(&rows);
}

static void on_rows(struct pool_call *c, long status, const char *body,
		    size_t len)
{
	struct pool_watch *w = c->user;

	w->in_flight = 0;
	if (c->tag != w->round)
		return; /* sent before the full read was restarted */
	if (status == 200)
		handle_rows(w, body, len);
	else if (status == 410)
		pool_watch_restart(w);
	else
		call_failed(w, status);
}

static void send_read(struct pool_watch *w)
{
	struct pool *p = w->p;
	char part[16] = "";
	char *path;
	struct pool_call *c;
	struct pool_call_spec spec = {
		.address = p->set.store_address,
		.timeout = STORE_READ_TIMEOUT_MS +
			   (w->complete ? w->poll_wait : 0),
		.fresh_connect = w->lost,
		.on_done = on_rows,
	};

	if (w->nparts)
		snprintf(part, sizeof(part), "%u", w->part);
	path = w->complete ? platform_changes_path(w->table, w->version,
						   w->poll_wait)
			   : platform_rows_path(w->table, part, w->next_key);
	spec.path = path;
	w->in_flight = 1;
	p->count.store_calls++;
	c = pool_call_begin(p, &spec);
	c->user = w;
	c->tag = w->round;
	free(path);
}

void pool_watch_tick(struct pool_watch *w, rp_ms now)
{
	if (!w->disabled && !w->in_flight && now >= w->due)
		send_read(w);
}
