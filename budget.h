#ifndef BUDGET_H
#define BUDGET_H

#include <stdatomic.h>
#include <stddef.h>

/*
 * One budget for the memory that callers make a process hold. Its limit comes
 * from the memory of the machine. Bytes are counted as they are allocated, so
 * that a new connection, body or job can be refused before the machine has no
 * memory left. What was accepted is counted, too, but never refused.
 */

enum rp_hold {
	RP_HOLD_CONNECTIONS, /* of callers, with what they may leave unread */
	RP_HOLD_BODIES,	     /* of requests that are not handled yet */
	RP_HOLD_JOBS,
	RP_HOLD_STORED,	  /* stored jobs, on the leader */
	RP_HOLD_MESSAGES, /* calls and frames that are sent or received */
	RP_HOLDS,
};

struct rp_budget {
	size_t limit; /* bytes; 0: none */
	atomic_size_t total, used[RP_HOLDS];
};

/* For a machine with this memory; 0: no limit. */
void budget_init(struct rp_budget *b, size_t machine_bytes);
/*
 * Whether n bytes more can be taken. Jobs, stored jobs and messages together
 * have at most half of the limit, stored jobs at most a quarter. New jobs leave
 * an eighth of it for what was accepted.
 */
int budget_has_room(const struct rp_budget *b, enum rp_hold kind, size_t n);
/* The same for the kind alone: of no kind is more to be released then. */
int budget_share_has_room(const struct rp_budget *b, enum rp_hold kind,
			  size_t n);
/* Whether the kind has at most 1/parts of the limit with n bytes more. */
int budget_is_within_part(const struct rp_budget *b, enum rp_hold kind,
			  size_t n, unsigned parts);
/* Takes n bytes if there is room. Returns 0, or -1. */
int budget_take(struct rp_budget *b, enum rp_hold kind, size_t n);
/* Takes n bytes in any case. b may be NULL in these two. */
void budget_add(struct rp_budget *b, enum rp_hold kind, size_t n);
void budget_release(struct rp_budget *b, enum rp_hold kind, size_t n);
const char *budget_name(enum rp_hold kind);

#endif
