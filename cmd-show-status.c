/* rosemary show-status: prints the status that each entry VM reports. */

#include "cli.h"

#include <stdio.h>

static const struct cli_call status_call = { "GET", "/v1/status", NULL, NULL,
					     CLI_TIMEOUT_MS };

/* Prints the status of one entry VM; returns the exit code. */
static int show(struct cli *cli, const char *vm)
{
	struct cli_answer answer;
	int code = CLI_COMPLETE;

	if (cli_http_call(cli, vm, &status_call, &answer)) {
		code = cli_print_unreachable(cli, vm, &answer);
	} else if (!answer.json || answer.status != 200) {
		code = cli_print_answer(cli, &answer);
	} else if (cli->json) {
		json_dumpf(answer.json, stdout, JSON_COMPACT);
		printf("\n");
	} else {
		printf("entry VM %s\n", vm);
		cli_print_tree(answer.json, 1);
	}
	cli_answer_finish(&answer);
	return code;
}

static int run(struct cli *cli, int argc, char **argv)
{
	static const struct argp argp = {
		NULL, NULL, NULL, "Shows the status of every given entry VM.",
		NULL, NULL, NULL
	};

	cli_parse_args(cli, &argp, NULL, argc, argv);
	return cli_for_each_vm(cli, show);
}

const struct cmd_entry cmd_show_status_entry = {
	"show-status",
	"show the status of every entry VM",
	run,
};
