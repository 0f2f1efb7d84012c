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
