/*
 * A failure domain and the other VMs do not reach each other, and both reach
 * the store.
 */

#include "lead-pool.h"

TestSuite(lead_both_sides, .init = set_up);

/* Cuts VMs 3 and 4 off from the others, not from the store. */
static void cut_domain_off_vms(void)
{
	int i;

	cut_domain(1);
	for (i = 3; i < VMS; i++)
		cut[i][STORE] = 0;
}

/*
 * A domain and the rest do not reach each other, and both reach the store: both
 * claimed in turn, every 550 ms, and each change of leader dropped all jobs.
 * Guards against changes of a leader that renews its row, and against a domain
 * that is not served meanwhile.
 */
Test(lead_both_sides,
     both_sides_of_a_cut_that_reach_the_store_keep_their_leaders)
{
	int i, provisional, outside, served = 0;

	move_lead_outside();
	outside = find_leader();
	outside_answers = 0;
	cut_domain_off_vms();
	run_for(2000);
	for (i = 0; i < 400; i++) {
		run_for(10);
		provisional = lead_is_provisional(&vms[3].lead) +
			      lead_is_provisional(&vms[4].lead);
		served += provisional == 1;
	}
	cr_assert_eq(takeovers, 0);
	cr_assert_eq(find_leader(), outside);
	cr_assert_eq(served, 400);
	cut_domain(0);
	for (i = 3; i < VMS; i++)
		if (lead_is_provisional(&vms[i].lead))
			send_heartbeat(&vms[i], &vms[outside]);
	run_for(1500);
	cr_assert_eq(count_leaders(), 1);
	cr_assert_eq(find_leader(), outside);
}

/* The same where the leader is in the domain: the majority replaces it once. */
Test(lead_both_sides, a_leader_cut_off_with_its_domain_is_replaced_once)
{
	int i, provisional = 0;

	move_lead_inside();
	outside_answers = 0;
	cut_domain_off_vms();
	run_for(6000);
	cr_assert_eq(takeovers, 1);
	cr_assert_lt(find_leader(), 3);
	cr_assert_geq(find_leader(), 0);
	for (i = 3; i < VMS; i++)
		provisional += lead_is_provisional(&vms[i].lead);
	cr_assert_eq(provisional, 1);
}

/* Lets VMs 3 and 4, which are cut off from the others, have a leader. */
static void lead_inside_the_cut(void)
{
	move_lead_outside();
	outside_answers = 0;
	cut_domain_off_vms();
	run_for(1500);
	cr_assert(lead_is_provisional(&vms[3].lead) ||
		  lead_is_provisional(&vms[4].lead));
}

/* Runs for ms. Returns how long nobody led, counting the VMs from first on. */
static rp_ms time_without_leader(int first, rp_ms ms)
{
	rp_ms without = 0;
	int i, n;

	for (; ms > 0; ms -= 10) {
		run_for(10);
		for (n = 0, i = first; i < VMS; i++)
			n += vms[i].up && vms[i].lead.role == LEAD_LEADING;
		without += n ? 0 : 10;
	}
	return without;
}

/*
 * The leader and the majority lose power just after a renewal. Guards against a
 * provisional leader that waits for renewals which have stopped.
 */
Test(lead_both_sides, a_provisional_leader_replaces_one_that_renews_no_more)
{
	int i;

	move_lead_outside();
	outside_answers = 0;
	while (now - renewed_at > 20)
		run_for(10);
	for (i = 0; i < 3; i++)
		vms[i].up = 0;
	cr_assert_leq(time_without_leader(3, 4000), 1200);
	cr_assert_geq(find_leader(), 3);
	cr_assert_eq(takeovers, 1);
}

/*
 * The leader outside dies, and those that are left there are less than a
 * majority. Guards against renewals of the provisional leader inside that are
 * taken for those of the leader.
 */
Test(lead_both_sides, renewals_of_a_provisional_leader_are_not_the_leaders)
{
	int outside;

	lead_inside_the_cut();
	outside = find_leader();
	cr_assert_geq(outside, 0);
	vms[outside].up = 0;
	run_for(1500);
	cr_assert_geq(find_leader(), 0);
	cr_assert_lt(find_leader(), 3);
	cr_assert_eq(takeovers, 1);
}

/*
 * The store is away for all VMs while a domain is cut off, and comes back.
 * Guards against a domain that takes the lead from the majority then.
 */
Test(lead_both_sides, the_majority_leads_when_the_store_is_back)
{
	int i;

	lead_inside_the_cut();
	vms[find_leader()].up = 0;
	for (i = 0; i < VMS; i++)
		cut[i][STORE] = 1;
	run_for(3000);
	for (i = 0; i < VMS; i++)
		cut[i][STORE] = 0;
	run_for(3000);
	cr_assert_lt(find_leader(), 3);
	cr_assert_geq(find_leader(), 0);
	cr_assert_leq(takeovers, 1);
}
