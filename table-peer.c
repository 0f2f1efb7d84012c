/*
 * Exchange of the table between entry VMs. Edits spread faster than by polling
 * alone, and a new entry VM gets the table while the platform is unreachable.
 *
 * A delta is a line with the version it starts from and the head it leads to,
 * then one line for each changed cell.
 */

#include "rosemary-int.h"

#include <inttypes.h>
#include <stdlib.h>

/* Shortest time between two requests for the table, ms. */
#define REQUEST_INTERVAL_MS 500

struct rp_blob *table_pack_delta(struct rp_kernel *k, int64_t since)
{
	struct rp_table *t = &k->table;
	struct rp_text text = { 0 };
	struct rp_table_head head = { 0 };
	struct rp_blob *blob;
	apr_hash_index_t *i;

	kernel_lock(k, t->lock);
	head.version = t->version;
	str_copy(head.edit_id, sizeof(head.edit_id), str_of(t->edit_id));
	text_printf(&text, "%" PRId64 "\t", since);
	head_format(&text, &head);
	text_printf(&text, "\n");
	for (i = apr_hash_first(NULL, t->cells); i; i = apr_hash_next(i)) {
		const struct rp_cell *c = apr_hash_this_val(i);

		if (c->version > since)
			text_cells(&text, c, 1);
	}
	kernel_unlock(k, t->lock);
	blob = rp_blob_new(text.data, text.len);
	text_finish(&text);
	if (!blob)
		abort();
	return blob;
}

int table_apply_delta(struct rp_kernel *k, rp_ms now, const void *data,
		      size_t len, struct rp_actions *acts)
{
	struct rp_str text = { data, len };
	struct rp_str line = text_next_line(&text);
	struct rp_cells cells = { 0 };
	struct rp_table_head head;
	int64_t since;
	int applied = 0;

	if (text_parse_number(text_next_field(&line), &since) &&
	    head_parse(line, &head) && cells_parse(&cells, text))
		applied = table_apply(k, now, since, &head, cells.list,
				      cells.len, acts);
	free(cells.list);
	kernel_lock(k, k->table.lock);
	if (applied)
		k->table.counters.from_peers++;
	else
		k->table.counters.gaps++;
	kernel_unlock(k, k->table.lock);
	return applied;
}

/* Stores the version that a member reported; needs the table's lock. */
static void set_peer_version(struct rp_table *t, rp_ms now, const char *vm,
			     int64_t version)
{
	struct rp_table_peer *p;

	p = apr_hash_get(t->peers, vm, APR_HASH_KEY_STRING);
	if (!p) {
		p = apr_pcalloc(t->pool, sizeof(*p));
		str_copy(p->name, sizeof(p->name), str_of(vm));
		apr_hash_set(t->peers, p->name, APR_HASH_KEY_STRING, p);
	}
	/* Lower than before if the entry VM restarted without a table. */
	p->version = version;
	p->reported_at = now;
}

void table_version_received(struct rp_kernel *k, rp_ms now, const char *vm,
			    int64_t version, struct rp_actions *acts)
{
	RpEnvelope env = RP_ENVELOPE__INIT;
	struct rp_table *t = &k->table;
	int ask;

	kernel_lock(k, t->lock);
	set_peer_version(t, now, vm, version);
	ask = version > t->version && t->request_due <= now;
	if (ask)
		t->request_due = now + REQUEST_INTERVAL_MS;
	env.table_since = t->version;
	kernel_unlock(k, t->lock);
	env.table_ask = 1;
	if (ask)
		peer_send(k, now, vm, &env, acts);
}

void table_request_received(struct rp_kernel *k, rp_ms now, const char *vm,
			    int64_t since, struct rp_actions *acts)
{
	struct rp_blob *delta = table_pack_delta(k, since);
	RpEnvelope env = RP_ENVELOPE__INIT;

	env.table_delta.data = (uint8_t *)delta->data;
	env.table_delta.len = delta->len;
	peer_send(k, now, vm, &env, acts);
	rp_blob_unref(delta);
}
