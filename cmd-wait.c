/* rosemary wait: prints the answer to the job of a key. */

#include "cli.h"

struct wait {
	const char *key; /* must be first: cli_parse_key() sets it */
	int no_wait;
};

static const struct argp_option options[] = {
	{ "no-wait", 'n', NULL, 0, "print the current state", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

/* Parses the flag and the key. */
static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct wait *w = state->input;

	if (key != 'n')
		return cli_parse_key(key, arg, state);
	w->no_wait = 1;
	return 0;
}

/* Waits for the job unless --no-wait is given. */
static int run(struct cli *cli, int argc, char **argv)
{
	static const struct argp argp = {
		options, parse,
		"KEY",	 "Waits until the job of a key is final and prints it.",
		NULL,	 NULL,
		NULL
	};
	struct wait w = { NULL, 0 };

	cli_parse_args(cli, &argp, &w, argc, argv);
	return cli_wait(cli, w.key, !w.no_wait);
}

const struct cmd_entry cmd_wait_entry = {
	"wait",
	"wait for the answer to a key",
	run,
};
