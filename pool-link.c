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

#define HEADER_MAX 3		/* bytes of a frame's length, a varint */
#define READ_BYTES 16384	/* least space in the buffer for a recv() */
#define OUT_MAX (8u << 20)	/* bytes; a link with more to write is closed */
#define KEPT_BYTES (256u << 10) /* longer buffers are freed once empty */
#define LISTEN_BACKLOG 256
/*
 * Frames are written at most this often, but for WRITE_BYTES of them. Under
 * load one packet carries several, which are smaller than its headers.
 */
#define WRITE_INTERVAL_MS 5
#define WRITE_BYTES 1400

static void enlarge(struct pool_link *l, char **data, size_t *cap, size_t size)
{
	pool_hold(l->p, RP_HOLD_MESSAGES, (long)(size - *cap));
	*data = realloc(*data, size);
	*cap = size;
}

static void release(struct pool_link *l, char **data, size_t *cap)
{
	pool_hold(l->p, RP_HOLD_MESSAGES, -(long)*cap);
	free(*data);
	*data = NULL;
	*cap = 0;
}

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
	l->number = ++p->last_link_number;
	p->nlinks++;
	p->count.links++;
	return l;
}

/*
 * Decodes the length of the frame that begins at data. Returns the bytes that
 * the length takes, 0 if some of them are missing, or -1 if it is malformed.
 */
static int frame_length(const char *data, size_t n, size_t *length)
{
	const unsigned char *u = (const unsigned char *)data;
	int i;

	*length = 0;
	for (i = 0; i < HEADER_MAX; i++) {
		if ((size_t)i >= n)
			return 0;
		*length |= (size_t)(u[i] & 127) << (7 * i);
		if (!(u[i] & 128))
			return *length > POOL_FRAME_MAX ? -1 : i + 1;
	}
	return -1;
}

static size_t write_length(char *to, size_t length)
{
	size_t i = 0;

	for (; length >= 128; length >>= 7)
		to[i++] = (char)(length | 128);
	to[i++] = (char)length;
	return i;
}

/* Returns -1 if the frame is malformed. */
static int handle_frame(struct pool_link *l, const char *data, size_t n)
{
	PoolFrame *frame = pool_frame__unpack(NULL, n, (const uint8_t *)data);

	if (!frame)
		return -1;
	if (frame->body_case < POOL_FRAME_KINDS)
		l->p->count.received_bytes[frame->body_case] += n;
	pool_frame_received(l, frame);
	pool_frame__free_unpacked(frame, NULL);
	return 0;
}

/* Handles the complete frames in the input buffer. */
static void parse_frames(struct pool_link *l)
{
	size_t at = 0;

	while (!l->closed && at < l->in_len) {
		size_t n;
		int header = frame_length(l->in + at, l->in_len - at, &n);

		if (header < 0) {
			pool_link_close(l, "frame too long");
			return;
		}
		if (!header || l->in_len - at - (size_t)header < n)
			break;
		at += (size_t)header;
		if (handle_frame(l, l->in + at, n) < 0) {
			pool_link_close(l, "malformed frame");
			return;
		}
		at += n;
	}
	if (!at)
		return;
	l->in_len -= at;
	memmove(l->in, l->in + at, l->in_len);
	if (!l->in_len && l->in_cap > KEPT_BYTES)
		release(l, &l->in, &l->in_cap);
}

/* Returns -1 when the connection is closed or failed. */
static int read_link(struct pool_link *l)
{
	ssize_t n;

	if (l->in_cap - l->in_len < READ_BYTES)
		enlarge(l, &l->in, &l->in_cap, l->in_cap * 2 + READ_BYTES);
	n = recv(l->fd.fd, l->in + l->in_len, l->in_cap - l->in_len, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return 0;
	if (n <= 0)
		return -1;
	l->in_len += (size_t)n;
	l->received_at = l->p->now;
	return 0;
}

void pool_link_read_answers(struct pool_link *l)
{
	size_t before;

	if (l->connecting)
		return;
	l->answers_only = 1;
	do {
		before = l->in_len;
		if (read_link(l) < 0 || l->in_len == before)
			return;
		parse_frames(l);
	} while (!l->closed);
}

/* Writes up to n bytes. Returns how many were written, or -1. */
static ssize_t write_some(struct pool_link *l, struct pool_out *out, size_t n)
{
	ssize_t done = send(l->fd.fd, out->data, n, MSG_NOSIGNAL);

	if (done < 0 && (errno == EAGAIN || errno == EINTR))
		return 0;
	if (done < 0) {
		pool_link_close(l, strerror(errno));
		return -1;
	}
	return done;
}

static void remove_written(struct pool_link *l, struct pool_out *out, size_t n)
{
	out->len -= n;
	memmove(out->data, out->data + n, out->len);
	if (!out->len && out->cap > KEPT_BYTES)
		release(l, &out->data, &out->cap);
}

/* Writes frames of bulk; the first byte of the buffer begins a frame. */
static int write_bulk(struct pool_link *l)
{
	ssize_t done = write_some(l, &l->bulk, l->bulk.len);
	size_t end = 0, n;

	if (done < 0)
		return -1;
	while (end < (size_t)done) {
		end += (size_t)frame_length(l->bulk.data + end,
					    l->bulk.len - end, &n);
		end += n;
	}
	l->bulk_rest = end - (size_t)done;
	remove_written(l, &l->bulk, (size_t)done);
	return 0;
}

static int write_urgent(struct pool_link *l)
{
	ssize_t done = write_some(l, &l->urgent, l->urgent.len);

	if (done < 0)
		return -1;
	remove_written(l, &l->urgent, (size_t)done);
	return 0;
}

/* Completes a frame of bulk that was written in part. */
static int write_rest(struct pool_link *l)
{
	ssize_t done = write_some(l, &l->bulk, l->bulk_rest);

	if (done < 0)
		return -1;
	l->bulk_rest -= (size_t)done;
	remove_written(l, &l->bulk, (size_t)done);
	return 0;
}

/*
 * Writes the urgent frames first, so that heartbeats are not delayed by what
 * waits on a slow link. A frame that was written in part is completed before.
 */
static int write_queued(struct pool_link *l)
{
	if (l->bulk_rest && write_rest(l) < 0)
		return -1;
	if (!l->bulk_rest && l->urgent.len && write_urgent(l) < 0)
		return -1;
	if (l->bulk_rest || l->urgent.len || !l->bulk.len)
		return 0;
	return write_bulk(l);
}

/* Time until the link's frames are to be written, ms; -1: it has none. */
static rp_ms time_to_write(const struct pool_link *l)
{
	rp_ms wait = l->written_at + WRITE_INTERVAL_MS - l->p->now;

	if (l->closed || l->connecting || !(l->urgent.len + l->bulk.len))
		return -1;
	return wait < 0 || l->bulk.len >= WRITE_BYTES ? 0 : wait;
}

static void write_now(struct pool_link *l)
{
	if (l->closed || l->connecting)
		return;
	l->written_at = l->p->now;
	if (write_queued(l) < 0)
		return;
	pool_fd_watch(l->p, &l->fd,
		      l->urgent.len + l->bulk.len ? EPOLLIN | EPOLLOUT
						  : (uint32_t)EPOLLIN);
}

/* Writes what is due, unless the socket is full: EPOLLOUT tells when not. */
static void write_link(struct pool_link *l)
{
	if (!(l->fd.events & EPOLLOUT) && !time_to_write(l))
		write_now(l);
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
	if (l->connecting) {
		on_connected(l);
		events |= EPOLLOUT;
	}
	if (!l->closed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) &&
	    read_link(l) < 0) {
		pool_link_close(l, "closed by the peer");
		return;
	}
	if (!l->closed)
		parse_frames(l);
	if (events & EPOLLOUT)
		write_now(l);
	else
		write_link(l);
}

