/* Starts of tasks on targets: their table, timers and end. */

#include "rosemary-int.h"

#include <stdio.h>
#include <stdlib.h>

/* A start id has the shard, generation and slot, from the top bits down. */
#define START_SLOT_BITS 24
#define START_GENERATION_BITS 32

#define SILENCE_MIN_MS 250
#define SILENCE_SAMPLES 20 /* with fewer, silence_limit applies */

/*
 * The age of a start without an outcome is a sample of the run time once it is
 * this many times the mean. Shorter ones would bias the mean downwards.
 */
#define CENSORED_FACTOR 2

int dispatch_check_invariant(struct rp_dispatch *d, rp_ms now, int ok,
			     const char *invariant)
{
	struct rp_trace_subject about = { .task = -1 };

	if (ok)
		return 1;
	d->counters.violations++;
	trace_event(d->k, now, RP_TRACE_VIOLATION, &about, "%s", invariant);
	if (d->k->opt.abort_on_violation) {
		fprintf(stderr, "invariant violated: %s\n", invariant);
		abort();
	}
	return 0;
}

struct rp_start *start_by_slot(struct rp_dispatch *d, size_t slot)
{
	return &d->start_pages[slot / RP_START_PAGE][slot % RP_START_PAGE];
}

static uint64_t start_id(const struct rp_dispatch *d, const struct rp_start *s)
{
	return (uint64_t)d->index << (START_SLOT_BITS + START_GENERATION_BITS) |
	       (uint64_t)s->generation << START_SLOT_BITS | s->slot;
}

struct rp_start *start_find(struct rp_dispatch *d, uint64_t id)
{
	uint64_t slot = id & ((1U << START_SLOT_BITS) - 1);
	struct rp_start *s;

	if (slot >= d->nstart_slots)
		return NULL;
	s = start_by_slot(d, slot);
	return s->in_use && start_id(d, s) == id ? s : NULL;
}

struct rp_dispatch *start_shard(struct rp_kernel *k, uint64_t id)
{
	uint64_t i = id >> (START_SLOT_BITS + START_GENERATION_BITS);

	return i < RP_DISPATCH_SHARDS ? &k->dispatch[i] : NULL;
}

/* Adds one page of free slots; the slots in use keep their address. */
static void starts_grow(struct rp_dispatch *d)
{
	size_t page = d->nstart_slots / RP_START_PAGE, i;

	d->start_pages = kernel_realloc(d->start_pages,
					(page + 1) * sizeof(*d->start_pages));
	d->start_pages[page] =
		kernel_alloc(RP_START_PAGE * sizeof(struct rp_start));
	d->nstart_slots += RP_START_PAGE;
	for (i = RP_START_PAGE; i-- > 0;) {
		struct rp_start *s = &d->start_pages[page][i];

		s->slot = (uint32_t)(page * RP_START_PAGE + i);
		heap_node_init(&s->timer_node);
		s->next_free = d->free_start;
		d->free_start = s->slot;
	}
}

/* Adds a start to the lists of its job and target. */
static void start_link(struct rp_start *s)
{
	s->job_prev = NULL;
	s->job_next = s->job->active_starts;
	if (s->job_next)
		s->job_next->job_prev = s;
	s->job->active_starts = s;
	s->target_prev = NULL;
	s->target_next = s->target->active_starts;
	if (s->target_next)
		s->target_next->target_prev = s;
	s->target->active_starts = s;
}

static void start_unlink(struct rp_start *s)
{
	if (s->job_prev)
		s->job_prev->job_next = s->job_next;
	else
		s->job->active_starts = s->job_next;
	if (s->job_next)
		s->job_next->job_prev = s->job_prev;
	if (s->target_prev)
		s->target_prev->target_next = s->target_next;
	else
		s->target->active_starts = s->target_next;
	if (s->target_next)
		s->target_next->target_prev = s->target_prev;
}

/* Returns the time without a reply after which a start is looked up, ms. */
static rp_ms silence_timeout(const struct rp_target *t)
{
	const struct rp_run_time *rt = &t->svc->run_time;
	rp_ms max = t->svc->shard->k->opt.silence_limit;
	rp_ms timeout;

	if (t->run_time.count >= SILENCE_SAMPLES)
		rt = &t->run_time;
	if (rt->count < SILENCE_SAMPLES)
		return max;
	timeout = (rp_ms)(rt->mean + t->svc->silence_devs * rt->dev);
	if (timeout < SILENCE_MIN_MS)
		timeout = SILENCE_MIN_MS;
	return timeout < max ? timeout : max;
}

