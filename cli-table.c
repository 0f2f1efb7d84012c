/* The operator's table from JSON, and its cells as text. */

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

static int compare_places(const void *x, const void *y)
{
	const struct cli_cell *a = x, *b = y;
	int diff = a->is_team - b->is_team;

	if (!diff)
		diff = strcmp(a->row, b->row);
	if (!diff)
		diff = !strcmp(b->col, "*") - !strcmp(a->col, "*");
	return diff ? diff : strcmp(a->col, b->col);
}

void cli_cells_sort(struct cli_cells *cells)
{
	if (cells->len)
		qsort(cells->list, cells->len, sizeof(*cells->list),
		      compare_places);
}

struct cli_cell *cli_cells_find(const struct cli_cells *cells,
				const struct cli_cell *place)
{
	size_t i;

	for (i = 0; i < cells->len; i++)
		if (!compare_places(&cells->list[i], place))
			return &cells->list[i];
	return NULL;
}

static int value_of(json_t *v)
{
	return json_is_integer(v) ? (int)json_integer_value(v) : CLI_UNSET;
}

static void name_of(char out[CLI_NAME_MAX], json_t *v)
{
	const char *text = json_string_value(v);

	snprintf(out, CLI_NAME_MAX, "%s", text ? text : "");
}

void cli_cells_read(struct cli_cells *cells, json_t *array)
{
	size_t i;

	for (i = 0; i < json_array_size(array); i++) {
		json_t *o = json_array_get(array, i);
		const char *kind = json_string_value(json_object_get(o, "kin"
									"d"));
		struct cli_cell c = { 0 };

		c.is_team = kind && !strcmp(kind, "team");
		name_of(c.row, json_object_get(o, "row"));
		name_of(c.col, json_object_get(o, "col"));
		c.weight = value_of(json_object_get(o, "weight"));
		c.limit = value_of(json_object_get(o, "limit"));
		c.version = json_integer_value(json_object_get(o, "version"));
		cli_cells_add(cells, &c);
	}
}

static json_t *json_of_value(int value)
{
	return value == CLI_UNSET ? json_null() : json_integer(value);
}

json_t *cli_cells_json(const struct cli_cells *cells)
{
	json_t *array = json_array();
	size_t i;

	for (i = 0; i < cells->len; i++) {
		const struct cli_cell *c = &cells->list[i];

		json_array_append_new(
			array, json_pack("{s:s, s:s, s:s, s:o, s:o}", "kind",
					 c->is_team ? "team" : "target", "row",
					 c->row, "col", c->col, "weight",
					 json_of_value(c->weight), "limit",
					 json_of_value(c->limit)));
	}
	return array;
}

void cli_cell_place(const struct cli_cell *c, char *out, size_t size)
{
	snprintf(out, size, "%s/%s", c->is_team ? "team" : c->row, c->col);
}

const char *cli_value(int value, char *buf, size_t size)
{
	if (value < 0)
		snprintf(buf, size, "default");
	else
		snprintf(buf, size, "%d", value);
	return buf;
}

void cli_cell_values(const struct cli_cell *c, char *out, size_t size)
{
	char weight[16], limit[16];

	snprintf(out, size, "weight=%s %s=%s",
		 cli_value(c->weight, weight, sizeof(weight)),
		 c->is_team ? "quota" : "limit",
		 cli_value(c->limit, limit, sizeof(limit)));
}

int cli_table_get(struct cli *cli, const char *vm, struct cli_reply *reply)
{
	if (cli_http(cli, vm, &table_call, reply))
		return -1;
	if (reply->status == 200 && json_is_object(reply->json))
		return 0;
	snprintf(reply->error, sizeof(reply->error),
		 "no table in the answer, HTTP %ld", reply->status);
	return -1;
}

int64_t cli_table_version(struct cli *cli, const char *vm)
{
	struct cli_reply reply;
	int64_t version = -1;

	if (!cli_table_get(cli, vm, &reply))
		version = json_integer_value(json_object_get(reply.json, "versi"
									 "on"));
	cli_reply_finish(&reply);
	return version;
}

json_t *cli_table_draft(json_t *table, const char *name)
{
	json_t *drafts = json_object_get(table, "drafts");
	size_t i;

	for (i = 0; i < json_array_size(drafts); i++) {
		json_t *d = json_array_get(drafts, i);
		const char *is = json_string_value(json_object_get(d, "name"));

		if (is && !strcmp(is, name))
			return d;
	}
	return NULL;
}
