/* The platform's list of targets: rows of the store that targets write. */

#include "pool-store.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

/*
 * A missing target counts as removed after this time. Targets write a row that
 * the store lost in an outage again sooner.
 */
#define REMOVED_AFTER_MS 2500
/* Time for which a new leader awaits the list; a claim is awaited as long. */
#define LIST_PATIENCE_MS LEAD_CLAIM_PATIENCE_MS

/* A target whose row is missing, but that is not removed yet. */
struct missing_target {
	struct missing_target *next;
	char id[RP_NAME_MAX];
	rp_ms since; /* when the row was found missing, or the outage ended */
};

/* id may be that of the list's member, which is freed. */
static void remove_missing(struct store *s, const char *id)
{
	struct missing_target **at = &s->missing, *m;

	while ((m = *at) && strcmp(m->id, id) != 0)
		at = &m->next;
	if (!m)
		return;
	*at = m->next;
	free(m);
}

static void add_missing(struct pool *p, const char *id)
{
	struct store *s = store_of(p);
	struct missing_target *m;

	sched_target_entry_written(&p->sched, id, 0);
	for (m = s->missing; m; m = m->next)
		if (!strcmp(m->id, id))
			return;
	m = calloc(1, sizeof(*m));
	str_copy(m->id, sizeof(m->id), str_of(id));
	m->since = p->now;
	m->next = s->missing;
	s->missing = m;
}

/*
 * Logs a listing if it changes anything for the scheduler. Targets also rewrite
 * their rows unchanged, as heartbeats.
 */
static void log_listing(struct pool *p, const struct sched_listing *l,
			int64_t version)
{
	const struct sched_target *t = sched_find_target(&p->sched, l->id);

	if (t && t->listed && t->listing.ready == l->ready &&
	    t->listing.incarnation == l->incarnation &&
	    !strcmp(t->listing.address, l->address))
		return;
	LOG_EVENT(LOG_LEVEL_INFO, "target_listed", LOG_TEXT("target", l->id),
		  LOG_TEXT("address", l->address),
		  LOG_NUMBER("ready", l->ready),
		  LOG_NUMBER("born", l->incarnation),
		  LOG_NUMBER("cpu", l->capacity.cpu),
		  LOG_NUMBER("known_born", t ? t->incarnation : 0),
		  LOG_NUMBER("used_cpu", t ? t->used.cpu : 0),
		  LOG_NUMBER("version", version),
		  LOG_NUMBER("known", t != NULL));
}

/* Records that the current full read has listed the target. */
static void set_listed_round(struct pool_watch *w, const char *id)
{
	struct store *s = store_of(w->p);
	uint32_t *round =
		apr_hash_get(s->listed_rounds, id, APR_HASH_KEY_STRING);

	if (!round) {
		round = apr_palloc(w->p->pool, sizeof(*round));
		apr_hash_set(s->listed_rounds, apr_pstrdup(w->p->pool, id),
			     APR_HASH_KEY_STRING, round);
	}
	*round = w->round;
}

static void log_malformed(struct pool *p, const char *key, const char *error)
{
	if (!pool_row_fault_is_new(p, key))
		return;
	LOG_EVENT(LOG_LEVEL_WARN, "target_row_unreadable",
		  LOG_TEXT("target", key), LOG_TEXT("why", error),
		  LOG_NUMBER("known",
			     p->leading && sched_find_target(&p->sched, key)));
}

/*
 * A malformed entry names no target. That of a known target counts as missing:
 * what its last good entry said holds for a while. A new leader lists the
 * target by that entry, as runs of the leader before may be there.
 */
static void malformed_row(struct pool_watch *w, const char *key,
			  const char *error)
{
	struct pool *p = w->p;
	const struct pool_listing *e =
		apr_hash_get(p->listings, key, APR_HASH_KEY_STRING);

	log_malformed(p, key, error);
	if (!p->leading)
		return;
	if (e && !e->removed) {
		set_listed_round(w, key);
		if (!sched_find_target(&p->sched, key))
			pool_list_cached_target(p, e);
	} else if (!w->complete && !p->listing_version &&
		   !p->sched.prev_may_hold_unlisted) {
		pool_listing_set_doubt(p, "an entry is malformed");
	}
	if (sched_find_target(&p->sched, key))
		add_missing(p, key);
}

/*
 * A row that is read again, or for the first time, may have been written long
 * ago.
 */
