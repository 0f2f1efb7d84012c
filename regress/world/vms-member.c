/*
 * Heartbeats and members of the simulated entry VMs, and their links to the
 * leader, as pool-beat.c, pool-member.c and pool-vm.c have them.
 */

#include "vms.h"

#include <stdlib.h>

#define RECONNECT_MS 250
#define MEMBER_TIMEOUT_MS 500
#define DIAL_INTERVAL_MS 100
#define RESUBMIT_MS 300
#define MIN_TERM_MS 1000
#define JOIN_MS 1000
#define LEFT_KEPT_MS 10000

int vms_leader_of(const struct vm *vm)
{
	return vm->lead.row.fence ? atoi(vm->lead.row.vm + 2) : -1;
}

static rp_ms followed_at(const struct vms_member *m)
{
	return m->echoed_at ? m->echoed_at : m->link->opened_at;
}

static int is_better_successor(const struct vm *vm, const struct vms_member *a,
			       const struct vms_member *b)
{
	return vm->o->vms[a->vm].domain != vm->domain &&
	       vm->o->vms[b->vm].domain == vm->domain;
}

static int successors(const struct vm *vm, int *list, int max)
{
	int n, i;

	for (n = 0; n < max; n++) {
		const struct vms_member *m, *best = NULL;

		for (m = vm->members; m; m = m->next) {
			for (i = 0; i < n && list[i] != m->vm; i++)
				;
			if (!m->link || i < n ||
			    (vm->lead.store_lost && !m->store_reachable))
				continue;
			if (!best || is_better_successor(vm, m, best))
				best = m;
		}
		if (!best)
			break;
		list[n] = best->vm;
	}
	return n;
}

rp_ms vms_callers_wait(const struct vm *vm)
{
	rp_ms until = sched_callers_wait_until(&vm->sched);

	return until > vms_now(vm) ? until - vms_now(vm) : 0;
}

void vms_callers_wait_received(struct vm *vm, rp_ms wait)
{
	if (vms_now(vm) + wait > vm->callers_wait_until)
		vm->callers_wait_until = vms_now(vm) + wait;
}

struct vms_beat vms_beat(struct vm *vm)
{
	struct vms_beat b = { .fence = vm->lead.row.fence,
			      .vm = vm->index,
			      .leader = vms_leader_of(vm),
			      .leading = vm->leading,
			      .resigns = vm->lead.resigning,
			      .store = !vm->lead.store_lost };
	const struct vms_member *m;

	b.hears = vm->leading || lead_leader_alive(&vm->lead, vms_now(vm));
	if (!vm->leading)
		return b;
	b.clock = vms_now(vm);
	b.list_confirmed = vms_list_is_confirmed(vm);
	b.callers_wait = vms_callers_wait(vm);
	b.nsuccessors = successors(vm, b.successors, LEAD_SUCCESSORS);
	if (vms_now(vm) - vm->sched.started_at < JOIN_MS)
		return b;
	for (b.nlinked = 1, m = vm->members; m; m = m->next)
		b.nlinked += m->link != NULL;
	return b;
}

static void send_beat(struct vm *vm, struct vms_link *l, int to)
{
	struct vms_message *m = vms_send(l, to, VMS_BEAT);

	m->beat = vms_beat(vm);
	m->beat.echo = to == VMS_LEADER ? l->peer_clock : 0;
}

void vms_beat_apply(struct vm *vm, const struct vms_beat *b)
{
	const struct vms *o = vm->o;
	char *names[LEAD_SUCCESSORS];
	struct lead_heartbeat hb = {
		.fence = b->fence,
		.vm = o->vms[b->vm].name,
		.leader = b->leader < 0 ? "" : o->vms[b->leader].name,
		.address = b->leader < 0 ? "" : o->vms[b->leader].address,
		.leading = b->leading,
		.hears_leader = b->hears,
		.resigns = b->resigns,
		.nlinked = b->nlinked,
		.nsuccessors = (size_t)b->nsuccessors,
		.successors = names,
	};
	int i;

	for (i = 0; i < b->nsuccessors; i++)
		names[i] = (char *)o->vms[b->successors[i]].name;
	lead_heartbeat(&vm->lead, &hb, vms_now(vm));
}

static void list_state_received(struct vm *vm, const struct vms_beat *b)
{
	if (b->list_confirmed) {
		vm->list_confirmed_fence = b->fence;
		vm->list_confirmed_at = vms_now(vm);
	} else if (vm->list_confirmed_fence == b->fence) {
		vm->list_confirmed_fence = 0;
	}
}

