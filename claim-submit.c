/* The queue of claims, filled by submissions under callers' own keys. */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

#define QUEUED_CLAIMS_MAX 8192

/* Retry delay of a caller after RP_E_FULL, ms. */
#define RETRY_AFTER_FULL_MS 1000

/*
 * Time by which a row outlives its owner's record, ms. It covers the clock
 * differences between entry VMs.
 */
#define ROW_MARGIN_MS 60000

/* Mean delay of the first sweep, ms. */
#define FIRST_SWEEP_MS 5000

void claim_init(struct rp_kernel *k, rp_ms now)
{
	struct rp_claims *q = &k->claims;

	q->lock = kernel_lock_new(k);
	q->random = k->opt.seed * 7 + k->opt.incarnation;
	q->sweep_due = now + random_jitter(&q->random, FIRST_SWEEP_MS);
}

void claim_finish(struct rp_kernel *k)
{
	struct rp_claims *q = &k->claims;
	struct rp_claim_batch *b;
	struct rp_claim *c;
	size_t i;

	while ((c = q->first)) {
		q->first = c->next;
		free(c);
	}
	while ((b = q->batches)) {
		q->batches = b->next;
		for (i = 0; i < b->n; i++)
			free(b->claims[i]);
		free(b);
	}
	claim_sweep_finish(k);
	kernel_lock_free(k, q->lock);
}

int claim_pending(struct rp_kernel *k)
{
	int pending;

	kernel_lock(k, k->claims.lock);
	pending = k->claims.first || k->claims.batches;
	kernel_unlock(k, k->claims.lock);
	return pending;
}

static struct rp_claim *claim_new(struct rp_kernel *k,
				  const struct rp_record *r)
{
	struct rp_claim *c = kernel_alloc(sizeof(*c));

	memcpy(c->key, r->key, sizeof(c->key));
	c->key_len = r->key_len;
	c->digest = r->digest;
	c->id = r->claim_id;
	c->deadline = r->deadline;
	c->expires_at = r->expires_at + k->opt.wall_offset + ROW_MARGIN_MS;
	return c;
}

/*
 * Queues a claim of the record's key. Returns 0 when the queue is full, or
 * when claims are refused after a platform failure (*refused).
 */
static int queue_claim(struct rp_kernel *k, struct rp_record *r, rp_ms now,
		       int *refused)
{
	struct rp_claims *q = &k->claims;
	struct rp_claim *c = NULL;
	/* An earlier claim of this record is unsettled: its row may exist. */
	int unsettled = r->claim_id != 0;

	kernel_lock(k, q->lock);
	*refused = q->refuse_until > now;
	if (!*refused && q->nqueued < QUEUED_CLAIMS_MAX) {
		if (!r->claim_id)
			r->claim_id = ++q->next_id;
		c = claim_new(k, r);
		c->maybe_committed = unsettled;
		claim_enqueue(q, c);
	}
	kernel_unlock(k, q->lock);
	return c != NULL;
}

void claim_submit(struct rp_sub_shard *s, struct rp_record *r, rp_ms now,
		  struct rp_submission *sub, struct rp_actions *acts)
{
	rp_ms retry_after = RETRY_AFTER_FULL_MS;
	int refused, keep = r->claim_id != 0;
	struct rp_status st;

	r->phase = RP_RECORD_CLAIMING;
	r->sub = rp_submission_ref(sub);
	if (queue_claim(s->k, r, now, &refused))
		return;
	if (refused)
		retry_after = claim_unavailable(s->k, &st);
	else
		rp_status_set(&st, RP_E_FULL, RP_STEP_CLAIM, "",
			      "too many keys wait to be claimed");
	claim_refuse(s, r, now, &st, retry_after, keep, acts);
}
