/* Outcomes of calls to targets, with all kinds of connection failures. */

#include "daemon-test.h"

#define OK_REPLY "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

static struct daemon *d;

static void start_target_client(void)
{
	d = test_daemon_start();
	cr_assert_eq(target_start(d), 0);
}

static void stop_target_client(void)
{
	target_stop(d);
	test_daemon_stop();
}

/* Sends a start, lookup or void for one task. */
static void send_action(enum rp_action_type type, const char *address,
			uint64_t id, const char *payload, int close_connection)
{
	struct rp_task_spec task = { { "a", 1 }, { payload, strlen(payload) } };
	struct rp_submission_spec spec = { .ntasks = 1, .tasks = &task };
	struct rp_action act = { .type = type };

	act.start.start_id = id;
	snprintf(act.start.target, sizeof(act.start.target), "t1");
	snprintf(act.start.address, sizeof(act.start.address), "%s", address);
	snprintf(act.start.task_id, sizeof(act.start.task_id), "k/%%1 %d",
		 (int)id);
	act.start.timeout = 1000;
	act.start.close_connection = close_connection;
	if (type == RP_ACTION_START)
		act.start.sub = rp_submission_new(&spec);
	target_execute(d, &act);
	cr_assert_null(act.start.sub);
}

static void check_start(int n, uint64_t id, enum rp_start_outcome outcome)
{
	const struct test_event *t = test_wait_event(n);

	cr_assert_eq(t->ev.type, RP_EVENT_TARGET_REPLY);
	cr_assert_eq(t->ev.reply.start_id, id);
	cr_assert_eq(t->ev.reply.outcome, outcome, "outcome is %d, not %d",
		     (int)t->ev.reply.outcome, (int)outcome);
}

TestSuite(target, .init = start_target_client, .fini = stop_target_client,
	  .timeout = 30);

Test(target, success_with_body_and_reused_connection)
{
	static const char *const replies[] = { OK_REPLY, NULL };
	struct test_server s;
	const struct test_event *t;

	test_server_start(&s, replies);
	send_action(RP_ACTION_START, s.address, 1, "hello", 0);
	check_start(1, 1, RP_START_DONE);
	t = test_wait_event(1);
	cr_assert_eq(t->body->len, 2);
	cr_assert_arr_eq(t->body->data, "ok", 2);
	cr_assert_not_null(strstr(s.last_request, "POST /v1/tasks/k%2F%251%201 "
						  "HTTP"));
	cr_assert_not_null(strstr(s.last_request, "X-Timeout-Ms: 1000\r\n"));
	cr_assert_not_null(strstr(s.last_request, "\r\n\r\nhello"));
	send_action(RP_ACTION_START, s.address, 2, "", 0);
	check_start(2, 2, RP_START_DONE);
	cr_assert_eq(s.connections, 1);
	cr_assert_eq(s.requests, 2);
	test_server_stop(&s);
}

/*
 * The server reads the second request on a reused connection and closes it
 * without a reply. The task may have run, so the request must not be resent.
 */
static void check_no_resend(const char *payload)
{
	static const char *const replies[] = { OK_REPLY, CLOSE, NULL };
	struct test_server s;

	test_server_start(&s, replies);
	send_action(RP_ACTION_START, s.address, 1, payload, 0);
	check_start(1, 1, RP_START_DONE);
	send_action(RP_ACTION_START, s.address, 2, payload, 0);
	check_start(2, 2, RP_START_UNKNOWN);
	apr_sleep(apr_time_from_msec(100));
	cr_assert_eq(s.requests, 2, "%d requests were written",
		     atomic_load(&s.requests));
	test_server_stop(&s);
}

Test(target, no_resend_on_dead_reused_connection)
{
	check_no_resend("hello");
}

Test(target, no_resend_of_empty_payload)
{
	check_no_resend("");
}

Test(target, no_resend_of_long_payload)
{
	char payload[3000];

	memset(payload, 'x', sizeof(payload) - 1);
	payload[sizeof(payload) - 1] = '\0';
	check_no_resend(payload);
}

Test(target, closed_idle_connection_is_replaced)
{
	static const char *const replies[] = { "HTTP/1.1 200 "
					       "OK\r\nContent-Length: 2\r\n"
					       "Connection: close\r\n\r\nok",
					       NULL };
	struct test_server s;
	int i;

	test_server_start(&s, replies);
	for (i = 1; i <= 5; i++) {
		send_action(RP_ACTION_START, s.address, (uint64_t)i, "x", 0);
		check_start(i, (uint64_t)i, RP_START_DONE);
	}
	cr_assert_eq(s.requests, 5);
	test_server_stop(&s);
}

Test(target, close_without_reply_is_unknown)
{
	static const char *const replies[] = { CLOSE, NULL };
	struct test_server s;

	test_server_start(&s, replies);
	send_action(RP_ACTION_START, s.address, 1, "x", 0);
	check_start(1, 1, RP_START_UNKNOWN);
	cr_assert_eq(s.requests, 1);
	test_server_stop(&s);
}

