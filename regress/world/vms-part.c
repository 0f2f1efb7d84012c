/* Parts of the model that a day may have. */

#include "vms.h"

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

void vms_draw_parts(struct vms *o, uint64_t seed, unsigned parts)
{
	uint64_t random = seed * 0xd1342543de82ef95u + 7;
	int i, blocked, jitter, resends;

	for (i = 0; i < 8; i++)
		random_next(&random);
	for (i = 0; i < VMS_PARTS; i++)
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
}
