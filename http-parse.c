/* Parses JSON bodies of requests; errors name the invalid field. */

#include "http.h"

#include <stdlib.h>
#include <string.h>

#define TASK_ID_MAX 200 /* bytes */
/* Of a value in memory; an object of two texts takes less than twice as much.
 */
#define VALUE_BYTES 256

/* State of parsing a submission or an edit. */
struct parser {
	struct rp_status *st;
	int http_status; /* HTTP status, set with st */
	json_t *root;
	struct rp_submission_spec spec;
	struct rp_task_spec *tasks;
	struct rp_budget *budget; /* that counts held; NULL: none */
	size_t held;		  /* bytes */
};

/* Sets an error that is not about a single field. Returns -1. */
static int set_error(struct parser *p, int http_status, const char *text)
{
	p->http_status = http_status;
	rp_status_set(p->st, RP_E_INPUT, RP_STEP_PARSE, "", "%s", text);
	return -1;
}

/* Sets the error "field: expected" with HTTP status 400. Returns -1. */
static int field_error(struct parser *p, const char *field,
		       const char *expected)
{
	p->http_status = MHD_HTTP_BAD_REQUEST;
	rp_status_set(p->st, RP_E_INPUT, RP_STEP_PARSE, "", "%s: %s", field,
		      expected);
	return -1;
}

/* Bytes that the parsed values of a body take at most. */
static size_t parsed_bytes(const char *body, size_t len)
{
	size_t i, n = 1;

	for (i = 0; i < len; i++)
		n += body[i] == ',';
	return n * VALUE_BYTES + 2 * len;
}

/* Counts the memory for the parsed values until parser_finish(). */
static int hold_parsed(struct parser *p, const struct http_request *r)
{
	size_t n = parsed_bytes(r->body, r->len);

	if (r->caller)
		conn_make_room(r->caller->table, RP_HOLD_JOBS, n);
	if (budget_take(&r->d->budget, RP_HOLD_JOBS, n) < 0) {
		p->http_status = MHD_HTTP_TOO_MANY_REQUESTS;
		rp_status_set(p->st, RP_E_FULL, RP_STEP_PARSE, "",
			      "body: no memory to parse it");
		return -1;
	}
	p->budget = &r->d->budget;
	p->held = n;
	return 0;
}

static void parser_finish(struct parser *p)
{
	free(p->tasks);
	json_decref(p->root);
	budget_release(p->budget, RP_HOLD_JOBS, p->held);
}

/* Parses the body as a JSON object. Error messages do not quote the body. */
static int parse_object(struct parser *p, const struct http_request *r)
{
	const char *body = r->body;
	size_t len = r->len;
	json_error_t err;

	if (hold_parsed(p, r) < 0)
		return -1;
	p->root = json_loadb(body ? body : "", len,
			     JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, &err);
	if (!p->root) {
		p->http_status = MHD_HTTP_BAD_REQUEST;
		rp_status_set(p->st, RP_E_INPUT, RP_STEP_PARSE, "",
			      "body: malformed JSON at line %d, column %d",
			      err.line, err.column);
		return -1;
	}
	if (!json_is_object(p->root))
		return field_error(p, "body", "want a JSON object");
	return 0;
}

/* Rejects fields that are not in the NULL-terminated list. */
static int check_fields(struct parser *p, json_t *o, const char *prefix,
			const char *const *allowed)
{
	const char *name;
	json_t *value;

	json_object_foreach(o, name, value)
	{
		const char *const *k = allowed;

		while (*k && strcmp(*k, name) != 0)
			k++;
		if (*k)
			continue;
		p->http_status = MHD_HTTP_BAD_REQUEST;
		rp_status_set(p->st, RP_E_INPUT, RP_STEP_PARSE, "",
			      "%s%.64s: unknown field", prefix, name);
		return -1;
	}
	return 0;
}

