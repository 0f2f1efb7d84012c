#ifndef LEAD_H
#define LEAD_H

/*
 * Which entry VM leads the pool. Does no I/O.
 *
 * A row of the platform's store names the leader and its fencing token; it
 * is replaced by compare-and-set, so there is one leader for each token. The
 * targets keep an old leader out, not a lease here: a leader that is cut off
 * from the store goes on for as long as its targets listen to it.
 *
 * A leader is replaced when it resigns, or when it is silent and no entry VM
 * that can be reached hears it.
 *
 * A failure domain that is cut off from the store and from all other domains
 * is led by one of its own VMs for its own targets, until it hears the leader
 * again. Likewise a majority of the entry VMs that has lost leader and store
 * is led by one of them until the store is back, for all targets. The
 * fencing token is above the leader's and below its successor's:
 * the upper half counts the leaders, the lower half tells such VMs apart.
 */

#include "rosemary.h"

#define LEAD_BEAT_MS 100   /* between heartbeats */
#define LEAD_REDIAL_MS 250 /* silence after which a new connection is tried */
#define LEAD_SILENT_MS 450 /* silence after which others are asked */
#define LEAD_RANK_MS 120   /* each successor waits this much longer */
#define LEAD_PROBE_MS 100  /* others answer within */
#define LEAD_CLAIM_MS 1000 /* a claim is settled within, or made again */
#define LEAD_RENEW_MS 500  /* the leader shows in the store that it lives */
#define LEAD_STALE_MS 3500 /* without that it is dead for one cut off */
#define LEAD_BACK_OFF_MS 300
#define LEAD_SUCCESSORS 3
#define LEAD_LARGER_MS 200 /* larger VMs claim first by */

#define LEAD_TOKEN(count) ((uint64_t)(count) << 32)
#define LEAD_COUNT(token) ((token) >> 32)
#define LEAD_IS_ALONE(token) ((uint32_t)(token) != 0)

enum lead_role {
	LEAD_UNKNOWN, /* the store has not been read yet */
	LEAD_FOLLOWING,
	LEAD_LEADING,
};

struct lead_row {
	char vm[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	uint64_t incarnation;
	uint64_t fence; /* 0: there has been no leader */
	int64_t version;
};

/* What an entry VM says of the leader. */
struct lead_beat {
	uint64_t fence;
	const char *vm; /* the sender */
	const char *leader;
	const char *address; /* the leader's */
	int leading;	     /* the sender leads */
	int hears;	     /* the sender hears the leader */
	int resigns;
	size_t nsuccessors;
	char *const *successors;
};

struct lead;

struct lead_ops {
	/* Replace the row if its version is still the expected one. */
	void (*claim)(struct lead *l, const struct lead_row *row,
		      int64_t expected);
	/* Ask all other entry VMs whether they hear the leader. */
	void (*probe)(struct lead *l);
	/*
	 * Find out whether anything outside this failure domain answers, and
	 * say so by lead_surveyed().
	 */
	void (*survey)(struct lead *l);
	/* The role or the leader is another one now. */
	void (*changed)(struct lead *l);
};

enum lead_step {
	LEAD_CALM,
	LEAD_PROBING,
	LEAD_CLAIMING,
	LEAD_SURVEYING,
};

struct lead {
	const struct lead_ops *ops;
	void *user;
	char vm[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	uint64_t incarnation;
	enum lead_role role;
	struct lead_row row; /* the newest known */
	enum lead_step step;
	rp_ms step_at;
	rp_ms heard_at;	  /* the leader, directly */
	rp_ms renewed_at; /* it was seen to renew in the store */
	rp_ms former_age; /* since the leader before this one renewed, ms */
	rp_ms not_before; /* of the next attempt */
	unsigned rank;	  /* among the successors */
	unsigned others;  /* entry VMs known besides this one */
	unsigned larger;  /* of these, that are to lead rather */
	unsigned hearing, silent; /* answers to the probe */
	int resigning;		  /* planned: as soon as another leads */
	int refused;		  /* the leader's VM refuses connections */
	int barred;		  /* is stopping: does not claim */
	/* Of its row in the store, unlike any other VM's; 0: not known. */
	uint32_t row_version;
	int store_lost;		/* the store has not answered for a while */
	int everywhere;		/* leads without the store, for all domains */
	struct lead_row former; /* the leader before this VM led alone */
};

void lead_init(struct lead *l, const struct lead_ops *ops, void *user,
	       const char *vm, const char *address, uint64_t incarnation);
/* The store's row; fence 0 where there is none. */
void lead_read(struct lead *l, const struct lead_row *row, rp_ms now);
/* The claim was not carried out, or it is not known whether it was. */
void lead_claim_failed(struct lead *l, rp_ms now);
void lead_renewed(struct lead *l, rp_ms now);
void lead_beat(struct lead *l, const struct lead_beat *beat, rp_ms now);
/* Nothing listens at the leader's address. */
void lead_refused(struct lead *l, rp_ms now);
void lead_surveyed(struct lead *l, int outside, rp_ms now);
void lead_tick(struct lead *l, rp_ms now);
/* This process stood still: whatever it believed may be out of date. */
void lead_paused(struct lead *l, rp_ms now);
/* Asks the first successor to take over. */
void lead_resign(struct lead *l);
/* A target said that a higher fencing token is in use. */
void lead_fenced(struct lead *l, rp_ms now);
/* Whether this VM leads only its own failure domain. */
int lead_alone(const struct lead *l);
/* Whether the leader is in touch, or is this VM. */
int lead_in_touch(const struct lead *l, rp_ms now);

#endif
