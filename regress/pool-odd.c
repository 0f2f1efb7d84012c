/* Rows of other writers in the tables that a VM follows. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#include "pool-keep.h"

#define ENTRY                                                                  \
	"{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\","       \
	"\"state\":\"ready\",\"capacity\":{\"cpu\":16000,\"taskMemoryMb\":"    \
	"32768},\"born\":1700000000123,\"sequence\":4}"
#define ODD_ENTRY "{\"service\":\"s\",\"address\":\"127.0.0.1:70000\"}"

static struct pool p;

static void begin(void)
{
	struct lead_row leader = { .fence = LEAD_TOKEN(1), .version = 1 };

	apr_initialize();
	apr_pool_create(&p.pool, NULL);
	snprintf(p.set.vm_name, sizeof(p.set.vm_name), "vm0");
	snprintf(p.set.link_address, sizeof(p.set.link_address), "127.0.0.1:1");
	snprintf(p.set.store_address, sizeof(p.set.store_address),
		 "127.0.0.1:1");
	snprintf(leader.vm, sizeof(leader.vm), "vm1");
	snprintf(p.set.order, sizeof(p.set.order), "priority");
	snprintf(p.set.admit, sizeof(p.set.admit), "priority");
	snprintf(p.set.place, sizeof(p.set.place), "slowest-on-time");
	snprintf(p.set.move, sizeof(p.set.move), "progress");
	snprintf(p.set.hopeless, sizeof(p.set.hopeless), "bound");
	snprintf(p.set.leave, sizeof(p.set.leave), "move");
	p.requests = hash_new(p.pool);
	p.set.remote_factor = 2;
	p.set.max_lease = 1000;
	p.set.entry_interval = 1500;
	p.incarnation = 7;
	p.now = 10000;
	pool_loop_init(&p);
	pool_calls_init(&p);
	pool_store_init(&p);
	pool_agent_init(&p);
	pool_lead_init(&p);
	lead_row_read(&p.lead, &leader, p.now);
}

TestSuite(pool_odd, .init = begin, .timeout = 20);

/* The leader before has just renewed, and the list had all its targets. */
static void take_over(void)
{
	struct lead_row own = { .fence = LEAD_TOKEN(2), .version = 9 };
	PoolBeat beat = POOL_BEAT__INIT;

	beat.fence = LEAD_TOKEN(1);
	beat.list_confirmed = 1;
	pool_listing_heartbeat_received(&p, &beat);
	lead_renewed(&p.lead, 5, p.now);
	p.now += 100;
	own.incarnation = p.incarnation;
	snprintf(own.vm, sizeof(own.vm), "vm0");
	lead_row_read(&p.lead, &own, p.now);
	cr_assert(p.leading);
}

static struct pool_watch *targets(void)
{
	return &store_of(&p)->watches[WATCH_TARGETS];
}

/* A row is read; value NULL: it was removed. */
static void row_read(const char *key, const char *value)
{
	static int64_t version = 100;
	struct platform_row row = { .value = (char *)value,
				    .len = value ? strlen(value) : 0,
				    .version = ++version };

	snprintf(row.key, sizeof(row.key), "%s", key);
	pool_listing_row(targets(), &row);
}

static void full_read_ends(void)
{
	targets()->complete = 1;
	pool_listing_complete(targets());
}

static void pass(rp_ms ms)
{
	p.now += ms;
	pool_listing_tick(&p);
}

static const struct sched_target *target(const char *id)
{
	return sched_find_target(&p.sched, id);
}

/*
 * The entry names no target any more. Until its target has written it again,
 * what the last good one said holds, as for an entry that is missing.
 */
Test(pool_odd, a_target_whose_entry_stays_malformed_is_unlisted)
{
	take_over();
	row_read("i-1", ENTRY);
	full_read_ends();
	row_read("i-1", ODD_ENTRY);
	pass(2000);
	cr_assert(target("i-1")->listed);
	cr_assert_str_eq(target("i-1")->listing.address, "127.0.0.1:9");
	pass(600);
	cr_assert_not(target("i-1")->listed);
	row_read("i-1", ENTRY);
	cr_assert(target("i-1")->listed);
	cr_assert(target("i-1")->listing.ready);
	pass(5000);
	cr_assert(target("i-1")->listed);
}

Test(pool_odd, a_target_that_repairs_its_entry_stays_listed)
{
	take_over();
	row_read("i-1", ENTRY);
	full_read_ends();
	row_read("i-1", ODD_ENTRY);
	pass(1500);
	row_read("i-1", ENTRY);
	pass(5000);
	cr_assert(target("i-1")->listed);
}

/*
 * The runs of the leader before on that target were not known, and its tasks
 * were started a second time.
 */
Test(pool_odd, a_new_leader_asks_the_target_of_a_malformed_entry)
{
	struct sched_listing l;
	char error[PLATFORM_ERROR_MAX];

	cr_assert_eq(platform_parse_listing(&l, "i-1", ENTRY, strlen(ENTRY),
					    error),
		     0);
	pool_share_listed(&p, &l, 50);
	pool_share_read_up_to(&p, 50);
	take_over();
	row_read("i-1", ODD_ENTRY);
	row_read("odd", ODD_ENTRY);
	full_read_ends();
	cr_assert_not_null(target("i-1"));
	cr_assert_null(target("odd"));
	cr_assert_eq(p.sched.prev_may_hold_unlisted, 0);
	pass(2600);
	cr_assert_not(target("i-1")->listed);
}

