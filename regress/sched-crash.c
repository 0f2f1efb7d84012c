/* Tasks that crash the targets that start them, and tasks beside them. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#include "lead.h"
#include "world/world.h"

static struct world w;
static struct sched scheds[6];

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_crash, .init = init_apr, .timeout = 60);

static void begin_world(size_t ntargets, int stored)
{
	world_begin(&w, &scheds[0], ntargets);
	w.stored = stored;
}

static void end_world(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(w.sched);
	world_finish(&w);
}

/* Submits a job whose first task crashes each target that starts it. */
static struct world_job *submit_deadly(int tasks)
{
	struct world_job *job = world_submit(&w, "q", tasks, 100, 1, 1500);

	/* Its starts are on their way. */
	job->deadly = 1;
	return job;
}

/* Submits some sound jobs of 4 tasks every 100 ms. */
static size_t submit_sound(struct world_job **jobs, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		jobs[i] = world_submit(&w, "q", 4, 100, 1, 1500);
		world_run_until(&w, w.now + 100);
	}
	return n;
}

/* The leader is killed; the next one reads the list and gets the jobs. */
static void change_leader(unsigned term)
{
	struct sched *prev = w.sched;

	world_drop_calls(&w, prev);
	sched_finish(prev);
	world_start_sched(&w, &scheds[term - 1], NULL, LEAD_TOKEN(term));
	world_run_until(&w, w.now + 40);
	world_resubmit(&w);
}

/* Stored jobs: each task was started until its last target had crashed. */
Test(sched_crash, a_task_that_crashes_its_targets_is_given_up)
{
	struct world_job *job;

	begin_world(8, 1);
	job = submit_deadly(3);
	world_run_until(&w, w.now + 20000);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__FAILED);
	cr_assert_leq(job->crashes, 3);
	end_world();
}

/* The next process is there at once, with another id or with the same. */
Test(sched_crash, a_task_is_given_up_though_its_targets_are_back_at_once)
{
	struct world_job *job;
	int i;

	for (i = 0; i < 2; i++) {
		begin_world(4, 1);
		w.down = 60;
		w.same_id = i;
		job = submit_deadly(3);
		world_run_until(&w, w.now + 10000);
		cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__FAILED);
		cr_assert_leq(job->crashes, 3);
		end_world();
	}
}

