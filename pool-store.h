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
	unsigned parts; /* named by numbers; 0: one with no name */
	unsigned part;	/* which is being read */
	int off;	/* not followed now */
	rp_ms wait;	/* for a change, in the store */
	rp_ms every;	/* between reads */
	int whole;	/* all rows have been read; changes follow */
	int calling;
	int lost;		    /* the store does not answer */
	int64_t version;	    /* of the last read */
	int64_t first;		    /* when the first page was read */
	char from[RP_NAME_MAX * 2]; /* where the next page begins */
	uint32_t round;		    /* of reading all rows */
	rp_ms due, back_off;
	rp_ms answered_at;
	void (*row)(struct pool_watch *w, const struct platform_row *row);
	/* Optional: all rows were read; the store answers again. */
	void (*read)(struct pool_watch *w);
	void (*regained)(struct pool_watch *w);
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
	struct missing *missing; /* targets that the list has no more */
	apr_hash_t *seen;	 /* target id -> round in which it was listed */
	apr_hash_t *bad; /* keys of rows that could not be read, as logged */
	int registering, registered;
	int renewing;
	rp_ms register_at, renew_at;
};

struct store *store_of(struct pool *p);

/* pool-store.c */
/* The store's clock, which all VMs share. */
rp_ms pool_store_now(const struct pool *p);
/* Makes a transaction; fresh: on a new connection. body is taken over. */
struct pool_call *pool_store_write(struct pool *p, char *body, int fresh,
				   pool_call_done *done);

/* pool-watch.c */
#define STORE_ANSWER_MS 700    /* a read is answered within, beyond the wait */
#define STORE_BACK_OFF_MS 1000 /* longest pause after a failed call */
void pool_watch_tick(struct pool_watch *w, rp_ms now);
/* Reads all rows again. */
void pool_watch_restart(struct pool_watch *w);

/* pool-keep.c: jobs that the store keeps */
#define JOBS_TABLE "rosemary-jobs"
#define JOBS_PARTS 8 /* transactions of a part wait for one another */
unsigned pool_job_part(const char *id);
const char *pool_part_name(unsigned part);
void pool_keep_row(struct pool_watch *w, const struct platform_row *row);
void pool_keep_read(struct pool_watch *w);

/* pool-listing.c: targets' rows */
void pool_listing_row(struct pool_watch *w, const struct platform_row *row);
void pool_listing_read(struct pool_watch *w);
void pool_listing_regained(struct pool_watch *w);
/* Entries that have been missing for long enough are taken for gone. */
void pool_listing_tick(struct pool *p);
void pool_listing_forget(struct pool *p);

#endif
