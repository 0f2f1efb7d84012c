#ifndef WORLD_H
#define WORLD_H

/*
 * Simulation of targets and callers in logical time, around one scheduler or
 * several in turn. It checks invariants at the targets: no capacity exceeded,
 * no task running twice, none started after it was done. Targets refuse calls
 * with a lower fencing token than they have seen.
 */

#include "sched-int.h"

#define WORLD_TARGETS 64
#define WORLD_RUNS 16
#define WORLD_ENDS 1024
#define WORLD_ENDS_PER_REPLY 500

/* Calls to targets, and their replies. */
enum {
	WORLD_START,
	WORLD_STOP,
	WORLD_HOLD,
	WORLD_CALLS,
	WORLD_START_REPLY = WORLD_CALLS,
	WORLD_STOP_REPLY,
	WORLD_HOLD_REPLY,
};

/* Calls of one kind that get no reply and are carried out late. */
struct world_late {
	int percent;	/* share of the calls */
	rp_ms min, max; /* delay after the arrival */
	int copied;	/* a copy of the call has a reply */
};

struct world;
struct world_job;

struct world_run {
	struct world_job *job; /* the submission that it belongs to */
	char task[SCHED_TASK_NAME_MAX];
	uint32_t run;
	struct sched_resources need;
	double work; /* ms at speed 1 */
	double done; /* part of the work, ms at speed 1 */
	rp_ms started;
	int fails; /* will fail at its end */
};

struct world_end {
	struct world_job *job; /* NULL: the run was never started */
	uint64_t number;
	char task[SCHED_TASK_NAME_MAX];
	uint32_t run;
	enum sched_end_how how;
	rp_ms at;
	int lapsed; /* the lease was over before it was acknowledged */
};

struct world_target {
	struct sched_listing listing;
	double speed;
	double slowdown;	     /* injected factor on run times; 1: none */
	int unresponsive;	     /* gives no replies; its runs go on */
	const struct sched *cut_off; /* that scheduler's calls are lost */
	/* It gives no replies until then, as it restarts. */
	rp_ms unresponsive_until;
	int fail_percent;  /* share of runs that fail */
	rp_ms fail_after;  /* ms until a run fails; 0: at its end */
	int stalled;	   /* runs make no progress */
	int lose_percent;  /* share of replies that are lost */
	double clock_rate; /* of its clock; 1: exact */
	rp_ms clock_start;
	rp_ms start_delay; /* additional delay of start calls */
	/* The same of replies to holds, which those to starts overtake. */
	rp_ms list_delay;
	struct world_late late[WORLD_CALLS];
	uint64_t fence; /* highest fencing token seen */
	rp_ms lease_until;
	struct world_run runs[WORLD_RUNS];
	size_t nruns;
	struct world_end ends[WORLD_ENDS];
	size_t nends;
	uint64_t last_end; /* number of the latest end */
	/* Task -> number of its run that was stopped or ended here last. */
	apr_hash_t *last_runs;
	/* A run will crash it then; 0: none. */
	rp_ms crash_at;
	/* It has crashed, and is back then under a new id; 0: it is up. */
	rp_ms back_at;
	char prev_id[RP_NAME_MAX]; /* before the latest crash; "": none */
	rp_ms unlisted_at;	   /* the list loses prev_id then; 0: it has */
};

/* A call in flight, or its reply. */
struct world_event {
	rp_ms at;      /* when it arrives */
	rp_ms sent_at; /* when the call was sent */
	uint64_t order;
	int kind;
	struct sched *sched; /* the caller */
	struct world_target *target;
	char id[RP_NAME_MAX]; /* of the target that is called */
	char task[SCHED_TASK_NAME_MAX];
	uint32_t run;
	uint64_t fence;
	uint64_t acked_end; /* ends up to it are acknowledged; reply: status */
	int64_t until;	    /* end of the lease; reply: refused as fenced */
	rp_ms wait_until;   /* a hold call waits for an end until then */
	struct sched_resources need;
	double work;
	int lost;    /* the reply is lost */
	int copied;  /* it is late, and the reply is to a copy of it */
	int waits;   /* a hold call that was carried out, but for its reply */
	int late;    /* the caller has given up; it is carried out now */
	int blocked; /* it arrives late, once its path is back */
	int resent;  /* it was sent again, as it had no reply */
	const void *from; /* who calls, if several do */
	uint64_t seq;	  /* of a call for another; its caller gets the reply */
	uint64_t link;	  /* over which it was asked for */
	/* Of a reply, as the target is when it carries the call out, if so. */
	int listed;
	int64_t clock, incarnation;
	struct world_run *runs;
	struct world_end *ends;
	size_t nruns, nends;
	struct world_event *next;
};

