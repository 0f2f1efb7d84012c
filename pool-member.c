/* The pool's entry VMs: who leads, links to it, what goes over them. */

#include "pool.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BROKEN_MS 250	  /* a member may come back within */
#define SILENT_MS 500	  /* a member is gone after */
#define DIAL_MS 100	  /* between attempts to reach the leader */
#define HAND_OVER_MS 1000 /* in office, before it is left to a larger VM */
/* A VM with so many times the processor of this one is to lead. */
#define LARGER 2

static int is_me(const struct pool *p, const char *vm)
{
	return !strcmp(vm, p->set.vm_name);
}

/* --- heartbeats ------------------------------------------------------ */

int64_t pool_processor(const struct pool *p)
{
	return p->set.processor * p->set.speed / 1000;
}

/* The more processor the better, and best in another failure domain. */
static int succeeds_before(const struct pool *p, const struct pool_member *a,
			   const struct pool_member *b)
{
	if (a->processor != b->processor)
		return a->processor > b->processor;
	return strcmp(a->failure_domain, p->set.failure_domain) != 0 &&
	       !strcmp(b->failure_domain, p->set.failure_domain);
}

static int is_among(char *const *names, size_t n, const char *vm)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (names[i] == vm)
			return 1;
	return 0;
}

static size_t list_successors(struct pool *p, char **names, size_t max)
{
	size_t n;

	for (n = 0; n < max; n++) {
		struct pool_member *m, *best = NULL;

		for (m = p->members; m; m = m->next) {
			if (!m->link || is_among(names, n, m->vm) ||
			    (p->lead.store_lost && !m->store))
				continue;
			if (!best || succeeds_before(p, m, best))
				best = m;
		}
		if (!best)
			break;
		names[n] = best->vm;
	}
	return n;
}

/* Queues with jobs that wait; those that none waits in any more, once. */
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
		if (!q->waiting)
			continue;
		pool_waiting__init(&list[n]);
		list[n].queue = q->name;
		list[n++].jobs = q->waiting;
	}
	return n;
}

#define WAITING_MAX 64

struct beat_parts {
	char *successors[LEAD_SUCCESSORS];
	PoolWaiting waiting[WAITING_MAX];
	PoolWaiting *list[WAITING_MAX];
};

static void fill_beat(struct pool *p, PoolBeat *beat, struct beat_parts *parts)
{
	size_t i;

	pool_beat__init(beat);
	beat->vm = p->set.vm_name;
	beat->fence = p->lead.row.fence;
	beat->leader = p->lead.row.vm;
	beat->leader_address = p->lead.row.address;
	beat->leading = p->leading;
	beat->hears = p->leading || lead_in_touch(&p->lead, p->now);
	beat->resigns = p->lead.resigning;
	beat->store = !p->lead.store_lost;
	if (!p->leading)
		return;
	beat->successors = parts->successors;
	beat->n_successors =
		list_successors(p, parts->successors, LEAD_SUCCESSORS);
	beat->n_waiting = list_waiting(p, parts->waiting, WAITING_MAX);
	beat->waiting = parts->list;
	beat->waits = p->sched.jobs_read;
	for (i = 0; i < beat->n_waiting; i++)
		parts->list[i] = &parts->waiting[i];
}

void pool_send_beat(struct pool *p, struct pool_link *l)
{
	PoolFrame frame = POOL_FRAME__INIT;
	struct beat_parts parts;
	PoolBeat beat;

	fill_beat(p, &beat, &parts);
	frame.body_case = POOL_FRAME__BODY_BEAT;
	frame.beat = &beat;
	pool_link_send(l, &frame);
}

static void send_beats(struct pool *p)
{
	struct pool_member *m;

	if (p->now - p->beat_at < LEAD_BEAT_MS)
		return;
	p->beat_at = p->now;
	if (p->to_leader)
		pool_send_beat(p, p->to_leader);
	for (m = p->members; p->leading && m; m = m->next)
		if (m->link)
			pool_send_beat(p, m->link);
}