Test(target, truncated_or_invalid_reply_is_unknown)
{
	static const char *const texts[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"garbage\r\n\r\n",
		"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 302 Found\r\nLocation: /x\r\n"
		"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
	};
	size_t i;

	for (i = 0; i < sizeof(texts) / sizeof(*texts); i++) {
		const char *const replies[] = { texts[i], CLOSE, NULL };
		struct test_server s;

		test_server_start(&s, replies);
		send_action(RP_ACTION_START, s.address, i, "x", 0);
		check_start((int)i + 1, i, RP_START_UNKNOWN);
		cr_assert_eq(s.requests, 1);
		test_server_stop(&s);
	}
}

Test(target, timeout_is_unknown)
{
	static const char *const replies[] = { SILENT, NULL };
	struct test_server s;

	test_server_start(&s, replies);
	send_action(RP_ACTION_START, s.address, 1, "x", 0);
	check_start(1, 1, RP_START_UNKNOWN);
	test_server_stop(&s);
}

Test(target, refused_connection_is_unsent)
{
	char address[RP_ADDRESS_MAX];
	int fd = test_listen(address);

	close(fd);
	send_action(RP_ACTION_START, address, 1, "x", 0);
	check_start(1, 1, RP_START_UNSENT);
}

Test(target, statuses_of_tasks_not_run_or_failed)
{
	static const struct {
		const char *reply;
		enum rp_start_outcome outcome;
	} cases[] = {
		{ "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n",
		  RP_START_FAILED },
		{ "HTTP/1.1 429 E\r\nContent-Length: 0\r\n\r\n",
		  RP_START_BUSY },
		{ "HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n",
		  RP_START_LEAVING },
		{ "HTTP/1.1 410 E\r\nContent-Length: 0\r\n\r\n",
		  RP_START_BUSY },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const char *const replies[] = { cases[i].reply, NULL };
		struct test_server s;

		test_server_start(&s, replies);
		send_action(RP_ACTION_START, s.address, i, "x", 0);
		check_start((int)i + 1, i, cases[i].outcome);
		test_server_stop(&s);
	}
}

Test(target, too_long_result_is_failed)
{
	char reply[4096];
	const char *const replies[] = { reply, NULL };
	struct test_server s;
	int at = snprintf(reply, sizeof(reply),
			  "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n");

	memset(reply + at, 'x', 2000);
	reply[at + 2000] = '\0';
	test_server_start(&s, replies);
	send_action(RP_ACTION_START, s.address, 1, "x", 0);
	check_start(1, 1, RP_START_FAILED);
	test_server_stop(&s);
}

Test(target, lookups_and_voids_use_fresh_connections)
{
	static const struct {
		const char *reply;
		enum rp_lookup_outcome outcome;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\nX-Task-State: done\r\n"
		  "Content-Length: 2\r\n\r\nok",
		  RP_LOOKUP_DONE },
		{ "HTTP/1.1 200 OK\r\nx-task-state: failed\r\n"
		  "Content-Length: 0\r\n\r\n",
		  RP_LOOKUP_FAILED },
		{ "HTTP/1.1 200 OK\r\nX-Task-State: running\r\n"
		  "Content-Length: 0\r\n\r\n",
		  RP_LOOKUP_RUNNING },
		{ "HTTP/1.1 200 OK\r\nX-Task-State: voided\r\n"
		  "Content-Length: 0\r\n\r\n",
		  RP_LOOKUP_VOIDED },
		{ "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
		  RP_LOOKUP_UNKNOWN },
		{ "HTTP/1.1 200 OK\r\nX-Task-State: odd\r\n"
		  "Content-Length: 0\r\n\r\n",
		  RP_LOOKUP_NONE },
		{ "HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n",
		  RP_LOOKUP_NONE },
		{ CLOSE, RP_LOOKUP_NONE },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const char *const replies[] = { cases[i].reply, NULL };
		const struct test_event *t;
		struct test_server s;

		test_server_start(&s, replies);
		send_action(RP_ACTION_LOOKUP, s.address, 7, "", 0);
		t = test_wait_event(2 * (int)i + 1);
		cr_assert_eq(t->ev.lookup.outcome, cases[i].outcome);
		cr_assert_eq(strncmp(s.last_request, "GET ", 4), 0);
		send_action(RP_ACTION_VOID, s.address, 7, "", 0);
		t = test_wait_event(2 * (int)i + 2);
		cr_assert_eq(t->ev.lookup.outcome, cases[i].outcome);
		cr_assert_eq(strncmp(s.last_request, "DELETE ", 7), 0);
		cr_assert_eq(s.connections, 2);
		test_server_stop(&s);
	}
}

