/*
 * A stand-in for the platform: table service, object store and the list of
 * VMs over HTTP, all in memory, with knobs for faults.
 */

#include "fake.h"
#include "fake-table.h"

#include <apr_general.h>
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OBJECT_PREFIX "/v1/objects/"

/* One state of the list of VMs, from the time it was set. */
struct vm_list {
	int64_t since_ms;
	char etag[32]; /* names this list in conditional reads */
	json_t *vms;
	struct vm_list *older;
};

/* Calls served; a refused call counts as an outage. */
struct counts {
	int64_t reads, writes, commits, conflicts, scans, lists, objects;
	int64_t refused, lost;
};

/* Faults set through /v1/control. */
struct knobs {
	int outage;
	int64_t delay_ms;		/* of every call */
	int64_t commit_ms;		/* of commits, besides */
	struct fake_pace reads, writes; /* rows per second */
	int64_t lose_answers;
	int64_t list_lag_ms;
};

struct platform {
	struct fake_server srv;
	apr_thread_mutex_t *lock;
	struct fake_table table;
	struct fake_table objects;
	struct vm_list *vms;
	int64_t lists_made;
	struct counts counts;
	struct knobs knobs;
};

/* The platform that serves a request. */
static struct platform *platform_of(struct fake_request *r)
{
	return r->conn->srv->owner;
}

/* --- table ------------------------------------------------------------ */

/* A row as the interface gives it; row is NULL when absent. */
static json_t *row_json(const char *name, const struct fake_row *row)
{
	return json_pack("{s:s, s:s?, s:I}", "name", name, "value",
			 row ? row->value : NULL, "version",
			 (json_int_t)(row ? row->version : 0));
}

/* Reads the named rows. */
static enum fake_verdict handle_read(struct platform *p, struct fake_request *r,
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

/* Reads all rows with a prefix, in the order of names. */
static enum fake_verdict handle_scan(struct platform *p, struct fake_request *r,
				     json_t *body)
{
	const char *prefix = json_string_value(json_object_get(body, "prefix"));
	json_t *rows = json_array();
	size_t i, len;

	if (!prefix)
		prefix = "";
	len = strlen(prefix);
	p->counts.scans++;
	for (i = fake_table_seek(&p->table, prefix);
	     i < p->table.len && !strncmp(p->table.rows[i]->name, prefix, len);
	     i++)
		json_array_append_new(rows, row_json(p->table.rows[i]->name,
						     p->table.rows[i]));
	return fake_reply_json(r, 200, json_pack("{s:o}", "rows", rows));
}

/* Reads the rows of a commit; returns NULL when one is malformed. */
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

		writes[i].name = json_string_value(json_object_get(row, "nam"
									"e"));
		writes[i].value = json_string_value(json_object_get(row, "valu"
									 "e"));
		writes[i].version = json_integer_value(version);
		if (!writes[i].name || !json_is_integer(version)) {
			free(writes);
			return NULL;
		}
	}
	return writes;
}

/* Writes all rows or none, and may lose the answer afterwards. */
static enum fake_verdict handle_commit(struct platform *p,
				       struct fake_request *r, json_t *body)
{
	json_t *rows = json_object_get(body, "rows");
	size_t n = json_array_size(rows);
	struct fake_write *writes = parse_writes(rows, n);
	const char *conflict;

	if (!writes)
		return fake_reply_error(r, 400, "rows: name or version");
	conflict = fake_table_commit(&p->table, writes, n);
	free(writes);
	p->counts.commits++;
	if (conflict)
		p->counts.conflicts++;
	else
		p->counts.writes += (int64_t)n;
	if (p->knobs.lose_answers > 0) {
		p->knobs.lose_answers--;
		p->counts.lost++;
		return FAKE_DROP;
	}
	if (conflict)
		return fake_reply_json(
			r, 409, json_pack("{s:s}", "conflict", conflict));
	return fake_reply_text(r, 200, "{}");
}

/* --- list of VMs ------------------------------------------------------ */

/* Takes over the array of VMs as the list in force from now on. */
static void set_vms(struct platform *p, json_t *vms)
{
	struct vm_list *list = calloc(1, sizeof(*list));

	if (!list)
		abort();
	list->since_ms = p->vms ? fake_now_ms() : 0;
	snprintf(list->etag, sizeof(list->etag), "\"%lld\"",
		 (long long)++p->lists_made);
	list->vms = vms;
	list->older = p->vms;
	p->vms = list;
}

