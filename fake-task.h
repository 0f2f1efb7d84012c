#ifndef FAKE_TASK_H
#define FAKE_TASK_H

/* One played target: its slots, its faults and the record of its tasks. */

#include "fake.h"

#include <apr_hash.h>
#include <gsl/gsl_rng.h>

enum fake_task_state {
	FAKE_TASK_RUNNING,
	FAKE_TASK_DONE,
	FAKE_TASK_FAILED,
	FAKE_TASK_VOIDED,
};

/* How a start ended, finer than its state. */
enum fake_task_end {
	FAKE_END_NONE,
	FAKE_END_DONE,
	FAKE_END_FAILED,
	FAKE_END_STOPPED,
	FAKE_END_LEASE_EXPIRED,
};

struct fake_target;

/* What the target remembers of one task id, for as long as it lives. */
struct fake_task {
	struct fake_target *target;
	const char *id;
	const char *task; /* the payload's own "task", or "" */
	enum fake_task_state state;
	enum fake_task_end end;
	int64_t arrival_us;
	int64_t end_us;
	double service_ms;
	int lease_ends_it; /* the timer is the lease, not the service */
	struct fake_timer timer;
	struct fake_request *waiter; /* waits for the answer, or NULL */
	struct fake_task *next_start;
};

struct fake_target_counts {
	int64_t starts, busy, double_starts, voids, lookups, connections;
	int64_t max_running;
};

/* Settings and faults of a target, changed through /v1/control. */
struct fake_target_knobs {
	int64_t slots;
	int64_t connections;
	double service_ms; /* mean; 0: instant */
	double spread;	   /* sigma of the log-normal distribution */
	double speed;	   /* divides every service time */
	int64_t lease_ms;  /* longest run; 0: no limit */
	int leaving, fail_all, hang, down, lookup, void_ids;
};

struct fake_target {
	struct fake_timers *timers;
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	gsl_rng *rng;
	struct fake_target_knobs knobs;
	struct fake_target_counts counts;
	apr_hash_t *tasks; /* by id */
	struct fake_task *first_start, **last_start;
	int64_t running;
	int64_t open_connections;
	uint64_t last_serial;  /* of the newest connection */
	uint64_t silent_up_to; /* connections up to this serial are silent */
};

void fake_target_init(struct fake_target *t, struct fake_timers *timers,
		      apr_pool_t *parent, const struct fake_target_knobs *knobs,
		      unsigned long seed);
void fake_target_finish(struct fake_target *t);

/* What became of an attempt to start a task. */
enum fake_start {
	FAKE_START_OK, /* runs, or has already ended */
	FAKE_START_BUSY,
	FAKE_START_LEAVING,
	FAKE_START_VOIDED,
	FAKE_START_DOUBLE,
};

/*
 * Starts a task for the request, which must be suspended already unless the
 * task ends at once. All of these need the target's lock.
 */
enum fake_start fake_task_start(struct fake_target *t, const char *id,
				struct fake_request *r,
				struct fake_task **task);
struct fake_task *fake_task_find(struct fake_target *t, const char *id);
struct fake_task *fake_task_void(struct fake_target *t, const char *id);
/* Ends a running task and wakes the request that waits for it. */
void fake_task_finish(struct fake_task *task, enum fake_task_end end);

const char *fake_task_state_name(enum fake_task_state state);
/* The result a target gives for a task; malloc'ed text. */
char *fake_task_result(const struct fake_task *task);

/* fake-record.c: the record of all starts, in order, as JSON text. */
enum fake_verdict fake_record_reply(struct fake_target *t,
				    struct fake_request *r);
json_t *fake_counts_json(const struct fake_target *t);

#endif
