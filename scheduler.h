#ifndef SCHEDULER_H
#define SCHEDULER_H

/*
 * The scheduler of a pool of targets. Does no I/O: the owner passes in what
 * happened and the time, and is told through struct sched_ops what to send.
 *
 * A target is held by one scheduler at a time, told apart by fencing tokens.
 * It runs tasks under one lease, which every hold call renews, and numbers
 * the ends of runs; an end is acknowledged by the next hold call.
 */

#include "rosemary-int.h"
#include "pool.pb-c.h"

#define SCHED_ID_MAX 24	   /* bytes in a job's id, with the NUL */
#define SCHED_TASK_NAME 56 /* bytes in "ID.0.STEP.INDEX", with the NUL */
#define SCHED_STEPS_MAX 64 /* bits in PoolStep.after */
#define SCHED_TASKS_MAX 4096
#define SCHED_LABELS_MAX 4

/* Variance of log(run time) among the tasks of one job. */
#define SCHED_TASK_VAR 0.03

/* Run numbers of one scheduler; a later one's are above all of them. */
#define SCHED_RUNS_PER_TOKEN 64

struct sched;
struct sched_job;
struct sched_target;

struct sched_vector {
	int64_t cpu;	/* thousandths of a core */
	int64_t memory; /* MB */
	int64_t accelerators;
};

enum sched_task_state {
	SCHED_WAITING,
	SCHED_STARTING, /* the start's reply is awaited */
	SCHED_RUNNING,
	SCHED_STOPPING, /* until its end is listed or the lease is over */
	SCHED_DONE,
};

struct sched_task {
	struct sched_job *job;
	char name[SCHED_TASK_NAME];
	uint8_t state; /* enum sched_task_state */
	uint8_t stop_sent;
	uint8_t moves; /* times it was stopped to run elsewhere */
	uint16_t failures;
	uint32_t step;
	uint32_t run;
	/* The rest only while a target may run it. */
	struct sched_target *target;
	/* Where it failed or was moved from; compared only, it may be freed. */
	const struct sched_target *avoid;
	struct sched_task *next, **prev; /* on the target */
	rp_ms sent_at;
	rp_ms settled_at; /* the latest start or stop was answered; 0: not yet
			   */
	double expected;  /* run time predicted at the start, ms */
	int observed;	  /* its run time was learned from */
	int percent;	  /* done, at the latest look */
	rp_ms looked_at;
};

struct sched_step {
	struct sched_vector need;
	uint64_t after;
	uint32_t first, ntasks; /* in the job's tasks */
	uint32_t left;		/* not done */
	uint32_t spread;
	char label[RP_NAME_MAX], rack[RP_NAME_MAX];
	double work; /* predicted run time at speed 1, ms */
};

/* What is known of one queue's jobs. */
struct sched_queue {
	char name[RP_NAME_MAX];
	double log_work;  /* mean log of the run time at speed 1 */
	double log_bias;  /* mean log of run time over the caller's guess */
	uint64_t jobs;	  /* that these were learned from */
	uint32_t waiting; /* jobs with no task started */
};

/* The targets of one service together. */
struct sched_service {
	char name[RP_NAME_MAX];
	/* Over those that are open, as of then. */
	rp_ms summed_at;
	int any;
	double fastest;		  /* least run time against speed 1 */
	double rate;		  /* work in a ms, thousandths of a core */
	double used, room;	  /* thousandths of a core */
	struct sched_vector most; /* of each, that any has */
	/* In this turn of sched_pump() no target has room for so much. */
	uint64_t full_turn;
	struct sched_vector full_for;
};

/* What is remembered of a job's id for a while after the job. */
struct sched_past {
	struct sched_past *next; /* the one that came after */
	rp_ms at;
	char id[SCHED_ID_MAX];
	uint64_t digest; /* of its specification */
	uint32_t run;	 /* next run number */
	size_t ntasks;
	uint8_t done[]; /* of each task */
};

