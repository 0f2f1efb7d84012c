/* The metrics of queues, as text. */

#include <criterion/criterion.h>

#include <apr_general.h>
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

/*
 * Guards against jobs that no target can end in time being taken for losses: an
 * operator would add targets instead of changing the deadline.
 */
Test(pool_count, jobs_that_are_too_long_are_told_from_those_lost)
{
	struct sched_queue *q;
	char *text;

	apr_initialize();
	apr_pool_create(&p.pool, NULL);
	p.listings = apr_hash_make(p.pool);
	p.leading = 1;
	sched_init(&p.sched, &no_ops, &p, NULL, LEAD_TOKEN(1), 1000, 1);
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
