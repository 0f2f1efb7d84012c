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
	progress.all_domains = job->domains_told;
	progress.any_domain = job->any_former_domain;
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

void pool_request_add_domains(struct pool_request *r, char *const *domains,
			      size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (has_domain(r, domains[i]))
			continue;
		r->domains = realloc(r->domains,
				     (r->ndomains + 1) * sizeof(*r->domains));
		r->domains[r->ndomains++] = strdup(domains[i]);
	}
}

void pool_request_domains_told(struct pool_request *r,
			       const PoolProgress *progress)
{
	pool_request_add_domains(r, progress->domains, progress->n_domains);
	r->any_domain |= progress->any_domain;
	if (progress->all_domains)
		r->presumes_domains = 0;
}

void pool_request_presume_domains(struct pool_request *r, uint64_t fence)
{
	PoolSubmit *sub = r->submit;

	/* The leader before has ended without having told of all. */
	if (r->presumes_domains && r->sent_fence != fence) {
		r->any_domain = 1;
		r->presumes_domains = 0;
	}
	/* This VM learns of the starts that it is asked for, and of its own. */
	if (!sub->specification_hash && !r->p->leading)
		r->presumes_domains = 1;
	sub->any_domain = r->any_domain;
	sub->presumes_domains = !r->p->leading;
}

void pool_request_free_domains(struct pool_request *r)
{
	size_t i;

	for (i = 0; i < r->ndomains; i++)
		free(r->domains[i]);
	free(r->domains);
}
