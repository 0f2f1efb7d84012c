/* An event loop for concurrent HTTP calls and timers: libcurl with epoll. */

#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#define EVENTS_MAX 256
#define CONNECTIONS_CACHED 8192L
#define CONNECT_TIMEOUT_MS 5000L
#define GET_TIMEOUT_MS 60000L

int64_t load_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* --- timers: a binary heap -------------------------------------------- */

/* Swaps two timers in the heap. */
static void heap_swap(struct load_loop *loop, size_t a, size_t b)
{
	struct load_timer t = loop->heap[a];

	loop->heap[a] = loop->heap[b];
	loop->heap[b] = t;
}

void load_loop_schedule(struct load_loop *loop, const struct load_timer *t)
{
	size_t i = loop->len;

	if (loop->len == loop->cap) {
		loop->cap = loop->cap ? 2 * loop->cap : 256;
		loop->heap =
			realloc(loop->heap, loop->cap * sizeof(*loop->heap));
		if (!loop->heap)
			abort();
	}
	loop->heap[loop->len++] = *t;
	while (i && loop->heap[i].due_us < loop->heap[(i - 1) / 2].due_us) {
		heap_swap(loop, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

/* Removes and returns the timer that is due first. */
static struct load_timer heap_pop(struct load_loop *loop)
{
	struct load_timer first = loop->heap[0];
	size_t i = 0;

	loop->heap[0] = loop->heap[--loop->len];
	for (;;) {
		size_t earliest = i, child;

		for (child = 2 * i + 1; child <= 2 * i + 2 && child < loop->len;
		     child++)
			if (loop->heap[child].due_us <
			    loop->heap[earliest].due_us)
				earliest = child;
		if (earliest == i)
			return first;
		heap_swap(loop, i, earliest);
		i = earliest;
	}
}

/* --- curl on epoll ---------------------------------------------------- */

/* Called by curl with the events to wait for on a socket. */
static int on_socket(CURL *easy, curl_socket_t fd, int events, void *arg,
		     void *socket_data)
{
	struct load_loop *loop = arg;
	struct epoll_event ev = { .data.fd = fd };

	(void)easy;
	if (events == CURL_POLL_REMOVE) {
		epoll_ctl(loop->epoll, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (events & CURL_POLL_IN)
		ev.events |= EPOLLIN;
	if (events & CURL_POLL_OUT)
		ev.events |= EPOLLOUT;
	if (epoll_ctl(loop->epoll, socket_data ? EPOLL_CTL_MOD : EPOLL_CTL_ADD,
		      fd, &ev))
		epoll_ctl(loop->epoll, EPOLL_CTL_ADD, fd, &ev);
	curl_multi_assign(loop->multi, fd, loop);
	return 0;
}

/* Called by curl with its timeout; negative: none. */
static int on_timeout(CURLM *multi, long ms, void *arg)
{
	struct load_loop *loop = arg;

	(void)multi;
	loop->curl_due_us = ms < 0 ? -1 : load_now_us() + ms * 1000;
	return 0;
}

int load_loop_init(struct load_loop *loop)
{
	struct epoll_event ev = { .events = EPOLLIN };

	memset(loop, 0, sizeof(*loop));
	loop->curl_due_us = -1;
	loop->epoll = epoll_create1(EPOLL_CLOEXEC);
	loop->timer = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK);
	loop->multi = curl_multi_init();
	ev.data.fd = loop->timer;
	if (loop->epoll < 0 || loop->timer < 0 || !loop->multi ||
	    epoll_ctl(loop->epoll, EPOLL_CTL_ADD, loop->timer, &ev))
		return -1;
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, on_timeout);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_MAXCONNECTS,
			  CONNECTIONS_CACHED);
	return 0;
}

void load_loop_finish(struct load_loop *loop)
{
	curl_multi_cleanup(loop->multi);
	close(loop->epoll);
	close(loop->timer);
	free(loop->heap);
}

/* Appends to the answer and terminates it with a NUL. */
static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct load_call *call = arg;
	char *answer = realloc(call->answer, call->len + size * n + 1);

	if (!answer)
		return 0;
	memcpy(answer + call->len, data, size * n);
	call->answer = answer;
	call->len += size * n;
	answer[call->len] = '\0';
	return size * n;
}

/* Sets up the handle of a call. */
static void set_options(struct load_call *call, const char *url,
			long timeout_ms)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	if (call->body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
				 (long)strlen(call->body));
	}
}

