/*
 * Hosts whose open connections are not to be trusted.
 *
 * Something between two ends may lose track of open connections, which then
 * stay silent for good while new ones work. After one reused connection was
 * silent, the others to the same host are not used until they have aged out.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

#define AGE_MARGIN_MS 1000 /* curl counts the age in whole seconds */

struct loop_host {
	struct loop_host *next;
	char address[RP_ADDRESS_MAX];
	rp_ms fresh_until;
};

int loop_host_is_suspect(struct loop *l, const char *address)
{
	struct loop_host *h;
	rp_ms now;

	if (!l->suspects)
		return 0;
	now = daemon_now();
	for (h = l->suspects; h; h = h->next)
		if (!strcmp(h->address, address))
			return h->fresh_until > now;
	return 0;
}

/* Frees entries that have passed, so that the list stays short. */
static void forget_passed(struct loop *l, rp_ms now)
{
	struct loop_host **at = &l->suspects;

	while (*at) {
		struct loop_host *h = *at;

		if (h->fresh_until > now) {
			at = &h->next;
			continue;
		}
		*at = h->next;
		free(h);
	}
}

void loop_host_suspect(struct loop *l, const char *address)
{
	rp_ms now = daemon_now();
	struct loop_host *h;

	forget_passed(l, now);
	for (h = l->suspects; h; h = h->next)
		if (!strcmp(h->address, address))
			break;
	if (!h) {
		h = calloc(1, sizeof(*h));
		if (!h)
			return;
		memcpy(h->address, address, strlen(address) + 1);
		h->next = l->suspects;
		l->suspects = h;
		count_add(COUNT_CONNECTIONS_SUSPECT, 1);
	}
	h->fresh_until = now + l->d->set->target_idle_age + AGE_MARGIN_MS;
}

void loop_hosts_finish(struct loop *l)
{
	while (l->suspects) {
		struct loop_host *h = l->suspects;

		l->suspects = h->next;
		free(h);
	}
}
