/* Outbound links: bounded queues of frames, written as the socket takes. */

#include "daemon-peer.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/uio.h>

#define WRITE_FRAMES 32 /* frames in one write */

struct frame {
	struct frame *next;
	struct rp_blob *data;
	unsigned char header[PEER_HEADER_BYTES];
};

/*
 * A link to one peer. The queue and the flags are guarded by the lock of
 * the peer side; the socket belongs to the peer thread.
 */
struct peer_out {
	struct peer_fd fd;
	struct peer_out *next;
	apr_pool_t *pool; /* of the socket; NULL when closed */
	char name[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	struct frame *head, **tail;
	size_t queued_bytes; /* bytes */
	size_t written;	     /* bytes of the first frame already written */
	int reset_requested; /* asked to close */
	int overflow;	     /* a message was refused: the link has failed */
	int connecting;
	int blocked;		  /* the socket takes no more for now */
	int failed;		  /* noticed by the peer thread */
	rp_ms connect_started_at; /* when connecting began */
};

static struct peer_out *find_out(struct peer_transport *ps, const char *name)
{
	struct peer_out *o;

	for (o = ps->out_links; o; o = o->next)
		if (!strcmp(o->name, name))
			return o;
	o = calloc(1, sizeof(*o));
	if (!o)
		abort();
	memcpy(o->name, name, strlen(name) + 1);
	o->tail = &o->head;
	o->next = ps->out_links;
	ps->out_links = o;
	return o;
}

static void drop_queue(struct peer_out *o)
{
	while (o->head) {
		struct frame *f = o->head;

		o->head = f->next;
		rp_blob_unref(f->data);
		free(f);
		counter_add(COUNT_PEER_MESSAGES_DROPPED, 1);
	}
	o->tail = &o->head;
	o->queued_bytes = 0;
	o->written = 0;
}

/* Queues a message; a full queue fails the link as a whole. */
static void queue_frame(struct peer_transport *ps, struct peer_out *o,
			struct rp_blob *data)
{
	struct frame *f = calloc(1, sizeof(*f));

