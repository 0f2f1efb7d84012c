/* Simulated calls to targets, and their replies. */

#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time after which a call without a reply is given up. */
#define LOST_MS 120
/* Time until the end of a stopped run is listed. */
#define STOP_MS 30

static void add_event(struct world *w, struct world_event *e)
{
	struct world_event **at = &w->events;

	e->order = w->order++;
	while (*at && (*at)->at <= e->at)
		at = &(*at)->next;
	e->next = *at;
	*at = e;
}

static struct world_target *find_target(struct world *w,
					const struct sched_target *t)
{
	size_t i;

	for (i = 0; i < w->ntargets; i++)
		if (!strcmp(w->targets[i].listing.address, t->listing.address))
			return &w->targets[i];
	return NULL;
}

static struct world_event *new_event(struct world *w, int kind, struct sched *s,
				     const struct sched_target *called)
{
	struct world_event *e = calloc(1, sizeof(*e));

	snprintf(e->id, sizeof(e->id), "%s", called->listing.id);
	e->kind = kind;
	e->sched = s;
	e->target = find_target(w, called);
	e->at = w->now + w->delay;
	e->sent_at = w->now;
	return e;
}

/* --- replies --------------------------------------------------------- */

static struct sched_target *sched_target_of(const struct world_event *e)
{
	return sched_find_target(e->sched, e->id);
}

/*
 * Queues the reply to a call. It keeps the status in acked_end, and in until
 * whether the reason is the fencing token.
 */
static void reply(struct world *w, struct world_event *e, int status,
		  const char *reason)
{
	struct world_event *r = calloc(1, sizeof(*r));

	*r = *e;
	r->kind = e->kind + WORLD_START_REPLY;
	r->at = w->now + w->delay;
	r->lost = status == 0 || world_chance(w, e->target->lose_percent);
	if (r->lost)
		r->at = w->now + LOST_MS;
	r->run = e->run;
	r->acked_end = (uint64_t)status;
	r->until = !strcmp(reason, "fence");
	add_event(w, r);
}

static void deliver_reply(struct world *w, struct world_event *e)
{
	struct world_target *t = e->target;
	struct sched_target *st = sched_target_of(e);
	struct sched_run runs[WORLD_RUNS];
	struct sched_end ends[WORLD_ENDS];
	struct sched_target_reply reply = { .reason = "" };
	size_t i;

	if (!st)
		return;
	reply.status = e->lost		     ? SCHED_REPLY_UNKNOWN
		       : e->acked_end == 200 ? SCHED_REPLY_OK
		       : e->acked_end == 421 ? SCHED_REPLY_WRONG_INCARNATION
		       : e->until	     ? SCHED_REPLY_FENCED
					     : SCHED_REPLY_REFUSED;
	reply.sent_at = e->sent_at;
	reply.lossy = e->copied;
	if (e->kind == WORLD_HOLD_REPLY && !e->lost)
		reply.incarnation = t->listing.incarnation;
	reply.clock = e->lost ? 0 : world_target_clock(w, t) - w->delay;
	if (e->kind == WORLD_HOLD_REPLY && reply.status == SCHED_REPLY_OK) {
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
		reply.runs = runs;
		reply.nruns = t->nruns;
		reply.ends = ends;
		reply.nends = t->nends;
	}
	if (e->kind == WORLD_START_REPLY)
		sched_start_reply(e->sched, st, e->task, e->run, &reply,
				  w->now);
	else if (e->kind == WORLD_STOP_REPLY)
		sched_stop_reply(e->sched, st, e->task, e->run, &reply, w->now);
	else
		sched_hold_reply(e->sched, st, &reply, w->now);
	if (e->sched == w->sched || w->several)
		sched_dispatch(e->sched, w->now);
}

void world_fail_calls(struct world *w, const struct world_target *t)
{
	struct world_event *e;

	for (e = w->events; e; e = e->next) {
		if (e->target != t)
			continue;
		if (e->late) {
			e->target = NULL; /* its caller has had its reply */
			continue;
		}
		if (e->kind < WORLD_START_REPLY)
			e->kind += WORLD_START_REPLY;
		e->lost = 1;
	}
}

/* Whether a hold call still waits for an end or for its time to pass. */
static int must_wait(struct world *w, struct world_event *e)
{
	struct world_target *t = e->target;

	return w->now < e->wait_until &&
	       (!t->nends || t->ends[t->nends - 1].number <= e->acked_end);
}

/*
 * Has the call carried out later, if it is to be. A lease counts from then on
 * if late_leases is set. Returns whether neither the call nor a copy of it is
 * carried out now.
 */
