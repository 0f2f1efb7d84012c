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

/* A callback at a point in time; embedded in what it concerns. */
struct fake_timer {
	int64_t due_us;
	void (*fire)(struct fake_timer *t);
};

/* A thread that fires timers, kept in a binary heap by due time. */
struct fake_timers {
	apr_thread_mutex_t *lock;
	apr_thread_cond_t *wake;
	apr_thread_t *thread;
	struct fake_timer **heap;
	size_t len, cap;
	int stopping;
};

int64_t fake_now_us(void);
int64_t fake_now_ms(void);
void fake_timers_init(struct fake_timers *ts, apr_pool_t *pool);
/* Fires t->fire on the timer thread once delay_us has passed. */
void fake_timers_add(struct fake_timers *ts, struct fake_timer *t,
		     int64_t delay_us);
/* Stops the thread; timers that are not due yet never fire. */
void fake_timers_finish(struct fake_timers *ts);

/* A rate that a service holds; what exceeds it has to wait. */
struct fake_pace {
	int64_t per_second; /* 0: no limit */
	int64_t next_us;    /* when the next unit may be served */
};

/* Takes n units; returns for how long they have to wait, in us. */
int64_t fake_pace_take(struct fake_pace *p, int64_t n);

/* --- server ----------------------------------------------------------- */

struct fake_server;

/* An accepted connection; its serial grows with every connection. */
struct fake_conn {
	struct fake_server *srv;
	size_t port; /* index of the port, from 0 */
	uint64_t serial;
	int refused; /* closed without an answer */
};

/* What a handler wants done with a request. */
enum fake_verdict {
	FAKE_REPLY, /* send r->reply */
	FAKE_WAIT,  /* the handler has called fake_request_suspend() */
	FAKE_DROP,  /* close the connection without an answer */
};

/* An HTTP answer; the body is freed after it was sent. */
struct fake_reply {
	unsigned int status;
	const char *header_name; /* NULL: none */
	const char *header_value;
	char *body;
	size_t len;
};

struct fake_request {
	struct fake_conn *conn;
	struct MHD_Connection *mhd;
	const char *method;
	const char *path;
	char *body;
	size_t len, cap;
	struct fake_reply reply;
	struct fake_timer timer;
	void *data; /* the handler's own */
	int resumed;
	/* links in the server's list of suspended requests */
	int suspended;
	struct fake_request *next, *prev;
};

/* What the program does with requests and connections. */
struct fake_server_ops {
	/* Called when a request is whole, and again after a resume. */
	enum fake_verdict (*handle)(struct fake_request *r);
	/* Returns 0 to close the new connection; may be NULL. */
	int (*conn_opened)(struct fake_conn *c);
	void (*conn_closed)(struct fake_conn *c);
};

#define FAKE_PORTS_MAX 4096
#define FAKE_THREADS_MAX 32

struct fake_server {
	const struct fake_server_ops *ops;
	void *owner;
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	apr_thread_t *acceptor;
	struct MHD_Daemon *daemons[FAKE_THREADS_MAX];
	size_t ndaemons;
	int *listeners;
	size_t nports;
	int first_port;
	int epoll;
	int stop_pipe[2];
	uint64_t serial;
	atomic_int stopping;
	struct fake_request *suspended;
	struct fake_timers timers;
};

/*
 * Listens on nports consecutive ports from "ip:port" on and prints a JSON
 * line when ready. Returns 0, or -1 after a message on stderr. The caller
 * has set ops, owner and pool, and zeroed the rest.
 */
int fake_server_start(struct fake_server *srv, const char *listen_at,
		      size_t nports, size_t threads);
/* Blocks until SIGINT or SIGTERM, then closes everything. */
void fake_server_run(struct fake_server *srv);

/* Call it before anything that may resume the request. */
void fake_request_suspend(struct fake_request *r);
void fake_request_resume(struct fake_request *r);
/* The value of a query argument or a header, or NULL. */
const char *fake_request_arg(struct fake_request *r, const char *name);
const char *fake_request_header(struct fake_request *r, const char *name);

/* --- replies ---------------------------------------------------------- */

/* Each of these fills r->reply and returns FAKE_REPLY. */
enum fake_verdict fake_reply_text(struct fake_request *r, unsigned int status,
				  const char *text);
/* Takes over the JSON value. */
enum fake_verdict fake_reply_json(struct fake_request *r, unsigned int status,
				  json_t *value);
enum fake_verdict fake_reply_error(struct fake_request *r, unsigned int status,
				   const char *message);
/* Takes over a body made by malloc(). */
enum fake_verdict fake_reply_body(struct fake_request *r, unsigned int status,
				  char *body, size_t len);

/* Sets *to when the object has the field; a wrong type is ignored. */
void fake_json_int(json_t *o, const char *name, int64_t *to);
void fake_json_number(json_t *o, const char *name, double *to);
void fake_json_bool(json_t *o, const char *name, int *to);

#endif
