/*
 * Election of the pool's leader, in the simulation of lead-pool.h.
 */

#include "lead-pool.h"

TestSuite(lead, .init = set_up);

Test(lead, a_healthy_leader_keeps_leading)
{
	run_for(20000);
	cr_assert_eq(count_leaders(), 1);
	cr_assert_eq(takeovers, 0);
}

/*
 * A claim succeeded but its reply was lost. Another VM that has read the row
 * reports this VM as the leader before it reads the row itself.
 */
Test(lead, a_claim_reported_by_others_first_succeeds)
{
	int old = find_leader(), next = (old + 1) % VMS,
	    other = (old + 2) % VMS;
	struct lead_heartbeat heartbeat = { 0 };
	struct lead_row own_row = row;

	vms[old].up = 0;
	own_row.fence = LEAD_TOKEN(LEAD_TERM(row.fence) + 1);
	own_row.incarnation = vms[next].lead.incarnation;
	own_row.version = row.version + 1;
	snprintf(own_row.vm, sizeof(own_row.vm), "%s", vms[next].name);
	snprintf(own_row.address, sizeof(own_row.address), "%s",
		 vms[next].lead.address);
	row = own_row;
	heartbeat.fence = row.fence;
	heartbeat.vm = vms[other].name;
	heartbeat.leader = row.vm;
	heartbeat.address = row.address;
	lose_claims = 1;
	lead_heartbeat(&vms[next].lead, &heartbeat, now);
	run_for(50);
	cr_assert_eq(vms[next].lead.role, LEAD_LEADING);
	lose_claims = 0;
	run_for(1500);
	cr_assert_eq(find_leader(), next);
	cr_assert_eq(count_leaders(), 1);
}

Test(lead, a_dead_leader_is_replaced_once_and_soon)
{
	vms[find_leader()].up = 0;
	run_for(1200);
	cr_assert_eq(count_leaders(), 1);
	cr_assert_eq(takeovers, 1);
}

Test(lead, a_refused_connection_shortens_the_wait)
{
	int dead = find_leader(), i;

	vms[dead].up = 0;
	for (i = 0; i < VMS; i++)
		lead_connection_refused(&vms[i].lead, now);
	run_for(600);
	cr_assert_eq(count_leaders(), 1);
}

/* A VM that is cut off must not replace a leader that is alive. */
Test(lead, a_vm_cut_off_from_the_others_does_not_lead)
{
	int other = (find_leader() + 1) % VMS;

	partition_vm(other, 1);
	run_for(8000);
	cr_assert_eq(takeovers, 0);
	partition_vm(other, 0);
	run_for(1000);
	cr_assert_eq(count_leaders(), 1);
}

Test(lead, a_leader_cut_off_from_the_store_keeps_leading)
{
	cut[find_leader()][STORE] = 1;
	run_for(8000);
	cr_assert_eq(takeovers, 0);
}

Test(lead, a_leader_cut_off_from_all_vms_is_replaced)
{
	int old = find_leader();

	partition_vm(old, 1);
	run_for(1500);
	cr_assert_eq(takeovers, 1);
	cr_assert_neq(find_leader(), old);
	/* The old leader has read its successor's row in the store. */
	cr_assert_eq(count_leaders(), 1);
}

/* The leader's token is provisional until the store is back. */
Test(lead, a_majority_without_the_store_has_one_leader)
{
	int i, old = find_leader(), provisional = 0;

	for (i = 0; i < VMS; i++)
		cut[i][STORE] = 1;
	vms[old].up = 0;
	run_for(3000);
	cr_assert_eq(count_leaders(), 1);
	for (i = 0; i < VMS; i++)
		provisional += vms[i].up && lead_is_provisional(&vms[i].lead);
	cr_assert_eq(provisional, 1);
	cr_assert_eq(takeovers, 0);
	for (i = 0; i < VMS; i++)
		cut[i][STORE] = 0;
	run_for(2000);
	cr_assert_eq(count_leaders(), 1);
	cr_assert_eq(takeovers, 1);
	cr_assert_geq(find_leader(), 0);
	cr_assert_not(LEAD_IS_PROVISIONAL(row.fence));
}

