/* What this VM reads and writes in the platform's store. */

#include "pool-store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TABLE "rosemary"
#define LEADER_KEY "leader"   /* struct PoolLeader */
#define RENEWED_KEY "renewed" /* the leader's fencing token, as text */
#define VM_KEY "vm/"	      /* + name: PoolHello */
#define WAIT_MS 700	      /* a read waits for changes this long */
#define TARGETS_MS 300	      /* between reads of the list of targets */
#define STANDBY_MS 5000	      /* the same on VMs that do not lead */
#define LOST_MS 1200	      /* the store is lost after such a silence */
#define WRITTEN_MS 1500	      /* a write is; transactions wait their turn */

struct store *store_of(struct pool *p)
{
	return (struct store *)p->watches;
}

static void on_operator_row(struct pool_watch *w,
			    const struct platform_row *row)
{
	struct pool *p = w->p;
	struct pool_routes *routes;
	char why[PLATFORM_WHY] = "";

	if (strcmp(row->key, PLATFORM_ROUTES_KEY) != 0 || !row->value)
		return;
	routes = platform_read_routes(row->value, row->len, why);
	if (why[0])
		log_warn("routes", "store", "%s", why);
	if (!routes)
		return;
	if (p->routes && routes->version <= p->routes->version) {
		pool_routes_free(routes);
		return;
	}
	LOG_EVENT(LOG_LEVEL_INFO, "routes_in_force",
		  LOG_NUMBER("version", routes->version),
		  LOG_NUMBER("before", p->routes ? p->routes->version : 0),
		  LOG_NUMBER("routes", (long long)routes->n));
	pool_routes_free(p->routes);
	p->routes = routes;
}

static void on_leader_row(struct pool *p, const struct platform_row *row)
{
	struct lead_row lead = { .version = row->version };
	PoolLeader *from;

	from = pool_leader__unpack(NULL, row->len, (uint8_t *)row->value);
	if (!from) {
		log_error("leader", "store", "row that cannot be read");
		return;
	}
	str_copy(lead.vm, sizeof(lead.vm), str_of(from->vm));
	str_copy(lead.address, sizeof(lead.address), str_of(from->address));
	lead.incarnation = from->incarnation;
	lead.fence = from->fence;
	lead_read(&p->lead, &lead, p->now);
	pool_leader__free_unpacked(from, NULL);
}

static void on_vm_row(struct pool *p, const struct platform_row *row)
{
	PoolHello *vm;

	if (!row->value) {
		pool_vm_remove(p, row->key + strlen(VM_KEY));
		return;
	}
	vm = pool_hello__unpack(NULL, row->len, (uint8_t *)row->value);
	if (!vm) {
		log_warn("vm", "store", "row that cannot be read");
		return;
	}
	pool_vm_update(p, vm);
	pool_hello__free_unpacked(vm, NULL);
}

static void on_pool_row(struct pool_watch *w, const struct platform_row *row)
{
	if (!strcmp(row->key, LEADER_KEY)) {
		if (row->value)
			on_leader_row(w->p, row);
	} else if (!strcmp(row->key, RENEWED_KEY)) {
		lead_renewed(&w->p->lead, w->p->now);
	} else if (!strncmp(row->key, VM_KEY, strlen(VM_KEY))) {
		on_vm_row(w->p, row);
	}
}

/* There has been no leader yet. */
static void on_pool_read(struct pool_watch *w)
{
	struct lead_row none = { .fence = 0 };

	if (w->p->lead.role == LEAD_UNKNOWN)
		lead_read(&w->p->lead, &none, w->p->now);
}

rp_ms pool_store_now(const struct pool *p)
{
	return p->now + p->store_clock_offset;
}

struct pool_call *pool_store_transact(struct pool *p, char *body, int fresh,
				      pool_call_cb *done)
{
	struct pool_call_spec spec = {
		.address = p->set.store_address,
		.path = PLATFORM_WRITE_PATH,
		.request = body,
		.timeout = WRITTEN_MS,
		.fresh_connect = fresh,
		.on_done = done,
	};

	p->count.store_calls++;
	return pool_call_begin(p, &spec);
}

static struct pool_call *write_row(struct pool *p, char *body,
				   pool_call_cb *done)
{
	return pool_store_transact(p, body,
				   store_of(p)->watches[WATCH_POOL].lost, done);
}

