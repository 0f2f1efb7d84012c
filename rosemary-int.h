#ifndef ROSEMARY_INT_H
#define ROSEMARY_INT_H

/*
 * Structs and functions shared by the kernel's source files.
 *
 * State is kept in submission shards (by key), dispatch shards (by service)
 * and the node (members, platform requests). Each has its own lock; the lock
 * order is submission, dispatch, node. Work that would need the opposite
 * order is deferred until all locks are released.
 */

#include "rosemary.h"

#include <apr_hash.h>
#include <apr_pools.h>

#include "peer.pb-c.h"

#define RP_SUB_SHARDS 8
#define RP_DISPATCH_SHARDS 4

struct rp_job;
struct rp_target;
struct rp_service;
struct rp_team;

/* --- kernel-heap.c: a binary heap of embedded nodes ----------------- */

#define RP_HEAP_NONE ((size_t)-1)

struct rp_heap_node {
	double key;   /* the heap is ordered by it, smallest first */
	size_t index; /* position in the heap, or RP_HEAP_NONE */
};

struct rp_heap {
	struct rp_heap_node **nodes;
	size_t len, cap;
};

void heap_init(struct rp_heap *h);
void heap_finish(struct rp_heap *h);
void heap_node_init(struct rp_heap_node *n);
/* Inserts the node with the key, or changes the key of a node in the heap. */
void heap_set(struct rp_heap *h, struct rp_heap_node *n, double key);
/* Does nothing when the node is not in the heap. */
void heap_remove(struct rp_heap *h, struct rp_heap_node *n);
/* Returns the node with the smallest key, or NULL. */
struct rp_heap_node *heap_first(const struct rp_heap *h);

/* The struct of the given type whose member ptr points to. */
#define RP_CONTAINER(ptr, type, member)                                        \
	((type *)(void *)((char *)(ptr)-offsetof(type, member)))

/* --- kernel-str.c --------------------------------------------------- */

struct rp_str str_of(const char *s);
int str_eq(struct rp_str a, struct rp_str b);
/* Copies s into a buffer of size bytes, truncated and NUL-terminated. */
void str_copy(char *to, size_t size, struct rp_str s);
uint64_t str_hash(struct rp_str s);
/* Makes a hash table that hashes its keys with XXH3. */
apr_hash_t *hash_new(apr_pool_t *pool);
/* Returns the next number of a splitmix64 sequence. */
uint64_t random_next(uint64_t *state);
/*
 * Returns a random interval within 25% of mean, ms, so that the periodic work
 * of many processes does not coincide.
 */
rp_ms random_jitter(uint64_t *state, rp_ms mean);

/* --- kernel-plugin.c: registry of policy plug-ins -------------------- */

enum rp_plugin_kind {
	RP_PLUGIN_ROUTE,
	RP_PLUGIN_QUEUE,
	RP_PLUGIN_ADMIT,
	RP_PLUGIN_LIMIT,
	RP_PLUGIN_HEALTH,
	RP_PLUGIN_RETRY,
	RP_PLUGIN_KERNEL_KINDS,
	/* The pool scheduler's kinds, see scheduler.h. */
	RP_PLUGIN_ORDER,
	RP_PLUGIN_ADMISSION,
	RP_PLUGIN_PLACE,
	RP_PLUGIN_MOVE,
	RP_PLUGIN_HOPELESS,
	RP_PLUGIN_LEAVE,
	RP_PLUGIN_KINDS,
};

/* First member of every policy's operations table. */
struct rp_plugin {
	const char *name;
	struct rp_plugin *next;
};

void plugin_register(enum rp_plugin_kind kind, struct rp_plugin *p);
struct rp_plugin *plugin_find(enum rp_plugin_kind kind, const char *name);

/* Registers a policy's operations before main() runs. */
#define RP_REGISTER(kind, ops)                                                 \
	static void __attribute__((constructor)) register_##ops(void)          \
	{                                                                      \
		plugin_register(kind, &(ops).plugin);                          \
	}                                                                      \
	struct rp_plugin_dummy_##ops

/*
 * Policies. Each service has one instance of each kind, made by create() and
 * freed by destroy(). A policy embeds the struct of its kind as the first
 * member of its own. All functions are called with the dispatch shard's lock
 * held.
 */

/* Routing: chooses the target of the next task. */
struct rp_route {
	const struct rp_route_ops *ops;
};

struct rp_route_ops {
	struct rp_plugin plugin;
	struct rp_route *(*create)(struct rp_service *svc);
	void (*destroy)(struct rp_route *r);
	/*
	 * Returns a target for which target_available() is true, or NULL to
	 * leave the task queued.
	 */
	struct rp_target *(*pick)(struct rp_route *r, struct rp_job *job,
				  rp_ms now);
	/* The target's load, run time, weight, limit or health changed. */
	void (*changed)(struct rp_route *r, struct rp_target *t, rp_ms now);
	void (*removed)(struct rp_route *r, struct rp_target *t);
	/* Called at every tick; may be NULL. */
	void (*tick)(struct rp_route *r, rp_ms now);
};

/* Queueing: orders the jobs that have queued tasks. */
struct rp_queue {
	const struct rp_queue_ops *ops;
};

struct rp_queue_ops {
	struct rp_plugin plugin;
	struct rp_queue *(*create)(struct rp_service *svc);
	void (*destroy)(struct rp_queue *q);
	void (*add)(struct rp_queue *q, struct rp_job *job, rp_ms now);
	void (*remove)(struct rp_queue *q, struct rp_job *job);
	/* Returns the job whose task starts next, or NULL; it stays queued. */
	struct rp_job *(*next)(struct rp_queue *q, rp_ms now);
	/* The number of queued tasks of the job changed. */
	void (*changed)(struct rp_queue *q, struct rp_job *job, rp_ms now);
	/* A task of the job was started; may be NULL. */
	void (*started)(struct rp_queue *q, struct rp_job *job);
	/* A start of a task of the team ended; may be NULL. */
	void (*ended)(struct rp_queue *q, struct rp_team *team);
};

/* Admission: accepts or refuses a job before any of its tasks start. */
struct rp_admit {
	const struct rp_admit_ops *ops;
};

struct rp_admit_ops {
	struct rp_plugin plugin;
	struct rp_admit *(*create)(struct rp_service *svc);
	void (*destroy)(struct rp_admit *a);
	/* Returns RP_OK, or an error with st and *retry_after (ms) filled. */
	enum rp_code (*check)(struct rp_admit *a,
			      const struct rp_submission *sub, rp_ms now,
			      struct rp_status *st, rp_ms *retry_after);
	/* A task completed; elapsed is its run time, ms. */
	void (*ended)(struct rp_admit *a, rp_ms elapsed, rp_ms now);
};

