/*
 * A leader whose failure domain was cut off from the store uses targets whose
 * entries have expired there. Guards against a successor that takes its own
 * list for complete, and starts tasks a second time that run on such targets.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#include "pool-store.h"
#include "sched-int.h"

static struct pool p;
static struct store store;
static struct pool_member owner = { .vm = "vm2" };

static void set_policy(char *to, const char *name)
{
	snprintf(to, RP_NAME_MAX, "%s", name);
}

static void begin(void)
{
	int i;

	apr_initialize();
	apr_pool_create(&p.pool, NULL);
	snprintf(p.set.vm_name, sizeof(p.set.vm_name), "vm0");
	snprintf(p.set.link_address, sizeof(p.set.link_address), "127.0.0.1:1");
	p.watches = store.watches;
	for (i = 0; i < WATCHES; i++)
		store.watches[i].p = &p;
	store.unreadable_rows = hash_new(p.pool);
	store.listed_rounds = hash_new(p.pool);
	p.requests = hash_new(p.pool);
	p.listings = hash_new(p.pool);
	p.set.remote_factor = 2;
	p.set.max_lease = 1000;
	p.set.entry_interval = 1500;
	set_policy(p.set.order, "priority");
	set_policy(p.set.admit, "priority");
	set_policy(p.set.place, "slowest-on-time");
	set_policy(p.set.move, "progress");
	set_policy(p.set.hopeless, "bound");
	set_policy(p.set.leave, "move");
	p.incarnation = 7;
	pool_loop_init(&p);
	pool_calls_init(&p);
	pool_agent_init(&p);
	pool_lead_init(&p);
	p.now = 10000;
}

TestSuite(pool_unlisted, .init = begin);

/* vm1 leads; its domain may have been cut off from the store. */
static void follow_leader(void)
{
	struct lead_row leader = { .fence = LEAD_TOKEN(3), .version = 8 };

	snprintf(leader.vm, sizeof(leader.vm), "vm1");
	lead_renewed(&p.lead, 7, p.now);
	lead_row_read(&p.lead, &leader, p.now);
}

static void take_over(void)
{
	struct lead_row own = { .fence = LEAD_TOKEN(4), .version = 9 };

	p.now += 100;
	own.incarnation = p.incarnation;
	snprintf(own.vm, sizeof(own.vm), "vm0");
	lead_row_read(&p.lead, &own, p.now);
	cr_assert(p.leading);
}

/* The store lists one target, which runs nothing. */
static void read_list(void)
{
	struct sched_listing l = { .ready = 1, .incarnation = 1 };
	struct sched_target_reply reply = { .status = SCHED_REPLY_OK,
					    .reason = "",
					    .clock = 1 };

	snprintf(l.id, sizeof(l.id), "listed");
	snprintf(l.address, sizeof(l.address), "127.0.0.1:2");
	snprintf(l.service, sizeof(l.service), "svc");
	l.capacity.cpu = 16000;
	l.capacity.memory = 65536;
	pool_sched_target_listed(&p, &l);
	pool_listing_complete(&store.watches[WATCH_TARGETS]);
	reply.sent_at = p.now;
	sched_hold_reply(&p.sched, sched_find_target(&p.sched, "listed"),
			 &reply, p.now);
}

/* The job's task was started under the leader before; it runs somewhere. */
static struct sched_job *resubmit_job(void)
{
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps = &step;

	step.tasks = 1;
	step.cpu = 1000;
	step.estimate_ms = 500;
	sub.seq = 1;
	sub.id = "0123456789abcdef";
	sub.queue = "q";
	sub.service = "svc";
	sub.max_attempts = 3;
	sub.left_ms = 1000;
	sub.former = LEAD_TOKEN(3);
	sub.steps = &steps;
	sub.n_steps = 1;
	sched_submit(&p.sched, &owner, &sub, p.now);
	return sched_find_open_job(&p.sched, str_of(sub.id));
}

/* Whether the tasks may start at once. */
static int may_start(void)
{
	const struct sched_job *job;

	take_over();
	read_list();
	job = resubmit_job();
	cr_assert_not_null(job);
	return sched_adopt_all_known(job);
}

static void receive_heartbeat(int list_confirmed)
{
	PoolBeat beat = POOL_BEAT__INIT;

	beat.fence = LEAD_TOKEN(3);
	beat.list_confirmed = list_confirmed;
	pool_listing_heartbeat_received(&p, &beat);
}

Test(pool_unlisted, tasks_of_a_leader_with_unlisted_targets_are_not_started)
{
	follow_leader();
	cr_assert(!may_start());
}

Test(pool_unlisted, tasks_of_a_leader_that_has_confirmed_the_list_are_started)
{
	follow_leader();
	receive_heartbeat(0);
	receive_heartbeat(1);
	cr_assert(may_start());
}

Test(pool_unlisted, the_latest_heartbeat_counts)
{
	follow_leader();
	receive_heartbeat(1);
	receive_heartbeat(0);
	cr_assert(!may_start());
}

/* Entries may have expired between the heartbeat and the reading. */
Test(pool_unlisted, a_confirmed_list_is_good_for_one_interval_of_entries)
{
	follow_leader();
	receive_heartbeat(1);
	p.now += p.set.entry_interval;
	lead_renewed(&p.lead, 9, p.now);
	cr_assert(!may_start());
}

