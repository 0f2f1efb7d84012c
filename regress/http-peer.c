/* Connections between entry VMs: framing, failures, resets and limits. */

#include "daemon-test.h"

static struct daemon *d;

static void start_peer_thread(void)
{
	int fd;

	d = test_daemon_start();
	fd = test_listen(test_settings.peer_listen);
	close(fd);
	cr_assert_eq(peer_start(d), 0);
}

static void stop_peer_thread(void)
{
	peer_stop(d);
	test_daemon_stop();
}

static void send_message(const char *name, const char *address,
			 const void *data, size_t len)
{
	struct rp_action act = { .type = RP_ACTION_PEER };

	snprintf(act.peer.name, sizeof(act.peer.name), "%s", name);
	snprintf(act.peer.address, sizeof(act.peer.address), "%s", address);
	act.peer.data = rp_blob_new(data, len);
	peer_execute(d, &act);
	cr_assert_null(act.peer.data);
}

static void reset_link(const char *name)
{
	struct rp_action act = { .type = RP_ACTION_PEER_RESET };

	snprintf(act.peer.name, sizeof(act.peer.name), "%s", name);
	peer_execute(d, &act);
}

static int connect_blocking(const char *address)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1));
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	cr_assert_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	return fd;
}

/* Starts a connect without waiting for it to complete. */
static int connect_nonblocking(const char *address)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	sa.sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1));
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	(void)!connect(fd, (struct sockaddr *)&sa, sizeof(sa));
	return fd;
}

/* Returns whether the peer closes the connection within a second. */
static int is_closed_soon(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	char c;

	return poll(&p, 1, 1000) == 1 && read(fd, &c, 1) <= 0;
}

/* Accepts a connection within a second. Returns -1 when none arrives. */
static int accept_soon(int listener)
{
	struct pollfd p = { .fd = listener, .events = POLLIN };

	return poll(&p, 1, 1000) == 1 ? accept(listener, NULL, NULL) : -1;
}

static void read_bytes(int fd, char *buf, size_t n)
{
	size_t at = 0;

	while (at < n) {
		ssize_t got = read(fd, buf + at, n - at);

		cr_assert_gt(got, 0);
		at += (size_t)got;
	}
}

TestSuite(peer, .init = start_peer_thread, .fini = stop_peer_thread,
	  .timeout = 30);

Test(peer, frames_are_written_in_order)
{
	char address[RP_ADDRESS_MAX];
	int listener = test_listen(address);
	char buf[11];
	int fd;

	send_message("e2", address, "abc", 3);
	send_message("e2", address, "", 0);
	fd = accept_soon(listener);
	cr_assert_geq(fd, 0);
	read_bytes(fd, buf, sizeof(buf));
	cr_assert_arr_eq(buf, "\0\0\0\3abc\0\0\0\0", sizeof(buf));
	cr_assert_eq(atomic_load(&test_nevents), 0);
	close(fd);
	close(listener);
}

Test(peer, split_frames_are_assembled)
{
	static const char bytes[] = "\0\0\0\3abc\0\0\0\0\0\0\0\2de";
	int fd = connect_blocking(test_settings.peer_listen);
	size_t i;

	for (i = 0; i < sizeof(bytes) - 1; i++) {
		cr_assert_eq(write(fd, bytes + i, 1), 1);
		apr_sleep(apr_time_from_msec(1));
	}
	cr_assert_eq(test_wait_event(3)->body->len, 2);
	cr_assert_eq(test_wait_event(2)->body->len, 0);
	cr_assert_arr_eq(test_wait_event(1)->body->data, "abc", 3);
	cr_assert_eq(test_wait_event(1)->ev.type, RP_EVENT_PEER_MESSAGE);
	close(fd);
}

Test(peer, longest_message_is_delivered)
{
	char *data = malloc(100000);
	const struct test_event *t;

	memset(data, 'x', 100000);
	send_message("e1", test_settings.peer_listen, data, 100000);
	send_message("e1", test_settings.peer_listen, "y", 1);
	t = test_wait_event(2);
	cr_assert_eq(t->body->len, 1);
	cr_assert_eq(test_wait_event(1)->body->len, 100000);
	cr_assert_arr_eq(test_wait_event(1)->body->data, data, 100000);
	free(data);
}

Test(peer, too_long_frame_closes_only_its_connection)
{
	int bad = connect_blocking(test_settings.peer_listen);
	int good = connect_blocking(test_settings.peer_listen);

	cr_assert_eq(write(bad, "\xff\xff\xff\xff", 4), 4);
	cr_assert(is_closed_soon(bad));
	cr_assert_eq(write(good, "\0\0\0\1x", 5), 5);
	cr_assert_eq(test_wait_event(1)->body->len, 1);
	close(bad);
	close(good);
}

Test(peer, truncated_frame_is_not_delivered)
{
	int fd = connect_blocking(test_settings.peer_listen);

	cr_assert_eq(write(fd, "\0\0\0\5abc", 7), 7);
	close(fd);
	apr_sleep(apr_time_from_msec(50));
	cr_assert_eq(atomic_load(&test_nevents), 0);
}

