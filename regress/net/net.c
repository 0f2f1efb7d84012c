/* The fake network: event queue, messages, targets and the platform. */

#include "net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <apr_general.h>
#include <apr_strings.h>

#define TICK_US (RP_TICK_MS * 1000)
#define CONNECT_FAILURE_US 50000 /* time until a start fails on a cut link */
#define PLATFORM_DELAY_US 2000

/* Kinds of events, handled by the on_...() functions. */
enum net_kind {
	NET_TICK,
	NET_PEER,
	NET_DOWN,
	NET_PLATFORM,
	NET_START,
	NET_TASK_END,
	NET_REPLY
};

struct net_event {
	int64_t due_us;
	uint64_t seq;
	enum net_kind kind;
	int vm;	  /* entry VM concerned */
	int from; /* sending entry VM, or the target */
	uint64_t incarnation;
	uint64_t id; /* id of the start or of the platform call */
	enum rp_start_outcome outcome;
	enum rp_platform_op op;
	struct rp_blob *data;
	char *task_id; /* owned */
};

static void net_action(struct net *net, int vm, struct rp_action *a);

void net_options_init(struct net_options *opt)
{
	memset(opt, 0, sizeof(*opt));
	opt->seed = 1;
	opt->nvms = 3;
	opt->ndomains = 3;
	opt->ntargets = 6;
	opt->slots = 8;
	opt->limit = "alone";
	opt->task_us = 100000;
	opt->cross_domain_us = 1500;
	opt->same_domain_us = 300;
	opt->list_lag_us = 2000000;
}

static int is_earlier(const struct net_event *a, const struct net_event *b)
{
	return a->due_us != b->due_us ? a->due_us < b->due_us : a->seq < b->seq;
}

static void push(struct net *net, const struct net_event *ev)
{
	size_t i = net->len++;

	if (net->len > net->cap) {
		net->cap = 2 * net->len;
		net->heap = kernel_realloc(net->heap,
					   net->cap * sizeof(*net->heap));
	}
	net->heap[i] = *ev;
	net->heap[i].seq = net->next_seq++;
	while (i && is_earlier(&net->heap[i], &net->heap[(i - 1) / 2])) {
		struct net_event swap = net->heap[i];

		net->heap[i] = net->heap[(i - 1) / 2];
		net->heap[(i - 1) / 2] = swap;
		i = (i - 1) / 2;
	}
}

static struct net_event pop(struct net *net)
{
	struct net_event first = net->heap[0];
	size_t i = 0, least;

	net->heap[0] = net->heap[--net->len];
	while ((least = 2 * i + 1) < net->len) {
		struct net_event swap;

		if (least + 1 < net->len &&
		    is_earlier(&net->heap[least + 1], &net->heap[least]))
			least++;
		if (!is_earlier(&net->heap[least], &net->heap[i]))
			break;
		swap = net->heap[i];
		net->heap[i] = net->heap[least];
		net->heap[least] = swap;
		i = least;
	}
	return first;
}

/* Time for measuring a kernel's work, ns; 0 unless it is measured. */
static uint64_t cpu_now(const struct net *net)
{
	struct timespec ts;

	if (!net->opt.measure_cpu)
		return 0;
	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000000 + (uint64_t)ts.tv_nsec;
}

void net_deliver(struct net *net, int vm, const struct rp_event *ev)
{
	uint64_t begin_ns = cpu_now(net);
	struct rp_actions acts;
	size_t i;

	rp_actions_init(&acts);
	rp_kernel_event(net->vms[vm].k, net->now_us / 1000, ev, &acts);
	net->vms[vm].cpu_ns += cpu_now(net) - begin_ns;
	for (i = 0; i < acts.len; i++)
		net_action(net, vm, &acts.list[i]);
	rp_actions_finish(&acts);
}

