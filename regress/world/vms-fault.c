/* Faults of the simulated entry VMs, targets and paths. */

#include "vms.h"

#include <stdio.h>
#include <string.h>

static const char *const names[VMS_FAULT_KINDS] = {
	"kill",
	"freeze",
	"cut domain",
	"cut vm",
	"cut vm's store",
	"cut vm's targets",
	"store away",
	"freeze target",
	"restart target",
	"cut target's store",
	"cut target's vm",
	"late calls",
	"lost replies",
	"resign",
	"reset",
};

static void kill_vm(struct vms *o, struct vm *vm, const struct vms_fault *f)
{
	vm->vanished = f->percent < 20;
	vms_requests_drop(vm);
	if (vm->leading)
		vms_sched_end(vm);
	vms_vm_ended(vm);
	while (vm->members) {
		struct vms_member *m = vm->members;

		vm->members = m->next;
		m->next = o->removed;
		o->removed = m;
	}
	vm->leader_link = NULL;
	vm->up = 0;
	vm->frozen_until = 0;
	vm->frozen_at = o->w.now;
	vm->up_at = o->w.now + f->span + 200;
}

static struct vm *victim(struct vms *o, const struct vms_fault *f)
{
	size_t i;

	for (i = 0; f->leader && i < o->nvms; i++)
		if (o->vms[i].leading)
			return &o->vms[i];
	return &o->vms[(size_t)f->which % o->nvms];
}

static void fault_of_vm(struct vms *o, const struct vms_fault *f)
{
	struct vm *vm = victim(o, f);
	rp_ms until = o->w.now + f->span;

	vms_trace(o, "FAULT %s vm%d until %lld", names[f->kind], vm->index,
		  (long long)until);
	if (f->kind == VMS_KILL && vm->up)
		kill_vm(o, vm, f);
	else if (f->kind == VMS_FREEZE && vms_awake(o, vm)) {
		vm->frozen_at = o->w.now;
		vm->frozen_until = until;
	} else if (f->kind == VMS_CUT_VM)
		vm->cut_until = until;
	else if (f->kind == VMS_CUT_VM_STORE)
		vm->store_cut_until = until;
	else if (f->kind == VMS_CUT_VM_TARGETS)
		vm->targets_cut_until = until;
	else if (f->kind == VMS_RESIGN && vm->leading &&
		 !lead_is_provisional(&vm->lead))
		lead_resign(&vm->lead);
}

static void fault_of_target(struct vms *o, const struct vms_fault *f)
{
	size_t i = (size_t)f->which % o->w.ntargets;
	struct world_target *t = &o->w.targets[i];
	struct vms_entry *e = &o->entries[i];
	rp_ms until = o->w.now + f->span;
	struct vms_fault vm = *f;

	vms_trace(o, "FAULT %s t%zu until %lld", names[f->kind], i,
		  (long long)until);
	if (f->kind == VMS_FREEZE_TARGET)
		e->frozen_until = until;
	else if (f->kind == VMS_CUT_TARGET_STORE)
		e->cut_until = until + f->span;
	else if (f->kind == VMS_CUT_TARGET_VM) {
		e->vm_cut_until = until;
		vm.which = f->percent;
		e->cut_vm = victim(o, &vm)->index;
	} else {
		world_target_restart(&o->w, t);
		if (f->percent < 30)
			t->unresponsive_until = until;
		e->write_due = t->unresponsive_until + f->listed_after;
		if (f->new_id && o->nentries < WORLD_TARGETS) {
			snprintf(t->listing.id, sizeof(t->listing.id),
				 "t%zu-%lld", i, (long long)o->w.now);
			vms_entry_renamed(o, i, e->write_due);
		}
	}
}

static void fault_of_calls(struct vms *o, const struct vms_fault *f)
{
	size_t i, n = 1 + (size_t)f->which % o->w.ntargets;
	int kind = (f->which / 16) % (WORLD_CALLS + 1);
	int k;

	vms_trace(o,
		  "FAULT %s %d%% of %zu targets kind %d delay %lld span %lld",
		  names[f->kind], f->percent, n, kind, (long long)f->delay,
		  (long long)f->span);
	for (i = 0; i < n; i++) {
		struct world_target *t = &o->w.targets[i];

		if (f->kind == VMS_LOSE)
			t->lose_percent = f->percent;
		for (k = 0; f->kind == VMS_LATE && k < WORLD_CALLS; k++)
			if (kind == WORLD_CALLS || kind == k)
				t->late[k] = (struct world_late){ f->percent,
								  50, f->delay,
								  f->leader };
	}
}

static void end_fault_of_calls(struct vms *o, const struct vms_fault *f)
{
	size_t i;

	for (i = 0; i < o->w.ntargets; i++) {
		if (f->kind == VMS_LOSE)
			o->w.targets[i].lose_percent = 0;
		else
			memset(o->w.targets[i].late, 0,
			       sizeof(o->w.targets[i].late));
	}
}

static void reset_callers(struct vms *o, const struct vms_fault *f)
{
	size_t i;

	vms_trace(o, "FAULT reset of %d%% at vm%d", f->percent,
		  f->leader ? -1 : f->which % (int)o->nvms);
	for (i = 0; i < o->ncallers; i++)
		if ((f->leader ||
		     o->callers[i].vm == f->which % (int)o->nvms) &&
		    vms_chance(o, (uint64_t)f->percent))
			vms_caller_break(o, &o->callers[i]);
}

static void run_fault(struct vms *o, const struct vms_fault *f)
{
	switch (f->kind) {
	case VMS_CUT_DOMAIN:
		vms_trace(o, "FAULT cut domain %d until %lld",
			  f->which % VMS_DOMAINS,
			  (long long)(o->w.now + f->span));
		o->cut_until[f->which % VMS_DOMAINS] = o->w.now + f->span;
		break;
	case VMS_STORE_AWAY:
		vms_trace(o, "FAULT store away until %lld",
			  (long long)(o->w.now + f->span));
		o->store_away_until = o->w.now + f->span;
		break;
	case VMS_FREEZE_TARGET:
	case VMS_RESTART_TARGET:
	case VMS_CUT_TARGET_STORE:
	case VMS_CUT_TARGET_VM:
		fault_of_target(o, f);
		break;
	case VMS_LATE:
	case VMS_LOSE:
		fault_of_calls(o, f);
		break;
	case VMS_RESET:
		reset_callers(o, f);
		break;
	default:
		fault_of_vm(o, f);
	}
}

void vms_faults_run(struct vms *o, unsigned skip)
{
	size_t i;

	for (i = 0; i < o->nfaults; i++) {
		const struct vms_fault *f = &o->faults[i];

		if (skip >> i & 1)
			continue;
		if (o->w.now == f->at)
			run_fault(o, f);
		if (o->w.now == f->at + f->span &&
		    (f->kind == VMS_LATE || f->kind == VMS_LOSE))
			end_fault_of_calls(o, f);
	}
}
