/* The list of actions that an event returns. */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

void rp_actions_init(struct rp_actions *acts)
{
	memset(acts, 0, sizeof(*acts));
}

static void action_free(struct rp_action *a)
{
	switch (a->type) {
	case RP_ACTION_KEYS:
		free(a->keys.keys);
		break;
	case RP_ACTION_ANSWER:
		rp_answer_unref(a->answer.answer);
		break;
	case RP_ACTION_START:
	case RP_ACTION_LOOKUP:
	case RP_ACTION_VOID:
	case RP_ACTION_STOP:
		rp_submission_unref(a->start.sub);
		break;
	case RP_ACTION_PEER:
	case RP_ACTION_PEER_RESET:
		rp_blob_unref(a->peer.data);
		break;
	case RP_ACTION_PLATFORM:
		free(a->platform.rows);
		rp_blob_unref(a->platform.data);
		break;
	case RP_ACTION_EDITED:
		free(a->edited.conflicts);
		break;
	case RP_ACTION_DRAINED:
		break;
	}
}

void rp_actions_clear(struct rp_actions *acts)
{
	size_t i;

	for (i = 0; i < acts->len; i++)
		action_free(&acts->list[i]);
	acts->len = 0;
}

void rp_actions_finish(struct rp_actions *acts)
{
	rp_actions_clear(acts);
	free(acts->list);
	rp_actions_init(acts);
}

struct rp_action *action_add(struct rp_actions *acts, enum rp_action_type type)
{
	struct rp_action *a;

	if (acts->len == acts->cap) {
		acts->cap = acts->cap ? 2 * acts->cap : 16;
		acts->list = kernel_realloc(acts->list,
					    acts->cap * sizeof(*acts->list));
	}
	a = &acts->list[acts->len++];
	memset(a, 0, sizeof(*a));
	a->type = type;
	return a;
}
