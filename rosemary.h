#ifndef ROSEMARY_H
#define ROSEMARY_H

/*
 * Public header of librosemary, the dispatcher as an embeddable library.
 *
 * The kernel does no I/O. The embedding program delivers events with the
 * current time to rp_kernel_event() and carries out the list of actions that
 * it returns. The kernel reads no clock, opens no socket, starts no thread
 * and derives its random numbers from a seed. Several threads may deliver
 * events at the same time when lock operations are set in the options.
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

/* A time on the embedding program's monotonic clock, or a duration, ms. */
typedef int64_t rp_ms;

/* A borrowed, length-counted string; not NUL-terminated. */
struct rp_str {
	const char *ptr;
	size_t len;
};

/* Sizes in bytes, each with the terminating NUL. */
#define RP_NAME_MAX 64	   /* name of a VM, target, service or team */
#define RP_ADDRESS_MAX 64  /* "ip:port" */
#define RP_KEY_MAX 160	   /* submission key */
#define RP_MESSAGE_MAX 200 /* status message */

#define RP_TASKS_MAX 1024 /* tasks in one job */

/* Result codes. */
enum rp_code {
	RP_OK,
	RP_E_INPUT,	  /* a field is malformed or out of range */
	RP_E_CONFLICT,	  /* key used with another body, or a concurrent edit */
	RP_E_UNKNOWN_KEY, /* no submission with the key is known */
	RP_E_UNREACHABLE, /* the owner of the key is unreachable for now */
	RP_E_GONE,	  /* the owner of the key has stopped for good */
	RP_E_EXPIRED,	  /* the key has expired; its outcome is unknown */
	RP_E_DROPPED,	  /* finished, but the answer is no longer retained */
	RP_E_FULL,	  /* a queue or table is full */
	RP_E_DEADLINE,	  /* the deadline passed or cannot be met */
	RP_E_CANCELLED,	  /* cancelled by a caller */
	RP_E_PLATFORM,	  /* the platform is unavailable or gave no reply */
	RP_E_TARGET,	  /* the target failed the task */
	RP_E_SILENT,	  /* the target did not reply; the outcome is unknown */
	RP_E_DRAINING,	  /* this entry VM is stopping */
	RP_E_INTERNAL,	  /* an invariant was violated */
};

/* The step at which an error arose. */
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

/* A result code with the step and the peer at which it arose. */
struct rp_status {
	enum rp_code code;
	enum rp_step step;
	char peer[RP_NAME_MAX]; /* target, entry VM or "platform"; may be "" */
	char message[RP_MESSAGE_MAX];
};

const char *rp_code_name(enum rp_code code);
const char *rp_step_name(enum rp_step step);

/* Fills st, truncating the message. Returns st->code. */
enum rp_code rp_status_set(struct rp_status *st, enum rp_code code,
			   enum rp_step step, const char *peer, const char *fmt,
			   ...) __attribute__((format(printf, 5, 6)));

/* A reference-counted byte buffer that threads may share. */
struct rp_blob {
	atomic_int refs;
	size_t len;
	char data[];
};

/*
 * Returns a copy of the data with one reference, or NULL when memory is
 * exhausted. Without data the bytes are left uninitialized.
 */
struct rp_blob *rp_blob_new(const void *data, size_t len);
struct rp_blob *rp_blob_ref(struct rp_blob *b);
/* Drops one reference; NULL is allowed. */
void rp_blob_unref(struct rp_blob *b);

/* One task of a submission; the strings point into the submission. */
struct rp_task_spec {
	struct rp_str id;      /* unique within the job */
	struct rp_str payload; /* request body for the target */
};

/*
 * A caller's submission: a job of tasks, or a single request (one task).
 * Reference-counted and immutable once it is built.
 */
struct rp_budget;

struct rp_submission {
	atomic_int refs;
	struct rp_budget *budget; /* that counts its memory; NULL: none */
	size_t held;		  /* bytes that are counted */
	struct rp_str key;	  /* issued key, or the caller's own */
	int key_is_callers;	  /* the key came as Idempotency-Key */
	struct rp_str service;
	struct rp_str team;
	rp_ms timeout;	 /* from receipt to deadline, ms */
	int is_request;	 /* a single request, not a job */
	int idempotent;	 /* only for is_request: may be retried and hedged */
	uint64_t digest; /* of service, team, flags, ids and payloads */
	size_t bytes;	 /* size of the arena */
	size_t ntasks;
	struct rp_task_spec *tasks;
	char *arena; /* owned memory that all strings point into */
};