Test(lead, a_minority_without_the_store_has_no_leader)
{
	int i, old, up = 0;

	move_lead_outside();
	old = find_leader();
	for (i = 0; i < VMS; i++)
		cut[i][STORE] = 1;
	/* Two of five known VMs are left and reach each other. */
	for (i = 0; i < VMS; i++)
		if (i == old || up == 2)
			vms[i].up = 0;
		else
			up++;
	run_for(8000);
	cr_assert_eq(count_leaders(), 0);
	for (i = 0; i < VMS; i++)
		cut[i][STORE] = 0;
	run_for(2500);
	cr_assert_eq(count_leaders(), 1);
}

Test(lead, a_restarted_leader_does_not_believe_it_leads)
{
	int old = find_leader();

	vms[old].up = 0;
	run_for(50);
	start_vm(old);
	run_for(2000);
	cr_assert_eq(count_leaders(), 1);
	cr_assert_eq(takeovers, 1);
}

Test(lead, a_paused_leader_stops_leading)
{
	int old = find_leader();

	vms[old].up = 0;
	run_for(2000);
	vms[old].up = 1;
	lead_paused(&vms[old].lead, 2000, now);
	cr_assert_neq(vms[old].lead.role, LEAD_LEADING);
	run_for(1000);
	cr_assert_eq(count_leaders(), 1);
}

/* A leader whose own work took 316 ms dropped the schedule of 300 jobs. */
Test(lead, a_short_pause_does_not_end_leadership)
{
	int old = find_leader();

	vms[old].up = 0;
	run_for(320);
	vms[old].up = 1;
	lead_paused(&vms[old].lead, 320, now);
	cr_assert(lead_may_act(&vms[old].lead));
	run_for(1000);
	cr_assert_eq(takeovers, 0);
	cr_assert_eq(find_leader(), old);
}

Test(lead, a_paused_leader_does_not_act_before_it_is_confirmed)
{
	int old = find_leader();

	vms[old].up = 0;
	run_for(320);
	vms[old].up = 1;
	cut[old][STORE] = 1;
	lead_paused(&vms[old].lead, 320, now);
	cr_assert(!lead_may_act(&vms[old].lead));
	run_for(LEAD_CONFIRM_TIMEOUT_MS + 20);
	cr_assert_neq(vms[old].lead.role, LEAD_LEADING);
}

Test(lead, a_leader_that_was_replaced_in_a_pause_follows)
{
	int old = find_leader();

	vms[old].up = 0;
	run_for(900);
	cr_assert_eq(takeovers, 1);
	vms[old].up = 1;
	lead_paused(&vms[old].lead, 900, now);
	cr_assert_neq(vms[old].lead.role, LEAD_LEADING);
	run_for(1000);
	cr_assert_eq(count_leaders(), 1);
	cr_assert_eq(takeovers, 1);
}

Test(lead, a_resigning_leader_is_followed_by_its_successor)
{
	int old = find_leader();

	vms[old].lead.claims_disabled = 1;
	lead_resign(&vms[old].lead);
	run_for(600);
	cr_assert_eq(takeovers, 1);
	cr_assert_neq(find_leader(), old);
	cr_assert_eq(count_leaders(), 1);
}

Test(lead, one_vm_leads_after_a_total_restart)
{
	int i;

	for (i = 0; i < VMS; i++)
		vms[i].up = 0;
	now += 1000;
	for (i = 0; i < VMS; i++)
		start_vm(i);
	run_for(1500);
	cr_assert_eq(count_leaders(), 1);
}

