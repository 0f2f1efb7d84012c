/* Passes events to the kernel and executes the actions that it returns. */

#include "daemon.h"

static void execute_action(struct daemon *d, struct rp_action *act)
{
	switch (act->type) {
	case RP_ACTION_KEYS:
	case RP_ACTION_ANSWER:
	case RP_ACTION_EDITED:
		http_execute(d, act);
		break;
	case RP_ACTION_START:
	case RP_ACTION_LOOKUP:
	case RP_ACTION_VOID:
	case RP_ACTION_STOP:
		target_execute(d, act);
		break;
	case RP_ACTION_PEER:
	case RP_ACTION_PEER_RESET:
		peer_execute(d, act);
		break;
	case RP_ACTION_PLATFORM:
		platform_execute(d, act);
		break;
	case RP_ACTION_DRAINED:
		atomic_store(&d->drained, 1);
		break;
	}
}

void daemon_execute_actions(struct daemon *d, struct rp_actions *actions)
{
	size_t i;

	for (i = 0; i < actions->len; i++)
		execute_action(d, &actions->list[i]);
	rp_actions_clear(actions);
}

void daemon_handle_event(struct daemon *d, const struct rp_event *ev)
{
	struct rp_actions actions;

	rp_actions_init(&actions);
	rp_kernel_event(d->kernel, daemon_now(), ev, &actions);
	daemon_execute_actions(d, &actions);
	rp_actions_finish(&actions);
}

void daemon_drain(struct daemon *d)
{
	struct rp_event ev = { .type = RP_EVENT_DRAIN };

	if (atomic_exchange(&d->draining, 1))
		return;
	log_info("stop", "", "planned stop has begun");
	daemon_handle_event(d, &ev);
}
