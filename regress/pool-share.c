/*
 * What the leader tells others: the list of targets to VMs that do not read it,
 * and starts to the owners of jobs.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

#include "pool-request.h"

static struct pool leader, other;
static struct pool_link to_other, to_leader;
static struct pool_member member;

static const struct sched_ops no_ops;

static void init_pools(void)
{
	apr_initialize();
	apr_pool_create(&leader.pool, NULL);
	apr_pool_create(&other.pool, NULL);
	leader.listings = hash_new(leader.pool);
	other.listings = hash_new(other.pool);
	other.requests = hash_new(other.pool);
	pool_agent_init(&other);
	leader.leading = 1;
	leader.now = other.now = 1000;
	sched_init(&leader.sched, &no_ops, &leader, NULL, LEAD_TOKEN(1), 1000,
		   leader.now);
	sched_targets_loaded(&leader.sched);
	to_other.p = &leader;
	to_leader.p = &other;
	other.leader_link = &to_leader;
	snprintf(other.set.link_address, sizeof(other.set.link_address),
		 "10.0.0.2:1");
	snprintf(member.vm, sizeof(member.vm), "vm1");
	snprintf(member.failure_domain, sizeof(member.failure_domain), "z");
	member.link = &to_other;
	leader.members = &member;
}

static void finish_pools(void)
{
	sched_finish(&leader.sched);
	apr_pool_destroy(leader.pool);
	apr_pool_destroy(other.pool);
	free(to_other.bulk.data);
	free(to_leader.bulk.data);
}

TestSuite(pool_share, .init = init_pools, .fini = finish_pools);

/* Takes the next frame that was queued on the link. */
static PoolFrame *next_frame(struct pool_link *l)
{
	const unsigned char *u = (const unsigned char *)l->bulk.data;
	size_t header = 0, n = 0, size;
	PoolFrame *frame;

	if (!l->bulk.len)
		return NULL;
	do
		n |= (size_t)(u[header] & 127) << (7 * header);
	while (u[header++] & 128);
	frame = pool_frame__unpack(NULL, n, u + header);
	size = header + n;
	l->bulk.len -= size;
	memmove(l->bulk.data, l->bulk.data + size, l->bulk.len);
	return frame;
}

/* Passes all lists that the leader has queued to the other VM. */
static size_t deliver_lists(void)
{
	PoolFrame *frame;
	size_t n = 0;

	pool_share_flush(&leader);
	while ((frame = next_frame(&to_other))) {
		cr_assert_eq(frame->body_case, POOL_FRAME__BODY_LISTINGS);
		n += frame->listings->n_listings;
		pool_listings_received(&other, frame->listings);
		pool_frame__free_unpacked(frame, NULL);
	}
	return n;
}

static void list_target(const char *id, int ready, int64_t version)
{
	struct sched_listing l;

	memset(&l, 0, sizeof(l));
	snprintf(l.id, sizeof(l.id), "%s", id);
	snprintf(l.address, sizeof(l.address), "10.0.0.9:80");
	snprintf(l.service, sizeof(l.service), "s");
	snprintf(l.labels[l.nlabels++], RP_NAME_MAX, "rack-1");
	l.incarnation = 77;
	l.ready = ready;
	l.capacity.cpu = 16000;
	pool_share_listed(&leader, &l, version);
	pool_share_read_up_to(&leader, version);
}

static const struct pool_listing *known(struct pool *p, const char *id)
{
	return apr_hash_get(p->listings, id, APR_HASH_KEY_STRING);
}

Test(pool_share, a_vm_learns_of_targets_from_the_leader)
{
	list_target("a", 1, 5);
	list_target("b", 1, 6);
	cr_assert_eq(deliver_lists(), 2);
	cr_assert(!memcmp(&known(&other, "a")->l, &known(&leader, "a")->l,
			  sizeof(struct sched_listing)));
	cr_assert_eq(other.listing_version, 6);
	/* A heartbeat of a target is no change. */
	list_target("a", 1, 7);
	cr_assert_eq(deliver_lists(), 0);
	list_target("a", 0, 8);
	cr_assert_eq(deliver_lists(), 1);
	cr_assert_eq(known(&other, "a")->l.ready, 0);
}

