/*
 * Queries and cancellations of a caller's own key that no record here knows:
 * the owner is the one that the row of the claim names.
 */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

#define FINDS_MAX 64 /* reads without answer at one time */

/* When to come back after a refusal, mean, ms. */
#define RETRY_AFTER_MS 1000

/* A call that waits for the row of its key. */
struct claim_call {
	char key[RP_KEY_MAX];
	size_t key_len;
	int cancel, wait;
	struct rp_waiter waiter;
};

static void find_refuse(struct rp_kernel *k, rp_ms now,
			const struct claim_call *call, enum rp_code code,
			const char *peer, const char *message,
			rp_ms retry_after, struct rp_actions *acts)
{
	struct rp_status st;

	rp_status_set(&st, code, RP_STEP_CLAIM, peer, "%s", message);
	sub_answer(k, now, &call->waiter,
		   answer_status(RP_REFUSED, &st, retry_after), acts);
}

/* Sends the call on to the owner of the key. */
static void find_pass(struct rp_kernel *k, rp_ms now,
		      const struct claim_call *call,
		      const struct rp_claim_row *row, struct rp_actions *acts)
{
	struct rp_str key = { call->key, call->key_len };

	if (row->incarnation == k->opt.incarnation &&
	    !strcmp(row->vm, k->opt.vm_name))
		find_refuse(k, now, call, RP_E_EXPIRED, "", "key: has expired",
			    0, acts);
	else if (call->cancel)
		relay_cancel_to(k, now, key, row->vm, row->incarnation,
				&call->waiter, acts);
	else
		relay_query_to(k, now, key, row->vm, row->incarnation,
			       call->wait, &call->waiter, acts);
}

static void find_done(struct rp_kernel *k, rp_ms now, void *ctx,
		      const struct rp_event *ev, struct rp_actions *acts)
{
	struct claim_call *call = ctx;
	struct rp_claim_row row;

	kernel_lock(k, k->claims.lock);
	k->claims.reads_in_flight--;
	kernel_unlock(k, k->claims.lock);
	if (ev->platform.outcome != RP_PLATFORM_DONE || ev->platform.nrows != 1)
		find_refuse(k, now, call, RP_E_PLATFORM, "platform",
			    "the owner of the key cannot be looked up now",
			    RETRY_AFTER_MS, acts);
	else if (!ev->platform.rows[0].version ||
		 !claim_row_parse(ev->platform.rows[0].value, &row))
		find_refuse(k, now, call, RP_E_UNKNOWN_KEY, "",
			    "key: no submission is known", 0, acts);
	else
		find_pass(k, now, call, &row, acts);
	free(call);
}

/* Takes one of the reads that may be out; 0 when there is none. */
static int find_take(struct rp_kernel *k)
{
	int free_one;

	kernel_lock(k, k->claims.lock);
	free_one = k->claims.reads_in_flight < FINDS_MAX;
	k->claims.reads_in_flight += free_one;
	kernel_unlock(k, k->claims.lock);
	return free_one;
}

void claim_resolve_owner(struct rp_kernel *k, rp_ms now, struct rp_str key,
			 int cancel, int wait, const struct rp_waiter *w,
			 struct rp_actions *acts)
{
	struct claim_call *call = kernel_alloc(sizeof(*call));
	char name[CLAIM_ROW_NAME_MAX];
	struct rp_row row = { 0 };

	call->waiter = *w;
	call->cancel = cancel;
	call->wait = wait;
	if (!key.len || key.len >= RP_KEY_MAX || !find_take(k)) {
		find_refuse(k, now, call,
			    key.len && key.len < RP_KEY_MAX ? RP_E_FULL
							    : RP_E_INPUT,
			    "",
			    key.len && key.len < RP_KEY_MAX ? "too many keys "
							      "are being "
							      "looked up"
							    : "key: has a bad "
							      "length",
			    RETRY_AFTER_MS, acts);
		free(call);
		return;
	}
	str_copy(call->key, sizeof(call->key), key);
	call->key_len = key.len;
	claim_row_name(key, name);
	row.name = str_of(name);
	platform_ask(k, now, RP_PLATFORM_READ, &row, 1, find_done, call, acts);
}
