#ifndef LIMIT_CREDIT_H
#define LIMIT_CREDIT_H

/*
 * Slot credits enforce a target's limit over all entry VMs.
 *
 * Each target has one keeper, an entry VM of its failure domain, which grants
 * credits to the other entry VMs, the holders. A holder runs at most one task
 * on the target for each credit it holds. Keeper and holder exchange the
 * totals granted and released since the start of a term, so repeated messages
 * are idempotent. The keeper starts a term by asking the holder what it holds;
 * it starts a new one after a lost message and when it becomes the keeper.
 * Credits are valid while the lease between the two members holds; each
 * message between them renews it.
 */

#include "rosemary-int.h"

/* One incarnation of another entry VM, both as a keeper and as a holder. */
struct credit_peer {
	char name[RP_NAME_MAX];
	uint64_t incarnation;
	int present; /* listed in the member view and not gone */
	enum rp_member_state state;
	int same_domain;	   /* in this entry VM's failure domain */
	uint64_t ask_order;	   /* rank among the keepers to request from */
	rp_ms held_lease_start;	   /* start of the lease on credits held */
	rp_ms granted_lease_start; /* latest possible start of its lease */

	/* The peer is the keeper, this entry VM the holder. */
	uint64_t report_seq;	   /* number of the latest report sent */
	uint64_t grant_seq_seen;   /* number of the latest grant received */
	uint32_t requested;	   /* credits requested and not granted yet */
	uint32_t queued_at_keeper; /* of requested, queued at the keeper */
	rp_ms requested_at;
	int credits_held;   /* on all targets that the peer keeps */
	int lease_lapsed;   /* held lease expired: needs a new term */
	int report_pending; /* released credits or a request are unsent */
	double capacity;    /* tasks per ms of the usable targets it keeps */

	/* This entry VM is the keeper, the peer the holder. */
	uint64_t grant_seq;	  /* number of the latest grant sent */
	uint64_t report_seq_seen; /* number of the latest report received */
	uint64_t term; /* latest term started with the peer; 0: none */
	rp_ms term_started_at;
	int answered;	  /* the peer reported what it holds in this term */
	uint32_t backlog; /* credits that the peer waits for */
	uint64_t queue_position; /* lowest is served first */
	int grant_pending;	 /* a grant message is to be sent */
	int credits_out;	 /* credits granted to it and not released */
	rp_ms recalled_at;	 /* latest recall sent */
};

/* The keeper's record of one holder's credits on a target. */
struct credit_share {
	struct credit_peer *peer;
	uint64_t term;
	uint64_t granted, released;
	int sent; /* the current value of granted was sent */
	int cap;  /* credits the holder may keep, to be sent; -1: no cap */
};

struct credit_target {
	/* This entry VM as a holder. */
	struct credit_peer *keeper; /* NULL: not known, or this entry VM */
	uint64_t term;
	uint64_t granted, released;
	int cap;      /* credits above it are to be released; -1: no cap */
	int idle_min; /* fewest idle credits in the current idle period */
	int release_unsent; /* the current value of released was not sent */

	/* This entry VM as the keeper. */
	/* Clock stamp of becoming the keeper; 0: is not the keeper. */
	uint64_t keeper_term;
	rp_ms ready_at; /* when the previous keeper's credits have expired */
	int ready;	/* all outstanding credits are known: may grant */
	struct credit_share *shares;
	size_t nshares, cap_shares;
	int credits_out; /* granted and not released, over all holders */
};

struct credit_limit {
	struct rp_limit limit; /* must be first: pointers are cast */
	struct rp_service *svc;
	struct rp_kernel *k;
	struct credit_peer **peers;
	size_t npeers;
	rp_ms scan_due;
	rp_ms idle_due;
	rp_ms last_tick_at;    /* to detect a pause of the process */
	rp_ms discovery_until; /* becomes keeper of no target before this */
	int members_known;     /* member discovery is complete */
	int change_deferred;   /* credit_changed() is due after discovery */
	size_t requested;      /* sum of the peers' requested */
	size_t nwaiting;       /* peers with a backlog */
	int own_in_flight;     /* own tasks in flight on targets kept here */
	int grant_pending; /* free credits may be granted at the next tick */
	uint64_t last_queue_position;
	int fair_share; /* most credits for one entry VM while others wait */
};

static inline struct credit_target *credit_of(const struct rp_target *t)
{
	return t->limit_data;
}

/* limit-credit.c */
/*
 * Whether the process was paused for so long that other entry VMs may have
 * become keepers of its targets.
 */
int credit_paused(const struct credit_limit *l, rp_ms now);
/* The newest known incarnation of the entry VM, or NULL. */
struct credit_peer *credit_find_peer(struct credit_limit *l, const char *name);
struct rp_target *credit_find_target(struct credit_limit *l, const char *name);
/* Length of a credit lease, ms. */
rp_ms lease_span(const struct credit_limit *l);
/* Whether the target accepts work: listed, not leaving, weight above 0. */
int credit_target_usable(const struct rp_target *t);

/* limit-holder.c */
/* Whether a held and valid credit allows one more task on the target. */
int holder_allows(const struct credit_limit *l, const struct rp_target *t);
/* Releases credits that the ended task used and that are not to be kept. */
void holder_task_ended(struct credit_limit *l, struct rp_target *t);
/* Requests credits for waiting tasks that no request covers yet. */
void holder_request(struct credit_limit *l, size_t waiting, rp_ms now,
		    struct rp_actions *acts);
/* Handles a grant, a recall, or the start of a term. */
void holder_grant_received(struct credit_limit *l, struct credit_peer *p,
			   const RpCreditGrant *msg, rp_ms now,
			   struct rp_actions *acts);
/* Releases idle credits, renews leases and repeats requests. */
void holder_scan(struct credit_limit *l, rp_ms now, struct rp_actions *acts);
/* Sends the pending reports. */
void holder_send_reports(struct credit_limit *l, rp_ms now,
			 struct rp_actions *acts);

/* Drops all credits held on the target without reporting a release. */
void holder_discard(struct credit_target *ct);

/* limit-keeper.c */
/* Whether this entry VM, as keeper, may start one more task on the target. */
int keeper_allows(const struct credit_limit *l, const struct rp_target *t);
/* Becomes keeper of the target; the caller starts the terms. */
void keeper_become(struct credit_limit *l, struct rp_target *t, rp_ms now);
/* Stops being the keeper of the target, if it is. */
void keeper_resign(struct credit_limit *l, struct rp_target *t);
/*
 * Marks the targets ready whose credits granted by the previous keeper are
 * all reported or expired.
 */
void keeper_update_ready(struct credit_limit *l, rp_ms now);
/* Starts a new term with the peer and asks it what it holds. */
void keeper_start_term(struct credit_limit *l, struct credit_peer *p, rp_ms now,
		       struct rp_actions *acts);
/* Handles a holder's report: released credits, requests, term answers. */
void keeper_report_received(struct credit_limit *l, struct credit_peer *p,
			    const RpCreditReport *msg, rp_ms now,
			    struct rp_actions *acts);
/* Expires leases, repeats unanswered term starts and recalls credits. */
void keeper_scan(struct credit_limit *l, rp_ms now, struct rp_actions *acts);
/* Grants free credits to the waiting peers, in queue order. */
void keeper_grant(struct credit_limit *l, rp_ms now, struct rp_actions *acts);

#endif
