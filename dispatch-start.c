/* Sends of tasks to targets, and what becomes of each. */

#include "rosemary-int.h"

#include <stdio.h>
#include <string.h>

/* A start id is made of shard, generation and slot. */
#define START_SLOT_BITS 24
#define START_GENERATION_BITS 32

static uint64_t start_id(const struct rp_dispatch *d, const struct rp_start *s)
{
	uint64_t slot = (uint64_t)(s - d->starts);

	return (uint64_t)d->index << (START_SLOT_BITS + START_GENERATION_BITS) |
	       (uint64_t)s->generation << START_SLOT_BITS | slot;
}

/* The send that the id names, or NULL when it has ended. */
static struct rp_start *start_find(struct rp_dispatch *d, uint64_t id)
{
	uint64_t slot = id & ((1U << START_SLOT_BITS) - 1);

	if (slot >= d->nstarts || !d->starts[slot].in_use ||
	    start_id(d, &d->starts[slot]) != id)
		return NULL;
	return &d->starts[slot];
}

static struct rp_dispatch *start_shard(struct rp_kernel *k, uint64_t id)
{
	uint64_t i = id >> (START_SLOT_BITS + START_GENERATION_BITS);

	return i < RP_DISPATCH_SHARDS ? &k->dispatch[i] : NULL;
}

/* Enlarges the table of sends; their nodes move, so the heap is remade. */
static void starts_grow(struct rp_dispatch *d)
{
	size_t old = d->nstarts, i;

	d->nstarts = old ? 2 * old : 256;
	d->starts = kernel_realloc(d->starts, d->nstarts * sizeof(*d->starts));
	d->timers.len = 0;
	for (i = 0; i < old; i++) {
		struct rp_heap_node *n = &d->starts[i].timer_node;

		if (n->index == RP_HEAP_OUT)
			continue;
		n->index = RP_HEAP_OUT;
		heap_set(&d->timers, n, n->key);
	}
	for (i = d->nstarts; i-- > old;) {
		memset(&d->starts[i], 0, sizeof(d->starts[i]));
		heap_node_init(&d->starts[i].timer_node);
		d->starts[i].next_free = d->free_start;
		d->free_start = (uint32_t)i;
	}
}

static struct rp_start *start_new(struct rp_job *job, uint32_t task,
				  struct rp_target *t, rp_ms now)
{
	struct rp_dispatch *d = job->svc->shard;
	struct rp_start *s;

	if (d->free_start == RP_START_NONE)
		starts_grow(d);
	s = &d->starts[d->free_start];
	d->free_start = s->next_free;
	s->generation++;
	s->in_use = 1;
	s->job = job;
	s->task = task;
	s->target = t;
	s->sent_at = now;
	s->give_up_at = job->deadline;
	s->looked_up = 0;
	heap_set(&d->timers, &s->timer_node, (double)s->give_up_at);
	job->refs++;
	return s;
}

void start_forget(struct rp_start *s)
{
	s->in_use = 0;
	job_unref(s->job);
}

/* Frees the slot of a send that has ended and tells the policies. */
static void start_end(struct rp_dispatch *d, struct rp_start *s, rp_ms now,
		      enum rp_start_outcome outcome)
{
	struct rp_target *t = s->target;
	struct rp_service *svc = t->svc;
	rp_ms took = now - s->sent_at;

	heap_remove(&d->timers, &s->timer_node);
	t->in_flight--;
	svc->in_flight--;
	s->job->in_flight--;
	s->job->team->in_flight--;
	s->job->tasks[s->task].sends--;
	if (outcome == RP_START_DONE) {
		t->done++;
		learned_add(&t->learned, took);
		learned_add(&svc->learned, took);
		svc->admit->ops->ended(svc->admit, took, now);
	}
	svc->health->ops->ended(svc->health, t, outcome, took, now);
	svc->limit->ops->ended(svc->limit, t, outcome, now);
	svc->route->ops->changed(svc->route, t, now);
	s->next_free = d->free_start;
	d->free_start = (uint32_t)(s - d->starts);
	start_forget(s);
}

/* Fills the part that all actions about a send have in common. */
static struct rp_action *start_action(struct rp_dispatch *d,
				      const struct rp_start *s,
				      enum rp_action_type type,
				      struct rp_actions *acts)
{
	struct rp_action *a = action_add(acts, type);
	const struct rp_submission *sub = s->job->sub;

	a->start.start_id = start_id(d, s);
	a->start.task = s->task;
	str_copy(a->start.target, sizeof(a->start.target),
		 str_of(s->target->name));
	str_copy(a->start.address, sizeof(a->start.address),
		 str_of(s->target->address));
	snprintf(a->start.task_id, sizeof(a->start.task_id), "%.*s-%u",
		 (int)sub->key.len, sub->key.ptr, s->task);
	return a;
}

/* Sends one task of the job to the target. */
static void start_send(struct rp_job *job, uint32_t task, struct rp_target *t,
		       rp_ms now, struct rp_actions *acts)
{
	struct rp_trace_about about = { job->sub->key, job->sub->team, t->name,
					(int32_t)task };
	struct rp_service *svc = job->svc;
	struct rp_dispatch *d = svc->shard;
	struct rp_start *s = start_new(job, task, t, now);
	struct rp_action *a = start_action(d, s, RP_ACTION_START, acts);

	a->start.sub = rp_submission_ref(job->sub);
	a->start.timeout = s->give_up_at - now;
	job->tasks[task].state = RP_TASK_SENT;
	job->tasks[task].sends++;
	if (job->tasks[task].attempts < UINT8_MAX)
		job->tasks[task].attempts++;
	job->in_flight++;
	job->team->in_flight++;
	job->may_have_run++;
	t->in_flight++;
	t->starts++;
	svc->in_flight++;
	d->counters.starts++;
	svc->limit->ops->started(svc->limit, t, now);
	svc->health->ops->started(svc->health, t, now);
	svc->route->ops->changed(svc->route, t, now);
	trace_event(d->k, now, RP_TRACE_STARTED, &about, "attempt %d",
		    job->tasks[task].attempts);
}

