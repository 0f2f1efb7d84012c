#ifndef REGRESS_FAKE_TABLE_H
#define REGRESS_FAKE_TABLE_H

/*
 * A fake of the platform's table in logical time, shared by several kernels.
 * Faults: outage, silence, delay, and lost answers to calls that took effect or
 * that take effect only after the caller's timeout.
 */

#include <stdlib.h>
#include <string.h>

#include "rosemary-int.h"

/* A row of the table. */
struct fake_row {
	char *name;
	char *value;
	int64_t version;
};

/* A call in progress. */
struct fake_call {
	int node;		  /* the node that made the call */
	struct rp_action request; /* owns its rows and data */
	rp_ms effect_at;	  /* < 0: never, or already done */
	rp_ms answer_at;	  /* < 0: never, or already done */
	enum rp_platform_outcome outcome;
	int answer_lost; /* the caller gets no answer but RP_PLATFORM_LOST */
	struct rp_row *rows; /* rows of the answer */
	size_t nrows;
	struct fake_call *next;
};

struct fake_platform {
	struct fake_row *rows; /* sorted by name */
	size_t nrows, cap;
	int64_t last_version;
	struct fake_call *calls; /* oldest first */
	uint64_t random;
	/* faults */
	int outage;		 /* calls are refused and have no effect */
	int silent;		 /* calls have no effect and get no answer */
	rp_ms delay;		 /* one-way delay, ms */
	rp_ms delay_jitter;	 /* largest random addition to the delay, ms */
	int lost_answer_percent; /* calls that take effect, answer lost */
	/* Of the other calls: answer lost, effect after the timeout. */
	int late_effect_percent;
	/* counters */
	uint64_t reads, writes, commits, calls_total;
	/* answer to RP_PLATFORM_LIST */
	const struct rp_vm *vms;
	size_t nvms;
};

typedef void (*fake_deliver)(void *ctx, int node, const struct rp_event *ev);

/* Whether the name sorts before s. */
static inline int fake_name_before(const char *name, struct rp_str s)
{
	size_t len = strlen(name);
	int d = memcmp(name, s.ptr, len < s.len ? len : s.len);

	return d < 0 || (!d && len < s.len);
}

/* Index of the first row whose name doesn't sort before s. */
static inline size_t fake_lower_bound(const struct fake_platform *p,
				      struct rp_str s)
{
	size_t lo = 0, hi = p->nrows;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (fake_name_before(p->rows[mid].name, s))
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static inline struct fake_row *fake_find(struct fake_platform *p,
					 struct rp_str s)
{
	size_t i = fake_lower_bound(p, s);

	if (i < p->nrows && str_eq(str_of(p->rows[i].name), s))
		return &p->rows[i];
	return NULL;
}

/* Copies a string with a NUL; the caller frees it. */
static inline char *fake_strdup(struct rp_str s)
{
	char *text = calloc(1, s.len + 1);

	if (s.len)
		memcpy(text, s.ptr, s.len);
	return text;
}

static inline void fake_remove(struct fake_platform *p, struct rp_str name)
{
	struct fake_row *c = fake_find(p, name);
	size_t i;

	if (!c)
		return;
	i = (size_t)(c - p->rows);
	free(c->name);
	free(c->value);
	memmove(c, c + 1, (--p->nrows - i) * sizeof(*c));
}

/* Inserts a row or replaces its value. */
static inline void fake_put(struct fake_platform *p, struct rp_str name,
			    struct rp_str value)
{
	struct fake_row *c = fake_find(p, name);
	size_t i;

