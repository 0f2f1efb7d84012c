/* The table of all settings. */

#include "setting.h"

#include <stddef.h>

#define AT(member) offsetof(struct settings, member)
#define KIB (1LL << 10)
#define MIB (1LL << 20)
#define GIB (1LL << 30)
#define SECOND 1000LL
#define HOUR (3600 * SECOND)
#define DAY (24 * HOUR)

/*
 * name, type, required, default, min, max, unit, offset, help. A default of
 * NULL: as the kernel chooses.
 */
const struct setting setting_table[] = {
	{ "vm-name", SETTING_NAME, 1, "", 0, 0, "name", AT(kernel.vm_name),
	  "name of this entry VM" },
	{ "address", SETTING_ADDRESS, 1, "", 0, 0, "ip:port",
	  AT(kernel.address), "where other entry VMs reach this one" },
	{ "failure-domain", SETTING_NAME, 1, "", 0, 0, "name",
	  AT(kernel.failure_domain), "failure domain of this entry VM" },
	{ "http-listen", SETTING_ADDRESS, 1, "", 0, 0, "ip:port",
	  AT(http_listen), "where callers and operators connect" },
	{ "peer-listen", SETTING_ADDRESS, 0, "", 0, 0, "ip:port",
	  AT(peer_listen), "where to listen for peers, if not at address" },
	{ "platform", SETTING_ADDRESS, 1, "", 0, 0, "ip:port", AT(platform),
	  "address of the platform's service" },
	{ "entry-vm", SETTING_ENTRY_VM, 0, "", 0, 0, "name=ip:port,domain", 0,
	  "an entry VM known from the start; repeatable" },
	{ "target", SETTING_TARGET, 0, "", 0, 0,
	  "name=ip:port,domain,service[,slots=N][,connections=N][,lookup]"
	  "[,void]",
	  0, "a target known from the start; repeatable" },

	{ "http-threads", SETTING_INT, 0, "4", 1, 64, "threads",
	  AT(http_threads), "threads that serve callers" },
	{ "target-threads", SETTING_INT, 0, "4", 1, 64, "threads",
	  AT(target_threads), "threads that call targets" },
	{ "http-connections", SETTING_INT, 0, "4096", 1, 1000000, "connections",
	  AT(http_connections), "callers connected at once" },
	{ "http-waiting", SETTING_INT, 0, "8192", 1, 1000000, "calls",
	  AT(http_waiting), "callers waiting for an answer at once" },
	{ "http-header", SETTING_SIZE, 0, "32768", 4 * KIB, MIB, "bytes",
	  AT(http_header), "memory for one connection's request header" },
	{ "http-body", SETTING_SIZE, 0, "4194304", KIB, GIB, "bytes",
	  AT(http_body), "longest body of one request" },
	{ "http-idle", SETTING_MS, 0, "60000", SECOND, HOUR, "ms",
	  AT(http_idle), "a silent connection is closed after" },
	{ "http-read", SETTING_MS, 0, "30000", 100, HOUR, "ms", AT(http_read),
	  "a request's body must have arrived within" },
	{ "default-timeout", SETTING_MS, 0, "30000", 1, DAY, "ms",
	  AT(default_timeout), "timeout of a submission that gives none" },
	{ "max-result", SETTING_SIZE, 0, "1048576", KIB, GIB, "bytes",
	  AT(max_result), "longest result of one task" },
	{ "connect-timeout", SETTING_MS, 0, "1000", 10, 60 * SECOND, "ms",
	  AT(connect_timeout), "a connection must be made within" },
	{ "target-idle", SETTING_INT, 0, "1024", 1, 65536, "connections",
	  AT(target_idle), "connections to targets kept, per thread" },
	{ "target-idle-age", SETTING_MS, 0, "1000", SECOND, HOUR, "ms",
	  AT(target_idle_age), "an idle connection is closed after" },
	{ "peer-connections", SETTING_INT, 0, "256", 1, 65536, "connections",
	  AT(peer_connections), "inbound connections of entry VMs" },
	{ "peer-message", SETTING_SIZE, 0, "16777216", 64 * KIB, GIB, "bytes",
	  AT(peer_message), "longest message from an entry VM" },
	{ "peer-queue", SETTING_SIZE, 0, "67108864", 64 * KIB, GIB, "bytes",
	  AT(peer_queue), "bytes that wait to be sent, per entry VM" },
	{ "peer-idle", SETTING_MS, 0, "60000", SECOND, HOUR, "ms",
	  AT(peer_idle), "a silent inbound peer connection is closed after" },
	{ "platform-calls", SETTING_INT, 0, "256", 1, 65536, "calls",
	  AT(platform_calls), "calls to the platform at once" },
	{ "drain-limit", SETTING_MS, 0, "60000", 0, HOUR, "ms", AT(drain_limit),
	  "a planned stop gives up after" },
	{ "log-level", SETTING_LEVEL, 0, "info", 0, 0, "error|warn|info|debug",
	  AT(log_level), "least level of log lines" },

	{ "seed", SETTING_NUMBER, 0, "0", 0, INT64_MAX, "number",
	  AT(kernel.seed), "seed of random choices; 0: from the system" },
	{ "route", SETTING_NAME, 0, NULL, 0, 0, "plug-in", AT(kernel.route),
	  "policy that picks a target" },
	{ "queue", SETTING_NAME, 0, NULL, 0, 0, "plug-in", AT(kernel.queue),
	  "policy that orders waiting tasks" },
	{ "admit", SETTING_NAME, 0, NULL, 0, 0, "plug-in", AT(kernel.admit),
	  "policy that admits submissions" },
	{ "limit", SETTING_NAME, 0, NULL, 0, 0, "plug-in", AT(kernel.limit),
	  "policy that limits tasks in flight" },
	{ "health", SETTING_NAME, 0, NULL, 0, 0, "plug-in", AT(kernel.health),
	  "policy that judges targets" },
	{ "retry", SETTING_NAME, 0, NULL, 0, 0, "plug-in", AT(kernel.retry),
	  "policy that retries and hedges" },
	{ "key-lifetime", SETTING_MS, 0, NULL, SECOND, 30 * DAY, "ms",
	  AT(kernel.key_lifetime), "life of an issued key" },
	{ "max-timeout", SETTING_MS, 0, NULL, 1, DAY, "ms",
	  AT(kernel.max_timeout), "longest timeout that a caller may ask" },
	{ "max-queued", SETTING_SIZE, 0, NULL, 1, 100000000, "tasks",
	  AT(kernel.max_queued), "tasks waiting, per service" },
	{ "max-records", SETTING_SIZE, 0, NULL, 1, 100000000, "submissions",
	  AT(kernel.max_records), "submissions remembered" },
	{ "max-retained", SETTING_SIZE, 0, NULL, 0, 1024 * GIB, "bytes",
	  AT(kernel.max_retained), "finished answers kept" },
	{ "retry-percent", SETTING_INT, 0, NULL, 0, 100, "percent",
	  AT(kernel.retry_percent), "retries and hedges, of first sends" },
	{ "silence-limit", SETTING_MS, 0, NULL, 10, HOUR, "ms",
	  AT(kernel.silence_limit), "a start without answer is looked up" },
	{ "table-poll", SETTING_MS, 0, NULL, 10, HOUR, "ms",
	  AT(kernel.table_poll), "mean span between polls of the table" },
	{ "list-poll", SETTING_MS, 0, NULL, 10, HOUR, "ms",
	  AT(kernel.list_poll), "mean span between polls of the VM list" },
	{ "heartbeat", SETTING_MS, 0, NULL, 10, HOUR, "ms",
	  AT(kernel.heartbeat), "span between heartbeats to an entry VM" },
	{ "credit-lease", SETTING_MS, 0, NULL, 10, HOUR, "ms",
	  AT(kernel.credit_lease), "life of a slot credit" },
	{ "claim-batch", SETTING_INT, 0, NULL, 1, 10000, "claims",
	  AT(kernel.claim_batch), "claims in one transaction" },
	{ "claim-interval", SETTING_MS, 0, NULL, 0, HOUR, "ms",
	  AT(kernel.claim_interval), "least span between claim commits" },
	{ "trace-events", SETTING_SIZE, 0, NULL, 16, 100000000, "events",
	  AT(kernel.trace_events), "length of the event ring" },
	{ "abort-on-violation", SETTING_INT, 0, NULL, 0, 1, "0 or 1",
	  AT(kernel.abort_on_violation),
	  "for tests: abort at a broken invariant" },
};

const size_t setting_count = sizeof(setting_table) / sizeof(*setting_table);
