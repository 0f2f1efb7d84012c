/* Failure domains in which tasks of a job may have been started, in messages.
 */

#include "pool-request.h"

#include <stdlib.h>
#include <string.h>

uint64_t pool_domains_send(struct sched *s, struct sched_job *job)
{
	PoolProgress progress = POOL_PROGRESS__INIT;

	if (job->stored)
		return pool_stored_domains(s, job);
	if (!job->owner)
		return 0;
	progress.seq = job->seq;
	progress.domains = job->domains;
	progress.n_domains = job->ndomains;
	return pool_send_progress(s->user, job->owner, &progress);
}

static int has_domain(const struct pool_request *r, const char *domain)
{
	size_t i;

	for (i = 0; i < r->ndomains; i++)
		if (!strcmp(r->domains[i], domain))
			return 1;
	return 0;
}

void pool_request_add_domains(struct pool_request *r,
			      const PoolProgress *progress)
{
	size_t i;

	for (i = 0; i < progress->n_domains; i++) {
		if (has_domain(r, progress->domains[i]))
			continue;
		r->domains = realloc(r->domains,
				     (r->ndomains + 1) * sizeof(*r->domains));
		r->domains[r->ndomains++] = strdup(progress->domains[i]);
	}
}

void pool_request_free_domains(struct pool_request *r)
{
	size_t i;

	for (i = 0; i < r->ndomains; i++)
		free(r->domains[i]);
	free(r->domains);
}
