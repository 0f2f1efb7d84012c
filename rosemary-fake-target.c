/*
 * A stand-in for targets: one process plays many, one port each, with
 * service times, slots and faults of their own.
 */

#include "fake-task.h"

#include <apr_general.h>
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TASK_PREFIX "/v1/tasks/"
#define SPEEDS_MAX 64
#define RECORD_PATH "/v1/control/record"
#define COUNTS_PATH "/v1/control/counts"
#define CONTROL_PATH "/v1/control"

struct flags {
	const char *listen;
	size_t count;
	size_t threads;
	unsigned long seed;
	double speeds[SPEEDS_MAX];
	size_t nspeeds;
	struct fake_target_knobs knobs;
};

/* The target that a connection came in for. */
static struct fake_target *target_of(struct fake_conn *c)
{
	struct fake_target *targets = c->srv->owner;

	return &targets[c->port];
}

/* --- tasks ------------------------------------------------------------ */

/* Answers a start with the result, or with its failure. */
static enum fake_verdict reply_result(struct fake_request *r,
				      const struct fake_task *task)
{
	char *text = fake_task_result(task);

	if (task->state == FAKE_TASK_DONE)
		return fake_reply_body(r, 200, text, strlen(text));
	free(text);
	return fake_reply_error(r, 500, "the task failed");
}

/* Starts a task; called again once it has ended. */
static enum fake_verdict handle_start(struct fake_target *t,
				      struct fake_request *r, const char *id)
{
	struct fake_task *task = NULL;

	if (r->resumed)
		return reply_result(r, r->data);
	switch (fake_task_start(t, id, r, &task)) {
	case FAKE_START_OK:
		break;
	case FAKE_START_BUSY:
		return fake_reply_error(r, 429, "no free slot");
	case FAKE_START_LEAVING:
		return fake_reply_error(r, 503, "leaving");
	case FAKE_START_VOIDED:
		return fake_reply_error(r, 410, "the id was voided");
	case FAKE_START_DOUBLE:
		return fake_reply_error(r, 409, "the id was started before");
	}
	r->data = task;
	if (task->state == FAKE_TASK_RUNNING)
		return FAKE_WAIT;
	return reply_result(r, task);
}

/* Answers with the state, and the result when there is one. */
static enum fake_verdict reply_state(struct fake_request *r,
				     const struct fake_task *task)
{
	char *text;

	r->reply.header_name = "X-Task-State";
	r->reply.header_value = fake_task_state_name(task->state);
	if (task->state != FAKE_TASK_DONE)
		return fake_reply_text(r, 200, "");
	text = fake_task_result(task);
	return fake_reply_body(r, 200, text, strlen(text));
}

/* Tells what became of an id. */
static enum fake_verdict handle_lookup(struct fake_target *t,
				       struct fake_request *r, const char *id)
{
	struct fake_task *task = fake_task_find(t, id);

	t->counts.lookups++;
	if (!t->knobs.lookup)
		return fake_reply_error(r, 405, "this target has no lookup");
	if (!task)
		return fake_reply_error(r, 404, "unknown id");
	return reply_state(r, task);
}

/* Voids an id, or stops a running task. */
static enum fake_verdict handle_delete(struct fake_target *t,
				       struct fake_request *r, const char *id)
{
	const char *stop = fake_request_arg(r, "stop");
	struct fake_task *task;

	if (stop && !strcmp(stop, "1")) {
		task = fake_task_find(t, id);
		if (!task)
			return fake_reply_error(r, 404, "unknown id");
		fake_task_finish(task, FAKE_END_STOPPED);
		return reply_state(r, task);
	}
	if (!t->knobs.void_ids)
		return fake_reply_error(r, 405, "this target voids no ids");
	return reply_state(r, fake_task_void(t, id));
}

/* Serves a call on a task id. */
static enum fake_verdict handle_task(struct fake_target *t,
				     struct fake_request *r)
{
	const char *id = r->path + strlen(TASK_PREFIX);

	if (!strcmp(r->method, "POST"))
		return handle_start(t, r, id);
	if (!strcmp(r->method, "GET"))
		return handle_lookup(t, r, id);
	if (!strcmp(r->method, "DELETE"))
		return handle_delete(t, r, id);
	return fake_reply_error(r, 405, "no such method");
}

/* --- control ---------------------------------------------------------- */

