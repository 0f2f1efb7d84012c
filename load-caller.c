/*
 * Callers: each thread sends its share of the plan at the planned times, has
 * keys issued ahead of need, resubmits and comes back after refusals.
 */

#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEYS_BATCH 64 /* keys asked for at once */
#define KEYS_LOW 32   /* ask again below this */
#define KEYS_TIMEOUT_MS 5000L
#define RETRY_US 100000 /* after no answer */
#define GRACE_MS 5000	/* a caller waits this long beyond its timeout */

/* Issued keys of one entry VM, and the jobs that wait for one. */
struct key_stock {
	char **keys;
	size_t len, cap;
	int asked;
	struct load_timed *waiting;
	size_t nwaiting, cap_waiting;
};

struct caller {
	struct load_loop loop;
	const struct load_settings *set;
	struct load_plan *plan;
	size_t index; /* sends the jobs with number % threads == index */
	size_t next;
	int64_t start_us;
	struct key_stock stock[LOAD_VMS_MAX];
	pthread_t thread;
};

static void send_job(struct caller *c, struct load_job *job, size_t number,
		     size_t vm);

/* Appends an item to a growing array. */
static void push(void *list, size_t *len, size_t *cap, const void *item,
		 size_t size)
{
	char **items = list;

	if (*len == *cap) {
		*cap = *cap ? 2 * *cap : 64;
		*items = realloc(*items, *cap * size);
		if (!*items)
			abort();
	}
	memcpy(*items + *len * size, item, size);
	(*len)++;
}

/* --- keys ------------------------------------------------------------- */

/* The JSON of a reply, or NULL. */
static json_t *reply_json(const struct load_call *call)
{
	return call->status ? json_loadb(call->reply, call->len, 0, NULL)
			    : NULL;
}

/* Adds issued keys to the stock. */
static void take_keys(struct key_stock *s, json_t *keys)
{
	json_t *key;
	size_t i;

	json_array_foreach(keys, i, key)
	{
		char *copy = strdup(json_string_value(key));

		push(&s->keys, &s->len, &s->cap, &copy, sizeof(copy));
	}
}

/* Sends the jobs that waited, as far as there are keys. */
static void send_waiting(struct caller *c, struct key_stock *s)
{
	while (s->nwaiting && s->len) {
		struct load_timed t = s->waiting[0];

		s->nwaiting--;
		memmove(s->waiting, s->waiting + 1, s->nwaiting * sizeof(t));
		send_job(c, t.job, t.number, t.vm);
	}
}

/* Moves the jobs that waited in vain to the next entry VM. */
static void move_waiting(struct caller *c, struct key_stock *s, size_t vm)
{
	int64_t now = load_now_us();
	size_t i;

	for (i = 0; i < s->nwaiting; i++) {
		struct load_timed t = s->waiting[i];

		t.at_us = now + RETRY_US;
		t.vm = (vm + 1) % c->set->nvms;
		if (now - c->start_us - t.job->at_us <
		    c->set->timeout_ms * 1000)
			load_loop_at(&c->loop, &t);
		else
			t.job->state = LOAD_LOST;
	}
	s->nwaiting = 0;
}

/* Goes on with the jobs that waited, here or elsewhere. */
static void on_keys(struct load_call *call)
{
	struct caller *c = call->loop->owner;
	struct key_stock *s = &c->stock[call->vm];
	json_t *o = reply_json(call);

	s->asked = 0;
	take_keys(s, json_object_get(o, "keys"));
	json_decref(o);
	if (s->len)
		send_waiting(c, s);
	else
		move_waiting(c, s, call->vm);
}

/* Asks an entry VM for a batch of keys. */
static void ask_keys(struct caller *c, size_t vm)
{
	struct load_call *call = calloc(1, sizeof(*call));
	char url[256];

	if (!call)
		abort();
	snprintf(url, sizeof(url), "http://%s/v1/keys?count=%d",
		 c->set->vms[vm], KEYS_BATCH);
	call->done = on_keys;
	call->vm = vm;
	call->body = strdup("");
	c->stock[vm].asked = 1;
	load_call_start(&c->loop, call, url, KEYS_TIMEOUT_MS);
}

/* Gives the job its key; returns 0 when it has to wait for one. */
static int give_key(struct caller *c, struct load_job *job, size_t number,
		    size_t vm)
{
	struct key_stock *s = &c->stock[vm];
	struct load_timed t = { 0, job, number, vm, 0 };
	char own[2 * LOAD_NAME_LEN];

	if (job->key)
		return 1;
	if (job->own_key) {
		snprintf(own, sizeof(own), "%s-%zu", c->set->run, number);
		job->key = strdup(own);
		return 1;
	}
	if (s->len)
		job->key = s->keys[--s->len];
	else
		push(&s->waiting, &s->nwaiting, &s->cap_waiting, &t, sizeof(t));
	if (s->len < KEYS_LOW && !s->asked)
		ask_keys(c, vm);
	return job->key != NULL;
}

/* --- jobs ------------------------------------------------------------- */

/* Whether nothing can change the state any more. */
static int is_final(enum load_state state)
{
	return state == LOAD_COMPLETE || state == LOAD_FAILED ||
	       state == LOAD_NOT_RUN;
}

