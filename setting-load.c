/* Loads all settings: defaults, then the environment, then flags. */

#include "setting.h"

#include <argp.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENV_PREFIX "ROSEMARY_"
#define KEY_BASE 1000	    /* argp key of the first setting */
#define KEY_CHECK 900	    /* argp key of --check */
#define DOC_MAX 400	    /* bytes of a setting's help text */
#define KERNEL_ALIGNMENT 64 /* bytes */

/* State of loading the settings. */
struct loader {
	struct settings *s;
	struct setting_errors errors;
	int next; /* index in argv after an invalid flag; 0 if none */
};

/* Writes the name of the environment variable, such as ROSEMARY_VM_NAME. */
static void write_env_name(const struct setting *def, char *to, size_t max)
{
	size_t n = (size_t)snprintf(to, max, "%s%s", ENV_PREFIX, def->name);
	size_t i;

	for (i = 0; i < n && i < max; i++)
		to[i] = to[i] == '-' ? '_'
				     : (char)toupper((unsigned char)to[i]);
}

/* Writes the kernel's default of a setting. */
static void write_default(char *to, size_t max, const struct settings *s,
			  const struct setting *def)
{
	const void *field = (const char *)s + def->offset;
	long long n = 0;

	switch (def->type) {
	case SETTING_NAME:
		snprintf(to, max, "%s", (const char *)field);
		return;
	case SETTING_INT:
		n = *(const int *)field;
		break;
	case SETTING_SIZE:
		n = (long long)*(const size_t *)field;
		break;
	case SETTING_MS:
		n = *(const rp_ms *)field;
		break;
	default:
		break;
	}
	snprintf(to, max, "%lld", n);
}

