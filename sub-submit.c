/*
 * Submissions, queries and cancellations. A call for a key with a record here
 * joins that record; a new key is started or claimed here when this entry VM
 * may own it; any other call is relayed to the owner.
 */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

/* Retry delay of a caller after RP_E_FULL or an unsettled claim, ms. */
#define RETRY_AFTER_FULL_MS 1000

struct rp_answer *answer_status(enum rp_state state, const struct rp_status *st,
				rp_ms retry_after)
{
	struct rp_answer *a = rp_answer_new(state);

	if (!a)
		abort();
	a->status = *st;
	a->retry_after = retry_after;
	return a;
}

void answer_waiter(struct rp_kernel *k, rp_ms now, const struct rp_waiter *w,
		   struct rp_answer *a, struct rp_actions *acts)
{
	struct rp_action *act;

	if (w->peer[0]) {
		relay_send_answer(k, now, w, a, acts);
		return;
	}
	act = action_add(acts, RP_ACTION_ANSWER);
	act->token = w->token;
	act->answer.answer = a;
}

static void answer_refused(struct rp_kernel *k, rp_ms now,
			   const struct rp_waiter *w,
			   const struct rp_status *st, rp_ms retry_after,
			   struct rp_actions *acts)
{
	answer_waiter(k, now, w, answer_status(RP_REFUSED, st, retry_after),
		      acts);
}

/* Returns the state of a record as an answer. */
static struct rp_answer *record_answer(const struct rp_record *r)
{
	struct rp_status st = { 0 };

	if (r->phase == RP_RECORD_UNCLAIMED) {
		rp_status_set(&st, RP_E_PLATFORM, RP_STEP_CLAIM, "platform",
			      "the claim of the key is not settled; nothing "
			      "was started here");
		return answer_status(RP_REFUSED, &st, RETRY_AFTER_FULL_MS);
	}
	if (r->phase != RP_RECORD_FINAL)
		return answer_status(RP_RUNNING, &st, 0);
	if (r->answer)
		return rp_answer_ref(r->answer);
	rp_status_set(&st, RP_E_DROPPED, RP_STEP_NONE, "",
		      "finished as %s; the answer is no longer retained",
		      rp_state_name(r->final_state));
	return answer_status(RP_REFUSED, &st, 0);
}

/* Answers from a record at once, or adds a waiter for its end or claim. */
static void record_join(struct rp_sub_shard *s, struct rp_record *r, rp_ms now,
			int wait, const struct rp_waiter *w,
			struct rp_actions *acts)
{
	struct rp_waiter waiter = *w;

	waiter.until_claimed = !wait;
	if (r->phase == RP_RECORD_CLAIMING)
		record_add_waiter(r, &waiter);
	else if (wait && r->phase == RP_RECORD_RUNNING)
		record_add_waiter(r, w);
	else
		answer_waiter(s->k, now, w, record_answer(r), acts);
}

/* Resumes an unsettled claim with the deadline of a resubmission. */
static void submit_resume_claim(struct rp_sub_shard *s, struct rp_record *r,
				rp_ms now, struct rp_submission *sub, int wait,
				const struct rp_waiter *w,
				struct rp_actions *acts)
{
	struct rp_waiter waiter = *w;
	struct rp_status st;

	/*
	 * The record expires key_lifetime + max_timeout after its receipt, so
	 * a submission that starts later than this might run beyond it.
	 */
	if (r->received_at + s->k->opt.key_lifetime <= now) {
		rp_status_set(&st, RP_E_EXPIRED, RP_STEP_CLAIM, "",
			      "key: has expired");
		answer_refused(s->k, now, w, &st, 0, acts);
		return;
	}
	waiter.until_claimed = !wait;
	record_add_waiter(r, &waiter);
	r->deadline = now + sub->timeout;
	claim_submit(s, r, now, sub, acts);
}

/* Joins a submission to the record of its key, or refuses another body. */
static void submit_duplicate(struct rp_sub_shard *s, struct rp_record *r,
			     rp_ms now, struct rp_submission *sub, int wait,
			     const struct rp_waiter *w, struct rp_actions *acts)
{
	struct rp_status st;

	if (r->digest != sub->digest) {
		s->counters.conflicts++;
		rp_status_set(&st, RP_E_CONFLICT, RP_STEP_ADMIT, "",
			      "key: was used with a different body");
		answer_refused(s->k, now, w, &st, 0, acts);
		return;
	}
	s->counters.joined++;
	if (r->phase == RP_RECORD_UNCLAIMED) {
		submit_resume_claim(s, r, now, sub, wait, w, acts);
		return;
	}
	record_join(s, r, now, wait, w, acts);
}

