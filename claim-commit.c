/*
 * Transactions of claims. A commit inserts the rows of many keys; the rate of
 * commits and rows is limited for the whole deployment. When a commit
 * conflicts or its reply is lost, its rows are read back to learn who owns
 * each key before anything starts.
 */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

#define COMMITS_IN_FLIGHT_MAX 4	     /* commits without a reply */
#define DEPLOYMENT_COMMITS_PER_S 200 /* claim commits, all entry VMs */
#define DEADLINE_CHECK_MS 20	     /* interval of deadline checks */
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000

/* Returns how many entry VMs share the rate limits, this one included. */
static rp_ms count_entry_vms(struct rp_kernel *k)
{
	rp_ms n;

	kernel_lock(k, k->node.lock);
	n = (rp_ms)apr_hash_count(k->node.members) + 1;
	kernel_unlock(k, k->node.lock);
	return n;
}

/* Returns the delay between a commit of so many rows and the next, ms. */
static rp_ms commit_interval(const struct rp_kernel *k, rp_ms vms, size_t rows)
{
	rp_ms interval = vms * 1000 / DEPLOYMENT_COMMITS_PER_S, by_rows;

	if (interval < k->opt.claim_interval)
		interval = k->opt.claim_interval;
	if (!k->opt.claim_rows)
		return interval;
	by_rows = vms * (rp_ms)rows * 1000 / k->opt.claim_rows;
	return interval > by_rows ? interval : by_rows;
}

/* --- batches; the lock is held ------------------------------------------ */

void claim_enqueue(struct rp_claims *q, struct rp_claim *c)
{
	c->next = NULL;
	if (q->last)
		q->last->next = c;
	else
		q->first = c;
	q->last = c;
	q->nqueued++;
}

/* Removes and returns the first claim of the queue. */
static struct rp_claim *queue_pop(struct rp_claims *q)
{
	struct rp_claim *c = q->first;

	q->first = c->next;
	if (!q->first)
		q->last = NULL;
	q->nqueued--;
	return c;
}

static void batch_unlink(struct rp_claims *q, struct rp_claim_batch *b)
{
	struct rp_claim_batch **at = &q->batches;

	while (*at != b)
		at = &(*at)->next;
	*at = b->next;
}

/* Moves queued claims into a batch, or returns NULL before commit_due. */
static struct rp_claim_batch *batch_new(struct rp_kernel *k, rp_ms now,
					rp_ms vms)
{
	struct rp_claims *q = &k->claims;
	struct rp_claim_batch *b;
	size_t max = (size_t)k->opt.claim_batch;

	if (!q->first || q->commits_in_flight >= COMMITS_IN_FLIGHT_MAX ||
	    q->commit_due > now || q->refuse_until > now)
		return NULL;
	if (max > CLAIM_BATCH_MAX)
		max = CLAIM_BATCH_MAX;
	b = kernel_alloc(sizeof(*b));
	while (q->first && b->n < max)
		b->claims[b->n++] = queue_pop(q);
	b->next = q->batches;
	q->batches = b;
	q->commits_in_flight++;
	q->commit_due = now + commit_interval(k, vms, b->n + 1);
	q->counters.commits++;
	return b;
}

/* Refuses new claims for an exponential backoff after a platform failure. */
static void start_backoff(struct rp_claims *q, rp_ms now)
{
	q->backoff = q->backoff ? 2 * q->backoff : BACKOFF_MIN_MS;
	if (q->backoff > BACKOFF_MAX_MS)
		q->backoff = BACKOFF_MAX_MS;
	q->refuse_until = now + random_jitter(&q->random, q->backoff);
}

/* Accepts claims again after a reply of the platform. */
static void reset_backoff(struct rp_claims *q)
{
	q->backoff = 0;
	q->refuse_until = 0;
}

/* Frees the batch; claims neither settled nor overdue are queued again. */
static void batch_end(struct rp_kernel *k, struct rp_claim_batch *b)
{
	struct rp_claims *q = &k->claims;
	size_t i;

	kernel_lock(k, q->lock);
	batch_unlink(q, b);
	for (i = 0; i < b->n; i++) {
		if (b->claims[i] && !b->claims[i]->overdue)
			claim_enqueue(q, b->claims[i]);
		else
			free(b->claims[i]);
	}
	kernel_unlock(k, q->lock);
	free(b);
}

/* Frees a settled claim of the batch. */
static void batch_free_claim(struct rp_kernel *k, struct rp_claim_batch *b,
			     size_t i)
{
	struct rp_claim *c;

	kernel_lock(k, k->claims.lock);
	c = b->claims[i];
	b->claims[i] = NULL;
	kernel_unlock(k, k->claims.lock);
	free(c);
}

/* --- reading back --------------------------------------------------------- */

