/*
 * Requests that come before a VM that has just started has read the table of
 * routes. They wait for it, as it is there within a tenth of a second as a
 * rule; a caller that is turned away comes back a second later at best.
 */

#include "pool-request.h"

/* Time that a request waits at most, ms. */
#define ROUTES_WAIT_MS 500

int pool_request_await_routes(struct pool_request *r)
{
	struct pool *p = r->p;

	if (r->has_awaited_routes || p->stopping)
		return 0;
	r->has_awaited_routes = 1;
	r->next_awaiting = p->awaiting_routes;
	p->awaiting_routes = r;
	MHD_suspend_connection(r->conn);
	return 1;
}

static int is_over(const struct pool *p, const struct pool_request *r)
{
	return p->routes || p->stopping ||
	       p->now - r->received_at >= ROUTES_WAIT_MS;
}

void pool_requests_resume_awaiting(struct pool *p)
{
	struct pool_request **at = &p->awaiting_routes, *r;

	while ((r = *at)) {
		if (!is_over(p, r)) {
			at = &r->next_awaiting;
			continue;
		}
		*at = r->next_awaiting;
		/* The server calls pool_request_begin() again. */
		pool_serve_resume(p, r->conn);
	}
}

void pool_request_forget_awaiting(struct pool_request *r)
{
	struct pool_request **at = &r->p->awaiting_routes;

	while (*at && *at != r)
		at = &(*at)->next_awaiting;
	if (*at)
		*at = r->next_awaiting;
}
