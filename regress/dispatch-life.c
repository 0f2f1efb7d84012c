/* Starts of tasks: unknown outcomes, lookups, voids, retries and stops. */

#include <criterion/criterion.h>

#include "kernel.h"

#define STEP_MS 5

/* Initializes a kernel with n targets and the given retry policy. */
static void life_init(struct test_kernel *t, int n, int can_lookup,
		      int can_void, const char *retry)
{
	struct rp_status st;
	int i;

	test_init(t, n);
	rp_kernel_finish(t->k);
	for (i = 0; i < n; i++) {
		t->vms[i].can_lookup = can_lookup;
		t->vms[i].can_void = can_void;
	}
	t->opt.abort_on_violation = 1;
	t->opt.silence_limit = 1000;
	str_copy(t->opt.limit, RP_NAME_MAX, str_of("alone"));
	str_copy(t->opt.retry, RP_NAME_MAX, str_of(retry));
	memset(t->k, 0, rp_kernel_size());
	if (rp_kernel_init(t->k, &t->opt, t->now, &st) != RP_OK)
		abort();
}

/* Answers a lookup or void. */
static void life_lookup(struct test_kernel *t, uint64_t start_id,
			enum rp_lookup_outcome outcome)
{
	struct rp_event ev = { .type = RP_EVENT_LOOKUP_REPLY };

	ev.lookup.start_id = start_id;
	ev.lookup.outcome = outcome;
	ev.lookup.body = rp_blob_new("r", 1);
	test_event(t, &ev);
	rp_blob_unref(ev.lookup.body);
}

/* Ticks until an action of the type appears; returns NULL at time end. */
static struct rp_action *life_tick_until(struct test_kernel *t,
					 enum rp_action_type type, rp_ms end)
{
	struct rp_event tick = { .type = RP_EVENT_TICK };

	while (t->now < end) {
		t->now += STEP_MS;
		test_event(t, &tick);
		if (test_find(t, type))
			return test_find(t, type);
	}
	return NULL;
}

/* Submits a single request. */
static void life_request(struct test_kernel *t, const char *key, int idempotent)
{
	struct rp_task_spec task = { str_of("id"), str_of("x") };
	struct rp_submission_spec spec = {
		.key = str_of(key),
		.service = str_of("desk"),
		.team = str_of("team"),
		.timeout = 10000,
		.is_request = 1,
		.idempotent = idempotent,
		.ntasks = 1,
		.tasks = &task,
	};
	struct rp_event ev = { .type = RP_EVENT_SUBMIT, .submit.wait = 1 };

	ev.submit.sub = rp_submission_new(&spec);
	test_event(t, &ev);
	rp_submission_unref(ev.submit.sub);
}

/* Returns the state of the answer among the last actions. */
static enum rp_state life_state(struct test_kernel *t)
{
	struct rp_action *a = test_find(t, RP_ACTION_ANSWER);

	cr_assert_not_null(a);
	return a->answer.answer->state;
}

Test(life, silent_start_is_looked_up)
{
	struct test_kernel t;
	struct rp_action *a;
	char key[RP_KEY_MAX];
	uint64_t id;

	life_init(&t, 1, 1, 0, "none");
	test_key(&t, key);
	test_submit(&t, key, 1, "x");
	id = test_find(&t, RP_ACTION_START)->start.start_id;
	a = life_tick_until(&t, RP_ACTION_LOOKUP, 2000);
	cr_assert_not_null(a);
	cr_assert_eq(t.now, 1000);
	cr_assert_eq(a->start.start_id, id);
	cr_assert_eq(a->start.close_connection, 0);
	life_lookup(&t, id, RP_LOOKUP_RUNNING);
	a = life_tick_until(&t, RP_ACTION_LOOKUP, 2000);
	cr_assert_not_null(a);
	life_lookup(&t, id, RP_LOOKUP_DONE);
	cr_assert_eq(life_state(&t), RP_COMPLETE);
	test_reply(&t, id, RP_START_DONE, "late");
	cr_assert_eq(t.acts.len, 0);
	test_finish(&t);
}

Test(life, unknown_id_is_voided_then_started_under_a_new_id)
{
	struct test_kernel t;
	struct rp_action *a;
	char key[RP_KEY_MAX], first[RP_KEY_MAX + 32];
	uint64_t id;

	life_init(&t, 2, 1, 1, "none");
	test_key(&t, key);
	test_submit(&t, key, 1, "x");
	a = test_find(&t, RP_ACTION_START);
	id = a->start.start_id;
	memcpy(first, a->start.task_id, sizeof(first));
	test_reply(&t, id, RP_START_UNKNOWN, "");
	cr_assert_eq(test_count(&t, RP_ACTION_LOOKUP), 1);
	cr_assert_eq(test_find(&t, RP_ACTION_LOOKUP)->start.close_connection,
		     1);
	life_lookup(&t, id, RP_LOOKUP_UNKNOWN);
	cr_assert_eq(test_count(&t, RP_ACTION_VOID), 1);
	life_lookup(&t, id, RP_LOOKUP_VOIDED);
	a = test_find(&t, RP_ACTION_START);
	cr_assert_not_null(a);
	cr_assert(strcmp(a->start.task_id, first) != 0);
	cr_assert_neq(a->start.start_id, id);
	life_lookup(&t, id, RP_LOOKUP_VOIDED);
	test_reply(&t, id, RP_START_DONE, "late");
	cr_assert_eq(t.acts.len, 0);
	test_finish(&t);
}

