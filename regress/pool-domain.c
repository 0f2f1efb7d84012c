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
static struct sched_job *submit_with(uint32_t left_ms, int presumes,
				     uint64_t specification_hash)
{
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps = &step;

	sub.presumes_domains = presumes;
	sub.specification_hash = specification_hash;
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

/* Its owner is of a release that presumes no failure domains. */
static struct sched_job *submit(uint32_t left_ms)
{
	return submit_with(left_ms, 0, 0);
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

/* Guards against a start that waits for the owner of a job. */
Test(pool_domain, an_owner_that_presumes_domains_is_told_after_the_starts)
{
	struct sched_job *job = submit_with(60000, 1, 0);
	PoolFrame *frame;

	cr_assert(sched_domain_announce(job, &in_a));
	cr_assert(sched_domain_announce(job, &in_b));
	cr_assert_null(next_frame(&to_owner));
	sched_domains_placed(job);
	frame = next_frame(&to_owner);
	cr_assert_not_null(frame);
	cr_assert(frame->progress->all_domains);
	cr_assert_not(frame->progress->any_domain);
	cr_assert_eq(frame->progress->n_domains, 2);
	pool_frame__free_unpacked(frame, NULL);
	cr_assert_not(job->domains_mark);
	sched_domains_placed(job);
	cr_assert_null(next_frame(&to_owner));
}

/*
 * A link was lost, and the job is submitted again. Guards against an owner that
 * presumes any domain for the rest of the job.
 */
Test(pool_domain, an_owner_is_told_again_after_a_reconnection)
{
	struct sched_job *job = submit_with(60000, 1, 0);
	PoolFrame *frame;

	cr_assert(sched_domain_announce(job, &in_a));
	member.link = NULL;
	sched_domains_placed(job);
	member.link = &to_owner;
	cr_assert_eq(submit_with(60000, 1, 0), job);
	frame = next_frame(&to_owner);
	cr_assert_not_null(frame);
	cr_assert(frame->progress->all_domains);
	pool_frame__free_unpacked(frame, NULL);
	cr_assert_not(job->domains_mark);
}

/* The start that names the domain may be lost with its link. */
Test(pool_domain, an_owner_that_starts_tasks_is_told_after_a_reconnection)
{
	struct sched_job *job = submit_with(60000, 1, 7);
	PoolFrame *frame;

	cr_assert(sched_domain_announce(job, &in_a));
	sched_domains_placed(job);
	cr_assert_null(next_frame(&to_owner));
	cr_assert_eq(submit_with(60000, 1, 7), job);
	frame = next_frame(&to_owner);
	cr_assert_not_null(frame);
	cr_assert_eq(frame->progress->n_domains, 1);
	cr_assert_not(frame->progress->all_domains);
	pool_frame__free_unpacked(frame, NULL);
}

/* Guards against starts that name no domain, or one for each task. */
Test(pool_domain, a_start_names_the_domains_of_its_targets)
{
	struct sched_target in_c = { .listing.failure_domain = "c" };
	struct sched_job *job = submit_with(60000, 1, 7);
	PoolFrame *frame;

	snprintf(in_c.listing.address, RP_ADDRESS_MAX, "10.0.0.1:80");
	cr_assert(sched_domain_announce(job, &in_c));
	leader.agent_calls = hash_new(leader.sched.pool);
	job->tasks[0].target = job->tasks[1].target = &in_c;
	pool_start_send(&leader, NULL, &job->tasks[0], 1000, NULL);
	pool_start_send(&leader, NULL, &job->tasks[1], 1000, NULL);
	pool_starts_flush(&leader);
	job->tasks[0].target = job->tasks[1].target = NULL;
	frame = next_frame(&to_owner);
	cr_assert_not_null(frame);
	cr_assert_eq(frame->body_case, POOL_FRAME__BODY_START);
	cr_assert_eq(frame->start->n_tasks, 2);
	cr_assert_eq(frame->start->n_domains, 1);
	cr_assert_str_eq(frame->start->domains[0], "c");
	pool_frame__free_unpacked(frame, NULL);
	pool_calls_cancel(&leader, 0);
	while (leader.calls)
		pool_call_end(leader.calls, 0, NULL, 0);
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

static struct pool_request *open_request(void)
{
	struct pool_request *r = pool_request_new(&owner, "POST", "/q/1");
	PoolSubmit *sub = calloc(1, sizeof(*sub));

	pool_submit__init(sub);
	sub->seq = r->seq = 4;
	sub->id = strdup("0123456789abcdef");
	sub->queue = strdup("q");
	sub->service = strdup("q");
	r->submit = sub;
	r->deadline = owner.now + 60000;
	owner.set.max_lease = 1000;
	apr_hash_set(owner.requests, &r->seq, sizeof(r->seq), r);
	return r;
}

/*
 * Guards against a next leader that takes a call of this one for over, as the
 * owner does not tell where tasks may have been started. A leader that knows of
 * fewer domains takes none back.
 */
Test(pool_domain, the_owner_tells_the_next_leader)
{
	struct pool_request *r = open_request();
	PoolFrame *frame;

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

static void receive_told(int all_domains)
{
	PoolProgress progress = POOL_PROGRESS__INIT;
	PoolFrame frame = POOL_FRAME__INIT;

	progress.seq = 4;
	progress.mark = 1;
	progress.all_domains = all_domains;
	frame.body_case = POOL_FRAME__BODY_PROGRESS;
	frame.progress = &progress;
	pool_frame_received(&to_leader, &frame);
}

static void check_resubmission(uint64_t fence, int any_domain)
{
	PoolFrame *frame = resubmit(fence);

	cr_assert_not_null(frame);
	cr_assert(frame->submit->presumes_domains);
	cr_assert_eq(frame->submit->any_domain, any_domain, "fence %llx",
		     (unsigned long long)fence);
	pool_frame__free_unpacked(frame, NULL);
}

/*
 * Guards against an owner that takes the domains that it knows for all of them,
 * though its leader has ended before it could tell.
 */
Test(pool_domain, an_owner_that_was_not_told_presumes_any_domain)
{
	struct pool_request *r = open_request();

	check_resubmission(LEAD_TOKEN(1), 0);
	check_resubmission(LEAD_TOKEN(1), 0);
	receive_told(0);
	check_resubmission(LEAD_TOKEN(2), 1);
	receive_told(1);
	check_resubmission(LEAD_TOKEN(3), 1);
	pool_request_free(r);
}

Test(pool_domain, an_owner_that_was_told_presumes_nothing)
{
	struct pool_request *r = open_request();

	check_resubmission(LEAD_TOKEN(1), 0);
	receive_told(1);
	check_resubmission(LEAD_TOKEN(2), 0);
	/* The link is lost, and the leader may start more meanwhile. */
	receive_told(1);
	check_resubmission(LEAD_TOKEN(2), 0);
	check_resubmission(LEAD_TOKEN(3), 1);
	pool_request_free(r);
}

/* Its specification is kept, so only this VM can start its tasks. */
Test(pool_domain, an_owner_that_starts_tasks_presumes_nothing)
{
	PoolBeat beat = POOL_BEAT__INIT;
	PoolStart start = POOL_START__INIT;
	struct pool_request *r = open_request();
	char *domains[] = { "a", "b" };
	PoolFrame *frame;

	beat.agents = 1;
	owner.leader_heartbeat = &beat;
	check_resubmission(LEAD_TOKEN(1), 0);
	start.job = 4;
	start.fence = LEAD_TOKEN(1);
	start.domains = domains;
	start.n_domains = 2;
	pool_start_received(&owner, &start);
	frame = resubmit(LEAD_TOKEN(2));
	cr_assert_eq(frame->submit->former, LEAD_TOKEN(1));
	cr_assert_not(frame->submit->any_domain);
	cr_assert_eq(frame->submit->n_domains, 2);
	pool_frame__free_unpacked(frame, NULL);
	owner.leader_heartbeat = NULL;
	pool_request_free(r);
}
