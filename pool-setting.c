/* Settings of rosemary-poold, from flags and from ROSEMARY_POOL_* variables. */

#include "pool.h"

#include <argp.h>
#include <ctype.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENV_PREFIX "ROSEMARY_POOL_"
#define FIRST_FLAG_KEY 1000
#define CHECK_FLAG_KEY 900
#define EXIT_BAD_SETTING 2
#define MS_MAX 1e15
#define MEGABYTES_MAX 1e9
#define COUNT_MAX 1e9
#define OFFSET(member) offsetof(struct pool_settings, member)

enum setting_kind {
	NAME,
	ADDRESS,
	MS,
	CORES,
	FACTOR,
	LEVEL,
	MEGABYTES,
	COUNT,
	ORDER,
	ADMIT,
	PLACE,
	MOVE,
	HOPELESS,
	LEAVE
};

struct setting {
	const char *name; /* of the flag */
	enum setting_kind kind;
	int required;
	const char *default_value; /* "": none */
	size_t offset;		   /* in struct pool_settings */
	const char *help;
};

static const struct setting table[] = {
	{ "vm-name", NAME, 1, "", OFFSET(vm_name), "name of this entry VM" },
	{ "failure-domain", NAME, 1, "", OFFSET(failure_domain),
	  "failure domain of this entry VM" },
	{ "listen", ADDRESS, 1, "", OFFSET(listen), "address for callers" },
	{ "ready-listen", ADDRESS, 1, "", OFFSET(ready_listen),
	  "address for readiness checks" },
	{ "metrics-listen", ADDRESS, 0, "", OFFSET(metrics_listen),
	  "address for metrics; default: not served" },
	{ "link", ADDRESS, 1, "", OFFSET(link_address),
	  "address at which other entry VMs reach this one" },
	{ "link-listen", ADDRESS, 0, "", OFFSET(link_listen),
	  "address to listen on for them; default: that of link" },
	{ "store", ADDRESS, 1, "", OFFSET(store_address),
	  "address of the platform's store" },
	{ "processor", CORES, 0, "1", OFFSET(processor),
	  "processor share of this VM, cores" },
	{ "processor-speed", CORES, 0, "1", OFFSET(processor_speed),
	  "speed of that processor relative to the nominal one" },
	{ "remote-factor", FACTOR, 0, "2", OFFSET(remote_factor),
	  "factor on the run time of tasks away from their data's rack" },
	{ "status", MS, 0, "120000", OFFSET(ended_retention),
	  "how long the state of an ended stored job is kept, ms" },
	{ "lease", MS, 0, "1000", OFFSET(max_lease),
	  "longest lease that targets grant, ms" },
	{ "entry-interval", MS, 0, "1500", OFFSET(entry_interval),
	  "interval at which targets rewrite their entries in the store, ms" },
	{ "grace", MS, 0, "6000", OFFSET(grace),
	  "time from SIGTERM to SIGKILL, ms; the process exits 500 ms before" },
	{ "rotation", MS, 0, "2500", OFFSET(rotation),
	  "time until the load balancer notices SIGTERM, ms" },
	{ "order", ORDER, 0, "priority", OFFSET(order),
	  "order of jobs: priority, latest-start, fifo" },
	{ "admit", ADMIT, 0, "priority", OFFSET(admit),
	  "admission of jobs: priority, on-time, all" },
	{ "place", PLACE, 0, "slowest-on-time", OFFSET(place),
	  "choice of targets: slowest-on-time, roomiest" },
	{ "move", MOVE, 0, "progress", OFFSET(move),
	  "moves of slow runs to other targets: progress, none" },
	{ "hopeless", HOPELESS, 0, "bound", OFFSET(hopeless),
	  "when to give up a job that will be late: bound, predicted" },
	{ "leave", LEAVE, 0, "move", OFFSET(leave),
	  "runs on targets that leave: move, none" },
	{ "log-level", LEVEL, 0, "info", OFFSET(log_level),
	  "least level of log lines: error, warn, info, debug" },
	{ "log-estimate", MS, 0, "1", OFFSET(log_estimate),
	  "estimate from which jobs that are completed are logged, ms" },
	{ "memory", MEGABYTES, 0, "", OFFSET(memory),
	  "memory of this VM's machine, MB; default: the system's" },
	{ "descriptors", COUNT, 0, "", OFFSET(descriptors),
	  "file descriptors of this process; default: the system's limit" },
};

/* Plug-ins that a setting may name, by its kind minus ORDER. */
static const enum rp_plugin_kind plugins[] = {
	RP_PLUGIN_ORDER, RP_PLUGIN_ADMISSION, RP_PLUGIN_PLACE,
	RP_PLUGIN_MOVE,	 RP_PLUGIN_HOPELESS,  RP_PLUGIN_LEAVE,
};

#define SETTINGS (sizeof(table) / sizeof(*table))

static int set_level(enum log_level *level, const char *text)
{
	static const char *const names[] = { "error", "warn", "info", "debug" };
	int i;

	for (i = 0; i < 4; i++)
		if (!strcmp(text, names[i])) {
			*level = (enum log_level)i;
			return 0;
		}
	return -1;
}

/*
 * The platform states bounds as whole numbers or fractions, of ms or, with the
 * unit "s", of seconds.
 */
