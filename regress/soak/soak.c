/*
 * Plays random faults and checks the promises, from what callers and targets
 * see. Exits with 1 when one was broken; the logs are in the directory.
 */

#include "soak.h"

#include <argp.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define TURN_MS 20
#define GAP_MS 700     /* between faults, at most */
#define READY_MS 15000 /* all VMs are ready again within */
/* After that every job is served, and a drained target is left alone. */
#define SETTLE_MS 5500
#define CALLERS_MS 30000 /* the last answer comes within, after the faults */
#define RATE 25		 /* jobs a second under faults */
#define CALM_RATE 8	 /* and after them; fits into any pool */

int64_t soak_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int soak_below(struct soak *s, int n)
{
	/* xorshift64* */
	s->random ^= s->random >> 12;
	s->random ^= s->random << 25;
	s->random ^= s->random >> 27;
	return (int)((s->random * 2685821657736338717u >> 33) % (unsigned)n);
}

void soak_wrong(struct soak *s, const char *what, const char *detail)
{
	printf("%lld WRONG: %s %s\n", (long long)soak_now(), what, detail);
	s->wrong++;
}

static void wait_ms(struct soak *s, int64_t ms)
{
	int64_t until = soak_now() + ms;

	while (soak_now() < until) {
		usleep(TURN_MS * 1000);
		soak_reap(s);
	}
}

static void start_callers(struct soak *s, const char *log, int seconds,
			  int rate, unsigned seed)
{
	char program[512], numbers[5][64], at[SOAK_VMS][64];
	char *argv[9 + SOAK_VMS] = { program,	 numbers[0], numbers[1],
				     numbers[2], numbers[3], numbers[4],
				     "--tasks=3" };
	int i, n = 7;

	snprintf(program, sizeof(program), "%s/regress/standin/callers",
		 s->bin);
	snprintf(numbers[0], 64, "--seconds=%d", seconds);
	snprintf(numbers[1], 64, "--seed=%u", seed);
	snprintf(numbers[2], 64, "--verify=127.0.0.1:%d", s->port);
	snprintf(numbers[3], 64, "--ms=%d", 60 + soak_below(s, 300));
	snprintf(numbers[4], 64, "--rate=%d", rate);
	for (i = 0; i < s->nvms; i++) {
		snprintf(at[i], 64, "127.0.0.1:%d", soak_http_port(s, i));
		argv[n++] = at[i];
	}
	if (s->stored)
		argv[n++] = "--stored";
	argv[n] = NULL;
	s->callers = soak_spawn(s, log, argv);
}

/* Waits for the callers, and returns what they saw. */
static json_t *callers_saw(struct soak *s, const char *log)
{
	int64_t until = soak_now() + CALLERS_MS;
	char path[512];

	while (waitpid(s->callers, NULL, WNOHANG) != s->callers) {
		if (soak_now() > until) {
			soak_wrong(s, "callers still wait", "");
			return NULL;
		}
		wait_ms(s, TURN_MS);
	}
	s->callers = 0;
	snprintf(path, sizeof(path), "%s/%s", s->dir, log);
	return json_load_file(path, 0, NULL);
}

static int number(json_t *o, const char *name)
{
	return (int)json_integer_value(json_object_get(o, name));
}

static void expect_none(struct soak *s, json_t *saw, const char *name)
{
	char detail[64];

	snprintf(detail, sizeof(detail), "%d", number(saw, name));
	if (number(saw, name))
		soak_wrong(s, name, detail);
}

static void check_callers(struct soak *s, json_t *saw)
{
	char *text;

	if (!saw) {
		soak_wrong(s, "callers ended without a report", "");
		return;
	}
	text = json_dumps(saw, JSON_COMPACT);
	printf("callers: %s\n", text);
	free(text);
	expect_none(s, saw, "odd");
	expect_none(s, saw, "unanswered");
	expect_none(s, saw, "no_retry_after");
	expect_none(s, saw, "rejected_ran");
	expect_none(s, saw, "completed_untrue");
}

