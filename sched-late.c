/*
 * Runs that were given up, as their targets did not reply until the leases were
 * over. Their ends may be listed later, while the next runs of their tasks are
 * being started elsewhere.
 */

#include "sched-int.h"

#include <stdlib.h>

void sched_late_give_up(const struct sched_task *task)
{
	struct sched_target *t = task->target;
	struct sched_given_up *g;

	if (!t->given_up)
		t->given_up = calloc(SCHED_GIVEN_UP_MAX, sizeof(*g));
	if (!t->given_up)
		return;
	g = &t->given_up[t->next_given_up];
	g->name = str_hash(str_of(task->name));
	g->run = task->run;
	t->next_given_up = (t->next_given_up + 1) % SCHED_GIVEN_UP_MAX;
	if (t->ngiven_up < SCHED_GIVEN_UP_MAX)
		t->ngiven_up++;
}

int sched_was_given_up(const struct sched_target *t,
		       const struct sched_end *end)
{
	uint64_t name = str_hash(end->task);
	size_t i;

	for (i = 0; i < t->ngiven_up; i++)
		if (t->given_up[i].run == end->run &&
		    t->given_up[i].name == name)
			return 1;
	return 0;
}

int sched_late_success(struct sched_task *task, struct sched_target *t,
		       uint64_t number)
{
	struct sched_job *job = task->job;
	void *owner = job->owner;
	rp_ms deadline = sched_job_needed_until(job);
	int last = job->ndone + 1 == job->ntasks;

	if (task->state == SCHED_WAITING) {
		job->nwaiting--;
	} else {
		if (!task->seen)
			sched_unacked_await_run(t, number, task);
		sched_run_stop(task);
	}
	/* The last task's answer may free the job. */
	sched_unacked_resolve(t, number, owner, sched_task_done(task),
			      deadline);
	return last;
}