void submit_start(struct rp_sub_shard *s, struct rp_record *r, rp_ms now,
		  struct rp_submission *sub, struct rp_actions *acts)
{
	struct rp_dispatch *d = dispatch_shard_of(s->k, sub->service);
	rp_ms retry_after = 0;
	struct rp_status st;

	if (atomic_load(&s->k->draining) == RP_DRAIN_REFUSE) {
		rp_status_set(&st, RP_E_DRAINING, RP_STEP_STOP,
			      s->k->opt.vm_name, "this entry VM is stopping");
		s->counters.refused++;
		record_finish(s, r, now, answer_status(RP_NOT_RUN, &st, 0),
			      acts);
		return;
	}
	if (dispatch_submit(d, now, sub, r->deadline, &r->job_id, &st,
			    &retry_after, acts) == RP_OK)
		return;
	s->counters.refused++;
	record_finish(s, r, now, answer_status(RP_NOT_RUN, &st, retry_after),
		      acts);
}

/* Adds the record of a new key, then dispatches or claims the submission. */
static void submit_new(struct rp_sub_shard *s, rp_ms now,
		       struct rp_submission *sub, int wait,
		       const struct rp_waiter *w, struct rp_actions *acts)
{
	struct rp_status st = { 0 };
	struct rp_record *r = record_add(s, sub, now);
	struct rp_waiter waiter = *w;

	if (!r) {
		rp_status_set(&st, RP_E_FULL, RP_STEP_ADMIT, "",
			      "too many submission records are kept");
		answer_refused(s->k, now, w, &st, RETRY_AFTER_FULL_MS, acts);
		return;
	}
	s->counters.submitted++;
	if (sub->key_is_callers) {
		waiter.until_claimed = !wait;
		record_add_waiter(r, &waiter);
		claim_submit(s, r, now, sub, acts);
		return;
	}
	if (wait)
		record_add_waiter(r, w);
	else
		answer_waiter(s->k, now, w, answer_status(RP_RUNNING, &st, 0),
			      acts);
	submit_start(s, r, now, sub, acts);
}

/* Checks the length and bytes of a name. */
static enum rp_code check_name(struct rp_str s, const char *field,
			       struct rp_status *st)
{
	if (s.len && s.len < RP_NAME_MAX && !memchr(s.ptr, '\0', s.len))
		return RP_OK;
	return rp_status_set(st, RP_E_INPUT, RP_STEP_PARSE, "",
			     "%s: must have 1 to %d bytes", field,
			     RP_NAME_MAX - 1);
}

/* Checks the fields of a submission, whichever entry VM owns its key. */
static enum rp_code check_submission(const struct rp_kernel *k,
				     const struct rp_submission *sub,
				     struct rp_status *st)
{
	struct rp_key key;

	if (!sub->key.len || sub->key.len >= RP_KEY_MAX)
		return rp_status_set(st, RP_E_INPUT, RP_STEP_PARSE, "",
				     "key: must have 1 to %d bytes",
				     RP_KEY_MAX - 1);
	if (sub->key_is_callers && key_parse(sub->key, &key))
		return rp_status_set(st, RP_E_INPUT, RP_STEP_PARSE, "",
				     "key: has the form of an issued key");
	if (check_name(sub->service, "service", st) != RP_OK ||
	    check_name(sub->team, "team", st) != RP_OK)
		return st->code;
	if (sub->timeout < 1 || sub->timeout > k->opt.max_timeout)
		return rp_status_set(st, RP_E_INPUT, RP_STEP_PARSE, "",
				     "timeout_ms: must be 1 to %lld",
				     (long long)k->opt.max_timeout);
	if (!sub->ntasks || sub->ntasks > RP_TASKS_MAX)
		return rp_status_set(st, RP_E_INPUT, RP_STEP_PARSE, "",
				     "tasks: must be 1 to %d", RP_TASKS_MAX);
	return RP_OK;
}

int sub_join(struct rp_kernel *k, rp_ms now, struct rp_submission *sub,
	     int wait, const struct rp_waiter *w, struct rp_actions *acts)
{
	struct rp_sub_shard *s = sub_shard_of(k, sub->key);
	struct rp_record *r;

	kernel_lock(k, s->lock);
	r = record_find(s, sub->key);
	if (r)
		submit_duplicate(s, r, now, sub, wait, w, acts);
	kernel_unlock(k, s->lock);
	return r != NULL;
}

/* Handles a submission whose key this entry VM owns or may claim. */
static void submit_local(struct rp_kernel *k, rp_ms now,
			 struct rp_submission *sub, const struct rp_key *key,
			 int wait, const struct rp_waiter *w,
			 struct rp_actions *acts)
{
	struct rp_sub_shard *s = sub_shard_of(k, sub->key);
	struct rp_record *r;
	struct rp_status st;

