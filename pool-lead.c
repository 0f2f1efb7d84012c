/* Connects the election in lead.h to the links, the store and the scheduler. */

#include "pool.h"

#include <stdio.h>
#include <string.h>

/* Least time that a leader leads before it hands over. */
#define MIN_TERM_MS 1000
#define NOTIFY_INTERVAL_MS 100 /* of heartbeats to the previous leader */
/* Time without a leader after which jobs are rejected. */
#define NO_LEADER_MS 1500

/* Records when the leader was alive, and logs when it is lost or regained. */
static void check_leader_alive(struct pool *p)
{
	int alive = lead_leader_alive(&p->lead, p->now);

	pool_count_leaderless(p, alive);
	if (alive)
		p->leader_alive_at = p->now;
	if (alive == p->logged_leader_alive)
		return;
	p->logged_leader_alive = alive;
	LOG_EVENT(alive ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
		  alive ? "leader_regained" : "leader_lost",
		  LOG_TEXT("leader", p->lead.row.vm),
		  LOG_NUMBER("fence", (long long)p->lead.row.fence),
		  LOG_NUMBER("age_ms", p->now - p->lead.heartbeat_at));
}

int pool_leader_expected(const struct pool *p)
{
	rp_ms since = p->leader_alive_at ? p->leader_alive_at : p->started_at;

	return p->leading || p->now - since < NO_LEADER_MS;
}

static void on_claim(struct lead *l, const struct lead_row *row,
		     int64_t expected)
{
	struct pool *p = l->user;

	LOG_EVENT(LOG_LEVEL_INFO, "claim",
		  LOG_NUMBER("fence", (long long)row->fence),
		  LOG_NUMBER("expected_version", expected),
		  LOG_NUMBER("silent_ms", p->now - l->heartbeat_at),
		  LOG_NUMBER("vms_hearing", l->nhearing),
		  LOG_NUMBER("vms_not_hearing", l->nnot_hearing));
	pool_store_claim(p, row, expected);
}

/* Members of a provisional leader need not be asked whom they follow. */
static void count_members_as_answers(struct pool *p)
{
	const struct pool_member *m;

	for (m = p->members; m; m = m->next) {
		struct lead_heartbeat hb = { .fence = p->lead.row.fence,
					     .vm = m->vm,
					     .leader = p->lead.row.vm,
					     .address = p->lead.row.address,
					     .hears_leader = 1 };
		struct pool_vm *vm = pool_find_vm(p, m->vm);

		if (!m->link ||
		    p->now - pool_member_followed_at(m) > LEAD_SILENCE_MAX_MS)
			continue;
		if (vm)
			vm->answered = 1;
		lead_heartbeat(&p->lead, &hb, p->now);
	}
}

static void on_probe(struct lead *l)
{
	struct pool *p = l->user;
	struct pool_vm *vm;

	LOG_EVENT(LOG_LEVEL_WARN, "probe", LOG_TEXT("leader", l->row.vm),
		  LOG_NUMBER("fence", (long long)l->row.fence),
		  LOG_NUMBER("silent_ms", p->now - l->heartbeat_at),
		  LOG_NUMBER("row_version", l->own_row_version),
		  LOG_NUMBER("version_may_be_shared", l->version_may_be_shared),
		  LOG_NUMBER("list", !l->targets_unknown));
	for (vm = p->vms; vm; vm = vm->next)
		vm->answered = vm->refused = 0;
	count_members_as_answers(p);
	pool_dial_unlinked(p);
}

static int domain_answered_as_a_whole(const struct pool *p, const char *domain)
{
	const struct pool_vm *vm;

	for (vm = p->vms; vm; vm = vm->next)
		if (!strcmp(vm->failure_domain, domain) && !vm->answered &&
		    !vm->refused && !vm->left_at &&
		    strcmp(vm->vm, p->set.vm_name) != 0)
			return 0;
	return 1;
}

static int on_domains_answered(struct lead *l)
{
	const struct pool *p = l->user;
	const struct pool_vm *vm;
	int others = 0;

	for (vm = p->vms; vm; vm = vm->next) {
		if (!vm->answered)
			continue;
		if (!domain_answered_as_a_whole(p, vm->failure_domain))
			return 0;
		others |= strcmp(vm->failure_domain, p->set.failure_domain) !=
			  0;
	}
	return others && domain_answered_as_a_whole(p, p->set.failure_domain);
}

int pool_leads_domain(const struct pool *p, const char *domain)
{
	const struct pool_vm *vm;

	if (!lead_is_provisional(&p->lead) || p->lead.all_domains ||
	    !strcmp(domain, p->set.failure_domain))
		return 1;
	for (vm = p->vms; vm; vm = vm->next)
		if (vm->led && !strcmp(vm->failure_domain, domain))
			return 1;
	return 0;
}

