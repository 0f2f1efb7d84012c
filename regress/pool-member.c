/* Members of a leader, from the messages that they send. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool.h"

static struct pool p;
static struct pool_link l;

static const struct sched_ops no_ops;

static void no_change(struct lead *lead)
{
	(void)lead;
}

static const struct lead_ops lead_ops = { .changed = no_change };

static void init_leader(void)
{
	apr_initialize();
	snprintf(p.set.vm_name, sizeof(p.set.vm_name), "vm0");
	p.leading = 1;
	p.now = 1000;
	p.lead.row.fence = LEAD_TOKEN(3);
	sched_init(&p.sched, &no_ops, &p, NULL, p.lead.row.fence, 1000, p.now);
	l.p = &p;
	l.inbound = 1;
}

static void finish_leader(void)
{
	while (p.members) {
		struct pool_member *m = p.members;

		p.members = m->next;
		free(m);
	}
	pool_vms_read(&p);
	sched_finish(&p.sched);
	free(l.urgent.data);
	free(l.bulk.data);
}

TestSuite(pool_member, .init = init_leader, .fini = finish_leader);

static void receive_hello(uint64_t fence)
{
	PoolHello hello = POOL_HELLO__INIT;
	PoolFrame frame = POOL_FRAME__INIT;

	hello.vm = "vm1";
	hello.address = "127.0.0.1:1";
	hello.incarnation = 7;
	hello.processor = 250;
	hello.failure_domain = "z";
	hello.fence = fence;
	hello.echoes = 1;
	frame.body_case = POOL_FRAME__BODY_HELLO;
	frame.hello = &hello;
	pool_frame_received(&l, &frame);
}

Test(pool_member, a_vm_that_dials_this_leader_joins)
{
	receive_hello(LEAD_TOKEN(3));
	cr_assert_not_null(pool_find_member(&p, "vm1"));
	cr_assert_not_null(l.member);
}

/*
 * A link that was opened in an earlier term of this VM delivers its messages
 * late. Its jobs were submitted to another leader since.
 */
Test(pool_member, a_late_hello_of_an_earlier_term_is_refused)
{
	receive_hello(LEAD_TOKEN(1));
	cr_assert_null(pool_find_member(&p, "vm1"));
	cr_assert_null(l.member);
	/* The VM learns of the present term, in case it is not late. */
	cr_assert_gt(l.urgent.len, 0);
}

/* A heartbeat of the member, which has received the leader's of this time. */
static void receive_echo(rp_ms clock)
{
	PoolBeat *beat = calloc(1, sizeof(*beat));
	PoolFrame frame = POOL_FRAME__INIT;

	pool_beat__init(beat);
	beat->fence = p.lead.row.fence;
	beat->echo = (uint64_t)clock;
	frame.body_case = POOL_FRAME__BODY_BEAT;
	frame.beat = beat;
	pool_frame_received(&l, &frame);
	if (frame.body_case == POOL_FRAME__BODY_BEAT)
		free(beat);
}

static void receive_job(void)
{
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps = &step;
	PoolFrame frame = POOL_FRAME__INIT;

	step.tasks = 1;
	step.cpu = 1000;
	step.estimate_ms = 100;
	sub.seq = 1;
	sub.id = "0000000000000001";
	sub.queue = "q";
	sub.service = "svc";
	sub.left_ms = 1500;
	sub.n_steps = 1;
	sub.steps = &steps;
	frame.body_case = POOL_FRAME__BODY_SUBMIT;
	frame.submit = &sub;
	l.closed = 0;
	pool_frame_received(&l, &frame);
}

/* Reads the job without the policy for admission, which needs targets. */
static void join(void)
{
	const struct sched_policies all = { .admit = "all" };

	sched_finish(&p.sched);
	sched_init(&p.sched, &no_ops, &p, &all, p.lead.row.fence, 1000, p.now);
	receive_hello(LEAD_TOKEN(3));
}

Test(pool_member, a_job_of_a_member_that_echoes_is_taken)
{
	join();
	receive_echo(p.now);
	p.now += 300;
	receive_job();
	cr_assert_eq(p.sched.njobs, 1);
}

/*
 * The link was silent for 1.7 s and delivers what was sent meanwhile. The owner
 * has submitted the job to another leader, which has run it. Guards against
 * running it a second time.
 */
Test(pool_member, a_job_that_comes_late_is_not_taken)
{
	join();
	receive_echo(p.now);
	p.now += 1700;
	l.received_at = p.now;
	receive_job();
	cr_assert_eq(p.sched.njobs, 0);
	cr_assert(l.closed);
}