	kernel_lock(k, s->lock);
	r = record_find(s, sub->key);
	if (r) {
		submit_duplicate(s, r, now, sub, wait, w, acts);
	} else if (key && key->expires_at <= now) {
		rp_status_set(&st, RP_E_EXPIRED, RP_STEP_ADMIT, "",
			      "key: has expired");
		answer_refused(k, now, w, &st, 0, acts);
	} else {
		submit_new(s, now, sub, wait, w, acts);
	}
	kernel_unlock(k, s->lock);
}

void sub_submit(struct rp_kernel *k, rp_ms now, struct rp_submission *sub,
		int wait, const struct rp_waiter *w, struct rp_actions *acts)
{
	struct rp_status st;
	struct rp_key key;

	if (check_submission(k, sub, &st) != RP_OK) {
		answer_refused(k, now, w, &st, 0, acts);
		return;
	}
	if (sub->key_is_callers) {
		submit_local(k, now, sub, NULL, wait, w, acts);
		return;
	}
	if (!key_parse(sub->key, &key)) {
		rp_status_set(&st, RP_E_INPUT, RP_STEP_PARSE, "",
			      "key: is not an issued key");
		answer_refused(k, now, w, &st, 0, acts);
		return;
	}
	if (key_issued_here(k, sub->key, &key))
		submit_local(k, now, sub, &key, wait, w, acts);
	else
		relay_submit(k, now, sub, &key, wait, w, acts);
}

void sub_query(struct rp_kernel *k, rp_ms now, struct rp_str key, int wait,
	       const struct rp_waiter *w, struct rp_actions *acts)
{
	struct rp_sub_shard *s = sub_shard_of(k, key);
	struct rp_key issued;
	struct rp_record *r;

	kernel_lock(k, s->lock);
	r = record_find(s, key);
	if (r)
		record_join(s, r, now, wait, w, acts);
	kernel_unlock(k, s->lock);
	if (r)
		return;
	if (key_parse(key, &issued))
		relay_query(k, now, key, wait, w, acts);
	else
		claim_resolve_owner(k, now, key, 0, wait, w, acts);
}

void sub_cancel(struct rp_kernel *k, rp_ms now, struct rp_str key,
		const struct rp_waiter *w, struct rp_actions *acts)
{
	struct rp_sub_shard *s = sub_shard_of(k, key);
	struct rp_waiter waiter = *w;
	struct rp_record *r;
	struct rp_key issued;

	kernel_lock(k, s->lock);
	r = record_find(s, key);
	if (r && r->phase == RP_RECORD_RUNNING) {
		record_add_waiter(r, w);
		dispatch_cancel(dispatch_shard_of(k, str_of(r->service)), now,
				r->job_id, acts);
	} else if (r && r->phase == RP_RECORD_CLAIMING) {
		/* It is answered as not run once the key is claimed. */
		r->cancelled = 1;
		waiter.is_cancel = 1;
		record_add_waiter(r, &waiter);
	} else if (r) {
		answer_waiter(k, now, w, record_answer(r), acts);
	}
	kernel_unlock(k, s->lock);
	if (r)
		return;
	if (key_parse(key, &issued))
		relay_cancel(k, now, key, w, acts);
	else
		claim_resolve_owner(k, now, key, 1, 1, w, acts);
}

/* Deferred work that makes the record of an ended job final. */
struct job_ended {
	struct rp_deferred deferred; /* must be first */
	struct rp_str key;	     /* points into answer->sub */
	struct rp_answer *answer;
};

/* Makes the record of an ended job final if it is still running. */
static void run_job_ended(struct rp_kernel *k, rp_ms now, struct rp_deferred *d,
			  struct rp_actions *acts)
{
	struct job_ended *e = (struct job_ended *)d;
	struct rp_sub_shard *s = sub_shard_of(k, e->key);
	struct rp_record *r;

	kernel_lock(k, s->lock);
	r = record_find(s, e->key);
	if (r && r->phase == RP_RECORD_RUNNING)
		record_finish(s, r, now, e->answer, acts);
	else
		rp_answer_unref(e->answer);
	kernel_unlock(k, s->lock);
	free(e);
}

void sub_job_ended(struct rp_answer *a, struct rp_actions *acts)
{
	struct job_ended *e = kernel_alloc(sizeof(*e));

	e->deferred.run = run_job_ended;
	e->key = a->sub->key;
	e->answer = a;
	kernel_defer(acts, &e->deferred);
}

void sub_tick(struct rp_sub_shard *s, rp_ms now)
{
	kernel_lock(s->k, s->lock);
	record_expire(s, now);
	kernel_unlock(s->k, s->lock);
}
