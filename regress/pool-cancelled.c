/*
 * Cancellations that the leader has acknowledged hold against submissions that
 * come later. Guards against a job that runs although its caller was told that
 * it is cancelled, or that there is none: its row was written late, or its
 * owner submitted it to the next leader.
 */

#include "cancel-store.h"

TestSuite(pool_cancelled, .init = init_leader, .fini = finish_leader,
	  .timeout = 60);

/* What the entry VM that was asked to cancel the job has told its caller. */
static int acknowledged;
/* The store has made the write of a submission. */
static int accepted;

/*
 * Handles the leader's reply. If the job is to be cancelled in its row, the VM
 * writes that.
 */
static void handle_reply(void)
{
	PoolFrame *frame = take_reply();
	const PoolStateReply *msg;
	PoolJob *job;

	if (!frame)
		return;
	msg = frame->state_reply;
	job = stored_row();
	if (msg->final || msg->unsubmitted) {
		acknowledged = 1;
	} else if (job && job->state == POOL_JOB__STATE__OPEN) {
		job->state = POOL_JOB__STATE__CANCELLED;
		rows.len = pool_job__pack(job, rows.row);
		rows.row_version = ++rows.version;
		acknowledged = 1;
	}
	pool_job__free_unpacked(job, NULL);
	pool_frame__free_unpacked(frame, NULL);
}

/* Whether the job may run: its row is open, or the scheduler has it. */
static int may_run(int stored)
{
	PoolJob *job = stored_row();
	int row_is_open = job && job->state == POOL_JOB__STATE__OPEN;
	int is_open = sched_find_open_job(&leader.sched, str_of(ID)) != NULL;

	pool_job__free_unpacked(job, NULL);
	return stored ? row_is_open : is_open;
}

/*
 * The events of an order: the write of a submission is made (w), or a job that
 * is not stored is submitted (s); a cancellation comes (c), the leader's
 * transaction is made (t), or made without a reply (l), the leader gets the
 * rows (f), and another leader follows (n).
 */
static void play(char event)
{
	switch (event) {
	case 'w':
		accepted |= write_submission();
		break;
	case 's':
		submit_unstored(ID);
		break;
	case 'c':
		query_cancel(ID, 0);
		break;
	case 't':
	case 'l':
		transact(event == 't');
		break;
	case 'f':
		feed();
		break;
	default:
		end_term();
		begin_term();
	}
	handle_reply();
}

static void check(const char *order, size_t n, int stored)
{
	/* A new leader learns of it with the rows, before it starts any task.
	 */
	if (acknowledged && jobs_watch()->complete)
		cr_assert_not(may_run(stored), "%.*s: runs after event %zu",
			      (int)strlen(order), order, n);
}

/* Plays the order, and then what is still to come. */
static void play_order(const char *order, char submission)
{
	static const char rest[] = "fctftctf";
	PoolJob *job;
	size_t i;

	acknowledged = accepted = 0;
	for (i = 0; order[i]; i++) {
		play(order[i]);
		check(order, i, submission == 'w');
	}
	for (i = 0; rest[i]; i++) {
		play(rest[i]);
		check(order, i, submission == 'w');
	}
	cr_assert(acknowledged, "%s: not acknowledged", order);
	job = stored_row();
	cr_assert_eq(job->unsubmitted && accepted, 0,
		     "%s: an accepted job is not shown", order);
	pool_job__free_unpacked(job, NULL);
	play(submission);
	play('f');
	check(order, i, submission == 'w');
}

/* Plays all orders of LENGTH events, with one submission at most. */
#define LENGTH 6

static void play_all(char submission)
{
	const char events[] = { submission, 'c', 't', 'l', 'f', 'n' };
	size_t count = 1, k, i;

	for (i = 0; i < LENGTH; i++)
		count *= sizeof(events);
	for (k = 0; k < count; k++) {
		char order[LENGTH + 1] = "";
		size_t left = k, nsubmissions = 0;

		for (i = 0; i < LENGTH; i++, left /= sizeof(events)) {
			order[i] = events[left % sizeof(events)];
			nsubmissions += order[i] == submission;
		}
		if (nsubmissions > 1)
			continue;
		finish_leader();
		init_leader();
		play_order(order, submission);
	}
}

Test(pool_cancelled, holds_against_the_write_of_a_submission_in_any_order)
{
	play_all('w');
}

Test(pool_cancelled, holds_against_a_job_that_is_not_stored_in_any_order)
{
	play_all('s');
}

/* --- replies ------------------------------------------------------------ */

static void expect_no_reply(void)
{
	cr_assert_eq(to_other.bulk.len, 0);
}

