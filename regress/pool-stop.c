/*
 * A planned stop while the store does not answer. LeakSanitizer looks for what
 * is left when the process of a test exits; regress/run.sh reads its report.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

#include "pool-request.h"
#include "pool-store.h"

/* As in pool_run(): the calls in flight are not freed, but can be reached. */
static struct pool p;
static int resumed;

/* There are no connections: the tests take the place of the HTTP server. */
void MHD_suspend_connection(struct MHD_Connection *conn)
{
	(void)conn;
}

void MHD_resume_connection(struct MHD_Connection *conn)
{
	(void)conn;
	resumed++;
}

static void init_vm(void)
{
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	apr_pool_create(&p.pool, NULL);
	p.requests = hash_new(p.pool);
	p.now = pool_clock();
	str_copy(p.set.store_address, sizeof(p.set.store_address),
		 str_of("127.0.0.1:1"));
	pool_loop_init(&p);
	pool_calls_init(&p);
	pool_store_init(&p);
	pool_jobs_init(&p);
}

/* The end of pool_run(), and of the process. */
static void stop_vm(void)
{
	pool_jobs_finish(&p);
	apr_terminate();
}

TestSuite(pool_stop, .init = init_vm, .fini = stop_vm, .timeout = 20);

static struct pool_request *new_request(const char *id)
{
	struct pool_request *r = pool_request_new(&p, "POST", "/q/1");
	PoolSubmit *sub = calloc(1, sizeof(*sub));

	pool_submit__init(sub);
	sub->id = strdup(id);
	sub->queue = strdup("q");
	sub->service = strdup("q");
	sub->stored = 1;
	r->submit = sub;
	r->deadline = p.now + 60000;
	return r;
}

/* The last answers are sent, and the server frees the request. */
static void abort_request(struct pool_request *r)
{
	pool_jobs_abort(&p);
	cr_assert_eq(r->response.status, 504);
	cr_assert_eq(resumed, 1);
	cr_assert_eq(p.nopen, 0);
	pool_request_free(r);
}

/* Guards against a process that ends with a failure after a planned stop. */
Test(pool_stop, a_submission_in_flight_is_not_leaked)
{
	struct pool_request *r = new_request("0000000000000001");

	pool_job_submit(r);
	pool_jobs_flush(&p);
	cr_assert_not_null(p.calls);
	abort_request(r);
}

Test(pool_stop, a_submission_that_was_not_sent_is_not_leaked)
{
	struct pool_request *r = new_request("0000000000000002");

	pool_job_submit(r);
	abort_request(r);
}

/*
 * Its caller waits no longer. Guards against 504 by the next tick, which says
 * that the job may have been cancelled.
 */
Test(pool_stop, a_cancellation_without_time_is_refused_at_once)
{
	struct pool_request *r = new_request("0000000000000004");
	struct pool_link to_leader = { .p = &p };

	p.leader_link = &to_leader;
	r->deadline = p.now;
	pool_job_cancel(r, r->submit->id, 0);
	cr_assert_null(p.calls);
	cr_assert_eq(to_leader.bulk.len, 0);
	cr_assert_eq(r->response.status, 503);
	cr_assert_eq(p.nopen, 0);
	pool_request_free(r);
}

Test(pool_stop, a_cancellation_in_flight_is_not_leaked)
{
	struct pool_request *r = new_request("0000000000000003");

	pool_job_cancel(r, r->submit->id, 0);
	cr_assert_not_null(p.calls);
	abort_request(r);
}
