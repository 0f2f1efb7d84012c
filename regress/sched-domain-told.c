/*
 * What the owner of a job that is not stored knows of the failure domains in
 * which tasks may have been started, when its leader ends.
 */

#include "two-domains.h"

TestSuite(sched_domain_told, .init = init_apr, .timeout = 60);

/* The leader is lost, and its successor is cut off from the domain. */
static void lose_leader_and_domain(const char *domain)
{
	size_t i;

	for (i = 0; i < w.ntargets; i++)
		w.targets[i].late[WORLD_START].percent = 0;
	cut_domain_off(domain);
	sched_finish(&first);
	world_drop_calls(&w, &first);
	w.lose_messages = 0;
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
}

/* Starts are carried out 3 s late. */
static void delay_starts(void)
{
	size_t i;

	for (i = 0; i < w.ntargets; i++)
		w.targets[i].late[WORLD_START] =
			(struct world_late){ 100, 3000, 3000, 0 };
}

/*
 * The leader ends before its message about the domains arrives. Guards against
 * an owner that takes the domains that it knows for all of them.
 */
Test(sched_domain_told, a_leader_ends_before_its_owner_is_told)
{
	struct world_job *job;
	size_t i;

	begin_world(4);
	w.stored = 0;
	use_domain("b");
	delay_starts();
	w.lose_messages = 1;
	job = world_submit(&w, "q", 1, 6000, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(first.count.starts, 1);
	cr_assert_eq(job->sub->n_domains, 0);
	lose_leader_and_domain("b");
	submit_again(job, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 5000);
	cr_assert_eq(second.count.starts, 0);
	for (i = 0; i < w.ntargets; i++)
		w.targets[i].unresponsive = 0;
	world_run_until(&w, w.now + 15000);
	cr_assert(job->answered);
	end_world();
}

/*
 * One of two tasks has no room when the leader is lost. Guards against telling
 * the owner of all domains while another may be added without its knowledge.
 */
Test(sched_domain_told, a_leader_ends_while_tasks_wait_for_room)
{
	struct world_job *job;
	size_t i;

	begin_world(2);
	w.stored = 0;
	w.task_cpu = 10500; /* one on each target */
	world_submit(&w, "q", 1, 500, 1, 60000);
	delay_starts();
	job = world_submit(&w, "q", 2, 6000, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(first.count.starts, 2);
	cr_assert(job->sub->any_domain);
	cr_assert_eq(job->sub->n_domains, 0);
	lose_leader_and_domain("b");
	submit_again(job, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 4000);
	for (i = 0; i < w.ntargets; i++)
		w.targets[i].unresponsive = 0;
	world_run_until(&w, w.now + 30000);
	cr_assert(job->answered);
	end_world();
}

/*
 * The owner was told of all domains, and a task has to be started again in
 * another one. Guards against a start there of which it does not know.
 */
Test(sched_domain_told, an_owner_that_was_told_acknowledges_another_domain)
{
	struct world_job *job;

	begin_world(4);
	w.stored = 0;
	use_domain("a");
	job = world_submit(&w, "q", 1, 1000, 1, 60000);
	world_run_until(&w, w.now + 40);
	cr_assert_not(job->sub->any_domain);
	cr_assert_eq(job->sub->n_domains, 1);
	w.targets[0].stalled = w.targets[1].stalled = 1;
	use_domain("b");
	w.lose_messages = 1;
	world_target_restart(&w, &w.targets[0]);
	world_target_restart(&w, &w.targets[1]);
	world_run_until(&w, w.now + 3000);
	cr_assert_eq(first.count.starts, 1);
	w.lose_messages = 0;
	sched_owner_acked(&first, job, w.mark, w.now);
	world_run_until(&w, w.now + 3000);
	cr_assert_eq(first.count.starts, 2);
	cr_assert(job->answered);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&first);
	world_finish(&w);
}

/*
 * Owners that pass starts on learn of domains without a message. Guards against
 * starts that wait for one, and against a successor that does not know them.
 */
Test(sched_domain_told, an_owner_learns_of_a_domain_with_the_start)
{
	struct world_job *here, *there;
	size_t i;

	begin_world(4);
	w.stored = 0;
	w.owners_start = 1;
	w.lose_messages = 1;
	use_domain("a");
	here = world_submit(&w, "q", 1, 3000, 1, 60000);
	world_run_until(&w, w.now + 20);
	delay_starts();
	use_domain("b");
	there = world_submit(&w, "q", 1, 6000, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(first.count.starts, 2);
	lose_leader_and_domain("b");
	submit_again(here, LEAD_TOKEN(1));
	submit_again(there, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 3500);
	cr_assert(here->answered);
	cr_assert_not(there->answered);
	for (i = 0; i < w.ntargets; i++)
		w.targets[i].unresponsive = 0;
	world_run_until(&w, w.now + 15000);
	cr_assert(there->answered);
	end_world();
}

/*
 * Owners of an earlier release presume nothing. Guards against starts of which
 * they do not know.
 */
Test(sched_domain_told, an_owner_that_presumes_nothing_is_told_before_a_start)
{
	struct world_job *job;

	begin_world(4);
	w.stored = 0;
	w.owners_need_domains = 1;
	w.lose_messages = 1;
	job = world_submit(&w, "q", 1, 300, 1, 60000);
	world_run_until(&w, w.now + 500);
	cr_assert_eq(first.count.starts, 0);
	w.lose_messages = 0;
	sched_owner_acked(&first, job, w.mark, w.now);
	world_run_until(&w, w.now + 800);
	cr_assert(job->answered);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&first);
	world_finish(&w);
}
