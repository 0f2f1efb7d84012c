/* rosemary metrics: the counters of each entry VM. */

#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct cli_call metrics_call = { "GET", "/v1/metrics", NULL, NULL,
					      CLI_TIMEOUT_MS };

/* Turns "name{labels} value" lines into one object. */
static json_t *parse_metrics(char *text)
{
	json_t *o = json_object();
	char *save, *line;

	for (line = strtok_r(text, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save)) {
		char *space = strrchr(line, ' ');

		if (*line == '#' || !space)
			continue;
		*space = '\0';
		json_object_set_new(o, line,
				    json_real(strtod(space + 1, NULL)));
	}
	return o;
}

/* Prints one entry VM's counters as one line. */
static void print_json(const char *vm, char *text)
{
	json_t *o = json_pack("{s:s, s:o}", "vm", vm, "metrics",
			      parse_metrics(text));

	json_dumpf(o, stdout, JSON_COMPACT);
	printf("\n");
	json_decref(o);
}

/* Prints one entry VM's counters; returns the exit code. */
static int show(struct cli *cli, const char *vm)
{
	struct cli_reply reply;
	int code = CLI_COMPLETE;

	if (cli_http(cli, vm, &metrics_call, &reply))
		code = cli_print_unreachable(cli, vm, &reply);
	else if (reply.status != 200 || !reply.body)
		code = cli_print_answer(cli, &reply);
	else if (cli->json)
		print_json(vm, reply.body);
	else
		printf("# entry VM %s\n%s", vm, reply.body);
	cli_reply_finish(&reply);
	return code;
}

static int run(struct cli *cli, int argc, char **argv)
{
	static const struct argp argp = {
		NULL, NULL, NULL, "Shows the counters of every given entry VM.",
		NULL, NULL, NULL
	};

	cli_parse(cli, &argp, NULL, argc, argv);
	return cli_each_vm(cli, show);
}

const struct cmd_entry cmd_metrics_entry = {
	"metrics",
	"show the counters of every entry VM",
	run,
};