/* Limits: enforce each target's limit across all entry VMs. */
struct rp_limit {
	const struct rp_limit_ops *ops;
};

struct rp_limit_ops {
	struct rp_plugin plugin;
	struct rp_limit *(*create)(struct rp_service *svc);
	void (*destroy)(struct rp_limit *l);
	/* Returns whether this entry VM may start one more task there. */
	int (*allows)(struct rp_limit *l, const struct rp_target *t);
	void (*started)(struct rp_limit *l, struct rp_target *t, rp_ms now);
	void (*ended)(struct rp_limit *l, struct rp_target *t,
		      enum rp_start_outcome outcome, rp_ms now);
	/* Tasks are queued that no target can take; waiting is their number. */
	void (*demand)(struct rp_limit *l, size_t waiting, rp_ms now,
		       struct rp_actions *acts);
	/* A target was added, removed or changed, or the members changed. */
	void (*changed)(struct rp_limit *l, rp_ms now, struct rp_actions *acts);
	void (*removed)(struct rp_limit *l, struct rp_target *t);
	void (*tick)(struct rp_limit *l, rp_ms now, struct rp_actions *acts);
	/* Messages from the same policy on another entry VM; may be NULL. */
	void (*report)(struct rp_limit *l, const char *from,
		       const RpCreditReport *msg, rp_ms now,
		       struct rp_actions *acts);
	void (*grant)(struct rp_limit *l, const char *from,
		      const RpCreditGrant *msg, rp_ms now,
		      struct rp_actions *acts);
};

/* Health: ejects targets by the outcomes of the tasks started on them. */
struct rp_health {
	const struct rp_health_ops *ops;
};

struct rp_health_ops {
	struct rp_plugin plugin;
	struct rp_health *(*create)(struct rp_service *svc);
	void (*destroy)(struct rp_health *h);
	/* Returns whether one more task may be started on the target. */
	int (*allows)(struct rp_health *h, const struct rp_target *t);
	void (*started)(struct rp_health *h, struct rp_target *t, rp_ms now);
	/* A start ended; elapsed is its age, ms. */
	void (*ended)(struct rp_health *h, struct rp_target *t,
		      enum rp_start_outcome outcome, rp_ms elapsed, rp_ms now);
	void (*removed)(struct rp_health *h, struct rp_target *t);
	void (*tick)(struct rp_health *h, rp_ms now);
};

/* Retries: decides whether an idempotent request is started again. */
struct rp_retry {
	const struct rp_retry_ops *ops;
};

struct rp_retry_ops {
	struct rp_plugin plugin;
	struct rp_retry *(*create)(struct rp_service *svc);
	void (*destroy)(struct rp_retry *r);
	/* A task was started for the first time: the budget grows. */
	void (*first_attempt)(struct rp_retry *r);
	/* Spends one retry of the budget; returns 0 when none is left. */
	int (*take_token)(struct rp_retry *r);
	/* Returns the delay before a hedge of a start, ms; 0: no hedge. */
	rp_ms (*hedge_after)(struct rp_retry *r, const struct rp_target *t);
};

/* --- targets, services, jobs, tasks: the dispatch shards ------------- */

/* Observed run times of tasks, as exponentially weighted averages. */
struct rp_run_time {
	double mean;	/* ms */
	double dev;	/* mean absolute deviation, ms */
	uint64_t count; /* samples */
};

/* Adds one sample, ms. */
void run_time_add(struct rp_run_time *rt, rp_ms sample);

