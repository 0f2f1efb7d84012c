/* The command line for callers and operators: rosemary COMMAND ... */

#include "cli.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct cmd_entry *const commands[] = {
	&cmd_submit_entry,
	&cmd_request_entry,
	&cmd_wait_entry,
	&cmd_cancel_entry,
	&cmd_show_status_entry,
	&cmd_drain_entry,
	&cmd_events_entry,
	&cmd_metrics_entry,
	&cmd_show_table_entry,
	&cmd_edit_table_entry,
	NULL,
};

/* Prints the list of commands and the exit codes. */
static void print_usage(FILE *out)
{
	const struct cmd_entry *const *c;

	fprintf(out, "Usage: rosemary COMMAND [OPTION...] [ARG...]\n\n");
	for (c = commands; *c; c++)
		fprintf(out, "  %-12s %s\n", (*c)->name, (*c)->help);
	fprintf(out, "\nEach COMMAND explains its options with --help.\n"
		     "Exit codes: 0 complete or done, 1 failed, 2 usage, "
		     "3 not run, 4 refused,\n"
		     "5 an entry VM gave no answer, 6 still running.\n");
}

/* Finds a command by its name; returns NULL when there is none. */
static const struct cmd_entry *find_command(const char *name)
{
	const struct cmd_entry *const *c;

	for (c = commands; *c; c++)
		if (!strcmp((*c)->name, name))
			return *c;
	return NULL;
}

/* Runs a command; returns its exit code. */
static int run_command(const struct cmd_entry *cmd, int argc, char **argv)
{
	static char name[64];
	struct cli cli = { .nvms = 0 };
	int code;

	snprintf(name, sizeof(name), "rosemary %s", cmd->name);
	argv[0] = name;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = cmd->run(&cli, argc, argv);
	curl_easy_cleanup(cli.curl);
	curl_global_cleanup();
	free(cli.vms_env);
	return code;
}

int main(int argc, char **argv)
{
	const struct cmd_entry *cmd;

	argp_err_exit_status = CLI_USAGE;
	if (argc < 2) {
		print_usage(stderr);
		return CLI_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "help")) {
		print_usage(stdout);
		return 0;
	}
	cmd = find_command(argv[1]);
	if (!cmd) {
		fprintf(stderr, "rosemary: no command '%s'\n", argv[1]);
		print_usage(stderr);
		return CLI_USAGE;
	}
	return run_command(cmd, argc - 1, argv + 1);
}
