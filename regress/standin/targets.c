/* The targets of the stand-in platform. */

#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LEASE_MS 1000 /* longest lease that a target grants */
#define CPU 16000.0   /* capacity, thousandths of a core */
#define TASK_CPU 6000 /* CPU of every task, thousandths of a core */
#define RESTART_MS 80 /* time until the next incarnation answers */
#define FAILS_MS 60   /* until a task fails that always does */
#define CRASH_MS 10   /* from the start of a run that crashes its target */
#define DOWN_MS 2000  /* time until a crashed target is back, with a new id */
#define ENTRY_INTERVAL_MS 1500 /* at which a target rewrites its entry */
/* Time in which the scheduler may not know of a smaller capacity. */
#define SHRINK_MS 1000

void target_init(struct standin *st, size_t index)
{
	struct standin_target *t = &st->targets[index];

	t->st = st;
	t->index = index;
	t->slowdown = 1;
	t->cpu = t->prev_cpu = CPU;
	t->incarnation = 1700000000000 + (int64_t)index;
	snprintf(t->id, sizeof(t->id), "i-%zu", index);
	snprintf(t->zone, sizeof(t->zone), "z");
	t->last_runs = json_object();
	t->advanced_at = fake_now_ms();
	target_write_entry(t);
}

void target_write_entry(struct standin_target *t)
{
	char text[512];

	t->entry_written_at = fake_now_ms();
	snprintf(text, sizeof(text),
		 "{\"service\":\"desk\",\"address\":\"127.0.0.1:%d\","
		 "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,\"state\":"
		 "\"%s\",\"capacity\":{\"cpu\":%.0f,\"taskMemoryMb\":65536},"
		 "\"labels\":[\"a\",\"r1-1\"],\"born\":%lld,\"sequence\":%lld}",
		 t->st->advertised_port + (int)t->index, t->zone,
		 t->draining ? "draining" : "ready", t->cpu,
		 (long long)t->incarnation, (long long)++t->sequence);
	store_put(&t->st->store, "servers", t->id, text);
}

void target_set_cpu(struct standin_target *t, double cpu)
{
	t->prev_cpu = t->cpu;
	t->cpu = cpu;
	t->cpu_changed_at = fake_now_ms();
	target_write_entry(t);
}

static void lose_state(struct standin_target *t)
{
	t->nruns = t->nends = 0;
	t->clock_offset = 0;
	t->last_end = t->fencing_token = t->lease_until = 0;
	json_object_clear(t->last_runs);
	t->incarnation++;
}

void target_restart(struct standin_target *t)
{
	lose_state(t);
	t->restarted_at = fake_now_ms();
	target_write_entry(t);
}

/* Adds one to the task's number. Returns it. */
static int count_task(json_t *counts, const char *task)
{
	json_int_t n = json_integer_value(json_object_get(counts, task)) + 1;

	json_object_set_new(counts, task, json_integer(n));
	return (int)n;
}

static int crashes_target(const char *spec)
{
	return !strncmp(spec, "crash", 5);
}

/* Crashes the target, and brings it back, when it is time. */
static void advance_crash(struct standin_target *t)
{
	size_t i;

	if (t->crashed_until && fake_now_ms() >= t->crashed_until) {
		t->crashed_until = 0;
		store_put(&t->st->store, "servers", t->id, NULL);
		snprintf(t->id, sizeof(t->id), "i-%zu-%d", t->index,
			 t->st->crashes);
		target_write_entry(t);
	}
	if (!t->crash_at || fake_now_ms() < t->crash_at)
		return;
	t->st->crashes++;
	for (i = 0; i < t->nruns; i++)
		if (crashes_target(t->runs[i].spec))
			count_task(t->st->crash_counts, t->runs[i].task);
	lose_state(t);
	t->crash_at = 0;
	t->crashed_until = fake_now_ms() + DOWN_MS;
}

/* Returns the time of the target's own clock, ms. */
static int64_t target_clock(const struct standin_target *t)
{
	return fake_now_ms() + (int64_t)t->clock_offset;
}

