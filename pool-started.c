/*
 * Which jobs may have been started, on the entry VM that owns them.
 *
 * A caller is told that a job has not run only if nobody can have started it,
 * and the next leader waits for the runs of those that may have been.
 */

#include "pool-request.h"

void pool_request_may_be_started(struct pool_request *r)
{
	if (!r->started_fence || (!LEAD_IS_PROVISIONAL(r->started_fence) &&
				  LEAD_IS_PROVISIONAL(r->sent_fence)))
		r->started_fence = r->sent_fence;
}

void pool_requests_note_own_starts(struct pool *p)
{
	const struct sched_job *job;

	for (job = p->sched.jobs; job; job = job->next) {
		struct pool_request *r;

		if (job->owner != &p->self || job->stored ||
		    sched_job_is_untouched(job))
			continue;
		r = pool_request_find(p, job->seq);
		if (r)
			pool_request_may_be_started(r);
	}
}
