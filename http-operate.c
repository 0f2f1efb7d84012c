/* Handles requests of operators: table, status, events, metrics and drain. */

#include "http.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A growing text buffer. The writer must be its first member. */
struct text_buffer {
	struct rp_writer w;
	char *data;
	size_t len, cap;
};

static void text_append(struct rp_writer *w, const char *data, size_t len)
{
	struct text_buffer *t = (struct text_buffer *)w;

	if (t->len + len > t->cap) {
		size_t cap = (t->len + len) * 2;
		char *new_data = realloc(t->data, cap);

		if (!new_data)
			return;
		t->data = new_data;
		t->cap = cap;
	}
	memcpy(t->data + t->len, data, len);
	t->len += len;
}

static void text_init(struct text_buffer *t)
{
	memset(t, 0, sizeof(*t));
	t->w.write = text_append;
}

static void send_buffer(struct http_request *r, struct text_buffer *t,
			const char *type)
{
	http_send_text(r, MHD_HTTP_OK, type, t->data ? t->data : "", t->len);
	free(t->data);
}

void http_handle_table(struct http_request *r)
{
	struct text_buffer t;

	text_init(&t);
	rp_kernel_table(r->d->kernel, daemon_now(), &t.w);
	send_buffer(r, &t, "application/json");
}

void http_handle_edit(struct http_request *r)
{
	struct rp_event ev = { .type = RP_EVENT_EDIT };
	struct http_edit edit = { .cells = NULL };
	struct rp_status st;

	if (http_parse_edit(r, &edit, &st) < 0) {
		http_send_status(r, MHD_HTTP_BAD_REQUEST, &st, 0);
	} else {
		ev.edit.edit_id = edit.edit_id;
		ev.edit.base_version = edit.base_version;
		ev.edit.ncells = edit.ncells;
		ev.edit.cells = edit.cells;
		http_deliver(r, &ev);
	}
	free(edit.cells);
}

/* Stores a draft (PUT, with the body of an edit) or removes it (DELETE). */
void http_handle_draft(struct http_request *r)
{
	struct rp_event ev = { .type = RP_EVENT_DRAFT };
	struct http_edit edit = { .cells = NULL };
	struct rp_status st;

	ev.draft.name = r->name;
	ev.draft.drop = !strcmp(r->route->method, "DELETE");
	if (!ev.draft.drop && http_parse_edit(r, &edit, &st) < 0) {
		http_send_status(r, MHD_HTTP_BAD_REQUEST, &st, 0);
	} else {
		ev.draft.edit_id = edit.edit_id;
		ev.draft.base_version = edit.base_version;
		ev.draft.ncells = edit.ncells;
		ev.draft.cells = edit.cells;
		http_deliver(r, &ev);
	}
	free(edit.cells);
}

void http_handle_status(struct http_request *r)
{
	struct text_buffer t;

	text_init(&t);
	rp_kernel_status(r->d->kernel, daemon_now(), &t.w);
	send_buffer(r, &t, "application/json");
}

void http_handle_events(struct http_request *r)
{
	struct text_buffer t;
	char next[32];
	int64_t since;
	uint64_t end;

	if (http_query_number(r, 0, 0, INT64_MAX, &since) < 0)
		return;
	text_init(&t);
	end = rp_kernel_trace(r->d->kernel, (uint64_t)since, &t.w);
	snprintf(next, sizeof(next), "%" PRIu64, end);
	r->x_next = next;
	send_buffer(r, &t, "application/x-ndjson");
	r->x_next = NULL;
}

void http_handle_metrics(struct http_request *r)
{
	struct text_buffer t;

	text_init(&t);
	rp_kernel_metrics(r->d->kernel, &t.w);
	counter_write_all(&t.w);
	http_write_limits(r->d, &t.w);
	send_buffer(r, &t, "text/plain");
}

void http_handle_drain(struct http_request *r)
{
	json_t *root = json_object();

	daemon_drain(r->d);
	json_object_set_new(root, "state", json_string("draining"));
	http_send_json(r, MHD_HTTP_ACCEPTED, root, 0);
}

void http_handle_healthz(struct http_request *r)
{
	http_send_text(r, MHD_HTTP_OK, "text/plain", "ok\n", 3);
}

void http_handle_readyz(struct http_request *r)
{
	int ready = !atomic_load(&r->d->draining) &&
		    rp_kernel_ready(r->d->kernel);

	if (ready)
		http_send_text(r, MHD_HTTP_OK, "text/plain", "ready\n", 6);
	else
		http_send_text(r, MHD_HTTP_SERVICE_UNAVAILABLE, "text/plain",
			       "not ready\n", 10);
}