static PoolStateReply expect_reply(void)
{
	PoolFrame *frame = take_reply();
	PoolStateReply msg;

	cr_assert_not_null(frame);
	cr_assert_eq(frame->body_case, POOL_FRAME__BODY_STATE_REPLY);
	msg = *frame->state_reply;
	pool_frame__free_unpacked(frame, NULL);
	return msg;
}

/* Has the row of an unknown job written, which is acknowledged. */
static void cancel_unknown_job(void)
{
	query_cancel(ID, 0);
	expect_no_reply();
	cr_assert(transact(1));
	cr_assert(expect_reply().unsubmitted);
}

/* An entry VM asks again and again. */
static void ask_for(rp_ms ms)
{
	for (; ms > 0 && !to_other.bulk.len; ms -= 100) {
		query_cancel(ID, 0);
		leader.now += 100;
		pool_cancel_queries_flush(&leader);
	}
}

/*
 * The job ends at once. The reply comes with the row: until then, its owner
 * could submit it to another leader.
 */
Test(pool_cancelled, the_leader_cancels_a_job_that_another_vm_has_taken)
{
	PoolStateReply msg;
	PoolJob *job;

	feed();
	submit_unstored(ID);
	query_cancel(ID, 0);
	cr_assert_eq(answered, POOL_ANSWER__OUTCOME__CANCELLED);
	cr_assert_eq(leader.sched.njobs, 0);
	expect_no_reply();
	cr_assert(transact(1));
	msg = expect_reply();
	cr_assert(msg.final);
	cr_assert_eq(msg.state, POOL_JOB__STATE__CANCELLED);
	job = stored_row();
	cr_assert_eq(job->state, POOL_JOB__STATE__CANCELLED);
	cr_assert_not(job->unsubmitted);
	pool_job__free_unpacked(job, NULL);
}

Test(pool_cancelled, a_job_that_nobody_has_is_not_cancelled)
{
	PoolStateReply msg;
	PoolJob *job;

	feed();
	submit_unstored("00000000000000ff");
	query_cancel(ID, 0);
	expect_no_reply();
	cr_assert(transact(1));
	msg = expect_reply();
	cr_assert(msg.unsubmitted);
	cr_assert_not(msg.final);
	cr_assert_eq(leader.sched.njobs, 1);
	job = stored_row();
	cr_assert(job->unsubmitted);
	pool_job__free_unpacked(job, NULL);
	/* The second time it costs no call of the store. */
	query_cancel(ID, 0);
	cr_assert(expect_reply().unsubmitted);
	cr_assert_null(transaction());
}

/* The row decides on a stored job, which goes on until it is written. */
Test(pool_cancelled, a_stored_job_is_not_cancelled_without_its_row)
{
	PoolStateReply msg;

	write_submission();
	feed();
	query_cancel(ID, 0);
	msg = expect_reply();
	cr_assert_not(msg.final);
	cr_assert_not(msg.unsubmitted);
	cr_assert_eq(leader.sched.njobs, 1);
	cr_assert_not(transact(1));
}

/* A state of that job would show one that nobody has submitted. */
Test(pool_cancelled, is_not_shown_as_the_state_of_a_job)
{
	PoolStateQuery query = POOL_STATE_QUERY__INIT;

	feed();
	query_cancel(ID, 0);
	transact(1);
	cr_assert(expect_reply().unsubmitted);
	query.seq = 9;
	query.id = ID;
	pool_state_query_received(&leader, &members[1], &query);
	pool_state_flush(&leader);
	cr_assert_not(expect_reply().final);
}

Test(pool_cancelled, a_provisional_leader_acknowledges_none)
{
	PoolStateReply msg;

	leader.lead.row.fence |= 7;
	feed();
	query_cancel(ID, 0);
	cr_assert_not(transact(1));
	ask_for(4400);
	expect_no_reply();
	ask_for(800);
	msg = expect_reply();
	cr_assert(msg.refused);
	cr_assert_not(msg.final || msg.unsubmitted);
}

/*
 * Guards against "there is none" from a leader that cannot know: another one
 * may have the job, or its entry VM is yet to submit it.
 */
Test(pool_cancelled, a_leader_that_may_not_know_a_job_does_not_reply)
{
	feed();
	leader.sched.owners_missing = 1;
	query_cancel("00000000000000ff", 0);
	cr_assert_not(transact(1));
	expect_no_reply();
	/* What it knows it cancels. */
	submit_unstored(ID);
	query_cancel(ID, 0);
	cr_assert_eq(answered, POOL_ANSWER__OUTCOME__CANCELLED);
	cr_assert_eq(leader.sched.njobs, 0);
	expect_no_reply();
	cr_assert(transact(1));
	cr_assert(expect_reply().final);
}

/*
 * An entry VM that was killed keeps its row in the store. Guards against
 * cancellations that fail until another one takes its name.
 */
