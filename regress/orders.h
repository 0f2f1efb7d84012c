#ifndef ORDERS_H
#define ORDERS_H

/* Plays simulated days of random orders of events, see sched-orders.c. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>

#include "world/vms.h"

#define SEEDS 60

static struct vms o;

static inline void init_apr(void)
{
	apr_initialize();
}

static inline void play_days(unsigned limit)
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

#endif