Test(lead, a_domain_that_is_cut_off_has_a_provisional_leader)
{
	int outside, provisional = 0, i;

	move_lead_outside();
	outside = find_leader();
	outside_answers = 0;
	cut_domain(1);
	run_for(4000);
	for (i = 3; i < VMS; i++)
		provisional += lead_is_provisional(&vms[i].lead);
	cr_assert_eq(provisional, 1);
	cr_assert_eq(vms[outside].lead.role, LEAD_LEADING);
	cr_assert_eq(takeovers, 0);
	/* The leader hears of the provisional one and claims the next term. */
	cut_domain(0);
	for (i = 3; i < VMS; i++)
		if (lead_is_provisional(&vms[i].lead))
			send_heartbeat(&vms[i], &vms[outside]);
	run_for(1500);
	cr_assert_eq(count_leaders(), 1);
	cr_assert_eq(find_leader(), outside);
	cr_assert_not(LEAD_IS_PROVISIONAL(vms[outside].lead.row.fence));
}

/* A VM that still reaches targets of other domains must not lead. */
Test(lead, a_domain_that_reaches_other_targets_has_no_leader)
{
	int i;

	move_lead_outside();
	outside_answers = 1;
	cut_domain(1);
	run_for(4000);
	for (i = 3; i < VMS; i++)
		cr_assert_neq(vms[i].lead.role, LEAD_LEADING);
	cut_domain(0);
	run_for(1000);
	cr_assert_eq(count_leaders(), 1);
}

/* A provisional leader follows the regular leader's successor as well. */
Test(lead, a_provisional_leader_follows_the_successor)
{
	int outside;

	move_lead_outside();
	outside = find_leader();
	outside_answers = 0;
	cut_domain(1);
	run_for(3000);
	vms[outside].up = 0;
	run_for(1500);
	cut_domain(0);
	run_for(1500);
	cr_assert_eq(count_leaders(), 1);
	cr_assert_neq(find_leader(), outside);
	cr_assert_lt(find_leader(), 3);
}

/* All other VMs are lost: the last one leads after the renewal timeout. */
Test(lead, the_last_vm_leads_after_the_renewal_timeout)
{
	int i;

	for (i = 0; i < VMS - 1; i++)
		vms[i].up = 0;
	run_for(LEAD_RENEWAL_TIMEOUT_MS + 3000);
	cr_assert_eq(find_leader(), VMS - 1);
}

/*
 * All other VMs are lost, and nothing listens at the leader's address: its
 * process has ended, and fewer missing renewals are enough.
 */
Test(lead, the_last_vm_leads_sooner_when_the_leader_refuses_connections)
{
	int i;

	for (i = 0; i < VMS - 1; i++)
		vms[i].up = 0;
	for (i = 0; i < 2500; i += 10) {
		lead_connection_refused(&vms[VMS - 1].lead, now);
		run_for(10);
	}
	cr_assert_eq(find_leader(), VMS - 1);
}

/*
 * A cut failure domain has no VM that the leader names as a successor. Its VMs
 * must not all become provisional leaders at the same time.
 */
Test(lead, vms_of_a_domain_take_over_one_after_the_other)
{
	struct lead_row leader = { .fence = LEAD_TOKEN(1), .version = 1 };
	rp_ms probes[2] = { 0, 0 };
	static struct vm pair[2];
	int i;

	snprintf(leader.vm, sizeof(leader.vm), "leader");
	for (i = 0; i < 2; i++) {
		lead_init(&pair[i].lead, &ops, NULL, "vm", "10.0.0.1:1",
			  (uint64_t)(7 + i * LEAD_SUCCESSORS));
		pair[i].lead.domain_rank = (unsigned)i;
		lead_row_read(&pair[i].lead, &leader, 1000);
		lead_heartbeat(&pair[i].lead,
			       &(struct lead_heartbeat){ .fence = LEAD_TOKEN(1),
							 .vm = "leader",
							 .leader = "leader",
							 .address = "10.0.0.2:"
								    "1",
							 .leading = 1 },
			       1000);
	}
	for (now = 1000; now < 4000; now += 10)
		for (i = 0; i < 2; i++) {
			if (probes[i])
				continue;
			lead_tick(&pair[i].lead, now);
			if (pair[i].lead.phase == LEAD_PROBING)
				probes[i] = now;
		}
	cr_assert_geq(probes[1] - probes[0], LEAD_RANK_DELAY_MS);
}

/*
 * The store was away, and with it the leader's renewals. Reading the last one
 * again on its return must not make a successor believe that the leader was
 * alive just before, and that the list of targets lacks none that it uses.
 */