/* A target of a service, with this entry VM's record of it. */
struct rp_target {
	struct rp_service *svc;
	char name[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	char failure_domain[RP_NAME_MAX];
	int slots;	 /* tasks it runs at once, per VM list */
	int connections; /* connections it accepts; 0: unknown */
	int can_lookup;
	int can_void;
	int listed;	       /* present in the latest VM list */
	int leaving;	       /* per VM list, reply or peer: gets no work */
	rp_ms leaving_since;   /* set together with leaving */
	int leaving_announced; /* the members know that it is leaving */
	int32_t weight;	       /* from the operator's table */
	int32_t limit;	       /* likewise; RP_CELL_UNSET: slots apply */
	int in_flight;	       /* active starts of this entry VM */
	struct rp_run_time run_time;
	uint64_t starts; /* counters of starts and of their outcomes */
	uint64_t done;
	uint64_t failed;
	uint64_t busy;
	struct rp_heap_node route_node;	   /* for the route policy */
	struct rp_heap_node run_time_node; /* in svc->by_run_time */
	struct rp_heap_node pause_node;	   /* in the shard's paused heap */
	int paused;	    /* since a BUSY or UNSENT outcome: gets no work */
	int counted_limit;  /* its part of svc->total_limit */
	rp_ms pause_length; /* of the last pause, ms; 0: reset */
	struct rp_start *active_starts; /* linked by target_next */
	size_t index;			/* in svc->targets */
	void *limit_data;		/* for the limit policy */
	void *health_data;		/* for the health policy */
	void *route_data;		/* for the route policy */
};

/* A team's queue and quota in one dispatch shard. */
struct rp_team {
	char name[RP_NAME_MAX];
	struct rp_dispatch *shard;
	int32_t weight; /* share, from the operator's table */
	int32_t quota;	/* over all entry VMs; RP_CELL_UNSET: none */
	int in_flight;	/* active starts of this entry VM */
	size_t njobs;	/* queued jobs */
	size_t nqueued; /* queued tasks */
	/* Its part of the shard's active_weight; 0: no task is queued. */
	int32_t active_weight;
};

enum rp_task_state {
	RP_TASK_QUEUED,
	RP_TASK_SENT,
	RP_TASK_DONE,
};

struct rp_task {
	uint8_t state;		/* enum rp_task_state */
	uint8_t in_flight;	/* active starts */
	uint8_t attempts;	/* starts made, at most UINT8_MAX */
	uint8_t may_have_run;	/* starts that ran or may have run */
	uint8_t lost;		/* starts whose connection broke */
	uint16_t suffix;	/* of the next start's task id; 0: none */
	struct rp_blob *result; /* NULL until the task is done */
};

/* An accepted submission, from admission to its answer. */
struct rp_job {
	uint64_t id; /* unique within this incarnation */
	struct rp_service *svc;
	struct rp_team *team;
	struct rp_submission *sub; /* one reference */
	rp_ms accepted_at;
	rp_ms deadline;
	int refs;	  /* one of the shard, one of each active start */
	int closed;	  /* answered: later replies are ignored */
	int may_have_run; /* starts that ran or may have run */
	struct rp_task *tasks;
	size_t next_task;   /* the first task that was never started */
	uint32_t *requeued; /* tasks to start once more */
	size_t nrequeued, cap_requeued;
	size_t ndone;
	size_t in_flight;		/* active starts */
	struct rp_start *active_starts; /* linked by job_next */
	/*
	 * The target on which a request failed last: retries avoid it. The
	 * target may be freed meanwhile, so this is only compared.
	 */
	const struct rp_target *failed_on;
	struct rp_heap_node deadline_node;
	struct rp_heap_node queue_node;		/* for the queue policy */
	struct rp_job *queue_next, *queue_prev; /* also for svc->parked */
	void *queue_data;			/* for the queue policy */
	int queued; /* the queue policy has the job */
	int parked; /* in svc->parked, until the next tick */
};

/* One start of a task on a target, from the send to the known outcome. */
struct rp_start {
	uint32_t slot;	     /* position in the shard's table of starts */
	uint32_t generation; /* makes ids unique when a slot is reused */
	uint8_t in_use;
	uint8_t phase;		 /* enum rp_start_phase */
	uint16_t suffix;	 /* of the task id; 0: none */
	uint8_t nlookups;	 /* lookups and voids sent */
	uint8_t nunknown;	 /* lookups answered RP_LOOKUP_UNKNOWN */
	uint8_t connection_lost; /* no reply will come */
	uint8_t health_reported; /* the health policy has its outcome */
	uint8_t stopped;	 /* the target was asked to stop it */
	uint8_t hedge_done;	 /* hedged already, or never to be hedged */
	struct rp_job *job;
	uint32_t task;
	struct rp_target *target;
	rp_ms sent_at;
	rp_ms give_up_at; /* the target abandons the task by then */
	rp_ms lookup_at;  /* without a reply, the outcome is looked up */
	struct rp_heap_node timer_node;
	struct rp_start *job_next, *job_prev;
	struct rp_start *target_next, *target_prev;
	uint32_t next_free; /* slot, or RP_START_SLOT_NONE */
};

enum rp_start_phase {
	RP_START_SENT,	      /* waits for the target's reply */
	RP_START_LOOKING_UP,  /* waits for the answer to a lookup or void */
	RP_START_LOOKUP_WAIT, /* the next lookup is sent by the timer */
	RP_START_ABANDONED,   /* outcome unknown for good; holds its slot */
};

/* Bounds on rp_service.silence_devs. */
#define RP_SILENCE_DEVS_MIN 5.0
#define RP_SILENCE_DEVS_MAX 10.0

#define RP_START_SLOT_NONE UINT32_MAX /* ends the free list */
#define RP_START_PAGE 256	      /* starts allocated at once */

/* A service with its targets and one instance of each policy. */
struct rp_service {
	char name[RP_NAME_MAX];
	struct rp_dispatch *shard;
	struct rp_target **targets;
	size_t ntargets, cap_targets;
	apr_hash_t *by_name; /* name -> struct rp_target */
	struct rp_route *route;
	struct rp_queue *queue;
	struct rp_admit *admit;
	struct rp_limit *limit;
	struct rp_health *health;
	struct rp_retry *retry;
	rp_ms now;		     /* time of the latest dispatch_pump() */
	size_t nqueued;		     /* queued tasks */
	size_t in_flight;	     /* active starts */
	struct rp_run_time run_time; /* of all targets together */
	struct rp_heap by_run_time;  /* usable targets, fastest first */
	struct rp_job *parked;	     /* retries that wait for another target */
	const struct rp_target *excluded; /* failed_on of the job in pick() */
	size_t total_limit; /* sum of the usable targets' limits */
	/* Deviations over the mean run time before a lookup. */
	double silence_devs;
	rp_ms next_trial_at; /* when a job predicted to be late may start */
};

struct rp_dispatch_counters {
	uint64_t jobs, complete, failed, refused;
	uint64_t starts, resends, hedges, lookups, voids, stops;
	uint64_t late_replies, violations;
};

struct rp_dispatch {
	void *lock;
	struct rp_kernel *k;
	unsigned index;
	apr_pool_t *pool;
	apr_hash_t *services;	       /* name -> struct rp_service */
	apr_hash_t *teams;	       /* name -> struct rp_team */
	apr_hash_t *jobs;	       /* id -> struct rp_job */
	struct rp_start **start_pages; /* RP_START_PAGE slots each */
	size_t nstart_slots;	       /* allocated, free ones included */
	uint32_t free_start;	       /* slot that heads the free list */
	struct rp_heap deadlines;      /* open jobs, by deadline */
	struct rp_heap timers;	       /* active starts, by next timer */
	struct rp_heap paused;	       /* paused targets, by end of pause */
	uint64_t next_job;	       /* id of the newest job */
	int64_t active_weight; /* sum over the teams with queued tasks */
	uint64_t random;       /* state of random_next() */
	rp_ms ticked_at;       /* latest tick; 0: none yet */
	int entry_vms;	       /* in the newest VM list applied */
	uint64_t list_seq;     /* sequence number of that list */
	int64_t table_version; /* newest table applied */
	struct rp_view *view;  /* newest view applied; one reference */
	apr_hash_t *cells;     /* the table's cells for this shard's services */
	int quota_vms;	       /* entry VMs that share the teams' quotas */
	int quota_rank;	       /* rank of this entry VM among them, by name */
	uint32_t quota_seq;    /* incremented when team quotas may change */
	struct rp_dispatch_counters counters;
};

/* --- submissions ----------------------------------------------------- */

enum rp_record_phase {
	RP_RECORD_CLAIMING,  /* the caller's own key is being claimed */
	RP_RECORD_UNCLAIMED, /* refused with the claim's outcome unknown */
	RP_RECORD_RUNNING,
	RP_RECORD_FINAL,
};

/* A waiter for an answer: a caller of this entry VM, or a relaying peer. */
struct rp_waiter {
	rp_token token;
	char peer[RP_NAME_MAX]; /* "" for a caller of this entry VM */
	uint64_t relay_id;	/* the peer's id of the relayed call */
	int until_claimed;	/* answered once the key is claimed */
	int is_cancel;		/* waits for the end of a cancellation */
	struct rp_waiter *next;
};

/* The state of a submission, found by its key. */
struct rp_record {
	char key[RP_KEY_MAX];
	size_t key_len;
	uint64_t digest;
	enum rp_record_phase phase;
	uint64_t claim_id; /* 0: no claim was ever queued */
	int cancelled;	   /* cancelled before the key was claimed */
	uint64_t job_id;
	char service[RP_NAME_MAX];
	struct rp_submission *sub; /* only while the key is claimed */
	struct rp_answer *answer;  /* NULL: not final, or dropped */
	enum rp_state final_state; /* kept when the answer is dropped */
	struct rp_waiter *waiters;
	rp_ms received_at;
	rp_ms deadline;
	rp_ms expires_at; /* may be removed from then on */
	int retained;	  /* in the shard's list of retained answers */
	struct rp_record *next, *prev;			 /* by age */
	struct rp_record *retained_next, *retained_prev; /* by age */
};

struct rp_record_list {
	struct rp_record *first, *last;
};

struct rp_sub_counters {
	uint64_t submitted, joined, conflicts, refused;
	uint64_t dropped_answers;
};

struct rp_sub_shard {
	void *lock;
	struct rp_kernel *k;
	unsigned index;
	apr_pool_t *pool;
	apr_hash_t *records; /* key -> struct rp_record */
	struct rp_record_list by_age;
	struct rp_record_list retained;
	size_t nrecords;
	size_t retained_bytes;
	struct rp_record *handover_next; /* next to be sent, or NULL */
	struct rp_sub_counters counters;
};

/* The fields of an issued key. */
struct rp_key {
	char vm[RP_NAME_MAX];
	uint64_t incarnation;
	rp_ms expires_at; /* on the issuer's clock */
	uint64_t counter; /* unique within the incarnation */
};

/* --- members --------------------------------------------------------- */

enum rp_member_state {
	RP_MEMBER_LIVE,
	RP_MEMBER_SUSPECT, /* silent: avoided, but its records may return */
	RP_MEMBER_LEAVING,
	RP_MEMBER_GONE, /* silent and not in the latest VM list */
};

struct rp_member {
	char name[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	char failure_domain[RP_NAME_MAX];
	uint64_t incarnation; /* 0: no message received yet */
	enum rp_member_state state;
	int64_t table_version; /* in force there, per last heartbeat */
	double load; /* tasks queued and running, per last heartbeat */
};

/* A member with the state that a view does not publish. */
struct rp_member_entry {
	struct rp_member m;
	/* 1: in the latest VM list; 2: in an earlier one; 0: in none. */
	int listed;
	int leaving;		  /* per VM list or its own heartbeat */
	int gone;		  /* until the next sign of life */
	rp_ms first_heartbeat_at; /* our first heartbeat to it; 0: none yet */
	int link_down;	    /* calls fail until the next message from it */
	rp_ms last_seen_at; /* last sign of life, own or from a third member */
	rp_ms last_message_at; /* last message from it; 0: none */
	rp_ms ended_at; /* when it became gone or its incarnation changed */
	rp_ms probed_at, link_reset_at;
	rp_ms peer_clock;   /* newest clock value received from it */
	rp_ms echoed_clock; /* our newest clock value that it has echoed */
	rp_ms lease_wanted_until; /* end of frequent heartbeats */
	rp_ms last_sent_at;	  /* latest message to it */
	rp_ms last_heartbeat_at;  /* latest heartbeat to it */
};

/* Names the member that serves the records of a stopped incarnation. */
struct rp_forward {
	char vm[RP_NAME_MAX];
	uint64_t incarnation;
	char to[RP_NAME_MAX];
	uint64_t to_incarnation;
	rp_ms expires_at; /* all keys of the incarnation have expired then */
	struct rp_forward *next;
};

/* Where calls for the keys of an incarnation go. */
enum rp_owner {
	RP_OWNER_HERE, /* this entry VM, also for adopted records */
	RP_OWNER_PEER,
	RP_OWNER_UNREACHABLE,
	RP_OWNER_GONE,
};

/* A call relayed to the owner of its key, waiting for the answer. */
struct rp_relay {
	uint64_t id;
	struct rp_waiter waiter;
	int op;			   /* RpRelay__Op */
	struct rp_submission *sub; /* SUBMIT: one reference */
	char key[RP_KEY_MAX];
	size_t key_len;
	char owner[RP_NAME_MAX];
	uint64_t owner_incarnation;
	char sent_to[RP_NAME_MAX]; /* member that the call was sent to */
	int wait;		   /* answer when final, not at once */
	int acked;		   /* the member acknowledged the call */
	uint32_t unanswered_sends; /* sends since the last message about it */
	rp_ms received_at;	   /* from the caller */
	rp_ms last_response_at;	   /* last message about it, or when it began */
	rp_ms resend_at;
	rp_ms give_up_at;
};

/* An immutable snapshot of the members, published by the node. */
struct rp_view {
	atomic_int refs;
	uint64_t seq;
	size_t nmembers; /* without this entry VM */
	struct rp_member members[];
};

/* A stopped incarnation whose records this entry VM has adopted. */
struct rp_adopted {
	char vm[RP_NAME_MAX];
	uint64_t incarnation;
	rp_ms clock_offset; /* its clock minus ours, ms */
	struct rp_adopted *next;
};

/* Progress of a member's handover to this entry VM. */
struct rp_incoming_handover {
	char vm[RP_NAME_MAX];
	uint64_t incarnation;
	uint64_t next_part;
	struct rp_incoming_handover *next;
};

enum rp_drain_phase {
	RP_DRAIN_FINISH,   /* waits for running jobs */
	RP_DRAIN_HANDOVER, /* sends the records to a successor */
	RP_DRAIN_ANNOUNCE, /* announces the successor to the members */
	RP_DRAIN_DONE,
};

/* State of a planned stop, read by all threads. */
enum rp_drain_state {
	RP_DRAIN_OFF,
	RP_DRAIN_GRACE,	 /* not ready for new callers; submissions accepted */
	RP_DRAIN_REFUSE, /* submissions are answered "not run" */
};

/* The planned stop of this entry VM. */
struct rp_drain {
	rp_ms refuse_at; /* end of RP_DRAIN_GRACE */
	enum rp_drain_phase phase;
	rp_ms next_step_at; /* when the next step runs */
	rp_ms give_up_at;   /* end of the handover, then of the announcement */
	char successor[RP_NAME_MAX];
	uint64_t successor_incarnation;
	uint64_t part; /* number of the part being sent, from 1 */
	int is_last_part;
	int part_sends;	 /* times that the part was sent */
	uint8_t *packed; /* the part as sent */
	size_t packed_len;
	/* Members that were asked to be the successor. */
	char (*tried_members)[RP_NAME_MAX];
	size_t ntried_members;
};

struct rp_view *view_ref(struct rp_view *v);
void view_unref(struct rp_view *v);

/* --- trace events ----------------------------------------------------- */

enum rp_trace_type {
	RP_TRACE_SUBMITTED,
	RP_TRACE_STARTED,
	RP_TRACE_ENDED,
	RP_TRACE_ANSWERED,
	RP_TRACE_RETRIED,
	RP_TRACE_EJECTED,
	RP_TRACE_READMITTED,
	RP_TRACE_CREDIT,
	RP_TRACE_MEMBER,
	RP_TRACE_TABLE,
	RP_TRACE_DRAIN,
	RP_TRACE_CLAIM,
	RP_TRACE_RELAY,
	RP_TRACE_VIOLATION,
};

struct rp_trace_event {
	uint64_t seq; /* consecutive number, from 1 */
	uint64_t hlc; /* hybrid logical clock: ms << 16 | counter */
	enum rp_trace_type type;
	char key[RP_KEY_MAX];
	char target[RP_NAME_MAX]; /* name of a target or entry VM */
	char team[RP_NAME_MAX];
	int32_t task; /* -1: none */
	char detail[RP_NAME_MAX];
};

struct rp_trace {
	void *lock;
	struct rp_trace_event *ring;
	size_t size;
	uint64_t next; /* seq of the next event */
	uint64_t hlc;
};

/* What a trace event is about; fields may be empty. */
struct rp_trace_subject {
	struct rp_str key, team;
	const char *target; /* target or entry VM; may be NULL */
	int32_t task;	    /* index in the job; -1: none */
};

void trace_init(struct rp_kernel *k);
void trace_finish(struct rp_kernel *k);
void trace_event(struct rp_kernel *k, rp_ms now, enum rp_trace_type type,
		 const struct rp_trace_subject *about, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));
/* Returns a hybrid clock stamp for an outgoing message. */
uint64_t trace_stamp(struct rp_kernel *k, rp_ms now);
/* Moves the hybrid clock past the stamp of a received message. */
void trace_merge_stamp(struct rp_kernel *k, rp_ms now, uint64_t hlc);

/* --- the kernel -------------------------------------------------------- */

/* Called with the platform's reply to a request, or with its loss. */
typedef void (*rp_platform_done)(struct rp_kernel *k, rp_ms now, void *ctx,
				 const struct rp_event *ev,
				 struct rp_actions *acts);

/* A request to the platform that has no reply yet. */
struct rp_platform_request {
	uint64_t id;
	rp_ms give_up_at;
	rp_platform_done done;
	void *ctx;
};

/* State that belongs to no shard; the lock protects most of it. */
struct rp_node {
	void *lock;
	apr_pool_t *pool;
	apr_hash_t *platform_requests; /* id -> struct rp_platform_request */
	uint64_t next_request;	       /* id of the newest request */
	uint64_t random;	       /* state of random_next() */
	uint64_t list_seq; /* incremented with every VM list fetched */
	rp_ms list_due;	   /* when the VM list is next polled */
	int list_in_flight;
	uint64_t platform_reads, platform_writes;
	apr_hash_t *members; /* name -> struct rp_member_entry */
	struct rp_view *view;
	uint64_t view_seq;
	rp_ms started_at;
	rp_ms first_list_at;	    /* 0: no list was fetched yet */
	rp_ms domain_heartbeat_due; /* within the failure domain */
	rp_ms cross_heartbeat_due;  /* to other failure domains */
	unsigned cross_round;	    /* rounds to other failure domains */
	struct rp_forward *forwards;
	apr_hash_t *relays; /* id -> struct rp_relay */
	uint64_t next_relay;
	rp_ms relay_scan_due;	/* next scan of the relays */
	rp_ms leaving_scan_due; /* next scan for leaving targets */
	struct rp_drain drain;
	struct rp_adopted *adopted;
	struct rp_incoming_handover *incoming_handovers;
	uint64_t peer_messages, peer_bytes;
};

#include "table.h"
#include "claim.h"

struct rp_kernel {
	struct rp_options opt;
	apr_pool_t *pool;
	struct rp_sub_shard subs[RP_SUB_SHARDS];
	struct rp_dispatch dispatch[RP_DISPATCH_SHARDS];
	struct rp_node node;
	struct rp_table table;
	struct rp_claims claims;
	struct rp_trace trace;
	atomic_ullong next_key;	  /* counter of the newest issued key */
	atomic_int draining;	  /* enum rp_drain_state */
	atomic_int credits_ready; /* set once member_credits_ready() was true */
};

/* Work that runs once all locks are released. */
struct rp_deferred {
	/* Runs the work and frees d. */
	void (*run)(struct rp_kernel *k, rp_ms now, struct rp_deferred *d,
		    struct rp_actions *acts);
	struct rp_deferred *next;
};

/* Appends deferred work, which runs in the order of appending. */
void kernel_defer(struct rp_actions *acts, struct rp_deferred *d);
void *kernel_lock_new(struct rp_kernel *k);
void kernel_lock_free(struct rp_kernel *k, void *lock);
void kernel_lock(struct rp_kernel *k, void *lock);
void kernel_unlock(struct rp_kernel *k, void *lock);
/* Return zeroed or resized memory; abort the process when it is exhausted. */
void *kernel_alloc(size_t size);
void *kernel_realloc(void *ptr, size_t size);
/* Appends a zeroed action of the type. */
struct rp_action *action_add(struct rp_actions *acts, enum rp_action_type type);

/* kernel-writer.c: writes before as it is, then s as a JSON string. */
void writer_json_string(struct rp_writer *w, const char *before,
			struct rp_str s);

/* kernel-report.c: writes one counter as a line of text. */
void write_counter(struct rp_writer *w, const char *name, uint64_t value);

/*
 * kernel-platform.c; the node's lock must not be held. Every request ends with
 * one call of done, with outcome RP_PLATFORM_LOST when no reply came in time.
 */
void platform_request(struct rp_kernel *k, rp_ms now, enum rp_platform_op op,
		      const struct rp_row *rows, size_t nrows,
		      rp_platform_done done, void *ctx,
		      struct rp_actions *acts);
void platform_reply(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		    struct rp_actions *acts);
void platform_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
/* Ends all requests as lost, so that their callbacks free their context. */
void platform_finish(struct rp_kernel *k);

/* sub-key.c */
void key_format(const struct rp_kernel *k, const struct rp_key *key,
		char out[RP_KEY_MAX]);
/* Returns 0 when the text is not an issued key. */
int key_parse(struct rp_str text, struct rp_key *key);
/* Returns whether this incarnation issued the key parsed from the text. */
int key_issued_here(const struct rp_kernel *k, struct rp_str text,
		    const struct rp_key *key);
/* Appends an action with count new keys, or with an error. */
void key_issue(struct rp_kernel *k, rp_ms now, rp_token token, int count,
	       struct rp_actions *acts);

/* sub-record.c; the shard's lock is held. */
void sub_init(struct rp_kernel *k, unsigned index);
void sub_finish(struct rp_sub_shard *s);
struct rp_sub_shard *sub_shard_of(struct rp_kernel *k, struct rp_str key);
struct rp_record *record_find(struct rp_sub_shard *s, struct rp_str key);
/* Adds a running record; returns NULL when the shard is full. */
struct rp_record *record_add(struct rp_sub_shard *s, struct rp_submission *sub,
			     rp_ms now);
/* Adds a final record of another incarnation; returns 0 when full. */
int record_adopt(struct rp_sub_shard *s, struct rp_str key, uint64_t digest,
		 rp_ms expires, enum rp_state state, struct rp_answer *a);
/* Adds a copy of the waiter, unless it is a relayed call that was resent. */
void record_add_waiter(struct rp_record *r, const struct rp_waiter *w);
/* Makes the record final and answers its waiters; takes ownership of a. */
void record_finish(struct rp_sub_shard *s, struct rp_record *r, rp_ms now,
		   struct rp_answer *a, struct rp_actions *acts);
/* Removes the oldest records that have expired. */
void record_expire(struct rp_sub_shard *s, rp_ms now);
/* Removes and frees a record; its waiters are dropped without an answer. */
void record_remove(struct rp_sub_shard *s, struct rp_record *r);

/* Runs periodic work of a shard; takes its lock. */
void sub_tick(struct rp_sub_shard *s, rp_ms now);

/* sub-submit.c; no lock is held. */
void sub_submit(struct rp_kernel *k, rp_ms now, struct rp_submission *sub,
		int wait, const struct rp_waiter *w, struct rp_actions *acts);
void sub_query(struct rp_kernel *k, rp_ms now, struct rp_str key, int wait,
	       const struct rp_waiter *w, struct rp_actions *acts);
void sub_cancel(struct rp_kernel *k, rp_ms now, struct rp_str key,
		const struct rp_waiter *w, struct rp_actions *acts);
/* Joins a submission to its key's record; returns 0 when there is none. */
int sub_join(struct rp_kernel *k, rp_ms now, struct rp_submission *sub,
	     int wait, const struct rp_waiter *w, struct rp_actions *acts);
/* Dispatches a submission that may start; the shard's lock is held. */
void submit_start(struct rp_sub_shard *s, struct rp_record *r, rp_ms now,
		  struct rp_submission *sub, struct rp_actions *acts);
/* Defers the end of a->sub's record with the answer; takes ownership of a. */
void sub_job_ended(struct rp_answer *a, struct rp_actions *acts);
/* Sends an answer to one waiter; takes ownership of a. */
void answer_waiter(struct rp_kernel *k, rp_ms now, const struct rp_waiter *w,
		   struct rp_answer *a, struct rp_actions *acts);
/* Returns an answer with a status and no results. */
struct rp_answer *answer_status(enum rp_state state, const struct rp_status *st,
				rp_ms retry_after);

/* relay-call.c: calls for keys that another incarnation owns. */
void relay_submit(struct rp_kernel *k, rp_ms now, struct rp_submission *sub,
		  const struct rp_key *key, int wait, const struct rp_waiter *w,
		  struct rp_actions *acts);
void relay_query(struct rp_kernel *k, rp_ms now, struct rp_str key, int wait,
		 const struct rp_waiter *w, struct rp_actions *acts);
void relay_cancel(struct rp_kernel *k, rp_ms now, struct rp_str key,
		  const struct rp_waiter *w, struct rp_actions *acts);
/* Variants for a caller's own key, whose owner is named by its claim row. */
void relay_submit_to(struct rp_kernel *k, rp_ms now, struct rp_submission *sub,
		     const char *owner_vm, uint64_t owner_incarnation, int wait,
		     const struct rp_waiter *w, struct rp_actions *acts);
void relay_query_to(struct rp_kernel *k, rp_ms now, struct rp_str key,
		    const char *owner_vm, uint64_t owner_incarnation, int wait,
		    const struct rp_waiter *w, struct rp_actions *acts);
void relay_cancel_to(struct rp_kernel *k, rp_ms now, struct rp_str key,
		     const char *owner_vm, uint64_t owner_incarnation,
		     const struct rp_waiter *w, struct rp_actions *acts);
/* Sends an answer back to the relaying peer; takes ownership of a. */
void relay_send_answer(struct rp_kernel *k, rp_ms now,
		       const struct rp_waiter *w, struct rp_answer *a,
		       struct rp_actions *acts);
void relay_answer_received(struct rp_kernel *k, rp_ms now,
			   const RpRelayAnswer *msg, struct rp_actions *acts);
void relay_finish(struct rp_kernel *k);

/* relay-wait.c */
void relay_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
/* Sends a relayed call to its member; the node's lock must not be held. */
void relay_send(struct rp_kernel *k, rp_ms now, const struct rp_relay *r,
		struct rp_actions *acts);
/* Answers a call whose key's owner is unreachable or gone. */
void relay_answer_no_owner(struct rp_kernel *k, rp_ms now, enum rp_owner why,
			   const char *owner, const struct rp_waiter *w,
			   struct rp_actions *acts);
void relay_free(struct rp_relay *r);

/* relay-serve.c: calls that a peer relays to this entry VM. */
void relay_received(struct rp_kernel *k, rp_ms now, const char *from,
		    const RpRelay *msg, struct rp_actions *acts);
/* Answers a call from the records of an adopted incarnation. */
void relay_serve_adopted(struct rp_kernel *k, rp_ms now,
			 struct rp_submission *sub, struct rp_str key, int wait,
			 const struct rp_waiter *w, struct rp_actions *acts);

/* relay-pack.c: converts answers to and from messages. */
void relay_pack_answer(const struct rp_answer *a, RpRelayAnswer *msg);
void relay_pack_free(RpRelayAnswer *msg);
struct rp_answer *relay_unpack_answer(const RpRelayAnswer *msg);

/* dispatch-service.c */
void dispatch_init(struct rp_kernel *k, unsigned index);
void dispatch_finish(struct rp_dispatch *d);
struct rp_dispatch *dispatch_shard_of(struct rp_kernel *k,
				      struct rp_str service);
struct rp_service *service_find(struct rp_dispatch *d, struct rp_str name);
/* Returns the team, which is added when it is new. */
struct rp_team *team_get(struct rp_dispatch *d, struct rp_str name);
/* Returns whether the team has reached this entry VM's part of its quota. */
int team_at_quota(const struct rp_dispatch *d, const struct rp_team *team);
/* Divides the teams' quotas among the members of the shard's view. */
void team_divide_quotas(struct rp_dispatch *d);
/* Applies a VM list, unless one with the same or a later seq was applied. */
void dispatch_apply_list(struct rp_dispatch *d, rp_ms now, uint64_t seq,
			 const struct rp_vm *vms, size_t nvms,
			 struct rp_actions *acts);
/* Notifies the policies of changed targets or members, and starts tasks. */
void service_changed(struct rp_service *svc, rp_ms now,
		     struct rp_actions *acts);
/* Returns whether one more task may be started on the target now. */
int target_available(const struct rp_target *t);
/* Returns how many tasks all entry VMs together may run on the target. */
int target_limit(const struct rp_target *t);

/* dispatch-job.c; these take the shard's lock. */
enum rp_code dispatch_submit(struct rp_dispatch *d, rp_ms now,
			     struct rp_submission *sub, rp_ms deadline,
			     uint64_t *job_id, struct rp_status *st,
			     rp_ms *retry_after, struct rp_actions *acts);
void dispatch_cancel(struct rp_dispatch *d, rp_ms now, uint64_t job_id,
		     struct rp_actions *acts);
void dispatch_tick(struct rp_dispatch *d, rp_ms now, struct rp_actions *acts);
/* The following need the lock. */
/* Sends the job's answer and stops its active starts. */
void job_close(struct rp_job *job, rp_ms now, enum rp_state state,
	       const struct rp_status *st, struct rp_actions *acts);
/* Closes the job as failed, or as not run when no start may have run. */
void job_fail(struct rp_job *job, rp_ms now, const struct rp_status *st,
	      struct rp_actions *acts);
void job_unref(struct rp_job *job);
void job_free(struct rp_job *job);
/* Stores a task's result; closes the job when it was the last one. */
void job_task_done(struct rp_job *job, size_t task, struct rp_blob *body,
		   rp_ms now, struct rp_actions *acts);
/* Queues a task once more. */
void job_requeue_task(struct rp_job *job, size_t task, rp_ms now);
/* Returns the number of the job's queued tasks. */
size_t job_nqueued(const struct rp_job *job);
/* Adds n, which may be negative, to the counts of queued tasks. */
void job_count_queued(struct rp_job *job, ptrdiff_t n);

/* dispatch-start.c: the table of starts; needs the lock. */
/* Returns the active start with the id, or NULL when it has ended. */
struct rp_start *start_find(struct rp_dispatch *d, uint64_t id);
/* Returns the shard that the id names, or NULL; needs no lock. */
struct rp_dispatch *start_shard(struct rp_kernel *k, uint64_t id);
/* Starts a task on the target; returns 0 when an invariant forbids it. */
int start_on_target(struct rp_job *job, uint32_t task, struct rp_target *t,
		    rp_ms now, struct rp_actions *acts);
/* Ends a start: frees its slot and reports the outcome to the policies. */
void start_end(struct rp_start *s, rp_ms now, enum rp_start_outcome outcome);
/* Reports the outcome of a start to the health policy, at most once. */
void start_report_health(struct rp_start *s, rp_ms now,
			 enum rp_start_outcome outcome);
/* Appends an action about a start, with the fields that all types share. */
struct rp_action *start_action(const struct rp_start *s,
			       enum rp_action_type type,
			       struct rp_actions *acts);
/* Sets the timer of a start, at the latest to its give_up_at. */
void start_set_timer(struct rp_start *s, rp_ms at);
/* Asks the targets to stop the active starts of a closed job. */
void start_stop_all(struct rp_job *job, struct rp_actions *acts);
/* Unlinks a start and drops its reference to the job. */
void start_release(struct rp_start *s);
/* Returns the slot of the table of starts, which may be free. */
struct rp_start *start_by_slot(struct rp_dispatch *d, size_t slot);

/* dispatch-outcome.c: outcomes of starts; takes the lock. */
void dispatch_reply(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		    struct rp_actions *acts);
/* Ends a start with the outcome and updates its job; needs the lock. */
void outcome_apply(struct rp_start *s, enum rp_start_outcome outcome,
		   struct rp_blob *body, rp_ms now, struct rp_actions *acts);
/* Queues a request for another target; returns 0 when none is allowed. */
int outcome_retry(struct rp_job *job, uint32_t task, struct rp_target *t,
		  rp_ms now);
/* Retries a task whose start failed or is lost, or fails the job. */
void outcome_retry_or_fail(struct rp_job *job, uint32_t task,
			   struct rp_target *t, enum rp_code code, rp_ms now,
			   struct rp_actions *acts);

/* dispatch-lookup.c: starts without a reply. */
void dispatch_lookup_reply(struct rp_kernel *k, rp_ms now,
			   const struct rp_event *ev, struct rp_actions *acts);
/* The following need the lock. */
void dispatch_run_timers(struct rp_dispatch *d, rp_ms now,
			 struct rp_actions *acts);
/* Looks the outcome up, or waits for the reply if no lookup is possible. */
void lookup_begin(struct rp_start *s, int connection_lost, rp_ms now,
		  struct rp_actions *acts);
/* Looks up all active starts of a target that is no longer listed. */
void lookup_target_starts(struct rp_target *t, rp_ms now,
			  struct rp_actions *acts);

/* dispatch-pump.c; needs the lock. */
/* Starts queued tasks until no target can take another. */
void dispatch_pump(struct rp_service *svc, rp_ms now, struct rp_actions *acts);
/* Puts the parked jobs back in the queue. */
void pump_unpark_all(struct rp_service *svc, rp_ms now);
/* Removes a job from the list of parked jobs. */
void pump_unpark_job(struct rp_job *job);
/* Pauses a target for twice as long as the last time, at most max, ms. */
void target_pause(struct rp_target *t, rp_ms now, rp_ms max);
/* Resumes the targets whose pause is over. */
void target_resume_due(struct rp_dispatch *d, rp_ms now);
/* Updates the target in svc->by_run_time and svc->total_limit. */
void target_reindex(struct rp_target *t);
/* Returns the run time to expect of the fastest target, ms; 0: unknown. */
double service_min_time(const struct rp_service *svc);
/*
 * Returns the target's mean run time, ms, weighted with the service's mean
 * while the target has few samples.
 */
double target_mean_time(const struct rp_target *t);

/*
 * Returns 1 when ok is true. Otherwise counts a violated invariant and
 * returns 0, or aborts when the option abort_on_violation is set.
 */
int dispatch_check_invariant(struct rp_dispatch *d, rp_ms now, int ok,
			     const char *invariant);

/* member-list.c */
void member_init(struct rp_kernel *k, rp_ms now);
void member_finish(struct rp_kernel *k);
void member_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);

