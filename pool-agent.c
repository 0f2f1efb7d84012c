/*
 * Calls that this VM makes for the leader, as the agent of a target, or as the
 * owner of a job of a target that has no agent.
 *
 * A reply refers to the list that was sent before, so that a list that has not
 * changed costs no bytes.
 */

#include "pool.h"
#include "platform/platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A target that this VM calls for its leader. */
struct agent_target {
	uint32_t number; /* the leader's number for it */
	char id[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	struct pool_list list; /* that was sent last */
};

void pool_agent_init(struct pool *p)
{
	p->agent_targets = hash_new(p->pool);
}

void pool_agent_reset(struct pool *p)
{
	apr_hash_index_t *i;
	void *value;

	for (i = apr_hash_first(NULL, p->agent_targets); i;
	     i = apr_hash_next(i)) {
		struct agent_target *t;

		apr_hash_this(i, NULL, NULL, &value);
		t = value;
		apr_hash_set(p->agent_targets, &t->number, sizeof(t->number),
			     NULL);
		pool_list_finish(&t->list);
		free(t);
	}
	p->order_fence = p->start_fence = 0;
}

static struct agent_target *find_target(struct pool *p, uint32_t number)
{
	return apr_hash_get(p->agent_targets, &number, sizeof(number));
}

static struct agent_target *add_target(struct pool *p, const PoolOrder *order)
{
	struct agent_target *t = find_target(p, order->target);

	if (!t) {
		t = calloc(1, sizeof(*t));
		t->number = order->target;
		apr_hash_set(p->agent_targets, &t->number, sizeof(t->number),
			     t);
	}
	str_copy(t->id, sizeof(t->id), str_of(order->id));
	pool_address_unpack(order->address, t->address);
	return t;
}

/* --- replies to the leader ---------------------------------------------- */

static void send_reply(struct pool *p, PoolReply *msg)
{
	PoolFrame frame = POOL_FRAME__INIT;

	frame.body_case = POOL_FRAME__BODY_REPLY;
	frame.reply = msg;
	pool_link_send(p->leader_link, &frame);
}

void pool_agent_send_status(struct pool *p, uint32_t seq,
			    enum sched_reply_status status, const char *reason)
{
	PoolReply msg = POOL_REPLY__INIT;

	if (!p->leader_link)
		return;
	msg.seq = seq;
	msg.status = status;
	msg.reason = (char *)reason;
	send_reply(p, &msg);
}

static void log_reply_error(const struct pool_call *c, long status,
			    const struct platform_reply *r)
{
	if (status && !r->error[0])
		return;
	LOG_EVENT(LOG_LEVEL_WARN, "agent_call_failed",
		  LOG_TEXT("task", c->task), LOG_NUMBER("target", c->tag),
		  LOG_NUMBER("status", status),
		  LOG_NUMBER("after_ms", c->p->now - c->sent_at),
		  LOG_TEXT("why", r->error));
}

static void on_target_reply(struct pool_call *c, long status, const char *body,
			    size_t len)
{
	struct pool *p = c->p;
	struct agent_target *t = c->tag ? find_target(p, c->tag) : NULL;
	PoolReply msg = POOL_REPLY__INIT;
	struct pool_list_message lists;
	struct platform_reply r;

	/* The leader has given up calls of a link that was replaced. */
	if (!p->leader_link || p->leader_link->number != c->link_number)
		return;
	platform_parse_reply(&r, status, body, len);
	log_reply_error(c, status, &r);
	msg.seq = (uint32_t)c->seq;
	msg.status = pool_resend_status(c, r.reply.status);
	msg.lossy = pool_resend_is_lossy(c);
	msg.reason = (char *)r.reply.reason;
	msg.clock = (uint64_t)r.reply.clock;
	msg.incarnation = (uint64_t)r.reply.incarnation;
	pool_list_message_init(&lists, &r.reply);
	if (t && r.reply.status == SCHED_REPLY_OK) {
		msg.target = t->number;
		pool_list_encode(&lists, &t->list, &r.reply, &msg);
	}
	send_reply(p, &msg);
	pool_list_message_finish(&lists);
	platform_reply_finish(&r);
}

/* --- calls -------------------------------------------------------------- */

static struct pool_call *call_target(struct pool *p, const char *id,
				     const char *address, const char *path,
				     char *request, char *copy_request,
				     int once, rp_ms wait)
{
	char header[RP_NAME_MAX + 64];
	struct pool_call_spec spec = {
		.address = address,
		.path = path,
		.header = header,
		.request = request,
		.once = once,
		.timeout = wait + pool_reply_timeout(p),
		.on_done = on_target_reply,
	};
	struct pool_call *c;

	snprintf(header, sizeof(header), "%s%s", PLATFORM_INCARNATION_HEADER,
		 id);
	p->count.target_calls++;
	c = pool_call_begin(p, &spec);
	c->link_number = p->leader_link->number;
	pool_resend_enable(c, &spec, wait, copy_request);
	return c;
}

static struct rp_str specification_of(ProtobufCBinaryData data)
{
	struct rp_str s = { (char *)data.data, data.len };

