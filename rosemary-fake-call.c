/*
 * An HTTP client for test scripts: makes one call and prints the body, or one
 * field of a JSON body. Exits with 0 on a 2xx status, with 1 on any other and
 * with 5 when there was no answer.
 */

#include "platform/platform.h"

#include <argp.h>
#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

#define EXIT_HTTP_ERROR 1
#define EXIT_UNREACHABLE 5
#define RETRY_INTERVAL_MS 20

struct call {
	const char *args[4]; /* method, address, path, body */
	size_t nargs;
	const char *field;
	const char *header;
	long deadline_ms; /* that is stated; -1: none */
	int print_length; /* print the number of elements */
	int print_status;
	int from_stdin;
	int check_lines; /* print the lines that are not JSON objects */
	long retry_ms;	 /* how long to retry until there is an answer */
	/* the answer */
	char *body;
	size_t len;
	char header_value[256]; /* of the requested header */
	long status;
};

static const struct argp_option options[] = {
	{ "field", 'f', "PATH", 0,
	  "print one field of the JSON, such as results.0.id", 0 },
	{ "length", 'n', NULL, 0,
	  "print the number of elements of the JSON or field", 0 },
	{ "header", 'h', "NAME", 0, "print a header's value", 0 },
	{ "deadline", 'd', "MS", 0, "state that the caller waits for MS", 0 },
	{ "status", 's', NULL, 0, "print the HTTP status", 0 },
	{ "wait", 'w', "MS", 0, "retry for MS until there is an answer", 0 },
	{ "stdin", 'i', NULL, 0, "make no call, read JSON from stdin", 0 },
	{ "check-lines", 'l', NULL, 0,
	  "make no call, print the lines of stdin that are not JSON objects",
	  0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

/* Parses the flags and the arguments METHOD, IP:PORT, PATH and BODY. */
static error_t parse_arg(int key, char *arg, struct argp_state *state)
{
	struct call *c = state->input;

	switch (key) {
	case 'f':
		c->field = arg;
		return 0;
	case 'n':
		c->print_length = 1;
		return 0;
	case 'h':
		c->header = arg;
		return 0;
	case 'd':
		c->deadline_ms = strtol(arg, NULL, 10);
		return 0;
	case 's':
		c->print_status = 1;
		return 0;
	case 'w':
		c->retry_ms = strtol(arg, NULL, 10);
		return 0;
	case 'i':
		c->from_stdin = 1;
		return 0;
	case 'l':
		c->check_lines = 1;
		return 0;
	case ARGP_KEY_ARG:
		if (c->nargs == 4)
			argp_usage(state);
		c->args[c->nargs++] = arg;
		return 0;
	case ARGP_KEY_END:
		if (!c->from_stdin && !c->check_lines && c->nargs < 3)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Appends to the body, which is kept NUL-terminated. */
static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct call *c = arg;
	char *body = realloc(c->body, c->len + size * n + 1);

	if (!body)
		return 0;
	memcpy(body + c->len, data, size * n);
	c->body = body;
	c->len += size * n;
	body[c->len] = '\0';
	return size * n;
}

/* Stores the value of the requested header. */
static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct call *c = arg;
	size_t len = c->header ? strlen(c->header) : 0;

	if (len && size * n > len + 2 && data[len] == ':' &&
	    !strncasecmp(data, c->header, len))
		sscanf(data + len + 1, " %255[^\r\n]", c->header_value);
	return size * n;
}

/* Performs the call once. */
static CURLcode perform_call(struct call *c, CURL *curl)
{
	char url[1024], deadline[64];
	struct curl_slist *headers = NULL;
	CURLcode code;

	snprintf(url, sizeof(url), "http://%s%s", c->args[1], c->args[2]);
	snprintf(deadline, sizeof(deadline), PLATFORM_DEADLINE_HEADER ": %ld",
		 c->deadline_ms);
	if (c->deadline_ms >= 0)
		headers = curl_slist_append(NULL, deadline);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, c->args[0]);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT, 60L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, c);
	if (strcmp(c->args[0], "GET") != 0)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
				 c->args[3] ? c->args[3] : "");
	code = curl_easy_perform(curl);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, NULL);
	curl_slist_free_all(headers);
	return code;
}

