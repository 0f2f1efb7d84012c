/*
 * What the callers of a VM that leads are told, and what its successor is told
 * of their jobs.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>

#include "pool-request.h"
#include "pool-store.h"
#include "sched-int.h"

static struct pool p;
static struct store store;
static struct pool_request r = { .p = &p, .seq = 4, .fd.fd = -1 };
static struct pool_link to_leader = { .p = &p, .greeted = 1 };
static PoolBeat beat = POOL_BEAT__INIT;

static void lead_by(const char *vm, uint64_t term, uint64_t incarnation)
{
	struct lead_row row = { .fence = LEAD_TOKEN(term),
				.version = (int64_t)term,
				.incarnation = incarnation };

	snprintf(row.vm, sizeof(row.vm), "%s", vm);
	snprintf(row.address, sizeof(row.address), "127.0.0.1:2");
	lead_row_read(&p.lead, &row, p.now);
}

static void set_policies(void)
{
	str_copy(p.set.order, RP_NAME_MAX, str_of("priority"));
	str_copy(p.set.admit, RP_NAME_MAX, str_of("priority"));
	str_copy(p.set.place, RP_NAME_MAX, str_of("slowest-on-time"));
	str_copy(p.set.move, RP_NAME_MAX, str_of("progress"));
	str_copy(p.set.hopeless, RP_NAME_MAX, str_of("bound"));
	str_copy(p.set.leave, RP_NAME_MAX, str_of("move"));
}

/* This VM leads, and has a job of one task. */
static void begin(void)
{
	static PoolSubmit sub = POOL_SUBMIT__INIT;
	static PoolStep step = POOL_STEP__INIT, *steps[] = { &step };
	int i;

	apr_initialize();
	apr_pool_create(&p.pool, NULL);
	snprintf(p.set.vm_name, sizeof(p.set.vm_name), "vm0");
	snprintf(p.set.link_address, sizeof(p.set.link_address), "127.0.0.1:1");
	p.watches = store.watches;
	for (i = 0; i < WATCHES; i++)
		store.watches[i].p = &p;
	store.unreadable_rows = hash_new(p.pool);
	p.requests = hash_new(p.pool);
	p.listings = hash_new(p.pool);
	set_policies();
	p.set.remote_factor = 2;
	p.set.max_lease = 1000;
	p.incarnation = 7;
	pool_loop_init(&p);
	pool_calls_init(&p);
	pool_agent_init(&p);
	pool_lead_init(&p);
	p.now = 10000;
	lead_by("vm0", 1, p.incarnation);
	cr_assert(p.leading);

	step.tasks = 1;
	step.cpu = 1000;
	step.estimate_ms = 100;
	sub.steps = steps;
	sub.n_steps = 1;
	sub.seq = r.seq;
	sub.id = "0123456789abcdef";
	sub.queue = sub.service = "q";
	r.submit = &sub;
	r.received_at = p.now;
	r.deadline = p.now + 1500;
	apr_hash_set(p.requests, &r.seq, sizeof(r.seq), &r);
	p.nopen++;
	pool_requests_resubmit(&p);
	cr_assert_eq(p.sched.njobs, 1);
}

TestSuite(pool_started, .init = begin);

/* The leader that the job is submitted to next, and what it is told. */
static uint64_t former_for_successor(void)
{
	lead_by("vm1", 2, 8);
	cr_assert(!p.leading);
	beat.agents = 1;
	p.leader_heartbeat = &beat;
	p.leader_link = &to_leader;
	pool_requests_resubmit(&p);
	p.leader_heartbeat = NULL;
	p.leader_link = NULL;
	free(to_leader.bulk.data);
	return r.submit->former;
}

static unsigned status_without_successor(void)
{
	lead_by("vm1", 2, 8);
	cr_assert(!p.leading);
	p.now += 2000;
	pool_requests_tick(&p, p.now);
	cr_assert_eq(r.seq, 0);
	cr_assert_eq(!r.response.retry_after_s, r.response.status != 503);
	return r.response.status;
}

/* Guards against a successor that waits for runs that there are not. */
Test(pool_started, a_job_that_its_leader_did_not_start_has_no_former_leader)
{
	cr_assert_eq(former_for_successor(), 0);
}

/* Guards against a second run of the task. */
Test(pool_started, a_job_that_its_leader_has_started_names_it_to_the_next)
{
	sched_job_started(p.sched.jobs);
	cr_assert_eq(former_for_successor(), LEAD_TOKEN(1));
}

/* A run of an earlier submission that the leader has adopted. */
Test(pool_started, a_job_of_which_a_run_was_adopted_names_its_leader)
{
	p.sched.jobs->prev_fence = LEAD_TOKEN(1);
	cr_assert_eq(former_for_successor(), LEAD_TOKEN(1));
}

/*
 * Guards against an answer that says that tasks may have run, after which a
 * caller can't submit the job again.
 */
Test(pool_started, a_job_that_its_own_leader_did_not_start_is_rejected)
{
	cr_assert_eq(status_without_successor(), 503);
}

/* Guards against a rejection of a job that runs. */
Test(pool_started, a_job_that_its_own_leader_has_started_is_not_rejected)
{
	sched_job_started(p.sched.jobs);
	cr_assert_eq(status_without_successor(), 504);
}

Test(pool_started, a_leader_that_stops_rejects_what_it_did_not_start)
{
	pool_requests_abort(&p);
	cr_assert_eq(r.response.status, 503);
	cr_assert_eq(p.sched.njobs, 0);
}

Test(pool_started, a_leader_that_stops_does_not_reject_what_it_has_started)
{
	sched_job_started(p.sched.jobs);
	pool_requests_abort(&p);
	cr_assert_eq(r.response.status, 504);
}

/*
 * Guards against a VM that follows and leads again, and has forgotten until
 * when the callers of its first term wait.
 */
Test(pool_started, the_next_term_knows_how_long_callers_wait)
{
	cr_assert_eq(pool_callers_wait_ms(&p), 1500);
	p.now += 100;
	lead_by("vm1", 2, 8);
	cr_assert_not(p.leading);
	cr_assert_eq(p.callers_wait_until, p.now + 1400);
	p.now += 100;
	lead_by("vm0", 3, p.incarnation);
	cr_assert(p.leading);
	cr_assert_eq(p.sched.callers_wait_until, p.now + 1300);
	cr_assert_eq(pool_callers_wait_ms(&p), 1300);
}
