/* Outbound links to peers: bounded message queues and non-blocking writes. */

#include "daemon-peer.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/uio.h>

#define WRITE_FRAMES 32 /* most frames in one write */

/* A queued message with its length prefix. */
struct frame {
	struct frame *next;
	struct rp_blob *data;
	unsigned char header[PEER_HEADER_BYTES];
};

/*
 * An outbound link to one peer. The lock of struct peer_transport guards the
 * queue and the flags; only the peer thread uses the socket.
 */
struct peer_out {
	struct peer_fd fd; /* must be the first member */
	struct peer_out *next;
	apr_pool_t *pool; /* of the socket; NULL if not connected */
	char name[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	struct frame *head, **tail;
	size_t queued_bytes; /* without headers */
	size_t written;	     /* bytes of the first frame, with its header */
	int reset_requested; /* close the connection and reconnect */
	int overflow;	     /* a message did not fit into the queue */
	int connecting;	     /* the connect has not completed */
	int blocked;	     /* the socket's send buffer is full */
	int failed;	     /* the connection failed */
	rp_ms connect_started_at;
};

/* Finds the link to a peer, or adds one without a connection. */
static struct peer_out *find_or_add_link(struct peer_transport *pt,
					 const char *name)
{
	struct peer_out *link;

	for (link = pt->out_links; link; link = link->next)
		if (!strcmp(link->name, name))
			return link;
	link = calloc(1, sizeof(*link));
	if (!link)
		abort();
	memcpy(link->name, name, strlen(name) + 1);
	link->tail = &link->head;
	link->next = pt->out_links;
	pt->out_links = link;
	return link;
}

static void drop_queue(struct peer_out *link)
{
	while (link->head) {
		struct frame *f = link->head;

		link->head = f->next;
		rp_blob_unref(f->data);
		free(f);
		counter_add(COUNT_PEER_MESSAGES_DROPPED, 1);
	}
	link->tail = &link->head;
	link->queued_bytes = 0;
	link->written = 0;
}

/*
 * Appends a message to the queue. If the queue is full the link fails, which
 * drops all its messages.
 */
static void queue_frame(struct peer_transport *pt, struct peer_out *link,
			struct rp_blob *data)
{
	struct frame *f = calloc(1, sizeof(*f));

