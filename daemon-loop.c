/* Threads that run many HTTP calls concurrently with curl's multi interface. */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

#define HEADER_MAX 65536 /* bytes of a response header */

/* Appends to the response body; aborts the call when it exceeds max_body. */
static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct loop_call *c = arg;
	size_t add = size * n;

	if (add > c->max_body - c->len) {
		c->body_too_long = 1;
		return 0;
	}
	if (c->len + add > c->cap) {
		size_t cap = (c->len + add) * 2;
		char *body = realloc(c->body, cap);

		if (!body)
			return 0;
		c->body = body;
		c->cap = cap;
	}
	memcpy(c->body + c->len, data, add);
	c->len += add;
	return add;
}

/* Limits the size of the response header, which curl itself does not. */
static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct loop_call *c = arg;

	(void)data;
	c->header_len += size * n;
	return c->header_len > HEADER_MAX ? 0 : size * n;
}

/*
 * Called by curl before each attempt to write the request. curl resends a
 * request on a new connection when a reused one turns out to be dead. The first
 * attempt may have reached the server, so a request that is not resend_ok must
 * not be written a second time.
 */
static int on_write_request(void *arg, char *peer_ip, char *local_ip,
			    int peer_port, int local_port)
{
	struct loop_call *c = arg;

	(void)peer_ip;
	(void)local_ip;
	(void)peer_port;
	(void)local_port;
	if (c->attempts++ && !c->resend_ok) {
		counter_add(COUNT_RESENDS_PREVENTED, 1);
		return CURL_PREREQFUNC_ABORT;
	}
	return CURL_PREREQFUNC_OK;
}

/* Returns whether it is certain that no byte of the request was written. */
static int certainly_unsent(struct loop_call *c, CURLcode rc)
{
	long written = 0;

	if (rc == CURLE_OK)
		return 0;
	if (!c->attempts)
		return 1;
	curl_easy_getinfo(c->easy, CURLINFO_REQUEST_SIZE, &written);
	return written == 0 && c->len == 0;
}

static CURL *get_easy(struct loop *l)
{
	if (l->nspare)
		return l->spare[--l->nspare];
	return curl_easy_init();
}

static void release_easy(struct loop *l, CURL *easy)
{
	if (l->nspare == l->max_spare) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	l->spare[l->nspare++] = easy;
}

static void add_running(struct loop *l, struct loop_call *c)
{
	c->next = l->running;
	c->prev = &l->running;
	if (c->next)
		c->next->prev = &c->next;
	l->running = c;
}

static void remove_running(struct loop_call *c)
{
	*c->prev = c->next;
	if (c->next)
		c->next->prev = c->prev;
}

/*
 * Returns whether a reused connection was unresponsive: the request was sent on
 * it, and no byte of a response arrived before the timeout or the abort.
 */
static int was_unresponsive(struct loop_call *c, CURLcode rc)
{
	long connects = 0;

	if (!c->attempts || (rc != CURLE_OPERATION_TIMEDOUT && !c->aborted))
		return 0;
	curl_easy_getinfo(c->easy, CURLINFO_NUM_CONNECTS, &connects);
	return connects == 0 && c->header_len == 0;
}

/* Calls the callbacks for a call that has ended; they free it. */
static void end_call(struct loop_call *c, CURLcode rc)
{
	struct loop *l = c->loop;
	CURL *easy = c->easy;
	long status = 0;

	if (easy) {
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
		c->unsent = certainly_unsent(c, rc);
		if (was_unresponsive(c, rc))
			loop_host_mark_suspect(l, c->address);
	} else {
		c->unsent = 1;
	}
	remove_running(c);
	l->has_connections = 1;
	l->last_call_ended_at = daemon_now();
	c->ops->finish(c, rc, status);
	c->ops->free(c);
	if (easy)
		release_easy(l, easy);
}

/* Sets the options that all calls share. */
static void set_common_options(struct loop_call *c)
{
	CURL *easy = c->easy;

	curl_easy_setopt(easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
			 (long)(c->loop->d->settings->target_idle_age / 1000));
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)c->loop->d->settings->connect_timeout);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_write_request);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, c);
}

static void start_call(struct loop *l, struct loop_call *c)
{
	c->loop = l;
	add_running(l, c);
	c->easy = c->do_not_send ? NULL : get_easy(l);
	if (!c->easy) {
		end_call(c, CURLE_OUT_OF_MEMORY);
		return;
	}
	set_common_options(c);
	if (loop_host_is_suspect(l, c->address))
		curl_easy_setopt(c->easy, CURLOPT_FRESH_CONNECT, 1L);
	c->ops->prepare(c);
	if (curl_multi_add_handle(l->multi, c->easy) != CURLM_OK)
		end_call(c, CURLE_FAILED_INIT);
}

void loop_abort_call(struct loop_call *c)
{
	c->aborted = 1;
	curl_multi_remove_handle(c->loop->multi, c->easy);
	end_call(c, CURLE_ABORTED_BY_CALLBACK);
}

