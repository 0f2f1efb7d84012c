#ifndef POOL_KEEP_H
#define POOL_KEEP_H

/* Parts shared by pool-keep.c and pool-keep-write.c. */

#include "pool-store.h"

#define KEEP_BATCH 50 /* rows in a transaction; the store takes 100 */
/* First row of each part: the token of the leader that writes there. */
#define KEEP_MARKER "!"

struct kept {
	struct kept *next; /* in its part's queue */
	char id[SCHED_ID_MAX];
	unsigned part;
	int64_t version;
	PoolJob *job; /* NULL: over, and written */
	rp_ms ended;  /* of the store's clock; 0: not over */
	int queued, writing;
	uint64_t mark, sent_mark; /* of the latest change; as sent */
};

struct keep_part {
	struct kept *first, **last; /* changed */
	struct kept *sent[KEEP_BATCH];
	size_t nsent;
	int calling;
	rp_ms due;
	int64_t marker; /* version of this leader's marker; 0: none yet */
};

struct pool_keep {
	apr_pool_t *pool;
	apr_hash_t *jobs; /* id -> struct kept */
	struct keep_part parts[JOBS_PARTS];
	struct kept *swept[KEEP_BATCH];
	size_t nswept;
	int sweeping;
	rp_ms sweep_at;
	uint64_t mark;
};

/* pool-keep.c */
void keep_queue(struct keep_part *part, struct kept *k);
void keep_forget(struct pool *p, struct kept *k);
void keep_take_row(struct pool *p, const struct platform_row *row);

/* pool-keep-write.c */
void keep_write_tick(struct pool *p, rp_ms now);

#endif