/* One-way delay of a message between two failure domains. */
static int64_t delay(struct net *net, int from, int to)
{
	int64_t mean = from == to ? net->opt.same_domain_us
				  : net->opt.cross_domain_us;

	/* Evenly distributed between the mean and 5/4 of it. */
	return mean +
	       (int64_t)(random_next(&net->random) % (uint64_t)(mean / 4 + 1));
}

static int vm_index(const char *name)
{
	return atoi(name + strlen("entry-"));
}

static void act_peer(struct net *net, int vm, struct rp_action *a)
{
	struct net_event ev = { .kind = NET_PEER, .from = vm };
	struct net_vm *v = &net->vms[vm];

	ev.vm = vm_index(a->peer.name);
	v->messages++;
	v->bytes += a->peer.data->len + 4;
	if (net->link_cut[v->domain][net->vms[ev.vm].domain] ||
	    net->link_silent[vm][ev.vm] ||
	    random_next(&net->random) % 100 < (uint64_t)net->loss_percent)
		return;
	ev.due_us = net->now_us + delay(net, v->domain, net->vms[ev.vm].domain);
	/* A link delivers its messages in order. */
	if (ev.due_us < net->last_delivery_us[vm][ev.vm])
		ev.due_us = net->last_delivery_us[vm][ev.vm];
	net->last_delivery_us[vm][ev.vm] = ev.due_us;
	ev.data = rp_blob_ref(a->peer.data);
	push(net, &ev);
}

static void act_start(struct net *net, int vm, struct rp_action *a)
{
	struct net_event ev = { .kind = NET_START, .vm = vm };
	const struct net_vm *v = &net->vms[vm];
	const struct net_target *t;

	ev.from = atoi(a->start.target + strlen("target-"));
	ev.id = a->start.start_id;
	ev.incarnation = v->opt.incarnation;
	t = &net->targets[ev.from];
	if (net->link_cut[v->domain][t->domain]) {
		ev.kind = NET_REPLY;
		ev.outcome = RP_START_UNSENT;
		ev.due_us = net->now_us + CONNECT_FAILURE_US;
	} else {
		ev.due_us = net->now_us + delay(net, v->domain, t->domain);
		ev.task_id = strdup(a->start.task_id);
	}
	push(net, &ev);
}

static void act_platform(struct net *net, int vm, struct rp_action *a)
{
	struct net_event ev = { .kind = NET_PLATFORM, .vm = vm };

	if (net->platform_link_cut[net->vms[vm].domain])
		return;
	ev.id = a->platform.ask_id;
	ev.op = a->platform.op;
	ev.incarnation = net->vms[vm].opt.incarnation;
	ev.due_us = net->now_us + PLATFORM_DELAY_US;
	push(net, &ev);
}

static uint64_t answer_digest(const struct rp_answer *a)
{
	uint64_t h = (uint64_t)a->state + 1;
	size_t i;

	for (i = 0; i < a->nresults; i++) {
		struct rp_str body = { a->results[i].body->data,
				       a->results[i].body->len };

		h = h * 31 + str_hash(a->results[i].id);
		h = h * 31 + str_hash(body);
	}
	return h;
}

static void act_answer(struct net *net, const struct rp_action *a)
{
	struct net_call *c = &net->calls[a->token];
	const struct rp_answer *ans = a->answer.answer;

	c->answers++;
	c->done_us = net->now_us;
	c->state = ans->state;
	c->code = ans->status.code;
	c->may_have_run = ans->may_have_run;
	c->retry_after = ans->retry_after;
	c->nresults = ans->nresults;
	c->digest = answer_digest(ans);
}

static void act_keys(struct net *net, const struct rp_action *a)
{
	net->nkeys = 0;
	if (a->keys.count)
		memcpy(net->keys[net->nkeys++], a->keys.keys[0], RP_KEY_MAX);
}

