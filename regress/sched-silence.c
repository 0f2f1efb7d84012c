/* Failure domains whose targets do not reply. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>

#include "lead.h"
#include "world/world.h"

#define NTARGETS 12

static struct world w;
static struct sched s;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_silence, .init = init_apr, .timeout = 60);

/* Starts a scheduler with half of the targets in each of two domains. */
static void begin(void)
{
	static const double speeds[] = { 1.0 };
	size_t i;

	world_init(&w, 7, NTARGETS, speeds, 1);
	for (i = 0; i < NTARGETS; i++)
		snprintf(w.targets[i].listing.failure_domain,
			 sizeof(w.targets[i].listing.failure_domain), "%s",
			 i < NTARGETS / 2 ? "near" : "far");
	world_start_sched(&w, &s, NULL, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 50);
}

static void finish(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&s);
	world_finish(&w);
}

static struct sched_target *target(size_t i)
{
	return sched_find_target(&s, w.targets[i].listing.id);
}

/* Submits jobs until n targets of the domain that is cut off run tasks. */
static void occupy_far(size_t n)
{
	size_t i, busy = 0;

	while (busy < n) {
		world_submit(&w, "q", 1, 1400, 1, 1500);
		for (busy = 0, i = NTARGETS / 2; i < NTARGETS; i++)
			busy += target(i)->nruns > 0;
	}
}

static void set_far_unresponsive(int unresponsive)
{
	size_t i;

	for (i = NTARGETS / 2; i < NTARGETS; i++)
		w.targets[i].unresponsive = unresponsive;
}

/* Tasks that were started there would be lost with their jobs. */
Test(sched_silence, idle_targets_of_a_silent_domain_get_no_tasks)
{
	size_t idle = 0, i;
	uint64_t starts;

	begin();
	occupy_far(3);
	set_far_unresponsive(1);
	world_run_until(&w, w.now + 700);
	for (i = NTARGETS / 2; i < NTARGETS; i++) {
		idle += !target(i)->nruns;
		cr_assert(!sched_target_available(target(i), w.now), "%zu", i);
	}
	cr_assert_gt(idle, 0);
	starts = s.count.starts;
	for (i = 0; i < 40; i++)
		world_submit(&w, "q", 1, 100, 1, 1500);
	world_run_until(&w, w.now + 10);
	cr_assert_gt(s.count.starts, starts);
	for (i = NTARGETS / 2; i < NTARGETS; i++)
		if (!target(i)->nruns)
			idle--;
	cr_assert_eq(idle, 0, "%zu idle targets were given tasks", idle);
	finish();
}

/* The targets of the domain count again as soon as one of them replies. */
Test(sched_silence, a_domain_that_replies_again_is_used)
{
	size_t i, available = 0;

	begin();
	occupy_far(3);
	set_far_unresponsive(1);
	world_run_until(&w, w.now + 3000);
	set_far_unresponsive(0);
	world_run_until(&w, w.now + 1500);
	for (i = NTARGETS / 2; i < NTARGETS; i++)
		available += sched_target_available(target(i), w.now) != 0;
	cr_assert_eq(available, NTARGETS / 2, "%zu", available);
	finish();
}

/* Two targets that have crashed do not make others of the domain unusable. */
Test(sched_silence, idle_targets_that_reply_stay_available)
{
	size_t i;

	begin();
	occupy_far(2);
	for (i = NTARGETS / 2; i < NTARGETS; i++)
		w.targets[i].unresponsive = target(i)->nruns > 0;
	world_run_until(&w, w.now + 700);
	for (i = NTARGETS / 2; i < NTARGETS; i++)
		cr_assert_eq(sched_target_available(target(i), w.now) != 0,
			     !w.targets[i].unresponsive, "%zu", i);
	finish();
}

/*
 * Two targets that do not reply for long, and idle ones that do: these stay in
 * use. Guards against a domain that is taken for silent again and again.
 */
Test(sched_silence, lost_targets_silence_an_idle_domain_once_at_most)
{
	size_t i, times = 0;
	int silent = 0, ms;

	begin();
	occupy_far(2);
	for (i = NTARGETS / 2; i < NTARGETS; i++)
		w.targets[i].unresponsive = target(i)->nruns > 0;
	for (ms = 0; ms < 20000; ms++) {
		world_run_until(&w, w.now + 1);
		times += !silent && target(NTARGETS - 1)->domain->silent;
		silent = target(NTARGETS - 1)->domain->silent;
	}
	cr_assert_leq(times, 1, "silent %zu times", times);
	finish();
}
