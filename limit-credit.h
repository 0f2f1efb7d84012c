#ifndef LIMIT_CREDIT_H
#define LIMIT_CREDIT_H

/*
 * Slot credits. Each target has a keeper among the entry VMs of its failure
 * domain, which grants credits to holders; a holder starts no more tasks on
 * a target than it has credits. Both sides count what was granted and what
 * was released since a term began, so that a repeated message changes
 * nothing. A term begins with the keeper's call, which the holder answers
 * with what it holds. Whenever one side lost a message, or the keeper is
 * new, a new term begins. Credits are valid while the lease between the two
 * members is renewed by the messages that pass between them.
 */

#include "rosemary-int.h"

/* An incarnation of another entry VM, as keeper and as holder. */
struct credit_peer {
	char name[RP_NAME_MAX];
	uint64_t incarnation;
	int present; /* in the view and not gone */
	enum rp_member_state state;
	int near;	  /* in our failure domain */
	uint64_t order;	  /* in which we ask it among the others */
	rp_ms lease_from; /* our lease on its grants began then */
	rp_ms heard_at;	  /* its lease on ours began then, or before */

	/* It keeps targets, we hold. */
	uint64_t reports_sent, grants_seen;
	uint32_t want;	  /* credits asked for and not granted */
	uint32_t pending; /* of these, known to be waiting */
	rp_ms asked_at;
	int holds;	 /* credits held of its targets */
	int lapsed;	 /* our lease ended: wait for its call */
	int report_due;	 /* some line changed */
	double capacity; /* tasks per ms of its targets that are open */

	/* We keep targets, it holds. */
	uint64_t grants_sent, reports_seen;
	uint64_t term; /* of the latest call; 0: not called */
	rp_ms called_at;
	int answered;
	uint32_t wanted;
	uint64_t turn; /* place among those that wait */
	int tell;      /* its want was not answered yet */
	int out;       /* credits it has */
	rp_ms recalled_at;
};

/* The keeper's count of the credits that one holder has of a target. */
struct credit_share {
	struct credit_peer *peer;
	uint64_t term;
	uint64_t granted, released;
	int told; /* granted was told */
	int cap;  /* to be told; -1: none */
};

struct credit_target {
	/* As a holder. */
	struct credit_peer *keeper;
	uint64_t term;
	uint64_t granted, released;
	int cap; /* release what is above it; -1: none */
	int idle_min;
	int dirty; /* released was not told */

	/* As the keeper. */
	uint64_t office; /* term in which we became keeper; 0: are not */
	rp_ms ready_at;	 /* all former credits have expired then */
	int ready;
	struct credit_share *shares;
	size_t nshares, cap_shares;
	int out; /* credits granted and not released, all holders */
};

struct credit_limit {
	struct rp_limit limit; /* first */
	struct rp_service *svc;
	struct rp_kernel *k;
	struct credit_peer **peers;
	size_t npeers;
	rp_ms scan_due;
	rp_ms idle_due;
	rp_ms tick_at;	 /* of the latest tick */
	rp_ms settle_at; /* takes no targets before this */
	int settled;
	int unsettled_change; /* a change waits until the members are known */
	size_t covered;	      /* waiting tasks for which credits were asked */
	size_t waiting;	      /* peers that want credits of ours */
	int own;	      /* tasks in flight here on targets we keep */
	int serve_due;
	uint64_t next_turn;
	int fair; /* credits for each entry VM while some wait */
};

static inline struct credit_target *credit_of(const struct rp_target *t)
{
	return t->limit_data;
}

/* limit-credit.c */
/* Whether this process was paused, so that others may keep its targets. */
int credit_paused(const struct credit_limit *l, rp_ms now);
struct credit_peer *credit_peer(struct credit_limit *l, const char *name);
struct rp_target *credit_target(struct credit_limit *l, const char *name);
rp_ms credit_lease(const struct credit_limit *l);
/* Whether a target may get work at all. */
int credit_usable(const struct rp_target *t);

/* limit-holder.c */
int holder_room(const struct credit_limit *l, const struct rp_target *t);
void holder_ended(struct credit_limit *l, struct rp_target *t);
void holder_demand(struct credit_limit *l, size_t waiting, rp_ms now,
		   struct rp_actions *acts);
void holder_grant(struct credit_limit *l, struct credit_peer *p,
		  const RpCreditGrant *msg, rp_ms now, struct rp_actions *acts);
void holder_scan(struct credit_limit *l, rp_ms now, struct rp_actions *acts);
/* Sends the reports that are due. */
void holder_flush(struct credit_limit *l, rp_ms now, struct rp_actions *acts);

/* Forgets what is held of the target, whoever keeps it. */
void holder_forget(struct credit_target *ct);

/* limit-keeper.c */
int keeper_room(const struct credit_limit *l, const struct rp_target *t);
/* Becomes keeper of the target; the calls follow. */
void keeper_take(struct credit_limit *l, struct rp_target *t, rp_ms now);
/* Another entry VM became keeper. */
void keeper_yield(struct credit_limit *l, struct rp_target *t);
/* Finds the targets whose former credits are all known or expired. */
void keeper_ready(struct credit_limit *l, rp_ms now);
/* Begins a new term with the peer: it is to report what it holds. */
void keeper_call(struct credit_limit *l, struct credit_peer *p, rp_ms now,
		 struct rp_actions *acts);
void keeper_report(struct credit_limit *l, struct credit_peer *p,
		   const RpCreditReport *msg, rp_ms now,
		   struct rp_actions *acts);
void keeper_scan(struct credit_limit *l, rp_ms now, struct rp_actions *acts);
/* Grants what is free to those who wait. */
void keeper_serve(struct credit_limit *l, rp_ms now, struct rp_actions *acts);

#endif
