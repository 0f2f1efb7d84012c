/* Writes the members into the status document. */

#include "rosemary-int.h"

static void report_entry(struct rp_writer *w, const struct rp_member_entry *e,
			 rp_ms now)
{
	static const char *const states[] = { "live", "suspect", "leaving",
					      "gone" };

	writer_json_string(w, "{\"name\":", str_of(e->m.name));
	writer_json_string(w,
			   ",\"failure_domain\":", str_of(e->m.failure_domain));
	writer_json_string(w, ",\"state\":", str_of(states[e->m.state]));
	rp_writer_printf(w,
			 ",\"incarnation\":%llu,\"heard_ms\":%lld,"
			 "\"link_down\":%d,\"table_version\":%lld,"
			 "\"load\":%.0f}",
			 (unsigned long long)e->m.incarnation,
			 (long long)(now - e->last_seen_at), e->link_down,
			 (long long)e->m.table_version, e->m.load);
}

void member_write_status(struct rp_kernel *k, rp_ms now, struct rp_writer *w)
{
	const char *comma = "";
	apr_hash_index_t *h;

	rp_writer_printf(w, ",\"members\":[");
	kernel_lock(k, k->node.lock);
	for (h = apr_hash_first(NULL, k->node.members); h;
	     h = apr_hash_next(h)) {
		rp_writer_printf(w, "%s", comma);
		report_entry(w, apr_hash_this_val(h), now);
		comma = ",";
	}
	kernel_unlock(k, k->node.lock);
	rp_writer_printf(w, "]");
}
