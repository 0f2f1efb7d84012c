#ifndef REGRESS_MANY_H
#define REGRESS_MANY_H

/* Several kernels in logical time that share one fake platform. */

#include "fake-table.h"
#include "kernel.h"

#define MANY_NODES_MAX 40

/* A call's answer, or the outcome of an edit or draft. */
struct many_reply {
	rp_token token;
	int node;
	int is_edit;
	rp_ms received_at;
	struct rp_status status;
	/* The next three fields are set for an answer. */
	enum rp_state state;
	int may_have_run;
	size_t nresults;
	/* The next three fields are set for an edit. */
	int64_t version;
	size_t nconflicts;
	struct rp_cell conflict; /* the first conflicting cell */
};

/* A task send that a node's kernel asked for. */
struct many_start {
	int node;
	uint64_t start_id;
	char task_id[RP_KEY_MAX + 32];
	char key[RP_KEY_MAX];
	size_t task;
	uint64_t incarnation;
};

/* A message in flight between two nodes. */
struct many_message {
	int from, to;
	rp_ms deliver_at;
	struct rp_blob *data;
	struct many_message *next;
};

struct many {
	int n;		 /* number of nodes */
	int partitioned; /* messages between nodes are lost */
	struct many_message *messages;
	struct rp_kernel *k[MANY_NODES_MAX]; /* NULL: not running */
	struct rp_options opt[MANY_NODES_MAX];
	struct rp_vm vms[MANY_NODES_MAX + 1]; /* the target, then the nodes */
	struct fake_platform platform;
	rp_ms now;
	struct many_reply *replies;
	size_t nreplies, cap_replies;
	struct many_start *starts;
	size_t nstarts, cap_starts;
};

static inline void many_event(struct many *m, int node,
			      const struct rp_event *ev);

static inline void many_platform_reply(void *ctx, int node,
				       const struct rp_event *ev)
{
	many_event(ctx, node, ev);
}

static inline struct many_reply *many_reply_add(struct many *m, int node,
						const struct rp_action *a)
{
	struct many_reply *r;

	if (m->nreplies == m->cap_replies) {
		m->cap_replies = m->cap_replies ? 2 * m->cap_replies : 64;
		m->replies = realloc(m->replies, m->cap_replies * sizeof(*r));
	}
	r = &m->replies[m->nreplies++];
	memset(r, 0, sizeof(*r));
	r->token = a->token;
	r->node = node;
	r->received_at = m->now;
	return r;
}

static inline void many_start_add(struct many *m, int node,
				  const struct rp_action *a)
{
	struct many_start *s;

	if (m->nstarts == m->cap_starts) {
		m->cap_starts = m->cap_starts ? 2 * m->cap_starts : 64;
		m->starts = realloc(m->starts, m->cap_starts * sizeof(*s));
	}
	s = &m->starts[m->nstarts++];
	memset(s, 0, sizeof(*s));
	s->node = node;
	s->start_id = a->start.start_id;
	memcpy(s->task_id, a->start.task_id, sizeof(s->task_id));
	str_copy(s->key, sizeof(s->key), a->start.sub->key);
	s->task = a->start.task;
	s->incarnation = m->opt[node].incarnation;
}

/* Queues a message between nodes for delivery. */
static inline void many_queue_message(struct many *m, int node,
				      struct rp_action *a)
{
	struct many_message *msg, **at = &m->messages;

	if (m->partitioned)
		return;
	msg = calloc(1, sizeof(*msg));
	msg->from = node;
	msg->to = atoi(a->peer.name + strlen("entry-"));
	msg->deliver_at = m->now + 1;
	msg->data = rp_blob_ref(a->peer.data);
	while (*at)
		at = &(*at)->next;
	*at = msg;
}

/* Delivers the messages that are due. */
static inline void many_deliver_messages(struct many *m)
{
	struct rp_event ev = { .type = RP_EVENT_PEER_MESSAGE };
	struct many_message *msg;

	while ((msg = m->messages) && msg->deliver_at <= m->now) {
		m->messages = msg->next;
		ev.peer.data = msg->data->data;
		ev.peer.len = msg->data->len;
		if (!m->partitioned)
			many_event(m, msg->to, &ev);
		rp_blob_unref(msg->data);
		free(msg);
	}
}

/* Performs the actions of a node's kernel. */
static inline void many_perform(struct many *m, int node,
				struct rp_actions *acts)
{
	struct many_reply *r;
	size_t i;

