/*
 * Admission of jobs.
 *
 * Under overload, a job that cannot end on time, or would make an accepted job
 * late, is rejected on arrival. Queueing it would not help its caller and would
 * take capacity from others.
 */

#include "sched-int.h"

#include <math.h>

/* Bounds of the usable share of the targets' capacity. */
#define USABLE_SHARE_MAX 0.9
#define USABLE_SHARE_MIN 0.3
/* Part of the way to the upper bound for each job that starts on time. */
#define USABLE_SHARE_RAISE 0.002
/* Part of the way to the lower bound for each job that starts late. */
#define USABLE_SHARE_CUT 0.1
/* Time in which a new leader reads the list and acquires the targets. */
#define STARTUP_MS 500
/*
 * Time in which a new leader gets the jobs that have waited for it. A late job
 * that comes later may be an old message, of a job that another leader has.
 */
#define TAKEOVER_MS 1000
/* Lateness of an accepted job that a new one may cause. */
#define LATE_SLACK_MS 20
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_MAX_MS 10000

void sched_admit_started_on_time(struct sched_job *job)
{
	struct sched *s = job->s;

	s->usable_share +=
		USABLE_SHARE_RAISE * (USABLE_SHARE_MAX - s->usable_share);
}

void sched_admit_started_late(struct sched_job *job)
{
	struct sched *s = job->s;

	job->missed_start = 1;
	/* These do not tell of the capacity. */
	if (job->displaced || job->retries || job->received_at < s->started_at)
		return;
	s->usable_share -=
		USABLE_SHARE_CUT * (s->usable_share - USABLE_SHARE_MIN);
}

/*
 * Usable CPU over slowdown of the targets that can run the job's first step,
 * in thousandths of a core. Sets *eligible if there is such a target.
 */
static double usable_rate(struct sched *s, const struct sched_job *job,
			  int *eligible)
{
	const struct sched_step *step = &job->steps[0];
	const struct sched_service *totals =
		sched_service_totals(s, job->service);
	double rate = 0;
	size_t i;

	if (!step->label[0]) {
		*eligible =
			totals->has_available &&
			sched_resources_fit(&step->need, &totals->max_capacity);
		return s->usable_share * totals->cpu_rate;
	}
	for (i = 0; i < s->ntargets; i++) {
		const struct sched_target *t = s->targets[i];

		if (!sched_target_available(t, s->now) ||
		    !sched_target_eligible(t, job, step))
			continue;
		*eligible = 1;
		rate += s->usable_share * (double)t->listing.capacity.cpu /
			t->slowdown;
	}
	return rate;
}

/* Work of the tasks not started yet, thousandths of a core x ms. */
static double waiting_work(const struct sched_job *job)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < job->ntasks; i++) {
		const struct sched_step *step = &job->steps[job->tasks[i].step];

		if (job->tasks[i].state == SCHED_WAITING)
			sum += step->work * (double)step->need.cpu;
	}
	return sum;
}

/*
 * The most capacity that the job's tasks can take within ms from now,
 * thousandths of a core x ms. factors has one for each step, on the work of
 * tasks that have to run away from their rack.
 */
static double work_within(const struct sched_job *job, const double *factors,
			  rp_ms ms)
{
	double span = ms > 0 ? (double)ms : 0, sum = 0;
	size_t i;

	for (i = 0; i < job->nsteps; i++) {
		const struct sched_step *step = &job->steps[i];

		sum += (double)step->nleft * (double)step->need.cpu *
		       fmin(step->work * factors[i], span);
	}
	return sum;
}

static rp_ms retry_after(double backlog, double rate)
{
	double ms = rate > 0 ? backlog / rate : RETRY_AFTER_MAX_MS;

	if (ms < RETRY_AFTER_MIN_MS)
		return RETRY_AFTER_MIN_MS;
	return ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS : (rp_ms)ms;
}

rp_ms sched_job_shortest_time(const struct sched_job *job)
{
	return (rp_ms)(sched_job_critical_path(job) *
		       sched_service_totals(job->s, job->service)->fast_slowdown *
		       exp(-SCHED_TRY_SIGMAS * sqrt(job->work_var)));
}

rp_ms sched_admit_retry_after(const struct sched_job *job)
{
	const struct sched_job *j;
	double backlog = 0;
	int eligible = 0;

	for (j = job->s->jobs; j; j = j->next)
		if (j->service == job->service)
			backlog += waiting_work(j);
	return retry_after(backlog, usable_rate(job->s, job, &eligible));
}