static void net_action(struct net *net, int vm, struct rp_action *a)
{
	switch (a->type) {
	case RP_ACTION_PEER:
		act_peer(net, vm, a);
		break;
	case RP_ACTION_PEER_RESET:
		net->link_silent[vm][vm_index(a->peer.name)] = 0;
		break;
	case RP_ACTION_START:
		act_start(net, vm, a);
		break;
	case RP_ACTION_PLATFORM:
		act_platform(net, vm, a);
		break;
	case RP_ACTION_ANSWER:
		act_answer(net, a);
		break;
	case RP_ACTION_KEYS:
		act_keys(net, a);
		break;
	case RP_ACTION_DRAINED:
		net->vms[vm].drained = 1;
		break;
	default:
		break;
	}
}

static void on_tick(struct net *net, struct net_event *ev)
{
	struct rp_event tick = { .type = RP_EVENT_TICK };
	struct net_vm *v = &net->vms[ev->vm];

	if (!v->k || v->opt.incarnation != ev->incarnation)
		return;
	if (!v->paused)
		net_deliver(net, ev->vm, &tick);
	ev->due_us += TICK_US;
	push(net, ev);
}

/* Delivers a message; reports a process that isn't running to the sender. */
static void on_peer(struct net *net, struct net_event *ev)
{
	struct rp_event in = { .type = RP_EVENT_PEER_MESSAGE };
	struct net_vm *v = &net->vms[ev->vm];

	if (v->paused) {
		ev->due_us = net->now_us + TICK_US; /* stays in the socket */
		push(net, ev);
		return;
	}
	in.peer.data = ev->data->data;
	in.peer.len = ev->data->len;
	if (v->k) {
		net_deliver(net, ev->vm, &in);
	} else if (net->vms[ev->from].k && !net->vms[ev->from].paused) {
		in.type = RP_EVENT_PEER_DOWN;
		str_copy(in.peer_down.name, RP_NAME_MAX,
			 str_of(v->opt.vm_name));
		net_deliver(net, ev->from, &in);
	}
	rp_blob_unref(ev->data);
}

/* Whether the lagging VM list contains the VM now. */
static int is_listed(const struct net *net, const struct net_vm *v)
{
	int64_t listed_us = net->now_us - net->opt.list_lag_us;

	if (v->k)
		return v->started_us <= listed_us || v->started_us == 0;
	return v->ended_us > listed_us;
}

static size_t make_vm_list(struct net *net)
{
	struct rp_vm *vm = net->vm_list;
	int i;

	memset(net->vm_list, 0,
	       (NET_VMS_MAX + NET_TARGETS_MAX) * sizeof(*net->vm_list));
	for (i = 0; i < net->opt.nvms; i++) {
		const struct net_vm *v = &net->vms[i];

		if (v->opt.vm_name[0] && !is_listed(net, v))
			continue;
		vm->kind = RP_VM_ENTRY;
		snprintf(vm->name, RP_NAME_MAX, "entry-%d", i);
		snprintf(vm->address, RP_ADDRESS_MAX, "10.0.0.%d:7000", i);
		snprintf(vm->failure_domain, RP_NAME_MAX, "domain-%d",
			 i % net->opt.ndomains);
		vm++;
	}
	for (i = 0; i < net->opt.ntargets; i++) {
		const struct net_target *t = &net->targets[i];

		if (t->removed)
			continue;
		vm->kind = RP_VM_TARGET;
		str_copy(vm->name, RP_NAME_MAX, str_of(t->name));
		snprintf(vm->address, RP_ADDRESS_MAX, "10.0.1.%d:80", i);
		snprintf(vm->failure_domain, RP_NAME_MAX, "domain-%d",
			 t->domain);
		snprintf(vm->service, RP_NAME_MAX, "desk");
		vm->slots = t->slots;
		vm++;
	}
	return (size_t)(vm - net->vm_list);
}

static void on_platform(struct net *net, const struct net_event *ev)
{
	struct rp_event in = { .type = RP_EVENT_PLATFORM_REPLY };
	const struct net_vm *v = &net->vms[ev->vm];

	if (!v->k || v->paused || v->opt.incarnation != ev->incarnation)
		return;
	in.platform.ask_id = ev->id;
	in.platform.outcome = RP_PLATFORM_NO_EFFECT;
	if (ev->op == RP_PLATFORM_LIST) {
		in.platform.outcome = RP_PLATFORM_DONE;
		in.platform.nvms = make_vm_list(net);
		in.platform.vms = net->vm_list;
	}
	net_deliver(net, ev->vm, &in);
}

