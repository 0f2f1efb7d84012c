#ifndef POOL_ROUTE_H
#define POOL_ROUTE_H

/* The operator's table of routes: which queue a caller's request belongs to */

#include "rosemary.h"

struct pool_route {
	char name[RP_NAME_MAX * 2]; /* of the queue */
	char host[RP_NAME_MAX * 2];
	char prefix[RP_NAME_MAX * 2]; /* of the path */
	char service[RP_NAME_MAX];    /* whose targets run its tasks */
	unsigned priority;	      /* least first */
	unsigned max_attempts;	      /* failures of a task, at most */
	double stretch;		      /* objective: stretch x run time */
	rp_ms objective;	      /*   + this */
	int advised; /* another service says which targets may run it */
	rp_ms timeout;
};

struct pool_routes {
	int64_t version;
	struct pool_route *routes;
	size_t n, cap;
	size_t max_body; /* bytes of one request */
};

struct pool_routes *pool_routes_new(void);
void pool_routes_free(struct pool_routes *r);
/* A zeroed route at the table's end, or NULL when memory is out. */
struct pool_route *pool_routes_add(struct pool_routes *r);
/* The route of the host with the longest prefix of the path, or NULL. */
const struct pool_route *pool_routes_find(const struct pool_routes *r,
					  const char *host, const char *path);

#endif
