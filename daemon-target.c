/* Calls to targets: START, LOOKUP, VOID and STOP of tasks. */

#include "daemon.h"

#include <apr_hash.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define URL_MAX 768 /* bytes */

/* The loops that share the calls to all targets. */
struct target_client {
	int nloops;
	struct target_loop *loops;
};

/* A loop that calls some of the targets, with its starts in flight. */
struct target_loop {
	struct loop loop;
	apr_hash_t *starts; /* start_id to struct target_call */
};

/* A call to a target for one task. */
struct target_call {
	struct loop_call call; /* must be the first member */
	enum rp_action_type type;
	uint64_t start_id;
	char target[RP_NAME_MAX];
	char address[RP_ADDRESS_MAX];
	char task_id[RP_KEY_MAX + 32];
	rp_ms timeout;
	int close_connection; /* as in struct rp_action */
	int superseded;	      /* a lookup reports the outcome of this start */
	struct rp_submission *sub; /* owns payload; NULL unless START */
	struct rp_str payload;
	char timeout_header[48];
	struct curl_slist headers;
};

static struct curl_slist content_type_header = { "Content-Type: "
						 "application/octet-stream",
						 NULL };
static struct curl_slist no_expect_header = { "Expect:", &content_type_header };

/* Writes the URL of the task, whose id is percent-encoded. */
static void write_url(char *url, const struct target_call *t)
{
	static const char hex[] = "0123456789ABCDEF";
	const unsigned char *s = (const unsigned char *)t->task_id;
	int at = snprintf(url, URL_MAX, "http://%s/v1/tasks/", t->address);

	for (; *s && at < URL_MAX - 16; s++) {
		if ((*s >= '0' && *s <= '9') || (*s >= 'a' && *s <= 'z') ||
		    (*s >= 'A' && *s <= 'Z') || strchr("-_.~", *s)) {
			url[at++] = (char)*s;
			continue;
		}
		url[at++] = '%';
		url[at++] = hex[*s >> 4];
		url[at++] = hex[*s & 15];
	}
	snprintf(url + at, (size_t)(URL_MAX - at), "%s",
		 t->type == RP_ACTION_STOP ? "?stop=1" : "");
}

static void prepare_start(struct target_call *t)
{
	struct target_loop *tl = t->call.loop->user;
	CURL *easy = t->call.easy;

	snprintf(t->timeout_header, sizeof(t->timeout_header),
		 "X-Timeout-Ms: %lld", (long long)t->timeout);
	t->headers.data = t->timeout_header;
	t->headers.next = &no_expect_header;
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, &t->headers);
	curl_easy_setopt(easy, CURLOPT_POST, 1L);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)t->payload.len);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, t->payload.ptr);
	if (t->close_connection)
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	apr_hash_set(tl->starts, &t->start_id, sizeof(t->start_id), t);
}

/*
 * Aborts the start with the id of this lookup and closes its connection. From
 * now on the lookup reports the outcome.
 */
static void abort_start(struct target_call *t)
{
	struct target_loop *tl = t->call.loop->user;
	struct target_call *start =
		apr_hash_get(tl->starts, &t->start_id, sizeof(t->start_id));

	if (!start)
		return;
	counter_add(COUNT_TARGET_CONNECTIONS_DROPPED, 1);
	start->superseded = 1;
	loop_abort_call(&start->call);
}

/* Lookups, voids and stops each use a new connection. */
static void prepare_lookup(struct target_call *t)
{
	CURL *easy = t->call.easy;

	if (t->close_connection)
		abort_start(t);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	if (t->type != RP_ACTION_LOOKUP)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "DELETE");
}

static void prepare_target(struct loop_call *c)
{
	struct target_call *t = (struct target_call *)c;
	char url[URL_MAX];

	write_url(url, t);
	curl_easy_setopt(c->easy, CURLOPT_URL, url);
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS,
			 (long)(t->timeout > 0 ? t->timeout : 1));
	if (t->type == RP_ACTION_START)
		prepare_start(t);
	else
		prepare_lookup(t);
}

