/* Jobs: from submission to answer, and their place in the queue. */

#include "scheduler.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LATE_FACTOR 3 /* an answer after this many objectives is useless */
#define NO_DEADLINE (1000LL * 86400 * 365) /* ms */
#define OVERHEAD_MS 6 /* calls, ends' listing and the answer of one step */

static void queue_unlink(struct sched_job *job)
{
	if (job->prev)
		job->prev->next = job->next;
	else if (job->s->jobs == job)
		job->s->jobs = job->next;
	else
		job->s->closed = job->next;
	if (job->next)
		job->next->prev = job->prev;
	job->next = job->prev = NULL;
}

static void queue_insert(struct sched_job *job)
{
	struct sched_job *at = job->s->jobs, *prev = NULL;

	while (at && at->key <= job->key) {
		prev = at;
		at = at->next;
	}
	job->prev = prev;
	job->next = at;
	if (at)
		at->prev = job;
	if (prev)
		prev->next = job;
	else
		job->s->jobs = job;
}

int sched_step_ready(const struct sched_job *job, size_t step)
{
	uint64_t after = job->steps[step].after;
	size_t i;

	for (i = 0; after && i < job->nsteps; i++, after >>= 1)
		if ((after & 1) && job->steps[i].left)
			return 0;
	return 1;
}

/* The longest way through the steps, each of the length that is given. */
static double longest_way(const struct sched_job *job,
			  double (*length)(const struct sched_step *step))
{
	double ends[SCHED_STEPS_MAX], longest = 0;
	size_t i, j;

	for (i = 0; i < job->nsteps; i++) {
		ends[i] = 0;
		for (j = 0; j < i; j++)
			if (job->steps[i].after >> j & 1)
				ends[i] = fmax(ends[i], ends[j]);
		ends[i] += length(&job->steps[i]);
		longest = fmax(longest, ends[i]);
	}
	return longest;
}

static double work_of(const struct sched_step *step)
{
	return step->work;
}

static double work_left(const struct sched_step *step)
{
	return step->left ? step->work + OVERHEAD_MS : 0;
}

double sched_job_chain(const struct sched_job *job)
{
	return longest_way(job, work_left);
}

void sched_job_place(struct sched_job *job)
{
	double objective =
		job->stretch * longest_way(job, work_of) + (double)job->extra;
	rp_ms late = job->arrived + (rp_ms)(LATE_FACTOR * objective);

	job->objective = job->arrived + (rp_ms)objective;
	job->on_time = job->objective;
	if (job->on_time > job->deadline)
		job->on_time = job->deadline;
	job->useful_until =
		late < job->deadline && !job->stored ? late : job->deadline;
	job->latest_start = job->on_time - (rp_ms)sched_job_chain(job);
	job->key = job->s->order->key(job);
	if (job->answered)
		return;
	queue_unlink(job);
	queue_insert(job);
}

static void take_step(struct sched_job *job, size_t i, const PoolStep *from)
{
	struct sched_step *step = &job->steps[i];

	step->need.cpu = from->cpu;
	step->need.memory = from->memory;
	step->need.accelerators = from->accelerators;
	step->after = from->after;
	step->first = (uint32_t)job->ntasks;
	step->ntasks = step->left = from->tasks;
	step->spread = from->spread;
	snprintf(step->label, sizeof(step->label), "%s", from->label);
	snprintf(step->rack, sizeof(step->rack), "%s", from->rack);
	step->work = from->estimate_ms ? from->estimate_ms : 1;
	job->ntasks += from->tasks;
}

static void name_tasks(struct sched_job *job)
{
	size_t i, j;

	for (i = 0; i < job->nsteps; i++)
		for (j = 0; j < job->steps[i].ntasks; j++) {
			struct sched_task *task =
				&job->tasks[job->steps[i].first + j];

			task->job = job;
			task->step = (uint32_t)i;
			snprintf(task->name, sizeof(task->name), "%s.0.%u.%u",
				 job->id, (unsigned)i, (unsigned)j);
		}
}

void sched_job_mark_done(struct sched_job *job, size_t i)
{
	struct sched_task *task;

	if (i >= job->ntasks || job->tasks[i].state == SCHED_DONE)
		return;
	task = &job->tasks[i];
	task->state = SCHED_DONE;
	job->steps[task->step].left--;
	job->ndone++;
	job->nwaiting--;
}

/* Tasks that a former scheduler saw end well. */
static void mark_done(struct sched_job *job, const PoolSubmit *sub)
{
	size_t i;

	for (i = 0; i < sub->n_done; i++)
		sched_job_mark_done(job, sub->done[i]);
}

