/* Drains of one and of several entry VMs. */

#include <criterion/criterion.h>

#include "net/net.h"

static struct net *start(int nvms)
{
	struct net_options opt;
	struct net *net;

	net_options_init(&opt);
	opt.nvms = nvms;
	opt.limit = "credit";
	net = net_new(&opt);
	net_run(net, 3000);
	return net;
}

/* Runs until the entry VM reports the end of its drain, then ends it. */
static void finish_drain(struct net *net, int vm)
{
	int i;

	for (i = 0; i < 400 && !net->vms[vm].drained; i++)
		net_run(net, 50);
	cr_assert(net->vms[vm].drained);
	net_kill(net, vm);
}

Test(drain, finishes_running_job_and_successor_keeps_its_answer)
{
	struct net *net = start(4);
	char used[RP_KEY_MAX], unused[RP_KEY_MAX];
	size_t a, b, c, d, e;

	net_key(net, 0, used);
	net_key(net, 0, unused);
	a = net_submit(net, 0, used, 40, 20000);
	net_run(net, 20);
	net_drain(net, 0);
	cr_assert(!rp_kernel_ready(net->vms[0].k));
	net_run(net, 20);
	cr_assert_eq(net_state(net, 1, 0), RP_MEMBER_LEAVING);
	finish_drain(net, 0);
	cr_assert_eq(net->calls[a].state, RP_COMPLETE);
	b = net_submit(net, 1, used, 40, 20000);
	c = net_query(net, 2, used, 1);
	d = net_submit(net, 3, unused, 1, 20000);
	net_run(net, 500);
	cr_assert_eq(net->calls[b].digest, net->calls[a].digest);
	cr_assert_eq(net->calls[c].digest, net->calls[a].digest);
	cr_assert_eq(net->calls[d].state, RP_NOT_RUN);
	/* The answer stays once the list no longer has the entry VM. */
	net_run(net, 15000);
	e = net_submit(net, 3, used, 40, 20000);
	net_run(net, 500);
	cr_assert_eq(net->calls[e].digest, net->calls[a].digest);
	cr_assert_eq(net->duplicate_starts, 0);
	net_free(net);
}

Test(drain, accepts_keys_during_grace_then_answers_not_run)
{
	struct net *net = start(3);
	char early[RP_KEY_MAX], held[RP_KEY_MAX], key[RP_KEY_MAX];
	char none[RP_KEY_MAX];
	size_t a, b, c, d;

	net_key(net, 0, early);
	net_key(net, 0, held);
	net_key(net, 0, key);
	net_drain(net, 0);
	net_key(net, 0, none);
	cr_assert_eq(none[0], '\0');
	net_run(net, 1000);
	a = net_submit(net, 1, early, 1, 20000);
	c = net_submit(net, 0, held, 1000, 20000);
	net_run(net, 1500);
	cr_assert_eq(net->calls[c].state, RP_RUNNING,
		     "the drain waits for the job");
	b = net_submit(net, 0, key, 1, 20000);
	finish_drain(net, 0);
	d = net_submit(net, 1, key, 1, 20000);
	net_run(net, 500);
	cr_assert_eq(net->calls[a].state, RP_COMPLETE);
	cr_assert_eq(net->calls[b].state, RP_NOT_RUN);
	cr_assert_eq(net->calls[c].state, RP_COMPLETE);
	cr_assert_eq(net->calls[d].state, RP_NOT_RUN);
	cr_assert_eq(net->duplicate_starts, 0);
	net_free(net);
}

Test(drain, successors_that_drain_in_turn_hand_over_all_records)
{
	struct net *net = start(5);
	char keys[4][RP_KEY_MAX];
	uint64_t digests[4];
	size_t calls[4];
	int i;

	for (i = 0; i < 4; i++) {
		net_key(net, i, keys[i]);
		calls[i] = net_submit(net, i, keys[i], 5, 20000);
	}
	net_run(net, 3000);
	for (i = 0; i < 4; i++)
		digests[i] = net->calls[calls[i]].digest;
	for (i = 0; i < 4; i++) {
		net_drain(net, i);
		finish_drain(net, i);
		net_run(net, 500);
	}
	for (i = 0; i < 4; i++)
		calls[i] = net_submit(net, 4, keys[i], 5, 20000);
	net_run(net, 500);
	for (i = 0; i < 4; i++)
		cr_assert_eq(net->calls[calls[i]].digest, digests[i], "%d: %s",
			     i, rp_code_name(net->calls[calls[i]].code));
	cr_assert_eq(net->duplicate_starts, 0);
	net_free(net);
}

Test(drain, several_entry_vms_drain_at_once)
{
	struct net *net = start(6);
	char keys[3][RP_KEY_MAX];
	size_t first[3], again[3];
	int i;

	for (i = 0; i < 3; i++) {
		net_key(net, i, keys[i]);
		first[i] = net_submit(net, i, keys[i], 20, 20000);
	}
	net_run(net, 10);
	for (i = 0; i < 3; i++)
		net_drain(net, i);
	for (i = 0; i < 3; i++)
		finish_drain(net, i);
	net_run(net, 500);
	for (i = 0; i < 3; i++)
		again[i] = net_submit(net, 3 + i, keys[i], 20, 20000);
	net_run(net, 500);
	for (i = 0; i < 3; i++) {
		cr_assert_eq(net->calls[first[i]].state, RP_COMPLETE);
		cr_assert_eq(net->calls[again[i]].digest,
			     net->calls[first[i]].digest);
	}
	net_free(net);
}

Test(drain, dead_successor_is_replaced_by_another)
{
	struct net *net = start(4);
	char key[RP_KEY_MAX];
	size_t a, b;
	int i;

	net_key(net, 0, key);
	a = net_submit(net, 0, key, 5, 20000);
	net_run(net, 3000);
	/* Entry VM 3 shares the domain of 0: the preferred successor. */
	net_kill(net, 3);
	net_drain(net, 0);
	finish_drain(net, 0);
	for (i = 1; i < 4 && !net->vms[i].k; i++)
		;
	/* Waits until the members report an unknown owner as gone. */
	net_run(net, 15000);
	b = net_submit(net, i, key, 5, 20000);
	net_run(net, 500);
	cr_assert_eq(net->calls[b].digest, net->calls[a].digest);
	net_free(net);
}

Test(drain, waiting_relayed_call_is_answered_by_the_successor)
{
	struct net *net = start(4);
	char key[RP_KEY_MAX];
	size_t a;

	net_key(net, 0, key);
	a = net_submit(net, 1, key, 30, 20000);
	net_run(net, 10);
	net_drain(net, 0);
	net_cut(net, 0, 1, 1); /* loses the answer */
	net_run(net, 1000);
	net_cut(net, 0, 1, 0);
	finish_drain(net, 0);
	net_run(net, 6000);
	cr_assert_eq(net->calls[a].answers, 1);
	cr_assert_eq(net->calls[a].state, RP_COMPLETE);
	net_free(net);
}

Test(drain, ends_without_other_members)
{
	struct net *net = start(1);

	net_drain(net, 0);
	finish_drain(net, 0);
	net_free(net);
}
