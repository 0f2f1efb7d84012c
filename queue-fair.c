/*
 * Queueing policy "fair": start-time fair queueing over the teams by weight,
 * with a quota of tasks in flight. Within a team, the job with the least
 * remaining work goes first; its priority rises with its age, so that no job
 * starves.
 */

#include "rosemary-int.h"

#include <stdlib.h>

/* Run time assumed before the first sample, ms. */
#define DEFAULT_RUN_TIME_MS 100.0
/* A job yields to later ones for at most this many times its remaining time. */
#define AGEING_FACTOR 4.0

struct fair_team {
	struct rp_team *team;
	struct rp_heap jobs;	  /* by job_key() */
	struct rp_heap_node node; /* in the queue's teams */
	double vtime; /* virtual time: tasks started, divided by weight */
	int held;     /* at its quota */
	struct fair_team *next, *prev; /* in the queue's list of held teams */
};

struct fair_queue {
	struct rp_queue queue; /* must be first */
	struct rp_service *svc;
	apr_hash_t *by_team;  /* pointer to rp_team -> fair_team */
	struct rp_heap teams; /* below their quota, by virtual time */
	uint32_t quota_seq;   /* the shard's at the last check of held teams */
	struct fair_team *held; /* at their quota, with queued jobs */
	double vtime;		/* virtual time of the team served last */
	apr_pool_t *pool;
};

static struct rp_queue *fair_create(struct rp_service *svc);

static void fair_destroy(struct rp_queue *queue)
{
	struct fair_queue *q = (struct fair_queue *)queue;
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, q->by_team); i; i = apr_hash_next(i)) {
		struct fair_team *ft = apr_hash_this_val(i);

		heap_finish(&ft->jobs);
		free(ft);
	}
	heap_finish(&q->teams);
	apr_pool_destroy(q->pool);
	free(q);
}

static struct fair_team *fair_team_get(struct fair_queue *q,
				       struct rp_team *team)
{
	struct fair_team *ft =
		apr_hash_get(q->by_team, &team, sizeof(struct rp_team *));

	if (ft)
		return ft;
	ft = kernel_alloc(sizeof(*ft));
	ft->team = team;
	heap_init(&ft->jobs);
	heap_node_init(&ft->node);
	apr_hash_set(q->by_team, &ft->team, sizeof(struct rp_team *), ft);
	return ft;
}

/*
 * Returns the priority of a job, smallest first: when it was accepted, plus
 * AGEING_FACTOR times the time that its remaining tasks take alone, ms.
 */
static double job_key(const struct fair_queue *q, const struct rp_job *job)
{
	const struct rp_service *svc = q->svc;
	double time = svc->run_time.count ? svc->run_time.mean
					  : DEFAULT_RUN_TIME_MS;
	double slots = svc->total_limit ? (double)svc->total_limit : 1;
	double remaining = (double)(job->sub->ntasks - job->ndone);

	return (double)job->accepted_at +
	       AGEING_FACTOR * remaining * time / slots;
}

/* Moves a team at its quota to the list of held teams. */
static void team_hold(struct fair_queue *q, struct fair_team *ft)
{
	heap_remove(&q->teams, &ft->node);
	ft->held = 1;
	ft->prev = NULL;
	ft->next = q->held;
	if (ft->next)
		ft->next->prev = ft;
	q->held = ft;
}

/* Removes a team from the list of held teams. */
static void team_release(struct fair_queue *q, struct fair_team *ft)
{
	if (ft->prev)
		ft->prev->next = ft->next;
	else
		q->held = ft->next;
	if (ft->next)
		ft->next->prev = ft->prev;
	ft->held = 0;
}

/*
 * Queues a team with jobs. Its virtual time is at least the queue's, so that
 * an idle team saves up no share.
 */
static void team_enqueue(struct fair_queue *q, struct fair_team *ft)
{
	if (ft->vtime < q->vtime)
		ft->vtime = q->vtime;
	heap_set(&q->teams, &ft->node, ft->vtime);
}