/* Answers with the list as it was list_lag_ms ago. */
static enum fake_verdict handle_vms(struct platform *p, struct fake_request *r)
{
	int64_t at = fake_now_ms() - p->knobs.list_lag_ms;
	const char *known = fake_request_header(r, "If-None-Match");
	struct vm_list *list = p->vms;

	p->counts.lists++;
	while (list->since_ms > at && list->older)
		list = list->older;
	r->reply.header_name = "ETag";
	r->reply.header_value = list->etag;
	if (known && !strcmp(known, list->etag))
		return fake_reply_text(r, 304, "");
	return fake_reply_json(r, 200, json_pack("{s:O}", "vms", list->vms));
}

/* --- objects ---------------------------------------------------------- */

/* Keeps an object, or gives it back. */
static enum fake_verdict handle_object(struct platform *p,
				       struct fake_request *r)
{
	const char *name = r->path + strlen(OBJECT_PREFIX);
	const struct fake_row *row = fake_table_find(&p->objects, name);
	struct fake_write put = { name, r->body ? r->body : "",
				  row ? row->version : 0 };

	p->counts.objects++;
	if (!strcmp(r->method, "PUT")) {
		fake_table_commit(&p->objects, &put, 1);
		return fake_reply_text(r, 200, "{}");
	}
	if (!row)
		return fake_reply_error(r, 404, "no such object");
	return fake_reply_text(r, 200, row->value);
}

/* --- control ---------------------------------------------------------- */

/* Sets the faults that are given and tells all of them. */
static enum fake_verdict handle_control(struct platform *p,
					struct fake_request *r, json_t *body)
{
	struct knobs *k = &p->knobs;

	fake_json_bool(body, "outage", &k->outage);
	fake_json_int(body, "delay_ms", &k->delay_ms);
	fake_json_int(body, "commit_ms", &k->commit_ms);
	fake_json_int(body, "reads_per_s", &k->reads.per_second);
	fake_json_int(body, "writes_per_s", &k->writes.per_second);
	fake_json_int(body, "lose_answers", &k->lose_answers);
	fake_json_int(body, "list_lag_ms", &k->list_lag_ms);
	return fake_reply_json(
		r, 200,
		json_pack("{s:b, s:I, s:I, s:I, s:I, s:I, s:I}", "outage",
			  k->outage, "delay_ms", (json_int_t)k->delay_ms,
			  "commit_ms", (json_int_t)k->commit_ms, "reads_per_s",
			  (json_int_t)k->reads.per_second, "writes_per_s",
			  (json_int_t)k->writes.per_second, "lose_answers",
			  (json_int_t)k->lose_answers, "list_lag_ms",
			  (json_int_t)k->list_lag_ms));
}

/* Replaces the list; takes {"vms":[...]} or the bare array. */
static enum fake_verdict handle_set_vms(struct platform *p,
					struct fake_request *r, json_t *body)
{
	json_t *vms = json_is_array(body) ? body : json_object_get(body, "vms");

	if (!json_is_array(vms))
		return fake_reply_error(r, 400, "vms: must be an array");
	set_vms(p, json_incref(vms));
	return fake_reply_text(r, 200, "{}");
}

/* Tells what was served so far. */
static enum fake_verdict handle_counts(struct platform *p,
				       struct fake_request *r)
{
	const struct counts *c = &p->counts;

	return fake_reply_json(
		r, 200,
		json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
			  "reads", (json_int_t)c->reads, "writes",
			  (json_int_t)c->writes, "commits",
			  (json_int_t)c->commits, "conflicts",
			  (json_int_t)c->conflicts, "scans",
			  (json_int_t)c->scans, "lists", (json_int_t)c->lists,
			  "objects", (json_int_t)c->objects, "refused",
			  (json_int_t)c->refused, "lost", (json_int_t)c->lost,
			  "rows", (json_int_t)p->table.len));
}

/* --- routing ---------------------------------------------------------- */

/* Whether the request is a POST to that path. */
static int is_post(struct fake_request *r, const char *path)
{
	return !strcmp(r->method, "POST") && !strcmp(r->path, path);
}

/* Whether the request is a GET of that path. */
static int is_get(struct fake_request *r, const char *path)
{
	return !strcmp(r->method, "GET") && !strcmp(r->path, path);
}

/* Calls that test scripts use; faults do not touch them. */
static int is_control(struct fake_request *r)
{
	return !strncmp(r->path, "/v1/control", strlen("/v1/control"));
}

