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
				      "{\"cpu\":16000.6,\"taskMemoryMb\":1}"),
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

/* --- nesting ------------------------------------------------------------ */

/* Returns text with a list nested so deeply. The caller frees it. */
static char *nest(size_t depth)
{
	char *text = malloc(2 * depth + 1);

	memset(text, '[', depth);
	memset(text + depth, ']', depth);
	text[2 * depth] = '\0';
	return text;
}

static int parse_nested_entry(size_t depth)
{
	char *list = nest(depth), *text = malloc(2 * depth + 256);
	struct sched_listing l;
	int rc;

	sprintf(text,
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":"
		"\"z\",\"state\":\"ready\",\"capacity\":{\"cpu\":1,"
		"\"taskMemoryMb\":1},\"version\":%s}",
		list);
	rc = parse_listing(&l, text);
	free(list);
	free(text);
	return rc;
}

static void *parse_deep_entries(void *ok)
{
	*(int *)ok = parse_nested_entry(2000) == -1 &&
		     parse_nested_entry(100000) == -1 &&
		     parse_nested_entry(64) == -1 && parse_nested_entry(4) == 0;
	return NULL;
}

/* Runs a function that sets an int, and returns it. */
static int run_with_little_stack(void *(*function)(void *ok))
{
	pthread_attr_t attr;
	pthread_t thread;
	int ok = 0;

	pthread_attr_init(&attr);
	cr_assert_eq(pthread_attr_setstacksize(&attr, 128 * 1024), 0);
	cr_assert_eq(pthread_create(&thread, &attr, function, &ok), 0);
	pthread_join(thread, NULL);
	pthread_attr_destroy(&attr);
	return ok;
}

/*
 * The JSON library reads 2,000 levels, for which it takes 130 to 190 kB of
 * stack. With less, the process ended, and again whenever it read the entry.
 */
Test(odd_entry, a_deeply_nested_entry_takes_little_stack)
{
	cr_assert(run_with_little_stack(parse_deep_entries));
}

/* Guards against brackets in strings that count as levels. */
Test(odd_entry, brackets_in_strings_are_not_levels)
{
	struct sched_listing l;

	cr_assert_eq(parse_entry_with(&l, "service",
				      "\"\\\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["
				      "[[[[[[[[[\""),
		     0);
}

/* Guards against a reader that ends on any of the texts of other writers. */
static void *parse_deep_others(void *ok)
{
	char *list = nest(2000);
	char *text = malloc(5000);
	struct platform_reply r;
	int supported;

	sprintf(text, "{\"steps\":[{\"count\":1,\"after\":%s}]}", list);
	*(int *)ok = !platform_parse_job(text, strlen(text), &supported, error);
	sprintf(text, "{\"version\":1,\"routes\":%s}", list);
	*(int *)ok &= !platform_parse_routes(text, strlen(text), error);
	sprintf(text, "{\"a\":%s}", list);
	*(int *)ok &= !platform_evacuation_is_valid(text, strlen(text));
	sprintf(text, "{\"clockMs\":1,\"running\":%s}", list);
	platform_parse_reply(&r, 200, text, strlen(text));
	*(int *)ok &= r.reply.status == SCHED_REPLY_UNKNOWN;
	platform_reply_finish(&r);
	free(list);
	free(text);
	return NULL;
}

Test(odd_text, deep_nesting_takes_little_stack)
{
	cr_assert(run_with_little_stack(parse_deep_others));
}

/* --- replies of targets ------------------------------------------------- */

static enum sched_reply_status reply_status(const char *text)
{
	enum sched_reply_status status;
	struct platform_reply r;

	platform_parse_reply(&r, 200, text, strlen(text));
	status = r.reply.status;
	cr_assert_eq(status != SCHED_REPLY_OK, r.error[0] != '\0', "%s", text);
	platform_reply_finish(&r);
	return status;
}

/*
 * A run number was cut to 32 bits and taken for another run, an end number of
 * -1 hid all later ends, and a clock of 2^63-1 overflowed in the lease.
 */
Test(odd_reply, a_number_out_of_range_is_malformed)
{
	static const char *const bad[] = {
		"{\"clockMs\":9223372036854775807}",
		"{\"clockMs\":-5}",
		"{\"clockMs\":1e300}",
		"{\"clockMs\":4.5}",
		"{\"clockMs\":\"5\"}",
		"{\"clockMs\":5,\"born\":-1}",
		"{\"clockMs\":5,\"born\":1e300}",
		"{\"clockMs\":5,\"born\":\"1700000000123\"}",
		"{\"clockMs\":5,\"running\":[[\"a.0.0.0\",4294967301,\"\",1]]}",
		"{\"clockMs\":5,\"running\":[[\"a.0.0.0\",1e300,\"\",1]]}",
		"{\"clockMs\":5,\"running\":[[\"a.0.0.0\",-1,\"\",1]]}",
		"{\"clockMs\":5,\"running\":[[\"a.0.0.0\",0,\"\",1]]}",
		"{\"clockMs\":5,\"running\":[[\"a.0.0.0\"]]}",
		"{\"clockMs\":5,\"running\":{\"a.0.0.0\":1}}",
		"{\"clockMs\":5,\"finished\":[[-1,\"a.0.0.0\",1,\"done\",\"\"]]"
		"}",
		"{\"clockMs\":5,\"finished\":[[1e300,\"a.0.0.0\",1,\"done\","
		"\"\"]"
		"]}",
		"{\"clockMs\":5,\"finished\":[[1,\"a.0.0.0\",4294967297,"
		"\"done\",\"\"]]}",
		"{\"clockMs\":5,\"finished\":7}",
	};
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		cr_assert_eq(reply_status(bad[i]), SCHED_REPLY_UNKNOWN, "%s",
			     bad[i]);
	cr_assert_eq(reply_status("{\"clockMs\":5.0,\"born\":6,\"running\":[[\""
				  "a.0.0.0\",4294967295,\"\",1]]}"),
		     SCHED_REPLY_OK);
}

