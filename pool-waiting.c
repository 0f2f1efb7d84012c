/*
 * How many jobs wait in a queue, for callers on any entry VM.
 *
 * Heartbeats of the leader name the queues in which jobs wait, up to a number.
 * If there are more, a queue that is not named may have some, and the VM asks
 * the leader. Requests wait meanwhile. Those that come together are asked for
 * together, and a count holds for a while, so that a crowd of callers costs the
 * leader a bounded number of messages.
 */

#include "pool-request.h"

#include <stdlib.h>
#include <string.h>

#define ASKED_MAX 64 /* queues in a query */
/* Queries of a VM in the interval of heartbeats, which grows with the VMs. */
#define QUERIES_PER_INTERVAL 10
/* Age up to which a count is given to callers. */
#define FRESH_MS 1000
/* Time that a request waits at most. */
#define REQUEST_WAIT_MS 1000

/* What the leader has replied about a queue. */
struct pool_queue_count {
	struct pool_queue_count *next;
	char queue[SCHED_QUEUE_NAME_MAX];
	unsigned jobs;
	rp_ms replied_at;  /* 0: not yet */
	int asked;	   /* it is in the query in flight */
	unsigned nwaiting; /* requests that wait for it */
};

struct pool_queue_counts {
	struct pool_queue_count *all;
	struct pool_request *waiting; /* linked by next_awaiting */
	/* The query in flight. */
	uint64_t seq; /* 0: there is none */
	struct pool_queue_count *asked[ASKED_MAX];
	size_t nasked;
	uint64_t link_number; /* of the link that it was sent over */
	rp_ms sent_at;	      /* the latest query */
	uint64_t last_seq;
};

/* --- on the leader ------------------------------------------------------ */

void pool_waiting_list(struct pool *p, PoolBeat *hb, PoolWaiting *list)
{
	apr_hash_index_t *i;

	for (i = apr_hash_first(p->sched.pool, p->sched.queues); i;
	     i = apr_hash_next(i)) {
		const struct sched_queue *q;
		void *value;

		apr_hash_this(i, NULL, NULL, &value);
		q = value;
		if (!q->nwaiting)
			continue;
		if (hb->n_waiting == POOL_WAITING_MAX) {
			hb->more_waiting = 1;
			break;
		}
		pool_waiting__init(&list[hb->n_waiting]);
		list[hb->n_waiting].queue = (char *)q->name;
		list[hb->n_waiting++].jobs = q->nwaiting;
	}
}

static unsigned count_waiting(const struct pool *p, const char *queue)
{
	const struct sched_queue *q =
		apr_hash_get(p->sched.queues, queue, APR_HASH_KEY_STRING);

	return q ? q->nwaiting : 0;
}

void pool_count_query_received(struct pool *p, struct pool_link *l,
			       const PoolCountQuery *msg)
{
	PoolFrame frame = POOL_FRAME__INIT;
	PoolCountReply reply = POOL_COUNT_REPLY__INIT;
	size_t i;

	reply.seq = msg->seq;
	reply.known = p->sched.stored_jobs_loaded;
	reply.jobs = calloc(msg->n_queues + 1, sizeof(*reply.jobs));
	if (!reply.jobs)
		return;
	for (i = 0; i < msg->n_queues; i++)
		reply.jobs[i] = count_waiting(p, msg->queues[i]);
	reply.n_jobs = msg->n_queues;
	frame.body_case = POOL_FRAME__BODY_COUNT_REPLY;
	frame.count_reply = &reply;
	pool_link_send(l, &frame);
	free(reply.jobs);
}

/* --- on any entry VM ---------------------------------------------------- */

static struct pool_queue_count *find_count(const struct pool_queue_counts *c,
					   const char *queue)
{
	struct pool_queue_count *q;

	for (q = c ? c->all : NULL; q; q = q->next)
		if (!strcmp(q->queue, queue))
			return q;
	return NULL;
}

static int is_fresh(const struct pool *p, const struct pool_queue_count *q)
{
	return q && q->replied_at && p->now - q->replied_at <= FRESH_MS;
}

/* Whether the heartbeat names all queues with waiting jobs. */
static int names_all(const PoolBeat *hb)
{
	/* An earlier release does not say that there are more. */
	return !hb->more_waiting && hb->n_waiting < POOL_WAITING_MAX;
}

enum pool_count pool_waiting_jobs(struct pool *p, const char *queue,
				  unsigned *jobs)
{
	const PoolBeat *hb = p->leader_heartbeat;
	const struct pool_queue_count *q;
	size_t i;

	*jobs = 0;
	if (p->leading) {
		*jobs = count_waiting(p, queue);
		return p->sched.stored_jobs_loaded ? POOL_COUNT_KNOWN
						   : POOL_COUNT_UNKNOWN;
	}
	if (!hb || !hb->waits || !lead_leader_alive(&p->lead, p->now))
		return POOL_COUNT_UNKNOWN;
	for (i = 0; i < hb->n_waiting; i++)
		if (!strcmp(hb->waiting[i]->queue, queue)) {
			*jobs = hb->waiting[i]->jobs;
			return POOL_COUNT_KNOWN;
		}
	if (names_all(hb))
		return POOL_COUNT_KNOWN;
	q = find_count(p->queue_counts, queue);
	if (!is_fresh(p, q))
		return POOL_COUNT_TO_ASK;
	*jobs = q->jobs;
	return POOL_COUNT_KNOWN;
}

