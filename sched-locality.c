/*
 * Tasks and the rack that holds their data. Away from it a task takes several
 * times as long, and as much more of the capacity.
 *
 * Load pattern: many jobs want the same rack. A job waits for the rack as long
 * as it ends sooner there than away from it, and spills to other racks before
 * it queues for longer.
 */

#include "sched-int.h"

#include <math.h>
#include <string.h>

/* Time that waiting has to save, as the ends of runs are predictions, ms. */
#define SAVED_MIN_MS 20

void sched_set_remote_factor(struct sched *s, double factor)
{
	s->remote_factor = factor > 1 ? factor : 1;
}

int sched_is_remote(const struct sched_target *t, const struct sched_step *step)
{
	return step->rack[0] && !sched_target_has_label(t, step->rack);
}

/* The jobs that this pass has told to wait for the rack. */
static struct sched_rack_claims *claims_of(struct sched *s, const char *rack)
{
	struct sched_rack_claims *c =
		apr_hash_get(s->rack_claims, rack, APR_HASH_KEY_STRING);

	if (!c) {
		c = apr_pcalloc(s->pool, sizeof(*c));
		str_copy(c->rack, sizeof(c->rack), str_of(rack));
		apr_hash_set(s->rack_claims, c->rack, APR_HASH_KEY_STRING, c);
	}
	if (c->pass != s->dispatch_pass) {
		c->pass = s->dispatch_pass;
		c->n = 0;
	}
	return c;
}

double sched_room_at(const struct sched_target *t,
		     const struct sched_resources *need)
{
	const struct sched_resources *capacity = &t->listing.capacity;
	struct sched_resources used = t->used;
	double at = (double)t->s->now, last = -1;

	if (!sched_resources_fit(need, capacity))
		return HUGE_VAL;
	/* Runs end in the order of their predicted ends. */
	while (used.cpu + need->cpu > capacity->cpu ||
	       used.memory + need->memory > capacity->memory ||
	       used.accelerators + need->accelerators >
		       capacity->accelerators) {
		const struct sched_task *run, *next = NULL;
		double next_end = HUGE_VAL;

		for (run = t->runs; run; run = run->next) {
			double end = sched_run_predicted_end(run);

			if (end > last && end < next_end) {
				next = run;
				next_end = end;
			}
		}
		if (!next)
			return HUGE_VAL;
		last = next_end;
		used.cpu -= next->job->steps[next->step].need.cpu;
		used.memory -= next->job->steps[next->step].need.memory;
		used.accelerators -=
			next->job->steps[next->step].need.accelerators;
		at = fmax(at, next_end);
	}
	return at;
}

/*
 * End of the task on the rack if it waits for room there, after n others that
 * do so already. Each of them is taken to fill one target.
 */
static double end_on_rack(struct sched *s, const struct sched_job *job,
			  const struct sched_step *step, size_t n)
{
	double ends[SCHED_RACK_CLAIMS_MAX + 1];
	size_t i, j, found = 0;

	if (n > SCHED_RACK_CLAIMS_MAX)
		return HUGE_VAL;
	/* The n + 1 earliest ends, in order. */
	for (i = 0; i < s->ntargets; i++) {
		const struct sched_target *t = s->targets[i];
		double end;

		if (sched_is_remote(t, step) ||
		    !sched_target_eligible(t, job, step) ||
		    !sched_target_available(t, s->now))
			continue;
		end = sched_room_at(t, &step->need) + sched_run_time(t, step);
		for (j = found; j > 0 && ends[j - 1] > end; j--)
			if (j <= n)
				ends[j] = ends[j - 1];
		if (j <= n)
			ends[j] = end;
		found += found <= n;
	}
	return found > n ? ends[n] : HUGE_VAL;
}

int sched_locality_should_wait(struct sched *s, const struct sched_job *job,
			       const struct sched_step *step,
			       const struct sched_target *t)
{
	struct sched_rack_claims *claims;
	double end, remote_end;

	if (!sched_is_remote(t, step))
		return 0;
	claims = claims_of(s, step->rack);
	end = end_on_rack(s, job, step, claims->n);
	remote_end = (double)s->now + sched_run_time(t, step);
	if (end + SAVED_MIN_MS > remote_end || end > (double)job->due_at) {
		s->count.rack_spills++;
		return 0;
	}
	claims->n++;
	return 1;
}

double sched_locality_factor(struct sched *s, const struct sched_job *job,
			     const struct sched_step *step)
{
	size_t i;

	if (!step->rack[0])
		return 1;
	for (i = 0; i < s->ntargets; i++) {
		const struct sched_target *t = s->targets[i];

		if (!sched_is_remote(t, step) &&
		    sched_target_eligible(t, job, step) &&
		    sched_target_has_room(t, &step->need) &&
		    sched_target_available(t, s->now))
			return 1;
	}
	return s->remote_factor;
}
