/*
 * A leader ends, and its successor does not reach a target that may carry out a
 * start or a hold of it later. The row of a stored job names the failure
 * domains in which its tasks may have been started.
 */

#include "two-domains.h"

#include <stdlib.h>

TestSuite(sched_domain, .init = init_apr, .timeout = 60);

/* The first scheduler ends, and all jobs are submitted to the second. */
static void take_over(void)
{
	sched_finish(&first);
	world_drop_calls(&w, &first);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	world_resubmit(&w);
}

/*
 * One domain is cut off from the successor. Jobs that were not started there go
 * on: one that runs in the other domain, and whose second task had no room, one
 * of which a start had no reply there, and one that was not started. Guards
 * against a wait for each target of the service.
 */
Test(sched_domain, jobs_go_on_while_a_domain_is_cut_off)
{
	struct world_job *jobs[3], *there;
	size_t i;

	begin_world(4);
	w.task_cpu = 10500; /* one on each target */
	use_domain("b");
	there = world_submit(&w, "q", 1, 2000, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(first.count.starts, 1);
	use_domain("a");
	jobs[0] = world_submit(&w, "q", 3, 300, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(first.count.starts, 3);
	w.targets[0].late[WORLD_START] = w.targets[1].late[WORLD_START] =
		(struct world_late){ 100, 3000, 3000, 0 };
	jobs[1] = world_submit(&w, "q", 1, 300, 1, 60000);
	while (first.count.starts < 5)
		world_run_until(&w, w.now + 1);
	jobs[2] = world_submit(&w, "q", 1, 300, 1, 60000);
	world_run_until(&w, w.now + 5);
	cr_assert_eq(first.count.starts, 5);
	w.targets[0].late[WORLD_START].percent =
		w.targets[1].late[WORLD_START].percent = 0;
	cut_domain_off("b");
	take_over();
	world_run_until(&w, w.now + 3500);
	for (i = 0; i < 3; i++)
		cr_assert(jobs[i]->answered, "job %d", (int)i);
	cr_assert_not(there->answered);
	world_run_until(&w, w.now + 16000);
	cr_assert(there->answered);
	end_world();
}

/*
 * A hold is carried out, and a copy of it later, which prolongs the run. Guards
 * against taking the run for over when the leases of the previous leader are.
 */
Test(sched_domain, a_hold_is_late_before_the_target_is_reached)
{
	struct world_job *job;
	size_t i;

	begin_world(2);
	for (i = 0; i < w.ntargets; i++)
		w.targets[i].late[WORLD_HOLD] =
			(struct world_late){ 100, 2000, 6000, 1 };
	job = world_submit(&w, "q", 1, 9000, 1, 60000);
	world_run_until(&w, w.now + 4000);
	cr_assert_eq(w.starts, 1);
	for (i = 0; i < w.ntargets; i++)
		w.targets[i].unresponsive = w.targets[i].nruns > 0;
	take_over();
	world_run_until(&w, w.now + 4500);
	for (i = 0; i < w.ntargets; i++)
		w.targets[i].unresponsive = 0;
	world_run_until(&w, w.now + 15000);
	cr_assert(job->answered);
	end_world();
}

/* A target that is not reached for longer than calls are late holds up no job.
 */
Test(sched_domain, the_wait_for_late_calls_ends)
{
	struct world_job *job;

	begin_world(4);
	use_domain("a");
	job = world_submit(&w, "q", 1, 300, 1, 60000);
	world_run_until(&w, w.now + 20);
	cut_domain_off("a");
	take_over();
	world_run_until(&w, w.now + 15000);
	cr_assert_not(job->answered);
	world_run_until(&w, w.now + 3000);
	cr_assert(job->answered);
	end_world();
}

/* A successor reads only what the store has: nothing starts before. */
Test(sched_domain, the_domain_is_told_before_the_start)
{
	struct world_job *job;

	begin_world(4);
	use_domain("a");
	w.lose_messages = 1;
	job = world_submit(&w, "q", 1, 300, 1, 60000);
	world_run_until(&w, w.now + 500);
	cr_assert_eq(first.count.starts, 0);
	w.lose_messages = 0;
	sched_owner_acked(&first, job, w.mark, w.now);
	world_run_until(&w, w.now + 500);
	cr_assert_eq(first.count.starts, 1);
	cr_assert(job->answered);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&first);
	world_finish(&w);
}

/*
 * The entry of the target is lost before the successor reaches it. Guards
 * against dropping the target with it: the job did not wait any more.
 */
Test(sched_domain, a_target_that_is_unlisted_is_not_gone_yet)
{
	struct world_job *job;
	size_t i;

	begin_world(4);
	use_domain("a");
	w.targets[0].late[WORLD_START] = w.targets[1].late[WORLD_START] =
		(struct world_late){ 100, 2500, 2500, 0 };
	job = world_submit(&w, "q", 1, 3000, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(first.count.starts, 1);
	cut_domain_off("a");
	take_over();
	world_run_until(&w, w.now + 1000);
	for (i = 0; i < 2; i++)
		sched_target_unlisted(&second, w.targets[i].listing.id, w.now);
	world_run_until(&w, w.now + 7000);
	cr_assert(job->answered);
	end_world();
}

/*
 * The same for jobs that are not stored, whose owners keep the domains. Guards
 * against a wait for each target of the service.
 */
static void jobs_with_deadlines_go_on(int owners_need_domains)
{
	struct world_job *here, *there;

	begin_world(4);
	w.stored = 0;
	w.owners_need_domains = owners_need_domains;
	use_domain("a");
	here = world_submit(&w, "q", 1, 3000, 1, 60000);
	world_run_until(&w, w.now + 20);
	w.targets[2].late[WORLD_START] = w.targets[3].late[WORLD_START] =
		(struct world_late){ 100, 3000, 3000, 0 };
	use_domain("b");
	there = world_submit(&w, "q", 1, 6000, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(first.count.starts, 2);
	cut_domain_off("b");
	sched_finish(&first);
	world_drop_calls(&w, &first);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	submit_again(here, LEAD_TOKEN(1));
	submit_again(there, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 3500);
	cr_assert(here->answered);
	cr_assert_not(there->answered);
	w.targets[2].unresponsive = w.targets[3].unresponsive = 0;
	world_run_until(&w, w.now + 15000);
	cr_assert(there->answered);
	end_world();
}

Test(sched_domain, jobs_with_deadlines_go_on_while_a_domain_is_cut_off)
{
	jobs_with_deadlines_go_on(0);
	jobs_with_deadlines_go_on(1);
}

/* A caller that is gone before late calls matter costs no message. */
Test(sched_domain, a_job_that_ends_with_the_leases_names_no_domain)
{
	struct world_job *job;

	begin_world(4);
	w.stored = 0;
	w.lose_messages = 1;
	job = world_submit(&w, "q", 1, 300, 1, 1500);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(first.count.starts, 1);
	cr_assert_eq(job->sub->n_domains, 0);
	sched_finish(&first);
	world_finish(&w);
}

/*
 * A provisional leader had the job meanwhile, and its start is late. Guards
 * against a leader that keeps only the domains that it knew before.
 */
static void job_is_back_from_another_leader(void)
{
	char domain[RP_NAME_MAX];
	struct world_job *job;
	size_t i;

	w.task_cpu = 12000;
	world_submit(&w, "q", 4, 200, 1, 60000);
	world_run_until(&w, w.now + 20);
	job = world_submit(&w, "q", 1, 3000, 1, 60000);
	cr_assert_eq(first.count.starts, 4);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(1) | 7);
	for (i = 0; i < w.ntargets; i++)
		w.targets[i].late[WORLD_START] =
			(struct world_late){ 100, 3000, 3000, 0 };
	submit_again(job, 0);
	while (!second.count.starts)
		world_run_until(&w, w.now + 1);
	world_run_until(&w, w.now + 5);
	if (w.owners_need_domains)
		cr_assert_eq(job->sub->n_domains, 1);
	else
		cr_assert(job->sub->any_domain);
	snprintf(
		domain, sizeof(domain), "%s",
		sched_find_open_job(&second, str_of(job->sub->id))->domains[0]);
	for (i = 0; i < w.ntargets; i++)
		w.targets[i].late[WORLD_START].percent = 0;
	cut_domain_off(domain);
	w.sched = &first;
	sched_raise_fence(&first, LEAD_TOKEN(2), w.now);
	submit_again(job, second.fence);
	world_run_until(&w, w.now + 5000);
	for (i = 0; i < w.ntargets; i++)
		w.targets[i].unresponsive = 0;
	world_run_until(&w, w.now + 10000);
	cr_assert(job->answered);
	sched_finish(&first);
	end_world();
}

Test(sched_domain, a_job_that_is_back_has_the_domains_of_the_other_leader)
{
	begin_world(4);
	w.stored = 0;
	w.owners_need_domains = 1;
	job_is_back_from_another_leader();
}

Test(sched_domain, a_job_that_is_back_may_have_been_started_anywhere)
{
	begin_world(4);
	w.stored = 0;
	job_is_back_from_another_leader();
}

/* The second scheduler, whose first list lacks the targets of one domain. */
static void start_second_without_domain(const char *domain)
{
	size_t i;

	sched_init(&second, first.ops, &w, NULL, LEAD_TOKEN(2), WORLD_LEASE_MS,
		   w.now);
	w.sched = &second;
	for (i = 0; i < w.ntargets; i++)
		if (strcmp(w.targets[i].listing.failure_domain, domain) != 0)
			sched_target_listed(&second, &w.targets[i].listing,
					    w.now);
	sched_targets_loaded(&second);
	sched_stored_jobs_loaded(&second);
}

/*
 * The entry of the target had expired before the successor read the list, and
 * is back soon. Guards against taking the domain for reached meanwhile.
 */
Test(sched_domain, a_target_that_the_first_list_lacks_is_not_gone_yet)
{
	struct world_job *job;

	begin_world(4);
	use_domain("a");
	w.targets[0].late[WORLD_START] = w.targets[1].late[WORLD_START] =
		(struct world_late){ 100, 3500, 3500, 0 };
	job = world_submit(&w, "q", 1, 6000, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(first.count.starts, 1);
	cut_domain_off("a");
	sched_finish(&first);
	world_drop_calls(&w, &first);
	start_second_without_domain("a");
	second.prev_may_hold_unlisted = 1;
	world_resubmit(&w);
	world_run_until(&w, w.now + 2900);
	sched_target_listed(&second, &w.targets[0].listing, w.now);
	sched_target_listed(&second, &w.targets[1].listing, w.now);
	world_run_until(&w, w.now + 2000);
	w.targets[0].unresponsive = w.targets[1].unresponsive = 0;
	world_run_until(&w, w.now + 9000);
	cr_assert(job->answered);
	end_world();
}

/*
 * A leader of an earlier release, which names no domains, has started the task;
 * the next one adopts the run, and a hold of it is late. Guards against a third
 * leader that waits for the leases alone.
 */
Test(sched_domain, the_domain_of_an_adopted_run_is_named)
{
	static struct sched third;
	struct world_job *job;
	size_t i;

	begin_world(4);
	use_domain("a");
	job = world_submit(&w, "q", 1, 9000, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(w.starts, 1);
	for (i = 0; i < job->sub->n_domains; i++)
		free(job->sub->domains[i]);
	job->sub->n_domains = 0;
	take_over();
	for (i = 0; i < w.ntargets; i++)
		w.targets[i].late[WORLD_HOLD] =
			(struct world_late){ 100, 2000, 6000, 1 };
	world_run_until(&w, w.now + 4000);
	cr_assert_eq(second.count.adopted, 1);
	cut_domain_off("a");
	sched_finish(&second);
	world_drop_calls(&w, &second);
	world_start_sched(&w, &third, NULL, LEAD_TOKEN(3));
	world_resubmit(&w);
	world_run_until(&w, w.now + 4500);
	for (i = 0; i < w.ntargets; i++)
		w.targets[i].unresponsive = 0;
	world_run_until(&w, w.now + 15000);
	cr_assert(job->answered);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&third);
	world_finish(&w);
}

/*
 * The caller submits the job again, at another VM, while a target is cut off
 * that may start a task of it late; then the leader is lost. Guards against an
 * owner that knows only of the domains of its own submission.
 */
static void job_is_submitted_again(int owners_need_domains)
{
	struct world_job *job;
	size_t i;

	begin_world(4);
	w.stored = 0;
	w.owners_need_domains = owners_need_domains;
	use_domain("a");
	w.targets[0].late[WORLD_START] = w.targets[1].late[WORLD_START] =
		(struct world_late){ 100, 3000, 3000, 0 };
	job = world_submit(&w, "q", 1, 6000, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(first.count.starts, 1);
	w.targets[0].late[WORLD_START].percent =
		w.targets[1].late[WORLD_START].percent = 0;
	cut_domain_off("a");
	for (i = 0; i < job->sub->n_domains; i++)
		free(job->sub->domains[i]);
	job->sub->n_domains = 0;
	job->sub->any_domain = 0;
	job->sub->seq = job->seq = 1000;
	submit_again(job, 0);
	cr_assert(job->answered);
	job->answered = 0; /* that was the first submission's */
	world_run_until(&w, w.now + 5);
	sched_finish(&first);
	world_drop_calls(&w, &first);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	submit_again(job, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 5000);
	w.targets[0].unresponsive = w.targets[1].unresponsive = 0;
	world_run_until(&w, w.now + 15000);
	cr_assert(job->answered);
	end_world();
}

Test(sched_domain, a_job_that_is_submitted_again_has_the_domains_of_before)
{
	job_is_submitted_again(0);
	job_is_submitted_again(1);
}
