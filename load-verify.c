/* The check of all answers against the records of the targets. */

#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STARTS_MAX 255 /* counted per task */

/* Finds the job and the task of a record's entry; -1: of another run. */
static int parse_task(const struct load_settings *set,
		      const struct load_plan *plan, const char *text,
		      size_t *job, size_t *task)
{
	size_t len = strlen(set->run);

	if (!text || strncmp(text, set->run, len) != 0 || text[len] != '/')
		return -1;
	if (sscanf(text + len, "/%zu/%zu", job, task) != 2)
		return -1;
	if (*job >= plan->njobs || *task >= plan->jobs[*job].ntasks)
		return -1;
	return 0;
}

/* Counts the starts of this run's tasks in one target's record. */
static void read_record(const struct load_settings *set, struct load_plan *plan,
			const char *target, struct load_verdict *v)
{
	json_t *o = load_get_json(target, "/v1/control/record");
	json_t *start;
	size_t i, job, task;

	if (!o) {
		v->targets_unread++;
		fprintf(stderr, "target %s: no record\n", target);
		return;
	}
	v->targets_read++;
	json_array_foreach(json_object_get(o, "starts"), i, start)
	{
		const char *name =
			json_string_value(json_object_get(start, "task"));

		if (parse_task(set, plan, name, &job, &task))
			continue;
		v->own_starts++;
		if (plan->jobs[job].starts[task] < STARTS_MAX)
			plan->jobs[job].starts[task]++;
	}
	json_decref(o);
}

/* Names the job whose promise was broken. */
static void blame(const struct load_settings *set, size_t number,
		  const struct load_job *job, const char *what)
{
	fprintf(stderr, "FAULT: job %s/%zu key %s: %s\n", set->run, number,
		job->key ? job->key : "-", what);
}

/* Whether any call told the caller that nothing of the job ran. */
static int told_not_run(const struct load_job *job)
{
	int refused = job->noutcomes > 0;
	size_t i;

	for (i = 0; i < job->noutcomes; i++) {
		const struct load_outcome *out = &job->outcomes[i];

		if (out->state == LOAD_NOT_RUN ||
		    (out->state == LOAD_FAILED && !out->may_have_run))
			return 1;
		if (out->state != LOAD_REFUSED)
			refused = 0;
	}
	/* Only when every call was refused has the job never got in. */
	return refused && job->noutcomes == job->ncalls;
}

/* Whether nothing can change the outcome any more. */
static int is_final(const struct load_outcome *out)
{
	return out->state == LOAD_COMPLETE || out->state == LOAD_FAILED ||
	       out->state == LOAD_NOT_RUN;
}

/* Final answers to one key must be the same. */
static int answers_differ(const struct load_job *job)
{
	const struct load_outcome *first = NULL;
	size_t i;

	for (i = 0; i < job->noutcomes; i++) {
		const struct load_outcome *out = &job->outcomes[i];

		if (!is_final(out))
			continue;
		if (!first)
			first = out;
		if (out->state != first->state || out->digest != first->digest)
			return 1;
	}
	return 0;
}

/* Checks a job's answer against the starts of its tasks. */
static void check_starts(const struct load_settings *set, size_t number,
			 const struct load_job *job, struct load_verdict *v)
{
	size_t i, started = 0;

	for (i = 0; i < job->ntasks; i++) {
		started += job->starts[i] > 0;
		if (job->starts[i] <= 1)
			continue;
		if (job->idempotent) {
			v->repeated_idempotent++;
			continue;
		}
		v->started_twice++;
		blame(set, number, job, "a task was started twice");
	}
	if (v->targets_unread || !set->ntargets)
		return;
	if (job->state == LOAD_COMPLETE && started < job->ntasks) {
		v->complete_without_start++;
		blame(set, number, job, "complete, but a task never started");
	}
	if (started && told_not_run(job)) {
		v->not_run_but_started++;
		blame(set, number, job, "said not to have run, but started");
	}
}

void load_verify(const struct load_settings *set, struct load_plan *plan,
		 struct load_verdict *v)
{
	size_t i;

	memset(v, 0, sizeof(*v));
	for (i = 0; i < set->ntargets; i++)
		read_record(set, plan, set->targets[i], v);
	for (i = 0; i < plan->njobs; i++) {
		const struct load_job *job = &plan->jobs[i];

		check_starts(set, i, job, v);
		if (job->wrong) {
			v->wrong_answers++;
			blame(set, i, job, "results do not match the job");
		}
		if (answers_differ(job)) {
			v->answers_differ++;
			blame(set, i, job, "two final answers differ");
		}
	}
}

size_t load_verdict_faults(const struct load_verdict *v)
{
	return v->double_starts + v->started_twice + v->complete_without_start +
	       v->not_run_but_started + v->wrong_answers + v->answers_differ +
	       v->targets_unread;
}
