/*
 * Which target runs a task.
 *
 * Answers the load of short and long tasks on targets of different speed:
 * short ones go to the slowest target on which they still end on time, so
 * that the fast ones are there for the long ones.
 */

#include "scheduler.h"

#include <math.h>
#include <string.h>

#define SURE 1.3 /* deviations that a run may be longer, with no room free */
#define SURE_IDLE 2.0	  /* and more by the share that is free */
#define SAME_LOG 0.05	  /* run times this near are the same */
#define WAIT_MS 5	  /* slack that a job must have to wait for a target */
#define FAILING_MOST 0.45 /* share of failures beyond which one task runs */
#define PROBE_RUNS 1	  /* on such a target at a time */
#define REMOTE_FACTOR 2.0 /* run time away from the data's rack */

static int has_label(const struct sched_target *t, const char *label)
{
	size_t i;

	for (i = 0; i < t->is.nlabels; i++)
		if (!strcmp(t->is.labels[i], label))
			return 1;
	return 0;
}

/* Whether the step's data is on another rack. */
static int is_remote(const struct sched_target *t,
		     const struct sched_step *step)
{
	return step->rack[0] && !has_label(t, step->rack);
}

double sched_run_time(const struct sched_target *t,
		      const struct sched_step *step)
{
	double work = step->work * t->slow;

	return is_remote(t, step) ? work * REMOTE_FACTOR : work;
}

int sched_target_open(const struct sched_target *t, rp_ms now)
{
	if (t->state != SCHED_HELD || !t->listed || !t->is.ready ||
	    t->foreign || t->unanswered || now < t->paused_until)
		return 0;
	return t->failing < FAILING_MOST || t->nruns < PROBE_RUNS;
}

int sched_target_has_room(const struct sched_target *t,
			  const struct sched_vector *need)
{
	const struct sched_vector *all = &t->is.capacity;

	return t->used.cpu + need->cpu <= all->cpu &&
	       t->used.memory + need->memory <= all->memory &&
	       t->used.accelerators + need->accelerators <= all->accelerators;
}

int sched_vector_fits(const struct sched_vector *need,
		      const struct sched_vector *room)
{
	return need->cpu <= room->cpu && need->memory <= room->memory &&
	       need->accelerators <= room->accelerators;
}

int sched_target_suits(const struct sched_target *t,
		       const struct sched_job *job,
		       const struct sched_step *step)
{
	if (t->service != job->service)
		return 0;
	if (step->label[0] && !has_label(t, step->label))
		return 0;
	return sched_vector_fits(&step->need, &t->is.capacity);
}

