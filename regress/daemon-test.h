#ifndef DAEMON_TEST_H
#define DAEMON_TEST_H

/*
 * Harness for tests of the daemon's modules: a daemon without a kernel, which
 * records the events instead, and a small HTTP server whose replies, also
 * malformed or missing ones, are given by the test. Include it in one source
 * file per program only. With TEST_WITH_KERNEL defined, events are passed to a
 * real kernel.
 */

#include <apr_general.h>
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon.h"

#define TEST_EVENTS_MAX 4096
#define TEST_WAIT_MS 5000
#define TEST_PORT_FIRST 20500
#define TEST_PORT_LAST 20899

/* A copy of an event, with a reference to the body that it borrows. */
struct test_event {
	struct rp_event ev;
	struct rp_blob *body; /* reply or peer message; NULL if none */
};

static struct test_event test_events[TEST_EVENTS_MAX];
static atomic_int test_nevents;
static struct settings test_settings;
static struct daemon test_daemon;

#ifndef TEST_WITH_KERNEL
static pthread_mutex_t test_lock = PTHREAD_MUTEX_INITIALIZER;

/* Replaces the function of the daemon: records the event. */
void daemon_handle_event(struct daemon *d, const struct rp_event *ev)
{
	struct test_event *t;

	(void)d;
	pthread_mutex_lock(&test_lock);
	t = &test_events[atomic_load(&test_nevents)];
	t->ev = *ev;
	if (ev->type == RP_EVENT_TARGET_REPLY && ev->reply.body)
		t->body = rp_blob_ref(ev->reply.body);
	if (ev->type == RP_EVENT_LOOKUP_REPLY && ev->lookup.body)
		t->body = rp_blob_ref(ev->lookup.body);
	if (ev->type == RP_EVENT_PEER_MESSAGE)
		t->body = rp_blob_new(ev->peer.data, ev->peer.len);
	atomic_fetch_add(&test_nevents, 1);
	pthread_mutex_unlock(&test_lock);
}
#endif

/* Waits until n events have been recorded; returns the n-th. */
static inline const struct test_event *test_wait_event(int n)
{
	rp_ms end = daemon_now() + TEST_WAIT_MS;

	while (atomic_load(&test_nevents) < n && daemon_now() < end)
		apr_sleep(apr_time_from_msec(1));
	cr_assert_geq(atomic_load(&test_nevents), n, "got %d events, want %d",
		      atomic_load(&test_nevents), n);
	return &test_events[n - 1];
}

/* Initializes libraries and settings for tests; starts no thread. */
static inline struct daemon *test_daemon_start(void)
{
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	test_settings.target_threads = 2;
	test_settings.target_idle = 64;
	test_settings.target_idle_age = 60000;
	test_settings.connect_timeout = 500;
	test_settings.max_result = 1000;
	test_settings.peer_message = 100000;
	test_settings.peer_queue = 1 << 20;
	test_settings.peer_connections = 8;
	test_settings.peer_idle = 60000;
	test_settings.platform_calls = 4;
	test_daemon.settings = &test_settings;
	apr_pool_create(&test_daemon.pool, NULL);
	daemon_limits_init(&test_daemon);
	return &test_daemon;
}

static inline void test_daemon_stop(void)
{
	int i;

	for (i = 0; i < atomic_load(&test_nevents); i++)
		rp_blob_unref(test_events[i].body);
	apr_pool_destroy(test_daemon.pool);
	curl_global_cleanup();
	apr_terminate();
}

/* Returns -1 if the port is in use. A socket that failed cannot be bound again.
 */
static inline int test_open_port(int port, int listens)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &listens, sizeof(listens));
	if (!bind(fd, (struct sockaddr *)&sa, sizeof(sa)) &&
	    (!listens || !listen(fd, 64)))
		return fd;
	close(fd);
	return -1;
}

static inline int test_open_free_port(char *address, int listens)
{
	int port, fd;

	for (port = TEST_PORT_FIRST + getpid() % 300; port < TEST_PORT_LAST;
	     port++) {
		fd = test_open_port(port, listens);
		if (fd < 0)
			continue;
		snprintf(address, RP_ADDRESS_MAX, "127.0.0.1:%d", port);
		return fd;
	}
	cr_assert_fail("no free port");
	return -1;
}