Test(peer, connections_are_bounded)
{
	int fds[9];
	int i;

	for (i = 0; i < 9; i++) {
		fds[i] = connect_blocking(test_settings.peer_listen);
		apr_sleep(apr_time_from_msec(5));
	}
	cr_assert(is_closed_soon(fds[8]));
	close(fds[0]);
	apr_sleep(apr_time_from_msec(50));
	close(fds[8]);
	fds[8] = connect_blocking(test_settings.peer_listen);
	cr_assert_eq(write(fds[8], "\0\0\0\1x", 5), 5);
	test_wait_event(1);
	for (i = 1; i < 9; i++)
		close(fds[i]);
}

Test(peer, idle_connection_is_closed)
{
	int silent, busy, i;

	test_settings.peer_idle = 300;
	silent = connect_blocking(test_settings.peer_listen);
	busy = connect_blocking(test_settings.peer_listen);
	for (i = 0; i < 10; i++) {
		cr_assert_eq(write(busy, "\0\0\0\1x", 5), 5);
		apr_sleep(apr_time_from_msec(100));
	}
	cr_assert(is_closed_soon(silent));
	cr_assert_eq(write(busy, "\0\0\0\1x", 5), 5);
	test_wait_event(11);
	close(silent);
	close(busy);
}

static void check_peer_down(int n, const char *name)
{
	const struct test_event *t = test_wait_event(n);

	cr_assert_eq(t->ev.type, RP_EVENT_PEER_DOWN);
	cr_assert_str_eq(t->ev.peer_down.name, name);
}

Test(peer, refused_connection_fails_link)
{
	char address[RP_ADDRESS_MAX];
	int fd = test_refuse(address);

	send_message("e2", address, "a", 1);
	check_peer_down(1, "e2");
	send_message("e2", address, "a", 1);
	check_peer_down(2, "e2");
	close(fd);
}

Test(peer, connect_timeout_fails_link)
{
	char address[RP_ADDRESS_MAX];
	int listener = test_listen(address);
	int fds[4];
	int i;

	/* Linux drops connection requests when the backlog is full. */
	listen(listener, 0);
	for (i = 0; i < 4; i++)
		fds[i] = connect_nonblocking(address);
	test_settings.connect_timeout = 100;
	send_message("e2", address, "a", 1);
	check_peer_down(1, "e2");
	for (i = 0; i < 4; i++)
		close(fds[i]);
	close(listener);
}

Test(peer, closed_connection_fails_link_and_is_reopened)
{
	char address[RP_ADDRESS_MAX];
	int listener = test_listen(address);
	char buf[5];
	int fd;

	send_message("e2", address, "a", 1);
	fd = accept_soon(listener);
	read_bytes(fd, buf, sizeof(buf));
	close(fd);
	check_peer_down(1, "e2");
	send_message("e2", address, "b", 1);
	fd = accept_soon(listener);
	cr_assert_geq(fd, 0);
	read_bytes(fd, buf, sizeof(buf));
	cr_assert_eq(buf[4], 'b');
	close(fd);
	close(listener);
}

Test(peer, reset_opens_a_new_connection)
{
	char address[RP_ADDRESS_MAX];
	int listener = test_listen(address);
	char buf[5];
	int first, second;

	send_message("e2", address, "a", 1);
	first = accept_soon(listener);
	read_bytes(first, buf, sizeof(buf));
	reset_link("e2");
	send_message("e2", address, "b", 1);
	second = accept_soon(listener);
	cr_assert_geq(second, 0);
	read_bytes(second, buf, sizeof(buf));
	cr_assert_eq(buf[4], 'b');
	cr_assert(is_closed_soon(first));
	cr_assert_eq(atomic_load(&test_nevents), 0);
	close(first);
	close(second);
	close(listener);
}

/* The link to a peer that reads nothing fails when its queue is full. */
Test(peer, full_queue_fails_link)
{
	char address[RP_ADDRESS_MAX];
	int listener = test_listen(address);
	static char data[100000];
	int i;

	for (i = 0; i < 200 && !atomic_load(&test_nevents); i++) {
		send_message("e2", address, data, sizeof(data));
		apr_sleep(apr_time_from_msec(1));
	}
	check_peer_down(1, "e2");
	close(listener);
}

Test(peer, links_fail_independently)
{
	char dead[RP_ADDRESS_MAX];
	int fd = test_refuse(dead);
	int i;

	for (i = 0; i < 3; i++) {
		send_message("e2", dead, "a", 1);
		send_message("e1", test_settings.peer_listen, "x", 1);
	}
	apr_sleep(apr_time_from_msec(100));
	for (i = 0; i < atomic_load(&test_nevents); i++)
		if (test_events[i].ev.type == RP_EVENT_PEER_DOWN)
			cr_assert_str_eq(test_events[i].ev.peer_down.name, "e"
									   "2");
	test_wait_event(4);
	close(fd);
}
