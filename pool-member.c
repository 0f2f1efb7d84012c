/* Entry VMs of the pool: the members of a leader, and the link to a leader. */

#include "pool.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RECONNECT_MS 250 /* time for a member to reconnect */
/*
 * Age of the latest heartbeat that a member has echoed after which its link is
 * closed.
 */
#define MEMBER_TIMEOUT_MS 500
#define DIAL_INTERVAL_MS 100 /* between attempts to connect to the leader */

/* --- on the leader: its members -------------------------------------- */

static void remove_member(struct pool *p, struct pool_member *m,
			  const char *reason)
{
	struct pool_member **at = &p->members;

	LOG_EVENT(LOG_LEVEL_INFO, "member_removed", LOG_TEXT("member", m->vm),
		  LOG_TEXT("why", reason));
	sched_owner_lost(&p->sched, m, p->now);
	p->dispatch_due = 1;
	pool_agent_unavailable(p, m);
	while (*at != m)
		at = &(*at)->next;
	*at = m->next;
	if (m->link)
		m->link->member = NULL;
	pool_defer_free(p, m);
}

struct pool_member *pool_find_member(struct pool *p, const char *vm)
{
	struct pool_member *m;

	for (m = p->members; m; m = m->next)
		if (!strcmp(m->vm, vm))
			return m;
	return NULL;
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

/*
 * Whether the link is for this VM's present term. A link of an earlier term may
 * deliver its messages late, when their jobs are with another leader already.
 */
static int is_for_this_term(const struct pool_link *l, const PoolHello *hello)
{
	const struct pool *p = l->p;

	if (hello->fence == p->lead.row.fence)
		return 1;
	LOG_EVENT(LOG_LEVEL_INFO, "member_refused",
		  LOG_TEXT("member", hello->vm),
		  LOG_NUMBER("hello_fence", (long long)hello->fence),
		  LOG_NUMBER("fence", (long long)p->lead.row.fence));
	return 0;
}

static void on_hello(struct pool_link *l, const PoolHello *hello)
{
	struct pool *p = l->p;
	struct pool_member *m;

	str_copy(l->peer, sizeof(l->peer), str_of(hello->vm));
	l->probe = hello->probe;
	l->starts = hello->starts;
	if (l->starts)
		return;
	pool_vm_learn(p, hello);
	pool_vm_is_up(p, hello->vm);
	if (!l->probe)
		lead_claim_reported(&p->lead, hello->fence,
				    hello->leader_incarnation, p->now);
	if (p->leading && !l->probe && is_for_this_term(l, hello)) {
		m = pool_find_member(p, hello->vm);
		if (m && m->incarnation != hello->incarnation) {
			remove_member(p, m, "another incarnation");
			m = NULL;
		}
		if (m)
			sched_owner_returned(&p->sched, m, p->now);
		else
			m = member_new(p, hello);
		if (m->link) {
			m->link->member = NULL;
			pool_agent_unavailable(p, m);
		}
		m->link = l;
		m->echoes = hello->echoes;
		m->echoed_at = 0;
		m->listing_version = hello->listing_version;
		m->gets_listings = 0;
		l->member = m;
	}
	pool_send_heartbeat(p, l);
}

/*
 * When the member certainly followed this leader. Data that has just come does
 * not show it: a link can deliver it when its sender has closed the link, and
 * has submitted its jobs to another leader, long ago.
 */
rp_ms pool_member_followed_at(const struct pool_member *m)
{
	if (!m->echoes)
		return m->link->received_at;
	return m->echoed_at ? m->echoed_at : m->link->opened_at;
}

static void echo_received(struct pool_member *m, uint64_t echo, rp_ms now)
{
	if (echo <= (uint64_t)now && (rp_ms)echo > m->echoed_at)
		m->echoed_at = (rp_ms)echo;
}

/* Whether jobs that come over the link are still those of its member. */
static int is_current(const struct pool *p, const struct pool_member *m)
{
	return !m->echoes ||
	       (m->echoed_at && p->now - m->echoed_at <= MEMBER_TIMEOUT_MS);
}

/*
 * A member that has not echoed for as long as a VM hears no leader at most may
 * follow another one, which runs its jobs, until it is removed here.
 */
static void check_silence(struct pool *p, struct pool_member *m)
{
	int silent = !m->link ||
		     p->now - pool_member_followed_at(m) > LEAD_SILENCE_MAX_MS;

	if (silent == m->silent)
		return;
	m->silent = silent;
	sched_owner_silent(&p->sched, m, silent, p->now);
	p->dispatch_due |= !silent;
}

/* Closes the links of silent members; removes those that don't reconnect. */
static void check_members(struct pool *p)
{
	struct pool_member *m, *next;

	for (m = p->members; m; m = next) {
		next = m->next;
		if (m->link &&
		    p->now - pool_member_followed_at(m) > MEMBER_TIMEOUT_MS)
			pool_link_close(m->link, "member timed out");
		check_silence(p, m);
		if (!m->link && p->now - m->disconnected_at > RECONNECT_MS)
			remove_member(p, m, "did not reconnect");
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
		pool_defer_free(p, m);
	}
}

/* --- the link to the leader ------------------------------------------ */

static void dial_leader(struct pool *p)
{
	if (p->leading || p->leader_link || !p->lead.row.fence ||
	    pool_is_self(p, p->lead.row.vm) || p->now < p->dial_due)
		return;
	p->dial_due = p->now + DIAL_INTERVAL_MS;
	/* The marks were received over the previous link. */
	p->received_mark = p->acked_mark = 0;
	pool_agent_reset(p);
	p->leader_link = pool_link_dial(p, p->lead.row.vm, p->lead.row.address,
					POOL_LINK_MEMBER);
}

/* Replaces a silent link, as a TCP connection can fail without an error. */
static void check_leader_link(struct pool *p)
{
	struct pool_link *l = p->leader_link;

	if (l && p->now - l->received_at >= lead_reconnect_limit(&p->lead)) {
		p->dial_due = p->now;
		pool_link_close(l, "leader timed out");
	}
}

/*
 * Completes a brief heartbeat from the one before on the link. Returns the
 * complete one, or NULL.
 */
static const PoolBeat *complete_heartbeat(struct pool_link *l, PoolFrame *frame)
{
	const PoolBeat *msg = frame->beat;

	if (!msg->brief) {
		pool_beat__free_unpacked(l->heartbeat, NULL);
		l->heartbeat = frame->beat;
		frame->beat = NULL;
		frame->body_case = POOL_FRAME__BODY__NOT_SET;
		return l->heartbeat;
	}
	if (!l->heartbeat) {
		log_warn("link", l->peer, "brief heartbeat without one before");
		return NULL;
	}
	l->heartbeat->hears = msg->hears;
	l->heartbeat->store = msg->store;
	l->heartbeat->waits = msg->waits;
	l->heartbeat->stored = msg->stored;
	l->heartbeat->agents = msg->agents;
	l->heartbeat->list_confirmed = msg->list_confirmed;
	l->heartbeat->clock = msg->clock;
	l->heartbeat->callers_wait_ms = msg->callers_wait_ms;
	l->heartbeat->no_memory = msg->no_memory;
	l->heartbeat->echo = msg->echo;
	return l->heartbeat;
}

/*
 * Keeps what the leader says of its queues, also after its link is lost. The
 * first heartbeat of the term over a link shows that the leader takes jobs over
 * it: in another term it drops them.
 */
static void leader_heartbeat_received(struct pool *p, const PoolBeat *msg)
{
	struct pool_link *l = p->leader_link;

	l->peer_clock = msg->clock;
	l->peer_clock_at = p->now;
	if (!l->greeted && msg->fence == p->lead.row.fence) {
		l->greeted = 1;
		pool_send_heartbeat(p, l);
		pool_requests_resubmit(p);
	}
	pool_listing_heartbeat_received(p, msg);
	pool_callers_wait_received(p, msg->callers_wait_ms);
	if (msg->waits)
		p->has_stored_jobs = msg->stored || p->accepted_stored_job;
	pool_beat__free_unpacked(p->leader_heartbeat, NULL);
	p->leader_heartbeat = pool_heartbeat_copy(msg);
}

static void on_heartbeat(struct pool_link *l, PoolFrame *frame)
{
	struct pool *p = l->p;
	const PoolBeat *msg = complete_heartbeat(l, frame);
	struct lead_heartbeat hb;
	struct pool_vm *vm;

	if (!msg)
		return;
	vm = pool_find_vm(p, msg->vm);
	if (vm && (!msg->hears || msg->fence == p->lead.row.fence))
		vm->answered = 1;
	hb = (struct lead_heartbeat){
		.fence = msg->fence,
		.vm = msg->vm,
		.leader = msg->leader,
		.address = msg->leader_address,
		.leading = msg->leading,
		.hears_leader = msg->hears,
		.resigns = msg->resigns,
		.stops = msg->stops,
		.nlinked = msg->linked,
		.nsuccessors = msg->n_successors,
		.successors = msg->successors,
	};
	if (l == p->leader_link && !msg->leading) {
		/*
		 * The VM at the leader's address doesn't lead: it was restarted
		 * or replaced, or it has resigned.
		 */
		lead_heartbeat(&p->lead, &hb, p->now);
		if (l == p->leader_link && msg->fence <= p->lead.row.fence)
			lead_connection_refused(&p->lead, p->now);
		return;
	}
	pool_evacuations_received(p, msg);
	if (l->member) {
		l->member->store_reachable = msg->store;
		echo_received(l->member, msg->echo, p->now);
	}
	lead_heartbeat(&p->lead, &hb, p->now);
	if (l == p->leader_link && msg->leading)
		leader_heartbeat_received(p, msg);
	if (l->probe && !l->inbound)
		pool_link_close(l, "");
}

void pool_frame_received(struct pool_link *l, PoolFrame *frame)
{
	struct pool *p = l->p;

	if (l->answers_only && frame->body_case != POOL_FRAME__BODY_ANSWER &&
	    frame->body_case != POOL_FRAME__BODY_PROGRESS)
		return;
	switch (frame->body_case) {
	case POOL_FRAME__BODY_HELLO:
		on_hello(l, frame->hello);
		break;
	case POOL_FRAME__BODY_BEAT:
		on_heartbeat(l, frame);
		break;
	case POOL_FRAME__BODY_SUBMIT:
		if (!p->leading || !l->member)
			break;
		if (!is_current(p, l->member))
			pool_link_close(l, "late submission");
		else if (sched_submit_is_valid(frame->submit))
			pool_schedule_job(p, l->member, frame->submit);
		else
			pool_link_close(l, "malformed submission");
		break;
	case POOL_FRAME__BODY_CANCEL:
		if (!p->leading || !l->member)
			break;
		sched_cancel(&p->sched, l->member, frame->cancel->seq, p->now);
		p->dispatch_due = 1;
		break;
	case POOL_FRAME__BODY_ANSWER:
		if (l != p->leader_link)
			break;
		p->received_mark = frame->answer->mark;
		pool_request_answer_received(p, frame->answer);
		break;
	case POOL_FRAME__BODY_PROGRESS:
		if (l != p->leader_link)
			break;
		p->received_mark = frame->progress->mark;
		pool_request_progress_received(p, frame->progress);
		break;
	case POOL_FRAME__BODY_HEARD:
		if (l->starts)
			pool_runs_acked(l, frame->heard->mark);
		else if (p->leading && l->member)
			sched_owner_acked(&p->sched, l->member,
					  frame->heard->mark, p->now);
		break;
	case POOL_FRAME__BODY_ORDER:
		if (l == p->leader_link)
			pool_order_received(p, frame->order);
		break;
	case POOL_FRAME__BODY_START:
		if (l == p->leader_link)
			pool_start_received(p, frame->start);
		break;
	case POOL_FRAME__BODY_RUN:
		if (l->starts && l->inbound)
			pool_run_received(p, l, frame->run);
		break;
	case POOL_FRAME__BODY_LISTINGS:
		if (l == p->leader_link)
			pool_listings_received(p, frame->listings);
		break;
	case POOL_FRAME__BODY_STATE_QUERY:
		if (p->leading && l->member)
			pool_state_query_received(p, l->member,
						  frame->state_query);
		break;
	case POOL_FRAME__BODY_STATE_REPLY:
		if (l == p->leader_link)
			pool_job_state_received(p, frame->state_reply);
		break;
	case POOL_FRAME__BODY_COUNT_QUERY:
		if (p->leading && l->member)
			pool_count_query_received(p, l, frame->count_query);
		break;
	case POOL_FRAME__BODY_COUNT_REPLY:
		if (l == p->leader_link)
			pool_count_reply_received(p, frame->count_reply);
		break;
	case POOL_FRAME__BODY_REPLY:
		if (p->leading && l->member)
			pool_reply_received(p, l->member, frame->reply);
		break;
	default:
		log_warn("link", l->peer, "unknown kind of frame");
	}
}

void pool_link_on_close(struct pool_link *l, const char *reason, int refused)
{
	struct pool *p = l->p;
	struct pool_vm *vm = pool_find_vm(p, l->peer);

	if (vm && refused) {
		vm->refused = 1;
		vm->refused_at = p->now;
	}
	if (l == p->leader_link) {
		p->leader_link = NULL;
		LOG_EVENT(LOG_LEVEL_WARN, "link_lost",
			  LOG_TEXT("leader", l->peer), LOG_TEXT("why", reason),
			  LOG_NUMBER("age_ms", p->now - l->opened_at));
		if (refused)
			lead_connection_refused(&p->lead, p->now);
	}
	if (l->member) {
		pool_agent_unavailable(p, l->member);
		l->member->link = NULL;
		l->member->disconnected_at = p->now;
		check_silence(p, l->member);
		l->member = NULL;
	}
}

/* --- start and tick --------------------------------------------------- */

int pool_members_init(struct pool *p)
{
	pool_lead_init(p);
	pool_agent_init(p);
	str_copy(p->self.vm, sizeof(p->self.vm), str_of(p->set.vm_name));
	return 0;
}

void pool_members_tick(struct pool *p, rp_ms now)
{
	check_leader_link(p);
	dial_leader(p);
	pool_send_heartbeats(p);
	pool_agents_tick(p, now);
	pool_orders_tick(p, now);
	if (p->leading) {
		check_members(p);
		pool_check_missing_owners(p);
		pool_vms_tick(p);
		pool_check_handover(p);
	}
	pool_lead_tick(p, now);
}

void pool_handle_pause(struct pool *p, rp_ms ms)
{
	struct pool_link *l;

	/* Callers may still wait for answers that came during the pause. */
	if (p->leader_link)
		pool_link_read_answers(p->leader_link);
	if (p->leader_link)
		pool_link_close(p->leader_link, "paused");
	/* What came meanwhile has not been read yet. */
	for (l = p->links; l; l = l->next)
		l->received_at = p->now;
	lead_paused(&p->lead, ms, p->now);
	if (p->leading)
		sched_suspend(&p->sched, !lead_may_act(&p->lead), p->now);
}