Test(pool_cancelled, a_vm_that_is_dead_does_not_hold_them_up)
{
	struct pool_vm vm = { .vm = "vm9", .address = "127.0.0.1:1" };

	feed();
	leader.vms = &vm;
	query_cancel(ID, 0);
	cr_assert_not(transact(1));
	cr_assert_not_null(leader.links, "it was not looked for");
	vm.refused = 1;
	vm.refused_at = leader.now - 5000;
	query_cancel(ID, 0);
	cr_assert_not(transact(1), "it may have been started since");
	vm.refused_at = leader.now;
	query_cancel(ID, 0);
	cr_assert(transact(1));
	cr_assert(expect_reply().unsubmitted);
	leader.vms = NULL;
}

/* Its machine may be off for good, and the caller may wait for very long. */
Test(pool_cancelled, a_vm_that_stays_missing_does_not_hold_up_callers)
{
	struct pool_vm vm = { .vm = "vm9", .address = "127.0.0.1:1" };

	feed();
	leader.vms = &vm;
	ask_for(4900);
	expect_no_reply();
	ask_for(600);
	cr_assert(expect_reply().refused);
	leader.vms = NULL;
}

/*
 * The store is away for a minute. The caller was told that the cancellation has
 * failed, and has submitted the job again when the store is back.
 */
Test(pool_cancelled, one_that_has_failed_is_not_written_later)
{
	feed();
	query_cancel(ID, 0);
	leader.now += 60000;
	pool_cancel_queries_flush(&leader);
	expect_no_reply();
	cr_assert(write_submission());
	cr_assert_not(transact(1));
	feed();
	cr_assert_eq(leader.sched.njobs, 1);
}

/* The same for the row of the first one, which is then as old as before. */
Test(pool_cancelled, a_renewal_that_has_failed_does_not_count)
{
	feed();
	cancel_unknown_job();
	leader.now += 30000;
	query_cancel(ID, 0);
	expect_no_reply();
	leader.now += 15000;
	pool_cancel_queries_flush(&leader);
	cr_assert_not(transact(1));
	cancel_unknown_job();
}

/* Cut short it would be the id of another job. */
Test(pool_cancelled, an_id_that_is_too_long_cancels_nothing)
{
	feed();
	submit_unstored(ID);
	query_cancel(ID ID, 0);
	cr_assert_not(transact(1));
	expect_no_reply();
	cr_assert_eq(leader.sched.njobs, 1);
}

/* --- bounds ------------------------------------------------------------- */

#define UNSUBMITTED 2048 /* rows of unknown jobs at most */

static void make_id(char *id, size_t i)
{
	snprintf(id, SCHED_ID_MAX, "%016zx", 0x1000 + i);
}

/* Answers the transactions in flight with a status. */
static void answer_all(long status)
{
	struct pool_call *c;

	while ((c = transaction()))
		pool_call_end(c, status, "{\"rows\":[],\"recordVersion\":9}",
			      29);
}

/* Cancels n unknown jobs, each twice, and has their rows written. */
static size_t cancel_unknown(size_t n)
{
	size_t i, calls = 0;

	for (i = 0; i < n; i++) {
		char id[SCHED_ID_MAX];

		make_id(id, i);
		query_cancel(id, 0);
		query_cancel(id, 0);
		if (i % 64 != 63)
			continue;
		leader.now += 100;
		leader.leadership_confirmed_at = leader.now;
		pool_stored_tick(&leader, leader.now);
		while (transaction()) {
			calls++;
			pool_call_end(transaction(), 200,
				      "{\"rows\":[],\"recordVersion\":9}", 29);
		}
		pool_cancel_queries_flush(&leader);
	}
	return calls;
}

/*
 * Clients that cancel ids at random must not fill the store or the leader's
 * memory, nor keep a job that was submitted from being cancelled.
 */
Test(pool_cancelled, a_crowd_costs_a_bounded_number_of_rows)
{
	size_t calls, held;

	feed();
	calls = cancel_unknown(UNSUBMITTED);
	cr_assert_lt(calls, UNSUBMITTED / 4);
	cr_assert_eq(leader.stored_jobs->nunsubmitted, UNSUBMITTED);
	cr_assert_eq(leader.count.cancels_refused, 0);
	held = atomic_load(&leader.budget.used[RP_HOLD_STORED]);
	cr_assert_lt(held, UNSUBMITTED * 512);
	query_cancel("00000000000000ff", 0);
	cr_assert(expect_reply().refused);
	pool_stored_tick(&leader, leader.now + 400);
	cr_assert_null(transaction());
	cr_assert_eq(atomic_load(&leader.budget.used[RP_HOLD_STORED]), held);
	query_cancel(ID, 1);
	expect_no_reply();
	cr_assert(transact(1));
	cr_assert(expect_reply().final);
}

