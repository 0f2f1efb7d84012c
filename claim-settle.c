/*
 * Outcomes of claims.
 *
 * A submission is answered as not run only when the row names this claim,
 * because only then can no other entry VM start the key. While the owner is
 * unknown, the callers are refused instead, which says only that this call
 * started nothing. The record of an unsettled claim is kept, so that a
 * resubmission continues the same claim and the key starts at most once.
 */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

/* Mean retry delay of callers while the platform is unavailable, ms. */
#define RETRY_AFTER_UNAVAILABLE_MS 2000

rp_ms claim_unavailable(struct rp_kernel *k, struct rp_status *st)
{
	rp_ms retry_after;

	rp_status_set(st, RP_E_PLATFORM, RP_STEP_CLAIM, "platform",
		      "the key cannot be claimed now; this call started "
		      "nothing; an issued key needs no claim");
	kernel_lock(k, k->claims.lock);
	retry_after =
		random_jitter(&k->claims.random, RETRY_AFTER_UNAVAILABLE_MS);
	kernel_unlock(k, k->claims.lock);
	return retry_after;
}

/* Answers one waiter with a refusal. */
static void refuse_waiter(struct rp_kernel *k, rp_ms now,
			  const struct rp_waiter *w, const struct rp_status *st,
			  rp_ms retry_after, struct rp_actions *acts)
{
	answer_waiter(k, now, w, answer_status(RP_REFUSED, st, retry_after),
		      acts);
}

void claim_refuse(struct rp_sub_shard *s, struct rp_record *r, rp_ms now,
		  const struct rp_status *st, rp_ms retry_after, int keep,
		  struct rp_actions *acts)
{
	struct rp_waiter *w;

	kernel_lock(s->k, s->k->claims.lock);
	s->k->claims.counters.refused++;
	kernel_unlock(s->k, s->k->claims.lock);
	while ((w = r->waiters)) {
		r->waiters = w->next;
		refuse_waiter(s->k, now, w, st, retry_after, acts);
		free(w);
	}
	rp_submission_unref(r->sub);
	r->sub = NULL;
	r->cancelled = 0;
	if (keep)
		r->phase = RP_RECORD_UNCLAIMED;
	else
		record_remove(s, r);
}

/* Returns the record that waits for this claim, or NULL. */
static struct rp_record *claim_record(struct rp_sub_shard *s,
				      const struct rp_claim *c)
{
	struct rp_str key = { c->key, c->key_len };
	struct rp_record *r = record_find(s, key);

	if (r && r->phase == RP_RECORD_CLAIMING && r->claim_id == c->id)
		return r;
	return NULL;
}

static struct rp_sub_shard *claim_shard(struct rp_kernel *k,
					const struct rp_claim *c)
{
	struct rp_str key = { c->key, c->key_len };

	return sub_shard_of(k, key);
}

void claim_fail(struct rp_kernel *k, rp_ms now, const struct rp_claim *c,
		const struct rp_status *st, rp_ms retry_after,
		struct rp_actions *acts)
{
	struct rp_sub_shard *s = claim_shard(k, c);
	struct rp_record *r;

	kernel_lock(k, s->lock);
	r = claim_record(s, c);
	if (r)
		claim_refuse(s, r, now, st, retry_after, c->maybe_committed,
			     acts);
	kernel_unlock(k, s->lock);
}

/* Answers RP_RUNNING to the waiters that do not wait for the final answer. */
static void answer_until_claimed(struct rp_kernel *k, struct rp_record *r,
				 rp_ms now, struct rp_actions *acts)
{
	struct rp_waiter **at = &r->waiters;
	struct rp_status st = { 0 };

	while (*at) {
		struct rp_waiter *w = *at;

		if (!w->until_claimed) {
			at = &w->next;
			continue;
		}
		*at = w->next;
		answer_waiter(k, now, w, answer_status(RP_RUNNING, &st, 0),
			      acts);
		free(w);
	}
}