Test(lead, a_renewal_that_is_read_again_is_no_news)
{
	struct lead_row leader = { .fence = LEAD_TOKEN(1), .version = 1 };
	struct lead_row own = { .fence = LEAD_TOKEN(2), .version = 9 };
	struct lead *l = &vms[0].lead;

	snprintf(leader.vm, sizeof(leader.vm), "leader");
	snprintf(own.vm, sizeof(own.vm), "vm");
	lead_init(l, &ops, NULL, "vm", "10.0.0.1:1", 7);
	own.incarnation = l->incarnation;
	lead_row_read(l, &leader, 1000);
	lead_renewed(l, 5, 1300);
	lead_renewed(l, 5, 6000);
	lead_row_read(l, &own, 6500);
	cr_assert_eq(l->role, LEAD_LEADING);
	cr_assert_eq(l->prev_renewal_age, 5200);
}

/*
 * A failure domain is cut off. Its VMs need not wait until the store counts as
 * lost: the latest calls to it have failed, and nothing outside answers.
 */
Test(lead, a_cut_domain_leads_itself_as_soon_as_its_calls_fail)
{
	struct lead_row leader = { .fence = LEAD_TOKEN(1), .version = 1 };
	struct lead *l = &vms[0].lead;

	snprintf(leader.vm, sizeof(leader.vm), "leader");
	lead_init(l, &ops, NULL, "vm", "10.0.0.1:1", 6);
	l->own_row_version = 100;
	l->nothers = 4;
	lead_row_read(l, &leader, 1000);
	l->store_failing = 1;
	outside_answers = 0;
	for (now = 1000; now < 2000 && l->role != LEAD_LEADING; now += 10)
		lead_tick(l, now);
	cr_assert(lead_is_provisional(l));
	cr_assert_not(l->all_domains);
}

/* Guards against a VM that alone is cut off, and leads all targets. */
Test(lead, failing_calls_to_the_store_alone_are_no_reason)
{
	struct lead_row leader = { .fence = LEAD_TOKEN(1), .version = 1 };
	struct lead *l = &vms[0].lead;

	snprintf(leader.vm, sizeof(leader.vm), "leader");
	lead_init(l, &ops, NULL, "vm", "10.0.0.1:1", 6);
	l->own_row_version = 100;
	l->nothers = 4;
	lead_row_read(l, &leader, 1000);
	l->store_failing = 1;
	outside_answers = 1;
	for (now = 1000; now < 4000; now += 10)
		lead_tick(l, now);
	cr_assert_eq(l->role, LEAD_FOLLOWING);
}

/*
 * The regular leader was restarted while its domain's neighbours were cut off,
 * and nobody claimed: a provisional leader of one domain was followed by all
 * and used the targets of its own domain only, to the end. Guards against that.
 */
Test(lead, a_provisional_leader_claims_when_nobody_else_leads)
{
	int i, old;

	move_lead_outside();
	old = find_leader();
	outside_answers = 0;
	cut_domain(1);
	run_for(1500);
	for (i = 0; i < 3; i++)
		cut[i][STORE] = 1;
	vms[old].up = 0;
	run_for(300);
	start_vm(old);
	cut_domain(0);
	for (i = 0; i < VMS; i++)
		cut[i][STORE] = 1;
	run_for(3000);
	for (i = 0; i < VMS; i++)
		cut[i][STORE] = 0;
	run_for(2000);
	cr_assert_eq(count_leaders(), 1);
	cr_assert_geq(find_leader(), 0);
	cr_assert_not(LEAD_IS_PROVISIONAL(row.fence));
}

/* The same without the store: it leads the other domains' targets too. */
Test(lead, a_provisional_leader_takes_domains_that_have_none)
{
	int i, old;

	move_lead_outside();
	old = find_leader();
	outside_answers = 0;
	for (i = 0; i < VMS; i++)
		cut[i][STORE] = 1;
	cut_domain(1);
	run_for(3000);
	vms[old].up = 0;
	run_for(50);
	start_vm(old);
	cut_domain(0);
	for (i = 3; i < VMS; i++)
		cut[i][STORE] = 1;
	domains_added = 0;
	run_for(1500);
	cr_assert_eq(count_leaders(), 1);
	cr_assert_gt(domains_added, 0);
}