/* A server that had left must not be in use at a provisional leader. */
Test(pool_share, a_removal_is_passed_on)
{
	list_target("a", 1, 5);
	deliver_lists();
	pool_share_removed(&leader, "a", 6);
	pool_share_read_up_to(&leader, 6);
	cr_assert_eq(deliver_lists(), 1);
	cr_assert(known(&other, "a")->removed);
}

/* A VM that joins again is sent what has changed since, also removals. */
Test(pool_share, a_vm_that_joins_again_gets_what_it_missed)
{
	list_target("a", 1, 5);
	list_target("b", 1, 6);
	deliver_lists();
	member.gets_listings = 0;
	member.listing_version = other.listing_version;
	member.link = NULL;
	pool_share_removed(&leader, "a", 8);
	list_target("c", 1, 9);
	pool_share_flush(&leader);
	member.link = &to_other;
	leader.now += 1000;
	cr_assert_eq(deliver_lists(), 2);
	cr_assert(known(&other, "a")->removed);
	cr_assert(!known(&other, "c")->removed);
	cr_assert_eq(other.listing_version, 9);
}

/*
 * One frame with the whole list delayed heartbeats on a slow link, and beyond
 * some ten thousand targets no VM would have taken it.
 */
Test(pool_share, a_long_list_is_sent_in_small_frames)
{
	PoolFrame *frame;
	size_t n = 0;
	int i;

	for (i = 0; i < 20000; i++) {
		char id[16];

		snprintf(id, sizeof(id), "i-%d", i);
		list_target(id, 1, 5);
	}
	pool_share_flush(&leader);
	cr_assert_eq(to_other.closed, 0);
	while ((frame = next_frame(&to_other))) {
		cr_assert_leq(pool_frame__get_packed_size(frame), 32768);
		n += frame->listings->n_listings;
		/* Only the last frame says that the list is complete. */
		pool_listings_received(&other, frame->listings);
		cr_assert_eq(other.listing_version == 5, n == 20000);
		pool_frame__free_unpacked(frame, NULL);
	}
	cr_assert_eq(n, 20000);
}

/* Asks the other VM, as the owner of job 4, to start two tasks. */
static void receive_start(uint64_t fence)
{
	PoolStart start = POOL_START__INIT;
	PoolStartTask tasks[2], *ptrs[] = { &tasks[0], &tasks[1] };
	uint32_t i;

	for (i = 0; i < 2; i++) {
		pool_start_task__init(&tasks[i]);
		tasks[i].seq = 20 + i;
		tasks[i].task = i;
		tasks[i].run = 1;
		tasks[i].target = "t";
		tasks[i].agent = pool_address_pack("10.0.0.3:1");
	}
	start.job = 4;
	start.fence = fence;
	start.tasks = ptrs;
	start.n_tasks = 2;
	pool_start_received(&other, &start);
}

/* "Not made" must be true: the job is gone, and nobody was asked. */
Test(pool_share, a_start_of_a_job_that_is_over_is_not_made)
{
	PoolFrame *frame;
	uint32_t seq;

	receive_start(LEAD_TOKEN(1));
	cr_assert_null(other.links);
	for (seq = 20; seq < 22; seq++) {
		frame = next_frame(&to_leader);
		cr_assert_eq(frame->body_case, POOL_FRAME__BODY_REPLY);
		cr_assert_eq(frame->reply->seq, seq);
		cr_assert_eq(frame->reply->status, SCHED_REPLY_NOT_SENT);
		pool_frame__free_unpacked(frame, NULL);
	}
}

/* A start of another leader than the agent's must not reach a target. */
Test(pool_share, an_agent_drops_starts_of_another_leader)
{
	struct pool_link from_owner = { .p = &other,
					.inbound = 1,
					.starts = 1 };
	PoolRunTask task = POOL_RUN_TASK__INIT, *tasks[] = { &task };
	PoolRun run = POOL_RUN__INIT;

	other.lead.row.fence = LEAD_TOKEN(2);
	task.target = "t";
	run.fence = LEAD_TOKEN(1);
	run.id = "0123456789abcdef";
	run.tasks = tasks;
	run.n_tasks = 1;
	pool_run_received(&other, &from_owner, &run);
	cr_assert_null(other.calls);
	cr_assert_eq(other.count.target_calls, 0);
	/* It is acknowledged, as the link is in order. */
	cr_assert_eq(from_owner.runs_received, 1);
}