/* Returns what the HTTP response to a start says about the task. */
static enum rp_start_outcome start_outcome(const struct loop_call *c,
					   CURLcode rc, long status)
{
	if (c->unsent)
		return RP_START_UNSENT;
	if (rc != CURLE_OK)
		return c->body_too_long && status == 200 ? RP_START_FAILED
							 : RP_START_UNKNOWN;
	switch (status) {
	case 200:
		return RP_START_DONE;
	case 500:
		return RP_START_FAILED;
	case 429:
	case 410: /* voided: the task has not run and never will */
		return RP_START_BUSY;
	case 503:
		return RP_START_LEAVING;
	default:
		return RP_START_UNKNOWN;
	}
}

/* Returns the state of a task, from the header X-Task-State. */
static enum rp_lookup_outcome lookup_outcome(const struct loop_call *c,
					     CURLcode rc, long status)
{
	static const struct {
		const char *name;
		enum rp_lookup_outcome outcome;
	} states[] = {
		{ "done", RP_LOOKUP_DONE },
		{ "failed", RP_LOOKUP_FAILED },
		{ "running", RP_LOOKUP_RUNNING },
		{ "voided", RP_LOOKUP_VOIDED },
	};
	struct curl_header *h;
	size_t i;

	if (rc != CURLE_OK)
		return c->body_too_long ? RP_LOOKUP_FAILED : RP_LOOKUP_NONE;
	if (status == 404)
		return RP_LOOKUP_UNKNOWN;
	if (curl_easy_header(c->easy, "X-Task-State", 0, CURLH_HEADER, -1, &h))
		return RP_LOOKUP_NONE;
	for (i = 0; i < sizeof(states) / sizeof(*states); i++)
		if (!strcmp(h->value, states[i].name))
			return states[i].outcome;
	return RP_LOOKUP_NONE;
}

static void free_target(struct loop_call *c)
{
	struct target_call *t = (struct target_call *)c;

	rp_submission_unref(t->sub);
	free(c->body);
	free(t);
}

static void finish_start(struct target_call *t, CURLcode rc, long status)
{
	struct target_loop *tl = t->call.loop->user;
	struct rp_event ev = { .type = RP_EVENT_TARGET_REPLY };

	apr_hash_set(tl->starts, &t->start_id, sizeof(t->start_id), NULL);
	ev.reply.start_id = t->start_id;
	ev.reply.outcome = start_outcome(&t->call, rc, status);
	if (t->superseded && ev.reply.outcome == RP_START_UNKNOWN)
		return;
	if (ev.reply.outcome == RP_START_UNSENT)
		counter_add(COUNT_TARGET_UNSENT, 1);
	if (ev.reply.outcome == RP_START_UNKNOWN)
		counter_add(COUNT_TARGET_UNKNOWN, 1);
	if (rc != CURLE_OK)
		log_info("start", t->target, "%s: %s",
			 t->call.unsent ? "not sent" : "outcome unknown",
			 curl_easy_strerror(rc));
	ev.reply.body = rp_blob_new(t->call.body, t->call.len);
	daemon_handle_event(t->call.loop->d, &ev);
	rp_blob_unref(ev.reply.body);
}

/* Returns whether the outcome is final, so that the start can be aborted. */
static int is_final(enum rp_lookup_outcome outcome)
{
	return outcome == RP_LOOKUP_DONE || outcome == RP_LOOKUP_FAILED ||
	       outcome == RP_LOOKUP_VOIDED;
}

static void finish_lookup(struct target_call *t, CURLcode rc, long status)
{
	struct rp_event ev = { .type = RP_EVENT_LOOKUP_REPLY };

	ev.lookup.start_id = t->start_id;
	ev.lookup.outcome = lookup_outcome(&t->call, rc, status);
	if (is_final(ev.lookup.outcome))
		abort_start(t);
	if (rc != CURLE_OK)
		log_info("lookup", t->target, "no reply: %s",
			 curl_easy_strerror(rc));
	ev.lookup.body = rp_blob_new(t->call.body, t->call.len);
	daemon_handle_event(t->call.loop->d, &ev);
	rp_blob_unref(ev.lookup.body);
}