/* Returns whether s is 1 to max bytes long without spaces or controls. */
static int is_valid_text(struct rp_str s, size_t max)
{
	size_t i;

	if (s.len == 0 || s.len > max)
		return 0;
	for (i = 0; i < s.len; i++)
		if ((unsigned char)s.ptr[i] <= ' ' || s.ptr[i] == 0x7f)
			return 0;
	return 1;
}

/* Parses an optional string; a missing one is empty. */
static int parse_string(struct parser *p, const json_t *o, const char *field,
			struct rp_str *out)
{
	const json_t *v = json_object_get(o, field);

	out->ptr = "";
	out->len = 0;
	if (!v)
		return 0;
	if (!json_is_string(v))
		return field_error(p, field, "want a string");
	out->ptr = json_string_value(v);
	out->len = json_string_length(v);
	return 0;
}

/* Sets the key from the body or from own_key; rejects a call with both. */
static int parse_key(struct parser *p, const char *own_key)
{
	struct rp_str *key = &p->spec.key;

	if (parse_string(p, p->root, "key", key) < 0)
		return -1;
	if (own_key && json_object_get(p->root, "key"))
		return field_error(p, "key",
				   "given both in the body and as "
				   "Idempotency-Key");
	if (own_key) {
		key->ptr = own_key;
		key->len = strlen(own_key);
		p->spec.key_is_callers = 1;
	}
	if (!is_valid_text(*key, RP_KEY_MAX - 1))
		return field_error(p, own_key ? "Idempotency-Key" : "key",
				   "want 1 to 159 bytes without spaces");
	return 0;
}

static int parse_names(struct parser *p)
{
	struct rp_submission_spec *s = &p->spec;

	if (parse_string(p, p->root, "service", &s->service) < 0 ||
	    parse_string(p, p->root, "team", &s->team) < 0)
		return -1;
	if (!is_valid_text(s->service, RP_NAME_MAX - 1))
		return field_error(p, "service",
				   "want a name of 1 to 63 bytes without "
				   "spaces");
	if (!is_valid_text(s->team, RP_NAME_MAX - 1))
		return field_error(p, "team",
				   "want a name of 1 to 63 bytes without "
				   "spaces");
	return 0;
}

static int parse_timeout(struct parser *p, const struct settings *set)
{
	const json_t *v = json_object_get(p->root, "timeout_ms");
	json_int_t n = json_integer_value(v);

	p->spec.timeout = set->default_timeout;
	if (!v)
		return 0;
	if (!json_is_integer(v) || n < 1 || n > set->kernel.max_timeout) {
		p->http_status = MHD_HTTP_BAD_REQUEST;
		rp_status_set(p->st, RP_E_INPUT, RP_STEP_PARSE, "",
			      "timeout_ms: want a whole number from 1 to %lld",
			      (long long)set->kernel.max_timeout);
		return -1;
	}
	p->spec.timeout = n;
	return 0;
}

