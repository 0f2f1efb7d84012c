/*
 * Random orders of events around changes of leader, in a simulated pool.
 * Guards against tasks that run twice and targets over their room.
 *
 * SEEDS=FROM-TO plays these seeds instead, SKIP=BITS leaves out faults, TRACE=1
 * prints all events. CUT_CALLERS=1 cuts callers off with a failure domain,
 * CHECK_DONE=1 counts starts after an end that was noted. PARTS=BITS limits the
 * days to these parts of the model (enum vms_part); 7 has all callers wait
 * equally long, 16 has lists that are older than replies to starts. KEEP_LATE=1
 * has targets that restart under their old id carry out late calls of before.
 * ONCE=1 has callers that do not submit a job again.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>

#include "world/vms.h"

#define SEEDS 60

static struct vms o;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_orders, .init = init_apr, .timeout = 0);

static void play(unsigned limit)
{
	const char *seeds = getenv("SEEDS"), *skip = getenv("SKIP");
	const char *parts = getenv("PARTS");
	const struct vms_options opt = {
		.skip = skip ? (unsigned)strtoul(skip, NULL, 0) : 0,
		.trace = getenv("TRACE") != NULL,
		.cut_callers = getenv("CUT_CALLERS") != NULL,
		.check_done = getenv("CHECK_DONE") != NULL,
		.keep_late = getenv("KEEP_LATE") != NULL,
		.once = getenv("ONCE") != NULL,
		.parts = parts ? (unsigned)strtoul(parts, NULL, 0) : limit,
	};
	unsigned long long seed = 1, last = SEEDS, events = 0, starts = 0;
	unsigned long long resent = 0, takeovers = 0, provisional = 0;
	unsigned long long raised = 0, answered[8] = { 0 };
	int bad = 0, i;

	if (seeds)
		cr_assert_eq(sscanf(seeds, "%llu-%llu", &seed, &last), 2);
	for (; seed <= last; seed++) {
		vms_play(&o, seed, &opt);
		if (o.w.violations) {
			fprintf(stderr, "seed %llu: %s\n", seed,
				o.w.first_violation);
			bad++;
		}
		events += o.events_seen + o.w.order;
		starts += o.w.starts;
		resent += o.resent;
		takeovers += o.takeovers;
		provisional += o.provisional;
		raised += o.raised;
		for (i = 0; i < 8; i++)
			answered[i] += o.answered[i];
		vms_finish(&o);
	}
	if (seeds)
		fprintf(stderr,
			"%d bad, %llu events, %llu starts, %llu resent, "
			"%llu leaders, %llu provisional, %llu raised, "
			"answers %llu %llu %llu %llu\n",
			bad, events, starts, resent, takeovers, provisional,
			raised, answered[0], answered[1], answered[2],
			answered[3]);
	cr_assert_eq(bad, 0, "%d of the seeds broke an invariant", bad);
}

Test(sched_orders, random_days)
{
	play(~(1u << VMS_OLD_LISTS));
}

/* All callers wait equally long, as those that state no deadline do. */
Test(sched_orders, days_of_one_timeout)
{
	if (!getenv("SEEDS"))
		play(~(1u << VMS_DEADLINES | 1u << VMS_OLD_LISTS));
}

/* Guards against runs that count as over by a list from before they began. */
Test(sched_orders, days_of_old_lists)
{
	if (!getenv("SEEDS"))
		play(1u << VMS_OLD_LISTS);
}