/* member-table.c; the first group needs the node's lock. */
struct rp_member_entry *member_find(struct rp_node *n, const char *name);
/* Returns the member, which is added when it is new. */
struct rp_member_entry *member_find_or_add(struct rp_node *n, const char *name,
					   rp_ms now);
/* Returns whether the member is in this entry VM's failure domain. */
int member_same_domain(const struct rp_kernel *k,
		       const struct rp_member_entry *e);
/* Records a sign of life; returns 0 for an outdated incarnation. */
int member_note_alive(struct rp_member_entry *e, uint64_t incarnation,
		      rp_ms heard_at, rp_ms now);
enum rp_member_state member_current_state(const struct rp_kernel *k,
					  const struct rp_member_entry *e,
					  rp_ms now);
/* member-owner.c: finds who answers for an incarnation; fills its name. */
enum rp_owner member_find_owner(struct rp_kernel *k, rp_ms now, const char *vm,
				uint64_t incarnation, char to[RP_NAME_MAX]);
/* Records that a member serves the keys of a stopped incarnation. */
void member_add_forward(struct rp_kernel *k, rp_ms now, const char *vm,
			uint64_t incarnation, const char *to,
			uint64_t to_incarnation);

/* The following take the lock. */
/* Applies a VM list; fetched: from the platform, not from the settings. */
void member_apply_list(struct rp_kernel *k, rp_ms now, const struct rp_vm *vms,
		       size_t nvms, int fetched);
