/*
 * Callers. Each thread sends its share of the plan at the planned times,
 * fetches issued keys ahead of need, resubmits jobs and retries after refusals.
 */

#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEYS_PER_CALL 64     /* keys that one call asks for */
#define KEYS_REFILL_BELOW 32 /* fewer keys cause a call for more */
#define KEYS_TIMEOUT_MS 5000L
#define RETRY_DELAY_US 100000 /* after a call without an answer */
#define ANSWER_GRACE_MS 5000  /* for an answer, beyond the job's timeout */

/* Unused keys issued by one entry VM, and jobs that wait for a key. */
struct key_pool {
	char **keys;
	size_t len, cap;
	int requested; /* a call for keys is in flight */
	struct load_timer *waiting;
	size_t nwaiting, cap_waiting;
};

/* One thread of the load generator. */
struct caller {
	struct load_loop loop;
	const struct load_settings *set;
	struct load_plan *plan;
	size_t index;	  /* sends the jobs with number % threads == index */
	size_t next_job;  /* number of its next job in the plan */
	int64_t start_us; /* start of the run, by load_now_us() */
	struct key_pool key_pools[LOAD_VMS_MAX]; /* by entry VM */
	pthread_t thread;
};

static void send_job(struct caller *c, struct load_job *job, size_t number,
		     size_t vm);

