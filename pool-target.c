/* The scheduler's operations on the leader: calls to targets, answers. */

#include "pool.h"
#include "platform/platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REPLY_TIMEOUT_MIN_MS 60
#define REPLY_TIMEOUT_MAX_MS 300
#define REPLY_TIMEOUT_LAGS 5 /* added, in multiples of the loop's lag */

static struct pool *pool_of(struct sched *s)
{
	return s->user;
}

/*
 * Targets reply within a few ms, so that a lost call can be detected early. The
 * timeout grows with the lag of this VM's event loop, which must not be taken
 * for a lost call.
 */
rp_ms pool_reply_timeout(const struct pool *p)
{
	rp_ms ms = REPLY_TIMEOUT_MIN_MS + pool_resend_extra_time(p) +
		   (rp_ms)(REPLY_TIMEOUT_LAGS * p->lag);

	return ms < REPLY_TIMEOUT_MAX_MS ? ms : REPLY_TIMEOUT_MAX_MS;
}

/* --- calls that this VM makes itself ----------------------------------- */

static void on_http_reply(struct pool_call *c, long status, const char *body,
			  size_t len)
{
	struct platform_reply r;

	platform_parse_reply(&r, status, body, len);
	r.reply.sent_at = c->sent_at;
	r.reply.status = pool_resend_status(c, r.reply.status);
	r.reply.lossy = pool_resend_is_lossy(c);
	if (r.error[0])
		log_warn("target", ((struct sched_target *)c->user)->listing.id,
			 "%s", r.error);
	c->on_reply(c, &r.reply);
	platform_reply_finish(&r);
}

static struct pool_call *call_directly(struct pool *p, struct sched_target *t,
				       const char *path, char *request,
				       char *copy_request, int once, rp_ms wait,
				       pool_reply_cb *on_reply)
{
	char header[RP_NAME_MAX + 64];
	struct pool_call_spec spec = {
		.address = t->listing.address,
		.path = path,
		.header = header,
		.request = request,
		.timeout = wait + pool_reply_timeout(p),
		.fresh_connect = t->unanswered > 0,
		.once = once,
		.on_done = on_http_reply,
	};
	struct pool_call *c;

	snprintf(header, sizeof(header), "%s%s", PLATFORM_INCARNATION_HEADER,
		 t->listing.id);
	p->count.target_calls++;
	c = pool_call_begin(p, &spec);
	c->on_reply = on_reply;
	pool_resend_enable(c, &spec, wait, copy_request);
	return c;
}

/* --- calls of the scheduler ---------------------------------------------- */

static void log_reply(struct pool_call *c,
		      const struct sched_target_reply *reply)
{
	struct sched_target *t = c->user;

	if (reply->status == SCHED_REPLY_UNKNOWN)
		c->p->count.target_unanswered++;
	if (reply->status == SCHED_REPLY_OK ||
	    reply->status == SCHED_REPLY_REFUSED)
		return;
	LOG_EVENT(LOG_LEVEL_WARN, "target_reply",
		  LOG_TEXT("target", t->listing.id),
		  LOG_NUMBER("status", reply->status),
		  LOG_NUMBER("after_ms", c->p->now - c->sent_at),
		  LOG_TEXT("why", reply->reason),
		  LOG_TEXT("agent", c->agent ? c->agent->vm : ""),
		  LOG_TEXT("task", c->task));
}

static void on_start_reply(struct pool_call *c,
			   const struct sched_target_reply *reply)
{
	log_reply(c, reply);
	sched_start_reply(&c->p->sched, c->user, c->task, c->tag, reply,
			  c->p->now);
	c->p->dispatch_due = 1;
}

static void on_stop_reply(struct pool_call *c,
			  const struct sched_target_reply *reply)
{
	log_reply(c, reply);
	sched_stop_reply(&c->p->sched, c->user, c->task, c->tag, reply,
			 c->p->now);
	c->p->dispatch_due = 1;
}

static void on_hold_reply(struct pool_call *c,
			  const struct sched_target_reply *reply)
{
	log_reply(c, reply);
	sched_hold_reply(&c->p->sched, c->user, reply, c->p->now);
	c->p->dispatch_due = 1;
}

static void set_call(struct pool_call *c, struct sched_target *t,
		     struct rp_str task, uint32_t run)
{
	c->user = t;
	c->group = c->p->call_group;
	str_copy(c->task, sizeof(c->task), task);
	c->tag = run;
}

static void do_start(struct sched *s, struct sched_target *t,
		     struct sched_task *task, int64_t until)
{
	struct pool *p = pool_of(s);
	struct sched_job *job = task->job;
	struct pool_member *agent = pool_agent_for(p, t);
	struct rp_str name = str_of(task->name);
	PoolOrder order = POOL_ORDER__INIT;
	struct pool_call *c;

