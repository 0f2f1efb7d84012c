/* Membership and relayed calls among several entry VMs. */

#include <criterion/criterion.h>

#include "net/net.h"

/* Starts three entry VMs, each in its own domain, that know each other. */
static struct net *start_three(void)
{
	struct net_options opt;
	struct net *net;

	net_options_init(&opt);
	net = net_new(&opt);
	net_run(net, 3000);
	return net;
}

static void check_and_free(struct net *net)
{
	cr_assert_eq(net->duplicate_starts, 0);
	net_free(net);
}

Test(cluster, members_discover_each_other)
{
	struct net *net = start_three();
	int i, j;

	for (i = 0; i < 3; i++)
		for (j = 0; j < 3; j++)
			if (i != j)
				cr_assert_eq(net_state(net, i, j),
					     RP_MEMBER_LIVE);
	check_and_free(net);
}

Test(cluster, relayed_submission_gets_the_owners_complete_answer)
{
	struct net *net = start_three();
	char key[RP_KEY_MAX];
	size_t a, b, c;

	net_key(net, 0, key);
	a = net_submit(net, 1, key, 5, 10000);
	net_run(net, 2);
	b = net_submit(net, 2, key, 5, 10000);
	net_run(net, 2000);
	c = net_query(net, 1, key, 0);
	net_run(net, 100);
	cr_assert_eq(net->calls[a].state, RP_COMPLETE);
	cr_assert_eq(net->calls[a].nresults, 5);
	cr_assert_eq(net->calls[b].digest, net->calls[a].digest);
	cr_assert_eq(net->calls[c].digest, net->calls[a].digest);
	cr_assert_eq(net->calls[a].answers, 1);
	check_and_free(net);
}

Test(cluster, dead_owner_is_unreachable_then_gone)
{
	struct net *net = start_three();
	char key[RP_KEY_MAX];
	size_t a, b, c;

	net_key(net, 0, key);
	net_kill(net, 0);
	a = net_submit(net, 1, key, 1, 10000);
	net_run(net, 4000);
	cr_assert_eq(net->calls[a].state, RP_REFUSED);
	cr_assert_eq(net->calls[a].code, RP_E_UNREACHABLE);
	cr_assert_gt(net->calls[a].retry_after, 0);
	b = net_submit(net, 1, key, 1, 10000);
	net_run(net, 1);
	cr_assert_eq(net->calls[b].code, RP_E_UNREACHABLE, "answered at once");
	net_run(net, 12000);
	cr_assert_eq(net_state(net, 1, 0), RP_MEMBER_GONE);
	c = net_submit(net, 1, key, 1, 10000);
	net_run(net, 1);
	cr_assert_eq(net->calls[c].state, RP_FAILED);
	cr_assert_eq(net->calls[c].code, RP_E_GONE);
	cr_assert(net->calls[c].may_have_run);
	check_and_free(net);
}

Test(cluster, restarted_owner_does_not_run_keys_it_issued_before)
{
	struct net *net = start_three();
	char key[RP_KEY_MAX];
	size_t a, b;

	net_key(net, 0, key);
	net_kill(net, 0);
	net_run(net, 500);
	net_restart(net, 0);
	net_run(net, 5000);
	a = net_submit(net, 1, key, 1, 10000);
	b = net_submit(net, 0, key, 1, 10000);
	net_run(net, 1000);
	cr_assert_eq(net->calls[a].code, RP_E_GONE);
	cr_assert_eq(net->calls[b].code, RP_E_GONE);
	cr_assert_eq(apr_hash_count(net->started), 0);
	check_and_free(net);
}

