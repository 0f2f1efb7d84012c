/* Jobs whose data is on one rack: where their tasks run, and when they wait. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lead.h"
#include "world/world.h"

#define TARGETS 48
#define RACK 8 /* targets of one */

static const double speeds[] = { 1.0 };
static struct world w;
static struct sched s;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_locality, .init = init_apr, .timeout = 60);

static void begin(double factor)
{
	size_t i;

	world_init(&w, 5, TARGETS, speeds, 1);
	w.task_cpu = 8000;
	w.remote_factor = factor;
	for (i = 0; i < TARGETS; i++) {
		struct sched_listing *l = &w.targets[i].listing;

		snprintf(l->labels[l->nlabels++], RP_NAME_MAX, "rack-%zu",
			 i / RACK);
	}
	world_start_sched(&w, &s, NULL, LEAD_TOKEN(1));
	sched_set_remote_factor(&s, factor);
	world_run_until(&w, w.now + 100);
}

static void end(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&s);
	world_finish(&w);
}

/* Starts that ran on the rack, of all. */
static double share_on_rack(void)
{
	return (double)w.starts_on_rack / (double)w.starts;
}

/* Guards against tasks with slack that run away from an idle rack. */
Test(sched_locality, tasks_run_on_their_rack_while_it_has_room)
{
	int i;

	begin(2);
	w.rack = "rack-2";
	for (i = 0; i < 20; i++) {
		world_submit(&w, "q", 4, 100, 1, 1500);
		world_run_until(&w, w.now + 200);
	}
	cr_assert_geq(share_on_rack(), 0.95, "%.2f", share_on_rack());
	end();
}

/* Share of the jobs that are completed when all want the same rack. */
static double run_hot(double factor, double per_s, double *on_rack)
{
	int i, completed = 0;
	size_t j;

	begin(factor);
	w.rack = "rack-0";
	for (i = 0; i < 400; i++) {
		world_submit(&w, "q", 2, 200, 1, 1500);
		world_run_until(&w, w.now + (rp_ms)(1000 / per_s));
	}
	world_run_until(&w, w.now + 2000);
	for (j = 0; j < w.njobs; j++)
		completed += w.jobs[j]->outcome ==
				     POOL_ANSWER__OUTCOME__COMPLETED &&
			     w.jobs[j]->on_time;
	*on_rack = share_on_rack();
	end();
	return completed / 400.0;
}

/*
 * Three times what the rack can run. Guards against tasks that queue for it
 * though other racks are idle.
 */
Test(sched_locality, a_hot_rack_spills_before_it_queues)
{
	double on_rack, share = run_hot(1.5, 100, &on_rack);

	cr_assert_geq(share, 0.95, "%.3f", share);
	cr_assert_geq(on_rack, 0.2, "%.3f", on_rack);
}

/* Guards against a factor of one setting that is used for all deployments. */
Test(sched_locality, a_higher_factor_keeps_more_tasks_on_the_rack)
{
	double low, high;

	run_hot(1.5, 30, &low);
	run_hot(3, 30, &high);
	cr_assert_geq(high, low, "%.3f, %.3f", high, low);
}

/* Guards against a job that waits for a rack that no target has. */
Test(sched_locality, an_unknown_rack_is_no_reason_to_wait)
{
	struct world_job *job;

	begin(2);
	w.rack = "no such rack";
	job = world_submit(&w, "q", 4, 100, 1, 1500);
	world_run_until(&w, w.now + 800);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end();
}
