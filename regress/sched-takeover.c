/* Takeover of runs and jobs from an earlier scheduler. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <string.h>

#include "lead.h"
#include "world/world.h"

static struct world w;
static struct sched first, second;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_takeover, .init = init_apr, .timeout = 60);

static void begin_world(size_t ntargets)
{
	world_begin(&w, &first, ntargets);
}

static void end_world(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(w.sched);
	world_finish(&w);
}

/* The first scheduler is lost, and the second takes over. */
static void take_over(uint64_t fence)
{
	sched_finish(&first);
	world_drop_calls(&w, &first);
	world_start_sched(&w, &second, NULL, fence);
	world_resubmit(&w);
}

Test(sched_takeover, a_new_leader_adopts_what_runs)
{
	struct world_job *job;

	begin_world(4);
	job = world_submit(&w, "q", 4, 400, 1, 1500);
	world_run_until(&w, w.now + 100);
	take_over(LEAD_TOKEN(2));
	world_run_until(&w, w.now + 1200);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 4);
	cr_assert_eq(second.count.adopted, 4);
	end_world();
}

/* An adopted run without a lease would be given up as lapsed. */
Test(sched_takeover, an_adopted_run_has_a_lease)
{
	begin_world(4);
	world_submit(&w, "q", 4, 700, 1, 1500);
	world_run_until(&w, w.now + 100);
	take_over(LEAD_TOKEN(2));
	world_run_until(&w, w.now + 200);
	cr_assert_eq(second.count.lapses, 0);
	world_run_until(&w, w.now + 1200);
	end_world();
}

Test(sched_takeover, runs_that_no_job_claims_are_stopped)
{
	struct world_job *job;
	size_t i, runs = 0;

	begin_world(4);
	job = world_submit(&w, "q", 4, 900, 1, 1500);
	world_run_until(&w, w.now + 100);
	job->answered = 1; /* its entry VM is lost */
	take_over(LEAD_TOKEN(2));
	world_run_until(&w, w.now + 700);
	for (i = 0; i < 4; i++)
		runs += w.targets[i].nruns;
	cr_assert_eq(runs, 0);
	end_world();
}

/*
 * A domain that was cut off went on under its own leader, on targets that the
 * new leader could not reach. Their tasks must not be started elsewhere before
 * those targets are reached and their runs found.
 */
Test(sched_takeover, unreachable_targets_delay_resubmitted_jobs)
{
	size_t i;

	begin_world(6);
	for (i = 0; i < 3; i++)
		w.targets[i].unresponsive = 1;
	/* The leader on the other side of the partition. */
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	world_run_until(&w, w.now + 400);
	w.sched = &first;
	for (i = 0; i < 6; i++)
		w.targets[i].unresponsive = i >= 3;
	world_run_until(&w, w.now + 400);
	for (i = 0; i < 6; i++)
		world_submit(&w, "q", 1, 500, 1, 1500);
	world_run_until(&w, w.now + 150);
	/* The partition heals, and the jobs go to the new leader. */
	for (i = 0; i < 6; i++)
		w.targets[i].unresponsive = 0;
	w.sched = &second;
	world_resubmit(&w);
	world_run_until(&w, w.now + 1500);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&first);
	sched_finish(&second);
	world_finish(&w);
}

/* Unreachable targets with runs may be missing from the list as well. */
Test(sched_takeover, unlisted_targets_delay_resubmitted_jobs)
{
	struct world_job *job;
	uint64_t before;

	begin_world(2);
	job = world_submit(&w, "q", 1, 900, 1, 1500);
	world_run_until(&w, w.now + 50);
	before = w.starts;
	take_over(LEAD_TOKEN(2));
	second.prev_may_hold_unlisted = 1;
	sched_target_unlisted(&second, w.targets[0].listing.id, w.now);
	sched_target_unlisted(&second, w.targets[1].listing.id, w.now);
	w.targets[0].unresponsive = w.targets[1].unresponsive = 1;
	world_run_until(&w, w.now + 600);
	cr_assert_eq(w.starts, before);
	cr_assert(!job->answered ||
		  job->outcome != POOL_ANSWER__OUTCOME__REJECTED);
	end_world();
}

/*
 * A domain that was cut off had a provisional leader, and the entries of its
 * targets had expired in the store. A new leader of the other domains, which
 * holds all listed targets, must not start the tasks that run there.
 */