static void count_transfer(const struct loop_call *c,
			   const struct target_call *t)
{
	long connects = 0;

	if (!c->easy)
		return;
	curl_easy_getinfo(c->easy, CURLINFO_NUM_CONNECTS, &connects);
	counter_add(COUNT_TARGET_CONNECTS, (uint64_t)connects);
	counter_add(COUNT_TARGET_BYTES_IN, c->len);
	if (!c->unsent)
		counter_add(COUNT_TARGET_BYTES_OUT, t->payload.len);
}

static void finish_target(struct loop_call *c, CURLcode rc, long status)
{
	struct target_call *t = (struct target_call *)c;

	count_transfer(c, t);
	if (t->type == RP_ACTION_START)
		finish_start(t, rc, status);
	else if (t->type != RP_ACTION_STOP)
		finish_lookup(t, rc, status);
}

static const struct loop_call_ops target_ops = {
	.prepare = prepare_target,
	.finish = finish_target,
	.free = free_target,
};

/*
 * Returns the loop that runs all calls to the address. Each loop has its own
 * connections, which the calls reuse.
 */
static struct target_loop *get_loop(struct target_client *client,
				    const char *address)
{
	unsigned int h = 5381;

	while (*address)
		h = h * 33 + (unsigned char)*address++;
	return &client->loops[h % (unsigned int)client->nloops];
}

static void count_action(enum rp_action_type type)
{
	switch (type) {
	case RP_ACTION_LOOKUP:
		counter_add(COUNT_TARGET_LOOKUPS, 1);
		break;
	case RP_ACTION_VOID:
		counter_add(COUNT_TARGET_VOIDS, 1);
		break;
	case RP_ACTION_STOP:
		counter_add(COUNT_TARGET_STOPS, 1);
		break;
	default:
		counter_add(COUNT_TARGET_STARTS, 1);
		break;
	}
}

void target_execute(struct daemon *d, struct rp_action *act)
{
	struct target_call *t = calloc(1, sizeof(*t));
	struct target_loop *tl = get_loop(d->targets, act->start.address);

	if (!t)
		abort();
	t->call.ops = &target_ops;
	t->call.address = t->address;
	t->call.max_body = d->settings->max_result;
	t->type = act->type;
	t->start_id = act->start.start_id;
	memcpy(t->target, act->start.target, sizeof(t->target));
	memcpy(t->address, act->start.address, sizeof(t->address));
	memcpy(t->task_id, act->start.task_id, sizeof(t->task_id));
	t->timeout = act->start.timeout;
	t->close_connection = act->start.close_connection;
	t->sub = act->start.sub;
	act->start.sub = NULL;
	if (t->sub)
		t->payload = t->sub->tasks[act->start.task].payload;
	count_action(t->type);
	loop_queue_call(&tl->loop, &t->call);
}

int target_start(struct daemon *d)
{
	struct target_client *client = apr_pcalloc(d->pool, sizeof(*client));
	int i;

	client->nloops = d->settings->target_threads;
	client->loops = apr_pcalloc(d->pool, (size_t)client->nloops *
						     sizeof(*client->loops));
	d->targets = client;
	for (i = 0; i < client->nloops; i++) {
		struct target_loop *tl = &client->loops[i];
		apr_pool_t *pool;

		apr_pool_create(&pool, d->pool);
		tl->starts = apr_hash_make(pool);
		if (loop_init(&tl->loop, d, tl, (int)d->limits.target_idle) < 0)
			return -1;
	}
	return 0;
}

void target_stop(struct daemon *d)
{
	int i;

	for (i = 0; d->targets && i < d->targets->nloops; i++)
		loop_finish(&d->targets->loops[i].loop);
}
