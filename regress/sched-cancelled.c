/*
 * A new leader does not know yet which jobs were cancelled under the one
 * before. Guards against a start of a job whose cancellation was acknowledged
 * then.
 */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "lead.h"
#include "world/world.h"

static struct world w;
static struct sched s;

static void begin(void)
{
	static const double speeds[] = { 1.0 };

	apr_initialize();
	world_init(&w, 7, 4, speeds, 1);
	world_start_sched(&w, &s, NULL, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 50);
	s.stored_jobs_loaded = 0;
	sched_await_cancelled(&s, w.now + 1000);
}

static void finish(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&s);
	world_finish(&w);
}

TestSuite(sched_cancelled, .init = begin, .fini = finish, .timeout = 60);

Test(sched_cancelled, no_job_starts_before_the_rows_are_read)
{
	world_submit(&w, "q", 1, 100, 1, 5000);
	world_run_until(&w, w.now + 300);
	cr_assert_eq(s.count.starts, 0);
	sched_stored_jobs_loaded(&s);
	world_run_until(&w, w.now + 50);
	cr_assert_eq(s.count.starts, 1);
}

/* The store may be away; jobs that are not stored do not need it. */
Test(sched_cancelled, jobs_do_not_wait_for_long)
{
	world_submit(&w, "q", 1, 2000, 1, 9000);
	world_run_until(&w, w.now + 1100);
	cr_assert_eq(s.count.starts, 1);
}
