#ifndef FAKE_H
#define FAKE_H

/*
 * Shared parts of the stand-ins: an HTTP server on one or several ports, a
 * timer thread, and helpers for JSON bodies.
 */

#include <apr_pools.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

/* --- timers ----------------------------------------------------------- */

/* A one-shot timer, embedded in the struct that its callback acts on. */
struct fake_timer {
	int64_t due_us;
	void (*fire)(struct fake_timer *t);
};

/* A thread that fires timers; they are in a binary heap by due time. */
struct fake_timers {
	apr_thread_mutex_t *lock;
	apr_thread_cond_t *wake;
	apr_thread_t *thread;
	struct fake_timer **heap;
	size_t len, cap;
	int stopping;
};

/* Wall-clock time since the Unix epoch, in us and in ms. */
int64_t fake_now_us(void);
int64_t fake_now_ms(void);
/* Starts the timer thread. */
void fake_timers_init(struct fake_timers *ts, apr_pool_t *pool);
/* Calls t->fire on the timer thread after delay_us. */
void fake_timers_add(struct fake_timers *ts, struct fake_timer *t,
		     int64_t delay_us);
/* Stops the thread. Pending timers never fire. */
void fake_timers_finish(struct fake_timers *ts);

/* A rate limit; calls above the rate are delayed, not refused. */
struct fake_rate_limit {
	int64_t per_second;   /* 0: no limit */
	int64_t next_free_us; /* when the next unit may be served */
};

/* Reserves n units; returns how long the call has to be delayed, in us. */
int64_t fake_rate_limit_reserve(struct fake_rate_limit *limit, int64_t n);

/* --- server ----------------------------------------------------------- */

struct fake_server;

/* An accepted connection. */
struct fake_conn {
	struct fake_server *srv;
	size_t port;	 /* index of the port, from 0 */
	uint64_t serial; /* increases with each connection, from 1 */
	int refused;	 /* the server closes it without an answer */
};

/* What the server does with a request after its handler returns. */
enum fake_action {
	FAKE_REPLY,	/* send r->reply */
	FAKE_SUSPENDED, /* the handler has called fake_request_suspend() */
	FAKE_DROP,	/* close the connection without an answer */
};

/* An HTTP response. The server frees the body after sending it. */
struct fake_reply {
	unsigned int status;
	const char *header_name; /* NULL: none */
	const char *header_value;
	char *body;
	size_t len;
};

/* An HTTP request, from its headers until its response is complete. */
struct fake_request {
	struct fake_conn *conn;
	struct MHD_Connection *mhd;
	const char *method;
	const char *path;
	char *body; /* NUL-terminated; NULL while empty */
	size_t len, cap;
	struct fake_reply reply;
	struct fake_timer timer;
	void *data;  /* for the handler's use */
	int resumed; /* it was suspended before */
	int suspended;
	/* links of the server's list of suspended requests */
	struct fake_request *next, *prev;
};

/* Callbacks of the program that runs the server. */
struct fake_server_ops {
	/* Called when the body is complete, and again after a resume. */
	enum fake_action (*handle)(struct fake_request *r);
	/* Returns 0 to refuse the new connection; may be NULL. */
	int (*conn_opened)(struct fake_conn *c);
	/* May be NULL. */
	void (*conn_closed)(struct fake_conn *c);
};

#define FAKE_PORTS_MAX 4096
#define FAKE_THREADS_MAX 32

struct fake_server {
	const struct fake_server_ops *ops;
	void *user_data; /* state of the program, for its callbacks */
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	apr_thread_t *acceptor;
	struct MHD_Daemon *daemons[FAKE_THREADS_MAX];
	size_t ndaemons;
	int *listeners;
	size_t nports;
	int first_port;
	int epoll;
	int stop_pipe[2]; /* written to end the accepting thread */
	uint64_t serial;  /* of the newest connection */
	atomic_int stopping;
	struct fake_request *suspended;
	struct fake_timers timers;
};

/*
 * Listens on nports consecutive ports, starting at "ip:port", and prints a
 * JSON line when ready. Returns 0, or -1 on failure; most failures print a
 * message on stderr. The caller sets ops, owner and pool and zeroes the rest.
 */
int fake_server_start(struct fake_server *srv, const char *listen_at,
		      size_t nports, size_t threads);
/* Serves until SIGINT or SIGTERM, then closes all connections. */
void fake_server_run(struct fake_server *srv);

/* Suspends the request. Call it before starting what may resume it. */
void fake_request_suspend(struct fake_request *r);
/* Resumes a suspended request, whose handler is then called again. */
void fake_request_resume(struct fake_request *r);
/* The value of a query argument or a header; NULL when it is absent. */
const char *fake_request_arg(struct fake_request *r, const char *name);
const char *fake_request_header(struct fake_request *r, const char *name);

/* --- replies ---------------------------------------------------------- */

/* Each of these fills r->reply and returns FAKE_REPLY. */
enum fake_action fake_reply_text(struct fake_request *r, unsigned int status,
				 const char *text);
/* Steals the reference to the JSON value. */
enum fake_action fake_reply_json(struct fake_request *r, unsigned int status,
				 json_t *value);
/* Replies with a JSON object that holds the message. */
enum fake_action fake_reply_error(struct fake_request *r, unsigned int status,
				  const char *message);
/* Takes ownership of the body, which must come from malloc(). */
enum fake_action fake_reply_body(struct fake_request *r, unsigned int status,
				 char *body, size_t len);

/* Sets *to when the object has the field with the right type. */
void fake_json_int(json_t *o, const char *name, int64_t *to);
void fake_json_number(json_t *o, const char *name, double *to);
void fake_json_bool(json_t *o, const char *name, int *to);

#endif
