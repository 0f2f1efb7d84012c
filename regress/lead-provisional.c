/* A second provisional leader of a term, with a lower row version. */

#include <criterion/criterion.h>

#include "lead-alone.h"

/*
 * The VMs that are left of a majority, or of a domain that is cut off, have
 * lower row versions than the provisional leader that they have lost. Guards
 * against VMs that have no leader until the store is back.
 */
Test(lead_provisional, a_higher_one_is_replaced)
{
	lose_leader(LEAD_TOKEN(1) | 150);
	cr_assert(lead_is_provisional(&l));
	cr_assert_gt(l.row.fence, LEAD_TOKEN(1) | 150);
}

/*
 * Each of several VMs loses the same leader, as after a cut with several sides,
 * and each loses the leader after it, in any order. Guards against two VMs that
 * lead with the same token, and against a token that is not above the one lost.
 */
Test(lead_provisional, no_two_have_the_same_token)
{
	static const uint32_t versions[] = { 1,
					     7,
					     100,
					     150,
					     (1 << 24) - 1,
					     1 << 24,
					     1 << 25 | 9,
					     7u << 24 | 8,
					     255u << 24 | 11 };
	enum { N = sizeof(versions) / sizeof(versions[0]), ROUNDS = 60 };
	static uint64_t tokens[N * ROUNDS];
	uint64_t fence = LEAD_TOKEN(1);
	size_t n = 0, i, j, round;

	for (round = 0; round < ROUNDS; round++) {
		size_t first = n;

		for (i = 0; i < N; i++) {
			own_version = versions[i];
			lose_leader(fence);
			cr_assert(lead_is_provisional(&l));
			cr_assert_gt(l.row.fence, fence);
			cr_assert_eq(LEAD_TERM(l.row.fence), 1);
			for (j = first; j < n; j++)
				cr_assert_neq(tokens[j], l.row.fence);
			tokens[n++] = l.row.fence;
		}
		/* One of them is lost to all sides; its own token is unused. */
		fence = tokens[first + round * 5 % N];
	}
	/* A token of a later round is another VM's only if it has its bits. */
	for (i = 0; i < n; i++)
		cr_assert_eq(LEAD_SHORT_VERSION(tokens[i]),
			     LEAD_SHORT_VERSION(versions[i % N]));
}

/* Rows whose versions have the same lower bits: no token tells them apart. */
Test(lead_provisional, a_shared_version_does_not_lead)
{
	version_may_be_shared = 1;
	lose_leader(LEAD_TOKEN(1));
	cr_assert_eq(l.role, LEAD_FOLLOWING);
}

/*
 * The count is at its end. Guards against a token of the next term, which the
 * store gives to another VM.
 */
Test(lead_provisional, the_count_does_not_run_over)
{
	const uint64_t last = LEAD_TOKEN(1) | 255u << LEAD_COUNT_SHIFT;

	lose_leader(last | 150);
	cr_assert_eq(l.role, LEAD_FOLLOWING);
	cr_assert_eq(l.row.fence, last | 150);
	lose_leader(last | 50);
	cr_assert_eq(l.row.fence, last | 100);
	lose_leader(LEAD_TOKEN(UINT32_MAX) | UINT32_MAX);
	cr_assert_eq(l.role, LEAD_FOLLOWING);
}

/* The same VM led, was paused and follows nobody; its members left it. */
Test(lead_provisional, a_vm_leads_again_with_a_higher_token)
{
	lose_leader(LEAD_TOKEN(1) | 100);
	cr_assert(lead_is_provisional(&l));
	cr_assert_eq(l.row.fence, LEAD_TOKEN(1) | 1u << LEAD_COUNT_SHIFT | 100);
}

/*
 * A domain was cut off, and has a provisional leader of its own targets. The
 * cut has ended, the store is still away, and a majority follows that leader;
 * one VM of its domain is dead. Guards against a leader of all VMs that uses
 * the targets of its own domain alone, as no domain answers as a whole.
 */
Test(lead_provisional, one_that_a_majority_follows_leads_all_domains)
{
	static const char *const others[] = { "a", "b", "c" };
	struct lead_heartbeat hb = { .hears_leader = 1,
				     .leader = "vm",
				     .address = "10.0.0.1:1" };
	rp_ms now;
	size_t i;

	lose_leader(LEAD_TOKEN(1) | 150);
	l.nothers = 4;
	l.all_domains = 0; /* it was elected by its domain */
	domains_answered = 0;
	hb.fence = l.row.fence;
	for (now = 4000; now < 6000; now += 10) {
		lead_tick(&l, now);
		for (i = 0; l.phase == LEAD_PROBING && i < 1; i++) {
			hb.vm = others[i];
			lead_heartbeat(&l, &hb, now);
		}
	}
	cr_assert_not(l.all_domains);
	for (; now < 8000; now += 10) {
		lead_tick(&l, now);
		for (i = 0; l.phase == LEAD_PROBING && i < 3; i++) {
			hb.vm = others[i];
			lead_heartbeat(&l, &hb, now);
		}
	}
	cr_assert(l.all_domains);
	cr_assert_eq(l.row.fence, hb.fence);
}

/* Lets the store come back, whose row is that of the leader before. */
static void read_row_of_term(uint64_t fence, int64_t version)
{
	struct lead_row row = { .vm = "leader",
				.address = "10.0.0.2:1",
				.incarnation = 7,
				.fence = fence,
				.version = version };
	rp_ms now;

	l.store_lost = 0;
	lead_row_read(&l, &row, 4000);
	for (now = 4000; now < 5000; now += 10)
		lead_tick(&l, now);
}

/*
 * The leader before was elected while this VM had lost the store, and is known
 * by its heartbeats. Guards against claims over the row of an earlier term,
 * which the store rejects for as long as this VM leads.
 */
Test(lead_provisional, it_claims_over_the_row_of_its_term)
{
	lose_leader(LEAD_TOKEN(2));
	cr_assert(lead_is_provisional(&l));
	l.row.version = 41;
	read_row_of_term(LEAD_TOKEN(2), 4823);
	cr_assert_eq(claimed_version, 4823);
}

/* The same for a VM that has followed another provisional leader. */
Test(lead_provisional, its_follower_claims_over_the_row_of_the_term)
{
	struct lead_heartbeat hb = { .fence = LEAD_TOKEN(2) | 150,
				     .vm = "leader",
				     .leader = "leader",
				     .address = "10.0.0.2:1",
				     .leading = 1 };
	struct lead_heartbeat answer = {
		.fence = hb.fence, .vm = "other", .leader = "", .address = ""
	};
	struct lead_row row = { .vm = "first",
				.address = "10.0.0.3:1",
				.fence = LEAD_TOKEN(2),
				.version = 4823 };
	rp_ms now;

	lead_init(&l, &ops, NULL, "vm", "10.0.0.1:1", 6);
	l.row.version = 41;
	l.nothers = 2;
	lead_heartbeat(&l, &hb, 1000);
	cr_assert_eq(l.row.fence, hb.fence);
	lead_row_read(&l, &row, 1050);
	cr_assert_eq(l.row.fence, hb.fence);
	for (now = 1050; now < 4000; now += 10) {
		lead_tick(&l, now);
		if (l.phase == LEAD_PROBING)
			lead_heartbeat(&l, &answer, now);
	}
	cr_assert_eq(claimed_version, 4823);
}
