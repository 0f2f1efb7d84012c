/*
 * The HTTP server of the stand-ins. One thread accepts on all ports and
 * distributes the connections round-robin over libmicrohttpd daemons, each of
 * which runs its own thread.
 */

#include "fake.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MAX 60000 /* per daemon thread */
/* Connections accepted on a port before the other ports have their turn. */
#define ACCEPT_BATCH 64

/* --- suspended requests ----------------------------------------------- */

void fake_request_suspend(struct fake_request *r)
{
	struct fake_server *srv = r->conn->srv;

	apr_thread_mutex_lock(srv->lock);
	if (!srv->stopping) {
		MHD_suspend_connection(r->mhd);
		r->suspended = 1;
		r->prev = NULL;
		r->next = srv->suspended;
		if (r->next)
			r->next->prev = r;
		srv->suspended = r;
	}
	apr_thread_mutex_unlock(srv->lock);
}

/* Removes the request from the list and resumes it; the lock is held. */
static void resume_locked(struct fake_server *srv, struct fake_request *r)
{
	if (!r->suspended)
		return;
	if (r->next)
		r->next->prev = r->prev;
	if (r->prev)
		r->prev->next = r->next;
	else
		srv->suspended = r->next;
	r->suspended = 0;
	r->resumed = 1;
	MHD_resume_connection(r->mhd);
}

void fake_request_resume(struct fake_request *r)
{
	struct fake_server *srv = r->conn->srv;

	apr_thread_mutex_lock(srv->lock);
	resume_locked(srv, r);
	apr_thread_mutex_unlock(srv->lock);
}

const char *fake_request_arg(struct fake_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->mhd, MHD_GET_ARGUMENT_KIND, name);
}

const char *fake_request_header(struct fake_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->mhd, MHD_HEADER_KIND, name);
}

/* --- requests --------------------------------------------------------- */

/* Queues the reply; libmicrohttpd frees its body. */
static enum MHD_Result send_reply(struct fake_request *r)
{
	struct fake_reply *reply = &r->reply;
	struct MHD_Response *res;
	enum MHD_Result ret;

	res = MHD_create_response_from_buffer(reply->len, reply->body,
					      MHD_RESPMEM_MUST_FREE);
	reply->body = NULL;
	if (!res)
		return MHD_NO;
	if (reply->header_name)
		MHD_add_response_header(res, reply->header_name,
					reply->header_value);
	ret = MHD_queue_response(r->mhd, reply->status, res);
	MHD_destroy_response(res);
	return ret;
}

/* Allocates a request when its headers have been received. */
static struct fake_request *request_new(struct MHD_Connection *mhd,
					const char *url, const char *method)
{
	const union MHD_ConnectionInfo *info;
	struct fake_request *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	r->mhd = mhd;
	r->conn = info ? info->socket_context : NULL;
	r->path = url;
	r->method = method;
	return r;
}

/* Appends a part of the body, which stays NUL-terminated. */
static int request_append(struct fake_request *r, const char *data, size_t len)
{
	if (r->len + len + 1 > r->cap) {
		size_t cap = 2 * (r->len + len + 1);
		char *body = realloc(r->body, cap);

		if (!body)
			return -1;
		r->body = body;
		r->cap = cap;
	}
	memcpy(r->body + r->len, data, len);
	r->len += len;
	r->body[r->len] = '\0';
	return 0;
}

/*
 * libmicrohttpd calls this with the headers, then with each part of the body,
 * and with *len 0 when the body is complete and after a resume.
 */
static enum MHD_Result on_request(void *cls, struct MHD_Connection *mhd,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **req_cls)
{
	struct fake_server *srv = cls;
	struct fake_request *r = *req_cls;

	(void)version;
	if (!r) {
		*req_cls = r = request_new(mhd, url, method);
		return r && r->conn ? MHD_YES : MHD_NO;
	}
	if (*len) {
		if (request_append(r, data, *len))
			return MHD_NO;
		*len = 0;
		return MHD_YES;
	}
	if (srv->stopping || r->conn->refused)
		return MHD_NO;
	switch (srv->ops->handle(r)) {
	case FAKE_REPLY:
		return send_reply(r);
	case FAKE_SUSPENDED:
		return MHD_YES;
	case FAKE_DROP:
		break;
	}
	return MHD_NO;
}

