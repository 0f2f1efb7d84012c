/* The HTTP server: receives requests and dispatches them to their routes. */

#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 1024
#define CONNECTION_BYTES 2048 /* of a connection, beside its header */

struct http_server {
	struct MHD_Daemon *mhd;
	struct conn_table conns;
	atomic_int nactive; /* requests that have not been completed */
};

/* Sets the error to respond with, unless one is set. */
static void set_error_status(struct http_request *r, int http_status)
{
	if (!r->error_status)
		r->error_status = http_status;
}

/* Responds to a request that was rejected while being read. */
static void send_request_error(struct http_request *r)
{
	switch (r->error_status) {
	case MHD_HTTP_NOT_FOUND:
		http_send_error(r, r->error_status, RP_E_INPUT, RP_STEP_PARSE,
				"path: no such resource");
		break;
	case MHD_HTTP_METHOD_NOT_ALLOWED:
		http_send_error(r, r->error_status, RP_E_INPUT, RP_STEP_PARSE,
				"method: not allowed here");
		break;
	case MHD_HTTP_CONTENT_TOO_LARGE:
		http_send_error(r, r->error_status, RP_E_INPUT, RP_STEP_PARSE,
				"body: longer than %zu bytes",
				r->d->settings->http_body);
		break;
	case MHD_HTTP_REQUEST_TIMEOUT:
		http_send_error(r, r->error_status, RP_E_INPUT, RP_STEP_PARSE,
				"body: did not arrive within %lld ms",
				(long long)r->d->settings->http_read);
		break;
	case MHD_HTTP_TOO_MANY_REQUESTS:
		http_send_full(r, "no memory for the body");
		break;
	default:
		http_send_error(r, r->error_status, RP_E_INPUT, RP_STEP_PARSE,
				"path: the name is malformed or too long");
		break;
	}
}

/* Appends data to the body. Returns -1 if the connection must be closed. */
static int append_body(struct http_request *r, const char *data, size_t n)
{
	size_t max = r->d->settings->http_body;

	counter_add(COUNT_HTTP_BYTES_IN, n);
	if (daemon_now() - r->began_at > r->d->settings->http_read)
		set_error_status(r, MHD_HTTP_REQUEST_TIMEOUT);
	if (r->error_status)
		return conn_discard(r->caller, n, max);
	switch (conn_append(r->caller, data, n, max)) {
	case CONN_APPENDED:
		break;
	case CONN_TOO_LONG:
		set_error_status(r, MHD_HTTP_CONTENT_TOO_LARGE);
		break;
	case CONN_NO_MEMORY:
		set_error_status(r, MHD_HTTP_TOO_MANY_REQUESTS);
		break;
	case CONN_CLOSED:
		return -1;
	}
	return 0;
}

/* Called when the header is complete. Sends an error before a body is read. */
static enum MHD_Result begin_request(struct http_request *r, const char *method,
				     const char *url)
{
	const char *length = MHD_lookup_connection_value(
		r->conn, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
	int http_status = http_find_route(r, method, url);

	if (http_status)
		set_error_status(r, http_status);
	if (length && strtoull(length, NULL, 10) > r->d->settings->http_body) {
		conn_limit_reached(r->caller->table, CONN_LIMIT_BODY);
		set_error_status(r, MHD_HTTP_CONTENT_TOO_LARGE);
	}
	if (r->error_status && length)
		send_request_error(r);
	return MHD_YES;
}

static void begin_handling(struct http_request *r)
{
	int is_submission = r->route->handle == http_handle_job ||
			    r->route->handle == http_handle_request;

	if (conn_begin(r->caller, is_submission) < 0) {
		http_send_full(r, "too many requests are being handled");
		return;
	}
	r->body = r->caller->body;
	r->len = r->caller->len;
	if (!http_check_arguments(r))
		r->route->handle(r);
}

/* Called when the request is complete, and again after each suspension. */
static enum MHD_Result handle_request(struct http_request *r)
{
	if (r->error_status) {
		send_request_error(r);
	} else if (!r->handled) {
		r->handled = 1;
		begin_handling(r);
	} else if (atomic_load(&r->phase) == HTTP_READY) {
		if (r->response_kind == HTTP_RESPONSE_DISCONNECTED)
			return MHD_NO;
		http_send_response(r);
	}
	return MHD_YES;
}

static struct http_request *create_request(struct daemon *d,
					   struct MHD_Connection *conn)
{
	struct http_request *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->d = d;
	r->conn = conn;
	r->caller = conn_of(conn);
	r->began_at = daemon_now();
	atomic_init(&r->phase, HTTP_HANDLING);
	atomic_fetch_add(&d->http->nactive, 1);
	counter_add(COUNT_HTTP_REQUESTS, 1);
	return r;
}

/*
 * Called by the server when the header is complete, for each part of the body,
 * and when the request is complete.
 */
static enum MHD_Result on_request(void *arg, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **state)
{
	struct daemon *d = arg;
	struct http_request *r = *state;

	(void)version;
	if (!r) {
		r = create_request(d, conn);
		*state = r;
		return r && r->caller ? begin_request(r, method, url) : MHD_NO;
	}
	if (*len) {
		int rc = append_body(r, data, *len);

		*len = 0;
		return rc < 0 ? MHD_NO : MHD_YES;
	}
	if (r->responded)
		return MHD_YES;
	return handle_request(r);
}

/* Called by the server when a request has ended; frees it. */
static void on_completed(void *arg, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode reason)
{
	struct daemon *d = arg;
	struct http_request *r = *state;

	(void)conn;
	(void)reason;
	if (!r)
		return;
	if (r->caller)
		conn_end(r->caller);
	budget_release(&d->budget, RP_HOLD_MESSAGES, r->held);
	rp_answer_unref(r->answer);
	free(r->keys);
	free(r->conflicts);
	free(r);
	*state = NULL;
	atomic_fetch_sub(&d->http->nactive, 1);
}

/*
 * Keeps the server from decoding URLs. Routes are matched before decoding, so
 * that an encoded slash in a name is not taken for a path separator.
 */
static size_t leave_url_encoded(void *arg, struct MHD_Connection *conn, char *s)
{
	(void)arg;
	(void)conn;
	return strlen(s);
}

/* Logs an error message of the HTTP library. */
static void on_server_log(void *arg, const char *fmt, va_list ap)
{
	char text[256];

	(void)arg;
	vsnprintf(text, sizeof(text), fmt, ap);
	text[strcspn(text, "\n")] = '\0';
	log_debug("parse", "", "http server: %s", text);
}

/* Parses "ip:port". Returns 0 or -1. */
static int parse_address(const char *text, struct sockaddr_in *sa)
{
	char host[RP_ADDRESS_MAX];
	char *colon;

	memcpy(host, text, sizeof(host));
	colon = strrchr(host, ':');
	if (!colon)
		return -1;
	*colon = '\0';
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, host, &sa->sin_addr) == 1 ? 0 : -1;
}

