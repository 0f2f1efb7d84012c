#ifndef CLI_TABLE_H
#define CLI_TABLE_H

/* The operator's table of weights, limits and quotas, and edits of it. */

#include "cli.h"

#define CLI_NAME_MAX 64
#define CLI_CELLS_MAX 512  /* most cells in one edit */
#define CLI_DEFAULT (-1)   /* the default applies */
#define CLI_UNCHANGED (-2) /* the edit leaves the value unchanged */

/* One cell: the settings of a target of a service, or of a team. */
struct cli_cell {
	int is_team;
	char service[CLI_NAME_MAX]; /* "" for a team */
	char name[CLI_NAME_MAX];    /* target or team, or "*" for all */
	int weight;		    /* of a target, or the share of a team */
	int limit;		    /* of a target, or the quota of a team */
	int64_t version;	    /* table version of the last change */
};

/* A growable list of cells; initialised with zeros. */
struct cli_cells {
	struct cli_cell *list;
	size_t len, cap;
};

/* --- cli-table.c ---------------------------------------------------------- */

void cli_cells_add(struct cli_cells *cells, const struct cli_cell *c);
void cli_cells_finish(struct cli_cells *cells);
/* Returns the cell with the same kind, service and name, or NULL. */
struct cli_cell *cli_cells_find(const struct cli_cells *cells,
				const struct cli_cell *key);
/* Sorts targets before teams, and "*" before names. */
void cli_cells_sort(struct cli_cells *cells);
/* Appends the cells of a JSON array as entry VMs send it. */
void cli_cells_parse(struct cli_cells *cells, json_t *array);
json_t *cli_cells_to_json(const struct cli_cells *cells);
/* Writes "SERVICE/TARGET" or "team/NAME". */
void cli_cell_format_path(const struct cli_cell *c, char *out, size_t size);
/* Formats a weight or limit as a number or "default"; returns buf. */
const char *cli_format_value(int value, char *buf, size_t size);
/* Writes "weight=N limit=N" or, for a team, "weight=N quota=N". */
void cli_cell_format_values(const struct cli_cell *c, char *out, size_t size);
/*
 * Reads the table of an entry VM. Returns 0, or -1 with the cause in the error
 * field of the answer.
 */
int cli_table_read(struct cli *cli, const char *vm, struct cli_answer *answer);
/* Reads the version of an entry VM's table; -1 when it could not be read. */
int64_t cli_table_read_version(struct cli *cli, const char *vm);
/* Finds a draft in a table by its name; returns NULL when there is none. */
json_t *cli_table_find_draft(json_t *table, const char *name);

/* --- cli-cells.c: parsing of cells as the operator writes them ------------ */

/*
 * Parses one word. "SERVICE/TARGET" or "team/NAME" adds a cell; "weight=N",
 * "limit=N" or, for a team, "quota=N" sets a value of the last cell. Returns
 * NULL or an error message.
 */
const char *cli_cells_parse_word(struct cli_cells *cells, const char *word);
/* Parses all words of a file; exits with CLI_USAGE on an invalid one. */
void cli_cells_parse_file(struct cli_cells *cells, const char *path);

/* --- cli-edit.c: sending of edits ----------------------------------------- */

/* An edit to send. */
struct cli_edit {
	char id[CLI_NAME_MAX]; /* makes a repeated edit idempotent */
	int64_t base_version;  /* table version that the edit is based on */
	struct cli_cells cells;
};

/*
 * Sends the edit to the entry VMs in turn until one answers. Returns the exit
 * code; with CLI_COMPLETE, *version is the table version it created.
 */
int cli_edit_commit(struct cli *cli, const struct cli_edit *e,
		    int64_t *version);
/*
 * Saves the edit as a draft, or deletes the draft when e is NULL. Returns the
 * exit code.
 */
int cli_edit_draft(struct cli *cli, const struct cli_edit *e, const char *name);
/*
 * Waits until the version is in force at every given entry VM, for at most
 * wait_ms, and prints the result. Returns the exit code.
 */
int cli_edit_wait(struct cli *cli, int64_t version, int64_t wait_ms);

#endif
