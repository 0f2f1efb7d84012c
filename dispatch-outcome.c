/* Effects of the outcome of a start on its target, task and job. */

#include "rosemary-int.h"

/* Starts of one idempotent request, the first and hedges included. */
#define ATTEMPTS_MAX 4
/*
 * Starts whose connection broke before the reply, after which a request is not
 * started again: it may be what crashes the targets.
 */
#define LOST_MAX 2

/* Longest pause of a target after the outcome BUSY or UNSENT, ms. */
#define PAUSE_BUSY_MAX_MS 80
#define PAUSE_UNSENT_MAX_MS 2000

/* Returns whether a failed or silent start may be followed by another. */
static int may_retry(const struct rp_job *job, uint32_t task, rp_ms now)
{
	const struct rp_submission *sub = job->sub;

	return sub->is_request && sub->idempotent && !job->closed &&
	       job->tasks[task].attempts < ATTEMPTS_MAX &&
	       job->tasks[task].lost < LOST_MAX && now < job->deadline &&
	       job->svc->by_run_time.len > 1;
}

int outcome_retry(struct rp_job *job, uint32_t task, struct rp_target *t,
		  rp_ms now)
{
	struct rp_retry *r = job->svc->retry;

	if (!may_retry(job, task, now) || !r->ops->take_token(r))
		return 0;
	job->failed_on = t;
	job_requeue_task(job, task, now);
	return 1;
}

void outcome_retry_or_fail(struct rp_job *job, uint32_t task,
			   struct rp_target *t, enum rp_code code, rp_ms now,
			   struct rp_actions *acts)
{
	struct rp_task *tk = &job->tasks[task];
	struct rp_status st;

	if (job->closed || tk->state == RP_TASK_DONE)
		return;
	/* Another start of the request is in flight or queued. */
	if (tk->in_flight || tk->state == RP_TASK_QUEUED)
		return;
	if (outcome_retry(job, task, t, now))
		return;
	rp_status_set(&st, code, RP_STEP_RUN, t->name, "%s",
		      code == RP_E_TARGET   ? "the target failed the task"
		      : tk->lost < LOST_MAX ? "the target gave no answer"
					    : "the connections to two targets "
					      "broke");
	job_fail(job, now, &st, acts);
}

/* Queues a task again after a start that did not run it. */
static void requeue_not_run(struct rp_job *job, uint32_t task, rp_ms now)
{
	struct rp_task *tk = &job->tasks[task];

	job->may_have_run--;
	tk->may_have_run--;
	if (tk->state == RP_TASK_SENT && !tk->in_flight)
		job_requeue_task(job, task, now);
}

/* Marks a target as leaving, so that it gets no more work. */
static void target_set_leaving(struct rp_target *t, rp_ms now)
{
	if (t->leaving)
		return;
	t->leaving = 1;
	t->leaving_since = now;
	target_reindex(t);
}

/* Updates the target's counters, pause and leaving state. */
static void update_target(struct rp_target *t, enum rp_start_outcome outcome,
			  rp_ms now)
{
	switch (outcome) {
	case RP_START_DONE:
		t->pause_length = 0;
		break;
	case RP_START_FAILED:
		t->pause_length = 0;
		t->failed++;
		break;
	case RP_START_LEAVING:
		target_set_leaving(t, now);
		break;
	case RP_START_BUSY:
		t->busy++;
		target_pause(t, now, PAUSE_BUSY_MAX_MS);
		break;
	case RP_START_UNSENT:
		target_pause(t, now, PAUSE_UNSENT_MAX_MS);
		break;
	case RP_START_UNKNOWN:
		break;
	}
}

void outcome_apply(struct rp_start *s, enum rp_start_outcome outcome,
		   struct rp_blob *body, rp_ms now, struct rp_actions *acts)
{
	struct rp_target *t = s->target;
	struct rp_job *job = s->job;
	uint32_t task = s->task;

	job->refs++;
	update_target(t, outcome, now);
	start_end(s, now, outcome);
	switch (outcome) {
	case RP_START_DONE:
		job_task_done(job, task, body, now, acts);
		break;
	case RP_START_FAILED:
		outcome_retry_or_fail(job, task, t, RP_E_TARGET, now, acts);
		break;
	case RP_START_UNKNOWN:
		outcome_retry_or_fail(job, task, t, RP_E_SILENT, now, acts);
		break;
	case RP_START_LEAVING:
	case RP_START_BUSY:
	case RP_START_UNSENT:
		requeue_not_run(job, task, now);
		break;
	}
	job_unref(job);
}

/*
 * Returns whether a reply is to be handled. The loss of the connection adds
 * nothing once the outcome is being looked up.
 */
static int reply_is_relevant(const struct rp_start *s,
			     enum rp_start_outcome outcome)
{
	return outcome != RP_START_UNKNOWN || s->phase == RP_START_SENT;
}

/* Handles the reply to a start. */
static void handle_reply(struct rp_start *s, const struct rp_event *ev,
			 rp_ms now, struct rp_actions *acts)
{
	if (ev->reply.outcome == RP_START_UNKNOWN) {
		lookup_begin(s, 1, now, acts);
		return;
	}
	/* The id may have been voided meanwhile: do not use it again. */
	if (s->nlookups)
		s->job->tasks[s->task].suffix++;
	outcome_apply(s, ev->reply.outcome, ev->reply.body, now, acts);
}

void dispatch_reply(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		    struct rp_actions *acts)
{
	struct rp_dispatch *d = start_shard(k, ev->reply.start_id);
	struct rp_service *svc;
	struct rp_start *s;

	if (!d)
		return;
	kernel_lock(k, d->lock);
	s = start_find(d, ev->reply.start_id);
	if (s && ev->reply.outcome == RP_START_UNKNOWN &&
	    s->job->tasks[s->task].lost < LOST_MAX)
		s->job->tasks[s->task].lost++;
	if (!s || !reply_is_relevant(s, ev->reply.outcome)) {
		d->counters.late_replies++;
		kernel_unlock(k, d->lock);
		return;
	}
	svc = s->target->svc;
	handle_reply(s, ev, now, acts);
	dispatch_pump(svc, now, acts);
	kernel_unlock(k, d->lock);
}
