/*
 * Entries of the simulated targets in the store, and what entry VMs read of
 * them, as pool-listing.c and pool-confirm.c do.
 */

#include "vms.h"

#define ENTRY_INTERVAL_MS 1500
#define ENTRY_TTL_MS 4500
#define REMOVED_AFTER_MS 2500
#define LIST_AGE_MAX_MS 1000
#define READ_DELAY_MS 300
#define LISTING_EXPIRY_MS 2500

void vms_entries_init(struct vms *o)
{
	size_t i;

	o->nentries = o->w.ntargets;
	for (i = 0; i < o->nentries; i++) {
		struct vms_entry *e = &o->entries[i];

		e->target = i;
		e->listing = o->w.targets[i].listing;
		e->present = 1;
		e->version = (uint64_t)++o->version;
		e->written_at = o->w.now;
	}
}

static struct vms_entry *current_entry(struct vms *o, size_t target)
{
	size_t i;

	for (i = 0; i < o->nentries; i++)
		if (o->entries[i].target == target && !o->entries[i].superseded)
			return &o->entries[i];
	return NULL;
}

void vms_entry_renamed(struct vms *o, size_t target, rp_ms write_due)
{
	struct vms_entry *e;

	current_entry(o, target)->superseded = 1;
	e = &o->entries[o->nentries++];
	e->target = target;
	e->listing = o->w.targets[target].listing;
	e->write_due = write_due;
}

static int can_write(const struct vms *o, size_t target)
{
	return o->w.now >= o->cut_until[target % VMS_DOMAINS] &&
	       o->w.now >= o->entries[target].cut_until &&
	       o->w.now >= o->store_away_until &&
	       o->w.now >= o->w.targets[target].unresponsive_until;
}

void vms_entries_tick(struct vms *o)
{
	size_t i;

	for (i = 0; i < o->nentries; i++) {
		struct vms_entry *e = &o->entries[i];

		if (e->present && o->w.now - e->written_at > ENTRY_TTL_MS) {
			vms_trace(o, "entry of %s expires", e->listing.id);
			e->present = 0;
		}
		if (o->w.now < e->write_due || e->superseded)
			continue;
		if (!can_write(o, e->target)) {
			e->write_due =
				o->w.now + 100 + (rp_ms)vms_random(o, 300);
			continue;
		}
		e->present = 1;
		e->version = (uint64_t)++o->version;
		e->written_at = o->w.now;
		e->write_due = o->w.now + ENTRY_INTERVAL_MS;
		e->listing = o->w.targets[e->target].listing;
	}
}

static int leads_domain(const struct vm *vm, int domain)
{
	size_t i;

	if (!lead_is_provisional(&vm->lead) || vm->lead.all_domains ||
	    domain == vm->domain)
		return 1;
	for (i = 0; i < vm->o->nvms; i++)
		if (vm->led[i] && vm->o->vms[i].domain == domain)
			return 1;
	return 0;
}

static void list_target(struct vm *vm, size_t i)
{
	if (vm->listed[i] &&
	    leads_domain(vm, (int)(vm->o->entries[i].target % VMS_DOMAINS)))
		sched_target_listed(&vm->sched, &vm->listings[i], vm->o->w.now);
}

void vms_list_cached(struct vm *vm)
{
	size_t i;

	for (i = 0; i < vm->o->nentries; i++)
		list_target(vm, i);
}

static void set_doubt(struct vm *vm, const char *why)
{
	vm->sched.prev_may_hold_unlisted = why != NULL;
	vms_trace(vm->o, "vm%d: the list may lack targets: %s", vm->index,
		  why ? why : "no");
}

void vms_check_predecessor(struct vm *vm)
{
	const struct lead *l = &vm->lead;
	uint64_t prev = LEAD_TOKEN(LEAD_TERM(l->row.fence) - 1);
	const char *why = NULL;

	if (LEAD_IS_PROVISIONAL(l->row.fence))
		why = "provisional";
	else if (l->store_lost ||
		 (vm->store_back_at &&
		  vm->o->w.now - vm->store_back_at < LISTING_EXPIRY_MS))
		why = "the store was away";
	else if (l->prev_renewal_age > LISTING_EXPIRY_MS)
		why = "not renewed";
	else if (vm->list_confirmed_fence != prev)
		why = "not confirmed";
	set_doubt(vm, why);
}

int vms_list_is_confirmed(struct vm *vm)
{
	rp_ms max_age =
		2 * ENTRY_INTERVAL_MS - LEAD_SILENCE_MAX_MS - READ_DELAY_MS;
	rp_ms now = vm->o->w.now;

	return vm->leading && vm->sched.targets_loaded &&
	       !lead_is_provisional(&vm->lead) &&
	       !sched_prev_may_go_on(&vm->sched, now) && vm->list_complete &&
	       !vm->list_lost && now - vm->list_replied_at <= LIST_AGE_MAX_MS &&
	       sched_entries_are_current(&vm->sched, now, max_age);
}

static void read_entry(struct vm *vm, size_t i)
{
	struct vms *o = vm->o;
	const struct vms_entry *e = &o->entries[i];
	const char *id = e->listing.id;

	if (!e->present) {
		if (sched_find_target(&vm->sched, id) &&
		    !vm->missing_since[i]) {
			sched_target_entry_written(&vm->sched, id, 0);
			vm->missing_since[i] = o->w.now;
		}
		return;
	}
	vm->missing_since[i] = 0;
	if (vm->versions[i] == e->version && sched_find_target(&vm->sched, id))
		return;
	vm->listings[i] = e->listing;
	vm->listed[i] = 1;
	list_target(vm, i);
	if (vm->versions[i] && vm->versions[i] != e->version)
		sched_target_entry_written(&vm->sched, id, o->w.now);
	vm->versions[i] = e->version;
}

static void check_missing(struct vm *vm, size_t i)
{
	const struct vms_entry *e = &vm->o->entries[i];
	rp_ms now = vm->o->w.now;

	if (!vm->missing_since[i] ||
	    now - vm->missing_since[i] < REMOVED_AFTER_MS)
		return;
	vms_trace(vm->o, "vm%d: %s is unlisted", vm->index, e->listing.id);
	sched_target_unlisted(&vm->sched, e->listing.id, now);
	vm->listed[i] = 0;
	vm->missing_since[i] = 0;
}

/* The leader's read of the list; the others learn of targets from it. */
void vms_read_list(struct vm *vm)
{
	struct vms *o = vm->o;
	size_t i;

	for (i = 0; !vm->leading && i < o->nentries; i++)
		if (o->entries[i].present) {
			vm->listings[i] = o->entries[i].listing;
			vm->versions[i] = o->entries[i].version;
			vm->listed[i] = 1;
		}
	if (!vm->leading)
		return;
	for (i = 0; i < o->nentries; i++) {
		if (vm->list_lost && vm->missing_since[i])
			vm->missing_since[i] = o->w.now;
		read_entry(vm, i);
		check_missing(vm, i);
	}
	vm->list_lost = 0;
	vm->list_replied_at = o->w.now;
	if (vm->list_complete)
		return;
	vm->list_complete = 1;
	if (!vm->sched.targets_loaded && !vm->sched.prev_may_hold_unlisted &&
	    vm->list_confirmed_fence &&
	    o->w.now - vm->list_confirmed_at > ENTRY_INTERVAL_MS)
		set_doubt(vm, "the list was read late");
	sched_targets_loaded(&vm->sched);
}
