/*
 * Callers' requests on the entry VM that received them.
 *
 * A job that is not stored is kept here until it is answered. It is submitted
 * to the leader again whenever the leader or the link to it changes; the
 * sequence number identifies a repeated submission.
 */

#include "pool-request.h"
#include "platform/platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_MARGIN_MS 20 /* for an answer in flight at the deadline */

struct pool_request *pool_request_new(struct pool *p, const char *method,
				      const char *path)
{
	struct pool_request *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->p = p;
	r->received_at = p->now;
	r->fd.fd = -1;
	str_copy(r->method, sizeof(r->method), str_of(method));
	str_copy(r->path, sizeof(r->path), str_of(path));
	r->max_body = p->routes ? p->routes->max_body : 1u << 20;
	p->count.requests++;
	return r;
}

static void close_job(struct pool_request *r)
{
	if (!r->seq)
		return;
	apr_hash_set(r->p->requests, &r->seq, sizeof(r->seq), NULL);
	r->seq = 0;
	r->p->nopen--;
}

void pool_request_free(struct pool_request *r)
{
	pool_fd_unwatch(r->p, &r->fd);
	pool_request_forget_awaiting(r);
	pool_request_forget_count(r);
	close_job(r);
	if (r->submit)
		pool_submit__free_unpacked(r->submit, NULL);
	pool_hold(r->p, RP_HOLD_JOBS, -(long)r->held);
	free(r->done_tasks);
	pool_progress__free_unpacked(r->lost, NULL);
	pool_request_free_domains(r);
	pool_defer_free(r->p, r);
}

void pool_request_respond(struct pool_request *r, unsigned status,
			  const char *body, unsigned retry_after_s)
{
	r->response.status = status;
	r->response.body = body;
	r->response.retry_after_s = retry_after_s;
}

void pool_request_log_rejected(const struct pool_request *r, const char *reason)
{
	pool_cause_add(r->p, "rejected", reason, r->p->now - r->received_at);
	LOG_EVENT(LOG_LEVEL_INFO, "request_rejected", LOG_TEXT("path", r->path),
		  LOG_TEXT("id", r->submit ? r->submit->id : ""),
		  LOG_TEXT("why", reason),
		  LOG_NUMBER("status", r->response.status),
		  LOG_NUMBER("routes_version",
			     r->p->routes ? r->p->routes->version : 0),
		  LOG_NUMBER("leader_heard_ms_ago",
			     r->p->now - r->p->lead.heartbeat_at));
}

/* --- jobs ------------------------------------------------------------ */

void pool_request_submit(struct pool_request *r)
{
	struct pool *p = r->p;
	uint64_t fence = p->lead.row.fence;
	ProtobufCBinaryData specification = r->submit->specification;

	if (!pool_can_submit(p))
		return; /* pool_requests_resubmit() submits it later */
	/*
	 * A leader that it was sent to before has not started tasks if this VM
	 * keeps the specification and was asked for no start; its link is
	 * closed, so none can be asked for any more.
	 */
	r->submit->former = r->started_fence;
	r->submit->age_ms = (uint32_t)(p->now - r->received_at);
	r->submit->left_ms =
		r->deadline > p->now ? (uint32_t)(r->deadline - p->now) : 0;
	r->submit->done = r->done_tasks;
	r->submit->n_done = r->ndone_tasks;
	if (r->lost) {
		r->submit->losses = r->lost->losses;
		r->submit->n_losses = r->lost->n_losses;
	}
	r->submit->domains = r->domains;
	r->submit->n_domains = r->ndomains;
	pool_owner_keep_specification(p, r->submit);
	pool_request_presume_domains(r, fence);
	r->sent_fence = fence;
	if (!r->submit->specification_hash && !p->leading)
		pool_request_may_be_started(r);
	pool_send_submit(p, r->submit);
	/* If the answer has come during the call, r is still allocated. */
	r->submit->specification = specification;
	r->submit->done = NULL;
	r->submit->losses = NULL;
	r->submit->domains = NULL;
	r->submit->n_done = r->submit->n_losses = r->submit->n_domains = 0;
}

static struct pool_request *find_job(struct pool *p, const char *id)
{
	apr_hash_index_t *i;
	void *value;

	for (i = apr_hash_first(NULL, p->requests); i; i = apr_hash_next(i)) {
		struct pool_request *r;

		apr_hash_this(i, NULL, NULL, &value);
		r = value;
		if (!strcmp(r->submit->id, id))
			return r;
	}
	return NULL;
}

static void answer_job(struct pool_request *r, unsigned status,
		       const char *body, unsigned retry_after_s)
{
	struct pool *p = r->p;

	pool_histogram_add(&p->count.latency, p->now - r->received_at);
	p->count.answered++;
	pool_request_respond(r, status, body, retry_after_s);
	pool_fd_unwatch(p, &r->fd);
	close_job(r);
	if (r->suspended) {
		r->suspended = 0;
		pool_serve_resume(p, r->conn);
	}
}

