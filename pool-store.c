/* The tables of the store that a VM follows, and the rows that it writes. */

#include "pool-store.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POOL_TABLE "rosemary"
#define LEADER_KEY "leader"	/* value: PoolLeader */
#define RENEWED_KEY "renewed"	/* value: the leader's fencing token, as text */
#define VM_KEY_PREFIX "vm/"	/* followed by a VM's name; value: PoolHello */
#define POLL_WAIT_MS 700	/* the store holds a poll open for a change */
#define TARGETS_INTERVAL_MS 300 /* between reads of the list of targets */
#define STORE_TIMEOUT_MS 1200	/* without a reply the store counts as lost */
#define WRITE_TIMEOUT_MS 1500	/* includes the wait for other transactions */

struct store *store_of(struct pool *p)
{
	return (struct store *)p->watches;
}

static void on_operator_row(struct pool_watch *w,
			    const struct platform_row *row)
{
	struct pool *p = w->p;
	struct pool_routes *routes;
	char error[PLATFORM_ERROR_MAX] = "";

	if (!strncmp(row->key, PLATFORM_EVACUATION_PREFIX,
		     strlen(PLATFORM_EVACUATION_PREFIX))) {
		pool_evacuation_row(w, row);
		return;
	}
	if (strcmp(row->key, PLATFORM_ROUTES_KEY) != 0 || !row->value)
		return;
	routes = platform_parse_routes(row->value, row->len, error);
	if (error[0])
		log_warn("routes", "store", "%s", error);
	if (!routes)
		return;
	if (p->routes && routes->version <= p->routes->version) {
		pool_routes_free(routes);
		return;
	}
	LOG_EVENT(LOG_LEVEL_INFO, "routes_in_force",
		  LOG_NUMBER("version", routes->version),
		  LOG_NUMBER("prev_version",
			     p->routes ? p->routes->version : 0),
		  LOG_NUMBER("routes", (long long)routes->n));
	pool_routes_free(p->routes);
	p->routes = routes;
}

static void on_leader_row(struct pool *p, const struct platform_row *row)
{
	struct lead_row leader = { .version = row->version };
	PoolLeader *msg;

	msg = pool_leader__unpack(NULL, row->len, (uint8_t *)row->value);
	if (!msg) {
		log_error("leader", "store", "cannot parse the row");
		return;
	}
	str_copy(leader.vm, sizeof(leader.vm), str_of(msg->vm));
	str_copy(leader.address, sizeof(leader.address), str_of(msg->address));
	leader.incarnation = msg->incarnation;
	leader.fence = msg->fence;
	lead_row_read(&p->lead, &leader, p->now);
	pool_leader__free_unpacked(msg, NULL);
}

/* Whether the row is of the VM of this name, and says where to reach it. */
static int vm_is_valid(const char *name, const PoolHello *vm)
{
	return name[0] && strlen(name) < RP_NAME_MAX && !strcmp(vm->vm, name) &&
	       pool_address_pack(vm->address);
}

/* The last valid row of a VM holds until the row is removed. */
static void on_vm_row(struct pool *p, const struct platform_row *row)
{
	const char *name = row->key + strlen(VM_KEY_PREFIX);
	PoolHello *vm;

	if (!row->value) {
		pool_vm_left(p, name);
		return;
	}
	vm = pool_hello__unpack(NULL, row->len, (uint8_t *)row->value);
	if (vm && vm_is_valid(name, vm))
		pool_vm_update(p, vm, row->version);
	else if (pool_row_fault_is_new(p, row->key))
		log_warn("vm", "store", "malformed row %s", row->key);
	pool_hello__free_unpacked(vm, NULL);
}

static void on_pool_row(struct pool_watch *w, const struct platform_row *row)
{
	if (!strcmp(row->key, LEADER_KEY)) {
		if (row->value)
			on_leader_row(w->p, row);
	} else if (!strcmp(row->key, RENEWED_KEY)) {
		lead_renewed(&w->p->lead, row->version, w->p->now);
	} else if (!strncmp(row->key, VM_KEY_PREFIX, strlen(VM_KEY_PREFIX))) {
		on_vm_row(w->p, row);
	}
}

