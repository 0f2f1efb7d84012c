/*
 * Soak test of a pool. Injects random faults and checks the invariants that
 * callers and targets can observe. Exits with 1 after a violation; the logs of
 * all processes are in the directory given with --dir.
 */

#include "soak.h"

#include <argp.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define POLL_MS 20	 /* interval of checks on the processes */
#define FAULT_GAP_MS 700 /* longest time between two faults */
#define READY_MS 15000	 /* time in which all VMs must become ready */
/*
 * Time after the faults from which every job must be served and a draining
 * target must get no more tasks.
 */
#define SETTLE_MS 5500
#define CALLERS_MS 30000    /* time in which the callers must end */
#define RATE 25		    /* jobs per second during faults */
#define RATE_AFTER_FAULTS 8 /* jobs per second; any pool can serve it */
#define LAST_LEASE_MS 1500  /* a lease of 1000 ms and a margin */
/* How long callers wait; the route's timeout, for the others, is 5000 ms. */
#define DEADLINES "100-60000"
#define DEADLINES_AFTER_FAULTS "5000-60000"

int64_t soak_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int soak_random(struct soak *s, int n)
{
	/* xorshift64* */
	s->random ^= s->random >> 12;
	s->random ^= s->random << 25;
	s->random ^= s->random >> 27;
	return (int)((s->random * 2685821657736338717u >> 33) % (unsigned)n);
}

void soak_violation(struct soak *s, const char *what, const char *detail)
{
	printf("%lld VIOLATION: %s %s\n", (long long)soak_now(), what, detail);
	s->violations++;
}

static void wait_ms(struct soak *s, int64_t ms)
{
	int64_t until = soak_now() + ms;

	while (soak_now() < until) {
		usleep(POLL_MS * 1000);
		soak_reap(s);
	}
}

/*
 * Whether the callers state deadlines, for half of the seeds. Not drawn by
 * soak_random(), which would change the faults of the recorded seeds.
 */
static int states_deadlines(unsigned seed)
{
	return (int)(seed * 0x9e3779b97f4a7c15u >> 63);
}

static void start_callers(struct soak *s, const char *log, int seconds,
			  int rate, unsigned seed, const char *deadlines)
{
	char program[512], flags[7][64], addresses[SOAK_VMS][64];
	char *argv[12 + SOAK_VMS] = { program,	flags[0], flags[1],   flags[2],
				      flags[3], flags[4], "--tasks=3" };
	int i, n = 7;

	snprintf(program, sizeof(program), "%s/regress/standin/callers",
		 s->bin);
	snprintf(flags[0], 64, "--seconds=%d", seconds);
	snprintf(flags[1], 64, "--seed=%u", seed);
	snprintf(flags[2], 64, "--verify=127.0.0.1:%d", s->port);
	snprintf(flags[3], 64, "--ms=%d", 60 + soak_random(s, 300));
	snprintf(flags[4], 64, "--rate=%d", rate);
	for (i = 0; i < s->nvms; i++) {
		snprintf(addresses[i], 64, "127.0.0.1:%d",
			 soak_http_port(s, i));
		argv[n++] = addresses[i];
	}
	if (s->stored)
		argv[n++] = "--stored";
	if (deadlines) {
		snprintf(flags[5], 64, "--deadline-ms=%s", deadlines);
		argv[n++] = flags[5];
	}
	if (s->cancel) {
		snprintf(flags[6], 64, "--cancel=%d", s->cancel);
		argv[n++] = flags[6];
	}
	argv[n] = NULL;
	s->callers = soak_spawn(s, log, argv);
}

/* Waits for the callers and returns their report. */
static json_t *callers_report(struct soak *s, const char *log)
{
	int64_t until = soak_now() + CALLERS_MS;
	char path[512];

	while (waitpid(s->callers, NULL, WNOHANG) != s->callers) {
		if (soak_now() > until) {
			soak_violation(s, "callers do not end", "");
			return NULL;
		}
		wait_ms(s, POLL_MS);
	}
	s->callers = 0;
	snprintf(path, sizeof(path), "%s/%s", s->dir, log);
	return json_load_file(path, 0, NULL);
}