/* Parameters of rp_submission_new(), which copies the strings. */
struct rp_submission_spec {
	struct rp_str key, service, team;
	int key_is_callers, is_request, idempotent;
	rp_ms timeout;
	size_t ntasks;
	const struct rp_task_spec *tasks;
};

/*
 * Returns a submission with one reference and its digest, or NULL when memory
 * is exhausted. The fields are validated later, by the kernel.
 */
struct rp_submission *rp_submission_new(const struct rp_submission_spec *spec);
/*
 * Counts the submission, and what the kernel allocates for its tasks, until it
 * is freed. Returns -1 if the budget has no room for it.
 */
int rp_submission_hold(struct rp_submission *s, struct rp_budget *b);
struct rp_submission *rp_submission_ref(struct rp_submission *s);
void rp_submission_unref(struct rp_submission *s);

/* The state of a submission as a caller sees it. */
enum rp_state {
	RP_RUNNING,  /* accepted, not finished */
	RP_COMPLETE, /* every task has its result */
	RP_FAILED,   /* final; see status and may_have_run */
	RP_NOT_RUN,  /* final; no task has run and none will */
	RP_REFUSED,  /* this call was refused; the submission may exist */
};

const char *rp_state_name(enum rp_state state);

/* The result of one task. */
struct rp_result {
	struct rp_str id;     /* points into the answer's submission */
	struct rp_blob *body; /* body of the target's reply; never NULL */
};

/*
 * The answer to a call. It has the results of all tasks when the state is
 * RP_COMPLETE, and none otherwise. Reference-counted, and immutable once it
 * has left the kernel.
 */
struct rp_answer {
	atomic_int refs;
	enum rp_state state;
	struct rp_status status;
	int may_have_run;  /* RP_FAILED: a task ran or may have run */
	rp_ms retry_after; /* delay before a retry, ms; 0: do not retry */
	struct rp_submission *sub; /* one reference, for the ids; may be NULL */
	size_t nresults;
	struct rp_result *results; /* in the submission's order */
	size_t bytes;		   /* memory that the results take */
};

/* Returns an answer with one reference, or NULL when memory is exhausted. */
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
 * One cell of the table. A target's cell has its relative weight and the limit
 * on its tasks in flight over all entry VMs. A team's cell has its share and
 * its quota of tasks in flight over all entry VMs. RP_CELL_UNSET selects the
 * default.
 */
struct rp_cell {
	enum rp_cell_kind kind;
	char row[RP_NAME_MAX];
	char col[RP_NAME_MAX];
	int32_t weight;	 /* 0..RP_WEIGHT_MAX; 0: gets no work */
	int32_t limit;	 /* 0..RP_LIMIT_MAX; 0: gets no work */
	int64_t version; /* table version of the cell's last change */
};

#define RP_WEIGHT_DEFAULT 100
#define RP_WEIGHT_MAX 10000
#define RP_LIMIT_MAX 1000000
#define RP_EDIT_CELLS_MAX 512 /* cells in one edit or draft */
#define RP_DRAFTS_MAX 64

/* --- the platform --------------------------------------------------- */

/*
 * A row of the platform's table service. Version 0: the row does not exist. In
 * a commit, version is the expected one and a NULL value deletes the row.
 */
struct rp_row {
	struct rp_str name;
	struct rp_str value;
	int64_t version;
};

enum rp_platform_op {
	RP_PLATFORM_LIST,   /* read the list of VMs */
	RP_PLATFORM_READ,   /* read the named rows */
	RP_PLATFORM_SCAN,   /* read all rows with the prefix rows[0].name */
	RP_PLATFORM_COMMIT, /* write all rows if every version matches */
};

enum rp_platform_outcome {
	RP_PLATFORM_DONE,
	RP_PLATFORM_UNCHANGED, /* LIST: the same as at the last DONE */
	RP_PLATFORM_CONFLICT,  /* a version differs; nothing was written */
	RP_PLATFORM_NO_EFFECT, /* refused or never sent: nothing was written */
	RP_PLATFORM_LOST,      /* no reply: it may have taken effect */
};

enum rp_vm_kind { RP_VM_ENTRY, RP_VM_TARGET };

/* An entry of the platform's VM list, which lags behind reality. */
struct rp_vm {
	enum rp_vm_kind kind;
	char name[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX]; /* "ip:port" of the peer link or target */
	char failure_domain[RP_NAME_MAX];
	char service[RP_NAME_MAX]; /* only for targets */
	int leaving;		   /* about to be removed: gets no new work */
	/* Only for targets: */
	int slots;	 /* tasks that it runs at once */
	int connections; /* connections that it accepts; 0: unknown */
	int can_lookup;	 /* reports the outcome of a task id */
	int can_void;	 /* voids a task id that has not run */
};

