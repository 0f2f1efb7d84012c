/* Calls to the platform: its list of VMs and its table store. */

#include "daemon.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RESPONSE_MAX (64u << 20) /* bytes of a response body */
#define IDLE_CONNECTIONS 16

#define ETAG_MAX 128

/* With the ETag, an unchanged list of VMs is not transferred again. */
struct platform_client {
	struct loop loop;
	atomic_int inflight; /* calls, queued ones included */
	char etag[ETAG_MAX]; /* of the last valid list, or "" */
	char if_none_match[ETAG_MAX + 32];
	struct curl_slist list_headers;
};

/* A call to the platform. */
struct platform_call {
	struct loop_call call; /* must be the first member */
	uint64_t ask_id;
	enum rp_platform_op op;
	rp_ms timeout;
	char *request; /* body; NULL if none */
};

/* A parsed response; its strings point into root. */
struct platform_response {
	json_t *root;
	size_t nrows, nvms;
	struct rp_row *rows;
	struct rp_vm *vms;
};

static struct curl_slist content_type_header = { "Content-Type: "
						 "application/json",
						 NULL };
static struct curl_slist json_request_headers = { "Expect:",
						  &content_type_header };

static json_t *make_string(struct rp_str s)
{
	return s.ptr ? json_stringn(s.ptr, s.len) : json_null();
}

static json_t *make_names(const struct rp_action *act)
{
	json_t *names = json_array();
	size_t i;

	for (i = 0; i < act->platform.nrows; i++)
		json_array_append_new(names,
				      make_string(act->platform.rows[i].name));
	return json_pack("{s:o}", "names", names);
}

static json_t *make_rows(const struct rp_action *act)
{
	json_t *rows = json_array();
	size_t i;

	for (i = 0; i < act->platform.nrows; i++) {
		const struct rp_row *r = &act->platform.rows[i];

		json_array_append_new(
			rows,
			json_pack("{s:o,s:o,s:I}", "name", make_string(r->name),
				  "value", make_string(r->value), "version",
				  (json_int_t)r->version));
	}
	return json_pack("{s:o}", "rows", rows);
}

/* Returns the request's body as allocated text; NULL for the list of VMs. */
static char *request_body(const struct rp_action *act)
{
	json_t *root = NULL;
	char *text;

	switch (act->platform.op) {
	case RP_PLATFORM_LIST:
		return NULL;
	case RP_PLATFORM_READ:
		root = make_names(act);
		break;
	case RP_PLATFORM_SCAN:
		root = json_pack("{s:o}", "prefix",
				 make_string(act->platform.rows[0].name));
		break;
	case RP_PLATFORM_COMMIT:
		root = make_rows(act);
		break;
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/* Requests the list only if it differs from the last valid one. */
static void add_if_none_match(struct platform_client *client, CURL *easy)
{
	if (!client->etag[0])
		return;
	snprintf(client->if_none_match, sizeof(client->if_none_match),
		 "If-None-Match: %s", client->etag);
	client->list_headers.data = client->if_none_match;
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, &client->list_headers);
}

/* Stores the ETag of a list that was parsed. */
static void save_etag(struct platform_client *client, CURL *easy)
{
	struct curl_header *h;

	client->etag[0] = '\0';
	if (curl_easy_header(easy, "ETag", 0, CURLH_HEADER, -1, &h) !=
		    CURLHE_OK ||
	    strlen(h->value) >= sizeof(client->etag))
		return;
	memcpy(client->etag, h->value, strlen(h->value) + 1);
}

static void prepare_platform(struct loop_call *c)
{
	static const char *const paths[] = {
		[RP_PLATFORM_LIST] = "/v1/vms",
		[RP_PLATFORM_READ] = "/v1/table/read",
		[RP_PLATFORM_SCAN] = "/v1/table/scan",
		[RP_PLATFORM_COMMIT] = "/v1/table/commit",
	};
	struct platform_call *p = (struct platform_call *)c;
	char url[RP_ADDRESS_MAX + 64];

	snprintf(url, sizeof(url), "http://%s%s",
		 c->loop->d->settings->platform, paths[p->op]);
	curl_easy_setopt(c->easy, CURLOPT_URL, url);
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS,
			 (long)(p->timeout > 0 ? p->timeout : 1));
	if (p->op == RP_PLATFORM_LIST) {
		add_if_none_match(c->loop->d->platform, c->easy);
		return;
	}
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, &json_request_headers);
	curl_easy_setopt(c->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, p->request);
}

