/*
 * Records of submissions. Each key that this incarnation has accepted has a
 * record until the key has expired, so that no submission starts twice.
 * Final answers are retained up to max_retained bytes, then the oldest are
 * dropped.
 */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

void sub_init(struct rp_kernel *k, unsigned index)
{
	struct rp_sub_shard *s = &k->subs[index];

	s->k = k;
	s->index = index;
	s->lock = kernel_lock_new(k);
	apr_pool_create(&s->pool, k->pool);
	s->records = hash_new(s->pool);
}

/* Removes a record from the list by age. */
static void age_unlink(struct rp_sub_shard *s, struct rp_record *r)
{
	if (s->by_age.first == r)
		s->by_age.first = r->next;
	else
		r->prev->next = r->next;
	if (s->by_age.last == r)
		s->by_age.last = r->prev;
	else
		r->next->prev = r->prev;
}

/* Removes a record from the list of retained answers. */
static void retained_unlink(struct rp_sub_shard *s, struct rp_record *r)
{
	if (s->retained.first == r)
		s->retained.first = r->retained_next;
	else
		r->retained_prev->retained_next = r->retained_next;
	if (s->retained.last == r)
		s->retained.last = r->retained_prev;
	else
		r->retained_next->retained_prev = r->retained_prev;
	r->retained = 0;
	s->retained_bytes -= r->answer->bytes;
}

/* Frees the waiters without an answer. */
static void waiters_drop(struct rp_record *r)
{
	while (r->waiters) {
		struct rp_waiter *w = r->waiters;

		r->waiters = w->next;
		free(w);
	}
}

void record_remove(struct rp_sub_shard *s, struct rp_record *r)
{
	apr_hash_set(s->records, r->key, (apr_ssize_t)r->key_len, NULL);
	age_unlink(s, r);
	if (r->retained)
		retained_unlink(s, r);
	if (s->handover_next == r)
		s->handover_next = r->next;
	waiters_drop(r);
	rp_answer_unref(r->answer);
	rp_submission_unref(r->sub);
	free(r);
	s->nrecords--;
}

void sub_finish(struct rp_sub_shard *s)
{
	while (s->by_age.first)
		record_remove(s, s->by_age.first);
	kernel_lock_free(s->k, s->lock);
}

struct rp_sub_shard *sub_shard_of(struct rp_kernel *k, struct rp_str key)
{
	return &k->subs[(str_hash(key) >> 32) % RP_SUB_SHARDS];
}

struct rp_record *record_find(struct rp_sub_shard *s, struct rp_str key)
{
	return apr_hash_get(s->records, key.ptr, (apr_ssize_t)key.len);
}

/* Adds an empty record of the key; returns NULL when the shard is full. */
static struct rp_record *record_new(struct rp_sub_shard *s, struct rp_str key)
{
	struct rp_record *r;

	if (s->nrecords >= s->k->opt.max_records / RP_SUB_SHARDS)
		return NULL;
	r = kernel_alloc(sizeof(*r));
	str_copy(r->key, sizeof(r->key), key);
	r->key_len = key.len;
	r->prev = s->by_age.last;
	if (r->prev)
		r->prev->next = r;
	else
		s->by_age.first = r;
	s->by_age.last = r;
	apr_hash_set(s->records, r->key, (apr_ssize_t)r->key_len, r);
	s->nrecords++;
	return r;
}

struct rp_record *record_add(struct rp_sub_shard *s, struct rp_submission *sub,
			     rp_ms now)
{
	const struct rp_options *opt = &s->k->opt;
	struct rp_record *r;

	record_expire(s, now);
	r = record_new(s, sub->key);
	if (!r)
		return NULL;
	r->digest = sub->digest;
	r->phase = RP_RECORD_RUNNING;
	str_copy(r->service, sizeof(r->service), sub->service);
	r->received_at = now;
	r->deadline = now + sub->timeout;
	r->expires_at = now + opt->key_lifetime + opt->max_timeout;
	return r;
}

void record_add_waiter(struct rp_record *r, const struct rp_waiter *w)
{
	struct rp_waiter *copy;

	/* A relayed call that the peer resends has a single waiter. */
	for (copy = r->waiters; w->peer[0] && copy; copy = copy->next)
		if (copy->relay_id == w->relay_id &&
		    !strcmp(copy->peer, w->peer))
			return;
	copy = kernel_alloc(sizeof(*copy));
	*copy = *w;
	copy->next = r->waiters;
	r->waiters = copy;
}

/* Retains a final answer; drops the oldest ones over the size limit. */
static void record_retain(struct rp_sub_shard *s, struct rp_record *r)
{
	size_t bound = s->k->opt.max_retained / RP_SUB_SHARDS;

	r->retained = 1;
	r->retained_prev = s->retained.last;
	if (r->retained_prev)
		r->retained_prev->retained_next = r;
	else
		s->retained.first = r;
	s->retained.last = r;
	s->retained_bytes += r->answer->bytes;
	while (s->retained_bytes > bound) {
		struct rp_record *old = s->retained.first;

		retained_unlink(s, old);
		rp_answer_unref(old->answer);
		old->answer = NULL;
		s->counters.dropped_answers++;
	}
}

void record_finish(struct rp_sub_shard *s, struct rp_record *r, rp_ms now,
		   struct rp_answer *a, struct rp_actions *acts)
{
	struct rp_trace_subject about = { .key = { r->key, r->key_len },
					  .task = -1 };

	r->phase = RP_RECORD_FINAL;
	r->final_state = a->state;
	r->answer = a;
	rp_submission_unref(r->sub);
	r->sub = NULL;
	while (r->waiters) {
		struct rp_waiter *w = r->waiters;

		r->waiters = w->next;
		answer_waiter(s->k, now, w, rp_answer_ref(a), acts);
		free(w);
	}
	trace_event(s->k, now, RP_TRACE_ANSWERED, &about, "%s %s",
		    rp_state_name(a->state), rp_code_name(a->status.code));
	/* An answer without results is small and kept as long as the record. */
	if (a->bytes)
		record_retain(s, r);
}

int record_adopt(struct rp_sub_shard *s, struct rp_str key, uint64_t digest,
		 rp_ms expires, enum rp_state state, struct rp_answer *a)
{
	struct rp_record *r = record_find(s, key);

	if (r) {
		rp_answer_unref(a);
		return 1;
	}
	r = record_new(s, key);
	if (!r) {
		rp_answer_unref(a);
		return 0;
	}
	r->digest = digest;
	r->phase = RP_RECORD_FINAL;
	r->final_state = state;
	r->expires_at = expires;
	r->answer = a;
	if (a && a->bytes)
		record_retain(s, r);
	return 1;
}

void record_expire(struct rp_sub_shard *s, rp_ms now)
{
	struct rp_record *r;

	while ((r = s->by_age.first) && r->expires_at <= now &&
	       (r->phase == RP_RECORD_FINAL || r->phase == RP_RECORD_UNCLAIMED))
		record_remove(s, r);
}
