/*
 * Jobs that reach a new leader while it stops their runs, as no job has claimed
 * them in time. Their entry VM was frozen or cut off meanwhile.
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

TestSuite(sched_orphan_stopped, .init = init_apr, .timeout = 60);

/* Returns once the new leader has sent stops of the runs that it has found. */
static struct world_job *stop_orphans(void)
{
	struct world_job *job;

	world_begin(&w, &first, 6);
	job = world_submit(&w, "q", 1, 900, 1, 1500);
	world_run_until(&w, w.now + 100);
	sched_finish(&first);
	world_drop_calls(&w, &first);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	while (!second.count.orphans && w.now < 3000)
		world_run_until(&w, w.now + 1);
	cr_assert(second.count.orphans);
	return job;
}

static void end_world(const struct world_job *job)
{
	world_run_until(&w, w.now + 1500);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	cr_assert(job->answered);
	sched_finish(&second);
	world_finish(&w);
}

/* The run goes on until the stop arrives. */
Test(sched_orphan_stopped, the_stop_is_under_way)
{
	struct world_job *job = stop_orphans();

	world_resubmit(&w);
	sched_dispatch(&second, w.now);
	end_world(job);
}

/* The stop is lost, and the run goes on until its lease is over. */
Test(sched_orphan_stopped, the_stop_is_lost)
{
	struct world_job *job = stop_orphans();
	size_t i;

	for (i = 0; i < 6; i++)
		if (w.targets[i].nruns)
			w.targets[i].unresponsive = 1;
	world_run_until(&w, w.now + 100);
	world_resubmit(&w);
	sched_dispatch(&second, w.now);
	end_world(job);
}

/* The same for a caller that submits its job again at another entry VM. */
Test(sched_orphan_stopped, the_caller_submits_its_job_again)
{
	struct world_job *job = stop_orphans();

	job->sub->seq += 1000;
	job->sub->left_ms = 1500;
	sched_submit(&second, job, job->sub, w.now);
	sched_dispatch(&second, w.now);
	end_world(job);
}
