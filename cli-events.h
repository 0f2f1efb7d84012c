#ifndef CLI_EVENTS_H
#define CLI_EVENTS_H

/* The time line: events of all entry VMs, merged into one order. */

#include "cli.h"

/*
 * One event. The stamp is a hybrid logical clock: milliseconds of the wall
 * clock in the upper bits, a counter in the lowest 16.
 */
struct cli_event {
	uint64_t hlc;
	const char *vm;
	uint64_t seq;
	json_t *fields;
};

#define CLI_HLC_COUNTER_BITS 16

/* Which events to show; NULL or 0: any. */
struct cli_filter {
	const char *job;
	const char *target;
	const char *team;
	int64_t from_ms;
	int64_t to_ms;
};

/* A growing list of events; zero-initialised. */
struct cli_timeline {
	struct cli_event *list;
	size_t len, cap;
};

/* What a reply's lines held, before the filter. */
struct cli_batch {
	size_t malformed;
	uint64_t first_seq; /* 0: no event */
};

/* Adds the JSON lines of one reply of one entry VM; cuts them up. */
struct cli_batch cli_timeline_add(struct cli_timeline *t, char *lines,
				  const struct cli_filter *filter);
/* Orders by (hlc, vm, seq). */
void cli_timeline_sort(struct cli_timeline *t);
/* Prints the events up to a stamp, and removes them. */
void cli_timeline_print(struct cli_timeline *t, uint64_t up_to, int json);
uint64_t cli_timeline_newest(const struct cli_timeline *t);
void cli_timeline_finish(struct cli_timeline *t);

#endif
