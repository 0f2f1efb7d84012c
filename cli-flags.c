/* Flags common to all commands, and the environment variable for them. */

#include "cli.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VMS_VARIABLE "ROSEMARY_ENTRY_VMS"

void cli_usage(const char *fmt, ...)
{
	va_list ap;

	fputs("rosemary: ", stderr);
	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
	exit(CLI_USAGE);
}

int64_t cli_parse_int(struct argp_state *state, const char *what,
		      const char *arg, int64_t low, int64_t high)
{
	char *end;
	long long n = strtoll(arg, &end, 10);

	if (*end || end == arg || n < low || n > high)
		argp_error(state, "%s must be %lld..%lld, not '%s'", what,
			   (long long)low, (long long)high, arg);
	return n;
}

/* Adds an entry VM; exits on an invalid address or when there are too many. */
static void add_vm(struct cli *cli, const char *vm)
{
	if (!strchr(vm, ':'))
		cli_usage("an entry VM is given as IP:PORT, not '%s'", vm);
	if (cli->nvms == CLI_VMS_MAX)
		cli_usage("more than %d entry VMs", CLI_VMS_MAX);
	cli->vms[cli->nvms++] = vm;
}

/* Adds the entry VMs listed in the environment variable. */
static void add_vms_from_env(struct cli *cli)
{
	const char *list = getenv(VMS_VARIABLE);
	char *save, *tok;

	if (!list)
		return;
	cli->vms_env = strdup(list);
	for (tok = strtok_r(cli->vms_env, ", ", &save); tok;
	     tok = strtok_r(NULL, ", ", &save))
		add_vm(cli, tok);
}

/* Parses the common flags; the command's own parser is the argp child. */
static error_t parse_common(int key, char *arg, struct argp_state *state)
{
	struct cli *cli = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = cli->cmd_input;
		return 0;
	case 'e':
		add_vm(cli, arg);
		return 0;
	case 'j':
		cli->json = 1;
		return 0;
	case ARGP_KEY_END:
		if (!cli->nvms)
			add_vms_from_env(cli);
		if (!cli->nvms)
			argp_error(state, "give --entry-vm or set %s",
				   VMS_VARIABLE);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

void cli_parse_args(struct cli *cli, const struct argp *own, void *input,
		    int argc, char **argv)
{
	static const struct argp_option common[] = {
		{ "entry-vm", 'e', "IP:PORT", 0,
		  "an entry VM; repeatable (default: " VMS_VARIABLE ", "
		  "separated "
		  "by "
		  "commas)",
		  -1 },
		{ "json", 'j', NULL, 0, "print JSON", -1 },
		{ NULL, 0, NULL, 0, NULL, 0 },
	};
	struct argp_child children[] = {
		{ own, 0, NULL, 0 },
		{ NULL, 0, NULL, 0 },
	};
	struct argp argp = { common,   parse_common, NULL, NULL,
			     children, NULL,	     NULL };

	cli->cmd_input = input;
	argp_parse(&argp, argc, argv, 0, NULL, cli);
}
