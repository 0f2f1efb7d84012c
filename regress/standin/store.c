/* The store of the stand-in platform. */

#include "standin.h"

#include <apr_base64.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct standin_row *find_row(struct standin_store *s, const char *table,
				    const char *part, const char *key)
{
	size_t i;

	for (i = 0; i < s->n; i++)
		if (!strcmp(s->rows[i].table, table) &&
		    !strcmp(s->rows[i].part, part) &&
		    !strcmp(s->rows[i].key, key))
			return &s->rows[i];
	return NULL;
}

/* Writes a base64 value at the store's version; NULL removes the row. */
static void put_row(struct standin_store *s, const char *table,
		    const char *part, const char *key, const char *value)
{
	struct standin_row *row = find_row(s, table, part, key);

	if (!row) {
		if (s->n == s->cap) {
			s->cap = s->cap * 2 + 64;
			s->rows = realloc(s->rows, s->cap * sizeof(*s->rows));
		}
		row = &s->rows[s->n++];
		memset(row, 0, sizeof(*row));
		snprintf(row->table, sizeof(row->table), "%s", table);
		snprintf(row->part, sizeof(row->part), "%s", part);
		snprintf(row->key, sizeof(row->key), "%s", key);
	}
	free(row->value);
	row->value = value ? strdup(value) : NULL;
	row->version = s->version;
	row->put_at = fake_now_ms();
}

int64_t store_row_age(struct standin_store *s, const char *table,
		      const char *key)
{
	const struct standin_row *row = find_row(s, table, "", key);

	return row && row->value ? fake_now_ms() - row->put_at : -1;
}

void store_put(struct standin_store *s, const char *table, const char *key,
	       const char *text)
{
	char *base64 = NULL;

	s->version++;
	if (text) {
		int len = (int)strlen(text);

		base64 = malloc((size_t)apr_base64_encode_len(len) + 1);
		apr_base64_encode(base64, text, len);
	}
	put_row(s, table, "", key, base64);
	free(base64);
}

#define ENTRIES_MAX 100	 /* of a transaction */
#define BODY_MAX 1000000 /* bytes of a transaction */

static json_t *row_json(const struct standin_row *row)
{
	json_t *o = json_pack("{s:s,s:s,s:s,s:I}", "table", row->table, "part",
			      row->part, "key", row->key, "recordVersion",
			      (json_int_t)row->version);

	if (row->value)
		json_object_set_new(o, "value", json_string(row->value));
	else
		json_object_set_new(o, "removed", json_true());
	return o;
}

static enum fake_action reply_page(struct standin_store *s,
				   struct fake_request *r, unsigned status,
				   json_t *rows, int has_more)
{
	return fake_reply_json(r, status,
			       json_pack("{s:o,s:b,s:I,s:I}", "rows", rows,
					 "hasMore", has_more, "recordVersion",
					 (json_int_t)s->version, "nowMs",
					 (json_int_t)fake_now_ms()));
}

static enum fake_action reply_rows(struct standin_store *s,
				   struct fake_request *r, unsigned status,
				   json_t *rows)
{
	return reply_page(s, r, status, rows, 0);
}

static int by_key(const void *a, const void *b)
{
	const struct standin_row *x = *(const struct standin_row *const *)a;
	const struct standin_row *y = *(const struct standin_row *const *)b;

	return strcmp(x->key, y->key);
}

/* Returns a query argument, or "" when it is absent. */
static const char *query_arg(struct fake_request *r, const char *name)
{
	const char *text = fake_request_arg(r, name);

	return text ? text : "";
}

static enum fake_action get_rows(struct standin_store *s,
				 struct fake_request *r)
{
	const struct standin_row **found = calloc(s->n + 1, sizeof(*found));
	size_t i, n = 0, limit = (size_t)atoi(query_arg(r, "limit"));
	json_t *rows = json_array();

	s->reads++;
	for (i = 0; i < s->n; i++)
		if (s->rows[i].value &&
		    !strcmp(s->rows[i].table, query_arg(r, "table")) &&
		    !strcmp(s->rows[i].part, query_arg(r, "part")) &&
		    strcmp(s->rows[i].key, query_arg(r, "from")) >= 0)
			found[n++] = &s->rows[i];
	qsort(found, n, sizeof(*found), by_key);
	if (!limit || limit > (size_t)s->page)
		limit = (size_t)s->page;
	for (i = 0; i < n && i < limit; i++)
		json_array_append_new(rows, row_json(found[i]));
	free(found);
	return reply_page(s, r, 200, rows, n > limit);
}

static int by_version(const void *a, const void *b)
{
	const struct standin_row *x = *(const struct standin_row *const *)a;
	const struct standin_row *y = *(const struct standin_row *const *)b;

	return x->version < y->version ? -1 : x->version > y->version;
}

static enum fake_action get_changes(struct standin_store *s,
				    struct fake_request *r)
{
	const char *table = fake_request_arg(r, "table");
	const char *after = fake_request_arg(r, "after");
	const char *wait = fake_request_arg(r, "waitMs");
	int64_t after_version = after ? atoll(after) : 0;
	const struct standin_row **changed;
	json_t *rows = json_array();
	size_t i, n = 0;

	if (after_version < s->compacted) {
		json_decref(rows);
		return fake_reply_error(r, 410, "history was compacted");
	}
	changed = calloc(s->n + 1, sizeof(*changed));
	for (i = 0; i < s->n; i++)
		if (table && s->rows[i].version > after_version &&
		    !strcmp(s->rows[i].table, table))
			changed[n++] = &s->rows[i];
	qsort(changed, n, sizeof(*changed), by_version);
	for (i = 0; i < n; i++)
		json_array_append_new(rows, row_json(changed[i]));
	free(changed);
	if (!n && wait && standin_wait_ms(r) < atoll(wait)) {
		json_decref(rows);
		return standin_suspend(r);
	}
	s->reads++;
	return reply_rows(s, r, 200, rows);
}

