/*
 * Jobs that callers submit again after an outage: their age is told by the wait
 * that is left, and they take no room from new jobs.
 */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "lead.h"
#include "world/world.h"

#define WAIT_MS 1500

static const double speeds[] = { 1 / 0.7, 1 / 0.7, 1 / 1.7 };
static struct world w;
static struct sched s;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_wait, .init = init_apr, .timeout = 60);

static void learn(struct sched_queue *q, rp_ms wait, int n)
{
	while (n-- > 0)
		sched_wait_elapsed(q, wait);
}

/* Guards against new jobs that are taken for old ones. */
Test(sched_wait, unknown_waits_are_of_first_tries)
{
	struct sched_queue q = { .name = "" };

	cr_assert_eq(sched_wait_elapsed(&q, 1500), 0);
	cr_assert_eq(sched_wait_elapsed(&q, 700), 0);
	cr_assert_eq(sched_wait_elapsed(&q, 1500), 0);
}

/* Guards against repeated jobs that are taken for new ones. */
Test(sched_wait, shorter_wait_tells_of_an_earlier_try)
{
	struct sched_queue q = { .name = "" };

	learn(&q, 1500, 20);
	cr_assert_eq(sched_wait_elapsed(&q, 1499), 0);
	cr_assert_eq(sched_wait_elapsed(&q, 400), 1100);
	cr_assert_eq(sched_wait_elapsed(&q, 2000), 0);
}

/* Guards against callers of one queue that wait less long than others. */
Test(sched_wait, callers_with_two_waits_are_new)
{
	struct sched_queue q = { .name = "" };
	int i;

	for (i = 0; i < 100; i++) {
		learn(&q, 3000, 4);
		learn(&q, 1000, 1);
	}
	cr_assert_eq(sched_wait_elapsed(&q, 1000), 0);
	cr_assert_eq(sched_wait_elapsed(&q, 3000), 0);
	cr_assert_eq(sched_wait_elapsed(&q, 800), 200);
	cr_assert_eq(sched_wait_elapsed(&q, 2500), 500);
}

static void submit_repeated(rp_ms age)
{
	struct world_job *job =
		world_submit(&w, "recheck", 2, 200, 0, WAIT_MS - age);

	job->arrived_at -= age;
}

/*
 * Share of the value of new jobs earned in the 1.5 s after a new leader has
 * started. Beside them come as many jobs again that were tried before.
 */
static double share_after_outage(int repeated, uint64_t seed)
{
	rp_ms end;
	double share;

	world_init(&w, seed, 48, speeds, 3);
	world_start_sched(&w, &s, NULL, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 100);
	for (end = w.now + 1500; w.now < end;) {
		if (repeated && world_uniform(&w) < 0.15)
			submit_repeated(300 +
					(rp_ms)(1000 * world_uniform(&w)));
		world_generate_load(&w, 1.2, 1);
	}
	world_run_until(&w, w.now + 2000);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	share = w.outcomes.value / w.outcomes.max_value;
	sched_finish(&s);
	world_finish(&w);
	return share;
}

/* Guards against an outage whose old jobs make the new ones late. */
Test(sched_wait, repeated_jobs_take_no_room_from_new_ones)
{
	double alone = 0, beside = 0;
	uint64_t seed;

	for (seed = 1; seed <= 6; seed++) {
		alone += share_after_outage(0, seed) / 6;
		beside += share_after_outage(1, seed) / 6;
	}
	cr_assert_geq(beside, 0.95 * alone, "%.3f against %.3f", beside, alone);
}
