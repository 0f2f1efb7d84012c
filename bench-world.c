/* Discrete-event simulation of targets and callers around one kernel. */

#include "bench-world.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

/*
 * The work of a task, in ms at speed 1, is log-normal: the median, and sigma
 * among the tasks of a job and among jobs.
 */
#define WORK_MEDIAN_MS 200.0
#define WORK_SIGMA_TASK 0.6
#define WORK_SIGMA_JOB 0.5
/* Run time of the slowest target relative to the fastest. */
#define SPEED_SPREAD 6.0
#define SPEED_FASTEST 0.5 /* run_time_factor of the fastest target */
/*
 * A third of the jobs have one task; the number of tasks of the others is
 * geometric with this mean, up to a maximum.
 */
#define ONE_TASK_SHARE 0.33
#define JOB_MEAN_TASKS 12
#define JOB_TASKS_MAX 200
#define INTRA_DOMAIN_MS 0.2 /* one way, within a failure domain */
#define SLOW_FACTOR 10.0
#define FAIL_MS 1.0	     /* run time of a task that fails */
#define FLAP_MS 3000.0	     /* half period of a flapping target */
#define LIST_DELAY_MS 2000.0 /* until a dead target is off the list */
#define LOST_REPLY_SHARE 0.02
#define ALL_FAIL_SHARE 0.33
#define KEYS_PER_REQUEST 1000
#define DRAIN_MS 40000.0 /* after the last arrival */

enum event_type {
	EV_ARRIVE,
	EV_TICK,
	EV_REPLY,
	EV_LOOKUP_REPLY,
	EV_VM_LIST,
	EV_FAULT
};

struct bench_event {
	double at;    /* ms */
	uint64_t seq; /* orders events at the same time */
	enum event_type type;
	uint64_t id; /* index of the job or send, or the ask_id */
	int outcome; /* of a reply or a lookup */
};

/* A task sent to a target. */
struct bench_send {
	uint64_t start_id;
	size_t job, task;
	int target;
	double ends_at; /* INFINITY: never */
	enum rp_start_outcome outcome;
	int settled; /* the kernel has its outcome */
	int voided, reply_lost;
};

static int event_is_earlier(const struct bench_event *a,
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
	while (i > 0 && event_is_earlier(&ev, &w->events[(i - 1) / 2])) {
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
		    event_is_earlier(&w->events[c + 1], &w->events[c]))
			c++;
		if (!event_is_earlier(&w->events[c], &last))
			break;
		w->events[i] = w->events[c];
		i = c;
	}
	w->events[i] = last;
	return first;
}

/*
 * Whether the fault now affects the target. It affects target 0, the fastest,
 * whose loss costs the most capacity.
 */
static int fault_applies(const struct bench_world *w, int target)
{
	const struct bench_setup *s = w->setup;

	return target == 0 && w->now_ms >= s->fault_from_ms &&
	       w->now_ms < s->fault_until_ms;
}

static int is_flap_failing(const struct bench_world *w)
{
	double since = w->now_ms - w->setup->fault_from_ms;

	return (int)(since / FLAP_MS) % 2 == 0;
}

static int start_fails(struct bench_world *w, int target)
{
	switch (w->setup->fault) {
	case BENCH_FAILS:
		return fault_applies(w, target);
	case BENCH_FLAPS:
		return fault_applies(w, target) && is_flap_failing(w);
	case BENCH_ALL:
		return fault_applies(w, 0) &&
		       gsl_rng_uniform(w->rng) < ALL_FAIL_SHARE;
	default:
		return 0;
	}
}

double bench_latency(const struct bench_world *w, int target)
{
	return w->targets[target].domain ? w->setup->deployment->inter_domain_ms
					 : INTRA_DOMAIN_MS;
}

