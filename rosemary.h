#ifndef ROSEMARY_H
#define ROSEMARY_H

/*
 * Public header of librosemary: the decision kernel of the dispatcher.
 *
 * The kernel does no I/O.  Events and the time go in through
 * rp_kernel_event(); actions come out in a list that the embedding program
 * carries out.  The kernel reads no clock, opens no socket, starts no thread
 * and takes its randomness from a seed.  Several threads may deliver events
 * at once when lock operations are given.
 */

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
#include <atomic>
using std::atomic_int;
extern "C" {
#else
#include <stdatomic.h>
#endif

/* A point in time or a span of time, in milliseconds. */
typedef int64_t rp_ms;

/* A borrowed, length-counted string; not NUL-terminated. */
struct rp_str {
	const char *ptr;
	size_t len;
};

#define RP_NAME_MAX 64	   /* bytes in a name, with the final NUL */
#define RP_ADDRESS_MAX 64  /* bytes in "ip:port", with the final NUL */
#define RP_KEY_MAX 160	   /* bytes in a submission key, with the NUL */
#define RP_MESSAGE_MAX 200 /* bytes in a status message, with the NUL */
#define RP_TASKS_MAX 1024  /* tasks in one job */

/* What kind of thing went wrong. */
enum rp_code {
	RP_OK,
	RP_E_INPUT,	  /* the request is malformed; a field is at fault */
	RP_E_CONFLICT,	  /* same key, different body; or a table edit raced */
	RP_E_UNKNOWN_KEY, /* no such submission here */
	RP_E_UNREACHABLE, /* the owner of the key cannot be reached now */
	RP_E_GONE,	  /* the owner of the key is gone for good */
	RP_E_EXPIRED,	  /* the key has expired, its outcome is forgotten */
	RP_E_DROPPED,	  /* finished, but the answer is no longer retained */
	RP_E_FULL,	  /* a bound was reached */
	RP_E_DEADLINE,	  /* the deadline passed or cannot be met */
	RP_E_CANCELLED,	  /* cancelled by a caller */
	RP_E_PLATFORM,	  /* the platform's table is out or unsettled */
	RP_E_TARGET,	  /* a target failed the task */
	RP_E_SILENT,	  /* a target went silent; the outcome is unknown */
	RP_E_DRAINING,	  /* this entry VM is stopping */
	RP_E_INTERNAL,	  /* an invariant did not hold */
};

/* Where it went wrong. */
enum rp_step {
	RP_STEP_NONE,
	RP_STEP_PARSE,
	RP_STEP_ADMIT,
	RP_STEP_CLAIM,
	RP_STEP_RELAY,
	RP_STEP_QUEUE,
	RP_STEP_START,
	RP_STEP_RUN,
	RP_STEP_LOOKUP,
	RP_STEP_TABLE,
	RP_STEP_STOP,
};

/* An outcome with the step and the peer at which it arose. */
struct rp_status {
	enum rp_code code;
	enum rp_step step;
	char peer[RP_NAME_MAX]; /* target, entry VM or "platform"; may be "" */
	char message[RP_MESSAGE_MAX];
};

const char *rp_code_name(enum rp_code code);
const char *rp_step_name(enum rp_step step);

/* Fills st; the message is cut to fit. Returns st->code. */
enum rp_code rp_status_set(struct rp_status *st, enum rp_code code,
			   enum rp_step step, const char *peer, const char *fmt,
			   ...) __attribute__((format(printf, 5, 6)));

/* A reference-counted run of bytes that may be shared between threads. */
struct rp_blob {
	atomic_int refs;
	size_t len;
	char data[];
};

/* Returns a blob with one reference, or NULL when memory is out. */
struct rp_blob *rp_blob_new(const void *data, size_t len);
struct rp_blob *rp_blob_ref(struct rp_blob *b);
/* Drops one reference; NULL is allowed. */
void rp_blob_unref(struct rp_blob *b);

/* One task of a submission; the strings point into the submission. */
struct rp_task_spec {
	struct rp_str id;      /* unique within the job */
	struct rp_str payload; /* body sent to the target */
};

/*
 * A caller's submission: a job of tasks, or a single request (one task).
 * Reference-counted and immutable once it is built.
 */
struct rp_submission {
	atomic_int refs;
	struct rp_str key;  /* issued key, or the caller's own */
	int key_is_callers; /* the key came as Idempotency-Key */
	struct rp_str service;
	struct rp_str team;
	rp_ms timeout;	 /* span from receipt to deadline, ms */
	int is_request;	 /* a single call, not a job */
	int idempotent;	 /* only for is_request: may be retried, hedged */
	uint64_t digest; /* of service, team, flags, ids and payloads */
	size_t bytes;	 /* payload and id bytes held */
	size_t ntasks;
	struct rp_task_spec *tasks;
	char *arena; /* owned memory that all strings point into */
};

/* What a submission is built from; the strings are copied. */
struct rp_submission_spec {
	struct rp_str key, service, team;
	int key_is_callers, is_request, idempotent;
	rp_ms timeout;
	size_t ntasks;
	const struct rp_task_spec *tasks;
};

/*
 * Builds a submission with one reference and computes its digest. Returns
 * NULL when memory is out. Does not validate: the kernel does.
 */
struct rp_submission *rp_submission_new(const struct rp_submission_spec *spec);
struct rp_submission *rp_submission_ref(struct rp_submission *s);
void rp_submission_unref(struct rp_submission *s);

/* The state of a submission as a caller sees it. */
enum rp_state {
	RP_RUNNING,  /* accepted, not finished */
	RP_COMPLETE, /* every task has its result */
	RP_FAILED,   /* final; status tells why, may_have_run whether */
	RP_NOT_RUN,  /* final; no task was started and none will be */
	RP_REFUSED,  /* this call was refused; says nothing of the key */
};

const char *rp_state_name(enum rp_state state);

/* The result of one task. */
struct rp_result {
	struct rp_str id;     /* points into the answer's submission */
	struct rp_blob *body; /* as the target sent it; never NULL */
};

/*
 * An answer: whole or failed, never partial. Reference-counted, immutable
 * once it leaves the kernel; results are present only when complete.
 */
struct rp_answer {
	atomic_int refs;
	enum rp_state state;
	struct rp_status status;
	int may_have_run;	   /* only for RP_FAILED */
	rp_ms retry_after;	   /* when to come back, ms; 0: no use */
	struct rp_submission *sub; /* held for the ids; may be NULL */
	size_t nresults;
	struct rp_result *results; /* in the submission's order */
	size_t bytes;		   /* result bytes held */
};

struct rp_answer *rp_answer_new(enum rp_state state);
struct rp_answer *rp_answer_ref(struct rp_answer *a);
void rp_answer_unref(struct rp_answer *a);

/* --- the operator's table ------------------------------------------- */

enum rp_cell_kind {
	RP_CELL_TARGET, /* row is a service, col a target or "*" */
	RP_CELL_TEAM,	/* row is "", col a team or "*" */
};

#define RP_CELL_UNSET (-1)

/*
 * One line of the table. For a target: relative weight, and the limit of
 * tasks in flight over all entry VMs. For a team: share, and quota of tasks
 * in flight over all entry VMs. RP_CELL_UNSET leaves the default.
 */
struct rp_cell {
	enum rp_cell_kind kind;
	char row[RP_NAME_MAX];
	char col[RP_NAME_MAX];
	int32_t weight;	 /* 0..RP_WEIGHT_MAX; 0: gets no work */
	int32_t limit;	 /* 0..RP_LIMIT_MAX; 0: gets no work */
	int64_t version; /* table version that last changed the cell */
};

#define RP_WEIGHT_DEFAULT 100
#define RP_WEIGHT_MAX 10000
#define RP_LIMIT_MAX 1000000
#define RP_EDIT_CELLS_MAX 512 /* cells in one edit or draft */
#define RP_DRAFTS_MAX 64

/* --- the platform --------------------------------------------------- */

/* A row of the platform's table service. Version 0: the row is absent. */
struct rp_row {
	struct rp_str name;
	struct rp_str value;
	int64_t version;
};

enum rp_platform_op {
	RP_PLATFORM_LIST,   /* read the list of VMs */
	RP_PLATFORM_READ,   /* read the named rows */
	RP_PLATFORM_SCAN,   /* read all rows whose name has rows[0].name */
	RP_PLATFORM_COMMIT, /* write all rows if every version matches */
};

enum rp_platform_outcome {
	RP_PLATFORM_DONE,
	RP_PLATFORM_UNCHANGED, /* LIST: as it was at the last DONE */
	RP_PLATFORM_CONFLICT,  /* a version did not match; nothing written */
	RP_PLATFORM_NO_EFFECT, /* surely had no effect (refused, not sent) */
	RP_PLATFORM_LOST,      /* no answer: it may have taken effect */
};

enum rp_vm_kind { RP_VM_ENTRY, RP_VM_TARGET };

/* One line of the platform's lagging list. */
struct rp_vm {
	enum rp_vm_kind kind;
	char name[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX]; /* ip:port of peer link, or target */
	char failure_domain[RP_NAME_MAX];
	char service[RP_NAME_MAX]; /* only for targets */
	int leaving;
	int slots;	 /* only for targets: tasks it runs at once */
	int connections; /* only for targets: connections it takes */
	int can_lookup;	 /* only for targets: tells a task's outcome */
	int can_void;	 /* only for targets: voids an id before it ran */
};

/* --- events --------------------------------------------------------- */

/*
 * Names the caller's waiting request within the embedding program. When the
 * caller has left, the program drops the answer; the submission goes on.
 */
typedef uint64_t rp_token;

enum rp_event_type {
	RP_EVENT_TICK,
	RP_EVENT_KEYS,
	RP_EVENT_SUBMIT,
	RP_EVENT_QUERY,
	RP_EVENT_CANCEL,
	RP_EVENT_TARGET_REPLY,
	RP_EVENT_LOOKUP_REPLY,
	RP_EVENT_PEER_MESSAGE,
	RP_EVENT_PEER_DOWN,
	RP_EVENT_PLATFORM_REPLY,
	RP_EVENT_EDIT,
	RP_EVENT_DRAFT,
	RP_EVENT_DRAIN,
};

/* What became of a start. */
enum rp_start_outcome {
	RP_START_DONE,	  /* ran; the body is its result */
	RP_START_FAILED,  /* ran, and failed */
	RP_START_BUSY,	  /* the target says: not run, no free slot */
	RP_START_LEAVING, /* the target says: not run, it is leaving */
	RP_START_UNSENT,  /* surely not run: no byte was written */
	RP_START_UNKNOWN, /* sent, no answer: it may have run */
};

/* What a target says of a task id on a fresh connection. */
enum rp_lookup_outcome {
	RP_LOOKUP_DONE,	   /* it ran; the body is its result */
	RP_LOOKUP_FAILED,  /* it ran, and failed */
	RP_LOOKUP_RUNNING, /* it is running now */
	RP_LOOKUP_VOIDED,  /* it did not run and never will */
	RP_LOOKUP_UNKNOWN, /* the target does not know the id */
	RP_LOOKUP_NONE,	   /* no answer to the lookup */
};

struct rp_event {
	enum rp_event_type type;
	rp_token token; /* KEYS, SUBMIT, QUERY, CANCEL, EDIT, DRAFT */
	union {
		struct {
			int count;
		} keys;
		struct {
			struct rp_submission *sub; /* borrowed */
			int wait; /* answer when final, not at once */
		} submit;
		struct {
			struct rp_str key;
			int wait;
		} query;
		struct {
			struct rp_str key;
		} cancel;
		struct {
			uint64_t start_id;
			enum rp_start_outcome outcome;
			struct rp_blob *body; /* borrowed; may be NULL */
		} reply;
		struct {
			uint64_t start_id;
			enum rp_lookup_outcome outcome;
			struct rp_blob *body; /* borrowed; may be NULL */
		} lookup;
		struct {
			const void *data; /* one packed peer message */
			size_t len;
		} peer;
		struct {
			char name[RP_NAME_MAX];
		} peer_down;
		struct {
			uint64_t ask_id;
			enum rp_platform_outcome outcome;
			size_t nrows; /* READ, SCAN */
			const struct rp_row *rows;
			size_t nvms; /* LIST */
			const struct rp_vm *vms;
		} platform;
		struct {
			const char *edit_id;  /* unique, chosen by operator */
			int64_t base_version; /* version the draft saw */
			size_t ncells;
			const struct rp_cell *cells;
		} edit;
		struct {
			const char *name;
			int drop; /* the draft is dropped, not kept */
			const char *edit_id; /* that it is committed under */
			int64_t base_version;
			size_t ncells;
			const struct rp_cell *cells;
		} draft;
	};
};

/* --- actions -------------------------------------------------------- */

enum rp_action_type {
	RP_ACTION_KEYS,	      /* tell the caller its issued keys */
	RP_ACTION_ANSWER,     /* tell the caller the answer */
	RP_ACTION_START,      /* send a task to a target */
	RP_ACTION_LOOKUP,     /* ask for an outcome on a fresh connection */
	RP_ACTION_VOID,	      /* void a task id on a fresh connection */
	RP_ACTION_STOP,	      /* best effort: stop a running task */
	RP_ACTION_PEER,	      /* send a packed message to an entry VM */
	RP_ACTION_PEER_RESET, /* close a silent link; reopen when used */
	RP_ACTION_PLATFORM,   /* call the platform */
	RP_ACTION_EDITED,     /* tell what became of an edit or a draft */
	RP_ACTION_DRAINED,    /* all is finished: the process may exit */
};

struct rp_action {
	enum rp_action_type type;
	rp_token token; /* KEYS, ANSWER, EDITED */
	union {
		struct {
			int count;
			char (*keys)[RP_KEY_MAX]; /* owned by the action */
			struct rp_status status;
			rp_ms expires_in;
		} keys;
		struct {
			struct rp_answer *answer; /* owned by the action */
		} answer;
		struct {
			uint64_t start_id;
			char target[RP_NAME_MAX];
			char address[RP_ADDRESS_MAX];
			char task_id[RP_KEY_MAX + 32]; /* unique for ever */
			rp_ms timeout;		       /* give up after, ms */
			/* START: owned by the action, else NULL */
			struct rp_submission *sub;
			size_t task; /* index into sub->tasks */
			/* LOOKUP, VOID: drop the start's connection now; else
			 * once its outcome was reported */
			int close_connection;
		} start;
		struct {
			char name[RP_NAME_MAX];
			char address[RP_ADDRESS_MAX];
			struct rp_blob *data; /* owned; NULL for RESET */
		} peer;
		struct {
			uint64_t ask_id;
			enum rp_platform_op op;
			size_t nrows;
			struct rp_row *rows; /* strings in data */
			struct rp_blob *data;
			rp_ms timeout;
		} platform;
		struct {
			struct rp_status status;
			int64_t version; /* in which the edit is, or is not */
			size_t nconflicts;
			struct rp_cell *conflicts; /* as in force; owned */
		} edited;
	};
};

/* A growing list of actions; rp_actions_init() before first use. */
struct rp_actions {
	struct rp_action *list;
	size_t len, cap;
	struct rp_deferred *deferred; /* kernel's own */
};

void rp_actions_init(struct rp_actions *acts);
/* Frees what the actions own and empties the list, keeping its memory. */
void rp_actions_clear(struct rp_actions *acts);
void rp_actions_finish(struct rp_actions *acts);

/* --- the kernel ----------------------------------------------------- */

/* Locks given by the embedding program; all NULL when single-threaded. */
struct rp_lock_ops {
	void *(*create)(void);
	void (*destroy)(void *lock);
	void (*lock)(void *lock);
	void (*unlock)(void *lock);
};

/* Settings of a kernel; rp_options_init() fills in the defaults. */
struct rp_options {
	char vm_name[RP_NAME_MAX];    /* this entry VM's name */
	char address[RP_ADDRESS_MAX]; /* its peer link, "ip:port" */
	char failure_domain[RP_NAME_MAX];
	uint64_t incarnation; /* greater at every process start */
	uint64_t seed;
	rp_ms wall_offset;	 /* wall time at monotonic time 0, ms */
	char route[RP_NAME_MAX]; /* names of the policy plug-ins */
	char queue[RP_NAME_MAX];
	char admit[RP_NAME_MAX];
	char limit[RP_NAME_MAX];
	char health[RP_NAME_MAX];
	char retry[RP_NAME_MAX];
	rp_ms key_lifetime;	   /* of an issued key */
	rp_ms max_timeout;	   /* longest deadline a caller may ask */
	size_t max_queued;	   /* tasks waiting, per service */
	size_t max_records;	   /* submissions remembered */
	size_t max_retained;	   /* bytes of finished answers */
	int retry_percent;	   /* retries and hedges, of first sends */
	rp_ms silence_limit;	   /* a start without answer is looked up */
	rp_ms table_poll;	   /* mean span between table polls */
	rp_ms list_poll;	   /* mean span between VM list polls */
	rp_ms heartbeat;	   /* span between heartbeats to a peer */
	rp_ms credit_lease;	   /* life of a slot credit */
	int claim_batch;	   /* claims in one transaction */
	rp_ms claim_interval;	   /* least span between claim commits */
	int claim_rows;		   /* rows of claims a second, all entry VMs */
	size_t trace_events;	   /* length of the event ring */
	size_t nseeds;		   /* entry VMs known from the settings */
	const struct rp_vm *seeds; /* entry VMs and targets; borrowed */
	int abort_on_violation;	   /* for tests: stop at a broken invariant */
	struct rp_lock_ops locks;
};

void rp_options_init(struct rp_options *opt);

struct rp_kernel;

/* Bytes of memory that rp_kernel_init() needs, suitably aligned. */
size_t rp_kernel_size(void);

/*
 * Makes a kernel in memory that the caller owns. Returns RP_OK, or fills st:
 * RP_E_INPUT when an option is out of range or names no plug-in.
 */
enum rp_code rp_kernel_init(struct rp_kernel *k, const struct rp_options *opt,
			    rp_ms now, struct rp_status *st);
void rp_kernel_finish(struct rp_kernel *k);

/*
 * Takes one event at the given time (monotonic, ms) and appends the actions
 * that follow from it. The event is borrowed for the call. Safe from several
 * threads when locks were given.
 */
void rp_kernel_event(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		     struct rp_actions *acts);

/* Milliseconds between ticks that the kernel expects. */
#define RP_TICK_MS 5

/* --- looking in ----------------------------------------------------- */

/* Appends text to a buffer owned by the program that asks. */
struct rp_writer {
	void (*write)(struct rp_writer *w, const char *data, size_t len);
};

void rp_writer_printf(struct rp_writer *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Counters as text, one "name{labels} value" a line. */
void rp_kernel_metrics(struct rp_kernel *k, struct rp_writer *w);
/* Status of this entry VM and what it knows of others, as JSON. */
void rp_kernel_status(struct rp_kernel *k, rp_ms now, struct rp_writer *w);
/* The table in force, as JSON. */
void rp_kernel_table(struct rp_kernel *k, rp_ms now, struct rp_writer *w);
/* Events after position since, as JSON lines; returns the next position. */
uint64_t rp_kernel_trace(struct rp_kernel *k, uint64_t since,
			 struct rp_writer *w);
/*
 * Whether this entry VM should get new callers: it has ticked until the
 * members are known and their slot credits settled, and is not stopping.
 */
int rp_kernel_ready(struct rp_kernel *k);

#ifdef __cplusplus
}
#endif

#endif
