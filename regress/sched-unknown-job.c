/*
 * An entry VM is frozen over two changes of leader, and submits a job whose
 * caller waits for long: the leader in between has released the end of its
 * task, and nobody tells the next one of it.
 */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "lead.h"
#include "world/world.h"

#define DEFAULT_WAIT_MS 1500

static struct world w;
static struct sched first, second, third;

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

/* The scheduler ends; its successor is told what a leader's heartbeats tell. */
static void succeed(struct sched *from, struct sched *to, uint64_t term)
{
	rp_ms until = sched_callers_wait_until(from);

	sched_finish(from);
	world_drop_calls(&w, from);
	world_start_sched(&w, to, NULL, LEAD_TOKEN(term));
	to->owners_missing = 1;
	to->default_wait = DEFAULT_WAIT_MS;
	sched_callers_waited_until(to, until);
}

/* A task ends just after its leader, and its owner does not learn of it. */
static struct world_job *begin_unknown_job(void)
{
	struct world_job *job;

	world_begin(&w, &first, 4);
	job = world_job_new(&w, "q", 1, 3000, 1, 20000);
	job->task_work[0] = job->sub->steps[0]->estimate_ms = 3000;
	job->fence = first.fence;
	sched_submit(&first, job, job->sub, w.now);
	world_run_until(&w, w.now + 2900);
	succeed(&first, &second, 2);
	world_run_until(&w, w.now + 5000);
	return job;
}

/* Guards against a second run of its task. */
Test(sched_unknown_job, its_task_does_not_run_again_after_two_leaders)
{
	struct world_job *job = begin_unknown_job();

	succeed(&second, &third, 3);
	third.owners_missing = 0;
	world_resubmit(&w);
	world_run_until(&w, w.now + 6000);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 1);
	end_world(&third);
}
