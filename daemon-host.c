/*
 * Hosts whose open connections may be dead.
 *
 * A firewall or NAT gateway may lose the state of open connections. Requests on
 * them then get no response, while new connections work. After a call on a
 * reused connection got no response, the other open connections to the same
 * host are not used until they have reached their maximum age.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* curl measures the age of a connection in whole seconds. */
#define AGE_MARGIN_MS 1000

struct loop_host {
	struct loop_host *next;
	char address[RP_ADDRESS_MAX];
	rp_ms suspect_until; /* older connections have been closed by then */
};

int loop_host_is_suspect(struct loop *l, const char *address)
{
	struct loop_host *host;
	rp_ms now;

	if (!l->suspect_hosts)
		return 0;
	now = daemon_now();
	for (host = l->suspect_hosts; host; host = host->next)
		if (!strcmp(host->address, address))
			return host->suspect_until > now;
	return 0;
}

/* Frees expired entries, so that the list stays short. */
static void remove_expired(struct loop *l, rp_ms now)
{
	struct loop_host **link = &l->suspect_hosts;

	while (*link) {
		struct loop_host *host = *link;

		if (host->suspect_until > now) {
			link = &host->next;
			continue;
		}
		*link = host->next;
		free(host);
	}
}

void loop_host_mark_suspect(struct loop *l, const char *address)
{
	rp_ms now = daemon_now();
	struct loop_host *host;

	remove_expired(l, now);
	for (host = l->suspect_hosts; host; host = host->next)
		if (!strcmp(host->address, address))
			break;
	if (!host) {
		host = calloc(1, sizeof(*host));
		if (!host)
			return;
		memcpy(host->address, address, strlen(address) + 1);
		host->next = l->suspect_hosts;
		l->suspect_hosts = host;
		counter_add(COUNT_CONNECTIONS_SUSPECT, 1);
	}
	host->suspect_until =
		now + l->d->settings->target_idle_age + AGE_MARGIN_MS;
}

void loop_hosts_finish(struct loop *l)
{
	while (l->suspect_hosts) {
		struct loop_host *host = l->suspect_hosts;

		l->suspect_hosts = host->next;
		free(host);
	}
}
