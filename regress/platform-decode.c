/* Every parser of the platform's messages, with valid and malformed input. */

#include <criterion/criterion.h>

#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"

static char error[PLATFORM_ERROR_MAX];

/* --- entries of targets ---------------------------------------------- */

static int parse_listing(struct sched_listing *l, const char *text)
{
	error[0] = '\0';
	return platform_parse_listing(l, "i-1", text, strlen(text), error);
}

#define ENTRY                                                                  \
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","       \
	"\"state\":\"%s\",\"capacity\":{\"cpu\":16000,\"taskMemoryMb\":32768," \
	"\"gpu\":2},\"labels\":[\"a\",\"r1-3\"],\"born\":1700000000123,"       \
	"\"sequence\":4}"

Test(listing, valid_entry_is_parsed)
{
	struct sched_listing l;
	char text[512];

	snprintf(text, sizeof(text), ENTRY, "ready");
	cr_assert_eq(parse_listing(&l, text), 0);
	cr_assert_str_eq(l.id, "i-1");
	cr_assert_str_eq(l.service, "s");
	cr_assert_str_eq(l.address, "10.0.0.1:80");
	cr_assert_str_eq(l.failure_domain, "z");
	cr_assert_eq(l.capacity.cpu, 16000);
	cr_assert_eq(l.capacity.memory, 32768);
	cr_assert_eq(l.capacity.accelerators, 2);
	cr_assert_eq(l.nlabels, 2);
	cr_assert_eq(l.incarnation, 1700000000123);
	cr_assert(l.ready);
	snprintf(text, sizeof(text), ENTRY, "draining");
	cr_assert_eq(parse_listing(&l, text), 0);
	cr_assert_not(l.ready);
}

Test(listing, malformed_entry_is_rejected)
{
	static const char *const bad[] = {
		"",
		"\xff\xfe\x00",
		"[]",
		"null",
		"17",
		"{}",
		"{\"service\":7,\"address\":\"10.0.0.1:1\",\"state\":\"ready\","
		"\"capacity\":{\"cpu\":1,\"taskMemoryMb\":1}}",
		"{\"service\":\"s\",\"state\":\"ready\","
		"\"capacity\":{\"cpu\":1,\"taskMemoryMb\":1}}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"state\":"
		"\"odd\","
		"\"capacity\":{\"cpu\":1,\"taskMemoryMb\":1}}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"state\":"
		"\"ready\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"state\":"
		"\"ready\","
		"\"capacity\":{\"cpu\":\"many\",\"taskMemoryMb\":1}}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"state\":"
		"\"ready\","
		"\"capacity\":{\"cpu\":-5,\"taskMemoryMb\":1}}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"state\":"
		"\"ready\","
		"\"capacity\":[16000]}",
	};
	struct sched_listing l;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		cr_assert_eq(parse_listing(&l, bad[i]), -1, "%s", bad[i]);
		cr_assert_neq(error[0], '\0', "%s", bad[i]);
	}
}

Test(listing, too_long_service_is_rejected)
{
	struct sched_listing l;
	char text[1024], name[200];

	memset(name, 'x', sizeof(name));
	name[sizeof(name) - 1] = '\0';
	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"10.0.0.1:1\",\"state\":"
		 "\"ready\","
		 "\"capacity\":{\"cpu\":1,\"taskMemoryMb\":1}}",
		 name);
	cr_assert_eq(parse_listing(&l, text), -1);
}

#define LEAVING                                                                \
	"{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"state\":\"%s\","      \
	"\"capacity\":{\"cpu\":1,\"taskMemoryMb\":1},\"remainingMs\":%s}"

