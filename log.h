#ifndef LOG_H
#define LOG_H

#include <stddef.h>

/*
 * Logging through log4c, as one line of JSON for each record, to standard error
 * or, after log_buffer(), to standard output.
 */

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
};

/*
 * Starts logging of records at least as severe as the level. vm is the name of
 * this entry VM, which each line has. Returns 0, or -1. Records logged while
 * logging is stopped are dropped.
 */
int log_start(const char *vm, enum log_level level);
void log_stop(void);

/*
 * Buffers lines until log_flush() writes them to standard output, which becomes
 * non-blocking. Lines that do not fit into the buffer are dropped and counted.
 * Also sets the limit of lines per second. Call it before the first record.
 */
void log_buffer(int max_lines_per_second);
void log_flush(void);

struct log_field {
	const char *name;
	const char *text; /* NULL: the value is the number */
	long long number;
};

/* Logs an event with its fields. Fields with an empty text are omitted. */
void log_record(enum log_level level, const char *event,
		const struct log_field *fields, size_t n);

#define LOG_TEXT(name, text)                                                   \
	{                                                                      \
		name, text, 0                                                  \
	}
#define LOG_NUMBER(name, number)                                               \
	{                                                                      \
		name, NULL, number                                             \
	}
#define LOG_EVENT(level, event, ...)                                           \
	do {                                                                   \
		const struct log_field fields_[] = { __VA_ARGS__ };            \
		log_record(level, event, fields_,                              \
			   sizeof(fields_) / sizeof(*fields_));                \
	} while (0)

/* Logs a message with the step that failed and the peer; "" omits either. */
void log_line(enum log_level level, const char *step, const char *peer,
	      const char *fmt, ...) __attribute__((format(printf, 4, 5)));

#define log_error(...) log_line(LOG_LEVEL_ERROR, __VA_ARGS__)
#define log_warn(...) log_line(LOG_LEVEL_WARN, __VA_ARGS__)
#define log_info(...) log_line(LOG_LEVEL_INFO, __VA_ARGS__)
#define log_debug(...) log_line(LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif
