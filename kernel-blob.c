/* Reference-counted blobs, submissions and answers of the public header. */

#include "budget.h"
#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

#define XXH_STATIC_LINKING_ONLY /* for XXH64_state_t on the stack */
#include <xxhash.h>

/* Of a task of a submission, beside its id and payload, with its state. */
#define TASK_BYTES 128

struct rp_blob *rp_blob_new(const void *data, size_t len)
{
	struct rp_blob *b = malloc(sizeof(*b) + len + 1);

	if (!b)
		return NULL;
	atomic_init(&b->refs, 1);
	b->len = len;
	if (len && data)
		memcpy(b->data, data, len);
	b->data[len] = '\0';
	return b;
}

struct rp_blob *rp_blob_ref(struct rp_blob *b)
{
	atomic_fetch_add(&b->refs, 1);
	return b;
}

void rp_blob_unref(struct rp_blob *b)
{
	if (b && atomic_fetch_sub(&b->refs, 1) == 1)
		free(b);
}

/* Copies a string to *at in the arena and advances *at past it. */
static struct rp_str arena_copy(char **at, struct rp_str s)
{
	struct rp_str copy = { *at, s.len };

	if (s.len)
		memcpy(*at, s.ptr, s.len);
	*at += s.len;
	return copy;
}

/* Hashes the length before the string, so that field boundaries count. */
static void digest_str(XXH64_state_t *h, struct rp_str s)
{
	uint64_t len = s.len;

	XXH64_update(h, &len, sizeof(len));
	if (s.len)
		XXH64_update(h, s.ptr, s.len);
}

static uint64_t submission_digest(const struct rp_submission *s)
{
	uint64_t flags = (uint64_t)s->is_request << 1 | (uint64_t)s->idempotent;
	XXH64_state_t h;
	size_t i;

	XXH64_reset(&h, 0);
	XXH64_update(&h, &flags, sizeof(flags));
	digest_str(&h, s->service);
	digest_str(&h, s->team);
	for (i = 0; i < s->ntasks; i++) {
		digest_str(&h, s->tasks[i].id);
		digest_str(&h, s->tasks[i].payload);
	}
	return XXH64_digest(&h);
}

struct rp_submission *rp_submission_new(const struct rp_submission_spec *spec)
{
	size_t bytes = spec->key.len + spec->service.len + spec->team.len;
	struct rp_submission *s;
	char *at;
	size_t i;

	for (i = 0; i < spec->ntasks; i++)
		bytes += spec->tasks[i].id.len + spec->tasks[i].payload.len;
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	atomic_init(&s->refs, 1);
	s->arena = malloc(bytes + 1);
	s->tasks = calloc(spec->ntasks + 1, sizeof(*s->tasks));
	if (!s->arena || !s->tasks) {
		rp_submission_unref(s);
		return NULL;
	}
	at = s->arena;
	s->key = arena_copy(&at, spec->key);
	s->service = arena_copy(&at, spec->service);
	s->team = arena_copy(&at, spec->team);
	s->key_is_callers = spec->key_is_callers;
	s->is_request = spec->is_request;
	s->idempotent = spec->idempotent;
	s->timeout = spec->timeout;
	s->bytes = bytes;
	s->ntasks = spec->ntasks;
	for (i = 0; i < spec->ntasks; i++) {
		s->tasks[i].id = arena_copy(&at, spec->tasks[i].id);
		s->tasks[i].payload = arena_copy(&at, spec->tasks[i].payload);
	}
	s->digest = submission_digest(s);
	return s;
}

int rp_submission_hold(struct rp_submission *s, struct rp_budget *b)
{
	size_t n = sizeof(*s) + s->bytes + s->ntasks * TASK_BYTES;

	if (!b || s->budget)
		return 0;
	if (budget_take(b, RP_HOLD_JOBS, n) < 0)
		return -1;
	s->budget = b;
	s->held = n;
	return 0;
}

struct rp_submission *rp_submission_ref(struct rp_submission *s)
{
	atomic_fetch_add(&s->refs, 1);
	return s;
}

void rp_submission_unref(struct rp_submission *s)
{
	if (!s || atomic_fetch_sub(&s->refs, 1) != 1)
		return;
	budget_release(s->budget, RP_HOLD_JOBS, s->held);
	free(s->arena);
	free(s->tasks);
	free(s);
}

struct rp_answer *rp_answer_new(enum rp_state state)
{
	struct rp_answer *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	atomic_init(&a->refs, 1);
	a->state = state;
	return a;
}

struct rp_answer *rp_answer_ref(struct rp_answer *a)
{
	atomic_fetch_add(&a->refs, 1);
	return a;
}

void rp_answer_unref(struct rp_answer *a)
{
	size_t i;

	if (!a || atomic_fetch_sub(&a->refs, 1) != 1)
		return;
	for (i = 0; i < a->nresults; i++)
		rp_blob_unref(a->results[i].body);
	free(a->results);
	rp_submission_unref(a->sub);
	free(a);
}
