/*
 * Connections between entry VMs. Messages are sent over TCP, each preceded by
 * its length; each connection carries messages in one direction.
 *
 * One thread owns all sockets. Other threads only queue messages and wake it.
 * An outbound connection is opened when there is a message to send. It is also
 * polled for its end, so that a restart of the peer is detected at once.
 */

#include "daemon.h"

#include <apr_network_io.h>
#include <apr_poll.h>
#include <stdlib.h>
#include <string.h>

#include "daemon-peer.h"

#define POLL_MAX 1024 /* sockets */
#define POLL_TIMEOUT apr_time_from_msec(200)

apr_socket_t *peer_new_socket(struct peer_transport *pt, apr_pool_t *pool)
{
	apr_socket_t *s;

	(void)pt;
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

int peer_watch(struct peer_transport *pt, struct peer_fd *fd,
	       apr_int16_t events)
{
	if (fd->watched)
		apr_pollset_remove(pt->pollset, &fd->pfd);
	fd->pfd.desc_type = APR_POLL_SOCKET;
	fd->pfd.desc.s = fd->socket;
	fd->pfd.reqevents = events;
	fd->pfd.client_data = fd;
	fd->watched = apr_pollset_add(pt->pollset, &fd->pfd) == APR_SUCCESS;
	return fd->watched ? 0 : -1;
}

void peer_unwatch(struct peer_transport *pt, struct peer_fd *fd)
{
	if (fd->watched)
		apr_pollset_remove(pt->pollset, &fd->pfd);
	fd->watched = 0;
}

/* Opens the socket for connections of other entry VMs. */
static int open_listener(struct peer_transport *pt)
{
	const char *text = pt->d->settings->peer_listen;
	apr_sockaddr_t *sa = peer_parse_address(text, pt->pool);
	apr_status_t rc = APR_EINVAL;

	pt->listener.socket = sa ? peer_new_socket(pt, pt->pool) : NULL;
	if (pt->listener.socket) {
		apr_socket_opt_set(pt->listener.socket, APR_SO_REUSEADDR, 1);
		rc = apr_socket_bind(pt->listener.socket, sa);
	}
	if (rc == APR_SUCCESS)
		rc = apr_socket_listen(pt->listener.socket, 128);
	if (rc == APR_SUCCESS && !peer_watch(pt, &pt->listener, APR_POLLIN))
		return 0;
	log_error("start", text, "cannot listen for peers");
	return -1;
}

static void on_ready(struct peer_transport *pt, const apr_pollfd_t *pfd)
{
	struct peer_fd *fd = pfd->client_data;

	fd->on_ready(pt, fd, pfd->rtnevents);
}

static void *APR_THREAD_FUNC peer_main(apr_thread_t *thread, void *arg)
{
	struct peer_transport *pt = arg;

	(void)thread;
	daemon_name_thread("peers");
	while (!atomic_load(&pt->stopping)) {
		const apr_pollfd_t *ready;
		apr_int32_t n = 0, i;

		if (apr_pollset_poll(pt->pollset, POLL_TIMEOUT, &n, &ready) !=
		    APR_SUCCESS)
			n = 0;
		for (i = 0; i < n; i++)
			on_ready(pt, &ready[i]);
		peer_in_close_idle(pt);
		peer_out_process(pt);
	}
	return NULL;
}

int peer_start(struct daemon *d)
{
	struct peer_transport *pt = apr_pcalloc(d->pool, sizeof(*pt));

	pt->d = d;
	apr_pool_create(&pt->pool, d->pool);
	pt->listener.on_ready = peer_in_accept;
	if (apr_thread_mutex_create(&pt->lock, APR_THREAD_MUTEX_DEFAULT,
				    pt->pool) != APR_SUCCESS ||
	    apr_pollset_create(&pt->pollset, POLL_MAX, pt->pool,
			       APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY) !=
		    APR_SUCCESS)
		return -1;
	if (open_listener(pt) < 0)
		return -1;
	/* Set first: the thread may at once receive and send messages. */
	d->peers = pt;
	pt->thread = daemon_create_thread(d, peer_main, pt);
	if (pt->thread)
		return 0;
	d->peers = NULL;
	return -1;
}

void peer_stop(struct daemon *d)
{
	struct peer_transport *pt = d->peers;
	apr_status_t rc;

	if (!pt)
		return;
	atomic_store(&pt->stopping, 1);
	apr_pollset_wakeup(pt->pollset);
	apr_thread_join(&rc, pt->thread);
	peer_out_finish(pt);
	peer_in_finish(pt);
}