/* Dials all other entry VMs that the store names, to ask or to tell. */
void pool_dial_all(struct pool *p, int tell)
{
	struct pool_vm *vm;

	for (vm = p->vms; vm; vm = vm->next) {
		struct pool_link *l;

		if (is_me(p, vm->vm))
			continue;
		l = pool_link_dial(p, vm->vm, vm->address, 1);
		if (l && tell)
			pool_send_beat(p, l);
	}
}

/* --- members of the pool that this VM leads -------------------------- */

static void member_gone(struct pool *p, struct pool_member *m, const char *why)
{
	struct pool_member **at = &p->members;

	LOG_EVENT(LOG_LEVEL_INFO, "member_gone", LOG_TEXT("member", m->vm),
		  LOG_TEXT("why", why));
	sched_owner_gone(&p->sched, m, p->now);
	p->sched_dirty = 1;
	pool_agent_lost(p, m);
	while (*at != m)
		at = &(*at)->next;
	*at = m->next;
	if (m->link)
		m->link->member = NULL;
	pool_free_later(p, m);
}

static struct pool_member *find_member(struct pool *p, const char *vm)
{
	struct pool_member *m;

	for (m = p->members; m; m = m->next)
		if (!strcmp(m->vm, vm))
			return m;
	return NULL;
}

int pool_all_linked(struct pool *p)
{
	struct pool_vm *vm;

	for (vm = p->vms; vm; vm = vm->next) {
		const struct pool_member *m = find_member(p, vm->vm);

		if (!is_me(p, vm->vm) &&
		    (!m || !m->link ||
		     p->now - m->link->heard_at > LEAD_SILENT_MS))
			return 0;
	}
	return 1;
}

static struct pool_member *member_new(struct pool *p, const PoolHello *hello)
{
	struct pool_member *m = calloc(1, sizeof(*m));

	str_copy(m->vm, sizeof(m->vm), str_of(hello->vm));
	str_copy(m->address, sizeof(m->address), str_of(hello->address));
	str_copy(m->failure_domain, sizeof(m->failure_domain),
		 str_of(hello->failure_domain));
	m->processor = hello->processor;
	m->incarnation = hello->incarnation;
	m->joined_at = p->now;
	m->next = p->members;
	p->members = m;
	LOG_EVENT(LOG_LEVEL_INFO, "member_joined", LOG_TEXT("member", m->vm),
		  LOG_NUMBER("incarnation", (long long)m->incarnation));
	return m;
}

static void on_hello(struct pool_link *l, const PoolHello *hello)
{
	struct pool *p = l->p;
	struct pool_member *m;

	str_copy(l->peer, sizeof(l->peer), str_of(hello->vm));
	l->probe = hello->probe;
	if (p->leading && !l->probe) {
		m = find_member(p, hello->vm);
		if (m && m->incarnation != hello->incarnation) {
			member_gone(p, m, "another incarnation");
			m = NULL;
		}
		if (!m)
			m = member_new(p, hello);
		if (m->link)
			m->link->member = NULL;
		m->link = l;
		l->member = m;
	}
	pool_send_beat(p, l);
}

static void tend_members(struct pool *p)
{
	struct pool_member *m, *next;

	for (m = p->members; m; m = next) {
		next = m->next;
		if (m->link && p->now - m->link->heard_at > SILENT_MS)
			pool_link_close(m->link, "member is silent");
		if (!m->link && p->now - m->broken_at > BROKEN_MS)
			member_gone(p, m, "link is broken");
	}
}

void pool_members_clear(struct pool *p)
{
	while (p->members) {
		struct pool_member *m = p->members;

		p->members = m->next;
		if (m->link) {
			m->link->member = NULL;
			pool_link_close(m->link, "no longer leads");
		}
		pool_free_later(p, m);
	}
}

/* --- the link to the leader ------------------------------------------ */

