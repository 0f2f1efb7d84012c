/* Sends responses as JSON or text. */

#include "http.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_FULL_MS 1000

/* Adds a Retry-After header in whole seconds, rounded up. */
static void add_retry_after(struct MHD_Response *resp, rp_ms after)
{
	char text[32];

	if (after <= 0)
		return;
	snprintf(text, sizeof(text), "%lld", (long long)(after + 999) / 1000);
	MHD_add_response_header(resp, MHD_HTTP_HEADER_RETRY_AFTER, text);
}

/* Queues a response with an allocated text, which the server frees. */
static void queue_response(struct http_request *r, int http_status,
			   const char *type, char *text, size_t len,
			   rp_ms retry_after)
{
	struct MHD_Response *resp = MHD_create_response_from_buffer(
		len, text, MHD_RESPMEM_MUST_FREE);

	r->responded = 1;
	if (!resp)
		return;
	r->held = len;
	budget_add(&r->d->budget, RP_HOLD_MESSAGES, len);
	/* The connection waits for its caller to read the response. */
	conn_end(r->caller);
	MHD_add_response_header(resp, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	add_retry_after(resp, retry_after);
	if (r->x_next)
		MHD_add_response_header(resp, "X-Next", r->x_next);
	MHD_queue_response(r->conn, (unsigned int)http_status, resp);
	MHD_destroy_response(resp);
	counter_add(COUNT_HTTP_BYTES_OUT, len);
	if (http_status >= 400 && http_status < 500 &&
	    http_status != MHD_HTTP_TOO_MANY_REQUESTS)
		counter_add(COUNT_HTTP_BAD_INPUT, 1);
	if (http_status == MHD_HTTP_TOO_MANY_REQUESTS)
		counter_add(COUNT_HTTP_TOO_MANY_REQUESTS, 1);
}

void http_send_json(struct http_request *r, int http_status, json_t *root,
		    rp_ms retry_after)
{
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	if (!text)
		text = strdup("{}");
	queue_response(r, http_status, "application/json", text,
		       text ? strlen(text) : 0, retry_after);
}

void http_send_text(struct http_request *r, int http_status, const char *type,
		    const char *text, size_t len)
{
	char *copy = http_make_room(r, RP_HOLD_MESSAGES, len) < 0
			     ? NULL
			     : malloc(len + 1);

	if (!copy) {
		http_send_full(r, "no memory for the response");
		return;
	}
	memcpy(copy, text, len);
	queue_response(r, http_status, type, copy, len, 0);
}

/* Adds the members of a status to a JSON object. */
static void add_status(json_t *root, const struct rp_status *st)
{
	json_t *message = json_string(st->message);

	json_object_set_new(root, "error", json_string(rp_code_name(st->code)));
	json_object_set_new(root, "step", json_string(rp_step_name(st->step)));
	json_object_set_new(root, "peer", json_string(st->peer));
	if (!message)
		message = json_string("");
	json_object_set_new(root, "message", message);
}

static void add_retry_after_ms(json_t *root, rp_ms after)
{
	if (after > 0)
		json_object_set_new(root, "retry_after_ms",
				    json_integer(after));
}

void http_send_status(struct http_request *r, int http_status,
		      const struct rp_status *st, rp_ms retry_after)
{
	json_t *root = json_object();

	add_status(root, st);
	add_retry_after_ms(root, retry_after);
	http_send_json(r, http_status, root, retry_after);
}

void http_send_full(struct http_request *r, const char *reason)
{
	struct rp_status st;

	rp_status_set(&st, RP_E_FULL, RP_STEP_ADMIT, "", "%s", reason);
	http_send_refusal(r, &st, RETRY_FULL_MS);
}

void http_send_error(struct http_request *r, int http_status, enum rp_code code,
		     enum rp_step step, const char *fmt, ...)
{
	struct rp_status st = { .code = code, .step = step };
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(st.message, sizeof(st.message), fmt, ap);
	va_end(ap);
	http_send_status(r, http_status, &st, 0);
}

/* Returns the HTTP status for an error code of the kernel. */
static int status_of_code(enum rp_code code)
{
	switch (code) {
	case RP_E_INPUT:
		return MHD_HTTP_BAD_REQUEST;
	case RP_E_CONFLICT:
		return MHD_HTTP_CONFLICT;
	case RP_E_UNKNOWN_KEY:
		return MHD_HTTP_NOT_FOUND;
	case RP_E_UNREACHABLE:
		return MHD_HTTP_BAD_GATEWAY;
	case RP_E_GONE:
	case RP_E_EXPIRED:
	case RP_E_DROPPED:
		return MHD_HTTP_GONE;
	case RP_E_FULL:
		return MHD_HTTP_TOO_MANY_REQUESTS;
	default:
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	}
}

void http_send_refusal(struct http_request *r, const struct rp_status *st,
		       rp_ms retry_after)
{
	http_send_status(r, status_of_code(st->code), st, retry_after);
}

/* Returns the HTTP status for an answer. */
static int status_of_answer(const struct rp_answer *a)
{
	switch (a->state) {
	case RP_RUNNING:
		return MHD_HTTP_ACCEPTED;
	case RP_COMPLETE:
	case RP_FAILED:
		return MHD_HTTP_OK;
	case RP_NOT_RUN:
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	default:
		return status_of_code(a->status.code);
	}
}

/* Adds a task's result: as a string, or in base64 if it is not UTF-8. */
static void add_result(json_t *list, const struct rp_result *result)
{
	json_t *object = json_object();
	json_t *body = json_stringn(result->body->data, result->body->len);

	json_object_set_new(object, "id",
			    json_stringn(result->id.ptr, result->id.len));
	if (body) {
		json_object_set_new(object, "result", body);
	} else {
		char *text = http_base64(result->body->data, result->body->len);

		json_object_set_new(object, "result_base64", json_string(text));
		free(text);
	}
	json_array_append_new(list, object);
}

static void add_results(json_t *root, const struct rp_answer *a)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < a->nresults; i++)
		add_result(list, &a->results[i]);
	json_object_set_new(root, "results", list);
}