/* Marks silent members gone that the latest VM list lacks. */
void member_expire_unlisted(struct rp_kernel *k, rp_ms now);
/* Updates the state of all members; publishes a view when one changed. */
void member_update_states(struct rp_kernel *k, rp_ms now,
			  struct rp_actions *acts);
/* Returns a new reference to the current view, or NULL. */
struct rp_view *member_view_ref(struct rp_kernel *k);
const struct rp_member *view_find_member(const struct rp_view *v,
					 const char *name);
/* Marks the link down because a call to the member was not answered. */
void member_mark_link_down(struct rp_kernel *k, const char *name);
/* Handles a failure of the link to the member. */
void member_link_lost(struct rp_kernel *k, rp_ms now, const char *name,
		      struct rp_actions *acts);

/* The leases between this entry VM and a member. */
struct rp_member_lease {
	enum rp_member_state state;
	uint64_t incarnation;
	rp_ms held_start;    /* start of our lease on credits that it granted */
	rp_ms granted_start; /* start of its lease on credits that we granted */
};

/* Returns 0 when the member is unknown. */
int member_get_lease(struct rp_kernel *k, const char *name,
		     struct rp_member_lease *lease);
/* Sends frequent heartbeats to the member for a while, to renew its lease. */
void member_maintain_lease(struct rp_kernel *k, rp_ms now, const char *name);
/* Returns whether this entry VM has had time to discover the members. */
int member_discovery_done(struct rp_kernel *k, rp_ms now);
/*
 * Returns whether all credits that were out when this entry VM started have
 * expired or been reported, so that new callers do not wait for them.
 */
