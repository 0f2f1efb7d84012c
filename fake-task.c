/* Tasks of a simulated target: start, run, finish, look up and void. */

#include "fake-task.h"

#include <apr_strings.h>
#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HANG_CHECK_US 50000 /* how often a hung task is checked again */

static const char *const state_names[] = {
	[FAKE_TASK_RUNNING] = "running",
	[FAKE_TASK_DONE] = "done",
	[FAKE_TASK_FAILED] = "failed",
	[FAKE_TASK_VOIDED] = "voided",
};

const char *fake_task_state_name(enum fake_task_state state)
{
	return state_names[state];
}

void fake_target_init(struct fake_target *t, struct fake_timers *timers,
		      apr_pool_t *parent,
		      const struct fake_target_settings *settings,
		      unsigned long seed)
{
	memset(t, 0, sizeof(*t));
	t->timers = timers;
	t->settings = *settings;
	apr_pool_create(&t->pool, parent);
	apr_thread_mutex_create(&t->lock, APR_THREAD_MUTEX_DEFAULT, t->pool);
	t->tasks = apr_hash_make(t->pool);
	t->start_tail = &t->first_start;
	t->rng = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(t->rng, seed);
}

void fake_target_finish(struct fake_target *t)
{
	gsl_rng_free(t->rng);
	apr_pool_destroy(t->pool);
}

struct fake_task *fake_task_find(struct fake_target *t, const char *id)
{
	return apr_hash_get(t->tasks, id, APR_HASH_KEY_STRING);
}

/* Adds a record for a new id, which is kept until the target is freed. */
static struct fake_task *task_new(struct fake_target *t, const char *id,
				  enum fake_task_state state)
{
	struct fake_task *task = apr_pcalloc(t->pool, sizeof(*task));

	task->target = t;
	task->id = apr_pstrdup(t->pool, id);
	task->task = "";
	task->state = state;
	task->arrival_us = fake_now_us();
	apr_hash_set(t->tasks, task->id, APR_HASH_KEY_STRING, task);
	return task;
}

/* Draws a service time from a log-normal with the configured mean. */
static double draw_service_ms(struct fake_target *t)
{
	double mean = t->settings.service_ms, sigma = t->settings.spread;

	if (mean <= 0 || sigma <= 0)
		return mean;
	return gsl_ran_lognormal(t->rng, log(mean) - sigma * sigma / 2, sigma);
}

/*
 * Parses a payload of {"ms":N,"task":NAME}, both optional. Without "ms" the
 * service time is drawn at random.
 */
static void parse_payload(struct fake_task *task, struct fake_request *r)
{
	struct fake_target *t = task->target;
	json_t *o = r->len ? json_loadb(r->body, r->len, 0, NULL) : NULL;
	json_t *name = json_object_get(o, "task");

	task->service_ms = -1;
	fake_json_number(o, "ms", &task->service_ms);
	if (json_is_string(name))
		task->task = apr_pstrdup(t->pool, json_string_value(name));
	json_decref(o);
	if (task->service_ms < 0)
		task->service_ms = draw_service_ms(t);
	task->service_ms /= t->settings.speed;
}

void fake_task_finish(struct fake_task *task, enum fake_task_outcome outcome)
{
	struct fake_request *r = task->waiting_request;

	if (task->state != FAKE_TASK_RUNNING)
		return;
	task->state = outcome == FAKE_OUTCOME_DONE ? FAKE_TASK_DONE
						   : FAKE_TASK_FAILED;
	task->outcome = outcome;
	task->end_us = fake_now_us();
	task->target->running--;
	task->waiting_request = NULL;
	/* A request on a silent connection stays suspended. */
	if (r && r->conn->serial > task->target->silent_up_to)
		fake_request_resume(r);
}

/* The outcome of a task whose timer fires. */
static enum fake_task_outcome timer_outcome(const struct fake_task *task)
{
	if (task->lease_expires)
		return FAKE_OUTCOME_LEASE_EXPIRED;
	return task->target->settings.fail_all ? FAKE_OUTCOME_FAILED
					       : FAKE_OUTCOME_DONE;
}

/* Finishes a task when its timer fires, unless the target hangs. */
static void on_task_timer(struct fake_timer *timer)
{
	struct fake_task *task =
		(struct fake_task *)((char *)timer -
				     offsetof(struct fake_task, timer));
	struct fake_target *t = task->target;

	apr_thread_mutex_lock(t->lock);
	if (t->settings.hang && task->state == FAKE_TASK_RUNNING)
		fake_timers_add(t->timers, timer, HANG_CHECK_US);
	else
		fake_task_finish(task, timer_outcome(task));
	apr_thread_mutex_unlock(t->lock);
}

/* Finishes the task at once, or suspends its request and sets a timer. */
static void task_run(struct fake_task *task, struct fake_request *r)
{
	struct fake_target *t = task->target;
	double ms = task->service_ms;

	if (t->settings.lease_ms > 0 && ms > (double)t->settings.lease_ms) {
		ms = (double)t->settings.lease_ms;
		task->lease_expires = 1;
	}
	if (ms <= 0 && !t->settings.hang) {
		fake_task_finish(task, timer_outcome(task));
		return;
	}
	fake_request_suspend(r);
	task->waiting_request = r;
	task->timer.fire = on_task_timer;
	fake_timers_add(t->timers, &task->timer, (int64_t)(ms * 1000));
}

enum fake_start_result fake_task_start(struct fake_target *t, const char *id,
				       struct fake_request *r,
				       struct fake_task **out)
{
	struct fake_task *task = fake_task_find(t, id);

	if (task && task->state == FAKE_TASK_VOIDED)
		return FAKE_START_VOIDED;
	if (task) {
		t->counts.double_starts++;
		return FAKE_START_DOUBLE;
	}
	if (t->settings.leaving)
		return FAKE_START_LEAVING;
	if (t->running >= t->settings.slots) {
		t->counts.busy++;
		return FAKE_START_BUSY;
	}
	task = task_new(t, id, FAKE_TASK_RUNNING);
	*t->start_tail = task;
	t->start_tail = &task->next_start;
	t->counts.starts++;
	if (++t->running > t->counts.max_running)
		t->counts.max_running = t->running;
	parse_payload(task, r);
	*out = task;
	task_run(task, r);
	return FAKE_START_OK;
}

struct fake_task *fake_task_void(struct fake_target *t, const char *id)
{
	struct fake_task *task = fake_task_find(t, id);

	if (!task) {
		task = task_new(t, id, FAKE_TASK_VOIDED);
		t->counts.voids++;
	}
	return task;
}

char *fake_task_result(const struct fake_task *task)
{
	double took_ms = (double)(task->end_us - task->arrival_us) / 1000;
	json_t *o = json_pack("{s:s, s:s, s:f, s:f}", "id", task->id, "task",
			      task->task, "ms", task->service_ms, "took_ms",
			      took_ms);
	char *text = json_dumps(o, JSON_COMPACT | JSON_REAL_PRECISION(9));

	json_decref(o);
	return text;
}
