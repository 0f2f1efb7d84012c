/*
 * Calls to targets that get no reply and are carried out seconds later. The
 * lease in them may count from then on.
 */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "lead.h"
#include "world/world.h"

static struct world w;
static struct sched first, second;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_late, .init = init_apr, .timeout = 60);

static void begin_world(size_t ntargets)
{
	world_begin(&w, &first, ntargets);
	w.late_leases = 1;
	w.stored = 1;
	w.task_cpu = 9000;
}

static void end_world(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(w.sched);
	world_finish(&w);
}

/* Calls of the kind are carried out ms late; 0: at once, with a reply. */
static void delay_calls(struct world_target *t, int kind, rp_ms ms)
{
	t->late[kind] = (struct world_late){ ms ? 100 : 0, ms, ms, 0 };
}

static void delay_all_calls(struct world_target *t, rp_ms ms)
{
	int kind;

	for (kind = 0; kind < WORLD_CALLS; kind++)
		delay_calls(t, kind, ms);
}

/* Whether a job may be started on the target. */
static void set_usable(struct world_target *t, int usable)
{
	t->listing.ready = usable;
	sched_target_listed(w.sched, &t->listing, w.now);
}

/*
 * Starts a task on target 0, with no reply to its start; nor is there one to
 * other calls until its lease is over.
 */
static struct world_job *start_late(rp_ms work, rp_ms start, rp_ms stop)
{
	struct world_target *t = &w.targets[0];
	struct world_job *job;
	size_t i;

