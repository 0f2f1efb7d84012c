/* The budget for what callers make a process hold. */

#include <criterion/criterion.h>

#include "budget.h"

#define MIB ((size_t)1 << 20)

/* The smallest machines have 120 MB; connections alone must leave room. */
Test(budget, its_limit_is_below_the_memory_of_the_machine)
{
	struct rp_budget b;

	budget_init(&b, 120 * MIB);
	cr_assert_leq(b.limit, 90 * MIB);
	cr_assert_geq(b.limit, 70 * MIB);
	budget_init(&b, 8 * MIB);
	cr_assert_eq(b.limit, 4 * MIB);
	budget_init(&b, 0);
	cr_assert_eq(budget_take(&b, RP_HOLD_JOBS, (size_t)1 << 40), 0);
}

Test(budget, a_kind_has_at_most_its_share)
{
	struct rp_budget b;

	budget_init(&b, 120 * MIB);
	cr_assert_eq(budget_take(&b, RP_HOLD_STORED, b.limit / 4 + 1), -1);
	cr_assert_eq(budget_take(&b, RP_HOLD_STORED, b.limit / 4), 0);
	cr_assert_eq(budget_take(&b, RP_HOLD_JOBS, b.limit / 4 + 1), -1);
	cr_assert_eq(budget_take(&b, RP_HOLD_JOBS, b.limit / 4), 0);
	cr_assert_eq(budget_take(&b, RP_HOLD_BODIES, b.limit / 2 + 1), -1);
	cr_assert_eq(budget_take(&b, RP_HOLD_BODIES, b.limit / 2), 0);
	cr_assert_eq(budget_take(&b, RP_HOLD_CONNECTIONS, MIB), -1);
	/* What was refused is not counted. */
	cr_assert_leq(atomic_load(&b.total), b.limit);
}

/* Guards against new jobs that take the room of what was accepted. */
Test(budget, new_jobs_leave_an_eighth)
{
	struct rp_budget b;

	budget_init(&b, 120 * MIB);
	budget_add(&b, RP_HOLD_CONNECTIONS, b.limit / 8 * 7);
	cr_assert_eq(budget_take(&b, RP_HOLD_JOBS, MIB), -1);
	cr_assert_eq(budget_take(&b, RP_HOLD_BODIES, MIB), 0);
	budget_add(&b, RP_HOLD_JOBS, b.limit);
	cr_assert_eq(atomic_load(&b.used[RP_HOLD_JOBS]), b.limit);
	budget_release(&b, RP_HOLD_JOBS, b.limit);
	cr_assert_eq(atomic_load(&b.used[RP_HOLD_JOBS]), 0);
}