/* Empties the queue and returns its list of calls. */
static struct loop_call *remove_queued(struct loop *l)
{
	struct loop_call *c;

	apr_thread_mutex_lock(l->lock);
	c = l->queue_head;
	l->queue_head = NULL;
	l->queue_tail = &l->queue_head;
	apr_thread_mutex_unlock(l->lock);
	return c;
}

static void start_queued(struct loop *l)
{
	struct loop_call *c = remove_queued(l);

	while (c) {
		struct loop_call *next = c->next;

		start_call(l, c);
		c = next;
	}
}

/* Ends all calls that curl has completed. */
static void end_completed(struct loop *l)
{
	struct CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(l->multi, &left))) {
		struct loop_call *c;
		CURLcode rc = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &c);
		curl_multi_remove_handle(l->multi, msg->easy_handle);
		end_call(c, rc);
	}
}

static int queue_is_empty(struct loop *l)
{
	int empty;

	apr_thread_mutex_lock(l->lock);
	empty = !l->queue_head;
	apr_thread_mutex_unlock(l->lock);
	return empty;
}

/*
 * Sleeps until a socket is ready, curl's timer expires or a call is queued. The
 * flag is set before the queue is checked, so that loop_queue_call() wakes the
 * thread if it adds a call after the check.
 */
static void wait_for_work(struct loop *l)
{
	atomic_store(&l->sleeping, 1);
	loop_poll(l, queue_is_empty(l) && !atomic_load(&l->stopping));
	atomic_store(&l->sleeping, 0);
}

static CURLM *create_multi(struct loop *l)
{
	CURLM *multi = curl_multi_init();

	if (!multi)
		return NULL;
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, (long)l->max_spare);
	curl_multi_setopt(multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	loop_poll_attach(l, multi);
	return multi;
}

/*
 * Closes all connections when no call has run for their maximum age. curl
 * itself closes expired connections only when it makes another call, and
 * meanwhile they count towards the target's connection limit.
 */
static void close_idle_connections(struct loop *l)
{
	CURLM *multi;

	if (!l->has_connections || l->running ||
	    daemon_now() - l->last_call_ended_at <
		    l->d->settings->target_idle_age)
		return;
	multi = create_multi(l);
	if (!multi)
		return;
	curl_multi_cleanup(l->multi);
	l->multi = multi;
	l->timer_at = 0;
	l->has_connections = 0;
}

static void *APR_THREAD_FUNC loop_main(apr_thread_t *thread, void *arg)
{
	struct loop *l = arg;

	(void)thread;
	daemon_name_thread("curl-loop");
	while (!atomic_load(&l->stopping)) {
		start_queued(l);
		wait_for_work(l);
		end_completed(l);
		close_idle_connections(l);
	}
	return NULL;
}

int loop_init(struct loop *l, struct daemon *d, void *user, int max_idle)
{
	memset(l, 0, sizeof(*l));
	l->d = d;
	l->user = user;
	l->queue_tail = &l->queue_head;
	l->max_spare = (size_t)max_idle;
	l->spare = apr_palloc(d->pool, l->max_spare * sizeof(CURL *));
	if (loop_poll_init(l) < 0 ||
	    apr_thread_mutex_create(&l->lock, APR_THREAD_MUTEX_DEFAULT,
				    d->pool) != APR_SUCCESS)
		return -1;
	l->multi = create_multi(l);
	if (!l->multi)
		return -1;
	l->thread = daemon_create_thread(d, loop_main, l);
	return l->thread ? 0 : -1;
}

void loop_queue_call(struct loop *l, struct loop_call *c)
{
	c->next = NULL;
	apr_thread_mutex_lock(l->lock);
	*l->queue_tail = c;
	l->queue_tail = &c->next;
	apr_thread_mutex_unlock(l->lock);
	if (atomic_exchange(&l->sleeping, 0))
		loop_poll_wake(l);
}

/* Frees the calls that have not ended, without calling finish. */
static void free_unfinished_calls(struct loop *l)
{
	struct loop_call *c;

	while ((c = l->running)) {
		remove_running(c);
		curl_multi_remove_handle(l->multi, c->easy);
		curl_easy_cleanup(c->easy);
		c->ops->free(c);
	}
	c = remove_queued(l);
	while (c) {
		struct loop_call *next = c->next;

		c->ops->free(c);
		c = next;
	}
}

void loop_finish(struct loop *l)
{
	apr_status_t rc;
	size_t i;

	if (!l->thread)
		return;
	atomic_store(&l->stopping, 1);
	loop_poll_wake(l);
	apr_thread_join(&rc, l->thread);
	free_unfinished_calls(l);
	for (i = 0; i < l->nspare; i++)
		curl_easy_cleanup(l->spare[i]);
	curl_multi_cleanup(l->multi);
	loop_hosts_finish(l);
}