struct sched_job {
	struct sched *s;
	struct sched_job *next, *prev; /* in s->jobs, by latest start */
	void *owner;		       /* who is answered; NULL: nobody */
	uint64_t seq;
	char id[SCHED_ID_MAX];
	struct sched_queue *queue;
	struct sched_service *service;
	struct rp_str specification;
	uint32_t priority, max_attempts;
	uint32_t run;	    /* of the next start of any of its tasks */
	uint32_t run_least; /* lower ones are of earlier submissions */
	double stretch;
	rp_ms extra;
	rp_ms arrived;	    /* at the entry VM */
	rp_ms submitted;    /* to this scheduler */
	rp_ms deadline;	    /* the caller leaves */
	rp_ms objective;    /* predicted */
	rp_ms on_time;	    /* objective or deadline */
	rp_ms latest_start; /* for an end on time */
	rp_ms key;	    /* its place in the queue */
	rp_ms useful_until;
	rp_ms first_start; /* 0: nothing has been started */
	double log_guess;  /* mean log of the caller's guesses */
	double work_var;   /* variance of log(steps' work) */
	/* The run that ended last, for the log. */
	char last_target[RP_NAME_MAX];
	rp_ms last_sent;
	double last_expected;
	uint32_t retries;
	const struct sched_target *avoid; /* of the task being placed */
	int stored; /* kept in the store: no deadline, not rejected */
	int answered;
	int queued_late; /* its turn came after its latest start */
	int again;	 /* another submission of its id may still run */
	/* The scheduler with this token may have started tasks; 0: none. */
	uint64_t former;
	size_t ntasks, ndone, nplaced, nwaiting;
	struct sched_step *steps;
	size_t nsteps;
	struct sched_task *tasks;
};

enum sched_target_state {
	SCHED_UNHELD, /* not yet asked */
	SCHED_TAKING, /* the first hold call is on its way */
	SCHED_HELD,
	SCHED_FENCED, /* another scheduler holds it */
};