	for (i = 0; i < acts->len; i++) {
		struct rp_action *a = &acts->list[i];

		switch (a->type) {
		case RP_ACTION_PLATFORM:
			fake_add_call(&m->platform, m->now, node, a);
			break;
		case RP_ACTION_EDITED:
			r = many_reply_add(m, node, a);
			r->is_edit = 1;
			r->status = a->edited.status;
			r->version = a->edited.version;
			r->nconflicts = a->edited.nconflicts;
			if (r->nconflicts)
				r->conflict = a->edited.conflicts[0];
			break;
		case RP_ACTION_ANSWER:
			r = many_reply_add(m, node, a);
			r->status = a->answer.answer->status;
			r->state = a->answer.answer->state;
			r->may_have_run = a->answer.answer->may_have_run;
			r->nresults = a->answer.answer->nresults;
			break;
		case RP_ACTION_PEER:
			many_queue_message(m, node, a);
			break;
		case RP_ACTION_START:
			many_start_add(m, node, a);
			break;
		default:
			break;
		}
	}
}

static inline void many_event(struct many *m, int node,
			      const struct rp_event *ev)
{
	struct rp_actions acts;

	if (!m->k[node])
		return;
	rp_actions_init(&acts);
	rp_kernel_event(m->k[node], m->now, ev, &acts);
	many_perform(m, node, &acts);
	rp_actions_finish(&acts);
}

/* Starts a node's kernel as a new incarnation. */
static inline void many_start_kernel(struct many *m, int node,
				     uint64_t incarnation)
{
	struct rp_options *opt = &m->opt[node];
	struct rp_status st;

	opt->incarnation = incarnation;
	m->k[node] = calloc(1, rp_kernel_size());
	if (rp_kernel_init(m->k[node], opt, m->now, &st) != RP_OK)
		abort();
}

/* Ends a node's kernel at once. */
static inline void many_kill(struct many *m, int node)
{
	struct fake_call *c;

	/* Its platform calls may still take effect; it gets no answers. */
	for (c = m->platform.calls; c; c = c->next)
		if (c->node == node)
			c->answer_at = -1;
	rp_kernel_finish(m->k[node]);
	free(m->k[node]);
	m->k[node] = NULL;
}

/* Starts n nodes named entry-0 and on, with one target of a service "desk". */
static inline void many_init(struct many *m, int n, uint64_t seed)
{
	struct rp_vm *vm = &m->vms[0];
	int i;

	memset(m, 0, sizeof(*m));
	m->n = n;
	m->platform.random = seed;
	m->platform.delay = 2;
	vm->kind = RP_VM_TARGET;
	strcpy(vm->name, "target-0");
	strcpy(vm->address, "127.0.0.1:9000");
	strcpy(vm->service, "desk");
	vm->slots = 1000;
	for (i = 0; i < n; i++) {
		vm = &m->vms[1 + i];
		vm->kind = RP_VM_ENTRY;
		snprintf(vm->name, RP_NAME_MAX, "entry-%d", i);
		snprintf(vm->address, RP_ADDRESS_MAX, "127.0.1.%d:9000", i);
		snprintf(vm->failure_domain, RP_NAME_MAX, "domain-%d", i % 4);
	}
	for (i = 0; i < n; i++) {
		struct rp_options *opt = &m->opt[i];

		rp_options_init(opt);
		snprintf(opt->vm_name, RP_NAME_MAX, "entry-%d", i);
		opt->seed = seed + 1000 + (uint64_t)i;
		opt->list_poll = 0;
		opt->trace_events = 64;
		str_copy(opt->address, RP_ADDRESS_MAX,
			 str_of(m->vms[1 + i].address));
		str_copy(opt->failure_domain, RP_NAME_MAX,
			 str_of(m->vms[1 + i].failure_domain));
		opt->nseeds = 1 + (size_t)n;
		opt->seeds = m->vms;
		opt->wall_offset = 1000000;
		many_start_kernel(m, i, 1);
	}
}

static inline void many_finish(struct many *m)
{
	int i;

	while (m->messages) {
		struct many_message *msg = m->messages;

		m->messages = msg->next;
		rp_blob_unref(msg->data);
		free(msg);
	}
	for (i = 0; i < m->n; i++)
		if (m->k[i])
			many_kill(m, i);
	fake_finish(&m->platform);
	free(m->replies);
	free(m->starts);
}