/* Frees a request, whether or not a reply was sent. */
static void on_completed(void *cls, struct MHD_Connection *mhd, void **req_cls,
			 enum MHD_RequestTerminationCode code)
{
	struct fake_request *r = *req_cls;

	(void)cls;
	(void)mhd;
	(void)code;
	if (!r)
		return;
	free(r->reply.body);
	free(r->body);
	free(r);
	*req_cls = NULL;
}

/* --- connections ------------------------------------------------------ */

/* The socket of a connection, or -1. */
static int connection_fd(struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);

	return info ? info->connect_fd : -1;
}

/* The index of the server's port that accepted the connection. */
static size_t port_index(struct fake_server *srv, struct MHD_Connection *mhd)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);

	if (getsockname(connection_fd(mhd), (struct sockaddr *)&addr, &len))
		return 0;
	return ntohs(addr.sin_port) - srv->first_port;
}

/* Sets up a new connection, or frees a closed one. */
static void on_connection(void *cls, struct MHD_Connection *mhd, void **ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	struct fake_server *srv = cls;
	struct fake_conn *c = *ctx;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (c && srv->ops->conn_closed)
			srv->ops->conn_closed(c);
		free(c);
		*ctx = NULL;
		return;
	}
	c = calloc(1, sizeof(*c));
	*ctx = c;
	if (!c)
		return;
	c->srv = srv;
	c->port = port_index(srv, mhd);
	apr_thread_mutex_lock(srv->lock);
	c->serial = ++srv->serial;
	apr_thread_mutex_unlock(srv->lock);
	if (srv->ops->conn_opened && !srv->ops->conn_opened(c)) {
		c->refused = 1;
		shutdown(connection_fd(mhd), SHUT_RDWR);
	}
}

/* Accepts up to ACCEPT_BATCH pending connections on one port. */
static void accept_batch(struct fake_server *srv, int listener)
{
	static unsigned int next_daemon;
	int i;

	for (i = 0; i < ACCEPT_BATCH; i++) {
		struct sockaddr_in addr;
		socklen_t len = sizeof(addr);
		int fd = accept4(listener, (struct sockaddr *)&addr, &len,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		MHD_add_connection(srv->daemons[next_daemon++ % srv->ndaemons],
				   fd, (struct sockaddr *)&addr, len);
	}
}

/* Accepts connections on all ports until the stop pipe is readable. */
static void *APR_THREAD_FUNC accept_thread(apr_thread_t *thread, void *arg)
{
	struct fake_server *srv = arg;
	struct epoll_event evs[ACCEPT_BATCH];

	(void)thread;
	for (;;) {
		int i, n = epoll_wait(srv->epoll, evs, ACCEPT_BATCH, -1);

		for (i = 0; i < n; i++) {
			if (evs[i].data.fd == srv->stop_pipe[0])
				return NULL;
			accept_batch(srv, evs[i].data.fd);
		}
	}
}

/* --- start and stop --------------------------------------------------- */

/* Parses "ip:port"; returns -1 when it is malformed. */
static int parse_address(const char *text, struct sockaddr_in *addr)
{
	const char *colon = strrchr(text, ':');
	char ip[64], *end;
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return -1;
	memcpy(ip, text, colon - text);
	ip[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end || port < 1 || port > 65535)
		return -1;
	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	addr->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &addr->sin_addr) == 1 ? 0 : -1;
}

/* Adds a descriptor to the epoll set of the accepting thread. */
static int epoll_add(struct fake_server *srv, int fd)
{
	struct epoll_event ev = { .events = EPOLLIN, .data.fd = fd };

	return epoll_ctl(srv->epoll, EPOLL_CTL_ADD, fd, &ev);
}

/* Opens the listener of the i-th port. */
static int listen_on_port(struct fake_server *srv, struct sockaddr_in *addr,
			  size_t i)
{
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	srv->listeners[i] = fd;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	addr->sin_port = htons((uint16_t)(srv->first_port + i));
	if (bind(fd, (struct sockaddr *)addr, sizeof(*addr)) || listen(fd, 512))
		return -1;
	return epoll_add(srv, fd);
}

/* Raises the soft limit on open files to the hard limit. */
static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

