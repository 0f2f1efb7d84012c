/* Rows of stored jobs that the leader writes. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

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

TestSuite(pool_keep, .init = init_leader, .fini = finish_leader, .timeout = 20);

/* Queues the rows of n jobs in part 0, each with a specification of size. */
static void queue_rows(size_t n, size_t size)
{
	size_t i;

	for (i = 0; i < n; i++) {
		struct stored_job *j = calloc(1, sizeof(*j));

		snprintf(j->id, sizeof(j->id), "%016zx", i);
		j->version = 7;
		j->job = malloc(sizeof(*j->job));
		pool_job__init(j->job);
		j->job->submit = malloc(sizeof(*j->job->submit));
		pool_submit__init(j->job->submit);
		j->job->submit->specification.data = calloc(1, size);
		j->job->submit->specification.len = size;
		apr_hash_set(p.stored_jobs->jobs, j->id, APR_HASH_KEY_STRING,
			     j);
		stored_job_queue(&p.stored_jobs->parts[0], j);
	}
}

/* Returns the body of the transaction that the next tick sends for part 0. */
static const char *next_transaction(void)
{
	int i;

	for (i = 0; i < JOBS_PARTS; i++) {
		p.stored_jobs->parts[i].marker_version = 5;
		p.stored_jobs->parts[i].in_flight = i != 0;
	}
	pool_stored_tick(&p, p.now);
	cr_assert_not_null(p.calls);
	return p.calls->request;
}

static size_t count(json_t *root, const char *name)
{
	return json_array_size(json_object_get(root, name));
}

/*
 * The store refuses a transaction of more than 100 entries. The leader sent it
 * again and again, and no row of the part was written any more.
 */
Test(pool_keep, a_full_batch_is_within_the_limits_of_the_store)
{
	json_t *root;

	queue_rows(120, 10);
	root = json_loads(next_transaction(), 0, NULL);
	cr_assert_gt(count(root, "writes"), 40);
	cr_assert_leq(count(root, "writes") + count(root, "remove") +
			      count(root, "expectedRevision"),
		      100);
	json_decref(root);
}

Test(pool_keep, a_batch_of_large_rows_is_within_the_limits_of_the_store)
{
	queue_rows(60, 40000);
	cr_assert_lt(strlen(next_transaction()), 1000000);
}

static struct pool_member member;
static struct pool_link member_link;

/* A member asks for the state of job 0. */
static void query_state(void)
{
	PoolStateQuery query = POOL_STATE_QUERY__INIT;

	str_copy(member.vm, sizeof(member.vm), str_of("vm1"));
	member.link = &member_link;
	member_link.p = &p;
	member_link.member = &member;
	p.members = &member;
	query.seq = 9;
	query.id = "0000000000000000";
	pool_state_query_received(&p, &member, &query);
	pool_state_flush(&p);
}

static PoolFrame *sent_frame(void)
{
	cr_assert_gt(member_link.bulk.len, 0);
	cr_assert_lt(member_link.bulk.data[0], 128);
	return pool_frame__unpack(NULL, (size_t)member_link.bulk.data[0],
				  (uint8_t *)member_link.bulk.data + 1);
}

/*
 * Callers ask when the last task has ended. The row did not say so yet, and
 * they asked again 250 ms later.
 */
Test(pool_keep, a_query_waits_for_the_row_of_a_job_that_ends)
{
	struct stored_job *j;
	PoolFrame *frame;

	sched_init(&p.sched, NULL, &p, NULL, LEAD_TOKEN(1), 1000, p.now);
	queue_rows(1, 10);
	query_state();
	cr_assert_eq(member_link.bulk.len, 0);
	j = stored_job_find(&p, "0000000000000000");
	pool_job__free_unpacked(j->job, NULL);
	j->job = NULL;
	j->state = POOL_JOB__STATE__COMPLETED;
	pool_state_flush(&p);
	frame = sent_frame();
	cr_assert_eq(frame->state_reply->seq, 9);
	cr_assert(frame->state_reply->final);
	cr_assert_eq(frame->state_reply->state, POOL_JOB__STATE__COMPLETED);
	pool_frame__free_unpacked(frame, NULL);
	free(member_link.bulk.data);
	sched_finish(&p.sched);
}

