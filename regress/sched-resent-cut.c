/*
 * A caller submits its job again at another entry VM, as the first one is cut
 * off with its failure domain. The first has submitted the job to a provisional
 * leader of its domain, which goes on with the run.
 */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "lead.h"
#include "world/world.h"

static struct world w;
static struct sched outside, inside;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_resent_cut, .init = init_apr, .timeout = 60);

static void run(rp_ms ms)
{
	rp_ms until = w.now + ms;

	while (w.now < until) {
		world_step(&w);
		if (w.now % SCHED_TICK_MS)
			continue;
		sched_tick(&outside, w.now);
		if (inside.pool)
			sched_tick(&inside, w.now);
	}
}

/* Submits the job as an owner that the scheduler does not know yet. */
static void submit(struct sched *s, struct world_job *job, uint64_t former,
		   rp_ms left)
{
	job->sub->seq += 1000;
	job->sub->former = former;
	job->sub->left_ms = (uint32_t)left;
	sched_submit(s, job, job->sub, w.now);
	sched_dispatch(s, w.now);
}

/* The run goes on inside until its caller's time is over. */
Test(sched_resent_cut, the_provisional_leader_goes_on_with_the_run)
{
	struct world_target *cut = NULL;
	struct world_job *job;
	size_t i;

	world_begin(&w, &outside, 6);
	w.several = 1;
	job = world_submit(&w, "q", 1, 2500, 1, 3000);
	run(100);
	for (i = 0; i < 6; i++)
		if (w.targets[i].nruns)
			cut = &w.targets[i];
	cr_assert_not_null(cut);
	cut->cut_off = &outside;
	run(600);
	sched_init(&inside, outside.ops, &w, NULL, LEAD_TOKEN(1) | 7,
		   WORLD_LEASE_MS, w.now);
	sched_target_listed(&inside, &cut->listing, w.now);
	sched_targets_cached(&inside);
	sched_stored_jobs_loaded(&inside);
	submit(&inside, job, LEAD_TOKEN(1), 2300);
	run(150);
	sched_owner_lost(&outside, job, w.now);
	run(600);
	cr_assert_eq(cut->nruns, 1);
	job->resent = 1;
	submit(&outside, job, 0, 3000);
	run(3000);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&outside);
	sched_finish(&inside);
	world_finish(&w);
}
