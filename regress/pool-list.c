/* Lists of runs as an agent sends them and the leader understands them. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

#include "pool.h"

#define RUNS_MAX 6
#define ENDS_MAX 3

TestSuite(pool_list, .init = (void (*)(void))apr_initialize);

/* A target's list, and its copy after both ways of encoding. */
struct sample {
	char names[RUNS_MAX + ENDS_MAX][SCHED_TASK_NAME_MAX];
	struct sched_run runs[RUNS_MAX];
	struct sched_end ends[ENDS_MAX];
	struct sched_target_reply reply;
};

static uint64_t state = 88172645463325252u;

static unsigned draw(unsigned n)
{
	state ^= state << 13;
	state ^= state >> 7;
	state ^= state << 17;
	return (unsigned)(state >> 33) % n;
}

/* Few names, so that runs stay, change places and end. */
static struct rp_str draw_name(char *name)
{
	if (draw(8))
		snprintf(name, SCHED_TASK_NAME_MAX, "%016x.0.%u.%u", draw(3),
			 draw(2), draw(2));
	else
		snprintf(name, SCHED_TASK_NAME_MAX, "other-%u", draw(3));
	return str_of(name);
}

static void draw_sample(struct sample *s)
{
	size_t i;

	memset(s, 0, sizeof(*s));
	s->reply.nruns = draw(RUNS_MAX + 1);
	s->reply.nends = draw(ENDS_MAX + 1);
	s->reply.runs = s->runs;
	s->reply.ends = s->ends;
	s->reply.incarnation = draw(3);
	for (i = 0; i < s->reply.nruns; i++) {
		s->runs[i].task = draw_name(s->names[i]);
		s->runs[i].run = draw(2) + 1;
		s->runs[i].percent = (int)draw(101);
	}
	for (i = 0; i < s->reply.nends; i++) {
		s->ends[i].task = draw_name(s->names[RUNS_MAX + i]);
		s->ends[i].run = draw(2) + 1;
		s->ends[i].number = i + 1;
		s->ends[i].how = (enum sched_end_how)draw(3);
	}
}

static void check_equal(const struct sched_target_reply *a,
			const struct sched_target_reply *b)
{
	size_t i;

	cr_assert_eq(a->nruns, b->nruns);
	cr_assert_eq(a->nends, b->nends);
	for (i = 0; i < a->nruns; i++) {
		cr_assert(str_eq(a->runs[i].task, b->runs[i].task));
		cr_assert_eq(a->runs[i].run, b->runs[i].run);
		cr_assert_eq(a->runs[i].percent, b->runs[i].percent);
	}
	for (i = 0; i < a->nends; i++) {
		cr_assert(str_eq(a->ends[i].task, b->ends[i].task));
		cr_assert_eq(a->ends[i].run, b->ends[i].run);
		cr_assert_eq(a->ends[i].number, b->ends[i].number);
		cr_assert_eq(a->ends[i].how, b->ends[i].how);
	}
}

/*
 * The leader took the names of a list from the one before while it replaced
 * that list, and saw runs that did not exist.
 */
Test(pool_list, a_list_that_refers_to_the_one_before_is_understood)
{
	struct pool_list sent = { 0 }, known = { 0 };
	struct sample s;
	int i;

	for (i = 0; i < 20000; i++) {
		struct pool_list_message m;
		struct pool_list_reply r = { .reply = { .reason = "" } };
		PoolReply msg = POOL_REPLY__INIT, *received;
		uint8_t packed[4096];
		size_t n;

		draw_sample(&s);
		pool_list_message_init(&m, &s.reply);
		pool_list_encode(&m, &sent, &s.reply, &msg);
		n = pool_reply__pack(&msg, packed);
		received = pool_reply__unpack(NULL, n, packed);
		cr_assert_eq(pool_list_decode(&r, &known, received), 0);
		check_equal(&s.reply, &r.reply);
		cr_assert_eq(r.reply.incarnation, s.reply.incarnation);
		pool_list_set(&known, &r.reply);
		pool_list_reply_finish(&r);
		pool_reply__free_unpacked(received, NULL);
		pool_list_message_finish(&m);
	}
	pool_list_finish(&sent);
	pool_list_finish(&known);
}

/* A run of a list that the leader does not have must not be made up. */
Test(pool_list, a_reference_to_no_list_is_rejected)
{
	struct pool_list known = { 0 };
	struct pool_list_reply r = { .reply = { .reason = "" } };
	PoolReply msg = POOL_REPLY__INIT;
	PoolListedRun run = POOL_LISTED_RUN__INIT, *runs[] = { &run };
	uint32_t percents[] = { 0 };

	run.listed = 1;
	msg.runs = runs;
	msg.n_runs = 1;
	msg.percents = percents;
	msg.n_percents = 1;
	cr_assert_eq(pool_list_decode(&r, &known, &msg), -1);
	pool_list_reply_finish(&r);
	msg.n_percents = 0;
	cr_assert_eq(pool_list_decode(&r, &known, &msg), -1);
	pool_list_reply_finish(&r);
}