/*
 * The owner keeps the specification, so nobody starts a task without asking it.
 * Guards against a next leader that waits for runs that there are not, and
 * against one that does not wait though there are.
 */
Test(pool_share,
     an_owner_tells_the_next_leader_whether_it_was_asked_for_a_start)
{
	struct pool_request r = { .p = &other, .seq = 4 };
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolBeat beat = POOL_BEAT__INIT;

	beat.agents = 1;
	other.leader_link->greeted = 1;
	other.leader_heartbeat = &beat;
	other.set.max_lease = 1000;
	sub.id = "0123456789abcdef";
	sub.queue = sub.service = "q";
	r.submit = &sub;
	r.deadline = other.now + 1000;
	apr_hash_set(other.requests, &r.seq, sizeof(r.seq), &r);
	other.lead.row.fence = LEAD_TOKEN(1);
	pool_requests_resubmit(&other);
	cr_assert_eq(sub.former, 0);
	other.lead.row.fence = LEAD_TOKEN(2);
	pool_requests_resubmit(&other);
	cr_assert_eq(sub.former, 0);
	receive_start(LEAD_TOKEN(2));
	other.lead.row.fence = LEAD_TOKEN(3);
	pool_requests_resubmit(&other);
	cr_assert_eq(sub.former, LEAD_TOKEN(2));
	other.leader_heartbeat = NULL;
	other.links = NULL;
}

/* A job that the leader does not answer; agents: this VM keeps its text. */
static unsigned status_without_answer(int agents, uint64_t asked_by)
{
	struct pool_request r = { .p = &other, .seq = 4, .fd.fd = -1 };
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolBeat beat = POOL_BEAT__INIT;

	beat.agents = agents;
	other.leader_link->greeted = 1;
	other.leader_heartbeat = &beat;
	other.set.max_lease = 1000;
	other.lead.row.fence = LEAD_TOKEN(1);
	sub.id = "0123456789abcdef";
	sub.queue = sub.service = "q";
	r.submit = &sub;
	r.received_at = other.now;
	r.deadline = other.now + 1000;
	apr_hash_set(other.requests, &r.seq, sizeof(r.seq), &r);
	other.nopen++;
	pool_requests_resubmit(&other);
	if (asked_by)
		receive_start(asked_by);
	other.leader_link = NULL; /* it is lost, and none comes */
	other.now += 2000;
	pool_requests_tick(&other, other.now);
	other.leader_heartbeat = NULL;
	cr_assert_eq(r.seq, 0);
	cr_assert_eq(!r.response.retry_after_s, r.response.status != 503);
	return r.response.status;
}

/*
 * The specification has not left this VM, and no start was asked of it: none
 * will be made, as the job is closed. Guards against an answer that says that
 * tasks may have run, after which a caller can't submit the job again.
 */
Test(pool_share, a_job_that_no_leader_could_start_is_rejected)
{
	cr_assert_eq(status_without_answer(1, 0), 503);
	other.links = NULL;
}

/* Guards against a rejection of a job that runs. */
Test(pool_share, a_job_of_which_a_start_was_asked_is_not_rejected)
{
	cr_assert_eq(status_without_answer(1, LEAD_TOKEN(1)), 504);
	other.links = NULL;
}

/* The leader has the specification, and starts tasks by itself. */
Test(pool_share, a_job_whose_specification_was_sent_is_not_rejected)
{
	cr_assert_eq(status_without_answer(0, 0), 504);
	other.links = NULL;
}

/* A start that arrives after the rejection. Guards against a run of it. */
Test(pool_share, a_job_that_was_rejected_is_not_started)
{
	struct pool_link *l = other.leader_link;

	cr_assert_eq(status_without_answer(1, 0), 503);
	other.leader_link = l;
	receive_start(LEAD_TOKEN(1));
	cr_assert_null(other.calls);
	cr_assert_eq(other.count.target_calls, 0);
	other.links = NULL;
}

