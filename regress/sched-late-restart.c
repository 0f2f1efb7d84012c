/* A start that was sent twice, to a target that restarts under its id. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>

#include "world/world.h"

static struct world w;
static struct sched first;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_late_restart, .init = init_apr, .timeout = 60);

/*
 * Starts a task of which one copy of the start has a reply, and the other is
 * carried out ms later.
 */
static struct world_job *start_twice(rp_ms ms)
{
	struct world_target *t = &w.targets[0];
	struct world_job *job;

	world_begin(&w, &first, 1);
	w.keep_late = w.new_clocks = 1;
	t->clock_start = -500000;
	world_run_until(&w, w.now + 25000); /* idle clocks are read again */
	w.task_cpu = 6000;
	t->late[WORLD_START] = (struct world_late){ 100, ms, ms, 1 };
	job = world_submit(&w, "q", 1, 20000, 1, 60000);
	world_run_until(&w, w.now + 20);
	t->late[WORLD_START].percent = 0;
	cr_assert_eq(t->nruns, 1);
	world_run_until(&w, w.now + 100);
	return job;
}

/* The target has room for two tasks of these. */
static void submit_more(void)
{
	world_submit(&w, "q", 4, 4000, 1, 60000);
}

static void end_world(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&first);
	world_finish(&w);
}

/*
 * Guards against a target that gets more than it has room for. One copy of a
 * start had a reply, and its run ended with the restart; the other copy reached
 * the next incarnation, which had no record of the run and had been given other
 * tasks (sched-orders, seed 276 with deadlines of 0.1 to 40 s, KEEP_LATE=1).
 */
Test(sched_late_restart, another_copy_of_a_start_arrives)
{
	struct world_target *t = &w.targets[0];

	start_twice(1600);
	world_target_restart(&w, t);
	sched_target_listed(&first, &t->listing, w.now);
	submit_more();
	world_run_until(&w, w.now + 40000);
	end_world();
}

/*
 * Guards against the same if the reply of the incarnation before to a stop
 * counts as one of the next, which has no record of the stop.
 */
Test(sched_late_restart, a_reply_to_a_stop_of_before_arrives)
{
	struct world_target *t = &w.targets[0];
	struct sched_target_reply reply = { .status = SCHED_REPLY_OK,
					    .reason = "" };
	struct world_job *job = start_twice(1600);
	char name[SCHED_TASK_NAME_MAX];

	snprintf(name, sizeof(name), "%s", t->runs[0].task);
	t->unresponsive = 1; /* its reply comes after the restart */
	sched_cancel(&first, job, job->seq, w.now);
	reply.sent_at = w.now;
	world_run_until(&w, w.now + 40);
	world_target_restart(&w, t);
	t->unresponsive = 0;
	sched_target_listed(&first, &t->listing, w.now);
	sched_stop_reply(&first, first.targets[0], name, 1, &reply, w.now);
	world_run_until(&w, w.now + 200);
	submit_more();
	world_run_until(&w, w.now + 3000);
	end_world();
}

/* The same if the stop had its reply, and the lease is over before a list. */
Test(sched_late_restart, a_run_was_stopped_before_the_restart)
{
	struct world_target *t = &w.targets[0];
	struct world_job *job = start_twice(3000);

	t->list_delay = 100; /* a list does not show the end before */
	sched_cancel(&first, job, job->seq, w.now);
	world_run_until(&w, w.now + 50);
	cr_assert_eq(t->nruns, 0);
	world_target_restart(&w, t);
	sched_target_listed(&first, &t->listing, w.now);
	t->unresponsive = 1;
	world_run_until(&w, w.now + 1500);
	t->unresponsive = 0;
	world_run_until(&w, w.now + 1200);
	submit_more();
	world_run_until(&w, w.now + 3000);
	end_world();
}

/* The same if the run was not stopped. */
Test(sched_late_restart, a_lease_is_over_before_the_next_incarnation_replies)
{
	struct world_target *t = &w.targets[0];

	start_twice(3000);
	world_target_restart(&w, t);
	sched_target_listed(&first, &t->listing, w.now);
	t->unresponsive = 1;
	world_run_until(&w, w.now + 1500);
	t->unresponsive = 0;
	world_run_until(&w, w.now + 1200);
	submit_more();
	world_run_until(&w, w.now + 3000);
	end_world();
}

/*
 * Guards against a task that runs twice, and a target that gets more than it
 * has room for. The only copy of a start had no reply, and its stop had one;
 * the next incarnation had no record of the stop, and carried the start out
 * (sched-orders, seed 2833 with ONCE=1 PARTS=15, an agent that was frozen with
 * the start).
 */
Test(sched_late_restart, a_start_arrives_that_was_stopped_before)
{
	struct world_target *t = &w.targets[0];

	world_begin(&w, &first, 2);
	w.keep_late = w.new_clocks = 1;
	t->clock_start = -500000;
	world_run_until(&w, w.now + 25000); /* idle clocks are read again */
	w.task_cpu = 6000;
	t->late[WORLD_START] = (struct world_late){ 100, 2000, 2000, 0 };
	world_submit(&w, "q", 1, 20000, 1, 60000);
	world_run_until(&w, w.now + 20);
	t->late[WORLD_START].percent = 0;
	while (!first.count.retries)
		world_run_until(&w, w.now + 1);
	world_target_restart(&w, t);
	sched_target_listed(&first, &t->listing, w.now);
	world_run_until(&w, w.now + 4000);
	cr_assert_eq(first.count.starts, 2);
	end_world();
}