/* If a full read has not found a leader's row, there was no leader yet. */
static void on_pool_complete(struct pool_watch *w)
{
	struct lead_row none = { .fence = 0 };

	pool_vms_read(w->p);
	if (w->p->lead.role == LEAD_UNKNOWN)
		lead_row_read(&w->p->lead, &none, w->p->now);
}

int pool_row_fault_is_new(struct pool *p, const char *key)
{
	apr_hash_t *logged = store_of(p)->unreadable_rows;

	if (apr_hash_get(logged, key, APR_HASH_KEY_STRING))
		return 0;
	apr_hash_set(logged, apr_pstrdup(p->pool, key), APR_HASH_KEY_STRING,
		     "");
	return 1;
}

rp_ms pool_store_now(const struct pool *p)
{
	return p->now + p->store_clock_offset;
}

struct pool_call *pool_store_transact(struct pool *p, char *body,
				      int fresh_connect, pool_call_cb *on_done)
{
	return pool_store_transact_within(p, body, WRITE_TIMEOUT_MS,
					  fresh_connect, on_done);
}

struct pool_call *pool_store_transact_within(struct pool *p, char *body,
					     rp_ms timeout, int fresh_connect,
					     pool_call_cb *on_done)
{
	struct pool_call_spec spec = {
		.address = p->set.store_address,
		.path = PLATFORM_TRANSACTION_PATH,
		.request = body,
		.timeout = timeout,
		.fresh_connect = fresh_connect,
		.on_done = on_done,
	};

	p->count.store_calls++;
	return pool_call_begin(p, &spec);
}

static struct pool_call *write_pool_rows(struct pool *p, char *body,
					 pool_call_cb *on_done)
{
	return pool_store_transact(
		p, body, store_of(p)->watches[WATCH_POOL].lost, on_done);
}

/*
 * The reply to a failed claim may contain the leader's current row. Otherwise
 * the watch reads it.
 */
static void on_claim_reply(struct pool_call *c, long status, const char *body,
			   size_t len)
{
	struct pool *p = c->p;
	struct platform_rows rows;
	char error[PLATFORM_ERROR_MAX];
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
		if (!platform_parse_rows(&rows, body, len, error))
			row.version = rows.version;
		platform_rows_finish(&rows);
		lead_row_read(&p->lead, &row, p->now);
		return;
	}
	lead_claim_failed(&p->lead, p->now);
	if (status != 412 || platform_parse_rows(&rows, body, len, error) < 0)
		return;
	for (i = 0; i < rows.n; i++)
		if (!strcmp(rows.rows[i].key, LEADER_KEY) && rows.rows[i].value)
			on_leader_row(p, &rows.rows[i]);
	platform_rows_finish(&rows);
}

void pool_store_claim(struct pool *p, const struct lead_row *row,
		      int64_t expected)
{
	PoolLeader msg = POOL_LEADER__INIT;
	uint8_t packed[512];
	struct rp_str value = { (char *)packed, 0 };

	msg.vm = (char *)row->vm;
	msg.address = (char *)row->address;
	msg.incarnation = row->incarnation;
	msg.fence = row->fence;
	value.len = pool_leader__pack(&msg, packed);
	write_pool_rows(
		p, platform_write_body(POOL_TABLE, LEADER_KEY, value, expected),
		on_claim_reply)
		->fence = row->fence;
}

static void on_register_reply(struct pool_call *c, long status,
			      const char *body, size_t len)
{
	struct store *s = store_of(c->p);
	struct platform_rows rows;
	char error[PLATFORM_ERROR_MAX];

	s->registering = 0;
	s->registered = status == 200;
	s->register_due = c->p->now + STORE_MAX_BACKOFF_MS;
	if (!s->registered) {
		log_warn("register", "store", "status %ld", status);
		return;
	}
	if (!platform_parse_rows(&rows, body, len, error))
		c->p->lead.own_row_version = (uint32_t)rows.version;
	platform_rows_finish(&rows);
}

