/*
 * What the targets of a service have together.
 *
 * Answers the load of hundreds of targets and of jobs a second: a decision on
 * one job does not look at every target again.
 */

#include "scheduler.h"

#include <stdio.h>

#define SUMS_MS 5 /* sums are this old at most */

struct sched_service *sched_service_of(struct sched *s, const char *name)
{
	struct sched_service *service =
		apr_hash_get(s->services, name, APR_HASH_KEY_STRING);

	if (service)
		return service;
	service = apr_pcalloc(s->pool, sizeof(*service));
	snprintf(service->name, sizeof(service->name), "%s", name);
	service->summed_at = s->now - SUMS_MS;
	apr_hash_set(s->services, service->name, APR_HASH_KEY_STRING, service);
	return service;
}

static int64_t larger(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static void add(struct sched_service *all, const struct sched_target *t)
{
	const struct sched_vector *room = &t->is.capacity;

	if (!all->any || t->slow < all->fastest)
		all->fastest = t->slow;
	all->any = 1;
	all->rate += (double)room->cpu / t->slow;
	all->used += (double)t->used.cpu;
	all->room += (double)room->cpu;
	all->most.cpu = larger(all->most.cpu, room->cpu);
	all->most.memory = larger(all->most.memory, room->memory);
	all->most.accelerators =
		larger(all->most.accelerators, room->accelerators);
}

const struct sched_service *sched_sums(struct sched *s,
				       struct sched_service *service)
{
	static const struct sched_vector none;
	size_t i;

	if (s->now - service->summed_at < SUMS_MS)
		return service;
	service->summed_at = s->now;
	service->any = 0;
	service->fastest = 1;
	service->rate = service->used = service->room = 0;
	service->most = none;
	for (i = 0; i < s->ntargets; i++)
		if (s->targets[i]->service == service &&
		    sched_target_open(s->targets[i], s->now))
			add(service, s->targets[i]);
	return service;
}
