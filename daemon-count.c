/* Counters of the daemon, written in the metrics after the kernel's. */

#include "daemon.h"

#include <inttypes.h>

static const char *const names[COUNT_NCOUNTERS] = {
	[COUNT_HTTP_REQUESTS] = "http_requests_total",
	[COUNT_HTTP_BAD_INPUT] = "http_bad_input_total",
	[COUNT_HTTP_TOO_MANY_REQUESTS] = "http_full_total",
	[COUNT_HTTP_BYTES_IN] = "http_bytes_in_total",
	[COUNT_HTTP_BYTES_OUT] = "http_bytes_out_total",
	[COUNT_CALLERS_DISCONNECTED] = "http_callers_gone_total",
	[COUNT_TARGET_STARTS] = "target_starts_total",
	[COUNT_TARGET_LOOKUPS] = "target_lookups_total",
	[COUNT_TARGET_VOIDS] = "target_voids_total",
	[COUNT_TARGET_STOPS] = "target_stops_total",
	[COUNT_TARGET_UNSENT] = "target_unsent_total",
	[COUNT_TARGET_UNKNOWN] = "target_unknown_total",
	[COUNT_RESENDS_PREVENTED] = "resends_prevented_total",
	[COUNT_TARGET_CONNECTIONS_DROPPED] = "target_connections_dropped_total",
	[COUNT_TARGET_CONNECTS] = "target_connects_total",
	[COUNT_CONNECTIONS_SUSPECT] = "connections_suspect_total",
	[COUNT_TARGET_BYTES_OUT] = "target_bytes_out_total",
	[COUNT_TARGET_BYTES_IN] = "target_bytes_in_total",
	[COUNT_PLATFORM_READS] = "platform_calls_read_total",
	[COUNT_PLATFORM_COMMITS] = "platform_calls_commit_total",
	[COUNT_PLATFORM_CONFLICTS] = "platform_conflicts_total",
	[COUNT_PLATFORM_NO_EFFECT] = "platform_no_effect_total",
	[COUNT_PLATFORM_LOST] = "platform_lost_total",
	[COUNT_PEER_MESSAGES_OUT] = "peer_messages_out_total",
	[COUNT_PEER_MESSAGES_IN] = "peer_messages_in_total",
	[COUNT_PEER_BYTES_OUT] = "peer_bytes_out_total",
	[COUNT_PEER_BYTES_IN] = "peer_bytes_in_total",
	[COUNT_PEER_MESSAGES_DROPPED] = "peer_messages_dropped_total",
	[COUNT_PEER_CONNECTS] = "peer_connects_total",
	[COUNT_PEER_LINKS_DOWN] = "peer_down_total",
};

/* One cache line each, so that threads do not contend for a line. */
static struct {
	_Alignas(64) atomic_uint_fast64_t value;
} counters[COUNT_NCOUNTERS];

void counter_add(enum daemon_counter counter, uint64_t n)
{
	atomic_fetch_add_explicit(&counters[counter].value, n,
				  memory_order_relaxed);
}

void counter_write_all(struct rp_writer *w)
{
	int i;

	for (i = 0; i < COUNT_NCOUNTERS; i++) {
		uint64_t n = atomic_load_explicit(&counters[i].value,
						  memory_order_relaxed);

		rp_writer_printf(w, "rosemaryd_%s %" PRIu64 "\n", names[i], n);
	}
}
