/* Processes of the soak test, and HTTP requests to them. */

#include "soak.h"

#include <curl/curl.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/*
 * Offsets of ports from the first one, on which the stand-in listens; its
 * targets follow. VM or target n uses offset + n.
 */
#define HTTP_PORTS 100
#define READY_PORTS (HTTP_PORTS + SOAK_VMS)
#define METRICS_PORTS (READY_PORTS + SOAK_VMS)
/* Of the proxy, which connects to LISTEN_PORTS, where VMs accept links. */
#define LINK_PORTS (METRICS_PORTS + SOAK_VMS)
#define LISTEN_PORTS (LINK_PORTS + SOAK_VMS)
#define STORE_PORTS (LISTEN_PORTS + SOAK_VMS) /* of the proxy */
#define TARGET_PORTS (STORE_PORTS + SOAK_VMS) /* of the proxy */
#define STOP_MS 8000 /* a planned stop takes 5500 ms at most */
/*
 * A pool may start tasks on a target for 2000 ms after it begins to drain;
 * 3000 ms are added because faults may keep a pool from reading its entry.
 */
#define DRAIN_MS 5000
/* The same for the request to evacuate a failure domain. */
#define EVACUATED_MS 5000
#define ARG_MAX_BYTES 128 /* bytes of an argument, with the NUL */

int soak_http_port(const struct soak *s, int vm)
{
	return s->port + HTTP_PORTS + vm;
}

int soak_ready_port(const struct soak *s, int vm)
{
	return s->port + READY_PORTS + vm;
}

pid_t soak_spawn(struct soak *s, const char *log, char *const argv[])
{
	char path[512];
	pid_t pid;
	int fd;

	snprintf(path, sizeof(path), "%s/%s", s->dir, log);
	pid = fork();
	if (pid)
		return pid;
	fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	dup2(fd, 1);
	dup2(fd, 2);
	execv(argv[0], argv);
	perror(argv[0]);
	_exit(127);
}

/* Formats an argument of a program. The caller frees it. */
static char *format_arg(const char *format, const char *prefix, int n)
{
	char *arg = malloc(ARG_MAX_BYTES);

	snprintf(arg, ARG_MAX_BYTES, format, prefix, n);
	return arg;
}

static void free_args(char **argv)
{
	for (; *argv; argv++)
		free(*argv);
}

void soak_start_vm(struct soak *s, int vm)
{
	struct soak_vm *v = &s->vms[vm];
	char *log = format_arg("%s%d.log", "vm", vm);
	char *argv[] = {
		format_arg("%s/rosemary-poold", s->bin, 0),
		format_arg("%s%d", "--vm-name=vm", vm),
		format_arg("%s", "--failure-domain=z", 0),
		format_arg("%s:%d", "--listen=127.0.0.1",
			   soak_http_port(s, vm)),
		format_arg("%s:%d", "--ready-listen=127.0.0.1",
			   soak_ready_port(s, vm)),
		format_arg("%s:%d", "--metrics-listen=127.0.0.1",
			   s->port + METRICS_PORTS + vm),
		format_arg("%s:%d", "--link=127.0.0.1",
			   s->port + LINK_PORTS + vm),
		format_arg("%s:%d", "--link-listen=127.0.0.1",
			   s->port + LISTEN_PORTS + vm),
		format_arg("%s:%d", "--store=127.0.0.1",
			   s->port + STORE_PORTS + vm),
		/* So small that the leader delegates calls to agents. */
		format_arg("%s%d", "--processor=0.0", vm % 2 ? 1 : 2),
		NULL,
	};

	v->pid = soak_spawn(s, log, argv);
	v->state = SOAK_RUNNING;
	v->started_at = soak_now();
	free_args(argv);
	free(log);
}