struct world_outcomes {
	int jobs, on_time, late, rejected, incomplete, failed;
	double value;	     /* earned: in full on time, a fifth if late */
	double max_value;    /* of all jobs */
	int late_rejections; /* after a quarter of the objective's time */
};

struct world_job {
	struct world *w;
	uint64_t seq;
	PoolSubmit *sub;
	uint64_t fence; /* of the scheduler that it was submitted to last */
	rp_ms arrived_at;
	rp_ms deadline;		     /* the caller's, ms from its arrival */
	rp_ms objective, late_until; /* ms from its arrival */
	double *task_work;	     /* of each task, ms at speed 1 */
	double value;		     /* of an answer on time */
	int answered;
	PoolAnswer__Outcome outcome;
	int started; /* a target started one of its tasks */
	int on_time; /* answered on time */
	rp_ms answered_at;
	int long_tail;	     /* it takes far longer than estimated */
	uint8_t *done_acked; /* for each task: its success was acknowledged */
	rp_ms *started_at;   /* of each task, its latest start; 0: none */
	int deadly;	     /* task 0 crashes each target that starts it */
	int resent;	     /* its caller has sent it again: it may run anew */
	int crashes;	     /* targets that its task 0 has crashed */
	int starts_after;    /* of task 0, after three crashes */
};

/* A message to the owner of a job that is acknowledged later. */
struct world_told {
	struct world_told *next;
	rp_ms at;
	struct sched *sched;
	struct world_job *owner;
	uint64_t mark;
};

struct world {
	rp_ms now;
	uint64_t random;     /* state of the generator */
	uint64_t order;	     /* of the next event */
	struct sched *sched; /* the scheduler that leads */
	struct world_target targets[WORLD_TARGETS];
	size_t ntargets;
	struct world_event *events; /* by time of arrival */
	struct world_job *jobs[65536];
	size_t njobs;
	struct world_outcomes outcomes;
	rp_ms delay;	   /* one way to a target, ms */
	int lose_messages; /* messages to owners are lost */
	int late_leases;   /* a lease counts from the arrival of a late call */
	uint64_t mark;	   /* of the latest message that was lost, or late */
	/* Time after which owners acknowledge failure domains; 0: at once. */
	rp_ms ack_delay;
	struct world_told *told, **told_tail;
	int owners_start; /* owners keep specifications, and start the tasks */
	/* Owners are of a release that does not presume failure domains. */
	int owners_need_domains;
	/* Deadline of the jobs of the generated load, ms; 0: 1500. */
	rp_ms load_deadline;
	int violations;
	char first_violation[256];
	int fenced; /* calls refused as fenced */
	uint64_t starts, moves;
	int stored;	      /* submitted jobs are stored */
	int crashes;	      /* of targets */
	rp_ms crash_delay;    /* from the start of a deadly task to the crash */
	rp_ms down;	      /* time until a crashed target is back */
	int same_id;	      /* crashed targets are back under their old id */
	double task_cpu;      /* mean CPU of a task, thousandths of a core */
	const char *rack;     /* of the data of submitted jobs; NULL: none */
	double remote_factor; /* on the work away from the rack; 0: 1 */
	uint64_t starts_on_rack; /* of the tasks of such jobs */
	int priorities;		 /* queues have different ones */
	double tail; /* share of generated jobs that are far longer */
	/*
	 * Several schedulers run at once. The test advances them and gets their
	 * messages: world_step() calls none of them but for replies.
	 */
	int several;
	const void *calling; /* whose calls are made now, if several call */
	/* Whether the call reaches its target; NULL: cut_off. */
	int (*reaches)(struct world *w, const struct world_event *e);
	/* Replies are delivered to the caller no earlier; NULL: at once. */
	rp_ms (*replies_at)(struct world *w, const struct world_event *e);
	/* The reply to a call with a number. */
	void (*replied)(struct world *w, const struct world_event *e,
			const struct sched_target_reply *reply);
	/*
	 * A success that is acknowledged after a lapse of the lease does not
	 * count as taken note of.
	 */
	int lapses_count;
	int keep_blocked; /* share of calls that wait for their path */
	rp_ms jitter;	  /* added to the delay of a call at random, most */
	int keep_late;	  /* a restarted target carries out late calls, too */
	int new_clocks;	  /* clocks of restarted targets start anew */
	int resends;	  /* share of calls to them that are sent again */
	apr_pool_t *pool;
};

