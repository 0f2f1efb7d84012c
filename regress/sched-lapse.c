/*
 * A provisional leader of a domain that is cut off, beside the regular leader,
 * which counts its runs there as void once its lease is over. A run that has
 * succeeded is void only if the lease lapses before its end is acknowledged.
 */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "lead.h"
#include "world/world.h"

static struct world w;
static struct sched regular, provisional;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_lapse, .init = init_apr, .timeout = 60);

/*
 * Target 0 is cut off from the regular leader while it runs a task of a stored
 * job, which the provisional leader there does not know.
 */
static void cut_off_with_a_stored_run(rp_ms work)
{
	world_begin(&w, &regular, 2);
	w.lapses_count = 1;
	w.task_cpu = 1000;
	sched_target_unlisted(&regular, w.targets[1].listing.id, w.now);
	w.stored = 1;
	world_submit(&w, "q", 1, (double)work, 1, 60000);
	w.stored = 0;
	world_run_until(&w, w.now + 50);
	cr_assert_eq(w.targets[0].nruns, 1);
	w.targets[0].cut_off = &regular;
	w.targets[1].cut_off = &provisional;
	sched_target_listed(&regular, &w.targets[1].listing, w.now);
	world_start_sched(&w, &provisional, NULL, LEAD_TOKEN(1) | 7);
	provisional.stored_jobs_loaded = 0;
	sched_target_unlisted(&provisional, w.targets[1].listing.id, w.now);
}

/* Advances by span ms, while both lead. */
static void run_both(rp_ms span)
{
	rp_ms until = w.now + span;

	while (w.now < until) {
		world_run_until(&w, w.now + 1);
		if (w.now % SCHED_TICK_MS == 0)
			sched_tick(&regular, w.now);
	}
}

static void heal(void)
{
	w.targets[0].cut_off = NULL;
	w.sched = &regular;
	sched_raise_fence(&regular, LEAD_TOKEN(2), w.now);
}

static void end_world(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&regular);
	sched_finish(&provisional);
	world_finish(&w);
}

/*
 * Guards against a task that is started again though it was done: the
 * provisional leader's start prolonged the lease of the whole target.
 */
Test(sched_lapse, a_start_does_not_prolong_the_lease_of_ends)
{
	struct world_job *local;
	rp_ms began;

	cut_off_with_a_stored_run(400);
	began = w.now;
	while (!w.targets[0].nends)
		run_both(1);
	local = world_submit(&w, "q", 1, 700, 1, 5000);
	while (!local->started && w.now < began + 3000)
		run_both(1);
	/* As soon as the lease of the regular leader has certainly ended. */
	cr_assert_leq(w.now, began + 1100);
	run_both(1000);
	heal();
	run_both(1500);
	cr_assert_eq(local->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(regular.count.completed, 1);
	end_world();
}

/* The same by a renewal for a run that the provisional leader has adopted. */
Test(sched_lapse, a_renewal_does_not_prolong_the_lease_of_ends)
{
	struct world_job *adopted;

	world_begin(&w, &regular, 1);
	w.lapses_count = 1;
	w.task_cpu = 1000;
	adopted = world_submit(&w, "q", 1, 900, 1, 5000);
	w.stored = 1;
	world_submit(&w, "q", 1, 300, 1, 60000);
	world_run_until(&w, w.now + 50);
	cr_assert_eq(w.targets[0].nruns, 2);
	w.targets[0].cut_off = &regular;
	world_start_sched(&w, &provisional, NULL, LEAD_TOKEN(1) | 7);
	provisional.stored_jobs_loaded = 0;
	adopted->sub->former = LEAD_TOKEN(1);
	w.stored = 0;
	world_submit_job(&w, adopted);
	while (!w.targets[0].nends)
		run_both(1);
	cr_assert_eq(provisional.count.adopted, 1);
	run_both(1100);
	cr_assert(w.targets[0].ends[0].lapsed);
	run_both(2000);
	cr_assert_eq(adopted->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end_world();
}

/* Guards against a domain that waits though no stored job can be concerned. */
Test(sched_lapse, ends_of_known_jobs_delay_no_start)
{
	struct world_job *local;
	rp_ms ended;

	cut_off_with_a_stored_run(200);
	sched_stored_jobs_loaded(&provisional);
	while (!w.targets[0].nends)
		run_both(1);
	ended = w.now;
	local = world_submit(&w, "q", 1, 100, 1, 5000);
	while (!local->started && w.now < ended + 1000)
		run_both(1);
	cr_assert_leq(w.now, ended + 100);
	sched_finish(&regular);
	sched_finish(&provisional);
	world_finish(&w);
}
