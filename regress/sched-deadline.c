/*
 * Jobs whose callers wait far longer than others: what is kept for a job is
 * kept until its own deadline.
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

/* Runs the job's tasks to their ends, which its owner does not learn of. */
static struct world_job *begin_unknown_job(void)
{
	struct world_job *job;

	world_begin(&w, &first, 4);
	job = world_submit(&w, "q", 4, 100, 1, 20000);
	world_run_until(&w, w.now + 50);
	succeed(&first, &second, 2);
	world_run_until(&w, w.now + 9000);
	return job;
}

/*
 * An entry VM is frozen over a change of leader, and submits its job after
 * another one. Guards against acknowledging the ends meanwhile: the targets
 * forget them, and the tasks run a second time.
 */
Test(sched_deadline, ends_of_an_unknown_job_are_kept_until_its_deadline)
{
	struct world_job *job = begin_unknown_job();

	succeed(&second, &third, 3);
	third.owners_missing = 0;
	world_resubmit(&w);
	world_run_until(&w, w.now + 4000);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 4);
	end_world(&third);
}

/* Guards against targets that keep ends for good. */
Test(sched_deadline, ends_of_an_unknown_job_are_released_after_its_deadline)
{
	size_t i, kept = 0;

	begin_unknown_job()->answered = 1;
	for (i = 0; i < 4; i++)
		kept += w.targets[i].nends;
	cr_assert_eq(kept, 4);
	world_run_until(&w, w.now + 13000);
	for (kept = i = 0; i < 4; i++)
		kept += w.targets[i].nends;
	cr_assert_eq(kept, 0);
	end_world(&second);
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
