/*
 * Measures the cost of scheduling: CPU time and allocations per start by the
 * number of targets and queued tasks, and the memory per queued task, target,
 * and job with its record.
 *
 *   bench-cost [STARTS]
 *
 * All slots stay busy and the queue keeps its length: each step ends one task,
 * which starts the next, and submits a new job when a job completes.
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
#define STARTS_PER_MS 15 /* 15,000 per second */
#define KEYS_PER_REQUEST 1000
#define GOAL_CORE_PERCENT 10.0
#define GOAL_STARTS_PER_S 15000.0

/* Allocations so far, including the few of the bench itself. */
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

struct bench {
	struct rp_kernel *kernel;
	struct rp_options opt;
	struct rp_actions acts;
	struct rp_vm *vms;
	rp_ms now;
	char (*keys)[RP_KEY_MAX];
	int nkeys;
	uint64_t *running; /* ring buffer of start ids, oldest first */
	size_t oldest, nrunning, ring_size;
	uint64_t starts, answers;
	struct rp_blob *body;
};

static double cpu_seconds(void)
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

static void deliver(struct bench *b, const struct rp_event *ev)
{
	size_t i;

	rp_actions_clear(&b->acts);
	rp_kernel_event(b->kernel, b->now, ev, &b->acts);
	for (i = 0; i < b->acts.len; i++) {
		const struct rp_action *a = &b->acts.list[i];

		if (a->type == RP_ACTION_START) {
			b->running[(b->oldest + b->nrunning++) % b->ring_size] =
				a->start.start_id;
			b->starts++;
		} else if (a->type == RP_ACTION_ANSWER) {
			b->answers++;
		}
	}
}

static void fetch_keys(struct bench *b)
{
	struct rp_event ev = { .type = RP_EVENT_KEYS,
			       .keys.count = KEYS_PER_REQUEST };

	deliver(b, &ev);
	memcpy(b->keys, b->acts.list[0].keys.keys,
	       KEYS_PER_REQUEST * sizeof(*b->keys));
	b->nkeys = KEYS_PER_REQUEST;
}

static void submit(struct bench *b, size_t ntasks)
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

	if (!b->nkeys)
		fetch_keys(b);
	spec.key.ptr = b->keys[--b->nkeys];
	spec.key.len = strlen(spec.key.ptr);
	for (i = 0; i < ntasks; i++)
		tasks[i].id = tasks[i].payload = (struct rp_str){ "t", 1 };
	ev.submit.sub = rp_submission_new(&spec);
	ev.submit.wait = 1;
	deliver(b, &ev);
	rp_submission_unref(ev.submit.sub);
}

static void bench_init(struct bench *b, int targets)
{
	struct rp_status st;
	int i;

	memset(b, 0, sizeof(*b));
	b->ring_size = (size_t)targets * SLOTS + 1;
	b->running = calloc(b->ring_size, sizeof(*b->running));
	b->keys = calloc(KEYS_PER_REQUEST, sizeof(*b->keys));
	b->vms = calloc((size_t)targets, sizeof(*b->vms));
	b->body = rp_blob_new("r", 1);
	for (i = 0; i < targets; i++) {
		struct rp_vm *vm = &b->vms[i];

		vm->kind = RP_VM_TARGET;
		snprintf(vm->name, sizeof(vm->name), "t%d", i);
		snprintf(vm->service, sizeof(vm->service), "desk");
		vm->slots = SLOTS;
	}
	rp_options_init(&b->opt);
	snprintf(b->opt.limit, RP_NAME_MAX, "alone");
	b->opt.max_queued = 100000000;
	b->opt.max_records = 10000000;
	b->opt.nseeds = (size_t)targets;
	b->opt.seeds = b->vms;
	b->kernel = calloc(1, rp_kernel_size());
	rp_actions_init(&b->acts);
	if (rp_kernel_init(b->kernel, &b->opt, 0, &st) != RP_OK) {
		fprintf(stderr, "%s\n", st.message);
		exit(1);
	}
}

static void bench_finish(struct bench *b)
{
	rp_actions_finish(&b->acts);
	rp_kernel_finish(b->kernel);
	rp_blob_unref(b->body);
	free(b->kernel);
	free(b->vms);
	free(b->keys);
	free(b->running);
}

