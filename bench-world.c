/* The fake targets and callers around one kernel, event by event. */

#include "bench-world.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

/* Median work of a task at speed 1, ms, and its spread within and over jobs. */
#define WORK_MEDIAN_MS 200.0
#define WORK_SIGMA_TASK 0.6
#define WORK_SIGMA_JOB 0.5
/* The slowest target takes so many times as long as the fastest. */
#define SPEED_SPREAD 6.0
#define SPEED_FASTEST 0.5
/* Tasks of a job: one in a third of jobs, else geometric with this mean. */
#define ONE_TASK_SHARE 0.33
#define JOB_MEAN_TASKS 12
#define JOB_MOST_TASKS 200
#define INSIDE_MS 0.2 /* one way, within a failure domain */
#define SLOW_FACTOR 10.0
#define FAIL_MS 1.0
#define FLAP_MS 3000.0
#define LIST_LAG_MS 2000.0
#define SILENT_SHARE 0.02
#define ALL_FAIL_SHARE 0.33
#define KEYS_AT_ONCE 1000
#define DRAIN_MS 40000.0 /* after the last arrival */

enum event_type { EV_ARRIVE, EV_TICK, EV_REPLY, EV_LOOKUP, EV_LIST, EV_FAULT };

struct bench_event {
	double at;
	uint64_t seq;
	enum event_type type;
	uint64_t id; /* job, send or ask */
	int outcome;
};

struct bench_send {
	uint64_t start_id;
	size_t job, task;
	int target;
	double ends; /* INFINITY: never */
	enum rp_start_outcome outcome;
	int over;	  /* its outcome stands */
	int voided, lost; /* the reply does not come */
};

static int event_before(const struct bench_event *a,
			const struct bench_event *b)
{
	return a->at < b->at || (a->at == b->at && a->seq < b->seq);
}

