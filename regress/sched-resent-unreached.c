/*
 * A caller submits its job again at another entry VM, with a new leader that
 * has not reached the target that runs it.
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

TestSuite(sched_resent_unreached, .init = init_apr, .timeout = 60);

/* The first scheduler is lost while it runs the job. */
static struct world_job *lose_leader(size_t ntargets, int tasks, double work)
{
	struct world_job *job;
	size_t i;

	world_begin(&w, &first, ntargets);
	job = world_submit(&w, "q", tasks, work, 1, 1500);
	world_run_until(&w, w.now + 100);
	for (i = 0; i < ntargets; i++)
		w.targets[i].cut_off = &first;
	world_run_until(&w, w.now + 400);
	sched_finish(&first);
	world_drop_calls(&w, &first);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	return job;
}

/* The caller submits the job again, at another entry VM. */
static void send_again(struct world_job *job)
{
	job->sub->seq += 1000;
	job->sub->former = 0;
	job->sub->age_ms = 0;
	job->sub->left_ms = 1500;
	sched_submit(&second, job, job->sub, w.now);
	sched_dispatch(&second, w.now);
}

static void end_world(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&second);
	world_finish(&w);
}

/* The task must not run elsewhere while the target may still run it. */
Test(sched_resent_unreached, the_target_is_reached_late)
{
	struct world_job *job = lose_leader(6, 1, 900);
	size_t i;

	for (i = 0; i < 6; i++)
		w.targets[i].unresponsive = w.targets[i].nruns > 0;
	world_run_until(&w, w.now + 50);
	send_again(job);
	world_run_until(&w, w.now + 2000);
	end_world();
}
