/* Targets that leave at short notice: which runs are moved, and when. */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "lead.h"
#include "world/world.h"

static struct world w;
static struct sched s;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_leave, .init = init_apr, .timeout = 60);

static void drain(size_t i, rp_ms stays)
{
	w.targets[i].listing.ready = 0;
	w.targets[i].listing.stays = stays;
	sched_target_listed(&s, &w.targets[i].listing, w.now);
}

static void end(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&s);
	world_finish(&w);
}

/* Guards against a run that is lost with its target, too late to repeat it. */
Test(sched_leave, a_run_that_cannot_end_there_is_moved)
{
	struct world_job *job;
	size_t i, at = 0;

	world_begin(&w, &s, 4);
	job = world_submit(&w, "q", 1, 700, 1, 1500);
	world_run_until(&w, w.now + 100);
	for (i = 0; i < 4; i++)
		if (w.targets[i].nruns)
			at = i;
	drain(at, 300);
	world_run_until(&w, w.now + 300);
	w.targets[at].unresponsive = 1;
	world_run_until(&w, w.now + 1200);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(s.count.leave_moves, 1);
	end();
}

/*
 * Guards against a run that stays because its task counts as short by its
 * estimate, and could be repeated once it is lost.
 */
Test(sched_leave, a_run_that_is_longer_than_estimated_is_moved_in_time)
{
	struct world_job *job;
	size_t i, at = 0;

	world_begin(&w, &s, 4);
	world_submit(&w, "q", 4, 300, 1, 3000);
	world_run_until(&w, w.now + 1000);
	job = world_submit(&w, "q", 1, 300, 1, 3000);
	job->task_work[0] = 2000;
	world_run_until(&w, w.now + 180);
	for (i = 0; i < 4; i++)
		if (w.targets[i].nruns)
			at = i;
	drain(at, 150);
	world_run_until(&w, w.now + 150);
	w.targets[at].unresponsive = 1;
	world_run_until(&w, w.now + 2700);
	cr_assert_eq(s.count.leave_moves, 1);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end();
}

/* Guards against work thrown away for a target that stays long enough. */
Test(sched_leave, a_run_that_ends_in_time_stays)
{
	struct world_job *job;
	size_t i;

	world_begin(&w, &s, 4);
	job = world_submit(&w, "q", 4, 300, 1, 1500);
	world_run_until(&w, w.now + 100);
	for (i = 0; i < 4; i++)
		drain(i, 1200);
	world_run_until(&w, w.now + 1000);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(s.count.leave_moves, 0);
	end();
}

/* Guards against a target without a valid time, which is left alone. */
Test(sched_leave, without_a_time_nothing_is_moved)
{
	size_t i;

	world_begin(&w, &s, 4);
	world_submit(&w, "q", 4, 700, 1, 1500);
	world_run_until(&w, w.now + 100);
	for (i = 0; i < 2; i++)
		drain(i, 0);
	world_run_until(&w, w.now + 1300);
	cr_assert_eq(s.count.leave_moves, 0);
	end();
}

/* Guards against admission that counts on the target until it is gone. */
Test(sched_leave, admission_loses_the_room_at_the_notice)
{
	const struct sched_service *totals;
	double before;

	world_begin(&w, &s, 4);
	totals = sched_service_totals(&s, sched_get_service(&s, "svc"));
	before = totals->total_cpu;
	drain(0, 2000);
	world_run_until(&w, w.now + 10);
	totals = sched_service_totals(&s, sched_get_service(&s, "svc"));
	cr_assert_eq(totals->total_cpu,
		     before - (double)w.targets[0].listing.capacity.cpu);
	world_submit(&w, "q", 4, 200, 1, 1500);
	world_run_until(&w, w.now + 50);
	cr_assert_eq(w.targets[0].nruns, 0);
	world_run_until(&w, w.now + 1000);
	end();
}

/*
 * Under load, 7 of 48 targets leave 500 ms after their notice, four times.
 * Returns the share of the long jobs that were completed.
 */
static double run_with_leavers(const struct sched_policies *names,
			       uint64_t seed)
{
	static const double speeds[] = { 1.0 };
	size_t i, n = 0, completed = 0, round;

	world_init(&w, seed, 48, speeds, 1);
	world_start_sched(&w, &s, names, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 100);
	for (round = 0; round < 4; round++) {
		world_generate_load(&w, 0.6, 2000);
		for (i = 0; i < 7; i++)
			drain(round * 7 + i, 500);
		world_generate_load(&w, 0.6, 500);
		for (i = 0; i < 7; i++)
			w.targets[round * 7 + i].unresponsive = 1;
		world_generate_load(&w, 0.6, 500);
		for (i = 0; i < 7; i++)
			sched_target_unlisted(
				&s, w.targets[round * 7 + i].listing.id, w.now);
	}
	world_run_until(&w, w.now + 2000);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	for (i = 0; i < w.njobs; i++) {
		if (w.jobs[i]->sub->queue[0] != 'd')
			continue;
		n++;
		completed += w.jobs[i]->answered &&
			     w.jobs[i]->outcome ==
				     POOL_ANSWER__OUTCOME__COMPLETED;
	}
	sched_finish(&s);
	world_finish(&w);
	return (double)completed / (double)n;
}

Test(sched_leave, moves_beat_losses_when_many_targets_leave)
{
	const struct sched_policies none = { .leave = "none" };
	double base = 0, share = 0;
	uint64_t seed;

	for (seed = 1; seed <= 4; seed++) {
		base += run_with_leavers(&none, seed) / 4;
		share += run_with_leavers(NULL, seed) / 4;
	}
	cr_assert_geq(share, base + 0.01, "%.3f against %.3f", share, base);
}