/*
 * A provisional leader has started a task, and two regular ones follow in short
 * order. Guards against the second of them examining only the first, whose runs
 * it can all know, and starting the task again.
 */
Test(pool_share, the_first_leader_that_may_have_started_tasks_is_not_forgotten)
{
	struct pool_request r = { .p = &other, .seq = 4 };
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolBeat beat = POOL_BEAT__INIT;

	beat.agents = 1;
	other.leader_link->greeted = 1;
	other.leader_heartbeat = &beat;
	other.set.max_lease = 1000;
	sub.id = "0123456789abcdef";
	sub.queue = sub.service = "q";
	r.submit = &sub;
	r.deadline = other.now + 1000;
	apr_hash_set(other.requests, &r.seq, sizeof(r.seq), &r);
	other.lead.row.fence = LEAD_TOKEN(1) | 7;
	pool_requests_resubmit(&other);
	receive_start(LEAD_TOKEN(1) | 7);
	other.lead.row.fence = LEAD_TOKEN(2);
	pool_requests_resubmit(&other);
	cr_assert_eq(sub.former, LEAD_TOKEN(1) | 7);
	other.lead.row.fence = LEAD_TOKEN(3);
	pool_requests_resubmit(&other);
	cr_assert_eq(sub.former, LEAD_TOKEN(1) | 7);
	other.leader_heartbeat = NULL;
	other.links = NULL;
}

/*
 * The same with a regular leader before the provisional one, whose domain was
 * cut off. Guards against the next regular leader examining the first alone.
 */
Test(pool_share, a_provisional_leader_that_has_started_tasks_is_told)
{
	struct pool_request r = { .p = &other };

	r.sent_fence = LEAD_TOKEN(1);
	pool_request_may_be_started(&r);
	cr_assert_eq(r.started_fence, LEAD_TOKEN(1));
	r.sent_fence = LEAD_TOKEN(1) | 7;
	pool_request_may_be_started(&r);
	cr_assert_eq(r.started_fence, LEAD_TOKEN(1) | 7);
	r.sent_fence = LEAD_TOKEN(2);
	pool_request_may_be_started(&r);
	cr_assert_eq(r.started_fence, LEAD_TOKEN(1) | 7);
}

/* The time at which a target leaves is told by the clock that all VMs share. */
Test(pool_share, the_time_of_leaving_is_passed_on)
{
	struct sched_listing l;

	memset(&l, 0, sizeof(l));
	snprintf(l.id, sizeof(l.id), "a");
	l.stays = 2000;
	other.now = leader.now + 77000;
	leader.store_clock_offset = 500000;
	other.store_clock_offset = 500000 - 77000;
	pool_share_listed(&leader, &l, 5);
	pool_share_read_up_to(&leader, 5);
	deliver_lists();
	cr_assert_eq(known(&other, "a")->leaves_at, other.now + 2000);
}

/*
 * A submission was delivered late and rejected, while another leader had
 * started the job. Guards against telling its owner that the job has not run.
 */
Test(pool_share,
     a_rejection_is_not_sent_again_when_another_leader_may_have_started)
{
	PoolAnswer answer = POOL_ANSWER__INIT;
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps = &step;
	PoolFrame *frame;

	step.tasks = 1;
	sub.steps = &steps;
	sub.n_steps = 1;
	answer.seq = 4;
	answer.outcome = POOL_ANSWER__OUTCOME__REJECTED;
	answer.reason = "";
	pool_send_answer(&leader, &member, &answer);
	pool_frame__free_unpacked(next_frame(&to_other), NULL);
	sub.seq = 4;
	sub.id = "0123456789abcdef";
	sub.queue = sub.service = "q";
	pool_schedule_job(&leader, &member, &sub);
	frame = next_frame(&to_other);
	cr_assert_eq(frame->body_case, POOL_FRAME__BODY_ANSWER);
	pool_frame__free_unpacked(frame, NULL);
	sub.former = LEAD_TOKEN(1) | 7;
	sub.stored = 1; /* it is not rejected once more */
	pool_schedule_job(&leader, &member, &sub);
	cr_assert_null(next_frame(&to_other));
}
