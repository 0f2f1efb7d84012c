#ifndef CROWD_H
#define CROWD_H

/* Clients that do not behave, and what the processes that they call hold. */

#include <stddef.h>
#include <stdint.h>

#define CROWD_PIDS_MAX 8
#define CROWD_PORTS_MAX 16

/* --- crowd-watch.c: memory and descriptors of processes ----------------- */

struct watch {
	int pids[CROWD_PIDS_MAX], ports[CROWD_PORTS_MAX];
	size_t npids, nports;
	/*
	 * The most that one of the processes had: resident memory with the
	 * bytes that wait unread at the ports, and open descriptors.
	 */
	long memory_kb, descriptors;
	int ended; /* processes that have ended */
};

void watch_sample(struct watch *w);

#endif
