/* The basic path through one kernel: submit, start, reply, answer. */

#include <criterion/criterion.h>

#include "kernel.h"

Test(path, job_completes_with_results_in_order)
{
	struct test_kernel t;
	struct rp_action *a;
	uint64_t ids[3];
	char key[RP_KEY_MAX];
	size_t i;

	test_init(&t, 2);
	test_key(&t, key);
	test_submit(&t, key, 3, "x");
	cr_assert_eq(test_count(&t, RP_ACTION_START), 3);
	for (i = 0; i < 3; i++)
		ids[i] = t.acts.list[i].start.start_id;
	test_reply(&t, ids[2], RP_START_DONE, "c");
	test_reply(&t, ids[0], RP_START_DONE, "a");
	cr_assert_null(test_find(&t, RP_ACTION_ANSWER));
	test_reply(&t, ids[1], RP_START_DONE, "b");
	a = test_find(&t, RP_ACTION_ANSWER);
	cr_assert_not_null(a);
	cr_assert_eq(a->answer.answer->state, RP_COMPLETE);
	for (i = 0; i < 3; i++)
		cr_assert_eq(a->answer.answer->results[i].body->data[0],
			     "abc"[i]);
	test_finish(&t);
}

Test(path, resubmission_starts_nothing)
{
	struct test_kernel t;
	char key[RP_KEY_MAX];

	test_init(&t, 2);
	test_key(&t, key);
	test_submit(&t, key, 2, "x");
	test_submit(&t, key, 2, "x");
	cr_assert_eq(test_count(&t, RP_ACTION_START), 0);
	test_submit(&t, key, 2, "other");
	cr_assert_eq(t.acts.list[0].answer.answer->status.code, RP_E_CONFLICT);
	test_finish(&t);
}

Test(path, late_and_repeated_replies_change_nothing)
{
	struct test_kernel t;
	char key[RP_KEY_MAX];
	uint64_t id;

	test_init(&t, 1);
	test_key(&t, key);
	test_submit(&t, key, 1, "x");
	id = t.acts.list[0].start.start_id;
	test_reply(&t, id, RP_START_DONE, "a");
	cr_assert_eq(test_count(&t, RP_ACTION_ANSWER), 1);
	test_reply(&t, id, RP_START_FAILED, "b");
	cr_assert_eq(t.acts.len, 0);
	test_finish(&t);
}

Test(path, deadline_before_any_start_is_not_run)
{
	struct rp_event tick = { .type = RP_EVENT_TICK };
	struct test_kernel t;
	char key[RP_KEY_MAX], other[RP_KEY_MAX];
	struct rp_action *a;

	test_init(&t, 1);
	test_key(&t, key);
	test_key(&t, other);
	test_submit(&t, key, 2, "fills both slots");
	test_submit(&t, other, 1, "x");
	cr_assert_eq(t.acts.len, 0);
	t.now = 10000;
	test_event(&t, &tick);
	cr_assert_eq(test_count(&t, RP_ACTION_ANSWER), 2);
	a = &t.acts.list[t.acts.len - 1];
	cr_assert_eq(a->answer.answer->state, RP_NOT_RUN);
	test_finish(&t);
}

Test(path, ready_when_earlier_credits_have_expired)
{
	struct rp_event tick = { .type = RP_EVENT_TICK };
	struct test_kernel t;

	test_init(&t, 1);
	test_event(&t, &tick);
	cr_assert(rp_kernel_ready(t.k), "no other entry VM holds credits");
	test_finish(&t);

	memset(&t, 0, sizeof(t));
	rp_options_init(&t.opt);
	t.opt.list_poll = 0;
	t.vms[0].kind = RP_VM_ENTRY;
	snprintf(t.vms[0].name, RP_NAME_MAX, "other");
	snprintf(t.vms[0].address, RP_ADDRESS_MAX, "127.0.0.1:9900");
	t.opt.seeds = t.vms;
	t.opt.nseeds = 1;
	test_start(&t);
	t.now = t.opt.credit_lease;
	test_event(&t, &tick);
	cr_assert(!rp_kernel_ready(t.k));
	t.now = 2 * t.opt.credit_lease;
	test_event(&t, &tick);
	cr_assert(rp_kernel_ready(t.k));
	test_finish(&t);
}
