/*
 * The random orders of events of sched-orders, with parts of the model on all
 * days.
 */

#include "orders.h"

TestSuite(sched_orders_parts, .init = init_apr, .timeout = 0);

/* All callers wait equally long, as those that state no deadline do. */
Test(sched_orders_parts, days_of_one_timeout)
{
	if (!getenv("SEEDS"))
		play_days(~(1u << VMS_DEADLINES | 1u << VMS_OLD_LISTS));
}

/* Guards against runs that count as over by a list from before they began. */
Test(sched_orders_parts, days_of_old_lists)
{
	if (!getenv("SEEDS"))
		play_days(1u << VMS_OLD_LISTS);
}
