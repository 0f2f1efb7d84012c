/*
 * Assignment of targets to agents, the VMs that call them for the leader.
 *
 * A call costs several times the processor time of the decision to make it.
 * A leader with more targets than it can call itself assigns them to agents:
 * members with enough processor, preferably in the target's failure domain.
 * A call that an agent does not answer counts as unanswered by the target, and
 * the leader makes the next call to that target itself.
 */

#include "pool.h"

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

int pool_needs_agents(const struct pool *p)
{
	return (int64_t)p->sched.ntargets * 1000 >
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

static void assign_agent(struct pool *p, struct sched_target *t,
			 struct pool_member *m)
{
	struct pool_assignment *a = pool_assignment_of(t);

	if (a->agent != m)
		pool_assignment_reset(p, a);
	a->agent = m;
	if (m)
		m->assigned_targets++;
}

struct pool_member *pool_agent_for(struct pool *p, struct sched_target *t)
{
	struct pool_assignment *a = pool_assignment_of(t);

	if (t->unanswered || !pool_needs_agents(p))
		return NULL;
	if (!a->agent || !is_agent(p, a->agent))
		assign_agent(p, t, choose_agent(p, t));
	return a->agent;
}

/* Spreads the jobs over the agents of a failure domain. */
static uint64_t preference(const struct pool_member *m,
			   const struct sched_job *job)
{
	uint64_t hash = str_hash(str_of(m->vm)) ^ str_hash(str_of(job->id));

	return hash * 0x9e3779b97f4a7c15u;
}

struct pool_member *pool_agent_for_start(struct pool *p, struct sched_target *t,
					 const struct sched_job *job)
{
	struct pool_member *m, *best = NULL;

	if (!pool_needs_agents(p))
		return NULL;
	for (m = p->members; m; m = m->next) {
		if (!is_agent(p, m) || !same_domain(m, t))
			continue;
		if (m == job->owner)
			return m;
		if (!best || preference(m, job) < preference(best, job))
			best = m;
	}
	return best ? best : pool_agent_for(p, t);
}

static void count_assigned(struct pool *p)
{
	struct pool_member *m;
	size_t i;

	for (m = p->members; m; m = m->next)
		m->assigned_targets = 0;
	for (i = 0; i < p->sched.ntargets; i++)
		if ((m = pool_assignment_of(p->sched.targets[i])->agent))
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
		struct pool_member *m = pool_assignment_of(t)->agent, *best;

		best = m ? choose_agent(p, t) : NULL;
		if (!best || best == m ||
		    (same_domain(best, t) == same_domain(m, t) &&
		     load_of(m) < MOVE_RATIO * load_of(best) + MOVE_MARGIN))
			continue;
		m->assigned_targets--;
		assign_agent(p, t, best);
	}
}

void pool_agent_unavailable(struct pool *p, struct pool_member *m)
{
	size_t i;

	pool_orders_unanswered(p, m);
	m->sent_order_fence = m->sent_start_fence = 0;
	for (i = 0; p->leading && i < p->sched.ntargets; i++) {
		struct pool_assignment *a =
			pool_assignment_of(p->sched.targets[i]);

		if (a->agent != m)
			continue;
		pool_assignment_reset(p, a);
		a->agent = NULL;
	}
}

void pool_agents_tick(struct pool *p, rp_ms now)
{
	if (!p->leading || now - p->balanced_at < REBALANCE_INTERVAL_MS)
		return;
	p->balanced_at = now;
	rebalance(p);
}
