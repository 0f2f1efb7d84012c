/*
 * A leader that is cut off from the store and that no VM follows. Guards
 * against one that goes on beside its successor: a target that restarts under
 * its old id forgets the successor's token, and takes starts of both.
 */

#include <criterion/criterion.h>

#include <stdio.h>

#include "lead.h"

static struct lead l;
static unsigned checks, nconfirm, changes;

static void on_claim(struct lead *lead, const struct lead_row *row,
		     int64_t expected)
{
	(void)lead;
	(void)row;
	(void)expected;
}

static void on_event(struct lead *lead)
{
	(void)lead;
}

static int on_domains_answered(struct lead *lead)
{
	(void)lead;
	return 0;
}

static void on_check(struct lead *lead)
{
	(void)lead;
	checks++;
}

static void on_confirm(struct lead *lead)
{
	(void)lead;
	nconfirm++;
}

static void on_changed(struct lead *lead)
{
	(void)lead;
	changes++;
}

static const struct lead_ops ops = {
	.claim = on_claim,
	.probe = on_event,
	.check_reachability = on_check,
	.domains_answered = on_domains_answered,
	.domains_added = on_event,
	.confirm = on_confirm,
	.changed = on_changed,
};

/* Leads under the token, and is isolated at 5000 ms. */
static void lead_isolated(uint64_t fence)
{
	struct lead_row row = { .fence = fence, .incarnation = 6 };

	lead_init(&l, &ops, NULL, "vm", "10.0.0.1:1", 6);
	l.own_row_version = 100;
	l.nothers = 2;
	snprintf(row.vm, sizeof(row.vm), "vm");
	snprintf(row.address, sizeof(row.address), "10.0.0.1:1");
	lead_row_read(&l, &row, 1000);
	cr_assert_eq(l.role, LEAD_LEADING);
	l.store_lost = 1;
	lead_tick(&l, 4000);
	cr_assert_eq(checks, 0);
	l.isolated = 1;
	changes = 0;
	lead_tick(&l, 5000);
	cr_assert_eq(checks, 1);
}

Test(lead_isolated, it_stops_leading_if_it_reaches_other_domains_targets)
{
	lead_isolated(LEAD_TOKEN(1));
	lead_reachability_result(&l, 1, 5003);
	cr_assert_eq(l.role, LEAD_FOLLOWING);
	cr_assert_eq(changes, 1);
}

/* Its domain is cut off, and nobody else reaches the domain's targets. */
Test(lead_isolated, it_goes_on_if_its_whole_domain_is_cut_off)
{
	lead_isolated(LEAD_TOKEN(1));
	lead_reachability_result(&l, 0, 5120);
	cr_assert_eq(l.role, LEAD_LEADING);
	cr_assert(lead_may_act(&l));
	/* It looks again, as the cut may end for the targets first. */
	lead_tick(&l, 5000 + LEAD_ISOLATION_INTERVAL_MS);
	cr_assert_eq(checks, 2);
	lead_reachability_result(&l, 1, 5303);
	cr_assert_eq(l.role, LEAD_FOLLOWING);
}

/* Its claim of the next term may be under way, as targets have fenced it. */
Test(lead_isolated, it_stops_leading_while_it_claims)
{
	lead_isolated(LEAD_TOKEN(1));
	lead_fenced(&l, 5001);
	cr_assert_eq(l.phase, LEAD_CLAIMING);
	lead_reachability_result(&l, 1, 5003);
	cr_assert_eq(l.role, LEAD_FOLLOWING);
}

Test(lead_isolated, the_store_may_confirm_it)
{
	lead_isolated(LEAD_TOKEN(1));
	l.store_lost = 0;
	lead_reachability_result(&l, 1, 5003);
	cr_assert_eq(nconfirm, 1);
	cr_assert_not(lead_may_act(&l));
	lead_confirmed(&l);
	cr_assert(lead_may_act(&l));
}

Test(lead_isolated, the_store_may_not_confirm_it)
{
	lead_isolated(LEAD_TOKEN(1));
	l.store_lost = 0;
	lead_reachability_result(&l, 1, 5003);
	lead_tick(&l, 5003 + LEAD_CONFIRM_TIMEOUT_MS);
	cr_assert_eq(l.role, LEAD_FOLLOWING);
}

Test(lead_isolated, a_provisional_leader_stops_leading)
{
	lead_isolated(LEAD_TOKEN(1) | 100);
	lead_reachability_result(&l, 1, 5003);
	cr_assert_eq(l.role, LEAD_FOLLOWING);
}

/* A VM follows it again before the result comes. */
Test(lead_isolated, it_goes_on_once_it_is_followed)
{
	lead_isolated(LEAD_TOKEN(1));
	l.isolated = 0;
	lead_reachability_result(&l, 1, 5003);
	cr_assert_eq(l.role, LEAD_LEADING);
	cr_assert(lead_may_act(&l));
}
