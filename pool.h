#ifndef POOL_H
#define POOL_H

/*
 * rosemary-poold: an entry VM of a pool, on one event loop.
 *
 * Callers' jobs are passed to the leader of the pool over a link, and their
 * answers come back over it; the leader runs the scheduler and calls the
 * targets. Which VM leads is settled through the platform's store.
 */

#include "lead.h"
#include "log.h"
#include "pool-route.h"
#include "scheduler.h"

#include <curl/curl.h>
#include <microhttpd.h>
#include <stdint.h>

struct pool;

/* --- pool-setting.c -------------------------------------------------- */

struct pool_settings {
	char vm_name[RP_NAME_MAX];
	char failure_domain[RP_NAME_MAX];
	char listen[RP_ADDRESS_MAX];	     /* callers */
	char ready_listen[RP_ADDRESS_MAX];   /* readiness checks */
	char metrics_listen[RP_ADDRESS_MAX]; /* "": none */
	char link_address[RP_ADDRESS_MAX];   /* other entry VMs */
	char link_listen[RP_ADDRESS_MAX];    /* "": the same */
	char store_address[RP_ADDRESS_MAX];  /* the platform's store */
	int64_t processor;		     /* thousandths of a core */
	int64_t processor_speed;	     /* of that core, thousandths */
	rp_ms ended_retention;	 /* a stored job that is over is known for */
	rp_ms max_lease;	 /* longest lease that targets grant */
	rp_ms grace;		 /* from SIGTERM to the last answer */
	rp_ms rotation;		 /* until the balancer has seen it unready */
	char order[RP_NAME_MAX]; /* policies of the scheduler */
	char admit[RP_NAME_MAX];
	char place[RP_NAME_MAX];
	char move[RP_NAME_MAX];
	enum log_level log_level;
	int check_only;
};

/* Reads flags and ROSEMARY_POOL_*. Returns 0, or an exit status. */
int pool_settings_load(struct pool_settings *set, int argc, char **argv);

/* --- pool-loop.c: sockets and time ----------------------------------- */

struct pool_fd {
	int fd;
	uint32_t events; /* of epoll that are watched; 0: none */
	void (*on_event)(struct pool_fd *f, uint32_t events);
};

#define POOL_LEADER_TICK_MS 20	 /* between ticks of the leader */
#define POOL_FOLLOWER_TICK_MS 50 /* of the others */
#define POOL_PAUSE_MS 300	 /* a turn of the loop this late was a pause */

rp_ms pool_clock(void); /* runs on while the machine is suspended */
int pool_fd_watch(struct pool *p, struct pool_fd *f, uint32_t events);
void pool_fd_unwatch(struct pool *p, struct pool_fd *f);
/* Frees memory once no event of this turn can point to it. */
void pool_defer_free(struct pool *p, void *memory);
int pool_loop_init(struct pool *p);
void pool_loop_run(struct pool *p);
/* Splits "ip:port". Returns 0, or -1. */
struct sockaddr_in;
int pool_parse_address(const char *text, struct sockaddr_in *sa);

/* --- pool-call.c: HTTP calls to the store and to targets ------------- */

struct pool_call;

typedef void pool_call_cb(struct pool_call *c, long status, const char *body,
			  size_t len);

struct pool_call {
	struct pool *p;
	CURL *easy;
	struct curl_slist *headers;
	char *request; /* body, owned; NULL: a GET */
	char *body;
	size_t len, cap;
	/* Made by another VM; then there is no easy. */
	struct pool_member *agent;
	uint64_t seq;
	rp_ms expires_at; /* without a reply it is given up */
	pool_call_cb *on_done;
	void *user;	/* of the caller */
	uint64_t group; /* for pool_calls_cancel() */
	uint64_t fence; /* likewise the caller's */
	char task[SCHED_TASK_NAME];
	uint32_t tag;
	rp_ms sent_at;
	struct pool_call *next, **prev;
};

#define POOL_IDLE_HANDLES 256 /* handles of curl kept for further calls */

struct pool_call_spec {
	const char *address;
	const char *path;
	const char *header; /* besides the usual ones; NULL: none */
	char *request;	    /* taken over; NULL: a GET */
	rp_ms timeout;
	int fresh_connect; /* on a new connection */
	pool_call_cb *on_done;
};

int pool_calls_init(struct pool *p);
/* A call that curl does not make. */
struct pool_call *pool_call_new(struct pool *p,
				const struct pool_call_spec *spec);
/* Reports the answer and frees the call. */
void pool_call_end(struct pool_call *c, long status, const char *body,
		   size_t len);