/* Requests keys for the caller's next submissions and adds them. */
static void add_next_keys(struct http_request *r, json_t *root)
{
	struct rp_event ev = { .type = RP_EVENT_KEYS };
	struct rp_actions acts;
	json_t *list = json_array();
	size_t i;
	int k;

	ev.keys.count = HTTP_NEXT_KEYS;
	rp_actions_init(&acts);
	rp_kernel_event(r->d->kernel, daemon_now(), &ev, &acts);
	for (i = 0; i < acts.len; i++) {
		const struct rp_action *act = &acts.list[i];

		for (k = 0; act->type == RP_ACTION_KEYS && k < act->keys.count;
		     k++)
			json_array_append_new(list,
					      json_string(act->keys.keys[k]));
	}
	daemon_execute_actions(r->d, &acts);
	rp_actions_finish(&acts);
	json_object_set_new(root, "next_keys", list);
}

static void send_answer(struct http_request *r, const struct rp_answer *a)
{
	json_t *root = json_object();

	json_object_set_new(root, "key", json_string(r->key));
	json_object_set_new(root, "state",
			    json_string(rp_state_name(a->state)));
	if (a->state == RP_COMPLETE)
		add_results(root, a);
	else if (a->state != RP_RUNNING || a->status.code != RP_OK)
		add_status(root, &a->status);
	if (a->state == RP_FAILED)
		json_object_set_new(root, "may_have_run",
				    json_boolean(a->may_have_run));
	add_retry_after_ms(root, a->retry_after);
	if (r->wants_next_keys)
		add_next_keys(r, root);
	http_send_json(r, status_of_answer(a), root, a->retry_after);
}

static void send_keys(struct http_request *r)
{
	json_t *root, *list;
	int i;

	if (r->status.code != RP_OK) {
		http_send_refusal(r, &r->status, 0);
		return;
	}
	list = json_array();
	for (i = 0; i < r->nkeys; i++)
		json_array_append_new(list, json_string(r->keys[i]));
	root = json_object();
	json_object_set_new(root, "keys", list);
	json_object_set_new(root, "expires_in_ms", json_integer(r->expires_in));
	http_send_json(r, MHD_HTTP_OK, root, 0);
}

static json_t *make_cell(const struct rp_cell *c)
{
	json_t *object = json_object();

	json_object_set_new(object, "kind",
			    json_string(c->kind == RP_CELL_TARGET ? "target"
								  : "team"));
	json_object_set_new(object, "row", json_string(c->row));
	json_object_set_new(object, "col", json_string(c->col));
	json_object_set_new(object, "weight",
			    c->weight == RP_CELL_UNSET
				    ? json_null()
				    : json_integer(c->weight));
	json_object_set_new(object, "limit",
			    c->limit == RP_CELL_UNSET ? json_null()
						      : json_integer(c->limit));
	json_object_set_new(object, "version", json_integer(c->version));
	return object;
}

static void send_edited(struct http_request *r)
{
	json_t *root = json_object();
	json_t *list = json_array();
	int http_status = MHD_HTTP_OK;
	size_t i;

	if (r->status.code != RP_OK) {
		http_status = status_of_code(r->status.code);
		add_status(root, &r->status);
	}
	json_object_set_new(root, "version", json_integer(r->version));
	for (i = 0; i < r->nconflicts; i++)
		json_array_append_new(list, make_cell(&r->conflicts[i]));
	if (r->nconflicts)
		json_object_set_new(root, "conflicts", list);
	else
		json_decref(list);
	http_send_json(r, http_status, root, 0);
}

/*
 * Answers a caller when the process exits before the outcome is known. The job
 * may continue on the entry VM that owns its key, so the state is "running".
 */
static void send_stopping(struct http_request *r)
{
	struct rp_answer a = { .state = RP_RUNNING };

	rp_status_set(&a.status, RP_E_DRAINING, RP_STEP_STOP,
		      r->d->settings->kernel.vm_name,
		      "the entry VM stops before the outcome is known; "
		      "query the key at another one");
	if (r->key[0])
		send_answer(r, &a);
	else
		http_send_status(r, MHD_HTTP_SERVICE_UNAVAILABLE, &a.status, 0);
}

void http_send_response(struct http_request *r)
{
	switch (r->response_kind) {
	case HTTP_RESPONSE_ANSWER:
		send_answer(r, r->answer);
		break;
	case HTTP_RESPONSE_KEYS:
		send_keys(r);
		break;
	case HTTP_RESPONSE_EDITED:
		send_edited(r);
		break;
	case HTTP_RESPONSE_DISCONNECTED:
		break;
	case HTTP_RESPONSE_NONE:
		r->wants_next_keys = 0;
		send_stopping(r);
		break;
	}
}
