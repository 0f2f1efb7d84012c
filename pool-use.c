/*
 * What an operator is told of service that is missing: time without a leader,
 * and targets that the platform lists and this leader cannot use.
 */

#include "pool.h"

/* Time between counts, which look at all targets. */
#define COUNT_INTERVAL_MS 500
/* Time between warnings. */
#define WARN_INTERVAL_MS 5000
/* Time for which less than half of the listed targets may be in use. */
#define FEW_TARGETS_MS 2000

void pool_count_leaderless(struct pool *p, int alive)
{
	if (!alive && p->leader_checked_at)
		p->count.leaderless_ms +=
			(uint64_t)(p->now - p->leader_checked_at);
	p->leader_checked_at = p->now;
}

unsigned pool_targets_not_led(const struct pool *p)
{
	apr_hash_index_t *i;
	unsigned n = 0;
	void *value;

	for (i = apr_hash_first(NULL, p->listings); i; i = apr_hash_next(i)) {
		const struct pool_listing *e;

		apr_hash_this(i, NULL, NULL, &value);
		e = value;
		n += !e->removed && !pool_leads_domain(p, e->l.failure_domain);
	}
	return n;
}

void pool_check_targets_in_use(struct pool *p)
{
	unsigned counts[SCHED_USES], not_led, left;

	if (p->now - p->uses_counted_at < COUNT_INTERVAL_MS)
		return;
	p->uses_counted_at = p->now;
	sched_count_uses(&p->sched, p->now, counts);
	not_led = pool_targets_not_led(p);
	left = counts[SCHED_USE_NOT_HELD] + counts[SCHED_USE_UNANSWERED] +
	       counts[SCHED_USE_OTHER] + not_led;
	if (counts[SCHED_USE_AVAILABLE] >= left)
		p->few_targets_since = p->now;
	if (p->now - p->few_targets_since < FEW_TARGETS_MS ||
	    p->now - p->few_targets_warned_at < WARN_INTERVAL_MS)
		return;
	p->few_targets_warned_at = p->now;
	LOG_EVENT(LOG_LEVEL_WARN, "few_targets_in_use",
		  LOG_NUMBER("in_use", counts[SCHED_USE_AVAILABLE]),
		  LOG_NUMBER("not_held", counts[SCHED_USE_NOT_HELD]),
		  LOG_NUMBER("unanswered", counts[SCHED_USE_UNANSWERED]),
		  LOG_NUMBER("other", counts[SCHED_USE_OTHER]),
		  LOG_NUMBER("other_domains", not_led),
		  LOG_NUMBER("for_ms", p->now - p->few_targets_since),
		  LOG_NUMBER("provisional", lead_is_provisional(&p->lead)));
}