/* --- events --------------------------------------------------------- */

/*
 * Identifies a caller's pending request within the embedding program. When the
 * caller disconnects, the program drops the answer; the submission continues.
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

/* Outcomes of a start, from the target's reply or its absence. */
enum rp_start_outcome {
	RP_START_DONE,	  /* the task ran; the body is its result */
	RP_START_FAILED,  /* the task ran and failed */
	RP_START_BUSY,	  /* not run: the target has no free slot */
	RP_START_LEAVING, /* not run: the target is leaving */
	RP_START_UNSENT,  /* not run: nothing was sent */
	RP_START_UNKNOWN, /* sent without a reply: it may have run */
};

/* Answers to a lookup or void of a task id. */
enum rp_lookup_outcome {
	RP_LOOKUP_DONE,	   /* the task ran; the body is its result */
	RP_LOOKUP_FAILED,  /* the task ran and failed */
	RP_LOOKUP_RUNNING, /* the task is running */
	RP_LOOKUP_VOIDED,  /* the task has not run and never will */
	RP_LOOKUP_UNKNOWN, /* the target does not know the id */
	RP_LOOKUP_NONE,	   /* the target did not answer */
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
			int wait; /* answer once final, not at once */
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
			uint64_t ask_id; /* id in the RP_ACTION_PLATFORM */
			enum rp_platform_outcome outcome;
			size_t nrows; /* READ, SCAN */
			const struct rp_row *rows;
			size_t nvms; /* LIST */
			const struct rp_vm *vms;
		} platform;
		struct {
			const char *edit_id;  /* unique, chosen by the caller */
			int64_t base_version; /* table that was edited */
			size_t ncells;
			const struct rp_cell *cells;
		} edit;
		struct {
			const char *name;
			int drop;	     /* removes the draft */
			const char *edit_id; /* for its later commit */
			int64_t base_version;
			size_t ncells;
			const struct rp_cell *cells;
		} draft;
	};
};

/* --- actions -------------------------------------------------------- */

enum rp_action_type {
	RP_ACTION_KEYS,	      /* return issued keys to the caller */
	RP_ACTION_ANSWER,     /* return an answer to the caller */
	RP_ACTION_START,      /* send a task to a target */
	RP_ACTION_LOOKUP,     /* query a task's outcome on a new connection */
	RP_ACTION_VOID,	      /* void a task id on a new connection */
	RP_ACTION_STOP,	      /* stop a running task, best effort */
	RP_ACTION_PEER,	      /* send a packed message to an entry VM */
	RP_ACTION_PEER_RESET, /* close a silent link; reopen when used */
	RP_ACTION_PLATFORM,   /* call the platform */
	RP_ACTION_EDITED,     /* return the result of an edit or draft */
	RP_ACTION_DRAINED,    /* the drain is complete: the process may exit */
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
			char task_id[RP_KEY_MAX + 32]; /* never reused */
			rp_ms timeout; /* timeout of the call, ms */
			/* START: owned by the action, else NULL */
			struct rp_submission *sub;
			size_t task; /* index into sub->tasks */
			/*
			 * LOOKUP, VOID: close the start's connection now. If
			 * 0, it is closed once its outcome was reported.
			 */
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
			struct rp_row *rows; /* point into data */
			struct rp_blob *data;
			rp_ms timeout;
		} platform;
		struct {
			struct rp_status status;
			int64_t version; /* table with the edit, or in force */
			size_t nconflicts;
			/* Conflicting cells in force; owned by the action. */
			struct rp_cell *conflicts;
		} edited;
	};
};

/* A growing list of actions, initialized by rp_actions_init(). */
struct rp_actions {
	struct rp_action *list;
	size_t len, cap;
	struct rp_deferred *deferred; /* internal to the kernel */
};

void rp_actions_init(struct rp_actions *acts);
/* Frees what the actions own and empties the list, keeping its capacity. */
void rp_actions_clear(struct rp_actions *acts);
/* Frees the list with its actions; it may be used again. */
void rp_actions_finish(struct rp_actions *acts);

/* --- the kernel ----------------------------------------------------- */

