/* Claims of callers' own keys: ownership, platform faults and sweeping. */

#include <criterion/criterion.h>

#include "many.h"

/* Returns the key's claim row in the platform's table, or NULL. */
static const struct fake_row *find_claim_row(struct many *m, const char *key)
{
	char name[CLAIM_ROW_NAME_MAX];

	claim_row_name(str_of(key), name);
	return fake_find(&m->platform, str_of(name));
}

Test(claim, nothing_starts_before_the_key_is_claimed)
{
	struct many m;

	many_init(&m, 1, 1);
	many_submit(&m, 0, 1, "booking 7", "x", 5000, 1);
	cr_assert_eq(m.nstarts, 0);
	many_run(&m, 100);
	cr_assert_not_null(find_claim_row(&m, "booking 7"));
	cr_assert_eq(m.nstarts, 1);
	many_complete_send(&m, 0);
	cr_assert_eq(many_find_reply(&m, 1)->state, RP_COMPLETE);
	many_finish(&m);
}

Test(claim, same_key_at_two_entry_vms_starts_once)
{
	struct many m;

	many_init(&m, 2, 2);
	many_run(&m, 3000);
	many_submit(&m, 0, 1, "k", "x", 5000, 1);
	many_submit(&m, 1, 2, "k", "x", 5000, 1);
	many_run(&m, 200);
	cr_assert_eq(m.nstarts, 1);
	many_complete_send(&m, 0);
	many_run(&m, 200);
	cr_assert_eq(many_find_reply(&m, 1)->state, RP_COMPLETE);
	cr_assert_eq(many_find_reply(&m, 2)->state, RP_COMPLETE);
	many_finish(&m);
}

Test(claim, different_body_is_a_conflict_everywhere)
{
	struct many m;

	many_init(&m, 2, 3);
	many_run(&m, 3000);
	many_submit(&m, 0, 1, "k", "x", 5000, 1);
	many_run(&m, 100);
	many_submit(&m, 0, 2, "k", "y", 5000, 1);
	many_submit(&m, 1, 3, "k", "y", 5000, 1);
	many_run(&m, 200);
	cr_assert_eq(many_find_reply(&m, 2)->status.code, RP_E_CONFLICT);
	cr_assert_eq(many_find_reply(&m, 3)->status.code, RP_E_CONFLICT);
	cr_assert_eq(m.nstarts, 1);
	many_finish(&m);
}

Test(claim, one_claimed_key_does_not_fail_the_batch)
{
	char key[16];
	struct many m;
	int i;

	many_init(&m, 2, 4);
	many_run(&m, 3000);
	many_submit(&m, 0, 100, "k3", "x", 5000, 1);
	many_run(&m, 100);
	for (i = 0; i < 8; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		many_submit(&m, 1, (rp_token)i + 1, key, "x", 5000, 1);
	}
	many_run(&m, 200);
	cr_assert_eq(m.nstarts, 8);
	for (i = 0; i < 8; i++)
		many_complete_send(&m, (size_t)i);
	many_run(&m, 200);
	for (i = 0; i < 8; i++)
		cr_assert_eq(many_find_reply(&m, (rp_token)i + 1)->state,
			     RP_COMPLETE);
	many_finish(&m);
}

Test(claim, many_keys_go_in_few_commits)
{
	char key[16];
	struct many m;
	int i;

	many_init(&m, 1, 5);
	many_run(&m, 100);
	m.platform.commits = 0;
	for (i = 0; i < 640; i++) {
		snprintf(key, sizeof(key), "key-%d", i);
		many_submit(&m, 0, (rp_token)i + 1, key, "x", 5000, 1);
	}
	many_run(&m, 400);
	cr_assert_eq(m.nstarts, 640);
	cr_assert_leq(m.platform.commits, 11);
	many_finish(&m);
}

/* The option claim_rows limits the rows a second of all entry VMs together. */
Test(claim, rows_stay_within_claim_rows)
{
	char key[16];
	uint64_t writes;
	struct many m;
	int i;

	many_init(&m, 2, 17);
	for (i = 0; i < 2; i++) {
		m.opt[i].claim_rows = 300;
		many_kill(&m, i);
		many_start_kernel(&m, i, 2);
	}
	many_run(&m, 10000);
	writes = m.platform.writes;
	for (i = 0; i < 5000; i++) {
		snprintf(key, sizeof(key), "key-%d", i);
		many_submit(&m, i % 2, (rp_token)i + 1, key, "x", 60000, 1);
		many_run(&m, 2);
	}
	writes = m.platform.writes - writes;
	cr_assert_lt(writes, 10 * 300 + 2 * 65);
	cr_assert_gt(writes, 10 * 300 * 8 / 10);
	many_finish(&m);
}

