/* Prints answers of entry VMs as text or JSON. */

#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Returns a text field of a JSON object, or "" when it is absent. */
static const char *text_field(json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s ? s : "";
}

int cli_exit_code(const struct cli_answer *answer)
{
	const char *state = text_field(answer->json, "state");

	if (!strcmp(state, "complete"))
		return CLI_COMPLETE;
	if (!strcmp(state, "running"))
		return CLI_RUNNING;
	if (!strcmp(state, "failed"))
		return CLI_FAILED;
	if (!strcmp(state, "not_run"))
		return CLI_NOT_RUN;
	if (answer->status >= 200 && answer->status < 300)
		return CLI_COMPLETE;
	return CLI_REFUSED;
}

/* Prints one line per result: the task id, a tab and the result. */
static void print_results(json_t *results)
{
	json_t *r;
	size_t i;

	json_array_foreach(results, i, r)
	{
		json_t *raw = json_object_get(r, "result_base64");

		printf("  %s\t%s%s\n", text_field(r, "id"),
		       raw ? "base64:" : "",
		       raw ? json_string_value(raw) : text_field(r, "result"));
	}
}

/* Prints the error of an answer, and whether and when to retry. */
static void print_error(json_t *o)
{
	json_t *may_have_run = json_object_get(o, "may_have_run");
	json_t *retry_after = json_object_get(o, "retry_after_ms");

	if (*text_field(o, "error"))
		printf("error: %s", text_field(o, "error"));
	if (*text_field(o, "step"))
		printf(", at step %s", text_field(o, "step"));
	if (*text_field(o, "peer"))
		printf(", at %s", text_field(o, "peer"));
	if (*text_field(o, "error"))
		printf("\n");
	if (*text_field(o, "message"))
		printf("message: %s\n", text_field(o, "message"));
	if (may_have_run)
		printf("tasks may have run: %s\n",
		       json_is_true(may_have_run) ? "yes" : "no");
	if (json_integer_value(retry_after) > 0)
		printf("retry after: %lld ms\n",
		       (long long)json_integer_value(retry_after));
}

/* Prints an answer field by field, or its raw body when it is not JSON. */
static void print_text(const struct cli_answer *answer)
{
	json_t *o = answer->json;

	if (!o) {
		printf("HTTP %ld %s\n", answer->status,
		       answer->body ? answer->body : "");
		return;
	}
	if (*text_field(o, "key"))
		printf("key: %s\n", text_field(o, "key"));
	printf("state: %s\n", *text_field(o, "state") ? text_field(o, "state")
			      : answer->status / 100 == 2 ? "done"
							  : "refused");
	print_error(o);
	if (json_object_get(o, "results")) {
		printf("results: %zu\n",
		       json_array_size(json_object_get(o, "results")));
		print_results(json_object_get(o, "results"));
	}
}

int cli_print_answer(struct cli *cli, const struct cli_answer *answer)
{
	if (cli->json && answer->json) {
		json_dumpf(answer->json, stdout,
			   JSON_INDENT(2) | JSON_ENCODE_ANY);
		printf("\n");
	} else {
		print_text(answer);
	}
	return cli_exit_code(answer);
}

int cli_print_unreachable(struct cli *cli, const char *vm,
			  const struct cli_answer *answer)
{
	json_t *o;

	if (!cli->json) {
		printf("# entry VM %s gave no answer: %s\n", vm, answer->error);
		return CLI_UNREACHABLE;
	}
	o = json_pack("{s:s, s:s, s:s}", "event", "unreachable", "vm", vm,
		      "message", answer->error);
	json_dumpf(o, stdout, JSON_COMPACT);
	printf("\n");
	json_decref(o);
	return CLI_UNREACHABLE;
}
