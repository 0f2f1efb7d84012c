#ifndef SCHEDULER_H
#define SCHEDULER_H

/*
 * Scheduler of a pool of targets. Does no I/O: the embedding code passes in
 * events and the time, and sends what struct sched_ops asks for.
 *
 * A target is held by one scheduler at a time, the one with the highest
 * fencing token. All runs of a target share one lease. A hold call renews it,
 * lists what runs and which runs have ended, and acknowledges ends by their
 * number; the target forgets an end that is acknowledged.
 *
 * The owner of a job is the entry VM, or the stored record, that receives its
 * answer. Times are of the scheduler's clock, in ms, unless stated otherwise.
 */

#include "budget.h"
#include "rosemary-int.h"
#include "pool.pb-c.h"

#define SCHED_QUEUE_NAME_MAX ((size_t)RP_NAME_MAX * 2)
#define SCHED_ID_MAX 24	       /* bytes of a job's id, with the NUL */
#define SCHED_TASK_NAME_MAX 56 /* bytes of "ID.0.STEP.INDEX", with the NUL */
#define SCHED_STEPS_MAX 64     /* bits in PoolStep.after */
#define SCHED_TASKS_MAX 4096
#define SCHED_DOMAINS_MAX 64 /* failure domains that a job names */
#define SCHED_LABELS_MAX 4
/* The longest chain of steps times this is within 64 bits. */
#define SCHED_STRETCH_MAX 1e6

/* Variance of log(run time in ms) among the tasks of one job. */
#define SCHED_TASK_VAR 0.03

/* A target needs longer than this to restart in another incarnation, ms. */
#define SCHED_RESTART_MIN_MS 30

/* Run numbers reserved for each scheduler; later schedulers use higher ones. */
#define SCHED_RUNS_PER_TOKEN 4096

struct sched;
struct sched_job;
struct sched_target;

/* Amounts that a task needs, or that a target has. */
struct sched_resources {
	int64_t cpu;	/* thousandths of a core */
	int64_t memory; /* MB */
	int64_t accelerators;
};

/*
 * A target that was lost while it may have run a task: it has crashed, or it
 * was cut off, which is not known at first.
 */
struct sched_loss {
	char target[RP_NAME_MAX];
	int64_t incarnation; /* 0: not known */
	rp_ms at;	     /* the run was given up */
	int alone;	     /* no other run was on the target */
	int newest;	     /* no run was started there much later */
	int no_progress;     /* the run had not shown any */
	int seen;    /* the run was there; else its start had no reply */
	int common;  /* many targets were lost at the same moment */
	int crashed; /* it is known to have crashed */
};

/* Losses kept of one task. */
#define SCHED_LOSSES_MAX 5

struct sched_losses {
	size_t n;
	struct sched_loss list[SCHED_LOSSES_MAX];
};

enum sched_task_state {
	SCHED_WAITING,
	SCHED_STARTING, /* the reply to the start call is awaited */
	SCHED_RUNNING,
	SCHED_STOPPING, /* stopped; its end is not known yet */
	/* Succeeded, or its job was answered. A run elsewhere may go on. */
	SCHED_DONE,
};

struct sched_task {
	struct sched_job *job;
	char name[SCHED_TASK_NAME_MAX];
	uint8_t state;	       /* enum sched_task_state */
	uint8_t stop_sent;     /* boolean; cleared to send the stop again */
	uint8_t moves;	       /* times it was stopped to run elsewhere */
	uint16_t failures;     /* failed runs */
	uint32_t *failed_runs; /* their numbers; 0: not known */
	uint32_t step;	       /* index in the job's steps */
	uint32_t run;	       /* number of the latest run */
	/* Where it may be running; NULL: nowhere. */
	struct sched_target *target;
	/*
	 * Where its last run did not succeed. Only compared, never
	 * dereferenced, as the target may have been freed.
	 */
	const struct sched_target *avoid;
	struct sched_losses *losses; /* NULL: none */
	/* The fields below describe the run on the target. */
	struct sched_task *next, **prev; /* in the target's list of runs */
	rp_ms sent_at;	   /* the start call was sent, or the run adopted */
	rp_ms replied_at;  /* reply to the latest start or stop; 0: none */
	double predicted;  /* run time predicted at the start, ms */
	int observed;	   /* learned from already, or not to be */
	uint8_t seen;	   /* boolean; the target has said that it was there */
	uint8_t restarted; /* boolean; the target has another incarnation */
	uint8_t overdue;   /* boolean; it may run though its lease is over */
	/* Boolean; its start, or a copy, may not have been carried out yet. */
	uint8_t start_is_late;
	uint8_t delays_ack; /* boolean; ends on other targets wait for it */
	/* Of the runs on the target when it was lost or restarted: booleans. */
	uint8_t lost_alone, lost_newest, lost_common;
	uint8_t isolated;  /* boolean; no other task starts beside it */
	int percent;	   /* progress reported last */
	rp_ms progress_at; /* when progress was reported last */
	rp_ms percent_at;  /* when it was seen to have risen last */
	uint8_t adopted;   /* boolean; when it began is not known */
	rp_ms began_at;	   /* an adopted run, likely */
	/*
	 * Least work that a run of the task has shown, ms at speed 1, by its
	 * progress in percent, 100 at its end; 0: none yet.
	 */
	double shown_work;
	int shown_percent;
};

