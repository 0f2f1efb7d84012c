/* This VM and the leadership of the pool. */

#include "pool.h"

#include <stdio.h>
#include <string.h>

/* In office, before it is left to another VM. */
#define HAND_OVER_MS 1000
#define TELL_MS 100	     /* between messages to the former leader */
#define REJECT_AFTER_MS 1500 /* without a leader, jobs are rejected */
/* Entries of targets last for three of their heartbeats, at least this long. */
#define FORMER_HIDDEN_MS 2500

static void tell_touch(struct pool *p)
{
	int touch = lead_in_touch(&p->lead, p->now);

	if (touch)
		p->leader_alive_at = p->now;
	if (touch == p->logged_leader_alive)
		return;
	p->logged_leader_alive = touch;
	LOG_EVENT(touch ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
		  touch ? "leader_regained" : "leader_lost",
		  LOG_TEXT("leader", p->lead.row.vm),
		  LOG_NUMBER("fence", (long long)p->lead.row.fence),
		  LOG_NUMBER("age_ms", p->now - p->lead.heard_at));
}

/* Whether a job may still find a leader in time. */
int pool_leader_expected(const struct pool *p)
{
	rp_ms since = p->leader_alive_at ? p->leader_alive_at : p->started_at;

	return p->leading || p->now - since < REJECT_AFTER_MS;
}

static void on_claim(struct lead *l, const struct lead_row *row,
		     int64_t expected)
{
	struct pool *p = l->user;

	LOG_EVENT(LOG_LEVEL_INFO, "claim",
		  LOG_NUMBER("fence", (long long)row->fence),
		  LOG_NUMBER("expected_version", expected),
		  LOG_NUMBER("silent_ms", p->now - l->heard_at),
		  LOG_NUMBER("vms_hearing", l->hearing),
		  LOG_NUMBER("vms_not_hearing", l->silent));
	pool_store_claim(p, row, expected);
}

static void on_probe(struct lead *l)
{
	struct pool *p = l->user;

	LOG_EVENT(LOG_LEVEL_WARN, "probe", LOG_TEXT("leader", l->row.vm),
		  LOG_NUMBER("fence", (long long)l->row.fence),
		  LOG_NUMBER("silent_ms", p->now - l->heard_at));
	pool_dial_all(p, 0);
}

static void on_survey(struct lead *l)
{
	pool_check_reachability(l->user);
}

/* Sends a heartbeat to the leader from before this domain was cut off. */
static void tell_former(struct pool *p)
{
	const struct lead_row *former = &p->lead.former;
	struct pool_link *l;

	if (!lead_alone(&p->lead) ||
	    p->now - p->prev_leader_notified_at < TELL_MS)
		return;
	p->prev_leader_notified_at = p->now;
	if (!former->address[0] || !strcmp(former->vm, p->set.vm_name))
		return;
	l = pool_link_dial(p, former->vm, former->address, 1);
	if (l)
		pool_send_heartbeat(p, l);
}

static void on_changed(struct lead *l)
{
	struct pool *p = l->user;
	int leads = l->role == LEAD_LEADING;

	if (leads && p->leading) {
		LOG_EVENT(LOG_LEVEL_INFO, "token_raised",
			  LOG_NUMBER("fence", (long long)l->row.fence),
			  LOG_NUMBER("before", (long long)p->sched.fence));
		sched_raise(&p->sched, l->row.fence, p->now);
		return;
	}

	LOG_EVENT(LOG_LEVEL_INFO, leads ? "leads" : "follows",
		  LOG_TEXT("leader", l->row.vm),
		  LOG_NUMBER("fence", (long long)l->row.fence));
	if (p->to_leader)
		pool_link_close(p->to_leader, "the leader is another");
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
	p->self.nanswers = 0;
	pool_sched_begin(p, l->row.fence);
	p->sched.former_hidden = l->former_age > FORMER_HIDDEN_MS ||
				 LEAD_IS_ALONE(l->row.fence);
	pool_dial_all(p, 1);
	pool_requests_resubmit(p);
}

static const struct lead_ops lead_ops = {
	.claim = on_claim,
	.probe = on_probe,
	.survey = on_survey,
	.changed = on_changed,
};

void pool_lead_init(struct pool *p)
{
	lead_init(&p->lead, &lead_ops, p, p->set.vm_name, p->set.link_address,
		  p->incarnation);
	p->logged_leader_alive = -1;
}

void pool_lead_tick(struct pool *p, rp_ms now)
{
	lead_tick(&p->lead, now);
	tell_former(p);
	tell_touch(p);
}

/*
 * A small VM that came into office when there was no other lets a larger one
 * lead, and one that has lost the store lets one lead that has not: it would
 * not hear of new jobs, and of targets that come and go.
 */
void pool_check_handover(struct pool *p)
{
	const struct pool_member *m;
	char *first;

	if (p->lead.resigning || lead_alone(&p->lead) ||
	    p->now - p->sched.since < HAND_OVER_MS ||
	    !pool_successors(p, &first, 1))
		return;
	m = pool_find_member(p, first);
	if (!p->lead.store_lost &&
	    m->processor < POOL_LARGER_FACTOR * pool_processor(p))
		return;
	LOG_EVENT(LOG_LEVEL_INFO, "hands_over", LOG_TEXT("successor", first),
		  LOG_NUMBER("store_lost", p->lead.store_lost),
		  LOG_NUMBER("processor", pool_processor(p)));
	lead_resign(&p->lead);
}
