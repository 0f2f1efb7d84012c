#ifndef LOG_H
#define LOG_H

/* Log lines as JSON on standard error, through log4c. */

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
};

/* Starts logging; vm names this entry VM in every line. */
int log_start(const char *vm, enum log_level least);
void log_stop(void);

/* Logs one line with the step and the peer at which it arose. */
void log_line(enum log_level level, const char *step, const char *peer,
	      const char *fmt, ...) __attribute__((format(printf, 4, 5)));

#define log_error(...) log_line(LOG_LEVEL_ERROR, __VA_ARGS__)
#define log_warn(...) log_line(LOG_LEVEL_WARN, __VA_ARGS__)
#define log_info(...) log_line(LOG_LEVEL_INFO, __VA_ARGS__)
#define log_debug(...) log_line(LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif
