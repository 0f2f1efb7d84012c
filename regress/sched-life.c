/*
 * Jobs, runs and targets under faults. The simulation in world/ checks the
 * invariants at the targets; these tests check what callers see.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#include "lead.h"
#include "world/world.h"

static const double speeds[] = { 1.0 };
static struct world w;
static struct sched first, second;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_life, .init = init_apr, .timeout = 60);

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

Test(sched_life, a_job_is_answered_once_when_all_tasks_are_done)
{
	struct world_job *job;

	begin_world(4);
	job = world_submit(&w, "q", 5, 100, 1, 1500);
	world_run_until(&w, w.now + 600);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 5);
	end_world();
}

Test(sched_life, a_repeated_submission_starts_nothing)
{
	struct world_job *job;

	begin_world(4);
	job = world_submit(&w, "q", 2, 100, 1, 1500);
	world_run_until(&w, w.now + 30);
	sched_submit(&first, job, job->sub, w.now);
	world_run_until(&w, w.now + 600);
	cr_assert_eq(w.starts, 2);
	end_world();
}

/*
 * A caller that got no answer submits the job again through another entry VM.
 * Its tasks must not run twice at the same time.
 */
Test(sched_life, a_second_submission_waits_for_the_runs_of_the_first)
{
	struct world_job *one, *two;

	begin_world(4);
	one = world_submit(&w, "q", 3, 400, 1, 1500);
	world_run_until(&w, w.now + 100);
	two = world_submit(&w, "q", 3, 400, 1, 3000);
	/* Submitted again below, under the id of the first. */
	sched_cancel(&first, two, two->seq, w.now);
	world_run_until(&w, w.now + 200);
	memcpy(two->sub->id, one->sub->id, 16);
	two->sub->seq = 99;
	w.starts = 0;
	two->answered = 0;
	sched_submit(&first, two, two->sub, w.now);
	sched_dispatch(&first, w.now);
	cr_assert(one->answered);
	cr_assert_eq(one->outcome, POOL_ANSWER__OUTCOME__INCOMPLETE);
	world_run_until(&w, w.now + 1500);
	cr_assert_eq(two->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 3);
	end_world();
}

/*
 * An entry VM that was paused was considered lost, resumed, and submitted its
 * jobs again. Tasks that were done must not start again, and the job must not
 * be answered as rejected, which would mean that nothing had run.
 */
Test(sched_life, a_resubmission_after_a_pause_starts_nothing)
{
	struct world_job *job;
	uint64_t before;

	begin_world(4);
	job = world_submit(&w, "q", 4, 100, 1, 3000);
	world_run_until(&w, w.now + 60);
	job = world_submit(&w, "q", 8, 200, 1, 3000);
	world_run_until(&w, w.now + 300);
	before = w.starts;
	sched_owner_lost(&first, job, w.now);
	job->answered = 0;
	world_run_until(&w, w.now + 700);
	job->sub->former = first.fence;
	job->sub->age_ms = 1000;
	job->sub->left_ms = 60;
	sched_submit(&first, job, job->sub, w.now);
	world_run_until(&w, w.now + 500);
	cr_assert(job->answered);
	cr_assert_neq(job->outcome, POOL_ANSWER__OUTCOME__REJECTED);
	cr_assert_eq(w.starts, before);
	end_world();
}

/* With enough time left, only the tasks that are not done are started. */
Test(sched_life, a_resubmitted_job_keeps_its_done_tasks)
{
	struct world_job *job;
	size_t i, done = 0;

	begin_world(2);
	job = world_submit(&w, "q", 6, 300, 1, 5000);
	world_run_until(&w, w.now + 450);
	cr_assert_not_null(first.jobs);
	for (i = 0; i < first.jobs->ntasks; i++)
		done += first.jobs->tasks[i].state == SCHED_DONE;
	cr_assert_gt(done, 0);
	sched_owner_lost(&first, job, w.now);
	world_run_until(&w, w.now + 300);
	w.starts = 0;
	sched_submit(&first, job, job->sub, w.now);
	world_run_until(&w, w.now + 2500);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts + done, 6);
	end_world();
}

