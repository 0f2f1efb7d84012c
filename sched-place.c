/*
 * Placement of tasks on targets.
 *
 * Each task goes to the slowest target on which it will still end on time, so
 * that fast targets stay free for long tasks.
 */

#include "sched-int.h"

#include <math.h>
#include <string.h>

/*
 * Margin on the predicted run time, in standard deviations of its log: the
 * first if no CPU is free, and up to the second more in proportion to the share
 * that is free.
 */
#define MARGIN_BUSY 1.3
#define MARGIN_IDLE 2.0
/* Difference of log run times up to which these count as equal. */
#define EQUAL_LOG 0.05
/*
 * The same when less than SHORT_ROOM of the CPU is free: room for whole tasks
 * is worth more then than the speed of targets, which is known only roughly.
 */
#define EQUAL_LOG_SHORT 0.2
#define SHORT_ROOM 0.4
/* Slack that a job needs to wait for a target. */
#define WAIT_SLACK_MS 5
/* Failure rate from which a target gets only PROBE_RUNS runs at a time. */
#define FAILURE_RATE_MAX 0.45
#define PROBE_RUNS 1
/* Age from which a run does not count as one of these: it has not failed. */
#define PROBE_MS 1000
/* Failure rate below which a target counts as sound. */
#define SOUND_FAILURE_RATE 0.1
/* A reservation for a task to be isolated ends after this. */
#define RESERVED_MS 1000
/* Part of the targets that are reserved at most. */
#define RESERVED_DIVISOR 8

int sched_target_has_label(const struct sched_target *t, const char *label)
{
	size_t i;

	for (i = 0; i < t->listing.nlabels; i++)
		if (!strcmp(t->listing.labels[i], label))
			return 1;
	return 0;
}

double sched_run_time(const struct sched_target *t,
		      const struct sched_step *step)
{
	double work = step->work * t->slowdown;

	return sched_is_remote(t, step) ? work * t->s->remote_factor : work;
}

/*
 * Whether the platform's entry is of the incarnation that replies. If not, its
 * capacity and state may be another incarnation's. 0: not given.
 */
static int entry_is_current(const struct sched_target *t)
{
	return !t->listing.incarnation || !t->incarnation ||
	       t->listing.incarnation == t->incarnation;
}

/* Whether runs that began a moment ago may show that the target still fails. */
static int is_being_probed(const struct sched_target *t, rp_ms now)
{
	const struct sched_task *task;
	int n = 0;

	for (task = t->runs; task; task = task->next)
		n += now - task->sent_at < PROBE_MS;
	return n >= PROBE_RUNS;
}

int sched_target_available(const struct sched_target *t, rp_ms now)
{
	if (t->state != SCHED_HELD || !t->listed || !t->listing.ready ||
	    t->evacuated || !entry_is_current(t) || t->nforeign ||
	    t->unanswered || t->domain->silent || now < t->backoff_until ||
	    sched_adopt_awaits_lapse(t))
		return 0;
	return t->failure_rate < FAILURE_RATE_MAX || !is_being_probed(t, now);
}

/*
 * Whether a start is in flight to a target that may have restarted, with less
 * capacity, since its last reply. The reply to the start will show it.
 */
static int may_have_restarted(const struct sched_target *t, rp_ms now)
{
	const struct sched_task *task;

	if (now - t->replied_at <= SCHED_RESTART_MIN_MS)
		return 0;
	for (task = t->runs; task; task = task->next)
		if (task->state == SCHED_STARTING)
			return 1;
	return 0;
}

/*
 * Whether the target may be given the job's task now. A task that may have
 * crashed a target is alone on the next one, so that it takes no others with
 * it, and so that another crash tells that it is at fault.
 */
static int accepts_start(const struct sched_target *t,
			 const struct sched_job *job, rp_ms now)
{
	if (!sched_target_available(t, now) || may_have_restarted(t, now))
		return 0;
	if (job->isolate)
		return !t->nruns;
	return !t->nisolated && now >= t->reserved_until;
}

int sched_resources_fit(const struct sched_resources *need,
			const struct sched_resources *room)
{
	return need->cpu <= room->cpu && need->memory <= room->memory &&
	       need->accelerators <= room->accelerators;
}

int sched_target_has_room(const struct sched_target *t,
			  const struct sched_resources *need)
{
	struct sched_resources room = t->listing.capacity;

	room.cpu -= t->used.cpu;
	room.memory -= t->used.memory;
	room.accelerators -= t->used.accelerators;
	if (t->s->now < t->late_until) {
		room.cpu -= t->late.cpu;
		room.memory -= t->late.memory;
		room.accelerators -= t->late.accelerators;
	}
	sched_late_starts_reserve(t, &room);
	return sched_resources_fit(need, &room);
}

int sched_target_eligible(const struct sched_target *t,
			  const struct sched_job *job,
			  const struct sched_step *step)
{
	if (t->service != job->service)
		return 0;
	if (step->label[0] && !sched_target_has_label(t, step->label))
		return 0;
	return sched_resources_fit(&step->need, &t->listing.capacity);
}

