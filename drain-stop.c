/* The planned stop: no new keys, finish what runs, then leave. */

#include "rosemary-int.h"

void drain_start(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	struct rp_trace_about about = { .task = -1 };

	(void)acts;
	if (!atomic_exchange(&k->draining, 1))
		trace_event(k, now, RP_TRACE_DRAIN, &about, "started");
}

/* Whether any job of this entry VM has not ended. */
static int has_jobs(struct rp_kernel *k)
{
	size_t jobs = 0;
	unsigned i;

	for (i = 0; i < RP_DISPATCH_SHARDS; i++) {
		struct rp_dispatch *d = &k->dispatch[i];

		kernel_lock(k, d->lock);
		jobs += apr_hash_count(d->jobs);
		kernel_unlock(k, d->lock);
	}
	return jobs > 0;
}

void drain_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	struct rp_trace_about about = { .task = -1 };

	if (!atomic_load(&k->draining) || atomic_load(&k->draining) > 1 ||
	    has_jobs(k))
		return;
	atomic_store(&k->draining, 2);
	trace_event(k, now, RP_TRACE_DRAIN, &about, "finished");
	action_add(acts, RP_ACTION_DRAINED);
}

int rp_kernel_ready(struct rp_kernel *k)
{
	return !atomic_load(&k->draining);
}
