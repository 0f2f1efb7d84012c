/* Connections of callers: which are closed to make room. */

#include "conn.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/*
 * Receive buffer of a connection, bytes; the kernel doubles it. A caller that
 * is 6 ms away can send 10 Mbit/s with it.
 */
#define RECEIVE_BUFFER ((int)CONN_UNREAD_MAX / 2)
/* Part of the connections that may be on their way out at a time. */
#define CLOSING_SHARE 16
/* Parts of the connections with a request that is being handled. */
#define BUSY_SHARE(max) ((max) - (max) / 8)
#define BUSY_SUBMISSIONS_SHARE(max) ((max) - (max) / 4)

void conn_table_init(struct conn_table *t, const char *name,
		     struct rp_budget *budget, size_t max, size_t cost)
{
	memset(t, 0, sizeof(*t));
	t->name = name;
	t->budget = budget;
	t->max = max;
	t->cost = cost + CONN_UNREAD_MAX + sizeof(struct conn);
	pthread_mutex_init(&t->lock, NULL);
}

void conn_table_finish(struct conn_table *t)
{
	pthread_mutex_destroy(&t->lock);
}

void conn_limit_unread(struct MHD_Daemon *mhd)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(mhd, MHD_DAEMON_INFO_LISTEN_FD);
	int bytes = RECEIVE_BUFFER;

	/* Sockets that are accepted inherit it. */
	if (info)
		setsockopt(info->listen_fd, SOL_SOCKET, SO_RCVBUF, &bytes,
			   sizeof(bytes));
}

static void append(struct conn *c)
{
	struct conn_table *t = c->table;

	c->waits = 1;
	c->next = NULL;
	c->prev = t->last;
	if (t->last)
		t->last->next = c;
	else
		t->first = c;
	t->last = c;
}

static void unlink_waiting(struct conn *c)
{
	struct conn_table *t = c->table;

	c->waits = 0;
	if (c->prev)
		c->prev->next = c->next;
	else
		t->first = c->next;
	if (c->next)
		c->next->prev = c->prev;
	else
		t->last = c->prev;
}

/* libmicrohttpd sees the end of the connection and closes it. */
static void close_waiting(struct conn *c)
{
	unlink_waiting(c);
	c->closing = 1;
	c->table->nclosing++;
	budget_release(c->table->budget, RP_HOLD_CONNECTIONS, c->table->cost);
	conn_free_body(c);
	shutdown(c->fd, SHUT_RDWR);
}

int conn_close_longest(struct conn_table *t, const struct conn *except,
		       size_t least)
{
	struct conn *c, *longest = NULL;

	for (c = t->first; c; c = c->next)
		if (c != except && c->cap && c->cap >= least &&
		    (!longest || c->cap > longest->cap))
			longest = c;
	if (!longest)
		return -1;
	close_waiting(longest);
	conn_count_limit(t, CONN_LIMIT_MEMORY);
	return 0;
}

/* Closes connections until there is room; the table is locked. */
static int make_room(struct conn_table *t, enum rp_hold kind, size_t n)
{
	while (!budget_has_room(t->budget, kind, n)) {
		if (!budget_share_has_room(t->budget, kind, n))
			return -1;
		if (!conn_close_longest(t, NULL, 0))
			continue;
		if (!t->first || t->nclosing >= t->max / CLOSING_SHARE)
			return -1;
		close_waiting(t->first);
		conn_count_limit(t, CONN_LIMIT_MEMORY);
	}
	return 0;
}

int conn_make_room(struct conn_table *t, enum rp_hold kind, size_t n)
{
	int rc;

	pthread_mutex_lock(&t->lock);
	rc = make_room(t, kind, n);
	pthread_mutex_unlock(&t->lock);
	return rc;
}

/* Whether there is a descriptor and memory for one more connection. */
static int accept_one(struct conn_table *t)
{
	if (t->n - t->nclosing >= t->max - t->max / CLOSING_SHARE) {
		conn_count_limit(t, CONN_LIMIT_CONNECTIONS);
		if (!t->first)
			return 0;
		close_waiting(t->first);
	}
	if (t->n >= t->max) {
		conn_count_limit(t, CONN_LIMIT_CONNECTIONS);
		return 0;
	}
	if (make_room(t, RP_HOLD_CONNECTIONS, t->cost) < 0) {
		conn_count_limit(t, CONN_LIMIT_MEMORY);
		return 0;
	}
	return 1;
}

enum MHD_Result conn_on_accept(void *arg, const struct sockaddr *sa,
			       socklen_t len)
{
	struct conn_table *t = arg;
	int accepted;

	(void)sa;
	(void)len;
	pthread_mutex_lock(&t->lock);
	accepted = accept_one(t);
	pthread_mutex_unlock(&t->lock);
	return accepted ? MHD_YES : MHD_NO;
}

static struct conn *open_conn(struct conn_table *t, struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct conn *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->table = t;
	c->fd = info->connect_fd;
	pthread_mutex_lock(&t->lock);
	t->n++;
	budget_add(t->budget, RP_HOLD_CONNECTIONS, t->cost);
	append(c);
	pthread_mutex_unlock(&t->lock);
	return c;
}

static void free_conn(struct conn *c)
{
	struct conn_table *t = c->table;

	pthread_mutex_lock(&t->lock);
	t->n--;
	if (c->closing) {
		t->nclosing--;
	} else {
		if (c->waits)
			unlink_waiting(c);
		else
			t->nbusy--;
		budget_release(t->budget, RP_HOLD_CONNECTIONS, t->cost);
	}
	conn_free_body(c);
	pthread_mutex_unlock(&t->lock);
	free(c);
}

void conn_on_notify(void *arg, struct MHD_Connection *mhd, void **context,
		    enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		*context = open_conn(arg, mhd);
	else if (*context)
		free_conn(*context);
}

struct conn *conn_of(struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

int conn_begin(struct conn *c, int is_submission)
{
	struct conn_table *t = c->table;
	size_t most = is_submission ? BUSY_SUBMISSIONS_SHARE(t->max)
				    : BUSY_SHARE(t->max);
	int rc = 0;

	pthread_mutex_lock(&t->lock);
	if (c->closing) {
		rc = -1;
	} else if (c->waits && t->nbusy >= most) {
		conn_count_limit(t, CONN_LIMIT_BUSY);
		rc = -1;
	} else if (c->waits) {
		unlink_waiting(c);
		t->nbusy++;
	}
	pthread_mutex_unlock(&t->lock);
	return rc;
}

void conn_end(struct conn *c)
{
	struct conn_table *t = c->table;

	pthread_mutex_lock(&t->lock);
	conn_free_body(c);
	c->discarded = 0;
	if (!c->closing) {
		if (c->waits)
			unlink_waiting(c);
		else
			t->nbusy--;
		append(c);
	}
	pthread_mutex_unlock(&t->lock);
}
