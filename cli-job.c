/*
 * Submission of jobs and requests: has a key issued, fails over between entry
 * VMs with the same key, and waits for the final answer.
 */

#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUNDS 3 /* tries over all entry VMs without any answer */
#define ROUND_PAUSE_MS 200
#define WAIT_CALL_MS 30000 /* longest wait in one call */
#define GRACE_MS 5000	   /* beyond the job's own timeout */
#define RETRY_LEAST_MS 20

/* Calls each entry VM once, until one answers. */
static int call_round(struct cli *cli, const struct cli_call *call,
		      struct cli_reply *reply, int loud)
{
	size_t i;

	for (i = 0; i < cli->nvms; i++) {
		const char *vm = cli->vms[(cli->first + i) % cli->nvms];

		cli_reply_finish(reply);
		if (!cli_http(cli, vm, call, reply))
			return 0;
		if (loud)
			fprintf(stderr, "entry VM %s gave no answer: %s\n", vm,
				reply->error);
	}
	return -1;
}

int cli_any_vm(struct cli *cli, const struct cli_call *call,
	       struct cli_reply *reply)
{
	int round;

	memset(reply, 0, sizeof(*reply));
	for (round = 0; round < ROUNDS; round++) {
		if (round)
			cli_sleep_ms(ROUND_PAUSE_MS);
		if (!call_round(cli, call, reply, round == 0))
			return 0;
		if (reply->timed_out)
			break;
	}
	return -1;
}

/* Has a key issued; returns NULL after printing why not. */
static char *issue_key(struct cli *cli, int *exit_code)
{
	struct cli_call call = {
		.method = "POST",
		.path = "/v1/keys?count=1",
		.timeout_ms = CLI_TIMEOUT_MS,
	};
	struct cli_reply reply;
	const char *key;
	char *copy = NULL;

	if (cli_any_vm(cli, &call, &reply)) {
		*exit_code = CLI_UNREACHABLE;
		cli_reply_finish(&reply);
		return NULL;
	}
	key = json_string_value(
		json_array_get(json_object_get(reply.json, "keys"), 0));
	if (key)
		copy = strdup(key);
	else
		*exit_code = cli_print_answer(cli, &reply);
	cli_reply_finish(&reply);
	return copy;
}

/* How long to pause before the same call makes sense again; 0: never. */
static int64_t retry_after(const struct cli_reply *reply)
{
	int64_t ms = json_integer_value(json_object_get(reply->json, "retry_"
								     "after_"
								     "ms"));

	if (cli_exit_code(reply) != CLI_REFUSED || ms <= 0)
		return 0;
	return ms < RETRY_LEAST_MS ? RETRY_LEAST_MS : ms;
}

/*
 * Repeats a refused call, at the next entry VM, for as long as the refusal
 * says when to come back.
 */
static int call_until(struct cli *cli, const struct cli_call *call,
		      struct cli_reply *reply, int64_t give_up_ms, int retry)
{
	for (;;) {
		int64_t pause;

		if (cli_any_vm(cli, call, reply))
			return -1;
		pause = retry ? retry_after(reply) : 0;
		if (!pause || cli_now_ms() + pause > give_up_ms)
			return 0;
		cli_reply_finish(reply);
		cli_sleep_ms(pause);
		cli->first++;
	}
}

/*
 * Asks once, at one entry VM after the other. A call that lasts too long may
 * be on a connection gone silent: it is made again on another.
 */
static int ask_state(struct cli *cli, const struct cli_call *call,
		     struct cli_reply *reply)
{
	while (cli_http(cli, cli->vms[cli->first % cli->nvms], call, reply)) {
		int timed_out = reply->timed_out;

		cli->first++;
		cli_reply_finish(reply);
		if (!timed_out)
			return cli_any_vm(cli, call, reply);
	}
	return 0;
}

int cli_wait(struct cli *cli, const char *key, int wait)
{
	char *name = cli_escape(key);
	char path[1024];
	struct cli_call call = { "GET", path, NULL, NULL, WAIT_CALL_MS };
	struct cli_reply reply;
	int code;

	snprintf(path, sizeof(path), "/v1/jobs/%s%s", name,
		 wait ? "?wait=1" : "");
	free(name);
	cli->progress = key;
	for (;;) {
		if (ask_state(cli, &call, &reply)) {
			code = CLI_UNREACHABLE;
			break;
		}
		code = cli_exit_code(&reply);
		if (code != CLI_RUNNING || !wait) {
			code = cli_print_answer(cli, &reply);
			break;
		}
		cli_reply_finish(&reply);
		cli_sleep_ms(RETRY_LEAST_MS);
	}
	cli->progress = NULL;
	cli_reply_finish(&reply);
	return code;
}

/* Sends the submission and prints its answer. */
static int send_job(struct cli *cli, const struct cli_job *job,
		    const struct cli_call *call, const char *key)
{
	int64_t give_up = cli_now_ms() + job->timeout_ms;
	struct cli_reply reply;
	int code;

	cli->progress = key;
	if (call_until(cli, call, &reply, give_up, job->retry)) {
		fprintf(stderr,
			"no answer; ask again with: "
			"rosemary wait %s\n",
			key);
		code = CLI_UNREACHABLE;
	} else if (job->wait && cli_exit_code(&reply) == CLI_RUNNING) {
		code = cli_wait(cli, key, 1);
	} else {
		code = cli_print_answer(cli, &reply);
		if (code == CLI_RUNNING && !job->wait)
			code = CLI_COMPLETE;
	}
	cli->progress = NULL;
	cli_reply_finish(&reply);
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
		.timeout_ms = job->timeout_ms + GRACE_MS,
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
	return send_job(cli, job, &call, key);
}

int cli_each_vm(struct cli *cli, int (*show)(struct cli *cli, const char *vm))
{
	int code = CLI_COMPLETE;
	size_t i;

	for (i = 0; i < cli->nvms; i++) {
		int one = show(cli, cli->vms[i]);

		if (one)
			code = one;
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
