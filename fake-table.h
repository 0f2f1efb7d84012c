#ifndef FAKE_TABLE_H
#define FAKE_TABLE_H

/* In-memory table of versioned rows, sorted by name. */

#include <stddef.h>
#include <stdint.h>

/* A stored row. A version is never used twice, even after a delete. */
struct fake_row {
	char *name;
	char *value;
	int64_t version;
};

struct fake_table {
	struct fake_row **rows; /* sorted by name */
	size_t len, cap;
	int64_t last_version; /* of the latest commit */
};

/* A conditional write of one row. */
struct fake_write {
	const char *name;
	const char *value; /* NULL: delete the row */
	int64_t version;   /* the row's current version; 0: it must be absent */
};

/* The index of the first row whose name is not less than the given one. */
size_t fake_table_lower_bound(const struct fake_table *t, const char *name);
/* Finds a row by name; NULL when it is absent. */
const struct fake_row *fake_table_find(const struct fake_table *t,
				       const char *name);
/*
 * Performs all writes and returns NULL, or performs none and returns the name
 * of the first row whose version does not match.
 */
const char *fake_table_commit(struct fake_table *t,
			      const struct fake_write *writes, size_t n);
void fake_table_finish(struct fake_table *t);

#endif
