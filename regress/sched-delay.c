/* What jobs wait for before their tasks start. */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "lead.h"
#include "sched-int.h"
#include "world/world.h"

static struct world w;
static struct sched s;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_delay, .init = init_apr, .timeout = 60);

static rp_ms delay_of(enum sched_delay delay)
{
	return sched_get_queue(&s, "q", 1)->delays[delay];
}

static void end_world(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&s);
	world_finish(&w);
}

/* The second job waits until the first has ended. */
Test(sched_delay, a_job_without_room)
{
	world_begin(&w, &s, 1);
	w.task_cpu = 12000;
	world_submit(&w, "q", 1, 300, 1, 60000);
	world_run_until(&w, w.now + 20);
	world_submit(&w, "q", 1, 300, 1, 60000);
	world_run_until(&w, w.now + 1000);
	cr_assert_eq(sched_get_queue(&s, "q", 1)->nended, 2);
	cr_assert_gt(delay_of(SCHED_DELAY_ROOM), 200);
	cr_assert_lt(delay_of(SCHED_DELAY_ROOM), 400);
	cr_assert_eq(delay_of(SCHED_DELAY_OWNER), 0);
	end_world();
}

/* The row of a stored job is written after 400 ms. */
Test(sched_delay, a_job_whose_owner_does_not_acknowledge)
{
	struct world_job *job;

	world_begin(&w, &s, 2);
	w.stored = 1;
	w.lose_messages = 1;
	job = world_submit(&w, "q", 1, 100, 1, 60000);
	world_run_until(&w, w.now + 400);
	w.lose_messages = 0;
	sched_owner_acked(&s, job, w.mark, w.now);
	world_run_until(&w, w.now + 500);
	cr_assert(job->answered);
	cr_assert_geq(delay_of(SCHED_DELAY_OWNER), 380);
	cr_assert_leq(delay_of(SCHED_DELAY_OWNER), 440);
	cr_assert_leq(delay_of(SCHED_DELAY_ROOM), 20);
	end_world();
}

/*
 * The job waits for runs of an earlier leader, and its only run is adopted
 * then. Guards against counting the time of the run.
 */
Test(sched_delay, a_job_whose_run_is_adopted_waits_no_more)
{
	static struct sched next;
	const struct sched_queue *q;
	size_t i;

	world_begin(&w, &s, 2);
	world_submit(&w, "q", 1, 2000, 1, 60000);
	world_run_until(&w, w.now + 100);
	for (i = 0; i < w.ntargets; i++)
		w.targets[i].unresponsive = 1;
	sched_finish(&s);
	world_drop_calls(&w, &s);
	world_start_sched(&w, &next, NULL, LEAD_TOKEN(2));
	world_resubmit(&w);
	sched_dispatch(&next, w.now);
	world_run_until(&w, w.now + 200);
	for (i = 0; i < w.ntargets; i++)
		w.targets[i].unresponsive = 0;
	world_run_until(&w, w.now + 3000);
	q = sched_get_queue(&next, "q", 1);
	cr_assert_eq(next.count.adopted, 1);
	cr_assert_eq(q->nended, 1);
	cr_assert_gt(q->delays[SCHED_DELAY_EARLIER_RUNS], 100);
	cr_assert_lt(q->delays[SCHED_DELAY_EARLIER_RUNS], 800, "%lld ms",
		     (long long)q->delays[SCHED_DELAY_EARLIER_RUNS]);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&next);
	world_finish(&w);
}
