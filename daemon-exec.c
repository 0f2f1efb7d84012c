/* Delivery of events to the kernel, and the actions that follow. */

#include "daemon.h"

static void execute(struct daemon *d, struct rp_action *act)
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

void daemon_execute(struct daemon *d, struct rp_actions *acts)
{
	size_t i;

	for (i = 0; i < acts->len; i++)
		execute(d, &acts->list[i]);
	rp_actions_clear(acts);
}

void daemon_event(struct daemon *d, const struct rp_event *ev)
{
	struct rp_actions acts;

	rp_actions_init(&acts);
	rp_kernel_event(d->kernel, daemon_now(), ev, &acts);
	daemon_execute(d, &acts);
	rp_actions_finish(&acts);
}

void daemon_drain(struct daemon *d)
{
	struct rp_event ev = { .type = RP_EVENT_DRAIN };

	if (atomic_exchange(&d->draining, 1))
		return;
	log_info("stop", "", "planned stop begins");
	daemon_event(d, &ev);
}