/* Notes an outcome; the first final one is the job's. */
static void note_outcome(struct caller *c, struct load_job *job,
			 const struct load_outcome *out)
{
	if (job->noutcomes < LOAD_CALLS_MAX)
		job->outcomes[job->noutcomes++] = *out;
	if (is_final(job->state))
		return;
	job->state = out->state;
	job->told_ms = out->told_ms;
	memcpy(job->error, out->error, sizeof(job->error));
	job->done_us = load_now_us() - c->start_us;
}

/* Comes back at another entry VM after a refusal or a lost answer. */
static void maybe_retry(struct caller *c, const struct load_call *call,
			const struct load_outcome *out)
{
	struct load_job *job = call->job;
	int64_t pause_us = out->retry_after_ms * 1000;
	struct load_timed t = { 0, job, call->number, job->resubmit_vm, 0 };

	if (out->state == LOAD_LOST)
		pause_us = RETRY_US;
	else if (out->state != LOAD_REFUSED || !pause_us)
		return;
	t.at_us = load_now_us() + pause_us;
	if (job->ncalls < LOAD_CALLS_MAX &&
	    t.at_us - c->start_us - job->at_us < c->set->retry_for_ms * 1000)
		load_loop_at(&c->loop, &t);
}

/* Checks and notes an answer. */
static void on_answer(struct load_call *call)
{
	struct caller *c = call->loop->owner;
	struct load_outcome out;
	json_t *o = reply_json(call);

	load_answer_read(c->set, call, o, &out);
	/* An answer brings the keys of the next jobs. */
	take_keys(&c->stock[call->vm], json_object_get(o, "next_keys"));
	json_decref(o);
	note_outcome(c, call->job, &out);
	maybe_retry(c, call, &out);
}

/* Sends a job, or lets it wait for a key. */
static void send_job(struct caller *c, struct load_job *job, size_t number,
		     size_t vm)
{
	const struct load_settings *set = c->set;
	struct load_call *call;
	char text[512];

	if (!give_key(c, job, number, vm))
		return;
	call = calloc(1, sizeof(*call));
	if (!call)
		abort();
	call->done = on_answer;
	call->job = job;
	call->number = number;
	call->vm = vm;
	call->body = load_job_body(set, job, number);
	call->headers = curl_slist_append(NULL, "Content-Type: "
						"application/json");
	if (job->own_key) {
		snprintf(text, sizeof(text), "Idempotency-Key: %s", job->key);
		call->headers = curl_slist_append(call->headers, text);
	}
	snprintf(text, sizeof(text), "http://%s/v1/%s", set->vms[vm],
		 job->is_request ? "requests" : "jobs");
	if (!job->ncalls++)
		job->sent_us = load_now_us() - c->start_us;
	load_call_start(&c->loop, call, text, set->timeout_ms + GRACE_MS);
}

/* Puts the thread's next job of the plan on the loop. */
static void plan_next(struct caller *c)
{
	struct load_job *job;
	struct load_timed t;

	if (c->next >= c->plan->njobs)
		return;
	job = &c->plan->jobs[c->next];
	t.at_us = c->start_us + job->at_us;
	t.job = job;
	t.number = c->next;
	t.vm = job->vm;
	t.is_first = 1;
	load_loop_at(&c->loop, &t);
	if (job->resubmit_at_us) {
		t.is_first = 0;
		t.at_us = c->start_us + job->resubmit_at_us;
		t.vm = job->resubmit_vm;
		load_loop_at(&c->loop, &t);
	}
	c->next += c->set->threads;
}

/* Sends what is due; the first sending of a job plans the next. */
static void on_due(struct load_loop *loop, const struct load_timed *t)
{
	struct caller *c = loop->owner;

	if (t->is_first)
		plan_next(c);
	send_job(c, t->job, t->number, t->vm);
}

/* Carries out one thread's share of the plan. */
static void *caller_thread(void *arg)
{
	struct caller *c = arg;
	size_t i, k;

	plan_next(c);
	load_loop_run(&c->loop);
	for (i = 0; i < c->set->nvms; i++) {
		for (k = 0; k < c->stock[i].len; k++)
			free(c->stock[i].keys[k]);
		free(c->stock[i].keys);
		free(c->stock[i].waiting);
	}
	load_loop_finish(&c->loop);
	return NULL;
}

void load_run(const struct load_settings *set, struct load_plan *plan)
{
	struct caller *callers = calloc(set->threads, sizeof(*callers));
	int64_t start = load_now_us() + 50000;
	size_t i;

	if (!callers)
		abort();
	for (i = 0; i < set->threads; i++) {
		struct caller *c = &callers[i];

		if (load_loop_init(&c->loop))
			abort();
		c->loop.owner = c;
		c->loop.fire = on_due;
		c->set = set;
		c->plan = plan;
		c->index = i;
		c->next = i;
		c->start_us = start;
		if (pthread_create(&c->thread, NULL, caller_thread, c))
			abort();
	}
	for (i = 0; i < set->threads; i++)
		pthread_join(callers[i].thread, NULL);
	free(callers);
}