static void fair_add(struct rp_queue *queue, struct rp_job *job, rp_ms now)
{
	struct fair_queue *q = (struct fair_queue *)queue;
	struct fair_team *ft = fair_team_get(q, job->team);

	(void)now;
	job->queue_data = ft;
	job->team->njobs++;
	heap_set(&ft->jobs, &job->queue_node, job_key(q, job));
	if (!ft->held && ft->node.index == RP_HEAP_NONE)
		team_enqueue(q, ft);
}

static void fair_remove(struct rp_queue *queue, struct rp_job *job)
{
	struct fair_queue *q = (struct fair_queue *)queue;
	struct fair_team *ft = job->queue_data;

	heap_remove(&ft->jobs, &job->queue_node);
	job->team->njobs--;
	if (ft->jobs.len)
		return;
	if (ft->held)
		team_release(q, ft);
	heap_remove(&q->teams, &ft->node);
}

/* Holds the teams at their quota; returns the first of the others, or NULL. */
static struct fair_team *first_unblocked(struct fair_queue *q)
{
	struct rp_heap_node *n;
	struct fair_team *ft;

	while ((n = heap_first(&q->teams))) {
		ft = RP_CONTAINER(n, struct fair_team, node);
		if (!team_at_quota(q->svc->shard, ft->team))
			return ft;
		team_hold(q, ft);
	}
	return NULL;
}

/* Queues the held teams that are below their quota. */
static void release_held(struct fair_queue *q)
{
	struct fair_team *ft, *next;

	for (ft = q->held; ft; ft = next) {
		next = ft->next;
		if (team_at_quota(q->svc->shard, ft->team))
			continue;
		team_release(q, ft);
		team_enqueue(q, ft);
	}
}

static struct rp_job *fair_next(struct rp_queue *queue, rp_ms now)
{
	struct fair_queue *q = (struct fair_queue *)queue;
	struct fair_team *ft;

	(void)now;
	if (q->quota_seq != q->svc->shard->quota_seq) {
		q->quota_seq = q->svc->shard->quota_seq;
		release_held(q);
	}
	ft = first_unblocked(q);
	if (!ft && q->held) {
		release_held(q);
		ft = first_unblocked(q);
	}
	if (!ft)
		return NULL;
	return RP_CONTAINER(heap_first(&ft->jobs), struct rp_job, queue_node);
}

static void fair_changed(struct rp_queue *queue, struct rp_job *job, rp_ms now)
{
	struct fair_queue *q = (struct fair_queue *)queue;
	struct fair_team *ft = job->queue_data;

	(void)now;
	heap_set(&ft->jobs, &job->queue_node, job_key(q, job));
}

static void fair_started(struct rp_queue *queue, struct rp_job *job)
{
	struct fair_queue *q = (struct fair_queue *)queue;
	struct fair_team *ft = job->queue_data;
	int32_t weight = job->team->weight > 0 ? job->team->weight : 1;

	if (q->vtime < ft->vtime)
		q->vtime = ft->vtime;
	ft->vtime += (double)RP_WEIGHT_DEFAULT / weight;
	if (ft->node.index != RP_HEAP_NONE)
		heap_set(&q->teams, &ft->node, ft->vtime);
}

static void fair_ended(struct rp_queue *queue, struct rp_team *team)
{
	struct fair_queue *q = (struct fair_queue *)queue;
	struct fair_team *ft;

	if (!q->held)
		return;
	ft = fair_team_get(q, team);
	if (!ft->held || team_at_quota(q->svc->shard, team))
		return;
	team_release(q, ft);
	team_enqueue(q, ft);
}

static struct rp_queue_ops fair_ops = {
	.plugin = { .name = "fair" },
	.create = fair_create,
	.destroy = fair_destroy,
	.add = fair_add,
	.remove = fair_remove,
	.next = fair_next,
	.changed = fair_changed,
	.started = fair_started,
	.ended = fair_ended,
};

static struct rp_queue *fair_create(struct rp_service *svc)
{
	struct fair_queue *q = kernel_alloc(sizeof(*q));

	q->queue.ops = &fair_ops;
	q->svc = svc;
	apr_pool_create(&q->pool, svc->shard->pool);
	q->by_team = hash_new(q->pool);
	heap_init(&q->teams);
	return &q->queue;
}

RP_REGISTER(RP_PLUGIN_QUEUE, fair_ops);