	if (!c) {
		i = fake_lower_bound(p, name);
		if (p->nrows == p->cap) {
			p->cap = p->cap ? 2 * p->cap : 64;
			p->rows = realloc(p->rows, p->cap * sizeof(*c));
		}
		c = &p->rows[i];
		memmove(c + 1, c, (p->nrows++ - i) * sizeof(*c));
		c->name = fake_strdup(name);
		c->value = NULL;
	}
	free(c->value);
	c->value = fake_strdup(value);
	c->version = p->last_version;
}

static inline enum rp_platform_outcome fake_commit(struct fake_platform *p,
						   const struct rp_action *a)
{
	size_t i;

	for (i = 0; i < a->platform.nrows; i++) {
		const struct rp_row *r = &a->platform.rows[i];
		struct fake_row *c = fake_find(p, r->name);

		if ((c ? c->version : 0) != r->version)
			return RP_PLATFORM_CONFLICT;
	}
	p->last_version++;
	p->commits++;
	for (i = 0; i < a->platform.nrows; i++) {
		const struct rp_row *r = &a->platform.rows[i];

		p->writes++;
		if (r->value.ptr)
			fake_put(p, r->name, r->value);
		else
			fake_remove(p, r->name);
	}
	return RP_PLATFORM_DONE;
}

/* Adds a row to the call's answer; row is NULL if it doesn't exist. */
static inline void fake_answer_row(struct fake_call *c, struct rp_str name,
				   const struct fake_row *row)
{
	struct rp_row *r;

	c->rows = realloc(c->rows, (c->nrows + 1) * sizeof(*c->rows));
	r = &c->rows[c->nrows++];
	memset(r, 0, sizeof(*r));
	r->name = (struct rp_str){ fake_strdup(name), name.len };
	if (!row)
		return;
	r->value = str_of(fake_strdup(str_of(row->value)));
	r->version = row->version;
}

/* Applies the call and prepares its answer. */
static inline void fake_apply_call(struct fake_platform *p, struct fake_call *c)
{
	const struct rp_action *a = &c->request;
	struct rp_str name;
	size_t i;

	c->outcome = RP_PLATFORM_DONE;
	switch (a->platform.op) {
	case RP_PLATFORM_LIST:
		break;
	case RP_PLATFORM_COMMIT:
		c->outcome = fake_commit(p, a);
		break;
	case RP_PLATFORM_READ:
		for (i = 0; i < a->platform.nrows; i++) {
			name = a->platform.rows[i].name;
			fake_answer_row(c, name, fake_find(p, name));
			p->reads++;
		}
		break;
	case RP_PLATFORM_SCAN:
		name = a->platform.rows[0].name;
		for (i = fake_lower_bound(p, name); i < p->nrows; i++) {
			struct rp_str s = str_of(p->rows[i].name);

			if (s.len < name.len ||
			    memcmp(s.ptr, name.ptr, name.len))
				break;
			fake_answer_row(c, s, &p->rows[i]);
			p->reads++;
		}
		p->reads += !c->nrows;
		break;
	}
}

static inline int fake_chance(struct fake_platform *p, int percent)
{
	return (int)(random_next(&p->random) % 100) < percent;
}

static inline rp_ms fake_delay(struct fake_platform *p)
{
	return p->delay + (p->delay_jitter
				   ? (rp_ms)(random_next(&p->random) %
					     (uint64_t)(p->delay_jitter + 1))
				   : 0);
}

/* Adds the call of a kernel's action and takes over the action's data. */
static inline void fake_add_call(struct fake_platform *p, rp_ms now, int node,
				 struct rp_action *a)
{
	struct fake_call *c = calloc(1, sizeof(*c)), **at = &p->calls;

	p->calls_total++;
	c->node = node;
	c->request = *a;
	a->platform.rows = NULL;
	a->platform.data = NULL;
	c->effect_at = now + fake_delay(p);
	c->answer_at = c->effect_at + fake_delay(p);
	if (p->outage) {
		c->outcome = RP_PLATFORM_NO_EFFECT;
		c->effect_at = -1;
	} else if (p->silent) {
		c->answer_lost = 1;
		c->effect_at = -1;
	} else if (fake_chance(p, p->lost_answer_percent)) {
		c->answer_lost = 1;
	} else if (fake_chance(p, p->late_effect_percent)) {
		c->answer_lost = 1;
		c->effect_at = now + a->platform.timeout + 1 +
			       (rp_ms)(random_next(&p->random) % 3000);
	}
	if (c->answer_lost || c->answer_at > now + a->platform.timeout) {
		c->answer_lost = 1;
		c->answer_at = now + a->platform.timeout;
	}
	while (*at)
		at = &(*at)->next;
	*at = c;
}

static inline void fake_call_free(struct fake_call *c)
{
	size_t i;

	for (i = 0; i < c->nrows; i++) {
		free((void *)c->rows[i].name.ptr);
		free((void *)c->rows[i].value.ptr);
	}
	free(c->rows);
	free(c->request.platform.rows);
	rp_blob_unref(c->request.platform.data);
	free(c);
}

/* Delivers the answer to the node. */
static inline void fake_send_answer(struct fake_platform *p,
				    struct fake_call *c, fake_deliver deliver,
				    void *ctx)
{
	struct rp_event ev = { .type = RP_EVENT_PLATFORM_REPLY };

	ev.platform.ask_id = c->request.platform.ask_id;
	ev.platform.outcome = c->answer_lost ? RP_PLATFORM_LOST : c->outcome;
	if (ev.platform.outcome == RP_PLATFORM_DONE) {
		ev.platform.rows = c->rows;
		ev.platform.nrows = c->nrows;
		ev.platform.vms = p->vms;
		ev.platform.nvms = p->nvms;
	}
	deliver(ctx, c->node, &ev);
}

/* Applies all calls that are due, then delivers the answers that are due. */
static inline void fake_run(struct fake_platform *p, rp_ms now,
			    fake_deliver deliver, void *ctx)
{
	struct fake_call *c, **at;

	for (c = p->calls; c; c = c->next) {
		if (c->effect_at < 0 || c->effect_at > now)
			continue;
		fake_apply_call(p, c);
		c->effect_at = -1;
	}
	for (at = &p->calls; (c = *at);) {
		if (c->answer_at >= 0 && c->answer_at <= now) {
			/* The answer may append new calls to the list. */
			c->answer_at = -1;
			fake_send_answer(p, c, deliver, ctx);
		}
		if (c->answer_at < 0 && c->effect_at < 0) {
			*at = c->next;
			fake_call_free(c);
		} else {
			at = &c->next;
		}
	}
}

static inline void fake_finish(struct fake_platform *p)
{
	struct fake_call *c;

	while ((c = p->calls)) {
		p->calls = c->next;
		fake_call_free(c);
	}
	while (p->nrows)
		fake_remove(p, str_of(p->rows[0].name));
	free(p->rows);
}

#endif
