/* Counters and histograms in the text format of Prometheus. */

#include "pool.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEXT_MAX 65536		 /* bytes of all metrics, with the NUL */
#define FIRST_BOUND_MS 16	 /* upper bound of the first bucket */
#define TRAFFIC_INTERVAL_MS 5000 /* between log lines about links */

#define LEFT_OUT_MAX 64 /* of them, of the line that says so */

struct text {
	char *s;
	size_t len;
	size_t left_out; /* lines that did not fit */
};

/* Appends formatted text, or nothing when it does not fit. */
static void __attribute__((format(printf, 2, 3)))
put(struct text *t, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(t->s + t->len, TEXT_MAX - LEFT_OUT_MAX - t->len, fmt, ap);
	va_end(ap);
	if (n > 0 && (size_t)n < TEXT_MAX - LEFT_OUT_MAX - t->len) {
		t->len += (size_t)n;
		return;
	}
	t->s[t->len] = '\0';
	t->left_out++;
}

void pool_histogram_add(struct pool_histogram *h, rp_ms ms)
{
	rp_ms bound = FIRST_BOUND_MS;
	size_t i;

	for (i = 0; i < POOL_BUCKETS - 1 && ms > bound; i++)
		bound *= 2;
	h->buckets[i]++;
	h->count++;
	h->sum += (double)ms;
}

static void put_histogram(struct text *t, const char *name,
			  const struct pool_histogram *h)
{
	rp_ms bound = FIRST_BOUND_MS;
	uint64_t below = 0;
	size_t i;

	for (i = 0; i < POOL_BUCKETS - 1; i++, bound *= 2) {
		below += h->buckets[i];
		put(t, "%s_bucket{le=\"%lld\"} %llu\n", name, (long long)bound,
		    (unsigned long long)below);
	}
	put(t, "%s_bucket{le=\"+Inf\"} %llu\n", name,
	    (unsigned long long)h->count);
	put(t, "%s_sum %.0f\n%s_count %llu\n", name, h->sum, name,
	    (unsigned long long)h->count);
}

static void put_count(struct text *t, const char *name, uint64_t n)
{
	put(t, "rosemary_pool_%s %llu\n", name, (unsigned long long)n);
}

/* What callers make this VM hold, and what was refused for that. */
static void put_limits(struct text *t, const struct pool *p)
{
	enum conn_limit limit;
	enum rp_hold kind;
	int i;

	for (kind = 0; kind < RP_HOLDS; kind++)
		put(t, "rosemary_pool_held_bytes{what=\"%s\"} %zu\n",
		    budget_name(kind), atomic_load(&p->budget.used[kind]));
	put_count(t, "held_bytes_limit", p->budget.limit);
	put_count(t, "jobs_without_memory_total", p->count.no_memory);
	put_count(t, "cancellations_recorded_total", p->count.cancels_recorded);
	put_count(t, "cancellations_refused_total", p->count.cancels_refused);
	for (i = 0; i < POOL_SERVERS; i++) {
		const struct conn_table *c = &p->servers[i].conns;

		if (!p->servers[i].mhd)
			continue;
		put(t, "rosemary_pool_connections{server=\"%s\"} %zu\n",
		    c->name, c->n);
		put(t, "rosemary_pool_connections_limit{server=\"%s\"} %zu\n",
		    c->name, c->max);
		for (limit = 0; limit < CONN_LIMITS; limit++)
			put(t,
			    "rosemary_pool_limit_reached_total{server=\"%s\","
			    "limit=\"%s\"} %llu\n",
			    c->name, conn_limit_name(limit),
			    (unsigned long long)c->reached[limit]);
	}
}

static void put_daemon(struct text *t, const struct pool *p)
{
	const struct pool_counters *c = &p->count;

	put_count(t, "requests_total", c->requests);
	put_count(t, "requests_bad_total", c->bad);
	put_count(t, "requests_not_found_total", c->not_found);
	put_count(t, "requests_rejected_total", c->rejected);
	put_count(t, "requests_answered_total", c->answered);
	put_count(t, "callers_gone_total", c->callers_gone);
	put_count(t, "requests_open", p->nopen);
	put_count(t, "store_calls_total", c->store_calls);
	put_count(t, "store_calls_failed_total", c->store_failed);
	put_count(t, "watch_restarts_total", c->watch_restarts);
	put_count(t, "target_calls_total", c->target_calls);
	put_count(t, "target_calls_unanswered_total", c->target_unanswered);
	put_count(t, "agent_calls_total", c->agent_calls);
	put_count(t, "agent_calls_unanswered_total", c->agent_unanswered);
	put_count(t, "target_calls_resent_total", c->calls_resent);
	put_count(t, "calls_repeated_total", c->calls_repeated);
	put_count(t, "links_total", c->links);
	put_count(t, "pauses_total", c->pauses);
	put_count(t, "takeovers_total", c->takeovers);
	put_count(t, "leaderless_ms_total", c->leaderless_ms);
	put_count(t, "leading", (uint64_t)p->leading);
	put_count(t, "fence", p->lead.row.fence);
	put_count(t, "domains_evacuated", pool_evacuations_active(p));
	put_count(t, "routes_version",
		  p->routes ? (uint64_t)p->routes->version : 0);
}

