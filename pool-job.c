/*
 * Callers' requests for stored jobs, on any entry VM.
 *
 * A job is accepted once its row is in the store, where the leader finds it.
 * Its state is read from the row, and a cancellation is written to the row.
 * Jobs of one part that are submitted while a transaction is in flight go into
 * the next one.
 */

#include "pool-request.h"
#include "pool-store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Each row takes two of the 100 entries that the store allows. */
#define BATCH_ROWS 50
#define BATCH_BYTES 400000 /* from which no more rows are added */
#define READ_TIMEOUT_MS 1500
/* Time for the leader's reply to a query; it may wait for 100 ms. */
#define QUERY_TIMEOUT_MS 160
#define MAX_ATTEMPTS 5 /* of a write that conflicts with other writes */

/* A request that waits for a reply of the store. */
struct pool_job_call {
	struct pool_job_call *next; /* in its part's queue or transaction */
	struct pool_job_call *all_next, **all_prev; /* in pool_job_calls.all */
	struct pool *p;
	struct pool_request *request; /* NULL: the caller has disconnected */
	char id[SCHED_ID_MAX];
	uint8_t *packed_job; /* row of a submitted job, else NULL */
	size_t len;
	int cancel; /* cancel the job after reading its row */
	int attempts;
	uint64_t query_seq; /* of the query to the leader; 0: none */
	rp_ms query_until;  /* the row is read without its reply then */
};

struct submit_part {
	struct pool_job_call *first, **last; /* queue of jobs to write */
	struct pool_job_call *sent;	     /* in the transaction */
	int in_flight; /* set while a transaction is running */
};

struct pool_job_calls {
	uint64_t last_query_seq;
	size_t nqueries; /* without a reply */
	struct submit_part parts[JOBS_PARTS];
	struct pool_job_call *all;
};

int pool_jobs_init(struct pool *p)
{
	int i;

	p->job_calls = apr_pcalloc(p->pool, sizeof(*p->job_calls));
	for (i = 0; i < JOBS_PARTS; i++)
		p->job_calls->parts[i].last = &p->job_calls->parts[i].first;
	return 0;
}

unsigned pool_job_part(const char *id)
{
	return (unsigned)(str_hash(str_of(id)) % JOBS_PARTS);
}

const char *pool_part_name(unsigned part)
{
	static const char *const names[JOBS_PARTS] = { "0", "1", "2", "3",
						       "4", "5", "6", "7" };

	return names[part];
}

/* Suspends the request until respond(). */
static struct pool_job_call *job_call_new(struct pool_request *r,
					  const char *id)
{
	struct pool_job_call *j = calloc(1, sizeof(*j));
	struct pool_job_calls *a = r->p->job_calls;

	j->p = r->p;
	j->request = r;
	snprintf(j->id, sizeof(j->id), "%s", id);
	j->all_next = a->all;
	j->all_prev = &a->all;
	if (j->all_next)
		j->all_next->all_prev = &j->all_next;
	a->all = j;
	r->job_call = j;
	r->suspended = 1;
	r->p->nopen++;
	MHD_suspend_connection(r->conn);
	return j;
}

static void detach_request(struct pool_job_call *j)
{
	j->request->suspended = 0;
	j->request->job_call = NULL;
	j->request = NULL;
	j->p->nopen--;
}

/* Answers the request, unless its caller has disconnected. */
static void respond(struct pool_job_call *j, unsigned status, const char *body,
		    unsigned retry_after_s, const char *event)
{
	struct pool_request *r = j->request;

	if (!r)
		return;
	LOG_EVENT(LOG_LEVEL_INFO, event, LOG_TEXT("id", j->id),
		  LOG_NUMBER("status", status),
		  LOG_NUMBER("age_ms", j->p->now - r->received_at));
	j->p->count.rejected += status == 503;
	j->p->count.answered++;
	pool_histogram_add(&j->p->count.latency, j->p->now - r->received_at);
	pool_request_respond(r, status, body, retry_after_s);
	detach_request(j);
	pool_serve_resume(j->p, r->conn);
}