static int put_off(struct world *w, struct world_event *e)
{
	const struct world_late *late = &e->target->late[e->kind];
	struct world_event *later;
	rp_ms delay;

	if (!world_chance(w, late->percent))
		return 0;
	delay = late->min +
		(rp_ms)(world_uniform(w) * (double)(late->max - late->min));
	later = calloc(1, sizeof(*later));
	*later = *e;
	later->late = 1;
	later->at = w->now + delay;
	if (later->until && w->late_leases)
		later->until += delay;
	add_event(w, later);
	e->copied = late->copied;
	if (!late->copied)
		reply(w, e, 0, "");
	return !late->copied;
}

static void carry_out_late(struct world *w, struct world_event *e)
{
	struct world_target *t = e->target;
	const char *reason;

	if (!t || w->now < t->unresponsive_until ||
	    strcmp(e->id, t->listing.id) != 0)
		return;
	if (e->kind == WORLD_HOLD)
		world_target_hold(w, t, e, &reason);
	else if (e->kind == WORLD_START)
		world_target_start(w, t, e, &reason);
	else
		world_target_stop(w, t, e, &reason);
}

static int is_reached(struct world *w, const struct world_event *e)
{
	if (w->reaches)
		return w->reaches(w, e->sched, e->target);
	return e->target->cut_off != e->sched;
}

static void handle_call(struct world *w, struct world_event *e)
{
	struct world_target *t = e->target;
	const char *reason = "";
	int status;

	if (e->late) {
		carry_out_late(w, e);
		return;
	}
	if (t->unresponsive || !is_reached(w, e) ||
	    w->now < t->unresponsive_until) {
		reply(w, e, 0, "");
		return;
	}
	if (!e->waits && put_off(w, e))
		return;
	if (strcmp(e->id, t->listing.id) != 0) {
		status = 421;
	} else if (e->kind == WORLD_HOLD) {
		status = world_target_hold(w, t, e, &reason);
		if (status == 200 && must_wait(w, e)) {
			struct world_event *retry = calloc(1, sizeof(*retry));

			*retry = *e;
			retry->until = 0;
			retry->waits = 1;
			retry->at = w->now + 1;
			add_event(w, retry);
			return;
		}
	} else if (e->kind == WORLD_START) {
		status = world_target_start(w, t, e, &reason);
	} else {
		status = world_target_stop(w, t, e, &reason);
	}
	reply(w, e, status, reason);
}

/* --- operations of the scheduler ------------------------------------- */

void world_call_start(struct sched *s, struct sched_target *t,
		      struct sched_task *task, int64_t until)
{
	struct world *w = s->user;
	struct world_event *e = new_event(w, WORLD_START, s, t);

	snprintf(e->task, sizeof(e->task), "%s", task->name);
	e->run = task->run;
	e->fence = s->fence;
	e->at += e->target->start_delay;
	e->until = until;
	e->need = task->job->steps[task->step].need;
	add_event(w, e);
}

void world_call_stop(struct sched *s, struct sched_target *t,
		     struct rp_str task, uint32_t run)
{
	struct world *w = s->user;
	struct world_event *e = new_event(w, WORLD_STOP, s, t);

	str_copy(e->task, sizeof(e->task), task);
	e->run = run;
	e->fence = s->fence;
	e->at += STOP_MS;
	add_event(w, e);
}

void world_call_hold(struct sched *s, struct sched_target *t, int64_t until,
		     uint64_t acked_end, rp_ms wait)
{
	struct world *w = s->user;
	struct world_event *e = new_event(w, WORLD_HOLD, s, t);

	e->fence = s->fence;
	e->until = until;
	e->acked_end = acked_end;
	e->wait_until = e->at + wait;
	add_event(w, e);
}

void world_drop_calls(struct world *w, const struct sched *s)
{
	struct world_event **at = &w->events, *e;

	while ((e = *at)) {
		/* What targets carry out late has left the process. */
		if (e->sched != s || e->late) {
			at = &e->next;
			continue;
		}
		*at = e->next;
		free(e);
	}
}

/* Puts the reply off, if its scheduler gets none yet. Returns whether it did.
 */
static int hold_back(struct world *w, struct world_event *e)
{
	rp_ms at = w->replies_at ? w->replies_at(w, e->sched) : 0;

	if (at <= w->now)
		return 0;
	e->at = at;
	add_event(w, e);
	return 1;
}
void world_deliver(struct world *w)
{
	while (w->events && w->events->at <= w->now) {
		struct world_event *e = w->events;

		w->events = e->next;
		if (e->kind < WORLD_START_REPLY)
			handle_call(w, e);
		else if (hold_back(w, e))
			continue;
		else
			deliver_reply(w, e);
		free(e);
	}
}