static void log_answer(const struct pool_request *r, const char *outcome,
		       const char *reason)
{
	pool_cause_add(r->p, outcome, reason, r->p->now - r->received_at);
	LOG_EVENT(LOG_LEVEL_INFO, "answered", LOG_TEXT("id", r->submit->id),
		  LOG_TEXT("queue", r->submit->queue),
		  LOG_TEXT("outcome", outcome), LOG_TEXT("why", reason),
		  LOG_NUMBER("age_ms", r->p->now - r->received_at),
		  LOG_NUMBER("fence", (long long)r->sent_fence),
		  LOG_NUMBER("done", (long long)r->ndone_tasks));
}

const char *pool_outcome_name(PoolAnswer__Outcome outcome)
{
	switch (outcome) {
	case POOL_ANSWER__OUTCOME__COMPLETED:
		return "completed";
	case POOL_ANSWER__OUTCOME__FAILED:
		return "failed";
	case POOL_ANSWER__OUTCOME__INCOMPLETE:
		return "incomplete";
	case POOL_ANSWER__OUTCOME__CANCELLED:
		return "cancelled";
	default:
		return "rejected";
	}
}

void pool_request_answer_received(struct pool *p, const PoolAnswer *answer)
{
	struct pool_request *r =
		apr_hash_get(p->requests, &answer->seq, sizeof(answer->seq));
	unsigned retry_after_s = (answer->retry_after_ms + 999) / 1000;
	int rejected = answer->outcome == POOL_ANSWER__OUTCOME__REJECTED;

	if (!r)
		return;
	if (rejected)
		p->count.rejected++;
	log_answer(r, pool_outcome_name(answer->outcome), answer->reason);
	answer_job(r, platform_outcome_status(answer->outcome),
		   platform_outcome_body(answer->outcome),
		   rejected ? (retry_after_s ? retry_after_s
					     : DEFAULT_RETRY_AFTER_S)
			    : 0);
}

static PoolProgress *copy_progress(const PoolProgress *progress)
{
	size_t len = pool_progress__get_packed_size(progress);
	uint8_t *packed = malloc(len + 1);
	PoolProgress *copy;

	pool_progress__pack(progress, packed);
	copy = pool_progress__unpack(NULL, len, packed);
	free(packed);
	return copy;
}

void pool_request_progress_received(struct pool *p,
				    const PoolProgress *progress)
{
	struct pool_request *r = apr_hash_get(p->requests, &progress->seq,
					      sizeof(progress->seq));
	size_t i;

	if (!r)
		return;
	if (progress->lost) {
		pool_progress__free_unpacked(r->lost, NULL);
		r->lost = copy_progress(progress);
	}
	pool_request_domains_told(r, progress);
	for (i = 0; i < progress->n_done; i++) {
		if (r->ndone_tasks == r->cap_done_tasks) {
			r->cap_done_tasks = r->cap_done_tasks * 2 + 8;
			r->done_tasks = realloc(r->done_tasks,
						r->cap_done_tasks *
							sizeof(*r->done_tasks));
		}
		r->done_tasks[r->ndone_tasks++] = progress->done[i];
	}
}

void pool_request_caller_closed(struct pool_request *r)
{
	pool_job_caller_closed(r);
	if (!r->seq)
		return;
	r->p->count.callers_gone++;
	log_answer(r, "cancelled", "the caller closed the connection");
	pool_send_cancel(r->p, r->seq);
	answer_job(r, 503, "{\"error\":\"cancelled\"}", 0);
}

struct pool_request *pool_request_find(struct pool *p, uint64_t seq)
{
	return apr_hash_get(p->requests, &seq, sizeof(seq));
}

/* Copies the list of open requests, as submitting one may close it. */
static struct pool_request **list_open_requests(struct pool *p, size_t *n)
{
	struct pool_request **all =
		malloc((apr_hash_count(p->requests) + 1) * sizeof(*all));
	apr_hash_index_t *i;
	void *value;

	*n = 0;
	for (i = apr_hash_first(NULL, p->requests); i; i = apr_hash_next(i)) {
		apr_hash_this(i, NULL, NULL, &value);
		all[(*n)++] = value;
	}
	return all;
}

void pool_requests_resubmit(struct pool *p)
{
	size_t n, i;
	struct pool_request **all = list_open_requests(p, &n);

	for (i = 0; i < n; i++)
		if (all[i]->seq)
			pool_request_submit(all[i]);
	free(all);
	pool_cancels_resend(p);
}

/*
 * A job that no leader could start is rejected, also if it was sent to one:
 * this VM passes on no start of a job that it has closed.
 */
