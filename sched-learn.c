/*
 * Prediction of run times, learned from the progress and the ends of runs.
 *
 * A run takes exp(log work of its step + log slowdown of its target) ms: work
 * and speed differ by factors, so errors are taken as normal in the logarithm.
 * Each of the two estimates has a variance. An observed error is divided
 * between them in proportion to their variances, as in a Kalman filter.
 */

#include "sched-int.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Variance of log(estimate), and of a queue's jobs around their mean. */
#define ESTIMATE_VAR 0.16
/* Variance of the log slowdown of an unknown target. */
#define TARGET_VAR 0.25
/* Least variance that observations of a target can reach. */
#define TARGET_VAR_MIN 0.008
/* Squared error over variance from which a target's speed has changed. */
#define OUTLIER_RATIO 16.0

/* Run time up to which the cause of an outlier may stay unknown. */
#define UNKNOWN_MS 400

/* Least weight of one job in a mean. */
#define MEAN_GAIN_MIN 0.03
/* Part of the way to the bias of all queues, for each job of a queue. */
#define BIAS_SHRINK 0.1
/* Part of the way back to the base in each step of the decay. */
#define SLOWDOWN_DECAY 0.15
/* Age from which the estimate of a target decays. */
#define DECAY_AFTER_MS 1500
/* Weight of one end in the failure rate. */
#define FAILURE_GAIN 0.15
/* Part of an idle target's failure rate that each step of the decay drops. */
#define FAILURE_DECAY 0.1
/* Run time and progress below which progress predicts no run time. */
#define PROGRESS_MIN_MS 30
#define PROGRESS_MIN_PERCENT 8
/*
 * Multiple of the predicted run time from which progress below
 * PROGRESS_MIN_PERCENT is used as well.
 */
#define OVERRUN_FACTOR 2.0
/* Weight of one call in the mean delay. */
#define CALL_DELAY_GAIN 0.05
/* Least share of the time from a start to its end that was on the target. */
#define RUN_SHARE_MIN 0.2
/* Least overhead of one step: calls, the delay of lists, and the answer. */
#define OVERHEAD_MIN_MS 6.0
/* Bound of the log slowdown: e^4 is a factor of 55. */
#define LOG_SLOWDOWN_MAX 4.0

void sched_learn_call_delay(struct sched *s, rp_ms ms)
{
	s->call_delay += CALL_DELAY_GAIN * ((double)ms - s->call_delay);
}

double sched_run_delay(const struct sched_task *task)
{
	if (task->state == SCHED_RUNNING && task->replied_at > task->sent_at)
		return (double)(task->replied_at - task->sent_at);
	return task->job->s->call_delay;
}

double sched_overhead(const struct sched *s)
{
	/* The answer takes about half as long as a call and its reply. */
	return fmax(OVERHEAD_MIN_MS, 1.5 * s->call_delay);
}

struct sched_queue *sched_get_queue(struct sched *s, const char *name,
				    double estimate)
{
	struct sched_queue *q =
		apr_hash_get(s->queues, name, APR_HASH_KEY_STRING);

	if (q)
		return q;
	q = apr_pcalloc(s->pool, sizeof(*q));
	snprintf(q->name, sizeof(q->name), "%s", name);
	q->log_estimate = log(estimate);
	q->served = 1;
	apr_hash_set(s->queues, q->name, APR_HASH_KEY_STRING, q);
	return q;
}

/* Mean log of the predicted work of the job's steps, in ms. */
static double mean_log_work(const struct sched_job *job)
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

/* Moves the mean of n values, of which this is the last, towards it. */
static void add_to_mean(double *mean, double value, uint64_t n)
{
	*mean += fmax(1.0 / (double)n, MEAN_GAIN_MIN) * (value - *mean);
}

/*
 * Averages the caller's estimate and the mean of its queue, and corrects both
 * by the mean error of estimates. The errors of the two are independent, so the
 * average is better than either.
 */
void sched_predict_job(struct sched_job *job)
{
	struct sched_queue *q = job->queue;

	job->log_estimate = mean_log_work(job);
	job->work_var = ESTIMATE_VAR;
	add_to_mean(&q->log_estimate, job->log_estimate, ++q->njobs);
	if (!q->nlearned)
		return;
	scale_work(job,
		   (q->log_estimate - job->log_estimate) / 2 + q->log_bias);
	job->work_var = ESTIMATE_VAR / 2;
}

/*
 * Updates the means when the last task of a job has succeeded. A queue's error
 * is kept near that of all queues: long jobs run on fast targets only, so that
 * their work and the speed of these targets are observed as a product, and
 * nothing else keeps the two from drifting apart.
 */
static void learn_queue(struct sched_job *job)
{
	struct sched_queue *q = job->queue;
	struct sched *s = job->s;
	double error = mean_log_work(job) - job->log_estimate;

	add_to_mean(&s->log_bias, error, ++s->nlearned);
	add_to_mean(&q->log_bias, error, ++q->nlearned);
	q->log_bias += BIAS_SHRINK * (s->log_bias - q->log_bias);
}

static void set_slowdown(struct sched_target *t, double log_slowdown)
{
	if (fabs(log_slowdown) > LOG_SLOWDOWN_MAX)
		log_slowdown = copysign(LOG_SLOWDOWN_MAX, log_slowdown);
	t->log_slowdown = log_slowdown;
	t->slowdown = exp(log_slowdown);
}

/*
 * Corrects the target's slowdown and the job's work by a run that takes
 * total_ms as a whole, known up to measurement_var in the log. Called at most
 * once for each run.
 */
