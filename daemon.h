#ifndef DAEMON_H
#define DAEMON_H

/*
 * Internal interface of rosemaryd, the daemon that does the I/O of the kernel
 * of librosemary. The kernel itself opens no socket and starts no thread.
 *
 * Every thread passes events to the kernel with daemon_handle_event(), which
 * then executes the actions that the kernel returns: http-wait.c answers
 * callers, daemon-target.c calls targets, daemon-platform.c calls the
 * platform, and daemon-peer-out.c sends messages to other entry VMs. Code that
 * executes an action must not call daemon_handle_event().
 */

#include <apr_poll.h>
#include <apr_pools.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <curl/curl.h>
#include <pthread.h>
#include <stdatomic.h>

#include "conn.h"
#include "rosemary.h"
#include "setting.h"
#include "log.h"

/* Counters of the daemon; the kernel has its own. */
enum daemon_counter {
	COUNT_HTTP_REQUESTS,
	COUNT_HTTP_BAD_INPUT,
	COUNT_HTTP_TOO_MANY_REQUESTS,
	COUNT_HTTP_BYTES_IN,
	COUNT_HTTP_BYTES_OUT,
	COUNT_CALLERS_DISCONNECTED,
	COUNT_TARGET_STARTS,
	COUNT_TARGET_LOOKUPS,
	COUNT_TARGET_VOIDS,
	COUNT_TARGET_STOPS,
	COUNT_TARGET_UNSENT,
	COUNT_TARGET_UNKNOWN,
	COUNT_RESENDS_PREVENTED,
	COUNT_TARGET_CONNECTIONS_DROPPED,
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
	COUNT_PEER_MESSAGES_DROPPED,
	COUNT_PEER_CONNECTS,
	COUNT_PEER_LINKS_DOWN,
	COUNT_NCOUNTERS,
};

void counter_add(enum daemon_counter counter, uint64_t n);
/* Writes all counters as metrics, one per line. */
void counter_write_all(struct rp_writer *w);

struct http_server;
struct http_waits;
struct target_client;
struct platform_client;
struct peer_transport;

/* --- daemon-limit.c: memory and descriptors of the machine --------------- */

/* The settings, as far as the machine has room for them. */
struct daemon_limits {
	size_t callers;	    /* connections */
	size_t target_idle; /* connections, per thread */
	size_t peers;	    /* inbound connections */
	size_t peer_queue;  /* bytes queued for one entry VM */
};

struct daemon;
void daemon_limits_init(struct daemon *d);
/* Reduces the kernel's limits to what the machine has memory for. */
void daemon_limit_kernel(const struct daemon *d, struct rp_options *opt);

struct daemon {
	const struct settings *settings;
	apr_pool_t *pool;
	struct rp_kernel *kernel;
	struct daemon_limits limits;
	struct rp_budget budget; /* for what callers make this process hold */
	size_t held_peak;	 /* bytes, since memory was last returned */
	struct http_server *http;
	struct http_waits *waits;
	struct target_client *targets;
	struct platform_client *platform;
	struct peer_transport *peers;
	apr_thread_t *tick_thread;
	atomic_int stopping; /* set to make the tick thread return */
	atomic_int draining; /* a planned stop has begun */
	atomic_int drained;  /* the kernel has finished all its work */
};

/* Returns the monotonic time in milliseconds. */
rp_ms daemon_now(void);

/* Passes an event to the kernel and executes the actions that it returns. */
void daemon_handle_event(struct daemon *d, const struct rp_event *ev);

/* Executes all actions of the list and clears it. */
void daemon_execute_actions(struct daemon *d, struct rp_actions *actions);

/* Begins a planned stop. Calls after the first do nothing. */
void daemon_drain(struct daemon *d);

/*
 * Starts the kernel and all threads. Returns 0, or -1 when one of them did not
 * start; call daemon_stop() in either case.
 */
int daemon_start(struct daemon *d, const struct settings *settings);
/* Stops all threads and frees the kernel, also after a partial start. */
void daemon_stop(struct daemon *d);

/* Sets the name of the calling thread, as debuggers and ps show it. */
void daemon_name_thread(const char *name);

/* Starts a thread. Returns NULL, and logs an error, when that failed. */
apr_thread_t *daemon_create_thread(struct daemon *d,
				   apr_thread_start_t main_func, void *arg);

/* --- event loops for HTTP calls -------------------------------------- */

struct loop_call;

/* Callbacks for one type of call, all run in the thread of the loop. */
struct loop_call_ops {
	/* Sets the curl options of the request. */
	void (*prepare)(struct loop_call *c);
	/* Handles the response; status is 0 when there is none. */
	void (*finish)(struct loop_call *c, CURLcode rc, long status);
	/* Frees the call and its body. */
	void (*free)(struct loop_call *c);
};

