#ifndef TWO_DOMAINS_H
#define TWO_DOMAINS_H

/* Targets in two failure domains, and a scheduler that succeeds another. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#include "lead.h"
#include "world/world.h"

static struct world w;
static struct sched first, second;

static inline void init_apr(void)
{
	apr_initialize();
}

/* Half of the targets are in domain "a", the others in "b". */
static inline void begin_world(size_t ntargets)
{
	static const double speeds[] = { 1.0 };
	size_t i;

	world_init(&w, 7, ntargets, speeds, 1);
	w.late_leases = 1;
	w.stored = 1;
	for (i = 0; i < ntargets; i++)
		snprintf(w.targets[i].listing.failure_domain, RP_NAME_MAX, "%s",
			 i < ntargets / 2 ? "a" : "b");
	world_start_sched(&w, &first, NULL, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 50);
}

static inline void end_world(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&second);
	world_finish(&w);
}

/* The first scheduler uses the targets of one domain alone, or of both. */
static inline void use_domain(const char *domain)
{
	size_t i;

	for (i = 0; i < w.ntargets; i++) {
		struct sched_listing l = w.targets[i].listing;

		l.ready = !domain || !strcmp(l.failure_domain, domain);
		sched_target_listed(&first, &l, w.now);
	}
}

static inline void cut_domain_off(const char *domain)
{
	size_t i;

	for (i = 0; i < w.ntargets; i++)
		if (!strcmp(w.targets[i].listing.failure_domain, domain))
			w.targets[i].unresponsive = 1;
}

/* Submits the job, whose caller waits for 60 s, to the scheduler that leads. */
static inline void submit_again(struct world_job *job, uint64_t former)
{
	job->sub->former = former;
	job->sub->age_ms = (uint32_t)(w.now - job->arrived_at);
	job->sub->left_ms = 60000 - job->sub->age_ms;
	world_submit_job(&w, job);
	sched_dispatch(w.sched, w.now);
}

#endif
