/* A second provisional leader of a term, with a higher row version. */

#include <criterion/criterion.h>

#include "lead-alone.h"

Test(lead_successor, a_lower_one_is_replaced)
{
	lose_leader(LEAD_TOKEN(1) | 50);
	cr_assert(lead_is_provisional(&l));
	cr_assert_gt(l.row.fence, LEAD_TOKEN(1) | 50);
}