static void abort_job(struct pool_request *r, const char *reason)
{
	PoolAnswer__Outcome outcome = POOL_ANSWER__OUTCOME__REJECTED;

	if (r->p->leading)
		pool_requests_note_own_starts(r->p);
	if (r->started_fence)
		outcome = POOL_ANSWER__OUTCOME__INCOMPLETE;
	else
		r->p->count.rejected++;
	pool_send_cancel(r->p, r->seq);
	log_answer(r, pool_outcome_name(outcome), reason);
	answer_job(r, platform_outcome_status(outcome),
		   platform_outcome_body(outcome),
		   r->started_fence ? 0 : DEFAULT_RETRY_AFTER_S);
}

static void expire_job(struct pool_request *r)
{
	abort_job(r, r->sent_fence ? "no answer from the leader" : "no leader");
}

void pool_requests_abort(struct pool *p)
{
	size_t n, i;
	struct pool_request **all = list_open_requests(p, &n);

	for (i = 0; i < n; i++)
		if (all[i]->seq)
			abort_job(all[i], "this VM is stopping");
	free(all);
}

void pool_requests_tick(struct pool *p, rp_ms now)
{
	struct pool_request **all;
	size_t n, i;

	if (!p->nopen)
		return;
	all = list_open_requests(p, &n);
	for (i = 0; i < n; i++) {
		struct pool_request *r = all[i];

		if (!r->seq)
			continue;
		if (now >= r->deadline + ANSWER_MARGIN_MS ||
		    (!r->sent_fence && !pool_leader_expected(p)))
			expire_job(r);
	}
	free(all);
}

/* --- other requests -------------------------------------------------- */

static void respond_waiting(struct pool_request *r,
			    const struct pool_route *route)
{
	unsigned jobs;
	enum pool_count count = pool_waiting_jobs(r->p, route->name, &jobs);

	if (count == POOL_COUNT_TO_ASK &&
	    pool_request_await_count(r, route->name))
		return;
	if (count != POOL_COUNT_KNOWN) {
		pool_request_respond(r, 503, "{\"error\":\"not known yet\"}",
				     DEFAULT_RETRY_AFTER_S);
		pool_request_log_rejected(r, "waiting jobs are not known");
		return;
	}
	snprintf(r->response.buf, sizeof(r->response.buf),
		 PLATFORM_WAITING_BODY, jobs);
	pool_request_respond(r, 200, r->response.buf, 0);
}

/* A job that is not stored is known while its caller waits for it. */
static void respond_state(struct pool_request *r, const char *id)
{
	const struct pool_request *job = find_job(r->p, id);

	if (!job) {
		pool_job_state(r, id);
		return;
	}
	snprintf(r->response.buf, sizeof(r->response.buf), PLATFORM_STATE_BODY,
		 job->ndone_tasks ? "running" : "queued");
	pool_request_respond(r, 200, r->response.buf, 0);
}

static void cancel_job(struct pool_request *r, const char *id)
{
	struct pool_request *job = find_job(r->p, id);

	if (!job) {
		pool_job_cancel(r, id, 0);
		return;
	}
	pool_send_cancel(r->p, job->seq);
	log_answer(job, "cancelled", "by the caller");
	answer_job(job, 200, "{\"state\":\"cancelled\"}", 0);
	/* It may be submitted again, here or at another entry VM. */
	pool_job_cancel(r, id, 1);
}

void pool_request_begin(struct pool_request *r, const char *host,
			const char *deadline, struct MHD_Connection *conn)
{
	struct pool *p = r->p;
	const struct pool_route *route;
	const char *id;

	r->conn = conn;
	if (!p->routes && pool_request_await_routes(r))
		return;
	if (!p->routes) {
		pool_request_respond(r, 503, "{\"error\":\"no routes yet\"}",
				     DEFAULT_RETRY_AFTER_S);
		pool_request_log_rejected(r, "no routes yet");
		return;
	}
	route = pool_routes_find(p->routes, host, r->path);
	if (!route) {
		p->count.not_found++;
		pool_request_respond(r, 404, "{\"error\":\"no such queue\"}",
				     0);
		pool_request_log_rejected(r, "no such queue");
		return;
	}
	pool_request_set_deadline(r, route, deadline);
	id = r->path + strlen(route->prefix);
	if (!strcmp(r->method, "POST") && *id)
		pool_submission_begin(r, route, id);
	else if (!strcmp(r->method, "GET") && !*id)
		respond_waiting(r, route);
	else if (strlen(id) >= SCHED_ID_MAX)
		/* No job has it; cut short, it could be the id of one. */
		pool_request_respond(r, 410, "", 0);
	else if (!strcmp(r->method, "GET"))
		respond_state(r, id);
	else if (!strcmp(r->method, "DELETE") && *id)
		cancel_job(r, id);
	else
		pool_request_respond(r, 405, "", 0);
}
