/* The platform's list of targets, as the store has it. */

#include "pool-store.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#define GONE_AFTER_MS 2500 /* entries lost in an outage are back within */

/* Targets missing from the list, until they are taken for gone. */
struct missing {
	struct missing *next;
	char id[RP_NAME_MAX];
	rp_ms since;
};

static void forget_missing(struct store *s, const char *id)
{
	struct missing **at = &s->missing, *m;

	while ((m = *at)) {
		if (strcmp(m->id, id) != 0) {
			at = &m->next;
			continue;
		}
		*at = m->next;
		free(m);
	}
}

static void add_missing(struct store *s, const char *id, rp_ms now)
{
	struct missing *m;

	for (m = s->missing; m; m = m->next)
		if (!strcmp(m->id, id))
			return;
	m = calloc(1, sizeof(*m));
	str_copy(m->id, sizeof(m->id), str_of(id));
	m->since = now;
	m->next = s->missing;
	s->missing = m;
}

static void log_bad_row(struct store *s, struct pool *p, const char *key,
			const char *why)
{
	if (apr_hash_get(s->unreadable_rows, key, APR_HASH_KEY_STRING))
		return;
	apr_hash_set(s->unreadable_rows, apr_pstrdup(p->pool, key),
		     APR_HASH_KEY_STRING, "");
	LOG_EVENT(LOG_LEVEL_WARN, "target_row_unreadable",
		  LOG_TEXT("target", key), LOG_TEXT("why", why));
}

/* Logs what changed for the scheduler, not each heartbeat. */
static void log_listing(struct pool *p, const struct sched_listing *l,
			int64_t version)
{
	const struct sched_target *t = sched_find_target(&p->sched, l->id);

	if (t && t->listed && t->is.ready == l->ready &&
	    t->is.born == l->born && !strcmp(t->is.address, l->address))
		return;
	LOG_EVENT(LOG_LEVEL_INFO, "target_listed", LOG_TEXT("target", l->id),
		  LOG_NUMBER("ready", l->ready), LOG_NUMBER("born", l->born),
		  LOG_NUMBER("version", version),
		  LOG_NUMBER("known", t != NULL));
}

/* Kept on every VM, for when the store cannot be read. */
static void keep_listing(struct pool *p, const struct sched_listing *l)
{
	struct sched_listing *kept =
		apr_hash_get(p->listings, l->id, APR_HASH_KEY_STRING);

	if (!kept) {
		kept = apr_palloc(p->pool, sizeof(*kept));
		memcpy(kept->id, l->id, sizeof(kept->id));
		apr_hash_set(p->listings, kept->id, APR_HASH_KEY_STRING, kept);
	}
	*kept = *l;
}

static void mark_seen(struct pool_watch *w, const char *id)
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

void pool_listing_row(struct pool_watch *w, const struct platform_row *row)
{
	struct pool *p = w->p;
	struct store *s = store_of(p);
	struct sched_listing l;
	char why[PLATFORM_WHY];

	if (!row->value) {
		apr_hash_set(p->listings, row->key, APR_HASH_KEY_STRING, NULL);
		if (p->leading && sched_find_target(&p->sched, row->key))
			add_missing(s, row->key, p->now);
		return;
	}
	if (platform_read_listing(&l, row->key, row->value, row->len, why)) {
		log_bad_row(s, p, row->key, why);
		return;
	}
	keep_listing(p, &l);
	if (!p->leading)
		return;
	forget_missing(s, l.id);
	mark_seen(w, l.id);
	log_listing(p, &l, row->version);
	pool_sched_target_listed(p, &l);
}

/* After all rows were read: what is known and was not among them. */
void pool_listing_complete(struct pool_watch *w)
{
	struct pool *p = w->p;
	struct store *s = store_of(p);
	size_t i;

	if (p->leading)
		sched_list_read(&p->sched);
	for (i = 0; p->leading && i < p->sched.ntargets; i++) {
		const char *id = p->sched.targets[i]->is.id;
		uint32_t *round =
			apr_hash_get(s->listed_rounds, id, APR_HASH_KEY_STRING);

		if (!round || *round != w->round)
			add_missing(s, id, p->now);
	}
}

/* An entry lost in an outage of the store comes back; a target's does not. */
void pool_listing_tick(struct pool *p)
{
	struct store *s = store_of(p);
	struct pool_watch *w = &s->watches[WATCH_TARGETS];
	struct missing *m, *next;

	if (w->lost || !w->complete)
		return;
	for (m = s->missing; m; m = next) {
		next = m->next;
		if (p->now - m->since < GONE_AFTER_MS)
			continue;
		LOG_EVENT(LOG_LEVEL_INFO, "target_unlisted",
			  LOG_TEXT("target", m->id),
			  LOG_NUMBER("missing_ms", p->now - m->since));
		if (p->leading)
			sched_unlisted(&p->sched, m->id, p->now);
		forget_missing(s, m->id);
	}
}

/* The time away does not count for entries that went. */
void pool_listing_regained(struct pool_watch *w)
{
	struct missing *m;

	for (m = store_of(w->p)->missing; m; m = m->next)
		m->since = w->p->now;
}

void pool_listing_clear_missing(struct pool *p)
{
	struct store *s = store_of(p);

	while (s->missing)
		forget_missing(s, s->missing->id);
}