	for (i = 1; i < w.ntargets; i++)
		set_usable(&w.targets[i], 0);
	delay_calls(t, WORLD_START, start);
	delay_calls(t, WORLD_STOP, stop);
	delay_calls(t, WORLD_HOLD, stop);
	job = world_submit(&w, "q", 1, (double)work, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(first.count.starts, 1);
	for (i = 1; i < w.ntargets; i++)
		set_usable(&w.targets[i], 1);
	return job;
}

/*
 * The room of a run was given to others when its lease was over, though its
 * start was carried out later, and the stop later still.
 */
Test(sched_late, a_start_and_its_stop_are_late)
{
	begin_world(1);
	start_late(3000, 3000, 6000);
	world_run_until(&w, w.now + 1500);
	delay_all_calls(&w.targets[0], 0);
	world_submit(&w, "q", 1, 6000, 1, 60000);
	world_run_until(&w, w.now + 15000);
	end_world();
}

/* The task was started elsewhere when the lease was over. */
Test(sched_late, a_task_runs_elsewhere_as_its_start_is_late)
{
	begin_world(12);
	start_late(6000, 3000, 6000);
	world_run_until(&w, w.now + 15000);
	end_world();
}

/* The same as the stop gets no reply, and holds do. */
Test(sched_late, only_stops_get_no_reply)
{
	struct world_target *t = &w.targets[0];

	begin_world(12);
	start_late(6000, 3000, 6000);
	delay_calls(t, WORLD_HOLD, 0);
	delay_calls(t, WORLD_STOP, 9000);
	world_run_until(&w, w.now + 8000);
	delay_all_calls(t, 0);
	world_run_until(&w, w.now + 15000);
	end_world();
}

/*
 * Holds are late for a while, then the target cannot be reached. Its runs have
 * a lease of the late ones. copied: a copy of each late hold has a reply.
 */
static void run_late_holds(int copied)
{
	struct world_target *t = &w.targets[0];
	size_t i;

	begin_world(12);
	for (i = 1; i < w.ntargets; i++)
		set_usable(&w.targets[i], 0);
	world_submit(&w, "q", 1, 9000, 1, 60000);
	world_run_until(&w, w.now + 500);
	cr_assert_eq(t->nruns, 1);
	for (i = 1; i < w.ntargets; i++)
		set_usable(&w.targets[i], 1);
	delay_calls(t, WORLD_HOLD, 2000);
	t->late[WORLD_HOLD].copied = copied;
	world_run_until(&w, w.now + 300);
	delay_calls(t, WORLD_HOLD, 0);
	world_run_until(&w, w.now + 1000);
	t->unresponsive = 1;
	world_run_until(&w, w.now + 4000);
	t->unresponsive = 0;
	world_run_until(&w, w.now + 15000);
	end_world();
}

/* Runs were taken for over that a late hold had prolonged. */
Test(sched_late, a_hold_is_late)
{
	run_late_holds(0);
}

/* The reply to a copy hid that the hold had none. */
Test(sched_late, a_hold_is_late_and_a_copy_of_it_is_replied_to)
{
	run_late_holds(1);
}

/*
 * Holds of target 0 are late, and it is cut off before it replies to one. Those
 * of target 1 are late as well, and it replies to later ones. Guards against a
 * task that is started elsewhere as soon as its lease is over, while a late
 * hold goes on prolonging its run. Jobs of a second or two were over by then.
 */
Test(sched_late, a_hold_is_late_and_none_is_replied_to)
{
	size_t i;

	begin_world(12);
	for (i = 2; i < w.ntargets; i++)
		set_usable(&w.targets[i], 0);
	w.stored = 0;
	world_submit(&w, "q", 1, 4000, 1, 12000);
	world_submit(&w, "q", 1, 4000, 1, 12000);
	world_run_until(&w, w.now + 500);
	cr_assert_eq(w.targets[0].nruns, 1);
	cr_assert_eq(w.targets[1].nruns, 1);
	for (i = 2; i < w.ntargets; i++)
		set_usable(&w.targets[i], 1);
	delay_calls(&w.targets[0], WORLD_HOLD, 600);
	delay_calls(&w.targets[1], WORLD_HOLD, 600);
	world_run_until(&w, w.now + 400);
	delay_calls(&w.targets[1], WORLD_HOLD, 0);
	w.targets[0].unresponsive = 1;
	world_run_until(&w, w.now + 3000);
	w.targets[0].unresponsive = 0;
	delay_calls(&w.targets[0], WORLD_HOLD, 0);
	world_run_until(&w, w.now + 15000);
	end_world();
}

/* The previous leader's start is carried out on a target of its successor. */
Test(sched_late, a_start_is_late_and_the_leader_changes)
{
	begin_world(1);
	start_late(3000, 3000, 6000);
	world_run_until(&w, w.now + 200);
	sched_finish(&first);
	world_drop_calls(&w, &first);
	delay_all_calls(&w.targets[0], 0);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	world_resubmit(&w);
	world_submit(&w, "q", 1, 6000, 1, 60000);
	world_run_until(&w, w.now + 15000);
	end_world();
}

/* The entry of the target lapses in the list, and comes back. */
Test(sched_late, the_target_is_removed_and_listed_anew)
{
	struct world_target *t = &w.targets[0];

	begin_world(1);
	start_late(3000, 4000, 8000);
	sched_target_unlisted(&first, t->listing.id, w.now);
	world_run_until(&w, w.now + 2500);
	delay_all_calls(t, 0);
	sched_target_listed(&first, &t->listing, w.now);
	world_submit(&w, "q", 1, 6000, 1, 60000);
	world_run_until(&w, w.now + 15000);
	end_world();
}

/*
 * A start to an incarnation that has ended has no effect, so its room is free
 * and the task runs again.
 */
Test(sched_late, another_incarnation_of_the_target_replies)
{
	struct world_target *t = &w.targets[0];
	struct world_job *job;

	begin_world(1);
	job = start_late(300, 9000, 9000);
	world_run_until(&w, w.now + 100);
	world_target_restart(&w, t);
	delay_all_calls(t, 0);
	sched_target_listed(&first, &t->listing, w.now);
	world_run_until(&w, w.now + 2500);
	cr_assert(job->answered);
	world_run_until(&w, w.now + 12000);
	end_world();
}

/* A target whose calls are all late is used again once it replies. */
Test(sched_late, a_stop_that_is_acknowledged_frees_the_room)
{
	struct world_job *job, *other;

	begin_world(1);
	job = start_late(300, 9000, 9000);
	world_run_until(&w, w.now + 1500);
	delay_all_calls(&w.targets[0], 0);
	other = world_submit(&w, "q", 1, 300, 1, 60000);
	world_run_until(&w, w.now + 2500);
	cr_assert(job->answered && other->answered);
	world_run_until(&w, w.now + 12000);
	end_world();
}

/* A share of all calls to all targets is late, under a load of short jobs. */
static void run_load(uint64_t seed, int percent)
{
	static const double speeds[] = { 1.0, 1.3, 0.8 };
	size_t i;
	int kind;

	world_init(&w, seed, 12, speeds, 3);
	world_start_sched(&w, &first, NULL, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 50);
	w.late_leases = 1;
	for (i = 0; i < w.ntargets; i++)
		for (kind = 0; kind < WORLD_CALLS; kind++)
			w.targets[i].late[kind] =
				(struct world_late){ percent, 2000, 12000, 0 };
	world_generate_load(&w, 0.7, 12000);
	for (i = 0; i < w.ntargets; i++)
		delay_all_calls(&w.targets[i], 0);
	world_generate_load(&w, 0.7, 13000);
	end_world();
}

Test(sched_late, half_of_all_calls)
{
	uint64_t seed;

	for (seed = 1; seed <= 6; seed++)
		run_load(seed, 50);
}

Test(sched_late, a_fifth_of_all_calls)
{
	uint64_t seed;

	for (seed = 1; seed <= 6; seed++)
		run_load(seed, 20);
}
