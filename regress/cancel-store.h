/*
 * A leader and the rows of one part of the store, for tests of cancellations.
 * The test decides when the store carries out a call, and whether it replies.
 */

#include <criterion/criterion.h>

#include <apr_base64.h>
#include <apr_general.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "pool-keep.h"
#include "sched-int.h"

#define ID "0123456789abcdef"

static struct pool leader;
static struct pool_link to_other;
static struct pool_member members[2] = {
	{ .vm = "owner" },
	{ .vm = "other", .link = &to_other },
};
static PoolAnswer__Outcome answered;
static int nanswers;

/* The row of ID, and the marker. */
static struct {
	int64_t version, row_version, marker_version; /* 0: there is none */
	uint8_t row[512];
	size_t len;
} rows;

static uint64_t on_answer(struct sched *s, struct sched_job *job,
			  const PoolAnswer *answer)
{
	(void)s;
	(void)job;
	answered = answer->outcome;
	nanswers++;
	return 0;
}

static void ignore_log(struct sched *s, const char *event,
		       const struct sched_target *t,
		       const struct sched_task *task, const char *reason)
{
	(void)s;
	(void)event;
	(void)t;
	(void)task;
	(void)reason;
}

static const struct sched_ops ops = { .answer = on_answer, .log = ignore_log };

static struct pool_watch *jobs_watch(void)
{
	return &store_of(&leader)->watches[WATCH_JOBS];
}

/* A term begins; the table is read with the next feed(). */
static void begin_term(void)
{
	static const struct sched_policies all = { .admit = "all" };
	int i;

	/* The VMs join anew. */
	members[0].nanswers = members[1].nanswers = 0;
	leader.lead.row.fence += LEAD_TOKEN(1);
	sched_init(&leader.sched, &ops, &leader, &all, leader.lead.row.fence,
		   1000, leader.now);
	leader.sched.budget = &leader.budget;
	leader.leading = 1;
	pool_stored_begin(&leader);
	rows.marker_version = ++rows.version;
	for (i = 0; i < JOBS_PARTS; i++)
		leader.stored_jobs->parts[i].marker_version =
			rows.marker_version;
	jobs_watch()->complete = 0;
}

static void end_term(void)
{
	struct pool_call *c;

	for (c = leader.calls; c; c = c->next)
		c->on_done = NULL;
	pool_stored_end(&leader);
	sched_finish(&leader.sched);
	leader.leading = 0;
}

static void init_leader(void)
{
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	apr_pool_create(&leader.pool, NULL);
	str_copy(leader.set.store_address, sizeof(leader.set.store_address),
		 str_of("127.0.0.1:1"));
	leader.set.ended_retention = 120000;
	leader.now = 100000;
	leader.requests = hash_new(leader.pool);
	pool_loop_init(&leader);
	pool_calls_init(&leader);
	pool_store_init(&leader);
	leader.has_stored_jobs = -1;
	leader.lead.role = LEAD_LEADING;
	to_other.p = &leader;
	members[0].next = &members[1];
	leader.members = members;
	begin_term();
}

static void finish_leader(void)
{
	struct pool_link *l;

	end_term();
	for (l = leader.links; l; l = l->next)
		pool_link_close(l, "");
	pool_links_flush(&leader);
	while (leader.ndeferred)
		free(leader.deferred[--leader.ndeferred]);
	free(leader.deferred);
	while (leader.calls)
		pool_call_end(leader.calls, 0, NULL, 0);
	while (leader.nidle_handles)
		curl_easy_cleanup(leader.idle_handles[--leader.nidle_handles]);
	curl_multi_cleanup(leader.curl);
	free(to_other.bulk.data);
	memset(&to_other, 0, sizeof(to_other));
	apr_pool_destroy(leader.pool);
	memset(&leader, 0, sizeof(leader));
	memset(&rows, 0, sizeof(rows));
}

/* --- the store ---------------------------------------------------------- */

static int64_t *version_of(const char *key)
{
	return !strcmp(key, STORED_MARKER_KEY) ? &rows.marker_version
					       : &rows.row_version;
}

static int conditions_hold(json_t *root)
{
	json_t *o;
	size_t i;

	json_array_foreach(json_object_get(root, "expectedRevision"), i, o)
	{
		const char *key = json_string_value(json_object_get(o, "key"));

		if (*version_of(key) !=
		    json_integer_value(json_object_get(o, "recordVersion")))
			return 0;
	}
	return 1;
}

static void commit(json_t *root)
{
	json_t *o;
	size_t i;

	rows.version++;
	json_array_foreach(json_object_get(root, "writes"), i, o)
	{
		const char *value = json_string_value(json_object_get(o, "valu"
									 "e"));

		rows.len = (size_t)apr_base64_decode((char *)rows.row, value);
		rows.row_version = rows.version;
	}
	if (json_array_size(json_object_get(root, "remove")))
		rows.row_version = 0;
}