/* Makes all connections that are open now silent, or none. */
static void set_silent(struct fake_target *t, json_t *body)
{
	int silent = -1;

	fake_json_bool(body, "silent", &silent);
	if (silent >= 0)
		t->silent_up_to = silent ? t->last_serial : 0;
}

/* Sets the knobs that are given. */
static void set_knobs(struct fake_target *t, json_t *body)
{
	struct fake_target_knobs *k = &t->knobs;

	fake_json_int(body, "slots", &k->slots);
	fake_json_int(body, "connections", &k->connections);
	fake_json_int(body, "lease_ms", &k->lease_ms);
	fake_json_number(body, "service_ms", &k->service_ms);
	fake_json_number(body, "spread", &k->spread);
	fake_json_number(body, "speed", &k->speed);
	fake_json_bool(body, "leaving", &k->leaving);
	fake_json_bool(body, "fail_all", &k->fail_all);
	fake_json_bool(body, "hang", &k->hang);
	fake_json_bool(body, "down", &k->down);
	fake_json_bool(body, "lookup", &k->lookup);
	fake_json_bool(body, "void", &k->void_ids);
	set_silent(t, body);
}

/* Serves a call of a test script. */
static enum fake_verdict handle_control(struct fake_target *t,
					struct fake_request *r)
{
	json_t *body;

	if (!strcmp(r->path, RECORD_PATH))
		return fake_record_reply(t, r);
	if (!strcmp(r->path, COUNTS_PATH))
		return fake_reply_json(r, 200, fake_counts_json(t));
	body = r->len ? json_loadb(r->body, r->len, 0, NULL) : NULL;
	set_knobs(t, body);
	json_decref(body);
	if (t->knobs.speed <= 0)
		t->knobs.speed = 1;
	return fake_reply_text(r, 200, "{}");
}

/* --- requests and connections ----------------------------------------- */

/* Serves a call as the faults allow; the lock is held. */
static enum fake_verdict route(struct fake_target *t, struct fake_request *r)
{
	if (!strncmp(r->path, CONTROL_PATH, strlen(CONTROL_PATH)))
		return handle_control(t, r);
	if (t->knobs.down)
		return FAKE_DROP;
	if (r->conn->serial <= t->silent_up_to) {
		fake_request_suspend(r);
		return FAKE_WAIT;
	}
	if (!strncmp(r->path, TASK_PREFIX, strlen(TASK_PREFIX)))
		return handle_task(t, r);
	return fake_reply_error(r, 404, "no such call");
}

/* Serves a request under the lock of its target. */
static enum fake_verdict handle(struct fake_request *r)
{
	struct fake_target *t = target_of(r->conn);
	enum fake_verdict v;

	apr_thread_mutex_lock(t->lock);
	v = route(t, r);
	apr_thread_mutex_unlock(t->lock);
	return v;
}

/* Counts a connection; 0 when it is one too many. */
static int conn_opened(struct fake_conn *c)
{
	struct fake_target *t = target_of(c);
	int welcome;

	apr_thread_mutex_lock(t->lock);
	welcome = t->open_connections++ < t->knobs.connections;
	t->counts.connections++;
	t->last_serial = c->serial;
	apr_thread_mutex_unlock(t->lock);
	return welcome;
}

/* Counts a connection out. */
static void conn_closed(struct fake_conn *c)
{
	struct fake_target *t = target_of(c);

	apr_thread_mutex_lock(t->lock);
	t->open_connections--;
	apr_thread_mutex_unlock(t->lock);
}

/* --- start ------------------------------------------------------------ */

