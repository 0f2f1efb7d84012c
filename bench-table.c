/*
 * Measures the operator's table and claims with several kernels and a fake
 * platform in logical time, and the cost of trace events in real time.
 *
 *	bench-table spread VMS EDITS LINKS SEED
 *	bench-table claims VMS PER_SECOND SECONDS DELAY_MS SEED [ROWS_PER_S]
 *	bench-table outage VMS PER_SECOND SEED
 *	bench-table memory SEED
 *	bench-table ring EVENTS
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "regress/many.h"

#define EDIT_INTERVAL_MS 39272 /* 2,200 edits a day */
#define WARMUP_MS 5000
#define WINDOW_MS 100 /* for the peak rate of platform calls */

static int compare_ms(const void *x, const void *y)
{
	const rp_ms *a = x, *b = y;

	return (*a > *b) - (*a < *b);
}

/* Prints the median, 99th percentile and maximum of n values in ms. */
static void print_percentiles(const char *label, rp_ms *list, size_t n)
{
	qsort(list, n, sizeof(*list), compare_ms);
	if (n)
		printf("%s_ms p50 %lld p99 %lld max %lld of %zu\n", label,
		       (long long)list[n / 2], (long long)list[n * 99 / 100],
		       (long long)list[n - 1], n);
}

static double per_second(uint64_t n, rp_ms duration_ms)
{
	return (double)n * 1000.0 / (double)duration_ms;
}

/* --- propagation of the table ----------------------------------------- */

/* Whether all kernels have at least that version of the table. */
static int all_at_version(const struct many *m, int64_t version)
{
	int i;

	for (i = 0; i < m->n; i++)
		if (table_version(m->k[i]) < version)
			return 0;
	return 1;
}

static void bench_spread(int vms, int edits, int links, uint64_t seed)
{
	rp_ms *delays = calloc((size_t)edits, sizeof(*delays)), begin, at;
	uint64_t reads, writes, commits;
	struct many m;
	int i;

	many_init(&m, vms, seed);
	m.partitioned = !links;
	many_run(&m, WARMUP_MS);
	begin = m.now;
	reads = m.platform.reads;
	writes = m.platform.writes;
	commits = m.platform.commits;
	for (i = 0; i < edits; i++) {
		struct rp_cell c = many_target_cell("target-0", i % 100, i + 1);
		char id[RP_NAME_MAX];

		snprintf(id, sizeof(id), "edit-%d", i);
		at = m.now;
		many_edit(&m, i % vms, (rp_token)i + 1, id,
			  table_version(m.k[i % vms]), &c, 1);
		while (!all_at_version(&m, i + 1))
			many_run(&m, 1);
		delays[i] = m.now - at;
		many_run(&m, EDIT_INTERVAL_MS - delays[i]);
	}
	print_percentiles("in_force_everywhere", delays, (size_t)edits);
	printf("platform reads/s %.1f rows_written/s %.2f commits/s %.2f\n",
	       per_second(m.platform.reads - reads, m.now - begin),
	       per_second(m.platform.writes - writes, m.now - begin),
	       per_second(m.platform.commits - commits, m.now - begin));
	many_finish(&m);
	free(delays);
}

/* --- claims ----------------------------------------------------------- */

/* Callers that submit at a constant rate, under keys that they choose. */
struct callers {
	struct many *m;
	double next_due, interval; /* ms */
	uint64_t next;	/* number of the next call; its token is next + 1 */
	rp_ms *sent_at; /* by number of the call */
	size_t max, ncompleted; /* most calls; starts completed so far */
	rp_ms *delays;		/* from call to start */
	size_t ndelays;
};

static void callers_init(struct callers *c, struct many *m, double rate,
			 rp_ms duration_ms)
{
	memset(c, 0, sizeof(*c));
	c->m = m;
	c->interval = 1000.0 / rate;
	c->next_due = (double)m->now;
	c->max = (size_t)((double)duration_ms / c->interval) + 16;
	c->sent_at = calloc(c->max, sizeof(*c->sent_at));
	c->delays = calloc(c->max, sizeof(*c->delays));
}

