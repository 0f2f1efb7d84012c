/*
 * Whether the store's list has all targets that a leader uses.
 *
 * Entries of targets that are cut off from the store expire there. A leader
 * that still reaches such targets goes on using them, and the list that its
 * successor reads lacks them. So the leader says in its heartbeats whether the
 * list has its targets. A successor that was not told so, or long ago, makes
 * jobs that the leader may have started wait until its leases are over.
 */

#include "pool-store.h"

/*
 * The store removes an entry that was not rewritten for three intervals. Of the
 * first two, the time is taken off that reading the entry may have taken, and
 * that a heartbeat may have been under way. In the third the successor has to
 * read the list.
 */
#define ENTRY_AGE_INTERVALS 2
#define READ_DELAY_MS 300
/* Age of the latest reply of the store, which is asked every 300 ms. */
#define LIST_AGE_MAX_MS 1000
/*
 * After a gap between leaders, or an outage of the store, that is longer than
 * this, entries of targets that the previous leader still uses may have
 * expired.
 */
#define LISTING_EXPIRY_MS 2500

/* --- on a leader -------------------------------------------------------- */

int pool_listing_is_confirmed(struct pool *p)
{
	rp_ms max_age = ENTRY_AGE_INTERVALS * p->set.entry_interval -
			LEAD_SILENCE_MAX_MS - READ_DELAY_MS;
	const struct pool_watch *w;

	if (!p->leading || !p->sched.targets_loaded ||
	    lead_is_provisional(&p->lead) ||
	    sched_prev_may_go_on(&p->sched, p->now))
		return 0;
	w = &store_of(p)->watches[WATCH_TARGETS];
	return w->complete && !w->lost &&
	       p->now - w->replied_at <= LIST_AGE_MAX_MS &&
	       sched_entries_are_current(&p->sched, p->now, max_age);
}

/* --- on its successor --------------------------------------------------- */

void pool_listing_heartbeat_received(struct pool *p, const PoolBeat *msg)
{
	if (msg->list_confirmed) {
		p->list_confirmed_fence = msg->fence;
		p->list_confirmed_at = p->now;
	} else if (p->list_confirmed_fence == msg->fence) {
		p->list_confirmed_fence = 0;
	}
}

/*
 * Rows that have expired during an outage of the store are written again within
 * two seconds of its return. The previous leader may be alive and use their
 * targets.
 */
static int entries_may_be_missing(const struct pool *p)
{
	return p->lead.store_lost ||
	       (p->store_back_at &&
		p->now - p->store_back_at < LISTING_EXPIRY_MS);
}

static const char *why_list_may_lack_targets(const struct pool *p)
{
	const struct lead *l = &p->lead;
	uint64_t prev = LEAD_TOKEN(LEAD_TERM(l->row.fence) - 1);

	if (LEAD_IS_PROVISIONAL(l->row.fence))
		return "this VM leads without the store";
	if (entries_may_be_missing(p))
		return "the store was away";
	if (l->prev_renewal_age > LISTING_EXPIRY_MS)
		return "the previous leader has not renewed";
	/* The first term has none before it; both are 0 then. */
	if (p->list_confirmed_fence != prev)
		return "the previous leader has not confirmed the list";
	return NULL;
}

void pool_listing_set_doubt(struct pool *p, const char *why)
{
	p->sched.prev_may_hold_unlisted = why != NULL;
	LOG_EVENT(LOG_LEVEL_INFO, "predecessor_list",
		  LOG_NUMBER("fence", (long long)p->lead.row.fence),
		  LOG_NUMBER("may_hold_unlisted", why != NULL),
		  LOG_TEXT("why", why ? why : ""),
		  LOG_NUMBER("confirmed_fence",
			     (long long)p->list_confirmed_fence),
		  LOG_NUMBER("confirmed_ms_ago",
			     p->list_confirmed_at
				     ? p->now - p->list_confirmed_at
				     : -1),
		  LOG_NUMBER("renewed_ms_ago", p->lead.prev_renewal_age));
}

void pool_listing_check_predecessor(struct pool *p)
{
	pool_listing_set_doubt(p, why_list_may_lack_targets(p));
}

void pool_listing_loaded(struct pool *p)
{
	if (!p->sched.targets_loaded && !p->sched.prev_may_hold_unlisted &&
	    p->list_confirmed_fence &&
	    p->now - p->list_confirmed_at > p->set.entry_interval)
		pool_listing_set_doubt(p, "the list was read late");
	sched_targets_loaded(&p->sched);
}
