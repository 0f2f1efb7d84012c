/* Parses valid bodies; rejects invalid ones with an error naming the field. */

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"

static struct settings set;
static struct daemon d = { .settings = &set };
static struct rp_status st;
static int http_status;

static void init(void)
{
	set.default_timeout = 30000;
	set.kernel.max_timeout = 600000;
}

static struct rp_submission *parse_bytes(const char *body, size_t len,
					 const char *own_key, int is_request)
{
	struct http_request r = { .d = &d, .len = len };
	struct rp_submission *sub;

	r.body = malloc(len + 1);
	memcpy(r.body, body, len);
	http_status = 0;
	sub = http_parse_submission(&r, own_key, is_request, &st, &http_status);
	free(r.body);
	return sub;
}

static struct rp_submission *parse(const char *body, int is_request)
{
	return parse_bytes(body, strlen(body), NULL, is_request);
}

/* Checks that the body is rejected with a message that begins with message. */
static void check_rejected(const char *body, int is_request,
			   const char *message)
{
	struct rp_submission *sub = parse(body, is_request);

	cr_assert_null(sub, "accepted: %s", body);
	cr_assert_eq(http_status, 400, "HTTP %d for %s", http_status, body);
	cr_assert_eq(st.code, RP_E_INPUT);
	cr_assert_eq(st.step, RP_STEP_PARSE);
	cr_assert_eq(strncmp(st.message, message, strlen(message)), 0,
		     "message is \"%s\", not \"%s\"", st.message, message);
}

TestSuite(parse, .init = init, .timeout = 30);

Test(parse, valid_job)
{
	struct rp_submission *sub = parse("{\"key\":\"k1\",\"service\":"
					  "\"desk\",\"team\":\"board\","
					  "\"timeout_ms\":5000,\"tasks\":["
					  "{\"id\":\"a\",\"payload\":"
					  "\"x\\u0000y\"},"
					  "{\"id\":\"b\",\"payload\":"
					  "\"\\u20ac\"}]}",
					  0);

	cr_assert_not_null(sub, "%s", st.message);
	cr_assert_eq(sub->ntasks, 2);
	cr_assert_eq(sub->timeout, 5000);
	cr_assert_eq(sub->key_is_callers, 0);
	cr_assert_eq(sub->tasks[0].payload.len, 3);
	cr_assert_arr_eq(sub->tasks[0].payload.ptr, "x\0y", 3);
	cr_assert_eq(sub->tasks[1].payload.len, 3);
	rp_submission_unref(sub);
}

Test(parse, valid_request_with_own_key)
{
	static const char body[] = "{\"service\":\"desk\",\"team\":\"b\","
				   "\"idempotent\":true,\"payload\":\"\"}";
	struct rp_submission *sub = parse_bytes(body, strlen(body), "mine", 1);

	cr_assert_not_null(sub, "%s", st.message);
	cr_assert_eq(sub->key_is_callers, 1);
	cr_assert_eq(sub->is_request, 1);
	cr_assert_eq(sub->idempotent, 1);
	cr_assert_eq(sub->timeout, 30000);
	cr_assert_eq(sub->ntasks, 1);
	rp_submission_unref(sub);
}

#define HEAD "\"key\":\"k\",\"service\":\"s\",\"team\":\"t\""
#define TASKS ",\"tasks\":[{\"id\":\"a\",\"payload\":\"\"}]"

