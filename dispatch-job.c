/* Jobs from admission to their answer, and the tick of a dispatch shard. */

#include "rosemary-int.h"

#include <stdlib.h>

size_t job_nqueued(const struct rp_job *job)
{
	return job->sub->ntasks - job->next_task + job->nrequeued;
}

void job_count_queued(struct rp_job *job, ptrdiff_t n)
{
	struct rp_dispatch *d = job->svc->shard;
	struct rp_team *team = job->team;

	job->svc->nqueued += (size_t)n;
	team->nqueued += (size_t)n;
	if (!team->nqueued) {
		d->active_weight -= team->active_weight;
		team->active_weight = 0;
	} else if (!team->active_weight) {
		team->active_weight = team->weight;
		d->active_weight += team->weight;
	}
}

void job_free(struct rp_job *job)
{
	size_t i;

	for (i = 0; i < job->sub->ntasks; i++)
		rp_blob_unref(job->tasks[i].result);
	rp_submission_unref(job->sub);
	free(job->tasks);
	free(job->requeued);
	free(job);
}

void job_unref(struct rp_job *job)
{
	if (--job->refs == 0)
		job_free(job);
}

/* Makes a job of the submission with one reference, for the shard. */
static struct rp_job *job_new(struct rp_service *svc, rp_ms now,
			      struct rp_submission *sub, rp_ms deadline)
{
	struct rp_job *job = kernel_alloc(sizeof(*job));
	struct rp_dispatch *d = svc->shard;

	job->id = ++d->next_job;
	job->svc = svc;
	job->team = team_get(d, sub->team);
	job->sub = rp_submission_ref(sub);
	job->accepted_at = now;
	job->deadline = deadline;
	job->refs = 1;
	job->tasks = kernel_alloc(sub->ntasks * sizeof(*job->tasks));
	heap_node_init(&job->queue_node);
	heap_node_init(&job->deadline_node);
	heap_set(&d->deadlines, &job->deadline_node, (double)deadline);
	apr_hash_set(d->jobs, &job->id, sizeof(job->id), job);
	return job;
}

/* Refuses a submission that could never run, however long it waits. */
static enum rp_code check_runnable(struct rp_dispatch *d,
				   struct rp_service *svc,
				   const struct rp_submission *sub,
				   struct rp_status *st)
{
	size_t i;

	if (!svc)
		return rp_status_set(st, RP_E_INPUT, RP_STEP_ADMIT, "",
				     "service: \"%.*s\" is unknown",
				     (int)sub->service.len, sub->service.ptr);
	if (team_get(d, sub->team)->quota == 0)
		return rp_status_set(st, RP_E_INPUT, RP_STEP_ADMIT, "",
				     "team: has a quota of 0");
	for (i = 0; i < svc->ntargets; i++)
		if (svc->targets[i]->listed && svc->targets[i]->weight &&
		    target_limit(svc->targets[i]))
			return RP_OK;
	return rp_status_set(st, RP_E_INPUT, RP_STEP_ADMIT, "",
			     "service: no target has a weight and a limit");
}

enum rp_code dispatch_submit(struct rp_dispatch *d, rp_ms now,
			     struct rp_submission *sub, rp_ms deadline,
			     uint64_t *job_id, struct rp_status *st,
			     rp_ms *retry_after, struct rp_actions *acts)
{
	struct rp_service *svc;
	struct rp_job *job;

	kernel_lock(d->k, d->lock);
	svc = service_find(d, sub->service);
	if (check_runnable(d, svc, sub, st) != RP_OK ||
	    svc->admit->ops->check(svc->admit, sub, now, st, retry_after) !=
		    RP_OK) {
		d->counters.refused++;
		kernel_unlock(d->k, d->lock);
		return st->code;
	}
	job = job_new(svc, now, sub, deadline);
	*job_id = job->id;
	d->counters.jobs++;
	job_count_queued(job, (ptrdiff_t)sub->ntasks);
	svc->queue->ops->add(svc->queue, job, now);
	job->queued = 1;
	dispatch_pump(svc, now, acts);
	kernel_unlock(d->k, d->lock);
	return RP_OK;
}

/* Removes the job with all its queued tasks from the queue. */
static void job_dequeue(struct rp_job *job)
{
	struct rp_service *svc = job->svc;

	if (job->parked) {
		job_count_queued(job, -(ptrdiff_t)job_nqueued(job));
		pump_unpark_job(job);
		return;
	}
	if (!job->queued)
		return;
	job_count_queued(job, -(ptrdiff_t)job_nqueued(job));
	svc->queue->ops->remove(svc->queue, job);
	job->queued = 0;
}

/* Moves the results of a completed job into its answer. */
static void answer_results(struct rp_job *job, struct rp_answer *a)
{
	size_t i, n = job->sub->ntasks;

	a->results = kernel_alloc(n * sizeof(*a->results));
	a->nresults = n;
	for (i = 0; i < n; i++) {
		a->results[i].id = job->sub->tasks[i].id;
		a->results[i].body = job->tasks[i].result;
		a->bytes += job->tasks[i].result->len + sizeof(*a->results) +
			    sizeof(struct rp_blob);
		job->tasks[i].result = NULL;
	}
}

