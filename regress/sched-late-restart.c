/* A start that was sent twice, to a target that restarts under its id. */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "world/world.h"

static struct world w;
static struct sched first;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_late_restart, .init = init_apr, .timeout = 60);

/*
 * Guards against a target that gets more than it has room for. One copy of a
 * start had a reply, and its run ended with the restart; the other copy reached
 * the next incarnation, which had no record of the run and had been given other
 * tasks (sched-orders, seed 276 with deadlines of 0.1 to 40 s, KEEP_LATE=1).
 */
Test(sched_late_restart, another_copy_of_a_start_arrives)
{
	struct world_target *t = &w.targets[0];

	world_begin(&w, &first, 1);
	w.keep_late = w.new_clocks = 1;
	t->clock_start = -500000;
	world_run_until(&w, w.now + 25000); /* idle clocks are read again */
	w.task_cpu = 6000;
	t->late[WORLD_START] = (struct world_late){ 100, 1600, 1600, 1 };
	world_submit(&w, "q", 1, 20000, 1, 60000);
	world_run_until(&w, w.now + 20);
	t->late[WORLD_START].percent = 0;
	cr_assert_eq(t->nruns, 1);
	world_run_until(&w, w.now + 100);
	world_target_restart(&w, t);
	sched_target_listed(&first, &t->listing, w.now);
	world_submit(&w, "q", 4, 4000, 1, 60000);
	world_run_until(&w, w.now + 40000);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&first);
	world_finish(&w);
}
