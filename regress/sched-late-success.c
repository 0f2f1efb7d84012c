/*
 * Orders in which a success that is listed late meets the next run of its task,
 * whose start is on its way or was carried out.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <string.h>

#include "lead.h"
#include "world/world.h"

/* Longest time between calls to a target that does not reply. */
#define BACKOFF_MS 1100

static struct world w;
static struct sched first, second;
static int fail_percent; /* of the first run */

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_late_success, .init = init_apr, .timeout = 60);

/*
 * Target 0 is cut off while its run succeeds, until its lease is over and the
 * task is started on target 1, where the start arrives after ms and the run has
 * that work. Target 0 still does not reply.
 */
static struct world_job *start_again(int stored, double work, rp_ms ms)
{
	struct world_job *job;

	world_begin(&w, &first, 2);
	w.stored = stored;
	sched_target_unlisted(&first, w.targets[1].listing.id, w.now);
	job = world_job_new(&w, "q", 1, 300, 1, 20000);
	job->sub->stretch = 20;
	if (fail_percent)
		job->sub->max_attempts = 1;
	w.targets[0].fail_percent = fail_percent;
	job->fence = first.fence;
	sched_submit(&first, job, job->sub, w.now);
	sched_dispatch(&first, w.now);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(first.count.starts, 1);
	w.targets[0].unresponsive = 1;
	sched_target_listed(&first, &w.targets[1].listing, w.now);
	w.targets[1].start_delay = ms;
	while (first.count.starts < 2)
		world_run_until(&w, w.now + 1);
	cr_assert_eq(w.targets[0].nends, 1);
	job->task_work[0] = work;
	return job;
}

static void reply_again(rp_ms ms)
{
	w.targets[0].unresponsive = 0;
	world_run_until(&w, w.now + ms);
}

/* Calls have no reply, and starts are carried out before their stops. */
static void carry_out_late(struct world_target *t)
{
	t->late[WORLD_START] = (struct world_late){ 100, 3000, 3000, 0 };
	t->late[WORLD_HOLD] = t->late[WORLD_START];
	t->late[WORLD_STOP] = (struct world_late){ 100, 5000, 5000, 0 };
	w.late_leases = 1;
}

static void carry_out_in_time(struct world_target *t)
{
	memset(t->late, 0, sizeof(t->late));
}

static void end_world(const struct world_job *job, PoolAnswer__Outcome outcome)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, outcome);
	cr_assert_eq(w.targets[0].nends + w.targets[1].nends, 0);
	sched_finish(w.sched);
	world_finish(&w);
}

/* Guards against a caller that waits until the other run is stopped. */
Test(sched_late_success,
     the_caller_has_its_answer_while_the_start_is_unanswered)
{
	struct world_job *job = start_again(0, 300, 0);

	w.targets[1].unresponsive = 1;
	reply_again(BACKOFF_MS);
	cr_assert(job->answered);
	w.targets[1].unresponsive = 0;
	world_run_until(&w, w.now + 20000);
	cr_assert_eq(first.count.starts, 2);
	end_world(job, POOL_ANSWER__OUTCOME__COMPLETED);
}

/*
 * Guards against an acknowledgement before the time for late calls is over: the
 * start is carried out 3 s later, and its stop after that.
 */
Test(sched_late_success, the_start_is_carried_out_seconds_later)
{
	struct world_job *job = start_again(1, 300, 10);

	carry_out_late(&w.targets[1]);
	reply_again(2500);
	cr_assert(job->answered);
	cr_assert_eq(w.targets[0].nends, 1);
	carry_out_in_time(&w.targets[1]);
	world_run_until(&w, w.now + 20000);
	end_world(job, POOL_ANSWER__OUTCOME__COMPLETED);
}

/*
 * Guards against an acknowledgement of the last failure that is allowed before
 * the start of the next run, which is carried out 3 s later, is over.
 */
