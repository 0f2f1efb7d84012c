/* Bodies of callers' requests, as they are received. */

#include "conn.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_BYTES 512 /* least size of the buffer */
/* A refused body is read up to this multiple of the longest one. */
#define DISCARD_FACTOR 4

/* The size to allocate for n bytes of a body of at most max, and a NUL. */
static size_t next_size(const struct conn *c, size_t n, size_t max)
{
	size_t size = c->cap * 2;

	if (size < FIRST_BYTES)
		size = FIRST_BYTES;
	if (size > max + 1)
		size = max + 1;
	return size < n + 1 ? n + 1 : size;
}

/*
 * Takes n bytes from the budget. Other bodies are closed for that if they are
 * as long as this one, so that a long body does not displace short ones.
 */
static int take(struct conn *c, size_t n)
{
	struct conn_table *t = c->table;

	while (budget_take(t->budget, RP_HOLD_BODIES, n) < 0)
		if (conn_close_longest(t, c, c->cap) < 0)
			return -1;
	return 0;
}

static int grow(struct conn *c, size_t n, size_t max)
{
	size_t size = next_size(c, n, max);
	char *body;

	if (take(c, size - c->cap) < 0) {
		conn_count_limit(c->table, CONN_LIMIT_MEMORY);
		return -1;
	}
	body = realloc(c->body, size);
	if (!body) {
		budget_release(c->table->budget, RP_HOLD_BODIES, size - c->cap);
		return -1;
	}
	c->body = body;
	c->cap = size;
	return 0;
}

static enum conn_append_result append(struct conn *c, const char *data,
				      size_t n, size_t max)
{
	if (c->closing)
		return CONN_CLOSED;
	if (n > max || c->len > max - n) {
		conn_count_limit(c->table, CONN_LIMIT_BODY);
		return CONN_TOO_LONG;
	}
	if (c->len + n + 1 > c->cap && grow(c, c->len + n, max) < 0)
		return CONN_NO_MEMORY;
	memcpy(c->body + c->len, data, n);
	c->len += n;
	c->body[c->len] = '\0';
	return CONN_APPENDED;
}

enum conn_append_result conn_append(struct conn *c, const char *data, size_t n,
				    size_t max)
{
	enum conn_append_result result;

	pthread_mutex_lock(&c->table->lock);
	result = append(c, data, n, max);
	if (result != CONN_APPENDED)
		conn_free_body(c);
	pthread_mutex_unlock(&c->table->lock);
	return result;
}

int conn_discard(struct conn *c, size_t n, size_t max)
{
	pthread_mutex_lock(&c->table->lock);
	conn_free_body(c);
	pthread_mutex_unlock(&c->table->lock);
	c->discarded += n;
	return c->discarded / DISCARD_FACTOR > max ? -1 : 0;
}

void conn_free_body(struct conn *c)
{
	budget_release(c->table->budget, RP_HOLD_BODIES, c->cap);
	free(c->body);
	c->body = NULL;
	c->len = c->cap = 0;
}
