/* Simulated targets: their replies to calls, and checks of invariants. */

#include "world.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time until the next incarnation replies. */
#define RESTART_MS 50
/* Time until the list loses the entry of a target that has crashed. */
#define UNLISTED_MS 7000

static struct world_run *find_run(struct world_target *t, const char *task,
				  uint32_t run)
{
	size_t i;

	for (i = 0; i < t->nruns; i++)
		if (t->runs[i].run == run && !strcmp(t->runs[i].task, task))
			return &t->runs[i];
	return NULL;
}

/* Lower runs of the task are refused from now on, and this one too. */
static void refuse_runs_up_to(struct world *w, struct world_target *t,
			      const char *task, uint32_t run)
{
	uint32_t *last = apr_hash_get(t->last_runs, task, APR_HASH_KEY_STRING);

	if (!last) {
		last = apr_pcalloc(w->pool, sizeof(*last));
		apr_hash_set(t->last_runs, apr_pstrdup(w->pool, task),
			     APR_HASH_KEY_STRING, last);
	}
	if (run > *last)
		*last = run;
}

static void list_end(struct world *w, struct world_target *t,
		     const struct world_run *r, enum sched_end_how how)
{
	struct world_end *e;

	if (t->nends == WORLD_ENDS) {
		memmove(t->ends, t->ends + 1,
			(WORLD_ENDS - 1) * sizeof(*t->ends));
		t->nends--;
	}
	e = &t->ends[t->nends++];
	e->number = ++t->last_end;
	snprintf(e->task, sizeof(e->task), "%s", r->task);
	e->run = r->run;
	e->job = r->job;
	e->how = how;
	e->at = w->now;
	e->lapsed = 0;
	refuse_runs_up_to(w, t, r->task, r->run);
}

static void end_run(struct world *w, struct world_target *t,
		    struct world_run *r, enum sched_end_how how)
{
	list_end(w, t, r, how);
	*r = t->runs[--t->nruns];
}

static void check_capacity(struct world *w, struct world_target *t)
{
	int64_t cpu = 0;
	size_t i;

	for (i = 0; i < t->nruns; i++)
		cpu += t->runs[i].need.cpu;
	if (cpu > t->listing.capacity.cpu)
		world_violated(w, "capacity exceeded", t->listing.id);
}

/* Checks that the task does not run twice at the same time. */
static void check_duplicates(struct world *w, const char *task)
{
	int running = 0;
	size_t i, j;

	for (i = 0; i < w->ntargets; i++)
		for (j = 0; j < w->targets[i].nruns; j++)
			running += !strcmp(w->targets[i].runs[j].task, task);
	if (running > 1)
		world_violated(w, "task runs twice", task);
}

rp_ms world_target_clock(const struct world *w, const struct world_target *t)
{
	return (rp_ms)((double)(w->now - t->clock_start) * t->clock_rate);
}

void world_target_advance(struct world *w, struct world_target *t, rp_ms span)
{
	int over = world_target_clock(w, t) >= t->lease_until;
	size_t i;

	for (i = 0; over && i < t->nends; i++)
		t->ends[i].lapsed = 1;
	for (i = t->nruns; i-- > 0;) {
		struct world_run *r = &t->runs[i];

		if (over) {
			end_run(w, t, r, SCHED_END_STOPPED);
			continue;
		}
		if (!t->stalled)
			r->done += (double)span * t->speed / t->slowdown;
		if (r->done >= r->work)
			end_run(w, t, r,
				r->fails ? SCHED_END_FAILED : SCHED_END_DONE);
	}
}

static void list_target(struct world *w, struct world_target *t)
{
	t->back_at = 0;
	if (w->same_id) {
		t->unlisted_at = 0;
		sched_target_listed(w->sched, &t->listing, w->now);
		return;
	}
	snprintf(t->prev_id, sizeof(t->prev_id), "%s", t->listing.id);
	snprintf(t->listing.id, sizeof(t->listing.id), "t%zu-%lld",
		 (size_t)(t - w->targets), (long long)w->now);
	sched_target_listed(w->sched, &t->listing, w->now);
}

