/*
 * A target whose runs have failed, and that has a long run. Guards against jobs
 * that wait until the long run ends, though there is room: the target was given
 * one run at a time, so that none could show that it is sound again.
 */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "world/world.h"

static struct world w;
static struct sched s;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_probe, .init = init_apr, .timeout = 60);

/* The target has a run of 70 s, and then runs that fail. */
static void fail_beside_a_long_run(void)
{
	struct world_target *t = &w.targets[0];

	world_begin(&w, &s, 1);
	w.task_cpu = 1000;
	w.stored = 1;
	world_submit(&w, "long", 1, 70000, 1, 120000);
	world_run_until(&w, w.now + 1500);
	cr_assert_eq(t->nruns, 1);
	t->fail_percent = 100;
	world_submit(&w, "failing", 12, 60, 1, 120000);
	world_run_until(&w, w.now + 3000);
	cr_assert_gt(s.targets[0]->failure_rate, 0.45);
	t->fail_percent = 0;
}

static void end_world(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&s);
	world_finish(&w);
}

Test(sched_probe, a_long_run_does_not_keep_others_from_a_target)
{
	struct world_job *job;

	fail_beside_a_long_run();
	job = world_submit(&w, "q", 2, 200, 1, 120000);
	world_run_until(&w, w.now + 3000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert(job->answered);
	end_world();
}

/* While it fails, it is given one run at a time. */
Test(sched_probe, a_target_that_fails_is_given_few_runs)
{
	struct world_target *t = &w.targets[0];
	rp_ms until;

	fail_beside_a_long_run();
	t->fail_percent = 100;
	world_submit(&w, "q", 8, 200, 1, 120000);
	for (until = w.now + 2000; w.now < until;) {
		world_run_until(&w, w.now + 1);
		cr_assert_leq(t->nruns, 2);
	}
	end_world();
}
