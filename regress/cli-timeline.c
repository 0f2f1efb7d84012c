/* The timeline: order across entry VMs, filters and truncated lines. */

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "cli-events.h"

/* Adds lines of one entry VM; copies them, as they are modified. */
static struct cli_batch add(struct cli_timeline *t, const char *lines,
			    const struct cli_filter *filter)
{
	char copy[1024];

	snprintf(copy, sizeof(copy), "%s", lines);
	return cli_timeline_add(t, copy, filter);
}

static const char from_a[] = "{\"hlc\":65536,\"vm\":\"a\",\"seq\":8,\"event\":"
			     "\"started\","
			     "\"key\":\"k\",\"team\":\"x\"}\n"
			     "{\"hlc\":65538,\"vm\":\"a\",\"seq\":9,\"event\":"
			     "\"ended\","
			     "\"key\":\"k\",\"target\":\"t1\"}\n"
			     "{\"hlc\":196608,\"vm\":\"a\",\"seq\":10,"
			     "\"event\":\"drain\"}\n";
static const char from_b[] = "{\"hlc\":65537,\"vm\":\"b\",\"seq\":1,\"event\":"
			     "\"relay\","
			     "\"key\":\"k\"}\n"
			     "{\"hlc\":65538,\"vm\":\"b\",\"seq\":2,\"event\":"
			     "\"ended\","
			     "\"key\":\"other\"}\n"
			     "{\"hlc\":65538,\"vm\":\"b\",\"seq\":3,\"event\":"
			     "\"answered\"}\n";

/* Checks the order of the events, written as "VMSEQ " for each. */
static void check_order(const struct cli_timeline *t, const char *want)
{
	char have[256] = "";
	size_t i, len = 0;

	for (i = 0; i < t->len; i++)
		len += (size_t)snprintf(have + len, sizeof(have) - len,
					"%s%llu ", t->list[i].vm,
					(unsigned long long)t->list[i].seq);
	cr_assert_str_eq(have, want);
}

Test(timeline, orders_by_timestamp_then_vm_then_seq)
{
	struct cli_filter all = { NULL, NULL, NULL, 0, 0 };
	struct cli_timeline t = { NULL, 0, 0 };

	cr_assert_eq(add(&t, from_b, &all).malformed, 0);
	cr_assert_eq(add(&t, from_a, &all).first_seq, 8);
	cli_timeline_sort(&t);
	check_order(&t, "a8 b1 a9 b2 b3 a10 ");
	cr_assert_eq(cli_timeline_newest(&t), 196608);
	cli_timeline_finish(&t);
}

Test(timeline, filters_by_job_target_team_and_time)
{
	struct cli_filter job = { "k", NULL, NULL, 0, 0 };
	struct cli_filter target = { NULL, "t1", NULL, 0, 0 };
	struct cli_filter team = { NULL, NULL, "x", 0, 0 };
	struct cli_filter span = { NULL, NULL, NULL, 2, 3 };
	const struct {
		const struct cli_filter *filter;
		const char *want;
	} cases[] = { { &job, "a8 b1 a9 " },
		      { &target, "a9 " },
		      { &team, "a8 " },
		      { &span, "a10 " } };
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		struct cli_timeline t = { NULL, 0, 0 };

		add(&t, from_a, cases[i].filter);
		add(&t, from_b, cases[i].filter);
		cli_timeline_sort(&t);
		check_order(&t, cases[i].want);
		cli_timeline_finish(&t);
	}
}

Test(timeline, counts_lines_that_are_not_events)
{
	struct cli_filter all = { NULL, NULL, NULL, 0, 0 };
	struct cli_timeline t = { NULL, 0, 0 };
	struct cli_batch batch;

	batch = add(&t, "{\"hlc\":1,\"vm\":\"a\",\"se\n[]\n{\"seq\":1}\n",
		    &all);
	cr_assert_eq(batch.malformed, 3);
	cr_assert_eq(t.len, 0);
	cli_timeline_finish(&t);
}

Test(timeline, prints_up_to_a_timestamp_and_keeps_the_rest)
{
	struct cli_filter all = { NULL, NULL, NULL, 0, 0 };
	struct cli_timeline t = { NULL, 0, 0 };

	add(&t, from_a, &all);
	add(&t, from_b, &all);
	cli_timeline_sort(&t);
	cli_timeline_print(&t, 65538, 0);
	check_order(&t, "a10 ");
	cli_timeline_finish(&t);
}
