/* Spread of the table by polls, deltas, scans and peers; no version reverts. */

#include <criterion/criterion.h>

#include "many.h"

#define EDITS_PER_DAY 2200
#define DAY_MS 86400000

/* Whether all running nodes have the version in force. */
static int all_at_version(struct many *m, int64_t version)
{
	int i;

	for (i = 0; i < m->n; i++)
		if (m->k[i] && table_version(m->k[i]) < version)
			return 0;
	return 1;
}

/* Makes an edit at a node; returns the time until all have it in force, ms. */
static rp_ms edit_and_spread(struct many *m, int node, int n)
{
	struct rp_cell c = many_target_cell("target-0", n % 100, n);
	int64_t base = table_version(m->k[node]);
	char id[RP_NAME_MAX];
	rp_ms accepted;

	snprintf(id, sizeof(id), "edit-%d", n);
	many_edit(m, node, (rp_token)n, id, base, &c, 1);
	while (!many_find_reply(m, (rp_token)n))
		many_run(m, 5);
	cr_assert_eq(many_find_reply(m, (rp_token)n)->status.code, RP_OK);
	accepted = m->now;
	while (!all_at_version(m, many_find_reply(m, (rp_token)n)->version))
		many_run(m, 5);
	return m->now - accepted;
}

/* Runs 40 entry VMs for half an hour at 2,200 edits a day, without messages. */
Test(spread, polling_puts_edits_in_force_within_six_seconds)
{
	rp_ms span, max_span = 0, begin;
	uint64_t reads;
	struct many m;
	int i;

	many_init(&m, 40, 11);
	m.partitioned = 1;
	many_run(&m, 5000);
	begin = m.now;
	reads = m.platform.reads;
	for (i = 1; i <= EDITS_PER_DAY / 48; i++) {
		span = edit_and_spread(&m, i % 40, i);
		if (span > max_span)
			max_span = span;
		if (m.now < begin + (rp_ms)i * (DAY_MS / EDITS_PER_DAY))
			many_run(&m,
				 begin + (rp_ms)i * (DAY_MS / EDITS_PER_DAY) -
					 m.now);
	}
	reads = (m.platform.reads - reads) * 1000 / (uint64_t)(m.now - begin);
	cr_log_info("worst %lld ms, %llu reads/s", (long long)max_span,
		    (unsigned long long)reads);
	cr_assert_lt(max_span, 6000);
	cr_assert_lt(reads, 30);
	many_finish(&m);
}

/* With messages between the entry VMs, edits spread faster than by polling. */
Test(spread, heartbeats_spread_edits_faster_than_polls)
{
	rp_ms span, sum = 0;
	struct many m;
	int i;

	many_init(&m, 9, 17);
	many_run(&m, 5000);
	for (i = 1; i <= 20; i++) {
		span = edit_and_spread(&m, i % 9, i);
		sum += span;
		many_run(&m, 1000);
	}
	cr_log_info("mean %lld ms", (long long)sum / 20);
	cr_assert_lt(sum / 20, 2000);
	cr_assert_gt(m.k[0]->table.counters.from_peers, 0);
	many_finish(&m);
}

/* During a platform outage a new entry VM gets the table from a member. */
Test(spread, new_entry_vm_gets_the_table_from_a_member)
{
	struct many m;

	many_init(&m, 3, 18);
	many_kill(&m, 2);
	edit_and_spread(&m, 0, 1);
	edit_and_spread(&m, 1, 2);
	m.platform.outage = 1;
	many_start_kernel(&m, 2, 2);
	many_run(&m, 4000);
	cr_assert_eq(table_version(m.k[2]), 2);
	cr_assert_eq(many_target(&m, 2)->limit, 2);
	many_finish(&m);
}

Test(spread, node_far_behind_scans_the_cells)
{
	struct many m;
	int i;

	many_init(&m, 2, 12);
	m.partitioned = 1;
	many_kill(&m, 1);
	for (i = 1; i <= 400; i++)
		edit_and_spread(&m, 0, i);
	/*
	 * Compaction bounds the rows: 256 edits are kept and those of two
	 * rounds of 32 may remain, two rows each, plus version and cell.
	 */
	cr_assert_lt(m.platform.nrows, 2 * (256 + 64) + 2);
	many_start_kernel(&m, 1, 2);
	many_run(&m, 4000);
	cr_assert_eq(table_version(m.k[1]), 400);
	cr_assert_eq(many_target(&m, 1)->limit, 400);
	cr_assert_eq(m.k[1]->table.counters.scans, 1);
	many_finish(&m);
}

Test(spread, delta_brings_a_new_entry_vm_up_to_date)
{
	struct rp_actions acts;
	struct rp_blob *delta;
	struct many m;

	many_init(&m, 2, 13);
	m.partitioned = 1;
	many_kill(&m, 1);
	edit_and_spread(&m, 0, 1);
	edit_and_spread(&m, 0, 2);
	m.platform.outage = 1;
	many_start_kernel(&m, 1, 2);
	many_run(&m, 10000);
	cr_assert_eq(table_version(m.k[1]), 0);
	delta = table_pack_delta(m.k[0], table_version(m.k[1]));
	rp_actions_init(&acts);
	cr_assert_eq(table_apply_delta(m.k[1], m.now, delta->data, delta->len,
				       &acts),
		     1);
	cr_assert_eq(table_version(m.k[1]), 2);
	cr_assert_eq(many_target(&m, 1)->limit, 2);
	rp_actions_finish(&acts);
	rp_blob_unref(delta);
	many_finish(&m);
}

