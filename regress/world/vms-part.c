/* Parts of the model that a day may have. */

#include "vms.h"

#include <math.h>

/* What callers state, and the work of their tasks, ms. */
#define WAIT_MIN_MS 100
#define WAIT_MAX_MS 60000
#define WORK_MIN_MS 60
#define WORK_MAX_MS 8000
#define MEAN_WORK_MS 1000

int vms_has_part(const struct vms *o, enum vms_part part)
{
	return o->parts >> part & 1;
}

static int draw(uint64_t *random, int n)
{
	return (int)(random_next(random) % (uint64_t)n);
}

/* Targets restart beside calls that are carried out late. */
static void draw_restarts(struct vms *o, uint64_t *random)
{
	static const rp_ms delays[] = { 0, 500, 3000, 6000 };
	int i, n = 1 + draw(random, VMS_PART_FAULTS - 1);
	struct vms_fault *f = &o->faults[o->nfaults++];

	f->kind = VMS_LATE;
	f->at = 3500 + draw(random, 3000);
	f->span = 500 + draw(random, 3000);
	f->which = draw(random, 1000);
	f->percent = 10 + draw(random, 50);
	f->delay = 100 + draw(random, 3000);
	f->leader = draw(random, 2);
	for (i = 0; i < n; i++) {
		f = &o->faults[o->nfaults++];
		f->kind = VMS_RESTART_TARGET;
		f->at = 3500 + draw(random, 4500);
		f->which = draw(random, 1000);
		f->percent = draw(random, 100);
		f->span = draw(random, 2000);
		f->new_id = draw(random, 2);
		f->listed_after =
			draw(random, 1 + (int)delays[draw(random, 4)]);
	}
}

static double log_uniform(uint64_t *random, double least, double most)
{
	double at = (double)draw(random, 1 << 20) / (1 << 20);

	return least * exp(at * log(most / least));
}

/*
 * Jobs live for longer than leases, leaders and records do: the day is longer,
 * with faults up to 20 s after the first ones.
 */
static void draw_deadlines(struct vms *o, uint64_t *random)
{
	int i, n = 1 + draw(random, VMS_LATER_FAULTS);
	double mean = WORK_MIN_MS + o->max_work / 2;
	rp_ms after = (rp_ms)log_uniform(random, 300, 20000);

	o->length += draw(random, 20000);
	o->load = 1 + (int)(o->load * mean / MEAN_WORK_MS);
	for (i = 0; i < n; i++) {
		struct vms_fault *f = &o->faults[o->nfaults++];

		f->kind = draw(random, 100) < 50
				  ? (enum vms_fault_kind)draw(random,
							      VMS_CUT_VM + 1)
				  : (enum vms_fault_kind)draw(random,
							      VMS_FAULT_KINDS);
		f->at = 4500 + after + draw(random, 2500);
		f->span = 100 + draw(random, draw(random, 2) ? 1500 : 5000);
		f->which = draw(random, 1000);
		f->leader = draw(random, 2);
		f->percent = 5 + draw(random, 56);
		f->delay = 100 + draw(random, draw(random, 2) ? 1500 : 8000);
	}
}

/* Some of the tasks fail, a few of them as often as is allowed. */
static void draw_old_lists(struct vms *o, uint64_t seed)
{
	uint64_t random = seed * 0x9fb21c651e98df25u + 5;
	int most, percent;
	size_t i;

	for (i = 0; i < 8; i++)
		random_next(&random);
	most = 2 + draw(&random, 60);
	percent = 5 + draw(&random, 40);
	for (i = 0; i < o->w.ntargets; i++) {
		o->w.targets[i].list_delay = draw(&random, most);
		o->w.targets[i].fail_percent = percent;
	}
}

rp_ms vms_draw_wait(struct vms *o, double *work)
{
	double wait, most;

	if (!vms_has_part(o, VMS_DEADLINES))
		return o->timeout;
	wait = log_uniform(&o->caller_random, WAIT_MIN_MS, WAIT_MAX_MS);
	most = wait * 0.8;
	if (most < WORK_MIN_MS * 1.1)
		most = WORK_MIN_MS * 1.1;
	if (most > WORK_MAX_MS)
		most = WORK_MAX_MS;
	*work = log_uniform(&o->caller_random, WORK_MIN_MS, most);
	return (rp_ms)wait;
}

void vms_draw_parts(struct vms *o, uint64_t seed, unsigned parts)
{
	uint64_t random = seed * 0xd1342543de82ef95u + 7;
	int i, blocked, jitter, resends;

	for (i = 0; i < 8; i++)
		random_next(&random);
	for (i = 0; i < VMS_DEADLINES; i++)
		o->parts |= (unsigned)draw(&random, 2) << i;
	o->parts &= parts;
	blocked = draw(&random, 101);
	jitter = draw(&random, 6);
	resends = draw(&random, 101);
	if (vms_has_part(o, VMS_WIRE)) {
		o->w.keep_blocked = blocked;
		o->w.jitter = jitter;
	}
	o->w.keep_late = o->keep_late;
	if (vms_has_part(o, VMS_INCARNATIONS)) {
		o->w.resends = resends;
		o->w.new_clocks = 1;
		draw_restarts(o, &random);
	}
	o->caller_random = seed * 0xda942042e4dd58b5u + 3;
	for (i = 0; i < 8; i++)
		random_next(&o->caller_random);
	if (parts >> VMS_DEADLINES & 1) {
		o->parts |= 1u << VMS_DEADLINES;
		draw_deadlines(o, &o->caller_random);
	}
	if (parts >> VMS_OLD_LISTS & 1) {
		o->parts |= 1u << VMS_OLD_LISTS;
		draw_old_lists(o, seed);
	}
}
