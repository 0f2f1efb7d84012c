/* HTTP servers for callers, readiness checks and metrics. */

#include "pool-request.h"
#include "platform/platform.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#define IDLE_TIMEOUT_S 60
/* A VM is ready if the leader was alive within this time. */
#define READY_LEADER_MS 1500

static enum MHD_Result queue_response(struct MHD_Connection *conn,
				      const struct pool_response *r,
				      int close_connection)
{
	struct MHD_Response *response;
	enum MHD_Result rc;
	char seconds[16];

	response = MHD_create_response_from_buffer(
		strlen(r->body), (void *)r->body, MHD_RESPMEM_MUST_COPY);
	if (!response)
		return MHD_NO;
	MHD_add_response_header(response, "Content-Type", "application/json");
	if (r->retry_after_s) {
		snprintf(seconds, sizeof(seconds), "%u", r->retry_after_s);
		MHD_add_response_header(response, "Retry-After", seconds);
	}
	if (close_connection)
		MHD_add_response_header(response, "Connection", "close");
	rc = MHD_queue_response(conn, r->status, response);
	MHD_destroy_response(response);
	return rc;
}

static const char *find_header(struct MHD_Connection *conn, const char *name)
{
	return MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name);
}

static void respond_too_long(struct pool_request *r)
{
	pool_request_respond(r, 413, "{\"error\":\"body too long\"}", 0);
	pool_request_log_rejected(r, "body too long");
}

/*
 * The first call for a request. One whose body is announced to be too long is
 * answered at once, and its connection closed.
 */
static enum MHD_Result begin_request(struct MHD_Connection *conn,
				     struct pool_request *r)
{
	const char *length = find_header(conn, "Content-Length");

	r->caller = conn_of(conn);
	if (!r->caller)
		return MHD_NO;
	if (!length || strtoull(length, NULL, 10) <= r->max_body)
		return MHD_YES;
	conn_limit_reached(r->caller->table, CONN_LIMIT_BODY);
	respond_too_long(r);
	return queue_response(conn, &r->response, 1);
}

/* The connection is closed if the result is MHD_NO. */
static enum MHD_Result receive_body(struct pool_request *r, const char *data,
				    size_t len)
{
	if (r->response.status)
		return conn_discard(r->caller, len, r->max_body) < 0 ? MHD_NO
								     : MHD_YES;
	switch (conn_append(r->caller, data, len, r->max_body)) {
	case CONN_APPENDED:
		break;
	case CONN_TOO_LONG:
		respond_too_long(r);
		break;
	case CONN_NO_MEMORY:
		pool_request_respond(r, 503, "{\"error\":\"out of memory\"}",
				     DEFAULT_RETRY_AFTER_S);
		pool_request_log_rejected(r, "no memory for the body");
		break;
	case CONN_CLOSED:
		return MHD_NO;
	}
	return MHD_YES;
}

/* The request is complete, or goes on after it was suspended. */
static void handle_request(struct pool_request *r, struct MHD_Connection *conn)
{
	const char *host = find_header(conn, "Host");

	if (conn_begin(r->caller, !strcmp(r->method, "POST")) < 0) {
		pool_request_respond(r, 503,
				     "{\"error\":\"too many requests\"}",
				     DEFAULT_RETRY_AFTER_S);
		pool_request_log_rejected(r, "too many open requests");
		return;
	}
	pool_request_begin(r, host ? host : "",
			   find_header(conn, PLATFORM_DEADLINE_HEADER), conn);
}

/*
 * libmicrohttpd calls this after the headers, for each part of the body, after
 * the body, and when a suspended connection was resumed.
 */
static enum MHD_Result on_caller_request(void *arg, struct MHD_Connection *conn,
					 const char *url, const char *method,
					 const char *version, const char *data,
					 size_t *len, void **state)
{
	struct pool *p = ((struct pool_http *)arg)->p;
	struct pool_request *r = *state;
	size_t n = *len;
	int refused;

	(void)version;
	if (!r) {
		r = *state = pool_request_new(p, method, url);
		return r ? begin_request(conn, r) : MHD_NO;
	}
	if (n) {
		*len = 0;
		return receive_body(r, data, n);
	}
	/* What comes after a body that was refused is not read any more. */
	refused = r->response.status != 0 && !r->conn;
	if (!r->response.status)
		handle_request(r, conn);
	if (!r->response.status)
		return MHD_YES; /* suspended */
	return queue_response(conn, &r->response, p->stopping || refused);
}

static void on_request_completed(void *arg, struct MHD_Connection *conn,
				 void **state,
				 enum MHD_RequestTerminationCode code)
{
	struct pool_request *r = *state;

	(void)arg;
	(void)conn;
	(void)code;
	if (!r)
		return;
	pool_request_caller_closed(r);
	if (r->caller)
		conn_end(r->caller);
	pool_request_free(r);
	*state = NULL;
}

