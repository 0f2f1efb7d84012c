/*
 * A small program that embeds the kernel. It simulates two targets, one three
 * times as slow as the other, in logical time that starts at 0. See
 * docs/EMBEDDING.md.
 */

#include "rosemary.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NTASKS 6
#define NTARGETS 2
#define RUNNING_MAX 64
#define TIME_LIMIT_MS 10000

enum { TOKEN_KEYS = 1, TOKEN_FIRST, TOKEN_REPEAT };

/* A task that runs on one of the simulated targets. */
struct running {
	uint64_t start_id;
	rp_ms ends_at;
	char result[256];
};

struct program {
	struct rp_kernel *kernel;
	rp_ms now;
	struct running running[RUNNING_MAX];
	size_t nrunning;
	char key[RP_KEY_MAX];
	int nanswers;
};

static void deliver(struct program *p, const struct rp_event *ev);

/* A counted string that points to s. */
static struct rp_str str_of(const char *s)
{
	struct rp_str r = { s, strlen(s) };

	return r;
}

/* --- actions of the kernel -------------------------------------------- */

/* Adds a running task, which ends after the target's run time. */
static void start_task(struct program *p, const struct rp_action *a)
{
	const struct rp_task_spec *task = &a->start.sub->tasks[a->start.task];
	struct running *r = &p->running[p->nrunning++];
	int slow = !strcmp(a->start.target, "slow");

	if (p->nrunning > RUNNING_MAX)
		abort();
	r->start_id = a->start.start_id;
	r->ends_at = p->now + (slow ? 90 : 30);
	snprintf(r->result, sizeof(r->result), "%.*s sent",
		 (int)task->payload.len, task->payload.ptr);
}

/* Prints the answer to a submission. */
static void print_answer(struct program *p, const struct rp_action *a)
{
	const struct rp_answer *ans = a->answer.answer;
	size_t i;

	printf("%s answer: %s\n", a->token == TOKEN_FIRST ? "first" : "second",
	       rp_state_name(ans->state));
	for (i = 0; i < ans->nresults; i++)
		printf("  %.*s: %.*s\n", (int)ans->results[i].id.len,
		       ans->results[i].id.ptr, (int)ans->results[i].body->len,
		       ans->results[i].body->data);
	p->nanswers++;
}

/* Fails a platform call; without a platform it certainly had no effect. */
static void reject_platform_call(struct program *p, const struct rp_action *a)
{
	struct rp_event ev = { .type = RP_EVENT_PLATFORM_REPLY };

	ev.platform.ask_id = a->platform.ask_id;
	ev.platform.outcome = RP_PLATFORM_NO_EFFECT;
	deliver(p, &ev);
}

/* Performs one action. */
static void perform_action(struct program *p, const struct rp_action *a)
{
	switch (a->type) {
	case RP_ACTION_KEYS:
		if (a->keys.count > 0)
			memcpy(p->key, a->keys.keys[0], sizeof(p->key));
		break;
	case RP_ACTION_START:
		start_task(p, a);
		break;
	case RP_ACTION_ANSWER:
		print_answer(p, a);
		break;
	case RP_ACTION_PLATFORM:
		reject_platform_call(p, a);
		break;
	default:
		break; /* only with other entry VMs, lookups or a table */
	}
}

/* Passes an event to the kernel and performs the resulting actions. */
static void deliver(struct program *p, const struct rp_event *ev)
{
	struct rp_actions acts;
	size_t i;

	rp_actions_init(&acts);
	rp_kernel_event(p->kernel, p->now, ev, &acts);
	for (i = 0; i < acts.len; i++)
		perform_action(p, &acts.list[i]);
	rp_actions_finish(&acts);
}

/* --- events ----------------------------------------------------------- */

/* Requests an issued key; the kernel replies before this returns. */
static void request_key(struct program *p)
{
	struct rp_event ev = { .type = RP_EVENT_KEYS, .token = TOKEN_KEYS };

	ev.keys.count = 1;
	deliver(p, &ev);
}

