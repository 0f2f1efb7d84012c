/* Printing of answers, for people and as JSON. */

#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The answer's field as text, or "" when it is absent. */
static const char *field(json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s ? s : "";
}

int cli_exit_code(const struct cli_reply *reply)
{
	const char *state = field(reply->json, "state");

	if (!strcmp(state, "complete"))
		return CLI_COMPLETE;
	if (!strcmp(state, "running"))
		return CLI_RUNNING;
	if (!strcmp(state, "failed"))
		return CLI_FAILED;
	if (!strcmp(state, "not_run"))
		return CLI_NOT_RUN;
	if (reply->status >= 200 && reply->status < 300)
		return CLI_COMPLETE;
	return CLI_REFUSED;
}

/* Prints one line per result: id, tab, result. */
static void print_results(json_t *results)
{
	json_t *r;
	size_t i;

	json_array_foreach(results, i, r)
	{
		json_t *raw = json_object_get(r, "result_base64");

		printf("  %s\t%s%s\n", field(r, "id"), raw ? "base64:" : "",
		       raw ? json_string_value(raw) : field(r, "result"));
	}
}

/* Prints why an answer is not a complete one. */
static void print_reason(json_t *o)
{
	json_t *may = json_object_get(o, "may_have_run");
	json_t *retry = json_object_get(o, "retry_after_ms");

	if (*field(o, "error"))
		printf("error: %s", field(o, "error"));
	if (*field(o, "step"))
		printf(", at step %s", field(o, "step"));
	if (*field(o, "peer"))
		printf(", at %s", field(o, "peer"));
	if (*field(o, "error"))
		printf("\n");
	if (*field(o, "message"))
		printf("message: %s\n", field(o, "message"));
	if (may)
		printf("tasks may have run: %s\n",
		       json_is_true(may) ? "yes" : "no");
	if (json_integer_value(retry) > 0)
		printf("come back in: %lld ms\n",
		       (long long)json_integer_value(retry));
}

/* Prints an answer field by field, or the raw body of another reply. */
static void print_human(const struct cli_reply *reply)
{
	json_t *o = reply->json;

	if (!o) {
		printf("HTTP %ld %s\n", reply->status,
		       reply->body ? reply->body : "");
		return;
	}
	if (*field(o, "key"))
		printf("key: %s\n", field(o, "key"));
	printf("state: %s\n", *field(o, "state")	 ? field(o, "state")
			      : reply->status / 100 == 2 ? "done"
							 : "refused");
	print_reason(o);
	if (json_object_get(o, "results")) {
		printf("results: %zu\n",
		       json_array_size(json_object_get(o, "results")));
		print_results(json_object_get(o, "results"));
	}
}

int cli_print_answer(struct cli *cli, const struct cli_reply *reply)
{
	if (cli->json && reply->json) {
		json_dumpf(reply->json, stdout,
			   JSON_INDENT(2) | JSON_ENCODE_ANY);
		printf("\n");
	} else {
		print_human(reply);
	}
	return cli_exit_code(reply);
}

int cli_print_unreachable(struct cli *cli, const char *vm,
			  const struct cli_reply *reply)
{
	json_t *o;

	if (!cli->json) {
		printf("# entry VM %s gave no answer: %s\n", vm, reply->error);
		return CLI_UNREACHABLE;
	}
	o = json_pack("{s:s, s:s, s:s}", "event", "unreachable", "vm", vm,
		      "message", reply->error);
	json_dumpf(o, stdout, JSON_COMPACT);
	printf("\n");
	json_decref(o);
	return CLI_UNREACHABLE;
}