void load_call_start(struct load_loop *loop, struct load_call *call,
		     const char *url, long timeout_ms)
{
	call->loop = loop;
	call->easy = curl_easy_init();
	if (!call->easy)
		abort();
	/* Keeps libcurl from waiting for "100 Continue". */
	call->headers = curl_slist_append(call->headers, "Expect:");
	set_options(call, url, timeout_ms);
	call->sent_us = load_now_us();
	loop->in_flight++;
	curl_multi_add_handle(loop->multi, call->easy);
}

/* Frees a call and all it owns. */
static void call_free(struct load_call *call)
{
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	free(call->body);
	free(call->answer);
	free(call);
}

/* Calls done() of every finished call and frees it. */
static void complete_calls(struct load_loop *loop)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(loop->multi, &left))) {
		struct load_call *call = NULL;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
				  (char **)&call);
		if (msg->data.result == CURLE_OK)
			curl_easy_getinfo(msg->easy_handle,
					  CURLINFO_RESPONSE_CODE,
					  &call->status);
		curl_multi_remove_handle(loop->multi, call->easy);
		loop->in_flight--;
		call->done(call);
		call_free(call);
	}
}

/* --- the loop --------------------------------------------------------- */

/* Arms the timerfd for curl's timeout or the first timer, if it is earlier. */
static void arm_timer(struct load_loop *loop)
{
	struct itimerspec when = { 0 };
	int64_t due = loop->curl_due_us;

	if (loop->len && (due < 0 || loop->heap[0].due_us < due))
		due = loop->heap[0].due_us;
	if (due >= 0) {
		when.it_value.tv_sec = due / 1000000;
		when.it_value.tv_nsec = due % 1000000 * 1000;
		/* A time of 0 would disarm the timer. */
		if (!when.it_value.tv_sec && !when.it_value.tv_nsec)
			when.it_value.tv_nsec = 1;
	}
	timerfd_settime(loop->timer, TFD_TIMER_ABSTIME, &when, NULL);
}

/* Fires the timers that are due, and handles curl's timeout. */
static void run_due(struct load_loop *loop)
{
	int64_t now = load_now_us();
	int running;

	while (loop->len && loop->heap[0].due_us <= now) {
		struct load_timer t = heap_pop(loop);

		loop->fire(loop, &t);
	}
	if (loop->curl_due_us >= 0 && loop->curl_due_us <= now) {
		loop->curl_due_us = -1;
		curl_multi_socket_action(loop->multi, CURL_SOCKET_TIMEOUT, 0,
					 &running);
	}
}

/* Passes a socket's events to curl, or clears the timerfd. */
static void handle_event(struct load_loop *loop, const struct epoll_event *ev)
{
	int flags = 0, running;
	uint64_t expired;

	if (ev->data.fd == loop->timer) {
		(void)!read(loop->timer, &expired, sizeof(expired));
		return;
	}
	if (ev->events & (EPOLLIN | EPOLLHUP))
		flags |= CURL_CSELECT_IN;
	if (ev->events & EPOLLOUT)
		flags |= CURL_CSELECT_OUT;
	if (ev->events & EPOLLERR)
		flags |= CURL_CSELECT_ERR;
	curl_multi_socket_action(loop->multi, ev->data.fd, flags, &running);
}

void load_loop_run(struct load_loop *loop)
{
	struct epoll_event evs[EVENTS_MAX];

	while (loop->len || loop->in_flight) {
		int i, n;

		arm_timer(loop);
		n = epoll_wait(loop->epoll, evs, EVENTS_MAX, -1);
		for (i = 0; i < n; i++)
			handle_event(loop, &evs[i]);
		run_due(loop);
		complete_calls(loop);
	}
}

/* --- blocking calls --------------------------------------------------- */

char *load_get_text(const char *address, const char *path)
{
	struct load_call call = { .body = NULL };
	char url[256];

	call.easy = curl_easy_init();
	snprintf(url, sizeof(url), "http://%s%s", address, path);
	set_options(&call, url, GET_TIMEOUT_MS);
	if (curl_easy_perform(call.easy) == CURLE_OK)
		curl_easy_getinfo(call.easy, CURLINFO_RESPONSE_CODE,
				  &call.status);
	curl_easy_cleanup(call.easy);
	if (call.status == 200 && call.answer)
		return call.answer;
	free(call.answer);
	return NULL;
}

json_t *load_get_json(const char *address, const char *path)
{
	char *text = load_get_text(address, path);
	json_t *o = text ? json_loads(text, 0, NULL) : NULL;

	free(text);
	return o;
}
