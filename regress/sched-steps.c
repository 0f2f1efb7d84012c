/* Jobs of several steps. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <string.h>

#include "world/world.h"

static struct world w;
static struct sched s;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_steps, .init = init_apr, .timeout = 60);

/* Adds a step of as many tasks as the first, which needs the label then. */
static void add_step(struct world_job *job, const char *label)
{
	PoolSubmit *sub = job->sub;
	PoolStep *step = calloc(1, sizeof(*step));

	pool_step__init(step);
	step->tasks = sub->steps[0]->tasks;
	step->cpu = sub->steps[0]->cpu;
	step->memory = sub->steps[0]->memory;
	step->estimate_ms = sub->steps[0]->estimate_ms;
	step->label = strdup("");
	step->rack = strdup("");
	free(sub->steps[0]->label);
	sub->steps[0]->label = strdup(label);
	sub->steps = realloc(sub->steps, 2 * sizeof(*sub->steps));
	sub->steps[1] = step;
	sub->n_steps = 2;
}

/*
 * Guards against an accepted job of which nothing runs, though it could: no
 * target has the label that its first step needs, and its second step, which
 * does not wait for the first, was not looked at.
 */
Test(sched_steps, a_step_without_a_target_does_not_hold_up_the_others)
{
	struct world_job *job;

	world_begin(&w, &s, 2);
	w.stored = 1;
	w.task_cpu = 1000;
	job = world_job_new(&w, "q", 2, 100, 1, 60000);
	add_step(job, "missing");
	world_submit_job(&w, job);
	world_run_until(&w, w.now + 500);
	cr_assert_eq(w.starts, 2);
	cr_assert_eq(s.jobs->ndone, 2);
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&s);
	world_finish(&w);
}
