/*
 * Measures what decisions cost: ns and allocations per start as targets and
 * queue grow, and bytes per queued task, target, and job with its record.
 *
 *   bench-cost [STARTS]
 *
 * Every slot is busy and the queue stays full: each step ends one task and
 * starts the next, and submits a new job for each that completes.
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "rosemary.h"

#define SLOTS 8
#define JOB_TASKS 100
#define STARTS_DEFAULT 200000
#define STEPS_PER_MS 15 /* 15,000 starts per second */
#define KEYS_AT_ONCE 1000
#define CORE_PERCENT 10.0
#define STARTS_PER_S 15000.0

/* Counts allocations, this program's own few included. */
static uint64_t allocations;

extern void *__libc_malloc(size_t size);
extern void *__libc_calloc(size_t n, size_t size);
extern void *__libc_realloc(void *ptr, size_t size);

void *malloc(size_t size)
{
	allocations++;
	return __libc_malloc(size);
}

void *calloc(size_t n, size_t size)
{
	allocations++;
	return __libc_calloc(n, size);
}

void *realloc(void *ptr, size_t size)
{
	allocations++;
	return __libc_realloc(ptr, size);
}

struct cost {
	struct rp_kernel *kernel;
	struct rp_options opt;
	struct rp_actions acts;
	struct rp_vm *vms;
	rp_ms now;
	char (*keys)[RP_KEY_MAX];
	int nkeys;
	uint64_t *running; /* ring of start ids */
	size_t first, nrunning, size;
	uint64_t starts, answers;
	struct rp_blob *body;
};

