/* Reads the operator's table as JSON, and formats its cells as text. */

#include "cli-table.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct cli_call table_call = { "GET", "/v1/table", NULL, NULL,
					    CLI_TIMEOUT_MS };

void cli_cells_add(struct cli_cells *cells, const struct cli_cell *c)
{
	if (cells->len == cells->cap) {
		cells->cap = cells->cap ? 2 * cells->cap : 16;
		cells->list =
			realloc(cells->list, cells->cap * sizeof(*cells->list));
		if (!cells->list)
			abort();
	}
	cells->list[cells->len++] = *c;
}

void cli_cells_finish(struct cli_cells *cells)
{
	free(cells->list);
	memset(cells, 0, sizeof(*cells));
}

/* Compares cells by kind, service and name, for qsort(). */
static int compare_cells(const void *x, const void *y)
{
	const struct cli_cell *a = x, *b = y;
	int diff = a->is_team - b->is_team;

	if (!diff)
		diff = strcmp(a->service, b->service);
	if (!diff)
		diff = !strcmp(b->name, "*") - !strcmp(a->name, "*");
	return diff ? diff : strcmp(a->name, b->name);
}

void cli_cells_sort(struct cli_cells *cells)
{
	if (cells->len)
		qsort(cells->list, cells->len, sizeof(*cells->list),
		      compare_cells);
}

struct cli_cell *cli_cells_find(const struct cli_cells *cells,
				const struct cli_cell *key)
{
	size_t i;

	for (i = 0; i < cells->len; i++)
		if (!compare_cells(&cells->list[i], key))
			return &cells->list[i];
	return NULL;
}

/* Returns the number, or CLI_DEFAULT for null or a missing value. */
static int parse_value(json_t *v)
{
	return json_is_integer(v) ? (int)json_integer_value(v) : CLI_DEFAULT;
}

static void copy_name(char out[CLI_NAME_MAX], json_t *v)
{
	const char *text = json_string_value(v);

	snprintf(out, CLI_NAME_MAX, "%s", text ? text : "");
}

void cli_cells_parse(struct cli_cells *cells, json_t *array)
{
	size_t i;

	for (i = 0; i < json_array_size(array); i++) {
		json_t *o = json_array_get(array, i);
		json_t *k = json_object_get(o, "kind");
		const char *kind = json_string_value(k);
		struct cli_cell c = { 0 };

		c.is_team = kind && !strcmp(kind, "team");
		copy_name(c.service, json_object_get(o, "row"));
		copy_name(c.name, json_object_get(o, "col"));
		c.weight = parse_value(json_object_get(o, "weight"));
		c.limit = parse_value(json_object_get(o, "limit"));
		c.version = json_integer_value(json_object_get(o, "version"));
		cli_cells_add(cells, &c);
	}
}

static json_t *value_to_json(int value)
{
	return value == CLI_DEFAULT ? json_null() : json_integer(value);
}

json_t *cli_cells_to_json(const struct cli_cells *cells)
{
	json_t *array = json_array();
	size_t i;

	for (i = 0; i < cells->len; i++) {
		const struct cli_cell *c = &cells->list[i];

		json_array_append_new(
			array, json_pack("{s:s, s:s, s:s, s:o, s:o}", "kind",
					 c->is_team ? "team" : "target", "row",
					 c->service, "col", c->name, "weight",
					 value_to_json(c->weight), "limit",
					 value_to_json(c->limit)));
	}
	return array;
}

void cli_cell_format_path(const struct cli_cell *c, char *out, size_t size)
{
	snprintf(out, size, "%s/%s", c->is_team ? "team" : c->service, c->name);
}

const char *cli_format_value(int value, char *buf, size_t size)
{
	if (value < 0)
		snprintf(buf, size, "default");
	else
		snprintf(buf, size, "%d", value);
	return buf;
}

void cli_cell_format_values(const struct cli_cell *c, char *out, size_t size)
{
	char weight[16], limit[16];

	snprintf(out, size, "weight=%s %s=%s",
		 cli_format_value(c->weight, weight, sizeof(weight)),
		 c->is_team ? "quota" : "limit",
		 cli_format_value(c->limit, limit, sizeof(limit)));
}

int cli_table_read(struct cli *cli, const char *vm, struct cli_answer *answer)
{
	if (cli_http_call(cli, vm, &table_call, answer))
		return -1;
	if (answer->status == 200 && json_is_object(answer->json))
		return 0;
	snprintf(answer->error, sizeof(answer->error),
		 "no table in the answer, HTTP %ld", answer->status);
	return -1;
}

int64_t cli_table_read_version(struct cli *cli, const char *vm)
{
	struct cli_answer answer;
	int64_t version = -1;

	if (!cli_table_read(cli, vm, &answer)) {
		json_t *v = json_object_get(answer.json, "version");

		version = json_integer_value(v);
	}
	cli_answer_finish(&answer);
	return version;
}

json_t *cli_table_find_draft(json_t *table, const char *name)
{
	json_t *drafts = json_object_get(table, "drafts");
	size_t i;

	for (i = 0; i < json_array_size(drafts); i++) {
		json_t *d = json_array_get(drafts, i);
		const char *draft_name =
			json_string_value(json_object_get(d, "name"));

		if (draft_name && !strcmp(draft_name, name))
			return d;
	}
	return NULL;
}
