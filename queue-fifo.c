/* Queueing policy "fifo", a baseline: jobs in the order of arrival. */

#include "rosemary-int.h"

#include <stdlib.h>

struct fifo_queue {
	struct rp_queue queue; /* first */
	struct rp_job *first, *last;
};

static struct rp_queue *fifo_create(struct rp_service *svc);

static void fifo_destroy(struct rp_queue *queue)
{
	free(queue);
}

static void fifo_add(struct rp_queue *queue, struct rp_job *job, rp_ms now)
{
	struct fifo_queue *q = (struct fifo_queue *)queue;

	(void)now;
	job->queue_next = NULL;
	job->queue_prev = q->last;
	if (q->last)
		q->last->queue_next = job;
	else
		q->first = job;
	q->last = job;
}

static void fifo_remove(struct rp_queue *queue, struct rp_job *job)
{
	struct fifo_queue *q = (struct fifo_queue *)queue;

	if (job->queue_prev)
		job->queue_prev->queue_next = job->queue_next;
	else
		q->first = job->queue_next;
	if (job->queue_next)
		job->queue_next->queue_prev = job->queue_prev;
	else
		q->last = job->queue_prev;
}

static struct rp_job *fifo_next(struct rp_queue *queue, rp_ms now)
{
	(void)now;
	return ((struct fifo_queue *)queue)->first;
}

static void fifo_changed(struct rp_queue *queue, struct rp_job *job, rp_ms now)
{
	(void)queue;
	(void)job;
	(void)now;
}

static struct rp_queue_ops fifo_ops = {
	.plugin = { .name = "fifo" },
	.create = fifo_create,
	.destroy = fifo_destroy,
	.add = fifo_add,
	.remove = fifo_remove,
	.next = fifo_next,
	.changed = fifo_changed,
};

static struct rp_queue *fifo_create(struct rp_service *svc)
{
	struct fifo_queue *q = kernel_alloc(sizeof(*q));

	(void)svc;
	q->queue.ops = &fifo_ops;
	return &q->queue;
}

RP_REGISTER(RP_PLUGIN_QUEUE, fifo_ops);
