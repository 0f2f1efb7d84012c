/* Targets in logical time: what they do on calls, and what must hold. */

#include "world.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RESTART_MS 50 /* until another incarnation answers */

static struct world_run *find_run(struct world_target *t, const char *task,
				  uint32_t run)
{
	size_t i;

	for (i = 0; i < t->nruns; i++)
		if (t->runs[i].run == run && !strcmp(t->runs[i].task, task))
			return &t->runs[i];
	return NULL;
}

static void list_end(struct world *w, struct world_target *t,
		     const struct world_run *r, enum sched_end_how how)
{
	struct world_end *e;
	uint32_t *past = apr_palloc(w->pool, sizeof(*past));

	if (t->nends == WORLD_ENDS) {
		memmove(t->ends, t->ends + 1,
			(WORLD_ENDS - 1) * sizeof(*t->ends));
		t->nends--;
	}
	e = &t->ends[t->nends++];
	e->number = ++t->number;
	snprintf(e->task, sizeof(e->task), "%s", r->task);
	e->run = r->run;
	e->job = r->job;
	e->how = how;
	*past = r->run;
	apr_hash_set(t->past, apr_pstrdup(w->pool, r->task),
		     APR_HASH_KEY_STRING, past);
}

static void end_run(struct world *w, struct world_target *t,
		    struct world_run *r, enum sched_end_how how)
{
	list_end(w, t, r, how);
	*r = t->runs[--t->nruns];
}

static void check_room(struct world *w, struct world_target *t)
{
	int64_t cpu = 0;
	size_t i;

	for (i = 0; i < t->nruns; i++)
		cpu += t->runs[i].need.cpu;
	if (cpu > t->is.capacity.cpu)
		world_violated(w, "over the room", t->is.id);
}

static void check_twice(struct world *w, const char *task)
{
	int running = 0;
	size_t i, j;

	for (i = 0; i < w->ntargets; i++)
		for (j = 0; j < w->targets[i].nruns; j++)
			running += !strcmp(w->targets[i].runs[j].task, task);
	if (running > 1)
		world_violated(w, "running twice", task);
}

/* Work goes on; leases pass. */
void world_advance(struct world *w, struct world_target *t, rp_ms span)
{
	size_t i;

	for (i = t->nruns; i-- > 0;) {
		struct world_run *r = &t->runs[i];

		if (w->now >= t->lease_until) {
			end_run(w, t, r, SCHED_END_STOPPED);
			continue;
		}
		if (!t->stuck)
			r->done += (double)span * t->speed / t->slowed;
		if (r->done >= r->work)
			end_run(w, t, r,
				r->fails ? SCHED_END_FAILED : SCHED_END_DONE);
	}
}

static struct world_job *job_of(struct world *w, const char *task)
{
	size_t i;

	for (i = w->njobs; i-- > 0;)
		if (!strncmp(w->jobs[i]->sub->id, task, 16))
			return w->jobs[i];
	return NULL;
}

static int task_index(const char *task)
{
	return atoi(strrchr(task, '.') + 1);
}

static void renew(struct world *w, struct world_target *t, int64_t until)
{
	rp_ms most = w->now + WORLD_LEASE_MS;

	if (!until)
		return;
	if (until < most)
		most = until;
	if (most > t->lease_until)
		t->lease_until = most;
}

/* Returns the status of the call, as the platform's pages have it. */
int world_do_start(struct world *w, struct world_target *t,
		   struct world_event *e, const char **reason)
{
	struct world_job *job = job_of(w, e->task);
	uint32_t *past = apr_hash_get(t->past, e->task, APR_HASH_KEY_STRING);
	struct world_run *r;

	*reason = "fence";
	if (e->fence < t->fence)
		return 409;
	t->fence = e->fence;
	*reason = "late";
	if (e->until <= w->now)
		return 409;
	if (find_run(t, e->task, e->run))
		return 200;
	*reason = "old";
	if (past && e->run <= *past)
		return 409;
	renew(w, t, e->until);
	if (job->noted[task_index(e->task)])
		world_violated(w, "started after it was done", e->task);
	r = &t->runs[t->nruns++];
	memset(r, 0, sizeof(*r));
	snprintf(r->task, sizeof(r->task), "%s", e->task);
	r->run = e->run;
	r->job = job;
	r->need = e->need;
	r->work = job->works[task_index(e->task)];
	r->started = w->now;
	r->fails = world_chance(w, t->failing);
	job->started = 1;
	if (job->answered && job->outcome == POOL_ANSWER__OUTCOME__REJECTED)
		world_violated(w, "started though rejected", e->task);
	w->starts++;
	check_room(w, t);
	check_twice(w, e->task);
	return 200;
}

int world_do_stop(struct world *w, struct world_target *t,
		  struct world_event *e, const char **reason)
{
	struct world_run *r = find_run(t, e->task, e->run);
	struct world_run none = { .run = e->run };

	*reason = "fence";
	if (e->fence < t->fence)
		return 409;
	t->fence = e->fence;
	if (r) {
		end_run(w, t, r, SCHED_END_STOPPED);
		return 200;
	}
	/* A run that is not there yet will be rejected. */
	snprintf(none.task, sizeof(none.task), "%s", e->task);
	{
		uint32_t *past = apr_palloc(w->pool, sizeof(*past));

		*past = e->run;
		apr_hash_set(t->past, apr_pstrdup(w->pool, none.task),
			     APR_HASH_KEY_STRING, past);
	}
	return 200;
}

int world_do_hold(struct world *w, struct world_target *t,
		  struct world_event *e, const char **reason)
{
	size_t i = 0;

	*reason = "fence";
	if (e->fence < t->fence)
		return 409;
	t->fence = e->fence;
	renew(w, t, e->until);
	for (; i < t->nends && t->ends[i].number <= e->seen; i++)
		if (t->ends[i].how == SCHED_END_DONE)
			t->ends[i].job->noted[task_index(t->ends[i].task)] = 1;
	memmove(t->ends, t->ends + i, (t->nends - i) * sizeof(*t->ends));
	t->nends -= i;
	return 200;
}

void world_reborn(struct world *w, struct world_target *t)
{
	t->nruns = t->nends = 0;
	t->number = t->fence = 0;
	t->lease_until = 0;
	apr_hash_clear(t->past);
	t->is.born++;
	t->back_at = w->now + RESTART_MS;
	world_break_calls(w, t);
}
