/* Calls that an agent sends again, to a target that is played by the test. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pool.h"

static struct pool p;
static struct pool_link leader_link;
static int target = -1;

static void init_agent(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);

	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	apr_pool_create(&p.pool, NULL);
	p.now = pool_clock();
	pool_loop_init(&p);
	pool_calls_init(&p);
	pool_agent_init(&p);
	leader_link.p = &p;
	p.leader_link = &leader_link;
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	target = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert_eq(bind(target, (struct sockaddr *)&sa, len), 0);
	cr_assert_eq(listen(target, 8), 0);
}

static void finish_agent(void)
{
	pool_agent_reset(&p);
	free(leader_link.bulk.data);
	close(target);
	curl_multi_cleanup(p.curl);
	apr_pool_destroy(p.pool);
}

TestSuite(pool_resend, .init = init_agent, .fini = finish_agent, .timeout = 20);

/* Runs the agent's events for some ms. */
static void run_for(rp_ms ms)
{
	rp_ms until = pool_clock() + ms;
	struct epoll_event events[16];

	while (pool_clock() < until) {
		int i, n = epoll_wait(p.epoll, events, 16, 2);

		p.now = pool_clock();
		for (i = 0; i < n; i++) {
			struct pool_fd *f = events[i].data.ptr;

			if (f->events)
				f->on_event(f, events[i].events);
		}
		pool_calls_tick(&p);
		pool_resend_tick(&p);
	}
}

/* Reads the request that comes over the next connection, and returns this. */
static int read_request(char *to, size_t size)
{
	int fd = accept(target, NULL, NULL);
	ssize_t n;

	cr_assert_geq(fd, 0);
	n = read(fd, to, size - 1);
	cr_assert_gt(n, 0);
	to[n] = '\0';
	/* The connection stays open without an answer. */
	return fd;
}

static void address_order(PoolOrder *order, char *address, size_t size)
{
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);

	getsockname(target, (struct sockaddr *)&sa, &len);
	snprintf(address, size, "127.0.0.1:%u", (unsigned)ntohs(sa.sin_port));
	order->seq = 1;
	order->target = 1;
	order->id = "i-1";
	order->address = pool_address_pack(address);
	order->fence = LEAD_TOKEN(1);
	order->lease_until = 5000;
}

/*
 * The copy of a hold may reach another incarnation of the target, which numbers
 * its ends anew. An end that is acknowledged unseen is lost.
 */
Test(pool_resend, a_copy_of_a_hold_acknowledges_no_ends)
{
	char first[2048], copy[2048], address[32];
	PoolOrder order = POOL_ORDER__INIT;

	address_order(&order, address, sizeof(address));
	order.kind = POOL_ORDER__KIND__HOLD;
	order.acked_end = 57;
	order.wait_ms = 10;
	pool_order_received(&p, &order);
	run_for(50);
	cr_assert_geq(p.count.calls_resent, 1);
	read_request(first, sizeof(first));
	read_request(copy, sizeof(copy));
	cr_assert_not_null(strstr(first, "\"lastSeen\":57"), "%s", first);
	cr_assert_not_null(strstr(copy, "\"lastSeen\":0"), "%s", copy);
	/* The reply of none of them: it is told once. */
	run_for(100);
	cr_assert_null(p.calls);
	cr_assert_gt(leader_link.bulk.len, 0);
}

/*
 * Has the agent start a task on a target that answers the copy of the call
 * alone. Returns what the agent tells the leader.
 */
static PoolFrame *answer_copy_of_start(const char *answer)
{
	char request[2048], address[32];
	PoolOrder order = POOL_ORDER__INIT;
	PoolFrame *frame;
	int fd;

	address_order(&order, address, sizeof(address));
	order.kind = POOL_ORDER__KIND__START;
	order.task = "0000000000000001.0.0.0";
	order.run = 1;
	pool_order_received(&p, &order);
	run_for(35);
	cr_assert_geq(p.count.calls_resent, 1);
	read_request(request, sizeof(request));
	fd = read_request(request, sizeof(request));
	cr_assert_eq(write(fd, answer, strlen(answer)),
		     (ssize_t)strlen(answer));
	run_for(20);
	cr_assert_gt(leader_link.bulk.len, 0);
	cr_assert_lt(leader_link.bulk.data[0], 128);
	frame = pool_frame__unpack(NULL, (size_t)leader_link.bulk.data[0],
				   (uint8_t *)leader_link.bulk.data + 1);
	cr_assert_not_null(frame);
	return frame;
}

/* The other copy may have been carried out, or may yet be. */
Test(pool_resend, a_refused_copy_of_a_start_does_not_say_that_none_runs)
{
	PoolFrame *frame = answer_copy_of_start("HTTP/1.1 409 Conflict\r\n"
						"Content-Length: 29\r\n\r\n"
						"{\"clockMs\":5,\"reason\":"
						"\"room\"}");

	cr_assert_eq(frame->reply->status, SCHED_REPLY_UNCERTAIN);
	cr_assert_not(frame->reply->lossy);
	pool_frame__free_unpacked(frame, NULL);
}

