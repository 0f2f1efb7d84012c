/*
 * Counts of waiting jobs on a VM that does not lead. Guards against 0 for a
 * queue that the leader's heartbeat leaves out for want of room, and against
 * callers that make the leader answer a message for each of their requests.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool-request.h"
#include "sched-int.h"

#define QUEUES 421 /* with those that a deployment adds at once */

static struct pool leader, other;
static struct pool_link to_other, to_leader;
static struct pool_member member = { .vm = "vm1", .link = &to_other };
static int resumed;

/* There are no connections: the tests take the place of the HTTP server. */
void MHD_suspend_connection(struct MHD_Connection *conn)
{
	(void)conn;
}

void MHD_resume_connection(struct MHD_Connection *conn)
{
	(void)conn;
	resumed++;
}

static const struct sched_ops no_ops;

static void init_pools(void)
{
	apr_initialize();
	apr_pool_create(&leader.pool, NULL);
	apr_pool_create(&other.pool, NULL);
	other.requests = hash_new(other.pool);
	leader.leading = 1;
	leader.now = other.now = 100000;
	sched_init(&leader.sched, &no_ops, &leader, NULL, LEAD_TOKEN(1), 1000,
		   leader.now);
	leader.sched.stored_jobs_loaded = 1;
	leader.members = &member;
	to_other.p = &leader;
	to_leader.p = &other;
	to_leader.greeted = 1;
	other.leader_link = &to_leader;
	other.lead.role = LEAD_FOLLOWING;
	other.lead.row.fence = LEAD_TOKEN(1);
	other.lead.row.incarnation = 5;
}

static void finish_pools(void)
{
	sched_finish(&leader.sched);
	pool_counts_finish(&other);
	pool_beat__free_unpacked(other.leader_heartbeat, NULL);
	free(to_other.bulk.data);
	free(to_other.urgent.data);
	free(to_leader.bulk.data);
	apr_pool_destroy(leader.pool);
	apr_pool_destroy(other.pool);
}

TestSuite(pool_waiting, .init = init_pools, .fini = finish_pools,
	  .timeout = 20);

/* Takes the next frame of what was queued, or returns NULL. */
static PoolFrame *take_frame(struct pool_out *out)
{
	const unsigned char *u = (const unsigned char *)out->data;
	size_t header = 0, n = 0;
	PoolFrame *frame;

	if (!out->len)
		return NULL;
	do
		n |= (size_t)(u[header] & 0x7f) << (7 * header);
	while (u[header++] & 0x80);
	frame = pool_frame__unpack(NULL, n, u + header);
	out->len -= header + n;
	memmove(out->data, u + header + n, out->len);
	return frame;
}

static void set_waiting(size_t i, unsigned jobs)
{
	char name[16];

	snprintf(name, sizeof(name), "q%zu", i);
	sched_get_queue(&leader.sched, name, 1)->nwaiting = jobs;
}

/* Queue i has i + 1 waiting jobs. */
static void fill_queues(size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		set_waiting(i, (unsigned)i + 1);
}

/* Has the leader send a heartbeat; returns whether it was a brief one. */
static int send_heartbeat(void)
{
	PoolFrame *frame;
	int brief;

	leader.now += LEAD_HEARTBEAT_MS;
	other.now += LEAD_HEARTBEAT_MS;
	pool_send_heartbeats(&leader);
	frame = take_frame(&to_other.urgent);
	cr_assert_not_null(frame);
	brief = frame->beat->brief;
	if (!brief) {
		pool_beat__free_unpacked(other.leader_heartbeat, NULL);
		other.leader_heartbeat = pool_heartbeat_copy(frame->beat);
	}
	other.lead.heartbeat_at = other.now;
	pool_frame__free_unpacked(frame, NULL);
	return brief;
}