static int get_int(json_t *o, const char *name)
{
	return (int)json_integer_value(json_object_get(o, name));
}

static void expect_zero(struct soak *s, json_t *report, const char *name)
{
	char detail[64];

	snprintf(detail, sizeof(detail), "%d", get_int(report, name));
	if (get_int(report, name))
		soak_violation(s, name, detail);
}

static void check_callers(struct soak *s, json_t *report)
{
	char *text;

	if (!report) {
		soak_violation(s, "callers ended without a report", "");
		return;
	}
	text = json_dumps(report, JSON_COMPACT);
	printf("callers: %s\n", text);
	free(text);
	expect_zero(s, report, "unexpected");
	expect_zero(s, report, "unanswered");
	expect_zero(s, report, "no_retry_after");
	expect_zero(s, report, "rejected_but_ran");
	expect_zero(s, report, "completed_but_not_done");
}

static void await_ready(struct soak *s)
{
	int64_t until = soak_now() + READY_MS;
	int i = 0;

	while (i < s->nvms) {
		if (soak_get(soak_ready_port(s, i), "/api/readiness") == 200) {
			i++;
			continue;
		}
		if (soak_now() > until) {
			soak_violation(s, "a VM is not ready", "");
			return;
		}
		wait_ms(s, 50);
	}
}

static void inject_faults(struct soak *s, int seconds)
{
	int64_t until = soak_now() + (int64_t)seconds * 1000;
	int64_t next = soak_now();

	while (soak_now() < until) {
		if (soak_now() >= next) {
			soak_begin_fault(s);
			next = soak_now() + soak_random(s, FAULT_GAP_MS);
		}
		wait_ms(s, POLL_MS);
		soak_end_faults(s, soak_now());
	}
	soak_end_faults(s, INT64_MAX);
}

/* Checks that every VM has loaded the latest table of routes. */
static void check_routes(struct soak *s)
{
	char path[64], detail[64];
	int i;

	snprintf(path, sizeof(path), "/v%d/", (int)s->routes_version);
	for (i = 0; s->routes_version > 1 && i < s->nvms; i++) {
		long status = soak_get(soak_http_port(s, i), path);

		snprintf(detail, sizeof(detail), "vm%d: %ld", i, status);
		if (status != 200)
			soak_violation(s,
				       "latest table of routes is not loaded",
				       detail);
	}
}

static void check_targets(struct soak *s)
{
	json_t *counts = soak_control(s, "/control/counts", NULL);
	const char *first;

	first = json_string_value(json_object_get(counts, "first_violation"));
	if (!counts || get_int(counts, "violations"))
		soak_violation(s, "at a target:", first ? first : "no reply");
	if (get_int(counts, "running"))
		soak_violation(s, "tasks still run after all jobs have ended",
			       "");
	json_decref(counts);
}

static struct soak *current; /* for the signal handler */

static void on_signal(int signo)
{
	(void)signo;
	soak_stop(current);
	_exit(2);
}

static void run(struct soak *s, unsigned seed, int seconds)
{
	int deadlines = states_deadlines(seed);
	json_t *report;

	current = s;
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);

	soak_start(s);
	await_ready(s);
	if (s->evacuate)
		soak_evacuate(s);
	/* Rows of jobs are written when their callers may have cancelled. */
	if (s->cancel)
		json_decref(soak_control(s, "/control/store",
					 "{\"late_writes\":20,\"late_ms\":"
					 "3000}"));
	start_callers(s, "callers.log", seconds, RATE, seed,
		      deadlines ? DEADLINES : NULL);
	inject_faults(s, seconds);
	await_ready(s);
	if (s->evacuate)
		soak_take_back(s);
	json_decref(soak_control(s, "/control/target",
				 "{\"target\":0,\"draining\":1}"));
	wait_ms(s, SETTLE_MS);
	check_routes(s);
	report = callers_report(s, "callers.log");
	check_callers(s, report);
	json_decref(report);
	s->cancel = 0;
	start_callers(s, "calm.log", 2, RATE_AFTER_FAULTS, seed + 1000000,
		      deadlines ? DEADLINES_AFTER_FAULTS : NULL);
	report = callers_report(s, "calm.log");
	check_callers(s, report);
	if (get_int(report, "completed") != get_int(report, "jobs"))
		soak_violation(s, "jobs not completed after the faults", "");
	json_decref(report);
	wait_ms(s, LAST_LEASE_MS);
	check_targets(s);
	soak_stop(s);
}

