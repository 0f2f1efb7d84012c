#ifndef LEAD_POOL_H
#define LEAD_POOL_H

/*
 * Election of the pool's leader, simulated in logical time: five entry VMs, a
 * store with compare-and-set, and partitions between any of them.
 */

#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "lead.h"

#define VMS 5
#define STORE VMS /* index of the store in cut[][] */

struct vm {
	struct lead lead;
	char name[16];
	int up;
	rp_ms heartbeat_at;
	rp_ms probed_at;      /* 0: no probe under way */
	rp_ms store_lost_for; /* ms */
};

static struct vm vms[VMS];
static int cut[VMS + 1][VMS + 1];
static struct lead_row row; /* the store's row that names the leader */
static rp_ms now, renewed_at;
static int takeovers;
static int lose_claims; /* claims have no effect and get no reply */

static struct vm *vm_of(struct lead *l)
{
	return (struct vm *)((char *)l - offsetof(struct vm, lead));
}

static inline int index_of(struct lead *l)
{
	return (int)(vm_of(l) - vms);
}

static inline void on_claim(struct lead *l, const struct lead_row *wanted,
			    int64_t expected)
{
	if (lose_claims)
		return;
	if (cut[index_of(l)][STORE]) {
		lead_claim_failed(l, now);
		return;
	}
	if (expected != row.version) {
		lead_claim_failed(l, now);
		lead_row_read(l, &row, now);
		return;
	}
	cr_assert_gt(wanted->fence, row.fence,
		     "the fencing token of a claim must be higher");
	row = *wanted;
	row.version = expected + 1;
	takeovers++;
	renewed_at = now;
	lead_row_read(l, &row, now);
}

static inline void on_probe(struct lead *l)
{
	vm_of(l)->probed_at = now;
}

static inline void on_changed(struct lead *l)
{
	(void)l;
}

/* Whether anything outside the failure domain of VMs 3 and 4 answers. */
static int outside_answers;

static inline void on_check_reachability(struct lead *l)
{
	lead_reachability_result(l, outside_answers, now);
}

/* Whether VMs 0 to 2 and VMs 3 and 4, which are domains, reach each other. */
static inline int on_domains_answered(struct lead *l)
{
	int i, n = 0, whole[2] = { 1, 1 };

	for (i = 0; i < VMS; i++) {
		int reached = vms[i].up && !cut[index_of(l)][i];

		n += reached && (i >= 3) != (index_of(l) >= 3);
		whole[i >= 3] &= reached;
	}
	return n && whole[0] && whole[1];
}

static int domains_added;

static inline void on_domains_added(struct lead *l)
{
	(void)l;
	domains_added++;
}

/* The store tells whether the row still names the VM. */
static inline void on_confirm(struct lead *l)
{
	if (cut[index_of(l)][STORE])
		return;
	if (row.fence == l->row.fence)
		lead_confirmed(l);
	else
		lead_row_read(l, &row, now);
}

static const struct lead_ops ops = {
	.confirm = on_confirm,
	.claim = on_claim,
	.probe = on_probe,
	.check_reachability = on_check_reachability,
	.domains_answered = on_domains_answered,
	.domains_added = on_domains_added,
	.changed = on_changed,
};

static inline void start_vm(int i)
{
	static uint64_t incarnation = 10;
	struct vm *vm = &vms[i];
	char address[32];

	snprintf(vm->name, sizeof(vm->name), "vm%d", i);
	snprintf(address, sizeof(address), "10.0.0.%d:1", i);
	lead_init(&vm->lead, &ops, NULL, vm->name, address, ++incarnation);
	vm->lead.nothers = VMS - 1;
	vm->lead.own_row_version = (uint32_t)(100 + i);
	vm->up = 1;
	vm->probed_at = 0;
}

static inline void send_heartbeat(struct vm *from, struct vm *to)
{
	static char *successors[] = { "vm1", "vm2", "vm3" };
	struct lead *l = &from->lead;
	struct lead_heartbeat hb = {
		.fence = l->row.fence,
		.vm = from->name,
		.leader = l->row.vm,
		.address = l->row.address,
		.leading = l->role == LEAD_LEADING,
		.hears_leader = lead_leader_alive(l, now),
		.resigns = l->resigning,
		.stops = l->resigning && l->claims_disabled,
		.nsuccessors = 3,
		.successors = successors,
	};

	lead_heartbeat(&to->lead, &hb, now);
}

