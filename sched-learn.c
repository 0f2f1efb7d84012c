/*
 * Run times learned from progress and from ends.
 *
 * A run takes exp(work of its job + slowness of its target) ms, as sizes of
 * jobs and speeds of targets differ by factors. Both are estimated together,
 * each with its variance: of an observation's error, the one that is less
 * well known takes the larger part.
 */

#include "scheduler.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Variances of logarithms. */
#define GUESS_VAR 0.16	   /* of a caller's guess, of jobs around their mean */
#define TARGET_VAR 0.25	   /* of targets of which nothing is known */
#define TARGET_LEAST 0.008 /* of a target however long it was watched */
#define OUTLIER 16.0	   /* squared deviations that show a changed target */

#define QUEUE_GAIN 0.03	 /* least weight of one job in its queue's means */
#define DECAY 0.15	 /* share of the way back to the base, each step */
#define UNSEEN_MS 1500	 /* an estimate older than this decays */
#define FAIL_GAIN 0.15	 /* weight of one end in the share of failures */
#define FAIL_DECAY 0.1	 /* share of it that is forgotten, each step */
#define LOOK_AFTER_MS 30 /* earlier, progress says too little */
#define LOOK_PERCENT 20	 /* likewise; less only of a run that is behind */
#define BEHIND 2.0	 /* times the predicted run time */
#define MOST_LOG 4.0	 /* no target is taken for slower than e^4 */

struct sched_queue *sched_queue_of(struct sched *s, const char *name,
				   double estimate)
{
	struct sched_queue *q =
		apr_hash_get(s->queues, name, APR_HASH_KEY_STRING);

	if (q)
		return q;
	q = apr_pcalloc(s->pool, sizeof(*q));
	snprintf(q->name, sizeof(q->name), "%s", name);
	q->log_work = log(estimate);
	apr_hash_set(s->queues, q->name, APR_HASH_KEY_STRING, q);
	return q;
}

/* Mean log of the predicted work of the job's steps. */
static double mean_work(const struct sched_job *job)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < job->nsteps; i++)
		sum += log(job->steps[i].work);
	return sum / (double)job->nsteps;
}

static void scale_work(struct sched_job *job, double log_factor)
{
	size_t i;

	for (i = 0; i < job->nsteps; i++)
		job->steps[i].work *= exp(log_factor);
}

/*
 * The guess is off by a factor that differs from job to job, the queue's
 * mean by the spread of the jobs: the two together are nearer than either.
 */
void sched_learn_job(struct sched_job *job)
{
	const struct sched_queue *q = job->queue;

	job->log_guess = mean_work(job);
	job->work_var = GUESS_VAR;
	if (!q->jobs)
		return;
	scale_work(job, (job->log_guess + q->log_bias + q->log_work) / 2 -
				job->log_guess);
	job->work_var = GUESS_VAR / 2;
}

/* A job is over, of which at least one run was seen to its end. */
static void learn_queue(struct sched_job *job)
{
	struct sched_queue *q = job->queue;
	double work = mean_work(job);
	double gain;

	q->jobs++;
	gain = 1.0 / (double)q->jobs;
	if (gain < QUEUE_GAIN)
		gain = QUEUE_GAIN;
	q->log_work += gain * (work - q->log_work);
	q->log_bias += gain * (work - job->log_guess - q->log_bias);
}

static void set_slow(struct sched_target *t, double log_slow)
{
	if (fabs(log_slow) > MOST_LOG)
		log_slow = copysign(MOST_LOG, log_slow);
	t->log_slow = log_slow;
	t->slow = exp(log_slow);
}

/* What the whole run would take, seen once for each run. */
static void observe(struct sched_task *task, double whole)
{
	struct sched_target *t = task->target;
	struct sched_job *job = task->job;
	struct sched_step *step = &job->steps[task->step];
	double error = log(whole / sched_run_time(t, step));
	double var = job->work_var + t->slow_var + SCHED_TASK_VAR;
	double gain;

	task->observed = 1;
	if (error * error > OUTLIER * var) {
		t->slow_var += error * error;
		var += error * error;
	} else {
		t->log_base = t->log_slow;
	}
	gain = t->slow_var / var;
	set_slow(t, t->log_slow + gain * error);
	t->slow_var *= 1 - gain;
	if (t->slow_var < TARGET_LEAST)
		t->slow_var = TARGET_LEAST;
	t->slow_at = t->s->now;
	gain = job->work_var / var;
	scale_work(job, gain * error);
	job->work_var *= 1 - gain;
	if (!job->answered)
		sched_job_place(job);
}

void sched_learn_end(struct sched_task *task, double took, int failed)
{
	struct sched_target *t = task->target;

	t->failing += FAIL_GAIN * ((failed ? 1.0 : 0.0) - t->failing);
	if (failed || took < 1)
		return;
	if (!task->observed)
		observe(task, took);
	if (task->job->ndone + 1 == task->job->ntasks)
		learn_queue(task->job);
}

void sched_learn_progress(struct sched_task *task, int percent)
{
	struct sched_target *t = task->target;
	double took = (double)(t->s->now - task->sent_at);
	double whole = took * 100.0 / (percent > 1 ? percent : 1);

	task->percent = percent;
	task->looked_at = t->s->now;
	if (task->observed || took < LOOK_AFTER_MS || percent >= 100)
		return;
	if (percent < LOOK_PERCENT && took < BEHIND * task->expected)
		return;
	observe(task, whole);
}

void sched_learn_behind(struct sched_task *task, double whole)
{
	if (!task->observed)
		observe(task, whole);
}

/*
 * Work and slowness are known only together: speed 1 is the geometric mean
 * of all targets, or the two would drift apart.
 */
static void normalise(struct sched *s)
{
	double mean = 0;
	apr_hash_index_t *h;
	void *value;
	size_t i;

	if (!s->ntargets)
		return;
	for (i = 0; i < s->ntargets; i++)
		mean += s->targets[i]->log_base;
	mean /= (double)s->ntargets;
	for (i = 0; i < s->ntargets; i++) {
		s->targets[i]->log_base -= mean;
		set_slow(s->targets[i], s->targets[i]->log_slow - mean);
	}
	for (h = apr_hash_first(NULL, s->queues); h; h = apr_hash_next(h)) {
		struct sched_queue *q;

		apr_hash_this(h, NULL, NULL, &value);
		q = value;
		q->log_work += mean;
		q->log_bias += mean;
	}
}

void sched_learn_target(struct sched_target *t)
{
	set_slow(t, t->log_slow);
	t->slow_var = TARGET_VAR;
	t->slow_at = t->s->now;
}

/* Slowness and failures pass; a target must not be shunned for good. */
void sched_learn_decay(struct sched *s)
{
	size_t i;

	for (i = 0; i < s->ntargets; i++) {
		struct sched_target *t = s->targets[i];

		if (s->now - t->slow_at > UNSEEN_MS)
			set_slow(t, t->log_slow + DECAY * (t->log_base -
							   t->log_slow));
		if (!t->nruns)
			t->failing *= 1 - FAIL_DECAY;
	}
	normalise(s);
}
