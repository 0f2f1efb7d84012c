/* Which decisions on jobs are logged. */

#include <criterion/criterion.h>
#include <criterion/redirect.h>

#include <apr_general.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "log.h"
#include "lead.h"
#include "pool.h"
#include "sched-int.h"

static struct pool p;
static struct sched_queue queue = { .name = "q" };
static struct sched_step step = { .need = { .cpu = 7000 }, .work = 1 };

static void log_job(const char *id, double estimate,
		    PoolAnswer__Outcome outcome)
{
	struct sched_job job = { .s = &p.sched,
				 .queue = &queue,
				 .steps = &step,
				 .runs_moved = 2,
				 .log_estimate = log(estimate) };
	PoolAnswer answer = POOL_ANSWER__INIT;

	snprintf(job.id, sizeof(job.id), "%s", id);
	answer.outcome = outcome;
	answer.reason = (char *)"why";
	pool_log_job(&p.sched, &job, &answer);
}

/*
 * Guards against a log of long jobs that has gaps, as lines of short ones fill
 * it, and against losses that are left out with them.
 */
Test(pool_log, completed_jobs_with_a_short_estimate_are_left_out)
{
	char text[4096];
	size_t n;

	cr_redirect_stderr();
	p.sched.user = &p;
	p.set.log_estimate = 200;
	log_start("vm", LOG_LEVEL_INFO);
	log_job("long", 300, POOL_ANSWER__OUTCOME__COMPLETED);
	log_job("short", 100, POOL_ANSWER__OUTCOME__COMPLETED);
	log_job("lost", 100, POOL_ANSWER__OUTCOME__INCOMPLETE);
	fflush(stderr);
	n = fread(text, 1, sizeof(text) - 1, cr_get_redirected_stderr());
	text[n] = '\0';
	cr_assert(strstr(text, "\"long\""), "%s", text);
	cr_assert(strstr(text, "\"lost\""), "%s", text);
	cr_assert(!strstr(text, "\"short\""), "%s", text);
	cr_assert(strstr(text, "\"cpu\":7000,\"shown_ms\":0,\"moves\":2,"),
		  "%s", text);
}

/* Guards against the queues that are not logged being taken for idle ones. */
Test(pool_log, delays_of_more_queues_than_are_logged)
{
	static const struct sched_ops no_ops;
	char text[16384], name[16];
	const char *at;
	size_t n, i;

	apr_initialize();
	apr_pool_create(&p.pool, NULL);
	cr_redirect_stderr();
	log_start("vm", LOG_LEVEL_INFO);
	p.leading = 1;
	p.now = 100000;
	sched_init(&p.sched, &no_ops, &p, NULL, LEAD_TOKEN(1), 1000, 1);
	for (i = 0; i < 25; i++) {
		snprintf(name, sizeof(name), "q%zu", i);
		sched_get_queue(&p.sched, name, 1)->nended = 1;
	}
	pool_log_delays(&p);
	fflush(stderr);
	n = fread(text, 1, sizeof(text) - 1, cr_get_redirected_stderr());
	text[n] = '\0';
	for (n = 0, at = text; (at = strstr(at, "\"start_delays\"")); at++)
		n++;
	cr_assert_eq(n, 20, "%s", text);
	cr_assert(strstr(text, "\"start_delays_left_out\""), "%s", text);
	cr_assert(strstr(text, "\"queues\":5"), "%s", text);
}