void start_set_timer(struct rp_start *s, rp_ms at)
{
	if (at > s->give_up_at)
		at = s->give_up_at;
	heap_set(&s->target->svc->shard->timers, &s->timer_node, (double)at);
}

/* Sets the timer for a hedge, or else for the first lookup. */
static void start_arm_timer(struct rp_start *s, rp_ms now)
{
	const struct rp_submission *sub = s->job->sub;
	struct rp_service *svc = s->target->svc;
	rp_ms hedge_delay = 0;

	s->lookup_at = now + silence_timeout(s->target);
	if (sub->is_request && sub->idempotent)
		hedge_delay =
			svc->retry->ops->hedge_after(svc->retry, s->target);
	s->hedge_done = hedge_delay == 0;
	if (hedge_delay && now + hedge_delay < s->lookup_at)
		start_set_timer(s, now + hedge_delay);
	else
		start_set_timer(s, s->lookup_at);
}

/* Allocates a slot for a start of the task and sets its timer. */
static struct rp_start *start_new(struct rp_job *job, uint32_t task,
				  struct rp_target *t, rp_ms now)
{
	struct rp_dispatch *d = job->svc->shard;
	struct rp_start *s;

	if (d->free_start == RP_START_SLOT_NONE)
		starts_grow(d);
	s = start_by_slot(d, d->free_start);
	d->free_start = s->next_free;
	s->generation++;
	s->in_use = 1;
	s->phase = RP_START_SENT;
	s->suffix = job->tasks[task].suffix;
	s->nlookups = 0;
	s->nunknown = 0;
	s->connection_lost = 0;
	s->health_reported = 0;
	s->stopped = 0;
	s->job = job;
	s->task = task;
	s->target = t;
	s->sent_at = now;
	s->give_up_at = job->deadline;
	start_link(s);
	start_arm_timer(s, now);
	job->refs++;
	return s;
}

void start_release(struct rp_start *s)
{
	s->in_use = 0;
	start_unlink(s);
	job_unref(s->job);
}

void start_report_health(struct rp_start *s, rp_ms now,
			 enum rp_start_outcome outcome)
{
	struct rp_target *t = s->target;
	struct rp_health *h = t->svc->health;

	if (s->health_reported || s->stopped)
		return;
	s->health_reported = 1;
	h->ops->ended(h, t, outcome, now - s->sent_at, now);
}

/* Adds a sample of the run time; an unknown outcome gives a lower bound. */
static void start_record_run_time(struct rp_start *s, rp_ms now,
				  enum rp_start_outcome outcome)
{
	struct rp_target *t = s->target;
	struct rp_service *svc = t->svc;
	rp_ms elapsed = now - s->sent_at;

	if (outcome == RP_START_DONE) {
		t->done++;
		run_time_add(&t->run_time, elapsed);
		run_time_add(&svc->run_time, elapsed);
		svc->admit->ops->ended(svc->admit, elapsed, now);
		target_reindex(t);
	} else if (outcome == RP_START_UNKNOWN && !s->stopped &&
		   (double)elapsed > CENSORED_FACTOR * t->run_time.mean) {
		run_time_add(&t->run_time, elapsed);
		target_reindex(t);
	}
}

void start_end(struct rp_start *s, rp_ms now, enum rp_start_outcome outcome)
{
	struct rp_target *t = s->target;
	struct rp_service *svc = t->svc;
	struct rp_dispatch *d = svc->shard;

	heap_remove(&d->timers, &s->timer_node);
	t->in_flight--;
	svc->in_flight--;
	s->job->in_flight--;
	s->job->team->in_flight--;
	if (s->phase != RP_START_ABANDONED)
		s->job->tasks[s->task].in_flight--;
	dispatch_check_invariant(
		d, now, t->in_flight >= 0 && s->job->team->in_flight >= 0,
		"tasks in flight are conserved");
	start_record_run_time(s, now, outcome);
	start_report_health(s, now, outcome);
	svc->limit->ops->ended(svc->limit, t, outcome, now);
	if (svc->queue->ops->ended)
		svc->queue->ops->ended(svc->queue, s->job->team);
	svc->route->ops->changed(svc->route, t, now);
	s->next_free = d->free_start;
	d->free_start = s->slot;
	start_release(s);
}