/* Guards against a time of leaving that another writer has made up. */
Test(listing, the_time_that_a_target_stays_is_read_while_it_drains)
{
	static const struct {
		const char *state, *value;
		rp_ms stays;
	} cases[] = {
		{ "draining", "1800", 1800 }, { "draining", "0", 1 },
		{ "draining", "-7", 0 },      { "draining", "\"soon\"", 0 },
		{ "draining", "null", 0 },    { "ready", "1800", 0 },
	};
	struct sched_listing l;
	char text[512];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		snprintf(text, sizeof(text), LEAVING, cases[i].state,
			 cases[i].value);
		cr_assert_eq(parse_listing(&l, text), 0, "%s", text);
		cr_assert_eq(l.stays, cases[i].stays, "%s", text);
	}
}

/* --- rows of the store ----------------------------------------------- */

Test(rows, values_and_removals_are_parsed)
{
	const char *text = "{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":"
			   "\"k\","
			   "\"value\":\"bm9kZS0x\",\"recordVersion\":12},"
			   "{\"table\":\"t\",\"part\":\"\",\"key\":\"gone\","
			   "\"removed\":true,\"recordVersion\":13}],"
			   "\"hasMore\":true,\"recordVersion\":530,\"nowMs\":"
			   "5}";
	struct platform_rows rows;

	cr_assert_eq(platform_parse_rows(&rows, text, strlen(text), error), 0);
	cr_assert_eq(rows.n, 2);
	cr_assert_eq(rows.version, 530);
	cr_assert(rows.has_more);
	cr_assert_str_eq(rows.rows[0].key, "k");
	cr_assert_str_eq(rows.rows[0].value, "node-1");
	cr_assert_eq(rows.rows[0].version, 12);
	cr_assert_null(rows.rows[1].value);
	platform_rows_finish(&rows);
}

Test(rows, malformed_rows_are_left_out)
{
	const char *text = "{\"rows\":[1,{\"key\":7},{\"key\":\"k\"},"
			   "{\"key\":\"k\",\"value\":\"\"}],"
			   "\"recordVersion\":1}";
	struct platform_rows rows;

	cr_assert_eq(platform_parse_rows(&rows, text, strlen(text), error), 0);
	cr_assert_eq(rows.n, 1);
	cr_assert_eq(rows.rows[0].len, 0);
	platform_rows_finish(&rows);
}

Test(rows, reply_that_is_no_json_object_is_an_error)
{
	struct platform_rows rows;

	cr_assert_eq(platform_parse_rows(&rows, "{\"rows\":", 8, error), -1);
	platform_rows_finish(&rows);
	cr_assert_eq(platform_parse_rows(&rows, "", 0, error), -1);
	platform_rows_finish(&rows);
	cr_assert_eq(platform_parse_rows(&rows, "[]", 2, error), -1);
	platform_rows_finish(&rows);
}

Test(rows, write_is_conditional_on_version)
{
	char *body = platform_write_body("t", "k", str_of("node-1"), 7);

	cr_assert_not_null(strstr(body, "\"recordVersion\":7"));
	cr_assert_not_null(strstr(body, "\"value\":\"bm9kZS0x\""));
	free(body);
	body = platform_write_body("t", "k", str_of("x"), PLATFORM_ANY_VERSION);
	cr_assert_not_null(strstr(body, "\"expectedRevision\":[]"));
	free(body);
	body = platform_remove_body("t", "k");
	cr_assert_not_null(strstr(body, "\"remove\":[{"));
	free(body);
}

/* --- callers ---------------------------------------------------------- */

/*
 * Guards against a number that is cut to 32 bits, or a text of which the first
 * digits count.
 */
Test(callers, a_deadline_is_a_whole_number_of_ms)
{
	static const char *const bad[] = { "",	  "-1", "+1",	"1.5", "1s",
					   "1e3", " 1", "0x10", "soon" };
	rp_ms ms = -7;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		cr_assert_not(platform_parse_deadline(bad[i], &ms), "%s",
			      bad[i]);
		cr_assert_eq(ms, -7);
	}
	cr_assert(platform_parse_deadline("0", &ms));
	cr_assert_eq(ms, 0);
	cr_assert(platform_parse_deadline("39500", &ms));
	cr_assert_eq(ms, 39500);
	cr_assert(platform_parse_deadline("4294967301", &ms));
	cr_assert_eq(ms, UINT32_MAX);
	cr_assert(platform_parse_deadline("99999999999999999999999", &ms));
	cr_assert_eq(ms, UINT32_MAX);
}