Test(life, lost_connection_without_lookup_fails_at_once)
{
	struct test_kernel t;
	struct rp_action *a;
	char key[RP_KEY_MAX], other[RP_KEY_MAX];
	int i;

	life_init(&t, 1, 0, 0, "none");
	test_key(&t, key);
	test_submit(&t, key, 1, "x");
	test_reply(&t, t.acts.list[0].start.start_id, RP_START_UNKNOWN, "");
	a = test_find(&t, RP_ACTION_ANSWER);
	cr_assert_not_null(a);
	cr_assert_eq(a->answer.answer->state, RP_FAILED);
	cr_assert_eq(a->answer.answer->may_have_run, 1);
	/* The start holds its slot until the deadline: one slot is left. */
	t.now += 100;
	for (i = 0; i < 2; i++) {
		test_key(&t, other);
		test_submit(&t, other, 1, "x");
		cr_assert_eq(test_count(&t, RP_ACTION_START), 1U - (size_t)i);
	}
	cr_assert_not_null(life_tick_until(&t, RP_ACTION_START, 10000));
	test_finish(&t);
}

Test(life, silence_without_lookup_waits_for_the_reply)
{
	struct test_kernel t;
	char key[RP_KEY_MAX];
	uint64_t id;

	life_init(&t, 1, 0, 0, "none");
	test_key(&t, key);
	test_submit(&t, key, 1, "x");
	id = t.acts.list[0].start.start_id;
	cr_assert_null(life_tick_until(&t, RP_ACTION_ANSWER, 9000));
	test_reply(&t, id, RP_START_DONE, "late, but in time");
	cr_assert_eq(life_state(&t), RP_COMPLETE);
	test_finish(&t);
}

Test(life, id_that_stays_unknown_fails_before_the_deadline)
{
	struct test_kernel t;
	char key[RP_KEY_MAX];
	uint64_t id;
	int i;

	life_init(&t, 1, 1, 0, "none");
	test_key(&t, key);
	test_submit(&t, key, 1, "x");
	id = t.acts.list[0].start.start_id;
	test_reply(&t, id, RP_START_UNKNOWN, "");
	for (i = 0; i < 2; i++) {
		life_lookup(&t, id, RP_LOOKUP_UNKNOWN);
		cr_assert_not_null(life_tick_until(&t, RP_ACTION_LOOKUP, 5000));
	}
	life_lookup(&t, id, RP_LOOKUP_UNKNOWN);
	cr_assert_eq(life_state(&t), RP_FAILED);
	cr_assert_lt(t.now, 1000);
	test_finish(&t);
}

Test(life, start_on_unlisted_target_is_looked_up_then_fails)
{
	struct rp_vm other = { .kind = RP_VM_TARGET,
			       .name = "new",
			       .service = "desk",
			       .slots = 1 };
	struct test_kernel t;
	char key[RP_KEY_MAX];

	life_init(&t, 1, 1, 0, "none");
	test_key(&t, key);
	test_submit(&t, key, 1, "x");
	rp_actions_clear(&t.acts);
	dispatch_apply_list(dispatch_shard_of(t.k, str_of("desk")), t.now, 99,
			    &other, 1, &t.acts);
	cr_assert_eq(test_count(&t, RP_ACTION_LOOKUP), 1);
	cr_assert_not_null(life_tick_until(&t, RP_ACTION_ANSWER, 5000));
	cr_assert_eq(life_state(&t), RP_FAILED);
	cr_assert_lt(t.now, 2000);
	test_finish(&t);
}

Test(life, unsent_start_is_retried_with_backoff)
{
	struct test_kernel t;
	struct rp_action *a;
	char key[RP_KEY_MAX];
	int starts = 0;

	life_init(&t, 1, 0, 0, "none");
	test_key(&t, key);
	test_submit(&t, key, 1, "x");
	a = test_find(&t, RP_ACTION_START);
	while (a) {
		starts++;
		test_reply(&t, a->start.start_id, RP_START_UNSENT, "");
		cr_assert_eq(test_count(&t, RP_ACTION_START), 0);
		a = life_tick_until(&t, RP_ACTION_START, 9900);
	}
	cr_assert_geq(starts, 5);
	cr_assert_leq(starts, 20);
	cr_assert_not_null(life_tick_until(&t, RP_ACTION_ANSWER, 20000));
	cr_assert_eq(life_state(&t), RP_NOT_RUN);
	test_finish(&t);
}

