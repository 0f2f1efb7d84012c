/* The table of routes; parses paths and query arguments. */

#include "http.h"

#include <string.h>

/* The columns are method, path, has_name, query argument and function. */
static const struct http_route routes[] = {
	{ "POST", "/v1/jobs", 0, "wait", http_handle_job },
	{ "POST", "/v1/requests", 0, NULL, http_handle_request },
	{ "POST", "/v1/keys", 0, "count", http_handle_keys },
	{ "GET", "/v1/jobs/", 1, "wait", http_handle_query },
	{ "DELETE", "/v1/jobs/", 1, NULL, http_handle_cancel },
	{ "GET", "/v1/table", 0, NULL, http_handle_table },
	{ "POST", "/v1/table/edits", 0, NULL, http_handle_edit },
	{ "PUT", "/v1/table/drafts/", 1, NULL, http_handle_draft },
	{ "DELETE", "/v1/table/drafts/", 1, NULL, http_handle_draft },
	{ "GET", "/v1/status", 0, NULL, http_handle_status },
	{ "GET", "/v1/events", 0, "since", http_handle_events },
	{ "GET", "/v1/metrics", 0, NULL, http_handle_metrics },
	{ "POST", "/v1/drain", 0, NULL, http_handle_drain },
	{ "GET", "/healthz", 0, NULL, http_handle_healthz },
	{ "GET", "/readyz", 0, NULL, http_handle_readyz },
};

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/*
 * Decodes a percent-encoded name from the path into r->name. Returns -1 if it
 * is empty, too long or malformed, or has control characters.
 */
static int decode_name(struct http_request *r, const char *text)
{
	size_t n = 0;

	while (*text) {
		int c = (unsigned char)*text++;

		if (c == '%') {
			int hi = hex_digit(text[0]);
			int lo = hi < 0 ? -1 : hex_digit(text[1]);

			if (lo < 0)
				return -1;
			c = hi << 4 | lo;
			text += 2;
		}
		if (c < 0x20 || c == 0x7f || n + 1 >= sizeof(r->name))
			return -1;
		r->name[n++] = (char)c;
	}
	r->name[n] = '\0';
	return n ? 0 : -1;
}

static int path_matches(const struct http_route *route, const char *url)
{
	if (route->has_name)
		return !strncmp(route->path, url, strlen(route->path));
	return !strcmp(route->path, url);
}

int http_find_route(struct http_request *r, const char *method, const char *url)
{
	int other_method = 0;
	size_t i;

	for (i = 0; i < sizeof(routes) / sizeof(*routes); i++) {
		const struct http_route *route = &routes[i];

		if (!path_matches(route, url))
			continue;
		if (strcmp(route->method, method) != 0) {
			other_method = 1;
			continue;
		}
		if (route->has_name &&
		    decode_name(r, url + strlen(route->path)) < 0)
			return MHD_HTTP_BAD_REQUEST;
		r->route = route;
		return 0;
	}
	return other_method ? MHD_HTTP_METHOD_NOT_ALLOWED : MHD_HTTP_NOT_FOUND;
}

int http_query_number(struct http_request *r, int64_t def, int64_t min,
		      int64_t max, int64_t *out)
{
	const char *name = r->route->argument;
	const char *value = NULL;

	*out = def;
	if (MHD_lookup_connection_value_n(r->conn, MHD_GET_ARGUMENT_KIND, name,
					  strlen(name), &value,
					  NULL) != MHD_YES)
		return 0;
	if (value && !setting_parse_number(value, min, max, out))
		return 0;
	http_send_error(r, MHD_HTTP_BAD_REQUEST, RP_E_INPUT, RP_STEP_PARSE,
			"%s: want a whole number from %lld to %lld", name,
			(long long)min, (long long)max);
	return -1;
}

/* Called for each query argument; stores the last one that is not allowed. */
static enum MHD_Result check_argument(void *arg, enum MHD_ValueKind kind,
				      const char *name, const char *value)
{
	struct http_request *r = arg;

	(void)kind;
	(void)value;
	if (!name || !r->route->argument ||
	    strcmp(name, r->route->argument) != 0)
		r->unknown_argument = name ? name : "";
	return MHD_YES;
}

int http_check_arguments(struct http_request *r)
{
	MHD_get_connection_values(r->conn, MHD_GET_ARGUMENT_KIND,
				  check_argument, r);
	if (!r->unknown_argument)
		return 0;
	http_send_error(r, MHD_HTTP_BAD_REQUEST, RP_E_INPUT, RP_STEP_PARSE,
			"%.64s: unknown query argument", r->unknown_argument);
	return -1;
}
