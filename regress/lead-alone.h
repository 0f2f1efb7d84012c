#ifndef LEAD_ALONE_H
#define LEAD_ALONE_H

/* One VM that has lost the store, and then a provisional leader. */

#include "lead.h"

static struct lead l;

static int64_t claimed_version; /* of the row, by the latest claim */

static void on_claim(struct lead *lead, const struct lead_row *row,
		     int64_t expected)
{
	(void)lead;
	(void)row;
	claimed_version = expected;
}

static void on_event(struct lead *lead)
{
	(void)lead;
}

static int domains_answered = 1;

static int on_domains_answered(struct lead *lead)
{
	(void)lead;
	return domains_answered;
}

static const struct lead_ops ops = {
	.confirm = on_event,
	.claim = on_claim,
	.probe = on_event,
	.check_reachability = on_event,
	.domains_answered = on_domains_answered,
	.domains_added = on_event,
	.changed = on_event,
};

/* What differs between VMs in the election. */
static uint32_t own_version = 100;
static int version_may_be_shared;

/* Lets the leader of the token fall silent, without the store. */
static void lose_leader(uint64_t fence)
{
	struct lead_heartbeat hb = { .fence = fence,
				     .vm = "leader",
				     .leader = "leader",
				     .address = "10.0.0.2:1",
				     .leading = 1,
				     .nlinked = 3 };
	struct lead_heartbeat answer = { .fence = fence, .vm = "other" };
	rp_ms now;

	lead_init(&l, &ops, NULL, "vm", "10.0.0.1:1", 6);
	l.own_row_version = own_version;
	l.version_may_be_shared = version_may_be_shared;
	l.nothers = 2;
	l.store_lost = 1;
	lead_heartbeat(&l, &hb, 1000);
	lead_heartbeat(&l, &hb, 1050);
	answer.leader = answer.address = "";
	for (now = 1050; now < 4000; now += 10) {
		lead_tick(&l, now);
		if (l.phase == LEAD_PROBING)
			lead_heartbeat(&l, &answer, now);
	}
}

#endif
