/* Evacuation of failure domains: where tasks start, and which jobs wait. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>

#include "lead.h"
#include "world/world.h"

#define TARGETS 8
#define DOMAINS 2

static struct world w;
static struct sched s, second;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_evacuate, .init = init_apr, .timeout = 60);

/* Targets with an even index are in domain d0, the others in d1. */
static void begin(void)
{
	static const double speeds[] = { 1.0 };
	size_t i;

	world_init(&w, 7, TARGETS, speeds, 1);
	for (i = 0; i < TARGETS; i++)
		snprintf(w.targets[i].listing.failure_domain, RP_NAME_MAX,
			 "d%zu", i % DOMAINS);
	world_start_sched(&w, &s, NULL, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 50);
}

static void end(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(w.sched);
	world_finish(&w);
}

static size_t runs_in(size_t domain)
{
	size_t i, n = 0;

	for (i = domain; i < TARGETS; i += DOMAINS)
		n += w.targets[i].nruns;
	return n;
}

static void set(const char *domain, int evacuated)
{
	sched_set_evacuated(w.sched, domain, evacuated, w.now);
}

/* Runs the load of span ms; returns the most runs in the domain at a time. */
static size_t most_runs_in(size_t domain, rp_ms span)
{
	rp_ms until = w.now + span;
	size_t most = 0;

	while (w.now < until) {
		world_generate_load(&w, 0.4, 5);
		if (runs_in(domain) > most)
			most = runs_in(domain);
	}
	return most;
}

/* Guards against tasks that start in the domain or are stopped there. */
Test(sched_evacuate, tasks_start_elsewhere_and_runs_end_where_they_are)
{
	struct world_job *job;

	begin();
	job = world_submit(&w, "q", 8, 400, 1, 1500);
	world_run_until(&w, w.now + 50);
	cr_assert_gt(runs_in(0), 0);
	set("d0", 1);
	world_run_until(&w, w.now + 50);
	cr_assert_gt(runs_in(0), 0);
	world_run_until(&w, w.now + 900);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	cr_assert_eq(s.count.retries, 0);
	cr_assert_eq(most_runs_in(0, 2000), 0);
	end();
}

/* Guards against room that does not come back. */
Test(sched_evacuate, a_domain_gets_work_again)
{
	begin();
	set("d0", 1);
	world_generate_load(&w, 0.4, 1000);
	world_run_until(&w, w.now + 1500);
	set("d0", 0);
	cr_assert_gt(most_runs_in(0, 1500), 0);
	set("d0", 1);
	world_run_until(&w, w.now + 1500);
	cr_assert_eq(most_runs_in(0, 1000), 0);
	end();
}

/* Guards against admission that still counts on the domain. */
Test(sched_evacuate, admission_loses_the_room_at_once)
{
	const struct sched_service *totals;
	double before;

	begin();
	totals = sched_service_totals(&s, sched_get_service(&s, "svc"));
	before = totals->cpu_rate;
	set("d0", 1);
	totals = sched_service_totals(&s, sched_get_service(&s, "svc"));
	cr_assert_lt(totals->cpu_rate, 0.7 * before);
	set("d0", 0);
	totals = sched_service_totals(&s, sched_get_service(&s, "svc"));
	cr_assert_float_eq(totals->cpu_rate, before, 0.01 * before);
	end();
}

/* Guards against jobs that wait until their deadline for no target. */
Test(sched_evacuate, without_a_target_jobs_are_rejected_at_once)
{
	struct world_job *started, *waiting, *late;

	begin();
	started = world_submit(&w, "q", 8, 300, 1, 1500);
	waiting = world_submit(&w, "q", 8, 300, 1, 1500);
	while (waiting->started || !started->started) {
		world_run_until(&w, w.now + 1);
		waiting = world_submit(&w, "q", 8, 300, 1, 1500);
		if (waiting->answered)
			waiting = world_submit(&w, "q", 1, 900, 1, 1500);
	}
	set("d0", 1);
	cr_assert(!waiting->answered);
	set("d1", 1);
	if (sched_find_open_job(&s, str_of(waiting->sub->id)))
		cr_assert_gt(sched_find_open_job(&s, str_of(waiting->sub->id))
				     ->first_started_at,
			     0);
	late = world_submit(&w, "q", 1, 100, 1, 1500);
	cr_assert_eq(late->answered, 1);
	cr_assert_eq(late->outcome, POOL_ANSWER__OUTCOME__REJECTED);
	cr_assert_gt(s.count.evacuated, 0);
	world_run_until(&w, w.now + 1600);
	cr_assert_eq(started->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end();
}

/* Guards against a successor that forgets the request. */
Test(sched_evacuate, a_new_scheduler_waits_until_the_requests_are_known)
{
	struct world_job *job;
	uint64_t before;

	begin();
	set("d0", 1);
	sched_finish(&s);
	world_drop_calls(&w, &s);
	world_start_sched(&w, &second, NULL, LEAD_TOKEN(2));
	sched_await_evacuations(&second, w.now + 1000);
	world_run_until(&w, w.now + 50);
	before = w.starts;
	job = world_submit(&w, "q", 8, 200, 1, 3000);
	world_run_until(&w, w.now + 300);
	cr_assert_eq(w.starts, before);
	set("d0", 1);
	sched_evacuations_known(&second, w.now);
	world_run_until(&w, w.now + 100);
	cr_assert_gt(w.starts, before);
	cr_assert_eq(runs_in(0), 0);
	world_run_until(&w, w.now + 1500);
	cr_assert_eq(job->outcome, POOL_ANSWER__OUTCOME__COMPLETED);
	end();
}

/* Guards against a leader that never starts anything without the store. */
Test(sched_evacuate, a_new_scheduler_does_not_wait_for_ever)
{
	begin();
	sched_await_evacuations(&s, w.now + 1000);
	world_run_until(&w, w.now + 800);
	world_submit(&w, "q", 2, 200, 1, 3000);
	world_run_until(&w, w.now + 150);
	cr_assert_eq(w.starts, 0);
	world_run_until(&w, w.now + 200);
	cr_assert_gt(w.starts, 0);
	world_run_until(&w, w.now + 1000);
	end();
}

/* Guards against an entry that is listed during the evacuation. */
Test(sched_evacuate, a_target_that_comes_gets_nothing)
{
	struct sched_listing l;

	begin();
	set("d2", 1);
	l = w.targets[0].listing;
	snprintf(l.failure_domain, sizeof(l.failure_domain), "d2");
	w.targets[0].listing = l;
	sched_target_listed(&s, &l, w.now);
	world_run_until(&w, w.now + 50);
	cr_assert(!sched_target_available(sched_find_target(&s, l.id), w.now));
	snprintf(l.failure_domain, sizeof(l.failure_domain), "d1");
	sched_target_listed(&s, &l, w.now);
	cr_assert(sched_target_available(sched_find_target(&s, l.id), w.now));
	end();
}
