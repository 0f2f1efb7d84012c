/*
 * Room of targets in whole tasks.
 *
 * Tasks take large parts of a target, so free CPU is worth only what whole
 * tasks can use of it: of 15 free cores a service whose tasks need 13 to 19 can
 * often use nothing. The sizes are learned from the jobs that are submitted.
 */

#include "sched-int.h"

#include <math.h>
#include <string.h>

/* Age up to which the table of usable room is reused. */
#define TABLE_MAX_AGE_MS 100
/* Weight that the sizes keep at each computation of the table. */
#define SIZES_KEPT 0.98
/*
 * Tasks that are looked at to fill a gap. With a few waiting tasks to choose
 * from, one that fits is found more often than by its share alone.
 */
#define CHOICES 2.0

static size_t bucket_of(const struct sched_fit *fit, int64_t cpu)
{
	int64_t i = cpu / fit->width;

	return i < SCHED_FIT_BUCKETS ? (size_t)i : SCHED_FIT_BUCKETS - 1;
}

/* Sets the width of the buckets by the largest target. */
static void set_width(struct sched_fit *fit, int64_t max_cpu)
{
	int64_t width = max_cpu / SCHED_FIT_BUCKETS + 1;

	if (width <= fit->width)
		return;
	memset(fit, 0, sizeof(*fit));
	fit->width = width;
}

void sched_fit_add(struct sched_job *job)
{
	struct sched_fit *fit = &job->service->fit;
	size_t i;

	for (i = 0; fit->width && i < job->nsteps; i++) {
		const struct sched_step *step = &job->steps[i];
		double weight = step->ntasks * step->work;

		fit->sizes[bucket_of(fit, step->need.cpu)] += weight;
		fit->total += weight;
	}
}

/*
 * Computes the CPU that whole tasks can use of a free room of each size: a task
 * that fits is started, and the rest of the room is filled in the same way.
 */
static void compute_table(struct sched_fit *fit)
{
	size_t room, i;

	for (room = 0; room < SCHED_FIT_BUCKETS; room++) {
		double weight = 0, sum = 0, share;

		/* Tasks of bucket i need up to i + 1 widths. */
		for (i = 0; i < room; i++) {
			weight += fit->sizes[i];
			sum += fit->sizes[i] *
			       ((double)(i + 1) + fit->usable[room - i - 1]);
		}
		share = fit->total > 0 ? weight / fit->total : 0;
		fit->usable[room] =
			weight > 0
				? sum / weight * (1 - pow(1 - share, CHOICES))
				: 0;
	}
	for (i = 0; i < SCHED_FIT_BUCKETS; i++)
		fit->sizes[i] *= SIZES_KEPT;
	fit->total *= SIZES_KEPT;
}

void sched_fit_update(struct sched *s, struct sched_service *service)
{
	struct sched_fit *fit = &service->fit;

	if (fit->width && s->now - fit->computed_at < TABLE_MAX_AGE_MS)
		return;
	set_width(fit, service->max_capacity.cpu);
	fit->computed_at = s->now;
	if (fit->total > 0)
		compute_table(fit);
}

double sched_fit_usable(const struct sched_service *service, int64_t cpu)
{
	const struct sched_fit *fit = &service->fit;

	if (cpu <= 0 || !fit->width || fit->total <= 0)
		return cpu > 0 ? (double)cpu : 0;
	return fit->usable[bucket_of(fit, cpu)] * (double)fit->width;
}

double sched_fit_loss(const struct sched_service *service, int64_t room,
		      int64_t cpu)
{
	return sched_fit_usable(service, room) -
	       sched_fit_usable(service, room - cpu);
}
