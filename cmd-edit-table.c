/* rosemary edit-table: changes cells of the operator's table, all at once. */

#include "cli-table.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WAIT_MS 10000 /* until an edit is in force everywhere */

enum long_flag {
	FLAG_DRAFT = 256,
	FLAG_COMMIT,
	FLAG_DROP,
	FLAG_ID,
	FLAG_BASE,
	FLAG_WAIT,
};

struct input {
	struct cli_cells words; /* as the operator wrote them */
	const char *draft, *commit, *drop, *id;
	int64_t base_version; /* -1: what is in force */
	int64_t wait_ms;
	int yes;
};

static const struct argp_option options[] = {
	{ "file", 'f', "FILE", 0, "read cells from a file; - is the input", 0 },
	{ "yes", 'y', NULL, 0, "do not ask before a service is stopped", 0 },
	{ "draft", FLAG_DRAFT, "NAME", 0, "keep the cells as a draft", 0 },
	{ "commit-draft", FLAG_COMMIT, "NAME", 0, "put a draft in force", 0 },
	{ "drop-draft", FLAG_DROP, "NAME", 0, "forget a draft", 0 },
	{ "edit-id", FLAG_ID, "ID", 0, "send an unsettled edit again", 0 },
	{ "base-version", FLAG_BASE, "N", 0,
	  "version that the cells were read at", 0 },
	{ "wait", FLAG_WAIT, "MS", 0,
	  "how long to wait until all entry VMs have it", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

/* Checks that the flags go together. */
static void check_input(struct argp_state *state, const struct input *in)
{
	int others = !!in->commit + !!in->drop;

	if (others > 1 || (others && in->draft))
		argp_error(state, "give one of --draft, --commit-draft and "
				  "--drop-draft");
	if (!others == !in->words.len)
		argp_error(state, others ? "a draft has its own cells"
					 : "give cells, or --file");
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct input *in = state->input;
	const char *wrong;

	switch (key) {
	case 'f':
		cli_cells_file(&in->words, arg);
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
		in->base_version =
			cli_whole(state, "--base-version", arg, 0, INT64_MAX);
		return 0;
	case FLAG_WAIT:
		in->wait_ms = cli_whole(state, "--wait", arg, 0, 86400000);
		return 0;
	case ARGP_KEY_ARG:
		wrong = cli_cells_word(&in->words, arg);
		if (wrong)
			argp_error(state, "'%s': %s", arg, wrong);
		return 0;
	case ARGP_KEY_END:
		check_input(state, in);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Reads the table of the first entry VM that answers. */
static int read_table(struct cli *cli, struct cli_reply *reply)
{
	static const struct cli_call call = { "GET", "/v1/table", NULL, NULL,
					      CLI_TIMEOUT_MS };

	if (!cli_any_vm(cli, &call, reply) && reply->status == 200 &&
	    json_is_object(reply->json))
		return CLI_COMPLETE;
	fprintf(stderr, "no entry VM gave its table\n");
	return CLI_UNREACHABLE;
}

/* Makes an id that no other edit has. */
static void make_id(char out[CLI_NAME_MAX])
{
	snprintf(out, CLI_NAME_MAX, "edit-%" PRIx64 "-%x",
		 (uint64_t)cli_now_ms(), (unsigned)getpid());
}

/* The edit that the words mean, on top of what is in force. */
static void edit_from_words(struct cli_edit *e, const struct input *in,
			    json_t *table, const struct cli_cells *in_force)
{
	size_t i;

	if (in->id)
		snprintf(e->id, sizeof(e->id), "%s", in->id);
	else
		make_id(e->id);
	e->base_version = in->base_version;
	if (e->base_version < 0)
		e->base_version =
			json_integer_value(json_object_get(table, "version"));
	for (i = 0; i < in->words.len; i++) {
		struct cli_cell c = in->words.list[i];
		const struct cli_cell *old = cli_cells_find(in_force, &c);

		if (c.weight == CLI_KEEP)
			c.weight = old ? old->weight : CLI_UNSET;
		if (c.limit == CLI_KEEP)
			c.limit = old ? old->limit : CLI_UNSET;
		cli_cells_add(&e->cells, &c);
	}
}

static void edit_from_draft(struct cli_edit *e, json_t *draft)
{
	const char *id = json_string_value(json_object_get(draft, "edit_id"));

	snprintf(e->id, sizeof(e->id), "%s", id ? id : "");
	e->base_version = json_integer_value(json_object_get(draft, "base_"
								    "version"));
	cli_cells_read(&e->cells, json_object_get(draft, "cells"));
}

/* Shows what the edit changes; returns the number of changed cells. */
static size_t print_difference(const struct cli_edit *e,
			       const struct cli_cells *in_force)
{
	struct cli_cell unset = { .weight = CLI_UNSET, .limit = CLI_UNSET };
	size_t i, n = 0;

	for (i = 0; i < e->cells.len; i++) {
		const struct cli_cell *c = &e->cells.list[i];
		const struct cli_cell *old = cli_cells_find(in_force, c);
		char place[2 * CLI_NAME_MAX + 2], a[64], b[64];

		unset.is_team = c->is_team;
		cli_cell_place(c, place, sizeof(place));
		cli_cell_values(old ? old : &unset, a, sizeof(a));
		cli_cell_values(c, b, sizeof(b));
		if (!strcmp(a, b))
			continue;
		printf("%s: %s -> %s\n", place, a, b);
		n++;
	}
	return n;
}

/* The limit or weight that a target gets from the cells. */
static int resolve(const struct cli_edit *e, const struct cli_cells *in_force,
		   const char *service, const char *target, int want_limit)
{
	const char *cols[] = { target, "*" };
	size_t i;

	for (i = 0; i < 2; i++) {
		struct cli_cell place = { 0 };
		const struct cli_cell *c;
		int value;

		snprintf(place.row, sizeof(place.row), "%s", service);
		snprintf(place.col, sizeof(place.col), "%s", cols[i]);
		c = cli_cells_find(&e->cells, &place);
		if (!c)
			c = cli_cells_find(in_force, &place);
		value = !c ? CLI_UNSET : want_limit ? c->limit : c->weight;
		if (value != CLI_UNSET)
			return value;
	}
	return CLI_UNSET;
}

/* Whether no target of the service would get work any more. */
static int stops_service(const struct cli_edit *e,
			 const struct cli_cells *in_force, json_t *service)
{
	const char *name = json_string_value(json_object_get(service, "name"));
	json_t *targets = json_object_get(service, "targets");
	size_t i, open = 0;

	for (i = 0; i < json_array_size(targets); i++) {
		json_t *t = json_array_get(targets, i);
		const char *target = json_string_value(json_object_get(t, "nam"
									  "e"));

		if (name && target &&
		    resolve(e, in_force, name, target, 1) != 0 &&
		    resolve(e, in_force, name, target, 0) != 0)
			open++;
	}
	return json_array_size(targets) && !open;
}

/* Asks before an edit stops a service; returns 0 when it must not go on. */
static int confirm(struct cli *cli, const struct input *in,
		   const struct cli_edit *e, const struct cli_cells *in_force)
{
	static const struct cli_call call = { "GET", "/v1/status", NULL, NULL,
					      CLI_TIMEOUT_MS };
	struct cli_reply reply;
	char line[16] = "";
	json_t *list;
	size_t i;
	int ok = 1;

	if (in->yes)
		return 1;
	if (cli_any_vm(cli, &call, &reply)) {
		cli_reply_finish(&reply);
		fprintf(stderr, "the targets are not known; check the edit "
				"and give --yes\n");
		return 0;
	}
	list = json_object_get(reply.json, "services");
	for (i = 0; ok && i < json_array_size(list); i++) {
		json_t *service = json_array_get(list, i);

		if (!stops_service(e, in_force, service))
			continue;
		fprintf(stderr, "no target of %s would get any work. ",
			json_string_value(json_object_get(service, "name")));
		fprintf(stderr, "Go on? [y/N] ");
		ok = isatty(STDIN_FILENO) && fgets(line, sizeof(line), stdin) &&
		     line[0] == 'y';
		if (!ok)
			fprintf(stderr, "\nnothing was changed; --yes "
					"confirms it\n");
	}
	cli_reply_finish(&reply);
	return ok;
}

/* Commits the edit and waits for it; returns the exit code. */
static int commit(struct cli *cli, const struct input *in,
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

/* Shows the difference, then commits it or keeps it as a draft. */
static int apply(struct cli *cli, const struct input *in,
		 const struct cli_edit *e, const struct cli_cells *in_force)
{
	size_t changed = print_difference(e, in_force);
	int code;

	fflush(stdout);
	/* A draft and an edit sent again may be in force already. */
	if (!changed && !in->commit && !in->id) {
		printf("nothing to change\n");
		return CLI_COMPLETE;
	}
	if (in->draft) {
		code = cli_edit_draft(cli, e, in->draft);
		if (code == CLI_COMPLETE)
			printf("kept as draft %s; nothing is changed yet\n",
			       in->draft);
		return code;
	}
	if (!confirm(cli, in, e, in_force))
		return CLI_REFUSED;
	return commit(cli, in, e);
}

/* Drops a draft; returns the exit code. */
static int drop(struct cli *cli, const char *name)
{
	int code = cli_edit_draft(cli, NULL, name);

	if (code == CLI_COMPLETE)
		printf("dropped draft %s\n", name);
	return code;
}

static int edit(struct cli *cli, const struct input *in, json_t *table)
{
	struct cli_cells in_force = { 0 };
	struct cli_edit e = { 0 };
	json_t *draft;
	int code = CLI_USAGE;

	cli_cells_read(&in_force, json_object_get(table, "cells"));
	draft = in->commit ? cli_table_draft(table, in->commit) : NULL;
	if (in->commit && !draft) {
		fprintf(stderr, "there is no draft %s\n", in->commit);
	} else {
		if (draft)
			edit_from_draft(&e, draft);
		else
			edit_from_words(&e, in, table, &in_force);
		code = apply(cli, in, &e, &in_force);
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
					  "takes a value back.",
					  NULL,
					  NULL,
					  NULL };
	struct input in = { .base_version = -1, .wait_ms = WAIT_MS };
	struct cli_reply reply;
	int code;

	cli_parse(cli, &argp, &in, argc, argv);
	if (in.drop)
		return drop(cli, in.drop);
	code = read_table(cli, &reply);
	if (code == CLI_COMPLETE)
		code = edit(cli, &in, reply.json);
	cli_reply_finish(&reply);
	cli_cells_finish(&in.words);
	return code;
}

const struct cmd_entry cmd_edit_table_entry = {
	"edit-table",
	"change weights, limits, shares and quotas",
	run,
};