static int parse_task(struct parser *p, json_t *o, struct rp_task_spec *task)
{
	static const char *const allowed[] = { "id", "payload", NULL };

	if (!json_is_object(o))
		return field_error(p, "tasks", "want an array of objects");
	if (check_fields(p, o, "tasks.", allowed) < 0)
		return -1;
	if (!json_is_string(json_object_get(o, "id")))
		return field_error(p, "tasks.id", "want a string");
	if (!json_is_string(json_object_get(o, "payload")))
		return field_error(p, "tasks.payload", "want a string");
	if (parse_string(p, o, "id", &task->id) < 0 ||
	    parse_string(p, o, "payload", &task->payload) < 0)
		return -1;
	if (!is_valid_text(task->id, TASK_ID_MAX))
		return field_error(p, "tasks.id",
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

/* Rejects tasks with equal ids; sorts a copy of the ids to find them. */
static int check_unique_ids(struct parser *p, size_t n)
{
	struct rp_str *ids = malloc((n + 1) * sizeof(*ids));
	int rc = 0;
	size_t i;

	if (!ids)
		return set_error(p, MHD_HTTP_SERVICE_UNAVAILABLE,
				 "out of memory");
	for (i = 0; i < n; i++)
		ids[i] = p->tasks[i].id;
	qsort(ids, n, sizeof(*ids), compare_ids);
	for (i = 1; i < n && !rc; i++)
		if (!compare_ids(&ids[i - 1], &ids[i]))
			rc = field_error(p, "tasks.id",
					 "two tasks have the same id");
	free(ids);
	return rc;
}

static int parse_tasks(struct parser *p)
{
	json_t *list = json_object_get(p->root, "tasks");
	size_t n = json_array_size(list);
	size_t i;

	if (!json_is_array(list) || n == 0)
		return field_error(p, "tasks",
				   "want an array with at least one task");
	if (n > RP_TASKS_MAX)
		return set_error(p, MHD_HTTP_CONTENT_TOO_LARGE,
				 "tasks: more than 1024");
	p->tasks = calloc(n, sizeof(*p->tasks));
	if (!p->tasks)
		return set_error(p, MHD_HTTP_SERVICE_UNAVAILABLE,
				 "out of memory");
	for (i = 0; i < n; i++)
		if (parse_task(p, json_array_get(list, i), &p->tasks[i]) < 0)
			return -1;
	p->spec.ntasks = n;
	p->spec.tasks = p->tasks;
	return check_unique_ids(p, n);
}

/* Parses the single task of a request. */
static int parse_request_task(struct parser *p)
{
	const json_t *idempotent = json_object_get(p->root, "idempotent");

	if (idempotent && !json_is_boolean(idempotent))
		return field_error(p, "idempotent", "want true or false");
	if (!json_is_string(json_object_get(p->root, "payload")))
		return field_error(p, "payload", "want a string");
	p->tasks = calloc(1, sizeof(*p->tasks));
	if (!p->tasks)
		return set_error(p, MHD_HTTP_SERVICE_UNAVAILABLE,
				 "out of memory");
	p->tasks->id.ptr = "0";
	p->tasks->id.len = 1;
	parse_string(p, p->root, "payload", &p->tasks->payload);
	p->spec.idempotent = json_is_true(idempotent);
	p->spec.ntasks = 1;
	p->spec.tasks = p->tasks;
	return 0;
}

static int parse_submission(struct parser *p, const struct http_request *r,
			    const char *own_key, int is_request)
{
	static const char *const job[] = { "key",	 "service", "team",
					   "timeout_ms", "tasks",   NULL };
	static const char *const request[] = { "key",	     "service",
					       "team",	     "timeout_ms",
					       "idempotent", "payload",
					       NULL };

	p->spec.is_request = is_request;
	if (parse_object(p, r) < 0 ||
	    check_fields(p, p->root, "", is_request ? request : job) < 0 ||
	    parse_key(p, own_key) < 0 || parse_names(p) < 0 ||
	    parse_timeout(p, r->d->settings) < 0)
		return -1;
	return is_request ? parse_request_task(p) : parse_tasks(p);
}

struct rp_submission *http_parse_submission(const struct http_request *r,
					    const char *own_key, int is_request,
					    struct rp_status *st,
					    int *http_status)
{
	struct parser p = { .st = st };
	struct rp_submission *sub = NULL;

	if (!parse_submission(&p, r, own_key, is_request)) {
		sub = rp_submission_new(&p.spec);
		if (!sub)
			set_error(&p, MHD_HTTP_SERVICE_UNAVAILABLE,
				  "out of memory");
	}
	*http_status = p.http_status;
	parser_finish(&p);
	return sub;
}

/* --- edits of the table ----------------------------------------------- */

static int parse_name_field(struct parser *p, const json_t *o,
			    const char *field, char *to)
{
	struct rp_str s;

	if (parse_string(p, o, field, &s) < 0)
		return -1;
	if (s.len && !is_valid_text(s, RP_NAME_MAX - 1))
		return field_error(p, field, "want a name of up to 63 bytes");
	memcpy(to, s.ptr, s.len);
	to[s.len] = '\0';
	return 0;
}

/* Parses a weight or limit; null or a missing one means unset. */
static int parse_cell_number(struct parser *p, const json_t *o,
			     const char *field, json_int_t max, int32_t *out)
{
	const json_t *v = json_object_get(o, field);
	json_int_t n = json_integer_value(v);

	*out = RP_CELL_UNSET;
	if (!v || json_is_null(v))
		return 0;
	if (!json_is_integer(v) || n < 0 || n > max) {
		p->http_status = MHD_HTTP_BAD_REQUEST;
		rp_status_set(p->st, RP_E_INPUT, RP_STEP_PARSE, "",
			      "cells.%s: want a whole number from 0 to %lld",
			      field, (long long)max);
		return -1;
	}
	*out = (int32_t)n;
	return 0;
}

static int parse_cell(struct parser *p, json_t *o, struct rp_cell *cell)
{
	static const char *const allowed[] = { "kind",	 "row",	  "col",
					       "weight", "limit", NULL };
	const char *kind = json_string_value(json_object_get(o, "kind"));

	if (!json_is_object(o))
		return field_error(p, "cells", "want an array of objects");
	if (check_fields(p, o, "cells.", allowed) < 0)
		return -1;
	if (kind && !strcmp(kind, "target"))
		cell->kind = RP_CELL_TARGET;
	else if (kind && !strcmp(kind, "team"))
		cell->kind = RP_CELL_TEAM;
	else
		return field_error(p, "cells.kind",
				   "want \"target\" or \"team\"");
	if (parse_name_field(p, o, "row", cell->row) < 0 ||
	    parse_name_field(p, o, "col", cell->col) < 0 ||
	    parse_cell_number(p, o, "weight", RP_WEIGHT_MAX, &cell->weight) <
		    0 ||
	    parse_cell_number(p, o, "limit", RP_LIMIT_MAX, &cell->limit) < 0)
		return -1;
	if (cell->kind == RP_CELL_TARGET ? !cell->row[0] : cell->row[0] != 0)
		return field_error(p, "cells.row",
				   "want a service for a target, "
				   "and nothing for a team");
	if (!cell->col[0])
		return field_error(p, "cells.col", "want a name, or \"*\"");
	return 0;
}

static int parse_cells(struct parser *p, struct http_edit *edit)
{
	json_t *list = json_object_get(p->root, "cells");
	size_t i;

	if (!json_is_array(list) || json_array_size(list) == 0)
		return field_error(p, "cells",
				   "want an array with at least one cell");
	if (json_array_size(list) > RP_EDIT_CELLS_MAX)
		return field_error(p, "cells", "too many in one edit");
	edit->cells = calloc(json_array_size(list), sizeof(*edit->cells));
	if (!edit->cells)
		return field_error(p, "cells", "out of memory");
	for (i = 0; i < json_array_size(list); i++)
		if (parse_cell(p, json_array_get(list, i), &edit->cells[i]) < 0)
			return -1;
	edit->ncells = i;
	return 0;
}

static int parse_edit(struct parser *p, const struct http_request *r,
		      struct http_edit *edit)
{
	static const char *const allowed[] = { "edit_id", "base_version",
					       "cells", NULL };
	const json_t *base;

	if (parse_object(p, r) < 0 ||
	    check_fields(p, p->root, "", allowed) < 0 ||
	    parse_name_field(p, p->root, "edit_id", edit->edit_id) < 0)
		return -1;
	if (!edit->edit_id[0])
		return field_error(p, "edit_id", "want a unique name");
	base = json_object_get(p->root, "base_version");
	if (!json_is_integer(base) || json_integer_value(base) < 0)
		return field_error(p, "base_version",
				   "want a whole number from 0");
	edit->base_version = json_integer_value(base);
	return parse_cells(p, edit);
}

int http_parse_edit(const struct http_request *r, struct http_edit *edit,
		    struct rp_status *st)
{
	struct parser p = { .st = st };
	int rc = parse_edit(&p, r, edit);

	parser_finish(&p);
	return rc;
}
