/*
 * Records of answered jobs, and of successes that no job has claimed.
 *
 * A job may be submitted again: by its caller, which got no answer, or by its
 * entry VM, which this leader considered lost, or which finds it late. The
 * tasks that succeeded are not started again, and the others get higher run
 * numbers than before.
 */

#include "sched-int.h"

#include <stdlib.h>
#include <string.h>

/*
 * Time after a job's answer, or its deadline if that is later, in which it may
 * be submitted again.
 */
#define HISTORY_MS 10000
/*
 * Time until a deadline that records are kept for at most, and their number:
 * bounds on the memory, as callers may state any deadline.
 */
#define HISTORY_MAX_MS 120000
#define HISTORY_MAX 100000

static void add_loss(struct sched_history *rec, size_t task,
		     const struct sched_loss *loss)
{
	struct sched_history_loss *list =
		realloc(rec->losses, (rec->nlosses + 1) * sizeof(*rec->losses));

	if (!list)
		return;
	rec->losses = list;
	list[rec->nlosses].task = task;
	list[rec->nlosses++].loss = *loss;
}

static void add_losses(struct sched_history *rec, const struct sched_job *job)
{
	size_t i, j;

	for (i = 0; job->nsuspects && i < job->ntasks; i++) {
		const struct sched_losses *losses = job->tasks[i].losses;

		for (j = 0; losses && j < losses->n; j++)
			add_loss(rec, i, &losses->list[j]);
	}
}

static struct sched_history *find_record(const struct sched_job *job)
{
	struct sched_history *rec =
		apr_hash_get(job->s->history, job->id, APR_HASH_KEY_STRING);

	return rec && rec->ntasks == job->ntasks &&
			       rec->digest == job->specification_hash
		       ? rec
		       : NULL;
}

void sched_history_add_loss(const struct sched_task *task,
			    const struct sched_loss *loss)
{
	struct sched_job *closed = task->job;
	struct sched_job *job =
		sched_find_open_job(closed->s, str_of(closed->id));
	struct sched_history *rec = find_record(closed);
	size_t i = (size_t)(task - closed->tasks);

	/* The job may have been submitted again already. */
	if (job && job->ntasks == closed->ntasks &&
	    job->specification_hash == closed->specification_hash) {
		sched_loss_add(&job->tasks[i], loss);
		sched_losses_changed(job);
	} else if (rec) {
		add_loss(rec, i, loss);
	}
}

void sched_history_add_done(const struct sched_task *task)
{
	struct sched_history *rec = find_record(task->job);

	if (rec)
		rec->done[task - task->job->tasks] = 1;
}

/* Time for an entry VM to cancel a job at its deadline, and to stop its runs.
 */
#define EXPIRY_MS 100

void sched_history_add_unreached(const struct sched_task *task)
{
	const struct sched_job *closed = task->job;
	struct sched_job *job =
		sched_find_open_job(closed->s, str_of(closed->id));
	struct sched_history *rec = find_record(closed);
	rp_ms until = closed->deadline + EXPIRY_MS;

	/* The job may have been submitted again already. */
	if (job && job->starts_after < until)
		job->starts_after = until;
	if (rec && rec->may_go_on_until < until)
		rec->may_go_on_until = until;
}

static void remove_record(struct sched *s, struct sched_history *rec)
{
	if (apr_hash_get(s->history, rec->id, APR_HASH_KEY_STRING) == rec)
		apr_hash_set(s->history, rec->id, APR_HASH_KEY_STRING, NULL);
	heap_remove(&s->history_expiry, &rec->expiry_node);
	budget_release(s->budget, RP_HOLD_JOBS, rec->held);
	while (rec->ndomains)
		free(rec->domains[--rec->ndomains]);
	free(rec->domains);
	free(rec->losses);
	free(rec);
}

/* Returns the record that expires first, or NULL. */
static struct sched_history *first_to_expire(const struct sched *s)
{
	struct rp_heap_node *node = heap_first(&s->history_expiry);

	return node ? RP_CONTAINER(node, struct sched_history, expiry_node)
		    : NULL;
}

static rp_ms later(rp_ms a, rp_ms b)
{
	return a > b ? a : b;
}

/* The end of the time in which a job of the deadline may be submitted again. */
static rp_ms history_until(const struct sched *s, rp_ms deadline)
{
	rp_ms most = s->now + HISTORY_MAX_MS;

	return later(s->now, deadline < most ? deadline : most) + HISTORY_MS;
}

/* A stored job has no deadline. */
static rp_ms expires_at(const struct sched_job *job)
{
	return history_until(job->s, job->stored ? 0 : job->deadline);
}

