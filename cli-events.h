#ifndef CLI_EVENTS_H
#define CLI_EVENTS_H

/* The timeline: the events of all entry VMs, merged into one order. */

#include "cli.h"

/*
 * One event. Its timestamp is of a hybrid logical clock: milliseconds since
 * 1970 in the upper bits, a counter in the lowest CLI_HLC_COUNTER_BITS.
 */
struct cli_event {
	uint64_t hlc;
	const char *vm; /* name of the entry VM; points into the fields */
	uint64_t seq;	/* position in the event ring of the entry VM, from 1 */
	json_t *fields; /* the whole event */
};

#define CLI_HLC_COUNTER_BITS 16

/* Which events to show; a member that is NULL or 0 restricts nothing. */
struct cli_filter {
	const char *job; /* idempotency key of the job */
	const char *target;
	const char *team;
	int64_t from_ms; /* since 1970, inclusive */
	int64_t to_ms;	 /* since 1970, inclusive */
};

/* A growable list of events; initialised with zeros. */
struct cli_timeline {
	struct cli_event *list;
	size_t len, cap;
};

/* Facts about the lines of one answer, before the filter applies. */
struct cli_batch {
	size_t malformed;   /* number of lines that are not events */
	uint64_t first_seq; /* of the first event; 0: no event */
};

/*
 * Adds the events of one answer of an entry VM, one JSON object a line, that
 * pass the filter. Overwrites the line ends in the text.
 */
struct cli_batch cli_timeline_add(struct cli_timeline *t, char *lines,
				  const struct cli_filter *filter);
/* Sorts the events by (hlc, vm, seq). */
void cli_timeline_sort(struct cli_timeline *t);
/* Prints and removes the events with timestamps up to the given one. */
void cli_timeline_print(struct cli_timeline *t, uint64_t up_to_hlc, int json);
/* Returns the greatest timestamp, or 0 when there are no events. */
uint64_t cli_timeline_newest(const struct cli_timeline *t);
void cli_timeline_finish(struct cli_timeline *t);

#endif
