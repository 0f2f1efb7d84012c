/* Reading of submissions from JSON, with a fault that names the field. */

#include "http.h"

#include <stdlib.h>
#include <string.h>

#define TASK_ID_MAX 200 /* bytes */

/* A submission being read. */
struct reading {
	struct rp_status *st;
	int http;
	json_t *root;
	struct rp_submission_spec spec;
	struct rp_task_spec *tasks;
};

static int fault(struct reading *rd, int http, const char *text)
{
	rd->http = http;
	rp_status_set(rd->st, RP_E_INPUT, RP_STEP_PARSE, "", "%s", text);
	return -1;
}

static int bad(struct reading *rd, const char *field, const char *want)
{
	rd->http = MHD_HTTP_BAD_REQUEST;
	rp_status_set(rd->st, RP_E_INPUT, RP_STEP_PARSE, "", "%s: %s", field,
		      want);
	return -1;
}

/* Parses the body into an object; the caller's text is not repeated. */
static int parse_object(struct reading *rd, const char *body, size_t len)
{
	json_error_t err;

	rd->root = json_loadb(body ? body : "", len,
			      JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, &err);
	if (!rd->root) {
		rd->http = MHD_HTTP_BAD_REQUEST;
		rp_status_set(rd->st, RP_E_INPUT, RP_STEP_PARSE, "",
			      "body: malformed JSON at line %d, column %d",
			      err.line, err.column);
		return -1;
	}
	if (!json_is_object(rd->root))
		return bad(rd, "body", "want a JSON object");
	return 0;
}

/* Refuses fields that are not in the list, which NULL ends. */
static int check_fields(struct reading *rd, json_t *o, const char *where,
			const char *const *known)
{
	const char *name;
	json_t *value;

	json_object_foreach(o, name, value)
	{
		const char *const *k = known;

		while (*k && strcmp(*k, name) != 0)
			k++;
		if (*k)
			continue;
		rd->http = MHD_HTTP_BAD_REQUEST;
		rp_status_set(rd->st, RP_E_INPUT, RP_STEP_PARSE, "",
			      "%s%.64s: unknown field", where, name);
		return -1;
	}
	return 0;
}

/* Whether the text has no control characters and is within its bound. */
static int is_plain(struct rp_str s, size_t max)
{
	size_t i;

	if (s.len == 0 || s.len > max)
		return 0;
	for (i = 0; i < s.len; i++)
		if ((unsigned char)s.ptr[i] <= ' ' || s.ptr[i] == 0x7f)
			return 0;
	return 1;
}

static int take_string(struct reading *rd, const json_t *o, const char *field,
		       struct rp_str *out)
{
	const json_t *v = json_object_get(o, field);

	out->ptr = "";
	out->len = 0;
	if (!v)
		return 0;
	if (!json_is_string(v))
		return bad(rd, field, "want a string");
	out->ptr = json_string_value(v);
	out->len = json_string_length(v);
	return 0;
}

/* Takes the key from the body, or from the header of the caller's own. */
static int take_key(struct reading *rd, const char *own_key)
{
	struct rp_str *key = &rd->spec.key;

	if (take_string(rd, rd->root, "key", key) < 0)
		return -1;
	if (own_key && json_object_get(rd->root, "key"))
		return bad(rd, "key",
			   "given in the body and as "
			   "Idempotency-Key");
	if (own_key) {
		key->ptr = own_key;
		key->len = strlen(own_key);
		rd->spec.key_is_callers = 1;
	}
	if (!is_plain(*key, RP_KEY_MAX - 1))
		return bad(rd, own_key ? "Idempotency-Key" : "key",
			   "want 1 to 159 bytes without spaces");
	return 0;
}

static int take_names(struct reading *rd)
{
	struct rp_submission_spec *s = &rd->spec;

	if (take_string(rd, rd->root, "service", &s->service) < 0 ||
	    take_string(rd, rd->root, "team", &s->team) < 0)
		return -1;
	if (!is_plain(s->service, RP_NAME_MAX - 1))
		return bad(rd, "service",
			   "want a name of 1 to 63 bytes without spaces");
	if (!is_plain(s->team, RP_NAME_MAX - 1))
		return bad(rd, "team",
			   "want a name of 1 to 63 bytes without spaces");
	return 0;
}

static int take_timeout(struct reading *rd, const struct settings *set)
{
	const json_t *v = json_object_get(rd->root, "timeout_ms");
	json_int_t n = json_integer_value(v);

	rd->spec.timeout = set->default_timeout;
	if (!v)
		return 0;
	if (!json_is_integer(v) || n < 1 || n > set->kernel.max_timeout) {
		rd->http = MHD_HTTP_BAD_REQUEST;
		rp_status_set(rd->st, RP_E_INPUT, RP_STEP_PARSE, "",
			      "timeout_ms: want a whole number from 1 to %lld",
			      (long long)set->kernel.max_timeout);
		return -1;
	}
	rd->spec.timeout = n;
	return 0;
}

