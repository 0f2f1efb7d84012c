/* Random calls and faults in the fake network, and checks of invariants. */

#include "script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net.h"

#define KEYS_MAX 256
#define KEY_CALLS 16
#define HEAL_MS 40000
#define SCRIPT_VMS 6
#define SCRIPT_TARGETS 3
#define SCRIPT_TASK_US 400000
#define STEP_MS 2 /* run time after a step, per unit of its argument */
#define TIMEOUT_MS 15000

/* A key with all calls made for it. */
struct script_key {
	char text[RP_KEY_MAX];
	int ntasks;
	size_t calls[KEY_CALLS];
	size_t ncalls;
};

struct script {
	struct net *net;
	struct script_key keys[KEYS_MAX];
	size_t nkeys;
	/* Of each call: the entry VM that was called, and its incarnation. */
	int call_vm[NET_CALLS_MAX / 100];
	uint64_t call_incarnation[NET_CALLS_MAX / 100];
	char *message; /* receives the error text */
	size_t size;   /* size of message, bytes */
};

/* Whether the entry VM runs and isn't paused. */
static int is_up(const struct script *s, int vm)
{
	return s->net->vms[vm].k && !s->net->vms[vm].paused;
}

static void record_call(struct script *s, struct script_key *k, int vm,
			size_t call)
{
	k->calls[k->ncalls++] = call;
	s->call_vm[call] = vm;
	s->call_incarnation[call] = s->net->vms[vm].opt.incarnation;
}

static void do_submit(struct script *s, int vm, int arg)
{
	struct script_key *k = &s->keys[s->nkeys];

	if (!is_up(s, vm) || s->nkeys == KEYS_MAX)
		return;
	net_key(s->net, vm, k->text);
	if (!k->text[0])
		return;
	k->ntasks = 1 + arg % 64;
	s->nkeys++;
	record_call(s, k, vm,
		    net_submit(s->net, vm, k->text, k->ntasks, TIMEOUT_MS));
}

/* Repeats the key's submission. */
static void resubmit(struct script *s, struct script_key *k, int vm)
{
	if (k->ncalls < KEY_CALLS)
		record_call(s, k, vm,
			    net_submit(s->net, vm, k->text, k->ntasks,
				       TIMEOUT_MS));
}

/* Repeats a submission or queries it, at any entry VM. */
static void do_repeat(struct script *s, int vm, int arg)
{
	struct script_key *k;

	if (!is_up(s, vm) || !s->nkeys)
		return;
	k = &s->keys[(size_t)arg % s->nkeys];
	if (!(arg & 1))
		resubmit(s, k, vm);
	else if (k->ncalls < KEY_CALLS)
		record_call(s, k, vm, net_query(s->net, vm, k->text, 1));
}

/* Kills, restarts, drains, pauses or resumes an entry VM. */
static void do_stop(struct script *s, int vm, int arg)
{
	struct net_vm *v = &s->net->vms[vm];

	if (v->drained && v->k) {
		net_kill(s->net, vm);
	} else if (!v->k) {
		net_restart(s->net, vm);
	} else if (arg % 3 == 0) {
		net_kill(s->net, vm);
	} else if (arg % 3 == 1 && !v->paused && !v->draining) {
		net_drain(s->net, vm);
	} else {
		net_pause(s->net, vm, !v->paused);
	}
}

/* Cuts or restores links between domains or to the platform. */
static void do_cut(struct script *s, int vm, int arg)
{
	int n = s->net->opt.ndomains;
	int from = vm % n, to = arg % n, cut = arg & 64;

	if (arg & 128)
		s->net->platform_link_cut[from] = cut;
	else if (from == to)
		net_isolate(s->net, from, cut);
	else
		net_cut(s->net, from, to, cut);
}

static void do_step(struct script *s, const struct net_step *st)
{
	int vm = st->vm % SCRIPT_VMS;

	switch (st->op % 8) {
	case 0:
	case 1:
	case 2:
		do_submit(s, vm, st->arg);
		break;
	case 3:
	case 4:
		do_repeat(s, vm, st->arg);
		break;
	case 5:
		do_stop(s, vm, st->arg);
		break;
	case 6:
		do_cut(s, vm, st->arg);
		break;
	case 7:
		s->net->link_silent[vm][st->arg % SCRIPT_VMS] = 1;
		break;
	}
	net_run(s->net, (rp_ms)st->arg * STEP_MS);
}