static const char *get_string(json_t *o, const char *name)
{
	const char *text = json_string_value(json_object_get(o, name));

	return text ? text : "";
}

/*
 * Whether all rows have the versions that the conditions expect. Adds the
 * existing rows among them to current.
 */
static int conditions_hold(struct standin_store *s, json_t *list,
			   json_t *current)
{
	size_t i;
	int hold = 1;

	for (i = 0; i < json_array_size(list); i++) {
		json_t *o = json_array_get(list, i);
		struct standin_row *row = find_row(s, get_string(o, "table"),
						   get_string(o, "part"),
						   get_string(o, "key"));
		int64_t version = row && row->value ? row->version : 0;

		if (json_integer_value(json_object_get(o, "recordVersion")) !=
		    version)
			hold = 0;
		if (row && row->value)
			json_array_append_new(current, row_json(row));
	}
	return hold;
}

#define JOBS_TABLE "rosemary-jobs"

/* Whether the transaction writes a row of a job that must not exist. */
static int writes_new_job(json_t *root)
{
	json_t *list = json_object_get(root, "expectedRevision");
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		json_t *o = json_array_get(list, i);

		if (!strcmp(get_string(o, "table"), JOBS_TABLE) &&
		    !json_integer_value(json_object_get(o, "recordVersion")))
			return 1;
	}
	return 0;
}

/* A transaction that is made later, when its connection may be closed. */
struct standin_late_write {
	struct standin_late_write *next;
	json_t *root;
	int64_t due_at;
};

/* Loses the transaction if it is one of those that are to be made late. */
static int is_lost(struct standin_store *s, struct fake_request *r,
		   json_t *root)
{
	struct standin_late_write *late;

	if (r->data || !s->late_writes || !writes_new_job(root))
		return 0;
	s->late_writes--;
	standin_lose(r, -1);
	late = calloc(1, sizeof(*late));
	late->root = json_incref(root);
	late->due_at = fake_now_ms() + s->late_ms;
	late->next = s->late;
	s->late = late;
	return 1;
}

/* Makes the writes and removals of a transaction whose conditions hold. */
static void commit(struct standin_store *s, json_t *root)
{
	json_t *o;
	size_t i;

	s->version++;
	json_array_foreach(json_object_get(root, "writes"), i, o)
		put_row(s, get_string(o, "table"), get_string(o, "part"),
			get_string(o, "key"), get_string(o, "value"));
	json_array_foreach(json_object_get(root, "remove"), i, o)
		put_row(s, get_string(o, "table"), get_string(o, "part"),
			get_string(o, "key"), NULL);
}

/* Makes the late writes that are due, if their conditions still hold. */
static void make_late_writes(struct standin_store *s)
{
	struct standin_late_write **at = &s->late, *late;

	while ((late = *at)) {
		json_t *current;

		if (fake_now_ms() < late->due_at) {
			at = &late->next;
			continue;
		}
		*at = late->next;
		current = json_array();
		if (conditions_hold(s,
				    json_object_get(late->root, "expectedRevisi"
								"on"),
				    current))
			commit(s, late->root);
		json_decref(current);
		json_decref(late->root);
		free(late);
	}
}

static enum fake_action write_rows(struct standin *st, struct fake_request *r)
{
	struct standin_store *s = &st->store;
	json_t *root = json_loadb(r->body, r->len, 0, NULL);
	json_t *writes = json_object_get(root, "writes");
	json_t *removals = json_object_get(root, "remove");
	json_t *conditions = json_object_get(root, "expectedRevision");
	json_t *current = json_array();

	if (is_lost(s, r, root)) {
		json_decref(root);
		json_decref(current);
		return standin_suspend(r);
	}
	s->writes++;
	if (json_array_size(conditions) + json_array_size(writes) +
			    json_array_size(removals) >
		    ENTRIES_MAX ||
	    r->len > BODY_MAX) {
		json_decref(root);
		json_decref(current);
		standin_violation(st, "transaction too large", r->path);
		return fake_reply_error(r, 400, "over 100 entries or 1 MB");
	}
	if (!conditions_hold(s, conditions, current)) {
		json_decref(root);
		return reply_rows(s, r, 412, current);
	}
	json_decref(current);
	commit(s, root);
	json_decref(root);
	if (s->lose_answers && rand_r(&st->seed) % 100 < s->lose_answers)
		return FAKE_DROP;
	return reply_rows(s, r, 200, json_array());
}

enum fake_action store_handle(struct standin *st, struct fake_request *r)
{
	struct standin_store *s = &st->store;

	if (s->silent)
		return standin_suspend(r);
	if (s->up_at && fake_now_ms() >= s->up_at)
		s->down = 0;
	make_late_writes(s);
	/* A reply would say that it is not made. */
	if (standin_is_late(r))
		return standin_suspend(r);
	if (s->down)
		return fake_reply_error(r, 503, "down");
	if (!strcmp(r->path, "/api/rows-get"))
		return get_rows(s, r);
	if (!strcmp(r->path, "/api/rows-feed"))
		return get_changes(s, r);
	if (!strcmp(r->path, "/api/rows-tx"))
		return write_rows(st, r);
	return fake_reply_error(r, 404, "no such call");
}
