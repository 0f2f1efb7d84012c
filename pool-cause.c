/*
 * Why jobs were not served, on the entry VM that has answered their callers:
 * counted for each reason, in the metrics.
 */

#include "pool.h"

#include <string.h>

/* Returns the entry of the reason, or the last one if there are too many. */
static struct pool_cause *get(struct pool *p, const char *reason)
{
	struct pool_cause *c;
	char *at;
	size_t i;

	for (i = 0; i < p->ncauses; i++)
		if (!strcmp(p->causes[i].reason, reason))
			return &p->causes[i];
	if (p->ncauses == POOL_CAUSES_MAX)
		return &p->causes[POOL_CAUSES_MAX - 1];
	c = &p->causes[p->ncauses++];
	str_copy(c->reason, sizeof(c->reason), str_of(reason));
	/* It is the value of a label, between quotes. */
	for (at = c->reason; *at; at++)
		if (*at == '"' || *at == '\\' || *at == '\n')
			*at = '\'';
	return c;
}

void pool_cause_add(struct pool *p, const char *outcome, const char *reason,
		    rp_ms age)
{
	struct pool_cause *c;

	if (!strcmp(outcome, "completed"))
		return;
	c = get(p, reason);
	c->count++;
	c->age_sum += age;
}
