/* rosemary submit: submits a job of tasks and prints its answer. */

#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct submit {
	const char *file;
	const char *service;
	const char *team;
	const char *key;	/* the caller's own */
	const char *issued_key; /* issued earlier */
	const char *payload;	/* of generated tasks */
	int64_t ntasks;		/* to generate; 0: read a file */
	int64_t timeout_ms;	/* 0: as in the file, or the default */
	int no_wait;
	int no_retry;
};

enum long_flag {
	FLAG_KEY = 256,
	FLAG_ISSUED_KEY,
	FLAG_TASKS,
	FLAG_PAYLOAD,
	FLAG_NO_WAIT,
	FLAG_NO_RETRY,
};

static const struct argp_option options[] = {
	{ "service", 's', "NAME", 0, "service whose targets run the tasks", 0 },
	{ "team", 't', "NAME", 0, "team that the job counts for", 0 },
	{ "timeout", 'T', "MS", 0, "time from receipt to deadline, in ms", 0 },
	{ "key", FLAG_KEY, "KEY", 0, "the caller's own idempotency key", 0 },
	{ "issued-key", FLAG_ISSUED_KEY, "KEY", 0,
	  "resubmit under a key that was issued earlier", 0 },
	{ "tasks", FLAG_TASKS, "N", 0,
	  "generate N tasks instead of reading a file", 0 },
	{ "payload", FLAG_PAYLOAD, "TEXT", 0, "payload of the generated tasks",
	  0 },
	{ "no-wait", FLAG_NO_WAIT, NULL, 0, "return once accepted", 0 },
	{ "no-retry", FLAG_NO_RETRY, NULL, 0, "do not retry after a refusal",
	  0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

/* Parses the flags and the file name. */
static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct submit *s = state->input;

	switch (key) {
	case 's':
		s->service = arg;
		return 0;
	case 't':
		s->team = arg;
		return 0;
	case 'T':
		s->timeout_ms =
			cli_parse_int(state, "--timeout", arg, 1, 86400000);
		return 0;
	case FLAG_KEY:
		s->key = arg;
		return 0;
	case FLAG_ISSUED_KEY:
		s->issued_key = arg;
		return 0;
	case FLAG_TASKS:
		s->ntasks = cli_parse_int(state, "--tasks", arg, 1, 1000000);
		return 0;
	case FLAG_PAYLOAD:
		s->payload = arg;
		return 0;
	case FLAG_NO_WAIT:
		s->no_wait = 1;
		return 0;
	case FLAG_NO_RETRY:
		s->no_retry = 1;
		return 0;
	case ARGP_KEY_ARG:
		if (s->file)
			argp_error(state, "more than one file");
		s->file = arg;
		return 0;
	case ARGP_KEY_END:
		if (!s->file == !s->ntasks)
			argp_error(state, "give either FILE or --tasks");
		if (s->key && s->issued_key)
			argp_error(state, "--key and --issued-key exclude each "
					  "other");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/*
 * Replaces payloads that are not strings by their JSON text, since a submission
 * carries payloads as strings.
 */
static void payloads_to_text(json_t *tasks)
{
	json_t *task;
	size_t i;

	json_array_foreach(tasks, i, task)
	{
		json_t *payload = json_object_get(task, "payload");
		char *text;

		if (!payload || json_is_string(payload))
			continue;
		text = json_dumps(payload, JSON_COMPACT | JSON_ENCODE_ANY);
		json_object_set_new(task, "payload", json_string(text));
		free(text);
	}
}

/* Reads a job, or an array of tasks only; "-" is standard input. */
static json_t *read_job_file(const char *file)
{
	json_error_t err;
	json_t *job;

	if (!strcmp(file, "-"))
		job = json_loadf(stdin, 0, &err);
	else
		job = json_load_file(file, 0, &err);
	if (!job)
		cli_usage("%s: line %d: %s", file, err.line, err.text);
	if (json_is_array(job))
		job = json_pack("{s:o}", "tasks", job);
	if (!json_is_array(json_object_get(job, "tasks")))
		cli_usage("%s: no array of tasks", file);
	return job;
}

/* Makes a job of n tasks with ids from 1 and the same payload. */
static json_t *make_job(int64_t n, const char *payload)
{
	json_t *tasks = json_array();
	char id[32];
	int64_t i;

	for (i = 1; i <= n; i++) {
		snprintf(id, sizeof(id), "%lld", (long long)i);
		json_array_append_new(tasks, json_pack("{s:s, s:s}", "id", id,
						       "payload", payload));
	}
	return json_pack("{s:o}", "tasks", tasks);
}

/* Sets the job's fields from the flags, which override those of the file. */
static void apply_flags(struct submit *s, json_t *job)
{
	json_t *timeout = json_object_get(job, "timeout_ms");

	if (s->service)
		json_object_set_new(job, "service", json_string(s->service));
	if (s->team)
		json_object_set_new(job, "team", json_string(s->team));
	if (s->key)
		json_object_del(job, "key");
	if (s->issued_key)
		json_object_set_new(job, "key", json_string(s->issued_key));
	if (!json_object_get(job, "service"))
		cli_usage("give --service");
	if (!json_object_get(job, "team"))
		json_object_set_new(job, "team", json_string("default"));
	if (s->timeout_ms)
		return;
	s->timeout_ms = timeout ? json_integer_value(timeout) : 60000;
	/* The entry VM checks its range; it is not replaced by the default. */
	if (timeout && !json_is_integer(timeout))
		cli_usage("timeout_ms: want a whole number");
}

/* Makes the job from a file or from the flags and submits it. */
static int run(struct cli *cli, int argc, char **argv)
{
	static const struct argp argp = { options,
					  parse,
					  "[FILE]",
					  "Sends a job: a JSON file with an "
					  "array of tasks "
					  "[{\"id\",\"payload\"}], or with a "
					  "whole job.",
					  NULL,
					  NULL,
					  NULL };
	struct submit s = { .payload = "" };
	struct cli_job job = { .path = "/v1/jobs" };
	int code;

	cli_parse_args(cli, &argp, &s, argc, argv);
	job.body = s.file ? read_job_file(s.file)
			  : make_job(s.ntasks, s.payload);
	payloads_to_text(json_object_get(job.body, "tasks"));
	apply_flags(&s, job.body);
	job.key = s.key;
	job.timeout_ms = s.timeout_ms;
	job.wait = !s.no_wait;
	job.retry = !s.no_retry;
	code = cli_submit(cli, &job);
	json_decref(job.body);
	return code;
}

const struct cmd_entry cmd_submit_entry = {
	"submit",
	"send a job of tasks and print its answer",
	run,
};