/* Passes frames between the VMs; returns how many queries there were. */
static size_t exchange(void)
{
	PoolFrame *frame;
	size_t n = 0;

	while ((frame = take_frame(&to_leader.bulk))) {
		cr_assert_eq(frame->body_case, POOL_FRAME__BODY_COUNT_QUERY);
		cr_assert_leq(frame->count_query->n_queues, 64);
		pool_count_query_received(&leader, &to_other,
					  frame->count_query);
		pool_frame__free_unpacked(frame, NULL);
		n++;
	}
	while ((frame = take_frame(&to_other.bulk))) {
		pool_count_reply_received(&other, frame->count_reply);
		pool_frame__free_unpacked(frame, NULL);
	}
	return n;
}

static struct pool_request *ask(size_t i)
{
	struct pool_request *r = pool_request_new(&other, "GET", "/q/");
	char name[16];

	snprintf(name, sizeof(name), "q%zu", i);
	r->deadline = other.now + 5000;
	cr_assert(pool_request_await_count(r, name));
	return r;
}

static enum pool_count count_of(size_t i, unsigned *jobs)
{
	char name[16];

	snprintf(name, sizeof(name), "q%zu", i);
	return pool_waiting_jobs(&other, name, jobs);
}

Test(pool_waiting, a_list_with_all_queues_needs_no_query)
{
	unsigned jobs, i, n = 0;

	fill_queues(POOL_WAITING_MAX - 1);
	send_heartbeat();
	for (i = 0; i < QUEUES; i++) {
		cr_assert_eq(count_of(i, &jobs), POOL_COUNT_KNOWN);
		n += jobs != 0;
	}
	cr_assert_eq(n, POOL_WAITING_MAX - 1);
}

Test(pool_waiting, a_queue_that_a_full_list_leaves_out_is_not_empty)
{
	unsigned jobs, i, unknown = 0;

	fill_queues(QUEUES);
	send_heartbeat();
	cr_assert(other.leader_heartbeat->more_waiting);
	for (i = 0; i < QUEUES; i++)
		switch (count_of(i, &jobs)) {
		case POOL_COUNT_KNOWN:
			cr_assert_eq(jobs, i + 1);
			break;
		case POOL_COUNT_TO_ASK:
			unknown++;
			break;
		default:
			cr_assert(0);
		}
	cr_assert_eq(unknown, QUEUES - POOL_WAITING_MAX);
}

/* A leader of an earlier release does not say that it has left some out. */
Test(pool_waiting, a_list_of_the_greatest_length_may_have_been_cut)
{
	unsigned jobs;

	fill_queues(POOL_WAITING_MAX);
	send_heartbeat();
	cr_assert_not(other.leader_heartbeat->more_waiting);
	cr_assert_eq(count_of(QUEUES, &jobs), POOL_COUNT_TO_ASK);
}

/* Brief heartbeats leave the list out, so it must not be out of date. */
Test(pool_waiting, one_more_queue_than_fits_is_told_at_once)
{
	fill_queues(POOL_WAITING_MAX);
	send_heartbeat();
	cr_assert(send_heartbeat());
	set_waiting(POOL_WAITING_MAX, 1);
	cr_assert_not(send_heartbeat());
	cr_assert(send_heartbeat());
	set_waiting(POOL_WAITING_MAX, 0);
	cr_assert_not(send_heartbeat());
}

/* Returns the first queue that the heartbeat leaves out. */
static size_t first_left_out(void)
{
	unsigned jobs;
	size_t i = 0;

	while (count_of(i, &jobs) != POOL_COUNT_TO_ASK)
		i++;
	return i;
}

Test(pool_waiting, the_leader_is_asked_for_what_is_left_out)
{
	struct pool_request *r;
	unsigned jobs;
	size_t i;

	fill_queues(QUEUES);
	send_heartbeat();
	i = first_left_out();
	r = ask(i);
	pool_counts_flush(&other);
	cr_assert_eq(exchange(), 1);
	cr_assert_eq(resumed, 1);
	cr_assert_eq(other.nopen, 0);
	cr_assert_eq(count_of(i, &jobs), POOL_COUNT_KNOWN);
	cr_assert_eq(jobs, i + 1);
	pool_request_free(r);
	/* A count is not kept for long. */
	set_waiting(i, 7);
	send_heartbeat();
	other.now += 1000;
	other.lead.heartbeat_at = other.now;
	cr_assert_eq(count_of(i, &jobs), POOL_COUNT_TO_ASK);
}