/* Removes run i and adds its end to the list. */
static void end_run(struct standin_target *t, size_t i, const char *how)
{
	struct standin_run *run = &t->runs[i];
	struct standin_end *e;

	if (t->nends == t->cap_ends) {
		t->cap_ends = t->cap_ends * 2 + 64;
		t->ends = realloc(t->ends, t->cap_ends * sizeof(*t->ends));
	}
	e = &t->ends[t->nends++];
	memset(e, 0, sizeof(*e));
	e->number = ++t->last_end;
	snprintf(e->task, sizeof(e->task), "%s", run->task);
	e->run = run->run;
	e->how = how;
	t->st->ends++;
	if (!strcmp(how, "done"))
		json_object_set_new(t->st->done_tasks, run->task, json_true());
	snprintf(e->spec, sizeof(e->spec), "%s", run->spec);
	json_object_set_new(t->last_runs, run->task, json_integer(run->run));
	*run = t->runs[--t->nruns];
}

void target_advance(struct standin_target *t)
{
	int64_t now = fake_now_ms();
	double elapsed = (double)(now - t->advanced_at);
	size_t i;

	t->advanced_at = now;
	advance_crash(t);
	if (!t->crashed_until && !t->cut_off &&
	    now - t->entry_written_at >= ENTRY_INTERVAL_MS)
		target_write_entry(t);
	t->clock_offset -= elapsed * t->clock_lag / 100;
	for (i = t->nruns; i-- > 0;) {
		struct standin_run *run = &t->runs[i];

		if (!t->stuck)
			run->done_ms += elapsed / t->slowdown;
		if (run->done_ms >= run->work_ms)
			end_run(t, i, run->fails ? "failed" : "done");
		else if (target_clock(t) >= t->lease_until)
			end_run(t, i, "lapsed");
	}
}

static enum fake_action refuse(struct standin_target *t, struct fake_request *r,
			       const char *reason)
{
	return fake_reply_json(r, 409,
			       json_pack("{s:I,s:s}", "clockMs",
					 (json_int_t)target_clock(t), "reason",
					 reason));
}

static enum fake_action reply_accepted(struct standin_target *t,
				       struct fake_request *r)
{
	return fake_reply_json(r, 200,
			       json_pack("{s:I}", "clockMs",
					 (json_int_t)target_clock(t)));
}

/* Extends the lease to the time asked for, LEASE_MS from now at most. */
static void renew_lease(struct standin_target *t, json_t *body)
{
	int64_t until = 0, longest = target_clock(t) + LEASE_MS;

	fake_json_int(body, "untilMs", &until);
	if (until > longest)
		until = longest;
	if (until > t->lease_until)
		t->lease_until = until;
}

/* Returns the index of a run, or STANDIN_RUNS when it is not running. */
static size_t find_run(struct standin_target *t, const char *task, int64_t run)
{
	size_t i;

	for (i = 0; i < t->nruns; i++)
		if (t->runs[i].run == run && !strcmp(t->runs[i].task, task))
			return i;
	return STANDIN_RUNS;
}

/*
 * Whether an end of the task in this submission was acknowledged. A caller that
 * got no answer submits its job again, and all of it may run again; such
 * submissions differ in their specification.
 */
static int is_acked(struct standin *st, const char *task, const char *spec)
{
	const char *acked =
		json_string_value(json_object_get(st->acked_specs, task));

	return acked && !strcmp(acked, spec);
}

/*
 * Adds the job of a task to started_jobs. The name of a task begins with the id
 * of its job and a dot.
 */
static void record_started_job(struct standin *st, const char *task)
{
	char id[STANDIN_NAME];

	snprintf(id, sizeof(id), "%.*s", (int)strcspn(task, "."), task);
	json_object_set_new(st->started_jobs, id, json_true());
}

static int is_evacuated(struct standin *st, const struct standin_target *t)
{
	char key[STANDIN_NAME + 16];

	snprintf(key, sizeof(key), "evacuate/%s", t->zone);
	return store_row_age(&st->store, "op", key) > st->evacuated_ms;
}

