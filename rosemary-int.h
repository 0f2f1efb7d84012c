#ifndef ROSEMARY_INT_H
#define ROSEMARY_INT_H

/*
 * Structs and functions shared by the parts of the kernel.
 *
 * State lies in submission shards (by key), dispatch shards (by service) and
 * the node (members, table). Each has its own lock; they are taken in the
 * order submission, dispatch, node, and what has to go the other way is
 * deferred until all locks are released.
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
	double key;   /* least first */
	size_t index; /* place in the heap, or RP_HEAP_NONE */
};

struct rp_heap {
	struct rp_heap_node **nodes;
	size_t len, cap;
};

void heap_init(struct rp_heap *h);
void heap_finish(struct rp_heap *h);
void heap_node_init(struct rp_heap_node *n);
/* Inserts the node, or moves it when it is in the heap already. */
void heap_set(struct rp_heap *h, struct rp_heap_node *n, double key);
void heap_remove(struct rp_heap *h, struct rp_heap_node *n);
/* The node with the least key, or NULL. */
struct rp_heap_node *heap_first(const struct rp_heap *h);

#define RP_CONTAINER(ptr, type, member)                                        \
	((type *)(void *)((char *)(ptr)-offsetof(type, member)))

/* --- kernel-str.c --------------------------------------------------- */

struct rp_str str_of(const char *s);
int str_eq(struct rp_str a, struct rp_str b);
/* Copies into a buffer of size bytes with a NUL, cut to fit. */
void str_copy(char *to, size_t size, struct rp_str s);
uint64_t str_hash(struct rp_str s);
/* Makes a hash table keyed by bytes, with a fast hash function. */
apr_hash_t *hash_new(apr_pool_t *pool);
/* Next number of a splitmix64 sequence. */
uint64_t random_next(uint64_t *state);
/* A span within +-quarter of mean, so that periodic work spreads. */
rp_ms random_jitter(uint64_t *state, rp_ms mean);

/* --- kernel-plugin.c: policies that register themselves ------------- */

enum rp_plugin_kind {
	RP_PLUGIN_ROUTE,
	RP_PLUGIN_QUEUE,
	RP_PLUGIN_ADMIT,
	RP_PLUGIN_LIMIT,
	RP_PLUGIN_HEALTH,
	RP_PLUGIN_RETRY,
	RP_PLUGIN_KERNEL_KINDS,
	/* Of the scheduler of a pool, scheduler.h. */
	RP_PLUGIN_ORDER,
	RP_PLUGIN_ADMISSION,
	RP_PLUGIN_PLACE,
	RP_PLUGIN_MOVE,
	RP_PLUGIN_KINDS,
};

/* First member of every table of policy functions. */
struct rp_plugin {
	const char *name;
	struct rp_plugin *next;
};

void plugin_register(enum rp_plugin_kind kind, struct rp_plugin *p);
struct rp_plugin *plugin_find(enum rp_plugin_kind kind, const char *name);

#define RP_REGISTER(kind, ops)                                                 \
	static void __attribute__((constructor)) register_##ops(void)          \
	{                                                                      \
		plugin_register(kind, &(ops).plugin);                          \
	}                                                                      \
	struct rp_plugin_dummy_##ops

/*
 * Chooses the target of the next task. Each policy's instance has its ops as
 * first member and is made and freed by create() and destroy().
 */
struct rp_route {
	const struct rp_route_ops *ops;
};

struct rp_route_ops {
	struct rp_plugin plugin;
	struct rp_route *(*create)(struct rp_service *svc);
	void (*destroy)(struct rp_route *r);
	/*
	 * A target that target_available() allows, or NULL to let the task
	 * wait.
	 */
	struct rp_target *(*pick)(struct rp_route *r, struct rp_job *job,
				  rp_ms now);
	/* The target's room, speed, weight, limit or health changed. */
	void (*changed)(struct rp_route *r, struct rp_target *t, rp_ms now);
	void (*removed)(struct rp_route *r, struct rp_target *t);
	/* Optional: called at every tick. */
	void (*tick)(struct rp_route *r, rp_ms now);
};

/* Orders the jobs that have tasks to start. */
struct rp_queue {
	const struct rp_queue_ops *ops;
};

struct rp_queue_ops {
	struct rp_plugin plugin;
	struct rp_queue *(*create)(struct rp_service *svc);
	void (*destroy)(struct rp_queue *q);
	void (*add)(struct rp_queue *q, struct rp_job *job, rp_ms now);
	void (*remove)(struct rp_queue *q, struct rp_job *job);
	/* The job whose task goes next, or NULL; leaves it queued. */
	struct rp_job *(*next)(struct rp_queue *q, rp_ms now);
	/* One task of the job was started, or came back to the queue. */
	void (*changed)(struct rp_queue *q, struct rp_job *job, rp_ms now);
	/* Optional: a task of the job, or of the team, was sent; ended. */
	void (*started)(struct rp_queue *q, struct rp_job *job);
	void (*ended)(struct rp_queue *q, struct rp_team *team);
};

/* Accepts or refuses a job before anything of it starts. */
struct rp_admit {
	const struct rp_admit_ops *ops;
};

struct rp_admit_ops {
	struct rp_plugin plugin;
	struct rp_admit *(*create)(struct rp_service *svc);
	void (*destroy)(struct rp_admit *a);
	/* RP_OK, or fills st and *retry_after (ms). */
	enum rp_code (*check)(struct rp_admit *a,
			      const struct rp_submission *sub, rp_ms now,
			      struct rp_status *st, rp_ms *retry_after);
	/* A task ended after so many ms on a target. */
	void (*ended)(struct rp_admit *a, rp_ms took, rp_ms now);
};

