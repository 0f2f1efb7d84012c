/* Draws the plan of a run: each job, its tasks and its times. */

#include "load.h"

#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TASKS_MAX 1024 /* most tasks in one job */

/* Draws 1 with the given probability, else 0. */
static int draw_bool(gsl_rng *rng, double share)
{
	return gsl_rng_uniform(rng) < share;
}

/* Draws the number of tasks of a job, from 1 to TASKS_MAX. */
static size_t draw_task_count(const struct load_settings *set, gsl_rng *rng)
{
	long n = lround(load_dist_draw(&set->tasks, rng));

	if (n < 1)
		return 1;
	return n > TASKS_MAX ? TASKS_MAX : (size_t)n;
}

/* Draws an entry VM other than the given one, if there is another. */
static size_t draw_other_vm(const struct load_settings *set, size_t vm,
			    gsl_rng *rng)
{
	if (set->nvms < 2)
		return vm;
	return (vm + 1 + gsl_rng_uniform_int(rng, set->nvms - 1)) % set->nvms;
}

/* Draws one job with its tasks and a possible resubmission. */
static void draw_job(const struct load_settings *set, struct load_job *job,
		     gsl_rng *rng, int64_t planned_us)
{
	size_t i;

	job->planned_us = planned_us;
	job->service = load_mix_draw(&set->services, rng);
	job->team = load_mix_draw(&set->teams, rng);
	job->vm = gsl_rng_uniform_int(rng, set->nvms);
	job->own_key = draw_bool(rng, set->own_keys);
	job->is_request = draw_bool(rng, set->requests);
	job->idempotent = job->is_request && draw_bool(rng, set->idempotent);
	job->ntasks = job->is_request ? 1 : draw_task_count(set, rng);
	job->task_ms = calloc(job->ntasks, sizeof(*job->task_ms));
	job->nstarts = calloc(job->ntasks, sizeof(*job->nstarts));
	if (!job->task_ms || !job->nstarts)
		abort();
	for (i = 0; i < job->ntasks; i++)
		job->task_ms[i] = (float)load_dist_draw(&set->task_ms, rng);
	job->resubmit_vm = draw_other_vm(set, job->vm, rng);
	if (draw_bool(rng, set->resubmit))
		job->resubmit_at_us =
			planned_us + 1 +
			(int64_t)(1000 *
				  load_dist_draw(&set->resubmit_after_ms, rng));
}

/* The least timeout that the interface takes is 1 ms. */
static int64_t draw_timeout(const struct load_settings *set, gsl_rng *rng)
{
	long long ms = llround(load_dist_draw(&set->timeout_ms, rng));

	return ms > 1 ? ms : 1;
}

void load_plan_init(struct load_plan *plan, const struct load_settings *set)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
	size_t cap = 0;
	double at_s = 0;
	size_t i;

	memset(plan, 0, sizeof(*plan));
	gsl_rng_set(rng, set->seed);
	for (;;) {
		at_s += gsl_ran_exponential(rng, 1 / set->jobs_per_second);
		if (at_s >= set->seconds)
			break;
		if (plan->njobs == cap) {
			cap = cap ? 2 * cap : 1024;
			plan->jobs =
				realloc(plan->jobs, cap * sizeof(*plan->jobs));
			if (!plan->jobs)
				abort();
		}
		memset(&plan->jobs[plan->njobs], 0, sizeof(*plan->jobs));
		draw_job(set, &plan->jobs[plan->njobs], rng,
			 (int64_t)(at_s * 1e6));
		plan->ntasks += plan->jobs[plan->njobs++].ntasks;
	}
	/* Drawn last, so that a range of timeouts does not change the rest. */
	for (i = 0; i < plan->njobs; i++)
		plan->jobs[i].timeout_ms = draw_timeout(set, rng);
	gsl_rng_free(rng);
}

void load_plan_finish(struct load_plan *plan)
{
	size_t i;

	for (i = 0; i < plan->njobs; i++) {
		free(plan->jobs[i].task_ms);
		free(plan->jobs[i].nstarts);
		free(plan->jobs[i].key);
	}
	free(plan->jobs);
}

double load_job_ideal_ms(const struct load_job *job,
			 const struct load_settings *set)
{
	double longest = 0;
	size_t i;

	for (i = 0; i < job->ntasks; i++)
		if (job->task_ms[i] > longest)
			longest = job->task_ms[i];
	return longest / set->fastest;
}

/* Returns the payload of one task: JSON text as a JSON string. */
static json_t *task_payload(const struct load_settings *set,
			    const struct load_job *job, size_t number, size_t i)
{
	return json_sprintf("{\"ms\":%.3f,\"task\":\"%s/%zu/%zu\"}",
			    job->task_ms[i], set->run_name, number, i);
}

char *load_job_body(const struct load_settings *set, const struct load_job *job,
		    size_t number)
{
	json_t *o = json_pack("{s:s, s:s, s:I}", "service", job->service,
			      "team", job->team, "timeout_ms",
			      (json_int_t)job->timeout_ms);
	json_t *tasks = json_array();
	char *text;
	size_t i;

	if (!job->own_key)
		json_object_set_new(o, "key", json_string(job->key));
	if (job->is_request) {
		json_object_set_new(o, "idempotent",
				    json_boolean(job->idempotent));
		json_object_set_new(o, "payload",
				    task_payload(set, job, number, 0));
		json_decref(tasks);
	} else {
		for (i = 0; i < job->ntasks; i++)
			json_array_append_new(
				tasks,
				json_pack("{s:o, s:o}", "id",
					  json_sprintf("%zu", i), "payload",
					  task_payload(set, job, number, i)));
		json_object_set_new(o, "tasks", tasks);
	}
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}