	if (!f || o->queued_bytes + data->len > ps->d->settings->peer_queue) {
		free(f);
		rp_blob_unref(data);
		counter_add(COUNT_PEER_MESSAGES_DROPPED, 1);
		o->overflow = 1;
		return;
	}
	f->data = data;
	f->header[0] = (unsigned char)(data->len >> 24);
	f->header[1] = (unsigned char)(data->len >> 16);
	f->header[2] = (unsigned char)(data->len >> 8);
	f->header[3] = (unsigned char)data->len;
	*o->tail = f;
	o->tail = &f->next;
	o->queued_bytes += data->len;
}

void peer_execute(struct daemon *d, struct rp_action *act)
{
	struct peer_transport *ps = d->peers;
	struct peer_out *o;

	apr_thread_mutex_lock(ps->lock);
	o = find_out(ps, act->peer.name);
	if (act->peer.address[0] &&
	    strcmp(o->address, act->peer.address) != 0) {
		o->reset_requested = o->address[0] != '\0';
		memcpy(o->address, act->peer.address, sizeof(o->address));
	}
	if (act->type == RP_ACTION_PEER_RESET) {
		drop_queue(o);
		o->reset_requested = 1;
	} else {
		queue_frame(ps, o, act->peer.data);
		act->peer.data = NULL;
	}
	apr_thread_mutex_unlock(ps->lock);
	apr_pollset_wakeup(ps->pollset);
}

static void close_out(struct peer_transport *ps, struct peer_out *o)
{
	peer_unwatch(ps, &o->fd);
	if (o->pool)
		apr_pool_destroy(o->pool);
	o->pool = NULL;
	o->fd.socket = NULL;
	o->connecting = 0;
	o->blocked = 0;
	o->written = 0;
}

/* The socket is ready, or the far end has closed it. */
static void on_out_ready(struct peer_transport *ps, struct peer_fd *e,
			 apr_int16_t events)
{
	struct peer_out *o = (struct peer_out *)e;
	char byte;
	apr_size_t n = sizeof(byte);

	if (events & (APR_POLLERR | APR_POLLHUP))
		o->failed = 1;
	else if (events & APR_POLLIN &&
		 !APR_STATUS_IS_EAGAIN(apr_socket_recv(e->socket, &byte, &n)))
		o->failed = 1;
	if (events & APR_POLLOUT) {
		o->connecting = 0;
		o->blocked = 0;
		if (peer_watch(ps, e, APR_POLLIN) < 0)
			o->failed = 1;
	}
}

static void connect_out(struct peer_transport *ps, struct peer_out *o)
{
	apr_sockaddr_t *sa;
	apr_status_t rc;

	o->failed = 1;
	if (apr_pool_create(&o->pool, ps->pool) != APR_SUCCESS)
		return;
	sa = peer_parse_address(o->address, o->pool);
	o->fd.socket = sa ? peer_new_socket(ps, o->pool) : NULL;
	if (!o->fd.socket)
		return;
	o->fd.on_ready = on_out_ready;
	o->connect_started_at = daemon_now();
	rc = apr_socket_connect(o->fd.socket, sa);
	if (rc != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(rc))
		return;
	counter_add(COUNT_PEER_CONNECTS, 1);
	o->connecting = rc != APR_SUCCESS;
	o->failed = peer_watch(ps, &o->fd,
			       o->connecting ? APR_POLLIN | APR_POLLOUT
					     : APR_POLLIN) < 0;
}

/* Gathers unwritten bytes of the first frames. */
static int gather(const struct peer_out *o, struct iovec *v)
{
	const struct frame *f = o->head;
	size_t skip = o->written;
	int n = 0;

	for (; f && n < 2 * WRITE_FRAMES; f = f->next) {
		size_t in_header = skip < PEER_HEADER_BYTES ? skip
							    : PEER_HEADER_BYTES;

		v[n].iov_base = (void *)(f->header + in_header);
		v[n++].iov_len = PEER_HEADER_BYTES - in_header;
		v[n].iov_base = f->data->data + (skip - in_header);
		v[n++].iov_len = f->data->len - (skip - in_header);
		skip = 0;
	}
	return n;
}

/* Frees the frames that have been written whole. */
static void forget_written(struct peer_out *o, size_t n)
{
	o->written += n;
	while (o->head &&
	       o->written >= PEER_HEADER_BYTES + o->head->data->len) {
		struct frame *f = o->head;

		o->written -= PEER_HEADER_BYTES + f->data->len;
		o->queued_bytes -= f->data->len;
		o->head = f->next;
		if (!o->head)
			o->tail = &o->head;
		counter_add(COUNT_PEER_MESSAGES_OUT, 1);
		rp_blob_unref(f->data);
		free(f);
	}
}

static void write_out(struct peer_transport *ps, struct peer_out *o)
{
	struct iovec v[2 * WRITE_FRAMES];

	while (o->head && !o->blocked && !o->failed) {
		apr_size_t n = 0;
		int nv = gather(o, v);
		apr_status_t rc = apr_socket_sendv(o->fd.socket, v, nv, &n);

		if (APR_STATUS_IS_EAGAIN(rc)) {
			o->blocked = 1;
			o->failed = peer_watch(ps, &o->fd,
					       APR_POLLIN | APR_POLLOUT) < 0;
		} else if (rc != APR_SUCCESS) {
			o->failed = 1;
		}
		counter_add(COUNT_PEER_BYTES_OUT, n);
		forget_written(o, n);
	}
}

/* Brings one link forward. Returns 1 when it has failed. Under the lock. */
static int service(struct peer_transport *ps, struct peer_out *o)
{
	int down;

	if (o->reset_requested) {
		close_out(ps, o);
		o->reset_requested = 0;
		o->failed = 0;
	}
	if (o->head && !o->pool && !o->failed)
		connect_out(ps, o);
	if (o->connecting && daemon_now() - o->connect_started_at >
				     ps->d->settings->connect_timeout)
		o->failed = 1;
	if (o->pool && !o->connecting && !o->failed)
		write_out(ps, o);
	down = o->failed || o->overflow;
	if (!down)
		return 0;
	close_out(ps, o);
	drop_queue(o);
	o->failed = 0;
	o->overflow = 0;
	return 1;
}

static void report_down(struct peer_transport *ps, const struct peer_out *o)
{
	struct rp_event ev = { .type = RP_EVENT_PEER_DOWN };

	memcpy(ev.peer_down.name, o->name, sizeof(ev.peer_down.name));
	counter_add(COUNT_PEER_LINKS_DOWN, 1);
	log_info("relay", o->name, "link is down");
	daemon_handle_event(ps->d, &ev);
}

/* Links are never removed, so the list may be walked outside the lock. */
void peer_out_process(struct peer_transport *ps)
{
	struct peer_out *o;

	apr_thread_mutex_lock(ps->lock);
	o = ps->out_links;
	apr_thread_mutex_unlock(ps->lock);
	for (; o; o = o->next) {
		int down;

		apr_thread_mutex_lock(ps->lock);
		down = service(ps, o);
		apr_thread_mutex_unlock(ps->lock);
		if (down)
			report_down(ps, o);
	}
}

int peer_queues_empty(struct daemon *d)
{
	struct peer_transport *ps = d->peers;
	struct peer_out *o;
	int flushed = 1;

	apr_thread_mutex_lock(ps->lock);
	for (o = ps->out_links; o; o = o->next)
		if (o->head)
			flushed = 0;
	apr_thread_mutex_unlock(ps->lock);
	return flushed;
}

void peer_out_finish(struct peer_transport *ps)
{
	while (ps->out_links) {
		struct peer_out *o = ps->out_links;

		ps->out_links = o->next;
		close_out(ps, o);
		drop_queue(o);
		free(o);
	}
}
