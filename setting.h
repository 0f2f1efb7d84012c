#ifndef SETTING_H
#define SETTING_H

/* Settings of rosemaryd: flags, and ROSEMARY_* of the environment. */

#include "rosemary.h"
#include "log.h"

#define SETTING_VMS_MAX 4096 /* entry VMs and targets in the settings */

#define EXIT_SETTING 2 /* a setting is at fault */
#define EXIT_START 3   /* a socket, thread or the kernel did not start */
#define EXIT_UNCLEAN 4 /* stopped before all work was finished */

struct settings {
	struct rp_options kernel; /* seeds point at vms */
	char http_listen[RP_ADDRESS_MAX];
	char peer_listen[RP_ADDRESS_MAX]; /* kernel.address unless set */
	char platform[RP_ADDRESS_MAX];	  /* "" : none */
	int http_threads;
	int target_threads;
	int http_connections;
	int http_waiting;   /* callers that wait for an answer */
	size_t http_header; /* bytes of memory for one request's header */
	size_t http_body;   /* bytes of one request's body */
	rp_ms http_idle;    /* a silent connection is closed */
	rp_ms http_read;    /* a request must have arrived whole */
	rp_ms default_timeout;
	size_t max_result; /* bytes of one task's result */
	rp_ms connect_timeout;
	int target_idle;       /* idle connections kept, per thread */
	rp_ms target_idle_age; /* an older idle connection is not used */
	int peer_connections;  /* inbound peer connections */
	size_t peer_message;   /* bytes of one peer message */
	size_t peer_queue;     /* bytes waiting, per peer */
	rp_ms peer_idle;       /* a silent inbound connection is closed after */
	int platform_calls;    /* at once; beyond it they have no effect */
	rp_ms drain_limit;     /* the planned stop gives up after */
	enum log_level log_level;
	struct rp_vm *vms; /* kernel.seeds, owned */
	size_t nvms;
	int check; /* only validate */
};

/*
 * Reads flags and environment into s. All faults are printed to standard
 * error at once. Returns 0, or EXIT_SETTING.
 */
int settings_load(struct settings *s, int argc, char **argv, char **env);
void settings_finish(struct settings *s);

/* --- inside setting-*.c --------------------------------------------- */

enum setting_type {
	SETTING_NAME,	 /* char[RP_NAME_MAX] */
	SETTING_ADDRESS, /* char[RP_ADDRESS_MAX], "ip:port" */
	SETTING_INT,	 /* int */
	SETTING_SIZE,	 /* size_t */
	SETTING_MS,	 /* rp_ms */
	SETTING_NUMBER,	 /* uint64_t */
	SETTING_LEVEL,	 /* enum log_level */
	SETTING_ENTRY_VM,
	SETTING_TARGET,
};

/* One setting. A default of NULL leaves what the kernel chose. */
struct setting {
	const char *name; /* the flag; in the environment ROSEMARY_NAME */
	enum setting_type type;
	int required;
	const char *def;
	int64_t min, max;
	const char *unit;
	size_t offset; /* in struct settings */
	const char *help;
};

extern const struct setting setting_table[];
extern const size_t setting_count;

/* A growing list of fault texts, so that all can be told at once. */
struct setting_faults {
	size_t len;
	char **list;
};

void setting_fault(struct setting_faults *f, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void setting_faults_finish(struct setting_faults *f);

/* Parses text into the setting's field; adds a fault when it is wrong. */
void setting_set(struct settings *s, const struct setting *def,
		 const char *text, struct setting_faults *f);
/* Parses "name=ip:port,domain[,...]" and appends it to s->vms. */
void setting_add_vm(struct settings *s, enum rp_vm_kind kind, const char *text,
		    struct setting_faults *f);
/* Whether text is "ip:port" with an IPv4 address and a port from 1. */
int setting_is_address(const char *text);
/* Whether text can name a VM, service, team or plug-in. */
int setting_is_name(const char *text);
/* Parses a whole decimal number within a range. Returns 0 or -1. */
int setting_number(const char *text, int64_t min, int64_t max, int64_t *out);

#endif