	if (job->owner_starts) {
		c = pool_start_send(p, pool_agent_for_start(p, t, job), task,
				    until, on_start_reply);
	} else if (agent) {
		order.kind = POOL_ORDER__KIND__START;
		order.task = task->name;
		order.run = task->run;
		order.lease_until = (uint64_t)until;
		order.specification.data = (uint8_t *)job->specification.ptr;
		order.specification.len = job->specification.len;
		c = pool_order_send(p, agent, t, &order, on_start_reply);
	} else {
		c = call_directly(p, t, PLATFORM_START_PATH,
				  platform_start_body(name, task->run,
						      job->specification, until,
						      s->fence),
				  NULL, 0, 0, on_start_reply);
	}
	set_call(c, t, name, task->run);
}

static void do_stop(struct sched *s, struct sched_target *t, struct rp_str task,
		    uint32_t run)
{
	struct pool *p = pool_of(s);
	struct pool_member *agent = pool_agent_for(p, t);
	PoolOrder order = POOL_ORDER__INIT;
	char name[SCHED_TASK_NAME_MAX];
	struct pool_call *c;

	if (agent) {
		str_copy(name, sizeof(name), task);
		order.kind = POOL_ORDER__KIND__STOP;
		order.task = name;
		order.run = run;
		c = pool_order_send(p, agent, t, &order, on_stop_reply);
	} else {
		c = call_directly(p, t, PLATFORM_STOP_PATH,
				  platform_stop_body(task, run, s->fence), NULL,
				  0, 0, on_stop_reply);
	}
	set_call(c, t, task, run);
}

static void do_hold(struct sched *s, struct sched_target *t, int64_t until,
		    uint64_t acked_end, rp_ms wait)
{
	struct pool *p = pool_of(s);
	struct pool_member *agent = pool_agent_for(p, t);
	PoolOrder order = POOL_ORDER__INIT;
	struct pool_call *c;

	if (agent) {
		order.kind = POOL_ORDER__KIND__HOLD;
		order.lease_until = (uint64_t)until;
		order.acked_end = acked_end;
		order.wait_ms = (uint32_t)wait;
		c = pool_order_send(p, agent, t, &order, on_hold_reply);
	} else {
		wait = pool_hold_wait(p, wait);
		c = call_directly(p, t, PLATFORM_HOLD_PATH,
				  platform_hold_body(until, s->fence, acked_end,
						     wait),
				  platform_hold_body(until, s->fence, 0, wait),
				  acked_end != 0, wait, on_hold_reply);
	}
	set_call(c, t, str_of(""), 0);
}

static uint64_t do_answer(struct sched *s, struct sched_job *job,
			  const PoolAnswer *answer)
{
	struct pool *p = pool_of(s);
	struct pool_member *m = job->stored ? NULL : job->owner;
	PoolAnswer sent = *answer;

	pool_log_job(s, job, answer);
	if (job->stored && job->owner)
		return pool_stored_answer(p, job, answer->outcome);
	if (!m)
		return 0;
	return pool_send_answer(p, m, &sent);
}

static uint64_t do_progress(struct sched *s, struct sched_job *job,
			    const struct sched_task *task)
{
	PoolProgress progress = POOL_PROGRESS__INIT;
	uint32_t index = (uint32_t)(task - job->tasks);

	if (job->stored && job->owner)
		return pool_stored_progress(pool_of(s), job, task);
	if (!job->owner || job->ndone + 1 == job->ntasks)
		return 0; /* the answer follows, which ends the job */
	progress.seq = job->seq;
	progress.n_done = 1;
	progress.done = &index;
	return pool_send_progress(pool_of(s), job->owner, &progress);
}

/* lead_fenced() may end the scheduler, so it is called after the events. */
static void do_fenced(struct sched *s, struct sched_target *t)
{
	LOG_EVENT(LOG_LEVEL_WARN, "fenced", LOG_TEXT("target", t->listing.id),
		  LOG_NUMBER("fence", (long long)s->fence));
	pool_of(s)->fenced = 1;
}

static void do_target_removed(struct sched *s, struct sched_target *t)
{
	struct pool *p = pool_of(s);
	struct pool_call *c;

	LOG_EVENT(LOG_LEVEL_INFO, "target_removed",
		  LOG_TEXT("target", t->listing.id));
	for (c = p->calls; c; c = c->next)
		if (c->user == t)
			c->on_done = NULL;
	pool_assignment_free(pool_of(s), t);
}

static const struct sched_ops sched_ops = {
	.start = do_start,
	.stop = do_stop,
	.hold = do_hold,
	.answer = do_answer,
	.fenced = do_fenced,
	.target_removed = do_target_removed,
	.progress = do_progress,
	.log = pool_log_run,
	.losses = pool_losses_send,
	.domains = pool_domains_send,
	.log_loss = pool_log_loss,
	.log_domain = pool_log_domain,
	.log_move = pool_log_move,
};

/* --- a partitioned failure domain ------------------------------------- */

#define REACHABILITY_TARGETS 4 /* of other failure domains, to be called */
#define REACHABILITY_TIMEOUT_MS 120

