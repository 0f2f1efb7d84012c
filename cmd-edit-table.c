/* rosemary edit-table: changes cells of the operator's table atomically. */

#include "cli-table.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DEFAULT_WAIT_MS 10000 /* for an edit to be in force everywhere */

enum long_flag {
	FLAG_DRAFT = 256,
	FLAG_COMMIT,
	FLAG_DROP,
	FLAG_ID,
	FLAG_BASE,
	FLAG_WAIT,
};

struct input {
	struct cli_cells cells; /* from the arguments and files */
	const char *draft, *commit, *drop, *id;
	int64_t base_version; /* -1: the version in force */
	int64_t wait_ms;
	int yes; /* don't ask before an edit that stops a service */
};

static const struct argp_option options[] = {
	{ "file", 'f', "FILE", 0, "read cells from a file; - is standard input",
	  0 },
	{ "yes", 'y', NULL, 0, "do not ask before a service is stopped", 0 },
	{ "draft", FLAG_DRAFT, "NAME", 0, "save the cells as a draft", 0 },
	{ "commit-draft", FLAG_COMMIT, "NAME", 0, "put a draft in force", 0 },
	{ "drop-draft", FLAG_DROP, "NAME", 0, "delete a draft", 0 },
	{ "edit-id", FLAG_ID, "ID", 0, "send an unsettled edit again", 0 },
	{ "base-version", FLAG_BASE, "N", 0,
	  "version that the cells were read at", 0 },
	{ "wait", FLAG_WAIT, "MS", 0,
	  "how long to wait until it is in force at all entry VMs", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

/* Checks that the flags may be combined. */
static void check_input(struct argp_state *state, const struct input *in)
{
	int draft_flags = !!in->commit + !!in->drop;

	if (draft_flags > 1 || (draft_flags && in->draft))
		argp_error(state, "give one of --draft, --commit-draft and "
				  "--drop-draft");
	if (!draft_flags == !in->cells.len)
		argp_error(state, draft_flags ? "a draft has its own cells"
					      : "give cells, or --file");
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct input *in = state->input;
	const char *error;

	switch (key) {
	case 'f':
		cli_cells_parse_file(&in->cells, arg);
		return 0;
	case 'y':
		in->yes = 1;
		return 0;
	case FLAG_DRAFT:
		in->draft = arg;
		return 0;
	case FLAG_COMMIT:
		in->commit = arg;
		return 0;
	case FLAG_DROP:
		in->drop = arg;
		return 0;
	case FLAG_ID:
		in->id = arg;
		return 0;
	case FLAG_BASE:
		in->base_version = cli_parse_int(state, "--base-version", arg,
						 0, INT64_MAX);
		return 0;
	case FLAG_WAIT:
		in->wait_ms = cli_parse_int(state, "--wait", arg, 0, 86400000);
		return 0;
	case ARGP_KEY_ARG:
		error = cli_cells_parse_word(&in->cells, arg);
		if (error)
			argp_error(state, "'%s': %s", arg, error);
		return 0;
	case ARGP_KEY_END:
		check_input(state, in);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Reads the table of the first entry VM that answers; returns the exit code. */
static int read_table(struct cli *cli, struct cli_answer *answer)
{
	static const struct cli_call call = { "GET", "/v1/table", NULL, NULL,
					      CLI_TIMEOUT_MS };

	if (!cli_call_any_vm(cli, &call, answer) && answer->status == 200 &&
	    json_is_object(answer->json))
		return CLI_COMPLETE;
	fprintf(stderr, "no entry VM answered with its table\n");
	return CLI_UNREACHABLE;
}

/* Makes a unique edit id from the time and the process id. */
static void make_edit_id(char out[CLI_NAME_MAX])
{
	snprintf(out, CLI_NAME_MAX, "edit-%" PRIx64 "-%x",
		 (uint64_t)cli_now_ms(), (unsigned)getpid());
}

/* Makes the edit from the given cells; unchanged values are those in force. */
static void edit_from_cells(struct cli_edit *e, const struct input *in,
			    json_t *table, const struct cli_cells *in_force)
{
	size_t i;

	if (in->id)
		snprintf(e->id, sizeof(e->id), "%s", in->id);
	else
		make_edit_id(e->id);
	e->base_version = in->base_version;
	if (e->base_version < 0)
		e->base_version =
			json_integer_value(json_object_get(table, "version"));
	for (i = 0; i < in->cells.len; i++) {
		struct cli_cell c = in->cells.list[i];
		const struct cli_cell *current = cli_cells_find(in_force, &c);

		if (c.weight == CLI_UNCHANGED)
			c.weight = current ? current->weight : CLI_DEFAULT;
		if (c.limit == CLI_UNCHANGED)
			c.limit = current ? current->limit : CLI_DEFAULT;
		cli_cells_add(&e->cells, &c);
	}
}

/* Makes the edit from a draft, which has its own edit id and base version. */
static void edit_from_draft(struct cli_edit *e, json_t *draft)
{
	const char *id = json_string_value(json_object_get(draft, "edit_id"));

	snprintf(e->id, sizeof(e->id), "%s", id ? id : "");
	e->base_version = json_integer_value(json_object_get(draft, "base_"
								    "version"));
	cli_cells_parse(&e->cells, json_object_get(draft, "cells"));
}

/* Prints the changes of the edit; returns the number of changed cells. */
static size_t print_changes(const struct cli_edit *e,
			    const struct cli_cells *in_force)
{
	struct cli_cell unset = { .weight = CLI_DEFAULT, .limit = CLI_DEFAULT };
	size_t i, n = 0;

	for (i = 0; i < e->cells.len; i++) {
		const struct cli_cell *c = &e->cells.list[i];
		const struct cli_cell *current = cli_cells_find(in_force, c);
		char path[2 * CLI_NAME_MAX + 2], old_values[64], new_values[64];

		unset.is_team = c->is_team;
		cli_cell_format_path(c, path, sizeof(path));
		cli_cell_format_values(current ? current : &unset, old_values,
				       sizeof(old_values));
		cli_cell_format_values(c, new_values, sizeof(new_values));
		if (!strcmp(old_values, new_values))
			continue;
		printf("%s: %s -> %s\n", path, old_values, new_values);
		n++;
	}
	return n;
}

/*
 * Returns the limit or weight that a target would have after the edit: of its
 * own cell, else of the cell for all targets of the service, else CLI_DEFAULT.
 */
static int effective_value(const struct cli_edit *e,
			   const struct cli_cells *in_force,
			   const char *service, const char *target,
			   int want_limit)
{
	const char *names[] = { target, "*" };
	size_t i;

	for (i = 0; i < 2; i++) {
		struct cli_cell key = { 0 };
		const struct cli_cell *c;
		int value;

		snprintf(key.service, sizeof(key.service), "%s", service);
		snprintf(key.name, sizeof(key.name), "%s", names[i]);
		c = cli_cells_find(&e->cells, &key);
		if (!c)
			c = cli_cells_find(in_force, &key);
		value = !c ? CLI_DEFAULT : want_limit ? c->limit : c->weight;
		if (value != CLI_DEFAULT)
			return value;
	}
	return CLI_DEFAULT;
}

/* Whether each target of the service would have a weight or limit of 0. */
static int stops_service(const struct cli_edit *e,
			 const struct cli_cells *in_force, json_t *service)
{
	const char *name = json_string_value(json_object_get(service, "name"));
	json_t *targets = json_object_get(service, "targets");
	size_t i, nusable = 0;

	for (i = 0; i < json_array_size(targets); i++) {
		json_t *t = json_array_get(targets, i);
		json_t *target_name = json_object_get(t, "name");
		const char *target = json_string_value(target_name);

		if (name && target &&
		    effective_value(e, in_force, name, target, 1) != 0 &&
		    effective_value(e, in_force, name, target, 0) != 0)
			nusable++;
	}
	return json_array_size(targets) && !nusable;
}

/*
 * Asks the operator to confirm an edit that would stop a service. Returns 0
 * when the edit must not be sent.
 */
static int confirm_stopped_services(struct cli *cli, const struct input *in,
				    const struct cli_edit *e,
				    const struct cli_cells *in_force)
{
	static const struct cli_call call = { "GET", "/v1/status", NULL, NULL,
					      CLI_TIMEOUT_MS };
	struct cli_answer answer;
	char line[16] = "";
	json_t *list;
	size_t i;
	int confirmed = 1;

	if (in->yes)
		return 1;
	if (cli_call_any_vm(cli, &call, &answer)) {
		cli_answer_finish(&answer);
		fprintf(stderr, "the targets are not known; check the edit "
				"and give --yes\n");
		return 0;
	}
	list = json_object_get(answer.json, "services");
	for (i = 0; confirmed && i < json_array_size(list); i++) {
		json_t *service = json_array_get(list, i);

		if (!stops_service(e, in_force, service))
			continue;
		fprintf(stderr, "no target of %s would get any work. ",
			json_string_value(json_object_get(service, "name")));
		fprintf(stderr, "Continue? [y/N] ");
		confirmed = isatty(STDIN_FILENO) &&
			    fgets(line, sizeof(line), stdin) && line[0] == 'y';
		if (!confirmed)
			fprintf(stderr, "\nnothing was changed; --yes "
					"confirms it\n");
	}
	cli_answer_finish(&answer);
	return confirmed;
}

/* Commits the edit and waits until it is in force; returns the exit code. */
static int commit_edit(struct cli *cli, const struct input *in,
		       const struct cli_edit *e)
{
	int64_t version = 0;
	int code = cli_edit_commit(cli, e, &version);

	if (code != CLI_COMPLETE)
		return code;
	printf("accepted as version %" PRId64 "\n", version);
	fflush(stdout);
	if (in->commit)
		cli_edit_draft(cli, NULL, in->commit);
	return cli_edit_wait(cli, version, in->wait_ms);
}

/* Prints the changes, then commits the edit or saves it as a draft. */
static int submit_edit(struct cli *cli, const struct input *in,
		       const struct cli_edit *e,
		       const struct cli_cells *in_force)
{
	size_t changed = print_changes(e, in_force);
	int code;

	fflush(stdout);
	/*
	 * A draft or an edit that is sent again may be in force already, so it
	 * is sent even if it changes nothing.
	 */
	if (!changed && !in->commit && !in->id) {
		printf("nothing to change\n");
		return CLI_COMPLETE;
	}
	if (in->draft) {
		code = cli_edit_draft(cli, e, in->draft);
		if (code == CLI_COMPLETE)
			printf("saved as draft %s; nothing is changed yet\n",
			       in->draft);
		return code;
	}
	if (!confirm_stopped_services(cli, in, e, in_force))
		return CLI_REFUSED;
	return commit_edit(cli, in, e);
}

/* Deletes a draft; returns the exit code. */
static int drop_draft(struct cli *cli, const char *name)
{
	int code = cli_edit_draft(cli, NULL, name);

	if (code == CLI_COMPLETE)
		printf("deleted draft %s\n", name);
	return code;
}

/* Makes the edit from a draft or the cells and submits it. */
static int edit_table(struct cli *cli, const struct input *in, json_t *table)
{
	struct cli_cells in_force = { 0 };
	struct cli_edit e = { 0 };
	json_t *draft;
	int code = CLI_USAGE;

	cli_cells_parse(&in_force, json_object_get(table, "cells"));
	draft = in->commit ? cli_table_find_draft(table, in->commit) : NULL;
	if (in->commit && !draft) {
		fprintf(stderr, "there is no draft %s\n", in->commit);
	} else {
		if (draft)
			edit_from_draft(&e, draft);
		else
			edit_from_cells(&e, in, table, &in_force);
		code = submit_edit(cli, in, &e, &in_force);
	}
	cli_cells_finish(&e.cells);
	cli_cells_finish(&in_force);
	return code;
}

static int run(struct cli *cli, int argc, char **argv)
{
	static const struct argp argp = { options,
					  parse,
					  "[SERVICE/TARGET weight=N limit=N | "
					  "team/NAME weight=N "
					  "quota=N]...",
					  "Changes cells of the table, all at "
					  "once. * names all targets "
					  "of a service or all teams; default "
					  "resets a value.",
					  NULL,
					  NULL,
					  NULL };
	struct input in = { .base_version = -1, .wait_ms = DEFAULT_WAIT_MS };
	struct cli_answer answer;
	int code;

	cli_parse_args(cli, &argp, &in, argc, argv);
	if (in.drop)
		return drop_draft(cli, in.drop);
	code = read_table(cli, &answer);
	if (code == CLI_COMPLETE)
		code = edit_table(cli, &in, answer.json);
	cli_answer_finish(&answer);
	cli_cells_finish(&in.cells);
	return code;
}

const struct cmd_entry cmd_edit_table_entry = {
	"edit-table",
	"change weights, limits, shares and quotas",
	run,
};