/* A queue that exists nowhere but in a route is asked for as well. */
Test(pool_waiting, a_queue_without_jobs_has_none)
{
	struct pool_request *r;
	unsigned jobs;

	fill_queues(QUEUES);
	send_heartbeat();
	r = ask(QUEUES + 1);
	pool_counts_flush(&other);
	exchange();
	cr_assert_eq(count_of(QUEUES + 1, &jobs), POOL_COUNT_KNOWN);
	cr_assert_eq(jobs, 0);
	pool_request_free(r);
}

Test(pool_waiting, a_leader_that_has_not_read_all_jobs_does_not_tell)
{
	struct pool_request *r;
	unsigned jobs;
	size_t i;

	fill_queues(QUEUES);
	send_heartbeat();
	i = first_left_out();
	leader.sched.stored_jobs_loaded = 0;
	r = ask(i);
	pool_counts_flush(&other);
	exchange();
	cr_assert_eq(resumed, 0);
	cr_assert_eq(count_of(i, &jobs), POOL_COUNT_TO_ASK);
	/* The caller is told after a while that it is not known. */
	other.now += 1000;
	other.lead.heartbeat_at = other.now;
	pool_counts_tick(&other);
	cr_assert_eq(resumed, 1);
	cr_assert_not(pool_request_await_count(r, "q"));
	pool_request_free(r);
}

/* A reply to a query of before must not be taken for that of the next one. */
Test(pool_waiting, a_late_reply_is_ignored)
{
	PoolFrame *frame;
	unsigned jobs;
	struct pool_request *r, *second;
	size_t i;

	fill_queues(QUEUES);
	send_heartbeat();
	i = first_left_out();
	r = ask(i);
	pool_counts_flush(&other);
	frame = take_frame(&to_leader.bulk);
	pool_count_query_received(&leader, &to_other, frame->count_query);
	pool_frame__free_unpacked(frame, NULL);
	other.now += 1000;
	other.lead.heartbeat_at = other.now;
	second = ask(QUEUES + 1);
	pool_counts_flush(&other);
	frame = take_frame(&to_other.bulk);
	pool_count_reply_received(&other, frame->count_reply);
	pool_frame__free_unpacked(frame, NULL);
	cr_assert_eq(count_of(QUEUES + 1, &jobs), POOL_COUNT_TO_ASK);
	cr_assert_eq(exchange(), 1);
	cr_assert_eq(count_of(QUEUES + 1, &jobs), POOL_COUNT_KNOWN);
	cr_assert_eq(jobs, 0);
	pool_request_free(r);
	pool_request_free(second);
}

/* Guards against a count that is never known on a link with a long delay. */
Test(pool_waiting, a_reply_over_a_slow_link_is_awaited)
{
	struct pool_request *r;
	unsigned jobs;
	size_t i;

	fill_queues(QUEUES);
	send_heartbeat();
	i = first_left_out();
	r = ask(i);
	pool_counts_flush(&other);
	other.now += 600;
	other.lead.heartbeat_at = other.now;
	pool_counts_flush(&other);
	cr_assert_eq(exchange(), 1);
	cr_assert_eq(count_of(i, &jobs), POOL_COUNT_KNOWN);
	cr_assert_eq(resumed, 1);
	pool_request_free(r);
}

/* 2,000 requests for all queues of a site within a second. */
Test(pool_waiting, a_crowd_costs_a_bounded_number_of_messages)
{
	struct pool_request *r[2000];
	size_t queries = 0, i, ms;

	fill_queues(QUEUES);
	send_heartbeat();
	for (i = 0; i < 2000; i++)
		r[i] = ask(i % QUEUES);
	for (ms = 0; ms < 500; ms++) {
		other.now++;
		other.lead.heartbeat_at = other.now;
		pool_counts_flush(&other);
		queries += exchange();
	}
	pool_counts_tick(&other);
	cr_assert_eq(resumed, 2000);
	cr_assert_leq(queries, QUEUES / 64 + 1);
	for (i = 0; i < 2000; i++)
		pool_request_free(r[i]);
	cr_assert_eq(other.nopen, 0);
}
