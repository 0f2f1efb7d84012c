/*
 * Stored jobs for which the leader has no memory. They stay in the store, and
 * are read again, one by one, when there is room. Of these no task has been
 * started, as a job's row names a failure domain before the first start there.
 */

#include "pool-keep.h"

#include <stdlib.h>
#include <string.h>

#define RETRY_MS 100 /* after a failed read */
/* Part of the limit that is to be free while callers may submit more. */
#define ROOM_SHARE 8

static int is_untouched(const PoolJob *job)
{
	return !job->n_domains && !job->n_done && !job->n_failed &&
	       !job->n_losses;
}

static int has_memory(const struct pool *p, size_t n)
{
	return budget_has_room(&p->budget, RP_HOLD_STORED, n);
}

int pool_stored_has_room(const struct pool *p)
{
	if (!p->leading)
		return !p->leader_heartbeat || !p->leader_heartbeat->no_memory;
	return !p->sched.ndeferred &&
	       has_memory(p, p->budget.limit / ROOM_SHARE);
}

int stored_job_defer(struct pool *p, struct stored_job *j, const PoolJob *job)
{
	struct stored_jobs *s = p->stored_jobs;
	size_t n = sched_submit_memory(job->submit);

	if (!is_untouched(job) || has_memory(p, n))
		return 0;
	if (!s->ndeferred)
		LOG_EVENT(LOG_LEVEL_WARN, "limit_reached",
			  LOG_TEXT("server", "leader"),
			  LOG_TEXT("limit", "memory"), LOG_TEXT("id", j->id),
			  LOG_NUMBER("job_bytes", (long long)n),
			  LOG_NUMBER("held_bytes",
				     (long long)atomic_load(&p->budget.total)),
			  LOG_NUMBER("max_bytes", (long long)p->budget.limit));
	j->deferred_bytes = n;
	j->queue = sched_defer(&p->sched, job->submit);
	j->next = NULL;
	*s->deferred_last = j;
	s->deferred_last = &j->next;
	s->ndeferred++;
	return 1;
}

void stored_job_undefer(struct pool *p, struct stored_job *j)
{
	struct stored_jobs *s = p->stored_jobs;
	struct stored_job **at = &s->deferred;

	if (!j->deferred_bytes)
		return;
	while (*at != j)
		at = &(*at)->next;
	*at = j->next;
	if (!j->next)
		s->deferred_last = at;
	s->ndeferred--;
	j->deferred_bytes = 0;
	sched_undefer(&p->sched, j->queue);
}

static const struct platform_row *find_row(const struct platform_rows *rows,
					   const char *id)
{
	size_t i;

	for (i = 0; i < rows->n; i++)
		if (!strcmp(rows->rows[i].key, id) && rows->rows[i].value)
			return &rows->rows[i];
	return NULL;
}

static void on_row(struct pool_call *c, long status, const char *body,
		   size_t len)
{
	struct pool *p = c->p;
	struct stored_job *j = stored_job_find(p, c->task);
	const struct platform_row *row;
	struct platform_rows rows;
	char error[PLATFORM_ERROR_MAX];

	p->stored_jobs->load_in_flight = 0;
	if (status != 200) {
		p->stored_jobs->load_due = p->now + RETRY_MS;
		return;
	}
	platform_parse_rows(&rows, body, len, error);
	row = find_row(&rows, c->task);
	if (j && j->deferred_bytes && row)
		stored_job_load(p, j, row);
	else if (j && j->deferred_bytes)
		stored_job_remove(p, j);
	platform_rows_finish(&rows);
}

void stored_load_deferred(struct pool *p)
{
	struct stored_jobs *s = p->stored_jobs;
	struct stored_job *j = s->deferred;
	struct pool_call_spec spec = {
		.address = p->set.store_address,
		.timeout = STORE_READ_TIMEOUT_MS,
		.on_done = on_row,
	};
	struct pool_call *c;
	char *path;

	if (!j || s->load_in_flight || p->now < s->load_due)
		return;
	conn_make_room(&p->servers[POOL_CALLERS].conns, RP_HOLD_STORED,
		       j->deferred_bytes);
	/* One that is too large for the budget is loaded beside few others. */
	if (!has_memory(p, j->deferred_bytes) &&
	    atomic_load(&p->budget.used[RP_HOLD_STORED]) >
		    p->budget.limit / ROOM_SHARE)
		return;
	s->load_in_flight = 1;
	path = platform_row_path(JOBS_TABLE, pool_part_name(j->part), j->id);
	spec.path = path;
	p->count.store_calls++;
	c = pool_call_begin(p, &spec);
	c->group = p->call_group;
	str_copy(c->task, sizeof(c->task), str_of(j->id));
	free(path);
}
