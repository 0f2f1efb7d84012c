/*
 * One HTTP call for test scripts: prints the body, or a part of it when it
 * is JSON. Exits with 0 on a 2xx answer, 1 on another, 5 when none came.
 */

#include <argp.h>
#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

#define EXIT_STATUS 1
#define EXIT_UNREACHABLE 5
#define TRY_MS 20

struct call {
	const char *args[4]; /* method, address, path, body */
	size_t nargs;
	const char *field;
	const char *header;
	int length;
	int status_only;
	int from_stdin;
	long wait_ms;
	/* the answer */
	char *body;
	size_t len;
	char value[256]; /* of the header asked for */
	long status;
};

static const struct argp_option options[] = {
	{ "field", 'f', "PATH", 0, "print one part, as in results.0.id", 0 },
	{ "length", 'n', NULL, 0, "print the number of its elements", 0 },
	{ "header", 'h', "NAME", 0, "print a header's value", 0 },
	{ "status", 's', NULL, 0, "print the HTTP status", 0 },
	{ "wait", 'w', "MS", 0, "try for so long until an answer comes", 0 },
	{ "stdin", 'i', NULL, 0, "make no call, read JSON from stdin", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

/* Takes the flags, and method, address, path and body. */
static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct call *c = state->input;

	switch (key) {
	case 'f':
		c->field = arg;
		return 0;
	case 'n':
		c->length = 1;
		return 0;
	case 'h':
		c->header = arg;
		return 0;
	case 's':
		c->status_only = 1;
		return 0;
	case 'w':
		c->wait_ms = strtol(arg, NULL, 10);
		return 0;
	case 'i':
		c->from_stdin = 1;
		return 0;
	case ARGP_KEY_ARG:
		if (c->nargs == 4)
			argp_usage(state);
		c->args[c->nargs++] = arg;
		return 0;
	case ARGP_KEY_END:
		if (!c->from_stdin && c->nargs < 3)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Collects the body, always followed by a NUL. */
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

/* Picks the value of the header asked for. */
static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct call *c = arg;
	size_t len = c->header ? strlen(c->header) : 0;

	if (len && size * n > len + 2 && data[len] == ':' &&
	    !strncasecmp(data, c->header, len))
		sscanf(data + len + 1, " %255[^\r\n]", c->value);
	return size * n;
}

/* Makes the call once. */
static CURLcode call_once(struct call *c, CURL *curl)
{
	char url[1024];

	snprintf(url, sizeof(url), "http://%s%s", c->args[1], c->args[2]);
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
	return curl_easy_perform(curl);
}

/* Calls until an answer comes or the time is over. */
static int call(struct call *c)
{
	struct timespec pause = { 0, TRY_MS * 1000000L };
	CURL *curl = curl_easy_init();
	long waited = 0;
	CURLcode code;

	while ((code = call_once(c, curl)) != CURLE_OK && waited < c->wait_ms) {
		nanosleep(&pause, NULL);
		waited += TRY_MS;
	}
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &c->status);
	curl_easy_cleanup(curl);
	if (code == CURLE_OK)
		return 0;
	fprintf(stderr, "%s: %s\n", c->args[1], curl_easy_strerror(code));
	return -1;
}

/* Follows a path of names and indices, separated by dots. */
static json_t *follow(json_t *o, const char *path)
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

/* Prints one part of the JSON, or the number of its elements. */
static void print_part(const struct call *c, json_t *root)
{
	json_t *o = c->field ? follow(root, c->field) : root;

	if (c->length)
		printf("%zu\n", json_is_array(o) ? json_array_size(o)
						 : json_object_size(o));
	else if (json_is_string(o))
		printf("%s\n", json_string_value(o));
	else if (o) {
		json_dumpf(o, stdout, JSON_COMPACT | JSON_ENCODE_ANY);
		printf("\n");
	}
}

/* Prints what was asked for of the answer. */
static void print_answer(const struct call *c)
{
	json_t *root;

	if (c->status_only)
		printf("%ld\n", c->status);
	if (c->header)
		printf("%s\n", c->value);
	if (c->field || c->length) {
		root = c->len ? json_loadb(c->body, c->len, JSON_DECODE_ANY,
					   NULL)
			      : NULL;
		print_part(c, root);
		json_decref(root);
	} else if (!c->status_only && !c->header && c->body) {
		printf("%s\n", c->body);
	}
}

/* Takes standard input as the body of a 200 answer. */
static void read_stdin(struct call *c)
{
	char part[4096];
	size_t n;

	while ((n = fread(part, 1, sizeof(part), stdin)))
		if (!on_body(part, 1, n, c))
			abort();
	c->status = 200;
}

int main(int argc, char **argv)
{
	static const struct argp argp = { options,
					  parse,
					  "METHOD IP:PORT PATH [BODY]",
					  "Makes one HTTP call, for test "
					  "scripts.",
					  NULL,
					  NULL,
					  NULL };
	struct call c = { .nargs = 0 };

	argp_err_exit_status = 2;
	argp_parse(&argp, argc, argv, 0, NULL, &c);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (c.from_stdin)
		read_stdin(&c);
	else if (call(&c))
		return EXIT_UNREACHABLE;
	print_answer(&c);
	free(c.body);
	curl_global_cleanup();
	return c.status / 100 == 2 ? 0 : EXIT_STATUS;
}
