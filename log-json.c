/* A layout and an appender for log4c, which write log lines as JSON. */

#include "log.h"

#include <fcntl.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 2048
#define DEFAULT_LINES_PER_SECOND 200
#define BUFFER_BYTES 65536
/*
 * log4c passes one string to the layout. That of log_record() is RECORD and
 * the fields as JSON text; that of log_line() is step, peer and message.
 */
#define RECORD '\x1e'
#define SEPARATOR '\x1f' /* between step, peer and message */

/* Lines to be written by log_flush(). */
static struct {
	int enabled;
	size_t len;
	long dropped; /* lines */
	char text[BUFFER_BYTES];
} buffer;

static int lines_per_second = DEFAULT_LINES_PER_SECOND;
static char vm_name[64];
static log4c_category_t *category; /* NULL: logging is not started */

struct line {
	char text[LINE_MAX_BYTES];
	size_t len;
};

/*
 * Appends one character, escaped, or nothing when the line is full. The margin
 * of 16 bytes has room for the closing quote, the brace and the newline.
 */
static void put_escaped(struct line *l, unsigned char c)
{
	static const char hex[] = "0123456789abcdef";

	if (l->len + 16 > sizeof(l->text))
		return;
	if (c == '"' || c == '\\') {
		l->text[l->len++] = '\\';
		l->text[l->len++] = (char)c;
	} else if (c < 0x20 || c >= 0x7f) {
		memcpy(l->text + l->len, "\\u00", 4);
		l->text[l->len + 4] = hex[c >> 4];
		l->text[l->len + 5] = hex[c & 15];
		l->len += 6;
	} else {
		l->text[l->len++] = (char)c;
	}
}

/* Appends text as it is, or nothing when it does not fit. */
static void put_raw(struct line *l, const char *s)
{
	size_t n = strlen(s);

	if (l->len + n + 8 > sizeof(l->text))
		return;
	memcpy(l->text + l->len, s, n);
	l->len += n;
}

/* Appends ,"name":"value" unless the value is empty. */
static void put_field(struct line *l, const char *name, const char *value,
		      size_t len)
{
	size_t i;

	if (!len)
		return;
	put_raw(l, ",\"");
	put_raw(l, name);
	put_raw(l, "\":\"");
	for (i = 0; i < len; i++)
		put_escaped(l, (unsigned char)value[i]);
	put_raw(l, "\"");
}

/* Appends the part of a message up to a SEPARATOR. Returns what follows it. */
static const char *put_part(struct line *l, const char *name, const char *at)
{
	const char *end = strchr(at, SEPARATOR);
	size_t len = end ? (size_t)(end - at) : strlen(at);

	put_field(l, name, at, len);
	return end ? end + 1 : at + len;
}

static const char *level_name(int priority)
{
	if (priority <= LOG4C_PRIORITY_ERROR)
		return "error";
	if (priority <= LOG4C_PRIORITY_WARN)
		return "warn";
	return priority <= LOG4C_PRIORITY_INFO ? "info" : "debug";
}

/* Formats an event as a line of JSON in a buffer of the calling thread. */
static const char *json_format(const log4c_layout_t *layout,
			       const log4c_logging_event_t *ev)
{
	static _Thread_local struct line l;
	const char *at = ev->evt_msg;

	(void)layout;
	l.len = (size_t)snprintf(l.text, sizeof(l.text), "{\"time_ms\":%lld",
				 (long long)ev->evt_timestamp.tv_sec * 1000 +
					 (long long)ev->evt_timestamp.tv_usec /
						 1000);
	put_field(&l, "level", level_name(ev->evt_priority),
		  strlen(level_name(ev->evt_priority)));
	put_field(&l, "vm", vm_name, strlen(vm_name));
	if (*at == RECORD) {
		put_raw(&l, at + 1);
	} else {
		at = put_part(&l, "step", at);
		at = put_part(&l, "peer", at);
		put_part(&l, "message", at);
	}
	put_raw(&l, "}\n");
	l.text[l.len] = '\0';
	return l.text;
}

static int buffer_line(const char *text, size_t len)
{
	if (len > sizeof(buffer.text) - buffer.len) {
		buffer.dropped++;
		return 0;
	}
	memcpy(buffer.text + buffer.len, text, len);
	buffer.len += len;
	return 0;
}

void log_buffer(int max_lines_per_second)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	buffer.enabled = 1;
	lines_per_second = max_lines_per_second;
}

