/*
 * Targets that were lost with runs on them, by task.
 *
 * A run is lost when its target has not replied until the lease is over, or
 * when another incarnation replies. A target that is only cut off looks the
 * same at first: whether it has crashed shows when its entry is gone, when
 * another incarnation replies, or when it replies itself.
 */

#include "sched-int.h"

#include <stdlib.h>
#include <string.h>

/* An entry that a successor does not find in the list is gone after this. */
#define GONE_AFTER_MS 2500
/* Crashes after which a task is given up. */
#define CRASHES_MAX 3
/* The same, whatever seems to have caused them. */
#define SEEN_MAX 4
/* The same, if it was alone at one of them and had made no progress. */
#define CRASHES_ALONE_MAX 2
/* Losses from which the outcome of all is awaited before another start. */
#define WAIT_LOSSES 2
/*
 * Targets lost within MOMENT_MS of each other that show a common failure: at
 * least so many, and this share of all.
 */
#define MOMENT_MS 50
#define COMMON_MIN 4
#define COMMON_SHARE 0.04
/* Time in which a crash is noticed, and tasks are still started there. */
#define NOTICE_MS 60
/*
 * Share of silent targets from which tasks that are likely at fault wait. A
 * crash soon after a start is likely due to the run that was started last.
 */
#define SILENT_SHARE_MAX 0.15
/* Share of the other targets' CPU in use from which these cannot be spared. */
#define USED_SHARE_MIN 0.35
/* Time for the list to lose the entry of a target that has crashed. */
#define OUTCOME_WAIT_MS 8000

static struct sched_losses *get_losses(struct sched_task *task)
{
	if (task->losses)
		return task->losses;
	task->losses = calloc(1, sizeof(*task->losses));
	if (task->losses) {
		task->job->nsuspects++;
		task->job->s->nsuspects++;
	}
	return task->losses;
}

void sched_losses_free(struct sched_job *job)
{
	size_t i;

	for (i = 0; i < job->ntasks; i++)
		free(job->tasks[i].losses);
	job->s->nsuspects -= job->nsuspects;
}

size_t sched_losses_crashed(const struct sched_losses *losses)
{
	size_t i, n = 0;

	for (i = 0; losses && i < losses->n; i++)
		n += losses->list[i].crashed != 0;
	return n;
}

/*
 * Two crashes may be a coincidence for a task that was one of several each
 * time. A task runs alone after the first, so that the second tells. A run that
 * was not seen may never have begun, on a target that had crashed before, and
 * one that had made progress has outlived its start. Crashes of many targets at
 * once are no run's fault.
 */
static int is_at_fault(const struct sched_losses *losses)
{
	size_t i, seen = 0, crashes = 0, alone = 0;

	for (i = 0; i < losses->n; i++) {
		const struct sched_loss *loss = &losses->list[i];

		if (!loss->crashed || !loss->seen || !loss->no_progress)
			continue;
		seen++;
		if (loss->common)
			continue;
		crashes++;
		alone += loss->alone;
	}
	return seen >= SEEN_MAX || crashes >= CRASHES_MAX ||
	       (crashes >= CRASHES_ALONE_MAX && alone);
}

int sched_loss_isolates(const struct sched_task *task)
{
	const struct sched_losses *losses = task->losses;
	size_t i;

	for (i = 0; losses && i < losses->n; i++)
		if (!losses->list[i].common)
			return 1;
	return 0;
}

static int is_likely_at_fault(const struct sched_losses *losses)
{
	size_t i;

	for (i = 0; i < losses->n; i++)
		if (losses->list[i].newest && losses->list[i].no_progress &&
		    !losses->list[i].common)
			return 1;
	return 0;
}

/* Whether another crash would cost the other jobs of the service too much. */
static int is_short_of_targets(const struct sched_job *job)
{
	const struct sched_service *totals =
		sched_service_totals(job->s, job->service);

	return (double)totals->nsilent >
		       SILENT_SHARE_MAX * (double)totals->nlisted + 1 &&
	       totals->used_cpu > USED_SHARE_MIN * totals->total_cpu;
}