/* The same, with a link that was opened while the network was silent. */
Test(pool_member, a_job_before_the_first_echo_is_not_taken)
{
	join();
	receive_job();
	cr_assert_eq(p.sched.njobs, 0);
	cr_assert(l.closed);
}

/* Data that arrives late keeps a link alive, but not the jobs of its member. */
Test(pool_member, a_member_whose_echoes_are_old_is_removed)
{
	receive_hello(LEAD_TOKEN(3));
	receive_echo(p.now);
	p.now += 600;
	l.received_at = p.now;
	pool_members_tick(&p, p.now);
	cr_assert_null(l.member);
}

/*
 * The store has named this VM, and is too slow to tell it. Members that have
 * read the row were refused until it did. Guards against that.
 */
Test(pool_member, a_member_tells_a_leader_that_its_claim_succeeded)
{
	PoolHello hello = POOL_HELLO__INIT;
	PoolFrame frame = POOL_FRAME__INIT;

	hello.vm = "vm1";
	hello.address = "127.0.0.1:1";
	hello.fence = LEAD_TOKEN(4);
	hello.leader_incarnation = 9;
	p.leading = 0;
	p.incarnation = 9;
	p.lead.incarnation = 9;
	p.lead.claimed_fence = LEAD_TOKEN(4);
	p.lead.role = LEAD_FOLLOWING;
	snprintf(p.lead.vm, sizeof(p.lead.vm), "vm0");
	p.lead.ops = &lead_ops;
	frame.body_case = POOL_FRAME__BODY_HELLO;
	frame.hello = &hello;
	pool_frame_received(&l, &frame);
	cr_assert_eq(p.lead.role, LEAD_LEADING);
	cr_assert_eq(p.lead.row.fence, LEAD_TOKEN(4));
}

/* The row names an earlier process of this VM. */
Test(pool_member, a_claim_of_an_earlier_process_is_none_of_this_one)
{
	PoolHello hello = POOL_HELLO__INIT;
	PoolFrame frame = POOL_FRAME__INIT;

	hello.vm = "vm1";
	hello.address = "127.0.0.1:1";
	hello.fence = LEAD_TOKEN(4);
	hello.leader_incarnation = 8;
	p.leading = 0;
	p.incarnation = 9;
	p.lead.role = LEAD_FOLLOWING;
	frame.body_case = POOL_FRAME__BODY_HELLO;
	frame.hello = &hello;
	pool_frame_received(&l, &frame);
	cr_assert_eq(p.lead.role, LEAD_FOLLOWING);
}

static struct pool_vm other_vm;

static void know_other_vm(void)
{
	snprintf(other_vm.vm, sizeof(other_vm.vm), "vm1");
	snprintf(other_vm.failure_domain, sizeof(other_vm.failure_domain), "z");
	p.vms = &other_vm;
}

/*
 * A link delivers old data while its VM is cut off, and follows another leader.
 * Guards against a leader that takes it for linked: it would go on with stored
 * jobs, and acknowledge ends of the VM's jobs.
 */
Test(pool_member, a_vm_whose_echoes_are_old_is_not_linked)
{
	know_other_vm();
	receive_hello(LEAD_TOKEN(3));
	receive_echo(p.now);
	cr_assert(pool_all_vms_linked(&p));
	p.now += 480;
	l.received_at = p.now;
	cr_assert_not(pool_all_vms_linked(&p));
	cr_assert(pool_owner_may_be_missing(&p));
	p.vms = NULL;
}

/*
 * The row of a VM is removed when it begins to stop, and it still has jobs.
 * Guards against acknowledging their ends while it is cut off.
 */
Test(pool_member, a_vm_that_stops_may_own_jobs)
{
	know_other_vm();
	p.set.grace = 6000;
	pool_vm_left(&p, "vm1");
	cr_assert(pool_all_vms_linked(&p));
	cr_assert(pool_owner_may_be_missing(&p));
	p.now += 6000;
	cr_assert_not(pool_owner_may_be_missing(&p));
	p.vms = NULL;
}

/*
 * The VM at the leader's address leads an earlier term, and drops jobs of this
 * one. Guards against a job that counts as sent, and is answered as if it might
 * have run.
 */