/* Returns the help text of a setting, allocated. */
static char *make_help(const struct settings *s, const struct setting *def)
{
	char env[64], value[RP_NAME_MAX] = "", range[64] = "";
	char *doc = malloc(DOC_MAX);

	if (!doc)
		abort();
	write_env_name(def, env, sizeof(env));
	if (def->default_text)
		snprintf(value, sizeof(value), "%s", def->default_text);
	else
		write_default(value, sizeof(value), s, def);
	if (def->max > 0)
		snprintf(range, sizeof(range), ", %lld to %lld",
			 (long long)def->min, (long long)def->max);
	snprintf(doc, DOC_MAX, "%s (%s%s%s%s; %s)", def->help, def->unit, range,
		 def->required ? ", required" : "", "", env);
	if (value[0]) {
		size_t n = strlen(doc);

		snprintf(doc + n, DOC_MAX - n, " [%s]", value);
	}
	return doc;
}

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
	struct loader *ld = state->input;

	if (key >= KEY_BASE && key < KEY_BASE + (int)setting_count) {
		setting_parse(ld->s, &setting_table[key - KEY_BASE], arg,
			      &ld->errors);
		return 0;
	}
	switch (key) {
	case KEY_CHECK:
		ld->s->check_only = 1;
		return 0;
	case '?':
		argp_help(state->root_argp, stdout,
			  ARGP_HELP_SHORT_USAGE | ARGP_HELP_LONG |
				  ARGP_HELP_DOC,
			  "rosemaryd");
		exit(0);
	case ARGP_KEY_ARG:
		setting_add_error(&ld->errors, "unexpected argument \"%s\"",
				  arg);
		return 0;
	case ARGP_KEY_ERROR:
		ld->next = state->next;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static struct argp_option *make_options(const struct settings *s)
{
	struct argp_option *o = calloc(setting_count + 3, sizeof(*o));
	size_t i;

	if (!o)
		abort();
	for (i = 0; i < setting_count; i++) {
		o[i].name = setting_table[i].name;
		o[i].key = KEY_BASE + (int)i;
		o[i].arg = "VALUE";
		o[i].doc = make_help(s, &setting_table[i]);
	}
	o[i].name = "check";
	o[i].key = KEY_CHECK;
	o[i].doc = "validate the settings and exit";
	o[++i].name = "help";
	o[i].key = '?';
	o[i].doc = "print this list and exit";
	return o;
}

static void free_options(struct argp_option *o)
{
	size_t i;

	for (i = 0; i < setting_count; i++)
		free((char *)o[i].doc);
	free(o);
}

/* Parses the flags. Continues after invalid ones, so that all are reported. */
static void load_flags(struct loader *ld, int argc, char **argv)
{
	struct argp_option *options = make_options(ld->s);
	struct argp argp = { .options = options,
			     .parser = parse_opt,
			     .doc = "Dispatcher of sub-second tasks: one entry "
				    "VM." };
	int parsed = 0;

	while (parsed < argc) {
		ld->next = 0;
		if (!argp_parse(&argp, argc - parsed, argv + parsed,
				ARGP_NO_HELP | ARGP_NO_EXIT | ARGP_NO_ERRS,
				NULL, ld))
			break;
		if (ld->next < 1)
			break;
		parsed += ld->next - 1;
		setting_add_error(&ld->errors,
				  "\"%s\" is an unknown flag or lacks a value",
				  argv[parsed]);
	}
	free_options(options);
}

/* Parses the space-separated list of an environment variable. */
static void parse_list(struct loader *ld, const struct setting *def,
		       const char *text)
{
	char *copy = strdup(text);
	char *rest = copy;
	char *part;

	if (!copy)
		abort();
	while ((part = strsep(&rest, " ")))
		if (*part)
			setting_parse(ld->s, def, part, &ld->errors);
	free(copy);
}

/* Parses NAME=VALUE; warns about unknown names that begin with ROSEMARY_. */
static void parse_variable(struct loader *ld, const char *variable)
{
	const char *value = strchr(variable, '=');
	char name[64];
	size_t i;

	if (!value || strncmp(variable, ENV_PREFIX, strlen(ENV_PREFIX)) != 0)
		return;
	for (i = 0; i < setting_count; i++) {
		const struct setting *def = &setting_table[i];

		write_env_name(def, name, sizeof(name));
		if (strlen(name) != (size_t)(value - variable) ||
		    strncmp(name, variable, strlen(name)) != 0)
			continue;
		if (def->type == SETTING_ENTRY_VM ||
		    def->type == SETTING_TARGET)
			parse_list(ld, def, value + 1);
		else
			setting_parse(ld->s, def, value + 1, &ld->errors);
		return;
	}
	fprintf(stderr, "rosemaryd: warning: %.*s is no known setting\n",
		(int)(value - variable), variable);
}

static void load_defaults(struct loader *ld)
{
	size_t i;

	rp_options_init(&ld->s->kernel);
	for (i = 0; i < setting_count; i++) {
		const struct setting *def = &setting_table[i];

		if (def->required)
			((char *)ld->s)[def->offset] = '\0';
		else if (def->default_text && def->default_text[0])
			setting_parse(ld->s, def, def->default_text,
				      &ld->errors);
	}
}

/*
 * Checks for missing settings and invalid combinations. Sets the default of
 * peer-listen, which is another setting.
 */
static void check_combinations(struct loader *ld)
{
	struct settings *s = ld->s;
	size_t i;

	for (i = 0; i < setting_count; i++) {
		const struct setting *def = &setting_table[i];

		if (def->required && !((char *)s)[def->offset])
			setting_add_error(&ld->errors, "%s: must be given",
					  def->name);
	}
	if (!s->peer_listen[0])
		memcpy(s->peer_listen, s->kernel.address,
		       sizeof(s->peer_listen));
	if (s->http_listen[0] && !strcmp(s->http_listen, s->peer_listen))
		setting_add_error(&ld->errors, "http-listen: the same as "
					       "peer-listen");
	if (s->http_connections < s->http_threads)
		setting_add_error(&ld->errors, "http-connections: fewer than "
					       "http-threads");
	if (s->default_timeout > s->kernel.max_timeout)
		setting_add_error(&ld->errors, "default-timeout: longer than "
					       "max-timeout");
}

/* Validates the kernel's options, such as the names of policies. */
static void check_kernel_options(struct loader *ld)
{
	struct rp_kernel *k;
	struct rp_status st;
	void *memory;

	if (posix_memalign(&memory, KERNEL_ALIGNMENT, rp_kernel_size()))
		abort();
	k = memory;
	if (rp_kernel_init(k, &ld->s->kernel, 0, &st) == RP_OK)
		rp_kernel_finish(k);
	else
		setting_add_error(&ld->errors, "%s", st.message);
	free(memory);
}

int settings_load(struct settings *s, int argc, char **argv, char **env)
{
	struct loader ld = { .s = s };
	size_t i;
	int rc;

	memset(s, 0, sizeof(*s));
	load_defaults(&ld);
	for (; *env; env++)
		parse_variable(&ld, *env);
	load_flags(&ld, argc, argv);
	check_combinations(&ld);
	s->kernel.seeds = s->vms;
	s->kernel.nseeds = s->nvms;
	if (!ld.errors.len)
		check_kernel_options(&ld);
	for (i = 0; i < ld.errors.len; i++)
		fprintf(stderr, "rosemaryd: %s\n", ld.errors.list[i]);
	rc = ld.errors.len ? EXIT_SETTING : 0;
	setting_errors_free(&ld.errors);
	return rc;
}

void settings_finish(struct settings *s)
{
	free(s->vms);
	s->vms = NULL;
	s->nvms = 0;
}