Test(parse, invalid_jobs)
{
	static const struct {
		const char *body;
		const char *message;
	} cases[] = {
		{ "", "body: malformed" },
		{ "{", "body: malformed" },
		{ "nonsense", "body: malformed" },
		{ "{\"key\":\"k\",\"key\":\"l\"}", "body: malformed" },
		{ "{\"key\":\"\xff\xfe\"}", "body: malformed" },
		{ "{" HEAD TASKS "} x", "body: malformed" },
		{ "{" HEAD ",\"timeout_ms\":99999999999999999999" TASKS "}",
		  "body: malformed" },
		{ "[]", "body: want" },
		{ "7", "body: malformed" },
		{ "{" HEAD TASKS ",\"tiemout_ms\":1}", "tiemout_ms: unknown" },
		{ "{" HEAD TASKS ",\"idempotent\":true}", "idempotent: "
							  "unknown" },
		{ "{" HEAD TASKS ",\"payload\":\"\"}", "payload: unknown" },
		{ "{\"service\":\"s\",\"team\":\"t\"" TASKS "}", "key: want" },
		{ "{\"key\":7,\"service\":\"s\"" TASKS "}", "key: want" },
		{ "{\"key\":\"a b\",\"service\":\"s\"" TASKS "}", "key: want" },
		{ "{\"key\":\"\",\"service\":\"s\"" TASKS "}", "key: want" },
		{ "{\"key\":\"k\",\"team\":\"t\"" TASKS "}", "service: want" },
		{ "{\"key\":\"k\",\"service\":null" TASKS "}", "service: "
							       "want" },
		{ "{\"key\":\"k\",\"service\":\"a\\u0000b\",\"team\":"
		  "\"t\"" TASKS "}",
		  "service: want" },
		{ "{\"key\":\"k\",\"service\":\"s\"" TASKS "}", "team: want" },
		{ "{" HEAD ",\"timeout_ms\":0" TASKS "}", "timeout_ms: want" },
		{ "{" HEAD ",\"timeout_ms\":-5" TASKS "}", "timeout_ms: want" },
		{ "{" HEAD ",\"timeout_ms\":1.5" TASKS "}", "timeout_ms: "
							    "want" },
		{ "{" HEAD ",\"timeout_ms\":\"5\"" TASKS "}", "timeout_ms: "
							      "want" },
		{ "{" HEAD ",\"timeout_ms\":600001" TASKS "}", "timeout_ms: "
							       "want" },
		{ "{" HEAD "}", "tasks: want" },
		{ "{" HEAD ",\"tasks\":{}}", "tasks: want" },
		{ "{" HEAD ",\"tasks\":[]}", "tasks: want" },
		{ "{" HEAD ",\"tasks\":[7]}", "tasks: want" },
		{ "{" HEAD ",\"tasks\":[{\"id\":\"a\"}]}", "tasks.payload" },
		{ "{" HEAD ",\"tasks\":[{\"payload\":\"a\"}]}", "tasks.id" },
		{ "{" HEAD ",\"tasks\":[{\"id\":1,\"payload\":\"a\"}]}", "tasks"
									 ".i"
									 "d" },
		{ "{" HEAD ",\"tasks\":[{\"id\":\"\",\"payload\":\"a\"}]}",
		  "tasks.id" },
		{ "{" HEAD ",\"tasks\":[{\"id\":\"a\",\"payload\":{}}]}", "task"
									  "s."
									  "payl"
									  "oa"
									  "d" },
		{ "{" HEAD ",\"tasks\":[{\"id\":\"a\",\"payload\":\"\","
		  "\"x\":1}]}",
		  "tasks.x: unknown" },
		{ "{" HEAD ",\"tasks\":[{\"id\":\"a\",\"payload\":\"\"},"
		  "{\"id\":\"b\",\"payload\":\"\"},"
		  "{\"id\":\"a\",\"payload\":\"\"}]}",
		  "tasks.id: two tasks" },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		check_rejected(cases[i].body, 0, cases[i].message);
}

Test(parse, invalid_requests)
{
	check_rejected("{" HEAD "}", 1, "payload: want");
	check_rejected("{" HEAD ",\"payload\":1}", 1, "payload: want");
	check_rejected("{" HEAD ",\"payload\":\"\",\"idempotent\":1}", 1,
		       "idempotent: want");
	check_rejected("{" HEAD ",\"payload\":\"\",\"idempotent\":null}", 1,
		       "idempotent: want");
	check_rejected("{" HEAD TASKS "}", 1, "tasks: unknown");
}

Test(parse, key_in_body_and_header)
{
	static const char body[] = "{" HEAD TASKS "}";

	cr_assert_null(parse_bytes(body, strlen(body), "mine", 0));
	cr_assert_eq(http_status, 400);
}

Test(parse, too_long_key_is_rejected)
{
	static const char body[] = "{\"service\":\"s\",\"team\":\"t\"" TASKS
				   "}";
	char key[RP_KEY_MAX + 1];

	memset(key, 'k', sizeof(key));
	key[RP_KEY_MAX] = '\0';
	cr_assert_null(parse_bytes(body, strlen(body), key, 0));
	cr_assert_eq(strncmp(st.message, "Idempotency-Key: ", 17), 0);
}

/* Every truncated body is rejected without a read past its end. */
Test(parse, every_prefix_is_rejected)
{
	static const char body[] = "{" HEAD ",\"timeout_ms\":10" TASKS "}";
	size_t n;

	for (n = 0; n < strlen(body); n++)
		cr_assert_null(parse_bytes(body, n, NULL, 0), "%zu bytes", n);
	check_rejected("{" HEAD ",\"timeout_ms\":\"\\ud800\"" TASKS "}", 0,
		       "body: malformed");
}

/* Returns the allocated body of a job with ntasks tasks. */
static char *make_job(int ntasks)
{
	size_t max = (size_t)ntasks * 40 + 200;
	char *body = malloc(max);
	size_t at = (size_t)snprintf(body, max, "{" HEAD ",\"tasks\":[");
	int i;

	for (i = 0; i < ntasks; i++)
		at += (size_t)snprintf(body + at, max - at,
				       "%s{\"id\":\"%d\",\"payload\":\"\"}",
				       i ? "," : "", i);
	snprintf(body + at, max - at, "]}");
	return body;
}

Test(parse, number_of_tasks_is_bounded)
{
	char *body = make_job(RP_TASKS_MAX);
	struct rp_submission *sub = parse(body, 0);

	cr_assert_not_null(sub);
	cr_assert_eq(sub->ntasks, RP_TASKS_MAX);
	rp_submission_unref(sub);
	free(body);
	body = make_job(RP_TASKS_MAX + 1);
	cr_assert_null(parse(body, 0));
	cr_assert_eq(http_status, 413);
	cr_assert_eq(strncmp(st.message, "tasks: ", 7), 0);
	free(body);
}

Test(parse, deep_nesting_is_rejected)
{
	char body[20001];

	memset(body, '[', sizeof(body) - 1);
	body[sizeof(body) - 1] = '\0';
	check_rejected(body, 0, "body: malformed");
}

/* --- edits ------------------------------------------------------------- */

static int parse_edit(const char *body, struct http_edit *edit)
{
	struct http_request r = { .d = &d, .len = strlen(body) };

	memset(edit, 0, sizeof(*edit));
	r.body = (char *)body;
	return http_parse_edit(&r, edit, &st);
}

Test(parse, valid_edit)
{
	struct http_edit e;

	cr_assert_eq(parse_edit("{\"edit_id\":\"e1\",\"base_version\":7,"
				"\"cells\":["
				"{\"kind\":\"target\",\"row\":\"desk\","
				"\"col\":\"*\",\"weight\":0,\"limit\":null},"
				"{\"kind\":\"team\",\"row\":\"\",\"col\":\"b\","
				"\"limit\":5}]}",
				&e),
		     0, "%s", st.message);
	cr_assert_eq(e.ncells, 2);
	cr_assert_eq(e.base_version, 7);
	cr_assert_eq(e.cells[0].weight, 0);
	cr_assert_eq(e.cells[0].limit, RP_CELL_UNSET);
	cr_assert_eq(e.cells[1].kind, RP_CELL_TEAM);
	cr_assert_eq(e.cells[1].limit, 5);
	free(e.cells);
}

Test(parse, invalid_edits)
{
	static const struct {
		const char *body;
		const char *message;
	} cases[] = {
		{ "{}", "edit_id: want" },
		{ "{\"edit_id\":\"e\"}", "base_version: want" },
		{ "{\"edit_id\":\"e\",\"base_version\":-1}", "base_version: "
							     "want" },
		{ "{\"edit_id\":\"e\",\"base_version\":1}", "cells: want" },
		{ "{\"edit_id\":\"e\",\"base_version\":1,\"cells\":[]}", "cells"
									 ": "
									 "wan"
									 "t" },
		{ "{\"edit_id\":\"e\",\"base_version\":1,\"cells\":[1]}", "cell"
									  "s: "
									  "wan"
									  "t" },
		{ "{\"edit_id\":\"e\",\"base_version\":1,\"cells\":"
		  "[{\"kind\":\"x\"}]}",
		  "cells.kind" },
		{ "{\"edit_id\":\"e\",\"base_version\":1,\"cells\":"
		  "[{\"kind\":\"target\",\"row\":\"\",\"col\":\"t\"}]}",
		  "cells.row" },
		{ "{\"edit_id\":\"e\",\"base_version\":1,\"cells\":"
		  "[{\"kind\":\"team\",\"row\":\"x\",\"col\":\"t\"}]}",
		  "cells.row" },
		{ "{\"edit_id\":\"e\",\"base_version\":1,\"cells\":"
		  "[{\"kind\":\"team\",\"row\":\"\"}]}",
		  "cells.col" },
		{ "{\"edit_id\":\"e\",\"base_version\":1,\"cells\":"
		  "[{\"kind\":\"team\",\"col\":\"t\",\"weight\":10001}]}",
		  "cells.weight" },
		{ "{\"edit_id\":\"e\",\"base_version\":1,\"cells\":"
		  "[{\"kind\":\"team\",\"col\":\"t\",\"limit\":-1}]}",
		  "cells.limit" },
	};
	struct http_edit e;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		cr_assert_eq(parse_edit(cases[i].body, &e), -1);
		cr_assert_eq(strncmp(st.message, cases[i].message,
				     strlen(cases[i].message)),
			     0, "\"%s\" for %s", st.message, cases[i].body);
		free(e.cells);
	}
}