/* Advances the time by the span, with a tick every RP_TICK_MS. */
static inline void many_run(struct many *m, rp_ms span)
{
	struct rp_event tick = { .type = RP_EVENT_TICK };
	rp_ms end = m->now + span;
	int i;

	while (m->now < end) {
		m->now++;
		fake_run(&m->platform, m->now, many_platform_reply, m);
		many_deliver_messages(m);
		if (m->now % RP_TICK_MS)
			continue;
		for (i = 0; i < m->n; i++)
			many_event(m, i, &tick);
	}
}

/* Returns the reply to a token, or NULL; aborts if there are two. */
static inline struct many_reply *many_find_reply(struct many *m, rp_token token)
{
	struct many_reply *found = NULL;
	size_t i;

	for (i = 0; i < m->nreplies; i++) {
		if (m->replies[i].token != token)
			continue;
		if (found)
			abort();
		found = &m->replies[i];
	}
	return found;
}

/* Submits one task under the caller's own key. */
static inline void many_submit(struct many *m, int node, rp_token token,
			       const char *key, const char *payload,
			       rp_ms timeout, int wait)
{
	struct rp_task_spec task = { str_of("id"), str_of(payload) };
	struct rp_submission_spec spec = {
		.key = str_of(key),
		.key_is_callers = 1,
		.service = str_of("desk"),
		.team = str_of("team"),
		.timeout = timeout,
		.ntasks = 1,
		.tasks = &task,
	};
	struct rp_event ev = { .type = RP_EVENT_SUBMIT, .token = token };

	ev.submit.sub = rp_submission_new(&spec);
	ev.submit.wait = wait;
	many_event(m, node, &ev);
	rp_submission_unref(ev.submit.sub);
}

/* Queries or cancels a key. */
static inline void many_query_or_cancel(struct many *m, int node,
					rp_token token, enum rp_event_type type,
					const char *key, int wait)
{
	struct rp_event ev = { .type = type, .token = token };

	if (type == RP_EVENT_CANCEL) {
		ev.cancel.key = str_of(key);
	} else {
		ev.query.key = str_of(key);
		ev.query.wait = wait;
	}
	many_event(m, node, &ev);
}

/* Delivers a send's reply, unless the node has restarted since. */
static inline void many_end_send(struct many *m, size_t start,
				 enum rp_start_outcome outcome)
{
	struct rp_event ev = { .type = RP_EVENT_TARGET_REPLY };
	int node = m->starts[start].node;

	if (m->starts[start].incarnation != m->opt[node].incarnation)
		return;
	ev.reply.start_id = m->starts[start].start_id;
	ev.reply.outcome = outcome;
	ev.reply.body = rp_blob_new("r", 1);
	many_event(m, node, &ev);
	rp_blob_unref(ev.reply.body);
}

/* Completes a send with a result. */
static inline void many_complete_send(struct many *m, size_t start)
{
	many_end_send(m, start, RP_START_DONE);
}

/* Returns the number of sends for the key. */
static inline size_t many_starts(const struct many *m, const char *key)
{
	size_t i, n = 0;

	for (i = 0; i < m->nstarts; i++)
		n += !strcmp(m->starts[i].key, key);
	return n;
}

static inline void many_edit(struct many *m, int node, rp_token token,
			     const char *id, int64_t base,
			     const struct rp_cell *cells, size_t n)
{
	struct rp_event ev = { .type = RP_EVENT_EDIT, .token = token };

	ev.edit.edit_id = id;
	ev.edit.base_version = base;
	ev.edit.cells = cells;
	ev.edit.ncells = n;
	many_event(m, node, &ev);
}

/* A cell of the service "desk". */
static inline struct rp_cell many_target_cell(const char *col, int weight,
					      int limit)
{
	struct rp_cell c = { .kind = RP_CELL_TARGET };

	strcpy(c.row, "desk");
	str_copy(c.col, sizeof(c.col), str_of(col));
	c.weight = weight;
	c.limit = limit;
	return c;
}

/* Returns the target as a node's kernel has it. */
static inline struct rp_target *many_target(struct many *m, int node)
{
	struct rp_dispatch *d = dispatch_shard_of(m->k[node], str_of("desk"));

	return service_find(d, str_of("desk"))->targets[0];
}

#endif
