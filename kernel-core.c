/* Setup and teardown of the kernel, and the dispatch of events. */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

size_t rp_kernel_size(void)
{
	return sizeof(struct rp_kernel);
}

void rp_options_init(struct rp_options *opt)
{
	memset(opt, 0, sizeof(*opt));
	str_copy(opt->vm_name, RP_NAME_MAX, str_of("entry-vm"));
	opt->incarnation = 1;
	opt->seed = 1;
	str_copy(opt->route, RP_NAME_MAX, str_of("earliest"));
	str_copy(opt->queue, RP_NAME_MAX, str_of("fair"));
	str_copy(opt->admit, RP_NAME_MAX, str_of("deadline"));
	str_copy(opt->limit, RP_NAME_MAX, str_of("credit"));
	str_copy(opt->health, RP_NAME_MAX, str_of("peers"));
	str_copy(opt->retry, RP_NAME_MAX, str_of("budget"));
	opt->key_lifetime = 600000;
	opt->max_timeout = 300000;
	opt->max_queued = 200000;
	opt->max_records = 400000;
	opt->max_retained = 64 << 20;
	opt->retry_percent = 5;
	opt->silence_limit = 5000;
	opt->table_poll = 2000;
	opt->list_poll = 1000;
	opt->heartbeat = 500;
	opt->credit_lease = 2000;
	opt->claim_batch = 64;
	opt->claim_interval = 20;
	opt->trace_events = 16384;
}

void *kernel_alloc(size_t size)
{
	void *p = calloc(1, size);

	if (!p)
		abort();
	return p;
}

void *kernel_realloc(void *ptr, size_t size)
{
	void *p = realloc(ptr, size);

	if (!p)
		abort();
	return p;
}

void *kernel_lock_new(struct rp_kernel *k)
{
	return k->opt.locks.create ? k->opt.locks.create() : NULL;
}

void kernel_lock_free(struct rp_kernel *k, void *lock)
{
	if (lock)
		k->opt.locks.destroy(lock);
}

void kernel_lock(struct rp_kernel *k, void *lock)
{
	if (lock)
		k->opt.locks.lock(lock);
}

void kernel_unlock(struct rp_kernel *k, void *lock)
{
	if (lock)
		k->opt.locks.unlock(lock);
}

/* Checks that every policy named in the options exists. */
static enum rp_code check_plugins(const struct rp_options *opt,
				  struct rp_status *st)
{
	const char *const names[] = {
		[RP_PLUGIN_ROUTE] = opt->route,
		[RP_PLUGIN_QUEUE] = opt->queue,
		[RP_PLUGIN_ADMIT] = opt->admit,
		[RP_PLUGIN_LIMIT] = opt->limit,
		[RP_PLUGIN_HEALTH] = opt->health,
		[RP_PLUGIN_RETRY] = opt->retry,
	};
	int i;

	for (i = 0; i < RP_PLUGIN_KERNEL_KINDS; i++)
		if (!plugin_find(i, names[i]))
			return rp_status_set(st, RP_E_INPUT, RP_STEP_PARSE, "",
					     "no policy named \"%s\"",
					     names[i]);
	return RP_OK;
}

static enum rp_code check_options(const struct rp_options *opt,
				  struct rp_status *st)
{
	if (!opt->vm_name[0])
		return rp_status_set(st, RP_E_INPUT, RP_STEP_PARSE, "",
				     "vm_name is empty");
	if (opt->max_timeout > opt->key_lifetime)
		return rp_status_set(st, RP_E_INPUT, RP_STEP_PARSE, "",
				     "max_timeout is greater than "
				     "key_lifetime");
	return check_plugins(opt, st);
}