/* Determines the outcome of a start and schedules the reply. */
static void target_start_task(struct bench_world *w, struct bench_send *s)
{
	double latency = bench_latency(w, s->target);
	double run_ms = w->jobs[s->job].work_ms[s->task] *
			w->targets[s->target].run_time_factor;

	s->outcome = RP_START_DONE;
	if (w->setup->fault == BENCH_DEAD && fault_applies(w, s->target)) {
		s->outcome = RP_START_UNSENT;
		run_ms = 0;
	} else if (w->setup->fault == BENCH_HANGS &&
		   fault_applies(w, s->target)) {
		s->ends_at = INFINITY;
		w->result.failed_starts++;
		return;
	} else if (start_fails(w, s->target)) {
		s->outcome = RP_START_FAILED;
		run_ms = FAIL_MS;
		w->result.failed_starts++;
	} else if (w->setup->fault == BENCH_SLOW &&
		   fault_applies(w, s->target)) {
		run_ms *= SLOW_FACTOR;
	}
	s->reply_lost = w->setup->fault == BENCH_SILENT &&
			fault_applies(w, 0) &&
			gsl_rng_uniform(w->rng) < LOST_REPLY_SHARE;
	s->ends_at = w->now_ms + latency + run_ms;
	if (!s->reply_lost)
		event_push(w, s->ends_at + latency, EV_REPLY,
			   (uint64_t)(s - w->sends), (int)s->outcome);
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
	/* The payload of each task is the index of its job. */
	s->job = (size_t)strtoull(a->start.sub->tasks[0].payload.ptr, NULL, 10);
	s->task = a->start.task;
	s->target = atoi(a->start.target + 1);
	key = apr_palloc(w->pool, sizeof(*key));
	*key = s->start_id;
	apr_hash_set(w->sends_by_start_id, key, sizeof(*key),
		     (void *)(uintptr_t)w->nsends);
	w->result.starts++;
	target_start_task(w, s);
}

static struct bench_send *send_find(struct bench_world *w, uint64_t start_id)
{
	uintptr_t index = (uintptr_t)apr_hash_get(w->sends_by_start_id,
						  &start_id, sizeof(start_id));

	return &w->sends[index - 1];
}

/* The outcome of a lookup that is sent now. */
static enum rp_lookup_outcome lookup_outcome(const struct bench_world *w,
					     const struct bench_send *s)
{
	if ((w->setup->fault == BENCH_DEAD || w->setup->fault == BENCH_HANGS) &&
	    fault_applies(w, s->target))
		return RP_LOOKUP_NONE;
	if (s->ends_at > w->now_ms)
		return RP_LOOKUP_RUNNING;
	return s->outcome == RP_START_DONE ? RP_LOOKUP_DONE : RP_LOOKUP_FAILED;
}

static void on_lookup(struct bench_world *w, const struct rp_action *a)
{
	struct bench_send *s = send_find(w, a->start.start_id);
	enum rp_lookup_outcome outcome = lookup_outcome(w, s);
	double delay = 2 * bench_latency(w, s->target);

	if (a->type == RP_ACTION_VOID)
		w->result.voids++;
	else
		w->result.lookups++;
	if (outcome == RP_LOOKUP_NONE)
		delay = (double)a->start.timeout;
	event_push(w, w->now_ms + delay, EV_LOOKUP_REPLY,
		   (uint64_t)(s - w->sends), (int)outcome);
}

static void on_stop(struct bench_world *w, const struct rp_action *a)
{
	struct bench_send *s = send_find(w, a->start.start_id);

	w->result.stops++;
	if (s->ends_at == INFINITY || s->ends_at <= w->now_ms)
		return;
	s->ends_at = w->now_ms + bench_latency(w, s->target);
	s->outcome = RP_START_FAILED;
	event_push(w, s->ends_at + bench_latency(w, s->target), EV_REPLY,
		   (uint64_t)(s - w->sends), RP_START_FAILED);
}

static void on_answer(struct bench_world *w, const struct rp_action *a)
{
	struct bench_job *j = &w->jobs[a->token - 1];

	j->answered_at = w->now_ms;
	j->state = a->answer.answer->state;
	j->code = a->answer.answer->status.code;
}