/* Names of the kinds of frames, by POOL_FRAME__BODY_*. */
static const char *const frame_kinds[POOL_FRAME_KINDS] = {
	"none",	       "hello",	      "heartbeat", "submit",	  "cancel",
	"answer",      "progress",    "order",	   "reply",	  "ack",
	"start",       "run",	      "listings",  "state_query", "state_reply",
	"count_query", "count_reply",
};

static void put_links(struct text *t, const struct pool_counters *c)
{
	size_t i;

	for (i = 1; i < POOL_FRAME_KINDS; i++) {
		put(t, "rosemary_pool_link_sent_bytes{kind=\"%s\"} %llu\n",
		    frame_kinds[i], (unsigned long long)c->sent_bytes[i]);
		put(t, "rosemary_pool_link_received_bytes{kind=\"%s\"} %llu\n",
		    frame_kinds[i], (unsigned long long)c->received_bytes[i]);
	}
}

static void put_turns(struct text *t, const struct pool_turn *turn)
{
	enum pool_activity a;

	for (a = 0; a < POOL_ACTIVITIES; a++) {
		put(t, "rosemary_pool_turn_max_us{activity=\"%s\"} %lld\n",
		    pool_activity_name(a), (long long)turn->max_us[a]);
		put(t, "rosemary_pool_turn_us_total{activity=\"%s\"} %lld\n",
		    pool_activity_name(a), (long long)turn->sum_us[a]);
	}
}

static long long sum(const uint64_t *values)
{
	long long total = 0;
	size_t i;

	for (i = 0; i < POOL_FRAME_KINDS; i++)
		total += (long long)values[i];
	return total;
}

void pool_log_traffic(struct pool *p)
{
	const uint64_t *sent = p->count.sent_bytes;
	const uint64_t *received = p->count.received_bytes;

	if (!p->leading || p->now - p->traffic_logged_at < TRAFFIC_INTERVAL_MS)
		return;
	p->traffic_logged_at = p->now;
	LOG_EVENT(LOG_LEVEL_INFO, "link_traffic",
		  LOG_NUMBER("starts", (long long)p->sched.count.starts),
		  LOG_NUMBER("jobs", (long long)p->sched.count.jobs),
		  LOG_NUMBER("sent", sum(sent)),
		  LOG_NUMBER("received", sum(received)),
		  LOG_NUMBER("heartbeats_sent",
			     (long long)sent[POOL_FRAME__BODY_BEAT]),
		  LOG_NUMBER("heartbeats_received",
			     (long long)received[POOL_FRAME__BODY_BEAT]),
		  LOG_NUMBER("submits",
			     (long long)received[POOL_FRAME__BODY_SUBMIT]),
		  LOG_NUMBER("orders", (long long)sent[POOL_FRAME__BODY_ORDER]),
		  LOG_NUMBER("start_orders",
			     (long long)sent[POOL_FRAME__BODY_START]),
		  LOG_NUMBER("replies",
			     (long long)received[POOL_FRAME__BODY_REPLY]),
		  LOG_NUMBER("answers",
			     (long long)sent[POOL_FRAME__BODY_ANSWER]),
		  LOG_NUMBER("progress",
			     (long long)sent[POOL_FRAME__BODY_PROGRESS]),
		  LOG_NUMBER("listings",
			     (long long)sent[POOL_FRAME__BODY_LISTINGS]));
}

/* Jobs that were not served, by the reason, and the sum of their ages. */
static void put_causes(struct text *t, const struct pool *p)
{
	size_t i;

	for (i = 0; i < p->ncauses; i++) {
		const struct pool_cause *c = &p->causes[i];

		put(t, "rosemary_pool_not_served_total{why=\"%s\"} %llu\n",
		    c->reason, (unsigned long long)c->count);
		put(t, "rosemary_pool_not_served_ms_total{why=\"%s\"} %lld\n",
		    c->reason, (long long)c->age_sum);
	}
}

static size_t evacuated_targets(const struct sched *s)
{
	size_t i, n = 0;

	for (i = 0; i < s->ntargets; i++)
		n += (size_t)s->targets[i]->evacuated;
	return n;
}

