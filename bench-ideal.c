/*
 * The loaded ideal: a clairvoyant list schedule of the same arrivals, which
 * knows each task's work and puts it on the slot where it ends earliest.
 */

#include "bench-world.h"

#include <math.h>
#include <stdlib.h>

static int longer_first(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x < y) - (x > y);
}

/* When each slot is free, at the targets from fastest to slowest. */
struct schedule {
	double *free_at;
	int targets, slots;
};

/* Ends the task earliest over all slots; returns when the caller has it. */
static double place(const struct bench_world *w, struct schedule *sc, double at,
		    double work)
{
	double best = INFINITY, best_end = 0;
	int t, i, slot = 0;

	for (t = 0; t < sc->targets; t++) {
		double way = bench_latency(w, t);
		double run = work * w->targets[t].factor;

		if (at + run >= best)
			break;
		for (i = t * sc->slots; i < (t + 1) * sc->slots; i++) {
			double from = fmax(at + way, sc->free_at[i]);

			if (from + run + way < best) {
				best = from + run + way;
				best_end = from + run;
				slot = i;
			}
		}
	}
	sc->free_at[slot] = best_end;
	return best;
}

/*
 * Span of the job when its tasks, longest first, are placed with full
 * knowledge of work and speeds among what was placed before.
 */
static double place_job(const struct bench_world *w, struct schedule *sc,
			const struct bench_job *j)
{
	double *work = malloc(j->ntasks * sizeof(*work));
	double end = 0;
	size_t i;

	memcpy(work, j->work, j->ntasks * sizeof(*work));
	qsort(work, j->ntasks, sizeof(*work), longer_first);
	for (i = 0; i < j->ntasks; i++)
		end = fmax(end, place(w, sc, j->at, work[i]));
	free(work);
	return end - j->at;
}

void bench_ideal(struct bench_world *w)
{
	struct schedule sc = { NULL, w->setup->site->targets,
			       w->setup->site->slots };
	size_t n = (size_t)sc.targets * (size_t)sc.slots, i;
	double *loaded = calloc(n, sizeof(*loaded));
	double *lone = malloc(n * sizeof(*lone));

	for (i = 0; i < w->njobs; i++) {
		sc.free_at = loaded;
		w->jobs[i].ideal = place_job(w, &sc, &w->jobs[i]);
		memset(lone, 0, n * sizeof(*lone));
		sc.free_at = lone;
		w->jobs[i].lone = place_job(w, &sc, &w->jobs[i]);
	}
	free(loaded);
	free(lone);
}
