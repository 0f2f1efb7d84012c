/* Edits of the operator's table. */

#include "rosemary-int.h"

void table_edit(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		struct rp_actions *acts)
{
	struct rp_action *a = action_add(acts, RP_ACTION_EDITED);

	(void)k;
	(void)now;
	a->token = ev->token;
	rp_status_set(&a->edited.status, RP_E_PLATFORM, RP_STEP_TABLE,
		      "platform", "the table cannot be edited now");
}
