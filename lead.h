#ifndef LEAD_H
#define LEAD_H

/*
 * Election of the entry VM that leads the pool. Does no I/O.
 *
 * A row of the platform's store names the leader and its fencing token. The
 * row is replaced by compare-and-set, so each token has one leader. There is
 * no leader lease: the fencing token makes targets reject an old leader. A
 * leader that is cut off from the store goes on leading as long as targets
 * accept its token.
 *
 * A leader is replaced when it resigns, or when its heartbeats stop and no
 * reachable entry VM receives them. One that is cut off from the store and from
 * all other VMs, and still reaches targets of other failure domains, has been
 * replaced or will be. It stops leading: a target that restarts under its old
 * id has seen no token, and would accept its calls beside those of the
 * successor.
 *
 * There are three cases of a provisional leader, elected without the store:
 * - A failure domain that is cut off from the store and from all other
 *   domains. One of its VMs leads the domain's own targets.
 * - Some failure domains whose VMs all reach each other. One of them leads the
 *   targets of these domains. VMs that are a part of their domain only do not
 *   lead: the other part may have a leader, which uses the same targets.
 * - A majority of the entry VMs that has lost both leader and store. One of
 *   them leads all targets.
 *
 * A VM that does not have the list of targets does not lead provisionally: it
 * would reject all jobs until the store is back.
 *
 * A provisional leader probes the other VMs from time to time. Once VMs of
 * other domains answer and none of them hears another leader, it leads their
 * targets too, or claims the next term if the store is back. If one does, that
 * leader is told of this one, and claims the next term.
 *
 * The upper half of a fencing token is the term: the number of leaders elected
 * through the store. The lower half is 0 for a regular leader and tells the
 * provisional leaders of a term apart: its lower 24 bits are those of the
 * version of the VM's own row, and its upper 8 bits count, so that a later one
 * is above the one that it lost, whichever row is newer. A provisional leader's
 * token is thus above the token of the leader that it lost and below the next
 * leader's. Once the count is at its end, none leads until the store is back.
 *
 * Rows whose versions are a multiple of 2^24 apart have the same bits. A VM
 * that knows of another one like this does not lead provisionally, nor does one
 * that has not read its own row: until then there may be older rows that it has
 * not read. So of two such VMs one at least knows.
 */

#include "rosemary.h"

/* Interval between heartbeats: the longest, and the shortest with few VMs. */
#define LEAD_HEARTBEAT_MS 100
#define LEAD_HEARTBEAT_MIN_MS 50
/*
 * Silence of the leader after which the other VMs are probed: LEAD_GAPS times
 * the longest time between its heartbeats of late, within these bounds. A
 * leader that is slow, or heard by a slow VM, is given more time.
 */
#define LEAD_SILENCE_MIN_MS 250
#define LEAD_SILENCE_MAX_MS 450
#define LEAD_GAPS 4
/* Part of the way to a shorter gap that the longest one goes, a heartbeat. */
#define LEAD_GAP_DECAY 0.02
/* Additional silence that each rank of successor waits for. */
#define LEAD_RANK_DELAY_MS 60
/* Time for the other VMs to answer a probe. */
#define LEAD_PROBE_TIMEOUT_MS 60
/* Time after which a claim without a result is abandoned. */
#define LEAD_CLAIM_TIMEOUT_MS 1000
/* Time for which a claim is awaited before leading provisionally. */
#define LEAD_CLAIM_PATIENCE_MS 100
/* Interval at which the leader renews its row in the store. */
#define LEAD_RENEW_INTERVAL_MS 500
/* Time without renewal after which a VM that reaches no other one claims. */
#define LEAD_RENEWAL_TIMEOUT_MS 3500
/* The same for a VM whose connection the leader's address refused. */
#define LEAD_REFUSED_RENEWAL_TIMEOUT_MS 1500
/* Delay before the next probe or claim after an unsuccessful one. */
#define LEAD_BACKOFF_MS 300
/* Highest rank within a failure domain that is told apart. */
#define LEAD_DOMAIN_RANK_MAX 5
/* Interval at which a provisional leader probes the other VMs. */
#define LEAD_PROVISIONAL_PROBE_INTERVAL_MS 400
/* VMs whose answers to a probe are told apart. */
#define LEAD_ANSWERS_MAX 256
/* Number of successors that the leader names in its heartbeats. */
#define LEAD_SUCCESSORS 3
/* Delay of a first claim while larger VMs exist, which are preferred. */
#define LEAD_LARGER_DELAY_MS 200

