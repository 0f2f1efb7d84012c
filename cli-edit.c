/* Sending an edit of the table, and waiting until it is in force. */

#include "cli-table.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longer than an entry VM takes to settle a lost commit, ms. */
#define EDIT_TIMEOUT_MS 15000
#define POLL_MS 200

static json_t *edit_json(const struct cli_edit *e)
{
	return json_pack("{s:s, s:I, s:o}", "edit_id", e->id, "base_version",
			 (json_int_t)e->base_version, "cells",
			 cli_cells_json(&e->cells));
}

/* Shows both values of each cell that another operator changed, too. */
static void print_conflicts(const struct cli_edit *e, json_t *conflicts)
{
	struct cli_cells theirs = { 0 };
	size_t i;

	cli_cells_read(&theirs, conflicts);
	for (i = 0; i < theirs.len; i++) {
		const struct cli_cell *c = &theirs.list[i];
		const struct cli_cell *mine = cli_cells_find(&e->cells, c);
		char place[2 * CLI_NAME_MAX + 2], a[64], b[64];

		cli_cell_place(c, place, sizeof(place));
		cli_cell_values(c, b, sizeof(b));
		if (mine)
			cli_cell_values(mine, a, sizeof(a));
		fprintf(stderr,
			"conflict: %s: yours %s; in force %s since version "
			"%" PRId64 "\n",
			place, mine ? a : "-", b, c->version);
	}
	cli_cells_finish(&theirs);
}

/* Says what became of an edit that was not accepted. */
static int print_refused(const struct cli_edit *e,
			 const struct cli_reply *reply)
{
	json_t *message = json_object_get(reply->json, "message");
	const char *text = json_string_value(message);

	print_conflicts(e, json_object_get(reply->json, "conflicts"));
	fprintf(stderr, "not accepted: %s\n",
		text ? text : "the answer makes no sense");
	if (text && !strncmp(text, "unsettled", 9)) {
		fprintf(stderr, "send it again with --edit-id=%s\n", e->id);
		return CLI_RUNNING;
	}
	return CLI_REFUSED;
}

int cli_edit_commit(struct cli *cli, const struct cli_edit *e, int64_t *version)
{
	struct cli_call call = { "POST", "/v1/table/edits", edit_json(e), NULL,
				 EDIT_TIMEOUT_MS };
	struct cli_reply reply;
	int code = CLI_COMPLETE;

	/* The same id at the next entry VM: it is applied once. */
	if (cli_any_vm(cli, &call, &reply)) {
		fprintf(stderr,
			"no entry VM answered; whether the edit is accepted "
			"is not known; send it again with --edit-id=%s\n",
			e->id);
		code = CLI_UNREACHABLE;
	} else if (reply.status != 200) {
		code = print_refused(e, &reply);
	} else {
		*version = json_integer_value(json_object_get(reply.json, "vers"
									  "io"
									  "n"));
	}
	cli_reply_finish(&reply);
	json_decref(call.body);
	return code;
}

int cli_edit_draft(struct cli *cli, const struct cli_edit *e, const char *name)
{
	char path[512];
	char *escaped = cli_escape(name);
	struct cli_call call = { e ? "PUT" : "DELETE", path,
				 e ? edit_json(e) : NULL, NULL,
				 EDIT_TIMEOUT_MS };
	struct cli_reply reply;
	int code = CLI_COMPLETE;

	snprintf(path, sizeof(path), "/v1/table/drafts/%s", escaped);
	free(escaped);
	if (cli_any_vm(cli, &call, &reply)) {
		fprintf(stderr, "no entry VM answered\n");
		code = CLI_UNREACHABLE;
	} else if (reply.status != 200) {
		fprintf(stderr,
			"the draft was not %s: ", e ? "kept" : "dropped");
		code = cli_print_answer(cli, &reply);
	}
	cli_reply_finish(&reply);
	if (call.body)
		json_decref(call.body);
	return code;
}

/* Names the entry VMs that do not have the version; returns the exit code. */
static int print_missing(struct cli *cli, const int64_t *have, int64_t version)
{
	int code = CLI_COMPLETE;
	size_t i;

	for (i = 0; i < cli->nvms; i++) {
		if (have[i] >= version)
			continue;
		if (have[i] < 0) {
			printf("NOT KNOWN to be in force at %s: it gives no "
			       "answer\n",
			       cli->vms[i]);
			code = CLI_UNREACHABLE;
		} else {
			printf("NOT in force at %s: it has version %" PRId64
			       "\n",
			       cli->vms[i], have[i]);
			if (code == CLI_COMPLETE)
				code = CLI_RUNNING;
		}
	}
	return code;
}

int cli_edit_wait(struct cli *cli, int64_t version, int64_t wait_ms)
{
	int64_t have[CLI_VMS_MAX], end = cli_now_ms() + wait_ms;
	size_t i, missing;
	int code;

	for (i = 0; i < CLI_VMS_MAX; i++)
		have[i] = -1;
	do {
		missing = 0;
		for (i = 0; i < cli->nvms; i++) {
			if (have[i] >= version)
				continue;
			have[i] = cli_table_version(cli, cli->vms[i]);
			missing += have[i] < version;
		}
		if (missing)
			cli_sleep_ms(POLL_MS);
	} while (missing && cli_now_ms() < end);
	code = print_missing(cli, have, version);
	if (code == CLI_COMPLETE)
		printf("version %" PRId64 " is in force at all %zu entry VMs "
		       "given\n",
		       version, cli->nvms);
	return code;
}
