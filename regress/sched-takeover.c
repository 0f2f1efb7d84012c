/* A scheduler that takes over what another one left. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <string.h>

#include "lead.h"
#include "world/world.h"

static struct world w;
static struct sched first, second;

static void set_up(void)
{
	apr_initialize();
}

TestSuite(sched_takeover, .init = set_up, .timeout = 60);

static void begin(size_t ntargets)
{
	world_begin(&w, &first, ntargets);
}

static void end(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first);
	sched_finish(w.s);
	world_finish(&w);
}

/* Another scheduler takes office; the first one is gone. */
static void take_over(uint64_t fence)
{
	sched_finish(&first);
	world_drop_calls(&w, &first);
	world_lead(&w, &second, NULL, fence);
	world_resubmit(&w);
}

Test(sched_takeover, a_new_leader_adopts_what_runs)
{
	struct world_job *job;

	begin(4);
	job = world_submit(&w, "q", 4, 400, 1, 1500);
	world_run(&w, w.now + 100);
	take_over(LEAD_TOKEN(2));
	world_run(&w, w.now + 1200);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 4);
	cr_assert_eq(second.count.adopted, 4);
	end();
}

/* Found by a hunt: an adopted run had no lease, and was taken for lapsed. */
Test(sched_takeover, an_adopted_run_has_a_lease)
{
	begin(4);
	world_submit(&w, "q", 4, 700, 1, 1500);
	world_run(&w, w.now + 100);
	take_over(LEAD_TOKEN(2));
	world_run(&w, w.now + 200);
	cr_assert_eq(second.count.lapses, 0);
	world_run(&w, w.now + 1200);
	end();
}

Test(sched_takeover, what_nobody_hands_over_is_stopped)
{
	struct world_job *job;
	size_t i, runs = 0;

	begin(4);
	job = world_submit(&w, "q", 4, 900, 1, 1500);
	world_run(&w, w.now + 100);
	job->answered = 1; /* its entry VM is gone */
	take_over(LEAD_TOKEN(2));
	world_run(&w, w.now + 700);
	for (i = 0; i < 4; i++)
		runs += w.targets[i].nruns;
	cr_assert_eq(runs, 0);
	end();
}

/*
 * Found by a hunt: a domain that was cut off went on under its own leader,
 * with targets that the new leader could not reach. Their runs are found
 * when they are, and must not be started beside that.
 */
Test(sched_takeover, targets_out_of_reach_keep_handed_over_jobs_waiting)
{
	size_t i;

	begin(6);
	for (i = 0; i < 3; i++)
		w.targets[i].dark = 1;
	/* The other side's leader. */
	world_lead(&w, &second, NULL, LEAD_TOKEN(2));
	world_run(&w, w.now + 400);
	w.s = &first;
	for (i = 0; i < 6; i++)
		w.targets[i].dark = i >= 3;
	world_run(&w, w.now + 400);
	for (i = 0; i < 6; i++)
		world_submit(&w, "q", 1, 500, 1, 1500);
	world_run(&w, w.now + 150);
	/* The cut heals: the jobs are handed to the new leader. */
	for (i = 0; i < 6; i++)
		w.targets[i].dark = 0;
	w.s = &second;
	world_resubmit(&w);
	world_run(&w, w.now + 1500);
	cr_assert_eq(w.violations, 0, "%s", w.first);
	sched_finish(&first);
	sched_finish(&second);
	world_finish(&w);
}

/* Found by a hunt: such targets may be missing from the list as well. */
Test(sched_takeover, hidden_targets_keep_handed_over_jobs_waiting)
{
	struct world_job *job;
	uint64_t before;

	begin(2);
	job = world_submit(&w, "q", 1, 900, 1, 1500);
	world_run(&w, w.now + 50);
	before = w.starts;
	take_over(LEAD_TOKEN(2));
	second.former_hidden = 1;
	sched_unlisted(&second, w.targets[0].is.id, w.now);
	sched_unlisted(&second, w.targets[1].is.id, w.now);
	w.targets[0].dark = w.targets[1].dark = 1;
	world_run(&w, w.now + 600);
	cr_assert_eq(w.starts, before);
	cr_assert(!job->answered ||
		  job->outcome != POOL_ANSWER__OUTCOME__REJECTED);
	end();
}

/*
 * Found on a day of the grown deployment: a domain that was cut off led
 * itself; the store had dropped its targets, and the leader of the rest was a
 * new one that had taken all targets of its list.
 */
Test(sched_takeover, a_domain_led_alone_goes_on_with_hidden_targets)
{
	struct world_job *job;
	uint64_t before;

	begin(4);
	sched_finish(&first);
	world_lead(&w, &first, NULL, LEAD_TOKEN(1) | 7);
	world_run(&w, w.now + 200);
	job = world_submit(&w, "q", 1, 900, 1, 1500);
	world_run(&w, w.now + 50);
	before = w.starts;
	world_lead(&w, &second, NULL, LEAD_TOKEN(2));
	for (size_t i = 0; i < 4; i++) {
		if (!w.targets[i].nruns)
			continue;
		sched_unlisted(&second, w.targets[i].is.id, w.now);
		w.targets[i].dark = 1;
	}
	world_run(&w, w.now + 500);
	world_resubmit(&w);
	world_run(&w, w.now + 500);
	cr_assert_eq(w.starts, before);
	cr_assert(!job->answered);
	sched_finish(&first);
	end();
}

/*
 * Found by the soak: a leader acknowledged an end, and what it told the job's
 * owner was lost with it. The next leader started the task again.
 */
