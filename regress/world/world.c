/* Calls, answers and callers in logical time. */

#include "lead.h"
#include "world.h"

#include <apr_strings.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { START, STOP, HOLD, START_REPLY, STOP_REPLY, HOLD_REPLY };

#define LOST_MS 120 /* a call without an answer is given up after */
#define STOP_MS 30  /* until a stopped run's end is listed */
#define LATE_SHARE 0.2
#define STRETCH 1.6
#define EXTRA 60
#define UNEVEN 0.15 /* of the logs of a job's tasks */

void world_violated(struct world *w, const char *what, const char *task)
{
	if (!w->violations++)
		snprintf(w->first, sizeof(w->first), "%s: %s at %lld", what,
			 task, (long long)w->now);
}

double world_uniform(struct world *w)
{
	return (double)(random_next(&w->random) >> 11) / 9007199254740992.0;
}

static double normal(struct world *w)
{
	double u = world_uniform(w), v = world_uniform(w);

	return sqrt(-2 * log(u + 1e-12)) * cos(6.283185307 * v);
}

int world_chance(struct world *w, int percent)
{
	return percent && world_uniform(w) * 100 < percent;
}

/* --- events ---------------------------------------------------------- */

static void add_event(struct world *w, struct world_event *e)
{
	struct world_event **at = &w->events;

	e->order = w->order++;
	while (*at && (*at)->at <= e->at)
		at = &(*at)->next;
	e->next = *at;
	*at = e;
}

static struct world_event *new_event(struct world *w, int kind, struct sched *s,
				     struct world_target *t)
{
	struct world_event *e = calloc(1, sizeof(*e));

	e->kind = kind;
	e->to = s;
	e->target = t;
	e->at = w->now + w->delay;
	e->sent_at = w->now;
	return e;
}

/* --- answers --------------------------------------------------------- */

static struct sched_target *their_target(const struct world_event *e)
{
	return sched_find_target(e->to, e->target->is.id);
}

static void answer(struct world *w, struct world_event *e, int status,
		   const char *reason)
{
	struct world_event *r = calloc(1, sizeof(*r));

	*r = *e;
	r->kind = e->kind + START_REPLY;
	r->at = w->now + w->delay;
	r->lost = status == 0 || world_chance(w, e->target->lose);
	if (r->lost)
		r->at = w->now + LOST_MS;
	r->run = e->run;
	r->seen = (uint64_t)status;
	r->until = !strcmp(reason, "fence");
	add_event(w, r);
}

static void deliver(struct world *w, struct world_event *e)
{
	struct world_target *t = e->target;
	struct sched_target *st = their_target(e);
	struct sched_run runs[WORLD_RUNS];
	struct sched_end ends[WORLD_ENDS];
	struct sched_look look = { .reason = "" };
	size_t i;

	if (!st)
		return;
	look.reply = e->lost	      ? SCHED_REPLY_UNKNOWN
		     : e->seen == 200 ? SCHED_REPLY_OK
		     : e->until	      ? SCHED_REPLY_FENCED
				      : SCHED_REPLY_REFUSED;
	look.sent_at = e->sent_at;
	if (e->kind == HOLD_REPLY && !e->lost)
		look.born = t->is.born;
	look.clock = e->lost ? 0 : w->now - w->delay;
	if (e->kind == HOLD_REPLY && look.reply == SCHED_REPLY_OK) {
		for (i = 0; i < t->nruns; i++) {
			struct world_run *r = &t->runs[i];

			runs[i].task = str_of(r->task);
			runs[i].run = r->run;
			runs[i].percent = (int)(100 * r->done / r->work);
		}
		for (i = 0; i < t->nends; i++) {
			ends[i].number = t->ends[i].number;
			ends[i].task = str_of(t->ends[i].task);
			ends[i].run = t->ends[i].run;
			ends[i].how = t->ends[i].how;
		}
		look.runs = runs;
		look.nruns = t->nruns;
		look.ends = ends;
		look.nends = t->nends;
	}
	if (e->kind == START_REPLY)
		sched_start_reply(e->to, st, e->task, e->run, &look, w->now);
	else if (e->kind == STOP_REPLY)
		sched_stop_reply(e->to, st, e->task, e->run, &look, w->now);
	else
		sched_hold_reply(e->to, st, &look, w->now);
	if (e->to == w->s)
		sched_pump(e->to, w->now);
}

