/* rosemary metrics: prints the metrics of each entry VM. */

#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct cli_call metrics_call = { "GET", "/v1/metrics", NULL, NULL,
					      CLI_TIMEOUT_MS };

/* Parses lines of "name{labels} value" into one JSON object. */
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

/* Prints the metrics of one entry VM as one line of JSON. */
static void print_json(const char *vm, char *text)
{
	json_t *o = json_pack("{s:s, s:o}", "vm", vm, "metrics",
			      parse_metrics(text));

	json_dumpf(o, stdout, JSON_COMPACT);
	printf("\n");
	json_decref(o);
}

/* Prints the metrics of one entry VM; returns the exit code. */
static int show(struct cli *cli, const char *vm)
{
	struct cli_answer answer;
	int code = CLI_COMPLETE;

	if (cli_http_call(cli, vm, &metrics_call, &answer))
		code = cli_print_unreachable(cli, vm, &answer);
	else if (answer.status != 200 || !answer.body)
		code = cli_print_answer(cli, &answer);
	else if (cli->json)
		print_json(vm, answer.body);
	else
		printf("# entry VM %s\n%s", vm, answer.body);
	cli_answer_finish(&answer);
	return code;
}

static int run(struct cli *cli, int argc, char **argv)
{
	static const struct argp argp = {
		NULL, NULL, NULL, "Shows the metrics of every given entry VM.",
		NULL, NULL, NULL
	};

	cli_parse_args(cli, &argp, NULL, argc, argv);
	return cli_for_each_vm(cli, show);
}

const struct cmd_entry cmd_metrics_entry = {
	"metrics",
	"show the metrics of every entry VM",
	run,
};
