/*
 * Starts that the leader asks the owners of jobs for.
 *
 * All starts of a job that the scheduler decides together go into one message.
 */

#include "pool.h"

#include <string.h>

void pool_starts_flush(struct pool *p)
{
	struct pool_starts *s = &p->starts;
	PoolFrame frame = POOL_FRAME__INIT;
	PoolStart start = POOL_START__INIT;

	if (s->n && s->owner && s->owner->link) {
		start.job = s->job;
		start.asked_at = (uint64_t)p->now;
		start.fence =
			pool_token_to_send(p, &s->owner->sent_start_fence);
		start.tasks = s->ptrs;
		start.n_tasks = s->n;
		start.domains = s->domain_ptrs;
		start.n_domains = s->ndomains;
		frame.body_case = POOL_FRAME__BODY_START;
		frame.start = &start;
		pool_link_send(s->owner->link, &frame);
	}
	s->n = s->ndomains = 0;
	s->owner = NULL;
}

static void add_domain(struct pool_starts *s, const char *domain)
{
	size_t i;

	for (i = 0; i < s->ndomains; i++)
		if (!strcmp(s->domains[i], domain))
			return;
	str_copy(s->domains[i], RP_NAME_MAX, str_of(domain));
	s->domain_ptrs[i] = s->domains[i];
	s->ndomains++;
}

void pool_starts_forget(struct pool *p, const struct pool_member *owner)
{
	if (p->starts.owner == owner)
		p->starts.owner = NULL;
}

struct pool_call *pool_start_send(struct pool *p, struct pool_member *agent,
				  struct sched_task *task, int64_t lease_until,
				  pool_reply_cb *on_reply)
{
	struct sched_job *job = task->job;
	struct sched_target *t = task->target;
	struct pool_starts *s = &p->starts;
	struct pool_call *c = pool_ordered_call_new(p, agent, 0, on_reply);
	PoolStartTask *msg;

	if (s->n == POOL_STARTS_MAX || s->owner != job->owner ||
	    s->job != job->seq)
		pool_starts_flush(p);
	s->owner = c->owner = job->owner;
	s->job = job->seq;
	msg = s->ptrs[s->n] = &s->tasks[s->n];
	pool_start_task__init(msg);
	msg->seq = c->seq;
	msg->task = (uint32_t)(task - job->tasks);
	msg->run = task->run;
	msg->lease_until = (uint64_t)lease_until;
	msg->target = s->targets[s->n];
	str_copy(msg->target, RP_NAME_MAX, str_of(t->listing.id));
	msg->target_address = pool_address_pack(t->listing.address);
	msg->agent = agent && agent != job->owner
			     ? pool_address_pack(agent->address)
			     : 0;
	s->n++;
	/* None if the job ends before it matters. */
	if (job->ndomains)
		add_domain(s, t->listing.failure_domain);
	return c;
}
