/* Parses the text of a setting into its field. */

#include "setting.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void setting_add_error(struct setting_errors *errs, const char *fmt, ...)
{
	char text[512];
	char **list;
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	list = realloc(errs->list, (errs->len + 1) * sizeof(*list));
	if (!list)
		abort();
	errs->list = list;
	errs->list[errs->len] = strdup(text);
	if (!errs->list[errs->len++])
		abort();
}

void setting_errors_free(struct setting_errors *errs)
{
	size_t i;

	for (i = 0; i < errs->len; i++)
		free(errs->list[i]);
	free(errs->list);
	errs->list = NULL;
	errs->len = 0;
}

int setting_parse_number(const char *text, int64_t min, int64_t max,
			 int64_t *out)
{
	long long n;
	char *end;

	if (*text < '0' || *text > '9')
		return -1;
	errno = 0;
	n = strtoll(text, &end, 10);
	if (errno || *end || n < min || n > max)
		return -1;
	*out = n;
	return 0;
}

int setting_is_name(const char *text)
{
	size_t n = strlen(text);
	size_t i;

	if (n == 0 || n >= RP_NAME_MAX)
		return 0;
	for (i = 0; i < n; i++)
		if (!strchr("abcdefghijklmnopqrstuvwxyz"
			    "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-",
			    text[i]))
			return 0;
	return 1;
}

int setting_is_address(const char *text)
{
	char host[RP_ADDRESS_MAX];
	struct in_addr ip;
	int64_t port;
	char *colon;

	if (strlen(text) >= sizeof(host))
		return 0;
	memcpy(host, text, strlen(text) + 1);
	colon = strrchr(host, ':');
	if (!colon || setting_parse_number(colon + 1, 1, 65535, &port))
		return 0;
	*colon = '\0';
	return inet_pton(AF_INET, host, &ip) == 1;
}

/* Parses the name of a log level. Returns 0 or -1. */
static int parse_level(const char *text, enum log_level *out)
{
	static const char *const names[] = { "error", "warn", "info", "debug" };
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(*names); i++) {
		if (strcmp(names[i], text) != 0)
			continue;
		*out = (enum log_level)i;
		return 0;
	}
	return -1;
}

static void add_value_error(const struct setting *def, const char *text,
			    struct setting_errors *errs)
{
	if (def->max > 0)
		setting_add_error(errs,
				  "%s: \"%s\" is not a whole number of %s from "
				  "%lld to %lld",
				  def->name, text, def->unit,
				  (long long)def->min, (long long)def->max);
	else
		setting_add_error(errs, "%s: \"%s\" is malformed; want %s",
				  def->name, text, def->unit);
}

static void store_number(void *field, enum setting_type type, int64_t n)
{
	switch (type) {
	case SETTING_INT:
		*(int *)field = (int)n;
		break;
	case SETTING_SIZE:
		*(size_t *)field = (size_t)n;
		break;
	case SETTING_MS:
		*(rp_ms *)field = n;
		break;
	default:
		*(uint64_t *)field = (uint64_t)n;
		break;
	}
}

void setting_parse(struct settings *s, const struct setting *def,
		   const char *text, struct setting_errors *errs)
{
	void *field = (char *)s + def->offset;
	int64_t n;

	switch (def->type) {
	case SETTING_NAME:
		if (setting_is_name(text))
			memcpy(field, text, strlen(text) + 1);
		else
			add_value_error(def, text, errs);
		break;
	case SETTING_ADDRESS:
		if (setting_is_address(text))
			memcpy(field, text, strlen(text) + 1);
		else
			add_value_error(def, text, errs);
		break;
	case SETTING_LEVEL:
		if (parse_level(text, field))
			add_value_error(def, text, errs);
		break;
	case SETTING_ENTRY_VM:
		setting_parse_vm(s, RP_VM_ENTRY, text, errs);
		break;
	case SETTING_TARGET:
		setting_parse_vm(s, RP_VM_TARGET, text, errs);
		break;
	default:
		if (setting_parse_number(text, def->min, def->max, &n))
			add_value_error(def, text, errs);
		else
			store_number(field, def->type, n);
		break;
	}
}
