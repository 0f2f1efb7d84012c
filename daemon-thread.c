/* Threads and the monotonic clock. */

#include "daemon.h"

#include <time.h>

#define NSEC_PER_MS 1000000

rp_ms daemon_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (rp_ms)ts.tv_sec * 1000 + ts.tv_nsec / NSEC_PER_MS;
}

void daemon_name_thread(const char *name)
{
	pthread_setname_np(pthread_self(), name);
}

apr_thread_t *daemon_create_thread(struct daemon *d,
				   apr_thread_start_t main_func, void *arg)
{
	apr_thread_t *t;

	if (apr_thread_create(&t, NULL, main_func, arg, d->pool) !=
	    APR_SUCCESS) {
		log_error("start", "", "cannot create a thread");
		return NULL;
	}
	return t;
}
