/* Sends edits of the table and waits until they are in force. */

#include "cli-table.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Longer than an entry VM takes to find out whether a commit took effect whose
 * answer from the platform was lost.
 */
#define EDIT_TIMEOUT_MS 15000
#define POLL_MS 200

static json_t *edit_to_json(const struct cli_edit *e)
{
	return json_pack("{s:s, s:I, s:o}", "edit_id", e->id, "base_version",
			 (json_int_t)e->base_version, "cells",
			 cli_cells_to_json(&e->cells));
}

/* Prints both values of each cell that another operator has changed too. */
static void print_conflicts(const struct cli_edit *e, json_t *conflicts)
{
	struct cli_cells conflicting = { 0 };
	size_t i;

	cli_cells_parse(&conflicting, conflicts);
	for (i = 0; i < conflicting.len; i++) {
		const struct cli_cell *c = &conflicting.list[i];
		const struct cli_cell *own = cli_cells_find(&e->cells, c);
		char path[2 * CLI_NAME_MAX + 2], own_values[64], values[64];

		cli_cell_format_path(c, path, sizeof(path));
		cli_cell_format_values(c, values, sizeof(values));
		if (own)
			cli_cell_format_values(own, own_values,
					       sizeof(own_values));
		fprintf(stderr,
			"conflict: %s: yours %s; in force %s since version "
			"%" PRId64 "\n",
			path, own ? own_values : "-", values, c->version);
	}
	cli_cells_finish(&conflicting);
}

/* Prints why an edit was not accepted; returns the exit code. */
static int print_refusal(const struct cli_edit *e,
			 const struct cli_answer *answer)
{
	json_t *message = json_object_get(answer->json, "message");
	const char *text = json_string_value(message);

	print_conflicts(e, json_object_get(answer->json, "conflicts"));
	fprintf(stderr, "not accepted: %s\n",
		text ? text : "the answer has no message");
	if (text && !strncmp(text, "unsettled", 9)) {
		fprintf(stderr, "send it again with --edit-id=%s\n", e->id);
		return CLI_RUNNING;
	}
	return CLI_REFUSED;
}

int cli_edit_commit(struct cli *cli, const struct cli_edit *e, int64_t *version)
{
	struct cli_call call = { "POST", "/v1/table/edits", edit_to_json(e),
				 NULL, EDIT_TIMEOUT_MS };
	struct cli_answer answer;
	int code = CLI_COMPLETE;

	/* Each entry VM gets the same edit id, so the edit is applied once. */
	if (cli_call_any_vm(cli, &call, &answer)) {
		fprintf(stderr,
			"no entry VM answered; whether the edit is accepted "
			"is not known; send it again with --edit-id=%s\n",
			e->id);
		code = CLI_UNREACHABLE;
	} else if (answer.status != 200) {
		code = print_refusal(e, &answer);
	} else {
		json_t *v = json_object_get(answer.json, "version");

		*version = json_integer_value(v);
	}
	cli_answer_finish(&answer);
	json_decref(call.body);
	return code;
}

int cli_edit_draft(struct cli *cli, const struct cli_edit *e, const char *name)
{
	char path[512];
	char *escaped = cli_escape(name);
	struct cli_call call = { e ? "PUT" : "DELETE", path,
				 e ? edit_to_json(e) : NULL, NULL,
				 EDIT_TIMEOUT_MS };
	struct cli_answer answer;
	int code = CLI_COMPLETE;

	snprintf(path, sizeof(path), "/v1/table/drafts/%s", escaped);
	free(escaped);
	if (cli_call_any_vm(cli, &call, &answer)) {
		fprintf(stderr, "no entry VM answered\n");
		code = CLI_UNREACHABLE;
	} else if (answer.status != 200) {
		fprintf(stderr,
			"the draft was not %s: ", e ? "saved" : "deleted");
		code = cli_print_answer(cli, &answer);
	}
	cli_answer_finish(&answer);
	if (call.body)
		json_decref(call.body);
	return code;
}

/* Prints the entry VMs that lack the version; returns the exit code. */
static int print_missing(struct cli *cli, const int64_t *versions,
			 int64_t version)
{
	int code = CLI_COMPLETE;
	size_t i;

	for (i = 0; i < cli->nvms; i++) {
		if (versions[i] >= version)
			continue;
		if (versions[i] < 0) {
			printf("NOT KNOWN to be in force at %s: it gives no "
			       "answer\n",
			       cli->vms[i]);
			code = CLI_UNREACHABLE;
		} else {
			printf("NOT in force at %s: it has version %" PRId64
			       "\n",
			       cli->vms[i], versions[i]);
			if (code == CLI_COMPLETE)
				code = CLI_RUNNING;
		}
	}
	return code;
}

int cli_edit_wait(struct cli *cli, int64_t version, int64_t wait_ms)
{
	int64_t versions[CLI_VMS_MAX], end = cli_now_ms() + wait_ms;
	size_t i, nmissing;
	int code;

	for (i = 0; i < CLI_VMS_MAX; i++)
		versions[i] = -1;
	do {
		nmissing = 0;
		for (i = 0; i < cli->nvms; i++) {
			if (versions[i] >= version)
				continue;
			versions[i] = cli_table_read_version(cli, cli->vms[i]);
			nmissing += versions[i] < version;
		}
		if (nmissing)
			cli_sleep_ms(POLL_MS);
	} while (nmissing && cli_now_ms() < end);
	code = print_missing(cli, versions, version);
	if (code == CLI_COMPLETE)
		printf("version %" PRId64 " is in force at all %zu entry VMs "
		       "given\n",
		       version, cli->nvms);
	return code;
}