int sched_loss_must_wait(const struct sched_task *task)
{
	const struct sched_losses *losses = task->losses;
	rp_ms now = task->job->s->now;

	if (!losses || !losses->n)
		return 0;
	if (task->job->losses_mark)
		return 1;
	if (is_likely_at_fault(losses) && is_short_of_targets(task->job))
		return 1;
	if (losses->n < WAIT_LOSSES)
		return 0;
	if (is_at_fault(losses))
		return 1;
	if (sched_losses_crashed(losses) == losses->n)
		return 0;
	return losses->n == SCHED_LOSSES_MAX ||
	       now - losses->list[losses->n - 1].at < OUTCOME_WAIT_MS;
}

static struct sched_loss *find_loss(struct sched_losses *losses,
				    const struct sched_loss *loss)
{
	size_t i;

	for (i = 0; i < losses->n; i++)
		if (losses->list[i].incarnation == loss->incarnation &&
		    !strcmp(losses->list[i].target, loss->target))
			return &losses->list[i];
	return NULL;
}

/* Removes the first loss of a run that may never have begun. */
static void forget_unseen(struct sched_losses *losses)
{
	size_t i = 0;

	while (i < losses->n && losses->list[i].seen)
		i++;
	if (i < losses->n)
		memmove(&losses->list[i], &losses->list[i + 1],
			(--losses->n - i) * sizeof(losses->list[0]));
}

void sched_loss_add(struct sched_task *task, const struct sched_loss *loss)
{
	struct sched *s = task->job->s;
	struct sched_losses *losses = get_losses(task);
	struct sched_loss *known;

	if (!losses)
		return;
	known = find_loss(losses, loss);
	if (known) {
		known->crashed |= loss->crashed;
		return;
	}
	if (losses->n == SCHED_LOSSES_MAX)
		forget_unseen(losses);
	if (losses->n == SCHED_LOSSES_MAX)
		return;
	losses->list[losses->n++] = *loss;
	s->ops->log_loss(s, "target_lost", task, loss,
			 loss->crashed ? "another incarnation replied"
				       : "no reply");
}

/*
 * Whether many targets have stopped to reply when this one did: then a failure
 * that they share is the cause, not a run. Those with tasks that are suspected
 * do not count, as such tasks often start at the same time.
 */
static int is_common(const struct sched_target *t)
{
	const struct sched *s = t->s;
	size_t i, others = 0;

	for (i = 0; i < s->ntargets; i++) {
		const struct sched_target *o = s->targets[i];

		others += o != t && o->unanswered && !o->nisolated &&
			  !o->was_isolated &&
			  llabs(o->replied_at - t->replied_at) <= MOMENT_MS;
	}
	return others >= COMMON_MIN &&
	       (double)others >= COMMON_SHARE * (double)s->ntargets;
}

void sched_loss_mark_runs(struct sched_target *t)
{
	struct sched_task *task;
	int common = is_common(t);
	rp_ms newest = 0;

	for (task = t->runs; task; task = task->next)
		if (task->sent_at > newest)
			newest = task->sent_at;
	for (task = t->runs; task; task = task->next) {
		if (task->restarted)
			continue; /* marked when the restart was noticed */
		task->lost_alone = t->nruns == 1 && !t->nforeign;
		task->lost_common = (uint8_t)common;
		task->lost_newest = newest - task->sent_at <= NOTICE_MS;
	}
}

void sched_loss_of_run(struct sched_task *task, int crashed)
{
	const struct sched_target *t = task->target;
	struct sched *s = t->s;
	struct sched_loss loss = {
		.incarnation = task->restarted ? t->prev_incarnation
					       : t->incarnation,
		.at = s->now,
		.alone = task->lost_alone,
		.newest = task->lost_newest,
		.no_progress = !task->percent,
		.seen = task->seen,
		.common = task->lost_common,
		.crashed = crashed || task->restarted,
	};

	/* A target that leaves ends its runs with no fault of theirs. */
	if (t->draining)
		return;
	str_copy(loss.target, sizeof(loss.target), str_of(t->listing.id));
	s->count.runs_lost++;
	s->count.runs_crashed += loss.crashed != 0;
	if (task->job->answered) {
		sched_history_add_loss(task, &loss);
		return;
	}
	sched_loss_add(task, &loss);
	sched_losses_changed(task->job);
}

