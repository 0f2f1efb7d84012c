/* What a VM that takes over believes of the targets of its predecessor. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>

#include "pool-store.h"

static struct pool p;
static struct store store;

static void begin(void)
{
	struct lead_row leader = { .fence = LEAD_TOKEN(1), .version = 1 };
	int i;

	apr_initialize();
	apr_pool_create(&p.pool, NULL);
	snprintf(p.set.vm_name, sizeof(p.set.vm_name), "vm0");
	snprintf(p.set.link_address, sizeof(p.set.link_address), "127.0.0.1:1");
	snprintf(leader.vm, sizeof(leader.vm), "vm1");
	p.watches = store.watches;
	for (i = 0; i < WATCHES; i++)
		store.watches[i].p = &p;
	store.unreadable_rows = hash_new(p.pool);
	p.requests = hash_new(p.pool);
	p.listings = hash_new(p.pool);
	p.set.remote_factor = 2;
	p.set.max_lease = 1000;
	p.set.entry_interval = 1500;
	p.incarnation = 7;
	pool_loop_init(&p);
	pool_calls_init(&p);
	pool_agent_init(&p);
	pool_lead_init(&p);
	p.now = 10000;
	lead_row_read(&p.lead, &leader, p.now);
}

TestSuite(pool_lead, .init = begin);

/*
 * The predecessor's renewal is read, it says that the list has its targets, and
 * this VM is elected 100 ms later.
 */
static void take_over(void)
{
	struct lead_row own = { .fence = LEAD_TOKEN(2), .version = 9 };
	PoolBeat beat = POOL_BEAT__INIT;

	beat.fence = LEAD_TOKEN(1);
	beat.list_confirmed = 1;
	pool_listing_heartbeat_received(&p, &beat);
	lead_renewed(&p.lead, 5, p.now);
	p.now += 100;
	own.incarnation = p.incarnation;
	snprintf(own.vm, sizeof(own.vm), "vm0");
	lead_row_read(&p.lead, &own, p.now);
	cr_assert(p.leading);
}

Test(pool_lead, the_list_is_complete_when_the_store_was_not_away)
{
	take_over();
	cr_assert_eq(p.sched.prev_may_hold_unlisted, 0);
}

/*
 * Entries of targets have expired while the store was away, and are not back
 * yet. The predecessor lives and renews. Guards against starting its tasks a
 * second time.
 */
Test(pool_lead, the_list_may_lack_targets_just_after_an_outage)
{
	p.store_back_at = p.now - 500;
	take_over();
	cr_assert_eq(p.sched.prev_may_hold_unlisted, 1);
}

Test(pool_lead, the_list_is_complete_some_time_after_an_outage)
{
	p.store_back_at = p.now - 3000;
	take_over();
	cr_assert_eq(p.sched.prev_may_hold_unlisted, 0);
}
