/*
 * Simulated callers: they submit a job again at another entry VM when their
 * connection has broken, or when they were told that tasks may have run.
 */

#include "vms.h"

#include <stdlib.h>

void vms_caller_break(struct vms *o, struct vms_caller *c)
{
	if (!c->request)
		return;
	vms_trace(o, "connection of %s to vm%d breaks", c->job->sub->id, c->vm);
	c->request->caller = NULL;
	c->request = NULL;
	c->resend_at = o->w.now + VMS_RESEND_MS;
}

static void submit_at(struct vms *o, struct vms_caller *c, struct vm *vm)
{
	struct vms_request *r = calloc(1, sizeof(*r));
	rp_ms left = c->wait;

	if (o->rest_only)
		left -= o->w.now - c->first_at;
	r->caller = c;
	r->job = c->job;
	r->seq = ++vm->next_seq;
	r->received_at = o->w.now;
	r->deadline = o->w.now + left;
	r->next = vm->requests;
	vm->requests = r;
	c->request = r;
	c->vm = vm->index;
	c->resend_at = 0;
	vms_trace(o, "caller of %s to vm%d, waits %lld", c->job->sub->id,
		  vm->index, (long long)left);
	vms_submit(vm, r);
}

static struct vm *choose_vm(struct vms *o, int except)
{
	size_t i, at = vms_random(o, o->nvms);

	for (i = 0; i < o->nvms; i++) {
		struct vm *vm = &o->vms[(at + i) % o->nvms];

		if (vms_awake(o, vm) && vm->index != except &&
		    vms_callers_reach(o, vm) &&
		    (vm->leading ||
		     o->w.now - vm->leader_alive_at < VMS_NO_LEADER_MS))
			return vm;
	}
	return NULL;
}

static void new_caller(struct vms *o)
{
	struct vm *vm = choose_vm(o, -1);
	struct vms_caller *c = &o->callers[o->ncallers];
	double work = 60 + (double)vms_random(o, (uint64_t)o->max_work);
	int tasks = 1 + (int)vms_random(o, VMS_TASKS);

	if (!vm || o->ncallers == VMS_CALLERS)
		return;
	o->ncallers++;
	c->wait = vms_draw_wait(o, &work);
	c->job = world_job_new(&o->w, "q", tasks, work, 1, c->wait);
	c->job->resent = !o->check_done;
	c->first_at = o->w.now;
	submit_at(o, c, vm);
}

void vms_callers_tick(struct vms *o)
{
	size_t i;

	if (o->w.now < o->length && vms_random(o, 1000) < (uint64_t)o->load)
		new_caller(o);
	for (i = 0; i < o->ncallers; i++) {
		struct vms_caller *c = &o->callers[i];
		struct vm *vm;

		if (c->request && o->callers_cut &&
		    !vms_callers_reach(o, &o->vms[c->vm]))
			vms_caller_break(o, c);
		if (o->once || !c->resend_at || o->w.now < c->resend_at)
			continue;
		if (o->rest_only && o->w.now - c->first_at + 100 >= c->wait) {
			c->resend_at = 0;
			continue;
		}
		vm = choose_vm(o, c->vm);
		if (!vm)
			continue;
		c->job->resent = 1;
		o->resent++;
		submit_at(o, c, vm);
	}
}
