/*
 * Callers of a pool. Submits jobs at a fixed rate, each to a random entry VM,
 * and resubmits a job under the same id to another VM if no answer came. Prints
 * the number of jobs by outcome as one JSON line.
 */

#include <argp.h>
#include <curl/curl.h>
#include <jansson.h>
#include <math.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ADDRESSES_MAX 96
#define JOBS_MAX 200000
#define RESEND_MS 1300		/* delay after a submission without an answer */
#define BODY_MAX 256		/* bytes, with the NUL */
#define GIVE_UP_MS 6000		/* time after the first submission */
#define STORED_GIVE_UP_MS 30000 /* the same for a stored job */
#define POLL_MS 200		/* interval of requests for a job's state */
#define DEADLINE_HEADER "X-Rosemarypoint-Deadline"
#define LATE_MS 500	      /* delay after a deadline that counts as late */
#define ANSWER_MARGIN_MS 2000 /* wait for an answer beyond a deadline */
#define TRIES_MAX 8	      /* that are logged */
#define CANCEL_WITHIN_MS 2000 /* of the submission, at a random time */
#define CANCEL_AGAIN_MS 300   /* delay after one that was not acknowledged */
#define CANCEL_WAIT_MS 4000   /* that is stated */
#define CANCEL_GIVE_UP_MS 15000

/* Outcomes that the stand-in verifies. */
enum outcome { OUTCOME_OTHER, OUTCOME_REJECTED, OUTCOME_COMPLETED };

struct job {
	unsigned long long id;
	int tasks, sends;
	int64_t submitted_at;
	int64_t sent_at;  /* of the latest request */
	int64_t send_at;  /* next request; 0: none is scheduled */
	long deadline_ms; /* stated with each submission; 0: none */
	CURL *easy;
	struct curl_slist *headers;
	char request[BODY_MAX], answer[BODY_MAX];
	size_t answer_len;
	int retry_after; /* s, of the latest answer with one; 0: none */
	enum outcome outcome;
	int accepted;	   /* a stored job; its state is polled */
	int is_cancelled;  /* its caller cancels it, and ignores its answers */
	int64_t cancel_at; /* next try; 0: none is scheduled */
	CURL *cancel;	   /* in flight */
	struct curl_slist *cancel_headers;
	struct {
		size_t address;
		int64_t sent_at, ended_at;
		int error;  /* of libcurl */
	} tries[TRIES_MAX]; /* submissions, for the log */
};

struct flags {
	const char *addresses[ADDRESSES_MAX];
	size_t naddresses;
	double rate, seconds;
	int tasks, task_ms;
	unsigned seed;
	double deadline_min, deadline_max; /* ms; 0: none is stated */
	unsigned deadline_seed; /* keeps the other draws as they are */
	int cancel;		/* percent of jobs that are cancelled */
	unsigned cancel_seed;
	int stored;		    /* submit stored jobs */
	const char *verify_address; /* stand-in; NULL: do not verify */
};

static struct job jobs[JOBS_MAX];
static size_t njobs, open_jobs, open_cancels;
static struct {
	int completed, failed, rejected, incomplete, unanswered, resent;
	int unexpected;		      /* answers that no other count fits */
	int no_retry_after;	      /* rejections without Retry-After */
	int deadlines;		      /* jobs with a deadline */
	int cancelled, not_cancelled; /* the cancellation was acknowledged */
	int late; /* answers over LATE_MS after the deadline, or missing then */
} count;
static struct flags f = {
	.rate = 20, .seconds = 3, .tasks = 2, .task_ms = 100, .seed = 1
};
static CURLM *multi;
static json_t *unanswered; /* submissions of each unanswered job */

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

	if (add > sizeof(j->answer) - 1 - j->answer_len)
		add = sizeof(j->answer) - 1 - j->answer_len;
	memcpy(j->answer + j->answer_len, data, add);
	j->answer_len += add;
	j->answer[j->answer_len] = '\0';
	return size * n;
}

static size_t ignore_body(char *data, size_t size, size_t n, void *arg)
{
	(void)data;
	(void)arg;
	return size * n;
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct job *j = arg;

	if (size * n > 12 && !strncasecmp(data, "Retry-After:", 12))
		j->retry_after = atoi(data + 12);
	return size * n;
}

/* Log-uniform, so that deadlines of each order of magnitude are as frequent. */
static long draw_deadline(void)
{
	double share = rand_r(&f.deadline_seed) / (RAND_MAX + 1.0);

	return lround(f.deadline_min *
		      pow(f.deadline_max / f.deadline_min, share));
}

