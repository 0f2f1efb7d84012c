/* Rows of stored jobs: what is added to them, and what two rows have together.
 */

#include "pool-keep.h"

#include <stdlib.h>
#include <string.h>

void stored_row_add_number(uint32_t **list, size_t *n, uint32_t number)
{
	*list = realloc(*list, (*n + 1) * sizeof(**list));
	(*list)[(*n)++] = number;
}

void stored_row_add_failure(PoolJob *job, uint32_t number, uint32_t run)
{
	/* Rows of an earlier version have no numbers of runs. */
	while (job->n_failed_runs < job->n_failed)
		stored_row_add_number(&job->failed_runs, &job->n_failed_runs,
				      0);
	stored_row_add_number(&job->failed, &job->n_failed, number);
	stored_row_add_number(&job->failed_runs, &job->n_failed_runs, run);
}

void stored_row_add_domain(PoolJob *job, const char *domain)
{
	job->domains = realloc(job->domains,
			       (job->n_domains + 1) * sizeof(*job->domains));
	job->domains[job->n_domains++] = strdup(domain);
}

static int contains(const uint32_t *list, size_t n, uint32_t number)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (list[i] == number)
			return 1;
	return 0;
}

/* Adds the numbers that only the other list has. Returns whether it has any. */
static int merge(uint32_t **list, size_t *n, const uint32_t *other, size_t m)
{
	size_t i, before = *n;

	for (i = 0; i < m; i++)
		if (!contains(*list, before, other[i]))
			stored_row_add_number(list, n, other[i]);
	return *n > before;
}

/* The run of an entry of failed; 0 in rows of an earlier version. */
static uint32_t failed_run(const PoolJob *job, size_t i)
{
	return i < job->n_failed_runs ? job->failed_runs[i] : 0;
}

/* Adds the failed runs that only the other row has. Returns whether it has any.
 */
static int merge_failures(PoolJob *job, const PoolJob *other)
{
	size_t i, j, before = job->n_failed;

	for (i = 0; i < other->n_failed; i++) {
		for (j = 0; j < before; j++)
			if (job->failed[j] == other->failed[i] &&
			    failed_run(job, j) == failed_run(other, i))
				break;
		if (j == before)
			stored_row_add_failure(job, other->failed[i],
					       failed_run(other, i));
	}
	return job->n_failed > before;
}

/* Adds the domains that only the other row has. Returns whether it has any. */
static int merge_domains(PoolJob *job, const PoolJob *other)
{
	size_t i, j, before = job->n_domains;

	for (i = 0; i < other->n_domains; i++) {
		for (j = 0; j < before; j++)
			if (!strcmp(job->domains[j], other->domains[i]))
				break;
		if (j == before)
			stored_row_add_domain(job, other->domains[i]);
	}
	return job->n_domains > before;
}

int stored_row_merge(PoolJob *job, const PoolJob *other)
{
	int more = merge(&job->done, &job->n_done, other->done, other->n_done);

	more |= merge_failures(job, other);
	more |= merge_domains(job, other);
	return more;
}
