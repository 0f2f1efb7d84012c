/*
 * Jobs that the leader has no memory for. Guards against a process that ends as
 * the jobs of many callers are kept by one leader, and against the opposite: a
 * job that was accepted is given up for a new one.
 */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "budget.h"
#include "lead.h"
#include "world/world.h"

#define MIB ((size_t)1 << 20)
#define MACHINE (64 * MIB)
#define LONG_MS 60000

static struct world w;
static struct sched s;
static struct rp_budget budget;

static void begin(void)
{
	apr_initialize();
	budget_init(&budget, MACHINE);
	world_begin(&w, &s, 2);
	w.task_cpu = 1;
	s.budget = &budget;
}

static void finish(void)
{
	sched_finish(&s);
	world_finish(&w);
}

TestSuite(sched_memory, .init = begin, .fini = finish, .timeout = 60);

/* Submits jobs with as many tasks as there may be until one is rejected. */
static struct world_job *submit_until_rejected(size_t most)
{
	struct world_job *job = NULL;
	size_t i;

	for (i = 0; i < most; i++) {
		job = world_submit(&w, "q", SCHED_TASKS_MAX, 1, 1, LONG_MS);
		if (job->answered)
			break;
	}
	cr_assert_lt(i, most);
	return job;
}

Test(sched_memory, a_new_job_without_room_is_rejected)
{
	struct world_job *job;

	s.admit = (const struct sched_admit_ops *)plugin_find(
		RP_PLUGIN_ADMISSION, "all");
	job = submit_until_rejected(64);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__REJECTED);
	cr_assert(!job->started);
	cr_assert_eq(s.count.no_memory, 1);
	cr_assert_leq(atomic_load(&budget.total), budget.limit / 2);
	/* Those before it are kept. */
	cr_assert_eq(s.njobs, w.njobs - 1);
}

/* Another leader may have started it, so it must not be rejected. */
Test(sched_memory, a_job_that_may_have_been_started_is_kept)
{
	struct world_job *job;

	s.admit = (const struct sched_admit_ops *)plugin_find(
		RP_PLUGIN_ADMISSION, "all");
	submit_until_rejected(64);
	job = world_job_new(&w, "q", SCHED_TASKS_MAX, 1, 1, LONG_MS);
	job->sub->former = LEAD_TOKEN(1) - 1;
	world_submit_job(&w, job);
	cr_assert(!job->answered);
}

/* A stored job was accepted when its row was written. */
Test(sched_memory, a_stored_job_is_kept)
{
	struct world_job *job;

	s.admit = (const struct sched_admit_ops *)plugin_find(
		RP_PLUGIN_ADMISSION, "all");
	submit_until_rejected(64);
	w.stored = 1;
	job = world_submit(&w, "q", SCHED_TASKS_MAX, 1, 1, LONG_MS);
	cr_assert(!job->answered);
}

Test(sched_memory, all_memory_is_released)
{
	size_t i;

	w.task_cpu = 4000;
	for (i = 0; i < 8; i++)
		world_submit(&w, "q", 4, 20, 1, LONG_MS);
	cr_assert_gt(atomic_load(&budget.used[RP_HOLD_JOBS]), 0);
	world_run_until(&w, w.now + 2000);
	cr_assert_eq(s.njobs, 0);
	/* Records of answered jobs are kept for a time. */
	world_run_until(&w, w.now + LONG_MS + 20000);
	cr_assert_eq(atomic_load(&budget.total), 0);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
}
