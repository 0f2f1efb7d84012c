/* Metrics of claims. */

#include "rosemary-int.h"

void claim_write_metrics(struct rp_kernel *k, struct rp_writer *w)
{
	struct rp_claim_counters c;
	size_t queued;

	kernel_lock(k, k->claims.lock);
	c = k->claims.counters;
	queued = k->claims.nqueued;
	kernel_unlock(k, k->claims.lock);
	write_counter(w, "claims_total", c.claimed);
	write_counter(w, "claims_taken_total", c.taken);
	write_counter(w, "claims_refused_total", c.refused);
	write_counter(w, "claims_overdue_total", c.overdue);
	write_counter(w, "claim_commits_total", c.commits);
	write_counter(w, "claim_commits_lost_total", c.lost_commits);
	write_counter(w, "claim_conflicts_total", c.conflicts);
	write_counter(w, "claim_read_backs_total", c.read_backs);
	write_counter(w, "claims_swept_total", c.swept);
	write_counter(w, "claims_queued", queued);
}
