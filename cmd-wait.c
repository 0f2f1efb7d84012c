/* rosemary wait: asks for the answer to a key. */

#include "cli.h"

struct wait {
	const char *key;
	int no_wait;
};

static const struct argp_option options[] = {
	{ "no-wait", 'n', NULL, 0, "tell the state as it is now", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

/* Takes the key. */
static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct wait *w = state->input;

	switch (key) {
	case 'n':
		w->no_wait = 1;
		return 0;
	case ARGP_KEY_ARG:
		if (w->key)
			argp_error(state, "more than one key");
		w->key = arg;
		return 0;
	case ARGP_KEY_END:
		if (!w->key)
			argp_error(state, "give a key");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Waits at the first entry VM that answers. */
static int run(struct cli *cli, int argc, char **argv)
{
	static const struct argp argp = {
		options, parse,
		"KEY",	 "Waits until the job of a key is final and prints it.",
		NULL,	 NULL,
		NULL
	};
	struct wait w = { NULL, 0 };

	cli_parse(cli, &argp, &w, argc, argv);
	return cli_wait(cli, w.key, !w.no_wait);
}

const struct cmd_entry cmd_wait_entry = {
	"wait",
	"wait for the answer to a key",
	run,
};
