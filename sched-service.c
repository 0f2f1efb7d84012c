/*
 * Totals over the targets of a service.
 *
 * They are cached, so that a decision on one of hundreds of jobs a second does
 * not scan hundreds of targets.
 */

#include "scheduler.h"

#include <stdio.h>

/* Age up to which totals are reused. */
#define TOTALS_MAX_AGE_MS 5

struct sched_service *sched_get_service(struct sched *s, const char *name)
{
	struct sched_service *service =
		apr_hash_get(s->services, name, APR_HASH_KEY_STRING);

	if (service)
		return service;
	service = apr_pcalloc(s->pool, sizeof(*service));
	snprintf(service->name, sizeof(service->name), "%s", name);
	service->updated_at = s->now - TOTALS_MAX_AGE_MS;
	apr_hash_set(s->services, service->name, APR_HASH_KEY_STRING, service);
	return service;
}

static int64_t max_i64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static void add_to_totals(struct sched_service *totals,
			  const struct sched_target *t)
{
	const struct sched_resources *capacity = &t->listing.capacity;

	if (!totals->has_available || t->slowdown < totals->min_slowdown)
		totals->min_slowdown = t->slowdown;
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
	size_t i;

	if (s->now - service->updated_at < TOTALS_MAX_AGE_MS)
		return service;
	service->updated_at = s->now;
	service->has_available = 0;
	service->min_slowdown = 1;
	service->cpu_rate = service->used_cpu = service->total_cpu = 0;
	service->max_capacity = none;
	for (i = 0; i < s->ntargets; i++)
		if (s->targets[i]->service == service &&
		    sched_target_available(s->targets[i], s->now))
			add_to_totals(service, s->targets[i]);
	return service;
}
