/* Cancellations of jobs, between an entry VM and the leader. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

#include "pool-request.h"

static struct pool owner;
static struct pool_link first, second;

static void init_owner(void)
{
	apr_initialize();
	apr_pool_create(&owner.pool, NULL);
	owner.requests = hash_new(owner.pool);
	owner.now = 1000;
	first.p = second.p = &owner;
	first.greeted = second.greeted = 1;
	owner.leader_link = &first;
}

static void finish_owner(void)
{
	free(first.bulk.data);
	free(second.bulk.data);
	apr_pool_destroy(owner.pool);
}

TestSuite(pool_cancel, .init = init_owner, .fini = finish_owner);

/* Cancels a job and replaces the link to the leader after ms. */
static void cancel_and_reconnect(rp_ms ms)
{
	pool_send_cancel(&owner, 5);
	cr_assert_gt(first.bulk.len, 0);
	owner.leader_link = &second;
	owner.now += ms;
	pool_requests_resubmit(&owner);
}

/*
 * Guards against a job that goes on though its caller was told that it is
 * cancelled: the link had gone silent, and only open jobs were submitted again.
 */
Test(pool_cancel, a_cancellation_is_sent_again_over_the_next_link)
{
	cancel_and_reconnect(400);
	cr_assert_eq(second.bulk.len, first.bulk.len);
	cr_assert_eq(memcmp(second.bulk.data, first.bulk.data, first.bulk.len),
		     0);
}

Test(pool_cancel, an_old_cancellation_is_not_sent_again)
{
	cancel_and_reconnect(5000);
	cr_assert_eq(second.bulk.len, 0);
}

/* The job was closed while there was no link. */
Test(pool_cancel, a_cancellation_without_a_link_is_sent_later)
{
	owner.leader_link = NULL;
	pool_send_cancel(&owner, 5);
	owner.leader_link = &second;
	pool_requests_resubmit(&owner);
	cr_assert_gt(second.bulk.len, 0);
}

/* --- at an entry VM that has not taken the job ------------------------- */

static struct pool leader;
static struct pool_link to_owner, to_other;
static struct pool_member members[2] = {
	{ .vm = "owner", .link = &to_owner },
	{ .vm = "other", .link = &to_other },
};
static PoolAnswer__Outcome answered;

static uint64_t on_answer(struct sched *s, struct sched_job *job,
			  const PoolAnswer *answer)
{
	(void)s;
	cr_assert_eq(job->owner, &members[0]);
	answered = answer->outcome;
	return 0;
}

static const struct sched_ops ops = { .answer = on_answer };

/* The leader has job 4 of the VM "owner". */
static void lead_with_job(int stored)
{
	static const struct sched_policies all = { .admit = "all" };
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps = &step;

	apr_pool_create(&leader.pool, NULL);
	leader.leading = 1;
	leader.now = 1000;
	to_owner.p = to_other.p = &leader;
	members[0].next = &members[1];
	leader.members = members;
	sched_init(&leader.sched, &ops, &leader, &all, LEAD_TOKEN(1), 1000,
		   leader.now);
	step.tasks = 1;
	sub.seq = 4;
	sub.id = "0123456789abcdef";
	sub.queue = sub.service = "q";
	sub.stored = stored;
	sub.left_ms = 5000;
	sub.steps = &steps;
	sub.n_steps = 1;
	sched_submit(&leader.sched, &members[0], &sub, leader.now);
	answered = POOL_ANSWER__OUTCOME__REJECTED;
}

static void finish_leading(void)
{
	sched_finish(&leader.sched);
	free(to_other.bulk.data);
	apr_pool_destroy(leader.pool);
}

/* Has the VM "other" cancel a job, and returns whether it was open. */
static int cancel_elsewhere(const char *id)
{
	PoolStateQuery query = POOL_STATE_QUERY__INIT;
	PoolFrame *frame;
	int final;

	query.seq = 9;
	query.id = (char *)id;
	query.cancel = 1;
	pool_state_query_received(&leader, &members[1], &query);
	pool_state_flush(&leader);
	cr_assert_gt(to_other.bulk.len, 0);
	frame = pool_frame__unpack(NULL, (size_t)to_other.bulk.data[0],
				   (uint8_t *)to_other.bulk.data + 1);
	cr_assert_eq(frame->state_reply->seq, 9);
	final = frame->state_reply->final;
	if (final)
		cr_assert_eq(frame->state_reply->state,
			     POOL_JOB__STATE__CANCELLED);
	pool_frame__free_unpacked(frame, NULL);
	return final;
}

/*
 * Guards against a job that goes on though its caller was told that there is
 * none: it had cancelled the job at an entry VM that does not know of it.
 */
Test(pool_cancel, the_leader_cancels_a_job_that_another_vm_has_taken)
{
	lead_with_job(0);
	cr_assert(cancel_elsewhere("0123456789abcdef"));
	cr_assert_eq(answered, POOL_ANSWER__OUTCOME__CANCELLED);
	cr_assert_eq(leader.sched.njobs, 0);
	finish_leading();
}

Test(pool_cancel, a_job_that_nobody_has_is_not_cancelled)
{
	lead_with_job(0);
	cr_assert_not(cancel_elsewhere("00000000000000ff"));
	cr_assert_eq(leader.sched.njobs, 1);
	finish_leading();
}

/*
 * Guards against "there is none" from a leader that cannot know: another one
 * may have the job, or its entry VM is yet to submit it.
 */
Test(pool_cancel, a_leader_that_may_not_know_a_job_does_not_reply)
{
	PoolStateQuery query = POOL_STATE_QUERY__INIT;

	lead_with_job(0);
	leader.sched.owners_missing = 1;
	query.seq = 9;
	query.id = "00000000000000ff";
	query.cancel = 1;
	pool_state_query_received(&leader, &members[1], &query);
	pool_state_flush(&leader);
	cr_assert_eq(to_other.bulk.len, 0);
	/* What it knows it cancels. */
	cr_assert(cancel_elsewhere("0123456789abcdef"));
	finish_leading();
}

/* Cut short it would be the id of another job. */
Test(pool_cancel, an_id_that_is_too_long_cancels_nothing)
{
	PoolStateQuery query = POOL_STATE_QUERY__INIT;

	lead_with_job(0);
	query.seq = 9;
	query.id = "0123456789abcdef0123456789abcdef";
	query.cancel = 1;
	pool_state_query_received(&leader, &members[1], &query);
	pool_state_flush(&leader);
	cr_assert_eq(to_other.bulk.len, 0);
	cr_assert_eq(leader.sched.njobs, 1);
	finish_leading();
}

/* The row decides on a stored job. */
Test(pool_cancel, a_stored_job_is_not_cancelled_without_its_row)
{
	lead_with_job(1);
	cr_assert_not(cancel_elsewhere("0123456789abcdef"));
	cr_assert_eq(leader.sched.njobs, 1);
	finish_leading();
}