Test(cluster, relayed_call_is_resent_after_a_lost_answer)
{
	struct net *net = start_three();
	char key[RP_KEY_MAX];
	size_t a;

	net_key(net, 0, key);
	a = net_submit(net, 1, key, 3, 10000);
	net_run(net, 20);
	net_cut(net, 0, 1, 1);
	net_run(net, 600);
	net_cut(net, 0, 1, 0);
	net_run(net, 3000);
	cr_assert_eq(net->calls[a].state, RP_COMPLETE);
	cr_assert_eq(net->calls[a].answers, 1);
	check_and_free(net);
}

Test(cluster, silent_links_are_detected_and_reset)
{
	struct net *net = start_three();
	char key[RP_KEY_MAX];
	size_t a;

	net->link_silent[1][0] = 1;
	net->link_silent[0][1] = 1;
	net_key(net, 0, key);
	a = net_submit(net, 1, key, 3, 20000);
	net_run(net, 8000);
	cr_assert_eq(net->link_silent[1][0], 0);
	cr_assert_eq(net->link_silent[0][1], 0);
	if (net->calls[a].state == RP_REFUSED)
		a = net_submit(net, 1, key, 3, 20000);
	net_run(net, 2000);
	cr_assert_eq(net->calls[a].state, RP_COMPLETE);
	check_and_free(net);
}

Test(cluster, partitioned_domain_serves_own_keys_and_recovers)
{
	struct net *net = start_three();
	char key[RP_KEY_MAX], remote_key[RP_KEY_MAX];
	size_t a, b, c;

	net_key(net, 0, key);
	net_key(net, 1, remote_key);
	net_isolate(net, 0, 1);
	net->platform_link_cut[0] = 1;
	net_run(net, 6000);
	cr_assert_eq(net_state(net, 0, 1), RP_MEMBER_SUSPECT);
	a = net_submit(net, 0, key, 3, 10000);
	b = net_submit(net, 0, remote_key, 3, 10000);
	net_run(net, 5000);
	cr_assert_eq(net->calls[a].state, RP_COMPLETE);
	cr_assert_eq(net->calls[b].code, RP_E_UNREACHABLE);
	net_isolate(net, 0, 0);
	net->platform_link_cut[0] = 0;
	net_run(net, 5000);
	c = net_submit(net, 0, remote_key, 3, 10000);
	net_run(net, 2000);
	cr_assert_eq(net->calls[c].state, RP_COMPLETE);
	check_and_free(net);
}

Test(cluster, leaving_target_gets_no_work_after_its_first_reply)
{
	struct net *net = start_three();
	char key[RP_KEY_MAX];
	uint64_t starts;

	net->targets[0].leaving = 1;
	net_key(net, 0, key);
	net_submit(net, 0, key, 12, 10000);
	net_run(net, 3000);
	starts = net->targets[0].leaving_starts;
	cr_assert_gt(starts, 0);
	net_key(net, 1, key);
	net_submit(net, 1, key, 30, 10000);
	net_run(net, 3000);
	cr_assert_eq(net->targets[0].leaving_starts, starts);
	check_and_free(net);
}

/*
 * Guards against an owner that counts the caller's timeout anew when the call
 * reaches it late: the job would go on after its deadline.
 */
Test(cluster, relayed_submission_ends_at_its_callers_deadline)
{
	struct net_options opt;
	struct net *net;
	char key[RP_KEY_MAX];
	size_t a;

	net_options_init(&opt);
	opt.task_us = 60000000;
	net = net_new(&opt);
	net_run(net, 3000);
	net_key(net, 0, key);
	net_cut(net, 1, 0, 1);
	a = net_submit(net, 1, key, 1, 2500);
	net_run(net, 1200);
	net_cut(net, 1, 0, 0);
	net_run(net, 8000);
	cr_assert_eq(net->calls[a].answers, 1);
	cr_assert_eq(net->calls[a].code, RP_E_DEADLINE);
	cr_assert_lt(
		net->calls[a].done_us - net->calls[a].sent_us, 2700000,
		"answered after %lld ms",
		(long long)(net->calls[a].done_us - net->calls[a].sent_us) /
			1000);
	check_and_free(net);
}