static void dial_leader(struct pool *p)
{
	if (p->leading || p->to_leader || !p->lead.row.fence ||
	    is_me(p, p->lead.row.vm) || p->now < p->dial_at)
		return;
	p->dial_at = p->now + DIAL_MS;
	p->mark = p->mark_told = 0; /* of a former link */
	p->to_leader =
		pool_link_dial(p, p->lead.row.vm, p->lead.row.address, 0);
	if (p->to_leader)
		pool_requests_resubmit(p);
}

/* A connection may be dead without a sign; another one may work. */
static void check_leader_link(struct pool *p)
{
	struct pool_link *l = p->to_leader;

	if (l && p->now - l->heard_at >= LEAD_REDIAL_MS) {
		p->dial_at = p->now;
		pool_link_close(l, "leader is silent");
	}
}

static void on_beat(struct pool_link *l, PoolFrame *frame)
{
	struct pool *p = l->p;
	PoolBeat *b = frame->beat;
	struct lead_beat beat = {
		.fence = b->fence,
		.vm = b->vm,
		.leader = b->leader,
		.address = b->leader_address,
		.leading = b->leading,
		.hears = b->hears,
		.resigns = b->resigns,
		.nsuccessors = b->n_successors,
		.successors = b->successors,
	};

	if (l == p->to_leader && !b->leading) {
		/* Another process at its address, or it lost its office. */
		lead_beat(&p->lead, &beat, p->now);
		if (l == p->to_leader && b->fence <= p->lead.row.fence)
			lead_refused(&p->lead, p->now);
		return;
	}
	if (l->member)
		l->member->store = b->store;
	lead_beat(&p->lead, &beat, p->now);
	if (l == p->to_leader && b->leading) {
		pool_beat__free_unpacked(p->heard, NULL);
		p->heard = b;
		frame->beat = NULL;
		frame->body_case = POOL_FRAME__BODY__NOT_SET;
	}
	if (l->probe && !l->inbound)
		pool_link_close(l, "");
}

int pool_waiting(struct pool *p, const char *queue, unsigned *jobs)
{
	struct sched_queue *q;
	size_t i;

	*jobs = 0;
	if (p->leading) {
		q = apr_hash_get(p->sched.queues, queue, APR_HASH_KEY_STRING);
		*jobs = q ? q->waiting : 0;
		return p->sched.jobs_read;
	}
	if (!p->heard || !p->heard->waits || !lead_in_touch(&p->lead, p->now))
		return 0;
	for (i = 0; i < p->heard->n_waiting; i++)
		if (!strcmp(p->heard->waiting[i]->queue, queue))
			*jobs = p->heard->waiting[i]->jobs;
	return 1;
}

void pool_frame(struct pool_link *l, PoolFrame *frame)
{
	struct pool *p = l->p;

	switch (frame->body_case) {
	case POOL_FRAME__BODY_HELLO:
		on_hello(l, frame->hello);
		break;
	case POOL_FRAME__BODY_BEAT:
		on_beat(l, frame);
		break;
	case POOL_FRAME__BODY_SUBMIT:
		if (p->leading && l->member)
			pool_submit(p, l->member, frame->submit);
		break;
	case POOL_FRAME__BODY_CANCEL:
		if (!p->leading || !l->member)
			break;
		sched_cancel(&p->sched, l->member, frame->cancel->seq, p->now);
		p->sched_dirty = 1;
		break;
	case POOL_FRAME__BODY_ANSWER:
		if (l != p->to_leader)
			break;
		p->mark = frame->answer->mark;
		pool_request_answer(p, frame->answer);
		break;
	case POOL_FRAME__BODY_PROGRESS:
		if (l != p->to_leader)
			break;
		p->mark = frame->progress->mark;
		pool_request_progress(p, frame->progress);
		break;
	case POOL_FRAME__BODY_HEARD:
		if (p->leading && l->member)
			sched_heard(&p->sched, l->member, frame->heard->mark,
				    p->now);
		break;
	case POOL_FRAME__BODY_CALL:
		if (l == p->to_leader)
			pool_agent_asked(p, frame->call);
		break;
	case POOL_FRAME__BODY_REPLY:
		if (p->leading && l->member)
			pool_agent_answered(p, l->member, frame->reply);
		break;
	default:
		log_warn("link", l->peer, "frame of an unknown kind");
	}
}

