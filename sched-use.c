/*
 * Which targets can be given tasks, and why the others cannot; whether the
 * platform lists those that are in use.
 */

#include "sched-int.h"

static const char *const names[SCHED_USES] = {
	[SCHED_USE_AVAILABLE] = "available",
	[SCHED_USE_LEAVING] = "leaving",
	[SCHED_USE_EVACUATED] = "evacuated",
	[SCHED_USE_NOT_HELD] = "not_held",
	[SCHED_USE_UNANSWERED] = "unanswered",
	[SCHED_USE_FOREIGN] = "foreign_runs",
	[SCHED_USE_OTHER] = "other",
};

const char *sched_use_name(enum sched_use use)
{
	return names[use];
}

static enum sched_use use_of(const struct sched_target *t, rp_ms now)
{
	if (sched_target_available(t, now))
		return SCHED_USE_AVAILABLE;
	if (!t->listed || !t->listing.ready)
		return SCHED_USE_LEAVING;
	if (t->evacuated)
		return SCHED_USE_EVACUATED;
	if (t->unanswered || t->domain->silent || now < t->backoff_until)
		return SCHED_USE_UNANSWERED;
	if (t->state != SCHED_HELD)
		return SCHED_USE_NOT_HELD;
	if (t->nforeign)
		return SCHED_USE_FOREIGN;
	return SCHED_USE_OTHER;
}

void sched_count_uses(const struct sched *s, rp_ms now,
		      unsigned counts[SCHED_USES])
{
	enum sched_use use;
	size_t i;

	for (use = 0; use < SCHED_USES; use++)
		counts[use] = 0;
	for (i = 0; i < s->ntargets; i++)
		counts[use_of(s->targets[i], now)]++;
}

void sched_targets_loaded(struct sched *s)
{
	s->targets_loaded = 1;
}

void sched_targets_cached(struct sched *s)
{
	s->targets_cached = 1;
}

void sched_target_entry_written(struct sched *s, const char *id, rp_ms at)
{
	struct sched_target *t = sched_find_target(s, id);

	if (t)
		t->entry_written_at = at;
}

/* A target that has not replied for so many leases is taken for gone. */
#define SILENT_LEASES 2

static int is_in_use(const struct sched_target *t, rp_ms now)
{
	return t->nruns ||
	       (t->listed && t->listing.ready &&
		!(t->unanswered &&
		  now - t->replied_at > SILENT_LEASES * t->s->max_lease));
}

int sched_entries_are_current(const struct sched *s, rp_ms now, rp_ms max_age)
{
	size_t i;

	for (i = 0; i < s->ntargets; i++) {
		const struct sched_target *t = s->targets[i];

		if (is_in_use(t, now) && (!t->entry_written_at ||
					  now - t->entry_written_at > max_age))
			return 0;
	}
	return 1;
}
