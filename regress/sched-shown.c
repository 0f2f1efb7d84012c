/*
 * Jobs that are not completed: those that could not have ended in time, by what
 * their runs have shown, are counted apart from those that were lost.
 */

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

TestSuite(sched_shown, .init = init_apr, .timeout = 60);

static void end(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&s);
	world_finish(&w);
}

static struct world_job *submit(const char *queue, uint32_t ntasks,
				double estimate, double work)
{
	struct world_job *job =
		world_submit(&w, queue, (int)ntasks, estimate, 1, 1500);
	uint32_t i;

	for (i = 0; i < ntasks; i++)
		job->task_work[i] = work;
	return job;
}

static void check_counts(const char *queue, uint64_t completed,
			 uint64_t too_long, uint64_t lost)
{
	const struct sched_queue *q = sched_get_queue(&s, queue, 1);
	uint64_t n[3] = { 0, 0, 0 };
	size_t i;

	for (i = 0; i < SCHED_SIZE_BUCKETS; i++) {
		n[0] += q->completed[i];
		n[1] += q->too_long[i];
		n[2] += q->answered[i] - q->completed[i] - q->too_long[i];
	}
	cr_assert_eq(n[0], completed, "completed is %d, not %d", (int)n[0],
		     (int)completed);
	cr_assert_eq(n[1], too_long, "too long is %d, not %d", (int)n[1],
		     (int)too_long);
	cr_assert_eq(n[2], lost, "lost is %d, not %d", (int)n[2], (int)lost);
}

/* Guards against a deadline that jobs cannot keep and that nobody sees. */
Test(sched_shown, a_job_longer_than_its_callers_wait_is_too_long)
{
	int i;

	world_begin(&w, &s, 8);
	for (i = 0; i < 4; i++) {
		submit("long", 2, 700, 700);
		world_run_until(&w, w.now + 2000);
	}
	submit("long", 2, 700, 3000);
	world_run_until(&w, w.now + 2000);
	check_counts("long", 4, 1, 0);
	end();
}

/* Guards against losses of ours that are taken for the callers' deadline. */
Test(sched_shown, a_job_lost_with_its_targets_is_not_too_long)
{
	size_t i;

	world_begin(&w, &s, 8);
	submit("short", 3, 700, 700);
	world_run_until(&w, w.now + 400);
	for (i = 0; i < 8; i++)
		w.targets[i].unresponsive = 1;
	world_run_until(&w, w.now + 2000);
	check_counts("short", 0, 0, 1);
	end();
}

/* A slow target makes one task of a job look long; the others are alike. */
Test(sched_shown, a_slow_target_makes_no_job_too_long)
{
	static const struct sched_policies names = { .move = "none" };
	static const double speed = 1;
	size_t i;

	world_init(&w, 1, 3, &speed, 1);
	world_start_sched(&w, &s, &names, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 500);
	submit("short", 3, 400, 400);
	world_run_until(&w, w.now + 20);
	for (i = 0; i < 3; i++)
		if (w.targets[i].nruns) {
			w.targets[i].slowdown = 12;
			break;
		}
	world_run_until(&w, w.now + 2500);
	check_counts("short", 0, 0, 1);
	end();
}

/* Nothing is known of a job that was not started. */
Test(sched_shown, a_job_that_was_not_started_is_not_too_long)
{
	size_t i;

	world_begin(&w, &s, 4);
	for (i = 0; i < 4; i++)
		w.targets[i].unresponsive = 1;
	world_run_until(&w, w.now + 1500);
	submit("long", 2, 5000, 5000);
	world_run_until(&w, w.now + 2000);
	check_counts("long", 0, 0, 1);
	end();
}
