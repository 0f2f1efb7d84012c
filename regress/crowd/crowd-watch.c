/* Samples the memory and the descriptors of processes from /proc. */

#include "crowd.h"

#include <dirent.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* The most resident memory that the process ever had, KiB, or -1. */
static long peak_kb(int pid)
{
	char path[64], line[256];
	long kb = -1;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f))
		if (sscanf(line, "VmHWM: %ld", &kb) == 1)
			break;
	if (f)
		fclose(f);
	return kb;
}

static long resident_kb(int pid)
{
	long size, pages = 0;
	char path[64];
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/statm", pid);
	f = fopen(path, "r");
	if (!f)
		return 0;
	if (fscanf(f, "%ld %ld", &size, &pages) != 2)
		pages = 0;
	fclose(f);
	return pages * (sysconf(_SC_PAGESIZE) / 1024);
}

static long count_descriptors(int pid)
{
	struct dirent *entry;
	char path[64];
	long n = 0;
	DIR *d;

	snprintf(path, sizeof(path), "/proc/%d/fd", pid);
	d = opendir(path);
	while (d && (entry = readdir(d)))
		n += entry->d_name[0] != '.';
	if (d)
		closedir(d);
	return n;
}

static int has_port(const struct watch *w, unsigned port)
{
	size_t i;

	for (i = 0; i < w->nports; i++)
		if (w->ports[i] == (int)port)
			return 1;
	return 0;
}

/* Bytes that sockets of the ports have received and nobody has read. */
static long unread_kb(const struct watch *w)
{
	unsigned port, state;
	unsigned long unread, sum = 0;
	char line[256];
	FILE *f = fopen("/proc/net/tcp", "r");

	while (f && fgets(line, sizeof(line), f)) {
		if (sscanf(line, "%*u: %*x:%x %*x:%*x %x %*x:%lx", &port,
			   &state, &unread) != 3)
			continue;
		if (state != 10 && has_port(w, port)) /* 10: listens */
			sum += unread;
	}
	if (f)
		fclose(f);
	return (long)(sum / 1024);
}

static void raise_to(long *most, long n)
{
	if (n > *most)
		*most = n;
}

void watch_sample(struct watch *w)
{
	long unread = w->nports ? unread_kb(w) : 0;
	size_t i;

	w->ended = 0;
	for (i = 0; i < w->npids; i++) {
		long peak = peak_kb(w->pids[i]);

		w->ended += peak < 0;
		raise_to(&w->memory_kb, peak);
		raise_to(&w->memory_kb, resident_kb(w->pids[i]) + unread);
		raise_to(&w->descriptors, count_descriptors(w->pids[i]));
	}
}
