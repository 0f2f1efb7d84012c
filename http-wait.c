/*
 * Requests that wait for the kernel: tokens, suspension and disconnection.
 *
 * A token is a slot's number and its generation, so that a late answer for
 * a caller that has gone never reaches another caller.
 */

#include "http.h"

#include <poll.h>
#include <stdlib.h>

#define SLOT_BITS 32

struct slot {
	struct http_request *r;
	uint32_t generation;
	int next_free;
	int fd;
};

struct http_waits {
	apr_thread_mutex_t *lock;
	struct slot *slots;
	int nslots;
	int nused;     /* slots that have ever been used */
	int free_head; /* head of the free list, or -1 */
	int closed;    /* the process stops: nobody may wait */
	int nwaiting;
	struct pollfd *pollfds; /* scratch of the sweep */
	rp_token *tokens;
};

int http_waits_init(struct daemon *d)
{
	struct http_waits *w = apr_pcalloc(d->pool, sizeof(*w));

	w->nslots = d->settings->http_waiting;
	w->slots = apr_pcalloc(d->pool, (size_t)w->nslots * sizeof(*w->slots));
	w->pollfds =
		apr_pcalloc(d->pool, (size_t)w->nslots * sizeof(*w->pollfds));
	w->tokens =
		apr_pcalloc(d->pool, (size_t)w->nslots * sizeof(*w->tokens));
	w->free_head = -1;
	d->waits = w;
	return apr_thread_mutex_create(&w->lock, APR_THREAD_MUTEX_DEFAULT,
				       d->pool) == APR_SUCCESS
		       ? 0
		       : -1;
}

static int fd_of(struct http_request *r)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);

	return info ? info->connect_fd : -1;
}

/* Takes a slot from the free list, or one never used. -1: none. */
static int take_slot(struct http_waits *w)
{
	int i = w->free_head;

	if (w->closed)
		return -1;
	if (i >= 0)
		w->free_head = w->slots[i].next_free;
	else if (w->nused < w->nslots)
		i = w->nused++;
	return i;
}

int http_wait_add(struct http_request *r)
{
	struct http_waits *w = r->d->waits;
	int fd = fd_of(r);
	int i;

	apr_thread_mutex_lock(w->lock);
	i = take_slot(w);
	if (i >= 0) {
		w->slots[i].r = r;
		w->slots[i].fd = fd;
		w->slots[i].generation++;
		w->nwaiting++;
		r->token = (rp_token)w->slots[i].generation << SLOT_BITS |
			   (rp_token)i;
	}
	apr_thread_mutex_unlock(w->lock);
	return i >= 0 ? 0 : -1;
}

struct http_request *http_wait_remove(struct http_waits *w, rp_token token)
{
	uint32_t i = (uint32_t)token;
	struct http_request *r = NULL;

	apr_thread_mutex_lock(w->lock);
	if (i < (uint32_t)w->nused &&
	    w->slots[i].generation == token >> SLOT_BITS) {
		r = w->slots[i].r;
		w->slots[i].r = NULL;
		if (r) {
			w->slots[i].next_free = w->free_head;
			w->free_head = (int)i;
			w->nwaiting--;
		}
	}
	apr_thread_mutex_unlock(w->lock);
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

/* Lists the sockets of all waiting requests. */
static nfds_t list_waiting(struct http_waits *w)
{
	nfds_t n = 0;
	int i;

	apr_thread_mutex_lock(w->lock);
	for (i = 0; i < w->nused; i++) {
		if (!w->slots[i].r)
			continue;
		w->pollfds[n].fd = w->slots[i].fd;
		w->pollfds[n].events = 0;
		w->tokens[n++] = (rp_token)w->slots[i].generation << SLOT_BITS |
				 (rp_token)i;
	}
	apr_thread_mutex_unlock(w->lock);
	return n;
}

/* Ends the exchange with a caller that has left; its submission goes on. */
static void caller_gone(struct daemon *d, rp_token token)
{
	struct http_request *r = http_wait_remove(d->waits, token);

	if (!r)
		return;
	counter_add(COUNT_CALLERS_DISCONNECTED, 1);
	r->response_kind = HTTP_RESPONSE_DISCONNECTED;
	http_wait_complete(r);
}

/*
 * The server does not watch suspended connections. A caller that has only
 * closed its sending side still gets its answer; one that has reset the
 * connection gets none.
 */
void http_wait_check_disconnects(struct daemon *d)
{
	struct http_waits *w = d->waits;
	nfds_t n = list_waiting(w);
	nfds_t i;

	if (!n || poll(w->pollfds, n, 0) <= 0)
		return;
	for (i = 0; i < n; i++)
		if (w->pollfds[i].revents & (POLLERR | POLLHUP))
			caller_gone(d, w->tokens[i]);
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
	struct http_waits *w = d->waits;
	int i, used;

	apr_thread_mutex_lock(w->lock);
	used = w->nused;
	apr_thread_mutex_unlock(w->lock);
	for (i = 0; i < used; i++) {
		struct http_request *r;
		rp_token token;

		apr_thread_mutex_lock(w->lock);
		token = (rp_token)w->slots[i].generation << SLOT_BITS |
			(rp_token)i;
		apr_thread_mutex_unlock(w->lock);
		r = http_wait_remove(w, token);
		if (!r)
			continue;
		r->response_kind = HTTP_RESPONSE_NONE;
		http_wait_complete(r);
	}
}

/* Moves what the action owns into the request. */
static void take_reply(struct http_request *r, struct rp_action *act)
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
	take_reply(r, act);
	http_wait_complete(r);
}
