#ifndef VMS_H
#define VMS_H

/*
 * Simulation of a pool in logical time: entry VMs with the real election
 * (lead.h) and the real scheduler, the links between them, the platform's
 * store, and callers that submit a job again at another entry VM. What the
 * pool's code does around both is modelled after pool-member.c, pool-lead.c,
 * pool-request.c, pool-relay.c, pool-confirm.c and pool-listing.c. The targets
 * are those of world.h, which checks the invariants. A day is one run of the
 * simulation, with the faults that its seed draws.
 *
 * Not modelled: stored jobs, losses, operators' requests.
 */

#include "lead.h"
#include "world.h"

#define VMS_MAX 6
#define VMS_DOMAINS 3
#define VMS_TASKS 3    /* of a job */
#define VMS_ANSWERS 64 /* recent ones that a leader keeps for a member */
#define VMS_CALLERS 512
#define VMS_FAULTS 12 /* of any kind, and of a part of the model */
#define VMS_PART_FAULTS 6
#define VMS_LATER_FAULTS 6
#define VMS_RESEND_MS 1300    /* until a caller submits its job again */
#define VMS_NO_LEADER_MS 1500 /* from which jobs are not taken */

struct vms;

struct vms_beat {
	uint64_t fence;
	int vm, leader; /* leader -1: none is known */
	int leading, hears, resigns, list_confirmed, store;
	unsigned nlinked;
	int nsuccessors, successors[LEAD_SUCCESSORS];
	rp_ms callers_wait;
	rp_ms clock, echo;
};

enum vms_kind {
	VMS_HELLO,
	VMS_BEAT,
	VMS_SUBMIT,
	VMS_CANCEL,
	VMS_ANSWER,
	VMS_PROGRESS,
	VMS_TOLD_DOMAINS,
	VMS_ACK,
	VMS_CLOSE,
	VMS_ORDER, /* a call of an agent */
	VMS_START, /* of a task of the owner */
	VMS_RUN,   /* a start that the owner passes on to an agent */
	VMS_REPLY,
};

struct vms_message {
	struct vms_message *next;
	rp_ms at; /* when it arrives, unless the path is cut or blocked */
	enum vms_kind kind;
	struct vms_beat beat;
	uint64_t leader_incarnation; /* of a hello, as its sender knows it */
	/* Of a submission, an answer, a progress or a cancellation. */
	struct world_job *job;
	uint64_t seq, mark, former;
	rp_ms age, left;
	unsigned domains; /* a bit for each; of a submission, or told */
	int any_domain, all_domains, presumes_domains;
	uint32_t done[VMS_TASKS];
	size_t ndone;
	PoolAnswer__Outcome outcome;
	int owner_starts; /* of a submission: the owner starts its tasks */
	struct world_event call;
	int agent;	/* that is to make the call; -1: the owner */
	int not_sent;	/* of a reply: the target was not called */
	rp_ms asked_at; /* of a start, by the leader */
};

enum { VMS_MEMBER, VMS_LEADER, VMS_ENDS };

/* A connection from a member to its leader. */
struct vms_link {
	struct vms_link *next;
	int vms[VMS_ENDS];
	int boots[VMS_ENDS]; /* of their processes */
	int open[VMS_ENDS];
	/* To each end, in order, and whether it waits as the path is cut. */
	struct vms_message *head[VMS_ENDS], **tail[VMS_ENDS];
	int blocked[VMS_ENDS];
	int greeted;
	int starts; /* from an owner of jobs to an agent */
	uint64_t number;
	rp_ms heard_at; /* by the leader */
	rp_ms opened_at;
	rp_ms received_at; /* by the member */
	rp_ms peer_clock;  /* the leader's, read last by the member */
	rp_ms peer_clock_at;
};

/* A member, as its leader knows it; jobs have it as their owner. */
struct vms_member {
	struct vms_member *next;
	int vm, boot;
	struct vms_link *link; /* NULL: not connected */
	int removed, silent;
	int store_reachable;
	rp_ms echoed_at, joined_at, disconnected_at;
	uint64_t sent_mark;
	struct {
		uint64_t seq;
		PoolAnswer__Outcome outcome;
	} answers[VMS_ANSWERS];
	size_t nanswers;
};

/* A call that the leader has asked members for. */
struct vms_order {
	struct vms_order *next;
	uint64_t seq;
	struct vms_member *agent, *owner; /* NULL: it has no link now */
	rp_ms sent_at, expires_at;
	struct world_event call;
};

