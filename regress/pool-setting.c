/* Settings of an entry VM as the platform states them. */

#include <criterion/criterion.h>
#include <criterion/redirect.h>
#include <string.h>

#include "pool.h"

static struct pool_settings set;

/* Loads the settings with one flag beside those that are required. */
static int load(const char *flag)
{
	char text[64];
	char *argv[] = { "rosemary-poold",
			 "--vm-name=vm0",
			 "--failure-domain=z",
			 "--listen=127.0.0.1:1",
			 "--ready-listen=127.0.0.1:2",
			 "--link=127.0.0.1:3",
			 "--store=127.0.0.1:4",
			 text,
			 NULL };

	snprintf(text, sizeof(text), "%s", flag);
	return pool_settings_load(&set, 8, argv);
}

/*
 * Guards against a process that does not start, or that waits for another time
 * than stated, where a bound is a fraction.
 */
Test(pool_setting, times_may_be_fractions_and_seconds)
{
	cr_assert_eq(load("--grace=6s"), 0);
	cr_assert_eq(set.grace, 6000);
	cr_assert_eq(load("--grace=1.5s"), 0);
	cr_assert_eq(set.grace, 1500);
	cr_assert_eq(load("--status=0.25s"), 0);
	cr_assert_eq(set.ended_retention, 250);
	cr_assert_eq(load("--lease=1000"), 0);
	cr_assert_eq(set.max_lease, 1000);
	cr_assert_eq(load("--lease=1000.0"), 0);
	cr_assert_eq(set.max_lease, 1000);
}

/* An argument that is not valid ends the process. */
static void reject(const char *flag)
{
	cr_redirect_stderr();
	load(flag);
	exit(0);
}

Test(pool_setting, a_negative_time_is_rejected, .exit_code = 2)
{
	reject("--grace=-1s");
}

Test(pool_setting, a_unit_alone_is_rejected, .exit_code = 2)
{
	reject("--grace=s");
}

Test(pool_setting, another_unit_is_rejected, .exit_code = 2)
{
	reject("--grace=6m");
}

Test(pool_setting, a_time_that_is_not_a_number_is_rejected, .exit_code = 2)
{
	reject("--grace=nan");
}
