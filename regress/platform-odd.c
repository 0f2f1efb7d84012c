/*
 * Entries, rows and replies of other writers: nested deeply, with numbers out
 * of range, or with addresses that are none.
 */

#include <criterion/criterion.h>

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"
#include "pool-io.h"

static char error[PLATFORM_ERROR_MAX];

static int parse_listing(struct sched_listing *l, const char *text)
{
	error[0] = '\0';
	return platform_parse_listing(l, "i-1", text, strlen(text), error);
}

/* Parses a valid entry with one member replaced by the given text. */
static int parse_entry_with(struct sched_listing *l, const char *name,
			    const char *value)
{
	static const char *const members[][2] = {
		{ "service", "\"s\"" },
		{ "address", "\"10.0.0.1:80\"" },
		{ "zone", "\"z\"" },
		{ "state", "\"ready\"" },
		{ "capacity", "{\"cpu\":16000,\"taskMemoryMb\":32768}" },
		{ "labels", "[\"a\"]" },
		{ "born", "1700000000123" },
	};
	char text[1024] = "{\"sequence\":1";
	size_t i, len = strlen(text);

	for (i = 0; i < sizeof(members) / sizeof(*members); i++)
		len += (size_t)snprintf(text + len, sizeof(text) - len,
					",\"%s\":%s", members[i][0],
					strcmp(members[i][0], name) != 0
						? members[i][1]
						: value);
	snprintf(text + len, sizeof(text) - len, "}");
	return parse_listing(l, text);
}

/* --- addresses ---------------------------------------------------------- */

/*
 * The port was cut to 16 bits: the starts of tasks went to 10.0.0.1:4464, which
 * may be another target, and the leader's calls to another address.
 */
Test(odd_entry, an_address_that_is_none_names_no_target)
{
	static const char *const bad[] = {
		"\"10.0.0.1:70000\"",
		"\"10.0.0.1:65536\"",
		"\"10.0.0.1:-1\"",
		"\"10.0.0.1:0\"",
		"\"10.0.0.1:\"",
		"\"10.0.0.1\"",
		"\"10.0.0.1:80x\"",
		"\"10.0.0.1: 80\"",
		"\"10.0.0.1:+80\"",
		"\"10.0.0.1:4294967376\"",
		"\"10.0.0.1:18446744073709551696\"",
		"\"@10.0.0.1/x:80\"",
		"\"user@10.0.0.1:80\"",
		"\"10.0.0.1/x:80\"",
		"\"10.0.0:80\"",
		"\"10.0.0.256:80\"",
		"\"0.0.0.0:80\"",
		"\"a:80\"",
		"\":80\"",
		"8080",
	};
	struct sched_listing l;
	size_t i;

	cr_assert_eq(parse_entry_with(&l, "address", "\"10.0.0.1:1\""), 0);
	cr_assert_eq(parse_entry_with(&l, "address", "\"10.0.0.1:65535\""), 0);
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		cr_assert_eq(parse_entry_with(&l, "address", bad[i]), -1, "%s",
			     bad[i]);
		cr_assert_neq(error[0], '\0', "%s", bad[i]);
	}
}

/* Guards against calls that go to another port than the one given. */
Test(odd_entry, a_port_out_of_range_is_not_packed)
{
	char text[RP_ADDRESS_MAX];

	cr_assert_eq(pool_address_pack("10.0.0.1:70000"), 0);
	cr_assert_eq(pool_address_pack("10.0.0.1:0"), 0);
	cr_assert_eq(pool_address_pack("10.0.0.1:-1"), 0);
	pool_address_unpack(pool_address_pack("10.0.0.1:65535"), text);
	cr_assert_str_eq(text, "10.0.0.1:65535");
}

/* --- numbers ------------------------------------------------------------ */

/*
 * A capacity of 1e300 was cast out of range, and 2^63-1 was taken as that much
 * room, which sums over targets overflow.
 */
Test(odd_entry, a_capacity_out_of_range_names_no_target)
{
	static const char *const bad[] = {
		"{\"cpu\":1e300,\"taskMemoryMb\":1}",
		"{\"cpu\":9223372036854775807,\"taskMemoryMb\":1}",
		"{\"cpu\":2147483648,\"taskMemoryMb\":1}",
		"{\"cpu\":0.5,\"taskMemoryMb\":1}",
		"{\"cpu\":-1,\"taskMemoryMb\":1}",
		"{\"cpu\":1,\"taskMemoryMb\":1e300}",
		"{\"cpu\":1,\"taskMemoryMb\":9223372036854775807}",
		"{\"cpu\":1,\"taskMemoryMb\":1,\"gpu\":1e19}",
		"{\"cpu\":1,\"taskMemoryMb\":1,\"gpu\":null}",
		"{\"cpu\":true,\"taskMemoryMb\":1}",
	};
	struct sched_listing l;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		cr_assert_eq(parse_entry_with(&l, "capacity", bad[i]), -1, "%s",
			     bad[i]);
	cr_assert_eq(parse_entry_with(&l, "capacity",
				      "{\"cpu\":16000.0,\"taskMemoryMb\":1}"),
		     0);
	cr_assert_eq(l.capacity.cpu, 16000);
}

/*
 * The target of the entry counted as another incarnation, and as one without a
 * known incarnation if the value was not a number.
 */
Test(odd_entry, a_born_that_is_no_time_names_no_target)
{
	static const char *const bad[] = {
		"1e300",
		"9223372036854775807",
		"9007199254740993",
		"1700000000123.5",
		"-1",
		"0",
		"\"1700000000123\"",
		"null",
		"[]",
	};
	struct sched_listing l;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		cr_assert_eq(parse_entry_with(&l, "born", bad[i]), -1, "%s",
			     bad[i]);
}

/* The time is added to the present one, which overflowed. */
Test(odd_entry, a_time_of_leaving_out_of_range_is_not_known)
{
	struct sched_listing l;

	cr_assert_eq(parse_entry_with(&l, "state",
				      "\"draining\",\"remainingMs\":1e300"),
		     0);
	cr_assert_eq(l.stays, 0);
	cr_assert_eq(parse_entry_with(&l, "state",
				      "\"draining\",\"remainingMs\":"
				      "9223372036854775807"),
		     0);
	cr_assert_eq(l.stays, 0);
}

/* Numbers that the parser itself rejects. */
Test(odd_entry, a_number_that_is_no_double_is_rejected)
{
	struct sched_listing l;

	cr_assert_eq(parse_entry_with(&l, "born", "1e999"), -1);
	cr_assert_eq(parse_entry_with(&l, "born", "99999999999999999999"), -1);
}

/*
 * A label was cut to the longest one that is kept, and a domain that is too
 * long was taken for none, which no evacuation reaches.
 */
Test(odd_entry, a_label_or_domain_of_another_form_names_no_target)
{
	char text[256], name[100];
	struct sched_listing l;

	memset(name, 'x', sizeof(name));
	name[sizeof(name) - 1] = '\0';
	snprintf(text, sizeof(text), "[\"a\",\"%s\"]", name);
	cr_assert_eq(parse_entry_with(&l, "labels", text), -1);
	cr_assert_eq(parse_entry_with(&l, "labels", "\"a\""), -1);
	cr_assert_eq(parse_entry_with(&l, "labels", "[7]"), -1);
	snprintf(text, sizeof(text), "\"%s\"", name);
	cr_assert_eq(parse_entry_with(&l, "zone", text), -1);
	cr_assert_eq(parse_entry_with(&l, "zone", "7"), -1);
}
