/* rosemary drain: starts the planned stop of one entry VM. */

#include "cli.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define POLL_MS 200

struct drain {
	int wait;
	int64_t timeout_ms; /* of the wait */
};

static const struct argp_option options[] = {
	{ "wait", 'w', NULL, 0, "wait until the process has exited", 0 },
	{ "timeout", 'T', "MS", 0, "longest time to wait, in ms", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

/* Parses the flags of drain. */
static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct drain *d = state->input;

	switch (key) {
	case 'w':
		d->wait = 1;
		return 0;
	case 'T':
		d->timeout_ms =
			cli_parse_int(state, "--timeout", arg, 1, 86400000);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Waits until the entry VM no longer answers; returns the exit code. */
static int wait_stopped(struct cli *cli, const char *vm, int64_t timeout_ms)
{
	static const struct cli_call healthz_call = { "GET", "/healthz", NULL,
						      NULL, CLI_TIMEOUT_MS };
	int64_t start = cli_now_ms();

	while (cli_now_ms() - start < timeout_ms) {
		struct cli_answer answer;
		int stopped = cli_http_call(cli, vm, &healthz_call, &answer);

		cli_answer_finish(&answer);
		if (stopped) {
			fprintf(stderr, "%s has stopped after %lld ms\n", vm,
				(long long)(cli_now_ms() - start));
			return CLI_COMPLETE;
		}
		if (isatty(STDERR_FILENO))
			fprintf(stderr, "\r%s is stopping: %lld ms", vm,
				(long long)(cli_now_ms() - start));
		cli_sleep_ms(POLL_MS);
	}
	fprintf(stderr, "%s is still stopping; see docs/OPERATIONS.md\n", vm);
	return CLI_RUNNING;
}

/* Requires a single entry VM, so that no other is stopped by mistake. */
static int run(struct cli *cli, int argc, char **argv)
{
	static const struct argp argp = {
		options, parse,
		NULL,	 "Starts a planned stop of the one given entry VM.",
		NULL,	 NULL,
		NULL
	};
	static const struct cli_call call = { "POST", "/v1/drain", NULL, NULL,
					      CLI_TIMEOUT_MS };
	struct drain d = { 0, 120000 };
	struct cli_answer answer;
	int code;

	cli_parse_args(cli, &argp, &d, argc, argv);
	if (cli->nvms != 1)
		cli_usage("drain stops one entry VM: give one --entry-vm");
	if (cli_http_call(cli, cli->vms[0], &call, &answer))
		code = cli_print_unreachable(cli, cli->vms[0], &answer);
	else
		code = cli_print_answer(cli, &answer);
	cli_answer_finish(&answer);
	if (code == CLI_COMPLETE && d.wait)
		code = wait_stopped(cli, cli->vms[0], d.timeout_ms);
	return code;
}

const struct cmd_entry cmd_drain_entry = {
	"drain",
	"start a planned stop of one entry VM",
	run,
};
