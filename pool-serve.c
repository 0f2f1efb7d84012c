/* HTTP servers for callers, readiness checks and metrics. */

#include "pool.h"
#include "platform/platform.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#define CONNECTION_MEMORY 24576 /* bytes, for headers and read buffer */
#define MAX_CONNECTIONS 2000	/* of one server */
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
	struct pool_response *response;
	const char *host;

	(void)version;
	if (!r) {
		*state = pool_request_new(p, method, url);
		return *state ? MHD_YES : MHD_NO;
	}
	response = pool_request_response(r);
	if (*len) {
		if (pool_request_append(r, data, *len) < 0) {
			response->status = 413;
			response->body = "";
		}
		*len = 0;
		return MHD_YES;
	}
	if (!response->status) {
		host = find_header(conn, "Host");
		pool_request_begin(r, host ? host : "",
				   find_header(conn, PLATFORM_DEADLINE_HEADER),
				   conn);
	}
	if (!response->status)
		return MHD_YES; /* suspended */
	return queue_response(conn, response, p->stopping);
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

	(void)method;
	(void)version;
	(void)data;
	(void)len;
	(void)state;
	response.status = is_ready(p) ? 200 : 503;
	if (strcmp(url, PLATFORM_READY_PATH) != 0)
		response.status = 404;
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
	char *text = pool_metrics(p);
	enum MHD_Result rc;

	(void)url;
	(void)method;
	(void)version;
	(void)data;
	(void)len;
	(void)state;
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

static int start_http(struct pool *p, enum pool_server kind,
		      const char *address, MHD_AccessHandlerCallback handler)
{
	struct pool_http *h = &p->servers[kind];
	const union MHD_DaemonInfo *info;
	struct sockaddr_in sa;

	if (pool_parse_address(address, &sa) < 0) {
		log_error("start", address, "invalid address");
		return -1;
	}
	h->p = p;
	h->mhd = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		handler, h, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&sa,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)MAX_CONNECTIONS,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
		MHD_OPTION_NOTIFY_COMPLETED, on_request_completed, h,
		MHD_OPTION_END);
	if (!h->mhd) {
		log_error("start", address, "cannot listen");
		return -1;
	}
	info = MHD_get_daemon_info(h->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	h->fd.fd = info->epoll_fd;
	h->fd.on_event = on_mhd_event;
	return pool_fd_watch(p, &h->fd, EPOLLIN);
}

int pool_serve_init(struct pool *p)
{
	if (start_http(p, POOL_CALLERS, p->set.listen, on_caller_request) < 0 ||
	    start_http(p, POOL_READY, p->set.ready_listen, on_ready_request) <
		    0)
		return -1;
	if (!p->set.metrics_listen[0])
		return 0;
	return start_http(p, POOL_METRICS, p->set.metrics_listen,
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
		if (p->servers[i].mhd)
			MHD_stop_daemon(p->servers[i].mhd);
}
