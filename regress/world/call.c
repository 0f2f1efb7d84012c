/* Simulated calls to targets, and their replies. */

#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time after which a call without a reply is given up. */
#define LOST_MS 120
/* Time until the end of a stopped run is listed. */
#define STOP_MS 30
/* From which on a call without a reply is sent again. */
#define RESEND_MS 20
/* Between attempts to deliver a call whose path is cut, and how long. */
#define RETRANSMIT_MS 20
#define RETRANSMIT_MAX_MS 300
#define BLOCKED_MAX_MS 8000

static void add_event(struct world *w, struct world_event *e)
{
	struct world_event **at = &w->events;

	e->order = w->order++;
	while (*at && (*at)->at <= e->at)
		at = &(*at)->next;
	e->next = *at;
	*at = e;
}

struct world_target *world_find_target(struct world *w,
				       const struct sched_target *t)
{
	size_t i;

	for (i = 0; i < w->ntargets; i++)
		if (!strcmp(w->targets[i].listing.address, t->listing.address))
			return &w->targets[i];
	return NULL;
}

static void free_event(struct world_event *e)
{
	free(e->runs);
	free(e->ends);
	free(e);
}

static struct world_event *new_event(struct world *w, int kind, struct sched *s,
				     const struct sched_target *called)
{
	struct world_event *e = calloc(1, sizeof(*e));

	snprintf(e->id, sizeof(e->id), "%s", called->listing.id);
	e->kind = kind;
	e->sched = s;
	e->target = world_find_target(w, called);
	e->at = w->now + w->delay;
	if (w->jitter)
		e->at += (rp_ms)(world_uniform(w) * (double)w->jitter);
	e->sent_at = w->now;
	e->from = w->calling;
	return e;
}

/* --- replies --------------------------------------------------------- */

static void copy_lists(struct world_event *r, const struct world_target *t)
{
	r->runs = malloc(t->nruns * sizeof(*t->runs) + 1);
	r->ends = malloc(t->nends * sizeof(*t->ends) + 1);
	memcpy(r->runs, t->runs, t->nruns * sizeof(*t->runs));
	memcpy(r->ends, t->ends, t->nends * sizeof(*t->ends));
	r->nruns = t->nruns;
	r->nends = t->nends < WORLD_ENDS_PER_REPLY ? t->nends
						   : WORLD_ENDS_PER_REPLY;
}

/*
 * Queues the reply to a call. It keeps the status in acked_end, and in until
 * whether the reason is the fencing token.
 */
static void reply(struct world *w, struct world_event *e, int status,
		  const char *reason)
{
	struct world_event *r;

	if (!e->sched && !e->seq)
		return; /* nobody waits for it */
	r = calloc(1, sizeof(*r));
	*r = *e;
	r->kind = e->kind + WORLD_START_REPLY;
	r->at = w->now + w->delay;
	r->lost = status == 0 || world_chance(w, e->target->lose_percent);
	if (r->lost)
		r->at = w->now + LOST_MS;
	r->run = e->run;
	r->acked_end = (uint64_t)status;
	r->until = !strcmp(reason, "fence");
	r->clock = world_target_clock(w, e->target);
	r->incarnation = e->target->listing.incarnation;
	r->listed = w->several || e->target->list_delay;
	if (r->listed && e->kind == WORLD_HOLD && status == 200)
		copy_lists(r, e->target);
	if (e->kind == WORLD_HOLD && !r->lost)
		r->at += e->target->list_delay;
	add_event(w, r);
}

void world_read_reply(const struct world_event *e, struct world_reply *r)
{
	size_t i;

	memset(&r->reply, 0, sizeof(r->reply));
	r->reply.reason = "";
	r->reply.status = e->lost		? SCHED_REPLY_UNKNOWN
			  : e->acked_end == 200 ? SCHED_REPLY_OK
			  : e->acked_end == 421 ? SCHED_REPLY_WRONG_INCARNATION
			  : e->until		? SCHED_REPLY_FENCED
						: SCHED_REPLY_REFUSED;
	r->reply.sent_at = e->sent_at;
	r->reply.lossy = e->copied;
	if (e->kind == WORLD_HOLD_REPLY && !e->lost)
		r->reply.incarnation = e->incarnation;
	r->reply.clock = e->lost ? 0 : e->clock;
	if (e->kind != WORLD_HOLD_REPLY || r->reply.status != SCHED_REPLY_OK)
		return;
	for (i = 0; i < e->nruns; i++) {
		const struct world_run *run = &e->runs[i];

		r->runs[i].task = str_of(run->task);
		r->runs[i].run = run->run;
		r->runs[i].percent = (int)(100 * run->done / run->work);
	}
	for (i = 0; i < e->nends; i++) {
		r->ends[i].number = e->ends[i].number;
		r->ends[i].task = str_of(e->ends[i].task);
		r->ends[i].run = e->ends[i].run;
		r->ends[i].how = e->ends[i].how;
	}
	r->reply.runs = r->runs;
	r->reply.nruns = e->nruns;
	r->reply.ends = r->ends;
	r->reply.nends = e->nends;
}

void world_copy_reply(struct world_event *to, const struct world_event *from)
{
	*to = *from;
	to->runs = malloc(from->nruns * sizeof(*from->runs) + 1);
	to->ends = malloc(from->nends * sizeof(*from->ends) + 1);
	if (from->nruns)
		memcpy(to->runs, from->runs, from->nruns * sizeof(*from->runs));
	if (from->nends)
		memcpy(to->ends, from->ends, from->nends * sizeof(*from->ends));
}

