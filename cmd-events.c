/* rosemary events: one timeline from the event rings of all entry VMs. */

#include "cli-events.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FOLLOW_POLL_MS 500

enum long_flag {
	FLAG_FROM = 256,
	FLAG_TO,
};

struct events {
	struct cli_filter filter;
	int follow;
	int64_t next_position[CLI_VMS_MAX]; /* next position to read from */
	int unreachable[CLI_VMS_MAX];	    /* as of the last poll */
	struct cli_timeline timeline;
};

static const struct argp_option options[] = {
	{ "job", 'J', "KEY", 0, "only events of the job with this key", 0 },
	{ "target", 't', "NAME", 0, "only events of this target", 0 },
	{ "team", 'T', "NAME", 0, "only events of this team", 0 },
	{ "from", FLAG_FROM, "TIME", 0,
	  "not before: milliseconds since 1970, or -SECONDS from now", 0 },
	{ "to", FLAG_TO, "TIME", 0, "not after: the same forms", 0 },
	{ "follow", 'f', NULL, 0, "continue with new events", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

/*
 * Parses a time: milliseconds since 1970 or, unless positive, seconds relative
 * to now. Returns milliseconds since 1970.
 */
static int64_t parse_time(struct argp_state *state, const char *what,
			  const char *arg)
{
	int64_t t = cli_parse_int(state, what, arg, -INT64_C(1000000000),
				  INT64_C(9000000000000));

	return t <= 0 ? cli_now_ms() + t * 1000 : t;
}

/* Parses the flags of events. */
static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct events *e = state->input;

	switch (key) {
	case 'J':
		e->filter.job = arg;
		return 0;
	case 't':
		e->filter.target = arg;
		return 0;
	case 'T':
		e->filter.team = arg;
		return 0;
	case FLAG_FROM:
		e->filter.from_ms = parse_time(state, "--from", arg);
		return 0;
	case FLAG_TO:
		e->filter.to_ms = parse_time(state, "--to", arg);
		return 0;
	case 'f':
		e->follow = 1;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Prints a note about an entry VM, which is not an event of its ring. */
static void print_note(struct cli *cli, const char *vm, const char *event,
		       const char *message)
{
	json_t *o;

	if (!cli->json) {
		printf("# entry VM %s: %s\n", vm, message);
		return;
	}
	o = json_pack("{s:s, s:s, s:s}", "event", event, "vm", vm, "message",
		      message);
	json_dumpf(o, stdout, JSON_COMPACT);
	printf("\n");
	json_decref(o);
}

/*
 * Adds the events of an answer to the timeline. Returns CLI_UNREACHABLE when
 * the answer or a line of it is malformed.
 */
static int add_answer(struct cli *cli, struct events *e, size_t i,
		      struct cli_answer *answer)
{
	struct cli_batch batch = { 0, 0 };
	uint64_t expected_seq =
		e->next_position[i] > 1 ? (uint64_t)e->next_position[i] : 1;
	char text[64];

	if (answer->status != 200) {
		snprintf(text, sizeof(text), "HTTP %ld", answer->status);
		print_note(cli, cli->vms[i], "unreadable", text);
		return CLI_UNREACHABLE;
	}
	if (answer->body)
		batch = cli_timeline_add(&e->timeline, answer->body,
					 &e->filter);
	if (batch.first_seq > expected_seq) {
		snprintf(text, sizeof(text), "%llu older events overwritten",
			 (unsigned long long)(batch.first_seq - expected_seq));
		print_note(cli, cli->vms[i], "overwritten", text);
	}
	/*
	 * The entry VM has restarted when its position is lower than before;
	 * its ring is read from the start.
	 */
	e->next_position[i] = answer->next_position < e->next_position[i]
				      ? 0
				      : answer->next_position;
	if (!batch.malformed)
		return CLI_COMPLETE;
	snprintf(text, sizeof(text), "%zu lines are not events",
		 batch.malformed);
	print_note(cli, cli->vms[i], "unreadable", text);
	return CLI_UNREACHABLE;
}

/* Reads the new events of one entry VM; returns the exit code. */
static int read_events(struct cli *cli, struct events *e, size_t i)
{
	char path[64];
	struct cli_call call = { "GET", path, NULL, NULL, CLI_TIMEOUT_MS };
	struct cli_answer answer;
	int code;

	snprintf(path, sizeof(path), "/v1/events?since=%lld",
		 (long long)e->next_position[i]);
	if (!cli_http_call(cli, cli->vms[i], &call, &answer)) {
		code = add_answer(cli, e, i, &answer);
		e->unreachable[i] = 0;
	} else {
		code = CLI_UNREACHABLE;
		if (!e->unreachable[i])
			cli_print_unreachable(cli, cli->vms[i], &answer);
		e->unreachable[i] = 1;
	}
	cli_answer_finish(&answer);
	return code;
}

/*
 * Reads the new events of all entry VMs and sorts the timeline. Returns the
 * last exit code that is not CLI_COMPLETE, or CLI_COMPLETE.
 */
static int read_all_events(struct cli *cli, struct events *e)
{
	int code = CLI_COMPLETE;
	size_t i;

	for (i = 0; i < cli->nvms; i++) {
		int vm_code = read_events(cli, e, i);

		if (vm_code)
			code = vm_code;
	}
	cli_timeline_sort(&e->timeline);
	return code;
}

/*
 * Polls and prints without end. Each event is held back for one poll, so that
 * events of other entry VMs with earlier timestamps are printed before it.
 */
static void follow(struct cli *cli, struct events *e)
{
	for (;;) {
		uint64_t newest = cli_timeline_newest(&e->timeline);

		cli_sleep_ms(FOLLOW_POLL_MS);
		read_all_events(cli, e);
		cli_timeline_print(&e->timeline, newest, cli->json);
	}
}

/* Prints the events in the rings, and new ones too with --follow. */
static int run(struct cli *cli, int argc, char **argv)
{
	static const struct argp argp = { options,
					  parse,
					  NULL,
					  "Prints the events of all given "
					  "entry VMs in one "
					  "order. An entry VM that gives no "
					  "answer is reported.",
					  NULL,
					  NULL,
					  NULL };
	struct events *e = calloc(1, sizeof(*e));
	int code;

	if (!e)
		abort();
	cli_parse_args(cli, &argp, e, argc, argv);
	code = read_all_events(cli, e);
	if (e->follow)
		follow(cli, e);
	cli_timeline_print(&e->timeline, UINT64_MAX, cli->json);
	cli_timeline_finish(&e->timeline);
	free(e);
	return code;
}

const struct cmd_entry cmd_events_entry = {
	"events",
	"print one timeline of all entry VMs",
	run,
};