int sched_target_at_spread_limit(const struct sched_target *t,
				 const struct sched_job *job,
				 const struct sched_step *step)
{
	const struct sched_task *task;
	uint32_t n = 0;

	if (!step->spread)
		return 0;
	for (task = t->runs; task; task = task->next)
		if (task->job == job && &job->steps[task->step] == step)
			n++;
	return n >= step->spread;
}

/* A target that may run the task, and what it is compared by. */
struct candidate {
	struct sched_target *target;
	double run_ms; /* predicted run time */
	double log_run_ms;
	double cpu_left; /* with the task placed, thousandths of a core */
	double loss; /* of room usable by whole tasks; 0: room is not short */
	int on_time; /* the task likely ends on time */
	int sound;   /* its runs seldom fail */
	int remote;  /* away from the rack of the data */
};

/*
 * Whether a is better than b. Targets on which the task ends on time are
 * preferred: among them the slowest, among the others the fastest. Equal ones
 * are ordered by the least loss of room for whole tasks, if room is short, and
 * then by the least CPU left, to keep large gaps for large tasks. Sound
 * targets come before others, and before all for a task's last attempt.
 */
static int is_better(const struct candidate *a, const struct candidate *b,
		     double equal_log, int last_attempt)
{
	if (last_attempt && a->sound != b->sound)
		return a->sound;
	if (a->on_time != b->on_time)
		return a->on_time;
	if (a->sound != b->sound)
		return a->sound;
	if (a->on_time && a->remote != b->remote)
		return b->remote;
	if (fabs(a->log_run_ms - b->log_run_ms) < equal_log)
		return a->loss != b->loss ? a->loss < b->loss
					  : a->cpu_left < b->cpu_left;
	return a->on_time ? a->run_ms > b->run_ms : a->run_ms < b->run_ms;
}

/* Values of the task that are the same for all candidates. */
struct criteria {
	double log_work;
	double log_objective, log_deadline; /* log of the ms until then */
	double margin;			    /* standard deviations */
	int room_is_short;
	double equal_log; /* difference up to which run times are equal */
	double work_var;
	double log_left; /* log of the ms until the job expires */
};

/*
 * Whether the task likely ends on time. The objective grows with the work, so
 * an error in the work shifts both alike and only the target's variance counts.
 * The deadline is fixed, so the variance of the work counts as well.
 */
static int is_likely_on_time(const struct sched_target *t,
			     const struct criteria *c, double log_run_ms)
{
	double var = t->slowdown_var + SCHED_TASK_VAR;

	return log_run_ms + c->margin * sqrt(var) <= c->log_objective &&
	       log_run_ms + c->margin * sqrt(var + c->work_var) <=
		       c->log_deadline;
}

static double log_until(const struct sched *s, rp_ms at)
{
	return at > s->now ? log((double)(at - s->now)) : -HUGE_VAL;
}

static struct criteria make_criteria(struct sched *s,
				     const struct sched_job *job,
				     const struct sched_step *step)
{
	const struct sched_service *totals =
		sched_service_totals(s, job->service);
	rp_ms overhead = (rp_ms)sched_overhead(s);
	double idle = totals->total_cpu > 0
			      ? 1 - totals->used_cpu / totals->total_cpu
			      : 1;

	return (struct criteria){
		.log_work = log(step->work),
		.log_objective = log_until(s, job->objective_at - overhead),
		.log_deadline = log_until(s, job->deadline - overhead),
		.margin = MARGIN_BUSY + MARGIN_IDLE * idle,
		.room_is_short = idle < SHORT_ROOM,
		.equal_log = idle < SHORT_ROOM ? EQUAL_LOG_SHORT : EQUAL_LOG,
		.work_var = job->work_var,
		.log_left =
			log_until(s, job->expires_at - (rp_ms)s->call_delay),
	};
}

/* Whether the task may end before its job expires, for all that is known. */
static int may_end_in_time(const struct sched_target *t,
			   const struct criteria *c, double log_run_ms)
{
	double var = t->slowdown_var + SCHED_TASK_VAR + c->work_var;

	return log_run_ms - SCHED_TRY_SIGMAS * sqrt(var) <= c->log_left;
}

/*
 * Whether the job should wait for a faster target: it would be late on the best
 * candidate, but the fastest target could still finish it on time.
 */
static int should_wait(struct sched *s, const struct sched_job *job,
		       const struct sched_step *step,
		       const struct candidate *best)
{
	double fastest_ms =
		step->work *
		sched_service_totals(s, job->service)->fast_slowdown;

	double left = (double)(job->due_at - s->now) - sched_overhead(s);

	return best->run_ms > left && left > fastest_ms + WAIT_SLACK_MS;
}

/* Whether this pass has found already that no target has room for the need. */
static int is_full(const struct sched *s, const struct sched_job *job,
		   const struct sched_resources *need)
{
	const struct sched_service *service = job->service;

	return service->full_pass == s->dispatch_pass &&
	       sched_resources_fit(&service->full_need, need);
}

