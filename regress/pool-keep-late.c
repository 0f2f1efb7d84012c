/* A late write of the previous leader beside a change of this one. */

#include <criterion/criterion.h>

#include <apr_general.h>

#include "pool-keep.h"
#include "sched-int.h"

static struct pool p;

static void init_leader(void)
{
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	apr_pool_create(&p.pool, NULL);
	p.now = pool_clock();
	p.leadership_confirmed_at = p.now;
	str_copy(p.set.store_address, sizeof(p.set.store_address),
		 str_of("127.0.0.1:1"));
	pool_loop_init(&p);
	pool_calls_init(&p);
	pool_store_init(&p);
	pool_stored_begin(&p);
}

static void finish_leader(void)
{
	pool_calls_cancel(&p, p.call_group);
	pool_stored_end(&p);
	curl_multi_cleanup(p.curl);
	apr_pool_destroy(p.pool);
}

TestSuite(pool_keep_late, .init = init_leader, .fini = finish_leader,
	  .timeout = 20);

static uint64_t no_answer(struct sched *s, struct sched_job *job,
			  const PoolAnswer *answer)
{
	(void)s;
	(void)job;
	(void)answer;
	return 0;
}

/*
 * A late write of the previous leader has the job scheduled anew while its own
 * change waits to be written. Guards against a start in a domain that the store
 * does not have yet.
 */
Test(pool_keep_late, a_late_write_does_not_stand_for_the_own_one)
{
	static const struct sched_ops no_ops = { .domains = pool_stored_domains,
						 .answer = no_answer };
	static const struct sched_target t = { .listing = { .failure_domain =
								    "a" } };
	PoolJob job = POOL_JOB__INIT;
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps = &step;
	uint32_t done = 1;
	uint8_t packed[512];
	struct platform_row row = { .key = "0000000000000001", .version = 4 };
	struct sched_job *open;

	sched_init(&p.sched, &no_ops, &p, NULL, LEAD_TOKEN(2), 1000,
		   p.now - 5000);
	p.leading = 1;
	p.lead.row.version = 5;
	step.tasks = 2;
	sub.id = row.key;
	sub.queue = sub.service = "q";
	sub.stored = 1;
	sub.n_steps = 1;
	sub.steps = &steps;
	job.submit = &sub;
	row.len = pool_job__pack(&job, packed);
	row.value = (char *)packed;
	stored_job_apply_row(&p, &row);
	open = sched_find_open_job(&p.sched, str_of(row.key));
	cr_assert_not(sched_domain_announce(open, &t));
	job.done = &done;
	job.n_done = 1;
	job.writer = LEAD_TOKEN(1);
	row.version = 6;
	row.len = pool_job__pack(&job, packed);
	stored_job_apply_row(&p, &row);
	open = sched_find_open_job(&p.sched, str_of(row.key));
	cr_assert(open->domains_mark, "started before the row is written");
}