/* An open job on the entry VM that received it. */
struct vms_request {
	struct vms_request *next;
	struct vms_caller *caller; /* NULL: it has closed the connection */
	struct world_job *job;
	uint64_t seq, started_fence, sent_fence;
	rp_ms received_at, deadline;
	unsigned domains; /* that leaders have told, a bit for each */
	int any_domain, presumes_domains;
	uint32_t done[VMS_TASKS];
	size_t ndone;
};

struct vms_caller {
	struct world_job *job;
	struct vms_request *request; /* NULL: it does not wait now */
	int vm;
	rp_ms wait;		   /* as it states */
	rp_ms first_at, resend_at; /* resend_at 0: not to be sent again */
};

struct vm {
	struct vms *o;
	int index, domain;
	int boot; /* counts its processes */
	int up;
	int vanished; /* its address does not refuse connections */
	rp_ms up_at;  /* it is started again then */
	rp_ms frozen_until, frozen_at;
	rp_ms cut_until;	 /* from the other VMs and the store */
	rp_ms store_cut_until;	 /* from the store */
	rp_ms targets_cut_until; /* from all targets */
	struct lead lead;
	char name[8], address[8];
	struct sched sched;
	int leading, fenced, dispatch_due;
	struct vms_member self, *members;
	struct vms_link *leader_link;
	rp_ms dial_due, heartbeat_at, tick_due, owner_missing_at;
	rp_ms prev_notified_at, leader_alive_at;
	/* As a leader. */
	rp_ms confirmed_at, announcing_since, announced_at;
	int answered[VMS_MAX], refused[VMS_MAX], led[VMS_MAX];
	uint64_t list_confirmed_fence;
	rp_ms list_confirmed_at, store_back_at;
	rp_ms callers_wait_until; /* of jobs that leaders have had */
	/* The store, as it was read last. */
	rp_ms read_due, store_replied_at, renew_due, list_replied_at;
	int list_complete, list_lost;
	struct sched_listing listings[WORLD_TARGETS];
	int listed[WORLD_TARGETS]; /* in the VM's own copy of the list */
	uint64_t versions[WORLD_TARGETS];
	rp_ms missing_since[WORLD_TARGETS];
	struct vms_request *requests;
	uint64_t next_seq;
	struct vms_order *orders;
	uint64_t last_order;
	struct vms_member *agents[WORLD_TARGETS]; /* of the targets */
	uint64_t order_fence; /* of the leader's latest order over its link */
};

/*
 * The entry of a target in the store. The first ones, of the targets in their
 * order, have the paths of the targets, also after they got another id.
 */
struct vms_entry {
	int present;
	size_t target;
	int superseded; /* its target has another id now */
	uint64_t version;
	rp_ms written_at, write_due;
	rp_ms cut_until; /* the target, from the store */
	rp_ms frozen_until;
	rp_ms vm_cut_until; /* from one VM */
	int cut_vm;
	struct sched_listing listing;
};

enum vms_call {
	VMS_CLAIM,
	VMS_CLAIM_REPLY,
	VMS_RENEW,
	VMS_RENEW_REPLY,
	VMS_REACHABILITY,
	VMS_PROBE,
	VMS_PROBE_ANSWER,
};

/* A call to the store, or a message without a link. */
struct vms_event {
	struct vms_event *next;
	rp_ms at, sent_at;
	enum vms_call kind;
	int vm, boot, peer;
	struct lead_row row;
	int64_t expected;
	int ok;
	struct vms_beat beat;
};

enum vms_fault_kind {
	VMS_KILL,
	VMS_FREEZE,
	VMS_CUT_DOMAIN,
	VMS_CUT_VM,
	VMS_CUT_VM_STORE,
	VMS_CUT_VM_TARGETS,
	VMS_STORE_AWAY,
	VMS_FREEZE_TARGET,
	VMS_RESTART_TARGET,
	VMS_CUT_TARGET_STORE,
	VMS_CUT_TARGET_VM,
	VMS_LATE,
	VMS_LOSE,
	VMS_RESIGN,
	VMS_RESET,
	VMS_FAULT_KINDS,
};

struct vms_fault {
	enum vms_fault_kind kind;
	rp_ms at, span;
	int which, leader; /* leader: it hits the VM that leads */
	int percent;
	rp_ms delay;
	int new_id;	    /* a restarted target is back with another id */
	rp_ms listed_after; /* its restart */
};

