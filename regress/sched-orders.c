/*
 * Random orders of events around changes of leader, in a simulated pool.
 * Guards against tasks that run twice and targets over their room.
 *
 * SEEDS=FROM-TO plays these seeds instead, SKIP=BITS leaves out faults, TRACE=1
 * prints all events. CUT_CALLERS=1 cuts callers off with a failure domain,
 * CHECK_DONE=1 counts starts after an end that was noted. PARTS=BITS limits the
 * days to these parts of the model (enum vms_part); 7 has all callers wait
 * equally long, 16 has lists that are older than replies to starts. KEEP_LATE=1
 * has targets that restart under their old id carry out late calls of before.
 * ONCE=1 has callers that do not submit a job again.
 */

#include "orders.h"

TestSuite(sched_orders, .init = init_apr, .timeout = 0);

Test(sched_orders, random_days)
{
	play_days(~(1u << VMS_OLD_LISTS));
}