/* --- the operator's routes ------------------------------------------- */

Test(routes, table_is_parsed_and_searched)
{
	const char *text =
		"{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"a.x\","
		"\"pathPrefix\":\"/p/\",\"timeoutMs\":1500,"
		"\"targetLatencyMs\":60,\"priority\":1,\"service\":\"s\","
		"\"maxAttempts\":4,\"stretch\":1.6},{\"name\":\"r2\","
		"\"host\":\"a.x\",\"pathPrefix\":\"/p/q/\",\"service\":\"s\"},"
		"{\"name\":\"half\"}],\"limits\":{\"maxBodyBytes\":99}}";
	struct pool_routes *r;
	const struct pool_route *route;

	error[0] = '\0';
	r = platform_parse_routes(text, strlen(text), error);
	cr_assert_not_null(r);
	cr_assert_neq(error[0], '\0',
		      "the third route lacks a path prefix and a service");
	cr_assert_eq(r->version, 7);
	cr_assert_eq(r->n, 2);
	cr_assert_eq(r->max_body, 99);
	route = pool_routes_find(r, "A.X:8080", "/p/17");
	cr_assert_str_eq(route->name, "r1");
	cr_assert_eq(route->timeout, 1500);
	cr_assert_eq(route->objective, 60);
	cr_assert_eq(route->max_attempts, 4);
	cr_assert_float_eq(route->stretch, 1.6, 1e-9);
	cr_assert_str_eq(pool_routes_find(r, "a.x", "/p/q/17")->name, "r2");
	cr_assert_null(pool_routes_find(r, "a.y", "/p/17"));
	cr_assert_null(pool_routes_find(r, "a.x", "/"));
	pool_routes_free(r);
}

/* Guards against a queue that is lost, or first, for a bad priority unnoticed.
 */
Test(routes, a_priority_of_another_type_is_reported_and_taken_for_0)
{
	static const struct {
		const char *value;
		unsigned priority;
		int reported;
	} cases[] = {
		{ "2", 2, 0 },	      { "1.0", 1, 0 },	{ "-1", 0, 1 },
		{ "\"high\"", 0, 1 }, { "null", 0, 1 }, { "1.5", 0, 1 },
		{ "1e30", 0, 1 },
	};
	struct pool_routes *r;
	char text[256];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		snprintf(text, sizeof(text),
			 "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":"
			 "\"a.x\",\"pathPrefix\":\"/p/\",\"service\":\"s\","
			 "\"priority\":%s}]}",
			 cases[i].value);
		error[0] = '\0';
		r = platform_parse_routes(text, strlen(text), error);
		cr_assert_eq(r->n, 1, "%s", text);
		cr_assert_eq(r->routes[0].priority, cases[i].priority, "%s",
			     text);
		cr_assert_eq(error[0] != '\0', cases[i].reported, "%s", text);
		pool_routes_free(r);
	}
}

Test(routes, malformed_table_is_rejected)
{
	static const char *const bad[] = { "", "{}", "{\"routes\":[]}",
					   "{\"version\":\"7\",\"routes\":[]}",
					   "{\"version\":7,\"routes\":{}}" };
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		error[0] = '\0';
		cr_assert_null(
			platform_parse_routes(bad[i], strlen(bad[i]), error));
		cr_assert_neq(error[0], '\0');
	}
}

/* --- replies of targets ---------------------------------------------- */

static enum sched_reply_status parse_reply(struct platform_reply *r,
					   long http_status, const char *text)
{
	platform_parse_reply(r, http_status, text, strlen(text));
	return r->reply.status;
}

