/* Claims of the callers' own keys in the platform's table. */

#include "rosemary-int.h"

void claim_submit(struct rp_sub_shard *s, struct rp_record *r, rp_ms now,
		  struct rp_submission *sub, struct rp_actions *acts)
{
	struct rp_status st;

	(void)sub;
	rp_status_set(&st, RP_E_PLATFORM, RP_STEP_CLAIM, "platform",
		      "the key cannot be claimed; use an issued key");
	record_finish(s, r, now, answer_status(RP_NOT_RUN, &st, 0), acts);
}

void claim_tick(struct rp_sub_shard *s, rp_ms now, struct rp_actions *acts)
{
	(void)s;
	(void)now;
	(void)acts;
}
