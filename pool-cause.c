/*
 * Why jobs were not served, on the entry VM that has answered their callers:
 * counted for each reason, in the metrics.
 */

#include "pool.h"

#include <string.h>

/* What all further reasons are counted as when there are too many. */
#define OTHER "other"

/* Copies a reason as the value of a label, which stands between quotes. */
static void copy_label(char *to, size_t size, const char *reason)
{
	char *at;

	str_copy(to, size, str_of(reason));
	for (at = to; *at; at++)
		if (*at == '"' || *at == '\\' || *at == '\n')
			*at = '\'';
}

static struct pool_cause *get(struct pool *p, const char *reason)
{
	char label[sizeof(p->causes->reason)];
	struct pool_cause *c;
	size_t i;

	copy_label(label, sizeof(label), reason);
	for (i = 0; i < p->ncauses; i++)
		if (!strcmp(p->causes[i].reason, label))
			return &p->causes[i];
	if (p->ncauses == POOL_CAUSES_MAX)
		return &p->causes[POOL_CAUSES_MAX - 1];
	c = &p->causes[p->ncauses++];
	str_copy(c->reason, sizeof(c->reason),
		 str_of(p->ncauses == POOL_CAUSES_MAX ? OTHER : label));
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