/* It only tells how far a run is, so the rest of the reply holds. */
Test(odd_reply, a_percentage_is_0_to_100)
{
	static const struct {
		const char *text;
		int percent;
	} cases[] = { { "41", 41 },   { "41.7", 41 },	   { "-3", 0 },
		      { "1e300", 0 }, { "2147483653", 0 }, { "\"x\"", 0 } };
	struct platform_reply r;
	char text[128];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		snprintf(text, sizeof(text),
			 "{\"clockMs\":5,\"running\":[[\"a.0.0.0\",1,\"\",%s]]"
			 "}",
			 cases[i].text);
		platform_parse_reply(&r, 200, text, strlen(text));
		cr_assert_eq(r.reply.status, SCHED_REPLY_OK, "%s", text);
		cr_assert_eq(r.reply.runs[0].percent, cases[i].percent, "%s",
			     text);
		platform_reply_finish(&r);
	}
}

/* --- the operator's table ----------------------------------------------- */

/* Parses a table with a valid route and one with the members. */
static struct pool_routes *parse_routes(const char *members, const char *limits)
{
	char text[1024];

	snprintf(text, sizeof(text),
		 "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"h\","
		 "\"pathPrefix\":\"/p/\",\"service\":\"s\"},{\"name\":\"r2\","
		 "\"host\":\"h\",\"pathPrefix\":\"/q/\",\"service\":\"s\"%s}],"
		 "\"limits\":%s}",
		 members, limits);
	error[0] = '\0';
	return platform_parse_routes(text, strlen(text), error);
}

/*
 * Numbers were cast out of range or cut to 32 bits: a timeout of 2^32+5 ms gave
 * callers 5 ms. The default is taken, and the fault is reported.
 */
Test(odd_table, a_number_out_of_range_is_reported)
{
	static const char *const bad[] = {
		",\"maxAttempts\":1e300",    ",\"maxAttempts\":-1",
		",\"maxAttempts\":2.5",	     ",\"maxAttempts\":4294967297",
		",\"stretch\":1e300",	     ",\"stretch\":-1",
		",\"stretch\":\"2\"",	     ",\"targetLatencyMs\":1e300",
		",\"targetLatencyMs\":-1",   ",\"targetLatencyMs\":4294967301",
		",\"timeoutMs\":1e300",	     ",\"timeoutMs\":-5",
		",\"timeoutMs\":4294967301",
	};
	struct pool_routes *r;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		r = parse_routes(bad[i], "{}");
		cr_assert_not_null(r);
		cr_assert_eq(r->n, 2, "%s", bad[i]);
		cr_assert_neq(error[0], '\0', "%s", bad[i]);
		cr_assert_eq(r->routes[1].max_attempts, 1, "%s", bad[i]);
		cr_assert_float_eq(r->routes[1].stretch, 1, 1e-9, "%s", bad[i]);
		cr_assert_eq(r->routes[1].objective, 0, "%s", bad[i]);
		cr_assert_eq(r->routes[1].timeout, 30000, "%s", bad[i]);
		pool_routes_free(r);
	}
	r = parse_routes("", "{\"maxBodyBytes\":1e300}");
	cr_assert_eq(r->max_body, 1 << 20);
	cr_assert_neq(error[0], '\0');
	pool_routes_free(r);
	r = parse_routes("", "{\"maxBodyBytes\":-1}");
	cr_assert_eq(r->max_body, 1 << 20);
	pool_routes_free(r);
}

/* A prefix was cut, and then matched other paths; a service named another. */
Test(odd_table, a_route_with_a_name_that_is_too_long_is_left_out)
{
	static const char *const names[] = { "name", "host", "pathPrefix",
					     "service" };
	char text[512], name[200];
	size_t i;

	memset(name, 'x', sizeof(name));
	name[sizeof(name) - 1] = '\0';
	for (i = 0; i < 4; i++) {
		struct pool_routes *r;

		snprintf(text, sizeof(text), ",\"%s\":\"%s\"", names[i], name);
		r = parse_routes(text, "{}");
		cr_assert_eq(r->n, 1, "%s", names[i]);
		cr_assert_str_eq(r->routes[0].name, "r1");
		cr_assert_neq(error[0], '\0', "%s", names[i]);
		pool_routes_free(r);
	}
}
