/* Election of the simulated entry VMs, as pool-lead.c has it around lead.h. */

#include "vms.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NOTIFY_INTERVAL_MS 100
#define REACHABILITY_TIMEOUT_MS 120

struct vm *vms_vm_of(struct vms *o, const struct sched *s)
{
	size_t i;

	for (i = 0; i < o->nvms; i++)
		if (&o->vms[i].sched == s)
			return &o->vms[i];
	return NULL;
}

static void on_claim(struct lead *l, const struct lead_row *row,
		     int64_t expected)
{
	struct vm *vm = l->user;
	struct vms_event *e =
		vms_event_add(vm, VMS_CLAIM, vms_after(vm, vm->o->store_delay));

	e->row = *row;
	e->expected = expected;
	vms_trace(vm->o, "vm%d claims %llx", vm->index,
		  (unsigned long long)row->fence);
}

static void send_probe(struct vm *vm, int to)
{
	struct vms_event *e;

	if (!vms_path(vm->o, vm->index, to))
		return;
	if (!vm->o->vms[to].up) {
		vm->refused[to] = !vm->o->vms[to].vanished;
		return;
	}
	e = vms_event_add(vm, VMS_PROBE, vms_after(vm, 4));
	e->peer = to;
	e->beat = vms_beat(vm);
}

static void dial_unlinked(struct vm *vm)
{
	size_t i;

	for (i = 0; i < vm->o->nvms; i++)
		if (!vms_is_self(vm, (int)i) && !vms_is_linked(vm, (int)i))
			send_probe(vm, (int)i);
}

static void on_probe(struct lead *l)
{
	struct vm *vm = l->user;
	size_t i;

	memset(vm->answered, 0, sizeof(vm->answered));
	memset(vm->refused, 0, sizeof(vm->refused));
	for (i = 0; i < vm->o->nvms; i++) {
		struct vms_beat b = { .fence = l->row.fence,
				      .vm = (int)i,
				      .leader = vms_leader_of(vm),
				      .hears = 1 };

		if (!vms_is_linked(vm, (int)i))
			continue;
		vm->answered[i] = 1;
		vms_beat_apply(vm, &b);
	}
	dial_unlinked(vm);
}

static void on_check_reachability(struct lead *l)
{
	struct vm *vm = l->user;
	size_t i;
	int outside = 0;

	for (i = 0; i < vm->o->w.ntargets; i++)
		outside |= (int)(i % VMS_DOMAINS) != vm->domain &&
			   vms_target_reached(vm->o, vm, &vm->o->w.targets[i]);
	vms_event_add(vm, VMS_REACHABILITY,
		      vms_now(vm) + (outside ? 3 : REACHABILITY_TIMEOUT_MS))
		->ok = outside;
}

static int domain_answered(const struct vm *vm, int domain)
{
	size_t i;

	for (i = 0; i < vm->o->nvms; i++)
		if (vm->o->vms[i].domain == domain && !vm->answered[i] &&
		    !vm->refused[i] && !vms_is_self(vm, (int)i))
			return 0;
	return 1;
}

static int on_domains_answered(struct lead *l)
{
	const struct vm *vm = l->user;
	int others = 0;
	size_t i;

	for (i = 0; i < vm->o->nvms; i++) {
		if (!vm->answered[i])
			continue;
		if (!domain_answered(vm, vm->o->vms[i].domain))
			return 0;
		others |= vm->o->vms[i].domain != vm->domain;
	}
	return others && domain_answered(vm, vm->domain);
}

static int lead_domains_that_answered(struct vm *vm)
{
	int more = 0;
	size_t i;

	for (i = 0; i < vm->o->nvms; i++) {
		more |= vm->answered[i] && !vm->led[i];
		vm->led[i] |= vm->answered[i];
	}
	return more;
}

static void on_domains_added(struct lead *l)
{
	struct vm *vm = l->user;

	if (lead_domains_that_answered(vm) || l->all_domains)
		vms_list_cached(vm);
}

static void on_confirm(struct lead *l)
{
	vms_renewal_send(l->user);
}

void vms_sched_end(struct vm *vm)
{
	if (vms_has_part(vm->o, VMS_WIRE))
		world_end_calls(&vm->o->w, &vm->sched);
	else
		world_drop_calls(&vm->o->w, &vm->sched);
	vms_callers_wait_received(vm, vms_callers_wait(vm));
	sched_finish(&vm->sched);
	vms_orders_drop(vm);
	vm->leading = 0;
}