	if (!f || link->queued_bytes + data->len > pt->d->limits.peer_queue) {
		free(f);
		rp_blob_unref(data);
		counter_add(COUNT_PEER_MESSAGES_DROPPED, 1);
		link->overflow = 1;
		return;
	}
	f->data = data;
	f->header[0] = (unsigned char)(data->len >> 24);
	f->header[1] = (unsigned char)(data->len >> 16);
	f->header[2] = (unsigned char)(data->len >> 8);
	f->header[3] = (unsigned char)data->len;
	*link->tail = f;
	link->tail = &f->next;
	link->queued_bytes += data->len;
}

void peer_execute(struct daemon *d, struct rp_action *act)
{
	struct peer_transport *pt = d->peers;
	struct peer_out *link;

	apr_thread_mutex_lock(pt->lock);
	link = find_or_add_link(pt, act->peer.name);
	if (act->peer.address[0] &&
	    strcmp(link->address, act->peer.address) != 0) {
		link->reset_requested = link->address[0] != '\0';
		memcpy(link->address, act->peer.address, sizeof(link->address));
	}
	if (act->type == RP_ACTION_PEER_RESET) {
		drop_queue(link);
		link->reset_requested = 1;
	} else {
		queue_frame(pt, link, act->peer.data);
		act->peer.data = NULL;
	}
	apr_thread_mutex_unlock(pt->lock);
	apr_pollset_wakeup(pt->pollset);
}

static void close_link(struct peer_transport *pt, struct peer_out *link)
{
	peer_unwatch(pt, &link->fd);
	if (link->pool)
		apr_pool_destroy(link->pool);
	link->pool = NULL;
	link->fd.socket = NULL;
	link->connecting = 0;
	link->blocked = 0;
	link->written = 0;
}

/* Called when the socket is writable or the peer has closed it. */
static void on_link_ready(struct peer_transport *pt, struct peer_fd *fd,
			  apr_int16_t events)
{
	struct peer_out *link = (struct peer_out *)fd;
	char byte;
	apr_size_t n = sizeof(byte);

	if (events & (APR_POLLERR | APR_POLLHUP))
		link->failed = 1;
	else if (events & APR_POLLIN &&
		 !APR_STATUS_IS_EAGAIN(apr_socket_recv(fd->socket, &byte, &n)))
		link->failed = 1;
	if (events & APR_POLLOUT) {
		link->connecting = 0;
		link->blocked = 0;
		if (peer_watch(pt, fd, APR_POLLIN) < 0)
			link->failed = 1;
	}
}

static void connect_link(struct peer_transport *pt, struct peer_out *link)
{
	apr_sockaddr_t *sa;
	apr_status_t rc;

	link->failed = 1;
	if (apr_pool_create(&link->pool, pt->pool) != APR_SUCCESS)
		return;
	sa = peer_parse_address(link->address, link->pool);
	link->fd.socket = sa ? peer_new_socket(pt, link->pool) : NULL;
	if (!link->fd.socket)
		return;
	link->fd.on_ready = on_link_ready;
	link->connect_started_at = daemon_now();
	rc = apr_socket_connect(link->fd.socket, sa);
	if (rc != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(rc))
		return;
	counter_add(COUNT_PEER_CONNECTS, 1);
	link->connecting = rc != APR_SUCCESS;
	link->failed = peer_watch(pt, &link->fd,
				  link->connecting ? APR_POLLIN | APR_POLLOUT
						   : APR_POLLIN) < 0;
}

/* Fills iov with unwritten parts of the first frames; returns their number. */
static int gather_unwritten(const struct peer_out *link, struct iovec *iov)
{
	const struct frame *f = link->head;
	size_t skip = link->written;
	int n = 0;

	for (; f && n < 2 * WRITE_FRAMES; f = f->next) {
		size_t in_header = skip < PEER_HEADER_BYTES ? skip
							    : PEER_HEADER_BYTES;

		iov[n].iov_base = (void *)(f->header + in_header);
		iov[n++].iov_len = PEER_HEADER_BYTES - in_header;
		iov[n].iov_base = f->data->data + (skip - in_header);
		iov[n++].iov_len = f->data->len - (skip - in_header);
		skip = 0;
	}
	return n;
}

/* Accounts for n written bytes and frees frames that are fully written. */
static void free_written(struct peer_out *link, size_t n)
{
	link->written += n;
	while (link->head &&
	       link->written >= PEER_HEADER_BYTES + link->head->data->len) {
		struct frame *f = link->head;

		link->written -= PEER_HEADER_BYTES + f->data->len;
		link->queued_bytes -= f->data->len;
		link->head = f->next;
		if (!link->head)
			link->tail = &link->head;
		counter_add(COUNT_PEER_MESSAGES_OUT, 1);
		rp_blob_unref(f->data);
		free(f);
	}
}

static void write_link(struct peer_transport *pt, struct peer_out *link)
{
	struct iovec iov[2 * WRITE_FRAMES];

	while (link->head && !link->blocked && !link->failed) {
		apr_size_t n = 0;
		int niov = gather_unwritten(link, iov);
		apr_status_t rc =
			apr_socket_sendv(link->fd.socket, iov, niov, &n);

		if (APR_STATUS_IS_EAGAIN(rc)) {
			link->blocked = 1;
			link->failed = peer_watch(pt, &link->fd,
						  APR_POLLIN | APR_POLLOUT) < 0;
		} else if (rc != APR_SUCCESS) {
			link->failed = 1;
		}
		counter_add(COUNT_PEER_BYTES_OUT, n);
		free_written(link, n);
	}
}

/*
 * Resets, connects or writes as the link requires. Returns 1 when the link has
 * failed, with its connection closed and its queue emptied. Call under the
 * lock.
 */
static int process_link(struct peer_transport *pt, struct peer_out *link)
{
	int down;

	if (link->reset_requested) {
		close_link(pt, link);
		link->reset_requested = 0;
		link->failed = 0;
	}
	if (link->head && !link->pool && !link->failed)
		connect_link(pt, link);
	if (link->connecting && daemon_now() - link->connect_started_at >
					pt->d->settings->connect_timeout)
		link->failed = 1;
	if (link->pool && !link->connecting && !link->failed)
		write_link(pt, link);
	down = link->failed || link->overflow;
	if (!down)
		return 0;
	close_link(pt, link);
	drop_queue(link);
	link->failed = 0;
	link->overflow = 0;
	return 1;
}

static void report_link_down(struct peer_transport *pt,
			     const struct peer_out *link)
{
	struct rp_event ev = { .type = RP_EVENT_PEER_DOWN };

	memcpy(ev.peer_down.name, link->name, sizeof(ev.peer_down.name));
	counter_add(COUNT_PEER_LINKS_DOWN, 1);
	log_info("relay", link->name, "link failed");
	daemon_handle_event(pt->d, &ev);
}

/*
 * Failures are reported to the kernel after the lock has been released, since
 * its actions may queue messages. Links are not removed before
 * peer_out_finish(), so the list can be traversed without the lock.
 */
void peer_out_process(struct peer_transport *pt)
{
	struct peer_out *link;

	apr_thread_mutex_lock(pt->lock);
	link = pt->out_links;
	apr_thread_mutex_unlock(pt->lock);
	for (; link; link = link->next) {
		int down;

		apr_thread_mutex_lock(pt->lock);
		down = process_link(pt, link);
		apr_thread_mutex_unlock(pt->lock);
		if (down)
			report_link_down(pt, link);
	}
}

int peer_queues_empty(struct daemon *d)
{
	struct peer_transport *pt = d->peers;
	struct peer_out *link;
	int empty = 1;

	apr_thread_mutex_lock(pt->lock);
	for (link = pt->out_links; link; link = link->next)
		if (link->head)
			empty = 0;
	apr_thread_mutex_unlock(pt->lock);
	return empty;
}

void peer_out_finish(struct peer_transport *pt)
{
	while (pt->out_links) {
		struct peer_out *link = pt->out_links;

		pt->out_links = link->next;
		close_link(pt, link);
		drop_queue(link);
		free(link);
	}
}