/* Returns the call, so that its user fields can be set. */
struct pool_call *pool_call_begin(struct pool *p,
				  const struct pool_call_spec *spec);
/* How long until curl's timer is due, ms; -1: there is none. */
rp_ms pool_calls_timeout(const struct pool *p);
void pool_calls_tick(struct pool *p);
/* Ends the calls with a token without reporting them. */
void pool_calls_cancel(struct pool *p, uint64_t token);

/* --- pool-link.c: connections between entry VMs ---------------------- */

struct pool_link {
	struct pool_fd fd; /* must be first */
	struct pool *p;
	struct pool_link *next;
	struct pool_member *member; /* whose link it is, inbound */
	char peer[RP_NAME_MAX];
	int inbound, probe, connecting, closed;
	rp_ms opened_at, received_at;
	char *in;
	size_t in_len, in_cap;
	char *out;
	size_t out_len, out_cap;
};

int pool_links_init(struct pool *p);
/* Starts to connect; the first frame says who dials. NULL when it cannot. */
struct pool_link *pool_link_dial(struct pool *p, const char *vm,
				 const char *address, int probe);
void pool_link_send(struct pool_link *l, const PoolFrame *frame);
void pool_link_close(struct pool_link *l, const char *why);
/* Writes what waits and frees what is closed; once a turn. */
void pool_links_flush(struct pool *p);

/* --- pool-member.c: the pool's entry VMs and its leader -------------- */

#define POOL_RECENT_ANSWERS 256 /* kept for a member whose link broke */

struct pool_recent_answer {
	uint64_t seq;
	PoolAnswer__Outcome outcome;
	uint32_t retry_after_ms;
	char reason[48];
};

