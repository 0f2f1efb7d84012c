/*
 * Jobs with long deadlines whose callers submit them again at another entry VM
 * after a change of leader. Guards against failure domains that only the first
 * submission named.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lead.h"
#include "world/world.h"

#define TARGETS 4

static struct world w;
static struct sched first, second;

static enum {
	NEED_DOMAINS, /* of an earlier release, which presumes nothing */
	PRESUME_ANY,
	START_TASKS, /* and learn of the domains of these */
	OWNERS
} owners;

static void for_all_owners(void (*check)(void))
{
	for (owners = NEED_DOMAINS; owners < OWNERS; owners++)
		check();
}

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_resent_domain, .init = init_apr, .timeout = 60);

/* Half of the targets are in domain "a", which alone is used at first. */
static void begin_world(void)
{
	static const double speeds[] = { 1.0 };
	size_t i;

	world_init(&w, 7, TARGETS, speeds, 1);
	w.late_leases = 1;
	w.owners_need_domains = owners == NEED_DOMAINS;
	w.owners_start = owners == START_TASKS;
	for (i = 0; i < TARGETS; i++)
		snprintf(w.targets[i].listing.failure_domain, RP_NAME_MAX, "%s",
			 i < TARGETS / 2 ? "a" : "b");
	world_start_sched(&w, &first, NULL, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 50);
	for (i = TARGETS / 2; i < TARGETS; i++)
		sched_target_unlisted(&first, w.targets[i].listing.id, w.now);
}

static void change_leader(void)
{
	sched_finish(&first);
	world_drop_calls(&w, &first);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
}

/* The job is submitted to the second scheduler. */
static void submit(struct world_job *job, uint64_t former)
{
	job->sub->former = former;
	job->sub->age_ms = (uint32_t)(w.now - job->arrived_at);
	job->sub->left_ms = 60000 - job->sub->age_ms;
	world_submit_job(&w, job);
	sched_dispatch(&second, w.now);
}

/* Its caller submits it at an entry VM that knows no domains. */
static void submit_elsewhere(struct world_job *job)
{
	while (job->sub->n_domains)
		free(job->sub->domains[--job->sub->n_domains]);
	job->sub->any_domain = 0;
	job->sub->seq += 1000;
	submit(job, 0);
	job->answered = 0; /* the first submission was */
}

/* The start is carried out 5 s late, and the next leader is cut off from "a".
 */
static struct world_job *lose_leader(void)
{
	struct world_job *job;
	size_t i;

	begin_world();
	for (i = 0; i < TARGETS / 2; i++)
		w.targets[i].late[WORLD_START] =
			(struct world_late){ 100, 5000, 5000, 0 };
	job = world_submit(&w, "q", 1, 6000, 1, 60000);
	world_run_until(&w, w.now + 20);
	cr_assert_eq(first.count.starts, 1);
	for (i = 0; i < TARGETS / 2; i++) {
		w.targets[i].late[WORLD_START].percent = 0;
		w.targets[i].unresponsive = 1;
	}
	change_leader();
	submit(job, LEAD_TOKEN(1));
	return job;
}

/* A next leader would be told of the domain. */
static void check_owner_knows(const struct world_job *job)
{
	if (owners == PRESUME_ANY && job->sub->any_domain)
		return;
	cr_assert_eq(job->sub->n_domains, 1);
	cr_assert_str_eq(job->sub->domains[0], "a");
}

static void end_world(struct world_job *job)
{
	size_t i;

	world_run_until(&w, w.now + 7000);
	for (i = 0; i < TARGETS; i++)
		w.targets[i].unresponsive = 0;
	world_run_until(&w, w.now + 15000);
	cr_assert(job->answered);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&second);
	world_finish(&w);
}

/* The task was started beside the late run, once the leases were over. */
static void check_superseded(void)
{
	struct world_job *job = lose_leader();

	world_run_until(&w, w.now + 500);
	submit_elsewhere(job);
	check_owner_knows(job);
	end_world(job);
}

Test(sched_resent_domain, the_first_submission_is_superseded)
{
	for_all_owners(check_superseded);
}

/* As above, at once: a cancelled job that had not started left no record. */
static void check_cancelled(void)
{
	struct world_job *job = lose_leader();

	world_run_until(&w, w.now + 100);
	sched_cancel(&second, job, job->sub->seq, w.now);
	world_run_until(&w, w.now + 1300);
	submit_elsewhere(job);
	check_owner_knows(job);
	end_world(job);
}

Test(sched_resent_domain, the_first_submission_is_cancelled)
{
	for_all_owners(check_cancelled);
}

/* The new owner would not tell the next leader where the run is. */
static void check_adopted(void)
{
	struct world_job *job;

	begin_world();
	job = world_submit(&w, "q", 1, 6000, 1, 60000);
	world_run_until(&w, w.now + 50);
	cr_assert_eq(first.count.starts, 1);
	change_leader();
	world_run_until(&w, w.now + 50);
	submit_elsewhere(job);
	world_run_until(&w, w.now + 100);
	cr_assert_eq(second.count.starts, 0);
	check_owner_knows(job);
	end_world(job);
}

Test(sched_resent_domain, the_owner_is_told_where_a_run_was_adopted)
{
	for_all_owners(check_adopted);
}
