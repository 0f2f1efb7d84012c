/* Frames between entry VMs: their order, and input that is no frame. */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pool.h"
#include "sched-int.h"

static struct pool p;
static int client = -1;

static void no_start(struct sched *s, struct sched_target *t,
		     struct sched_task *task, int64_t until)
{
	(void)s;
	(void)t;
	(void)task;
	(void)until;
}

static uint64_t no_answer(struct sched *s, struct sched_job *job,
			  const PoolAnswer *answer)
{
	(void)s;
	(void)job;
	(void)answer;
	return 0;
}

static const struct sched_ops ops = {
	.start = no_start,
	.answer = no_answer,
};

/* A leader with one accepted connection, whose other end is client. */
static void init_leader(void)
{
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);

	apr_initialize();
	snprintf(p.set.vm_name, sizeof(p.set.vm_name), "vm0");
	snprintf(p.set.link_address, sizeof(p.set.link_address), "127.0.0.1:0");
	p.leading = 1;
	p.now = 1000;
	p.lead.row.fence = LEAD_TOKEN(3);
	apr_pool_create(&p.pool, NULL);
	pool_loop_init(&p);
	pool_calls_init(&p);
	pool_agent_init(&p);
	sched_init(&p.sched, &ops, &p, NULL, p.lead.row.fence, 1000, p.now);
	cr_assert_eq(pool_links_init(&p), 0);
	getsockname(p.listener.fd, (struct sockaddr *)&sa, &len);
	client = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert_eq(connect(client, (struct sockaddr *)&sa, len), 0);
	p.listener.on_event(&p.listener, EPOLLIN);
	cr_assert_not_null(p.links);
}

static void finish_leader(void)
{
	if (p.links)
		pool_link_close(p.links, "test");
	pool_links_flush(&p);
	while (p.ndeferred)
		free(p.deferred[--p.ndeferred]);
	free(p.deferred);
	while (p.members) {
		struct pool_member *m = p.members;

		p.members = m->next;
		free(m);
	}
	pool_vms_read(&p);
	close(p.listener.fd);
	close(client);
	sched_finish(&p.sched);
	curl_multi_cleanup(p.curl);
	apr_pool_destroy(p.pool);
}

TestSuite(pool_link, .init = init_leader, .fini = finish_leader, .timeout = 60);

static void receive(const void *data, size_t n)
{
	struct pool_link *l = p.links;

	cr_assert_eq(write(client, data, n), (ssize_t)n);
	if (!l->closed)
		l->fd.on_event(&l->fd, EPOLLIN);
}

/* Packs a frame with its length. Returns the bytes. */
static size_t pack(const PoolFrame *frame, uint8_t *to)
{
	size_t n = pool_frame__get_packed_size(frame), i = 0, left;

	for (left = n; left >= 128; left >>= 7)
		to[i++] = (uint8_t)(left | 128);
	to[i++] = (uint8_t)left;
	return i + pool_frame__pack(frame, to + i);
}

static void receive_frame(const PoolFrame *frame)
{
	uint8_t packed[8192];

	receive(packed, pack(frame, packed));
}

static void join(void)
{
	PoolHello hello = POOL_HELLO__INIT;
	PoolFrame frame = POOL_FRAME__INIT;

	hello.vm = "vm1";
	hello.address = "127.0.0.1:1";
	hello.incarnation = 7;
	hello.processor = 250;
	hello.failure_domain = "z";
	hello.fence = LEAD_TOKEN(3);
	frame.body_case = POOL_FRAME__BODY_HELLO;
	frame.hello = &hello;
	receive_frame(&frame);
	cr_assert_not_null(p.links->member);
}

/*
 * Heartbeats waited behind megabytes of other frames on a slow link. The
 * silence was taken for the loss of the leader.
 */
Test(pool_link, a_heartbeat_does_not_wait_for_bulk)
{
	static char text[1000];
	PoolAnswer answer = POOL_ANSWER__INIT;
	PoolFrame frame = POOL_FRAME__INIT;
	struct pool_link *l = p.links;
	int i;

	memset(text, 'x', sizeof(text) - 1);
	answer.reason = text;
	frame.body_case = POOL_FRAME__BODY_ANSWER;
	frame.answer = &answer;
	for (i = 0; i < 8000 && !l->closed; i++)
		pool_link_send(l, &frame);
	pool_links_flush(&p);
	cr_assert_gt(l->bulk.len, 0, "the socket took everything");
	pool_send_heartbeat(&p, l);
	p.now += 10;
	/* The reader takes some: the heartbeat is the next to be written. */
	for (i = 0; l->urgent.len && i < 100; i++) {
		char buf[65536];

		cr_assert_gt(read(client, buf, sizeof(buf)), 0);
		l->fd.on_event(&l->fd, EPOLLOUT);
	}
	cr_assert_eq(l->urgent.len, 0);
	cr_assert_gt(l->bulk.len, 0);
}