/*
 * The leader's domain is cut off while the store is away. Two of the three VMs
 * that are left have been restarted meanwhile and know no leader. Three domains
 * were without a leader for 5 s, as their answers did not count.
 */
Test(lead, restarted_vms_do_not_prevent_an_election)
{
	int i, leaders = 0;

	move_lead_inside();
	for (i = 0; i < VMS; i++)
		cut[i][STORE] = 1;
	run_for(1500);
	cut_domain(1);
	for (i = 3; i < VMS; i++)
		cut[i][STORE] = 1;
	for (i = 1; i < 3; i++) {
		start_vm(i);
		vms[i].lead.own_row_version = 0;
	}
	run_for(1500);
	for (i = 0; i < 3; i++)
		leaders += vms[i].lead.role == LEAD_LEADING;
	cr_assert_eq(leaders, 1);
}

/* A claim to a store that does not answer must not delay a cut domain. */
Test(lead, a_cut_domain_does_not_wait_for_a_silent_store)
{
	struct lead_row leader = { .fence = LEAD_TOKEN(1), .version = 1 };
	struct lead *l = &vms[0].lead;

	snprintf(leader.vm, sizeof(leader.vm), "leader");
	lead_init(l, &ops, NULL, "vm", "10.0.0.1:1", 6);
	l->own_row_version = 100;
	l->nothers = 1;
	lead_row_read(l, &leader, 1000);
	outside_answers = 0;
	lose_claims = 1;
	lead_connection_refused(l, 1000);
	for (now = 1000; now < 5000 && l->phase != LEAD_CLAIMING; now += 10)
		lead_tick(l, now);
	for (; l->role != LEAD_LEADING && now < 6000; now += 10)
		lead_tick(l, now);
	lose_claims = 0;
	cr_assert(lead_is_provisional(l));
	cr_assert_leq(now - l->phase_at, LEAD_CLAIM_PATIENCE_MS + 20);
}

/*
 * A planned stop while the store is away. The members were without a leader
 * until its silence was noticed. Guards against a stop that costs anything.
 */
Test(lead, a_resigning_leader_is_followed_without_the_store)
{
	int i, old = find_leader(), following = 0;

	for (i = 0; i < VMS; i++) {
		cut[i][STORE] = 1;
		vms[i].lead.own_row_version += 100;
	}
	run_for(1500);
	vms[old].lead.claims_disabled = 1;
	lead_resign(&vms[old].lead);
	for (i = 0; i < 60 && vms[old].lead.role == LEAD_LEADING; i++) {
		cr_assert_geq(count_leaders(), 1);
		run_for(10);
	}
	cr_assert_eq(vms[old].lead.role, LEAD_FOLLOWING);
	run_for(200);
	cr_assert_eq(count_leaders(), 1);
	for (i = 0; i < VMS; i++)
		following += vms[i].lead.row.fence == vms[old].lead.row.fence;
	cr_assert_eq(following, VMS);
}

/*
 * The leader is slow, or sends heartbeats less often as it has many VMs. Guards
 * against changes of a leader that is alive.
 */
Test(lead, a_slow_leader_is_given_more_time)
{
	struct lead_heartbeat hb = { .fence = LEAD_TOKEN(1),
				     .vm = "leader",
				     .leader = "leader",
				     .address = "10.0.0.2:1",
				     .leading = 1 };
	struct lead *l = &vms[0].lead;
	int i;

	lead_init(l, &ops, NULL, "vm", "10.0.0.1:1", 6);
	lead_heartbeat(l, &hb, 1000);
	for (i = 1; i <= 200; i++)
		lead_heartbeat(l, &hb, 1000 + i * LEAD_HEARTBEAT_MIN_MS);
	cr_assert_leq(lead_silence_limit(l), LEAD_SILENCE_MIN_MS + 20);
	lead_heartbeat(l, &hb, 1000 + 200 * LEAD_HEARTBEAT_MIN_MS + 120);
	cr_assert_eq(lead_silence_limit(l), LEAD_SILENCE_MAX_MS);
}