/* The body of a reply, with the row if there is one. */
static char *reply_body(void)
{
	json_t *list = json_array();
	char base64[1024], *body;
	json_t *root;

	apr_base64_encode(base64, (char *)rows.row, (int)rows.len);
	if (rows.row_version)
		json_array_append_new(list, json_pack("{s:s,s:s,s:I}", "key",
						      ID, "value", base64,
						      "recordVersion",
						      rows.row_version));
	root = json_pack("{s:o,s:I,s:I}", "rows", list, "recordVersion",
			 rows.version, "nowMs", leader.now);
	body = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return body;
}

/* The leader's transaction that is in flight, or NULL. */
static struct pool_call *transaction(void)
{
	struct pool_call *c;

	for (c = leader.calls; c; c = c->next)
		if (c->on_done && c->request)
			return c;
	return NULL;
}

/*
 * Has the leader write what is due, and the store carry out the transaction.
 * replies: the reply arrives. Returns whether there was one.
 */
static int transact(int replies)
{
	struct pool_call *c;
	json_t *root;
	char *body;
	int hold;

	leader.now += 400;
	leader.leadership_confirmed_at = leader.now;
	pool_stored_tick(&leader, leader.now);
	c = transaction();
	if (!c)
		return 0;
	root = json_loads(c->request, 0, NULL);
	hold = conditions_hold(root);
	if (hold)
		commit(root);
	json_decref(root);
	body = reply_body();
	pool_call_end(c, replies ? (hold ? 200 : 412) : 0, body,
		      replies ? strlen(body) : 0);
	free(body);
	pool_cancel_queries_flush(&leader);
	return 1;
}

/* The leader gets the rows that have changed, or reads all. */
static void feed(void)
{
	struct platform_row row = { .key = ID, .version = rows.row_version };

	row.len = rows.len;
	row.value = (char *)rows.row;
	if (rows.row_version)
		pool_stored_row(jobs_watch(), &row);
	if (!jobs_watch()->complete) {
		jobs_watch()->complete = 1;
		pool_stored_complete(jobs_watch());
	}
	pool_cancel_queries_flush(&leader);
}

/* A submission, as an entry VM packs it. */
static void init_submit(PoolSubmit *sub, PoolStep **steps, int stored)
{
	pool_submit__init(sub);
	pool_step__init(*steps);
	(*steps)->tasks = 1;
	sub->seq = 4;
	sub->id = ID;
	sub->queue = sub->service = "q";
	sub->stored = stored;
	sub->left_ms = 60000;
	sub->steps = steps;
	sub->n_steps = 1;
}

/* The store makes the write of a submission if there is no row. */
static int write_submission(void)
{
	PoolJob job = POOL_JOB__INIT;
	PoolSubmit sub;
	PoolStep step, *steps = &step;

	if (rows.row_version)
		return 0;
	init_submit(&sub, &steps, 1);
	job.submit = &sub;
	job.accepted_ms = 7;
	rows.len = pool_job__pack(&job, rows.row);
	rows.row_version = ++rows.version;
	return 1;
}

/* The owner submits a job that is not stored. */
static void submit_unstored(const char *id)
{
	PoolSubmit sub;
	PoolStep step, *steps = &step;

	init_submit(&sub, &steps, 0);
	sub.id = (char *)id;
	pool_schedule_job(&leader, &members[0], &sub);
}

/* Returns the row of the store, or NULL. */
static PoolJob *stored_row(void)
{
	return rows.row_version ? pool_job__unpack(NULL, rows.len, rows.row)
				: NULL;
}

/* --- an entry VM -------------------------------------------------------- */

static void query_cancel(const char *id, int submitted)
{
	static uint64_t seq;
	PoolStateQuery query = POOL_STATE_QUERY__INIT;

	query.seq = ++seq;
	query.id = (char *)id;
	query.cancel = 1;
	query.submitted = submitted;
	pool_state_query_received(&leader, &members[1], &query);
	pool_cancel_queries_flush(&leader);
}

/* Returns the latest reply that has come, or NULL. */
static PoolFrame *take_reply(void)
{
	const uint8_t *at = (uint8_t *)to_other.bulk.data;
	size_t i, left = to_other.bulk.len;
	PoolFrame *frame = NULL;

	while (left) {
		size_t len = 0;

		for (i = 0; at[i] & 0x80; i++)
			len |= (size_t)(at[i] & 0x7f) << (7 * i);
		len |= (size_t)at[i] << (7 * i);
		pool_frame__free_unpacked(frame, NULL);
		frame = pool_frame__unpack(NULL, len, at + i + 1);
		at += i + 1 + len;
		left -= i + 1 + len;
	}
	to_other.bulk.len = 0;
	return frame;
}
