/*
 * The ideal response time: a list schedule of the same arrivals that knows the
 * work of each task and puts it on the slot where it ends earliest.
 */

#include "bench-world.h"

#include <math.h>
#include <stdlib.h>

static int compare_descending(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x < y) - (x > y);
}

/* Free times of the slots; the targets are ordered from the fastest. */
struct schedule {
	double *free_at;
	int targets, slots;
};

/*
 * Puts a task on the slot where it ends earliest; returns when the entry VM has
 * the result.
 */
static double schedule_task(const struct bench_world *w, struct schedule *sc,
			    double at, double work_ms)
{
	double earliest = INFINITY, slot_free_at = 0;
	int t, i, slot = 0;

	for (t = 0; t < sc->targets; t++) {
		double latency = bench_latency(w, t);
		double run_ms = work_ms * w->targets[t].run_time_factor;

		/* The targets that follow are slower still. */
		if (at + run_ms >= earliest)
			break;
		for (i = t * sc->slots; i < (t + 1) * sc->slots; i++) {
			double from = fmax(at + latency, sc->free_at[i]);

			if (from + run_ms + latency < earliest) {
				earliest = from + run_ms + latency;
				slot_free_at = from + run_ms;
				slot = i;
			}
		}
	}
	sc->free_at[slot] = slot_free_at;
	return earliest;
}

/*
 * Schedules the tasks of a job, longest first, around the tasks scheduled
 * before; returns the job's response time.
 */
static double schedule_job(const struct bench_world *w, struct schedule *sc,
			   const struct bench_job *j)
{
	double *work_ms = malloc(j->ntasks * sizeof(*work_ms));
	double end = 0;
	size_t i;

	memcpy(work_ms, j->work_ms, j->ntasks * sizeof(*work_ms));
	qsort(work_ms, j->ntasks, sizeof(*work_ms), compare_descending);
	for (i = 0; i < j->ntasks; i++)
		end = fmax(end,
			   schedule_task(w, sc, j->arrived_at, work_ms[i]));
	free(work_ms);
	return end - j->arrived_at;
}

void bench_compute_ideal(struct bench_world *w)
{
	struct schedule sc = { NULL, w->setup->deployment->targets,
			       w->setup->deployment->slots };
	size_t n = (size_t)sc.targets * (size_t)sc.slots, i;
	double *loaded_slots = calloc(n, sizeof(*loaded_slots));
	double *idle_slots = malloc(n * sizeof(*idle_slots));

	for (i = 0; i < w->njobs; i++) {
		sc.free_at = loaded_slots;
		w->jobs[i].ideal_ms = schedule_job(w, &sc, &w->jobs[i]);
		memset(idle_slots, 0, n * sizeof(*idle_slots));
		sc.free_at = idle_slots;
		w->jobs[i].ideal_alone_ms = schedule_job(w, &sc, &w->jobs[i]);
	}
	free(loaded_slots);
	free(idle_slots);
}
