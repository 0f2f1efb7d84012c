#ifndef SOAK_H
#define SOAK_H

/*
 * Injects random faults into the real programs: entry VMs, a stand-in of the
 * platform, callers, and a proxy between them, each a process of its own. The
 * same seed gives the same sequence of faults, but the timing of the processes
 * differs between runs.
 */

#include <jansson.h>
#include <stdint.h>
#include <sys/types.h>

#define SOAK_VMS 80	/* entry VMs at most */
#define SOAK_TARGETS 64 /* targets at most */
#define SOAK_PORTS 700	/* ports that a run uses */
#define SOAK_ACTIVE 4	/* faults at the same time at most */

enum soak_state {
	SOAK_RUNNING,
	SOAK_FROZEN,   /* SIGSTOP was sent */
	SOAK_STOPPING, /* SIGTERM was sent */
	SOAK_DEAD,     /* killed */
};

struct soak_vm {
	pid_t pid;
	enum soak_state state;
	int64_t started_at, term_at; /* when started and sent SIGTERM, ms */
};

struct soak;

/*
 * A kind of fault. begin() injects it and sets *n, the index that end() needs
 * to undo it (of a VM, a target or a port pair of the proxy). It returns 0 when
 * the fault is not possible now.
 */
struct soak_fault_kind {
	const char *name;
	int weight;		/* relative probability */
	int64_t min_ms, max_ms; /* duration */
	int (*begin)(struct soak *s, int *n);
	void (*end)(struct soak *s, int n);
};

struct soak_fault {
	const struct soak_fault_kind *kind;
	int n;	       /* index that begin() has set */
	int64_t until; /* when the fault ends, ms */
};

struct soak {
	uint64_t random; /* state of the generator */
	const char *bin; /* directory of the programs */
	const char *dir; /* directory of the logs */
	int port;	 /* first of SOAK_PORTS that are used */
	int nvms, ntargets;
	struct soak_vm vms[SOAK_VMS];
	pid_t platform, proxy, callers;
	int proxy_commands; /* pipe to the proxy's standard input */
	struct soak_fault active[SOAK_ACTIVE];
	int nactive;
	int64_t routes_version; /* version of the operator's routes */
	int stored;		/* callers submit stored jobs */
	int cancel;		/* percent of the jobs that callers cancel */
	int evacuate; /* half of the targets are evacuated meanwhile */
	int violations;
};

/* Monotonic time, ms. */
int64_t soak_now(void);
/* Random number from 0 to n - 1. */
int soak_random(struct soak *s, int n);
/* Counts and prints a violation of an invariant. */
void soak_violation(struct soak *s, const char *what, const char *detail);

/* --- soak-process.c ---------------------------------------------------- */

int soak_http_port(const struct soak *s, int vm);
int soak_ready_port(const struct soak *s, int vm);
/* Starts a program with its output appended to a log in s->dir. */
pid_t soak_spawn(struct soak *s, const char *log, char *const argv[]);
void soak_start_vm(struct soak *s, int vm);
/* Starts all processes but the callers. */
void soak_start(struct soak *s);
/*
 * Collects VMs that have ended and starts them again. An end that was not
 * requested and a stop that fails or takes too long are violations.
 */
void soak_reap(struct soak *s);
/* Kills all processes. */
void soak_stop(struct soak *s);
/*
 * Makes a request to the stand-in: POST, or GET when body is NULL. Returns the
 * JSON of the reply, or NULL. The caller releases it.
 */
json_t *soak_control(struct soak *s, const char *path, const char *body);
/* Returns the HTTP status of a GET request, or 0 when no answer came. */
long soak_get(int port, const char *path);

/* --- soak-fault.c ------------------------------------------------------ */

/*
 * Moves half of the targets to another failure domain and asks the VMs to
 * evacuate it; or takes the request back.
 */
void soak_evacuate(struct soak *s);
void soak_take_back(struct soak *s);
/* Begins a random fault, unless too many are active or it is not possible. */
void soak_begin_fault(struct soak *s);
/* Ends the faults that are due to end by now. */
void soak_end_faults(struct soak *s, int64_t now);

#endif