void world_list_crashed(struct world *w)
{
	size_t i;

	for (i = 0; i < w->ntargets; i++) {
		struct world_target *t = &w->targets[i];

		if (t->crash_at && w->now >= t->crash_at)
			world_target_crash(w, t);
		if (t->back_at && w->now >= t->back_at)
			list_target(w, t);
		if (t->unlisted_at && w->now >= t->unlisted_at) {
			t->unlisted_at = 0;
			sched_target_unlisted(w->sched, t->prev_id, w->now);
		}
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

static void renew_lease(struct world *w, struct world_target *t, int64_t until)
{
	rp_ms lease = world_target_clock(w, t) + WORLD_LEASE_MS;

	if (!until)
		return;
	if (until < lease)
		lease = until;
	if (lease > t->lease_until)
		t->lease_until = lease;
}

static void start_deadly(struct world *w, struct world_target *t,
			 struct world_job *job, const char *task)
{
	if (job->crashes >= 3 && ++job->starts_after >= 3)
		world_violated(w, "started too often after three crashes",
			       task);
	t->crash_at = w->now + w->crash_delay;
}

static int is_on_rack(const struct world_target *t, const char *rack)
{
	size_t i;

	for (i = 0; i < t->listing.nlabels; i++)
		if (!strcmp(t->listing.labels[i], rack))
			return 1;
	return 0;
}

int world_target_start(struct world *w, struct world_target *t,
		       struct world_event *e, const char **reason)
{
	struct world_job *job = job_of(w, e->task);
	uint32_t *last_run =
		apr_hash_get(t->last_runs, e->task, APR_HASH_KEY_STRING);
	struct world_run *r;

	*reason = "fence";
	if (e->fence < t->fence)
		return 409;
	t->fence = e->fence;
	*reason = "late";
	if (e->until <= world_target_clock(w, t))
		return 409;
	if (find_run(t, e->task, e->run))
		return 200;
	*reason = "old";
	if (last_run && e->run <= *last_run)
		return 409;
	renew_lease(w, t, e->until);
	if (job->done_acked[task_index(e->task)] && !job->resent)
		world_violated(w, "task started after it was done", e->task);
	job->started_at[task_index(e->task)] = w->now;
	r = &t->runs[t->nruns++];
	memset(r, 0, sizeof(*r));
	snprintf(r->task, sizeof(r->task), "%s", e->task);
	r->run = e->run;
	r->job = job;
	r->need = e->need;
	r->work = job->task_work[task_index(e->task)];
	if (is_on_rack(t, job->sub->steps[0]->rack))
		w->starts_on_rack++;
	else if (w->remote_factor > 0)
		r->work *= w->remote_factor;
	r->started = w->now;
	r->fails = world_chance(w, t->fail_percent);
	if (r->fails && t->fail_after)
		r->work = (double)t->fail_after;
	job->started = 1;
	if (job->answered && job->outcome == POOL_ANSWER__OUTCOME__REJECTED)
		world_violated(w, "task started though its job was rejected",
			       e->task);
	w->starts++;
	if (job->deadly && !task_index(e->task))
		start_deadly(w, t, job, e->task);
	check_capacity(w, t);
	check_duplicates(w, e->task);
	return 200;
}

int world_target_stop(struct world *w, struct world_target *t,
		      struct world_event *e, const char **reason)
{
	struct world_run *r = find_run(t, e->task, e->run);

	*reason = "fence";
	if (e->fence < t->fence)
		return 409;
	t->fence = e->fence;
	if (r) {
		end_run(w, t, r, SCHED_END_STOPPED);
		return 200;
	}
	/* The start may come after the stop, and is refused then. */
	refuse_runs_up_to(w, t, e->task, e->run);
	return 200;
}

/*
 * The success is acknowledged. A start after it counts, whether it came after
 * this or before.
 */
static void note_done(struct world *w, const struct world_end *e)
{
	int i = task_index(e->task);

	if (!e->lapsed && e->job->started_at[i] > e->at && !e->job->resent)
		world_violated(w, "task started after it was done", e->task);
	if (!e->lapsed || !w->lapses_count)
		e->job->done_acked[i] = 1;
}

int world_target_hold(struct world *w, struct world_target *t,
		      struct world_event *e, const char **reason)
{
	size_t i = 0;

	*reason = "fence";
	if (e->fence < t->fence)
		return 409;
	t->fence = e->fence;
	renew_lease(w, t, e->until);
	for (; i < t->nends && t->ends[i].number <= e->acked_end; i++)
		if (t->ends[i].how == SCHED_END_DONE)
			note_done(w, &t->ends[i]);
	memmove(t->ends, t->ends + i, (t->nends - i) * sizeof(*t->ends));
	t->nends -= i;
	return 200;
}

static void lose_state(struct world *w, struct world_target *t)
{
	t->nruns = t->nends = 0;
	t->last_end = t->fence = 0;
	t->lease_until = 0;
	apr_hash_clear(t->last_runs);
	t->listing.incarnation++;
	world_fail_calls(w, t);
}

void world_target_restart(struct world *w, struct world_target *t)
{
	lose_state(w, t);
	t->unresponsive_until = w->now + RESTART_MS;
	if (w->new_clocks)
		t->clock_start = w->now;
}

void world_target_crash(struct world *w, struct world_target *t)
{
	size_t i;

	for (i = 0; i < t->nruns; i++)
		t->runs[i].job->crashes += t->runs[i].job->deadly &&
					   !task_index(t->runs[i].task);
	w->crashes++;
	lose_state(w, t);
	t->crash_at = 0;
	t->back_at = t->unresponsive_until = w->now + w->down;
	t->unlisted_at = w->now + UNLISTED_MS;
}
