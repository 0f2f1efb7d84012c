#ifndef LOAD_H
#define LOAD_H

/*
 * The load generator. It plans jobs from a seed, sends each at its planned time
 * whether or not earlier ones were answered (open loop), and checks the answers
 * against the records of the targets.
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
#define LOAD_CALLS_MAX 8 /* most calls for one job */
#define LOAD_NAME_LEN 64

/* --- load-dist.c: distributions and weighted names -------------------- */

enum load_dist_kind {
	LOAD_DIST_FIXED,
	LOAD_DIST_UNIFORM,
	LOAD_DIST_EXPONENTIAL,
	LOAD_DIST_LOGNORMAL,
};

/* A distribution of task counts or times. */
struct load_dist {
	enum load_dist_kind kind;
	double a; /* fixed value, minimum or mean, by kind */
	double b; /* maximum or sigma, by kind */
};

/* Names to draw from, with relative weights. */
struct load_mix {
	char names[LOAD_NAMES_MAX][LOAD_NAME_LEN];
	double weights[LOAD_NAMES_MAX];
	size_t len;
};

/* Parses "N", "A-B", "exp:MEAN" or "lognorm:MEAN:SIGMA"; -1: malformed. */
int load_dist_parse(struct load_dist *d, const char *text);
double load_dist_draw(const struct load_dist *d, gsl_rng *rng);
/* Adds "NAME" or "NAME:WEIGHT"; -1: malformed, or too many names. */
int load_mix_add(struct load_mix *m, const char *text);
const char *load_mix_draw(const struct load_mix *m, gsl_rng *rng);

/* --- settings --------------------------------------------------------- */

struct load_settings {
	const char *vms[LOAD_VMS_MAX];
	size_t nvms;
	char targets[LOAD_TARGETS_MAX][LOAD_NAME_LEN]; /* IP:PORT, to verify */
	size_t ntargets;
	const char *platform; /* IP:PORT, to report its counts; NULL: none */
	double jobs_per_second;
	double seconds;
	struct load_dist tasks; /* number of tasks of a job */
	struct load_dist task_ms;
	struct load_mix services;
	struct load_mix teams;
	double fastest;		     /* speed factor of the fastest target */
	struct load_dist timeout_ms; /* of a job */
	double own_keys;   /* share of jobs under the caller's own key, 0..1 */
	double resubmit;   /* share of jobs sent twice, 0..1 */
	double requests;   /* share of single requests, 0..1 */
	double idempotent; /* share of idempotent ones among requests, 0..1 */
	struct load_dist resubmit_after_ms;
	/* How long after its planned time a refused or lost call is retried. */
	int64_t retry_for_ms;
	int64_t settle_ms; /* pause before the records are read */
	size_t threads;
	unsigned long seed;
	char run_name[LOAD_NAME_LEN]; /* prefix of task names in the records */
	int json;
};

/* --- load-plan.c: the jobs and their times ---------------------------- */

/* The state of a job according to an answer. */
enum load_state {
	LOAD_NONE, /* no answer yet */
	LOAD_COMPLETE,
	LOAD_FAILED,
	LOAD_NOT_RUN,
	LOAD_REFUSED,
	LOAD_RUNNING,
	LOAD_LOST, /* no answer, or a malformed one */
	LOAD_STATES,
};

/* The outcome of one call for a job. */
struct load_outcome {
	enum load_state state;
	int may_have_run;
	uint64_t digest;	/* hash of the results; 0: none */
	int64_t retry_after_ms; /* 0: not to be retried */
	double longest_task_ms; /* longest task, as measured by its target */
	char error[32];		/* name of the error, or "" */
};

struct load_job {
	int64_t planned_us; /* send time, from the start of the run */
	const char *service;
	const char *team;
	size_t vm;		/* index of the entry VM for the first call */
	size_t resubmit_vm;	/* for the resubmission and retries */
	int64_t resubmit_at_us; /* from the start of the run; 0: never */
	int own_key;		/* under the caller's own key */
	int is_request;
	int idempotent;
	int64_t timeout_ms;
	size_t ntasks;
	float *task_ms;
	uint8_t *nstarts; /* of each task, from the records */
	/* The members below are set by the run. */
	char *key;		/* NULL: not assigned yet */
	int64_t sent_us;	/* first call, from the start of the run */
	int64_t done_us;	/* first final answer, else the last answer */
	double longest_task_ms; /* longest task, as measured by its target */
	enum load_state state;	/* of the first final answer, else the last */
	char error[32];
	struct load_outcome outcomes[LOAD_CALLS_MAX];
	size_t noutcomes;
	size_t ncalls;
	int wrong_results; /* results of an answer do not match the job */
};

struct load_plan {
	struct load_job *jobs;
	size_t njobs;
	size_t ntasks; /* of all jobs */
};

/* Draws all jobs of a run; the same seed and settings give the same plan. */
void load_plan_init(struct load_plan *plan, const struct load_settings *set);
void load_plan_finish(struct load_plan *plan);
/* The longest task of a job at the fastest target: its least response time. */
double load_job_ideal_ms(const struct load_job *job,
			 const struct load_settings *set);
