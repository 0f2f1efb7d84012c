/*
 * Failure domains in which tasks of a job may have been started.
 *
 * A target may carry out a start long after the scheduler that sent it has
 * ended, and a successor that cannot reach the target does not learn of it. So
 * the owner, which outlives schedulers, has to know of the domain. A successor
 * lets the job wait for unreached targets of these domains alone: the others
 * are not known to be in question when a domain is cut off. Jobs that expire
 * before the leases of this scheduler name no domains.
 *
 * An owner that starts the tasks itself learns of a domain with the start. Any
 * other one presumes that tasks were started in any domain until it is told of
 * all, which is once all tasks were started. Neither delays a start. The row of
 * a stored job, and an owner that has been told, name a domain before the first
 * start there.
 */

#include "sched-int.h"

#include <stdlib.h>
#include <string.h>

static int has_domain(const struct sched_job *job, size_t n, const char *domain)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(job->domains[i], domain))
			return 1;
	return 0;
}

static void add_domain(struct sched_job *job, const char *domain)
{
	job->domains = realloc(job->domains,
			       (job->ndomains + 1) * sizeof(*job->domains));
	job->domains[job->ndomains++] = strdup(domain);
}

void sched_domains_restore(struct sched_job *job, const PoolSubmit *sub)
{
	size_t i;

	for (i = 0; i < sub->n_domains; i++)
		if (!has_domain(job, job->ndomains, sub->domains[i]))
			add_domain(job, sub->domains[i]);
	job->nformer_domains = job->ndomains;
	job->any_former_domain |= sub->any_domain;
}

void sched_domains_free(struct sched_job *job)
{
	size_t i;

	for (i = 0; i < job->ndomains; i++)
		free(job->domains[i]);
	free(job->domains);
}

/*
 * Whether the job may be open when a successor looks at its domains, which is
 * after the leases of this scheduler. The successor has it later than this one.
 */
static int needs_domains(const struct sched_job *job)
{
	return job->stored || job->deadline > sched_adopt_leases_over(job);
}

/* Nothing starts until the owner has acknowledged the mark; 0: it knows. */
static void await_owner(struct sched_job *job, uint64_t mark)
{
	job->domains_mark = mark;
	if (mark)
		job->s->awaits_domains = 1;
}

/* Whether the owner takes the job for one that was started in any domain. */
static int is_presumed(const struct sched_job *job)
{
	return job->presumes_domains && !job->owner_starts &&
	       !job->domains_told;
}

/* Adds the domain. Returns whether it is new, and the owner has to know it. */
static int add_new_domain(struct sched_job *job, const char *domain)
{
	if (!needs_domains(job) || has_domain(job, job->ndomains, domain) ||
	    job->ndomains >= SCHED_DOMAINS_MAX)
		return 0;
	add_domain(job, domain);
	return 1;
}

static void tell(struct sched_job *job)
{
	if (!is_presumed(job))
		await_owner(job, job->s->ops->domains(job->s, job));
}

int sched_domain_announce(struct sched_job *job, const struct sched_target *t)
{
	const char *domain = t->listing.failure_domain;

	if (add_new_domain(job, domain) &&
	    !(job->presumes_domains && job->owner_starts))
		tell(job);
	return !job->domains_mark &&
	       (!needs_domains(job) || has_domain(job, job->ndomains, domain));
}

void sched_domain_adopted(struct sched_job *job, const struct sched_target *t)
{
	if (add_new_domain(job, t->listing.failure_domain))
		tell(job);
}

void sched_domains_inherit(struct sched_job *job,
			   const struct sched_history *rec)
{
	size_t i;

	job->any_former_domain |= rec->any_former_domain;
	for (i = 0; i < rec->ndomains; i++) {
		if (add_new_domain(job, rec->domains[i]))
			tell(job);
		if (i < rec->nformer_domains)
			job->nformer_domains = job->ndomains;
	}
	if (rec->any_former_domain && needs_domains(job) && !job->stored)
		tell(job);
}

void sched_domains_placed(struct sched_job *job)
{
	if (!is_presumed(job) || job->any_former_domain || !needs_domains(job))
		return;
	job->domains_told = 1;
	/* If the message is lost, the owner goes on to presume any domain. */
	job->s->ops->domains(job->s, job);
}

void sched_domains_record(struct sched_history *rec,
			  const struct sched_job *job)
{
	size_t i;

	rec->any_former_domain = job->any_former_domain;
	if (!job->ndomains)
		return;
	rec->domains = calloc(job->ndomains, sizeof(*rec->domains));
	if (!rec->domains)
		return;
	for (i = 0; i < job->ndomains; i++)
		rec->domains[i] = strdup(job->domains[i]);
	rec->ndomains = job->ndomains;
	rec->nformer_domains = job->nformer_domains;
}

void sched_domains_resend(struct sched_job *job)
{
	/* A start that tells of a domain may have been lost as well. */
	int learns = job->presumes_domains && job->ndomains;
	uint64_t mark;

	if (is_presumed(job) || !(job->domains_mark || learns))
		return;
	mark = job->s->ops->domains(job->s, job);
	if (job->domains_mark)
		await_owner(job, mark);
}

void sched_domains_await(struct sched *s, const char *id, uint64_t mark)
{
	struct sched_job *job = sched_find_open_job(s, str_of(id));

	if (job)
		await_owner(job, mark);
}

void sched_domains_acked(struct sched *s, const void *owner, uint64_t mark)
{
	struct sched_job *job;

	if (!s->awaits_domains)
		return;
	s->awaits_domains = 0;
	for (job = s->jobs; job; job = job->next) {
		if (job->owner == owner && job->domains_mark <= mark)
			job->domains_mark = 0;
		s->awaits_domains |= job->domains_mark != 0;
	}
}

/*
 * Whether targets that this scheduler's first list lacked may still come back.
 * One that is unlisted later is kept for as long.
 */
static int unlisted_may_return(const struct sched *s)
{
	return s->prev_may_hold_unlisted && s->now - s->started_at < GONE_MS;
}

int sched_domains_unreached(const struct sched_job *job)
{
	const struct sched *s = job->s;
	size_t i;

	if (!job->nformer_domains && !job->any_former_domain)
		return 0;
	if (unlisted_may_return(s))
		return 1;
	for (i = 0; i < s->ntargets; i++) {
		const struct sched_target *t = s->targets[i];

		if (!t->adopted && t->service == job->service &&
		    (job->any_former_domain ||
		     has_domain(job, job->nformer_domains,
				t->listing.failure_domain)))
			return 1;
	}
	return 0;
}
