/*
 * Takeover of what a former scheduler left running.
 *
 * The first list of each target is kept until the entry VMs have handed over
 * their open jobs. Runs of these go on; what nobody asks for is stopped. A
 * job's other tasks start only when no target can run them any more.
 *
 * Answers the load of a leader that is stopped, killed or cut off while
 * hundreds of tasks run, and of a domain that served by itself while it was
 * cut off.
 */

#include "lead.h"
#include "scheduler.h"

#include <stdlib.h>
#include <string.h>

#define ADOPT_MS 300	 /* entry VMs hand over within */
#define HANDOVER_MS 1000 /* a job that comes later had another leader since */

/*
 * A former leader notices that a job's entry VM left it, and stops the runs,
 * or cannot and lets their lease pass, within this beyond the lease.
 */
#define FORMER_MS 650

/* Returns NULL for a run of this scheduler. */
static struct sched_orphan *add_orphan(struct sched_target *t,
				       struct rp_str name, uint32_t run)
{
	struct sched_orphan *o;

	if (sched_run_find(t, name, run))
		return NULL;
	if (t->norphans == t->cap_orphans) {
		t->cap_orphans = t->cap_orphans * 2 + 8;
		t->orphans = realloc(t->orphans,
				     t->cap_orphans * sizeof(*t->orphans));
	}
	o = &t->orphans[t->norphans++];
	memset(o, 0, sizeof(*o));
	str_copy(o->name, sizeof(o->name), name);
	o->run = run;
	return o;
}

static void add_end(struct sched_target *t, const struct sched_end *end)
{
	struct sched_orphan *o = add_orphan(t, end->task, end->run);

	if (!o)
		return;
	o->number = end->number;
	o->how = end->how;
	sched_told_keep(t, o->number);
}

static void drop_orphan(struct sched_target *t, size_t i)
{
	t->orphans[i] = t->orphans[--t->norphans];
}

/* Returns whether the job was answered by this. */
static int take_orphan(struct sched_task *task, struct sched_target *t,
		       const struct sched_orphan *o)
{
	struct sched_job *job = task->job;
	void *owner = job->owner;
	int last;

	if (job->run <= o->run)
		job->run = o->run + 1;
	sched_job_started(job);
	if (!o->number) {
		sched_run_adopt(task, t, o->run);
		return 0;
	}
	if (o->how != SCHED_END_DONE) {
		sched_told_set(t, o->number, job->owner, 0);
		return 0;
	}
	job->nwaiting--;
	last = job->ndone + 1 == job->ntasks;
	/* The last one's answer may free the job. */
	sched_told_set(t, o->number, owner, sched_task_done(task));
	return last;
}

static struct sched_task *task_named(struct sched_job *job, struct rp_str name)
{
	size_t i;

	for (i = 0; i < job->ntasks; i++)
		if (str_eq(str_of(job->tasks[i].name), name))
			return &job->tasks[i];
	return NULL;
}

/* The id is what comes before the first dot of a task's name. */
static struct rp_str id_of(struct rp_str task)
{
	const char *dot = memchr(task.ptr, '.', task.len);
	struct rp_str id = { task.ptr,
			     dot ? (size_t)(dot - task.ptr) : task.len };

	return id;
}

/* The job of what the target has is known. Returns as take_orphan(). */
static int claim_orphan(struct sched_job *job, struct sched_target *t, size_t i)
{
	struct sched_orphan o = t->orphans[i];
	struct sched_task *task = task_named(job, str_of(o.name));

	drop_orphan(t, i);
	if (task && task->state == SCHED_WAITING)
		return take_orphan(task, t, &o);
	sched_told_set(t, o.number, NULL, 0);
	return 0;
}

/* Finds the jobs of what the target has, where they are here already. */
static void adopt_target(struct sched_target *t)
{
	size_t i;

	for (i = t->norphans; i-- > 0;) {
		struct sched_job *job =
			sched_open_job(t->s, id_of(str_of(t->orphans[i].name)));

		if (job && job->former)
			claim_orphan(job, t, i);
	}
}