enum long_flag {
	FLAG_SERVICE = 256,
	FLAG_SPREAD,
	FLAG_SPEED,
	FLAG_SLOTS,
	FLAG_CONNECTIONS,
	FLAG_SEED,
	FLAG_NO_LOOKUP,
	FLAG_NO_VOID,
};

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "address of the first target", 0 },
	{ "count", 'n', "N", 0, "targets, on consecutive ports", 0 },
	{ "threads", 't', "N", 0, "threads that serve requests", 0 },
	{ "service-ms", FLAG_SERVICE, "M", 0,
	  "mean service time where the payload names none; 0: instant", 0 },
	{ "spread", FLAG_SPREAD, "S", 0, "sigma of the log-normal", 0 },
	{ "speed", FLAG_SPEED, "F[,F...]", 0,
	  "factors that divide service times, dealt out over the targets", 0 },
	{ "slots", FLAG_SLOTS, "N", 0, "tasks at once per target", 0 },
	{ "connections", FLAG_CONNECTIONS, "N", 0, "connections per target",
	  0 },
	{ "seed", FLAG_SEED, "N", 0, "seed of the service times", 0 },
	{ "no-lookup", FLAG_NO_LOOKUP, NULL, 0, "tell no outcomes", 0 },
	{ "no-void", FLAG_NO_VOID, NULL, 0, "void no ids", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

/* Reads a whole number within bounds, or exits. */
static long whole(struct argp_state *state, const char *arg, long low,
		  long high)
{
	char *end;
	long n = strtol(arg, &end, 10);

	if (*end || end == arg || n < low || n > high)
		argp_error(state, "'%s' must be %ld..%ld", arg, low, high);
	return n;
}

/* Reads a number of 0 or more, or exits. */
static double number(struct argp_state *state, const char *arg)
{
	char *end;
	double x = strtod(arg, &end);

	if (*end || end == arg || x < 0)
		argp_error(state, "'%s' must be a number, 0 or more", arg);
	return x;
}

/* Reads the list of speed factors. */
static void parse_speeds(struct argp_state *state, struct flags *f, char *arg)
{
	char *save, *tok = strtok_r(arg, ",", &save);

	for (f->nspeeds = 0; tok && f->nspeeds < SPEEDS_MAX;
	     tok = strtok_r(NULL, ",", &save)) {
		f->speeds[f->nspeeds] = number(state, tok);
		if (f->speeds[f->nspeeds++] <= 0)
			argp_error(state, "--speed must be above 0");
	}
}

/* Takes one flag. */
static error_t parse_flag(int key, char *arg, struct argp_state *state)
{
	struct flags *f = state->input;

	switch (key) {
	case 'l':
		f->listen = arg;
		return 0;
	case 'n':
		f->count = whole(state, arg, 1, FAKE_PORTS_MAX);
		return 0;
	case 't':
		f->threads = whole(state, arg, 1, FAKE_THREADS_MAX);
		return 0;
	case FLAG_SERVICE:
		f->knobs.service_ms = number(state, arg);
		return 0;
	case FLAG_SPREAD:
		f->knobs.spread = number(state, arg);
		return 0;
	case FLAG_SPEED:
		parse_speeds(state, f, arg);
		return 0;
	case FLAG_SLOTS:
		f->knobs.slots = whole(state, arg, 0, 1000000);
		return 0;
	case FLAG_CONNECTIONS:
		f->knobs.connections = whole(state, arg, 1, 1000000);
		return 0;
	case FLAG_SEED:
		f->seed = whole(state, arg, 0, 1000000000);
		return 0;
	case FLAG_NO_LOOKUP:
		f->knobs.lookup = 0;
		return 0;
	case FLAG_NO_VOID:
		f->knobs.void_ids = 0;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Makes all targets, with speeds dealt out in turn. */
static struct fake_target *make_targets(struct fake_server *srv,
					struct flags *f)
{
	struct fake_target *targets =
		apr_pcalloc(srv->pool, f->count * sizeof(*targets));
	size_t i;

	for (i = 0; i < f->count; i++) {
		f->knobs.speed = f->speeds[i % f->nspeeds];
		fake_target_init(&targets[i], &srv->timers, srv->pool,
				 &f->knobs, f->seed + i);
	}
	return targets;
}

int main(int argc, char **argv)
{
	static const struct argp argp = { options, parse_flag,
					  NULL,	   "Stand-ins for targets.",
					  NULL,	   NULL,
					  NULL };
	static const struct fake_server_ops ops = {
		.handle = handle,
		.conn_opened = conn_opened,
		.conn_closed = conn_closed,
	};
	struct flags f = {
		.listen = "127.0.0.1:21100",
		.count = 1,
		.threads = 2,
		.seed = 1,
		.speeds = { 1 },
		.nspeeds = 1,
		.knobs = { .slots = 8,
			   .connections = 64,
			   .lookup = 1,
			   .void_ids = 1 },
	};
	struct fake_server srv = { .ops = &ops };
	struct fake_target *targets;
	int failed;
	size_t i;

	argp_parse(&argp, argc, argv, 0, NULL, &f);
	apr_initialize();
	apr_pool_create(&srv.pool, NULL);
	srv.owner = targets = make_targets(&srv, &f);
	failed = fake_server_start(&srv, f.listen, f.count, f.threads);
	if (!failed)
		fake_server_run(&srv);
	for (i = 0; i < f.count; i++)
		fake_target_finish(&targets[i]);
	apr_terminate();
	return failed ? 1 : 0;
}