static void copy_specification(struct sched_job *job, const PoolSubmit *sub)
{
	char *copy = malloc(sub->specification.len + 1);

	memcpy(copy, sub->specification.data, sub->specification.len);
	job->specification.ptr = copy;
	job->specification.len = sub->specification.len;
}

static void mark_failed(struct sched_job *job, const PoolSubmit *sub)
{
	size_t i;

	for (i = 0; i < sub->n_failed; i++)
		if (sub->failed[i] < job->ntasks)
			job->tasks[sub->failed[i]].failures++;
}

struct sched_job *sched_open_job(struct sched *s, struct rp_str id)
{
	return apr_hash_get(s->open, id.ptr, (apr_ssize_t)id.len);
}

static void close_job(const struct sched_job *job)
{
	struct rp_str id = str_of(job->id);

	if (sched_open_job(job->s, id) == job)
		apr_hash_set(job->s->open, id.ptr, (apr_ssize_t)id.len, NULL);
}

static void open_job(struct sched_job *job)
{
	struct rp_str id = str_of(job->id);

	/* The table keeps the key that it was first given: the other job's. */
	apr_hash_set(job->s->open, id.ptr, (apr_ssize_t)id.len, NULL);
	apr_hash_set(job->s->open, id.ptr, (apr_ssize_t)id.len, job);
}

struct sched_job *sched_job_new(struct sched *s, void *owner,
				const PoolSubmit *sub, rp_ms now)
{
	struct sched_job *job = calloc(1, sizeof(*job));
	size_t i;

	job->s = s;
	job->owner = owner;
	job->seq = sub->seq;
	snprintf(job->id, sizeof(job->id), "%s", sub->id);
	job->service = sched_service_of(s, sub->service);
	copy_specification(job, sub);
	job->priority = sub->priority;
	job->max_attempts = sub->max_attempts ? sub->max_attempts : 1;
	job->stretch = sub->stretch;
	job->extra = sub->objective_ms;
	job->former = sub->former;
	job->stored = sub->stored;
	job->arrived = now - sub->age_ms;
	job->submitted = now;
	job->deadline = now + (sub->stored ? NO_DEADLINE : sub->left_ms);
	job->nsteps = sub->n_steps;
	job->steps = calloc(job->nsteps, sizeof(*job->steps));
	for (i = 0; i < job->nsteps; i++)
		take_step(job, i, sub->steps[i]);
	job->nwaiting = job->ntasks;
	job->tasks = calloc(job->ntasks, sizeof(*job->tasks));
	name_tasks(job);
	mark_done(job, sub);
	mark_failed(job, sub);
	job->queue = sched_queue_of(s, sub->queue, job->steps[0].work);
	job->queue->waiting++;
	sched_learn_job(job);
	queue_insert(job);
	open_job(job);
	s->njobs++;
	sched_job_place(job);
	return job;
}

void sched_job_free(struct sched_job *job)
{
	free((void *)job->specification.ptr);
	free(job->steps);
	free(job->tasks);
	free(job);
}

void sched_job_started(struct sched_job *job)
{
	if (job->first_start)
		return;
	job->first_start = job->s->now;
	job->queue->waiting--;
}

void sched_job_reap(struct sched_job *job)
{
	if (!job->answered || job->nplaced)
		return;
	queue_unlink(job);
	sched_job_free(job);
}

static void count_outcome(struct sched *s, PoolAnswer__Outcome outcome)
{
	switch (outcome) {
	case POOL_ANSWER__OUTCOME__COMPLETED:
		s->count.completed++;
		break;
	case POOL_ANSWER__OUTCOME__REJECTED:
		s->count.rejected++;
		break;
	default:
		s->count.failed++;
	}
}

uint64_t sched_job_answer(struct sched_job *job, PoolAnswer__Outcome outcome,
			  const char *reason, rp_ms retry_after)
{
	struct sched *s = job->s;
	PoolAnswer answer = POOL_ANSWER__INIT;
	uint64_t mark;
	size_t i;

	answer.seq = job->seq;
	answer.outcome = outcome;
	answer.reason = (char *)reason;
	answer.retry_after_ms = (uint32_t)retry_after;
	count_outcome(s, outcome);
	if (!job->first_start)
		job->queue->waiting--;
	sched_past_keep(job);
	queue_unlink(job);
	close_job(job);
	job->answered = 1;
	job->next = s->closed;
	if (job->next)
		job->next->prev = job;
	s->closed = job;
	s->njobs--;
	mark = s->ops->answer(s, job, &answer);
	job->owner = NULL;
	for (i = 0; i < job->ntasks; i++)
		if (job->tasks[i].target)
			sched_run_stop(&job->tasks[i]);
	sched_job_reap(job);
	return mark;
}
