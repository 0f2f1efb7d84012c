/* The entry VMs that are known, from the store or from themselves. */

#include "pool.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

/* VMs that are learned of from themselves. */
#define LEARNED_VMS_MAX 256
/*
 * Time for which a VM is known after its row was removed. It may be restarted
 * while the store is away, and is then known from nowhere else.
 */
#define LEFT_KEPT_MS 30000
#define RESUBMIT_MS 300 /* for a VM that has joined to submit its jobs */
#define ANNOUNCE_INTERVAL_MS 500 /* to VMs that are not linked */
/* Time for which a VM that has refused a connection counts as dead. */
#define REFUSAL_HOLDS_MS 2000
/* Time since the store confirmed this leader, beyond the renewal interval. */
#define UNCONFIRMED_MS (LEAD_RENEW_INTERVAL_MS + 250)

int pool_is_self(const struct pool *p, const char *vm)
{
	return !strcmp(vm, p->set.vm_name);
}

struct pool_vm *pool_find_vm(struct pool *p, const char *name)
{
	struct pool_vm *vm;

	for (vm = p->vms; vm; vm = vm->next)
		if (!strcmp(vm->vm, name))
			return vm;
	return NULL;
}

unsigned pool_domain_rank(const struct pool *p, const char *name,
			  const char *failure_domain, int64_t processor)
{
	const struct pool_vm *vm;
	unsigned rank = 0;

	for (vm = p->vms; vm; vm = vm->next) {
		if (vm->left_at ||
		    strcmp(vm->failure_domain, failure_domain) != 0)
			continue;
		rank += vm->processor > processor ||
			(vm->processor == processor &&
			 strcmp(vm->vm, name) < 0);
	}
	return rank;
}

/* Counts the other VMs, and the much larger ones, for the election. */
static void count_vms(struct pool *p)
{
	struct pool_vm *vm;

	p->lead.nothers = p->lead.nlarger = 0;
	for (vm = p->vms; vm; vm = vm->next) {
		if (vm->left_at || pool_is_self(p, vm->vm))
			continue;
		p->lead.nothers++;
		p->lead.nlarger += vm->processor >=
				   POOL_LARGER_FACTOR * pool_processor(p);
	}
	p->lead.domain_rank = pool_domain_rank(
		p, p->set.vm_name, p->set.failure_domain, pool_processor(p));
}

int pool_vm_may_share_version(const struct pool *p)
{
	uint32_t own = p->lead.own_row_version;
	const struct pool_vm *vm;
	int read = 0;

	for (vm = p->vms; vm; vm = vm->next)
		if (pool_is_self(p, vm->vm))
			read = (uint32_t)vm->version == own;
		else if (vm->version && LEAD_SHORT_VERSION(vm->version) ==
						LEAD_SHORT_VERSION(own))
			return 1;
	return !read;
}

void pool_vm_update(struct pool *p, const PoolHello *hello, int64_t version)
{
	struct pool_vm *vm;

	vm = pool_find_vm(p, hello->vm);
	if (!vm) {
		vm = calloc(1, sizeof(*vm));
		vm->next = p->vms;
		p->vms = vm;
	}
	str_copy(vm->vm, sizeof(vm->vm), str_of(hello->vm));
	str_copy(vm->address, sizeof(vm->address), str_of(hello->address));
	str_copy(vm->failure_domain, sizeof(vm->failure_domain),
		 str_of(hello->failure_domain));
	vm->processor = hello->processor;
	vm->version = version;
	vm->learned = 0;
	vm->left_at = 0;
	count_vms(p);
}

void pool_vms_read(struct pool *p)
{
	struct pool_vm **at = &p->vms, *vm;

	p->vms_read = 1;
	while ((vm = *at)) {
		if (!vm->learned) {
			at = &vm->next;
			continue;
		}
		*at = vm->next;
		free(vm);
	}
	count_vms(p);
}

void pool_vm_left(struct pool *p, const char *name)
{
	struct pool_vm *vm = pool_find_vm(p, name);

	if (!vm || vm->left_at)
		return;
	vm->left_at = p->now;
	count_vms(p);
}

/*
 * A VM that starts while the store is away learns of the others from those that
 * dial it, until it has read their rows.
 */
void pool_vm_learn(struct pool *p, const PoolHello *hello)
{
	struct sockaddr_in sa;

	if (p->vms_read || p->nlearned_vms == LEARNED_VMS_MAX ||
	    !hello->vm[0] || pool_parse_address(hello->address, &sa) < 0 ||
	    pool_is_self(p, hello->vm) || pool_find_vm(p, hello->vm))
		return;
	p->nlearned_vms++;
	pool_vm_update(p, hello, 0);
	pool_find_vm(p, hello->vm)->learned = 1;
}