Test(sched_life, a_job_without_a_target_is_rejected_at_once)
{
	struct world_job *job;

	begin_world(1);
	world_run_until(&w, w.now + 1000);
	w.targets[0].listing.ready = 0;
	sched_target_listed(&first, &w.targets[0].listing, w.now);
	job = world_submit(&w, "q", 1, 100, 1, 1500);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__REJECTED);
	world_run_until(&w, w.now + 500);
	cr_assert_eq(w.starts, 0);
	end_world();
}

/* A new leader that knows no target yet must not reject jobs for that. */
Test(sched_life, jobs_wait_until_a_new_leader_holds_targets)
{
	struct world_job *job;

	world_init(&w, 7, 2, speeds, 1);
	world_start_sched(&w, &first, NULL, LEAD_TOKEN(1));
	job = world_submit(&w, "q", 2, 100, 1, 1500);
	cr_assert_not(job->answered);
	world_run_until(&w, w.now + 400);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

Test(sched_life, a_draining_target_gets_no_work_and_finishes_its_own)
{
	struct world_job *job;
	size_t before;

	begin_world(2);
	job = world_submit(&w, "q", 4, 300, 1, 1500);
	world_run_until(&w, w.now + 50);
	before = w.targets[0].nruns;
	cr_assert_gt(before, 0);
	w.targets[0].listing.ready = 0;
	sched_target_listed(&first, &w.targets[0].listing, w.now);
	world_submit(&w, "q", 4, 100, 1, 1500);
	world_run_until(&w, w.now + 100);
	cr_assert_eq(w.targets[0].nruns, before);
	world_run_until(&w, w.now + 1200);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/* Runs are given up once the target's lease has certainly ended. */
Test(sched_life, an_unresponsive_target_loses_its_runs_after_the_lease)
{
	struct world_job *job;
	size_t i;

	begin_world(2);
	job = world_submit(&w, "q", 2, 60, 1, 5000);
	job->sub->left_ms = 5000;
	world_run_until(&w, w.now + 10);
	for (i = 0; i < 2; i++)
		if (w.targets[i].nruns)
			w.targets[i].unresponsive = 1;
	world_run_until(&w, w.now + 3000);
	cr_assert_geq(first.count.lapses, 1);
	end_world();
}

Test(sched_life, lost_replies_start_nothing_twice)
{
	size_t i;

	begin_world(8);
	for (i = 0; i < 8; i++)
		w.targets[i].lose_percent = 20;
	world_generate_load(&w, 0.5, 8000);
	world_run_until(&w, w.now + 3000);
	cr_assert_gt(w.outcomes.on_time + w.outcomes.late, 0);
	end_world();
}

Test(sched_life, a_task_that_fails_too_often_fails_the_job)
{
	struct world_job *job;

	begin_world(3);
	w.targets[0].fail_percent = w.targets[1].fail_percent =
		w.targets[2].fail_percent = 100;
	job = world_submit(&w, "q", 1, 50, 1, 3000);
	world_run_until(&w, w.now + 2500);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__FAILED);
	cr_assert_eq(w.starts, 3);
	end_world();
}

/*
 * A target that fails all its tasks is soon idle again and would get most of
 * the load, if failures did not count.
 */
Test(sched_life, a_failing_target_does_not_attract_load)
{
	begin_world(8);
	world_generate_load(&w, 0.5, 2000);
	w.targets[3].fail_percent = 100;
	world_generate_load(&w, 0.5, 6000);
	world_run_until(&w, w.now + 2000);
	cr_assert_leq(w.outcomes.failed * 100, w.outcomes.jobs,
		      "%d of %d failed", w.outcomes.failed, w.outcomes.jobs);
	end_world();
}

Test(sched_life, stalled_runs_are_moved)
{
	struct world_job *job;
	size_t i;

	begin_world(4);
	job = world_submit(&w, "q", 1, 300, 1, 3000);
	world_run_until(&w, w.now + 20);
	for (i = 0; i < 4; i++)
		if (w.targets[i].nruns)
			w.targets[i].stalled = 1;
	world_run_until(&w, w.now + 2500);
	cr_assert_geq(w.moves, 1);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/* A cancelled job's runs are stopped, and their resources are free again. */
Test(sched_life, a_cancelled_job_is_stopped)
{
	struct world_job *job;
	size_t i, runs = 0;

	begin_world(2);
	job = world_submit(&w, "q", 4, 800, 1, 1500);
	world_run_until(&w, w.now + 50);
	sched_cancel(&first, job, job->seq, w.now);
	job->answered = 1;
	world_run_until(&w, w.now + 300);
	for (i = 0; i < 2; i++) {
		runs += w.targets[i].nruns;
		cr_assert_eq(first.targets[i]->used.cpu, 0);
	}
	cr_assert_eq(runs, 0);
	cr_assert_null(first.closed);
	end_world();
}

Test(sched_life, runs_do_not_survive_their_incarnation)
{
	struct world_job *job;
	size_t i;

	begin_world(2);
	job = world_submit(&w, "q", 1, 200, 1, 3000);
	world_run_until(&w, w.now + 20);
	for (i = 0; i < 2; i++)
		if (w.targets[i].nruns) {
			w.targets[i].nruns = w.targets[i].nends = 0;
			w.targets[i].last_end = 0;
			w.targets[i].fence = 0;
			w.targets[i].listing.incarnation = 2;
			sched_target_listed(&first, &w.targets[i].listing,
					    w.now);
		}
	world_run_until(&w, w.now + 2000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/*
 * The leader starts runs in a new incarnation before the platform's list shows
 * it. When the list does, these runs must not be given up.
 */
Test(sched_life, runs_in_an_unlisted_incarnation_go_on)
{
	struct world_job *job;
	size_t i;

	begin_world(2);
	world_submit(&w, "q", 1, 30, 1, 3000);
	world_run_until(&w, w.now + 600); /* idle, its ends acknowledged */
	for (i = 0; i < 2; i++)
		world_target_restart(&w, &w.targets[i]);
	world_run_until(&w, w.now + 60);
	job = world_submit(&w, "q", 4, 250, 1, 3000);
	world_run_until(&w, w.now + 100);
	for (i = 0; i < 2; i++)
		sched_target_listed(&first, &w.targets[i].listing, w.now);
	world_run_until(&w, w.now + 2000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 5);
	end_world();
}

/*
 * A target restarts with a smaller capacity. Until the platform's list shows
 * the new incarnation, the capacity in the list is the previous one's.
 */
Test(sched_life, a_smaller_incarnation_is_not_given_too_much)
{
	struct world_job *job;
	size_t i;

	begin_world(9);
	job = world_submit(&w, "q", 18, 300, 1, 6000);
	world_run_until(&w, w.now + 100);
	for (i = 0; i < 9; i++) {
		world_target_restart(&w, &w.targets[i]);
		w.targets[i].listing.capacity.cpu = 10000;
	}
	world_run_until(&w, w.now + 400);
	for (i = 0; i < 9; i++)
		sched_target_listed(&first, &w.targets[i].listing, w.now);
	world_run_until(&w, w.now + 1500);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/*
 * A new incarnation numbers its ends from 1. Numbers of the previous one must
 * not acknowledge them unseen.
 */
Test(sched_life, ends_of_an_unknown_incarnation_are_not_acknowledged)
{
	struct world_job *job;
	size_t i;

	begin_world(2);
	for (i = 0; i < 4; i++)
		world_submit(&w, "q", 2, 30, 1, 3000);
	world_run_until(&w, w.now + 600);
	for (i = 0; i < 2; i++)
		world_target_restart(&w, &w.targets[i]);
	world_run_until(&w, w.now + 60);
	job = world_submit(&w, "q", 4, 1, 1, 3000);
	world_run_until(&w, w.now + 1000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 12);
	end_world();
}

/* Another target has taken the old address and replies to an earlier call. */
Test(sched_life, a_reply_from_the_previous_address_is_ignored)
{
	struct sched_target_reply late = {
		.status = SCHED_REPLY_WRONG_INCARNATION, .reason = ""
	};
	struct world_job *job;
	struct sched_target *t;

	begin_world(1);
	late.sent_at = w.now;
	world_run_until(&w, w.now + 10);
	world_target_restart(&w, &w.targets[0]);
	snprintf(w.targets[0].listing.address, RP_ADDRESS_MAX, "10.0.1.1:1");
	sched_target_listed(&first, &w.targets[0].listing, w.now);
	world_run_until(&w, w.now + 300);
	job = world_submit(&w, "q", 1, 200, 1, 3000);
	world_run_until(&w, w.now + 50);
	t = sched_find_target(&first, "t0");
	cr_assert_eq(t->nruns, 1);
	sched_stop_reply(&first, t, "none", 1, &late, w.now);
	cr_assert_eq(t->nruns, 1);
	world_run_until(&w, w.now + 600);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/*
 * A leader that is cut off from the store must suspend stored jobs. Otherwise
 * it may start a task again that its successor has already seen done.
 */
Test(sched_life, suspended_stored_jobs_neither_run_nor_start)
{
	struct world_job *job;
	size_t i, runs = 0;

	begin_world(2);
	job = world_submit(&w, "q", 2, 200, 1, 3000);
	sched_find_open_job(&first, str_of(job->sub->id))->stored = 1;
	world_run_until(&w, w.now + 50);
	sched_suspend_stored(&first, 1, w.now);
	world_run_until(&w, w.now + 300);
	for (i = 0; i < 2; i++)
		runs += w.targets[i].nruns;
	cr_assert_eq(runs, 0);
	cr_assert(!job->answered);
	sched_suspend_stored(&first, 0, w.now);
	world_run_until(&w, w.now + 2000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/* A task must not start again when its end is listed after the lease. */
Test(sched_life, an_end_that_is_listed_after_the_lease_counts)
{
	struct world_job *job;

	begin_world(1);
	job = world_submit(&w, "q", 1, 900, 1, 6000);
	world_run_until(&w, w.now + 30);
	w.targets[0].unresponsive = 1;
	world_run_until(&w, w.now + 1400); /* its lease is over */
	cr_assert_eq(first.count.lapses, 1);
	w.targets[0].unresponsive = 0;
	world_run_until(&w, w.now + 2000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 1);
	end_world();
}

/*
 * A target's clock runs slow. A start that arrives after the scheduler gave
 * the run up must find its lease over, however long the target was idle.
 */
Test(sched_life, a_start_that_arrives_late_has_no_lease)
{
	struct world_job *job;
	size_t i;

	begin_world(2);
	for (i = 0; i < 2; i++)
		w.targets[i].clock_rate = 0.98;
	world_submit(&w, "q", 2, 20, 1, 3000);
	world_run_until(&w, w.now + 20000);
	for (i = 0; i < 2; i++)
		w.targets[i].start_delay = 1200;
	job = world_submit(&w, "long", 1, 900, 1, 5000);
	for (i = 0; i < 2; i++) {
		w.targets[i].start_delay = 0;
		w.targets[i].unresponsive =
			sched_find_target(&first, w.targets[i].listing.id)
				->nruns > 0;
	}
	world_run_until(&w, w.now + 1100);
	for (i = 0; i < 2; i++)
		w.targets[i].unresponsive = 0;
	world_run_until(&w, w.now + 3000);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/* --- random faults --------------------------------------------------- */

static void random_fault(struct world *x)
{
	struct world_target *t =
		&x->targets[(size_t)(world_uniform(x) * (double)x->ntargets)];

	switch ((int)(world_uniform(x) * 6)) {
	case 0:
		t->unresponsive = !t->unresponsive;
		break;
	case 1:
		t->lose_percent = t->lose_percent ? 0 : 30;
		break;
	case 2:
		t->fail_percent = t->fail_percent ? 0 : 60;
		break;
	case 3:
		t->slowdown = t->slowdown > 1 ? 1 : 6;
		break;
	case 4:
		t->stalled = !t->stalled;
		break;
	default:
		t->listing.ready = !t->listing.ready;
		sched_target_listed(x->sched, &t->listing, x->now);
	}
}

/* Restarts a target; the platform's list shows it at the next step. */
static void random_restart(struct world *x)
{
	size_t i;

	for (i = 0; i < x->ntargets; i++)
		sched_target_listed(x->sched, &x->targets[i].listing, x->now);
	i = (size_t)(world_uniform(x) * (double)x->ntargets);
	world_target_restart(x, &x->targets[i]);
}

static void run_faults(uint64_t seed, void (*extra_fault)(struct world *x))
{
	static const double mixed[] = { 0.6, 1.0, 1.6 };
	struct sched *active = &first;
	uint64_t term = 1;
	int step;

	world_init(&w, seed, 24, mixed, 3);
	world_start_sched(&w, &first, NULL, LEAD_TOKEN(term));
	for (step = 0; step < 40; step++) {
		world_generate_load(&w, 0.9, 200);
		random_fault(&w);
		if (extra_fault)
			extra_fault(&w);
		if (world_uniform(&w) > 0.1)
			continue;
		/* A new leader takes over; the old one's calls are lost. */
		sched_finish(active);
		world_drop_calls(&w, active);
		active = active == &first ? &second : &first;
		world_start_sched(&w, active, NULL, LEAD_TOKEN(++term));
		world_resubmit(&w);
	}
	world_run_until(&w, w.now + 2500);
	cr_assert_eq(w.violations, 0, "seed %llu: %s", (unsigned long long)seed,
		     w.first_violation);
	cr_assert_eq(active->njobs, 0, "seed %llu: unanswered jobs are left",
		     (unsigned long long)seed);
	sched_finish(active);
	world_finish(&w);
}

Test(sched_life, invariants_hold_under_random_faults)
{
	uint64_t seed;

	for (seed = 1; seed <= 30; seed++)
		run_faults(seed, NULL);
}

Test(sched_life, invariants_hold_under_random_faults_and_restarts)
{
	uint64_t seed;

	for (seed = 1; seed <= 30; seed++)
		run_faults(seed, random_restart);
}

/* A leader that was paused sends nothing until it is confirmed. */
Test(sched_life, a_suspended_scheduler_sends_nothing)
{
	struct world_job *running, *waiting;
	uint64_t starts, holds;

	world_begin(&w, &first, 9);
	running = world_submit(&w, "q", 3, 400, 1, 3000);
	world_run_until(&w, w.now + 100);
	sched_suspend(&first, 1, w.now);
	waiting = world_submit(&w, "q", 3, 100, 1, 3000);
	sched_cancel(&first, running, running->seq, w.now);
	world_run_until(&w, w.now + 200); /* a hold was in flight */
	starts = w.starts;
	holds = first.count.holds;
	world_run_until(&w, w.now + 100);
	cr_assert_eq(w.starts, starts);
	cr_assert_eq(first.count.holds, holds);
	sched_suspend(&first, 0, w.now);
	world_run_until(&w, w.now + 1500);
	cr_assert_eq(waiting->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&first);
	world_finish(&w);
}

/*
 * A paused leader that claims a higher token is confirmed by that. It remained
 * suspended, with no renewal left to end it.
 */
Test(sched_life, a_raised_token_ends_a_suspension)
{
	struct world_job *job;

	world_begin(&w, &first, 9);
	sched_suspend(&first, 1, w.now);
	sched_raise_fence(&first, LEAD_TOKEN(2), w.now);
	job = world_submit(&w, "q", 3, 100, 1, 3000);
	world_run_until(&w, w.now + 1500);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	sched_finish(&first);
	world_finish(&w);
}
