#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

/*
 * A simulation of one kernel with fake targets and callers, for the benches.
 * Logical time starts at 0 and is in ms, as a double; the kernel gets whole ms.
 */

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>

#include <apr_hash.h>

#include "rosemary.h"

#define BENCH_TEAMS 4

enum bench_fault {
	BENCH_NONE,
	BENCH_SLOW,  /* the fastest target takes ten times as long */
	BENCH_FAILS, /* the fastest target fails each task at once */
	BENCH_HANGS, /* the fastest target never ends a task */
	BENCH_FLAPS, /* like BENCH_FAILS, every other 3 s */
	BENCH_DEAD,  /* the fastest target dies; 2 s until it is off the list */
	BENCH_SILENT, /* one reply in fifty is lost, from all targets */
	BENCH_ALL,    /* each target fails a third of its tasks */
	BENCH_FAULT_COUNT,
};

/* A simulated deployment. */
struct bench_deployment {
	const char *name;
	int domains;
	double inter_domain_ms;	  /* one way, between failure domains */
	double caller_latency_ms; /* one way, to callers */
	int targets, slots;	  /* slots of each target */
};

/* Names of the policies under test. */
struct bench_policies {
	const char *name, *route, *queue, *admit, *health, *retry;
};

/* The parameters of one run. */
struct bench_setup {
	const struct bench_deployment *deployment;
	const struct bench_policies *policies;
	enum bench_fault fault;
	uint64_t seed;
	double load;	     /* offered work divided by capacity */
	double burst_factor; /* multiplies the load during the burst */
	double burst_from_ms, burst_until_ms;
	double length_ms; /* jobs arrive until then */
	double warmup_ms; /* jobs that arrive before are not counted */
	double fault_from_ms, fault_until_ms;
	rp_ms timeout; /* of each job */
	/* Fraction of the jobs that are idempotent requests of one task. */
	double request_share;
};

/* A job; times are in ms since the start of the simulation. */
struct bench_job {
	double arrived_at;     /* at the entry VM */
	double answered_at;    /* at the entry VM; 0: not answered yet */
	double ideal_ms;       /* response time in the ideal schedule */
	double ideal_alone_ms; /* the same without any other job */
	size_t ntasks;
	double *work_ms; /* run time of each task at speed 1 */
	int team;
	int idempotent;
	enum rp_state state;
	enum rp_code code;
};

struct bench_target {
	double run_time_factor; /* multiplies run times at speed 1 */
	int domain;
	int running;
};

/* Counts of a run; those of jobs exclude the warm-up. */
struct bench_result {
	size_t jobs, complete, failed, not_run;
	size_t tasks_in_time; /* tasks of the complete jobs */
	uint64_t starts, lookups, voids, stops, resends, violations;
	size_t tasks_started; /* at least once */
	size_t failed_starts; /* failed or hung because of the fault */
};

struct bench_world {
	const struct bench_setup *setup;
	gsl_rng *rng;
	struct rp_kernel *kernel;
	struct rp_options opt;
	struct rp_actions acts;
	struct rp_vm *vms;
	struct bench_target *targets;
	struct bench_job *jobs;
	size_t njobs;
	struct bench_event *events; /* binary heap by time */
	size_t nevents, cap_events;
	uint64_t next_event; /* seq of the next event */
	struct bench_send *sends;
	size_t nsends, cap_sends;
	apr_pool_t *pool;
	apr_hash_t *sends_by_start_id; /* index in sends, plus 1 */
	char (*keys)[RP_KEY_MAX];
	size_t nkeys;	 /* keys not used yet */
	double now_ms;	 /* logical time */
	double capacity; /* of all targets, tasks of mean work per ms */
	struct bench_result result;
};

/* Sets up the targets, draws all jobs and starts the kernel. */
void bench_init(struct bench_world *w, const struct bench_setup *setup);
/* Simulates until no event is left and counts the results. */
void bench_run(struct bench_world *w);
void bench_finish(struct bench_world *w);
/* Latency from the entry VM to the target, one way, in ms. */
double bench_latency(const struct bench_world *w, int target);
/* Computes ideal_ms and ideal_alone_ms of all jobs. */
void bench_compute_ideal(struct bench_world *w);

#endif
