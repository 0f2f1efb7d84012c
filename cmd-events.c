/* rosemary events: one time line from the rings of all entry VMs. */

#include "cli-events.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FOLLOW_MS 500

enum long_flag {
	FLAG_FROM = 256,
	FLAG_TO,
};

struct events {
	struct cli_filter filter;
	int follow;
	int64_t since[CLI_VMS_MAX];   /* next position to read */
	int unreachable[CLI_VMS_MAX]; /* as of the last poll */
	struct cli_timeline timeline;
};

static const struct argp_option options[] = {
	{ "job", 'J', "KEY", 0, "only events of this key", 0 },
	{ "target", 't', "NAME", 0, "only events of this target", 0 },
	{ "team", 'T', "NAME", 0, "only events of this team", 0 },
	{ "from", FLAG_FROM, "TIME", 0,
	  "not before: milliseconds since 1970, or -SECONDS from now", 0 },
	{ "to", FLAG_TO, "TIME", 0, "not after: the same forms", 0 },
	{ "follow", 'f', NULL, 0, "go on with new events", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

/* Reads a point in time, absolute or back from now. */
static int64_t parse_time(struct argp_state *state, const char *what,
			  const char *arg)
{
	int64_t t = cli_whole(state, what, arg, -INT64_C(1000000000),
			      INT64_C(9000000000000));

	return t <= 0 ? cli_now_ms() + t * 1000 : t;
}

/* Takes the filters. */
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

/* Prints a line about an entry VM that is no event of its ring. */
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

/* Takes in a reply; returns CLI_UNREACHABLE when it is not what it should. */
static int take_reply(struct cli *cli, struct events *e, size_t i,
		      struct cli_reply *reply)
{
	struct cli_batch batch = { 0, 0 };
	uint64_t expected = e->since[i] > 1 ? (uint64_t)e->since[i] : 1;
	char text[64];

	if (reply->status != 200) {
		snprintf(text, sizeof(text), "HTTP %ld", reply->status);
		print_note(cli, cli->vms[i], "unreadable", text);
		return CLI_UNREACHABLE;
	}
	if (reply->body)
		batch = cli_timeline_add(&e->timeline, reply->body, &e->filter);
	if (batch.first_seq > expected) {
		snprintf(text, sizeof(text), "%llu older events overwritten",
			 (unsigned long long)(batch.first_seq - expected));
		print_note(cli, cli->vms[i], "overwritten", text);
	}
	/* A ring that is shorter than before belongs to a new process. */
	e->since[i] = reply->next < e->since[i] ? 0 : reply->next;
	if (!batch.malformed)
		return CLI_COMPLETE;
	snprintf(text, sizeof(text), "%zu lines are no events",
		 batch.malformed);
	print_note(cli, cli->vms[i], "unreadable", text);
	return CLI_UNREACHABLE;
}

/* Reads what one entry VM has added since; returns its exit code. */
static int read_vm(struct cli *cli, struct events *e, size_t i)
{
	char path[64];
	struct cli_call call = { "GET", path, NULL, NULL, CLI_TIMEOUT_MS };
	struct cli_reply reply;
	int code;

	snprintf(path, sizeof(path), "/v1/events?since=%lld",
		 (long long)e->since[i]);
	if (!cli_http(cli, cli->vms[i], &call, &reply)) {
		code = take_reply(cli, e, i, &reply);
		e->unreachable[i] = 0;
	} else {
		code = CLI_UNREACHABLE;
		if (!e->unreachable[i])
			cli_print_unreachable(cli, cli->vms[i], &reply);
		e->unreachable[i] = 1;
	}
	cli_reply_finish(&reply);
	return code;
}

/* Reads all entry VMs and sorts; returns the last bad exit code. */
static int read_all(struct cli *cli, struct events *e)
{
	int code = CLI_COMPLETE;
	size_t i;

	for (i = 0; i < cli->nvms; i++) {
		int one = read_vm(cli, e, i);

		if (one)
			code = one;
	}
	cli_timeline_sort(&e->timeline);
	return code;
}

/*
 * Prints for ever. An event is held back for one poll, so that those of
 * other entry VMs with an earlier stamp can go before it.
 */
static void follow(struct cli *cli, struct events *e)
{
	for (;;) {
		uint64_t newest = cli_timeline_newest(&e->timeline);

		cli_sleep_ms(FOLLOW_MS);
		read_all(cli, e);
		cli_timeline_print(&e->timeline, newest, cli->json);
	}
}

/* Prints what the rings hold now, and goes on when following. */
static int run(struct cli *cli, int argc, char **argv)
{
	static const struct argp argp = { options,
					  parse,
					  NULL,
					  "Prints the events of all given "
					  "entry VMs in one "
					  "order. An entry VM that gives no "
					  "answer is named.",
					  NULL,
					  NULL,
					  NULL };
	struct events *e = calloc(1, sizeof(*e));
	int code;

	if (!e)
		abort();
	cli_parse(cli, &argp, e, argc, argv);
	code = read_all(cli, e);
	if (e->follow)
		follow(cli, e);
	cli_timeline_print(&e->timeline, UINT64_MAX, cli->json);
	cli_timeline_finish(&e->timeline);
	free(e);
	return code;
}

const struct cmd_entry cmd_events_entry = {
	"events",
	"print one time line of all entry VMs",
	run,
};