/* The row is read then; a job that goes on must not hold up its caller. */
Test(pool_keep, a_query_is_answered_though_its_job_goes_on)
{
	PoolFrame *frame;

	sched_init(&p.sched, NULL, &p, NULL, LEAD_TOKEN(1), 1000, p.now);
	queue_rows(1, 10);
	query_state();
	p.now += 101;
	pool_state_flush(&p);
	frame = sent_frame();
	cr_assert_eq(frame->state_reply->seq, 9);
	cr_assert_not(frame->state_reply->final);
	pool_frame__free_unpacked(frame, NULL);
	free(member_link.bulk.data);
	sched_finish(&p.sched);
}

/*
 * This leader was provisional, and got the next term's token. Until then the
 * regular leader may have started a job that was accepted just before. Guards
 * against starting its tasks at once.
 */
Test(pool_keep, a_job_from_before_the_token_was_raised_may_have_been_started)
{
	static const struct sched_ops no_ops;
	PoolJob job = POOL_JOB__INIT;
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps = &step;
	uint8_t packed[512];
	struct platform_row row = { .key = "0000000000000001", .version = 9 };
	const struct sched_job *open;

	sched_init(&p.sched, &no_ops, &p, NULL, LEAD_TOKEN(1) | 7, 1000,
		   p.now - 5000);
	sched_raise_fence(&p.sched, LEAD_TOKEN(2), p.now - 10);
	p.leading = 1;
	p.lead.row.version = 5;
	step.tasks = 1;
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
	cr_assert_not_null(open);
	cr_assert_eq(open->prev_fence, LEAD_TOKEN(1));
}

/*
 * A domain is cut off from the others, but not from the store: its provisional
 * leader and the regular one both read the table of stored jobs. Guards against
 * both running their tasks.
 */
Test(pool_keep, a_provisional_leader_leaves_stored_jobs_to_the_regular_one)
{
	p.lead.role = LEAD_LEADING;
	p.lead.row.fence = LEAD_TOKEN(1) | 7;
	pool_stored_tick(&p, p.now);
	cr_assert_null(p.calls);
	cr_assert(p.sched.stored_suspended);
	p.lead.row.fence = LEAD_TOKEN(2);
	pool_stored_tick(&p, p.now);
	cr_assert_not_null(p.calls);
	cr_assert_not(p.sched.stored_suspended);
}

/*
 * The row names the failure domains in which tasks may have been started, and
 * the next leader lets the job wait for their targets. Guards against a row
 * that loses them, and against a job that counts as never started though it has
 * some.
 */
Test(pool_keep, the_row_names_the_domains_of_starts)
{
	static const struct sched_ops no_ops = { .domains =
							 pool_stored_domains };
	static const struct sched_target t = { .listing = { .failure_domain =
								    "a" } };
	PoolJob job = POOL_JOB__INIT, *written;
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps = &step;
	char *domains[] = { "b" };
	uint8_t packed[512];
	struct platform_row row = { .key = "0000000000000001", .version = 9 };
	struct sched_job *open;
	struct stored_job *j;

	sched_init(&p.sched, &no_ops, &p, NULL, LEAD_TOKEN(2), 1000,
		   p.now - 5000);
	p.leading = 1;
	p.lead.row.version = 5;
	step.tasks = 1;
	sub.id = row.key;
	sub.queue = sub.service = "q";
	sub.stored = 1;
	sub.n_steps = 1;
	sub.steps = &steps;
	job.submit = &sub;
	job.domains = domains;
	job.n_domains = 1;
	row.len = pool_job__pack(&job, packed);
	row.value = (char *)packed;
	stored_job_apply_row(&p, &row);
	open = sched_find_open_job(&p.sched, str_of(row.key));
	cr_assert_eq(open->prev_fence, LEAD_TOKEN(1));
	cr_assert_eq(open->nformer_domains, 1);
	cr_assert_str_eq(open->domains[0], "b");
	cr_assert_not(sched_domain_announce(open, &t));
	j = stored_job_find(&p, row.key);
	cr_assert(j->queued);
	cr_assert_eq(open->domains_mark, j->mark);
	sched_owner_acked(&p.sched, j, j->mark, p.now);
	cr_assert(sched_domain_announce(open, &t));
	row.len = pool_job__pack(j->job, packed);
	written = pool_job__unpack(NULL, row.len, packed);
	cr_assert_eq(written->n_domains, 2);
	cr_assert_str_eq(written->domains[1], "a");
	pool_job__free_unpacked(written, NULL);
}