/* Limits the request to what the job's caller waits, and states that. */
static void set_wait(struct job *j)
{
	char header[64];

	if (!j->deadline_ms) {
		curl_easy_setopt(j->easy, CURLOPT_TIMEOUT_MS, (long)GIVE_UP_MS);
		return;
	}
	snprintf(header, sizeof(header), DEADLINE_HEADER ": %ld",
		 j->deadline_ms);
	j->headers = curl_slist_append(NULL, header);
	curl_easy_setopt(j->easy, CURLOPT_HTTPHEADER, j->headers);
	curl_easy_setopt(j->easy, CURLOPT_TIMEOUT_MS,
			 j->deadline_ms + ANSWER_MARGIN_MS);
}

/* A random VM; a retry goes to another one, as the platform sends it. */
static size_t choose_address(const struct job *j)
{
	size_t others = f.naddresses - 1, last;

	if (!j->sends || j->sends > TRIES_MAX || !others)
		return (size_t)rand_r(&f.seed) % f.naddresses;
	last = j->tries[j->sends - 1].address;
	return (last + 1 + (size_t)rand_r(&f.seed) % others) % f.naddresses;
}

static void send_job(struct job *j)
{
	size_t address = choose_address(j);
	char url[256];

	snprintf(url, sizeof(url), "http://%s/q/%016llx", f.addresses[address],
		 j->id);
	if (j->sends < TRIES_MAX) {
		j->tries[j->sends].address = address;
		j->tries[j->sends].sent_at = now_ms();
	}
	j->sends++;
	snprintf(j->request, sizeof(j->request),
		 "{\"specification\":\"%d #%d\",\"bestEffort\":%s,\"steps\":"
		 "[{\"count\":%d,\"cpu\":6000,\"taskMemoryMb\":64,"
		 "\"estimatedMs\":%d}]}",
		 f.task_ms, f.stored ? 1 : j->sends,
		 f.stored ? "false" : "true", j->tasks, f.task_ms);
	j->answer_len = 0;
	j->sent_at = now_ms();
	j->send_at = 0;
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
	set_wait(j);
	curl_multi_add_handle(multi, j->easy);
}

/* --- cancellations ------------------------------------------------------ */

/* Cancels the job at a random VM, which need not have had it. */
static void send_cancel(struct job *j)
{
	size_t address = (size_t)rand_r(&f.cancel_seed) % f.naddresses;
	char url[256], header[64];

	snprintf(url, sizeof(url), "http://%s/q/%016llx", f.addresses[address],
		 j->id);
	snprintf(header, sizeof(header), DEADLINE_HEADER ": %d",
		 CANCEL_WAIT_MS);
	j->cancel_at = 0;
	j->cancel_headers = curl_slist_append(NULL, header);
	j->cancel = curl_easy_init();
	curl_easy_setopt(j->cancel, CURLOPT_URL, url);
	curl_easy_setopt(j->cancel, CURLOPT_PRIVATE, j);
	curl_easy_setopt(j->cancel, CURLOPT_CUSTOMREQUEST, "DELETE");
	curl_easy_setopt(j->cancel, CURLOPT_HTTPHEADER, j->cancel_headers);
	curl_easy_setopt(j->cancel, CURLOPT_WRITEFUNCTION, ignore_body);
	curl_easy_setopt(j->cancel, CURLOPT_TIMEOUT_MS,
			 (long)CANCEL_WAIT_MS + ANSWER_MARGIN_MS);
	curl_easy_setopt(j->cancel, CURLOPT_NOSIGNAL, 1L);
	curl_multi_add_handle(multi, j->cancel);
}

/* Has the stand-in look for starts of the job from now on. */
static void report_cancelled(const struct job *j)
{
	char url[256], body[64];
	CURL *e = curl_easy_init();

	snprintf(url, sizeof(url), "http://%s/control/cancelled",
		 f.verify_address);
	snprintf(body, sizeof(body), "{\"id\":\"%016llx\"}", j->id);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, ignore_body);
	curl_easy_perform(e);
	curl_easy_cleanup(e);
}

static void cancel_finished(struct job *j, long status)
{
	curl_multi_remove_handle(multi, j->cancel);
	curl_easy_cleanup(j->cancel);
	curl_slist_free_all(j->cancel_headers);
	j->cancel = NULL;
	if (status == 200 || status == 410) {
		if (f.verify_address)
			report_cancelled(j);
		count.cancelled++;
		open_cancels--;
	} else if (now_ms() - j->submitted_at < CANCEL_GIVE_UP_MS) {
		j->cancel_at = now_ms() + CANCEL_AGAIN_MS;
	} else {
		count.not_cancelled++;
		open_cancels--;
	}
}

/* Draws whether the job's caller cancels it, and when. */
static void draw_cancel(struct job *j)
{
	if (!f.cancel || rand_r(&f.cancel_seed) % 100 >= f.cancel)
		return;
	j->is_cancelled = 1;
	j->cancel_at =
		j->submitted_at + rand_r(&f.cancel_seed) % CANCEL_WITHIN_MS;
	open_cancels++;
}

