#ifndef DAEMON_PEER_H
#define DAEMON_PEER_H

/*
 * Connections between entry VMs: declarations that daemon-peer.c,
 * daemon-peer-in.c and daemon-peer-out.c share.
 */

#include <apr_network_io.h>
#include <apr_poll.h>

#include "daemon.h"

/* Each message is preceded by its length, a big-endian number. */
#define PEER_HEADER_BYTES 4

struct peer_transport;

/* A socket in the poll set and its callback. */
struct peer_fd {
	void (*on_ready)(struct peer_transport *pt, struct peer_fd *fd,
			 apr_int16_t events);
	apr_socket_t *socket;
	apr_pollfd_t pfd;
	int watched; /* is in the poll set */
};

struct peer_in;
struct peer_out;

struct peer_transport {
	struct daemon *d;
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	apr_thread_t *thread;
	apr_thread_mutex_t *lock; /* guards out_links and their queues */
	struct peer_out *out_links;
	struct peer_in *in_conns; /* used only by the peer thread */
	int nin_conns;
	struct peer_fd listener;
	atomic_int stopping;
};

/* Returns a non-blocking TCP socket with TCP_NODELAY set, or NULL. */
apr_socket_t *peer_new_socket(struct peer_transport *pt, apr_pool_t *pool);
/* Parses "ip:port". Returns NULL when it is malformed. */
apr_sockaddr_t *peer_parse_address(const char *text, apr_pool_t *pool);
/* Polls the socket for events, replacing earlier ones. Returns 0 or -1. */
int peer_watch(struct peer_transport *pt, struct peer_fd *fd,
	       apr_int16_t events);
void peer_unwatch(struct peer_transport *pt, struct peer_fd *fd);

/* Accepts a connection on the listening socket. */
void peer_in_accept(struct peer_transport *pt, struct peer_fd *fd,
		    apr_int16_t events);
/* Frees connections that have been closed or idle for too long. */
void peer_in_close_idle(struct peer_transport *pt);
/* Closes and frees all inbound connections. */
void peer_in_finish(struct peer_transport *pt);

/*
 * Connects links that have queued messages, writes the messages, and reports
 * links that have failed to the kernel.
 */
void peer_out_process(struct peer_transport *pt);
/* Closes and frees all outbound links and their queued messages. */
void peer_out_finish(struct peer_transport *pt);

#endif
