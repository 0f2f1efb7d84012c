/*
 * Links between entry VMs: frames on TCP, one way per connection.
 *
 * One thread owns all sockets. Other threads only queue messages and wake
 * it. An outbound connection is opened when there is something to send and
 * is watched for its end, so that a peer's restart is seen at once.
 */

#include "daemon.h"

#include <apr_network_io.h>
#include <apr_poll.h>
#include <stdlib.h>
#include <string.h>

#include "daemon-peer.h"

#define POLL_MAX 1024
#define POLL_SPAN apr_time_from_msec(200)

apr_socket_t *peer_new_socket(struct peer_transport *ps, apr_pool_t *pool)
{
	apr_socket_t *s;

	(void)ps;
	if (apr_socket_create(&s, APR_INET, SOCK_STREAM, APR_PROTO_TCP, pool) !=
	    APR_SUCCESS)
		return NULL;
	apr_socket_opt_set(s, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(s, 0);
	apr_socket_opt_set(s, APR_TCP_NODELAY, 1);
	return s;
}

apr_sockaddr_t *peer_parse_address(const char *text, apr_pool_t *pool)
{
	apr_sockaddr_t *sa;
	apr_port_t port;
	char *host, *scope;

	if (apr_parse_addr_port(&host, &scope, &port, text, pool) !=
		    APR_SUCCESS ||
	    !host)
		return NULL;
	if (apr_sockaddr_info_get(&sa, host, APR_INET, port, 0, pool) !=
	    APR_SUCCESS)
		return NULL;
	return sa;
}

int peer_watch(struct peer_transport *ps, struct peer_fd *e, apr_int16_t events)
{
	if (e->watched)
		apr_pollset_remove(ps->pollset, &e->pfd);
	e->pfd.desc_type = APR_POLL_SOCKET;
	e->pfd.desc.s = e->socket;
	e->pfd.reqevents = events;
	e->pfd.client_data = e;
	e->watched = apr_pollset_add(ps->pollset, &e->pfd) == APR_SUCCESS;
	return e->watched ? 0 : -1;
}

void peer_unwatch(struct peer_transport *ps, struct peer_fd *e)
{
	if (e->watched)
		apr_pollset_remove(ps->pollset, &e->pfd);
	e->watched = 0;
}

/* Makes the socket on which other entry VMs connect. */
static int listen_for_peers(struct peer_transport *ps)
{
	const char *text = ps->d->settings->peer_listen;
	apr_sockaddr_t *sa = peer_parse_address(text, ps->pool);
	apr_status_t rc = APR_EINVAL;

	ps->listener.socket = sa ? peer_new_socket(ps, ps->pool) : NULL;
	if (ps->listener.socket) {
		apr_socket_opt_set(ps->listener.socket, APR_SO_REUSEADDR, 1);
		rc = apr_socket_bind(ps->listener.socket, sa);
	}
	if (rc == APR_SUCCESS)
		rc = apr_socket_listen(ps->listener.socket, 128);
	if (rc == APR_SUCCESS && !peer_watch(ps, &ps->listener, APR_POLLIN))
		return 0;
	log_error("start", text, "cannot listen for peers");
	return -1;
}

static void on_ready(struct peer_transport *ps, const apr_pollfd_t *pfd)
{
	struct peer_fd *e = pfd->client_data;

	e->on_ready(ps, e, pfd->rtnevents);
}

static void *APR_THREAD_FUNC run_peers(apr_thread_t *thread, void *arg)
{
	struct peer_transport *ps = arg;

	(void)thread;
	daemon_name_thread("peers");
	while (!atomic_load(&ps->stopping)) {
		const apr_pollfd_t *ready;
		apr_int32_t n = 0, i;

		if (apr_pollset_poll(ps->pollset, POLL_SPAN, &n, &ready) !=
		    APR_SUCCESS)
			n = 0;
		for (i = 0; i < n; i++)
			on_ready(ps, &ready[i]);
		peer_in_close_idle(ps);
		peer_out_process(ps);
	}
	return NULL;
}

int peer_start(struct daemon *d)
{
	struct peer_transport *ps = apr_pcalloc(d->pool, sizeof(*ps));

	ps->d = d;
	apr_pool_create(&ps->pool, d->pool);
	ps->listener.on_ready = peer_in_accept;
	if (apr_thread_mutex_create(&ps->lock, APR_THREAD_MUTEX_DEFAULT,
				    ps->pool) != APR_SUCCESS ||
	    apr_pollset_create(&ps->pollset, POLL_MAX, ps->pool,
			       APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY) !=
		    APR_SUCCESS)
		return -1;
	if (listen_for_peers(ps) < 0)
		return -1;
	/* Before the thread: its first message may lead to one that is sent. */
	d->peers = ps;
	ps->thread = daemon_create_thread(d, run_peers, ps);
	if (ps->thread)
		return 0;
	d->peers = NULL;
	return -1;
}

void peer_stop(struct daemon *d)
{
	struct peer_transport *ps = d->peers;
	apr_status_t rc;

	if (!ps)
		return;
	atomic_store(&ps->stopping, 1);
	apr_pollset_wakeup(ps->pollset);
	apr_thread_join(&rc, ps->thread);
	peer_out_finish(ps);
	peer_in_finish(ps);
}
