/*
 * Submits jobs and requests: obtains an issued key, fails over between entry
 * VMs with the same key, and waits for the final answer.
 */

#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUNDS_MAX 3 /* over all entry VMs, while none answers */
#define ROUND_PAUSE_MS 200
#define WAIT_CALL_MS 30000   /* timeout of a call that waits for a job */
#define ANSWER_GRACE_MS 5000 /* for an answer, beyond the job's timeout */
#define RETRY_MIN_MS 20	     /* shortest delay between two calls */

/* Calls each entry VM at most once, until one answers; -1: none did. */
static int call_each_vm_once(struct cli *cli, const struct cli_call *call,
			     struct cli_answer *answer, int print_errors)
{
	size_t i;

	for (i = 0; i < cli->nvms; i++) {
		const char *vm = cli->vms[(cli->first_vm + i) % cli->nvms];

		cli_answer_finish(answer);
		if (!cli_http_call(cli, vm, call, answer))
			return 0;
		if (print_errors)
			fprintf(stderr, "entry VM %s gave no answer: %s\n", vm,
				answer->error);
	}
	return -1;
}

int cli_call_any_vm(struct cli *cli, const struct cli_call *call,
		    struct cli_answer *answer)
{
	int round;

	memset(answer, 0, sizeof(*answer));
	for (round = 0; round < ROUNDS_MAX; round++) {
		if (round)
			cli_sleep_ms(ROUND_PAUSE_MS);
		if (!call_each_vm_once(cli, call, answer, round == 0))
			return 0;
		if (answer->timed_out)
			break;
	}
	return -1;
}

/*
 * Obtains an issued key; the caller frees it. On failure prints the error, sets
 * the exit code and returns NULL.
 */
static char *issue_key(struct cli *cli, int *exit_code)
{
	struct cli_call call = {
		.method = "POST",
		.path = "/v1/keys?count=1",
		.timeout_ms = CLI_TIMEOUT_MS,
	};
	struct cli_answer answer;
	const char *key;
	char *copy = NULL;

	if (cli_call_any_vm(cli, &call, &answer)) {
		*exit_code = CLI_UNREACHABLE;
		cli_answer_finish(&answer);
		return NULL;
	}
	key = json_string_value(
		json_array_get(json_object_get(answer.json, "keys"), 0));
	if (key)
		copy = strdup(key);
	else
		*exit_code = cli_print_answer(cli, &answer);
	cli_answer_finish(&answer);
	return copy;
}

/* Delay before the call may be retried, ms; 0: it is not to be retried. */
static int64_t retry_delay_ms(const struct cli_answer *answer)
{
	int64_t ms = json_integer_value(json_object_get(answer->json, "retry_"
								      "after_"
								      "ms"));

	if (cli_exit_code(answer) != CLI_REFUSED || ms <= 0)
		return 0;
	return ms < RETRY_MIN_MS ? RETRY_MIN_MS : ms;
}

/*
 * Retries a refused call at the next entry VM while the refusal gives a
 * retry_after_ms and the time to give up is not reached.
 */
static int call_with_retry(struct cli *cli, const struct cli_call *call,
			   struct cli_answer *answer, int64_t give_up_at_ms,
			   int retry)
{
	for (;;) {
		int64_t delay_ms;

		if (cli_call_any_vm(cli, call, answer))
			return -1;
		delay_ms = retry ? retry_delay_ms(answer) : 0;
		if (!delay_ms || cli_now_ms() + delay_ms > give_up_at_ms)
			return 0;
		cli_answer_finish(answer);
		cli_sleep_ms(delay_ms);
		cli->first_vm++;
	}
}

/*
 * Gets the state of a job. A call that times out may be on a connection whose
 * peer no longer responds, so it is repeated at the next entry VM without
 * limit; after any other error each entry VM is tried.
 */
