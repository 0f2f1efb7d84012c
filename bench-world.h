#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

/*
 * One kernel among fake targets on a fake clock, for the bench programs.
 * Times are ms as double; the kernel gets whole ms.
 */

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>

#include <apr_hash.h>

#include "rosemary.h"

#define BENCH_TEAMS 4

enum bench_fault {
	BENCH_NONE,
	BENCH_SLOW,   /* a fast target runs ten times slower */
	BENCH_FAILS,  /* a target fails all at once */
	BENCH_HANGS,  /* a target never ends what it started */
	BENCH_FLAPS,  /* a target fails all, every other three seconds */
	BENCH_DEAD,   /* a target is gone; the list tells two seconds later */
	BENCH_SILENT, /* one reply in fifty is lost on the way */
	BENCH_ALL,    /* every target fails a third of its tasks */
	BENCH_FAULTS,
};

/* What a deployment looks like. */
struct bench_site {
	const char *name;
	int domains;
	double between_ms; /* one way, between failure domains */
	double caller_ms;  /* one way, to callers */
	int targets, slots;
};

/* The policies under test. */
struct bench_policies {
	const char *name, *route, *queue, *admit, *health, *retry;
};

struct bench_setup {
	const struct bench_site *site;
	const struct bench_policies *policies;
	enum bench_fault fault;
	uint64_t seed;
	double load;  /* offered work over capacity */
	double burst; /* factor on the load during the burst */
	double burst_from, burst_to;
	double length; /* arrivals stop then, ms */
	double warmup; /* jobs before that are not counted, ms */
	double fault_from, fault_to;
	rp_ms timeout;	 /* of each job */
	double requests; /* share of jobs that are idempotent requests */
};

struct bench_job {
	double at;    /* reaches the entry VM */
	double end;   /* answered; 0: not yet */
	double ideal; /* span in the clairvoyant schedule */
	double lone;  /* span when alone */
	size_t ntasks;
	double *work; /* of each task at speed 1, ms */
	int team;
	int idempotent;
	enum rp_state state;
	enum rp_code code;
};

struct bench_target {
	double factor; /* run time at speed 1 is multiplied by this */
	int domain;
	int running;
};

struct bench_result {
	size_t jobs, complete, failed, not_run;
	size_t tasks_in_time; /* of complete jobs */
	uint64_t starts, lookups, voids, stops, resends, violations;
	size_t tasks_started; /* at least once */
	size_t lost;	      /* tasks that failed or hung on a bad target */
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
	struct bench_event *events; /* a heap by time */
	size_t nevents, cap_events;
	uint64_t next_event;
	struct bench_send *sends;
	size_t nsends, cap_sends;
	apr_pool_t *pool;
	apr_hash_t *by_start;
	char (*keys)[RP_KEY_MAX];
	size_t nkeys;
	double now;
	double capacity; /* tasks per ms at speed 1 and mean work */
	struct bench_result result;
};

void bench_init(struct bench_world *w, const struct bench_setup *setup);
void bench_run(struct bench_world *w);
void bench_finish(struct bench_world *w);
/* One way from the entry VM to the target, ms. */
double bench_latency(const struct bench_world *w, int target);
/* Fills in the jobs' ideal and lone spans. */
void bench_ideal(struct bench_world *w);

#endif
