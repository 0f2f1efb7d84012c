/* Prints any JSON as text: names and values, and lists as tables. */

#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COLUMN_WIDTH_MAX 40 /* bytes; longer values are not cut off */
#define COLUMNS_MAX 32

/* Whether the value is neither an object nor an array. */
static int is_leaf(json_t *value)
{
	return !json_is_object(value) && !json_is_array(value);
}

/* Returns the value as text; the caller frees it. */
static char *leaf_text(json_t *value)
{
	char *text;

	if (json_is_string(value))
		return strdup(json_string_value(value));
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT |
					 JSON_REAL_PRECISION(6));
	return text ? text : strdup("-");
}

/* Whether the list consists of objects that contain leaves only. */
static int is_table(json_t *list)
{
	const char *name;
	json_t *row, *v;
	size_t i;

	if (!json_array_size(list) ||
	    json_object_size(json_array_get(list, 0)) > COLUMNS_MAX)
		return 0;
	json_array_foreach(list, i, row)
	{
		if (!json_is_object(row))
			return 0;
		json_object_foreach(row, name, v)
		{
			if (!is_leaf(v))
				return 0;
		}
	}
	return 1;
}

struct column {
	const char *name;
	int width;
};

/* Returns the width of the name or widest value, up to COLUMN_WIDTH_MAX. */
static int column_width(json_t *list, const char *name)
{
	size_t i, width = strlen(name);
	json_t *row;

	json_array_foreach(list, i, row)
	{
		char *text = leaf_text(json_object_get(row, name));

		if (strlen(text) > width)
			width = strlen(text);
		free(text);
	}
	return width > COLUMN_WIDTH_MAX ? COLUMN_WIDTH_MAX : (int)width;
}

/* Prints one row, or the column names when row is NULL. */
static void print_row(const struct column *columns, size_t n, json_t *row,
		      int depth)
{
	size_t i;

	printf("%*s", 2 * depth, "");
	for (i = 0; i < n; i++) {
		const char *name = columns[i].name;
		char *text = row ? leaf_text(json_object_get(row, name))
				 : strdup(name);

		printf("%-*s%s", columns[i].width, text,
		       i + 1 < n ? "  " : "\n");
		free(text);
	}
}

/* Prints a list of objects as a table; the first one names the columns. */
static void print_table(json_t *list, int depth)
{
	struct column columns[COLUMNS_MAX];
	const char *name;
	json_t *row, *v;
	size_t i, n = 0;

	json_object_foreach(json_array_get(list, 0), name, v)
	{
		columns[n].name = name;
		columns[n++].width = column_width(list, name);
	}
	print_row(columns, n, NULL, depth);
	json_array_foreach(list, i, row)
	{
		print_row(columns, n, row, depth);
	}
}

/* Prints a leaf on the line of its name, other values below it. */
static void print_value(json_t *value, int depth)
{
	char *text;

	if (!is_leaf(value)) {
		printf("\n");
		cli_print_tree(value, depth);
		return;
	}
	text = leaf_text(value);
	printf(" %s\n", text);
	free(text);
}

void cli_print_tree(json_t *value, int depth)
{
	const char *name;
	json_t *v;
	size_t i;

	if (is_table(value)) {
		print_table(value, depth);
		return;
	}
	json_object_foreach(value, name, v)
	{
		printf("%*s%s:", 2 * depth, "", name);
		print_value(v, depth + 1);
	}
	json_array_foreach(value, i, v)
	{
		printf("%*s-", 2 * depth, "");
		print_value(v, depth + 1);
	}
}
