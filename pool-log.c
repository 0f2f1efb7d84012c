/* Log lines of the scheduler's decisions on jobs and runs. */

#include "pool.h"

#include <math.h>

#define DELAYS_INTERVAL_MS 5000 /* between log lines on a queue's delays */
#define DELAYS_QUEUES_MAX 20	/* queues that are logged */

void pool_log_job(struct sched *s, const struct sched_job *job,
		  const PoolAnswer *answer)
{
	const struct pool_member *m = job->stored ? NULL : job->owner;
	const struct pool *pool = s->user;
	double estimate = exp(job->log_estimate);
	rp_ms waited =
		(job->first_started_at ? job->first_started_at : s->now) -
		job->arrived_at;

	if (answer->outcome == POOL_ANSWER__OUTCOME__COMPLETED &&
	    estimate < (double)pool->set.log_estimate)
		return;
	LOG_EVENT(
		LOG_LEVEL_INFO, "job_ended", LOG_TEXT("id", job->id),
		LOG_TEXT("queue", job->queue->name),
		LOG_TEXT("outcome", pool_outcome_name(answer->outcome)),
		LOG_TEXT("why", answer->reason),
		LOG_TEXT("member", m ? m->vm : ""),
		LOG_NUMBER("tasks", (long long)job->ntasks),
		LOG_NUMBER("done", (long long)job->ndone),
		LOG_NUMBER("running", (long long)job->nplaced),
		LOG_NUMBER("waiting", (long long)job->nwaiting),
		LOG_NUMBER("started_late", job->missed_start),
		LOG_NUMBER("estimate_ms", (long long)estimate),
		LOG_NUMBER("work_ms", (long long)job->steps[0].work),
		LOG_NUMBER("waited_ms", waited),
		LOG_NUMBER("room_delay_ms", job->delays[SCHED_DELAY_ROOM]),
		LOG_NUMBER("owner_delay_ms", job->delays[SCHED_DELAY_OWNER]),
		LOG_NUMBER("age_ms", s->now - job->arrived_at),
		LOG_NUMBER("earlier_ms", job->received_at - job->arrived_at),
		LOG_NUMBER("objective_ms", job->due_at - job->arrived_at),
		LOG_NUMBER("left_ms", job->deadline - s->now),
		LOG_NUMBER("cpu", job->steps[0].need.cpu),
		LOG_NUMBER("shown_ms", (long long)sched_job_shown_work(job)),
		LOG_NUMBER("moves", job->runs_moved),
		LOG_NUMBER("lost_runs", job->runs_lost),
		LOG_NUMBER("retries", job->retries),
		LOG_TEXT("last_target", job->last_target),
		LOG_NUMBER("last_sent_ms_ago",
			   job->last_sent_at ? s->now - job->last_sent_at : 0),
		LOG_NUMBER("last_predicted_ms", (long long)job->last_predicted),
		LOG_NUMBER("queued_jobs", (long long)s->njobs));
}

void pool_log_run(struct sched *s, const char *event,
		  const struct sched_target *t, const struct sched_task *task,
		  const char *reason)
{
	LOG_EVENT(LOG_LEVEL_INFO, event, LOG_TEXT("target", t->listing.id),
		  LOG_TEXT("task", task ? task->name : ""),
		  LOG_NUMBER("run", task ? task->run : 0),
		  LOG_NUMBER("sent_ms_ago", task ? s->now - task->sent_at : 0),
		  LOG_NUMBER("predicted_ms",
			     task ? (long long)task->predicted : 0),
		  LOG_NUMBER("percent", task ? task->percent : 0),
		  LOG_NUMBER("progress_ms_ago",
			     task ? s->now - task->progress_at : 0),
		  LOG_NUMBER("slowdown_percent",
			     (long long)(100 * t->slowdown)),
		  LOG_TEXT("why", reason),
		  LOG_NUMBER("replied_ms_ago", s->now - t->replied_at),
		  LOG_NUMBER("born", t->incarnation),
		  LOG_NUMBER("listed_born", t->listing.incarnation),
		  LOG_NUMBER("cpu", t->listing.capacity.cpu),
		  LOG_NUMBER("used_cpu", t->used.cpu),
		  LOG_NUMBER("foreign", (long long)t->nforeign),
		  LOG_NUMBER("runs", (long long)t->nruns),
		  LOG_NUMBER("fence", (long long)s->fence));
}