/* Removes the partitions and pauses; silent links have to be reset. */
static void heal(struct script *s)
{
	struct net *net = s->net;
	int i;

	memset(net->link_cut, 0, sizeof(net->link_cut));
	memset(net->platform_link_cut, 0, sizeof(net->platform_link_cut));
	for (i = 0; i < SCRIPT_VMS; i++)
		net->vms[i].paused = 0;
	net_run(net, HEAL_MS);
}

/* Ends the drained entry VMs and repeats all submissions at another one. */
static void resubmit_all(struct script *s)
{
	int vm, live_vm = -1;
	size_t i;

	for (vm = 0; vm < SCRIPT_VMS; vm++) {
		if (s->net->vms[vm].drained)
			net_kill(s->net, vm);
		if (is_up(s, vm) && !s->net->vms[vm].draining)
			live_vm = vm;
	}
	net_run(s->net, HEAL_MS);
	for (i = 0; i < s->nkeys && live_vm >= 0; i++)
		resubmit(s, &s->keys[i], live_vm);
	net_run(s->net, HEAL_MS);
}

static int is_started(const struct script *s, const struct script_key *k)
{
	char id[RP_KEY_MAX + 32];
	int i;

	for (i = 0; i < k->ntasks; i++) {
		snprintf(id, sizeof(id), "%s-%d", k->text, i);
		if (apr_hash_get(s->net->started, id, APR_HASH_KEY_STRING))
			return 1;
	}
	return 0;
}

static int fail(struct script *s, const char *what, const char *key)
{
	snprintf(s->message, s->size, "%s: %s", what, key);
	return -1;
}

/* Checks that a call to an incarnation that still runs has one right answer. */
static int check_call(struct script *s, const struct script_key *k, size_t i)
{
	const struct net_call *c = &s->net->calls[i];
	const struct net_vm *v = &s->net->vms[s->call_vm[i]];

	if (c->answers > 1)
		return fail(s, "answered twice", k->text);
	if (!c->answers && v->k && v->opt.incarnation == s->call_incarnation[i])
		return fail(s, "never answered", k->text);
	if (c->answers && c->state == RP_NOT_RUN && is_started(s, k))
		return fail(s, "answered not run, but a task was started",
			    k->text);
	if (c->answers && c->state == RP_COMPLETE &&
	    c->nresults != (size_t)k->ntasks)
		return fail(s, "complete, but results are missing", k->text);
	return 0;
}

/* Checks that all calls for one key got consistent answers. */
static int check_key(struct script *s, const struct script_key *k)
{
	const struct net_call *complete = NULL, *not_run = NULL;
	size_t i;

	for (i = 0; i < k->ncalls; i++) {
		const struct net_call *c = &s->net->calls[k->calls[i]];

		if (check_call(s, k, k->calls[i]) < 0)
			return -1;
		if (!c->answers)
			continue;
		if (c->state == RP_NOT_RUN)
			not_run = c;
		if (c->state != RP_COMPLETE)
			continue;
		if (complete && complete->digest != c->digest)
			return fail(s, "two different answers", k->text);
		complete = c;
	}
	if (complete && not_run)
		return fail(s, "answered both complete and not run", k->text);
	return 0;
}

/* Checks the invariants; busy replies show that a limit was exceeded. */
static int check(struct script *s)
{
	size_t i;
	int t;

	if (s->net->duplicate_starts)
		return fail(s, "a task was started twice", "");
	for (t = 0; t < s->net->opt.ntargets; t++)
		if (s->net->targets[t].busy && strcmp(s->net->opt.limit, "alon"
									 "e"))
			return fail(s, "started beyond the limit of a target",
				    s->net->targets[t].name);
	for (i = 0; i < s->nkeys; i++)
		if (check_key(s, &s->keys[i]) < 0)
			return -1;
	return 0;
}

int net_script(uint64_t seed, const char *limit, const struct net_step *steps,
	       size_t nsteps, char *message, size_t size)
{
	struct script *s = kernel_alloc(sizeof(*s));
	struct net_options opt;
	size_t i;
	int rc;

	net_options_init(&opt);
	opt.seed = seed;
	opt.limit = limit;
	opt.nvms = SCRIPT_VMS;
	/* Few targets and long tasks, so that the limits are reached. */
	opt.ntargets = SCRIPT_TARGETS;
	opt.task_us = SCRIPT_TASK_US;
	s->message = message;
	s->size = size;
	s->net = net_new(&opt);
	net_run(s->net, 3000);
	for (i = 0; i < nsteps; i++)
		do_step(s, &steps[i]);
	heal(s);
	resubmit_all(s);
	rc = check(s);
	net_free(s->net);
	free(s);
	return rc;
}
