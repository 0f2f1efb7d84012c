/* The operator's routes. */

#include "pool-route.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

struct pool_routes *pool_routes_new(void)
{
	return calloc(1, sizeof(struct pool_routes));
}

void pool_routes_free(struct pool_routes *r)
{
	if (!r)
		return;
	free(r->routes);
	free(r);
}

struct pool_route *pool_routes_add(struct pool_routes *r)
{
	if (r->n == r->cap) {
		size_t cap = r->cap * 2 + 16;
		struct pool_route *more =
			realloc(r->routes, cap * sizeof(*more));

		if (!more)
			return NULL;
		r->routes = more;
		r->cap = cap;
	}
	memset(&r->routes[r->n], 0, sizeof(*r->routes));
	return &r->routes[r->n++];
}

/* Compares host names; a port after the name is ignored. */
static int host_matches(const char *host, const char *route_host)
{
	size_t n = strlen(route_host);

	return !strncasecmp(host, route_host, n) &&
	       (host[n] == '\0' || host[n] == ':');
}

const struct pool_route *pool_routes_find(const struct pool_routes *r,
					  const char *host, const char *path)
{
	const struct pool_route *best = NULL;
	size_t best_len = 0, i;

	for (i = 0; i < r->n; i++) {
		const struct pool_route *route = &r->routes[i];
		size_t len = strlen(route->prefix);

		if (best && len <= best_len)
			continue;
		if (strncmp(path, route->prefix, len) != 0 ||
		    !host_matches(host, route->host))
			continue;
		best = route;
		best_len = len;
	}
	return best;
}