void pool_log_loss(struct sched *s, const char *event,
		   const struct sched_task *task, const struct sched_loss *loss,
		   const char *reason)
{
	LOG_EVENT(LOG_LEVEL_INFO, event, LOG_TEXT("target", loss->target),
		  LOG_TEXT("task", task->name), LOG_NUMBER("run", task->run),
		  LOG_TEXT("why", reason),
		  LOG_NUMBER("born", loss->incarnation),
		  LOG_NUMBER("lost_ms_ago", s->now - loss->at),
		  LOG_NUMBER("alone", loss->alone),
		  LOG_NUMBER("newest", loss->newest),
		  LOG_NUMBER("seen", loss->seen),
		  LOG_NUMBER("common", loss->common),
		  LOG_NUMBER("task_lost", (long long)task->losses->n),
		  LOG_NUMBER("task_crashed",
			     (long long)sched_losses_crashed(task->losses)));
}

void pool_log_domain(const struct sched_target *t)
{
	const struct sched_failure_domain *d = t->domain;

	LOG_EVENT(LOG_LEVEL_WARN,
		  d->silent ? "domain_silent" : "domain_replies",
		  LOG_TEXT("failure_domain", t->listing.failure_domain),
		  LOG_TEXT("target", t->listing.id),
		  LOG_NUMBER("unanswered", (long long)d->nunanswered),
		  LOG_NUMBER("replied_ms_ago", t->s->now - d->replied_at));
}

void pool_log_move(struct sched *s, const struct sched_task *task,
		   const struct sched_move *m)
{
	const struct sched_target *t = task->target;
	const struct sched_job *job = task->job;

	LOG_EVENT(
		LOG_LEVEL_INFO, "move", LOG_TEXT("target", t->listing.id),
		LOG_TEXT("task", task->name), LOG_NUMBER("run", task->run),
		LOG_TEXT("why", m->reason),
		LOG_TEXT("to", m->to ? m->to->listing.id : ""),
		LOG_NUMBER("moves", task->moves),
		LOG_NUMBER("sent_ms_ago", s->now - task->sent_at),
		LOG_NUMBER("percent", task->percent),
		LOG_NUMBER("progress_ms_ago", s->now - task->progress_at),
		LOG_NUMBER("replied_ms_ago", s->now - t->replied_at),
		LOG_NUMBER("end_in_ms", (long long)m->end - s->now),
		LOG_NUMBER("end_there_in_ms", (long long)m->end_there - s->now),
		LOG_NUMBER("due_in_ms", job->due_at - s->now),
		LOG_NUMBER("expires_in_ms", job->expires_at - s->now),
		LOG_NUMBER("predicted_ms", (long long)task->predicted),
		LOG_NUMBER("estimate_ms", (long long)exp(job->log_estimate)),
		LOG_NUMBER("work_ms", (long long)job->steps[task->step].work),
		LOG_NUMBER("observed", task->observed),
		LOG_NUMBER("slowdown_percent", (long long)(100 * t->slowdown)),
		LOG_NUMBER("slowdown_there_percent",
			   m->to ? (long long)(100 * m->to->slowdown) : 0));
}

static void log_delays(const struct sched_queue *q)
{
	LOG_EVENT(LOG_LEVEL_INFO, "start_delays", LOG_TEXT("queue", q->name),
		  LOG_NUMBER("jobs", (long long)q->nended),
		  LOG_NUMBER("room_ms", q->delays[SCHED_DELAY_ROOM]),
		  LOG_NUMBER("owner_ms", q->delays[SCHED_DELAY_OWNER]),
		  LOG_NUMBER("losses_ms", q->delays[SCHED_DELAY_LOSSES]),
		  LOG_NUMBER("earlier_runs_ms",
			     q->delays[SCHED_DELAY_EARLIER_RUNS]),
		  LOG_NUMBER("cancelled_ms", q->delays[SCHED_DELAY_CANCELLED]));
}

void pool_log_delays(struct pool *p)
{
	apr_hash_index_t *h;
	void *value;
	int n = 0, left_out = 0;

	if (!p->leading || p->now - p->delays_logged_at < DELAYS_INTERVAL_MS)
		return;
	p->delays_logged_at = p->now;
	for (h = apr_hash_first(NULL, p->sched.queues); h;
	     h = apr_hash_next(h)) {
		const struct sched_queue *q;

		apr_hash_this(h, NULL, NULL, &value);
		q = value;
		if (!q->nended)
			continue;
		if (n == DELAYS_QUEUES_MAX) {
			left_out++;
			continue;
		}
		log_delays(q);
		n++;
	}
	if (left_out)
		LOG_EVENT(LOG_LEVEL_INFO, "start_delays_left_out",
			  LOG_NUMBER("queues", left_out));
}