void sched_history_add(const struct sched_job *job)
{
	struct sched *s = job->s;
	struct sched_history *rec;
	int unknown = job->prev_fence && !sched_adopt_all_known(job);
	size_t i;

	if (!job->first_started_at && !unknown)
		return;
	rec = calloc(1, sizeof(*rec) + job->ntasks);
	if (!rec)
		return;
	rec->held = sizeof(*rec) + job->ntasks;
	budget_add(s->budget, RP_HOLD_JOBS, rec->held);
	memcpy(rec->id, job->id, sizeof(rec->id));
	rec->digest = job->specification_hash;
	rec->next_run = job->next_run + 1;
	rec->ntasks = job->ntasks;
	for (i = 0; i < job->ntasks; i++)
		rec->done[i] = job->tasks[i].state == SCHED_DONE;
	add_losses(rec, job);
	if (unknown) {
		rec->prev_fence = job->prev_fence;
		rec->submitted_at = job->submitted_at;
	}
	rec->may_go_on_until = job->starts_after;
	sched_domains_record(rec, job);
	if (s->history_expiry.len >= HISTORY_MAX)
		remove_record(s, first_to_expire(s));
	heap_node_init(&rec->expiry_node);
	heap_set(&s->history_expiry, &rec->expiry_node,
		 (double)expires_at(job));
	/*
	 * An entry keeps the key that it was created with. It is removed first,
	 * as that key points into the old record.
	 */
	apr_hash_set(s->history, rec->id, APR_HASH_KEY_STRING, NULL);
	apr_hash_set(s->history, rec->id, APR_HASH_KEY_STRING, rec);
}

/*
 * Restores what the earlier submission knew of earlier schedulers. A job
 * without unknown runs is admitted like any other.
 */
static void restore_previous(struct sched_job *job,
			     const struct sched_history *rec)
{
	int inherits = rec->prev_fence && !job->prev_fence;
	rp_ms submitted_at = job->submitted_at;

	job->starts_after = rec->may_go_on_until;
	if (inherits) {
		job->prev_fence = rec->prev_fence;
		job->submitted_at = rec->submitted_at;
	}
	sched_domains_inherit(job, rec);
	if (inherits && sched_adopt_all_known(job)) {
		job->prev_fence = 0;
		job->submitted_at = submitted_at;
	}
}

void sched_history_restore(struct sched_job *job)
{
	struct sched *s = job->s;
	const struct sched_history *rec =
		apr_hash_get(s->history, job->id, APR_HASH_KEY_STRING);
	size_t i;

	/* The record may be of before the token was raised. */
	job->next_run = s->first_run;
	if (rec && rec->next_run > job->next_run)
		job->next_run = rec->next_run;
	job->min_run = job->next_run;
	job->started_earlier = rec != NULL;
	if (rec)
		restore_previous(job, rec);
	rec = find_record(job);
	if (!rec)
		return;
	for (i = 0; i < job->ntasks; i++)
		if (rec->done[i])
			sched_job_mark_done(job, i);
	for (i = 0; i < rec->nlosses; i++)
		sched_loss_add(&job->tasks[rec->losses[i].task],
			       &rec->losses[i].loss);
	if (rec->nlosses)
		sched_losses_changed(job);
}

void sched_released_add(struct sched *s, const char *task)
{
	struct sched_released_end *e = calloc(1, sizeof(*e));

	if (!e)
		return;
	e->kept_until = history_until(s, s->callers_wait_until);
	str_copy(e->task, sizeof(e->task), str_of(task));
	*s->released_tail = e;
	s->released_tail = &e->next;
}

void sched_released_restore(struct sched_job *job)
{
	const struct sched_released_end *e;
	size_t i;

	for (e = job->s->released_head; e; e = e->next)
		for (i = 0; i < job->ntasks; i++)
			if (!strcmp(e->task, job->tasks[i].name))
				sched_job_mark_done(job, i);
}

static void remove_oldest_released(struct sched *s)
{
	struct sched_released_end *e = s->released_head;

	s->released_head = e->next;
	if (!s->released_head)
		s->released_tail = &s->released_head;
	free(e);
}

void sched_callers_waited_until(struct sched *s, rp_ms until)
{
	s->callers_wait_until = later(s->callers_wait_until, until);
}

rp_ms sched_callers_wait_until(const struct sched *s)
{
	rp_ms until = s->callers_wait_until;
	const struct sched_job *job;
	size_t i;

	for (job = s->jobs; job; job = job->next)
		if (!job->stored)
			until = later(until, job->deadline);
	for (i = 0; i < s->ntargets; i++)
		until = later(until, sched_unacked_needed_until(s->targets[i]));
	return later(0, until < s->now + HISTORY_MAX_MS
				? until
				: s->now + HISTORY_MAX_MS);
}

void sched_history_expire(struct sched *s)
{
	struct sched_history *rec;

	while (s->released_head && s->now > s->released_head->kept_until)
		remove_oldest_released(s);
	while ((rec = first_to_expire(s)) &&
	       (double)s->now > rec->expiry_node.key)
		remove_record(s, rec);
}

void sched_history_finish(struct sched *s)
{
	struct sched_history *rec;

	while ((rec = first_to_expire(s)))
		remove_record(s, rec);
	heap_finish(&s->history_expiry);
	while (s->released_head)
		remove_oldest_released(s);
}