/* Settles a claim by its row; returns 0 when the row does not exist. */
static int settle_row(struct rp_kernel *k, rp_ms now, const struct rp_claim *c,
		      const struct rp_row *row, struct rp_actions *acts)
{
	struct rp_claim_row owner;
	struct rp_status st;

	if (!row->version)
		return 0;
	if (!claim_row_parse(row->value, &owner)) {
		rp_status_set(&st, RP_E_INTERNAL, RP_STEP_CLAIM, "platform",
			      "the row of the claim is malformed");
		claim_fail(k, now, c, &st, 0, acts);
	} else if (owner.incarnation == k->opt.incarnation &&
		   owner.id == c->id && !strcmp(owner.vm, k->opt.vm_name)) {
		claim_acquired(k, now, c, acts);
	} else {
		claim_owned_by_other(k, now, c, &owner, acts);
	}
	return 1;
}

/* Handles the platform's reply with the rows of a batch. */
static void read_back_done(struct rp_kernel *k, rp_ms now, void *ctx,
			   const struct rp_event *ev, struct rp_actions *acts)
{
	struct rp_claim_batch *b = ctx;
	struct rp_claims *q = &k->claims;
	size_t i, row = 0;

	if (ev->platform.outcome != RP_PLATFORM_DONE ||
	    ev->platform.nrows != b->n) {
		kernel_lock(k, q->lock);
		start_backoff(q, now);
		b->read_back_at = q->refuse_until;
		kernel_unlock(k, q->lock);
		return;
	}
	kernel_lock(k, q->lock);
	reset_backoff(q);
	kernel_unlock(k, q->lock);
	for (i = 0; i < b->n; i++)
		if (settle_row(k, now, b->claims[i], &ev->platform.rows[row++],
			       acts))
			batch_free_claim(k, b, i);
	batch_end(k, b);
}

/* Reads the rows of a batch from the platform. */
static void read_back(struct rp_kernel *k, rp_ms now, struct rp_claim_batch *b,
		      struct rp_actions *acts)
{
	struct rp_row rows[CLAIM_BATCH_MAX] = { 0 };
	char(*names)[CLAIM_ROW_NAME_MAX] = kernel_alloc(b->n * sizeof(*names));
	size_t i;

	for (i = 0; i < b->n; i++) {
		struct rp_str key = { b->claims[i]->key,
				      b->claims[i]->key_len };

		claim_row_name(key, names[i]);
		rows[i].name = str_of(names[i]);
	}
	kernel_lock(k, k->claims.lock);
	b->read_back_at = 0;
	k->claims.counters.read_backs++;
	kernel_unlock(k, k->claims.lock);
	platform_request(k, now, RP_PLATFORM_READ, rows, b->n, read_back_done,
			 b, acts);
	free(names);
}

/* --- committing ----------------------------------------------------------- */

/*
 * Refuses the claims of a batch whose commit had no effect, except those whose
 * row may exist from an earlier commit: they are queued again.
 */
static void batch_refuse_claims(struct rp_kernel *k, rp_ms now,
				struct rp_claim_batch *b,
				struct rp_actions *acts)
{
	rp_ms retry_after;
	struct rp_status st;
	size_t i;

	for (i = 0; i < b->n; i++) {
		if (b->claims[i]->maybe_committed || b->claims[i]->overdue)
			continue;
		retry_after = claim_unavailable(k, &st);
		claim_fail(k, now, b->claims[i], &st, retry_after, acts);
		batch_free_claim(k, b, i);
	}
	batch_end(k, b);
}

/* Counts the outcome of a commit and updates the backoff. */
static void commit_record_outcome(struct rp_kernel *k, rp_ms now,
				  struct rp_claim_batch *b,
				  enum rp_platform_outcome outcome)
{
	struct rp_claims *q = &k->claims;
	size_t i;

	kernel_lock(k, q->lock);
	q->commits_in_flight--;
	if (outcome == RP_PLATFORM_LOST || outcome == RP_PLATFORM_NO_EFFECT)
		start_backoff(q, now);
	else
		reset_backoff(q);
	q->counters.conflicts += outcome == RP_PLATFORM_CONFLICT;
	if (outcome == RP_PLATFORM_LOST) {
		q->counters.lost_commits++;
		for (i = 0; i < b->n; i++)
			b->claims[i]->maybe_committed = 1;
	}
	kernel_unlock(k, q->lock);
}

/* Handles the platform's reply to a commit. */
static void commit_done(struct rp_kernel *k, rp_ms now, void *ctx,
			const struct rp_event *ev, struct rp_actions *acts)
{
	struct rp_claim_batch *b = ctx;
	size_t i;

	commit_record_outcome(k, now, b, ev->platform.outcome);
	switch (ev->platform.outcome) {
	case RP_PLATFORM_DONE:
		for (i = 0; i < b->n; i++) {
			claim_acquired(k, now, b->claims[i], acts);
			batch_free_claim(k, b, i);
		}
		batch_end(k, b);
		break;
	case RP_PLATFORM_UNCHANGED: /* never the outcome of a commit */
	case RP_PLATFORM_CONFLICT:
	case RP_PLATFORM_LOST:
		read_back(k, now, b, acts);
		break;
	case RP_PLATFORM_NO_EFFECT:
		batch_refuse_claims(k, now, b, acts);
		break;
	}
}

