/*
 * Time that callers have waited before they submit a job.
 *
 * A caller whose connection was reset or refused submits the job again, and
 * waits only for what is left of its time. The objective counts from its first
 * try. Nothing in the submission tells when that was, but first tries of a
 * queue come with the same wait again and again, and repeated ones with any
 * shorter one.
 *
 * Load pattern: all entry VMs are killed and started again. The jobs of the
 * outage arrive again together with new ones. Most are too old to end within
 * their objective, and would take the room of jobs that still can.
 */

#include "sched-int.h"

#include <stdlib.h>

/* Weight of one job in the share of a wait. */
#define WAIT_GAIN (1.0 / 64)
/* Share of the jobs from which a wait is that of first tries. */
#define USUAL_SHARE 0.1
/* Sum of weights, after 15 jobs, from which shares are known. */
#define WEIGHT_MIN 0.2
/* Waits that differ by this are the same. */
#define WAIT_TOLERANCE_MS 2

static void learn_wait(struct sched_waits *waits, rp_ms wait)
{
	struct sched_wait *least = &waits->list[0], *found = NULL;
	size_t i;

	for (i = 0; i < SCHED_WAITS_MAX; i++) {
		struct sched_wait *w = &waits->list[i];

		w->weight -= WAIT_GAIN * w->weight;
		if (w->weight < least->weight)
			least = w;
		if (w->weight > 0 && llabs(w->ms - wait) <= WAIT_TOLERANCE_MS)
			found = w;
	}
	waits->weight += WAIT_GAIN * (1 - waits->weight);
	if (!found) {
		least->ms = wait;
		least->weight = 0;
		found = least;
	}
	found->weight += WAIT_GAIN;
}

rp_ms sched_wait_elapsed(struct sched_queue *q, rp_ms wait)
{
	struct sched_waits *waits = &q->waits;
	rp_ms elapsed = -1;
	size_t i;

	learn_wait(waits, wait);
	if (waits->weight < WEIGHT_MIN)
		return 0;
	for (i = 0; i < SCHED_WAITS_MAX; i++) {
		const struct sched_wait *w = &waits->list[i];
		rp_ms longer = w->ms - wait;

		if (longer < -WAIT_TOLERANCE_MS ||
		    w->weight < USUAL_SHARE * waits->weight)
			continue;
		if (longer <= WAIT_TOLERANCE_MS)
			return 0;
		if (elapsed < 0 || longer < elapsed)
			elapsed = longer;
	}
	return elapsed > 0 ? elapsed : 0;
}
