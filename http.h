#ifndef HTTP_H
#define HTTP_H

/* The HTTP server for callers and operators: what the http-*.c files share. */

#include <jansson.h>
#include <microhttpd.h>

#include "daemon.h"

#define HTTP_NEXT_KEYS 1 /* new keys issued with each answer */

struct http_request;

/* A route: which function handles a method and path. */
struct http_route {
	const char *method;
	const char *path;     /* a prefix if a name follows */
	int has_name;	      /* a name follows the prefix */
	const char *argument; /* the allowed query argument, or NULL */
	void (*handle)(struct http_request *r);
};

/* Progress of a request that the kernel answers. */
enum http_phase {
	HTTP_HANDLING,	/* the kernel is handling the event */
	HTTP_SUSPENDED, /* the connection waits for the response */
	HTTP_READY,	/* the response can be sent */
};

/* Which action of the kernel the response is made from. */
enum http_response_kind {
	HTTP_RESPONSE_NONE, /* no action: the process exits */
	HTTP_RESPONSE_ANSWER,
	HTTP_RESPONSE_KEYS,
	HTTP_RESPONSE_EDITED,
	HTTP_RESPONSE_DISCONNECTED, /* no response: the caller has left */
};

/* A request of a caller or operator and its response. */
struct http_request {
	struct daemon *d;
	struct MHD_Connection *conn;
	const struct http_route *route;
	char name[RP_KEY_MAX]; /* name in the path, decoded; "" if none */
	struct conn *caller;   /* connection, which has the body */
	char *body;	       /* of the request, once it is complete */
	size_t len;
	size_t held; /* bytes of the response that are counted */
	rp_ms began_at;
	const char *unknown_argument; /* of the query; NULL if none */
	const char *x_next; /* header X-Next of the response, or NULL */
	int error_status;   /* HTTP status if rejected while read, else 0 */
	int is_long;	    /* its body is announced to be too long */
	int handled;	    /* the route's function has been called */
	int responded;	    /* a response has been queued */

	/* Used when the kernel answers the request. */
	atomic_int phase; /* an enum http_phase */
	rp_token token;
	int wants_next_keys;  /* the answer includes new keys */
	char key[RP_KEY_MAX]; /* of the submission; "" if none */
	enum http_response_kind response_kind;
	struct rp_answer *answer;
	struct rp_status status;
	int nkeys;
	char (*keys)[RP_KEY_MAX];
	rp_ms expires_in; /* lifetime of the keys */
	int64_t version;  /* of the table */
	size_t nconflicts;
	struct rp_cell *conflicts;
};

/* --- http-server.c ----------------------------------------------------- */

/* Closes connections until there are n bytes for the kind. Returns 0 or -1. */
int http_make_room(struct http_request *r, enum rp_hold kind, size_t n);

/* --- http-wait.c: requests that wait for the kernel ------------------- */

/*
 * Adds the request to those that wait and sets its token. Returns 0, or -1 when
 * too many wait or http_refuse_waits() was called.
 */
int http_wait_add(struct http_request *r);
/*
 * Removes the request that waits under the token. Returns NULL when there is
 * none.
 */
struct http_request *http_wait_remove(struct http_waits *waits, rp_token token);
/*
 * Suspends the connection and returns 1, or returns 0 when the response is
 * ready already.
 */
int http_wait_suspend(struct http_request *r);
/* Marks the response as ready and resumes the connection if suspended. */
void http_wait_complete(struct http_request *r);

/* --- http-parse.c: bodies of requests --------------------------------- */

/*
 * Parses the body of a request with one task (is_request 1) or of a job.
 * own_key is the key of the header Idempotency-Key, or NULL. Returns NULL on
 * errors; st then names the invalid field and *http_status is the HTTP status.
 */
struct rp_submission *http_parse_submission(const struct http_request *r,
					    const char *own_key, int is_request,
					    struct rp_status *st,
					    int *http_status);

/* An edit of the configuration table, as an operator sent it. */
struct http_edit {
	char edit_id[RP_NAME_MAX];
	int64_t base_version;
	size_t ncells;
	struct rp_cell *cells; /* owned */
};

/*
 * Parses the body of an edit. Returns 0, or -1 with st set. The caller frees
 * edit->cells in both cases.
 */
int http_parse_edit(const struct http_request *r, struct http_edit *edit,
		    struct rp_status *st);

/* --- http-json.c: responses -------------------------------------------- */

/*
 * Sends the JSON and drops the reference to it. retry_after is in milliseconds;
 * 0 sends none.
 */
void http_send_json(struct http_request *r, int http_status, json_t *root,
		    rp_ms retry_after);
/* Sends a copy of the text with the content type. */
void http_send_text(struct http_request *r, int http_status, const char *type,
		    const char *text, size_t len);
/* Sends a status as JSON with the HTTP status. */
void http_send_status(struct http_request *r, int http_status,
		      const struct rp_status *st, rp_ms retry_after);
/* Sends a status as JSON with the HTTP status that its code maps to. */
void http_send_refusal(struct http_request *r, const struct rp_status *st,
		       rp_ms retry_after);
/* Refuses a request that there is no room for; nothing was done. */
void http_send_full(struct http_request *r, const char *reason);
/* Sends an error that the daemon itself detected. */
void http_send_error(struct http_request *r, int http_status, enum rp_code code,
		     enum rp_step step, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));
/* Sends the response made from the kernel's action. */
void http_send_response(struct http_request *r);

/* Returns allocated base64 text, or NULL when out of memory. */
char *http_base64(const char *data, size_t len);

/* --- http-route.c, http-submit.c, http-operate.c ----------------------- */

/*
 * Sets r->route and r->name. Returns 0, or the HTTP status of the error: 404,
 * 405, or 400 when the name in the path is invalid.
 */
int http_find_route(struct http_request *r, const char *method,
		    const char *url);
/*
 * Parses the route's query argument as an integer from min to max; def is the
 * default. Returns 0, or -1 after sending an error.
 */
int http_query_number(struct http_request *r, int64_t def, int64_t min,
		      int64_t max, int64_t *out);
/*
 * Checks that the query has no argument that the route does not allow. Returns
 * 0, or -1 after sending an error.
 */
int http_check_arguments(struct http_request *r);
/*
 * Passes the event to the kernel with a new token, and suspends the request
 * until the kernel answers. Sends an error when too many requests wait.
 */
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