/* Holds a target's limit over all entry VMs. */
struct rp_limit {
	const struct rp_limit_ops *ops;
};

struct rp_limit_ops {
	struct rp_plugin plugin;
	struct rp_limit *(*create)(struct rp_service *svc);
	void (*destroy)(struct rp_limit *l);
	/* Whether this entry VM may start one more task on the target. */
	int (*room)(struct rp_limit *l, const struct rp_target *t);
	void (*started)(struct rp_limit *l, struct rp_target *t, rp_ms now);
	void (*ended)(struct rp_limit *l, struct rp_target *t,
		      enum rp_start_outcome outcome, rp_ms now);
	/* Tasks wait that no target has room for. */
	void (*demand)(struct rp_limit *l, size_t waiting, rp_ms now,
		       struct rp_actions *acts);
	/* A target came, went, or changed its limit; or members changed. */
	void (*changed)(struct rp_limit *l, rp_ms now, struct rp_actions *acts);
	void (*removed)(struct rp_limit *l, struct rp_target *t);
	void (*tick)(struct rp_limit *l, rp_ms now, struct rp_actions *acts);
	/* Messages of this policy on another entry VM; may be NULL. */
	void (*report)(struct rp_limit *l, const char *from,
		       const RpCreditReport *msg, rp_ms now,
		       struct rp_actions *acts);
	void (*grant)(struct rp_limit *l, const char *from,
		      const RpCreditGrant *msg, rp_ms now,
		      struct rp_actions *acts);
};

/* Judges targets by what becomes of the tasks started on them. */
struct rp_health {
	const struct rp_health_ops *ops;
};

struct rp_health_ops {
	struct rp_plugin plugin;
	struct rp_health *(*create)(struct rp_service *svc);
	void (*destroy)(struct rp_health *h);
	/* Whether one more task may be started on the target. */
	int (*allows)(struct rp_health *h, const struct rp_target *t);
	void (*started)(struct rp_health *h, struct rp_target *t, rp_ms now);
	void (*ended)(struct rp_health *h, struct rp_target *t,
		      enum rp_start_outcome outcome, rp_ms took, rp_ms now);
	void (*removed)(struct rp_health *h, struct rp_target *t);
	void (*tick)(struct rp_health *h, rp_ms now);
};

/* Whether and when an idempotent request is sent again. */
struct rp_retry {
	const struct rp_retry_ops *ops;
};

struct rp_retry_ops {
	struct rp_plugin plugin;
	struct rp_retry *(*create)(struct rp_service *svc);
	void (*destroy)(struct rp_retry *r);
	/* A first send was made: the budget grows. */
	void (*first_attempt)(struct rp_retry *r);
	/* Takes one send from the budget; 0 when there is none. */
	int (*take_token)(struct rp_retry *r);
	/* Span after which a second send may run beside the first; 0: never */
	rp_ms (*hedge_after)(struct rp_retry *r, const struct rp_target *t);
};

/* --- targets, services, jobs, tasks: the dispatch shards ------------- */

/* Learned run time of tasks, an exponentially weighted mean. */
struct rp_run_time {
	double mean; /* ms */
	double dev;  /* mean absolute deviation, ms */
	uint64_t count;
};

void run_time_add(struct rp_run_time *l, rp_ms took);

