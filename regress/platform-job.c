/* Submissions with members of another type or out of range. */

#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "platform/platform.h"

/* Returns 1 if the job is served, 0 if it is of a kind that is not, or -1. */
static int parse_step_with(const char *member)
{
	char text[512], error[PLATFORM_ERROR_MAX];
	int supported = 0;
	PoolSubmit *sub;

	snprintf(text, sizeof(text),
		 "{\"bestEffort\":true,\"steps\":[{\"count\":1%s}]}", member);
	sub = platform_parse_job(text, strlen(text), &supported, error);
	if (!sub)
		return -1;
	pool_submit__free_unpacked(sub, NULL);
	return supported;
}

/*
 * A resource that was not a number was taken for none, so that the task went to
 * a target without room for it, or without the label that it requires.
 */
Test(odd_job, a_need_of_another_form_is_malformed)
{
	static const char *const bad[] = {
		",\"cpu\":\"500\"",
		",\"cpu\":-500",
		",\"cpu\":1e300",
		",\"cpu\":9223372036854775807",
		",\"cpu\":null",
		",\"taskMemoryMb\":[256]",
		",\"taskMemoryMb\":1e10",
		",\"gpu\":true",
		",\"gpu\":-1",
		",\"estimatedMs\":1e300",
		",\"antiAffinity\":-1",
		",\"antiAffinity\":\"1\"",
		",\"requirements\":7",
		",\"requirements\":[\"a\"]",
		",\"affinity\":7",
		",\"after\":0",
	};
	size_t i;

	cr_assert_eq(parse_step_with(",\"cpu\":500.5,\"requirements\":\"a\""),
		     1);
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		cr_assert_eq(parse_step_with(bad[i]), -1, "%s", bad[i]);
}

/* The label was cut, and then another one of a target could match it. */
Test(odd_job, a_label_that_is_too_long_is_malformed)
{
	char label[100], member[200];

	memset(label, 'x', sizeof(label));
	label[sizeof(label) - 1] = '\0';
	snprintf(member, sizeof(member), ",\"requirements\":\"%s\"", label);
	cr_assert_eq(parse_step_with(member), -1);
	snprintf(member, sizeof(member), ",\"affinity\":\"%s\"", label);
	cr_assert_eq(parse_step_with(member), -1);
}

/* Guards against a gang that is run as single tasks. */
Test(odd_job, a_flag_of_another_type_counts_as_set)
{
	cr_assert_eq(parse_step_with(",\"gang\":1"), 0);
	cr_assert_eq(parse_step_with(",\"gang\":\"true\""), 0);
	cr_assert_eq(parse_step_with(",\"gang\":false"), 1);
	cr_assert_eq(parse_step_with(",\"gang\":null"), 1);
}

/* Guards against a job that runs without its specification. */
Test(odd_job, a_specification_of_another_type_is_malformed)
{
	const char *text = "{\"specification\":7,\"steps\":[{\"count\":1}]}";
	char error[PLATFORM_ERROR_MAX];
	int supported;

	cr_assert_null(
		platform_parse_job(text, strlen(text), &supported, error));
}

/*
 * A body of numbers only, of legal size, took 20 times its size in memory, and
 * the time to parse it.
 */
Test(odd_job, a_job_of_too_many_values_is_malformed)
{
	static char text[262144];
	char error[PLATFORM_ERROR_MAX] = "";
	int supported = 0, i, n = 0;

	n += sprintf(text, "{\"steps\":[{\"count\":1}],\"numbers\":[0");
	for (i = 0; i < 16384; i++)
		n += sprintf(text + n, ",0");
	n += sprintf(text + n, "]}");
	cr_assert_null(platform_parse_job(text, (size_t)n, &supported, error));
	cr_assert_str_eq(error, "more than 16384 values");
}

/* Commas in texts are not counted: a specification may have any. */
Test(odd_job, a_specification_may_have_many_commas)
{
	static char text[65536];
	char error[PLATFORM_ERROR_MAX] = "";
	PoolSubmit *sub;
	int supported = 0, n = 0;

	n += sprintf(text, "{\"steps\":[{\"count\":1}],\"specification\":\"");
	memset(text + n, ',', 20000);
	n += 20000;
	n += sprintf(text + n, "\"}");
	sub = platform_parse_job(text, (size_t)n, &supported, error);
	cr_assert_not_null(sub);
	cr_assert_eq(sub->specification.len, 20000);
	pool_submit__free_unpacked(sub, NULL);
}
