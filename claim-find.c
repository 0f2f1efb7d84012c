/*
 * Queries and cancellations of a caller's own key without a record here. The
 * row of the key's claim is read, and the call is relayed to the owner that
 * it names.
 */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

#define READS_IN_FLIGHT_MAX 64 /* reads without a reply */

/* Retry delay of a caller after a refusal, ms. */
#define RETRY_AFTER_MS 1000

/* A call that waits for the read of its key's row. */
struct owner_lookup {
	char key[RP_KEY_MAX];
	size_t key_len;
	int cancel, wait;
	struct rp_waiter waiter;
};

/* Answers a call with a refusal. */
static void refuse_call(struct rp_kernel *k, rp_ms now,
			const struct owner_lookup *call, enum rp_code code,
			const char *peer, const char *message,
			rp_ms retry_after, struct rp_actions *acts)
{
	struct rp_status st;

	rp_status_set(&st, code, RP_STEP_CLAIM, peer, "%s", message);
	answer_waiter(k, now, &call->waiter,
		      answer_status(RP_REFUSED, &st, retry_after), acts);
}

/* Relays a call to the owner of the key. */
static void relay_to_owner(struct rp_kernel *k, rp_ms now,
			   const struct owner_lookup *call,
			   const struct rp_claim_row *row,
			   struct rp_actions *acts)
{
	struct rp_str key = { call->key, call->key_len };

	if (row->incarnation == k->opt.incarnation &&
	    !strcmp(row->vm, k->opt.vm_name))
		refuse_call(k, now, call, RP_E_EXPIRED, "", "key: has expired",
			    0, acts);
	else if (call->cancel)
		relay_cancel_to(k, now, key, row->vm, row->incarnation,
				&call->waiter, acts);
	else
		relay_query_to(k, now, key, row->vm, row->incarnation,
			       call->wait, &call->waiter, acts);
}

/* Handles the platform's reply with the row of the key. */
static void row_read_done(struct rp_kernel *k, rp_ms now, void *ctx,
			  const struct rp_event *ev, struct rp_actions *acts)
{
	struct owner_lookup *call = ctx;
	struct rp_claim_row row;

	kernel_lock(k, k->claims.lock);
	k->claims.reads_in_flight--;
	kernel_unlock(k, k->claims.lock);
	if (ev->platform.outcome != RP_PLATFORM_DONE || ev->platform.nrows != 1)
		refuse_call(k, now, call, RP_E_PLATFORM, "platform",
			    "the owner of the key cannot be looked up now",
			    RETRY_AFTER_MS, acts);
	else if (!ev->platform.rows[0].version ||
		 !claim_row_parse(ev->platform.rows[0].value, &row))
		refuse_call(k, now, call, RP_E_UNKNOWN_KEY, "",
			    "key: no submission is known", 0, acts);
	else
		relay_to_owner(k, now, call, &row, acts);
	free(call);
}

/* Counts one more read in flight; returns 0 at the limit. */
static int reserve_read(struct rp_kernel *k)
{
	int available;

	kernel_lock(k, k->claims.lock);
	available = k->claims.reads_in_flight < READS_IN_FLIGHT_MAX;
	k->claims.reads_in_flight += available;
	kernel_unlock(k, k->claims.lock);
	return available;
}

void claim_resolve_owner(struct rp_kernel *k, rp_ms now, struct rp_str key,
			 int cancel, int wait, const struct rp_waiter *w,
			 struct rp_actions *acts)
{
	struct owner_lookup *call = kernel_alloc(sizeof(*call));
	char name[CLAIM_ROW_NAME_MAX];
	struct rp_row row = { 0 };

	call->waiter = *w;
	call->cancel = cancel;
	call->wait = wait;
	if (!key.len || key.len >= RP_KEY_MAX || !reserve_read(k)) {
		refuse_call(k, now, call,
			    key.len && key.len < RP_KEY_MAX ? RP_E_FULL
							    : RP_E_INPUT,
			    "",
			    key.len && key.len < RP_KEY_MAX ? "too many keys "
							      "are being "
							      "looked up"
							    : "key: has an "
							      "invalid "
							      "length",
			    RETRY_AFTER_MS, acts);
		free(call);
		return;
	}
	str_copy(call->key, sizeof(call->key), key);
	call->key_len = key.len;
	claim_row_name(key, name);
	row.name = str_of(name);
	platform_request(k, now, RP_PLATFORM_READ, &row, 1, row_read_done, call,
			 acts);
}
