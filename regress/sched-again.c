/*
 * A caller submits a job again, at an entry VM that has not had it, after a
 * change of leader: the submission names no earlier leader.
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

TestSuite(sched_again, .init = init_apr, .timeout = 60);

/* A task runs under the first scheduler, which ends. */
static struct world_job *begin(void)
{
	struct world_job *job;

	world_begin(&w, &first, 3);
	job = world_submit(&w, "q", 1, 700, 1, 1500);
	world_run_until(&w, w.now + 100);
	cr_assert_eq(w.starts, 1);
	sched_finish(&first);
	world_drop_calls(&w, &first);
	return job;
}

static void submit_elsewhere(struct world_job *job)
{
	job->sub->former = 0;
	job->sub->seq = job->seq = 1000;
	job->sub->left_ms = 1400;
	sched_submit(&second, job, job->sub, w.now);
	sched_dispatch(&second, w.now);
	job->answered = 0;
	world_run_until(&w, w.now + 1500);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&second);
	world_finish(&w);
}

/*
 * The job waits for a target that is not reached, and is submitted again.
 * Guards against a second submission that does not wait.
 */
Test(sched_again, a_job_that_waits_is_superseded)
{
	struct world_job *job = begin();
	size_t i;

	for (i = 0; i < w.ntargets; i++)
		w.targets[i].unresponsive = w.targets[i].nruns > 0;
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	world_resubmit(&w);
	world_run_until(&w, w.now + 100);
	submit_elsewhere(job);
}

/* The first owner is gone. Guards against a second run beside the one listed.
 */
Test(sched_again, a_run_is_known_from_a_list)
{
	struct world_job *job = begin();

	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	world_run_until(&w, w.now + 100);
	submit_elsewhere(job);
}
