/* rosemary show-table: the operator's table, its drafts and who has it. */

#include "cli-table.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PLACE_WIDTH 24

/* Prints the rows of targets, or those of teams. */
static void print_rows(const struct cli_cells *cells, int teams)
{
	size_t i, n = 0;

	for (i = 0; i < cells->len; i++) {
		const struct cli_cell *c = &cells->list[i];
		char weight[16], limit[16];

		if (c->is_team != teams)
			continue;
		if (!n++)
			printf("%-*s %-*s %8s %8s %8s\n", PLACE_WIDTH,
			       teams ? "TEAM" : "SERVICE", PLACE_WIDTH,
			       teams ? "" : "TARGET",
			       teams ? "SHARE" : "WEIGHT",
			       teams ? "QUOTA" : "LIMIT", "SINCE");
		printf("%-*s %-*s %8s %8s %8" PRId64 "\n", PLACE_WIDTH,
		       teams ? c->col : c->row, PLACE_WIDTH,
		       teams ? "" : c->col,
		       cli_value(c->weight, weight, sizeof(weight)),
		       cli_value(c->limit, limit, sizeof(limit)), c->version);
	}
	if (n)
		printf("\n");
}

/* Prints a draft beside what is in force. */
static void print_draft(json_t *draft, const struct cli_cells *in_force)
{
	struct cli_cell unset = { .weight = CLI_UNSET, .limit = CLI_UNSET };
	struct cli_cells cells = { 0 };
	size_t i;

	printf("DRAFT %s, NOT IN FORCE, made at version %" PRId64 "\n",
	       json_string_value(json_object_get(draft, "name")),
	       (int64_t)json_integer_value(json_object_get(draft, "base_"
								  "version")));
	cli_cells_read(&cells, json_object_get(draft, "cells"));
	cli_cells_sort(&cells);
	for (i = 0; i < cells.len; i++) {
		const struct cli_cell *c = &cells.list[i];
		const struct cli_cell *old = cli_cells_find(in_force, c);
		char place[2 * CLI_NAME_MAX + 2], a[64], b[64];

		unset.is_team = c->is_team;
		cli_cell_place(c, place, sizeof(place));
		cli_cell_values(old ? old : &unset, a, sizeof(a));
		cli_cell_values(c, b, sizeof(b));
		printf("  %s: %s -> %s\n", place, a, b);
	}
	printf("\n");
	cli_cells_finish(&cells);
}

/* Adds the targets that no cell names: the defaults hold for them. */
static void add_targets(struct cli_cells *cells, json_t *status)
{
	json_t *services = json_object_get(status, "services");
	size_t i, j;

	for (i = 0; i < json_array_size(services); i++) {
		json_t *s = json_array_get(services, i);
		json_t *targets = json_object_get(s, "targets");

		for (j = 0; j < json_array_size(targets); j++) {
			json_t *t = json_array_get(targets, j);
			struct cli_cell c = { .weight = CLI_UNSET,
					      .limit = CLI_UNSET };

			snprintf(c.row, sizeof(c.row), "%s",
				 json_string_value(json_object_get(s, "name")));
			snprintf(c.col, sizeof(c.col), "%s",
				 json_string_value(json_object_get(t, "name")));
			if (!cli_cells_find(cells, &c))
				cli_cells_add(cells, &c);
		}
	}
}

