#ifndef FAKE_TABLE_H
#define FAKE_TABLE_H

/* Versioned rows in name order, as the platform's table service has them. */

#include <stddef.h>
#include <stdint.h>

/* A stored row; a deleted row is removed. Versions never repeat. */
struct fake_row {
	char *name;
	char *value;
	int64_t version;
};

struct fake_table {
	struct fake_row **rows; /* sorted by name */
	size_t len, cap;
	int64_t last_version;
};

/* A row to write: version must match, 0: absent; value NULL: delete. */
struct fake_write {
	const char *name;
	const char *value;
	int64_t version;
};

/* The first row whose name is not less than the given one. */
size_t fake_table_seek(const struct fake_table *t, const char *name);
const struct fake_row *fake_table_find(const struct fake_table *t,
				       const char *name);
/* Writes all and returns NULL, or writes nothing and names the conflict. */
const char *fake_table_commit(struct fake_table *t,
			      const struct fake_write *writes, size_t n);
void fake_table_finish(struct fake_table *t);

#endif