/* Records a task start on a target and counts duplicates. */
static void record_start(struct net *net, struct net_target *t,
			 const char *task_id)
{
	apr_ssize_t len = (apr_ssize_t)strlen(task_id);

	if (apr_hash_get(net->started, task_id, len))
		net->duplicate_starts++;
	apr_hash_set(net->started, apr_pstrdup(net->pool, task_id), len, t);
	t->runs++;
	if (++t->running > t->running_max)
		t->running_max = t->running;
}

static void on_start(struct net *net, struct net_event *ev)
{
	struct net_target *t = &net->targets[ev->from];
	int in_flight = net_in_flight(net, ev->from);

	if (in_flight > t->in_flight_max)
		t->in_flight_max = in_flight;
	if (in_flight > t->slots)
		net->over_limit_starts++;
	ev->kind = NET_REPLY;
	ev->outcome = RP_START_DONE;
	if (t->leaving) {
		ev->outcome = RP_START_LEAVING;
		t->leaving_starts++;
	} else if (t->running >= t->slots) {
		ev->outcome = RP_START_BUSY;
		t->busy++;
	}
	if (ev->outcome == RP_START_DONE) {
		record_start(net, t, ev->task_id);
		ev->kind = NET_TASK_END;
		ev->due_us +=
			t->task_us / 2 + (int64_t)(random_next(&net->random) %
						   (uint64_t)t->task_us);
	} else {
		ev->due_us += delay(net, net->vms[ev->vm].domain, t->domain);
	}
	push(net, ev);
}

static void on_task_end(struct net *net, struct net_event *ev)
{
	struct net_target *t = &net->targets[ev->from];

	t->running--;
	if (net->link_cut[t->domain][net->vms[ev->vm].domain]) {
		free(ev->task_id);
		return;
	}
	ev->kind = NET_REPLY;
	ev->due_us += delay(net, net->vms[ev->vm].domain, t->domain);
	push(net, ev);
}

static void on_reply(struct net *net, struct net_event *ev)
{
	struct rp_event in = { .type = RP_EVENT_TARGET_REPLY };
	const struct net_vm *v = &net->vms[ev->vm];

	if (v->k && v->paused) {
		ev->due_us = net->now_us + TICK_US;
		push(net, ev);
		return;
	}
	if (v->k && v->opt.incarnation == ev->incarnation) {
		in.reply.start_id = ev->id;
		in.reply.outcome = ev->outcome;
		if (ev->task_id)
			in.reply.body =
				rp_blob_new(ev->task_id, strlen(ev->task_id));
		net_deliver(net, ev->vm, &in);
		rp_blob_unref(in.reply.body);
	}
	free(ev->task_id);
}

static void on_event(struct net *net, struct net_event *ev)
{
	switch (ev->kind) {
	case NET_TICK:
		on_tick(net, ev);
		break;
	case NET_PEER:
	case NET_DOWN:
		on_peer(net, ev);
		break;
	case NET_PLATFORM:
		on_platform(net, ev);
		break;
	case NET_START:
		on_start(net, ev);
		break;
	case NET_TASK_END:
		on_task_end(net, ev);
		break;
	case NET_REPLY:
		on_reply(net, ev);
		break;
	}
}

void net_run(struct net *net, rp_ms span)
{
	int64_t end = net->now_us + span * 1000;

	while (net->len && net->heap[0].due_us <= end) {
		struct net_event ev = pop(net);

		net->now_us = ev.due_us;
		on_event(net, &ev);
	}
	net->now_us = end;
}