Test(sched_late_success, a_last_failure_is_listed_late)
{
	struct world_job *job;

	fail_percent = 100;
	job = start_again(1, 300, 10);
	carry_out_late(&w.targets[1]);
	reply_again(2500);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__FAILED);
	cr_assert_eq(w.targets[0].nends, 1);
	carry_out_in_time(&w.targets[1]);
	world_run_until(&w, w.now + 20000);
	end_world(job, POOL_ANSWER__OUTCOME__FAILED);
}

/* Guards against a run that goes on though its task is done. */
Test(sched_late_success, the_other_run_is_stopped)
{
	struct world_job *job = start_again(1, 3000, 0);

	world_run_until(&w, w.now + 300);
	cr_assert_eq(w.targets[1].nruns, 1);
	reply_again(BACKOFF_MS);
	cr_assert(job->answered);
	cr_assert_eq(w.targets[1].nruns, 0);
	world_run_until(&w, w.now + 1000);
	end_world(job, POOL_ANSWER__OUTCOME__COMPLETED);
}

/* Guards against a job that is answered twice, by both successes. */
Test(sched_late_success, both_runs_succeed)
{
	struct world_job *job = start_again(1, 600, 0);

	while (!w.targets[1].nruns || w.targets[1].runs[0].done < 580)
		world_run_until(&w, w.now + 1);
	reply_again(1000);
	cr_assert_eq(first.count.completed, 1);
	end_world(job, POOL_ANSWER__OUTCOME__COMPLETED);
}

/* Guards against a start after the end of the job, under another leader. */
Test(sched_late_success, the_leader_changes)
{
	struct world_job *job = start_again(1, 300, 1500);

	w.lose_messages = 1;
	reply_again(100);
	cr_assert(!job->answered);
	sched_finish(&first);
	w.lose_messages = 0;
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	world_resubmit(&w);
	world_run_until(&w, w.now + 4000);
	cr_assert_eq(second.count.starts, 0);
	end_world(job, POOL_ANSWER__OUTCOME__COMPLETED);
}

/*
 * Guards against a success that a new leader drops, as it has adopted the next
 * run of the task before.
 */
Test(sched_late_success, a_new_leader_adopts_the_other_run_first)
{
	struct world_job *job = start_again(1, 3000, 0);

	world_run_until(&w, w.now + 300);
	cr_assert_eq(w.targets[1].nruns, 1);
	sched_finish(&first);
	world_drop_calls(&w, &first);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	world_resubmit(&w);
	world_run_until(&w, w.now + 200);
	cr_assert_eq(second.count.adopted, 1);
	reply_again(200);
	cr_assert(job->answered);
	cr_assert_eq(w.targets[1].nruns, 0);
	world_run_until(&w, w.now + 1000);
	end_world(job, POOL_ANSWER__OUTCOME__COMPLETED);
}

/* Guards against an end that waits for a target of which the runs are gone. */
Test(sched_late_success, the_other_target_restarts)
{
	struct world_target *t = &w.targets[1];
	struct world_job *job = start_again(1, 300, 100);

	world_target_restart(&w, t);
	sched_target_listed(&first, &t->listing, w.now);
	reply_again(3000);
	end_world(job, POOL_ANSWER__OUTCOME__COMPLETED);
}

/* Guards against ends that are never acknowledged, as their job is gone. */
Test(sched_late_success, the_job_is_cancelled_then)
{
	struct world_job *job = start_again(1, 300, 1500);

	w.targets[1].unresponsive = 1;
	w.lose_messages = 1;
	reply_again(60);
	sched_cancel(&first, job, job->sub->seq, w.now);
	world_run_until(&w, w.now + 3000);
	w.targets[1].unresponsive = 0;
	sched_owner_acked(&first, job, w.mark, w.now);
	world_run_until(&w, w.now + 20000);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	cr_assert_eq(w.targets[0].nends, 0);
	cr_assert_null(first.closed);
	sched_finish(&first);
	world_finish(&w);
}
