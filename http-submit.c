/* Handles requests of callers: keys, jobs, requests, queries, cancellations. */

#include "http.h"

#include <string.h>

#define KEYS_MAX 1024	   /* keys issued by one call */
#define RETRY_FULL_MS 1000 /* Retry-After if http_wait_add() fails */

/* Refuses a call because http_wait_add() failed; nothing was started. */
static void send_wait_refused(struct http_request *r)
{
	struct rp_status st;

	if (atomic_load(&r->d->draining))
		rp_status_set(&st, RP_E_DRAINING, RP_STEP_STOP, "",
			      "this entry VM is stopping");
	else
		rp_status_set(&st, RP_E_FULL, RP_STEP_ADMIT, "",
			      "too many callers wait on this entry VM");
	http_send_refusal(r, &st, RETRY_FULL_MS);
}

void http_deliver(struct http_request *r, struct rp_event *ev)
{
	if (http_wait_add(r) < 0) {
		send_wait_refused(r);
		return;
	}
	ev->token = r->token;
	daemon_handle_event(r->d, ev);
	if (!http_wait_suspend(r))
		http_send_response(r);
}

void http_handle_keys(struct http_request *r)
{
	struct rp_event ev = { .type = RP_EVENT_KEYS };
	int64_t count;

	if (http_query_number(r, 1, 1, KEYS_MAX, &count) < 0)
		return;
	ev.keys.count = (int)count;
	http_deliver(r, &ev);
}

static void submit(struct http_request *r, int is_request, int wait)
{
	struct rp_event ev = { .type = RP_EVENT_SUBMIT };
	const char *own_key = MHD_lookup_connection_value(
		r->conn, MHD_HEADER_KIND, "Idempotency-Key");
	struct rp_submission *sub;
	struct rp_status st;
	int http_status;

	sub = http_parse_submission(r, own_key, is_request, &st, &http_status);
	conn_free_body(r->caller);
	r->body = NULL;
	if (!sub) {
		http_send_status(r, http_status, &st, 0);
		return;
	}
	http_make_room(r, RP_HOLD_JOBS, sub->bytes);
	if (rp_submission_hold(sub, &r->d->budget) < 0) {
		http_send_full(r, "no memory for the submission");
		rp_submission_unref(sub);
		return;
	}
	memcpy(r->key, sub->key.ptr, sub->key.len);
	r->key[sub->key.len] = '\0';
	r->wants_next_keys = !sub->key_is_callers;
	ev.submit.sub = sub;
	ev.submit.wait = wait;
	http_deliver(r, &ev);
	rp_submission_unref(sub);
}

void http_handle_job(struct http_request *r)
{
	int64_t wait;

	if (http_query_number(r, 1, 0, 1, &wait) < 0)
		return;
	submit(r, 0, (int)wait);
}

void http_handle_request(struct http_request *r)
{
	submit(r, 1, 1);
}

void http_handle_query(struct http_request *r)
{
	struct rp_event ev = { .type = RP_EVENT_QUERY };
	int64_t wait;

	if (http_query_number(r, 0, 0, 1, &wait) < 0)
		return;
	memcpy(r->key, r->name, sizeof(r->key));
	ev.query.key.ptr = r->key;
	ev.query.key.len = strlen(r->key);
	ev.query.wait = (int)wait;
	http_deliver(r, &ev);
}

void http_handle_cancel(struct http_request *r)
{
	struct rp_event ev = { .type = RP_EVENT_CANCEL };

	memcpy(r->key, r->name, sizeof(r->key));
	ev.cancel.key.ptr = r->key;
	ev.cancel.key.len = strlen(r->key);
	http_deliver(r, &ev);
}