/* Starts a claimed submission, or ends it as not run. */
static void start_claimed(struct rp_sub_shard *s, struct rp_record *r,
			  rp_ms now, struct rp_actions *acts)
{
	struct rp_submission *sub = r->sub;
	struct rp_status st;

	r->sub = NULL;
	if (r->cancelled) {
		rp_status_set(&st, RP_E_CANCELLED, RP_STEP_CLAIM, "",
			      "cancelled before it started");
		record_finish(s, r, now, answer_status(RP_NOT_RUN, &st, 0),
			      acts);
	} else if (r->deadline <= now) {
		rp_status_set(&st, RP_E_DEADLINE, RP_STEP_CLAIM, "",
			      "deadline passed before the key was claimed");
		record_finish(s, r, now, answer_status(RP_NOT_RUN, &st, 0),
			      acts);
	} else {
		r->phase = RP_RECORD_RUNNING;
		submit_start(s, r, now, sub, acts);
		if (r->phase == RP_RECORD_RUNNING)
			answer_until_claimed(s->k, r, now, acts);
	}
	rp_submission_unref(sub);
}

void claim_acquired(struct rp_kernel *k, rp_ms now, const struct rp_claim *c,
		    struct rp_actions *acts)
{
	struct rp_trace_subject about = { .key = { c->key, c->key_len },
					  .task = -1 };
	struct rp_sub_shard *s = claim_shard(k, c);
	struct rp_record *r;

	trace_event(k, now, RP_TRACE_CLAIM, &about, "ours");
	kernel_lock(k, k->claims.lock);
	k->claims.counters.claimed++;
	kernel_unlock(k, k->claims.lock);
	kernel_lock(k, s->lock);
	r = claim_record(s, c);
	if (r)
		start_claimed(s, r, now, acts);
	kernel_unlock(k, s->lock);
}

/*
 * Returns whether this incarnation wrote the row. The row does not name the
 * claim at hand, so it belongs to an earlier record of the key, which has
 * expired.
 */
static int row_is_from_here(const struct rp_kernel *k,
			    const struct rp_claim_row *row)
{
	return row->incarnation == k->opt.incarnation &&
	       !strcmp(row->vm, k->opt.vm_name);
}

/* Relays the call of one waiter to the owner that the row names. */
static void relay_waiter(struct rp_kernel *k, rp_ms now, struct rp_waiter *w,
			 struct rp_submission *sub,
			 const struct rp_claim_row *row,
			 struct rp_actions *acts)
{
	if (w->is_cancel)
		relay_cancel_to(k, now, sub->key, row->vm, row->incarnation, w,
				acts);
	else
		relay_submit_to(k, now, sub, row->vm, row->incarnation,
				!w->until_claimed, w, acts);
}

/* Relays or refuses the waiters of a key that another claim owns. */
static void relay_waiters(struct rp_kernel *k, rp_ms now,
			  const struct rp_claim *c,
			  const struct rp_claim_row *row,
			  struct rp_waiter *waiters, struct rp_submission *sub,
			  struct rp_actions *acts)
{
	struct rp_status st = { 0 };

	if (row->digest != c->digest)
		rp_status_set(&st, RP_E_CONFLICT, RP_STEP_CLAIM, row->vm,
			      "key: was used with a different body");
	else if (row_is_from_here(k, row))
		rp_status_set(&st, RP_E_EXPIRED, RP_STEP_CLAIM, "",
			      "key: was used before and has expired");
	while (waiters) {
		struct rp_waiter *w = waiters;

		waiters = w->next;
		if (st.code != RP_OK)
			refuse_waiter(k, now, w, &st, 0, acts);
		else
			relay_waiter(k, now, w, sub, row, acts);
		free(w);
	}
}

void claim_owned_by_other(struct rp_kernel *k, rp_ms now,
			  const struct rp_claim *c,
			  const struct rp_claim_row *row,
			  struct rp_actions *acts)
{
	struct rp_trace_subject about = { .key = { c->key, c->key_len },
					  .target = row->vm,
					  .task = -1 };
	struct rp_sub_shard *s = claim_shard(k, c);
	struct rp_waiter *waiters = NULL;
	struct rp_submission *sub = NULL;
	struct rp_record *r;

	trace_event(k, now, RP_TRACE_CLAIM, &about, "owned by another");
	kernel_lock(k, k->claims.lock);
	k->claims.counters.taken++;
	kernel_unlock(k, k->claims.lock);
	kernel_lock(k, s->lock);
	r = claim_record(s, c);
	if (r) {
		waiters = r->waiters;
		sub = rp_submission_ref(r->sub);
		r->waiters = NULL;
		record_remove(s, r);
	}
	kernel_unlock(k, s->lock);
	relay_waiters(k, now, c, row, waiters, sub, acts);
	rp_submission_unref(sub);
}
