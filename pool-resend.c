/*
 * Calls to targets that are sent again before they time out.
 *
 * A target that loses calls answers most of them. A call that is not answered
 * leaves it open whether a task runs, so that the room stays taken until a
 * later list shows it. All calls to targets may arrive twice: a run that is
 * there already is not started again, and neither is one that was stopped or
 * has ended. So the same call is sent again on another connection, and the
 * first reply counts. A copy of a hold acknowledges no ends: it may reach
 * another incarnation, which numbers them anew. libcurl does not send one again
 * that does.
 */

#include "pool.h"

#include <stdlib.h>
#include <string.h>

/* Least time without a reply after which a call is sent again. */
#define RESEND_MIN_MS 20
/* Deviations beyond the mean time of a reply. */
#define RESEND_DEVIATIONS 4
#define MEAN_WEIGHT 0.05 /* of one reply in the mean */
/* Calls that may be sent again for each that is answered, and at once. */
#define TOKENS_PER_REPLY 1.0
#define TOKENS_MAX 100.0

/* Share of lost calls from which holds wait for LOSSY_WAIT_MS at most. */
#define LOSS_MAX 0.05
#define LOSSY_WAIT_MS 40
/* Time for further copies of a call, from that share on. */
#define LOSSY_EXTRA_MS 40

void pool_resend_init(struct pool *p)
{
	p->resend.tokens = TOKENS_MAX;
	p->resend.due = -1;
}

/*
 * A hold that is lost shows only after its wait, and the ends that it would
 * have reported come that much later.
 */
rp_ms pool_hold_wait(const struct pool *p, rp_ms wait)
{
	return p->resend.loss > LOSS_MAX && wait > LOSSY_WAIT_MS ? LOSSY_WAIT_MS
								 : wait;
}

rp_ms pool_resend_extra_time(const struct pool *p)
{
	return p->resend.loss > LOSS_MAX ? LOSSY_EXTRA_MS : 0;
}

static rp_ms resend_delay(const struct pool *p)
{
	rp_ms ms = (rp_ms)(p->resend.mean +
			   RESEND_DEVIATIONS * p->resend.deviation);

	return ms > RESEND_MIN_MS ? ms : RESEND_MIN_MS;
}

static void set_due(struct pool *p, rp_ms at)
{
	if (p->resend.due < 0 || at < p->resend.due)
		p->resend.due = at;
}

void pool_resend_enable(struct pool_call *c, const struct pool_call_spec *spec,
			rp_ms wait, char *copy_request)
{
	struct pool_resend_spec *r = calloc(1, sizeof(*r));

	if (!r) {
		free(copy_request);
		return;
	}
	r->request = copy_request;
	str_copy(r->address, sizeof(r->address), str_of(spec->address));
	str_copy(r->header, sizeof(r->header), str_of(spec->header));
	r->path = spec->path;
	r->wait = wait;
	r->expires_at = c->sent_at + spec->timeout;
	r->due_at = c->sent_at + wait + resend_delay(c->p);
	c->resend = r;
	set_due(c->p, r->due_at);
}

static void forget_copy(struct pool_call *original, const struct pool_call *c)
{
	struct pool_resend_spec *r = original->resend;
	unsigned i;

	for (i = 0; i < POOL_COPIES_MAX; i++)
		if (r->copies[i] == c)
			r->copies[i] = NULL;
}

static void on_copy_done(struct pool_call *c, long status, const char *body,
			 size_t len)
{
	struct pool_call *original = c->original;

	if (!original)
		return;
	forget_copy(original, c);
	c->original = NULL;
	if (!status)
		return;
	if (original->on_done)
		original->on_done(original, status, body, len);
	original->on_done = NULL;
	pool_call_end(original, status, NULL, 0);
}

static void send_copy(struct pool_call *c)
{
	struct pool_resend_spec *r = c->resend;
	struct pool_call_spec spec = {
		.address = r->address,
		.path = r->path,
		.header = r->header,
		.request = strdup(r->request ? r->request : c->request),
		.timeout = r->expires_at - c->p->now,
		.on_done = on_copy_done,
	};
	struct pool_call *copy = pool_call_begin(c->p, &spec);

	copy->original = c;
	r->copies[r->ncopies++] = copy;
	c->p->resend.tokens -= 1;
	c->p->count.calls_resent++;
}

/* Sends the call again if it is due. Returns when it is due next, or -1. */
static rp_ms check_call(struct pool_call *c)
{
	struct pool *p = c->p;
	struct pool_resend_spec *r = c->resend;

	if (!r || !c->on_done || r->ncopies == POOL_COPIES_MAX)
		return -1;
	if (p->now >= r->due_at) {
		r->due_at = p->now + resend_delay(p);
		if (p->resend.tokens >= 1 && p->now < r->expires_at)
			send_copy(c);
	}
	return r->due_at < r->expires_at ? r->due_at : -1;
}

void pool_resend_tick(struct pool *p)
{
	struct pool_call *c;

	if (p->resend.due < 0 || p->now < p->resend.due)
		return;
	p->resend.due = -1;
	for (c = p->calls; c; c = c->next) {
		rp_ms due = check_call(c);

		if (due >= 0)
			set_due(p, due);
	}
}

rp_ms pool_resend_timeout(const struct pool *p)
{
	if (p->resend.due < 0)
		return -1;
	return p->resend.due > p->now ? p->resend.due - p->now : 0;
}

enum sched_reply_status pool_resend_status(const struct pool_call *c,
					   enum sched_reply_status status)
{
	int copied = c->resend && c->resend->ncopies;

	if (status == SCHED_REPLY_REFUSED && (copied || c->attempts > 1))
		return SCHED_REPLY_UNCERTAIN;
	return status;
}

int pool_resend_is_lossy(const struct pool_call *c)
{
	return c->resend && c->resend->ncopies && c->p->resend.loss > LOSS_MAX;
}

static void learn_reply_time(struct pool *p, double ms)
{
	double error = ms - p->resend.mean;

	p->resend.mean += MEAN_WEIGHT * error;
	p->resend.deviation += MEAN_WEIGHT * ((error < 0 ? -error : error) -
					      p->resend.deviation);
}

void pool_resend_ended(struct pool_call *c, long status)
{
	struct pool *p = c->p;
	struct pool_resend_spec *r = c->resend;
	unsigned i;

	if (c->original)
		forget_copy(c->original, c);
	if (!r)
		return;
	for (i = 0; i < POOL_COPIES_MAX; i++)
		if (r->copies[i])
			r->copies[i]->original = NULL;
	p->resend.loss += MEAN_WEIGHT *
			  ((r->ncopies || !status ? 1 : 0) - p->resend.loss);
	if (status && !r->ncopies && !r->wait)
		learn_reply_time(p, (double)(p->now - c->sent_at));
	if (status && p->resend.tokens < TOKENS_MAX)
		p->resend.tokens += TOKENS_PER_REPLY;
	free(r->request);
	free(r);
	c->resend = NULL;
}
