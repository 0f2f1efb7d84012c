/* Parses answers and checks that their results are those of the job. */

#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FNV_OFFSET_BASIS 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

static const char *const state_names[] = {
	[LOAD_NONE] = "none",	    [LOAD_COMPLETE] = "complete",
	[LOAD_FAILED] = "failed",   [LOAD_NOT_RUN] = "not_run",
	[LOAD_REFUSED] = "refused", [LOAD_RUNNING] = "running",
	[LOAD_LOST] = "lost",
};

const char *load_state_name(enum load_state state)
{
	return state_names[state];
}

/* Returns the state of that name, or LOAD_LOST for any other name. */
static enum load_state parse_state(const char *name)
{
	int s;

	for (s = LOAD_COMPLETE; name && s <= LOAD_RUNNING; s++)
		if (!strcmp(name, state_names[s]))
			return s;
	return LOAD_LOST;
}

/* Continues an FNV-1a hash with a text. */
static uint64_t hash_text(uint64_t h, const char *text)
{
	for (; *text; text++)
		h = (h ^ (unsigned char)*text) * FNV_PRIME;
	return h;
}

/* Whether the result names the job's task i; the target repeats its name. */
static int result_matches(const struct load_settings *set, size_t number,
			  size_t i, json_t *result, struct load_outcome *out)
{
	const char *text = json_string_value(json_object_get(result, "result"));
	json_t *o = text ? json_loads(text, 0, NULL) : NULL;
	const char *task = json_string_value(json_object_get(o, "task"));
	double took_ms = json_number_value(json_object_get(o, "took_ms"));
	char expected[2 * LOAD_NAME_LEN];
	int matches;

	snprintf(expected, sizeof(expected), "%s/%zu/%zu", set->run_name,
		 number, i);
	matches = task && !strcmp(task, expected);
	if (took_ms > out->longest_task_ms)
		out->longest_task_ms = took_ms;
	if (text)
		out->digest = hash_text(out->digest, text);
	json_decref(o);
	return matches;
}

/* Whether there is a result of every task, in order. */
static int results_match(const struct load_settings *set,
			 const struct load_job *job, size_t number,
			 json_t *results, struct load_outcome *out)
{
	size_t i;

	if (json_array_size(results) != job->ntasks)
		return 0;
	out->digest = FNV_OFFSET_BASIS;
	for (i = 0; i < job->ntasks; i++) {
		json_t *r = json_array_get(results, i);
		const char *id = json_string_value(json_object_get(r, "id"));
		char expected[32];

		snprintf(expected, sizeof(expected), "%zu", i);
		if (!job->is_request && (!id || strcmp(id, expected) != 0))
			return 0;
		if (!result_matches(set, number, i, r, out))
			return 0;
	}
	return 1;
}

void load_answer_parse(const struct load_settings *set,
		       const struct load_call *call, json_t *o,
		       struct load_outcome *out)
{
	const char *error = json_string_value(json_object_get(o, "error"));
	struct load_job *job = call->job;
	json_t *state;

	memset(out, 0, sizeof(*out));
	state = json_object_get(o, "state");
	out->state = parse_state(json_string_value(state));
	if (out->state == LOAD_LOST && call->status >= 400)
		out->state = LOAD_REFUSED;
	out->may_have_run = json_is_true(json_object_get(o, "may_have_run"));
	out->retry_after_ms = json_integer_value(json_object_get(o, "retry_"
								    "after_"
								    "ms"));
	if (!error && out->state != LOAD_COMPLETE)
		error = call->status ? "unnamed" : "no_answer";
	snprintf(out->error, sizeof(out->error), "%s", error ? error : "");
	if (out->state == LOAD_COMPLETE &&
	    !results_match(set, job, call->job_number,
			   json_object_get(o, "results"), out))
		job->wrong_results = 1;
}