/* The row as it is now comes with the answer, or with the watch. */
static void on_claimed(struct pool_call *c, long status, const char *body,
		       size_t len)
{
	struct pool *p = c->p;
	struct platform_rows rows;
	char why[PLATFORM_WHY];
	size_t i;

	LOG_EVENT(LOG_LEVEL_INFO, "claim_answered",
		  LOG_NUMBER("status", status),
		  LOG_NUMBER("after_ms", p->now - c->sent_at));
	if (status == 200) {
		struct lead_row row = { .fence = c->fence,
					.incarnation = p->incarnation };

		str_copy(row.vm, sizeof(row.vm), str_of(p->set.vm_name));
		str_copy(row.address, sizeof(row.address),
			 str_of(p->set.link_address));
		if (!platform_read_rows(&rows, body, len, why))
			row.version = rows.version;
		platform_rows_finish(&rows);
		lead_read(&p->lead, &row, p->now);
		return;
	}
	lead_claim_failed(&p->lead, p->now);
	if (status != 412 || platform_read_rows(&rows, body, len, why) < 0)
		return;
	for (i = 0; i < rows.n; i++)
		if (!strcmp(rows.rows[i].key, LEADER_KEY) && rows.rows[i].value)
			on_leader_row(p, &rows.rows[i]);
	platform_rows_finish(&rows);
}

void pool_store_claim(struct pool *p, const struct lead_row *row,
		      int64_t expected)
{
	PoolLeader lead = POOL_LEADER__INIT;
	uint8_t packed[512];
	struct rp_str value = { (char *)packed, 0 };

	lead.vm = (char *)row->vm;
	lead.address = (char *)row->address;
	lead.incarnation = row->incarnation;
	lead.fence = row->fence;
	value.len = pool_leader__pack(&lead, packed);
	write_row(p, platform_write_body(TABLE, LEADER_KEY, value, expected),
		  on_claimed)
		->fence = row->fence;
}

static void on_registered(struct pool_call *c, long status, const char *body,
			  size_t len)
{
	struct store *s = store_of(c->p);
	struct platform_rows rows;
	char why[PLATFORM_WHY];

	s->registering = 0;
	s->registered = status == 200;
	s->register_at = c->p->now + STORE_MAX_BACKOFF_MS;
	if (!s->registered) {
		log_warn("register", "store", "status %ld", status);
		return;
	}
	if (!platform_read_rows(&rows, body, len, why))
		c->p->lead.row_version = (uint32_t)rows.version;
	platform_rows_finish(&rows);
}

static void register_vm(struct pool *p)
{
	struct store *s = store_of(p);
	PoolHello vm = POOL_HELLO__INIT;
	uint8_t packed[512];
	struct rp_str value = { (char *)packed, 0 };
	char key[RP_NAME_MAX + 8];

	if (s->registered || s->registering || p->now < s->register_at)
		return;
	s->registering = 1;
	vm.vm = p->set.vm_name;
	vm.address = p->set.link_address;
	vm.incarnation = p->incarnation;
	vm.processor = (uint32_t)pool_processor(p);
	vm.failure_domain = p->set.failure_domain;
	value.len = pool_hello__pack(&vm, packed);
	snprintf(key, sizeof(key), "%s%s", VM_KEY, p->set.vm_name);
	write_row(p,
		  platform_write_body(TABLE, key, value, PLATFORM_ANY_VERSION),
		  on_registered);
}

/* Says as well that this VM was still in office when it was sent. */
static void on_renewed(struct pool_call *c, long status, const char *body,
		       size_t len)
{
	struct pool *p = c->p;
	struct platform_rows rows;
	char why[PLATFORM_WHY];
	size_t i;

	store_of(p)->renewing = 0;
	if (status == 200 && c->fence == p->lead.row.fence)
		p->leadership_confirmed_at = c->sent_at;
	if (status != 200) {
		p->count.store_failed++;
		log_warn("renew", "store", "status %ld", status);
	}
	if (status != 412 || platform_read_rows(&rows, body, len, why) < 0)
		return;
	for (i = 0; i < rows.n; i++)
		if (!strcmp(rows.rows[i].key, LEADER_KEY) && rows.rows[i].value)
			on_leader_row(p, &rows.rows[i]);
	platform_rows_finish(&rows);
}