Test(sched_takeover, a_provisional_leader_keeps_its_unlisted_targets)
{
	struct world_job *job;
	uint64_t before;

	begin_world(4);
	sched_finish(&first);
	world_start_sched(&w, &first, NULL, LEAD_TOKEN(1) | 7);
	world_run_until(&w, w.now + 200);
	job = world_submit(&w, "q", 1, 900, 1, 1500);
	world_run_until(&w, w.now + 50);
	before = w.starts;
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	for (size_t i = 0; i < 4; i++) {
		if (!w.targets[i].nruns)
			continue;
		sched_target_unlisted(&second, w.targets[i].listing.id, w.now);
		w.targets[i].unresponsive = 1;
	}
	world_run_until(&w, w.now + 500);
	world_resubmit(&w);
	world_run_until(&w, w.now + 500);
	cr_assert_eq(w.starts, before);
	cr_assert(!job->answered);
	sched_finish(&first);
	end_world();
}

/*
 * A leader must not acknowledge an end before the job's owner has the message
 * about it. If both are lost, the next leader starts the task again.
 */
Test(sched_takeover, ends_stay_listed_until_owners_acknowledge)
{
	struct world_job *job;

	begin_world(4);
	job = world_submit(&w, "q", 4, 100, 1, 1500);
	world_submit(&w, "q", 4, 400, 1, 1500);
	w.lose_messages = 1;
	world_run_until(&w, w.now + 250);
	cr_assert(!job->answered);
	take_over(LEAD_TOKEN(2));
	w.lose_messages = 0;
	world_run_until(&w, w.now + 1300);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 8);
	end_world();
}

/* The owner's connection was lost: progress is sent again on the next one. */
Test(sched_takeover, progress_is_resent_on_a_new_connection)
{
	struct world_job *job;

	begin_world(4);
	job = world_submit(&w, "q", 2, 100, 1, 1500);
	world_submit(&w, "q", 4, 400, 1, 1500);
	w.targets[0].stalled = 1; /* keeps the job open */
	w.lose_messages = 1;
	world_run_until(&w, w.now + 250);
	w.lose_messages = 0;
	cr_assert_eq(job->sub->n_done, 0);
	sched_submit(&first, job, job->sub, w.now);
	cr_assert_eq(job->sub->n_done, 1);
	end_world();
}

/*
 * A run that ends between the first list and the resubmission of its job must
 * not be adopted as running, and then be started again.
 */
Test(sched_takeover, a_run_that_ends_before_resubmission_is_done)
{
	struct world_job *job;

	begin_world(4);
	job = world_submit(&w, "q", 4, 150, 1, 1500);
	world_run_until(&w, w.now + 100);
	sched_finish(&first);
	world_drop_calls(&w, &first);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	world_run_until(&w, w.now + 200);
	world_resubmit(&w);
	world_run_until(&w, w.now + 800);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 4);
	end_world();
}

/*
 * A provisional leader's run ended on a target. The regular leader, which
 * considers itself the holder of the target throughout, must keep that end for
 * the job.
 */
Test(sched_takeover, an_end_of_another_scheduler_is_kept_for_its_job)
{
	const struct rp_str foreign_id = str_of("0000000000000001");
	struct sched_end foreign = { .number = 1, .run = 70 };
	struct sched_target_reply reply = { .status = SCHED_REPLY_OK,
					    .reason = "" };
	struct world_job *job;
	struct sched_target *t;

	begin_world(1);
	t = sched_find_target(&first, "t0");
	foreign.task = str_of("0000000000000001.0.0.0");
	reply.ends = &foreign;
	reply.nends = 1;
	reply.clock = reply.sent_at = w.now;
	sched_hold_reply(&first, t, &reply, w.now);
	cr_assert_eq(sched_ackable_end(t), 0);
	world_run_until(&w, w.now + 100);
	job = world_submit(&w, "q", 2, 100, 1, 3000);
	sched_cancel(&first, job, job->seq, w.now);
	world_run_until(&w, w.now + 100);
	job->sub->former = LEAD_TOKEN(1) | 7;
	sched_submit(&first, job, job->sub, w.now);
	cr_assert_eq(sched_find_open_job(&first, foreign_id)->ndone, 1);
	end_world();
}

/*
 * Unclaimed ends wait until the stored jobs are loaded, and no longer: each
 * target with such ends costs a call every 60 ms, and new ends come late.
 */
Test(sched_takeover, unclaimed_ends_wait_for_stored_jobs)
{
	struct world_job *job;
	size_t i, left = 0;

	begin_world(4);
	job = world_submit(&w, "q", 4, 100, 1, 1500);
	w.lose_messages = 1;
	world_run_until(&w, w.now + 150);
	job->answered = 1; /* its entry VM is lost */
	take_over(LEAD_TOKEN(2));
	second.stored_jobs_loaded = 0;
	world_run_until(&w, w.now + 600);
	for (i = 0; i < 4; i++)
		left += w.targets[i].nends;
	cr_assert_eq(left, 4);
	sched_stored_jobs_loaded(&second);
	world_run_until(&w, w.now + 600);
	for (i = 0; i < 4; i++)
		cr_assert_eq(w.targets[i].nends, 0);
	end_world();
}

