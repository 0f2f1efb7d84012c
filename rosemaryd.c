/* rosemaryd: one entry VM of the dispatcher. */

#include "daemon.h"

#include <apr_general.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#define WAIT_MS 20	    /* span between looks while stopping */
#define FLUSH_LIMIT_MS 5000 /* responses and messages must be out within */
#define NSEC_PER_MS 1000000L

/* Waits a while for a signal to stop. Returns whether one came. */
static int stop_signal(const sigset_t *set)
{
	const struct timespec ts = { 0, WAIT_MS * NSEC_PER_MS };

	return sigtimedwait(set, NULL, &ts) > 0;
}

/* Serves until a signal or an operator asks to stop. */
static void serve(struct daemon *d, const sigset_t *set)
{
	while (!atomic_load(&d->draining))
		if (stop_signal(set))
			daemon_drain(d);
}

/*
 * Goes on serving until all work is finished. Returns 0, or -1 when the
 * limit passed or a second signal came.
 */
static int wait_drained(struct daemon *d, const sigset_t *set)
{
	rp_ms end = daemon_now() + d->settings->drain_limit;

	while (!atomic_load(&d->drained)) {
		if (stop_signal(set) || daemon_now() > end)
			return -1;
	}
	return 0;
}

/* Waits until the last callers have their answers. Returns as above. */
static int wait_answered(struct daemon *d, const sigset_t *set)
{
	rp_ms end = daemon_now() + d->settings->drain_limit;

	while (http_waiting(d)) {
		if (stop_signal(set) || daemon_now() > end)
			return -1;
	}
	return 0;
}

/* Lets responses and peer messages go out. */
static void flush(struct daemon *d, const sigset_t *set)
{
	rp_ms end = daemon_now() + FLUSH_LIMIT_MS;

	while (daemon_now() < end) {
		if (http_count_active(d) == 0 && peer_queues_empty(d))
			return;
		stop_signal(set);
	}
}

static int run(const struct settings *s, const sigset_t *set)
{
	struct daemon d = { .settings = s };
	int rc;

	if (daemon_start(&d, s) < 0) {
		daemon_stop(&d);
		return EXIT_START;
	}
	log_info("start", "", "serving callers at %s, peers at %s",
		 s->http_listen, s->peer_listen);
	serve(&d, set);
	rc = wait_drained(&d, set);
	http_stop_accepting(&d);
	http_refuse_waits(&d);
	if (!rc)
		rc = wait_answered(&d, set);
	if (rc) {
		log_warn("stop", "", "stops before all work is finished");
		rc = EXIT_UNCLEAN;
	}
	http_answer_all_waiting(&d);
	flush(&d, set);
	log_info("stop", "", "exits");
	daemon_stop(&d);
	return rc;
}

/* Signals are taken by the main thread only; all others block them. */
static void block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

int main(int argc, char **argv)
{
	struct settings s;
	sigset_t set;
	int rc = settings_load(&s, argc, argv, environ);

	if (rc || s.check_only) {
		settings_finish(&s);
		return rc;
	}
	block_signals(&set);
	if (apr_initialize() != APR_SUCCESS ||
	    curl_global_init(CURL_GLOBAL_DEFAULT) ||
	    log_start(s.kernel.vm_name, s.log_level) < 0) {
		fprintf(stderr, "rosemaryd: a library did not start\n");
		return EXIT_START;
	}
	rc = run(&s, &set);
	log_stop();
	curl_global_cleanup();
	apr_terminate();
	settings_finish(&s);
	return rc;
}
