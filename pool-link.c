/* Links between entry VMs: length-prefixed protobuf messages over TCP. */

#include "pool.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEADER_BYTES 4	     /* length of the frame, big-endian */
#define FRAME_MAX (1u << 20) /* bytes */
#define READ_BYTES 16384     /* least space in the buffer for a recv() */
#define OUT_MAX (8u << 20)   /* bytes; a link with more to write is closed */
#define LISTEN_BACKLOG 256
#define IDLE_TIMEOUT_MS 2000 /* without data, after which a link is closed */

static struct pool_link *link_new(struct pool *p, int fd)
{
	struct pool_link *l = calloc(1, sizeof(*l));
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	l->p = p;
	l->fd.fd = fd;
	l->opened_at = l->received_at = p->now;
	l->next = p->links;
	p->links = l;
	p->count.links++;
	return l;
}

static uint32_t frame_length(const char *at)
{
	const unsigned char *u = (const unsigned char *)at;

	return (uint32_t)u[0] << 24 | (uint32_t)u[1] << 16 |
	       (uint32_t)u[2] << 8 | u[3];
}

/* Handles the complete frames in the input buffer. */
static void parse_frames(struct pool_link *l)
{
	size_t at = 0;

	while (!l->closed && l->in_len - at >= HEADER_BYTES) {
		size_t n = frame_length(l->in + at);
		PoolFrame *frame;

		if (n > FRAME_MAX) {
			pool_link_close(l, "frame too long");
			return;
		}
		if (l->in_len - at - HEADER_BYTES < n)
			break;
		frame = pool_frame__unpack(
			NULL, n, (uint8_t *)l->in + at + HEADER_BYTES);
		at += HEADER_BYTES + n;
		if (!frame) {
			pool_link_close(l, "malformed frame");
			return;
		}
		pool_frame_received(l, frame);
		pool_frame__free_unpacked(frame, NULL);
	}
	if (!at)
		return;
	l->in_len -= at;
	memmove(l->in, l->in + at, l->in_len);
}