void world_break_calls(struct world *w, const struct world_target *t)
{
	struct world_event *e;

	for (e = w->events; e; e = e->next) {
		if (e->target != t)
			continue;
		if (e->kind < START_REPLY)
			e->kind += START_REPLY;
		e->lost = 1;
	}
}

/* A waiting hold call is answered at an end, or when its time is over. */
static int must_wait(struct world *w, struct world_event *e)
{
	struct world_target *t = e->target;

	return w->now < e->give_up &&
	       (!t->nends || t->ends[t->nends - 1].number <= e->seen);
}

static void arrive(struct world *w, struct world_event *e)
{
	struct world_target *t = e->target;
	const char *reason = "";
	int status;

	if (t->dark || w->now < t->back_at) {
		answer(w, e, 0, "");
		return;
	}
	if (e->kind == HOLD) {
		status = world_do_hold(w, t, e, &reason);
		if (status == 200 && must_wait(w, e)) {
			struct world_event *again = calloc(1, sizeof(*again));

			*again = *e;
			again->until = 0;
			again->at = w->now + 1;
			add_event(w, again);
			return;
		}
	} else if (e->kind == START) {
		status = world_do_start(w, t, e, &reason);
	} else {
		status = world_do_stop(w, t, e, &reason);
	}
	answer(w, e, status, reason);
}

/* --- what the scheduler asks for ------------------------------------- */

static struct world_target *world_target(struct world *w,
					 const struct sched_target *t)
{
	size_t i;

	for (i = 0; i < w->ntargets; i++)
		if (!strcmp(w->targets[i].is.id, t->is.id))
			return &w->targets[i];
	return NULL;
}

static void on_start(struct sched *s, struct sched_target *t,
		     struct sched_task *task, int64_t until)
{
	struct world *w = s->user;
	struct world_event *e = new_event(w, START, s, world_target(w, t));

	snprintf(e->task, sizeof(e->task), "%s", task->name);
	e->run = task->run;
	e->fence = s->fence;
	e->until = until;
	e->need = task->job->steps[task->step].need;
	add_event(w, e);
}

static void on_stop(struct sched *s, struct sched_target *t, struct rp_str task,
		    uint32_t run)
{
	struct world *w = s->user;
	struct world_event *e = new_event(w, STOP, s, world_target(w, t));

	str_copy(e->task, sizeof(e->task), task);
	e->run = run;
	e->fence = s->fence;
	e->at += STOP_MS;
	add_event(w, e);
}

static void on_hold(struct sched *s, struct sched_target *t, int64_t until,
		    uint64_t seen, rp_ms wait)
{
	struct world *w = s->user;
	struct world_event *e = new_event(w, HOLD, s, world_target(w, t));

	e->fence = s->fence;
	e->until = until;
	e->seen = seen;
	e->give_up = e->at + wait;
	add_event(w, e);
}

static void count_answer(struct world *w, struct world_job *job)
{
	rp_ms age = w->now - job->came;

	job->on = age <= job->objective;
	switch (job->outcome) {
	case POOL_ANSWER__OUTCOME__COMPLETED:
		w->out.worth += age <= job->objective ? job->worth
				: age <= job->late_until
					? LATE_SHARE * job->worth
					: 0;
		if (age <= job->objective)
			w->out.on_time++;
		else
			w->out.late++;
		break;
	case POOL_ANSWER__OUTCOME__REJECTED:
		w->out.rejected++;
		w->out.late_refusals += age > job->objective / 4;
		if (job->started)
			world_violated(w, "rejected though started",
				       job->sub->id);
		break;
	case POOL_ANSWER__OUTCOME__FAILED:
		w->out.failed++;
		break;
	default:
		w->out.incomplete++;
	}
}

static uint64_t on_answer(struct sched *s, struct sched_job *job,
			  const PoolAnswer *a)
{
	struct world *w = s->user;
	struct world_job *j = job->owner;

	if (!j || s != w->s)
		return 0;
	if (w->deaf)
		return ++w->mark;
	if (j->answered)
		world_violated(w, "answered twice", j->sub->id);
	j->answered = 1;
	j->outcome = a->outcome;
	count_answer(w, j);
	return 0;
}

