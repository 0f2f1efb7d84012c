#ifndef NET_H
#define NET_H

/*
 * Several kernels in one process, connected by a fake network with seeded
 * delays, message loss, silent links, process pauses and partitions. Fake
 * targets reply "busy" when all slots are taken. The network counts tasks that
 * are started twice and starts beyond a target's limit.
 */

#include "rosemary-int.h"

#define NET_VMS_MAX 40
#define NET_DOMAINS_MAX 4
#define NET_TARGETS_MAX 520
#define NET_CALLS_MAX 200000

struct net_options {
	uint64_t seed;
	int nvms, ndomains, ntargets, slots;
	const char *limit;	 /* name of the limit policy */
	int64_t task_us;	 /* mean run time of a task */
	int64_t cross_domain_us; /* one-way delay between domains */
	int64_t same_domain_us;	 /* one-way delay within a domain */
	int64_t list_lag_us;	 /* delay of the platform's VM list */
	int measure_cpu;	 /* fill net_vm.cpu_ns */
	rp_ms credit_lease;	 /* 0: the default */
};

/* One call of a caller, with its answer. */
struct net_call {
	int64_t sent_us, done_us; /* done_us 0: not answered */
	int answers; /* answers received; more than one is a fault */
	enum rp_state state;
	enum rp_code code;
	int may_have_run;
	rp_ms retry_after;
	size_t nresults;
	uint64_t digest; /* of state and results */
};

/* An entry VM and the process that runs its kernel. */
struct net_vm {
	struct rp_kernel *k; /* NULL: not running */
	struct rp_options opt;
	int domain;
	int paused, draining, drained;
	/* When its process started and ended, for the lagging VM list. */
	int64_t started_us, ended_us;
	int64_t tick_us;
	uint64_t messages, bytes; /* sent to other entry VMs */
	uint64_t cpu_ns; /* spent in its kernel, if measure_cpu is set */
};

/* A target of the service "desk". */
struct net_target {
	char name[RP_NAME_MAX];
	int domain, slots, running, leaving, removed;
	int64_t task_us;
	/* Tasks run, and starts refused as busy and as leaving. */
	uint64_t runs, busy, leaving_starts;
	/* Most tasks at once by its own count and by the kernels' counts. */
	int running_max, in_flight_max;
};

/* The network with its entry VMs, targets and calls. */
struct net {
	struct net_options opt;
	int64_t now_us;
	uint64_t random, next_seq, incarnation;
	struct net_vm vms[NET_VMS_MAX];
	struct net_target targets[NET_TARGETS_MAX];
	int link_cut[NET_DOMAINS_MAX][NET_DOMAINS_MAX]; /* [from][to] */
	int platform_link_cut[NET_DOMAINS_MAX];
	/* [from][to]: the link loses all messages until it is reset. */
	int link_silent[NET_VMS_MAX][NET_VMS_MAX];
	int64_t last_delivery_us[NET_VMS_MAX][NET_VMS_MAX];
	int loss_percent;	/* share of peer messages that are lost */
	struct net_event *heap; /* pending events, earliest first */
	size_t len, cap;
	apr_pool_t *pool;
	apr_hash_t *started;	    /* ids of the tasks that targets started */
	uint64_t duplicate_starts;  /* tasks started twice */
	uint64_t over_limit_starts; /* starts on a target beyond its limit */
	struct net_call *calls;
	size_t ncalls;
	char (*keys)[RP_KEY_MAX];
	size_t nkeys;
	struct rp_vm *vm_list; /* scratch for the platform's list */
};

void net_options_init(struct net_options *opt);
struct net *net_new(const struct net_options *opt);
void net_free(struct net *net);
void net_run(struct net *net, rp_ms span);
/* Passes an event to an entry VM's kernel and performs its actions. */
void net_deliver(struct net *net, int vm, const struct rp_event *ev);

/* Asks the entry VM for a key; empty if it gives none. */
void net_key(struct net *net, int vm, char key[RP_KEY_MAX]);
/* Each returns the index of the call in net->calls. */
size_t net_submit(struct net *net, int vm, const char *key, int ntasks,
		  rp_ms timeout);
size_t net_submit_body(struct net *net, int vm, const char *key, int ntasks,
		       rp_ms timeout, const char *payload, int callers_key);
size_t net_query(struct net *net, int vm, const char *key, int wait);

/* Ends the process at once; net_restart() starts a new incarnation. */
void net_kill(struct net *net, int vm);
void net_restart(struct net *net, int vm);
void net_pause(struct net *net, int vm, int paused);
void net_drain(struct net *net, int vm);
/* Cuts or restores all links from one domain to another, in one direction. */
void net_cut(struct net *net, int from, int to, int cut);
/* Cuts or restores all links of a domain to others, in both directions. */
void net_isolate(struct net *net, int domain, int cut);
/* State of the member in the entry VM's view, or RP_MEMBER_GONE. */
enum rp_member_state net_state(struct net *net, int vm, int member);
/* Sum of the kernels' counts of tasks in flight on the target. */
int net_in_flight(struct net *net, int target);

#endif
