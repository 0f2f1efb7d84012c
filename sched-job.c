/* Jobs from submission to answer, and their position in the queue. */

#include "sched-int.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* An answer later than this many times the objective is of no use. */
#define LATE_FACTOR 3
/* Deadline of stored jobs, ms from now. */
#define NO_DEADLINE (1000LL * 86400 * 365)
/* Weight of one job in the mean size of its queue. */
#define MEAN_SIZE_GAIN 0.02

/* Removes the job from s->jobs or s->closed. */
static void unlink_job(struct sched_job *job)
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

/* Inserts the job into s->jobs behind jobs with the same sort key. */
static void insert_job(struct sched_job *job)
{
	struct sched_job *at = job->s->jobs, *prev = NULL;

	while (at && at->sort_key <= job->sort_key) {
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
	uint64_t depends_on = job->steps[step].depends_on;
	size_t i;

	for (i = 0; depends_on && i < job->nsteps; i++, depends_on >>= 1)
		if ((depends_on & 1) && job->steps[i].nleft)
			return 0;
	return 1;
}

double sched_job_longest_path(const struct sched_job *job,
			      const double *lengths)
{
	double ends[SCHED_STEPS_MAX], longest = 0;
	size_t i, j;

	for (i = 0; i < job->nsteps; i++) {
		ends[i] = 0;
		for (j = 0; j < i; j++)
			if (job->steps[i].depends_on >> j & 1)
				ends[i] = fmax(ends[i], ends[j]);
		ends[i] += lengths[i];
		longest = fmax(longest, ends[i]);
	}
	return longest;
}

double sched_job_critical_path(const struct sched_job *job)
{
	double lengths[SCHED_STEPS_MAX];
	size_t i;

	for (i = 0; i < job->nsteps; i++)
		lengths[i] =
			job->steps[i].nleft
				? job->steps[i].work + sched_overhead(job->s)
				: 0;
	return sched_job_longest_path(job, lengths);
}

struct sched_times sched_job_times(const struct sched_job *job,
				   const struct sched_task *task, double work)
{
	double lengths[SCHED_STEPS_MAX], objective;
	struct sched_times times;
	size_t i;

	for (i = 0; i < job->nsteps; i++)
		lengths[i] = job->steps[i].work;
	if (task)
		lengths[task->step] = fmax(lengths[task->step], work);
	objective = job->stretch * sched_job_longest_path(job, lengths) +
		    (double)job->objective_offset;
	times.objective_at = job->arrived_at + (rp_ms)objective;
	times.due_at = times.objective_at;
	if (times.due_at > job->deadline)
		times.due_at = job->deadline;
	times.expires_at = job->arrived_at + (rp_ms)(LATE_FACTOR * objective);
	if (times.expires_at > job->deadline || job->stored)
		times.expires_at = job->deadline;
	return times;
}

void sched_job_reorder(struct sched_job *job)
{
	struct sched_times times = sched_job_times(job, NULL, 0);
	double path = sched_job_critical_path(job);

	job->objective_at = times.objective_at;
	job->due_at = times.due_at;
	job->expires_at = times.expires_at;
	job->slack_until = job->due_at - (rp_ms)path;
	job->latest_start =
		job->due_at -
		(rp_ms)(path * sched_service_totals(job->s, job->service)
				       ->fast_slowdown);
	job->sort_key = job->s->order->sort_key(job);
	if (job->answered)
		return;
	unlink_job(job);
	insert_job(job);
}

static void init_step(struct sched_job *job, size_t i, const PoolStep *msg)
{
	struct sched_step *step = &job->steps[i];

	step->need.cpu = msg->cpu;
	step->need.memory = msg->memory;
	step->need.accelerators = msg->accelerators;
	step->depends_on = msg->after;
	step->first_task = (uint32_t)job->ntasks;
	step->ntasks = step->nleft = msg->tasks;
	step->spread = msg->spread;
	snprintf(step->label, sizeof(step->label), "%s", msg->label);
	snprintf(step->rack, sizeof(step->rack), "%s", msg->rack);
	step->work = msg->estimate_ms ? msg->estimate_ms : 1;
	job->ntasks += msg->tasks;
}

void sched_task_name(char *name, const char *id, uint32_t step, uint32_t index)
{
	snprintf(name, SCHED_TASK_NAME_MAX, "%s.0.%u.%u", id, (unsigned)step,
		 (unsigned)index);
}

int sched_task_position(const PoolSubmit *sub, uint32_t i, uint32_t *step,
			uint32_t *index)
{
	for (*step = 0; *step < sub->n_steps; ++*step) {
		uint32_t ntasks = sub->steps[*step]->tasks;

		if (i < ntasks) {
			*index = i;
			return 1;
		}
		i -= ntasks;
	}
	return 0;
}

/* Sets the job, step and name of each task. */
static void init_tasks(struct sched_job *job)
{
	size_t i, j;

	for (i = 0; i < job->nsteps; i++)
		for (j = 0; j < job->steps[i].ntasks; j++) {
			struct sched_task *task =
				&job->tasks[job->steps[i].first_task + j];

			task->job = job;
			task->step = (uint32_t)i;
			sched_task_name(task->name, job->id, (uint32_t)i,
					(uint32_t)j);
		}
}

void sched_job_mark_done(struct sched_job *job, size_t i)
{
	struct sched_task *task;

	if (i >= job->ntasks || job->tasks[i].state == SCHED_DONE)
		return;
	task = &job->tasks[i];
	task->state = SCHED_DONE;
	job->steps[task->step].nleft--;
	job->ndone++;
	job->nwaiting--;
}

/* Marks the tasks that succeeded under an earlier scheduler. */
static void mark_done(struct sched_job *job, const PoolSubmit *sub)
{
	size_t i;

	for (i = 0; i < sub->n_done; i++)
		sched_job_mark_done(job, sub->done[i]);
}

/* Upper bounds of the size buckets, in quarters of the mean size. */
const unsigned sched_size_bounds[SCHED_SIZE_BUCKETS - 1] = { 2, 4, 6, 8 };

/* Sets the job's size bucket by its predicted work. */
static void set_size_bucket(struct sched_job *job)
{
	struct sched_queue *q = job->queue;
	double size = 0;
	size_t i;

	for (i = 0; i < job->nsteps; i++)
		size += (double)job->steps[i].ntasks *
			(double)job->steps[i].need.cpu * job->steps[i].work;
	if (q->mean_size > 0)
		q->mean_size += MEAN_SIZE_GAIN * (size - q->mean_size);
	else
		q->mean_size = size;
	while (job->size_bucket < SCHED_SIZE_BUCKETS - 1 &&
	       4 * size > sched_size_bounds[job->size_bucket] * q->mean_size)
		job->size_bucket++;
}

static void copy_specification(struct sched_job *job, const PoolSubmit *sub)
{
	char *copy = malloc(sub->specification.len + 1);

	if (sub->specification.len)
		memcpy(copy, sub->specification.data, sub->specification.len);
	job->specification.ptr = copy;
	job->specification.len = sub->specification.len;
	job->owner_starts = sub->specification_hash != 0;
	job->specification_hash = sub->specification_hash
					  ? sub->specification_hash
					  : str_hash(job->specification);
}

/* Counts the failures of tasks under an earlier scheduler. */
static void count_failures(struct sched_job *job, const PoolSubmit *sub)
{
	size_t i;

	for (i = 0; i < sub->n_failed; i++)
		if (sub->failed[i] < job->ntasks)
			sched_task_add_failure(&job->tasks[sub->failed[i]],
					       i < sub->n_failed_runs
						       ? sub->failed_runs[i]
						       : 0);
}

struct sched_job *sched_find_open_job(struct sched *s, struct rp_str id)
{
	return apr_hash_get(s->open_jobs, id.ptr, (apr_ssize_t)id.len);
}

static void remove_open_job(const struct sched_job *job)
{
	struct rp_str id = str_of(job->id);

	if (sched_find_open_job(job->s, id) == job)
		apr_hash_set(job->s->open_jobs, id.ptr, (apr_ssize_t)id.len,
			     NULL);
}

static void add_open_job(struct sched_job *job)
{
	struct rp_str id = str_of(job->id);

	/*
	 * An entry keeps the key that it was created with. It is removed first,
	 * as that key points into the earlier job of the id.
	 */
	apr_hash_set(job->s->open_jobs, id.ptr, (apr_ssize_t)id.len, NULL);
	apr_hash_set(job->s->open_jobs, id.ptr, (apr_ssize_t)id.len, job);
}

int sched_submit_is_valid(const PoolSubmit *sub)
{
	uint64_t ntasks = 0;
	size_t i;

	if (!sub->id[0] || strlen(sub->id) >= SCHED_ID_MAX ||
	    strlen(sub->queue) >= SCHED_QUEUE_NAME_MAX ||
	    strlen(sub->service) >= RP_NAME_MAX ||
	    !(fabs(sub->stretch) <= SCHED_STRETCH_MAX) || !sub->n_steps ||
	    sub->n_steps > SCHED_STEPS_MAX)
		return 0;
	if (sub->n_domains > SCHED_DOMAINS_MAX)
		return 0;
	for (i = 0; i < sub->n_domains; i++)
		if (strlen(sub->domains[i]) >= RP_NAME_MAX)
			return 0;
	for (i = 0; i < sub->n_steps; i++) {
		if (!sub->steps[i]->tasks)
			return 0;
		ntasks += sub->steps[i]->tasks;
	}
	return ntasks <= SCHED_TASKS_MAX;
}

size_t sched_submit_memory(const PoolSubmit *sub)
{
	size_t i, ntasks = 0;

	for (i = 0; i < sub->n_steps; i++)
		ntasks += sub->steps[i]->tasks;
	return sizeof(struct sched_job) + sizeof(struct sched_history) +
	       sub->n_steps * sizeof(struct sched_step) +
	       ntasks * (sizeof(struct sched_task) + 1) +
	       sub->specification.len;
}

static enum rp_hold hold_of(int stored)
{
	return stored ? RP_HOLD_STORED : RP_HOLD_JOBS;
}

struct sched_job *sched_job_new(struct sched *s, void *owner,
				const PoolSubmit *sub, rp_ms now)
{
	struct sched_job *job = calloc(1, sizeof(*job));
	size_t i;

	job->s = s;
	job->held = sched_submit_memory(sub);
	budget_add(s->budget, hold_of(sub->stored), job->held);
	job->owner = owner;
	job->seq = sub->seq;
	snprintf(job->id, sizeof(job->id), "%s", sub->id);
	job->service = sched_get_service(s, sub->service);
	copy_specification(job, sub);
	job->priority = sub->priority;
	job->max_attempts = sub->max_attempts ? sub->max_attempts : 1;
	job->stretch = sub->stretch;
	job->objective_offset = sub->objective_ms;
	job->prev_fence = sub->former;
	job->first_fence = job->submit_fence = s->fence;
	job->stored = sub->stored;
	job->arrived_at = now - sub->age_ms;
	job->received_at = job->arrived_at;
	job->submitted_at = job->delayed_since = now;
	job->deadline = now + (sub->stored ? NO_DEADLINE : sub->left_ms);
	job->nsteps = sub->n_steps;
	job->steps = calloc(job->nsteps, sizeof(*job->steps));
	for (i = 0; i < job->nsteps; i++)
		init_step(job, i, sub->steps[i]);
	job->nwaiting = job->ntasks;
	job->tasks = calloc(job->ntasks, sizeof(*job->tasks));
	init_tasks(job);
	mark_done(job, sub);
	count_failures(job, sub);
	sched_losses_restore(job, sub->losses, sub->n_losses);
	sched_domains_restore(job, sub);
	job->presumes_domains = sub->presumes_domains && !sub->stored;
	job->queue = sched_get_queue(s, sub->queue, job->steps[0].work);
	job->queue->service = job->service;
	job->queue->nwaiting++;
	if (!job->stored)
		job->arrived_at -= sched_wait_elapsed(
			job->queue, (rp_ms)sub->age_ms + sub->left_ms);
	sched_predict_job(job);
	set_size_bucket(job);
	sched_fit_add(job);
	insert_job(job);
	add_open_job(job);
	s->njobs++;
	sched_job_reorder(job);
	return job;
}

void sched_job_free(struct sched_job *job)
{
	size_t i;

	budget_release(job->s->budget, hold_of(job->stored), job->held);
	sched_losses_free(job);
	sched_domains_free(job);
	for (i = 0; i < job->ntasks; i++)
		free(job->tasks[i].failed_runs);
	free((void *)job->specification.ptr);
	free(job->steps);
	free(job->tasks);
	free(job);
}

int sched_job_is_untouched(const struct sched_job *job)
{
	return !job->first_started_at && !job->started_earlier &&
	       !job->prev_fence;
}

void sched_job_started(struct sched_job *job)
{
	if (job->first_started_at)
		return;
	job->first_started_at = job->s->now;
	job->queue->nwaiting--;
}

rp_ms sched_job_needed_until(const struct sched_job *job)
{
	return job->stored ? 0 : job->deadline;
}

void sched_job_reap(struct sched_job *job)
{
	if (!job->answered || job->nplaced)
		return;
	unlink_job(job);
	sched_job_free(job);
}

static void count_outcome(struct sched_job *job, PoolAnswer__Outcome outcome)
{
	struct sched *s = job->s;

	sched_share_answered(job->queue,
			     outcome == POOL_ANSWER__OUTCOME__COMPLETED);
	job->queue->answered[job->size_bucket]++;
	if (outcome != POOL_ANSWER__OUTCOME__COMPLETED &&
	    sched_job_is_too_long(job))
		job->queue->too_long[job->size_bucket]++;
	switch (outcome) {
	case POOL_ANSWER__OUTCOME__COMPLETED:
		s->count.completed++;
		job->queue->completed[job->size_bucket]++;
		break;
	case POOL_ANSWER__OUTCOME__REJECTED:
		s->count.rejected++;
		break;
	case POOL_ANSWER__OUTCOME__CANCELLED:
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

	/* A rejection says that no task of the job has run. */
	if (outcome == POOL_ANSWER__OUTCOME__REJECTED && job->started_earlier)
		outcome = POOL_ANSWER__OUTCOME__INCOMPLETE;
	answer.seq = job->seq;
	answer.outcome = outcome;
	answer.reason = (char *)reason;
	answer.retry_after_ms = (uint32_t)retry_after;
	count_outcome(job, outcome);
	sched_delay_count(job);
	if (!job->first_started_at)
		job->queue->nwaiting--;
	sched_history_add(job);
	unlink_job(job);
	remove_open_job(job);
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

void sched_owner_silent(struct sched *s, const void *owner, int silent,
			rp_ms now)
{
	struct sched_job *job;

	s->now = now;
	for (job = s->jobs; job; job = job->next)
		if (job->owner == owner)
			job->owner_silent = silent;
}

void sched_owner_returned(struct sched *s, const void *owner, rp_ms now)
{
	struct sched_job *job;

	s->now = now;
	for (job = s->jobs; job; job = job->next)
		if (job->owner == owner && !job->stored)
			job->awaits_submission = 1;
}
