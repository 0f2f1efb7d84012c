/*
 * Queries of entry VMs that are to cancel a job, on the leader. Each waits
 * until the store has a row that keeps the job from running.
 */

#include "pool-keep.h"

#include <stdlib.h>
#include <string.h>

/* Time after which a VM has asked again, or does not wait any more. */
#define QUERY_WAIT_MS 2000
/* Queries that wait; more are refused at once. */
#define QUERIES_MAX 512

struct pool_cancel_query {
	struct pool_cancel_query *next;
	char vm[RP_NAME_MAX]; /* that asks; "": this one */
	uint64_t seq;
	char id[SCHED_ID_MAX];
	int submitted; /* some VM has had a submission of the job */
	rp_ms until;
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

static void refuse(struct pool *p, const char *vm, uint64_t seq)
{
	PoolStateReply msg = POOL_STATE_REPLY__INIT;

	p->count.cancels_refused++;
	msg.seq = seq;
	msg.refused = 1;
	pool_state_reply(p, vm, &msg);
}

static struct pool_cancel_query *query_new(struct pool *p, const char *vm,
					   const char *id)
{
	struct pool_cancel_query *q = calloc(1, sizeof(*q));

	if (!q)
		return NULL;
	str_copy(q->vm, sizeof(q->vm), str_of(vm));
	str_copy(q->id, sizeof(q->id), str_of(id));
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
		refuse(p, vm, msg->seq);
		return;
	}
	/* A VM that asks again does not wait for the reply before. */
	q->seq = msg->seq;
	q->submitted |= msg->submitted;
	q->until = p->now + QUERY_WAIT_MS;
}

/* Sends the reply if the cancellation is not pending. Returns whether it is. */
static int is_pending(struct pool *p, struct pool_cancel_query *q)
{
	PoolStateReply msg = POOL_STATE_REPLY__INIT;
	PoolJob__State state = POOL_JOB__STATE__OPEN;

	msg.seq = q->seq;
	switch (stored_job_cancel(p, q->id, &q->submitted, &state)) {
	case STORED_CANCEL_PENDING:
		return 1;
	case STORED_CANCEL_ENDED:
		msg.final = 1;
		msg.state = state;
		break;
	case STORED_CANCEL_UNSUBMITTED:
		msg.unsubmitted = 1;
		break;
	case STORED_CANCEL_REFUSED:
		refuse(p, q->vm, q->seq);
		return 0;
	case STORED_CANCEL_IN_ROW:
		break;
	}
	pool_state_reply(p, q->vm, &msg);
	return 0;
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
		if (p->now < q->until && is_pending(p, q)) {
			at = &q->next;
			continue;
		}
		*at = q->next;
		p->ncancel_queries--;
		free(q);
	}
}
