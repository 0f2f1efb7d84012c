#ifndef SETTING_H
#define SETTING_H

/* Settings of rosemaryd, from flags and ROSEMARY_* environment variables. */

#include "rosemary.h"
#include "log.h"

#define SETTING_VMS_MAX 4096 /* entry VMs and targets together */

/* Exit codes of rosemaryd. */
#define EXIT_SETTING 2 /* a setting is invalid */
#define EXIT_START 3   /* a listener, a thread or the kernel did not start */
#define EXIT_UNCLEAN 4 /* stopped before all work was finished */

/* The fields are named after the flags. */
struct settings {
	struct rp_options kernel; /* seeds point to vms */
	char http_listen[RP_ADDRESS_MAX];
	char peer_listen[RP_ADDRESS_MAX]; /* default: kernel.address */
	char platform[RP_ADDRESS_MAX];
	int http_threads;
	int target_threads;
	int http_connections;
	int http_waiting;      /* most callers that wait for an answer */
	size_t http_header;    /* most bytes of a request's header */
	size_t http_body;      /* most bytes of a request's body */
	rp_ms http_idle;       /* timeout of idle connections from callers */
	rp_ms http_read;       /* timeout for reading a request's body */
	rp_ms default_timeout; /* of submissions that have none */
	size_t max_result;     /* most bytes of a task's result */
	rp_ms connect_timeout;
	int target_idle;       /* most idle connections, per thread */
	rp_ms target_idle_age; /* connections idle for longer are closed */
	int peer_connections;  /* most inbound peer connections */
	size_t peer_message;   /* most bytes of a peer message */
	size_t peer_queue;     /* most bytes queued, per peer */
	rp_ms peer_idle;       /* timeout of idle inbound peer connections */
	int platform_calls;    /* most in flight; further ones fail unsent */
	rp_ms drain_limit;     /* timeout of the planned stop */
	int memory;	       /* of the machine, MB; 0: the system's */
	int descriptors;       /* of the process; 0: the system's limit */
	enum log_level log_level;
	struct rp_vm *vms; /* owned; kernel.seeds points to it */
	size_t nvms;
	int check_only; /* flag --check: validate the settings and exit */
};

/*
 * Loads the defaults, the environment and the flags into s, later ones taking
 * precedence. Prints all errors to standard error. Returns 0 or EXIT_SETTING.
 */
int settings_load(struct settings *s, int argc, char **argv, char **env);
void settings_finish(struct settings *s);

/* --- shared by the setting-*.c files --------------------------------- */

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

/* Describes a setting. */
struct setting {
	const char *name; /* of the flag; the variable is ROSEMARY_NAME */
	enum setting_type type;
	int required;
	const char *default_text; /* NULL: the kernel's default */
	int64_t min, max;	  /* of numbers; max is 0 for other types */
	const char *unit;	  /* the syntax if not a number */
	size_t offset;		  /* of the field in struct settings */
	const char *help;
};

extern const struct setting setting_table[];
extern const size_t setting_count;

/* Error messages, collected so that all are printed together. */
struct setting_errors {
	size_t len;
	char **list;
};

/* Adds a formatted message. */
void setting_add_error(struct setting_errors *errs, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void setting_errors_free(struct setting_errors *errs);

/* Parses text into the setting's field; adds an error if it is invalid. */
void setting_parse(struct settings *s, const struct setting *def,
		   const char *text, struct setting_errors *errs);
/* Parses "name=ip:port,domain[,...]" and appends it to s->vms. */
void setting_parse_vm(struct settings *s, enum rp_vm_kind kind,
		      const char *text, struct setting_errors *errs);
/* Returns whether text is "ip:port": an IPv4 address and a port from 1. */
int setting_is_address(const char *text);
/* Returns whether text is a valid name of a VM, service, team or plug-in. */
int setting_is_name(const char *text);
/* Parses a decimal integer from min to max. Returns 0 or -1. */
int setting_parse_number(const char *text, int64_t min, int64_t max,
			 int64_t *out);

#endif