/* Finds the handler; the lock is held. */
static enum fake_verdict route(struct platform *p, struct fake_request *r,
			       json_t *body)
{
	if (is_post(r, "/v1/table/read"))
		return handle_read(p, r, body);
	if (is_post(r, "/v1/table/scan"))
		return handle_scan(p, r, body);
	if (is_post(r, "/v1/table/commit"))
		return handle_commit(p, r, body);
	if (is_get(r, "/v1/vms"))
		return handle_vms(p, r);
	if (!strncmp(r->path, OBJECT_PREFIX, strlen(OBJECT_PREFIX)))
		return handle_object(p, r);
	if (is_post(r, "/v1/control"))
		return handle_control(p, r, body);
	if (is_post(r, "/v1/control/vms"))
		return handle_set_vms(p, r, body);
	if (is_get(r, "/v1/control/counts"))
		return handle_counts(p, r);
	return fake_reply_error(r, 404, "no such call");
}

/* Goes on with a request that was held back. */
static void delay_over(struct fake_timer *t)
{
	fake_request_resume(
		(struct fake_request *)((char *)t -
					offsetof(struct fake_request, timer)));
}

/* How long the call waits for its turn at the table, in us. */
static int64_t table_delay_us(struct platform *p, struct fake_request *r,
			      json_t *body)
{
	struct knobs *k = &p->knobs;
	size_t rows = json_array_size(json_object_get(body, "rows"));
	size_t names = json_array_size(json_object_get(body, "names"));

	if (is_post(r, "/v1/table/commit"))
		return k->commit_ms * 1000 +
		       fake_pace_take(&k->writes, (int64_t)rows);
	if (is_post(r, "/v1/table/read"))
		return fake_pace_take(&k->reads, (int64_t)names);
	if (is_post(r, "/v1/table/scan"))
		return fake_pace_take(&k->reads, 1);
	return 0;
}

/* Holds a request back before it takes effect; 0: no need to. */
static int delay_request(struct platform *p, struct fake_request *r,
			 json_t *body)
{
	int64_t delay_us;

	if (r->resumed || is_control(r))
		return 0;
	apr_thread_mutex_lock(p->lock);
	delay_us = p->knobs.delay_ms * 1000 + table_delay_us(p, r, body);
	apr_thread_mutex_unlock(p->lock);
	if (delay_us <= 0)
		return 0;
	r->timer.fire = delay_over;
	fake_request_suspend(r);
	fake_timers_add(&p->srv.timers, &r->timer, delay_us);
	return 1;
}

/* Serves a request, unless there is an outage. */
static enum fake_verdict handle(struct fake_request *r)
{
	struct platform *p = platform_of(r);
	json_t *body = r->len ? json_loadb(r->body, r->len, 0, NULL) : NULL;
	enum fake_verdict v = FAKE_WAIT;

	if (!delay_request(p, r, body)) {
		apr_thread_mutex_lock(p->lock);
		if (p->knobs.outage && !is_control(r)) {
			p->counts.refused++;
			v = fake_reply_error(r, 503, "outage");
		} else {
			v = route(p, r, body);
		}
		apr_thread_mutex_unlock(p->lock);
	}
	json_decref(body);
	return v;
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

/* Takes one flag. */
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

/* Reads the first list of VMs; exits on a bad file. */
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

/* Frees lists, rows and objects. */
static void finish(struct platform *p)
{
	while (p->vms) {
		struct vm_list *list = p->vms;

		p->vms = list->older;
		json_decref(list->vms);
		free(list);
	}
	fake_table_finish(&p->table);
	fake_table_finish(&p->objects);
}

int main(int argc, char **argv)
{
	static const struct argp argp = { options, parse_flag,
					  NULL,	   "The platform's stand-in.",
					  NULL,	   NULL,
					  NULL };
	static const struct fake_server_ops ops = { .handle = handle };
	struct flags f = { "127.0.0.1:21000", NULL, 2 };
	struct platform p = { 0 };
	int failed;

	argp_parse(&argp, argc, argv, 0, NULL, &f);
	apr_initialize();
	apr_pool_create(&p.srv.pool, NULL);
	apr_thread_mutex_create(&p.lock, APR_THREAD_MUTEX_DEFAULT, p.srv.pool);
	p.lists_made = fake_now_ms(); /* no ETag recurs after a restart */
	set_vms(&p, load_vms(f.vms));
	p.srv.ops = &ops;
	p.srv.owner = &p;
	failed = fake_server_start(&p.srv, f.listen, 1, (size_t)f.threads);
	if (!failed)
		fake_server_run(&p.srv);
	finish(&p);
	apr_terminate();
	return failed ? 1 : 0;
}