Test(claim, lost_reply_is_read_back_and_starts_once)
{
	struct many m;

	many_init(&m, 1, 6);
	many_run(&m, 100);
	m.platform.lost_answer_percent = 100;
	many_submit(&m, 0, 1, "k", "x", 20000, 1);
	many_run(&m, 50);
	cr_assert_not_null(find_claim_row(&m, "k"));
	m.platform.lost_answer_percent = 0;
	cr_assert_eq(m.nstarts, 0);
	many_run(&m, 5000);
	cr_assert_eq(m.nstarts, 1);
	many_finish(&m);
}

Test(claim, outage_refuses_claims_until_it_ends)
{
	struct many_reply *r;
	struct many m;

	many_init(&m, 1, 7);
	m.platform.outage = 1;
	many_submit(&m, 0, 1, "k", "x", 5000, 1);
	many_run(&m, 100);
	r = many_find_reply(&m, 1);
	cr_assert_eq(r->state, RP_REFUSED);
	cr_assert_eq(r->status.code, RP_E_PLATFORM);
	m.platform.outage = 0;
	many_run(&m, 10000);
	cr_assert_eq(m.nstarts, 0);
	many_submit(&m, 0, 2, "k", "x", 5000, 1);
	many_run(&m, 100);
	cr_assert_eq(m.nstarts, 1);
	many_finish(&m);
}

/* During an outage at most one commit is sent per backoff. */
Test(claim, outage_limits_commits_by_backoff)
{
	uint64_t calls;
	char key[16];
	struct many m;
	int i;

	many_init(&m, 1, 8);
	m.opt[0].table_poll = 0;
	many_kill(&m, 0);
	many_start_kernel(&m, 0, 2);
	m.platform.outage = 1;
	many_run(&m, 100);
	calls = m.platform.calls_total;
	for (i = 0; i < 3000; i++) {
		snprintf(key, sizeof(key), "key-%d", i);
		many_submit(&m, 0, (rp_token)i + 1, key, "x", 5000, 1);
		many_run(&m, 10);
	}
	cr_assert_eq(m.nreplies, 3000);
	cr_assert_lt(m.platform.calls_total - calls, 30);
	many_finish(&m);
}

/* The row may still be committed, so the answer must not be "not run". */
Test(claim, unsettled_at_the_deadline_is_refused)
{
	struct many_reply *r;
	struct many m;

	many_init(&m, 1, 9);
	many_run(&m, 100);
	m.platform.lost_answer_percent = 100;
	many_submit(&m, 0, 1, "k", "x", 3000, 1);
	many_run(&m, 3200);
	r = many_find_reply(&m, 1);
	cr_assert_eq(r->state, RP_REFUSED);
	cr_assert_eq(r->status.code, RP_E_DEADLINE);
	cr_assert_eq(m.nstarts, 0);
	many_query_or_cancel(&m, 0, 2, RP_EVENT_QUERY, "k", 1);
	cr_assert_eq(many_find_reply(&m, 2)->state, RP_REFUSED);
	m.platform.lost_answer_percent = 0;
	many_run(&m, 10000);
	cr_assert_eq(m.nstarts, 0);
	many_submit(&m, 0, 3, "k", "x", 5000, 1);
	many_run(&m, 500);
	cr_assert_eq(m.nstarts, 1);
	many_complete_send(&m, 0);
	cr_assert_eq(many_find_reply(&m, 3)->state, RP_COMPLETE);
	many_finish(&m);
}

/* The claim succeeds after the deadline, so nothing may start any more. */
Test(claim, settled_after_the_deadline_is_not_run)
{
	struct many m;

	many_init(&m, 2, 10);
	many_run(&m, 3000);
	m.platform.delay = 400;
	many_submit(&m, 0, 1, "k", "x", 500, 1);
	many_run(&m, 495);
	cr_assert_null(many_find_reply(&m, 1));
	many_run(&m, 5000);
	cr_assert_eq(many_find_reply(&m, 1)->state, RP_REFUSED);
	cr_assert_eq(m.nstarts, 0);
	many_finish(&m);
}

