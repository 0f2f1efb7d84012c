/* Rows of the store with keys or values of other writers. */

#include <criterion/criterion.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"

static char error[PLATFORM_ERROR_MAX];

/*
 * One such key made the whole reply unreadable: the table was not followed any
 * more.
 */
Test(odd_row, a_key_with_a_nul_leaves_the_others_readable)
{
	const char *text = "{\"rows\":[{\"key\":\"a\\u0000b\",\"value\":"
			   "\"bm9kZS0x\","
			   "\"recordVersion\":11},{\"key\":\"k\",\"value\":"
			   "\"bm9kZS0x\","
			   "\"recordVersion\":12}],\"hasMore\":true,"
			   "\"recordVersion\":530}";
	struct platform_rows rows;

	cr_assert_eq(platform_parse_rows(&rows, text, strlen(text), error), 0,
		     "%s", error);
	cr_assert_eq(rows.n, 1);
	cr_assert_str_eq(rows.rows[0].key, "k");
	platform_rows_finish(&rows);
}

/* Guards against a value of which the readable beginning is taken. */
Test(odd_row, a_value_that_is_no_base64_is_malformed)
{
	static const char *const values[] = { "bm9kZS0x!!", "bm9k ZS0x", "b",
					      "bm9kZS0x\\u0000" };
	struct platform_rows rows;
	char text[256];
	size_t i;

	for (i = 0; i < sizeof(values) / sizeof(*values); i++) {
		snprintf(text, sizeof(text),
			 "{\"rows\":[{\"key\":\"k\",\"value\":\"%s\"}]}",
			 values[i]);
		cr_assert_eq(platform_parse_rows(&rows, text, strlen(text),
						 error),
			     0);
		cr_assert_eq(rows.n, 1, "%s", text);
		cr_assert_not_null(rows.rows[0].value, "not a removal");
		cr_assert_eq(rows.rows[0].len, 0, "%s", text);
		platform_rows_finish(&rows);
	}
}

/*
 * Rows with keys of 128 bytes or more were left out. A page that ended with
 * many of them was read again and again.
 */
Test(odd_row, a_page_continues_from_a_long_key)
{
	char key[201], text[512];
	struct platform_rows rows;

	memset(key, 'k', sizeof(key));
	key[sizeof(key) - 1] = '\0';
	snprintf(text, sizeof(text),
		 "{\"rows\":[{\"key\":\"a\",\"value\":\"\"},{\"key\":\"%s\","
		 "\"value\":\"\"}],\"hasMore\":true,\"recordVersion\":1}",
		 key);
	cr_assert_eq(platform_parse_rows(&rows, text, strlen(text), error), 0);
	cr_assert_eq(rows.n, 2);
	cr_assert_str_eq(rows.rows[1].key, key);
	platform_rows_finish(&rows);
}

/* The request line was malformed, and the page could never be read. */
Test(odd_row, a_key_in_a_path_is_escaped)
{
	char *path = platform_rows_path("t", "", "a b&c=\xc3\xa9/%");

	cr_assert_str_eq(path, "/api/rows-get?table=t&part=&from="
			       "a%20b%26c%3D%C3%A9%2F%25");
	free(path);
}