static double seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static size_t bytes_in_use(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static void deliver(struct cost *c, const struct rp_event *ev)
{
	size_t i;

	rp_actions_clear(&c->acts);
	rp_kernel_event(c->kernel, c->now, ev, &c->acts);
	for (i = 0; i < c->acts.len; i++) {
		const struct rp_action *a = &c->acts.list[i];

		if (a->type == RP_ACTION_START) {
			c->running[(c->first + c->nrunning++) % c->size] =
				a->start.start_id;
			c->starts++;
		} else if (a->type == RP_ACTION_ANSWER) {
			c->answers++;
		}
	}
}

static void fetch_keys(struct cost *c)
{
	struct rp_event ev = { .type = RP_EVENT_KEYS,
			       .keys.count = KEYS_AT_ONCE };

	deliver(c, &ev);
	memcpy(c->keys, c->acts.list[0].keys.keys,
	       KEYS_AT_ONCE * sizeof(*c->keys));
	c->nkeys = KEYS_AT_ONCE;
}

static void submit(struct cost *c, size_t ntasks)
{
	struct rp_task_spec tasks[JOB_TASKS];
	struct rp_submission_spec spec = {
		.service = { "desk", 4 },
		.team = { "team", 4 },
		.timeout = 300000,
		.ntasks = ntasks,
		.tasks = tasks,
	};
	struct rp_event ev = { .type = RP_EVENT_SUBMIT, .token = 1 };
	size_t i;

	if (!c->nkeys)
		fetch_keys(c);
	spec.key.ptr = c->keys[--c->nkeys];
	spec.key.len = strlen(spec.key.ptr);
	for (i = 0; i < ntasks; i++)
		tasks[i].id = tasks[i].payload = (struct rp_str){ "t", 1 };
	ev.submit.sub = rp_submission_new(&spec);
	ev.submit.wait = 1;
	deliver(c, &ev);
	rp_submission_unref(ev.submit.sub);
}

static void cost_init(struct cost *c, int targets)
{
	struct rp_status st;
	int i;

	memset(c, 0, sizeof(*c));
	c->size = (size_t)targets * SLOTS + 1;
	c->running = calloc(c->size, sizeof(*c->running));
	c->keys = calloc(KEYS_AT_ONCE, sizeof(*c->keys));
	c->vms = calloc((size_t)targets, sizeof(*c->vms));
	c->body = rp_blob_new("r", 1);
	for (i = 0; i < targets; i++) {
		struct rp_vm *vm = &c->vms[i];

		vm->kind = RP_VM_TARGET;
		snprintf(vm->name, sizeof(vm->name), "t%d", i);
		snprintf(vm->service, sizeof(vm->service), "desk");
		vm->slots = SLOTS;
	}
	rp_options_init(&c->opt);
	snprintf(c->opt.limit, RP_NAME_MAX, "alone");
	c->opt.max_queued = 100000000;
	c->opt.max_records = 10000000;
	c->opt.nseeds = (size_t)targets;
	c->opt.seeds = c->vms;
	c->kernel = calloc(1, rp_kernel_size());
	rp_actions_init(&c->acts);
	if (rp_kernel_init(c->kernel, &c->opt, 0, &st) != RP_OK) {
		fprintf(stderr, "%s\n", st.message);
		exit(1);
	}
}

static void cost_finish(struct cost *c)
{
	rp_actions_finish(&c->acts);
	rp_kernel_finish(c->kernel);
	rp_blob_unref(c->body);
	free(c->kernel);
	free(c->vms);
	free(c->keys);
	free(c->running);
}

/* Ends the task that has run longest; the next one starts. */
static void step(struct cost *c)
{
	struct rp_event ev = { .type = RP_EVENT_TARGET_REPLY };
	uint64_t answers = c->answers;

	ev.reply.start_id = c->running[c->first];
	ev.reply.outcome = RP_START_DONE;
	ev.reply.body = c->body;
	c->first = (c->first + 1) % c->size;
	c->nrunning--;
	deliver(c, &ev);
	if (c->answers > answers)
		submit(c, JOB_TASKS);
}

static void run(struct cost *c, uint64_t starts)
{
	struct rp_event tick = { .type = RP_EVENT_TICK };
	uint64_t i;

	for (i = 0; i < starts && c->nrunning; i++) {
		step(c);
		if (i % STEPS_PER_MS)
			continue;
		c->now++;
		if (c->now % RP_TICK_MS == 0)
			deliver(c, &tick);
	}
}

static void measure(int targets, size_t queued, uint64_t starts)
{
	struct cost c;
	size_t jobs, i;
	double from, took;
	uint64_t before;

	cost_init(&c, targets);
	jobs = (queued + (size_t)targets * SLOTS) / JOB_TASKS;
	for (i = 0; i < jobs; i++)
		submit(&c, JOB_TASKS);
	run(&c, starts / 4);
	c.starts = 0;
	before = allocations;
	from = seconds();
	run(&c, starts);
	took = (seconds() - from) * 1e9 / (double)c.starts;
	printf("%7d %8zu %9.0f %11.2f %12.1f%%\n", targets, queued, took,
	       (double)(allocations - before) / (double)c.starts,
	       took * STARTS_PER_S / 1e7);
	fflush(stdout);
	cost_finish(&c);
}

/* Bytes that n submissions of so many tasks take, each. */
static double bytes_per_job(size_t n, size_t ntasks)
{
	size_t before, i;
	struct cost c;
	double each;

	cost_init(&c, 1);
	fetch_keys(&c);
	for (i = 0; i < KEYS_AT_ONCE / 2; i++)
		submit(&c, ntasks);
	before = bytes_in_use();
	for (i = 0; i < n; i++)
		submit(&c, ntasks);
	each = (double)(bytes_in_use() - before) / (double)n;
	cost_finish(&c);
	return each;
}

static double bytes_per_target(void)
{
	const int few = 50, many = 2050;
	size_t before = bytes_in_use(), small, large;
	struct cost c;

	cost_init(&c, few);
	small = bytes_in_use() - before;
	cost_finish(&c);
	before = bytes_in_use();
	cost_init(&c, many);
	large = bytes_in_use() - before;
	cost_finish(&c);
	/* This program's own list and ring are not the kernel's. */
	return (double)(large - small) / (many - few) - sizeof(struct rp_vm) -
	       SLOTS * sizeof(uint64_t);
}

int main(int argc, char **argv)
{
	static const int targets[] = { 50, 520, 2000 };
	static const size_t queued[] = { 1000, 10000, 100000, 1000000 };
	uint64_t starts = argc > 1 ? strtoull(argv[1], NULL, 10)
				   : STARTS_DEFAULT;
	double one = bytes_per_job(20000, 1);
	double hundred = bytes_per_job(2000, JOB_TASKS);
	size_t t, q;

	printf("bytes per job of one task, with record and submission: %.0f\n",
	       one);
	printf("bytes per further queued task: %.0f\n",
	       (hundred - one) / (JOB_TASKS - 1));
	printf("bytes per target: %.0f\n", bytes_per_target());
	printf("aim: %.0f starts/s within %.0f%% of a core\n", STARTS_PER_S,
	       CORE_PERCENT);
	printf("%7s %8s %9s %11s %13s\n", "targets", "queued", "ns/start",
	       "allocations", "core at 15k/s");
	for (t = 0; t < 3; t++)
		for (q = 0; q < 4; q++)
			measure(targets[t], queued[q], starts);
	return 0;
}