struct rp_target {
	struct rp_service *svc;
	char name[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	char failure_domain[RP_NAME_MAX];
	int slots;	 /* as the platform's list says */
	int connections; /* likewise; 0: unknown */
	int can_lookup;
	int can_void;
	int listed;	     /* in the latest list */
	int leaving;	     /* by list, own reply or peer: gets no work */
	rp_ms leaving_since; /* when the earliest sign came */
	int leaving_told;    /* the members were told, or told us */
	int32_t weight;	     /* in force from the table */
	int32_t limit;	     /* in force: table's limit, else slots */
	int in_flight;	     /* starts of this entry VM not yet ended */
	struct rp_run_time learned;
	uint64_t starts;
	uint64_t done;
	uint64_t failed;
	uint64_t busy;
	struct rp_heap_node route_node;	   /* for the route policy */
	struct rp_heap_node run_time_node; /* in svc->speeds, by run time */
	struct rp_heap_node pause_node;	   /* in shard's wakes, while paused */
	int paused;			   /* connects fail: gets no work now */
	int counted_limit;		   /* in svc->nslots */
	rp_ms pause_length;		   /* last span of the pause, ms */
	struct rp_start *active_starts;	   /* in the air */
	size_t index;			   /* place in svc->targets */
	void *limit_data;		   /* for the limit policy */
	void *health_data;		   /* for the health policy */
	void *route_data;		   /* for the route policy */
};

struct rp_team {
	char name[RP_NAME_MAX];
	struct rp_dispatch *shard;
	int32_t weight; /* share in force */
	int32_t quota;	/* tasks in flight; RP_CELL_UNSET: no quota */
	int in_flight;
	size_t njobs;	       /* queued jobs */
	size_t nqueued;	       /* their waiting tasks */
	int32_t active_weight; /* counted in the shard's, while it waits */
};

enum rp_task_state {
	RP_TASK_QUEUED,
	RP_TASK_SENT,
	RP_TASK_DONE,
};

struct rp_task {
	uint8_t state;	      /* enum rp_task_state */
	uint8_t in_flight;    /* sends in the air */
	uint8_t attempts;     /* sends made */
	uint8_t may_have_run; /* a send may have run, or be running */
	uint16_t suffix;      /* of the task id of the next send; 0: none */
	struct rp_blob *result;
};

struct rp_job {
	uint64_t id; /* unique within this incarnation */
	struct rp_service *svc;
	struct rp_team *team;
	struct rp_submission *sub; /* one reference */
	rp_ms accepted_at;
	rp_ms deadline;
	int refs;	  /* the shard's, and one for each send in the air */
	int closed;	  /* the answer has left; replies change nothing */
	int may_have_run; /* tasks that ran or may have run */
	struct rp_task *tasks;
	size_t next_task;   /* tasks from here on were never sent */
	uint32_t *requeued; /* tasks that surely did not run, to be resent */
	size_t nrequeued, cap_requeued;
	size_t ndone;
	size_t in_flight;		/* sends in the air */
	struct rp_start *active_starts; /* these */
	/* Where the request failed; compared only, it may be freed. */
	const struct rp_target *failed_on;
	struct rp_heap_node deadline_node;
	struct rp_heap_node queue_node;		/* for the queue policy */
	struct rp_job *queue_next, *queue_prev; /* likewise */
	void *queue_data;			/* likewise */
	int queued;				/* the queue policy holds it */
	int parked; /* in svc->parked until a tick */
};

/* One send of a task to a target. */
struct rp_start {
	uint32_t slot;	     /* place in the table of sends */
	uint32_t generation; /* tells a reused slot's ids apart */
	uint8_t in_use;
	uint8_t phase;		 /* enum rp_start_phase */
	uint16_t suffix;	 /* of the task id; 0: none */
	uint8_t nlookups;	 /* lookups and voids made */
	uint8_t nunknown;	 /* answers that the id is not known */
	uint8_t connection_lost; /* its connection is gone */
	uint8_t health_reported; /* the health policy was told of it */
	uint8_t stopped;	 /* the target was asked to stop it */
	uint8_t hedge_done;	 /* the time for a hedge is over */
	struct rp_job *job;
	uint32_t task;
	struct rp_target *target;
	rp_ms sent_at;
	rp_ms give_up_at; /* the target was told to stop by then */
	rp_ms lookup_at;  /* the outcome is asked for from here on */
	struct rp_heap_node timer_node;
	struct rp_start *job_next, *job_prev;
	struct rp_start *target_next, *target_prev;
	uint32_t next_free;
};

enum rp_start_phase {
	RP_START_SENT,	      /* the reply is awaited */
	RP_START_LOOKING_UP,  /* a lookup or void is on its way */
	RP_START_LOOKUP_WAIT, /* a lookup follows when the timer fires */
	RP_START_ABANDONED,   /* nothing more can be learned: slot is charged */
};

/* Bounds on rp_service.silence. */
#define RP_SILENCE_DEVS_MIN 5.0
#define RP_SILENCE_DEVS_MAX 10.0

#define RP_START_SLOT_NONE UINT32_MAX /* end of the list of free slots */
#define RP_START_PAGE 256	      /* sends allocated at once */

struct rp_service {
	char name[RP_NAME_MAX];
	struct rp_dispatch *shard;
	struct rp_target **targets;
	size_t ntargets, cap_targets;
	apr_hash_t *by_name;
	struct rp_route *route;
	struct rp_queue *queue;
	struct rp_admit *admit;
	struct rp_limit *limit;
	struct rp_health *health;
	struct rp_retry *retry;
	rp_ms now;	/* of the latest pump */
	size_t nqueued; /* tasks waiting to be started */
	size_t in_flight;
	struct rp_run_time learned; /* over all targets */
	struct rp_heap by_run_time; /* targets in use, least run time first */
	struct rp_job *parked;	    /* wait for a target other than avoid */
	const struct rp_target *excluded; /* closed for the job being bound */
	size_t total_limit; /* limits of the targets in use, together */
	/* Deviations over the mean after which a send is silent. */
	double silence_devs;
	rp_ms next_trial_at; /* a job beyond its time may start from here on */
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
	struct rp_start **start_pages; /* RP_START_PAGE sends each */
	size_t nstart_slots;
	uint32_t free_start;
	struct rp_heap deadlines;
	struct rp_heap timers; /* of starts */
	struct rp_heap paused; /* of paused targets */
	uint64_t next_job;
	int64_t active_weight; /* of the teams with waiting tasks */
	uint64_t random;
	rp_ms ticked_at;       /* latest tick; 0: none yet */
	int entry_vms;	       /* in that list */
	uint64_t list_seq;     /* newest VM list applied */
	int64_t table_version; /* newest table applied */
	struct rp_view *view;  /* newest members applied, referenced */
	apr_hash_t *cells;     /* of the table, for this shard's services */
	int quota_vms;	       /* entry VMs that share the teams' quotas */
	int quota_rank;	       /* of this one among them, by name */
	uint32_t quota_seq;    /* changes when a team's part may have */
	struct rp_dispatch_counters counters;
};

/* --- submissions ----------------------------------------------------- */

enum rp_record_phase {
	RP_RECORD_CLAIMING,  /* the caller's own key is being claimed */
	RP_RECORD_UNCLAIMED, /* the claim is unsettled, its callers refused */
	RP_RECORD_RUNNING,
	RP_RECORD_FINAL,
};

/* Somebody who waits for an answer: a caller here, or a relaying peer. */
struct rp_waiter {
	rp_token token;
	char peer[RP_NAME_MAX]; /* "" for a caller of this entry VM */
	uint64_t relay_id;
	int until_claimed; /* does not wait for the end of a claimed key */
	int is_cancel;
	struct rp_waiter *next;
};

struct rp_record {
	char key[RP_KEY_MAX];
	size_t key_len;
	uint64_t digest;
	enum rp_record_phase phase;
	uint64_t claim_id; /* 0: the key was never to be claimed */
	int cancelled;	   /* while the key is being claimed */
	uint64_t job_id;
	char service[RP_NAME_MAX];
	struct rp_submission *sub; /* until it is handed to a job */
	struct rp_answer *answer;  /* NULL: running, or dropped */
	enum rp_state final_state; /* also after the answer was dropped */
	struct rp_waiter *waiters;
	rp_ms received_at;
	rp_ms deadline;
	rp_ms expires;		       /* may be forgotten after this */
	int retained;		       /* in the list of retained answers */
	struct rp_record *next, *prev; /* by age */
	struct rp_record *retained_next, *retained_prev; /* retained, by age */
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
	struct rp_record *hand_next; /* next to be handed over, or NULL */
	struct rp_sub_counters counters;
};

/* An issued key, taken apart. */
struct rp_key {
	char vm[RP_NAME_MAX];
	uint64_t incarnation;
	rp_ms expires; /* on the issuer's clock */
	uint64_t counter;
};

/* --- members --------------------------------------------------------- */

enum rp_member_state {
	RP_MEMBER_LIVE,
	RP_MEMBER_SUSPECT, /* silent: routed around, not given up */
	RP_MEMBER_LEAVING,
	RP_MEMBER_GONE, /* by the list or by a newer incarnation */
};

struct rp_member {
	char name[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	char failure_domain[RP_NAME_MAX];
	uint64_t incarnation; /* 0: not heard yet */
	enum rp_member_state state;
	int64_t table_version; /* in force there, as last heard */
	double load;	       /* tasks queued and running, as last heard */
};

/* What the node knows of a member beyond what a view shows. */
struct rp_member_entry {
	struct rp_member m;
	int listed;	    /* in the latest list */
	int leaving;	    /* by the list or its own heartbeat */
	int gone;	    /* until it is heard again */
	rp_ms announced_at; /* of our first heartbeat to it; 0: none yet */
	int link_down;	    /* calls are refused until it is heard directly */
	rp_ms heard_at;	    /* latest sign of life, direct or told by others */
	rp_ms direct_at;    /* latest message from it; 0: none */
	rp_ms replaced_at;  /* when it became gone or a newer incarnation */
	rp_ms probed_at, reset_at;
	rp_ms echo;	     /* newest clock value seen from it */
	rp_ms lease_from;    /* our newest clock value that it has seen */
	rp_ms partner_until; /* gets heartbeats like a near member */
	rp_ms sent_at;	     /* of the latest message to it */
	rp_ms beat_at;	     /* of the latest heartbeat to it */
};

/* The records of an incarnation that stopped are served by a member. */
struct rp_forward {
	char vm[RP_NAME_MAX];
	uint64_t incarnation;
	char to[RP_NAME_MAX];
	uint64_t to_incarnation;
	rp_ms until; /* its keys have expired after this */
	struct rp_forward *next;
};

/* Who can answer for an incarnation now. */
enum rp_owner {
	RP_OWNER_HERE, /* this entry VM, for itself or by a forward */
	RP_OWNER_PEER,
	RP_OWNER_UNREACHABLE,
	RP_OWNER_GONE,
};

/* A call passed on to the owner of its key that waits for the answer. */
struct rp_relay {
	uint64_t id;
	struct rp_waiter waiter;
	int op;			   /* RpRelay__Op */
	struct rp_submission *sub; /* SUBMIT: one reference */
	char key[RP_KEY_MAX];
	size_t key_len;
	char owner[RP_NAME_MAX];
	uint64_t owner_incarnation;
	char to[RP_NAME_MAX]; /* member that was asked */
	int wait;
	int acked;
	uint32_t attempts; /* sends since something came back */
	rp_ms heard_at;	   /* when something came back, or the start */
	rp_ms next_ask;
	rp_ms give_up_at;
};

/* The members as one state, published by the node; immutable. */
struct rp_view {
	atomic_int refs;
	uint64_t seq;
	size_t nmembers; /* without this entry VM */
	struct rp_member members[];
};

/* An incarnation that stopped and whose records are all kept here. */
struct rp_adopted {
	char vm[RP_NAME_MAX];
	uint64_t incarnation;
	rp_ms clock; /* its clock less ours */
	struct rp_adopted *next;
};

/* How far a member's handover to this entry VM has come. */
struct rp_incoming {
	char vm[RP_NAME_MAX];
	uint64_t incarnation;
	uint64_t next_part;
	struct rp_incoming *next;
};

enum rp_drain_phase {
	RP_DRAIN_FINISH, /* finishes what runs */
	RP_DRAIN_HAND,	 /* hands its records to a successor */
	RP_DRAIN_TELL,	 /* tells the members of it */
	RP_DRAIN_DONE,
};

/* How far a planned stop has come, for all threads. */
enum rp_stopping {
	RP_STOPPING_NOT,
	RP_STOPPING_SOON, /* out of the balancer; still takes its own keys */
	RP_STOPPING_NOW,  /* submissions are answered "not run" */
};

/* The planned stop of this entry VM. */
struct rp_drain {
	rp_ms refuse_at; /* end of RP_STOPPING_SOON */
	enum rp_drain_phase phase;
	rp_ms due;     /* next step */
	rp_ms give_up; /* the handover ends without a successor */
	char to[RP_NAME_MAX];
	uint64_t to_incarnation;
	uint64_t part;	 /* being sent, from 1 */
	int last;	 /* it is the last one */
	int sends;	 /* of this part */
	uint8_t *packed; /* the part, packed */
	size_t packed_len;
	char (*tried)[RP_NAME_MAX];
	size_t ntried;
};

struct rp_view *view_ref(struct rp_view *v);
void view_unref(struct rp_view *v);

/* --- the time line ---------------------------------------------------- */

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
	uint64_t seq; /* position within this ring, from 1 */
	uint64_t hlc; /* hybrid logical clock: ms << 16 | counter */
	enum rp_trace_type type;
	char key[RP_KEY_MAX];
	char target[RP_NAME_MAX]; /* or entry VM */
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

/* What an event is about; fields may be left empty. */
struct rp_trace_about {
	struct rp_str key, team;
	const char *target;
	int32_t task;
};

void trace_init(struct rp_kernel *k);
void trace_finish(struct rp_kernel *k);
void trace_event(struct rp_kernel *k, rp_ms now, enum rp_trace_type type,
		 const struct rp_trace_about *about, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));
/* Stamp for an outgoing message. */
uint64_t trace_stamp(struct rp_kernel *k, rp_ms now);
/* Takes in the stamp of a message received. */
void trace_witness(struct rp_kernel *k, rp_ms now, uint64_t hlc);

/* --- the kernel -------------------------------------------------------- */

/* An answer of the platform, with what was kept when it was asked. */
typedef void (*rp_platform_done)(struct rp_kernel *k, rp_ms now, void *ctx,
				 const struct rp_event *ev,
				 struct rp_actions *acts);

struct rp_platform_request {
	uint64_t id;
	rp_ms give_up_at;
	rp_platform_done done;
	void *ctx;
};

struct rp_node {
	void *lock;
	apr_pool_t *pool;
	apr_hash_t *asks; /* id -> struct rp_platform_request */
	uint64_t next_request;
	uint64_t random;
	uint64_t list_seq;
	rp_ms list_due;
	int list_asked;
	uint64_t platform_reads, platform_writes;
	apr_hash_t *members; /* name -> struct rp_member_entry */
	struct rp_view *view;
	uint64_t view_seq;
	rp_ms started_at;
	rp_ms first_list_at; /* 0: no list was fetched yet */
	rp_ms beat_due;	     /* next heartbeats within the failure domain */
	rp_ms cross_due;     /* next heartbeats to other failure domains */
	unsigned round;	     /* counts the latter */
	struct rp_forward *forwards;
	apr_hash_t *relays; /* id -> struct rp_relay */
	uint64_t next_relay;
	rp_ms relay_due; /* next look at the relays */
	rp_ms leave_due; /* next look for targets that leave */
	struct rp_drain drain;
	struct rp_adopted *adopted;
	struct rp_incoming *incoming;
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
	atomic_ullong next_key;
	atomic_int draining; /* enum rp_stopping */
	atomic_int warm;     /* starts need not wait for a first lease */
};

/* Work that is done once all locks are released. */
struct rp_deferred {
	/* Does the work and frees d. */
	void (*run)(struct rp_kernel *k, rp_ms now, struct rp_deferred *d,
		    struct rp_actions *acts);
	struct rp_deferred *next;
};

void kernel_defer(struct rp_actions *acts, struct rp_deferred *d);
void *kernel_lock_new(struct rp_kernel *k);
void kernel_lock_free(struct rp_kernel *k, void *lock);
void kernel_lock(struct rp_kernel *k, void *lock);
void kernel_unlock(struct rp_kernel *k, void *lock);
/* Memory that must be there: the process stops when it is out. */
void *kernel_alloc(size_t size);
void *kernel_realloc(void *ptr, size_t size);
/* Appends an empty action of the type. */
struct rp_action *action_add(struct rp_actions *acts, enum rp_action_type type);

/* kernel-writer.c: writes before, then s as a JSON string. */
void writer_json(struct rp_writer *w, const char *before, struct rp_str s);

/* kernel-report.c: one counter as a line of text. */
void write_counter(struct rp_writer *w, const char *name, uint64_t value);

/* kernel-platform.c; the node's lock must not be held. */
void platform_ask(struct rp_kernel *k, rp_ms now, enum rp_platform_op op,
		  const struct rp_row *rows, size_t nrows,
		  rp_platform_done done, void *ctx, struct rp_actions *acts);
void platform_reply(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		    struct rp_actions *acts);
void platform_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
/* Ends all calls as lost, so that what waits for them is freed. */
void platform_finish(struct rp_kernel *k);

/* sub-key.c */
void key_format(const struct rp_kernel *k, const struct rp_key *key,
		char out[RP_KEY_MAX]);
/* 0 when the text is not an issued key. */
int key_parse(struct rp_str text, struct rp_key *key);
/* Whether this incarnation issued the key of this text. */
int key_issued_here(const struct rp_kernel *k, struct rp_str text,
		    const struct rp_key *key);
void key_issue(struct rp_kernel *k, rp_ms now, rp_token token, int count,
	       struct rp_actions *acts);

/* sub-record.c; the shard's lock is held. */
void sub_init(struct rp_kernel *k, unsigned index);
void sub_finish(struct rp_sub_shard *s);
struct rp_sub_shard *sub_shard_of(struct rp_kernel *k, struct rp_str key);
struct rp_record *record_find(struct rp_sub_shard *s, struct rp_str key);
/* NULL when the shard is full. */
struct rp_record *record_add(struct rp_sub_shard *s, struct rp_submission *sub,
			     rp_ms now);
/* A finished record of another incarnation; 0 when the shard is full. */
int record_adopt(struct rp_sub_shard *s, struct rp_str key, uint64_t digest,
		 rp_ms expires, enum rp_state state, struct rp_answer *a);
void record_add_waiter(struct rp_record *r, const struct rp_waiter *w);
/* Makes the record final, answers all who wait; takes the answer over. */
void record_finish(struct rp_sub_shard *s, struct rp_record *r, rp_ms now,
		   struct rp_answer *a, struct rp_actions *acts);
void record_expire(struct rp_sub_shard *s, rp_ms now);
/* Drops a record that nothing started for and nobody waits for. */
void record_remove(struct rp_sub_shard *s, struct rp_record *r);

/* The following take the shard's lock. */
void sub_tick(struct rp_sub_shard *s, rp_ms now);

/* sub-submit.c; no lock is held. */
void sub_submit(struct rp_kernel *k, rp_ms now, struct rp_submission *sub,
		int wait, const struct rp_waiter *w, struct rp_actions *acts);
void sub_query(struct rp_kernel *k, rp_ms now, struct rp_str key, int wait,
	       const struct rp_waiter *w, struct rp_actions *acts);
void sub_cancel(struct rp_kernel *k, rp_ms now, struct rp_str key,
		const struct rp_waiter *w, struct rp_actions *acts);
/* Joins a known key; 0 when no record has it. */
int sub_join(struct rp_kernel *k, rp_ms now, struct rp_submission *sub,
	     int wait, const struct rp_waiter *w, struct rp_actions *acts);
/* Starts a record whose key is settled; the shard's lock is held. */
void submit_start(struct rp_sub_shard *s, struct rp_record *r, rp_ms now,
		  struct rp_submission *sub, struct rp_actions *acts);
/* Defers the end of the submission of a->sub; takes the answer over. */
void sub_job_ended(struct rp_answer *a, struct rp_actions *acts);
/* Gives an answer to one waiter; takes the answer over. */
void sub_answer(struct rp_kernel *k, rp_ms now, const struct rp_waiter *w,
		struct rp_answer *a, struct rp_actions *acts);
/* An answer that carries only a status. */
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
/* For the caller's own keys: the owner is the one named in the claim. */
void relay_submit_to(struct rp_kernel *k, rp_ms now, struct rp_submission *sub,
		     const char *owner_vm, uint64_t owner_incarnation, int wait,
		     const struct rp_waiter *w, struct rp_actions *acts);
void relay_query_to(struct rp_kernel *k, rp_ms now, struct rp_str key,
		    const char *owner_vm, uint64_t owner_incarnation, int wait,
		    const struct rp_waiter *w, struct rp_actions *acts);
void relay_cancel_to(struct rp_kernel *k, rp_ms now, struct rp_str key,
		     const char *owner_vm, uint64_t owner_incarnation,
		     const struct rp_waiter *w, struct rp_actions *acts);
/* Sends an answer back to the peer that relayed; takes the answer over. */
void relay_answer(struct rp_kernel *k, rp_ms now, const struct rp_waiter *w,
		  struct rp_answer *a, struct rp_actions *acts);
void relay_answered(struct rp_kernel *k, rp_ms now, const RpRelayAnswer *msg,
		    struct rp_actions *acts);
void relay_finish(struct rp_kernel *k);

/* relay-wait.c */
void relay_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
/* Sends a waiting call to r->to; the node's lock must not be held. */
void relay_send(struct rp_kernel *k, rp_ms now, const struct rp_relay *r,
		struct rp_actions *acts);
/* Answers for an owner that is unreachable or gone for good. */
void relay_no_owner(struct rp_kernel *k, rp_ms now, enum rp_owner why,
		    const char *owner, const struct rp_waiter *w,
		    struct rp_actions *acts);
void relay_free(struct rp_relay *r);

/* relay-serve.c: calls that a peer relayed to this entry VM. */
void relay_received(struct rp_kernel *k, rp_ms now, const char *from,
		    const RpRelay *msg, struct rp_actions *acts);
/* Answers from the records of an incarnation that was taken over. */
void relay_adopted(struct rp_kernel *k, rp_ms now, struct rp_submission *sub,
		   struct rp_str key, int wait, const struct rp_waiter *w,
		   struct rp_actions *acts);

/* relay-pack.c: answers as messages. */
void relay_pack_answer(const struct rp_answer *a, RpRelayAnswer *msg);
void relay_pack_free(RpRelayAnswer *msg);
struct rp_answer *relay_unpack_answer(const RpRelayAnswer *msg);

/* dispatch-service.c */
void dispatch_init(struct rp_kernel *k, unsigned index);
void dispatch_finish(struct rp_dispatch *d);
struct rp_dispatch *dispatch_of(struct rp_kernel *k, struct rp_str service);
struct rp_service *service_find(struct rp_dispatch *d, struct rp_str name);
struct rp_team *team_get(struct rp_dispatch *d, struct rp_str name);
/* Whether the team has all in flight that this entry VM's part allows. */
int team_at_quota(const struct rp_dispatch *d, const struct rp_team *team);
/* Divides the teams' quotas anew among the members of the shard's view. */
void team_divide(struct rp_dispatch *d);
/* Applies a VM list that is newer than the one the shard has. */
void dispatch_list(struct rp_dispatch *d, rp_ms now, uint64_t seq,
		   const struct rp_vm *vms, size_t nvms,
		   struct rp_actions *acts);
/* Tells the policies that targets or members changed, and starts tasks. */
void service_changed(struct rp_service *svc, rp_ms now,
		     struct rp_actions *acts);
/* Whether one more task may be started on the target now. */
int target_available(const struct rp_target *t);
/* Tasks that may be in flight on the target over all entry VMs. */
int target_limit(const struct rp_target *t);

/* dispatch-job.c; the shard's lock is taken inside. */
enum rp_code dispatch_submit(struct rp_dispatch *d, rp_ms now,
			     struct rp_submission *sub, rp_ms deadline,
			     uint64_t *job_id, struct rp_status *st,
			     rp_ms *retry_after, struct rp_actions *acts);
void dispatch_cancel(struct rp_dispatch *d, rp_ms now, uint64_t job_id,
		     struct rp_actions *acts);
void dispatch_tick(struct rp_dispatch *d, rp_ms now, struct rp_actions *acts);
/* The following need the lock. */
void job_close(struct rp_job *job, rp_ms now, enum rp_state state,
	       const struct rp_status *st, struct rp_actions *acts);
/* Closes the job as failed, or as not run when nothing may have run. */
void job_fail(struct rp_job *job, rp_ms now, const struct rp_status *st,
	      struct rp_actions *acts);
void job_unref(struct rp_job *job);
void job_free(struct rp_job *job);
void job_task_done(struct rp_job *job, size_t task, struct rp_blob *body,
		   rp_ms now, struct rp_actions *acts);
/* The task surely did not run: it goes back into the queue. */
void job_requeue_task(struct rp_job *job, size_t task, rp_ms now);
size_t job_nqueued(const struct rp_job *job);
/* Counts tasks of the job that came to wait, or wait no more. */
void job_count_queued(struct rp_job *job, ptrdiff_t n);

/* dispatch-start.c: the table of sends; needs the lock. */
/* The send that the id names, or NULL when it has ended. */
struct rp_start *start_find(struct rp_dispatch *d, uint64_t id);
struct rp_dispatch *start_shard(struct rp_kernel *k, uint64_t id);
/* Sends one task of the job; 0 when an invariant forbids it. */
int start_on_target(struct rp_job *job, uint32_t task, struct rp_target *t,
		    rp_ms now, struct rp_actions *acts);
/* Frees the slot of a send that has ended and tells the policies. */
void start_end(struct rp_start *s, rp_ms now, enum rp_start_outcome outcome);
/* Tells the health policy of the send, once. */
void start_report_health(struct rp_start *s, rp_ms now,
			 enum rp_start_outcome outcome);
/* Fills the part that all actions about a send have in common. */
struct rp_action *start_action(const struct rp_start *s,
			       enum rp_action_type type,
			       struct rp_actions *acts);
void start_set_timer(struct rp_start *s, rp_ms at);
/* Asks the targets to stop what is in the air of a closed job. */
void start_stop_all(struct rp_job *job, struct rp_actions *acts);
/* Drops a send at the kernel's end. */
void start_release(struct rp_start *s);
/* The send in that place of the table. */
struct rp_start *start_by_slot(struct rp_dispatch *d, size_t slot);

/* dispatch-outcome.c: what becomes of sends; takes the lock. */
void dispatch_reply(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		    struct rp_actions *acts);
/* Ends a send whose outcome is known; needs the lock. */
void outcome_apply(struct rp_start *s, enum rp_start_outcome outcome,
		   struct rp_blob *body, rp_ms now, struct rp_actions *acts);
/* Queues one more send of a request elsewhere; 0 without a budget. */
int outcome_retry(struct rp_job *job, uint32_t task, struct rp_target *t,
		  rp_ms now);
/* The task of a send failed, or may have run; needs the lock. */
void outcome_retry_or_fail(struct rp_job *job, uint32_t task,
			   struct rp_target *t, enum rp_code code, rp_ms now,
			   struct rp_actions *acts);

/* dispatch-lookup.c: sends without a reply. */
void dispatch_lookup_reply(struct rp_kernel *k, rp_ms now,
			   const struct rp_event *ev, struct rp_actions *acts);
/* The following need the lock. */
void dispatch_run_timers(struct rp_dispatch *d, rp_ms now,
			 struct rp_actions *acts);
/* Asks the target what became of the send, or waits when it cannot. */
void lookup_begin(struct rp_start *s, int broken, rp_ms now,
		  struct rp_actions *acts);
/* Asks for all sends to a target that left the list. */
void lookup_target_starts(struct rp_target *t, rp_ms now,
			  struct rp_actions *acts);

/* dispatch-pump.c; needs the lock. */
/* Starts what can be started now. */
void dispatch_pump(struct rp_service *svc, rp_ms now, struct rp_actions *acts);
/* Puts jobs back in the queue that waited for another target. */
void pump_unpark_all(struct rp_service *svc, rp_ms now);
/* Takes a parked job out of the list. */
void pump_unpark_job(struct rp_job *job);
/* Gives a target no work for a span that doubles up to most. */
void target_pause(struct rp_target *t, rp_ms now, rp_ms most);
/* Ends the pauses that are over. */
void target_resume_due(struct rp_dispatch *d, rp_ms now);
/* Notes the target's run time, or that it takes no work. */
void target_reindex(struct rp_target *t);
/* Least run time to expect of the service's targets, ms; 0: unknown. */
double service_min_time(const struct rp_service *svc);
/* Mean run time to expect of the target, also when little is known. */
double target_mean_time(const struct rp_target *t);

/*
 * Counts a broken invariant and returns 0, or stops the process when the
 * options ask for it; returns 1 when ok holds.
 */
int dispatch_check_invariant(struct rp_dispatch *d, rp_ms now, int ok,
			     const char *what);

/* member-list.c */
void member_init(struct rp_kernel *k, rp_ms now);
void member_finish(struct rp_kernel *k);
void member_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);

