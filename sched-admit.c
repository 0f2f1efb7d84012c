/*
 * Whether a job is accepted.
 *
 * Answers the load of more work than there is room for: what cannot end on
 * time, or would make an accepted job late, is rejected as it comes. Waiting
 * longer would not help its caller, and the room would be lost to others.
 */

#include "scheduler.h"

#define FILL_MOST 0.9
#define FILL_LEAST 0.3
#define FILL_UP 0.002
#define FILL_DOWN 0.1
#define TAKE_OFFICE_MS 500 /* the list is read and targets held within */
#define LATE_SLACK_MS 20   /* an accepted job may be made this much late */
#define RETRY_LEAST_MS 1000
#define RETRY_MOST_MS 10000

void sched_admit_on_time(struct sched_job *job)
{
	struct sched *s = job->s;

	s->fill += FILL_UP * (FILL_MOST - s->fill);
}

void sched_admit_late(struct sched_job *job)
{
	struct sched *s = job->s;

	job->queued_late = 1;
	s->fill -= FILL_DOWN * (s->fill - FILL_LEAST);
}

/* Work done in a ms by the targets that suit, thousandths of a core. */
static double rate_of(struct sched *s, const struct sched_job *job, int *suits)
{
	const struct sched_step *step = &job->steps[0];
	const struct sched_service *all = sched_sums(s, job->service);
	double rate = 0;
	size_t i;

	if (!step->label[0]) {
		*suits = all->any && sched_vector_fits(&step->need, &all->most);
		return s->fill * all->rate;
	}
	for (i = 0; i < s->ntargets; i++) {
		const struct sched_target *t = s->targets[i];

		if (!sched_target_open(t, s->now) ||
		    !sched_target_suits(t, job, step))
			continue;
		*suits = 1;
		rate += s->fill * (double)t->is.capacity.cpu / t->slow;
	}
	return rate;
}

/* Work that waits to be started, thousandths of a core x ms. */
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

static rp_ms retry_after(double backlog, double rate)
{
	double ms = rate > 0 ? backlog / rate : RETRY_MOST_MS;

	if (ms < RETRY_LEAST_MS)
		return RETRY_LEAST_MS;
	return ms > RETRY_MOST_MS ? RETRY_MOST_MS : (rp_ms)ms;
}

static int admit_on_time(struct sched *s, const struct sched_job *job,
			 const char **reason, rp_ms *retry)
{
	double ahead = 0, all = 0;
	int suits = 0, behind = 0;
	double rate = rate_of(s, job, &suits);
	double need = waiting_work(job);
	const struct sched_job *j;

	*retry = RETRY_LEAST_MS;
	/* A new leader is about to read the list and to take the targets. */
	if (!suits && s->now - s->since < TAKE_OFFICE_MS)
		return 1;
	if (!suits) {
		*reason = "no target for it is up";
		return 0;
	}
	if (job->useful_until - s->now <
	    (rp_ms)(sched_job_chain(job) *
		    sched_sums(s, job->service)->fastest)) {
		*reason = "it cannot end before its deadline";
		return 0;
	}
	for (j = s->jobs; j; j = j->next) {
		double work;

		if (j->service != job->service)
			continue;
		if (j == job) {
			behind = 1;
			continue;
		}
		if (j->latest_start < s->now)
			continue;
		work = waiting_work(j);
		all += work;
		if (!behind)
			ahead += work;
		else if (work > 0 && (all + need) / rate >
					     (double)(j->latest_start - s->now +
						      LATE_SLACK_MS)) {
			*reason = "accepted jobs would end late";
			*retry = retry_after(all, rate);
			return 0;
		}
	}
	/* Where nothing waits, room is free or soon will be. */
	if (all > 0 &&
	    (ahead + need) / rate > (double)(job->latest_start - s->now)) {
		*reason = "it cannot end on time";
		*retry = retry_after(all, rate);
		return 0;
	}
	return 1;
}

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

/* The baseline: jobs wait until their time is over. */
static struct sched_admit_ops all_admit = {
	.plugin = { .name = "all" },
	.admit = admit_all,
};

RP_REGISTER(RP_PLUGIN_ADMISSION, on_time_admit);
RP_REGISTER(RP_PLUGIN_ADMISSION, all_admit);
