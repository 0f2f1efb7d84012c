/*
 * Failure domains that have fallen silent.
 *
 * Idle targets are seldom called, so a cut of their failure domain would show
 * only once tasks were started on them. While the targets of a domain that are
 * called do not reply, its other targets are given no tasks.
 *
 * Load pattern: a failure domain is cut off while many of its targets are idle.
 */

#include "sched-int.h"

#include <apr_strings.h>

/* Time without any reply from the domain, and targets that do not reply. */
#define SILENT_MS 150
#define SILENT_TARGETS 2
/* Interval between calls to idle targets of a silent domain. */
#define PROBE_INTERVAL_MS 250

struct sched_failure_domain *sched_get_domain(struct sched *s, const char *name)
{
	struct sched_failure_domain *d =
		apr_hash_get(s->domains, name, APR_HASH_KEY_STRING);

	if (d)
		return d;
	d = apr_pcalloc(s->pool, sizeof(*d));
	d->replied_at = s->now;
	apr_hash_set(s->domains, apr_pstrdup(s->pool, name),
		     APR_HASH_KEY_STRING, d);
	return d;
}

/* Sets whether the target's domain is silent. */
static void set_silent(struct sched_target *t, int silent)
{
	struct sched_failure_domain *d = t->domain;

	if (d->silent == silent)
		return;
	d->silent = silent;
	sched_service_changed(t->service);
	t->s->ops->log_domain(t);
}

void sched_silence_replied(struct sched_target *t)
{
	set_silent(t, 0);
	t->replied_at = t->domain->replied_at = t->s->now;
}

void sched_silence_tick(struct sched *s)
{
	apr_hash_index_t *h;
	void *value;
	size_t i;

	for (h = apr_hash_first(NULL, s->domains); h; h = apr_hash_next(h)) {
		apr_hash_this(h, NULL, NULL, &value);
		((struct sched_failure_domain *)value)->nunanswered = 0;
	}
	for (i = 0; i < s->ntargets; i++) {
		struct sched_target *t = s->targets[i];
		struct sched_failure_domain *d = t->domain;

		/* One lost before that reply does not tell of the others. */
		if (t->unanswered && t->unanswered_since > d->replied_at &&
		    t->unanswered_sent_at > d->replied_at &&
		    ++d->nunanswered >= SILENT_TARGETS &&
		    s->now - d->replied_at >= SILENT_MS)
			set_silent(t, 1);
	}
}

int sched_silence_probe(struct sched_target *t)
{
	struct sched_failure_domain *d = t->domain;

	if (!d->silent || t->unanswered || t->s->now < d->probe_at)
		return 0;
	d->probe_at = t->s->now + PROBE_INTERVAL_MS;
	return 1;
}