/* The rows are removed like those of ended jobs, and leave room for others. */
Test(pool_cancelled, the_rows_are_removed_after_some_time)
{
	int i;

	feed();
	cancel_unknown(UNSUBMITTED);
	cr_assert_eq(leader.stored_jobs->nunsubmitted, UNSUBMITTED);
	leader.now += 151000;
	for (i = 0; i < 300 && leader.stored_jobs->nunsubmitted; i++) {
		leader.now += 100;
		leader.leadership_confirmed_at = leader.now;
		pool_stored_tick(&leader, leader.now);
		answer_all(200);
	}
	cr_assert_eq(leader.stored_jobs->nunsubmitted, 0);
	cr_assert_eq(apr_hash_count(leader.stored_jobs->jobs), 0);
}

/*
 * A submission that is received together with the second cancellation may be
 * written late, when the row of the first one has been removed.
 */
Test(pool_cancelled, an_old_row_is_renewed_before_it_is_relied_on)
{
	feed();
	cancel_unknown_job();
	leader.now += 10000;
	query_cancel(ID, 0);
	cr_assert(expect_reply().unsubmitted);
	leader.now += 135000;
	cancel_unknown_job();
	leader.now += 130000;
	cr_assert_not(transact(1), "it is removed too early");
	cr_assert_neq(rows.row_version, 0);
	leader.now += 25000;
	cr_assert(transact(1));
	cr_assert_eq(rows.row_version, 0);
}

/* The row goes, and the cancellation that came meanwhile needs another one. */
Test(pool_cancelled, one_that_comes_during_the_removal)
{
	feed();
	cancel_unknown_job();
	leader.now += 151000;
	leader.leadership_confirmed_at = leader.now;
	pool_stored_tick(&leader, leader.now);
	cr_assert_not_null(transaction());
	query_cancel(ID, 0);
	expect_no_reply();
	cr_assert(transact(1));
	cr_assert_eq(rows.row_version, 0);
	expect_no_reply();
	cr_assert(transact(1));
	cr_assert(expect_reply().unsubmitted);
	cr_assert_neq(rows.row_version, 0);
}

/*
 * Guards against a row that is gone, and of which the leader does not know
 * that, and so can neither be written nor removed: each transaction with it
 * fails.
 */
Test(pool_cancelled, a_removal_without_a_reply)
{
	feed();
	cancel_unknown_job();
	leader.now += 151000;
	cr_assert(transact(0));
	cr_assert_eq(rows.row_version, 0);
	query_cancel(ID, 0);
	cr_assert(transact(1));
	cr_assert(transact(1));
	cr_assert(expect_reply().unsubmitted);
	cr_assert_neq(rows.row_version, 0);
	leader.now += 151000;
	cr_assert(transact(0));
	leader.now += 2000;
	cr_assert(transact(1));
	cr_assert_eq(apr_hash_count(leader.stored_jobs->jobs), 0);
}

/*
 * Guards against callers who have their jobs written and cancelled at the same
 * time, and so keep the progress of other jobs from being written.
 */
Test(pool_cancelled, a_conflict_does_not_hold_up_other_rows)
{
	struct stored_job *other;
	struct pool_call *c;

	feed();
	other = stored_job_new(&leader, "00000000000000f0");
	other->part = pool_job_part(ID);
	other->job = malloc(sizeof(*other->job));
	pool_job__init(other->job);
	other->version = 1;
	query_cancel(ID, 0);
	write_submission();
	stored_job_changed(&leader, other);
	leader.now += 100;
	leader.leadership_confirmed_at = leader.now;
	pool_stored_tick(&leader, leader.now);
	c = transaction();
	cr_assert(strstr(c->request, ID));
	cr_assert(!strstr(c->request, other->id));
	pool_call_end(c, 412, "{\"rows\":[]}", 11);
	/* The other row is the next one, soon. */
	leader.now += 50;
	pool_stored_tick(&leader, leader.now);
	c = transaction();
	cr_assert_not_null(c);
	cr_assert(strstr(c->request, other->id));
	cr_assert(!strstr(c->request, ID));
}

/* While the store does not answer, queries must not pile up. */
Test(pool_cancelled, pending_cancellations_are_bounded)
{
	size_t i;

	feed();
	for (i = 0; i < 600; i++) {
		char id[SCHED_ID_MAX];

		make_id(id, i);
		query_cancel(id, 0);
	}
	cr_assert_eq(leader.ncancel_queries, 512);
	cr_assert_eq(leader.count.cancels_refused, 88);
	leader.now += 2001;
	pool_cancel_queries_flush(&leader);
	cr_assert_eq(leader.ncancel_queries, 0);
}
