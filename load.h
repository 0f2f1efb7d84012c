#ifndef LOAD_H
#define LOAD_H

/*
 * The load generator: plans jobs from a seed, sends them at their planned
 * times whatever the answers (open loop), and checks what came back.
 */

#include <curl/curl.h>
#include <gsl/gsl_rng.h>
#include <jansson.h>
#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

#define LOAD_VMS_MAX 64
#define LOAD_TARGETS_MAX 4096
#define LOAD_NAMES_MAX 64
#define LOAD_THREADS_MAX 32
#define LOAD_CALLS_MAX 8 /* calls made for one job */
#define LOAD_NAME_LEN 64

/* --- load-dist.c: distributions and weighted names -------------------- */

enum load_dist_kind {
	LOAD_DIST_FIXED,
	LOAD_DIST_UNIFORM,
	LOAD_DIST_EXPONENTIAL,
	LOAD_DIST_LOGNORMAL,
};

/* A distribution of task counts or service times. */
struct load_dist {
	enum load_dist_kind kind;
	double a; /* value, least, or mean */
	double b; /* greatest, or sigma */
};

/* Names drawn with relative weights. */
struct load_mix {
	char names[LOAD_NAMES_MAX][LOAD_NAME_LEN];
	double weights[LOAD_NAMES_MAX];
	size_t len;
};

/* Reads "N", "A-B", "exp:MEAN" or "lognorm:MEAN:SIGMA"; -1: malformed. */
int load_dist_parse(struct load_dist *d, const char *text);
double load_dist_draw(const struct load_dist *d, gsl_rng *rng);
/* Adds "NAME" or "NAME:WEIGHT"; -1: malformed. */
int load_mix_add(struct load_mix *m, const char *text);
const char *load_mix_draw(const struct load_mix *m, gsl_rng *rng);

/* --- settings --------------------------------------------------------- */

struct load_settings {
	const char *vms[LOAD_VMS_MAX];
	size_t nvms;
	char targets[LOAD_TARGETS_MAX][LOAD_NAME_LEN]; /* to verify */
	size_t ntargets;
	const char *platform; /* whose counts are reported, or NULL */
	double jobs_per_second;
	double seconds;
	struct load_dist tasks;
	struct load_dist task_ms;
	struct load_mix services;
	struct load_mix teams;
	double fastest; /* speed factor of the fastest target */
	int64_t timeout_ms;
	double own_keys; /* shares, 0..1 */
	double resubmit;
	double requests;
	double idempotent; /* of the requests */
	struct load_dist resubmit_after_ms;
	int64_t retry_for_ms; /* come back after refusals for so long */
	int64_t settle_ms;    /* before the records are read */
	size_t threads;
	unsigned long seed;
	char run[LOAD_NAME_LEN]; /* marks this run's tasks in the records */
	int json;
};

/* --- load-plan.c: what is sent and when ------------------------------- */

/* The state of a job as the caller was told. */
enum load_state {
	LOAD_NONE, /* no final answer */
	LOAD_COMPLETE,
	LOAD_FAILED,
	LOAD_NOT_RUN,
	LOAD_REFUSED,
	LOAD_RUNNING,
	LOAD_LOST, /* no answer, or not one that can be read */
	LOAD_STATES,
};

/* What came of one call for a job. */
struct load_outcome {
	enum load_state state;
	int may_have_run;
	uint64_t digest; /* of the results */
	int64_t retry_after_ms;
	double told_ms; /* longest task time as the target told it */
	char error[32];
};

struct load_job {
	int64_t at_us; /* planned send time, from the start of the run */
	const char *service;
	const char *team;
	size_t vm;
	size_t resubmit_vm;
	int64_t resubmit_at_us; /* 0: never */
	int own_key;
	int is_request;
	int idempotent;
	size_t ntasks;
	float *task_ms;
	uint8_t *starts; /* per task, as the records say */
	/* filled in by the run */
	char *key;
	int64_t sent_us;
	int64_t done_us; /* first final answer */
	double told_ms;
	enum load_state state; /* of the first final answer */
	char error[32];
	struct load_outcome outcomes[LOAD_CALLS_MAX];
	size_t noutcomes;
	size_t ncalls;
	int wrong; /* an answer did not match the job */
};

