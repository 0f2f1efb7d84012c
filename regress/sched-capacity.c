/* Targets whose capacity shrinks and grows while they run tasks. */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "world/world.h"

static struct world w;
static struct sched first;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_capacity, .init = init_apr, .timeout = 60);

static void begin_world(size_t ntargets)
{
	world_begin(&w, &first, ntargets);
	w.stored = 1;
}

static void end_world(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(w.sched);
	world_finish(&w);
}

/* Changes the target's capacity, and lists it. */
static void set_cpu(struct world_target *t, int64_t cpu)
{
	t->listing.capacity.cpu = cpu;
	sched_target_listed(w.sched, &t->listing, w.now);
}

/*
 * Runs that a target has no room for any more go on. The simulation checks the
 * room at each start.
 */
Test(sched_capacity, a_target_that_has_shrunk_is_not_overloaded)
{
	struct world_job *jobs[8];
	size_t i;

	begin_world(1);
	set_cpu(&w.targets[0], 24000);
	jobs[0] = world_submit(&w, "q", 2, 400, 1, 1500);
	world_run_until(&w, w.now + 50);
	cr_assert_eq(w.targets[0].nruns, 2);
	set_cpu(&w.targets[0], 10000);
	for (i = 1; i < 8; i++)
		jobs[i] = world_submit(&w, "q", 1, 100, 1, 1500);
	world_run_until(&w, w.now + 200);
	cr_assert_eq(w.targets[0].nruns, 2);
	cr_assert_eq(w.starts, 2);
	world_run_until(&w, w.now + 400);
	cr_assert_gt(w.starts, 2);
	cr_assert_leq(w.targets[0].nruns, 1);
	set_cpu(&w.targets[0], 24000);
	world_run_until(&w, w.now + 10);
	cr_assert_geq(w.targets[0].nruns, 2);
	world_run_until(&w, w.now + 2000);
	for (i = 0; i < 8; i++)
		cr_assert_eq(jobs[i]->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/* Runs that are being stopped take their room until their end is listed. */
Test(sched_capacity, a_target_that_has_shrunk_has_room_only_after_a_stop)
{
	struct world_job *job, *next;

	begin_world(1);
	set_cpu(&w.targets[0], 24000);
	job = world_submit(&w, "q", 2, 3000, 1, 1500);
	world_run_until(&w, w.now + 50);
	set_cpu(&w.targets[0], 12000);
	next = world_submit(&w, "q", 2, 100, 1, 1500);
	sched_cancel(w.sched, job, job->seq, w.now);
	sched_dispatch(w.sched, w.now);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(w.starts, 2);
	world_run_until(&w, w.now + 1000);
	cr_assert_eq(next->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}