static void callers_finish(struct callers *c)
{
	free(c->sent_at);
	free(c->delays);
}

/* Runs for one ms: submits the due calls and completes all started tasks. */
static void callers_run(struct callers *c)
{
	struct many *m = c->m;
	char key[RP_NAME_MAX];

	while (c->next_due <= (double)m->now && c->next < c->max) {
		snprintf(key, sizeof(key), "key-%llu",
			 (unsigned long long)c->next);
		c->sent_at[c->next] = m->now;
		many_submit(m, (int)(c->next % (uint64_t)m->n), c->next + 1,
			    key, "x", 30000, 1);
		c->next++;
		c->next_due += c->interval;
	}
	many_run(m, 1);
	for (; c->ncompleted < m->nstarts; c->ncompleted++) {
		size_t i = (size_t)atoll(m->starts[c->ncompleted].key + 4);

		c->delays[c->ndelays++] = m->now - c->sent_at[i];
		many_complete_send(m, c->ncompleted);
	}
}

static void bench_claims(int vms, double rate, rp_ms seconds, rp_ms delay,
			 uint64_t seed, int rows)
{
	uint64_t reads, writes, commits;
	struct callers c;
	struct many m;
	rp_ms begin;
	int i;

	many_init(&m, vms, seed);
	for (i = 0; i < vms; i++)
		m.k[i]->opt.claim_rows = rows;
	many_run(&m, WARMUP_MS);
	m.platform.delay = delay;
	m.platform.delay_jitter = delay;
	begin = m.now;
	reads = m.platform.reads;
	writes = m.platform.writes;
	commits = m.platform.commits;
	callers_init(&c, &m, rate, seconds * 1000);
	while (m.now < begin + seconds * 1000)
		callers_run(&c);
	printf("claims/s offered %.0f started %.0f commits/s %.1f "
	       "rows_written/s %.0f reads/s %.1f\n",
	       per_second(c.next, m.now - begin),
	       per_second(c.ndelays, m.now - begin),
	       per_second(m.platform.commits - commits, m.now - begin),
	       per_second(m.platform.writes - writes, m.now - begin),
	       per_second(m.platform.reads - reads, m.now - begin));
	print_percentiles("claim_to_start", c.delays, c.ndelays);
	callers_finish(&c);
	many_finish(&m);
}

/* --- outage and recovery ---------------------------------------------- */

/*
 * Runs the callers for duration_ms. Returns the highest rate of platform calls
 * in a window, per second, and sets *mean to the mean rate.
 */
static double peak_call_rate(struct many *m, struct callers *c,
			     rp_ms duration_ms, double *mean)
{
	uint64_t first = m->platform.calls_total, calls, peak = 0;
	rp_ms end = m->now + duration_ms, at;

	while (m->now < end) {
		calls = m->platform.calls_total;
		for (at = m->now; m->now < at + WINDOW_MS;)
			callers_run(c);
		calls = m->platform.calls_total - calls;
		if (calls > peak)
			peak = calls;
	}
	*mean = per_second(m->platform.calls_total - first, duration_ms);
	return per_second(peak, WINDOW_MS);
}

static void bench_outage(int vms, double rate, uint64_t seed)
{
	static const char *const phases[] = { "before", "outage", "silent",
					      "recovery" };
	struct callers c;
	struct many m;
	double mean, peak;
	size_t i;

	many_init(&m, vms, seed);
	many_run(&m, WARMUP_MS);
	callers_init(&c, &m, rate, 85000); /* the phases take 80 s */
	for (i = 0; i < sizeof(phases) / sizeof(*phases); i++) {
		m.platform.outage = i == 1;
		m.platform.silent = i == 2;
		peak = peak_call_rate(&m, &c, 20000, &mean);
		printf("%-8s calls/s mean %.0f worst_100ms %.0f started %zu\n",
		       phases[i], mean, peak, c.ndelays);
		c.ndelays = 0;
	}
	callers_finish(&c);
	many_finish(&m);
}

/* --- memory and trace events ------------------------------------------ */

