/* The metrics of queues, as text. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lead.h"
#include "pool.h"
#include "sched-int.h"

static const struct sched_ops no_ops;
static struct pool p;

static void check_line(const char *text, const char *line)
{
	cr_assert(strstr(text, line), "no line: %s", line);
}

static void init_leader(void)
{
	apr_initialize();
	apr_pool_create(&p.pool, NULL);
	p.listings = apr_hash_make(p.pool);
	p.leading = 1;
	sched_init(&p.sched, &no_ops, &p, NULL, LEAD_TOKEN(1), 1000, 1);
}

/*
 * Guards against metrics that are cut without a word: those of the queues that
 * are left out seem not to exist, and the last line has a part of a number.
 */
Test(pool_count, metrics_that_do_not_fit_are_counted)
{
	char name[16], *text, *at;
	size_t i, nlines = 0;

	init_leader();
	text = pool_metrics(&p);
	check_line(text, "\nrosemary_pool_metrics_left_out 0\n");
	free(text);
	for (i = 0; i < 421; i++) {
		snprintf(name, sizeof(name), "q%zu", i);
		sched_get_queue(&p.sched, name, 1)->nended = 1;
	}
	text = pool_metrics(&p);
	cr_assert_lt(strlen(text), 65536);
	for (at = strtok(text, "\n"); at; at = strtok(NULL, "\n")) {
		char *end = strrchr(at, ' ');

		cr_assert_not_null(end, "%s", at);
		strtod(end, &end);
		cr_assert_eq(*end, '\0', "%s", at);
		if (!strncmp(at, "rosemary_pool_metrics_left_out ", 31))
			nlines = strtoul(at + 31, NULL, 10);
	}
	cr_assert_gt(nlines, 421);
	free(text);
}

/*
 * Guards against jobs that no target can end in time being taken for losses: an
 * operator would add targets instead of changing the deadline.
 */
Test(pool_count, jobs_that_are_too_long_are_told_from_those_lost)
{
	struct sched_queue *q;
	char *text;

	init_leader();
	q = sched_get_queue(&p.sched, "rounds", 700);
	q->answered[SCHED_SIZE_BUCKETS - 1] = 41;
	q->completed[SCHED_SIZE_BUCKETS - 1] = 15;
	q->too_long[SCHED_SIZE_BUCKETS - 1] = 22;
	text = pool_metrics(&p);
	check_line(text, "jobs_answered{queue=\"rounds\",times_mean_size="
			 "\"+Inf\"} 41\n");
	check_line(text, "jobs_completed{queue=\"rounds\",times_mean_size="
			 "\"+Inf\"} 15\n");
	check_line(text, "jobs_too_long{queue=\"rounds\",times_mean_size="
			 "\"+Inf\"} 22\n");
	check_line(text, "jobs_lost{queue=\"rounds\",times_mean_size="
			 "\"+Inf\"} 4\n");
	check_line(text, "jobs_lost{queue=\"rounds\",times_mean_size="
			 "\"0.50\"} 0\n");
	free(text);
}
