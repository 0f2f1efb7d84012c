/*
 * Starts that wait for an acknowledgement of the entry VM that owns their job,
 * where callers state deadlines far beyond their objectives.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#include "lead.h"
#include "world/world.h"

/* Share of the short jobs of a moderate load that are on time, as in
 * sched-load.
 */
#define SHARE_MIN 0.95

static struct world w;
static struct sched s;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_owner_wait, .init = init_apr, .timeout = 60);

/* Deadlines of 20 s, six failure domains, acknowledgements after 15 ms. */
static void begin_world(uint64_t seed)
{
	static const double speeds[] = { 0.6, 1.0, 1.6 };
	size_t i;

	world_init(&w, seed, 48, speeds, 3);
	w.load_deadline = 20000;
	w.ack_delay = 15;
	for (i = 0; i < w.ntargets; i++)
		snprintf(w.targets[i].listing.failure_domain, RP_NAME_MAX, "%c",
			 'a' + (int)(i % 6));
	world_start_sched(&w, &s, NULL, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 100);
}

static double share_on_time(const char *queue)
{
	size_t i, n = 0, on_time = 0;

	for (i = 0; i < w.njobs; i++) {
		if (strcmp(w.jobs[i]->sub->queue, queue) != 0)
			continue;
		n++;
		on_time += w.jobs[i]->on_time &&
			   w.jobs[i]->outcome ==
				   POOL_ANSWER__OUTCOME__COMPLETED;
	}
	return (double)on_time / (double)n;
}

static void check_load(int owners_start)
{
	const struct sched_queue *q;
	double share;

	begin_world(1);
	w.owners_start = owners_start;
	world_generate_load(&w, 0.63, 10000);
	world_run_until(&w, w.now + 4000);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	share = share_on_time("remind");
	cr_expect_geq(share, SHARE_MIN, "%.3f", share);
	q = sched_get_queue(&s, "remind", 60);
	cr_expect_gt(q->nended, 100);
	cr_expect_eq(q->delays[SCHED_DELAY_OWNER], 0, "%lld ms",
		     (long long)q->delays[SCHED_DELAY_OWNER]);
	sched_finish(&s);
	world_finish(&w);
}

/* Callers of short jobs got late answers: each start waited for 15 ms. */
Test(sched_owner_wait, short_jobs_with_long_deadlines_are_late)
{
	check_load(0);
}

/* The same where owners pass the starts on. */
Test(sched_owner_wait, short_jobs_that_owners_start_are_late)
{
	check_load(1);
}

/* A wide job waited for each failure domain in turn. */
Test(sched_owner_wait, a_wide_job_waits_for_each_failure_domain)
{
	begin_world(2);
	world_submit(&w, "q", 30, 60, 1, 20000);
	world_run_until(&w, w.now + 2);
	cr_expect_eq(s.count.starts, 30, "%llu starts",
		     (unsigned long long)s.count.starts);
	world_run_until(&w, w.now + 1000);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&s);
	world_finish(&w);
}
