#ifndef DAEMON_PEER_H
#define DAEMON_PEER_H

/* Parts shared by daemon-peer.c, daemon-peer-in.c and daemon-peer-out.c. */

#include <apr_network_io.h>
#include <apr_poll.h>

#include "daemon.h"

#define PEER_HEADER 4 /* bytes of a frame's length, big-endian */

struct peer_side;

/* A socket in the poll set, with what to do when it is ready. */
struct peer_end {
	void (*ready)(struct peer_side *ps, struct peer_end *e,
		      apr_int16_t events);
	apr_socket_t *socket;
	apr_pollfd_t pfd;
	int watched;
};

struct peer_in;
struct peer_out;

struct peer_side {
	struct daemon *d;
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	apr_thread_t *thread;
	apr_thread_mutex_t *lock; /* guards outs and their queues */
	struct peer_out *outs;
	struct peer_in *ins; /* only the peer thread */
	int nins;
	struct peer_end listener;
	atomic_int stopping;
};

/* A non-blocking TCP socket without delay, or NULL. */
apr_socket_t *peer_socket(struct peer_side *ps, apr_pool_t *pool);
apr_sockaddr_t *peer_address(const char *text, apr_pool_t *pool);
/* Watches the end for events, in place of what was watched before. */
int peer_watch(struct peer_side *ps, struct peer_end *e, apr_int16_t events);
void peer_unwatch(struct peer_side *ps, struct peer_end *e);

void peer_in_accept(struct peer_side *ps, struct peer_end *e,
		    apr_int16_t events);
/* Frees connections that have ended or were silent for too long. */
void peer_in_reap(struct peer_side *ps);
void peer_in_finish(struct peer_side *ps);

/* Connects, writes and gives up as the queues ask. */
void peer_out_service(struct peer_side *ps);
void peer_out_finish(struct peer_side *ps);

#endif
