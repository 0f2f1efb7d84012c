/*
 * A stand-in for the platform: table service, object store and the list of
 * VMs over HTTP, all in memory. Test scripts inject faults by /v1/control.
 */

#include "fake.h"
#include "fake-table.h"

#include <apr_general.h>
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OBJECT_PREFIX "/v1/objects/"

/* One version of the list of VMs. */
struct vm_list {
	int64_t set_at_ms; /* 0 for the first list */
	char etag[32];	   /* for conditional reads */
	json_t *vms;
	struct vm_list *prev;
};

/*
 * Counts of the calls served, and of the rows read and written. Calls during
 * an outage count only as refused.
 */
struct counts {
	int64_t reads, writes, commits, conflicts, scans, lists, objects;
	int64_t refused, lost_answers;
};

/* Delays and faults, set through /v1/control. */
struct faults {
	int outage;
	int64_t delay_ms;		      /* of each call */
	int64_t commit_delay_ms;	      /* of commits, in addition */
	struct fake_rate_limit reads, writes; /* rows per second */
	int64_t lose_answers; /* commits still to be left unanswered */
	int64_t list_lag_ms;  /* age of the list of VMs that is served */
};

struct platform {
	struct fake_server srv;
	apr_thread_mutex_t *lock;
	struct fake_table table;
	struct fake_table objects;
	struct vm_list *vms;
	int64_t list_version; /* of the newest list; its ETag */
	struct counts counts;
	struct faults faults;
};

/* The platform that a request was sent to. */
static struct platform *platform_of(struct fake_request *r)
{
	return r->conn->srv->user_data;
}

/* --- table ------------------------------------------------------------ */

/* A row as JSON; row is NULL when it is absent. */
static json_t *row_json(const char *name, const struct fake_row *row)
{
	return json_pack("{s:s, s:s?, s:I}", "name", name, "value",
			 row ? row->value : NULL, "version",
			 (json_int_t)(row ? row->version : 0));
}

/* Reads the named rows. */
static enum fake_action handle_read(struct platform *p, struct fake_request *r,
				    json_t *body)
{
	json_t *names = json_object_get(body, "names");
	json_t *rows = json_array();
	size_t i;

	for (i = 0; i < json_array_size(names); i++) {
		const char *name = json_string_value(json_array_get(names, i));

		if (!name)
			continue;
		p->counts.reads++;
		json_array_append_new(
			rows, row_json(name, fake_table_find(&p->table, name)));
	}
	return fake_reply_json(r, 200, json_pack("{s:o}", "rows", rows));
}

/* Reads all rows whose names have the prefix, sorted by name. */
static enum fake_action handle_scan(struct platform *p, struct fake_request *r,
				    json_t *body)
{
	const char *prefix = json_string_value(json_object_get(body, "prefix"));
	json_t *rows = json_array();
	size_t i, len;

	if (!prefix)
		prefix = "";
	len = strlen(prefix);
	p->counts.scans++;
	for (i = fake_table_lower_bound(&p->table, prefix);
	     i < p->table.len && !strncmp(p->table.rows[i]->name, prefix, len);
	     i++)
		json_array_append_new(rows, row_json(p->table.rows[i]->name,
						     p->table.rows[i]));
	return fake_reply_json(r, 200, json_pack("{s:o}", "rows", rows));
}

/* Parses the rows of a commit; returns NULL when one is malformed. */
static struct fake_write *parse_writes(json_t *rows, size_t n)
{
	struct fake_write *writes = calloc(n + 1, sizeof(*writes));
	json_t *row;
	size_t i;

	if (!writes)
		return NULL;
	json_array_foreach(rows, i, row)
	{
		json_t *version = json_object_get(row, "version");
		struct fake_write *w = &writes[i];

		w->name = json_string_value(json_object_get(row, "name"));
		w->value = json_string_value(json_object_get(row, "value"));
		w->version = json_integer_value(version);
		if (!w->name || !json_is_integer(version)) {
			free(writes);
			return NULL;
		}
	}
	return writes;
}

