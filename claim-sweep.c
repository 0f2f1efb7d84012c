/*
 * Removal of expired claims, also of those whose owner is gone. Every
 * transaction of claims wrote a row that lists its keys under the span in
 * which they expire; the row claim-swept holds the last span that is clean.
 * Whichever entry VM comes first cleans the next one. A row is deleted only
 * with the version that was read, so two that clean at once do no harm.
 */

#include "rosemary-int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SWEEP_SPAN_MS 10000   /* between rounds, times the entry VMs */
#define SWEEP_STEP_MS 200     /* between transactions of a round */
#define SWEEP_MARGIN_MS 60000 /* after expiry, for clocks that differ */
#define INDEX_NAME_MAX 40
#define INDEX_ROWS_MAX 256 /* kept from one scan */

/* One transaction of claims, as its index row lists it. */
struct sweep_index {
	char *name;
	int64_t version;
	char *keys; /* names of its rows, one a line */
	size_t len;
};

/* One span of expiry that is being cleaned. */
struct sweep {
	int64_t bucket;
	int64_t swept_version; /* of the row claim-swept */
	size_t n, at;
	size_t deleting; /* claims in the transaction that is out */
	struct sweep_index index[INDEX_ROWS_MAX];
};

static void sweep_free(struct sweep *s)
{
	size_t i;

	for (i = 0; i < s->n; i++) {
		free(s->index[i].name);
		free(s->index[i].keys);
	}
	free(s);
}

/* Ends the round; the next one comes after the span. */
static void sweep_end(struct rp_kernel *k, rp_ms now, struct sweep *s,
		      rp_ms span)
{
	kernel_lock(k, k->claims.lock);
	k->claims.sweeping = 0;
	k->claims.sweep = NULL;
	k->claims.sweep_due = now + random_jitter(&k->claims.random, span);
	kernel_unlock(k, k->claims.lock);
	sweep_free(s);
}

static rp_ms sweep_span(struct rp_kernel *k)
{
	rp_ms span;

	kernel_lock(k, k->node.lock);
	span = SWEEP_SPAN_MS * (rp_ms)(apr_hash_count(k->node.members) + 1);
	kernel_unlock(k, k->node.lock);
	return span;
}

/* The span is noted as clean: begin with the next one soon. */
static void advance_done(struct rp_kernel *k, rp_ms now, void *ctx,
			 const struct rp_event *ev, struct rp_actions *acts)
{
	(void)acts;
	sweep_end(k, now, ctx,
		  ev->platform.outcome == RP_PLATFORM_DONE ? SWEEP_STEP_MS
							   : sweep_span(k));
}

/* One transaction's rows are deleted: go on, or leave it to others. */
static void delete_done(struct rp_kernel *k, rp_ms now, void *ctx,
			const struct rp_event *ev, struct rp_actions *acts)
{
	struct sweep *s = ctx;

	(void)acts;
	if (ev->platform.outcome == RP_PLATFORM_DONE) {
		kernel_lock(k, k->claims.lock);
		k->claims.counters.swept += s->deleting;
		kernel_unlock(k, k->claims.lock);
	}
	if (ev->platform.outcome != RP_PLATFORM_DONE) {
		sweep_end(k, now, s, sweep_span(k));
	} else if (++s->at == s->n) {
		sweep_end(k, now, s, SWEEP_STEP_MS);
	} else {
		kernel_lock(k, k->claims.lock);
		k->claims.sweep = s;
		k->claims.sweep_due = now + SWEEP_STEP_MS;
		kernel_unlock(k, k->claims.lock);
	}
}

/* Notes that the span is clean. */
static void sweep_advance(struct rp_kernel *k, rp_ms now, struct sweep *s,
			  struct rp_actions *acts)
{
	struct rp_row row = { .name = str_of(CLAIM_SWEPT_ROW),
			      .version = s->swept_version };
	struct rp_text text = { 0 };

	text_printf(&text, "%" PRId64, s->bucket);
	row.value.ptr = text.data;
	row.value.len = text.len;
	platform_ask(k, now, RP_PLATFORM_COMMIT, &row, 1, advance_done, s,
		     acts);
	text_finish(&text);
}