/*
 * The leader removed a member that it had not heard for a while. The member was
 * alive, had not received the message about an end, and submitted its job to
 * the next leader, which must still find that end.
 */
Test(sched_takeover, ends_of_a_lost_member_stay_listed_while_its_jobs_live)
{
	struct world_job *job;

	begin_world(4);
	job = world_submit(&w, "q", 4, 250, 1, 1500);
	w.lose_messages = 1;
	world_run_until(&w, w.now + 240);
	sched_owner_lost(&first, job, w.now);
	world_run_until(&w, w.now + 350);
	take_over(LEAD_TOKEN(2));
	w.lose_messages = 0;
	world_run_until(&w, w.now + 1000);
	end_world();
}

/*
 * A member finds the new leader only after the time in which jobs are usually
 * submitted again. Ends that were acknowledged meanwhile still count.
 */
Test(sched_takeover, ends_released_before_a_late_resubmission_count)
{
	begin_world(4);
	world_submit(&w, "q", 4, 200, 1, 1500);
	w.lose_messages = 1;
	world_run_until(&w, w.now + 200);
	sched_finish(&first);
	world_drop_calls(&w, &first);
	w.lose_messages = 0;
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	world_run_until(&w, w.now + 450);
	world_resubmit(&w);
	world_run_until(&w, w.now + 1000);
	end_world();
}

/*
 * A job is submitted to the new leader before the first lists arrive. The ends
 * in them wait for the job's owner, no less and no longer.
 */
Test(sched_takeover, ends_claimed_from_the_first_list_wait_for_their_owner)
{
	struct world_target *t = &w.targets[0];
	struct sched_job *open;
	struct world_job *job;

	begin_world(1);
	job = world_submit(&w, "q", 4, 400, 1, 3000);
	w.lose_messages = 1;
	while (t->nends < 2)
		world_run_until(&w, w.now + 1);
	world_run_until(&w, w.now + 50);
	take_over(LEAD_TOKEN(2));
	world_run_until(&w, w.now + 100);
	open = sched_find_open_job(&second, str_of(job->sub->id));
	cr_assert_not_null(open);
	cr_assert_eq(open->ndone, 2);
	cr_assert_eq(t->nends, 2);
	sched_owner_acked(&second, job, w.mark, w.now);
	world_run_until(&w, w.now + 80);
	cr_assert_eq(t->nends, 0);
	end_world();
}

/* An owner that acknowledged, or whose jobs have expired, delays nothing. */
Test(sched_takeover, ends_are_acknowledged_once_owners_acknowledge)
{
	struct world_job *job, *lost;
	size_t i, left = 0;

	begin_world(4);
	job = world_submit(&w, "q", 2, 100, 1, 1500);
	lost = world_submit(&w, "q", 2, 100, 1, 1500);
	w.lose_messages = 1;
	world_run_until(&w, w.now + 300);
	for (i = 0; i < 4; i++)
		left += w.targets[i].nends;
	cr_assert_eq(left, 4);
	sched_owner_acked(&first, job, w.mark, w.now);
	sched_owner_lost(&first, lost, w.now);
	world_run_until(&w, lost->arrived_at + 1500 + 150);
	for (i = 0; i < 4; i++)
		cr_assert_eq(w.targets[i].nends, 0);
	end_world();
}

/*
 * A provisional leader ran tasks on targets that the regular one still holds
 * but did not call meanwhile. With its next token that one must list them
 * before it starts anything there.
 */
Test(sched_takeover, a_raised_token_lists_runs_of_a_provisional_leader)
{
	begin_world(2);
	world_run_until(&w, w.now + 500);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(1) | 7);
	world_run_until(&w, w.now + 50);
	world_submit(&w, "q", 4, 400, 1, 1500);
	world_run_until(&w, w.now + 50);
	w.sched = &first;
	sched_raise_fence(&first, LEAD_TOKEN(2), w.now);
	world_submit(&w, "q", 4, 400, 1, 1500);
	world_run_until(&w, w.now + 1200);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&first);
	sched_finish(&second);
	world_finish(&w);
}