struct sched_step {
	struct sched_resources need; /* of each task */
	uint64_t depends_on;	     /* bit i: step i must be done first */
	uint32_t first_task, ntasks; /* range in the job's tasks */
	uint32_t nleft;		     /* tasks that are not done */
	uint32_t spread;	     /* most tasks on one target; 0: no limit */
	char label[RP_NAME_MAX];     /* the target must have it; "": any */
	char rack[RP_NAME_MAX];	     /* where the input data is; "": unknown */
	double work;		     /* predicted run time at speed 1, ms */
};

/*
 * Buckets of the size of a job, CPU x work, against the mean of its queue. The
 * upper bounds are in sched_size_bounds, in quarters; the last has none.
 */
#define SCHED_SIZE_BUCKETS 5
extern const unsigned sched_size_bounds[SCHED_SIZE_BUCKETS - 1];

/* Waits that callers of one queue come with most often (sched-wait.c). */
#define SCHED_WAITS_MAX 4

struct sched_wait {
	rp_ms ms;
	double weight;
};

struct sched_waits {
	struct sched_wait list[SCHED_WAITS_MAX];
	double weight; /* of all jobs, up to 1 */
};

/* What a job waits for while tasks of it could start. */
enum sched_delay {
	SCHED_DELAY_NONE,
	SCHED_DELAY_ROOM,
	SCHED_DELAY_OWNER,  /* its acknowledgement, or its silence */
	SCHED_DELAY_LOSSES, /* what became of lost targets */
	/* Runs of earlier schedulers or submissions are known, or over. */
	SCHED_DELAY_EARLIER_RUNS,
	SCHED_DELAY_CANCELLED, /* which jobs were cancelled earlier */
	SCHED_DELAYS
};

/* What is learned from the jobs of one queue. */
struct sched_queue {
	char name[SCHED_QUEUE_NAME_MAX];
	double log_estimate; /* mean log of the callers' estimates */
	double log_bias;     /* mean log of run time over the estimate */
	uint64_t njobs;	     /* jobs that log_estimate is the mean of */
	uint64_t nlearned;   /* jobs that log_bias was learned from */
	uint32_t nwaiting;   /* jobs with no task started */
	struct sched_service *service; /* of its latest job */
	struct sched_waits waits;
	double served;	  /* share of its latest jobs that completed */
	double mean_size; /* of its jobs, thousandths of a core x ms */
	/* Jobs answered, and those of them that completed, by size. */
	uint64_t answered[SCHED_SIZE_BUCKETS], completed[SCHED_SIZE_BUCKETS];
	/* Those that could not have ended in time, as their runs have shown. */
	uint64_t too_long[SCHED_SIZE_BUCKETS];
	uint64_t nended;	    /* jobs answered */
	rp_ms delays[SCHED_DELAYS]; /* of these, sums */
};

/*
 * Share of a service's CPU that counts as its fast targets. The least of many
 * uncertain slowdowns would be too optimistic a prediction.
 */
#define SCHED_FAST_SHARE 0.25

/*
 * Sizes of a service's tasks, and the room that whole tasks can use, in buckets
 * of equal width over the CPU of the largest target.
 */
#define SCHED_FIT_BUCKETS 64

struct sched_fit {
	int64_t width;	   /* of a bucket, thousandths of a core; 0: not set */
	rp_ms computed_at; /* of usable */
	double sizes[SCHED_FIT_BUCKETS];  /* run time by the CPU of the tasks */
	double total;			  /* of sizes */
	double usable[SCHED_FIT_BUCKETS]; /* buckets usable of a free room */
};

/* Jobs that wait for a rack, counted in each pass of sched_dispatch(). */
#define SCHED_RACK_CLAIMS_MAX 32

struct sched_rack_claims {
	char rack[RP_NAME_MAX];
	uint64_t pass;
	size_t n;
};

/* The targets of one service, with totals over them. */
struct sched_service {
	char name[RP_NAME_MAX];
	/* Totals over the available targets, computed at updated_at. */
	rp_ms updated_at;
	int has_available;    /* there is at least one */
	double fast_slowdown; /* SCHED_FAST_SHARE of the CPU is as fast */
	double cpu_rate;      /* CPU over slowdown, thousandths of a core */
	double used_cpu, total_cpu; /* thousandths of a core */
	size_t nlisted, nsilent;    /* targets, and those that do not reply */
	/* The largest capacity of any target, for each resource. */
	struct sched_resources max_capacity;
	struct sched_fit fit;
	double served; /* share of the latest jobs that completed */
	/*
	 * In pass full_pass of sched_dispatch() no target had room for
	 * full_need.
	 */
	uint64_t full_pass;
	struct sched_resources full_need;
};

struct sched_history_loss {
	size_t task; /* number over all steps */
	struct sched_loss loss;
};

/* Record of an answered job, kept for a while in case it is resubmitted. */
struct sched_history {
	struct rp_heap_node expiry_node;
	char id[SCHED_ID_MAX];
	uint64_t digest;       /* of the specification */
	uint32_t next_run;     /* run number that a resubmission starts with */
	rp_ms may_go_on_until; /* runs of it, under another scheduler */
	struct sched_history_loss *losses;
	size_t nlosses;
	/* Of the job, if runs of an earlier scheduler may be unknown yet. */
	uint64_t prev_fence;
	rp_ms submitted_at;
	char **domains;
	size_t ndomains, nformer_domains;
	int any_former_domain;
	size_t held; /* bytes that are counted */
	size_t ntasks;
	uint8_t done[]; /* for each task: whether it had succeeded */
};

