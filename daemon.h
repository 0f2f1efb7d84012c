#ifndef DAEMON_H
#define DAEMON_H

/*
 * Central header of rosemaryd: the shell that does the kernel's I/O.
 *
 * Every thread delivers events through daemon_event(), which carries out
 * the actions that follow: answers go to http-wait.c, starts and lookups to
 * daemon-target.c, table calls to daemon-platform.c, messages to
 * daemon-peer.c. No part delivers an event from within an action.
 */

#include <apr_poll.h>
#include <apr_pools.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <curl/curl.h>
#include <pthread.h>
#include <stdatomic.h>

#include "rosemary.h"
#include "setting.h"
#include "log.h"

/* Counters of the shell; the kernel keeps its own. */
enum count {
	COUNT_HTTP_REQUESTS,
	COUNT_HTTP_BAD_INPUT,
	COUNT_HTTP_FULL,
	COUNT_HTTP_BYTES_IN,
	COUNT_HTTP_BYTES_OUT,
	COUNT_CALLERS_GONE,
	COUNT_TARGET_STARTS,
	COUNT_TARGET_LOOKUPS,
	COUNT_TARGET_VOIDS,
	COUNT_TARGET_STOPS,
	COUNT_TARGET_UNSENT,
	COUNT_TARGET_UNKNOWN,
	COUNT_RESENDS_PREVENTED,
	COUNT_TARGET_DROPPED,
	COUNT_TARGET_CONNECTS,
	COUNT_CONNECTIONS_SUSPECT,
	COUNT_TARGET_BYTES_OUT,
	COUNT_TARGET_BYTES_IN,
	COUNT_PLATFORM_READS,
	COUNT_PLATFORM_COMMITS,
	COUNT_PLATFORM_CONFLICTS,
	COUNT_PLATFORM_NO_EFFECT,
	COUNT_PLATFORM_LOST,
	COUNT_PEER_MESSAGES_OUT,
	COUNT_PEER_MESSAGES_IN,
	COUNT_PEER_BYTES_OUT,
	COUNT_PEER_BYTES_IN,
	COUNT_PEER_DROPPED,
	COUNT_PEER_CONNECTS,
	COUNT_PEER_DOWN,
	COUNT_KINDS,
};

void count_add(enum count what, uint64_t n);
void count_write(struct rp_writer *w);

struct http_server;
struct http_waits;
struct target_side;
struct platform_side;
struct peer_side;

struct daemon {
	const struct settings *set;
	apr_pool_t *pool;
	struct rp_kernel *kernel;
	struct http_server *http;
	struct http_waits *waits;
	struct target_side *targets;
	struct platform_side *platform;
	struct peer_side *peers;
	apr_thread_t *ticker;
	atomic_int stopping; /* threads should return */
	atomic_int draining; /* a planned stop has begun */
	atomic_int drained;  /* the kernel has finished all its work */
};

/* Monotonic time in milliseconds. */
rp_ms daemon_now(void);

/* Gives the kernel an event and carries out the actions. */
void daemon_event(struct daemon *d, const struct rp_event *ev);

/* Carries out the actions and empties the list. */
void daemon_execute(struct daemon *d, struct rp_actions *acts);

/* Begins the planned stop; further calls do nothing. */
void daemon_drain(struct daemon *d);

/* Starts all parts; returns 0, or -1 after logging what failed. */
int daemon_start(struct daemon *d, const struct settings *set);
void daemon_stop(struct daemon *d);

/* Names the calling thread for debuggers. */
void daemon_name_thread(const char *name);

apr_thread_t *daemon_thread(struct daemon *d, apr_thread_start_t body,
			    void *arg);

/* --- curl loops ------------------------------------------------------ */

struct loop_call;

/* What a kind of call does before it is sent and after it has ended. */
struct loop_call_ops {
	void (*prepare)(struct loop_call *c);
	void (*finish)(struct loop_call *c, CURLcode rc, long status);
	void (*free)(struct loop_call *c);
};