Test(sched_takeover, ends_that_owners_have_not_heard_of_stay_listed)
{
	struct world_job *job;

	begin(4);
	job = world_submit(&w, "q", 4, 100, 1, 1500);
	world_submit(&w, "q", 4, 400, 1, 1500);
	w.deaf = 1;
	world_run(&w, w.now + 250);
	cr_assert(!job->answered);
	take_over(LEAD_TOKEN(2));
	w.deaf = 0;
	world_run(&w, w.now + 1300);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 8);
	end();
}

/* The same where only the owner's connection was lost, and then the leader. */
Test(sched_takeover, owners_are_told_again_over_another_connection)
{
	struct world_job *job;

	begin(4);
	job = world_submit(&w, "q", 2, 100, 1, 1500);
	world_submit(&w, "q", 4, 400, 1, 1500);
	w.targets[0].stuck = 1; /* one task stays */
	w.deaf = 1;
	world_run(&w, w.now + 250);
	w.deaf = 0;
	cr_assert_eq(job->sub->n_done, 0);
	sched_submit(&first, job, job->sub, w.now);
	cr_assert_eq(job->sub->n_done, 1);
	end();
}

/*
 * Found on a day of stored jobs: a run ended between the first list and the
 * handover of its job, was adopted as running, and started again.
 */
Test(sched_takeover, a_run_that_ends_before_the_handover_is_done)
{
	struct world_job *job;

	begin(4);
	job = world_submit(&w, "q", 4, 150, 1, 1500);
	world_run(&w, w.now + 100);
	sched_finish(&first);
	world_drop_calls(&w, &first);
	world_lead(&w, &second, NULL, LEAD_TOKEN(2));
	world_run(&w, w.now + 200);
	world_resubmit(&w);
	world_run(&w, w.now + 800);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 4);
	end();
}

/*
 * Found by the soak: a domain led itself and ended a task; the leader that
 * had held its target all along, by its own account, was next in office.
 */
Test(sched_takeover, an_end_of_another_scheduler_is_kept_for_its_job)
{
	const struct rp_str foreign_id = str_of("0000000000000001");
	struct sched_end foreign = { .number = 1, .run = 70 };
	struct sched_look look = { .reply = SCHED_REPLY_OK, .reason = "" };
	struct world_job *job;
	struct sched_target *t;

	begin(1);
	t = sched_find_target(&first, "t0");
	foreign.task = str_of("0000000000000001.0.0.0");
	look.ends = &foreign;
	look.nends = 1;
	look.clock = look.sent_at = w.now;
	sched_hold_reply(&first, t, &look, w.now);
	cr_assert_eq(sched_told_until(t), 0);
	world_run(&w, w.now + 100);
	job = world_submit(&w, "q", 2, 100, 1, 3000);
	sched_cancel(&first, job, job->seq, w.now);
	world_run(&w, w.now + 100);
	job->sub->former = LEAD_TOKEN(1) | 7;
	sched_submit(&first, job, job->sub, w.now);
	cr_assert_eq(sched_open_job(&first, foreign_id)->ndone, 1);
	end();
}

/*
 * What is found on targets waits for the table of stored jobs, and for no
 * longer: holding it back costs a call every 60 ms and ends that come late.
 */
Test(sched_takeover, what_is_found_waits_for_the_table_of_jobs)
{
	struct world_job *job;
	size_t i, left = 0;

	begin(4);
	job = world_submit(&w, "q", 4, 100, 1, 1500);
	w.deaf = 1;
	world_run(&w, w.now + 150);
	job->answered = 1; /* its entry VM is gone */
	take_over(LEAD_TOKEN(2));
	second.jobs_read = 0;
	world_run(&w, w.now + 600);
	for (i = 0; i < 4; i++)
		left += w.targets[i].nends;
	cr_assert_eq(left, 4);
	sched_jobs_read(&second);
	world_run(&w, w.now + 600);
	for (i = 0; i < 4; i++)
		cr_assert_eq(w.targets[i].nends, 0);
	end();
}

/* Owners that have heard, or are gone, hold nothing back. */
Test(sched_takeover, ends_are_acknowledged_once_owners_have_heard)
{
	struct world_job *job, *gone;
	size_t i, left = 0;

	begin(4);
	job = world_submit(&w, "q", 2, 100, 1, 1500);
	gone = world_submit(&w, "q", 2, 100, 1, 1500);
	w.deaf = 1;
	world_run(&w, w.now + 300);
	for (i = 0; i < 4; i++)
		left += w.targets[i].nends;
	cr_assert_eq(left, 4);
	sched_heard(&first, job, w.mark, w.now);
	sched_owner_gone(&first, gone, w.now);
	world_run(&w, w.now + 600);
	for (i = 0; i < 4; i++)
		cr_assert_eq(w.targets[i].nends, 0);
	end();
}

/* The old leader wakes and tries to go on: the targets refuse it. */
Test(sched_takeover, an_old_leader_is_fenced)
{
	begin(4);
	world_play(&w, 0.3, 500);
	world_lead(&w, &second, NULL, LEAD_TOKEN(2));
	world_run(&w, w.now + 100);
	w.s = &first;
	world_submit(&w, "q", 4, 50, 1, 1500);
	world_run(&w, w.now + 200);
	cr_assert_gt(w.fenced, 0);
	sched_finish(&first);
	sched_finish(&second);
	cr_assert_eq(w.violations, 0, "%s", w.first);
	world_finish(&w);
}