static void job_call_free(struct pool_job_call *j)
{
	*j->all_prev = j->all_next;
	if (j->all_next)
		j->all_next->all_prev = j->all_prev;
	free(j->packed_job);
	free(j);
}

void pool_job_caller_closed(struct pool_request *r)
{
	if (r->job_call)
		detach_request(r->job_call);
}

void pool_jobs_abort(struct pool *p)
{
	struct pool_job_call *j;

	for (j = p->job_calls->all; j; j = j->all_next)
		respond(j, 504, "{\"error\":\"this VM stops\"}", 0,
			"job_unanswered");
}

void pool_jobs_finish(struct pool *p)
{
	struct pool_job_call *j, *next;

	for (j = p->job_calls->all; j; j = next) {
		next = j->all_next;
		job_call_free(j);
	}
}

/* Answers the request after a failed call to the store. */
static void respond_failed(struct pool_job_call *j, long status)
{
	if (status == 429 || status == 503)
		respond(j, 503, "{\"error\":\"the store is busy\"}",
			DEFAULT_RETRY_AFTER_S, "job_refused");
	else /* the store may have written the row */
		respond(j, 504, "{\"error\":\"no answer from the store\"}", 0,
			"job_unanswered");
}

/* --- submissions ------------------------------------------------------ */

static void enqueue(struct submit_part *part, struct pool_job_call *j)
{
	j->next = NULL;
	*part->last = j;
	part->last = &j->next;
}

void pool_job_submit(struct pool_request *r)
{
	struct pool_job_call *j = job_call_new(r, r->submit->id);
	PoolJob job = POOL_JOB__INIT;

	r->p->has_stored_jobs = r->p->accepted_stored_job = 1;
	job.submit = r->submit;
	job.accepted_ms = (uint64_t)pool_store_now(r->p);
	j->len = pool_job__get_packed_size(&job);
	j->packed_job = malloc(j->len);
	pool_job__pack(&job, j->packed_job);
	enqueue(&r->p->job_calls->parts[pool_job_part(j->id)], j);
}

static int rows_contain(const struct platform_rows *rows, const char *id)
{
	size_t i;

	for (i = 0; i < rows->n; i++)
		if (!strcmp(rows->rows[i].key, id))
			return 1;
	return 0;
}

/*
 * Handles a transaction that failed because some rows exist already. Their
 * jobs were accepted before; the others are queued again.
 */
static void handle_conflict(struct submit_part *part, struct pool_job_call *j,
			    const char *body, size_t len)
{
	struct platform_rows rows;
	char error[PLATFORM_ERROR_MAX];
	struct pool_job_call *next;

	platform_parse_rows(&rows, body, len, error);
	for (; j; j = next) {
		next = j->next;
		if (rows_contain(&rows, j->id)) {
			respond(j, 200, "{}", 0, "job_known");
			job_call_free(j);
		} else if (++j->attempts < MAX_ATTEMPTS) {
			enqueue(part, j);
		} else {
			respond_failed(j, 503);
			job_call_free(j);
		}
	}
	platform_rows_finish(&rows);
}

static void on_submitted(struct pool_call *c, long status, const char *body,
			 size_t len)
{
	struct submit_part *part = &c->p->job_calls->parts[c->tag];
	struct pool_job_call *j = part->sent, *next;

	part->sent = NULL;
	part->in_flight = 0;
	if (status == 412) {
		handle_conflict(part, j, body, len);
		return;
	}
	for (; j; j = next) {
		next = j->next;
		if (status == 200)
			respond(j, 200, "{}", 0, "job_accepted");
		else
			respond_failed(j, status);
		job_call_free(j);
	}
}

static int list_contains(const struct pool_job_call *j, const char *id)
{
	for (; j; j = j->next)
		if (!strcmp(j->id, id))
			return 1;
	return 0;
}

