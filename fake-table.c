/* Table of the platform stand-in: an array of rows sorted by name. */

#include "fake-table.h"

#include <stdlib.h>
#include <string.h>

size_t fake_table_lower_bound(const struct fake_table *t, const char *name)
{
	size_t lo = 0, hi = t->len;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (strcmp(t->rows[mid]->name, name) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

const struct fake_row *fake_table_find(const struct fake_table *t,
				       const char *name)
{
	size_t i = fake_table_lower_bound(t, name);

	if (i < t->len && !strcmp(t->rows[i]->name, name))
		return t->rows[i];
	return NULL;
}

/* Frees a row with its name and value. */
static void row_free(struct fake_row *row)
{
	free(row->name);
	free(row->value);
	free(row);
}

/* Inserts a row without a value at index i. */
static void row_insert(struct fake_table *t, size_t i, const char *name)
{
	struct fake_row *row = calloc(1, sizeof(*row));

	if (t->len == t->cap) {
		t->cap = t->cap ? 2 * t->cap : 256;
		t->rows = realloc(t->rows, t->cap * sizeof(struct fake_row *));
	}
	if (!row || !t->rows)
		abort();
	row->name = strdup(name);
	memmove(t->rows + i + 1, t->rows + i,
		(t->len - i) * sizeof(struct fake_row *));
	t->rows[i] = row;
	t->len++;
}

/* Removes the row at index i. */
static void row_remove(struct fake_table *t, size_t i)
{
	row_free(t->rows[i]);
	t->len--;
	memmove(t->rows + i, t->rows + i + 1,
		(t->len - i) * sizeof(struct fake_row *));
}

/* Applies one write, whose version the caller has checked. */
static void apply(struct fake_table *t, const struct fake_write *w)
{
	size_t i = fake_table_lower_bound(t, w->name);
	int found = i < t->len && !strcmp(t->rows[i]->name, w->name);

	if (!w->value) {
		if (found)
			row_remove(t, i);
		return;
	}
	if (!found)
		row_insert(t, i, w->name);
	free(t->rows[i]->value);
	t->rows[i]->value = strdup(w->value);
	t->rows[i]->version = t->last_version;
}

const char *fake_table_commit(struct fake_table *t,
			      const struct fake_write *writes, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		const struct fake_row *row = fake_table_find(t, writes[i].name);

		if ((row ? row->version : 0) != writes[i].version)
			return writes[i].name;
	}
	t->last_version++;
	for (i = 0; i < n; i++)
		apply(t, &writes[i]);
	return NULL;
}

void fake_table_finish(struct fake_table *t)
{
	size_t i;

	for (i = 0; i < t->len; i++)
		row_free(t->rows[i]);
	free(t->rows);
}