Test(claim, cancelled_while_it_is_claimed_does_not_start)
{
	struct many m;

	many_init(&m, 1, 11);
	many_run(&m, 100);
	many_submit(&m, 0, 1, "k", "x", 5000, 1);
	many_query_or_cancel(&m, 0, 2, RP_EVENT_CANCEL, "k", 0);
	many_run(&m, 200);
	cr_assert_eq(m.nstarts, 0);
	cr_assert_eq(many_find_reply(&m, 1)->state, RP_NOT_RUN);
	cr_assert_eq(many_find_reply(&m, 2)->status.code, RP_E_CANCELLED);
	many_finish(&m);
}

Test(claim, caller_without_wait_is_answered_once_claimed)
{
	struct many m;

	many_init(&m, 1, 12);
	many_run(&m, 100);
	many_submit(&m, 0, 1, "k", "x", 5000, 0);
	cr_assert_null(many_find_reply(&m, 1));
	many_run(&m, 100);
	cr_assert_eq(many_find_reply(&m, 1)->state, RP_RUNNING);
	many_finish(&m);
}

Test(claim, query_at_another_entry_vm_finds_the_owner)
{
	struct many m;

	many_init(&m, 2, 13);
	many_run(&m, 3000);
	many_submit(&m, 0, 1, "k", "x", 5000, 1);
	many_run(&m, 100);
	many_complete_send(&m, 0);
	many_query_or_cancel(&m, 1, 2, RP_EVENT_QUERY, "k", 1);
	many_query_or_cancel(&m, 1, 3, RP_EVENT_QUERY, "other", 1);
	many_run(&m, 200);
	cr_assert_eq(many_find_reply(&m, 2)->state, RP_COMPLETE);
	cr_assert_eq(many_find_reply(&m, 3)->status.code, RP_E_UNKNOWN_KEY);
	many_finish(&m);
}

/* The owner restarts: its submission may have run and is not started again. */
Test(claim, submission_of_restarted_owner_may_have_run)
{
	struct many m;

	many_init(&m, 2, 14);
	many_run(&m, 3000);
	many_submit(&m, 0, 1, "k", "x", 5000, 1);
	many_run(&m, 100);
	many_kill(&m, 0);
	many_start_kernel(&m, 0, 2);
	many_run(&m, 3000);
	many_submit(&m, 0, 2, "k", "x", 5000, 1);
	many_submit(&m, 1, 3, "k", "x", 5000, 1);
	many_run(&m, 6000);
	cr_assert_eq(m.nstarts, 1);
	cr_assert_eq(many_find_reply(&m, 2)->state, RP_FAILED);
	cr_assert_eq(many_find_reply(&m, 2)->status.code, RP_E_GONE);
	cr_assert_eq(many_find_reply(&m, 2)->may_have_run, 1);
	cr_assert_eq(many_find_reply(&m, 3)->state, RP_FAILED);
	many_finish(&m);
}

Test(claim, issued_key_is_refused_as_a_callers_key)
{
	struct test_kernel t;
	char key[RP_KEY_MAX];
	struct many m;

	test_init(&t, 1);
	test_key(&t, key);
	test_finish(&t);
	many_init(&m, 1, 15);
	many_submit(&m, 0, 1, key, "x", 5000, 1);
	cr_assert_eq(many_find_reply(&m, 1)->status.code, RP_E_INPUT);
	many_finish(&m);
}

/* Expired rows are removed, also those of an owner that has stopped. */
Test(claim, expired_rows_are_swept_in_few_commits)
{
	uint64_t writes;
	char key[16];
	struct many m;
	int i;

	many_init(&m, 2, 16);
	for (i = 0; i < 2; i++) {
		m.opt[i].key_lifetime = 20000;
		m.opt[i].max_timeout = 10000;
		many_kill(&m, i);
		many_start_kernel(&m, i, 2);
	}
	many_run(&m, 20000);
	for (i = 0; i < 500; i++) {
		snprintf(key, sizeof(key), "key-%d", i);
		many_submit(&m, 0, (rp_token)i + 1, key, "x", 5000, 1);
		many_run(&m, 10);
	}
	many_run(&m, 200);
	many_kill(&m, 0);
	cr_assert_gt(m.platform.nrows, 500);
	writes = m.platform.commits;
	many_run(&m, 300000);
	cr_assert_leq(m.platform.nrows, 1);
	writes = m.platform.commits - writes;
	cr_assert_lt(writes, 5 * 300);
	cr_assert_eq(m.k[1]->claims.counters.swept, 500, "%d",
		     (int)m.k[1]->claims.counters.swept);
	many_finish(&m);
}
