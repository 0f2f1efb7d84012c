/*
 * Queues that compete for too little room: who is served under a burst, and
 * that none starves.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <string.h>

#include "lead.h"
#include "world/world.h"

static const double speeds[] = { 1.0 };
static struct world w;
static struct sched s;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_share, .init = init_apr, .timeout = 120);

struct share {
	double value;				   /* earned, of all */
	double short_jobs, medium_jobs, long_jobs; /* completed, of each */
};

static double completed_share(char queue)
{
	size_t i, n = 0, completed = 0;

	for (i = 0; i < w.njobs; i++) {
		/* "remind", "digest" and "recheck" differ here. */
		if (w.jobs[i]->sub->queue[2] != queue)
			continue;
		n++;
		completed += w.jobs[i]->answered &&
			     w.jobs[i]->outcome ==
				     POOL_ANSWER__OUTCOME__COMPLETED;
	}
	return n ? (double)completed / (double)n : 1;
}

/* Overload of factor load, in which the short jobs have the first priority. */
static struct share run(const struct sched_policies *names, double load)
{
	struct share sum = { 0, 0, 0, 0 };
	uint64_t seed;

	for (seed = 1; seed <= 4; seed++) {
		world_init(&w, seed, 48, speeds, 1);
		w.task_cpu = 8000;
		w.priorities = 1;
		world_start_sched(&w, &s, names, LEAD_TOKEN(1));
		world_run_until(&w, w.now + 100);
		world_generate_load(&w, load, 15000);
		world_run_until(&w, w.now + 2000);
		cr_assert_eq(w.violations, 0, "%s", w.first_violation);
		sum.value += w.outcomes.value / w.outcomes.max_value / 4;
		sum.short_jobs += completed_share('m') / 4;
		sum.long_jobs += completed_share('g') / 4;
		sum.medium_jobs += completed_share('c') / 4;
		sched_finish(&s);
		world_finish(&w);
	}
	return sum;
}

/* Guards against urgent jobs that wait behind others. */
Test(sched_share, the_first_priority_is_served_under_overload)
{
	const struct sched_policies base = { .order = "latest-start",
					     .admit = "on-time" };
	struct share before = run(&base, 1.6), after = run(NULL, 1.6);

	cr_assert_geq(after.short_jobs, 0.85, "%.3f", after.short_jobs);
	cr_assert_geq(after.value, before.value + 0.01, "%.3f against %.3f",
		      after.value, before.value);
}

/* Guards against a queue that starves, in heavy overload as well. */
Test(sched_share, no_queue_is_served_less_than_half_as_often_as_all)
{
	struct share r = run(NULL, 1.8);
	double all = (34.4 * r.short_jobs + 6.25 * r.long_jobs +
		      100 * r.medium_jobs) /
		     (34.4 + 6.25 + 100);

	cr_assert_geq(r.short_jobs, 0.5 * all, "%.3f", r.short_jobs);
	cr_assert_geq(r.medium_jobs, 0.5 * all, "%.3f", r.medium_jobs);
	cr_assert_geq(r.long_jobs, 0.5 * all, "%.3f of %.3f", r.long_jobs, all);
}

/* A burst of long jobs of the last priority, twice what all targets can run. */
Test(sched_share, a_burst_of_one_queue_does_not_take_the_room_of_others)
{
	double before, after;
	size_t i, n;
	int k;

	world_init(&w, 5, 48, speeds, 1);
	w.task_cpu = 8000;
	w.priorities = 1;
	world_start_sched(&w, &s, NULL, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 100);
	world_generate_load(&w, 0.6, 5000);
	before = completed_share('m');
	n = w.njobs;
	for (k = 0; k < 100; k++) {
		world_submit(&w, "digest", 4, 700, 0.16, 1500);
		world_generate_load(&w, 0.6, 50);
	}
	world_run_until(&w, w.now + 2000);
	for (i = 0; i < n; i++)
		w.jobs[i]->sub->queue[2] = 'x';
	after = completed_share('m');
	cr_assert_geq(after, before - 0.05, "%.3f after %.3f", after, before);
	sched_finish(&s);
	world_finish(&w);
}

/* Without priorities nothing changes: the same jobs get the same answers. */
Test(sched_share, without_priorities_the_policies_do_as_their_baseline)
{
	const struct sched_policies base = { .order = "latest-start",
					     .admit = "on-time" };
	const struct sched_policies *names[2] = { &base, NULL };
	double value[2];
	int i;

	for (i = 0; i < 2; i++) {
		world_init(&w, 3, 48, speeds, 1);
		world_start_sched(&w, &s, names[i], LEAD_TOKEN(1));
		world_run_until(&w, w.now + 100);
		world_generate_load(&w, 1.3, 5000);
		world_run_until(&w, w.now + 2000);
		value[i] = w.outcomes.value;
		sched_finish(&s);
		world_finish(&w);
	}
	cr_assert_float_eq(value[0], value[1], 1e-9);
}