/* Takes the job's next waiting task out of the queue. */
static uint32_t job_take(struct rp_job *job, rp_ms now)
{
	struct rp_service *svc = job->svc;
	uint32_t task = job->nagain ? job->again[--job->nagain]
				    : (uint32_t)job->next_task++;

	svc->nqueued--;
	if (job_waiting(job)) {
		svc->queue->ops->changed(svc->queue, job, now);
	} else {
		svc->queue->ops->remove(svc->queue, job);
		job->queued = 0;
	}
	return task;
}

void dispatch_pump(struct rp_service *svc, rp_ms now, struct rp_actions *acts)
{
	struct rp_job *job;

	while ((job = svc->queue->ops->next(svc->queue, now))) {
		struct rp_target *t =
			svc->route->ops->pick(svc->route, job, now);

		if (!t) {
			svc->limit->ops->demand(svc->limit, svc->nqueued, now,
						acts);
			return;
		}
		start_send(job, job_take(job, now), t, now, acts);
	}
}

/* The target said that the task did not run. */
static void start_not_run(struct rp_job *job, uint32_t task, rp_ms now)
{
	job->may_have_run--;
	job_task_again(job, task, now);
}

/* The target ran the task and failed, or nobody knows. */
static void start_lost(struct rp_job *job, const char *target,
		       enum rp_code code, rp_ms now, struct rp_actions *acts)
{
	struct rp_status st;

	rp_status_set(&st, code, RP_STEP_RUN, target,
		      code == RP_E_TARGET ? "the target failed the task"
					  : "the target gave no answer");
	job_fail(job, now, &st, acts);
}

/* What the outcome of a send means for its task. */
static void start_outcome(struct rp_job *job, uint32_t task,
			  struct rp_target *t, enum rp_start_outcome outcome,
			  struct rp_blob *body, rp_ms now,
			  struct rp_actions *acts)
{
	switch (outcome) {
	case RP_START_DONE:
		job_task_done(job, task, body, now, acts);
		break;
	case RP_START_FAILED:
		t->failed++;
		start_lost(job, t->name, RP_E_TARGET, now, acts);
		break;
	case RP_START_UNKNOWN:
		start_lost(job, t->name, RP_E_SILENT, now, acts);
		break;
	case RP_START_LEAVING:
		if (!t->leaving)
			t->leaving_since = now;
		t->leaving = 1;
		start_not_run(job, task, now);
		break;
	case RP_START_BUSY:
		t->busy++;
		start_not_run(job, task, now);
		break;
	case RP_START_UNSENT:
		start_not_run(job, task, now);
		break;
	}
}

void dispatch_reply(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		    struct rp_actions *acts)
{
	struct rp_dispatch *d = start_shard(k, ev->reply.start_id);
	struct rp_start *s;
	struct rp_target *t;
	struct rp_job *job;
	uint32_t task;

	if (!d)
		return;
	kernel_lock(k, d->lock);
	s = start_find(d, ev->reply.start_id);
	if (!s) {
		d->counters.late_replies++;
		kernel_unlock(k, d->lock);
		return;
	}
	job = s->job;
	task = s->task;
	t = s->target;
	job->refs++;
	start_end(d, s, now, ev->reply.outcome);
	start_outcome(job, task, t, ev->reply.outcome, ev->reply.body, now,
		      acts);
	dispatch_pump(t->svc, now, acts);
	job_unref(job);
	kernel_unlock(k, d->lock);
}

void dispatch_lookup(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		     struct rp_actions *acts)
{
	struct rp_event reply = {
		.type = RP_EVENT_TARGET_REPLY,
		.reply.start_id = ev->lookup.start_id,
		.reply.body = ev->lookup.body,
	};

	if (ev->lookup.outcome == RP_LOOKUP_DONE)
		reply.reply.outcome = RP_START_DONE;
	else if (ev->lookup.outcome == RP_LOOKUP_FAILED)
		reply.reply.outcome = RP_START_FAILED;
	else if (ev->lookup.outcome == RP_LOOKUP_VOIDED)
		reply.reply.outcome = RP_START_BUSY;
	else
		return;
	dispatch_reply(k, now, &reply, acts);
}

void dispatch_timers(struct rp_dispatch *d, rp_ms now, struct rp_actions *acts)
{
	struct rp_heap_node *n;

	while ((n = heap_first(&d->timers)) && n->key <= (double)now) {
		struct rp_start *s =
			RP_CONTAINER(n, struct rp_start, timer_node);
		struct rp_target *t = s->target;
		struct rp_job *job = s->job;

		job->refs++;
		start_end(d, s, now, RP_START_UNKNOWN);
		start_lost(job, t->name, RP_E_DEADLINE, now, acts);
		job_unref(job);
	}
}

void start_stop_all(struct rp_job *job, struct rp_actions *acts)
{
	struct rp_dispatch *d = job->svc->shard;
	size_t i;

	if (!job->in_flight)
		return;
	for (i = 0; i < d->nstarts; i++)
		if (d->starts[i].in_use && d->starts[i].job == job)
			start_action(d, &d->starts[i], RP_ACTION_STOP, acts);
}
