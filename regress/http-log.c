/* Each log line is a JSON object, whatever bytes the message contains. */

#include <criterion/criterion.h>
#include <criterion/redirect.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "log.h"

/* Reads the log lines written so far. */
static char *read_log(char *buf, size_t max)
{
	size_t n = fread(buf, 1, max - 1, cr_get_redirected_stderr());

	buf[n] = '\0';
	return buf;
}

static const char *member(const json_t *line, const char *name)
{
	const char *s = json_string_value(json_object_get(line, name));

	return s ? s : "";
}

TestSuite(log, .init = cr_redirect_stderr, .timeout = 30);

Test(log, line_is_json_with_step_and_peer)
{
	char text[4096];
	json_t *line;

	cr_assert_eq(log_start("e1", LOG_LEVEL_INFO), 0);
	log_warn("start", "t1", "odd \"%s\"\\\n\x01\xff end", "value");
	log_stop();
	line = json_loads(read_log(text, sizeof(text)), 0, NULL);
	cr_assert_not_null(line, "no JSON: %s", text);
	cr_assert_eq(strchr(text, '\n'), text + strlen(text) - 1);
	cr_assert_str_eq(member(line, "level"), "warn");
	cr_assert_str_eq(member(line, "vm"), "e1");
	cr_assert_str_eq(member(line, "step"), "start");
	cr_assert_str_eq(member(line, "peer"), "t1");
	cr_assert_not_null(strstr(member(line, "message"), "odd \"value\"\\"));
	cr_assert_gt(json_integer_value(json_object_get(line, "time_ms")), 0);
	json_decref(line);
}

Test(log, lower_levels_are_left_out)
{
	char text[4096];

	cr_assert_eq(log_start("e1", LOG_LEVEL_WARN), 0);
	log_info("start", "", "hidden");
	log_debug("start", "", "hidden");
	log_error("start", "", "shown");
	log_stop();
	read_log(text, sizeof(text));
	cr_assert_null(strstr(text, "hidden"));
	cr_assert_not_null(strstr(text, "shown"));
}

Test(log, long_message_is_cut)
{
	char text[8192], message[4000];
	json_t *line;

	memset(message, '"', sizeof(message) - 1);
	message[sizeof(message) - 1] = '\0';
	cr_assert_eq(log_start("e1", LOG_LEVEL_INFO), 0);
	log_info("start", "", "%s", message);
	log_stop();
	line = json_loads(read_log(text, sizeof(text)), 0, NULL);
	cr_assert_not_null(line, "no JSON: %s", text);
	json_decref(line);
}

Test(log, lines_are_bounded)
{
	static char text[1 << 20];
	int n = 0, i;
	char *at;

	cr_assert_eq(log_start("e1", LOG_LEVEL_INFO), 0);
	for (i = 0; i < 1000; i++)
		log_info("start", "t1", "refused");
	sleep(1);
	log_info("start", "t1", "later");
	log_stop();
	read_log(text, sizeof(text));
	for (at = text; (at = strstr(at, "refused")); at++)
		n++;
	cr_assert(n >= 200 && n <= 400, "%d lines", n);
	cr_assert_not_null(strstr(text, "lines were left out"));
	cr_assert_not_null(strstr(text, "later"));
}