static uint64_t no_answer(struct sched *s, struct sched_job *job,
			  const PoolAnswer *answer)
{
	(void)s;
	(void)job;
	(void)answer;
	return 0;
}

/*
 * A late write of the previous leader has the job scheduled anew, which waits
 * for the row with both. Guards against a wait that no write ends.
 */
Test(pool_keep, a_merged_row_is_written_before_the_job_goes_on)
{
	static const struct sched_ops no_ops = { .domains = pool_stored_domains,
						 .answer = no_answer };
	PoolJob job = POOL_JOB__INIT;
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps = &step;
	char *domains[] = { "b" };
	uint8_t packed[512];
	struct platform_row row = { .key = "0000000000000001", .version = 4 };
	struct sched_job *open;
	struct stored_job *j;

	sched_init(&p.sched, &no_ops, &p, NULL, LEAD_TOKEN(2), 1000,
		   p.now - 5000);
	p.leading = 1;
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
	job.domains = domains;
	job.n_domains = 1;
	job.writer = LEAD_TOKEN(1);
	row.version = 6;
	row.len = pool_job__pack(&job, packed);
	stored_job_apply_row(&p, &row);
	open = sched_find_open_job(&p.sched, str_of(row.key));
	j = stored_job_find(&p, row.key);
	cr_assert(j->queued);
	cr_assert_eq(open->nformer_domains, 1);
	cr_assert_eq(open->domains_mark, j->mark);
	sched_owner_acked(&p.sched, j, j->mark, p.now);
	cr_assert_eq(open->domains_mark, 0);
}

/*
 * The late write has a failed run that this leader did not read. Guards against
 * an attempt beyond the limit, and a row that is written without that run.
 */
Test(pool_keep, failed_runs_of_a_late_write_are_kept)
{
	static const struct sched_ops no_ops = { .domains = pool_stored_domains,
						 .answer = no_answer };
	PoolJob job = POOL_JOB__INIT;
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps = &step;
	uint32_t failed[] = { 1, 1 }, failed_runs[] = { 8, 9 };
	uint8_t packed[512];
	struct platform_row row = { .key = "0000000000000001", .version = 4 };
	struct sched_job *open;
	struct stored_job *j;

	sched_init(&p.sched, &no_ops, &p, NULL, LEAD_TOKEN(2), 1000,
		   p.now - 5000);
	p.leading = 1;
	step.tasks = 2;
	sub.id = row.key;
	sub.queue = sub.service = "q";
	sub.stored = 1;
	sub.max_attempts = 3;
	sub.n_steps = 1;
	sub.steps = &steps;
	job.submit = &sub;
	job.failed = failed;
	job.failed_runs = failed_runs;
	job.n_failed = job.n_failed_runs = 1;
	row.len = pool_job__pack(&job, packed);
	row.value = (char *)packed;
	stored_job_apply_row(&p, &row);
	job.n_failed = job.n_failed_runs = 2;
	job.writer = LEAD_TOKEN(1);
	row.version = 6;
	row.len = pool_job__pack(&job, packed);
	stored_job_apply_row(&p, &row);
	open = sched_find_open_job(&p.sched, str_of(row.key));
	cr_assert_eq(open->tasks[1].failures, 2);
	j = stored_job_find(&p, row.key);
	cr_assert_eq(j->job->n_failed, 2);
	cr_assert_eq(j->job->failed_runs[1], 9);
}
