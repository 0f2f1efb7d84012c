/* Counters of jobs that were not served, by reason. */

#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "pool.h"

static struct pool p;

/* Guards against an entry for each answer if a reason is changed or cut. */
Test(pool_cause, a_reason_is_counted_in_one_entry)
{
	char reason[200];
	int i;

	memset(reason, 'x', sizeof(reason));
	reason[sizeof(reason) - 1] = '\0';
	for (i = 0; i < 5; i++) {
		pool_cause_add(&p, "rejected", "\"steps\" is missing", 10);
		pool_cause_add(&p, "rejected", reason, 10);
		pool_cause_add(&p, "completed", "", 10);
	}
	cr_assert_eq(p.ncauses, 2);
	cr_assert_eq(p.causes[0].count, 5);
	cr_assert_str_eq(p.causes[0].reason, "'steps' is missing");
	cr_assert_eq(p.causes[1].age_sum, 50);
}

/* Guards against reasons that are counted under the name of another one. */
Test(pool_cause, further_reasons_are_counted_as_others)
{
	char reason[32];
	int i;

	for (i = 0; i < 2 * POOL_CAUSES_MAX; i++) {
		snprintf(reason, sizeof(reason), "reason %d", i);
		pool_cause_add(&p, "rejected", reason, 1);
	}
	cr_assert_eq(p.ncauses, POOL_CAUSES_MAX);
	cr_assert_str_eq(p.causes[POOL_CAUSES_MAX - 1].reason, "other");
	cr_assert_eq(p.causes[POOL_CAUSES_MAX - 1].count, POOL_CAUSES_MAX + 1);
}