struct rp_action *start_action(const struct rp_start *s,
			       enum rp_action_type type,
			       struct rp_actions *acts)
{
	struct rp_action *a = action_add(acts, type);
	const struct rp_submission *sub = s->job->sub;
	size_t size = sizeof(a->start.task_id);

	a->start.start_id = start_id(s->target->svc->shard, s);
	a->start.task = s->task;
	str_copy(a->start.target, sizeof(a->start.target),
		 str_of(s->target->name));
	str_copy(a->start.address, sizeof(a->start.address),
		 str_of(s->target->address));
	if (s->suffix)
		snprintf(a->start.task_id, size, "%.*s-%u.%u",
			 (int)sub->key.len, sub->key.ptr, s->task, s->suffix);
	else
		snprintf(a->start.task_id, size, "%.*s-%u", (int)sub->key.len,
			 sub->key.ptr, s->task);
	return a;
}

/* Returns whether no invariant forbids the start; counts violations. */
static int may_start(struct rp_job *job, uint32_t task, struct rp_target *t,
		     rp_ms now)
{
	const struct rp_task *tk = &job->tasks[task];
	struct rp_dispatch *d = job->svc->shard;
	int may_repeat = job->sub->is_request && job->sub->idempotent;

	return dispatch_check_invariant(d, now, !job->closed,
					"no start once answered") &&
	       dispatch_check_invariant(d, now, now < job->deadline,
					"no start at or past the deadline") &&
	       dispatch_check_invariant(d, now, may_repeat || !tk->may_have_run,
					"no second start of a task that "
					"may have run") &&
	       dispatch_check_invariant(d, now, tk->state == RP_TASK_QUEUED,
					"only queued tasks start") &&
	       dispatch_check_invariant(d, now, target_available(t),
					"starts stay within the target's "
					"limit");
}

/* Counts a start for its task, job, team, target and service. */
static void count_start(struct rp_job *job, struct rp_task *tk,
			struct rp_target *t)
{
	struct rp_service *svc = job->svc;
	struct rp_dispatch *d = svc->shard;

	if (tk->attempts == 0)
		svc->retry->ops->first_attempt(svc->retry);
	else
		d->counters.resends++;
	if (tk->attempts < UINT8_MAX)
		tk->attempts++;
	tk->state = RP_TASK_SENT;
	tk->may_have_run++;
	tk->in_flight++;
	job->in_flight++;
	job->team->in_flight++;
	job->may_have_run++;
	t->in_flight++;
	t->starts++;
	svc->in_flight++;
	d->counters.starts++;
}

int start_on_target(struct rp_job *job, uint32_t task, struct rp_target *t,
		    rp_ms now, struct rp_actions *acts)
{
	struct rp_trace_subject about = { job->sub->key, job->sub->team,
					  t->name, (int32_t)task };
	struct rp_service *svc = job->svc;
	struct rp_action *a;
	struct rp_start *s;

	if (!may_start(job, task, t, now))
		return 0;
	s = start_new(job, task, t, now);
	a = start_action(s, RP_ACTION_START, acts);
	a->start.sub = rp_submission_ref(job->sub);
	a->start.timeout = s->give_up_at - now;
	count_start(job, &job->tasks[task], t);
	svc->limit->ops->started(svc->limit, t, now);
	svc->health->ops->started(svc->health, t, now);
	svc->route->ops->changed(svc->route, t, now);
	trace_event(svc->shard->k, now, RP_TRACE_STARTED, &about, "attempt %d",
		    job->tasks[task].attempts);
	return 1;
}

void start_stop_all(struct rp_job *job, struct rp_actions *acts)
{
	struct rp_start *s;

	for (s = job->active_starts; s; s = s->job_next) {
		if (s->phase == RP_START_ABANDONED)
			continue;
		s->stopped = 1;
		job->svc->shard->counters.stops++;
		start_action(s, RP_ACTION_STOP, acts);
	}
}