int http_start(struct daemon *d)
{
	const struct settings *set = d->settings;
	struct http_server *server = apr_pcalloc(d->pool, sizeof(*server));
	struct sockaddr_in sa;

	d->http = server;
	if (parse_address(set->http_listen, &sa) < 0)
		return -1;
	conn_table_init(&server->conns, "callers", &d->budget,
			d->limits.callers, set->http_header + CONNECTION_BYTES);
	/* Each thread may have all connections. */
	server->mhd = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
			MHD_USE_ERROR_LOG,
		0, conn_on_accept, &server->conns, on_request, d,
		MHD_OPTION_EXTERNAL_LOGGER, on_server_log, NULL,
		MHD_OPTION_SOCK_ADDR, &sa, MHD_OPTION_THREAD_POOL_SIZE,
		(unsigned int)set->http_threads, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)(d->limits.callers * (size_t)set->http_threads),
		MHD_OPTION_NOTIFY_CONNECTION, conn_on_notify, &server->conns,
		MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)((set->http_idle + 999) / 1000),
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, set->http_header,
		MHD_OPTION_UNESCAPE_CALLBACK, leave_url_encoded, NULL,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, d,
		MHD_OPTION_LISTEN_BACKLOG_SIZE, LISTEN_BACKLOG,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, MHD_OPTION_END);
	if (server->mhd) {
		conn_limit_unread(server->mhd);
		return 0;
	}
	log_error("start", set->http_listen, "cannot listen for callers");
	return -1;
}

void http_stop_accepting(struct daemon *d)
{
	MHD_socket fd = MHD_quiesce_daemon(d->http->mhd);

	if (fd != MHD_INVALID_SOCKET)
		shutdown(fd, SHUT_RDWR);
}

void http_stop(struct daemon *d)
{
	if (!d->http || !d->http->mhd)
		return;
	MHD_stop_daemon(d->http->mhd);
	conn_table_finish(&d->http->conns);
}

void http_log_limits(struct daemon *d)
{
	conn_log_limits(&d->http->conns);
}

void http_write_limits(struct daemon *d, struct rp_writer *w)
{
	struct conn_table *t = &d->http->conns;
	enum conn_limit limit;
	enum rp_hold kind;

	pthread_mutex_lock(&t->lock);
	for (kind = 0; kind < RP_HOLDS; kind++)
		rp_writer_printf(w, "rosemaryd_held_bytes{what=\"%s\"} %zu\n",
				 budget_name(kind),
				 atomic_load(&d->budget.used[kind]));
	rp_writer_printf(w, "rosemaryd_held_bytes_limit %zu\n",
			 d->budget.limit);
	rp_writer_printf(w, "rosemaryd_connections %zu\n", t->n);
	rp_writer_printf(w, "rosemaryd_connections_limit %zu\n", t->max);
	for (limit = 0; limit < CONN_LIMITS; limit++)
		rp_writer_printf(w,
				 "rosemaryd_limit_reached_total{limit=\"%s\"} "
				 "%llu\n",
				 conn_limit_name(limit),
				 (unsigned long long)t->reached[limit]);
	pthread_mutex_unlock(&t->lock);
}

int http_make_room(struct http_request *r, enum rp_hold kind, size_t n)
{
	return conn_make_room(r->caller->table, kind, n);
}

int http_count_active(struct daemon *d)
{
	return atomic_load(&d->http->nactive);
}