/* Shows those that hear nothing of the leader that it lives. */
static void renew(struct pool *p)
{
	struct store *s = store_of(p);
	struct platform_write writes[2] = {
		{ .key = RENEWED_KEY, .expected = PLATFORM_ANY_VERSION },
		{ .key = LEADER_KEY, .only_check = 1 },
	};
	char fence[24];

	if (!p->leading || s->renewing || p->now < s->renew_at)
		return;
	s->renewing = 1;
	s->renew_at = p->now + LEAD_RENEW_MS;
	snprintf(fence, sizeof(fence), "%llu",
		 (unsigned long long)p->lead.row.fence);
	writes[0].value = str_of(fence);
	writes[1].expected = p->lead.row.version;
	/* Of a VM that leads alone there is no row. */
	write_row(p,
		  platform_writes_body(TABLE, "", writes,
				       lead_alone(&p->lead) ? 1 : 2),
		  on_renewed)
		->fence = p->lead.row.fence;
}

void pool_store_unregister(struct pool *p)
{
	char key[RP_NAME_MAX + 8];

	snprintf(key, sizeof(key), "%s%s", VM_KEY, p->set.vm_name);
	store_of(p)->registered = 1;
	write_row(p, platform_remove_body(TABLE, key), NULL);
}

void pool_store_set_leading(struct pool *p, int leads)
{
	struct store *s = store_of(p);
	struct pool_watch *w = &s->watches[WATCH_TARGETS];

	w->interval = leads ? TARGETS_MS : STANDBY_MS;
	s->watches[WATCH_JOBS].disabled = 1;
	if (!leads)
		return;
	pool_watch_restart(w);
	w->backoff = 0;
	w->answered_at = p->now;
	pool_listing_clear_missing(p);
	s->renew_at = p->now;
	p->leadership_confirmed_at = p->now;
}

static void watch_init(struct pool *p, enum watch_kind kind, const char *table,
		       rp_ms wait, rp_ms every,
		       void (*row)(struct pool_watch *,
				   const struct platform_row *))
{
	struct pool_watch *w = &store_of(p)->watches[kind];

	w->p = p;
	w->table = table;
	w->poll_wait = wait;
	w->interval = every;
	w->on_row = row;
	w->answered_at = p->now;
}

int pool_store_init(struct pool *p)
{
	struct store *s = apr_pcalloc(p->pool, sizeof(*s));

	p->watches = s->watches;
	s->listed_rounds = hash_new(p->pool);
	p->listings = hash_new(p->pool);
	s->unreadable_rows = hash_new(p->pool);
	watch_init(p, WATCH_OPERATOR, PLATFORM_OPERATOR, WAIT_MS, 0,
		   on_operator_row);
	watch_init(p, WATCH_POOL, TABLE, WAIT_MS, 0, on_pool_row);
	watch_init(p, WATCH_TARGETS, PLATFORM_TARGETS, 0, STANDBY_MS,
		   pool_listing_row);
	watch_init(p, WATCH_JOBS, JOBS_TABLE, WAIT_MS, 0, pool_stored_row);
	s->watches[WATCH_JOBS].nparts = JOBS_PARTS;
	s->watches[WATCH_JOBS].disabled = 1;
	s->watches[WATCH_JOBS].on_complete = pool_stored_complete;
	s->watches[WATCH_POOL].on_complete = on_pool_read;
	s->watches[WATCH_TARGETS].on_complete = pool_listing_complete;
	s->watches[WATCH_TARGETS].on_regained = pool_listing_regained;
	return 0;
}

/* A call that hangs, while others are answered, is not a lost store. */
static rp_ms heard_at(const struct store *s)
{
	rp_ms latest = 0;
	int i;

	for (i = 0; i < WATCHES; i++)
		if (s->watches[i].answered_at > latest)
			latest = s->watches[i].answered_at;
	return latest;
}

void pool_store_tick(struct pool *p, rp_ms now)
{
	struct store *s = store_of(p);
	int i;

	for (i = 0; i < WATCHES; i++)
		pool_watch_tick(&s->watches[i], now);
	p->lead.store_lost = now - heard_at(s) > LOST_MS;
	if (!p->stopping)
		register_vm(p);
	renew(p);
	if (p->leading)
		pool_listing_tick(p);
}
