/*
 * A link to the leader with a longer delay than an entry VM waits before it
 * asks again. Guards against a cancellation that the leader has recorded, and
 * whose caller is never told: the VM ignored replies to all tries but the
 * latest.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

#include "pool-request.h"
#include "pool-store.h"

static struct pool p;
static struct pool_link to_leader = { .p = &p };

/* There are no connections: the tests take the place of the HTTP server. */
void MHD_suspend_connection(struct MHD_Connection *conn)
{
	(void)conn;
}

void MHD_resume_connection(struct MHD_Connection *conn)
{
	(void)conn;
}

/* Returns the number of the first query that waits to be sent. */
static uint64_t take_query(void)
{
	PoolFrame *frame;
	uint64_t seq;

	cr_assert_gt(to_leader.bulk.len, 0);
	frame = pool_frame__unpack(NULL, (size_t)to_leader.bulk.data[0],
				   (uint8_t *)to_leader.bulk.data + 1);
	cr_assert(frame->state_query->cancel);
	seq = frame->state_query->seq;
	pool_frame__free_unpacked(frame, NULL);
	to_leader.bulk.len = 0;
	return seq;
}

static void pass(rp_ms ms)
{
	p.now += ms;
	pool_job_queries_expire(&p);
}

Test(pool_slow_link, the_reply_to_an_earlier_try_counts)
{
	PoolStateReply reply = POOL_STATE_REPLY__INIT;
	struct pool_request *r;

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
	p.leader_link = &to_leader;
	r = pool_request_new(&p, "DELETE", "/q/1");
	r->deadline = p.now + 5000;
	pool_job_cancel(r, "0000000000000001", 0);
	take_query();
	pass(200);
	cr_assert_not_null(p.calls, "the row is not read");
	pool_call_end(p.calls, 200, "{\"rows\":[]}", 11);
	reply.seq = take_query();
	reply.unsubmitted = 1;
	pass(600);
	take_query();
	pool_job_state_received(&p, &reply);
	cr_assert_eq(r->response.status, 410);
	cr_assert_eq(p.nopen, 0);
	pool_request_free(r);
	pool_jobs_finish(&p);
	free(to_leader.bulk.data);
}
