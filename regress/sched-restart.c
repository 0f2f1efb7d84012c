/* Targets that restart while nothing runs on them. */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "lead.h"
#include "world/world.h"

static struct world w;
static struct sched s;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_restart, .init = init_apr, .timeout = 60);

/*
 * An idle target restarts with a smaller capacity, and the first call to the
 * new incarnation is a start: no reply has shown the restart yet.
 */
Test(sched_restart, an_idle_target_that_shrinks_is_not_given_too_much)
{
	struct world_job *job;
	size_t i;

	world_begin(&w, &s, 9);
	for (i = 0; i < 9; i++) {
		world_target_restart(&w, &w.targets[i]);
		w.targets[i].listing.capacity.cpu = 10000;
	}
	world_run_until(&w, w.now + 60);
	job = world_submit(&w, "q", 9, 250, 1, 3000);
	world_run_until(&w, w.now + 300);
	for (i = 0; i < 9; i++)
		sched_target_listed(&s, &w.targets[i].listing, w.now);
	world_run_until(&w, w.now + 1000);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	sched_finish(&s);
	world_finish(&w);
}

/*
 * An entry of another writer names a start time that the target never had. The
 * target says itself which one it has, and its next entry is current again.
 */
Test(sched_restart, a_start_time_that_is_not_the_targets_does_not_stay)
{
	struct sched_listing odd;
	struct world_job *job;

	world_begin(&w, &s, 1);
	job = world_submit(&w, "q", 1, 250, 1, 5000);
	world_run_until(&w, w.now + 100);
	odd = w.targets[0].listing;
	odd.incarnation = (int64_t)1 << 53;
	sched_target_listed(&s, &odd, w.now);
	world_run_until(&w, w.now + 300);
	sched_target_listed(&s, &w.targets[0].listing, w.now);
	world_run_until(&w, w.now + 100);
	cr_assert_eq(s.targets[0]->incarnation,
		     w.targets[0].listing.incarnation);
	cr_assert(sched_target_available(s.targets[0], w.now));
	world_run_until(&w, w.now + 2000);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	sched_finish(&s);
	world_finish(&w);
}
