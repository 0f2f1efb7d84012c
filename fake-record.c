/* JSON of a simulated target's counts and starts, for tests to check. */

#include "fake-task.h"

#include <stdio.h>
#include <stdlib.h>

static const char *const outcome_names[] = {
	[FAKE_OUTCOME_NONE] = "running",
	[FAKE_OUTCOME_DONE] = "done",
	[FAKE_OUTCOME_FAILED] = "failed",
	[FAKE_OUTCOME_STOPPED] = "stopped",
	[FAKE_OUTCOME_LEASE_EXPIRED] = "lease_expired",
};

json_t *fake_target_counts_json(const struct fake_target *t)
{
	const struct fake_target_counts *c = &t->counts;

	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
			 "starts", (json_int_t)c->starts, "busy",
			 (json_int_t)c->busy, "double_starts",
			 (json_int_t)c->double_starts, "voids",
			 (json_int_t)c->voids, "lookups",
			 (json_int_t)c->lookups, "connections",
			 (json_int_t)c->connections, "open_connections",
			 (json_int_t)t->open_connections, "running",
			 (json_int_t)t->running, "max_running",
			 (json_int_t)c->max_running);
}

/* Writes one start as a JSON object. */
static void write_start(FILE *out, const struct fake_task *task)
{
	json_t *o = json_pack("{s:s, s:s, s:I, s:I, s:s}", "id", task->id,
			      "task", task->task, "arrival_ms",
			      (json_int_t)(task->arrival_us / 1000), "end_ms",
			      (json_int_t)(task->end_us / 1000), "outcome",
			      outcome_names[task->outcome]);

	json_dumpf(o, out, JSON_COMPACT);
	json_decref(o);
}

enum fake_action fake_target_record_reply(struct fake_target *t,
					  struct fake_request *r)
{
	const struct fake_task *task;
	json_t *counts = fake_target_counts_json(t);
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);

	if (!out)
		abort();
	fputs("{\"counts\":", out);
	json_dumpf(counts, out, JSON_COMPACT);
	json_decref(counts);
	fputs(",\"starts\":[", out);
	for (task = t->first_start; task; task = task->next_start) {
		write_start(out, task);
		if (task->next_start)
			fputs(",\n", out);
	}
	fputs("]}\n", out);
	fclose(out);
	return fake_reply_body(r, 200, text, len);
}