/* Listens on a free port; writes "ip:port" and returns the socket. */
static inline int test_listen(char *address)
{
	return test_open_free_port(address, 1);
}

/*
 * Takes a free port at which connections are refused. While the socket is open,
 * no other test that runs at the same time gets the port, and with it what is
 * sent to it.
 */
static inline int test_refuse(char *address)
{
	return test_open_free_port(address, 0);
}

/*
 * An HTTP server that replies to the n-th request of each connection with
 * replies[n]. CLOSE closes the connection without a reply; SILENT sends nothing
 * and keeps it open. The last reply before NULL is sent for later requests too.
 */
#define CLOSE "close"
#define SILENT ""

/* Connections that are served at the same time. */
#define TEST_SERVER_THREADS 16

struct test_server {
	char address[RP_ADDRESS_MAX];
	const char *const *replies;
	int fd;
	atomic_int connections;
	atomic_int requests;
	atomic_int stopping;
	atomic_int hold_replies; /* wait with replies until cleared */
	atomic_int open_connections;
	atomic_int running;	 /* threads */
	char last_request[4096]; /* with header and body */
	pthread_t threads[TEST_SERVER_THREADS];
};

/* Reads a request with its body. Returns 0 when the connection was closed. */
static inline int test_read_request(struct test_server *s, int fd, char *buf,
				    size_t max)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	size_t len = 0, want = 0;
	char *end, *length;

	for (;;) {
		ssize_t n;

		buf[len] = '\0';
		end = strstr(buf, "\r\n\r\n");
		if (end) {
			length = strstr(buf, "Content-Length: ");
			want = (size_t)(end + 4 - buf) +
			       (length ? strtoul(length + 16, NULL, 10) : 0);
			if (len >= want)
				return 1;
		}
		while (poll(&p, 1, 10) == 0)
			if (atomic_load(&s->stopping))
				return 0;
		n = read(fd, buf + len, max - len - 1);
		if (n <= 0)
			return 0;
		len += (size_t)n;
	}
}

static inline void test_serve_conn(struct test_server *s, int fd)
{
	const char *const *reply = s->replies;
	char buf[4096];

	while (test_read_request(s, fd, buf, sizeof(buf))) {
		memcpy(s->last_request, buf, sizeof(buf));
		atomic_fetch_add(&s->requests, 1);
		while (atomic_load(&s->hold_replies) &&
		       !atomic_load(&s->stopping))
			apr_sleep(1000);
		if (!strcmp(*reply, CLOSE))
			break;
		if (**reply && write(fd, *reply, strlen(*reply)) < 0)
			break;
		if (reply[1])
			reply++;
	}
	close(fd);
	atomic_fetch_sub(&s->open_connections, 1);
}

/* Accepts a connection and serves it until it is closed. */
static inline void *test_server_main(void *arg)
{
	struct test_server *s = arg;

	atomic_fetch_add(&s->running, 1);
	while (!atomic_load(&s->stopping)) {
		struct pollfd p = { .fd = s->fd, .events = POLLIN };
		int fd;

		if (poll(&p, 1, 10) <= 0)
			continue;
		fd = accept(s->fd, NULL, NULL);
		if (fd < 0)
			continue; /* another thread has it */
		atomic_fetch_add(&s->connections, 1);
		atomic_fetch_add(&s->open_connections, 1);
		test_serve_conn(s, fd);
	}
	return NULL;
}

/*
 * Returns when all threads run. On a busy machine a new thread begins up to a
 * second late, which a call with a timeout of 500 ms would take for no reply.
 */
static inline void test_server_start(struct test_server *s,
				     const char *const *replies)
{
	int i;

	memset(s, 0, sizeof(*s));
	s->replies = replies;
	s->fd = test_listen(s->address);
	fcntl(s->fd, F_SETFL, O_NONBLOCK);
	for (i = 0; i < TEST_SERVER_THREADS; i++)
		pthread_create(&s->threads[i], NULL, test_server_main, s);
	while (atomic_load(&s->running) < TEST_SERVER_THREADS)
		apr_sleep(1000);
}

static inline void test_server_stop(struct test_server *s)
{
	int i;

	atomic_store(&s->stopping, 1);
	for (i = 0; i < TEST_SERVER_THREADS; i++)
		pthread_join(s->threads[i], NULL);
	close(s->fd);
}

#endif
