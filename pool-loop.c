/* The event loop: sockets, libcurl, libmicrohttpd, ticks. */

#include "pool.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#define MAX_EVENTS 128		/* for one epoll_wait() */
#define LOG_FLUSH_MS 50		/* interval */
#define LAST_ANSWERS_MS 100	/* for answers to go out before the exit */
#define EXIT_MARGIN_MS 500	/* between the exit and SIGKILL */
#define LAG_WEIGHT 0.2		/* of one tick in the moving mean */
#define LAG_LIMIT_MS 60		/* a tick later than this shows overload */
#define LAG_RESIGN_AFTER_MS 400 /* overload after which a leader resigns */

rp_ms pool_clock(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (rp_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int pool_fd_watch(struct pool *p, struct pool_fd *f, uint32_t events)
{
	struct epoll_event ev = { .events = events, .data.ptr = f };
	int op = f->events ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;

	if (f->events == events)
		return 0;
	if (epoll_ctl(p->epoll, op, f->fd, &ev) < 0) {
		log_error("loop", "", "cannot watch a socket: %s",
			  strerror(errno));
		return -1;
	}
	f->events = events;
	return 0;
}

void pool_fd_unwatch(struct pool *p, struct pool_fd *f)
{
	if (f->events)
		epoll_ctl(p->epoll, EPOLL_CTL_DEL, f->fd, NULL);
	f->events = 0;
}

void pool_defer_free(struct pool *p, void *memory)
{
	if (p->ndeferred == p->cap_deferred) {
		p->cap_deferred = p->cap_deferred * 2 + 64;
		p->deferred =
			realloc(p->deferred, p->cap_deferred * sizeof(void *));
	}
	p->deferred[p->ndeferred++] = memory;
}

static void free_deferred(struct pool *p)
{
	while (p->ndeferred)
		free(p->deferred[--p->ndeferred]);
}

int pool_loop_init(struct pool *p)
{
	p->epoll = epoll_create1(EPOLL_CLOEXEC);
	return p->epoll < 0 ? -1 : 0;
}

/* The shorter of two timeouts; a negative b is none. */
static rp_ms min_timeout(rp_ms a, rp_ms b)
{
	return b >= 0 && b < a ? b : a;
}

/*
 * After the VM or the process was suspended, leases may have ended and another
 * leader may have been elected.
 */
static void check_pause(struct pool *p, rp_ms delay)
{
	if (delay < POOL_PAUSE_MS)
		return;
	p->count.pauses++;
	LOG_EVENT(LOG_LEVEL_WARN, "paused", LOG_NUMBER("late_ms", delay));
	pool_handle_pause(p, delay);
}

/* Resigns after lasting overload, so that another VM leads. */
static void check_lag(struct pool *p, rp_ms delay)
{
	p->lag += LAG_WEIGHT * ((double)delay - p->lag);
	if (!p->leading || delay < LAG_LIMIT_MS) {
		p->lagging_since = 0;
		return;
	}
	if (!p->lagging_since)
		p->lagging_since = p->now;
	if (p->now - p->lagging_since < LAG_RESIGN_AFTER_MS ||
	    p->lead.resigning)
		return;
	LOG_EVENT(LOG_LEVEL_WARN, "resign", LOG_TEXT("why", "overloaded"),
		  LOG_NUMBER("late_ms", delay));
	lead_resign(&p->lead);
}

static void tick(struct pool *p)
{
	pool_store_tick(p, p->now);
	pool_turn_mark(p, POOL_ON_STORE);
	pool_members_tick(p, p->now);
	pool_turn_mark(p, POOL_ON_MEMBERS);
	if (p->leading) {
		pool_stored_tick(p, p->now);
		sched_tick(&p->sched, p->now);
		pool_check_targets_in_use(p);
		pool_turn_mark(p, POOL_ON_SCHEDULER);
	}
	pool_requests_tick(p, p->now);
	pool_jobs_tick(p);
	pool_counts_tick(p);
	pool_limits_tick(p);
	pool_log_traffic(p);
	pool_log_delays(p);
	pool_turn_mark(p, POOL_ON_REQUESTS);
}

/* Does once per iteration what its events made necessary. */
static void finish_events(struct pool *p)
{
	if (p->fenced) {
		p->fenced = 0;
		lead_fenced(&p->lead, p->now);
	}
	if (p->leading && p->dispatch_due)
		sched_dispatch(&p->sched, p->now);
	p->dispatch_due = 0;
	pool_turn_mark(p, POOL_ON_DISPATCH);
	pool_starts_flush(p);
	pool_send_ack(p);
	pool_send_run_acks(p);
	pool_share_flush(p);
	pool_state_flush(p);
	pool_cancel_queries_flush(p);
	pool_job_queries_expire(p);
	pool_counts_flush(p);
	if (p->awaiting_routes)
		pool_requests_resume_awaiting(p);
	pool_jobs_flush(p);
	pool_links_flush(p);
	pool_turn_mark(p, POOL_ON_LINKS);
}

rp_ms pool_answers_until(const struct pool *p)
{
	return p->stopping_since + p->set.grace - EXIT_MARGIN_MS -
	       LAST_ANSWERS_MS;
}

/*
 * After SIGTERM: ends the loop when the load balancer has had the time to
 * notice and all requests are answered, at the latest when the grace period is
 * over.
 */
static void check_stop(struct pool *p)
{
	rp_ms elapsed = p->now - p->stopping_since;

	if (!p->stopping)
		return;
	if (elapsed >= p->set.rotation && !p->nopen && !p->leading)
		p->finished = 1;
	if (p->now >= pool_answers_until(p)) {
		pool_requests_abort(p);
		pool_jobs_abort(p);
	}
	if (p->now >= pool_answers_until(p) + LAST_ANSWERS_MS)
		p->finished = 1;
}

void pool_loop_run(struct pool *p)
{
	struct epoll_event events[MAX_EVENTS];
	rp_ms tick_due = p->now, flush_due = p->now, http_wait = -1;
	int i, n;

	while (!p->finished) {
		rp_ms wait = tick_due - p->now;
		rp_ms delay;

		wait = min_timeout(wait < 0 ? 0 : wait, pool_calls_timeout(p));
		wait = min_timeout(wait, http_wait);
		wait = min_timeout(wait, pool_links_timeout(p));
		wait = min_timeout(wait, pool_resend_timeout(p));
		p->wake_at = p->now + wait;
		n = epoll_wait(p->epoll, events, MAX_EVENTS, (int)wait);
		p->now = pool_clock();
		pool_turn_begin(p);
		delay = p->now - p->wake_at;
		check_pause(p, delay);
		for (i = 0; i < n; i++) {
			struct pool_fd *f = events[i].data.ptr;

			if (f->events)
				f->on_event(f, events[i].events);
		}
		/*
		 * After the sockets: a reply that has arrived must not count as
		 * timed out.
		 */
		pool_turn_mark(p, POOL_ON_EVENTS);
		pool_calls_tick(p);
		pool_resend_tick(p);
		pool_turn_mark(p, POOL_ON_CALLS);
		if (p->now >= tick_due) {
			pool_histogram_add(&p->count.lag, p->now - tick_due);
			check_lag(p, p->now - tick_due);
			tick(p);
			tick_due = p->now + (p->leading
						     ? POOL_LEADER_TICK_MS
						     : POOL_FOLLOWER_TICK_MS);
		}
		finish_events(p);
		http_wait = pool_serve_run(p);
		pool_turn_mark(p, POOL_ON_HTTP);
		if (p->now >= flush_due) {
			log_flush();
			flush_due = p->now + LOG_FLUSH_MS;
		}
		free_deferred(p);
		pool_turn_mark(p, POOL_ON_LOGS);
		pool_turn_end(p);
		check_stop(p);
	}
}
