/*
 * Calls to targets that other VMs make for the leader.
 *
 * Holds and stops go to the agent of the target. A start goes to the owner of
 * the job, which has the specification and passes it to the agent. The agent
 * sends the target's reply to the leader, without what its list before said.
 *
 * An order that is carried out late does no harm: the target refuses a lease
 * that is over, a lower fencing token, and a run that was stopped.
 */

#include "pool.h"

#include <stdlib.h>
#include <string.h>

struct pool_assignment *pool_assignment_of(struct sched_target *t)
{
	if (!t->user)
		t->user = calloc(1, sizeof(struct pool_assignment));
	return t->user;
}

/* The next order to its agent introduces the target with a new number. */
void pool_assignment_reset(struct pool *p, struct pool_assignment *a)
{
	apr_hash_set(p->targets_by_number, &a->number, sizeof(a->number), NULL);
	a->number = 0;
	pool_list_clear(&a->list);
}

void pool_assignment_free(struct pool *p, struct sched_target *t)
{
	struct pool_assignment *a = t->user;

	if (!a)
		return;
	pool_assignment_reset(p, a);
	pool_list_finish(&a->list);
	free(a);
	t->user = NULL;
}

/* Whether the agent was told of the target as it is now. */
static int is_introduced(const struct pool_assignment *a,
			 const struct sched_target *t)
{
	return a->number && a->incarnation == t->incarnation &&
	       !strcmp(a->address, t->listing.address);
}

static void introduce(struct pool *p, struct pool_assignment *a,
		      struct sched_target *t, PoolOrder *order)
{
	pool_assignment_reset(p, a);
	a->number = ++p->last_target_number;
	a->incarnation = t->incarnation;
	str_copy(a->address, sizeof(a->address), str_of(t->listing.address));
	apr_hash_set(p->targets_by_number, &a->number, sizeof(a->number), t);
	order->id = t->listing.id;
	order->address = pool_address_pack(t->listing.address);
}

static void on_no_reply(struct pool_call *c, long status, const char *body,
			size_t len)
{
	struct sched_target_reply reply = { .status = SCHED_REPLY_UNKNOWN,
					    .reason = "",
					    .sent_at = c->sent_at };

	(void)status;
	(void)body;
	(void)len;
	c->on_reply(c, &reply);
}

struct pool_call *pool_ordered_call_new(struct pool *p,
					struct pool_member *agent, rp_ms wait,
					pool_reply_cb *on_reply)
{
	static const struct pool_call_spec spec = { .on_done = on_no_reply };
	struct pool_call *c = pool_call_new(p, &spec);

	c->agent = agent;
	c->seq = ++p->agent_call_seq;
	c->expires_at = p->now + wait + POOL_ORDER_TIMEOUT_MS;
	c->on_reply = on_reply;
	apr_hash_set(p->agent_calls, &c->seq, sizeof(c->seq), c);
	p->count.agent_calls++;
	return c;
}

uint64_t pool_token_to_send(const struct pool *p, uint64_t *sent)
{
	if (*sent == p->lead.row.fence)
		return 0;
	*sent = p->lead.row.fence;
	return *sent;
}

struct pool_call *pool_order_send(struct pool *p, struct pool_member *agent,
				  struct sched_target *t, PoolOrder *order,
				  pool_reply_cb *on_reply)
{
	struct pool_assignment *a = pool_assignment_of(t);
	PoolFrame frame = POOL_FRAME__INIT;
	struct pool_call *c = pool_ordered_call_new(
		p, agent, (rp_ms)order->wait_ms, on_reply);

	if (!is_introduced(a, t))
		introduce(p, a, t, order);
	order->seq = c->seq;
	order->target = a->number;
	order->fence = pool_token_to_send(p, &agent->sent_order_fence);
	frame.body_case = POOL_FRAME__BODY_ORDER;
	frame.order = order;
	pool_link_send(agent->link, &frame);
	return c;
}

/* --- replies ----------------------------------------------------------- */

/*
 * Decodes the lists of a hold. Each list of a number of a target has to be
 * decoded, also when the call has expired, as the next refers to it.
 */
static int decode_lists(struct pool *p, struct pool_list_reply *r,
			const PoolReply *msg, struct sched_target *t)
{
	struct pool_assignment *a = pool_assignment_of(t);

	if (!pool_list_decode(r, &a->list, msg))
		return 0;
	log_error("agent", t->listing.id, "inconsistent list");
	pool_assignment_reset(p, a);
	return -1;
}

/* Whether the VM was asked to make the call, or to pass it on. */
static int may_reply(const struct pool_call *c, const struct pool_member *m)
{
	return c->agent == m || c->owner == m;
}

static void end_ordered_call(struct pool_call *c,
			     const struct sched_target_reply *reply)
{
	apr_hash_set(c->p->agent_calls, &c->seq, sizeof(c->seq), NULL);
	if (c->on_done && reply)
		c->on_reply(c, reply);
	if (reply)
		c->on_done = NULL;
	pool_call_end(c, 0, NULL, 0);
}

void pool_reply_received(struct pool *p, struct pool_member *m,
			 const PoolReply *msg)
{
	struct pool_list_reply r = { .reply = { .reason = msg->reason } };
	struct pool_call *c =
		apr_hash_get(p->agent_calls, &msg->seq, sizeof(msg->seq));
	struct sched_target *t = NULL;

	r.reply.status = msg->status <= SCHED_REPLY_UNCERTAIN
				 ? (enum sched_reply_status)msg->status
				 : SCHED_REPLY_UNKNOWN;
	r.reply.clock = (int64_t)msg->clock;
	r.reply.incarnation = (int64_t)msg->incarnation;
	r.reply.lossy = msg->lossy;
	if (msg->target) {
		t = apr_hash_get(p->targets_by_number, &msg->target,
				 sizeof(msg->target));
		if (!t || decode_lists(p, &r, msg, t) < 0)
			r.reply.status = SCHED_REPLY_UNKNOWN;
	}
	if (c && may_reply(c, m)) {
		r.reply.sent_at = c->sent_at;
		end_ordered_call(c, &r.reply);
	}
	/*
	 * After the reply was handled, as its names may be those of the list.
	 * The target may have a new number since.
	 */
	if (t && r.runs && pool_assignment_of(t)->number == msg->target)
		pool_list_set(&pool_assignment_of(t)->list, &r.reply);
	pool_list_reply_finish(&r);
}

void pool_orders_unanswered(struct pool *p, const struct pool_member *m)
{
	struct pool_call *c;

	pool_starts_forget(p, m);
	for (c = p->calls; c; c = c->next) {
		if (c->agent == m || c->owner == m)
			c->expires_at = p->now;
		if (c->agent == m)
			c->agent = NULL;
		if (c->owner == m)
			c->owner = NULL;
	}
}

void pool_orders_tick(struct pool *p, rp_ms now)
{
	struct pool_call *c, *next;

	for (c = p->calls; c; c = next) {
		next = c->next;
		if (!c->on_reply || !c->expires_at || now < c->expires_at)
			continue;
		p->count.agent_unanswered++;
		end_ordered_call(c, NULL);
	}
}
