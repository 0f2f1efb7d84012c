/*
 * Failure domains in which a job may have been started, between the leader and
 * the entry VM that owns the job.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

#include "pool-request.h"
#include "sched-int.h"

static struct pool leader, owner;
static struct pool_link to_owner, to_leader;
static struct pool_member member;

static uint64_t no_answer(struct sched *s, struct sched_job *job,
			  const PoolAnswer *answer)
{
	(void)s;
	(void)job;
	(void)answer;
	return 0;
}

static const struct sched_ops ops = {
	.domains = pool_domains_send,
	.answer = no_answer,
};

static const struct sched_policies all = { .admit = "all" };
static const struct sched_target in_a = { .listing.failure_domain = "a" };
static const struct sched_target in_b = { .listing.failure_domain = "b" };

static void init_pools(void)
{
	apr_initialize();
	apr_pool_create(&owner.pool, NULL);
	owner.requests = hash_new(owner.pool);
	pool_agent_init(&owner);
	leader.leading = 1;
	leader.now = owner.now = 1000;
	sched_init(&leader.sched, &ops, &leader, &all, LEAD_TOKEN(1), 1000,
		   leader.now);
	to_owner.p = &leader;
	to_owner.member = &member;
	to_leader.p = &owner;
	to_leader.greeted = 1;
	owner.leader_link = &to_leader;
	snprintf(member.vm, sizeof(member.vm), "vm1");
	member.link = &to_owner;
	leader.members = &member;
}

static void finish_pools(void)
{
	sched_finish(&leader.sched);
	apr_pool_destroy(owner.pool);
	while (owner.ndeferred)
		free(owner.deferred[--owner.ndeferred]);
	free(owner.deferred);
	free(to_owner.bulk.data);
	free(to_leader.bulk.data);
}

TestSuite(pool_domain, .init = init_pools, .fini = finish_pools);

/* Takes the next frame that was queued on the link. */
static PoolFrame *next_frame(struct pool_link *l)
{
	const unsigned char *u = (const unsigned char *)l->bulk.data;
	size_t header = 0, n = 0, size;
	PoolFrame *frame;

	if (!l->bulk.len)
		return NULL;
	do
		n |= (size_t)(u[header] & 127) << (7 * header);
	while (u[header++] & 128);
	frame = pool_frame__unpack(NULL, n, u + header);
	size = header + n;
	l->bulk.len -= size;
	memmove(l->bulk.data, l->bulk.data + size, l->bulk.len);
	return frame;
}

/* Submits a job of the member to the leader, also again. */
static struct sched_job *submit(uint32_t left_ms)
{
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps = &step;

	step.tasks = 2;
	sub.seq = 4;
	sub.id = "0123456789abcdef";
	sub.queue = sub.service = "q";
	sub.left_ms = left_ms;
	sub.steps = &steps;
	sub.n_steps = 1;
	pool_schedule_job(&leader, &member, &sub);
	return sched_find_open_job(&leader.sched, str_of(sub.id));
}

/* The owner acknowledges the leader's messages up to the mark. */
static void receive_ack(uint64_t mark)
{
	PoolHeard heard = POOL_HEARD__INIT;
	PoolFrame frame = POOL_FRAME__INIT;

	heard.mark = mark;
	frame.body_case = POOL_FRAME__BODY_HEARD;
	frame.heard = &heard;
	pool_frame_received(&to_owner, &frame);
}

/* Guards against a start of which no successor would learn. */
Test(pool_domain, a_domain_is_told_and_acknowledged_before_a_start)
{
	struct sched_job *job = submit(60000);
	PoolFrame *frame;

	cr_assert_not(sched_domain_announce(job, &in_a));
	cr_assert(job->domains_mark);
	frame = next_frame(&to_owner);
	cr_assert_not_null(frame);
	cr_assert_eq(frame->body_case, POOL_FRAME__BODY_PROGRESS);
	cr_assert_eq(frame->progress->seq, 4);
	cr_assert_eq(frame->progress->mark, job->domains_mark);
	cr_assert_eq(frame->progress->n_domains, 1);
	cr_assert_str_eq(frame->progress->domains[0], "a");
	receive_ack(frame->progress->mark - 1);
	cr_assert(job->domains_mark);
	receive_ack(frame->progress->mark);
	cr_assert_not(job->domains_mark);
	cr_assert(sched_domain_announce(job, &in_a));
	pool_frame__free_unpacked(frame, NULL);
	cr_assert_null(next_frame(&to_owner));
}

