/*
 * Removal of expired claims, also of owners that no longer exist. Time is
 * divided into buckets of expiry. Every transaction of claims has an index
 * row, named after the bucket in which its claims expire, that lists its
 * rows; the row claim-swept has the number of the last bucket that is empty.
 * Any entry VM may sweep the next bucket. A row is deleted only at the version
 * that was read, so concurrent sweeps are safe.
 */

#include "rosemary-int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SWEEP_INTERVAL_MS 10000	   /* interval of sweeps, times the entry VMs */
#define SWEEP_STEP_INTERVAL_MS 200 /* interval of transactions of a sweep */
#define SWEEP_MARGIN_MS 60000	   /* delay after expiry: clocks differ */
#define INDEX_NAME_MAX 40
#define INDEX_ROWS_MAX 256 /* index rows used of one scan */

/* The index row of a transaction of claims. */
struct sweep_index {
	char *name;
	int64_t version;
	char *keys; /* names of its claim rows, one a line */
	size_t len;
};

/* The sweep of one bucket. */
struct sweep {
	int64_t bucket;
	int64_t swept_version; /* version of the row claim-swept */
	size_t n, at;	       /* index rows, and the one that is swept next */
	size_t deleting;       /* claims in the transaction in flight */
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

/* Ends a sweep; the next one begins after the given mean delay. */
static void sweep_end(struct rp_kernel *k, rp_ms now, struct sweep *s,
		      rp_ms delay)
{
	kernel_lock(k, k->claims.lock);
	k->claims.sweeping = 0;
	k->claims.sweep = NULL;
	k->claims.sweep_due = now + random_jitter(&k->claims.random, delay);
	kernel_unlock(k, k->claims.lock);
	sweep_free(s);
}

/* Returns the interval of sweeps, ms; all entry VMs share the work. */
static rp_ms sweep_interval(struct rp_kernel *k)
{
	rp_ms interval;

	kernel_lock(k, k->node.lock);
	interval = SWEEP_INTERVAL_MS *
		   (rp_ms)(apr_hash_count(k->node.members) + 1);
	kernel_unlock(k, k->node.lock);
	return interval;
}

/* Handles the reply to sweep_write_swept(): the next bucket follows soon. */
static void swept_write_done(struct rp_kernel *k, rp_ms now, void *ctx,
			     const struct rp_event *ev, struct rp_actions *acts)
{
	(void)acts;
	sweep_end(k, now, ctx,
		  ev->platform.outcome == RP_PLATFORM_DONE
			  ? SWEEP_STEP_INTERVAL_MS
			  : sweep_interval(k));
}

/*
 * Handles the reply to the deletion of one transaction's rows. A failure ends
 * the sweep; after a conflict, another entry VM is sweeping the same bucket.
 */
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
		sweep_end(k, now, s, sweep_interval(k));
	} else if (++s->at == s->n) {
		sweep_end(k, now, s, SWEEP_STEP_INTERVAL_MS);
	} else {
		kernel_lock(k, k->claims.lock);
		k->claims.sweep = s;
		k->claims.sweep_due = now + SWEEP_STEP_INTERVAL_MS;
		kernel_unlock(k, k->claims.lock);
	}
}

/* Writes the bucket to the row claim-swept. */
static void sweep_write_swept(struct rp_kernel *k, rp_ms now, struct sweep *s,
			      struct rp_actions *acts)
{
	struct rp_row row = { .name = str_of(CLAIM_SWEPT_ROW),
			      .version = s->swept_version };
	struct rp_text text = { 0 };

	text_printf(&text, "%" PRId64, s->bucket);
	row.value.ptr = text.data;
	row.value.len = text.len;
	platform_request(k, now, RP_PLATFORM_COMMIT, &row, 1, swept_write_done,
			 s, acts);
	text_finish(&text);
}

