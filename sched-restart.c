/*
 * Starts that may reach the next incarnation of their target.
 *
 * A start without a reply may be carried out seconds later. Once the target has
 * acknowledged a stop of the run, it refuses that start. A target that restarts
 * under its old id has no record of the stop, so the stop is sent again, and
 * the room of the run is kept until it is acknowledged.
 */

#include "sched-int.h"

#include <stdlib.h>
#include <string.h>

/* Starts of one target that are kept. */
#define LATE_STARTS_MAX 32

static struct sched_late_start *find_late(const struct sched_target *t,
					  struct rp_str name, uint32_t run)
{
	size_t i;

	for (i = 0; i < t->nlate_starts; i++)
		if (t->late_starts[i].run == run &&
		    str_eq(str_of(t->late_starts[i].name), name))
			return &t->late_starts[i];
	return NULL;
}

static void remove_late(struct sched_target *t, size_t i)
{
	t->nlate_restarted -= t->late_starts[i].restarted != 0;
	t->late_starts[i] = t->late_starts[--t->nlate_starts];
}

static void expire(struct sched_target *t)
{
	size_t i;

	for (i = t->nlate_starts; i-- > 0;)
		if (t->s->now >= t->late_starts[i].until)
			remove_late(t, i);
}

/* Returns the index of the start that is out of date first. */
static size_t oldest(const struct sched_target *t)
{
	size_t i, found = 0;

	for (i = 1; i < t->nlate_starts; i++)
		if (t->late_starts[i].until < t->late_starts[found].until)
			found = i;
	return found;
}

void sched_late_start_add(const struct sched_task *task)
{
	struct sched_target *t = task->target;
	struct sched_late_start *l;

	if (!task->start_is_late ||
	    t->s->now - task->sent_at >= LATE_CALL_MAX_MS)
		return;
	if (!t->late_starts)
		t->late_starts = calloc(LATE_STARTS_MAX, sizeof(*l));
	if (!t->late_starts)
		return;
	expire(t);
	if (t->nlate_starts == LATE_STARTS_MAX)
		remove_late(t, oldest(t));
	l = &t->late_starts[t->nlate_starts++];
	memset(l, 0, sizeof(*l));
	str_copy(l->name, sizeof(l->name), str_of(task->name));
	l->run = task->run;
	l->need = task->job->steps[task->step].need;
	l->until = task->sent_at + LATE_CALL_MAX_MS;
}

void sched_late_starts_restarted(struct sched_target *t)
{
	size_t i;

	expire(t);
	for (i = 0; i < t->nlate_starts; i++)
		t->late_starts[i].restarted = 1;
	t->nlate_restarted = t->nlate_starts;
}

void sched_late_starts_stop(struct sched_target *t)
{
	size_t i;

	expire(t);
	if (!t->nlate_restarted || t->s->suspended)
		return;
	for (i = 0; i < t->nlate_starts; i++)
		if (t->late_starts[i].restarted)
			t->s->ops->stop(t->s, t, str_of(t->late_starts[i].name),
					t->late_starts[i].run);
}

void sched_late_start_stopped(struct sched_target *t, struct rp_str name,
			      uint32_t run)
{
	struct sched_late_start *l = find_late(t, name, run);

	if (!l || !l->restarted)
		return;
	l->restarted = 0;
	t->nlate_restarted--;
}

void sched_late_starts_reserve(const struct sched_target *t,
			       struct sched_resources *room)
{
	size_t i;

	for (i = 0; t->nlate_restarted && i < t->nlate_starts; i++) {
		const struct sched_late_start *l = &t->late_starts[i];

		if (!l->restarted || t->s->now >= l->until)
			continue;
		room->cpu -= l->need.cpu;
		room->memory -= l->need.memory;
		room->accelerators -= l->need.accelerators;
	}
}