Test(parse, base64)
{
	static const struct {
		const char *in, *out;
	} cases[] = {
		{ "", "" },
		{ "f", "Zg==" },
		{ "fo", "Zm8=" },
		{ "foo", "Zm9v" },
		{ "\xff\xfe\xfd\xfc", "//79/A==" },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		char *text = http_base64(cases[i].in, strlen(cases[i].in));

		cr_assert_str_eq(text, cases[i].out);
		free(text);
	}
}

/* A body with random changes is parsed, or rejected with a named field. */
Test(parse, random_changes_are_handled)
{
	static const char good[] = "{" HEAD ",\"timeout_ms\":1000,\"tasks\":["
				   "{\"id\":\"a\",\"payload\":\"\\u0001x\"},"
				   "{\"id\":\"b\",\"payload\":\"\"}]}";
	char body[sizeof(good)];
	unsigned int seed = 7;
	int accepted = 0, i, k;

	for (i = 0; i < 20000; i++) {
		struct rp_submission *sub;

		memcpy(body, good, sizeof(body));
		for (k = 0; k <= i % 4; k++)
			body[(size_t)rand_r(&seed) % (sizeof(body) - 1)] =
				(char)rand_r(&seed);
		sub = parse_bytes(body, sizeof(body) - 1, NULL, 0);
		if (sub) {
			accepted++;
			cr_assert_gt(sub->ntasks, 0);
			cr_assert(sub->timeout > 0 && sub->timeout <= 600000);
			rp_submission_unref(sub);
			continue;
		}
		cr_assert_eq(http_status, 400);
		cr_assert_not_null(strchr(st.message, ':'), "%s", st.message);
	}
	cr_assert_gt(accepted, 0);
}
