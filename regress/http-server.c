/* The whole daemon, with valid and invalid requests of callers. */

#define TEST_WITH_KERNEL
#include "daemon-test.h"

#include "http.h"

#define OK_REPLY "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
#define JOB                                                                    \
	"\"service\":\"desk\",\"team\":\"board\",\"timeout_ms\":%d,"           \
	"\"tasks\":[{\"id\":\"a\",\"payload\":\"p\"}]}"

/* Each test runs in its own process and derives two ports from its pid. */
#define PORT_FIRST 10000
#define PORT_PAIRS 4000

static struct settings set;
static struct daemon d;
static struct test_server target;

/* Starts a daemon with one target that sends these replies. */
static void start_daemon(const char *const *replies, const char *flag)
{
	char address[RP_ADDRESS_MAX + 32], listen_at[RP_ADDRESS_MAX + 32];
	char seed[RP_ADDRESS_MAX + 64];
	int port;
	char *argv[] = { "rosemaryd",
			 "--vm-name=e1",
			 "--failure-domain=sando",
			 "--platform=127.0.0.1:1",
			 "--log-level=error",
			 "--http-threads=2",
			 "--target-threads=1",
			 address,
			 listen_at,
			 seed,
			 (char *)(flag ? flag : "--http-idle=60000"),
			 NULL };
	char *env[] = { NULL };

	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	test_server_start(&target, replies);
	snprintf(seed, sizeof(seed), "--target=t1=%s,sando,desk,slots=8",
		 target.address);
	/* The range is below the ephemeral ports that other tests use. */
	port = PORT_FIRST + (int)getpid() % PORT_PAIRS * 2;
	snprintf(address, sizeof(address), "--address=127.0.0.1:%d", port);
	snprintf(listen_at, sizeof(listen_at), "--http-listen=127.0.0.1:%d",
		 port + 1);
	cr_assert_eq(settings_load(&set, 11, argv, env), 0);
	cr_assert_eq(daemon_start(&d, &set), 0);
}

static void stop_daemon(void)
{
	http_refuse_waits(&d);
	http_answer_all_waiting(&d);
	daemon_stop(&d);
	settings_finish(&set);
	test_server_stop(&target);
	curl_global_cleanup();
	apr_terminate();
}

static int connect_caller(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_port = htons((uint16_t)atoi(strchr(set.http_listen, ':') + 1));
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	cr_assert_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	return fd;
}

static void send_bytes(int fd, const char *bytes)
{
	(void)!write(fd, bytes, strlen(bytes));
}

static char text[65536]; /* last response */

/*
 * Reads a response into text. Returns its status, or 0 when the connection was
 * closed or no complete response arrived within TEST_WAIT_MS.
 */
static int read_response(int fd)
{
	size_t len = 0;
	rp_ms end = daemon_now() + TEST_WAIT_MS;

	while (daemon_now() < end) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		char *body, *length;
		ssize_t n;

		if (poll(&p, 1, 100) == 0)
			continue;
		n = read(fd, text + len, sizeof(text) - len - 1);
		if (n <= 0)
			return 0;
		len += (size_t)n;
		text[len] = '\0';
		body = strstr(text, "\r\n\r\n");
		length = strstr(text, "Content-Length: ");
		if (body && length &&
		    len >= (size_t)(body + 4 - text) +
				    strtoul(length + 16, NULL, 10))
			return atoi(text + 9);
	}
	return 0;
}

static void send_post(int fd, const char *path, const char *headers,
		      const char *body)
{
	char request[16384];

	snprintf(request, sizeof(request),
		 "POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %zu\r\n"
		 "\r\n%s",
		 path, headers, strlen(body), body);
	send_bytes(fd, request);
}

static int post(const char *path, const char *headers, const char *body)
{
	int fd = connect_caller();
	int status;

	send_post(fd, path, headers, body);
	status = read_response(fd);
	close(fd);
	return status;
}

static int call_daemon(const char *method, const char *path)
{
	char request[1024];
	int fd = connect_caller();
	int status;

	snprintf(request, sizeof(request), "%s %s HTTP/1.1\r\nHost: x\r\n\r\n",
		 method, path);
	send_bytes(fd, request);
	status = read_response(fd);
	close(fd);
	return status;
}