/*
 * The reply to a copy hides that the call itself has none. A reply that is only
 * slow does not count: few calls are lost then.
 */
Test(pool_resend, the_leader_learns_that_a_call_may_be_late)
{
	PoolFrame *frame;

	p.resend.loss = 0.3;
	frame = answer_copy_of_start("HTTP/1.1 200 OK\r\n"
				     "Content-Length: 13\r\n\r\n"
				     "{\"clockMs\":5}");
	cr_assert_eq(frame->reply->status, SCHED_REPLY_OK);
	cr_assert(frame->reply->lossy);
	pool_frame__free_unpacked(frame, NULL);
}

/* Ends the call as a target would that answers, or when its time is over. */
static void end_call(struct pool_call *c, int lost)
{
	p.now += lost ? 0 : 2;
	pool_call_end(c, lost ? 0 : 200, "", 0);
}

static void ignore_reply(struct pool_call *c, long status, const char *body,
			 size_t len)
{
	(void)c;
	(void)status;
	(void)body;
	(void)len;
}

/*
 * Makes a call of which two copies are sent as they are due. Returns whether
 * one was due and not sent. lost is asked for each, the call first.
 */
static int misses_copy(int (*lost)(void))
{
	struct pool_call_spec spec = { .address = "127.0.0.1:1",
				       .path = "/",
				       .header = "",
				       .request = strdup("{}"),
				       .timeout = 60,
				       .on_done = ignore_reply };
	struct pool_call *c = pool_call_new(&p, &spec), *copy;
	unsigned i;

	pool_resend_enable(c, &spec, 0, NULL);
	if (!lost()) {
		end_call(c, 0);
		return 0;
	}
	for (i = 0; i < 2; i++) {
		p.now += 25;
		pool_resend_tick(&p);
		copy = c->resend->copies[i];
		if (!copy) {
			end_call(c, 1);
			return 1;
		}
		if (!lost()) {
			end_call(copy, 0);
			return 0;
		}
	}
	while ((copy = p.calls) != c)
		end_call(copy, 1);
	end_call(c, 1);
	return 0;
}

static int two_of_five_are_lost(void)
{
	static unsigned state = 1;

	state = state * 1103515245u + 12345u;
	return (state >> 16) % 5 < 2;
}

static int all_are_lost(void)
{
	return 1;
}

/*
 * Targets leave two of five calls unanswered for seconds. Guards against calls
 * that are not sent again though most are answered: each is a target that gets
 * nothing until it replies, and room that stays taken.
 */
Test(pool_resend, calls_are_sent_again_while_most_are_answered)
{
	unsigned i, missed = 0;

	for (i = 0; i < 5000; i++)
		missed += (unsigned)misses_copy(two_of_five_are_lost);
	cr_assert_eq(missed, 0, "%u of %llu", missed,
		     (unsigned long long)p.count.calls_resent);
}

/* Whether the call had no reply, nor any of its copies. */
static int is_unanswered(int (*lost)(void))
{
	struct pool_call_spec spec = { .address = "127.0.0.1:1",
				       .path = "/",
				       .header = "",
				       .request = strdup("{}"),
				       .timeout = pool_reply_timeout(&p),
				       .on_done = ignore_reply };
	struct pool_call *c = pool_call_new(&p, &spec);
	rp_ms until = p.now + spec.timeout;
	unsigned sent = 0;

	pool_resend_enable(c, &spec, 0, NULL);
	if (!lost()) {
		end_call(c, 0);
		return 0;
	}
	for (; p.now < until; p.now++) {
		pool_resend_tick(&p);
		if (c->resend->ncopies == sent)
			continue;
		sent = c->resend->ncopies;
		if (!lost()) {
			end_call(p.calls, 0);
			return 0;
		}
	}
	while (p.calls != c)
		end_call(p.calls, 1);
	end_call(c, 1);
	return 1;
}

/*
 * Two of five calls are lost. With two copies 64 of 1000 calls have no reply,
 * with four 10. Guards against targets that get nothing though they are well.
 */
Test(pool_resend, few_calls_have_no_reply_while_most_are_answered)
{
	unsigned i, unanswered = 0;

	for (i = 0; i < 5000; i++)
		unanswered += (unsigned)is_unanswered(two_of_five_are_lost);
	cr_assert_leq(unanswered, 100, "%u", unanswered);
}

/* Guards against more load on targets that do not answer at all. */
Test(pool_resend, copies_end_when_no_call_is_answered)
{
	unsigned i, missed = 0;

	for (i = 0; i < 1000; i++)
		missed += (unsigned)misses_copy(all_are_lost);
	cr_assert_eq(p.count.calls_resent, 100);
	cr_assert_eq(missed, 950);
}