static void event_push(struct bench_world *w, double at, enum event_type type,
		       uint64_t id, int outcome)
{
	struct bench_event ev = { at, w->next_event++, type, id, outcome };
	size_t i = w->nevents++;

	if (w->nevents > w->cap_events) {
		w->cap_events = w->cap_events ? 2 * w->cap_events : 1024;
		w->events =
			realloc(w->events, w->cap_events * sizeof(*w->events));
	}
	while (i > 0 && event_before(&ev, &w->events[(i - 1) / 2])) {
		w->events[i] = w->events[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	w->events[i] = ev;
}

static struct bench_event event_pop(struct bench_world *w)
{
	struct bench_event first = w->events[0];
	struct bench_event last = w->events[--w->nevents];
	size_t i = 0;

	for (;;) {
		size_t c = 2 * i + 1;

		if (c >= w->nevents)
			break;
		if (c + 1 < w->nevents &&
		    event_before(&w->events[c + 1], &w->events[c]))
			c++;
		if (!event_before(&w->events[c], &last))
			break;
		w->events[i] = w->events[c];
		i = c;
	}
	w->events[i] = last;
	return first;
}

/* The target that the fault strikes: the fastest one is worst to lose. */
static int is_struck(const struct bench_world *w, int target)
{
	const struct bench_setup *s = w->setup;

	return target == 0 && w->now >= s->fault_from && w->now < s->fault_to;
}

static int flap_is_bad(const struct bench_world *w)
{
	double since = w->now - w->setup->fault_from;

	return (int)(since / FLAP_MS) % 2 == 0;
}

static int fails_now(struct bench_world *w, int target)
{
	switch (w->setup->fault) {
	case BENCH_FAILS:
		return is_struck(w, target);
	case BENCH_FLAPS:
		return is_struck(w, target) && flap_is_bad(w);
	case BENCH_ALL:
		return is_struck(w, 0) &&
		       gsl_rng_uniform(w->rng) < ALL_FAIL_SHARE;
	default:
		return 0;
	}
}

double bench_latency(const struct bench_world *w, int target)
{
	return w->targets[target].domain ? w->setup->site->between_ms
					 : INSIDE_MS;
}

/* Decides what becomes of a start, and when the kernel hears of it. */
static void target_starts(struct bench_world *w, struct bench_send *s)
{
	double way = bench_latency(w, s->target);
	double run =
		w->jobs[s->job].work[s->task] * w->targets[s->target].factor;

	s->outcome = RP_START_DONE;
	if (w->setup->fault == BENCH_DEAD && is_struck(w, s->target)) {
		s->outcome = RP_START_UNSENT;
		run = 0;
	} else if (w->setup->fault == BENCH_HANGS && is_struck(w, s->target)) {
		s->ends = INFINITY;
		w->result.lost++;
		return;
	} else if (fails_now(w, s->target)) {
		s->outcome = RP_START_FAILED;
		run = FAIL_MS;
		w->result.lost++;
	} else if (w->setup->fault == BENCH_SLOW && is_struck(w, s->target)) {
		run *= SLOW_FACTOR;
	}
	s->lost = w->setup->fault == BENCH_SILENT && is_struck(w, 0) &&
		  gsl_rng_uniform(w->rng) < SILENT_SHARE;
	s->ends = w->now + way + run;
	if (!s->lost)
		event_push(w, s->ends + way, EV_REPLY, (uint64_t)(s - w->sends),
			   (int)s->outcome);
}

static void on_start(struct bench_world *w, const struct rp_action *a)
{
	struct bench_send *s;
	uint64_t *key;

	if (w->nsends == w->cap_sends) {
		w->cap_sends = w->cap_sends ? 2 * w->cap_sends : 4096;
		w->sends = realloc(w->sends, w->cap_sends * sizeof(*w->sends));
	}
	s = &w->sends[w->nsends++];
	memset(s, 0, sizeof(*s));
	s->start_id = a->start.start_id;
	s->job = (size_t)strtoull(a->start.sub->tasks[0].payload.ptr, NULL, 10);
	s->task = a->start.task;
	s->target = atoi(a->start.target + 1);
	key = apr_palloc(w->pool, sizeof(*key));
	*key = s->start_id;
	apr_hash_set(w->by_start, key, sizeof(*key),
		     (void *)(uintptr_t)w->nsends);
	w->result.starts++;
	target_starts(w, s);
}

static struct bench_send *send_find(struct bench_world *w, uint64_t start_id)
{
	uintptr_t at = (uintptr_t)apr_hash_get(w->by_start, &start_id,
					       sizeof(start_id));

	return &w->sends[at - 1];
}

/* What a lookup finds, now that it reaches the target. */
static enum rp_lookup_outcome lookup_finds(const struct bench_world *w,
					   const struct bench_send *s)
{
	if ((w->setup->fault == BENCH_DEAD || w->setup->fault == BENCH_HANGS) &&
	    is_struck(w, s->target))
		return RP_LOOKUP_NONE;
	if (s->ends > w->now)
		return RP_LOOKUP_RUNNING;
	return s->outcome == RP_START_DONE ? RP_LOOKUP_DONE : RP_LOOKUP_FAILED;
}

static void on_lookup(struct bench_world *w, const struct rp_action *a)
{
	struct bench_send *s = send_find(w, a->start.start_id);
	enum rp_lookup_outcome found = lookup_finds(w, s);
	double way = 2 * bench_latency(w, s->target);

	if (a->type == RP_ACTION_VOID)
		w->result.voids++;
	else
		w->result.lookups++;
	if (found == RP_LOOKUP_NONE)
		way = (double)a->start.timeout;
	event_push(w, w->now + way, EV_LOOKUP, (uint64_t)(s - w->sends),
		   (int)found);
}

static void on_stop(struct bench_world *w, const struct rp_action *a)
{
	struct bench_send *s = send_find(w, a->start.start_id);

	w->result.stops++;
	if (s->ends == INFINITY || s->ends <= w->now)
		return;
	s->ends = w->now + bench_latency(w, s->target);
	s->outcome = RP_START_FAILED;
	event_push(w, s->ends + bench_latency(w, s->target), EV_REPLY,
		   (uint64_t)(s - w->sends), RP_START_FAILED);
}

static void on_answer(struct bench_world *w, const struct rp_action *a)
{
	struct bench_job *j = &w->jobs[a->token - 1];

	j->end = w->now;
	j->state = a->answer.answer->state;
	j->code = a->answer.answer->status.code;
}

/* Delivers an event and carries out what follows. */
static void deliver(struct bench_world *w, const struct rp_event *ev)
{
	size_t i;

	rp_actions_clear(&w->acts);
	rp_kernel_event(w->kernel, (rp_ms)w->now, ev, &w->acts);
	for (i = 0; i < w->acts.len; i++) {
		const struct rp_action *a = &w->acts.list[i];

		switch (a->type) {
		case RP_ACTION_START:
			on_start(w, a);
			break;
		case RP_ACTION_LOOKUP:
		case RP_ACTION_VOID:
			on_lookup(w, a);
			break;
		case RP_ACTION_STOP:
			on_stop(w, a);
			break;
		case RP_ACTION_ANSWER:
			on_answer(w, a);
			break;
		case RP_ACTION_PLATFORM:
			if (a->platform.op == RP_PLATFORM_LIST)
				event_push(w, w->now + 2, EV_LIST,
					   a->platform.ask_id, 0);
			break;
		default:
			break;
		}
	}
}

/* A key for the next job; keys come in blocks. */
static const char *next_key(struct bench_world *w)
{
	struct rp_event ev = { .type = RP_EVENT_KEYS,
			       .keys.count = KEYS_AT_ONCE };

	if (!w->nkeys) {
		deliver(w, &ev);
		memcpy(w->keys, w->acts.list[0].keys.keys,
		       KEYS_AT_ONCE * sizeof(*w->keys));
		w->nkeys = KEYS_AT_ONCE;
	}
	return w->keys[--w->nkeys];
}

static void on_arrive(struct bench_world *w, size_t job)
{
	static const char *const teams[BENCH_TEAMS] = { "a", "b", "c", "d" };
	const struct bench_job *j = &w->jobs[job];
	struct rp_task_spec tasks[JOB_MOST_TASKS];
	const char *key = next_key(w);
	struct rp_submission_spec spec = {
		.key = { key, strlen(key) },
		.service = { "desk", 4 },
		.team = { teams[j->team], 1 },
		.timeout = w->setup->timeout,
		.is_request = j->idempotent,
		.idempotent = j->idempotent,
		.ntasks = j->ntasks,
		.tasks = tasks,
	};
	struct rp_event ev = { .type = RP_EVENT_SUBMIT, .token = job + 1 };
	char text[24];
	size_t i;

	snprintf(text, sizeof(text), "%zu", job);
	for (i = 0; i < j->ntasks; i++) {
		tasks[i].id = (struct rp_str){ "t", 1 };
		tasks[i].payload = (struct rp_str){ text, strlen(text) + 1 };
	}
	ev.submit.sub = rp_submission_new(&spec);
	ev.submit.wait = 1;
	deliver(w, &ev);
	rp_submission_unref(ev.submit.sub);
}

static void on_reply(struct bench_world *w, const struct bench_event *e)
{
	struct bench_send *s = &w->sends[e->id];
	struct rp_event ev = { .type = RP_EVENT_TARGET_REPLY };

	/* The target was stopped, or died, before it came to this. */
	if (s->over || (int)s->outcome != e->outcome)
		return;
	s->over = 1;
	ev.reply.start_id = s->start_id;
	ev.reply.outcome = s->outcome;
	ev.reply.body = rp_blob_new("r", 1);
	deliver(w, &ev);
	rp_blob_unref(ev.reply.body);
}

static void on_lookup_reply(struct bench_world *w, const struct bench_event *e)
{
	struct rp_event ev = { .type = RP_EVENT_LOOKUP_REPLY };

	ev.lookup.start_id = w->sends[e->id].start_id;
	ev.lookup.outcome = e->outcome;
	ev.lookup.body = rp_blob_new("r", 1);
	deliver(w, &ev);
	rp_blob_unref(ev.lookup.body);
}

static void on_list(struct bench_world *w, uint64_t ask_id)
{
	const struct bench_setup *s = w->setup;
	struct rp_event ev = { .type = RP_EVENT_PLATFORM_REPLY };
	int gone = s->fault == BENCH_DEAD &&
		   w->now >= s->fault_from + LIST_LAG_MS &&
		   w->now < s->fault_to;

	ev.platform.ask_id = ask_id;
	ev.platform.outcome = RP_PLATFORM_DONE;
	ev.platform.vms = w->vms + gone;
	ev.platform.nvms = (size_t)(s->site->targets - gone);
	deliver(w, &ev);
}

/* The dead target's connections break. */
static void on_fault(struct bench_world *w)
{
	size_t i;

	if (w->setup->fault != BENCH_DEAD)
		return;
	for (i = 0; i < w->nsends; i++) {
		struct bench_send *s = &w->sends[i];

		if (s->target != 0 || s->over || s->ends <= w->now)
			continue;
		s->ends = INFINITY;
		s->outcome = RP_START_UNKNOWN;
		w->result.lost++;
		event_push(w, w->now + bench_latency(w, 0), EV_REPLY, i,
			   RP_START_UNKNOWN);
	}
}

static void handle(struct bench_world *w, const struct bench_event *e)
{
	struct rp_event tick = { .type = RP_EVENT_TICK };

	switch (e->type) {
	case EV_ARRIVE:
		on_arrive(w, e->id);
		break;
	case EV_TICK:
		deliver(w, &tick);
		if (w->now < w->setup->length + DRAIN_MS)
			event_push(w, w->now + RP_TICK_MS, EV_TICK, 0, 0);
		break;
	case EV_REPLY:
		on_reply(w, e);
		break;
	case EV_LOOKUP:
		on_lookup_reply(w, e);
		break;
	case EV_LIST:
		on_list(w, e->id);
		break;
	case EV_FAULT:
		on_fault(w);
		break;
	}
}

static double mean_work(void)
{
	double var = WORK_SIGMA_TASK * WORK_SIGMA_TASK +
		     WORK_SIGMA_JOB * WORK_SIGMA_JOB;

	return WORK_MEDIAN_MS * exp(var / 2);
}

/* Speeds from fastest to slowest, evenly in the logarithm. */
static void make_targets(struct bench_world *w)
{
	const struct bench_site *site = w->setup->site;
	double steps = site->targets > 1 ? site->targets - 1 : 1;
	int i;

	w->vms = calloc((size_t)site->targets, sizeof(*w->vms));
	w->targets = calloc((size_t)site->targets, sizeof(*w->targets));
	for (i = 0; i < site->targets; i++) {
		struct rp_vm *vm = &w->vms[i];

		w->targets[i].factor =
			SPEED_FASTEST * pow(SPEED_SPREAD, i / steps);
		w->targets[i].domain = i % site->domains;
		w->capacity += site->slots / w->targets[i].factor / mean_work();
		vm->kind = RP_VM_TARGET;
		snprintf(vm->name, sizeof(vm->name), "t%d", i);
		snprintf(vm->address, sizeof(vm->address), "10.0.0.1:%d", i);
		snprintf(vm->service, sizeof(vm->service), "desk");
		vm->slots = site->slots;
		vm->connections = 64;
		vm->can_lookup = 1;
		vm->can_void = 1;
	}
}

static size_t draw_tasks(gsl_rng *rng)
{
	unsigned n;

	if (gsl_rng_uniform(rng) < ONE_TASK_SHARE)
		return 1;
	n = gsl_ran_geometric(rng, 1.0 / JOB_MEAN_TASKS);
	return n < JOB_MOST_TASKS ? n : JOB_MOST_TASKS;
}

static double load_at(const struct bench_setup *s, double at)
{
	return at >= s->burst_from && at < s->burst_to ? s->load * s->burst
						       : s->load;
}

static void make_job(struct bench_world *w, struct bench_job *j, double at)
{
	double scale =
		gsl_ran_lognormal(w->rng, log(WORK_MEDIAN_MS), WORK_SIGMA_JOB);
	size_t i;

	memset(j, 0, sizeof(*j));
	j->at = at;
	j->idempotent = gsl_rng_uniform(w->rng) < w->setup->requests;
	j->ntasks = j->idempotent ? 1 : draw_tasks(w->rng);
	j->team = (int)gsl_rng_uniform_int(w->rng, BENCH_TEAMS);
	j->work = calloc(j->ntasks, sizeof(*j->work));
	for (i = 0; i < j->ntasks; i++)
		j->work[i] =
			scale * gsl_ran_lognormal(w->rng, 0, WORK_SIGMA_TASK);
}

/* Draws all arrivals beforehand, so that every policy gets the same. */
static void make_jobs(struct bench_world *w)
{
	double mean_tasks =
		ONE_TASK_SHARE + (1 - ONE_TASK_SHARE) * JOB_MEAN_TASKS;
	double at = 0;
	size_t cap = 0;

	mean_tasks = w->setup->requests + (1 - w->setup->requests) * mean_tasks;
	for (;;) {
		double rate = w->capacity * load_at(w->setup, at) / mean_tasks;

		at += gsl_ran_exponential(w->rng, 1 / rate);
		if (at >= w->setup->length)
			break;
		if (w->njobs == cap) {
			cap = cap ? 2 * cap : 1024;
			w->jobs = realloc(w->jobs, cap * sizeof(*w->jobs));
		}
		make_job(w, &w->jobs[w->njobs], at);
		event_push(w, at, EV_ARRIVE, w->njobs++, 0);
	}
}

void bench_init(struct bench_world *w, const struct bench_setup *setup)
{
	const struct bench_policies *p = setup->policies;
	struct rp_status st;

	memset(w, 0, sizeof(*w));
	w->setup = setup;
	w->rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(w->rng, setup->seed);
	apr_initialize();
	apr_pool_create(&w->pool, NULL);
	w->by_start = apr_hash_make(w->pool);
	w->keys = calloc(KEYS_AT_ONCE, sizeof(*w->keys));
	make_targets(w);
	make_jobs(w);
	rp_options_init(&w->opt);
	snprintf(w->opt.route, RP_NAME_MAX, "%s", p->route);
	snprintf(w->opt.queue, RP_NAME_MAX, "%s", p->queue);
	snprintf(w->opt.admit, RP_NAME_MAX, "%s", p->admit);
	snprintf(w->opt.health, RP_NAME_MAX, "%s", p->health);
	snprintf(w->opt.retry, RP_NAME_MAX, "%s", p->retry);
	snprintf(w->opt.limit, RP_NAME_MAX, "alone");
	w->opt.seed = setup->seed;
	w->opt.max_records = 4000000;
	w->opt.abort_on_violation = 1;
	w->opt.nseeds = (size_t)setup->site->targets;
	w->opt.seeds = w->vms;
	w->kernel = calloc(1, rp_kernel_size());
	rp_actions_init(&w->acts);
	if (rp_kernel_init(w->kernel, &w->opt, 0, &st) != RP_OK) {
		fprintf(stderr, "%s\n", st.message);
		exit(1);
	}
	event_push(w, 0, EV_TICK, 0, 0);
	event_push(w, setup->fault_from, EV_FAULT, 0, 0);
}

/* Sums up the jobs after the warm-up. */
static void count_jobs(struct bench_world *w)
{
	struct bench_result *r = &w->result;
	size_t i;

	for (i = 0; i < w->njobs; i++) {
		const struct bench_job *j = &w->jobs[i];

		if (j->at < w->setup->warmup)
			continue;
		r->jobs++;
		r->complete += j->state == RP_COMPLETE;
		r->failed += j->state == RP_FAILED;
		r->not_run += j->state == RP_NOT_RUN;
		if (j->state == RP_COMPLETE)
			r->tasks_in_time += j->ntasks;
	}
}

void bench_run(struct bench_world *w)
{
	while (w->nevents) {
		struct bench_event e = event_pop(w);

		w->now = e.at;
		handle(w, &e);
	}
	count_jobs(w);
}

void bench_finish(struct bench_world *w)
{
	size_t i;

	for (i = 0; i < w->njobs; i++)
		free(w->jobs[i].work);
	rp_actions_finish(&w->acts);
	rp_kernel_finish(w->kernel);
	free(w->kernel);
	free(w->jobs);
	free(w->events);
	free(w->sends);
	free(w->targets);
	free(w->vms);
	free(w->keys);
	gsl_rng_free(w->rng);
	apr_pool_destroy(w->pool);
}
