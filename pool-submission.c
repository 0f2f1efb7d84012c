/* Submissions of callers: which jobs are taken. */

#include "pool-request.h"
#include "platform/platform.h"

#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>

#define UNSUPPORTED_RETRY_S 3600 /* for kinds of job that are not served */
/* Bytes, beside its lists, of a job and of what is allocated for it. */
#define JOB_BYTES 1024
#define STEP_BYTES 256
/*
 * Each start of a task carries the specification, which the platform limits to
 * 4000 bytes.
 */
#define SPECIFICATION_MAX 16384

/*
 * The caller has closed the connection. libmicrohttpd does not notice, as it
 * does not poll a suspended connection.
 */
static void on_caller_closed(struct pool_fd *f, uint32_t events)
{
	struct pool_request *r = (struct pool_request *)f;

	(void)events;
	pool_fd_unwatch(r->p, f);
	pool_request_caller_closed(r);
}

static void watch_caller(struct pool_request *r)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);

	if (!info)
		return;
	r->fd.fd = info->connect_fd;
	r->fd.on_event = on_caller_closed;
	pool_fd_watch(r->p, &r->fd, EPOLLRDHUP | EPOLLHUP | EPOLLERR);
}

void pool_request_fill_submit(struct pool_request *r,
			      const struct pool_route *route, const char *id)
{
	PoolSubmit *sub = r->submit;

	sub->seq = r->seq;
	sub->queue = strdup(route->name);
	sub->service = strdup(route->service);
	sub->id = strdup(id);
	sub->priority = route->priority;
	sub->max_attempts = route->max_attempts;
	sub->stretch = route->stretch;
	sub->objective_ms = (uint32_t)route->objective;
}

static void open_job(struct pool_request *r, const struct pool_route *route,
		     const char *id)
{
	struct pool *p = r->p;

	r->seq = ++p->next_seq;
	pool_request_fill_submit(r, route, id);
	apr_hash_set(p->requests, &r->seq, sizeof(r->seq), r);
	p->nopen++;
	r->suspended = 1;
	watch_caller(r);
	MHD_suspend_connection(r->conn);
	pool_request_submit(r);
}

/* Bytes that this VM keeps of the job while its caller waits. */
static size_t job_memory(const PoolSubmit *sub)
{
	size_t i, ntasks = 0;

	for (i = 0; i < sub->n_steps; i++)
		ntasks += sub->steps[i]->tasks;
	/* A list of the tasks that are done is enlarged by doubling. */
	return JOB_BYTES + pool_submit__get_packed_size(sub) +
	       sub->n_steps * STEP_BYTES + 2 * ntasks * sizeof(*sub->done);
}

/* Returns 0 if there is no memory for the job on this VM. */
static int has_memory(struct pool_request *r)
{
	struct pool *p = r->p;
	size_t n = job_memory(r->submit);

	if (conn_make_room(r->caller->table, RP_HOLD_JOBS, n) < 0 ||
	    budget_take(&p->budget, RP_HOLD_JOBS, n) < 0)
		return 0;
	r->held = n;
	return 1;
}

static void refuse(struct pool_request *r, unsigned status, const char *body,
		   unsigned retry_after_s, const char *reason)
{
	if (status == 503)
		r->p->count.rejected++;
	else
		r->p->count.bad++;
	pool_request_respond(r, status, body, retry_after_s);
	pool_request_log_rejected(r, reason);
}

void pool_submission_begin(struct pool_request *r,
			   const struct pool_route *route, const char *id)
{
	char error[PLATFORM_ERROR_MAX];
	int supported = 0;

	r->submit = platform_parse_job(r->caller->body, r->caller->len,
				       &supported, error);
	conn_free_body(r->caller);
	if (!r->submit || strlen(id) >= SCHED_ID_MAX) {
		refuse(r, 400, "{\"error\":\"malformed job\"}", 0,
		       r->submit ? "id too long" : error);
	} else if (!supported || route->advised) {
		refuse(r, 503, "{\"error\":\"kind of job not served\"}",
		       UNSUPPORTED_RETRY_S, "kind of job not served");
	} else if (r->submit->specification.len > SPECIFICATION_MAX) {
		refuse(r, 413, "{\"error\":\"specification too long\"}", 0,
		       "specification too long");
	} else if (pool_submit__get_packed_size(r->submit) > POOL_SUBMIT_MAX) {
		refuse(r, 413, "{\"error\":\"job too large\"}", 0,
		       "job too large");
	} else if (!r->submit->stored && !pool_leader_expected(r->p)) {
		refuse(r, 503, "{\"error\":\"no leader\"}",
		       DEFAULT_RETRY_AFTER_S, "no leader");
	} else if (!has_memory(r)) {
		r->p->count.no_memory++;
		refuse(r, 503, "{\"error\":\"out of memory\"}",
		       DEFAULT_RETRY_AFTER_S, "no memory for the job");
	} else if (r->submit->stored) {
		pool_request_fill_submit(r, route, id);
		if (pool_stored_has_room(r->p))
			pool_job_submit(r);
		else
			pool_job_submit_known(r);
	} else {
		open_job(r, route, id);
	}
}
