/* Calls to the platform: requests, responses, and outcomes of failures. */

#include "daemon-test.h"

#define HEAD(n) "HTTP/1.1 200 OK\r\nContent-Length: " n "\r\n\r\n"

static struct daemon *d;

static void init_daemon(void)
{
	d = test_daemon_start();
	d->settings = &test_settings;
}

static void start_with_server(struct test_server *s, const char *const *replies)
{
	test_server_start(s, replies);
	memcpy(test_settings.platform, s->address, sizeof(s->address));
	cr_assert_eq(platform_start(d), 0);
}

static void stop_daemon(void)
{
	platform_stop(d);
	test_daemon_stop();
}

static void send_request(enum rp_platform_op op, const char *value)
{
	struct rp_action act = { .type = RP_ACTION_PLATFORM };
	struct rp_row row = { { "row/a", 5 }, { value, 0 }, 7 };

	if (value)
		row.value.len = strlen(value);
	act.platform.ask_id = 3;
	act.platform.op = op;
	act.platform.rows = &row;
	act.platform.nrows = op == RP_PLATFORM_LIST ? 0 : 1;
	act.platform.timeout = 500;
	platform_execute(d, &act);
}

static const struct rp_event *check_outcome(int n,
					    enum rp_platform_outcome outcome)
{
	const struct test_event *t = test_wait_event(n);

	cr_assert_eq(t->ev.type, RP_EVENT_PLATFORM_REPLY);
	cr_assert_eq(t->ev.platform.ask_id, 3);
	cr_assert_eq(t->ev.platform.outcome, outcome, "outcome is %d, not %d",
		     (int)t->ev.platform.outcome, (int)outcome);
	return &t->ev;
}

TestSuite(platform, .init = init_daemon, .fini = stop_daemon, .timeout = 30);

/* Writes a response with status 200 and the body. */
static void write_response(char *reply, size_t max, const char *body)
{
	snprintf(reply, max, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		 strlen(body), body);
}

Test(platform, list_skips_invalid_entries)
{
	char reply[512];
	const char *const replies[] = { reply, NULL };
	struct test_server s;

	write_response(reply, sizeof(reply),
		       "{\"vms\":[{\"name\":\"e1\",\"kind\":\"entry_vm\","
		       "\"address\":\"10.0.0.1:5\",\"failure_domain\":\"a\"},"
		       "{\"name\":\"bad\"},7,"
		       "{\"name\":\"t1\",\"kind\":\"target\",\"slots\":-4,"
		       "\"address\":\"10.0.0.1\"}]}");
	start_with_server(&s, replies);
	send_request(RP_PLATFORM_LIST, NULL);
	cr_assert_eq(check_outcome(1, RP_PLATFORM_DONE)->platform.nvms, 1);
	cr_assert_eq(strncmp(s.last_request, "GET /v1/vms ", 12), 0);
	test_server_stop(&s);
}

Test(platform, requests_and_rows_are_encoded)
{
	static const char body[] = "{\"rows\":[{\"name\":\"row/a\",\"value\":"
				   "\"x\\u0000y\",\"version\":3},"
				   "{\"name\":\"b\",\"value\":null,"
				   "\"version\":0}]}";
	char reply[512];
	const char *const replies[] = { reply, NULL };
	struct test_server s;

	write_response(reply, sizeof(reply), body);
	start_with_server(&s, replies);
	send_request(RP_PLATFORM_READ, NULL);
	cr_assert_eq(check_outcome(1, RP_PLATFORM_DONE)->platform.nrows, 2);
	cr_assert_not_null(strstr(s.last_request, "{\"names\":[\"row/a\"]}"));
	send_request(RP_PLATFORM_SCAN, NULL);
	check_outcome(2, RP_PLATFORM_DONE);
	cr_assert_not_null(strstr(s.last_request, "{\"prefix\":\"row/a\"}"));
	send_request(RP_PLATFORM_COMMIT, "v\"1");
	check_outcome(3, RP_PLATFORM_DONE);
	cr_assert_not_null(strstr(s.last_request, "{\"rows\":[{\"name\":\"row/"
						  "a\",\"value\":"
						  "\"v\\\"1\",\"version\":7}]"
						  "}"));
	send_request(RP_PLATFORM_COMMIT, NULL);
	check_outcome(4, RP_PLATFORM_DONE);
	cr_assert_not_null(strstr(s.last_request, "\"value\":null"));
	cr_assert_eq(s.connections, 1);
	test_server_stop(&s);
}

