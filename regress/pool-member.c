/* Members of a leader, from the messages that they send. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

#include "pool.h"

static struct pool p;
static struct pool_link l;

static const struct sched_ops no_ops;

static void init_leader(void)
{
	apr_initialize();
	snprintf(p.set.vm_name, sizeof(p.set.vm_name), "vm0");
	p.leading = 1;
	p.now = 1000;
	p.lead.row.fence = LEAD_TOKEN(3);
	sched_init(&p.sched, &no_ops, &p, NULL, p.lead.row.fence, 1000, p.now);
	l.p = &p;
	l.inbound = 1;
}

static void finish_leader(void)
{
	while (p.members) {
		struct pool_member *m = p.members;

		p.members = m->next;
		free(m);
	}
	sched_finish(&p.sched);
	free(l.urgent.data);
	free(l.bulk.data);
}

TestSuite(pool_member, .init = init_leader, .fini = finish_leader);

static void receive_hello(uint64_t fence)
{
	PoolHello hello = POOL_HELLO__INIT;
	PoolFrame frame = POOL_FRAME__INIT;

	hello.vm = "vm1";
	hello.address = "127.0.0.1:1";
	hello.incarnation = 7;
	hello.processor = 250;
	hello.failure_domain = "z";
	hello.fence = fence;
	frame.body_case = POOL_FRAME__BODY_HELLO;
	frame.hello = &hello;
	pool_frame_received(&l, &frame);
}

Test(pool_member, a_vm_that_dials_this_leader_joins)
{
	receive_hello(LEAD_TOKEN(3));
	cr_assert_not_null(pool_find_member(&p, "vm1"));
	cr_assert_not_null(l.member);
}

/*
 * A link that was opened in an earlier term of this VM delivers its messages
 * late. Its jobs were submitted to another leader since.
 */
Test(pool_member, a_late_hello_of_an_earlier_term_is_refused)
{
	receive_hello(LEAD_TOKEN(1));
	cr_assert_null(pool_find_member(&p, "vm1"));
	cr_assert_null(l.member);
	/* The VM learns of the present term, in case it is not late. */
	cr_assert_gt(l.urgent.len, 0);
}