/* Commits all rows or none. The lose_answers fault drops the answer. */
static enum fake_action handle_commit(struct platform *p,
				      struct fake_request *r, json_t *body)
{
	json_t *rows = json_object_get(body, "rows");
	size_t n = json_array_size(rows);
	struct fake_write *writes = parse_writes(rows, n);
	const char *conflict;

	if (!writes)
		return fake_reply_error(r, 400,
					"rows: name or version is missing or "
					"malformed");
	conflict = fake_table_commit(&p->table, writes, n);
	free(writes);
	p->counts.commits++;
	if (conflict)
		p->counts.conflicts++;
	else
		p->counts.writes += (int64_t)n;
	if (p->faults.lose_answers > 0) {
		p->faults.lose_answers--;
		p->counts.lost_answers++;
		return FAKE_DROP;
	}
	if (conflict)
		return fake_reply_json(
			r, 409, json_pack("{s:s}", "conflict", conflict));
	return fake_reply_text(r, 200, "{}");
}

/* --- list of VMs ------------------------------------------------------ */

/* Sets a new list of VMs; steals the reference to the array. */
static void set_vm_list(struct platform *p, json_t *vms)
{
	struct vm_list *list = calloc(1, sizeof(*list));

	if (!list)
		abort();
	list->set_at_ms = p->vms ? fake_now_ms() : 0;
	snprintf(list->etag, sizeof(list->etag), "\"%lld\"",
		 (long long)++p->list_version);
	list->vms = vms;
	list->prev = p->vms;
	p->vms = list;
}

/* Answers with the list as it was list_lag_ms ago. */
static enum fake_action handle_vm_list(struct platform *p,
				       struct fake_request *r)
{
	int64_t visible_at_ms = fake_now_ms() - p->faults.list_lag_ms;
	const char *client_etag = fake_request_header(r, "If-None-Match");
	struct vm_list *list = p->vms;

	p->counts.lists++;
	while (list->set_at_ms > visible_at_ms && list->prev)
		list = list->prev;
	r->reply.header_name = "ETag";
	r->reply.header_value = list->etag;
	if (client_etag && !strcmp(client_etag, list->etag))
		return fake_reply_text(r, 304, "");
	return fake_reply_json(r, 200, json_pack("{s:O}", "vms", list->vms));
}

/* --- objects ---------------------------------------------------------- */

/* Stores an object, or replies with it. */
static enum fake_action handle_object(struct platform *p,
				      struct fake_request *r)
{
	const char *name = r->path + strlen(OBJECT_PREFIX);
	const struct fake_row *row = fake_table_find(&p->objects, name);
	struct fake_write write = { name, r->body ? r->body : "",
				    row ? row->version : 0 };

	p->counts.objects++;
	if (!strcmp(r->method, "PUT")) {
		fake_table_commit(&p->objects, &write, 1);
		return fake_reply_text(r, 200, "{}");
	}
	if (!row)
		return fake_reply_error(r, 404, "no such object");
	return fake_reply_text(r, 200, row->value);
}

/* --- control ---------------------------------------------------------- */

/* Sets the faults that the body names and replies with all of them. */
static enum fake_action handle_control(struct platform *p,
				       struct fake_request *r, json_t *body)
{
	struct faults *f = &p->faults;

	fake_json_bool(body, "outage", &f->outage);
	fake_json_int(body, "delay_ms", &f->delay_ms);
	fake_json_int(body, "commit_ms", &f->commit_delay_ms);
	fake_json_int(body, "reads_per_s", &f->reads.per_second);
	fake_json_int(body, "writes_per_s", &f->writes.per_second);
	fake_json_int(body, "lose_answers", &f->lose_answers);
	fake_json_int(body, "list_lag_ms", &f->list_lag_ms);
	return fake_reply_json(
		r, 200,
		json_pack("{s:b, s:I, s:I, s:I, s:I, s:I, s:I}", "outage",
			  f->outage, "delay_ms", (json_int_t)f->delay_ms,
			  "commit_ms", (json_int_t)f->commit_delay_ms,
			  "reads_per_s", (json_int_t)f->reads.per_second,
			  "writes_per_s", (json_int_t)f->writes.per_second,
			  "lose_answers", (json_int_t)f->lose_answers,
			  "list_lag_ms", (json_int_t)f->list_lag_ms));
}

