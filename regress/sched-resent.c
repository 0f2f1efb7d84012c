/*
 * Jobs that a caller submits again at another entry VM, with a new leader that
 * has not been told of the first submission.
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

TestSuite(sched_resent, .init = init_apr, .timeout = 60);

/*
 * The first scheduler is lost while it runs the job. The entry VM that took
 * the job is frozen, and submits it to nobody.
 */
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

/* The task must not run elsewhere beside the run that the lists show. */
Test(sched_resent, runs_are_listed_before_the_job_is_sent_again)
{
	struct world_job *job = lose_leader(6, 3, 900);

	world_run_until(&w, w.now + 50);
	send_again(job);
	world_run_until(&w, w.now + 2000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/* As above, but the job comes before the lists. */
Test(sched_resent, runs_are_listed_after_the_job_is_sent_again)
{
	struct world_job *job = lose_leader(6, 3, 900);

	send_again(job);
	world_run_until(&w, w.now + 2000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}
