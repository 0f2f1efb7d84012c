/* What operators are told when targets are listed and not used. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>

#include "pool.h"

static struct pool p;
static const struct sched_ops no_ops;
static struct pool_listing listings[8];

static void begin(void)
{
	int i;

	apr_initialize();
	apr_pool_create(&p.pool, NULL);
	p.listings = hash_new(p.pool);
	p.now = 1000;
	p.leading = 1;
	snprintf(p.set.failure_domain, sizeof(p.set.failure_domain), "z0");
	p.lead.role = LEAD_LEADING;
	p.lead.row.fence = LEAD_TOKEN(1) | 7;
	sched_init(&p.sched, &no_ops, &p, NULL, p.lead.row.fence, 1000, p.now);
	for (i = 0; i < 8; i++) {
		snprintf(listings[i].l.id, RP_NAME_MAX, "t%d", i);
		snprintf(listings[i].l.failure_domain, RP_NAME_MAX, "z%d",
			 i / 2);
		apr_hash_set(p.listings, listings[i].l.id, APR_HASH_KEY_STRING,
			     &listings[i]);
	}
}

static void end(void)
{
	sched_finish(&p.sched);
	apr_pool_destroy(p.pool);
}

TestSuite(pool_use, .init = begin, .fini = end);

/*
 * A provisional leader of one domain was followed by all, and no metric told
 * that it left three quarters of the targets unused.
 */
Test(pool_use, targets_of_other_domains_are_counted)
{
	cr_assert_eq(pool_targets_not_led(&p), 6);
	p.lead.all_domains = 1;
	cr_assert_eq(pool_targets_not_led(&p), 0);
}

/* Guards against a warning at each takeover. */
Test(pool_use, a_warning_comes_only_after_some_time)
{
	pool_check_targets_in_use(&p);
	p.few_targets_since = p.now;
	p.now += 1500;
	p.few_targets_warned_at = -10000;
	pool_check_targets_in_use(&p);
	cr_assert_eq(p.few_targets_warned_at, -10000);
	p.now += 1000;
	pool_check_targets_in_use(&p);
	cr_assert_eq(p.few_targets_warned_at, p.now);
}

/*
 * A provisional leader rejected all jobs for 3 s, and no event told that it
 * knew no targets.
 */
Test(pool_use, counts_of_a_new_leader_are_logged)
{
	p.now += 500;
	pool_check_targets_in_use(&p);
	cr_assert_eq(p.uses_logged_fence, p.sched.fence);
	cr_assert_eq(p.most_common_use, SCHED_USE_AVAILABLE);
	p.now += 5000;
	p.most_common_use = SCHED_USE_NOT_HELD;
	pool_check_targets_in_use(&p);
	cr_assert_eq(p.most_common_use, SCHED_USE_AVAILABLE);
}

Test(pool_use, time_without_a_leader_adds_up)
{
	pool_count_leaderless(&p, 1);
	p.now += 100;
	pool_count_leaderless(&p, 0);
	p.now += 50;
	pool_count_leaderless(&p, 0);
	p.now += 500;
	pool_count_leaderless(&p, 1);
	cr_assert_eq(p.count.leaderless_ms, 150);
}
