#ifndef HTTP_H
#define HTTP_H

/* The HTTP server towards callers and operators; parts of http-*.c. */

#include <jansson.h>
#include <microhttpd.h>

#include "daemon.h"

#define HTTP_NEXT_KEYS 1 /* keys issued with an answer */

struct http_request;

/* One row of the route table. */
struct http_route {
	const char *method;
	const char *path;     /* a prefix when takes_name */
	int takes_name;	      /* the rest of the path is a name */
	const char *argument; /* the one query argument, or NULL */
	void (*handle)(struct http_request *r);
};

/* Progress of a request whose answer comes from the kernel. */
enum http_phase {
	HTTP_HANDLING,	/* the event is being delivered */
	HTTP_SUSPENDED, /* the connection waits */
	HTTP_REPLIED,	/* the reply is here */
};

enum http_reply_kind {
	HTTP_REPLY_NONE,
	HTTP_REPLY_ANSWER,
	HTTP_REPLY_KEYS,
	HTTP_REPLY_EDITED,
	HTTP_REPLY_GONE, /* the caller has disconnected */
};

/* One HTTP exchange with a caller. */
struct http_request {
	struct daemon *d;
	struct MHD_Connection *conn;
	const struct http_route *route;
	char name[RP_KEY_MAX]; /* from the path */
	char *body;
	size_t len, cap;
	rp_ms began;
	const char *strange_argument;
	const char *x_next; /* header X-Next of the response */
	int refused;	    /* HTTP status when refused while being read */
	int handled;
	int responded;

	/* For those whose answer comes from the kernel. */
	atomic_int phase;
	rp_token token;
	int next_keys; /* the answer should bring new keys */
	char key[RP_KEY_MAX];
	enum http_reply_kind reply_kind;
	struct rp_answer *answer;
	struct rp_status status;
	int nkeys;
	char (*keys)[RP_KEY_MAX];
	rp_ms expires_in;
	int64_t version;
	size_t nconflicts;
	struct rp_cell *conflicts;
};

/* --- http-wait.c: requests that wait for the kernel ------------------- */

/* Gives the request a token. Returns -1 when too many wait, or at a stop. */
int http_wait_add(struct http_request *r);
/* Takes the request out; NULL when the token is no longer known. */
struct http_request *http_wait_take(struct http_waits *w, rp_token token);
/* Suspends the connection. Returns 0 when the reply is already here. */
int http_wait_suspend(struct http_request *r);
/* Marks the reply as present and lets the connection go on. */
void http_wait_reply(struct http_request *r);

/* --- http-parse.c: JSON in -------------------------------------------- */

/*
 * Reads the body of a job (is_request 0) or of a request. Returns NULL when
 * a field is at fault; st then names it and *http is the HTTP status.
 */
struct rp_submission *http_parse_submission(const struct http_request *r,
					    const char *own_key, int is_request,
					    struct rp_status *st, int *http);

/* An edit of the table, as an operator sent it. */
struct http_edit {
	char edit_id[RP_NAME_MAX];
	int64_t base_version;
	size_t ncells;
	struct rp_cell *cells; /* owned */
};

int http_parse_edit(const struct http_request *r, struct http_edit *edit,
		    struct rp_status *st);

/* --- http-json.c: JSON out --------------------------------------------- */

/* Sends the JSON and drops the reference. */
void http_send_json(struct http_request *r, int http, json_t *root,
		    rp_ms retry_after);
void http_send_text(struct http_request *r, int http, const char *type,
		    const char *text, size_t len);
void http_send_status(struct http_request *r, int http,
		      const struct rp_status *st, rp_ms retry_after);
/* Sends a refusal with the HTTP status that goes with its code. */
void http_send_refusal(struct http_request *r, const struct rp_status *st,
		       rp_ms retry_after);
/* Sends an error that arose in the shell itself. */
void http_send_error(struct http_request *r, int http, enum rp_code code,
		     enum rp_step step, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));
/* Sends what the kernel replied. */
void http_send_reply(struct http_request *r);

/* Returns base64 text to be freed, or NULL when memory is out. */
char *http_base64(const char *data, size_t len);

/* --- http-route.c, http-submit.c, http-operate.c ----------------------- */

/* Finds the route; fills r->name. Returns 0, or an HTTP status. */
int http_find_route(struct http_request *r, const char *method,
		    const char *url);
/*
 * Reads the route's argument, a whole number; def when it is absent.
 * Returns -1 after sending an error.
 */
int http_query_number(struct http_request *r, int64_t def, int64_t min,
		      int64_t max, int64_t *out);
/* Refuses arguments that the route does not take. Returns 0 or -1. */
int http_check_arguments(struct http_request *r);
/* Delivers an event for a request that has a token, and waits. */
void http_deliver(struct http_request *r, struct rp_event *ev);

void http_handle_keys(struct http_request *r);
void http_handle_job(struct http_request *r);
void http_handle_request(struct http_request *r);
void http_handle_query(struct http_request *r);
void http_handle_cancel(struct http_request *r);
void http_handle_table(struct http_request *r);
void http_handle_edit(struct http_request *r);
void http_handle_draft(struct http_request *r);
void http_handle_status(struct http_request *r);
void http_handle_events(struct http_request *r);
void http_handle_metrics(struct http_request *r);
void http_handle_drain(struct http_request *r);
void http_handle_healthz(struct http_request *r);
void http_handle_readyz(struct http_request *r);

#endif