int sched_target_crowded(const struct sched_target *t,
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

/* A candidate, and how it compares. */
struct choice {
	struct sched_target *target;
	double run; /* predicted, ms */
	double log_run;
	double left; /* room, thousandths of a core */
	int fits;    /* likely on time */
};

/*
 * On time goes first; then the slowest among those on time, the fastest
 * among the others; least room left over breaks ties.
 */
static int better(const struct choice *a, const struct choice *b)
{
	if (a->fits != b->fits)
		return a->fits;
	if (fabs(a->log_run - b->log_run) < SAME_LOG)
		return a->left < b->left;
	return a->fits ? a->run > b->run : a->run < b->run;
}

/* What is the same for all targets that are compared for a task. */
struct wish {
	double log_work;
	double log_objective, log_deadline; /* of the time until then */
	double sure;			    /* deviations of margin */
	double work_var;
};

/*
 * Whether a task is likely on time. The objective grows with the work, so an
 * error in the work moves both alike; the deadline does not.
 */
static int likely(const struct sched_target *t, const struct wish *w,
		  double log_run)
{
	double own = t->slow_var + SCHED_TASK_VAR;

	return log_run + w->sure * sqrt(own) <= w->log_objective &&
	       log_run + w->sure * sqrt(own + w->work_var) <= w->log_deadline;
}

static double log_until(const struct sched *s, rp_ms at)
{
	return at > s->now ? log((double)(at - s->now)) : -HUGE_VAL;
}

static struct wish wish_of(struct sched *s, const struct sched_job *job,
			   const struct sched_step *step)
{
	const struct sched_service *all = sched_sums(s, job->service);
	double idle = all->room > 0 ? 1 - all->used / all->room : 1;

	return (struct wish){
		.log_work = log(step->work),
		.log_objective = log_until(s, job->objective),
		.log_deadline = log_until(s, job->deadline),
		.sure = SURE + SURE_IDLE * idle,
		.work_var = job->work_var,
	};
}

/* Whether a target on which it is likely on time may be free soon enough. */
static int may_wait(struct sched *s, const struct sched_job *job,
		    const struct sched_step *step, const struct choice *best)
{
	double fast = step->work * sched_sums(s, job->service)->fastest;

	return best->run > (double)(job->on_time - s->now) &&
	       (double)(job->on_time - s->now) > fast + WAIT_MS;
}

/* Whether it is known in this turn that no target has room for it. */
static int is_full(const struct sched *s, const struct sched_job *job,
		   const struct sched_vector *need)
{
	const struct sched_service *all = job->service;

	return all->full_turn == s->turn &&
	       sched_vector_fits(&all->full_for, need);
}

static struct choice choose_but(struct sched *s, const struct sched_job *job,
				const struct sched_step *step,
				const struct sched_target *avoid)
{
	struct choice best = { .target = NULL };
	struct wish w;
	int roomy = 0;
	size_t i;

	if (is_full(s, job, &step->need))
		return best;
	w = wish_of(s, job, step);
	for (i = 0; i < s->ntargets; i++) {
		struct sched_target *t = s->targets[i];
		struct choice c = { .target = t };

		if (t->service != job->service ||
		    !sched_target_has_room(t, &step->need) ||
		    !sched_target_open(t, s->now))
			continue;
		roomy = 1;
		if (t == avoid || !sched_target_suits(t, job, step) ||
		    sched_target_crowded(t, job, step))
			continue;
		c.run = sched_run_time(t, step);
		if (c.run > (double)(job->useful_until - s->now))
			continue;
		c.log_run = w.log_work + t->log_slow;
		if (is_remote(t, step))
			c.log_run += log(REMOTE_FACTOR);
		c.fits = likely(t, &w, c.log_run);
		c.left = (double)(t->is.capacity.cpu - t->used.cpu -
				  step->need.cpu);
		if (!best.target || better(&c, &best))
			best = c;
	}
	if (!roomy && s->pumping) {
		job->service->full_turn = s->turn;
		job->service->full_for = step->need;
	}
	return best;
}

static struct choice choose(struct sched *s, const struct sched_job *job,
			    const struct sched_step *step)
{
	struct choice best = choose_but(s, job, step, job->avoid);

	if (!best.target && job->avoid)
		best = choose_but(s, job, step, NULL);
	return best;
}

struct sched_target *sched_best(struct sched *s, const struct sched_job *job,
				const struct sched_step *step)
{
	return choose(s, job, step).target;
}

static struct sched_target *place_slowest(struct sched *s,
					  const struct sched_job *job,
					  const struct sched_step *step)
{
	struct choice best = choose(s, job, step);

	if (best.target && !best.fits && may_wait(s, job, step, &best))
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
	int64_t most = -1;
	size_t i;

	for (i = 0; i < s->ntargets; i++) {
		struct sched_target *t = s->targets[i];
		int64_t left = t->is.capacity.cpu - t->used.cpu;

		if (left <= most || !sched_target_open(t, s->now) ||
		    !sched_target_has_room(t, &step->need) ||
		    !sched_target_suits(t, job, step) ||
		    sched_target_crowded(t, job, step))
			continue;
		best = t;
		most = left;
	}
	return best;
}

/* The baseline: speeds do not count. */
static struct sched_place_ops roomiest_place = {
	.plugin = { .name = "roomiest" },
	.place = place_roomiest,
};

RP_REGISTER(RP_PLUGIN_PLACE, slowest_place);
RP_REGISTER(RP_PLUGIN_PLACE, roomiest_place);
