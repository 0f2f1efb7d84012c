/* Calls for keys that another incarnation owns. */

#include "rosemary-int.h"

#define RETRY_AFTER_UNREACHABLE_MS 1000

static void unreachable(struct rp_kernel *k, rp_ms now, const char *owner,
			const struct rp_waiter *w, struct rp_actions *acts)
{
	struct rp_status st;

	rp_status_set(&st, RP_E_UNREACHABLE, RP_STEP_RELAY, owner,
		      "the owner of the key cannot be reached");
	sub_answer(k, now, w,
		   answer_status(RP_REFUSED, &st, RETRY_AFTER_UNREACHABLE_MS),
		   acts);
}

void relay_submit(struct rp_kernel *k, rp_ms now, struct rp_submission *sub,
		  const struct rp_key *key, int wait, const struct rp_waiter *w,
		  struct rp_actions *acts)
{
	(void)sub;
	(void)wait;
	unreachable(k, now, key->vm, w, acts);
}

/* A query or cancellation of a key that no record here knows. */
static void relay_key(struct rp_kernel *k, rp_ms now, struct rp_str text,
		      const struct rp_waiter *w, struct rp_actions *acts)
{
	struct rp_status st;
	struct rp_key key;

	if (key_parse(text, &key) && !key_is_ours(k, text, &key)) {
		unreachable(k, now, key.vm, w, acts);
		return;
	}
	rp_status_set(&st, RP_E_UNKNOWN_KEY, RP_STEP_RELAY, "",
		      "key: no submission is known");
	sub_answer(k, now, w, answer_status(RP_REFUSED, &st, 0), acts);
}

void relay_query(struct rp_kernel *k, rp_ms now, struct rp_str key, int wait,
		 const struct rp_waiter *w, struct rp_actions *acts)
{
	(void)wait;
	relay_key(k, now, key, w, acts);
}

void relay_cancel(struct rp_kernel *k, rp_ms now, struct rp_str key,
		  const struct rp_waiter *w, struct rp_actions *acts)
{
	relay_key(k, now, key, w, acts);
}

void relay_answer(struct rp_kernel *k, rp_ms now, const struct rp_waiter *w,
		  struct rp_answer *a, struct rp_actions *acts)
{
	(void)k;
	(void)now;
	(void)w;
	(void)acts;
	rp_answer_unref(a);
}