/* Parts of the model that are drawn for each day. */
enum vms_part {
	VMS_WIRE,	  /* calls outlast their leader, and cut paths */
	VMS_INCARNATIONS, /* targets come back with other ids or late entries */
	VMS_AGENTS,	  /* members call the targets for the leader */
	VMS_DEADLINES,	  /* each caller states another deadline */
	/* Replies to holds are overtaken by those to starts; tasks fail. */
	VMS_OLD_LISTS,
	VMS_PARTS,
};

struct vms_options {
	unsigned skip; /* bits of faults that are left out */
	int trace;
	/*
	 * On half of the days callers do not reach the VMs of a domain that is
	 * cut off, which do not learn of it.
	 */
	int cut_callers;
	int check_done; /* a task may not start after its end was noted */
	int once;	/* callers do not submit a job again */
	int keep_late;	/* restarted targets carry out calls of before */
	unsigned parts; /* bits of enum vms_part */
};

struct vms {
	struct world w; /* first: operations of the scheduler get it */
	uint64_t random;
	int trace;
	int check_done;
	int once;
	unsigned parts; /* of this day */
	int keep_late;
	size_t nvms;
	struct vm vms[VMS_MAX];
	struct vms_link *links;
	uint64_t nlinks;
	struct vms_member *removed;
	struct vms_event *events;
	rp_ms cut_until[VMS_DOMAINS]; /* from each other and the store */
	int callers_cut;	      /* callers do not reach such a domain */
	rp_ms store_away_until;
	rp_ms store_delay; /* longest, of a call */
	struct lead_row row;
	int64_t version, renewal_version;
	struct vms_entry entries[WORLD_TARGETS];
	size_t nentries;
	struct vms_caller callers[VMS_CALLERS];
	size_t ncallers;
	rp_ms timeout; /* of the route, and of callers that state none */
	uint64_t caller_random; /* for what callers state */
	int rest_only; /* a second submission has the rest of the time */
	double max_work;
	int load; /* jobs a second */
	rp_ms length;
	struct vms_fault faults[VMS_FAULTS + VMS_PART_FAULTS + VMS_LATER_FAULTS];
	size_t nfaults;
	uint64_t answered[8]; /* by outcome */
	uint64_t resent, takeovers, provisional, raised;
	uint64_t events_seen;
};

static inline rp_ms vms_now(const struct vm *vm)
{
	return vm->o->w.now;
}

static inline int vms_is_self(const struct vm *vm, int i)
{
	return vm->index == i;
}

/* --- vms-day.c ------------------------------------------------------------ */