void world_init(struct world *w, uint64_t seed, size_t ntargets,
		const double *speeds, size_t nspeeds);
void world_finish(struct world *w);
/* Starts a scheduler as the leader; the one before is not notified. */
void world_start_sched(struct world *w, struct sched *s,
		       const struct sched_policies *policies, uint64_t fence);
/* Sets up targets of speed 1 and a first scheduler that holds them. */
void world_begin(struct world *w, struct sched *s, size_t ntargets);
/* Returns a random number, uniform from 0 up to but not including 1. */
double world_uniform(struct world *w);
/* Returns 1 in the given percentage of calls, at random. */
int world_chance(struct world *w, int percent);
/* Records a violated invariant. */
void world_violated(struct world *w, const char *what, const char *task);

/* Longest lease that targets grant. */
#define WORLD_LEASE_MS 1000

/* --- call.c ------------------------------------------------------------ */

/* Operations of schedulers: calls to the targets. */
void world_call_start(struct sched *s, struct sched_target *t,
		      struct sched_task *task, int64_t until);
void world_call_stop(struct sched *s, struct sched_target *t,
		     struct rp_str task, uint32_t run);
void world_call_hold(struct sched *s, struct sched_target *t, int64_t until,
		     uint64_t acked_end, rp_ms wait);
/* Delivers the calls and replies that have arrived. */
void world_deliver(struct world *w);
/* A reply as a scheduler gets it. */
struct world_reply {
	struct sched_target_reply reply;
	struct sched_run runs[WORLD_RUNS];
	struct sched_end ends[WORLD_ENDS];
};

/* The result points to the event. */
void world_read_reply(const struct world_event *e, struct world_reply *r);
/* Copies the event with its lists, which the copy owns. */
void world_copy_reply(struct world_event *to, const struct world_event *from);
struct world_target *world_find_target(struct world *w,
				       const struct sched_target *t);
/* Makes a call like this one, which is copied, to the target of that id. */
void world_call(struct world *w, const struct world_event *call);
/* Drops the scheduler's calls in flight, as its process has ended. */
void world_drop_calls(struct world *w, const struct sched *s);
/* The scheduler has ended; its calls in flight are carried out. */
void world_end_calls(struct world *w, const struct sched *s);
/* Calls in flight get no reply: the target's process has ended. */
void world_fail_calls(struct world *w, const struct world_target *t);

/* --- target.c: calls return the HTTP status of the reply --------------- */

/* Returns the target's clock, ms. Its leases are in this time. */
rp_ms world_target_clock(const struct world *w, const struct world_target *t);
/* Advances runs and leases by span ms. */
void world_target_advance(struct world *w, struct world_target *t, rp_ms span);
int world_target_start(struct world *w, struct world_target *t,
		       struct world_event *e, const char **reason);
int world_target_stop(struct world *w, struct world_target *t,
		      struct world_event *e, const char **reason);
int world_target_hold(struct world *w, struct world_target *t,
		      struct world_event *e, const char **reason);

/* The target crashes and is back under another id after the world's time. */
void world_target_crash(struct world *w, struct world_target *t);
/* Lists targets that are back after a crash, and removes their old entries. */
void world_list_crashed(struct world *w);

/*
 * Restarts the target in another incarnation. The test itself passes the new
 * entry of the platform's list to the scheduler.
 */
void world_target_restart(struct world *w, struct world_target *t);

/* --- world.c ----------------------------------------------------------- */

/* What schedulers call; jobs have a struct world_job as their owner. */
extern const struct sched_ops world_ops;

/* Creates a job, as world_submit() does, and submits it to nobody. */
struct world_job *world_job_new(struct world *w, const char *queue, int tasks,
				double work, double value, rp_ms deadline);
/* Advances calls, replies and targets by 1 ms. */
void world_step(struct world *w);

/* Submits a job of tasks with a mean work in ms; deadline is in ms from now. */
struct world_job *world_submit(struct world *w, const char *queue, int tasks,
			       double work, double value, rp_ms deadline);
/* Submits the job as its submission has it to the scheduler that leads. */
void world_submit_job(struct world *w, struct world_job *job);
/* Submits all open jobs to the scheduler that leads. */
void world_resubmit(struct world *w);
/* Advances to the time, ticking the scheduler that leads. */
void world_run_until(struct world *w, rp_ms until);

/*
 * Submits a mix of short, medium and long jobs for span ms, at load times the
 * mean rate.
 */
void world_generate_load(struct world *w, double load, rp_ms span);

#endif