struct pool_link *pool_link_dial(struct pool *p, const char *vm,
				 const char *address,
				 enum pool_link_purpose purpose)
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
	l->probe = purpose == POOL_LINK_PROBE;
	l->starts = purpose == POOL_LINK_STARTS;
	l->fd.on_event = on_link_event;
	str_copy(l->peer, sizeof(l->peer), str_of(vm));
	pool_fd_watch(p, &l->fd, EPOLLIN | EPOLLOUT);
	hello.vm = p->set.vm_name;
	hello.address = p->set.link_address;
	hello.incarnation = p->incarnation;
	hello.processor = (uint32_t)pool_processor(p);
	hello.failure_domain = p->set.failure_domain;
	hello.probe = l->probe;
	hello.starts = l->starts;
	hello.fence = p->lead.row.fence;
	hello.listing_version = p->listing_version;
	hello.echoes = 1;
	hello.leader_incarnation = p->lead.row.incarnation;
	frame.body_case = POOL_FRAME__BODY_HELLO;
	frame.hello = &hello;
	pool_link_send(l, &frame);
	return l;
}

/* Whether frames of other kinds must not delay the frame. */
static int is_urgent(const PoolFrame *frame)
{
	return frame->body_case == POOL_FRAME__BODY_HELLO ||
	       frame->body_case == POOL_FRAME__BODY_BEAT;
}

void pool_link_send(struct pool_link *l, const PoolFrame *frame)
{
	size_t n = pool_frame__get_packed_size(frame);
	struct pool_out *out = is_urgent(frame) ? &l->urgent : &l->bulk;

	if (l->closed)
		return;
	if (n > POOL_FRAME_MAX) {
		pool_link_close(l, "frame to send is too long");
		return;
	}
	if (out->len + n > OUT_MAX ||
	    (out->len > KEPT_BYTES &&
	     !budget_has_room(&l->p->budget, RP_HOLD_MESSAGES, n))) {
		pool_link_close(l, "output buffer full");
		return;
	}
	if (out->cap - out->len < HEADER_MAX + n)
		enlarge(l, &out->data, &out->cap,
			(out->len + HEADER_MAX + n) * 2);
	out->len += write_length(out->data + out->len, n);
	pool_frame__pack(frame, (uint8_t *)out->data + out->len);
	out->len += n;
	l->p->count.sent_bytes[frame->body_case] += n;
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
	if (p->limits.links && p->nlinks >= p->limits.links) {
		log_warn("link", "", "too many links, limit %zu",
			 p->limits.links);
		close(fd);
		return;
	}
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
	release(l, &l->in, &l->in_cap);
	release(l, &l->urgent.data, &l->urgent.cap);
	release(l, &l->bulk.data, &l->bulk.cap);
	l->p->nlinks--;
	pool_beat__free_unpacked(l->heartbeat, NULL);
	pool_defer_free(l->p, l);
}

rp_ms pool_links_timeout(const struct pool *p)
{
	const struct pool_link *l;
	rp_ms least = -1;

	for (l = p->links; l; l = l->next) {
		rp_ms wait = l->fd.events & EPOLLOUT ? -1 : time_to_write(l);

		if (wait >= 0 && (least < 0 || wait < least))
			least = wait;
	}
	return least;
}

void pool_links_flush(struct pool *p)
{
	struct pool_link *l, **at = &p->links;

	for (l = p->links; l; l = l->next) {
		write_link(l);
		if (!l->closed &&
		    p->now - l->received_at > (l->starts ? POOL_STARTS_IDLE_MS
							 : POOL_LINK_IDLE_MS))
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
