#ifndef REGRESS_KERNEL_H
#define REGRESS_KERNEL_H

/* A kernel with a few targets, and helpers that deliver events to it. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemary-int.h"

struct test_kernel {
	struct rp_kernel *k;
	struct rp_options opt;
	struct rp_vm vms[16];
	struct rp_actions acts;
	rp_ms now;
};

/* Initializes the kernel with the options in t->opt. */
static inline void test_start(struct test_kernel *t)
{
	struct rp_status st;

	t->k = calloc(1, rp_kernel_size());
	rp_actions_init(&t->acts);
	if (rp_kernel_init(t->k, &t->opt, t->now, &st) != RP_OK)
		abort();
}

/* Initializes a kernel with targets of two slots each. */
static inline void test_init(struct test_kernel *t, int ntargets)
{
	int i;

	memset(t, 0, sizeof(*t));
	rp_options_init(&t->opt);
	t->opt.list_poll = 0;
	for (i = 0; i < ntargets; i++) {
		struct rp_vm *vm = &t->vms[i];

		vm->kind = RP_VM_TARGET;
		snprintf(vm->name, sizeof(vm->name), "target-%d", i);
		snprintf(vm->address, sizeof(vm->address), "127.0.0.1:%d",
			 9000 + i);
		snprintf(vm->service, sizeof(vm->service), "desk");
		vm->slots = 2;
	}
	t->opt.nseeds = (size_t)ntargets;
	t->opt.seeds = t->vms;
	test_start(t);
}

/* Delivers an event; t->acts has its actions until the next one. */
static inline void test_event(struct test_kernel *t, const struct rp_event *ev)
{
	rp_actions_clear(&t->acts);
	rp_kernel_event(t->k, t->now, ev, &t->acts);
}

/* Frees the kernel, after running work that a test left deferred. */
static inline void test_finish(struct test_kernel *t)
{
	struct rp_event tick = { .type = RP_EVENT_TICK };

	if (t->acts.deferred)
		test_event(t, &tick);
	rp_actions_finish(&t->acts);
	rp_kernel_finish(t->k);
	free(t->k);
}

/* Issues a key. */
static inline void test_key(struct test_kernel *t, char key[RP_KEY_MAX])
{
	struct rp_event ev = { .type = RP_EVENT_KEYS, .keys.count = 1 };

	test_event(t, &ev);
	memcpy(key, t->acts.list[0].keys.keys[0], RP_KEY_MAX);
}

/* Submits a job of tasks that all have the given payload. */
static inline void test_submit(struct test_kernel *t, const char *key,
			       size_t ntasks, const char *payload)
{
	struct rp_task_spec tasks[RP_TASKS_MAX];
	struct rp_submission_spec spec = {
		.key = str_of(key),
		.service = str_of("desk"),
		.team = str_of("team"),
		.timeout = 10000,
		.ntasks = ntasks,
		.tasks = tasks,
	};
	struct rp_event ev = { .type = RP_EVENT_SUBMIT, .submit.wait = 1 };
	size_t i;

	for (i = 0; i < ntasks; i++) {
		tasks[i].id = str_of("id");
		tasks[i].payload = str_of(payload);
	}
	ev.submit.sub = rp_submission_new(&spec);
	test_event(t, &ev);
	rp_submission_unref(ev.submit.sub);
}

/* Returns the number of actions of the type. */
static inline size_t test_count(const struct test_kernel *t,
				enum rp_action_type type)
{
	size_t i, n = 0;

	for (i = 0; i < t->acts.len; i++)
		n += t->acts.list[i].type == type;
	return n;
}

/* Returns the first action of the type, or NULL. */
static inline struct rp_action *test_find(struct test_kernel *t,
					  enum rp_action_type type)
{
	size_t i;

	for (i = 0; i < t->acts.len; i++)
		if (t->acts.list[i].type == type)
			return &t->acts.list[i];
	return NULL;
}

/* Delivers a target's reply to a start. */
static inline void test_reply(struct test_kernel *t, uint64_t start_id,
			      enum rp_start_outcome outcome, const char *body)
{
	struct rp_event ev = { .type = RP_EVENT_TARGET_REPLY };

	ev.reply.start_id = start_id;
	ev.reply.outcome = outcome;
	ev.reply.body = rp_blob_new(body, strlen(body));
	test_event(t, &ev);
	rp_blob_unref(ev.reply.body);
}

#endif
