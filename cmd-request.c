/* rosemary request: submits a single request and prints its answer. */

#include "cli.h"

#include <stdio.h>

struct request {
	const char *service;
	const char *team;
	const char *key;
	const char *payload;
	int64_t timeout_ms;
	int idempotent;
};

static const struct argp_option options[] = {
	{ "service", 's', "NAME", 0, "service whose target runs it", 0 },
	{ "team", 't', "NAME", 0, "team that the request counts for", 0 },
	{ "timeout", 'T', "MS", 0, "time from receipt to deadline, in ms", 0 },
	{ "key", 'k', "KEY", 0, "the caller's own idempotency key", 0 },
	{ "idempotent", 'i', NULL, 0, "the target may run it again", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

/* Parses the flags and the payload. */
static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct request *r = state->input;

	switch (key) {
	case 's':
		r->service = arg;
		return 0;
	case 't':
		r->team = arg;
		return 0;
	case 'T':
		r->timeout_ms =
			cli_parse_int(state, "--timeout", arg, 1, 86400000);
		return 0;
	case 'k':
		r->key = arg;
		return 0;
	case 'i':
		r->idempotent = 1;
		return 0;
	case ARGP_KEY_ARG:
		if (r->payload)
			argp_error(state, "more than one payload");
		r->payload = arg;
		return 0;
	case ARGP_KEY_END:
		if (!r->service || !r->payload)
			argp_error(state, "give --service and a payload");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Submits the request in the same way as a job. */
static int run(struct cli *cli, int argc, char **argv)
{
	static const struct argp argp = { options,
					  parse,
					  "PAYLOAD",
					  "Sends one request. It runs at most "
					  "once unless "
					  "--idempotent is given.",
					  NULL,
					  NULL,
					  NULL };
	struct request r = { .team = "default", .timeout_ms = 60000 };
	struct cli_job job = { .path = "/v1/requests", .wait = 1, .retry = 1 };
	int code;

	cli_parse_args(cli, &argp, &r, argc, argv);
	job.key = r.key;
	job.timeout_ms = r.timeout_ms;
	job.body = json_pack("{s:s, s:s, s:b, s:s}", "service", r.service,
			     "team", r.team, "idempotent", r.idempotent,
			     "payload", r.payload);
	if (!job.body)
		cli_usage("the payload must be UTF-8");
	code = cli_submit(cli, &job);
	json_decref(job.body);
	return code;
}

const struct cmd_entry cmd_request_entry = {
	"request",
	"send a single request and print its answer",
	run,
};