static void cancel_due(void)
{
	size_t i;

	for (i = 0; open_cancels && i < njobs; i++)
		if (jobs[i].cancel_at && jobs[i].cancel_at <= now_ms())
			send_cancel(&jobs[i]);
}

/* --- answers ------------------------------------------------------------ */

/* Adds the submissions of an unanswered job to the report. */
static void report_unanswered(const struct job *j)
{
	json_t *tries = json_array();
	int i;

	for (i = 0; i < j->sends && i < TRIES_MAX; i++)
		json_array_append_new(
			tries,
			json_pack("{s:s,s:I,s:I,s:s}", "vm",
				  f.addresses[j->tries[i].address], "at_ms",
				  (json_int_t)(j->tries[i].sent_at -
					       j->submitted_at),
				  "for_ms",
				  (json_int_t)(j->tries[i].ended_at -
					       j->tries[i].sent_at),
				  "why",
				  curl_easy_strerror(
					  (CURLcode)j->tries[i].error)));
	json_array_append_new(unanswered, tries);
}

/*
 * Time after the first submission from which the job is not sent again. An
 * entry VM may be frozen for longer than a short deadline, so that it is at
 * least the usual one.
 */
static int64_t give_up_ms(const struct job *j)
{
	int64_t ms = f.stored ? STORED_GIVE_UP_MS : GIVE_UP_MS;

	return j->deadline_ms > ms ? j->deadline_ms : ms;
}

/* Schedules another submission, or gives the job up. */
static void resend_or_give_up(struct job *j)
{
	if (now_ms() - j->submitted_at > give_up_ms(j)) {
		if (!j->is_cancelled) {
			report_unanswered(j);
			count.unanswered++;
		}
		open_jobs--;
		return;
	}
	count.resent++;
	j->send_at = now_ms() + RESEND_MS;
}

/*
 * Schedules a request for the state of a stored job that was accepted. Returns
 * 0 when there is none to make: the answer is the job's outcome.
 */
static int poll_state(struct job *j, long status)
{
	if (!f.stored || (!j->accepted && status != 200))
		return 0;
	if (j->accepted && status == 200 && !strstr(j->answer, "\"queued\"") &&
	    !strstr(j->answer, "\"running\""))
		return 0;
	if (j->accepted && status != 200 && status != 503 && status != 504)
		return 0;
	j->accepted = 1;
	j->send_at = now_ms() + POLL_MS;
	return 1;
}

static void handle_answer(struct job *j, long status)
{
	if (poll_state(j, status))
		return;
	if (f.stored && status == 504) {
		resend_or_give_up(j);
		return;
	}
	open_jobs--;
	if (j->is_cancelled)
		return;
	if (status == 503 || status == 429) {
		count.rejected++;
		/* A job that was sent again may have run before. */
		if (j->sends == 1)
			j->outcome = OUTCOME_REJECTED;
		count.no_retry_after += !j->retry_after;
	} else if (status == 504) {
		count.incomplete++;
	} else if (status == 200 && strstr(j->answer, "\"completed\"")) {
		count.completed++;
		j->outcome = OUTCOME_COMPLETED;
	} else if (status == 200 && strstr(j->answer, "\"failed\"")) {
		count.failed++;
	} else {
		count.unexpected++;
	}
}

static void handle_finished_requests(void)
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
		if (msg->easy_handle == j->cancel) {
			cancel_finished(j, rc == CURLE_OK ? status : 0);
			continue;
		}
		curl_multi_remove_handle(multi, j->easy);
		curl_easy_cleanup(j->easy);
		curl_slist_free_all(j->headers);
		j->easy = NULL;
		j->headers = NULL;
		if (j->sends <= TRIES_MAX) {
			j->tries[j->sends - 1].ended_at = now_ms();
			j->tries[j->sends - 1].error = (int)rc;
		}
		if (j->deadline_ms &&
		    now_ms() - j->sent_at > j->deadline_ms + LATE_MS)
			count.late++;
		if (rc == CURLE_OK && status)
			handle_answer(j, status);
		else
			resend_or_give_up(j);
	}
}

static void submit_new_jobs(int64_t started_at)
{
	double njobs_due = (double)(now_ms() - started_at) * f.rate / 1000;

	if (njobs_due > f.rate * f.seconds)
		njobs_due = f.rate * f.seconds;
	while ((double)njobs < njobs_due && njobs < JOBS_MAX) {
		struct job *j = &jobs[njobs++];

		j->id = (unsigned long long)f.seed << 32 | njobs;
		j->tasks = f.tasks;
		j->submitted_at = now_ms();
		if (f.deadline_min > 0) {
			j->deadline_ms = draw_deadline();
			count.deadlines++;
		}
		open_jobs++;
		draw_cancel(j);
		send_job(j);
	}
}

