/* Random days of a simulated pool: its size, its callers and its faults. */

#include "vms.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_MS 1000 /* time of the world at its start */
#define DAY_MS 9000
#define END_MS 3500 /* after the day, for what is late */

uint64_t vms_random(struct vms *o, uint64_t n)
{
	return n ? (uint64_t)((double)n *
			      ((double)(random_next(&o->random) >> 11) /
			       9007199254740992.0))
		 : 0;
}

void vms_trace(const struct vms *o, const char *format, ...)
{
	va_list args;

	if (!o->trace)
		return;
	va_start(args, format);
	fprintf(stderr, "%6lld ", (long long)o->w.now);
	vfprintf(stderr, format, args);
	fputc('\n', stderr);
	va_end(args);
}

static rp_ms between(struct vms *o, rp_ms least, rp_ms most)
{
	return least + (rp_ms)vms_random(o, (uint64_t)(most - least + 1));
}

int vms_chance(struct vms *o, uint64_t percent)
{
	return vms_random(o, 100) < percent;
}

/* --- what a day is like ----------------------------------------------- */

static struct vms_fault *add_fault(struct vms *o, enum vms_fault_kind kind,
				   rp_ms at, rp_ms span)
{
	struct vms_fault *f = &o->faults[o->nfaults++];

	f->kind = kind;
	f->at = at;
	f->span = span;
	f->which = (int)vms_random(o, 1000);
	f->leader = vms_chance(o, 50);
	f->percent = (int)between(o, 5, 60);
	f->delay = between(o, 100, vms_chance(o, 50) ? 1500 : 8000);
	return f;
}

static enum vms_fault_kind of_leader(struct vms *o)
{
	static const enum vms_fault_kind kinds[] = { VMS_KILL, VMS_FREEZE,
						     VMS_CUT_DOMAIN,
						     VMS_CUT_VM };

	return kinds[vms_random(o, 4)];
}

/*
 * An entry VM is frozen, its callers turn to others, and the leader is lost
 * before it has noticed.
 */
static void draw_owner_and_leader(struct vms *o, rp_ms at)
{
	int which = (int)vms_random(o, 1000);
	struct vms_fault *f;

	f = add_fault(o, vms_chance(o, 70) ? VMS_FREEZE : VMS_CUT_VM, at,
		      between(o, 1000, 4000));
	f->which = which;
	f->leader = 0;
	f = add_fault(o, VMS_RESET, at + between(o, 0, 300), 0);
	f->which = which;
	f->leader = 0;
	f->percent = 100;
	f = add_fault(o, vms_chance(o, 70) ? VMS_KILL : of_leader(o),
		      at + between(o, 300, 800), between(o, 500, 4000));
	f->leader = 1;
}

/* Two leaders are lost within a second, or a domain with its leader. */
static void draw_leader_and_domain(struct vms *o, rp_ms at)
{
	struct vms_fault *f;

	add_fault(o, VMS_CUT_DOMAIN, at, between(o, 500, 4000));
	f = add_fault(o, of_leader(o), at + between(o, -800, 1500),
		      between(o, 200, 3000));
	f->leader = 1;
}

/* Targets are cut off from the store until their entries expire. */
static void draw_unlisted(struct vms *o, rp_ms at)
{
	int which = (int)vms_random(o, 1000);
	int i, n = 1 + (int)vms_random(o, 3);

	for (i = 0; i < n; i++)
		add_fault(o, VMS_CUT_TARGET_STORE,
			  at - between(o, 2500, 5500) + 1500, 4000)
			->which = which + i * VMS_DOMAINS;
	add_fault(o, of_leader(o), at + between(o, 0, 1500),
		  between(o, 500, 3000))
		->leader = 1;
	add_fault(o, VMS_CUT_DOMAIN, at + between(o, -200, 1200),
		  between(o, 500, 3000))
		->which = which;
}

/* Faults fall into a few seconds, so that they meet. */
static void draw_faults(struct vms *o)
{
	rp_ms at = between(o, 3500, 5500);
	size_t n = 3 + vms_random(o, VMS_FAULTS - 3 + 1);

	if (vms_chance(o, 40))
		draw_owner_and_leader(o, at + between(o, 0, 1500));
	if (vms_chance(o, 30))
		draw_leader_and_domain(o, at + between(o, 0, 1500));
	if (vms_chance(o, 30))
		draw_unlisted(o, at + between(o, 0, 1000));
	while (o->nfaults < n)
		add_fault(o,
			  vms_chance(o, 35) ? of_leader(o)
					    : (enum vms_fault_kind)vms_random(
						      o, VMS_FAULT_KINDS),
			  at + between(o, 0, 2500),
			  vms_chance(o, 50) ? between(o, 100, 1500)
					    : between(o, 500, 5000));
}

