/* rosemary show-status: what each entry VM says of itself and the others. */

#include "cli.h"

#include <stdio.h>

static const struct cli_call status_call = { "GET", "/v1/status", NULL, NULL,
					     CLI_TIMEOUT_MS };

/* Prints the status of one entry VM; returns the exit code. */
static int show(struct cli *cli, const char *vm)
{
	struct cli_reply reply;
	int code = CLI_COMPLETE;

	if (cli_http(cli, vm, &status_call, &reply)) {
		code = cli_print_unreachable(cli, vm, &reply);
	} else if (!reply.json || reply.status != 200) {
		code = cli_print_answer(cli, &reply);
	} else if (cli->json) {
		json_dumpf(reply.json, stdout, JSON_COMPACT);
		printf("\n");
	} else {
		printf("entry VM %s\n", vm);
		cli_print_tree(reply.json, 1);
	}
	cli_reply_finish(&reply);
	return code;
}

static int run(struct cli *cli, int argc, char **argv)
{
	static const struct argp argp = {
		NULL, NULL, NULL, "Shows the status of every given entry VM.",
		NULL, NULL, NULL
	};

	cli_parse(cli, &argp, NULL, argc, argv);
	return cli_each_vm(cli, show);
}

const struct cmd_entry cmd_show_status_entry = {
	"show-status",
	"show the status of every entry VM",
	run,
};
