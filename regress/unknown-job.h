#ifndef UNKNOWN_JOB_H
#define UNKNOWN_JOB_H

/* A job whose owner is not connected when its leader ends. */

#include "lead.h"
#include "world/world.h"

/* Of callers that state no deadline. */
#define DEFAULT_WAIT_MS 1500

static struct world w;
static struct sched first, second;

/* The scheduler ends; its successor is told what a leader's heartbeats tell. */
static inline void succeed(struct sched *from, struct sched *to, uint64_t term,
			   rp_ms default_wait)
{
	rp_ms until = sched_callers_wait_until(from);

	sched_finish(from);
	world_drop_calls(&w, from);
	world_start_sched(&w, to, NULL, LEAD_TOKEN(term));
	to->owners_missing = 1;
	to->default_wait = default_wait;
	sched_callers_waited_until(to, until);
}

/* A task ends just after its leader, and its owner does not learn of it. */
static inline struct world_job *begin_unknown_job(rp_ms default_wait)
{
	struct world_job *job;

	world_begin(&w, &first, 4);
	job = world_job_new(&w, "q", 1, 3000, 1, 20000);
	job->task_work[0] = job->sub->steps[0]->estimate_ms = 3000;
	job->fence = first.fence;
	sched_submit(&first, job, job->sub, w.now);
	world_run_until(&w, w.now + 2900);
	succeed(&first, &second, 2, default_wait);
	world_run_until(&w, w.now + 5000);
	return job;
}

#endif
