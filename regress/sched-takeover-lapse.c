/* Runs of several seconds that outlive their leader. */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "lead.h"
#include "world/world.h"

/*
 * From the last renewal to the first list of the next leader: at most 450 ms
 * without a heartbeat, a claim of at most 100 ms, and the list.
 */
#define GAP_MS 600

static struct world w;
static struct sched first, second;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_takeover_lapse, .init = init_apr, .timeout = 60);

/*
 * Guards against work of seconds that is lost at each change of leader: the
 * lease of a target with a run that no job claims, such as one of a caller of
 * the VM that led, is not renewed until that run is stopped, and it is over
 * before that. The run of another job there has to begin anew.
 */
Test(sched_takeover_lapse, a_run_beside_one_that_no_job_claims_goes_on)
{
	struct world_job *job, *unclaimed;
	rp_ms until;

	world_begin(&w, &first, 1);
	w.task_cpu = 6000;
	job = world_submit(&w, "q", 1, 8000, 1, 40000);
	unclaimed = world_submit(&w, "q", 1, 8000, 1, 40000);
	world_run_until(&w, w.now + 4000);
	cr_assert_eq(w.targets[0].nruns, 2);
	sched_finish(&first);
	world_drop_calls(&w, &first);
	for (until = w.now + GAP_MS; w.now < until;)
		world_step(&w);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	unclaimed->answered = 1; /* its caller has left */
	world_resubmit(&w);
	world_run_until(&w, w.now + 16000);
	cr_assert_eq(second.count.adopted, 1);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(w.starts, 2, "%llu starts", (unsigned long long)w.starts);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&second);
	world_finish(&w);
}
