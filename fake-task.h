#ifndef FAKE_TASK_H
#define FAKE_TASK_H

/* A simulated target: its settings, its faults and the record of its tasks. */

#include "fake.h"

#include <apr_hash.h>
#include <gsl/gsl_rng.h>

enum fake_task_state {
	FAKE_TASK_RUNNING,
	FAKE_TASK_DONE,
	FAKE_TASK_FAILED,
	FAKE_TASK_VOIDED,
};

/* How a started task ended; tells the causes of a failure apart. */
enum fake_task_outcome {
	FAKE_OUTCOME_NONE,
	FAKE_OUTCOME_DONE,
	FAKE_OUTCOME_FAILED,
	FAKE_OUTCOME_STOPPED,
	FAKE_OUTCOME_LEASE_EXPIRED,
};

struct fake_target;

/* The record of one task id, kept until the target is freed. */
struct fake_task {
	struct fake_target *target;
	const char *id;
	const char *task; /* "task" of the payload; "" when absent */
	enum fake_task_state state;
	enum fake_task_outcome outcome;
	int64_t arrival_us;
	int64_t end_us; /* 0 until the task has ended */
	double service_ms;
	int lease_expires; /* the timer is set to the end of the lease */
	struct fake_timer timer;
	/* Suspended until the task ends; NULL when no request waits. */
	struct fake_request *waiting_request;
	struct fake_task *next_start; /* in the order of starts */
};

/* Counts since the target was started; /v1/control does not reset them. */
struct fake_target_counts {
	int64_t starts, busy, double_starts, voids, lookups, connections;
	int64_t max_running;
};

/* Settings and faults of a target; /v1/control changes them. */
struct fake_target_settings {
	int64_t slots;
	int64_t connections; /* open at once, at most */
	double service_ms;   /* mean; 0: instant */
	double spread;	     /* sigma of the log-normal distribution */
	double speed;	     /* divides every service time */
	int64_t lease_ms;    /* a task that runs longer fails; 0: no limit */
	int leaving, fail_all, hang, down, can_lookup, can_void;
};

struct fake_target {
	struct fake_timers *timers;
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	gsl_rng *rng;
	struct fake_target_settings settings;
	struct fake_target_counts counts;
	apr_hash_t *tasks; /* by id */
	struct fake_task *first_start, **start_tail;
	int64_t running;
	int64_t open_connections;
	uint64_t newest_serial; /* of the newest connection */
	/* Connections up to this serial get no answers. */
	uint64_t silent_up_to;
};

/* Initializes a target; seed is for its service times. */
void fake_target_init(struct fake_target *t, struct fake_timers *timers,
		      apr_pool_t *parent,
		      const struct fake_target_settings *settings,
		      unsigned long seed);
void fake_target_finish(struct fake_target *t);

/* The result of an attempt to start a task. */
enum fake_start_result {
	FAKE_START_OK, /* the task runs, or has already ended */
	FAKE_START_BUSY,
	FAKE_START_LEAVING,
	FAKE_START_VOIDED, /* the id was voided before */
	FAKE_START_DOUBLE, /* the id was started before */
};

/*
 * Starts a task for the request. Unless the task ends at once, the request is
 * suspended until it does. The target's lock must be held, as for all of the
 * functions below.
 */
enum fake_start_result fake_task_start(struct fake_target *t, const char *id,
				       struct fake_request *r,
				       struct fake_task **out);
/* Finds the record of a task id; NULL when there is none. */
struct fake_task *fake_task_find(struct fake_target *t, const char *id);
/* Voids the id unless it has a record already; returns its record. */
struct fake_task *fake_task_void(struct fake_target *t, const char *id);
/* Ends a running task and resumes the request that waits for it. */
void fake_task_finish(struct fake_task *task, enum fake_task_outcome outcome);

const char *fake_task_state_name(enum fake_task_state state);
/* The JSON result of a task that has ended; the caller frees it. */
char *fake_task_result(const struct fake_task *task);

/* fake-record.c: replies with the counts and with all starts in order. */
enum fake_action fake_target_record_reply(struct fake_target *t,
					  struct fake_request *r);
json_t *fake_target_counts_json(const struct fake_target *t);

#endif