struct load_plan {
	struct load_job *jobs;
	size_t njobs;
	size_t ntasks;
};

void load_plan_init(struct load_plan *plan, const struct load_settings *set);
void load_plan_finish(struct load_plan *plan);
/* The job's longest task at the fastest target: no answer can beat it. */
double load_job_ideal_ms(const struct load_job *job,
			 const struct load_settings *set);
/* The submission's body; free() it. */
char *load_job_body(const struct load_settings *set, const struct load_job *job,
		    size_t number);

/* --- load-http.c: calls in flight over libcurl ------------------------ */

struct load_loop;

/* One call in flight; free()d by the loop after done() returns. */
struct load_call {
	struct load_loop *loop;
	void (*done)(struct load_call *call);
	CURL *easy;
	struct curl_slist *headers;
	char *body; /* owned; NULL: none */
	char *reply;
	size_t len;
	long status; /* 0: no answer */
	struct load_job *job;
	size_t number; /* of the job */
	size_t vm;
	int64_t sent_us;
};

/* Timed work that waits in the loop. */
struct load_timed {
	int64_t at_us;
	struct load_job *job;
	size_t number;
	size_t vm;
	int is_first; /* the planned sending of the job */
};

struct load_loop {
	CURLM *multi;
	int epoll;
	int timer;	     /* timerfd */
	int64_t curl_due_us; /* when curl wants to be called; -1: never */
	size_t in_flight;
	struct load_timed *heap;
	size_t len, cap;
	void (*fire)(struct load_loop *loop, const struct load_timed *t);
	void *owner;
};

int64_t load_now_us(void);
int load_loop_init(struct load_loop *loop);
void load_loop_finish(struct load_loop *loop);
void load_loop_at(struct load_loop *loop, const struct load_timed *t);
/* Runs until no timed work and no call is left. */
void load_loop_run(struct load_loop *loop);
/* Starts a call; takes over body and headers. */
void load_call_start(struct load_loop *loop, struct load_call *call,
		     const char *url, long timeout_ms);
/* A blocking GET; returns the JSON or NULL. */
json_t *load_get_json(const char *address, const char *path);
char *load_get_text(const char *address, const char *path);

/* --- load-caller.c ---------------------------------------------------- */

/* Carries out the plan with the given threads. */
void load_run(const struct load_settings *set, struct load_plan *plan);

/* --- load-answer.c ---------------------------------------------------- */

/*
 * Reads the answer to a call for a job and checks its results against the
 * job; o is its JSON, or NULL.
 */
void load_answer_read(const struct load_settings *set,
		      const struct load_call *call, json_t *o,
		      struct load_outcome *out);
const char *load_state_name(enum load_state state);

/* --- load-verify.c ---------------------------------------------------- */

/* What the records of the targets say. */
struct load_verdict {
	size_t targets_read, targets_unread;
	size_t own_starts;	    /* of this run's tasks */
	size_t started_twice;	    /* tasks that must not be */
	size_t repeated_idempotent; /* allowed repeats */
	size_t complete_without_start;
	size_t not_run_but_started;
	size_t wrong_answers;
	size_t double_starts; /* of one id at one target */
	size_t answers_differ;
};

/* Reads the records and checks every answer against them. */
void load_verify(const struct load_settings *set, struct load_plan *plan,
		 struct load_verdict *v);
/* The number of promises that were broken. */
size_t load_verdict_faults(const struct load_verdict *v);

/* --- load-counters.c -------------------------------------------------- */

/* Sums of the counters of all parts, at one point in time. */
struct load_counters {
	json_t *vms;
	json_t *targets;
	json_t *platform; /* NULL: none was named */
};

void load_counters_read(const struct load_settings *set,
			struct load_counters *c);
void load_counters_finish(struct load_counters *c);
/* What has grown between two readings, as a new object. */
json_t *load_counters_grown(json_t *before, json_t *after);

/* --- load-report.c ---------------------------------------------------- */

void load_report(const struct load_settings *set, const struct load_plan *plan,
		 const struct load_verdict *v,
		 const struct load_counters *before,
		 const struct load_counters *after);

#endif