static void begin_sched(struct vm *vm)
{
	sched_init(&vm->sched, &vms_ops, &vm->o->w, NULL, vm->lead.row.fence,
		   WORLD_LEASE_MS, vms_now(vm));
	sched_callers_waited_until(&vm->sched, vm->callers_wait_until);
	sched_stored_jobs_loaded(&vm->sched);
	vm->self.vm = vm->index;
	if (!lead_is_provisional(&vm->lead))
		return;
	vms_list_cached(vm);
	sched_targets_cached(&vm->sched);
}

static void on_changed(struct lead *l)
{
	struct vm *vm = l->user;
	int leads = l->role == LEAD_LEADING;

	if (leads && vm->leading) {
		vms_trace(vm->o, "vm%d: token raised to %llx", vm->index,
			  (unsigned long long)l->row.fence);
		vm->o->raised++;
		sched_raise_fence(&vm->sched, l->row.fence, vms_now(vm));
		vms_list_cached(vm);
		return;
	}
	vms_trace(vm->o, "vm%d %s %s %llx", vm->index,
		  leads ? "leads" : "follows", l->row.vm,
		  (unsigned long long)l->row.fence);
	vms_leader_link_drop(vm);
	vm->dial_due = vms_now(vm);
	if (vm->leading)
		vms_sched_end(vm);
	vms_members_clear(vm);
	if (!leads)
		return;
	vm->o->takeovers++;
	vm->o->provisional += lead_is_provisional(l) != 0;
	vm->leading = 1;
	vm->self.nanswers = 0;
	vm->list_complete = vm->list_lost = 0;
	memset(vm->missing_since, 0, sizeof(vm->missing_since));
	vm->list_replied_at = vms_now(vm);
	vm->read_due = vms_after(vm, 1 + (vm->o->store_delay > 60 ? 150 : 60));
	vm->renew_due = vm->confirmed_at = vms_now(vm);
	memset(vm->led, 0, sizeof(vm->led));
	lead_domains_that_answered(vm);
	begin_sched(vm);
	vms_check_predecessor(vm);
	dial_unlinked(vm);
	vms_resubmit(vm);
}

static const struct lead_ops lead_ops = {
	.claim = on_claim,
	.probe = on_probe,
	.check_reachability = on_check_reachability,
	.domains_answered = on_domains_answered,
	.domains_added = on_domains_added,
	.confirm = on_confirm,
	.changed = on_changed,
};

void vms_probe_received(struct vms *o, const struct vms_event *e)
{
	struct vm *vm = &o->vms[e->peer];
	struct vms_event *answer;

	if (e->kind == VMS_PROBE_ANSWER)
		vm = &o->vms[e->vm];
	if (!e->beat.hears || e->beat.fence == vm->lead.row.fence)
		vm->answered[e->beat.vm] = 1;
	vms_beat_apply(vm, &e->beat);
	if (e->kind == VMS_PROBE_ANSWER || !vms_path(o, e->vm, e->peer))
		return;
	answer = vms_event_add(&o->vms[e->vm], VMS_PROBE_ANSWER,
			       vms_after(vm, 4));
	answer->peer = e->peer;
	answer->boot = e->boot;
	answer->beat = vms_beat(vm);
}

void vms_reachability_result(struct vm *vm, int outside)
{
	lead_reachability_result(&vm->lead, outside, vms_now(vm));
	if (vm->leading)
		sched_suspend(&vm->sched, !lead_may_act(&vm->lead),
			      vms_now(vm));
}

/* --- a leader that is isolated: see pool-vm.c --------------------------- */

#define ANNOUNCE_INTERVAL_MS 500
#define UNCONFIRMED_MS (LEAD_RENEW_INTERVAL_MS + 250)

static void announce(struct vm *vm)
{
	if (!vm->leading || vms_now(vm) - vm->confirmed_at < UNCONFIRMED_MS) {
		vm->announcing_since = 0;
		return;
	}
	if (!vm->announcing_since)
		vm->announcing_since = vms_now(vm);
	if (vms_now(vm) - vm->announced_at < ANNOUNCE_INTERVAL_MS)
		return;
	vm->announced_at = vms_now(vm);
	dial_unlinked(vm);
}

