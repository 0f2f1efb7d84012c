#ifndef CLI_H
#define CLI_H

/* Shared parts of the command line: flags, HTTP calls, answers. */

#include <argp.h>
#include <curl/curl.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#define CLI_VMS_MAX 64
#define CLI_ERROR_MAX 256

/* Exit codes of every command; they are documented in docs/OPERATIONS.md. */
enum cli_exit {
	CLI_COMPLETE = 0,    /* the job is complete, or the command done */
	CLI_FAILED = 1,	     /* the job has failed */
	CLI_USAGE = 2,	     /* bad flags or a bad file */
	CLI_NOT_RUN = 3,     /* no task ran and none will */
	CLI_REFUSED = 4,     /* the call changed nothing */
	CLI_UNREACHABLE = 5, /* an entry VM gave no answer */
	CLI_RUNNING = 6,     /* accepted, not finished */
};

/* What the common flags say, and the connection to the entry VMs. */
struct cli {
	const char *vms[CLI_VMS_MAX];
	size_t nvms;
	size_t first; /* index of the entry VM to call first */
	int json;
	CURL *curl;
	const char *progress; /* shown on a terminal while a call lasts */
	int64_t progress_since_ms;
	int progress_shown;
	/* set while the flags are parsed */
	void *cmd_input;
	char *vms_text;
};

/* One command; the table of them is in rosemary.c. */
struct cmd_entry {
	const char *name;
	const char *help;
	int (*run)(struct cli *cli, int argc, char **argv);
};

/*
 * Parses a command's own flags together with the common ones; exits with
 * CLI_USAGE on a mistake. At least one entry VM is known afterwards.
 */
void cli_parse(struct cli *cli, const struct argp *own, void *input, int argc,
	       char **argv);
/* Exits with CLI_USAGE after a message. */
void cli_usage(const char *fmt, ...)
	__attribute__((format(printf, 1, 2), noreturn));
/* Parses a whole number of low..high, or exits by argp_error(). */
int64_t cli_whole(struct argp_state *state, const char *what, const char *arg,
		  int64_t low, int64_t high);

/* --- cli-http.c ------------------------------------------------------- */

/* A call to an entry VM. */
struct cli_call {
	const char *method;
	const char *path; /* begins with "/v1/" */
	json_t *body;	  /* borrowed; NULL: none */
	const char *idempotency_key;
	long timeout_ms;
};

struct cli_reply {
	long status; /* HTTP status; 0: no answer */
	char *body;  /* NUL-terminated */
	size_t len;
	json_t *json;  /* the body when it is JSON, else NULL */
	int64_t next;  /* X-Next, or -1 */
	int timed_out; /* connected, but no answer in time */
	char error[CLI_ERROR_MAX];
};

#define CLI_TIMEOUT_MS 10000 /* of calls that do not wait for a job */

/* Returns 0 when an answer came; fills reply->error otherwise. */
int cli_http(struct cli *cli, const char *vm, const struct cli_call *call,
	     struct cli_reply *reply);
void cli_reply_finish(struct cli_reply *reply);
int64_t cli_now_ms(void);
void cli_sleep_ms(int64_t ms);
/* Percent-encodes a key for use in a path; free() it. */
char *cli_escape(const char *text);

/* --- cli-job.c -------------------------------------------------------- */

/* A job or a request that is to be submitted. */
struct cli_job {
	const char *path; /* /v1/jobs or /v1/requests */
	const char *key;  /* the caller's own; NULL: have one issued */
	json_t *body;
	int64_t timeout_ms;
	int wait;
	int retry; /* come back after a refusal that says when */
};

/* Submits, fails over between entry VMs, prints; returns the exit code. */
int cli_submit(struct cli *cli, struct cli_job *job);
/* Asks for the state of a key until it is final, when wait is set. */
int cli_wait(struct cli *cli, const char *key, int wait);
/*
 * Calls the entry VMs in turn until one answers. Returns 0, or -1 with the
 * last error in the reply.
 */
int cli_any_vm(struct cli *cli, const struct cli_call *call,
	       struct cli_reply *reply);

/*
 * Calls the function for every entry VM; a bad exit code of one is the
 * command's.
 */
int cli_each_vm(struct cli *cli, int (*show)(struct cli *cli, const char *vm));
/* Parses the one key that a command takes into the const char ** input. */
error_t cli_parse_key(int opt, char *arg, struct argp_state *state);

/* --- cli-answer.c ----------------------------------------------------- */

/* Prints an answer in the form asked for; returns the exit code. */
int cli_print_answer(struct cli *cli, const struct cli_reply *reply);
/* Names an entry VM that gave no answer; returns CLI_UNREACHABLE. */
int cli_print_unreachable(struct cli *cli, const char *vm,
			  const struct cli_reply *reply);
/* The exit code of an answer. */
int cli_exit_code(const struct cli_reply *reply);

/* --- cli-tree.c ------------------------------------------------------- */

/* Prints JSON as indented "name: value" lines, lists of objects as tables. */
void cli_print_tree(json_t *value, int depth);

extern const struct cmd_entry cmd_submit_entry;
extern const struct cmd_entry cmd_request_entry;
extern const struct cmd_entry cmd_wait_entry;
extern const struct cmd_entry cmd_cancel_entry;
extern const struct cmd_entry cmd_show_status_entry;
extern const struct cmd_entry cmd_drain_entry;
extern const struct cmd_entry cmd_events_entry;
extern const struct cmd_entry cmd_metrics_entry;
extern const struct cmd_entry cmd_show_table_entry;
extern const struct cmd_entry cmd_edit_table_entry;

#endif