int member_credits_ready(struct rp_kernel *k, rp_ms now);

/* member-beat.c */
void heartbeat_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
/* Sends a heartbeat to every member now. */
void heartbeat_send_all(struct rp_kernel *k, rp_ms now,
			struct rp_actions *acts);
void heartbeat_received(struct rp_kernel *k, rp_ms now, const char *from,
			const RpHeartbeat *hb, struct rp_actions *acts);
/* Sends a heartbeat to a member that seems unreachable, to get a reply. */
void heartbeat_probe(struct rp_kernel *k, rp_ms now, const char *name,
		     struct rp_actions *acts);

/* limit-message.c */
void limit_report_received(struct rp_kernel *k, rp_ms now, const char *from,
			   const RpCreditReport *msg, struct rp_actions *acts);
void limit_grant_received(struct rp_kernel *k, rp_ms now, const char *from,
			  const RpCreditGrant *msg, struct rp_actions *acts);

/* member-leave.c: announces leaving targets between the members. */
void leaving_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
void leaving_received(struct rp_kernel *k, rp_ms now, const RpLeaving *msg);

/* member-report.c: writes the members into the status. */
void member_write_status(struct rp_kernel *k, rp_ms now, struct rp_writer *w);

/* peer-message.c */
void peer_message(struct rp_kernel *k, rp_ms now, const void *data, size_t len,
		  struct rp_actions *acts);