static int is_isolated(const struct vm *vm)
{
	int others = 0;
	size_t i;

	if (!vm->leading || !vm->announcing_since ||
	    vms_now(vm) - vm->announcing_since < LEAD_PROBE_TIMEOUT_MS)
		return 0;
	for (i = 0; i < vm->o->nvms; i++) {
		if (vms_is_self(vm, (int)i))
			continue;
		if (vms_is_linked(vm, (int)i))
			return 0;
		others |= !vm->refused[i];
	}
	return others;
}

/* --- a VM ------------------------------------------------------------- */

static void notify_prev_leader(struct vm *vm)
{
	if (!lead_is_provisional(&vm->lead) ||
	    vms_now(vm) - vm->prev_notified_at < NOTIFY_INTERVAL_MS)
		return;
	vm->prev_notified_at = vms_now(vm);
	if (vm->lead.prev_row.vm[0] &&
	    !vms_is_self(vm, atoi(vm->lead.prev_row.vm + 2)))
		send_probe(vm, atoi(vm->lead.prev_row.vm + 2));
}

void vms_vm_tick(struct vm *vm)
{
	if (vms_now(vm) >= vm->tick_due) {
		vm->tick_due = vms_now(vm) + SCHED_TICK_MS;
		vms_store_read(vm);
		vms_leader_dial(vm);
		vms_beats_send(vm);
		if (vm->leading)
			vms_members_check(vm);
		announce(vm);
		vm->lead.isolated = is_isolated(vm);
		lead_tick(&vm->lead, vms_now(vm));
		notify_prev_leader(vm);
		if (lead_leader_alive(&vm->lead, vms_now(vm)))
			vm->leader_alive_at = vms_now(vm);
		vms_orders_tick(vm);
		vms_starts_check(vm);
		if (vm->leading)
			sched_tick(&vm->sched, vms_now(vm));
		vms_requests_tick(vm);
	}
	if (vm->fenced) {
		vm->fenced = 0;
		lead_fenced(&vm->lead, vms_now(vm));
	}
	if (vm->leading && vm->dispatch_due)
		sched_dispatch(&vm->sched, vms_now(vm));
	vm->dispatch_due = 0;
}

/* The process goes on after it was frozen: see pool_handle_pause(). */
void vms_vm_woken(struct vm *vm)
{
	struct vms_link *l = vm->leader_link, *links;
	struct vms_message *m;

	for (m = l ? l->head[VMS_MEMBER] : NULL; m; m = m->next) {
		if (!m->at || m->at > vms_now(vm))
			break;
		if (m->kind == VMS_ANSWER)
			vms_answer_received(vm, m->seq, m->outcome);
		else if (m->kind == VMS_PROGRESS)
			vms_progress_received(vm, m->seq, m->done[0]);
		else if (m->kind == VMS_TOLD_DOMAINS)
			vms_domains_received(vm, m);
	}
	vms_leader_link_drop(vm);
	for (links = vm->o->links; links; links = links->next)
		if (links->vms[VMS_LEADER] == vm->index)
			links->heard_at = vms_now(vm);
	lead_paused(&vm->lead, vms_now(vm) - vm->frozen_at, vms_now(vm));
	if (vm->leading)
		sched_suspend(&vm->sched, !lead_may_act(&vm->lead),
			      vms_now(vm));
}

void vms_vm_start(struct vms *o, int i)
{
	struct vm *vm = &o->vms[i];
	int boot = vm->boot + 1;

	memset(vm, 0, sizeof(*vm));
	vm->o = o;
	vm->boot = boot;
	vm->index = i;
	vm->domain = i % VMS_DOMAINS;
	vm->up = 1;
	vm->store_replied_at = vm->leader_alive_at = o->w.now;
	snprintf(vm->name, sizeof(vm->name), "vm%d", i);
	snprintf(vm->address, sizeof(vm->address), "a%d", i);
	lead_init(&vm->lead, &lead_ops, vm, vm->name, vm->address,
		  (uint64_t)(boot * 100 + i + 1));
	vm->lead.own_row_version = (uint32_t)(10 * boot + i + 1);
	vm->lead.nothers = (unsigned)o->nvms - 1;
	vm->lead.domain_rank = (unsigned)(i / VMS_DOMAINS);
	vm->lead.targets_unknown = 1;
	vm->lead.heartbeat_at = o->w.now;
	vm->tick_due = o->w.now + (rp_ms)vms_random(o, 20);
}
