/* Services and targets of a dispatch shard. */

#include "rosemary-int.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

/* Weight of the newest sample in an average run time. */
#define RUN_TIME_ALPHA 0.1

void run_time_add(struct rp_run_time *rt, rp_ms sample)
{
	double x = (double)sample;
	double alpha;

	rt->count++;
	/* The first samples have equal weights. */
	alpha = 1.0 / (double)rt->count;
	if (alpha < RUN_TIME_ALPHA)
		alpha = RUN_TIME_ALPHA;
	rt->dev += alpha *
		   ((x > rt->mean ? x - rt->mean : rt->mean - x) - rt->dev);
	rt->mean += alpha * (x - rt->mean);
}

void dispatch_init(struct rp_kernel *k, unsigned index)
{
	struct rp_dispatch *d = &k->dispatch[index];

	d->k = k;
	d->index = index;
	d->lock = kernel_lock_new(k);
	apr_pool_create(&d->pool, k->pool);
	d->services = hash_new(d->pool);
	d->teams = hash_new(d->pool);
	d->jobs = hash_new(d->pool);
	d->cells = hash_new(d->pool);
	d->free_start = RP_START_SLOT_NONE;
	d->random = k->opt.seed + index;
	heap_init(&d->deadlines);
	team_divide_quotas(d);
	heap_init(&d->timers);
	heap_init(&d->paused);
}

/* Removes a target from its service and the policies. */
static void target_free(struct rp_target *t)
{
	struct rp_service *svc = t->svc;
	struct rp_target *last;

	heap_remove(&svc->by_run_time, &t->run_time_node);
	heap_remove(&svc->shard->paused, &t->pause_node);
	svc->route->ops->removed(svc->route, t);
	svc->limit->ops->removed(svc->limit, t);
	svc->health->ops->removed(svc->health, t);
	apr_hash_set(svc->by_name, t->name, APR_HASH_KEY_STRING, NULL);
	last = svc->targets[--svc->ntargets];
	svc->targets[t->index] = last;
	last->index = t->index;
	free(t);
}

static void service_free(struct rp_service *svc)
{
	while (svc->ntargets)
		target_free(svc->targets[svc->ntargets - 1]);
	svc->route->ops->destroy(svc->route);
	svc->queue->ops->destroy(svc->queue);
	svc->admit->ops->destroy(svc->admit);
	svc->limit->ops->destroy(svc->limit);
	svc->health->ops->destroy(svc->health);
	svc->retry->ops->destroy(svc->retry);
	heap_finish(&svc->by_run_time);
	free(svc->targets);
	free(svc);
}

void dispatch_finish(struct rp_dispatch *d)
{
	apr_hash_index_t *i;
	size_t n;

	for (n = 0; n < d->nstart_slots; n++)
		if (start_by_slot(d, n)->in_use)
			start_release(start_by_slot(d, n));
	for (i = apr_hash_first(NULL, d->jobs); i; i = apr_hash_next(i))
		job_unref(apr_hash_this_val(i));
	for (i = apr_hash_first(NULL, d->services); i; i = apr_hash_next(i))
		service_free(apr_hash_this_val(i));
	for (i = apr_hash_first(NULL, d->teams); i; i = apr_hash_next(i))
		free(apr_hash_this_val(i));
	for (n = 0; n < d->nstart_slots; n += RP_START_PAGE)
		free(start_by_slot(d, n));
	free(d->start_pages);
	heap_finish(&d->deadlines);
	heap_finish(&d->timers);
	heap_finish(&d->paused);
	view_unref(d->view);
	kernel_lock_free(d->k, d->lock);
}

struct rp_dispatch *dispatch_shard_of(struct rp_kernel *k,
				      struct rp_str service)
{
	return &k->dispatch[str_hash(service) % RP_DISPATCH_SHARDS];
}

struct rp_service *service_find(struct rp_dispatch *d, struct rp_str name)
{
	return apr_hash_get(d->services, name.ptr, (apr_ssize_t)name.len);
}

/* Adds a service with the policies that the options name. */
static struct rp_service *service_new(struct rp_dispatch *d, const char *name)
{
	const struct rp_options *opt = &d->k->opt;
	struct rp_service *svc = kernel_alloc(sizeof(*svc));

	str_copy(svc->name, sizeof(svc->name), str_of(name));
	svc->shard = d;
	svc->silence_devs = RP_SILENCE_DEVS_MAX;
	heap_init(&svc->by_run_time);
	svc->by_name = hash_new(d->pool);
	svc->route = ((struct rp_route_ops *)plugin_find(RP_PLUGIN_ROUTE,
							 opt->route))
			     ->create(svc);
	svc->queue = ((struct rp_queue_ops *)plugin_find(RP_PLUGIN_QUEUE,
							 opt->queue))
			     ->create(svc);
	svc->admit = ((struct rp_admit_ops *)plugin_find(RP_PLUGIN_ADMIT,
							 opt->admit))
			     ->create(svc);
	svc->limit = ((struct rp_limit_ops *)plugin_find(RP_PLUGIN_LIMIT,
							 opt->limit))
			     ->create(svc);
	svc->health = ((struct rp_health_ops *)plugin_find(RP_PLUGIN_HEALTH,
							   opt->health))
			      ->create(svc);
	svc->retry = ((struct rp_retry_ops *)plugin_find(RP_PLUGIN_RETRY,
							 opt->retry))
			     ->create(svc);
	apr_hash_set(d->services, svc->name, APR_HASH_KEY_STRING, svc);
	return svc;
}