/* A lookup aborts a start without a reply, and alone reports the outcome. */
Test(target, lookup_aborts_start_without_reply)
{
	static const char *const replies[] = { SILENT, NULL };
	struct test_server s;
	const struct test_event *t;

	test_server_start(&s, replies);
	send_action(RP_ACTION_START, s.address, 7, "x", 0);
	while (atomic_load(&s.requests) < 1)
		apr_sleep(1000);
	send_action(RP_ACTION_LOOKUP, s.address, 7, "", 1);
	t = test_wait_event(1);
	cr_assert_eq(t->ev.type, RP_EVENT_LOOKUP_REPLY);
	cr_assert_eq(t->ev.lookup.outcome, RP_LOOKUP_NONE);
	apr_sleep(apr_time_from_msec(100));
	cr_assert_eq(atomic_load(&test_nevents), 1);
	cr_assert_eq(s.connections, 2);
	test_server_stop(&s);
}

Test(target, stop_reports_nothing)
{
	static const char *const replies[] = { OK_REPLY, NULL };
	struct test_server s;

	test_server_start(&s, replies);
	send_action(RP_ACTION_STOP, s.address, 7, "", 0);
	while (atomic_load(&s.requests) < 1)
		apr_sleep(1000);
	cr_assert_not_null(strstr(s.last_request, "DELETE "
						  "/v1/tasks/k%2F%251%207"
						  "?stop=1 HTTP"));
	apr_sleep(apr_time_from_msec(50));
	cr_assert_eq(atomic_load(&test_nevents), 0);
	test_server_stop(&s);
}

/*
 * After a call on one of two idle connections got no reply, the other is not
 * used either, because the same network failure may have broken both.
 */
Test(target, other_connections_to_suspect_host_are_not_used)
{
	static const char *const replies[] = { OK_REPLY, SILENT, NULL };
	struct test_server s;

	test_server_start(&s, replies);
	atomic_store(&s.hold_replies, 1);
	send_action(RP_ACTION_START, s.address, 1, "x", 0);
	send_action(RP_ACTION_START, s.address, 2, "x", 0);
	while (atomic_load(&s.requests) < 2)
		apr_sleep(1000);
	atomic_store(&s.hold_replies, 0);
	test_wait_event(2);
	send_action(RP_ACTION_START, s.address, 3, "x", 0);
	check_start(3, 3, RP_START_UNKNOWN);
	cr_assert_eq(s.connections, 2);
	send_action(RP_ACTION_START, s.address, 4, "x", 0);
	check_start(4, 4, RP_START_DONE);
	cr_assert_eq(s.connections, 3);
	test_server_stop(&s);
}

/* A start with close_connection leaves no idle connection. */
Test(target, start_may_close_its_connection)
{
	static const char *const replies[] = { OK_REPLY, NULL };
	struct test_server s;

	test_server_start(&s, replies);
	send_action(RP_ACTION_START, s.address, 1, "x", 1);
	check_start(1, 1, RP_START_DONE);
	send_action(RP_ACTION_START, s.address, 2, "x", 0);
	check_start(2, 2, RP_START_DONE);
	cr_assert_eq(s.connections, 2);
	test_server_stop(&s);
}

/* Idle connections are closed even if the daemon makes no further call. */
Test(target, idle_connections_are_closed)
{
	static const char *const replies[] = { OK_REPLY, NULL };
	rp_ms end = daemon_now() + TEST_WAIT_MS;
	struct test_server s;

	test_settings.target_idle_age = 1000;
	test_server_start(&s, replies);
	send_action(RP_ACTION_START, s.address, 1, "x", 0);
	check_start(1, 1, RP_START_DONE);
	cr_assert_eq(atomic_load(&s.open_connections), 1);
	while (atomic_load(&s.open_connections) && daemon_now() < end)
		apr_sleep(apr_time_from_msec(10));
	cr_assert_eq(atomic_load(&s.open_connections), 0);
	send_action(RP_ACTION_START, s.address, 2, "x", 0);
	check_start(2, 2, RP_START_DONE);
	test_server_stop(&s);
}

/* A reply with an endless header is aborted before the call times out. */
Test(target, endless_header_is_aborted)
{
	char *reply = malloc(200000);
	const char *const replies[] = { reply, NULL };
	struct test_server s;
	rp_ms started_at;
	size_t at;

	memset(reply, 'x', 199999);
	reply[199999] = '\0';
	memcpy(reply, "HTTP/1.1 200 OK\r\n", 17);
	for (at = 17; at + 1000 < 199000; at += 1000) {
		memcpy(reply + at, "X: ", 3);
		memcpy(reply + at + 998, "\r\n", 2);
	}
	test_server_start(&s, replies);
	started_at = daemon_now();
	send_action(RP_ACTION_START, s.address, 1, "x", 0);
	check_start(1, 1, RP_START_UNKNOWN);
	cr_assert_lt(daemon_now() - started_at, 900);
	test_server_stop(&s);
	free(reply);
}