/* Prints one entry VM's table, with all targets that it knows. */
static void print_table(struct cli *cli, const char *vm, json_t *table)
{
	static const struct cli_call call = { "GET", "/v1/status", NULL, NULL,
					      CLI_TIMEOUT_MS };
	json_t *age = json_object_get(table, "platform_age_ms");
	json_t *drafts = json_object_get(table, "drafts");
	struct cli_cells cells = { 0 };
	struct cli_reply status;
	size_t i;

	cli_cells_read(&cells, json_object_get(table, "cells"));
	if (!cli_http(cli, vm, &call, &status))
		add_targets(&cells, status.json);
	cli_reply_finish(&status);
	cli_cells_sort(&cells);
	printf("version %" PRId64 " in force at %s, ",
	       (int64_t)json_integer_value(json_object_get(table, "version")),
	       vm);
	if (json_is_integer(age))
		printf("platform heard %" PRId64 " ms ago\n\n",
		       (int64_t)json_integer_value(age));
	else
		printf("platform not heard yet\n\n");
	print_rows(&cells, 0);
	print_rows(&cells, 1);
	for (i = 0; i < json_array_size(drafts); i++)
		print_draft(json_array_get(drafts, i), &cells);
	cli_cells_finish(&cells);
}

/* What the entry VMs have, as they say themselves. */
struct versions {
	int64_t have[CLI_VMS_MAX]; /* -1: no answer */
	char error[CLI_VMS_MAX][CLI_ERROR_MAX];
};

static int print_versions(struct cli *cli, const struct versions *v)
{
	int64_t newest = 0;
	int code = CLI_COMPLETE;
	size_t i;

	for (i = 0; i < cli->nvms; i++)
		if (v->have[i] > newest)
			newest = v->have[i];
	printf("%-*s %8s\n", PLACE_WIDTH, "ENTRY VM", "VERSION");
	for (i = 0; i < cli->nvms; i++) {
		if (v->have[i] < 0) {
			printf("%-*s %8s %s\n", PLACE_WIDTH, cli->vms[i], "-",
			       v->error[i]);
			code = CLI_UNREACHABLE;
			continue;
		}
		printf("%-*s %8" PRId64 "%s\n", PLACE_WIDTH, cli->vms[i],
		       v->have[i], v->have[i] < newest ? " behind" : "");
		if (v->have[i] < newest && code == CLI_COMPLETE)
			code = CLI_RUNNING;
	}
	return code;
}

/* Asks all entry VMs; prints the newest table, or all as JSON. */
static int show(struct cli *cli, struct versions *v)
{
	struct cli_reply reply;
	json_t *table = NULL;
	size_t i, from = 0;
	int code;

	for (i = 0; i < cli->nvms; i++) {
		v->have[i] = -1;
		if (cli_table_get(cli, cli->vms[i], &reply)) {
			memcpy(v->error[i], reply.error, CLI_ERROR_MAX);
		} else {
			v->have[i] = json_integer_value(
				json_object_get(reply.json, "version"));
			if (cli->json) {
				json_dumpf(reply.json, stdout, JSON_COMPACT);
				printf("\n");
			}
			if (!table || v->have[i] > v->have[from]) {
				json_decref(table);
				table = json_incref(reply.json);
				from = i;
			}
		}
		cli_reply_finish(&reply);
	}
	if (table && !cli->json)
		print_table(cli, cli->vms[from], table);
	json_decref(table);
	if (!cli->json)
		return print_versions(cli, v);
	code = CLI_COMPLETE;
	for (i = 0; i < cli->nvms; i++) {
		if (v->have[i] >= 0)
			continue;
		fprintf(stderr, "%s: %s\n", cli->vms[i], v->error[i]);
		code = CLI_UNREACHABLE;
	}
	return code;
}

static int run(struct cli *cli, int argc, char **argv)
{
	static const struct argp argp = { NULL,
					  NULL,
					  NULL,
					  "Shows the table in force, drafts "
					  "apart from it, and which of "
					  "the given entry VMs has which "
					  "version.",
					  NULL,
					  NULL,
					  NULL };
	struct versions *v = calloc(1, sizeof(*v));
	int code;

	if (!v)
		abort();
	cli_parse(cli, &argp, NULL, argc, argv);
	code = show(cli, v);
	free(v);
	return code;
}

const struct cmd_entry cmd_show_table_entry = {
	"show-table",
	"show weights, limits and drafts, and who has them",
	run,
};
