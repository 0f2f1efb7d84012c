/* A target that is gone from the list, and starts again under its id. */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "world/world.h"

static struct world w;
static struct sched first;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_late_unlisted, .init = init_apr, .timeout = 60);

/*
 * Guards against a target that gets more than it has room for. A start without
 * a reply was forgotten GONE_MS after the target's entry had gone, while calls
 * count as ones that may come for LATE_CALL_MAX_MS. Its lease is in the time of
 * the clock before, and so seems to be far ahead to the next incarnation.
 */
Test(sched_late_unlisted, a_start_arrives_after_its_target_is_back)
{
	struct world_target *t = &w.targets[0];

	world_begin(&w, &first, 1);
	w.keep_late = w.new_clocks = 1;
	t->clock_start = -500000;
	world_run_until(&w, w.now + 25000); /* idle clocks are read again */
	w.task_cpu = 9000;
	t->late[WORLD_START] = (struct world_late){ 100, 8000, 8000, 0 };
	world_submit(&w, "q", 1, 6000, 1, 40000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(first.count.starts, 1);
	t->late[WORLD_START].percent = 0;
	t->cut_off = &first;
	world_run_until(&w, w.now + 300);
	sched_target_unlisted(&first, t->listing.id, w.now);
	world_target_restart(&w, t);
	world_run_until(&w, w.now + 6000);
	t->cut_off = NULL;
	sched_target_listed(&first, &t->listing, w.now);
	world_run_until(&w, w.now + 6000);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&first);
	world_finish(&w);
}
