/*
 * Starts of tasks on the entry VM that owns their job.
 *
 * The owner keeps the specification of a job. It passes the starts that the
 * leader asks for, with the specification, over a link of its own to the agents
 * of the targets. An agent gets the specification once for all tasks that the
 * leader starts together.
 */

#include "pool-request.h"

#include <stdlib.h>

/* Time for an agent to acknowledge that it has received a start. */
#define AGENT_ACK_TIMEOUT_MS 300

void pool_owner_keep_specification(const struct pool *p, PoolSubmit *sub)
{
	struct rp_str s = { (char *)sub->specification.data,
			    sub->specification.len };

	sub->specification_hash = 0;
	if (p->leading || !p->leader_heartbeat || !p->leader_heartbeat->agents)
		return;
	sub->specification_hash = str_hash(s);
	if (!sub->specification_hash)
		sub->specification_hash = 1; /* 0 stands for none */
	sub->specification.len = 0;
}

static struct pool_link *find_link(struct pool *p, uint64_t agent)
{
	struct pool_link *l;

	for (l = p->links; l; l = l->next)
		if (l->starts && !l->inbound && !l->closed &&
		    l->agent_address == agent)
			return l;
	return NULL;
}

static struct pool_link *link_to(struct pool *p, uint64_t agent)
{
	struct pool_link *l = find_link(p, agent);
	char address[RP_ADDRESS_MAX];

	if (l)
		return l;
	pool_address_unpack(agent, address);
	l = pool_link_dial(p, address, address, POOL_LINK_STARTS);
	if (l)
		l->agent_address = agent;
	return l;
}

/* Returns why the run cannot be passed on, or NULL. */
static const char *send_run(struct pool *p, uint64_t agent, PoolRun *run)
{
	PoolFrame frame = POOL_FRAME__INIT;
	struct pool_link *l;

	if (!agent || agent == pool_address_pack(p->set.link_address)) {
		pool_agent_run(p, run);
		return NULL;
	}
	l = link_to(p, agent);
	if (!l)
		return "no link to the agent";
	frame.body_case = POOL_FRAME__BODY_RUN;
	frame.run = run;
	pool_link_send(l, &frame);
	if (l->runs_sent++ == l->runs_acked)
		l->unacked_since = p->now;
	return NULL;
}

static void not_made(struct pool *p, const char *id, uint32_t seq,
		     const char *target, const char *why)
{
	LOG_EVENT(LOG_LEVEL_INFO, "start_not_made", LOG_TEXT("id", id),
		  LOG_TEXT("target", target), LOG_TEXT("why", why));
	pool_agent_send_status(p, seq, SCHED_REPLY_NOT_SENT, why);
}

/* Returns 0 if the job has no such task. */
static int fill_task(PoolRunTask *to, const PoolStartTask *from,
		     const PoolSubmit *sub)
{
	pool_run_task__init(to);
	if (!sched_task_position(sub, from->task, &to->step, &to->index))
		return 0;
	to->seq = from->seq;
	to->run = from->run;
	to->lease_until = from->lease_until;
	to->target = from->target;
	to->target_address = from->target_address;
	return 1;
}

/* Passes on all tasks of the message that have the agent of its task i. */
static void pass_on(struct pool *p, const PoolStart *start, size_t i,
		    PoolRun *run, const PoolSubmit *sub, PoolRunTask *tasks)
{
	uint64_t agent = start->tasks[i]->agent;
	const char *why;
	size_t j;

	run->n_tasks = 0;
	for (j = i; j < start->n_tasks; j++) {
		PoolStartTask *from = start->tasks[j];

		if (from->agent != agent)
			continue;
		if (fill_task(&tasks[j], from, sub))
			run->tasks[run->n_tasks++] = &tasks[j];
		else
			not_made(p, sub->id, from->seq, from->target,
				 "no such task");
	}
	why = run->n_tasks ? send_run(p, agent, run) : NULL;
	for (j = 0; why && j < run->n_tasks; j++)
		not_made(p, sub->id, run->tasks[j]->seq, run->tasks[j]->target,
			 why);
}

static int is_first_of_agent(const PoolStart *start, size_t i)
{
	size_t j;

	for (j = 0; j < i; j++)
		if (start->tasks[j]->agent == start->tasks[i]->agent)
			return 0;
	return 1;
}

void pool_start_received(struct pool *p, const PoolStart *start)
{
	struct pool_request *r = pool_request_find(p, start->job);
	PoolRun run = POOL_RUN__INIT;
	PoolRunTask *tasks;
	size_t i;

	if (start->fence)
		p->start_fence = start->fence;
	for (i = 0; !r && i < start->n_tasks; i++)
		not_made(p, "", start->tasks[i]->seq, start->tasks[i]->target,
			 "the job is over");
	if (!r) {
		/* It was cancelled while no link to the leader was up. */
		pool_send_cancel(p, start->job);
		return;
	}
	pool_request_may_be_started(r);
	pool_request_add_domains(r, start->domains, start->n_domains);
	tasks = calloc(start->n_tasks + 1, sizeof(*tasks));
	run.tasks = calloc(start->n_tasks + 1, sizeof(*run.tasks));
	run.fence = p->start_fence;
	run.asked_at = start->asked_at;
	run.id = r->submit->id;
	run.specification = r->submit->specification;
	for (i = 0; i < start->n_tasks; i++)
		if (is_first_of_agent(start, i))
			pass_on(p, start, i, &run, r->submit, tasks);
	free(tasks);
	free(run.tasks);
}

void pool_runs_acked(struct pool_link *l, uint64_t received)
{
	if (received <= l->runs_acked || received > l->runs_sent)
		return;
	l->runs_acked = received;
	l->unacked_since = received < l->runs_sent ? l->p->now : 0;
}

void pool_send_run_acks(struct pool *p)
{
	PoolFrame frame = POOL_FRAME__INIT;
	PoolHeard heard = POOL_HEARD__INIT;
	struct pool_link *l;

	frame.body_case = POOL_FRAME__BODY_HEARD;
	frame.heard = &heard;
	for (l = p->links; l; l = l->next) {
		if (l->closed || !l->starts)
			continue;
		if (!l->inbound && l->unacked_since &&
		    p->now - l->unacked_since > AGENT_ACK_TIMEOUT_MS)
			pool_link_close(l, "the agent does not acknowledge");
		if (!l->inbound || l->runs_acked == l->runs_received)
			continue;
		heard.mark = l->runs_acked = l->runs_received;
		pool_link_send(l, &frame);
	}
}
