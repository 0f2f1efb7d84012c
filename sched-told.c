/*
 * Ends of runs that must not be acknowledged to their targets yet.
 *
 * A target drops an end from its list once it is acknowledged. Until the job's
 * owner has acknowledged the message about the end, that list is the only
 * record of it that survives this scheduler. A successor reads it there and
 * does not run the task again.
 *
 * No task is started after its success, or the last failure that is allowed,
 * was acknowledged. If the start of another run of the task is on its way, the
 * end waits until that is over.
 */

#include "sched-int.h"

#include <stdlib.h>
#include <string.h>

/*
 * Ends that a target keeps at most for jobs that may be submitted again. It
 * returns them all with each list, 500 at a time: later ones would not be seen.
 */
#define ENDS_KEPT_MAX 250

/* An end without an owner is kept as one that no job claims, sched-adopt.c. */
static rp_ms kept_without_owner(const struct sched *s, rp_ms needed_until)
{
	rp_ms until = s->now + s->default_wait;

	return s->default_wait && needed_until > until ? until : needed_until;
}

void sched_unacked_add(struct sched_target *t, uint64_t number, void *owner,
		       uint64_t mark, rp_ms needed_until)
{
	if (!mark)
		return;
	if (t->nunacked == t->cap_unacked) {
		t->cap_unacked = t->cap_unacked * 2 + 8;
		t->unacked = realloc(t->unacked,
				     t->cap_unacked * sizeof(*t->unacked));
	}
	t->unacked[t->nunacked++] = (struct sched_unacked_end){
		.number = number,
		.owner = owner,
		.mark = mark,
		.needed_until = owner ? needed_until
				      : kept_without_owner(t->s, needed_until),
	};
}

void sched_unacked_add_unclaimed(struct sched_target *t, uint64_t number)
{
	sched_unacked_add(t, number, NULL, SCHED_ALL_MARKS, 0);
}

int sched_unacked_is_slow(const struct sched_target *t)
{
	size_t i;

	for (i = 0; i < t->nunacked; i++)
		if (!t->unacked[i].owner || t->unacked[i].other_run)
			return 1;
	return 0;
}

static void remove_at(struct sched_target *t, size_t i)
{
	memmove(t->unacked + i, t->unacked + i + 1,
		(--t->nunacked - i) * sizeof(*t->unacked));
}

/* The owner knows of the end, or nobody needs to. */
static void told(struct sched_target *t, size_t i)
{
	t->unacked[i].mark = 0;
	if (!t->unacked[i].other_run)
		remove_at(t, i);
}

void sched_unacked_resolve(struct sched_target *t, uint64_t number, void *owner,
			   uint64_t mark, rp_ms needed_until)
{
	size_t i;

	for (i = 0; i < t->nunacked; i++) {
		if (t->unacked[i].number != number)
			continue;
		t->unacked[i].owner = owner;
		t->unacked[i].mark = mark;
		t->unacked[i].needed_until = needed_until;
		if (!mark)
			told(t, i);
		return;
	}
}

void sched_unacked_await_run(struct sched_target *t, uint64_t number,
			     struct sched_task *task)
{
	size_t i;

	for (i = 0; i < t->nunacked; i++)
		if (t->unacked[i].number == number) {
			t->unacked[i].other_run = task;
			task->delays_ack = 1;
		}
}

static void end_wait(struct sched_target *t, const struct sched_task *task)
{
	size_t i, before = t->nunacked;

	for (i = t->nunacked; i-- > 0;) {
		if (t->unacked[i].other_run != task)
			continue;
		t->unacked[i].other_run = NULL;
		if (!t->unacked[i].mark)
			remove_at(t, i);
	}
	if (before && !t->nunacked)
		sched_target_hold(t);
}

void sched_unacked_run_over(struct sched_task *task)
{
	struct sched *s = task->job->s;
	size_t i;

	task->delays_ack = 0;
	for (i = 0; i < s->ntargets; i++)
		end_wait(s->targets[i], task);
}

uint64_t sched_ackable_end(const struct sched_target *t)
{
	uint64_t until = t->ends_seen;
	size_t i;

	for (i = 0; i < t->nunacked; i++)
		if (t->unacked[i].number <= until)
			until = t->unacked[i].number - 1;
	return until;
}

/* Removes the ends reported to the owner in messages up to the mark. */
static void remove_acked(struct sched_target *t, const void *owner,
			 uint64_t mark)
{
	size_t i, before = t->nunacked;

	for (i = t->nunacked; i-- > 0;)
		if (t->unacked[i].owner == owner && t->unacked[i].mark <= mark)
			told(t, i);
	if (before && !t->nunacked)
		sched_target_hold(t);
}

void sched_owner_acked(struct sched *s, void *owner, uint64_t mark, rp_ms now)
{
	size_t i;

	s->now = now;
	sched_losses_acked(s, owner, mark);
	sched_domains_acked(s, owner, mark);
	for (i = 0; i < s->ntargets; i++)
		if (s->targets[i]->nunacked)
			remove_acked(s->targets[i], owner, mark);
}

rp_ms sched_unacked_needed_until(const struct sched_target *t)
{
	rp_ms until = 0;
	size_t i;

	for (i = 0; i < t->nunacked; i++)
		if (t->unacked[i].needed_until > until)
			until = t->unacked[i].needed_until;
	return until;
}

static void owner_lost(const struct sched *s, struct sched_unacked_end *e)
{
	e->owner = NULL;
	e->needed_until = kept_without_owner(s, e->needed_until);
}

void sched_unacked_owner_lost(struct sched *s, const void *owner)
{
	size_t i, j;

	for (i = 0; i < s->ntargets; i++)
		for (j = 0; j < s->targets[i]->nunacked; j++)
			if (s->targets[i]->unacked[j].owner == owner)
				owner_lost(s, &s->targets[i]->unacked[j]);
}

int sched_unacked_is_full(const struct sched_target *t)
{
	return t->nunacked &&
	       t->ends_seen - sched_ackable_end(t) >= ENDS_KEPT_MAX;
}

void sched_unacked_expire(struct sched_target *t)
{
	int full = sched_unacked_is_full(t);
	size_t i;

	for (i = t->nunacked; i-- > 0;) {
		const struct sched_unacked_end *e = &t->unacked[i];

		if (!e->owner && e->needed_until &&
		    (full || t->s->now >= e->needed_until))
			told(t, i);
	}
}