static void observe(struct sched_task *task, double total_ms,
		    double measurement_var)
{
	struct sched_target *t = task->target;
	struct sched_job *job = task->job;
	struct sched_step *step = &job->steps[task->step];
	double error = log(total_ms / sched_run_time(t, step));
	double var = job->work_var + t->slowdown_var + SCHED_TASK_VAR +
		     measurement_var;
	int sudden = error * error > OUTLIER_RATIO * var;
	enum sched_outlier cause = SCHED_OUTLIER_TARGET;
	double gain;

	if (sudden && error > 0)
		cause = sched_outlier_cause(
			task, error, t->s->now - task->sent_at < UNKNOWN_MS);
	if (cause == SCHED_OUTLIER_UNKNOWN)
		return;
	task->observed = 1;
	if (sudden) {
		if (cause == SCHED_OUTLIER_JOB)
			job->work_var += error * error;
		else
			t->slowdown_var += error * error;
		var += error * error;
	}
	gain = t->slowdown_var / var;
	set_slowdown(t, t->log_slowdown + gain * error);
	if (!sudden)
		t->log_slowdown_base = t->log_slowdown;
	t->slowdown_var *= 1 - gain;
	if (t->slowdown_var < TARGET_VAR_MIN)
		t->slowdown_var = TARGET_VAR_MIN;
	t->slowdown_at = t->s->now;
	gain = job->work_var / var;
	scale_work(job, gain * error);
	job->work_var *= 1 - gain;
	if (!job->answered)
		sched_job_reorder(job);
}

double sched_learn_share_of_job(const struct sched_task *task, double error,
				double measurement_var)
{
	double of_job = task->job->work_var + SCHED_TASK_VAR;
	double var = of_job + task->target->slowdown_var + measurement_var;

	if (error <= 0 || error * error <= OUTLIER_RATIO * var)
		return of_job / var;
	return sched_outlier_presumed(task, error) == SCHED_OUTLIER_JOB;
}

/* Time on the target, of a span from the start, ms. */
static double time_on_target(const struct sched_task *task, double span)
{
	return fmax(span - sched_run_delay(task), RUN_SHARE_MIN * span);
}

/* Variance of log(run time) by the variation of the delay of calls. */
static double delay_var(const struct sched *s, double run_ms)
{
	double error = s->call_delay / 2 / run_ms;

	return error * error;
}

void sched_learn_end(struct sched_task *task, double span, int failed)
{
	struct sched_target *t = task->target;
	double run_ms = time_on_target(task, span);

	t->failure_rate +=
		FAILURE_GAIN * ((failed ? 1.0 : 0.0) - t->failure_rate);
	if (failed || run_ms < 1)
		return;
	sched_shown_add(task, run_ms, 100);
	if (!task->observed)
		observe(task, run_ms, delay_var(t->s, run_ms));
	if (task->job->ndone + 1 == task->job->ntasks)
		learn_queue(task->job);
}

/* Variance of log(percent), as targets report whole percents. */
static double percent_var(int percent)
{
	double p = percent > 1 ? percent : 1;

	return 1 / (p * p);
}

void sched_learn_progress(struct sched_task *task, int percent)
{
	struct sched_target *t = task->target;
	double run_ms =
		time_on_target(task, (double)(t->s->now - task->sent_at));
	double total_ms = run_ms * 100.0 / (percent > 1 ? percent : 1);

	if (percent > task->percent)
		task->percent_at = t->s->now;
	if (task->adopted && !task->progress_at)
		task->began_at = sched_run_likely_begin(task, percent);
	task->percent = percent;
	task->progress_at = t->s->now;
	sched_shown_add(task, run_ms, percent);
	if (task->observed || run_ms < PROGRESS_MIN_MS || percent >= 100)
		return;
	if (percent < PROGRESS_MIN_PERCENT &&
	    run_ms < OVERRUN_FACTOR * task->predicted)
		return;
	observe(task, total_ms, percent_var(percent) + delay_var(t->s, run_ms));
}

void sched_learn_overrun(struct sched_task *task, double total_ms)
{
	if (!task->observed)
		observe(task, total_ms, percent_var(task->percent));
}

/*
 * Only the product of work and slowdown is observed, so the two could drift in
 * opposite directions. This defines speed 1 as the geometric mean of all
 * targets.
 */
static void normalize_speeds(struct sched *s)
{
	double mean = 0;
	apr_hash_index_t *h;
	void *value;
	size_t i;

	if (!s->ntargets)
		return;
	for (i = 0; i < s->ntargets; i++)
		mean += s->targets[i]->log_slowdown_base;
	mean /= (double)s->ntargets;
	for (i = 0; i < s->ntargets; i++) {
		s->targets[i]->log_slowdown_base -= mean;
		set_slowdown(s->targets[i], s->targets[i]->log_slowdown - mean);
	}
	s->log_bias += mean;
	for (h = apr_hash_first(NULL, s->queues); h; h = apr_hash_next(h)) {
		struct sched_queue *q;

		apr_hash_this(h, NULL, NULL, &value);
		q = value;
		q->log_bias += mean;
	}
}

void sched_reset_slowdown(struct sched_target *t)
{
	set_slowdown(t, t->log_slowdown);
	t->slowdown_var = TARGET_VAR;
	t->slowdown_at = t->s->now;
}

/*
 * A target that is avoided is not observed. Its slowdown and failure rate
 * decay, so that it is tried again.
 */
void sched_learn_decay(struct sched *s)
{
	size_t i;

	for (i = 0; i < s->ntargets; i++) {
		struct sched_target *t = s->targets[i];

		if (s->now - t->slowdown_at > DECAY_AFTER_MS)
			set_slowdown(t, t->log_slowdown +
						SLOWDOWN_DECAY *
							(t->log_slowdown_base -
							 t->log_slowdown));
		if (!t->nruns)
			t->failure_rate *= 1 - FAILURE_DECAY;
	}
	normalize_speeds(s);
}