void pool_vm_is_up(struct pool *p, const char *vm)
{
	struct pool_vm *known = pool_find_vm(p, vm);

	if (known)
		known->refused = 0;
}

/* Whether the VM certainly followed this leader a moment ago. */
static int is_linked(struct pool *p, const struct pool_vm *vm)
{
	const struct pool_member *m = pool_find_member(p, vm->vm);

	return m && m->link &&
	       p->now - pool_member_followed_at(m) <= LEAD_SILENCE_MAX_MS;
}

void pool_dial_unlinked(struct pool *p)
{
	struct pool_vm *vm;

	for (vm = p->vms; vm; vm = vm->next) {
		struct pool_link *l;

		if (pool_is_self(p, vm->vm) || is_linked(p, vm))
			continue;
		l = pool_link_dial(p, vm->vm, vm->address, POOL_LINK_PROBE);
		if (l)
			pool_send_heartbeat(p, l);
	}
}

int pool_all_vms_linked(struct pool *p)
{
	const struct pool_vm *vm;

	for (vm = p->vms; vm; vm = vm->next)
		if (!vm->left_at && !pool_is_self(p, vm->vm) &&
		    !is_linked(p, vm))
			return 0;
	return 1;
}

int pool_owner_may_be_missing(struct pool *p)
{
	const struct pool_vm *vm;

	for (vm = p->vms; vm; vm = vm->next)
		if ((!vm->left_at || p->now - vm->left_at < p->set.grace) &&
		    !pool_is_self(p, vm->vm) && !is_linked(p, vm))
			return 1;
	return 0;
}

/* The longest time that a caller waits which states no deadline, ms. */
static rp_ms longest_timeout(const struct pool *p)
{
	rp_ms longest = 0;
	size_t i;

	for (i = 0; p->routes && i < p->routes->n; i++)
		if (p->routes->routes[i].timeout > longest)
			longest = p->routes->routes[i].timeout;
	return longest;
}

void pool_check_missing_owners(struct pool *p)
{
	if (pool_owner_may_be_missing(p))
		p->owner_missing_at = p->now;
	p->sched.owners_missing = p->now - p->owner_missing_at < RESUBMIT_MS;
	p->sched.default_wait = longest_timeout(p);
}

int pool_missing_vms_are_dead(struct pool *p)
{
	const struct pool_vm *vm;
	int dead = 1;

	for (vm = p->vms; vm; vm = vm->next)
		if (!pool_is_self(p, vm->vm) && !is_linked(p, vm))
			dead &= vm->refused &&
				p->now - vm->refused_at < REFUSAL_HOLDS_MS;
	if (!dead && p->now - p->announced_at >= ANNOUNCE_INTERVAL_MS) {
		p->announced_at = p->now;
		pool_dial_unlinked(p);
	}
	return dead;
}

/* Whether it cannot be known that the VM does not follow another leader. */
static int may_follow_another(struct pool *p, struct pool_vm *vm)
{
	if (vm->left_at || pool_is_self(p, vm->vm) || is_linked(p, vm))
		return 0;
	return !vm->refused;
}

int pool_is_isolated(struct pool *p)
{
	struct pool_vm *vm;
	int others = 0;

	/* VMs that are dead have had the time to refuse a connection. */
	if (!p->leading || !p->announcing_since ||
	    p->now - p->announcing_since < LEAD_PROBE_TIMEOUT_MS)
		return 0;
	for (vm = p->vms; vm; vm = vm->next) {
		if (!pool_is_self(p, vm->vm) && is_linked(p, vm))
			return 0;
		others |= may_follow_another(p, vm);
	}
	return others;
}

/* Tells VMs that are not linked of this leader, as the store may not. */
static void announce(struct pool *p)
{
	if (p->now - p->leadership_confirmed_at < UNCONFIRMED_MS) {
		p->announcing_since = 0;
		return;
	}
	if (!p->announcing_since)
		p->announcing_since = p->now;
	if (p->now - p->announced_at < ANNOUNCE_INTERVAL_MS)
		return;
	p->announced_at = p->now;
	pool_dial_unlinked(p);
}

void pool_vms_tick(struct pool *p)
{
	struct pool_vm **at = &p->vms, *vm;

	while ((vm = *at)) {
		if (!vm->left_at || p->now - vm->left_at < LEFT_KEPT_MS) {
			at = &vm->next;
			continue;
		}
		*at = vm->next;
		free(vm);
	}
	announce(p);
}
