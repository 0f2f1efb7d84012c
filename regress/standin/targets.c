/* The targets of the stand-in platform. */

#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LEASE_MS 1000
#define CPU 16000.0
#define RESTART_MS 80 /* until another incarnation answers */

void target_init(struct standin *st, size_t index)
{
	struct standin_target *t = &st->targets[index];

	t->st = st;
	t->index = index;
	t->slow = 1;
	t->born = 1700000000000 + (int64_t)index;
	snprintf(t->id, sizeof(t->id), "i-%zu", index);
	t->past = json_object();
	t->advanced = fake_now_ms();
	target_report(t);
}

void target_report(struct standin_target *t)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "{\"service\":\"desk\",\"address\":\"127.0.0.1:%d\","
		 "\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\"state\":"
		 "\"%s\",\"capacity\":{\"cpu\":%.0f,\"taskMemoryMb\":65536},"
		 "\"labels\":[\"a\",\"r1-1\"],\"born\":%lld,\"sequence\":%lld}",
		 t->st->advertise + (int)t->index,
		 t->draining ? "draining" : "ready", CPU, (long long)t->born,
		 (long long)++t->sequence);
	store_put(&t->st->store, "servers", t->id, text);
}

void target_reborn(struct standin_target *t)
{
	t->nruns = t->nends = 0;
	t->clock = 0;
	t->number = t->fence = t->lease_until = 0;
	json_object_clear(t->past);
	t->born++;
	t->reborn_at = fake_now_ms();
	target_report(t);
}

/* A target's clock is its own. */
static int64_t clock_of(const struct standin_target *t)
{
	return fake_now_ms() + (int64_t)t->clock;
}

static void list_end(struct standin_target *t, size_t i, const char *how)
{
	struct standin_run *run = &t->runs[i];
	struct standin_end *e;

	if (t->nends == t->cap_ends) {
		t->cap_ends = t->cap_ends * 2 + 64;
		t->ends = realloc(t->ends, t->cap_ends * sizeof(*t->ends));
	}
	e = &t->ends[t->nends++];
	memset(e, 0, sizeof(*e));
	e->number = ++t->number;
	snprintf(e->task, sizeof(e->task), "%s", run->task);
	e->run = run->run;
	e->how = how;
	t->st->ends++;
	if (!strcmp(how, "done"))
		json_object_set_new(t->st->ended, run->task, json_true());
	snprintf(e->spec, sizeof(e->spec), "%s", run->spec);
	json_object_set_new(t->past, run->task, json_integer(run->run));
	*run = t->runs[--t->nruns];
}

/* Work goes on and leases pass, up to now. */
void target_advance(struct standin_target *t)
{
	int64_t now = fake_now_ms();
	double span = (double)(now - t->advanced);
	size_t i;

	t->advanced = now;
	t->clock -= span * t->drag / 100;
	for (i = t->nruns; i-- > 0;) {
		struct standin_run *run = &t->runs[i];

		if (!t->stuck)
			run->done += span / t->slow;
		if (run->done >= run->work)
			list_end(t, i, run->fails ? "failed" : "done");
		else if (clock_of(t) >= t->lease_until)
			list_end(t, i, "lapsed");
	}
}

static enum fake_verdict refuse(struct standin_target *t,
				struct fake_request *r, const char *reason)
{
	return fake_reply_json(r, 409,
			       json_pack("{s:I,s:s}", "clockMs",
					 (json_int_t)clock_of(t), "reason",
					 reason));
}

static enum fake_verdict reply_accepted(struct standin_target *t,
					struct fake_request *r)
{
	return fake_reply_json(
		r, 200, json_pack("{s:I}", "clockMs", (json_int_t)clock_of(t)));
}

static void renew(struct standin_target *t, json_t *body)
{
	int64_t until = 0, most = clock_of(t) + LEASE_MS;

	fake_json_int(body, "untilMs", &until);
	if (until > most)
		until = most;
	if (until > t->lease_until)
		t->lease_until = until;
}

static size_t find_run(struct standin_target *t, const char *task, int64_t run)
{
	size_t i;

	for (i = 0; i < t->nruns; i++)
		if (t->runs[i].run == run && !strcmp(t->runs[i].task, task))
			return i;
	return STANDIN_RUNS;
}

/*
 * A job that a caller submits again, since it got no answer, may run again
 * from its start; the specification tells the submissions apart.
 */
static int done_before(struct standin *st, const char *task, const char *spec)
{
	const char *done = json_string_value(json_object_get(st->done, task));

	return done && !strcmp(done, spec);
}

/* The id is what comes before the first dot. */
static void note_ran(struct standin *st, const char *task)
{
	char id[STANDIN_NAME];

	snprintf(id, sizeof(id), "%.*s", (int)strcspn(task, "."), task);
	json_object_set_new(st->ran, id, json_true());
}

