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