static struct pool_queue_count *add_count(struct pool_queue_counts *c,
					  const char *queue)
{
	struct pool_queue_count *q = calloc(1, sizeof(*q));

	if (!q)
		return NULL;
	str_copy(q->queue, sizeof(q->queue), str_of(queue));
	q->next = c->all;
	c->all = q;
	return q;
}

static int has_waited(const struct pool *p, const struct pool_request *r)
{
	return p->stopping || p->now >= r->deadline ||
	       p->now - r->received_at >= REQUEST_WAIT_MS;
}

int pool_request_await_count(struct pool_request *r, const char *queue)
{
	struct pool *p = r->p;
	struct pool_queue_count *q;

	if (has_waited(p, r) || strlen(queue) >= SCHED_QUEUE_NAME_MAX)
		return 0;
	if (!p->queue_counts)
		p->queue_counts =
			apr_pcalloc(p->pool, sizeof(*p->queue_counts));
	q = find_count(p->queue_counts, queue);
	if (!q)
		q = add_count(p->queue_counts, queue);
	if (!q)
		return 0;
	q->nwaiting++;
	r->awaited_count = q;
	r->next_awaiting = p->queue_counts->waiting;
	p->queue_counts->waiting = r;
	p->nopen++;
	MHD_suspend_connection(r->conn);
	return 1;
}

static void stop_awaiting(struct pool_request **at)
{
	struct pool_request *r = *at;

	*at = r->next_awaiting;
	r->awaited_count->nwaiting--;
	r->awaited_count = NULL;
	r->p->nopen--;
}

void pool_request_forget_count(struct pool_request *r)
{
	struct pool_request **at;

	if (!r->awaited_count)
		return;
	at = &r->p->queue_counts->waiting;
	while (*at != r)
		at = &(*at)->next_awaiting;
	stop_awaiting(at);
}

/* The server calls pool_request_begin() again for requests that are over. */
static void resume_requests(struct pool *p)
{
	struct pool_request **at = &p->queue_counts->waiting, *r;
	unsigned jobs;

	while ((r = *at)) {
		if (!has_waited(p, r) &&
		    pool_waiting_jobs(p, r->awaited_count->queue, &jobs) ==
			    POOL_COUNT_TO_ASK) {
			at = &r->next_awaiting;
			continue;
		}
		stop_awaiting(at);
		pool_serve_resume(p, r->conn);
	}
}

static void end_query(struct pool_queue_counts *c)
{
	size_t i;

	for (i = 0; i < c->nasked; i++)
		c->asked[i]->asked = 0;
	c->nasked = 0;
	c->seq = 0;
}

/* Replies of slow links are awaited for as long as requests wait. */
static int is_query_lost(const struct pool *p,
			 const struct pool_queue_counts *c)
{
	return !p->leader_link || p->leader_link->number != c->link_number ||
	       p->now - c->sent_at >= REQUEST_WAIT_MS;
}

/* Asks for the counts that requests wait for. */
static void send_query(struct pool *p, struct pool_queue_counts *c)
{
	PoolFrame frame = POOL_FRAME__INIT;
	PoolCountQuery query = POOL_COUNT_QUERY__INIT;
	struct pool_queue_count *q;
	char *names[ASKED_MAX];

	for (q = c->all; q && c->nasked < ASKED_MAX; q = q->next) {
		if (!q->nwaiting || is_fresh(p, q))
			continue;
		q->asked = 1;
		names[c->nasked] = q->queue;
		c->asked[c->nasked++] = q;
	}
	if (!c->nasked)
		return;
	c->seq = query.seq = ++c->last_seq;
	c->sent_at = p->now;
	c->link_number = p->leader_link->number;
	query.queues = names;
	query.n_queues = c->nasked;
	frame.body_case = POOL_FRAME__BODY_COUNT_QUERY;
	frame.count_query = &query;
	pool_link_send(p->leader_link, &frame);
}

void pool_count_reply_received(struct pool *p, const PoolCountReply *msg)
{
	struct pool_queue_counts *c = p->queue_counts;
	size_t i;

	if (!c || !c->seq || msg->seq != c->seq)
		return;
	for (i = 0; msg->known && i < c->nasked && i < msg->n_jobs; i++) {
		c->asked[i]->jobs = msg->jobs[i];
		c->asked[i]->replied_at = p->now;
	}
	end_query(c);
	resume_requests(p);
}

static void free_old_counts(struct pool *p, struct pool_queue_counts *c)
{
	struct pool_queue_count **at = &c->all, *q;

	while ((q = *at)) {
		if (q->nwaiting || q->asked || is_fresh(p, q)) {
			at = &q->next;
			continue;
		}
		*at = q->next;
		free(q);
	}
}

void pool_counts_finish(struct pool *p)
{
	struct pool_queue_counts *c = p->queue_counts;
	struct pool_queue_count *q;

	while (c && (q = c->all)) {
		c->all = q->next;
		free(q);
	}
}

void pool_counts_flush(struct pool *p)
{
	struct pool_queue_counts *c = p->queue_counts;

	if (!c || !c->all)
		return;
	if (c->seq && is_query_lost(p, c))
		end_query(c);
	if (!c->seq && pool_can_submit(p) && !p->leading &&
	    p->now - c->sent_at >=
		    pool_heartbeat_interval(p) / QUERIES_PER_INTERVAL)
		send_query(p, c);
}

void pool_counts_tick(struct pool *p)
{
	if (!p->queue_counts || !p->queue_counts->all)
		return;
	resume_requests(p);
	free_old_counts(p, p->queue_counts);
}