/* Returns the body of the submission as JSON text; the caller frees it. */
char *load_job_body(const struct load_settings *set, const struct load_job *job,
		    size_t number);

/* --- load-http.c: concurrent HTTP calls with libcurl ------------------ */

struct load_loop;

/* A call in flight. The loop frees it after done() has returned. */
struct load_call {
	struct load_loop *loop;
	void (*done)(struct load_call *call);
	CURL *easy;
	struct curl_slist *headers;
	char *body;	      /* of the request, owned; NULL: none */
	char *answer;	      /* the answer, NUL-terminated; NULL: empty */
	size_t len;	      /* of the answer */
	long status;	      /* HTTP status; 0: no answer */
	struct load_job *job; /* NULL: the call asks for keys */
	size_t job_number;    /* index of the job in the plan */
	size_t vm;	      /* index of the entry VM */
	int64_t sent_us;      /* load_now_us() at the start */
};

/* A timer that sends a job when it fires. */
struct load_timer {
	int64_t due_us; /* load_now_us() when it fires */
	struct load_job *job;
	size_t job_number; /* index of the job in the plan */
	size_t vm;
	int is_first; /* the first, planned call of the job */
};

struct load_loop {
	CURLM *multi;
	int epoll;
	int timer;		 /* timerfd */
	int64_t curl_due_us;	 /* end of curl's own timeout; -1: none */
	size_t in_flight;	 /* number of calls */
	struct load_timer *heap; /* binary heap by due time */
	size_t len, cap;	 /* of the heap */
	/* Called for each timer that is due. */
	void (*fire)(struct load_loop *loop, const struct load_timer *t);
	void *owner; /* state for the callbacks fire() and done() */
};

/* Monotonic clock, microseconds. */
int64_t load_now_us(void);
/* Returns 0, or -1 when a descriptor or curl handle cannot be had. */
int load_loop_init(struct load_loop *loop);
void load_loop_finish(struct load_loop *loop);
/* Schedules a timer. */
void load_loop_schedule(struct load_loop *loop, const struct load_timer *t);
/* Runs until no timer and no call in flight is left. */
void load_loop_run(struct load_loop *loop);
/* Starts a call; takes ownership of its body and headers. */
void load_call_start(struct load_loop *loop, struct load_call *call,
		     const char *url, long timeout_ms);
/*
 * Makes a blocking GET call. Returns the body, which the caller frees, or NULL
 * when the answer is not a 200 or, for JSON, is malformed.
 */
json_t *load_get_json(const char *address, const char *path);
char *load_get_text(const char *address, const char *path);

/* --- load-caller.c ---------------------------------------------------- */

/* Sends the jobs of the plan and records the outcomes; returns at the end. */
void load_run(const struct load_settings *set, struct load_plan *plan);

/* --- load-answer.c ---------------------------------------------------- */

/*
 * Parses the answer to a call for a job and checks its results against the
 * job. The JSON of the answer is o; NULL: no JSON.
 */
void load_answer_parse(const struct load_settings *set,
		       const struct load_call *call, json_t *o,
		       struct load_outcome *out);
const char *load_state_name(enum load_state state);

/* --- load-verify.c ---------------------------------------------------- */

/* Counts from the check of all answers against the targets' records. */
struct load_check {
	/* targets whose record was read, or could not be read */
	size_t targets_read, targets_unread;
	size_t run_starts;	       /* starts of tasks of this run */
	size_t started_twice;	       /* tasks that must not be repeated */
	size_t repeated_idempotent;    /* idempotent tasks, allowed */
	size_t complete_without_start; /* complete jobs with a task not run */
	size_t not_run_but_started;    /* jobs answered as not run */
	size_t wrong_answers;	       /* jobs whose results do not match */
	size_t double_starts;  /* refused starts of an id started before */
	size_t answers_differ; /* jobs with final answers that differ */
};

/* Reads the records of the targets and checks every answer against them. */
void load_verify(const struct load_settings *set, struct load_plan *plan,
		 struct load_check *check);
/* Returns the number of violations; a record not read counts as one. */
size_t load_check_violations(const struct load_check *check);

/* --- load-counters.c -------------------------------------------------- */

/* Counters of all processes at one point in time. */
struct load_counters {
	json_t *vms;	  /* sums over the entry VMs */
	json_t *targets;  /* sums over the targets */
	json_t *platform; /* NULL: not asked for, or no answer */
};

void load_counters_read(const struct load_settings *set,
			struct load_counters *c);
void load_counters_finish(struct load_counters *c);
/* Returns the counters that changed and by how much, as a new object. */
json_t *load_counters_diff(json_t *before, json_t *after);

/* --- load-report.c ---------------------------------------------------- */

/* Prints the report of a run to standard output. */
void load_report(const struct load_settings *set, const struct load_plan *plan,
		 const struct load_check *check,
		 const struct load_counters *before,
		 const struct load_counters *after);

#endif