Test(reply, runs_and_ends_are_parsed)
{
	const char *text = "{\"clockMs\":482113,\"born\":1700000000123,"
			   "\"running\":[[\"ab.0.1.17\",2,"
			   "\"x\",41]],"
			   "\"finished\":[[58,\"ab.0.1.9\",1,\"done\",\"\"],"
			   "[59,\"ab.0.1.8\",3,\"failed\",\"\"],"
			   "[60,\"ab.0.1.7\",1,\"lapsed\",\"\"]]}";
	struct platform_reply r;

	cr_assert_eq(parse_reply(&r, 200, text), SCHED_REPLY_OK);
	cr_assert_eq(r.reply.clock, 482113);
	cr_assert_eq(r.reply.incarnation, 1700000000123);
	cr_assert_eq(r.reply.nruns, 1);
	cr_assert_eq(r.reply.runs[0].run, 2);
	cr_assert_eq(r.reply.runs[0].percent, 41);
	cr_assert(str_eq(r.reply.runs[0].task, str_of("ab.0.1.17")));
	cr_assert_eq(r.reply.nends, 3);
	cr_assert_eq(r.reply.ends[0].how, SCHED_END_DONE);
	cr_assert_eq(r.reply.ends[1].how, SCHED_END_FAILED);
	cr_assert_eq(r.reply.ends[1].number, 59);
	cr_assert_eq(r.reply.ends[2].how, SCHED_END_STOPPED);
	cr_assert_eq(r.error[0], '\0');
	platform_reply_finish(&r);
}

Test(reply, status_follows_http_status_and_reason)
{
	struct platform_reply r;

	cr_assert_eq(parse_reply(&r, 409,
				 "{\"clockMs\":5,\"reason\":\"fence\"}"),
		     SCHED_REPLY_FENCED);
	platform_reply_finish(&r);
	cr_assert_eq(parse_reply(&r, 409,
				 "{\"clockMs\":5,\"reason\":\"room\"}"),
		     SCHED_REPLY_REFUSED);
	cr_assert_str_eq(r.reply.reason, "room");
	platform_reply_finish(&r);
	cr_assert_eq(parse_reply(&r, 409, "{\"clockMs\":5,\"reason\":\"old\"}"),
		     SCHED_REPLY_UNCERTAIN);
	platform_reply_finish(&r);
	cr_assert_eq(parse_reply(&r, 421, ""), SCHED_REPLY_WRONG_INCARNATION);
	platform_reply_finish(&r);
	cr_assert_eq(parse_reply(&r, 503, ""), SCHED_REPLY_REFUSED);
	platform_reply_finish(&r);
	cr_assert_eq(parse_reply(&r, 500, ""), SCHED_REPLY_UNKNOWN);
	platform_reply_finish(&r);
	cr_assert_eq(parse_reply(&r, 0, ""), SCHED_REPLY_UNKNOWN);
	platform_reply_finish(&r);
}

/* A malformed reply must not be taken for a reply without runs. */
Test(reply, malformed_reply_is_unknown)
{
	struct platform_reply r;

	cr_assert_eq(parse_reply(&r, 200, "{\"running\":"),
		     SCHED_REPLY_UNKNOWN);
	cr_assert_neq(r.error[0], '\0');
	platform_reply_finish(&r);
	cr_assert_eq(parse_reply(&r, 200,
				 "{\"clockMs\":1,\"running\":[[7]],"
				 "\"finished\":[]}"),
		     SCHED_REPLY_UNKNOWN);
	cr_assert_eq(r.reply.nruns, 0);
	cr_assert_neq(r.error[0], '\0');
	platform_reply_finish(&r);
}

/* --- jobs of callers ------------------------------------------------- */

static PoolSubmit *parse_job(const char *text, int *supported)
{
	error[0] = '\0';
	return platform_parse_job(text, strlen(text), supported, error);
}