void sched_adopt_list(struct sched_target *t, const struct sched_look *look)
{
	size_t i;

	t->taken = 1;
	t->adopt_until = t->s->now + ADOPT_MS;
	t->norphans = 0;
	for (i = 0; i < look->nruns; i++)
		add_orphan(t, look->runs[i].task, look->runs[i].run);
	for (i = 0; i < look->nends; i++)
		add_end(t, &look->ends[i]);
	adopt_target(t);
}

void sched_adopt_job(struct sched_job *job)
{
	struct sched *s = job->s;
	size_t i, j;

	if (job->ndone == job->ntasks) {
		sched_job_answer(job, POOL_ANSWER__OUTCOME__COMPLETED, "", 0);
		return;
	}
	for (i = 0; i < s->ntargets; i++) {
		struct sched_target *t = s->targets[i];

		for (j = t->norphans; j-- > 0;)
			if (str_eq(id_of(str_of(t->orphans[j].name)),
				   str_of(job->id)) &&
			    claim_orphan(job, t, j))
				return;
	}
}

/* Run numbers tell which scheduler started a run. */
static int is_own(const struct sched *s, uint32_t run)
{
	return run >= s->first_run && run < s->first_run + SCHED_RUNS_PER_TOKEN;
}

/*
 * A run that was taken for over, as its target went dark past its lease, had
 * ended well: the task need not run again, if it does not yet.
 */
static void take_late_end(struct sched_target *t, const struct sched_end *end)
{
	struct sched_job *job = sched_open_job(t->s, id_of(end->task));
	struct sched_task *task = NULL;
	void *owner;

	if (job && end->how == SCHED_END_DONE && end->run >= job->run_least)
		task = task_named(job, end->task);
	if (!task || task->state != SCHED_WAITING)
		return;
	owner = job->owner;
	job->nwaiting--;
	t->s->ops->note(t->s, "late_end", t, task, "it had ended well");
	sched_told_add(t, end->number, owner, sched_task_done(task));
}

void sched_adopt_end(struct sched_target *t, const struct sched_end *end)
{
	size_t i;

	for (i = 0; i < t->norphans; i++) {
		struct sched_orphan *o = &t->orphans[i];

		if (o->run != end->run || !str_eq(str_of(o->name), end->task))
			continue;
		if (!o->number)
			sched_told_keep(t, end->number);
		o->number = end->number;
		o->how = end->how;
		return;
	}
	if (is_own(t->s, end->run)) {
		take_late_end(t, end);
		return;
	}
	/* Another scheduler's, which held the target for a while. */
	add_end(t, end);
	t->adopt_until = t->s->now + ADOPT_MS;
	adopt_target(t);
}

static void stop_left(struct sched_target *t)
{
	size_t i;

	for (i = 0; i < t->norphans; i++) {
		const struct sched_orphan *o = &t->orphans[i];

		if (o->number) {
			sched_told_set(t, o->number, NULL, 0);
			continue;
		}
		t->s->count.orphans++;
		t->s->ops->stop(t->s, t, str_of(o->name), o->run);
	}
	t->norphans = 0;
}

/* Whether the next token after that scheduler's is this one's. */
static int is_predecessor(const struct sched *s, uint64_t former)
{
	return !LEAD_IS_ALONE(former) &&
	       LEAD_COUNT(former) + 1 == LEAD_COUNT(s->fence);
}

int sched_adopt_settled(const struct sched_job *job)
{
	const struct sched *s = job->s;
	size_t i;

	if (s->now - job->submitted >= s->hold_most + FORMER_MS)
		return 1;
	/*
	 * A former leader that was cut off from the store goes on with targets
	 * whose entries there are gone.
	 */
	if (s->former_hidden || !is_predecessor(s, job->former) ||
	    job->submitted - s->since > HANDOVER_MS || !s->listed)
		return 0;
	for (i = 0; i < s->ntargets; i++) {
		const struct sched_target *t = s->targets[i];

		if (!t->taken && t->service == job->service)
			return 0;
	}
	return 1;
}

int sched_adopting(const struct sched_target *t)
{
	return t->s->now < t->adopt_until || !t->s->jobs_read;
}

void sched_adopt_tick(struct sched_target *t)
{
	if (t->norphans && !sched_adopting(t))
		stop_left(t);
}