/* Returns the service, which is added when it is new. */
static struct rp_service *service_get(struct rp_dispatch *d, const char *name)
{
	struct rp_service *svc = service_find(d, str_of(name));

	return svc ? svc : service_new(d, name);
}

/* Adds a target to the service. */
static struct rp_target *target_new(struct rp_service *svc, const char *name)
{
	struct rp_target *t = kernel_alloc(sizeof(*t));

	t->svc = svc;
	str_copy(t->name, sizeof(t->name), str_of(name));
	table_set_target(svc->shard, t);
	heap_node_init(&t->route_node);
	heap_node_init(&t->run_time_node);
	heap_node_init(&t->pause_node);
	if (svc->ntargets == svc->cap_targets) {
		svc->cap_targets = svc->cap_targets ? 2 * svc->cap_targets : 16;
		svc->targets = kernel_realloc(
			svc->targets, svc->cap_targets * sizeof(*svc->targets));
	}
	t->index = svc->ntargets;
	svc->targets[svc->ntargets++] = t;
	apr_hash_set(svc->by_name, t->name, APR_HASH_KEY_STRING, t);
	return t;
}

/* Applies the VM list's entry of a target. */
static void target_apply_listing(struct rp_target *t, const struct rp_vm *vm,
				 rp_ms now)
{
	str_copy(t->address, sizeof(t->address), str_of(vm->address));
	str_copy(t->failure_domain, sizeof(t->failure_domain),
		 str_of(vm->failure_domain));
	t->slots = vm->slots;
	t->connections = vm->connections;
	t->can_lookup = vm->can_lookup;
	t->can_void = vm->can_void;
	t->listed = 1;
	if (vm->leaving && !t->leaving) {
		t->leaving = 1;
		t->leaving_since = now;
	}
}

/*
 * Looks up the starts of the targets that are no longer listed, and removes
 * those targets that have none.
 */
static void service_remove_unlisted(struct rp_service *svc, rp_ms now,
				    struct rp_actions *acts)
{
	size_t i;

	/* Downwards, as target_free() moves the last target into the gap. */
	for (i = svc->ntargets; i-- > 0;) {
		struct rp_target *t = svc->targets[i];

		target_reindex(t);
		if (t->listed)
			continue;
		lookup_target_starts(t, now, acts);
		if (!t->in_flight)
			target_free(t);
	}
}

void service_changed(struct rp_service *svc, rp_ms now, struct rp_actions *acts)
{
	size_t i;

	svc->limit->ops->changed(svc->limit, now, acts);
	for (i = 0; i < svc->ntargets; i++) {
		target_reindex(svc->targets[i]);
		svc->route->ops->changed(svc->route, svc->targets[i], now);
	}
	dispatch_pump(svc, now, acts);
}

void dispatch_apply_list(struct rp_dispatch *d, rp_ms now, uint64_t seq,
			 const struct rp_vm *vms, size_t nvms,
			 struct rp_actions *acts)
{
	apr_hash_index_t *i;
	size_t n;

	kernel_lock(d->k, d->lock);
	if (seq <= d->list_seq) {
		kernel_unlock(d->k, d->lock);
		return;
	}
	d->list_seq = seq;
	for (i = apr_hash_first(NULL, d->services); i; i = apr_hash_next(i)) {
		struct rp_service *svc = apr_hash_this_val(i);

		for (n = 0; n < svc->ntargets; n++)
			svc->targets[n]->listed = 0;
	}
	d->entry_vms = 0;
	for (n = 0; n < nvms; n++) {
		struct rp_service *svc;
		struct rp_target *t;

		if (vms[n].kind == RP_VM_ENTRY)
			d->entry_vms++;
		if (vms[n].kind != RP_VM_TARGET ||
		    dispatch_shard_of(d->k, str_of(vms[n].service)) != d)
			continue;
		svc = service_get(d, vms[n].service);
		t = apr_hash_get(svc->by_name, vms[n].name,
				 APR_HASH_KEY_STRING);
		target_apply_listing(t ? t : target_new(svc, vms[n].name),
				     &vms[n], now);
	}
	for (i = apr_hash_first(NULL, d->services); i; i = apr_hash_next(i)) {
		service_remove_unlisted(apr_hash_this_val(i), now, acts);
		service_changed(apr_hash_this_val(i), now, acts);
	}
	kernel_unlock(d->k, d->lock);
}

/* Returns how many connections each listed entry VM may open to the target. */
static int connection_share(const struct rp_target *t)
{
	int vms = t->svc->shard->entry_vms;
	int share = vms > 1 ? t->connections / vms : t->connections;

	if (t->connections <= 0)
		return INT_MAX;
	return share > 0 ? share : 1;
}

int target_available(const struct rp_target *t)
{
	struct rp_service *svc = t->svc;

	if (t->in_flight >= connection_share(t))
		return 0;
	if (!t->listed || t->leaving || !t->weight || t->paused ||
	    t == svc->excluded)
		return 0;
	return svc->limit->ops->allows(svc->limit, t) &&
	       svc->health->ops->allows(svc->health, t);
}

int target_limit(const struct rp_target *t)
{
	return t->limit == RP_CELL_UNSET ? t->slots : t->limit;
}
