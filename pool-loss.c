/* Targets lost with tasks of a job, in messages and rows. */

#include "pool.h"

#include <stdlib.h>
#include <string.h>

/*
 * Losses that are sent of one job. With a limit, those of a wide job whose
 * targets were all lost do not exceed the size of a row. To the receiver, tasks
 * that are left out have lost no target.
 */
#define LOSSES_SENT_MAX 200

static PoolLoss *encode(uint32_t task, const struct sched_loss *loss)
{
	PoolLoss *msg = malloc(sizeof(*msg));

	pool_loss__init(msg);
	msg->task = task;
	msg->target = strdup(loss->target);
	msg->incarnation = loss->incarnation;
	msg->alone = loss->alone;
	msg->common = loss->common;
	msg->seen = loss->seen;
	msg->newest = loss->newest;
	msg->no_progress = loss->no_progress;
	msg->crashed = loss->crashed;
	return msg;
}

/* Whether a target was lost that was not one of many at the same moment. */
static int may_be_at_fault(const struct sched_losses *losses)
{
	size_t i;

	for (i = 0; i < losses->n; i++)
		if (!losses->list[i].common)
			return 1;
	return 0;
}

/* Adds the losses of the tasks that may be at fault, or of the others. */
static void add_losses(PoolLoss **list, size_t *n, const struct sched_job *job,
		       int at_fault)
{
	size_t i, j;

	for (i = 0; i < job->ntasks; i++) {
		const struct sched_losses *losses = job->tasks[i].losses;

		if (!losses || may_be_at_fault(losses) != at_fault)
			continue;
		for (j = 0; j < losses->n && *n < LOSSES_SENT_MAX; j++)
			list[(*n)++] = encode((uint32_t)i, &losses->list[j]);
	}
}

PoolLoss **pool_losses_encode(const struct sched_job *job, size_t *n)
{
	PoolLoss **list = malloc(LOSSES_SENT_MAX * sizeof(*list));

	*n = 0;
	/* What the receiver cannot do without comes first. */
	add_losses(list, n, job, 1);
	add_losses(list, n, job, 0);
	return list;
}

void pool_losses_free(PoolLoss **list, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		pool_loss__free_unpacked(list[i], NULL);
	free(list);
}

uint64_t pool_losses_send(struct sched *s, struct sched_job *job)
{
	PoolProgress progress = POOL_PROGRESS__INIT;
	uint64_t mark;

	if (!job->owner)
		return 0;
	if (job->stored)
		return pool_stored_losses(s->user, job);
	progress.seq = job->seq;
	progress.lost = 1;
	progress.losses = pool_losses_encode(job, &progress.n_losses);
	mark = pool_send_progress(s->user, job->owner, &progress);
	pool_losses_free(progress.losses, progress.n_losses);
	return mark;
}