/* Replaces the list of VMs; the body is {"vms":[...]} or the array. */
static enum fake_action handle_set_vm_list(struct platform *p,
					   struct fake_request *r, json_t *body)
{
	json_t *vms = json_is_array(body) ? body : json_object_get(body, "vms");

	if (!json_is_array(vms))
		return fake_reply_error(r, 400, "vms: must be an array");
	set_vm_list(p, json_incref(vms));
	return fake_reply_text(r, 200, "{}");
}

/* Replies with the counts of calls and rows. */
static enum fake_action handle_counts(struct platform *p,
				      struct fake_request *r)
{
	const struct counts *c = &p->counts;

	return fake_reply_json(r, 200,
			       json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, "
					 "s:I, s:I, s:I}",
					 "reads", (json_int_t)c->reads,
					 "writes", (json_int_t)c->writes,
					 "commits", (json_int_t)c->commits,
					 "conflicts", (json_int_t)c->conflicts,
					 "scans", (json_int_t)c->scans, "lists",
					 (json_int_t)c->lists, "objects",
					 (json_int_t)c->objects, "refused",
					 (json_int_t)c->refused, "lost",
					 (json_int_t)c->lost_answers, "rows",
					 (json_int_t)p->table.len));
}

/* --- routing ---------------------------------------------------------- */

/* Whether the request is a POST to the path. */
static int is_post(struct fake_request *r, const char *path)
{
	return !strcmp(r->method, "POST") && !strcmp(r->path, path);
}

/* Whether the request is a GET of the path. */
static int is_get(struct fake_request *r, const char *path)
{
	return !strcmp(r->method, "GET") && !strcmp(r->path, path);
}

/* Whether it is a control call of a test, which is exempt from faults. */
static int is_control(struct fake_request *r)
{
	return !strncmp(r->path, "/v1/control", strlen("/v1/control"));
}

/* Calls the handler of the request; the lock is held. */
static enum fake_action route(struct platform *p, struct fake_request *r,
			      json_t *body)
{
	if (is_post(r, "/v1/table/read"))
		return handle_read(p, r, body);
	if (is_post(r, "/v1/table/scan"))
		return handle_scan(p, r, body);
	if (is_post(r, "/v1/table/commit"))
		return handle_commit(p, r, body);
	if (is_get(r, "/v1/vms"))
		return handle_vm_list(p, r);
	if (!strncmp(r->path, OBJECT_PREFIX, strlen(OBJECT_PREFIX)))
		return handle_object(p, r);
	if (is_post(r, "/v1/control"))
		return handle_control(p, r, body);
	if (is_post(r, "/v1/control/vms"))
		return handle_set_vm_list(p, r, body);
	if (is_get(r, "/v1/control/counts"))
		return handle_counts(p, r);
	return fake_reply_error(r, 404, "no such call");
}

/* Resumes a delayed request. */
static void on_delay_over(struct fake_timer *t)
{
	fake_request_resume(
		(struct fake_request *)((char *)t -
					offsetof(struct fake_request, timer)));
}

/* The delay of a table call by commit_ms and the rate limits, in us. */
static int64_t table_delay_us(struct platform *p, struct fake_request *r,
			      json_t *body)
{
	struct faults *f = &p->faults;
	size_t rows = json_array_size(json_object_get(body, "rows"));
	size_t names = json_array_size(json_object_get(body, "names"));

	if (is_post(r, "/v1/table/commit"))
		return f->commit_delay_ms * 1000 +
		       fake_rate_limit_reserve(&f->writes, (int64_t)rows);
	if (is_post(r, "/v1/table/read"))
		return fake_rate_limit_reserve(&f->reads, (int64_t)names);
	if (is_post(r, "/v1/table/scan"))
		return fake_rate_limit_reserve(&f->reads, 1);
	return 0;
}

