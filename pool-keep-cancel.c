/*
 * Cancellations on the leader of jobs that have no row.
 *
 * Their submission may be under way: the store may make its write late, another
 * entry VM may repeat it, and the owner of a job that is not stored submits it
 * to each new leader. So the leader has a row written, under the condition that
 * there is none, which says that the job is cancelled. The store then refuses
 * each write of a submission, and this leader and its successors, which read
 * the rows, refuse jobs that are not stored. The row is removed like that of an
 * ended job, later than a submission can be under way.
 *
 * Anyone can ask to cancel ids that do not exist. The rows for these, and those
 * for all jobs by the memory that they take, are bounded; beyond that the
 * cancellation is refused.
 */

#include "pool-keep.h"

#include <stdlib.h>

/* Rows of jobs that nobody is known to have submitted. */
#define UNSUBMITTED_MAX 2048
/* Part of the budget up to which stored jobs leave room for such rows. */
#define ROOM_SHARE 8
#define OWNERS_CHECK_INTERVAL_MS 20
/*
 * Age from which the row of a cancellation is not written any more: its caller
 * was told that it failed, and may have submitted the job again.
 */
#define STALE_MS 10000

void stored_job_set_unsubmitted(struct pool *p, struct stored_job *j,
				int unsubmitted)
{
	if (unsubmitted && !j->unsubmitted)
		p->stored_jobs->nunsubmitted++;
	if (!unsubmitted && j->unsubmitted)
		p->stored_jobs->nunsubmitted--;
	j->unsubmitted = unsubmitted;
}

int pool_ended_row_lasts(const struct pool *p, rp_ms ended_at)
{
	return pool_store_now(p) - ended_at < POOL_ENDED_RELIED_MS;
}

int pool_stored_is_cancelled(struct pool *p, const char *id)
{
	const struct stored_job *j = p->stored_jobs ? stored_job_find(p, id)
						    : NULL;

	return j && j->state == POOL_JOB__STATE__CANCELLED;
}

/* Whether this leader knows all rows, and may write some. */
static int knows_all_rows(struct pool *p)
{
	return p->stored_jobs && !lead_is_provisional(&p->lead) &&
	       store_of(p)->watches[WATCH_JOBS].complete;
}

static int is_owner_missing(struct pool *p)
{
	return pool_owner_may_be_missing(p) ? !pool_missing_vms_are_dead(p)
					    : p->sched.owners_missing;
}

/*
 * Whether a job may be open of which this leader does not know: another leader
 * may have it, or its entry VM has not submitted it here yet. That is looked up
 * once for many cancellations, as it takes a look at all VMs.
 */
static int may_not_know_all_jobs(struct pool *p)
{
	struct stored_jobs *s = p->stored_jobs;

	if (p->now - s->owners_checked_at >= OWNERS_CHECK_INTERVAL_MS) {
		s->owners_checked_at = p->now;
		s->owner_missing = is_owner_missing(p);
	}
	return s->owner_missing;
}

static int has_room(const struct pool *p, int submitted)
{
	return (submitted || p->stored_jobs->nunsubmitted < UNSUBMITTED_MAX) &&
	       budget_is_within_part(&p->budget, RP_HOLD_STORED,
				     STORED_ENDED_BYTES, ROOM_SHARE);
}

/* Queues the row of an ended job, with the version that it has in the store. */
static void write_ended(struct pool *p, struct stored_job *j)
{
	j->job = malloc(sizeof(*j->job));
	pool_job__init(j->job);
	j->job->unsubmitted = j->unsubmitted;
	j->job->state = j->state;
	j->job->ended_ms = (uint64_t)pool_store_now(p);
	j->job->accepted_ms = j->job->ended_ms;
	j->cancelling = 1;
	stored_job_changed(p, j);
}

/* Queues the row of a cancelled job, which the store must not have. */
static void record(struct pool *p, const char *id, int submitted)
{
	struct stored_job *j = stored_job_new(p, id);

	j->state = POOL_JOB__STATE__CANCELLED;
	stored_job_set_unsubmitted(p, j, !submitted);
	write_ended(p, j);
	p->has_stored_jobs = 1;
}

/*
 * What the row says of a job that the leader knows, or is writing. A submission
 * that is received now may be written until the row of an ended job is removed
 * and later, so that an old row is renewed before it is relied on.
 */
static enum stored_cancel state_of(struct pool *p, struct stored_job *j)
{
	if (j->cancelling || j->removing)
		return STORED_CANCEL_PENDING;
	if (j->job || j->state == POOL_JOB__STATE__OPEN)
		return STORED_CANCEL_IN_ROW;
	if (!pool_ended_row_lasts(p, j->ended_at)) {
		if (knows_all_rows(p))
			write_ended(p, j);
		return STORED_CANCEL_PENDING;
	}
	return j->unsubmitted ? STORED_CANCEL_UNSUBMITTED : STORED_CANCEL_ENDED;
}

enum stored_cancel stored_job_cancel(struct pool *p, const char *id,
				     int *submitted, PoolJob__State *state)
{
	struct stored_job *j;

	if (sched_cancel_unstored(&p->sched, id, p->now))
		*submitted = p->dispatch_due = 1;
	j = p->stored_jobs ? stored_job_find(p, id) : NULL;
	if (j) {
		*state = j->state;
		return state_of(p, j);
	}
	if (lead_is_provisional(&p->lead))
		return STORED_CANCEL_UNSURE;
	if (!knows_all_rows(p))
		return STORED_CANCEL_PENDING;
	if (!*submitted && may_not_know_all_jobs(p))
		return STORED_CANCEL_UNSURE;
	if (!has_room(p, *submitted))
		return STORED_CANCEL_REFUSED;
	record(p, id, *submitted);
	return STORED_CANCEL_PENDING;
}

int stored_job_drop_stale_cancel(struct pool *p, struct stored_job *j)
{
	if (!j->cancelling ||
	    pool_store_now(p) - (rp_ms)j->job->ended_ms <= STALE_MS)
		return 0;
	j->cancelling = 0;
	if (j->version)
		stored_job_close(p, j);
	else
		stored_job_remove(p, j);
	return 1;
}

void stored_job_cancel_recorded(struct pool *p, struct stored_job *j)
{
	if (!j->cancelling)
		return;
	j->cancelling = 0;
	j->ended_at = (rp_ms)j->job->ended_ms;
	p->count.cancels_recorded++;
	LOG_EVENT(LOG_LEVEL_INFO, "cancellation_recorded",
		  LOG_TEXT("id", j->id), LOG_NUMBER("version", j->version),
		  LOG_NUMBER("unsubmitted", j->unsubmitted),
		  LOG_NUMBER("after_ms", pool_store_now(p) - j->ended_at));
}

void stored_job_apply_cancelled(struct pool *p, struct stored_job *j,
				const PoolJob *job)
{
	if (job->state != POOL_JOB__STATE__OPEN) {
		stored_job_cancel_recorded(p, j);
		stored_job_end(p, j, job);
		return;
	}
	/* The write of its submission came first: it is cancelled there. */
	stored_job_set_unsubmitted(p, j, 0);
	j->job->unsubmitted = 0;
	j->job->accepted_ms = job->accepted_ms;
}