/* An HTTP request and its response. Must be the first member of a call. */
struct loop_call {
	const struct loop_call_ops *ops;
	struct loop_call *next;	 /* in the queue or in the running list */
	struct loop_call **prev; /* link to this call in the running list */
	struct loop *loop;
	CURL *easy;
	const char *address; /* ip:port, borrowed from the enclosing call */
	int resend_ok;	     /* curl may resend it on another connection */
	int attempts;	     /* times that curl was about to send it */
	int do_not_send;     /* set before queueing: fails without being sent */
	int aborted;	     /* by loop_abort_call() */
	int unsent;	     /* valid in finish: no byte was written */
	int body_too_long;   /* the response body exceeded max_body */
	size_t header_len;   /* bytes of the response header so far */
	size_t max_body;     /* bytes */
	char *body;	     /* response body; NULL when empty */
	size_t len, cap;     /* of body */
};

/* A thread that runs many HTTP calls concurrently. */
struct loop {
	struct daemon *d;
	void *user; /* for the callbacks */
	CURLM *multi;
	apr_thread_t *thread;
	apr_thread_mutex_t *lock;
	/* Calls that have not been started; guarded by lock. */
	struct loop_call *queue_head, **queue_tail;
	atomic_int sleeping; /* loop_queue_call() must wake the thread */
	atomic_int stopping;

	/* The fields from here on are used only by the loop's thread. */
	struct loop_call *running;
	int has_connections; /* curl may hold idle connections */
	rp_ms last_call_ended_at;
	CURL **spare; /* easy handles for reuse */
	size_t nspare, max_spare;

	/* Used by daemon-poll.c. */
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	apr_time_t timer_at; /* when curl's timer expires; 0 if unset */
	struct loop_socket *free_sockets; /* for reuse */

	struct loop_host *suspect_hosts; /* used by daemon-host.c */
};

/* Creates the poll set. Returns 0 or -1. */
int loop_poll_init(struct loop *l);
/* Makes a curl handle report its sockets and timer to the loop. */
void loop_poll_attach(struct loop *l, CURLM *multi);
/*
 * Handles ready sockets and expired timers. If may_sleep, waits for one of them
 * or for loop_poll_wake(), for at most a second.
 */
void loop_poll(struct loop *l, int may_sleep);
/* Ends the wait in loop_poll(); may be called from any thread. */
void loop_poll_wake(struct loop *l);

/*
 * Starts the loop's thread. max_idle bounds its idle connections and its unused
 * easy handles. Returns 0 or -1.
 */
int loop_init(struct loop *l, struct daemon *d, void *user, int max_idle);
/* Stops the thread. Calls that have not ended are freed without finish. */
void loop_finish(struct loop *l);
/* Queues a call, which the loop then owns; may be called from any thread. */
void loop_queue_call(struct loop *l, struct loop_call *c);
/*
 * Ends a running call and closes its connection. May be called only from the
 * loop's thread.
 */
void loop_abort_call(struct loop_call *c);

/*
 * Returns whether calls to address must open a new connection, because one of
 * the open connections to it stopped responding.
 */
int loop_host_is_suspect(struct loop *l, const char *address);
/* Makes loop_host_is_suspect() true until open connections have aged out. */
void loop_host_mark_suspect(struct loop *l, const char *address);
void loop_hosts_finish(struct loop *l);

/* --- targets, platform, peers ---------------------------------------- */

/* Each start function returns 0, or -1 when a resource is not available. */

int target_start(struct daemon *d);
void target_stop(struct daemon *d);
/* Calls the target of a START, LOOKUP, VOID or STOP; owns its submission. */
void target_execute(struct daemon *d, struct rp_action *act);

int platform_start(struct daemon *d);
void platform_stop(struct daemon *d);
/* Calls the platform; fails without sending beyond platform_calls in flight. */
void platform_execute(struct daemon *d, struct rp_action *act);

/* Starts the thread that serves the connections between entry VMs. */
int peer_start(struct daemon *d);
void peer_stop(struct daemon *d);
/* Queues the message of the action, which it then owns, or resets the link. */
void peer_execute(struct daemon *d, struct rp_action *act);
/* Returns whether no message is queued for any entry VM. */
int peer_queues_empty(struct daemon *d);

/* --- callers ---------------------------------------------------------- */

/* Allocates the slots of waiting requests. Returns 0 or -1. */
int http_waits_init(struct daemon *d);
/* Starts the HTTP server. Returns 0 or -1. */
int http_start(struct daemon *d);
/* Stops accepting connections; open ones are still served. */
void http_stop_accepting(struct daemon *d);
void http_stop(struct daemon *d);
/* Returns the number of requests that have not been completed. */
int http_count_active(struct daemon *d);
/* Passes the data of KEYS, ANSWER or EDITED to the request that waits. */
void http_execute(struct daemon *d, struct rp_action *act);
/* Logs limits on callers that were reached since the last call. */
void http_log_limits(struct daemon *d);
/* Writes the limits as metrics. */
void http_write_limits(struct daemon *d, struct rp_writer *w);
/* Ends waits of callers that have disconnected; called by the tick thread. */
void http_wait_check_disconnects(struct daemon *d);
/* Makes http_wait_add() fail from now on, so that new calls are refused. */
void http_refuse_waits(struct daemon *d);
/* Returns the number of requests that wait for the kernel. */
int http_waiting(struct daemon *d);
/*
 * Answers all waiting callers that the process exits before the outcome is
 * known. Call http_refuse_waits() first.
 */
void http_answer_all_waiting(struct daemon *d);

#endif