/* Copies a string member; a missing one is "". Returns -1 if it is too long. */
static int copy_string_member(const json_t *o, const char *name, char *to,
			      size_t max)
{
	const char *s = json_string_value(json_object_get(o, name));

	if (!s)
		s = "";
	if (strlen(s) >= max)
		return -1;
	memcpy(to, s, strlen(s) + 1);
	return 0;
}

/* Returns a member from 0 to RP_LIMIT_MAX; 0 if missing or out of range. */
static int get_int_member(const json_t *o, const char *name)
{
	json_int_t n = json_integer_value(json_object_get(o, name));

	if (n < 0 || n > RP_LIMIT_MAX)
		return 0;
	return (int)n;
}

/* Parses an entry of the list. Returns -1 if it is invalid. */
static int parse_vm(const json_t *o, struct rp_vm *vm)
{
	const char *kind = json_string_value(json_object_get(o, "kind"));

	if (!kind)
		return -1;
	if (!strcmp(kind, "entry_vm"))
		vm->kind = RP_VM_ENTRY;
	else if (!strcmp(kind, "target"))
		vm->kind = RP_VM_TARGET;
	else
		return -1;
	if (copy_string_member(o, "name", vm->name, sizeof(vm->name)) ||
	    copy_string_member(o, "address", vm->address,
			       sizeof(vm->address)) ||
	    copy_string_member(o, "failure_domain", vm->failure_domain,
			       sizeof(vm->failure_domain)) ||
	    copy_string_member(o, "service", vm->service, sizeof(vm->service)))
		return -1;
	vm->leaving = json_is_true(json_object_get(o, "leaving"));
	vm->slots = get_int_member(o, "slots");
	vm->connections = get_int_member(o, "connections");
	vm->can_lookup = json_is_true(json_object_get(o, "can_lookup"));
	vm->can_void = json_is_true(json_object_get(o, "can_void"));
	if (!setting_is_name(vm->name) || !setting_is_address(vm->address))
		return -1;
	return 0;
}

/* Parses the list; invalid entries are logged and skipped. */
static int parse_list(struct platform_response *r)
{
	const json_t *list = json_object_get(r->root, "vms");
	size_t i;

	if (!json_is_array(list))
		return -1;
	r->vms = calloc(json_array_size(list) + 1, sizeof(*r->vms));
	for (i = 0; r->vms && i < json_array_size(list); i++) {
		if (!parse_vm(json_array_get(list, i), &r->vms[r->nvms]))
			r->nvms++;
		else
			log_warn("table", "platform",
				 "entry %zu of the list of VMs is malformed",
				 i);
	}
	return r->vms ? 0 : -1;
}

static int parse_row(const json_t *o, struct rp_row *row)
{
	const json_t *name = json_object_get(o, "name");
	const json_t *value = json_object_get(o, "value");
	const json_t *version = json_object_get(o, "version");

	if (!json_is_string(name) || !json_is_integer(version))
		return -1;
	row->name.ptr = json_string_value(name);
	row->name.len = json_string_length(name);
	row->version = json_integer_value(version);
	if (json_is_string(value)) {
		row->value.ptr = json_string_value(value);
		row->value.len = json_string_length(value);
	}
	return 0;
}

static int parse_rows(struct platform_response *r)
{
	const json_t *list = json_object_get(r->root, "rows");
	size_t i;

	if (!json_is_array(list))
		return -1;
	r->rows = calloc(json_array_size(list) + 1, sizeof(*r->rows));
	if (!r->rows)
		return -1;
	for (i = 0; i < json_array_size(list); i++)
		if (parse_row(json_array_get(list, i), &r->rows[r->nrows++]))
			return -1;
	return 0;
}

static int parse_response(const struct platform_call *p,
			  struct platform_response *r)
{
	if (p->op == RP_PLATFORM_COMMIT)
		return 0;
	r->root = json_loadb(p->call.body ? p->call.body : "", p->call.len,
			     JSON_ALLOW_NUL, NULL);
	if (!r->root)
		return -1;
	return p->op == RP_PLATFORM_LIST ? parse_list(r) : parse_rows(r);
}