/* Starts a libmicrohttpd daemon that does not listen by itself. */
static struct MHD_Daemon *start_daemon(struct fake_server *srv)
{
	unsigned int flags = MHD_USE_EPOLL | MHD_USE_INTERNAL_POLLING_THREAD |
			     MHD_USE_NO_LISTEN_SOCKET | MHD_USE_ITC |
			     MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO;

	return MHD_start_daemon(flags, 0, NULL, NULL, on_request, srv,
				MHD_OPTION_NOTIFY_COMPLETED, on_completed, srv,
				MHD_OPTION_NOTIFY_CONNECTION, on_connection,
				srv, MHD_OPTION_CONNECTION_LIMIT,
				CONNECTIONS_MAX, MHD_OPTION_END);
}

/* Listens on all ports; prints an error and returns -1 on failure. */
static int start_listeners(struct fake_server *srv, struct sockaddr_in *addr)
{
	size_t i;

	srv->first_port = ntohs(addr->sin_port);
	srv->listeners =
		apr_pcalloc(srv->pool, srv->nports * sizeof(*srv->listeners));
	for (i = 0; i < srv->nports; i++) {
		if (!listen_on_port(srv, addr, i))
			continue;
		fprintf(stderr, "cannot listen on port %zu: %s\n",
			srv->first_port + i, strerror(errno));
		return -1;
	}
	return 0;
}

int fake_server_start(struct fake_server *srv, const char *listen_at,
		      size_t nports, size_t threads)
{
	struct sockaddr_in addr;
	sigset_t mask;

	if (parse_address(listen_at, &addr)) {
		fprintf(stderr, "--listen must be IP:PORT, not '%s'\n",
			listen_at);
		return -1;
	}
	raise_file_limit();
	sigemptyset(&mask);
	sigaddset(&mask, SIGINT);
	sigaddset(&mask, SIGTERM);
	sigprocmask(SIG_BLOCK, &mask, NULL);
	signal(SIGPIPE, SIG_IGN);
	srv->nports = nports;
	srv->epoll = epoll_create1(EPOLL_CLOEXEC);
	apr_thread_mutex_create(&srv->lock, APR_THREAD_MUTEX_DEFAULT,
				srv->pool);
	if (srv->epoll < 0 || pipe(srv->stop_pipe) ||
	    epoll_add(srv, srv->stop_pipe[0]) || start_listeners(srv, &addr))
		return -1;
	/* Started last, so that no failure above leaves its thread running. */
	fake_timers_init(&srv->timers, srv->pool);
	for (; srv->ndaemons < threads; srv->ndaemons++) {
		srv->daemons[srv->ndaemons] = start_daemon(srv);
		if (!srv->daemons[srv->ndaemons]) {
			fprintf(stderr, "cannot start an HTTP daemon\n");
			fake_timers_finish(&srv->timers);
			return -1;
		}
	}
	if (apr_thread_create(&srv->acceptor, NULL, accept_thread, srv,
			      srv->pool) != APR_SUCCESS)
		return -1;
	printf("{\"event\":\"listening\",\"address\":\"%s\",\"count\":%zu}\n",
	       listen_at, nports);
	fflush(stdout);
	return 0;
}

/* Stops accepting, drops suspended requests, closes all connections. */
static void server_stop(struct fake_server *srv)
{
	apr_status_t status;
	size_t i;

	fake_timers_finish(&srv->timers);
	(void)!write(srv->stop_pipe[1], "", 1);
	apr_thread_join(&status, srv->acceptor);
	for (i = 0; i < srv->nports; i++)
		close(srv->listeners[i]);
	apr_thread_mutex_lock(srv->lock);
	srv->stopping = 1;
	while (srv->suspended)
		resume_locked(srv, srv->suspended);
	apr_thread_mutex_unlock(srv->lock);
	for (i = 0; i < srv->ndaemons; i++)
		MHD_stop_daemon(srv->daemons[i]);
	close(srv->epoll);
	close(srv->stop_pipe[0]);
	close(srv->stop_pipe[1]);
}

void fake_server_run(struct fake_server *srv)
{
	sigset_t mask;
	int sig;

	sigemptyset(&mask);
	sigaddset(&mask, SIGINT);
	sigaddset(&mask, SIGTERM);
	sigwait(&mask, &sig);
	server_stop(srv);
}