void net_restart(struct net *net, int vm)
{
	struct net_event tick = { .kind = NET_TICK, .vm = vm };
	struct net_vm *v = &net->vms[vm];
	struct rp_options *opt = &v->opt;
	struct rp_status st;
	size_t n = make_vm_list(net);

	rp_options_init(opt);
	snprintf(opt->vm_name, RP_NAME_MAX, "entry-%d", vm);
	snprintf(opt->address, RP_ADDRESS_MAX, "10.0.0.%d:7000", vm);
	snprintf(opt->failure_domain, RP_NAME_MAX, "domain-%d", v->domain);
	str_copy(opt->limit, RP_NAME_MAX, str_of(net->opt.limit));
	opt->incarnation = ++net->incarnation;
	opt->seed = random_next(&net->random);
	opt->trace_events = 64;
	if (net->opt.credit_lease)
		opt->credit_lease = net->opt.credit_lease;
	opt->nseeds = n;
	opt->seeds = net->vm_list;
	v->k = calloc(1, rp_kernel_size());
	v->started_us = net->now_us;
	v->paused = v->draining = v->drained = 0;
	if (rp_kernel_init(v->k, opt, net->now_us / 1000, &st) != RP_OK) {
		fprintf(stderr, "%s\n", st.message);
		abort();
	}
	tick.incarnation = opt->incarnation;
	tick.due_us = net->now_us +
		      (int64_t)(random_next(&net->random) % TICK_US) + 1;
	push(net, &tick);
}

void net_kill(struct net *net, int vm)
{
	struct net_vm *v = &net->vms[vm];

	if (!v->k)
		return;
	rp_kernel_finish(v->k);
	free(v->k);
	v->k = NULL;
	v->ended_us = net->now_us;
}

void net_pause(struct net *net, int vm, int paused)
{
	net->vms[vm].paused = paused;
}

void net_drain(struct net *net, int vm)
{
	struct rp_event ev = { .type = RP_EVENT_DRAIN };

	if (!net->vms[vm].k)
		return;
	net->vms[vm].draining = 1;
	net_deliver(net, vm, &ev);
}

void net_cut(struct net *net, int from, int to, int cut)
{
	net->link_cut[from][to] = cut;
}

void net_isolate(struct net *net, int domain, int cut)
{
	int i;

	for (i = 0; i < net->opt.ndomains; i++) {
		if (i == domain)
			continue;
		net->link_cut[i][domain] = cut;
		net->link_cut[domain][i] = cut;
	}
}

struct net *net_new(const struct net_options *opt)
{
	struct net *net = kernel_alloc(sizeof(*net));
	int i;

	apr_initialize();
	apr_pool_create(&net->pool, NULL);
	net->opt = *opt;
	net->random = opt->seed;
	net->started = hash_new(net->pool);
	net->calls = kernel_alloc(NET_CALLS_MAX * sizeof(*net->calls));
	net->keys = kernel_alloc(RP_KEY_MAX);
	net->vm_list = kernel_alloc((NET_VMS_MAX + NET_TARGETS_MAX) *
				    sizeof(*net->vm_list));
	for (i = 0; i < opt->ntargets; i++) {
		struct net_target *t = &net->targets[i];

		snprintf(t->name, RP_NAME_MAX, "target-%d", i);
		t->domain = i % opt->ndomains;
		t->slots = opt->slots;
		/* Run times differ: from 2/4 to 8/4 of the mean. */
		t->task_us = opt->task_us * (2 + i % 7) / 4;
	}
	for (i = 0; i < opt->nvms; i++)
		net->vms[i].domain = i % opt->ndomains;
	for (i = 0; i < opt->nvms; i++)
		net_restart(net, i);
	return net;
}

void net_free(struct net *net)
{
	size_t i;

	for (i = 0; i < (size_t)net->opt.nvms; i++)
		net_kill(net, (int)i);
	for (i = 0; i < net->len; i++) {
		rp_blob_unref(net->heap[i].data);
		free(net->heap[i].task_id);
	}
	apr_pool_destroy(net->pool);
	apr_terminate();
	free(net->heap);
	free(net->calls);
	free(net->keys);
	free(net->vm_list);
	free(net);
}
