/*
 * rosemary-load: puts an open-loop load on entry VMs, reports response times
 * and checks the answers against the records of the targets.
 */

#include "load.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define EXIT_VIOLATIONS 1
#define EXIT_USAGE 2
#define TIMEOUT_MAX 86400000 /* ms, a day */

enum long_flag {
	FLAG_OWN_KEYS = 256,
	FLAG_RESUBMIT,
	FLAG_RESUBMIT_AFTER,
	FLAG_REQUESTS,
	FLAG_IDEMPOTENT,
	FLAG_RETRY_FOR,
	FLAG_SETTLE,
	FLAG_VERIFY,
	FLAG_PLATFORM,
	FLAG_FASTEST,
	FLAG_RUN,
	FLAG_TASK_MS,
	FLAG_SEED,
};

static const struct argp_option options[] = {
	{ "entry-vm", 'e', "IP:PORT", 0, "an entry VM; repeatable", 0 },
	{ "rate", 'r', "N", 0, "jobs per second (100)", 0 },
	{ "seconds", 'S', "N", 0, "length of the run (5)", 0 },
	{ "tasks", 'n', "DIST", 0, "tasks per job (10)", 0 },
	{ "task-ms", FLAG_TASK_MS, "DIST", 0,
	  "service time of a task in ms (50)", 0 },
	{ "service", 's', "NAME[:WEIGHT]", 0, "repeatable", 0 },
	{ "team", 't', "NAME[:WEIGHT]", 0, "repeatable (default)", 0 },
	{ "timeout", 'T', "DIST", 0, "timeout of a job in ms (30000)", 0 },
	{ "own-keys", FLAG_OWN_KEYS, "SHARE", 0,
	  "share of jobs under the caller's own key (0)", 0 },
	{ "resubmit", FLAG_RESUBMIT, "SHARE", 0,
	  "share of jobs sent again to another entry VM (0)", 0 },
	{ "resubmit-after", FLAG_RESUBMIT_AFTER, "DIST", 0,
	  "delay of the second call in ms (0-100)", 0 },
	{ "requests", FLAG_REQUESTS, "SHARE", 0, "share of single requests (0)",
	  0 },
	{ "idempotent", FLAG_IDEMPOTENT, "SHARE", 0,
	  "share of the requests that may be repeated (0)", 0 },
	{ "retry-for", FLAG_RETRY_FOR, "MS", 0,
	  "how long to retry after refusals and lost answers (0)", 0 },
	{ "threads", 'j', "N", 0, "threads that send (1)", 0 },
	{ "seed", FLAG_SEED, "N", 0, "seed of the plan (1)", 0 },
	{ "run", FLAG_RUN, "NAME", 0, "name of this run in the records", 0 },
	{ "verify", FLAG_VERIFY, "IP:PORT[xN]", 0,
	  "check the answers against the records of N target stand-ins from "
	  "this port on; repeatable",
	  0 },
	{ "settle", FLAG_SETTLE, "MS", 0,
	  "pause before the records are read (500)", 0 },
	{ "platform", FLAG_PLATFORM, "IP:PORT", 0,
	  "report the counts of this platform stand-in", 0 },
	{ "fastest", FLAG_FASTEST, "F", 0,
	  "speed factor of the fastest target (1)", 0 },
	{ "json", 'J', NULL, 0, "print JSON", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

/* Parses a number from low to high, or exits. */
static double parse_number(struct argp_state *state, const char *arg,
			   double low, double high)
{
	char *end;
	double x = strtod(arg, &end);

	if (*end || end == arg || x < low || x > high)
		argp_error(state, "'%s' must be %g..%g", arg, low, high);
	return x;
}

/* Parses a distribution, or exits. */
static void parse_dist(struct argp_state *state, struct load_dist *d,
		       const char *arg)
{
	if (load_dist_parse(d, arg))
		argp_error(state,
			   "'%s' must be N, A-B, exp:MEAN or "
			   "lognorm:MEAN:SIGMA",
			   arg);
}

/* Adds a weighted name, or exits. */
static void parse_mix(struct argp_state *state, struct load_mix *m,
		      const char *arg)
{
	if (load_mix_add(m, arg))
		argp_error(state, "'%s' must be NAME or NAME:WEIGHT", arg);
}

/* Adds "IP:PORT" or "IP:PORTxN" to the targets to verify. */
static void add_target_range(struct argp_state *state,
			     struct load_settings *set, const char *arg)
{
	const char *colon = strrchr(arg, ':');
	long port = 0, n = 1, i;
	char *end = NULL;

	if (colon)
		port = strtol(colon + 1, &end, 10);
	if (end && *end == 'x')
		n = strtol(end + 1, &end, 10);
	if (!end || *end || port < 1 || n < 1 || port + n > 65536)
		argp_error(state, "'%s' must be IP:PORT or IP:PORTxN", arg);
	for (i = 0; i < n; i++) {
		if (set->ntargets == LOAD_TARGETS_MAX)
			argp_error(state, "too many targets");
		snprintf(set->targets[set->ntargets++], LOAD_NAME_LEN,
			 "%.*s:%ld", (int)(colon - arg), arg, port + i);
	}
}

/* Parses the flags that describe the jobs. */
static error_t parse_job_flag(int key, char *arg, struct argp_state *state)
{
	struct load_settings *set = state->input;

	switch (key) {
	case 'r':
		set->jobs_per_second = parse_number(state, arg, 0.001, 1e6);
		return 0;
	case 'S':
		set->seconds = parse_number(state, arg, 0.001, 1e6);
		return 0;
	case 'n':
		parse_dist(state, &set->tasks, arg);
		return 0;
	case FLAG_TASK_MS:
		parse_dist(state, &set->task_ms, arg);
		return 0;
	case 's':
		parse_mix(state, &set->services, arg);
		return 0;
	case 't':
		parse_mix(state, &set->teams, arg);
		return 0;
	case 'T':
		parse_dist(state, &set->timeout_ms, arg);
		if (set->timeout_ms.a < 1 || set->timeout_ms.a > TIMEOUT_MAX ||
		    set->timeout_ms.b > TIMEOUT_MAX)
			argp_error(state, "'%s' must be within 1..%d", arg,
				   TIMEOUT_MAX);
		return 0;
	case FLAG_OWN_KEYS:
		set->own_keys = parse_number(state, arg, 0, 1);
		return 0;
	case FLAG_RESUBMIT:
		set->resubmit = parse_number(state, arg, 0, 1);
		return 0;
	case FLAG_RESUBMIT_AFTER:
		parse_dist(state, &set->resubmit_after_ms, arg);
		return 0;
	case FLAG_REQUESTS:
		set->requests = parse_number(state, arg, 0, 1);
		return 0;
	case FLAG_IDEMPOTENT:
		set->idempotent = parse_number(state, arg, 0, 1);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Parses the flags for the entry VMs, the run and the report. */
static error_t parse_flag(int key, char *arg, struct argp_state *state)
{
	struct load_settings *set = state->input;

	switch (key) {
	case 'e':
		if (set->nvms == LOAD_VMS_MAX)
			argp_error(state, "too many entry VMs");
		set->vms[set->nvms++] = arg;
		return 0;
	case FLAG_RETRY_FOR:
		set->retry_for_ms =
			(int64_t)parse_number(state, arg, 0, 86400000);
		return 0;
	case 'j':
		set->threads =
			(size_t)parse_number(state, arg, 1, LOAD_THREADS_MAX);
		return 0;
	case FLAG_SEED:
		set->seed = (unsigned long)parse_number(state, arg, 0, 1e9);
		return 0;
	case FLAG_RUN:
		snprintf(set->run_name, sizeof(set->run_name), "%s", arg);
		return 0;
	case FLAG_VERIFY:
		add_target_range(state, set, arg);
		return 0;
	case FLAG_SETTLE:
		set->settle_ms = (int64_t)parse_number(state, arg, 0, 86400000);
		return 0;
	case FLAG_PLATFORM:
		set->platform = arg;
		return 0;
	case FLAG_FASTEST:
		set->fastest = parse_number(state, arg, 0.001, 1000);
		return 0;
	case 'J':
		set->json = 1;
		return 0;
	case ARGP_KEY_END:
		if (!set->nvms || !set->services.len)
			argp_error(state, "give --entry-vm and --service");
		return 0;
	default:
		return parse_job_flag(key, arg, state);
	}
}

/* Sets the defaults that the help text states. */
static void set_defaults(struct load_settings *set)
{
	memset(set, 0, sizeof(*set));
	set->jobs_per_second = 100;
	set->seconds = 5;
	set->tasks.a = 10;
	set->task_ms.a = 50;
	set->fastest = 1;
	set->timeout_ms.a = 30000;
	load_dist_parse(&set->resubmit_after_ms, "0-100");
	set->settle_ms = 500;
	set->threads = 1;
	set->seed = 1;
}

/* Sets the team and the run name when no flag gave them. */
static void fill_missing_settings(struct load_settings *set)
{
	if (!set->teams.len)
		load_mix_add(&set->teams, "default");
	if (!*set->run_name)
		snprintf(set->run_name, sizeof(set->run_name), "run%lu-%lld",
			 set->seed, (long long)time(NULL));
}

/* Waits for starts that are still in flight, then checks the records. */
static void verify(const struct load_settings *set, struct load_plan *plan,
		   struct load_check *check)
{
	struct timespec pause = { set->settle_ms / 1000,
				  set->settle_ms % 1000 * 1000000 };

	if (set->ntargets)
		nanosleep(&pause, NULL);
	load_verify(set, plan, check);
}

/* Returns how often a target was told to start an id it had started before. */
static size_t count_double_starts(const struct load_counters *before,
				  const struct load_counters *after)
{
	json_t *diff = load_counters_diff(before->targets, after->targets);
	double n = json_number_value(json_object_get(diff, "double_starts"));

	json_decref(diff);
	return (size_t)n;
}

int main(int argc, char **argv)
{
	static const struct argp argp = { options,
					  parse_flag,
					  NULL,
					  "Sends an open-loop load and reports "
					  "response times against "
					  "the ideal: the longest task of each "
					  "job. Exits with 1 when "
					  "a guarantee was violated.",
					  NULL,
					  NULL,
					  NULL };
	static struct load_settings set;
	struct load_counters before, after;
	struct load_check check;
	struct load_plan plan;

	argp_err_exit_status = EXIT_USAGE;
	set_defaults(&set);
	argp_parse(&argp, argc, argv, 0, NULL, &set);
	fill_missing_settings(&set);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	load_plan_init(&plan, &set);
	load_counters_read(&set, &before);
	load_run(&set, &plan);
	verify(&set, &plan, &check);
	load_counters_read(&set, &after);
	check.double_starts = count_double_starts(&before, &after);
	load_report(&set, &plan, &check, &before, &after);
	load_counters_finish(&before);
	load_counters_finish(&after);
	load_plan_finish(&plan);
	curl_global_cleanup();
	return load_check_violations(&check) ? EXIT_VIOLATIONS : 0;
}
