/* Main program of the stand-in platform, and its /control requests. */

#include "standin.h"

#include <apr_general.h>
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RECHECK_US 4000 /* interval at which a suspended request is retried */

/* Data of a request that was suspended. */
struct suspension {
	int64_t since;
	int lost;    /* see standin_is_lost() */
	int late_ms; /* it is carried out after this time; -1: never */
	/* The reply is ready, and sent then; NULL: it is not ready. */
	json_t *reply;
	int64_t reply_at;
};

void standin_violation(struct standin *st, const char *what,
		       const char *subject)
{
	if (!st->violations++)
		snprintf(st->first_violation, sizeof(st->first_violation),
			 "%s: %s", what, subject);
}

int64_t standin_wait_ms(struct fake_request *r)
{
	struct suspension *susp = r->data;

	return susp ? fake_now_ms() - susp->since : 0;
}

static void on_recheck(struct fake_timer *t)
{
	struct fake_request *r =
		(struct fake_request *)((char *)t -
					offsetof(struct fake_request, timer));

	fake_request_resume(r);
}

enum fake_action standin_suspend(struct fake_request *r)
{
	struct suspension *susp = r->data;

	if (!susp) {
		susp = calloc(1, sizeof(*susp));
		susp->since = fake_now_ms();
		r->data = susp;
	}
	fake_request_suspend(r);
	r->timer.fire = on_recheck;
	fake_timers_add(&r->conn->srv->timers, &r->timer, RECHECK_US);
	return FAKE_SUSPENDED;
}

enum fake_action standin_reply_later(struct fake_request *r, json_t *value,
				     int ms)
{
	enum fake_action verdict = standin_suspend(r);
	struct suspension *susp = r->data;

	susp->reply = value;
	susp->reply_at = fake_now_ms() + ms;
	return verdict;
}

/* The reply of the request is ready: sends it, or waits until it is due. */
static enum fake_action send_when_due(struct fake_request *r)
{
	struct suspension *susp = r->data;

	if (fake_now_ms() < susp->reply_at)
		return standin_suspend(r);
	return fake_reply_json(r, 200, susp->reply);
}

void standin_lose(struct fake_request *r, int ms)
{
	struct suspension *susp = calloc(1, sizeof(*susp));

	susp->since = fake_now_ms();
	susp->lost = 1;
	susp->late_ms = ms;
	r->data = susp;
}

int standin_is_late(struct fake_request *r)
{
	const struct suspension *susp = r->data;

	return susp && susp->lost &&
	       (susp->late_ms < 0 || standin_wait_ms(r) < susp->late_ms);
}

int standin_is_lost(struct standin *st, struct fake_request *r, int percent)
{
	if (r->data)
		return standin_is_late(r);
	if (!percent || rand_r(&st->seed) % 100 >= percent)
		return 0;
	standin_lose(r, STANDIN_LATE_MS);
	return 1;
}

/* Sets *to if the object has the member. */
static void set_int(json_t *o, const char *name, int *to)
{
	int64_t v = *to;

	fake_json_int(o, name, &v);
	*to = (int)v;
}

static enum fake_action control_store(struct standin *st,
				      struct fake_request *r, json_t *o)
{
	struct standin_store *s = &st->store;
	int compact = 0, up_after_ms = 0;

	set_int(o, "down", &s->down);
	set_int(o, "up_after_ms", &up_after_ms);
	s->up_at = up_after_ms ? fake_now_ms() + up_after_ms : 0;
	set_int(o, "silent", &s->silent);
	set_int(o, "lose_answers", &s->lose_answers);
	set_int(o, "page", &s->page);
	set_int(o, "late_writes", &s->late_writes);
	set_int(o, "late_ms", &s->late_ms);
	set_int(o, "compact", &compact);
	if (compact)
		s->compacted = ++s->version;
	return fake_reply_text(r, 200, "");
}

static enum fake_action control_target(struct standin *st,
				       struct fake_request *r, json_t *o)
{
	struct standin_target *t;
	int index = -1, restart = 0;
	double cpu;