static int get_state(struct cli *cli, const struct cli_call *call,
		     struct cli_answer *answer)
{
	while (cli_http_call(cli, cli->vms[cli->first_vm % cli->nvms], call,
			     answer)) {
		int timed_out = answer->timed_out;

		cli->first_vm++;
		cli_answer_finish(answer);
		if (!timed_out)
			return cli_call_any_vm(cli, call, answer);
	}
	return 0;
}

int cli_wait(struct cli *cli, const char *key, int wait)
{
	char *name = cli_escape(key);
	char path[1024];
	struct cli_call call = { "GET", path, NULL, NULL, WAIT_CALL_MS };
	struct cli_answer answer;
	int code;

	snprintf(path, sizeof(path), "/v1/jobs/%s%s", name,
		 wait ? "?wait=1" : "");
	free(name);
	cli->progress = key;
	for (;;) {
		if (get_state(cli, &call, &answer)) {
			code = CLI_UNREACHABLE;
			break;
		}
		code = cli_exit_code(&answer);
		if (code != CLI_RUNNING || !wait) {
			code = cli_print_answer(cli, &answer);
			break;
		}
		cli_answer_finish(&answer);
		cli_sleep_ms(RETRY_MIN_MS);
	}
	cli->progress = NULL;
	cli_answer_finish(&answer);
	return code;
}

/* Sends the submission and prints the answer; returns the exit code. */
static int send_submission(struct cli *cli, const struct cli_job *job,
			   const struct cli_call *call, const char *key)
{
	int64_t give_up_at_ms = cli_now_ms() + job->timeout_ms;
	struct cli_answer answer;
	int code;

	cli->progress = key;
	if (call_with_retry(cli, call, &answer, give_up_at_ms, job->retry)) {
		fprintf(stderr,
			"no answer; ask again with: "
			"rosemary wait %s\n",
			key);
		code = CLI_UNREACHABLE;
	} else if (job->wait && cli_exit_code(&answer) == CLI_RUNNING) {
		code = cli_wait(cli, key, 1);
	} else {
		code = cli_print_answer(cli, &answer);
		if (code == CLI_RUNNING && !job->wait)
			code = CLI_COMPLETE;
	}
	cli->progress = NULL;
	cli_answer_finish(&answer);
	return code;
}

int cli_submit(struct cli *cli, struct cli_job *job)
{
	char path[128];
	struct cli_call call = {
		.method = "POST",
		.path = path,
		.body = job->body,
		.idempotency_key = job->key,
		.timeout_ms = job->timeout_ms + ANSWER_GRACE_MS,
	};
	const char *key = job->key;
	int code = CLI_REFUSED;

	snprintf(path, sizeof(path), "%s%s", job->path,
		 job->wait ? "" : "?wait=0");
	json_object_set_new(job->body, "timeout_ms",
			    json_integer(job->timeout_ms));
	if (!key && !json_object_get(job->body, "key")) {
		char *issued = issue_key(cli, &code);

		if (!issued)
			return code;
		fprintf(stderr, "key %s\n", issued);
		json_object_set_new(job->body, "key", json_string(issued));
		free(issued);
	}
	if (!key)
		key = json_string_value(json_object_get(job->body, "key"));
	return send_submission(cli, job, &call, key);
}

int cli_for_each_vm(struct cli *cli,
		    int (*show)(struct cli *cli, const char *vm))
{
	int code = CLI_COMPLETE;
	size_t i;

	for (i = 0; i < cli->nvms; i++) {
		int vm_code = show(cli, cli->vms[i]);

		if (vm_code)
			code = vm_code;
	}
	return code;
}

error_t cli_parse_key(int opt, char *arg, struct argp_state *state)
{
	const char **key = state->input;

	switch (opt) {
	case ARGP_KEY_ARG:
		if (*key)
			argp_error(state, "more than one key");
		*key = arg;
		return 0;
	case ARGP_KEY_END:
		if (!*key)
			argp_error(state, "give a key");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}