/* Advances to the time, while both schedulers lead. */
static void run_both(rp_ms until)
{
	while (w.now < until) {
		world_run_until(&w, w.now + 1);
		if (w.now % SCHED_TICK_MS == 0)
			sched_tick(w.sched == &first ? &second : &first, w.now);
	}
}

/* Two leaders reach one target each; one of its jobs is with each. */
static void take_over_one_side(uint64_t fence)
{
	struct world_job *outside;
	rp_ms cut_at, lease;

	begin_world(2);
	w.task_cpu = 3000;
	sched_target_unlisted(&first, w.targets[1].listing.id, w.now);
	world_submit(&w, "q", 1, 1200, 1, 3000);
	outside = world_submit(&w, "q", 1, 1400, 1, 3000);
	world_run_until(&w, w.now + 50);
	cr_assert_eq(w.targets[0].nruns, 2);
	lease = w.targets[0].lease_until;
	while (w.targets[0].lease_until == lease)
		world_run_until(&w, w.now + 1);
	sched_target_listed(&first, &w.targets[1].listing, w.now);
	cut_at = w.now;
	w.targets[0].cut_off = &first;
	w.targets[1].cut_off = &second;
	world_run_until(&w, cut_at + 850);
	world_start_sched(&w, &second, NULL, fence);
	outside->answered = 1; /* its entry VM is in another domain */
	world_resubmit(&w);
	outside->answered = 0;
	run_both(cut_at + 1300);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	cr_assert_eq(second.count.adopted, 1);
	sched_finish(&first);
	sched_finish(&second);
	world_finish(&w);
}

/*
 * A domain that is cut off has a provisional leader, which knows the jobs of
 * its own entry VMs only. The regular leader starts the other tasks elsewhere
 * when their leases are over. Guards against a provisional leader that renews
 * these leases, together with those of the runs that it has adopted.
 */
Test(sched_takeover, runs_of_another_leader_end_with_its_lease)
{
	take_over_one_side(LEAD_TOKEN(1) | 7);
}

/*
 * The same with the leader's own domain cut off, and a regular successor in the
 * others, where the target is.
 */
Test(sched_takeover, runs_of_a_leader_that_is_cut_off_end_with_its_lease)
{
	take_over_one_side(LEAD_TOKEN(2));
}

/* The old leader resumes after a pause, and targets reject its calls. */
Test(sched_takeover, an_old_leader_is_fenced)
{
	begin_world(4);
	world_generate_load(&w, 0.3, 500);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	world_run_until(&w, w.now + 100);
	w.sched = &first;
	world_submit(&w, "q", 4, 50, 1, 1500);
	world_run_until(&w, w.now + 200);
	cr_assert_gt(w.fenced, 0);
	sched_finish(&first);
	sched_finish(&second);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	world_finish(&w);
}

/*
 * A start that a target refuses takes a run number. 64 of them were gone after
 * a few seconds of refusals, and the successor's first ones were used already.
 */
Test(sched_takeover, run_numbers_last_for_many_refused_starts)
{
	struct sched_target_reply refusal = { .status = SCHED_REPLY_REFUSED,
					      .reason = "",
					      .clock = 1 };
	struct sched_task *task;
	uint32_t last = 0;
	int i;

	begin_world(4);
	w.delay = 1000;
	w.stored = 1;
	world_submit(&w, "q", 1, 100, 1, 1500);
	task = &w.sched->jobs->tasks[0];
	for (i = 0; i < 500; i++) {
		char name[SCHED_TASK_NAME_MAX];

		if (!task->target)
			sched_dispatch(w.sched, w.now);
		cr_assert_not_null(task->target);
		last = task->run;
		memcpy(name, task->name, sizeof(name));
		sched_start_reply(w.sched, task->target, name, task->run,
				  &refusal, w.now);
	}
	sched_init(&second, w.sched->ops, &w, NULL, LEAD_TOKEN(2),
		   WORLD_LEASE_MS, w.now);
	cr_assert_gt(second.first_run, last);
	sched_finish(&second);
	end_world();
}

/*
 * Jobs that have waited while there was no leader are late already. Guards
 * against rejections of jobs whose answers are still of use.
 */
