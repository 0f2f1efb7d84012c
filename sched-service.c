/*
 * Totals over the targets of a service.
 *
 * They are cached, so that a decision on one of hundreds of jobs a second does
 * not scan hundreds of targets.
 */

#include "sched-int.h"

#include <math.h>
#include <stdio.h>

/* Age up to which totals are reused. */
#define TOTALS_MAX_AGE_MS 5
/* Histogram of the CPU over the log slowdown of its targets. */
#define LOG_SLOWDOWN_MIN (-2.0)
#define LOG_SLOWDOWN_STEP 0.05
#define LOG_SLOWDOWN_BUCKETS 80

struct sched_service *sched_get_service(struct sched *s, const char *name)
{
	struct sched_service *service =
		apr_hash_get(s->services, name, APR_HASH_KEY_STRING);

	if (service)
		return service;
	service = apr_pcalloc(s->pool, sizeof(*service));
	snprintf(service->name, sizeof(service->name), "%s", name);
	service->updated_at = s->now - TOTALS_MAX_AGE_MS;
	service->served = 1;
	apr_hash_set(s->services, service->name, APR_HASH_KEY_STRING, service);
	return service;
}

void sched_service_changed(struct sched_service *service)
{
	service->updated_at -= TOTALS_MAX_AGE_MS;
}

static int64_t max_i64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static size_t bucket_of(double log_slowdown)
{
	double i = (log_slowdown - LOG_SLOWDOWN_MIN) / LOG_SLOWDOWN_STEP;

	if (i < 0)
		return 0;
	return i < LOG_SLOWDOWN_BUCKETS ? (size_t)i : LOG_SLOWDOWN_BUCKETS - 1;
}

/* Returns the slowdown up to which SCHED_FAST_SHARE of the CPU is. */
static double fast_slowdown(const double *cpu_by_slowdown, double total_cpu)
{
	double cpu = 0;
	size_t i;

	for (i = 0; i < LOG_SLOWDOWN_BUCKETS; i++) {
		cpu += cpu_by_slowdown[i];
		if (cpu > 0 && cpu >= SCHED_FAST_SHARE * total_cpu)
			return exp(LOG_SLOWDOWN_MIN +
				   LOG_SLOWDOWN_STEP * ((double)i + 0.5));
	}
	return 1; /* no target is available */
}

static void add_to_totals(struct sched_service *totals, double *cpu_by_slowdown,
			  const struct sched_target *t)
{
	const struct sched_resources *capacity = &t->listing.capacity;

	/* A target that is not known well may be fast. */
	cpu_by_slowdown[bucket_of(t->log_slowdown - sqrt(t->slowdown_var))] +=
		(double)capacity->cpu;
	totals->has_available = 1;
	totals->cpu_rate += (double)capacity->cpu / t->slowdown;
	totals->used_cpu += (double)t->used.cpu;
	totals->total_cpu += (double)capacity->cpu;
	totals->max_capacity.cpu =
		max_i64(totals->max_capacity.cpu, capacity->cpu);
	totals->max_capacity.memory =
		max_i64(totals->max_capacity.memory, capacity->memory);
	totals->max_capacity.accelerators = max_i64(
		totals->max_capacity.accelerators, capacity->accelerators);
}

const struct sched_service *sched_service_totals(struct sched *s,
						 struct sched_service *service)
{
	static const struct sched_resources none;
	double cpu_by_slowdown[LOG_SLOWDOWN_BUCKETS] = { 0 };
	size_t i;

	if (s->now - service->updated_at < TOTALS_MAX_AGE_MS)
		return service;
	service->updated_at = s->now;
	service->has_available = 0;
	service->cpu_rate = service->used_cpu = service->total_cpu = 0;
	service->nlisted = service->nsilent = 0;
	service->max_capacity = none;
	for (i = 0; i < s->ntargets; i++) {
		const struct sched_target *t = s->targets[i];

		if (t->service != service)
			continue;
		if (sched_target_available(t, s->now))
			add_to_totals(service, cpu_by_slowdown, t);
		/* One that was replaced is back as another entry. */
		service->nlisted += t->listed && !t->replaced;
		service->nsilent += t->listed && !t->replaced && t->unanswered;
	}
	service->fast_slowdown =
		fast_slowdown(cpu_by_slowdown, service->total_cpu);
	sched_fit_update(s, service);
	return service;
}