/* The rows of the keys were read: deletes those that have expired. */
static void keys_done(struct rp_kernel *k, rp_ms now, void *ctx,
		      const struct rp_event *ev, struct rp_actions *acts)
{
	struct rp_row rows[CLAIM_BATCH_MAX + 1] = { 0 };
	struct sweep *s = ctx;
	struct rp_claim_row claim;
	size_t i, n = 0;

	if (ev->platform.outcome != RP_PLATFORM_DONE ||
	    ev->platform.nrows > CLAIM_BATCH_MAX) {
		sweep_end(k, now, s, sweep_span(k));
		return;
	}
	rows[n].name = str_of(s->index[s->at].name);
	rows[n++].version = s->index[s->at].version;
	for (i = 0; i < ev->platform.nrows; i++) {
		const struct rp_row *r = &ev->platform.rows[i];

		if (!r->version || !claim_row_parse(r->value, &claim) ||
		    claim_bucket(claim.expires) > s->bucket)
			continue;
		rows[n].name = r->name;
		rows[n++].version = r->version;
	}
	s->deleting = n - 1;
	platform_ask(k, now, RP_PLATFORM_COMMIT, rows, n, delete_done, s, acts);
}

/* Reads the rows of the next transaction of the span. */
static void sweep_keys(struct rp_kernel *k, rp_ms now, struct sweep *s,
		       struct rp_actions *acts)
{
	struct rp_row rows[CLAIM_BATCH_MAX] = { 0 };
	struct rp_str keys = { s->index[s->at].keys, s->index[s->at].len };
	size_t n = 0;

	while (keys.len && n < CLAIM_BATCH_MAX)
		rows[n++].name = text_line(&keys);
	platform_ask(k, now, RP_PLATFORM_READ, rows, n, keys_done, s, acts);
}

/* A NUL-terminated copy. */
static char *copy_text(struct rp_str text)
{
	char *copy = kernel_alloc(text.len + 1);

	str_copy(copy, text.len + 1, text);
	return copy;
}

/* Keeps the index rows of the span; without one the span is clean. */
static void index_done(struct rp_kernel *k, rp_ms now, void *ctx,
		       const struct rp_event *ev, struct rp_actions *acts)
{
	struct sweep *s = ctx;

	if (ev->platform.outcome != RP_PLATFORM_DONE) {
		sweep_end(k, now, s, sweep_span(k));
		return;
	}
	if (!ev->platform.nrows) {
		sweep_advance(k, now, s, acts);
		return;
	}
	while (s->n < ev->platform.nrows && s->n < INDEX_ROWS_MAX) {
		const struct rp_row *r = &ev->platform.rows[s->n];
		struct sweep_index *i = &s->index[s->n++];

		i->name = copy_text(r->name);
		i->version = r->version;
		i->keys = copy_text(r->value);
		i->len = r->value.len;
	}
	sweep_keys(k, now, s, acts);
}

/* Whether all claims of the span have expired, on every clock. */
static int is_over(const struct rp_kernel *k, rp_ms now, int64_t bucket)
{
	return bucket <
	       claim_bucket(now + k->opt.wall_offset - SWEEP_MARGIN_MS);
}

static void swept_done(struct rp_kernel *k, rp_ms now, void *ctx,
		       const struct rp_event *ev, struct rp_actions *acts)
{
	struct sweep *s = ctx;
	char prefix[INDEX_NAME_MAX];
	struct rp_row row = { 0 };

	if (ev->platform.outcome != RP_PLATFORM_DONE ||
	    ev->platform.nrows != 1) {
		sweep_end(k, now, s, sweep_span(k));
		return;
	}
	s->swept_version = ev->platform.rows[0].version;
	if (!text_number(ev->platform.rows[0].value, &s->bucket)) {
		/* The first round ever: nothing has expired yet. */
		s->bucket = claim_bucket(now + k->opt.wall_offset);
		sweep_advance(k, now, s, acts);
		return;
	}
	if (!is_over(k, now, ++s->bucket)) {
		sweep_end(k, now, s, sweep_span(k));
		return;
	}
	snprintf(prefix, sizeof(prefix), CLAIM_INDEX_PREFIX "%012" PRId64 "/",
		 s->bucket);
	row.name = str_of(prefix);
	platform_ask(k, now, RP_PLATFORM_SCAN, &row, 1, index_done, s, acts);
}

void claim_sweep(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	struct rp_row row = { .name = str_of(CLAIM_SWEPT_ROW) };
	struct rp_claims *q = &k->claims;
	struct sweep *s = NULL;
	int due;

	kernel_lock(k, q->lock);
	due = q->sweep_due <= now && q->refuse_until <= now &&
	      (q->sweep || !q->sweeping);
	if (due) {
		s = q->sweep;
		q->sweep = NULL;
		q->sweeping = 1;
	}
	kernel_unlock(k, q->lock);
	if (!due)
		return;
	if (s)
		sweep_keys(k, now, s, acts);
	else
		platform_ask(k, now, RP_PLATFORM_READ, &row, 1, swept_done,
			     kernel_alloc(sizeof(*s)), acts);
}

void claim_sweep_finish(struct rp_kernel *k)
{
	if (k->claims.sweep)
		sweep_free(k->claims.sweep);
}