/* Interval at which an isolated leader looks for other domains' targets. */
#define LEAD_ISOLATION_INTERVAL_MS 300
/* Time for the store to confirm a leader that may have been replaced. */
#define LEAD_CONFIRM_TIMEOUT_MS 300
/* Pause after which a leader gives up without asking: leases have ended. */
#define LEAD_PAUSE_MAX_MS 1000

#define LEAD_TOKEN(term) ((uint64_t)(term) << 32)
#define LEAD_TERM(token) ((token) >> 32)
#define LEAD_IS_PROVISIONAL(token) ((uint32_t)(token) != 0)
/* A provisional token has the count of its term above the version of a row. */
#define LEAD_COUNT_SHIFT 24
#define LEAD_SHORT_VERSION(version)                                            \
	((uint32_t)(version) & ((1u << LEAD_COUNT_SHIFT) - 1))

enum lead_role {
	LEAD_UNKNOWN, /* the store has not been read yet */
	LEAD_FOLLOWING,
	LEAD_LEADING,
};

/* The store's row that names the leader. */
struct lead_row {
	char vm[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	uint64_t incarnation; /* 0: known from a heartbeat, not the row */
	uint64_t fence;	      /* fencing token; 0: no leader was elected yet */
	int64_t version;      /* of the row, for compare-and-set */
};

/* A heartbeat, or an answer to a probe. */
struct lead_heartbeat {
	uint64_t fence;	     /* the leader's fencing token */
	const char *vm;	     /* the sender */
	const char *leader;  /* the VM that leads */
	const char *address; /* the leader's */
	int leading;	     /* the sender is the leader */
	int hears_leader;    /* the sender received a recent heartbeat of it */
	int resigns;	     /* the first successor is to take over now */
	int stops;	     /* also without the store: the process stops */
	unsigned nlinked; /* VMs linked to the leader, with it; 0: not told */
	size_t nsuccessors;
	char *const *successors; /* names of VMs, by rank */
};

struct lead;

struct lead_ops {
	/* Replaces the row if its version is still the expected one. */
	void (*claim)(struct lead *l, const struct lead_row *row,
		      int64_t expected);
	/* Asks all other entry VMs whether they hear the leader. */
	void (*probe)(struct lead *l);
	/*
	 * Finds out whether anything outside this failure domain answers, and
	 * reports it through lead_reachability_result().
	 */
	void (*check_reachability)(struct lead *l);
	/*
	 * Whether VMs of another failure domain have answered the probe, and
	 * each domain that has answered has answered as a whole.
	 */
	int (*domains_answered)(struct lead *l);
	/* This provisional leader leads the domains that have answered too. */
	void (*domains_added)(struct lead *l);
	/* Has the store confirm this VM's row, for lead_confirmed(). */
	void (*confirm)(struct lead *l);
	/* The role or the known leader has changed. */
	void (*changed)(struct lead *l);
};

/* Why a VM claims the next term. */
enum lead_claim_cause {
	LEAD_CLAIM_OTHER,
	LEAD_CLAIM_PROBE, /* the probe has found no leader */
	LEAD_CLAIM_STOP,  /* the leader stops, and asks its successor */
};

enum lead_phase {
	LEAD_IDLE,
	LEAD_PROBING,		    /* other VMs' answers are awaited */
	LEAD_CLAIMING,		    /* the store's reply is awaited */
	LEAD_CHECKING_REACHABILITY, /* lead_reachability_result() is awaited */
};

struct lead {
	const struct lead_ops *ops;
	void *user; /* for the owner's use */
	char vm[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	uint64_t incarnation;
	enum lead_role role;
	struct lead_row row; /* the leader with the highest token known */
	enum lead_phase phase;
	rp_ms phase_at;	    /* start of the phase, unless idle */
	rp_ms heartbeat_at; /* the last heartbeat from the leader itself */
	double longest_gap; /* between its heartbeats of late, ms */
	rp_ms renewed_at;   /* the renewal of the row was read last */
	/* The latest renewal was first read; reading it again tells nothing. */
	rp_ms renewal_seen_at;
	int64_t renewal_version;
	/*
	 * Time from the previous leader's last renewal to the change of
	 * leader, ms.
	 */
	rp_ms prev_renewal_age;
	rp_ms retry_at; /* earliest time of the next probe or claim */
	unsigned rank;	/* among the successors, from 0 */
	int rank_known; /* a heartbeat of the leader has told it */
	/* Most VMs that the leader was linked to, with it; 0: not told. */
	unsigned nlinked;
	unsigned nothers; /* known entry VMs besides this one */
	unsigned nlarger; /* of these, larger ones, preferred as leader */
	/* VMs of this failure domain that are to lead before this one. */
	unsigned domain_rank;
	/* VMs that answered the probe, by whether they hear the leader. */
	unsigned nhearing;
	unsigned nnot_hearing;
	uint64_t answers[LEAD_ANSWERS_MAX]; /* hashes of the VMs' names */
	rp_ms probed_at;		    /* the last probe */
	int outside_reachable; /* by the check; -1: it has no result yet */
	enum lead_claim_cause claim_cause;
	uint64_t claimed_fence; /* of the latest claim; 0: none */
	int resigning;		/* leads until a successor takes over */
	int leader_stops;	/* the leader that this VM follows does */
	/* A leader was in doubt then, and does nothing until confirmed. */
	rp_ms confirming_since; /* 0: it may act */
	int connection_refused; /* nothing listens at the leader's address */
	int claims_disabled;	/* the process is stopping: makes no claim */
	/*
	 * Version of this VM's own row in the store, which no other VM's row
	 * has; 0: unknown.
	 */
	uint32_t own_row_version;
	/* Another VM's row may have the same LEAD_SHORT_VERSION(). */
	int version_may_be_shared;
	int targets_unknown; /* as a provisional leader it would have none */
	/*
	 * No VM shows that it follows this leader, some may be alive, and the
	 * store has not confirmed it for a while.
	 */
	int isolated;
	int checking_isolation; /* lead_reachability_result() is awaited */
	rp_ms isolation_checked_at;
	int store_lost;	   /* the store has not answered for a while */
	int store_failing; /* all of the latest calls to it have failed */
	int all_domains;   /* provisional leader of all domains */
	struct lead_row prev_row; /* leader before this VM led provisionally */
};

void lead_init(struct lead *l, const struct lead_ops *ops, void *user,
	       const char *vm, const char *address, uint64_t incarnation);
/* The store's row was read. fence 0: it does not exist. */
void lead_row_read(struct lead *l, const struct lead_row *row, rp_ms now);
/*
 * Another VM has read the store's row, and it names a leader of the incarnation
 * with this token. The reply to this VM's claim may still be awaited.
 */
void lead_claim_reported(struct lead *l, uint64_t fence, uint64_t incarnation,
			 rp_ms now);
/* The claim was rejected, or its result is unknown. */
void lead_claim_failed(struct lead *l, rp_ms now);
/*
 * The leader's renewal was read from the store, with the version of its row. A
 * full read of the table finds it again, also when the leader is long gone.
 */
void lead_renewed(struct lead *l, int64_t version, rp_ms now);
/* A heartbeat or an answer to a probe was received. */
void lead_heartbeat(struct lead *l, const struct lead_heartbeat *hb, rp_ms now);
/* The leader's address refused a connection. */
void lead_connection_refused(struct lead *l, rp_ms now);
/* Result of the reachability check. outside: another domain answered. */
void lead_reachability_result(struct lead *l, int outside, rp_ms now);
/* Runs timeouts, probes and claims; to be called periodically. */
void lead_tick(struct lead *l, rp_ms now);
/*
 * The process was paused for ms, so another leader may have been elected. A
 * leader does nothing until the store has confirmed it, or stops leading.
 */
void lead_paused(struct lead *l, rp_ms ms, rp_ms now);
/* The store has confirmed the leader's row after the pause. */
void lead_confirmed(struct lead *l);
/* Whether this VM leads and may send orders. */
int lead_may_act(const struct lead *l);
/* Asks the first successor to take over. */
void lead_resign(struct lead *l);
/* A target rejected a call because it has seen a higher fencing token. */
void lead_fenced(struct lead *l, rp_ms now);
/* Whether this VM is a provisional leader. */
int lead_is_provisional(const struct lead *l);
/* Silence of the leader after which this VM does not count it as alive, ms. */
rp_ms lead_silence_limit(const struct lead *l);
/* Silence of the leader, shorter, after which a new connection is tried, ms. */
rp_ms lead_reconnect_limit(const struct lead *l);
/* Whether this VM leads or has received a recent heartbeat of the leader. */
int lead_leader_alive(const struct lead *l, rp_ms now);

#endif