static int take_task(struct reading *rd, json_t *o, struct rp_task_spec *task)
{
	static const char *const known[] = { "id", "payload", NULL };

	if (!json_is_object(o))
		return bad(rd, "tasks", "want an array of objects");
	if (check_fields(rd, o, "tasks.", known) < 0)
		return -1;
	if (!json_is_string(json_object_get(o, "id")))
		return bad(rd, "tasks.id", "want a string");
	if (!json_is_string(json_object_get(o, "payload")))
		return bad(rd, "tasks.payload", "want a string");
	if (take_string(rd, o, "id", &task->id) < 0 ||
	    take_string(rd, o, "payload", &task->payload) < 0)
		return -1;
	if (!is_plain(task->id, TASK_ID_MAX))
		return bad(rd, "tasks.id",
			   "want 1 to 200 bytes without spaces");
	return 0;
}

static int compare_ids(const void *pa, const void *pb)
{
	const struct rp_str *a = pa;
	const struct rp_str *b = pb;

	if (a->len != b->len)
		return a->len < b->len ? -1 : 1;
	return memcmp(a->ptr, b->ptr, a->len);
}

static int check_ids_differ(struct reading *rd, size_t n)
{
	struct rp_str *ids = malloc((n + 1) * sizeof(*ids));
	int rc = 0;
	size_t i;

	if (!ids)
		return fault(rd, MHD_HTTP_SERVICE_UNAVAILABLE, "out of memory");
	for (i = 0; i < n; i++)
		ids[i] = rd->tasks[i].id;
	qsort(ids, n, sizeof(*ids), compare_ids);
	for (i = 1; i < n && !rc; i++)
		if (!compare_ids(&ids[i - 1], &ids[i]))
			rc = bad(rd, "tasks.id", "two tasks have the same id");
	free(ids);
	return rc;
}

static int take_tasks(struct reading *rd)
{
	json_t *list = json_object_get(rd->root, "tasks");
	size_t n = json_array_size(list);
	size_t i;

	if (!json_is_array(list) || n == 0)
		return bad(rd, "tasks", "want an array with at least one task");
	if (n > RP_TASKS_MAX)
		return fault(rd, MHD_HTTP_CONTENT_TOO_LARGE,
			     "tasks: more than 1024");
	rd->tasks = calloc(n, sizeof(*rd->tasks));
	if (!rd->tasks)
		return fault(rd, MHD_HTTP_SERVICE_UNAVAILABLE, "out of memory");
	for (i = 0; i < n; i++)
		if (take_task(rd, json_array_get(list, i), &rd->tasks[i]) < 0)
			return -1;
	rd->spec.ntasks = n;
	rd->spec.tasks = rd->tasks;
	return check_ids_differ(rd, n);
}

/* Takes the one task of a request. */
static int take_request(struct reading *rd)
{
	const json_t *idempotent = json_object_get(rd->root, "idempotent");

	if (idempotent && !json_is_boolean(idempotent))
		return bad(rd, "idempotent", "want true or false");
	if (!json_is_string(json_object_get(rd->root, "payload")))
		return bad(rd, "payload", "want a string");
	rd->tasks = calloc(1, sizeof(*rd->tasks));
	if (!rd->tasks)
		return fault(rd, MHD_HTTP_SERVICE_UNAVAILABLE, "out of memory");
	rd->tasks->id.ptr = "0";
	rd->tasks->id.len = 1;
	take_string(rd, rd->root, "payload", &rd->tasks->payload);
	rd->spec.idempotent = json_is_true(idempotent);
	rd->spec.ntasks = 1;
	rd->spec.tasks = rd->tasks;
	return 0;
}

static int read_submission(struct reading *rd, const struct http_request *r,
			   const char *own_key, int is_request)
{
	static const char *const job[] = { "key",	 "service", "team",
					   "timeout_ms", "tasks",   NULL };
	static const char *const request[] = { "key",	     "service",
					       "team",	     "timeout_ms",
					       "idempotent", "payload",
					       NULL };

	rd->spec.is_request = is_request;
	if (parse_object(rd, r->body, r->len) < 0 ||
	    check_fields(rd, rd->root, "", is_request ? request : job) < 0 ||
	    take_key(rd, own_key) < 0 || take_names(rd) < 0 ||
	    take_timeout(rd, r->d->settings) < 0)
		return -1;
	return is_request ? take_request(rd) : take_tasks(rd);
}

struct rp_submission *http_parse_submission(const struct http_request *r,
					    const char *own_key, int is_request,
					    struct rp_status *st, int *http)
{
	struct reading rd = { .st = st };
	struct rp_submission *sub = NULL;