static void check_start(struct standin *st, struct standin_target *t,
			const char *task, const char *spec)
{
	double cpu = 0;
	size_t i, j;
	int n = 0;

	for (i = 0; i < st->ntargets; i++) {
		target_advance(&st->targets[i]);
		for (j = 0; j < st->targets[i].nruns; j++)
			n += !strcmp(st->targets[i].runs[j].task, task);
	}
	if (n)
		standin_violated(st, "running twice", task);
	if (done_before(st, task, spec))
		standin_violated(st, "started after it was done", task);
	for (i = 0; i < t->nruns; i++)
		cpu += t->runs[i].cpu;
	if (cpu + 6000 > CPU)
		standin_violated(st, "over the room", t->id);
	if (t->draining && fake_now_ms() - t->drains_since >= st->drain_ms)
		standin_violated(st, "start on a draining target", task);
}

/* The specification says for how many ms the task works. */
static enum fake_verdict start(struct standin_target *t, json_t *body,
			       struct fake_request *r)
{
	struct standin *st = t->st;
	const char *task = json_string_value(json_object_get(body, "task"));
	const char *spec = json_string_value(json_object_get(body, "specificati"
								   "on"));
	int64_t run = 0, until = 0;
	struct standin_run *to;
	json_t *past;

	fake_json_int(body, "run", &run);
	fake_json_int(body, "untilMs", &until);
	if (!task || !spec || run < 1)
		return fake_reply_error(r, 400, "malformed");
	past = json_object_get(t->past, task);
	if (until <= clock_of(t))
		return refuse(t, r, "late");
	if (find_run(t, task, run) < STANDIN_RUNS)
		return reply_accepted(t, r);
	if (past && run <= json_integer_value(past))
		return refuse(t, r, "old");
	if (t->nruns == STANDIN_RUNS)
		return refuse(t, r, "room");
	check_start(st, t, task, spec);
	renew(t, body);
	to = &t->runs[t->nruns++];
	memset(to, 0, sizeof(*to));
	snprintf(to->task, sizeof(to->task), "%s", task);
	snprintf(to->spec, sizeof(to->spec), "%s", spec);
	to->run = run;
	note_ran(st, task);
	to->work = atof(spec);
	to->cpu = 6000;
	to->fails = t->failing && rand_r(&st->seed) % 100 < t->failing;
	st->starts++;
	return reply_accepted(t, r);
}

static enum fake_verdict stop(struct standin_target *t, json_t *body,
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
		list_end(t, i, "stopped");
	else
		json_object_set_new(t->past, task, json_integer(run));
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
						(int)(100 * t->runs[i].done /
						      t->runs[i].work)));
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

static enum fake_verdict hold(struct standin_target *t, json_t *body,
			      struct fake_request *r)
{
	int64_t seen = 0, wait = 0;
	size_t i = 0;

	fake_json_int(body, "lastSeen", &seen);
	fake_json_int(body, "waitMs", &wait);
	if (!r->resumed)
		renew(t, body);
	/* An end that was never acknowledged may be lost with the target. */
	for (; i < t->nends && t->ends[i].number <= seen; i++)
		if (!strcmp(t->ends[i].how, "done"))
			json_object_set_new(t->st->done, t->ends[i].task,
					    json_string(t->ends[i].spec));
	if (i) {
		t->nends -= i;
		memmove(t->ends, t->ends + i, t->nends * sizeof(*t->ends));
	}
	if (!t->nends && standin_waited(r) < wait)
		return standin_later(r);
	return fake_reply_json(
		r, 200,
		json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
			  (json_int_t)clock_of(t), "born", (json_int_t)t->born,
			  "running", runs_json(t), "finished", ends_json(t)));
}

enum fake_verdict target_handle(struct standin_target *t,
				struct fake_request *r)
{
	const char *expected = fake_request_header(r, "X-Rosemarypoint-"
						      "Expected-Instance");
	enum fake_verdict verdict;
	int64_t fence = 0;
	json_t *body;

	/* Connections end with a process, and the next one takes a while. */
	if (t->reborn_at &&
	    fake_now_ms() - standin_waited(r) - RESTART_MS < t->reborn_at)
		return FAKE_DROP;
	if (t->dark)
		return standin_later(r);
	target_advance(t);
	if (expected && strcmp(expected, t->id) != 0)
		return fake_reply_error(r, 421, "another incarnation");
	body = json_loadb(r->body, r->len, 0, NULL);
	fake_json_int(body, "fencingToken", &fence);
	if (fence < t->fence) {
		json_decref(body);
		return refuse(t, r, "fence");
	}
	t->fence = fence;
	if (!strcmp(r->path, "/api/run-start"))
		verdict = start(t, body, r);
	else if (!strcmp(r->path, "/api/run-stop"))
		verdict = stop(t, body, r);
	else if (!strcmp(r->path, "/api/hold"))
		verdict = hold(t, body, r);
	else
		verdict = fake_reply_error(r, 404, "no such call");
	json_decref(body);
	return verdict;
}
