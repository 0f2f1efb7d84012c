/* Targets lost with tasks of a job, as they are sent. */

#include <criterion/criterion.h>

#include "pool.h"
#include "sched-int.h"

#define TASKS 390 /* of a wide job */

/*
 * A failure domain is cut off, and all tasks of a wide job lose their targets.
 * Guards against a message that leaves out the one that has crashed another
 * target: the next leader would start it beside other tasks.
 */
Test(pool_loss, a_task_that_may_be_at_fault_is_not_left_out)
{
	struct sched_task tasks[TASKS] = { 0 };
	struct sched_losses losses[TASKS] = { 0 };
	struct sched_job job = { .tasks = tasks, .ntasks = TASKS };
	PoolLoss **list;
	size_t n, i, found = 0;

	for (i = 0; i < TASKS; i++) {
		losses[i].n = 1;
		losses[i].list[0].common = 1;
		tasks[i].losses = &losses[i];
	}
	losses[TASKS - 1].n = 2;
	losses[TASKS - 1].list[0].common = 0;
	losses[TASKS - 1].list[1].common = 1;
	list = pool_losses_encode(&job, &n);
	cr_assert_eq(n, 200);
	for (i = 0; i < n; i++)
		found += list[i]->task == TASKS - 1;
	cr_assert_eq(found, 2);
	/* In the order in which they were lost. */
	cr_assert_not(list[0]->common);
	cr_assert(list[1]->common);
	pool_losses_free(list, n);
}