void log_flush(void)
{
	ssize_t n;

	if (!buffer.len)
		return;
	n = write(STDOUT_FILENO, buffer.text, buffer.len);
	if (n <= 0)
		return;
	buffer.len -= (size_t)n;
	memmove(buffer.text, buffer.text + n, buffer.len);
	if (buffer.dropped && !buffer.len) {
		long dropped = buffer.dropped;

		buffer.dropped = 0;
		log_warn("log", "", "%ld lines were left out: buffer full",
			 dropped);
	}
}

/* Buffers a line, or writes it by one call so that threads' lines don't mix. */
static int json_append(log4c_appender_t *appender,
		       const log4c_logging_event_t *ev)
{
	const char *text = ev->evt_rendered_msg;

	(void)appender;
	if (buffer.enabled)
		return buffer_line(text, strlen(text));
	return write(STDERR_FILENO, text, strlen(text)) < 0 ? -1 : 0;
}

static int json_no_op(log4c_appender_t *appender)
{
	(void)appender;
	return 0;
}

static const log4c_layout_type_t json_layout = {
	.name = "rosemary_json",
	.format = json_format,
};

static const log4c_appender_type_t json_appender = {
	.name = "rosemary_stderr",
	.open = json_no_op,
	.append = json_append,
	.close = json_no_op,
};

static int priority_of(enum log_level level)
{
	static const int priorities[] = {
		[LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
		[LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
		[LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
		[LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
	};

	return priorities[level];
}

int log_start(const char *vm, enum log_level level)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	snprintf(vm_name, sizeof(vm_name), "%s", vm);
	log4c_layout_type_set(&json_layout);
	log4c_appender_type_set(&json_appender);
	if (log4c_init())
		return -1;
	layout = log4c_layout_get("rosemary");
	log4c_layout_set_type(layout, &json_layout);
	appender = log4c_appender_get("rosemary");
	log4c_appender_set_type(appender, &json_appender);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get("rosemaryd");
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, priority_of(level));
	return log4c_appender_open(appender);
}

void log_stop(void)
{
	category = NULL;
	log4c_fini();
}

/*
 * Limits the lines per second, so that many failures at once don't flood the
 * log. The first line of a later second says how many were dropped. Warnings
 * have a limit of their own: lines about each job must not crowd them out.
 */
static int is_below_limit(enum log_level level)
{
	static struct {
		atomic_long second, lines;
	} counters[2];
	atomic_long *second = &counters[level <= LOG_LEVEL_WARN].second;
	atomic_long *lines = &counters[level <= LOG_LEVEL_WARN].lines;
	long now = (long)time(NULL);
	long before = atomic_load(second);
	long dropped;

	if (before != now &&
	    atomic_compare_exchange_strong(second, &before, now)) {
		dropped = atomic_exchange(lines, 0) - lines_per_second;
		if (dropped > 0)
			log4c_category_log(category, LOG4C_PRIORITY_WARN,
					   "%c%c%ld lines were left out",
					   SEPARATOR, SEPARATOR, dropped);
	}
	return atomic_fetch_add(lines, 1) < lines_per_second;
}

void log_line(enum log_level level, const char *step, const char *peer,
	      const char *fmt, ...)
{
	char text[LINE_MAX_BYTES / 2];
	va_list ap;
	int at;

	if (!category ||
	    !log4c_category_is_priority_enabled(category, priority_of(level)) ||
	    !is_below_limit(level))
		return;
	at = snprintf(text, sizeof(text), "%s%c%s%c", step, SEPARATOR, peer,
		      SEPARATOR);
	if (at < 0 || (size_t)at >= sizeof(text))
		return;
	va_start(ap, fmt);
	vsnprintf(text + at, sizeof(text) - (size_t)at, fmt, ap);
	va_end(ap);
	log4c_category_log(category, priority_of(level), "%s", text);
}

void log_record(enum log_level level, const char *event,
		const struct log_field *fields, size_t n)
{
	struct line l = { .len = 0 };
	char number[32];
	size_t i;

	if (!category ||
	    !log4c_category_is_priority_enabled(category, priority_of(level)) ||
	    !is_below_limit(level))
		return;
	l.text[l.len++] = RECORD;
	put_field(&l, "event", event, strlen(event));
	for (i = 0; i < n; i++) {
		if (fields[i].text) {
			put_field(&l, fields[i].name, fields[i].text,
				  strlen(fields[i].text));
			continue;
		}
		snprintf(number, sizeof(number), "\":%lld", fields[i].number);
		put_raw(&l, ",\"");
		put_raw(&l, fields[i].name);
		put_raw(&l, number);
	}
	l.text[l.len] = '\0';
	log4c_category_log(category, priority_of(level), "%s", l.text);
}