Test(sched_takeover, a_late_job_that_nobody_has_started_is_served)
{
	PoolSubmit *sub;
	struct world_job *job;
	int i;

	begin_world(4);
	job = world_submit(&w, "late", 1, 200, 1, 1500);
	sched_cancel(&first, job, job->seq, w.now);
	job->answered = 1; /* its submission is lost with the leader */
	take_over(LEAD_TOKEN(2));
	job->answered = 0;
	for (i = 0; i < 3; i++)
		world_submit(&w, "q", 4, 200, 1, 1500);
	world_run_until(&w, w.now + 100);
	sub = job->sub;
	sub->seq = job->seq = 1000;
	sub->age_ms = 500;
	sub->left_ms = 1000;
	sched_submit(&second, job, sub, w.now);
	cr_assert(!job->answered);
	world_run_until(&w, w.now + 900);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/*
 * A leader finds ends of tasks whose job it does not know: its entry VM is cut
 * off or frozen. Another leader follows, and then the VM submits the job again.
 * Guards against acknowledging the ends meanwhile: the targets forget them, and
 * the tasks run a second time.
 */
Test(sched_takeover, ends_of_a_vm_that_is_not_connected_are_kept)
{
	struct sched third;
	struct world_job *job;

	begin_world(4);
	job = world_submit(&w, "q", 4, 100, 1, 1500);
	world_run_until(&w, w.now + 50);
	sched_finish(&first);
	world_drop_calls(&w, &first);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	second.owners_missing = 1;
	second.default_wait = 1500;
	world_run_until(&w, w.now + 600);
	sched_finish(&second);
	world_drop_calls(&w, &second);
	world_start_sched(&w, &third, NULL, LEAD_TOKEN(3));
	world_resubmit(&w);
	world_run_until(&w, w.now + 500);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 4);
	end_world();
}

/* Guards against targets that keep ends for good. */
Test(sched_takeover, ends_that_no_job_claims_are_acknowledged_in_the_end)
{
	size_t i, kept = 0;

	begin_world(4);
	world_submit(&w, "q", 4, 100, 1, 1500)->answered = 1;
	world_run_until(&w, w.now + 50);
	sched_finish(&first);
	world_drop_calls(&w, &first);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	second.owners_missing = 1;
	second.default_wait = 1500;
	world_run_until(&w, w.now + 2500);
	for (i = 0; i < 4; i++)
		kept += w.targets[i].nends;
	cr_assert_eq(kept, 0);
	end_world();
}

/*
 * The list loses a target for a while, on which the leader has seen a task end.
 * Guards against forgetting that the job's owner has not acknowledged the end:
 * the target would drop it when it is back, and the next leader would start the
 * task again.
 */
Test(sched_takeover, ends_of_a_target_that_is_unlisted_wait_for_their_owner)
{
	struct world_target *t = &w.targets[0];
	struct world_job *job;

	begin_world(1);
	w.stored = 1;
	w.task_cpu = 3000;
	job = world_submit(&w, "q", 2, 100, 1, 1500);
	job->task_work[1] = 3000;
	w.lose_messages = 1;
	world_run_until(&w, w.now + 200);
	cr_assert_eq(t->nends, 1);
	sched_target_unlisted(&first, t->listing.id, w.now);
	world_run_until(&w, w.now + 3500);
	sched_target_listed(&first, &t->listing, w.now);
	world_run_until(&w, w.now + 800);
	cr_assert_eq(t->nends, 2);
	take_over(LEAD_TOKEN(2));
	w.lose_messages = 0;
	world_run_until(&w, w.now + 3000);
	cr_assert_eq(w.starts, 2);
	end_world();
}

/*
 * There is no leader for 700 ms, with most of the room free. The jobs that have
 * waited start late for that reason alone. Guards against new jobs that are
 * rejected with targets free, as late starts count as a lack of room.
 */
Test(sched_takeover, jobs_that_waited_for_a_leader_do_not_tell_of_the_room)
{
	int i;

	begin_world(8);
	for (i = 0; i < 12; i++)
		world_job_new(&w, "q", 1, 100, 1, 1500);
	w.now += 700;
	take_over(LEAD_TOKEN(2));
	world_run_until(&w, w.now + 1000);
	cr_assert_geq(second.usable_share, SCHED_USABLE_SHARE_INITIAL, "%.2f",
		      second.usable_share);
	end_world();
}

/* The same for a job whose first start had no reply, and is made again. */
Test(sched_takeover, runs_that_are_started_again_do_not_tell_of_the_room)
{
	struct world_job *jobs[8];
	size_t i;

	begin_world(8);
	for (i = 0; i < 8; i++)
		w.targets[i].late[WORLD_START] =
			(struct world_late){ 100, 3000, 3000, 0 };
	for (i = 0; i < 8; i++)
		jobs[i] = world_submit(&w, "q", 1, 100, 1, 10000);
	world_run_until(&w, w.now + 5000);
	for (i = 0; i < 8; i++)
		cr_assert(jobs[i]->answered);
	cr_assert_geq(first.usable_share, SCHED_USABLE_SHARE_INITIAL, "%.2f",
		      first.usable_share);
	end_world();
}
