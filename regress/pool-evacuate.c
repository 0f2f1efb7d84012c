/* What a VM knows of evacuated failure domains, from the store and others. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#include "pool-store.h"

static struct pool p;
static struct store store;
static struct pool_watch *w;

static void begin(void)
{
	apr_initialize();
	apr_pool_create(&p.pool, NULL);
	store.unreadable_rows = hash_new(p.pool);
	p.watches = store.watches;
	w = &store.watches[WATCH_OPERATOR];
	w->p = &p;
	w->round = 1;
}

TestSuite(pool_evacuate, .init = begin);

static void read_row(const char *failure_domain, char *value, int64_t version)
{
	struct platform_row row = { .value = value,
				    .len = value ? strlen(value) : 0,
				    .version = version };

	snprintf(row.key, sizeof(row.key), "%s%s", PLATFORM_EVACUATION_PREFIX,
		 failure_domain);
	pool_evacuation_row(w, &row);
}

static void complete(int64_t version)
{
	w->first_version = version;
	pool_evacuations_complete(w);
	w->version = p.operator_version = version;
}

static void hear(char *failure_domain, int active, int64_t version)
{
	PoolBeat beat = POOL_BEAT__INIT;
	PoolEvacuation e = POOL_EVACUATION__INIT, *list = &e;

	e.failure_domain = failure_domain;
	e.active = active;
	e.version = version;
	beat.vm = "vm9";
	beat.evacuations = &list;
	beat.n_evacuations = 1;
	pool_evacuations_received(&p, &beat);
}

/* Guards against a request that is missed because its row was read late. */
Test(pool_evacuate, a_row_is_a_request_and_its_removal_ends_it)
{
	read_row("d0", "{}", 5);
	cr_assert_eq(pool_evacuations_active(&p), 1);
	complete(6);
	cr_assert_eq(pool_evacuations_active(&p), 1);
	read_row("d0", NULL, 7);
	cr_assert_eq(pool_evacuations_active(&p), 0);
	read_row("d0", "{}", 8);
	cr_assert_eq(pool_evacuations_active(&p), 1);
}

/* The store has forgotten its history, and with it the removal. */
Test(pool_evacuate, a_full_read_without_the_row_ends_the_request)
{
	read_row("d0", "{}", 5);
	read_row("d1", "{}", 6);
	complete(6);
	w->round++;
	read_row("d1", "{}", 6);
	complete(12);
	cr_assert_eq(pool_evacuations_active(&p), 1);
	read_row("d0", "{}", 13);
	cr_assert_eq(pool_evacuations_active(&p), 2);
}

/* Guards against news of another VM that undo newer ones. */
Test(pool_evacuate, older_news_do_not_count)
{
	hear("d0", 1, 9);
	cr_assert_eq(pool_evacuations_active(&p), 1);
	hear("d0", 0, 8);
	cr_assert_eq(pool_evacuations_active(&p), 1);
	hear("d0", 0, 10);
	cr_assert_eq(pool_evacuations_active(&p), 0);
	read_row("d0", "{}", 9);
	cr_assert_eq(pool_evacuations_active(&p), 0);
}

/*
 * A request that ended before this VM first read the table is still known to a
 * VM without the store, and must not come back from there.
 */
Test(pool_evacuate, a_request_that_has_ended_does_not_come_back)
{
	complete(20);
	hear("d0", 1, 15);
	cr_assert_eq(pool_evacuations_active(&p), 0);
	hear("d0", 1, 21);
	cr_assert_eq(pool_evacuations_active(&p), 1);
}

/* Guards against rows of other writers. */
Test(pool_evacuate, malformed_rows_have_a_safe_effect)
{
	char name[RP_NAME_MAX * 2 - 16];

	memset(name, 'x', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	read_row("", "{}", 5);
	read_row(name, "{}", 6);
	cr_assert_eq(pool_evacuations_active(&p), 0);
	read_row("d0", "\x01 not JSON", 7);
	cr_assert_eq(pool_evacuations_active(&p), 1);
}

/* Guards against memory that grows with the operator's requests. */
Test(pool_evacuate, the_number_of_domains_is_bounded)
{
	PoolEvacuation list[POOL_EVACUATIONS_MAX];
	char name[16];
	int i;

	for (i = 0; i < 3 * POOL_EVACUATIONS_MAX; i++) {
		snprintf(name, sizeof(name), "d%d", i);
		read_row(name, "{}", 2 * i + 1);
		read_row(name, NULL, 2 * i + 2);
	}
	cr_assert_eq(pool_evacuations_list(&p, list, POOL_EVACUATIONS_MAX),
		     POOL_EVACUATIONS_MAX);
	read_row("last", "{}", 1000);
	cr_assert_eq(pool_evacuations_active(&p), 1);
}
