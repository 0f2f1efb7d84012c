#ifndef POOL_H
#define POOL_H

/*
 * rosemary-poold: the daemon of an entry VM, on a single-threaded event loop.
 *
 * Each entry VM forwards its callers' jobs over a link to the leader of the
 * pool, which runs the scheduler, calls the targets and sends the answers
 * back. The leader is elected through a row of the platform's store.
 */

#include "budget.h"
#include "conn.h"
#include "lead.h"
#include "log.h"
#include "pool-io.h"
#include "pool-order.h"
#include "pool-route.h"
#include "scheduler.h"

#include <microhttpd.h>
#include <stdint.h>

struct pool;

/* --- pool-setting.c -------------------------------------------------- */

/* Addresses are "ip:port". */
struct pool_settings {
	char vm_name[RP_NAME_MAX];
	char failure_domain[RP_NAME_MAX];
	char listen[RP_ADDRESS_MAX];	     /* for callers */
	char ready_listen[RP_ADDRESS_MAX];   /* for readiness checks */
	char metrics_listen[RP_ADDRESS_MAX]; /* "": metrics are not served */
	char link_address[RP_ADDRESS_MAX];   /* announced to other entry VMs */
	char link_listen[RP_ADDRESS_MAX];    /* "": same as link_address */
	char store_address[RP_ADDRESS_MAX];  /* of the platform's store */
	int64_t processor;		     /* thousandths of a core */
	int64_t processor_speed; /* thousandths of the nominal speed */
	/* Time for which the rows of ended stored jobs are kept. */
	rp_ms ended_retention;
	double remote_factor; /* on run times away from the data's rack */
	rp_ms max_lease;      /* longest lease that targets grant */
	rp_ms entry_interval; /* at which targets rewrite their entries */
	rp_ms grace;	      /* from SIGTERM to SIGKILL */
	/* From SIGTERM until the load balancer sends no more requests. */
	rp_ms rotation;
	char order[RP_NAME_MAX]; /* names of the scheduler's policies */
	char admit[RP_NAME_MAX];
	char place[RP_NAME_MAX];
	char move[RP_NAME_MAX];
	char hopeless[RP_NAME_MAX];
	char leave[RP_NAME_MAX];
	enum log_level log_level;
	rp_ms log_estimate; /* least of completed jobs that are logged */
	/* Of this VM's machine; 0: those of the system. */
	size_t memory; /* bytes */
	size_t descriptors;
	int check_only; /* validate the settings and exit */
};

/* Reads ROSEMARY_POOL_* and flags. Returns 0, or the exit status to use. */
int pool_settings_load(struct pool_settings *set, int argc, char **argv);

/* --- pool-limit.c: memory and descriptors of the machine -------------- */

/* Bytes of a connection of a caller, without what it leaves unread. */
#define POOL_CONNECTION_MEMORY 24576 /* for headers and read buffer */
#define POOL_CONNECTION_COST (POOL_CONNECTION_MEMORY + 2048)

/* Most connections of each kind; 0: no limit. */
struct pool_limits {
	size_t callers, ready, metrics; /* to the servers */
	size_t links;			/* with other entry VMs */
	size_t calls, idle_calls;	/* to targets and the store */
};

void pool_limits_init(struct pool *p);
/* Counts memory that a caller makes this VM hold; n < 0: that it has freed. */
void pool_hold(struct pool *p, enum rp_hold kind, long n);
/* Returns memory after much was freed, and logs limits that were reached. */
void pool_limits_tick(struct pool *p);

/* --- pool-loss.c ------------------------------------------------------ */

/* Returns the losses of all tasks of the job, up to a limit, and their number.
 */
PoolLoss **pool_losses_encode(const struct sched_job *job, size_t *n);
void pool_losses_free(PoolLoss **list, size_t n);
/* Tells the owner of the job. Returns the mark of the message, or 0. */
uint64_t pool_losses_send(struct sched *s, struct sched_job *job);

/* --- pool-domain.c ---------------------------------------------------- */

/*
 * Tells the owner of the job in which failure domains its tasks may be started.
 * Returns the mark of the message, or 0.
 */