void pool_link_closed(struct pool_link *l, const char *why, int refused)
{
	struct pool *p = l->p;

	if (l == p->to_leader) {
		p->to_leader = NULL;
		LOG_EVENT(LOG_LEVEL_WARN, "link_lost",
			  LOG_TEXT("leader", l->peer), LOG_TEXT("why", why),
			  LOG_NUMBER("age_ms", p->now - l->opened_at));
		if (refused)
			lead_refused(&p->lead, p->now);
	}
	if (l->member) {
		pool_agent_lost(p, l->member);
		l->member->link = NULL;
		l->member->broken_at = p->now;
		l->member = NULL;
	}
}

/*
 * A small VM that came into office when there was no other lets a larger one
 * lead, and one that has lost the store lets one lead that has not: it would
 * not hear of new jobs, and of targets that come and go.
 */
static void hand_over(struct pool *p)
{
	const struct pool_member *m;
	char *first;

	if (p->lead.resigning || lead_alone(&p->lead) ||
	    p->now - p->sched.since < HAND_OVER_MS ||
	    !list_successors(p, &first, 1))
		return;
	m = find_member(p, first);
	if (!p->lead.store_lost && m->processor < LARGER * pool_processor(p))
		return;
	LOG_EVENT(LOG_LEVEL_INFO, "hands_over", LOG_TEXT("successor", first),
		  LOG_NUMBER("store_lost", p->lead.store_lost),
		  LOG_NUMBER("processor", pool_processor(p)));
	lead_resign(&p->lead);
}

/* --- start and tick --------------------------------------------------- */

int pool_members_init(struct pool *p)
{
	pool_lead_init(p);
	str_copy(p->self.vm, sizeof(p->self.vm), str_of(p->set.vm_name));
	return 0;
}

void pool_members_tick(struct pool *p, rp_ms now)
{
	check_leader_link(p);
	dial_leader(p);
	send_beats(p);
	pool_agent_tick(p, now);
	if (p->leading) {
		tend_members(p);
		hand_over(p);
	}
	pool_lead_tick(p, now);
}

void pool_members_paused(struct pool *p, rp_ms now)
{
	if (p->to_leader)
		pool_link_close(p->to_leader, "paused");
	lead_paused(&p->lead, now);
}

/* --- entry VMs named by the store ------------------------------------ */

static void count_others(struct pool *p)
{
	struct pool_vm *vm;

	p->lead.others = p->lead.larger = 0;
	for (vm = p->vms; vm; vm = vm->next) {
		if (is_me(p, vm->vm))
			continue;
		p->lead.others++;
		p->lead.larger += vm->processor >= LARGER * pool_processor(p);
	}
}

void pool_vm_listed(struct pool *p, const PoolHello *from)
{
	struct pool_vm *vm;

	for (vm = p->vms; vm; vm = vm->next)
		if (!strcmp(vm->vm, from->vm))
			break;
	if (!vm) {
		vm = calloc(1, sizeof(*vm));
		vm->next = p->vms;
		p->vms = vm;
	}
	str_copy(vm->vm, sizeof(vm->vm), str_of(from->vm));
	str_copy(vm->address, sizeof(vm->address), str_of(from->address));
	vm->processor = from->processor;
	count_others(p);
}

void pool_vm_unlisted(struct pool *p, const char *name)
{
	struct pool_vm **at = &p->vms, *vm;

	while ((vm = *at)) {
		if (strcmp(vm->vm, name) != 0) {
			at = &vm->next;
			continue;
		}
		*at = vm->next;
		free(vm);
	}
	count_others(p);
}
