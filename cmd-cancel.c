/* rosemary cancel: cancels the job of a key. */

#include "cli.h"

#include <stdio.h>
#include <stdlib.h>

/* Sends the cancellation to the first entry VM that answers. */
static int run(struct cli *cli, int argc, char **argv)
{
	static const struct argp argp = {
		NULL,  cli_parse_key,
		"KEY", "Cancels a job and prints the state reached.",
		NULL,  NULL,
		NULL
	};
	const char *key = NULL;
	char path[1024];
	char *name;
	struct cli_call call = { "DELETE", path, NULL, NULL, CLI_TIMEOUT_MS };
	struct cli_answer answer;
	int code = CLI_UNREACHABLE;

	cli_parse_args(cli, &argp, &key, argc, argv);
	name = cli_escape(key);
	snprintf(path, sizeof(path), "/v1/jobs/%s", name);
	free(name);
	if (!cli_call_any_vm(cli, &call, &answer))
		code = cli_print_answer(cli, &answer);
	cli_answer_finish(&answer);
	return code;
}

const struct cmd_entry cmd_cancel_entry = {
	"cancel",
	"cancel the job of a key",
	run,
};