/* Requests a key and writes the body of a job with it. */
static void write_job(char *job, size_t max, int timeout)
{
	char key[RP_KEY_MAX];

	cr_assert_eq(post("/v1/keys", "", ""), 200, "%s", text);
	cr_assert_eq(sscanf(strstr(text, "[\"") + 2, "%159[^\"]", key), 1);
	snprintf(job, max, "{\"key\":\"%s\"," JOB, key, timeout);
}

static void check_job_completes(void)
{
	char job[1024];

	write_job(job, sizeof(job), 5000);
	cr_assert_eq(post("/v1/jobs", "", job), 200, "%s", text);
	cr_assert_not_null(strstr(text, "\"state\":\"complete\""), "%s", text);
	cr_assert_not_null(strstr(text, "\"result\":\"ok\""));
	cr_assert_not_null(strstr(text, "\"next_keys\":[\""));
}

static const char *const ok[] = { OK_REPLY, NULL };
static const char *const silent[] = { SILENT, NULL };

TestSuite(server, .fini = stop_daemon, .timeout = 60);

Test(server, answer_is_stored)
{
	char job[1024], path[512], key[RP_KEY_MAX];

	start_daemon(ok, NULL);
	write_job(job, sizeof(job), 5000);
	sscanf(job, "{\"key\":\"%159[^\"]", key);
	cr_assert_eq(post("/v1/jobs", "", job), 200);
	cr_assert_eq(post("/v1/jobs", "", job), 200);
	snprintf(path, sizeof(path), "/v1/jobs/%s", key);
	cr_assert_eq(call_daemon("GET", path), 200);
	cr_assert_not_null(strstr(text, "\"result\":\"ok\""));
	cr_assert_eq(target.requests, 1);
}

Test(server, invalid_input_starts_nothing)
{
	static const struct {
		const char *method, *path;
		int status;
		const char *message;
	} cases[] = {
		{ "GET", "/", 404, "path: " },
		{ "GET", "/v1/jobs", 405, "method: " },
		{ "PATCH", "/v1/jobs", 405, "method: " },
		{ "GET", "/v1/jobs/", 400, "path: " },
		{ "GET", "/v1/jobs/a%00b", 400, "path: " },
		{ "GET", "/v1/jobs/a%zzb", 400, "path: " },
		{ "GET", "/v1/jobs/a?wait=2", 400, "wait: " },
		{ "POST", "/v1/keys?count=0", 400, "count: " },
		{ "POST", "/v1/keys?count=-1", 400, "count: " },
		{ "POST", "/v1/keys?count=1025", 400, "count: " },
		{ "POST", "/v1/keys?count=99999999999999999999", 400,
		  "count: " },
		{ "POST", "/v1/keys?count", 400, "count: " },
		{ "POST", "/v1/keys?cuont=3", 400, "cuont: " },
		{ "GET", "/v1/status?x", 400, "x: " },
		{ "GET", "/v1/events?since=x", 400, "since: " },
		{ "POST", "/v1/jobs?wait=x", 400, "wait: " },
		{ "POST", "/v1/jobs", 400, "body: " },
		{ "POST", "/v1/table/edits", 400, "body: " },
		{ "DELETE", "/v1/table", 405, "method: " },
	};
	size_t i;

	start_daemon(ok, NULL);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		char want[64];

		snprintf(want, sizeof(want), "\"message\":\"%s",
			 cases[i].message);
		cr_assert_eq(call_daemon(cases[i].method, cases[i].path),
			     cases[i].status, "%s %s: %s", cases[i].method,
			     cases[i].path, text);
		cr_assert_not_null(strstr(text, want), "%s", text);
	}
	cr_assert_eq(post("/v1/jobs", "", "{\"key\":\"k\"}"), 400);
	cr_assert_not_null(strstr(text, "\"message\":\"service: "));
	cr_assert_eq(target.requests, 0);
	check_job_completes();
}

