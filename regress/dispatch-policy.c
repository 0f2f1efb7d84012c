/* The policies: fair queueing, ejection, admission and routing. */

#include <criterion/criterion.h>

#include "kernel.h"

static struct rp_service *policy_init(struct test_kernel *t, int ntargets)
{
	struct rp_status st;

	test_init(t, ntargets);
	rp_kernel_finish(t->k);
	t->opt.abort_on_violation = 1;
	str_copy(t->opt.limit, RP_NAME_MAX, str_of("alone"));
	memset(t->k, 0, rp_kernel_size());
	if (rp_kernel_init(t->k, &t->opt, t->now, &st) != RP_OK)
		abort();
	return service_find(dispatch_shard_of(t->k, str_of("desk")),
			    str_of("desk"));
}

static void policy_submit(struct test_kernel *t, const char *team,
			  size_t ntasks, rp_ms timeout)
{
	struct rp_task_spec tasks[RP_TASKS_MAX];
	char key[RP_KEY_MAX];
	struct rp_submission_spec spec = {
		.service = str_of("desk"),
		.team = str_of(team),
		.timeout = timeout,
		.ntasks = ntasks,
		.tasks = tasks,
	};
	struct rp_event ev = { .type = RP_EVENT_SUBMIT, .submit.wait = 1 };
	size_t i;

	test_key(t, key);
	spec.key = str_of(key);
	for (i = 0; i < ntasks; i++)
		tasks[i].id = tasks[i].payload = str_of("x");
	ev.submit.sub = rp_submission_new(&spec);
	test_event(t, &ev);
	rp_submission_unref(ev.submit.sub);
}

static struct rp_team *policy_team(struct rp_service *svc, const char *name)
{
	return team_get(svc->shard, str_of(name));
}

/*
 * Replies to n starts: those of the last event, and then those that the
 * replies lead to.
 */
static void policy_serve(struct test_kernel *t, int n)
{
	uint64_t ids[64];
	size_t len = 0, i;

	for (i = 0; i < t->acts.len; i++)
		if (t->acts.list[i].type == RP_ACTION_START)
			ids[len++] = t->acts.list[i].start.start_id;
	for (i = 0; i < len && n--; i++) {
		test_reply(t, ids[i], RP_START_DONE, "r");
		if (test_find(t, RP_ACTION_START))
			ids[len++] =
				test_find(t, RP_ACTION_START)->start.start_id;
	}
}

/* Ends all starts, and those that follow, until nothing is in flight. */
static void policy_drain(struct rp_service *svc, struct test_kernel *t)
{
	rp_actions_clear(&t->acts);
	while (svc->in_flight) {
		outcome_apply(svc->targets[0]->active_starts, RP_START_DONE,
			      NULL, t->now, &t->acts);
		dispatch_pump(svc, t->now, &t->acts);
	}
}

Test(fair, quota_limits_its_team_only)
{
	struct test_kernel t;
	struct rp_service *svc = policy_init(&t, 4);

	policy_team(svc, "held")->quota = 3;
	policy_submit(&t, "held", 20, 10000);
	cr_assert_eq(test_count(&t, RP_ACTION_START), 3);
	policy_submit(&t, "free", 20, 10000);
	cr_assert_eq(test_count(&t, RP_ACTION_START), 5);
	cr_assert_eq(policy_team(svc, "held")->in_flight, 3);
	test_finish(&t);
}

/* Returns the starts of a team with the quota at one of four entry VMs. */
static size_t starts_at(int vm, int32_t quota)
{
	struct rp_event tick = { .type = RP_EVENT_TICK };
	struct rp_vm seeds[8];
	struct test_kernel t;
	size_t n;
	int i;

	test_init(&t, 4);
	test_finish(&t);
	t.opt.abort_on_violation = 1;
	str_copy(t.opt.limit, RP_NAME_MAX, str_of("alone"));
	memset(seeds, 0, sizeof(seeds));
	memcpy(seeds, t.vms, 4 * sizeof(*seeds));
	for (i = 0; i < 4; i++) {
		seeds[4 + i].kind = RP_VM_ENTRY;
		snprintf(seeds[4 + i].name, RP_NAME_MAX, "vm%d", i);
		snprintf(seeds[4 + i].address, RP_ADDRESS_MAX, "127.0.0.1:%d",
			 9900 + i);
	}
	snprintf(t.opt.vm_name, RP_NAME_MAX, "vm%d", vm);
	t.opt.seeds = seeds;
	t.opt.nseeds = 8;
	test_start(&t);
	test_event(&t, &tick);
	policy_team(service_find(dispatch_shard_of(t.k, str_of("desk")),
				 str_of("desk")),
		    "held")
		->quota = quota;
	policy_submit(&t, "held", 20, 10000);
	n = test_count(&t, RP_ACTION_START);
	test_finish(&t);
	return n;
}

Test(fair, parts_of_a_quota_add_up_over_all_entry_vms)
{
	cr_assert_eq(starts_at(0, 6), 2);
	cr_assert_eq(starts_at(1, 6), 2);
	cr_assert_eq(starts_at(2, 6), 1);
	cr_assert_eq(starts_at(3, 6), 1);
}