/* Jobs that are over with the leases cost no message and no wait. */
Test(pool_domain, a_job_that_ends_before_late_calls_matter_needs_no_message)
{
	struct sched_job *job = submit(1500);

	cr_assert(sched_domain_announce(job, &in_a));
	cr_assert_null(next_frame(&to_owner));
}

/*
 * The message was lost with its link. Guards against a job that waits for its
 * acknowledgement for ever.
 */
Test(pool_domain, domains_are_told_again_after_a_reconnection)
{
	struct sched_job *job = submit(60000);
	PoolFrame *frame;

	member.link = NULL;
	cr_assert_not(sched_domain_announce(job, &in_a));
	cr_assert_null(next_frame(&to_owner));
	member.link = &to_owner;
	cr_assert_eq(submit(60000), job);
	frame = next_frame(&to_owner);
	cr_assert_not_null(frame);
	cr_assert_eq(frame->progress->n_domains, 1);
	cr_assert_eq(frame->progress->mark, job->domains_mark);
	receive_ack(frame->progress->mark);
	cr_assert_not(job->domains_mark);
	pool_frame__free_unpacked(frame, NULL);
}

/* The owner may not know of the first domain yet when it is told the second. */
Test(pool_domain, each_message_has_all_domains)
{
	struct sched_job *job = submit(60000);
	PoolFrame *frame;

	sched_domain_announce(job, &in_a);
	sched_domain_announce(job, &in_b);
	pool_frame__free_unpacked(next_frame(&to_owner), NULL);
	frame = next_frame(&to_owner);
	cr_assert_not_null(frame);
	cr_assert_eq(frame->progress->n_domains, 2);
	cr_assert_str_eq(frame->progress->domains[1], "b");
	pool_frame__free_unpacked(frame, NULL);
}

static void receive_domains(const char *first, const char *second)
{
	char *domains[] = { (char *)first, (char *)second };
	PoolProgress progress = POOL_PROGRESS__INIT;
	PoolFrame frame = POOL_FRAME__INIT;

	progress.seq = 4;
	progress.mark = 1;
	progress.domains = domains;
	progress.n_domains = second ? 2 : 1;
	frame.body_case = POOL_FRAME__BODY_PROGRESS;
	frame.progress = &progress;
	pool_frame_received(&to_leader, &frame);
}

/* Submits the owner's jobs to another leader. Returns the message. */
static PoolFrame *resubmit(uint64_t fence)
{
	owner.lead.row.fence = fence;
	pool_requests_resubmit(&owner);
	return next_frame(&to_leader);
}

/*
 * Guards against a next leader that takes a call of this one for over, as the
 * owner does not tell where tasks may have been started. A leader that knows of
 * fewer domains takes none back.
 */
Test(pool_domain, the_owner_tells_the_next_leader)
{
	struct pool_request *r = pool_request_new(&owner, "POST", "/q/1");
	PoolSubmit *sub = calloc(1, sizeof(*sub));
	PoolFrame *frame;

	pool_submit__init(sub);
	sub->seq = r->seq = 4;
	sub->id = strdup("0123456789abcdef");
	sub->queue = strdup("q");
	sub->service = strdup("q");
	r->submit = sub;
	r->deadline = owner.now + 60000;
	owner.set.max_lease = 1000;
	apr_hash_set(owner.requests, &r->seq, sizeof(r->seq), r);
	frame = resubmit(LEAD_TOKEN(1));
	cr_assert_eq(frame->submit->n_domains, 0);
	pool_frame__free_unpacked(frame, NULL);
	receive_domains("a", NULL);
	receive_domains("a", "b");
	receive_domains("c", NULL);
	frame = resubmit(LEAD_TOKEN(2));
	cr_assert_eq(frame->submit->n_domains, 3);
	cr_assert_str_eq(frame->submit->domains[0], "a");
	cr_assert_str_eq(frame->submit->domains[1], "b");
	cr_assert_str_eq(frame->submit->domains[2], "c");
	pool_frame__free_unpacked(frame, NULL);
	frame = resubmit(LEAD_TOKEN(3));
	cr_assert_eq(frame->submit->n_domains, 3);
	pool_frame__free_unpacked(frame, NULL);
	pool_request_free(r);
}
