/*
 * How long callers wait for an answer. Each states it with its request; the
 * route's timeout is for those that do not.
 */

#include "pool-request.h"
#include "platform/platform.h"

void pool_request_set_deadline(struct pool_request *r,
			       const struct pool_route *route,
			       const char *stated)
{
	rp_ms wait = route->timeout;

	if (stated && !platform_parse_deadline(stated, &wait))
		LOG_EVENT(LOG_LEVEL_INFO, "deadline_unreadable",
			  LOG_TEXT("path", r->path), LOG_TEXT("stated", stated),
			  LOG_NUMBER("taken_ms", route->timeout));
	r->deadline = r->received_at + wait;
	/* What cannot be answered before the exit is rejected by admission. */
	if (r->p->stopping && r->deadline > pool_answers_until(r->p))
		r->deadline = pool_answers_until(r->p);
}

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