void vms_play(struct vms *o, uint64_t seed, const struct vms_options *opt);
void vms_finish(struct vms *o);
uint64_t vms_random(struct vms *o, uint64_t n);
int vms_chance(struct vms *o, uint64_t percent);
void vms_trace(const struct vms *o, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* --- vms-part.c ------------------------------------------------------- */

int vms_has_part(const struct vms *o, enum vms_part part);
/* Draws the parts without a change to what else the seed draws. */
void vms_draw_parts(struct vms *o, uint64_t seed, unsigned parts);
/* Draws how long a caller waits; the work of its tasks is changed to fit. */
rp_ms vms_draw_wait(struct vms *o, double *work);

/* --- vms-fault.c ----------------------------------------------------- */

/* Begins and ends the faults of this moment, but for the bits of skip. */
void vms_faults_run(struct vms *o, unsigned skip);

/* --- vms-path.c: links, and what reaches what ---------------------------- */

int vms_awake(const struct vms *o, const struct vm *vm);
int vms_path(const struct vms *o, int a, int b);
int vms_store_reached(const struct vms *o, const struct vm *vm);
int vms_target_reached(const struct vms *o, const struct vm *vm,
		       const struct world_target *t);
struct vms_link *vms_dial(struct vm *vm, int leader);
/* A link for starts, from the owner of jobs to an agent. */
struct vms_link *vms_dial_starts(struct vm *vm, int agent);
struct vms_message *vms_send(struct vms_link *l, int to, enum vms_kind kind);
void vms_link_close(struct vms_link *l, int end);
void vms_links_deliver(struct vms *o);
void vms_vm_ended(struct vm *vm);
void vms_links_finish(struct vms *o);
/* The VM has received the message over its end of the link. */
void vms_received(struct vm *vm, struct vms_link *l, int end,
		  struct vms_message *m);
void vms_link_lost(struct vm *vm, struct vms_link *l, int end);

/* --- vms-lead.c: election ------------------------------------------------- */

void vms_vm_start(struct vms *o, int i);
void vms_vm_tick(struct vm *vm);
/* The process goes on after it was frozen. */
void vms_vm_woken(struct vm *vm);
struct vm *vms_vm_of(struct vms *o, const struct sched *s);
void vms_sched_end(struct vm *vm);
void vms_reachability_result(struct vm *vm, int outside);
void vms_probe_received(struct vms *o, const struct vms_event *e);

/* --- vms-member.c: heartbeats, members, links to the leader --------------- */

/* Index of the VM that this one knows as its leader, or -1. */
int vms_leader_of(const struct vm *vm);
/* How long callers of the leader's jobs still wait at most. */
rp_ms vms_callers_wait(const struct vm *vm);
/* A leader has told it. */
void vms_callers_wait_received(struct vm *vm, rp_ms wait);
struct vms_beat vms_beat(struct vm *vm);
void vms_beat_apply(struct vm *vm, const struct vms_beat *b);
void vms_beats_send(struct vm *vm);
/* Whether the VM certainly followed this leader a moment ago. */
int vms_is_linked(const struct vm *vm, int i);
void vms_members_check(struct vm *vm);
void vms_members_clear(struct vm *vm);
void vms_leader_dial(struct vm *vm);
void vms_leader_link_drop(struct vm *vm);

/* --- vms-store.c: calls to the store, and messages without a link --------- */

struct vms_event *vms_event_add(struct vm *vm, enum vms_call kind, rp_ms at);
/* A time 2 ms from now, or up to most ms later. */
rp_ms vms_after(struct vm *vm, rp_ms most);
void vms_renewal_send(struct vm *vm);
void vms_store_read(struct vm *vm);
void vms_events_run(struct vms *o);

/* --- vms-list.c: the list of targets -------------------------------------- */

void vms_entries_init(struct vms *o);
/* The target has another id, and writes another entry from then on. */
void vms_entry_renamed(struct vms *o, size_t target, rp_ms write_due);
void vms_entries_tick(struct vms *o);
void vms_read_list(struct vm *vm);
void vms_list_cached(struct vm *vm);
int vms_list_is_confirmed(struct vm *vm);
void vms_check_predecessor(struct vm *vm);

/* --- vms-job.c: jobs of callers ------------------------------------------- */

extern const struct sched_ops vms_ops;
void vms_resubmit(struct vm *vm);
void vms_requests_tick(struct vm *vm);
void vms_requests_drop(struct vm *vm);
void vms_schedule(struct vm *vm, struct vms_member *m,
		  const struct vms_message *msg);
void vms_answer_received(struct vm *vm, uint64_t seq,
			 PoolAnswer__Outcome outcome);
void vms_progress_received(struct vm *vm, uint64_t seq, uint32_t task);
void vms_domains_received(struct vm *vm, const struct vms_message *msg);
void vms_submit(struct vm *vm, struct vms_request *r);
/* Whether callers reach the VM, or it them. */
int vms_callers_reach(const struct vms *o, const struct vm *vm);

/* Notes a start of the job. Returns 0 if it is over. */
int vms_request_started(struct vm *vm, uint64_t seq);
void vms_cancel_send(struct vm *vm, uint64_t seq);

/* --- vms-agent.c: calls that members make for the leader ------------------ */

/* Has an agent make the call. Returns 0 if the leader is to make it. */
int vms_order_call(struct vm *vm, const struct sched_target *t,
		   const struct world_event *call);
/* The same for a start, which the owner of the job may have to make. */
int vms_order_start(struct vm *vm, const struct sched_target *t,
		    const struct sched_task *task,
		    const struct world_event *call);
void vms_order_replied(struct vm *vm, struct vms_member *m,
		       const struct vms_message *msg);
/* Gives up the calls of a member without a link. */
void vms_agent_unavailable(struct vm *vm, const struct vms_member *m);
void vms_orders_tick(struct vm *vm);
void vms_orders_of_target_drop(struct vm *vm, const char *id);
void vms_orders_drop(struct vm *vm);
void vms_replied(struct world *w, const struct world_event *e,
		 const struct sched_target_reply *reply);
void vms_order_received(struct vm *vm, const struct vms_message *msg);
void vms_start_received(struct vm *vm, const struct vms_message *msg);
void vms_run_received(struct vm *vm, const struct vms_message *msg);
void vms_starts_check(struct vm *vm);

/* --- vms-caller.c --------------------------------------------------------- */

void vms_callers_tick(struct vms *o);
void vms_caller_break(struct vms *o, struct vms_caller *c);

#endif
