/*
 * Ends that are not acknowledged yet, since their owners may not know.
 *
 * A target forgets an end that is acknowledged. Until a job's owner has been
 * told of it, the target's list is the only trace of it that outlives this
 * scheduler: its successor reads it there and does not run the task again.
 */

#include "scheduler.h"

#include <stdlib.h>
#include <string.h>

void sched_told_add(struct sched_target *t, uint64_t number, void *owner,
		    uint64_t mark)
{
	if (!mark)
		return;
	if (t->ntold == t->cap_told) {
		t->cap_told = t->cap_told * 2 + 8;
		t->told = realloc(t->told, t->cap_told * sizeof(*t->told));
	}
	t->told[t->ntold++] = (struct sched_told){ number, owner, mark };
}

void sched_told_keep(struct sched_target *t, uint64_t number)
{
	sched_told_add(t, number, NULL, SCHED_ALL_MARKS);
}

int sched_told_unclaimed(const struct sched_target *t)
{
	size_t i;

	for (i = 0; i < t->ntold; i++)
		if (!t->told[i].owner)
			return 1;
	return 0;
}

static void drop(struct sched_target *t, size_t i)
{
	memmove(t->told + i, t->told + i + 1,
		(--t->ntold - i) * sizeof(*t->told));
}

void sched_told_set(struct sched_target *t, uint64_t number, void *owner,
		    uint64_t mark)
{
	size_t i;

	for (i = 0; i < t->ntold; i++) {
		if (t->told[i].number != number)
			continue;
		t->told[i].owner = owner;
		t->told[i].mark = mark;
		if (!mark)
			drop(t, i);
		return;
	}
}

uint64_t sched_told_until(const struct sched_target *t)
{
	uint64_t until = t->ends_seen;
	size_t i;

	for (i = 0; i < t->ntold; i++)
		if (t->told[i].number <= until)
			until = t->told[i].number - 1;
	return until;
}

/* Drops what the owner was told by messages up to the mark. */
static void heard(struct sched_target *t, const void *owner, uint64_t mark)
{
	size_t i, before = t->ntold;

	for (i = t->ntold; i-- > 0;)
		if (t->told[i].owner == owner && t->told[i].mark <= mark)
			drop(t, i);
	if (before && !t->ntold)
		sched_target_hold(t);
}

void sched_heard(struct sched *s, void *owner, uint64_t mark, rp_ms now)
{
	size_t i;

	s->now = now;
	for (i = 0; i < s->ntargets; i++)
		if (s->targets[i]->ntold)
			heard(s->targets[i], owner, mark);
}
