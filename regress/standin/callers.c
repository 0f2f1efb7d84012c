/*
 * Callers of a pool: submits jobs at a rate, each to one of the entry VMs,
 * and again with the same id where no answer came. Prints what became of
 * them as one JSON line.
 */

#include <argp.h>
#include <curl/curl.h>
#include <jansson.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ADDRESSES 16
#define JOBS_MAX 200000
#define RESEND_MS 1300
#define BODY_MAX 256
#define GIVE_UP_MS 6000
#define STORED_MS 30000 /* a stored job is over within */
#define POLL_MS 200	/* between questions for a state */

/* Answers that the stand-in is asked about. */
enum verdict { NOTHING, REJECTED, COMPLETED };

struct job {
	unsigned long long id;
	int tasks, sends;
	int64_t first, due;
	CURL *easy;
	struct curl_slist *headers;
	char request[BODY_MAX], body[BODY_MAX];
	size_t len;
	int retry_after;
	enum verdict verdict;
	int accepted; /* stored; its state is asked for */
};

struct flags {
	const char *addresses[ADDRESSES];
	size_t naddresses;
	double rate, seconds;
	int tasks, ms;
	unsigned seed;
	int stored;	    /* jobs that the store keeps */
	const char *verify; /* the stand-in that is asked for the truth */
};

static struct job jobs[JOBS_MAX];
static size_t njobs, open_jobs;
static struct {
	int completed, failed, rejected, incomplete, unanswered, resent, odd;
	int no_retry_after;
} count;
static struct flags f = {
	.rate = 20, .seconds = 3, .tasks = 2, .ms = 100, .seed = 1
};
static CURLM *multi;

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct job *j = arg;
	size_t add = size * n;

	if (add > sizeof(j->body) - 1 - j->len)
		add = sizeof(j->body) - 1 - j->len;
	memcpy(j->body + j->len, data, add);
	j->len += add;
	j->body[j->len] = '\0';
	return size * n;
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct job *j = arg;

	if (size * n > 12 && !strncasecmp(data, "Retry-After:", 12))
		j->retry_after = atoi(data + 12);
	return size * n;
}

static void send_job(struct job *j)
{
	char url[256];

	snprintf(url, sizeof(url), "http://%s/q/%016llx",
		 f.addresses[rand_r(&f.seed) % f.naddresses], j->id);
	j->sends++;
	snprintf(j->request, sizeof(j->request),
		 "{\"specification\":\"%d #%d\",\"bestEffort\":%s,\"steps\":"
		 "[{\"count\":%d,\"cpu\":6000,\"taskMemoryMb\":64,"
		 "\"estimatedMs\":%d}]}",
		 f.ms, f.stored ? 1 : j->sends, f.stored ? "false" : "true",
		 j->tasks, f.ms);
	j->len = 0;
	j->due = 0;
	j->easy = curl_easy_init();
	curl_easy_setopt(j->easy, CURLOPT_URL, url);
	curl_easy_setopt(j->easy, CURLOPT_PRIVATE, j);
	if (!j->accepted)
		curl_easy_setopt(j->easy, CURLOPT_POSTFIELDS, j->request);
	curl_easy_setopt(j->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(j->easy, CURLOPT_WRITEDATA, j);
	curl_easy_setopt(j->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(j->easy, CURLOPT_HEADERDATA, j);
	curl_easy_setopt(j->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(j->easy, CURLOPT_TIMEOUT_MS, (long)GIVE_UP_MS);
	curl_multi_add_handle(multi, j->easy);
}

/* No answer: the job is sent again, or given up. */
static void unanswered(struct job *j)
{
	if (now_ms() - j->first > (f.stored ? STORED_MS : GIVE_UP_MS)) {
		count.unanswered++;
		open_jobs--;
		return;
	}
	count.resent++;
	j->due = now_ms() + RESEND_MS;
}

/* A stored job that was accepted: its state, once it is over. */
static int goes_on(struct job *j, long status)
{
	if (!f.stored || (!j->accepted && status != 200))
		return 0;
	if (j->accepted && status == 200 && !strstr(j->body, "\"queued\"") &&
	    !strstr(j->body, "\"running\""))
		return 0;
	if (j->accepted && status != 200 && status != 503 && status != 504)
		return 0;
	j->accepted = 1;
	j->due = now_ms() + POLL_MS;
	return 1;
}

static void answered(struct job *j, long status)
{
	if (goes_on(j, status))
		return;
	if (f.stored && status == 504) {
		unanswered(j);
		return;
	}
	open_jobs--;
	if (status == 503 || status == 429) {
		count.rejected++;
		/* An earlier submission may have run. */
		if (j->sends == 1)
			j->verdict = REJECTED;
		count.no_retry_after += !j->retry_after;
	} else if (status == 504) {
		count.incomplete++;
	} else if (status == 200 && strstr(j->body, "\"completed\"")) {
		count.completed++;
		j->verdict = COMPLETED;
	} else if (status == 200 && strstr(j->body, "\"failed\"")) {
		count.failed++;
	} else {
		count.odd++;
	}
}

static void take_ends(void)
{
	struct CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(multi, &left))) {
		CURLcode rc = msg->data.result;
		struct job *j;
		long status = 0;

		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &j);
		curl_easy_getinfo(msg->easy_handle, CURLINFO_RESPONSE_CODE,
				  &status);
		curl_multi_remove_handle(multi, j->easy);
		curl_easy_cleanup(j->easy);
		j->easy = NULL;
		if (rc == CURLE_OK && status)
			answered(j, status);
		else
			unanswered(j);
	}
}

