/* Rows of entry VMs, whose versions tell provisional leaders apart. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <string.h>

#include "pool.h"

static struct pool p;

static void begin(void)
{
	apr_initialize();
	str_copy(p.set.vm_name, sizeof(p.set.vm_name), str_of("vm0"));
	p.lead.own_row_version = 5;
}

TestSuite(pool_vm, .init = begin, .timeout = 10);

static void read_row(const char *vm, int64_t version)
{
	PoolHello hello = POOL_HELLO__INIT;

	hello.vm = (char *)vm;
	hello.address = "10.0.0.1:1";
	hello.failure_domain = "a";
	pool_vm_update(&p, &hello, version);
}

/*
 * Guards against a provisional token that another VM has too: its row's version
 * has the same lower bits.
 */
Test(pool_vm, versions_with_the_same_lower_bits_are_shared)
{
	read_row("vm0", 5);
	read_row("vm1", 6);
	cr_assert_not(pool_vm_may_share_version(&p));
	read_row("vm2", 5 + (3LL << LEAD_COUNT_SHIFT));
	cr_assert(pool_vm_may_share_version(&p));
	read_row("vm2", 9 + (3LL << LEAD_COUNT_SHIFT));
	cr_assert_not(pool_vm_may_share_version(&p));
}

/* A VM that has not read its own row may not know older ones. */
Test(pool_vm, a_version_may_be_shared_until_the_own_row_was_read)
{
	read_row("vm1", 6);
	cr_assert(pool_vm_may_share_version(&p));
	read_row("vm0", 2); /* of an earlier process */
	cr_assert(pool_vm_may_share_version(&p));
	read_row("vm0", 5);
	cr_assert_not(pool_vm_may_share_version(&p));
}

/* --- a leader that no other VM follows -------------------------------- */

static struct pool_link link_to_vm1;

/* This VM leads, knows vm1 and vm2, and has had no reply of the store. */
static void lead_without_store(rp_ms unconfirmed)
{
	read_row("vm1", 6);
	read_row("vm2", 7);
	p.now = 100000;
	p.leading = 1;
	p.leadership_confirmed_at = p.now - unconfirmed;
	p.announced_at = p.now; /* dials nobody */
	pool_vms_tick(&p);
	p.now += LEAD_PROBE_TIMEOUT_MS;
}

/*
 * Guards against a leader that goes on beside its successor, on targets that
 * have restarted and forgotten the successor's token.
 */
Test(pool_vm, a_leader_that_no_vm_follows_is_isolated)
{
	lead_without_store(2000);
	cr_assert(pool_is_isolated(&p));
}

Test(pool_vm, a_leader_that_the_store_confirms_is_not_isolated)
{
	lead_without_store(LEAD_RENEW_INTERVAL_MS);
	cr_assert_not(pool_is_isolated(&p));
}

/* The store is away, or its failure domain is cut off: it has to go on. */
Test(pool_vm, a_leader_that_a_vm_follows_is_not_isolated)
{
	struct pool_member vm1 = { .vm = "vm1", .link = &link_to_vm1 };

	lead_without_store(2000);
	link_to_vm1.received_at = p.now;
	p.members = &vm1;
	cr_assert_not(pool_is_isolated(&p));
	p.now += LEAD_SILENCE_MAX_MS + 1;
	cr_assert(pool_is_isolated(&p));
}

/* It is the only one that is left. */
Test(pool_vm, a_leader_whose_other_vms_are_dead_is_not_isolated)
{
	lead_without_store(2000);
	pool_find_vm(&p, "vm1")->refused = 1;
	cr_assert(pool_is_isolated(&p));
	pool_find_vm(&p, "vm2")->refused = 1;
	cr_assert_not(pool_is_isolated(&p));
	pool_vm_is_up(&p, "vm2");
	cr_assert(pool_is_isolated(&p));
}