/* One HTTP exchange in a loop. Embedded as first member of a larger call. */
struct loop_call {
	const struct loop_call_ops *ops;
	struct loop_call *next;	 /* in the queue, or among the running */
	struct loop_call **prev; /* among the running */
	struct loop *loop;
	CURL *easy;
	const char *host; /* ip:port; owned by the larger call */
	int resend_ok;	  /* may be sent again when a connection died */
	int attempts;	  /* times that the request was about to be sent */
	int refused;	  /* set before it is queued: not to be sent */
	int aborted;	  /* ended by loop_abort() */
	int unsent;	  /* set before finish: surely no byte was written */
	int too_long;	  /* the reply exceeded max_body */
	size_t header;	  /* bytes of the reply's header */
	size_t max_body;
	char *body;
	size_t len, cap;
};

/* A thread that runs many HTTP exchanges at once. */
struct loop {
	struct daemon *d;
	void *user;
	CURLM *multi;
	apr_thread_t *thread;
	apr_thread_mutex_t *lock;
	struct loop_call *head, **tail; /* under lock: calls to be begun */
	atomic_int sleeping;
	atomic_int stopping;
	struct loop_call *running; /* only the loop's thread */
	int used;		   /* since the connections were closed */
	rp_ms last_end;		   /* when a call last ended */
	CURL **spare;		   /* easy handles for reuse */
	size_t nspare, max_spare;

	/* Of daemon-poll.c; only the loop's thread. */
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	apr_time_t timer; /* when curl wants to be called; 0: not */
	struct loop_socket *unused;
	struct loop_host *suspects; /* of daemon-host.c */
};

int loop_poll_init(struct loop *l);
void loop_poll_attach(struct loop *l, CURLM *multi);
/* Serves sockets and timers; sleeps until there is work if it may. */
void loop_poll(struct loop *l, int may_sleep);
void loop_poll_wake(struct loop *l);

int loop_init(struct loop *l, struct daemon *d, void *user, int max_idle);
void loop_finish(struct loop *l);
/* Queues a call from any thread. */
void loop_submit(struct loop *l, struct loop_call *c);
/* Ends a running call and its connection. Only from the loop's thread. */
void loop_abort(struct loop_call *c);

/* Whether calls to the host should not use its open connections. */
int loop_host_is_suspect(struct loop *l, const char *address);
void loop_host_suspect(struct loop *l, const char *address);
void loop_hosts_finish(struct loop *l);

/* --- targets, platform, peers ---------------------------------------- */

int target_start(struct daemon *d);
void target_stop(struct daemon *d);
/* Takes over what the action owns. */
void target_execute(struct daemon *d, struct rp_action *act);

int platform_start(struct daemon *d);
void platform_stop(struct daemon *d);
void platform_execute(struct daemon *d, struct rp_action *act);

int peer_start(struct daemon *d);
void peer_stop(struct daemon *d);
void peer_execute(struct daemon *d, struct rp_action *act);
/* Whether no message waits to be sent. */
int peer_flushed(struct daemon *d);

/* --- callers ---------------------------------------------------------- */

int http_waits_init(struct daemon *d);
int http_start(struct daemon *d);
/* Accepts no more connections. */
void http_quiesce(struct daemon *d);
void http_stop(struct daemon *d);
/* Requests that are being read, wait or are being answered. */
int http_active(struct daemon *d);
/* Hands KEYS, ANSWER or EDITED to the caller that waits for it. */
void http_execute(struct daemon *d, struct rp_action *act);
/* Finds callers that have disconnected; called by the tick thread. */
void http_wait_sweep(struct daemon *d);
/* Lets no more callers begin to wait; they are refused. */
void http_refuse_new(struct daemon *d);
int http_waiting(struct daemon *d);
/* After http_refuse_new(): tells all waiting callers that the process exits
 * now. */
void http_answer_all(struct daemon *d);

#endif