static void start_proxy(struct soak *s)
{
	char *argv[2 + 2 * SOAK_VMS + SOAK_TARGETS] = { NULL };
	int fds[2], i, n = 0;

	argv[n++] = format_arg("%s/regress/soak/proxy", s->bin, 0);
	for (i = 0; i < s->nvms; i++) {
		argv[n] = malloc(ARG_MAX_BYTES);
		snprintf(argv[n++], ARG_MAX_BYTES, "%d:%d",
			 s->port + LINK_PORTS + i, s->port + LISTEN_PORTS + i);
	}
	for (i = 0; i < s->nvms; i++) {
		argv[n] = malloc(ARG_MAX_BYTES);
		snprintf(argv[n++], ARG_MAX_BYTES, "%d:%d",
			 s->port + STORE_PORTS + i, s->port);
	}
	for (i = 0; i < s->ntargets; i++) {
		argv[n] = malloc(ARG_MAX_BYTES);
		snprintf(argv[n++], ARG_MAX_BYTES, "%d:%d",
			 s->port + TARGET_PORTS + i, s->port + 1 + i);
	}
	if (pipe(fds) < 0)
		abort();
	fcntl(fds[1], F_SETFD, FD_CLOEXEC);
	s->proxy = fork();
	if (!s->proxy) {
		dup2(fds[0], 0);
		execv(argv[0], argv);
		_exit(127);
	}
	close(fds[0]);
	s->proxy_commands = fds[1];
	free_args(argv);
}

void soak_start(struct soak *s)
{
	char *argv[] = {
		format_arg("%s/regress/standin/platform", s->bin, 0),
		format_arg("%s:%d", "--listen=127.0.0.1", s->port),
		format_arg("%s%d", "--targets=", s->ntargets),
		format_arg("%s%d", "--advertise=", s->port + TARGET_PORTS),
		format_arg("%s%d", "--drain-ms=", DRAIN_MS),
		format_arg("%s%d", "--evacuated-ms=", EVACUATED_MS),
		NULL,
	};
	int i;

	s->platform = soak_spawn(s, "platform.log", argv);
	free_args(argv);
	start_proxy(s);
	for (i = 0; i < s->nvms; i++)
		soak_start_vm(s, i);
}

/* Handles the end of a VM that the soak test did not kill. */
static void handle_vm_end(struct soak *s, int vm, int status)
{
	struct soak_vm *v = &s->vms[vm];
	char name[ARG_MAX_BYTES];

	snprintf(name, sizeof(name), "vm%d, status %x", vm, status);
	if (v->state != SOAK_STOPPING)
		soak_violation(s, "a VM ended by itself", name);
	else if (!WIFEXITED(status) || WEXITSTATUS(status))
		soak_violation(s, "a planned stop failed", name);
	soak_start_vm(s, vm);
}

void soak_reap(struct soak *s)
{
	int i, status;

	for (i = 0; i < s->nvms; i++) {
		struct soak_vm *v = &s->vms[i];

		if (v->state == SOAK_DEAD)
			continue;
		if (waitpid(v->pid, &status, WNOHANG) == v->pid)
			handle_vm_end(s, i, status);
		else if (v->state == SOAK_STOPPING &&
			 soak_now() - v->term_at > STOP_MS) {
			soak_violation(s, "a planned stop takes too long", "");
			kill(v->pid, SIGKILL);
		}
	}
	if (waitpid(s->platform, &status, WNOHANG) == s->platform ||
	    waitpid(s->proxy, &status, WNOHANG) == s->proxy) {
		fprintf(stderr, "soak: the stand-in or the proxy has ended\n");
		soak_stop(s);
		exit(2);
	}
}

static void kill_process(pid_t pid)
{
	if (pid <= 0)
		return;
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
}

void soak_stop(struct soak *s)
{
	int i;

	for (i = 0; i < s->nvms; i++)
		if (s->vms[i].state != SOAK_DEAD)
			kill_process(s->vms[i].pid);
	kill_process(s->callers);
	kill_process(s->proxy);
	kill_process(s->platform);
}

/* --- HTTP requests ----------------------------------------------------- */

struct reply {
	char data[65536];
	size_t len;
};

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct reply *r = arg;
	size_t add = size * n;

	if (add > sizeof(r->data) - r->len)
		return 0;
	memcpy(r->data + r->len, data, add);
	r->len += add;
	return add;
}

/* Returns the HTTP status, or 0 when no answer came. */
static long request(int port, const char *path, const char *body,
		    struct reply *r)
{
	CURL *e = curl_easy_init();
	char url[256];
	long status = 0;

	r->len = 0;
	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", port, path);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, 3000L);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, r);
	if (body)
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, body);
	if (curl_easy_perform(e) == CURLE_OK)
		curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(e);
	return status;
}

json_t *soak_control(struct soak *s, const char *path, const char *body)
{
	static struct reply r;

	if (request(s->port, path, body, &r) != 200)
		return NULL;
	return json_loadb(r.data, r.len, 0, NULL);
}

long soak_get(int port, const char *path)
{
	static struct reply r;

	return request(port, path, NULL, &r);
}