enum rp_code rp_kernel_init(struct rp_kernel *k, const struct rp_options *opt,
			    rp_ms now, struct rp_status *st)
{
	unsigned i;

	memset(k, 0, sizeof(*k));
	if (check_options(opt, st) != RP_OK)
		return st->code;
	k->opt = *opt;
	apr_initialize();
	apr_pool_create(&k->pool, NULL);
	trace_init(k);
	table_init(k, now);
	claim_init(k, now);
	for (i = 0; i < RP_SUB_SHARDS; i++)
		sub_init(k, i);
	for (i = 0; i < RP_DISPATCH_SHARDS; i++)
		dispatch_init(k, i);
	member_init(k, now);
	return RP_OK;
}

void rp_kernel_finish(struct rp_kernel *k)
{
	unsigned i;

	platform_finish(k);
	for (i = 0; i < RP_DISPATCH_SHARDS; i++)
		dispatch_finish(&k->dispatch[i]);
	for (i = 0; i < RP_SUB_SHARDS; i++)
		sub_finish(&k->subs[i]);
	member_finish(k);
	table_finish(k);
	claim_finish(k);
	trace_finish(k);
	apr_pool_destroy(k->pool);
	apr_terminate();
}

static void kernel_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts)
{
	unsigned i;

	for (i = 0; i < RP_DISPATCH_SHARDS; i++)
		dispatch_tick(&k->dispatch[i], now, acts);
	for (i = 0; i < RP_SUB_SHARDS; i++)
		sub_tick(&k->subs[i], now);
	member_tick(k, now, acts);
	table_tick(k, now, acts);
	claim_tick(k, now, acts);
	platform_tick(k, now, acts);
	drain_tick(k, now, acts);
	if (!atomic_load(&k->credits_ready) && member_credits_ready(k, now))
		atomic_store(&k->credits_ready, 1);
}

static void event_dispatch(struct rp_kernel *k, rp_ms now,
			   const struct rp_event *ev, struct rp_actions *acts)
{
	struct rp_waiter w = { .token = ev->token };

	switch (ev->type) {
	case RP_EVENT_TICK:
		kernel_tick(k, now, acts);
		break;
	case RP_EVENT_KEYS:
		key_issue(k, now, ev->token, ev->keys.count, acts);
		break;
	case RP_EVENT_SUBMIT:
		sub_submit(k, now, ev->submit.sub, ev->submit.wait, &w, acts);
		break;
	case RP_EVENT_QUERY:
		sub_query(k, now, ev->query.key, ev->query.wait, &w, acts);
		break;
	case RP_EVENT_CANCEL:
		sub_cancel(k, now, ev->cancel.key, &w, acts);
		break;
	case RP_EVENT_TARGET_REPLY:
		dispatch_reply(k, now, ev, acts);
		break;
	case RP_EVENT_LOOKUP_REPLY:
		dispatch_lookup_reply(k, now, ev, acts);
		break;
	case RP_EVENT_PEER_MESSAGE:
		peer_message(k, now, ev->peer.data, ev->peer.len, acts);
		break;
	case RP_EVENT_PEER_DOWN:
		member_link_lost(k, now, ev->peer_down.name, acts);
		break;
	case RP_EVENT_PLATFORM_REPLY:
		platform_reply(k, now, ev, acts);
		break;
	case RP_EVENT_EDIT:
		table_edit(k, now, ev, acts);
		break;
	case RP_EVENT_DRAFT:
		table_draft(k, now, ev, acts);
		break;
	case RP_EVENT_DRAIN:
		drain_start(k, now, acts);
		break;
	}
}

/* Runs the deferred work in order; it may defer more. */
static void run_deferred(struct rp_kernel *k, rp_ms now,
			 struct rp_actions *acts)
{
	while (acts->deferred) {
		struct rp_deferred *d = acts->deferred;

		acts->deferred = d->next;
		d->run(k, now, d, acts);
	}
}

void kernel_defer(struct rp_actions *acts, struct rp_deferred *d)
{
	struct rp_deferred **at = &acts->deferred;

	while (*at)
		at = &(*at)->next;
	d->next = NULL;
	*at = d;
}

void rp_kernel_event(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		     struct rp_actions *acts)
{
	event_dispatch(k, now, ev, acts);
	run_deferred(k, now, acts);
}
