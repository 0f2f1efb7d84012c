/* Queries of an entry VM to the leader, for the state of jobs and to cancel
 * them. */

#include "pool-job.h"

/* Time for the leader's reply to a query; it may wait for 100 ms. */
#define QUERY_TIMEOUT_MS 160

int pool_job_query_leader(struct pool_job_call *j, rp_ms timeout)
{
	struct pool *p = j->p;
	PoolFrame frame = POOL_FRAME__INIT;
	PoolStateQuery query = POOL_STATE_QUERY__INIT;

	if (!p->leading && !p->leader_link)
		return 0;
	/* On a slow link the reply to an earlier try may come after the next.
	 */
	if (!j->query_seq)
		j->query_seq = ++p->job_calls->last_query_seq;
	query.seq = j->query_seq;
	pool_job_query_wait(j, timeout);
	query.id = j->id;
	query.cancel = j->cancel;
	query.submitted = j->submitted;
	if (p->leading) {
		pool_state_query_received(p, NULL, &query);
		return 1;
	}
	frame.body_case = POOL_FRAME__BODY_STATE_QUERY;
	frame.state_query = &query;
	pool_link_send(p->leader_link, &frame);
	return 1;
}

void pool_job_query_wait(struct pool_job_call *j, rp_ms ms)
{
	j->query_until = j->p->now + ms;
	j->p->job_calls->nqueries++;
}

void pool_job_state(struct pool_request *r, const char *id)
{
	struct pool_job_call *j = pool_job_call_new(r, id);

	/* The row can still be read after a query without a reply. */
	if (r->deadline - r->p->now < (rp_ms)2 * QUERY_TIMEOUT_MS ||
	    !pool_job_query_leader(j, QUERY_TIMEOUT_MS))
		pool_job_read_row(j);
}

void pool_job_cancel(struct pool_request *r, const char *id, int submitted)
{
	struct pool_job_call *j = pool_job_call_new(r, id);

	j->cancel = 1;
	j->submitted = submitted;
	if (r->p->now < r->deadline) {
		pool_job_cancel_ask(j, QUERY_TIMEOUT_MS);
		return;
	}
	/* Nothing has been asked for. */
	pool_job_respond_failed(j, 503);
	pool_job_call_free(j);
}

/* The query is over. msg: the leader's reply; NULL: none came in time. */
static void end_query(struct pool_job_call *j, const PoolStateReply *msg)
{
	const char *state = msg && msg->final ? pool_job_final_state(msg->state)
					      : NULL;

	j->query_until = 0;
	j->p->job_calls->nqueries--;
	if (!j->request) {
		pool_job_call_free(j);
	} else if (state) {
		pool_job_respond_state(j, state);
		pool_job_call_free(j);
	} else if (j->cancel) {
		pool_job_cancel_replied(j, msg);
	} else {
		pool_job_read_row(j);
	}
}

void pool_job_state_received(struct pool *p, const PoolStateReply *msg)
{
	struct pool_job_call *j;

	for (j = msg->seq ? p->job_calls->all : NULL; j; j = j->all_next)
		if (j->query_seq == msg->seq && j->query_until)
			break;
	if (j)
		end_query(j, msg);
}

void pool_job_queries_expire(struct pool *p)
{
	struct pool_job_call *j, *next;

	for (j = p->job_calls->nqueries ? p->job_calls->all : NULL; j;
	     j = next) {
		next = j->all_next;
		if (j->query_until && p->now >= j->query_until)
			end_query(j, NULL);
	}
}
