/*
 * Calls to targets that other VMs make for the leader.
 *
 * A call costs several times the processor time of the decision behind it.
 * With more targets than it can call itself, the leader leaves them to agents:
 * the larger VMs, each for targets of its own failure domain. An agent only
 * passes on; what it does not answer counts as any unanswered call, and the
 * next one is made by the leader itself.
 */

#include "pool.h"

#include <stdlib.h>
#include <string.h>

#define DIRECT_A_CORE 400   /* targets that a leader calls itself */
#define AGENT_SHARE 2	    /* of the leader's processor, at least one part */
#define BALANCE_MS 1000	    /* between looks at how targets are divided */
#define UNEVEN 1.5	    /* times the least load, and more by */
#define LEAST_LOAD 0.01	    /* targets for a thousandth of a core */
#define AGENT_SILENT_MS 300 /* a silent agent is not asked */
#define AGENT_ANSWER_MS 500 /* it answers within, beyond the call's wait */

static int calls_all(const struct pool *p)
{
	return (int64_t)p->sched.ntargets * 1000 <=
	       DIRECT_A_CORE * pool_processor(p);
}

static int is_agent(const struct pool *p, const struct pool_member *m)
{
	return m->link && p->now - m->link->received_at < AGENT_SILENT_MS &&
	       m->processor * AGENT_SHARE >= pool_processor(p);
}

static int is_near(const struct pool_member *m, const struct sched_target *t)
{
	return !strcmp(m->failure_domain, t->is.failure_domain);
}

/* Targets left to the member, by its processor. */
static double load_of(const struct pool_member *m)
{
	return (double)m->assigned_targets / (double)m->processor;
}

static struct pool_member *choose(struct pool *p, const struct sched_target *t)
{
	struct pool_member *m, *best = NULL;
	double least = 0;

	for (m = p->members; m; m = m->next) {
		double load;

		if (!is_agent(p, m) ||
		    (best && is_near(best, t) > is_near(m, t)))
			continue;
		load = load_of(m);
		if (best && is_near(best, t) == is_near(m, t) && load >= least)
			continue;
		best = m;
		least = load;
	}
	return best;
}

static void assign(struct sched_target *t, struct pool_member *m)
{
	t->user = m;
	if (m)
		m->assigned_targets++;
}

struct pool_member *pool_agent_for(struct pool *p, struct sched_target *t)
{
	if (t->unanswered || calls_all(p))
		return NULL;
	if (!t->user || !is_agent(p, t->user))
		assign(t, choose(p, t));
	return t->user;
}

static void count_carried(struct pool *p)
{
	struct pool_member *m;
	size_t i;

	for (m = p->members; m; m = m->next)
		m->assigned_targets = 0;
	for (i = 0; i < p->sched.ntargets; i++)
		if ((m = p->sched.targets[i]->user))
			m->assigned_targets++;
}

/*
 * VMs join one after the other: who came first has all targets then. Each
 * target that moves costs a new connection.
 */
static void balance(struct pool *p)
{
	size_t i;

	count_carried(p);
	for (i = 0; i < p->sched.ntargets; i++) {
		struct sched_target *t = p->sched.targets[i];
		struct pool_member *m = t->user, *best;

		best = m ? choose(p, t) : NULL;
		if (!best || best == m ||
		    (is_near(best, t) == is_near(m, t) &&
		     load_of(m) < UNEVEN * load_of(best) + LEAST_LOAD))
			continue;
		m->assigned_targets--;
		assign(t, best);
	}
}

struct pool_call *pool_agent_call(struct pool *p, struct pool_member *m,
				  const struct pool_call_spec *spec, rp_ms wait)
{
	struct pool_call *c = pool_call_new(p, spec);
	PoolFrame frame = POOL_FRAME__INIT;
	PoolCall call = POOL_CALL__INIT;

	c->agent = m;
	c->seq = ++p->agent_call_seq;
	c->fence = p->lead.row.fence;
	c->expires_at = p->now + wait + AGENT_ANSWER_MS;
	apr_hash_set(p->agent_calls, &c->seq, sizeof(c->seq), c);
	p->count.agent_calls++;
	call.fence = c->fence;
	call.seq = c->seq;
	call.address = (char *)spec->address;
	call.path = (char *)spec->path;
	call.header = (char *)spec->header;
	call.request.data = (uint8_t *)c->request;
	call.request.len = strlen(c->request);
	call.wait_ms = (uint32_t)wait;
	frame.body_case = POOL_FRAME__BODY_CALL;
	frame.call = &call;
	pool_link_send(m->link, &frame);
	return c;
}

static void end_call(struct pool_call *c, long status, const char *body,
		     size_t len)
{
	apr_hash_set(c->p->agent_calls, &c->seq, sizeof(c->seq), NULL);
	pool_call_end(c, status, body, len);
}

void pool_agent_reply_received(struct pool *p, struct pool_member *m,
			       const PoolReply *reply)
{
	struct pool_call *c =
		apr_hash_get(p->agent_calls, &reply->seq, sizeof(reply->seq));

	/* Another leader's number may be the same. */
	if (c && c->agent == m && c->fence == reply->fence)
		end_call(c, reply->status, (char *)reply->body.data,
			 reply->body.len);
}

void pool_agent_lost(struct pool *p, struct pool_member *m)
{
	struct pool_call *c;
	size_t i;

	for (c = p->calls; c; c = c->next)
		if (c->agent == m)
			c->expires_at = p->now;
	for (i = 0; p->leading && i < p->sched.ntargets; i++)
		if (p->sched.targets[i]->user == m)
			p->sched.targets[i]->user = NULL;
}

void pool_agent_tick(struct pool *p, rp_ms now)
{
	struct pool_call *c, *next;

	if (p->leading && now - p->balanced_at >= BALANCE_MS) {
		p->balanced_at = now;
		balance(p);
	}
	for (c = p->calls; c; c = next) {
		next = c->next;
		if (!c->agent || now < c->expires_at)
			continue;
		p->count.agent_unanswered++;
		end_call(c, 0, NULL, 0);
	}
}

/* --- the agent's side ------------------------------------------------- */

static void on_answer(struct pool_call *c, long status, const char *body,
		      size_t len)
{
	struct pool *p = c->p;
	PoolFrame frame = POOL_FRAME__INIT;
	PoolReply reply = POOL_REPLY__INIT;

	if (!p->to_leader)
		return;
	reply.fence = c->fence;
	reply.seq = c->seq;
	reply.status = (uint32_t)status;
	reply.body.data = (uint8_t *)body;
	reply.body.len = len;
	frame.body_case = POOL_FRAME__BODY_REPLY;
	frame.reply = &reply;
	pool_link_send(p->to_leader, &frame);
}

void pool_agent_call_received(struct pool *p, const PoolCall *call)
{
	struct pool_call_spec spec = {
		.address = call->address,
		.path = call->path,
		.header = call->header,
		.request =
			strndup((char *)call->request.data, call->request.len),
		.timeout = (rp_ms)call->wait_ms + pool_reply_timeout(p),
		.on_done = on_answer,
	};
	struct pool_call *c;

	p->count.target_calls++;
	c = pool_call_begin(p, &spec);
	c->fence = call->fence;
	c->seq = call->seq;
}
