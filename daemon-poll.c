/* Polls the sockets and the timer of a curl loop with an APR poll set. */

#include "daemon.h"

#include <apr_portable.h>
#include <apr_time.h>

#define POLL_EVENTS 1024 /* most events returned by one poll */
#define MAX_SLEEP apr_time_from_sec(1)

/* A polled socket of curl; moved to free_sockets when curl has closed it. */
struct loop_socket {
	apr_pollfd_t pfd;
	apr_socket_t *socket;
	struct loop_socket *next; /* in free_sockets */
};

static struct loop_socket *get_socket(struct loop *l)
{
	struct loop_socket *s = l->free_sockets;

	if (!s)
		return apr_pcalloc(l->pool, sizeof(*s));
	l->free_sockets = s->next;
	return s;
}

static apr_int16_t curl_to_apr_events(int what)
{
	if (what == CURL_POLL_IN)
		return APR_POLLIN;
	return what == CURL_POLL_OUT ? APR_POLLOUT : APR_POLLIN | APR_POLLOUT;
}

/* Called by curl to add a socket, change its events or remove it. */
static int on_socket(CURL *easy, curl_socket_t fd, int what, void *arg,
		     void *socket)
{
	struct loop *l = arg;
	struct loop_socket *s = socket;

	(void)easy;
	if (s)
		apr_pollset_remove(l->pollset, &s->pfd);
	if (what == CURL_POLL_REMOVE) {
		if (s) {
			s->next = l->free_sockets;
			l->free_sockets = s;
		}
		return 0;
	}
	if (!s) {
		s = get_socket(l);
		apr_os_sock_put(&s->socket, &fd, l->pool);
		curl_multi_assign(l->multi, fd, s);
	}
	s->pfd.desc_type = APR_POLL_SOCKET;
	s->pfd.desc.s = s->socket;
	s->pfd.reqevents = curl_to_apr_events(what);
	s->pfd.client_data = (void *)(intptr_t)fd;
	return apr_pollset_add(l->pollset, &s->pfd) == APR_SUCCESS ? 0 : -1;
}

/* Called by curl to set its timer; a negative timeout removes it. */
static int on_timer(CURLM *multi, long timeout, void *arg)
{
	struct loop *l = arg;

	(void)multi;
	l->timer_at =
		timeout < 0 ? 0 : apr_time_now() + apr_time_from_msec(timeout);
	return 0;
}

int loop_poll_init(struct loop *l)
{
	if (apr_pool_create(&l->pool, l->d->pool) != APR_SUCCESS ||
	    apr_pollset_create(&l->pollset, POLL_EVENTS, l->pool,
			       APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY) !=
		    APR_SUCCESS)
		return -1;
	return 0;
}

void loop_poll_attach(struct loop *l, CURLM *multi)
{
	curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, l);
	curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(multi, CURLMOPT_TIMERDATA, l);
}

/* Returns the time to sleep: until curl's timer, and at most MAX_SLEEP. */
static apr_interval_time_t sleep_time(const struct loop *l)
{
	apr_interval_time_t left = MAX_SLEEP;

	if (l->timer_at)
		left = l->timer_at - apr_time_now();
	if (left < 0)
		return 0;
	return left < MAX_SLEEP ? left : MAX_SLEEP;
}

static int apr_to_curl_events(apr_int16_t events)
{
	int mask = 0;

	if (events & (APR_POLLIN | APR_POLLHUP))
		mask |= CURL_CSELECT_IN;
	if (events & APR_POLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (events & APR_POLLERR)
		mask |= CURL_CSELECT_ERR;
	return mask;
}

/* Lets curl handle its timeouts if its timer has expired. */
static void run_timer(struct loop *l)
{
	int running;

	if (!l->timer_at || l->timer_at > apr_time_now())
		return;
	l->timer_at = 0;
	curl_multi_socket_action(l->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

void loop_poll(struct loop *l, int may_sleep)
{
	const apr_pollfd_t *ready;
	apr_int32_t n = 0, i;
	int running;

	if (apr_pollset_poll(l->pollset, may_sleep ? sleep_time(l) : 0, &n,
			     &ready) != APR_SUCCESS)
		n = 0;
	for (i = 0; i < n; i++)
		curl_multi_socket_action(
			l->multi, (curl_socket_t)(intptr_t)ready[i].client_data,
			apr_to_curl_events(ready[i].rtnevents), &running);
	run_timer(l);
}

void loop_poll_wake(struct loop *l)
{
	apr_pollset_wakeup(l->pollset);
}