/* Whether a cancellation of the task's job was acknowledged long ago. */
static int was_cancelled(struct standin *st, const char *task)
{
	char id[STANDIN_NAME];
	json_t *at;

	snprintf(id, sizeof(id), "%.*s", (int)strcspn(task, "."), task);
	at = json_object_get(st->cancelled, id);
	return at && fake_now_ms() - json_integer_value(at) > STANDIN_CANCEL_MS;
}

/* Counts a violation for each rule that a start on the target breaks. */
static void check_start(struct standin *st, struct standin_target *t,
			const char *task, const char *spec)
{
	double cpu = 0, room;
	size_t i, j;
	int running = 0;

	for (i = 0; i < st->ntargets; i++) {
		target_advance(&st->targets[i]);
		for (j = 0; j < st->targets[i].nruns; j++)
			running += !strcmp(st->targets[i].runs[j].task, task);
	}
	if (running)
		standin_violation(st, "running twice", task);
	if (is_acked(st, task, spec))
		standin_violation(st, "started after it was done", task);
	if (was_cancelled(st, task))
		standin_violation(st, "started after its cancellation", task);
	for (i = 0; i < t->nruns; i++)
		cpu += t->runs[i].cpu;
	room = t->cpu;
	if (room < t->prev_cpu && fake_now_ms() - t->cpu_changed_at < SHRINK_MS)
		room = t->prev_cpu;
	if (cpu + TASK_CPU > room)
		standin_violation(st, "capacity exceeded", t->id);
	if (json_integer_value(json_object_get(st->crash_counts, task)) >= 3 &&
	    count_task(st->starts_after, task) >= 3)
		standin_violation(st, "started too often after crashes", task);
	if (t->draining && fake_now_ms() - t->draining_since >= st->drain_ms)
		standin_violation(st, "start on a draining target", task);
	if (is_evacuated(st, t))
		standin_violation(st, "start in an evacuated zone", task);
}

/* Whether the task is the first one of a job that can never be done. */
static int always_fails(const char *task, const char *spec)
{
	return strstr(spec, "first-fails") && !strcmp(strrchr(task, '.'), ".0");
}

/* The specification begins with the task's run time in ms. */
static enum fake_action start_run(struct standin_target *t, json_t *body,
				  struct fake_request *r)
{
	struct standin *st = t->st;
	const char *task = json_string_value(json_object_get(body, "task"));
	json_t *spec_text = json_object_get(body, "specification");
	const char *spec = json_string_value(spec_text);
	int64_t run = 0, until = 0;
	struct standin_run *new_run;
	json_t *last_run;

	fake_json_int(body, "run", &run);
	fake_json_int(body, "untilMs", &until);
	if (!task || !spec || run < 1)
		return fake_reply_error(r, 400, "malformed");
	last_run = json_object_get(t->last_runs, task);
	if (until <= target_clock(t))
		return refuse(t, r, "late");
	if (find_run(t, task, run) < STANDIN_RUNS)
		return reply_accepted(t, r);
	if (last_run && run <= json_integer_value(last_run))
		return refuse(t, r, "old");
	if (t->nruns == STANDIN_RUNS)
		return refuse(t, r, "room");
	check_start(st, t, task, spec);
	renew_lease(t, body);
	new_run = &t->runs[t->nruns++];
	memset(new_run, 0, sizeof(*new_run));
	snprintf(new_run->task, sizeof(new_run->task), "%s", task);
	snprintf(new_run->spec, sizeof(new_run->spec), "%s", spec);
	new_run->run = run;
	record_started_job(st, task);
	new_run->work_ms = crashes_target(spec) ? 1000 : atof(spec);
	if (crashes_target(spec))
		t->crash_at = fake_now_ms() + CRASH_MS;
	new_run->cpu = TASK_CPU;
	new_run->fails = t->failing && rand_r(&st->seed) % 100 < t->failing;
	if (always_fails(task, spec)) {
		new_run->fails = 1;
		new_run->work_ms = FAILS_MS;
	}
	st->starts++;
	return reply_accepted(t, r);
}

/* Starts of the task are refused up to the highest of these runs. */
static void refuse_runs_up_to(struct standin_target *t, const char *task,
			      int64_t run)
{
	json_t *last_run = json_object_get(t->last_runs, task);

	if (!last_run || run > json_integer_value(last_run))
		json_object_set_new(t->last_runs, task, json_integer(run));
}

