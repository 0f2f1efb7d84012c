/* Cells of the table as an operator writes them. */

#include "cli-table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WEIGHT_MAX 10000
#define LIMIT_MAX 1000000

/* Begins the cell of "SERVICE/TARGET" or "team/NAME". */
static const char *begin_cell(struct cli_cells *cells, const char *word)
{
	struct cli_cell c = { .weight = CLI_KEEP, .limit = CLI_KEEP };
	const char *slash = strchr(word, '/');
	size_t row = (size_t)(slash - word);

	if (!row || !slash[1] || strchr(slash + 1, '/'))
		return "want SERVICE/TARGET or team/NAME";
	if (row >= CLI_NAME_MAX || strlen(slash + 1) >= CLI_NAME_MAX)
		return "a name has more than 63 bytes";
	c.is_team = row == 4 && !strncmp(word, "team", 4);
	if (!c.is_team)
		memcpy(c.row, word, row);
	memcpy(c.col, slash + 1, strlen(slash + 1));
	if (cli_cells_find(cells, &c))
		return "the cell stands twice";
	if (cells->len == CLI_CELLS_MAX)
		return "too many cells in one edit";
	cli_cells_add(cells, &c);
	return NULL;
}

/* Reads a value: a number of 0 to max, or "default". */
static int read_value(const char *text, long max, int *out)
{
	char *end;
	long n = strtol(text, &end, 10);

	if (!strcmp(text, "default")) {
		*out = CLI_UNSET;
		return 1;
	}
	if (end == text || *end || n < 0 || n > max)
		return 0;
	*out = (int)n;
	return 1;
}

const char *cli_cells_word(struct cli_cells *cells, const char *word)
{
	struct cli_cell *c = cells->len ? &cells->list[cells->len - 1] : NULL;

	if (!strchr(word, '=') && strchr(word, '/'))
		return begin_cell(cells, word);
	if (!c)
		return "begin with SERVICE/TARGET or team/NAME";
	if (!strncmp(word, "weight=", 7))
		return read_value(word + 7, WEIGHT_MAX, &c->weight)
			       ? NULL
			       : "want weight=0 to 10000, or weight=default";
	if (!strncmp(word, "limit=", 6) && !c->is_team)
		return read_value(word + 6, LIMIT_MAX, &c->limit)
			       ? NULL
			       : "want limit=0 to 1000000, or limit=default";
	if (!strncmp(word, "quota=", 6) && c->is_team)
		return read_value(word + 6, LIMIT_MAX, &c->limit)
			       ? NULL
			       : "want quota=0 to 1000000, or quota=default";
	return c->is_team ? "want weight=N or quota=N"
			  : "want weight=N or limit=N";
}

void cli_cells_file(struct cli_cells *cells, const char *path)
{
	FILE *f = strcmp(path, "-") != 0 ? fopen(path, "r") : stdin;
	char line[1024], *save, *word;
	const char *wrong;
	int number = 0;

	if (!f)
		cli_usage("%s cannot be read", path);
	while (fgets(line, sizeof(line), f)) {
		number++;
		line[strcspn(line, "#\n")] = '\0';
		for (word = strtok_r(line, " \t\r", &save); word;
		     word = strtok_r(NULL, " \t\r", &save)) {
			wrong = cli_cells_word(cells, word);
			if (wrong)
				cli_usage("%s:%d: '%s': %s", path, number, word,
					  wrong);
		}
	}
	if (f != stdin)
		fclose(f);
}