static void register_vm(struct pool *p)
{
	struct store *s = store_of(p);
	PoolHello hello = POOL_HELLO__INIT;
	uint8_t packed[512];
	struct rp_str value = { (char *)packed, 0 };
	char key[RP_NAME_MAX + 8];

	if (s->registered || s->registering || p->now < s->register_due)
		return;
	s->registering = 1;
	hello.vm = p->set.vm_name;
	hello.address = p->set.link_address;
	hello.incarnation = p->incarnation;
	hello.processor = (uint32_t)pool_processor(p);
	hello.failure_domain = p->set.failure_domain;
	value.len = pool_hello__pack(&hello, packed);
	snprintf(key, sizeof(key), "%s%s", VM_KEY_PREFIX, p->set.vm_name);
	write_pool_rows(p,
			platform_write_body(POOL_TABLE, key, value,
					    PLATFORM_ANY_VERSION),
			on_register_reply);
}

/* The renewal must have been sent after the pause. */
static void confirm_after_pause(struct pool *p, rp_ms sent_at)
{
	rp_ms since = p->lead.confirming_since;

	if (!since || sent_at < since || !p->leading)
		return;
	lead_confirmed(&p->lead);
	sched_suspend(&p->sched, 0, p->now);
	LOG_EVENT(LOG_LEVEL_INFO, "leadership_confirmed",
		  LOG_NUMBER("after_ms", p->now - since),
		  LOG_NUMBER("jobs", (long long)p->sched.njobs));
}

/* A successful renewal confirms that this VM led when it sent it. */
static void on_renew_reply(struct pool_call *c, long status, const char *body,
			   size_t len)
{
	struct pool *p = c->p;
	struct platform_rows rows;
	char error[PLATFORM_ERROR_MAX];
	size_t i;

	store_of(p)->renewing = 0;
	if (status == 200 && c->fence == p->lead.row.fence) {
		p->leadership_confirmed_at = c->sent_at;
		confirm_after_pause(p, c->sent_at);
	}
	if (status != 200) {
		p->count.store_failed++;
		log_warn("renew", "store", "status %ld", status);
	}
	if (status != 412 || platform_parse_rows(&rows, body, len, error) < 0)
		return;
	for (i = 0; i < rows.n; i++)
		if (!strcmp(rows.rows[i].key, LEADER_KEY) && rows.rows[i].value)
			on_leader_row(p, &rows.rows[i]);
	platform_rows_finish(&rows);
}

/* Writes the leader's token, so that VMs without a link see it is alive. */
static void send_renewal(struct pool *p)
{
	struct store *s = store_of(p);
	struct platform_write writes[2] = {
		{ .key = RENEWED_KEY,
		  .expected_version = PLATFORM_ANY_VERSION },
		{ .key = LEADER_KEY, .check_only = 1 },
	};
	char fence[24];

	s->renewing = 1;
	s->renew_due = p->now + LEAD_RENEW_INTERVAL_MS;
	snprintf(fence, sizeof(fence), "%llu",
		 (unsigned long long)p->lead.row.fence);
	writes[0].value = str_of(fence);
	writes[1].expected_version = p->lead.row.version;
	/* A provisional leader has no row to check. */
	write_pool_rows(p,
			platform_transaction_body(
				POOL_TABLE, "", writes,
				lead_is_provisional(&p->lead) ? 1 : 2),
			on_renew_reply)
		->fence = p->lead.row.fence;
}

static void renew_leadership(struct pool *p)
{
	struct store *s = store_of(p);

	if (p->leading && !s->renewing && p->now >= s->renew_due)
		send_renewal(p);
}

void pool_store_confirm(struct pool *p)
{
	send_renewal(p);
}

void pool_store_unregister(struct pool *p)
{
	char key[RP_NAME_MAX + 8];

	snprintf(key, sizeof(key), "%s%s", VM_KEY_PREFIX, p->set.vm_name);
	store_of(p)->registered = 1;
	write_pool_rows(p, platform_remove_body(POOL_TABLE, key), NULL);
}