/* Passes an event to the kernel and performs the resulting actions. */
static void deliver(struct bench_world *w, const struct rp_event *ev)
{
	size_t i;

	rp_actions_clear(&w->acts);
	rp_kernel_event(w->kernel, (rp_ms)w->now_ms, ev, &w->acts);
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
				event_push(w, w->now_ms + 2, EV_VM_LIST,
					   a->platform.ask_id, 0);
			break;
		default:
			break;
		}
	}
}

/* Returns a key for the next job; requests a block of keys when needed. */
static const char *next_key(struct bench_world *w)
{
	struct rp_event ev = { .type = RP_EVENT_KEYS,
			       .keys.count = KEYS_PER_REQUEST };

	if (!w->nkeys) {
		deliver(w, &ev);
		memcpy(w->keys, w->acts.list[0].keys.keys,
		       KEYS_PER_REQUEST * sizeof(*w->keys));
		w->nkeys = KEYS_PER_REQUEST;
	}
	return w->keys[--w->nkeys];
}

static void on_arrive(struct bench_world *w, size_t job)
{
	static const char *const teams[BENCH_TEAMS] = { "a", "b", "c", "d" };
	const struct bench_job *j = &w->jobs[job];
	struct rp_task_spec tasks[JOB_TASKS_MAX];
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

	/* The task was stopped, or its target died, before it ended. */
	if (s->settled || (int)s->outcome != e->outcome)
		return;
	s->settled = 1;
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

static void on_vm_list(struct bench_world *w, uint64_t ask_id)
{
	const struct bench_setup *s = w->setup;
	struct rp_event ev = { .type = RP_EVENT_PLATFORM_REPLY };
	int removed = s->fault == BENCH_DEAD &&
		      w->now_ms >= s->fault_from_ms + LIST_DELAY_MS &&
		      w->now_ms < s->fault_until_ms;

	ev.platform.ask_id = ask_id;
	ev.platform.outcome = RP_PLATFORM_DONE;
	ev.platform.vms = w->vms + removed;
	ev.platform.nvms = (size_t)(s->deployment->targets - removed);
	deliver(w, &ev);
}

/* Breaks the connections of a target that dies. */
static void on_fault(struct bench_world *w)
{
	size_t i;

	if (w->setup->fault != BENCH_DEAD)
		return;
	for (i = 0; i < w->nsends; i++) {
		struct bench_send *s = &w->sends[i];

		if (s->target != 0 || s->settled || s->ends_at <= w->now_ms)
			continue;
		s->ends_at = INFINITY;
		s->outcome = RP_START_UNKNOWN;
		w->result.failed_starts++;
		event_push(w, w->now_ms + bench_latency(w, 0), EV_REPLY, i,
			   RP_START_UNKNOWN);
	}
}

static void handle_event(struct bench_world *w, const struct bench_event *e)
{
	struct rp_event tick = { .type = RP_EVENT_TICK };

	switch (e->type) {
	case EV_ARRIVE:
		on_arrive(w, e->id);
		break;
	case EV_TICK:
		deliver(w, &tick);
		if (w->now_ms < w->setup->length_ms + DRAIN_MS)
			event_push(w, w->now_ms + RP_TICK_MS, EV_TICK, 0, 0);
		break;
	case EV_REPLY:
		on_reply(w, e);
		break;
	case EV_LOOKUP_REPLY:
		on_lookup_reply(w, e);
		break;
	case EV_VM_LIST:
		on_vm_list(w, e->id);
		break;
	case EV_FAULT:
		on_fault(w);
		break;
	}
}

static double mean_work_ms(void)
{
	double var = WORK_SIGMA_TASK * WORK_SIGMA_TASK +
		     WORK_SIGMA_JOB * WORK_SIGMA_JOB;

	return WORK_MEDIAN_MS * exp(var / 2);
}

/* Makes targets from fastest to slowest, evenly spaced in log speed. */
static void make_targets(struct bench_world *w)
{
	const struct bench_deployment *deployment = w->setup->deployment;
	double steps = deployment->targets > 1 ? deployment->targets - 1 : 1;
	int i;

	w->vms = calloc((size_t)deployment->targets, sizeof(*w->vms));
	w->targets = calloc((size_t)deployment->targets, sizeof(*w->targets));
	for (i = 0; i < deployment->targets; i++) {
		struct rp_vm *vm = &w->vms[i];

		w->targets[i].run_time_factor =
			SPEED_FASTEST * pow(SPEED_SPREAD, i / steps);
		w->targets[i].domain = i % deployment->domains;
		w->capacity += deployment->slots /
			       w->targets[i].run_time_factor / mean_work_ms();
		vm->kind = RP_VM_TARGET;
		snprintf(vm->name, sizeof(vm->name), "t%d", i);
		snprintf(vm->address, sizeof(vm->address), "10.0.0.1:%d", i);
		snprintf(vm->service, sizeof(vm->service), "desk");
		vm->slots = deployment->slots;
		vm->connections = 64;
		vm->can_lookup = 1;
		vm->can_void = 1;
	}
}

static size_t draw_task_count(gsl_rng *rng)
{
	unsigned n;

	if (gsl_rng_uniform(rng) < ONE_TASK_SHARE)
		return 1;
	n = gsl_ran_geometric(rng, 1.0 / JOB_MEAN_TASKS);
	return n < JOB_TASKS_MAX ? n : JOB_TASKS_MAX;
}

static double load_at(const struct bench_setup *s, double at)
{
	return at >= s->burst_from_ms && at < s->burst_until_ms
		       ? s->load * s->burst_factor
		       : s->load;
}

static void make_job(struct bench_world *w, struct bench_job *j, double at)
{
	double scale =
		gsl_ran_lognormal(w->rng, log(WORK_MEDIAN_MS), WORK_SIGMA_JOB);
	size_t i;

	memset(j, 0, sizeof(*j));
	j->arrived_at = at;
	j->idempotent = gsl_rng_uniform(w->rng) < w->setup->request_share;
	j->ntasks = j->idempotent ? 1 : draw_task_count(w->rng);
	j->team = (int)gsl_rng_uniform_int(w->rng, BENCH_TEAMS);
	j->work_ms = calloc(j->ntasks, sizeof(*j->work_ms));
	for (i = 0; i < j->ntasks; i++)
		j->work_ms[i] =
			scale * gsl_ran_lognormal(w->rng, 0, WORK_SIGMA_TASK);
}

/* Draws all jobs in advance, so that each policy gets the same ones. */
static void make_jobs(struct bench_world *w)
{
	double mean_tasks =
		ONE_TASK_SHARE + (1 - ONE_TASK_SHARE) * JOB_MEAN_TASKS;
	double at = 0;
	size_t cap = 0;

	mean_tasks = w->setup->request_share +
		     (1 - w->setup->request_share) * mean_tasks;
	for (;;) {
		double rate = w->capacity * load_at(w->setup, at) / mean_tasks;

		at += gsl_ran_exponential(w->rng, 1 / rate);
		if (at >= w->setup->length_ms)
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
	w->sends_by_start_id = apr_hash_make(w->pool);
	w->keys = calloc(KEYS_PER_REQUEST, sizeof(*w->keys));
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
	w->opt.nseeds = (size_t)setup->deployment->targets;
	w->opt.seeds = w->vms;
	w->kernel = calloc(1, rp_kernel_size());
	rp_actions_init(&w->acts);
	if (rp_kernel_init(w->kernel, &w->opt, 0, &st) != RP_OK) {
		fprintf(stderr, "%s\n", st.message);
		exit(1);
	}
	event_push(w, 0, EV_TICK, 0, 0);
	event_push(w, setup->fault_from_ms, EV_FAULT, 0, 0);
}

/* Counts the outcomes of the jobs that arrived after the warm-up. */
static void count_results(struct bench_world *w)
{
	struct bench_result *r = &w->result;
	size_t i;

	for (i = 0; i < w->njobs; i++) {
		const struct bench_job *j = &w->jobs[i];

		if (j->arrived_at < w->setup->warmup_ms)
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

		w->now_ms = e.at;
		handle_event(w, &e);
	}
	count_results(w);
}

void bench_finish(struct bench_world *w)
{
	size_t i;

	for (i = 0; i < w->njobs; i++)
		free(w->jobs[i].work_ms);
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