static void draw_day(struct vms *o, const struct vms_options *opt)
{
	static const rp_ms timeouts[] = { 1500, 3000, 3000, 6000 };

	o->nvms = 3 + vms_random(o, VMS_MAX - 3 + 1);
	o->timeout = timeouts[vms_random(o, 4)];
	o->max_work = (double)o->timeout * (vms_chance(o, 50) ? 0.3 : 0.6);
	o->rest_only = vms_chance(o, 50);
	o->callers_cut = vms_chance(o, 50) && opt->cut_callers;
	o->store_delay = vms_chance(o, 20) ? between(o, 50, 900) : 15;
	o->length = START_MS + DAY_MS;
	o->w.late_leases = vms_chance(o, 50);
	o->w.task_cpu = (double)between(o, 3000, 9000);
	/* From a tenth of the room to nearly all of it. */
	o->load = (int)((double)between(o, 10, 90) / 100 *
			(double)o->w.ntargets * 16000 / o->w.task_cpu * 1000 /
			((VMS_TASKS + 1) / 2.0 * (60 + o->max_work / 2)));
	draw_faults(o);
}

static void draw_targets(struct vms *o)
{
	static const char *const domains[VMS_DOMAINS] = { "a", "b", "c" };
	int slow_clocks = vms_chance(o, 40);
	size_t i;

	for (i = 0; i < o->w.ntargets; i++) {
		struct world_target *t = &o->w.targets[i];

		snprintf(t->listing.failure_domain,
			 sizeof(t->listing.failure_domain), "%s",
			 domains[i % VMS_DOMAINS]);
		if (slow_clocks)
			t->clock_rate = 1 - 0.0001 * (double)between(o, 0, 200);
		o->entries[i].write_due = o->w.now + between(o, 0, 1500);
	}
	vms_entries_init(o);
}

/* --- a day ------------------------------------------------------------ */

static int reaches(struct world *w, const struct world_event *e)
{
	return vms_target_reached((struct vms *)w, e->from, e->target);
}

static rp_ms replies_at(struct world *w, const struct world_event *e)
{
	(void)w;
	return ((const struct vm *)e->from)->frozen_until;
}

static void step(struct vms *o)
{
	size_t i;

	for (i = 0; i < o->nvms; i++) {
		struct vm *vm = &o->vms[i];

		if (vm->up && vm->frozen_until &&
		    o->w.now + 1 >= vm->frozen_until) {
			vm->frozen_until = 0;
			vms_vm_woken(vm);
		}
		if (!vm->up && o->w.now >= vm->up_at) {
			vms_trace(o, "vm%zu is back", i);
			vms_vm_start(o, (int)i);
		}
	}
	world_step(&o->w);
	vms_entries_tick(o);
	vms_links_deliver(o);
	vms_events_run(o);
	vms_callers_tick(o);
	for (i = 0; i < o->nvms; i++)
		if (vms_awake(o, &o->vms[i]))
			vms_vm_tick(&o->vms[i]);
}

void vms_play(struct vms *o, uint64_t seed, const struct vms_options *opt)
{
	static const double speeds[] = { 1.0, 0.7, 1.3 };
	size_t i, ntargets;

	memset(o, 0, sizeof(*o));
	o->random = seed * 0x9e3779b97f4a7c15u + 1;
	ntargets = 3 + vms_random(o, 7);
	world_init(&o->w, seed, ntargets, speeds, 3);
	o->trace = opt->trace;
	o->check_done = opt->check_done;
	o->once = opt->once;
	o->keep_late = opt->keep_late;
	o->w.several = 1;
	o->w.lapses_count = 1;
	o->w.reaches = reaches;
	o->w.replies_at = replies_at;
	o->w.replied = vms_replied;
	draw_day(o, opt);
	vms_draw_parts(o, seed, opt->parts);
	draw_targets(o);
	for (i = 0; i < o->nvms; i++)
		vms_vm_start(o, (int)i);
	while (o->w.now < o->length + END_MS && !o->w.violations) {
		vms_faults_run(o, opt->skip);
		step(o);
	}
}

static void free_members(struct vms_member *m)
{
	while (m) {
		struct vms_member *next = m->next;

		free(m);
		m = next;
	}
}

void vms_finish(struct vms *o)
{
	size_t i;

	for (i = 0; i < o->nvms; i++) {
		if (o->vms[i].leading)
			vms_sched_end(&o->vms[i]);
		free_members(o->vms[i].members);
		while (o->vms[i].requests) {
			struct vms_request *r = o->vms[i].requests;

			o->vms[i].requests = r->next;
			free(r);
		}
	}
	free_members(o->removed);
	vms_links_finish(o);
	while (o->events) {
		struct vms_event *e = o->events;

		o->events = e->next;
		free(e);
	}
	world_finish(&o->w);
}
