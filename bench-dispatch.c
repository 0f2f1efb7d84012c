/*
 * Compares policies in a simulation: response time relative to the ideal,
 * messages in excess of the minimum, and goodput under overload.
 *
 *   bench-dispatch response [SEED [LENGTH_S]]
 *   bench-dispatch faults   [SEED [LENGTH_S]]
 *   bench-dispatch goodput  [SEED]
 *   bench-dispatch burst    [SEED]
 *
 * The ideal is a list schedule of the same arrivals that knows all run times:
 * jobs in order of arrival, the longest task of a job first, each on the slot
 * where it ends earliest. The r columns divide the percentile by that of the
 * ideal; the j columns are percentiles of each job's ratio to its ideal. The
 * lone columns compare with the ideal of the job on idle targets.
 */

#include "bench-world.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SECOND_MS 1000.0
#define WARMUP_MS 20000.0

static const struct bench_deployment deployments[] = {
	{ "trust", 4, 1.5, 1, 50, 8 },
	{ "directorate", 3, 0.5, 3, 50, 8 },
};

static const struct bench_policies policies[] = {
	{ "random", "random", "fifo", "bounded", "none", "none" },
	{ "round-robin", "round-robin", "fifo", "bounded", "none", "none" },
	{ "least", "least", "fifo", "bounded", "none", "none" },
	{ "earliest", "earliest", "fifo", "bounded", "none", "none" },
	{ "all", "earliest", "fair", "deadline", "peers", "budget" },
};

/* Indices in policies. */
#define LEAST_POLICY 2
#define ALL_POLICIES 4

/* Indexed by enum bench_fault. */
static const char *const fault_names[] = { "none",   "slow10", "fails",
					   "hangs",  "flaps",  "dead",
					   "silent", "all-bad" };

/* The values of one output column, one for each job. */
struct column {
	double *values;
	size_t n;
};

static double percentile(struct column *c, double p)
{
	gsl_sort(c->values, 1, c->n);
	return c->n ? gsl_stats_quantile_from_sorted_data(c->values, 1, c->n, p)
		    : 0;
}

enum col { COL_RESPONSE, COL_IDEAL, COL_RATIO, COL_ALONE, COL_COUNT };

/* Collects the columns of the complete jobs after the warm-up. */
static void collect(const struct bench_world *w, struct column cols[COL_COUNT])
{
	double caller_round_trip_ms =
		2 * w->setup->deployment->caller_latency_ms;
	size_t i;

	for (i = 0; i < COL_COUNT; i++) {
		cols[i].values = calloc(w->njobs + 1, sizeof(double));
		cols[i].n = 0;
	}
	for (i = 0; i < w->njobs; i++) {
		const struct bench_job *j = &w->jobs[i];
		double response_ms =
			j->answered_at - j->arrived_at + caller_round_trip_ms;

		if (j->arrived_at < w->setup->warmup_ms ||
		    j->state != RP_COMPLETE)
			continue;
		cols[COL_RESPONSE].values[cols[COL_RESPONSE].n++] = response_ms;
		cols[COL_IDEAL].values[cols[COL_IDEAL].n++] =
			j->ideal_ms + caller_round_trip_ms;
		cols[COL_RATIO].values[cols[COL_RATIO].n++] =
			response_ms / (j->ideal_ms + caller_round_trip_ms);
		cols[COL_ALONE].values[cols[COL_ALONE].n++] =
			response_ms /
			(j->ideal_alone_ms + caller_round_trip_ms);
	}
}

/* Messages beyond one start for each task of a complete job, in percent. */
static double extra_message_percent(const struct bench_world *w)
{
	const struct bench_result *r = &w->result;
	size_t needed = 0, i;

	for (i = 0; i < w->njobs; i++)
		if (w->jobs[i].state == RP_COMPLETE)
			needed += w->jobs[i].ntasks;
	return needed ? 100.0 *
				((double)(r->starts + r->lookups + r->voids +
					  r->stops) -
				 (double)needed) /
				(double)needed
		      : 0;
}

static void print_header(void)
{
	printf("%-11s %-11s %-7s %4s %6s %6s %6s %6s %6s %6s %6s %6s %6s "
	       "%6s %5s %5s %5s\n",
	       "site", "policies", "fault", "load", "p50ms", "p99ms", "r.p50",
	       "r.p99", "j.p50", "j.p99", "lone50", "lone99", "waste%", "jobs",
	       "fail", "n.run", "lost");
}

static void print_row(struct bench_world *w)
{
	const struct bench_setup *s = w->setup;
	const struct bench_result *r = &w->result;
	struct column c[COL_COUNT];
	double p50, p99;
	int i;

	collect(w, c);
	p50 = percentile(&c[COL_RESPONSE], 0.5);
	p99 = percentile(&c[COL_RESPONSE], 0.99);
	printf("%-11s %-11s %-7s %4.2f %6.0f %6.0f %6.2f %6.2f %6.2f %6.2f "
	       "%6.2f %6.2f %6.2f %6zu %5zu %5zu %5zu\n",
	       s->deployment->name, s->policies->name, fault_names[s->fault],
	       s->load, p50, p99, p50 / percentile(&c[COL_IDEAL], 0.5),
	       p99 / percentile(&c[COL_IDEAL], 0.99),
	       percentile(&c[COL_RATIO], 0.5), percentile(&c[COL_RATIO], 0.99),
	       percentile(&c[COL_ALONE], 0.5), percentile(&c[COL_ALONE], 0.99),
	       extra_message_percent(w), r->jobs, r->failed, r->not_run,
	       r->failed_starts);
	fflush(stdout);
	for (i = 0; i < COL_COUNT; i++)
		free(c[i].values);
}