/* A task whose success was acknowledged to its target, claimed by no job. */
struct sched_released_end {
	struct sched_released_end *next; /* the one released next */
	rp_ms kept_until;
	char task[SCHED_TASK_NAME_MAX];
};

struct sched_job {
	struct sched *s;
	struct sched_job *next, *prev; /* in s->jobs or s->closed */
	void *owner;  /* who receives the answer; NULL: nobody */
	uint64_t seq; /* the owner's number for the job */
	char id[SCHED_ID_MAX];
	size_t held; /* bytes that are counted */
	struct sched_queue *queue;
	struct sched_service *service;
	struct rp_str specification; /* empty if the owner keeps it */
	uint64_t specification_hash;
	int owner_starts; /* the owner keeps the specification */
	uint32_t priority, max_attempts;
	uint32_t next_run; /* run number of the next start of any task */
	uint32_t min_run;  /* lower run numbers are of earlier submissions */
	/* The objective is stretch x run time + objective_offset, in ms. */
	double stretch;
	rp_ms objective_offset;
	rp_ms arrived_at;   /* first try of the caller, as far as is known */
	rp_ms received_at;  /* by the entry VM */
	rp_ms submitted_at; /* to this scheduler */
	rp_ms deadline;	    /* the caller stops waiting */
	rp_ms objective_at; /* predicted end of the objective */
	rp_ms due_at;	    /* the objective or the deadline, the earlier */
	/* Latest start for an end on time, predicted for the fast targets. */
	rp_ms latest_start;
	rp_ms slack_until;	/* latest start on a target of speed 1 */
	rp_ms sort_key;		/* position in s->jobs, least first */
	rp_ms expires_at;	/* an answer is of no use from then on */
	rp_ms first_started_at; /* 0: no task has been started */
	double log_estimate;	/* mean log of the caller's estimates, ms */
	double work_var;	/* variance of log(work of the steps) */
	/* The run that ended last, for the log. */
	char last_target[RP_NAME_MAX];
	rp_ms last_sent_at;
	double last_predicted; /* run time, ms */
	uint32_t retries;      /* runs that were requeued */
	uint32_t runs_lost;    /* of them, with a lease or an incarnation */
	uint32_t runs_moved;   /* stopped to run elsewhere */
	/* Of the task that is being placed. */
	const struct sched_target *avoid;
	int last_attempt; /* another failure fails the job */
	int isolate;	  /* it may have crashed a target */
	int stored; /* kept in the store: has no deadline, is not rejected */
	int answered;
	int owner_silent; /* it may have submitted the job to another one */
	int awaits_submission; /* again: its owner is connected anew */
	int owner_lost;	       /* it may submit the job to another scheduler */
	int superseded;	  /* by another submission; its owner may not know */
	int missed_start; /* considered only after its latest start */
	int displaced;	  /* made late by a job of a higher priority */
	/* Runs of an earlier submission of the id may not be over. */
	int awaits_earlier_runs;
	int started_earlier; /* a task was, under an earlier submission */
	rp_ms starts_after;  /* no task starts before */
	enum sched_delay delay;
	rp_ms delayed_since;
	rp_ms delays[SCHED_DELAYS]; /* up to then */
	/* Token of a scheduler that may have started tasks of it; 0: none. */
	uint64_t prev_fence;
	/* Tokens of this scheduler at its first and its latest submission. */
	uint64_t first_fence, submit_fence;
	size_t ntasks;
	int size_bucket;      /* of struct sched_queue */
	size_t ndone;	      /* succeeded */
	size_t nplaced;	      /* may be running on a target */
	size_t nwaiting;      /* to be started */
	size_t nsuspects;     /* tasks with losses */
	uint64_t losses_mark; /* of the message on these to be acked; 0: none */
	/*
	 * Failure domains in which tasks of it may have been started, first
	 * those of earlier schedulers. None if it ends before it matters.
	 */
	char **domains;
	size_t ndomains, nformer_domains;
	int any_former_domain; /* earlier schedulers may have, anywhere */
	uint64_t domains_mark; /* of their change to be acked; 0: none */
	/*
	 * The owner presumes any domain until it is told of all, or learns them
	 * from the starts that it is asked for.
	 */
	int presumes_domains;
	int domains_told;
	struct sched_step *steps;
	size_t nsteps;
	struct sched_task *tasks;
};

enum sched_target_state {
	SCHED_UNHELD,	 /* to be acquired by a first hold call */
	SCHED_ACQUIRING, /* the first hold call is in flight */
	SCHED_HELD,
	SCHED_FENCED, /* a scheduler with a higher token holds it */
};