/* Both may be on one target when it crashes. */
Test(sched_crash, two_deadly_tasks_beside_each_other_are_given_up)
{
	struct world_job *one, *two, *sound;

	begin_world(2, 1);
	one = submit_deadly(1);
	two = submit_deadly(1);
	sound = world_submit(&w, "q", 2, 300, 1, 1500);
	world_run_until(&w, w.now + 40000);
	cr_assert_eq(one->outcome, POOL_ANSWER__OUTCOME__FAILED);
	cr_assert_eq(two->outcome, POOL_ANSWER__OUTCOME__FAILED);
	cr_assert_eq(sound->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

Test(sched_crash, several_deadly_tasks_do_not_take_all_targets)
{
	struct world_job *deadly[6], *sound[40];
	size_t i, n;

	begin_world(16, 1);
	for (i = 0; i < 6; i++) {
		deadly[i] = submit_deadly(2);
		world_run_until(&w, w.now + 100);
	}
	n = submit_sound(sound, 40);
	world_run_until(&w, w.now + 15000);
	for (i = 0; i < 6; i++)
		cr_assert_eq(deadly[i]->outcome, POOL_ANSWER__OUTCOME__FAILED);
	for (i = 0; i < n; i++)
		cr_assert_eq(sound[i]->outcome,
			     POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_leq(w.crashes, 3 * 6);
	end_world();
}

/* Each of them took another target while others needed those left. */
Test(sched_crash, deadly_tasks_wait_while_many_targets_are_down)
{
	struct world_job *deadly[6];
	size_t i;

	begin_world(12, 1);
	for (i = 0; i < 6; i++) {
		deadly[i] = submit_deadly(1);
		world_submit(&w, "q", 16, 600, 1, 1500);
		world_run_until(&w, w.now + 80);
	}
	world_run_until(&w, w.now + 2300);
	cr_assert_leq(w.crashes, 6);
	world_run_until(&w, w.now + 25000);
	for (i = 0; i < 6; i++)
		cr_assert_eq(deadly[i]->outcome, POOL_ANSWER__OUTCOME__FAILED);
	end_world();
}

/* Jobs that ran beside a deadly task must end, though their runs were lost. */
Test(sched_crash, tasks_beside_a_deadly_one_are_not_given_up)
{
	struct world_job *deadly, *beside[4];
	size_t i;

	begin_world(2, 1);
	for (i = 0; i < 4; i++)
		beside[i] = world_submit(&w, "q", 1, 800, 1, 1500);
	deadly = submit_deadly(1);
	world_run_until(&w, w.now + 25000);
	cr_assert_eq(deadly->outcome, POOL_ANSWER__OUTCOME__FAILED);
	for (i = 0; i < 4; i++)
		cr_assert_eq(beside[i]->outcome,
			     POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/* After its first crash, a task may not take other runs with it. */
Test(sched_crash, a_suspected_task_runs_alone)
{
	struct world_job *deadly, *sound[60];
	size_t i, n;
	int first;

	begin_world(6, 1);
	deadly = submit_deadly(1);
	n = submit_sound(sound, 12);
	first = (int)w.sched->count.runs_lost;
	n += submit_sound(sound + n, 48);
	world_run_until(&w, w.now + 8000);
	cr_assert_eq(deadly->outcome, POOL_ANSWER__OUTCOME__FAILED);
	for (i = 0; i < n; i++)
		cr_assert_eq(sound[i]->outcome,
			     POOL_ANSWER__OUTCOME__COMPLETED);
	/* Each of the later crashes took one run. */
	cr_assert_leq(w.sched->count.runs_lost, (uint64_t)first + 2);
	end_world();
}

Test(sched_crash, a_change_of_the_leader_does_not_forget_crashes)
{
	struct world_job *job;
	unsigned term;

	begin_world(8, 1);
	job = submit_deadly(2);
	for (term = 2; term <= 6 && !job->answered; term++) {
		world_run_until(&w, w.now + 1600);
		change_leader(term);
	}
	world_run_until(&w, w.now + 15000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__FAILED);
	cr_assert_leq(job->crashes, 4);
	end_world();
}

/* A target that is cut off twice for longer than its lease has not crashed. */
Test(sched_crash, a_target_that_was_cut_off_is_not_held_against_its_tasks)
{
	struct world_job *job;
	int i;

	begin_world(1, 1);
	job = world_submit(&w, "q", 2, 900, 1, 1500);
	for (i = 0; i < 4; i++) {
		world_run_until(&w, w.now + 300);
		w.targets[0].unresponsive = 1;
		world_run_until(&w, w.now + 1500);
		w.targets[0].unresponsive = 0;
	}
	world_run_until(&w, w.now + 6000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/*
 * The target had crashed already when the first start was sent to it. One crash
 * during the second run is no reason to give up the job.
 */
Test(sched_crash, a_start_that_was_never_there_is_not_held_against_its_task)
{
	struct world_job *job;
	uint64_t before;

	begin_world(1, 1);
	world_target_crash(&w, &w.targets[0]);
	job = world_submit(&w, "q", 1, 300, 1, 1500);
	before = w.starts;
	while (w.starts == before)
		world_run_until(&w, w.now + 1);
	world_run_until(&w, w.now + 10);
	world_target_crash(&w, &w.targets[0]);
	world_run_until(&w, w.now + 15000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/* A rack fails, and comes back, and fails again. */
Test(sched_crash, targets_that_crash_together_are_not_held_against_their_tasks)
{
	struct world_job *jobs[6];
	uint64_t starts;
	size_t i, wave;

	begin_world(8, 1);
	w.down = 1500;
	for (i = 0; i < 6; i++)
		jobs[i] = world_submit(&w, "q", 2, 900, 1, 1500);
	for (wave = 0; wave < 2; wave++) {
		starts = w.starts;
		while (w.starts < starts + 8)
			world_run_until(&w, w.now + 1);
		world_run_until(&w, w.now + 10);
		for (i = 0; i < 8; i++)
			world_target_crash(&w, &w.targets[i]);
	}
	world_run_until(&w, w.now + 10000);
	for (i = 0; i < 6; i++)
		cr_assert_eq(jobs[i]->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/* Half of the room stayed empty after a rack had failed. */
Test(sched_crash, tasks_of_targets_that_crash_together_are_not_isolated)
{
	uint64_t starts;
	size_t i, beside = 0;

	begin_world(6, 1);
	w.down = 1500;
	for (i = 0; i < 6; i++)
		world_submit(&w, "q", 2, 900, 1, 1500);
	world_run_until(&w, w.now + 20);
	for (i = 0; i < 6; i++)
		world_target_crash(&w, &w.targets[i]);
	starts = w.starts;
	while (w.starts < starts + 8)
		world_run_until(&w, w.now + 1);
	for (i = 0; i < 6; i++)
		beside += w.targets[i].nruns > 1;
	cr_assert_gt(beside, 0);
	end_world();
}

/* Tasks that waited for targets start, and crash them, at the same moment. */
Test(sched_crash, deadly_tasks_that_start_together_are_given_up)
{
	struct world_job *jobs[8];
	size_t i;

	begin_world(16, 1);
	for (i = 0; i < 8; i++)
		jobs[i] = submit_deadly(1);
	world_run_until(&w, w.now + 40000);
	for (i = 0; i < 8; i++) {
		cr_assert_eq(jobs[i]->outcome, POOL_ANSWER__OUTCOME__FAILED);
		cr_assert_leq(jobs[i]->crashes, 4);
	}
	end_world();
}

/*
 * The answer of a job that was given up is lost, and its caller submits it
 * again: it must not take more targets.
 */
Test(sched_crash, a_job_that_was_given_up_is_not_started_again)
{
	struct world_job *job;
	int crashes;

	begin_world(8, 1);
	job = submit_deadly(2);
	world_run_until(&w, w.now + 12000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__FAILED);
	crashes = job->crashes;
	job->answered = 0;
	job->sub->seq += 1000;
	sched_submit(w.sched, job, job->sub, w.now);
	world_run_until(&w, w.now + 3000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__FAILED);
	cr_assert_eq(job->crashes, crashes);
	end_world();
}

/*
 * A job that is not stored has expired when its run is given up. Its caller
 * submits it again and again.
 */
Test(sched_crash, a_resubmitted_job_does_not_crash_a_target_each_time)
{
	struct world_job *job;
	int i;

	begin_world(8, 0);
	job = submit_deadly(2);
	for (i = 0; i < 7; i++) {
		world_run_until(&w, w.now + 1800);
		cr_assert(job->answered);
		job->answered = 0;
		job->sub->seq += 1000;
		sched_submit(w.sched, job, job->sub, w.now);
		sched_dispatch(w.sched, w.now);
	}
	world_run_until(&w, w.now + 2000);
	cr_assert_leq(job->crashes, 3);
	end_world();
}

/*
 * The lease tells that the lost run cannot be made up for. The caller was told
 * at its deadline only, and the job's other runs went on.
 */
Test(sched_crash, a_job_that_a_crash_makes_hopeless_is_answered_at_once)
{
	struct world_job *job;
	size_t i;

	begin_world(2, 0);
	job = world_submit(&w, "q", 2, 600, 1, 1500);
	world_run_until(&w, w.now + 50);
	i = w.targets[0].nruns ? 0 : 1;
	world_target_crash(&w, &w.targets[i]);
	world_run_until(&w, w.now + 700);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__INCOMPLETE);
	end_world();
}

Test(sched_crash, a_job_that_can_be_made_up_for_is_not_given_up)
{
	struct world_job *job;

	begin_world(4, 0);
	job = world_submit(&w, "q", 1, 700, 1, 6000);
	world_run_until(&w, w.now + 50);
	world_target_crash(&w, &w.targets[w.targets[0].nruns   ? 0
					  : w.targets[1].nruns ? 1
					  : w.targets[2].nruns ? 2
							       : 3]);
	world_run_until(&w, w.now + 4000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/*
 * A start is sent again as it has no reply. The first copy was received, and
 * its run has ended by then, so that the target refuses the other as old.
 */
Test(sched_crash, a_run_that_has_ended_is_not_started_again)
{
	struct sched_target_reply reply = { .reason = "old" };
	struct world_job *job;
	struct sched_target *t;
	struct sched_task *task;
	char name[SCHED_TASK_NAME_MAX];

	begin_world(1, 1);
	w.targets[0].lose_percent = 100;
	job = world_submit(&w, "q", 1, 20, 1, 1500);
	task = &w.sched->jobs->tasks[0];
	t = task->target;
	cr_assert_not_null(t);
	snprintf(name, sizeof(name), "%s", task->name);
	world_run_until(&w, w.now + 40);
	cr_assert_eq(w.targets[0].nends, 1);
	reply.status = SCHED_REPLY_UNCERTAIN;
	reply.sent_at = w.now - 1;
	reply.clock = w.now;
	sched_start_reply(w.sched, t, name, 1, &reply, w.now);
	w.targets[0].lose_percent = 0;
	world_run_until(&w, w.now + 1500);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 1);
	end_world();
}

/*
 * The leader is killed after each failed run, before the store or the target
 * knows that it has seen the end, or after the store does. Each run counts
 * once.
 */
Test(sched_crash, failed_runs_count_over_changes_of_the_leader)
{
	struct world_job *job;
	unsigned term;
	int i;

	for (i = 0; i < 2; i++) {
		begin_world(1, 1);
		w.targets[0].fail_percent = 100;
		w.lose_messages = i == 0;
		job = world_submit(&w, "q", 1, 100, 1, 1500);
		for (term = 2; term <= 5 && !job->answered; term++) {
			world_run_until(&w, w.now + 160);
			change_leader(term);
		}
		w.lose_messages = 0;
		world_run_until(&w, w.now + 1000);
		if (!job->answered) {
			change_leader(6);
			world_run_until(&w, w.now + 3000);
		}
		cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__FAILED);
		cr_assert_eq(w.starts, 3);
		end_world();
	}
}

/*
 * Guards against an accepted job that is shown as failed though none of its
 * runs has failed: the targets that run its task crash one after the other,
 * each time after the run has made progress.
 */
Test(sched_crash, crashes_of_other_causes_are_not_held_against_a_long_task)
{
	struct world_job *job;
	size_t i, crashes = 0;

	begin_world(6, 1);
	job = world_submit(&w, "q", 1, 3000, 1, 60000);
	while (crashes < 6) {
		world_run_until(&w, w.now + 1200);
		for (i = 0; i < w.ntargets; i++) {
			if (!w.targets[i].nruns)
				continue;
			world_target_crash(&w, &w.targets[i]);
			crashes++;
		}
		cr_assert(!job->answered);
	}
	world_run_until(&w, w.now + 20000);
	cr_assert(job->answered);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}