/* member-table.c; those of the first group need the node's lock. */
struct rp_member_entry *member_find(struct rp_node *n, const char *name);
struct rp_member_entry *member_get(struct rp_node *n, const char *name,
				   rp_ms now);
int member_is_near(const struct rp_kernel *k, const struct rp_member_entry *e);
/* A sign of life of an incarnation; 0: it is an old one. */
int member_sign(struct rp_member_entry *e, uint64_t incarnation, rp_ms heard_at,
		rp_ms now);
enum rp_member_state member_state(const struct rp_kernel *k,
				  const struct rp_member_entry *e, rp_ms now);
/* member-owner.c: who answers for the incarnation; fills the name of the member
 * to ask. */
enum rp_owner member_owner(struct rp_kernel *k, rp_ms now, const char *vm,
			   uint64_t incarnation, char to[RP_NAME_MAX]);
void member_forward(struct rp_kernel *k, rp_ms now, const char *vm,
		    uint64_t incarnation, const char *to,
		    uint64_t to_incarnation);

/* The following take the lock. */
void member_listed(struct rp_kernel *k, rp_ms now, const struct rp_vm *vms,
		   size_t nvms, int fetched);
/* The list is as it was: ends silent members that it lacks. */
void member_unlisted(struct rp_kernel *k, rp_ms now);
/* Judges all members; publishes a view when one of them changed. */
void member_judge(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
/* The current view with a reference for the caller, or NULL. */
struct rp_view *member_view(struct rp_kernel *k);
const struct rp_member *view_find(const struct rp_view *v, const char *name);
/* A call to the member was not answered. */
void member_unanswered(struct rp_kernel *k, const char *name);
void member_down(struct rp_kernel *k, rp_ms now, const char *name,
		 struct rp_actions *acts);

/* How a lease between this entry VM and a member stands. */
struct rp_member_lease {
	enum rp_member_state state;
	uint64_t incarnation;
	rp_ms ours_from; /* our lease on what it gives began then */
	rp_ms its_from;	 /* its lease on what we give began then */
};

/* 0 when the member is unknown. */
int member_lease(struct rp_kernel *k, const char *name,
		 struct rp_member_lease *lease);
/* Exchanges heartbeats with the member for a while, wherever it is. */
void member_partner(struct rp_kernel *k, rp_ms now, const char *name);
/* Whether this entry VM has had the time to learn of the members. */
int member_settled(struct rp_kernel *k, rp_ms now);
/*
 * Whether the credits of entry VMs before this one have lapsed or been told,
 * so that new callers do not wait for them.
 */
int member_warm(struct rp_kernel *k, rp_ms now);

/* member-beat.c */
void beat_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
/* A heartbeat to every member now. */
void beat_all(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
void beat_received(struct rp_kernel *k, rp_ms now, const char *from,
		   const RpHeartbeat *hb, struct rp_actions *acts);
/* Asks a member that is held to be unreachable for a sign of life. */
void beat_probe(struct rp_kernel *k, rp_ms now, const char *name,
		struct rp_actions *acts);

/* limit-message.c */
void limit_report(struct rp_kernel *k, rp_ms now, const char *from,
		  const RpCreditReport *msg, struct rp_actions *acts);
void limit_grant(struct rp_kernel *k, rp_ms now, const char *from,
		 const RpCreditGrant *msg, struct rp_actions *acts);

/* member-leave.c: targets that leave. */
void leave_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
void leave_received(struct rp_kernel *k, rp_ms now, const RpLeaving *msg);

/* member-report.c: the members in the status. */
void member_report(struct rp_kernel *k, rp_ms now, struct rp_writer *w);

/* peer-message.c */
void peer_message(struct rp_kernel *k, rp_ms now, const void *data, size_t len,
		  struct rp_actions *acts);

/* peer-send.c */
/* Stamps and sends the message; the node's lock must not be held. */
void peer_send(struct rp_kernel *k, rp_ms now, const char *name,
	       RpEnvelope *env, struct rp_actions *acts);
/* The same with the address known; needs the node's lock. */
void peer_send_to(struct rp_kernel *k, rp_ms now, struct rp_member_entry *e,
		  RpEnvelope *env, struct rp_actions *acts);
/* Closes the link to the member; needs the node's lock. */
void peer_reset(struct rp_member_entry *e, rp_ms now, struct rp_actions *acts);

/* drain-stop.c */
void drain_start(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
void drain_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
/* Goes on to the next phase; the node's lock is not held. */
void drain_enter(struct rp_kernel *k, rp_ms now, enum rp_drain_phase phase);

/* drain-hand.c: the side that stops. */
void hand_start(struct rp_kernel *k, rp_ms now);
void hand_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
void hand_acked(struct rp_kernel *k, rp_ms now, const char *from,
		const RpHandoverAck *ack, struct rp_actions *acts);
void hand_finish(struct rp_kernel *k);

/* drain-take.c: the side that takes over. */
void take_part(struct rp_kernel *k, rp_ms now, const char *from,
	       uint64_t incarnation, const RpHandover *msg,
	       struct rp_actions *acts);
/* Whether the key's issuer is kept here; *expired tells of the key. */
int take_keeps(struct rp_kernel *k, rp_ms now, const struct rp_key *key,
	       int *expired);
void take_finish(struct rp_kernel *k);

#endif
