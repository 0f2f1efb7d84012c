/* Jobs of a member of which the leader does not know whether it follows it. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>

#include "pool.h"

static struct pool p;
static struct pool_link l;
static unsigned starts;

static void on_start(struct sched *s, struct sched_target *t,
		     struct sched_task *task, int64_t until)
{
	(void)s;
	(void)t;
	(void)task;
	(void)until;
	starts++;
}

static void on_hold(struct sched *s, struct sched_target *t, int64_t until,
		    uint64_t acked_end, rp_ms wait)
{
	(void)s;
	(void)t;
	(void)until;
	(void)acked_end;
	(void)wait;
}

/* The owner knows of the domain already. */
static uint64_t on_domains(struct sched *s, struct sched_job *job)
{
	(void)s;
	(void)job;
	return 0;
}

static void on_log(struct sched *s, const char *event,
		   const struct sched_target *t, const struct sched_task *task,
		   const char *reason)
{
	(void)s;
	(void)event;
	(void)t;
	(void)task;
	(void)reason;
}

static const struct sched_ops ops = {
	.start = on_start,
	.hold = on_hold,
	.domains = on_domains,
	.log = on_log,
};

static void receive_hello(void)
{
	PoolHello hello = POOL_HELLO__INIT;
	PoolFrame frame = POOL_FRAME__INIT;

	hello.vm = "vm1";
	hello.address = "127.0.0.1:1";
	hello.incarnation = 7;
	hello.failure_domain = "z";
	hello.fence = p.lead.row.fence;
	hello.echoes = 1;
	frame.body_case = POOL_FRAME__BODY_HELLO;
	frame.hello = &hello;
	pool_frame_received(&l, &frame);
}

/* A heartbeat of the member, which has received the leader's of now. */
static void receive_echo(void)
{
	PoolBeat *beat = calloc(1, sizeof(*beat));
	PoolFrame frame = POOL_FRAME__INIT;

	pool_beat__init(beat);
	beat->fence = p.lead.row.fence;
	beat->echo = (uint64_t)p.now;
	frame.body_case = POOL_FRAME__BODY_BEAT;
	frame.beat = beat;
	pool_frame_received(&l, &frame);
	if (frame.body_case == POOL_FRAME__BODY_BEAT)
		free(beat);
}

static void receive_job_of(const char *id, uint64_t seq, uint64_t former)
{
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps = &step;
	PoolFrame frame = POOL_FRAME__INIT;

	step.tasks = 1;
	step.cpu = 1000;
	step.estimate_ms = 100;
	sub.seq = seq;
	sub.former = former;
	sub.id = (char *)id;
	sub.queue = "q";
	sub.service = "svc";
	sub.left_ms = 6000;
	sub.stretch = 20;
	sub.n_steps = 1;
	sub.steps = &steps;
	frame.body_case = POOL_FRAME__BODY_SUBMIT;
	frame.submit = &sub;
	pool_frame_received(&l, &frame);
}

static void receive_job(const char *id)
{
	static uint64_t seq;

	receive_job_of(id, ++seq, 0);
}

static void list_target(void)
{
	struct sched_listing listing = { .id = "t0",
					 .address = "10.0.0.1:1",
					 .service = "svc",
					 .ready = 1,
					 .incarnation = 1,
					 .capacity = { 4000, 4000, 0 } };

	sched_target_listed(&p.sched, &listing, p.now);
}

static void target_replies(void)
{
	struct sched_target_reply reply = { .status = SCHED_REPLY_OK,
					    .reason = "",
					    .sent_at = p.now,
					    .incarnation = 1,
					    .clock = p.now };

	sched_hold_reply(&p.sched, sched_find_target(&p.sched, "t0"), &reply,
			 p.now);
}

static void init_leader(void)
{
	const struct sched_policies all = { .admit = "all" };

	apr_initialize();
	apr_pool_create(&p.pool, NULL);
	p.targets_by_number = hash_new(p.pool);
	snprintf(p.set.vm_name, sizeof(p.set.vm_name), "vm0");
	p.leading = 1;
	p.now = p.balanced_at = 1000;
	p.lead.row.fence = LEAD_TOKEN(3);
	sched_init(&p.sched, &ops, &p, &all, p.lead.row.fence, 1000, p.now);
	l.p = &p;
	l.inbound = 1;
	list_target();
	receive_hello();
	receive_echo();
}

static void finish_leader(void)
{
	while (p.members) {
		struct pool_member *m = p.members;

		p.members = m->next;
		free(m);
	}
	pool_vms_read(&p);
	pool_assignment_free(&p, sched_find_target(&p.sched, "t0"));
	sched_finish(&p.sched);
	free(l.urgent.data);
	free(l.bulk.data);
	apr_pool_destroy(p.pool);
}

TestSuite(pool_silent, .init = init_leader, .fini = finish_leader);

static void dispatch_after(rp_ms ms)
{
	p.now += ms;
	pool_members_tick(&p, p.now);
	target_replies();
	sched_dispatch(&p.sched, p.now);
}

/*
 * The leader was frozen, or the member is cut off, and may follow another
 * leader that runs the job's tasks. Guards against running them twice.
 */
Test(pool_silent, nothing_starts_for_a_member_that_does_not_echo)
{
	receive_job("0000000000000001");
	dispatch_after(884);
	cr_assert_eq(starts, 0);
}

/* Before the link is closed, too, and for jobs that come over it. */
Test(pool_silent, nothing_starts_before_the_link_is_closed)
{
	receive_job("0000000000000001");
	dispatch_after(470);
	receive_job("0000000000000002");
	dispatch_after(10);
	cr_assert_eq(starts, 0);
	cr_assert_eq(p.sched.njobs, 2);
}

/* The member follows this leader after all. */
Test(pool_silent, jobs_start_once_the_member_echoes)
{
	receive_job("0000000000000001");
	dispatch_after(470);
	receive_echo();
	dispatch_after(10);
	cr_assert_eq(starts, 1);
}

/* The job's second submission, over the link that is there now. */
static void receive_job_again(uint64_t former)
{
	receive_job_of("0000000000000001", 1, former);
}

/*
 * The member was cut off for less than the time after which its jobs are
 * dropped, and may have followed a leader that has started them. Guards against
 * starts between its hello and its submissions.
 */
Test(pool_silent, nothing_starts_before_a_member_that_is_back_submits)
{
	receive_job("0000000000000001");
	pool_link_on_close(&l, "closed by the peer", 0);
	p.now += 100;
	receive_hello();
	receive_echo();
	dispatch_after(10);
	cr_assert_eq(starts, 0);
	/* Another leader may have started it: it waits for that one's runs. */
	receive_job_again(LEAD_TOKEN(3) + 1);
	dispatch_after(10);
	cr_assert_eq(starts, 0);
}

Test(pool_silent, jobs_start_once_a_member_that_is_back_submits_them)
{
	receive_job("0000000000000001");
	pool_link_on_close(&l, "closed by the peer", 0);
	p.now += 100;
	receive_hello();
	receive_echo();
	receive_job_again(LEAD_TOKEN(3));
	dispatch_after(10);
	cr_assert_eq(starts, 1);
	cr_assert_eq(p.sched.njobs, 1);
}

/*
 * A link that is closed tells that its member may have joined another leader.
 * Guards against starts before the next tick.
 */
Test(pool_silent, nothing_starts_once_the_link_is_closed)
{
	receive_job("0000000000000001");
	pool_link_on_close(&l, "closed by the peer", 0);
	target_replies();
	sched_dispatch(&p.sched, p.now);
	cr_assert_eq(starts, 0);
}