/* What the platform's list says of a target. */
struct sched_listing {
	char id[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	char service[RP_NAME_MAX];
	char failure_domain[RP_NAME_MAX];
	char labels[SCHED_LABELS_MAX][RP_NAME_MAX];
	size_t nlabels;
	int64_t born; /* tells two lives under one id apart */
	int ready;    /* takes new work */
	struct sched_vector capacity;
};

enum sched_end_how {
	SCHED_END_DONE,
	SCHED_END_FAILED,
	SCHED_END_STOPPED, /* and all other ways in which it did not end */
};

/* An end of which its job's owner may not have been told. */
struct sched_told {
	uint64_t number;
	void *owner;   /* NULL: the job is not known yet */
	uint64_t mark; /* of the message that tells it */
};

/* What a former scheduler left on a target. */
struct sched_orphan {
	char name[SCHED_TASK_NAME];
	uint32_t run;
	uint64_t number; /* of its end; 0: it runs */
	enum sched_end_how how;
};

struct sched_target {
	struct sched *s;
	void *user; /* the owner's */
	struct sched_service *service;
	struct sched_listing is;
	enum sched_target_state state;
	size_t index; /* in s->targets */
	int listed;
	struct sched_vector used;
	struct sched_task *runs;
	size_t nruns;
	int64_t clock;	/* the target's, ms */
	rp_ms clock_at; /* when it was read */
	uint64_t ends_seen, ends_acked;
	int64_t life;  /* the incarnation that all this is known of */
	rp_ms life_at; /* when it was heard of */
	rp_ms held_at; /* a hold call was last carried out */
	struct sched_told *told;
	size_t ntold, cap_told;
	int holding; /* a hold call is on its way */
	rp_ms hold_sent_at;
	rp_ms hold_retry_at;
	rp_ms lease_over; /* nothing started before runs on after this */
	rp_ms answered_at;
	unsigned unanswered; /* calls in a row */
	double slow;	     /* run time against speed 1 */
	double log_slow;     /* its log */
	double slow_var;     /* variance of it */
	double log_base;     /* what it was before it changed suddenly */
	rp_ms slow_at;	     /* it was last observed */
	double failing;	     /* share of ends that failed, of late */
	rp_ms paused_until;
	rp_ms pause;
	/* Runs in its latest list that are none of this scheduler's. */
	size_t foreign;
	int taken; /* its first list was read: only this scheduler starts there
		    */
	rp_ms adopt_until; /* orphans are kept for jobs that are handed over */
	struct sched_orphan *orphans;
	size_t norphans, cap_orphans;
};

struct sched_run {
	struct rp_str task;
	uint32_t run;
	int percent;
};

struct sched_end {
	uint64_t number;
	struct rp_str task;
	uint32_t run;
	enum sched_end_how how;
};

enum sched_reply {
	SCHED_REPLY_OK,
	SCHED_REPLY_FENCED,  /* a higher fencing token was seen there */
	SCHED_REPLY_REFUSED, /* it has done nothing */
	SCHED_REPLY_REBORN,  /* another incarnation answered */
	SCHED_REPLY_UNKNOWN, /* it may have been done, or may be later */
};

/* What a target said; clock is 0 where it said none. */
struct sched_look {
	enum sched_reply reply;
	const char *reason;
	rp_ms sent_at; /* when the call was made */
	int64_t born;  /* the incarnation that answered; 0: not said */
	int64_t clock;
	const struct sched_run *runs;
	size_t nruns;
	const struct sched_end *ends;
	size_t nends;
};

/* What the owner does for the scheduler. */
struct sched_ops {
	void (*start)(struct sched *s, struct sched_target *t,
		      struct sched_task *task, int64_t until);
	void (*stop)(struct sched *s, struct sched_target *t,
		     struct rp_str task, uint32_t run);
	/* until 0: does not touch the lease. */
	void (*hold)(struct sched *s, struct sched_target *t, int64_t until,
		     uint64_t seen, rp_ms wait);
	/*
	 * Both return the mark of the message, for sched_heard(), or 0 where
	 * the owner has it at once.
	 */
	uint64_t (*answer)(struct sched *s, struct sched_job *job,
			   const PoolAnswer *answer);
	/* A target is held by another: this scheduler must give up. */
	void (*fenced)(struct sched *s, struct sched_target *t);
	void (*forget)(struct sched *s, struct sched_target *t);
	/* The task ended well, or failed and its job is stored. */
	uint64_t (*progress)(struct sched *s, struct sched_job *job,
			     const struct sched_task *task);
	/* A decision or a change of belief, for the log. task may be NULL. */
	void (*note)(struct sched *s, const char *what,
		     const struct sched_target *t,
		     const struct sched_task *task, const char *why);
};

struct sched_counters {
	uint64_t jobs, completed, failed, rejected, cancelled;
	uint64_t starts, ends, retries, hedges, lapses, orphans, adopted, holds;
};

/* --- policies, each chosen by name ------------------------------------ */

/* Which job's tasks are started next: the one with the least key. */
struct sched_order_ops {
	struct rp_plugin plugin;
	rp_ms (*key)(const struct sched_job *job);
	/* Whether the job goes behind all that do not. */
	int (*behind)(const struct sched_job *job, rp_ms now);
};

/* Whether a job is accepted; if not, why, and when to come back. */
struct sched_admit_ops {
	struct rp_plugin plugin;
	int (*admit)(struct sched *s, const struct sched_job *job,
		     const char **reason, rp_ms *retry_after);
};

/* Which target runs a task; NULL: it waits. */
struct sched_place_ops {
	struct rp_plugin plugin;
	struct sched_target *(*place)(struct sched *s,
				      const struct sched_job *job,
				      const struct sched_step *step);
};

/* What becomes of runs that fall behind; called at each tick. */
struct sched_move_ops {
	struct rp_plugin plugin;
	void (*judge)(struct sched *s);
};

/* Names of policies; NULL: the default. */
struct sched_policies {
	const char *order; /* latest-start, or fifo */
	const char *admit; /* on-time, or all */
	const char *place; /* slowest-on-time, or roomiest */
	const char *move;  /* progress, or none */
};

struct sched {
	const struct sched_ops *ops;
	const struct sched_order_ops *order;
	const struct sched_admit_ops *admit;
	const struct sched_place_ops *place;
	const struct sched_move_ops *move;
	void *user;
	uint64_t fence;	    /* as lead.h has it */
	uint32_t first_run; /* least run number of this scheduler */
	rp_ms hold_most;    /* longest lease that targets grant */
	rp_ms now;
	rp_ms since;	 /* it came into office */
	int listed;	 /* the whole list of targets was read */
	int jobs_read;	 /* all stored jobs were passed in */
	int stored_held; /* nothing of stored jobs runs or starts */
	/* The former scheduler may hold targets that the list leaves out. */
	int former_hidden;
	apr_pool_t *pool;
	apr_hash_t *queues;   /* name -> struct sched_queue */
	apr_hash_t *by_id;    /* id -> struct sched_target */
	apr_hash_t *services; /* name -> struct sched_service */
	apr_hash_t *open;     /* job id -> struct sched_job, not answered */
	uint64_t turn;	      /* of sched_pump() */
	struct sched_target **targets;
	size_t ntargets, cap_targets;
	apr_hash_t *past; /* job id -> its latest struct sched_past */
	struct sched_past *past_first, **past_last;
	struct sched_job *jobs;
	struct sched_job *closed; /* answered; runs are being stopped */
	size_t njobs;
	struct sched_counters count;
	rp_ms decayed_at, hedged_at;
	/* Share of the targets' room that accepted work may count on. */
	double fill;
	int pumping;
};

/* Returns -1 when there is no policy of a name. policies NULL: defaults. */
int sched_init(struct sched *s, const struct sched_ops *ops, void *user,
	       const struct sched_policies *policies, uint64_t fence,
	       rp_ms hold_most, rp_ms now);
/*
 * The same scheduler goes on under a higher token: it takes again the targets
 * that another one held meanwhile.
 */
void sched_raise(struct sched *s, uint64_t fence, rp_ms now);
/* Forgets everything without a word to anyone. */
void sched_finish(struct sched *s);

/* --- events --------------------------------------------------------- */

void sched_submit(struct sched *s, void *owner, const PoolSubmit *sub,
		  rp_ms now);
void sched_cancel(struct sched *s, void *owner, uint64_t seq, rp_ms now);
/* The same by the id of a stored job. */
void sched_cancel_stored(struct sched *s, const char *id, rp_ms now);
#define SCHED_ALL_MARKS UINT64_MAX

/*
 * The owner has all messages up to the mark, or will have no others
 * (SCHED_ALL_MARKS).
 */
void sched_heard(struct sched *s, void *owner, uint64_t mark, rp_ms now);
/* The owner is gone: all that was started for it is stopped. */
void sched_owner_gone(struct sched *s, void *owner, rp_ms now);
/* The platform's list has this entry now, or has it no more (ready 0). */
void sched_listed(struct sched *s, const struct sched_listing *l, rp_ms now);
/* All of the platform's list has been passed in. */
void sched_list_read(struct sched *s);
/*
 * Another scheduler may have taken over what the store keeps: of stored jobs
 * nothing goes on or starts until this is called again with 0.
 */
void sched_hold_stored(struct sched *s, int held, rp_ms now);
/* All jobs that the store keeps have been passed in. */
void sched_jobs_read(struct sched *s);
void sched_unlisted(struct sched *s, const char *id, rp_ms now);
void sched_start_reply(struct sched *s, struct sched_target *t,
		       const char *task, uint32_t run,
		       const struct sched_look *look, rp_ms now);
void sched_stop_reply(struct sched *s, struct sched_target *t, const char *task,
		      uint32_t run, const struct sched_look *look, rp_ms now);
void sched_hold_reply(struct sched *s, struct sched_target *t,
		      const struct sched_look *look, rp_ms now);
/* To be called every SCHED_TICK ms. */
void sched_tick(struct sched *s, rp_ms now);
/* Starts what can be started; after each batch of events. */
void sched_pump(struct sched *s, rp_ms now);

#define SCHED_TICK 20 /* ms */

struct sched_target *sched_find_target(struct sched *s, const char *id);

/* --- inside sched-*.c ----------------------------------------------- */

/* sched-job.c */
struct sched_job *sched_job_new(struct sched *s, void *owner,
				const PoolSubmit *sub, rp_ms now);
void sched_job_free(struct sched_job *job);
/* Task i of the job was done before it came here. */
void sched_job_mark_done(struct sched_job *job, size_t i);
uint64_t sched_job_answer(struct sched_job *job, PoolAnswer__Outcome outcome,
			  const char *reason, rp_ms retry_after);
/* A task of it has been started, here or by a former scheduler. */
void sched_job_started(struct sched_job *job);
/* Frees an answered job of which no target runs anything. */
void sched_job_reap(struct sched_job *job);
/* Predicts the job anew and moves it to its place in the queue. */
void sched_job_place(struct sched_job *job);
/* The job of the id that is not answered, or NULL. */
struct sched_job *sched_open_job(struct sched *s, struct rp_str id);
int sched_step_ready(const struct sched_job *job, size_t step);
/* Predicted run time at speed 1 of the work that is left, ms. */
double sched_job_chain(const struct sched_job *job);

/* sched-place.c */
/* Predicted run time of a task of the step on the target, ms. */
double sched_run_time(const struct sched_target *t,
		      const struct sched_step *step);
int sched_target_open(const struct sched_target *t, rp_ms now);
/* Whether the room is enough for the need, in each respect. */
int sched_vector_fits(const struct sched_vector *need,
		      const struct sched_vector *room);
/* Whether the target may ever run the step's tasks. */
int sched_target_suits(const struct sched_target *t,
		       const struct sched_job *job,
		       const struct sched_step *step);
int sched_target_has_room(const struct sched_target *t,
			  const struct sched_vector *need);
/* Whether one more task of the step would be too many on the target. */
int sched_target_crowded(const struct sched_target *t,
			 const struct sched_job *job,
			 const struct sched_step *step);
/* The best target that has room, be the task late there or not. */
struct sched_target *sched_best(struct sched *s, const struct sched_job *job,
				const struct sched_step *step);
struct sched_service *sched_service_of(struct sched *s, const char *name);
/* Brings its sums up to date. */
const struct sched_service *sched_sums(struct sched *s,
				       struct sched_service *service);

/* sched-past.c */
/*
 * Takes over what an earlier submission of the id left: its run numbers, and
 * the tasks that were done.
 */
void sched_job_recall(struct sched_job *job);
void sched_past_keep(const struct sched_job *job);
void sched_past_expire(struct sched *s);
void sched_past_finish(struct sched *s);

/* sched-admit.c */
#define SCHED_FILL_FIRST 0.75
/* What became of accepted jobs tells how much may be accepted. */
void sched_admit_on_time(struct sched_job *job);
void sched_admit_late(struct sched_job *job);

/* sched-learn.c */
void sched_learn_job(struct sched_job *job);
void sched_learn_end(struct sched_task *task, double took, int failed);
void sched_learn_progress(struct sched_task *task, int percent);
/* The run would take so long at its present pace, and is moved for that. */
void sched_learn_behind(struct sched_task *task, double whole);
void sched_learn_target(struct sched_target *t);
void sched_learn_decay(struct sched *s);
struct sched_queue *sched_queue_of(struct sched *s, const char *name,
				   double estimate);

/* sched-adopt.c */
/* Keeps the first list of a target for jobs that are handed over. */
void sched_adopt_list(struct sched_target *t, const struct sched_look *look);
/* Finds the job's tasks among what was left. */
void sched_adopt_job(struct sched_job *job);
/* Stops what is left when the time of adoption is over. */
void sched_adopt_tick(struct sched_target *t);
/* What a former scheduler left has ended before its job was handed over. */
void sched_adopt_end(struct sched_target *t, const struct sched_end *end);
/* Whether the jobs of what runs there may still be handed over. */
int sched_adopting(const struct sched_target *t);
/* Whether no former scheduler's run of the job can be unknown any more. */
int sched_adopt_settled(const struct sched_job *job);

/* sched-told.c */
/* The end is not to be acknowledged before the owner has the mark. */
void sched_told_add(struct sched_target *t, uint64_t number, void *owner,
		    uint64_t mark);
/* Nor an end of a job that is not known yet. */
void sched_told_keep(struct sched_target *t, uint64_t number);
int sched_told_unclaimed(const struct sched_target *t);
/* What became of such an end; mark 0: it may be acknowledged. */
void sched_told_set(struct sched_target *t, uint64_t number, void *owner,
		    uint64_t mark);
/* Up to where ends may be acknowledged. */
uint64_t sched_told_until(const struct sched_target *t);

/* sched-run.c */
void sched_run_adopt(struct sched_task *task, struct sched_target *t,
		     uint32_t run);
/* Returns the mark of the message to the owner. */
uint64_t sched_task_done(struct sched_task *task);
void sched_run_start(struct sched_task *task, struct sched_target *t);
void sched_run_stop(struct sched_task *task);
/* The run is over; its room is free. */
uint64_t sched_run_over(struct sched_task *task, enum sched_end_how how);
/* A lease from now on, on the target's clock. */
int64_t sched_new_lease(struct sched_target *t);
void sched_run_send_stop(struct sched_task *task);
struct sched_task *sched_run_find(struct sched_target *t, struct rp_str name,
				  uint32_t run);
void sched_target_lapsed(struct sched_target *t, const char *why);

/* sched-hold.c */
void sched_target_reborn(struct sched_target *t, int64_t born);
void sched_target_hold(struct sched_target *t);

#endif
