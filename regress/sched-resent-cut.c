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

/*
 * Submits a job outside, and to a leader inside a cut that its target is in.
 * Returns the job after 850 ms.
 */
static struct world_job *cut_off(double work, rp_ms deadline)
{
	struct world_target *cut = NULL;
	struct world_job *job;
	size_t i;

	world_begin(&w, &outside, 6);
	w.several = 1;
	job = world_submit(&w, "q", 1, work, 1, deadline);
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
	submit(&inside, job, LEAD_TOKEN(1), deadline - 700);
	run(150);
	cr_assert_eq(cut->nruns, 1);
	job->resent = 1;
	return job;
}

static void end_world(rp_ms ms)
{
	run(ms);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&outside);
	sched_finish(&inside);
	world_finish(&w);
}

/* The run goes on inside until its caller's time is over. */
Test(sched_resent_cut, the_provisional_leader_goes_on_with_the_run)
{
	struct world_job *job = cut_off(2500, 3000);

	sched_owner_lost(&outside, job, w.now);
	run(600);
	submit(&outside, job, 0, 3000);
	end_world(3000);
}

/* As above, with the second submission before the first owner is lost. */
Test(sched_resent_cut, the_job_is_sent_again_before_its_owner_is_lost)
{
	struct world_job *job = cut_off(2500, 3000), other = *job;

	submit(&outside, &other, 0, 3000);
	sched_owner_lost(&outside, job, w.now);
	end_world(3600);
}

/* A third submission knows what the second one waited for. */
Test(sched_resent_cut, the_second_submission_is_cancelled)
{
	struct world_job *job = cut_off(5000, 6000);

	sched_owner_lost(&outside, job, w.now);
	run(600);
	submit(&outside, job, LEAD_TOKEN(1) | 7, 6000);
	sched_cancel(&outside, job, job->sub->seq, w.now);
	run(100);
	submit(&outside, job, 0, 6000);
	end_world(6000);
}