static enum fake_action stop_run(struct standin_target *t, json_t *body,
				 struct fake_request *r)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int64_t run = 0;
	size_t i;

	fake_json_int(body, "run", &run);
	if (!task)
		return fake_reply_error(r, 400, "malformed");
	i = find_run(t, task, run);
	if (i < STANDIN_RUNS)
		end_run(t, i, "stopped");
	else
		refuse_runs_up_to(t, task, run);
	return reply_accepted(t, r);
}

static json_t *runs_json(struct standin_target *t)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < t->nruns; i++)
		json_array_append_new(list,
				      json_pack("[s,I,s,i]", t->runs[i].task,
						(json_int_t)t->runs[i].run, "",
						(int)(100 * t->runs[i].done_ms /
						      t->runs[i].work_ms)));
	return list;
}

static json_t *ends_json(struct standin_target *t)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < t->nends && i < 500; i++)
		json_array_append_new(
			list,
			json_pack("[I,s,I,s,s]", (json_int_t)t->ends[i].number,
				  t->ends[i].task, (json_int_t)t->ends[i].run,
				  t->ends[i].how, ""));
	return list;
}

/* Renews the lease, removes acknowledged ends and waits for another one. */
static enum fake_action hold(struct standin_target *t, json_t *body,
			     struct fake_request *r)
{
	int64_t last_seen = 0, wait = 0;
	json_t *list;
	size_t i = 0;

	fake_json_int(body, "lastSeen", &last_seen);
	fake_json_int(body, "waitMs", &wait);
	if (!r->resumed)
		renew_lease(t, body);
	/*
	 * Only an acknowledged end counts as done for good: a restart of the
	 * target loses the others, and their tasks may run again.
	 */
	for (; i < t->nends && t->ends[i].number <= last_seen; i++)
		if (!strcmp(t->ends[i].how, "done"))
			json_object_set_new(t->st->acked_specs, t->ends[i].task,
					    json_string(t->ends[i].spec));
	if (i) {
		t->nends -= i;
		memmove(t->ends, t->ends + i, t->nends * sizeof(*t->ends));
	}
	if (!t->nends && standin_wait_ms(r) < wait)
		return standin_suspend(r);
	list = json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
			 (json_int_t)target_clock(t), "born",
			 (json_int_t)t->incarnation, "running", runs_json(t),
			 "finished", ends_json(t));
	return t->list_ms ? standin_reply_later(r, list, t->list_ms)
			  : fake_reply_json(r, 200, list);
}

enum fake_action target_handle(struct standin_target *t, struct fake_request *r)
{
	const char *expected = fake_request_header(r, "X-Rosemarypoint-"
						      "Expected-Instance");
	enum fake_action verdict;
	int64_t fence = 0;
	json_t *body;

	target_advance(t);
	if (t->crashed_until)
		return FAKE_DROP;
	/*
	 * A restart closes the connections of the previous incarnation, and the
	 * next one refuses connections for a while.
	 */
	if (t->restarted_at &&
	    fake_now_ms() - standin_wait_ms(r) - RESTART_MS < t->restarted_at)
		return FAKE_DROP;
	if (t->silent || standin_is_lost(t->st, r, t->losing))
		return standin_suspend(r);
	if (expected && strcmp(expected, t->id) != 0)
		return fake_reply_error(r, 421, "another incarnation");
	body = json_loadb(r->body, r->len, 0, NULL);
	fake_json_int(body, "fencingToken", &fence);
	if (fence < t->fencing_token) {
		json_decref(body);
		return refuse(t, r, "fence");
	}
	t->fencing_token = fence;
	if (!strcmp(r->path, "/api/run-start"))
		verdict = start_run(t, body, r);
	else if (!strcmp(r->path, "/api/run-stop"))
		verdict = stop_run(t, body, r);
	else if (!strcmp(r->path, "/api/hold"))
		verdict = hold(t, body, r);
	else
		verdict = fake_reply_error(r, 404, "no such call");
	json_decref(body);
	return verdict;
}