static void note_rewritten(struct pool *p, const char *id, int64_t version)
{
	struct pool_listing *e =
		apr_hash_get(p->listings, id, APR_HASH_KEY_STRING);

	if (e->row_version && e->row_version != version)
		sched_target_entry_written(&p->sched, id, p->now);
	e->row_version = version;
}

void pool_listing_row(struct pool_watch *w, const struct platform_row *row)
{
	struct pool *p = w->p;
	struct store *s = store_of(p);
	struct sched_listing l;
	char error[PLATFORM_ERROR_MAX];

	if (!row->value) {
		pool_share_removed(p, row->key, row->version);
		if (p->leading && sched_find_target(&p->sched, row->key))
			add_missing(p, row->key);
		return;
	}
	if (platform_parse_listing(&l, row->key, row->value, row->len, error)) {
		malformed_row(w, row->key, error);
		return;
	}
	pool_share_listed(p, &l, row->version);
	if (!p->leading)
		return;
	remove_missing(s, l.id);
	set_listed_round(w, l.id);
	log_listing(p, &l, row->version);
	pool_sched_target_listed(p, &l);
	note_rewritten(p, l.id, row->version);
}

/* Removes the entries that a full read has not listed. */
static void remove_unlisted(struct pool_watch *w)
{
	apr_hash_index_t *i;
	void *value;

	for (i = apr_hash_first(NULL, w->p->listings); i;
	     i = apr_hash_next(i)) {
		const struct pool_listing *e;
		const uint32_t *round;

		apr_hash_this(i, NULL, NULL, &value);
		e = value;
		round = apr_hash_get(store_of(w->p)->listed_rounds, e->l.id,
				     APR_HASH_KEY_STRING);
		if (!round || *round != w->round)
			pool_share_removed(w->p, e->l.id, w->first_version);
	}
}

/* Adds the scheduler's targets that a full read has not listed as missing. */
void pool_listing_complete(struct pool_watch *w)
{
	struct pool *p = w->p;
	struct store *s = store_of(p);
	size_t i;

	remove_unlisted(w);

	if (p->leading)
		pool_listing_loaded(p);
	for (i = 0; p->leading && i < p->sched.ntargets; i++) {
		const char *id = p->sched.targets[i]->listing.id;
		uint32_t *round =
			apr_hash_get(s->listed_rounds, id, APR_HASH_KEY_STRING);

		if (!round || *round != w->round)
			add_missing(p, id);
	}
}

/*
 * The store may go away right after it has named this leader. Targets that the
 * leader before has told of are used until the list is read, as a provisional
 * leader does. Jobs that were started before still wait, as the list may lack
 * targets.
 */
static void use_cached_list(struct pool *p)
{
	if (p->sched.targets_loaded || p->sched.targets_cached ||
	    !p->listing_version ||
	    p->now - p->sched.started_at < LIST_PATIENCE_MS)
		return;
	LOG_EVENT(LOG_LEVEL_WARN, "cached_list_used",
		  LOG_NUMBER("version", (long long)p->listing_version),
		  LOG_NUMBER("led_ms", p->now - p->sched.started_at),
		  LOG_NUMBER("store_lost", p->lead.store_lost));
	pool_list_cached_targets(p);
	sched_targets_cached(&p->sched);
}

void pool_listing_tick(struct pool *p)
{
	struct store *s = store_of(p);
	struct pool_watch *w = &s->watches[WATCH_TARGETS];
	struct missing_target *m, *next;

	if (p->leading)
		use_cached_list(p);
	if (w->lost || !w->complete)
		return;
	for (m = s->missing; m; m = next) {
		next = m->next;
		if (p->now - m->since < REMOVED_AFTER_MS)
			continue;
		LOG_EVENT(LOG_LEVEL_INFO, "target_unlisted",
			  LOG_TEXT("target", m->id),
			  LOG_NUMBER("missing_ms", p->now - m->since));
		if (p->leading)
			sched_target_unlisted(&p->sched, m->id, p->now);
		pool_share_removed(p, m->id, p->listing_version);
		remove_missing(s, m->id);
	}
}

/*
 * Restarts the time of all missing targets, as the time of an outage of the
 * store does not count.
 */
void pool_listing_regained(struct pool_watch *w)
{
	struct missing_target *m;

	for (m = store_of(w->p)->missing; m; m = m->next)
		m->since = w->p->now;
}

void pool_listing_clear_missing(struct pool *p)
{
	struct store *s = store_of(p);

	while (s->missing)
		remove_missing(s, s->missing->id);
}
