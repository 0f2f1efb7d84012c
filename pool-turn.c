/* Time that one turn of the event loop takes, by activity. */

#include "pool.h"

#include <time.h>

#define LONG_TURN_US 50000   /* that is logged */
#define LOG_INTERVAL_MS 1000 /* between log lines about long turns */

static const char *const names[POOL_ACTIVITIES] = {
	"events",   "calls",	"store", "members", "scheduler",
	"requests", "dispatch", "links", "http",    "logs",
};

const char *pool_activity_name(enum pool_activity a)
{
	return names[a];
}

static int64_t clock_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

void pool_turn_begin(struct pool *p)
{
	int i;

	for (i = 0; i < POOL_ACTIVITIES; i++)
		p->turn.us[i] = 0;
	p->turn.begun_us = p->turn.marked_us = clock_us();
}

void pool_turn_mark(struct pool *p, enum pool_activity a)
{
	int64_t now = clock_us();

	p->turn.us[a] += now - p->turn.marked_us;
	p->turn.marked_us = now;
}

void pool_turn_end(struct pool *p)
{
	struct pool_turn *t = &p->turn;
	int64_t total = t->marked_us - t->begun_us;
	enum pool_activity a, longest = 0;

	for (a = 0; a < POOL_ACTIVITIES; a++) {
		t->sum_us[a] += t->us[a];
		if (t->us[a] > t->max_us[a])
			t->max_us[a] = t->us[a];
		if (t->us[a] > t->us[longest])
			longest = a;
	}
	if (total < LONG_TURN_US || p->now - t->logged_at < LOG_INTERVAL_MS)
		return;
	t->logged_at = p->now;
	LOG_EVENT(LOG_LEVEL_WARN, "long_turn", LOG_NUMBER("ms", total / 1000),
		  LOG_TEXT("longest", names[longest]),
		  LOG_NUMBER("longest_ms", t->us[longest] / 1000),
		  LOG_NUMBER("leading", p->leading),
		  LOG_NUMBER("jobs",
			     p->leading ? (long long)p->sched.njobs : 0),
		  LOG_NUMBER("targets",
			     p->leading ? (long long)p->sched.ntargets : 0));
}