/* --- the leader's own view ----------------------------------------------- */

/* Time passes, in which the store replies. */
static void wait_ms(rp_ms ms)
{
	p.now += ms;
	store.watches[WATCH_TARGETS].replied_at = p.now;
}

/* Leads, has read the list, and holds its one target. */
static struct sched_target *lead(void)
{
	struct pool_watch *w = &store.watches[WATCH_TARGETS];

	follow_leader();
	take_over();
	read_list();
	w->complete = 1;
	w->lost = 0;
	w->replied_at = p.now;
	/* Its own predecessor may use targets that are not listed. */
	sched_target_entry_written(&p.sched, "listed", p.now);
	cr_assert(!pool_listing_is_confirmed(&p));
	wait_ms(p.set.max_lease + 800);
	sched_target_entry_written(&p.sched, "listed", p.now);
	cr_assert(pool_listing_is_confirmed(&p));
	return sched_find_target(&p.sched, "listed");
}

Test(pool_unlisted, a_leader_without_the_store_confirms_nothing)
{
	lead();
	store.watches[WATCH_TARGETS].lost = 1;
	cr_assert(!pool_listing_is_confirmed(&p));
	store.watches[WATCH_TARGETS].lost = 0;
	p.now += 1001;
	cr_assert(!pool_listing_is_confirmed(&p));
}

Test(pool_unlisted, an_entry_that_is_missing_or_about_to_expire_is_told)
{
	lead();
	wait_ms(p.set.entry_interval);
	cr_assert(pool_listing_is_confirmed(&p));
	wait_ms(2 * p.set.entry_interval);
	cr_assert(!pool_listing_is_confirmed(&p));
	sched_target_entry_written(&p.sched, "listed", p.now);
	cr_assert(pool_listing_is_confirmed(&p));
	sched_target_entry_written(&p.sched, "listed", 0);
	cr_assert(!pool_listing_is_confirmed(&p));
}

/* Targets that leave would delay jobs at each change of leader. */
Test(pool_unlisted, a_target_without_runs_that_leaves_does_not_matter)
{
	struct sched_target *t = lead();

	t->listing.ready = 0;
	sched_target_entry_written(&p.sched, "listed", 0);
	cr_assert(pool_listing_is_confirmed(&p));
	t->nruns = 1;
	cr_assert(!pool_listing_is_confirmed(&p));
	t->nruns = 0;
}

/* One lost reply does not show that a target is gone. */
Test(pool_unlisted, a_target_that_has_not_replied_for_a_moment_matters)
{
	struct sched_target *t = lead();

	t->unanswered = 1;
	t->replied_at = p.now;
	sched_target_entry_written(&p.sched, "listed", 0);
	cr_assert(!pool_listing_is_confirmed(&p));
	wait_ms(2 * p.set.max_lease + 1);
	cr_assert(pool_listing_is_confirmed(&p));
}

static void read_row(int64_t version)
{
	static char text[] = "{\"service\":\"svc\",\"address\":\"127.0.0.1:2\","
			     "\"state\":\"ready\",\"capacity\":{\"cpu\":16000,"
			     "\"taskMemoryMb\":65536}}";
	struct platform_row row = { .key = "listed",
				    .value = text,
				    .len = sizeof(text) - 1,
				    .version = version };

	pool_listing_row(&store.watches[WATCH_TARGETS], &row);
}

/* A full read finds entries that were written long ago. */
Test(pool_unlisted, an_entry_that_is_read_again_is_not_younger)
{
	lead();
	read_row(20);
	wait_ms(2 * p.set.entry_interval);
	read_row(20);
	cr_assert(!pool_listing_is_confirmed(&p));
	read_row(21);
	cr_assert(pool_listing_is_confirmed(&p));
}

/* A target that the leader before has told this VM of. */
static void learn_target(void)
{
	struct sched_listing l = { .ready = 1, .incarnation = 1 };

	snprintf(l.id, sizeof(l.id), "cached");
	snprintf(l.address, sizeof(l.address), "127.0.0.1:3");
	snprintf(l.service, sizeof(l.service), "svc");
	l.capacity.cpu = 16000;
	l.capacity.memory = 65536;
	pool_share_listed(&p, &l, 5);
	pool_share_read_up_to(&p, 5);
}

/*
 * The store has named this VM the leader and is silent from then on. Guards
 * against a leader that has the list of targets from the leader before, and
 * rejects all jobs until the store is back.
 */
Test(pool_unlisted, a_leader_without_a_reply_of_the_store_uses_the_list_it_has)
{
	follow_leader();
	receive_heartbeat(1);
	learn_target();
	take_over();
	pool_listing_tick(&p);
	/* The store is about to say which targets there are. */
	cr_assert_null(sched_find_target(&p.sched, "cached"));
	p.now += 100;
	pool_listing_tick(&p);
	cr_assert_not_null(sched_find_target(&p.sched, "cached"));
	/* It may lack targets on which the leader before has started tasks. */
	cr_assert(!sched_adopt_all_known(resubmit_job()));
}

/* Guards against targets that have left meanwhile. */
Test(pool_unlisted, a_list_that_was_read_is_not_replaced_by_an_older_one)
{
	follow_leader();
	learn_target();
	take_over();
	read_list();
	p.now += 100;
	pool_listing_tick(&p);
	cr_assert_null(sched_find_target(&p.sched, "cached"));
}
