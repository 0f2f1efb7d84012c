/* Merges, filters and prints the timeline. */

#include "cli-events.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Whether a text field has the given value; NULL matches anything. */
static int field_matches(json_t *o, const char *name, const char *want)
{
	const char *have = json_string_value(json_object_get(o, name));

	return !want || (have && !strcmp(have, want));
}

/* Whether the event passes all conditions of the filter. */
static int passes_filter(const struct cli_event *ev, const struct cli_filter *f)
{
	int64_t ms = (int64_t)(ev->hlc >> CLI_HLC_COUNTER_BITS);

	if (f->from_ms && ms < f->from_ms)
		return 0;
	if (f->to_ms && ms > f->to_ms)
		return 0;
	return field_matches(ev->fields, "key", f->job) &&
	       field_matches(ev->fields, "target", f->target) &&
	       field_matches(ev->fields, "team", f->team);
}

/* Appends the event; the timeline takes ownership of its fields. */
static void append_event(struct cli_timeline *t, const struct cli_event *ev)
{
	if (t->len == t->cap) {
		t->cap = t->cap ? 2 * t->cap : 256;
		t->list = realloc(t->list, t->cap * sizeof(*t->list));
		if (!t->list)
			abort();
	}
	t->list[t->len++] = *ev;
}

/* Parses one line; returns -1 when it is not an event. */
static int parse_event(const char *line, struct cli_event *ev)
{
	json_t *o = json_loads(line, 0, NULL);
	const char *vm = json_string_value(json_object_get(o, "vm"));

	if (!vm || !json_is_integer(json_object_get(o, "hlc"))) {
		json_decref(o);
		return -1;
	}
	ev->hlc = (uint64_t)json_integer_value(json_object_get(o, "hlc"));
	ev->seq = (uint64_t)json_integer_value(json_object_get(o, "seq"));
	ev->vm = vm;
	ev->fields = o;
	return 0;
}

struct cli_batch cli_timeline_add(struct cli_timeline *t, char *lines,
				  const struct cli_filter *filter)
{
	struct cli_batch batch = { 0, 0 };
	char *save, *line;

	for (line = strtok_r(lines, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save)) {
		struct cli_event ev;

		if (parse_event(line, &ev)) {
			batch.malformed++;
			continue;
		}
		if (!batch.first_seq)
			batch.first_seq = ev.seq;
		if (passes_filter(&ev, filter))
			append_event(t, &ev);
		else
			json_decref(ev.fields);
	}
	return batch;
}

/* Compares events by (hlc, vm, seq), for qsort(). */
static int compare_events(const void *a, const void *b)
{
	const struct cli_event *x = a, *y = b;
	int by_vm;

	if (x->hlc != y->hlc)
		return x->hlc < y->hlc ? -1 : 1;
	by_vm = strcmp(x->vm, y->vm);
	if (by_vm)
		return by_vm;
	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

void cli_timeline_sort(struct cli_timeline *t)
{
	if (t->len)
		qsort(t->list, t->len, sizeof(*t->list), compare_events);
}

uint64_t cli_timeline_newest(const struct cli_timeline *t)
{
	uint64_t newest = 0;
	size_t i;

	for (i = 0; i < t->len; i++)
		if (t->list[i].hlc > newest)
			newest = t->list[i].hlc;
	return newest;
}

/* Whether print_text() prints the field apart from the name=value list. */
static int has_own_column(const char *name)
{
	return !strcmp(name, "hlc") || !strcmp(name, "vm") ||
	       !strcmp(name, "seq") || !strcmp(name, "event");
}

/* Prints "HH:MM:SS.mmm+counter vm event name=value ...", in UTC. */
static void print_text(const struct cli_event *ev)
{
	time_t secs = (time_t)(ev->hlc >> CLI_HLC_COUNTER_BITS) / 1000;
	json_t *event_name = json_object_get(ev->fields, "event");
	const char *event = json_string_value(event_name);
	const char *name;
	struct tm tm;
	char when[16];
	json_t *v;

	gmtime_r(&secs, &tm);
	strftime(when, sizeof(when), "%H:%M:%S", &tm);
	printf("%s.%03u+%u %s %s", when,
	       (unsigned int)((ev->hlc >> CLI_HLC_COUNTER_BITS) % 1000),
	       (unsigned int)(ev->hlc & 0xffff), ev->vm, event ? event : "?");
	json_object_foreach(ev->fields, name, v)
	{
		char *text;

		if (has_own_column(name))
			continue;
		if (json_is_string(v)) {
			printf(" %s=%s", name, json_string_value(v));
			continue;
		}
		text = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
		printf(" %s=%s", name, text);
		free(text);
	}
	printf("\n");
}

void cli_timeline_print(struct cli_timeline *t, uint64_t up_to_hlc, int json)
{
	size_t i;

	for (i = 0; i < t->len && t->list[i].hlc <= up_to_hlc; i++) {
		struct cli_event *ev = &t->list[i];

		if (json) {
			json_dumpf(ev->fields, stdout, JSON_COMPACT);
			printf("\n");
		} else {
			print_text(ev);
		}
		json_decref(ev->fields);
	}
	t->len -= i;
	if (i && t->len)
		memmove(t->list, t->list + i, t->len * sizeof(*t->list));
	fflush(stdout);
}

void cli_timeline_finish(struct cli_timeline *t)
{
	size_t i;

	for (i = 0; i < t->len; i++)
		json_decref(t->list[i].fields);
	free(t->list);
	memset(t, 0, sizeof(*t));
}