/*
 * Nine rows of VMs: three of them are cut off with the leader, and two are of
 * VMs that are gone. The leader was linked to six others, of which three
 * answer. Guards against four VMs that reach each other and have no leader, as
 * rows of VMs that are gone count.
 */
Test(lead, vms_that_are_gone_do_not_count)
{
	struct lead_heartbeat hb = { .fence = LEAD_TOKEN(1),
				     .vm = "leader",
				     .leader = "leader",
				     .address = "10.0.0.2:1",
				     .leading = 1,
				     .nlinked = 7 };
	struct lead_heartbeat answer = { .fence = LEAD_TOKEN(1) };
	static const char *const others[] = { "a", "b", "c" };
	struct lead *l = &vms[0].lead;
	int i;

	lead_init(l, &ops, NULL, "vm", "10.0.0.1:1", 6);
	l->own_row_version = 100;
	l->nothers = 8;
	l->store_lost = 1;
	lead_heartbeat(l, &hb, 1000);
	lead_heartbeat(l, &hb, 1050);
	for (now = 1050; l->phase != LEAD_PROBING; now += 10)
		lead_tick(l, now);
	answer.leader = answer.address = "";
	for (i = 0; i < 3; i++) {
		answer.vm = others[i];
		lead_heartbeat(l, &answer, now);
		/* A VM that answers twice counts once. */
		lead_heartbeat(l, &answer, now);
		cr_assert_eq(l->role == LEAD_LEADING, i == 2);
	}
}

/*
 * A VM that has just started has no rank, and is one of the smallest of its
 * domain. Guards against a leader that is too small: the large ones wait for
 * the leader's silence first.
 */
Test(lead, a_small_vm_that_has_just_started_comes_late)
{
	struct lead_row leader = { .fence = LEAD_TOKEN(1), .version = 1 };
	struct lead *l = &vms[0].lead;

	snprintf(leader.vm, sizeof(leader.vm), "leader");
	lead_init(l, &ops, NULL, "vm", "10.0.0.1:1", 6);
	l->domain_rank = 9;
	l->nothers = 9;
	lead_row_read(l, &leader, 1000);
	for (now = 1000; l->phase != LEAD_PROBING; now += 10)
		lead_tick(l, now);
	cr_assert_geq(now - 1000,
		      LEAD_SILENCE_MAX_MS +
			      (LEAD_SUCCESSORS + LEAD_DOMAIN_RANK_MAX) *
				      LEAD_RANK_DELAY_MS);
}

/* Guards against a VM that leads as some message says so. */
Test(lead, only_a_claim_of_this_process_can_be_reported)
{
	struct lead *l = &vms[find_leader() ? 0 : 1].lead;
	uint64_t fence = LEAD_TOKEN(LEAD_TERM(l->row.fence) + 1);

	lead_claim_reported(l, fence, l->incarnation, now);
	cr_assert_eq(l->role, LEAD_FOLLOWING);
	l->claimed_fence = fence;
	lead_claim_reported(l, fence, l->incarnation + 1, now);
	cr_assert_eq(l->role, LEAD_FOLLOWING);
	lead_claim_reported(l, fence, l->incarnation, now);
	cr_assert_eq(l->role, LEAD_LEADING);
}

/*
 * The leader was killed while the store was silent. A VM without the list of
 * targets led provisionally, as those with it had probed too early and backed
 * off, and rejected all jobs until the store was back.
 */
Test(lead, a_vm_without_the_list_does_not_lead_provisionally)
{
	int i, old = find_leader();

	for (i = 0; i < VMS; i++) {
		cut[i][STORE] = 1;
		vms[i].lead.targets_unknown = 1;
	}
	vms[4].lead.targets_unknown = 0;
	run_for(1500);
	vms[old].up = 0;
	run_for(2500);
	cr_assert_eq(count_leaders(), 1);
	cr_assert(lead_is_provisional(&vms[4].lead));
}