/* Lock functions of the embedding program; all NULL if single-threaded. */
struct rp_lock_ops {
	void *(*create)(void);
	void (*destroy)(void *lock);
	void (*lock)(void *lock);
	void (*unlock)(void *lock);
};

/* Settings of a kernel; rp_options_init() fills in the defaults. */
struct rp_options {
	char vm_name[RP_NAME_MAX];    /* this entry VM's name */
	char address[RP_ADDRESS_MAX]; /* "ip:port" of its peer link */
	char failure_domain[RP_NAME_MAX];
	uint64_t incarnation; /* increases with every process start */
	uint64_t seed;	      /* seed of all random numbers */
	rp_ms wall_offset;    /* wall time at monotonic time 0, ms */
	/* Names of the policy plug-ins: */
	char route[RP_NAME_MAX];
	char queue[RP_NAME_MAX];
	char admit[RP_NAME_MAX];
	char limit[RP_NAME_MAX];
	char health[RP_NAME_MAX];
	char retry[RP_NAME_MAX];
	rp_ms key_lifetime;	  /* time until an issued key expires, ms */
	rp_ms max_timeout;	  /* longest timeout of a submission, ms */
	struct rp_budget *budget; /* for submissions; NULL: no limit */
	size_t max_queued;	  /* queued tasks per service */
	size_t max_records;	  /* records of submissions */
	size_t max_retained;	  /* bytes of retained answers */
	int retry_percent;    /* retries and hedges per 100 first attempts */
	rp_ms silence_limit;  /* longest wait before a lookup, ms */
	rp_ms table_poll;     /* mean interval of table polls, ms; 0: none */
	rp_ms list_poll;      /* mean interval of VM list polls, ms; 0: none */
	rp_ms heartbeat;      /* interval of heartbeats to a peer, ms */
	rp_ms credit_lease;   /* lifetime of a slot credit, ms */
	int claim_batch;      /* most claims in one transaction */
	rp_ms claim_interval; /* least interval of claim commits, ms */
	int claim_rows;	      /* rows per second, all entry VMs; 0: no limit */
	size_t trace_events;  /* events in the trace ring; 0: no trace */
	size_t nseeds;	      /* length of seeds */
	const struct rp_vm *seeds; /* initial VM list; borrowed */
	int abort_on_violation; /* for tests: abort on a violated invariant */
	struct rp_lock_ops locks;
};

void rp_options_init(struct rp_options *opt);

struct rp_kernel;

/* Returns the size of the memory that rp_kernel_init() initializes. */
size_t rp_kernel_size(void);

/*
 * Initializes a kernel in suitably aligned memory of rp_kernel_size() bytes,
 * which stays the caller's. Returns RP_OK, or fills st and returns RP_E_INPUT
 * when an option is out of range or names an unknown plug-in.
 */
enum rp_code rp_kernel_init(struct rp_kernel *k, const struct rp_options *opt,
			    rp_ms now, struct rp_status *st);
/* Frees what the kernel allocated; pending calls get no answer. */
void rp_kernel_finish(struct rp_kernel *k);

/*
 * Handles one event at the given time (monotonic, ms) and appends the actions
 * that follow from it. The event is borrowed for the call. Thread-safe when
 * lock functions were set.
 */
void rp_kernel_event(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		     struct rp_actions *acts);

/* Interval at which the kernel expects RP_EVENT_TICK, ms. */
#define RP_TICK_MS 5

/* --- metrics, status and trace -------------------------------------- */

/* A sink for text. The embedding program extends the struct by its buffer. */
struct rp_writer {
	void (*write)(struct rp_writer *w, const char *data, size_t len);
};

/* Writes formatted text, truncated to 511 bytes. */
void rp_writer_printf(struct rp_writer *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Writes the metrics as text, one "name value" a line. */
void rp_kernel_metrics(struct rp_kernel *k, struct rp_writer *w);
/* Writes the status of this entry VM and of its members as JSON. */
void rp_kernel_status(struct rp_kernel *k, rp_ms now, struct rp_writer *w);
/* Writes the table in force as JSON. */
void rp_kernel_table(struct rp_kernel *k, rp_ms now, struct rp_writer *w);
/*
 * Writes the trace events from position since on as JSON lines; returns the
 * position to continue from.
 */
uint64_t rp_kernel_trace(struct rp_kernel *k, uint64_t since,
			 struct rp_writer *w);
/*
 * Returns whether this entry VM should get new callers: it knows the members
 * and their slot credits, and is not stopping.
 */
int rp_kernel_ready(struct rp_kernel *k);

#ifdef __cplusplus
}
#endif

#endif
