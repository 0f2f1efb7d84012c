/*
 * Failure domains that an operator has evacuated: rows of the operator's table,
 * which every VM follows. Heartbeats carry them as well, to VMs that have lost
 * the store. The higher version of the store wins.
 */

#include "pool-store.h"

#include <stdlib.h>
#include <string.h>

/* Time that a new leader waits for its first read of the operator's table. */
#define KNOWN_WITHIN_MS 1000

static struct pool_evacuation *find(struct pool *p, const char *failure_domain)
{
	size_t i;

	for (i = 0; i < p->nevacuations; i++)
		if (!strcmp(p->evacuations[i].failure_domain, failure_domain))
			return &p->evacuations[i];
	return NULL;
}

/* Returns a free entry, or the oldest of those that are not evacuated. */
static struct pool_evacuation *allocate(struct pool *p)
{
	struct pool_evacuation *oldest = NULL;
	size_t i;

	if (p->nevacuations < POOL_EVACUATIONS_MAX)
		return &p->evacuations[p->nevacuations++];
	for (i = 0; i < p->nevacuations; i++) {
		struct pool_evacuation *e = &p->evacuations[i];

		if (!e->active && (!oldest || e->version < oldest->version))
			oldest = e;
	}
	return oldest;
}

/* Returns the entry of the domain, or NULL if there are too many. */
static struct pool_evacuation *get(struct pool *p, const char *failure_domain)
{
	struct pool_evacuation *e = find(p, failure_domain);

	if (e)
		return e;
	e = allocate(p);
	if (!e) {
		log_warn("evacuation", failure_domain,
			 "not applied: %d failure domains are evacuated",
			 POOL_EVACUATIONS_MAX);
		return NULL;
	}
	memset(e, 0, sizeof(*e));
	str_copy(e->failure_domain, sizeof(e->failure_domain),
		 str_of(failure_domain));
	return e;
}

static size_t targets_in(const struct pool *p, const char *failure_domain)
{
	size_t i, n = 0;

	for (i = 0; p->leading && i < p->sched.ntargets; i++)
		n += !strcmp(p->sched.targets[i]->listing.failure_domain,
			     failure_domain);
	return n;
}

void pool_evacuation_set(struct pool *p, const char *failure_domain, int active,
			 int64_t version, const char *source)
{
	struct pool_evacuation *e;

	if (!failure_domain[0] || strlen(failure_domain) >= RP_NAME_MAX)
		return;
	e = find(p, failure_domain);
	if (e ? version <= e->version : !active)
		return;
	if (!e)
		e = get(p, failure_domain);
	if (!e)
		return;
	e->version = version;
	if (e->active == active)
		return;
	e->active = active;
	/* Without targets, the domain may be unknown or not listed yet. */
	LOG_EVENT(LOG_LEVEL_INFO,
		  active ? "evacuation_begun" : "evacuation_ended",
		  LOG_TEXT("failure_domain", failure_domain),
		  LOG_NUMBER("version", version), LOG_TEXT("source", source),
		  LOG_NUMBER("leading", p->leading),
		  LOG_NUMBER("targets",
			     (long long)targets_in(p, failure_domain)));
	if (!p->leading)
		return;
	sched_set_evacuated(&p->sched, failure_domain, active, p->now);
	p->dispatch_due = 1;
}

void pool_evacuation_row(struct pool_watch *w, const struct platform_row *row)
{
	const char *failure_domain =
		row->key + strlen(PLATFORM_EVACUATION_PREFIX);
	struct pool_evacuation *e;

	if (!*failure_domain || strlen(failure_domain) >= RP_NAME_MAX) {
		if (pool_row_fault_is_new(w->p, row->key))
			log_warn("evacuation", "store",
				 "not applied: no valid failure domain in %s",
				 row->key);
		return;
	}
	if (row->value && !platform_evacuation_is_valid(row->value, row->len) &&
	    pool_row_fault_is_new(w->p, row->key))
		log_warn("evacuation", "store",
			 "applied, though the value of %s is not an object",
			 row->key);
	pool_evacuation_set(w->p, failure_domain, row->value != NULL,
			    row->version, "store");
	e = find(w->p, failure_domain);
	if (e)
		e->round = w->round;
}

/* A row that a full read has not found was removed before the read. */
void pool_evacuations_complete(struct pool_watch *w)
{
	struct pool *p = w->p;
	size_t i;

	for (i = 0; i < p->nevacuations; i++) {
		struct pool_evacuation *e = &p->evacuations[i];

		if (e->active && e->round != w->round)
			pool_evacuation_set(p, e->failure_domain, 0,
					    w->first_version, "store");
	}
	p->evacuations_known = 1;
	if (p->leading)
		sched_evacuations_known(&p->sched, p->now);
}

void pool_evacuations_received(struct pool *p, const PoolBeat *msg)
{
	size_t i;

	for (i = 0; i < msg->n_evacuations; i++) {
		const PoolEvacuation *e = msg->evacuations[i];

		/* Up to that version, this VM knows better than the sender. */
		if (e->version <= p->operator_version)
			continue;
		pool_evacuation_set(p, e->failure_domain, e->active != 0,
				    e->version, msg->vm);
	}
}

size_t pool_evacuations_list(const struct pool *p, PoolEvacuation *list,
			     size_t max)
{
	size_t i;

	for (i = 0; i < p->nevacuations && i < max; i++) {
		const struct pool_evacuation *e = &p->evacuations[i];

		pool_evacuation__init(&list[i]);
		list[i].failure_domain = (char *)e->failure_domain;
		list[i].active = e->active;
		list[i].version = e->version;
	}
	return i;
}

size_t pool_evacuations_active(const struct pool *p)
{
	size_t i, n = 0;

	for (i = 0; i < p->nevacuations; i++)
		n += (size_t)p->evacuations[i].active;
	return n;
}

void pool_evacuations_begin(struct pool *p)
{
	size_t i;

	for (i = 0; i < p->nevacuations; i++)
		if (p->evacuations[i].active)
			sched_set_evacuated(&p->sched,
					    p->evacuations[i].failure_domain, 1,
					    p->now);
	/*
	 * A provisional leader does not wait, as the store may be unreachable
	 * for long.
	 */
	if (!p->evacuations_known && !lead_is_provisional(&p->lead))
		sched_await_evacuations(&p->sched, p->now + KNOWN_WITHIN_MS);
}