Test(pool_member, a_heartbeat_of_another_term_takes_no_jobs)
{
	PoolBeat beat = POOL_BEAT__INIT, *copy;
	PoolFrame frame = POOL_FRAME__INIT;

	p.leading = 0;
	p.requests = hash_new(p.sched.pool);
	p.lead.role = LEAD_FOLLOWING;
	p.leader_link = &l;
	beat.vm = "vm1";
	beat.leader = "vm1";
	beat.leading = 1;
	beat.fence = LEAD_TOKEN(2);
	copy = pool_heartbeat_copy(&beat);
	frame.body_case = POOL_FRAME__BODY_BEAT;
	frame.beat = copy;
	pool_frame_received(&l, &frame);
	cr_assert_not(pool_can_submit(&p));
	beat.fence = LEAD_TOKEN(3);
	copy = pool_heartbeat_copy(&beat);
	frame.body_case = POOL_FRAME__BODY_BEAT;
	frame.beat = copy;
	pool_frame_received(&l, &frame);
	cr_assert(pool_can_submit(&p));
	pool_beat__free_unpacked(l.heartbeat, NULL);
	pool_beat__free_unpacked(p.leader_heartbeat, NULL);
	l.heartbeat = p.leader_heartbeat = NULL;
}

/*
 * A caller left while the link to the leader was down, so that the leader was
 * not told. Guards against a leader that starts the job's tasks again and again
 * until the job expires.
 */
Test(pool_member, a_start_of_a_job_that_is_over_cancels_it)
{
	PoolStart start = POOL_START__INIT;
	PoolStartTask task = POOL_START_TASK__INIT, *tasks = &task;
	PoolFrame frame = POOL_FRAME__INIT;

	p.leading = 0;
	p.requests = hash_new(p.sched.pool);
	p.lead.role = LEAD_FOLLOWING;
	p.leader_link = &l;
	task.target = "t0";
	start.job = 9;
	start.tasks = &tasks;
	start.n_tasks = 1;
	frame.body_case = POOL_FRAME__BODY_START;
	frame.start = &start;
	pool_frame_received(&l, &frame);
	cr_assert_gt(p.count.sent_bytes[POOL_FRAME__BODY_REPLY], 0);
	cr_assert_gt(p.count.sent_bytes[POOL_FRAME__BODY_CANCEL], 0);
}

static void receive_leaders_beat(int brief, int confirmed, uint32_t wait_ms)
{
	PoolBeat *beat = calloc(1, sizeof(*beat));
	PoolFrame frame = POOL_FRAME__INIT;

	pool_beat__init(beat);
	beat->fence = brief ? 0 : p.lead.row.fence;
	beat->leading = 1;
	beat->brief = brief;
	beat->list_confirmed = confirmed;
	beat->callers_wait_ms = wait_ms;
	frame.body_case = POOL_FRAME__BODY_BEAT;
	frame.beat = beat;
	pool_frame_received(&l, &frame);
	if (frame.body_case == POOL_FRAME__BODY_BEAT)
		pool_beat__free_unpacked(beat, NULL);
}

/*
 * A heartbeat that is brief takes back that the list is confirmed. Guards
 * against a successor that goes by an old one.
 */
Test(pool_member, a_brief_heartbeat_tells_whether_the_list_is_confirmed)
{
	p.leading = 0;
	p.requests = hash_new(p.sched.pool);
	p.lead.role = LEAD_FOLLOWING;
	p.lead.ops = &lead_ops;
	p.leader_link = &l;
	receive_leaders_beat(0, 1, 0);
	cr_assert_eq(p.list_confirmed_fence, LEAD_TOKEN(3));
	receive_leaders_beat(1, 0, 0);
	cr_assert_eq(p.list_confirmed_fence, 0);
	pool_beat__free_unpacked(p.leader_heartbeat, NULL);
	pool_beat__free_unpacked(l.heartbeat, NULL);
	p.leader_heartbeat = l.heartbeat = NULL;
}

/*
 * Most heartbeats are brief. Guards against a successor that forgets before
 * the callers of jobs that the leader has had since the last full one.
 */
Test(pool_member, heartbeats_tell_how_long_callers_wait)
{
	rp_ms begin = p.now;

	p.leading = 0;
	p.requests = hash_new(p.sched.pool);
	p.lead.role = LEAD_FOLLOWING;
	p.lead.ops = &lead_ops;
	p.leader_link = &l;
	receive_leaders_beat(0, 0, 2000);
	cr_assert_eq(p.callers_wait_until, begin + 2000);
	receive_leaders_beat(1, 0, 30000);
	cr_assert_eq(p.callers_wait_until, begin + 30000);
	p.now += 1000;
	receive_leaders_beat(1, 0, 500);
	cr_assert_eq(p.callers_wait_until, begin + 30000);
	pool_beat__free_unpacked(p.leader_heartbeat, NULL);
	pool_beat__free_unpacked(l.heartbeat, NULL);
	p.leader_heartbeat = l.heartbeat = NULL;
}
