/*
 * Calls to targets that members make for the leader, as agents of targets or as
 * owners of jobs: see pool-order.c, pool-order-start.c, pool-owner.c,
 * pool-agent.c and pool-assign.c.
 */

#include "vms.h"

#include <stdlib.h>
#include <string.h>

#define AGENT_REPLY_TIMEOUT_MS 500
#define AGENT_SILENCE_MS 300
#define AGENT_ACK_TIMEOUT_MS 300

/* --- on the leader ---------------------------------------------------- */

static size_t index_of(const struct vm *vm, const struct world_target *t)
{
	return (size_t)(t - vm->o->w.targets);
}

static int is_agent(const struct vm *vm, const struct vms_member *m)
{
	return m->link && vms_now(vm) - m->link->heard_at < AGENT_SILENCE_MS;
}

static int assigned(const struct vm *vm, const struct vms_member *m)
{
	size_t i;
	int n = 0;

	for (i = 0; i < vm->o->w.ntargets; i++)
		n += vm->agents[i] == m;
	return n;
}

static struct vms_member *choose_agent(const struct vm *vm, int domain)
{
	struct vms_member *m, *best = NULL;
	int least = 0;

	for (m = vm->members; m; m = m->next) {
		int load = assigned(vm, m) + (vm->o->vms[m->vm].domain == domain
						      ? 0
						      : 2 * WORLD_TARGETS);

		if (!is_agent(vm, m) || (best && load >= least))
			continue;
		best = m;
		least = load;
	}
	return best;
}

static struct vms_member *agent_for(struct vm *vm, const struct sched_target *t,
				    const struct world_target *target)
{
	size_t i = index_of(vm, target);

	if (t->unanswered || !vms_has_part(vm->o, VMS_AGENTS))
		return NULL;
	if (!vm->agents[i] || !is_agent(vm, vm->agents[i]))
		vm->agents[i] = choose_agent(vm, (int)(i % VMS_DOMAINS));
	return vm->agents[i];
}

/* The VM whose process makes the owner's start. -1: the owner's. */
static int agent_for_start(struct vm *vm, const struct sched_target *t,
			   const struct world_target *target,
			   const struct vms_member *owner)
{
	int domain = (int)(index_of(vm, target) % VMS_DOMAINS);
	const struct vms_member *m, *best = NULL;

	for (m = vm->members; m; m = m->next) {
		if (!is_agent(vm, m) || vm->o->vms[m->vm].domain != domain)
			continue;
		if (m == owner)
			return m->vm;
		if (!best || m->vm < best->vm)
			best = m;
	}
	if (!best)
		best = agent_for(vm, t, target);
	return best ? best->vm : -1;
}

static struct vms_order *order_new(struct vm *vm, struct vms_member *agent,
				   struct vms_member *owner, rp_ms wait)
{
	struct vms_order *order = calloc(1, sizeof(*order));

	order->seq = ++vm->last_order;
	order->agent = agent;
	order->owner = owner;
	order->sent_at = vms_now(vm);
	order->expires_at = vms_now(vm) + wait + AGENT_REPLY_TIMEOUT_MS;
	order->next = vm->orders;
	vm->orders = order;
	return order;
}

int vms_order_call(struct vm *vm, const struct sched_target *t,
		   const struct world_event *call)
{
	struct vms_member *agent = agent_for(vm, t, call->target);
	struct vms_order *order;
	struct vms_message *msg;

	if (!agent || !agent->link)
		return 0;
	order = order_new(vm, agent, NULL, call->wait_until);
	msg = vms_send(agent->link, VMS_MEMBER, VMS_ORDER);
	msg->call = *call;
	msg->call.seq = order->seq;
	order->call = msg->call;
	return 1;
}

