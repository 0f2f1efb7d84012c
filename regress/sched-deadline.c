/*
 * Jobs whose callers wait far longer than others: what is kept for a job is
 * kept until its own deadline.
 */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "unknown-job.h"

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_deadline, .init = init_apr, .timeout = 60);

/* Submits the job again, at an entry VM that has not sent it to anybody. */
static void submit_elsewhere(struct world_job *job, struct sched *s, rp_ms left)
{
	job->resent = job->answered = 0;
	job->sub->former = job->sub->n_done = 0;
	job->sub->seq = job->seq = 1000;
	job->sub->left_ms = (uint32_t)left;
	sched_submit(s, job, job->sub, w.now);
	world_run_until(&w, w.now + 500);
	cr_assert(job->answered);
}

static void end_world(struct sched *last)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(last);
	world_finish(&w);
}

/*
 * A job ends early, and the answer is lost with its entry VM; the caller comes
 * back near its deadline. Guards against a second run.
 */
Test(sched_deadline, an_answered_job_is_known_until_its_deadline)
{
	struct world_job *job;

	world_begin(&w, &first, 2);
	job = world_submit(&w, "q", 1, 100, 1, 40000);
	world_run_until(&w, w.now + 35000);
	cr_assert_eq(w.starts, 1);
	submit_elsewhere(job, &first, 5000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 1);
	end_world(&first);
}

/* Guards against a record that outlives its use, or holds up later ones. */
Test(sched_deadline, records_expire_in_the_order_of_their_deadlines)
{
	rp_ms begin;

	world_begin(&w, &first, 2);
	begin = w.now;
	world_submit(&w, "q", 1, 50, 1, 60000);
	world_run_until(&w, w.now + 200);
	world_submit(&w, "q", 1, 50, 1, 500);
	world_run_until(&w, begin + 300);
	cr_assert_eq(apr_hash_count(first.history), 2);
	world_run_until(&w, begin + 12000);
	cr_assert_eq(apr_hash_count(first.history), 1);
	world_run_until(&w, begin + 69000);
	cr_assert_eq(apr_hash_count(first.history), 1);
	world_run_until(&w, begin + 71000);
	cr_assert_eq(apr_hash_count(first.history), 0);
	end_world(&first);
}

/*
 * A run of a lost owner's job may go on out of reach until that job's deadline,
 * so a second submission may not start before. Guards against one that is held
 * until it expires, though it cannot end in time.
 */
Test(sched_deadline, a_job_that_has_to_wait_too_long_is_answered_at_once)
{
	struct world_job *job;

	world_begin(&w, &first, 2);
	job = world_submit(&w, "q", 1, 3000, 1, 30000);
	world_run_until(&w, w.now + 200);
	w.targets[0].unresponsive = w.targets[0].nruns > 0;
	w.targets[1].unresponsive = w.targets[1].nruns > 0;
	sched_owner_lost(&first, job, w.now);
	world_run_until(&w, w.now + 3000);
	job->sub->former = job->sub->n_done = 0;
	job->sub->seq = job->seq = 1000;
	job->sub->left_ms = 6000;
	job->answered = 0;
	sched_submit(&first, job, job->sub, w.now);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__INCOMPLETE);
	end_world(&first);
}

/*
 * An entry VM is frozen over a change of leader, and submits its job near its
 * deadline. Guards against a second run of its tasks.
 */
Test(sched_deadline, an_unclaimed_end_is_known_until_the_jobs_deadline)
{
	struct world_job *job = begin_unknown_job(DEFAULT_WAIT_MS);

	world_run_until(&w, w.now + 6000);
	second.owners_missing = 0;
	world_resubmit(&w);
	world_run_until(&w, w.now + 6000);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 1);
	end_world(&second);
}

/*
 * Other ends of a target are seen late while an end is kept there. Guards
 * against targets that are slow for as long as any caller waits.
 */
Test(sched_deadline, an_unclaimed_end_does_not_stay_on_its_target)
{
	size_t i, kept = 0;

	begin_unknown_job(DEFAULT_WAIT_MS)->answered = 1;
	for (i = 0; i < 4; i++)
		kept += w.targets[i].nends;
	cr_assert_eq(kept, 0);
	end_world(&second);
}

/*
 * A target returns 500 ends at a time, and all of them again until the first
 * is acknowledged. Guards against an end that is kept, as callers that state no
 * deadline wait for long, and hides those of later runs.
 */
