/*
 * Queries for the state of stored jobs, on the leader.
 *
 * Callers often ask just after a job's last task has ended, when its row does
 * not say so yet, and ask again only much later. So the leader delays its reply
 * for a moment if the job is about to end. It replies only with a final state
 * that the row has; else the entry VM reads the row.
 */

#include "pool-keep.h"

#include <stdlib.h>
#include <string.h>

/* Time for which a query waits for the end of its job. */
#define QUERY_WAIT_MS 100

struct pool_state_query {
	struct pool_state_query *next;
	char vm[RP_NAME_MAX]; /* that asks; "": this one */
	uint64_t seq;
	char id[SCHED_ID_MAX];
	rp_ms until;
};

void pool_state_query_received(struct pool *p, const struct pool_member *m,
			       const PoolStateQuery *msg)
{
	struct pool_state_query *q;

	/* Cut short, it could be the id of another job. */
	if (strlen(msg->id) >= sizeof(q->id))
		return;
	if (msg->cancel) {
		pool_cancel_query_received(p, m ? m->vm : "", msg);
		return;
	}
	q = calloc(1, sizeof(*q));
	if (!q)
		return;
	str_copy(q->vm, sizeof(q->vm), str_of(m ? m->vm : ""));
	str_copy(q->id, sizeof(q->id), str_of(msg->id));
	q->seq = msg->seq;
	q->until = p->now + QUERY_WAIT_MS;
	q->next = p->state_queries;
	p->state_queries = q;
}

void pool_state_reply(struct pool *p, const char *vm, PoolStateReply *msg)
{
	PoolFrame frame = POOL_FRAME__INIT;
	const struct pool_member *m;

	if (!vm[0]) {
		pool_job_state_received(p, msg);
		return;
	}
	m = pool_find_member(p, vm);
	frame.body_case = POOL_FRAME__BODY_STATE_REPLY;
	frame.state_reply = msg;
	if (m && m->link)
		pool_link_send(m->link, &frame);
}

static void reply(struct pool *p, const struct pool_state_query *q,
		  const struct stored_job *j)
{
	PoolStateReply msg = POOL_STATE_REPLY__INIT;

	msg.seq = q->seq;
	msg.final = j && !j->job && !j->unsubmitted &&
		    j->state != POOL_JOB__STATE__OPEN;
	msg.state = msg.final ? j->state : POOL_JOB__STATE__OPEN;
	pool_state_reply(p, q->vm, &msg);
}

/* Whether all tasks run or have ended, and the row is still to be written. */
static int may_end_soon(struct pool *p, const struct stored_job *j)
{
	const struct sched_job *job;

	if (!j || !j->job)
		return 0;
	job = sched_find_open_job(&p->sched, str_of(j->id));
	return !job || !job->nwaiting;
}

void pool_state_flush(struct pool *p)
{
	struct pool_state_query **at = &p->state_queries, *q;

	while ((q = *at)) {
		const struct stored_job *j =
			p->stored_jobs ? stored_job_find(p, q->id) : NULL;

		if (p->now < q->until && may_end_soon(p, j)) {
			at = &q->next;
			continue;
		}
		*at = q->next;
		reply(p, q, j);
		free(q);
	}
}
