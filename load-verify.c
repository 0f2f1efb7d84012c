/* Checks all answers against the records of the targets. */

#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STARTS_MAX 255 /* of one task; further starts are not counted */

/* Parses the task name "RUN/JOB/TASK" of a record; -1: not of this run. */
static int parse_task(const struct load_settings *set,
		      const struct load_plan *plan, const char *text,
		      size_t *job, size_t *task)
{
	size_t len = strlen(set->run_name);

	if (!text || strncmp(text, set->run_name, len) != 0 || text[len] != '/')
		return -1;
	if (sscanf(text + len, "/%zu/%zu", job, task) != 2)
		return -1;
	if (*job >= plan->njobs || *task >= plan->jobs[*job].ntasks)
		return -1;
	return 0;
}

/* Counts the starts of this run's tasks in one target's record. */
static void count_starts(const struct load_settings *set,
			 struct load_plan *plan, const char *target,
			 struct load_check *check)
{
	json_t *o = load_get_json(target, "/v1/control/record");
	json_t *start;
	size_t i, job, task;

	if (!o) {
		check->targets_unread++;
		fprintf(stderr, "target %s: record cannot be read\n", target);
		return;
	}
	check->targets_read++;
	json_array_foreach(json_object_get(o, "starts"), i, start)
	{
		const char *name =
			json_string_value(json_object_get(start, "task"));

		if (parse_task(set, plan, name, &job, &task))
			continue;
		check->run_starts++;
		if (plan->jobs[job].nstarts[task] < STARTS_MAX)
			plan->jobs[job].nstarts[task]++;
	}
	json_decref(o);
}

/* Prints the job for which a guarantee was violated. */
static void report_violation(const struct load_settings *set, size_t number,
			     const struct load_job *job,
			     const char *description)
{
	fprintf(stderr, "FAULT: job %s/%zu key %s: %s\n", set->run_name, number,
		job->key ? job->key : "-", description);
}

/* Whether an answer said that no task of the job ran. */
static int answered_not_run(const struct load_job *job)
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
	/*
	 * A refusal says so only when every call was refused: otherwise another
	 * call for the same key may have been accepted.
	 */
	return refused && job->noutcomes == job->ncalls;
}

/* Whether the answer gave a state that can no longer change. */
static int is_final(const struct load_outcome *out)
{
	return out->state == LOAD_COMPLETE || out->state == LOAD_FAILED ||
	       out->state == LOAD_NOT_RUN;
}

/* Whether two final answers to the same key differ. */
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

/* Checks the answer to a job against the starts of its tasks. */
static void check_starts(const struct load_settings *set, size_t number,
			 const struct load_job *job, struct load_check *check)
{
	size_t i, nstarted = 0;

	for (i = 0; i < job->ntasks; i++) {
		nstarted += job->nstarts[i] > 0;
		if (job->nstarts[i] <= 1)
			continue;
		if (job->idempotent) {
			check->repeated_idempotent++;
			continue;
		}
		check->started_twice++;
		report_violation(set, number, job, "a task was started twice");
	}
	if (check->targets_unread || !set->ntargets)
		return;
	if (job->state == LOAD_COMPLETE && nstarted < job->ntasks) {
		check->complete_without_start++;
		report_violation(set, number, job,
				 "complete, but a task never started");
	}
	if (nstarted && answered_not_run(job)) {
		check->not_run_but_started++;
		report_violation(set, number, job,
				 "said not to have run, but started");
	}
}

void load_verify(const struct load_settings *set, struct load_plan *plan,
		 struct load_check *check)
{
	size_t i;

	memset(check, 0, sizeof(*check));
	for (i = 0; i < set->ntargets; i++)
		count_starts(set, plan, set->targets[i], check);
	for (i = 0; i < plan->njobs; i++) {
		const struct load_job *job = &plan->jobs[i];

		check_starts(set, i, job, check);
		if (job->wrong_results) {
			check->wrong_answers++;
			report_violation(set, i, job,
					 "results do not match the job");
		}
		if (answers_differ(job)) {
			check->answers_differ++;
			report_violation(set, i, job,
					 "two final answers differ");
		}
	}
}

size_t load_check_violations(const struct load_check *check)
{
	return check->double_starts + check->started_twice +
	       check->complete_without_start + check->not_run_but_started +
	       check->wrong_answers + check->answers_differ +
	       check->targets_unread;
}