/* Entry of a target in the platform's list. */
struct sched_listing {
	char id[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	char service[RP_NAME_MAX];
	char failure_domain[RP_NAME_MAX];
	char labels[SCHED_LABELS_MAX][RP_NAME_MAX];
	size_t nlabels;
	int64_t incarnation; /* its start time, ms since 1970 */
	int ready;	     /* accepts new work */
	rp_ms stays;	     /* draining: how long at least, ms; 0: not known */
	struct sched_resources capacity;
};

enum sched_end_how {
	SCHED_END_DONE, /* succeeded */
	SCHED_END_FAILED,
	SCHED_END_STOPPED, /* ended before the task had a result */
};

/*
 * An end that is not to be acknowledged to the target yet, because the job's
 * owner has not acknowledged the message that reports it.
 */
struct sched_unacked_end {
	uint64_t number;
	void *owner;   /* NULL: lost, or the job has not been submitted yet */
	uint64_t mark; /* of the message to the owner */
	/* The job cannot be submitted any more from then on; 0: not known. */
	rp_ms needed_until;
	/* Its run elsewhere has to be over first; NULL: none. */
	const struct sched_task *other_run;
};

/* A run of this scheduler whose end is not known. */
struct sched_given_up {
	uint64_t name; /* hash of the task's name */
	uint32_t run;
};

/* A run that is over for this scheduler, whose start may still arrive. */
struct sched_late_start {
	char name[SCHED_TASK_NAME_MAX];
	uint32_t run;
	int restarted; /* the target has no record of its stop */
	struct sched_resources need;
	rp_ms until; /* the start is taken for lost from then on */
};

/* A run of an earlier scheduler, or its end, found on a target. */
struct sched_orphan {
	char name[SCHED_TASK_NAME_MAX];
	uint32_t run;
	uint64_t number; /* of its end; 0: it is running */
	enum sched_end_how how;
	rp_ms kept_until; /* its end is not acknowledged before; 0: not set */
	int stopped;	  /* no job had claimed it in time; it may still run */
};

/* What is known of the targets of a failure domain together. */
struct sched_failure_domain {
	rp_ms replied_at;   /* last reply of any of them */
	size_t nunanswered; /* that have left a later call unanswered */
	int silent;	    /* taken for unreachable */
	rp_ms probe_at;	    /* while silent: next call to an idle one */
};

struct sched_target {
	struct sched *s;
	void *user; /* for the embedding code */
	struct sched_service *service;
	struct sched_failure_domain *domain;
	struct sched_listing listing;
	enum sched_target_state state;
	size_t index;	   /* in s->targets */
	int listed;	   /* in the platform's list */
	rp_ms unlisted_at; /* the list has lost it */
	/* When its entry was seen to be rewritten; 0: not yet, or missing. */
	rp_ms entry_written_at;
	int draining;	/* its entry has last said that it takes no new work */
	int replaced;	/* another incarnation has replied at its address */
	rp_ms leave_at; /* it drains and leaves then; 0: not known to */
	int evacuated;	/* its failure domain is */
	struct sched_resources used;
	struct sched_task *runs; /* tasks that may be running here */
	size_t nruns;
	/*
	 * Of starts that were forgotten with its entry, and may still reach it
	 * until late_until if it comes back.
	 */
	struct sched_resources late;
	rp_ms late_until;
	size_t nisolated;	  /* of the runs */
	int was_isolated;	  /* the runs that were lost with it were */
	rp_ms reserved_until;	  /* for a task to be isolated */
	int64_t clock;		  /* the target's clock, ms; 0: not known */
	rp_ms clock_at;		  /* when it was read */
	uint64_t ends_seen;	  /* highest number of an end in a list */
	uint64_t ends_acked;	  /* ends up to it were acknowledged */
	int64_t incarnation;	  /* that this state belongs to */
	rp_ms incarnation_at;	  /* when it was first seen */
	int64_t prev_incarnation; /* 0: none was seen */
	rp_ms hold_replied_at;	  /* last successful hold call */
	struct sched_unacked_end *unacked;
	size_t nunacked, cap_unacked;
	int hold_in_flight;  /* a hold call awaits its reply */
	int hold_acquires;   /* that call is the first of the target's holder */
	rp_ms hold_retry_at; /* no hold call before then */
	/*
	 * Runs started so far have ended by then, but for overdue ones. 0: none
	 * was started since that time has passed.
	 */
	rp_ms lease_until;
	rp_ms replied_at;	  /* last reply to any call */
	unsigned unanswered;	  /* consecutive calls without a reply */
	rp_ms unanswered_since;	  /* when the first of these was given up */
	rp_ms answered_sent_at;	  /* latest call that was replied to */
	rp_ms unanswered_sent_at; /* latest call without a reply */
	/* Was last seen to leave a call unanswered and reply to a later one. */
	rp_ms lossy_at;
	rp_ms late_lease_until;	  /* a renewal may be late; 0: none */
	double slowdown;	  /* run time relative to speed 1 */
	double log_slowdown;	  /* natural logarithm of slowdown */
	double slowdown_var;	  /* variance of log_slowdown */
	double log_slowdown_base; /* log_slowdown before a sudden change */
	rp_ms slowdown_at;	  /* last observation */
	double failure_rate;	  /* moving average of failed ends, 0 to 1 */
	rp_ms backoff_until;	  /* no start before then */
	rp_ms backoff;		  /* ms; 0: the last reply was in order */
	size_t nforeign;   /* runs in its last list, not of this scheduler */
	int over_capacity; /* runs need more than the entry says it has */
	/* Its first list was read; other schedulers start nothing since. */
	int adopted;
	int more_ends;	   /* the last list may lack some */
	rp_ms adopt_until; /* orphans wait for their jobs until then */
	/* Leases of earlier schedulers have certainly ended by then. */
	rp_ms prev_lease_until;
	struct sched_orphan *orphans;
	size_t norphans, cap_orphans;
	struct sched_late_start *late_starts;
	size_t nlate_starts, nlate_restarted;
	/* The latest runs that were given up; a ring once it is full. */
	struct sched_given_up *given_up;
	size_t ngiven_up, next_given_up;
};

/* Runs given up on a target of which the numbers are kept. */
#define SCHED_GIVEN_UP_MAX 64

/* A running task in a target's list. */
struct sched_run {
	struct rp_str task;
	uint32_t run;
	int percent;
};

/* An ended run in a target's list. */
struct sched_end {
	uint64_t number; /* counts the target's ends */
	struct rp_str task;
	uint32_t run;
	enum sched_end_how how;
};

enum sched_reply_status {
	SCHED_REPLY_OK,
	SCHED_REPLY_FENCED,  /* the target has seen a higher fencing token */
	SCHED_REPLY_REFUSED, /* the call had no effect */
	SCHED_REPLY_WRONG_INCARNATION, /* another incarnation replied */
	SCHED_REPLY_UNKNOWN,  /* no valid reply: the call may take effect */
	SCHED_REPLY_NOT_SENT, /* the target was not called */
	/* It refused the call, but may have carried out a copy of it. */
	SCHED_REPLY_UNCERTAIN,
};

/* Reply of a target to a call. */
struct sched_target_reply {
	enum sched_reply_status status;
	const char *reason;  /* why it refused; "": none given */
	rp_ms sent_at;	     /* when the call was sent */
	int64_t incarnation; /* the incarnation that replied; 0: not given */
	int64_t clock;	     /* the target's clock, ms; 0: not given */
	int lossy;	     /* a copy of the call likely had no reply */
	const struct sched_run *runs;
	size_t nruns;
	const struct sched_end *ends;
	size_t nends;
};

/* Why a run is moved; the log has it. */
struct sched_move {
	const char *reason;
	const struct sched_target *to; /* the best target now */
	double end, end_there;	       /* predicted, on the scheduler's clock */
};

/* Calls and messages that the embedding code sends for the scheduler. */
struct sched_ops {
	/* until: end of the lease, on the target's clock. */
	void (*start)(struct sched *s, struct sched_target *t,
		      struct sched_task *task, int64_t until);
	void (*stop)(struct sched *s, struct sched_target *t,
		     struct rp_str task, uint32_t run);
	/*
	 * Renews the lease up to until, on the target's clock (0: leaves it
	 * alone), and acknowledges ends up to the number acked_end. While
	 * there is no later end, the target may delay its reply by up to wait
	 * ms.
	 */
	void (*hold)(struct sched *s, struct sched_target *t, int64_t until,
		     uint64_t acked_end, rp_ms wait);
	/*
	 * answer and progress return the mark of the message to the owner,
	 * for sched_owner_acked(), or 0 if it needs no acknowledgement.
	 */
	uint64_t (*answer)(struct sched *s, struct sched_job *job,
			   const PoolAnswer *answer);
	/* Another scheduler holds the target: this one must give up. */
	void (*fenced)(struct sched *s, struct sched_target *t);
	/* The target is about to be freed. */
	void (*target_removed)(struct sched *s, struct sched_target *t);
	/* A task succeeded, or a task of a stored job failed. */
	uint64_t (*progress)(struct sched *s, struct sched_job *job,
			     const struct sched_task *task);
	/* Logs an event and its reason, which may be "". task may be NULL. */
	void (*log)(struct sched *s, const char *event,
		    const struct sched_target *t, const struct sched_task *task,
		    const char *reason);
	/*
	 * The lost targets of the job's tasks, or what is known of them, have
	 * changed. Returns the mark of the message to the owner, or 0; tasks
	 * with losses do not start until it is acknowledged.
	 */
	uint64_t (*losses)(struct sched *s, struct sched_job *job);
	/*
	 * Tells the owner of the job's failure domains, of which the last may
	 * be new. Returns the mark of the message, or 0 if the owner knows them
	 * already.
	 */
	uint64_t (*domains)(struct sched *s, struct sched_job *job);
	/* Logs what is learned of a target that was lost with the task. */
	void (*log_loss)(struct sched *s, const char *event,
			 const struct sched_task *task,
			 const struct sched_loss *loss, const char *reason);
	/* Logs that the target's failure domain is silent, or no more. */
	void (*log_domain)(const struct sched_target *t);
	/* Logs that a run is stopped, to be started on another target. */
	void (*log_move)(struct sched *s, const struct sched_task *task,
			 const struct sched_move *m);
};

struct sched_counters {
	uint64_t jobs, completed, failed, rejected, cancelled;
	uint64_t no_memory; /* of the rejected ones, for want of memory */
	uint64_t starts, ends;
	uint64_t retries;      /* runs that were requeued */
	uint64_t moves;	       /* runs moved to another target */
	uint64_t given_up;     /* jobs failed as targets crashed under a task */
	uint64_t lapses;       /* runs lost with a lease or an incarnation */
	uint64_t overdue;      /* runs kept on their targets after the lease */
	uint64_t runs_lost;    /* runs lost with their target */
	uint64_t runs_crashed; /* of them, with a target that has crashed */
	uint64_t runs_cut_off; /* of them, with a target that was cut off */
	uint64_t orphans;      /* runs stopped that no job claimed */
	uint64_t adopted;      /* runs taken over from an earlier scheduler */
	uint64_t holds;	       /* hold calls */
	uint64_t over_capacity; /* targets found with more runs than room */
	uint64_t evacuated;	/* jobs rejected as all domains are evacuated */
	uint64_t rack_spills;	/* tasks that did not wait for their rack */
	uint64_t leave_moves;	/* runs moved off targets that leave */
	uint64_t in_vain;	/* jobs rejected as no room came free in time */
	uint64_t hopeless;	/* jobs given up as they cannot end in time */
};

/* --- policies, each selected by name ----------------------------------- */

/* Order of jobs: tasks of the job with the least key are started first. */
struct sched_order_ops {
	struct rp_plugin plugin;
	rp_ms (*sort_key)(const struct sched_job *job);
	/* Whether the job comes after all jobs that are not deferred. */
	int (*defer)(const struct sched_job *job, rp_ms now);
};

/*
 * Admission of jobs: admit returns 0 for a rejection, with the reason and the
 * ms after which to retry.
 */
struct sched_admit_ops {
	struct rp_plugin plugin;
	int (*admit)(struct sched *s, const struct sched_job *job,
		     const char **reason, rp_ms *retry_after);
};

/* Placement of tasks: place returns the target, or NULL if the task waits. */
struct sched_place_ops {
	struct rp_plugin plugin;
	struct sched_target *(*place)(struct sched *s,
				      const struct sched_job *job,
				      const struct sched_step *step);
};

/* Handling of runs that will end late; move_runs is called at each tick. */
struct sched_move_ops {
	struct rp_plugin plugin;
	void (*move_runs)(struct sched *s);
};

/*
 * Jobs that cannot end in time any more: find returns a task that shows it, or
 * NULL. Called for jobs with a task placed.
 */
struct sched_hopeless_ops {
	struct rp_plugin plugin;
	const struct sched_task *(*find)(const struct sched_job *job);
	/*
	 * Whether a job of which nothing was started waits in vain and is to be
	 * rejected; else it waits until it expires.
	 */
	int (*waits_in_vain)(const struct sched_job *job);
};

/* Handling of runs on targets that leave; called at each tick. */
struct sched_leave_ops {
	struct rp_plugin plugin;
	void (*move_runs)(struct sched *s);
};

/* Names of policies; NULL: the default. */
struct sched_policies {
	const char *order;    /* priority, latest-start, or fifo */
	const char *admit;    /* priority, on-time, or all */
	const char *place;    /* slowest-on-time, or roomiest */
	const char *move;     /* progress, or none */
	const char *hopeless; /* bound, or predicted */
	const char *leave;    /* move, or none */
};

struct sched {
	const struct sched_ops *ops;
	const struct sched_order_ops *order;
	const struct sched_admit_ops *admit;
	const struct sched_place_ops *place;
	const struct sched_move_ops *move;
	const struct sched_hopeless_ops *hopeless;
	const struct sched_leave_ops *leave;
	void *user;
	struct rp_budget *budget; /* for the memory of jobs; NULL: none */
	size_t ndeferred;	  /* stored jobs that wait for memory */
	uint64_t fence;		  /* fencing token, see lead.h */
	rp_ms fence_raised_at;	  /* last sched_raise_fence(); 0: none */
	uint32_t first_run;	  /* least run number under the token */
	rp_ms max_lease;	  /* longest lease that targets grant, ms */
	rp_ms now;
	rp_ms started_at;	/* when this scheduler began */
	int targets_loaded;	/* the platform's whole list was passed in */
	int targets_cached;	/* a list from before an outage was */
	int stored_jobs_loaded; /* all stored jobs were passed in */
	/* Until then other jobs wait for that: they may have been cancelled. */
	rp_ms cancelled_awaited_until;
	int stored_suspended; /* tasks of stored jobs neither run nor start */
	int suspended;	      /* nothing is sent to targets */
	/* The previous scheduler may hold targets that are not listed. */
	int prev_may_hold_unlisted;
	/*
	 * An entry VM that is not connected may own jobs of an earlier leader:
	 * ends that no job claims are kept on their targets for default_wait.
	 * Ends of owners that are lost are kept no longer either.
	 */
	int owners_missing;
	rp_ms default_wait; /* of callers that state no deadline, longest, ms */
	/*
	 * Latest deadline of the jobs that earlier schedulers and owners that
	 * are lost had open, as far as is known; 0: none. Records of ends that
	 * no job has claimed are kept until then.
	 */
	rp_ms callers_wait_until;
	rp_ms lossy_at; /* the latest of its targets */
	apr_pool_t *pool;
	apr_hash_t *queues;	   /* name -> struct sched_queue */
	apr_hash_t *targets_by_id; /* id -> struct sched_target */
	apr_hash_t *services;	   /* name -> struct sched_service */
	apr_hash_t *domains;	   /* name -> struct sched_failure_domain */
	apr_hash_t *rack_claims;   /* rack -> struct sched_rack_claims */
	double remote_factor;	   /* on run times away from the rack */
	apr_hash_t *evacuated;	   /* names of evacuated failure domains */
	/* Nothing starts before then, or until these domains are known. */
	rp_ms evacuations_awaited_until;
	apr_hash_t *open_jobs;	/* job id -> struct sched_job, not answered */
	uint64_t dispatch_pass; /* counts passes of sched_dispatch() */
	struct sched_target **targets;
	size_t ntargets, cap_targets;
	size_t nmore_ends;   /* of them, whose lists may lack some ends */
	apr_hash_t *history; /* job id -> its latest struct sched_history */
	struct rp_heap history_expiry; /* all of them, by when they expire */
	struct sched_released_end *released_head, **released_tail;
	struct sched_job *jobs;	  /* not answered, by sort key */
	struct sched_job *closed; /* answered; runs are being stopped */
	size_t njobs;		  /* in jobs */
	size_t nsuspects;	  /* tasks with losses, of all jobs */
	int awaits_domains; /* a job may wait for its owner to know them */
	/* Tasks to be isolated that this pass has found no target for. */
	size_t nunplaced;
	struct sched_counters count;
	/* Mean log of run time over the estimate, over all queues. */
	double log_bias;
	uint64_t nlearned; /* jobs that it was learned from */
	/* Share of the outliers that were the jobs', not their targets'. */
	double job_outlier_share;
	rp_ms decayed_at;  /* last sched_learn_decay() */
	rp_ms moved_at;	   /* last check for runs that will end late */
	rp_ms left_at;	   /* last check for runs on leaving targets */
	rp_ms hopeless_at; /* last check for jobs that cannot end in time */
	/* Share of the targets' capacity that admission counts on. */
	double usable_share;
	/*
	 * Mean time from a start call to its reply, ms: what a run takes beyond
	 * its time on the target, as its end comes the way of the reply.
	 */
	double call_delay;
	int dispatching; /* inside sched_dispatch() */
};

/*
 * max_lease is in ms. policies NULL: the defaults. Returns 0, or -1 if there is
 * no policy of a given name.
 */
int sched_init(struct sched *s, const struct sched_ops *ops, void *user,
	       const struct sched_policies *policies, uint64_t fence,
	       rp_ms max_lease, rp_ms now);
/*
 * Continues under a higher fencing token. All targets are acquired again, as
 * another scheduler may have held them meanwhile, also those that this one had
 * no reason to call.
 */
void sched_raise_fence(struct sched *s, uint64_t fence, rp_ms now);
/* Frees all state. Nothing is sent, nobody is answered. */
void sched_finish(struct sched *s);

/* Factor on the run time of tasks away from their rack; 2 if not called. */
void sched_set_remote_factor(struct sched *s, double factor);

/*
 * Least time at speed 1 of the longest chain of steps that runs of the job have
 * shown, ms. 0: none.
 */
double sched_job_shown_work(const struct sched_job *job);

/* --- events --------------------------------------------------------- */

/*
 * Submits a job. A repeated sub->seq of the owner means that it may have lost
 * messages: progress is sent again, and nothing new is started.
 */
void sched_submit(struct sched *s, void *owner, const PoolSubmit *sub,
		  rp_ms now);
/*
 * Counts a stored job that is left in the store until there is memory for it as
 * waiting in its queue, which is returned.
 */
struct sched_queue *sched_defer(struct sched *s, const PoolSubmit *sub);
/* It is about to be submitted, or has ended. */
void sched_undefer(struct sched *s, struct sched_queue *q);
/* Bytes that the scheduler allocates for a job, and for its record later. */
size_t sched_submit_memory(const PoolSubmit *sub);
/* Whether a submission of another VM is within the limits of a job. */
int sched_submit_is_valid(const PoolSubmit *sub);
/*
 * The owner of the open job knows of its failure domains only once it has
 * acknowledged the mark: no task of it starts before.
 */
void sched_domains_await(struct sched *s, const char *id, uint64_t mark);
void sched_cancel(struct sched *s, void *owner, uint64_t seq, rp_ms now);
const char *sched_delay_name(enum sched_delay delay);
/* Whether no task of the job was ever started, also by earlier schedulers. */
int sched_job_is_untouched(const struct sched_job *job);
/* Cancels a stored job by its id. */
void sched_cancel_stored(struct sched *s, const char *id, rp_ms now);
/*
 * Cancels a job that is not stored, and answers its owner. Returns 0 if there
 * is none of the id.
 */
int sched_cancel_unstored(struct sched *s, const char *id, rp_ms now);
#define SCHED_ALL_MARKS UINT64_MAX

/*
 * The owner acknowledged all messages up to the mark. SCHED_ALL_MARKS: it
 * cannot be reached any more, so no acknowledgement is awaited.
 */
void sched_owner_acked(struct sched *s, void *owner, uint64_t mark, rp_ms now);
/*
 * The owner is lost: its jobs are cancelled. It may be alive and submit them to
 * another scheduler, so ends that it may not know of stay on the targets for
 * default_wait, or until the jobs' deadlines if these are earlier.
 */
void sched_owner_lost(struct sched *s, void *owner, rp_ms now);
/*
 * Until when callers wait for jobs that may be submitted to a successor: those
 * that are open, and those whose owners do not know of an end yet; as far as
 * records are kept for them. 0: none.
 */
rp_ms sched_callers_wait_until(const struct sched *s);
/* Earlier schedulers had jobs whose callers wait until then at most. */
void sched_callers_waited_until(struct sched *s, rp_ms until);
/*
 * silent: the owner has not shown for a while that it follows this scheduler,
 * and may have submitted its jobs to another one. None of their tasks starts
 * until a call with silent 0.
 */
void sched_owner_silent(struct sched *s, const void *owner, int silent,
			rp_ms now);
/*
 * The owner is connected anew. It may have followed another scheduler, and
 * submits its open jobs again; until then none of their tasks starts.
 */
void sched_owner_returned(struct sched *s, const void *owner, rp_ms now);
/* An entry of the platform's list is new or has changed. */
void sched_target_listed(struct sched *s, const struct sched_listing *l,
			 rp_ms now);
/* The platform's list has been passed in completely. */
void sched_targets_loaded(struct sched *s);
/* A list that may be out of date has been, as the store is unreachable. */
void sched_targets_cached(struct sched *s);
/*
 * suspend: another scheduler may have taken over the stored jobs, so their runs
 * are stopped and none starts until a call with suspend 0.
 */
void sched_suspend_stored(struct sched *s, int suspend, rp_ms now);
/*
 * suspend: another scheduler may have taken over all targets, so that nothing
 * is sent to them until a call with suspend 0.
 */
void sched_suspend(struct sched *s, int suspend, rp_ms now);
/* All stored jobs have been passed in. */
void sched_stored_jobs_loaded(struct sched *s);
/* Starts tasks of other jobs only when they are loaded, or at that time. */
void sched_await_cancelled(struct sched *s, rp_ms until);
/* The platform's list has lost an entry. */
void sched_target_unlisted(struct sched *s, const char *id, rp_ms now);
/*
 * The target has rewritten its entry in the store at the time, changed or not;
 * 0: the entry is missing.
 */
void sched_target_entry_written(struct sched *s, const char *id, rp_ms at);
/* Whether the previous scheduler may still use targets that are not listed. */
int sched_prev_may_go_on(const struct sched *s, rp_ms now);
/*
 * Whether each target that has tasks of this scheduler, or may be given some,
 * has an entry in the store that was rewritten at most max_age ms ago.
 */
int sched_entries_are_current(const struct sched *s, rp_ms now, rp_ms max_age);
void sched_start_reply(struct sched *s, struct sched_target *t,
		       const char *task, uint32_t run,
		       const struct sched_target_reply *reply, rp_ms now);
void sched_stop_reply(struct sched *s, struct sched_target *t, const char *task,
		      uint32_t run, const struct sched_target_reply *reply,
		      rp_ms now);
void sched_hold_reply(struct sched *s, struct sched_target *t,
		      const struct sched_target_reply *reply, rp_ms now);
/* Whether a target can be given tasks, or why not. */
enum sched_use {
	SCHED_USE_AVAILABLE,
	SCHED_USE_LEAVING,   /* it drains, or is listed no more */
	SCHED_USE_EVACUATED, /* its failure domain is */
	SCHED_USE_NOT_HELD,  /* its list has not been read yet */
	SCHED_USE_UNANSWERED,
	SCHED_USE_FOREIGN, /* it has runs of other schedulers */
	SCHED_USE_OTHER,   /* it fails, or its entry is out of date */
	SCHED_USES,
};

const char *sched_use_name(enum sched_use use);
void sched_count_uses(const struct sched *s, rp_ms now,
		      unsigned counts[SCHED_USES]);
/* To be called every SCHED_TICK_MS. */
void sched_tick(struct sched *s, rp_ms now);
/* Starts the tasks that can start; to be called after each batch of events. */
void sched_dispatch(struct sched *s, rp_ms now);

#define SCHED_TICK_MS 20

/*
 * An operator has asked to start nothing more in the failure domain, or has
 * taken that back. Jobs of which nothing was started are rejected if no target
 * is left for them.
 */
void sched_set_evacuated(struct sched *s, const char *failure_domain,
			 int evacuated, rp_ms now);
/* Starts nothing before the time, unless the evacuations are known earlier. */
void sched_await_evacuations(struct sched *s, rp_ms until);
void sched_evacuations_known(struct sched *s, rp_ms now);

struct sched_target *sched_find_target(struct sched *s, const char *id);
/* Returns the unanswered job of the id, or NULL. */
struct sched_job *sched_find_open_job(struct sched *s, struct rp_str id);

/* --- losses, sched-loss.c ------------------------------------------------ */

/* Returns how many of the lost targets are known to have crashed. */
size_t sched_losses_crashed(const struct sched_losses *losses);

/* --- names of tasks, sched-job.c --------------------------------------- */

/* name is a buffer of SCHED_TASK_NAME_MAX bytes; index is that in the step. */
void sched_task_name(char *name, const char *id, uint32_t step, uint32_t index);
/*
 * Finds the step of task i, counted over all steps, and its index in the step.
 * Returns 0 if there is no such task.
 */
int sched_task_position(const PoolSubmit *sub, uint32_t i, uint32_t *step,
			uint32_t *index);

#endif
