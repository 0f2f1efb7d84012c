/* Text format of the table's rows: lines of tab-separated fields. */

#include "rosemary-int.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const kind_names[] = {
	[RP_CELL_TARGET] = "target",
	[RP_CELL_TEAM] = "team",
};

void cell_name(const struct rp_cell *c, char out[RP_CELL_NAME_MAX])
{
	snprintf(out, RP_CELL_NAME_MAX, "%s/%s/%s", kind_names[c->kind], c->row,
		 c->col);
}

void table_edit_name(int64_t version, char out[TABLE_EDIT_NAME_MAX])
{
	snprintf(out, TABLE_EDIT_NAME_MAX, TABLE_EDIT_PREFIX "%020" PRId64,
		 version);
}

int table_name_valid(const char *s)
{
	if (!*s)
		return 0;
	for (; *s; s++)
		if (*s <= ' ' || *s >= 0x7f || *s == '/')
			return 0;
	return 1;
}

static enum rp_code bad_cell(struct rp_status *st, const char *field,
			     const char *what)
{
	return rp_status_set(st, RP_E_INPUT, RP_STEP_TABLE, "", "cells.%s: %s",
			     field, what);
}

enum rp_code cell_check(const struct rp_cell *c, struct rp_status *st)
{
	if (c->kind != RP_CELL_TARGET && c->kind != RP_CELL_TEAM)
		return bad_cell(st, "kind", "must be target or team");
	if (c->kind == RP_CELL_TARGET ? !table_name_valid(c->row)
				      : c->row[0] != 0)
		return bad_cell(st, "row",
				"must name a service; empty for a team");
	if (!table_name_valid(c->col))
		return bad_cell(st, "col", "must be a name or \"*\"");
	if (c->weight < RP_CELL_UNSET || c->weight > RP_WEIGHT_MAX)
		return bad_cell(st, "weight", "is out of range");
	if (c->limit < RP_CELL_UNSET || c->limit > RP_LIMIT_MAX)
		return bad_cell(st, "limit", "is out of range");
	return RP_OK;
}

void text_printf(struct rp_text *t, const char *fmt, ...)
{
	char line[1024];
	va_list ap;
	int len;

	va_start(ap, fmt);
	len = vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	if (len < 0 || (size_t)len >= sizeof(line))
		abort();
	if (t->len + (size_t)len > t->cap) {
		t->cap = 2 * (t->len + (size_t)len);
		t->data = kernel_realloc(t->data, t->cap);
	}
	if (len)
		memcpy(t->data + t->len, line, (size_t)len);
	t->len += (size_t)len;
}

void text_cells(struct rp_text *t, const struct rp_cell *cells, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		text_printf(t,
			    "%s\t%s\t%s\t%" PRId32 "\t%" PRId32 "\t%" PRId64
			    "\n",
			    kind_names[cells[i].kind], cells[i].row,
			    cells[i].col, cells[i].weight, cells[i].limit,
			    cells[i].version);
}

void text_finish(struct rp_text *t)
{
	free(t->data);
	memset(t, 0, sizeof(*t));
}

/* Removes and returns the text up to the separator or the end of s. */
static struct rp_str text_cut(struct rp_str *s, char separator)
{
	const char *end = s->len ? memchr(s->ptr, separator, s->len) : NULL;
	struct rp_str part = { s->ptr, end ? (size_t)(end - s->ptr) : s->len };
	size_t cut = end ? part.len + 1 : part.len;

	if (cut) {
		s->ptr += cut;
		s->len -= cut;
	}
	return part;
}

struct rp_str text_next_field(struct rp_str *s)
{
	return text_cut(s, '\t');
}

struct rp_str text_next_line(struct rp_str *s)
{
	return text_cut(s, '\n');
}

int text_parse_number(struct rp_str field, int64_t *out)
{
	char buf[24];
	char *end;

	if (!field.len || field.len >= sizeof(buf))
		return 0;
	str_copy(buf, sizeof(buf), field);
	*out = strtoll(buf, &end, 10);
	return !*end;
}

void cells_add(struct rp_cells *cells, const struct rp_cell *c)
{
	if (cells->len == cells->cap) {
		cells->cap = cells->cap ? 2 * cells->cap : 16;
		cells->list = kernel_realloc(cells->list,
					     cells->cap * sizeof(*cells->list));
	}
	cells->list[cells->len++] = *c;
}

static int cell_parse(struct rp_str line, struct rp_cell *c)
{
	struct rp_str kind = text_next_field(&line);
	int64_t weight, limit;
	struct rp_status st;

	memset(c, 0, sizeof(*c));
	if (str_eq(kind, str_of(kind_names[RP_CELL_TARGET])))
		c->kind = RP_CELL_TARGET;
	else if (str_eq(kind, str_of(kind_names[RP_CELL_TEAM])))
		c->kind = RP_CELL_TEAM;
	else
		return 0;
	str_copy(c->row, sizeof(c->row), text_next_field(&line));
	str_copy(c->col, sizeof(c->col), text_next_field(&line));
	if (!text_parse_number(text_next_field(&line), &weight) ||
	    !text_parse_number(text_next_field(&line), &limit) ||
	    !text_parse_number(text_next_field(&line), &c->version))
		return 0;
	if (weight < INT32_MIN || weight > INT32_MAX || limit < INT32_MIN ||
	    limit > INT32_MAX)
		return 0;
	c->weight = (int32_t)weight;
	c->limit = (int32_t)limit;
	return cell_check(c, &st) == RP_OK;
}

int cells_parse(struct rp_cells *cells, struct rp_str text)
{
	struct rp_cell c;

	while (text.len) {
		if (!cell_parse(text_next_line(&text), &c))
			return 0;
		cells_add(cells, &c);
	}
	return 1;
}

int head_parse(struct rp_str value, struct rp_table_head *head)
{
	memset(head, 0, sizeof(*head));
	if (!value.len)
		return 1; /* no row: the table was never edited */
	if (!text_parse_number(text_next_field(&value), &head->version))
		return 0;
	str_copy(head->edit_id, sizeof(head->edit_id), text_next_field(&value));
	return text_parse_number(text_next_field(&value), &head->draft_seq);
}

void head_format(struct rp_text *t, const struct rp_table_head *head)
{
	text_printf(t, "%" PRId64 "\t%s\t%" PRId64, head->version,
		    head->edit_id, head->draft_seq);
}