Test(fair, teams_share_by_weight)
{
	struct test_kernel t;
	struct rp_service *svc = policy_init(&t, 1);
	struct rp_team *big, *small;

	big = policy_team(svc, "big");
	small = policy_team(svc, "small");
	big->weight = 300;
	policy_submit(&t, "fill", 2, 10000);
	policy_submit(&t, "big", 100, 10000);
	policy_submit(&t, "small", 100, 10000);
	t.now = 50;
	/* Both slots are in use, so each end starts one task. */
	rp_actions_clear(&t.acts);
	while (svc->nqueued > 120) {
		struct rp_start *s = svc->targets[0]->active_starts;

		outcome_apply(s, RP_START_DONE, NULL, t.now, &t.acts);
		dispatch_pump(svc, t.now, &t.acts);
	}
	cr_assert_geq(big->nqueued * 10, 30 * 10 - 40);
	cr_assert_leq(big->nqueued, 45);
	cr_assert_geq(small->nqueued, 75);
	test_finish(&t);
}

Test(peers, target_that_fails_alone_is_ejected_and_readmitted)
{
	struct rp_event tick = { .type = RP_EVENT_TICK };
	struct test_kernel t;
	struct rp_service *svc = policy_init(&t, 4);
	struct rp_target *bad = svc->targets[0];
	int i;

	for (i = 0; i < 3; i++)
		svc->health->ops->ended(svc->health, bad, RP_START_FAILED, 5,
					t.now);
	cr_assert_not(svc->health->ops->allows(svc->health, bad));
	cr_assert_not(target_available(bad));
	t.now = 1000;
	test_event(&t, &tick);
	cr_assert(target_available(bad));
	bad->in_flight++;
	cr_assert_not(target_available(bad));
	bad->in_flight--;
	/* One more failure ejects it for twice as long. */
	svc->health->ops->ended(svc->health, bad, RP_START_FAILED, 5, t.now);
	t.now = 2900;
	test_event(&t, &tick);
	cr_assert_not(target_available(bad));
	t.now = 3000;
	test_event(&t, &tick);
	cr_assert(target_available(bad));
	test_finish(&t);
}

Test(peers, no_mass_ejection)
{
	struct test_kernel t;
	struct rp_service *svc = policy_init(&t, 10);
	int i, n, open = 0;

	for (i = 0; i < 50; i++)
		for (n = 0; n < 10; n++)
			svc->health->ops->ended(svc->health, svc->targets[n],
						RP_START_FAILED, 5, t.now);
	for (n = 0; n < 10; n++)
		open += target_available(svc->targets[n]);
	cr_assert_geq(open, 7);
	test_finish(&t);
}

/*
 * Guards against a rule that ejected a third of the targets when all of them
 * failed a third of their tasks.
 */
Test(peers, no_target_is_ejected_when_all_fail_a_third)
{
	struct test_kernel t;
	struct rp_service *svc = policy_init(&t, 10);
	uint64_t random = 7;
	int i, n;

	for (i = 0; i < 2000; i++) {
		n = (int)(random_next(&random) % 10);
		svc->health->ops->ended(svc->health, svc->targets[n],
					random_next(&random) % 3
						? RP_START_DONE
						: RP_START_FAILED,
					5, t.now);
	}
	for (n = 0; n < 10; n++)
		cr_assert(target_available(svc->targets[n]));
	test_finish(&t);
}

/*
 * Guards against a window of the rate that included an idle period: the rate
 * became so low that the next burst was refused.
 */
Test(deadline, idle_time_between_bursts_does_not_lower_the_rate)
{
	struct test_kernel t;
	struct rp_service *svc = policy_init(&t, 1);
	int i;

	for (i = 0; i < 5; i++) {
		t.now += 30000;
		policy_submit(&t, "team", 6, 10000);
		cr_assert_eq(test_count(&t, RP_ACTION_START), 2, "round %d", i);
		t.now += 100;
		policy_serve(&t, 1);
		policy_submit(&t, "team", 2, 10000);
		cr_assert_null(test_find(&t, RP_ACTION_ANSWER), "round %d", i);
		policy_drain(svc, &t);
	}
	test_finish(&t);
}

Test(deadline, late_job_is_refused_with_retry_after)
{
	struct test_kernel t;
	struct rp_service *svc = policy_init(&t, 1);
	struct rp_answer *a;

	svc->run_time.count = 100;
	svc->run_time.mean = 1000;
	policy_submit(&t, "team", 20, 60000);
	policy_submit(&t, "team", 2, 3000);
	a = test_find(&t, RP_ACTION_ANSWER)->answer.answer;
	cr_assert_eq(a->state, RP_NOT_RUN);
	cr_assert_eq(a->status.code, RP_E_DEADLINE);
	cr_assert_gt(a->retry_after, 0);
	test_finish(&t);
}

Test(earliest, last_task_waits_for_a_fast_target)
{
	struct test_kernel t;
	struct rp_service *svc = policy_init(&t, 2);
	struct rp_target *fast = svc->targets[0], *slow = svc->targets[1];

	svc->run_time.count = fast->run_time.count = slow->run_time.count =
		1000;
	svc->run_time.mean = fast->run_time.mean = 100;
	slow->run_time.mean = 5000;
	service_changed(svc, t.now, &t.acts);
	policy_submit(&t, "team", 3, 60000);
	cr_assert_eq(fast->in_flight, 2);
	cr_assert_eq(slow->in_flight, 0);
	/* With many queued tasks, the slow target is used too. */
	policy_submit(&t, "team", 200, 60000);
	cr_assert_eq(slow->in_flight, 2);
	test_finish(&t);
}