Test(spread, delta_with_a_gap_or_from_a_stale_peer_changes_nothing)
{
	struct rp_blob *late, *old;
	struct rp_actions acts;
	struct many m;

	many_init(&m, 2, 14);
	m.partitioned = 1;
	many_kill(&m, 1);
	edit_and_spread(&m, 0, 1);
	old = table_pack_delta(m.k[0], 0);
	edit_and_spread(&m, 0, 2);
	edit_and_spread(&m, 0, 3);
	late = table_pack_delta(m.k[0], 2);
	m.platform.outage = 1;
	many_start_kernel(&m, 1, 2);
	rp_actions_init(&acts);
	cr_assert_eq(table_apply_delta(m.k[1], m.now, late->data, late->len,
				       &acts),
		     0);
	cr_assert_eq(table_version(m.k[1]), 0);
	cr_assert_eq(table_apply_delta(m.k[0], m.now, old->data, old->len,
				       &acts),
		     1);
	cr_assert_eq(table_version(m.k[0]), 3);
	cr_assert_eq(many_target(&m, 0)->limit, 3);
	cr_assert_eq(table_apply_delta(m.k[0], m.now, "no delta", 8, &acts), 0);
	rp_actions_finish(&acts);
	rp_blob_unref(late);
	rp_blob_unref(old);
	many_finish(&m);
}

/* The platform was restored from an older copy of its rows. */
Test(spread, platform_restored_from_an_old_copy_is_refused)
{
	struct rp_cell c = many_target_cell("target-0", 77, 77);
	struct many m;
	char *copy;
	int i;

	many_init(&m, 1, 15);
	edit_and_spread(&m, 0, 1);
	copy = strdup(fake_find(&m.platform, str_of("table/version"))->value);
	for (i = 2; i <= 5; i++)
		edit_and_spread(&m, 0, i);
	fake_put(&m.platform, str_of("table/version"), str_of(copy));
	many_run(&m, 10000);
	cr_assert_eq(table_version(m.k[0]), 5);
	cr_assert_gt(m.k[0]->table.counters.backward, 0);
	many_edit(&m, 0, 99, "e99", 1, &c, 1);
	many_run(&m, 1000);
	cr_assert_eq(many_find_reply(&m, 99)->status.code, RP_E_PLATFORM);
	cr_assert_eq(many_target(&m, 0)->limit, 5);
	free(copy);
	many_finish(&m);
}

/* Checks that only an accepted edit is stored, under its version. */
static void check_edit_stored(struct many *m, const struct many_reply *r)
{
	char name[2 * RP_NAME_MAX], id[RP_NAME_MAX];
	const struct fake_row *done;

	snprintf(id, sizeof(id), "e-%d", (int)r->token - 1);
	snprintf(name, sizeof(name), "table/done/%s", id);
	done = fake_find(&m->platform, str_of(name));
	if (!strncmp(r->status.message, "unsettled", 9))
		return;
	cr_assert_eq(done != NULL, r->status.code == RP_OK, "%s: %s", id,
		     r->status.message);
	if (!done)
		return;
	cr_assert_eq(atoll(done->value), r->version);
	table_edit_name(r->version, name);
	cr_assert_eq(strncmp(fake_find(&m->platform, str_of(name))->value, id,
			     strlen(id)),
		     0);
}

/* Accepted edits never revert during outages, delays and lost answers. */
Test(spread, accepted_edits_never_revert_under_faults)
{
	int64_t seen[3] = { 0 };
	rp_token token = 0;
	struct many m;
	int i, step;

	many_init(&m, 3, 16);
	m.platform.delay_jitter = 300;
	m.platform.lost_answer_percent = 10;
	m.platform.late_effect_percent = 10;
	for (step = 0; step < 250; step++) {
		int node = (int)(random_next(&m.platform.random) % 3);
		struct rp_cell c =
			many_target_cell("target-0", step % 50, step);
		char id[RP_NAME_MAX];

		m.platform.outage = random_next(&m.platform.random) % 10 == 0;
		snprintf(id, sizeof(id), "e-%d", step);
		many_edit(&m, node, ++token, id, table_version(m.k[node]), &c,
			  1);
		many_run(&m, (rp_ms)(random_next(&m.platform.random) % 1500));
		for (i = 0; i < 3; i++) {
			cr_assert_geq(table_version(m.k[i]), seen[i]);
			seen[i] = table_version(m.k[i]);
		}
	}
	m.platform.outage = m.platform.lost_answer_percent =
		m.platform.late_effect_percent = 0;
	many_run(&m, 20000);
	cr_assert_eq(m.nreplies, token);
	for (i = 0; i < (int)m.nreplies; i++)
		check_edit_stored(&m, &m.replies[i]);
	for (i = 1; i < 3; i++) {
		cr_assert_eq(table_version(m.k[i]), table_version(m.k[0]));
		cr_assert_eq(many_target(&m, i)->limit,
			     many_target(&m, 0)->limit);
	}
	many_finish(&m);
}
