/*
 * Runs that a new leader adopts are predicted by their progress, not as if they
 * began when it took over.
 */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "lead.h"
#include "world/world.h"

static struct world w;
static struct sched first, second;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_adopted_given_up, .init = init_apr, .timeout = 60);

static void take_over(void)
{
	sched_finish(&first);
	world_drop_calls(&w, &first);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	world_resubmit(&w);
}

static void end(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&second);
	world_finish(&w);
}

/* Submits a job of one task whose work is estimated rightly. */
static struct world_job *submit(double work)
{
	struct world_job *job = world_job_new(&w, "digest", 1, work, 1, 1500);

	job->task_work[0] = work;
	job->sub->steps[0]->estimate_ms = (uint32_t)work;
	job->fence = first.fence;
	sched_submit(&first, job, job->sub, w.now);
	sched_dispatch(&first, w.now);
	return job;
}

/*
 * Guards against giving up a job that is nearly done: its run was predicted to
 * take the whole of its time once more from the change of leader.
 */
Test(sched_adopted_given_up, a_job_that_is_nearly_done)
{
	struct world_job *jobs[8];
	int i;

	world_begin(&w, &first, 8);
	for (i = 0; i < 8; i++)
		jobs[i] = submit(1200);
	world_run_until(&w, w.now + 900);
	take_over();
	world_run_until(&w, w.now + 700);
	cr_assert_eq(second.count.adopted, 8);
	cr_assert_eq(second.count.hopeless, 0);
	for (i = 0; i < 8; i++)
		cr_assert_eq(jobs[i]->outcome, POOL_ANSWER__OUTCOME__COMPLETED,
			     "job %d", i);
	end();
}

/* A job that has far too much left is still answered early. */
Test(sched_adopted_given_up, a_job_far_beyond_its_deadline_is)
{
	struct world_job *job;

	world_begin(&w, &first, 8);
	job = submit(1300);
	job->task_work[0] = 6000;
	world_run_until(&w, w.now + 200);
	take_over();
	world_run_until(&w, w.now + 900);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__INCOMPLETE);
	end();
}
