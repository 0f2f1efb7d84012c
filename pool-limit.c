/*
 * How the memory and the descriptors of this VM's machine are divided. Both are
 * stated by the platform; where they are not, they are those of the system.
 */

#include "pool.h"

/* Parts of the sockets, and of the memory that connections of callers take. */
#define CALLERS_SHARE 2
#define READY_SHARE 32
#define METRICS_SHARE 32
#define READY_MAX 64
#define METRICS_MAX 16
#define IDLE_CALLS_MAX 4096 /* connections kept for further calls */
#define LOG_INTERVAL_MS 1000

static size_t least(size_t a, size_t b)
{
	return a < b ? a : b;
}

void pool_limits_init(struct pool *p)
{
	struct pool_limits *l = &p->limits;
	size_t sockets = machine_sockets(p->set.descriptors);
	size_t memory = machine_memory(p->set.memory), others;

	machine_init_allocator();
	budget_init(&p->budget, memory);
	l->callers = sockets / CALLERS_SHARE;
	if (p->budget.limit)
		l->callers = least(l->callers, CONN_BUDGET(&p->budget) /
						       (POOL_CONNECTION_COST +
							CONN_UNREAD_MAX));
	l->ready = least(READY_MAX, sockets / READY_SHARE);
	l->metrics = least(METRICS_MAX, sockets / METRICS_SHARE);
	others = sockets - sockets / CALLERS_SHARE - l->ready - l->metrics;
	l->links = others / 2;
	l->calls = others - l->links;
	l->idle_calls = least(IDLE_CALLS_MAX, l->calls / 2);
	LOG_EVENT(LOG_LEVEL_INFO, "limits",
		  LOG_NUMBER("memory_mb", (long long)(memory >> 20)),
		  LOG_NUMBER("held_bytes", (long long)p->budget.limit),
		  LOG_NUMBER("callers", (long long)l->callers),
		  LOG_NUMBER("ready", (long long)l->ready),
		  LOG_NUMBER("metrics", (long long)l->metrics),
		  LOG_NUMBER("links", (long long)l->links),
		  LOG_NUMBER("calls", (long long)l->calls));
}

void pool_hold(struct pool *p, enum rp_hold kind, long n)
{
	if (n >= 0)
		budget_add(&p->budget, kind, (size_t)n);
	else
		budget_release(&p->budget, kind, (size_t)-n);
}

void pool_limits_tick(struct pool *p)
{
	int i;

	machine_trim(&p->budget, &p->held_peak);
	if (p->now - p->limits_logged_at < LOG_INTERVAL_MS)
		return;
	p->limits_logged_at = p->now;
	for (i = 0; i < POOL_SERVERS; i++)
		if (p->servers[i].mhd)
			conn_log_limits(&p->servers[i].conns);
}
