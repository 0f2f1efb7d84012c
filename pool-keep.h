#ifndef POOL_KEEP_H
#define POOL_KEEP_H

/*
 * Stored jobs on the leader, shared by pool-keep.c and pool-keep-write.c.
 *
 * The table of jobs is divided by job id into parts; a transaction of the
 * store covers one part.
 */

#include "pool-store.h"

/*
 * Rows in a transaction. Each takes two of the 100 entries that the store
 * allows, its condition and its write, and the marker takes one.
 */
#define STORED_BATCH_ROWS 49
/* Bytes of rows from which a transaction gets no more; the store allows 1 MB.
 */
#define STORED_BATCH_BYTES 400000
/*
 * Key of the marker, a row in each part with the fencing token of the leader
 * that writes there. It sorts before all jobs. Each transaction checks its
 * version, so that the previous leader cannot write any more.
 */
#define STORED_MARKER_KEY "!"

struct stored_job {
	struct stored_job *next; /* in its part's write queue */
	char id[SCHED_ID_MAX];
	unsigned part;
	int64_t version; /* of its row */
	PoolJob *job;	 /* NULL: ended, and the row says so, or deferred */
	size_t held;	 /* bytes that are counted */
	/* Bytes that it needs to be scheduled, for which there was no room. */
	size_t deferred_bytes;	   /* 0: it is not deferred */
	struct sched_queue *queue; /* while it is deferred */
	rp_ms ended_at;		   /* by the store's clock; 0: not ended */
	PoolJob__State state;	   /* if ended */
	int cancelling;	 /* its row is being written, see pool-keep-cancel.c */
	int unsubmitted; /* it was cancelled before it was submitted */
	int queued;	 /* in the write queue */
	int writing;	 /* in a transaction in flight */
	int removing;	 /* the same, of one that removes it */
	/*
	 * Changes of all jobs are numbered by marks. These are the marks of the
	 * latest change, and of the latest one that a transaction includes.
	 */
	uint64_t mark, sent_mark;
};

struct stored_part {
	struct stored_job *first, **last;	    /* queue of rows to write */
	struct stored_job *sent[STORED_BATCH_ROWS]; /* in the transaction */
	size_t nsent;
	int in_flight; /* set while a transaction is running */
	rp_ms write_due;
	int64_t marker_version; /* of this leader's marker; 0: not written */
};

struct stored_jobs {
	apr_pool_t *pool;
	apr_hash_t *jobs; /* id -> struct stored_job */
	struct stored_part parts[JOBS_PARTS];
	struct stored_job *removing[STORED_BATCH_ROWS]; /* in a transaction */
	size_t nremoving;
	int removal_in_flight;
	rp_ms removal_due;
	uint64_t last_mark; /* of all changes */
	size_t nunsubmitted;
	/* An entry VM that may own jobs had no link to this leader then. */
	int owner_missing;
	rp_ms owners_checked_at;
	/* Jobs for which there is no memory, the one to be read first. */
	struct stored_job *deferred, **deferred_last;
	size_t ndeferred;
	int load_in_flight; /* one of them is being read */
	rp_ms load_due;
};

/* Bytes that are counted of a job that has ended. */
#define STORED_ENDED_BYTES (sizeof(struct stored_job) + 64)

/* pool-keep.c */
/* Adds a job of which nothing is known yet. */
struct stored_job *stored_job_new(struct pool *p, const char *id);
/* Has the row written. Returns the mark that its write acknowledges. */
uint64_t stored_job_changed(struct pool *p, struct stored_job *j);
/* Ends the job, as its row in the store says. */
void stored_job_end(struct pool *p, struct stored_job *j, const PoolJob *job);
/* Queues the row of a job to be written, unless it is queued already. */
void stored_job_queue(struct stored_part *part, struct stored_job *j);
struct stored_job *stored_job_find(struct pool *p, const char *id);
/* Frees the row of a job that has ended, which the store has. */
void stored_job_close(struct pool *p, struct stored_job *j);
/* Removes a job whose row was removed, and acknowledges its changes. */
void stored_job_remove(struct pool *p, struct stored_job *j);
/* Applies a row that is newer than what is known of its job. */
void stored_job_apply_row(struct pool *p, const struct platform_row *row);

/* Schedules a deferred job of which this is the row. */
void stored_job_load(struct pool *p, struct stored_job *j,
		     const struct platform_row *row);

/* pool-keep-cancel.c */
enum stored_cancel {
	STORED_CANCEL_PENDING, /* its row is being written, or others read */
	STORED_CANCEL_UNSURE,  /* another VM may have the job */
	STORED_CANCEL_IN_ROW,  /* it is open, and is to be cancelled there */
	STORED_CANCEL_ENDED,   /* the store has a row of it that says so */
	/* The same; to callers there is no such job. */
	STORED_CANCEL_UNSUBMITTED,
	STORED_CANCEL_REFUSED,
};

/*
 * Cancels a job that is not stored, and has a row written that keeps later
 * submissions from running. submitted: a submission is known; it is set if this
 * leader had the job. Sets the state if it has ended.
 */
enum stored_cancel stored_job_cancel(struct pool *p, const char *id,
				     int *submitted, PoolJob__State *state);
/*
 * Forgets the cancellation if its row was to be written long ago. Returns
 * whether it does; the job may be freed then.
 */
int stored_job_drop_stale_cancel(struct pool *p, struct stored_job *j);
/* The store has a row which says that the job has ended. */
void stored_job_cancel_recorded(struct pool *p, struct stored_job *j);
/* Applies a row of the store to a job that is cancelling. */
void stored_job_apply_cancelled(struct pool *p, struct stored_job *j,
				const PoolJob *job);
void stored_job_set_unsubmitted(struct pool *p, struct stored_job *j,
				int unsubmitted);

/* pool-keep-merge.c */
/* Adds a number to a list of a row. */
void stored_row_add_number(uint32_t **list, size_t *n, uint32_t number);
void stored_row_add_failure(PoolJob *job, uint32_t number, uint32_t run);
void stored_row_add_domain(PoolJob *job, const char *domain);
/* Adds what only the other row has. Returns whether it has any. */
int stored_row_merge(PoolJob *job, const PoolJob *other);

/* pool-keep-defer.c */
/*
 * Leaves the open job in the store if there is no memory to schedule it.
 * Returns whether it does.
 */
int stored_job_defer(struct pool *p, struct stored_job *j, const PoolJob *job);
/* The job is scheduled, or has ended. */
void stored_job_undefer(struct pool *p, struct stored_job *j);
/* Reads a deferred job again if there is room. */
void stored_load_deferred(struct pool *p);

/* pool-keep-write.c */
void stored_write_tick(struct pool *p, rp_ms now);

#endif
