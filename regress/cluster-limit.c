/* A target's limit held by several entry VMs. */

#include <criterion/criterion.h>

#include "net/net.h"

/* Jobs at all entry VMs for a while; each call's index is not kept. */
static void load(struct net *net, int rounds, int ntasks)
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

static uint64_t busy_sum(const struct net *net)
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

/* Every call has exactly one answer, and no task ran twice. */
static void check_all(struct net *net, int complete)
{
	size_t i;

	for (i = 0; i < net->ncalls; i++) {
		cr_assert_eq(net->calls[i].answers, 1, "call %zu has %d", i,
			     net->calls[i].answers);
		if (complete)
			cr_assert_eq(net->calls[i].state, RP_COMPLETE);
	}
	cr_assert_eq(net->twice, 0);
}

static void check_no_overrun(const char *limit)
{
	struct net *net = start(limit, 9);

	load(net, 300, 16);
	net_run(net, 25000);
	check_all(net, 1);
	cr_assert_eq(busy_sum(net), 0);
	cr_assert_eq(net->overruns, 0);
	net_free(net);
}

Test(limit, credits_hold_the_limit_and_finish_all)
{
	check_no_overrun("credit");
}

Test(limit, shares_hold_the_limit_and_finish_all)
{
	check_no_overrun("share");
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
	/* The last to come is not served after all the others. */
	cr_assert_lt(net->calls[calls[0]].done_us -
			     net->calls[calls[5]].done_us,
		     2000000);
	cr_assert_lt(net->calls[calls[5]].done_us -
			     net->calls[calls[0]].done_us,
		     4000000);
	cr_assert_eq(busy_sum(net), 0);
	net_free(net);
}

Test(limit, dead_keeper_and_holder_lose_nothing)
{
	struct net *net = start("credit", 9);

	load(net, 100, 8);
	net_kill(net, 0);
	load(net, 100, 8);
	net_restart(net, 0);
	net_kill(net, 4);
	load(net, 200, 8);
	net_run(net, 30000);
	cr_assert_eq(net->twice, 0);
	cr_assert_eq(busy_sum(net), 0);
	cr_assert_eq(net->overruns, 0);
	net_free(net);
}

Test(limit, cut_off_domain_keeps_its_own_targets)
{
	struct net *net = start("credit", 9);
	size_t first;

	load(net, 100, 8);
	net_isolate(net, 0, 1);
	net->platform_cut[0] = 1;
	load(net, 300, 8);
	first = net->ncalls;
	load(net, 200, 8);
	net_isolate(net, 0, 0);
	net->platform_cut[0] = 0;
	load(net, 300, 8);
	net_run(net, 30000);
	for (; first < net->ncalls; first++)
		cr_assert_eq(net->calls[first].state, RP_COMPLETE,
			     "call %zu: %d", first, net->calls[first].code);
	cr_assert_eq(net->twice, 0);
	cr_assert_eq(busy_sum(net), 0);
	net_free(net);
}

Test(limit, paused_holder_does_not_use_lapsed_credits)
{
	struct net *net = start("credit", 9);
	int i;

	for (i = 0; i < 4; i++) {
		load(net, 50, 16);
		net_pause(net, i, 1);
		load(net, 200, 16);
		net_pause(net, i, 0);
	}
	net_run(net, 30000);
	cr_assert_eq(net->twice, 0);
	cr_assert_eq(busy_sum(net), 0);
	net_free(net);
}
