/* Calls to the fake network's entry VMs, and inspection of their kernels. */

#include "net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Passes the call to the entry VM; no answer comes if it isn't running. */
static void deliver_call(struct net *net, int vm, struct rp_event *ev)
{
	if (net->vms[vm].k)
		net_deliver(net, vm, ev);
}

void net_key(struct net *net, int vm, char key[RP_KEY_MAX])
{
	struct rp_event ev = { .type = RP_EVENT_KEYS, .keys.count = 1 };

	net->nkeys = 0;
	deliver_call(net, vm, &ev);
	memcpy(key, net->keys[0], RP_KEY_MAX);
	if (!net->nkeys)
		key[0] = '\0';
}

/* Adds a call; its answer is stored at the returned index of net->calls. */
static size_t call_new(struct net *net, struct rp_event *ev)
{
	if (net->ncalls == NET_CALLS_MAX)
		abort();
	net->calls[net->ncalls].sent_us = net->now_us;
	ev->token = net->ncalls;
	return net->ncalls++;
}

size_t net_submit_body(struct net *net, int vm, const char *key, int ntasks,
		       rp_ms timeout, const char *payload, int callers_key)
{
	struct rp_task_spec tasks[RP_TASKS_MAX];
	char ids[RP_TASKS_MAX][12];
	struct rp_submission_spec spec = {
		.key = str_of(key),
		.service = str_of("desk"),
		.team = str_of("team"),
		.key_is_callers = callers_key,
		.timeout = timeout,
		.ntasks = (size_t)ntasks,
		.tasks = tasks,
	};
	struct rp_event ev = { .type = RP_EVENT_SUBMIT, .submit.wait = 1 };
	size_t call = call_new(net, &ev);
	int i;

	for (i = 0; i < ntasks; i++) {
		snprintf(ids[i], sizeof(ids[i]), "%d", i);
		tasks[i].id = str_of(ids[i]);
		tasks[i].payload = str_of(payload);
	}
	ev.submit.sub = rp_submission_new(&spec);
	deliver_call(net, vm, &ev);
	rp_submission_unref(ev.submit.sub);
	return call;
}

size_t net_submit(struct net *net, int vm, const char *key, int ntasks,
		  rp_ms timeout)
{
	return net_submit_body(net, vm, key, ntasks, timeout, "payload", 0);
}

size_t net_query(struct net *net, int vm, const char *key, int wait)
{
	struct rp_event ev = { .type = RP_EVENT_QUERY };
	size_t call = call_new(net, &ev);

	ev.query.key = str_of(key);
	ev.query.wait = wait;
	deliver_call(net, vm, &ev);
	return call;
}

enum rp_member_state net_state(struct net *net, int vm, int member)
{
	struct rp_view *v = member_view_ref(net->vms[vm].k);
	enum rp_member_state state = RP_MEMBER_GONE;
	const struct rp_member *m;
	char name[RP_NAME_MAX];

	snprintf(name, sizeof(name), "entry-%d", member);
	m = view_find_member(v, name);
	if (m)
		state = m->state;
	view_unref(v);
	return state;
}

int net_in_flight(struct net *net, int target)
{
	struct rp_str name = str_of(net->targets[target].name);
	int i, sum = 0;

	for (i = 0; i < net->opt.nvms; i++) {
		struct rp_kernel *k = net->vms[i].k;
		struct rp_service *svc;
		const struct rp_target *t;

		if (!k)
			continue;
		svc = service_find(dispatch_shard_of(k, str_of("desk")),
				   str_of("desk"));
		t = svc ? apr_hash_get(svc->by_name, name.ptr,
				       (apr_ssize_t)name.len)
			: NULL;
		sum += t ? t->in_flight : 0;
	}
	return sum;
}