static void beat_received(struct vm *vm, struct vms_link *l, int end,
			  const struct vms_beat *b)
{
	struct vms_member *m;

	if (!b->hears || b->fence == vm->lead.row.fence)
		vm->answered[b->vm] = 1;
	if (l == vm->leader_link && !b->leading) {
		vms_beat_apply(vm, b);
		if (l == vm->leader_link && b->fence <= vm->lead.row.fence)
			lead_connection_refused(&vm->lead, vms_now(vm));
		return;
	}
	for (m = vm->members; end == VMS_LEADER && m; m = m->next)
		if (m->link == l) {
			m->store_reachable = b->store;
			if (b->echo > m->echoed_at)
				m->echoed_at = b->echo;
		}
	vms_beat_apply(vm, b);
	if (l != vm->leader_link || !b->leading)
		return;
	l->peer_clock = b->clock;
	l->peer_clock_at = vms_now(vm);
	if (!l->greeted && b->fence == vm->lead.row.fence) {
		l->greeted = 1;
		send_beat(vm, l, VMS_LEADER);
		vms_resubmit(vm);
	}
	list_state_received(vm, b);
	vms_callers_wait_received(vm, b->callers_wait);
}

static void remove_member(struct vm *vm, struct vms_member *m)
{
	struct vms_member **at = &vm->members;

	vms_trace(vm->o, "vm%d: member vm%d removed", vm->index, m->vm);
	sched_owner_lost(&vm->sched, m, vms_now(vm));
	vm->dispatch_due = 1;
	vms_agent_unavailable(vm, m);
	while (*at != m)
		at = &(*at)->next;
	*at = m->next;
	m->removed = 1;
	m->link = NULL;
	m->next = vm->o->removed;
	vm->o->removed = m;
}

static void hello_received(struct vm *vm, struct vms_link *l,
			   const struct vms_message *hello)
{
	uint64_t fence = hello->beat.fence;
	struct vms_member *m;

	vm->refused[l->vms[VMS_MEMBER]] = 0;
	lead_claim_reported(&vm->lead, fence, hello->leader_incarnation,
			    vms_now(vm));
	if (vm->leading && fence == vm->lead.row.fence) {
		for (m = vm->members; m && m->vm != l->vms[VMS_MEMBER];)
			m = m->next;
		if (m && m->boot != l->boots[VMS_MEMBER]) {
			remove_member(vm, m);
			m = NULL;
		}
		if (m) {
			sched_owner_returned(&vm->sched, m, vms_now(vm));
		} else {
			m = calloc(1, sizeof(*m));
			m->vm = l->vms[VMS_MEMBER];
			m->boot = l->boots[VMS_MEMBER];
			m->joined_at = vms_now(vm);
			m->next = vm->members;
			vm->members = m;
		}
		if (m->link)
			vms_agent_unavailable(vm, m);
		m->link = l;
		m->echoed_at = 0;
	}
	send_beat(vm, l, VMS_MEMBER);
}

static void check_silence(struct vm *vm, struct vms_member *m)
{
	int silent = !m->link ||
		     vms_now(vm) - followed_at(m) > LEAD_SILENCE_MAX_MS;

	if (silent == m->silent)
		return;
	m->silent = silent;
	sched_owner_silent(&vm->sched, m, silent, vms_now(vm));
	vm->dispatch_due |= !silent;
}

static void check_members(struct vm *vm)
{
	struct vms_member *m, *next;

	for (m = vm->members; m; m = next) {
		next = m->next;
		if (m->link &&
		    vms_now(vm) - followed_at(m) > MEMBER_TIMEOUT_MS) {
			vms_link_close(m->link, VMS_LEADER);
			vms_agent_unavailable(vm, m);
			m->link = NULL;
			m->disconnected_at = vms_now(vm);
		}
		check_silence(vm, m);
		if (!m->link && vms_now(vm) - m->disconnected_at > RECONNECT_MS)
			remove_member(vm, m);
	}
}

int vms_is_linked(const struct vm *vm, int i)
{
	const struct vms_member *m;

	for (m = vm->members; m; m = m->next)
		if (m->vm == i)
			return m->link && vms_now(vm) - followed_at(m) <=
						  LEAD_SILENCE_MAX_MS;
	return 0;
}

static void check_missing_owners(struct vm *vm)
{
	size_t i;

	for (i = 0; i < vm->o->nvms; i++) {
		const struct vm *other = &vm->o->vms[i];

		if (vms_is_self(vm, (int)i) || vms_is_linked(vm, (int)i) ||
		    (!other->up &&
		     vms_now(vm) - other->frozen_at > LEFT_KEPT_MS))
			continue;
		vm->owner_missing_at = vms_now(vm);
	}
	vm->sched.owners_missing = vms_now(vm) - vm->owner_missing_at <
				   RESUBMIT_MS;
	vm->sched.default_wait = vm->o->timeout;
}

void vms_link_lost(struct vm *vm, struct vms_link *l, int end)
{
	struct vms_member *m;

	if (end == VMS_MEMBER && l == vm->leader_link)
		vm->leader_link = NULL;
	for (m = vm->members; end == VMS_LEADER && m; m = m->next)
		if (m->link == l) {
			vms_agent_unavailable(vm, m);
			m->link = NULL;
			m->disconnected_at = vms_now(vm);
			check_silence(vm, m);
		}
}

