/*
 * libcurl sends a request again if a connection that it has reused ends without
 * a reply. Guards against a refusal of the second sending that is taken for one
 * of both: a task is started elsewhere while it runs, or a caller is told that
 * a job was not taken that runs.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pool.h"

static struct pool p;
static struct pool_link leader_link;
static int server = -1;
static char address[RP_ADDRESS_MAX];
static long store_status = -1; /* that a call to the store was ended with */

static void begin(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);

	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	apr_pool_create(&p.pool, NULL);
	p.now = pool_clock();
	/* No copies of slow calls, which have tests of their own. */
	pool_loop_init(&p);
	pool_calls_init(&p);
	p.resend.mean = 5000;
	pool_agent_init(&p);
	leader_link.p = &p;
	p.leader_link = &leader_link;
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	cr_assert_eq(bind(server, (struct sockaddr *)&sa, len), 0);
	cr_assert_eq(listen(server, 8), 0);
	getsockname(server, (struct sockaddr *)&sa, &len);
	snprintf(address, sizeof(address), "127.0.0.1:%u",
		 (unsigned)ntohs(sa.sin_port));
}

static void finish(void)
{
	pool_agent_reset(&p);
	while (p.nidle_handles)
		curl_easy_cleanup(p.idle_handles[--p.nidle_handles]);
	curl_multi_cleanup(p.curl);
	free(leader_link.bulk.data);
	close(server);
	apr_pool_destroy(p.pool);
}

TestSuite(pool_repeated, .init = begin, .fini = finish, .timeout = 20);

static void run_once(void)
{
	struct epoll_event events[16];
	int i, n = epoll_wait(p.epoll, events, 16, 1);

	p.now = pool_clock();
	for (i = 0; i < n; i++) {
		struct pool_fd *f = events[i].data.ptr;

		if (f->events)
			f->on_event(f, events[i].events);
	}
	pool_calls_tick(&p);
}

static void run_until_ended(void)
{
	while (p.calls)
		run_once();
}

/* Runs the calls until the server can read from the connection. */
static void run_until_readable(int fd)
{
	char byte;

	while (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
		run_once();
}

/* The next connection, over which a request has come. */
static int accept_call(void)
{
	int fd;

	while ((fd = accept(server, NULL, NULL)) < 0)
		run_once();
	run_until_readable(fd);
	return fd;
}

static void answer(int fd, const char *text)
{
	char request[2048];

	cr_assert_gt(read(fd, request, sizeof(request)), 0);
	cr_assert_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
}

#define OK                                                                     \
	"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n"                        \
	"{\"clockMs\":5}"
#define UNAVAILABLE                                                            \
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

static void order_start(uint32_t run)
{
	PoolOrder order = POOL_ORDER__INIT;

	order.seq = run;
	order.target = 1;
	order.id = "i-1";
	order.address = pool_address_pack(address);
	order.fence = LEAD_TOKEN(1);
	order.lease_until = 5000;
	order.kind = POOL_ORDER__KIND__START;
	order.task = "0000000000000001.0.0.0";
	order.run = run;
	pool_order_received(&p, &order);
}

static void order_hold(uint32_t acked_end)
{
	PoolOrder order = POOL_ORDER__INIT;

	order.seq = 7;
	order.target = 1;
	order.id = "i-1";
	order.address = pool_address_pack(address);
	order.fence = LEAD_TOKEN(1);
	order.kind = POOL_ORDER__KIND__HOLD;
	order.acked_end = acked_end;
	pool_order_received(&p, &order);
}

static void on_store_reply(struct pool_call *c, long status, const char *body,
			   size_t len)
{
	(void)c;
	(void)body;
	(void)len;
	store_status = status;
}

static void write_to_store(uint32_t n)
{
	struct pool_call_spec spec = { .address = address,
				       .path = "/api/rows-tx",
				       .request = strdup("{}"),
				       .timeout = 10000,
				       .on_done = on_store_reply };

	(void)n;
	pool_call_begin(&p, &spec);
}

/*
 * The first call opens the connection. The second one reuses it, is read and
 * gets no reply as the connection ends; then it comes again and is refused.
 */
static void refuse_repeated(void (*call)(uint32_t n), const char *reply)
{
	char request[2048];
	int first, second;

	call(1);
	first = accept_call();
	answer(first, OK);
	run_until_ended();
	leader_link.bulk.len = 0;
	call(2);
	run_until_readable(first);
	cr_assert_gt(read(first, request, sizeof(request)), 0);
	close(first);
	second = accept_call();
	answer(second, reply);
	run_until_ended();
	close(second);
	cr_assert_eq(p.count.calls_repeated, 1);
}

static enum sched_reply_status status_told(void)
{
	PoolFrame *frame;
	enum sched_reply_status status;

	cr_assert_gt(leader_link.bulk.len, 0);
	frame = pool_frame__unpack(NULL, (size_t)leader_link.bulk.data[0],
				   (uint8_t *)leader_link.bulk.data + 1);
	cr_assert_not_null(frame);
	status = (enum sched_reply_status)frame->reply->status;
	pool_frame__free_unpacked(frame, NULL);
	return status;
}

Test(pool_repeated, a_refused_repeat_of_a_start_does_not_say_that_none_runs)
{
	refuse_repeated(order_start, UNAVAILABLE);
	cr_assert_eq(status_told(), SCHED_REPLY_UNCERTAIN);
}

/* The target has room for the run that the first sending has started. */
Test(pool_repeated, a_repeat_of_a_start_that_is_carried_out_counts)
{
	refuse_repeated(order_start, OK);
	cr_assert_eq(status_told(), SCHED_REPLY_OK);
}

Test(pool_repeated, a_refused_repeat_of_a_write_does_not_say_that_none_is_done)
{
	refuse_repeated(write_to_store, UNAVAILABLE);
	cr_assert_eq(store_status, 0);
}

/*
 * The connection may have ended as the target has restarted: the next
 * incarnation numbers its ends anew, and drops those that are acknowledged.
 */
Test(pool_repeated, a_hold_that_acknowledges_ends_is_not_repeated)
{
	char byte;
	int fd;

	order_hold(57);
	fd = accept_call();
	answer(fd, OK);
	run_until_ended();
	leader_link.bulk.len = 0;
	order_hold(58);
	run_until_readable(fd);
	close(fd);
	run_until_ended();
	/* libcurl connects before it asks whether it may send. */
	fd = accept(server, NULL, NULL);
	cr_assert_leq(recv(fd, &byte, 1, MSG_DONTWAIT), 0, "it is sent again");
	close(fd);
	cr_assert_eq(status_told(), SCHED_REPLY_UNKNOWN);
}

Test(pool_repeated, a_hold_that_acknowledges_none_is_repeated)
{
	int fd, again;

	order_hold(57);
	fd = accept_call();
	answer(fd, OK);
	run_until_ended();
	order_hold(0);
	run_until_readable(fd);
	close(fd);
	again = accept_call();
	answer(again, OK);
	run_until_ended();
	close(again);
	cr_assert_eq(p.count.calls_repeated, 1);
}

Test(pool_repeated, a_refusal_of_a_write_that_was_sent_once_counts)
{
	int fd;

	write_to_store(1);
	fd = accept_call();
	answer(fd, UNAVAILABLE);
	run_until_ended();
	close(fd);
	cr_assert_eq(store_status, 503);
}