/* Frames of one moment share a packet. */
Test(pool_link, frames_are_written_together_under_load)
{
	PoolAnswer answer = POOL_ANSWER__INIT;
	PoolFrame frame = POOL_FRAME__INIT;
	struct pool_link *l = p.links;

	frame.body_case = POOL_FRAME__BODY_ANSWER;
	frame.answer = &answer;
	pool_link_send(l, &frame);
	pool_links_flush(&p);
	cr_assert_eq(l->bulk.len, 0, "the first frame does not wait");
	pool_link_send(l, &frame);
	pool_links_flush(&p);
	cr_assert_gt(l->bulk.len, 0);
	cr_assert_gt(pool_links_timeout(&p), 0);
	p.now += pool_links_timeout(&p);
	pool_links_flush(&p);
	cr_assert_eq(l->bulk.len, 0);
}

/* A submission without steps ended the leader's process. */
Test(pool_link, a_submission_that_makes_no_sense_closes_the_link)
{
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolFrame frame = POOL_FRAME__INIT;

	join();
	sub.id = "0123456789abcdef";
	sub.queue = "q";
	sub.service = "s";
	frame.body_case = POOL_FRAME__BODY_SUBMIT;
	frame.submit = &sub;
	receive_frame(&frame);
	cr_assert(p.links->closed);
	cr_assert_eq(p.sched.njobs, 0);
}

/*
 * The operator's table allows names of this length. Such a queue must not cost
 * a VM its link.
 */
