/*
 * Calls to targets that other VMs, the agents, make for the leader.
 *
 * A call costs several times the processor time of the decision to make it.
 * A leader with more targets than it can call itself assigns them to agents:
 * members with enough processor, preferably in the target's failure domain.
 * An agent makes the call and returns the reply. A call that it does not
 * answer counts as unanswered by the target, and the leader makes the next
 * call to that target itself.
 */

#include "pool.h"

#include <stdlib.h>
#include <string.h>

/* Targets that a leader calls itself, without agents. */
#define DIRECT_TARGETS_PER_CORE 400
/* An agent has at least the leader's processor divided by this. */
#define AGENT_PROCESSOR_DIVISOR 2
#define REBALANCE_INTERVAL_MS 1000
/*
 * A target moves to another agent in the same failure domain when the load of
 * its own agent is at least MOVE_RATIO times the other's plus MOVE_MARGIN. Load
 * is in targets per thousandth of a core.
 */
#define MOVE_RATIO 1.5
#define MOVE_MARGIN 0.01
/* Silence after which a member is no longer used as an agent. */
#define AGENT_SILENCE_MS 300
/* Time for the agent's reply, in addition to the wait of the call. */
#define AGENT_REPLY_TIMEOUT_MS 500

/* Whether the leader has the processor to call all targets itself. */
static int needs_no_agents(const struct pool *p)
{
	return (int64_t)p->sched.ntargets * 1000 <=
	       DIRECT_TARGETS_PER_CORE * pool_processor(p);
}

static int is_agent(const struct pool *p, const struct pool_member *m)
{
	return m->link && p->now - m->link->received_at < AGENT_SILENCE_MS &&
	       m->processor * AGENT_PROCESSOR_DIVISOR >= pool_processor(p);
}

static int same_domain(const struct pool_member *m,
		       const struct sched_target *t)
{
	return !strcmp(m->failure_domain, t->listing.failure_domain);
}

/* Assigned targets per thousandth of a core. */
static double load_of(const struct pool_member *m)
{
	return (double)m->assigned_targets / (double)m->processor;
}

/* The agent in the target's failure domain, or else any, with least load. */
static struct pool_member *choose_agent(struct pool *p,
					const struct sched_target *t)
{
	struct pool_member *m, *best = NULL;
	double least = 0;

	for (m = p->members; m; m = m->next) {
		double load;

		if (!is_agent(p, m) ||
		    (best && same_domain(best, t) > same_domain(m, t)))
			continue;
		load = load_of(m);
		if (best && same_domain(best, t) == same_domain(m, t) &&
		    load >= least)
			continue;
		best = m;
		least = load;
	}
	return best;
}

static void assign_agent(struct sched_target *t, struct pool_member *m)
{
	t->user = m;
	if (m)
		m->assigned_targets++;
}

struct pool_member *pool_agent_for(struct pool *p, struct sched_target *t)
{
	if (t->unanswered || needs_no_agents(p))
		return NULL;
	if (!t->user || !is_agent(p, t->user))
		assign_agent(t, choose_agent(p, t));
	return t->user;
}

static void count_assigned(struct pool *p)
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
 * Moves targets to agents of their own failure domain and to less loaded ones.
 * Without it the first agent to join would keep all targets. Targets of agents
 * with similar loads stay, as each move costs a new connection.
 */
static void rebalance(struct pool *p)
{
	size_t i;

	count_assigned(p);
	for (i = 0; i < p->sched.ntargets; i++) {
		struct sched_target *t = p->sched.targets[i];
		struct pool_member *m = t->user, *best;

		best = m ? choose_agent(p, t) : NULL;
		if (!best || best == m ||
		    (same_domain(best, t) == same_domain(m, t) &&
		     load_of(m) < MOVE_RATIO * load_of(best) + MOVE_MARGIN))
			continue;
		m->assigned_targets--;
		assign_agent(t, best);
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
	c->expires_at = p->now + wait + AGENT_REPLY_TIMEOUT_MS;
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

static void end_agent_call(struct pool_call *c, long status, const char *body,
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

	/* A call of another leader may have the same number. */
	if (c && c->agent == m && c->fence == reply->fence)
		end_agent_call(c, reply->status, (char *)reply->body.data,
			       reply->body.len);
}

void pool_agent_unavailable(struct pool *p, struct pool_member *m)
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

	if (p->leading && now - p->balanced_at >= REBALANCE_INTERVAL_MS) {
		p->balanced_at = now;
		rebalance(p);
	}
	for (c = p->calls; c; c = next) {
		next = c->next;
		if (!c->agent || now < c->expires_at)
			continue;
		p->count.agent_unanswered++;
		end_agent_call(c, 0, NULL, 0);
	}
}

/* --- on the agent ----------------------------------------------------- */

static void on_target_reply(struct pool_call *c, long status, const char *body,
			    size_t len)
{
	struct pool *p = c->p;
	PoolFrame frame = POOL_FRAME__INIT;
	PoolReply reply = POOL_REPLY__INIT;

	if (!p->leader_link)
		return;
	reply.fence = c->fence;
	reply.seq = c->seq;
	reply.status = (uint32_t)status;
	reply.body.data = (uint8_t *)body;
	reply.body.len = len;
	frame.body_case = POOL_FRAME__BODY_REPLY;
	frame.reply = &reply;
	pool_link_send(p->leader_link, &frame);
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
		.on_done = on_target_reply,
	};
	struct pool_call *c;

	p->count.target_calls++;
	c = pool_call_begin(p, &spec);
	c->fence = call->fence;
	c->seq = call->seq;
}