Test(platform, commit_outcomes)
{
	static const struct {
		const char *reply;
		enum rp_platform_outcome outcome;
	} cases[] = {
		{ "HTTP/1.1 409 C\r\nContent-Length: 0\r\n\r\n",
		  RP_PLATFORM_CONFLICT },
		{ "HTTP/1.1 503 C\r\nContent-Length: 0\r\n\r\n",
		  RP_PLATFORM_NO_EFFECT },
		{ "HTTP/1.1 500 C\r\nContent-Length: 0\r\n\r\n",
		  RP_PLATFORM_LOST },
		{ CLOSE, RP_PLATFORM_LOST },
		{ SILENT, RP_PLATFORM_LOST },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{}",
		  RP_PLATFORM_LOST },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const char *const replies[] = { cases[i].reply, NULL };
		struct test_server s;

		start_with_server(&s, replies);
		send_request(RP_PLATFORM_COMMIT, "v");
		check_outcome((int)i + 1, cases[i].outcome);
		cr_assert_eq(s.requests, 1);
		platform_stop(d);
		d->platform = NULL;
		test_server_stop(&s);
	}
}

/* A commit is not resent when a reused connection turns out to be dead. */
Test(platform, commit_is_not_resent)
{
	static const char *const replies[] = { HEAD("2") "{}", CLOSE, NULL };
	struct test_server s;

	start_with_server(&s, replies);
	send_request(RP_PLATFORM_COMMIT, "v");
	check_outcome(1, RP_PLATFORM_DONE);
	send_request(RP_PLATFORM_COMMIT, "w");
	check_outcome(2, RP_PLATFORM_LOST);
	cr_assert_eq(s.requests, 2);
	test_server_stop(&s);
}

Test(platform, refused_connection_has_no_effect)
{
	static const char *const replies[] = { CLOSE, NULL };
	struct test_server s;

	start_with_server(&s, replies);
	test_server_stop(&s);
	send_request(RP_PLATFORM_COMMIT, "v");
	check_outcome(1, RP_PLATFORM_NO_EFFECT);
}

Test(platform, malformed_replies_are_lost)
{
	static const char *const replies[] = { HEAD("2") "{}",
					       HEAD("3") "{x}",
					       HEAD("0"),
					       HEAD("10") "{\"rows\":7}",
					       HEAD("12") "{\"rows\":[7]}",
					       HEAD("24") "{\"rows\":[{"
							  "\"name\":\"a\"}]}",
					       NULL };
	struct test_server s;
	int i;

	start_with_server(&s, replies);
	for (i = 1; i <= 6; i++) {
		send_request(RP_PLATFORM_READ, NULL);
		check_outcome(i, RP_PLATFORM_LOST);
	}
	test_server_stop(&s);
}

/* Calls beyond the limit are not sent, so that they have no effect. */
Test(platform, calls_are_bounded)
{
	static const char *const replies[] = { HEAD("2") "{}", NULL };
	int counts[RP_PLATFORM_LOST + 1] = { 0 };
	struct test_server s;
	int i;

	start_with_server(&s, replies);
	atomic_store(&s.hold_replies, 1);
	for (i = 0; i < 7; i++)
		send_request(RP_PLATFORM_COMMIT, "v");
	test_wait_event(3);
	while (atomic_load(&s.requests) < 4)
		apr_sleep(1000);
	atomic_store(&s.hold_replies, 0);
	test_wait_event(7);
	for (i = 0; i < 7; i++)
		counts[test_events[i].ev.platform.outcome]++;
	cr_assert_eq(counts[RP_PLATFORM_NO_EFFECT], 3);
	cr_assert_eq(counts[RP_PLATFORM_DONE], 4);
	cr_assert_eq(s.requests, 4);
	test_server_stop(&s);
}