Test(server, too_long_body_is_rejected)
{
	char head[256], chunk[1100];
	int fd, i;

	start_daemon(ok, "--http-body=2048");
	fd = connect_caller();
	snprintf(head, sizeof(head),
		 "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
		 "Content-Length: 2049\r\n\r\n");
	send_bytes(fd, head);
	cr_assert_eq(read_response(fd), 413);
	close(fd);
	fd = connect_caller();
	send_bytes(fd, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n");
	memset(chunk, 'x', sizeof(chunk));
	memcpy(chunk, "400\r\n", 5);
	memcpy(chunk + 5 + 1024, "\r\n", 3);
	for (i = 0; i < 3; i++)
		send_bytes(fd, chunk);
	send_bytes(fd, "0\r\n\r\n");
	cr_assert_eq(read_response(fd), 413);
	cr_assert_not_null(strstr(text, "\"message\":\"body: "));
	/* The connection can be used after a rejected body. */
	send_bytes(fd, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
	cr_assert_eq(read_response(fd), 200);
	close(fd);
	fd = connect_caller();
	send_bytes(fd, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n");
	for (i = 0; i < 40; i++)
		send_bytes(fd, chunk);
	cr_assert_eq(read_response(fd), 0, "an endless body is not cut off");
	close(fd);
	check_job_completes();
}

Test(server, garbage_and_long_headers_are_rejected)
{
	static const char *const bytes[] = {
		"\r\n\r\n\r\n\r\n",
		"GARBAGE\r\n\r\n",
		"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
		"Content-Length: -5\r\n\r\n{}",
		"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
		"Content-Length: 99999999999999999999999\r\n\r\n{}",
		"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
		"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
	};
	char header[9000];
	size_t i;
	int fd;

	start_daemon(ok, "--http-header=4096");
	for (i = 0; i < sizeof(bytes) / sizeof(*bytes); i++) {
		int status;

		fd = connect_caller();
		send_bytes(fd, bytes[i]);
		shutdown(fd, SHUT_WR);
		status = read_response(fd);
		cr_assert(status == 0 || (status >= 400 && status < 500),
			  "HTTP %d for case %zu", status, i);
		close(fd);
	}
	memset(header, 'x', sizeof(header));
	memcpy(header, "X: ", 3);
	memcpy(header + sizeof(header) - 3, "\r\n", 3);
	cr_assert_eq(post("/v1/jobs", header, "{}"), 431);
	cr_assert_eq(target.requests, 0);
	check_job_completes();
}

Test(server, slow_body_times_out)
{
	int fd;

	start_daemon(ok, "--http-read=100");
	fd = connect_caller();
	send_bytes(fd, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
		       "Content-Length: 10\r\n\r\n{\"k");
	check_job_completes();
	apr_sleep(apr_time_from_msec(200));
	send_bytes(fd, "ey\":1}    ");
	cr_assert_eq(read_response(fd), 408);
	close(fd);
	check_job_completes();
}

Test(server, half_closed_caller_gets_its_answer)
{
	char job[1024];
	int fd;

	start_daemon(ok, NULL);
	write_job(job, sizeof(job), 5000);
	atomic_store(&target.hold_replies, 1);
	fd = connect_caller();
	send_post(fd, "/v1/jobs", "", job);
	shutdown(fd, SHUT_WR);
	apr_sleep(apr_time_from_msec(300));
	atomic_store(&target.hold_replies, 0);
	cr_assert_eq(read_response(fd), 200);
	cr_assert_not_null(strstr(text, "\"result\":\"ok\""));
	close(fd);
}

Test(server, truncated_request_starts_nothing)
{
	char job[1024];
	int fd;

	start_daemon(ok, NULL);
	write_job(job, sizeof(job), 5000);
	fd = connect_caller();
	send_post(fd, "/v1/jobs", "X: y\r\nContent-Length: 2000\r\n", job);
	shutdown(fd, SHUT_WR);
	read_response(fd);
	close(fd);
	apr_sleep(apr_time_from_msec(100));
	cr_assert_eq(target.requests, 0);
	check_job_completes();
}

/* The job of a caller that has disconnected goes on, as do other jobs. */
Test(server, job_of_disconnected_caller_goes_on)
{
	const struct linger hard = { 1, 0 };
	char job[1024], path[512], key[RP_KEY_MAX];
	int fd, i;

	start_daemon(ok, NULL);
	atomic_store(&target.hold_replies, 1);
	write_job(job, sizeof(job), 5000);
	sscanf(job, "{\"key\":\"%159[^\"]", key);
	fd = connect_caller();
	send_post(fd, "/v1/jobs", "", job);
	while (atomic_load(&target.requests) < 1)
		apr_sleep(1000);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	close(fd);
	for (i = 0; i < 50; i++) {
		apr_sleep(apr_time_from_msec(20));
		cr_assert_eq(call_daemon("GET", "/v1/metrics"), 200);
		if (strstr(text, "rosemaryd_http_callers_gone_total 1\n"))
			break;
	}
	cr_assert_lt(i, 50, "the disconnect was not detected");
	atomic_store(&target.hold_replies, 0);
	snprintf(path, sizeof(path), "/v1/jobs/%s?wait=1", key);
	cr_assert_eq(call_daemon("GET", path), 200);
	cr_assert_not_null(strstr(text, "\"result\":\"ok\""), "%s", text);
	check_job_completes();
}

Test(server, waiting_callers_are_bounded)
{
	char job[1024];
	int fd;

	start_daemon(silent, "--http-waiting=1");
	write_job(job, sizeof(job), 500);
	fd = connect_caller();
	send_post(fd, "/v1/jobs", "", job);
	while (atomic_load(&target.requests) < 1)
		apr_sleep(1000);
	cr_assert_eq(post("/v1/keys", "", ""), 429);
	cr_assert_not_null(strstr(text, "Retry-After: 1\r\n"));
	cr_assert_eq(read_response(fd), 200);
	cr_assert_not_null(strstr(text, "\"state\":\"failed\""), "%s", text);
	cr_assert_not_null(strstr(text, "\"may_have_run\":true"), "%s", text);
	close(fd);
	cr_assert_eq(post("/v1/keys", "", ""), 200);
}

Test(server, connection_is_kept_alive)
{
	int fd, i;

	start_daemon(ok, NULL);
	fd = connect_caller();
	for (i = 0; i < 5; i++) {
		send_post(fd, "/v1/keys?count=3", "", "");
		cr_assert_eq(read_response(fd), 200);
	}
	close(fd);
}

Test(server, operator_requests)
{
	start_daemon(ok, NULL);
	cr_assert_eq(call_daemon("GET", "/healthz"), 200);
	cr_assert_eq(call_daemon("GET", "/v1/status"), 200);
	cr_assert_not_null(strstr(text, "\"vm\":\"e1\""));
	cr_assert_eq(call_daemon("GET", "/v1/table"), 200);
	cr_assert_eq(call_daemon("GET", "/v1/events?since=0"), 200);
	cr_assert_not_null(strstr(text, "X-Next: "));
	cr_assert_eq(call_daemon("GET", "/v1/metrics"), 200);
	cr_assert_not_null(strstr(text, "rosemaryd_http_requests_total "));
}

/* A planned stop ends readiness at once, and running jobs are answered. */
Test(server, drain_finishes_running_jobs)
{
	char job[1024];
	rp_ms end;
	int fd;

	start_daemon(ok, NULL);
	write_job(job, sizeof(job), 5000);
	atomic_store(&target.hold_replies, 1);
	fd = connect_caller();
	send_post(fd, "/v1/jobs", "", job);
	while (atomic_load(&target.requests) < 1)
		apr_sleep(1000);
	cr_assert_eq(post("/v1/drain", "", ""), 202);
	cr_assert_eq(call_daemon("GET", "/readyz"), 503);
	cr_assert_eq(call_daemon("GET", "/healthz"), 200);
	apr_sleep(apr_time_from_msec(100));
	cr_assert_eq(atomic_load(&d.drained), 0);
	cr_assert_eq(post("/v1/keys", "", ""), 503, "%s", text);
	cr_assert_not_null(strstr(text, "\"error\":\"draining\""), "%s", text);
	atomic_store(&target.hold_replies, 0);
	cr_assert_eq(read_response(fd), 200);
	cr_assert_not_null(strstr(text, "\"result\":\"ok\""));
	end = daemon_now() + TEST_WAIT_MS;
	while (!atomic_load(&d.drained) && daemon_now() < end)
		apr_sleep(1000);
	cr_assert_eq(atomic_load(&d.drained), 1);
	cr_assert_eq(target.requests, 1);
	close(fd);
}

/* An immediate stop answers waiting callers that the job is running. */
Test(server, immediate_stop_answers_waiting_callers)
{
	char job[1024];
	int fd;

	start_daemon(silent, NULL);
	write_job(job, sizeof(job), 5000);
	fd = connect_caller();
	send_post(fd, "/v1/jobs", "", job);
	while (atomic_load(&target.requests) < 1)
		apr_sleep(1000);
	cr_assert_eq(http_waiting(&d), 1);
	http_refuse_waits(&d);
	http_answer_all_waiting(&d);
	cr_assert_eq(http_waiting(&d), 0);
	cr_assert_eq(read_response(fd), 202);
	cr_assert_not_null(strstr(text, "\"state\":\"running\""), "%s", text);
	cr_assert_not_null(strstr(text, "\"error\":\"draining\""), "%s", text);
	cr_assert_eq(post("/v1/keys", "", ""), 429);
	close(fd);
}
