/* Faults of a soak, and their undoing. */

#include "soak.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

static const char *const link_modes[] = { "delay 40", "silent", "cut-to",
					  "cut-from", "reset" };
#define START_MS 500 /* a sanitized program is well under way after */
#define LINK_MODES (int)(sizeof(link_modes) / sizeof(*link_modes))

/* A VM that runs and that no fault has stopped. Returns -1 for none. */
static int some_vm(struct soak *s)
{
	int n = soak_below(s, s->nvms);

	return s->vms[n].state == SOAK_RUNS ? n : -1;
}

static int kill_vm(struct soak *s, int *n)
{
	*n = some_vm(s);
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
	*n = some_vm(s);
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
	s->vms[n].state = SOAK_RUNS;
}

/* It starts again as soon as it has ended. */
static int stop_vm(struct soak *s, int *n)
{
	*n = some_vm(s);
	/* A signal ends a process that is not past its first instructions. */
	if (*n < 0 || soak_now() - s->vms[*n].started_at < START_MS)
		return 0;
	kill(s->vms[*n].pid, SIGTERM);
	s->vms[*n].state = SOAK_STOPPING;
	s->vms[*n].term_at = soak_now();
	return 1;
}

static int reload_vm(struct soak *s, int *n)
{
	*n = some_vm(s);
	if (*n >= 0)
		kill(s->vms[*n].pid, SIGHUP);
	return *n >= 0;
}

static void nothing(struct soak *s, int n)
{
	(void)s;
	(void)n;
}

/* --- the proxy ---------------------------------------------------------- */

static void tell_proxy(struct soak *s, int pair, const char *mode)
{
	dprintf(s->to_proxy, "%d %s\n", pair, mode);
}

/* Links between VMs, then the store of each VM, then the targets. */
static int spoil(struct soak *s, int first, int count, int *n)
{
	*n = first + soak_below(s, count);
	tell_proxy(s, *n, link_modes[soak_below(s, LINK_MODES)]);
	return 1;
}

static int spoil_link(struct soak *s, int *n)
{
	return spoil(s, 0, s->nvms, n);
}

static int spoil_store(struct soak *s, int *n)
{
	return spoil(s, s->nvms, s->nvms, n);
}

static int spoil_target(struct soak *s, int *n)
{
	return spoil(s, 2 * s->nvms, s->ntargets, n);
}

static void mend(struct soak *s, int n)
{
	tell_proxy(s, n, "pass");
}

/* --- the platform ------------------------------------------------------- */

static void control(struct soak *s, const char *path, const char *body)
{
	json_decref(soak_control(s, path, body));
}

static int store_fault(struct soak *s, int *n)
{
	static const char *const bodies[] = { "{\"lose\":40}", "{\"down\":1}",
					      "{\"silent\":1}",
					      "{\"forget\":1}" };

	*n = 0;
	control(s, "/control/store", bodies[soak_below(s, 4)]);
	return 1;
}

static void store_mend(struct soak *s, int n)
{
	(void)n;
	control(s, "/control/store", "{\"lose\":0,\"down\":0,\"silent\":0}");
}

static int target_fault(struct soak *s, int *n)
{
	static const char *const what[] = { "failing\":50", "stuck\":1",
					    "dark\":1",	    "draining\":1",
					    "slow\":6",	    "drag\":2" };
	char body[64];

	*n = soak_below(s, s->ntargets);
	snprintf(body, sizeof(body), "{\"target\":%d,\"%s}", *n,
		 what[soak_below(s, 6)]);
	control(s, "/control/target", body);
	return 1;
}

static void target_mend(struct soak *s, int n)
{
	char body[128];

	snprintf(body, sizeof(body),
		 "{\"target\":%d,\"failing\":0,\"stuck\":0,\"dark\":0,"
		 "\"draining\":0,\"slow\":1,\"drag\":0}",
		 n);
	control(s, "/control/target", body);
}

static int target_reborn(struct soak *s, int *n)
{
	char body[64];

	*n = soak_below(s, s->ntargets);
	snprintf(body, sizeof(body), "{\"target\":%d,\"reborn\":1}", *n);
	control(s, "/control/target", body);
	return 1;
}

/* Each version has a route of its own beside the jobs' route. */
static int edit_table(struct soak *s, int *n)
{
	char body[1024];

	*n = 0;
	s->version++;
	snprintf(body, sizeof(body),
		 "{\"table\":\"op\",\"key\":\"config\",\"text\":\"{\\\"version"
		 "\\\":%d,\\\"routes\\\":[{\\\"name\\\":\\\"q\\\",\\\"host\\\":"
		 "\\\"127.0.0.1\\\",\\\"pathPrefix\\\":\\\"/q/\\\","
		 "\\\"targetLatencyMs\\\":200,\\\"service\\\":\\\"desk\\\","
		 "\\\"maxAttempts\\\":3,\\\"stretch\\\":2},{\\\"name\\\":\\\"v"
		 "\\\",\\\"host\\\":\\\"127.0.0.1\\\",\\\"pathPrefix\\\":"
		 "\\\"/v%d/\\\",\\\"service\\\":\\\"desk\\\"}]}\"}",
		 (int)s->version, (int)s->version);
	control(s, "/control/row", body);
	return 1;
}

/* --- which and when ------------------------------------------------------ */

static const struct soak_kind kinds[] = {
	{ "vm killed", 4, 100, 2000, kill_vm, restart_vm },
	{ "all vms killed", 1, 100, 1000, kill_all, restart_all },
	{ "vm frozen", 4, 100, 3000, freeze_vm, thaw_vm },
	{ "vm stopped", 2, 0, 0, stop_vm, nothing },
	{ "vm reloads", 1, 0, 0, reload_vm, nothing },
	{ "link", 5, 200, 2500, spoil_link, mend },
	{ "store of a vm", 3, 200, 2500, spoil_store, mend },
	{ "target out of reach", 3, 200, 2500, spoil_target, mend },
	{ "store", 3, 200, 2500, store_fault, store_mend },
	{ "target", 5, 300, 2500, target_fault, target_mend },
	{ "target reborn", 2, 0, 0, target_reborn, nothing },
	{ "table edited", 2, 0, 0, edit_table, nothing },
};

#define KINDS (int)(sizeof(kinds) / sizeof(*kinds))

static const struct soak_kind *some_kind(struct soak *s)
{
	int i, all = 0, at;

	for (i = 0; i < KINDS; i++)
		all += kinds[i].weight;
	at = soak_below(s, all);
	for (i = 0; at >= kinds[i].weight; i++)
		at -= kinds[i].weight;
	return &kinds[i];
}

void soak_begin_fault(struct soak *s)
{
	const struct soak_kind *k = some_kind(s);
	int64_t lasts = k->least + soak_below(s, (int)(k->most - k->least) + 1);
	int n;

	if (s->nactive == SOAK_ACTIVE || !k->begin(s, &n))
		return;
	printf("%lld %s %d for %lld ms\n", (long long)soak_now(), k->name, n,
	       (long long)lasts);
	s->active[s->nactive++] =
		(struct soak_fault){ k, n, soak_now() + lasts };
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
