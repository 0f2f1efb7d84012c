/*
 * Requests that wait for the kernel: tokens, suspension and disconnection.
 *
 * A token consists of a slot's index and generation. The generation changes
 * when the slot is reused, so that a late answer to a caller that has
 * disconnected is never sent to another caller.
 */

#include "http.h"

#include <poll.h>
#include <stdlib.h>

#define SLOT_BITS 32

struct slot {
	struct http_request *r; /* NULL if free */
	uint32_t generation;
	int next_free; /* index, or -1 */
	int fd;	       /* of the caller's connection */
};

struct http_waits {
	apr_thread_mutex_t *lock;
	struct slot *slots;
	int nslots;
	int nused;     /* slots used so far; later ones were never allocated */
	int free_head; /* index of the first free slot, or -1 */
	int closed;    /* http_refuse_waits() was called */
	int nwaiting;
	struct pollfd *pollfds; /* buffer for http_wait_check_disconnects() */
	rp_token *tokens;	/* of pollfds, by index */
};

int http_waits_init(struct daemon *d)
{
	struct http_waits *waits = apr_pcalloc(d->pool, sizeof(*waits));

	waits->nslots = d->settings->http_waiting;
	waits->slots = apr_pcalloc(d->pool, (size_t)waits->nslots *
						    sizeof(*waits->slots));
	waits->pollfds = apr_pcalloc(d->pool, (size_t)waits->nslots *
						      sizeof(*waits->pollfds));
	waits->tokens = apr_pcalloc(d->pool, (size_t)waits->nslots *
						     sizeof(*waits->tokens));
	waits->free_head = -1;
	d->waits = waits;
	return apr_thread_mutex_create(&waits->lock, APR_THREAD_MUTEX_DEFAULT,
				       d->pool) == APR_SUCCESS
		       ? 0
		       : -1;
}

/* Returns the socket of the request's connection, or -1. */
static int get_fd(struct http_request *r)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);

	return info ? info->connect_fd : -1;
}

/* Allocates a slot. Returns its index, or -1 if there is none. */
static int alloc_slot(struct http_waits *waits)
{
	int i = waits->free_head;

	if (waits->closed)
		return -1;
	if (i >= 0)
		waits->free_head = waits->slots[i].next_free;
	else if (waits->nused < waits->nslots)
		i = waits->nused++;
	return i;
}

int http_wait_add(struct http_request *r)
{
	struct http_waits *waits = r->d->waits;
	int fd = get_fd(r);
	int i;

	apr_thread_mutex_lock(waits->lock);
	i = alloc_slot(waits);
	if (i >= 0) {
		waits->slots[i].r = r;
		waits->slots[i].fd = fd;
		waits->slots[i].generation++;
		waits->nwaiting++;
		r->token = (rp_token)waits->slots[i].generation << SLOT_BITS |
			   (rp_token)i;
	}
	apr_thread_mutex_unlock(waits->lock);
	return i >= 0 ? 0 : -1;
}

struct http_request *http_wait_remove(struct http_waits *waits, rp_token token)
{
	uint32_t i = (uint32_t)token;
	struct http_request *r = NULL;

	apr_thread_mutex_lock(waits->lock);
	if (i < (uint32_t)waits->nused &&
	    waits->slots[i].generation == token >> SLOT_BITS) {
		r = waits->slots[i].r;
		waits->slots[i].r = NULL;
		if (r) {
			waits->slots[i].next_free = waits->free_head;
			waits->free_head = (int)i;
			waits->nwaiting--;
		}
	}
	apr_thread_mutex_unlock(waits->lock);
	return r;
}

int http_wait_suspend(struct http_request *r)
{
	int phase = HTTP_HANDLING;

	if (atomic_load(&r->phase) == HTTP_READY)
		return 0;
	MHD_suspend_connection(r->conn);
	if (!atomic_compare_exchange_strong(&r->phase, &phase, HTTP_SUSPENDED))
		MHD_resume_connection(r->conn);
	return 1;
}

void http_wait_complete(struct http_request *r)
{
	struct MHD_Connection *conn = r->conn;

	if (atomic_exchange(&r->phase, HTTP_READY) == HTTP_SUSPENDED)
		MHD_resume_connection(conn);
}