/* One step of 10 ms for a VM: its reads of the store and its messages. */
static inline void step_vm(int i)
{
	struct vm *vm = &vms[i];
	int j;

	if (cut[i][STORE])
		vm->store_lost_for += 10;
	else
		vm->store_lost_for = 0;
	vm->lead.store_lost = vm->store_lost_for > 1200;
	if (!cut[i][STORE]) {
		struct lead_row none = { .fence = 0 };

		if (row.fence || vm->lead.role == LEAD_UNKNOWN)
			lead_row_read(&vm->lead, row.fence ? &row : &none, now);
		if (now - renewed_at < 20)
			lead_renewed(&vm->lead, renewed_at, now);
		if (vm->lead.role == LEAD_LEADING &&
		    vm->lead.row.fence == row.fence &&
		    now - renewed_at >= LEAD_RENEW_INTERVAL_MS)
			renewed_at = now;
	}
	for (j = 0; j < VMS; j++) {
		if (j == i || !vms[j].up || cut[i][j])
			continue;
		if (vm->lead.role == LEAD_LEADING &&
		    now - vm->heartbeat_at >= LEAD_HEARTBEAT_MS)
			send_heartbeat(vm, &vms[j]);
		if (vm->probed_at && now - vm->probed_at >= 10)
			send_heartbeat(&vms[j], vm);
	}
	if (now - vm->heartbeat_at >= LEAD_HEARTBEAT_MS)
		vm->heartbeat_at = now;
	if (vm->probed_at && now - vm->probed_at >= 10)
		vm->probed_at = 0;
}

static inline void run_for(rp_ms span)
{
	rp_ms end = now + span;
	int i;

	for (; now < end; now += 10)
		for (i = 0; i < VMS; i++) {
			if (!vms[i].up)
				continue;
			step_vm(i);
			lead_tick(&vms[i].lead, now);
		}
}

/* Cuts a VM off from all others, or reconnects it. */
static inline void partition_vm(int i, int off)
{
	int j;

	for (j = 0; j < VMS; j++)
		cut[i][j] = cut[j][i] = off && j != i;
}

static inline int count_leaders(void)
{
	int i, n = 0;

	for (i = 0; i < VMS; i++)
		n += vms[i].up && vms[i].lead.role == LEAD_LEADING;
	return n;
}

/* Index of the VM that leads under the store's token, or -1. */
static inline int find_leader(void)
{
	int i;

	for (i = 0; i < VMS; i++)
		if (vms[i].up && vms[i].lead.role == LEAD_LEADING &&
		    vms[i].lead.row.fence == row.fence)
			return i;
	return -1;
}

static inline void set_up(void)
{
	int i;

	memset(&row, 0, sizeof(row));
	memset(cut, 0, sizeof(cut));
	now = 1000;
	takeovers = 0;
	outside_answers = 1;
	for (i = 0; i < VMS; i++)
		start_vm(i);
	run_for(1000);
	cr_assert_eq(count_leaders(), 1);
	takeovers = 0;
}

/* Restarts leaders until one of VMs 0 to 2 leads. */
static inline void move_lead_outside(void)
{
	while (find_leader() >= 3) {
		int old = find_leader();

		vms[old].up = 0;
		run_for(1500);
		start_vm(old);
		run_for(300);
	}
	takeovers = 0;
}

/* Lets VM 3 or 4 lead, by restarting the others. */
static inline void move_lead_inside(void)
{
	int i;

	for (i = 0; i < 3; i++)
		vms[i].up = 0;
	run_for(LEAD_RENEWAL_TIMEOUT_MS + 3000);
	for (i = 0; i < 3; i++)
		start_vm(i);
	run_for(1000);
	cr_assert_geq(find_leader(), 3);
	takeovers = 0;
}

/* Cuts VMs 3 and 4 off from the others and the store, or reconnects them. */
static inline void cut_domain(int off)
{
	int i, j;

	for (i = 3; i < VMS; i++) {
		for (j = 0; j < 3; j++)
			cut[i][j] = cut[j][i] = off;
		cut[i][STORE] = off;
	}
}

#endif