Test(life, idempotent_request_is_retried_elsewhere_within_budget)
{
	struct test_kernel t;
	struct rp_action *a;
	char key[RP_KEY_MAX], target[RP_NAME_MAX], id[RP_KEY_MAX + 32];

	life_init(&t, 2, 0, 0, "budget");
	test_key(&t, key);
	life_request(&t, key, 1);
	a = test_find(&t, RP_ACTION_START);
	memcpy(target, a->start.target, sizeof(target));
	memcpy(id, a->start.task_id, sizeof(id));
	test_reply(&t, a->start.start_id, RP_START_FAILED, "");
	a = test_find(&t, RP_ACTION_START);
	if (!a)
		a = life_tick_until(&t, RP_ACTION_START, 100);
	cr_assert_not_null(a);
	cr_assert(strcmp(a->start.target, target) != 0);
	cr_assert(strcmp(a->start.task_id, id) != 0);
	/* The budget of a new service has one retry. */
	test_reply(&t, a->start.start_id, RP_START_FAILED, "");
	cr_assert_eq(life_state(&t), RP_FAILED);
	test_finish(&t);
}

/* It was started on four targets, and may have crashed each of them. */
Test(life, request_that_breaks_connections_is_started_twice_at_most)
{
	struct test_kernel t;
	struct rp_action *a;
	char key[RP_KEY_MAX];
	int i, starts = 0;

	life_init(&t, 6, 0, 0, "budget");
	t.k->opt.retry_percent = 100;
	for (i = 0; i < 10; i++) {
		test_key(&t, key);
		life_request(&t, key, 1);
		a = test_find(&t, RP_ACTION_START);
		test_reply(&t, a->start.start_id, RP_START_DONE, "ok");
	}
	test_key(&t, key);
	life_request(&t, key, 1);
	while ((a = test_find(&t, RP_ACTION_START)) != NULL) {
		starts++;
		test_reply(&t, a->start.start_id, RP_START_UNKNOWN, "");
	}
	cr_assert_eq(starts, 2);
	cr_assert_eq(life_state(&t), RP_FAILED);
	test_finish(&t);
}

Test(life, request_that_is_not_idempotent_is_not_retried)
{
	struct test_kernel t;
	char key[RP_KEY_MAX];

	life_init(&t, 2, 0, 0, "budget");
	test_key(&t, key);
	life_request(&t, key, 0);
	test_reply(&t, t.acts.list[0].start.start_id, RP_START_FAILED, "");
	cr_assert_eq(test_count(&t, RP_ACTION_START), 0);
	cr_assert_eq(life_state(&t), RP_FAILED);
	test_finish(&t);
}

Test(life, first_result_of_a_hedge_wins_and_the_loser_is_stopped)
{
	struct test_kernel t;
	struct rp_action *a;
	char key[RP_KEY_MAX];
	uint64_t first;

	life_init(&t, 2, 0, 0, "budget");
	test_key(&t, key);
	life_request(&t, key, 1);
	first = t.acts.list[0].start.start_id;
	a = life_tick_until(&t, RP_ACTION_START, 2000);
	cr_assert_not_null(a);
	test_reply(&t, a->start.start_id, RP_START_DONE, "second");
	cr_assert_eq(life_state(&t), RP_COMPLETE);
	a = test_find(&t, RP_ACTION_STOP);
	cr_assert_not_null(a);
	cr_assert_eq(a->start.start_id, first);
	test_reply(&t, first, RP_START_DONE, "first");
	cr_assert_eq(test_count(&t, RP_ACTION_ANSWER), 0);
	test_finish(&t);
}

Test(life, job_that_cannot_end_in_time_is_not_run_at_once)
{
	struct test_kernel t;
	struct rp_action *a;
	char key[RP_KEY_MAX];
	struct rp_service *svc;

	life_init(&t, 1, 0, 0, "none");
	svc = service_find(dispatch_shard_of(t.k, str_of("desk")), str_of("des"
									  "k"));
	svc->run_time.count = 100;
	svc->run_time.mean = 60000;
	target_reindex(svc->targets[0]);
	svc->next_trial_at = 1000000;
	test_key(&t, key);
	test_submit(&t, key, 3, "x");
	a = test_find(&t, RP_ACTION_ANSWER);
	cr_assert_not_null(a);
	cr_assert_eq(a->answer.answer->state, RP_NOT_RUN);
	cr_assert_eq(a->answer.answer->status.code, RP_E_DEADLINE);
	/* One job starts per interval, to correct wrong run times. */
	svc->next_trial_at = 0;
	test_key(&t, key);
	test_submit(&t, key, 1, "x");
	cr_assert_eq(test_count(&t, RP_ACTION_START), 1);
	test_finish(&t);
}

Test(life, cancel_stops_only_starts_of_the_job)
{
	struct rp_event ev = { .type = RP_EVENT_CANCEL };
	struct test_kernel t;
	char key[RP_KEY_MAX], other[RP_KEY_MAX];

	life_init(&t, 2, 0, 0, "none");
	test_key(&t, key);
	test_key(&t, other);
	test_submit(&t, other, 1, "x");
	test_submit(&t, key, 100, "x");
	cr_assert_eq(test_count(&t, RP_ACTION_START), 3);
	ev.cancel.key = str_of(key);
	test_event(&t, &ev);
	cr_assert_eq(test_count(&t, RP_ACTION_STOP), 3);
	cr_assert_eq(life_state(&t), RP_FAILED);
	test_finish(&t);
}
