/* Links between the simulated entry VMs, and what reaches what. */

#include "vms.h"

#include <stdlib.h>

int vms_awake(const struct vms *o, const struct vm *vm)
{
	return vm->up && o->w.now >= vm->frozen_until;
}

static int domain_is_cut(const struct vms *o, int domain)
{
	return o->w.now < o->cut_until[domain];
}

int vms_path(const struct vms *o, int a, int b)
{
	const struct vm *x = &o->vms[a], *y = &o->vms[b];

	if (o->w.now < x->cut_until || o->w.now < y->cut_until)
		return 0;
	return x->domain == y->domain ||
	       (!domain_is_cut(o, x->domain) && !domain_is_cut(o, y->domain));
}

int vms_store_reached(const struct vms *o, const struct vm *vm)
{
	return o->w.now >= o->store_away_until && o->w.now >= vm->cut_until &&
	       o->w.now >= vm->store_cut_until && !domain_is_cut(o, vm->domain);
}

int vms_target_reached(const struct vms *o, const struct vm *vm,
		       const struct world_target *t)
{
	size_t i = (size_t)(t - o->w.targets);
	const struct vms_entry *e = &o->entries[i];
	int domain = (int)(i % VMS_DOMAINS);

	if (o->w.now < vm->targets_cut_until || o->w.now < e->frozen_until ||
	    (o->w.now < e->vm_cut_until && e->cut_vm == vm->index))
		return 0;
	return domain == vm->domain ||
	       (!domain_is_cut(o, domain) && !domain_is_cut(o, vm->domain));
}

/* --- links ------------------------------------------------------------ */

static struct vms_link *link_new(struct vm *vm, int to)
{
	struct vms *o = vm->o;
	struct vms_link *l = calloc(1, sizeof(*l));

	l->vms[VMS_MEMBER] = vm->index;
	l->vms[VMS_LEADER] = to;
	l->boots[VMS_MEMBER] = vm->boot;
	l->boots[VMS_LEADER] = o->vms[to].boot;
	l->open[0] = l->open[1] = 1;
	l->tail[0] = &l->head[0];
	l->tail[1] = &l->head[1];
	l->opened_at = l->received_at = l->heard_at = o->w.now;
	l->number = ++o->nlinks;
	l->next = o->links;
	o->links = l;
	return l;
}

struct vms_link *vms_dial_starts(struct vm *vm, int agent)
{
	struct vms_link *l;

	if (!vms_path(vm->o, vm->index, agent) || !vm->o->vms[agent].up)
		return NULL;
	l = link_new(vm, agent);
	l->starts = 1;
	return l;
}

struct vms_link *vms_dial(struct vm *vm, int leader)
{
	struct vms *o = vm->o;

	if (!vms_path(o, vm->index, leader) ||
	    (!o->vms[leader].up && o->vms[leader].vanished))
		return NULL;
	if (!o->vms[leader].up) {
		lead_connection_refused(&vm->lead, o->w.now);
		return NULL;
	}
	return link_new(vm, leader);
}

struct vms_message *vms_send(struct vms_link *l, int to, enum vms_kind kind)
{
	struct vms_message *m = calloc(1, sizeof(*m));

	m->kind = kind;
	*l->tail[to] = m;
	l->tail[to] = &m->next;
	return m;
}

/* The other end is told, and what is on the way to this one is dropped. */
void vms_link_close(struct vms_link *l, int end)
{
	l->open[end] = 0;
	vms_send(l, !end, VMS_CLOSE);
}

static void pop(struct vms_link *l, int to)
{
	struct vms_message *m = l->head[to];

	l->head[to] = m->next;
	if (!l->head[to])
		l->tail[to] = &l->head[to];
	if (m->kind == VMS_REPLY && !m->not_sent) {
		free(m->call.runs);
		free(m->call.ends);
	}
	free(m);
}

static void deliver(struct vms *o, struct vms_link *l, int to)
{
	struct vm *vm = &o->vms[l->vms[to]];
	struct vms_message *m;

	while ((m = l->head[to])) {
		int valid = vm->up && vm->boot == l->boots[to] && l->open[to];

		if (!m->at)
			m->at = o->w.now + 1 + (rp_ms)vms_random(o, 3);
		if (!vms_path(o, l->vms[0], l->vms[1])) {
			l->blocked[to] = 1;
			return;
		}
		/* Lost packets are sent again some time after the path is back.
		 */
		if (l->blocked[to])
			m->at = o->w.now + 1 + (rp_ms)vms_random(o, 300);
		l->blocked[to] = 0;
		if (m->at > o->w.now || (valid && !vms_awake(o, vm)))
			return;
		if (valid && m->kind == VMS_CLOSE) {
			l->open[to] = 0;
			vms_link_lost(vm, l, to);
		} else if (valid) {
			vms_received(vm, l, to, m);
		}
		pop(l, to);
		o->events_seen++;
	}
}

void vms_links_deliver(struct vms *o)
{
	struct vms_link **at = &o->links, *l;

	for (l = o->links; l; l = l->next) {
		deliver(o, l, VMS_LEADER);
		deliver(o, l, VMS_MEMBER);
	}
	while ((l = *at)) {
		if (l->open[0] || l->open[1] || l->head[0] || l->head[1]) {
			at = &l->next;
			continue;
		}
		*at = l->next;
		free(l);
	}
}

/* The process has ended; its address refuses connections unless it vanished. */
void vms_vm_ended(struct vm *vm)
{
	struct vms_link *l;
	int end;

	for (l = vm->o->links; l; l = l->next)
		for (end = 0; end < VMS_ENDS; end++) {
			if (l->vms[end] != vm->index || !l->open[end])
				continue;
			l->open[end] = 0;
			if (!vm->vanished)
				vms_send(l, !end, VMS_CLOSE);
		}
}

void vms_links_finish(struct vms *o)
{
	while (o->links) {
		struct vms_link *l = o->links;
		int end;

		for (end = 0; end < VMS_ENDS; end++)
			while (l->head[end])
				pop(l, end);
		o->links = l->next;
		free(l);
	}
}
