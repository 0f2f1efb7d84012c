/*
 * Cost of a decision of the pool's scheduler: a job is submitted, a run ends,
 * and the tasks that fit are started, with many jobs waiting.
 *
 *   bench-sched [TARGETS [JOBS [DECISIONS [all] [racks]]]]
 *
 * all: no job is rejected. racks: the data of half of the jobs is on one rack.
 */

#include "lead.h"
#include "sched-int.h"

#include <apr_general.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TASK_CPU 16000	 /* mean, thousandths of a core */
#define TARGET_CPU 32000 /* thousandths of a core */
#define RACK_TARGETS 8	 /* targets of one rack */

static uint64_t seed = 1;
static int racks;

/* The reply comes at once. */
static void on_start(struct sched *s, struct sched_target *t,
		     struct sched_task *task, int64_t until)
{
	(void)s;
	(void)until;
	task->state = SCHED_RUNNING;
	task->replied_at = t->replied_at = s->now;
}

static void on_stop(struct sched *s, struct sched_target *t, struct rp_str task,
		    uint32_t run)
{
	(void)s;
	(void)t;
	(void)task;
	(void)run;
}

static void on_hold(struct sched *s, struct sched_target *t, int64_t until,
		    uint64_t acked_end, rp_ms wait)
{
	(void)s;
	(void)t;
	(void)until;
	(void)acked_end;
	(void)wait;
}

static uint64_t on_answer(struct sched *s, struct sched_job *job,
			  const PoolAnswer *answer)
{
	(void)s;
	(void)job;
	(void)answer;
	return 0;
}

static uint64_t on_progress(struct sched *s, struct sched_job *job,
			    const struct sched_task *task)
{
	(void)s;
	(void)job;
	(void)task;
	return 0;
}

static void on_log(struct sched *s, const char *event,
		   const struct sched_target *t, const struct sched_task *task,
		   const char *reason)
{
	(void)s;
	(void)event;
	(void)t;
	(void)task;
	(void)reason;
}

static void on_log_domain(const struct sched_target *t)
{
	(void)t;
}

static void on_log_move(struct sched *s, const struct sched_task *task,
			const struct sched_move *m)
{
	(void)s;
	(void)task;
	(void)m;
}

static const struct sched_ops ops = {
	.start = on_start,
	.stop = on_stop,
	.hold = on_hold,
	.answer = on_answer,
	.progress = on_progress,
	.log = on_log,
	.log_domain = on_log_domain,
	.log_move = on_log_move,
};

static double uniform(void)
{
	return (double)(random_next(&seed) >> 11) / 9007199254740992.0;
}

/* Lists a target, which replies to its first hold call. */
static void add_target(struct sched *s, size_t i, rp_ms now)
{
	struct sched_target_reply reply = { .status = SCHED_REPLY_OK,
					    .reason = "" };
	struct sched_listing l;

	memset(&l, 0, sizeof(l));
	snprintf(l.id, sizeof(l.id), "t%zu", i);
	snprintf(l.address, sizeof(l.address), "10.0.%zu.%zu:1", i / 250,
		 i % 250);
	snprintf(l.service, sizeof(l.service), "svc");
	snprintf(l.failure_domain, sizeof(l.failure_domain), "d%zu", i % 4);
	snprintf(l.labels[l.nlabels++], RP_NAME_MAX, "rack-%zu",
		 i / RACK_TARGETS);
	l.capacity.cpu = TARGET_CPU;
	l.capacity.memory = 65536;
	l.ready = 1;
	l.incarnation = 1;
	sched_target_listed(s, &l, now);
	reply.clock = now;
	reply.incarnation = 1;
	reply.sent_at = now;
	sched_hold_reply(s, sched_find_target(s, l.id), &reply, now);
}