	set_int(o, "target", &index);
	if (index < 0 || (size_t)index >= st->ntargets)
		return fake_reply_error(r, 400, "no such target");
	t = &st->targets[index];
	target_advance(t);
	set_int(o, "silent", &t->silent);
	set_int(o, "cut_off", &t->cut_off);
	set_int(o, "stuck", &t->stuck);
	set_int(o, "failing", &t->failing);
	set_int(o, "losing", &t->losing);
	set_int(o, "list_ms", &t->list_ms);
	if (!t->draining)
		t->draining_since = fake_now_ms();
	set_int(o, "draining", &t->draining);
	set_int(o, "restart", &restart);
	fake_json_number(o, "slowdown", &t->slowdown);
	cpu = t->cpu;
	fake_json_number(o, "cpu", &cpu);
	if (cpu != t->cpu)
		target_set_cpu(t, cpu);
	set_int(o, "clock_lag", &t->clock_lag);
	if (restart)
		target_restart(t);
	if (json_object_get(o, "zone"))
		snprintf(t->zone, sizeof(t->zone), "%s",
			 json_string_value(json_object_get(o, "zone")));
	if (json_object_get(o, "draining") || json_object_get(o, "zone"))
		target_write_entry(t);
	return fake_reply_text(r, 200, "");
}

/* {"table","key","text"}: writes or, without a text, removes a row. */
static enum fake_action control_row(struct standin *st, struct fake_request *r,
				    json_t *o)
{
	store_put(&st->store, json_string_value(json_object_get(o, "table")),
		  json_string_value(json_object_get(o, "key")),
		  json_string_value(json_object_get(o, "text")));
	return fake_reply_text(r, 200, "");
}

/* {"id"}: a caller has cancelled the job, which was acknowledged. */
static enum fake_action control_cancelled(struct standin *st,
					  struct fake_request *r, json_t *o)
{
	json_object_set_new(st->cancelled,
			    json_string_value(json_object_get(o, "id")),
			    json_integer(fake_now_ms()));
	return fake_reply_text(r, 200, "");
}

static enum fake_action control_counts(struct standin *st,
				       struct fake_request *r)
{
	size_t i, runs = 0;

	for (i = 0; i < st->ntargets; i++) {
		target_advance(&st->targets[i]);
		runs += st->targets[i].nruns;
	}
	return fake_reply_json(
		r, 200,
		json_pack("{s:i,s:i,s:s,s:I,s:I,s:I,s:I,s:I}", "crashes",
			  st->crashes, "violations", st->violations,
			  "first_violation", st->first_violation, "starts",
			  (json_int_t)st->starts, "ends", (json_int_t)st->ends,
			  "running", (json_int_t)runs, "reads",
			  (json_int_t)st->store.reads, "writes",
			  (json_int_t)st->store.writes));
}

/* Whether a run of each of the job's tasks has ended as done. */
static int all_tasks_done(struct standin *st, const char *id, int tasks)
{
	char task[STANDIN_NAME];
	int i;

	for (i = 0; i < tasks; i++) {
		snprintf(task, sizeof(task), "%s.0.0.%d", id, i);
		if (!json_object_get(st->done_tasks, task))
			return 0;
	}
	return 1;
}

/*
 * {"tasks","rejected":[ID...],"completed":[ID...]}: compares the answers that
 * callers got with what happened at the targets. Replies with the number of
 * rejected jobs that ran and of completed jobs of which a task was not done.
 */
static enum fake_action control_verify(struct standin *st,
				       struct fake_request *r, json_t *o)
{
	int64_t tasks = 0, ran = 0, not_done = 0;
	json_t *id;
	size_t i;

	for (i = 0; i < st->ntargets; i++)
		target_advance(&st->targets[i]);
	fake_json_int(o, "tasks", &tasks);
	json_array_foreach(json_object_get(o, "rejected"), i, id)
	{
		if (!json_object_get(st->started_jobs, json_string_value(id)))
			continue;
		fprintf(stderr, "rejected but ran: %s\n",
			json_string_value(id));
		ran++;
	}
	json_array_foreach(json_object_get(o, "completed"), i, id)
	{
		not_done +=
			!all_tasks_done(st, json_string_value(id), (int)tasks);
	}
	return fake_reply_json(
		r, 200,
		json_pack("{s:I,s:I}", "rejected_but_ran", (json_int_t)ran,
			  "completed_but_not_done", (json_int_t)not_done));
}

static enum fake_action control(struct standin *st, struct fake_request *r)
{
	enum fake_action verdict;
	json_t *o;