static size_t heap_bytes_used(void)
{
	return mallinfo2().uordblks + mallinfo2().hblkhd;
}

static void bench_memory(uint64_t seed)
{
	struct rp_cell cells[RP_EDIT_CELLS_MAX];
	size_t before, ncells = 512, records = 20000;
	struct callers c;
	struct many m;
	size_t i;

	many_init(&m, 1, seed);
	m.partitioned = 1;
	many_run(&m, WARMUP_MS);
	for (i = 0; i < ncells; i++) {
		char name[RP_NAME_MAX];

		snprintf(name, sizeof(name), "target-%zu", i);
		cells[i] = many_target_cell(name, 50, 4);
	}
	before = heap_bytes_used();
	many_edit(&m, 0, 1, "e", 0, cells, ncells);
	many_run(&m, 1000);
	printf("bytes_per_cell %.0f (kernel and fake platform)\n",
	       (double)(heap_bytes_used() - before) / (double)ncells);
	printf("sizeof cell %zu record %zu claim %zu event %zu\n",
	       sizeof(struct rp_cell), sizeof(struct rp_record),
	       sizeof(struct rp_claim), sizeof(struct rp_trace_event));
	/* Includes the rows of claims in the fake platform. */
	callers_init(&c, &m, 2000, (rp_ms)records / 2);
	before = heap_bytes_used();
	while (c.ndelays < records)
		callers_run(&c);
	printf("bytes_per_record %.0f (with answer, and fake platform)\n",
	       (double)(heap_bytes_used() - before) / (double)records);
	callers_finish(&c);
	many_finish(&m);
}

static void bench_ring(size_t events)
{
	struct rp_trace_subject about = { .key = str_of("i.1.2.3.4.entry-vm-1"),
					  .team = str_of("field"),
					  .target = "target-17",
					  .task = 3 };
	struct timespec a, b;
	struct test_kernel t;
	size_t i;

	test_init(&t, 1);
	clock_gettime(CLOCK_MONOTONIC, &a);
	for (i = 0; i < events; i++)
		trace_event(t.k, (rp_ms)i / 1000, RP_TRACE_STARTED, &about,
			    "attempt %d", 1);
	clock_gettime(CLOCK_MONOTONIC, &b);
	printf("ns_per_event %.0f bytes_per_event %zu ring_bytes %zu\n",
	       ((double)(b.tv_sec - a.tv_sec) * 1e9 +
		(double)(b.tv_nsec - a.tv_nsec)) /
		       (double)events,
	       sizeof(struct rp_trace_event),
	       sizeof(struct rp_trace_event) * t.opt.trace_events);
	test_finish(&t);
}

static void usage(void)
{
	fprintf(stderr, "usage: bench-table spread VMS EDITS LINKS SEED\n"
			"       bench-table claims VMS PER_SECOND SECONDS "
			"DELAY_MS SEED [ROWS_PER_S]\n"
			"       bench-table outage VMS PER_SECOND SEED\n"
			"       bench-table memory SEED\n"
			"       bench-table ring EVENTS\n");
	exit(2);
}

int main(int argc, char **argv)
{
	long a[6] = { 0 };
	int i;

	if (argc < 3 || argc > 8)
		usage();
	for (i = 2; i < argc; i++)
		a[i - 2] = atol(argv[i]);
	if (!strcmp(argv[1], "spread") && argc == 6)
		bench_spread((int)a[0], (int)a[1], (int)a[2], (uint64_t)a[3]);
	else if (!strcmp(argv[1], "claims") && argc >= 7)
		bench_claims((int)a[0], (double)a[1], a[2], a[3],
			     (uint64_t)a[4], (int)a[5]);
	else if (!strcmp(argv[1], "outage") && argc == 5)
		bench_outage((int)a[0], (double)a[1], (uint64_t)a[2]);
	else if (!strcmp(argv[1], "memory") && argc == 3)
		bench_memory((uint64_t)a[0]);
	else if (!strcmp(argv[1], "ring") && argc == 3)
		bench_ring((size_t)a[0]);
	else
		usage();
	return 0;
}
