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
/* Time of a takeover in which each count is logged. */
#define TAKEOVER_MS 1000

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

/* Listed targets, of all domains, as far as this VM knows. */
static unsigned count_listed(const struct pool *p)
{
	apr_hash_index_t *i;
	unsigned n = 0;
	void *value;

	for (i = apr_hash_first(NULL, p->listings); i; i = apr_hash_next(i)) {
		apr_hash_this(i, NULL, NULL, &value);
		n += !((const struct pool_listing *)value)->removed;
	}
	return n;
}

static enum sched_use most_common(const unsigned counts[SCHED_USES])
{
	enum sched_use use, most = SCHED_USE_AVAILABLE;

	for (use = 0; use < SCHED_USES; use++)
		if (counts[use] > counts[most])
			most = use;
	return most;
}

/* Logs what most targets are used for, at a takeover and when that changes. */
static void log_uses(struct pool *p, const unsigned counts[SCHED_USES],
		     unsigned not_led)
{
	enum sched_use most = most_common(counts);

	if (p->uses_logged_fence == p->sched.fence &&
	    p->most_common_use == most &&
	    p->now - p->sched.started_at > TAKEOVER_MS)
		return;
	p->uses_logged_fence = p->sched.fence;
	p->most_common_use = most;
	LOG_EVENT(counts[SCHED_USE_AVAILABLE] && most == SCHED_USE_AVAILABLE
			  ? LOG_LEVEL_INFO
			  : LOG_LEVEL_WARN,
		  "targets_in_use",
		  LOG_NUMBER("fence", (long long)p->sched.fence),
		  LOG_NUMBER("led_ms", p->now - p->sched.started_at),
		  LOG_NUMBER("list_read", p->sched.targets_loaded),
		  LOG_NUMBER("suspended", p->sched.suspended),
		  LOG_NUMBER("holds", (long long)p->sched.count.holds),
		  LOG_NUMBER("listed", count_listed(p)),
		  LOG_NUMBER("known", (long long)p->sched.ntargets),
		  LOG_NUMBER("other_domains", not_led),
		  LOG_NUMBER("available", counts[SCHED_USE_AVAILABLE]),
		  LOG_NUMBER("leaving", counts[SCHED_USE_LEAVING]),
		  LOG_NUMBER("evacuated", counts[SCHED_USE_EVACUATED]),
		  LOG_NUMBER("not_held", counts[SCHED_USE_NOT_HELD]),
		  LOG_NUMBER("unanswered", counts[SCHED_USE_UNANSWERED]),
		  LOG_NUMBER("foreign_runs", counts[SCHED_USE_FOREIGN]),
		  LOG_NUMBER("other", counts[SCHED_USE_OTHER]));
}

void pool_check_targets_in_use(struct pool *p)
{
	unsigned counts[SCHED_USES], not_led, left;

	if (p->now - p->uses_counted_at < COUNT_INTERVAL_MS)
		return;
	p->uses_counted_at = p->now;
	sched_count_uses(&p->sched, p->now, counts);
	not_led = pool_targets_not_led(p);
	log_uses(p, counts, not_led);
	left = counts[SCHED_USE_NOT_HELD] + counts[SCHED_USE_UNANSWERED] +
	       counts[SCHED_USE_FOREIGN] + counts[SCHED_USE_OTHER] + not_led;
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
		  LOG_NUMBER("foreign_runs", counts[SCHED_USE_FOREIGN]),
		  LOG_NUMBER("other", counts[SCHED_USE_OTHER]),
		  LOG_NUMBER("other_domains", not_led),
		  LOG_NUMBER("for_ms", p->now - p->few_targets_since),
		  LOG_NUMBER("provisional", lead_is_provisional(&p->lead)));
}
