/* The budget for the memory that callers make a process hold. */

#include "budget.h"

#include <string.h>

/*
 * What is not counted: the program and its libraries, and of what is counted
 * the share that the allocator loses to fragmentation.
 */
#define PROCESS_BYTES ((size_t)24 << 20)
#define FRAGMENTED_SHARE 8
/* The least limit, on machines that are smaller than that. */
#define LIMIT_MIN ((size_t)4 << 20)

void budget_init(struct rp_budget *b, size_t machine_bytes)
{
	size_t left = machine_bytes - machine_bytes / FRAGMENTED_SHARE;

	memset(b, 0, sizeof(*b));
	if (!machine_bytes)
		return;
	b->limit = left > PROCESS_BYTES + LIMIT_MIN ? left - PROCESS_BYTES
						    : LIMIT_MIN;
}

/* The most bytes of all kinds with which more of this kind are taken. */
static size_t most_in_total(const struct rp_budget *b, enum rp_hold kind)
{
	return kind == RP_HOLD_JOBS || kind == RP_HOLD_STORED
		       ? b->limit - b->limit / 8
		       : b->limit;
}

static int share_is_within(const struct rp_budget *b, enum rp_hold kind,
			   size_t used)
{
	if (!b->limit || kind == RP_HOLD_CONNECTIONS)
		return 1;
	if (kind == RP_HOLD_STORED && used > b->limit / 4)
		return 0;
	if (kind == RP_HOLD_JOBS)
		used += atomic_load(&b->used[RP_HOLD_STORED]);
	if (kind == RP_HOLD_STORED)
		used += atomic_load(&b->used[RP_HOLD_JOBS]);
	if (kind == RP_HOLD_JOBS || kind == RP_HOLD_STORED)
		used += atomic_load(&b->used[RP_HOLD_MESSAGES]);
	return used <= b->limit / 2;
}

/* Whether the bytes of the kind, and of all kinds, are within their limits. */
static int is_within(const struct rp_budget *b, enum rp_hold kind, size_t used,
		     size_t total)
{
	return share_is_within(b, kind, used) &&
	       (!b->limit || total <= most_in_total(b, kind));
}

int budget_share_has_room(const struct rp_budget *b, enum rp_hold kind,
			  size_t n)
{
	return !b || share_is_within(b, kind, atomic_load(&b->used[kind]) + n);
}

int budget_has_room(const struct rp_budget *b, enum rp_hold kind, size_t n)
{
	return !b || is_within(b, kind, atomic_load(&b->used[kind]) + n,
			       atomic_load(&b->total) + n);
}

int budget_is_within_part(const struct rp_budget *b, enum rp_hold kind,
			  size_t n, unsigned parts)
{
	return !b || !b->limit ||
	       atomic_load(&b->used[kind]) + n <= b->limit / parts;
}

int budget_take(struct rp_budget *b, enum rp_hold kind, size_t n)
{
	size_t used = atomic_fetch_add(&b->used[kind], n) + n;
	size_t total = atomic_fetch_add(&b->total, n) + n;

	if (is_within(b, kind, used, total))
		return 0;
	budget_release(b, kind, n);
	return -1;
}

void budget_add(struct rp_budget *b, enum rp_hold kind, size_t n)
{
	if (!b)
		return;
	atomic_fetch_add(&b->used[kind], n);
	atomic_fetch_add(&b->total, n);
}

void budget_release(struct rp_budget *b, enum rp_hold kind, size_t n)
{
	if (!b)
		return;
	atomic_fetch_sub(&b->used[kind], n);
	atomic_fetch_sub(&b->total, n);
}

const char *budget_name(enum rp_hold kind)
{
	static const char *const names[RP_HOLDS] = { "connections", "bodies",
						     "jobs", "stored_jobs",
						     "messages" };

	return names[kind];
}
