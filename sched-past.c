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
 * Time after which a job is not submitted again, or longer where callers wait
 * longer, within a bound on the memory.
 */
#define HISTORY_MS 10000
#define HISTORY_MAX_MS 60000

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
	rec->closed_at = s->now;
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
	*s->history_tail = rec;
	s->history_tail = &rec->next;
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

static void remove_oldest(struct sched *s)
{
	struct sched_history *rec = s->history_head;

	if (apr_hash_get(s->history, rec->id, APR_HASH_KEY_STRING) == rec)
		apr_hash_set(s->history, rec->id, APR_HASH_KEY_STRING, NULL);
	s->history_head = rec->next;
	if (!s->history_head)
		s->history_tail = &s->history_head;
	while (rec->ndomains)
		free(rec->domains[--rec->ndomains]);
	free(rec->domains);
	free(rec->losses);
	free(rec);
}

void sched_released_add(struct sched *s, const char *task)
{
	struct sched_released_end *e = calloc(1, sizeof(*e));

	if (!e)
		return;
	e->released_at = s->now;
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

static rp_ms history_time(const struct sched *s)
{
	if (s->longest_wait < HISTORY_MS)
		return HISTORY_MS;
	return s->longest_wait > HISTORY_MAX_MS ? HISTORY_MAX_MS
						: s->longest_wait;
}

void sched_history_expire(struct sched *s)
{
	rp_ms kept = history_time(s);

	while (s->released_head &&
	       s->now - s->released_head->released_at > kept)
		remove_oldest_released(s);
	while (s->history_head && s->now - s->history_head->closed_at > kept)
		remove_oldest(s);
}

void sched_history_finish(struct sched *s)
{
	while (s->history_head)
		remove_oldest(s);
	while (s->released_head)
		remove_oldest_released(s);
}
