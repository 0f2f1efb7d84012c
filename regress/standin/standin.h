#ifndef STANDIN_H
#define STANDIN_H

/*
 * A stand-in for the users' platform in one process: the store listens on the
 * first port, the targets on the ports after it. It implements the platform's
 * published protocol, checks the invariants of a pool at its targets, and
 * injects the faults that a test requests at /control.
 */

#include "fake.h"

#define STANDIN_TARGETS 64 /* targets at most */
#define STANDIN_RUNS 32	   /* runs on one target at most */
#define STANDIN_NAME 64	   /* bytes of a name, with the NUL */

struct standin;

/* --- store.c ---------------------------------------------------------- */

struct standin_row {
	char table[STANDIN_NAME], part[STANDIN_NAME], key[STANDIN_NAME * 2];
	char *value; /* base64; NULL: the row was removed */
	int64_t version;
	int64_t put_at; /* ms */
};

struct standin_late_write;

struct standin_store {
	struct standin_row *rows;
	size_t n, cap;
	int64_t version;
	int64_t compacted; /* changes before this version are not available */
	int down;	   /* fault: answers 503 */
	int64_t up_at;	   /* ms, when it is up again by itself; 0: never */
	int silent;	   /* fault: does not answer */
	int lose_answers;  /* fault: percent of writes made but not answered */
	int page;	   /* rows in a reply at most */
	int late_writes;   /* fault: as many of new jobs get no answer, */
	int late_ms;	   /* and are made after this time */
	struct standin_late_write *late; /* that are to be made */
	uint64_t reads, writes;
};

/* Returns the ms since the row was written, or -1 if there is none. */
int64_t store_row_age(struct standin_store *s, const char *table,
		      const char *key);
/* Writes a row with the text as its value, or removes it if text is NULL. */
void store_put(struct standin_store *s, const char *table, const char *key,
	       const char *text);
enum fake_action store_handle(struct standin *st, struct fake_request *r);

/* --- targets.c -------------------------------------------------------- */

struct standin_run {
	char task[STANDIN_NAME], spec[STANDIN_NAME];
	int64_t run;
	double work_ms; /* run time at normal speed */
	double done_ms; /* part of work_ms that is done */
	int fails;	/* ends as failed once its work is done */
	double cpu;	/* thousandths of a core */
};

struct standin_end {
	int64_t number;
	char task[STANDIN_NAME], spec[STANDIN_NAME];
	int64_t run;
	const char *how; /* outcome, as named on the wire */
};

struct standin_target {
	struct standin *st;
	size_t index;
	char id[STANDIN_NAME];
	int64_t incarnation, sequence, draining_since;
	int64_t restarted_at; /* 0: never */
	int64_t entry_written_at;
	int draining;
	char zone[STANDIN_NAME];
	int silent;	 /* fault: does not answer */
	int cut_off;	 /* fault: does not reach the store */
	int stuck;	 /* fault: runs make no progress */
	int failing;	 /* fault: percent of runs that fail */
	int losing;	 /* fault: percent of calls that are lost */
	int list_ms;	 /* fault: delay of replies to holds, ms */
	double cpu;	 /* capacity, thousandths of a core */
	double prev_cpu; /* before it was changed last */
	int64_t cpu_changed_at;
	int64_t crash_at;      /* a run crashes it then; 0: none does */
	int64_t crashed_until; /* it is down until then; 0: it is up */
	double clock_offset;   /* ms that its clock is ahead of the real time */
	int clock_lag;	       /* fault: percent by which its clock runs slow */
	double slowdown;       /* work takes this many times as long */
	int64_t fencing_token; /* highest one received */
	int64_t lease_until;   /* on its clock, ms */
	int64_t advanced_at;
	struct standin_run runs[STANDIN_RUNS];
	size_t nruns;
	struct standin_end *ends; /* those not yet acknowledged */
	size_t nends, cap_ends;
	int64_t last_end;  /* number of the latest end */
	json_t *last_runs; /* task -> highest run that ended or was stopped */
};

void target_init(struct standin *st, size_t index);
/* Writes the target's entry to the store. */
void target_write_entry(struct standin_target *t);
/* Changes the capacity, of which the scheduler learns from the entry. */
void target_set_cpu(struct standin_target *t, double cpu);
/* Starts another incarnation, which knows nothing of the previous one. */
void target_restart(struct standin_target *t);
/* Brings runs and the lease up to the present time. */
void target_advance(struct standin_target *t);
enum fake_action target_handle(struct standin_target *t,
			       struct fake_request *r);

/* --- platform.c ------------------------------------------------------- */

struct standin {
	struct fake_server srv;
	apr_thread_mutex_t *lock;
	struct standin_store store;
	struct standin_target targets[STANDIN_TARGETS];
	size_t ntargets;
	int first_port;
	int advertised_port; /* of the first target, in its entry */
	/* A start later than this after the drain began is a violation. */
	int drain_ms;
	int evacuated_ms; /* the same for a start in an evacuated zone */
	unsigned seed;
	int violations;
	char first_violation[256];
	uint64_t starts, ends;
	int crashes;	      /* of targets, by their runs */
	json_t *crash_counts; /* task -> targets that it has crashed */
	json_t *starts_after; /* task -> its starts after three crashes */
	json_t *started_jobs; /* ids of jobs of which a task was started */
	json_t *cancelled;    /* ids -> when a cancellation was acknowledged */
	json_t *done_tasks;   /* tasks of which a run ended as done */
	json_t *acked_specs; /* task -> specification of its acknowledged end */
};

/* Time after which no task of a cancelled job is started, with a fault over. */
#define STANDIN_CANCEL_MS 6000

/* Counts a violation of an invariant, and keeps the text of the first. */
void standin_violation(struct standin *st, const char *what,
		       const char *subject);
/* Suspends the request; its handler is called again after a few ms. */
#define STANDIN_LATE_MS 2000 /* after which a lost call is carried out */
/* Whether the request is one of the percent that get no answer in time. */
int standin_is_lost(struct standin *st, struct fake_request *r, int percent);
/* Has the request carried out after ms; -1: never. */
void standin_lose(struct fake_request *r, int ms);
/* Whether the request was lost, and is not to be carried out yet. */
int standin_is_late(struct fake_request *r);
enum fake_action standin_suspend(struct fake_request *r);
/* Replies with the value, which it frees, after ms. */
enum fake_action standin_reply_later(struct fake_request *r, json_t *value,
				     int ms);
/* Returns the ms since the request was first suspended, or 0. */
int64_t standin_wait_ms(struct fake_request *r);

#endif