struct flags {
	unsigned seed;
	int seconds;
	struct soak *s;
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct flags *f = state->input;

	switch (key) {
	case 'x':
		f->seed = (unsigned)atoi(arg);
		return 0;
	case 's':
		f->seconds = atoi(arg);
		return 0;
	case 'b':
		f->s->bin = arg;
		return 0;
	case 'd':
		f->s->dir = arg;
		return 0;
	case 'k':
		f->s->stored = 1;
		return 0;
	case 'c':
		f->s->cancel = atoi(arg);
		return 0;
	case 'e':
		f->s->evacuate = 1;
		return 0;
	case 'p':
		f->s->port = atoi(arg);
		return 0;
	case 'v':
		f->s->nvms = atoi(arg);
		return f->s->nvms < 3 || f->s->nvms > SOAK_VMS ? EINVAL : 0;
	case 't':
		f->s->ntargets = atoi(arg);
		return f->s->ntargets < 1 || f->s->ntargets > SOAK_TARGETS
			       ? EINVAL
			       : 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ .name = "seed", .key = 'x', .arg = "N" },
		{ .name = "seconds",
		  .key = 's',
		  .arg = "S",
		  .doc = "duration of the faults" },
		{ .name = "bin",
		  .key = 'b',
		  .arg = "DIR",
		  .doc = "directory of the programs" },
		{ .name = "dir",
		  .key = 'd',
		  .arg = "DIR",
		  .doc = "directory of the logs" },
		{ .name = "cancel", .key = 'c', .arg = "PERCENT" },
		{ .name = "stored", .key = 'k', .doc = "submit stored jobs" },
		{ .name = "evacuate",
		  .key = 'e',
		  .doc = "evacuate half of the targets during the faults" },
		{ .name = "port",
		  .key = 'p',
		  .arg = "PORT",
		  .doc = "first of 700 ports" },
		{ .name = "vms",
		  .key = 'v',
		  .arg = "N",
		  .doc = "entry VMs, up to 80; by the seed if not given" },
		{ .name = "targets",
		  .key = 't',
		  .arg = "N",
		  .doc = "targets, up to 64; by the seed if not given" },
		{ 0 },
	};
	static const struct argp argp = { options, parse, NULL, NULL,
					  NULL,	   NULL,  NULL };
	static struct soak s = { .bin = "build", .dir = ".", .port = 10200 };
	struct flags f = { 1, 10, &s };
	int nvms, ntargets;

	argp_parse(&argp, argc, argv, 0, NULL, &f);
	setvbuf(stdout, NULL, _IOLBF, 0);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	s.random = f.seed * 0x9e3779b97f4a7c15u + 1;
	s.routes_version = 1;
	/* Drawn in any case, so that a size does not change the faults. */
	nvms = 3 + soak_random(&s, 4);
	ntargets = 8 + soak_random(&s, 9);
	if (!s.nvms)
		s.nvms = nvms;
	if (!s.ntargets)
		s.ntargets = ntargets;
	printf("seed %u: %d vms, %d targets%s\n", f.seed, s.nvms, s.ntargets,
	       states_deadlines(f.seed) ? ", callers state deadlines" : "");
	run(&s, f.seed, f.seconds);
	printf("seed %u: %s\n", f.seed, s.violations ? "failed" : "passed");
	return s.violations != 0;
}