/* Handles the read claim rows: deletes the expired ones and the index row. */
static void claims_read_done(struct rp_kernel *k, rp_ms now, void *ctx,
			     const struct rp_event *ev, struct rp_actions *acts)
{
	struct rp_row rows[CLAIM_BATCH_MAX + 1] = { 0 };
	struct sweep *s = ctx;
	struct rp_claim_row claim;
	size_t i, n = 0;

	if (ev->platform.outcome != RP_PLATFORM_DONE ||
	    ev->platform.nrows > CLAIM_BATCH_MAX) {
		sweep_end(k, now, s, sweep_interval(k));
		return;
	}
	rows[n].name = str_of(s->index[s->at].name);
	rows[n++].version = s->index[s->at].version;
	for (i = 0; i < ev->platform.nrows; i++) {
		const struct rp_row *r = &ev->platform.rows[i];

		if (!r->version || !claim_row_parse(r->value, &claim) ||
		    claim_bucket(claim.expires_at) > s->bucket)
			continue;
		rows[n].name = r->name;
		rows[n++].version = r->version;
	}
	s->deleting = n - 1;
	platform_request(k, now, RP_PLATFORM_COMMIT, rows, n, delete_done, s,
			 acts);
}

/* Reads the claim rows of the next index row. */
static void sweep_read_claims(struct rp_kernel *k, rp_ms now, struct sweep *s,
			      struct rp_actions *acts)
{
	struct rp_row rows[CLAIM_BATCH_MAX] = { 0 };
	struct rp_str keys = { s->index[s->at].keys, s->index[s->at].len };
	size_t n = 0;

	while (keys.len && n < CLAIM_BATCH_MAX)
		rows[n++].name = text_next_line(&keys);
	platform_request(k, now, RP_PLATFORM_READ, rows, n, claims_read_done, s,
			 acts);
}

/* Returns an allocated, NUL-terminated copy. */
static char *text_dup(struct rp_str text)
{
	char *copy = kernel_alloc(text.len + 1);

	str_copy(copy, text.len + 1, text);
	return copy;
}

/* Handles the scanned index rows of the bucket; without one it is empty. */
static void index_scan_done(struct rp_kernel *k, rp_ms now, void *ctx,
			    const struct rp_event *ev, struct rp_actions *acts)
{
	struct sweep *s = ctx;

	if (ev->platform.outcome != RP_PLATFORM_DONE) {
		sweep_end(k, now, s, sweep_interval(k));
		return;
	}
	if (!ev->platform.nrows) {
		sweep_write_swept(k, now, s, acts);
		return;
	}
	while (s->n < ev->platform.nrows && s->n < INDEX_ROWS_MAX) {
		const struct rp_row *r = &ev->platform.rows[s->n];
		struct sweep_index *i = &s->index[s->n++];

		i->name = text_dup(r->name);
		i->version = r->version;
		i->keys = text_dup(r->value);
		i->len = r->value.len;
	}
	sweep_read_claims(k, now, s, acts);
}

/* Returns whether all claims of the bucket have expired on every clock. */
static int bucket_expired(const struct rp_kernel *k, rp_ms now, int64_t bucket)
{
	return bucket <
	       claim_bucket(now + k->opt.wall_offset - SWEEP_MARGIN_MS);
}

/* Handles the read row claim-swept: begins with the next bucket. */
static void swept_read_done(struct rp_kernel *k, rp_ms now, void *ctx,
			    const struct rp_event *ev, struct rp_actions *acts)
{
	struct sweep *s = ctx;
	char prefix[INDEX_NAME_MAX];
	struct rp_row row = { 0 };

	if (ev->platform.outcome != RP_PLATFORM_DONE ||
	    ev->platform.nrows != 1) {
		sweep_end(k, now, s, sweep_interval(k));
		return;
	}
	s->swept_version = ev->platform.rows[0].version;
	if (!text_parse_number(ev->platform.rows[0].value, &s->bucket)) {
		/* No bucket was swept before, so begin with the present one. */
		s->bucket = claim_bucket(now + k->opt.wall_offset);
		sweep_write_swept(k, now, s, acts);
		return;
	}
	if (!bucket_expired(k, now, ++s->bucket)) {
		sweep_end(k, now, s, sweep_interval(k));
		return;
	}
	snprintf(prefix, sizeof(prefix), CLAIM_INDEX_PREFIX "%012" PRId64 "/",
		 s->bucket);
	row.name = str_of(prefix);
	platform_request(k, now, RP_PLATFORM_SCAN, &row, 1, index_scan_done, s,
			 acts);
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
		sweep_read_claims(k, now, s, acts);
	else
		platform_request(k, now, RP_PLATFORM_READ, &row, 1,
				 swept_read_done, kernel_alloc(sizeof(*s)),
				 acts);
}

void claim_sweep_finish(struct rp_kernel *k)
{
	if (k->claims.sweep)
		sweep_free(k->claims.sweep);
}
