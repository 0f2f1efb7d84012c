#ifndef CLAIM_H
#define CLAIM_H

/*
 * Claims of the callers' own keys. The row claim/KEY of the platform's table
 * names the incarnation that may start the key. It is inserted only if absent,
 * together with other keys in one transaction. Nothing starts before the row
 * is known to name this incarnation.
 */

#define CLAIM_PREFIX "claim/"
#define CLAIM_INDEX_PREFIX "claim-index/"
#define CLAIM_SWEPT_ROW "claim-swept"
#define CLAIM_ROW_NAME_MAX (3 * RP_KEY_MAX + 8)
#define CLAIM_BATCH_MAX 256

/* One key that is being claimed. */
struct rp_claim {
	char key[RP_KEY_MAX];
	size_t key_len;
	uint64_t digest;
	uint64_t id; /* unique within this incarnation */
	rp_ms deadline;
	rp_ms expires_at;    /* expiry of the row, wall time */
	int maybe_committed; /* a commit of it was lost: its row may exist */
	int overdue;	     /* past its deadline: its callers were refused */
	struct rp_claim *next;
};

/* Claims of one transaction, until the row of each is known. */
struct rp_claim_batch {
	size_t n;
	struct rp_claim *claims[CLAIM_BATCH_MAX]; /* NULL: settled */
	/* When its rows are read again; 0: a platform request is in flight. */
	rp_ms read_back_at;
	struct rp_claim_batch *next;
};

/* The parsed value of a row claim/KEY. */
struct rp_claim_row {
	char vm[RP_NAME_MAX];
	uint64_t incarnation;
	uint64_t digest;
	uint64_t id;
	rp_ms expires_at; /* on the owner's wall clock */
};

/* Counters that claim_write_metrics() reports. */
struct rp_claim_counters {
	uint64_t claimed, taken, refused, overdue;
	uint64_t commits, lost_commits, conflicts, read_backs, swept;
};

struct sweep;

struct rp_claims {
	void *lock;
	struct rp_claim *first, *last; /* queue of the next transaction */
	size_t nqueued;
	struct rp_claim_batch *batches; /* committed, not all settled */
	unsigned commits_in_flight;
	unsigned reads_in_flight; /* reads by claim_resolve_owner() */
	rp_ms commit_due;	  /* earliest time of the next commit */
	rp_ms deadline_check_due;
	rp_ms refuse_until; /* the platform failed: claims are refused */
	rp_ms backoff;	    /* length of the last refusal, ms; 0: none */
	uint64_t random;    /* state of random_next() */
	uint64_t next_id, next_index; /* newest claim id and index row */
	struct rp_claim_counters counters;
	rp_ms sweep_due; /* next step of a sweep, or next sweep */
	int sweeping;
	struct sweep *sweep; /* waits for sweep_due, or NULL */
};

/* claim-row.c: format of the rows */
void claim_row_name(struct rp_str key, char out[CLAIM_ROW_NAME_MAX]);
/* Returns 0 when the value is malformed. */
int claim_row_parse(struct rp_str value, struct rp_claim_row *row);
/* Appends the value of the claim's row. */
void claim_row_format(const struct rp_kernel *k, const struct rp_claim *c,
		      struct rp_text *t);
/*
 * Writes a new name for the index row of a transaction, which lists its claim
 * rows; expires is the latest of theirs. The claims' lock is held.
 */
void claim_index_name(struct rp_kernel *k, rp_ms expires, char *out,
		      size_t size);
/* Returns the number of the expiry bucket; a bucket is swept as a whole. */
int64_t claim_bucket(rp_ms expires);

/* claim-submit.c */
void claim_init(struct rp_kernel *k, rp_ms now);
void claim_finish(struct rp_kernel *k);
/* Queues a claim of the record's key; the shard's lock is held. */
void claim_submit(struct rp_sub_shard *s, struct rp_record *r, rp_ms now,
		  struct rp_submission *sub, struct rp_actions *acts);
/* Returns whether any key is being claimed. */
int claim_pending(struct rp_kernel *k);

/* claim-settle.c: outcomes of claims; no lock is held. */
/* The row names this claim: starts the submission, if it still may. */
void claim_acquired(struct rp_kernel *k, rp_ms now, const struct rp_claim *c,
		    struct rp_actions *acts);
/* The row names another owner or another claim: forwards the callers. */
void claim_owned_by_other(struct rp_kernel *k, rp_ms now,
			  const struct rp_claim *c,
			  const struct rp_claim_row *row,
			  struct rp_actions *acts);
/* The outcome is unknown, or the claim was not made: refuses the callers. */
void claim_fail(struct rp_kernel *k, rp_ms now, const struct rp_claim *c,
		const struct rp_status *st, rp_ms retry_after,
		struct rp_actions *acts);
/*
 * Refuses the callers of a record and removes it unless keep is set; the
 * shard's lock is held.
 */
void claim_refuse(struct rp_sub_shard *s, struct rp_record *r, rp_ms now,
		  const struct rp_status *st, rp_ms retry_after, int keep,
		  struct rp_actions *acts);
/* Fills st for an unavailable platform; returns the retry delay, ms. */
rp_ms claim_unavailable(struct rp_kernel *k, struct rp_status *st);

/* claim-commit.c */
/* Appends a claim to the queue; the claims' lock is held. */
void claim_enqueue(struct rp_claims *q, struct rp_claim *c);
void claim_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);

/*
 * claim-find.c: looks up the owner of a key that no record here knows, and
 * relays a query or cancellation to it.
 */
void claim_resolve_owner(struct rp_kernel *k, rp_ms now, struct rp_str key,
			 int cancel, int wait, const struct rp_waiter *w,
			 struct rp_actions *acts);

/* claim-sweep.c: removal of expired claims */
void claim_sweep(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
void claim_sweep_finish(struct rp_kernel *k);

/* claim-report.c */
void claim_write_metrics(struct rp_kernel *k, struct rp_writer *w);

#endif