/* Returns whether there are more VMs whose domains are led than before. */
static int lead_domains_that_answered(struct pool *p)
{
	struct pool_vm *vm;
	int more = 0;

	for (vm = p->vms; vm; vm = vm->next) {
		more |= vm->answered && !vm->led;
		vm->led |= vm->answered;
	}
	return more;
}

static void on_domains_added(struct lead *l)
{
	struct pool *p = l->user;

	if (lead_domains_that_answered(p) || l->all_domains)
		pool_list_cached_targets(p);
}

static void on_check_reachability(struct lead *l)
{
	pool_check_reachability(l->user);
}

/*
 * Sends heartbeats from a provisional leader to the leader from before this
 * failure domain was partitioned. Once that one replies, this leadership ends.
 */
static void notify_prev_leader(struct pool *p)
{
	const struct lead_row *prev = &p->lead.prev_row;
	struct pool_link *l;

	if (!lead_is_provisional(&p->lead) ||
	    p->now - p->prev_leader_notified_at < NOTIFY_INTERVAL_MS)
		return;
	p->prev_leader_notified_at = p->now;
	if (!prev->address[0] || !strcmp(prev->vm, p->set.vm_name))
		return;
	l = pool_link_dial(p, prev->vm, prev->address, POOL_LINK_PROBE);
	if (l)
		pool_send_heartbeat(p, l);
}

static void on_confirm(struct lead *l)
{
	pool_store_confirm(l->user);
}

static void on_changed(struct lead *l)
{
	struct pool *p = l->user;
	int leads = l->role == LEAD_LEADING;
	struct pool_vm *vm;

	if (leads && p->leading) {
		LOG_EVENT(LOG_LEVEL_INFO, "token_raised",
			  LOG_NUMBER("fence", (long long)l->row.fence),
			  LOG_NUMBER("prev_fence", (long long)p->sched.fence));
		sched_raise_fence(&p->sched, l->row.fence, p->now);
		/* A provisional leader may have left out some domains. */
		pool_list_cached_targets(p);
		return;
	}

	LOG_EVENT(LOG_LEVEL_INFO, leads ? "leads" : "follows",
		  LOG_TEXT("leader", l->row.vm),
		  LOG_NUMBER("fence", (long long)l->row.fence));
	if (p->leader_link)
		pool_link_close(p->leader_link, "another leader was elected");
	p->dial_due = p->now;
	if (p->leading)
		pool_sched_end(p, "no longer leads");
	pool_members_clear(p);
	p->leading = 0;
	pool_store_set_leading(p, leads);
	if (!leads)
		return;
	p->count.takeovers++;
	p->leading = 1;
	p->few_targets_since = p->uses_counted_at = p->now;
	p->self.nanswers = 0;
	for (vm = p->vms; vm; vm = vm->next)
		vm->led = 0;
	lead_domains_that_answered(p);
	pool_sched_begin(p, l->row.fence);
	pool_listing_check_predecessor(p);
	pool_dial_unlinked(p);
	pool_requests_resubmit(p);
}

static const struct lead_ops lead_ops = {
	.claim = on_claim,
	.probe = on_probe,
	.check_reachability = on_check_reachability,
	.domains_answered = on_domains_answered,
	.domains_added = on_domains_added,
	.confirm = on_confirm,
	.changed = on_changed,
};

void pool_lead_init(struct pool *p)
{
	lead_init(&p->lead, &lead_ops, p, p->set.vm_name, p->set.link_address,
		  p->incarnation);
	p->lead.targets_unknown = 1;
	p->logged_leader_alive = -1;
}

void pool_lead_tick(struct pool *p, rp_ms now)
{
	p->lead.targets_unknown = !p->listing_version;
	p->lead.version_may_be_shared = pool_vm_may_share_version(p);
	p->lead.isolated = pool_is_isolated(p);
	lead_tick(&p->lead, now);
	notify_prev_leader(p);
	check_leader_alive(p);
}

/*
 * A leader that has lost the store hands over to a member that reaches it, as
 * it does not learn of new stored jobs and of changes of targets. Otherwise it
 * hands over to a member with POOL_LARGER_FACTOR times its processor, which may
 * have joined after the election.
 */
void pool_check_handover(struct pool *p)
{
	const struct pool_member *m;
	char *successor;

	if (p->lead.resigning || lead_is_provisional(&p->lead) ||
	    p->now - p->sched.started_at < MIN_TERM_MS ||
	    !pool_successors(p, &successor, 1))
		return;
	m = pool_find_member(p, successor);
	if (!p->lead.store_lost &&
	    m->processor < POOL_LARGER_FACTOR * pool_processor(p))
		return;
	LOG_EVENT(LOG_LEVEL_INFO, "hands_over",
		  LOG_TEXT("successor", successor),
		  LOG_NUMBER("store_lost", p->lead.store_lost),
		  LOG_NUMBER("processor", pool_processor(p)));
	lead_resign(&p->lead);
}
