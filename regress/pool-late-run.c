/*
 * Starts that are held up on their way from the leader to the agent. Guards
 * against an agent that makes one which the leader has given up and stopped: a
 * target that has restarted since would carry it out, beside its other runs
 * and those of the task elsewhere.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pool-request.h"

#define LEADER_CLOCK 5000 /* by the latest heartbeat */

static struct pool p;
static struct pool_link to_leader, from_owner;
static int listener = -1;
static uint64_t listener_address;

static void listen_on_loopback(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);
	char address[RP_ADDRESS_MAX];

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	listener = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert_eq(bind(listener, (struct sockaddr *)&sa, len), 0);
	cr_assert_eq(listen(listener, 8), 0);
	getsockname(listener, (struct sockaddr *)&sa, &len);
	snprintf(address, sizeof(address), "127.0.0.1:%u", ntohs(sa.sin_port));
	listener_address = pool_address_pack(address);
}

static void begin(void)
{
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	apr_pool_create(&p.pool, NULL);
	p.now = 1000;
	p.requests = hash_new(p.pool);
	pool_loop_init(&p);
	pool_calls_init(&p);
	pool_agent_init(&p);
	listen_on_loopback();
	p.lead.row.fence = LEAD_TOKEN(1);
	to_leader.p = from_owner.p = &p;
	to_leader.greeted = 1;
	to_leader.peer_clock = LEADER_CLOCK;
	to_leader.peer_clock_at = p.now;
	p.leader_link = &to_leader;
	from_owner.inbound = from_owner.starts = 1;
}

static void finish(void)
{
	while (p.calls)
		pool_call_end(p.calls, 0, NULL, 0);
	while (p.nidle_handles)
		curl_easy_cleanup(p.idle_handles[--p.nidle_handles]);
	curl_multi_cleanup(p.curl);
	free(to_leader.bulk.data);
	close(listener);
	apr_pool_destroy(p.pool);
}

TestSuite(pool_late_run, .init = begin, .fini = finish);

/* Takes the next frame that was queued on the link. */
static PoolFrame *next_frame(struct pool_link *l)
{
	const unsigned char *u = (const unsigned char *)l->bulk.data;
	size_t header = 0, n = 0;
	PoolFrame *frame;

	if (!l->bulk.len)
		return NULL;
	do
		n |= (size_t)(u[header] & 127) << (7 * header);
	while (u[header++] & 128);
	frame = pool_frame__unpack(NULL, n, u + header);
	l->bulk.len -= header + n;
	memmove(l->bulk.data, l->bulk.data + header + n, l->bulk.len);
	return frame;
}

/* The owner has passed on a start that the leader asked it for then. */
static void receive_run(uint64_t asked_at)
{
	PoolRunTask task = POOL_RUN_TASK__INIT, *tasks[] = { &task };
	PoolRun run = POOL_RUN__INIT;

	task.seq = 20;
	task.run = 1;
	task.target = "t";
	task.target_address = listener_address;
	run.fence = LEAD_TOKEN(1);
	run.id = "0123456789abcdef";
	run.asked_at = asked_at;
	run.tasks = tasks;
	run.n_tasks = 1;
	pool_run_received(&p, &from_owner, &run);
}

static void check_not_made(void)
{
	PoolFrame *frame = next_frame(&to_leader);

	cr_assert_eq(p.count.target_calls, 0);
	cr_assert_not_null(frame, "the leader is told");
	cr_assert_eq(frame->body_case, POOL_FRAME__BODY_REPLY);
	cr_assert_eq(frame->reply->seq, 20);
	cr_assert_eq(frame->reply->status, SCHED_REPLY_NOT_SENT);
	pool_frame__free_unpacked(frame, NULL);
	cr_assert_null(next_frame(&to_leader));
}

Test(pool_late_run, an_agent_makes_no_start_that_its_leader_has_given_up)
{
	p.now += 100;
	receive_run(LEADER_CLOCK + 100 - POOL_ORDER_TIMEOUT_MS);
	check_not_made();
}

/* It was frozen, and reads the start before the leader's next heartbeat. */
Test(pool_late_run, an_agent_makes_no_start_before_it_hears_the_leader)
{
	to_leader.greeted = 0;
	to_leader.peer_clock = 0;
	receive_run(LEADER_CLOCK);
	check_not_made();
}

Test(pool_late_run, an_agent_makes_starts_that_are_awaited)
{
	receive_run(LEADER_CLOCK - POOL_ORDER_TIMEOUT_MS + 1);
	cr_assert_eq(p.count.target_calls, 1);
	/* The leader's latest heartbeat may be older than the start. */
	receive_run(LEADER_CLOCK + 50);
	cr_assert_eq(p.count.target_calls, 2);
	/* A leader of an earlier release does not tell. */
	receive_run(0);
	cr_assert_eq(p.count.target_calls, 3);
	/* Another VM may send any number. */
	receive_run((uint64_t)1 << 63);
	cr_assert_eq(p.count.target_calls, 4);
}

Test(pool_late_run, the_owner_passes_on_when_the_leader_has_asked)
{
	struct pool_request r = { .p = &p, .seq = 4 };
	PoolStart start = POOL_START__INIT;
	PoolStartTask task = POOL_START_TASK__INIT, *tasks[] = { &task };
	PoolStep step = POOL_STEP__INIT, *steps[] = { &step };
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolFrame *frame;

	step.tasks = 1;
	sub.id = "0123456789abcdef";
	sub.steps = steps;
	sub.n_steps = 1;
	r.submit = &sub;
	apr_hash_set(p.requests, &r.seq, sizeof(r.seq), &r);
	task.target = "t";
	task.agent = listener_address;
	start.job = 4;
	start.fence = LEAD_TOKEN(1);
	start.asked_at = 4321;
	start.tasks = tasks;
	start.n_tasks = 1;
	pool_start_received(&p, &start);
	frame = next_frame(p.links);
	cr_assert_eq(frame->body_case, POOL_FRAME__BODY_RUN);
	cr_assert_eq(frame->run->asked_at, 4321);
	pool_frame__free_unpacked(frame, NULL);
	pool_link_close(p.links, "");
	pool_links_flush(&p);
}

Test(pool_late_run, the_leader_tells_when_it_asks_for_a_start)
{
	struct pool_link to_owner = { .p = &p };
	struct pool_member owner = { .vm = "vm1", .link = &to_owner };
	PoolFrame *frame;

	p.starts.owner = &owner;
	p.starts.n = 1;
	p.starts.ptrs[0] = &p.starts.tasks[0];
	pool_start_task__init(p.starts.ptrs[0]);
	pool_starts_flush(&p);
	frame = next_frame(&to_owner);
	cr_assert_eq(frame->body_case, POOL_FRAME__BODY_START);
	cr_assert_eq(frame->start->asked_at, 1000);
	pool_frame__free_unpacked(frame, NULL);
	free(to_owner.bulk.data);
}