/* Retries the call until there is an answer or retry_ms has passed. */
static int call(struct call *c)
{
	struct timespec pause = { 0, RETRY_INTERVAL_MS * 1000000L };
	CURL *curl = curl_easy_init();
	long waited = 0;
	CURLcode code;

	while ((code = perform_call(c, curl)) != CURLE_OK &&
	       waited < c->retry_ms) {
		nanosleep(&pause, NULL);
		waited += RETRY_INTERVAL_MS;
	}
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &c->status);
	curl_easy_cleanup(curl);
	if (code == CURLE_OK)
		return 0;
	fprintf(stderr, "%s: %s\n", c->args[1], curl_easy_strerror(code));
	return -1;
}

/* Finds the value at a dotted path of member names and array indices. */
static json_t *json_at_path(json_t *o, const char *path)
{
	char *copy = strdup(path), *save, *name;

	for (name = strtok_r(copy, ".", &save); name;
	     name = strtok_r(NULL, ".", &save))
		o = json_is_array(o)
			    ? json_array_get(o, strtoul(name, NULL, 10))
			    : json_object_get(o, name);
	free(copy);
	return o;
}

/* Prints one field of the JSON, or the number of its elements. */
static void print_field(const struct call *c, json_t *root)
{
	json_t *o = c->field ? json_at_path(root, c->field) : root;

	if (c->print_length)
		printf("%zu\n", json_is_array(o) ? json_array_size(o)
						 : json_object_size(o));
	else if (json_is_string(o))
		printf("%s\n", json_string_value(o));
	else if (o) {
		json_dumpf(o, stdout, JSON_COMPACT | JSON_ENCODE_ANY);
		printf("\n");
	}
}

/* Prints the parts of the answer that the flags request. */
static void print_answer(const struct call *c)
{
	json_t *root;

	if (c->print_status)
		printf("%ld\n", c->status);
	if (c->header)
		printf("%s\n", c->header_value);
	if (c->field || c->print_length) {
		root = c->len ? json_loadb(c->body, c->len, JSON_DECODE_ANY,
					   NULL)
			      : NULL;
		print_field(c, root);
		json_decref(root);
	} else if (!c->print_status && !c->header && c->body) {
		printf("%s\n", c->body);
	}
}

/* Reads standard input in place of the body of a 200 answer. */
static void read_stdin(struct call *c)
{
	char buf[4096];
	size_t n;

	while ((n = fread(buf, 1, sizeof(buf), stdin)))
		if (!on_body(buf, 1, n, c))
			abort();
	c->status = 200;
}

/* Returns 0 if all lines of standard input are JSON objects. */
static int check_lines(void)
{
	char *line = NULL;
	size_t cap = 0;
	ssize_t len;
	int failed = 0;
	json_t *o;

	while ((len = getline(&line, &cap, stdin)) >= 0) {
		o = json_loadb(line, (size_t)len, 0, NULL);
		if (!json_is_object(o)) {
			printf("%s", line);
			failed = 1;
		}
		json_decref(o);
	}
	free(line);
	return failed ? -1 : 0;
}

int main(int argc, char **argv)
{
	static const struct argp argp = { options,
					  parse_arg,
					  "METHOD IP:PORT PATH [BODY]",
					  "Makes one HTTP call, for test "
					  "scripts.",
					  NULL,
					  NULL,
					  NULL };
	struct call c = { .deadline_ms = -1 };

	argp_err_exit_status = 2;
	argp_parse(&argp, argc, argv, 0, NULL, &c);
	if (c.check_lines)
		return check_lines() < 0 ? EXIT_HTTP_ERROR : 0;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (c.from_stdin)
		read_stdin(&c);
	else if (call(&c))
		return EXIT_UNREACHABLE;
	print_answer(&c);
	free(c.body);
	curl_global_cleanup();
	return c.status / 100 == 2 ? 0 : EXIT_HTTP_ERROR;
}
