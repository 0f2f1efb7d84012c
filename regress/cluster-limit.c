/* A target's limit enforced by several entry VMs. */

#include <criterion/criterion.h>

#include "net/net.h"
#include "table.h"

/* Submits one job per round at a random entry VM that runs. */
static void submit_jobs(struct net *net, int rounds, int ntasks)
{
	char key[RP_KEY_MAX];
	int i;

	for (i = 0; i < rounds; i++) {
		int vm = (int)(random_next(&net->random) %
			       (uint64_t)net->opt.nvms);

		if (net->vms[vm].k && !net->vms[vm].paused) {
			net_key(net, vm, key);
			if (key[0])
				net_submit(net, vm, key, ntasks, 20000);
		}
		net_run(net, 20);
	}
}

static uint64_t count_busy_replies(const struct net *net)
{
	uint64_t sum = 0;
	int i;

	for (i = 0; i < net->opt.ntargets; i++)
		sum += net->targets[i].busy;
	return sum;
}

static struct net *start(const char *limit, int nvms)
{
	struct net_options opt;
	struct net *net;

	net_options_init(&opt);
	opt.limit = limit;
	opt.nvms = nvms;
	opt.ntargets = 12;
	net = net_new(&opt);
	net_run(net, 3000);
	return net;
}

/* Every call has exactly one answer, and no task was started twice. */
static void check_answers(struct net *net, int complete)
{
	size_t i;

	for (i = 0; i < net->ncalls; i++) {
		cr_assert_eq(net->calls[i].answers, 1, "call %zu has %d", i,
			     net->calls[i].answers);
		if (complete)
			cr_assert_eq(net->calls[i].state, RP_COMPLETE);
	}
	cr_assert_eq(net->duplicate_starts, 0);
}

/* Under the limit policy no target gets more tasks than it has slots. */
static void check_limit_holds(const char *limit)
{
	struct net *net = start(limit, 9);

	submit_jobs(net, 300, 16);
	net_run(net, 25000);
	check_answers(net, 1);
	cr_assert_eq(count_busy_replies(net), 0);
	cr_assert_eq(net->over_limit_starts, 0);
	net_free(net);
}

Test(limit, credits_enforce_the_limit_and_all_jobs_complete)
{
	check_limit_holds("credit");
}

Test(limit, shares_enforce_the_limit_and_all_jobs_complete)
{
	check_limit_holds("share");
}

Test(limit, every_vm_gets_credits_under_overload)
{
	struct net *net = start("credit", 6);
	char key[RP_KEY_MAX];
	size_t calls[6];
	int i;

	for (i = 0; i < 6; i++) {
		net_key(net, i, key);
		calls[i] = net_submit(net, i, key, 400, 60000);
		net_run(net, 300);
	}
	net_run(net, 60000);
	for (i = 0; i < 6; i++)
		cr_assert_eq(net->calls[calls[i]].state, RP_COMPLETE);
	/* The last job doesn't wait until all others are complete. */
	cr_assert_lt(net->calls[calls[0]].done_us -
			     net->calls[calls[5]].done_us,
		     2000000);
	cr_assert_lt(net->calls[calls[5]].done_us -
			     net->calls[calls[0]].done_us,
		     4000000);
	cr_assert_eq(count_busy_replies(net), 0);
	net_free(net);
}

Test(limit, holds_when_a_keeper_or_holder_dies)
{
	struct net *net = start("credit", 9);

	submit_jobs(net, 100, 8);
	net_kill(net, 0);
	submit_jobs(net, 100, 8);
	net_restart(net, 0);
	net_kill(net, 4);
	submit_jobs(net, 200, 8);
	net_run(net, 30000);
	cr_assert_eq(net->duplicate_starts, 0);
	cr_assert_eq(count_busy_replies(net), 0);
	cr_assert_eq(net->over_limit_starts, 0);
	net_free(net);
}

Test(limit, partitioned_domain_continues_on_its_own_targets)
{
	struct net *net = start("credit", 9);
	size_t first;

	submit_jobs(net, 100, 8);
	net_isolate(net, 0, 1);
	net->platform_link_cut[0] = 1;
	submit_jobs(net, 300, 8);
	first = net->ncalls;
	submit_jobs(net, 200, 8);
	net_isolate(net, 0, 0);
	net->platform_link_cut[0] = 0;
	submit_jobs(net, 300, 8);
	net_run(net, 30000);
	for (; first < net->ncalls; first++)
		cr_assert_eq(net->calls[first].state, RP_COMPLETE,
			     "call %zu: %d", first, net->calls[first].code);
	cr_assert_eq(net->duplicate_starts, 0);
	cr_assert_eq(count_busy_replies(net), 0);
	net_free(net);
}

Test(limit, paused_holder_does_not_use_expired_credits)
{
	struct net *net = start("credit", 9);
	int i;

	for (i = 0; i < 4; i++) {
		submit_jobs(net, 50, 16);
		net_pause(net, i, 1);
		submit_jobs(net, 200, 16);
		net_pause(net, i, 0);
	}
	net_run(net, 30000);
	cr_assert_eq(net->duplicate_starts, 0);
	cr_assert_eq(count_busy_replies(net), 0);
	net_free(net);
}

/* Bound on the time until an accepted edit is in force everywhere, ms. */
#define LIMIT_IN_FORCE_MS 6000

/* Applies a limit for the target at one entry VM, from which it spreads. */
static void set_limit(struct net *net, int vm, int target, int32_t limit)
{
	struct rp_table_head head = { .version = 1, .edit_id = "lower" };
	struct rp_event tick = { .type = RP_EVENT_TICK };
	struct rp_cell cell = { .kind = RP_CELL_TARGET,
				.row = "desk",
				.weight = RP_CELL_UNSET,
				.limit = limit,
				.version = 1 };
	struct rp_kernel *k = net->vms[vm].k;
	rp_ms now = net->now_us / 1000;
	struct rp_actions acts;

	str_copy(cell.col, sizeof(cell.col), str_of(net->targets[target].name));
	rp_actions_init(&acts);
	cr_assert(table_apply(k, now, 0, &head, &cell, 1, &acts));
	/* The tick's actions are dropped; lookups settle its starts. */
	rp_kernel_event(k, now, &tick, &acts);
	rp_actions_finish(&acts);
}

Test(limit, lowered_limit_is_in_force_within_seconds)
{
	struct net *net = start("credit", 9);
	int i, max = 0;

	submit_jobs(net, 100, 16);
	set_limit(net, 0, 0, 2);
	submit_jobs(net, LIMIT_IN_FORCE_MS / 20, 16);
	for (i = 0; i < 100; i++) {
		submit_jobs(net, 1, 16);
		if (net_in_flight(net, 0) > max)
			max = net_in_flight(net, 0);
	}
	cr_assert_leq(max, 2, "%d in flight", max);
	cr_assert_gt(max, 0);
	net_run(net, 25000);
	check_answers(net, 1);
	net_free(net);
}
