/* Main program of rosemaryd, which runs an entry VM of the dispatcher. */

#include "daemon.h"

#include <apr_general.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#define WAIT_MS 20	    /* longest wait for a signal between checks */
#define FLUSH_LIMIT_MS 5000 /* timeout for sending what is queued */
#define NSEC_PER_MS 1000000L

/* Waits up to WAIT_MS for SIGTERM or SIGINT. Returns whether one arrived. */
static int wait_for_signal(const sigset_t *signals)
{
	const struct timespec ts = { 0, WAIT_MS * NSEC_PER_MS };

	return sigtimedwait(signals, NULL, &ts) > 0;
}

/* Waits until a signal or an operator begins a planned stop. */
static void serve(struct daemon *d, const sigset_t *signals)
{
	while (!atomic_load(&d->draining))
		if (wait_for_signal(signals))
			daemon_drain(d);
}

/*
 * Waits until the kernel has finished all its work. Returns 0, or -1 on the
 * timeout drain_limit or a second signal.
 */
static int wait_for_drain(struct daemon *d, const sigset_t *signals)
{
	rp_ms end = daemon_now() + d->settings->drain_limit;

	while (!atomic_load(&d->drained)) {
		if (wait_for_signal(signals) || daemon_now() > end)
			return -1;
	}
	return 0;
}

/*
 * Waits until all waiting callers have been answered. Returns 0, or -1 on the
 * timeout drain_limit or another signal.
 */
static int wait_for_callers(struct daemon *d, const sigset_t *signals)
{
	rp_ms end = daemon_now() + d->settings->drain_limit;

	while (http_waiting(d)) {
		if (wait_for_signal(signals) || daemon_now() > end)
			return -1;
	}
	return 0;
}

/*
 * Waits until responses and peer messages are sent, for at most
 * FLUSH_LIMIT_MS.
 */
static void flush_queues(struct daemon *d, const sigset_t *signals)
{
	rp_ms end = daemon_now() + FLUSH_LIMIT_MS;

	while (daemon_now() < end) {
		if (http_count_active(d) == 0 && peer_queues_empty(d))
			return;
		wait_for_signal(signals);
	}
}

static int run(const struct settings *s, const sigset_t *signals)
{
	struct daemon d = { .settings = s };
	int rc;

	if (daemon_start(&d, s) < 0) {
		daemon_stop(&d);
		return EXIT_START;
	}
	log_info("start", "", "serving callers at %s, peers at %s",
		 s->http_listen, s->peer_listen);
	serve(&d, signals);
	rc = wait_for_drain(&d, signals);
	http_stop_accepting(&d);
	http_refuse_waits(&d);
	if (!rc)
		rc = wait_for_callers(&d, signals);
	if (rc) {
		log_warn("stop", "", "stopping before all work is finished");
		rc = EXIT_UNCLEAN;
	}
	http_answer_all_waiting(&d);
	flush_queues(&d, signals);
	log_info("stop", "", "exiting");
	daemon_stop(&d);
	return rc;
}

/* Blocks the signals in all threads; the main thread waits for them. */
static void block_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, signals, NULL);
	signal(SIGPIPE, SIG_IGN);
}

int main(int argc, char **argv)
{
	struct settings s;
	sigset_t signals;
	int rc = settings_load(&s, argc, argv, environ);

	if (rc || s.check_only) {
		settings_finish(&s);
		return rc;
	}
	block_signals(&signals);
	if (apr_initialize() != APR_SUCCESS ||
	    curl_global_init(CURL_GLOBAL_DEFAULT) ||
	    log_start(s.kernel.vm_name, s.log_level) < 0) {
		fprintf(stderr, "rosemaryd: cannot initialize the libraries\n");
		return EXIT_START;
	}
	rc = run(&s, &signals);
	log_stop();
	curl_global_cleanup();
	apr_terminate();
	settings_finish(&s);
	return rc;
}