uint64_t pool_domains_send(struct sched *s, struct sched_job *job);

/* --- pool-member.c: the pool's entry VMs and its leader -------------- */

#define POOL_RECENT_ANSWERS 256

/* An answer that is sent again if the link broke before it arrived. */
struct pool_recent_answer {
	uint64_t seq;
	PoolAnswer__Outcome outcome;
	uint32_t retry_after_ms;
	char reason[48];
};

/*
 * An entry VM that is connected to this leader.
 *
 * Messages to a member carry increasing numbers, called marks. The member
 * acknowledges the latest mark, and thereby all messages up to it.
 */
struct pool_member {
	struct pool_member *next;
	char vm[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	char failure_domain[RP_NAME_MAX];
	int64_t processor;   /* thousandths of a core of nominal speed */
	int store_reachable; /* it gets replies from the store */
	uint64_t incarnation;
	struct pool_link *link; /* NULL: disconnected */
	rp_ms joined_at, disconnected_at;
	int echoes; /* it is of a release that echoes the leader's clock */
	/* When this leader sent the latest heartbeat that it echoed; 0: none */
	rp_ms echoed_at;
	int silent; /* it may follow another leader: none of its jobs start */
	uint64_t sent_mark;	 /* of the latest message sent to it */
	size_t assigned_targets; /* targets that it calls as an agent */
	int gets_listings;	 /* it is sent changes of the list of targets */
	int64_t listing_version; /* it knows the list as of this version */
	/* Tokens in the latest order and start; 0: none over this link. */
	uint64_t sent_order_fence, sent_start_fence;
	/* A ring buffer; nanswers counts all answers so far. */
	struct pool_recent_answer answers[POOL_RECENT_ANSWERS];
	size_t nanswers;
};

/* An entry VM that is registered in the store. */
struct pool_vm {
	struct pool_vm *next;
	char vm[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	char failure_domain[RP_NAME_MAX];
	int64_t processor; /* thousandths of a core of nominal speed */
	int64_t version;   /* of its row; 0: not known */
	/* To the latest probe: it answered; nothing listens at its address. */
	int answered, refused;
	rp_ms refused_at;
	/* Its domain is led by this VM, which leads provisionally. */
	int led;
	int learned;   /* from itself, not from its row in the store */
	rp_ms left_at; /* its row was removed, as it was stopping; 0: not */
};

/* --- pool-vm.c: the entry VMs that are known -------------------------- */

/* Whether the name is this VM's. */
int pool_is_self(const struct pool *p, const char *vm);
struct pool_vm *pool_find_vm(struct pool *p, const char *name);
/* A VM has dialled this one. Adds it if the rows of VMs were not read yet. */
void pool_vm_learn(struct pool *p, const PoolHello *hello);
/* Number of VMs in the VM's failure domain that are to lead it before. */
unsigned pool_domain_rank(const struct pool *p, const char *vm,
			  const char *failure_domain, int64_t processor);
int pool_members_init(struct pool *p);
void pool_members_tick(struct pool *p, rp_ms now);
/* This process was suspended for ms. */
void pool_handle_pause(struct pool *p, rp_ms ms);
/*
 * Adds or changes an entry VM, as its row in the store says. version: of the
 * row; 0: it was not read.
 */
void pool_vm_update(struct pool *p, const PoolHello *hello, int64_t version);
/*
 * Whether another VM's row may have the same LEAD_SHORT_VERSION() as this VM's.
 * Rows are read in the order of their versions, so this VM knows all older rows
 * once it has read its own.
 */
int pool_vm_may_share_version(const struct pool *p);
/* The VM's row was removed. It is known for a while, as it may be alive. */
void pool_vm_left(struct pool *p, const char *vm);
/* All rows were read: forgets the VMs that have none. */
void pool_vms_read(struct pool *p);
void pool_frame_received(struct pool_link *l, PoolFrame *frame);
/* refused: the connection was refused, so nothing listens there. */
void pool_link_on_close(struct pool_link *l, const char *reason, int refused);
/* Passes a member's job to the scheduler of this leader. */
void pool_schedule_job(struct pool *p, struct pool_member *m, PoolSubmit *sub);
/* Whether there is a leader, or there may be one again in time for a job. */
int pool_leader_expected(const struct pool *p);
/* Whether there is a leader that takes jobs of this VM now. */
int pool_can_submit(const struct pool *p);
/* Sends to the leader, which may be this VM. */
void pool_send_submit(struct pool *p, PoolSubmit *sub);
/* Cancels a job of this VM, now and over the next link to the leader. */
void pool_send_cancel(struct pool *p, uint64_t seq);
/* Sends the recent ones again, as a link may have lost them. */
void pool_cancels_resend(struct pool *p);
/*
 * Send from this leader to the entry VM that owns a job. Return the mark of
 * the message, or 0 when this VM is the owner.
 */
uint64_t pool_send_answer(struct pool *p, struct pool_member *m,
			  PoolAnswer *answer);
uint64_t pool_send_progress(struct pool *p, struct pool_member *m,
			    PoolProgress *progress);
/* Acknowledges the leader's messages; once per loop iteration. */
void pool_send_ack(struct pool *p);
struct pool_member *pool_find_member(struct pool *p, const char *vm);
/* When the member certainly followed this leader; it has a link. */
rp_ms pool_member_followed_at(const struct pool_member *m);
/* Whether all registered entry VMs have a live link to this leader. */
int pool_all_vms_linked(struct pool *p);
/* The VM has sent a hello, so that it is not dead. */
void pool_vm_is_up(struct pool *p, const char *vm);
/* See struct lead. */
int pool_is_isolated(struct pool *p);
/* Whether a VM that may own jobs has no live link to this leader. */
int pool_owner_may_be_missing(struct pool *p);
/*
 * A VM that is not linked may own jobs of an earlier leader, or be a leader
 * that was cut off and has jobs of its own. It submits them when it joins.
 */
void pool_check_missing_owners(struct pool *p);
/*
 * Whether at the addresses of all VMs without a live link nothing has listened
 * a moment ago. Connects to them if that is not known.
 */
int pool_missing_vms_are_dead(struct pool *p);
/*
 * Opens a probe link to each known VM that is not linked to this leader, and
 * sends it a heartbeat. A VM that has just started may know of no leader, and
 * of no other VM.
 */
void pool_dial_unlinked(struct pool *p);
/*
 * On the leader: tells VMs that cannot read its row of it, and forgets those
 * that have left.
 */
void pool_vms_tick(struct pool *p);
/* Removes all members and closes their links: this VM stops leading. */
void pool_members_clear(struct pool *p);

/* --- pool-beat.c: heartbeats ------------------------------------------ */

/* A VM with this many times the processor of the leader takes its place. */
#define POOL_LARGER_FACTOR 2

/* This VM's processor, thousandths of a core of nominal speed. */
int64_t pool_processor(const struct pool *p);
/* Fills names with the members to lead next, best first. Returns how many. */
size_t pool_successors(struct pool *p, char **names, size_t max);
void pool_send_heartbeat(struct pool *p, struct pool_link *l);
/* To be freed with pool_beat__free_unpacked(). */
PoolBeat *pool_heartbeat_copy(const PoolBeat *hb);
void pool_send_heartbeats(struct pool *p);
/* Between those that a VM sends; it grows with the number of VMs. */
rp_ms pool_heartbeat_interval(const struct pool *p);

/* --- pool-waiting.c: how many jobs wait in a queue -------------------- */

#define POOL_WAITING_MAX 64 /* queues that a heartbeat names */

/* Names queues with waiting jobs in the heartbeat. */
void pool_waiting_list(struct pool *p, PoolBeat *hb, PoolWaiting *list);

enum pool_count {
	POOL_COUNT_UNKNOWN, /* no leader is known that could tell */
	POOL_COUNT_KNOWN,
	POOL_COUNT_TO_ASK, /* the leader's heartbeat leaves queues out */
};

/* Counts a queue's waiting jobs in the pool. */
enum pool_count pool_waiting_jobs(struct pool *p, const char *queue,
				  unsigned *jobs);
void pool_count_query_received(struct pool *p, struct pool_link *l,
			       const PoolCountQuery *msg);
void pool_count_reply_received(struct pool *p, const PoolCountReply *msg);
/* Asks the leader for the counts that requests wait for. */
void pool_counts_flush(struct pool *p);
/* Goes on with the requests that have waited for long enough. */
void pool_counts_tick(struct pool *p);
void pool_counts_finish(struct pool *p);

/* --- pool-lead.c: the election of the leader ------------------------- */

void pool_lead_init(struct pool *p);
void pool_lead_tick(struct pool *p, rp_ms now);
/* Whether the targets of the failure domain are this leader's. */
int pool_leads_domain(const struct pool *p, const char *domain);
/* Resigns when a member is better suited to lead. */
void pool_check_handover(struct pool *p);

/* --- pool-store.c: what this VM reads and writes in the store -------- */

int pool_store_init(struct pool *p);
void pool_store_tick(struct pool *p, rp_ms now);
/* Has the store confirm that this VM leads, without waiting for the interval.
 */
void pool_store_confirm(struct pool *p);
/* Claims the leadership by a compare-and-set of the leader's row. */
void pool_store_claim(struct pool *p, const struct lead_row *row,
		      int64_t expected);
/* The leader alone reads the list of targets and stored jobs. */
void pool_store_set_leading(struct pool *p, int leads);
/* Removes this VM's row from the store, as the VM is stopping. */
void pool_store_unregister(struct pool *p);

/* --- pool-deadline.c: how long callers wait --------------------------- */

/* On the leader: the longest that callers still wait, for a heartbeat, ms. */
uint32_t pool_callers_wait_ms(const struct pool *p);
/* A leader's heartbeat tells it. */
void pool_callers_wait_received(struct pool *p, uint32_t ms);

/* --- pool-share.c: the list of targets on VMs that don't read it ------- */

/* An entry of the list, kept also after it was removed. */
struct pool_listing {
	struct sched_listing l;
	int removed;
	int64_t version;     /* of the store at the latest change */
	int64_t row_version; /* of its row as read last, changed or not */
	int to_send;	     /* changed since the last pool_share_flush() */
	rp_ms leaves_at; /* while it drains, by this VM's clock; 0: not known */
};

/* Records an entry as read from the store, or its removal. */
void pool_share_listed(struct pool *p, const struct sched_listing *l,
		       int64_t version);
void pool_share_removed(struct pool *p, const char *id, int64_t version);
/* The leader knows all changes up to the version. */
void pool_share_read_up_to(struct pool *p, int64_t version);
/* Sends changes to members that may have to lead without the store. */
void pool_share_flush(struct pool *p);
void pool_listings_received(struct pool *p, const PoolListings *msg);

/* --- pool-confirm.c: whether the list has all targets in use ---------- */

/* Whether the store's list has all targets that this leader uses. */
int pool_listing_is_confirmed(struct pool *p);
/* A leader's heartbeat says whether it has. */
void pool_listing_heartbeat_received(struct pool *p, const PoolBeat *msg);
/* Decides whether the leader before this one may use unlisted targets. */
void pool_listing_check_predecessor(struct pool *p);

/* --- pool-evacuate.c: evacuated failure domains ------------------------ */

/* Domains that are kept, with those that are not evacuated any more. */
#define POOL_EVACUATIONS_MAX 32

struct pool_evacuation {
	char failure_domain[RP_NAME_MAX];
	int active;
	int64_t version; /* of the store at the latest change */
	uint32_t round;	 /* of the full read that found it last */
};

/* Takes over what is newer than what is known. source is logged. */
void pool_evacuation_set(struct pool *p, const char *failure_domain, int active,
			 int64_t version, const char *source);
void pool_evacuations_received(struct pool *p, const PoolBeat *msg);
/* Lists the known domains for a heartbeat. Returns how many. */
size_t pool_evacuations_list(const struct pool *p, PoolEvacuation *list,
			     size_t max);
size_t pool_evacuations_active(const struct pool *p);
/* Passes what is known to a scheduler that has just begun. */
void pool_evacuations_begin(struct pool *p);

/* --- pool-log.c: log lines of the scheduler, of struct sched_ops ------ */

void pool_log_job(struct sched *s, const struct sched_job *job,
		  const PoolAnswer *answer);
void pool_log_run(struct sched *s, const char *event,
		  const struct sched_target *t, const struct sched_task *task,
		  const char *reason);
void pool_log_loss(struct sched *s, const char *event,
		   const struct sched_task *task, const struct sched_loss *loss,
		   const char *reason);
void pool_log_domain(const struct sched_target *t);
void pool_log_move(struct sched *s, const struct sched_task *task,
		   const struct sched_move *m);

/* --- pool-target.c: the scheduler and its calls ---------------------- */

/* Starts the scheduler with the fencing token of this leader. */
void pool_sched_begin(struct pool *p, uint64_t fence);
/* Drops the scheduler with all its jobs. reason is logged. */
void pool_sched_end(struct pool *p, const char *reason);

/* Calls targets of other failure domains, for lead_reachability_result(). */
void pool_check_reachability(struct pool *p);
/* Passes a known listing if this VM leads its failure domain. */
void pool_list_cached_target(struct pool *p, const struct pool_listing *e);
/* The same for all known listings. */
void pool_list_cached_targets(struct pool *p);
/* Passes a listing to the scheduler if this VM leads its failure domain. */
void pool_sched_target_listed(struct pool *p, const struct sched_listing *l);

/* Timeout of a call to a target beyond the wait that it asks for, ms. */
rp_ms pool_reply_timeout(const struct pool *p);

/* --- pool-keep.c: stored jobs, on the leader -------------------------- */

/* Queue a row to be written. Return the mark that its write acknowledges. */
uint64_t pool_stored_losses(struct pool *p, struct sched_job *job);
uint64_t pool_stored_domains(struct sched *s, struct sched_job *job);
uint64_t pool_stored_progress(struct pool *p, struct sched_job *job,
			      const struct sched_task *task);
uint64_t pool_stored_answer(struct pool *p, struct sched_job *job,
			    PoolAnswer__Outcome outcome);
void pool_stored_begin(struct pool *p);
void pool_stored_tick(struct pool *p, rp_ms now);
void pool_stored_end(struct pool *p);
/* Whether the leader, as far as is known, has memory for more stored jobs. */
int pool_stored_has_room(const struct pool *p);
/*
 * The row of an ended job is removed ended_retention and this after its end.
 * A submission is written for ended_retention at most after it is received, and
 * the store may make that write 6 s late.
 */
#define POOL_RETENTION_MARGIN_MS 30000
/* Age of such a row up to which it outlasts a submission that comes now. */
#define POOL_ENDED_RELIED_MS (POOL_RETENTION_MARGIN_MS - 10000)
int pool_ended_row_lasts(const struct pool *p, rp_ms ended_at);
/* Whether a row says that the job is cancelled, or is about to. */
int pool_stored_is_cancelled(struct pool *p, const char *id);
/* Whether this VM leads and has started a task of the job. */
int pool_stored_started(struct pool *p, const char *id);

/* --- pool-state.c: queries for the state of stored jobs, on the leader - */

/* m: the member that asks; NULL: this VM. */
void pool_state_query_received(struct pool *p, const struct pool_member *m,
			       const PoolStateQuery *msg);
/* vm: the one that asked; "": this one. */
void pool_state_reply(struct pool *p, const char *vm, PoolStateReply *msg);
/* Replies to the queries that need not wait any more. */
void pool_state_flush(struct pool *p);

/* --- pool-state-cancel.c: queries to cancel a job, on the leader ------ */

void pool_cancel_query_received(struct pool *p, const char *vm,
				const PoolStateQuery *msg);
/* Replies to those that are not pending any more. */
void pool_cancel_queries_flush(struct pool *p);
/* Drops all: this VM does not lead any more. */
void pool_cancel_queries_end(struct pool *p);

/* --- pool-job.c: requests for stored jobs, on any VM ------------------ */

/* The leader's reply to a query for the state of a job. */
void pool_job_state_received(struct pool *p, const PoolStateReply *msg);
/* Reads the rows of jobs for which the leader has not replied in time. */
void pool_job_queries_expire(struct pool *p);
/* Answers requests at their deadlines, and repeats calls to the store. */
void pool_jobs_tick(struct pool *p);
int pool_jobs_init(struct pool *p);
/* Writes the jobs that were submitted in this loop iteration. */
void pool_jobs_flush(struct pool *p);
/* Answers all requests that wait for the store: this VM is about to exit. */
void pool_jobs_abort(struct pool *p);
/* Frees what waits for the store, after the loop and the servers have ended. */
void pool_jobs_finish(struct pool *p);

/* --- pool-request.c: callers' requests ------------------------------- */

struct pool_request;

struct pool_response {
	unsigned status; /* of HTTP; 0: not known yet */
	const char *body;
	char buf[64];		/* for a body that is not a constant */
	unsigned retry_after_s; /* 0: no such header */
};

struct pool_request *pool_request_new(struct pool *p, const char *method,
				      const char *path);
void pool_request_free(struct pool_request *r);
/* Handles a request whose body is complete. */
void pool_request_begin(struct pool_request *r, const char *host,
			const char *deadline, struct MHD_Connection *conn);
/* The caller has closed the connection: its job is cancelled. */
void pool_request_caller_closed(struct pool_request *r);
const char *pool_outcome_name(PoolAnswer__Outcome outcome);
/* The open job of this VM with the number, or NULL. */
struct pool_request *pool_request_find(struct pool *p, uint64_t seq);
/* Messages from the leader. */
void pool_request_answer_received(struct pool *p, const PoolAnswer *answer);
void pool_request_progress_received(struct pool *p,
				    const PoolProgress *progress);
/* Submits all open jobs to the current leader, and cancels the others. */
void pool_requests_resubmit(struct pool *p);
/* Answers all open requests: this VM is about to exit. */
void pool_requests_abort(struct pool *p);
/*
 * On a leader: notes which of the jobs of its own callers its scheduler may
 * have started, before that is dropped (pool-started.c).
 */
void pool_requests_note_own_starts(struct pool *p);
void pool_requests_tick(struct pool *p, rp_ms now);
/* Goes on with the requests that need not wait for the routes any more. */
void pool_requests_resume_awaiting(struct pool *p);

/* --- pool-use.c: service that is missing ------------------------------ */

/* Adds up the time in which this VM heard no leader. */
void pool_count_leaderless(struct pool *p, int alive);
/* Listed targets of failure domains that this provisional leader leaves out. */
unsigned pool_targets_not_led(const struct pool *p);
/* Warns when this leader uses less than half of the targets for some time. */
void pool_check_targets_in_use(struct pool *p);

/* --- pool-cause.c: why jobs were not served --------------------------- */

#define POOL_CAUSES_MAX 32

struct pool_cause {
	char reason[64];
	uint64_t count;
	rp_ms age_sum; /* of the requests at their answers */
};

/* Counts an answer of a job that was not completed. */
void pool_cause_add(struct pool *p, const char *outcome, const char *reason,
		    rp_ms age);

/* --- pool-serve.c: HTTP servers -------------------------------------- */

int pool_serve_init(struct pool *p);
/* Runs the servers that are due. Returns ms until the next timeout, or -1. */
rp_ms pool_serve_run(struct pool *p);
/* Resumes a suspended connection, whose response has been set. */
void pool_serve_resume(struct pool *p, struct MHD_Connection *conn);
void pool_serve_finish(struct pool *p);

/* --- pool-count.c: counters ------------------------------------------ */

#define POOL_BUCKETS 12

struct pool_histogram {
	uint64_t buckets[POOL_BUCKETS]; /* upper bounds double from 16 ms */
	uint64_t count;
	double sum; /* ms */
};

struct pool_counters {
	uint64_t no_memory; /* jobs that were refused for want of memory */
	uint64_t cancels_recorded, cancels_refused; /* by the leader */
	uint64_t requests, bad, not_found, rejected, answered, callers_gone;
	uint64_t store_calls, store_failed, target_calls, target_unanswered;
	uint64_t agent_calls, agent_unanswered, calls_resent;
	uint64_t calls_repeated;
	uint64_t links, pauses, takeovers, watch_restarts;
	uint64_t leaderless_ms; /* time in which this VM heard no leader */
	/* Bytes over links by kind of frame, POOL_FRAME__BODY_*. */
	uint64_t sent_bytes[POOL_FRAME_KINDS];
	uint64_t received_bytes[POOL_FRAME_KINDS];
	struct pool_histogram latency; /* from a request to its answer, ms */
	struct pool_histogram lag;     /* delay of the loop's ticks, ms */
};

void pool_histogram_add(struct pool_histogram *h, rp_ms ms);
/* Logs at intervals what passes over the leader's links. */
void pool_log_traffic(struct pool *p);
/* On the leader: logs for what the jobs of each queue have waited. */
void pool_log_delays(struct pool *p);
/* Returns the metrics as text, to be freed. */
char *pool_metrics(struct pool *p);

/* One HTTP server. */
struct pool_http {
	struct MHD_Daemon *mhd;
	struct conn_table conns;
	struct pool_fd fd; /* libmicrohttpd's own epoll descriptor */
	struct pool *p;
	int run_due; /* MHD_run() is to be called */
};

enum pool_server {
	POOL_CALLERS,
	POOL_READY,
	POOL_METRICS,
	POOL_SERVERS,
};

struct pool_watch;

/* --- pool-turn.c: time that the turns of the event loop take ----------- */

enum pool_activity {
	POOL_ON_EVENTS,
	POOL_ON_CALLS,
	POOL_ON_STORE,
	POOL_ON_MEMBERS,
	POOL_ON_SCHEDULER,
	POOL_ON_REQUESTS,
	POOL_ON_DISPATCH,
	POOL_ON_LINKS,
	POOL_ON_HTTP,
	POOL_ON_LOGS,
	POOL_ACTIVITIES,
};

struct pool_turn {
	int64_t begun_us, marked_us;
	int64_t us[POOL_ACTIVITIES]; /* of the present turn */
	int64_t max_us[POOL_ACTIVITIES], sum_us[POOL_ACTIVITIES];
	rp_ms logged_at;
};

void pool_turn_begin(struct pool *p);
/* Charges the time since the last mark to the activity. */
void pool_turn_mark(struct pool *p, enum pool_activity a);
void pool_turn_end(struct pool *p);
const char *pool_activity_name(enum pool_activity a);

/* Jobs cancelled of late that are kept. */
#define POOL_CANCELLED_KEPT 512

struct pool_cancelled {
	uint64_t seq;
	rp_ms until; /* it need not be sent again from then on */
};

/* State of the daemon. Times are those of pool_clock(). */
struct pool {
	struct pool_settings set;
	struct pool_limits limits;
	struct rp_budget budget;
	size_t held_peak; /* bytes, since memory was last returned */
	rp_ms limits_logged_at;
	uint64_t incarnation; /* random, new at each start */
	apr_pool_t *pool;
	int epoll;
	rp_ms now;
	rp_ms wake_at; /* when the latest epoll_wait() was to return */
	struct pool_fd signals;
	int stopping; /* SIGTERM or SIGINT came */
	rp_ms stopping_since;
	int finished;	 /* the loop ends after this iteration */
	void **deferred; /* to be freed at the end of the iteration */
	size_t ndeferred, cap_deferred;
	CURLM *curl;
	rp_ms curl_timer_due; /* -1: not armed */
	struct pool_call *calls;
	CURL *idle_handles[POOL_IDLE_HANDLES];
	size_t nidle_handles;
	struct pool_resend resend;
	apr_hash_t *agent_calls;       /* seq -> struct pool_call, ordered */
	apr_hash_t *targets_by_number; /* struct sched_target, introduced */
	uint32_t agent_call_seq, last_target_number;
	struct pool_starts starts;
	rp_ms balanced_at; /* when targets last moved between agents */
	/* On an agent or owner: what the leader said over the present link. */
	apr_hash_t *agent_targets;	   /* number -> struct agent_target */
	uint64_t order_fence, start_fence; /* 0: none came yet */
	uint64_t last_link_number;
	uint64_t call_group; /* of the current scheduler's calls */
	struct pool_http servers[POOL_SERVERS];
	struct pool_fd listener;
	struct pool_link *links;
	size_t nlinks;
	struct pool_link *leader_link; /* NULL: none, or this VM leads */
	rp_ms dial_due;
	rp_ms heartbeat_sent_at;
	rp_ms traffic_logged_at;
	rp_ms delays_logged_at;
	int logged_leader_alive; /* as last logged; -1: not yet */
	rp_ms started_at;
	rp_ms leader_alive_at; /* when it was last known alive; 0: never */
	rp_ms leader_checked_at;
	rp_ms uses_counted_at, few_targets_since, few_targets_warned_at;
	uint64_t uses_logged_fence;	/* token at the last log of the uses */
	enum sched_use most_common_use; /* of the targets, as last logged */
	int vms_read;			/* the rows of all VMs were read */
	size_t nlearned_vms;		/* VMs that were learned of otherwise */
	/* A VM that may own jobs had no link to this leader then. */
	rp_ms owner_missing_at;
	rp_ms announced_at;	/* to VMs that are not linked to this leader */
	rp_ms announcing_since; /* as the store has not confirmed it; 0: not */
	struct pool_vm *vms;
	struct pool_member *members; /* of this leader */
	struct pool_member self;     /* this VM as owner of its jobs */
	PoolBeat *leader_heartbeat;  /* latest of the leader; NULL: none */
	struct pool_evacuation evacuations[POOL_EVACUATIONS_MAX];
	size_t nevacuations;
	struct pool_request *awaiting_routes;
	struct pool_queue_counts *queue_counts; /* NULL: none were needed */
	struct pool_cause causes[POOL_CAUSES_MAX];
	size_t ncauses;
	rp_ms store_back_at; /* the latest outage of the store ended; 0: none */
	/*
	 * Token of the leader whose latest heartbeat says that the store's list
	 * has all targets that it uses, and when it came; 0: none.
	 */
	uint64_t list_confirmed_fence;
	rp_ms list_confirmed_at;
	/* Callers of jobs that leaders have had may wait until then; 0: none.
	 */
	rp_ms callers_wait_until;
	int evacuations_known;	  /* the operator's table has been read */
	int64_t operator_version; /* of the store, up to which it was read */
	uint64_t received_mark;	  /* of the leader's latest message */
	uint64_t acked_mark;	  /* last acknowledged to the leader */
	struct lead lead;
	struct sched sched;
	int leading;		 /* this VM leads, and sched is in use */
	int listings_changed;	 /* some of listings are to be sent */
	apr_hash_t *listings;	 /* target id -> struct pool_listing */
	int64_t listing_version; /* all changes up to it are in listings */
	rp_ms listings_sent_at;
	unsigned reachability_calls; /* in flight */
	uint32_t reachability_round; /* replies of earlier checks are ignored */
	rp_ms prev_leader_notified_at;
	int dispatch_due;    /* sched_dispatch() is to be called */
	int fenced;	     /* lead_fenced() is to be called */
	rp_ms lagging_since; /* ticks have been late since; 0: they are not */
	double lag;	     /* moving mean of the ticks' delay, ms */
	struct pool_routes *routes; /* NULL: not read yet */
	struct pool_watch *watches;
	rp_ms store_clock_offset;	 /* store's clock minus pool_clock() */
	struct stored_jobs *stored_jobs; /* while this VM leads, else NULL */
	int has_stored_jobs; /* whether the store holds jobs; -1: not known */
	int accepted_stored_job; /* a caller submitted one to this VM */
	/* When the store last confirmed that this VM leads. */
	rp_ms leadership_confirmed_at;
	struct pool_job_calls *job_calls; /* requests that wait for the store */
	struct pool_state_query *state_queries; /* to this leader */
	struct pool_cancel_query *cancel_queries;
	size_t ncancel_queries;
	apr_hash_t *requests; /* seq -> struct pool_request */
	uint64_t next_seq;
	struct pool_cancelled cancelled[POOL_CANCELLED_KEPT]; /* a ring */
	size_t ncancelled;
	unsigned nopen; /* requests not yet answered */
	struct pool_turn turn;
	struct pool_counters count;
};

int pool_run(const struct pool_settings *set);

#endif
