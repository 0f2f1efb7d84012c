#ifndef WORLD_H
#define WORLD_H

/*
 * Targets and callers in logical time, around one scheduler or several in
 * turn. Checks what must hold at the targets: no room exceeded, no task
 * running twice, none started after it was done, none below a fence.
 */

#include "scheduler.h"

#define WORLD_TARGETS 64
#define WORLD_RUNS 16
#define WORLD_ENDS 256

struct world;
struct world_job;

struct world_run {
	struct world_job *job; /* the submission that it is of */
	char task[SCHED_TASK_NAME];
	uint32_t run;
	struct sched_vector need;
	double work; /* ms at speed 1 */
	double done; /* of it */
	rp_ms started;
	int fails;
};

struct world_end {
	struct world_job *job; /* NULL: the run never was there */
	uint64_t number;
	char task[SCHED_TASK_NAME];
	uint32_t run;
	enum sched_end_how how;
};

struct world_target {
	struct sched_listing is;
	double speed;
	double slowed; /* work takes so many times as long; 1: as usual */
	int dark;      /* answers nothing, runs on */
	rp_ms back_at; /* answers nothing until then */
	int failing;   /* share of runs that fail, percent */
	int stuck;     /* runs make no progress */
	int lose;      /* share of calls done without an answer, percent */
	uint64_t fence;
	rp_ms lease_until;
	struct world_run runs[WORLD_RUNS];
	size_t nruns;
	struct world_end ends[WORLD_ENDS];
	size_t nends;
	uint64_t number;
	/* Task -> highest run that was stopped or ended here. */
	apr_hash_t *past;
};

/* A call on its way, or its answer. */
struct world_event {
	rp_ms at, sent_at;
	uint64_t order;
	int kind;
	struct sched *to; /* who is answered */
	struct world_target *target;
	char task[SCHED_TASK_NAME];
	uint32_t run;
	uint64_t fence, seen;
	int64_t until;
	rp_ms give_up; /* a waiting hold is answered by then */
	struct sched_vector need;
	double work;
	int lost;
	struct world_event *next;
};

struct world_outcomes {
	int jobs, on_time, late, rejected, incomplete, failed;
	double worth, owed; /* 1 for a job on time, a fifth for a late one */
	int late_refusals;  /* rejected after a quarter of the objective */
};

struct world_job {
	struct world *w;
	uint64_t seq;
	PoolSubmit *sub;
	uint64_t fence; /* of the scheduler that it was submitted to */
	rp_ms came, objective, late_until;
	double *works; /* of its tasks, ms at speed 1 */
	double worth;
	int answered;
	PoolAnswer__Outcome outcome;
	int started;	/* at a target */
	int on;		/* answered on time */
	uint8_t *noted; /* of its tasks: an end done was acknowledged */
};

struct world {
	rp_ms now;
	uint64_t random;
	uint64_t order;
	struct sched *s; /* in office */
	struct world_target targets[WORLD_TARGETS];
	size_t ntargets;
	struct world_event *events;
	struct world_job *jobs[65536];
	size_t njobs;
	struct world_outcomes out;
	rp_ms delay; /* one way to a target */
	int deaf;    /* owners hear nothing of what they are told */
	uint64_t mark;
	int violations;
	char first[256]; /* the first violation */
	int fenced;
	uint64_t starts, moves;
	apr_pool_t *pool;
};

void world_init(struct world *w, uint64_t seed, size_t ntargets,
		const double *speeds, size_t nspeeds);
void world_finish(struct world *w);
/* A scheduler takes office; the one before hears nothing of it. */
void world_lead(struct world *w, struct sched *s,
		const struct sched_policies *policies, uint64_t fence);
/* Targets of one speed, and the first scheduler in office; settled. */
void world_begin(struct world *w, struct sched *s, size_t ntargets);
/* The scheduler's process is gone: its calls on their way are never answered.
 */
void world_drop_calls(struct world *w, const struct sched *s);
double world_uniform(struct world *w);
int world_chance(struct world *w, int percent);
void world_violated(struct world *w, const char *what, const char *task);

#define WORLD_LEASE_MS 1000

/* Calls on their way are not answered: connections end with a process. */
void world_break_calls(struct world *w, const struct world_target *t);

/* --- target.c: each call returns its status as the platform has it ----- */

/* Work goes on and leases pass for so many ms. */
void world_advance(struct world *w, struct world_target *t, rp_ms span);
int world_do_start(struct world *w, struct world_target *t,
		   struct world_event *e, const char **reason);
int world_do_stop(struct world *w, struct world_target *t,
		  struct world_event *e, const char **reason);
int world_do_hold(struct world *w, struct world_target *t,
		  struct world_event *e, const char **reason);

/*
 * Another incarnation under the same id. The platform's list is left for the
 * test to pass on.
 */
void world_reborn(struct world *w, struct world_target *t);

/* --- world.c ----------------------------------------------------------- */

/* A job of so many tasks of so many ms; returns it. */
struct world_job *world_submit(struct world *w, const char *queue, int tasks,
			       double work, double worth, rp_ms deadline);
/* Hands all open jobs to the scheduler in office. */
void world_resubmit(struct world *w);
/* Advances to the time, ticking the scheduler in office. */
void world_run(struct world *w, rp_ms until);

/* The users' mix of short, long and middle jobs, for a span of time. */
void world_play(struct world *w, double load, rp_ms span);

#endif