static void reachability_result(struct pool *p, int outside)
{
	lead_reachability_result(&p->lead, outside, p->now);
	if (p->leading)
		sched_suspend(&p->sched, !lead_may_act(&p->lead), p->now);
}

static void on_reachability_reply(struct pool_call *c, long status,
				  const char *body, size_t len)
{
	struct pool *p = c->p;

	(void)body;
	(void)len;
	if (c->tag != p->reachability_round)
		return;
	p->reachability_calls--;
	/* One reply is enough, or no reply to any call. */
	if (!status && p->reachability_calls)
		return;
	p->reachability_round++;
	LOG_EVENT(LOG_LEVEL_WARN, "reachability_checked",
		  LOG_NUMBER("outside_reachable", status != 0),
		  LOG_NUMBER("isolated", p->lead.isolated),
		  LOG_NUMBER("targets_known",
			     (long long)apr_hash_count(p->listings)));
	reachability_result(p, status != 0);
}

static void check_target(struct pool *p, const struct sched_listing *l)
{
	struct pool_call_spec spec = {
		.address = l->address,
		.path = PLATFORM_HEALTH_PATH,
		.timeout = REACHABILITY_TIMEOUT_MS,
		.fresh_connect = 1,
		.on_done = on_reachability_reply,
	};

	p->reachability_calls++;
	pool_call_begin(p, &spec)->tag = p->reachability_round;
}

/*
 * Distinguishes a VM that alone is cut off from the other VMs from a failure
 * domain that is partitioned. Such a VM still reaches targets in other domains,
 * and must leave them to the leader; VMs of a partitioned domain reach only its
 * own targets. If no target of another domain is known, the former is assumed.
 */
void pool_check_reachability(struct pool *p)
{
	apr_hash_index_t *i;
	void *value;

	p->reachability_round++;
	p->reachability_calls = 0;
	for (i = apr_hash_first(NULL, p->listings);
	     i && p->reachability_calls < REACHABILITY_TARGETS;
	     i = apr_hash_next(i)) {
		const struct pool_listing *e;

		apr_hash_this(i, NULL, NULL, &value);
		e = value;
		if (!e->removed &&
		    strcmp(e->l.failure_domain, p->set.failure_domain) != 0)
			check_target(p, &e->l);
	}
	if (!p->reachability_calls)
		reachability_result(p, 1);
}

void pool_sched_target_listed(struct pool *p, const struct sched_listing *l)
{
	if (!p->leading)
		return;
	if (!pool_leads_domain(p, l->failure_domain))
		return;
	sched_target_listed(&p->sched, l, p->now);
	p->dispatch_due = 1;
}

void pool_list_cached_target(struct pool *p, const struct pool_listing *e)
{
	struct sched_listing l = e->l;

	if (e->leaves_at)
		l.stays = e->leaves_at > p->now ? e->leaves_at - p->now : 1;
	pool_sched_target_listed(p, &l);
}

void pool_list_cached_targets(struct pool *p)
{
	apr_hash_index_t *i;
	void *value;

	for (i = apr_hash_first(NULL, p->listings); i; i = apr_hash_next(i)) {
		const struct pool_listing *e;

		apr_hash_this(i, NULL, NULL, &value);
		e = value;
		if (!e->removed)
			pool_list_cached_target(p, e);
	}
}

void pool_sched_begin(struct pool *p, uint64_t fence)
{
	const struct sched_policies names = {
		.order = p->set.order,
		.admit = p->set.admit,
		.place = p->set.place,
		.move = p->set.move,
		.hopeless = p->set.hopeless,
		.leave = p->set.leave,
	};

	/* The names were checked when the settings were read. */
	sched_init(&p->sched, &sched_ops, p, &names, fence, p->set.max_lease,
		   p->now);
	p->sched.budget = &p->budget;
	sched_set_remote_factor(&p->sched, p->set.remote_factor);
	sched_callers_waited_until(&p->sched, p->callers_wait_until);
	pool_stored_begin(p);
	pool_evacuations_begin(p);
	if (!lead_is_provisional(&p->lead))
		return;
	pool_list_cached_targets(p);
	sched_targets_cached(&p->sched);
}

void pool_sched_end(struct pool *p, const char *reason)
{
	size_t i;

	LOG_EVENT(LOG_LEVEL_INFO, "schedule_dropped", LOG_TEXT("why", reason),
		  LOG_NUMBER("jobs", (long long)p->sched.njobs),
		  LOG_NUMBER("fence", (long long)p->sched.fence));
	pool_requests_note_own_starts(p);
	pool_callers_wait_received(p, pool_callers_wait_ms(p));
	pool_calls_cancel(p, p->call_group++);
	for (i = 0; i < p->sched.ntargets; i++)
		pool_assignment_free(p, p->sched.targets[i]);
	sched_finish(&p->sched);
	pool_stored_end(p);
}
