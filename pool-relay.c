/* Jobs on their way to the leader, and answers on their way back. */

#include "pool.h"

#include <string.h>

/* An answer that was lost with its connection is given again. */
static int answer_again(struct pool *p, struct pool_member *m, uint64_t seq)
{
	PoolAnswer answer = POOL_ANSWER__INIT;
	size_t i;

	for (i = 0; i < POOL_RECENT_ANSWERS && i < m->nanswers; i++) {
		struct pool_recent_answer *k = &m->answers[i];

		if (k->seq != seq)
			continue;
		answer.seq = seq;
		answer.outcome = k->outcome;
		answer.retry_after_ms = k->retry_after_ms;
		answer.reason = k->reason;
		pool_send_answer(p, m, &answer);
		return 1;
	}
	return 0;
}

/*
 * Sent to this leader again over another link: if the member has been here
 * since before the job came, and the job is not known, it never arrived.
 */
static int was_here(const struct pool *p, const struct pool_member *m,
		    const PoolSubmit *sub)
{
	return m != &p->self && sub->former == p->lead.row.fence &&
	       p->now - m->joined_at > (rp_ms)sub->age_ms;
}

void pool_schedule_job(struct pool *p, struct pool_member *m, PoolSubmit *sub)
{
	if (answer_again(p, m, sub->seq))
		return;
	if (was_here(p, m, sub))
		sub->former = 0;
	sched_submit(&p->sched, m, sub, p->now);
	p->sched_dirty = 1;
}

void pool_send_submit(struct pool *p, PoolSubmit *sub)
{
	PoolFrame frame = POOL_FRAME__INIT;

	if (p->leading) {
		pool_schedule_job(p, &p->self, sub);
		return;
	}
	if (!p->to_leader)
		return; /* sent when there is a link */
	frame.body_case = POOL_FRAME__BODY_SUBMIT;
	frame.submit = sub;
	pool_link_send(p->to_leader, &frame);
}

void pool_send_cancel(struct pool *p, uint64_t seq)
{
	PoolFrame frame = POOL_FRAME__INIT;
	PoolCancel cancel = POOL_CANCEL__INIT;

	if (p->leading) {
		sched_cancel(&p->sched, &p->self, seq, p->now);
		p->sched_dirty = 1;
		return;
	}
	if (!p->to_leader)
		return;
	cancel.seq = seq;
	frame.body_case = POOL_FRAME__BODY_CANCEL;
	frame.cancel = &cancel;
	pool_link_send(p->to_leader, &frame);
}

static void keep_answer(struct pool_member *m, const PoolAnswer *answer)
{
	struct pool_recent_answer *k =
		&m->answers[m->nanswers++ % POOL_RECENT_ANSWERS];

	k->seq = answer->seq;
	k->outcome = answer->outcome;
	k->retry_after_ms = answer->retry_after_ms;
	str_copy(k->reason, sizeof(k->reason), str_of(answer->reason));
}

/* Returns the mark; without a link the message is lost. */
static uint64_t tell(struct pool_member *m, const PoolFrame *frame)
{
	if (m->link)
		pool_link_send(m->link, frame);
	return m->sent_mark;
}

uint64_t pool_send_answer(struct pool *p, struct pool_member *m,
			  PoolAnswer *answer)
{
	PoolFrame frame = POOL_FRAME__INIT;

	if (m == &p->self) {
		pool_request_answer_received(p, answer);
		return 0;
	}
	keep_answer(m, answer);
	answer->mark = ++m->sent_mark;
	frame.body_case = POOL_FRAME__BODY_ANSWER;
	frame.answer = answer;
	return tell(m, &frame);
}

uint64_t pool_send_progress(struct pool *p, struct pool_member *m,
			    PoolProgress *progress)
{
	PoolFrame frame = POOL_FRAME__INIT;

	if (m == &p->self) {
		pool_request_progress_received(p, progress);
		return 0;
	}
	progress->mark = ++m->sent_mark;
	frame.body_case = POOL_FRAME__BODY_PROGRESS;
	frame.progress = progress;
	return tell(m, &frame);
}

void pool_send_ack(struct pool *p)
{
	PoolFrame frame = POOL_FRAME__INIT;
	PoolHeard heard = POOL_HEARD__INIT;

	if (!p->to_leader || p->received_mark == p->acked_mark)
		return;
	heard.mark = p->acked_mark = p->received_mark;
	frame.body_case = POOL_FRAME__BODY_HEARD;
	frame.heard = &heard;
	pool_link_send(p->to_leader, &frame);
}