void job_close(struct rp_job *job, rp_ms now, enum rp_state state,
	       const struct rp_status *st, struct rp_actions *acts)
{
	struct rp_dispatch *d = job->svc->shard;
	struct rp_answer *a;

	(void)now;
	if (job->closed)
		return;
	job->closed = 1;
	job_dequeue(job);
	heap_remove(&d->deadlines, &job->deadline_node);
	apr_hash_set(d->jobs, &job->id, sizeof(job->id), NULL);
	a = answer_status(state, st, 0);
	a->may_have_run = state == RP_FAILED && job->may_have_run;
	a->sub = rp_submission_ref(job->sub);
	if (state == RP_COMPLETE) {
		d->counters.complete++;
		answer_results(job, a);
	} else {
		d->counters.failed++;
	}
	start_stop_all(job, acts);
	sub_job_ended(a, acts);
	job_unref(job);
}

void job_fail(struct rp_job *job, rp_ms now, const struct rp_status *st,
	      struct rp_actions *acts)
{
	job_close(job, now, job->may_have_run ? RP_FAILED : RP_NOT_RUN, st,
		  acts);
}

void job_task_done(struct rp_job *job, size_t task, struct rp_blob *body,
		   rp_ms now, struct rp_actions *acts)
{
	struct rp_status st = { 0 };
	struct rp_task *t = &job->tasks[task];

	if (job->closed || t->state == RP_TASK_DONE)
		return;
	t->state = RP_TASK_DONE;
	t->result = body ? rp_blob_ref(body) : rp_blob_new("", 0);
	if (++job->ndone == job->sub->ntasks)
		job_close(job, now, RP_COMPLETE, &st, acts);
}

void job_requeue_task(struct rp_job *job, size_t task, rp_ms now)
{
	struct rp_service *svc = job->svc;

	if (job->closed)
		return;
	if (job->nrequeued == job->cap_requeued) {
		job->cap_requeued = job->cap_requeued ? 2 * job->cap_requeued
						      : 4;
		job->requeued = kernel_realloc(job->requeued,
					       job->cap_requeued *
						       sizeof(*job->requeued));
	}
	/* An earlier start may still run: use another task id. */
	if (job->sub->is_request && job->sub->idempotent)
		job->tasks[task].suffix++;
	job->tasks[task].state = RP_TASK_QUEUED;
	job->requeued[job->nrequeued++] = (uint32_t)task;
	job_count_queued(job, 1);
	if (job->parked)
		return;
	if (job->queued) {
		svc->queue->ops->changed(svc->queue, job, now);
		return;
	}
	svc->queue->ops->add(svc->queue, job, now);
	job->queued = 1;
}

void dispatch_cancel(struct rp_dispatch *d, rp_ms now, uint64_t job_id,
		     struct rp_actions *acts)
{
	struct rp_status st;
	struct rp_job *job;

	kernel_lock(d->k, d->lock);
	job = apr_hash_get(d->jobs, &job_id, sizeof(job_id));
	if (job) {
		rp_status_set(&st, RP_E_CANCELLED, RP_STEP_RUN, "",
			      "cancelled by a caller");
		job_fail(job, now, &st, acts);
	}
	kernel_unlock(d->k, d->lock);
}

/* Closes the jobs whose deadline has passed. */
static void close_overdue(struct rp_dispatch *d, rp_ms now,
			  struct rp_actions *acts)
{
	struct rp_heap_node *n;
	struct rp_status st;

	while ((n = heap_first(&d->deadlines)) && n->key <= (double)now) {
		struct rp_job *job =
			RP_CONTAINER(n, struct rp_job, deadline_node);

		rp_status_set(&st, RP_E_DEADLINE,
			      job->in_flight ? RP_STEP_RUN : RP_STEP_QUEUE, "",
			      "deadline passed with %zu of %zu tasks done",
			      job->ndone, job->sub->ntasks);
		job_fail(job, now, &st, acts);
	}
}

void dispatch_tick(struct rp_dispatch *d, rp_ms now, struct rp_actions *acts)
{
	apr_hash_index_t *i;

	kernel_lock(d->k, d->lock);
	d->ticked_at = now;
	dispatch_run_timers(d, now, acts);
	close_overdue(d, now, acts);
	target_resume_due(d, now);
	for (i = apr_hash_first(NULL, d->services); i; i = apr_hash_next(i)) {
		struct rp_service *svc = apr_hash_this_val(i);

		svc->health->ops->tick(svc->health, now);
		svc->limit->ops->tick(svc->limit, now, acts);
		if (svc->route->ops->tick)
			svc->route->ops->tick(svc->route, now);
		pump_unpark_all(svc, now);
		dispatch_pump(svc, now, acts);
	}
	kernel_unlock(d->k, d->lock);
}