Test(sched_deadline, an_end_that_is_kept_does_not_hide_later_ones)
{
	int i, completed = 0, ended_early = 0;

	begin_unknown_job(60000)->answered = 1;
	for (i = 0; i < 3000; i++) {
		world_submit(&w, "q", 1, 10, 1, 2000);
		world_run_until(&w, w.now + 8);
	}
	world_run_until(&w, w.now + 3000);
	for (i = 1; i <= 3000; i++) {
		const struct world_job *job = w.jobs[w.njobs - (size_t)i];

		cr_assert(job->answered);
		if (job->outcome == POOL_ANSWER__OUTCOME__COMPLETED)
			completed++;
		else if (job->outcome != POOL_ANSWER__OUTCOME__REJECTED)
			ended_early++;
	}
	cr_assert_eq(ended_early, 0, "%d of 3000 jobs ended early",
		     ended_early);
	cr_assert_geq(completed, 2500, "%d of 3000 completed", completed);
	end_world(&second);
}

/* The same for the ends of an owner that is lost. */
Test(sched_deadline, an_end_of_a_lost_owner_does_not_stay_on_its_target)
{
	struct world_job *job;

	world_begin(&w, &first, 1);
	first.default_wait = DEFAULT_WAIT_MS;
	job = world_submit(&w, "q", 1, 100, 1, 30000);
	world_run_until(&w, w.now + 50);
	w.lose_messages = 1;
	world_run_until(&w, w.now + 250);
	cr_assert_eq(w.targets[0].nends, 1);
	sched_owner_lost(&first, job, w.now);
	world_run_until(&w, w.now + 1000);
	cr_assert_eq(w.targets[0].nends, 1);
	world_run_until(&w, w.now + 1500);
	cr_assert_eq(w.targets[0].nends, 0);
	end_world(&first);
}

/*
 * The same for an end that is listed after its owner was lost, before the stop
 * has arrived. Guards as well against a second run of its task, when the caller
 * comes back after the target was told to forget the end.
 */
Test(sched_deadline, an_end_after_its_owner_is_lost_does_not_stay_either)
{
	struct world_job *job;

	world_begin(&w, &first, 1);
	first.default_wait = DEFAULT_WAIT_MS;
	job = world_submit(&w, "q", 1, 300, 1, 30000);
	world_run_until(&w, w.now + 100);
	cr_assert_eq(w.targets[0].nruns, 1);
	w.targets[0].late[WORLD_STOP] =
		(struct world_late){ 100, 1000, 1000, 0 };
	sched_owner_lost(&first, job, w.now);
	world_run_until(&w, w.now + 800);
	cr_assert_eq(w.targets[0].nends, 1);
	world_run_until(&w, w.now + 2000);
	cr_assert_eq(w.targets[0].nends, 0);
	submit_elsewhere(job, &first, 5000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 1);
	end_world(&first);
}

/*
 * Guards against one caller that states weeks, whose record displaces others,
 * and of which each leader tells the next.
 */
Test(sched_deadline, a_deadline_of_weeks_is_forgotten_after_minutes)
{
	rp_ms begin;

	world_begin(&w, &first, 1);
	begin = w.now;
	world_submit(&w, "q", 1, 100, 1, UINT32_MAX);
	cr_assert_leq(sched_callers_wait_until(&first), begin + 120000);
	world_run_until(&w, begin + 1000);
	cr_assert_eq(apr_hash_count(first.history), 1);
	world_run_until(&w, begin + 132000);
	cr_assert_eq(apr_hash_count(first.history), 0);
	end_world(&first);
}

/* Guards against a successor that forgets before the callers do. */
Test(sched_deadline, a_lost_owners_jobs_count_until_their_deadlines)
{
	struct world_job *job;
	rp_ms begin;

	world_begin(&w, &first, 1);
	begin = w.now;
	job = world_submit(&w, "q", 1, 100, 1, 30000);
	world_submit(&w, "q", 1, 100, 1, 2000);
	cr_assert_eq(sched_callers_wait_until(&first), begin + 30000);
	sched_owner_lost(&first, job, w.now);
	job->answered = 1;
	cr_assert_eq(first.njobs, 1);
	cr_assert_eq(sched_callers_wait_until(&first), begin + 30000);
	end_world(&first);
}
