/* Faults of the soak test: each is injected and, after a while, undone. */

#include "soak.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define START_MS 500 /* time for a sanitized program to set its handlers */

static const char *const link_modes[] = { "delay 40", "silent", "cut-to",
					  "cut-from", "reset" };
#define LINK_MODES (int)(sizeof(link_modes) / sizeof(*link_modes))

/* Returns a random VM, or -1 when it is frozen, stopping or dead. */
static int random_vm(struct soak *s)
{
	int n = soak_random(s, s->nvms);

	return s->vms[n].state == SOAK_RUNNING ? n : -1;
}

static int kill_vm(struct soak *s, int *n)
{
	*n = random_vm(s);
	if (*n < 0)
		return 0;
	kill(s->vms[*n].pid, SIGKILL);
	waitpid(s->vms[*n].pid, NULL, 0);
	s->vms[*n].state = SOAK_DEAD;
	return 1;
}

static void restart_vm(struct soak *s, int n)
{
	if (s->vms[n].state == SOAK_DEAD)
		soak_start_vm(s, n);
}

static int kill_all(struct soak *s, int *n)
{
	int i;

	*n = 0;
	for (i = 0; i < s->nvms; i++) {
		if (s->vms[i].state == SOAK_DEAD)
			continue;
		kill(s->vms[i].pid, SIGKILL);
		waitpid(s->vms[i].pid, NULL, 0);
		s->vms[i].state = SOAK_DEAD;
	}
	return 1;
}

static void restart_all(struct soak *s, int n)
{
	(void)n;
	for (n = 0; n < s->nvms; n++)
		restart_vm(s, n);
}

static int freeze_vm(struct soak *s, int *n)
{
	*n = random_vm(s);
	if (*n < 0)
		return 0;
	kill(s->vms[*n].pid, SIGSTOP);
	s->vms[*n].state = SOAK_FROZEN;
	return 1;
}

static void thaw_vm(struct soak *s, int n)
{
	if (s->vms[n].state != SOAK_FROZEN)
		return;
	kill(s->vms[n].pid, SIGCONT);
	s->vms[n].state = SOAK_RUNNING;
}

/* A signal kills a process that has not set its handler yet. */
static int handles_signals(const struct soak_vm *vm)
{
	return soak_now() - vm->started_at >= START_MS;
}

/* soak_reap() starts the VM again as soon as it has ended. */
static int stop_vm(struct soak *s, int *n)
{
	*n = random_vm(s);
	if (*n < 0 || !handles_signals(&s->vms[*n]))
		return 0;
	kill(s->vms[*n].pid, SIGTERM);
	s->vms[*n].state = SOAK_STOPPING;
	s->vms[*n].term_at = soak_now();
	return 1;
}

static int reload_vm(struct soak *s, int *n)
{
	*n = random_vm(s);
	if (*n < 0 || !handles_signals(&s->vms[*n]))
		return 0;
	kill(s->vms[*n].pid, SIGHUP);
	return 1;
}

/* Does nothing: the fault ends by itself. */
static void no_end(struct soak *s, int n)
{
	(void)s;
	(void)n;
}

/* --- faults of connections, by the proxy -------------------------------- */

static void set_pair_mode(struct soak *s, int pair, const char *mode)
{
	dprintf(s->proxy_commands, "%d %s\n", pair, mode);
}

/*
 * Gives one of count port pairs from first on a random mode. The proxy has a
 * pair for the links to each VM, then one for each VM's connections to the
 * store, then one for each target.
 */
static int disrupt_pair(struct soak *s, int first, int count, int *n)
{
	*n = first + soak_random(s, count);
	set_pair_mode(s, *n, link_modes[soak_random(s, LINK_MODES)]);
	return 1;
}

static int disrupt_link(struct soak *s, int *n)
{
	return disrupt_pair(s, 0, s->nvms, n);
}

static int disrupt_store(struct soak *s, int *n)
{
	return disrupt_pair(s, s->nvms, s->nvms, n);
}

static int disrupt_target(struct soak *s, int *n)
{
	return disrupt_pair(s, 2 * s->nvms, s->ntargets, n);
}

static void restore_pair(struct soak *s, int n)
{
	set_pair_mode(s, n, "pass");
}

/* --- faults of the platform, by the stand-in ---------------------------- */

static void control(struct soak *s, const char *path, const char *body)
{
	json_decref(soak_control(s, path, body));
}

static int begin_store_fault(struct soak *s, int *n)
{
	static const char *const bodies[] = { "{\"lose_answers\":40}",
					      "{\"down\":1}", "{\"silent\":1}",
					      "{\"compact\":1}" };

	*n = 0;
	control(s, "/control/store", bodies[soak_random(s, 4)]);
	return 1;
}

static void end_store_fault(struct soak *s, int n)
{
	(void)n;
	control(s, "/control/store",
		"{\"lose_answers\":0,\"down\":0,\"silent\":0}");
}

