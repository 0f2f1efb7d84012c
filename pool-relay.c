/* Messages about jobs between the entry VM that owns them and the leader. */

#include "pool.h"

#include <string.h>

/*
 * Whether an answer still holds for a job that is submitted again. A submission
 * can be delivered late, when its owner has submitted the job to another leader
 * already. A rejection of that one says nothing of what the other has started.
 */
static int still_holds(const struct pool_recent_answer *a,
		       const PoolSubmit *sub)
{
	return a->outcome != POOL_ANSWER__OUTCOME__REJECTED || !sub->former;
}

/*
 * Answers a job that was submitted again, although this leader has answered it
 * over a link that broke. Returns whether it was answered before.
 */
static int resend_answer(struct pool *p, struct pool_member *m,
			 const PoolSubmit *sub)
{
	PoolAnswer answer = POOL_ANSWER__INIT;
	size_t i;

	for (i = 0; i < POOL_RECENT_ANSWERS && i < m->nanswers; i++) {
		struct pool_recent_answer *a = &m->answers[i];

		if (a->seq != sub->seq || !still_holds(a, sub))
			continue;
		answer.seq = sub->seq;
		answer.outcome = a->outcome;
		answer.retry_after_ms = a->retry_after_ms;
		answer.reason = a->reason;
		pool_send_answer(p, m, &answer);
		return 1;
	}
	return 0;
}

/* Answers a job that was cancelled. Returns whether it was. */
static int answer_cancelled(struct pool *p, struct pool_member *m,
			    const PoolSubmit *sub)
{
	PoolAnswer answer = POOL_ANSWER__INIT;

	if (!pool_stored_is_cancelled(p, sub->id))
		return 0;
	answer.seq = sub->seq;
	answer.outcome = POOL_ANSWER__OUTCOME__CANCELLED;
	answer.reason = "cancelled before it was submitted";
	pool_send_answer(p, m, &answer);
	return 1;
}

/*
 * Whether a job that was sent to this leader before never arrived, given that
 * the scheduler does not know it. This holds if the member joined before the
 * job was received: the job was not dropped by removing the member then.
 */
static int never_arrived(const struct pool *p, const struct pool_member *m,
			 const PoolSubmit *sub)
{
	return m != &p->self && sub->former == p->lead.row.fence &&
	       p->now - m->joined_at > (rp_ms)sub->age_ms;
}

void pool_schedule_job(struct pool *p, struct pool_member *m, PoolSubmit *sub)
{
	if (resend_answer(p, m, sub) || answer_cancelled(p, m, sub))
		return;
	if (never_arrived(p, m, sub))
		sub->former = 0;
	sched_submit(&p->sched, m, sub, p->now);
	if (m->silent)
		sched_owner_silent(&p->sched, m, 1, p->now);
	p->dispatch_due = 1;
}

int pool_can_submit(const struct pool *p)
{
	return p->leading || (p->leader_link && p->leader_link->greeted);
}

void pool_send_submit(struct pool *p, PoolSubmit *sub)
{
	PoolFrame frame = POOL_FRAME__INIT;

	if (p->leading) {
		pool_schedule_job(p, &p->self, sub);
		return;
	}
	frame.body_case = POOL_FRAME__BODY_SUBMIT;
	frame.submit = sub;
	pool_link_send(p->leader_link, &frame);
}

static void remember_answer(struct pool_member *m, const PoolAnswer *answer)
{
	struct pool_recent_answer *a =
		&m->answers[m->nanswers++ % POOL_RECENT_ANSWERS];

	a->seq = answer->seq;
	a->outcome = answer->outcome;
	a->retry_after_ms = answer->retry_after_ms;
	str_copy(a->reason, sizeof(a->reason), str_of(answer->reason));
}

/* Sends a message, or drops it if there is no link. Returns its mark. */
static uint64_t send_marked(struct pool_member *m, const PoolFrame *frame)
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
	remember_answer(m, answer);
	answer->mark = ++m->sent_mark;
	frame.body_case = POOL_FRAME__BODY_ANSWER;
	frame.answer = answer;
	return send_marked(m, &frame);
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
	return send_marked(m, &frame);
}

void pool_send_ack(struct pool *p)
{
	PoolFrame frame = POOL_FRAME__INIT;
	PoolHeard heard = POOL_HEARD__INIT;

	if (!p->leader_link || p->received_mark == p->acked_mark)
		return;
	heard.mark = p->acked_mark = p->received_mark;
	frame.body_case = POOL_FRAME__BODY_HEARD;
	frame.heard = &heard;
	pool_link_send(p->leader_link, &frame);
}
