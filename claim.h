#ifndef CLAIM_H
#define CLAIM_H

/*
 * Claims of the callers' own keys. A row claim/KEY of the platform's table
 * names the incarnation that may start the key; it is inserted only if
 * absent, many in one transaction. Nothing starts before the row is known
 * to be ours.
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
	rp_ms expires;	     /* of the row, wall time */
	int maybe_committed; /* a commit with it was lost: the row may yet
				appear */
	int overdue; /* its deadline has passed, its callers were answered */
	struct rp_claim *next;
};

/* Claims of one transaction, until all of them are settled. */
struct rp_claim_batch {
	size_t n;
	struct rp_claim *claims[CLAIM_BATCH_MAX];
	rp_ms read_back_at; /* when to read the rows again; 0: a call is out */
	struct rp_claim_batch *next;
};

/* The value of a row claim/KEY, taken apart. */
struct rp_claim_row {
	char vm[RP_NAME_MAX];
	uint64_t incarnation;
	uint64_t digest;
	uint64_t id;
	rp_ms expires; /* wall time of the owner */
};

struct rp_claim_counters {
	uint64_t claimed, taken, refused, overdue;
	uint64_t commits, lost_commits, conflicts, read_backs, swept;
};

struct sweep;

struct rp_claims {
	void *lock;
	struct rp_claim *first, *last; /* waiting for a transaction */
	size_t nqueued;
	struct rp_claim_batch *batches;
	unsigned commits_in_flight;
	unsigned reads_in_flight;
	rp_ms commit_due;
	rp_ms deadline_check_due; /* of deadlines */
	rp_ms refuse_until; /* the platform failed: new claims are refused */
	rp_ms backoff;
	uint64_t random, next_id, next_index;
	struct rp_claim_counters counters;
	rp_ms sweep_due;
	int sweeping;
	struct sweep *sweep; /* goes on at sweep_due, or NULL */
};

/* claim-row.c: rows as text */
void claim_row_name(struct rp_str key, char out[CLAIM_ROW_NAME_MAX]);
int claim_row_parse(struct rp_str value, struct rp_claim_row *row);
/* Writes the value of the claim's row. */
void claim_row_format(const struct rp_kernel *k, const struct rp_claim *c,
		      struct rp_text *t);
/* Name of the row that lists the keys of a transaction by their expiry. */
void claim_index_name(struct rp_kernel *k, rp_ms expires, char *out,
		      size_t size);
int64_t claim_bucket(rp_ms expires);

/* claim-submit.c */
void claim_init(struct rp_kernel *k, rp_ms now);
void claim_finish(struct rp_kernel *k);
/* Claims the record's key; the shard's lock is held. */
void claim_submit(struct rp_sub_shard *s, struct rp_record *r, rp_ms now,
		  struct rp_submission *sub, struct rp_actions *acts);
/* Whether any key is being claimed. */
int claim_pending(struct rp_kernel *k);

/* claim-settle.c: what becomes of a claim; no lock is held. */
/* The row is ours: the submission starts, if it still may. */
void claim_acquired(struct rp_kernel *k, rp_ms now, const struct rp_claim *c,
		    struct rp_actions *acts);
/* The row names another owner, or an earlier use of the key. */
void claim_owned_by_other(struct rp_kernel *k, rp_ms now,
			  const struct rp_claim *c,
			  const struct rp_claim_row *row,
			  struct rp_actions *acts);
/* Whose the row is cannot be known, or the claim was not made. */
void claim_fail(struct rp_kernel *k, rp_ms now, const struct rp_claim *c,
		const struct rp_status *st, rp_ms retry_after,
		struct rp_actions *acts);
/* The same for a record; the shard's lock is held. */
void claim_refuse(struct rp_sub_shard *s, struct rp_record *r, rp_ms now,
		  const struct rp_status *st, rp_ms retry_after, int keep,
		  struct rp_actions *acts);
/* Fills st for a platform that is out; returns when to come back, ms. */
rp_ms claim_unavailable(struct rp_kernel *k, struct rp_status *st);

/* claim-commit.c */
/* Puts a claim at the end of the queue; the lock is held. */
void claim_enqueue(struct rp_claims *q, struct rp_claim *c);
void claim_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);

/* claim-find.c: queries and cancellations of keys claimed elsewhere */
void claim_resolve_owner(struct rp_kernel *k, rp_ms now, struct rp_str key,
			 int cancel, int wait, const struct rp_waiter *w,
			 struct rp_actions *acts);

/* claim-sweep.c */
void claim_sweep(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
void claim_sweep_finish(struct rp_kernel *k);

/* claim-report.c */
void claim_write_metrics(struct rp_kernel *k, struct rp_writer *w);

#endif
