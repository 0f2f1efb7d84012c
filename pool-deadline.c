/*
 * How long callers wait: what a leader tells its successors of the deadlines of
 * its jobs.
 */

#include "pool.h"

uint32_t pool_callers_wait_ms(const struct pool *p)
{
	rp_ms left = sched_callers_wait_until(&p->sched) - p->now;

	if (left <= 0)
		return 0;
	return left < UINT32_MAX ? (uint32_t)left : UINT32_MAX;
}

void pool_callers_wait_received(struct pool *p, uint32_t ms)
{
	if (p->now + ms > p->callers_wait_until)
		p->callers_wait_until = p->now + ms;
}
