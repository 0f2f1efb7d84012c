#ifndef CLI_H
#define CLI_H

/* Code shared by the commands: flags, HTTP calls and printing of answers. */

#include <argp.h>
#include <curl/curl.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#define CLI_VMS_MAX 64
#define CLI_ERROR_MAX 256

/* Exit codes of every command; they are documented in docs/OPERATIONS.md. */
enum cli_exit {
	CLI_COMPLETE = 0,    /* the job is complete, or the command succeeded */
	CLI_FAILED = 1,	     /* the job has failed */
	CLI_USAGE = 2,	     /* invalid flags or an invalid file */
	CLI_NOT_RUN = 3,     /* no task of the job ran or will run */
	CLI_REFUSED = 4,     /* the call was refused and changed nothing */
	CLI_UNREACHABLE = 5, /* an entry VM gave no answer */
	CLI_RUNNING = 6,     /* accepted, but not yet final */
};

/* Values of the common flags, and the state of calls to the entry VMs. */
struct cli {
	const char *vms[CLI_VMS_MAX];
	size_t nvms;
	size_t first_vm; /* index of the entry VM to call first */
	int json;
	CURL *curl;
	const char *progress;	   /* label of the progress line; NULL: none */
	int64_t progress_since_ms; /* start of the current call, wall clock */
	int progress_shown;
	void *cmd_input; /* argp input of the command's own flags */
	char *vms_env;	 /* copy of ROSEMARY_ENTRY_VMS, which vms points into */
};

/* A command; rosemary.c lists all of them. */
struct cmd_entry {
	const char *name;
	const char *help;
	int (*run)(struct cli *cli, int argc, char **argv);
};

/*
 * Parses a command's own flags together with the common ones. Exits with
 * CLI_USAGE on a usage error, which includes that no entry VM is given.
 */
void cli_parse_args(struct cli *cli, const struct argp *own, void *input,
		    int argc, char **argv);
/* Prints the message to standard error and exits with CLI_USAGE. */
void cli_usage(const char *fmt, ...)
	__attribute__((format(printf, 1, 2), noreturn));
/*
 * Parses an integer from low to high, both included. Calls argp_error(), which
 * exits, when the text is no such number; what names the flag there.
 */
int64_t cli_parse_int(struct argp_state *state, const char *what,
		      const char *arg, int64_t low, int64_t high);

/* --- cli-http.c ------------------------------------------------------- */

/* An HTTP call to an entry VM. */
struct cli_call {
	const char *method;
	const char *path;	     /* begins with "/" */
	json_t *body;		     /* borrowed; NULL: none */
	const char *idempotency_key; /* NULL: no such header */
	long timeout_ms;	     /* for the whole call */
};

/* The answer of an entry VM; to be freed with cli_answer_finish(). */
struct cli_answer {
	long status; /* HTTP status; 0: no answer */
	char *body;  /* NUL-terminated; NULL: empty */
	size_t len;
	json_t *json;	       /* the body when it is JSON, else NULL */
	int64_t next_position; /* of the event ring, from X-Next; -1: none */
	int timed_out;	       /* the call or its connect timed out */
	char error[CLI_ERROR_MAX]; /* why no answer came */
};

#define CLI_TIMEOUT_MS 10000 /* for calls that do not wait for a job */

/*
 * Makes one call to one entry VM. Returns 0 when an answer came, whatever its
 * HTTP status; otherwise -1, with the cause in the error field.
 */
int cli_http_call(struct cli *cli, const char *vm, const struct cli_call *call,
		  struct cli_answer *answer);
void cli_answer_finish(struct cli_answer *answer);
/* Wall clock, milliseconds since 1970. */
int64_t cli_now_ms(void);
void cli_sleep_ms(int64_t ms);
/* Percent-encodes a key for use in a path; the caller frees the result. */
char *cli_escape(const char *text);

/* --- cli-job.c -------------------------------------------------------- */

/* A job or a request to submit. */
struct cli_job {
	const char *path; /* /v1/jobs or /v1/requests */
	const char *key;  /* the caller's own key; NULL: one is issued */
	json_t *body;
	int64_t timeout_ms; /* of the job, from receipt to deadline */
	int wait;	    /* wait until the job is final */
	int retry;	    /* retry after a refusal with retry_after_ms */
};

/*
 * Submits the job, with failover between the entry VMs, and prints the answer.
 * Returns the exit code.
 */
int cli_submit(struct cli *cli, struct cli_job *job);
/*
 * Prints the state of the job of a key; with wait set, once it is final.
 * Returns the exit code.
 */
int cli_wait(struct cli *cli, const char *key, int wait);
/*
 * Calls the entry VMs in turn until one answers, in up to three rounds; no
 * round follows one whose last call timed out. Returns 0, or -1 with the last
 * error in the answer.
 */
int cli_call_any_vm(struct cli *cli, const struct cli_call *call,
		    struct cli_answer *answer);

/*
 * Calls the function for every entry VM. Returns the last exit code that is not
 * CLI_COMPLETE, or CLI_COMPLETE.
 */
int cli_for_each_vm(struct cli *cli,
		    int (*show)(struct cli *cli, const char *vm));
/*
 * An argp parser for the single KEY argument; the input of argp is a
 * const char **, which receives the key.
 */
error_t cli_parse_key(int opt, char *arg, struct argp_state *state);

/* --- cli-answer.c ----------------------------------------------------- */

/* Prints an answer as text or, with --json, as JSON; returns the exit code. */
int cli_print_answer(struct cli *cli, const struct cli_answer *answer);
/* Prints that an entry VM gave no answer; returns CLI_UNREACHABLE. */
int cli_print_unreachable(struct cli *cli, const char *vm,
			  const struct cli_answer *answer);
/* Returns the exit code that stands for an answer. */
int cli_exit_code(const struct cli_answer *answer);

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
