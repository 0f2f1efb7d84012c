/*
 * Cancellations of jobs that their entry VM has closed.
 *
 * The VM answers the caller at once. A link may have gone silent by then, and
 * lose the message; the leader keeps the jobs of a VM that is back with another
 * link. So recent cancellations are sent again over it.
 */

#include "pool.h"

/*
 * Time after which a link has certainly delivered a message, or was replaced:
 * its ends hear each other's heartbeats.
 */
#define CANCEL_KEPT_MS 3000

static void send_cancel(struct pool *p, uint64_t seq)
{
	PoolFrame frame = POOL_FRAME__INIT;
	PoolCancel cancel = POOL_CANCEL__INIT;

	if (p->leading) {
		sched_cancel(&p->sched, &p->self, seq, p->now);
		p->dispatch_due = 1;
		return;
	}
	if (!p->leader_link)
		return;
	cancel.seq = seq;
	frame.body_case = POOL_FRAME__BODY_CANCEL;
	frame.cancel = &cancel;
	pool_link_send(p->leader_link, &frame);
}

void pool_send_cancel(struct pool *p, uint64_t seq)
{
	struct pool_cancelled *c =
		&p->cancelled[p->ncancelled++ % POOL_CANCELLED_KEPT];

	c->seq = seq;
	c->until = p->now + CANCEL_KEPT_MS;
	send_cancel(p, seq);
}

void pool_cancels_resend(struct pool *p)
{
	size_t i;

	for (i = 0; i < POOL_CANCELLED_KEPT && i < p->ncancelled; i++)
		if (p->now < p->cancelled[i].until)
			send_cancel(p, p->cancelled[i].seq);
}