static int begin_target_fault(struct soak *s, int *n)
{
	static const char *const faults[] = { "failing\":50", "stuck\":1",
					      "silent\":1",   "draining\":1",
					      "slowdown\":6", "clock_lag\":2" };
	char body[64];

	*n = soak_random(s, s->ntargets);
	snprintf(body, sizeof(body), "{\"target\":%d,\"%s}", *n,
		 faults[soak_random(s, 6)]);
	control(s, "/control/target", body);
	return 1;
}

static void end_target_fault(struct soak *s, int n)
{
	char body[128];

	snprintf(body, sizeof(body),
		 "{\"target\":%d,\"failing\":0,\"stuck\":0,\"silent\":0,"
		 "\"draining\":0,\"slowdown\":1,\"clock_lag\":0}",
		 n);
	control(s, "/control/target", body);
}

static int restart_target(struct soak *s, int *n)
{
	char body[64];

	*n = soak_random(s, s->ntargets);
	snprintf(body, sizeof(body), "{\"target\":%d,\"restart\":1}", *n);
	control(s, "/control/target", body);
	return 1;
}

/*
 * Writes a new version of the table of routes. Beside the route of the jobs it
 * has one whose prefix is the version, which check_routes() requests.
 */
static int edit_routes(struct soak *s, int *n)
{
	char body[1024];

	*n = 0;
	s->routes_version++;
	snprintf(body, sizeof(body),
		 "{\"table\":\"op\",\"key\":\"config\",\"text\":\"{\\\"version"
		 "\\\":%d,\\\"routes\\\":[{\\\"name\\\":\\\"q\\\",\\\"host\\\":"
		 "\\\"127.0.0.1\\\",\\\"pathPrefix\\\":\\\"/q/\\\","
		 "\\\"targetLatencyMs\\\":200,\\\"service\\\":\\\"desk\\\","
		 "\\\"maxAttempts\\\":3,\\\"stretch\\\":2},{\\\"name\\\":\\\"v"
		 "\\\",\\\"host\\\":\\\"127.0.0.1\\\",\\\"pathPrefix\\\":"
		 "\\\"/v%d/\\\",\\\"service\\\":\\\"desk\\\"}]}\"}",
		 (int)s->routes_version, (int)s->routes_version);
	control(s, "/control/row", body);
	return 1;
}

void soak_evacuate(struct soak *s)
{
	char body[64];
	int i;

	for (i = 1; i < s->ntargets; i += 2) {
		snprintf(body, sizeof(body), "{\"target\":%d,\"zone\":\"y\"}",
			 i);
		control(s, "/control/target", body);
	}
	control(s, "/control/row",
		"{\"table\":\"op\",\"key\":\"evacuate/y\",\"text\":\"{}\"}");
}

void soak_take_back(struct soak *s)
{
	control(s, "/control/row", "{\"table\":\"op\",\"key\":\"evacuate/y\"}");
}

/* --- choice of faults ---------------------------------------------------- */

static const struct soak_fault_kind kinds[] = {
	{ "vm killed", 4, 100, 2000, kill_vm, restart_vm },
	{ "all vms killed", 1, 100, 1000, kill_all, restart_all },
	{ "vm frozen", 4, 100, 3000, freeze_vm, thaw_vm },
	{ "vm stopped", 2, 0, 0, stop_vm, no_end },
	{ "vm reloaded", 1, 0, 0, reload_vm, no_end },
	{ "link", 5, 200, 2500, disrupt_link, restore_pair },
	{ "store of a vm", 3, 200, 2500, disrupt_store, restore_pair },
	{ "target unreachable", 3, 200, 2500, disrupt_target, restore_pair },
	{ "store", 3, 200, 2500, begin_store_fault, end_store_fault },
	{ "target", 5, 300, 2500, begin_target_fault, end_target_fault },
	{ "target restarted", 2, 0, 0, restart_target, no_end },
	{ "routes edited", 2, 0, 0, edit_routes, no_end },
};

#define KINDS (int)(sizeof(kinds) / sizeof(*kinds))

static const struct soak_fault_kind *random_kind(struct soak *s)
{
	int i, sum = 0, at;

	for (i = 0; i < KINDS; i++)
		sum += kinds[i].weight;
	at = soak_random(s, sum);
	for (i = 0; at >= kinds[i].weight; i++)
		at -= kinds[i].weight;
	return &kinds[i];
}

void soak_begin_fault(struct soak *s)
{
	const struct soak_fault_kind *k = random_kind(s);
	int64_t duration =
		k->min_ms + soak_random(s, (int)(k->max_ms - k->min_ms) + 1);
	int n;

	if (s->nactive == SOAK_ACTIVE || !k->begin(s, &n))
		return;
	printf("%lld %s %d for %lld ms\n", (long long)soak_now(), k->name, n,
	       (long long)duration);
	s->active[s->nactive++] =
		(struct soak_fault){ k, n, soak_now() + duration };
}

void soak_end_faults(struct soak *s, int64_t now)
{
	int i;

	for (i = s->nactive; i-- > 0;) {
		struct soak_fault f = s->active[i];

		if (now < f.until)
			continue;
		s->active[i] = s->active[--s->nactive];
		f.kind->end(s, f.n);
	}
}