void sched_losses_restore(struct sched_job *job, PoolLoss *const *losses,
			  size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		struct sched_loss loss = {
			.incarnation = losses[i]->incarnation,
			.at = job->s->now,
			.alone = losses[i]->alone,
			.newest = losses[i]->newest,
			.seen = losses[i]->seen,
			.common = losses[i]->common,
			.no_progress = losses[i]->no_progress,
			.crashed = losses[i]->crashed,
		};

		str_copy(loss.target, sizeof(loss.target),
			 str_of(losses[i]->target));
		if (losses[i]->task < job->ntasks)
			sched_loss_add(&job->tasks[losses[i]->task], &loss);
	}
}

void sched_losses_changed(struct sched_job *job)
{
	uint64_t mark = job->s->ops->losses(job->s, job);

	if (mark)
		job->losses_mark = mark;
}

void sched_losses_acked(struct sched *s, const void *owner, uint64_t mark)
{
	struct sched_job *job;

	for (job = s->nsuspects ? s->jobs : NULL; job; job = job->next)
		if (job->owner == owner && job->losses_mark <= mark)
			job->losses_mark = 0;
}

enum outcome { OPEN, CRASHED, ALIVE };

/* What the scheduler knows by now of the target; *reason says why. */
static enum outcome find_outcome(struct sched *s, const struct sched_loss *loss,
				 const char **reason)
{
	const struct sched_target *t = sched_find_target(s, loss->target);
	rp_ms since = loss->at > s->started_at ? loss->at : s->started_at;

	*reason = "the list has lost its entry";
	if (!t)
		return s->targets_loaded && s->now - since >= GONE_AFTER_MS
			       ? CRASHED
			       : OPEN;
	if (!t->listed)
		return CRASHED;
	*reason = "another incarnation is there";
	if (t->replaced || (loss->incarnation && t->incarnation &&
			    t->incarnation != loss->incarnation))
		return CRASHED;
	*reason = "it has replied again";
	return t->hold_replied_at > loss->at ? ALIVE : OPEN;
}

/* Returns whether the outcome of a loss of the task has become known. */
static int review_task(struct sched_task *task)
{
	struct sched *s = task->job->s;
	struct sched_losses *losses = task->losses;
	int changed = 0;
	size_t i;

	for (i = losses->n; i-- > 0;) {
		struct sched_loss *loss = &losses->list[i];
		const char *reason = "";
		enum outcome outcome =
			loss->crashed ? OPEN : find_outcome(s, loss, &reason);

		if (outcome == OPEN)
			continue;
		changed = 1;
		if (outcome == CRASHED) {
			loss->crashed = 1;
			s->count.runs_crashed++;
			s->ops->log_loss(s, "target_crashed", task, loss,
					 reason);
			continue;
		}
		s->count.runs_cut_off++;
		s->ops->log_loss(s, "target_alive", task, loss, reason);
		memmove(loss, loss + 1,
			(--losses->n - i) * sizeof(losses->list[0]));
	}
	return changed;
}

static void review_job(struct sched_job *job)
{
	int changed = 0;
	size_t i;

	for (i = 0; i < job->ntasks; i++)
		if (job->tasks[i].losses)
			changed |= review_task(&job->tasks[i]);
	if (changed)
		sched_losses_changed(job);
}

/* Returns a task at fault that waits, or NULL. One that runs may yet end. */
static const struct sched_task *find_task_at_fault(const struct sched_job *job)
{
	size_t i;

	for (i = 0; i < job->ntasks; i++) {
		const struct sched_task *task = &job->tasks[i];

		if (task->losses && task->state == SCHED_WAITING &&
		    is_at_fault(task->losses))
			return task;
	}
	return NULL;
}

static void give_up(const struct sched_task *task)
{
	struct sched_job *job = task->job;
	const struct sched_losses *losses = task->losses;

	job->s->count.given_up++;
	job->s->ops->log_loss(job->s, "task_given_up", task,
			      &losses->list[losses->n - 1],
			      "its targets have crashed");
	sched_job_answer(job, POOL_ANSWER__OUTCOME__FAILED,
			 "the targets of one of its tasks have crashed", 0);
}

void sched_loss_tick(struct sched *s)
{
	struct sched_job *job, *next;
	const struct sched_task *task;

	for (job = s->nsuspects ? s->jobs : NULL; job; job = next) {
		next = job->next;
		if (!job->nsuspects)
			continue;
		review_job(job);
		task = find_task_at_fault(job);
		if (task)
			give_up(task);
	}
}
