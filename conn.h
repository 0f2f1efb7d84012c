#ifndef CONN_H
#define CONN_H

/*
 * Connections of callers to an HTTP server, and the bodies that they send. When
 * the descriptors or the memory for them run out, those that wait for their
 * callers are closed to make room: a caller that sends its whole request is
 * served beside any number of others that do not.
 */

#include "budget.h"

#include <microhttpd.h>
#include <pthread.h>
#include <stdint.h>

/* The most bytes of a budget that connections may take. */
#define CONN_BUDGET(budget) ((budget)->limit / 4 * 3)
/* Bytes that a connection may leave unread, see conn_limit_unread(). */
#define CONN_UNREAD_MAX ((size_t)16384)

/* What was refused or closed, by the limit that was reached. */
enum conn_limit {
	CONN_LIMIT_CONNECTIONS, /* closed or refused: too many */
	CONN_LIMIT_MEMORY,	/* closed or refused: no memory */
	CONN_LIMIT_BODY,	/* a body is longer than is allowed */
	CONN_LIMIT_BUSY,	/* too many requests are being handled */
	CONN_LIMITS,
};

struct conn_table {
	const char *name;	  /* of the server */
	struct rp_budget *budget; /* shared by servers */
	pthread_mutex_t lock;
	size_t max;  /* connections, with those that are being closed */
	size_t cost; /* of one, bytes */
	size_t n, nclosing, nbusy;
	/* Those that wait for their callers, first who waits longest. */
	struct conn *first, *last;
	uint64_t reached[CONN_LIMITS], logged[CONN_LIMITS];
};

struct conn {
	struct conn_table *table;
	struct conn *next, *prev;
	int fd;
	int waits;   /* for its caller: in the list of the table */
	int closing; /* it was shut down to make room */
	char *body;  /* as far as it was received */
	size_t len, cap;
	size_t discarded; /* bytes that came after it was refused */
};

/* name must be a constant. */
void conn_table_init(struct conn_table *t, const char *name,
		     struct rp_budget *budget, size_t max, size_t cost);
void conn_table_finish(struct conn_table *t);
/* Bounds the bytes that each connection may leave unread. */
void conn_limit_unread(struct MHD_Daemon *mhd);

/* Callbacks of libmicrohttpd; their argument is the table. */
enum MHD_Result conn_on_accept(void *arg, const struct sockaddr *sa,
			       socklen_t len);
void conn_on_notify(void *arg, struct MHD_Connection *mhd, void **context,
		    enum MHD_ConnectionNotificationCode code);

struct conn *conn_of(struct MHD_Connection *mhd);
/*
 * The request is complete, and is handled now: the connection is not closed to
 * make room. Returns -1 if too many are being handled; of these, submissions
 * leave some for other requests.
 */
int conn_begin(struct conn *c, int is_submission);
/* The request has ended: the connection waits for the next one. */
void conn_end(struct conn *c);
/* Closes connections until there are n bytes for the kind. Returns 0 or -1. */
int conn_make_room(struct conn_table *t, enum rp_hold kind, size_t n);

/* --- conn-body.c --------------------------------------------------------- */

enum conn_append_result {
	CONN_APPENDED,
	CONN_TOO_LONG,
	CONN_NO_MEMORY,
	CONN_CLOSED, /* to make room */
};

/* Appends to the body, which may have max bytes, and which is NUL-terminated.
 */
enum conn_append_result conn_append(struct conn *c, const char *data, size_t n,
				    size_t max);
/*
 * Frees the body, and counts bytes that are not kept, as it was refused.
 * Returns -1 if the connection is to be closed, as its caller goes on sending.
 */
int conn_discard(struct conn *c, size_t n, size_t max);
/* For a request that is being handled; others may close the rest meanwhile. */
void conn_free_body(struct conn *c);

/* --- conn-limit.c: what the limits have refused -----------------------------
 */

const char *conn_limit_name(enum conn_limit limit);
/* Counts a refusal; the table is locked. */
void conn_count_limit(struct conn_table *t, enum conn_limit limit);
/* The same for others. */
void conn_limit_reached(struct conn_table *t, enum conn_limit limit);
/* Logs the limits that were reached since the last call. */
void conn_log_limits(struct conn_table *t);

/* --- conn-machine.c: what the machine has -------------------------------- */

/* Bytes of memory; stated 0: those of the system. */
size_t machine_memory(size_t stated);
/*
 * Descriptors for sockets, of those that are stated; 0: of the system's limit.
 * Raises the system's limit to the stated number if it can.
 */
size_t machine_sockets(size_t stated);
/* Makes the allocator return large blocks that are freed. Called at the start.
 */
void machine_init_allocator(void);
/*
 * Makes the allocator return what it keeps between blocks in use, when the
 * budget has fallen by a part of its limit from its peak.
 */
void machine_trim(const struct rp_budget *b, size_t *peak);

/* --- for conn-body.c; the table is locked -----------------------------------
 */

/*
 * Closes the connection with the longest body of at least least bytes, other
 * than that of except. Returns -1 if there is none.
 */
int conn_close_longest(struct conn_table *t, const struct conn *except,
		       size_t least);

#endif
