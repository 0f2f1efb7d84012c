#ifndef POOL_ROUTE_H
#define POOL_ROUTE_H

/* The operator's routes, which map host and path to a queue. */

#include "rosemary.h"

struct pool_route {
	char name[RP_NAME_MAX * 2]; /* of the queue */
	char host[RP_NAME_MAX * 2];
	char prefix[RP_NAME_MAX * 2]; /* of the path; the job id follows */
	char service[RP_NAME_MAX];    /* whose targets run the tasks */
	unsigned priority;	      /* the lowest is served first */
	unsigned max_attempts; /* the job fails when a task failed so often */
	/* The objective for the answer time is stretch * run time + this. */
	double stretch;
	rp_ms objective;
	int advised;   /* an external service chooses targets: not supported */
	rp_ms timeout; /* deadline of a job whose caller states none */
};

struct pool_routes {
	int64_t version; /* the operator's */
	struct pool_route *routes;
	size_t n, cap;
	size_t max_body; /* longest body of a request, bytes */
};

struct pool_routes *pool_routes_new(void);
void pool_routes_free(struct pool_routes *r);
/* Appends a zeroed route. Returns NULL when out of memory. */
struct pool_route *pool_routes_add(struct pool_routes *r);
/* Finds the host's route with the longest matching prefix. NULL: none. */
const struct pool_route *pool_routes_find(const struct pool_routes *r,
					  const char *host, const char *path);

#endif