static void submit(struct sched *s, uint64_t seq, rp_ms now)
{
	static const struct {
		const char *queue;
		uint32_t priority, tasks, work;
	} kinds[] = { { "short", 0, 8, 60 },
		      { "medium", 1, 2, 200 },
		      { "long", 2, 4, 900 } };
	size_t kind = uniform() < 0.2 ? 0 : uniform() < 0.9 ? 1 : 2;
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps = &step;
	char id[24];

	snprintf(id, sizeof(id), "%016llx", (unsigned long long)seq);
	sub.seq = seq;
	sub.id = id;
	sub.queue = (char *)kinds[kind].queue;
	sub.service = "svc";
	sub.priority = kinds[kind].priority;
	sub.max_attempts = 3;
	sub.stretch = 1.6;
	sub.objective_ms = 60;
	/* Long enough that no job expires. */
	sub.left_ms = 3600 * 1000;
	sub.steps = &steps;
	sub.n_steps = 1;
	step.tasks = kinds[kind].tasks;
	step.cpu = (uint32_t)(TASK_CPU * (0.8 + 0.4 * uniform()));
	step.memory = 64;
	if (racks && seq % 2)
		step.rack = "rack-0";
	step.estimate_ms = kinds[kind].work;
	sched_submit(s, s, &sub, now);
}

static int is_over(const struct sched_task *task, rp_ms now)
{
	return (double)(now - task->sent_at) >= task->predicted;
}

/* Ends a run that is over, as a list of its target would show. */
static int end_run(struct sched *s, size_t from, rp_ms now)
{
	struct sched_end end = { .how = SCHED_END_DONE };
	struct sched_target_reply reply = { .status = SCHED_REPLY_OK,
					    .reason = "" };
	struct sched_target *t = NULL;
	struct sched_task *task = NULL;
	size_t i;

	for (i = 0; i < s->ntargets && !task; i++) {
		t = s->targets[(from + i) % s->ntargets];
		for (task = t->runs; task && !is_over(task, now);)
			task = task->next;
	}
	if (!task)
		return 0;
	end.number = t->ends_seen + 1;
	end.task = str_of(task->name);
	end.run = task->run;
	reply.clock = now;
	reply.incarnation = 1;
	reply.sent_at = now;
	reply.ends = &end;
	reply.nends = 1;
	sched_hold_reply(s, t, &reply, now);
	return 1;
}

static double now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

int main(int argc, char **argv)
{
	size_t ntargets = argc > 1 ? strtoul(argv[1], NULL, 10) : 350;
	size_t njobs = argc > 2 ? strtoul(argv[2], NULL, 10) : 1000;
	size_t n = argc > 3 ? strtoul(argv[3], NULL, 10) : 20000, i;
	const struct sched_policies all = { .admit = "all" };
	static struct sched s;
	rp_ms now = 100000;
	uint64_t seq = 0;
	double begin, spent = 0;
	int arg, admit_all = 0;

	for (arg = 4; arg < argc; arg++) {
		admit_all |= !strcmp(argv[arg], "all");
		racks |= !strcmp(argv[arg], "racks");
	}
	apr_initialize();
	sched_init(&s, &ops, NULL, admit_all ? &all : NULL, LEAD_TOKEN(1), 1000,
		   now);
	for (i = 0; i < ntargets; i++)
		add_target(&s, i, now);
	sched_targets_loaded(&s);
	sched_stored_jobs_loaded(&s);
	for (i = 0; i < 50 * njobs && s.njobs < njobs; i++)
		submit(&s, ++seq, now);
	sched_dispatch(&s, now);
	for (i = 0; i < n; i++) {
		while (!end_run(&s, (size_t)(uniform() * (double)ntargets),
				now))
			now++;
		begin = now_us();
		if (s.njobs < njobs)
			submit(&s, ++seq, now);
		sched_dispatch(&s, now);
		spent += now_us() - begin;
	}
	printf("%zu targets, %zu jobs open at the end, %.1f us a decision\n",
	       ntargets, s.njobs, spent / (double)n);
	sched_finish(&s);
	return 0;
}
