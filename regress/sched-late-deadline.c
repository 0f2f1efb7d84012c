/*
 * A job with a long deadline, after a change of leader: a call of the previous
 * leader that got no reply is carried out while the job is still open.
 */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "lead.h"
#include "world/world.h"

static struct world w;
static struct sched first, second;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_late_deadline, .init = init_apr, .timeout = 60);

/* The task must not run elsewhere while the target may still start it. */
static void start_is_late(int owners_need_domains)
{
	struct world_target *t = &w.targets[0];
	struct world_job *job;
	size_t i;

	world_begin(&w, &first, 12);
	w.late_leases = 1;
	w.owners_need_domains = owners_need_domains;
	for (i = 1; i < w.ntargets; i++)
		sched_target_unlisted(&first, w.targets[i].listing.id, w.now);
	t->late[WORLD_START] = (struct world_late){ 100, 3000, 3000, 0 };
	job = world_submit(&w, "q", 1, 6000, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(first.count.starts, 1);
	sched_finish(&first);
	world_drop_calls(&w, &first);
	t->unresponsive = 1;
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	job->sub->former = job->fence;
	job->sub->age_ms = 20;
	job->sub->left_ms = 60000 - 20;
	world_submit_job(&w, job);
	world_run_until(&w, w.now + 5000);
	t->unresponsive = 0;
	world_run_until(&w, w.now + 15000);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&second);
	world_finish(&w);
}

Test(sched_late_deadline, a_start_is_late_before_the_target_is_reached)
{
	start_is_late(0);
	start_is_late(1);
}
