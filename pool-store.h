#ifndef POOL_STORE_H
#define POOL_STORE_H

/* Parts shared by pool-store.c, pool-watch.c and pool-listing.c. */

#include "pool.h"
#include "platform/platform.h"

/*
 * A table of the store that is followed: all rows once, then what has
 * changed. When its history is gone it is read whole again, and what was
 * known stays in use meanwhile.
 */
struct pool_watch {
	struct pool *p;
	const char *table;
	unsigned nparts; /* named by numbers; 0: one with no name */
	unsigned part;	 /* which is being read */
	int disabled;	 /* not followed now */
	rp_ms poll_wait; /* for a change, in the store */
	rp_ms interval;	 /* between reads */
	int complete;	 /* all rows have been read; changes follow */
	int in_flight;
	int lost;			/* the store does not answer */
	int64_t version;		/* of the last read */
	int64_t first_version;		/* when the first page was read */
	char next_key[RP_NAME_MAX * 2]; /* where the next page begins */
	uint32_t round;			/* of reading all rows */
	rp_ms due, backoff;
	rp_ms answered_at;
	void (*on_row)(struct pool_watch *w, const struct platform_row *on_row);
	/* Optional: all rows were read; the store answers again. */
	void (*on_complete)(struct pool_watch *w);
	void (*on_regained)(struct pool_watch *w);
};

enum watch_kind {
	WATCH_OPERATOR,
	WATCH_POOL,
	WATCH_TARGETS,
	WATCH_JOBS,
	WATCHES,
};

struct missing;

struct store {
	struct pool_watch watches[WATCHES];
	struct missing *missing;   /* targets that the list has no more */
	apr_hash_t *listed_rounds; /* target id -> round in which it was listed
				    */
	apr_hash_t *unreadable_rows; /* keys of rows that could not be read, as
					logged */
	int registering, registered;
	int renewing;
	rp_ms register_at, renew_at;
};

struct store *store_of(struct pool *p);

/* pool-store.c */
/* The store's clock, which all VMs share. */
rp_ms pool_store_now(const struct pool *p);
/* Makes a transaction; fresh: on a new connection. body is taken over. */
struct pool_call *pool_store_transact(struct pool *p, char *body, int fresh,
				      pool_call_cb *done);

/* pool-watch.c */
#define STORE_READ_TIMEOUT_MS                                                  \
	700 /* a read is answered within, beyond the wait */
#define STORE_MAX_BACKOFF_MS 1000 /* longest pause after a failed call */
void pool_watch_tick(struct pool_watch *w, rp_ms now);
/* Reads all rows again. */
void pool_watch_restart(struct pool_watch *w);

/* pool-keep.c: jobs that the store keeps */
#define JOBS_TABLE "rosemary-jobs"
#define JOBS_PARTS 8 /* transactions of a part wait for one another */
unsigned pool_job_part(const char *id);
const char *pool_part_name(unsigned part);
void pool_stored_row(struct pool_watch *w, const struct platform_row *row);
void pool_stored_complete(struct pool_watch *w);

/* pool-listing.c: targets' rows */
void pool_listing_row(struct pool_watch *w, const struct platform_row *row);
void pool_listing_complete(struct pool_watch *w);
void pool_listing_regained(struct pool_watch *w);
/* Entries that have been missing for long enough are taken for gone. */
void pool_listing_tick(struct pool *p);
void pool_listing_clear_missing(struct pool *p);

#endif