/* peer-send.c */
/* Stamps and sends a message; the node's lock must not be held. */
void peer_send(struct rp_kernel *k, rp_ms now, const char *name,
	       RpEnvelope *env, struct rp_actions *acts);
/* Sends a message to a known member; needs the node's lock. */
void peer_send_locked(struct rp_kernel *k, rp_ms now, struct rp_member_entry *e,
		      RpEnvelope *env, struct rp_actions *acts);
/* Closes the link to the member; needs the node's lock. */
void peer_reset_link(struct rp_member_entry *e, rp_ms now,
		     struct rp_actions *acts);

/* drain-stop.c */
void drain_start(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
void drain_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
/* Enters the next phase; the node's lock must not be held. */
void drain_enter(struct rp_kernel *k, rp_ms now, enum rp_drain_phase phase);

/* drain-hand.c: the entry VM that stops hands its records over. */
void handover_start(struct rp_kernel *k, rp_ms now);
void handover_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
void handover_ack_received(struct rp_kernel *k, rp_ms now, const char *from,
			   const RpHandoverAck *ack, struct rp_actions *acts);
void handover_finish(struct rp_kernel *k);

/* drain-take.c: the successor adopts the records. */
void handover_part_received(struct rp_kernel *k, rp_ms now, const char *from,
			    uint64_t incarnation, const RpHandover *msg,
			    struct rp_actions *acts);
/*
 * Returns whether this entry VM has adopted the records of the key's issuer;
 * sets *expired when the key has expired on the issuer's clock.
 */
int adopted_has_issuer(struct rp_kernel *k, rp_ms now, const struct rp_key *key,
		       int *expired);
void adopted_finish(struct rp_kernel *k);

#endif