/* Appends an item to a growable array. */
static void append(void *list, size_t *len, size_t *cap, const void *item,
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

/* Returns the JSON of an answer, or NULL. */
static json_t *parse_answer(const struct load_call *call)
{
	return call->status ? json_loadb(call->answer, call->len, 0, NULL)
			    : NULL;
}

/* Adds issued keys to the pool. */
static void add_keys(struct key_pool *pool, json_t *keys)
{
	json_t *key;
	size_t i;

	json_array_foreach(keys, i, key)
	{
		char *copy = strdup(json_string_value(key));

		append(&pool->keys, &pool->len, &pool->cap, &copy,
		       sizeof(copy));
	}
}

/* Sends waiting jobs while there are keys. */
static void send_waiting_jobs(struct caller *c, struct key_pool *pool)
{
	while (pool->nwaiting && pool->len) {
		struct load_timer t = pool->waiting[0];

		pool->nwaiting--;
		memmove(pool->waiting, pool->waiting + 1,
			pool->nwaiting * sizeof(t));
		send_job(c, t.job, t.job_number, t.vm);
	}
}

/*
 * Schedules the waiting jobs at the next entry VM after no keys came. Those
 * past their timeout are lost.
 */
static void move_waiting_jobs(struct caller *c, struct key_pool *pool,
			      size_t vm)
{
	int64_t now = load_now_us();
	size_t i;

	for (i = 0; i < pool->nwaiting; i++) {
		struct load_timer t = pool->waiting[i];

		t.due_us = now + RETRY_DELAY_US;
		t.vm = (vm + 1) % c->set->nvms;
		if (now - c->start_us - t.job->planned_us <
		    t.job->timeout_ms * 1000)
			load_loop_schedule(&c->loop, &t);
		else
			t.job->state = LOAD_LOST;
	}
	pool->nwaiting = 0;
}

/* Handles the answer to a call for keys. */
static void on_keys_answer(struct load_call *call)
{
	struct caller *c = call->loop->owner;
	struct key_pool *pool = &c->key_pools[call->vm];
	json_t *o = parse_answer(call);

	pool->requested = 0;
	add_keys(pool, json_object_get(o, "keys"));
	json_decref(o);
	if (pool->len)
		send_waiting_jobs(c, pool);
	else
		move_waiting_jobs(c, pool, call->vm);
}

/* Starts a call for more keys to an entry VM. */
static void request_keys(struct caller *c, size_t vm)
{
	struct load_call *call = calloc(1, sizeof(*call));
	char url[256];

	if (!call)
		abort();
	snprintf(url, sizeof(url), "http://%s/v1/keys?count=%d",
		 c->set->vms[vm], KEYS_PER_CALL);
	call->done = on_keys_answer;
	call->vm = vm;
	call->body = strdup("");
	c->key_pools[vm].requested = 1;
	load_call_start(&c->loop, call, url, KEYS_TIMEOUT_MS);
}

/* Assigns a key to the job; returns 0 when the job must wait for one. */
static int assign_key(struct caller *c, struct load_job *job, size_t number,
		      size_t vm)
{
	struct key_pool *pool = &c->key_pools[vm];
	struct load_timer t = { 0, job, number, vm, 0 };
	char caller_key[2 * LOAD_NAME_LEN];

	if (job->key)
		return 1;
	if (job->own_key) {
		snprintf(caller_key, sizeof(caller_key), "%s-%zu",
			 c->set->run_name, number);
		job->key = strdup(caller_key);
		return 1;
	}
	if (pool->len)
		job->key = pool->keys[--pool->len];
	else
		append(&pool->waiting, &pool->nwaiting, &pool->cap_waiting, &t,
		       sizeof(t));
	if (pool->len < KEYS_REFILL_BELOW && !pool->requested)
		request_keys(c, vm);
	return job->key != NULL;
}

/* --- jobs ------------------------------------------------------------- */

/* Whether the state is one that can no longer change. */
static int is_final(enum load_state state)
{
	return state == LOAD_COMPLETE || state == LOAD_FAILED ||
	       state == LOAD_NOT_RUN;
}

/* Records an outcome; the first final one becomes the state of the job. */
static void record_outcome(struct caller *c, struct load_job *job,
			   const struct load_outcome *out)
{
	if (job->noutcomes < LOAD_CALLS_MAX)
		job->outcomes[job->noutcomes++] = *out;
	if (is_final(job->state))
		return;
	job->state = out->state;
	job->longest_task_ms = out->longest_task_ms;
	memcpy(job->error, out->error, sizeof(job->error));
	job->done_us = load_now_us() - c->start_us;
}

/* Schedules a retry at another entry VM after a refusal or a lost answer. */
static void schedule_retry(struct caller *c, const struct load_call *call,
			   const struct load_outcome *out)
{
	struct load_job *job = call->job;
	int64_t delay_us = out->retry_after_ms * 1000;
	struct load_timer t = { 0, job, call->job_number, job->resubmit_vm, 0 };

	if (out->state == LOAD_LOST)
		delay_us = RETRY_DELAY_US;
	else if (out->state != LOAD_REFUSED || !delay_us)
		return;
	t.due_us = load_now_us() + delay_us;
	if (job->ncalls < LOAD_CALLS_MAX &&
	    t.due_us - c->start_us - job->planned_us <
		    c->set->retry_for_ms * 1000)
		load_loop_schedule(&c->loop, &t);
}

/* Checks and records an answer. */
static void on_answer(struct load_call *call)
{
	struct caller *c = call->loop->owner;
	struct load_outcome out;
	json_t *o = parse_answer(call);

	load_answer_parse(c->set, call, o, &out);
	/* Answers carry issued keys for later jobs. */
	add_keys(&c->key_pools[call->vm], json_object_get(o, "next_keys"));
	json_decref(o);
	record_outcome(c, call->job, &out);
	schedule_retry(c, call, &out);
}

/* Sends a job, or queues it until there is a key. */
static void send_job(struct caller *c, struct load_job *job, size_t number,
		     size_t vm)
{
	const struct load_settings *set = c->set;
	struct load_call *call;
	char buf[512];

	if (!assign_key(c, job, number, vm))
		return;
	call = calloc(1, sizeof(*call));
	if (!call)
		abort();
	call->done = on_answer;
	call->job = job;
	call->job_number = number;
	call->vm = vm;
	call->body = load_job_body(set, job, number);
	call->headers = curl_slist_append(NULL, "Content-Type: "
						"application/json");
	if (job->own_key) {
		snprintf(buf, sizeof(buf), "Idempotency-Key: %s", job->key);
		call->headers = curl_slist_append(call->headers, buf);
	}
	snprintf(buf, sizeof(buf), "http://%s/v1/%s", set->vms[vm],
		 job->is_request ? "requests" : "jobs");
	if (!job->ncalls++)
		job->sent_us = load_now_us() - c->start_us;
	load_call_start(&c->loop, call, buf, job->timeout_ms + ANSWER_GRACE_MS);
}

/* Schedules the next job of this thread, with its resubmission. */
static void schedule_next_job(struct caller *c)
{
	struct load_job *job;
	struct load_timer t;

	if (c->next_job >= c->plan->njobs)
		return;
	job = &c->plan->jobs[c->next_job];
	t.due_us = c->start_us + job->planned_us;
	t.job = job;
	t.job_number = c->next_job;
	t.vm = job->vm;
	t.is_first = 1;
	load_loop_schedule(&c->loop, &t);
	if (job->resubmit_at_us) {
		t.is_first = 0;
		t.due_us = c->start_us + job->resubmit_at_us;
		t.vm = job->resubmit_vm;
		load_loop_schedule(&c->loop, &t);
	}
	c->next_job += c->set->threads;
}

/* Sends a job when its timer fires; its first call schedules the next job. */
static void on_due(struct load_loop *loop, const struct load_timer *t)
{
	struct caller *c = loop->owner;

	if (t->is_first)
		schedule_next_job(c);
	send_job(c, t->job, t->job_number, t->vm);
}

/* Sends the jobs of one thread and frees its state. */
static void *caller_thread(void *arg)
{
	struct caller *c = arg;
	size_t i, k;

	schedule_next_job(c);
	load_loop_run(&c->loop);
	for (i = 0; i < c->set->nvms; i++) {
		for (k = 0; k < c->key_pools[i].len; k++)
			free(c->key_pools[i].keys[k]);
		free(c->key_pools[i].keys);
		free(c->key_pools[i].waiting);
	}
	load_loop_finish(&c->loop);
	return NULL;
}

void load_run(const struct load_settings *set, struct load_plan *plan)
{
	struct caller *callers = calloc(set->threads, sizeof(*callers));
	/* Leaves time to create the threads. */
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
		c->next_job = i;
		c->start_us = start;
		if (pthread_create(&c->thread, NULL, caller_thread, c))
			abort();
	}
	for (i = 0; i < set->threads; i++)
		pthread_join(callers[i].thread, NULL);
	free(callers);
}
