/*
 * A target restarts under its old id while it is idle. Guards against starts
 * beyond its room there: the entry of the platform's list is old, the target is
 * seldom called, and a reply to a start does not name the incarnation.
 */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "world/world.h"

static struct world w;
static struct sched s;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_clock, .init = init_apr, .timeout = 60);

/* The target has room for two tasks, and was idle for some seconds. */
static struct world_target *begin(void)
{
	struct world_target *t = &w.targets[0];

	world_begin(&w, &s, 1);
	w.new_clocks = 1;
	t->clock_start = -500000;
	world_run_until(&w, w.now + 15000);
	w.task_cpu = 6000;
	return t;
}

static void end(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&s);
	world_finish(&w);
}

/* The next incarnation has less room, or takes starts of another leader. */
Test(sched_clock, the_reply_to_a_start_shows_a_restart)
{
	struct world_target *t = begin();

	world_target_restart(&w, t);
	t->listing.capacity.cpu = 8000;
	world_run_until(&w, w.now + 100);
	world_submit(&w, "q", 2, 4000, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(t->nruns, 1);
	world_run_until(&w, w.now + 5000);
	cr_assert_eq(s.targets[0]->incarnation, t->listing.incarnation);
	/* The store has the new entry. */
	sched_target_listed(&s, &t->listing, w.now);
	world_run_until(&w, w.now + 15000);
	cr_assert_eq(w.outcomes.jobs, 1);
	cr_assert_eq(w.jobs[0]->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end();
}

/* A slow clock is no restart. */
Test(sched_clock, a_slow_clock_does_not_keep_tasks_back)
{
	struct world_target *t = begin();

	t->clock_rate = 0.98;
	t->clock_start = w.now - (rp_ms)((double)(w.now + 500000) / 0.98);
	world_run_until(&w, w.now + 15000);
	world_submit(&w, "q", 2, 4000, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(t->nruns, 2);
	end();
}
