/*
 * Queries of entry VMs that are to cancel a job, on the leader. Each waits
 * until the store has a row that keeps the job from running.
 */

#include "pool-keep.h"

#include <stdlib.h>
#include <string.h>

/* Time after which a VM has asked again, or does not wait any more. */
#define QUERY_WAIT_MS 2000
/* Time for VMs that may have the job to join, also after a freeze of seconds.
 */
#define OWNERS_WAIT_MS 5000
/* Queries that wait; more are refused at once. */
#define QUERIES_MAX 512

struct pool_cancel_query {
	struct pool_cancel_query *next;
	char vm[RP_NAME_MAX]; /* that asks; "": this one */
	uint64_t seq;
	char id[SCHED_ID_MAX];
	int submitted; /* some VM has had a submission of the job */
	rp_ms since, until;
};

static struct pool_cancel_query *find_query(struct pool *p, const char *vm,
					    const char *id)
{
	struct pool_cancel_query *q;

	for (q = p->cancel_queries; q; q = q->next)
		if (!strcmp(q->vm, vm) && !strcmp(q->id, id))
			return q;
	return NULL;
}

static struct pool_cancel_query *query_new(struct pool *p, const char *vm,
					   const char *id)
{
	struct pool_cancel_query *q = calloc(1, sizeof(*q));

	if (!q)
		return NULL;
	str_copy(q->vm, sizeof(q->vm), str_of(vm));
	str_copy(q->id, sizeof(q->id), str_of(id));
	q->since = p->now;
	q->next = p->cancel_queries;
	p->cancel_queries = q;
	p->ncancel_queries++;
	return q;
}

void pool_cancel_query_received(struct pool *p, const char *vm,
				const PoolStateQuery *msg)
{
	struct pool_cancel_query *q = find_query(p, vm, msg->id);

	if (!q && p->ncancel_queries < QUERIES_MAX)
		q = query_new(p, vm, msg->id);
	if (!q) {
		PoolStateReply refusal = POOL_STATE_REPLY__INIT;

		p->count.cancels_refused++;
		refusal.seq = msg->seq;
		refusal.refused = 1;
		pool_state_reply(p, vm, &refusal);
		return;
	}
	/* A VM that asks again does not wait for the reply before. */
	q->seq = msg->seq;
	q->submitted |= msg->submitted;
	q->until = p->now + QUERY_WAIT_MS;
}

/* Sets what the reply says. Returns 0 while the cancellation is pending. */
static int is_ready(struct pool *p, struct pool_cancel_query *q,
		    PoolStateReply *msg)
{
	PoolJob__State state = POOL_JOB__STATE__OPEN;

	msg->seq = q->seq;
	switch (stored_job_cancel(p, q->id, &q->submitted, &state)) {
	case STORED_CANCEL_ENDED:
		msg->final = 1;
		msg->state = state;
		return 1;
	case STORED_CANCEL_UNSUBMITTED:
		msg->unsubmitted = 1;
		return 1;
	case STORED_CANCEL_UNSURE:
		msg->refused = p->now - q->since >= OWNERS_WAIT_MS;
		return msg->refused;
	case STORED_CANCEL_REFUSED:
		p->count.cancels_refused++;
		msg->refused = 1;
		return 1;
	case STORED_CANCEL_IN_ROW:
		return 1;
	default:
		return 0;
	}
}

void pool_cancel_queries_end(struct pool *p)
{
	struct pool_cancel_query *q;

	while ((q = p->cancel_queries)) {
		p->cancel_queries = q->next;
		free(q);
	}
	p->ncancel_queries = 0;
}

void pool_cancel_queries_flush(struct pool *p)
{
	struct pool_cancel_query **at = &p->cancel_queries, *q;

	while ((q = *at)) {
		PoolStateReply msg = POOL_STATE_REPLY__INIT;
		int ready = is_ready(p, q, &msg);

		if (!ready && p->now < q->until) {
			at = &q->next;
			continue;
		}
		*at = q->next;
		p->ncancel_queries--;
		if (ready)
			pool_state_reply(p, q->vm, &msg);
		free(q);
	}
}