Test(pool_link, a_long_queue_name_is_valid)
{
	char name[RP_NAME_MAX * 2];
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps[] = { &step };

	memset(name, 'q', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	sub.id = "0123456789abcdef";
	sub.queue = name;
	sub.service = "s";
	sub.stretch = -1;
	step.tasks = 1;
	sub.steps = steps;
	sub.n_steps = 1;
	cr_assert(sched_submit_is_valid(&sub));
	/* And it is one queue, not a new one for each job. */
	cr_assert_eq(sched_get_queue(&p.sched, name, 1),
		     sched_get_queue(&p.sched, name, 1));
}

/* Guards against a list without a bound, which each start looks through. */
Test(pool_link, failure_domains_of_a_submission_are_bounded)
{
	char name[RP_NAME_MAX + 1];
	char *domains[SCHED_DOMAINS_MAX + 1];
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps[] = { &step };
	size_t i;

	for (i = 0; i <= SCHED_DOMAINS_MAX; i++)
		domains[i] = "a";
	sub.id = "0123456789abcdef";
	sub.queue = sub.service = "s";
	step.tasks = 1;
	sub.steps = steps;
	sub.n_steps = 1;
	sub.domains = domains;
	sub.n_domains = SCHED_DOMAINS_MAX;
	cr_assert(sched_submit_is_valid(&sub));
	sub.n_domains++;
	cr_assert_not(sched_submit_is_valid(&sub));
	memset(name, 'a', RP_NAME_MAX);
	name[RP_NAME_MAX] = '\0';
	domains[0] = name;
	sub.n_domains = 1;
	cr_assert_not(sched_submit_is_valid(&sub));
}

/* A frame that the other side would not take wrote beyond the buffer. */
Test(pool_link, a_frame_that_is_too_long_is_not_sent)
{
	size_t n = 3u << 20;
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolFrame frame = POOL_FRAME__INIT;

	sub.specification.data = calloc(1, n);
	sub.specification.len = n;
	frame.body_case = POOL_FRAME__BODY_SUBMIT;
	frame.submit = &sub;
	pool_link_send(p.links, &frame);
	cr_assert_eq(p.links->bulk.len, 0);
	cr_assert(p.links->closed);
	free(sub.specification.data);
}

/* A follower answers callers' questions for the number of waiting jobs. */
Test(pool_link, a_queue_that_is_empty_again_is_told_with_the_next_heartbeat)
{
	struct sched_queue *q = sched_get_queue(&p.sched, "q", 1);
	struct pool_link *l = p.links;
	size_t full;

	join();
	q->nwaiting = 1;
	p.now += LEAD_HEARTBEAT_MS;
	pool_send_heartbeats(&p);
	l->urgent.len = 0;
	q->nwaiting = 0;
	p.now += LEAD_HEARTBEAT_MS;
	pool_send_heartbeats(&p);
	full = l->urgent.len;
	l->urgent.len = 0;
	p.now += LEAD_HEARTBEAT_MS;
	pool_send_heartbeats(&p);
	cr_assert_gt(full, l->urgent.len, "the second heartbeat was brief");
}

Test(pool_link, a_frame_that_is_too_long_closes_the_link)
{
	receive("\xff\xff\xff\xff\xff", 5);
	cr_assert(p.links->closed);
}

static uint64_t state = 88172645463325252u;

static unsigned draw(unsigned n)
{
	state ^= state << 13;
	state ^= state >> 7;
	state ^= state << 17;
	return (unsigned)(state >> 33) % n;
}

/* A frame of a random kind. Returns its bytes. */
static size_t draw_frame(uint8_t *packed)
{
	PoolFrame frame = POOL_FRAME__INIT;
	PoolSubmit sub = POOL_SUBMIT__INIT;
	PoolStep step = POOL_STEP__INIT, *steps[] = { &step };
	PoolCancel cancel = POOL_CANCEL__INIT;
	PoolHeard heard = POOL_HEARD__INIT;
	PoolReply reply = POOL_REPLY__INIT;
	PoolBeat beat = POOL_BEAT__INIT;
	uint32_t done[] = { draw(9), draw(9) };

	switch (draw(5)) {
	case 0:
		sub.seq = draw(5);
		sub.id = "0123456789abcdef";
		sub.queue = "q";
		sub.service = "s";
		sub.left_ms = draw(2000);
		sub.stretch = draw(5) - 1.0;
		sub.done = done;
		sub.n_done = draw(3);
		step.tasks = draw(5);
		step.cpu = 1000;
		step.after = draw(4);
		sub.steps = steps;
		sub.n_steps = draw(2);
		frame.body_case = POOL_FRAME__BODY_SUBMIT;
		frame.submit = &sub;
		break;
	case 1:
		cancel.seq = draw(5);
		frame.body_case = POOL_FRAME__BODY_CANCEL;
		frame.cancel = &cancel;
		break;
	case 2:
		heard.mark = draw(9);
		frame.body_case = POOL_FRAME__BODY_HEARD;
		frame.heard = &heard;
		break;
	case 3:
		reply.seq = draw(5);
		reply.status = draw(9);
		reply.target = draw(3);
		frame.body_case = POOL_FRAME__BODY_REPLY;
		frame.reply = &reply;
		break;
	default:
		beat.brief = (int)draw(2);
		beat.fence = draw(9);
		frame.body_case = POOL_FRAME__BODY_BEAT;
		frame.beat = &beat;
	}
	return pack(&frame, packed);
}

/* Any bytes from a member close its link at most. */
Test(pool_link, random_frames_end_no_process)
{
	int i;

	for (i = 0; i < 20000; i++) {
		uint8_t packed[4096];
		size_t n = draw_frame(packed), j;

		for (j = draw(3); j > 0; j--)
			packed[draw((unsigned)n)] = (uint8_t)draw(256);
		if (!p.links || p.links->closed) {
			finish_leader();
			memset(&p, 0, sizeof(p));
			init_leader();
		}
		if (!p.links->member)
			join();
		receive(packed, n);
		if (draw(50) == 0)
			sched_tick(&p.sched, p.now += 20);
	}
}

/*
 * A VM that was frozen closes its link to the leader, as the leader has given
 * it up. Guards against answers that have arrived before, and are dropped with
 * the link while their callers wait; starts that came with them are too late.
 */
Test(pool_link, answers_that_came_during_a_pause_are_delivered)
{
	PoolFrame frame = POOL_FRAME__INIT;
	PoolAnswer answer = POOL_ANSWER__INIT;
	PoolStart start = POOL_START__INIT;
	uint8_t packed[8192];
	size_t n;

	p.leading = 0;
	p.requests = hash_new(p.pool);
	p.leader_link = p.links;
	start.fence = 77;
	frame.body_case = POOL_FRAME__BODY_START;
	frame.start = &start;
	n = pack(&frame, packed);
	cr_assert_eq(write(client, packed, n), (ssize_t)n);
	answer.seq = 1;
	answer.reason = "";
	answer.mark = 5;
	frame.body_case = POOL_FRAME__BODY_ANSWER;
	frame.answer = &answer;
	n = pack(&frame, packed);
	cr_assert_eq(write(client, packed, n), (ssize_t)n);
	pool_handle_pause(&p, 2600);
	cr_assert_eq(p.received_mark, 5);
	cr_assert_eq(p.start_fence, 0);
	cr_assert_null(p.leader_link);
	p.leading = 1;
}
