/*
 * Shares of queues when room is short.
 *
 * A job of a higher priority may displace jobs of a lower one that wait. So
 * that no queue starves, a queue that has lately been served less than three
 * quarters as often as all queues together is not displaced any more.
 */

#include "sched-int.h"

/* Weight of one answer in the share of jobs that are served. */
#define SERVED_GAIN 0.03
/* A queue starves below this part of the share of all. */
#define STARVING_PART 0.75

void sched_share_answered(struct sched_queue *q, int completed)
{
	struct sched_service *service = q->service;
	double served = completed ? 1.0 : 0.0;

	q->served += SERVED_GAIN * (served - q->served);
	service->served += SERVED_GAIN * (served - service->served);
}

int sched_share_starves(const struct sched_queue *q)
{
	return q->served < STARVING_PART * q->service->served;
}

int sched_share_displaces(const struct sched_job *job,
			  const struct sched_job *other)
{
	return other->priority > job->priority && !other->stored &&
	       !sched_share_starves(other->queue);
}