static int is_ready(const struct pool *p)
{
	return p->routes && !p->stopping &&
	       (p->leading || (p->leader_alive_at &&
			       p->now - p->leader_alive_at < READY_LEADER_MS));
}

static enum MHD_Result on_ready_request(void *arg, struct MHD_Connection *conn,
					const char *url, const char *method,
					const char *version, const char *data,
					size_t *len, void **state)
{
	struct pool *p = ((struct pool_http *)arg)->p;
	struct pool_response response = { .body = "{}" };
	struct conn *c = conn_of(conn);

	(void)method;
	(void)version;
	(void)data;
	(void)len;
	(void)state;
	response.status = is_ready(p) ? 200 : 503;
	if (strcmp(url, PLATFORM_READY_PATH) != 0)
		response.status = 404;
	if (c)
		conn_end(c); /* it waits for the next request from now on */
	return queue_response(conn, &response, 0);
}

static enum MHD_Result on_metrics_request(void *arg,
					  struct MHD_Connection *conn,
					  const char *url, const char *method,
					  const char *version, const char *data,
					  size_t *len, void **state)
{
	struct pool *p = ((struct pool_http *)arg)->p;
	struct pool_response response = { .status = 200 };
	struct conn *c = conn_of(conn);
	char *text = pool_metrics(p);
	enum MHD_Result rc;

	(void)url;
	(void)method;
	(void)version;
	(void)data;
	(void)len;
	(void)state;
	if (c)
		conn_end(c);
	response.body = text;
	rc = queue_response(conn, &response, 0);
	free(text);
	return rc;
}

static void on_mhd_event(struct pool_fd *f, uint32_t events)
{
	(void)events;
	((struct pool_http *)((char *)f - offsetof(struct pool_http, fd)))
		->run_due = 1;
}

static const char *const server_names[POOL_SERVERS] = { "callers", "ready",
							"metrics" };

static int start_http(struct pool *p, enum pool_server kind,
		      const char *address, size_t connections,
		      MHD_AccessHandlerCallback handler)
{
	struct pool_http *h = &p->servers[kind];
	const union MHD_DaemonInfo *info;
	struct sockaddr_in sa;

	if (pool_parse_address(address, &sa) < 0) {
		log_error("start", address, "invalid address");
		return -1;
	}
	h->p = p;
	conn_table_init(&h->conns, server_names[kind], &p->budget, connections,
			POOL_CONNECTION_COST);
	h->mhd = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, conn_on_accept,
		&h->conns, handler, h, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&sa, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)POOL_CONNECTION_MEMORY, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned)connections, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned)IDLE_TIMEOUT_S, MHD_OPTION_NOTIFY_CONNECTION,
		conn_on_notify, &h->conns, MHD_OPTION_NOTIFY_COMPLETED,
		on_request_completed, h, MHD_OPTION_END);
	if (!h->mhd) {
		log_error("start", address, "cannot listen");
		return -1;
	}
	conn_limit_unread(h->mhd);
	info = MHD_get_daemon_info(h->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	h->fd.fd = info->epoll_fd;
	h->fd.on_event = on_mhd_event;
	return pool_fd_watch(p, &h->fd, EPOLLIN);
}

int pool_serve_init(struct pool *p)
{
	const struct pool_limits *l = &p->limits;

	if (start_http(p, POOL_CALLERS, p->set.listen, l->callers,
		       on_caller_request) < 0 ||
	    start_http(p, POOL_READY, p->set.ready_listen, l->ready,
		       on_ready_request) < 0)
		return -1;
	if (!p->set.metrics_listen[0])
		return 0;
	return start_http(p, POOL_METRICS, p->set.metrics_listen, l->metrics,
			  on_metrics_request);
}

void pool_serve_resume(struct pool *p, struct MHD_Connection *conn)
{
	MHD_resume_connection(conn);
	p->servers[POOL_CALLERS].run_due = 1;
}

rp_ms pool_serve_run(struct pool *p)
{
	rp_ms timeout = -1;
	int i;

	for (i = 0; i < POOL_SERVERS; i++) {
		struct pool_http *h = &p->servers[i];
		MHD_UNSIGNED_LONG_LONG ms;

		if (!h->mhd)
			continue;
		if (h->run_due) {
			h->run_due = 0;
			MHD_run(h->mhd);
		}
		if (MHD_get_timeout(h->mhd, &ms) != MHD_YES)
			continue;
		if (timeout < 0 || (rp_ms)ms < timeout)
			timeout = (rp_ms)ms;
		h->run_due = 1; /* the loop calls again at that time */
	}
	return timeout;
}

void pool_serve_finish(struct pool *p)
{
	int i;

	for (i = 0; i < POOL_SERVERS; i++)
		if (p->servers[i].mhd) {
			MHD_stop_daemon(p->servers[i].mhd);
			conn_table_finish(&p->servers[i].conns);
		}
}
