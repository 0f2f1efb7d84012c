/*
 * Lists that were requested before a run was started or stopped. Replies on
 * different connections overtake each other, so such a list may arrive after
 * the reply to the start, and does not show the run.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <string.h>

#include "lead.h"
#include "world/world.h"

static struct world w;
static struct sched first;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_old_list, .init = init_apr, .timeout = 60);

static void begin_world(void)
{
	world_begin(&w, &first, 2);
	w.task_cpu = 1000;
	sched_target_unlisted(&first, w.targets[1].listing.id, w.now);
}

static void end_world(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&first);
	world_finish(&w);
}

/*
 * Starts a job of two tasks on target 0, of which the first is about to fail
 * for the last time.
 */
static struct world_job *start_failing_job(void)
{
	struct world_target *t = w.targets;
	struct world_job *job = world_job_new(&w, "q", 2, 900, 1, 5000);
	size_t i;

	job->sub->max_attempts = 1;
	world_submit_job(&w, job);
	sched_dispatch(&first, w.now);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(t->nruns, 2);
	for (i = 0; i < t->nruns; i++)
		if (strstr(t->runs[i].task, ".0.0.0")) {
			t->runs[i].fails = 1;
			t->runs[i].work = t->runs[i].done + 30;
		}
	return job;
}

static void await_end(void)
{
	while (!w.targets[0].nends)
		world_run_until(&w, w.now + 1);
}

/*
 * Guards against a second run of a task, started because an old list lacks the
 * first: the list tells that a job has failed, and the stop of its other task
 * must not make the list count as a new one.
 */
Test(sched_old_list, a_job_that_fails_does_not_end_runs_started_since)
{
	struct world_job *failing, *job;

	begin_world();
	failing = start_failing_job();
	w.targets[0].list_delay = 20;
	await_end();
	job = world_submit(&w, "q", 1, 300, 1, 5000);
	world_run_until(&w, w.now + 10);
	cr_assert_eq(first.count.starts, 3);
	cr_assert_not(failing->answered);
	sched_target_listed(&first, &w.targets[1].listing, w.now);
	world_run_until(&w, w.now + 2000);
	cr_assert(failing->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(first.count.starts, 3);
	end_world();
}

/*
 * Guards against a task that is started again after its last attempt: the end
 * of that is acknowledged to the target before the job's owner knows of it, by
 * the call that follows the stop of the job's other task.
 */
Test(sched_old_list, the_end_of_a_job_is_acknowledged_after_its_owner_knows)
{
	struct world_target *t = w.targets;
	size_t i, failed = 0;

	begin_world();
	w.stored = 1;
	start_failing_job();
	await_end();
	w.lose_messages = 1;
	world_run_until(&w, w.now + 500);
	for (i = 0; i < t->nends; i++)
		failed += t->ends[i].how == SCHED_END_FAILED;
	cr_assert_eq(failed, 1);
	end_world();
}
