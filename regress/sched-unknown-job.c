/*
 * An entry VM is frozen over two changes of leader, and submits a job whose
 * caller waits for long: the leader in between has released the end of its
 * task, and nobody tells the next one of it.
 */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "unknown-job.h"

static struct sched third;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_unknown_job, .init = init_apr, .timeout = 60);

static void end_world(struct sched *last)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(last);
	world_finish(&w);
}

/* Guards against a second run of its task. */
Test(sched_unknown_job, its_task_does_not_run_again_after_two_leaders)
{
	struct world_job *job = begin_unknown_job(DEFAULT_WAIT_MS);

	succeed(&second, &third, 3, DEFAULT_WAIT_MS);
	third.owners_missing = 0;
	world_resubmit(&w);
	world_run_until(&w, w.now + 6000);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 1);
	end_world(&third);
}