static void put_scheduler(struct text *t, const struct sched *s)
{
	const struct sched_counters *c = &s->count;
	unsigned uses[SCHED_USES];
	enum sched_use use;

	put_count(t, "targets_evacuated", evacuated_targets(s));
	put_count(t, "jobs_rejected_evacuated_total", c->evacuated);
	put_count(t, "jobs_hopeless_total", c->hopeless);
	put_count(t, "jobs_rejected_in_vain_total", c->in_vain);
	put_count(t, "rack_spills_total", c->rack_spills);
	put_count(t, "runs_moved_off_leaving_targets_total", c->leave_moves);

	put_count(t, "jobs_total", c->jobs);
	put_count(t, "jobs_completed_total", c->completed);
	put_count(t, "jobs_failed_total", c->failed);
	put_count(t, "jobs_rejected_total", c->rejected);
	put_count(t, "jobs_rejected_without_memory_total", c->no_memory);
	put_count(t, "stored_jobs_deferred", s->ndeferred);
	put_count(t, "jobs_cancelled_total", c->cancelled);
	put_count(t, "jobs_open", s->njobs);
	put_count(t, "targets", s->ntargets);
	sched_count_uses(s, s->now, uses);
	for (use = 0; use < SCHED_USES; use++)
		put(t, "rosemary_pool_targets_by_use{use=\"%s\"} %u\n",
		    sched_use_name(use), uses[use]);
	put_count(t, "starts_total", c->starts);
	put_count(t, "ends_total", c->ends);
	put_count(t, "retries_total", c->retries);
	put_count(t, "hedges_total", c->moves);
	put_count(t, "lapses_total", c->lapses);
	put_count(t, "runs_lost_total", c->runs_lost);
	put_count(t, "runs_lost_in_crashes_total", c->runs_crashed);
	put_count(t, "runs_lost_alive_total", c->runs_cut_off);
	put_count(t, "suspected_tasks", s->nsuspects);
	put_count(t, "jobs_given_up_total", c->given_up);
	put_count(t, "orphans_total", c->orphans);
	put_count(t, "adopted_total", c->adopted);
	put_count(t, "holds_total", c->holds);
	put_count(t, "targets_over_capacity_total", c->over_capacity);
}

/* Jobs of one size: all, and those not completed by whether they could be. */
static void put_size(struct text *t, const struct sched_queue *q, size_t i,
		     const char *label)
{
	uint64_t lost = q->answered[i] - q->completed[i] - q->too_long[i];

	put(t, "rosemary_pool_jobs_answered%s %llu\n", label,
	    (unsigned long long)q->answered[i]);
	put(t, "rosemary_pool_jobs_completed%s %llu\n", label,
	    (unsigned long long)q->completed[i]);
	put(t, "rosemary_pool_jobs_too_long%s %llu\n", label,
	    (unsigned long long)q->too_long[i]);
	put(t, "rosemary_pool_jobs_lost%s %llu\n", label,
	    (unsigned long long)lost);
}

/* Jobs of each queue, by size. */
static void put_sizes(struct text *t, struct sched *s)
{
	apr_hash_index_t *h;
	void *value;
	size_t i;

	for (h = apr_hash_first(NULL, s->queues); h; h = apr_hash_next(h)) {
		const struct sched_queue *q;

		apr_hash_this(h, NULL, NULL, &value);
		q = value;
		for (i = 0; i < SCHED_SIZE_BUCKETS; i++) {
			char label[SCHED_QUEUE_NAME_MAX + 48], bound[16] = "+In"
									   "f";

			if (i < SCHED_SIZE_BUCKETS - 1)
				snprintf(bound, sizeof(bound), "%.2f",
					 sched_size_bounds[i] / 4.0);
			snprintf(label, sizeof(label),
				 "{queue=\"%s\",times_mean_size=\"%s\"}",
				 q->name, bound);
			put_size(t, q, i, label);
		}
	}
}

/* Jobs of each queue, and for what they waited. */
static void put_delays(struct text *t, struct sched *s)
{
	apr_hash_index_t *h;
	void *value;
	int i;

	for (h = apr_hash_first(NULL, s->queues); h; h = apr_hash_next(h)) {
		const struct sched_queue *q;

		apr_hash_this(h, NULL, NULL, &value);
		q = value;
		put(t, "rosemary_pool_jobs_ended_total{queue=\"%s\"} %llu\n",
		    q->name, (unsigned long long)q->nended);
		for (i = SCHED_DELAY_NONE + 1; i < SCHED_DELAYS; i++)
			put(t,
			    "rosemary_pool_start_delay_ms_total{queue=\"%s\","
			    "why=\"%s\"} %lld\n",
			    q->name, sched_delay_name((enum sched_delay)i),
			    (long long)q->delays[i]);
	}
}

char *pool_metrics(struct pool *p)
{
	struct text t = { .s = malloc(TEXT_MAX) };

	t.s[0] = '\0';
	put_daemon(&t, p);
	put_limits(&t, p);
	put_causes(&t, p);
	put_links(&t, &p->count);
	put_turns(&t, &p->turn);
	if (p->leading) {
		put_scheduler(&t, &p->sched);
		put_count(&t, "targets_of_domains_not_led",
			  pool_targets_not_led(p));
	}
	put_histogram(&t, "rosemary_pool_answer_ms", &p->count.latency);
	put_histogram(&t, "rosemary_pool_loop_lag_ms", &p->count.lag);
	if (p->leading) {
		put_sizes(&t, &p->sched);
		put_delays(&t, &p->sched);
	}
	snprintf(t.s + t.len, LEFT_OUT_MAX,
		 "rosemary_pool_metrics_left_out %zu\n", t.left_out);
	return t.s;
}
