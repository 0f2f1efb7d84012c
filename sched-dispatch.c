/* Starts of the tasks of jobs, in the order that the policies set. */

#include "sched-int.h"

#include <string.h>

int sched_has_earlier_runs(const struct sched_job *job)
{
	const struct sched_job *other;

	for (other = job->s->closed; other; other = other->next)
		if (other->nplaced && !strcmp(other->id, job->id))
			return 1;
	return 0;
}

/* What keeps all tasks of the job from being started. */
static enum sched_delay delay_of_all(struct sched_job *job)
{
	struct sched *s = job->s;

	if (job->domains_mark || job->owner_silent || job->awaits_submission)
		return SCHED_DELAY_OWNER;
	if (!job->stored && !s->stored_jobs_loaded &&
	    s->now < s->cancelled_awaited_until)
		return SCHED_DELAY_CANCELLED;
	if (s->now < job->starts_after ||
	    (job->awaits_earlier_runs && sched_has_earlier_runs(job)))
		return SCHED_DELAY_EARLIER_RUNS;
	job->awaits_earlier_runs = 0;
	/* An earlier scheduler's runs of its tasks may not be known yet. */
	if (job->prev_fence && !sched_adopt_all_known(job))
		return SCHED_DELAY_EARLIER_RUNS;
	return SCHED_DELAY_NONE;
}

static size_t last_task(const struct sched_job *job, size_t step)
{
	return job->steps[step].first_task + job->steps[step].ntasks - 1;
}

/*
 * Starts the job's tasks that are ready, as long as there is room for those of
 * their step. Returns what keeps the others from being started.
 */
static enum sched_delay start_tasks(struct sched_job *job)
{
	struct sched *s = job->s;
	enum sched_delay delay = delay_of_all(job);
	size_t i;

	if (delay || (job->stored && s->stored_suspended))
		return delay;
	for (i = 0; i < job->ntasks && job->nwaiting; i++) {
		struct sched_task *task = &job->tasks[i];
		struct sched_target *t;

		if (task->state != SCHED_WAITING ||
		    !sched_step_ready(job, task->step))
			continue;
		if (sched_loss_must_wait(task)) {
			delay = SCHED_DELAY_LOSSES;
			continue;
		}
		job->avoid = task->avoid;
		job->last_attempt = sched_task_on_last_attempt(task);
		job->isolate = sched_loss_isolates(task);
		t = s->place->place(s, job, &job->steps[task->step]);
		if (t && !sched_domain_announce(job, t))
			return SCHED_DELAY_OWNER;
		if (t) {
			sched_run_start(task, t);
			continue;
		}
		delay = SCHED_DELAY_ROOM;
		if (!job->isolate) {
			/* Steps after it may need less, or another label. */
			i = last_task(job, task->step);
			continue;
		}
		s->nunplaced++;
		sched_reserve_target(s, job, &job->steps[task->step]);
	}
	return delay;
}

void sched_dispatch(struct sched *s, rp_ms now)
{
	struct sched_job *job, *next;
	int deferred;

	s->now = now;
	if (s->dispatching || s->suspended || sched_awaits_evacuations(s))
		return;
	s->dispatching = 1;
	s->dispatch_pass++;
	s->nunplaced = 0;
	for (deferred = 0; deferred <= 1; deferred++)
		for (job = s->jobs; job; job = next) {
			next = job->next;
			if (!job->nwaiting) {
				sched_delay_set(job, SCHED_DELAY_NONE);
				sched_domains_placed(job);
				continue;
			}
			if (deferred != s->order->defer(job, now))
				continue;
			if (deferred && !job->missed_start)
				sched_admit_started_late(job);
			sched_delay_set(job, start_tasks(job));
		}
	s->dispatching = 0;
}
