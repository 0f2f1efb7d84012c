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
