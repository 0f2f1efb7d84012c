/* rosemary-poold: the daemon of an entry VM in a pool. */

#include "pool.h"

#include <apr_general.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/random.h>
#include <unistd.h>

#define EXIT_START_FAILED 3
#define LOG_LINES_PER_SECOND 600

/* Becomes unready and resigns, but serves until all requests are answered. */
static void begin_stop(struct pool *p)
{
	if (p->stopping)
		return;
	p->stopping = 1;
	p->stopping_since = p->now;
	p->lead.claims_disabled = 1;
	LOG_EVENT(LOG_LEVEL_INFO, "stopping", LOG_NUMBER("open", p->nopen),
		  LOG_NUMBER("leading", p->leading));
	lead_resign(&p->lead);
	pool_store_unregister(p);
}

static void on_signal(struct pool_fd *f, uint32_t events)
{
	struct pool *p =
		(struct pool *)((char *)f - offsetof(struct pool, signals));
	struct signalfd_siginfo info;

	(void)events;
	if (read(f->fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (info.ssi_signo == SIGHUP)
		LOG_EVENT(LOG_LEVEL_INFO, "reload",
			  LOG_TEXT("outcome", "unchanged: settings are read at "
					      "the start only"));
	else
		begin_stop(p);
}

/* Called first, so that a signal during the start waits for the event loop. */
static int block_signals(sigset_t *set)
{
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
	return sigprocmask(SIG_BLOCK, set, NULL);
}

static int watch_signals(struct pool *p)
{
	sigset_t set;

	if (block_signals(&set) < 0)
		return -1;
	p->signals.fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	p->signals.on_event = on_signal;
	if (p->signals.fd < 0)
		return -1;
	return pool_fd_watch(p, &p->signals, EPOLLIN);
}

static int start_daemon(struct pool *p)
{
	pool_limits_init(p);
	if (pool_loop_init(p) < 0 || watch_signals(p) < 0 ||
	    pool_calls_init(p) < 0 || pool_store_init(p) < 0 ||
	    pool_members_init(p) < 0 || pool_links_init(p) < 0 ||
	    pool_jobs_init(p) < 0 || pool_serve_init(p) < 0)
		return -1;
	LOG_EVENT(LOG_LEVEL_INFO, "start",
		  LOG_TEXT("failure_domain", p->set.failure_domain),
		  LOG_TEXT("listen", p->set.listen),
		  LOG_TEXT("link", p->set.link_address),
		  LOG_TEXT("store", p->set.store_address),
		  LOG_NUMBER("incarnation", (long long)p->incarnation),
		  LOG_NUMBER("lease_ms", p->set.max_lease));
	return 0;
}

/* Returns a random number, as the time of day could repeat. */
static uint64_t new_incarnation(void)
{
	uint64_t n = 0;

	if (getrandom(&n, sizeof(n), 0) != sizeof(n))
		n = (uint64_t)pool_clock() << 20 ^ (uint64_t)getpid();
	return n >> 1 | 1;
}

int pool_run(const struct pool_settings *set)
{
	static struct pool pool;
	struct pool *p = &pool;

	p->set = *set;
	p->incarnation = new_incarnation();
	p->now = pool_clock();
	p->started_at = p->now;
	apr_pool_create(&p->pool, NULL);
	p->requests = hash_new(p->pool);
	p->has_stored_jobs = -1;
	if (start_daemon(p) < 0) {
		log_flush();
		return EXIT_START_FAILED;
	}
	pool_loop_run(p);
	LOG_EVENT(LOG_LEVEL_INFO, "stop", LOG_NUMBER("open", p->nopen),
		  LOG_NUMBER("after_ms", p->now - p->stopping_since));
	log_flush();
	pool_serve_finish(p);
	pool_jobs_finish(p);
	pool_counts_finish(p);
	pool_agent_reset(p);
	return 0;
}

int main(int argc, char **argv)
{
	struct pool_settings set;
	sigset_t signals;
	int rc;

	block_signals(&signals);
	rc = pool_settings_load(&set, argc, argv);
	if (rc || set.check_only)
		return rc;
	log_buffer(LOG_LINES_PER_SECOND);
	if (apr_initialize() != APR_SUCCESS ||
	    curl_global_init(CURL_GLOBAL_DEFAULT) ||
	    log_start(set.vm_name, set.log_level) < 0) {
		fprintf(stderr, "rosemary-poold: cannot initialise APR, "
				"libcurl or log4c\n");
		return EXIT_START_FAILED;
	}
	rc = pool_run(&set);
	log_stop();
	curl_global_cleanup();
	apr_terminate();
	return rc;
}
