/* HTTP calls with libcurl, on the event loop. */

#include "pool.h"

#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#define BODY_MAX (16u << 20) /* bytes of one reply */
#define CONNECT_TIMEOUT_MS 400
/* Bytes of a call beside its bodies, with its libcurl handle. */
#define CALL_BYTES 4096
#define IDLE_TIMEOUT_S 120L /* of a connection kept for reuse */

/* A socket that libcurl has opened. */
struct curl_fd {
	struct pool_fd fd; /* must be first */
	struct pool *p;
};

static void finish_calls(struct pool *p);

static void hold(struct pool_call *c, size_t n)
{
	c->held += n;
	pool_hold(c->p, RP_HOLD_MESSAGES, (long)n);
}

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct pool_call *c = arg;
	size_t add = size * n;

	if (add > BODY_MAX - c->len)
		return 0;
	if (c->len + add + 1 > c->cap) {
		size_t cap = (c->len + add) * 2 + 256;
		char *body = realloc(c->body, cap);

		if (!body)
			return 0;
		hold(c, cap - c->cap);
		c->body = body;
		c->cap = cap;
	}
	memcpy(c->body + c->len, data, add);
	c->len += add;
	return add;
}

static void on_socket_event(struct pool_fd *f, uint32_t events)
{
	struct pool *p = ((struct curl_fd *)f)->p;
	int mask = 0, left;

	if (events & EPOLLIN)
		mask |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (events & (EPOLLERR | EPOLLHUP))
		mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action(p->curl, f->fd, mask, &left);
	finish_calls(p);
}

/* known: the struct curl_fd that was assigned to the socket, or NULL. */
static int on_socket(CURL *easy, curl_socket_t fd, int what, void *arg,
		     void *known)
{
	struct pool *p = arg;
	struct curl_fd *f = known;
	uint32_t events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (f) {
			pool_fd_unwatch(p, &f->fd);
			pool_defer_free(p, f);
		}
		curl_multi_assign(p->curl, fd, NULL);
		return 0;
	}
	if (!f) {
		f = calloc(1, sizeof(*f));
		if (!f)
			return -1;
		f->fd.fd = fd;
		f->fd.on_event = on_socket_event;
		f->p = p;
		curl_multi_assign(p->curl, fd, f);
	}
	if (what & CURL_POLL_IN)
		events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		events |= EPOLLOUT;
	return pool_fd_watch(p, &f->fd, events);
}

static int on_timer(CURLM *curl, long ms, void *arg)
{
	struct pool *p = arg;

	(void)curl;
	p->curl_timer_due = ms < 0 ? -1 : p->now + ms;
	return 0;
}

int pool_calls_init(struct pool *p)
{
	p->curl = curl_multi_init();
	if (!p->curl)
		return -1;
	p->curl_timer_due = -1;
	p->call_group = 1;
	pool_resend_init(p);
	p->agent_calls = hash_new(p->pool);
	p->targets_by_number = hash_new(p->pool);
	curl_multi_setopt(p->curl, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(p->curl, CURLMOPT_SOCKETDATA, p);
	curl_multi_setopt(p->curl, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(p->curl, CURLMOPT_TIMERDATA, p);
	if (p->limits.calls) {
		curl_multi_setopt(p->curl, CURLMOPT_MAXCONNECTS,
				  (long)p->limits.idle_calls);
		curl_multi_setopt(p->curl, CURLMOPT_MAX_TOTAL_CONNECTIONS,
				  (long)p->limits.calls);
	}
	curl_multi_setopt(p->curl, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	return 0;
}

/*
 * Called by libcurl before each attempt to write the request. It sends one
 * again on another connection if a reused one ends without a reply.
 */
static int on_write_request(void *arg, char *peer_ip, char *local_ip,
			    int peer_port, int local_port)
{
	struct pool_call *c = arg;

	(void)peer_ip;
	(void)local_ip;
	(void)peer_port;
	(void)local_port;
	if (!c->attempts++)
		return CURL_PREREQFUNC_OK;
	if (c->once)
		return CURL_PREREQFUNC_ABORT;
	c->p->count.calls_repeated++;
	return CURL_PREREQFUNC_OK;
}

/* Creates a handle with the options that all calls share. */
static CURL *new_handle(void)
{
	CURL *e = curl_easy_init();

	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, IDLE_TIMEOUT_S);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_write_request);
	return e;
}

static void set_request(struct pool_call *c, const struct pool_call_spec *spec)
{
	CURL *e = c->easy;

	if (!c->request) {
		curl_easy_setopt(e, CURLOPT_HTTPGET, 1L);
		curl_easy_setopt(e, CURLOPT_HTTPHEADER, NULL);
		return;
	}
	curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)strlen(c->request));
	curl_easy_setopt(e, CURLOPT_POSTFIELDS, c->request);
	c->headers = curl_slist_append(NULL, "Expect:");
	c->headers = curl_slist_append(c->headers, "Content-Type: "
						   "application/json");
	if (spec->header)
		c->headers = curl_slist_append(c->headers, spec->header);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, c->headers);
}

