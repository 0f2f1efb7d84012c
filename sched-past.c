/*
 * What is remembered of jobs that are over.
 *
 * A job may be submitted again: by its caller, who got no answer, or by its
 * entry VM, which this leader took for gone. Its tasks that were done are not
 * started again, and the others get higher run numbers than before.
 */

#include "scheduler.h"

#include <stdlib.h>
#include <string.h>

#define PAST_MS 10000 /* no submission comes again after */

void sched_past_keep(const struct sched_job *job)
{
	struct sched *s = job->s;
	struct sched_past *p;
	size_t i;

	if (!job->first_start)
		return;
	p = calloc(1, sizeof(*p) + job->ntasks);
	if (!p)
		return;
	p->at = s->now;
	memcpy(p->id, job->id, sizeof(p->id));
	p->digest = str_hash(job->specification);
	p->run = job->run + 1;
	p->ntasks = job->ntasks;
	for (i = 0; i < job->ntasks; i++)
		p->done[i] = job->tasks[i].state == SCHED_DONE;
	*s->past_last = p;
	s->past_last = &p->next;
	/* The table keeps the key that it was first given: the old record's. */
	apr_hash_set(s->past, p->id, APR_HASH_KEY_STRING, NULL);
	apr_hash_set(s->past, p->id, APR_HASH_KEY_STRING, p);
}

void sched_job_recall(struct sched_job *job)
{
	struct sched *s = job->s;
	const struct sched_past *p =
		apr_hash_get(s->past, job->id, APR_HASH_KEY_STRING);
	size_t i;

	job->run = job->run_least = p ? p->run : s->first_run;
	if (!p || p->ntasks != job->ntasks ||
	    p->digest != str_hash(job->specification))
		return;
	for (i = 0; i < job->ntasks; i++)
		if (p->done[i])
			sched_job_mark_done(job, i);
}

static void drop_first(struct sched *s)
{
	struct sched_past *p = s->past_first;

	if (apr_hash_get(s->past, p->id, APR_HASH_KEY_STRING) == p)
		apr_hash_set(s->past, p->id, APR_HASH_KEY_STRING, NULL);
	s->past_first = p->next;
	if (!s->past_first)
		s->past_last = &s->past_first;
	free(p);
}

void sched_past_expire(struct sched *s)
{
	while (s->past_first && s->now - s->past_first->at > PAST_MS)
		drop_first(s);
}

void sched_past_finish(struct sched *s)
{
	while (s->past_first)
		drop_first(s);
}