/* Returns whether a call took effect, as far as that is known. */
static enum rp_platform_outcome get_outcome(const struct platform_call *p,
					    CURLcode rc, long status)
{
	if (p->call.unsent)
		return RP_PLATFORM_NO_EFFECT;
	if (rc != CURLE_OK)
		return RP_PLATFORM_LOST;
	switch (status) {
	case 200:
		return RP_PLATFORM_DONE;
	case 304:
		return p->op == RP_PLATFORM_LIST ? RP_PLATFORM_UNCHANGED
						 : RP_PLATFORM_LOST;
	case 409:
		return RP_PLATFORM_CONFLICT;
	case 503:
		return RP_PLATFORM_NO_EFFECT;
	default:
		return RP_PLATFORM_LOST;
	}
}

static void count_outcome(enum rp_platform_outcome outcome)
{
	if (outcome == RP_PLATFORM_CONFLICT)
		counter_add(COUNT_PLATFORM_CONFLICTS, 1);
	if (outcome == RP_PLATFORM_NO_EFFECT)
		counter_add(COUNT_PLATFORM_NO_EFFECT, 1);
	if (outcome == RP_PLATFORM_LOST)
		counter_add(COUNT_PLATFORM_LOST, 1);
}

static void finish_platform(struct loop_call *c, CURLcode rc, long status)
{
	struct platform_call *p = (struct platform_call *)c;
	struct platform_response r = { 0 };
	struct rp_event ev = { .type = RP_EVENT_PLATFORM_REPLY };

	ev.platform.ask_id = p->ask_id;
	ev.platform.outcome = get_outcome(p, rc, status);
	if (ev.platform.outcome == RP_PLATFORM_DONE && parse_response(p, &r)) {
		log_error("table", "platform", "malformed response");
		ev.platform.outcome = RP_PLATFORM_LOST;
	}
	if (ev.platform.outcome == RP_PLATFORM_DONE) {
		if (p->op == RP_PLATFORM_LIST)
			save_etag(c->loop->d->platform, c->easy);
		ev.platform.nrows = r.nrows;
		ev.platform.rows = r.rows;
		ev.platform.nvms = r.nvms;
		ev.platform.vms = r.vms;
	}
	count_outcome(ev.platform.outcome);
	if (rc != CURLE_OK)
		log_info("table", "platform", "%s: %s",
			 c->unsent ? "not sent" : "no response",
			 curl_easy_strerror(rc));
	atomic_fetch_sub(&c->loop->d->platform->inflight, 1);
	daemon_handle_event(c->loop->d, &ev);
	json_decref(r.root);
	free(r.rows);
	free(r.vms);
}

static void free_platform(struct loop_call *c)
{
	struct platform_call *p = (struct platform_call *)c;

	free(p->request);
	free(c->body);
	free(p);
}

static const struct loop_call_ops platform_ops = {
	.prepare = prepare_platform,
	.finish = finish_platform,
	.free = free_platform,
};

void platform_execute(struct daemon *d, struct rp_action *act)
{
	struct platform_call *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->call.ops = &platform_ops;
	p->call.address = d->settings->platform;
	p->call.max_body = RESPONSE_MAX;
	p->call.resend_ok = act->platform.op != RP_PLATFORM_COMMIT;
	p->ask_id = act->platform.ask_id;
	p->op = act->platform.op;
	p->timeout = act->platform.timeout;
	p->request = request_body(act);
	counter_add(p->op == RP_PLATFORM_COMMIT ? COUNT_PLATFORM_COMMITS
						: COUNT_PLATFORM_READS,
		    1);
	if (atomic_fetch_add(&d->platform->inflight, 1) >=
	    d->settings->platform_calls)
		p->call.do_not_send = 1;
	loop_queue_call(&d->platform->loop, &p->call);
}

int platform_start(struct daemon *d)
{
	d->platform = apr_pcalloc(d->pool, sizeof(*d->platform));
	return loop_init(&d->platform->loop, d, NULL, IDLE_CONNECTIONS);
}

void platform_stop(struct daemon *d)
{
	if (d->platform)
		loop_finish(&d->platform->loop);
}