static void resend_due(void)
{
	size_t i;

	for (i = 0; i < njobs; i++)
		if (jobs[i].send_at && jobs[i].send_at <= now_ms())
			send_job(&jobs[i]);
}

static json_t *job_ids(enum outcome outcome)
{
	json_t *list = json_array();
	char id[24];
	size_t i;

	for (i = 0; i < njobs; i++) {
		if (jobs[i].outcome != outcome)
			continue;
		snprintf(id, sizeof(id), "%016llx", jobs[i].id);
		json_array_append_new(list, json_string(id));
	}
	return list;
}

/* Returns the counts of answers that the stand-in found to be wrong. */
static json_t *verify_outcomes(void)
{
	json_t *o = json_pack("{s:i,s:o,s:o}", "tasks", f.tasks, "rejected",
			      job_ids(OUTCOME_REJECTED), "completed",
			      job_ids(OUTCOME_COMPLETED));
	char *body = json_dumps(o, JSON_COMPACT), url[256];
	struct job job = { .answer_len = 0 };
	CURL *e = curl_easy_init();

	snprintf(url, sizeof(url), "http://%s/control/verify",
		 f.verify_address);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, &job);
	curl_easy_perform(e);
	curl_easy_cleanup(e);
	json_decref(o);
	free(body);
	return json_loads(job.answer, 0, NULL);
}

static void report(void)
{
	json_t *o = json_pack("{s:I,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i}",
			      "jobs", (json_int_t)njobs, "completed",
			      count.completed, "failed", count.failed,
			      "rejected", count.rejected, "incomplete",
			      count.incomplete, "unanswered", count.unanswered,
			      "resent", count.resent, "unexpected",
			      count.unexpected, "no_retry_after",
			      count.no_retry_after, "deadlines",
			      count.deadlines, "late", count.late);
	json_t *verified = f.verify_address ? verify_outcomes() : NULL;

	if (f.cancel) {
		json_object_set_new(o, "cancelled",
				    json_integer(count.cancelled));
		json_object_set_new(o, "not_cancelled",
				    json_integer(count.not_cancelled));
	}
	if (verified)
		json_object_update(o, verified);
	if (count.unanswered)
		json_object_set(o, "unanswered_tries", unanswered);
	json_dumpf(o, stdout, JSON_COMPACT | JSON_PRESERVE_ORDER);
	putchar('\n');
	json_decref(verified);
	json_decref(o);
}

/* Parses "MIN-MAX" or a single number, in ms. Returns 0 if it is malformed. */
static int parse_deadline(const char *arg)
{
	char *end;

	f.deadline_min = f.deadline_max = strtod(arg, &end);
	if (*end == '-')
		f.deadline_max = strtod(end + 1, &end);
	return !*end && f.deadline_min >= 1 && f.deadline_max <= INT32_MAX &&
	       f.deadline_min <= f.deadline_max;
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
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
		f.task_ms = atoi(arg);
		return 0;
	case 'x':
		f.seed = (unsigned)atoi(arg);
		return 0;
	case 'd':
		if (!parse_deadline(arg))
			argp_error(state, "'%s' must be MS or MIN-MAX", arg);
		return 0;
	case 'c':
		f.cancel = atoi(arg);
		return 0;
	case 'k':
		f.stored = 1;
		return 0;
	case 'v':
		f.verify_address = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (f.naddresses == ADDRESSES_MAX)
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
		{ .name = "deadline-ms",
		  .key = 'd',
		  .arg = "MIN-MAX",
		  .doc = "how long each caller states that it waits, "
			 "log-uniform; none if not given" },
		{ .name = "cancel",
		  .key = 'c',
		  .arg = "PERCENT",
		  .doc = "of the jobs, at random times and entry VMs" },
		{ .name = "stored", .key = 'k', .doc = "submit stored jobs" },
		{ .name = "verify",
		  .key = 'v',
		  .arg = "IP:PORT",
		  .doc = "stand-in that verifies the answers" },
		{ 0 },
	};
	static const struct argp argp = { options, parse, "IP:PORT...", NULL,
					  NULL,	   NULL,  NULL };
	int64_t started_at;
	int running;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	f.deadline_seed = f.cancel_seed = f.seed;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	multi = curl_multi_init();
	unanswered = json_array();
	started_at = now_ms();
	do {
		submit_new_jobs(started_at);
		resend_due();
		cancel_due();
		curl_multi_perform(multi, &running);
		handle_finished_requests();
		curl_multi_poll(multi, NULL, 0, 10, NULL);
	} while (open_jobs || open_cancels ||
		 (double)(now_ms() - started_at) < f.seconds * 1000);
	report();
	return 0;
}
