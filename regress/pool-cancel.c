/*
 * Cancellations that an entry VM sends to the leader for jobs of its own. See
 * pool-cancelled.c for the others.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

#include "pool-request.h"

static struct pool owner;
static struct pool_link first, second;

static void init_owner(void)
{
	apr_initialize();
	apr_pool_create(&owner.pool, NULL);
	owner.requests = hash_new(owner.pool);
	owner.now = 1000;
	first.p = second.p = &owner;
	first.greeted = second.greeted = 1;
	owner.leader_link = &first;
}

static void finish_owner(void)
{
	free(first.bulk.data);
	free(second.bulk.data);
	apr_pool_destroy(owner.pool);
}

TestSuite(pool_cancel, .init = init_owner, .fini = finish_owner);

/* Cancels a job and replaces the link to the leader after ms. */
static void cancel_and_reconnect(rp_ms ms)
{
	pool_send_cancel(&owner, 5);
	cr_assert_gt(first.bulk.len, 0);
	owner.leader_link = &second;
	owner.now += ms;
	pool_requests_resubmit(&owner);
}

/*
 * Guards against a job that goes on though its caller was told that it is
 * cancelled: the link had gone silent, and only open jobs were submitted again.
 */
Test(pool_cancel, a_cancellation_is_sent_again_over_the_next_link)
{
	cancel_and_reconnect(400);
	cr_assert_eq(second.bulk.len, first.bulk.len);
	cr_assert_eq(memcmp(second.bulk.data, first.bulk.data, first.bulk.len),
		     0);
}

Test(pool_cancel, an_old_cancellation_is_not_sent_again)
{
	cancel_and_reconnect(5000);
	cr_assert_eq(second.bulk.len, 0);
}

/* The job was closed while there was no link. */
Test(pool_cancel, a_cancellation_without_a_link_is_sent_later)
{
	owner.leader_link = NULL;
	pool_send_cancel(&owner, 5);
	owner.leader_link = &second;
	pool_requests_resubmit(&owner);
	cr_assert_gt(second.bulk.len, 0);
}