/* Delays a request before it takes effect; returns 0 without a delay. */
static int delay_request(struct platform *p, struct fake_request *r,
			 json_t *body)
{
	int64_t delay_us;

	if (r->resumed || is_control(r))
		return 0;
	apr_thread_mutex_lock(p->lock);
	delay_us = p->faults.delay_ms * 1000 + table_delay_us(p, r, body);
	apr_thread_mutex_unlock(p->lock);
	if (delay_us <= 0)
		return 0;
	r->timer.fire = on_delay_over;
	fake_request_suspend(r);
	fake_timers_add(&p->srv.timers, &r->timer, delay_us);
	return 1;
}

/* Delays and serves a request; replies with 503 during an outage. */
static enum fake_action handle(struct fake_request *r)
{
	struct platform *p = platform_of(r);
	json_t *body = r->len ? json_loadb(r->body, r->len, 0, NULL) : NULL;
	enum fake_action action = FAKE_SUSPENDED;

	if (!delay_request(p, r, body)) {
		apr_thread_mutex_lock(p->lock);
		if (p->faults.outage && !is_control(r)) {
			p->counts.refused++;
			action = fake_reply_error(r, 503, "outage");
		} else {
			action = route(p, r, body);
		}
		apr_thread_mutex_unlock(p->lock);
	}
	json_decref(body);
	return action;
}

/* --- start ------------------------------------------------------------ */

struct flags {
	const char *listen;
	const char *vms;
	int threads;
};

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "address to serve on", 0 },
	{ "vms", 'v', "FILE", 0, "JSON file with the first list of VMs", 0 },
	{ "threads", 't', "N", 0, "threads that serve requests", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

/* Parses one flag. */
static error_t parse_flag(int key, char *arg, struct argp_state *state)
{
	struct flags *f = state->input;

	switch (key) {
	case 'l':
		f->listen = arg;
		return 0;
	case 'v':
		f->vms = arg;
		return 0;
	case 't':
		f->threads = (int)strtol(arg, NULL, 10);
		if (f->threads < 1 || f->threads > FAKE_THREADS_MAX)
			argp_error(state, "--threads must be 1..%d",
				   FAKE_THREADS_MAX);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Loads the first list of VMs; exits when the file is malformed. */
static json_t *load_vms(const char *file)
{
	json_error_t err;
	json_t *root, *vms;

	if (!file)
		return json_array();
	root = json_load_file(file, 0, &err);
	vms = json_is_array(root) ? root : json_object_get(root, "vms");
	if (!json_is_array(vms)) {
		fprintf(stderr, "%s: %s\n", file,
			root ? "no array of vms" : err.text);
		exit(2);
	}
	json_incref(vms);
	json_decref(root);
	return vms;
}

/* Frees the lists of VMs, the rows and the objects. */
static void platform_finish(struct platform *p)
{
	while (p->vms) {
		struct vm_list *list = p->vms;

		p->vms = list->prev;
		json_decref(list->vms);
		free(list);
	}
	fake_table_finish(&p->table);
	fake_table_finish(&p->objects);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse_flag, NULL, "A stand-in for the platform.",
		NULL,	 NULL,	     NULL
	};
	static const struct fake_server_ops ops = { .handle = handle };
	struct flags f = { "127.0.0.1:21000", NULL, 2 };
	struct platform p = { 0 };
	int failed;

	argp_parse(&argp, argc, argv, 0, NULL, &f);
	apr_initialize();
	apr_pool_create(&p.srv.pool, NULL);
	apr_thread_mutex_create(&p.lock, APR_THREAD_MUTEX_DEFAULT, p.srv.pool);
	p.list_version = fake_now_ms(); /* no ETag is reused after a restart */
	set_vm_list(&p, load_vms(f.vms));
	p.srv.ops = &ops;
	p.srv.user_data = &p;
	failed = fake_server_start(&p.srv, f.listen, 1, (size_t)f.threads);
	if (!failed)
		fake_server_run(&p.srv);
	platform_finish(&p);
	apr_terminate();
	return failed ? 1 : 0;
}