	if (!strcmp(r->path, "/control/counts"))
		return control_counts(st, r);
	o = json_loadb(r->body, r->len, 0, NULL);
	if (!strcmp(r->path, "/control/store"))
		verdict = control_store(st, r, o);
	else if (!strcmp(r->path, "/control/target"))
		verdict = control_target(st, r, o);
	else if (!strcmp(r->path, "/control/row"))
		verdict = control_row(st, r, o);
	else if (!strcmp(r->path, "/control/cancelled"))
		verdict = control_cancelled(st, r, o);
	else if (!strcmp(r->path, "/control/verify"))
		verdict = control_verify(st, r, o);
	else
		verdict = fake_reply_error(r, 404, "no such control");
	json_decref(o);
	return verdict;
}

static enum fake_action handle(struct fake_request *r)
{
	struct standin *st = r->conn->srv->user_data;
	const struct suspension *susp = r->data;
	enum fake_action verdict;

	apr_thread_mutex_lock(st->lock);
	if (susp && susp->reply)
		verdict = send_when_due(r);
	else if (!strncmp(r->path, "/control/", 9))
		verdict = control(st, r);
	else if (r->conn->port == 0)
		verdict = store_handle(st, r);
	else
		verdict = target_handle(&st->targets[r->conn->port - 1], r);
	apr_thread_mutex_unlock(st->lock);
	if (verdict != FAKE_SUSPENDED) {
		free(r->data);
		r->data = NULL;
	}
	return verdict;
}

/* Writes the operator's table, with one route. */
static void put_routes(struct standin *st)
{
	store_put(&st->store, "op", "config",
		  "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"127.0."
		  "0.1\","
		  "\"pathPrefix\":\"/q/\",\"timeoutMs\":5000,"
		  "\"targetLatencyMs\":200,\"priority\":0,\"service\":\"desk\","
		  "\"maxAttempts\":3,\"stretch\":2}],\"services\":[],"
		  "\"limits\":{\"maxBodyBytes\":4096}}");
}

static const struct argp_option options[] = {
	{ .name = "listen", .key = 'l', .arg = "IP:PORT" },
	{ .name = "targets", .key = 'n', .arg = "COUNT" },
	{ .name = "drain-ms",
	  .key = 'd',
	  .arg = "MS",
	  .doc = "time after which a start on a draining target is "
		 "a violation" },
	{ .name = "evacuated-ms",
	  .key = 'e',
	  .arg = "MS",
	  .doc = "time after which a start in an evacuated zone is a "
		 "violation" },
	{ .name = "advertise",
	  .key = 'a',
	  .arg = "PORT",
	  .doc = "port of the first target in its entry" },
	{ 0 },
};

struct flags {
	const char *listen;
	size_t targets;
	int advertise;
	int drain_ms;
	int evacuated_ms;
};

static error_t parse_flag(int key, char *arg, struct argp_state *state)
{
	struct flags *f = state->input;

	if (key == 'l')
		f->listen = arg;
	else if (key == 'n')
		f->targets = strtoul(arg, NULL, 10);
	else if (key == 'e')
		f->evacuated_ms = atoi(arg);
	else if (key == 'd')
		f->drain_ms = atoi(arg);
	else if (key == 'a')
		f->advertise = atoi(arg);
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

int main(int argc, char **argv)
{
	static const struct argp argp = { options, parse_flag, NULL, NULL,
					  NULL,	   NULL,       NULL };
	static const struct fake_server_ops ops = { .handle = handle };
	static struct standin st;
	struct flags f = { "127.0.0.1:22100", 4, 0, 0, 1500 };
	size_t i;

	argp_parse(&argp, argc, argv, 0, NULL, &f);
	apr_initialize();
	st.srv.ops = &ops;
	st.srv.user_data = &st;
	apr_pool_create(&st.srv.pool, NULL);
	apr_thread_mutex_create(&st.lock, APR_THREAD_MUTEX_DEFAULT,
				st.srv.pool);
	st.acked_specs = json_object();
	st.started_jobs = json_object();
	st.cancelled = json_object();
	st.crash_counts = json_object();
	st.starts_after = json_object();
	st.done_tasks = json_object();
	st.seed = 1;
	st.store.page = 500;
	st.drain_ms = f.drain_ms;
	st.evacuated_ms = f.evacuated_ms;
	st.first_port = atoi(strrchr(f.listen, ':') + 1);
	st.advertised_port = f.advertise ? f.advertise : st.first_port + 1;
	st.ntargets = f.targets < STANDIN_TARGETS ? f.targets : STANDIN_TARGETS;
	put_routes(&st);
	for (i = 0; i < st.ntargets; i++)
		target_init(&st, i);
	if (fake_server_start(&st.srv, f.listen, st.ntargets + 1, 1))
		return 1;
	fake_server_run(&st.srv);
	return 0;
}
