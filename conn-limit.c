/* Counters and log lines of the limits on callers' connections. */

#include "conn.h"
#include "log.h"

const char *conn_limit_name(enum conn_limit limit)
{
	static const char *const names[CONN_LIMITS] = { "connections", "memory",
							"body", "busy" };

	return names[limit];
}

void conn_count_limit(struct conn_table *t, enum conn_limit limit)
{
	t->reached[limit]++;
}

void conn_limit_reached(struct conn_table *t, enum conn_limit limit)
{
	pthread_mutex_lock(&t->lock);
	conn_count_limit(t, limit);
	pthread_mutex_unlock(&t->lock);
}

static void log_limit(struct conn_table *t, enum conn_limit limit)
{
	LOG_EVENT(LOG_LEVEL_WARN, "limit_reached", LOG_TEXT("server", t->name),
		  LOG_TEXT("limit", conn_limit_name(limit)),
		  LOG_NUMBER("times",
			     (long long)(t->reached[limit] - t->logged[limit])),
		  LOG_NUMBER("connections", (long long)t->n),
		  LOG_NUMBER("max_connections", (long long)t->max),
		  LOG_NUMBER("busy", (long long)t->nbusy),
		  LOG_NUMBER("held_bytes",
			     (long long)atomic_load(&t->budget->total)),
		  LOG_NUMBER("max_bytes", (long long)t->budget->limit));
}

void conn_log_limits(struct conn_table *t)
{
	enum conn_limit limit;

	pthread_mutex_lock(&t->lock);
	for (limit = 0; limit < CONN_LIMITS; limit++) {
		if (t->reached[limit] == t->logged[limit])
			continue;
		log_limit(t, limit);
		t->logged[limit] = t->reached[limit];
	}
	pthread_mutex_unlock(&t->lock);
}
