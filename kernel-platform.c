/* Requests to the platform that wait for their reply. */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

/* Timeout of a call to the platform, ms. */
#define PLATFORM_TIMEOUT_MS 2000
/* Additional time for the reply to reach the kernel, ms. */
#define PLATFORM_GRACE_MS 1000

/* Copies rows into an action, with all of their strings in one blob. */
static void copy_rows(struct rp_action *a, const struct rp_row *rows,
		      size_t nrows)
{
	size_t len = 0, i;
	char *at;

	for (i = 0; i < nrows; i++)
		len += rows[i].name.len + rows[i].value.len;
	a->platform.data = rp_blob_new(NULL, len);
	if (!a->platform.data)
		abort();
	a->platform.rows = kernel_alloc((nrows + 1) * sizeof(*rows));
	a->platform.nrows = nrows;
	at = a->platform.data->data;
	for (i = 0; i < nrows; i++) {
		struct rp_row *row = &a->platform.rows[i];

		*row = rows[i];
		memcpy(at, rows[i].name.ptr, rows[i].name.len);
		row->name.ptr = at;
		at += rows[i].name.len;
		/* A NULL value stays NULL, which deletes the row. */
		if (!rows[i].value.ptr)
			continue;
		memcpy(at, rows[i].value.ptr, rows[i].value.len);
		row->value.ptr = at;
		at += rows[i].value.len;
	}
}

void platform_request(struct rp_kernel *k, rp_ms now, enum rp_platform_op op,
		      const struct rp_row *rows, size_t nrows,
		      rp_platform_done done, void *ctx, struct rp_actions *acts)
{
	struct rp_platform_request *req = kernel_alloc(sizeof(*req));
	struct rp_node *n = &k->node;
	struct rp_action *a;

	req->done = done;
	req->ctx = ctx;
	req->give_up_at = now + PLATFORM_TIMEOUT_MS + PLATFORM_GRACE_MS;
	kernel_lock(k, n->lock);
	req->id = ++n->next_request;
	apr_hash_set(n->platform_requests, &req->id, sizeof(req->id), req);
	if (op == RP_PLATFORM_COMMIT)
		n->platform_writes += nrows;
	else
		n->platform_reads += nrows ? nrows : 1;
	kernel_unlock(k, n->lock);
	a = action_add(acts, RP_ACTION_PLATFORM);
	a->platform.ask_id = req->id;
	a->platform.op = op;
	a->platform.timeout = PLATFORM_TIMEOUT_MS;
	copy_rows(a, rows, nrows);
}

void platform_reply(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		    struct rp_actions *acts)
{
	uint64_t id = ev->platform.ask_id;
	struct rp_node *n = &k->node;
	struct rp_platform_request *req;

	kernel_lock(k, n->lock);
	req = apr_hash_get(n->platform_requests, &id, sizeof(id));
	if (req)
		apr_hash_set(n->platform_requests, &id, sizeof(id), NULL);
	kernel_unlock(k, n->lock);
	if (!req)
		return; /* the request has timed out, or a duplicate reply */
	req->done(k, now, req->ctx, ev, acts);
	free(req);
}

/* Returns the id of a request that has timed out, or 0. */
static uint64_t find_timed_out(struct rp_kernel *k, rp_ms now)
{
	struct rp_node *n = &k->node;
	apr_hash_index_t *i;
	uint64_t id = 0;

	kernel_lock(k, n->lock);
	for (i = apr_hash_first(NULL, n->platform_requests); i;
	     i = apr_hash_next(i)) {
		struct rp_platform_request *req = apr_hash_this_val(i);

		if (req->give_up_at > now)
			continue;
		id = req->id;
		break;
	}
	kernel_unlock(k, n->lock);
	return id;
}

void platform_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	struct rp_event ev = {
		.type = RP_EVENT_PLATFORM_REPLY,
		.platform.outcome = RP_PLATFORM_LOST,
	};

	while ((ev.platform.ask_id = find_timed_out(k, now)))
		platform_reply(k, now, &ev, acts);
}

void platform_finish(struct rp_kernel *k)
{
	struct rp_event ev = {
		.type = RP_EVENT_PLATFORM_REPLY,
		.platform.outcome = RP_PLATFORM_LOST,
	};
	struct rp_actions acts;

	rp_actions_init(&acts);
	while ((ev.platform.ask_id = find_timed_out(k, INT64_MAX)))
		rp_kernel_event(k, 0, &ev, &acts);
	rp_actions_finish(&acts);
}