int vms_order_start(struct vm *vm, const struct sched_target *t,
		    const struct sched_task *task,
		    const struct world_event *call)
{
	struct vms_member *owner = task->job->owner;
	struct vms_order *order;
	struct vms_message *msg;

	if (!task->job->owner_starts)
		return vms_order_call(vm, t, call);
	order = order_new(vm, NULL, owner, 0);
	order->call = *call;
	order->call.seq = order->seq;
	if (!owner || !owner->link)
		return 1; /* it is not sent, and expires */
	msg = vms_send(owner->link, VMS_MEMBER, VMS_START);
	msg->call = order->call;
	msg->seq = task->job->seq;
	msg->asked_at = vms_now(vm);
	msg->domains = 1u << (t->listing.failure_domain[0] - 'a');
	msg->agent = agent_for_start(vm, t, call->target, owner);
	if (msg->agent >= 0) {
		struct vms_member *m = vm->members;

		while (m && m->vm != msg->agent)
			m = m->next;
		order->agent = m;
	}
	return 1;
}

static void apply_reply(struct vm *vm, const struct vms_order *order,
			const struct sched_target_reply *reply)
{
	const struct world_event *c = &order->call;
	struct sched_target *t = sched_find_target(&vm->sched, c->id);

	if (!t)
		return;
	if (c->kind == WORLD_START)
		sched_start_reply(&vm->sched, t, c->task, c->run, reply,
				  vms_now(vm));
	else if (c->kind == WORLD_STOP)
		sched_stop_reply(&vm->sched, t, c->task, c->run, reply,
				 vms_now(vm));
	else
		sched_hold_reply(&vm->sched, t, reply, vms_now(vm));
	vm->dispatch_due = 1;
}

static struct vms_order *take_order(struct vm *vm, uint64_t seq)
{
	struct vms_order **at = &vm->orders, *order;

	while (*at && (*at)->seq != seq)
		at = &(*at)->next;
	order = *at;
	if (order)
		*at = order->next;
	return order;
}

void vms_order_replied(struct vm *vm, struct vms_member *m,
		       const struct vms_message *msg)
{
	struct vms_order *order = vm->orders;
	struct world_reply r;

	while (order && order->seq != msg->call.seq)
		order = order->next;
	if (!order || (order->agent != m && order->owner != m))
		return;
	take_order(vm, order->seq);
	if (msg->not_sent) {
		memset(&r, 0, sizeof(r));
		r.reply.status = SCHED_REPLY_NOT_SENT;
		r.reply.reason = "";
	} else {
		world_read_reply(&msg->call, &r);
	}
	r.reply.sent_at = order->sent_at;
	apply_reply(vm, order, &r.reply);
	free(order);
}

void vms_agent_unavailable(struct vm *vm, const struct vms_member *m)
{
	struct vms_order *order;
	size_t i;

	for (order = vm->orders; order; order = order->next) {
		if (order->agent == m || order->owner == m)
			order->expires_at = vms_now(vm);
		if (order->agent == m)
			order->agent = NULL;
		if (order->owner == m)
			order->owner = NULL;
	}
	for (i = 0; i < vm->o->w.ntargets; i++)
		if (vm->agents[i] == m)
			vm->agents[i] = NULL;
}

static struct vms_order *expired_order(const struct vm *vm)
{
	struct vms_order *order, *first = NULL;

	for (order = vm->orders; order; order = order->next)
		if (vms_now(vm) >= order->expires_at)
			first = order;
	return first;
}

void vms_orders_tick(struct vm *vm)
{
	struct sched_target_reply reply = { .status = SCHED_REPLY_UNKNOWN,
					    .reason = "" };
	struct vms_order *order;

	while (vm->leading && (order = expired_order(vm))) {
		take_order(vm, order->seq);
		reply.sent_at = order->sent_at;
		apply_reply(vm, order, &reply);
		free(order);
	}
}

void vms_orders_of_target_drop(struct vm *vm, const char *id)
{
	struct vms_order **at = &vm->orders, *order;

	while ((order = *at)) {
		if (strcmp(order->call.id, id) != 0) {
			at = &order->next;
			continue;
		}
		*at = order->next;
		free(order);
	}
}

