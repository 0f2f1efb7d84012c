#ifndef POOL_ORDER_H
#define POOL_ORDER_H

/*
 * Calls to targets that the leader orders from other entry VMs: agents, which
 * make the calls, and owners of jobs, which pass starts on to them.
 */

#include "pool-io.h"
#include "scheduler.h"

#include <stdint.h>

struct pool;
struct pool_member;

/* --- pool-list.c: lists of runs between an agent and the leader --------- */

struct pool_run {
	char task[SCHED_TASK_NAME_MAX];
	uint32_t run;
};

/* The list that was sent last. */
struct pool_list {
	struct pool_run *runs;
	size_t n;
	int64_t incarnation; /* of the target */
};

/* Memory that an encoded reply points to. */
struct pool_list_message {
	PoolListedRun *runs; /* of the list, then of the ends */
	PoolListedRun **run_ptrs;
	uint32_t *percents;
	PoolListedEnd *ends;
	PoolListedEnd **end_ptrs;
	char (*names)[SCHED_TASK_NAME_MAX]; /* of the runs */
};

/* A decoded reply, whose names point to it, the message or the list before. */
struct pool_list_reply {
	struct sched_target_reply reply;
	struct sched_run *runs;
	struct sched_end *ends;
	char (*names)[SCHED_TASK_NAME_MAX];
};

void pool_list_set(struct pool_list *l, const struct sched_target_reply *r);
void pool_list_clear(struct pool_list *l);
void pool_list_finish(struct pool_list *l);
void pool_list_message_init(struct pool_list_message *m,
			    const struct sched_target_reply *r);
void pool_list_message_finish(struct pool_list_message *m);
/* Fills in the lists of the message, and sets the list before to them. */
void pool_list_encode(struct pool_list_message *m, struct pool_list *before,
		      const struct sched_target_reply *r, PoolReply *msg);
/* Returns -1 if the message does not fit the list before. */
int pool_list_decode(struct pool_list_reply *r, const struct pool_list *before,
		     const PoolReply *msg);
void pool_list_reply_finish(struct pool_list_reply *r);

/* --- pool-assign.c: which VM calls a target for the leader ------------- */

/* Whether the leader has too many targets to call them itself. */
int pool_needs_agents(const struct pool *p);
/* The member that calls the target; NULL: none does. */
struct pool_member *pool_agent_for(struct pool *p, struct sched_target *t);
/*
 * The member that starts a task of the job on the target; NULL: none does. All
 * tasks of a job in a failure domain have the same one, as it is sent the
 * specification.
 */
struct pool_member *pool_agent_for_start(struct pool *p, struct sched_target *t,
					 const struct sched_job *job);
/* Gives up the member's calls and reassigns its targets. */
void pool_agent_unavailable(struct pool *p, struct pool_member *m);
void pool_agents_tick(struct pool *p, rp_ms now);

/* --- pool-order.c: calls that the leader orders from other VMs --------- */

/* Time for the agent's reply, in addition to the wait of the call. */
#define POOL_ORDER_TIMEOUT_MS 500

/* The agent of a target, and what it was told. Kept in sched_target.user. */
struct pool_assignment {
	struct pool_member *agent; /* NULL: none */
	uint32_t number; /* of the target in orders; 0: not introduced */
	char address[RP_ADDRESS_MAX]; /* as introduced */
	int64_t incarnation;	      /* as introduced */
	struct pool_list list;	      /* that the agent sent last */
};

struct pool_assignment *pool_assignment_of(struct sched_target *t);
void pool_assignment_reset(struct pool *p, struct pool_assignment *a);
void pool_assignment_free(struct pool *p, struct sched_target *t);
/* Sends a hold, stop or start. The rest of the order is filled in. */
struct pool_call *pool_order_send(struct pool *p, struct pool_member *agent,
				  struct sched_target *t, PoolOrder *order,
				  pool_reply_cb *on_reply);
void pool_reply_received(struct pool *p, struct pool_member *m,
			 const PoolReply *msg);
/* The member's calls count as unanswered. */
void pool_orders_unanswered(struct pool *p, const struct pool_member *m);
void pool_orders_tick(struct pool *p, rp_ms now);

struct pool_call *pool_ordered_call_new(struct pool *p,
					struct pool_member *agent, rp_ms wait,
					pool_reply_cb *on_reply);
/* The leader's token, or 0 if the receiver was sent it before. */
uint64_t pool_token_to_send(const struct pool *p, uint64_t *sent);

/* --- pool-order-start.c: starts that the leader asks owners for -------- */

#define POOL_STARTS_MAX 32 /* tasks in one message */

/* Starts of one job that are not sent yet. */
struct pool_starts {
	struct pool_member *owner; /* NULL: it has left */
	uint64_t job;		   /* the owner's number for it */
	size_t n;
	PoolStartTask tasks[POOL_STARTS_MAX];
	PoolStartTask *ptrs[POOL_STARTS_MAX];
	char targets[POOL_STARTS_MAX][RP_NAME_MAX];
	/* Their failure domains. */
	size_t ndomains;
	char *domain_ptrs[POOL_STARTS_MAX];
	char domains[POOL_STARTS_MAX][RP_NAME_MAX];
};

/* Asks the owner of the task's job to start it through the agent. */
struct pool_call *pool_start_send(struct pool *p, struct pool_member *agent,
				  struct sched_task *task, int64_t lease_until,
				  pool_reply_cb *on_reply);
/* Sends the starts; once per loop iteration. */
void pool_starts_flush(struct pool *p);
void pool_starts_forget(struct pool *p, const struct pool_member *owner);

/* --- pool-agent.c: calls that this VM makes for the leader ------------- */

void pool_agent_init(struct pool *p);
/* Forgets what the leader said over the previous link. */
void pool_agent_reset(struct pool *p);
void pool_order_received(struct pool *p, const PoolOrder *order);
/* Makes the calls of starts and replies to the leader. */
void pool_agent_run(struct pool *p, const PoolRun *run);
void pool_run_received(struct pool *p, struct pool_link *l, const PoolRun *run);
void pool_agent_send_status(struct pool *p, uint32_t seq,
			    enum sched_reply_status status, const char *reason);

/* --- pool-owner.c: starts on the VM that owns the job ------------------ */

/*
 * Leaves the specification out of a submission, and sets its hash, if the
 * leader has this VM start the job's tasks.
 */
void pool_owner_keep_specification(const struct pool *p, PoolSubmit *sub);
void pool_start_received(struct pool *p, const PoolStart *start);
/* The agent has received that many starts over the link. */
void pool_runs_acked(struct pool_link *l, uint64_t received);
/* Acknowledges starts, and closes links that are not acknowledged. */
void pool_send_run_acks(struct pool *p);

#endif