/* Returns -1 when the connection is closed or failed. */
static int read_link(struct pool_link *l)
{
	ssize_t n;

	if (l->in_cap - l->in_len < READ_BYTES) {
		l->in_cap = l->in_cap * 2 + READ_BYTES;
		l->in = realloc(l->in, l->in_cap);
	}
	n = recv(l->fd.fd, l->in + l->in_len, l->in_cap - l->in_len, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return 0;
	if (n <= 0)
		return -1;
	l->in_len += (size_t)n;
	l->received_at = l->p->now;
	return 0;
}

static void write_link(struct pool_link *l)
{
	ssize_t n;

	if (l->closed || l->connecting || !l->out_len)
		return;
	n = send(l->fd.fd, l->out, l->out_len, MSG_NOSIGNAL);
	if (n < 0 && errno != EAGAIN && errno != EINTR) {
		pool_link_close(l, strerror(errno));
		return;
	}
	if (n > 0) {
		l->out_len -= (size_t)n;
		memmove(l->out, l->out + n, l->out_len);
	}
	pool_fd_watch(l->p, &l->fd,
		      l->out_len ? EPOLLIN | EPOLLOUT : (uint32_t)EPOLLIN);
}

static void on_connected(struct pool_link *l)
{
	int err = 0;
	socklen_t len = sizeof(err);

	getsockopt(l->fd.fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (err) {
		pool_link_on_close(l, strerror(err), err == ECONNREFUSED);
		l->closed = 1;
		return;
	}
	l->connecting = 0;
	l->received_at = l->p->now;
}

static void on_link_event(struct pool_fd *f, uint32_t events)
{
	struct pool_link *l = (struct pool_link *)f;

	if (l->closed)
		return;
	if (l->connecting)
		on_connected(l);
	if (!l->closed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) &&
	    read_link(l) < 0) {
		pool_link_close(l, "closed by the peer");
		return;
	}
	if (!l->closed)
		parse_frames(l);
	write_link(l);
}

struct pool_link *pool_link_dial(struct pool *p, const char *vm,
				 const char *address, int probe)
{
	PoolFrame frame = POOL_FRAME__INIT;
	PoolHello hello = POOL_HELLO__INIT;
	struct sockaddr_in sa;
	struct pool_link *l;
	int fd;

	if (pool_parse_address(address, &sa) < 0)
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	l = link_new(p, fd);
	l->connecting = 1;
	l->probe = probe;
	l->fd.on_event = on_link_event;
	str_copy(l->peer, sizeof(l->peer), str_of(vm));
	pool_fd_watch(p, &l->fd, EPOLLIN | EPOLLOUT);
	hello.vm = p->set.vm_name;
	hello.address = p->set.link_address;
	hello.incarnation = p->incarnation;
	hello.processor = (uint32_t)pool_processor(p);
	hello.failure_domain = p->set.failure_domain;
	hello.probe = probe;
	hello.fence = p->lead.row.fence;
	frame.body_case = POOL_FRAME__BODY_HELLO;
	frame.hello = &hello;
	pool_link_send(l, &frame);
	return l;
}

void pool_link_send(struct pool_link *l, const PoolFrame *frame)
{
	size_t n = pool_frame__get_packed_size(frame);
	unsigned char *at;

	if (l->closed)
		return;
	if (l->out_len + n > OUT_MAX) {
		pool_link_close(l, "output buffer full");
		return;
	}
	if (l->out_cap - l->out_len < HEADER_BYTES + n) {
		l->out_cap = (l->out_len + HEADER_BYTES + n) * 2;
		l->out = realloc(l->out, l->out_cap);
	}
	at = (unsigned char *)l->out + l->out_len;
	at[0] = (unsigned char)(n >> 24);
	at[1] = (unsigned char)(n >> 16);
	at[2] = (unsigned char)(n >> 8);
	at[3] = (unsigned char)n;
	pool_frame__pack(frame, at + HEADER_BYTES);
	l->out_len += HEADER_BYTES + n;
}

void pool_link_close(struct pool_link *l, const char *reason)
{
	if (l->closed)
		return;
	l->closed = 1;
	pool_link_on_close(l, reason, 0);
}

static void on_accept(struct pool_fd *f, uint32_t events)
{
	struct pool *p =
		(struct pool *)((char *)f - offsetof(struct pool, listener));
	struct pool_link *l;
	int fd;

	(void)events;
	fd = accept4(f->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0)
		return;
	l = link_new(p, fd);
	l->inbound = 1;
	l->fd.on_event = on_link_event;
	pool_fd_watch(p, &l->fd, EPOLLIN);
}

int pool_links_init(struct pool *p)
{
	const char *address = p->set.link_listen[0] ? p->set.link_listen
						    : p->set.link_address;
	struct sockaddr_in sa;
	int on = 1, fd;

	if (pool_parse_address(address, &sa) < 0)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	p->listener.fd = fd;
	p->listener.on_event = on_accept;
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(fd, LISTEN_BACKLOG) < 0) {
		log_error("start", address, "cannot listen: %s",
			  strerror(errno));
		return -1;
	}
	return pool_fd_watch(p, &p->listener, EPOLLIN);
}

static void free_link(struct pool_link *l)
{
	pool_fd_unwatch(l->p, &l->fd);
	close(l->fd.fd);
	free(l->in);
	free(l->out);
	pool_defer_free(l->p, l);
}

void pool_links_flush(struct pool *p)
{
	struct pool_link *l, **at = &p->links;

	for (l = p->links; l; l = l->next) {
		write_link(l);
		if (!l->closed && p->now - l->received_at > IDLE_TIMEOUT_MS)
			pool_link_close(l, "idle timeout");
	}
	while ((l = *at)) {
		if (!l->closed) {
			at = &l->next;
			continue;
		}
		*at = l->next;
		free_link(l);
	}
}