Test(job, valid_job_is_parsed)
{
	const char *text =
		"{\"specification\":\"do \\\"it\\\"\",\"bestEffort\":true,"
		"\"steps\":[{\"count\":4,\"cpu\":500,\"taskMemoryMb\":256,"
		"\"estimatedMs\":900,\"affinity\":\"r1-3\"},{\"count\":2,"
		"\"cpu\":2000,\"gpu\":1,\"requirements\":\"a\",\"after\":[0],"
		"\"antiAffinity\":1}]}";
	int supported;
	PoolSubmit *sub = parse_job(text, &supported);

	cr_assert_not_null(sub);
	cr_assert(supported);
	cr_assert_eq(sub->n_steps, 2);
	cr_assert_eq(sub->specification.len, 7);
	cr_assert_eq(sub->steps[0]->tasks, 4);
	cr_assert_eq(sub->steps[0]->estimate_ms, 900);
	cr_assert_str_eq(sub->steps[0]->rack, "r1-3");
	cr_assert_eq(sub->steps[1]->after, 1);
	cr_assert_eq(sub->steps[1]->spread, 1);
	cr_assert_str_eq(sub->steps[1]->label, "a");
	cr_assert_eq(sub->steps[1]->accelerators, 1);
	pool_submit__free_unpacked(sub, NULL);
}

Test(job, unsupported_features_are_reported)
{
	static const char *const kinds[] = {
		"{\"longRunning\":true,\"steps\":[{\"count\":1}]}",
		"{\"bestEffort\":true,\"longRunning\":true,"
		"\"steps\":[{\"count\":1}]}",
		"{\"maxRuns\":2,\"steps\":[{\"count\":1}]}",
		"{\"bestEffort\":true,\"maxRuns\":2,\"steps\":[{\"count\":1}]}",
		"{\"bestEffort\":true,\"steps\":[{\"count\":1,\"gang\":true}]}",
		"{\"bestEffort\":true,"
		"\"steps\":[{\"count\":1,\"fills\":true}]}",
	};
	size_t i;

	for (i = 0; i < sizeof(kinds) / sizeof(*kinds); i++) {
		int supported = 1;
		PoolSubmit *sub = parse_job(kinds[i], &supported);

		cr_assert_not_null(sub, "%s", kinds[i]);
		cr_assert_not(supported, "%s", kinds[i]);
		pool_submit__free_unpacked(sub, NULL);
	}
}

Test(job, is_stored_unless_best_effort)
{
	int supported;
	PoolSubmit *sub = parse_job("{\"steps\":[{\"count\":1}]}", &supported);

	cr_assert(supported);
	cr_assert(sub->stored);
	pool_submit__free_unpacked(sub, NULL);
	sub = parse_job("{\"bestEffort\":true,\"steps\":[{\"count\":1}]}",
			&supported);
	cr_assert(supported);
	cr_assert_not(sub->stored);
	pool_submit__free_unpacked(sub, NULL);
}

Test(job, malformed_job_is_rejected)
{
	static const char *const bad[] = {
		"",
		"[]",
		"{}",
		"{\"steps\":[]}",
		"{\"steps\":[{}]}",
		"{\"steps\":[{\"count\":0}]}",
		"{\"steps\":[{\"count\":-3}]}",
		"{\"steps\":[{\"count\":99999999}]}",
		"{\"steps\":[{\"count\":1,\"after\":[0]}]}",
		"{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[1]}]}",
		"{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[-1]}]}",
		"{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[\"0\"]}]}",
	};
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		int supported;

		cr_assert_null(parse_job(bad[i], &supported), "%s", bad[i]);
		cr_assert_neq(error[0], '\0', "%s", bad[i]);
	}
}

Test(outcome, has_an_http_status)
{
	cr_assert_eq(platform_outcome_status(POOL_ANSWER__OUTCOME__COMPLETED),
		     200);
	cr_assert_eq(platform_outcome_status(POOL_ANSWER__OUTCOME__FAILED),
		     200);
	cr_assert_eq(platform_outcome_status(POOL_ANSWER__OUTCOME__REJECTED),
		     503);
	cr_assert_eq(platform_outcome_status(POOL_ANSWER__OUTCOME__INCOMPLETE),
		     504);
}
