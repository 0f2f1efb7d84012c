/*
 * Targets that were lost with runs on them, by task.
 *
 * A run is lost when its target has not replied until the lease is over, or
 * when another incarnation replies. A target that is only cut off looks the
 * same at first: whether it has crashed shows when its entry is gone, when
 * another incarnation replies, or when it replies itself.
 */

#include "scheduler.h"

#include <stdlib.h>
#include <string.h>

/* An entry that a successor does not find in the list is gone after this. */
#define GONE_AFTER_MS 2500

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

void sched_loss_add(struct sched_task *task, const struct sched_loss *loss)
{
	struct sched *s = task->job->s;
	struct sched_losses *losses = get_losses(task);

	if (!losses || losses->n == SCHED_LOSSES_MAX)
		return;
	losses->list[losses->n++] = *loss;
	s->ops->log_loss(s, "target_lost", task, loss,
			 loss->crashed ? "another incarnation replied"
				       : "no reply");
}

/* The target with which the task's run was lost is the one it is on. */
static struct sched_loss loss_of(const struct sched_task *task, int alone,
				 int crashed)
{
	const struct sched_target *t = task->target;
	struct sched_loss loss = {
		.incarnation = t->incarnation,
		.at = t->s->now,
		.alone = alone,
		.crashed = crashed,
	};

	str_copy(loss.target, sizeof(loss.target), str_of(t->listing.id));
	if (task->restarted) {
		loss.incarnation = t->prev_incarnation;
		loss.alone = task->restarted == SCHED_RESTARTED_ALONE;
		loss.crashed = 1;
	}
	return loss;
}

void sched_loss_of_run(struct sched_task *task, int alone, int crashed)
{
	struct sched *s = task->job->s;
	struct sched_loss loss;

	/* A target that leaves ends its runs with no fault of theirs. */
	if (task->target->draining)
		return;
	loss = loss_of(task, alone, crashed);
	s->count.runs_lost++;
	s->count.runs_crashed += loss.crashed != 0;
	if (!task->job->answered)
		sched_loss_add(task, &loss);
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

static int review_job(struct sched_job *job)
{
	int changed = 0;
	size_t i;

	for (i = 0; i < job->ntasks; i++)
		if (job->tasks[i].losses)
			changed |= review_task(&job->tasks[i]);
	return changed;
}

void sched_loss_tick(struct sched *s)
{
	struct sched_job *job;

	if (!s->nsuspects)
		return;
	for (job = s->jobs; job; job = job->next)
		if (job->nsuspects)
			review_job(job);
}