Test(pool_odd, a_leader_that_never_had_the_list_waits_for_the_leases)
{
	take_over();
	row_read("i-1", ODD_ENTRY);
	cr_assert_eq(p.sched.prev_may_hold_unlisted, 1);
}

/* Guards against memory that each read of such a row takes. */
Test(pool_odd, a_malformed_or_removed_row_of_no_target_is_not_kept)
{
	char key[100];

	memset(key, 'k', sizeof(key));
	key[sizeof(key) - 1] = '\0';
	take_over();
	row_read(key, ODD_ENTRY);
	row_read(key, ENTRY);
	row_read(key, NULL);
	row_read("i-2", ODD_ENTRY);
	row_read("i-2", NULL);
	cr_assert_eq(apr_hash_count(p.listings), 0);
	cr_assert_eq(p.sched.ntargets, 0);
}

/* --- rows of stored jobs ------------------------------------------------ */

#define JOB_ID "00000000000000a1"

/* Reads the row of an open job with n steps, each of so many tasks. */
static void job_row_read(const char *key, char *id, size_t n, uint32_t tasks,
			 double stretch)
{
	PoolJob job = POOL_JOB__INIT;
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps[1000];
	struct platform_row row = { .version = 20 };
	char value[65536];
	size_t i;

	for (i = 0; i < n; i++)
		steps[i] = &step;
	step.tasks = tasks;
	sub.id = id;
	sub.queue = "q";
	sub.service = "s";
	sub.stored = 1;
	sub.stretch = stretch;
	sub.steps = steps;
	sub.n_steps = n;
	job.submit = &sub;
	job.accepted_ms = UINT64_MAX / 2 + 1;
	row.value = value;
	row.len = pool_job__pack(&job, (uint8_t *)value);
	snprintf(row.key, sizeof(row.key), "%s", key);
	pool_stored_row(&store_of(&p)->watches[WATCH_JOBS], &row);
}

/*
 * Each leader that read such a row ended: the scheduler has room for 64 steps,
 * and takes the first one for granted.
 */
Test(pool_odd, a_malformed_stored_job_is_not_scheduled)
{
	char long_id[100];

	memset(long_id, 'a', sizeof(long_id));
	long_id[sizeof(long_id) - 1] = '\0';
	take_over();
	job_row_read(JOB_ID, JOB_ID, 0, 1, 1);
	job_row_read(JOB_ID, JOB_ID, 1000, 1, 1);
	job_row_read(JOB_ID, JOB_ID, 1, UINT32_MAX, 1);
	job_row_read(JOB_ID, JOB_ID, 64, UINT32_MAX, 1);
	job_row_read(JOB_ID, JOB_ID, 1, 0, 1);
	job_row_read(JOB_ID, JOB_ID, 1, 1, 1e300);
	job_row_read(JOB_ID, "00000000000000a2", 1, 1, 1);
	job_row_read(long_id, long_id, 1, 1, 1);
	cr_assert_eq(p.sched.njobs, 0);
	job_row_read(JOB_ID, JOB_ID, 1, 1, 1);
	cr_assert_eq(p.sched.njobs, 1);
}

/* --- rows of entry VMs -------------------------------------------------- */

static void vm_row_read(const char *key, PoolHello *hello)
{
	struct platform_row row = { .version = 30 };
	char value[1024];

	row.value = value;
	row.len = pool_hello__pack(hello, (uint8_t *)value);
	snprintf(row.key, sizeof(row.key), "%s", key);
	store_of(&p)->watches[WATCH_POOL].on_row(
		&store_of(&p)->watches[WATCH_POOL], &row);
}

/*
 * Such a VM is never linked. The leader took it for an owner of jobs that is
 * missing, and a VM counted it among those that have to answer a probe.
 */
Test(pool_odd, a_malformed_row_of_a_vm_names_no_vm)
{
	PoolHello hello = POOL_HELLO__INIT;
	char long_name[100];

	memset(long_name, 'v', sizeof(long_name));
	long_name[sizeof(long_name) - 1] = '\0';
	vm_row_read("vm/vm2", &hello);
	hello.vm = "vm2";
	vm_row_read("vm/vm2", &hello);
	hello.address = "127.0.0.1:70000";
	vm_row_read("vm/vm2", &hello);
	hello.address = "127.0.0.1:0";
	vm_row_read("vm/vm2", &hello);
	hello.address = "127.0.0.1:7";
	vm_row_read("vm/vm3", &hello);
	hello.vm = long_name;
	vm_row_read("vm/vm2", &hello);
	cr_assert_null(p.vms);
	cr_assert_eq(p.lead.nothers, 0);
	hello.vm = "vm2";
	hello.processor = UINT32_MAX;
	vm_row_read("vm/vm2", &hello);
	cr_assert_not_null(pool_find_vm(&p, "vm2"));
	/* The last good row holds, as the VM has not left. */
	hello.address = "";
	vm_row_read("vm/vm2", &hello);
	cr_assert_str_eq(pool_find_vm(&p, "vm2")->address, "127.0.0.1:7");
}