static void run_row(const struct bench_setup *s)
{
	struct bench_world w;

	bench_init(&w, s);
	bench_compute_ideal(&w);
	bench_run(&w);
	print_row(&w);
	bench_finish(&w);
}

static struct bench_setup default_setup(uint64_t seed, double length_ms)
{
	struct bench_setup s = {
		.deployment = &deployments[0],
		.policies = &policies[ALL_POLICIES],
		.seed = seed,
		.load = 0.7,
		.burst_factor = 1,
		.length_ms = length_ms,
		.warmup_ms = WARMUP_MS,
		.fault_from_ms = WARMUP_MS + (length_ms - WARMUP_MS) / 4,
		.fault_until_ms = WARMUP_MS + (length_ms - WARMUP_MS) * 3 / 4,
		.timeout = 30000,
		.request_share = 0.1,
	};

	return s;
}

static void run_response(uint64_t seed, double length_ms)
{
	static const double loads[] = { 0.5, 0.7, 0.9 };
	struct bench_setup s = default_setup(seed, length_ms);
	size_t deployment, load, p;

	print_header();
	for (deployment = 0; deployment < 2; deployment++)
		for (load = 0; load < 3; load++)
			for (p = 0; p < 5; p++) {
				s.deployment = &deployments[deployment];
				s.load = loads[load];
				s.policies = &policies[p];
				run_row(&s);
			}
}

static void run_faults(uint64_t seed, double length_ms)
{
	static const size_t compared[] = { LEAST_POLICY, ALL_POLICIES };
	struct bench_setup s = default_setup(seed, length_ms);
	size_t deployment, p;
	int fault;

	print_header();
	for (deployment = 0; deployment < 2; deployment++)
		for (fault = BENCH_NONE; fault < BENCH_FAULT_COUNT; fault++)
			for (p = 0; p < 2; p++) {
				s.deployment = &deployments[deployment];
				s.fault = (enum bench_fault)fault;
				s.policies = &policies[compared[p]];
				run_row(&s);
			}
}

/* Tasks per second of complete jobs that were answered in the interval. */
static double goodput(const struct bench_world *w, double from, double to)
{
	double n = 0;
	size_t i;

	for (i = 0; i < w->njobs; i++) {
		const struct bench_job *j = &w->jobs[i];

		if (j->state == RP_COMPLETE && j->answered_at >= from &&
		    j->answered_at < to)
			n += (double)j->ntasks;
	}
	return n / (to - from) * SECOND_MS;
}

#define GOODPUT_TIMEOUT_MS 4000
#define GOODPUT_LENGTH_MS 50000.0

static void run_goodput(uint64_t seed)
{
	static const double offered[] = { 0.5, 0.8, 1, 1.5, 2, 3, 5, 10 };
	struct bench_setup s = default_setup(seed, GOODPUT_LENGTH_MS);
	struct bench_world w;
	size_t i, p;

	s.timeout = GOODPUT_TIMEOUT_MS;
	printf("%-11s %7s %9s %9s %6s %7s %7s %7s\n", "policies", "offered",
	       "capacity", "goodput", "share", "failed", "not_run", "waste%");
	for (p = LEAST_POLICY; p <= ALL_POLICIES; p++)
		for (i = 0; i < sizeof(offered) / sizeof(*offered); i++) {
			double rate;

			s.policies = &policies[p];
			s.load = offered[i];
			bench_init(&w, &s);
			bench_run(&w);
			rate = goodput(&w, s.warmup_ms, s.length_ms);
			printf("%-11s %7.1f %9.0f %9.0f %6.2f %7zu %7zu "
			       "%7.1f\n",
			       s.policies->name, s.load, w.capacity * SECOND_MS,
			       rate, rate / (w.capacity * SECOND_MS),
			       w.result.failed, w.result.not_run,
			       extra_message_percent(&w));
			fflush(stdout);
			bench_finish(&w);
		}
}

static void run_burst(uint64_t seed)
{
	struct bench_setup s = default_setup(seed, GOODPUT_LENGTH_MS);
	struct bench_world w;
	size_t p;

	s.timeout = GOODPUT_TIMEOUT_MS;
	s.burst_factor = 10;
	s.burst_from_ms = 25000;
	s.burst_until_ms = 35000;
	printf("%-11s tasks in time per second: before, in, after the burst\n",
	       "policies");
	for (p = LEAST_POLICY; p <= ALL_POLICIES; p++) {
		s.policies = &policies[p];
		bench_init(&w, &s);
		bench_run(&w);
		printf("%-11s %6.0f %6.0f %6.0f of a capacity of %.0f\n",
		       s.policies->name, goodput(&w, 15000, 25000),
		       goodput(&w, 25000, 35000), goodput(&w, 35000, 50000),
		       w.capacity * SECOND_MS);
		bench_finish(&w);
	}
}

int main(int argc, char **argv)
{
	const char *mode = argc > 1 ? argv[1] : "response";
	uint64_t seed = argc > 2 ? strtoull(argv[2], NULL, 10) : 7;
	double length_ms = argc > 3 ? strtod(argv[3], NULL) * SECOND_MS
				    : 120000;

	printf("%s, seed %llu\n", mode, (unsigned long long)seed);
	if (!strcmp(mode, "response"))
		run_response(seed, length_ms);
	else if (!strcmp(mode, "faults"))
		run_faults(seed, length_ms);
	else if (!strcmp(mode, "goodput"))
		run_goodput(seed);
	else if (!strcmp(mode, "burst"))
		run_burst(seed);
	else
		return 1;
	return 0;
}