/* Fills pollfds and tokens with all waiting requests; returns their number. */
static nfds_t list_waiting(struct http_waits *waits)
{
	nfds_t n = 0;
	int i;

	apr_thread_mutex_lock(waits->lock);
	for (i = 0; i < waits->nused; i++) {
		if (!waits->slots[i].r)
			continue;
		waits->pollfds[n].fd = waits->slots[i].fd;
		waits->pollfds[n].events = 0;
		waits->tokens[n++] = (rp_token)waits->slots[i].generation
					     << SLOT_BITS |
				     (rp_token)i;
	}
	apr_thread_mutex_unlock(waits->lock);
	return n;
}

/* Ends the request of a caller that has left; its submission goes on. */
static void end_disconnected(struct daemon *d, rp_token token)
{
	struct http_request *r = http_wait_remove(d->waits, token);

	if (!r)
		return;
	counter_add(COUNT_CALLERS_DISCONNECTED, 1);
	r->response_kind = HTTP_RESPONSE_DISCONNECTED;
	http_wait_complete(r);
}

/*
 * The HTTP library does not poll suspended connections. A caller that has only
 * shut down its sending side still gets its answer. POLLHUP and POLLERR tell
 * that a connection was closed on both sides or reset.
 */
void http_wait_check_disconnects(struct daemon *d)
{
	struct http_waits *waits = d->waits;
	nfds_t n = list_waiting(waits);
	nfds_t i;

	if (!n || poll(waits->pollfds, n, 0) <= 0)
		return;
	for (i = 0; i < n; i++)
		if (waits->pollfds[i].revents & (POLLERR | POLLHUP))
			end_disconnected(d, waits->tokens[i]);
}

void http_refuse_waits(struct daemon *d)
{
	apr_thread_mutex_lock(d->waits->lock);
	d->waits->closed = 1;
	apr_thread_mutex_unlock(d->waits->lock);
}

int http_waiting(struct daemon *d)
{
	int n;

	apr_thread_mutex_lock(d->waits->lock);
	n = d->waits->nwaiting;
	apr_thread_mutex_unlock(d->waits->lock);
	return n;
}

void http_answer_all_waiting(struct daemon *d)
{
	struct http_waits *waits = d->waits;
	int i, used;

	apr_thread_mutex_lock(waits->lock);
	used = waits->nused;
	apr_thread_mutex_unlock(waits->lock);
	for (i = 0; i < used; i++) {
		struct http_request *r;
		rp_token token;

		apr_thread_mutex_lock(waits->lock);
		token = (rp_token)waits->slots[i].generation << SLOT_BITS |
			(rp_token)i;
		apr_thread_mutex_unlock(waits->lock);
		r = http_wait_remove(waits, token);
		if (!r)
			continue;
		r->response_kind = HTTP_RESPONSE_NONE;
		http_wait_complete(r);
	}
}

/* Moves the data of the action into the request. */
static void move_response(struct http_request *r, struct rp_action *act)
{
	switch (act->type) {
	case RP_ACTION_ANSWER:
		r->response_kind = HTTP_RESPONSE_ANSWER;
		r->answer = act->answer.answer;
		act->answer.answer = NULL;
		break;
	case RP_ACTION_KEYS:
		r->response_kind = HTTP_RESPONSE_KEYS;
		r->status = act->keys.status;
		r->nkeys = act->keys.count;
		r->keys = act->keys.keys;
		r->expires_in = act->keys.expires_in;
		act->keys.keys = NULL;
		act->keys.count = 0;
		break;
	default:
		r->response_kind = HTTP_RESPONSE_EDITED;
		r->status = act->edited.status;
		r->version = act->edited.version;
		r->nconflicts = act->edited.nconflicts;
		r->conflicts = act->edited.conflicts;
		act->edited.conflicts = NULL;
		act->edited.nconflicts = 0;
		break;
	}
}

void http_execute(struct daemon *d, struct rp_action *act)
{
	struct http_request *r = http_wait_remove(d->waits, act->token);

	if (!r)
		return;
	move_response(r, act);
	http_wait_complete(r);
}
