/* Room in whole tasks: what free CPU is worth, and where tasks are placed. */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "lead.h"
#include "world/world.h"

static const double speeds[] = { 1.0 };
static struct world w;
static struct sched s;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_fit, .init = init_apr, .timeout = 120);

/* All targets have 16 cores; tasks need 8 of them, more or less by a fifth. */
static void begin(uint64_t seed)
{
	size_t i;

	world_init(&w, seed, 48, speeds, 1);
	w.task_cpu = 8000;
	for (i = 0; i < w.ntargets; i++)
		w.targets[i].listing.capacity.cpu = 16000;
	world_start_sched(&w, &s, NULL, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 100);
}

static void end(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&s);
	world_finish(&w);
}

/* Guards against gaps that no task fits, counted as room. */
Test(sched_fit, a_small_gap_is_worth_nothing)
{
	const struct sched_service *service;

	begin(1);
	world_generate_load(&w, 0.5, 3000);
	service = sched_service_totals(&s, sched_get_service(&s, "svc"));
	cr_assert_lt(sched_fit_usable(service, 4000), 500);
	cr_assert_gt(sched_fit_usable(service, 16000), 9000);
	/* The gap that a task leaves is worth less than the one it fills. */
	cr_assert_lt(sched_fit_loss(service, 8500, 8000),
		     sched_fit_loss(service, 16000, 8000));
	world_run_until(&w, w.now + 2000);
	end();
}

/* Guards against a division by nothing before the first job. */
Test(sched_fit, without_jobs_free_cpu_counts_as_it_is)
{
	begin(1);
	cr_assert_float_eq(sched_fit_usable(sched_get_service(&s, "svc"), 4000),
			   4000, 1e-9);
	end();
}

/* Share of the CPU in use while more work comes than there is room for. */
static double used_share(uint64_t seed)
{
	double used = 0;
	size_t i, j;
	int k;

	begin(seed);
	world_generate_load(&w, 1.5, 2000);
	for (k = 0; k < 100; k++) {
		world_generate_load(&w, 1.5, 50);
		for (i = 0; i < w.ntargets; i++)
			for (j = 0; j < w.targets[i].nruns; j++)
				used += (double)w.targets[i].runs[j].need.cpu;
	}
	world_run_until(&w, w.now + 2000);
	end();
	return used / (100.0 * 48 * 16000);
}

/*
 * Tasks of half a target in random order on empty targets fill three quarters:
 * only every second pair fits. Guards against room lost to bad pairs.
 */
Test(sched_fit, half_size_tasks_are_paired)
{
	double share = (used_share(1) + used_share(2) + used_share(3)) / 3;

	cr_assert_geq(share, 0.82, "%.3f", share);
}
