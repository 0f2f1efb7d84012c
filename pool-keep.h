#ifndef POOL_KEEP_H
#define POOL_KEEP_H

/* Parts shared by pool-keep.c and pool-keep-write.c. */

#include "pool-store.h"

#define STORED_BATCH_ROWS 50 /* rows in a transaction; the store takes 100 */
/* First row of each part: the token of the leader that writes there. */
#define STORED_MARKER_KEY "!"

struct stored_job {
	struct stored_job *next; /* in its part's queue */
	char id[SCHED_ID_MAX];
	unsigned part;
	int64_t version;
	PoolJob *job;	/* NULL: over, and written */
	rp_ms ended_at; /* of the store's clock; 0: not over */
	int queued, writing;
	uint64_t mark, sent_mark; /* of the latest change; as sent */
};

struct stored_part {
	struct stored_job *first, **last; /* changed */
	struct stored_job *sent[STORED_BATCH_ROWS];
	size_t nsent;
	int in_flight;
	rp_ms write_due;
	int64_t marker_version; /* version of this leader's marker; 0: none yet
				 */
};

struct stored_jobs {
	apr_pool_t *pool;
	apr_hash_t *jobs; /* id -> struct stored_job */
	struct stored_part parts[JOBS_PARTS];
	struct stored_job *removing[STORED_BATCH_ROWS];
	size_t nremoving;
	int removal_in_flight;
	rp_ms removed_at;
	uint64_t last_mark;
};

/* pool-keep.c */
void stored_job_queue(struct stored_part *part, struct stored_job *k);
void stored_job_forget(struct pool *p, struct stored_job *k);
void stored_job_apply_row(struct pool *p, const struct platform_row *row);

/* pool-keep-write.c */
void stored_write_tick(struct pool *p, rp_ms now);

#endif