	if (!read_submission(&rd, r, own_key, is_request)) {
		sub = rp_submission_new(&rd.spec);
		if (!sub)
			fault(&rd, MHD_HTTP_SERVICE_UNAVAILABLE,
			      "out of memory");
	}
	*http = rd.http;
	free(rd.tasks);
	json_decref(rd.root);
	return sub;
}

/* --- edits of the table ----------------------------------------------- */

static int take_cell_name(struct reading *rd, const json_t *o,
			  const char *field, char *to)
{
	struct rp_str s;

	if (take_string(rd, o, field, &s) < 0)
		return -1;
	if (s.len && !is_plain(s, RP_NAME_MAX - 1))
		return bad(rd, field, "want a name of up to 63 bytes");
	memcpy(to, s.ptr, s.len);
	to[s.len] = '\0';
	return 0;
}

/* Takes a weight or a limit; null or absence leaves the default. */
static int take_cell_number(struct reading *rd, const json_t *o,
			    const char *field, json_int_t max, int32_t *out)
{
	const json_t *v = json_object_get(o, field);
	json_int_t n = json_integer_value(v);

	*out = RP_CELL_UNSET;
	if (!v || json_is_null(v))
		return 0;
	if (!json_is_integer(v) || n < 0 || n > max) {
		rd->http = MHD_HTTP_BAD_REQUEST;
		rp_status_set(rd->st, RP_E_INPUT, RP_STEP_PARSE, "",
			      "cells.%s: want a whole number from 0 to %lld",
			      field, (long long)max);
		return -1;
	}
	*out = (int32_t)n;
	return 0;
}

static int take_cell(struct reading *rd, json_t *o, struct rp_cell *cell)
{
	static const char *const known[] = { "kind",   "row",	"col",
					     "weight", "limit", NULL };
	const char *kind = json_string_value(json_object_get(o, "kind"));

	if (!json_is_object(o))
		return bad(rd, "cells", "want an array of objects");
	if (check_fields(rd, o, "cells.", known) < 0)
		return -1;
	if (kind && !strcmp(kind, "target"))
		cell->kind = RP_CELL_TARGET;
	else if (kind && !strcmp(kind, "team"))
		cell->kind = RP_CELL_TEAM;
	else
		return bad(rd, "cells.kind", "want \"target\" or \"team\"");
	if (take_cell_name(rd, o, "row", cell->row) < 0 ||
	    take_cell_name(rd, o, "col", cell->col) < 0 ||
	    take_cell_number(rd, o, "weight", RP_WEIGHT_MAX, &cell->weight) <
		    0 ||
	    take_cell_number(rd, o, "limit", RP_LIMIT_MAX, &cell->limit) < 0)
		return -1;
	if (cell->kind == RP_CELL_TARGET ? !cell->row[0] : cell->row[0] != 0)
		return bad(rd, "cells.row",
			   "want a service for a target, "
			   "and nothing for a team");
	if (!cell->col[0])
		return bad(rd, "cells.col", "want a name, or \"*\"");
	return 0;
}

static int take_cells(struct reading *rd, struct http_edit *edit)
{
	json_t *list = json_object_get(rd->root, "cells");
	size_t i;

	if (!json_is_array(list) || json_array_size(list) == 0)
		return bad(rd, "cells", "want an array with at least one cell");
	if (json_array_size(list) > RP_EDIT_CELLS_MAX)
		return bad(rd, "cells", "too many in one edit");
	edit->cells = calloc(json_array_size(list), sizeof(*edit->cells));
	if (!edit->cells)
		return bad(rd, "cells", "out of memory");
	for (i = 0; i < json_array_size(list); i++)
		if (take_cell(rd, json_array_get(list, i), &edit->cells[i]) < 0)
			return -1;
	edit->ncells = i;
	return 0;
}

static int read_edit(struct reading *rd, const struct http_request *r,
		     struct http_edit *edit)
{
	static const char *const known[] = { "edit_id", "base_version", "cells",
					     NULL };
	const json_t *base;

	if (parse_object(rd, r->body, r->len) < 0 ||
	    check_fields(rd, rd->root, "", known) < 0 ||
	    take_cell_name(rd, rd->root, "edit_id", edit->edit_id) < 0)
		return -1;
	if (!edit->edit_id[0])
		return bad(rd, "edit_id", "want a unique name");
	base = json_object_get(rd->root, "base_version");
	if (!json_is_integer(base) || json_integer_value(base) < 0)
		return bad(rd, "base_version", "want a whole number from 0");
	edit->base_version = json_integer_value(base);
	return take_cells(rd, edit);
}

int http_parse_edit(const struct http_request *r, struct http_edit *edit,
		    struct rp_status *st)
{
	struct reading rd = { .st = st };
	int rc = read_edit(&rd, r, edit);

	json_decref(rd.root);
	return rc;
}
