/*
 * Simulates several entry VMs on the fake network and prints response times,
 * messages per task, and the cost of coordination for each entry VM.
 *
 *	bench-cluster LIMIT VMS TARGETS LOAD_PERCENT TASKS_PER_JOB SECONDS SEED
 */

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/net/net.h"

#define WARMUP_MS 5000
#define DRAIN_MS 20000 /* for the last jobs to complete */
#define MEAN_TASK_US 300000
#define SLOTS 8
#define DOMAINS 4

struct bench {
	struct net *net;
	int tasks_per_job;
	double job_interval_us; /* mean time between arrivals */
	uint64_t random;
	double next_job_us;
};

/* Tasks per us of all targets together. */
static double capacity_per_us(const struct net *net)
{
	double sum = 0;
	int i;

	for (i = 0; i < net->opt.ntargets; i++)
		sum += (double)SLOTS / (double)net->targets[i].task_us;
	return sum;
}

/* A random number between 0 and 1, neither of them included. */
static double uniform(struct bench *b)
{
	return ((double)(random_next(&b->random) >> 11) + 1) / 9007199254740994;
}

static void submit_job(struct bench *b)
{
	struct net *net = b->net;
	int vm = (int)(uniform(b) * net->opt.nvms);
	char key[RP_KEY_MAX];

	net_key(net, vm, key);
	net_submit(net, vm, key, b->tasks_per_job, 60000);
}

/* Submits jobs as a Poisson process, to random entry VMs. */
static void run_load(struct bench *b, int64_t until_us)
{
	while (b->next_job_us < (double)until_us &&
	       b->net->ncalls < NET_CALLS_MAX) {
		int64_t at = (int64_t)b->next_job_us;

		if (at > b->net->now_us)
			net_run(b->net, (at - b->net->now_us) / 1000);
		submit_job(b);
		b->next_job_us += -log(uniform(b)) * b->job_interval_us;
	}
	if (until_us > b->net->now_us)
		net_run(b->net, (until_us - b->net->now_us) / 1000);
}

static int compare_doubles(const void *x, const void *y)
{
	double a = *(const double *)x, b = *(const double *)y;

	return a < b ? -1 : a > b;
}

/* Counters, summed over all entry VMs or targets. */
struct totals {
	uint64_t messages, bytes, cpu_ns, busy, runs;
};

static struct totals net_totals(const struct net *net)
{
	struct totals t = { 0 };
	int i;

	for (i = 0; i < net->opt.nvms; i++) {
		t.messages += net->vms[i].messages;
		t.bytes += net->vms[i].bytes;
		t.cpu_ns += net->vms[i].cpu_ns;
	}
	for (i = 0; i < net->opt.ntargets; i++) {
		t.busy += net->targets[i].busy;
		t.runs += net->targets[i].runs;
	}
	return t;
}

static void print_response_times(const struct net *net, size_t first,
				 size_t last)
{
	double *ms = calloc(last - first + 1, sizeof(*ms)), sum = 0;
	size_t n = 0, not_complete = 0, i;

	if (!ms)
		abort();
	for (i = first; i < last; i++) {
		const struct net_call *c = &net->calls[i];

		if (!c->done_us || c->state != RP_COMPLETE) {
			not_complete++;
			continue;
		}
		ms[n] = (double)(c->done_us - c->sent_us) / 1000;
		sum += ms[n++];
	}
	qsort(ms, n, sizeof(*ms), compare_doubles);
	if (n)
		printf("jobs %zu not_complete %zu mean_ms %.1f p50_ms %.1f "
		       "p99_ms %.1f ",
		       n, not_complete, sum / (double)n, ms[n / 2],
		       ms[n * 99 / 100]);
	free(ms);
}

static void print_rates(const struct net *net, const struct totals *from,
			const struct totals *to, double seconds, size_t memory)
{
	/* Adds 1 so that a run without tasks does not divide by 0. */
	double tasks = (double)(to->runs - from->runs) + 1;
	double vm_seconds = seconds * net->opt.nvms;

	printf("busy/task %.4f msgs/task %.3f msgs/s/node %.1f B/s/node %.0f "
	       "cpu_us/s/node %.0f tasks/s/node %.0f heap_KB/node %.0f "
	       "overruns %llu twice %llu\n",
	       (double)(to->busy - from->busy) / tasks,
	       (double)(to->messages - from->messages) / tasks,
	       (double)(to->messages - from->messages) / vm_seconds,
	       (double)(to->bytes - from->bytes) / vm_seconds,
	       (double)(to->cpu_ns - from->cpu_ns) / 1000 / vm_seconds,
	       tasks / vm_seconds, (double)memory / 1024 / net->opt.nvms,
	       (unsigned long long)net->over_limit_starts,
	       (unsigned long long)net->duplicate_starts);
}

/* Warms up, measures for the given seconds and prints one line. */
static void run_bench(struct bench *b, double load, double seconds,
		      size_t heap_before)
{
	struct net *net = b->net;
	struct totals from, to;
	size_t first, last, memory;

	net_run(net, WARMUP_MS);
	/* Without load the first job is due after the end of the run. */
	b->job_interval_us =
		load > 0
			? b->tasks_per_job / (capacity_per_us(net) * load / 100)
			: 1e18;
	b->next_job_us = (double)net->now_us;
	if (load <= 0)
		b->next_job_us = 1e18;
	run_load(b, net->now_us + (int64_t)WARMUP_MS * 1000);
	memory = mallinfo2().uordblks - heap_before;
	from = net_totals(net);
	first = net->ncalls;
	run_load(b, net->now_us + (int64_t)(seconds * 1e6));
	to = net_totals(net);
	last = net->ncalls;
	net_run(net, DRAIN_MS);
	print_response_times(net, first, last);
	print_rates(net, &from, &to, seconds, memory);
}

int main(int argc, char **argv)
{
	struct net_options opt;
	struct bench b = { 0 };
	size_t heap_before;

	if (argc != 8) {
		fprintf(stderr,
			"usage: %s LIMIT VMS TARGETS LOAD_PERCENT "
			"TASKS_PER_JOB SECONDS SEED\n",
			argv[0]);
		return 2;
	}
	net_options_init(&opt);
	opt.limit = argv[1];
	opt.nvms = atoi(argv[2]);
	opt.ntargets = atoi(argv[3]);
	opt.ndomains = DOMAINS;
	opt.slots = SLOTS;
	opt.task_us = MEAN_TASK_US;
	opt.seed = strtoull(argv[7], NULL, 10);
	opt.measure_cpu = 1;
	heap_before = mallinfo2().uordblks;
	b.net = net_new(&opt);
	b.random = opt.seed;
	b.tasks_per_job = atoi(argv[5]);
	printf("%s vms %d targets %d load %s%% tasks/job %d seed %s: ", argv[1],
	       opt.nvms, opt.ntargets, argv[4], b.tasks_per_job, argv[7]);
	run_bench(&b, atof(argv[4]), atof(argv[6]), heap_before);
	net_free(b.net);
	return 0;
}
