/* Timers of the stand-ins: one thread and a binary heap by due time. */

#include "fake.h"

#include <apr_time.h>
#include <stdlib.h>

int64_t fake_now_us(void)
{
	return apr_time_now();
}

int64_t fake_now_ms(void)
{
	return apr_time_now() / 1000;
}

/* Swaps the timers at two positions of the heap. */
static void heap_swap(struct fake_timers *ts, size_t a, size_t b)
{
	struct fake_timer *t = ts->heap[a];

	ts->heap[a] = ts->heap[b];
	ts->heap[b] = t;
}

/* Moves a timer up until its parent is not due later. */
static void heap_up(struct fake_timers *ts, size_t i)
{
	while (i && ts->heap[i]->due_us < ts->heap[(i - 1) / 2]->due_us) {
		heap_swap(ts, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

/* Moves a timer down until no child is due earlier. */
static void heap_down(struct fake_timers *ts, size_t i)
{
	for (;;) {
		size_t earliest = i, child = 2 * i + 1;

		if (child < ts->len &&
		    ts->heap[child]->due_us < ts->heap[earliest]->due_us)
			earliest = child;
		child++;
		if (child < ts->len &&
		    ts->heap[child]->due_us < ts->heap[earliest]->due_us)
			earliest = child;
		if (earliest == i)
			return;
		heap_swap(ts, i, earliest);
		i = earliest;
	}
}

/* Removes the first timer if it is due; returns it, or NULL. */
static struct fake_timer *pop_due(struct fake_timers *ts, int64_t now)
{
	struct fake_timer *t;

	if (!ts->len || ts->heap[0]->due_us > now)
		return NULL;
	t = ts->heap[0];
	ts->heap[0] = ts->heap[--ts->len];
	heap_down(ts, 0);
	return t;
}

/* Sleeps until the first timer is due or an earlier one is added. */
static void wait_for_next(struct fake_timers *ts, int64_t now)
{
	if (!ts->len)
		apr_thread_cond_wait(ts->wake, ts->lock);
	else
		apr_thread_cond_timedwait(ts->wake, ts->lock,
					  ts->heap[0]->due_us - now);
}

/* Fires due timers. Callbacks run without the lock and may add timers. */
static void *APR_THREAD_FUNC timer_thread(apr_thread_t *thread, void *arg)
{
	struct fake_timers *ts = arg;

	(void)thread;
	apr_thread_mutex_lock(ts->lock);
	while (!ts->stopping) {
		int64_t now = fake_now_us();
		struct fake_timer *t = pop_due(ts, now);

		if (!t) {
			wait_for_next(ts, now);
			continue;
		}
		apr_thread_mutex_unlock(ts->lock);
		t->fire(t);
		apr_thread_mutex_lock(ts->lock);
	}
	apr_thread_mutex_unlock(ts->lock);
	return NULL;
}

void fake_timers_init(struct fake_timers *ts, apr_pool_t *pool)
{
	apr_thread_mutex_create(&ts->lock, APR_THREAD_MUTEX_DEFAULT, pool);
	apr_thread_cond_create(&ts->wake, pool);
	ts->heap = NULL;
	ts->len = 0;
	ts->cap = 0;
	ts->stopping = 0;
	apr_thread_create(&ts->thread, NULL, timer_thread, ts, pool);
}

void fake_timers_add(struct fake_timers *ts, struct fake_timer *t,
		     int64_t delay_us)
{
	t->due_us = fake_now_us() + delay_us;
	apr_thread_mutex_lock(ts->lock);
	if (ts->len == ts->cap) {
		ts->cap = ts->cap ? 2 * ts->cap : 64;
		ts->heap = realloc(ts->heap,
				   ts->cap * sizeof(struct fake_timer *));
		if (!ts->heap)
			abort();
	}
	ts->heap[ts->len] = t;
	heap_up(ts, ts->len++);
	if (ts->heap[0] == t)
		apr_thread_cond_signal(ts->wake);
	apr_thread_mutex_unlock(ts->lock);
}

void fake_timers_finish(struct fake_timers *ts)
{
	apr_status_t status;

	apr_thread_mutex_lock(ts->lock);
	ts->stopping = 1;
	apr_thread_cond_signal(ts->wake);
	apr_thread_mutex_unlock(ts->lock);
	apr_thread_join(&status, ts->thread);
	free(ts->heap);
	ts->heap = NULL;
}

int64_t fake_rate_limit_reserve(struct fake_rate_limit *limit, int64_t n)
{
	int64_t now = fake_now_us();
	int64_t start = limit->next_free_us > now ? limit->next_free_us : now;

	if (limit->per_second <= 0)
		return 0;
	limit->next_free_us = start + n * 1000000 / limit->per_second;
	return start - now;
}
