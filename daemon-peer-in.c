/* Inbound links: reads frames and gives them to the kernel. */

#include "daemon-peer.h"

#include <stdlib.h>
#include <string.h>

#define READ_BYTES 65536

struct peer_in {
	struct peer_fd fd;
	struct peer_in *next;
	apr_pool_t *pool;
	char address[RP_ADDRESS_MAX];
	int closed;
	rp_ms last_read_at; /* when bytes last came */
	char *buf;
	size_t len, cap;
};

static uint32_t frame_length(const char *p)
{
	const unsigned char *u = (const unsigned char *)p;

	return (uint32_t)u[0] << 24 | (uint32_t)u[1] << 16 |
	       (uint32_t)u[2] << 8 | u[3];
}

static void deliver(struct peer_transport *ps, const char *data, size_t len)
{
	struct rp_event ev = { .type = RP_EVENT_PEER_MESSAGE };

	ev.peer.data = data;
	ev.peer.len = len;
	counter_add(COUNT_PEER_MESSAGES_IN, 1);
	daemon_handle_event(ps->d, &ev);
}

/* Delivers the whole frames of the buffer. Returns -1 when one is too long. */
static int take_frames(struct peer_transport *ps, struct peer_in *in)
{
	size_t at = 0;

	while (in->len - at >= PEER_HEADER_BYTES) {
		size_t n = frame_length(in->buf + at);

		if (n > ps->d->settings->peer_message) {
			log_warn("relay", in->address,
				 "frame of %zu bytes is too long", n);
			return -1;
		}
		if (in->len - at - PEER_HEADER_BYTES < n)
			break;
		deliver(ps, in->buf + at + PEER_HEADER_BYTES, n);
		at += PEER_HEADER_BYTES + n;
	}
	in->len -= at;
	memmove(in->buf, in->buf + at, in->len);
	return 0;
}

/* Makes room for one more read; the frame bound bounds the buffer too. */
static int grow(struct peer_in *in)
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

static void close_in(struct peer_transport *ps, struct peer_in *in)
{
	if (in->closed)
		return;
	in->closed = 1;
	peer_unwatch(ps, &in->fd);
	apr_socket_close(in->fd.socket);
}

static void on_readable(struct peer_transport *ps, struct peer_fd *e,
			apr_int16_t events)
{
	struct peer_in *in = (struct peer_in *)e;
	apr_size_t n;
	apr_status_t rc;

	(void)events;
	if (in->closed)
		return;
	if (grow(in) < 0) {
		close_in(ps, in);
		return;
	}
	n = in->cap - in->len;
	rc = apr_socket_recv(e->socket, in->buf + in->len, &n);
	if (APR_STATUS_IS_EAGAIN(rc))
		return;
	if (rc != APR_SUCCESS || n == 0) {
		close_in(ps, in);
		return;
	}
	in->len += n;
	in->last_read_at = daemon_now();
	counter_add(COUNT_PEER_BYTES_IN, n);
	if (take_frames(ps, in) < 0)
		close_in(ps, in);
}

/* Starts to read from an accepted socket. */
static void add_in(struct peer_transport *ps, apr_socket_t *s, apr_pool_t *pool)
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
	in->next = ps->in_conns;
	ps->in_conns = in;
	ps->nin_conns++;
	if (peer_watch(ps, &in->fd, APR_POLLIN) < 0)
		close_in(ps, in);
}

void peer_in_accept(struct peer_transport *ps, struct peer_fd *e,
		    apr_int16_t events)
{
	apr_pool_t *pool;
	apr_socket_t *s;

	(void)events;
	if (apr_pool_create(&pool, ps->pool) != APR_SUCCESS)
		return;
	if (apr_socket_accept(&s, e->socket, pool) != APR_SUCCESS) {
		apr_pool_destroy(pool);
		return;
	}
	if (ps->nin_conns >= ps->d->settings->peer_connections) {
		log_warn("relay", "", "too many peer connections: %d",
			 ps->nin_conns);
		apr_pool_destroy(pool);
		return;
	}
	add_in(ps, s, pool);
}

/*
 * A peer whose machine is gone ends no connection; such connections must
 * not use up the bound.
 */
void peer_in_close_idle(struct peer_transport *ps)
{
	rp_ms oldest = daemon_now() - ps->d->settings->peer_idle;
	struct peer_in **at = &ps->in_conns;

	while (*at) {
		struct peer_in *in = *at;

		if (in->last_read_at < oldest)
			close_in(ps, in);
		if (!in->closed) {
			at = &in->next;
			continue;
		}
		*at = in->next;
		ps->nin_conns--;
		free(in->buf);
		apr_pool_destroy(in->pool);
	}
}

void peer_in_finish(struct peer_transport *ps)
{
	struct peer_in *in;

	for (in = ps->in_conns; in; in = in->next)
		close_in(ps, in);
	peer_in_close_idle(ps);
}
