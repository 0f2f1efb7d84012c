/* rosemary show-table: prints the operator's table and its drafts. */

#include "cli-table.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NAME_WIDTH 24

/* Prints the cells of targets or, with teams set, those of teams. */
static void print_rows(const struct cli_cells *cells, int teams)
{
	size_t i, n = 0;

	for (i = 0; i < cells->len; i++) {
		const struct cli_cell *c = &cells->list[i];
		char weight[16], limit[16];

		if (c->is_team != teams)
			continue;
		if (!n++)
			printf("%-*s %-*s %8s %8s %8s\n", NAME_WIDTH,
			       teams ? "TEAM" : "SERVICE", NAME_WIDTH,
			       teams ? "" : "TARGET",
			       teams ? "SHARE" : "WEIGHT",
			       teams ? "QUOTA" : "LIMIT", "SINCE");
		printf("%-*s %-*s %8s %8s %8" PRId64 "\n", NAME_WIDTH,
		       teams ? c->name : c->service, NAME_WIDTH,
		       teams ? "" : c->name,
		       cli_format_value(c->weight, weight, sizeof(weight)),
		       cli_format_value(c->limit, limit, sizeof(limit)),
		       c->version);
	}
	if (n)
		printf("\n");
}

/* Prints the changes of a draft against the cells in force. */
static void print_draft(json_t *draft, const struct cli_cells *in_force)
{
	struct cli_cell unset = { .weight = CLI_DEFAULT, .limit = CLI_DEFAULT };
	struct cli_cells cells = { 0 };
	size_t i;

	printf("DRAFT %s, NOT IN FORCE, made at version %" PRId64 "\n",
	       json_string_value(json_object_get(draft, "name")),
	       (int64_t)json_integer_value(json_object_get(draft, "base_"
								  "version")));
	cli_cells_parse(&cells, json_object_get(draft, "cells"));
	cli_cells_sort(&cells);
	for (i = 0; i < cells.len; i++) {
		const struct cli_cell *c = &cells.list[i];
		const struct cli_cell *current = cli_cells_find(in_force, c);
		char path[2 * CLI_NAME_MAX + 2], old_values[64], new_values[64];

		unset.is_team = c->is_team;
		cli_cell_format_path(c, path, sizeof(path));
		cli_cell_format_values(current ? current : &unset, old_values,
				       sizeof(old_values));
		cli_cell_format_values(c, new_values, sizeof(new_values));
		printf("  %s: %s -> %s\n", path, old_values, new_values);
	}
	printf("\n");
	cli_cells_finish(&cells);
}

/* Adds cells of defaults for the targets that have no cell. */
static void add_targets(struct cli_cells *cells, json_t *status)
{
	json_t *services = json_object_get(status, "services");
	size_t i, j;

	for (i = 0; i < json_array_size(services); i++) {
		json_t *s = json_array_get(services, i);
		json_t *targets = json_object_get(s, "targets");

		for (j = 0; j < json_array_size(targets); j++) {
			json_t *t = json_array_get(targets, j);
			struct cli_cell c = { .weight = CLI_DEFAULT,
					      .limit = CLI_DEFAULT };

			snprintf(c.service, sizeof(c.service), "%s",
				 json_string_value(json_object_get(s, "name")));
			snprintf(c.name, sizeof(c.name), "%s",
				 json_string_value(json_object_get(t, "name")));
			if (!cli_cells_find(cells, &c))
				cli_cells_add(cells, &c);
		}
	}
}

/* Prints the table of one entry VM, with all targets known to it. */
static void print_table(struct cli *cli, const char *vm, json_t *table)
{
	static const struct cli_call call = { "GET", "/v1/status", NULL, NULL,
					      CLI_TIMEOUT_MS };
	json_t *age = json_object_get(table, "platform_age_ms");
	json_t *drafts = json_object_get(table, "drafts");
	struct cli_cells cells = { 0 };
	struct cli_answer status;
	size_t i;

	cli_cells_parse(&cells, json_object_get(table, "cells"));
	if (!cli_http_call(cli, vm, &call, &status))
		add_targets(&cells, status.json);
	cli_answer_finish(&status);
	cli_cells_sort(&cells);
	printf("version %" PRId64 " in force at %s, ",
	       (int64_t)json_integer_value(json_object_get(table, "version")),
	       vm);
	if (json_is_integer(age))
		printf("platform last reached %" PRId64 " ms ago\n\n",
		       (int64_t)json_integer_value(age));
	else
		printf("platform not reached yet\n\n");
	print_rows(&cells, 0);
	print_rows(&cells, 1);
	for (i = 0; i < json_array_size(drafts); i++)
		print_draft(json_array_get(drafts, i), &cells);
	cli_cells_finish(&cells);
}

/* Table versions of the entry VMs, by their index in struct cli. */
struct versions {
	int64_t version[CLI_VMS_MAX]; /* -1: could not be read */
	char error[CLI_VMS_MAX][CLI_ERROR_MAX];
};

/* Prints the table version of each entry VM; returns the exit code. */
static int print_versions(struct cli *cli, const struct versions *v)
{
	int64_t newest = 0;
	int code = CLI_COMPLETE;
	size_t i;

	for (i = 0; i < cli->nvms; i++)
		if (v->version[i] > newest)
			newest = v->version[i];
	printf("%-*s %8s\n", NAME_WIDTH, "ENTRY VM", "VERSION");
	for (i = 0; i < cli->nvms; i++) {
		if (v->version[i] < 0) {
			printf("%-*s %8s %s\n", NAME_WIDTH, cli->vms[i], "-",
			       v->error[i]);
			code = CLI_UNREACHABLE;
			continue;
		}
		printf("%-*s %8" PRId64 "%s\n", NAME_WIDTH, cli->vms[i],
		       v->version[i], v->version[i] < newest ? " behind" : "");
		if (v->version[i] < newest && code == CLI_COMPLETE)
			code = CLI_RUNNING;
	}
	return code;
}

/* Reads all tables; prints the newest one or, with --json, each of them. */
static int show_tables(struct cli *cli, struct versions *v)
{
	struct cli_answer answer;
	json_t *table = NULL;
	size_t i, newest_vm = 0;
	int code;

	for (i = 0; i < cli->nvms; i++) {
		v->version[i] = -1;
		if (cli_table_read(cli, cli->vms[i], &answer)) {
			memcpy(v->error[i], answer.error, CLI_ERROR_MAX);
		} else {
			v->version[i] = json_integer_value(
				json_object_get(answer.json, "version"));
			if (cli->json) {
				json_dumpf(answer.json, stdout, JSON_COMPACT);
				printf("\n");
			}
			if (!table || v->version[i] > v->version[newest_vm]) {
				json_decref(table);
				table = json_incref(answer.json);
				newest_vm = i;
			}
		}
		cli_answer_finish(&answer);
	}
	if (table && !cli->json)
		print_table(cli, cli->vms[newest_vm], table);
	json_decref(table);
	if (!cli->json)
		return print_versions(cli, v);
	code = CLI_COMPLETE;
	for (i = 0; i < cli->nvms; i++) {
		if (v->version[i] >= 0)
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
					  "Shows the table in force, the "
					  "drafts, and the version at each "
					  "given entry VM.",
					  NULL,
					  NULL,
					  NULL };
	struct versions *v = calloc(1, sizeof(*v));
	int code;

	if (!v)
		abort();
	cli_parse_args(cli, &argp, NULL, argc, argv);
	code = show_tables(cli, v);
	free(v);
	return code;
}

const struct cmd_entry cmd_show_table_entry = {
	"show-table",
	"show weights, limits, drafts and versions",
	run,
};