void vms_leader_link_drop(struct vm *vm)
{
	if (vm->leader_link)
		vms_link_close(vm->leader_link, VMS_MEMBER);
	vm->leader_link = NULL;
}

void vms_received(struct vm *vm, struct vms_link *l, int end,
		  struct vms_message *msg)
{
	struct vms_member *m = vm->members;

	if (end == VMS_MEMBER) {
		struct vms_message *ack;

		l->received_at = vms_now(vm);
		if (msg->kind == VMS_BEAT)
			beat_received(vm, l, end, &msg->beat);
		if (l == vm->leader_link && msg->kind == VMS_ORDER)
			vms_order_received(vm, msg);
		if (l == vm->leader_link && msg->kind == VMS_START)
			vms_start_received(vm, msg);
		if (l != vm->leader_link || !msg->mark)
			return;
		ack = vms_send(l, VMS_LEADER, VMS_ACK);
		ack->mark = msg->mark;
		if (msg->kind == VMS_ANSWER)
			vms_answer_received(vm, msg->seq, msg->outcome);
		else if (msg->kind == VMS_TOLD_DOMAINS)
			vms_domains_received(vm, msg);
		else
			vms_progress_received(vm, msg->seq, msg->done[0]);
		return;
	}
	l->heard_at = vms_now(vm);
	if (msg->kind == VMS_RUN) {
		vms_run_received(vm, msg);
		return;
	}
	while (m && m->link != l)
		m = m->next;
	if (msg->kind == VMS_HELLO)
		hello_received(vm, l, msg);
	else if (msg->kind == VMS_BEAT)
		beat_received(vm, l, end, &msg->beat);
	else if (!vm->leading || !m)
		return;
	else if (msg->kind == VMS_ACK)
		sched_owner_acked(&vm->sched, m, msg->mark, vms_now(vm));
	else if (msg->kind == VMS_REPLY)
		vms_order_replied(vm, m, msg);
	else if (msg->kind == VMS_CANCEL)
		sched_cancel(&vm->sched, m, msg->seq, vms_now(vm));
	else if (!m->echoed_at ||
		 vms_now(vm) - m->echoed_at > MEMBER_TIMEOUT_MS) {
		vms_link_close(l, VMS_LEADER);
		vms_agent_unavailable(vm, m);
		m->link = NULL;
		m->disconnected_at = vms_now(vm);
		check_silence(vm, m);
	} else {
		vms_schedule(vm, m, msg);
	}
	vm->dispatch_due = 1;
}

void vms_members_clear(struct vm *vm)
{
	while (vm->members) {
		struct vms_member *m = vm->members;

		vm->members = m->next;
		if (m->link)
			vms_link_close(m->link, VMS_LEADER);
		m->next = vm->o->removed;
		vm->o->removed = m;
	}
}

static void check_handover(struct vm *vm)
{
	int successor;

	if (!vm->lead.resigning && !lead_is_provisional(&vm->lead) &&
	    vm->lead.store_lost &&
	    vms_now(vm) - vm->sched.started_at >= MIN_TERM_MS &&
	    successors(vm, &successor, 1))
		lead_resign(&vm->lead);
}

void vms_members_check(struct vm *vm)
{
	check_members(vm);
	check_missing_owners(vm);
	check_handover(vm);
}

void vms_leader_dial(struct vm *vm)
{
	int leader = vms_leader_of(vm);
	struct vms_message *hello;

	if (vm->leader_link && vms_now(vm) - vm->leader_link->received_at >=
				       lead_reconnect_limit(&vm->lead)) {
		vm->dial_due = vms_now(vm);
		vms_leader_link_drop(vm);
	}
	if (vm->leading || vm->leader_link || leader < 0 ||
	    vms_is_self(vm, leader) || vms_now(vm) < vm->dial_due)
		return;
	vm->dial_due = vms_now(vm) + DIAL_INTERVAL_MS;
	vm->order_fence = 0;
	vm->leader_link = vms_dial(vm, leader);
	if (!vm->leader_link)
		return;
	hello = vms_send(vm->leader_link, VMS_LEADER, VMS_HELLO);
	hello->beat.fence = vm->lead.row.fence;
	hello->leader_incarnation = vm->lead.row.incarnation;
}

void vms_beats_send(struct vm *vm)
{
	struct vms_member *m;

	if (vms_now(vm) - vm->heartbeat_at < LEAD_HEARTBEAT_MIN_MS)
		return;
	vm->heartbeat_at = vms_now(vm);
	if (vm->leader_link)
		send_beat(vm, vm->leader_link, VMS_LEADER);
	for (m = vm->members; m; m = m->next)
		if (m->link)
			send_beat(vm, m->link, VMS_MEMBER);
}