static void on_fenced(struct sched *s, struct sched_target *t)
{
	struct world *w = s->user;

	(void)t;
	w->fenced++;
}

static void on_forget(struct sched *s, struct sched_target *t)
{
	(void)s;
	(void)t;
}

static uint64_t on_progress(struct sched *s, struct sched_job *job,
			    const struct sched_task *task)
{
	struct world_job *j = job->owner;
	PoolSubmit *sub = j ? j->sub : NULL;

	if (!sub)
		return 0;
	if (((struct world *)s->user)->deaf)
		return ++((struct world *)s->user)->mark;
	sub->done = realloc(sub->done, (sub->n_done + 1) * sizeof(*sub->done));
	sub->done[sub->n_done++] = (uint32_t)(task - job->tasks);
	return 0;
}

static void on_note(struct sched *s, const char *what,
		    const struct sched_target *t, const struct sched_task *task,
		    const char *why)
{
	struct world *w = s->user;

	(void)t;
	(void)task;
	(void)why;
	if (!strcmp(what, "move"))
		w->moves++;
}

static const struct sched_ops ops = {
	.start = on_start,
	.stop = on_stop,
	.hold = on_hold,
	.answer = on_answer,
	.fenced = on_fenced,
	.forget = on_forget,
	.progress = on_progress,
	.note = on_note,
};

/* --- driving it ------------------------------------------------------ */

void world_init(struct world *w, uint64_t seed, size_t ntargets,
		const double *speeds, size_t nspeeds)
{
	size_t i;

	memset(w, 0, sizeof(*w));
	apr_pool_create(&w->pool, NULL);
	w->random = seed;
	w->ntargets = ntargets;
	w->delay = 1;
	w->now = 1000;
	for (i = 0; i < ntargets; i++) {
		struct world_target *t = &w->targets[i];

		snprintf(t->is.id, sizeof(t->is.id), "t%zu", i);
		snprintf(t->is.address, sizeof(t->is.address), "10.0.0.%zu:1",
			 i);
		snprintf(t->is.service, sizeof(t->is.service), "svc");
		t->is.capacity.cpu = i / 3 % 3 == 2 ? 24000 : 16000;
		t->is.capacity.memory = 65536;
		t->is.ready = 1;
		t->is.born = 1;
		t->speed = speeds[i % nspeeds];
		t->slowed = 1;
		t->past = hash_new(w->pool);
	}
}

void world_finish(struct world *w)
{
	size_t i;

	for (i = 0; i < w->njobs; i++) {
		pool_submit__free_unpacked(w->jobs[i]->sub, NULL);
		free(w->jobs[i]->works);
		free(w->jobs[i]->noted);
		free(w->jobs[i]);
	}
	while (w->events) {
		struct world_event *e = w->events;

		w->events = e->next;
		free(e);
	}
	apr_pool_destroy(w->pool);
}

void world_lead(struct world *w, struct sched *s,
		const struct sched_policies *policies, uint64_t fence)
{
	size_t i;

	sched_init(s, &ops, w, policies, fence, WORLD_LEASE_MS, w->now);
	w->s = s;
	for (i = 0; i < w->ntargets; i++)
		sched_listed(s, &w->targets[i].is, w->now);
	sched_list_read(s);
	sched_jobs_read(s);
}

void world_begin(struct world *w, struct sched *s, size_t ntargets)
{
	static const double speeds[] = { 1.0 };

	world_init(w, 7, ntargets, speeds, 1);
	world_lead(w, s, NULL, LEAD_TOKEN(1));
	world_run(w, w->now + 50);
}

void world_drop_calls(struct world *w, const struct sched *s)
{
	struct world_event **at = &w->events, *e;

	while ((e = *at)) {
		if (e->to != s) {
			at = &e->next;
			continue;
		}
		*at = e->next;
		free(e);
	}
}

