/* HTTP calls to entry VMs with libcurl. */

#include "cli.h"

#include <apr_time.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#define CONNECT_TIMEOUT_MS 2000
#define PROGRESS_AFTER_MS 1000 /* shorter calls show no progress */

int64_t cli_now_ms(void)
{
	return apr_time_now() / 1000;
}

void cli_sleep_ms(int64_t ms)
{
	apr_sleep(ms * 1000);
}

char *cli_escape(const char *text)
{
	static const char unreserved[] = "abcdefghijklmnopqrstuvwxyz"
					 "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-"
					 "._~";
	char *out = malloc(3 * strlen(text) + 1), *at = out;

	if (!out)
		abort();
	for (; *text; text++) {
		if (strchr(unreserved, *text))
			*at++ = *text;
		else
			at += sprintf(at, "%%%02X", (unsigned char)*text);
	}
	*at = '\0';
	return out;
}

/* Appends to the body and terminates it with a NUL. */
static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct cli_answer *answer = arg;
	char *body = realloc(answer->body, answer->len + size * n + 1);

	if (!body)
		return 0;
	memcpy(body + answer->len, data, size * n);
	answer->body = body;
	answer->len += size * n;
	body[answer->len] = '\0';
	return size * n;
}

/* Reads the next position in the event ring from the X-Next header. */
static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	static const char name[] = "X-Next:";
	struct cli_answer *answer = arg;
	char text[32] = "";

	if (size * n > strlen(name) && !strncasecmp(data, name, strlen(name))) {
		snprintf(text, sizeof(text), "%.*s",
			 (int)(size * n - strlen(name)), data + strlen(name));
		answer->next_position = strtoll(text, NULL, 10);
	}
	return size * n;
}

/* Shows the elapsed time of a call when standard error is a terminal. */
static int on_progress(void *arg, curl_off_t dltotal, curl_off_t dlnow,
		       curl_off_t ultotal, curl_off_t ulnow)
{
	struct cli *cli = arg;
	int64_t ms = cli_now_ms() - cli->progress_since_ms;

	(void)dltotal;
	(void)dlnow;
	(void)ultotal;
	(void)ulnow;
	if (!cli->progress || ms < PROGRESS_AFTER_MS || !isatty(STDERR_FILENO))
		return 0;
	fprintf(stderr, "\r%s: %.1f s", cli->progress, (double)ms / 1000);
	cli->progress_shown = 1;
	return 0;
}

/* Clears the progress line, if one was shown. */
static void clear_progress(struct cli *cli)
{
	if (cli->progress_shown)
		fputs("\r\033[K", stderr);
	cli->progress_shown = 0;
}

/*
 * Makes the headers of a call. The empty "Expect:" keeps libcurl from waiting
 * for "100 Continue", which would cost a round trip.
 */
static struct curl_slist *make_headers(const struct cli_call *call)
{
	struct curl_slist *list = curl_slist_append(NULL, "Content-Type: "
							  "application/json");
	char line[512];

	list = curl_slist_append(list, "Expect:");
	if (call->idempotency_key) {
		snprintf(line, sizeof(line), "Idempotency-Key: %s",
			 call->idempotency_key);
		list = curl_slist_append(list, line);
	}
	return list;
}

/* Sets all options of the handle anew; its open connections are kept. */
static void set_options(struct cli *cli, const struct cli_call *call,
			const char *url, const char *body,
			struct curl_slist *headers, struct cli_answer *answer)
{
	CURL *curl = cli->curl;

	curl_easy_reset(curl);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call->method);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, call->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, answer);
	curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, answer->error);
	curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(curl, CURLOPT_XFERINFODATA, cli);
	if (strcmp(call->method, "GET") != 0) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
				 (long)strlen(body));
	}
}

int cli_http_call(struct cli *cli, const char *vm, const struct cli_call *call,
		  struct cli_answer *answer)
{
	char url[1024];
	char *body = call->body ? json_dumps(call->body, JSON_COMPACT) : NULL;
	struct curl_slist *headers = make_headers(call);
	CURLcode code;

	memset(answer, 0, sizeof(*answer));
	answer->next_position = -1;
	snprintf(url, sizeof(url), "http://%s%s", vm, call->path);
	if (!cli->curl)
		cli->curl = curl_easy_init();
	set_options(cli, call, url, body ? body : "", headers, answer);
	cli->progress_since_ms = cli_now_ms();
	code = curl_easy_perform(cli->curl);
	clear_progress(cli);
	curl_slist_free_all(headers);
	free(body);
	if (code != CURLE_OK) {
		answer->timed_out = code == CURLE_OPERATION_TIMEDOUT;
		if (!*answer->error)
			snprintf(answer->error, sizeof(answer->error), "%s",
				 curl_easy_strerror(code));
		return -1;
	}
	curl_easy_getinfo(cli->curl, CURLINFO_RESPONSE_CODE, &answer->status);
	if (answer->len)
		answer->json = json_loadb(answer->body, answer->len, 0, NULL);
	return 0;
}

void cli_answer_finish(struct cli_answer *answer)
{
	json_decref(answer->json);
	free(answer->body);
	answer->json = NULL;
	answer->body = NULL;
	answer->len = 0;
}
