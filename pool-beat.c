/* Heartbeats between entry VMs: the leader, its successors, waiting jobs. */

#include "pool.h"

#include <string.h>

int64_t pool_processor(const struct pool *p)
{
	return p->set.processor * p->set.processor_speed / 1000;
}

/* Prefers more processor, then a failure domain other than the leader's. */
static int is_better_successor(const struct pool *p,
			       const struct pool_member *a,
			       const struct pool_member *b)
{
	if (a->processor != b->processor)
		return a->processor > b->processor;
	return strcmp(a->failure_domain, p->set.failure_domain) != 0 &&
	       !strcmp(b->failure_domain, p->set.failure_domain);
}

/* Compares pointers, as the names point into the members. */
static int contains(char *const *names, size_t n, const char *vm)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (names[i] == vm)
			return 1;
	return 0;
}

size_t pool_successors(struct pool *p, char **names, size_t max)
{
	size_t n;

	for (n = 0; n < max; n++) {
		struct pool_member *m, *best = NULL;

		for (m = p->members; m; m = m->next) {
			if (!m->link || contains(names, n, m->vm) ||
			    (p->lead.store_lost && !m->store_reachable))
				continue;
			if (!best || is_better_successor(p, m, best))
				best = m;
		}
		if (!best)
			break;
		names[n] = best->vm;
	}
	return n;
}

/* Lists up to max queues that have waiting jobs. Returns how many. */
static size_t list_waiting(struct pool *p, PoolWaiting *list, size_t max)
{
	apr_hash_index_t *i;
	size_t n = 0;

	for (i = apr_hash_first(p->sched.pool, p->sched.queues); i && n < max;
	     i = apr_hash_next(i)) {
		struct sched_queue *q;
		void *value;

		apr_hash_this(i, NULL, NULL, &value);
		q = value;
		if (!q->nwaiting)
			continue;
		pool_waiting__init(&list[n]);
		list[n].queue = q->name;
		list[n++].jobs = q->nwaiting;
	}
	return n;
}

#define WAITING_QUEUES_MAX 64

/* Memory that a heartbeat message points to. */
struct heartbeat_lists {
	char *successors[LEAD_SUCCESSORS];
	PoolWaiting waiting[WAITING_QUEUES_MAX];
	PoolWaiting *waiting_ptrs[WAITING_QUEUES_MAX];
};

static void fill_heartbeat(struct pool *p, PoolBeat *hb,
			   struct heartbeat_lists *lists)
{
	size_t i;

	pool_beat__init(hb);
	hb->vm = p->set.vm_name;
	hb->fence = p->lead.row.fence;
	hb->leader = p->lead.row.vm;
	hb->leader_address = p->lead.row.address;
	hb->leading = p->leading;
	hb->hears = p->leading || lead_leader_alive(&p->lead, p->now);
	hb->resigns = p->lead.resigning;
	hb->store = !p->lead.store_lost;
	hb->stored = p->has_stored_jobs == 1;
	if (!p->leading)
		return;
	hb->successors = lists->successors;
	hb->n_successors =
		pool_successors(p, lists->successors, LEAD_SUCCESSORS);
	hb->n_waiting = list_waiting(p, lists->waiting, WAITING_QUEUES_MAX);
	hb->waiting = lists->waiting_ptrs;
	hb->waits = p->sched.stored_jobs_loaded;
	for (i = 0; i < hb->n_waiting; i++)
		lists->waiting_ptrs[i] = &lists->waiting[i];
}

void pool_send_heartbeat(struct pool *p, struct pool_link *l)
{
	PoolFrame frame = POOL_FRAME__INIT;
	struct heartbeat_lists lists;
	PoolBeat hb;

	fill_heartbeat(p, &hb, &lists);
	frame.body_case = POOL_FRAME__BODY_BEAT;
	frame.beat = &hb;
	pool_link_send(l, &frame);
}

void pool_send_heartbeats(struct pool *p)
{
	struct pool_member *m;

	if (p->now - p->heartbeat_sent_at < LEAD_HEARTBEAT_MS)
		return;
	p->heartbeat_sent_at = p->now;
	if (p->leader_link)
		pool_send_heartbeat(p, p->leader_link);
	for (m = p->members; p->leading && m; m = m->next)
		if (m->link)
			pool_send_heartbeat(p, m->link);
}

int pool_waiting_jobs(struct pool *p, const char *queue, unsigned *jobs)
{
	struct sched_queue *q;
	size_t i;

	*jobs = 0;
	if (p->leading) {
		q = apr_hash_get(p->sched.queues, queue, APR_HASH_KEY_STRING);
		*jobs = q ? q->nwaiting : 0;
		return p->sched.stored_jobs_loaded;
	}
	if (!p->leader_heartbeat || !p->leader_heartbeat->waits ||
	    !lead_leader_alive(&p->lead, p->now))
		return 0;
	for (i = 0; i < p->leader_heartbeat->n_waiting; i++)
		if (!strcmp(p->leader_heartbeat->waiting[i]->queue, queue))
			*jobs = p->leader_heartbeat->waiting[i]->jobs;
	return 1;
}
