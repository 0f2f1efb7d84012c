/* Parses cells of the table as an operator writes them. */

#include "cli-table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WEIGHT_MAX 10000
#define LIMIT_MAX 1000000

/* Adds the cell "SERVICE/TARGET" or "team/NAME"; returns NULL or an error. */
static const char *add_cell(struct cli_cells *cells, const char *word)
{
	struct cli_cell c = { .weight = CLI_UNCHANGED, .limit = CLI_UNCHANGED };
	const char *slash = strchr(word, '/');
	size_t service_len = (size_t)(slash - word);

	if (!service_len || !slash[1] || strchr(slash + 1, '/'))
		return "expected SERVICE/TARGET or team/NAME";
	if (service_len >= CLI_NAME_MAX || strlen(slash + 1) >= CLI_NAME_MAX)
		return "a name has more than 63 bytes";
	c.is_team = service_len == 4 && !strncmp(word, "team", 4);
	if (!c.is_team)
		memcpy(c.service, word, service_len);
	memcpy(c.name, slash + 1, strlen(slash + 1));
	if (cli_cells_find(cells, &c))
		return "the cell is given twice";
	if (cells->len == CLI_CELLS_MAX)
		return "too many cells in one edit";
	cli_cells_add(cells, &c);
	return NULL;
}

/* Parses a number from 0 to max, or "default"; returns 0 when invalid. */
static int parse_value(const char *text, long max, int *out)
{
	char *end;
	long n = strtol(text, &end, 10);

	if (!strcmp(text, "default")) {
		*out = CLI_DEFAULT;
		return 1;
	}
	if (end == text || *end || n < 0 || n > max)
		return 0;
	*out = (int)n;
	return 1;
}

const char *cli_cells_parse_word(struct cli_cells *cells, const char *word)
{
	struct cli_cell *c = cells->len ? &cells->list[cells->len - 1] : NULL;

	if (!strchr(word, '=') && strchr(word, '/'))
		return add_cell(cells, word);
	if (!c)
		return "begin with SERVICE/TARGET or team/NAME";
	if (!strncmp(word, "weight=", 7))
		return parse_value(word + 7, WEIGHT_MAX, &c->weight)
			       ? NULL
			       : "expected weight=0 to 10000, or "
				 "weight=default";
	if (!strncmp(word, "limit=", 6) && !c->is_team)
		return parse_value(word + 6, LIMIT_MAX, &c->limit)
			       ? NULL
			       : "expected limit=0 to 1000000, or "
				 "limit=default";
	if (!strncmp(word, "quota=", 6) && c->is_team)
		return parse_value(word + 6, LIMIT_MAX, &c->limit)
			       ? NULL
			       : "expected quota=0 to 1000000, or "
				 "quota=default";
	return c->is_team ? "expected weight=N or quota=N"
			  : "expected weight=N or limit=N";
}

void cli_cells_parse_file(struct cli_cells *cells, const char *path)
{
	FILE *f = strcmp(path, "-") != 0 ? fopen(path, "r") : stdin;
	char line[1024], *save, *word;
	const char *error;
	int line_number = 0;

	if (!f)
		cli_usage("%s cannot be read", path);
	while (fgets(line, sizeof(line), f)) {
		line_number++;
		line[strcspn(line, "#\n")] = '\0';
		for (word = strtok_r(line, " \t\r", &save); word;
		     word = strtok_r(NULL, " \t\r", &save)) {
			error = cli_cells_parse_word(cells, word);
			if (error)
				cli_usage("%s:%d: '%s': %s", path, line_number,
					  word, error);
		}
	}
	if (f != stdin)
		fclose(f);
}