static void await_ready(struct soak *s)
{
	int64_t until = soak_now() + READY_MS;
	int i = 0;

	while (i < s->nvms) {
		if (soak_get(soak_http_port(s, i) + 20, "/api/readiness") ==
		    200) {
			i++;
			continue;
		}
		if (soak_now() > until) {
			soak_wrong(s, "a VM is not ready", "");
			return;
		}
		wait_ms(s, 50);
	}
}

static void play_faults(struct soak *s, int seconds)
{
	int64_t until = soak_now() + (int64_t)seconds * 1000;
	int64_t next = soak_now();

	while (soak_now() < until) {
		if (soak_now() >= next) {
			soak_begin_fault(s);
			next = soak_now() + soak_below(s, GAP_MS);
		}
		wait_ms(s, TURN_MS);
		soak_end_faults(s, soak_now());
	}
	soak_end_faults(s, INT64_MAX);
}

/* Every VM has the newest table. */
static void check_table(struct soak *s)
{
	char path[64], detail[64];
	int i;

	snprintf(path, sizeof(path), "/v%d/", (int)s->version);
	for (i = 0; s->version > 1 && i < s->nvms; i++) {
		long status = soak_get(soak_http_port(s, i), path);

		snprintf(detail, sizeof(detail), "vm%d: %ld", i, status);
		if (status != 200)
			soak_wrong(s, "table edit not in force", detail);
	}
}

static void check_targets(struct soak *s)
{
	json_t *saw = soak_control(s, "/control/counts", NULL);
	const char *first = json_string_value(json_object_get(saw, "first"));

	if (!saw || number(saw, "violations"))
		soak_wrong(s, "at a target:", first ? first : "no answer");
	if (number(saw, "running"))
		soak_wrong(s, "tasks run for nobody", "");
	json_decref(saw);
}

static struct soak *playing;

static void on_signal(int signo)
{
	(void)signo;
	soak_stop(playing);
	_exit(2);
}

static void play(struct soak *s, unsigned seed, int seconds)
{
	json_t *saw;

	playing = s;
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);

	soak_start(s);
	await_ready(s);
	start_callers(s, "callers.log", seconds, RATE, seed);
	play_faults(s, seconds);
	await_ready(s);
	json_decref(soak_control(s, "/control/target",
				 "{\"target\":0,\"draining\":1}"));
	wait_ms(s, SETTLE_MS);
	check_table(s);
	saw = callers_saw(s, "callers.log");
	check_callers(s, saw);
	json_decref(saw);
	start_callers(s, "calm.log", 2, CALM_RATE, seed + 1000000);
	saw = callers_saw(s, "calm.log");
	check_callers(s, saw);
	if (number(saw, "completed") != number(saw, "jobs"))
		soak_wrong(s, "not all is served when all is well", "");
	json_decref(saw);
	wait_ms(s, 1500); /* a lease, and its slack */
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
	case 'p':
		f->s->port = atoi(arg);
		return 0;
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
		  .doc = "faults are played for" },
		{ .name = "bin",
		  .key = 'b',
		  .arg = "DIR",
		  .doc = "where the programs are" },
		{ .name = "dir", .key = 'd', .arg = "DIR", .doc = "logs" },
		{ .name = "stored",
		  .key = 'k',
		  .doc = "jobs that the store keeps" },
		{ .name = "port",
		  .key = 'p',
		  .arg = "PORT",
		  .doc = "the first of 400" },
		{ 0 },
	};
	static const struct argp argp = { options, parse, NULL, NULL,
					  NULL,	   NULL,  NULL };
	static struct soak s = { .bin = "build", .dir = ".", .port = 10200 };
	struct flags f = { 1, 10, &s };

	argp_parse(&argp, argc, argv, 0, NULL, &f);
	setvbuf(stdout, NULL, _IOLBF, 0);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	s.random = f.seed * 0x9e3779b97f4a7c15u + 1;
	s.version = 1;
	s.nvms = 3 + soak_below(&s, SOAK_VMS - 2);
	s.ntargets = 8 + soak_below(&s, SOAK_TARGETS - 7);
	printf("seed %u: %d vms, %d targets\n", f.seed, s.nvms, s.ntargets);
	play(&s, f.seed, f.seconds);
	printf("seed %u: %s\n", f.seed, s.wrong ? "broken" : "kept");
	return s.wrong != 0;
}
