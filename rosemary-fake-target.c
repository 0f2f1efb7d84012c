/*
 * A stand-in for targets. One process simulates many targets, each on its own
 * port and with its own service times, slots and faults.
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
	struct fake_target_settings settings;
};

/* The target that a connection was made to. */
static struct fake_target *target_of(struct fake_conn *c)
{
	struct fake_target *targets = c->srv->user_data;

	return &targets[c->port];
}

/* --- tasks ------------------------------------------------------------ */

/* Replies to a start with the result, or with an error if it failed. */
static enum fake_action reply_result(struct fake_request *r,
				     const struct fake_task *task)
{
	char *text = fake_task_result(task);

	if (task->state == FAKE_TASK_DONE)
		return fake_reply_body(r, 200, text, strlen(text));
	free(text);
	return fake_reply_error(r, 500, "the task failed");
}

/* Starts a task; called again after a resume, when the task has ended. */
static enum fake_action handle_start(struct fake_target *t,
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
		return FAKE_SUSPENDED;
	return reply_result(r, task);
}

/* Replies with the task's state, and with its result if it is done. */
static enum fake_action reply_state(struct fake_request *r,
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

/* Replies to a lookup of an id. */
static enum fake_action handle_lookup(struct fake_target *t,
				      struct fake_request *r, const char *id)
{
	struct fake_task *task = fake_task_find(t, id);

	t->counts.lookups++;
	if (!t->settings.can_lookup)
		return fake_reply_error(r, 405, "this target has no lookup");
	if (!task)
		return fake_reply_error(r, 404, "unknown id");
	return reply_state(r, task);
}

/* Voids an id, or stops its running task when stop=1 is given. */
static enum fake_action handle_delete(struct fake_target *t,
				      struct fake_request *r, const char *id)
{
	const char *stop = fake_request_arg(r, "stop");
	struct fake_task *task;

	if (stop && !strcmp(stop, "1")) {
		task = fake_task_find(t, id);
		if (!task)
			return fake_reply_error(r, 404, "unknown id");
		fake_task_finish(task, FAKE_OUTCOME_STOPPED);
		return reply_state(r, task);
	}
	if (!t->settings.can_void)
		return fake_reply_error(r, 405, "this target voids no ids");
	return reply_state(r, fake_task_void(t, id));
}

/* Serves a request for a task id. */
static enum fake_action handle_task(struct fake_target *t,
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

/* Stops answering on all connections open now, or answers on all again. */
static void set_silent(struct fake_target *t, json_t *body)
{
	int silent = -1;

	fake_json_bool(body, "silent", &silent);
	if (silent >= 0)
		t->silent_up_to = silent ? t->newest_serial : 0;
}

/* Applies the settings that the body names. */
static void apply_settings(struct fake_target *t, json_t *body)
{
	struct fake_target_settings *s = &t->settings;

	fake_json_int(body, "slots", &s->slots);
	fake_json_int(body, "connections", &s->connections);
	fake_json_int(body, "lease_ms", &s->lease_ms);
	fake_json_number(body, "service_ms", &s->service_ms);
	fake_json_number(body, "spread", &s->spread);
	fake_json_number(body, "speed", &s->speed);
	fake_json_bool(body, "leaving", &s->leaving);
	fake_json_bool(body, "fail_all", &s->fail_all);
	fake_json_bool(body, "hang", &s->hang);
	fake_json_bool(body, "down", &s->down);
	fake_json_bool(body, "lookup", &s->can_lookup);
	fake_json_bool(body, "void", &s->can_void);
	set_silent(t, body);
}

/* Serves a control call of a test script. */
static enum fake_action handle_control(struct fake_target *t,
				       struct fake_request *r)
{
	json_t *body;

	if (!strcmp(r->path, RECORD_PATH))
		return fake_target_record_reply(t, r);
	if (!strcmp(r->path, COUNTS_PATH))
		return fake_reply_json(r, 200, fake_target_counts_json(t));
	body = r->len ? json_loadb(r->body, r->len, 0, NULL) : NULL;
	apply_settings(t, body);
	json_decref(body);
	if (t->settings.speed <= 0)
		t->settings.speed = 1;
	return fake_reply_text(r, 200, "{}");
}

/* --- requests and connections ----------------------------------------- */

/* Serves a request, subject to the faults; the lock is held. */
static enum fake_action route(struct fake_target *t, struct fake_request *r)
{
	if (!strncmp(r->path, CONTROL_PATH, strlen(CONTROL_PATH)))
		return handle_control(t, r);
	if (t->settings.down)
		return FAKE_DROP;
	if (r->conn->serial <= t->silent_up_to) {
		fake_request_suspend(r);
		return FAKE_SUSPENDED;
	}
	if (!strncmp(r->path, TASK_PREFIX, strlen(TASK_PREFIX)))
		return handle_task(t, r);
	return fake_reply_error(r, 404, "no such call");
}

/* Serves a request under the lock of its target. */
static enum fake_action handle(struct fake_request *r)
{
	struct fake_target *t = target_of(r->conn);
	enum fake_action action;

	apr_thread_mutex_lock(t->lock);
	action = route(t, r);
	apr_thread_mutex_unlock(t->lock);
	return action;
}

/* Counts a new connection; returns 0 when it exceeds the limit. */
static int conn_opened(struct fake_conn *c)
{
	struct fake_target *t = target_of(c);
	int accepted;

	apr_thread_mutex_lock(t->lock);
	accepted = t->open_connections++ < t->settings.connections;
	t->counts.connections++;
	t->newest_serial = c->serial;
	apr_thread_mutex_unlock(t->lock);
	return accepted;
}

/* Counts a closed connection. */
static void conn_closed(struct fake_conn *c)
{
	struct fake_target *t = target_of(c);

	apr_thread_mutex_lock(t->lock);
	t->open_connections--;
	apr_thread_mutex_unlock(t->lock);
}

/* --- start ------------------------------------------------------------ */

/* Keys of the flags without a short form; argp needs them above 255. */
enum flag {
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
	  "mean service time without 'ms' in the payload; 0: instant", 0 },
	{ "spread", FLAG_SPREAD, "S", 0, "sigma of the log-normal distribution",
	  0 },
	{ "speed", FLAG_SPEED, "F[,F...]", 0,
	  "factors that divide service times, assigned to targets in turn", 0 },
	{ "slots", FLAG_SLOTS, "N", 0, "concurrent tasks per target", 0 },
	{ "connections", FLAG_CONNECTIONS, "N", 0, "connections per target",
	  0 },
	{ "seed", FLAG_SEED, "N", 0, "seed of the service times", 0 },
	{ "no-lookup", FLAG_NO_LOOKUP, NULL, 0, "support no lookup of outcomes",
	  0 },
	{ "no-void", FLAG_NO_VOID, NULL, 0, "support no voiding of ids", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

/* Parses an integer within bounds, or exits. */
static long parse_long(struct argp_state *state, const char *arg, long min,
		       long max)
{
	char *end;
	long n = strtol(arg, &end, 10);

	if (*end || end == arg || n < min || n > max)
		argp_error(state, "'%s' must be %ld..%ld", arg, min, max);
	return n;
}

/* Parses a number of 0 or more, or exits. */
static double parse_non_negative(struct argp_state *state, const char *arg)
{
	char *end;
	double x = strtod(arg, &end);

	if (*end || end == arg || x < 0)
		argp_error(state, "'%s' must be a number, 0 or more", arg);
	return x;
}

/* Parses the list of speed factors. */
static void parse_speeds(struct argp_state *state, struct flags *f, char *arg)
{
	char *save, *token = strtok_r(arg, ",", &save);

	for (f->nspeeds = 0; token && f->nspeeds < SPEEDS_MAX;
	     token = strtok_r(NULL, ",", &save)) {
		f->speeds[f->nspeeds] = parse_non_negative(state, token);
		if (f->speeds[f->nspeeds++] <= 0)
			argp_error(state, "--speed must be above 0");
	}
}

/* Parses one flag. */
static error_t parse_flag(int key, char *arg, struct argp_state *state)
{
	struct flags *f = state->input;

	switch (key) {
	case 'l':
		f->listen = arg;
		return 0;
	case 'n':
		f->count = parse_long(state, arg, 1, FAKE_PORTS_MAX);
		return 0;
	case 't':
		f->threads = parse_long(state, arg, 1, FAKE_THREADS_MAX);
		return 0;
	case FLAG_SERVICE:
		f->settings.service_ms = parse_non_negative(state, arg);
		return 0;
	case FLAG_SPREAD:
		f->settings.spread = parse_non_negative(state, arg);
		return 0;
	case FLAG_SPEED:
		parse_speeds(state, f, arg);
		return 0;
	case FLAG_SLOTS:
		f->settings.slots = parse_long(state, arg, 0, 1000000);
		return 0;
	case FLAG_CONNECTIONS:
		f->settings.connections = parse_long(state, arg, 1, 1000000);
		return 0;
	case FLAG_SEED:
		f->seed = parse_long(state, arg, 0, 1000000000);
		return 0;
	case FLAG_NO_LOOKUP:
		f->settings.can_lookup = 0;
		return 0;
	case FLAG_NO_VOID:
		f->settings.can_void = 0;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Allocates the targets; the speeds are assigned in turn. */
static struct fake_target *new_targets(struct fake_server *srv, struct flags *f)
{
	struct fake_target *targets =
		apr_pcalloc(srv->pool, f->count * sizeof(*targets));
	size_t i;

	for (i = 0; i < f->count; i++) {
		f->settings.speed = f->speeds[i % f->nspeeds];
		fake_target_init(&targets[i], &srv->timers, srv->pool,
				 &f->settings, f->seed + i);
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
		.settings = { .slots = 8,
			      .connections = 64,
			      .can_lookup = 1,
			      .can_void = 1 },
	};
	struct fake_server srv = { .ops = &ops };
	struct fake_target *targets;
	int failed;
	size_t i;

	argp_parse(&argp, argc, argv, 0, NULL, &f);
	apr_initialize();
	apr_pool_create(&srv.pool, NULL);
	srv.user_data = targets = new_targets(&srv, &f);
	failed = fake_server_start(&srv, f.listen, f.count, f.threads);
	if (!failed)
		fake_server_run(&srv);
	for (i = 0; i < f.count; i++)
		fake_target_finish(&targets[i]);
	apr_terminate();
	return failed ? 1 : 0;
}
