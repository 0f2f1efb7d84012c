/* Reads the counters of entry VMs, targets and the platform. */

#include "load.h"

#include <stdlib.h>
#include <string.h>

/* Adds to the sum of a counter. */
static void add_to_sum(json_t *sums, const char *name, double n)
{
	double sum = json_number_value(json_object_get(sums, name)) + n;

	json_object_set_new(sums, name, json_real(sum));
}

/* Adds the "name value" lines of an entry VM's metrics to the sums. */
static void add_metrics(json_t *sums, char *text)
{
	char *save, *line;

	for (line = strtok_r(text, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save)) {
		char *space = strrchr(line, ' ');

		if (*line == '#' || !space)
			continue;
		*space = '\0';
		add_to_sum(sums, line, strtod(space + 1, NULL));
	}
}

/* Adds the counts of a target stand-in to the sums. */
static void add_target_counts(json_t *sums, const char *address)
{
	json_t *counts = load_get_json(address, "/v1/control/counts");
	const char *name;
	json_t *v;

	json_object_foreach(counts, name, v)
	{
		add_to_sum(sums, name, json_number_value(v));
	}
	json_decref(counts);
}

void load_counters_read(const struct load_settings *set,
			struct load_counters *c)
{
	size_t i;

	c->vms = json_object();
	for (i = 0; i < set->nvms; i++) {
		char *text = load_get_text(set->vms[i], "/v1/metrics");

		if (text)
			add_metrics(c->vms, text);
		free(text);
	}
	c->targets = json_object();
	for (i = 0; i < set->ntargets; i++)
		add_target_counts(c->targets, set->targets[i]);
	c->platform = set->platform ? load_get_json(set->platform, "/v1/"
								   "control/"
								   "counts")
				    : NULL;
}

void load_counters_finish(struct load_counters *c)
{
	json_decref(c->vms);
	json_decref(c->targets);
	json_decref(c->platform);
}

json_t *load_counters_diff(json_t *before, json_t *after)
{
	json_t *o = json_object();
	const char *name;
	json_t *v;

	json_object_foreach(after, name, v)
	{
		double d = json_number_value(v) -
			   json_number_value(json_object_get(before, name));

		if (d != 0)
			json_object_set_new(o, name, json_real(d));
	}
	return o;
}