static void deliver_reply(struct world *w, struct world_event *e)
{
	struct sched_target *t = e->sched ? sched_find_target(e->sched, e->id)
					  : NULL;
	struct world_reply r;

	if (!t && !e->seq)
		return;
	/* One scheduler reads replies as they come. */
	if (!e->listed && !w->several) {
		e->clock = world_target_clock(w, e->target) - w->delay;
		e->incarnation = e->target->listing.incarnation;
		if (e->kind == WORLD_HOLD_REPLY && e->acked_end == 200)
			copy_lists(e, e->target);
	}
	world_read_reply(e, &r);
	if (!e->sched) {
		w->replied(w, e, &r.reply);
		return;
	}
	if (e->kind == WORLD_START_REPLY)
		sched_start_reply(e->sched, t, e->task, e->run, &r.reply,
				  w->now);
	else if (e->kind == WORLD_STOP_REPLY)
		sched_stop_reply(e->sched, t, e->task, e->run, &r.reply,
				 w->now);
	else
		sched_hold_reply(e->sched, t, &r.reply, w->now);
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
			/* Its caller has had its reply. */
			if (!w->keep_late)
				e->target = NULL;
			continue;
		}
		if (e->kind < WORLD_START_REPLY && w->resends)
			continue; /* it finds nobody there */
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

static int is_reached(struct world *w, const struct world_event *e)
{
	if (w->reaches)
		return w->reaches(w, e);
	return e->target->cut_off != e->sched;
}

/* Packets of a call that were lost are sent again until they arrive. */
static void keep_blocked(struct world *w, const struct world_event *e)
{
	struct world_event *later;

	if (!world_chance(w, w->keep_blocked))
		return;
	later = calloc(1, sizeof(*later));
	*later = *e;
	later->late = later->blocked = 1;
	later->at = w->now + RETRANSMIT_MS;
	add_event(w, later);
}

/* Returns whether the call goes on waiting for its path. */
static int is_blocked(struct world *w, struct world_event *e)
{
	struct world_event *later;

	if (!e->blocked || w->now - e->sent_at > BLOCKED_MAX_MS)
		return 0;
	later = calloc(1, sizeof(*later));
	*later = *e;
	if (is_reached(w, e)) {
		later->blocked = 0;
		later->at =
			w->now + (rp_ms)(world_uniform(w) * RETRANSMIT_MAX_MS);
	} else {
		later->at = w->now + RETRANSMIT_MS;
	}
	add_event(w, later);
	return 1;
}

static void carry_out_late(struct world *w, struct world_event *e)
{
	struct world_target *t = e->target;
	const char *reason;

	if (t && is_blocked(w, e))
		return;
	if (!t || e->blocked || w->now < t->unresponsive_until ||
	    strcmp(e->id, t->listing.id) != 0)
		return;
	if (e->kind == WORLD_HOLD)
		world_target_hold(w, t, e, &reason);
	else if (e->kind == WORLD_START)
		world_target_start(w, t, e, &reason);
	else
		world_target_stop(w, t, e, &reason);
}

/*
 * A call to a target that restarts may be sent again, to the next incarnation:
 * see pool-resend.c.
 */
static int resend(struct world *w, const struct world_event *e)
{
	struct world_event *copy;

	if (w->now >= e->target->unresponsive_until || e->resent ||
	    !world_chance(w, w->resends))
		return 0;
	copy = calloc(1, sizeof(*copy));
	*copy = *e;
	copy->resent = copy->copied = 1;
	copy->acked_end = 0;
	copy->at = e->sent_at + RESEND_MS +
		   (rp_ms)(world_uniform(w) * (LOST_MS - RESEND_MS));
	if (copy->at <= w->now)
		copy->at = w->now + 1;
	add_event(w, copy);
	return 1;
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
		if (resend(w, e))
			return;
		keep_blocked(w, e);
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

void world_call(struct world *w, const struct world_event *call)
{
	struct world_event *e = calloc(1, sizeof(*e));

	*e = *call;
	e->sent_at = w->now;
	e->from = w->calling;
	e->at = w->now + w->delay;
	if (w->jitter)
		e->at += (rp_ms)(world_uniform(w) * (double)w->jitter);
	if (e->kind == WORLD_STOP)
		e->at += STOP_MS;
	if (e->kind == WORLD_START)
		e->at += e->target->start_delay;
	if (e->kind == WORLD_HOLD)
		e->wait_until += e->at;
	add_event(w, e);
}

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
		free_event(e);
	}
}

void world_end_calls(struct world *w, const struct sched *s)
{
	struct world_event **at = &w->events, *e;

	while ((e = *at)) {
		if (e->sched == s && e->kind >= WORLD_START_REPLY) {
			*at = e->next;
			free_event(e);
			continue;
		}
		if (e->sched == s)
			e->sched = NULL;
		at = &e->next;
	}
}

/* Puts the reply off, if its scheduler gets none yet. Returns whether it did.
 */
static int hold_back(struct world *w, struct world_event *e)
{
	rp_ms at = w->replies_at ? w->replies_at(w, e) : 0;

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
		free_event(e);
	}
}