/* Moves queued jobs to the part's next transaction. Returns how many. */
static size_t fill_batch(struct submit_part *part,
			 struct platform_write *writes)
{
	struct pool_job_call **at = &part->first, *j;
	size_t n = 0, bytes = 0;

	while ((j = *at) && n < BATCH_ROWS && bytes < BATCH_BYTES) {
		/* A transaction writes a row once: a repeated id waits. */
		if (list_contains(part->sent, j->id)) {
			at = &j->next;
			continue;
		}
		*at = j->next;
		j->next = part->sent;
		part->sent = j;
		bytes += j->len;
		writes[n++] = (struct platform_write){
			.key = j->id,
			.value = { (char *)j->packed_job, j->len },
		};
	}
	for (part->last = &part->first; *part->last;)
		part->last = &(*part->last)->next;
	return n;
}

static void write_part(struct pool *p, unsigned i)
{
	struct submit_part *part = &p->job_calls->parts[i];
	struct platform_write writes[BATCH_ROWS];
	size_t n = fill_batch(part, writes);

	part->in_flight = 1;
	pool_store_transact(p,
			    platform_transaction_body(
				    JOBS_TABLE, pool_part_name(i), writes, n),
			    0, on_submitted)
		->tag = i;
}

void pool_jobs_flush(struct pool *p)
{
	unsigned i;

	for (i = 0; i < JOBS_PARTS; i++)
		if (p->job_calls->parts[i].first &&
		    !p->job_calls->parts[i].in_flight)
			write_part(p, i);
}

/* --- queries and cancellations ------------------------------------------ */

/* Returns NULL if the state is not final. */
static const char *final_state_name(PoolJob__State state)
{
	switch (state) {
	case POOL_JOB__STATE__COMPLETED:
		return "completed";
	case POOL_JOB__STATE__FAILED:
		return "failed";
	case POOL_JOB__STATE__CANCELLED:
		return "cancelled";
	default:
		return NULL;
	}
}

static const char *state_name(struct pool *p, const char *id,
			      const PoolJob *job)
{
	const char *name = final_state_name(job->state);

	if (name)
		return name;
	return job->n_done || job->n_failed || pool_stored_started(p, id)
		       ? "running"
		       : "queued";
}

static void respond_state(struct pool_job_call *j, const char *name)
{
	struct pool_request *r = j->request;

	if (!r)
		return;
	snprintf(r->response.buf, sizeof(r->response.buf), PLATFORM_STATE_BODY,
		 name);
	respond(j, 200, r->response.buf, 0, "job_state");
}

/* Returns the job of the row in a reply; NULL: it is missing or malformed. */
static PoolJob *parse_job(const struct pool_job_call *j, const char *body,
			  size_t len, int64_t *version)
{
	struct platform_rows rows;
	char error[PLATFORM_ERROR_MAX];
	PoolJob *job = NULL;

	if (platform_parse_rows(&rows, body, len, error) == 0 && rows.n &&
	    !strcmp(rows.rows[0].key, j->id) && rows.rows[0].value) {
		*version = rows.rows[0].version;
		job = pool_job__unpack(NULL, rows.rows[0].len,
				       (uint8_t *)rows.rows[0].value);
	}
	platform_rows_finish(&rows);
	return job;
}

static void on_row(struct pool_call *c, long status, const char *body,
		   size_t len);

static void read_row(struct pool_job_call *j)
{
	struct pool *p = j->p;
	char *path = platform_row_path(
		JOBS_TABLE, pool_part_name(pool_job_part(j->id)), j->id);
	struct pool_call_spec spec = {
		.address = p->set.store_address,
		.path = path,
		.timeout = READ_TIMEOUT_MS,
		.on_done = on_row,
	};

	p->count.store_calls++;
	pool_call_begin(p, &spec)->user = j;
	free(path);
}

