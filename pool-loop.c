/* The event loop: sockets, libcurl, libmicrohttpd, ticks. */

#include "pool.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#define EVENTS 128	    /* taken at once */
#define FLUSH_LOG_MS 50	    /* between writes of the log */
#define LAST_ANSWERS_MS 100 /* before the end, for answers to go out */
#define LAG_GAIN 0.2	    /* weight of one tick in the mean lag */
#define LAG_MS 60	    /* a tick this late shows a VM that is too slow */
#define LAG_SPAN_MS 400	    /* for so long: the leader resigns */

rp_ms pool_clock(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (rp_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int pool_parse_address(const char *text, struct sockaddr_in *sa)
{
	char host[RP_ADDRESS_MAX];
	const char *colon = strrchr(text, ':');

	memset(sa, 0, sizeof(*sa));
	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return -1;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, host, &sa->sin_addr) == 1 ? 0 : -1;
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

static void free_later(struct pool *p)
{
	while (p->ndeferred)
		free(p->deferred[--p->ndeferred]);
}

int pool_loop_init(struct pool *p)
{
	p->epoll = epoll_create1(EPOLL_CLOEXEC);
	return p->epoll < 0 ? -1 : 0;
}

static rp_ms least(rp_ms a, rp_ms b)
{
	return b >= 0 && b < a ? b : a;
}

/*
 * The machine or the process stood still: leases may be over, and another
 * leader may be in office.
 */
static void check_pause(struct pool *p, rp_ms late)
{
	if (late < POOL_PAUSE_MS)
		return;
	p->count.pauses++;
	LOG_EVENT(LOG_LEVEL_WARN, "paused", LOG_NUMBER("late_ms", late));
	pool_handle_pause(p, p->now);
}

/* A leader that cannot keep up hands over to a VM that can. */
static void check_lag(struct pool *p, rp_ms late)
{
	p->lag += LAG_GAIN * ((double)late - p->lag);
	if (!p->leading || late < LAG_MS) {
		p->lagging_since = 0;
		return;
	}
	if (!p->lagging_since)
		p->lagging_since = p->now;
	if (p->now - p->lagging_since < LAG_SPAN_MS || p->lead.resigning)
		return;
	LOG_EVENT(LOG_LEVEL_WARN, "resign", LOG_TEXT("why", "too slow"),
		  LOG_NUMBER("late_ms", late));
	lead_resign(&p->lead);
}

static void tick(struct pool *p)
{
	pool_store_tick(p, p->now);
	pool_members_tick(p, p->now);
	if (p->leading) {
		pool_stored_tick(p, p->now);
		sched_tick(&p->sched, p->now);
	}
	pool_requests_tick(p, p->now);
}

/* What follows from the events of this turn. */
static void settle(struct pool *p)
{
	if (p->fenced) {
		p->fenced = 0;
		lead_fenced(&p->lead, p->now);
	}
	if (p->leading && p->sched_dirty)
		sched_pump(&p->sched, p->now);
	p->sched_dirty = 0;
	pool_send_ack(p);
	pool_jobs_flush(p);
	pool_links_flush(p);
}

static void check_stop(struct pool *p)
{
	rp_ms since = p->now - p->stopping_since;

	if (!p->stopping)
		return;
	if (since >= p->set.rotation && !p->nopen && !p->leading)
		p->finished = 1;
	if (since >= p->set.grace - LAST_ANSWERS_MS) {
		pool_requests_abort(p);
		pool_jobs_abort(p);
	}
	if (since >= p->set.grace)
		p->finished = 1;
}

void pool_loop_run(struct pool *p)
{
	struct epoll_event events[EVENTS];
	rp_ms tick_at = p->now, flush_at = p->now, mhd = -1;
	int i, n;

	while (!p->finished) {
		rp_ms wait = tick_at - p->now;
		rp_ms late;

		wait = least(wait < 0 ? 0 : wait, pool_calls_timeout(p));
		wait = least(wait, mhd);
		p->wake_at = p->now + wait;
		n = epoll_wait(p->epoll, events, EVENTS, (int)wait);
		p->now = pool_clock();
		late = p->now - p->wake_at;
		check_pause(p, late);
		for (i = 0; i < n; i++) {
			struct pool_fd *f = events[i].data.ptr;

			if (f->events)
				f->on_event(f, events[i].events);
		}
		/* After what has come, or an answer would be taken for late. */
		pool_calls_tick(p);
		if (p->now >= tick_at) {
			pool_histogram_add(&p->count.lag, p->now - tick_at);
			check_lag(p, p->now - tick_at);
			tick(p);
			tick_at = p->now + (p->leading ? POOL_LEADER_TICK_MS
						       : POOL_FOLLOWER_TICK_MS);
		}
		settle(p);
		mhd = pool_serve_run(p);
		if (p->now >= flush_at) {
			log_flush();
			flush_at = p->now + FLUSH_LOG_MS;
		}
		free_later(p);
		check_stop(p);
	}
}
