/*
 * Evacuation of failure domains: an operator asks that nothing more be started
 * there. Runs that are there continue to their end.
 */

#include "sched-int.h"

#include <apr_strings.h>

static int is_evacuated(const struct sched *s, const char *failure_domain)
{
	return apr_hash_get(s->evacuated, failure_domain,
			    APR_HASH_KEY_STRING) != NULL;
}

void sched_evacuate_target(struct sched_target *t)
{
	int evacuated = t->listing.failure_domain[0] &&
			is_evacuated(t->s, t->listing.failure_domain);

	if (t->evacuated == evacuated)
		return;
	t->evacuated = evacuated;
	sched_service_changed(t->service);
	/* Targets may be slow for a while after an evacuation. */
	if (!evacuated)
		sched_reset_slowdown(t);
}

int sched_service_is_evacuated(const struct sched *s,
			       const struct sched_service *service)
{
	size_t i, n = 0;

	for (i = 0; i < s->ntargets; i++) {
		const struct sched_target *t = s->targets[i];

		if (t->service != service || !t->listed)
			continue;
		if (!t->evacuated)
			return 0;
		n++;
	}
	return n > 0 && (s->targets_loaded || s->targets_cached);
}

/* Rejects jobs of services that have no target left. */
static void reject_unservable(struct sched *s)
{
	struct sched_job *job, *next;

	for (job = s->jobs; job; job = next) {
		next = job->next;
		if (job->stored || !sched_job_is_untouched(job) ||
		    !sched_service_is_evacuated(s, job->service))
			continue;
		s->count.evacuated++;
		sched_job_answer(job, POOL_ANSWER__OUTCOME__REJECTED,
				 "all targets of the service are evacuated",
				 SCHED_EVACUATED_RETRY_MS);
	}
}

void sched_set_evacuated(struct sched *s, const char *failure_domain,
			 int evacuated, rp_ms now)
{
	size_t i;

	s->now = now;
	if (evacuated == is_evacuated(s, failure_domain))
		return;
	if (evacuated)
		apr_hash_set(s->evacuated, apr_pstrdup(s->pool, failure_domain),
			     APR_HASH_KEY_STRING, "");
	else
		apr_hash_set(s->evacuated, failure_domain, APR_HASH_KEY_STRING,
			     NULL);
	for (i = 0; i < s->ntargets; i++)
		sched_evacuate_target(s->targets[i]);
	if (evacuated)
		reject_unservable(s);
}

void sched_await_evacuations(struct sched *s, rp_ms until)
{
	s->evacuations_awaited_until = until;
}

void sched_evacuations_known(struct sched *s, rp_ms now)
{
	s->now = now;
	s->evacuations_awaited_until = 0;
}

int sched_awaits_evacuations(const struct sched *s)
{
	return s->now < s->evacuations_awaited_until;
}
