/* Heartbeats between entry VMs: the leader, its successors, waiting jobs. */

#include "pool.h"

#include <stdlib.h>
#include <string.h>

/*
 * Interval of heartbeats that are not brief. Brief ones leave out the leader,
 * its successors and the queues, which seldom change.
 */
#define FULL_INTERVAL_MS 1000
/*
 * Part of the interval of heartbeats for each VM, so that a leader sends at
 * most 200 a second until the interval is at its maximum. Each is a packet, and
 * on links of 2 Mbit/s packets delay each other.
 */
#define INTERVAL_PER_VM_MS 5
/* Time for the VMs to join a new leader. */
#define JOIN_MS 1000

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

/* Memory that a heartbeat message points to. */
struct heartbeat_lists {
	char *successors[LEAD_SUCCESSORS];
	PoolWaiting waiting[POOL_WAITING_MAX];
	PoolWaiting *waiting_ptrs[POOL_WAITING_MAX];
	PoolEvacuation evacuations[POOL_EVACUATIONS_MAX];
	PoolEvacuation *evacuation_ptrs[POOL_EVACUATIONS_MAX];
};

/* VMs linked to this leader, and itself; 0 until they had time to join. */
static uint32_t count_linked(const struct pool *p)
{
	const struct pool_member *m;
	uint32_t n = 1;

	if (p->now - p->sched.started_at < JOIN_MS)
		return 0;
	for (m = p->members; m; m = m->next)
		n += m->link != NULL;
	return n;
}

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
	hb->clock = p->leading ? (uint64_t)p->now : 0;
	hb->hears = p->leading || lead_leader_alive(&p->lead, p->now);
	hb->resigns = p->lead.resigning;
	hb->stops = p->lead.resigning && p->lead.claims_disabled;
	hb->store = !p->lead.store_lost;
	hb->stored = p->has_stored_jobs == 1;
	hb->n_evacuations = pool_evacuations_list(p, lists->evacuations,
						  POOL_EVACUATIONS_MAX);
	hb->evacuations = lists->evacuation_ptrs;
	for (i = 0; i < hb->n_evacuations; i++)
		lists->evacuation_ptrs[i] = &lists->evacuations[i];
	if (!p->leading)
		return;
	hb->agents = pool_needs_agents(p);
	hb->list_confirmed = pool_listing_is_confirmed(p);
	hb->callers_wait_ms = pool_callers_wait_ms(p);
	hb->no_memory = !pool_stored_has_room(p);
	hb->linked = count_linked(p);
	hb->successors = lists->successors;
	hb->n_successors =
		pool_successors(p, lists->successors, LEAD_SUCCESSORS);
	pool_waiting_list(p, hb, lists->waiting);
	hb->waiting = lists->waiting_ptrs;
	hb->waits = p->sched.stored_jobs_loaded;
	for (i = 0; i < hb->n_waiting; i++)
		lists->waiting_ptrs[i] = &lists->waiting[i];
}

/*
 * Of the fields that a brief heartbeat leaves out. Of the queues it has only
 * how many have waiting jobs, as the numbers change all the time under load.
 */
static uint64_t heartbeat_hash(const PoolBeat *hb)
{
	uint64_t hash = hb->fence * 8 + (uint64_t)hb->leading * 4 +
			(uint64_t)hb->resigns * 2 + (uint64_t)hb->stops;
	size_t i;

	hash = hash * 31 + hb->n_waiting;
	hash = hash * 31 + (uint64_t)hb->more_waiting;
	hash = hash * 31 + hb->linked;
	for (i = 0; i < hb->n_evacuations; i++)
		hash = hash * 31 + (uint64_t)hb->evacuations[i]->version;
	hash = hash * 31 + str_hash(str_of(hb->leader));
	for (i = 0; i < hb->n_successors; i++)
		hash = hash * 31 + str_hash(str_of(hb->successors[i]));
	return hash;
}

static void send_beat(struct pool_link *l, PoolBeat *hb)
{
	PoolFrame frame = POOL_FRAME__INIT;

	hb->echo = l->peer_clock;
	frame.body_case = POOL_FRAME__BODY_BEAT;
	frame.beat = hb;
	pool_link_send(l, &frame);
}

static void send_full(struct pool_link *l, PoolBeat *hb, uint64_t hash)
{
	l->sent_heartbeat_hash = hash;
	l->sent_heartbeat_at = l->p->now;
	send_beat(l, hb);
}

static void send_full_or_brief(struct pool_link *l, PoolBeat *hb, uint64_t hash)
{
	PoolBeat brief = POOL_BEAT__INIT;

	if (hash != l->sent_heartbeat_hash ||
	    l->p->now - l->sent_heartbeat_at >= FULL_INTERVAL_MS) {
		send_full(l, hb, hash);
		return;
	}
	brief.brief = 1;
	brief.hears = hb->hears;
	brief.store = hb->store;
	brief.waits = hb->waits;
	brief.stored = hb->stored;
	brief.agents = hb->agents;
	brief.list_confirmed = hb->list_confirmed;
	brief.callers_wait_ms = hb->callers_wait_ms;
	brief.no_memory = hb->no_memory;
	brief.clock = hb->clock;
	send_beat(l, &brief);
}

void pool_send_heartbeat(struct pool *p, struct pool_link *l)
{
	struct heartbeat_lists lists;
	PoolBeat hb;

	fill_heartbeat(p, &hb, &lists);
	send_full(l, &hb, heartbeat_hash(&hb));
}

rp_ms pool_heartbeat_interval(const struct pool *p)
{
	rp_ms interval = (rp_ms)p->lead.nothers * INTERVAL_PER_VM_MS;

	if (interval < LEAD_HEARTBEAT_MIN_MS)
		return LEAD_HEARTBEAT_MIN_MS;
	return interval > LEAD_HEARTBEAT_MS ? LEAD_HEARTBEAT_MS : interval;
}

void pool_send_heartbeats(struct pool *p)
{
	struct heartbeat_lists lists;
	struct pool_member *m;
	PoolBeat hb;
	uint64_t hash;

	if (p->now - p->heartbeat_sent_at < pool_heartbeat_interval(p))
		return;
	p->heartbeat_sent_at = p->now;
	fill_heartbeat(p, &hb, &lists);
	hash = heartbeat_hash(&hb);
	if (p->leader_link)
		send_full_or_brief(p->leader_link, &hb, hash);
	for (m = p->members; p->leading && m; m = m->next)
		if (m->link)
			send_full_or_brief(m->link, &hb, hash);
}

PoolBeat *pool_heartbeat_copy(const PoolBeat *hb)
{
	uint8_t *packed = malloc(pool_beat__get_packed_size(hb));
	size_t n = pool_beat__pack(hb, packed);
	PoolBeat *copy = pool_beat__unpack(NULL, n, packed);

	free(packed);
	return copy;
}