static int set_ms(rp_ms *ms, const char *text)
{
	char *end;
	double n = strtod(text, &end);

	if (end == text)
		return -1;
	if (!strcmp(end, "s")) {
		n *= 1000;
		end++;
	}
	if (*end || !(n >= 1 && n <= MS_MAX))
		return -1;
	*ms = (rp_ms)(n + 0.5);
	return 0;
}

static int set_cores(int64_t *thousandths, const char *text)
{
	char *end;
	double n = strtod(text, &end);

	if (!*text || *end || !(n >= 0.001 && n <= 1024))
		return -1;
	*thousandths = (int64_t)(n * 1000 + 0.5);
	return 0;
}

static int set_factor(double *factor, const char *text)
{
	char *end;

	*factor = strtod(text, &end);
	return *text && !*end && *factor >= 1 && *factor <= 100 ? 0 : -1;
}

/* Sets a number of units; a fraction of a unit is dropped in the result. */
static int set_size(size_t *size, const char *text, size_t unit, double max)
{
	char *end;
	double n = strtod(text, &end);

	if (end == text || *end || !(n >= 1 && n <= max))
		return -1;
	*size = (size_t)(n * (double)unit);
	return 0;
}

/* Parses and stores a value. Returns 0, or -1 when it is invalid. */
static int set_value(struct pool_settings *set, const struct setting *def,
		     const char *text)
{
	char *field = (char *)set + def->offset;
	struct sockaddr_in sa;

	switch (def->kind) {
	case MS:
		return set_ms((rp_ms *)(void *)field, text);
	case CORES:
		return set_cores((int64_t *)(void *)field, text);
	case FACTOR:
		return set_factor((double *)(void *)field, text);
	case MEGABYTES:
		return set_size((size_t *)(void *)field, text, (size_t)1 << 20,
				MEGABYTES_MAX);
	case COUNT:
		return set_size((size_t *)(void *)field, text, 1, COUNT_MAX);
	case LEVEL:
		return set_level((enum log_level *)(void *)field, text);
	case ADDRESS:
		if (*text && pool_parse_address(text, &sa) < 0)
			return -1;
		break;
	case ORDER:
	case ADMIT:
	case PLACE:
	case MOVE:
	case HOPELESS:
	case LEAVE:
		if (!plugin_find(plugins[def->kind - ORDER], text))
			return -1;
		break;
	case NAME:
		break;
	}
	if (strlen(text) >= RP_NAME_MAX)
		return -1;
	snprintf(field, RP_NAME_MAX, "%s", text);
	return 0;
}

static int is_missing(const struct pool_settings *set,
		      const struct setting *def)
{
	return def->required && !*((const char *)set + def->offset);
}

static int report_invalid(const struct setting *def, const char *text)
{
	fprintf(stderr, "rosemary-poold: %s: '%s' is not valid (%s)\n",
		def->name, text, def->help);
	return EXIT_BAD_SETTING;
}

static int set_from_environment(struct pool_settings *set)
{
	size_t i, j;
	int rc = 0;

	for (i = 0; i < SETTINGS; i++) {
		char name[64];
		const char *text;

		snprintf(name, sizeof(name), "%s%s", ENV_PREFIX, table[i].name);
		for (j = 0; name[j]; j++)
			name[j] =
				name[j] == '-'
					? '_'
					: (char)toupper((unsigned char)name[j]);
		text = getenv(name);
		if (!text)
			text = table[i].default_value;
		if (*text && set_value(set, &table[i], text) < 0)
			rc = report_invalid(&table[i], text);
	}
	return rc;
}

static error_t on_flag(int key, char *text, struct argp_state *state)
{
	struct pool_settings *set = state->input;

	if (key == CHECK_FLAG_KEY) {
		set->check_only = 1;
		return 0;
	}
	if (key == ARGP_KEY_ARG)
		argp_error(state, "unexpected argument '%s'", text);
	if (key < FIRST_FLAG_KEY || key >= FIRST_FLAG_KEY + (int)SETTINGS)
		return ARGP_ERR_UNKNOWN;
	if (set_value(set, &table[key - FIRST_FLAG_KEY], text) < 0)
		exit(report_invalid(&table[key - FIRST_FLAG_KEY], text));
	return 0;
}

int pool_settings_load(struct pool_settings *set, int argc, char **argv)
{
	struct argp_option options[SETTINGS + 2];
	struct argp argp = { options, on_flag,
			     NULL,    "An entry VM of a pool of targets.",
			     NULL,    NULL,
			     NULL };
	size_t i;
	int rc;

	memset(set, 0, sizeof(*set));
	memset(options, 0, sizeof(options));
	for (i = 0; i < SETTINGS; i++) {
		options[i].name = table[i].name;
		options[i].key = FIRST_FLAG_KEY + (int)i;
		options[i].arg = "VALUE";
		options[i].doc = table[i].help;
	}
	options[i].name = "check";
	options[i].key = CHECK_FLAG_KEY;
	options[i].doc = "only validate the settings";
	argp_err_exit_status = EXIT_BAD_SETTING;
	rc = set_from_environment(set);
	if (argp_parse(&argp, argc, argv, 0, NULL, set))
		return EXIT_BAD_SETTING;
	for (i = 0; i < SETTINGS; i++)
		if (is_missing(set, &table[i])) {
			fprintf(stderr, "rosemary-poold: --%s is missing\n",
				table[i].name);
			rc = EXIT_BAD_SETTING;
		}
	return rc;
}
