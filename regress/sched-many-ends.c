/*
 * A target lists more results than one reply has, as their owner, or the store,
 * has acknowledged none, and the leader is lost. Guards against a successor
 * that takes its first list for complete, and starts tasks again whose results
 * are to come with the next.
 */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "lead.h"
#include "world/world.h"

#define TASKS 530

static struct world w;
static struct sched first, second;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_many_ends, .init = init_apr, .timeout = 60);

/* The owner acknowledges the failure domain, and nothing after that. */
static void finish_tasks_unacknowledged(void)
{
	struct world_target *t = &w.targets[0];

	world_begin(&w, &first, 1);
	w.task_cpu = 1000;
	w.stored = 1;
	world_submit(&w, "q", TASKS, 50, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_gt(t->nruns, 0);
	w.lose_messages = 1;
	while (t->nends <= WORLD_ENDS_PER_REPLY || t->nruns)
		world_run_until(&w, w.now + 1);
	cr_assert_lt(t->nends, TASKS);
}

static void take_over(void)
{
	w.lose_messages = 0;
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	world_resubmit(&w);
}

static void end_world(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&second);
	sched_finish(&first);
	world_finish(&w);
}

Test(sched_many_ends, tasks_wait_for_the_rest_of_the_results)
{
	finish_tasks_unacknowledged();
	take_over();
	world_run_until(&w, w.now + 20000);
	cr_assert_eq(w.jobs[0]->answered, 1);
	cr_assert_eq(w.jobs[0]->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}