struct world_job *world_submit(struct world *w, const char *queue, int tasks,
			       double work, double worth, rp_ms deadline)
{
	struct world_job *job = calloc(1, sizeof(*job));
	PoolSubmit *sub = calloc(1, sizeof(*sub));
	PoolStep *step = calloc(1, sizeof(*step));
	double objective, longest = 0;
	char id[24];
	int i;

	pool_submit__init(sub);
	pool_step__init(step);
	job->seq = sub->seq = w->njobs + 1;
	snprintf(id, sizeof(id), "%016llx", (unsigned long long)job->seq);
	sub->id = strdup(id);
	sub->queue = strdup(queue);
	sub->service = strdup("svc");
	sub->max_attempts = 3;
	sub->stretch = STRETCH;
	sub->objective_ms = EXTRA;
	sub->left_ms = (uint32_t)deadline;
	sub->specification.data = malloc(4);
	memcpy(sub->specification.data, "work", 4);
	sub->specification.len = 4;
	sub->n_steps = 1;
	sub->steps = malloc(sizeof(*sub->steps));
	sub->steps[0] = step;
	step->tasks = (uint32_t)tasks;
	step->cpu = (uint32_t)(6800 * exp(0.2 * normal(w)));
	if (step->cpu > 10000)
		step->cpu = 10000;
	step->memory = 64;
	step->estimate_ms = (uint32_t)(work * exp(0.4 * normal(w))) + 1;
	step->label = strdup("");
	step->rack = strdup("");
	job->works = malloc((size_t)tasks * sizeof(*job->works));
	job->noted = calloc((size_t)tasks, 1);
	for (i = 0; i < tasks; i++) {
		job->works[i] = work * exp(UNEVEN * normal(w));
		longest = fmax(longest, job->works[i]);
	}
	objective = STRETCH * longest + EXTRA;
	job->w = w;
	job->fence = w->s->fence;
	job->sub = sub;
	job->came = w->now;
	job->worth = worth;
	job->objective = (rp_ms)objective < deadline ? (rp_ms)objective
						     : deadline;
	job->late_until = 3 * (rp_ms)objective < deadline ? 3 * (rp_ms)objective
							  : deadline;
	w->jobs[w->njobs++] = job;
	w->out.jobs++;
	w->out.owed += worth;
	sched_submit(w->s, job, sub, w->now);
	sched_pump(w->s, w->now);
	return job;
}

void world_resubmit(struct world *w)
{
	size_t i;

	for (i = 0; i < w->njobs; i++) {
		struct world_job *job = w->jobs[i];
		rp_ms age = w->now - job->came;

		if (job->answered || age >= 1500)
			continue;
		job->sub->former = job->fence;
		job->fence = w->s->fence;
		job->sub->age_ms = (uint32_t)age;
		job->sub->left_ms = (uint32_t)(1500 - age);
		sched_submit(w->s, job, job->sub, w->now);
	}
}

void world_run(struct world *w, rp_ms until)
{
	size_t i;

	while (w->now < until) {
		w->now++;
		for (i = 0; i < w->ntargets; i++)
			world_advance(w, &w->targets[i], 1);
		while (w->events && w->events->at <= w->now) {
			struct world_event *e = w->events;

			w->events = e->next;
			if (e->kind >= START_REPLY)
				deliver(w, e);
			else
				arrive(w, e);
			free(e);
		}
		if (w->now % SCHED_TICK == 0)
			sched_tick(w->s, w->now);
	}
}

struct mix {
	const char *queue;
	double per_s;
	double tasks, work, worth;
};

static int tasks_of(struct world *w, const struct mix *m)
{
	int n = (int)(m->tasks * exp(0.4 * normal(w) - 0.08) + 0.5);

	return n < 1 ? 1 : n;
}

void world_play(struct world *w, double load, rp_ms span)
{
	static const struct mix mixes[] = {
		{ "remind", 34.4, 8, 60, 0.0291 },
		{ "digest", 6.25, 4, 900, 0.16 },
		{ "recheck", 100, 2, 200, 0.01 },
	};
	rp_ms end = w->now + span;
	size_t i;

	while (w->now < end) {
		for (i = 0; i < 3; i++) {
			const struct mix *m = &mixes[i];
			double scale = load * (double)w->ntargets / 48;

			if (world_uniform(w) >= m->per_s * scale / 1000)
				continue;
			world_submit(w, m->queue, tasks_of(w, m),
				     m->work * exp(0.4 * normal(w) - 0.08),
				     m->worth, 1500);
		}
		world_run(w, w->now + 1);
	}
}
