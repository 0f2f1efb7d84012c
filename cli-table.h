#ifndef CLI_TABLE_H
#define CLI_TABLE_H

/* The operator's table as the command line sees it. */

#include "cli.h"

#define CLI_NAME_MAX 64
#define CLI_CELLS_MAX 512 /* in one edit */
#define CLI_UNSET (-1)	  /* the default holds */
#define CLI_KEEP (-2)	  /* an edit leaves the value as it is */

struct cli_cell {
	int is_team;
	char row[CLI_NAME_MAX]; /* service; "" for a team */
	char col[CLI_NAME_MAX]; /* target or team, or "*" */
	int weight;		/* share of a team */
	int limit;		/* quota of a team */
	int64_t version;
};

struct cli_cells {
	struct cli_cell *list;
	size_t len, cap;
};

/* --- cli-table.c ---------------------------------------------------------- */

void cli_cells_add(struct cli_cells *cells, const struct cli_cell *c);
void cli_cells_finish(struct cli_cells *cells);
/* The cell of that place, or NULL. */
struct cli_cell *cli_cells_find(const struct cli_cells *cells,
				const struct cli_cell *place);
/* Sorts teams behind targets, "*" before names. */
void cli_cells_sort(struct cli_cells *cells);
/* Appends the cells of a JSON array. */
void cli_cells_read(struct cli_cells *cells, json_t *array);
json_t *cli_cells_json(const struct cli_cells *cells);
/* "SERVICE/TARGET" or "team/NAME" into out. */
void cli_cell_place(const struct cli_cell *c, char *out, size_t size);
/* A weight or limit as text: a number or "default". */
const char *cli_value(int value, char *buf, size_t size);
/* What of it an edit sets: "weight=N limit=N". */
void cli_cell_values(const struct cli_cell *c, char *out, size_t size);
/* Reads the table of an entry VM; returns 0 when it came. */
int cli_table_get(struct cli *cli, const char *vm, struct cli_reply *reply);
/* The table's version there, or -1. */
int64_t cli_table_version(struct cli *cli, const char *vm);
/* The draft of that name in a table, or NULL. */
json_t *cli_table_draft(json_t *table, const char *name);

/* --- cli-cells.c: cells as the operator writes them ------------------------
 */

/*
 * Takes one word: "SERVICE/TARGET" or "team/NAME" begins a cell, "weight=N",
 * "limit=N" or, for a team, "quota=N" sets a value of the last one. Returns
 * NULL, or what is wrong with it.
 */
const char *cli_cells_word(struct cli_cells *cells, const char *word);
/* Takes all words of a file; exits with CLI_USAGE when one is bad. */
void cli_cells_file(struct cli_cells *cells, const char *path);

/* --- cli-edit.c: sending an edit --------------------------------------------
 */

/* An edit that is about to be sent. */
struct cli_edit {
	char id[CLI_NAME_MAX];
	int64_t base_version;
	struct cli_cells cells;
};

/* Sends it to the entry VMs in turn; returns the exit code. */
int cli_edit_commit(struct cli *cli, const struct cli_edit *e,
		    int64_t *version);
/* Keeps it as a draft, or drops the draft when e is NULL. */
int cli_edit_draft(struct cli *cli, const struct cli_edit *e, const char *name);
/* Waits until the version is in force at every entry VM given. */
int cli_edit_wait(struct cli *cli, int64_t version, int64_t wait_ms);

#endif