	return s;
}

static char *hold_body(const struct pool *p, const PoolOrder *order,
		       uint64_t acked_end, rp_ms wait)
{
	return platform_hold_body((int64_t)order->lease_until, p->order_fence,
				  acked_end, wait);
}

void pool_order_received(struct pool *p, const PoolOrder *order)
{
	struct agent_target *t = order->id[0] ? add_target(p, order)
					      : find_target(p, order->target);
	struct pool_call *c;

	if (order->fence)
		p->order_fence = order->fence;
	if (!t || !p->order_fence) {
		log_warn("order", p->leader_link->peer,
			 "target %u was not introduced", order->target);
		pool_agent_send_status(p, order->seq, SCHED_REPLY_NOT_SENT,
				       "target not introduced");
		return;
	}
	if (order->kind == POOL_ORDER__KIND__HOLD) {
		rp_ms wait = pool_hold_wait(p, (rp_ms)order->wait_ms);

		c = call_target(p, t->id, t->address, PLATFORM_HOLD_PATH,
				hold_body(p, order, order->acked_end, wait),
				hold_body(p, order, 0, wait),
				order->acked_end != 0, wait);
		c->tag = t->number;
	} else if (order->kind == POOL_ORDER__KIND__STOP) {
		c = call_target(p, t->id, t->address, PLATFORM_STOP_PATH,
				platform_stop_body(str_of(order->task),
						   order->run, p->order_fence),
				NULL, 0, 0);
	} else {
		c = call_target(p, t->id, t->address, PLATFORM_START_PATH,
				platform_start_body(
					str_of(order->task), order->run,
					specification_of(order->specification),
					(int64_t)order->lease_until,
					p->order_fence),
				NULL, 0, 0);
	}
	c->seq = order->seq;
	str_copy(c->task, sizeof(c->task), str_of(order->task));
}

void pool_agent_run(struct pool *p, const PoolRun *run)
{
	struct rp_str specification = specification_of(run->specification);
	size_t i;

	for (i = 0; i < run->n_tasks; i++) {
		const PoolRunTask *task = run->tasks[i];
		char address[RP_ADDRESS_MAX], name[SCHED_TASK_NAME_MAX];
		struct pool_call *c;

		sched_task_name(name, run->id, task->step, task->index);
		pool_address_unpack(task->target_address, address);
		c = call_target(p, task->target, address, PLATFORM_START_PATH,
				platform_start_body(
					str_of(name), task->run, specification,
					(int64_t)task->lease_until, run->fence),
				NULL, 0, 0);
		c->seq = task->seq;
		str_copy(c->task, sizeof(c->task), str_of(name));
	}
}

/* The leader's token as its latest order says it, or its heartbeats. */
static uint64_t leader_fence(const struct pool *p)
{
	return p->order_fence ? p->order_fence : p->lead.row.fence;
}

/* The leader's clock now, as far as its heartbeats tell; 0: none has come. */
static uint64_t leader_clock(const struct pool *p)
{
	const struct pool_link *l = p->leader_link;

	if (!l->greeted)
		return 0;
	return l->peer_clock + (uint64_t)(p->now - l->peer_clock_at);
}

/*
 * Whether the leader still waits for the reply to a start. One that was held up
 * on the owner's link has been stopped at the target, and a target that has
 * restarted since would carry it out.
 */
static int is_awaited(const struct pool *p, const PoolRun *run)
{
	uint64_t clock = leader_clock(p);

	if (!run->asked_at)
		return 1; /* by a leader of an earlier release */
	return clock && (clock < run->asked_at ||
			 clock - run->asked_at < POOL_ORDER_TIMEOUT_MS);
}

static void log_not_made(const struct pool *p, const struct pool_link *l,
			 const PoolRun *run, const char *why)
{
	LOG_EVENT(LOG_LEVEL_WARN, "start_not_made", LOG_TEXT("id", run->id),
		  LOG_TEXT("owner", l->peer), LOG_TEXT("why", why),
		  LOG_NUMBER("fence", (long long)run->fence),
		  LOG_NUMBER("own_fence", (long long)leader_fence(p)),
		  LOG_NUMBER("asked_at", (long long)run->asked_at),
		  LOG_NUMBER("leader_clock",
			     p->leader_link ? (long long)leader_clock(p) : 0));
}

void pool_run_received(struct pool *p, struct pool_link *l, const PoolRun *run)
{
	size_t i;

	l->runs_received++;
	if (!p->leader_link || run->fence != leader_fence(p)) {
		log_not_made(p, l, run, "the owner has another leader");
		return;
	}
	if (is_awaited(p, run)) {
		pool_agent_run(p, run);
		return;
	}
	log_not_made(p, l, run, "it came late");
	for (i = 0; i < run->n_tasks; i++)
		pool_agent_send_status(p, run->tasks[i]->seq,
				       SCHED_REPLY_NOT_SENT, "it came late");
}