/* Sets each option that any call sets: a reused handle keeps the old ones. */
static void set_options(struct pool_call *c, const struct pool_call_spec *spec)
{
	char url[512];
	CURL *e = c->easy;

	snprintf(url, sizeof(url), "http://%s%s", spec->address, spec->path);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_PRIVATE, c);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)spec->timeout);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, c);
	curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, (long)spec->fresh_connect);
	set_request(c, spec);
}

struct pool_call *pool_call_new(struct pool *p,
				const struct pool_call_spec *spec)
{
	struct pool_call *c = calloc(1, sizeof(*c));

	c->p = p;
	c->request = spec->request;
	c->on_done = spec->on_done;
	c->once = spec->once;
	c->sent_at = p->now;
	hold(c, CALL_BYTES + (c->request ? strlen(c->request) : 0));
	c->next = p->calls;
	c->prev = &p->calls;
	if (c->next)
		c->next->prev = &c->next;
	p->calls = c;
	return c;
}

struct pool_call *pool_call_begin(struct pool *p,
				  const struct pool_call_spec *spec)
{
	struct pool_call *c = pool_call_new(p, spec);

	c->easy = p->nidle_handles ? p->idle_handles[--p->nidle_handles]
				   : new_handle();
	set_options(c, spec);
	curl_multi_add_handle(p->curl, c->easy);
	return c;
}

static void release_handle(struct pool *p, CURL *easy)
{
	curl_multi_remove_handle(p->curl, easy);
	if (p->nidle_handles < POOL_IDLE_HANDLES)
		p->idle_handles[p->nidle_handles++] = easy;
	else
		curl_easy_cleanup(easy);
}

void pool_call_end(struct pool_call *c, long status, const char *body,
		   size_t len)
{
	if (c->on_done)
		c->on_done(c, status, body, len);
	pool_resend_ended(c, status);
	*c->prev = c->next;
	if (c->next)
		c->next->prev = c->prev;
	if (c->easy)
		release_handle(c->p, c->easy);
	pool_hold(c->p, RP_HOLD_MESSAGES, -(long)c->held);
	curl_slist_free_all(c->headers);
	free(c->request);
	free(c->body);
	free(c);
}

int pool_call_refused(long status)
{
	return status == 503 ||
	       (status >= 400 && status < 500 && status != 412);
}

/*
 * The status of the reply. If the request was sent again, a refusal of the last
 * attempt does not tell that an earlier one was not carried out, and counts as
 * no reply. pool_resend_status() does the same for targets.
 */
static long status_of(const struct pool_call *c)
{
	long status = 0;

	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	if (c->attempts > 1 && c->request && !c->resend &&
	    pool_call_refused(status))
		return 0;
	return status;
}

static void finish_calls(struct pool *p)
{
	struct CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(p->curl, &left))) {
		struct pool_call *c;
		long status = 0;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &c);
		if (msg->data.result == CURLE_OK)
			status = status_of(c);
		pool_call_end(c, status, c->body, c->len);
	}
}

rp_ms pool_calls_timeout(const struct pool *p)
{
	if (p->curl_timer_due < 0)
		return -1;
	return p->curl_timer_due > p->now ? p->curl_timer_due - p->now : 0;
}

void pool_calls_tick(struct pool *p)
{
	int left;

	if (p->curl_timer_due < 0 || p->now < p->curl_timer_due)
		return;
	p->curl_timer_due = -1;
	curl_multi_socket_action(p->curl, CURL_SOCKET_TIMEOUT, 0, &left);
	finish_calls(p);
}

void pool_calls_cancel(struct pool *p, uint64_t group)
{
	struct pool_call *c;

	for (c = p->calls; c; c = c->next)
		if (c->group == group)
			c->on_done = NULL;
}
