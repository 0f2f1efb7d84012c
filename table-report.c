/* Writes the operator's table as JSON, and its metrics. */

#include "rosemary-int.h"

#include <inttypes.h>

/* Writes a weight or limit, null if it is unset. */
static void write_number(struct rp_writer *w, const char *field, int32_t value)
{
	if (value == RP_CELL_UNSET)
		rp_writer_printf(w, ",\"%s\":null", field);
	else
		rp_writer_printf(w, ",\"%s\":%" PRId32, field, value);
}

static void write_cell(struct rp_writer *w, const struct rp_cell *c)
{
	rp_writer_printf(w, "{\"kind\":\"%s\"",
			 c->kind == RP_CELL_TARGET ? "target" : "team");
	writer_json_string(w, ",\"row\":", str_of(c->row));
	writer_json_string(w, ",\"col\":", str_of(c->col));
	write_number(w, "weight", c->weight);
	write_number(w, "limit", c->limit);
	rp_writer_printf(w, ",\"version\":%" PRId64 "}", c->version);
}

static void write_cells(struct rp_writer *w, struct rp_table *t)
{
	const char *comma = "";
	apr_hash_index_t *i;

	rp_writer_printf(w, ",\"cells\":[");
	for (i = apr_hash_first(NULL, t->cells); i; i = apr_hash_next(i)) {
		rp_writer_printf(w, "%s", comma);
		write_cell(w, apr_hash_this_val(i));
		comma = ",";
	}
	rp_writer_printf(w, "]");
}

static void write_draft(struct rp_writer *w, const struct rp_draft *d)
{
	size_t i;

	writer_json_string(w, "{\"name\":", str_of(d->name));
	writer_json_string(w, ",\"edit_id\":", str_of(d->edit_id));
	rp_writer_printf(w, ",\"base_version\":%" PRId64 ",\"cells\":[",
			 d->base_version);
	for (i = 0; i < d->ncells; i++) {
		rp_writer_printf(w, "%s", i ? "," : "");
		write_cell(w, &d->cells[i]);
	}
	rp_writer_printf(w, "]}");
}

static void write_drafts(struct rp_writer *w, const struct rp_table *t)
{
	const struct rp_draft *d;

	rp_writer_printf(w, ",\"drafts\":[");
	for (d = t->drafts; d; d = d->next) {
		rp_writer_printf(w, "%s", d == t->drafts ? "" : ",");
		write_draft(w, d);
	}
	rp_writer_printf(w, "]");
}

/* Writes the versions in force: this entry VM's, and those of its peers. */
static void write_entry_vms(struct rp_kernel *k, rp_ms now, struct rp_writer *w)
{
	struct rp_table *t = &k->table;
	apr_hash_index_t *i;

	writer_json_string(
		w, ",\"entry_vms\":[{\"name\":", str_of(k->opt.vm_name));
	rp_writer_printf(w, ",\"version\":%" PRId64 ",\"age_ms\":0}",
			 t->version);
	for (i = apr_hash_first(NULL, t->peers); i; i = apr_hash_next(i)) {
		const struct rp_table_peer *p = apr_hash_this_val(i);

		writer_json_string(w, ",{\"name\":", str_of(p->name));
		rp_writer_printf(w,
				 ",\"version\":%" PRId64 ",\"age_ms\":%" PRId64
				 "}",
				 p->version, now - p->reported_at);
	}
	rp_writer_printf(w, "]");
}

void rp_kernel_table(struct rp_kernel *k, rp_ms now, struct rp_writer *w)
{
	struct rp_table *t = &k->table;

	kernel_lock(k, t->lock);
	rp_writer_printf(w, "{\"version\":%" PRId64, t->version);
	writer_json_string(w, ",\"edit_id\":", str_of(t->edit_id));
	if (t->platform_answered)
		rp_writer_printf(w,
				 ",\"platform_age_ms\":"
				 "%" PRId64 ",\"platform_version\":%" PRId64,
				 now - t->platform_answer_at,
				 t->platform_head.version);
	else
		rp_writer_printf(w, ",\"platform_age_ms\":null");
	write_cells(w, t);
	write_drafts(w, t);
	write_entry_vms(k, now, w);
	kernel_unlock(k, t->lock);
	rp_writer_printf(w, "}\n");
}

void table_write_metrics(struct rp_kernel *k, struct rp_writer *w)
{
	struct rp_table_counters c;
	int64_t version;

	kernel_lock(k, k->table.lock);
	c = k->table.counters;
	version = k->table.version;
	kernel_unlock(k, k->table.lock);
	write_counter(w, "table_version", (uint64_t)version);
	write_counter(w, "table_polls_total", c.polls);
	write_counter(w, "table_poll_failures_total", c.poll_failures);
	write_counter(w, "table_deltas_total", c.deltas);
	write_counter(w, "table_scans_total", c.scans);
	write_counter(w, "table_from_peers_total", c.from_peers);
	write_counter(w, "table_gaps_total", c.gaps);
	write_counter(w, "table_backward_total", c.backward);
	write_counter(w, "table_diverged_total", c.diverged);
	write_counter(w, "edits_accepted_total", c.accepted);
	write_counter(w, "edits_conflict_total", c.conflicts);
	write_counter(w, "edits_refused_total", c.refused);
	write_counter(w, "edits_unsettled_total", c.unsettled);
	write_counter(w, "edits_raced_total", c.raced);
}
