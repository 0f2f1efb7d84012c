/*
 * How the memory and the descriptors of the machine are divided. Settings that
 * allow more than there is are reduced.
 */

#include "daemon.h"

/* Parts of the sockets. */
#define CALLERS_SHARE 2
#define TARGETS_SHARE 4 /* idle connections, of all threads */
#define PEERS_SHARE 8
/* Parts of the memory, of all that callers may take. */
#define QUEUE_SHARE 8
#define RETAINED_SHARE 8
#define RECORDS_SHARE 4
#define RECORD_BYTES 768 /* of the record of a submission */
/* Bytes of a connection beside its header. */
#define CONNECTION_BYTES 2048

static size_t least(size_t a, size_t b)
{
	return a < b ? a : b;
}

void daemon_limits_init(struct daemon *d)
{
	const struct settings *s = d->settings;
	struct daemon_limits *l = &d->limits;
	size_t sockets = machine_sockets((size_t)s->descriptors);
	size_t cost = s->http_header + CONNECTION_BYTES;

	machine_init_allocator();
	budget_init(&d->budget, machine_memory((size_t)s->memory << 20));
	l->callers =
		least((size_t)s->http_connections, sockets / CALLERS_SHARE);
	l->callers = least(l->callers,
			   CONN_BUDGET(&d->budget) / (cost + CONN_UNREAD_MAX));
	l->target_idle =
		least((size_t)s->target_idle,
		      sockets / TARGETS_SHARE / (size_t)s->target_threads);
	l->peers = least((size_t)s->peer_connections, sockets / PEERS_SHARE);
	l->peer_queue = least(s->peer_queue, d->budget.limit / QUEUE_SHARE);
	LOG_EVENT(LOG_LEVEL_INFO, "limits",
		  LOG_NUMBER("held_bytes", (long long)d->budget.limit),
		  LOG_NUMBER("callers", (long long)l->callers),
		  LOG_NUMBER("target_idle", (long long)l->target_idle),
		  LOG_NUMBER("peers", (long long)l->peers),
		  LOG_NUMBER("peer_queue", (long long)l->peer_queue));
}

void daemon_limit_kernel(const struct daemon *d, struct rp_options *opt)
{
	size_t limit = d->budget.limit;

	opt->max_retained = least(opt->max_retained, limit / RETAINED_SHARE);
	opt->max_records =
		least(opt->max_records, limit / RECORDS_SHARE / RECORD_BYTES);
}