/* Ends the task that was started first, so that the next one starts. */
static void finish_oldest_task(struct bench *b)
{
	struct rp_event ev = { .type = RP_EVENT_TARGET_REPLY };
	uint64_t answers = b->answers;

	ev.reply.start_id = b->running[b->oldest];
	ev.reply.outcome = RP_START_DONE;
	ev.reply.body = b->body;
	b->oldest = (b->oldest + 1) % b->ring_size;
	b->nrunning--;
	deliver(b, &ev);
	if (b->answers > answers)
		submit(b, JOB_TASKS);
}

/* Ends up to that many tasks, at the rate of STARTS_PER_MS. */
static void run_starts(struct bench *b, uint64_t starts)
{
	struct rp_event tick = { .type = RP_EVENT_TICK };
	uint64_t i;

	for (i = 0; i < starts && b->nrunning; i++) {
		finish_oldest_task(b);
		if (i % STARTS_PER_MS)
			continue;
		b->now++;
		if (b->now % RP_TICK_MS == 0)
			deliver(b, &tick);
	}
}

static void measure(int targets, size_t queued, uint64_t starts)
{
	struct bench b;
	size_t jobs, i;
	double begin, ns_per_start;
	uint64_t before;

	bench_init(&b, targets);
	jobs = (queued + (size_t)targets * SLOTS) / JOB_TASKS;
	for (i = 0; i < jobs; i++)
		submit(&b, JOB_TASKS);
	run_starts(&b, starts / 4);
	b.starts = 0;
	before = allocations;
	begin = cpu_seconds();
	run_starts(&b, starts);
	ns_per_start = (cpu_seconds() - begin) * 1e9 / (double)b.starts;
	printf("%7d %8zu %9.0f %11.2f %12.1f%%\n", targets, queued,
	       ns_per_start, (double)(allocations - before) / (double)b.starts,
	       ns_per_start * GOAL_STARTS_PER_S / 1e7);
	fflush(stdout);
	bench_finish(&b);
}

/* The memory of a job of ntasks tasks: the mean over n submissions. */
static double bytes_per_job(size_t n, size_t ntasks)
{
	size_t before, i;
	struct bench b;
	double per_job;

	bench_init(&b, 1);
	fetch_keys(&b);
	for (i = 0; i < KEYS_PER_REQUEST / 2; i++)
		submit(&b, ntasks);
	before = bytes_in_use();
	for (i = 0; i < n; i++)
		submit(&b, ntasks);
	per_job = (double)(bytes_in_use() - before) / (double)n;
	bench_finish(&b);
	return per_job;
}

static double bytes_per_target(void)
{
	const int few_targets = 50, many_targets = 2050;
	size_t before = bytes_in_use(), few_bytes, many_bytes;
	struct bench b;

	bench_init(&b, few_targets);
	few_bytes = bytes_in_use() - before;
	bench_finish(&b);
	before = bytes_in_use();
	bench_init(&b, many_targets);
	many_bytes = bytes_in_use() - before;
	bench_finish(&b);
	/* Subtracts the bench's own list of VMs and ring buffer. */
	return (double)(many_bytes - few_bytes) / (many_targets - few_targets) -
	       sizeof(struct rp_vm) - SLOTS * sizeof(uint64_t);
}

int main(int argc, char **argv)
{
	static const int targets[] = { 50, 520, 2000 };
	static const size_t queued[] = { 1000, 10000, 100000, 1000000 };
	uint64_t starts = argc > 1 ? strtoull(argv[1], NULL, 10)
				   : STARTS_DEFAULT;
	double small_job = bytes_per_job(20000, 1);
	double large_job = bytes_per_job(2000, JOB_TASKS);
	size_t t, q;

	printf("bytes per job of one task, with record and submission: %.0f\n",
	       small_job);
	printf("bytes per further queued task: %.0f\n",
	       (large_job - small_job) / (JOB_TASKS - 1));
	printf("bytes per target: %.0f\n", bytes_per_target());
	printf("aim: %.0f starts/s within %.0f%% of a core\n",
	       GOAL_STARTS_PER_S, GOAL_CORE_PERCENT);
	printf("%7s %8s %9s %11s %13s\n", "targets", "queued", "ns/start",
	       "allocations", "core at 15k/s");
	for (t = 0; t < 3; t++)
		for (q = 0; q < 4; q++)
			measure(targets[t], queued[q], starts);
	return 0;
}