static struct candidate
best_candidate_avoiding(struct sched *s, const struct sched_job *job,
			const struct sched_step *step,
			const struct sched_target *avoid)
{
	struct candidate best = { .target = NULL };
	struct criteria criteria;
	int has_room = 0;
	size_t i;

	if (!job->isolate && is_full(s, job, &step->need))
		return best;
	criteria = make_criteria(s, job, step);
	for (i = 0; i < s->ntargets; i++) {
		struct sched_target *t = s->targets[i];
		struct candidate c = { .target = t };

		if (t->service != job->service ||
		    !sched_target_has_room(t, &step->need) ||
		    !accepts_start(t, job, s->now))
			continue;
		has_room = 1;
		if (t == avoid || !sched_target_eligible(t, job, step) ||
		    sched_target_at_spread_limit(t, job, step))
			continue;
		c.run_ms = sched_run_time(t, step);
		c.log_run_ms = criteria.log_work + t->log_slowdown;
		c.remote = sched_is_remote(t, step);
		if (c.remote)
			c.log_run_ms += log(s->remote_factor);
		if (!may_end_in_time(t, &criteria, c.log_run_ms))
			continue;
		c.on_time = is_likely_on_time(t, &criteria, c.log_run_ms);
		c.cpu_left = (double)(t->listing.capacity.cpu - t->used.cpu -
				      step->need.cpu);
		if (criteria.room_is_short)
			c.loss = sched_fit_loss(t->service,
						t->listing.capacity.cpu -
							t->used.cpu,
						step->need.cpu);
		c.sound = t->failure_rate < SOUND_FAILURE_RATE;
		if (!best.target ||
		    is_better(&c, &best, criteria.equal_log, job->last_attempt))
			best = c;
	}
	if (!has_room && s->dispatching && !job->isolate) {
		job->service->full_pass = s->dispatch_pass;
		job->service->full_need = step->need;
	}
	return best;
}

static struct candidate best_candidate(struct sched *s,
				       const struct sched_job *job,
				       const struct sched_step *step)
{
	struct candidate best =
		best_candidate_avoiding(s, job, step, job->avoid);

	if (!best.target && job->avoid)
		best = best_candidate_avoiding(s, job, step, NULL);
	return best;
}

struct sched_target *sched_best_target(struct sched *s,
				       const struct sched_job *job,
				       const struct sched_step *step)
{
	return best_candidate(s, job, step).target;
}

static int may_reserve(const struct sched_target *t,
		       const struct sched_job *job,
		       const struct sched_step *step)
{
	return sched_target_available(t, t->s->now) &&
	       sched_target_eligible(t, job, step) && !t->nisolated;
}

void sched_reserve_target(struct sched *s, const struct sched_job *job,
			  const struct sched_step *step)
{
	struct sched_target *best = NULL;
	size_t i, nreserved = 0, most = s->ntargets / RESERVED_DIVISOR + 1;

	if (most > s->nunplaced)
		most = s->nunplaced;
	for (i = 0; i < s->ntargets; i++) {
		struct sched_target *t = s->targets[i];

		if (s->now < t->reserved_until)
			nreserved++;
		else if (may_reserve(t, job, step) &&
			 (!best || t->used.cpu < best->used.cpu))
			best = t;
	}
	if (best && nreserved < most)
		best->reserved_until = s->now + RESERVED_MS;
}

static struct sched_target *place_slowest(struct sched *s,
					  const struct sched_job *job,
					  const struct sched_step *step)
{
	struct candidate best = best_candidate(s, job, step);

	if (!best.target)
		return NULL;
	if (!best.on_time && should_wait(s, job, step, &best))
		return NULL;
	if (best.remote &&
	    sched_locality_should_wait(s, job, step, best.target))
		return NULL;
	return best.target;
}

static struct sched_place_ops slowest_place = {
	.plugin = { .name = "slowest-on-time" },
	.place = place_slowest,
};

static struct sched_target *place_roomiest(struct sched *s,
					   const struct sched_job *job,
					   const struct sched_step *step)
{
	struct sched_target *best = NULL;
	int64_t best_left = -1;
	size_t i;

	for (i = 0; i < s->ntargets; i++) {
		struct sched_target *t = s->targets[i];
		int64_t cpu_left = t->listing.capacity.cpu - t->used.cpu;

		if (cpu_left <= best_left || !accepts_start(t, job, s->now) ||
		    !sched_target_has_room(t, &step->need) ||
		    !sched_target_eligible(t, job, step) ||
		    sched_target_at_spread_limit(t, job, step))
			continue;
		best = t;
		best_left = cpu_left;
	}
	return best;
}

/* Baseline for comparison: the target with the most free CPU. */
static struct sched_place_ops roomiest_place = {
	.plugin = { .name = "roomiest" },
	.place = place_roomiest,
};

RP_REGISTER(RP_PLUGIN_PLACE, slowest_place);
RP_REGISTER(RP_PLUGIN_PLACE, roomiest_place);