static void submit_more(int64_t began)
{
	double wanted = (double)(now_ms() - began) * f.rate / 1000;

	if (wanted > f.rate * f.seconds)
		wanted = f.rate * f.seconds;
	while ((double)njobs < wanted && njobs < JOBS_MAX) {
		struct job *j = &jobs[njobs++];

		j->id = (unsigned long long)f.seed << 32 | njobs;
		j->tasks = f.tasks;
		j->first = now_ms();
		open_jobs++;
		send_job(j);
	}
}

static void resend_due(void)
{
	size_t i;

	for (i = 0; i < njobs; i++)
		if (jobs[i].due && jobs[i].due <= now_ms())
			send_job(&jobs[i]);
}

static json_t *ids(enum verdict verdict)
{
	json_t *list = json_array();
	char id[24];
	size_t i;

	for (i = 0; i < njobs; i++) {
		if (jobs[i].verdict != verdict)
			continue;
		snprintf(id, sizeof(id), "%016llx", jobs[i].id);
		json_array_append_new(list, json_string(id));
	}
	return list;
}

/* Returns what the stand-in knows against the answers. */
static json_t *verify(void)
{
	json_t *o = json_pack("{s:i,s:o,s:o}", "tasks", f.tasks, "rejected",
			      ids(REJECTED), "completed", ids(COMPLETED));
	char *body = json_dumps(o, JSON_COMPACT), url[256];
	struct job reply = { .len = 0 };
	CURL *e = curl_easy_init();

	snprintf(url, sizeof(url), "http://%s/control/verify", f.verify);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, &reply);
	curl_easy_perform(e);
	curl_easy_cleanup(e);
	json_decref(o);
	free(body);
	return json_loads(reply.body, 0, NULL);
}

static void report(void)
{
	json_t *o = json_pack("{s:I,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i}", "jobs",
			      (json_int_t)njobs, "completed", count.completed,
			      "failed", count.failed, "rejected",
			      count.rejected, "incomplete", count.incomplete,
			      "unanswered", count.unanswered, "resent",
			      count.resent, "odd", count.odd, "no_retry_after",
			      count.no_retry_after);
	json_t *truth = f.verify ? verify() : NULL;

	if (truth)
		json_object_update(o, truth);
	json_dumpf(o, stdout, JSON_COMPACT | JSON_PRESERVE_ORDER);
	putchar('\n');
	json_decref(truth);
	json_decref(o);
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	(void)state;
	switch (key) {
	case 'r':
		f.rate = atof(arg);
		return 0;
	case 's':
		f.seconds = atof(arg);
		return 0;
	case 't':
		f.tasks = atoi(arg);
		return 0;
	case 'm':
		f.ms = atoi(arg);
		return 0;
	case 'x':
		f.seed = (unsigned)atoi(arg);
		return 0;
	case 'k':
		f.stored = 1;
		return 0;
	case 'v':
		f.verify = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (f.naddresses == ADDRESSES)
			return ARGP_ERR_UNKNOWN;
		f.addresses[f.naddresses++] = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ .name = "rate", .key = 'r', .arg = "JOBS/S" },
		{ .name = "seconds", .key = 's', .arg = "S" },
		{ .name = "tasks", .key = 't', .arg = "COUNT" },
		{ .name = "ms", .key = 'm', .arg = "MS" },
		{ .name = "seed", .key = 'x', .arg = "N" },
		{ .name = "stored",
		  .key = 'k',
		  .doc = "jobs that the store keeps" },
		{ .name = "verify",
		  .key = 'v',
		  .arg = "IP:PORT",
		  .doc = "ask there whether the answers were true" },
		{ 0 },
	};
	static const struct argp argp = { options, parse, "IP:PORT...", NULL,
					  NULL,	   NULL,  NULL };
	int64_t began;
	int running;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	multi = curl_multi_init();
	began = now_ms();
	do {
		submit_more(began);
		resend_due();
		curl_multi_perform(multi, &running);
		take_ends();
		curl_multi_poll(multi, NULL, 0, 10, NULL);
	} while (open_jobs || (double)(now_ms() - began) < f.seconds * 1000);
	report();
	return 0;
}