/* An entry VM whose jobs this leader schedules. */
struct pool_member {
	struct pool_member *next;
	char vm[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	char failure_domain[RP_NAME_MAX];
	int64_t processor;   /* thousandths of a core */
	int store_reachable; /* answers it */
	uint64_t incarnation;
	struct pool_link *link; /* NULL: broken */
	rp_ms joined_at, disconnected_at;
	uint64_t sent_mark;	 /* mark of the latest message to it */
	size_t assigned_targets; /* targets that it calls for this leader */
	struct pool_recent_answer answers[POOL_RECENT_ANSWERS];
	size_t nanswers;
};

/* An entry VM that the store names. */
struct pool_vm {
	struct pool_vm *next;
	char vm[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	int64_t processor; /* thousandths of a core */
};

int pool_members_init(struct pool *p);
void pool_members_tick(struct pool *p, rp_ms now);
void pool_handle_pause(struct pool *p, rp_ms now);
/* Rows of the store. */
void pool_vm_update(struct pool *p, const PoolHello *vm);
void pool_vm_remove(struct pool *p, const char *vm);
void pool_frame_received(struct pool_link *l, PoolFrame *frame);
void pool_link_on_close(struct pool_link *l, const char *why, int refused);
/* A job of a member, for the scheduler of this leader. */
void pool_schedule_job(struct pool *p, struct pool_member *m, PoolSubmit *sub);
/* Whether a job that comes now may find a leader in time. */
int pool_leader_expected(const struct pool *p);
/* To the leader, which may be this VM. */
void pool_send_submit(struct pool *p, PoolSubmit *sub);
void pool_send_cancel(struct pool *p, uint64_t seq);
/* From this leader to the owner of a job. */
/* Return the mark of the message, or 0 where it is there at once. */
uint64_t pool_send_answer(struct pool *p, struct pool_member *m,
			  PoolAnswer *answer);
uint64_t pool_send_progress(struct pool *p, struct pool_member *m,
			    PoolProgress *progress);
/* Tells the leader what was heard from it; once a turn. */
void pool_send_ack(struct pool *p);
struct pool_member *pool_find_member(struct pool *p, const char *vm);
/* Whether all entry VMs known are linked to this leader, and hear it. */
int pool_all_linked(struct pool *p);
/* Dials all other entry VMs that the store names, to ask or to tell. */
void pool_dial_all(struct pool *p, int tell);
void pool_members_clear(struct pool *p);

/* --- pool-beat.c: heartbeats ------------------------------------------ */

/* A VM with so many times the processor of another is to lead rather. */
#define POOL_LARGER_FACTOR 2

/* This VM's processor, thousandths of a usual core. */
int64_t pool_processor(const struct pool *p);
/* Names of the members that are to lead next, best first. */
size_t pool_successors(struct pool *p, char **names, size_t max);
void pool_send_heartbeat(struct pool *p, struct pool_link *l);
void pool_send_heartbeats(struct pool *p);
/* Jobs of a queue that wait, over the pool. Returns whether it is known. */
int pool_waiting_jobs(struct pool *p, const char *queue, unsigned *jobs);

/* --- pool-lead.c: this VM and the leadership ------------------------- */

void pool_lead_init(struct pool *p);
void pool_lead_tick(struct pool *p, rp_ms now);
/* Resigns for a VM that is to lead rather. */
void pool_check_handover(struct pool *p);

/* --- pool-relay.c: jobs to the leader, answers from it --------------- */

/* --- pool-store.c: what this VM reads and writes in the store -------- */

int pool_store_init(struct pool *p);
void pool_store_tick(struct pool *p, rp_ms now);
void pool_store_claim(struct pool *p, const struct lead_row *row,
		      int64_t expected);
/* The list of targets is read by the leader only. */
void pool_store_set_leading(struct pool *p, int leads);
void pool_store_unregister(struct pool *p);

/* --- pool-target.c: the scheduler and its calls ---------------------- */

/* Takes office, or gives it up and forgets all it had scheduled. */
void pool_sched_begin(struct pool *p, uint64_t fence);
void pool_sched_end(struct pool *p, const char *why);

/* Calls some targets of other failure domains, for lead_surveyed(). */
void pool_check_reachability(struct pool *p);
/* Passes a target's entry to the scheduler, if the target is its to use. */
void pool_sched_target_listed(struct pool *p, const struct sched_listing *l);

/* A call to a target that is answered usually is within, ms. */
rp_ms pool_reply_timeout(const struct pool *p);

/* --- pool-keep.c: jobs that the store keeps, on the leader ------------ */

/* Return the mark of the write, as struct sched_ops has it. */
uint64_t pool_stored_progress(struct pool *p, struct sched_job *job,
			      const struct sched_task *task);
uint64_t pool_stored_answer(struct pool *p, struct sched_job *job,
			    PoolAnswer__Outcome outcome);
void pool_stored_begin(struct pool *p);
void pool_stored_tick(struct pool *p, rp_ms now);
void pool_stored_end(struct pool *p);
/* Whether a task of the job has been started here. */
int pool_stored_started(struct pool *p, const char *id);

/* --- pool-job.c: jobs that the store keeps, on any VM ----------------- */

int pool_jobs_init(struct pool *p);
/* Writes what was accepted in this turn. */
void pool_jobs_flush(struct pool *p);
/* Answers all that wait for the store: this VM is about to end. */
void pool_jobs_abort(struct pool *p);

/* --- pool-agent.c: calls that other VMs make for the leader ----------- */

/* Who is to call the target; NULL: this VM. */
struct pool_member *pool_agent_for(struct pool *p, struct sched_target *t);
/* As pool_call_begin(), by that VM; wait: the answer may take longer. */
struct pool_call *pool_agent_call(struct pool *p, struct pool_member *m,
				  const struct pool_call_spec *spec,
				  rp_ms wait);
/* Calls that the member was to make have no answer. */
void pool_agent_lost(struct pool *p, struct pool_member *m);
void pool_agent_tick(struct pool *p, rp_ms now);
/* Frames: to this VM as an agent, and to the leader. */
void pool_agent_call_received(struct pool *p, const PoolCall *call);
void pool_agent_reply_received(struct pool *p, struct pool_member *m,
			       const PoolReply *reply);

/* --- pool-request.c: callers' jobs ----------------------------------- */

struct pool_request;

/* How a request that came whole was dealt with. */
struct pool_response {
	unsigned status; /* 0: the answer comes later */
	const char *body;
	char text[64];	      /* where body is made up */
	unsigned retry_after; /* seconds; 0: none */
};

struct pool_request *pool_request_new(struct pool *p, const char *method,
				      const char *path);
void pool_request_free(struct pool_request *r);
/* Appends to the body. Returns -1 when it is longer than allowed. */
int pool_request_append(struct pool_request *r, const char *data, size_t len);
void pool_request_begin(struct pool_request *r, const char *host,
			const char *deadline, struct MHD_Connection *conn);
struct pool_response *pool_request_response(struct pool_request *r);
/* The caller's connection is gone. */
void pool_request_caller_gone(struct pool_request *r);
const char *pool_outcome_name(PoolAnswer__Outcome outcome);
/* From the leader. */
void pool_request_answer_received(struct pool *p, const PoolAnswer *answer);
void pool_request_progress_received(struct pool *p,
				    const PoolProgress *progress);
/* Hands all open jobs to another leader. */
void pool_requests_resubmit(struct pool *p);
/* Gives up all open requests: this VM is about to end. */
void pool_requests_abort(struct pool *p);
void pool_requests_tick(struct pool *p, rp_ms now);

/* --- pool-serve.c: HTTP servers -------------------------------------- */

int pool_serve_init(struct pool *p);
/* Returns ms until libmicrohttpd wants to run, or -1. */
rp_ms pool_serve_run(struct pool *p);
void pool_serve_resume(struct pool *p, struct MHD_Connection *conn);
void pool_serve_finish(struct pool *p);

/* --- pool-count.c ---------------------------------------------------- */

#define POOL_BUCKETS 12

struct pool_histogram {
	uint64_t buckets[POOL_BUCKETS]; /* upper bounds double from 16 ms */
	uint64_t count;
	double sum;
};

struct pool_counters {
	uint64_t requests, bad, not_found, rejected, answered, callers_gone;
	uint64_t store_calls, store_failed, target_calls, target_unanswered;
	uint64_t agent_calls, agent_unanswered;
	uint64_t links, pauses, takeovers, watch_restarts;
	struct pool_histogram latency; /* of answers, ms */
	struct pool_histogram lag;     /* of turns of the loop, ms */
};

void pool_histogram_add(struct pool_histogram *h, rp_ms ms);
/* Text to be freed. */
char *pool_metrics(struct pool *p);

struct pool_http {
	struct MHD_Daemon *mhd;
	struct pool_fd fd; /* libmicrohttpd's own epoll descriptor */
	struct pool *p;
	int run_due;
};

enum pool_server {
	POOL_CALLERS,
	POOL_READY,
	POOL_METRICS,
	POOL_SERVERS,
};

struct pool_watch;

struct pool {
	struct pool_settings set;
	uint64_t incarnation;
	apr_pool_t *pool;
	int epoll;
	rp_ms now;
	rp_ms wake_at; /* the loop last went to sleep until */
	struct pool_fd signals;
	int stopping; /* SIGTERM came */
	rp_ms stopping_since;
	int finished;
	void **deferred; /* to be freed at the end of the turn */
	size_t ndeferred, cap_deferred;
	CURLM *curl;
	rp_ms curl_timer_due; /* -1: none */
	struct pool_call *calls;
	CURL *idle_handles[POOL_IDLE_HANDLES]; /* to be used again */
	size_t nidle_handles;
	apr_hash_t *agent_calls; /* seq -> call that an agent makes */
	uint64_t agent_call_seq;
	rp_ms balanced_at;
	uint64_t call_group;
	struct pool_http servers[POOL_SERVERS];
	struct pool_fd listener;
	struct pool_link *links;
	struct pool_link *to_leader;
	rp_ms dial_due;
	rp_ms heartbeat_sent_at;
	int logged_leader_alive; /* what the log last said of the leader */
	rp_ms started_at;
	rp_ms leader_alive_at; /* the leader was last heard; 0: never */
	struct pool_vm *vms;
	struct pool_member *members;
	struct pool_member self;
	PoolBeat *leader_heartbeat; /* the leader's latest */
	uint64_t received_mark;	    /* of its latest message */
	uint64_t acked_mark;
	struct lead lead;
	struct sched sched;
	int leading;	      /* sched is in use */
	apr_hash_t *listings; /* target id -> struct sched_listing, as listed */
	unsigned reachability_calls; /* calls of the survey under way */
	int outside_reachable;	     /* one of them was answered */
	rp_ms prev_leader_notified_at;
	int sched_dirty;
	int fenced;
	rp_ms lagging_since;
	double lag; /* of late, ms */
	struct pool_routes *routes;
	struct pool_watch *watches;
	rp_ms store_clock_offset;	 /* its clock, before this VM's */
	struct stored_jobs *stored_jobs; /* while this VM leads */
	/* The store keeps jobs: 1, or 0; -1: not known. */
	int has_stored_jobs;
	int accepted_stored_job;       /* by this VM */
	rp_ms leadership_confirmed_at; /* the store last confirmed that it does
					*/
	struct pool_job_calls *job_calls; /* jobs on their way to the store */
	apr_hash_t *requests;		  /* seq -> struct pool_request */
	uint64_t next_seq;
	unsigned nopen; /* requests not yet answered */
	struct pool_counters count;
};

int pool_run(const struct pool_settings *set);

#endif