void pool_store_set_leading(struct pool *p, int leads)
{
	struct store *s = store_of(p);
	struct pool_watch *w = &s->watches[WATCH_TARGETS];

	/* The others learn of targets from the leader. */
	w->disabled = !leads;
	s->watches[WATCH_JOBS].disabled = 1;
	if (!leads)
		return;
	pool_watch_restart(w);
	w->backoff = 0;
	w->replied_at = p->now;
	pool_listing_clear_missing(p);
	s->renew_due = p->now;
	p->leadership_confirmed_at = p->now;
}

static void watch_init(struct pool *p, enum watch_kind kind, const char *table,
		       rp_ms poll_wait, rp_ms interval,
		       void (*on_row)(struct pool_watch *,
				      const struct platform_row *))
{
	struct pool_watch *w = &store_of(p)->watches[kind];

	w->p = p;
	w->table = table;
	w->poll_wait = poll_wait;
	w->interval = interval;
	w->on_row = on_row;
	w->replied_at = p->now;
}

int pool_store_init(struct pool *p)
{
	struct store *s = apr_pcalloc(p->pool, sizeof(*s));

	p->watches = s->watches;
	s->listed_rounds = hash_new(p->pool);
	p->listings = hash_new(p->pool);
	s->unreadable_rows = hash_new(p->pool);
	watch_init(p, WATCH_OPERATOR, PLATFORM_OPERATOR_TABLE, POLL_WAIT_MS, 0,
		   on_operator_row);
	watch_init(p, WATCH_POOL, POOL_TABLE, POLL_WAIT_MS, 0, on_pool_row);
	watch_init(p, WATCH_TARGETS, PLATFORM_TARGETS_TABLE, 0,
		   TARGETS_INTERVAL_MS, pool_listing_row);
	s->watches[WATCH_TARGETS].disabled = 1;
	watch_init(p, WATCH_JOBS, JOBS_TABLE, POLL_WAIT_MS, 0, pool_stored_row);
	s->watches[WATCH_JOBS].nparts = JOBS_PARTS;
	s->watches[WATCH_JOBS].disabled = 1;
	s->watches[WATCH_JOBS].on_complete = pool_stored_complete;
	s->watches[WATCH_OPERATOR].on_complete = pool_evacuations_complete;
	s->watches[WATCH_POOL].on_complete = on_pool_complete;
	s->watches[WATCH_TARGETS].on_complete = pool_listing_complete;
	s->watches[WATCH_TARGETS].on_regained = pool_listing_regained;
	return 0;
}

/* Covers all watches, as one call that hangs does not mean a lost store. */
static rp_ms last_reply_at(const struct store *s)
{
	rp_ms latest = 0;
	int i;

	for (i = 0; i < WATCHES; i++)
		if (s->watches[i].replied_at > latest)
			latest = s->watches[i].replied_at;
	return latest;
}

/*
 * Whether the latest call of each watch has failed. In a failure domain that is
 * cut off this shows sooner than the time without a reply.
 */
static int is_failing(const struct store *s)
{
	int i;

	for (i = 0; i < WATCHES; i++)
		if (!s->watches[i].disabled && !s->watches[i].lost)
			return 0;
	return 1;
}

void pool_store_tick(struct pool *p, rp_ms now)
{
	struct store *s = store_of(p);
	int i, lost;

	for (i = 0; i < WATCHES; i++)
		pool_watch_tick(&s->watches[i], now);
	if (p->evacuations_known)
		p->operator_version = s->watches[WATCH_OPERATOR].version;
	lost = now - last_reply_at(s) > STORE_TIMEOUT_MS;
	if (p->lead.store_lost && !lost)
		p->store_back_at = now;
	p->lead.store_lost = lost;
	p->lead.store_failing = is_failing(s);
	if (!p->stopping)
		register_vm(p);
	renew_leadership(p);
	if (p->leading)
		pool_listing_tick(p);
	if (p->leading && s->watches[WATCH_TARGETS].complete)
		pool_share_read_up_to(p, s->watches[WATCH_TARGETS].version);
}
