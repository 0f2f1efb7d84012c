/* Several leaders of one term: regular, provisional, and with a raised token.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <string.h>

#include "lead.h"
#include "world/world.h"

static struct world w;
static struct sched first, second;

static void begin(void)
{
	apr_initialize();
}

TestSuite(sched_provisional, .init = begin, .timeout = 60);

static void end_world(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&first);
	sched_finish(&second);
	world_finish(&w);
}

/* Submits the job to the scheduler that leads. */
static void submit_again(struct world_job *job, uint64_t former)
{
	job->sub->former = former;
	job->sub->age_ms = (uint32_t)(w.now - job->arrived_at);
	job->sub->left_ms = 1500 - job->sub->age_ms;
	sched_submit(w.sched, job, job->sub, w.now);
	sched_dispatch(w.sched, w.now);
}

/*
 * Two provisional leaders number their runs from the same number. The failure
 * of a run of the first, under an earlier submission, must not fail the job
 * that the caller has submitted anew to the second.
 */
Test(sched_provisional, an_end_of_another_provisional_leader_is_not_its_own)
{
	struct world_job *job;

	world_begin(&w, &first, 2);
	sched_finish(&first);
	world_start_sched(&w, &first, NULL, LEAD_TOKEN(1) | 7);
	world_run_until(&w, w.now + 50);
	w.targets[0].fail_percent = w.targets[1].fail_percent = 100;
	job = world_submit(&w, "q", 1, 100, 1, 1500);
	job->sub->max_attempts = 1;
	world_run_until(&w, w.now + 20);
	w.targets[0].unresponsive = w.targets[0].nruns > 0;
	w.targets[1].unresponsive = w.targets[1].nruns > 0;
	w.targets[0].fail_percent = w.targets[1].fail_percent = 0;
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(1) | 9);
	world_run_until(&w, w.now + 250);
	job->task_work[0] = 700;
	job->sub->seq = job->seq = 1000;
	submit_again(job, 0);
	world_run_until(&w, w.now + 20);
	w.targets[0].unresponsive = w.targets[1].unresponsive = 0;
	world_run_until(&w, w.now + 1000);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/*
 * Targets refuse runs that are not numbered higher than one that has ended
 * there. A regular leader that got a higher token went on with its old numbers,
 * below those of the provisional leader meanwhile, and all its starts of the
 * task were refused.
 */
Test(sched_provisional, run_numbers_rise_with_the_token)
{
	struct world_job *job;

	world_begin(&w, &first, 1);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(1) | 7);
	world_run_until(&w, w.now + 50);
	job = world_submit(&w, "q", 1, 300, 1, 1500);
	world_run_until(&w, w.now + 20);
	sched_owner_lost(&second, job, w.now); /* stops the run */
	world_run_until(&w, w.now + 100);
	w.sched = &first;
	sched_raise_fence(&first, LEAD_TOKEN(2), w.now);
	world_run_until(&w, w.now + 20);
	submit_again(job, 0);
	world_run_until(&w, w.now + 600);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_leq(first.count.starts, 2);
	end_world();
}

/* The same for a job that the leader has had all the time. */
Test(sched_provisional, jobs_of_before_get_the_numbers_of_the_token)
{
	struct sched_job *open;
	struct world_job *job;
	uint32_t before;

	world_begin(&w, &first, 1);
	w.delay = 1000; /* nothing starts */
	job = world_submit(&w, "q", 1, 300, 1, 1500);
	open = sched_find_open_job(&first, str_of(job->sub->id));
	before = open->next_run;
	sched_raise_fence(&first, LEAD_TOKEN(2), w.now);
	cr_assert_gt(open->next_run, before + SCHED_RUNS_PER_TOKEN);
	sched_init(&second, first.ops, &w, NULL, LEAD_TOKEN(2), WORLD_LEASE_MS,
		   w.now);
	cr_assert_eq(open->next_run, second.first_run);
	end_world();
}

/*
 * A provisional leader was followed until the regular one of before had a
 * higher token. That one still has the job, as its owner has reconnected soon,
 * and must not start a task that runs under the provisional one.
 */
Test(sched_provisional, a_job_that_is_back_may_have_been_started_elsewhere)
{
	struct world_job *job;

	world_begin(&w, &first, 2);
	w.task_cpu = 12000;
	world_submit(&w, "q", 2, 200, 1, 1500);
	world_run_until(&w, w.now + 20);
	job = world_submit(&w, "q", 1, 300, 1, 1500);
	cr_assert(!job->answered);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(1) | 7);
	submit_again(job, 0);
	while (!job->started && !job->answered)
		world_run_until(&w, w.now + 1);
	cr_assert(!job->answered, "outcome %d at %d", job->outcome, (int)w.now);
	w.sched = &first;
	sched_raise_fence(&first, LEAD_TOKEN(2), w.now);
	submit_again(job, LEAD_TOKEN(1) | 7);
	world_run_until(&w, w.now + 1000);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/* Guards against jobs that wait for leases whenever the token rises. */
Test(sched_provisional, a_raised_token_alone_delays_no_job)
{
	struct world_job *job;

	world_begin(&w, &first, 2);
	w.task_cpu = 12000;
	world_submit(&w, "q", 2, 200, 1, 1500);
	world_run_until(&w, w.now + 20);
	job = world_submit(&w, "q", 1, 300, 1, 1500);
	cr_assert(!job->answered);
	sched_raise_fence(&first, LEAD_TOKEN(2), w.now);
	submit_again(job, LEAD_TOKEN(1));
	submit_again(job, LEAD_TOKEN(1));
	submit_again(job, LEAD_TOKEN(2));
	world_run_until(&w, w.now + 400);
	cr_assert(job->started);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&first);
	world_finish(&w);
}
