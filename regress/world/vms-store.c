/* Calls of the simulated entry VMs to the store, as pool-store.c has them. */

#include "vms.h"

#include <stdlib.h>

#define STORE_TIMEOUT_MS 1200
#define STORE_FAILING_MS 500
#define CALL_TIMEOUT_MS 600

struct vms_event *vms_event_add(struct vm *vm, enum vms_call kind, rp_ms at)
{
	struct vms_event *e = calloc(1, sizeof(*e));

	e->kind = kind;
	e->vm = vm->index;
	e->boot = vm->boot;
	e->sent_at = vms_now(vm);
	e->at = at;
	e->next = vm->o->events;
	vm->o->events = e;
	return e;
}

rp_ms vms_after(struct vm *vm, rp_ms most)
{
	return vms_now(vm) + 2 + (rp_ms)vms_random(vm->o, (uint64_t)most);
}

void vms_renewal_send(struct vm *vm)
{
	vm->renew_due = vms_now(vm) + LEAD_RENEW_INTERVAL_MS;
	vms_event_add(vm, VMS_RENEW, vms_after(vm, vm->o->store_delay))->row =
		vm->lead.row;
}

static void reply(struct vm *vm, const struct vms_event *e, enum vms_call kind,
		  int ok)
{
	int lost = ok < 0 || !vms_store_reached(vm->o, vm);
	struct vms_event *r = vms_event_add(vm, kind,
					    lost ? vms_now(vm) + CALL_TIMEOUT_MS
						 : vms_after(vm, 4));

	r->boot = e->boot;
	r->sent_at = e->sent_at;
	r->row = e->row;
	r->ok = lost ? -1 : ok;
}

static void write_row(struct vm *vm, const struct vms_event *e)
{
	struct vms *o = vm->o;
	int ok = e->expected == o->row.version;

	if (!vms_store_reached(o, vm)) {
		reply(vm, e, VMS_CLAIM_REPLY, -1);
		return;
	}
	if (ok) {
		o->row = e->row;
		o->row.version = ++o->version;
	}
	reply(vm, e, VMS_CLAIM_REPLY, ok);
}

static void write_renewal(struct vm *vm, const struct vms_event *e)
{
	struct vms *o = vm->o;
	int ok = LEAD_IS_PROVISIONAL(e->row.fence) ||
		 e->row.version == o->row.version;

	if (!vms_store_reached(o, vm)) {
		reply(vm, e, VMS_RENEW_REPLY, -1);
		return;
	}
	if (ok)
		o->renewal_version = ++o->version;
	reply(vm, e, VMS_RENEW_REPLY, ok);
}

static void claim_replied(struct vm *vm, const struct vms_event *e)
{
	struct lead_row row = e->row;

	if (e->ok == 1) {
		row.version = vm->o->row.fence == row.fence ? vm->o->row.version
							    : 0;
		lead_row_read(&vm->lead, &row, vms_now(vm));
		return;
	}
	lead_claim_failed(&vm->lead, vms_now(vm));
	if (!e->ok)
		lead_row_read(&vm->lead, &vm->o->row, vms_now(vm));
}

static void renew_replied(struct vm *vm, const struct vms_event *e)
{
	if (e->ok == 1 && e->row.fence == vm->lead.row.fence)
		vm->confirmed_at = e->sent_at;
	if (e->ok == 1 && e->row.fence == vm->lead.row.fence && vm->leading &&
	    vm->lead.confirming_since &&
	    e->sent_at >= vm->lead.confirming_since) {
		lead_confirmed(&vm->lead);
		sched_suspend(&vm->sched, 0, vms_now(vm));
	}
	if (!e->ok)
		lead_row_read(&vm->lead, &vm->o->row, vms_now(vm));
}

static void run_event(struct vms *o, const struct vms_event *e)
{
	struct vm *vm = &o->vms[e->vm];

	if (e->kind == VMS_CLAIM)
		write_row(vm, e);
	else if (e->kind == VMS_RENEW)
		write_renewal(vm, e);
	else if (e->kind == VMS_PROBE)
		vms_probe_received(o, e);
	else if (!vm->up || vm->boot != e->boot)
		return;
	else if (e->kind == VMS_CLAIM_REPLY)
		claim_replied(vm, e);
	else if (e->kind == VMS_RENEW_REPLY)
		renew_replied(vm, e);
	else if (e->kind == VMS_REACHABILITY)
		vms_reachability_result(vm, e->ok);
	else
		vms_probe_received(o, e);
}

static int is_due(const struct vms *o, const struct vms_event *e)
{
	const struct vm *vm = &o->vms[e->kind == VMS_PROBE ? e->peer : e->vm];

	if (e->at > o->w.now)
		return 0;
	return e->kind == VMS_CLAIM || e->kind == VMS_RENEW || !vm->up ||
	       vms_awake(o, vm);
}

void vms_events_run(struct vms *o)
{
	struct vms_event **at = &o->events, *e;

	while ((e = *at)) {
		if (!is_due(o, e)) {
			at = &e->next;
			continue;
		}
		*at = e->next;
		if (e->kind != VMS_PROBE || o->vms[e->peer].up)
			run_event(o, e);
		free(e);
		o->events_seen++;
		at = &o->events;
	}
}

void vms_store_read(struct vm *vm)
{
	struct vms *o = vm->o;
	rp_ms silent;
	int lost;

	if (vms_now(vm) >= vm->read_due) {
		vm->read_due = vms_after(vm, 300);
		if (vms_store_reached(o, vm)) {
			vm->store_replied_at = vms_now(vm);
			vm->lead.targets_unknown = 0;
			lead_row_read(&vm->lead, &o->row, vms_now(vm));
			lead_renewed(&vm->lead, o->renewal_version,
				     vms_now(vm));
			vms_read_list(vm);
		} else {
			vm->list_lost = 1;
		}
	}
	silent = vms_now(vm) - vm->store_replied_at;
	lost = silent > STORE_TIMEOUT_MS;
	if (vm->lead.store_lost && !lost)
		vm->store_back_at = vms_now(vm);
	vm->lead.store_lost = lost;
	vm->lead.store_failing = silent > STORE_FAILING_MS;
	if (vm->leading && vms_now(vm) >= vm->renew_due)
		vms_renewal_send(vm);
}