/* Commits a row for each key of the batch, and an index row of their names. */
static void batch_commit(struct rp_kernel *k, rp_ms now,
			 struct rp_claim_batch *b, struct rp_actions *acts)
{
	struct rp_row rows[CLAIM_BATCH_MAX + 1] = { 0 };
	struct rp_text *texts = kernel_alloc((b->n + 1) * sizeof(*texts));
	char(*names)[CLAIM_ROW_NAME_MAX] =
		kernel_alloc((b->n + 1) * sizeof(*names));
	struct rp_text *index = &texts[b->n];
	rp_ms expires = 0;
	size_t i;

	for (i = 0; i < b->n; i++) {
		const struct rp_claim *c = b->claims[i];
		struct rp_str key = { c->key, c->key_len };

		claim_row_name(key, names[i]);
		claim_row_format(k, c, &texts[i]);
		text_printf(index, "%s\n", names[i]);
		if (c->expires_at > expires)
			expires = c->expires_at;
	}
	kernel_lock(k, k->claims.lock);
	claim_index_name(k, expires, names[b->n], CLAIM_ROW_NAME_MAX);
	kernel_unlock(k, k->claims.lock);
	for (i = 0; i <= b->n; i++) {
		rows[i].name = str_of(names[i]);
		rows[i].value.ptr = texts[i].data;
		rows[i].value.len = texts[i].len;
	}
	platform_request(k, now, RP_PLATFORM_COMMIT, rows, b->n + 1,
			 commit_done, b, acts);
	for (i = 0; i <= b->n; i++)
		text_finish(&texts[i]);
	free(texts);
	free(names);
}

/* --- deadlines ------------------------------------------------------------ */

/* Removes and returns the overdue claims of the queue; the lock is held. */
static struct rp_claim *queue_remove_overdue(struct rp_claims *q, rp_ms now)
{
	struct rp_claim **at = &q->first, *list = NULL, *c;

	q->last = NULL;
	while ((c = *at)) {
		if (c->deadline > now) {
			q->last = c;
			at = &c->next;
			continue;
		}
		*at = c->next;
		q->nqueued--;
		c->next = list;
		list = c;
	}
	return list;
}

/*
 * Marks the overdue claims of the batches and adds copies of them to the list.
 * Their rows may still be committed, so the claims stay in their batches.
 */
static struct rp_claim *batches_mark_overdue(struct rp_claims *q, rp_ms now,
					     struct rp_claim *list)
{
	struct rp_claim_batch *b;
	size_t i;

	for (b = q->batches; b; b = b->next) {
		for (i = 0; i < b->n; i++) {
			struct rp_claim *c = b->claims[i], *copy;

			if (!c || c->overdue || c->deadline > now)
				continue;
			c->overdue = 1;
			copy = kernel_alloc(sizeof(*copy));
			*copy = *c;
			copy->maybe_committed = 1;
			copy->next = list;
			list = copy;
		}
	}
	return list;
}

/* Refuses the callers of claims that are not settled by their deadline. */
static void refuse_overdue(struct rp_kernel *k, rp_ms now,
			   struct rp_actions *acts)
{
	struct rp_claims *q = &k->claims;
	struct rp_claim *list = NULL, *c;
	struct rp_status st;

	rp_status_set(&st, RP_E_DEADLINE, RP_STEP_CLAIM, "platform",
		      "deadline passed before the claim was settled; this "
		      "call started nothing");
	kernel_lock(k, q->lock);
	if (q->deadline_check_due <= now) {
		q->deadline_check_due = now + DEADLINE_CHECK_MS;
		list = queue_remove_overdue(q, now);
		list = batches_mark_overdue(q, now, list);
	}
	for (c = list; c; c = c->next)
		q->counters.overdue++;
	kernel_unlock(k, q->lock);
	while ((c = list)) {
		list = c->next;
		claim_fail(k, now, c, &st, 0, acts);
		free(c);
	}
}

/* Returns a batch whose rows are due to be read again, or NULL. */
static struct rp_claim_batch *batch_find_due(struct rp_kernel *k, rp_ms now)
{
	struct rp_claims *q = &k->claims;
	struct rp_claim_batch *b;

	kernel_lock(k, q->lock);
	for (b = q->batches; b; b = b->next)
		if (b->read_back_at && b->read_back_at <= now)
			break;
	if (b)
		b->read_back_at = 0;
	kernel_unlock(k, q->lock);
	return b;
}

void claim_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	rp_ms vms = count_entry_vms(k);
	struct rp_claim_batch *b;

	refuse_overdue(k, now, acts);
	while ((b = batch_find_due(k, now)))
		read_back(k, now, b, acts);
	kernel_lock(k, k->claims.lock);
	b = batch_new(k, now, vms);
	kernel_unlock(k, k->claims.lock);
	if (b)
		batch_commit(k, now, b, acts);
	claim_sweep(k, now, acts);
}
