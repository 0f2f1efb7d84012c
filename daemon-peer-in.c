/* Inbound peer connections: reads messages and passes them to the kernel. */

#include "daemon-peer.h"

#include <stdlib.h>
#include <string.h>

#define READ_BYTES 65536 /* least free space in the buffer before a read */

/* An inbound connection of another entry VM. */
struct peer_in {
	struct peer_fd fd; /* must be the first member */
	struct peer_in *next;
	apr_pool_t *pool;
	char address[RP_ADDRESS_MAX]; /* IP address of the peer */
	int closed;		      /* peer_in_close_idle() frees it */
	rp_ms last_read_at;	      /* or when it was accepted */
	char *buf;
	size_t len, cap;
};

static uint32_t decode_length(const char *p)
{
	const unsigned char *bytes = (const unsigned char *)p;

	return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
	       (uint32_t)bytes[2] << 8 | bytes[3];
}

static void deliver(struct peer_transport *pt, const char *data, size_t len)
{
	struct rp_event ev = { .type = RP_EVENT_PEER_MESSAGE };

	ev.peer.data = data;
	ev.peer.len = len;
	counter_add(COUNT_PEER_MESSAGES_IN, 1);
	daemon_handle_event(pt->d, &ev);
}

/* Delivers the complete messages; returns -1 if one is too long. */
static int deliver_messages(struct peer_transport *pt, struct peer_in *in)
{
	size_t at = 0;

	while (in->len - at >= PEER_HEADER_BYTES) {
		size_t n = decode_length(in->buf + at);

		if (n > pt->d->settings->peer_message) {
			log_warn("relay", in->address,
				 "message of %zu bytes is too long", n);
			return -1;
		}
		if (in->len - at - PEER_HEADER_BYTES < n)
			break;
		deliver(pt, in->buf + at + PEER_HEADER_BYTES, n);
		at += PEER_HEADER_BYTES + n;
	}
	in->len -= at;
	memmove(in->buf, in->buf + at, in->len);
	return 0;
}

/*
 * Makes room for another read. The length limit of messages bounds the buffer
 * as well, since complete messages are removed after each read.
 */
static int reserve_space(struct peer_in *in)
{
	char *buf;

	if (in->cap - in->len >= READ_BYTES)
		return 0;
	buf = realloc(in->buf, in->cap * 2 + READ_BYTES);
	if (!buf)
		return -1;
	in->buf = buf;
	in->cap = in->cap * 2 + READ_BYTES;
	return 0;
}

static void close_connection(struct peer_transport *pt, struct peer_in *in)
{
	if (in->closed)
		return;
	in->closed = 1;
	peer_unwatch(pt, &in->fd);
	apr_socket_close(in->fd.socket);
}

static void on_readable(struct peer_transport *pt, struct peer_fd *fd,
			apr_int16_t events)
{
	struct peer_in *in = (struct peer_in *)fd;
	apr_size_t n;
	apr_status_t rc;

	(void)events;
	if (in->closed)
		return;
	if (reserve_space(in) < 0) {
		close_connection(pt, in);
		return;
	}
	n = in->cap - in->len;
	rc = apr_socket_recv(fd->socket, in->buf + in->len, &n);
	if (APR_STATUS_IS_EAGAIN(rc))
		return;
	if (rc != APR_SUCCESS || n == 0) {
		close_connection(pt, in);
		return;
	}
	in->len += n;
	in->last_read_at = daemon_now();
	counter_add(COUNT_PEER_BYTES_IN, n);
	if (deliver_messages(pt, in) < 0)
		close_connection(pt, in);
}

/* Adds a connection for an accepted socket. */
static void add_connection(struct peer_transport *pt, apr_socket_t *s,
			   apr_pool_t *pool)
{
	struct peer_in *in = apr_pcalloc(pool, sizeof(*in));
	apr_sockaddr_t *sa;

	in->fd.on_ready = on_readable;
	in->fd.socket = s;
	in->pool = pool;
	in->last_read_at = daemon_now();
	if (apr_socket_addr_get(&sa, APR_REMOTE, s) == APR_SUCCESS)
		apr_sockaddr_ip_getbuf(in->address, sizeof(in->address), sa);
	apr_socket_opt_set(s, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(s, 0);
	apr_socket_opt_set(s, APR_TCP_NODELAY, 1);
	apr_socket_opt_set(s, APR_SO_KEEPALIVE, 1);
	in->next = pt->in_conns;
	pt->in_conns = in;
	pt->nin_conns++;
	if (peer_watch(pt, &in->fd, APR_POLLIN) < 0)
		close_connection(pt, in);
}

void peer_in_accept(struct peer_transport *pt, struct peer_fd *fd,
		    apr_int16_t events)
{
	apr_pool_t *pool;
	apr_socket_t *s;

	(void)events;
	if (apr_pool_create(&pool, pt->pool) != APR_SUCCESS)
		return;
	if (apr_socket_accept(&s, fd->socket, pool) != APR_SUCCESS) {
		apr_pool_destroy(pool);
		return;
	}
	if ((size_t)pt->nin_conns >= pt->d->limits.peers) {
		log_warn("relay", "", "too many peer connections: %d",
			 pt->nin_conns);
		apr_pool_destroy(pool);
		return;
	}
	add_connection(pt, s, pool);
}

/*
 * A peer whose machine has failed does not close its connections, and they must
 * not use up the connection limit. So idle connections are closed as well.
 */
void peer_in_close_idle(struct peer_transport *pt)
{
	rp_ms idle_since = daemon_now() - pt->d->settings->peer_idle;
	struct peer_in **at = &pt->in_conns;

	while (*at) {
		struct peer_in *in = *at;

		if (in->last_read_at < idle_since)
			close_connection(pt, in);
		if (!in->closed) {
			at = &in->next;
			continue;
		}
		*at = in->next;
		pt->nin_conns--;
		free(in->buf);
		apr_pool_destroy(in->pool);
	}
}

void peer_in_finish(struct peer_transport *pt)
{
	struct peer_in *in;

	for (in = pt->in_conns; in; in = in->next)
		close_connection(pt, in);
	peer_in_close_idle(pt);
}