static void on_cancelled(struct pool_call *c, long status, const char *body,
			 size_t len)
{
	struct pool_job_call *j = c->user;

	(void)body;
	(void)len;
	if (status == 412 && ++j->attempts < MAX_ATTEMPTS) {
		read_row(j);
		return;
	}
	if (status == 200)
		respond(j, 200, "{\"state\":\"cancelled\"}", 0,
			"job_cancelled");
	else
		respond_failed(j, status == 412 ? 503 : status);
	job_call_free(j);
}

static void write_cancelled(struct pool_job_call *j, PoolJob *job,
			    int64_t version)
{
	struct pool *p = j->p;
	size_t len;
	uint8_t *row;
	struct platform_write write = { .key = j->id,
					.expected_version = version };

	job->writer = 0;
	job->state = POOL_JOB__STATE__CANCELLED;
	job->ended_ms = (uint64_t)pool_store_now(p);
	len = pool_job__get_packed_size(job);
	row = malloc(len);
	pool_job__pack(job, row);
	write.value = (struct rp_str){ (char *)row, len };
	pool_store_transact(
		p,
		platform_transaction_body(JOBS_TABLE,
					  pool_part_name(pool_job_part(j->id)),
					  &write, 1),
		0, on_cancelled)
		->user = j;
	free(row);
}

static void on_row(struct pool_call *c, long status, const char *body,
		   size_t len)
{
	struct pool_job_call *j = c->user;
	int64_t version;
	PoolJob *job;

	if (status != 200) {
		respond_failed(j, status);
		job_call_free(j);
		return;
	}
	job = parse_job(j, body, len, &version);
	if (job && j->cancel && job->state == POOL_JOB__STATE__OPEN) {
		write_cancelled(j, job, version);
	} else {
		if (job)
			respond_state(j, state_name(j->p, j->id, job));
		else
			respond(j, 410, "", 0,
				j->cancel ? "job_cancelled" : "job_state");
		job_call_free(j);
	}
	pool_job__free_unpacked(job, NULL);
}

/* Asks the leader for the job's state. Returns 0 if there is none to ask. */
static int query_leader(struct pool_job_call *j)
{
	struct pool *p = j->p;
	PoolFrame frame = POOL_FRAME__INIT;
	PoolStateQuery query = POOL_STATE_QUERY__INIT;

	if (!p->leading && !p->leader_link)
		return 0;
	j->query_seq = query.seq = ++p->job_calls->last_query_seq;
	j->query_until = p->now + QUERY_TIMEOUT_MS;
	p->job_calls->nqueries++;
	query.id = j->id;
	if (p->leading) {
		pool_state_query_received(p, NULL, &query);
		return 1;
	}
	frame.body_case = POOL_FRAME__BODY_STATE_QUERY;
	frame.state_query = &query;
	pool_link_send(p->leader_link, &frame);
	return 1;
}

void pool_job_state(struct pool_request *r, const char *id)
{
	struct pool_job_call *j = job_call_new(r, id);

	if (!query_leader(j))
		read_row(j);
}

/* The query is over: the state is final, or NULL to read the row. */
static void end_query(struct pool_job_call *j, const char *state)
{
	j->query_seq = 0;
	j->p->job_calls->nqueries--;
	if (j->request && !state) {
		read_row(j);
		return;
	}
	respond_state(j, state);
	job_call_free(j);
}

void pool_job_state_received(struct pool *p, const PoolStateReply *msg)
{
	struct pool_job_call *j;

	for (j = msg->seq ? p->job_calls->all : NULL; j; j = j->all_next)
		if (j->query_seq == msg->seq)
			break;
	if (j)
		end_query(j, msg->final ? final_state_name(msg->state) : NULL);
}

void pool_job_queries_expire(struct pool *p)
{
	struct pool_job_call *j, *next;

	for (j = p->job_calls->nqueries ? p->job_calls->all : NULL; j;
	     j = next) {
		next = j->all_next;
		if (j->query_seq && p->now >= j->query_until)
			end_query(j, NULL);
	}
}

void pool_job_cancel(struct pool_request *r, const char *id)
{
	struct pool_job_call *j = job_call_new(r, id);

	j->cancel = 1;
	read_row(j);
}