void vms_orders_drop(struct vm *vm)
{
	while (vm->orders)
		free(take_order(vm, vm->orders->seq));
	memset(vm->agents, 0, sizeof(vm->agents));
}

/* --- on the member ---------------------------------------------------- */

static void call_target(struct vm *vm, const struct world_event *call)
{
	struct world_event e = *call;

	e.link = vm->leader_link->number;
	vm->o->w.calling = vm;
	world_call(&vm->o->w, &e);
}

void vms_replied(struct world *w, const struct world_event *e,
		 const struct sched_target_reply *reply)
{
	struct vms *o = (struct vms *)w;
	struct vm *vm = &o->vms[((const struct vm *)e->from)->index];
	struct vms_message *msg;

	(void)reply;
	if (!vm->leader_link || vm->leader_link->number != e->link)
		return;
	msg = vms_send(vm->leader_link, VMS_LEADER, VMS_REPLY);
	world_copy_reply(&msg->call, e);
}

void vms_order_received(struct vm *vm, const struct vms_message *msg)
{
	vm->order_fence = msg->call.fence;
	call_target(vm, &msg->call);
}

static struct vms_link *link_to(struct vm *vm, int agent)
{
	struct vms_link *l;

	for (l = vm->o->links; l; l = l->next)
		if (l->starts && l->open[VMS_MEMBER] &&
		    l->vms[VMS_MEMBER] == vm->index &&
		    l->boots[VMS_MEMBER] == vm->boot &&
		    l->vms[VMS_LEADER] == agent)
			return l;
	return vms_dial_starts(vm, agent);
}

void vms_start_received(struct vm *vm, const struct vms_message *msg)
{
	struct vms_link *l;
	struct vms_message *out;

	if (!vms_request_started(vm, msg->seq)) {
		out = vms_send(vm->leader_link, VMS_LEADER, VMS_REPLY);
		out->call = msg->call;
		out->not_sent = 1;
		vms_cancel_send(vm, msg->seq);
		return;
	}
	vms_domains_received(vm, msg);
	vms_trace(vm->o, "vm%d passes %s run %u on to vm%d", vm->index,
		  msg->call.task, msg->call.run, msg->agent);
	if (msg->agent < 0 || msg->agent == vm->index) {
		call_target(vm, &msg->call);
		return;
	}
	l = link_to(vm, msg->agent);
	if (!l)
		return;
	out = vms_send(l, VMS_LEADER, VMS_RUN);
	out->call = msg->call;
	out->asked_at = msg->asked_at;
}

static int is_awaited(const struct vm *vm, const struct vms_message *msg)
{
	const struct vms_link *l = vm->leader_link;

	return l->greeted && l->peer_clock + vms_now(vm) - l->peer_clock_at <
				     msg->asked_at + AGENT_REPLY_TIMEOUT_MS;
}

void vms_run_received(struct vm *vm, const struct vms_message *msg)
{
	uint64_t fence = vm->order_fence ? vm->order_fence : vm->lead.row.fence;
	struct vms_message *out;

	if (vm->leader_link && msg->call.fence == fence &&
	    is_awaited(vm, msg)) {
		call_target(vm, &msg->call);
		return;
	}
	vms_trace(vm->o, "vm%d does not start %s run %u", vm->index,
		  msg->call.task, msg->call.run);
	if (!vm->leader_link || msg->call.fence != fence)
		return;
	out = vms_send(vm->leader_link, VMS_LEADER, VMS_REPLY);
	out->call = msg->call;
	out->not_sent = 1;
}

/* Closes links to agents that do not acknowledge starts. */
void vms_starts_check(struct vm *vm)
{
	struct vms_link *l;

	for (l = vm->o->links; l; l = l->next) {
		const struct vms_message *first = l->head[VMS_LEADER];

		if (l->starts && l->open[VMS_MEMBER] && first && first->at &&
		    l->vms[VMS_MEMBER] == vm->index &&
		    vms_now(vm) - first->at > AGENT_ACK_TIMEOUT_MS)
			vms_link_close(l, VMS_MEMBER);
	}
}
