#ifndef SOAK_H
#define SOAK_H

/*
 * Random faults, from outside, on the real programs: entry VMs, a stand-in of
 * the platform, callers, and a proxy between them, each a process. A seed
 * gives the same series of faults; what the processes make of it varies.
 */

#include <jansson.h>
#include <stdint.h>
#include <sys/types.h>

#define SOAK_VMS 6
#define SOAK_TARGETS 16
#define SOAK_ACTIVE 4 /* faults at a time */

enum soak_state {
	SOAK_RUNS,
	SOAK_FROZEN,
	SOAK_STOPPING, /* SIGTERM was sent */
	SOAK_DEAD,
};

struct soak_vm {
	pid_t pid;
	enum soak_state state;
	int64_t started_at, term_at;
};

struct soak;

/* A fault, and its undoing after a while; n: which VM or target it is of. */
struct soak_kind {
	const char *name;
	int weight;
	int64_t least, most; /* ms that it lasts */
	int (*begin)(struct soak *s, int *n);
	void (*end)(struct soak *s, int n);
};

struct soak_fault {
	const struct soak_kind *kind;
	int n;
	int64_t until;
};

struct soak {
	uint64_t random;
	const char *bin;
	const char *dir; /* logs */
	int port;	 /* the first of 400 */
	int nvms, ntargets;
	struct soak_vm vms[SOAK_VMS];
	pid_t platform, proxy, callers;
	int to_proxy; /* commands */
	struct soak_fault active[SOAK_ACTIVE];
	int nactive;
	int64_t version; /* of the operator's table */
	int stored;	 /* callers submit jobs that the store keeps */
	int wrong;
};

int64_t soak_now(void);
int soak_below(struct soak *s, int n);
/* Something that must not happen has. */
void soak_wrong(struct soak *s, const char *what, const char *detail);

/* --- soak-process.c ---------------------------------------------------- */

int soak_http_port(const struct soak *s, int vm);
pid_t soak_spawn(struct soak *s, const char *log, char *const argv[]);
void soak_start_vm(struct soak *s, int vm);
void soak_start(struct soak *s);
/* Notices processes that ended; VMs that were to stop start again. */
void soak_reap(struct soak *s);
void soak_stop(struct soak *s);
/* Posts to the stand-in's /control; returns its answer, or NULL. */
json_t *soak_control(struct soak *s, const char *path, const char *body);
long soak_get(int port, const char *path);

/* --- soak-fault.c ------------------------------------------------------ */

void soak_begin_fault(struct soak *s);
void soak_end_faults(struct soak *s, int64_t now);

#endif