/* Submits the job under the key; the answer carries the token. */
static void submit(struct program *p, rp_token token)
{
	static const char *const ids[NTASKS] = { "a", "b", "c", "d", "e", "f" };
	struct rp_task_spec tasks[NTASKS];
	struct rp_submission_spec spec = {
		.key = str_of(p->key),
		.service = str_of("deadline-desk"),
		.team = str_of("partners"),
		.timeout = 5000,
		.ntasks = NTASKS,
		.tasks = tasks,
	};
	struct rp_event ev = { .type = RP_EVENT_SUBMIT, .token = token };
	size_t i;

	for (i = 0; i < NTASKS; i++) {
		tasks[i].id = str_of(ids[i]);
		tasks[i].payload = str_of("reminder");
	}
	ev.submit.sub = rp_submission_new(&spec);
	ev.submit.wait = 1;
	if (!ev.submit.sub)
		abort();
	deliver(p, &ev);
	rp_submission_unref(ev.submit.sub);
}

/* Passes the result of a task to the kernel. */
static void deliver_result(struct program *p, const struct running *r)
{
	struct rp_event ev = { .type = RP_EVENT_TARGET_REPLY };

	ev.reply.start_id = r->start_id;
	ev.reply.outcome = RP_START_DONE;
	ev.reply.body = rp_blob_new(r->result, strlen(r->result));
	deliver(p, &ev);
	rp_blob_unref(ev.reply.body);
}

/* Passes on the results of the tasks that have ended. */
static void finish_tasks(struct program *p)
{
	size_t i = 0;

	while (i < p->nrunning) {
		struct running r = p->running[i];

		if (r.ends_at > p->now) {
			i++;
			continue;
		}
		p->running[i] = p->running[--p->nrunning];
		deliver_result(p, &r);
	}
}

/* Advances the time until the given number of answers was printed. */
static void run_until_answered(struct program *p, int answers)
{
	struct rp_event tick = { .type = RP_EVENT_TICK };

	while (p->nanswers < answers && p->now < TIME_LIMIT_MS) {
		p->now += RP_TICK_MS;
		finish_tasks(p);
		deliver(p, &tick);
	}
}

/* --- start ------------------------------------------------------------ */

/* Fills in a target with two slots. */
static void init_target(struct rp_vm *vm, const char *name)
{
	memset(vm, 0, sizeof(*vm));
	vm->kind = RP_VM_TARGET;
	snprintf(vm->name, sizeof(vm->name), "%s", name);
	snprintf(vm->address, sizeof(vm->address), "127.0.0.1:1");
	snprintf(vm->failure_domain, sizeof(vm->failure_domain), "sando");
	snprintf(vm->service, sizeof(vm->service), "deadline-desk");
	vm->slots = 2;
}

/* Runs a job, then submits it again under the same key. */
int main(void)
{
	struct rp_vm targets[NTARGETS];
	struct rp_options opt;
	struct rp_status st;
	struct program p = { .now = 0 };

	rp_options_init(&opt);
	init_target(&targets[0], "fast");
	init_target(&targets[1], "slow");
	snprintf(opt.failure_domain, sizeof(opt.failure_domain), "sando");
	opt.seeds = targets;
	opt.nseeds = NTARGETS;
	p.kernel = aligned_alloc(64, (rp_kernel_size() + 63) / 64 * 64);
	if (!p.kernel || rp_kernel_init(p.kernel, &opt, p.now, &st) != RP_OK) {
		fprintf(stderr, "kernel: %s\n", p.kernel ? st.message : "");
		return 1;
	}
	request_key(&p);
	submit(&p, TOKEN_FIRST);
	run_until_answered(&p, 1);
	printf("the same key once more:\n");
	submit(&p, TOKEN_REPEAT);
	printf("tasks running: %zu\n", p.nrunning);
	run_until_answered(&p, 2);
	rp_kernel_finish(p.kernel);
	free(p.kernel);
	return p.nanswers == 2 ? 0 : 1;
}
