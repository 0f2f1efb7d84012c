/* Starts and stops the daemon; runs the tick thread. */

#include "daemon.h"

#include <apr_general.h>
#include <stdlib.h>
#include <unistd.h>

#define DISCONNECT_CHECK_MS 100 /* interval between checks of callers */
#define LIMITS_LOG_MS 1000	/* between log lines of a limit */

/* --- locks for the kernel --------------------------------------------- */

/* APR pools are not thread-safe, so lock_pool has a lock of its own. */
static apr_pool_t *lock_pool;
static apr_thread_mutex_t *lock_pool_lock;

static void *lock_create(void)
{
	apr_thread_mutex_t *m = NULL;

	apr_thread_mutex_lock(lock_pool_lock);
	apr_thread_mutex_create(&m, APR_THREAD_MUTEX_DEFAULT, lock_pool);
	apr_thread_mutex_unlock(lock_pool_lock);
	return m;
}

static void lock_destroy(void *lock)
{
	apr_thread_mutex_destroy(lock);
}

static void lock_lock(void *lock)
{
	apr_thread_mutex_lock(lock);
}

static void lock_unlock(void *lock)
{
	apr_thread_mutex_unlock(lock);
}

static const struct rp_lock_ops lock_ops = {
	.create = lock_create,
	.destroy = lock_destroy,
	.lock = lock_lock,
	.unlock = lock_unlock,
};

static int init_locks(struct daemon *d)
{
	apr_pool_create(&lock_pool, d->pool);
	return apr_thread_mutex_create(&lock_pool_lock,
				       APR_THREAD_MUTEX_DEFAULT,
				       d->pool) == APR_SUCCESS
		       ? 0
		       : -1;
}

/* --- the kernel and its ticks ------------------------------------------ */

static int start_kernel(struct daemon *d)
{
	struct rp_options opt = d->settings->kernel;
	rp_ms wall = apr_time_as_msec(apr_time_now());
	struct rp_status st;
	void *memory = NULL;

	opt.incarnation = (uint64_t)wall;
	opt.wall_offset = wall - daemon_now();
	opt.locks = lock_ops;
	opt.budget = &d->budget;
	daemon_limit_kernel(d, &opt);
	if (!opt.seed)
		apr_generate_random_bytes((unsigned char *)&opt.seed,
					  sizeof(opt.seed));
	if (posix_memalign(&memory, 64, rp_kernel_size()))
		return -1;
	if (rp_kernel_init(memory, &opt, daemon_now(), &st) != RP_OK) {
		log_error("start", "", "kernel: %s", st.message);
		free(memory);
		return -1;
	}
	d->kernel = memory;
	return 0;
}

static void *APR_THREAD_FUNC tick_main(apr_thread_t *thread, void *arg)
{
	struct rp_event ev = { .type = RP_EVENT_TICK };
	struct daemon *d = arg;
	rp_ms next_check = 0, next_log = 0;

	(void)thread;
	daemon_name_thread("tick");
	while (!atomic_load(&d->stopping)) {
		daemon_handle_event(d, &ev);
		if (daemon_now() >= next_check) {
			http_wait_check_disconnects(d);
			machine_trim(&d->budget, &d->held_peak);
			next_check = daemon_now() + DISCONNECT_CHECK_MS;
		}
		if (daemon_now() >= next_log) {
			http_log_limits(d);
			next_log = daemon_now() + LIMITS_LOG_MS;
		}
		apr_sleep(apr_time_from_msec(RP_TICK_MS));
	}
	return NULL;
}

int daemon_start(struct daemon *d, const struct settings *settings)
{
	d->settings = settings;
	if (apr_pool_create(&d->pool, NULL) != APR_SUCCESS)
		return -1;
	daemon_limits_init(d);
	if (init_locks(d) < 0 || start_kernel(d) < 0)
		return -1;
	if (http_waits_init(d) < 0 || target_start(d) < 0 ||
	    platform_start(d) < 0 || peer_start(d) < 0 || http_start(d) < 0)
		return -1;
	d->tick_thread = daemon_create_thread(d, tick_main, d);
	return d->tick_thread ? 0 : -1;
}

/*
 * Each step stops threads that may call into modules that are stopped later.
 * The HTTP server is stopped before the clients, since the events of its
 * threads result in calls to targets, the platform and peers.
 */
void daemon_stop(struct daemon *d)
{
	apr_status_t rc;

	atomic_store(&d->stopping, 1);
	if (d->tick_thread)
		apr_thread_join(&rc, d->tick_thread);
	http_stop(d);
	peer_stop(d);
	platform_stop(d);
	target_stop(d);
	if (d->kernel) {
		rp_kernel_finish(d->kernel);
		free(d->kernel);
	}
	if (d->pool)
		apr_pool_destroy(d->pool);
}