static int displaces_none(const struct sched_job *job,
			  const struct sched_job *other)
{
	(void)job;
	(void)other;
	return 0;
}

/*
 * Whether the job may be accepted if it makes the other one late. displaces is
 * asked only about jobs that come later in the order.
 */
typedef int displaces_fn(const struct sched_job *job,
			 const struct sched_job *other);

static int admit(struct sched *s, const struct sched_job *job,
		 displaces_fn *displaces, const char **reason, rp_ms *retry)
{
	double factors[SCHED_STEPS_MAX];
	double work_ahead = 0, backlog = 0;
	int eligible = 0, passed = 0;
	double rate = usable_rate(s, job, &eligible);
	struct sched_job *j;
	rp_ms slack, earliest;
	size_t i;

	*retry = RETRY_AFTER_MIN_MS;
	if (!eligible && sched_service_is_evacuated(s, job->service)) {
		*reason = "all targets of the service are evacuated";
		*retry = SCHED_EVACUATED_RETRY_MS;
		s->count.evacuated++;
		return 0;
	}
	/* A new leader has not read the list and acquired the targets yet. */
	if (!eligible && s->now - s->started_at < STARTUP_MS)
		return 1;
	if (!eligible) {
		*reason = "no target that can run the job is available";
		return 0;
	}
	/* It may have to wait for runs of an earlier submission. */
	earliest = job->starts_after > s->now ? job->starts_after : s->now;
	if (job->expires_at - earliest < sched_job_shortest_time(job)) {
		*reason = "the job cannot end before its deadline";
		return 0;
	}
	/*
	 * It has waited while there was no leader and is late already. It gets
	 * room that the others leave, and an answer is of use until it expires.
	 */
	if (job->latest_start < s->now && job->received_at < s->started_at &&
	    s->now - s->started_at < TAKEOVER_MS)
		return 1;
	/* Each looks at all targets, so not for each job that waits. */
	for (i = 0; i < job->nsteps; i++)
		factors[i] = sched_locality_factor(s, job, &job->steps[i]);
	for (j = s->jobs; j; j = j->next) {
		rp_ms left = j->latest_start - s->now + LATE_SLACK_MS;
		double work;

		if (j->service != job->service)
			continue;
		if (j == job) {
			passed = 1;
			continue;
		}
		if (j->latest_start < s->now)
			continue;
		work = waiting_work(j);
		backlog += work;
		if (!passed)
			work_ahead += work;
		else if (work > 0 && backlog + work_within(job, factors, left) >
					     rate * (double)left) {
			if (displaces(job, j)) {
				j->displaced = 1;
				continue;
			}
			*reason = "the job would make accepted jobs late";
			*retry = retry_after(backlog, rate);
			return 0;
		}
	}
	/* Without a backlog, capacity is free or soon will be. */
	slack = job->latest_start - s->now;
	if (backlog > 0 && work_ahead + work_within(job, factors, slack) >
				   rate * (double)slack) {
		*reason = "the job cannot end on time";
		*retry = retry_after(backlog, rate);
		return 0;
	}
	return 1;
}

static int admit_on_time(struct sched *s, const struct sched_job *job,
			 const char **reason, rp_ms *retry)
{
	return admit(s, job, displaces_none, reason, retry);
}

static int admit_by_priority(struct sched *s, const struct sched_job *job,
			     const char **reason, rp_ms *retry)
{
	return admit(s, job, sched_share_displaces, reason, retry);
}

/*
 * Load pattern: a burst of one queue takes the room of all. A job may make
 * waiting jobs of a lower priority late, as far as their queues do not starve.
 */
static struct sched_admit_ops priority_admit = {
	.plugin = { .name = "priority" },
	.admit = admit_by_priority,
};

static struct sched_admit_ops on_time_admit = {
	.plugin = { .name = "on-time" },
	.admit = admit_on_time,
};

static int admit_all(struct sched *s, const struct sched_job *job,
		     const char **reason, rp_ms *retry)
{
	(void)s;
	(void)job;
	(void)reason;
	(void)retry;
	return 1;
}

/* Baseline for comparison: jobs wait until they expire. */
static struct sched_admit_ops all_admit = {
	.plugin = { .name = "all" },
	.admit = admit_all,
};

RP_REGISTER(RP_PLUGIN_ADMISSION, priority_admit);
RP_REGISTER(RP_PLUGIN_ADMISSION, on_time_admit);
RP_REGISTER(RP_PLUGIN_ADMISSION, all_admit);
